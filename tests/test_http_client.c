/**
 * @file test_http_client.c
 * Guards against answers that the adapter's HTTP client loses or misreads, and
 * against too many connections to a worker.  They come about when a server
 * sends no length, closes early, sends malformed text or does not answer.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "platform.h"

#define CALL_TIMEOUT GB_SEC
#define SHORT_TIMEOUT (100 * GB_MSEC)

/** A server that answers each request with a fixed text. */
struct server {
	uv_tcp_t tcp;
	uv_tcp_t conn;
	uv_write_t write;
	const char *answer;
	bool closes; /**< closes the connection after the answer */
	/** The process stands still for so long after the answer is sent. */
	gb_time stands_still;
	char addr[GB_NAME_MAX + 1];
};

/** Outcome of a call, copied from its result. */
struct outcome {
	bool done;
	unsigned int status;
	bool sent;
	char body[64];
};

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	static char data[4096];

	(void)handle;
	(void)size;
	*buf = uv_buf_init(data, sizeof(data));
}

static void
on_answered(uv_write_t *write, int status)
{
	struct server *server = write->data;

	(void)status;
	if (server->closes)
		uv_close((uv_handle_t *)&server->conn, NULL);
}

static void
on_request(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	struct server *server = stream->data;
	uv_buf_t answer = uv_buf_init(
	    (char *)server->answer, (unsigned int)strlen(server->answer));

	(void)buf;
	if (len <= 0)
		return;
	server->write.data = server;
	uv_write(&server->write, stream, &answer, 1, on_answered);
	if (server->stands_still > 0)
		usleep((useconds_t)server->stands_still);
}

static void
on_connection(uv_stream_t *listener, int status)
{
	struct server *server = listener->data;

	assert_int_equal(status, 0);
	uv_tcp_init(listener->loop, &server->conn);
	server->conn.data = server;
	uv_accept(listener, (uv_stream_t *)&server->conn);
	uv_read_start((uv_stream_t *)&server->conn, on_alloc, on_request);
}

static void
server_start(uv_loop_t *loop, struct server *server)
{
	struct sockaddr_in sin;
	int len = sizeof(sin);

	uv_ip4_addr("127.0.0.1", 0, &sin);
	uv_tcp_init(loop, &server->tcp);
	server->tcp.data = server;
	uv_tcp_bind(&server->tcp, (struct sockaddr *)&sin, 0);
	assert_int_equal(
	    uv_listen((uv_stream_t *)&server->tcp, 8, on_connection), 0);
	uv_tcp_getsockname(&server->tcp, (struct sockaddr *)&sin, &len);
	snprintf(server->addr, sizeof(server->addr), "127.0.0.1:%d",
	    ntohs(sin.sin_port));
}

static void
on_done(void *data, const struct plat_http_res *res)
{
	struct outcome *outcome = data;

	outcome->done = true;
	outcome->status = res->status;
	outcome->sent = res->sent;
	snprintf(outcome->body, sizeof(outcome->body), "%.*s",
	    (int)res->body_len, res->body);
}

/** Sends a request to a new server that gives an answer and may then close the
 * connection; returns the outcome. */
static struct outcome
call(const char *answer, bool closes)
{
	uv_loop_t *loop = uv_default_loop();
	static struct plat_http *http;
	static struct server servers[8];
	static unsigned int used;
	struct server *server = &servers[used++];
	struct outcome outcome = {0};

	if (http == NULL)
		http = plat_http_new(loop, NULL);
	server->answer = answer;
	server->closes = closes;
	server_start(loop, server);
	plat_http_call(http, GB_TRAFFIC_HEARTBEAT, server->addr, "GET", "/", "",
	    NULL, 0, CALL_TIMEOUT, on_done, &outcome);
	while (!outcome.done)
		uv_run(loop, UV_RUN_ONCE);
	return outcome;
}

static void
test_answer_with_length(void **state)
{
	struct outcome outcome =
	    call("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", false);

	(void)state;
	assert_int_equal(outcome.status, 200);
	assert_string_equal(outcome.body, "{}");
}

/** An answer without a length ends with its connection, and must not count as
 * lost. */
static void
test_answer_without_length(void **state)
{
	struct outcome outcome =
	    call("HTTP/1.1 412 Conflict\r\nConnection: close\r\n\r\n{\"a\":1}",
		true);

	(void)state;
	assert_int_equal(outcome.status, 412);
	assert_string_equal(outcome.body, "{\"a\":1}");
}

static void
test_truncated_answer(void **state)
{
	struct outcome outcome =
	    call("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}", true);

	(void)state;
	assert_int_equal(outcome.status, 0);
	assert_true(outcome.sent);
}

static void
test_no_answer(void **state)
{
	struct outcome outcome = call("", true);

	(void)state;
	assert_int_equal(outcome.status, 0);
	assert_true(outcome.sent);
}

static void
test_malformed_answer(void **state)
{
	struct outcome outcome = call("no http at all\r\n\r\n", false);

	(void)state;
	assert_int_equal(outcome.status, 0);
}

/** An answer arrives in time, but the process stands still until the deadline
 * has passed, for example because it lacks processor time.  The answer must not
 * count as lost: a worker that has terminated since can't be asked again. */
static void
test_late_process_reads_answer(void **state)
{
	static struct server server;
	uv_loop_t *loop = uv_default_loop();
	struct plat_http *http = plat_http_new(loop, NULL);
	struct outcome outcome = {0};

	(void)state;
	server.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
	server.stands_still = 2 * SHORT_TIMEOUT;
	server.closes = true;
	server_start(loop, &server);
	plat_http_call(http, GB_TRAFFIC_HEARTBEAT, server.addr, "GET", "/", "",
	    NULL, 0, SHORT_TIMEOUT, on_done, &outcome);
	while (!outcome.done)
		uv_run(loop, UV_RUN_ONCE);
	assert_int_equal(outcome.status, 200);
	assert_string_equal(outcome.body, "{}");
}

/** A call without an answer ends soon after its deadline. */
static void
test_call_expires(void **state)
{
	static struct server server;
	uv_loop_t *loop = uv_default_loop();
	struct plat_http *http = plat_http_new(loop, NULL);
	struct outcome outcome = {0};
	gb_time began = gb_clock_boot();

	(void)state;
	server.answer = "";
	server_start(loop, &server);
	plat_http_call(http, GB_TRAFFIC_HEARTBEAT, server.addr, "GET", "/", "",
	    NULL, 0, SHORT_TIMEOUT, on_done, &outcome);
	while (!outcome.done)
		uv_run(loop, UV_RUN_ONCE);
	assert_int_equal(outcome.status, 0);
	assert_in_range(gb_clock_boot() - began, SHORT_TIMEOUT, CALL_TIMEOUT);
}

/* Many orders for a worker that does not answer --------------------------- */

/** Number of orders to start runs that are sent at once. */
#define ORDERS 20
/** Largest number of connections to one worker. */
#define CONNS_MAX 6

/** A server that accepts connections and answers nothing. */
struct silent_server {
	uv_tcp_t tcp;
	uv_tcp_t conns[ORDERS];
	unsigned int count;
	char addr[32];
};

static void
on_silent_connection(uv_stream_t *listener, int status)
{
	struct silent_server *server = listener->data;

	assert_int_equal(status, 0);
	uv_tcp_init(listener->loop, &server->conns[server->count]);
	uv_accept(listener, (uv_stream_t *)&server->conns[server->count]);
	server->count++;
}

/** The number of connections to one worker is bounded, however many orders to
 * start runs there are.  An order that timed out while it waited for a
 * connection counts as not sent, so it was certainly not carried out. */
static void
test_connections_to_a_worker_are_few(void **state)
{
	static struct silent_server server;
	gb_time deadline = gb_clock_boot() + CALL_TIMEOUT;
	struct outcome outcomes[ORDERS] = {0};
	uv_loop_t *loop = uv_default_loop();
	struct plat_http *http = plat_http_new(loop, NULL);
	struct sockaddr_in sin;
	int len = sizeof(sin);
	unsigned int sent = 0;
	unsigned int i;

	(void)state;
	uv_ip4_addr("127.0.0.1", 0, &sin);
	uv_tcp_init(loop, &server.tcp);
	server.tcp.data = &server;
	uv_tcp_bind(&server.tcp, (struct sockaddr *)&sin, 0);
	uv_listen((uv_stream_t *)&server.tcp, ORDERS, on_silent_connection);
	uv_tcp_getsockname(&server.tcp, (struct sockaddr *)&sin, &len);
	snprintf(server.addr, sizeof(server.addr), "127.0.0.1:%d",
	    ntohs(sin.sin_port));
	/* All deadlines are the same: an order that expires later, since the
	 * process was held up here, would be sent over a new connection. */
	for (i = 0; i < ORDERS; i++)
		plat_http_call(http, GB_TRAFFIC_START, server.addr, "POST", "/",
		    "", "{}", 2, deadline - gb_clock_boot(), on_done,
		    &outcomes[i]);
	for (i = 0; i < ORDERS; i++) {
		while (!outcomes[i].done)
			uv_run(loop, UV_RUN_ONCE);
		assert_int_equal(outcomes[i].status, 0);
		sent += outcomes[i].sent;
	}
	assert_in_range(server.count, 1, CONNS_MAX);
	assert_in_range(sent, 1, CONNS_MAX);
}

/** Mark that the test puts on a connection; the value has no meaning. */
#define MARK 1790000000001

static void
on_marked(void *data, const struct plat_http_res *res)
{
	struct outcome *outcome = data;

	outcome->done = true;
	outcome->status = res->status;
	assert_non_null(res->mark);
	*res->mark = MARK;
}

/** plat_http_select_marked() finds the connection that has a mark, so that the
 * next call goes over it; the mark ends with the connection. */
static void
test_mark_ends_with_its_connection(void **state)
{
	static struct server server;
	uv_loop_t *loop = uv_default_loop();
	struct plat_http *http = plat_http_new(loop, NULL);
	struct outcome outcome = {0};

	(void)state;
	server.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
	server_start(loop, &server);
	assert_false(plat_http_select_marked(http, server.addr, MARK));
	plat_http_call(http, GB_TRAFFIC_HEARTBEAT, server.addr, "GET", "/", "",
	    NULL, 0, CALL_TIMEOUT, on_marked, &outcome);
	while (!outcome.done)
		uv_run(loop, UV_RUN_ONCE);
	assert_int_equal(outcome.status, 200);
	assert_true(plat_http_select_marked(http, server.addr, MARK));
	assert_false(plat_http_select_marked(http, server.addr, MARK + 1));
	uv_close((uv_handle_t *)&server.conn, NULL);
	while (plat_http_select_marked(http, server.addr, MARK))
		uv_run(loop, UV_RUN_ONCE);
}

/** Number of workers that are called in turn, and of connections to them. */
#define WORKERS 12
#define WORKER_CONNS 4

/** Calls one worker after the other; asserts that each answers, and returns the
 * largest number of connections that were open after a call. */
static unsigned int
call_workers(struct plat_http *http, struct server *servers)
{
	uv_loop_t *loop = uv_default_loop();
	unsigned int most = 0;
	unsigned int i;

	for (i = 0; i < WORKERS; i++) {
		struct outcome outcome = {0};

		plat_http_call(http, GB_TRAFFIC_HEARTBEAT, servers[i].addr,
		    "GET", "/", "", NULL, 0, CALL_TIMEOUT, on_done, &outcome);
		while (!outcome.done)
			uv_run(loop, UV_RUN_ONCE);
		assert_int_equal(outcome.status, 200);
		if (plat_http_worker_conns(http) > most)
			most = plat_http_worker_conns(http);
	}
	return most;
}

/** More workers than connections: the connection that has been idle for longest
 * is closed for a new one, and every call is answered.  Without this an owner
 * of many workers runs out of descriptors, and then can't accept callers. */
static void
test_idle_connections_are_closed_at_the_limit(void **state)
{
	static struct server servers[WORKERS];
	struct plat_http *http = plat_http_new(uv_default_loop(), NULL);
	unsigned int i;

	(void)state;
	for (i = 0; i < WORKERS; i++) {
		servers[i].answer =
		    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
		server_start(uv_default_loop(), &servers[i]);
	}
	plat_http_limit_workers(http, WORKER_CONNS);
	assert_in_range(call_workers(http, servers), 1, WORKER_CONNS);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_answer_with_length),
	    cmocka_unit_test(test_answer_without_length),
	    cmocka_unit_test(test_truncated_answer),
	    cmocka_unit_test(test_no_answer),
	    cmocka_unit_test(test_malformed_answer),
	    cmocka_unit_test(test_late_process_reads_answer),
	    cmocka_unit_test(test_call_expires),
	    cmocka_unit_test(test_mark_ends_with_its_connection),
	    cmocka_unit_test(test_connections_to_a_worker_are_few),
	    cmocka_unit_test(test_idle_connections_are_closed_at_the_limit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
