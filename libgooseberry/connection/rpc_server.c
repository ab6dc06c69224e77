/**
 * @file rpc_server.c
 * Serves remote procedure calls on a TCP port.
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "conn_set.h"
#include "rpc.h"

TAILQ_HEAD(connection_list, rpc_connection);

/** Seconds without traffic after which TCP keepalive probes the peer: an
 * unreachable peer never closes its connections. */
#define KEEPALIVE_S 30
/** Memory of an answer that waits to be sent, beside its bytes. */
#define ANSWER_EXTRA_BYTES 512
/** Bytes of answers for which a connection's peer may be behind before no
 * further calls are read from it. */
#define UNSENT_MAX 65536
/** Interval of attempts to accept a connection for which there was no room. */
#define ACCEPT_RETRY_MS 10

struct gb_rpc_server {
	uv_tcp_t tcp;
	uv_timer_t accept_retry; /**< while a connection has to wait */
	struct conn_set conns;	 /**< connections that are open */
	size_t record_max;	 /**< longest record, 0: RPC_RECORD_MAX */
	gb_rpc_limited limited;
	const struct gb_env *env;
	gb_rpc_serve serve;
	void *data;
	struct connection_list connections;
	/** One for the owner, the listener, the timer and each connection. */
	unsigned int refs;
	size_t bytes; /**< received and sent */
	int port;
};

/** Connection of a peer; freed once its socket is closed and the calls received
 * on it are answered. */
struct rpc_connection {
	uv_tcp_t tcp;
	struct conn conn;     /**< while it is open */
	unsigned int answers; /**< that are not sent yet */
	bool paused;	      /**< no calls are read, until they are sent */
	TAILQ_ENTRY(rpc_connection) next;
	struct gb_rpc_server *server;
	struct rpc_reader reader;
	unsigned int refs;
	bool closed;
};

struct gb_rpc_call {
	struct rpc_connection *conn;
	uint32_t xid;
	uint32_t proc;
};

static void
server_unref(struct gb_rpc_server *server)
{
	if (--server->refs == 0)
		free(server);
}

static void
connection_unref(struct rpc_connection *conn)
{
	struct gb_rpc_server *server = conn->server;

	if (--conn->refs > 0)
		return;
	TAILQ_REMOVE(&server->connections, conn, next);
	rpc_reader_free(&conn->reader);
	free(conn);
	server_unref(server);
}

static void
connection_closed(uv_handle_t *handle)
{
	connection_unref((struct rpc_connection *)handle);
}

static void
connection_close(struct rpc_connection *conn)
{
	if (conn->closed)
		return;
	conn->closed = true;
	conn_set_remove(&conn->server->conns, &conn->conn);
	uv_close((uv_handle_t *)&conn->tcp, connection_closed);
}

static struct rpc_connection *
connection_of(struct conn *conn)
{
	return (struct rpc_connection *)((char *)conn -
					 offsetof(struct rpc_connection, conn));
}

/* Limits ------------------------------------------------------------------ */

static void
server_report(struct gb_rpc_server *server)
{
	struct conn_counts counts;

	if (!conn_set_report(&server->conns, gb_clock_boot(), &counts))
		return;
	gb_env_log(server->env, GB_LOG_WARNING, "rpc",
	    "Closed %llu connections for newer ones and %llu for memory.",
	    (unsigned long long)counts.closed_for_new,
	    (unsigned long long)counts.closed_for_bytes);
	if (server->limited != NULL)
		server->limited(server->data, &counts);
}

static size_t
connection_unsent(const struct rpc_connection *conn)
{
	return uv_stream_get_write_queue_size((const uv_stream_t *)&conn->tcp);
}

/** Count what a connection holds: a record that is not complete, and answers
 * that its peer does not read.  Closes connections until that is allowed,
 * perhaps this one. */
static void
connection_hold(struct rpc_connection *conn)
{
	struct gb_rpc_server *server = conn->server;
	struct conn *other;

	if (conn->closed)
		return;
	conn_set_hold(&server->conns, &conn->conn,
	    conn->reader.size + connection_unsent(conn) +
		(size_t)conn->answers * ANSWER_EXTRA_BYTES);
	while ((other = conn_set_close_for_bytes(&server->conns)) != NULL)
		connection_close(connection_of(other));
	if (server->conns.limits.bytes > 0 && conn_set_shrunk(&server->conns))
		gb_memory_trim();
}

static void connection_read(uv_stream_t *, ssize_t, const uv_buf_t *);

/** Read no calls while too many answers wait to be sent. */
static void
connection_pace(struct rpc_connection *conn)
{
	bool paused = connection_unsent(conn) > UNSENT_MAX;

	if (conn->closed || paused == conn->paused)
		return;
	conn->paused = paused;
	if (paused)
		uv_read_stop((uv_stream_t *)&conn->tcp);
	else
		uv_read_start((uv_stream_t *)&conn->tcp, rpc_stream_alloc,
		    connection_read);
}

static void
answer_written(uv_stream_t *stream)
{
	struct rpc_connection *conn = (struct rpc_connection *)stream;

	conn->answers--;
	connection_hold(conn);
	connection_pace(conn);
}

/** XDR coder of an empty result. */
static bool_t
empty_code(XDR *xdrs, ...)
{
	(void)xdrs;
	return TRUE;
}

/** Send the reply to a call of a procedure; code is the coder of the result. */
static void
reply_send(struct rpc_connection *conn, uint32_t xid, uint32_t proc,
    enum accept_stat stat, xdrproc_t code, void *res)
{
	size_t before = conn->server->bytes;
	struct rpc_msg msg;

	if (conn->closed)
		return;
	memset(&msg, 0, sizeof(msg));
	msg.rm_xid = xid;
	msg.rm_direction = REPLY;
	msg.rm_reply.rp_stat = MSG_ACCEPTED;
	msg.acpted_rply.ar_verf = _null_auth;
	msg.acpted_rply.ar_stat = stat;
	msg.acpted_rply.ar_results.where = res;
	msg.acpted_rply.ar_results.proc = code;
	if (rpc_stream_write((uv_stream_t *)&conn->tcp, &msg, NULL, NULL,
		&conn->server->bytes, answer_written))
		conn->answers++;
	else
		connection_close(conn);
	connection_hold(conn);
	gb_link_count_sent(gb_env_link(conn->server->env), gb_clock_boot(),
	    GB_TRAFFIC_RPC + proc, conn->server->bytes - before);
}

/** Decode the argument of a call and pass it to the server's function. */
static void
call_serve(struct rpc_connection *conn, uint32_t xid, uint32_t proc, XDR *xdrs)
{
	const struct gb_rpc_method *method = &gb_rpc_methods[proc];
	struct gb_rpc_call *call;
	void *arg = gb_calloc(1, method->arg_size);

	if (!method->arg(xdrs, arg)) {
		gb_env_log(conn->server->env, GB_LOG_WARNING, "rpc",
		    "Refused a malformed %s call.", method->name);
		xdr_free(method->arg, arg);
		free(arg);
		reply_send(conn, xid, proc, GARBAGE_ARGS, empty_code, NULL);
		return;
	}
	call = gb_calloc(1, sizeof(*call));
	call->conn = conn;
	call->xid = xid;
	call->proc = proc;
	conn->refs++;
	conn->server->serve(conn->server->data, call, proc, arg);
	xdr_free(method->arg, arg);
	free(arg);
}

/** Handle one record; false ends the connection. */
static bool
connection_record(void *data, char *record, size_t len)
{
	struct rpc_connection *conn = data;
	char cred[MAX_AUTH_BYTES];
	char verf[MAX_AUTH_BYTES];
	struct rpc_msg msg;
	XDR xdrs;

	conn_set_end(&conn->server->conns, &conn->conn, gb_clock_boot());
	memset(&msg, 0, sizeof(msg));
	msg.rm_call.cb_cred.oa_base = cred;
	msg.rm_call.cb_verf.oa_base = verf;
	xdrmem_create(&xdrs, record, (u_int)len, XDR_DECODE);
	if (!xdr_callmsg(&xdrs, &msg)) {
		gb_env_log(conn->server->env, GB_LOG_WARNING, "rpc",
		    "Closed a connection after a malformed record.");
		return false;
	}
	if (msg.rm_call.cb_prog != RPC_PROGRAM ||
	    msg.rm_call.cb_vers != RPC_PROGRAM_VERSION) {
		reply_send(conn, msg.rm_xid, 0, PROG_UNAVAIL, empty_code, NULL);
	} else if (msg.rm_call.cb_proc == 0 ||
		   msg.rm_call.cb_proc >= GB_PROCS) {
		reply_send(conn, msg.rm_xid, 0, PROC_UNAVAIL, empty_code, NULL);
	} else {
		gb_link_count_received(gb_env_link(conn->server->env),
		    gb_clock_boot(),
		    GB_TRAFFIC_RPC + (unsigned int)msg.rm_call.cb_proc,
		    len + RPC_MARK_LEN);
		call_serve(
		    conn, msg.rm_xid, (uint32_t)msg.rm_call.cb_proc, &xdrs);
	}
	xdr_destroy(&xdrs);
	return !conn->closed;
}

static void
connection_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct rpc_connection *conn = (struct rpc_connection *)stream;

	if (n > 0) {
		conn->server->bytes += (size_t)n;
		conn->refs++;
		if (!rpc_reader_feed(&conn->reader, buf->base, (size_t)n,
			connection_record, conn))
			connection_close(conn);
		connection_hold(conn);
		connection_pace(conn);
		server_report(conn->server);
		connection_unref(conn);
	} else if (n < 0) {
		connection_close(conn);
	}
	free(buf->base);
}

static void
server_take(struct gb_rpc_server *server)
{
	struct rpc_connection *conn = gb_calloc(1, sizeof(*conn));

	conn->server = server;
	conn->refs = 1;
	conn->reader.record_max = server->record_max;
	server->refs++;
	TAILQ_INSERT_TAIL(&server->connections, conn, next);
	conn_set_add(&server->conns, &conn->conn, gb_clock_boot());
	uv_tcp_init(server->tcp.loop, &conn->tcp);
	if (uv_accept((uv_stream_t *)&server->tcp, (uv_stream_t *)&conn->tcp) !=
	    0) {
		connection_close(conn);
		return;
	}
	uv_tcp_nodelay(&conn->tcp, 1);
	uv_tcp_keepalive(&conn->tcp, 1, KEEPALIVE_S);
	uv_read_start(
	    (uv_stream_t *)&conn->tcp, rpc_stream_alloc, connection_read);
}

/** Close connections until there is room for another one; false if there is
 * none yet. */
static bool
server_make_room(struct gb_rpc_server *server)
{
	struct conn *conn;

	while (!conn_set_has_room(&server->conns)) {
		conn = conn_set_close_for_new(&server->conns, gb_clock_boot());
		if (conn == NULL)
			return false;
		connection_close(connection_of(conn));
	}
	return true;
}

static void
on_accept_retry(uv_timer_t *timer)
{
	struct gb_rpc_server *server = timer->data;

	server_report(server);
	if (!server_make_room(server))
		return;
	uv_timer_stop(timer);
	server_take(server);
}

static void
server_accept(uv_stream_t *stream, int status)
{
	struct gb_rpc_server *server = (struct gb_rpc_server *)stream;

	if (status != 0)
		return;
	if (server_make_room(server))
		server_take(server);
	else
		/* libuv keeps the connection, and accepts no other one until it
		 * is taken. */
		uv_timer_start(&server->accept_retry, on_accept_retry,
		    ACCEPT_RETRY_MS, ACCEPT_RETRY_MS);
}

struct gb_rpc_server *
gb_rpc_server_new(struct uv_loop_s *loop, const struct gb_env *env,
    const char *addr, gb_rpc_serve serve, void *data, struct gb_error *err)
{
	struct gb_rpc_server *server;
	struct sockaddr_in sin;
	int len = sizeof(sin);

	if (!rpc_addr_parse(addr, &sin)) {
		gb_error_set(err, GB_E_INVALID, "%s: not an IP:port", addr);
		return NULL;
	}
	server = gb_calloc(1, sizeof(*server));
	server->refs = 3;
	TAILQ_INIT(&server->connections);
	conn_set_init(&server->conns);
	server->env = env;
	server->serve = serve;
	server->data = data;
	uv_tcp_init(loop, &server->tcp);
	if (uv_tcp_bind(&server->tcp, (struct sockaddr *)&sin, 0) != 0 ||
	    uv_listen((uv_stream_t *)&server->tcp, RPC_CONNECTION_BACKLOG,
		server_accept) != 0) {
		gb_error_set(err, GB_E_IO, "%s: cannot listen", addr);
		uv_close((uv_handle_t *)&server->tcp, (uv_close_cb)free);
		return NULL;
	}
	uv_tcp_getsockname(&server->tcp, (struct sockaddr *)&sin, &len);
	server->port = ntohs(sin.sin_port);
	uv_timer_init(loop, &server->accept_retry);
	server->accept_retry.data = server;
	return server;
}

void
gb_rpc_server_set_limits(struct gb_rpc_server *server,
    const struct conn_limits *limits, size_t record_max, gb_rpc_limited limited)
{
	server->conns.limits = *limits;
	server->record_max = record_max;
	server->limited = limited;
}

const struct conn_counts *
gb_rpc_server_counts(const struct gb_rpc_server *server)
{
	return &server->conns.counts;
}

int
gb_rpc_server_port(const struct gb_rpc_server *server)
{
	return server->port;
}

static void
server_closed(uv_handle_t *handle)
{
	server_unref((struct gb_rpc_server *)handle);
}

static void
retry_closed(uv_handle_t *handle)
{
	server_unref(handle->data);
}

void
gb_rpc_server_close(struct gb_rpc_server *server)
{
	if (uv_is_closing((uv_handle_t *)&server->tcp))
		return;
	uv_close((uv_handle_t *)&server->tcp, server_closed);
	uv_close((uv_handle_t *)&server->accept_retry, retry_closed);
}

void
gb_rpc_server_free(struct gb_rpc_server *server)
{
	struct rpc_connection *conn;

	gb_rpc_server_close(server);
	TAILQ_FOREACH(conn, &server->connections, next)
	{
		connection_close(conn);
	}
	server_unref(server);
}

size_t
gb_rpc_server_bytes(const struct gb_rpc_server *server)
{
	return server->bytes;
}

void
gb_rpc_call_reply(struct gb_rpc_call *call, void *res)
{
	reply_send(call->conn, call->xid, call->proc, SUCCESS,
	    gb_rpc_methods[call->proc].res, res);
	connection_unref(call->conn);
	free(call);
}

void
gb_rpc_call_refuse(struct gb_rpc_call *call)
{
	reply_send(
	    call->conn, call->xid, call->proc, PROC_UNAVAIL, empty_code, NULL);
	connection_unref(call->conn);
	free(call);
}
