/**
 * @file node_config.c
 * The configuration of a node: versions that it receives, and whether others
 * have a newer one.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "node_state.h"

/** Number of successors, the first ones, that look for a new configuration
 * themselves all the time, as the owner does. */
#define CONFIG_READERS 4
/** Time for which a node waits for a configuration that others have, before it
 * requests it again: the platform reports a change to all nodes within this. */
#define CONFIG_REPORT_TIME (100 * GB_MSEC)

/** Log the organisations and keys that are invalid, by reason. */
static void
org_errors_log(struct gb_node *node, const struct gb_pool_config *config)
{
	unsigned int i;

	for (i = GB_POOL_ORG_VALID + 1; i < GB_POOL_ORG_ERRORS; i++) {
		if (config->org_errors[i] == 0)
			continue;
		node->orgs_bad += config->org_errors[i];
		gb_event(node->events, GB_EVENT_ALWAYS, "config_org_bad",
		    "{s:I, s:s, s:I}", "version", (json_int_t)config->version,
		    "why", gb_pool_org_error_name(i), "count",
		    (json_int_t)config->org_errors[i]);
	}
}

void
node_config_announced(struct gb_node *node, uint64_t version)
{
	if (version <= node->config_newest_known)
		return;
	node->config_newest_known = version;
	node->config_newest_known_at = node_now();
}

bool
gb_node_config_behind(const struct gb_node *node)
{
	return node->config == NULL ||
	       node->config_newest_known > node->config->version;
}

gb_time
node_config_behind_for(const struct gb_node *node)
{
	return gb_node_config_behind(node) && node->config_newest_known > 0
		   ? node_now() - node->config_newest_known_at
		   : 0;
}

bool
node_learns_configs_from_owner(const struct gb_node *node, gb_time now)
{
	const struct watch *watch = &node->watch;

	return node->config != NULL && !gb_pool_owns(node->pool) &&
	       watch->owner[0] != '\0' && !watch->vacant &&
	       watch_owner_silence(watch, now) < node_owner_silence_max(node) &&
	       watch->place.rank >= CONFIG_READERS &&
	       watch->place.ranked >= CONFIG_READERS &&
	       node_config_behind_for(node) < CONFIG_REPORT_TIME;
}

void
node_config_received(
    struct gb_node *node, const char *text, size_t len, const char *from)
{
	struct gb_pool_config *config = node->platform.config_decode(text, len);

	if (config == NULL) {
		node->configs_unreadable++;
		gb_event(node->events, GB_EVENT_ALWAYS, "config_unreadable",
		    "{s:I}", "bytes", (json_int_t)len);
		return;
	}
	if (node->config != NULL && config->version <= node->config->version) {
		gb_pool_config_unref(config);
		return;
	}
	/* Once keys were required, a version without organisations must not
	 * open the queues to callers without a key. */
	if (node->config != NULL && node->config->keyed)
		config->keyed = true;
	gb_event(node->events, GB_EVENT_ALWAYS, "config_taken",
	    "{s:I, s:s, s:I, s:I, s:I, s:I, s:b, s:I, s:I}", "version",
	    (json_int_t)config->version, "from", from, "bytes", (json_int_t)len,
	    "before",
	    (json_int_t)(node->config == NULL ? 0 : node->config->version),
	    "behind_ms", (json_int_t)(node_config_behind_for(node) / GB_MSEC),
	    "queues", (json_int_t)config->queue_count, "keyed", config->keyed,
	    "orgs", (json_int_t)config->org_count, "keys",
	    (json_int_t)gb_pool_config_key_count(config));
	org_errors_log(node, config);
	gb_pool_config_unref(node->config);
	node->config = config;
	free(node->config_text);
	node->config_text = gb_calloc(1, len + 1);
	memcpy(node->config_text, text, len);
	node->config_len = len;
	gb_pool_configure(node->pool, node_now(), config);
}

void
gb_node_config_received(struct gb_node *node, const char *text, size_t len)
{
	node_config_received(node, text, len, "store");
}
