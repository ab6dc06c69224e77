/**
 * @file flow_state.c
 * Stored form of the state of a flow.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "crash.h"
#include "state.h"

/** Maximum size, in XDR units of 4 bytes, of the fields at the end of each type
 * that rows of older versions may lack. */
#define STATE_ADDED_UNITS 5
#define FLOW_ADDED_UNITS 4

/** Adds which tasks of a step are done. */
static void
step_done_fill(
    const struct pool_step *step, uint32_t number, gb_flow_state *state)
{
	gb_body *bits = &state->done.done_val[number];
	uint32_t i;

	bits->gb_body_len = (step->spec->count + 7) / 8;
	bits->gb_body_val = gb_calloc(1, bits->gb_body_len);
	for (i = 0; i < step->spec->count; i++) {
		if (step->tasks[i].done)
			bits->gb_body_val[i / 8] |= (char)(1 << (i % 8));
	}
}

/** Whether the failures of a task must be stored.  Those of a gang are counted
 * at its first task. */
static bool
task_has_failures(const struct pool_step *step, const struct pool_task *task)
{
	bool gang = (step->spec->flags & GB_STEP_GANG) != 0;

	return task->failures > 0 &&
	       (gang ? step->done < step->spec->count : !task->done);
}

static size_t
flow_failures_bytes(const struct pool_flow *flow)
{
	size_t bytes = 0;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < flow->step_count; i++) {
		const struct pool_step *step = &flow->steps[i];

		for (j = 0; j < step->spec->count; j++) {
			if (task_has_failures(step, &step->tasks[j]))
				bytes +=
				    pool_state_task_bytes(&step->tasks[j], "");
		}
	}
	return bytes;
}

/** What the optional entries of a state may take. */
struct state_room {
	size_t left;	   /**< bytes */
	uint32_t left_out; /**< entries that don't fit */
};

static bool
room_take(struct state_room *room, size_t bytes)
{
	if (bytes > room->left) {
		room->left_out++;
		return false;
	}
	room->left -= bytes;
	return true;
}

/** Adds the failures of a task, which are always stored, and its checkpoint if
 * it fits and programs of older versions can read it. */
static void
task_state_fill(const struct pool_step *step, uint32_t number, uint32_t index,
    struct state_room *room, gb_flow_state *state)
{
	const struct pool_task *task = &step->tasks[index];
	bool failed = task_has_failures(step, task);
	const char *checkpoint =
	    task->checkpoint == NULL || task->done ? "" : task->checkpoint;
	gb_task_state *out;

	if (strlen(checkpoint) > GB_NAME_MAX) {
		room->left_out++;
		checkpoint = "";
	}
	if (checkpoint[0] != '\0' &&
	    !room_take(
		room, pool_state_task_bytes(task, checkpoint) -
			  (failed ? pool_state_task_bytes(task, "") : 0)))
		checkpoint = "";
	if (!failed && checkpoint[0] == '\0')
		return;
	out = &state->tasks.tasks_val[state->tasks.tasks_len++];
	out->step = number;
	out->index = index;
	out->checkpoint = gb_strdup(checkpoint);
	out->failed_runs.failed_runs_len = task->failures;
	out->failed_runs.failed_runs_val =
	    gb_calloc(task->failures, sizeof(uint64_t));
	if (task->failures > 0)
		memcpy(out->failed_runs.failed_runs_val, task->failed_runs,
		    task->failures * sizeof(uint64_t));
}

/** Adds the crash suspects of a step, or its other planned starts, as long as
 * they fit. */
static void
step_crashes_fill(const struct pool_step *step, uint32_t number, bool suspects,
    struct state_room *room, gb_flow_state *state)
{
	uint32_t i;

	for (i = 0; step->suspects + step->plans > 0 && i < step->spec->count;
	     i++) {
		gb_task_crashes entry = {0};

		if (!pool_crash_needs_store(&step->tasks[i]) ||
		    (step->tasks[i].suspect != NULL) != suspects)
			continue;
		entry.step = number;
		entry.index = i;
		pool_crash_fill(&step->tasks[i], &entry);
		if (!room_take(room, pool_state_crashes_bytes(&entry))) {
			xdr_free(
			    (xdrproc_t)xdr_gb_task_crashes, (char *)&entry);
			continue;
		}
		state->crashes.crashes_val[state->crashes.crashes_len++] =
		    entry;
		pool_crash_fill_incarnations(&step->tasks[i], state);
	}
}

/** Adds what the state may lack if it doesn't fit. */
static void
state_fill_optional(const struct gb_pool *pool, const struct pool_flow *flow,
    gb_flow_state *state)
{
	size_t needed = xdr_sizeof((xdrproc_t)xdr_gb_flow_state, state) +
			flow_failures_bytes(flow);
	struct state_room room = {0};
	uint32_t i;
	uint32_t j;

	if (needed < POOL_STATE_BYTES_MAX)
		room.left = POOL_STATE_BYTES_MAX - needed;
	for (i = 0; i < 2 * flow->step_count; i++)
		step_crashes_fill(&flow->steps[i % flow->step_count],
		    i % flow->step_count, i < flow->step_count, &room, state);
	for (i = 0; i < flow->step_count; i++) {
		for (j = 0; j < flow->steps[i].spec->count; j++)
			task_state_fill(&flow->steps[i], i, j, &room, state);
	}
	if (room.left_out > 0)
		gb_event(pool->cfg.events, GB_EVENT_NORMAL,
		    "flow_state_shortened", "{s:s, s:I, s:I}", "flow",
		    flow->spec.id, "left_out", (json_int_t)room.left_out,
		    "needed", (json_int_t)needed);
}

/** Adds the tasks of a flow with start orders that may still be carried out. */
static void
late_starts_fill(const struct gb_pool *pool, const struct pool_flow *flow,
    uint32_t tasks, gb_flow_state *state)
{
	gb_task_ref *out;
	uint32_t i;
	uint32_t j;

	if (flow->runs == 0 && flow->late_until <= pool->now)
		return;
	state->late_starts.late_starts_val =
	    gb_calloc(tasks, sizeof(gb_task_ref));
	for (i = 0; i < flow->step_count; i++) {
		for (j = 0; j < flow->steps[i].spec->count; j++) {
			if (!pool_late_task_recorded(
				pool, &flow->steps[i].tasks[j]))
				continue;
			out = &state->late_starts.late_starts_val
				   [state->late_starts.late_starts_len++];
			out->step = i;
			out->index = j;
		}
	}
}

static bool
late_starts_load(
    struct gb_pool *pool, struct pool_flow *flow, const gb_flow_state *state)
{
	u_int i;

	for (i = 0; i < state->late_starts.late_starts_len; i++) {
		const gb_task_ref *ref = &state->late_starts.late_starts_val[i];

		if (ref->step >= flow->step_count ||
		    ref->index >= flow->steps[ref->step].spec->count)
			return false;
		pool_late_load(
		    pool, flow, ref->step, ref->index, POOL_LATE_UNRESOLVED);
	}
	return true;
}

void
pool_flow_state_fill(const struct gb_pool *pool, const struct pool_flow *flow,
    gb_flow_state *state)
{
	uint32_t tasks = 0;
	size_t suspects = 0;
	uint32_t i;

	memset(state, 0, sizeof(*state));
	state->status = flow->status;
	state->cancelled = flow->cancelled;
	state->owned = true;
	state->org = gb_strdup(flow->spec.org);
	if (flow->status >= GB_FLOW_SUCCEEDED)
		return;
	for (i = 0; i < flow->step_count; i++) {
		tasks += flow->steps[i].spec->count;
		suspects += flow->steps[i].suspects + flow->steps[i].plans;
	}
	state->tasks.tasks_val = gb_calloc(tasks, sizeof(gb_task_state));
	state->crashes.crashes_val =
	    gb_calloc(suspects, sizeof(gb_task_crashes));
	state->done.done_val = gb_calloc(flow->step_count, sizeof(gb_body));
	state->done.done_len = flow->step_count;
	for (i = 0; i < flow->step_count; i++)
		step_done_fill(&flow->steps[i], i, state);
	late_starts_fill(pool, flow, tasks, state);
	pool_announce_fill(pool, flow, tasks, state);
	state_fill_optional(pool, flow, state);
}

bool
gb_flow_state_decode(const gb_body *row, gb_flow_state *state)
{
	return gb_xdr_decode_older((xdrproc_t)xdr_gb_flow_state, row, state,
	    sizeof(*state), STATE_ADDED_UNITS);
}

bool
gb_flow_decode(const gb_body *row, gb_flow_row *flow)
{
	return gb_xdr_decode_older((xdrproc_t)xdr_gb_flow_row, row, flow,
	    sizeof(*flow), FLOW_ADDED_UNITS);
}

void
pool_flow_state_clear(gb_flow_state *state)
{
	xdr_free((xdrproc_t)xdr_gb_flow_state, (char *)state);
}

void
pool_task_set_checkpoint(struct pool_task *task, const char *checkpoint)
{
	free(task->checkpoint);
	task->checkpoint = gb_strdup(checkpoint);
}

static bool
step_load(struct pool_step *step, const gb_body *bits)
{
	uint32_t i;

	if (bits->gb_body_len < (step->spec->count + 7) / 8)
		return false;
	for (i = 0; i < step->spec->count; i++) {
		if ((bits->gb_body_val[i / 8] & (1 << (i % 8))) == 0)
			continue;
		step->tasks[i].done = true;
		step->done++;
	}
	return true;
}

bool
pool_task_count_failed_run(struct pool_task *task, uint64_t run)
{
	uint32_t i;

	for (i = 0; i < task->failures; i++) {
		if (task->failed_runs[i] == run)
			return false;
	}
	if (task->failures >= GB_ATTEMPTS_MAX)
		return false;
	task->failed_runs = gb_realloc(
	    task->failed_runs, (task->failures + 1) * sizeof(uint64_t));
	task->failed_runs[task->failures++] = run;
	return true;
}

static void
task_load(struct pool_task *task, const gb_task_state *state)
{
	u_int i;

	for (i = 0; i < state->failed_runs.failed_runs_len; i++)
		pool_task_count_failed_run(
		    task, state->failed_runs.failed_runs_val[i]);
	if (state->checkpoint[0] != '\0')
		pool_task_set_checkpoint(task, state->checkpoint);
}

/** Marks the steps that no earlier owner has started. A step is started only
 * once the ends of the steps before it are stored, so a step that is not ready
 * by the stored state was never started. */
static void
flow_mark_unstarted_steps(struct pool_flow *flow)
{
	uint32_t i;
	uint32_t j;

	for (i = 0; i < flow->step_count; i++) {
		const gb_step *spec = flow->steps[i].spec;

		for (j = 0; j < spec->after.after_len; j++) {
			const struct pool_step *before =
			    &flow->steps[spec->after.after_val[j]];

			if (before->done < before->spec->count)
				flow->steps[i].not_started_before = true;
		}
	}
}

/** Whether a worker has certainly started a task that was lost with workers. */
static bool
crashes_show_start(const gb_task_crashes *stored)
{
	u_int i;

	for (i = 0; i < stored->unreachable.unreachable_len; i++) {
		if (stored->unreachable.unreachable_val[i].begun)
			return true;
	}
	return stored->confirmed > 0;
}

static bool
flow_crashes_load(
    struct gb_pool *pool, struct pool_flow *flow, const gb_flow_state *state)
{
	const int64_t *incarnations =
	    state->worker_incarnations.worker_incarnations_val;
	u_int remaining = state->worker_incarnations.worker_incarnations_len;
	uint32_t i;

	for (i = 0; i < state->crashes.crashes_len; i++) {
		const gb_task_crashes *stored = &state->crashes.crashes_val[i];
		u_int known = stored->unreachable.unreachable_len < remaining
				  ? stored->unreachable.unreachable_len
				  : remaining;

		if (stored->step >= flow->step_count ||
		    stored->index >= flow->steps[stored->step].spec->count)
			return false;
		pool_crash_load(pool, flow, stored, incarnations, known);
		incarnations += known;
		remaining -= known;
		flow->begun = flow->begun || crashes_show_start(stored);
	}
	return true;
}

bool
pool_flow_load(
    struct gb_pool *pool, struct pool_flow *flow, const gb_flow_state *state)
{
	const gb_task_state *task;
	uint32_t i;

	flow->created = true;
	flow->cancelled = state->cancelled;
	flow->status = state->status;
	flow->stored = flow->change;
	/* A flow that a node stored without the owner, and that no owner has
	 * accepted since, was not started. */
	flow->not_started_before = !state->owned;
	flow->owned = state->owned;
	/* Tasks that wait since an earlier owner are announced as they start.
	 */
	if (flow->owned)
		flow->announce_until = 0;
	if (state->status >= GB_FLOW_SUCCEEDED)
		return true;
	if (state->done.done_len != 0 &&
	    state->done.done_len != flow->step_count)
		return false;
	for (i = 0; i < state->done.done_len; i++) {
		if (!step_load(&flow->steps[i], &state->done.done_val[i]))
			return false;
		flow->begun = flow->begun || flow->steps[i].done > 0;
	}
	flow_mark_unstarted_steps(flow);
	for (i = 0; i < state->tasks.tasks_len; i++) {
		task = &state->tasks.tasks_val[i];
		if (task->step >= flow->step_count ||
		    task->index >= flow->steps[task->step].spec->count)
			return false;
		task_load(&flow->steps[task->step].tasks[task->index], task);
		flow->begun = true;
	}
	return flow_crashes_load(pool, flow, state) &&
	       late_starts_load(pool, flow, state) &&
	       pool_announce_load(pool, flow, state);
}
