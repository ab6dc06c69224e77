/**
 * @file entry.h
 * State of an entry, shared by its process and its relays.
 */
#ifndef GB_ENTRY_H
#define GB_ENTRY_H

#include <uv.h>

#include "connection/http.h"
#include "gooseberry.h"

#define RETRY_AFTER_MS 200

struct gb_entry {
	uv_loop_t *loop;
	uv_timer_t view_timer;
	uv_timer_t stop_timer;
	struct gb_env env;
	struct gb_entry_settings settings;
	struct http_server *http;
	struct gb_rpc_pool *pool;
	struct gb_route *route;
	struct gb_retry retry;
	uint64_t seed;
	unsigned int view_next; /**< which scheduler is asked next */
	bool view_pending;
	gb_time view_received;
	gb_time accept_until; /**< a leaving entry accepts until then */
	void (*stopped)(void *);
	void *stopped_data;
	uint64_t requests, commands, refused, retries, hedges, unauthorized;
	struct gb_histogram request_us;
};

/** A caller's request or command on its way through. */
struct relay {
	struct gb_entry *entry;
	struct http_call *call;
	uint32_t proc;
	union {
		gb_request request;
		gb_command command;
	} arg;
	uint32_t shard;
	bool any_shard; /**< a command that every scheduler can serve */
	bool gather;	/**< a list that every shard has a part of */
	struct gb_text list;
	unsigned int tries;
	unsigned int refs; /**< tries that are out, timers, and its own */
	bool maybe;	   /**< an earlier try may have run */
	bool ended;	   /**< the caller has its answer */
	bool hedged;
	gb_time started;
	gb_time deadline;
	char parent[GB_TRACE_MAX];
	char own[GB_TRACE_MAX];
};

/* relay.c */
struct relay *relay_new(struct gb_entry *, struct http_call *, uint32_t proc);
/** Send it on; the caller gets exactly one answer. */
void relay_start(struct relay *);
void relay_refuse(struct relay *, gb_verdict, unsigned int status,
    unsigned int retry_ms, const char *reason);
/** Answer a call with problem details. */
void relay_problem(struct http_call *, unsigned int status, gb_verdict,
    unsigned int retry_ms, const char *detail);

#endif
