/**
 * @file http.h
 * HTTP server, implemented with h2o on a libuv event loop.
 */
#ifndef GB_HTTP_H
#define GB_HTTP_H

#include "conn_set.h"
#include "gooseberry.h"

struct http_server;

/** A request that is to be answered.  It may outlive its connection, but its
 * method, path, query and body are valid only while req is not null. */
struct http_call {
	struct http_server *server;
	void *req; /**< h2o_req_t, null once the connection is closed */
	const char *method;
	const char *path;  /**< without the query */
	const char *query; /**< without the question mark, may be empty */
	const char *body;
	size_t body_len;
	/** The limits of the server don't allow to handle it: it is to be
	 * refused at once. */
	bool over_limit;
	void *guard; /**< struct http_guard, internal to http.c */
	void *data;  /**< for the handler */
};

/** Handles a request; it is answered now or later with http_call_answer. */
typedef void (*http_handler)(void *, struct http_call *);

/** Listen on an address IP:port, port 0: any free one.  Bodies longer than
 * body_limit bytes are rejected.  Returns null with the error set to GB_E_IO if
 * the address cannot be listened on. */
struct http_server *http_server_new(struct uv_loop_s *, const char *addr,
    size_t body_limit, http_handler, void *, struct gb_error *);
/** Called at most once a second, with what was done since the last call as a
 * limit was reached. */
typedef void (*http_limited)(void *, const struct conn_counts *);

/** Limit the connections, the bytes that requests hold in memory, and, to
 * half of the connections, the requests without answer.  A connection that
 * waits for its request or the rest of it is closed for a newer one, or when
 * too many bytes are held; requests that can't be handled are passed on with
 * over_limit set.
 * @param limited may be null
 */
void http_server_set_limits(struct http_server *, const struct conn_limits *,
    http_limited limited, void *data);
/** What was done so far as a limit was reached. */
const struct conn_counts *http_server_counts(const struct http_server *);
/** TCP port that the server listens on. */
int http_server_port(const struct http_server *);
/** Count the bytes of answers in a link, as traffic to callers. */
void http_server_set_link(struct http_server *, struct gb_link *);
/** Close each connection after its next answer.  New connections are accepted
 * until the balancer knows that this instance is leaving. */
void http_server_leave(struct http_server *);
/** Stop accepting connections, and close each one after its next answer. */
void http_server_close(struct http_server *);
/** Number of requests that are not answered yet. */
unsigned int http_server_in_flight(const struct http_server *);
/** Copy a header of the request and return the copy.  Null when the header is
 * missing or the connection is closed. */
const char *http_call_header(
    const struct http_call *, const char *name, char *out, size_t size);
/** Copy the host of the request, without the port; empty when the connection
 * is closed. */
void http_call_host(const struct http_call *, char *out, size_t size);
/** Add a header to the answer. */
void http_call_add_header(
    struct http_call *, const char *name, const char *value);
/** Send the answer, unless the connection is closed, and free the call. */
void http_call_answer(struct http_call *, unsigned int status, const char *type,
    const char *body, size_t len);

#endif
