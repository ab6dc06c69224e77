/**
 * @file lasting.c
 * Faults that last long: cuts between nodes, while the store and the workers
 * stay reachable, a store that rejects some of the nodes, and nodes that are
 * paused repeatedly.
 */
#include <signal.h>
#include <stdlib.h>

#include "fault.h"

/** Duration of a pause. */
#define PAUSE_MIN_MS 700
#define PAUSE_MAX_MS 2000
/** Time from the beginning of a pause to that of the next. */
#define PAUSE_INTERVAL_MIN_MS 2000
#define PAUSE_INTERVAL_MAX_MS 4000
/** Time for which a starved node runs between two pauses. */
#define STARVED_RUN_MS 30
/** Duration of a starved node's pause. */
#define STARVED_MIN_MS 300
#define STARVED_MAX_MS 900

/** State of a node's pauses in one fault. */
struct fault_pause {
	gb_time next;	/**< when to pause or resume next */
	gb_time resume; /**< when to resume the node, 0: it runs */
};

/** Draw a duration between two bounds from the fault's own random numbers. */
static gb_time
duration_draw(struct fault *fault, unsigned int min_ms, unsigned int max_ms)
{
	uint64_t drawn = gb_random_next(&fault->random);

	return (gb_time)(min_ms + drawn % (max_ms - min_ms)) * GB_MSEC;
}

/* Cuts -------------------------------------------------------------------- */

/** Whether a fault cuts off the data from one node to another. */
typedef bool (*cut_covers)(
    const struct fault *, unsigned int from, unsigned int to);

static bool
covers_node(const struct fault *fault, unsigned int from, unsigned int to)
{
	return from == fault->node || to == fault->node;
}

static bool
covers_in(const struct fault *fault, unsigned int from, unsigned int to)
{
	(void)from;
	return to == fault->node;
}

static bool
covers_out(const struct fault *fault, unsigned int from, unsigned int to)
{
	(void)to;
	return from == fault->node;
}

static bool
covers_pair(const struct fault *fault, unsigned int from, unsigned int to)
{
	unsigned int other = fault->node + 1;

	other += fault->worker % (soak.node_count - 1);
	other %= soak.node_count;
	return (from == fault->node && to == other) ||
	       (from == other && to == fault->node);
}

static bool
in_first_group(const struct fault *fault, unsigned int node)
{
	return (node + fault->node) % soak.node_count < soak.node_count / 2;
}

static bool
covers_groups(const struct fault *fault, unsigned int from, unsigned int to)
{
	return in_first_group(fault, from) != in_first_group(fault, to);
}

/** Call a function for each pair of nodes that a fault cuts. */
static void
cut_each(const struct fault *fault, cut_covers covers,
    void (*apply)(unsigned int from, unsigned int to))
{
	unsigned int from;
	unsigned int to;

	for (from = 0; from < soak.node_count; from++) {
		for (to = 0; to < soak.node_count; to++) {
			if (from != to && covers(fault, from, to))
				apply(from, to);
		}
	}
}

/** Find the function for the pairs of nodes that a fault cuts. */
static cut_covers
cut_covers_of(const struct fault *fault)
{
	if (fault->kind->begin == member_deaf_begin)
		return covers_in;
	if (fault->kind->begin == member_mute_begin)
		return covers_out;
	if (fault->kind->begin == pair_cut_begin)
		return covers_pair;
	if (fault->kind->begin == members_split_begin)
		return covers_groups;
	return covers_node;
}

void
member_cut_begin(struct fault *fault)
{
	cut_each(fault, covers_node, reach_cut);
}

void
member_deaf_begin(struct fault *fault)
{
	cut_each(fault, covers_in, reach_cut);
}

void
member_mute_begin(struct fault *fault)
{
	cut_each(fault, covers_out, reach_cut);
}

void
owner_cut_begin(struct fault *fault)
{
	fault->node = takeover_owner();
	cut_each(fault, covers_node, reach_cut);
}

void
pair_cut_begin(struct fault *fault)
{
	cut_each(fault, covers_pair, reach_cut);
}

void
members_split_begin(struct fault *fault)
{
	cut_each(fault, covers_groups, reach_cut);
}

void
cut_end(struct fault *fault)
{
	cut_each(fault, cut_covers_of(fault), reach_restore);
}

void
peers_silence_begin(struct fault *fault)
{
	unsigned int i;

	(void)fault;
	for (i = 0; i < soak.node_count; i++)
		proxy_silence(soak.nodes[i].peer_proxy);
}

/* Store ------------------------------------------------------------------- */

/** Whether the store rejects a node: the owner and about two of three others.
 * One node is always served. */
static bool
store_rejects_node(const struct fault *fault, unsigned int node)
{
	unsigned int served = fault->node + 1;

	served += fault->worker % (soak.node_count - 1);
	if (node == served % soak.node_count)
		return false;
	return node == fault->node || (node + fault->worker) % 3 != 0;
}

void
store_rejects_begin(struct fault *fault)
{
	unsigned int i;

	fault->node = takeover_owner();
	for (i = 0; i < soak.node_count; i++) {
		if (!store_rejects_node(fault, i))
			continue;
		/* The calls get no answer, or their connections are reset. */
		if (fault->worker % 2 == 0) {
			proxy_set(soak.nodes[i].store_proxy, PROXY_CUT, 0);
			continue;
		}
		proxy_set(soak.nodes[i].store_proxy, PROXY_REFUSE, 0);
		proxy_reset(soak.nodes[i].store_proxy);
	}
}

void
store_rejects_step(struct fault *fault)
{
	gb_time change_at = fault->at + (fault->until - fault->at) / 4;
	unsigned int i;

	for (i = 0; i < soak.node_count; i++) {
		if (store_rejects_node(fault, i))
			takeover_cause_add(i, CAUSE_DOWN);
	}
	if (fault->changed || soak_now() < change_at)
		return;
	fault->changed = true;
	operator_change();
}

void
store_rejects_end(struct fault *fault)
{
	unsigned int i;

	for (i = 0; i < soak.node_count; i++) {
		if (store_rejects_node(fault, i))
			proxy_set(soak.nodes[i].store_proxy, PROXY_PASS, 0);
	}
}

/* Pauses ------------------------------------------------------------------ */

static struct fault_pause *
pause_of(struct fault *fault, unsigned int node)
{
	if (fault->pauses == NULL)
		fault->pauses =
		    gb_calloc(soak.node_count, sizeof(*fault->pauses));
	return &fault->pauses[node];
}

static void
node_resume(struct fault *fault, unsigned int node)
{
	pause_of(fault, node)->resume = 0;
	node_signal(&soak.nodes[node], SIGCONT);
}

/** Resume the nodes whose pauses are due to end. */
static void
resume_due(struct fault *fault)
{
	unsigned int i;

	for (i = 0; i < soak.node_count; i++) {
		gb_time resume = pause_of(fault, i)->resume;

		if (resume > 0 && resume <= soak_now())
			node_resume(fault, i);
	}
}

/** Pause a node if the next pause is due.  The schedule is common to all nodes
 * of the fault and kept in the entry of node 0. */
static void
pause_step(struct fault *fault, unsigned int node)
{
	struct fault_pause *schedule = pause_of(fault, 0);
	gb_time now = soak_now();
	gb_time length;

	resume_due(fault);
	if (schedule->next > now)
		return;
	schedule->next = now + duration_draw(fault, PAUSE_INTERVAL_MIN_MS,
				   PAUSE_INTERVAL_MAX_MS);
	length = duration_draw(fault, PAUSE_MIN_MS, PAUSE_MAX_MS);
	pause_of(fault, node)->resume = now + length;
	fault->pause_count++;
	node_signal(&soak.nodes[node], SIGSTOP);
}

void
node_paused_step(struct fault *fault)
{
	pause_step(fault, fault->node);
}

void
owner_paused_step(struct fault *fault)
{
	pause_step(fault, takeover_owner());
}

void
all_paused_step(struct fault *fault)
{
	pause_step(fault, (fault->node + fault->pause_count) % soak.node_count);
}

/** Pause a node, or resume it for a short time, if that is due. */
static void
starve_step(struct fault *fault, unsigned int node)
{
	struct fault_pause *pause = pause_of(fault, node);
	gb_time now = soak_now();

	if (pause->next > now)
		return;
	if (pause->resume > 0) {
		node_resume(fault, node);
		pause->next = now + STARVED_RUN_MS * GB_MSEC;
		return;
	}
	pause->next =
	    now + duration_draw(fault, STARVED_MIN_MS, STARVED_MAX_MS);
	pause->resume = pause->next;
	node_signal(&soak.nodes[node], SIGSTOP);
}

void
node_starved_step(struct fault *fault)
{
	starve_step(fault, fault->node);
}

void
all_starved_step(struct fault *fault)
{
	unsigned int i;

	for (i = 0; i < soak.node_count; i++)
		starve_step(fault, i);
}

void
pauses_end(struct fault *fault)
{
	unsigned int i;

	for (i = 0; i < soak.node_count; i++) {
		if (pause_of(fault, i)->resume > 0)
			node_resume(fault, i);
	}
	free(fault->pauses);
	fault->pauses = NULL;
}
