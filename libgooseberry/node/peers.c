/**
 * @file peers.c
 * Calls between nodes.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "node_state.h"

/** Timeout of a hello and of a poll of a member. */
#define HELLO_TIMEOUT (600 * GB_MSEC)
/** Number of members that are polled about the owner. */
#define POLL_MEMBERS_MAX 3
/** Number of members that a new owner sends a hello to in each tick, so that it
 * doesn't open hundreds of connections at once. */
#define TELL_MEMBERS_MAX 16

static gb_time
hello_timeout(const struct gb_node *node)
{
	return HELLO_TIMEOUT + gb_link_answer_delay(gb_env_link(node->env));
}

/** Describe this node in a hello.  The strings stay the node's. */
static void
hello_fill(struct gb_node *node, gb_hello *hello)
{
	memset(hello, 0, sizeof(*hello));
	hello->name = node->settings.name;
	hello->addr = node->settings.addr;
	hello->dc = node->settings.dc;
	hello->incarnation = node->incarnation;
	hello->epoch = gb_pool_epoch(node->pool);
	hello->config = node->config == NULL ? 0 : node->config->version;
	hello->cpu_milli = node->cpu_milli;
	hello->up_us = node_now() - node->started;
	hello->leaving = node->leaving;
	hello->members_known = node->known_members_vers;
}

/** Replace the known members by the owner's list if it is a newer one. */
static void
known_members_update(struct gb_node *node, const gb_hello_res *res)
{
	u_int i;

	if (res->members_vers == node->known_members_vers)
		return;
	node->known_members_vers = res->members_vers;
	free(node->known_members);
	node->known_members =
	    gb_calloc(res->members.members_len, GB_NAME_MAX + 1);
	node->known_members_count = 0;
	for (i = 0; i < res->members.members_len; i++) {
		if (strcmp(res->members.members_val[i], node->settings.addr) ==
		    0)
			continue;
		snprintf(node->known_members[node->known_members_count++],
		    GB_NAME_MAX + 1, "%s", res->members.members_val[i]);
	}
}

/** Take note of the configuration that an answer names or has with it. */
static void
config_received(struct gb_node *node, const gb_hello_res *res, const char *from)
{
	node_config_announced(node, res->config);
	if (res->config_text.gb_body_len > 0)
		node_config_received(node, res->config_text.gb_body_val,
		    res->config_text.gb_body_len, from);
}

/** Place of this node in the order of succession. */
static struct succession
succession_from_hello(const struct gb_node *node, const gb_hello_res *res)
{
	struct succession place = {SUCCESSION_UNRANKED, 0, 0};

	place.ranked = res->ranked;
	place.members = (unsigned int)node->known_members_count;
	if (NODE_USES(node, GB_FEATURE_SUCCESSION))
		place.rank = res->rank;
	return place;
}

/** A hello that is in flight. */
struct hello_call {
	struct gb_node *node;
	char to[GB_NAME_MAX + 1];
	gb_time sent;
};

/** Keep the forecast of the owner. */
static void
forecast_received(struct gb_node *node, const gb_hello_res *res)
{
	u_int i;

	node->owner_forecast_count = 0;
	node->owner_forecast_at = node_now();
	for (i = 0; i < res->forecast_ms.forecast_ms_len &&
		    i < GB_POOL_FORECAST_PRIORITIES;
	     i++)
		node->owner_forecast_ms[node->owner_forecast_count++] =
		    res->forecast_ms.forecast_ms_val[i];
}

/** The hello to the owner was answered, or failed. */
static void
owner_answered(struct gb_node *node, const struct hello_call *call,
    gb_verdict verdict, const gb_hello_res *res)
{
	struct watch_owner_status status = {0};
	gb_time now = node_now();

	if (verdict != GB_RUN) {
		/* A connection that timed out was not refused: its packets may
		 * have been lost. */
		watch_hello_failed(&node->watch, now,
		    verdict == GB_NOT_RUN &&
			now - call->sent < hello_timeout(node));
		owner_monitor_hello_lost(node);
		return;
	}
	owner_monitor_hello_answered(node);
	config_received(node, res, call->to);
	if (res->acquiring) {
		node->owner_shed_percent = 0;
		watch_owner_acquiring(&node->watch, now);
		return;
	}
	if (!res->owner) {
		watch_owner_denied(
		    &node->watch, now, res->owner_addr, res->epoch);
		return;
	}
	gb_pool_epoch_found(node->pool, now, res->epoch);
	known_members_update(node, res);
	status.epoch = res->epoch;
	status.vacating = res->vacating && !node->leaving;
	status.store_unavailable = res->store_unavailable;
	status.store_silent = res->store_silent_us;
	status.largest_milli = res->largest_milli;
	status.link_full = res->shed > 0;
	node->owner_link_was_full = status.link_full;
	status.place = succession_from_hello(node, res);
	node->owner_shed_percent = res->shed;
	forecast_received(node, res);
	if (res->config_source != NULL)
		snprintf(node->fetch.named, sizeof(node->fetch.named), "%s",
		    res->config_source);
	watch_hello_answered(&node->watch, now, &status);
}

static void
hello_done(void *data, gb_verdict verdict, void *arg)
{
	struct hello_call *call = data;
	struct gb_node *node = call->node;

	/* An answer of an earlier owner says nothing about the present one. */
	if (strcmp(call->to, node->watch.owner) == 0)
		owner_answered(node, call, verdict, arg);
	else if (verdict == GB_RUN)
		config_received(node, arg, call->to);
	free(call);
}

void
node_hello(struct gb_node *node)
{
	struct hello_call *call = gb_calloc(1, sizeof(*call));
	gb_hello hello;

	call->node = node;
	call->sent = node_now();
	snprintf(call->to, sizeof(call->to), "%s", node->watch.owner);
	hello_fill(node, &hello);
	node->watch.hello_in_flight = true;
	owner_monitor_hello_sent(node);
	gb_rpc_client_call(gb_rpc_pool_get(node->peers, node->watch.owner),
	    GB_PROC_HELLO, &hello, hello_timeout(node), hello_done, call);
}

/** Take note of what a member that was asked knows of the configuration and of
 * the owner.  An owner of an earlier epoch than the newest one is not followed.
 */
static void
member_answered(struct gb_node *node, const gb_hello_res *res)
{
	config_received(node, res, "member");
	gb_pool_epoch_found(node->pool, node_now(), res->epoch);
	if (res->epoch == gb_pool_epoch(node->pool))
		watch_owner_named(
		    &node->watch, node_now(), res->owner_addr, res->epoch);
}

/** A polled member answered with what it knows of the owner, or failed to. */
static void
poll_done(void *data, gb_verdict verdict, void *arg)
{
	struct gb_node *node = data;
	const gb_hello_res *res = arg;

	if (verdict != GB_RUN) {
		watch_add_vote(&node->watch, WATCH_VOTE_NONE);
		return;
	}
	if (res->owner || res->acquiring ||
	    res->owner_silent_us < node_owner_silence_max(node))
		watch_add_vote(&node->watch, WATCH_VOTE_REACHABLE);
	else
		watch_add_vote(&node->watch, WATCH_VOTE_UNREACHABLE);
	member_answered(node, res);
}

/** A member that was asked who owns the pool answered, or failed to. */
static void
inquiry_done(void *data, gb_verdict verdict, void *arg)
{
	if (verdict == GB_RUN)
		member_answered(data, arg);
}

/** Choose members to ask about the owner, from a random one on.  Returns their
 * number; the addresses belong to the node. */
static unsigned int
members_choose(struct gb_node *node, const char *chosen[POLL_MEMBERS_MAX])
{
	unsigned int count = 0;
	size_t from;
	size_t i;

	if (node->known_members_count == 0)
		return 0;
	from = gb_random_next(&node->watch.seed) % node->known_members_count;
	for (i = 0; i < node->known_members_count && count < POLL_MEMBERS_MAX;
	     i++) {
		const char *addr =
		    node->known_members[(from + i) % node->known_members_count];

		if (strcmp(addr, node->watch.owner) != 0)
			chosen[count++] = addr;
	}
	return count;
}

/** Send a hello to members other than the owner. */
static void
members_ask(struct gb_node *node, gb_hello *hello, const char *const *members,
    unsigned int count, gb_rpc_done done)
{
	unsigned int i;

	for (i = 0; i < count; i++)
		gb_rpc_client_call(gb_rpc_pool_get(node->peers, members[i]),
		    GB_PROC_HELLO, hello, hello_timeout(node), done, node);
}

void
node_poll_members(struct gb_node *node)
{
	const char *members[POLL_MEMBERS_MAX];
	unsigned int count = members_choose(node, members);
	gb_hello hello;

	hello_fill(node, &hello);
	owner_monitor_suspected(node, count);
	watch_poll_begun(&node->watch, node_now(), count);
	members_ask(node, &hello, members, count, poll_done);
}

void
node_inquire_owner(struct gb_node *node)
{
	const char *members[POLL_MEMBERS_MAX];
	unsigned int count = members_choose(node, members);
	gb_hello hello;

	hello_fill(node, &hello);
	/* If this node has only heard of an epoch, its owner is to be found in
	 * the store, and the members don't have to look for it as well. */
	hello.epoch = node->watch.epoch;
	members_ask(node, &hello, members, count, inquiry_done);
}

/** Ask one node who owns the pool. */
static void
node_ask(struct gb_node *node, const char *addr)
{
	gb_hello hello;

	hello_fill(node, &hello);
	members_ask(node, &hello, &addr, 1, inquiry_done);
}

/** A hello names the epoch of this owner.  Members that can't read the owner's
 * row, and a former owner that the store rejects, learn of the new one by it.
 */
void
node_tell_members(struct gb_node *node)
{
	unsigned int told;

	if (node->former_owner[0] != '\0') {
		node_ask(node, node->former_owner);
		node->former_owner[0] = '\0';
	}
	for (told = 0; told < TELL_MEMBERS_MAX &&
		       node->members_told < node->known_members_count;
	     told++)
		node_ask(node, node->known_members[node->members_told++]);
}

/* Serving ----------------------------------------------------------------- */

static void
serve_hello(
    struct gb_node *node, struct gb_rpc_call *call, const gb_hello *hello)
{
	gb_hello_res res = {0};
	uint32_t forecast_ms[GB_POOL_FORECAST_PRIORITIES];
	gb_time now = node_now();
	char none[] = "";

	res.rank = SUCCESSION_UNRANKED;
	res.config_source = none;
	node_config_announced(node, hello->config);
	gb_pool_epoch_found(node->pool, now, hello->epoch);
	if (!gb_pool_owns(node->pool) && !gb_pool_acquiring(node->pool) &&
	    watch_epoch_heard(&node->watch, now, hello->epoch))
		node_ask(node, hello->addr);
	/* A node that has released the pool still answers as an owner that
	 * vacates it, so that a successor claims it at once. */
	res.owner = gb_pool_owns(node->pool) || node->released;
	res.acquiring = gb_pool_loading(node->pool);
	res.vacating =
	    node->released || (node->leaving && !node->handover.in_progress);
	res.epoch = gb_pool_epoch(node->pool);
	/* The epoch of the member that the pool was handed to may be newer. */
	if (node->watch.epoch > res.epoch)
		res.epoch = node->watch.epoch;
	/* This node may have heard of an epoch and not know its owner yet. */
	res.owner_addr =
	    res.epoch == node->watch.epoch ? node->watch.owner : none;
	if (res.acquiring)
		res.owner_addr = node->settings.addr;
	res.owner_silent_us = watch_owner_silence(&node->watch, now);
	if (gb_pool_owns(node->pool)) {
		node_members_fill(node, node_member_hello_received(node, hello),
		    hello->members_known, &res);
		res.owner_addr = node->settings.addr;
		res.owner_silent_us = 0;
		res.store_silent_us = gb_pool_store_silent(node->pool, now);
		res.store_unavailable =
		    NODE_USES(node, GB_FEATURE_STORE_CHECK) &&
		    gb_pool_store_unavailable(node->pool);
		res.shed = node_shed_percent(node);
		res.forecast_ms.forecast_ms_len =
		    (u_int)gb_pool_forecast(node->pool, now, forecast_ms);
		res.forecast_ms.forecast_ms_val = forecast_ms;
		res.config_source =
		    (char *)node_config_source(node, hello->config);
	}
	res.config = node->config == NULL ? 0 : node->config->version;
	gb_rpc_call_reply(call, &res);
	free(res.members.members_val);
}

/** Receive a configuration from a member that runs an older program. */
static void
serve_config(
    struct gb_node *node, struct gb_rpc_call *call, const gb_config_push *push)
{
	gb_config_push_res res = {0};

	node_config_received(
	    node, push->text.gb_body_val, push->text.gb_body_len, "member");
	res.config = node->config == NULL ? 0 : node->config->version;
	gb_rpc_call_reply(call, &res);
}

/** Register a peer's call that is answered later. */
static struct node_request *
request_new(struct gb_node *node, struct gb_rpc_call *call)
{
	struct node_request *request = gb_calloc(1, sizeof(*request));

	request->token = ++node->next_id;
	request->call = call;
	HASH_ADD(hh, node->requests, token, sizeof(request->token), request);
	return request;
}

void
node_serve(void *data, struct gb_rpc_call *call, uint32_t proc, void *arg)
{
	struct gb_node *node = data;

	switch (proc) {
	case GB_PROC_HELLO:
		serve_hello(node, call, arg);
		break;
	case GB_PROC_FLOW_SUBMIT:
		gb_pool_submit(node->pool, node_now(),
		    request_new(node, call)->token, arg);
		break;
	case GB_PROC_FLOW_ASK:
		gb_pool_ask(node->pool, node_now(),
		    request_new(node, call)->token, arg);
		break;
	case GB_PROC_ADVISE:
		node->platform.advise(node->platform.data,
		    request_new(node, call)->token | NODE_CALL, arg);
		break;
	case GB_PROC_SUCCEED:
		node_serve_succeed(node, call, arg);
		break;
	case GB_PROC_CONFIG:
		serve_config(node, call, arg);
		break;
	case GB_PROC_CONFIG_FETCH:
		node_serve_config_fetch(node, call, arg);
		break;
	default:
		gb_rpc_call_refuse(call);
		break;
	}
}
