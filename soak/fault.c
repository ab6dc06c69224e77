/**
 * @file fault.c
 * Faults of a run, drawn from its seed.  Each has a start and a duration;
 * faults may overlap, also those of one kind on different nodes or workers.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fault.h"

#define FAULTS_MAX 4096
/** Start of the first fault, when the pool has its first owner. */
#define FAULT_FIRST (2 * GB_SEC)
/** Time from the start of a fault to that of the next: at least this, plus a
 * random part below the range. */
#define FAULT_GAP_MIN_MS 150
#define FAULT_GAP_RANGE_MS 1200
/** Range of a further random part with --only. */
#define ONLY_GAP_RANGE_MS 6000
/** Duration of a fault: at least this, plus a random part below the range. */
#define FAULT_DURATION_MIN_MS 300
#define FAULT_DURATION_RANGE_MS 3500
/** Delay of data by a proxy. */
#define DELAY_MS 400
/** The time of day of workers jumps by up to four of these, either way. */
#define WORKER_CLOCK_STEP_MS 2500
/** Workers in a rack, the same as in the emulator. */
#define RACK_WORKERS 8
/** Duration of cuts between nodes. */
#define CUT_MIN_MS 5000
#define CUT_MAX_MS 40000
/** Duration of faults that pause nodes repeatedly. */
#define PAUSES_MIN_MS 10000
#define PAUSES_MAX_MS 30000
/** Duration of a store that rejects some nodes: long enough for a change of the
 * configuration to come into force meanwhile. */
#define REJECTS_MIN_MS 12000
#define REJECTS_MAX_MS 20000
/** Time of the first fault with --storm, the interval of faults, and their
 * duration.  The last third of the run has no faults. */
#define STORM_FIRST (4 * GB_SEC)
#define STORM_INTERVAL (8 * GB_SEC)
#define STORM_DURATION (6 * GB_SEC)
#define STORM_KINDS "peers_silence,members_split,all_paused,all_starved"

static struct soak_node *
node_of(const struct fault *fault)
{
	return &soak.nodes[fault->node];
}

/* Nodes ------------------------------------------------------------------- */

static void
kill_begin(struct fault *fault)
{
	struct soak_node *node = node_of(fault);

	node->restart_at = fault->until;
	node_signal(node, SIGKILL);
}

static void
term_begin(struct fault *fault)
{
	node_signal(node_of(fault), SIGTERM);
}

static void
hup_begin(struct fault *fault)
{
	node_signal(node_of(fault), SIGHUP);
}

static void
pause_begin(struct fault *fault)
{
	node_signal(node_of(fault), SIGSTOP);
}

static void
pause_end(struct fault *fault)
{
	node_signal(node_of(fault), SIGCONT);
}

static void
clock_begin(struct fault *fault)
{
	node_signal(node_of(fault), fault->worker % 2 == 0 ? SIGUSR1 : SIGUSR2);
}

static void
kill_all_begin(struct fault *fault)
{
	unsigned int i;

	for (i = 0; i < soak.node_count; i++) {
		soak.nodes[i].restart_at = fault->until;
		node_signal(&soak.nodes[i], SIGKILL);
	}
}

static void
pauses_begin(struct fault *fault)
{
	(void)fault; /* the step function does all the work */
}

/* Connections ------------------------------------------------------------- */

static struct proxy *
front_of(const struct fault *fault)
{
	return node_of(fault)->front_proxy;
}

static struct proxy *
peer_of(const struct fault *fault)
{
	return node_of(fault)->peer_proxy;
}

static struct proxy *
store_of(const struct fault *fault)
{
	return node_of(fault)->store_proxy;
}

static struct proxy *
advice_of(const struct fault *fault)
{
	return node_of(fault)->advice_proxy;
}

static struct proxy *
worker_of(const struct fault *fault)
{
	return soak.worker_proxies[fault->worker];
}

/** Functions that begin and end the five kinds of faults of a proxy's
 * connections. */
#define LINK_FAULTS(what)                                                   \
	static void what##_delay(struct fault *fault)                       \
	{                                                                   \
		proxy_set(what##_of(fault), PROXY_DELAY, DELAY_MS);         \
	}                                                                   \
	static void what##_cut(struct fault *fault)                         \
	{                                                                   \
		proxy_set(what##_of(fault), PROXY_CUT, 0);                  \
	}                                                                   \
	static void what##_one_way(struct fault *fault)                     \
	{                                                                   \
		proxy_set(what##_of(fault),                                 \
		    fault->worker % 2 == 0 ? PROXY_CUT_TO : PROXY_CUT_FROM, \
		    0);                                                     \
	}                                                                   \
	static void what##_reset(struct fault *fault)                       \
	{                                                                   \
		proxy_reset(what##_of(fault));                              \
	}                                                                   \
	static void what##_silence(struct fault *fault)                     \
	{                                                                   \
		proxy_silence(what##_of(fault));                            \
	}                                                                   \
	static void what##_pass(struct fault *fault)                        \
	{                                                                   \
		proxy_set(what##_of(fault), PROXY_PASS, 0);                 \
	}

LINK_FAULTS(front)
LINK_FAULTS(peer)
LINK_FAULTS(store)
LINK_FAULTS(advice)
LINK_FAULTS(worker)

/* Platform ---------------------------------------------------------------- */

#define STORE_FAULT(name, query)                       \
	static void tables_##name(struct fault *fault) \
	{                                              \
		(void)fault;                           \
		soak_control("/store?" query);         \
	}

STORE_FAULT(busy, "mode=busy")
STORE_FAULT(silent, "mode=silent")
STORE_FAULT(lapse, "mode=silent&lapse=1")
STORE_FAULT(slow, "slow_ms=250")
STORE_FAULT(lost, "lost=30")
STORE_FAULT(late, "late=30")
STORE_FAULT(compact, "compact=1")
/* The unavailable partitions are a bit set: the first two, three of five. */
STORE_FAULT(two_partitions, "parts=3")
STORE_FAULT(most_partitions, "parts=22")
STORE_FAULT(normal, "")

static void
orders_lost(struct fault *fault)
{
	(void)fault;
	soak_control("/orders?lost=40");
}

static void
orders_late(struct fault *fault)
{
	(void)fault;
	soak_control("/orders?late=40");
}

static void
orders_normal(struct fault *fault)
{
	(void)fault;
	soak_control("/orders?");
}

#define WORKER_FAULT(name, what)                                 \
	static void name(struct fault *fault)                    \
	{                                                        \
		soak_control("/worker/%u/" what, fault->worker); \
	}

WORKER_FAULT(worker_crash, "crash")
WORKER_FAULT(worker_replace, "reborn")
WORKER_FAULT(worker_fail, "failing")
WORKER_FAULT(worker_stall, "still")
WORKER_FAULT(worker_normal, "well")
WORKER_FAULT(worker_drain, "drain")
WORKER_FAULT(entry_invalid, "spoiled")
WORKER_FAULT(entry_valid, "sound")
WORKER_FAULT(worker_shrink, "shrunk")
WORKER_FAULT(worker_restore, "whole")

static void
rack_crash(struct fault *fault)
{
	unsigned int i;

	for (i = fault->worker / RACK_WORKERS * RACK_WORKERS;
	     i < fault->worker / RACK_WORKERS * RACK_WORKERS + RACK_WORKERS &&
	     i < soak.worker_count;
	     i++)
		soak_control("/worker/%u/crash", i);
}

static void
rack_replace(struct fault *fault)
{
	unsigned int i;

	for (i = fault->worker / RACK_WORKERS * RACK_WORKERS;
	     i < fault->worker / RACK_WORKERS * RACK_WORKERS + RACK_WORKERS &&
	     i < soak.worker_count;
	     i++)
		soak_control("/worker/%u/reborn", i);
}

/** Restart a worker under its id, and reset its connections as the end of its
 * process does. */
static void
worker_restart_one(unsigned int worker)
{
	proxy_reset(soak.worker_proxies[worker]);
	soak_control("/worker/%u/restart", worker);
}

static void
worker_restart(struct fault *fault)
{
	worker_restart_one(fault->worker);
}

static void
rack_restart(struct fault *fault)
{
	unsigned int i;

	for (i = fault->worker / RACK_WORKERS * RACK_WORKERS;
	     i < fault->worker / RACK_WORKERS * RACK_WORKERS + RACK_WORKERS &&
	     i < soak.worker_count;
	     i++)
		worker_restart_one(i);
}

static void
worker_clock_begin(struct fault *fault)
{
	soak_control("/clock?step_ms=%d",
	    ((int)(fault->random % 9) - 4) * WORKER_CLOCK_STEP_MS);
}

/* Users ------------------------------------------------------------------- */

static void
config_begin(struct fault *fault)
{
	(void)fault;
	operator_change();
}

static void
cancel_begin(struct fault *fault)
{
	(void)fault;
	soak.cancel_percent = 50;
}

static void
cancel_end(struct fault *fault)
{
	(void)fault;
	soak.cancel_percent = 5;
}

static void
burst_begin(struct fault *fault)
{
	(void)fault;
	soak.rate *= 3;
}

static void
burst_end(struct fault *fault)
{
	(void)fault;
	soak.rate /= 3;
}

/** Planned work, which callers may notice by refusals only. */
#define PLANNED(name, begin, end)                                            \
	{                                                                    \
		name, true, begin, end, NULL, SCOPE_NONE, CAUSE_NONE, false, \
		    0, 0                                                     \
	}
/** A kind that is a cause for takeovers from the nodes of its scope. */
#define KIND_CAUSE(name, begin, end, scope, cause)                       \
	{                                                                \
		name, false, begin, end, NULL, scope, cause, false, 0, 0 \
	}
/** A kind that is no cause for takeovers. */
#define KIND(name, begin, end) \
	KIND_CAUSE(name, begin, end, SCOPE_NONE, CAUSE_NONE)
/** The five kinds of faults of a proxy's connections. */
#define LINK_KINDS(what, scope, cause)                                        \
	KIND_CAUSE(#what "_delay", what##_delay, what##_pass, scope, cause),  \
	    KIND_CAUSE(#what "_cut", what##_cut, what##_pass, scope, cause),  \
	    KIND_CAUSE(                                                       \
		#what "_one_way", what##_one_way, what##_pass, scope, cause), \
	    KIND_CAUSE(#what "_reset", what##_reset, NULL, scope, cause),     \
	    KIND_CAUSE(#what "_silence", what##_silence, NULL, scope, cause)
/** A kind of cuts between nodes. */
#define CUT(name, begin, all_nodes)                                        \
	{                                                                  \
		name, false, begin, cut_end, NULL, SCOPE_NONE, CAUSE_NONE, \
		    all_nodes, CUT_MIN_MS, CUT_MAX_MS                      \
	}
/** A kind of repeated pauses of nodes. */
#define PAUSES(name, step, all_nodes)                                    \
	{                                                                \
		name, false, pauses_begin, pauses_end, step, SCOPE_NONE, \
		    CAUSE_NONE, all_nodes, PAUSES_MIN_MS, PAUSES_MAX_MS  \
	}

/* New kinds go last, so that --kinds N draws the same ones as before. */
static const struct fault_kind kinds[] = {
    PLANNED("node_term", term_begin, NULL),
    PLANNED("node_hup", hup_begin, NULL), PLANNED("config", config_begin, NULL),
    PLANNED("cancel_wave", cancel_begin, cancel_end),
    PLANNED("burst", burst_begin, burst_end),
    PLANNED("clock_step", clock_begin, NULL),
    KIND("node_kill", kill_begin, NULL),
    KIND("node_kill_all", kill_all_begin, NULL),
    KIND("node_freeze", pause_begin, pause_end),
    LINK_KINDS(front, SCOPE_NONE, CAUSE_NONE),
    LINK_KINDS(peer, SCOPE_NODE, CAUSE_LASTING),
    LINK_KINDS(store, SCOPE_NODE, CAUSE_DOWN),
    LINK_KINDS(advice, SCOPE_NONE, CAUSE_NONE),
    LINK_KINDS(worker, SCOPE_NONE, CAUSE_NONE),
    KIND_CAUSE(
	"tables_busy", tables_busy, tables_normal, SCOPE_ALL, CAUSE_DOWN),
    KIND_CAUSE(
	"tables_silent", tables_silent, tables_normal, SCOPE_ALL, CAUSE_DOWN),
    KIND_CAUSE(
	"tables_lapse", tables_lapse, tables_normal, SCOPE_ALL, CAUSE_DOWN),
    KIND_CAUSE(
	"tables_slow", tables_slow, tables_normal, SCOPE_ALL, CAUSE_DOWN),
    KIND_CAUSE(
	"tables_lost", tables_lost, tables_normal, SCOPE_ALL, CAUSE_DOWN),
    KIND_CAUSE(
	"tables_late", tables_late, tables_normal, SCOPE_ALL, CAUSE_DOWN),
    KIND_CAUSE("tables_compact", tables_compact, NULL, SCOPE_ALL, CAUSE_DOWN),
    KIND("orders_lost", orders_lost, orders_normal),
    KIND("orders_late", orders_late, orders_normal),
    KIND("worker_crash", worker_crash, worker_replace),
    KIND("worker_rack", rack_crash, rack_replace),
    KIND("worker_failing", worker_fail, worker_normal),
    KIND("worker_still", worker_stall, worker_normal),
    KIND("worker_drain", worker_drain, worker_replace),
    KIND_CAUSE("tables_two_parts", tables_two_partitions, tables_normal,
	SCOPE_ALL, CAUSE_DOWN),
    KIND_CAUSE("tables_most_parts", tables_most_partitions, tables_normal,
	SCOPE_ALL, CAUSE_DOWN),
    KIND("entry_spoiled", entry_invalid, entry_valid),
    KIND("worker_shrunk", worker_shrink, worker_restore),
    {"peers_silence", false, peers_silence_begin, NULL, NULL, SCOPE_ALL,
	CAUSE_LASTING, true, 0, 0},
    CUT("member_cut", member_cut_begin, false),
    CUT("member_deaf", member_deaf_begin, false),
    CUT("member_mute", member_mute_begin, false),
    CUT("owner_cut", owner_cut_begin, true),
    CUT("pair_cut", pair_cut_begin, false),
    CUT("members_split", members_split_begin, true),
    PAUSES("node_paused", node_paused_step, false),
    PAUSES("owner_paused", owner_paused_step, true),
    PAUSES("all_paused", all_paused_step, true),
    PAUSES("node_starved", node_starved_step, false),
    PAUSES("all_starved", all_starved_step, true),
    KIND("worker_restart", worker_crash, worker_restart),
    KIND("rack_restart", rack_crash, rack_restart),
    KIND("worker_clock", worker_clock_begin, NULL),
    {"store_rejects", false, store_rejects_begin, store_rejects_end,
	store_rejects_step, SCOPE_NONE, CAUSE_NONE, true, REJECTS_MIN_MS,
	REJECTS_MAX_MS}};

#define KIND_COUNT (sizeof(kinds) / sizeof(kinds[0]))
/** With --kinds up to this number no worker shrinks and no job crashes its
 * workers. */
#define KINDS_BEFORE_CRASHES 51
/** Number of the kinds that precede cuts between nodes and repeated pauses. */
#define KINDS_BEFORE_LASTING 52
/** Number of the kinds that precede restarts of workers under their ids. */
#define KINDS_BEFORE_RESTARTS 64
/** Number of the kinds that precede a store that rejects some nodes. */
#define KINDS_BEFORE_REJECTS 67
/** One of this many workers has a lower capacity after all faults. */
#define SHRUNK_WORKERS 3

bool
fault_crashes(void)
{
	return !soak.planned_only &&
	       (soak.kinds == 0 || soak.kinds > KINDS_BEFORE_CRASHES);
}

static struct fault faults[FAULTS_MAX];
static unsigned int fault_count;
static unsigned int kind_counts[KIND_COUNT];

_Static_assert(KIND_COUNT > KINDS_BEFORE_LASTING, "new kinds must be last");
_Static_assert(KIND_COUNT > KINDS_BEFORE_RESTARTS, "new kinds must be last");
_Static_assert(KIND_COUNT > KINDS_BEFORE_REJECTS, "new kinds must be last");

/** Kinds that faults are drawn from. */
static const struct fault_kind *enabled[KIND_COUNT];
static unsigned int enabled_count;

static void
enabled_add(const char *name)
{
	size_t i;

	for (i = 0; i < KIND_COUNT; i++) {
		if (strcmp(kinds[i].name, name) == 0 &&
		    enabled_count < KIND_COUNT) {
			enabled[enabled_count++] = &kinds[i];
			return;
		}
	}
	fprintf(stderr, "soak: no kind of fault is called %s\n", name);
	exit(EXIT_FAILURE);
}

static void
enabled_set(void)
{
	char names[1024];
	char *rest;
	char *name;
	unsigned int i;

	if (soak.only != NULL || soak.storm) {
		snprintf(names, sizeof(names), "%s",
		    soak.only != NULL ? soak.only : STORM_KINDS);
		for (name = strtok_r(names, ",", &rest); name != NULL;
		     name = strtok_r(NULL, ",", &rest))
			enabled_add(name);
		return;
	}
	enabled_count =
	    soak.kinds > 0 && soak.kinds < KIND_COUNT ? soak.kinds : KIND_COUNT;
	for (i = 0; i < enabled_count; i++)
		enabled[i] = &kinds[i];
}

/** Scale a duration from the range of most kinds to the range of this kind. */
static gb_time
kind_duration(const struct fault_kind *kind, unsigned int ms)
{
	if (kind->max_ms > 0)
		ms = kind->min_ms + (ms - FAULT_DURATION_MIN_MS) *
					(kind->max_ms - kind->min_ms) /
					FAULT_DURATION_RANGE_MS;
	return ms * GB_MSEC;
}

/** Draw a fault that starts at a time.  Returns the start of the next one. */
static gb_time
fault_draw(gb_time at)
{
	struct fault *fault = &faults[fault_count++];
	unsigned int ms =
	    FAULT_DURATION_MIN_MS + soak_random(FAULT_DURATION_RANGE_MS);
	gb_time next;

	do {
		fault->kind = enabled[soak_random(enabled_count)];
	} while (soak.planned_only && !fault->kind->planned);
	fault->at = at;
	fault->until = at + kind_duration(fault->kind, ms);
	fault->node = soak_random(soak.node_count);
	fault->worker = soak_random(soak.worker_count);
	fault->random = soak.seed + fault_count;
	next =
	    at + (FAULT_GAP_MIN_MS + soak_random(FAULT_GAP_RANGE_MS)) * GB_MSEC;
	/* With --only, a fault begins near the end of the previous one, or
	 * after a time without faults. */
	if (soak.only != NULL && fault->kind->max_ms > 0)
		next += (fault->until - at) * (50 + soak_random(100)) / 100;
	else if (soak.only != NULL)
		next += soak_random(ONLY_GAP_RANGE_MS) * GB_MSEC;
	return next;
}

/** Plan faults of all nodes at once, of one kind after the other. */
static void
storm_plan(void)
{
	gb_time at = STORM_FIRST;
	unsigned int round;
	unsigned int i;

	for (round = 0; at < soak.seconds * GB_SEC * 2 / 3; round++) {
		const struct fault_kind *kind = enabled[round % enabled_count];

		for (i = 0; i < (kind->all_nodes ? 1 : soak.node_count) &&
			    fault_count < FAULTS_MAX;
		     i++) {
			struct fault *fault = &faults[fault_count++];

			fault->kind = kind;
			fault->at = at;
			fault->until =
			    at + (kind->max_ms > 0 ? STORM_DURATION : GB_SEC);
			fault->node = i;
			fault->random = soak.seed + fault_count;
		}
		at += STORM_INTERVAL;
	}
}

void
fault_plan(void)
{
	gb_time at = FAULT_FIRST;

	enabled_set();
	if (soak.storm) {
		storm_plan();
		return;
	}
	while (at < soak.seconds * GB_SEC && fault_count < FAULTS_MAX)
		at = fault_draw(at);
}

static void
fault_begin(struct fault *fault)
{
	fault->state = FAULT_ACTIVE;
	kind_counts[fault->kind - kinds]++;
	printf("%6lld ms %s node %u worker %u for %lld ms\n",
	    (long long)(soak_now() / GB_MSEC), fault->kind->name, fault->node,
	    fault->worker, (long long)((fault->until - fault->at) / GB_MSEC));
	fault->kind->begin(fault);
}

static void
fault_end(struct fault *fault)
{
	fault->state = FAULT_ENDED;
	if (fault->kind->end != NULL)
		fault->kind->end(fault);
}

/** Record that an active fault is a cause for takeovers now. */
static void
fault_cause_add(const struct fault *fault)
{
	const struct fault_kind *kind = fault->kind;
	unsigned int i;

	takeover_fault_add();
	if (kind->scope == SCOPE_NODE)
		takeover_cause_add(fault->node, kind->cause);
	for (i = 0; kind->scope == SCOPE_ALL && i < soak.node_count; i++)
		takeover_cause_add(i, kind->cause);
}

void
fault_tick(void)
{
	unsigned int i;

	for (i = 0; i < fault_count; i++) {
		struct fault *fault = &faults[i];

		if (fault->state == FAULT_PENDING && fault->at <= soak_now())
			fault_begin(fault);
		if (fault->state == FAULT_ACTIVE && fault->until <= soak_now())
			fault_end(fault);
		if (fault->state != FAULT_ACTIVE)
			continue;
		if (fault->kind->step != NULL)
			fault->kind->step(fault);
		fault_cause_add(fault);
		/* The nodes reach each other, so that configurations come into
		 * force on all of them. */
		if (fault->kind->begin == store_rejects_begin) {
			soak.store_rejects = soak_now();
			continue;
		}
		node_of(fault)->fault_at = soak_now();
		if (!fault->kind->planned)
			soak.unplanned = soak_now();
	}
}

void
fault_end_all(void)
{
	unsigned int i;

	for (i = 0; i < fault_count; i++) {
		if (faults[i].state == FAULT_ACTIVE)
			fault_end(&faults[i]);
		faults[i].state = FAULT_ENDED;
	}
	for (i = 0; fault_crashes() && i < soak.worker_count;
	     i += SHRUNK_WORKERS)
		soak_control("/worker/%u/shrunk", i);
}

void
fault_report(void)
{
	size_t i;

	printf("faults:");
	for (i = 0; i < KIND_COUNT; i++) {
		if (kind_counts[i] > 0)
			printf(" %s=%u", kinds[i].name, kind_counts[i]);
	}
	printf("\n");
}
