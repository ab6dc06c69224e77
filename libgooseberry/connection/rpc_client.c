/**
 * @file rpc_client.c
 * Calls procedures of one peer over one connection, which is made when it is
 * needed.  Answers are matched by id; those nobody waits for are dropped.
 *
 * A connection may go silent without a reset while a new one would work.  One
 * that has carried nothing since a call was written whose time is up takes no
 * new calls; it stays open for the calls that are out, since the peer may only
 * be slow.
 */
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include <uthash.h>

#include "rpc.h"

#define TIMEOUT_SCAN_MS 10
/** A connection on which nothing ever came is this old before it is replaced,
 * doubled with each such one in a row: a peer that stands still, or can't be
 * reached, is not flooded with connections. */
#define LINK_UNHEARD_LEAST GB_SEC
#define LINK_UNHEARD_DOUBLINGS 3

struct rpc_link;

/** One call that is out. */
struct rpc_pending {
	UT_hash_handle hh;
	uint32_t xid;
	uint32_t proc;
	struct rpc_link *link; /**< that it was written to, or null */
	gb_time written;
	gb_time deadline;
	gb_rpc_done done;
	void *data;
	gb_body arg; /* coded, until the connection stands */
};

/** The socket; outlives the client while libuv closes it. */
struct rpc_link {
	uv_tcp_t tcp;
	uv_connect_t connect;
	LIST_ENTRY(rpc_link) next;
	struct gb_rpc_client *client; /**< null when closed */
	struct rpc_reader reader;
	bool up;
	gb_time made;
	gb_time last_heard; /**< when something last came, 0: never */
};

LIST_HEAD(rpc_links, rpc_link);

struct gb_rpc_client {
	uv_timer_t timer;
	uv_loop_t *loop;
	const struct gb_env *env;
	struct rpc_link *link; /**< takes new calls, or null */
	struct rpc_links old;  /**< take none, and have calls out */
	unsigned int unheard;  /**< connections in a row that were silent */
	struct rpc_pending *pending;
	char addr[GB_NAME_MAX + 1];
	uint32_t next_xid;
	size_t bytes;
	bool freed;
};

static void
link_closed(uv_handle_t *handle)
{
	struct rpc_link *link = (struct rpc_link *)handle;

	rpc_reader_free(&link->reader);
	free(link);
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

/** First call of a connection among those up to an id. */
static struct rpc_pending *
link_call(const struct gb_rpc_client *client, const struct rpc_link *link,
    uint32_t limit)
{
	struct rpc_pending *call;

	for (call = client->pending; call != NULL; call = call->hh.next) {
		if (call->xid <= limit && call->link == link)
			return call;
	}
	return NULL;
}

/** Close a connection, and end its calls.  Those that wait for the one that
 * takes new calls were not sent. */
static void
link_close(struct rpc_link *link)
{
	struct gb_rpc_client *client = link->client;
	bool current = client->link == link;
	struct rpc_pending *call;
	uint32_t limit = client->next_xid;

	if (current)
		client->link = NULL;
	else
		LIST_REMOVE(link, next);
	link->client = NULL;
	uv_close((uv_handle_t *)&link->tcp, link_closed);
	/* Callbacks may add calls; those have newer ids and stay. */
	while ((call = link_call(client, link, limit)) != NULL)
		pending_finish(client, call, GB_MAYBE_RUN, NULL);
	while (current && (call = link_call(client, NULL, limit)) != NULL)
		pending_finish(client, call, GB_NOT_RUN, NULL);
}

static bool
link_record(void *data, char *record, size_t len)
{
	struct rpc_link *link = data;
	struct gb_rpc_client *client = link->client;
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
	gb_link_in(gb_env_link(client->env), GB_TRAFFIC_RPC + call->proc,
	    len + RPC_MARK_LEN);
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
	return ok && link->client != NULL;
}

static void
link_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct rpc_link *link = (struct rpc_link *)stream;
	bool ok = n >= 0;

	if (link->client != NULL && n > 0) {
		link->client->bytes += (size_t)n;
		link->client->unheard = 0;
		link->last_heard = gb_clock_boot();
		ok = rpc_reader_feed(
		    &link->reader, buf->base, (size_t)n, link_record, link);
	}
	if (!ok && link->client != NULL)
		link_close(link);
	free(buf->base);
}

/** Write bytes that are coded already. */
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
	call->link = client->link;
	call->written = gb_clock_boot();
	rpc_stream_write((uv_stream_t *)&client->link->tcp, &msg,
	    (xdrproc_t)raw_code, &call->arg, &client->bytes);
	gb_link_out(gb_env_link(client->env), call->written,
	    GB_TRAFFIC_RPC + call->proc, client->bytes - before);
	free(call->arg.gb_body_val);
	call->arg.gb_body_val = NULL;
}

static void
link_connected(uv_connect_t *req, int status)
{
	struct rpc_link *link = req->data;
	struct gb_rpc_client *client = link->client;
	struct rpc_pending *call;

	if (client == NULL)
		return;
	if (status != 0) {
		link_close(link);
		return;
	}
	link->up = true;
	uv_tcp_nodelay(&link->tcp, 1);
	uv_read_start((uv_stream_t *)&link->tcp, rpc_stream_alloc, link_read);
	for (call = client->pending; call != NULL; call = call->hh.next) {
		if (call->link == NULL)
			call_write(client, call);
	}
}

static void
client_connect(struct gb_rpc_client *client)
{
	struct rpc_link *link = gb_calloc(1, sizeof(*link));
	struct sockaddr_in sin;

	link->client = client;
	link->made = gb_clock_boot();
	client->link = link;
	uv_tcp_init(client->loop, &link->tcp);
	link->connect.data = link;
	if (!rpc_addr_parse(client->addr, &sin) ||
	    uv_tcp_connect(&link->connect, &link->tcp, (struct sockaddr *)&sin,
		link_connected) != 0)
		link_close(link);
}

/** First call whose time is up.  Calls stand in the order they were made,
 * but not in the order of their deadlines. */
static struct rpc_pending *
client_expired(struct gb_rpc_client *client, gb_time now)
{
	struct rpc_pending *call;

	for (call = client->pending; call != NULL; call = call->hh.next) {
		if (call->deadline <= now)
			return call;
	}
	return NULL;
}

/** Whether a connection has gone silent, by a call on it whose time is up. */
static bool
link_silent(const struct rpc_link *link, const struct rpc_pending *call)
{
	unsigned int doublings = link->client->unheard;

	if (link->last_heard != 0)
		return link->last_heard < call->written;
	if (doublings > LINK_UNHEARD_DOUBLINGS)
		doublings = LINK_UNHEARD_DOUBLINGS;
	return gb_clock_boot() - link->made >= LINK_UNHEARD_LEAST << doublings;
}

/** No new calls go over a connection that has gone silent. */
static void
client_retire(struct gb_rpc_client *client, const struct rpc_pending *call)
{
	struct rpc_link *link = call->link;

	if (link == NULL || link != client->link || !link_silent(link, call))
		return;
	if (link->last_heard == 0)
		client->unheard++;
	client->link = NULL;
	LIST_INSERT_HEAD(&client->old, link, next);
}

/** Close the old connections whose calls have all ended. */
static void
client_sweep(struct gb_rpc_client *client)
{
	struct rpc_link *link;
	struct rpc_link *next;

	for (link = LIST_FIRST(&client->old); link != NULL; link = next) {
		next = LIST_NEXT(link, next);
		if (link_call(client, link, client->next_xid) == NULL)
			link_close(link);
	}
}

static void
client_scan(uv_timer_t *timer)
{
	struct gb_rpc_client *client = timer->data;
	struct rpc_pending *call;
	gb_time now = gb_clock_boot();
	bool stuck = false;

	/* A callback may end other calls, so search anew after each. */
	while ((call = client_expired(client, now)) != NULL) {
		stuck = stuck || call->link == NULL;
		client_retire(client, call);
		pending_finish(client, call,
		    call->link != NULL ? GB_MAYBE_RUN : GB_NOT_RUN, NULL);
	}
	if (stuck && client->link != NULL && !client->link->up)
		link_close(client->link);
	client_sweep(client);
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
	LIST_INIT(&client->old);
	uv_timer_init(loop, &client->timer);
	client->timer.data = client;
	return client;
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
	if (client->link != NULL)
		link_close(client->link);
	while (!LIST_EMPTY(&client->old))
		link_close(LIST_FIRST(&client->old));
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
	if (client->link == NULL)
		client_connect(client);
	else if (client->link->up)
		call_write(client, call);
}

size_t
gb_rpc_client_bytes(const struct gb_rpc_client *client)
{
	return client->bytes;
}
