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

/** What the second organisation may have running, in versions by turns: its
 * largest job asks for 18,000. */
#define QUOTA_LOW 20000
#define QUOTA_HIGH 40000
/** Submissions a second of each that are not beyond its share. */
#define ORG_WEIGHT 4
#define ORGS 2
#define KEY_HEADER 64
/** No version has this number. */
#define KEY_OF_NOBODY 1000000

static const char *const org_names[ORGS] = {"north", "south"};
static unsigned int version;
static gb_time changed_at;

enum probe_kind {
	PROBE_NEW,	   /**< a route that has come */
	PROBE_GONE,	   /**< a route that has been removed */
	PROBE_KEY_GONE,	   /**< a key that has been taken away */
	PROBE_KEY_UNKNOWN, /**< a key that no version held */
	PROBES
};

/** A question about one version, put to one life of a node. */
struct probe {
	struct soak_node *node;
	gb_time incarnation;
	gb_time sent;
	unsigned int version;
	enum probe_kind kind;
};

/** A key, as a header.  Keys of an organisation are numbered by the versions
 * that brought them. */
static void
key_header(char out[KEY_HEADER], unsigned int org, unsigned int of)
{
	snprintf(out, KEY_HEADER, "Api-Key: %s-key-%u\r\n", org_names[org], of);
}

/** Each version brings a key and takes the last but one away. */
static json_t *
keys_of(unsigned int org)
{
	json_t *keys = json_array();
	unsigned int of;

	for (of = version - 1; of <= version; of++)
		json_array_append_new(
		    keys, json_sprintf("%s-key-%u", org_names[org], of));
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
	static char header[KEY_HEADER];

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
		"ApiKeys", keys_of(0), "Weight", ORG_WEIGHT, "Name",
		org_names[1], "ApiKeys", keys_of(1), "Weight", ORG_WEIGHT,
		"MaxCount", "Cpu", version % 2 == 0 ? QUOTA_LOW : QUOTA_HIGH),
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

void
operator_key_refused(const struct soak_node *node, gb_time sent)
{
	if (node_calm(node) && sent - changed_at > CONFIG_BOUND)
		soak_broken(
		    "n%u turns a key away that is in force", node->number);
}

/** What an answer says about the node's configuration; 503 says nothing. */
static void
probe_check(const struct probe *probe, unsigned int status)
{
	struct soak_node *node = probe->node;

	if (probe->kind == PROBE_KEY_UNKNOWN) {
		if (status == 200)
			soak_broken(
			    "n%u serves a key that nobody has", node->number);
		return;
	}
	if (probe->kind == PROBE_KEY_GONE) {
		if (status == 200 && node_calm(node))
			soak_broken("n%u serves the key of version %u",
			    node->number, probe->version);
		return;
	}
	if (status == 401)
		operator_key_refused(node, probe->sent);
	if (probe->kind == PROBE_GONE) {
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

	if (probe->node->started == probe->incarnation)
		probe_check(probe, res->status);
	free(probe);
}

static void
probe_send(struct soak_node *node, unsigned int of, enum probe_kind kind)
{
	struct probe *probe = gb_calloc(1, sizeof(*probe));
	char key[KEY_HEADER];
	char path[64];

	probe->node = node;
	probe->incarnation = node->started;
	probe->sent = soak_now();
	probe->version = of;
	probe->kind = kind;
	if (kind == PROBE_KEY_GONE || kind == PROBE_KEY_UNKNOWN) {
		snprintf(path, sizeof(path), "/lookup/");
		key_header(key, 0, of);
	} else {
		snprintf(path, sizeof(path), "/probe-%u/", of);
		key_header(key, 0, version - 1);
	}
	plat_http_call(soak.http, GB_TRAFFIC_CALLER, node->direct, "GET", path,
	    key, NULL, 0, PROBE_TIMEOUT, probed, probe);
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
		probe_send(node, version, PROBE_NEW);
		probe_send(node, KEY_OF_NOBODY, PROBE_KEY_UNKNOWN);
		if (version > 1 && soak_now() - changed_at > CONFIG_BOUND) {
			probe_send(node, version - 1, PROBE_GONE);
			probe_send(node, version - 2, PROBE_KEY_GONE);
		}
	}
}
