/**
 * @file http.c
 * HTTP server over h2o on libuv.
 */
#define H2O_USE_LIBUV 1
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <h2o.h>

#include "http.h"
#include "rpc.h"

/** Connections that may wait to be accepted. */
#define HTTP_BACKLOG 1024
/** Estimated bytes of an answer before its body: status, date, type and
 * length. */
#define HTTP_HEAD_BYTES 170
/** Bytes that a connection's buffer may have beside the body: the head, and
 * room for the next read. */
#define HTTP_BUFFER_EXTRA 16384
/** Factor by which a buffer may be larger than its contents: h2o doubles it. */
#define HTTP_BUFFER_GROWTH 2
/** Receive buffer of a connection: bounds what arrives between two counts of
 * the buffers. */
#define HTTP_RECEIVE_BYTES 8192
/** Share of the connections, as a divisor, that may have a request without an
 * answer.  Further callers are told at once to come back. */
#define HTTP_BUSY_DIVISOR 2
/** Interval of attempts to accept a connection for which there was no room. */
#define HTTP_ACCEPT_RETRY_MS 10
/** Interval in milliseconds at which the buffers are counted. */
#define HTTP_COUNT_INTERVAL_MS 1

struct http_server {
	uv_tcp_t tcp;
	uv_check_t check;	 /**< runs after each poll of the loop */
	uv_timer_t accept_retry; /**< while a connection has to wait */
	struct conn_set conns;
	uint64_t counted_at; /**< time of the loop, in milliseconds */
	http_limited limited;
	void *limited_data;
	h2o_globalconf_t config;
	h2o_context_t ctx;
	h2o_accept_ctx_t accept;
	http_handler handler;
	void *data;
	int port;
	struct gb_link *link;
	unsigned int in_flight;
	bool leaving; /**< connections are closed after their next answer */
	bool closing;
};

/** A connection.  It is freed when libuv has closed its socket. */
struct http_conn {
	struct conn conn;
	uv_tcp_t tcp;
	h2o_socket_t *sock;
	struct http_server *server;
};

struct http_h2o_handler {
	h2o_handler_t super;
	struct http_server *server;
};

/** Clears a call's pointer to its h2o request when that is freed before the
 * answer, because the connection was closed.  It is allocated from the pool of
 * the h2o request, so that it is disposed of together with it. */
struct http_guard {
	struct http_call *call; /**< null once it is answered */
};

static void
guard_dispose(void *data)
{
	struct http_guard *guard = data;

	if (guard->call != NULL)
		guard->call->req = NULL;
}

static char *
pool_string(h2o_mem_pool_t *pool, const char *data, size_t len)
{
	char *s = h2o_mem_alloc_pool(pool, len + 1);

	memcpy(s, data, len);
	s[len] = '\0';
	return s;
}

/* Connections ------------------------------------------------------------- */

static struct http_conn *
conn_of(struct conn *conn)
{
	return (struct http_conn *)((char *)conn -
				    offsetof(struct http_conn, conn));
}

static struct http_conn *
conn_of_req(h2o_req_t *req)
{
	return req->conn->callbacks->get_socket(req->conn)->on_close.data;
}

/** Bytes that the buffer of a connection takes.  It has the request as far as
 * it was received, until it is answered. */
static size_t
conn_buffer_bytes(const struct http_conn *conn)
{
	const h2o_buffer_t *input = conn->sock->input;

	return input == NULL || input->bytes == NULL ? 0 : input->capacity;
}

/** Close a connection that waits for its peer: libuv then reports its end to
 * h2o, which frees it. */
static void
conn_shut_down(struct http_conn *conn)
{
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)&conn->tcp, &fd) == 0)
		shutdown(fd, SHUT_RDWR);
}

/** Whether the buffers may hold more than is allowed, or memory may have to be
 * given back. */
static bool
server_must_count(const struct http_server *server)
{
	size_t each =
	    (server->config.max_request_entity_size + HTTP_BUFFER_EXTRA) *
	    HTTP_BUFFER_GROWTH;
	size_t limit = server->conns.limits.bytes;

	return limit > 0 && (server->conns.count * each > limit ||
				conn_set_may_shrink(&server->conns));
}

static void
conns_count(struct conn_set *set, struct conn_list *list)
{
	struct conn *conn;

	TAILQ_FOREACH(conn, list, next)
	{
		conn_set_hold(set, conn, conn_buffer_bytes(conn_of(conn)));
	}
}

/** Count what the buffers hold, and close connections until it is allowed. */
static void
server_count_bytes(struct http_server *server)
{
	struct conn_set *set = &server->conns;
	struct conn *conn;

	conns_count(set, &set->waiting);
	conns_count(set, &set->busy);
	while ((conn = conn_set_close_for_bytes(set)) != NULL)
		conn_shut_down(conn_of(conn));
	if (conn_set_shrunk(set))
		gb_memory_trim();
}

/** Called after each poll.  h2o reads bodies to their end before it passes them
 * on, so what has arrived of them is seen only in the buffers. */
static void
on_check(uv_check_t *check)
{
	struct http_server *server = check->data;
	uint64_t now = uv_now(check->loop);
	struct conn_counts counts;

	if (server_must_count(server) &&
	    now - server->counted_at >= HTTP_COUNT_INTERVAL_MS) {
		server->counted_at = now;
		server_count_bytes(server);
	}
	if (server->limited != NULL &&
	    conn_set_report(&server->conns, (gb_time)now * GB_MSEC, &counts))
		server->limited(server->limited_data, &counts);
}

/* Requests ---------------------------------------------------------------- */

/** Whether the server can't take another request. */
static bool
server_is_full(const struct http_server *server)
{
	const struct conn_set *set = &server->conns;

	return conn_set_is_full(set) ||
	       (set->limits.connections > 0 &&
		   server->in_flight >=
		       set->limits.connections / HTTP_BUSY_DIVISOR);
}

static int
on_req(h2o_handler_t *self, h2o_req_t *req)
{
	struct http_server *server = ((struct http_h2o_handler *)self)->server;
	struct http_conn *conn = conn_of_req(req);
	struct http_call *call = gb_calloc(1, sizeof(*call));
	struct http_guard *guard;
	size_t path_len =
	    req->query_at == SIZE_MAX ? req->path.len : req->query_at;

	guard = h2o_mem_alloc_shared(&req->pool, sizeof(*guard), guard_dispose);
	guard->call = call;
	call->guard = guard;
	call->server = server;
	call->req = req;
	call->method =
	    pool_string(&req->pool, req->method.base, req->method.len);
	call->path = pool_string(&req->pool, req->path.base, path_len);
	call->query =
	    req->query_at == SIZE_MAX
		? ""
		: pool_string(&req->pool, req->path.base + path_len + 1,
		      req->path.len - path_len - 1);
	call->body = req->entity.base == NULL ? "" : req->entity.base;
	call->body_len = req->entity.base == NULL ? 0 : req->entity.len;
	call->over_limit = server_is_full(server);
	server->conns.counts.refused += call->over_limit;
	conn_set_hold(&server->conns, &conn->conn, conn_buffer_bytes(conn));
	conn_set_begin(&server->conns, &conn->conn, gb_clock_boot());
	server->in_flight++;
	/* The answer would not arrive, so the request must not be handled. */
	if (conn->conn.closing)
		http_call_answer(call, 503, "text/plain", "", 0);
	else
		server->handler(server->data, call);
	return 0;
}

/* Accepting --------------------------------------------------------------- */

static void
conn_free(uv_handle_t *handle)
{
	struct http_conn *conn =
	    (struct http_conn *)((char *)handle -
				 offsetof(struct http_conn, tcp));

	free(conn);
}

/** The socket of a connection was closed. */
static void
on_conn_closed(void *data)
{
	struct http_conn *conn = data;

	conn_set_remove(&conn->server->conns, &conn->conn);
}

static void
server_accept(struct http_server *server)
{
	struct http_conn *conn = gb_calloc(1, sizeof(*conn));

	conn->server = server;
	uv_tcp_init(server->tcp.loop, &conn->tcp);
	if (uv_accept((uv_stream_t *)&server->tcp, (uv_stream_t *)&conn->tcp) !=
	    0) {
		uv_close((uv_handle_t *)&conn->tcp, conn_free);
		return;
	}
	conn_set_add(&server->conns, &conn->conn, gb_clock_boot());
	conn->sock = h2o_uv_socket_create((uv_stream_t *)&conn->tcp, conn_free);
	conn->sock->on_close.cb = on_conn_closed;
	conn->sock->on_close.data = conn;
	h2o_accept(&server->accept, conn->sock);
}

/** Close connections until there is room for another one; false if there is
 * none yet. */
static bool
server_make_room(struct http_server *server)
{
	struct conn *conn;

	while (!conn_set_has_room(&server->conns)) {
		conn = conn_set_close_for_new(&server->conns, gb_clock_boot());
		if (conn == NULL)
			return false;
		conn_shut_down(conn_of(conn));
	}
	return true;
}

static void
on_accept_retry(uv_timer_t *timer)
{
	struct http_server *server = timer->data;

	if (!server_make_room(server))
		return;
	uv_timer_stop(timer);
	server_accept(server);
}

static void
on_accept(uv_stream_t *listener, int status)
{
	struct http_server *server = (struct http_server *)listener;

	if (status != 0)
		return;
	if (server_make_room(server))
		server_accept(server);
	else
		/* libuv keeps the connection, and accepts no other one until it
		 * is taken. */
		uv_timer_start(&server->accept_retry, on_accept_retry,
		    HTTP_ACCEPT_RETRY_MS, HTTP_ACCEPT_RETRY_MS);
}

struct http_server *
http_server_new(struct uv_loop_s *loop, const char *addr, size_t body_limit,
    http_handler handler, void *data, struct gb_error *err)
{
	struct http_server *server = gb_calloc(1, sizeof(*server));
	struct http_h2o_handler *h;
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	struct sockaddr_in sin;
	int len = sizeof(sin);

	server->handler = handler;
	server->data = data;
	conn_set_init(&server->conns);
	h2o_config_init(&server->config);
	server->config.max_request_entity_size = body_limit;
	/* A connection of HTTP/2 has a buffer for each of its streams, which
	 * the limits don't count. */
	server->config.http1.upgrade_to_http2 = 0;
	server->config.server_name = h2o_iovec_init(H2O_STRLIT("gooseberry"));
	host = h2o_config_register_host(
	    &server->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	path = h2o_config_register_path(host, "/", 0);
	h = (struct http_h2o_handler *)h2o_create_handler(path, sizeof(*h));
	h->super.on_req = on_req;
	h->server = server;
	h2o_context_init(&server->ctx, loop, &server->config);
	server->accept.ctx = &server->ctx;
	server->accept.hosts = server->config.hosts;
	uv_tcp_init(loop, &server->tcp);
	if (!rpc_addr_parse(addr, &sin) ||
	    uv_tcp_bind(&server->tcp, (struct sockaddr *)&sin, 0) != 0 ||
	    uv_listen((uv_stream_t *)&server->tcp, HTTP_BACKLOG, on_accept) !=
		0) {
		gb_error_set(err, GB_E_IO, "%s: cannot listen", addr);
		return NULL;
	}
	uv_tcp_getsockname(&server->tcp, (struct sockaddr *)&sin, &len);
	server->port = ntohs(sin.sin_port);
	uv_timer_init(loop, &server->accept_retry);
	server->accept_retry.data = server;
	uv_check_init(loop, &server->check);
	server->check.data = server;
	return server;
}

void
http_server_set_limits(struct http_server *server,
    const struct conn_limits *limits, http_limited limited, void *data)
{
	int size = HTTP_RECEIVE_BYTES;

	server->conns.limits = *limits;
	/* Connections inherit it.  It only makes the count more exact, so that
	 * a failure doesn't matter. */
	uv_recv_buffer_size((uv_handle_t *)&server->tcp, &size);
	server->limited = limited;
	server->limited_data = data;
	uv_check_start(&server->check, on_check);
	uv_unref((uv_handle_t *)&server->check);
}

const struct conn_counts *
http_server_counts(const struct http_server *server)
{
	return &server->conns.counts;
}

void
http_server_set_link(struct http_server *server, struct gb_link *link)
{
	server->link = link;
}

int
http_server_port(const struct http_server *server)
{
	return server->port;
}

void
http_server_leave(struct http_server *server)
{
	server->leaving = true;
}

void
http_server_close(struct http_server *server)
{
	if (server->closing)
		return;
	server->leaving = true;
	server->closing = true;
	uv_timer_stop(&server->accept_retry);
	uv_close((uv_handle_t *)&server->tcp, NULL);
	h2o_context_request_shutdown(&server->ctx);
}

unsigned int
http_server_in_flight(const struct http_server *server)
{
	return server->in_flight;
}

const char *
http_call_header(
    const struct http_call *call, const char *name, char *out, size_t size)
{
	h2o_req_t *req = call->req;
	ssize_t at;

	if (req == NULL)
		return NULL;
	at = h2o_find_header_by_str(&req->headers, name, strlen(name), -1);
	if (at < 0)
		return NULL;
	snprintf(out, size, "%.*s", (int)req->headers.entries[at].value.len,
	    req->headers.entries[at].value.base);
	return out;
}

void
http_call_host(const struct http_call *call, char *out, size_t size)
{
	const h2o_req_t *req = call->req;
	char *port;

	if (req == NULL)
		out[0] = '\0';
	else
		snprintf(out, size, "%.*s", (int)req->authority.len,
		    req->authority.base);
	port = strchr(out, ':');
	if (port != NULL)
		*port = '\0';
}

void
http_call_add_header(
    struct http_call *call, const char *name, const char *value)
{
	h2o_req_t *req = call->req;

	if (req == NULL)
		return;
	h2o_add_header_by_str(&req->pool, &req->res.headers,
	    pool_string(&req->pool, name, strlen(name)), strlen(name), 0, NULL,
	    pool_string(&req->pool, value, strlen(value)), strlen(value));
}

static const char *
status_reason(unsigned int status)
{
	static const struct {
		unsigned int status;
		const char *reason;
	} reasons[] = {{200, "OK"}, {201, "Created"}, {400, "Bad Request"},
	    {401, "Unauthorized"}, {403, "Forbidden"}, {404, "Not Found"},
	    {405, "Method Not Allowed"}, {409, "Conflict"}, {410, "Gone"},
	    {412, "Precondition Failed"}, {413, "Payload Too Large"},
	    {422, "Unprocessable Entity"}, {428, "Precondition Required"},
	    {429, "Too Many Requests"}, {502, "Bad Gateway"},
	    {503, "Service Unavailable"}, {504, "Gateway Timeout"}};
	size_t i;

	for (i = 0; i < sizeof(reasons) / sizeof(reasons[0]); i++) {
		if (reasons[i].status == status)
			return reasons[i].reason;
	}
	return "Other";
}

void
http_call_answer(struct http_call *call, unsigned int status, const char *type,
    const char *body, size_t len)
{
	h2o_req_t *req = call->req;

	call->server->in_flight--;
	if (req != NULL) {
		((struct http_guard *)call->guard)->call = NULL;
		conn_set_end(&call->server->conns, &conn_of_req(req)->conn,
		    gb_clock_boot());
		req->res.status = (int)status;
		req->res.reason = status_reason(status);
		if (call->server->leaving)
			req->http1_is_persistent = 0;
		http_call_add_header(call, "content-type", type);
		/* Without a length h2o ends the connection after all answers
		 * but 200. */
		req->res.content_length = len;
		h2o_send_inline(req, body, len);
		gb_link_count_sent(call->server->link, gb_clock_boot(),
		    GB_TRAFFIC_CALLER, HTTP_HEAD_BYTES + len);
	}
	free(call);
}
