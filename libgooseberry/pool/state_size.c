/**
 * @file state_size.c
 * Size of the stored state of a flow, which must fit a row of the store in
 * whatever state the flow is later.
 *
 * The state has a part of fixed size, and entries for single tasks: for those
 * that have failed, those with a start that may still be carried out, and those
 * whose start is announced.  These are needed for the promises to callers, so
 * only so many tasks of a large flow are open at a time, running or to be tried
 * again, that the entries of all of them fit.  Checkpoints and evidence of
 * crashes may be left out: they only save work.
 */
#include <string.h>

#include "state.h"

/** Encoded size of a string or an opaque field of that many bytes. */
#define XDR_BYTES(len) (4 + ((size_t)(len) + 3) / 4 * 4)
/** Fields of gb_flow_state other than the bits of done tasks and the name of
 * the organisation: three scalars and the lengths of six lists. */
#define STATE_FIELDS_BYTES 36
/** Entry of a task, without its failed runs and checkpoint. */
#define TASK_BYTES 16
#define FAILED_RUN_BYTES 8
/** Larger of the entries for a late and for an announced start. */
#define START_BYTES 20

/** Size of the entry of a task that has failed as often as it may before its
 * flow fails. */
static size_t
task_bytes_max(uint32_t attempts)
{
	return TASK_BYTES + FAILED_RUN_BYTES * (size_t)(attempts - 1);
}

/** Size of what doesn't depend on single tasks; includes all gangs, whose
 * members are open together. */
static size_t
flow_fixed_bytes(const gb_flow *flow, uint32_t attempts)
{
	size_t bytes = STATE_FIELDS_BYTES + XDR_BYTES(GB_NAME_MAX);
	u_int i;

	for (i = 0; i < flow->steps.steps_len; i++) {
		const gb_step *step = &flow->steps.steps_val[i];

		bytes += XDR_BYTES((step->count + 7) / 8);
		if ((step->flags & GB_STEP_GANG) != 0)
			bytes += task_bytes_max(attempts) +
				 START_BYTES * (size_t)step->count;
	}
	return bytes + POOL_ANNOUNCED_BYTES_MAX;
}

uint32_t
pool_state_open_tasks_max(const gb_flow *flow, uint32_t attempts)
{
	size_t fixed = flow_fixed_bytes(flow, attempts);

	if (fixed >= POOL_STATE_BYTES_MAX)
		return 0;
	return (uint32_t)((POOL_STATE_BYTES_MAX - fixed) /
			  (task_bytes_max(attempts) + START_BYTES));
}

size_t
pool_state_task_bytes(const struct pool_task *task, const char *checkpoint)
{
	return TASK_BYTES + FAILED_RUN_BYTES * (size_t)task->failures +
	       XDR_BYTES(strlen(checkpoint)) - XDR_BYTES(0);
}

size_t
pool_state_crashes_bytes(const gb_task_crashes *crashes)
{
	const gb_unreachable_worker *workers =
	    crashes->unreachable.unreachable_val;
	size_t bytes = 8 * 4;
	u_int i;

	/* The worker's name, four flags and its incarnation. */
	for (i = 0; i < crashes->unreachable.unreachable_len; i++)
		bytes += XDR_BYTES(strlen(workers[i].worker)) + 4 * 4 + 8;
	return bytes;
}
