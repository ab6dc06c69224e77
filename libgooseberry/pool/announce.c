/**
 * @file announce.c
 * Announcements: the stored state of a flow names the tasks whose first start
 * order may be sent, before it is sent.
 *
 * An owner that dies right after a first order can't record that the order got
 * no answer, and a copy of it may be carried out seconds later by the next
 * incarnation of the worker (see late_start.c).  Its successor therefore starts
 * an announced task elsewhere only once no copy can come any more, unless a
 * worker lists the run: then the only order was carried out.
 *
 * An announcement allows one order.  It is part of the write that accepts a
 * flow or stores the end of the step before, so that a task that finds capacity
 * at once waits for no write of its own.  It is withdrawn from tasks that find
 * none, or a successor would hold back a whole backlog.  As many waiting tasks
 * as are expected to find capacity while a write is in flight are announced
 * ahead, in the order in which they will start.
 */
#include <math.h>

#include "state.h"

/** Time for which the tasks of a new flow, or of a step that has become ready,
 * are announced if no dispatch decides about them before: writes take longer
 * while the store is slow. */
#define ANNOUNCE_TIME (2 * GB_SEC)
/** Time between the request of an announcement and its write, and between its
 * answer and the next dispatch, at most. */
#define ANNOUNCE_DELAY (60 * GB_MSEC)
/** Interval at which the rate of ended runs is measured. */
#define ANNOUNCE_RATE_INTERVAL (500 * GB_MSEC)
/** Weight of a new measurement in a smoothed one. */
#define ANNOUNCE_SMOOTHING 0.3
/** A step is withdrawn if this many times the tasks that are announced ahead
 * wait before it, so that a step at the limit is not announced and withdrawn in
 * turn. */
#define ANNOUNCE_WITHDRAW_RATIO 2

/** Ranges of tasks without a run that the state of a flow announces. */
#define ANNOUNCED_RANGES_MAX (POOL_ANNOUNCED_BYTES_MAX / ANNOUNCED_BYTES)
#define ANNOUNCED_BYTES 20 /**< encoded size of a range */

/** Whether a copy of an order for a step would do harm if another incarnation
 * than the one that it was sent to carried it out.  Runs of a speculative step
 * may overlap, and a ticket is valid for one incarnation. */
static bool
step_needs_announcements(
    const struct pool_flow *flow, const struct pool_step *step)
{
	return (step->spec->flags & GB_STEP_SPECULATIVE) == 0 &&
	       !POOL_ADVICE_NEEDED(flow);
}

void
pool_announce_allow(const struct gb_pool *pool, struct pool_flow *flow)
{
	flow->announce_until = pool->now + ANNOUNCE_TIME;
}

bool
pool_announce_request(struct gb_pool *pool, struct pool_flow *flow)
{
	pool_announce_allow(pool, flow);
	if (flow->announce_change > flow->stored)
		return false;
	pool_flow_changed(pool, flow, true);
	flow->announce_change = flow->change;
	pool->stats.announcements++;
	return true;
}

bool
pool_announce_missing(const struct pool_flow *flow,
    const struct pool_step *step, uint32_t index,
    const struct pool_worker *worker)
{
	const struct pool_task *task = &step->tasks[index];

	return pool_worker_reuses_id(worker) &&
	       step_needs_announcements(flow, step) &&
	       (task->announced == 0 || flow->stored < task->announced);
}

void
pool_announce_used(struct pool_flow *flow, struct pool_task *task)
{
	if (task->announced == 0)
		return;
	task->announced = 0;
	flow->announced--;
}

/* Writing ----------------------------------------------------------------- */

/** Whether the steps before a step are done, by the state to be written. */
static bool
step_follows_done(const struct pool_flow *flow, const struct pool_step *step)
{
	uint32_t i;

	for (i = 0; i < step->spec->after.after_len; i++) {
		const struct pool_step *before =
		    &flow->steps[step->spec->after.after_val[i]];

		if (before->done < before->spec->count)
			return false;
	}
	return true;
}

/** Whether tasks of a step may be announced with the next write. */
static bool
step_may_announce(const struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_step *step)
{
	return pool->worker_ids_reused && pool->phase == POOL_OWNER_ACTIVE &&
	       flow->announce_until > pool->now && !flow->cancelled &&
	       flow->status < GB_FLOW_SUCCEEDED &&
	       step_needs_announcements(flow, step) &&
	       step_follows_done(flow, step);
}

/** Announces the start of a task that has no run. */
static void
task_announce(
    struct gb_pool *pool, struct pool_flow *flow, struct pool_task *task)
{
	if (task->announced != 0)
		return;
	/* A number that is stored already would count as announced. */
	if (flow->change <= flow->stored)
		pool_flow_changed(pool, flow, false);
	task->announced = flow->change;
	flow->announced++;
}

void
pool_announce_update(struct gb_pool *pool, struct pool_flow *flow)
{
	const struct pool_task *last = NULL;
	uint32_t ranges = 0;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < flow->step_count; i++) {
		struct pool_step *step = &flow->steps[i];
		bool may_announce = step_may_announce(pool, flow, step);

		if (!may_announce && flow->announced == 0)
			continue;
		for (j = 0; j < step->spec->count; j++) {
			struct pool_task *task = &step->tasks[j];

			if (!may_announce || task->done ||
			    !TAILQ_EMPTY(&task->runs) ||
			    task->late_until > pool->now ||
			    ranges == ANNOUNCED_RANGES_MAX) {
				pool_announce_used(flow, task);
				continue;
			}
			ranges += j == 0 || task - 1 != last;
			last = task;
			task_announce(pool, flow, task);
		}
	}
}

/** Returns the lowest number of a run of a task whose only order may be in
 * flight once the state is stored: the order was sent by this owner, or perhaps
 * by an earlier one, or may be sent.  0: there is none, or the task is recorded
 * as one with late starts. */
static uint64_t
task_announced_run(const struct gb_pool *pool, const struct pool_step *step,
    const struct pool_task *task)
{
	const struct pool_run *run = TAILQ_FIRST(&task->runs);

	if (task->done || pool_late_task_recorded(pool, task))
		return 0;
	if (task->late_until > pool->now)
		return task->late_resolved_by;
	if (run != NULL)
		return pool_late_run_until(run) > pool->now ? run->number : 0;
	return task->announced != 0 ? pool_step_next_run(pool, step) : 0;
}

/** Adds a task to the last range, or as a new one. */
static void
announcement_add(
    gb_flow_state *state, uint32_t step, uint32_t index, uint64_t run)
{
	gb_announcement *next =
	    &state->announced.announced_val[state->announced.announced_len];
	gb_announcement *last = next - 1;

	if (state->announced.announced_len > 0 && last->step == step &&
	    last->run == run && last->first + last->count == index) {
		last->count++;
		return;
	}
	next->step = step;
	next->first = index;
	next->count = 1;
	next->run = run;
	state->announced.announced_len++;
}

void
pool_announce_fill(const struct gb_pool *pool, const struct pool_flow *flow,
    uint32_t tasks, gb_flow_state *state)
{
	uint32_t i;
	uint32_t j;

	if (flow->announced == 0 && flow->runs == 0 &&
	    flow->late_until <= pool->now)
		return;
	state->announced.announced_val =
	    gb_calloc(tasks, sizeof(gb_announcement));
	for (i = 0; i < flow->step_count; i++) {
		const struct pool_step *step = &flow->steps[i];

		for (j = 0; j < step->spec->count; j++) {
			uint64_t run =
			    task_announced_run(pool, step, &step->tasks[j]);

			if (run != 0)
				announcement_add(state, i, j, run);
		}
	}
}

/* Loading ----------------------------------------------------------------- */

bool
pool_announce_load(
    struct gb_pool *pool, struct pool_flow *flow, const gb_flow_state *state)
{
	u_int i;
	uint32_t j;

	for (i = 0; i < state->announced.announced_len; i++) {
		const gb_announcement *stored =
		    &state->announced.announced_val[i];

		if (stored->step >= flow->step_count ||
		    stored->first > flow->steps[stored->step].spec->count ||
		    stored->count >
			flow->steps[stored->step].spec->count - stored->first)
			return false;
		for (j = 0; j < stored->count; j++)
			pool_late_load(pool, flow, stored->step,
			    stored->first + j, stored->run);
	}
	return true;
}

/* Waiting tasks ----------------------------------------------------------- */

void
pool_announce_write_done(struct gb_pool *pool, gb_time duration)
{
	pool->write_us +=
	    ANNOUNCE_SMOOTHING * ((double)duration - pool->write_us);
}

void
pool_announce_begin_dispatch(struct gb_pool *pool)
{
	gb_time passed = pool->now - pool->ends_measured_at;
	double rate;

	if (passed >= ANNOUNCE_RATE_INTERVAL) {
		rate =
		    (double)pool->ends_since * (double)GB_SEC / (double)passed;
		pool->ends_per_s +=
		    ANNOUNCE_SMOOTHING * (rate - pool->ends_per_s);
		pool->ends_since = 0;
		pool->ends_measured_at = pool->now;
	}
	pool->announce_waiting = 0;
	pool->announce_ahead = (uint32_t)ceil(
	    pool->ends_per_s * (pool->write_us + (double)ANNOUNCE_DELAY) /
	    (double)GB_SEC);
}

/** Queues a write that withdraws announcements. */
static void
flow_withdraw(struct gb_pool *pool, struct pool_flow *flow)
{
	if (flow->announced > 0 && !flow->dirty)
		pool_flow_changed(pool, flow, false);
}

void
pool_announce_waiting(struct gb_pool *pool, struct pool_flow *flow,
    struct pool_step *step, bool full)
{
	uint32_t before = pool->announce_waiting;
	uint32_t waiting;

	if (!pool->worker_ids_reused || !step_needs_announcements(flow, step))
		return;
	waiting = pool_flow_startable_count(pool, flow, step);
	pool->announce_waiting += waiting;
	if (waiting == 0 || flow->announce_change > flow->stored)
		return;
	if (before < pool->announce_ahead) {
		pool_announce_allow(pool, flow);
		if (flow->announced < waiting)
			pool_announce_request(pool, flow);
	} else if (full &&
		   before >= pool->announce_ahead * ANNOUNCE_WITHDRAW_RATIO) {
		flow->announce_until = 0;
		flow_withdraw(pool, flow);
	}
}

void
pool_announce_withdraw_all(struct gb_pool *pool)
{
	struct pool_flow *flow;

	TAILQ_FOREACH(flow, &pool->open, open_next)
	{
		flow_withdraw(pool, flow);
	}
}
