/**
 * @file call.c
 * Calls in flight, by their number.  An answer to a call of an earlier term of
 * ownership may no longer be true and is dropped.
 */
#include <stdlib.h>

#include "state.h"

struct pool_call *
pool_call_new(struct gb_pool *pool, enum pool_call_kind kind)
{
	struct pool_call *call = gb_calloc(1, sizeof(*call));

	call->id = ++pool->next_call;
	call->kind = kind;
	call->term = pool->term;
	call->sent = pool->now;
	call->worker = GB_NONE;
	HASH_ADD(hh, pool->calls, id, sizeof(call->id), call);
	return call;
}

struct pool_call *
pool_call_remove(struct gb_pool *pool, uint64_t id)
{
	struct pool_call *call;

	HASH_FIND(hh, pool->calls, &id, sizeof(id), call);
	if (call == NULL)
		return NULL;
	HASH_DEL(pool->calls, call);
	if (call->term == pool->term)
		return call;
	free(call);
	return NULL;
}

void
pool_call_clear_run(struct gb_pool *pool, uint64_t id)
{
	struct pool_call *call;

	if (id == 0)
		return;
	HASH_FIND(hh, pool->calls, &id, sizeof(id), call);
	if (call != NULL)
		call->run = NULL;
}
