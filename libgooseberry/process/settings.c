/**
 * @file settings.c
 * Settings of the programs.  One table for each program has the type, unit,
 * range and default of every setting; the check, the error texts and
 * docs/SETTINGS.md are made from it.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "core.h"
#include "json_text.h"

#define SETTINGS_BYTES_MAX (1024 * 1024)
#define TRACE_FILE_LEN_MAX 255

#define SCHED(member) offsetof(struct gb_sched_settings, member)
#define ENTRY(member) offsetof(struct gb_entry_settings, member)

const struct gb_setting gb_sched_settings_table[] = {
    {"member", GB_SET_STRING, "name", 1, GB_NAME_MAX, NULL,
	"Name of this instance, unique in the cell.", SCHED(member)},
    {"dc", GB_SET_STRING, "name", 1, GB_NAME_MAX, NULL,
	"Data centre of this instance, one of dcs.", SCHED(dc)},
    {"dcs", GB_SET_LIST, "names", 1, GB_DCS_MAX, NULL,
	"Data centres of the cell, the same list everywhere.", SCHED(dcs)},
    {"listen", GB_SET_ADDR, "IP:port", 0, 0, NULL,
	"Where entries and peers reach this scheduler.", SCHED(listen)},
    {"store", GB_SET_ADDR, "IP:port", 0, 0, NULL,
	"The platform's table service.", SCHED(store)},
    {"shards_per_dc", GB_SET_INT, "shards", 1, 1024, "1",
	"Shards of workers in each data centre, the same everywhere.",
	SCHED(shards_per_dc)},
    {"beat_ms", GB_SET_INT, "ms", 10, 10000, "500",
	"Interval of heartbeats and of looks at the table service.",
	SCHED(beat_ms)},
    {"suspect_ms", GB_SET_INT, "ms", 50, 60000, "1500",
	"Silence after which a peer's shards may be taken over.",
	SCHED(suspect_ms)},
    {"fresh_ms", GB_SET_INT, "ms", 50, 60000, "2000",
	"How long a confirmed view may be acted on.", SCHED(fresh_ms)},
    {"outage_ms", GB_SET_INT, "ms", 1000, 86400000, "7200000",
	"How long members may go on without the table service while all of "
	"them hear each other.",
	SCHED(outage_ms)},
    {"lease_ms", GB_SET_INT, "ms", 500, 600000, "20000",
	"Lease of a worker; its tasks stop when it is over.", SCHED(lease_ms)},
    {"sync_ms", GB_SET_INT, "ms", 20, 60000, "500", "Interval of worker syncs.",
	SCHED(sync_ms)},
    {"margin_ms", GB_SET_INT, "ms", 1, 60000, "500",
	"Added to every lease and bound for clocks that drift.",
	SCHED(margin_ms)},
    {"op_timeout_ms", GB_SET_INT, "ms", 50, 60000, "1000",
	"A store operation without an answer is given up after this.",
	SCHED(op_timeout_ms)},
    {"write_budget", GB_SET_INT, "writes/s", 1, 100000, "200",
	"Log writes a second of the whole cell.", SCHED(write_budget)},
    {"snapshot_every", GB_SET_INT, "writes", 10, 2000, "1000",
	"Log writes of a shard between two snapshots.", SCHED(snapshot_every)},
    {"list_ms", GB_SET_INT, "ms", 50, 60000, "1000",
	"Interval of looks at the platform's list of instances.",
	SCHED(list_ms)},
    {"trace_per_mille", GB_SET_INT, "per mille", 0, 1000, "0",
	"Share of new traces that are kept.", SCHED(trace_per_mille)},
    {"trace_file", GB_SET_STRING, "path", 0, TRACE_FILE_LEN_MAX, "\"\"",
	"File for spans; empty: standard error.", SCHED(trace_file)},
    {"peers", GB_SET_INT, "connections", 16, 100000, "2048",
	"Connections of entries and schedulers at once; beyond, the one that "
	"has been silent longest is closed.",
	SCHED(peers)},
    {"peers_mb", GB_SET_INT, "MiB", 20, 100000, "64",
	"Memory for calls that are being read and for answers that were not "
	"read; beyond, the connection that has been silent longest is closed.",
	SCHED(peers_mb)},
    {"log_level", GB_SET_INT, "severity", 3, 7, "6",
	"Least severe syslog level that is logged.", SCHED(log_level)},
};

const size_t gb_sched_settings_count =
    sizeof(gb_sched_settings_table) / sizeof(gb_sched_settings_table[0]);

const struct gb_setting gb_entry_settings_table[] = {
    {"member", GB_SET_STRING, "name", 1, GB_NAME_MAX, NULL,
	"Name of this instance, unique in the cell.", ENTRY(member)},
    {"dc", GB_SET_STRING, "name", 1, GB_NAME_MAX, NULL,
	"Data centre of this instance, one of dcs.", ENTRY(dc)},
    {"dcs", GB_SET_LIST, "names", 1, GB_DCS_MAX, NULL,
	"Data centres of the cell, the same list everywhere.", ENTRY(dcs)},
    {"listen", GB_SET_ADDR, "IP:port", 0, 0, NULL,
	"Where callers and operators reach this entry over HTTP.",
	ENTRY(listen)},
    {"scheds", GB_SET_LIST, "IP:port", 1, GB_DCS_MAX, NULL,
	"Schedulers to learn the others from, nearest first.", ENTRY(scheds)},
    {"tokens", GB_SET_TOKENS, "team: token", 0, 256, NULL,
	"Bearer token of each team; team * stands for operators of all.",
	ENTRY(tokens)},
    {"shards_per_dc", GB_SET_INT, "shards", 1, 1024, "1",
	"Shards of workers in each data centre, the same everywhere.",
	ENTRY(shards_per_dc)},
    {"view_ms", GB_SET_INT, "ms", 10, 10000, "250",
	"Interval of looks at a scheduler's view of the cell.", ENTRY(view_ms)},
    {"timeout_ms", GB_SET_INT, "ms", 1, 600000, "5000",
	"Deadline of a request or command that names none.", ENTRY(timeout_ms)},
    {"body_limit", GB_SET_INT, "bytes", 1024, GB_BODY_MAX, "1048576",
	"Largest body of a request.", ENTRY(body_limit)},
    {"hedge_ms", GB_SET_INT, "ms", 0, 60000, "250",
	"A request without an answer for this long is tried in a second shard "
	"as well, if it is idempotent or has a key; 0: never.",
	ENTRY(hedge_ms)},
    {"leave_ms", GB_SET_INT, "ms", 0, 60000, "1000",
	"How long a leaving entry still accepts, until the balancer has seen "
	"its /healthz.",
	ENTRY(leave_ms)},
    {"in_flight_limit", GB_SET_INT, "requests", 1, 100000, "4096",
	"Requests in hand at once; more are refused.", ENTRY(in_flight_limit)},
    {"callers", GB_SET_INT, "connections", 16, 100000, "8192",
	"Connections of callers at once; beyond, the one that has waited "
	"longest for its request is closed, and requests beyond half of this "
	"are refused.",
	ENTRY(callers)},
    {"callers_mb", GB_SET_INT, "MiB", 16, 100000, "64",
	"Memory for requests that are being read or handled; beyond, the "
	"connection that has waited longest for the rest of its request is "
	"closed, and requests beyond half of this are refused.",
	ENTRY(callers_mb)},
    {"trace_per_mille", GB_SET_INT, "per mille", 0, 1000, "0",
	"Share of new traces that are kept.", ENTRY(trace_per_mille)},
    {"trace_file", GB_SET_STRING, "path", 0, TRACE_FILE_LEN_MAX, "\"\"",
	"File for spans; empty: standard error.", ENTRY(trace_file)},
    {"log_level", GB_SET_INT, "severity", 3, 7, "6",
	"Least severe syslog level that is logged.", ENTRY(log_level)},
};

const size_t gb_entry_settings_count =
    sizeof(gb_entry_settings_table) / sizeof(gb_entry_settings_table[0]);

/** Context of a check, for the position in an error text. */
struct check {
	const char *file;
	const char *text;
	size_t len;
	struct gb_error *err;
};

/** Set the error for a setting, with its line and column in the file. */
static void
setting_error(const struct check *check, const char *name, const char *what)
{
	int line;
	int col;

	json_text_position(check->text, check->len, name, &line, &col);
	gb_error_set(check->err, GB_E_INVALID, "%s:%d:%d: %s: %s", check->file,
	    line, col, name, what);
}

/** Whether a text is an IPv4 address and port. */
static bool
addr_valid(const char *addr)
{
	unsigned int part[5];
	char more;

	if (addr == NULL ||
	    sscanf(addr, "%3u.%3u.%3u.%3u:%5u%c", &part[0], &part[1], &part[2],
		&part[3], &part[4], &more) != 5)
		return false;
	return part[0] < 256 && part[1] < 256 && part[2] < 256 &&
	       part[3] < 256 && part[4] < 65536;
}

static bool
setting_read_int(const struct check *check, const struct gb_setting *set,
    const json_t *value, int64_t *out)
{
	char what[128];

	if (json_is_integer(value) && json_integer_value(value) >= set->min &&
	    json_integer_value(value) <= set->max) {
		*out = json_integer_value(value);
		return true;
	}
	snprintf(what, sizeof(what),
	    "must be a whole number from %" PRId64 " to %" PRId64 " (%s)",
	    set->min, set->max, set->unit);
	setting_error(check, set->name, what);
	return false;
}

/** Read a string; one that may have up to GB_NAME_MAX characters is a name. */
static bool
setting_read_string(const struct check *check, const struct gb_setting *set,
    const json_t *value, char *out)
{
	char what[128];

	if (json_is_string(value) &&
	    (int64_t)json_string_length(value) >= set->min &&
	    (int64_t)json_string_length(value) <= set->max &&
	    (set->max != GB_NAME_MAX || name_valid(json_string_value(value)))) {
		snprintf(
		    out, (size_t)set->max + 1, "%s", json_string_value(value));
		return true;
	}
	snprintf(what, sizeof(what),
	    "must be a %s of %" PRId64 " to %" PRId64 " characters", set->unit,
	    set->min, set->max);
	setting_error(check, set->name, what);
	return false;
}

static bool
setting_read_list(const struct check *check, const struct gb_setting *set,
    const json_t *value, struct gb_list *out)
{
	bool addrs = strcmp(set->unit, "IP:port") == 0;
	const json_t *item;
	size_t i;

	if (!json_is_array(value) ||
	    (int64_t)json_array_size(value) < set->min ||
	    (int64_t)json_array_size(value) > set->max) {
		char what[96];

		snprintf(what, sizeof(what),
		    "must be a list of %" PRId64 " to %" PRId64 " %s", set->min,
		    set->max, set->unit);
		setting_error(check, set->name, what);
		return false;
	}
	out->count = 0;
	json_array_foreach(value, i, item)
	{
		const char *text = json_string_value(item);

		if (addrs ? !addr_valid(text) : !name_valid(text)) {
			setting_error(check, set->name,
			    addrs ? "must hold addresses such as 10.0.0.1:7000"
				  : "must hold names of letters, digits, "
				    "'-', '_' or '.'");
			return false;
		}
		snprintf(out->item[out->count++], GB_NAME_MAX + 1, "%s", text);
	}
	return true;
}

static bool
setting_read_tokens(const struct check *check, const struct gb_setting *set,
    json_t *value, struct gb_tokens *out)
{
	const char *team;
	json_t *token;

	out->count = 0;
	if (!json_is_object(value) ||
	    (int64_t)json_object_size(value) > set->max) {
		setting_error(
		    check, set->name, "must be an object of team and token");
		return false;
	}
	json_object_foreach(value, team, token)
	{
		size_t len =
		    json_is_string(token) ? json_string_length(token) : 0;
		struct gb_token *t = &out->item[out->count];

		if ((strcmp(team, "*") != 0 && !name_valid(team)) || len < 8 ||
		    len > GB_NAME_MAX) {
			setting_error(check, set->name,
			    "must hold names of teams, and tokens of 8 to 63 "
			    "characters");
			return false;
		}
		snprintf(t->team, sizeof(t->team), "%s", team);
		snprintf(
		    t->token, sizeof(t->token), "%s", json_string_value(token));
		out->count++;
	}
	return true;
}

/** Check the JSON value of a setting and store it in the settings struct. */
static bool
setting_read(const struct check *check, const struct gb_setting *set,
    json_t *value, void *settings)
{
	void *out = (char *)settings + set->offset;

	switch (set->type) {
	case GB_SET_INT:
		return setting_read_int(check, set, value, out);
	case GB_SET_STRING:
		return setting_read_string(check, set, value, out);
	case GB_SET_LIST:
		return setting_read_list(check, set, value, out);
	case GB_SET_TOKENS:
		return setting_read_tokens(check, set, value, out);
	case GB_SET_ADDR:
		break;
	}
	if (!addr_valid(json_string_value(value))) {
		setting_error(check, set->name,
		    "must be an address such as 10.0.0.1:7000");
		return false;
	}
	snprintf(out, GB_NAME_MAX + 1, "%s", json_string_value(value));
	return true;
}

static bool
setting_read_default(
    const struct check *check, const struct gb_setting *set, void *settings)
{
	json_t *value;
	bool ok;

	if (set->default_json == NULL) {
		setting_error(check, set->name, "is missing");
		return false;
	}
	value = json_loads(set->default_json, JSON_DECODE_ANY, NULL);
	ok = setting_read(check, set, value, settings);
	json_decref(value);
	return ok;
}

static const struct gb_setting *
setting_find(const struct gb_setting *table, size_t count, const char *name)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (strcmp(table[i].name, name) == 0)
			return &table[i];
	}
	return NULL;
}

bool
gb_settings_parse(const struct gb_setting *table, size_t count, void *out,
    const char *file, const char *text, size_t len, struct gb_error *err)
{
	struct check check = {file, text, len, err};
	json_error_t json_err;
	json_t *root = json_loadb(text, len, JSON_REJECT_DUPLICATES, &json_err);
	const char *key;
	json_t *value;
	size_t i;
	bool ok = true;

	if (!json_is_object(root)) {
		gb_error_set(err, GB_E_INVALID, "%s:%d:%d: %s", file,
		    root == NULL ? json_err.line : 1,
		    root == NULL ? json_err.column : 1,
		    root == NULL ? json_err.text
				 : "settings must be an object");
		json_decref(root);
		return false;
	}
	json_object_foreach(root, key, value)
	{
		if (ok && setting_find(table, count, key) == NULL) {
			setting_error(&check, key, "is not a setting");
			ok = false;
		}
	}
	for (i = 0; i < count && ok; i++) {
		value = json_object_get(root, table[i].name);
		ok = value == NULL
			 ? setting_read_default(&check, &table[i], out)
			 : setting_read(&check, &table[i], value, out);
	}
	json_decref(root);
	return ok;
}

/** Read a file, at most SETTINGS_BYTES_MAX of it; the caller frees the text. */
static char *
file_read(const char *file, size_t *len, struct gb_error *err)
{
	FILE *f = fopen(file, "r");
	char *text;

	if (f == NULL) {
		gb_error_set(err, GB_E_MISSING, "%s: cannot be opened", file);
		return NULL;
	}
	text = gb_calloc(1, SETTINGS_BYTES_MAX);
	*len = fread(text, 1, SETTINGS_BYTES_MAX, f);
	fclose(f);
	return text;
}

bool
gb_settings_read(const struct gb_setting *table, size_t count, void *out,
    const char *file, struct gb_error *err)
{
	size_t len;
	char *text = file_read(file, &len, err);
	bool ok;

	if (text == NULL)
		return false;
	ok = gb_settings_parse(table, count, out, file, text, len, err);
	free(text);
	return ok;
}

bool
gb_settings_print(const struct gb_setting *table, size_t count,
    const char *file, struct gb_text *out, struct gb_error *err)
{
	size_t len;
	char *text = file_read(file, &len, err);
	json_t *root;
	size_t i;

	if (text == NULL)
		return false;
	root = json_loadb(text, len, 0, NULL);
	free(text);
	for (i = 0; i < count; i++) {
		json_t *value = json_object_get(root, table[i].name);
		char *shown = NULL;

		if (value != NULL && table[i].type != GB_SET_TOKENS)
			shown = json_dumps(value, JSON_ENCODE_ANY);
		gb_text_add(out, "%s = %s (%s, from %s)\n", table[i].name,
		    shown != NULL   ? shown
		    : value != NULL ? "hidden"
				    : table[i].default_json,
		    table[i].unit, value != NULL ? file : "the default");
		free(shown);
	}
	json_decref(root);
	return true;
}

void
gb_settings_document(const struct gb_setting *table, size_t count,
    const char *program, struct gb_text *out)
{
	size_t i;

	gb_text_add(out,
	    "## %s\n\n| setting | unit | range | default | meaning |\n"
	    "| --- | --- | --- | --- | --- |\n",
	    program);
	for (i = 0; i < count; i++) {
		const struct gb_setting *s = &table[i];

		gb_text_add(out, "| `%s` | %s | ", s->name, s->unit);
		if (s->type == GB_SET_ADDR)
			gb_text_add(out, "an address");
		else
			gb_text_add(
			    out, "%" PRId64 " to %" PRId64, s->min, s->max);
		gb_text_add(out, " | %s | %s |\n",
		    s->default_json == NULL ? "required" : s->default_json,
		    s->help);
	}
	gb_text_add(out, "\n");
}
