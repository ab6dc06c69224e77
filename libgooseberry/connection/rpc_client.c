/**
 * @file rpc_client.c
 * Calls procedures of one peer over one connection, which is opened when it is
 * needed.  Answers are matched to calls by id; late ones are dropped.
 *
 * A connection may become silent without a reset while a new one would work.
 * When a call times out and nothing was received since it was written, the
 * connection is retired: it takes no new calls, but stays open for the calls
 * in flight, since the peer may only be slow.
 */
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include <uthash.h>

#include "rpc.h"

/** Interval at which expired calls are ended. */
#define TIMEOUT_SCAN_MS 10
/** Age at which a connection that never received anything is retired.  It is
 * doubled for each such connection in a row, so that a paused or unreachable
 * peer is not flooded with connections. */
#define SILENT_CONN_MIN_AGE GB_SEC
#define SILENT_CONN_DOUBLINGS_MAX 3

struct rpc_client_conn;

/** One call in flight, or waiting for the connection. */
struct rpc_pending {
	UT_hash_handle hh;
	uint32_t xid;
	uint32_t proc;
	struct rpc_client_conn *conn; /**< that it was written to, or null */
	gb_time written;	      /**< time at which it was written */
	gb_time deadline;
	gb_rpc_done done;
	void *data;
	gb_body arg; /**< encoded argument, until it is written */
};

/** Connection to the peer; outlives the client while libuv closes it. */
struct rpc_client_conn {
	uv_tcp_t tcp;
	uv_connect_t connect;
	LIST_ENTRY(rpc_client_conn) next;
	struct gb_rpc_client *client; /**< null when closed */
	struct rpc_reader reader;
	bool connected;
	gb_time created;
	gb_time last_heard; /**< time of the last bytes received, 0: none */
};

LIST_HEAD(rpc_client_conns, rpc_client_conn);

struct gb_rpc_client {
	uv_timer_t timer;
	uv_loop_t *loop;
	const struct gb_env *env;
	struct rpc_client_conn *conn;	 /**< takes new calls, or null */
	struct rpc_client_conns retired; /**< take none, have calls in flight */
	/** Connections in a row that never received anything. */
	unsigned int silent_conns;
	struct rpc_pending *pending;
	char addr[GB_NAME_MAX + 1];
	uint32_t next_xid;
	/** A call whose answer has begun to arrive expires after a pause of
	 * this, 0: at its deadline. */
	gb_time stall;
	size_t bytes; /**< received and sent */
	bool freed;
};

static void
conn_closed(uv_handle_t *handle)
{
	struct rpc_client_conn *conn = (struct rpc_client_conn *)handle;

	rpc_reader_free(&conn->reader);
	free(conn);
}

static void
pending_finish(struct gb_rpc_client *client, struct rpc_pending *call,
    gb_verdict verdict, void *res)
{
	HASH_DEL(client->pending, call);
	free(call->arg.gb_body_val);
	call->done(call->data, verdict, res);
	free(call);
}

/** First call written to a connection (null: not written yet) with an id up to
 * a limit. */
static struct rpc_pending *
conn_first_call(const struct gb_rpc_client *client,
    const struct rpc_client_conn *conn, uint32_t limit)
{
	struct rpc_pending *call;

	for (call = client->pending; call != NULL; call = call->hh.next) {
		if (call->xid <= limit && call->conn == conn)
			return call;
	}
	return NULL;
}

/** Close a connection and end its calls, which may have run.  When it is the
 * one that takes new calls, those not written yet end as not run. */
static void
conn_close(struct rpc_client_conn *conn)
{
	struct gb_rpc_client *client = conn->client;
	bool current = client->conn == conn;
	struct rpc_pending *call;
	uint32_t limit = client->next_xid;

	if (current)
		client->conn = NULL;
	else
		LIST_REMOVE(conn, next);
	conn->client = NULL;
	uv_close((uv_handle_t *)&conn->tcp, conn_closed);
	/* Callbacks may add calls; these have greater ids and are kept. */
	while ((call = conn_first_call(client, conn, limit)) != NULL)
		pending_finish(client, call, GB_MAYBE_RUN, NULL);
	while (current && (call = conn_first_call(client, NULL, limit)) != NULL)
		pending_finish(client, call, GB_NOT_RUN, NULL);
}

/** Handle one answer; false ends the connection. */
static bool
conn_record(void *data, char *record, size_t len)
{
	struct rpc_client_conn *conn = data;
	struct gb_rpc_client *client = conn->client;
	const struct gb_rpc_method *method;
	struct rpc_pending *call;
	char verf[MAX_AUTH_BYTES];
	struct rpc_msg msg;
	uint32_t xid;
	void *res;
	XDR xdrs;
	bool ok;

	xdrmem_create(&xdrs, record, (u_int)len, XDR_DECODE);
	if (!xdr_uint32_t(&xdrs, &xid))
		return false;
	HASH_FIND(hh, client->pending, &xid, sizeof(xid), call);
	if (call == NULL)
		return true;
	gb_link_count_received(gb_env_link(client->env), gb_clock_boot(),
	    GB_TRAFFIC_RPC + call->proc, len + RPC_MARK_LEN);
	method = &gb_rpc_methods[call->proc];
	res = gb_calloc(1, method->res_size);
	memset(&msg, 0, sizeof(msg));
	msg.acpted_rply.ar_verf.oa_base = verf;
	msg.acpted_rply.ar_results.where = res;
	msg.acpted_rply.ar_results.proc = method->res;
	xdr_setpos(&xdrs, 0);
	ok = xdr_replymsg(&xdrs, &msg) && msg.rm_reply.rp_stat == MSG_ACCEPTED;
	if (ok && msg.acpted_rply.ar_stat == SUCCESS)
		pending_finish(client, call, GB_RUN, res);
	else
		pending_finish(
		    client, call, ok ? GB_NOT_RUN : GB_MAYBE_RUN, NULL);
	xdr_free(method->res, res);
	free(res);
	xdr_destroy(&xdrs);
	return ok && conn->client != NULL;
}

static void
conn_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct rpc_client_conn *conn = (struct rpc_client_conn *)stream;
	bool ok = n >= 0;

	if (conn->client != NULL && n > 0) {
		conn->client->bytes += (size_t)n;
		conn->client->silent_conns = 0;
		conn->last_heard = gb_clock_boot();
		ok = rpc_reader_feed(
		    &conn->reader, buf->base, (size_t)n, conn_record, conn);
	}
	if (!ok && conn->client != NULL)
		conn_close(conn);
	free(buf->base);
}

/** XDR coder for an argument that is encoded already. */
static bool_t
raw_code(XDR *xdrs, gb_body *body)
{
	return xdr_opaque(xdrs, body->gb_body_val, body->gb_body_len);
}

static void
call_write(struct gb_rpc_client *client, struct rpc_pending *call)
{
	static const struct opaque_auth none = {0, NULL, 0};
	size_t before = client->bytes;
	struct rpc_msg msg;

	memset(&msg, 0, sizeof(msg));
	msg.rm_xid = call->xid;
	msg.rm_direction = CALL;
	msg.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	msg.rm_call.cb_prog = RPC_PROGRAM;
	msg.rm_call.cb_vers = RPC_PROGRAM_VERSION;
	msg.rm_call.cb_proc = call->proc;
	msg.rm_call.cb_cred = none;
	msg.rm_call.cb_verf = none;
	call->conn = client->conn;
	call->written = gb_clock_boot();
	rpc_stream_write((uv_stream_t *)&client->conn->tcp, &msg,
	    (xdrproc_t)raw_code, &call->arg, &client->bytes, NULL);
	gb_link_count_sent(gb_env_link(client->env), call->written,
	    GB_TRAFFIC_RPC + call->proc, client->bytes - before);
	free(call->arg.gb_body_val);
	call->arg.gb_body_val = NULL;
}

static void
conn_connected(uv_connect_t *req, int status)
{
	struct rpc_client_conn *conn = req->data;
	struct gb_rpc_client *client = conn->client;
	struct rpc_pending *call;

	if (client == NULL)
		return;
	if (status != 0) {
		conn_close(conn);
		return;
	}
	conn->connected = true;
	uv_tcp_nodelay(&conn->tcp, 1);
	uv_read_start((uv_stream_t *)&conn->tcp, rpc_stream_alloc, conn_read);
	for (call = client->pending; call != NULL; call = call->hh.next) {
		if (call->conn == NULL)
			call_write(client, call);
	}
}

static void
client_connect(struct gb_rpc_client *client)
{
	struct rpc_client_conn *conn = gb_calloc(1, sizeof(*conn));
	struct sockaddr_in sin;

	conn->client = client;
	conn->created = gb_clock_boot();
	client->conn = conn;
	uv_tcp_init(client->loop, &conn->tcp);
	conn->connect.data = conn;
	if (!rpc_addr_parse(client->addr, &sin) ||
	    uv_tcp_connect(&conn->connect, &conn->tcp, (struct sockaddr *)&sin,
		conn_connected) != 0)
		conn_close(conn);
}

/** When a call expires. */
static gb_time
call_expires_at(
    const struct gb_rpc_client *client, const struct rpc_pending *call)
{
	const struct rpc_client_conn *conn = call->conn;

	if (client->stall == 0 || conn == NULL ||
	    conn->last_heard < call->written ||
	    conn->last_heard + client->stall < call->deadline)
		return call->deadline;
	return conn->last_heard + client->stall;
}

/** First call whose deadline has passed.  Calls are in the order in which they
 * were made, not in that of their deadlines. */
static struct rpc_pending *
client_expired(struct gb_rpc_client *client, gb_time now)
{
	struct rpc_pending *call;

	for (call = client->pending; call != NULL; call = call->hh.next) {
		if (call_expires_at(client, call) <= now)
			return call;
	}
	return NULL;
}

/** Whether nothing was received on a connection since an expired call was
 * written to it.  One that never received anything must also have its minimum
 * age. */
static bool
conn_silent(const struct rpc_client_conn *conn, const struct rpc_pending *call)
{
	unsigned int doublings = conn->client->silent_conns;

	if (conn->last_heard != 0)
		return conn->last_heard < call->written;
	if (doublings > SILENT_CONN_DOUBLINGS_MAX)
		doublings = SILENT_CONN_DOUBLINGS_MAX;
	return gb_clock_boot() - conn->created >= SILENT_CONN_MIN_AGE
						      << doublings;
}

/** Retire the connection of an expired call if it is silent. */
static void
client_retire(struct gb_rpc_client *client, const struct rpc_pending *call)
{
	struct rpc_client_conn *conn = call->conn;

	if (conn == NULL || conn != client->conn || !conn_silent(conn, call))
		return;
	if (conn->last_heard == 0)
		client->silent_conns++;
	client->conn = NULL;
	LIST_INSERT_HEAD(&client->retired, conn, next);
}

/** Close the retired connections whose calls have all ended. */
static void
client_close_retired(struct gb_rpc_client *client)
{
	struct rpc_client_conn *conn;
	struct rpc_client_conn *next;

	for (conn = LIST_FIRST(&client->retired); conn != NULL; conn = next) {
		next = LIST_NEXT(conn, next);
		if (conn_first_call(client, conn, client->next_xid) == NULL)
			conn_close(conn);
	}
}

/** End the expired calls, and close the connections that serve no call. */
static void
client_scan(uv_timer_t *timer)
{
	struct gb_rpc_client *client = timer->data;
	struct rpc_pending *call;
	gb_time now = gb_clock_boot();
	bool unsent = false;

	/* A callback may end other calls, so restart the search after each. */
	while ((call = client_expired(client, now)) != NULL) {
		unsent = unsent || call->conn == NULL;
		client_retire(client, call);
		pending_finish(client, call,
		    call->conn != NULL ? GB_MAYBE_RUN : GB_NOT_RUN, NULL);
	}
	if (unsent && client->conn != NULL && !client->conn->connected)
		conn_close(client->conn);
	client_close_retired(client);
	if (client->pending == NULL)
		uv_timer_stop(timer);
}

struct gb_rpc_client *
gb_rpc_client_new(
    struct uv_loop_s *loop, const struct gb_env *env, const char *addr)
{
	struct gb_rpc_client *client = gb_calloc(1, sizeof(*client));

	client->loop = loop;
	client->env = env;
	snprintf(client->addr, sizeof(client->addr), "%s", addr);
	LIST_INIT(&client->retired);
	uv_timer_init(loop, &client->timer);
	client->timer.data = client;
	return client;
}

void
gb_rpc_client_set_stall(struct gb_rpc_client *client, gb_time stall)
{
	client->stall = stall;
}

static void
client_closed(uv_handle_t *handle)
{
	free(handle->data);
}

void
gb_rpc_client_free(struct gb_rpc_client *client)
{
	if (client == NULL || client->freed)
		return;
	client->freed = true;
	if (client->conn != NULL)
		conn_close(client->conn);
	while (!LIST_EMPTY(&client->retired))
		conn_close(LIST_FIRST(&client->retired));
	uv_close((uv_handle_t *)&client->timer, client_closed);
}

void
gb_rpc_client_call(struct gb_rpc_client *client, uint32_t proc, void *arg,
    gb_time timeout, gb_rpc_done done, void *data)
{
	struct rpc_pending *call = gb_calloc(1, sizeof(*call));

	call->xid = ++client->next_xid;
	call->proc = proc;
	call->done = done;
	call->data = data;
	call->deadline = gb_clock_boot() + timeout;
	HASH_ADD(hh, client->pending, xid, sizeof(call->xid), call);
	if (client->freed ||
	    !gb_xdr_encode(gb_rpc_methods[proc].arg, arg, &call->arg)) {
		pending_finish(client, call, GB_NOT_RUN, NULL);
		return;
	}
	if (!uv_is_active((uv_handle_t *)&client->timer))
		uv_timer_start(&client->timer, client_scan, TIMEOUT_SCAN_MS,
		    TIMEOUT_SCAN_MS);
	if (client->conn == NULL)
		client_connect(client);
	else if (client->conn->connected)
		call_write(client, call);
}

size_t
gb_rpc_client_bytes(const struct gb_rpc_client *client)
{
	return client->bytes;
}
