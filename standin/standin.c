/**
 * @file standin.c
 * Shared code of the stand-in programs.
 */
#include <stdlib.h>

#include "standin.h"

static void
reply_closed(uv_handle_t *handle)
{
	free(handle);
}

static void
reply_fire(uv_timer_t *timer)
{
	struct standin_reply *reply = (struct standin_reply *)timer;

	if (reply->before != NULL)
		reply->before(reply);
	gb_rpc_call_reply(reply->call, reply->res);
	xdr_free(gb_rpc_methods[reply->proc].res, reply->res);
	free(reply->res);
	uv_close((uv_handle_t *)timer, reply_closed);
}

struct standin_reply *
standin_reply_later(uv_loop_t *loop, struct gb_rpc_call *call, uint32_t proc,
    void *res, uint64_t delay_ms, void (*before)(struct standin_reply *),
    void *data)
{
	struct standin_reply *reply = gb_calloc(1, sizeof(*reply));

	uv_timer_init(loop, &reply->timer);
	reply->call = call;
	reply->proc = proc;
	reply->res = res;
	reply->before = before;
	reply->data = data;
	uv_timer_start(&reply->timer, reply_fire, delay_ms, 0);
	return reply;
}

void
standin_answer(
    struct gb_rpc_call *call, unsigned int status, struct gb_text *body)
{
	gb_answer answer = {.verdict = GB_RUN, .status = status, .reason = ""};

	answer.body.gb_body_val = body->data;
	answer.body.gb_body_len = (u_int)body->len;
	gb_rpc_call_reply(call, &answer);
	gb_text_free(body);
}
