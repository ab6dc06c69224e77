/**
 * @file handover.c
 * Hands the pool to a member while it is still being served.
 *
 * Load: every instance is stopped and started in turn while callers go on, and
 * the store may be slow meanwhile.  An owner that first writes all it has and
 * then lets go leaves the pool without an owner for a quarter of a second when
 * all is calm and for 2 s and more when the store is 25 times slower.  So the
 * owner asks a member to claim the pool and serves on until the claim is there,
 * which takes its rows from it; the claim is the same as after a loss, so that
 * nothing is handed over but the turn.
 */
#include <string.h>

#include <jansson.h>

#include "node_state.h"

/** A member answers at once whether it begins. */
#define HANDOVER_ANSWER_TIMEOUT (500 * GB_MSEC)
/** A claim that has not come by then has failed: worked out, its read and its
 * write take 1 s when the store is 60 times slower. */
#define HANDOVER_CLAIM_TIMEOUT (2500 * GB_MSEC)
/** Members that are asked before the owner lets go. */
#define HANDOVER_TRIES_MAX 3

/** An owner stays for this long before it makes way for a larger node, so that
 * the pool does not go to and fro. */
#define OWNERSHIP_MIN (1500 * GB_MSEC)

static void handover_ask(struct gb_node *);

static void
handover_failed(struct gb_node *node, const char *why)
{
	gb_event(node->events, GB_EVENT_ALWAYS, "handover_failed",
	    "{s:s, s:s, s:I}", "member", node->handover.to, "why", why, "tries",
	    (json_int_t)node->handover.tries);
	node->handover.under_way = false;
	if (!node->leaving)
		return;
	if (node->handover.tries < HANDOVER_TRIES_MAX)
		handover_ask(node);
	if (!node->handover.under_way)
		gb_pool_release(node->pool, node_now());
}

static void
handover_answered(void *data, gb_verdict verdict, void *arg)
{
	struct gb_node *node = data;
	const gb_succeed_res *res = arg;

	if (!node->handover.under_way || node->handover.begun)
		return;
	if (verdict != GB_RUN)
		handover_failed(node, "the member did not answer");
	else if (!res->begun)
		handover_failed(node, "the member can't take the pool");
	else
		node->handover.begun = true;
}

/** Ask the best member that has not been asked. */
static void
handover_ask(struct gb_node *node)
{
	struct succession_member *order =
	    gb_calloc(HASH_COUNT(node->members), sizeof(*order));
	size_t count = node_members_order(node, order);
	gb_succeed ask = {0};

	if (gb_pool_owns(node->pool) && node->handover.tries < count) {
		snprintf(node->handover.to, sizeof(node->handover.to), "%s",
		    order[node->handover.tries].addr);
		node->handover.tries++;
		node->handover.under_way = true;
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
	if (node->handover.under_way)
		return true;
	node->handover.tries = 0;
	handover_ask(node);
	return node->handover.under_way;
}

void
node_handover_tick(struct gb_node *node)
{
	if (node->handover.under_way && node->handover.deadline <= node_now()) {
		/* Another claim would come too late for callers that wait. */
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
		node->owned_at = node_now();
		node_handover_begin(node);
	}
	free(order);
}

bool
node_handover_done(struct gb_node *node, uint64_t epoch)
{
	if (!node->handover.under_way)
		return false;
	node->handover.under_way = false;
	if (epoch <= node->handover.epoch)
		epoch = node->handover.epoch + 1;
	watch_handed(&node->watch, node_now(), node->handover.to, epoch);
	return true;
}

void
node_serve_succeed(
    struct gb_node *node, struct gb_rpc_call *call, const gb_succeed *ask)
{
	gb_succeed_res res = {0};

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
	watch_lost(&node->watch, node_now(), 0);
	gb_pool_take(node->pool, node_now(), ask->epoch, TAKEOVER_REQUESTED);
}
