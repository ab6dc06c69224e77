/**
 * @file document.c
 * Parses a team's document: the table of its fields, the checks and the
 * defaults.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "process/core.h"
#include "process/json_text.h"

static const char *const kind_names[GB_KINDS] = {
    "lookup", "request", "service", "batch", "gang", "team"};
static const char *const band_names[GB_BANDS] = {
    "urgent", "service", "gang", "batch"};
static const char *const spread_names[] = {"none", "rack", "worker"};

static const enum gb_band kind_bands[GB_KINDS] = {
    [GB_KIND_LOOKUP] = GB_BAND_URGENT,
    [GB_KIND_REQUEST] = GB_BAND_URGENT,
    [GB_KIND_SERVICE] = GB_BAND_SERVICE,
    [GB_KIND_GANG] = GB_BAND_GANG,
    [GB_KIND_BATCH] = GB_BAND_BATCH,
    [GB_KIND_TEAM] = GB_BAND_BATCH,
};

enum field_type {
	FIELD_NAME,
	FIELD_INT,
	FIELD_MS,
	FIELD_BOOL,
	FIELD_CHOICE,
	FIELD_DCS
};

/** One field of a document. */
struct field {
	const char *path; /**< JSON path with at most one dot */
	enum field_type type;
	bool required;
	int64_t min, max; /**< of a number; of FIELD_MS in milliseconds */
	const char *const *choices;
	size_t choice_count;
	size_t offset; /**< in struct gb_doc */
};

#define AT(member) offsetof(struct gb_doc, member)
#define INT(path, min, max, member)                                   \
	{                                                             \
		path, FIELD_INT, false, min, max, NULL, 0, AT(member) \
	}
#define MS(path, min, max, member)                                   \
	{                                                            \
		path, FIELD_MS, false, min, max, NULL, 0, AT(member) \
	}
#define CHOICE(path, req, names, member)                           \
	{                                                          \
		path, FIELD_CHOICE, req, 0, 0, names,              \
		    sizeof(names) / sizeof((names)[0]), AT(member) \
	}

#define CPU_MAX_MILLI 1000000
#define MEM_MAX_MB 16777216
#define ACCEL_MAX 64
#define DAY_MS 86400000

static const struct field fields[] = {
    {"team", FIELD_NAME, true, 0, 0, NULL, 0, AT(team)},
    {"service", FIELD_NAME, true, 0, 0, NULL, 0, AT(service)},
    CHOICE("kind", true, kind_names, kind),
    CHOICE("policy.band", false, band_names, band),
    {"policy.idempotent", FIELD_BOOL, false, 0, 0, NULL, 0, AT(idempotent)},
    INT("policy.max_attempts", 1, 1000, max_attempts),
    INT("policy.queue_limit", 0, 100000, queue_limit),
    MS("policy.timeout_ms", 1, 600000, timeout_us),
    MS("policy.run_ms", 0, 7LL * DAY_MS, run_us),
    INT("resources.cpu_milli", 0, CPU_MAX_MILLI, res.cpu),
    INT("resources.memory_mb", 0, MEM_MAX_MB, res.mem),
    INT("resources.accelerators", 0, ACCEL_MAX, res.accel),
    INT("replicas", 0, 100000, replicas),
    {"placement.dcs", FIELD_DCS, false, 0, 0, NULL, 0, AT(dcs)},
    {"placement.pool", FIELD_NAME, false, 0, 0, NULL, 0, AT(pool)},
    CHOICE("placement.spread", false, spread_names, spread),
    INT("quota.cpu_milli", 0, INT32_MAX, quota.cpu),
    INT("quota.memory_mb", 0, INT32_MAX, quota.mem),
    INT("quota.accelerators", 0, INT32_MAX, quota.accel),
    INT("quota.weight", 1, 1000, weight),
};

#define FIELD_COUNT (sizeof(fields) / sizeof(fields[0]))

const char *
gb_doc_kind_name(enum gb_kind kind)
{
	return kind_names[kind];
}

const char *
gb_doc_band_name(enum gb_band band)
{
	return band_names[band];
}

/** Text of the document, to find the line and column of an error. */
struct doc_check {
	const char *text;
	size_t len;
	struct gb_error *err;
};

/** Set the error to "line:column: path: what". */
static void
doc_error(const struct doc_check *check, const char *path, const char *what)
{
	const char *dot = strrchr(path, '.');
	int line;
	int col;

	json_text_position(
	    check->text, check->len, dot == NULL ? path : dot + 1, &line, &col);
	gb_error_set(
	    check->err, GB_E_INVALID, "%d:%d: %s: %s", line, col, path, what);
}

static bool
field_choice(const struct doc_check *check, const struct field *field,
    const json_t *value, void *out)
{
	char what[160] = "must be one of";
	size_t i;

	for (i = 0; i < field->choice_count; i++) {
		if (json_is_string(value) &&
		    strcmp(json_string_value(value), field->choices[i]) == 0) {
			*(unsigned int *)out = (unsigned int)i;
			return true;
		}
		snprintf(what + strlen(what), sizeof(what) - strlen(what),
		    " %s", field->choices[i]);
	}
	doc_error(check, field->path, what);
	return false;
}

static bool
field_int(const struct doc_check *check, const struct field *field,
    const json_t *value, void *out)
{
	char what[96];
	int64_t number = json_integer_value(value);

	if (!json_is_integer(value) || number < field->min ||
	    number > field->max) {
		snprintf(what, sizeof(what),
		    "must be a whole number from %lld to %lld",
		    (long long)field->min, (long long)field->max);
		doc_error(check, field->path, what);
		return false;
	}
	if (field->type == FIELD_MS)
		*(gb_time *)out = number * GB_MSEC;
	else
		*(int32_t *)out = (int32_t)number;
	return true;
}

static bool
field_dcs(const struct doc_check *check, const struct field *field,
    const json_t *value, const struct gb_dcs *dcs, uint32_t *out)
{
	const json_t *item;
	size_t i;
	unsigned int j;

	if (!json_is_array(value)) {
		doc_error(check, field->path, "must be a list of data centres");
		return false;
	}
	json_array_foreach(value, i, item)
	{
		const char *name = json_string_value(item);

		for (j = 0; j < dcs->count && name != NULL; j++) {
			if (strcmp(dcs->name[j], name) == 0)
				break;
		}
		if (name == NULL || j == dcs->count) {
			doc_error(check, field->path,
			    "names a data centre that is not in the settings");
			return false;
		}
		*out |= 1u << j;
	}
	return true;
}

/** Check the value of a field and store it in the document. */
static bool
field_parse(const struct doc_check *check, const struct field *field,
    const json_t *value, const struct gb_dcs *dcs, struct gb_doc *doc)
{
	void *out = (char *)doc + field->offset;

	switch (field->type) {
	case FIELD_NAME:
		if (!json_is_string(value) ||
		    !name_valid(json_string_value(value))) {
			doc_error(check, field->path,
			    "must be a name of 1 to 63 letters, digits, "
			    "'-', '_' or '.'");
			return false;
		}
		snprintf(out, GB_NAME_MAX + 1, "%s", json_string_value(value));
		return true;
	case FIELD_BOOL:
		if (!json_is_boolean(value)) {
			doc_error(check, field->path, "must be true or false");
			return false;
		}
		*(bool *)out = json_is_true(value);
		return true;
	case FIELD_CHOICE:
		return field_choice(check, field, value, out);
	case FIELD_DCS:
		return field_dcs(check, field, value, dcs, out);
	case FIELD_INT:
	case FIELD_MS:
		break;
	}
	return field_int(check, field, value, out);
}

static const struct field *
field_find(const char *path)
{
	size_t i;

	for (i = 0; i < FIELD_COUNT; i++) {
		if (strcmp(fields[i].path, path) == 0)
			return &fields[i];
	}
	return NULL;
}

/** Parse the fields of an object whose path is the prefix; given records the
 * fields that are present. */
static bool
object_parse(const struct doc_check *check, const char *prefix, json_t *object,
    const struct gb_dcs *dcs, struct gb_doc *doc, bool *given)
{
	const char *key;
	json_t *value;

	json_object_foreach(object, key, value)
	{
		char path[2 * GB_NAME_MAX];
		const struct field *field;

		snprintf(path, sizeof(path), "%s%s%.60s", prefix,
		    prefix[0] == '\0' ? "" : ".", key);
		field = field_find(path);
		if (field != NULL) {
			given[field - fields] = true;
			if (!field_parse(check, field, value, dcs, doc))
				return false;
		} else if (json_is_object(value) && prefix[0] == '\0') {
			if (!object_parse(check, path, value, dcs, doc, given))
				return false;
		} else {
			doc_error(check, path, "is not a field of a document");
			return false;
		}
	}
	return true;
}

/** Set the defaults; those that depend on the kind are set by doc_complete. */
static void
doc_defaults(struct gb_doc *doc)
{
	memset(doc, 0, sizeof(*doc));
	doc->band = GB_BANDS;
	doc->weight = 1;
	doc->max_attempts = 5;
	doc->queue_limit = 256;
	doc->timeout_us = 2 * GB_SEC;
}

/** Check the document as a whole and set the defaults that depend on its
 * kind. */
static bool
doc_complete(
    const struct doc_check *check, struct gb_doc *doc, const bool *given)
{
	size_t i;

	for (i = 0; i < FIELD_COUNT; i++) {
		if (fields[i].required && !given[i]) {
			doc_error(check, fields[i].path, "is missing");
			return false;
		}
	}
	if (!given[field_find("policy.idempotent") - fields])
		doc->idempotent =
		    doc->kind != GB_KIND_REQUEST && doc->kind != GB_KIND_BATCH;
	if (doc->kind == GB_KIND_SERVICE && !doc->idempotent) {
		doc_error(check, "policy.idempotent",
		    "must be true for a service, whose tasks are restarted");
		return false;
	}
	if (doc->kind == GB_KIND_GANG && !doc->idempotent) {
		doc_error(check, "policy.idempotent",
		    "must be true for a gang, which is restarted whole");
		return false;
	}
	if (doc->band == GB_BANDS)
		doc->band = kind_bands[doc->kind];
	doc->res.slots = 1;
	if (doc->kind == GB_KIND_LOOKUP || doc->kind == GB_KIND_REQUEST)
		doc->res.conns = 1;
	return true;
}

bool
gb_doc_parse(struct gb_doc *doc, const struct gb_dcs *dcs, const char *text,
    size_t len, struct gb_error *err)
{
	struct doc_check check = {text, len, err};
	bool given[FIELD_COUNT] = {false};
	json_error_t json_error;
	json_t *root;
	bool ok;

	doc_defaults(doc);
	root = json_loadb(text, len, JSON_REJECT_DUPLICATES, &json_error);
	if (root == NULL) {
		gb_error_set(err, GB_E_INVALID, "%d:%d: %s", json_error.line,
		    json_error.column, json_error.text);
		return false;
	}
	ok = json_is_object(root);
	if (!ok)
		gb_error_set(
		    err, GB_E_INVALID, "1:1: a document must be an object");
	ok = ok && object_parse(&check, "", root, dcs, doc, given) &&
	     doc_complete(&check, doc, given);
	json_decref(root);
	return ok;
}
