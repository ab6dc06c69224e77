/**
 * @file flow.c
 * Flows: their steps and tasks, what has ended and what must be stored.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "crash.h"
#include "state.h"

/** A finished flow is removed this long after the time for which its state must
 * be answered, for late callers. */
#define FLOW_REMOVE_DELAY (30 * GB_SEC)

struct pool_flow *
pool_flow_find(struct gb_pool *pool, const char *id)
{
	struct pool_flow *flow;

	HASH_FIND_STR(pool->flows, id, flow);
	return flow;
}

static void
flow_steps_new(struct pool_flow *flow)
{
	uint32_t i;
	uint32_t j;

	flow->step_count = flow->spec.steps.steps_len;
	flow->steps = gb_calloc(flow->step_count, sizeof(*flow->steps));
	for (i = 0; i < flow->step_count; i++) {
		struct pool_step *step = &flow->steps[i];

		step->spec = &flow->spec.steps.steps_val[i];
		step->tasks =
		    gb_calloc(step->spec->count, sizeof(*step->tasks));
		for (j = 0; j < step->spec->count; j++)
			TAILQ_INIT(&step->tasks[j].runs);
	}
}

static void
task_free_fields(struct pool_task *task)
{
	free(task->checkpoint);
	free(task->failed_runs);
	free(task->suspect);
}

static void
flow_steps_free(struct pool_flow *flow)
{
	uint32_t i;
	uint32_t j;

	for (i = 0; i < flow->step_count; i++) {
		for (j = 0; j < flow->steps[i].spec->count; j++)
			task_free_fields(&flow->steps[i].tasks[j]);
		free(flow->steps[i].tasks);
		free(flow->steps[i].approved);
		free(flow->steps[i].asked);
		free(flow->steps[i].claims);
	}
	free(flow->steps);
	flow->steps = NULL;
	flow->step_count = 0;
}

static uint32_t
flow_max_attempts(const struct pool_flow *flow)
{
	uint32_t attempts = flow->queue == NULL ? flow->spec.max_attempts
						: flow->queue->max_attempts;

	return attempts == 0 ? 1 : attempts;
}

/** Works out how many tasks may be open at a time. */
static void
flow_limit_open_tasks(struct pool_flow *flow)
{
	uint32_t attempts = flow_max_attempts(flow);
	uint32_t tasks = 0;
	uint32_t i;

	for (i = 0; i < flow->step_count; i++) {
		if ((flow->steps[i].spec->flags & GB_STEP_GANG) == 0)
			tasks += flow->steps[i].spec->count;
	}
	if (attempts > GB_ATTEMPTS_MAX)
		attempts = GB_ATTEMPTS_MAX;
	flow->open_max = pool_state_open_tasks_max(&flow->spec, attempts);
	/* A flow that was accepted by an older version runs one by one. */
	if (flow->open_max == 0)
		flow->open_max = 1;
	flow->open_limited = tasks > flow->open_max;
}

void
pool_flow_configure(const struct gb_pool *pool, struct pool_flow *flow)
{
	flow->queue = gb_pool_config_queue(pool->config, flow->spec.queue);
	if (flow->queue != NULL)
		flow->advice = flow->queue->advice;
	flow_limit_open_tasks(flow);
}

/** Whether the state may need an entry for a task. */
static bool
task_is_open(const struct gb_pool *pool, const struct pool_task *task)
{
	return !task->done &&
	       (!TAILQ_EMPTY(&task->runs) || task->plan != NULL ||
		   task->failures > 0 || task->late_until > pool->now);
}

void
pool_flow_count_open_tasks(const struct gb_pool *pool, struct pool_flow *flow)
{
	uint32_t i;
	uint32_t j;

	flow->open_tasks = 0;
	for (i = 0; flow->open_limited && i < flow->step_count; i++) {
		const struct pool_step *step = &flow->steps[i];

		if ((step->spec->flags & GB_STEP_GANG) != 0)
			continue;
		for (j = 0; j < step->spec->count; j++)
			flow->open_tasks += task_is_open(pool, &step->tasks[j]);
	}
}

bool
pool_flow_may_open(const struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_step *step, const struct pool_task *task)
{
	return !flow->open_limited || (step->spec->flags & GB_STEP_GANG) != 0 ||
	       flow->open_tasks < flow->open_max || task_is_open(pool, task);
}

void
pool_flow_task_opens(const struct gb_pool *pool, struct pool_flow *flow,
    const struct pool_task *task)
{
	flow->open_tasks += !task_is_open(pool, task);
}

uint32_t
pool_flow_held_count(const struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_step *step)
{
	uint32_t room = flow->open_tasks < flow->open_max
			    ? flow->open_max - flow->open_tasks
			    : 0;
	uint32_t count = 0;
	uint32_t i;

	if (!flow->open_limited || (step->spec->flags & GB_STEP_GANG) != 0)
		return 0;
	for (i = 0; i < step->spec->count; i++)
		count += !step->tasks[i].done &&
			 !task_is_open(pool, &step->tasks[i]);
	return count > room ? count - room : 0;
}

static void
flow_count_open(struct gb_pool *pool, struct pool_flow *flow)
{
	TAILQ_INSERT_TAIL(&pool->open, flow, open_next);
	pool->open_count++;
	pool->open_bytes += flow->bytes;
}

static void
flow_count_closed(struct gb_pool *pool, struct pool_flow *flow)
{
	TAILQ_REMOVE(&pool->open, flow, open_next);
	pool->open_count--;
	pool->open_bytes -= flow->bytes;
}

struct pool_flow *
pool_flow_new(struct gb_pool *pool, gb_flow *spec)
{
	struct pool_flow *flow = gb_calloc(1, sizeof(*flow));
	gb_time age = pool->wall - spec->submitted_us;

	flow->spec = *spec;
	memset(spec, 0, sizeof(*spec));
	flow->bytes = gb_flow_bytes(&flow->spec);
	flow->partition = gb_pool_partition(flow->spec.id);
	STAILQ_INIT(&flow->waiters);
	flow_steps_new(flow);
	/* Clocks of nodes differ and jump: an impossible age counts as 0. */
	if (age < 0 || age > pool->cfg.limits.keep_us)
		age = 0;
	flow->submitted = pool->now - age;
	flow->change = 1;
	pool_announce_allow(pool, flow);
	pool_flow_configure(pool, flow);
	flow->org = pool_org_get(pool, flow->spec.org);
	HASH_ADD_KEYPTR(
	    hh, pool->flows, flow->spec.id, strlen(flow->spec.id), flow);
	flow_count_open(pool, flow);
	pool_backlog_flow_accepted(pool, flow);
	pool_rank_update_flow_size(pool, flow);
	return flow;
}

static void
flow_answer(struct gb_pool *pool, const struct pool_waiter *waiter,
    gb_flow_verdict verdict)
{
	gb_flow_answer answer = {0};

	answer.verdict = verdict;
	answer.status = waiter->status;
	pool->ops.answer(pool->ops.data, waiter->token, &answer);
}

void
pool_flow_loading_free(struct pool_flow *flow)
{
	if (flow->loading == NULL)
		return;
	pool_flow_state_clear(flow->loading);
	free(flow->loading);
	flow->loading = NULL;
}

void
pool_flow_free(struct gb_pool *pool, struct pool_flow *flow)
{
	struct pool_waiter *waiter;
	uint32_t i;
	uint32_t j;
	struct pool_run *run;

	while ((waiter = STAILQ_FIRST(&flow->waiters)) != NULL) {
		STAILQ_REMOVE_HEAD(&flow->waiters, next);
		/* The change may have been written, or may be written later. */
		flow_answer(pool, waiter, GB_FLOW_MAYBE);
		free(waiter);
	}
	for (i = 0; i < flow->step_count; i++) {
		pool_advice_claims_drop(pool, &flow->steps[i]);
		pool_crash_plans_drop(pool, &flow->steps[i]);
		for (j = 0; j < flow->steps[i].spec->count; j++) {
			while ((run = TAILQ_FIRST(
				    &flow->steps[i].tasks[j].runs)) != NULL)
				pool_run_free(pool, run, "dropped");
		}
	}
	if (!flow->closed)
		flow_count_closed(pool, flow);
	if (flow->dirty)
		TAILQ_REMOVE(
		    &pool->partitions[flow->partition].dirty, flow, dirty_next);
	if (flow->tombstone)
		pool_tombstone_remove(pool, flow);
	HASH_DEL(pool->flows, flow);
	pool_flow_loading_free(flow);
	flow_steps_free(flow);
	xdr_free((xdrproc_t)xdr_gb_flow, (char *)&flow->spec);
	free(flow);
}

void
pool_flow_changed(struct gb_pool *pool, struct pool_flow *flow, bool urgent)
{
	flow->change++;
	pool_writer_mark_dirty(pool, flow, urgent);
}

/* Waiting callers --------------------------------------------------------- */

void
pool_flow_wait(struct gb_pool *pool, struct pool_flow *flow, uint64_t token,
    uint64_t change, gb_flow_status status)
{
	struct pool_waiter *waiter = gb_calloc(1, sizeof(*waiter));

	waiter->token = token;
	waiter->change = change;
	waiter->status = status;
	if (flow->stored >= change) {
		flow_answer(pool, waiter, GB_FLOW_ACCEPTED);
		free(waiter);
		return;
	}
	STAILQ_INSERT_TAIL(&flow->waiters, waiter, next);
}

/** Sends an answer to all callers that wait for a flow. */
static void
flow_answer_all(
    struct gb_pool *pool, struct pool_flow *flow, const gb_flow_answer *answer)
{
	struct pool_waiter *waiter;

	while ((waiter = STAILQ_FIRST(&flow->waiters)) != NULL) {
		STAILQ_REMOVE_HEAD(&flow->waiters, next);
		pool->ops.answer(pool->ops.data, waiter->token, answer);
		free(waiter);
	}
}

void
pool_flow_reject(struct gb_pool *pool, struct pool_flow *flow, gb_time retry)
{
	gb_flow_answer answer = {0};

	answer.verdict = GB_FLOW_CANT_STORE;
	answer.retry_after_us = retry;
	pool->stats.refused++;
	gb_event(pool->cfg.events, GB_EVENT_NORMAL, "flow_refused",
	    "{s:s, s:s, s:s}", "flow", flow->spec.id, "queue", flow->spec.queue,
	    "why", "the store does not take writes");
	flow_answer_all(pool, flow, &answer);
	pool_flow_free(pool, flow);
}

/** Callers often ask between the end of the last task and the time at which it
 * is stored, 30 to 60 ms later. An answer that waits until then is final, so
 * that the caller need not wait for its next query. */
void
pool_flow_query(struct gb_pool *pool, struct pool_flow *flow, uint64_t token)
{
	struct pool_waiter *waiter = gb_calloc(1, sizeof(*waiter));
	gb_flow_status shown = pool_flow_visible_status(flow);

	waiter->token = token;
	waiter->change = flow->change;
	waiter->asks = true;
	if (flow->status < GB_FLOW_SUCCEEDED || shown == flow->status ||
	    pool_writer_unavailable(pool, flow->partition)) {
		waiter->status = shown;
		flow_answer(pool, waiter, GB_FLOW_ACCEPTED);
		free(waiter);
		return;
	}
	waiter->status = flow->status;
	STAILQ_INSERT_TAIL(&flow->waiters, waiter, next);
}

void
pool_flow_answer_queries(struct gb_pool *pool, struct pool_flow *flow)
{
	struct pool_waiter *waiter;
	struct pool_waiter *next;

	for (waiter = STAILQ_FIRST(&flow->waiters); waiter != NULL;
	     waiter = next) {
		next = STAILQ_NEXT(waiter, next);
		if (!waiter->asks)
			continue;
		STAILQ_REMOVE(&flow->waiters, waiter, pool_waiter, next);
		waiter->status = pool_flow_visible_status(flow);
		flow_answer(pool, waiter, GB_FLOW_ACCEPTED);
		free(waiter);
	}
}

/** Frees what was submitted, except the names. */
static void
flow_trim(struct pool_flow *flow)
{
	gb_flow submitted = flow->spec;

	memset(&flow->spec, 0, sizeof(flow->spec));
	flow->spec.id = submitted.id;
	flow->spec.queue = submitted.queue;
	flow->spec.org = submitted.org;
	submitted.id = NULL;
	submitted.queue = NULL;
	submitted.org = NULL;
	xdr_free((xdrproc_t)xdr_gb_flow, (char *)&submitted);
}

/** Frees all but the state and the names of a flow whose runs have ended and
 * whose state is stored. */
static void
flow_close(struct gb_pool *pool, struct pool_flow *flow)
{
	flow->closed = true;
	flow_count_closed(pool, flow);
	flow_steps_free(flow);
	flow_trim(flow);
	flow->queue = NULL;
	if (!flow->removed)
		pool_flow_changed(pool, flow, false);
}

void
pool_flow_close_loaded(struct gb_pool *pool, struct pool_flow *flow)
{
	flow->closed = true;
	flow->removed = true;
	flow->queue = NULL;
	flow_count_closed(pool, flow);
}

gb_time
pool_flow_expires_at(const struct gb_pool *pool, const struct pool_flow *flow)
{
	return flow->ended + pool->cfg.limits.keep_us + FLOW_REMOVE_DELAY;
}

void
pool_flow_stored(struct gb_pool *pool, struct pool_flow *flow, uint64_t change)
{
	struct pool_waiter *waiter;
	struct pool_waiter *next;

	if (flow->stored == 0 && !flow->tombstone)
		gb_histogram_add(
		    &pool->stats.accept_us, pool->now - flow->submitted);
	if (change > flow->stored)
		flow->stored = change;
	for (waiter = STAILQ_FIRST(&flow->waiters); waiter != NULL;
	     waiter = next) {
		next = STAILQ_NEXT(waiter, next);
		if (waiter->change > flow->stored)
			continue;
		STAILQ_REMOVE(&flow->waiters, waiter, pool_waiter, next);
		flow_answer(pool, waiter, GB_FLOW_ACCEPTED);
		free(waiter);
	}
	pool->work_changed = true;
}

gb_flow_status
pool_flow_visible_status(const struct pool_flow *flow)
{
	if (flow->status >= GB_FLOW_SUCCEEDED &&
	    (flow->closed || flow->stored >= flow->change))
		return flow->status;
	return flow->begun ? GB_FLOW_RUNNING : GB_FLOW_QUEUED;
}

/* Steps and tasks --------------------------------------------------------- */

static bool
step_is_stored(const struct pool_flow *flow, const struct pool_step *step)
{
	return step->done == step->spec->count &&
	       flow->stored >= step->done_change;
}

bool
pool_flow_step_ready(const struct pool_flow *flow, const struct pool_step *step)
{
	uint32_t i;

	if (flow->status >= GB_FLOW_SUCCEEDED || flow->cancelled ||
	    !flow->created || flow->stored == 0 || !flow->owned)
		return false;
	for (i = 0; i < step->spec->after.after_len; i++) {
		if (!step_is_stored(
			flow, &flow->steps[step->spec->after.after_val[i]]))
			return false;
	}
	return true;
}

uint32_t
pool_flow_unstarted_count(
    const struct pool_flow *flow, const struct pool_step *step)
{
	uint32_t begun = step->done + step->active_open;

	if (flow->status >= GB_FLOW_SUCCEEDED || flow->cancelled ||
	    begun >= step->spec->count)
		return 0;
	return step->spec->count - begun;
}

uint32_t
pool_flow_startable_count(const struct gb_pool *pool,
    const struct pool_flow *flow, const struct pool_step *step)
{
	uint32_t remaining = step->spec->count - step->done;
	uint32_t blocked;

	if (remaining == 0 || !pool_flow_step_ready(flow, step))
		return 0;
	if (!pool->partitions[flow->partition].reconciled &&
	    !flow->not_started_before && !step->not_started_before)
		return 0;
	if ((step->spec->flags & GB_STEP_GANG) != 0)
		return step->active > 0 ||
			       pool_start_blocked_count(pool, flow, step) > 0
			   ? 0
			   : remaining;
	/* Finished tasks may have a run that is still being stopped. */
	remaining =
	    remaining > step->active_open ? remaining - step->active_open : 0;
	blocked = pool_start_blocked_count(pool, flow, step) +
		  pool_flow_held_count(pool, flow, step);
	return remaining > blocked ? remaining - blocked : 0;
}

void
pool_flow_stop_step(struct gb_pool *pool, struct pool_flow *flow, uint32_t step,
    const struct pool_run *but, const char *why)
{
	struct pool_run *run;
	uint32_t i;

	for (i = 0; i < flow->steps[step].spec->count; i++) {
		TAILQ_FOREACH(run, &flow->steps[step].tasks[i].runs, of_task)
		{
			if (run != but)
				pool_run_stop(pool, run, why);
		}
	}
}

void
pool_flow_gang_broken(struct gb_pool *pool, struct pool_flow *flow,
    uint32_t step, const char *why)
{
	if ((flow->steps[step].spec->flags & GB_STEP_GANG) != 0 &&
	    flow->status < GB_FLOW_SUCCEEDED)
		pool_flow_stop_step(pool, flow, step, NULL, why);
}

static void
flow_finish(struct gb_pool *pool, struct pool_flow *flow, gb_flow_status status,
    const char *why)
{
	uint32_t i;

	flow->status = status;
	flow->ended = pool->now;
	pool_flow_changed(pool, flow, true);
	for (i = 0; i < flow->step_count; i++) {
		pool_advice_claims_drop(pool, &flow->steps[i]);
		pool_crash_plans_drop(pool, &flow->steps[i]);
		/* After success nothing is stopped: the members of a gang end
		 * with the first one that is done. */
		if (status != GB_FLOW_SUCCEEDED)
			pool_flow_stop_step(pool, flow, i, NULL, why);
	}
	if (status == GB_FLOW_SUCCEEDED)
		gb_histogram_add(
		    &pool->stats.finish_us, pool->now - flow->submitted);
	gb_event(pool->cfg.events, GB_EVENT_NORMAL, "flow_over",
	    "{s:s, s:s, s:s, s:s, s:I, s:I}", "flow", flow->spec.id, "queue",
	    flow->spec.queue, "status",
	    status == GB_FLOW_SUCCEEDED ? "succeeded"
	    : status == GB_FLOW_FAILED	? "failed"
					: "cancelled",
	    "why", why, "age_ms",
	    (json_int_t)((pool->now - flow->submitted) / GB_MSEC), "late_ms",
	    (json_int_t)((pool->now - flow->due) / GB_MSEC));
}

void
pool_flow_fail(struct gb_pool *pool, struct pool_flow *flow, const char *why)
{
	if (flow->status < GB_FLOW_SUCCEEDED)
		flow_finish(pool, flow, GB_FLOW_FAILED, why);
}

void
pool_flow_cancel(struct gb_pool *pool, struct pool_flow *flow)
{
	if (flow->status >= GB_FLOW_SUCCEEDED)
		return;
	flow->cancelled = true;
	flow_finish(pool, flow, GB_FLOW_CANCELLED, "cancelled by its caller");
}

void
pool_flow_begin(struct gb_pool *pool, struct pool_flow *flow)
{
	if (flow->begun)
		return;
	flow->begun = true;
	gb_histogram_add(
	    &pool->stats.first_start_us, pool->now - flow->submitted);
}

static struct pool_run *
task_find_run(const struct pool_task *task, uint64_t number,
    const struct pool_worker *worker)
{
	struct pool_run *run;

	TAILQ_FOREACH(run, &task->runs, of_task)
	{
		if (run->number == number && run->worker == worker)
			return run;
	}
	return NULL;
}

static void
step_finish_task(struct gb_pool *pool, struct pool_flow *flow,
    uint32_t step_number, uint32_t index)
{
	struct pool_step *step = &flow->steps[step_number];
	struct pool_run *run;
	uint32_t i;

	if ((step->spec->flags & GB_STEP_GANG) != 0) {
		/* A gang is done when one member is. */
		for (i = 0; i < step->spec->count; i++)
			step->tasks[i].done = true;
		step->done = step->spec->count;
		step->active_open = 0;
		pool_backlog_task_done(pool, flow, step->spec->count);
	} else {
		step->tasks[index].done = true;
		step->done++;
		pool_backlog_task_done(pool, flow, 1);
		if (!TAILQ_EMPTY(&step->tasks[index].runs))
			step->active_open--;
		TAILQ_FOREACH(run, &step->tasks[index].runs, of_task)
		{
			pool_run_stop(pool, run, "another copy is done");
		}
	}
	pool_flow_changed(pool, flow, step->done == step->spec->count);
	step->done_change = flow->change;
	if (step->done == step->spec->count)
		pool_announce_allow(pool, flow);
	for (i = 0; i < flow->step_count; i++) {
		if (flow->steps[i].done < flow->steps[i].spec->count)
			return;
	}
	flow_finish(pool, flow, GB_FLOW_SUCCEEDED, "all tasks are done");
}

static void
step_fail_task(struct gb_pool *pool, struct pool_flow *flow,
    struct pool_task *task, uint64_t run_number)
{
	if (!pool_task_count_failed_run(task, run_number))
		return; /* already counted, perhaps for another member of the
			   gang */
	pool_flow_changed(pool, flow, false);
	if (task->failures >= flow_max_attempts(flow))
		flow_finish(pool, flow, GB_FLOW_FAILED,
		    "a task failed as often as it may");
}

/** Whether a gang has been started again since a run: an end that could not be
 * acknowledged is reported again to the next owner. */
static bool
step_has_newer_run(const struct pool_step *step, uint64_t run_number)
{
	const struct pool_run *run;
	uint32_t i;

	for (i = 0; step->active > 0 && i < step->spec->count; i++) {
		run = TAILQ_FIRST(&step->tasks[i].runs);
		if (run != NULL && run->number > run_number)
			return true;
	}
	return false;
}

void
pool_flow_run_ended(struct gb_pool *pool, struct pool_flow *flow,
    const struct gb_pool_run_report *report, struct pool_worker *worker)
{
	struct pool_step *step = &flow->steps[report->step];
	bool gang = (step->spec->flags & GB_STEP_GANG) != 0;
	struct pool_task *task = &step->tasks[report->index];
	/* The first task keeps the failures and the checkpoint of a gang. */
	struct pool_task *state_task = gang ? &step->tasks[0] : task;
	struct pool_run *run = task_find_run(task, report->run, worker);
	bool finished = flow->status >= GB_FLOW_SUCCEEDED;
	gb_time run_time = 0;

	pool_flow_begin(pool, flow);
	if (run != NULL) {
		run->listed = true;
		run_time = pool->now - run->started;
		pool_health_run_ended(pool, worker, run, report->outcome);
		pool_run_free(pool, run, pool_outcome_name(report->outcome));
	}
	pool->work_changed = true;
	if (finished || task->done)
		return;
	if (report->checkpoint != NULL && report->checkpoint[0] != '\0' &&
	    (step->spec->flags & GB_STEP_CHECKPOINT) != 0 &&
	    report->outcome != GB_POOL_DONE) {
		pool_task_set_checkpoint(state_task, report->checkpoint);
		pool_flow_changed(pool, flow, false);
	}
	if (report->outcome == GB_POOL_DONE) {
		step_finish_task(pool, flow, report->step, report->index);
		return;
	}
	if (report->outcome == GB_POOL_FAILED &&
	    run_time > step->failed_run_time)
		step->failed_run_time = run_time;
	if (report->outcome == GB_POOL_FAILED)
		step_fail_task(pool, flow, state_task, report->run);
	if (!step_has_newer_run(step, report->run))
		pool_flow_gang_broken(
		    pool, flow, report->step, "a member of the gang ended");
}

/** Checks unfinished flows for tasks that crash workers. Of finished ones,
 * frees all but the state; once the state need not be answered any more,
 * removes the rows and then frees the rest. */
void
pool_flow_sweep(struct gb_pool *pool)
{
	struct pool_flow *flow;
	struct pool_flow *next;
	bool expired;

	HASH_ITER(hh, pool->flows, flow, next)
	{
		if (flow->status < GB_FLOW_SUCCEEDED)
			pool_crash_sweep(pool, flow);
		if (flow->status < GB_FLOW_SUCCEEDED ||
		    flow->stored < flow->change ||
		    !pool_partition_attached(pool, flow->partition))
			continue;
		expired = pool->now > pool_flow_expires_at(pool, flow);
		if (!flow->closed && flow->runs == 0 &&
		    STAILQ_EMPTY(&flow->waiters))
			flow_close(pool, flow);
		else if (flow->closed && !flow->dirty && expired &&
			 flow->remove_pending)
			pool_flow_free(pool, flow);
		else if (flow->closed && !flow->dirty && expired) {
			flow->remove_pending = true;
			pool_flow_changed(pool, flow, false);
		}
	}
}
