/**
 * @file test_rpc.c
 * Guards against calls that end with a wrong verdict: after an answer that is
 * late or lost, a peer that is not there, a connection that goes silent without
 * a reset, or malformed records.  Also checks that a large body arrives whole.
 */
#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <uv.h>

#include "gooseberry.h"
#include "relay.h"

/** Size of a body that comes in many reads, in bytes. */
#define LARGE_BODY_SIZE (3 * 1024 * 1024)
/** Bandwidth of a slow link in bytes per second; a body of that size takes a
 * second. */
#define SLOW_LINK 200000
/** Timeout of calls over it. */
#define SLOW_TIMEOUT (200 * GB_MSEC)
/** Bit of a record's first word, next to its length: the last fragment. */
#define RECORD_LAST_FRAGMENT 0x80000000u

static const struct gb_env env = {NULL, NULL, NULL, NULL};

/** What the server does with an exec: answer with its body, or never. */
enum serve_mode { SERVE_ECHO, SERVE_NEVER };

struct fixture {
	uv_loop_t loop;
	struct gb_rpc_server *server;
	struct gb_rpc_client *client;
	struct relay *relay; /**< null: the client calls the server directly */
	enum serve_mode mode;
	unsigned int served;		   /**< calls that arrived */
	struct gb_rpc_call *unanswered[8]; /**< calls that SERVE_NEVER kept */
	unsigned int ended;		   /**< calls that ended */
	gb_verdict verdict;		   /**< of the last call that ended */
	size_t body_len;
	bool body_same; /**< the answer has the body that was sent */
	char addr[64];
};

static void
serve(void *data, struct gb_rpc_call *call, uint32_t proc, void *arg)
{
	struct fixture *f = data;
	const gb_exec *exec = arg;
	gb_exec_res res = {.verdict = GB_RUN, .status = 200};

	f->served++;
	if (proc != GB_PROC_EXEC) {
		gb_rpc_call_refuse(call);
		return;
	}
	if (f->mode == SERVE_NEVER) {
		f->unanswered[f->served - 1] = call;
		return;
	}
	res.body = exec->body;
	gb_rpc_call_reply(call, &res);
}

static int
setup(void **state)
{
	struct fixture *f = gb_calloc(1, sizeof(*f));
	struct gb_error err = {0};

	uv_loop_init(&f->loop);
	f->server =
	    gb_rpc_server_new(&f->loop, &env, "127.0.0.1:0", serve, f, &err);
	snprintf(f->addr, sizeof(f->addr), "127.0.0.1:%d",
	    gb_rpc_server_port(f->server));
	f->client = gb_rpc_client_new(&f->loop, &env, f->addr);
	*state = f;
	return f->server == NULL;
}

static void
exec_done(void *data, gb_verdict verdict, void *res)
{
	struct fixture *f = data;
	const gb_exec_res *answer = res;
	u_int i;

	f->ended++;
	f->verdict = verdict;
	f->body_same = answer != NULL;
	f->body_len = answer == NULL ? 0 : answer->body.gb_body_len;
	for (i = 0; i < f->body_len; i++) {
		if (answer->body.gb_body_val[i] != (char)(i * 7))
			f->body_same = false;
	}
}

/** Call the server with a body of len bytes. */
static void
exec_call(struct fixture *f, size_t len, gb_time timeout)
{
	gb_exec exec = {.team = "t", .service = "s", .key = "", .trace = ""};
	size_t i;

	exec.body.gb_body_len = (u_int)len;
	exec.body.gb_body_val = gb_calloc(1, len);
	for (i = 0; i < len; i++)
		exec.body.gb_body_val[i] = (char)(i * 7);
	gb_rpc_client_call(
	    f->client, GB_PROC_EXEC, &exec, timeout, exec_done, f);
	free(exec.body.gb_body_val);
}

/** Run the loop until so many calls have ended since the setup. */
static void
run_until(struct fixture *f, unsigned int ended)
{
	while (f->ended < ended)
		uv_run(&f->loop, UV_RUN_ONCE);
}

/** A large body comes back complete. */
static void
test_large_body_whole(void **state)
{
	struct fixture *f = *state;

	exec_call(f, LARGE_BODY_SIZE, 20 * GB_SEC);
	run_until(f, 1);
	assert_int_equal(f->verdict, GB_RUN);
	assert_int_equal(f->body_len, LARGE_BODY_SIZE);
	assert_true(f->body_same);
}

/** Calls the server with a large body over a link that carries the answer in
 * five times the timeout of the call. */
static void
slow_link_call(struct fixture *f, gb_time stall)
{
	char addr[64];

	snprintf(addr, sizeof(addr), "127.0.0.2%s", strchr(f->addr, ':'));
	f->relay = relay_new(&f->loop, addr, f->addr, SLOW_LINK);
	gb_rpc_client_free(f->client);
	f->client = gb_rpc_client_new(&f->loop, &env, addr);
	gb_rpc_client_set_stall(f->client, stall);
	exec_call(f, SLOW_LINK, SLOW_TIMEOUT);
}

/** An answer takes longer than the timeout of its call, as a configuration on a
 * thin link.  It is received if its call may go on while bytes arrive. */
static void
test_answer_that_keeps_arriving_is_received(void **state)
{
	struct fixture *f = *state;

	slow_link_call(f, SLOW_TIMEOUT);
	run_until(f, 1);
	assert_int_equal(f->verdict, GB_RUN);
	assert_int_equal(f->body_len, SLOW_LINK);
}

/** The same with a call that ends at its deadline, as most do. */
static void
test_answer_is_cut_at_the_deadline(void **state)
{
	struct fixture *f = *state;

	slow_link_call(f, 0);
	run_until(f, 1);
	assert_int_equal(f->verdict, GB_MAYBE_RUN);
}

/** No more bytes come within an answer.  Its call ends after the longest pause
 * that is allowed. */
static void
test_answer_that_stops_is_given_up(void **state)
{
	struct fixture *f = *state;
	gb_time until = gb_clock_boot() + 2 * SLOW_TIMEOUT;

	slow_link_call(f, SLOW_TIMEOUT);
	while (gb_clock_boot() < until)
		uv_run(&f->loop, UV_RUN_ONCE);
	assert_int_equal(f->ended, 0);
	relay_stop(f->relay);
	run_until(f, 1);
	assert_int_equal(f->verdict, GB_MAYBE_RUN);
	assert_in_range(gb_clock_boot() - until, SLOW_TIMEOUT / 2, GB_SEC);
}

/** A call that was sent and not answered may have run. */
static void
test_no_answer_may_have_run(void **state)
{
	struct fixture *f = *state;

	f->mode = SERVE_NEVER;
	exec_call(f, 8, 200 * GB_MSEC);
	run_until(f, 1);
	assert_int_equal(f->served, 1);
	assert_int_equal(f->verdict, GB_MAYBE_RUN);
}

/** A call to an address where no process listens was not run. */
static void
test_no_peer_not_run(void **state)
{
	struct fixture *f = *state;
	struct gb_rpc_client *no_peer =
	    gb_rpc_client_new(&f->loop, &env, "127.0.0.1:1");
	gb_exec exec = {.team = "t", .service = "s", .key = "", .trace = ""};

	gb_rpc_client_call(no_peer, GB_PROC_EXEC, &exec, GB_SEC, exec_done, f);
	run_until(f, 1);
	assert_int_equal(f->verdict, GB_NOT_RUN);
	gb_rpc_client_free(no_peer);
}

/** A call of a procedure that the server doesn't offer was not run. */
static void
test_unknown_procedure_not_run(void **state)
{
	struct fixture *f = *state;
	gb_scan scan = {.prefix = "", .after = ""};

	gb_rpc_client_call(
	    f->client, GB_PROC_SCAN, &scan, GB_SEC, exec_done, f);
	run_until(f, 1);
	assert_int_equal(f->verdict, GB_NOT_RUN);
}

/** Send bytes to the server over a new connection, and let it read them. */
static void
raw_bytes_send(struct fixture *f, const void *data, size_t len)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int i;

	sin.sin_port = htons((uint16_t)gb_rpc_server_port(f->server));
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	assert_int_equal(send(fd, data, len, MSG_NOSIGNAL), (ssize_t)len);
	for (i = 0; i < 20; i++)
		uv_run(&f->loop, UV_RUN_NOWAIT);
	close(fd);
	for (i = 0; i < 20; i++)
		uv_run(&f->loop, UV_RUN_NOWAIT);
}

/** A malformed record ends its connection; the server still serves others. */
static void
test_malformed_records(void **state)
{
	struct fixture *f = *state;
	uint64_t seed = 11;
	unsigned char junk[400];
	unsigned int round;
	size_t i;
	/* An RPC call of EXEC whose arguments have a length beyond the record.
	 */
	const uint32_t bad_length[] = {htonl(RECORD_LAST_FRAGMENT | 52),
	    htonl(9), 0, htonl(2), htonl(0x20676261u), htonl(1),
	    htonl(GB_PROC_EXEC), 0, 0, 0, 0, htonl(0xffffffffu),
	    htonl(0xffffffffu), htonl(0xffffffffu)};
	const uint32_t huge_record = htonl(0x7fffffffu);

	raw_bytes_send(f, "GET / HTTP/1.1\r\n\r\n", 18);
	raw_bytes_send(f, &huge_record, sizeof(huge_record));
	raw_bytes_send(f, bad_length, sizeof(bad_length));
	for (round = 0; round < 200; round++) {
		for (i = 0; i < sizeof(junk); i++)
			junk[i] = (unsigned char)gb_random_next(&seed);
		/* A valid record mark, for 384 bytes, so that the server reads
		 * the record. */
		junk[0] = 0x80;
		junk[1] = 0;
		junk[2] = 1;
		junk[3] = 0x80;
		if (round % 2 == 0)
			memcpy(junk + 4, bad_length + 1, 40);
		raw_bytes_send(f, junk, sizeof(junk));
	}
	exec_call(f, 100, GB_SEC);
	run_until(f, 1);
	assert_int_equal(f->verdict, GB_RUN);
	assert_true(f->body_same);
}

/** Freeing a client ends its calls in flight, which may have run. */
static void
test_client_freed_with_calls(void **state)
{
	struct fixture *f = *state;

	f->mode = SERVE_NEVER;
	exec_call(f, 8, 5 * GB_SEC);
	exec_call(f, 8, 5 * GB_SEC);
	while (f->served < 2)
		uv_run(&f->loop, UV_RUN_ONCE);
	gb_rpc_client_free(f->client);
	f->client = NULL;
	assert_int_equal(f->ended, 2);
	assert_int_equal(f->verdict, GB_MAYBE_RUN);
}

/** Socket that listens on loopback without an RPC server; stores its address.
 */
static int
silent_listen(char *addr, size_t size)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	int on = 1;

	/* A server binds the port while the silent connection is open. */
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	assert_int_equal(listen(fd, 64), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&sin, &len), 0);
	snprintf(addr, size, "127.0.0.1:%d", ntohs(sin.sin_port));
	return fd;
}

/** Accept a connection, refuse the first call on it, and read nothing more;
 * returns its descriptor. */
static int
silent_refuse_once(struct fixture *f, int listener)
{
	uint32_t record[64];
	uint32_t reply[] = {htonl(RECORD_LAST_FRAGMENT | 24), 0, htonl(REPLY),
	    htonl(MSG_ACCEPTED), htonl(AUTH_NONE), 0, htonl(PROC_UNAVAIL)};
	ssize_t len = -1;
	int fd = -1;

	while (fd < 0) {
		uv_run(&f->loop, UV_RUN_ONCE);
		fd = accept(listener, NULL, NULL);
	}
	while (len < (ssize_t)sizeof(uint32_t) * 2) {
		uv_run(&f->loop, UV_RUN_ONCE);
		len = recv(fd, record, sizeof(record), MSG_DONTWAIT);
	}
	reply[1] = record[1];
	assert_int_equal(
	    send(fd, reply, sizeof(reply), MSG_NOSIGNAL), sizeof(reply));
	return fd;
}

/** A connection that goes silent after an answer is replaced when a call on it
 * times out; the next call goes over a new connection. */
static void
test_silent_connection_is_replaced(void **state)
{
	struct fixture *f = *state;
	struct gb_error err = {0};
	int listener;
	int silent;

	gb_rpc_client_free(f->client);
	gb_rpc_server_free(f->server);
	listener = silent_listen(f->addr, sizeof(f->addr));
	f->client = gb_rpc_client_new(&f->loop, &env, f->addr);
	exec_call(f, 8, GB_SEC);
	silent = silent_refuse_once(f, listener);
	run_until(f, 1);
	assert_int_equal(f->verdict, GB_NOT_RUN);
	close(listener);
	f->server = gb_rpc_server_new(&f->loop, &env, f->addr, serve, f, &err);
	assert_non_null(f->server);
	exec_call(f, 8, 100 * GB_MSEC);
	run_until(f, 2);
	assert_int_equal(f->verdict, GB_MAYBE_RUN);
	exec_call(f, 8, GB_SEC);
	run_until(f, 3);
	assert_int_equal(f->verdict, GB_RUN);
	close(silent);
}

/** A replaced connection stays open for its calls: a late answer on it is still
 * received. */
static void
test_late_answer_on_replaced_connection(void **state)
{
	struct fixture *f = *state;
	gb_exec_res res = {.verdict = GB_RUN, .status = 200};

	f->mode = SERVE_NEVER;
	exec_call(f, 8, 5 * GB_SEC);
	exec_call(f, 8, 100 * GB_MSEC);
	run_until(f, 1);
	assert_int_equal(f->verdict, GB_MAYBE_RUN);
	f->mode = SERVE_ECHO;
	exec_call(f, 8, GB_SEC);
	run_until(f, 2);
	assert_int_equal(f->verdict, GB_RUN);
	f->verdict = GB_NOT_RUN;
	gb_rpc_call_reply(f->unanswered[0], &res);
	f->unanswered[0] = NULL;
	run_until(f, 3);
	assert_int_equal(f->verdict, GB_RUN);
}

/** A peer that never answers doesn't get a new connection for each call: each
 * silent connection is kept twice as long as the one before, up to a limit. */
static void
test_silent_peer_is_reconnected_with_backoff(void **state)
{
	struct fixture *f = *state;
	char addr[64];
	int listener = silent_listen(addr, sizeof(addr));
	unsigned int connections = 0;
	unsigned int calls;
	int fds[64];

	gb_rpc_client_free(f->client);
	f->client = gb_rpc_client_new(&f->loop, &env, addr);
	for (calls = 1; calls <= 40; calls++) {
		exec_call(f, 8, 50 * GB_MSEC);
		run_until(f, calls);
	}
	while (connections < 64 &&
	       (fds[connections] = accept(listener, NULL, NULL)) >= 0)
		connections++;
	assert_in_range(connections, 2, 3);
	while (connections > 0)
		close(fds[--connections]);
	close(listener);
}

static int
teardown(void **state)
{
	struct fixture *f = *state;
	unsigned int i;

	gb_rpc_client_free(f->client);
	gb_rpc_server_free(f->server);
	for (i = 0; i < 8; i++) {
		if (f->unanswered[i] != NULL)
			gb_rpc_call_refuse(f->unanswered[i]);
	}
	if (f->relay != NULL)
		relay_close(f->relay);
	while (uv_run(&f->loop, UV_RUN_NOWAIT) != 0)
		continue;
	assert_int_equal(uv_loop_close(&f->loop), 0);
	free(f);
	return 0;
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		test_answer_that_keeps_arriving_is_received, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		test_answer_is_cut_at_the_deadline, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		test_answer_that_stops_is_given_up, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		test_large_body_whole, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		test_no_answer_may_have_run, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		test_no_peer_not_run, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		test_unknown_procedure_not_run, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		test_malformed_records, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		test_client_freed_with_calls, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		test_silent_connection_is_replaced, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		test_late_answer_on_replaced_connection, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		test_silent_peer_is_reconnected_with_backoff, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
