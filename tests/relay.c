/**
 * @file relay.c
 * A TCP relay whose server has a link of limited bandwidth.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include <cmocka.h>

#include "connection/rpc.h"
#include "relay.h"

/** Interval at which bytes are forwarded, in milliseconds. */
#define RELAY_TICK_MS 5
/** Bytes of a read.  The connections take turns with so many bytes each. */
#define RELAY_READ_BYTES 4096

/** Bytes that were read and are not forwarded yet.  A side of a server is not
 * read while one of its chunks waits. */
struct relay_chunk {
	TAILQ_ENTRY(relay_chunk) next;
	struct relay_side *from;
	struct relay_side *to;
	uv_write_t write;
	char *data;
	size_t len;
};

TAILQ_HEAD(relay_chunks, relay_chunk);

/** One socket of a connection. */
struct relay_side {
	LIST_ENTRY(relay_side) next;
	uv_tcp_t tcp;
	uv_connect_t connect;
	struct relay *relay;
	struct relay_side *other;
	bool is_server;
	bool open;
};

LIST_HEAD(relay_sides, relay_side);

struct relay {
	LIST_ENTRY(relay) next;
	struct relay_sides sides;
	uv_tcp_t listener;
	uv_timer_t timer;
	struct sockaddr_in server;
	uint64_t bytes_per_tick;
	uint64_t budget; /**< bytes that may still be sent in this tick */
	struct relay_chunks queue;
};

LIST_HEAD(relay_list, relay);

/** All relays.  They and their sides stay allocated, as chunks refer to them.
 */
static struct relay_list relays = LIST_HEAD_INITIALIZER(relays);

static void
on_written(uv_write_t *write, int status)
{
	struct relay_chunk *chunk = write->data;

	(void)status;
	free(chunk->data);
	free(chunk);
}

static void
chunk_send(struct relay_chunk *chunk)
{
	uv_buf_t buf = uv_buf_init(chunk->data, (unsigned int)chunk->len);

	if (!chunk->to->open ||
	    uv_write(&chunk->write, (uv_stream_t *)&chunk->to->tcp, &buf, 1,
		on_written) != 0)
		on_written(&chunk->write, -1);
}

static void on_alloc(uv_handle_t *, size_t, uv_buf_t *);
static void on_read(uv_stream_t *, ssize_t, const uv_buf_t *);

/** Forward what the bandwidth allows, in the order in which it was read. */
static void
on_tick(uv_timer_t *timer)
{
	struct relay *relay = timer->data;
	struct relay_chunk *chunk;

	relay->budget += relay->bytes_per_tick;
	while ((chunk = TAILQ_FIRST(&relay->queue)) != NULL &&
	       chunk->len <= relay->budget) {
		relay->budget -= chunk->len;
		TAILQ_REMOVE(&relay->queue, chunk, next);
		if (chunk->from->open)
			uv_read_start((uv_stream_t *)&chunk->from->tcp,
			    on_alloc, on_read);
		chunk_send(chunk);
	}
	if (chunk == NULL && relay->budget > RELAY_READ_BYTES)
		relay->budget = RELAY_READ_BYTES;
}

static void
side_close(struct relay_side *side)
{
	if (!side->open)
		return;
	side->open = false;
	uv_close((uv_handle_t *)&side->tcp, NULL);
}

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	(void)handle;
	(void)size;
	*buf = uv_buf_init(gb_calloc(1, RELAY_READ_BYTES), RELAY_READ_BYTES);
}

static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct relay_side *side = stream->data;
	struct relay_chunk *chunk;

	if (n <= 0) {
		free(buf->base);
		if (n < 0) {
			side_close(side);
			side_close(side->other);
		}
		return;
	}
	chunk = gb_calloc(1, sizeof(*chunk));
	chunk->write.data = chunk;
	chunk->from = side;
	chunk->to = side->other;
	chunk->data = buf->base;
	chunk->len = (size_t)n;
	if (!side->is_server) {
		chunk_send(chunk);
		return;
	}
	uv_read_stop(stream);
	TAILQ_INSERT_TAIL(&side->relay->queue, chunk, next);
}

static void
on_connected(uv_connect_t *connect, int status)
{
	struct relay_side *server = connect->data;

	if (!server->open)
		return;
	if (status != 0) {
		side_close(server);
		side_close(server->other);
		return;
	}
	uv_tcp_nodelay(&server->tcp, 1);
	uv_read_start((uv_stream_t *)&server->tcp, on_alloc, on_read);
	uv_read_start((uv_stream_t *)&server->other->tcp, on_alloc, on_read);
}

static struct relay_side *
side_new(struct relay *relay, bool is_server)
{
	struct relay_side *side = gb_calloc(1, sizeof(*side));

	side->relay = relay;
	side->is_server = is_server;
	side->open = true;
	uv_tcp_init(relay->listener.loop, &side->tcp);
	side->tcp.data = side;
	LIST_INSERT_HEAD(&relay->sides, side, next);
	side->connect.data = side;
	return side;
}

static void
on_connection(uv_stream_t *listener, int status)
{
	struct relay *relay = listener->data;
	struct relay_side *client;
	struct relay_side *server;

	assert_int_equal(status, 0);
	client = side_new(relay, false);
	server = side_new(relay, true);
	client->other = server;
	server->other = client;
	assert_int_equal(uv_accept(listener, (uv_stream_t *)&client->tcp), 0);
	uv_tcp_nodelay(&client->tcp, 1);
	assert_int_equal(uv_tcp_connect(&server->connect, &server->tcp,
			     (struct sockaddr *)&relay->server, on_connected),
	    0);
}

struct relay *
relay_new(uv_loop_t *loop, const char *listen, const char *server,
    uint64_t bytes_per_s)
{
	struct relay *relay = gb_calloc(1, sizeof(*relay));
	struct sockaddr_in sin;

	assert_true(rpc_addr_parse(listen, &sin));
	assert_true(rpc_addr_parse(server, &relay->server));
	relay->bytes_per_tick = bytes_per_s * RELAY_TICK_MS / 1000;
	TAILQ_INIT(&relay->queue);
	uv_tcp_init(loop, &relay->listener);
	relay->listener.data = relay;
	assert_int_equal(
	    uv_tcp_bind(&relay->listener, (struct sockaddr *)&sin, 0), 0);
	assert_int_equal(
	    uv_listen((uv_stream_t *)&relay->listener, 64, on_connection), 0);
	uv_timer_init(loop, &relay->timer);
	relay->timer.data = relay;
	uv_timer_start(&relay->timer, on_tick, RELAY_TICK_MS, RELAY_TICK_MS);
	LIST_INSERT_HEAD(&relays, relay, next);
	return relay;
}

void
relay_stop(struct relay *relay)
{
	relay->bytes_per_tick = 0;
	relay->budget = 0;
}

void
relay_close(struct relay *relay)
{
	struct relay_chunk *chunk;
	struct relay_side *side;

	while ((chunk = TAILQ_FIRST(&relay->queue)) != NULL) {
		TAILQ_REMOVE(&relay->queue, chunk, next);
		on_written(&chunk->write, -1);
	}
	LIST_FOREACH(side, &relay->sides, next)
	{
		side_close(side);
	}
	uv_close((uv_handle_t *)&relay->listener, NULL);
	uv_close((uv_handle_t *)&relay->timer, NULL);
}
