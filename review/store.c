/**
 * @file store.c
 * The platform's metadata store: rows with versions, transactions, feeds.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include <openssl/evp.h>

#include "platform.h"

#define ROW_BYTES 65536
#define ENTRIES_MAX 100
#define PAGE_MAX 500
#define FEED_WAIT_MAX_MS 30000
#define TEXT_MAX 200

struct row {
	TAILQ_ENTRY(row) next;
	char table[TEXT_MAX + 1];
	char part[TEXT_MAX + 1];
	char key[TEXT_MAX + 1];
	char *value; /**< base64, null: removed */
	int64_t vers;
};

struct follower {
	TAILQ_ENTRY(follower) next;
	struct http_call *call;
	char table[TEXT_MAX + 1];
	unsigned int node;
	int64_t after;
	int64_t deadline;
};

TAILQ_HEAD(row_list, row);
TAILQ_HEAD(follower_list, follower);

/** In the order of their versions. */
static struct row_list rows = TAILQ_HEAD_INITIALIZER(rows);
static struct follower_list followers = TAILQ_HEAD_INITIALIZER(followers);
static int64_t newest;

static const char *
text_of(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text == NULL ? "" : text;
}

static struct row *
row_find(const char *table, const char *part, const char *key)
{
	struct row *row;

	TAILQ_FOREACH(row, &rows, next)
	{
		if (strcmp(row->key, key) == 0 &&
		    strcmp(row->part, part) == 0 &&
		    strcmp(row->table, table) == 0)
			return row;
	}
	return NULL;
}

static void
row_write(const char *table, const char *part, const char *key,
    const char *value, int64_t vers)
{
	struct row *row = row_find(table, part, key);

	if (row == NULL) {
		row = calloc(1, sizeof(*row));
		snprintf(row->table, sizeof(row->table), "%s", table);
		snprintf(row->part, sizeof(row->part), "%s", part);
		snprintf(row->key, sizeof(row->key), "%s", key);
	} else {
		TAILQ_REMOVE(&rows, row, next);
	}
	free(row->value);
	row->value = value == NULL ? NULL : strdup(value);
	row->vers = vers;
	TAILQ_INSERT_TAIL(&rows, row, next);
}

static json_t *
row_json(const struct row *row)
{
	json_t *json = json_pack("{s:s, s:s, s:s, s:I}", "Table", row->table,
	    "part", row->part, "Key", row->key, "Ver", (json_int_t)row->vers);

	if (row->value == NULL)
		json_object_set_new(json, "Removed", json_true());
	else
		json_object_set_new(json, "Value", json_string(row->value));
	return json;
}

static json_t *
message_new(json_t *list)
{
	return json_pack("{s:o, s:I, s:I}", "rows", list, "Ver",
	    (json_int_t)newest, "NowMs", (json_int_t)cell_now());
}

void
store_put(const char *table, const char *key, json_t *value)
{
	char *text = value == NULL ? NULL : json_dumps(value, JSON_COMPACT);
	char *encoded = NULL;

	if (text != NULL) {
		encoded = calloc(1, strlen(text) * 2 + 8);
		EVP_EncodeBlock((unsigned char *)encoded,
		    (const unsigned char *)text, (int)strlen(text));
	}
	row_write(table, "", key, encoded, ++newest);
	free(encoded);
	free(text);
	json_decref(value);
}

/* Transactions ------------------------------------------------------------ */

static bool
condition_holds(const json_t *cond)
{
	const struct row *row = row_find(text_of(cond, "Table"),
	    text_of(cond, "part"), text_of(cond, "Key"));
	json_int_t vers = json_integer_value(json_object_get(cond, "Ver"));

	return (row == NULL || row->value == NULL ? 0 : row->vers) == vers;
}

/** The rows that conditions name, as they are. */
static json_t *
condition_rows(const json_t *conds)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < json_array_size(conds); i++) {
		const json_t *cond = json_array_get(conds, i);
		const struct row *row = row_find(text_of(cond, "Table"),
		    text_of(cond, "part"), text_of(cond, "Key"));

		if (row != NULL && row->value != NULL)
			json_array_append_new(list, row_json(row));
	}
	return list;
}

/** Whether a transaction is within the limits of the page. */
static bool
transaction_valid(const json_t *conds, const json_t *puts, const json_t *drops)
{
	size_t i;

	if (json_array_size(conds) + json_array_size(puts) +
		json_array_size(drops) >
	    ENTRIES_MAX)
		return false;
	for (i = 0; i < json_array_size(puts); i++) {
		const char *value = text_of(json_array_get(puts, i), "Value");

		if (strlen(value) / 4 * 3 > ROW_BYTES + 2) {
			cell_record("store refuses a value of %zu bytes",
			    strlen(value) / 4 * 3);
			return false;
		}
	}
	return true;
}

static void
serve_transaction(struct http_call *call)
{
	json_t *root = json_loadb(call->body, call->body_len, 0, NULL);
	const json_t *conds = json_object_get(root, "ExpectedRev");
	const json_t *puts = json_object_get(root, "Put");
	const json_t *drops = json_object_get(root, "Remove");
	size_t i;

	if (root == NULL || !transaction_valid(conds, puts, drops)) {
		json_decref(root);
		cell_answer(call, 400, json_object(), cell.transaction_ms);
		return;
	}
	for (i = 0; i < json_array_size(conds); i++) {
		if (condition_holds(json_array_get(conds, i)))
			continue;
		cell_answer(call, 412, message_new(condition_rows(conds)),
		    cell.transaction_ms);
		json_decref(root);
		return;
	}
	newest++;
	for (i = 0; i < json_array_size(puts); i++) {
		const json_t *put = json_array_get(puts, i);

		row_write(text_of(put, "Table"), text_of(put, "part"),
		    text_of(put, "Key"), text_of(put, "Value"), newest);
	}
	for (i = 0; i < json_array_size(drops); i++) {
		const json_t *drop = json_array_get(drops, i);

		row_write(text_of(drop, "Table"), text_of(drop, "part"),
		    text_of(drop, "Key"), NULL, newest);
	}
	json_decref(root);
	cell_answer(call, 200, message_new(json_array()), cell.transaction_ms);
}

/* Reads ------------------------------------------------------------------- */

static int
row_compare(const void *a, const void *b)
{
	return strcmp((*(const struct row *const *)a)->key,
	    (*(const struct row *const *)b)->key);
}

static void
serve_get(struct http_call *call)
{
	char table[TEXT_MAX + 1];
	char part[TEXT_MAX + 1];
	char from[TEXT_MAX + 1];
	char to[TEXT_MAX + 1];
	char limit[32];
	const struct row **found;
	const struct row *row;
	json_t *list = json_array();
	json_t *message;
	size_t count = 0;
	size_t most;
	size_t i;

	cell_query(call, "Table", table, sizeof(table));
	cell_query(call, "part", part, sizeof(part));
	cell_query(call, "From", from, sizeof(from));
	cell_query(call, "To", to, sizeof(to));
	cell_query(call, "Limit", limit, sizeof(limit));
	most = strtoul(limit, NULL, 10);
	if (most == 0 || most > PAGE_MAX)
		most = PAGE_MAX;
	TAILQ_FOREACH(row, &rows, next)
	{
		count++;
	}
	found = calloc(count + 1, sizeof(*found));
	count = 0;
	TAILQ_FOREACH(row, &rows, next)
	{
		if (row->value != NULL && strcmp(row->table, table) == 0 &&
		    strcmp(row->part, part) == 0 &&
		    strcmp(row->key, from) >= 0 &&
		    (to[0] == '\0' || strcmp(row->key, to) < 0))
			found[count++] = row;
	}
	qsort(found, count, sizeof(*found), row_compare);
	for (i = 0; i < count && i < most; i++)
		json_array_append_new(list, row_json(found[i]));
	free(found);
	message = message_new(list);
	if (count > most)
		json_object_set_new(message, "HasMore", json_true());
	cell_answer(call, 200, message, cell.read_ms);
}

static void
serve_feed(struct http_call *call, unsigned int node)
{
	struct follower *follower = calloc(1, sizeof(*follower));
	char text[32];
	long wait;

	cell_query(call, "Table", follower->table, sizeof(follower->table));
	cell_query(call, "After", text, sizeof(text));
	follower->after = strtoll(text, NULL, 10);
	cell_query(call, "WaitMs", text, sizeof(text));
	wait = strtol(text, NULL, 10);
	follower->call = call;
	follower->node = node;
	follower->deadline =
	    cell_now() + (wait > FEED_WAIT_MAX_MS ? FEED_WAIT_MAX_MS : wait);
	TAILQ_INSERT_TAIL(&followers, follower, next);
}

void
store_tick(void)
{
	struct follower *follower;
	struct follower *after;
	const struct row *row;
	json_t *list;

	for (follower = TAILQ_FIRST(&followers); follower != NULL;
	     follower = after) {
		after = TAILQ_NEXT(follower, next);
		if (link_is_cut(follower->node))
			continue;
		list = json_array();
		TAILQ_FOREACH(row, &rows, next)
		{
			if (row->vers > follower->after &&
			    strcmp(row->table, follower->table) == 0)
				json_array_append_new(list, row_json(row));
		}
		if (json_array_size(list) == 0 &&
		    follower->deadline > cell_now()) {
			json_decref(list);
			continue;
		}
		TAILQ_REMOVE(&followers, follower, next);
		cell_answer(follower->call, 200, message_new(list), 0);
		free(follower);
	}
}

void
store_serve(void *data, struct http_call *call)
{
	unsigned int node = *(const unsigned int *)data;

	if (link_is_cut(node))
		return; /* it does not arrive */
	if (strcmp(call->path, "/gooseberrycart/rows-tx") == 0)
		serve_transaction(call);
	else if (strcmp(call->path, "/gooseberrycart/rows-get") == 0)
		serve_get(call);
	else if (strcmp(call->path, "/gooseberrycart/rows-feed") == 0)
		serve_feed(call, node);
	else
		cell_answer(call, 404, json_object(), 0);
}
