/**
 * @file fault.c
 * Faults of a run, drawn from its seed: each begins at some time, lasts a
 * while, and may overlap with others and with itself elsewhere.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fault.h"

#define FAULTS_MOST 4096
/** No faults before this time, so that the first owner is there. */
#define FAULT_FIRST (2 * GB_SEC)
/** Pause between the beginnings of two faults, at the least and more. */
#define FAULT_GAP_MS 150
#define FAULT_GAP_SPREAD_MS 1200
/** And this much more if they are all of a few kinds. */
#define ONLY_GAP_SPREAD_MS 6000
/** How long a fault lasts, at the least and more. */
#define FAULT_LENGTH_MS 300
#define FAULT_LENGTH_SPREAD_MS 3500
#define DELAY_MS 400
/** The time of day of workers jumps by some of these. */
#define WORKER_CLOCK_STEP_MS 2500
/** How long cuts between nodes and pauses again and again last. */
#define CUT_LEAST_MS 5000
#define CUT_MOST_MS 40000
#define PAUSES_LEAST_MS 10000
#define PAUSES_MOST_MS 30000
/** A storm hits at this time first, then again and again; the last third of
 * the run is quiet. */
#define STORM_FIRST (4 * GB_SEC)
#define STORM_EVERY (8 * GB_SEC)
#define STORM_LASTS (6 * GB_SEC)
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
freeze_begin(struct fault *fault)
{
	node_signal(node_of(fault), SIGSTOP);
}

static void
freeze_end(struct fault *fault)
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
	(void)fault; /* all is done by the steps */
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

/** Five ways in which the connections behind a proxy go wrong. */
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
/* Parts as bits: the first two, and three of five. */
STORE_FAULT(two_parts, "parts=3")
STORE_FAULT(most_parts, "parts=22")
STORE_FAULT(well, "")

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
orders_well(struct fault *fault)
{
	(void)fault;
	soak_control("/orders?");
}

#define WORKER_FAULT(name, what)                                 \
	static void name(struct fault *fault)                    \
	{                                                        \
		soak_control("/worker/%u/" what, fault->worker); \
	}

WORKER_FAULT(host_crash, "crash")
WORKER_FAULT(host_reborn, "reborn")
WORKER_FAULT(host_failing, "failing")
WORKER_FAULT(host_still, "still")
WORKER_FAULT(host_well, "well")
WORKER_FAULT(host_drain, "drain")
WORKER_FAULT(entry_spoiled, "spoiled")
WORKER_FAULT(entry_sound, "sound")
WORKER_FAULT(host_shrunk, "shrunk")
WORKER_FAULT(host_whole, "whole")

static void
rack_crash(struct fault *fault)
{
	unsigned int i;

	for (i = fault->worker / 8 * 8;
	     i < fault->worker / 8 * 8 + 8 && i < soak.worker_count; i++)
		soak_control("/worker/%u/crash", i);
}

static void
rack_reborn(struct fault *fault)
{
	unsigned int i;

	for (i = fault->worker / 8 * 8;
	     i < fault->worker / 8 * 8 + 8 && i < soak.worker_count; i++)
		soak_control("/worker/%u/reborn", i);
}

/** The worker starts again under its id; its connections went with the process
 * before. */
static void
host_restart_one(unsigned int worker)
{
	proxy_reset(soak.worker_proxies[worker]);
	soak_control("/worker/%u/restart", worker);
}

static void
host_restart(struct fault *fault)
{
	host_restart_one(fault->worker);
}

static void
rack_restart(struct fault *fault)
{
	unsigned int i;

	for (i = fault->worker / 8 * 8;
	     i < fault->worker / 8 * 8 + 8 && i < soak.worker_count; i++)
		host_restart_one(i);
}

static void
host_clock_begin(struct fault *fault)
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

/** Kinds of which nobody must notice more than a refusal. */
#define PLANNED(word, first, last)                                             \
	{                                                                      \
		word, true, first, last, NULL, SCOPE_NOBODY, HARM_NONE, false, \
		    0, 0                                                       \
	}
#define KIND_HARM(word, first, last, who, does)                        \
	{                                                              \
		word, false, first, last, NULL, who, does, false, 0, 0 \
	}
#define KIND(word, first, last) \
	KIND_HARM(word, first, last, SCOPE_NOBODY, HARM_NONE)
#define LINK_KINDS(what, who, does)                                        \
	KIND_HARM(#what "_delay", what##_delay, what##_pass, who, does),   \
	    KIND_HARM(#what "_cut", what##_cut, what##_pass, who, does),   \
	    KIND_HARM(                                                     \
		#what "_one_way", what##_one_way, what##_pass, who, does), \
	    KIND_HARM(#what "_reset", what##_reset, NULL, who, does),      \
	    KIND_HARM(#what "_silence", what##_silence, NULL, who, does)
/** Cuts between nodes, and pauses. */
#define CUT(word, first, whole)                                             \
	{                                                                   \
		word, false, first, cut_end, NULL, SCOPE_NOBODY, HARM_NONE, \
		    whole, CUT_LEAST_MS, CUT_MOST_MS                        \
	}
#define PAUSES(word, each, whole)                                          \
	{                                                                  \
		word, false, pauses_begin, pauses_end, each, SCOPE_NOBODY, \
		    HARM_NONE, whole, PAUSES_LEAST_MS, PAUSES_MOST_MS      \
	}

static const struct fault_kind kinds[] = {
    PLANNED("node_term", term_begin, NULL),
    PLANNED("node_hup", hup_begin, NULL), PLANNED("config", config_begin, NULL),
    PLANNED("cancel_wave", cancel_begin, cancel_end),
    PLANNED("burst", burst_begin, burst_end),
    PLANNED("clock_step", clock_begin, NULL),
    KIND("node_kill", kill_begin, NULL),
    KIND("node_kill_all", kill_all_begin, NULL),
    KIND("node_freeze", freeze_begin, freeze_end),
    LINK_KINDS(front, SCOPE_NOBODY, HARM_NONE),
    LINK_KINDS(peer, SCOPE_NODE, HARM_LASTING),
    LINK_KINDS(store, SCOPE_NODE, HARM_DOWN),
    LINK_KINDS(advice, SCOPE_NOBODY, HARM_NONE),
    LINK_KINDS(worker, SCOPE_NOBODY, HARM_NONE),
    KIND_HARM("tables_busy", tables_busy, tables_well, SCOPE_ALL, HARM_DOWN),
    KIND_HARM(
	"tables_silent", tables_silent, tables_well, SCOPE_ALL, HARM_DOWN),
    KIND_HARM("tables_lapse", tables_lapse, tables_well, SCOPE_ALL, HARM_DOWN),
    KIND_HARM("tables_slow", tables_slow, tables_well, SCOPE_ALL, HARM_DOWN),
    KIND_HARM("tables_lost", tables_lost, tables_well, SCOPE_ALL, HARM_DOWN),
    KIND_HARM("tables_late", tables_late, tables_well, SCOPE_ALL, HARM_DOWN),
    KIND_HARM("tables_compact", tables_compact, NULL, SCOPE_ALL, HARM_DOWN),
    KIND("orders_lost", orders_lost, orders_well),
    KIND("orders_late", orders_late, orders_well),
    KIND("worker_crash", host_crash, host_reborn),
    KIND("worker_rack", rack_crash, rack_reborn),
    KIND("worker_failing", host_failing, host_well),
    KIND("worker_still", host_still, host_well),
    KIND("worker_drain", host_drain, host_reborn),
    KIND_HARM("tables_two_parts", tables_two_parts, tables_well, SCOPE_ALL,
	HARM_DOWN),
    KIND_HARM("tables_most_parts", tables_most_parts, tables_well, SCOPE_ALL,
	HARM_DOWN),
    KIND("entry_spoiled", entry_spoiled, entry_sound),
    KIND("worker_shrunk", host_shrunk, host_whole),
    {"peers_silence", false, peers_silence_begin, NULL, NULL, SCOPE_ALL,
	HARM_LASTING, true, 0, 0},
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
    KIND("worker_restart", host_crash, host_restart),
    KIND("rack_restart", rack_crash, rack_restart),
    KIND("worker_clock", host_clock_begin, NULL)};

#define KIND_COUNT (sizeof(kinds) / sizeof(kinds[0]))
/** Kinds of the seeds from before workers shrank and tasks crashed them. */
#define KINDS_BEFORE_CRASHES 51
/** And from before cuts between nodes and pauses again and again. */
#define KINDS_BEFORE_LASTING 52
/** And from before workers started again under their ids. */
#define KINDS_BEFORE_RESTARTS 64
/** One worker in so many is shrunk when all else is calm. */
#define SHRUNK_WORKERS 3

bool
fault_crashes(void)
{
	return !soak.planned_only &&
	       (soak.kinds == 0 || soak.kinds > KINDS_BEFORE_CRASHES);
}

static struct fault faults[FAULTS_MOST];
static unsigned int fault_count;
static unsigned int kind_counts[KIND_COUNT];

_Static_assert(KIND_COUNT > KINDS_BEFORE_LASTING, "new kinds stand last");
_Static_assert(KIND_COUNT > KINDS_BEFORE_RESTARTS, "new kinds stand last");

/** Kinds that are drawn from. */
static const struct fault_kind *drawn[KIND_COUNT];
static unsigned int drawn_count;

static void
drawn_add(const char *name)
{
	size_t i;

	for (i = 0; i < KIND_COUNT; i++) {
		if (strcmp(kinds[i].name, name) == 0 &&
		    drawn_count < KIND_COUNT) {
			drawn[drawn_count++] = &kinds[i];
			return;
		}
	}
	fprintf(stderr, "soak: no kind of fault is called %s\n", name);
	exit(EXIT_FAILURE);
}

static void
drawn_set(void)
{
	char words[1024];
	char *rest;
	char *name;
	unsigned int i;

	if (soak.only != NULL || soak.storm) {
		snprintf(words, sizeof(words), "%s",
		    soak.only != NULL ? soak.only : STORM_KINDS);
		for (name = strtok_r(words, ",", &rest); name != NULL;
		     name = strtok_r(NULL, ",", &rest))
			drawn_add(name);
		return;
	}
	drawn_count =
	    soak.kinds > 0 && soak.kinds < KIND_COUNT ? soak.kinds : KIND_COUNT;
	for (i = 0; i < drawn_count; i++)
		drawn[i] = &kinds[i];
}

/** A length that was drawn for most kinds, as one for this kind. */
static gb_time
length_of(const struct fault_kind *kind, unsigned int ms)
{
	if (kind->most_ms > 0)
		ms = kind->least_ms + (ms - FAULT_LENGTH_MS) *
					  (kind->most_ms - kind->least_ms) /
					  FAULT_LENGTH_SPREAD_MS;
	return ms * GB_MSEC;
}

static gb_time
fault_draw(gb_time at)
{
	struct fault *fault = &faults[fault_count++];
	unsigned int length =
	    FAULT_LENGTH_MS + soak_random(FAULT_LENGTH_SPREAD_MS);
	gb_time next;

	do {
		fault->kind = drawn[soak_random(drawn_count)];
	} while (soak.planned_only && !fault->kind->planned);
	fault->at = at;
	fault->until = at + length_of(fault->kind, length);
	fault->node = soak_random(soak.node_count);
	fault->worker = soak_random(soak.worker_count);
	fault->random = soak.seed + fault_count;
	next = at + (FAULT_GAP_MS + soak_random(FAULT_GAP_SPREAD_MS)) * GB_MSEC;
	/* Alone, a fault meets the end of the one before it, or a calm. */
	if (soak.only != NULL && fault->kind->most_ms > 0)
		next += (fault->until - at) * (50 + soak_random(100)) / 100;
	else if (soak.only != NULL)
		next += soak_random(ONLY_GAP_SPREAD_MS) * GB_MSEC;
	return next;
}

/** One kind after the other hits all nodes. */
static void
storm_plan(void)
{
	gb_time at = STORM_FIRST;
	unsigned int round;
	unsigned int i;

	for (round = 0; at < soak.seconds * GB_SEC * 2 / 3; round++) {
		const struct fault_kind *kind = drawn[round % drawn_count];

		for (i = 0; i < (kind->together ? 1 : soak.node_count) &&
			    fault_count < FAULTS_MOST;
		     i++) {
			struct fault *fault = &faults[fault_count++];

			fault->kind = kind;
			fault->at = at;
			fault->until =
			    at + (kind->most_ms > 0 ? STORM_LASTS : GB_SEC);
			fault->node = i;
			fault->random = soak.seed + fault_count;
		}
		at += STORM_EVERY;
	}
}

void
fault_plan(void)
{
	gb_time at = FAULT_FIRST;

	drawn_set();
	if (soak.storm) {
		storm_plan();
		return;
	}
	while (at < soak.seconds * GB_SEC && fault_count < FAULTS_MOST)
		at = fault_draw(at);
}

static void
fault_begin(struct fault *fault)
{
	fault->state = FAULT_ON;
	kind_counts[fault->kind - kinds]++;
	printf("%6lld ms %s node %u worker %u for %lld ms\n",
	    (long long)(soak_now() / GB_MSEC), fault->kind->name, fault->node,
	    fault->worker, (long long)((fault->until - fault->at) / GB_MSEC));
	fault->kind->begin(fault);
}

static void
fault_end(struct fault *fault)
{
	fault->state = FAULT_OVER;
	if (fault->kind->end != NULL)
		fault->kind->end(fault);
}

/** Tell what harm a fault does now. */
static void
fault_suffer(const struct fault *fault)
{
	const struct fault_kind *kind = fault->kind;
	unsigned int i;

	takeover_trouble();
	if (kind->scope == SCOPE_NODE)
		takeover_harm(fault->node, kind->harm);
	for (i = 0; kind->scope == SCOPE_ALL && i < soak.node_count; i++)
		takeover_harm(i, kind->harm);
}

void
fault_tick(void)
{
	unsigned int i;

	for (i = 0; i < fault_count; i++) {
		struct fault *fault = &faults[i];

		if (fault->state == FAULT_AHEAD && fault->at <= soak_now())
			fault_begin(fault);
		if (fault->state == FAULT_ON && fault->until <= soak_now())
			fault_end(fault);
		if (fault->state != FAULT_ON)
			continue;
		if (fault->kind->step != NULL)
			fault->kind->step(fault);
		fault_suffer(fault);
		node_of(fault)->harmed = soak_now();
		if (!fault->kind->planned)
			soak.unplanned = soak_now();
	}
}

void
fault_heal(void)
{
	unsigned int i;

	for (i = 0; i < fault_count; i++) {
		if (faults[i].state == FAULT_ON)
			fault_end(&faults[i]);
		faults[i].state = FAULT_OVER;
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
