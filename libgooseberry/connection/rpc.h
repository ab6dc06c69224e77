/**
 * @file rpc.h
 * Record streams and addresses, shared by the server and the client of remote
 * procedure calls.
 */
#ifndef GB_RPC_H
#define GB_RPC_H

#include <uv.h>

#include "gooseberry.h"

#define RPC_PROGRAM 0x20676261u
#define RPC_PROGRAM_VERSION 1
/** Longest record, in bytes. */
#define RPC_RECORD_MAX (16u * 1024 * 1024)
/** Most fragments of a record that is not complete yet; gooseberrycart sends
 * each record in one. */
#define RPC_FRAGMENTS_MAX 1024
/** Bit of a record mark that is set for the last fragment of a record. */
#define RPC_LAST_FRAGMENT 0x80000000u
/** Length of a record mark, in bytes. */
#define RPC_MARK_LEN 4
/** Connections that may wait to be accepted. */
#define RPC_CONNECTION_BACKLOG 512

/** Bytes of a stream that are not a complete record yet. */
struct rpc_reader {
	char *data;
	size_t len;
	size_t size;
	size_t record_max; /**< longest record, 0: RPC_RECORD_MAX */
};

/** Called with each complete record, which is freed afterwards; false ends the
 * connection. */
typedef bool (*rpc_record_fn)(void *, char *, size_t);

/** Add bytes received and call the function for each complete record.  False
 * when the stream is malformed or the function returned false. */
bool rpc_reader_feed(
    struct rpc_reader *, const char *, size_t, rpc_record_fn, void *);
void rpc_reader_free(struct rpc_reader *);

/** Called when a record has been sent, or can't be any more. */
typedef void (*rpc_written)(uv_stream_t *);

/** Write a message as one record, followed by a body if there is a coder for
 * it.  Adds the record's length to bytes; false when it cannot be written.
 * @param written may be null; not called if this returns false
 */
bool rpc_stream_write(uv_stream_t *, struct rpc_msg *, xdrproc_t, void *,
    size_t *bytes, rpc_written written);

/** Parse "IP:port"; false when malformed. */
bool rpc_addr_parse(const char *, struct sockaddr_in *);

/** Allocate the buffer of a read; the read callback frees it. */
void rpc_stream_alloc(uv_handle_t *, size_t, uv_buf_t *);

#endif
