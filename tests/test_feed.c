/**
 * @file test_feed.c
 * Guards against a changed configuration that takes effect late or never.  This
 * comes about when the feed, which reads a table and then waits for changes,
 * has a connection to the store that goes silent while a query waits on it,
 * when the store drops the history of changes, or when another writer has left
 * a row with an odd key in the table.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "platform.h"

/** Longest time from a change in the store until the feed delivers it. */
#define DELIVERY_MAX (2 * GB_SEC)
/** The same where every connection works. */
#define DELIVERY_MAX_QUICK (500 * GB_MSEC)
/** Largest number of connections of a test. */
#define CONNS_MAX 16
/** Pieces of an answer that arrives slowly, and the pause between them.  All of
 * them take longer than the feed waits for an answer. */
#define PIECES 20
#define PIECE_PAUSE (150 * GB_MSEC)
/** Longest key that the store takes, in bytes. */
#define KEY_BYTES_MAX 200
/** Interval at which the store answers waiting queries, in milliseconds. */
#define TIMER_MS 5

struct store;

/** A connection of the feed, and the query on it. */
struct conn {
	uv_tcp_t tcp;
	uv_write_t write;
	struct store *store;
	bool open;
	bool silent;	/**< gets no answer */
	bool waits;	/**< the query waits for a change */
	gb_time until;	/**< when it is answered without a change */
	uint64_t after; /**< newest version that the feed has */
	char text[1024];
	size_t sent;	  /**< bytes of the text that were sent */
	gb_time piece_at; /**< when the next piece is sent */
};

/** A store with one row, whose value is its version. */
struct store {
	uv_loop_t loop;
	uv_tcp_t tcp;
	uv_timer_t timer;
	struct conn conns[CONNS_MAX];
	unsigned int conn_count;
	uint64_t version;
	uint64_t kept; /**< the history holds the changes after this version */
	char addr[GB_NAME_MAX + 1];
	struct plat plat;
	struct plat_feed *feed;
	uint64_t delivered; /**< newest version that the feed has delivered */
	unsigned int queries;
	bool slow; /**< answers are sent in pieces */
	/** JSON text of the key of another row, which is first in all answers
	 * with rows; null: there is none. */
	const char *odd_key;
	/** Last key of the first page of the table, which has no other row;
	 * null: the table has one page. */
	const char *page_key;
};

/** A feed can't be freed before the process ends, so its store stays; one for
 * each test. */
static struct store stores[20];
static unsigned int store_count;

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	static char data[4096];

	(void)handle;
	(void)size;
	memset(data, 0, sizeof(data));
	*buf = uv_buf_init(data, sizeof(data) - 1);
}

/** Sends what is due of an answer: the whole text, or a piece of it. */
static void
conn_send_piece(struct conn *conn)
{
	size_t len = strlen(conn->text) - conn->sent;
	size_t piece = strlen(conn->text) / PIECES;
	uv_buf_t buf;

	if (!conn->open || len == 0 || gb_clock_boot() < conn->piece_at)
		return;
	if (conn->store->slow && len > piece)
		len = piece;
	buf = uv_buf_init(conn->text + conn->sent, (unsigned int)len);
	conn->sent += len;
	conn->piece_at = gb_clock_boot() + PIECE_PAUSE;
	uv_write(&conn->write, (uv_stream_t *)&conn->tcp, &buf, 1, NULL);
}

static void
conn_write(struct conn *conn, unsigned int status, const char *body)
{
	snprintf(conn->text, sizeof(conn->text),
	    "HTTP/1.1 %u X\r\nContent-Length: %zu\r\n\r\n%s", status,
	    strlen(body), body);
	conn->sent = 0;
	conn->piece_at = gb_clock_boot();
	conn_send_piece(conn);
}

/** Writes an answer with the odd row before the others. */
static void
conn_write_odd(struct conn *conn, const char *text)
{
	const char *rows = strstr(text, "\"rows\":[") + strlen("\"rows\":[");
	struct gb_text body = {0};

	gb_text_add(&body, "%.*s{\"Key\":\"%s\",\"Value\":\"\"},%s",
	    (int)(rows - text), text, conn->store->odd_key, rows);
	conn_write(conn, 200, body.data);
	gb_text_free(&body);
}

/** Answers a query with the row, or with no row if nothing has changed. */
static void
conn_answer(struct conn *conn, bool row)
{
	struct store *store = conn->store;
	json_t *rows = json_array();
	char value[32];
	gb_body body = {0, value};
	char *text;
	size_t len;

	body.gb_body_len = (u_int)snprintf(
	    value, sizeof(value), "%llu", (unsigned long long)store->version);
	if (row)
		json_array_append_new(
		    rows, json_pack("{s:s, s:o}", "Key", "config", "Value",
			      plat_value_encode(&body)));
	text = plat_json_text(
	    json_pack("{s:I, s:o, s:b}", "Ver", (json_int_t)store->version,
		"rows", rows, "HasMore", 0),
	    &len);
	conn->waits = false;
	if (row && store->odd_key != NULL)
		conn_write_odd(conn, text);
	else
		conn_write(conn, 200, text);
	free(text);
}

/** Answers a read of the table: with the first page, the rest, or a rejection
 * because the key in the query is too long. */
static void
conn_read(struct conn *conn, const char *request)
{
	const struct store *store = conn->store;
	const char *from = strstr(request, "From=");
	size_t bytes = 0;
	char body[512];

	for (from += strlen("From="); *from != '&' && *from != ' '; bytes++)
		from += *from == '%' ? 3 : 1;
	if (store->page_key != NULL && bytes == 0) {
		snprintf(body, sizeof(body),
		    "{\"Ver\":1,\"rows\":[{\"Key\":\"%s\",\"Value\":\"\"}],"
		    "\"HasMore\":true}",
		    store->page_key);
		conn_write(conn, 200, body);
	} else if (bytes > KEY_BYTES_MAX) {
		conn_write(conn, 400, "{}");
	} else {
		conn_answer(conn, true);
	}
}

/** Handles a query: answers a read at once; lets a query for changes wait, or
 * answers it with status 410 if the history does not go back far enough. */
static void
conn_query(struct conn *conn, const char *request)
{
	const char *after = strstr(request, "After=");
	const char *wait = strstr(request, "WaitMs=");

	conn->store->queries++;
	if (after == NULL || wait == NULL) {
		conn_read(conn, request);
		return;
	}
	conn->after = strtoull(after + strlen("After="), NULL, 10);
	if (conn->after < conn->store->kept) {
		conn_write(conn, 410, "{}");
		return;
	}
	conn->waits = true;
	conn->until = gb_clock_boot() +
		      strtoll(wait + strlen("WaitMs="), NULL, 10) * GB_MSEC;
}

static void
on_request(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	struct conn *conn = stream->data;

	if (len < 0 && conn->open) {
		conn->open = false;
		conn->waits = false;
		uv_close((uv_handle_t *)&conn->tcp, NULL);
	}
	if (len > 0 && !conn->silent)
		conn_query(conn, buf->base);
}

static void
on_connection(uv_stream_t *listener, int status)
{
	struct store *store = listener->data;
	struct conn *conn = &store->conns[store->conn_count++];

	assert_int_equal(status, 0);
	assert_true(store->conn_count <= CONNS_MAX);
	conn->store = store;
	conn->open = true;
	uv_tcp_init(listener->loop, &conn->tcp);
	conn->tcp.data = conn;
	uv_accept(listener, (uv_stream_t *)&conn->tcp);
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_request);
}

/** Answers the waiting queries that a change or their timeout has ended. */
static void
on_timer(uv_timer_t *timer)
{
	struct store *store = timer->data;
	unsigned int i;

	for (i = 0; i < store->conn_count; i++) {
		struct conn *conn = &store->conns[i];

		if (!conn->silent)
			conn_send_piece(conn);
		if (!conn->waits || conn->silent)
			continue;
		if (conn->after < store->version)
			conn_answer(conn, true);
		else if (conn->until <= gb_clock_boot())
			conn_answer(conn, false);
	}
}

static void
on_row(void *data, const char *key, const char *value, size_t len)
{
	struct store *store = data;

	if (len == 0 && (store->odd_key != NULL || store->page_key != NULL)) {
		assert_string_not_equal(key, "config");
		return;
	}
	assert_string_equal(key, "config");
	store->delivered = strtoull(value, NULL, 10);
}

static void
on_end(void *data, bool whole)
{
	(void)data;
	(void)whole;
}

/** Whether the feed waits for a change on a connection that works. */
static bool
store_has_query(const struct store *store)
{
	unsigned int i;

	for (i = 0; i < store->conn_count; i++) {
		if (store->conns[i].waits && !store->conns[i].silent)
			return true;
	}
	return false;
}

/** Starts a store at version 1 and a feed of its row, or of the whole table if
 * `key` is null, and runs them until the feed waits for the next version. */
static struct store *
store_start_feed(const char *key)
{
	struct store *store = &stores[store_count++];
	gb_time until = gb_clock_boot() + DELIVERY_MAX;
	struct sockaddr_in sin;
	int len = sizeof(sin);

	assert_true(store_count <= sizeof(stores) / sizeof(stores[0]));
	store->version = 1;
	uv_loop_init(&store->loop);
	uv_ip4_addr("127.0.0.1", 0, &sin);
	uv_tcp_init(&store->loop, &store->tcp);
	store->tcp.data = store;
	uv_tcp_bind(&store->tcp, (struct sockaddr *)&sin, 0);
	assert_int_equal(
	    uv_listen((uv_stream_t *)&store->tcp, 8, on_connection), 0);
	uv_tcp_getsockname(&store->tcp, (struct sockaddr *)&sin, &len);
	uv_timer_init(&store->loop, &store->timer);
	store->timer.data = store;
	uv_timer_start(&store->timer, on_timer, TIMER_MS, TIMER_MS);
	store->plat.loop = &store->loop;
	store->plat.http = plat_http_new(&store->loop, NULL);
	snprintf(store->plat.settings.store, sizeof(store->plat.settings.store),
	    "127.0.0.1:%d", ntohs(sin.sin_port));
	store->feed =
	    plat_feed_new(&store->plat, "op", key, on_row, on_end, store);
	plat_feed_start(store->feed);
	while (!store_has_query(store) && gb_clock_boot() < until)
		uv_run(&store->loop, UV_RUN_ONCE);
	assert_int_equal(store->delivered, 1);
	return store;
}

static struct store *
store_start(void)
{
	return store_start_feed("config");
}

/** Makes all present connections silent; new ones work. */
static void
store_silence_conns(struct store *store)
{
	unsigned int i;

	for (i = 0; i < store->conn_count; i++)
		store->conns[i].silent = true;
}

/** Changes the row; returns the time until the feed has delivered the change.
 */
static gb_time
store_change(struct store *store)
{
	gb_time began = gb_clock_boot();

	store->version++;
	while (store->delivered < store->version &&
	       gb_clock_boot() - began < 2 * DELIVERY_MAX)
		uv_run(&store->loop, UV_RUN_ONCE);
	assert_int_equal(store->delivered, store->version);
	return gb_clock_boot() - began;
}

static void
test_change_is_delivered_at_once(void **state)
{
	struct store *store = store_start();

	(void)state;
	assert_true(store_change(store) < DELIVERY_MAX_QUICK);
	assert_true(store_change(store) < DELIVERY_MAX_QUICK);
}

/** The feed's connection goes silent after its query was sent, and then the row
 * changes.  The feed receives the change over another connection. */
static void
test_silent_connection_is_replaced(void **state)
{
	struct store *store = store_start();
	gb_time took;

	(void)state;
	store_silence_conns(store);
	took = store_change(store);
	print_message("delivered after %d ms\n", (int)(took / GB_MSEC));
	assert_true(took < DELIVERY_MAX);
}

/** The store drops the history before the feed has read the change in it, so
 * the feed reads the whole table again. */
static void
test_table_is_read_without_history(void **state)
{
	struct store *store = store_start();

	(void)state;
	store->kept = store->version + 1;
	store_silence_conns(store);
	store->conns[0].silent = false;
	store->conns[0].waits = false;
	conn_write(&store->conns[0], 410, "{}");
	assert_true(store_change(store) < DELIVERY_MAX_QUICK);
}

/** A table that changes without a pause, as the entries of many workers do, is
 * read in batches of a tenth of a second; one call for each change costs as
 * many calls as there are workers. */
static void
test_changes_of_a_table_are_batched(void **state)
{
	struct store *store = store_start_feed(NULL);
	gb_time until = gb_clock_boot() + GB_SEC;
	unsigned int before = store->queries;

	(void)state;
	while (gb_clock_boot() < until) {
		store->version++;
		uv_run(&store->loop, UV_RUN_ONCE);
	}
	assert_in_range(store->queries - before, 5, 15);
	assert_true(store_change(store) < DELIVERY_MAX_QUICK);
}

/** A relaxed feed waits with one query for many seconds, and still delivers a
 * change at once.  After its connection has become silent, the end of the
 * relaxation delivers what was missed. */
static void
test_relaxed_feed_asks_seldom(void **state)
{
	struct store *store = store_start();
	gb_time until;
	unsigned int before;

	(void)state;
	plat_feed_relax(store->feed, true);
	assert_true(store_change(store) < DELIVERY_MAX_QUICK);
	before = store->queries;
	until = gb_clock_boot() + 3 * GB_SEC;
	while (gb_clock_boot() < until)
		uv_run(&store->loop, UV_RUN_ONCE);
	assert_in_range(store->queries - before, 0, 1);
	store_silence_conns(store);
	plat_feed_relax(store->feed, false);
	assert_true(store_change(store) < DELIVERY_MAX_QUICK);
}

/** The link carries a row in more time than the feed waits for an answer, as a
 * large configuration on a thin link.  An answer that keeps arriving is read to
 * its end, also when the change comes late in the wait: a feed that gives up
 * and asks again never gets the row. */
static void
test_row_that_takes_long_is_delivered(void **state)
{
	struct store *store = store_start();
	gb_time until = gb_clock_boot() + 900 * GB_MSEC;

	(void)state;
	while (gb_clock_boot() < until)
		uv_run(&store->loop, UV_RUN_ONCE);
	store->slow = true;
	assert_true(
	    store_change(store) < (PIECES + 1) * PIECE_PAUSE + DELIVERY_MAX);
}

/** The connection goes silent in the middle of an answer.  The feed asks again
 * on another one. */
static void
test_answer_that_stops_is_requested_again(void **state)
{
	struct store *store = store_start();
	gb_time until = gb_clock_boot() + 3 * PIECE_PAUSE;

	(void)state;
	store->slow = true;
	store->version++;
	while (gb_clock_boot() < until)
		uv_run(&store->loop, UV_RUN_ONCE);
	store_silence_conns(store);
	store->slow = false;
	assert_true(store_change(store) < DELIVERY_MAX);
}

/** Another writer leaves a row whose key has a null character, or half of a
 * surrogate pair.  The other rows of the answer are delivered, and the key
 * isn't taken for that of another row. */
static void
test_odd_keys_stop_no_feed(void **state)
{
	static const char *const keys[] = {"a\\u0000b", "config\\u0000",
	    "\\u0000", "\\ud800", "a\\uDC00b", "\\ud83dx\\ude00",
	    "\\\\\\udbff\\\\u0041", "\\ud83d\\ude00"};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(keys) / sizeof(keys[0]); i++) {
		struct store *store;

		stores[store_count].odd_key = keys[i];
		store = store_start_feed(NULL);
		assert_true(store_change(store) < DELIVERY_MAX_QUICK);
	}
}

/** Another writer leaves a row with the longest key that the store takes, and a
 * page ends with it. */
static void
test_long_key_ends_a_page(void **state)
{
	char key[KEY_BYTES_MAX + 1];
	struct store *store;

	(void)state;
	memset(key, 'k', KEY_BYTES_MAX);
	key[KEY_BYTES_MAX] = '\0';
	stores[store_count].page_key = key;
	store = store_start_feed(NULL);
	assert_true(store_change(store) < DELIVERY_MAX_QUICK);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_change_is_delivered_at_once),
	    cmocka_unit_test(test_silent_connection_is_replaced),
	    cmocka_unit_test(test_table_is_read_without_history),
	    cmocka_unit_test(test_changes_of_a_table_are_batched),
	    cmocka_unit_test(test_relaxed_feed_asks_seldom),
	    cmocka_unit_test(test_row_that_takes_long_is_delivered),
	    cmocka_unit_test(test_answer_that_stops_is_requested_again),
	    cmocka_unit_test(test_odd_keys_stop_no_feed),
	    cmocka_unit_test(test_long_key_ends_a_page),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
