/**
 * @file entry.h
 * State of an entry process and of the calls that it relays to schedulers.
 */
#ifndef GB_ENTRY_H
#define GB_ENTRY_H

#include <uv.h>

#include "connection/http.h"
#include "gooseberry.h"

/** Delay after which a caller may retry a call that the entry refused. */
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
	/** Number of failed calls for a view.  It selects the scheduler to ask
	 * next: the configured ones in turn, then one of the last view. */
	unsigned int view_next;
	bool view_pending;     /**< a view has been asked for */
	gb_time view_received; /**< time at which the last view arrived */
	/** Time until which a leaving entry accepts new connections. */
	gb_time accept_until;
	void (*stopped)(void *);
	void *stopped_data;
	uint64_t requests, commands, refused, retries, hedges, unauthorized;
	struct gb_histogram request_us;
};

/** A caller's request or command that is being relayed to a scheduler. */
struct relay {
	struct gb_entry *entry;
	struct http_call *call;
	uint32_t proc; /**< GB_PROC_REQUEST or GB_PROC_COMMAND */
	union {
		gb_request request;
		gb_command command;
	} arg;
	uint32_t shard;	     /**< shard that it is sent to */
	bool any_sched;	     /**< a command that every scheduler can serve */
	bool gather;	     /**< a list of which every shard has a part */
	struct gb_text list; /**< parts of that list received so far */
	unsigned int tries;
	/** One for each try in flight and each timer, and one until the caller
	 * has been answered. */
	unsigned int refs;
	bool may_have_run; /**< an earlier try may have run */
	bool ended;	   /**< the caller has been answered */
	bool hedged;	   /**< not used */
	gb_time started;
	gb_time deadline;
	char parent[GB_TRACE_MAX]; /**< trace context of the caller */
	char own[GB_TRACE_MAX];	   /**< trace context of the span here */
};

/* relay.c */
struct relay *relay_new(struct gb_entry *, struct http_call *, uint32_t proc);
/** Send a call to a scheduler.  The caller gets exactly one answer. */
void relay_start(struct relay *);
/** Answer a call with problem details, and end it. */
void relay_refuse(struct relay *, gb_verdict, unsigned int status,
    unsigned int retry_ms, const char *reason);
/** Answer an HTTP call with problem details. */
void relay_problem(struct http_call *, unsigned int status, gb_verdict,
    unsigned int retry_ms, const char *detail);

#endif
