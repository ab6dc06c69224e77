/**
 * @file fault.c
 * Faults of a run, drawn from its seed: each begins at some time, lasts a
 * while, and may overlap with others and with itself elsewhere.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "soak.h"

#define FAULTS_MOST 4096
/** No faults before this time, so that the first owner is there. */
#define FAULT_FIRST (2 * GB_SEC)
/** Pause between the beginnings of two faults, at the least and more. */
#define FAULT_GAP_MS 150
#define FAULT_GAP_SPREAD_MS 1200
/** How long a fault lasts, at the least and more. */
#define FAULT_LENGTH_MS 300
#define FAULT_LENGTH_SPREAD_MS 3500
#define DELAY_MS 400

struct fault {
	const struct fault_kind *kind;
	gb_time at;
	gb_time until;
	unsigned int node;
	unsigned int worker;
	enum { FAULT_AHEAD, FAULT_ON, FAULT_OVER } state;
};

struct fault_kind {
	const char *name;
	bool planned; /**< planned work: nothing may be lost by it */
	void (*begin)(struct fault *);
	void (*end)(struct fault *); /**< null: it ends by itself */
};

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

#define LINK_KINDS(what)                                            \
	{#what "_delay", false, what##_delay, what##_pass},         \
	    {#what "_cut", false, what##_cut, what##_pass},         \
	    {#what "_one_way", false, what##_one_way, what##_pass}, \
	    {#what "_reset", false, what##_reset, NULL},            \
	{                                                           \
#what "_silence", false, what##_silence, NULL       \
	}

static const struct fault_kind kinds[] = {{"node_term", true, term_begin, NULL},
    {"node_hup", true, hup_begin, NULL}, {"config", true, config_begin, NULL},
    {"cancel_wave", true, cancel_begin, cancel_end},
    {"burst", true, burst_begin, burst_end},
    {"clock_step", true, clock_begin, NULL},
    {"node_kill", false, kill_begin, NULL},
    {"node_kill_all", false, kill_all_begin, NULL},
    {"node_freeze", false, freeze_begin, freeze_end}, LINK_KINDS(front),
    LINK_KINDS(peer), LINK_KINDS(store), LINK_KINDS(advice), LINK_KINDS(worker),
    {"tables_busy", false, tables_busy, tables_well},
    {"tables_silent", false, tables_silent, tables_well},
    {"tables_lapse", false, tables_lapse, tables_well},
    {"tables_slow", false, tables_slow, tables_well},
    {"tables_lost", false, tables_lost, tables_well},
    {"tables_late", false, tables_late, tables_well},
    {"tables_compact", false, tables_compact, NULL},
    {"orders_lost", false, orders_lost, orders_well},
    {"orders_late", false, orders_late, orders_well},
    {"worker_crash", false, host_crash, host_reborn},
    {"worker_rack", false, rack_crash, rack_reborn},
    {"worker_failing", false, host_failing, host_well},
    {"worker_still", false, host_still, host_well},
    {"worker_drain", false, host_drain, host_reborn},
    {"tables_two_parts", false, tables_two_parts, tables_well},
    {"tables_most_parts", false, tables_most_parts, tables_well},
    {"entry_spoiled", false, entry_spoiled, entry_sound},
    {"worker_shrunk", false, host_shrunk, host_whole}};

#define KIND_COUNT (sizeof(kinds) / sizeof(kinds[0]))
/** Kinds of the seeds from before workers shrank and tasks crashed them. */
#define KINDS_BEFORE_CRASHES 51
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

void
fault_plan(void)
{
	gb_time at = FAULT_FIRST;
	unsigned int kind_count =
	    soak.kinds > 0 && soak.kinds < KIND_COUNT ? soak.kinds : KIND_COUNT;

	while (at < soak.seconds * GB_SEC && fault_count < FAULTS_MOST) {
		struct fault *fault = &faults[fault_count++];

		fault->at = at;
		fault->until = at + (FAULT_LENGTH_MS +
					soak_random(FAULT_LENGTH_SPREAD_MS)) *
					GB_MSEC;
		do {
			fault->kind = &kinds[soak_random(kind_count)];
		} while (soak.planned_only && !fault->kind->planned);
		fault->node = soak_random(soak.node_count);
		fault->worker = soak_random(soak.worker_count);
		at +=
		    (FAULT_GAP_MS + soak_random(FAULT_GAP_SPREAD_MS)) * GB_MSEC;
	}
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
