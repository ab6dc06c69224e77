/**
 * @file report.c
 * What a worker tells of its runs: those that go on, and the ends of others.
 *
 * An end may be forgotten by the worker only once what it changed is stored.
 * One of a flow whose part is not attached is kept until the flow is known.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "state.h"

/** A worker lists this many ends at once; then some may be missing. */
#define ENDS_LISTED_MOST 500

static struct pool_end *
end_add(struct pool_worker *worker, uint64_t number)
{
	struct pool_end *end = gb_calloc(1, sizeof(*end));

	end->number = number;
	STAILQ_INSERT_TAIL(&worker->ends, end, next);
	return end;
}

/** The end may be forgotten once what the flow is now has been stored. */
static void
end_of_flow(struct pool_end *end, const struct pool_flow *flow)
{
	if (flow == NULL)
		return;
	snprintf(end->flow, sizeof(end->flow), "%s", flow->spec.id);
	end->change = flow->change;
}

static void
end_free(struct pool_end *end)
{
	free(end->held);
	free(end);
}

/** Number up to which all ends are stored. */
void
pool_report_ack(struct gb_pool *pool, struct pool_worker *worker)
{
	struct pool_flow *flow;
	struct pool_end *end;

	while ((end = STAILQ_FIRST(&worker->ends)) != NULL) {
		flow = pool_flow_find(pool, end->flow);
		if (end->held != NULL ||
		    (flow != NULL && flow->stored < end->change))
			break;
		worker->acked = end->number;
		STAILQ_REMOVE_HEAD(&worker->ends, next);
		end_free(end);
	}
}

/** Whether a listed run or end names a task that there is. */
static bool
seen_known(const struct pool_flow *flow, const struct gb_pool_run_report *seen)
{
	return flow != NULL && !flow->closed && seen->occurrence == 0 &&
	       seen->step < flow->step_count &&
	       seen->index < flow->steps[seen->step].spec->count;
}

static void
stats_end(struct gb_pool *pool, enum gb_pool_outcome outcome)
{
	uint64_t *counts[] = {&pool->stats.done, &pool->stats.failed,
	    &pool->stats.stopped, &pool->stats.lapsed, &pool->stats.broken,
	    &pool->stats.alone};

	(*counts[outcome])++;
}

static const char *
outcome_name(enum gb_pool_outcome outcome)
{
	static const char *const names[] = {
	    "done", "failed", "stopped", "lapsed", "broken", "alone"};

	return names[outcome];
}

/** Take an end in; one of a flow whose part is not attached is kept, so that it
 * is not acknowledged before the flow is known. */
static void
end_take(struct gb_pool *pool, struct pool_worker *worker, struct pool_end *end,
    const struct gb_pool_run_report *seen)
{
	struct pool_flow *flow;

	if (!pool_partition_attached(pool, gb_pool_partition(seen->flow))) {
		end->held = gb_calloc(1, sizeof(*end->held));
		*end->held = *seen;
		return;
	}
	flow = pool_flow_find(pool, seen->flow);
	stats_end(pool, seen->outcome);
	gb_event(pool->cfg.events, GB_EVENT_NORMAL, "run_end",
	    "{s:s, s:I, s:I, s:I, s:s, s:s, s:b}", "flow", seen->flow, "step",
	    (json_int_t)seen->step, "index", (json_int_t)seen->index, "run",
	    (json_int_t)seen->run, "worker", worker->entry.id, "how",
	    outcome_name(seen->outcome), "known", flow != NULL);
	if (seen_known(flow, seen))
		pool_flow_ended(pool, flow, seen, worker);
	end_of_flow(end, flow);
}

/** Take in the ends that have not been seen. */
static void
worker_ends(struct gb_pool *pool, struct pool_worker *worker,
    const struct gb_pool_report *report)
{
	size_t i;

	for (i = 0; i < report->ended_count; i++) {
		const struct gb_pool_run_report *seen = &report->ended[i];

		if (seen->number <= worker->seen)
			continue;
		worker->seen = seen->number;
		end_take(pool, worker, end_add(worker, seen->number), seen);
	}
}

void
pool_report_partition_attached(struct gb_pool *pool, uint32_t partition)
{
	struct gb_pool_run_report *seen;
	struct pool_end *end;
	uint32_t i;

	for (i = 0; i < pool->worker_count; i++) {
		STAILQ_FOREACH(end, &pool->workers[i]->ends, next)
		{
			seen = end->held;
			if (seen == NULL ||
			    gb_pool_partition(seen->flow) != partition)
				continue;
			end->held = NULL;
			end_take(pool, pool->workers[i], end, seen);
			free(seen);
		}
	}
}

/** Stop a run that this owner has no use for. */
static void
stray_stop(struct gb_pool *pool, const struct pool_worker *worker,
    const struct gb_pool_run_report *seen)
{
	struct pool_call *call = pool_call_new(pool, POOL_CALL_RUN_STOP);
	struct gb_pool_order order = {0};

	call->worker = worker->handle;
	order.worker = worker->entry.id;
	order.addr = worker->entry.addr;
	order.id.flow = seen->flow;
	order.id.step = seen->step;
	order.id.index = seen->index;
	order.id.run = seen->run;
	order.token = pool_incarnation_token(pool, worker);
	call->token = order.token;
	gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "stray_run_stopped",
	    "{s:s, s:I, s:I, s:I, s:s}", "flow", seen->flow, "step",
	    (json_int_t)seen->step, "index", (json_int_t)seen->index, "run",
	    (json_int_t)seen->run, "worker", worker->entry.id);
	pool->ops.stop(pool->ops.data, call->id, &order);
}

static struct pool_run *
worker_run(const struct pool_worker *worker, const struct pool_flow *flow,
    const struct gb_pool_run_report *seen)
{
	struct pool_run *run;

	TAILQ_FOREACH(run, &worker->runs, of_worker)
	{
		if (run->flow == flow && run->step == seen->step &&
		    run->index == seen->index && run->number == seen->run)
			return run;
	}
	return NULL;
}

/** A run of an earlier owner goes on under this one. */
static struct pool_run *
run_adopt(struct gb_pool *pool, struct pool_worker *worker,
    struct pool_flow *flow, const struct gb_pool_run_report *seen)
{
	struct pool_step *step = &flow->steps[seen->step];
	struct pool_task *task = &step->tasks[seen->index];
	bool copies = (step->spec->flags & GB_STEP_SPECULATIVE) != 0;
	struct pool_run *run;

	if (flow->status >= GB_FLOW_SUCCEEDED || task->done ||
	    (!TAILQ_EMPTY(&task->runs) && !copies))
		return NULL;
	run = pool_run_new(
	    pool, flow, seen->step, seen->index, seen->run, worker);
	run->state = POOL_RUN_RUNNING;
	run->confirmed = pool->now;
	run->adopted = true;
	flow->begun = true;
	return run;
}

static void
run_seen(struct gb_pool *pool, struct pool_run *run,
    const struct gb_pool_run_report *seen)
{
	if (run->confirmed == 0)
		run->confirmed = pool->now;
	if (run->state == POOL_RUN_START_UNKNOWN && run->stop_call == 0 &&
	    run->stopped == 0)
		run->state = POOL_RUN_RUNNING;
	if (seen->percent != run->percent) {
		run->percent = seen->percent;
		run->moved = pool->now;
	}
	snprintf(
	    run->checkpoint, sizeof(run->checkpoint), "%s", seen->checkpoint);
}

static bool
list_names(const struct gb_pool_run_report *list, size_t count,
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
pool_report_names(
    const struct gb_pool_report *report, const struct pool_run *run)
{
	return list_names(report->running, report->running_count, run) ||
	       list_names(report->ended, report->ended_count, run);
}

/** Runs that the worker should list and does not have ended without a word;
 * only what was settled before the hold was sent counts. */
static void
worker_missing(struct gb_pool *pool, struct pool_worker *worker, gb_time sent,
    const struct gb_pool_report *report)
{
	struct pool_run *run;
	struct pool_run *next;

	for (run = TAILQ_FIRST(&worker->runs); run != NULL; run = next) {
		gb_time reconciled =
		    run->stopped != 0 ? run->stopped : run->confirmed;

		next = TAILQ_NEXT(run, of_worker);
		if (run->stopped == 0 && run->confirmed == 0 &&
		    run->start_call == 0)
			reconciled = run->lapse_at;
		if (reconciled == 0 || reconciled >= sent)
			continue;
		if (list_names(report->running, report->running_count, run))
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
		pool_run_free(pool, run);
	}
}

static void
worker_running(struct gb_pool *pool, struct pool_worker *worker,
    const struct gb_pool_report *report)
{
	struct pool_flow *flow;
	struct pool_run *run;
	size_t i;

	worker->foreign = false;
	for (i = 0; i < report->running_count; i++) {
		const struct gb_pool_run_report *seen = &report->running[i];

		bool here = pool_partition_attached(
		    pool, gb_pool_partition(seen->flow));

		flow = pool_flow_find(pool, seen->flow);
		run = NULL;
		/* What has been read of a part that is not attached may yet be
		 * dropped, and its runs with it. */
		if (here && seen_known(flow, seen)) {
			run = worker_run(worker, flow, seen);
			if (run == NULL)
				run = run_adopt(pool, worker, flow, seen);
		}
		if (run != NULL) {
			run_seen(pool, run, seen);
			continue;
		}
		worker->foreign = true;
		if (here)
			stray_stop(pool, worker, seen);
	}
}

void
pool_report_take(struct gb_pool *pool, struct pool_worker *worker, gb_time sent,
    const struct gb_pool_report *report)
{
	worker_ends(pool, worker, report);
	worker_running(pool, worker, report);
	if (report->ended_count < ENDS_LISTED_MOST)
		worker_missing(pool, worker, sent, report);
}

void
pool_report_incarnation_ended(struct pool_worker *worker)
{
	struct pool_ends held = STAILQ_HEAD_INITIALIZER(held);
	struct pool_end *end;

	/* What was told stands, also of flows that are not known yet. */
	while ((end = STAILQ_FIRST(&worker->ends)) != NULL) {
		STAILQ_REMOVE_HEAD(&worker->ends, next);
		if (end->held == NULL) {
			end_free(end);
			continue;
		}
		end->number = 0;
		STAILQ_INSERT_TAIL(&held, end, next);
	}
	STAILQ_CONCAT(&worker->ends, &held);
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
