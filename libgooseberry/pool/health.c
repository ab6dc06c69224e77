/**
 * @file health.c
 * Health of workers, judged by the results of their runs.
 *
 * Problem: a tenth of the workers fail all tasks that they start, or make no
 * progress with them, although they report themselves healthy. A failing worker
 * is always free, so that it gets more work than others. On the other hand a
 * tenth of the flows fail because of their own work. Consecutive failures of
 * different flows therefore quarantine a worker, each time for twice as long.
 * After a single failure other workers are only preferred.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "state.h"

/** Consecutive failures at which a worker is quarantined. Only the first
 * failure of a task counts, so that a failure counts in about 5% of the runs on
 * healthy workers, and two in a row happen once in 400 runs. */
#define HEALTH_FAILURES_MAX 2
/** First and longest time of quarantine. */
#define HEALTH_QUARANTINE_MIN (3 * GB_SEC)
#define HEALTH_QUARANTINE_MAX (20 * GB_SEC)
/** A run without progress for this long is stalled: the percent of the longest
 * tasks (12 s) rises every 0.12 s and is received every 0.9 s. */
#define HEALTH_STALL_TIME (2200 * GB_MSEC)
/** Percent of progress from which a run that makes none may be waiting for
 * other members of its gang. */
#define HEALTH_PERCENT_AT_END 99
/** Weight of the newest run in the slowness of a worker: about ten runs
 * count. */
#define HEALTH_SLOWNESS_WEIGHT 0.1
/** Weight of the newest run in the averages of a queue. */
#define HEALTH_QUEUE_WEIGHT 0.05

static void
worker_quarantine(
    struct gb_pool *pool, struct pool_worker *worker, const char *why)
{
	worker->quarantine_length = worker->quarantine_length == 0
					? HEALTH_QUARANTINE_MIN
					: worker->quarantine_length * 2;
	if (worker->quarantine_length > HEALTH_QUARANTINE_MAX)
		worker->quarantine_length = HEALTH_QUARANTINE_MAX;
	if (POOL_FEATURE_ENABLED(pool, GB_FEATURE_QUARANTINE))
		worker->quarantined_until =
		    pool->now + worker->quarantine_length;
	worker->failures = HEALTH_FAILURES_MAX - 1;
	pool->stats.quarantined++;
	gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "worker_set_aside",
	    "{s:s, s:s, s:I}", "worker", worker->entry.id, "why", why, "for_ms",
	    (json_int_t)(worker->quarantine_length / GB_MSEC));
}

/** Updates the slowness of a worker by the run time of one run, compared with
 * earlier runs of the same step. Tasks of a step differ less (by 15% to 30%)
 * than declared run times differ from real ones. */
static void
worker_update_slowness(
    struct pool_worker *worker, const struct pool_run *run, gb_time run_time)
{
	struct pool_step *step = &run->flow->steps[run->step];
	double expected;

	if (step->done_runs > 0) {
		expected = (double)step->done_run_time / step->done_runs;
		worker->slowness +=
		    HEALTH_SLOWNESS_WEIGHT *
		    ((double)run_time / expected - worker->slowness);
	}
	step->done_run_time += run_time;
	step->done_runs++;
}

static void
queue_update_averages(struct gb_pool *pool, const struct pool_run *run)
{
	struct pool_queue_stat *stat =
	    pool_rank_queue_stat(pool, run->flow->spec.queue);
	double run_time = (double)(pool->now - run->started);
	double declared = (double)run->flow->steps[run->step].spec->estimate_us;

	if (run->state != POOL_RUN_RUNNING || run->confirmed == 0)
		return;
	pool_runtime_run_done(pool, run, pool->now - run->confirmed);
	if ((run->flow->steps[run->step].spec->flags &
		(GB_STEP_GANG | GB_STEP_CHECKPOINT)) == 0)
		worker_update_slowness(
		    run->worker, run, pool->now - run->started);
	stat->run_us = stat->run_us <= 0
			   ? run_time
			   : stat->run_us + HEALTH_QUEUE_WEIGHT *
						(run_time - stat->run_us);
	if (declared > 0)
		stat->ratio +=
		    HEALTH_QUEUE_WEIGHT * (run_time / declared - stat->ratio);
}

/** Whether the task has failed before: then the failure is attributed to the
 * task and not to the worker. */
static bool
task_failed_before(const struct pool_run *run)
{
	const struct pool_step *step = &run->flow->steps[run->step];
	bool gang = (step->spec->flags & GB_STEP_GANG) != 0;

	/* An earlier failure of a gang may be that of another worker. */
	return !gang && step->tasks[run->index].failures > 0;
}

void
pool_health_run_ended(struct gb_pool *pool, struct pool_worker *worker,
    const struct pool_run *run, enum gb_pool_outcome outcome)
{
	uint64_t flow = gb_hash(run->flow->spec.id, strlen(run->flow->spec.id));

	if (outcome == GB_POOL_DONE) {
		queue_update_averages(pool, run);
		worker->failures = 0;
		worker->quarantine_length = 0;
		worker->failed_flow = 0;
		return;
	}
	if (outcome != GB_POOL_FAILED || flow == worker->failed_flow)
		return;
	if (task_failed_before(run))
		return;
	worker->failed_flow = flow;
	if (++worker->failures >= HEALTH_FAILURES_MAX)
		worker_quarantine(
		    pool, worker, "its runs fail one after the other");
}

/** Whether a run is stalled. A run at the end of its work may only be waiting
 * for the others of its gang. */
static bool
run_is_stalled(const struct gb_pool *pool, const struct pool_run *run)
{
	return run->state == POOL_RUN_RUNNING && run->confirmed != 0 &&
	       run->percent < HEALTH_PERCENT_AT_END &&
	       pool->now - run->progress_at >= HEALTH_STALL_TIME;
}

/** Whether a gang is stalled. Its members work together, so all must be without
 * progress. */
static bool
gang_is_stalled(const struct gb_pool *pool, const struct pool_step *step)
{
	const struct pool_run *run;
	uint32_t i;

	for (i = 0; i < step->spec->count; i++) {
		TAILQ_FOREACH(run, &step->tasks[i].runs, of_task)
		{
			if (!run_is_stalled(pool, run))
				return false;
		}
	}
	return true;
}

void
pool_health_check(struct gb_pool *pool, struct pool_worker *worker)
{
	struct pool_run *run;

	TAILQ_FOREACH(run, &worker->runs, of_worker)
	{
		struct pool_step *step = &run->flow->steps[run->step];
		bool gang = (step->spec->flags & GB_STEP_GANG) != 0;

		if (!run_is_stalled(pool, run) ||
		    (gang && !gang_is_stalled(pool, step)))
			continue;
		if (worker->quarantined_until <= pool->now && !gang)
			worker_quarantine(pool, worker, "a run stands still");
		pool_run_stop(pool, run, "it makes no progress");
		if (gang)
			pool_flow_stop_step(pool, run->flow, run->step, run,
			    "the gang makes no progress");
	}
}
