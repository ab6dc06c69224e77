/**
 * @file config_fetch.c
 * Fetches a newer configuration from another node, and serves it to others.
 *
 * The store sends most versions sooner, but it may reject this node, and on a
 * thin link its answer takes long.  Any node that has a version serves it, in
 * compressed form.  A fetch has a connection of its own, so that hellos don't
 * wait behind the text, and goes on for as long as bytes arrive: a transfer
 * that is cut and repeated may never end, and keeps the link full.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <zlib.h>

#include "node_state.h"

/** Time for which a node has known of a newer version before it asks another
 * node for it, unless the store rejects this node.  All nodes must have it
 * within 2 s. */
#define FETCH_AFTER (500 * GB_MSEC)
/** Pause from one fetch to the next. */
#define FETCH_INTERVAL (100 * GB_MSEC)
/** Longest time until the answer begins, and longest pause within it. */
#define FETCH_TIMEOUT (600 * GB_MSEC)
/** Pause before a version is fetched again that could not be decoded: the
 * program is too old for it. */
#define FETCH_UNREADABLE_PAUSE (10 * GB_SEC)
/** Share of the link that serving the configuration may use, as a divisor; for
 * an owner and for other nodes. */
#define SERVE_OWNER_DIVISOR 10
#define SERVE_MEMBER_DIVISOR 2
/** Answers may wait on the link for so long.  Members learn of a version at the
 * same time, and then several ask one node. */
#define SERVE_WAIT_MAX (200 * GB_MSEC)

/** Version of the configuration that this node has, 0: none yet. */
static uint64_t
own_version(const struct gb_node *node)
{
	return node->config == NULL ? 0 : node->config->version;
}

/** Choose a member whose version is newer than that of this owner; null if no
 * member has one. */
static const char *
fetch_source_of_owner(struct gb_node *node)
{
	const struct node_member *member;
	const char *source = NULL;
	unsigned int seen = 0;

	for (member = node->members; member != NULL; member = member->hh.next) {
		if (member->config > own_version(node) &&
		    gb_random_next(&node->watch.seed) % ++seen == 0)
			source = member->addr;
	}
	return source;
}

/** Choose a node to ask: the one that the owner has named, or any member. */
static const char *
fetch_source(struct gb_node *node)
{
	const char *named = node->fetch.named;

	if (gb_pool_owns(node->pool))
		return fetch_source_of_owner(node);
	if (named[0] != '\0' && strcmp(named, node->settings.addr) != 0)
		return named;
	if (node->known_members_count == 0)
		return node->watch.owner[0] == '\0' ? NULL : node->watch.owner;
	return node->known_members[gb_random_next(&node->watch.seed) %
				   node->known_members_count];
}

/** Decompress the answer to a fetch; null if it is malformed.  The caller frees
 * the text. */
static char *
config_unpack(const gb_config_res *res)
{
	uLongf len = res->len;
	char *text;

	if (len == 0 || len > GB_BODY_MAX)
		return NULL;
	text = gb_calloc(1, len);
	if (uncompress((Bytef *)text, &len,
		(const Bytef *)res->packed.gb_body_val,
		res->packed.gb_body_len) == Z_OK &&
	    len == res->len)
		return text;
	free(text);
	return NULL;
}

/** Put a configuration that was fetched into force. */
static void
fetch_received(struct gb_node *node, const gb_config_res *res)
{
	struct config_fetch *fetch = &node->fetch;
	char *text = config_unpack(res);

	if (text != NULL)
		node_config_received(node, text, res->len, fetch->from);
	free(text);
	if (own_version(node) >= res->config)
		return;
	fetch->unreadable = res->config;
	fetch->unreadable_until = node_now() + FETCH_UNREADABLE_PAUSE;
}

static void
fetch_done(void *data, gb_verdict verdict, void *arg)
{
	struct gb_node *node = data;
	struct config_fetch *fetch = &node->fetch;
	const gb_config_res *res = arg;
	struct gb_rpc_client *client = fetch->client;
	size_t bytes = 0;

	fetch->client = NULL;
	fetch->next_at = node_now() + FETCH_INTERVAL;
	/* The next one asks another node, unless the owner names one again. */
	fetch->named[0] = '\0';
	if (verdict == GB_RUN) {
		bytes = res->packed.gb_body_len;
		node_config_announced(node, res->config);
		if (bytes > 0)
			fetch_received(node, res);
	}
	if (bytes == 0)
		gb_event(node->events, GB_EVENT_NORMAL, "config_not_fetched",
		    "{s:s, s:i, s:I, s:I}", "from", fetch->from, "verdict",
		    (int)verdict, "bytes",
		    (json_int_t)gb_rpc_client_bytes(client), "newest",
		    (json_int_t)node->config_newest_known);
	gb_rpc_client_free(client);
}

/** Whether to fetch a newer version now. */
static bool
fetch_is_due(const struct gb_node *node)
{
	const struct config_fetch *fetch = &node->fetch;
	gb_time after = node_store_unavailable(node) ? 0 : FETCH_AFTER;
	gb_time now = node_now();

	if (fetch->client != NULL || now < fetch->next_at ||
	    node->config_newest_known <= own_version(node) ||
	    node_config_behind_for(node) < after)
		return false;
	return fetch->unreadable != node->config_newest_known ||
	       now >= fetch->unreadable_until;
}

void
node_config_fetch_tick(struct gb_node *node)
{
	struct config_fetch *fetch = &node->fetch;
	gb_time delay = gb_link_answer_delay(gb_env_link(node->env));
	gb_config_ask ask = {0};
	const char *source;

	if (!fetch_is_due(node))
		return;
	source = fetch_source(node);
	if (source == NULL)
		return;
	snprintf(fetch->from, sizeof(fetch->from), "%s", source);
	ask.config = own_version(node);
	fetch->client = gb_rpc_client_new(node->loop, node->env, fetch->from);
	gb_rpc_client_set_stall(fetch->client, FETCH_TIMEOUT + delay);
	gb_rpc_client_call(fetch->client, GB_PROC_CONFIG_FETCH, &ask,
	    FETCH_TIMEOUT + delay, fetch_done, node);
}

/* Serving ----------------------------------------------------------------- */

/** Compress the configuration, once for each version. */
static void
config_pack(struct gb_node *node)
{
	struct config_packed *packed = &node->packed;
	uLongf len = compressBound(node->config_len);

	if (packed->version == node->config->version)
		return;
	free(packed->data);
	packed->data = gb_calloc(1, len);
	packed->len = 0;
	packed->version = node->config->version;
	if (compress2((Bytef *)packed->data, &len,
		(const Bytef *)node->config_text, node->config_len,
		Z_BEST_SPEED) == Z_OK)
		packed->len = len;
}

/** Take the time that the configuration may use the link for; false if earlier
 * answers use it for too long. */
static bool
serve_link_take(struct gb_node *node, size_t bytes)
{
	uint64_t rate = gb_link_rate(gb_env_link(node->env)) /
			(gb_pool_owns(node->pool) ? SERVE_OWNER_DIVISOR
						  : SERVE_MEMBER_DIVISOR);
	gb_time *until = &node->packed.served_until;
	gb_time now = node_now();

	if (rate == 0)
		return true;
	if (*until > now + SERVE_WAIT_MAX)
		return false;
	if (*until < now)
		*until = now;
	*until += (gb_time)(bytes * GB_SEC / rate);
	return true;
}

void
node_serve_config_fetch(
    struct gb_node *node, struct gb_rpc_call *call, const gb_config_ask *ask)
{
	gb_config_res res = {0};

	node_config_announced(node, ask->config);
	res.config = own_version(node);
	if (ask->config >= res.config) {
		gb_rpc_call_reply(call, &res);
		return;
	}
	config_pack(node);
	if (serve_link_take(node, node->packed.len)) {
		res.len = (uint32_t)node->config_len;
		res.packed.gb_body_val = node->packed.data;
		res.packed.gb_body_len = (u_int)node->packed.len;
	}
	gb_event(node->events, GB_EVENT_NORMAL, "config_sent",
	    "{s:I, s:I, s:I}", "version", (json_int_t)res.config, "behind",
	    (json_int_t)ask->config, "bytes",
	    (json_int_t)res.packed.gb_body_len);
	gb_rpc_call_reply(call, &res);
}

const char *
node_config_source(struct gb_node *node, uint64_t version)
{
	const struct node_member *member;
	const char *source = node->settings.addr;
	unsigned int seen = 0;

	if (version >= own_version(node))
		return "";
	for (member = node->members; member != NULL; member = member->hh.next) {
		if (member->config >= own_version(node) &&
		    gb_random_next(&node->watch.seed) % ++seen == 0)
			source = member->addr;
	}
	return source;
}
