/**
 * @file operator.c
 * The operator: changes the configuration, and compares what nodes answer with
 * what was changed.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"

/** A change is in force everywhere after this, on nodes that no fault has hit
 * for as long as it takes to be in touch again. */
#define CONFIG_BOUND (2 * GB_SEC)
#define CONTACT (3 * GB_SEC)
#define PROBE_EVERY (250 * GB_MSEC)
#define PROBE_TIMEOUT (2 * GB_SEC)

static unsigned int version;
static gb_time changed_at;

/** A question for a route of one version, put to one life of a node. */
struct probe {
	struct soak_node *node;
	gb_time life;
	gb_time sent;
	unsigned int version;
	bool gone; /**< the route has been removed */
};

static void
route_add(json_t *routes, const char *name, const char *prefix, int priority)
{
	json_array_append_new(routes,
	    json_pack(
		"{s:s, s:s, s:s, s:s, s:i, s:i, s:f, s:i, s:{s:i, s:f, s:i}}",
		"Name", name, "Host", "127.0.0.1", "Prefix", prefix, "Service",
		"pool", "Priority", priority, "MaxAttempts", 4, "Stretch", 2.0,
		"TargetCompletionMs", 2000, "Advice", "DecideMs", 20,
		"PerItemMs", 0.5, "ValidMs", 2000));
}

void
operator_change(void)
{
	json_t *routes = json_array();
	char name[32];
	char prefix[32];
	char *text;
	size_t len;

	version++;
	route_add(routes, "lookup", "/lookup/", 0);
	route_add(routes, "import", "/import/", 1);
	route_add(routes, "rebuild", "/rebuild/", 1);
	snprintf(name, sizeof(name), "probe-%u", version);
	snprintf(prefix, sizeof(prefix), "/probe-%u/", version);
	route_add(routes, name, prefix, 1);
	text = plat_json_text(json_pack("{s:i, s:o, s:[{s:s, s:b}]}", "Version",
				  (int)version, "Routes", routes, "Services",
				  "Name", "pool", "EnforcesCapacity", 0),
	    &len);
	changed_at = soak_now();
	plat_http_call(soak.http, GB_TRAFFIC_CALLER, soak.control, "POST",
	    "/config", "", text, len, PROBE_TIMEOUT, soak_ignore, NULL);
	free(text);
}

static bool
node_calm(const struct soak_node *node)
{
	return node->pid > 0 && !node->frozen && node->stopping == 0 &&
	       soak_now() - node->started > CONTACT &&
	       soak_now() - node->harmed > CONTACT &&
	       soak_now() - soak.unplanned > CONTACT;
}

/** What an answer says about the node's configuration; 503 says nothing. */
static void
probe_check(const struct probe *probe, unsigned int status)
{
	struct soak_node *node = probe->node;

	if (probe->gone) {
		if (status == 200 && node_calm(node))
			soak_broken("n%u still knows the route of version %u",
			    node->number, probe->version);
		return;
	}
	if (status == 200) {
		node->config_seen = probe->version;
		return;
	}
	if (status != 404 || probe->version != version)
		return;
	if (node->config_seen >= probe->version)
		soak_broken("n%u went back from version %u", node->number,
		    probe->version);
	else if (node_calm(node) && probe->sent - changed_at > CONFIG_BOUND)
		soak_broken("n%u does not know version %u", node->number,
		    probe->version);
}

static void
probed(void *data, const struct plat_http_res *res)
{
	struct probe *probe = data;

	if (probe->node->started == probe->life)
		probe_check(probe, res->status);
	free(probe);
}

static void
probe_send(struct soak_node *node, unsigned int of, bool gone)
{
	struct probe *probe = gb_calloc(1, sizeof(*probe));
	char path[64];

	probe->node = node;
	probe->life = node->started;
	probe->sent = soak_now();
	probe->version = of;
	probe->gone = gone;
	snprintf(path, sizeof(path), "/probe-%u/", of);
	plat_http_call(soak.http, GB_TRAFFIC_CALLER, node->direct, "GET", path,
	    "", NULL, 0, PROBE_TIMEOUT, probed, probe);
}

void
operator_tick(void)
{
	static gb_time next;
	unsigned int i;

	if (next > soak_now() || version == 0)
		return;
	next = soak_now() + PROBE_EVERY;
	for (i = 0; i < soak.node_count; i++) {
		struct soak_node *node = &soak.nodes[i];

		if (node->pid == 0 || node->stopping > 0)
			continue;
		probe_send(node, version, false);
		if (version > 1 && soak_now() - changed_at > CONFIG_BOUND)
			probe_send(node, version - 1, true);
	}
}
