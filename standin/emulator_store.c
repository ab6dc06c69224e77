/**
 * @file emulator_store.c
 * Tables of the emulated platform over HTTP.  The model keeps the rows that the
 * scheduler writes.  This file keeps the rows that it only reads (the list of
 * workers, the operator's configuration), and serves calls that wait for
 * changes of them.
 */
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "emulator.h"

/** Longest wait of a call for changes. */
#define FEED_WAIT_MAX_MS 30000
/** Delay of late writes: at least this, plus a random part below the range. */
#define LATE_MIN_MS 1000
#define LATE_RANGE_MS 5000

/** A row that the scheduler only reads. */
struct platform_row {
	TAILQ_ENTRY(platform_row) next;
	char table[GB_NAME_MAX + 1];
	char key[GB_NAME_MAX + 1];
	char *value; /**< as encoded in messages, null: the row is removed */
	uint64_t vers;
};

/** A call that waits for changes of a table. */
struct follower {
	TAILQ_ENTRY(follower) next;
	struct http_call *call;
	char table[GB_NAME_MAX + 1];
	uint64_t after;
	gb_time deadline;
};

TAILQ_HEAD(platform_row_list, platform_row);
TAILQ_HEAD(follower_list, follower);

static struct platform_row_list platform_rows =
    TAILQ_HEAD_INITIALIZER(platform_rows);
static struct follower_list followers = TAILQ_HEAD_INITIALIZER(followers);
/** Oldest version whose later changes are still available. */
static uint64_t history_start;

/* Rows that the scheduler only reads -------------------------------------- */

void
emu_store_put(
    struct emulator *emu, const char *table, const char *key, const char *value)
{
	struct platform_row *row;
	gb_body body;
	json_t *text;

	TAILQ_FOREACH(row, &platform_rows, next)
	{
		if (strcmp(row->table, table) == 0 &&
		    strcmp(row->key, key) == 0)
			break;
	}
	if (row == NULL) {
		row = gb_calloc(1, sizeof(*row));
		snprintf(row->table, sizeof(row->table), "%s", table);
		snprintf(row->key, sizeof(row->key), "%s", key);
	} else {
		TAILQ_REMOVE(&platform_rows, row, next);
	}
	/* Keeps the list in the order of versions. */
	TAILQ_INSERT_TAIL(&platform_rows, row, next);
	row->vers = world_vers_next(emu->world);
	free(row->value);
	row->value = NULL;
	if (value == NULL)
		return;
	body.gb_body_val = (char *)value;
	body.gb_body_len = (u_int)strlen(value);
	text = plat_value_encode(&body);
	row->value = gb_strdup(json_string_value(text));
	json_decref(text);
}

void
emu_store_compact(struct emulator *emu)
{
	history_start = world_vers(emu->world);
}

static json_t *
platform_row_json(const struct platform_row *row)
{
	json_t *json = json_pack("{s:s, s:s, s:s, s:I}", "Table", row->table,
	    "part", "", "Key", row->key, "Ver", (json_int_t)row->vers);

	if (row->value == NULL)
		json_object_set_new(json, "Removed", json_true());
	else
		json_object_set_new(json, "Value", json_string(row->value));
	return json;
}

/** Rows that changed after a version, without removed ones if `present`. */
static json_t *
platform_rows_since(const char *table, uint64_t after, bool present)
{
	json_t *rows = json_array();
	const struct platform_row *row;

	TAILQ_FOREACH(row, &platform_rows, next)
	{
		if (strcmp(row->table, table) == 0 && row->vers > after &&
		    (!present || row->value != NULL))
			json_array_append_new(rows, platform_row_json(row));
	}
	return rows;
}

static json_t *
rows_message(const struct emulator *emu, json_t *rows, bool more)
{
	json_t *message = json_pack("{s:o, s:I, s:I}", "rows", rows, "Ver",
	    (json_int_t)world_vers(emu->world), "NowMs",
	    (json_int_t)(emu_now(emu) / GB_MSEC));

	if (more)
		json_object_set_new(message, "HasMore", json_true());
	return message;
}

/* Calls that wait for changes --------------------------------------------- */

static void
serve_feed(struct emulator *emu, struct http_call *call)
{
	struct follower *follower;
	char text[32];
	long wait;

	emu_query(call, "After", text, sizeof(text));
	if (strtoull(text, NULL, 10) < history_start) {
		emu_answer(call, 410, json_object());
		return;
	}
	follower = gb_calloc(1, sizeof(*follower));
	follower->call = call;
	follower->after = strtoull(text, NULL, 10);
	emu_query(call, "Table", follower->table, sizeof(follower->table));
	emu_query(call, "WaitMs", text, sizeof(text));
	wait = strtol(text, NULL, 10);
	if (wait > FEED_WAIT_MAX_MS)
		wait = FEED_WAIT_MAX_MS;
	follower->deadline = emu_now(emu) + wait * GB_MSEC;
	TAILQ_INSERT_TAIL(&followers, follower, next);
}

void
emu_store_tick(struct emulator *emu)
{
	struct follower *follower = TAILQ_FIRST(&followers);

	while (follower != NULL) {
		struct follower *next = TAILQ_NEXT(follower, next);
		json_t *rows = NULL;

		if (emu->faults.store != EMU_STORE_SILENT)
			rows = platform_rows_since(
			    follower->table, follower->after, false);
		if (rows != NULL && (json_array_size(rows) > 0 ||
					follower->deadline <= emu_now(emu))) {
			TAILQ_REMOVE(&followers, follower, next);
			emu_answer(follower->call, 200,
			    rows_message(emu, rows, false));
			free(follower);
		} else {
			json_decref(rows);
		}
		follower = next;
	}
}

/* Rows that the scheduler writes ------------------------------------------ */

static json_t *
row_json(const struct gb_pool_row *row, const char *partition)
{
	return json_pack("{s:s, s:s, s:s, s:I, s:o}", "Table",
	    plat_table_name(row->table), "part", partition, "Key", row->key,
	    "Ver", (json_int_t)row->vers, "Value",
	    plat_value_encode(&row->value));
}

static uint32_t
partition_number(const char *partition)
{
	return partition[0] == 'p' ? (uint32_t)strtoul(partition + 1, NULL, 10)
				   : 0;
}

static bool
partition_is_unavailable(const struct emulator *emu, uint32_t partition)
{
	return (emu->faults.store_partitions >> partition & 1) != 0;
}

static void
serve_get(struct emulator *emu, struct http_call *call)
{
	char table[GB_NAME_MAX + 1];
	char from[GB_KEY_MAX + 1];
	char to[GB_KEY_MAX + 1];
	char partition[32];
	char limit[32];
	struct gb_pool_read read = {0};
	struct gb_pool_read_res res;
	json_t *rows;
	size_t i;

	emu_query(call, "Table", table, sizeof(table));
	emu_query(call, "part", partition, sizeof(partition));
	read.table = plat_table_number(table);
	if (read.table == GB_POOL_TABLES) {
		emu_answer_later(emu, call, 200,
		    rows_message(
			emu, platform_rows_since(table, 0, true), false),
		    emu->faults.store_slow_ms);
		return;
	}
	emu_query(call, "From", from, sizeof(from));
	emu_query(call, "To", to, sizeof(to));
	emu_query(call, "Limit", limit, sizeof(limit));
	read.partition = partition_number(partition);
	if (partition_is_unavailable(emu, read.partition)) {
		emu_answer(call, 503, json_object());
		return;
	}
	read.from = from;
	read.to = to;
	read.limit = (uint32_t)strtoul(limit, NULL, 10);
	world_read(emu->world, &read, &res);
	rows = json_array();
	for (i = 0; i < res.row_count; i++)
		json_array_append_new(rows, row_json(&res.rows[i], partition));
	emu_answer_later(emu, call, 200, rows_message(emu, rows, res.more),
	    emu->faults.store_slow_ms);
	world_read_free(&res);
}

/** Decode one list of rows of a transaction and the partition that they name.
 * Release them with txn_rows_free. */
static struct gb_pool_row *
txn_rows(const json_t *list, bool remove, size_t *count, uint32_t *partition)
{
	struct gb_pool_row *rows =
	    gb_calloc(json_array_size(list), sizeof(*rows));
	size_t i;

	*count = json_array_size(list);
	for (i = 0; i < *count; i++) {
		const json_t *from = json_array_get(list, i);

		rows[i].table =
		    plat_table_number(plat_json_string(from, "Table"));
		rows[i].key = plat_json_string(from, "Key");
		rows[i].vers = (uint64_t)plat_json_int(from, "Ver");
		rows[i].remove = remove;
		*partition = partition_number(plat_json_string(from, "part"));
		plat_value_decode(
		    plat_json_string(from, "Value"), &rows[i].value);
	}
	return rows;
}

static void
txn_rows_free(struct gb_pool_row *rows, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		free(rows[i].value.gb_body_val);
	free(rows);
}

/** Carry out a transaction.  Returns the HTTP status and the answer. */
static unsigned int
txn_apply(struct emulator *emu, const json_t *root, json_t **message)
{
	struct gb_pool_txn txn = {0};
	struct gb_pool_txn_res res;
	struct gb_pool_row *removes;
	size_t remove_count;
	json_t *rows;
	size_t i;

	txn.conds = txn_rows(json_object_get(root, "ExpectedRev"), false,
	    &txn.cond_count, &txn.partition);
	txn.puts = txn_rows(json_object_get(root, "Put"), false, &txn.put_count,
	    &txn.partition);
	removes = txn_rows(json_object_get(root, "Remove"), true, &remove_count,
	    &txn.partition);
	txn.puts = gb_realloc(
	    txn.puts, (txn.put_count + remove_count + 1) * sizeof(*txn.puts));
	for (i = 0; i < remove_count; i++)
		txn.puts[txn.put_count++] = removes[i];
	free(removes);
	world_txn(emu->world, &txn, &res);
	rows = json_array();
	for (i = 0; i < res.row_count; i++)
		json_array_append_new(rows, row_json(&res.rows[i], "p0"));
	*message = rows_message(emu, rows, false);
	if (res.status != GB_STORE_OK)
		json_object_set_new(*message, "Ver",
		    json_integer((json_int_t)world_vers(emu->world)));
	world_txn_free(&res);
	txn_rows_free(txn.conds, txn.cond_count);
	txn_rows_free(txn.puts, txn.put_count);
	return res.status == GB_STORE_OK ? 200 : 412;
}

static void
txn_late(void *data)
{
	json_t *root = data;
	json_t *message;

	txn_apply(&emulator, root, &message);
	json_decref(message);
	json_decref(root);
}

/** Partition of a transaction: all its rows are in the same one. */
static uint32_t
txn_partition(const json_t *root)
{
	const json_t *conds = json_object_get(root, "ExpectedRev");
	const json_t *first = json_array_get(conds, 0);

	if (first == NULL)
		first = json_array_get(json_object_get(root, "Put"), 0);
	return partition_number(plat_json_string(first, "part"));
}

static void
serve_txn(struct emulator *emu, struct http_call *call)
{
	json_t *root = json_loadb(call->body, call->body_len, 0, NULL);
	unsigned int status;
	json_t *message;

	if (root == NULL) {
		emu_answer(call, 400, json_object());
		return;
	}
	if (partition_is_unavailable(emu, txn_partition(root))) {
		json_decref(root);
		emu_answer(call, 503, json_object());
		return;
	}
	if (emu_chance(emu, emu->faults.store_late)) {
		/* The call isn't answered; it stays open until its sender
		 * times out. */
		emu_later(emu,
		    LATE_MIN_MS + (unsigned int)(gb_random_next(&emu->seed) %
						 LATE_RANGE_MS),
		    txn_late, root);
		return;
	}
	status = txn_apply(emu, root, &message);
	json_decref(root);
	if (emu_chance(emu, emu->faults.store_lost)) {
		json_decref(message);
		return;
	}
	emu_answer_later(emu, call, status, message, emu->faults.store_slow_ms);
}

void
emu_store_serve(void *data, struct http_call *call)
{
	struct emulator *emu = data;

	if (emu->faults.store == EMU_STORE_SILENT)
		return;
	if (emu->faults.store == EMU_STORE_BUSY)
		emu_answer(call, 503, json_object());
	else if (strcmp(call->path, "/gooseberrycart/rows-tx") == 0)
		serve_txn(emu, call);
	else if (strcmp(call->path, "/gooseberrycart/rows-get") == 0)
		serve_get(emu, call);
	else if (strcmp(call->path, "/gooseberrycart/rows-feed") == 0)
		serve_feed(emu, call);
	else
		emu_answer(call, 404, json_object());
}
