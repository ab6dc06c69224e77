/**
 * @file proxy.c
 * Loopback proxies that delay, hold back, reset or silence connections.
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "soak.h"

#define READ_MAX_BYTES 65536
/** Source address of the first node, 127.0.1.1.  Each node connects from an
 * address of its own, see member_source.c. */
#define SOURCE_FIRST 0x7f000101
/** Number that stands for a client that is no node. */
#define SOURCE_UNKNOWN SOAK_NODES_MAX

/** Data to be forwarded. */
struct chunk {
	STAILQ_ENTRY(chunk) next;
	gb_time due; /**< not forwarded before */
	uv_write_t write;
	uv_buf_t buf;
};

STAILQ_HEAD(chunk_list, chunk);

struct link;

LIST_HEAD(link_list, link);

/** One direction of a proxied connection. */
struct direction {
	struct link *link;
	uv_tcp_t from; /**< socket that is read */
	struct chunk_list chunks;
	bool ended; /**< the sender has closed the connection */
};

/** A proxied connection: one from the client and one to the server. */
struct link {
	LIST_ENTRY(link) next;
	struct proxy *proxy;
	struct direction to_server; /**< from the client to the server */
	struct direction to_client; /**< from the server to the client */
	unsigned int client; /**< node that connected, or SOURCE_UNKNOWN */
	uv_connect_t connect;
	bool connected;
	bool handshake_cut; /**< opened during a cut, which holds back its
				 handshake */
	bool silent;	    /**< nothing is forwarded any more */
	bool closing;
	unsigned int handles; /**< sockets that are not closed yet */
};

struct proxy {
	LIST_ENTRY(proxy) next;
	uv_tcp_t listener;
	struct sockaddr_in target;
	enum proxy_mode mode;
	unsigned int delay_ms;
	bool has_node;	   /**< its server is a node */
	unsigned int node; /**< number of that node */
	struct link_list links;
};

LIST_HEAD(proxy_list, proxy);

static struct proxy_list proxies = LIST_HEAD_INITIALIZER(proxies);

static void
on_closed(uv_handle_t *handle)
{
	struct link *link = ((struct direction *)handle->data)->link;

	if (--link->handles == 0)
		free(link);
}

static void
chunk_free(struct chunk *chunk)
{
	free(chunk->buf.base);
	free(chunk);
}

static void
chunks_drop(struct direction *dir)
{
	struct chunk *chunk;

	while ((chunk = STAILQ_FIRST(&dir->chunks)) != NULL) {
		STAILQ_REMOVE_HEAD(&dir->chunks, next);
		chunk_free(chunk);
	}
}

static void
link_close(struct link *link, bool reset)
{
	if (link->closing)
		return;
	link->closing = true;
	LIST_REMOVE(link, next);
	chunks_drop(&link->to_server);
	chunks_drop(&link->to_client);
	if (reset &&
	    uv_tcp_close_reset(&link->to_server.from, on_closed) == 0 &&
	    uv_tcp_close_reset(&link->to_client.from, on_closed) == 0)
		return;
	if (!uv_is_closing((uv_handle_t *)&link->to_server.from))
		uv_close((uv_handle_t *)&link->to_server.from, on_closed);
	if (!uv_is_closing((uv_handle_t *)&link->to_client.from))
		uv_close((uv_handle_t *)&link->to_client.from, on_closed);
}

static void
on_written(uv_write_t *write, int status)
{
	(void)status;
	chunk_free(write->data);
}

/** Whether a cut between the nodes at its ends affects any direction. */
static bool
link_is_cut(const struct link *link)
{
	unsigned int node = link->proxy->node;

	return link->proxy->has_node && link->client != SOURCE_UNKNOWN &&
	       (reach_is_cut(link->client, node) ||
		   reach_is_cut(node, link->client));
}

/** Whether a cut between nodes holds back this direction.  A handshake needs
 * both directions, so a link that is opened during a cut has neither until the
 * cut ends. */
static bool
direction_is_cut(const struct direction *dir)
{
	struct link *link = dir->link;
	unsigned int node = link->proxy->node;

	if (!link_is_cut(link)) {
		link->handshake_cut = false;
		return false;
	}
	return link->handshake_cut ||
	       (dir == &link->to_server ? reach_is_cut(link->client, node)
					: reach_is_cut(node, link->client));
}

/** Whether data in this direction is held back for any reason. */
static bool
direction_is_held(const struct direction *dir)
{
	const struct link *link = dir->link;
	enum proxy_mode mode = link->proxy->mode;
	bool to = dir == &link->to_server;

	return link->silent || !link->connected || direction_is_cut(dir) ||
	       mode == PROXY_CUT || (to && mode == PROXY_CUT_TO) ||
	       (!to && mode == PROXY_CUT_FROM);
}

/** Forward the data that is due.  Returns false if the link was closed. */
static bool
direction_flush(struct direction *dir)
{
	struct link *link = dir->link;
	struct direction *other =
	    dir == &link->to_server ? &link->to_client : &link->to_server;
	struct chunk *chunk;

	if (direction_is_held(dir))
		return true;
	while ((chunk = STAILQ_FIRST(&dir->chunks)) != NULL &&
	       chunk->due <= soak_now()) {
		STAILQ_REMOVE_HEAD(&dir->chunks, next);
		chunk->write.data = chunk;
		if (uv_write(&chunk->write, (uv_stream_t *)&other->from,
			&chunk->buf, 1, on_written) != 0) {
			chunk_free(chunk);
			link_close(link, true);
			return false;
		}
	}
	if (dir->ended && STAILQ_EMPTY(&dir->chunks)) {
		link_close(link, false);
		return false;
	}
	return true;
}

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	(void)handle;
	(void)size;
	*buf = uv_buf_init(gb_calloc(1, READ_MAX_BYTES), READ_MAX_BYTES);
}

static void
on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	struct direction *dir = stream->data;
	struct proxy *proxy = dir->link->proxy;
	struct chunk *chunk;

	if (len <= 0) {
		free(buf->base);
		if (len == 0)
			return;
		dir->ended = true;
		uv_read_stop(stream);
		if (dir->link->handshake_cut && link_is_cut(dir->link))
			link_close(dir->link, true);
		else
			direction_flush(dir);
		return;
	}
	chunk = gb_calloc(1, sizeof(*chunk));
	chunk->buf = uv_buf_init(buf->base, (unsigned int)len);
	chunk->due = soak_now();
	if (proxy->mode == PROXY_DELAY)
		chunk->due += proxy->delay_ms * GB_MSEC;
	STAILQ_INSERT_TAIL(&dir->chunks, chunk, next);
	direction_flush(dir);
}

static void
on_connected(uv_connect_t *connect, int status)
{
	struct link *link = connect->data;

	if (link->closing)
		return;
	if (status != 0) {
		link_close(link, true);
		return;
	}
	link->connected = true;
	uv_read_start((uv_stream_t *)&link->to_client.from, on_alloc, on_read);
	direction_flush(&link->to_server);
}

static void
direction_init(struct direction *dir, struct link *link, uv_loop_t *loop)
{
	dir->link = link;
	STAILQ_INIT(&dir->chunks);
	uv_tcp_init(loop, &dir->from);
	uv_tcp_nodelay(&dir->from, 1);
	dir->from.data = dir;
	link->handles++;
}

/** Find the node that a connection comes from, by its source address. */
static unsigned int
client_node(const uv_tcp_t *tcp)
{
	struct sockaddr_in sin;
	int len = sizeof(sin);
	uint32_t number;

	if (uv_tcp_getpeername(tcp, (struct sockaddr *)&sin, &len) != 0)
		return SOURCE_UNKNOWN;
	number = ntohl(sin.sin_addr.s_addr) - SOURCE_FIRST;
	return number < SOAK_NODES_MAX ? number : SOURCE_UNKNOWN;
}

static void
on_connection(uv_stream_t *listener, int status)
{
	struct proxy *proxy = listener->data;
	struct link *link;

	if (status != 0)
		return;
	link = gb_calloc(1, sizeof(*link));
	link->proxy = proxy;
	direction_init(&link->to_server, link, listener->loop);
	direction_init(&link->to_client, link, listener->loop);
	LIST_INSERT_HEAD(&proxy->links, link, next);
	link->connect.data = link;
	if (uv_accept(listener, (uv_stream_t *)&link->to_server.from) != 0 ||
	    uv_tcp_connect(&link->connect, &link->to_client.from,
		(const struct sockaddr *)&proxy->target, on_connected) != 0) {
		link_close(link, true);
		return;
	}
	if (proxy->mode == PROXY_REFUSE) {
		link_close(link, true);
		return;
	}
	link->client = client_node(&link->to_server.from);
	link->handshake_cut = link_is_cut(link);
	uv_read_start((uv_stream_t *)&link->to_server.from, on_alloc, on_read);
}

struct proxy *
proxy_new(uv_loop_t *loop, unsigned int port, unsigned int target)
{
	struct proxy *proxy = gb_calloc(1, sizeof(*proxy));
	struct sockaddr_in sin;

	uv_ip4_addr("127.0.0.1", (int)port, &sin);
	uv_ip4_addr("127.0.0.1", (int)target, &proxy->target);
	uv_tcp_init(loop, &proxy->listener);
	proxy->listener.data = proxy;
	if (uv_tcp_bind(&proxy->listener, (struct sockaddr *)&sin, 0) != 0 ||
	    uv_listen((uv_stream_t *)&proxy->listener, 512, on_connection) !=
		0) {
		fprintf(stderr, "soak: port %u is in use\n", port);
		exit(EXIT_FAILURE);
	}
	LIST_INSERT_HEAD(&proxies, proxy, next);
	return proxy;
}

void
proxy_set(struct proxy *proxy, enum proxy_mode mode, unsigned int delay_ms)
{
	proxy->mode = mode;
	proxy->delay_ms = delay_ms;
}

void
proxy_set_node(struct proxy *proxy, unsigned int node)
{
	proxy->has_node = true;
	proxy->node = node;
}

void
proxy_reset(struct proxy *proxy)
{
	struct link *link;

	while ((link = LIST_FIRST(&proxy->links)) != NULL)
		link_close(link, true);
}

void
proxy_silence(struct proxy *proxy)
{
	struct link *link;

	LIST_FOREACH(link, &proxy->links, next)
	{
		link->silent = true;
	}
}

void
proxy_tick(void)
{
	struct proxy *proxy;
	struct link *link;
	struct link *next;

	LIST_FOREACH(proxy, &proxies, next)
	{
		for (link = LIST_FIRST(&proxy->links); link != NULL;
		     link = next) {
			next = LIST_NEXT(link, next);
			if (direction_flush(&link->to_server))
				direction_flush(&link->to_client);
		}
	}
}
