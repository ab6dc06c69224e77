/**
 * @file health.c
 * Health of workers, by what they do with their work.
 *
 * Load: a tenth of the workers fail whatever they start while their own health
 * answers are good, or let it stand still; and a failing worker is always
 * free, so that it draws more work than its like.  On the other side a tenth
 * of the flows fail by their own fault.  Several failures in a row, of
 * different flows, therefore set a worker aside for a time that doubles; a
 * single one only sends work elsewhere first.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "state.h"

/** Failures in a row that set a worker aside.  A task's first failure alone
 * counts, so that of healthy workers' runs about 5% do, and two in a row come
 * once in 400 runs. */
#define HEALTH_FAILURES 2
/** First and longest time aside. */
#define HEALTH_QUARANTINE (3 * GB_SEC)
#define HEALTH_QUARANTINE_MOST (20 * GB_SEC)
/** A run that makes no progress for this long stands still: the percent of the
 * longest tasks (12 s) moves each 0.12 s, seen each 0.9 s. */
#define HEALTH_STANDSTILL (2200 * GB_MSEC)
/** Percent from which a run only waits for others. */
#define HEALTH_WHOLE 99
/** Weight of the newest run in a worker's slowness: about ten runs count. */
#define HEALTH_SLOW_WEIGHT 0.1
/** Weight of the newest run in a queue's averages. */
#define HEALTH_WEIGHT 0.05

static void
worker_quarantine(
    struct gb_pool *pool, struct pool_worker *worker, const char *why)
{
	worker->quarantine_length = worker->quarantine_length == 0
					? HEALTH_QUARANTINE
					: worker->quarantine_length * 2;
	if (worker->quarantine_length > HEALTH_QUARANTINE_MOST)
		worker->quarantine_length = HEALTH_QUARANTINE_MOST;
	if (POOL_USES(pool, GB_FEATURE_QUARANTINE))
		worker->quarantined_until =
		    pool->now + worker->quarantine_length;
	worker->failures = HEALTH_FAILURES - 1;
	pool->stats.quarantined++;
	gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "worker_set_aside",
	    "{s:s, s:s, s:I}", "worker", worker->entry.id, "why", why, "for_ms",
	    (json_int_t)(worker->quarantine_length / GB_MSEC));
}

/** How long a run took against the runs of the same step before it: tasks of a
 * step are more alike (15% to 30%) than declared run times are true. */
static void
worker_learn(
    struct pool_worker *worker, const struct pool_run *run, gb_time took)
{
	struct pool_step *step = &run->flow->steps[run->step];
	double like;

	if (step->took_runs > 0) {
		like = (double)step->took / step->took_runs;
		worker->slowness += HEALTH_SLOW_WEIGHT *
				    ((double)took / like - worker->slowness);
	}
	step->took += took;
	step->took_runs++;
}

static void
queue_learn(struct gb_pool *pool, const struct pool_run *run)
{
	struct pool_queue_stat *stat =
	    pool_rank_queue(pool, run->flow->spec.queue);
	double took = (double)(pool->now - run->started);
	double declared = (double)run->flow->steps[run->step].spec->estimate_us;

	if (run->state != POOL_RUN_RUNNING || run->confirmed == 0)
		return;
	if ((run->flow->steps[run->step].spec->flags &
		(GB_STEP_GANG | GB_STEP_CHECKPOINT)) == 0)
		worker_learn(run->worker, run, pool->now - run->started);
	stat->run_us =
	    stat->run_us <= 0
		? took
		: stat->run_us + HEALTH_WEIGHT * (took - stat->run_us);
	if (declared > 0)
		stat->ratio += HEALTH_WEIGHT * (took / declared - stat->ratio);
}

/** A task that has failed elsewhere fails by its own fault. */
static bool
task_failed_before(const struct pool_run *run)
{
	const struct pool_step *step = &run->flow->steps[run->step];
	bool gang = (step->spec->flags & GB_STEP_GANG) != 0;

	/* A gang may have met another failing worker. */
	return !gang && step->tasks[run->index].failures > 0;
}

void
pool_health_ended(struct gb_pool *pool, struct pool_worker *worker,
    const struct pool_run *run, enum gb_pool_outcome outcome)
{
	uint64_t flow = gb_hash(run->flow->spec.id, strlen(run->flow->spec.id));

	if (outcome == GB_POOL_DONE) {
		queue_learn(pool, run);
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
	if (++worker->failures >= HEALTH_FAILURES)
		worker_quarantine(
		    pool, worker, "its runs fail one after the other");
}

/** A run that has come to its end waits for the others of its gang. */
static bool
run_still(const struct gb_pool *pool, const struct pool_run *run)
{
	return run->state == POOL_RUN_RUNNING && run->confirmed != 0 &&
	       run->percent < HEALTH_WHOLE &&
	       pool->now - run->moved >= HEALTH_STANDSTILL;
}

/** Members of a gang work together: none of them moves. */
static bool
gang_still(const struct gb_pool *pool, const struct pool_step *step)
{
	const struct pool_run *run;
	uint32_t i;

	for (i = 0; i < step->spec->count; i++) {
		TAILQ_FOREACH(run, &step->tasks[i].runs, of_task)
		{
			if (!run_still(pool, run))
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

		if (!run_still(pool, run) || (gang && !gang_still(pool, step)))
			continue;
		if (worker->quarantined_until <= pool->now && !gang)
			worker_quarantine(pool, worker, "a run stands still");
		pool_run_stop(pool, run, "it makes no progress");
		if (gang)
			pool_flow_stop_step(pool, run->flow, run->step, run,
			    "the gang makes no progress");
	}
}
