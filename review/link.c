/**
 * @file link.c
 * Links between nodes: each node is reached by the others at a port here, which
 * is forwarded to it.  While a node is cut off, either nothing passes and
 * connections stay open, or connections are reset and new ones refused.
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "platform.h"

#define LINK_BACKLOG 128

struct pipe_end;

struct write {
	uv_write_t request;
	char *data;
};

/** One side of a forwarded connection. */
struct pipe_end {
	uv_tcp_t tcp;
	uv_connect_t connect;
	struct pipe_end *other; /**< null once that is closed */
	unsigned int node;
	bool connected;
	bool reading;
	bool closing;
	TAILQ_ENTRY(pipe_end) next;
};

TAILQ_HEAD(pipe_list, pipe_end);

static struct pipe_list pipes = TAILQ_HEAD_INITIALIZER(pipes);
static uv_tcp_t **listeners;
static bool *cut;

bool
link_is_cut(unsigned int node)
{
	return node < cell.nodes && cut[node];
}

static void
on_closed(uv_handle_t *handle)
{
	struct pipe_end *end = (struct pipe_end *)handle;

	TAILQ_REMOVE(&pipes, end, next);
	free(end);
}

static void
end_close(struct pipe_end *end)
{
	if (end == NULL || end->closing)
		return;
	end->closing = true;
	if (end->other != NULL) {
		end->other->other = NULL;
		end_close(end->other);
	}
	end->other = NULL;
	uv_close((uv_handle_t *)&end->tcp, on_closed);
}

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	(void)handle;
	*buf = uv_buf_init(malloc(size), (unsigned int)size);
}

static void
on_written(uv_write_t *request, int status)
{
	struct write *write = (struct write *)request;

	(void)status;
	free(write->data);
	free(write);
}

static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct pipe_end *end = (struct pipe_end *)stream;
	struct write *write;
	uv_buf_t out;

	if (n > 0 && end->other != NULL) {
		write = calloc(1, sizeof(*write));
		write->data = buf->base;
		out = uv_buf_init(buf->base, (unsigned int)n);
		if (uv_write(&write->request, (uv_stream_t *)&end->other->tcp,
			&out, 1, on_written) == 0)
			return;
		free(write);
	}
	free(buf->base);
	if (n < 0)
		end_close(end);
}

/** Read, or stop reading, as the link is. */
static void
end_update(struct pipe_end *end)
{
	bool wanted = end->connected && end->other != NULL &&
		      end->other->connected && !end->closing && !cut[end->node];

	if (wanted == end->reading)
		return;
	end->reading = wanted;
	if (wanted)
		uv_read_start((uv_stream_t *)&end->tcp, on_alloc, on_read);
	else
		uv_read_stop((uv_stream_t *)&end->tcp);
}

static void
on_connect(uv_connect_t *request, int status)
{
	struct pipe_end *end = request->data;

	if (end->closing)
		return;
	if (status != 0) {
		end_close(end);
		return;
	}
	uv_tcp_nodelay(&end->tcp, 1);
	end->connected = true;
	end_update(end);
	if (end->other != NULL)
		end_update(end->other);
}

static struct pipe_end *
end_new(unsigned int node)
{
	struct pipe_end *end = calloc(1, sizeof(*end));

	end->node = node;
	uv_tcp_init(cell_loop, &end->tcp);
	TAILQ_INSERT_TAIL(&pipes, end, next);
	return end;
}

static void
on_accept(uv_stream_t *listener, int status)
{
	unsigned int node = *(const unsigned int *)listener->data;
	struct pipe_end *from;
	struct pipe_end *to;
	struct sockaddr_in sin;

	if (status != 0)
		return;
	from = end_new(node);
	to = end_new(node);
	from->other = to;
	to->other = from;
	if (uv_accept(listener, (uv_stream_t *)&from->tcp) != 0) {
		end_close(from);
		return;
	}
	uv_tcp_nodelay(&from->tcp, 1);
	from->connected = true;
	to->connect.data = to;
	uv_ip4_addr("127.0.0.1", (int)(cell.port + 40 + node), &sin);
	if (uv_tcp_connect(&to->connect, &to->tcp, (struct sockaddr *)&sin,
		on_connect) != 0)
		end_close(from);
}

static bool
link_listen(unsigned int node)
{
	struct sockaddr_in sin;
	unsigned int *number = malloc(sizeof(*number));

	*number = node;
	listeners[node] = calloc(1, sizeof(uv_tcp_t));
	uv_tcp_init(cell_loop, listeners[node]);
	listeners[node]->data = number;
	uv_ip4_addr("127.0.0.1", (int)(cell.port + 20 + node), &sin);
	return uv_tcp_bind(listeners[node], (struct sockaddr *)&sin, 0) == 0 &&
	       uv_listen((uv_stream_t *)listeners[node], LINK_BACKLOG,
		   on_accept) == 0;
}

static void
on_listener_closed(uv_handle_t *handle)
{
	free(handle->data);
	free(handle);
}

/** Reset the connections to a node and refuse new ones. */
static void
link_refuse(unsigned int node)
{
	struct pipe_end *end;

	uv_close((uv_handle_t *)listeners[node], on_listener_closed);
	listeners[node] = NULL;
	TAILQ_FOREACH(end, &pipes, next)
	{
		if (end->node == node)
			end_close(end);
	}
}

bool
link_cut(unsigned int node, bool is_cut, bool refuse)
{
	struct pipe_end *end;

	if (node >= cell.nodes)
		return false;
	cut[node] = is_cut;
	if (refuse && listeners[node] != NULL)
		link_refuse(node);
	if (!is_cut && listeners[node] == NULL && !link_listen(node))
		return false;
	TAILQ_FOREACH(end, &pipes, next)
	{
		end_update(end);
	}
	return true;
}

bool
links_start(void)
{
	unsigned int i;

	cut = calloc(cell.nodes, sizeof(*cut));
	listeners = calloc(cell.nodes, sizeof(*listeners));
	for (i = 0; i < cell.nodes; i++) {
		if (!link_listen(i)) {
			fprintf(stderr, "review-platform: cannot listen\n");
			return false;
		}
	}
	return true;
}
