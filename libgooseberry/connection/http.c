/**
 * @file http.c
 * HTTP server over h2o on libuv.
 */
#define H2O_USE_LIBUV 1
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include <h2o.h>

#include "http.h"
#include "rpc.h"

/** Connections that may wait to be accepted. */
#define HTTP_BACKLOG 1024
/** Estimated bytes of an answer before its body: status, date, type and
 * length. */
#define HTTP_HEAD_BYTES 170

struct http_server {
	uv_tcp_t tcp;
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

static int
on_req(h2o_handler_t *self, h2o_req_t *req)
{
	struct http_server *server = ((struct http_h2o_handler *)self)->server;
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
	server->in_flight++;
	server->handler(server->data, call);
	return 0;
}

static void
on_accept(uv_stream_t *listener, int status)
{
	struct http_server *server = (struct http_server *)listener;
	uv_tcp_t *conn;
	h2o_socket_t *sock;

	if (status != 0)
		return;
	conn = h2o_mem_alloc(sizeof(*conn));
	uv_tcp_init(listener->loop, conn);
	if (uv_accept(listener, (uv_stream_t *)conn) != 0) {
		uv_close((uv_handle_t *)conn, (uv_close_cb)free);
		return;
	}
	sock = h2o_uv_socket_create((uv_stream_t *)conn, (uv_close_cb)free);
	h2o_accept(&server->accept, sock);
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
	h2o_config_init(&server->config);
	server->config.max_request_entity_size = body_limit;
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
	return server;
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
		req->res.status = (int)status;
		req->res.reason = status_reason(status);
		if (call->server->leaving)
			req->http1_is_persistent = 0;
		http_call_add_header(call, "content-type", type);
		h2o_send_inline(req, body, len);
		gb_link_count_sent(call->server->link, gb_clock_boot(),
		    GB_TRAFFIC_CALLER, HTTP_HEAD_BYTES + len);
	}
	free(call);
}
