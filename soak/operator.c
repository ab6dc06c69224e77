/**
 * @file operator.c
 * The operator: changes the configuration, and checks by probes that the nodes
 * apply each version.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"

/** Longest time until a change is in force on nodes without recent faults. */
#define CONFIG_DELAY_MAX (2 * GB_SEC)
/** Longest additional time while the store rejects some nodes, and after it has
 * done so for the time of the second constant. */
#define CONFIG_SKEW_MAX (5 * GB_SEC)
#define STORE_UNSTABLE_TIME (3 * GB_SEC)
/** Time after a fault for which a node may still be reconnecting. */
#define RECOVERY_TIME (3 * GB_SEC)
#define PROBE_INTERVAL (250 * GB_MSEC)
#define PROBE_TIMEOUT (2 * GB_SEC)

/** CPU quotas of the second organisation in thousandths of a core, in even and
 * in odd versions.  Its largest job needs 18,000. */
#define QUOTA_LOW 20000
#define QUOTA_HIGH 40000
/** Weight of each organisation: submissions per second within its share. */
#define ORG_WEIGHT 4
#define ORGS 2
#define KEY_HEADER_MAX 64
/** A version that doesn't exist, for an unknown key. */
#define VERSION_UNKNOWN 1000000

static const char *const org_names[ORGS] = {"north", "south"};
static unsigned int version;
static gb_time changed_at;
/** Longest time from a change to the first call that a node without recent
 * faults answered by it, while the store served all nodes and while it rejected
 * some. */
static gb_time delay_longest;
static gb_time delay_longest_rejected;

enum probe_kind {
	PROBE_ROUTE_NEW,     /**< a route that was added */
	PROBE_ROUTE_REMOVED, /**< a route that was removed */
	PROBE_KEY_REMOVED,   /**< a key that was removed */
	PROBE_KEY_UNKNOWN,   /**< a key that no version has */
	PROBES
};

/** A request that checks one version on one incarnation of a node. */
struct probe {
	struct soak_node *node;
	gb_time incarnation;
	gb_time sent;
	unsigned int version;
	enum probe_kind kind;
};

/** Write the header with an organisation's key.  Keys are numbered by the
 * version that added them. */
static void
key_header(char out[KEY_HEADER_MAX], unsigned int org, unsigned int of_version)
{
	snprintf(out, KEY_HEADER_MAX, "Api-Key: %s-key-%u\r\n", org_names[org],
	    of_version);
}

/** List an organisation's keys in the current version: the key that it adds,
 * and the one that the previous version added. */
static json_t *
keys_json(unsigned int org)
{
	json_t *keys = json_array();
	unsigned int of_version;

	for (of_version = version - 1; of_version <= version; of_version++)
		json_array_append_new(keys,
		    json_sprintf("%s-key-%u", org_names[org], of_version));
	return keys;
}

const char *
operator_org(unsigned int number)
{
	return org_names[number % ORGS];
}

const char *
operator_key(unsigned int number)
{
	static char header[KEY_HEADER_MAX];

	key_header(header, number % ORGS, version - 1);
	return header;
}

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
	text = plat_json_text(
	    json_pack("{s:i, s:o, s:[{s:s, s:b}], s:[{s:s, s:o, s:i}, {s:s, "
		      "s:o, s:i, s:{s:i}}]}",
		"Version", (int)version, "Routes", routes, "Services", "Name",
		"pool", "EnforcesCapacity", 0, "Tenants", "Name", org_names[0],
		"ApiKeys", keys_json(0), "Weight", ORG_WEIGHT, "Name",
		org_names[1], "ApiKeys", keys_json(1), "Weight", ORG_WEIGHT,
		"MaxCount", "Cpu", version % 2 == 0 ? QUOTA_LOW : QUOTA_HIGH),
	    &len);
	changed_at = soak_now();
	plat_http_call(soak.http, GB_TRAFFIC_CALLER, soak.control, "POST",
	    "/config", "", text, len, PROBE_TIMEOUT, soak_answer_ignore, NULL);
	free(text);
}

/** Whether a node runs and no recent fault or start excuses wrong answers. */
static bool
node_is_calm(const struct soak_node *node)
{
	return node->pid > 0 && !node->paused && node->stopping == 0 &&
	       soak_now() - node->started > RECOVERY_TIME &&
	       soak_now() - node->fault_at > RECOVERY_TIME &&
	       soak_now() - soak.unplanned > RECOVERY_TIME;
}

/** Whether the store rejected some nodes shortly before a time. */
static bool
store_is_unstable(gb_time at)
{
	return soak.store_rejects > 0 &&
	       at - soak.store_rejects < STORE_UNSTABLE_TIME;
}

/** Whether the newest version must have been in force when a call was sent. */
static bool
config_is_due(gb_time sent)
{
	gb_time max = CONFIG_DELAY_MAX;

	if (store_is_unstable(sent))
		max += CONFIG_SKEW_MAX;
	return sent - changed_at > max;
}

/** Record that the newest version is in force on a node for the first time. */
static void
delay_record(gb_time sent)
{
	gb_time *longest =
	    store_is_unstable(sent) ? &delay_longest_rejected : &delay_longest;

	if (sent - changed_at > *longest)
		*longest = sent - changed_at;
}

void
operator_report(void)
{
	printf("configurations: %u versions, in force after %lld ms at most, "
	       "%lld ms while the store rejected some nodes\n",
	    version, (long long)(delay_longest / GB_MSEC),
	    (long long)(delay_longest_rejected / GB_MSEC));
}

void
operator_key_refused(const struct soak_node *node, gb_time sent)
{
	if (node_is_calm(node) && config_is_due(sent))
		soak_violation(
		    "n%u turns a key away that is in force", node->number);
}

/** Check an answer against the configuration.  A 503 gives no evidence. */
static void
probe_check(const struct probe *probe, unsigned int status)
{
	struct soak_node *node = probe->node;

	if (probe->kind == PROBE_KEY_UNKNOWN) {
		if (status == 200)
			soak_violation(
			    "n%u serves a key that nobody has", node->number);
		return;
	}
	if (probe->kind == PROBE_KEY_REMOVED) {
		if (status == 200 && node_is_calm(node))
			soak_violation("n%u serves the key of version %u",
			    node->number, probe->version);
		return;
	}
	if (status == 401)
		operator_key_refused(node, probe->sent);
	if (probe->kind == PROBE_ROUTE_REMOVED) {
		if (status == 200 && node_is_calm(node))
			soak_violation(
			    "n%u still knows the route of version %u",
			    node->number, probe->version);
		return;
	}
	if (status == 200) {
		if (node->config_seen < probe->version &&
		    probe->version == version && node_is_calm(node))
			delay_record(probe->sent);
		node->config_seen = probe->version;
		return;
	}
	if (status != 404 || probe->version != version)
		return;
	if (node->config_seen >= probe->version)
		soak_violation("n%u went back from version %u", node->number,
		    probe->version);
	else if (node_is_calm(node) && config_is_due(probe->sent))
		soak_violation("n%u does not know version %u", node->number,
		    probe->version);
}

static void
probe_answered(void *data, const struct plat_http_res *res)
{
	struct probe *probe = data;

	if (probe->node->started == probe->incarnation)
		probe_check(probe, res->status);
	free(probe);
}

static void
probe_send(
    struct soak_node *node, unsigned int of_version, enum probe_kind kind)
{
	struct probe *probe = gb_calloc(1, sizeof(*probe));
	char key[KEY_HEADER_MAX];
	char path[64];

	probe->node = node;
	probe->incarnation = node->started;
	probe->sent = soak_now();
	probe->version = of_version;
	probe->kind = kind;
	if (kind == PROBE_KEY_REMOVED || kind == PROBE_KEY_UNKNOWN) {
		snprintf(path, sizeof(path), "/lookup/");
		key_header(key, 0, of_version);
	} else {
		snprintf(path, sizeof(path), "/probe-%u/", of_version);
		key_header(key, 0, version - 1);
	}
	plat_http_call(soak.http, GB_TRAFFIC_CALLER, node->direct, "GET", path,
	    key, NULL, 0, PROBE_TIMEOUT, probe_answered, probe);
}

void
operator_tick(void)
{
	static gb_time next;
	unsigned int i;

	if (next > soak_now() || version == 0)
		return;
	next = soak_now() + PROBE_INTERVAL;
	for (i = 0; i < soak.node_count; i++) {
		struct soak_node *node = &soak.nodes[i];

		if (node->pid == 0 || node->stopping > 0)
			continue;
		probe_send(node, version, PROBE_ROUTE_NEW);
		probe_send(node, VERSION_UNKNOWN, PROBE_KEY_UNKNOWN);
		if (version > 1 && config_is_due(soak_now())) {
			probe_send(node, version - 1, PROBE_ROUTE_REMOVED);
			probe_send(node, version - 2, PROBE_KEY_REMOVED);
		}
	}
}
