/**
 * @file report.c
 * Applies what a worker reports about its runs: which are running and which
 * have ended.
 *
 * An end may be acknowledged, so that the worker drops it, only once the change
 * that it caused is stored.  An end of a flow whose partition is not attached
 * is kept until the flow is loaded.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "state.h"

/** Maximum number of ends in one report of a worker.  A report with so many may
 * lack some, so that missing runs can't be concluded from it. */
#define ENDS_LISTED_MAX 500

static struct pool_end *
end_add(struct pool_worker *worker, uint64_t number)
{
	struct pool_end *end = gb_calloc(1, sizeof(*end));

	end->number = number;
	STAILQ_INSERT_TAIL(&worker->ends, end, next);
	return end;
}

/** Sets the change of a flow that must be stored before the end may be
 * acknowledged: its newest one. */
static void
end_set_flow(struct pool_end *end, const struct pool_flow *flow)
{
	if (flow == NULL)
		return;
	snprintf(end->flow, sizeof(end->flow), "%s", flow->spec.id);
	end->change = flow->change;
}

/** Copies a report that is kept beyond the call. */
static struct gb_pool_run_report *
kept_report_new(const struct gb_pool_run_report *run_report)
{
	struct gb_pool_run_report *kept = gb_calloc(1, sizeof(*kept));

	*kept = *run_report;
	if (run_report->checkpoint != NULL)
		kept->checkpoint = gb_strdup(run_report->checkpoint);
	return kept;
}

static void
kept_report_free(struct gb_pool_run_report *kept)
{
	if (kept == NULL)
		return;
	free((char *)kept->checkpoint);
	free(kept);
}

static void
end_free(struct pool_end *end)
{
	kept_report_free(end->kept_report);
	free(end);
}

/** Acknowledges the ends whose changes are stored, in order up to the first
 * that isn't stored. */
void
pool_report_ack(struct gb_pool *pool, struct pool_worker *worker)
{
	struct pool_flow *flow;
	struct pool_end *end;

	while ((end = STAILQ_FIRST(&worker->ends)) != NULL) {
		flow = pool_flow_find(pool, end->flow);
		if (end->held_until > pool->now)
			break;
		if (end->kept_report != NULL ||
		    (flow != NULL && flow->stored < end->change))
			break;
		worker->acked = end->number;
		STAILQ_REMOVE_HEAD(&worker->ends, next);
		end_free(end);
	}
}

/** Whether a reported run or end belongs to a task of this flow, which may be
 * null. */
static bool
run_report_known(
    const struct pool_flow *flow, const struct gb_pool_run_report *run_report)
{
	return flow != NULL && !flow->closed && run_report->occurrence == 0 &&
	       run_report->step < flow->step_count &&
	       run_report->index < flow->steps[run_report->step].spec->count;
}

static void
stats_count_end(struct gb_pool *pool, enum gb_pool_outcome outcome)
{
	uint64_t *counts[] = {&pool->stats.done, &pool->stats.failed,
	    &pool->stats.stopped, &pool->stats.lapsed, &pool->stats.broken,
	    &pool->stats.incomplete};

	(*counts[outcome])++;
}

const char *
pool_outcome_name(enum gb_pool_outcome outcome)
{
	static const char *const names[] = {
	    "done", "failed", "stopped", "lapsed", "broken", "alone"};

	return names[outcome];
}

/** Applies a reported end.  One of a flow whose partition is not attached is
 * kept, so that it isn't acknowledged before the flow is loaded. */
static void
end_apply(struct gb_pool *pool, struct pool_worker *worker,
    struct pool_end *end, const struct gb_pool_run_report *run_report)
{
	struct pool_flow *flow;

	if (!pool_partition_attached(
		pool, gb_pool_partition(run_report->flow))) {
		end->kept_report = kept_report_new(run_report);
		return;
	}
	flow = pool_flow_find(pool, run_report->flow);
	stats_count_end(pool, run_report->outcome);
	gb_event(pool->cfg.events, GB_EVENT_NORMAL, "run_end",
	    "{s:s, s:I, s:I, s:I, s:s, s:s, s:b}", "flow", run_report->flow,
	    "step", (json_int_t)run_report->step, "index",
	    (json_int_t)run_report->index, "run", (json_int_t)run_report->run,
	    "worker", worker->entry.id, "how",
	    pool_outcome_name(run_report->outcome), "known", flow != NULL);
	if (run_report_known(flow, run_report)) {
		pool_late_run_listed(
		    flow, run_report->step, run_report->index, run_report->run);
		pool_flow_run_ended(pool, flow, run_report, worker);
		end->held_until = pool_late_end_until(
		    flow, run_report->step, run_report->index);
	}
	end_set_flow(end, flow);
}

/** Applies the ends that were not reported before. */
static void
worker_apply_ends(struct gb_pool *pool, struct pool_worker *worker,
    const struct gb_pool_report *report)
{
	size_t i;

	for (i = 0; i < report->ended_count; i++) {
		const struct gb_pool_run_report *run_report = &report->ended[i];

		if (run_report->number <= worker->last_end)
			continue;
		worker->last_end = run_report->number;
		end_apply(pool, worker, end_add(worker, run_report->number),
		    run_report);
	}
}

void
pool_report_partition_attached(struct gb_pool *pool, uint32_t partition)
{
	struct gb_pool_run_report *run_report;
	struct pool_end *end;
	uint32_t i;

	for (i = 0; i < pool->worker_count; i++) {
		STAILQ_FOREACH(end, &pool->workers[i]->ends, next)
		{
			run_report = end->kept_report;
			if (run_report == NULL ||
			    gb_pool_partition(run_report->flow) != partition)
				continue;
			end->kept_report = NULL;
			end_apply(pool, pool->workers[i], end, run_report);
			kept_report_free(run_report);
		}
	}
}

/** Stops a reported run that belongs to no known flow or isn't needed. */
static void
stray_run_stop(struct gb_pool *pool, const struct pool_worker *worker,
    const struct gb_pool_run_report *run_report)
{
	struct pool_call *call = pool_call_new(pool, POOL_CALL_RUN_STOP);
	struct gb_pool_order order = {0};

	call->worker = worker->handle;
	order.worker = worker->entry.id;
	order.addr = worker->entry.addr;
	order.id.flow = run_report->flow;
	order.id.step = run_report->step;
	order.id.index = run_report->index;
	order.id.run = run_report->run;
	order.token = pool_incarnation_token(pool, worker);
	call->token = order.token;
	gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "stray_run_stopped",
	    "{s:s, s:I, s:I, s:I, s:s}", "flow", run_report->flow, "step",
	    (json_int_t)run_report->step, "index",
	    (json_int_t)run_report->index, "run", (json_int_t)run_report->run,
	    "worker", worker->entry.id);
	pool->ops.stop(pool->ops.data, call->id, &order);
}

/** Returns the known run that a report names, or null. */
static struct pool_run *
worker_run(const struct pool_worker *worker, const struct pool_flow *flow,
    const struct gb_pool_run_report *run_report)
{
	struct pool_run *run;

	TAILQ_FOREACH(run, &worker->runs, of_worker)
	{
		if (run->flow == flow && run->step == run_report->step &&
		    run->index == run_report->index &&
		    run->number == run_report->run)
			return run;
	}
	return NULL;
}

/** Takes over a running run of an earlier owner; returns null if it isn't
 * needed. */
static struct pool_run *
run_adopt(struct gb_pool *pool, struct pool_worker *worker,
    struct pool_flow *flow, const struct gb_pool_run_report *run_report)
{
	struct pool_step *step = &flow->steps[run_report->step];
	struct pool_task *task = &step->tasks[run_report->index];
	bool speculative = (step->spec->flags & GB_STEP_SPECULATIVE) != 0;
	struct pool_run *run;

	if (flow->status >= GB_FLOW_SUCCEEDED || task->done ||
	    (!TAILQ_EMPTY(&task->runs) && !speculative))
		return NULL;
	run = pool_run_new(pool, flow, run_report->step, run_report->index,
	    run_report->run, worker);
	run->state = POOL_RUN_RUNNING;
	run->confirmed = pool->now;
	run->adopted = true;
	pool_flow_begin(pool, flow);
	return run;
}

/** Updates a run that the worker reports as running. */
static void
run_update(struct gb_pool *pool, struct pool_run *run,
    const struct gb_pool_run_report *run_report)
{
	run->listed = true;
	if (run->confirmed == 0)
		run->confirmed = pool->now;
	pool_flow_begin(pool, run->flow);
	if (run->state == POOL_RUN_START_UNKNOWN && run->stop_call == 0 &&
	    run->stopped == 0)
		run->state = POOL_RUN_RUNNING;
	if (run_report->percent != run->percent) {
		run->percent = run_report->percent;
		run->progress_at = pool->now;
		pool_speed_run_progress(pool, run);
	}
}

/** Whether a list of a report has a run. */
static bool
run_reports_include(const struct gb_pool_run_report *list, size_t count,
    const struct pool_run *run)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (list[i].run == run->number && list[i].step == run->step &&
		    list[i].index == run->index &&
		    strcmp(list[i].flow, run->flow->spec.id) == 0)
			return true;
	}
	return false;
}

bool
pool_report_lists_run(
    const struct gb_pool_report *report, const struct pool_run *run)
{
	return run_reports_include(
		   report->running, report->running_count, run) ||
	       run_reports_include(report->ended, report->ended_count, run);
}

/** Removes runs that the worker should list but doesn't: they have ended
 * without a report.  Only those count whose start or stop was confirmed, or
 * whose start can no longer happen, before the heartbeat was sent. */
static void
worker_remove_missing(struct gb_pool *pool, struct pool_worker *worker,
    gb_time sent, const struct gb_pool_report *report)
{
	struct pool_run *run;
	struct pool_run *next;

	for (run = TAILQ_FIRST(&worker->runs); run != NULL; run = next) {
		gb_time known_since =
		    run->stopped != 0 ? run->stopped : run->confirmed;

		next = TAILQ_NEXT(run, of_worker);
		if (run->stopped == 0 && run->confirmed == 0 &&
		    run->start_call == 0)
			known_since = run->lapse_at;
		if (known_since == 0 || known_since >= sent)
			continue;
		if (run_reports_include(
			report->running, report->running_count, run))
			continue;
		gb_event(pool->cfg.events, GB_EVENT_NORMAL, "run_gone",
		    "{s:s, s:I, s:I, s:I, s:s, s:I, s:I, s:I, s:i}", "flow",
		    run->flow->spec.id, "step", (json_int_t)run->step, "index",
		    (json_int_t)run->index, "run", (json_int_t)run->number,
		    "worker", worker->entry.id, "life",
		    (json_int_t)worker->incarnation, "acked",
		    (json_int_t)worker->acked, "started_ms_ago",
		    (json_int_t)((pool->now - run->started) / GB_MSEC), "state",
		    (int)run->state);
		pool->stats.gone++;
		pool_run_free(pool, run, "gone");
	}
}

/** Updates the runs that the worker reports as running, adopts those of earlier
 * owners and stops those that nobody needs. */
static void
worker_apply_running(struct gb_pool *pool, struct pool_worker *worker,
    const struct gb_pool_report *report)
{
	struct pool_flow *flow;
	struct pool_run *run;
	size_t i;

	worker->has_unknown_runs = false;
	for (i = 0; i < report->running_count; i++) {
		const struct gb_pool_run_report *run_report =
		    &report->running[i];

		bool attached = pool_partition_attached(
		    pool, gb_pool_partition(run_report->flow));

		flow = pool_flow_find(pool, run_report->flow);
		run = NULL;
		/* The flows of a partition that is not attached may still be
		 * dropped, and their runs with them. */
		if (attached && run_report_known(flow, run_report)) {
			pool_late_run_listed(flow, run_report->step,
			    run_report->index, run_report->run);
			run = worker_run(worker, flow, run_report);
			if (run == NULL)
				run = run_adopt(pool, worker, flow, run_report);
		}
		if (run != NULL) {
			run_update(pool, run, run_report);
			continue;
		}
		worker->has_unknown_runs = true;
		if (attached)
			stray_run_stop(pool, worker, run_report);
	}
}

void
pool_report_apply(struct gb_pool *pool, struct pool_worker *worker,
    gb_time sent, const struct gb_pool_report *report)
{
	worker_apply_ends(pool, worker, report);
	worker_apply_running(pool, worker, report);
	if (report->ended_count < ENDS_LISTED_MAX)
		worker_remove_missing(pool, worker, sent, report);
}

void
pool_report_incarnation_ended(struct pool_worker *worker)
{
	struct pool_ends kept = STAILQ_HEAD_INITIALIZER(kept);
	struct pool_end *end;

	/* Reported ends stay valid, also those of flows that are not loaded
	 * yet. */
	while ((end = STAILQ_FIRST(&worker->ends)) != NULL) {
		STAILQ_REMOVE_HEAD(&worker->ends, next);
		if (end->kept_report == NULL) {
			end_free(end);
			continue;
		}
		end->number = 0;
		STAILQ_INSERT_TAIL(&kept, end, next);
	}
	STAILQ_CONCAT(&worker->ends, &kept);
}

void
pool_report_clear(struct pool_worker *worker)
{
	struct pool_end *end;

	while ((end = STAILQ_FIRST(&worker->ends)) != NULL) {
		STAILQ_REMOVE_HEAD(&worker->ends, next);
		end_free(end);
	}
}
