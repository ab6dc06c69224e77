/**
 * @file rpc_stream.c
 * Record marking (RFC 5531, section 11) over a libuv stream.
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "rpc.h"

/** Largest number of digits of a port. */
#define PORT_DIGITS_MAX 5

/** A buffer of this size is kept for the next record; a larger one is freed
 * when it is empty. */
#define BUFFER_KEPT_BYTES 4096

/** One write in flight; it owns the bytes. */
struct rpc_write {
	uv_write_t req;
	char *data;
	rpc_written written;
};

static uint32_t
mark_read(const char *p)
{
	uint32_t mark;

	memcpy(&mark, p, sizeof(mark));
	return ntohl(mark);
}

static size_t
reader_record_max(const struct rpc_reader *reader)
{
	return reader->record_max == 0 ? RPC_RECORD_MAX : reader->record_max;
}

/** Size of the buffer for so many bytes: twice that, but no more than a record
 * needs. */
static size_t
reader_size(const struct rpc_reader *reader, size_t bytes)
{
	size_t most =
	    reader_record_max(reader) + RPC_FRAGMENTS_MAX * RPC_MARK_LEN;

	if (bytes * 2 <= most)
		return bytes * 2;
	return bytes > most ? bytes : most;
}

static void
reader_append(struct rpc_reader *reader, const char *data, size_t len)
{
	if (reader->len + len > reader->size) {
		reader->size = reader_size(reader, reader->len + len);
		reader->data = gb_realloc(reader->data, reader->size);
	}
	memcpy(reader->data + reader->len, data, len);
	reader->len += len;
}

/** Free a large buffer that is empty. */
static void
reader_shrink(struct rpc_reader *reader)
{
	if (reader->len > 0 || reader->size <= BUFFER_KEPT_BYTES)
		return;
	free(reader->data);
	reader->data = NULL;
	reader->size = 0;
}

/** Length of the first record with its marks: 0 when it is incomplete, SIZE_MAX
 * when it is malformed or too long.  Sets the payload's length if the record is
 * complete. */
static size_t
reader_record_len(struct rpc_reader *reader, size_t *payload)
{
	size_t max = reader_record_max(reader);
	size_t at = 0;
	size_t total = 0;
	unsigned int fragments;

	for (fragments = 0; fragments < RPC_FRAGMENTS_MAX; fragments++) {
		uint32_t mark;
		size_t len;

		if (reader->len - at < RPC_MARK_LEN)
			return 0;
		mark = mark_read(reader->data + at);
		len = mark & ~RPC_LAST_FRAGMENT;
		total += len;
		if (total > max || (len == 0 && total == 0))
			return SIZE_MAX;
		at += RPC_MARK_LEN + len;
		if (at > reader->len)
			return 0;
		if ((mark & RPC_LAST_FRAGMENT) != 0) {
			*payload = total;
			return at;
		}
	}
	return SIZE_MAX;
}

/** Copy the payload of the first record, without the marks of its
 * fragments. */
static char *
reader_payload(const struct rpc_reader *reader, size_t payload)
{
	char *out = gb_calloc(1, payload);
	size_t at = 0;
	size_t done = 0;

	while (done < payload) {
		size_t len = mark_read(reader->data + at) & ~RPC_LAST_FRAGMENT;

		memcpy(out + done, reader->data + at + RPC_MARK_LEN, len);
		done += len;
		at += RPC_MARK_LEN + len;
	}
	return out;
}

bool
rpc_reader_feed(struct rpc_reader *reader, const char *data, size_t len,
    rpc_record_fn fn, void *arg)
{
	reader_append(reader, data, len);
	for (;;) {
		size_t payload = 0;
		size_t used = reader_record_len(reader, &payload);
		char *record;
		bool more;

		if (used == 0)
			return true;
		if (used == SIZE_MAX)
			return false;
		record = reader_payload(reader, payload);
		reader->len -= used;
		memmove(reader->data, reader->data + used, reader->len);
		reader_shrink(reader);
		more = fn(arg, record, payload);
		free(record);
		if (!more)
			return false;
	}
}

void
rpc_reader_free(struct rpc_reader *reader)
{
	free(reader->data);
	memset(reader, 0, sizeof(*reader));
}

static void
write_done(uv_write_t *req, int status)
{
	struct rpc_write *write = (struct rpc_write *)req;

	(void)status;
	if (write->written != NULL)
		write->written(req->handle);
	free(write->data);
	free(write);
}

bool
rpc_stream_write(uv_stream_t *stream, struct rpc_msg *msg, xdrproc_t body,
    void *arg, size_t *bytes, rpc_written written)
{
	struct rpc_write *write;
	unsigned long size = xdr_sizeof((xdrproc_t)xdr_callmsg, msg);
	uint32_t mark;
	uv_buf_t buf;
	XDR xdrs;
	bool ok;

	if (msg->rm_direction == REPLY)
		size = xdr_sizeof((xdrproc_t)xdr_replymsg, msg);
	if (body != NULL)
		size += xdr_sizeof(body, arg);
	write = gb_calloc(1, sizeof(*write));
	write->written = written;
	write->data = gb_calloc(1, size + RPC_MARK_LEN);
	xdrmem_create(
	    &xdrs, write->data + RPC_MARK_LEN, (u_int)size, XDR_ENCODE);
	if (msg->rm_direction == REPLY)
		ok = xdr_replymsg(&xdrs, msg);
	else
		ok = xdr_callmsg(&xdrs, msg);
	if (ok && body != NULL)
		ok = body(&xdrs, arg);
	size = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	mark = htonl((uint32_t)size | RPC_LAST_FRAGMENT);
	memcpy(write->data, &mark, sizeof(mark));
	buf = uv_buf_init(write->data, (unsigned int)size + RPC_MARK_LEN);
	if (!ok || uv_write(&write->req, stream, &buf, 1, write_done) != 0) {
		free(write->data);
		free(write);
		return false;
	}
	*bytes += size + RPC_MARK_LEN;
	return true;
}

/** Parse a port, which has neither a sign nor spaces. */
static bool
port_parse(const char *text, int *port)
{
	size_t len = strlen(text);

	if (len == 0 || len > PORT_DIGITS_MAX ||
	    strspn(text, "0123456789") != len)
		return false;
	*port = (int)strtol(text, NULL, 10);
	return *port <= UINT16_MAX;
}

bool
rpc_addr_parse(const char *addr, struct sockaddr_in *out)
{
	const char *colon = strrchr(addr, ':');
	char host[GB_NAME_MAX + 1];
	int port;

	if (colon == NULL || (size_t)(colon - addr) >= sizeof(host))
		return false;
	memcpy(host, addr, (size_t)(colon - addr));
	host[colon - addr] = '\0';
	return port_parse(colon + 1, &port) &&
	       uv_ip4_addr(host, port, out) == 0;
}

void
rpc_stream_alloc(uv_handle_t *handle, size_t want, uv_buf_t *buf)
{
	(void)handle;
	*buf = uv_buf_init(gb_calloc(1, want), (unsigned int)want);
}
