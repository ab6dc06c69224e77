/**
 * @file flow_size.c
 * Memory that an open flow takes.  It is worked out from what was submitted, so
 * that every owner and every node gets the same for a flow.
 */
#include <string.h>

#include "state.h"

/** Overhead of an allocation. */
#define BLOCK_BYTES 16

static size_t
text_bytes(const char *text)
{
	return BLOCK_BYTES + strlen(text) + 1;
}

static size_t
step_bytes(const gb_step *step)
{
	return sizeof(gb_step) + sizeof(struct pool_step) +
	       text_bytes(step->label) + text_bytes(step->rack) + BLOCK_BYTES +
	       step->after.after_len * sizeof(uint32_t) + BLOCK_BYTES +
	       step->count * sizeof(struct pool_task);
}

size_t
gb_flow_bytes(const gb_flow *flow)
{
	size_t bytes = sizeof(struct pool_flow) + BLOCK_BYTES +
		       text_bytes(flow->id) + text_bytes(flow->queue) +
		       text_bytes(flow->service) + text_bytes(flow->spec) +
		       text_bytes(flow->org);
	u_int i;

	for (i = 0; i < flow->steps.steps_len; i++)
		bytes += step_bytes(&flow->steps.steps_val[i]);
	return bytes;
}
