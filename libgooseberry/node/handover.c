/**
 * @file handover.c
 * Hands the pool over to a member while the owner goes on serving it.
 *
 * In a rolling restart every instance is stopped and started in turn while
 * callers go on, and the store may be slow meanwhile.  An owner that first
 * writes all its state and then releases the pool leaves it without an owner
 * for 0.25 s, and for 2 s and more when the store is 25 times slower.
 * Therefore the owner asks a member to claim the pool and serves until that
 * claim has replaced its own rows.  The claim is the same as after the loss of
 * an owner; no state is sent to the member.
 */
#include <string.h>

#include <jansson.h>

#include "node_state.h"

/** Timeout of the request to take the pool over.  The member answers before it
 * claims the pool. */
#define HANDOVER_ANSWER_TIMEOUT (500 * GB_MSEC)
/** Time from the request after which the claim counts as failed.  Its read and
 * its write take 1 s when the store is 60 times slower. */
#define HANDOVER_CLAIM_TIMEOUT (2500 * GB_MSEC)
/** Number of members that are asked before a stopping owner releases the pool.
 */
#define HANDOVER_TRIES_MAX 3

/** An owner keeps the pool at least this long before it hands it over to a
 * larger node, so that ownership does not change back and forth. */
#define OWNERSHIP_MIN (1500 * GB_MSEC)

static void handover_ask(struct gb_node *);

/** End this attempt.  An owner that is stopping asks the next member, and in
 * the end releases the pool. */
static void
handover_failed(struct gb_node *node, const char *why)
{
	gb_event(node->events, GB_EVENT_ALWAYS, "handover_failed",
	    "{s:s, s:s, s:I}", "member", node->handover.to, "why", why, "tries",
	    (json_int_t)node->handover.tries);
	node->handover.in_progress = false;
	if (!node->leaving)
		return;
	if (node->handover.tries < HANDOVER_TRIES_MAX)
		handover_ask(node);
	if (!node->handover.in_progress)
		gb_pool_release(node->pool, node_now());
}

/** The member answered whether it claims the pool. */
static void
handover_answered(void *data, gb_verdict verdict, void *arg)
{
	struct gb_node *node = data;
	const gb_takeover_res *res = arg;

	if (!node->handover.in_progress || node->handover.begun)
		return;
	if (verdict != GB_RUN)
		handover_failed(node, "the member did not answer");
	else if (!res->begun)
		handover_failed(node, "the member can't take the pool");
	else
		node->handover.begun = true;
}

/** Ask the most suitable member that has not been asked yet. */
static void
handover_ask(struct gb_node *node)
{
	struct succession_member *order =
	    gb_calloc(HASH_COUNT(node->members), sizeof(*order));
	size_t count = node_members_order(node, order);
	gb_takeover_request ask = {0};

	if (gb_pool_owns(node->pool) && node->handover.tries < count) {
		snprintf(node->handover.to, sizeof(node->handover.to), "%s",
		    order[node->handover.tries].addr);
		node->handover.tries++;
		node->handover.in_progress = true;
		node->handover.begun = false;
		node->handover.deadline = node_now() + HANDOVER_CLAIM_TIMEOUT;
		node->handover.epoch = gb_pool_epoch(node->pool);
		gb_event(node->events, GB_EVENT_ALWAYS, "handover_begun",
		    "{s:s, s:I}", "member", node->handover.to, "epoch",
		    (json_int_t)gb_pool_epoch(node->pool));
		ask.owner = node->settings.addr;
		ask.epoch = gb_pool_epoch(node->pool);
		gb_rpc_client_call(
		    gb_rpc_pool_get(node->peers, node->handover.to),
		    GB_PROC_SUCCEED, &ask, HANDOVER_ANSWER_TIMEOUT,
		    handover_answered, node);
	}
	free(order);
}

bool
node_handover_begin(struct gb_node *node)
{
	if (!NODE_USES(node, GB_FEATURE_HANDOVER))
		return false;
	if (node->handover.in_progress)
		return true;
	node->handover.tries = 0;
	handover_ask(node);
	return node->handover.in_progress;
}

void
node_handover_tick(struct gb_node *node)
{
	if (node->handover.in_progress &&
	    node->handover.deadline <= node_now()) {
		/* The claim of another member would come too late for callers
		 * that wait, so the pool is released. */
		node->handover.tries = HANDOVER_TRIES_MAX;
		handover_failed(node, "the claim did not come");
	}
}

void
node_handover_to_larger(struct gb_node *node)
{
	struct succession_member *order;

	if (node_now() - node->owned_at < OWNERSHIP_MIN ||
	    node->largest_milli * 2 < node->cpu_milli * 3)
		return;
	order = gb_calloc(HASH_COUNT(node->members), sizeof(*order));
	if (node_members_order(node, order) > 0 &&
	    order[0].cpu_milli * 2 >= node->cpu_milli * 3) {
		gb_event(node->events, GB_EVENT_ALWAYS, "pool_left_to_larger",
		    "{s:s, s:I, s:I}", "member", order[0].addr, "cpu_milli",
		    (json_int_t)order[0].cpu_milli, "own_milli",
		    (json_int_t)node->cpu_milli);
		/* The next attempt is made after OWNERSHIP_MIN. */
		node->owned_at = node_now();
		node_handover_begin(node);
	}
	free(order);
}

bool
node_handover_done(struct gb_node *node, uint64_t epoch)
{
	if (!node->handover.in_progress)
		return false;
	node->handover.in_progress = false;
	if (epoch <= node->handover.epoch)
		epoch = node->handover.epoch + 1;
	watch_pool_handed_over(
	    &node->watch, node_now(), node->handover.to, epoch);
	return true;
}

void
node_serve_succeed(struct gb_node *node, struct gb_rpc_call *call,
    const gb_takeover_request *ask)
{
	gb_takeover_res res = {0};

	res.begun = node->config != NULL && !node->leaving &&
		    !gb_pool_owns(node->pool) &&
		    !gb_pool_acquiring(node->pool) &&
		    !node_store_unavailable(node) &&
		    ask->epoch >= gb_pool_epoch(node->pool);
	gb_rpc_call_reply(call, &res);
	gb_event(node->events, GB_EVENT_ALWAYS, "handover_asked",
	    "{s:s, s:I, s:b}", "owner", ask->owner, "epoch",
	    (json_int_t)ask->epoch, "begun", (int)res.begun);
	if (!res.begun)
		return;
	watch_pool_lost(&node->watch, node_now(), 0);
	gb_pool_acquire(node->pool, node_now(), ask->epoch, TAKEOVER_REQUESTED);
}
