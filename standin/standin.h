/**
 * @file standin.h
 * Shared code of the stand-in programs: replies that are delayed.
 */
#ifndef STANDIN_H
#define STANDIN_H

#include <uv.h>

#include "gooseberry.h"

/** A reply that is sent after a delay. */
struct standin_reply {
	uv_timer_t timer;
	struct gb_rpc_call *call;
	uint32_t proc;
	void *res;
	void (*before)(struct standin_reply *); /**< called before sending */
	void *data;				/**< for `before` */
	uint64_t owner; /**< owner of the request, set by the caller */
	uint64_t rid;	/**< id of the request, set by the caller */
};

/** Send a result after a delay in milliseconds.  Takes ownership of the result;
 * `before` may be null. */
struct standin_reply *standin_reply_later(uv_loop_t *, struct gb_rpc_call *,
    uint32_t proc, void *res, uint64_t delay_ms,
    void (*before)(struct standin_reply *), void *data);
/** Reply to a fault command; frees the body. */
void standin_answer(
    struct gb_rpc_call *, unsigned int status, struct gb_text *body);

#endif
