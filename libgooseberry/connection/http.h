/**
 * @file http.h
 * HTTP server over h2o on libuv, as the entry needs it.
 */
#ifndef GB_HTTP_H
#define GB_HTTP_H

#include "gooseberry.h"

struct http_server;

/** A request whose answer is due.  It may outlive its connection. */
struct http_call {
	struct http_server *server;
	void *req; /**< h2o_req_t, null once the connection has gone */
	const char *method;
	const char *path; /**< without the query, terminated */
	const char *query;
	const char *body;
	size_t body_len;
	void *guard; /**< tells this call when its connection goes */
	void *data;  /**< the handler's */
};

typedef void (*http_handler)(void *, struct http_call *);

struct http_server *http_server_new(struct uv_loop_s *, const char *addr,
    size_t body_limit, http_handler, void *, struct gb_error *);
int http_server_port(const struct http_server *);
/** Count what it answers as sent to callers. */
void http_server_count(struct http_server *, struct gb_link *);
/** End every connection with its next answer; still accept new ones, until
 * the balancer has seen that this entry is leaving. */
void http_server_leave(struct http_server *);
/** Stop accepting; tell clients to close when their answer is written. */
void http_server_close(struct http_server *);
unsigned int http_server_in_flight(const struct http_server *);
/** Header of a request or null; lives as long as the connection. */
const char *http_call_header(
    const struct http_call *, const char *name, char *out, size_t size);
/** Host that the request is for, without a port. */
void http_call_host(const struct http_call *, char *out, size_t size);
/** Add a header to the answer. */
void http_call_add(struct http_call *, const char *name, const char *value);
/** Send the answer and end the call. */
void http_call_answer(struct http_call *, unsigned int status, const char *type,
    const char *body, size_t len);

#endif
