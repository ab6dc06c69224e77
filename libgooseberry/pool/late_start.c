/**
 * @file late_start.c
 * Start orders that may still be carried out.
 *
 * An order without an answer may be carried out seconds later.  The incarnation
 * of the worker that it was sent to refuses it once it has received a newer
 * fencing token, a stop of the run or its end; a worker that has restarted
 * under its id has forgotten them, and refuses it only after the first order of
 * the owner.  So while such a copy may be in flight, its task is started
 * nowhere else, and its ends are not acknowledged: an end that is lost with its
 * worker then never counted.
 *
 * The state of the flow records these tasks for a successor, before an order is
 * sent a second time: if only one was sent and the worker lists the run, none
 * is in flight.  First orders are announced there before they are sent, see
 * announce.c.
 */
#include "crash.h"
#include "state.h"

/** Time after which an order can no longer be carried out.  Calls without an
 * answer are carried out up to 12 s after they were sent. */
#define LATE_START_TIME_MAX (13 * GB_SEC)

bool
pool_worker_reuses_id(const struct pool_worker *worker)
{
	return worker->incarnation != 0 || worker->entry.incarnation != 0;
}

/** Number of start orders of a run that may still be carried out.  If the
 * worker lists the run although no order was answered, it has carried one out.
 */
static unsigned int
run_copies_in_flight(const struct pool_run *run)
{
	unsigned int copies = run->tries - run->answers;

	return copies > 0 && run->listed && run->answers == 0 ? copies - 1
							      : copies;
}

gb_time
pool_late_run_until(const struct pool_run *run)
{
	const struct pool_step *step = &run->flow->steps[run->step];

	if ((step->spec->flags & GB_STEP_SPECULATIVE) != 0 ||
	    !pool_worker_reuses_id(run->worker) ||
	    run_copies_in_flight(run) == 0)
		return 0;
	return run->start_sent + LATE_START_TIME_MAX;
}

void
pool_late_start_lost(struct gb_pool *pool, struct pool_run *run)
{
	if (pool_late_run_until(run) == 0)
		return;
	pool_flow_changed(pool, run->flow, true);
	run->late_change = run->flow->change;
}

static void
late_until_set(struct pool_flow *flow, struct pool_task *task, gb_time until,
    uint64_t resolved_by)
{
	if (until == 0)
		return;
	if (resolved_by > task->late_resolved_by)
		task->late_resolved_by = resolved_by;
	if (until > task->late_until)
		task->late_until = until;
	if (until > flow->late_until)
		flow->late_until = until;
}

void
pool_late_run_freed(struct pool_run *run)
{
	late_until_set(run->flow,
	    &run->flow->steps[run->step].tasks[run->index],
	    pool_late_run_until(run), POOL_LATE_UNRESOLVED);
}

void
pool_late_load(struct gb_pool *pool, struct pool_flow *flow, uint32_t step,
    uint32_t index, uint64_t resolved_by)
{
	pool->stats.starts_held++;
	late_until_set(flow, &flow->steps[step].tasks[index],
	    pool->now + LATE_START_TIME_MAX, resolved_by);
}

void
pool_late_run_listed(
    struct pool_flow *flow, uint32_t step, uint32_t index, uint64_t run)
{
	struct pool_task *task = &flow->steps[step].tasks[index];

	if (run < task->late_resolved_by)
		return;
	task->late_until = 0;
	task->late_resolved_by = 0;
}

bool
pool_late_task_recorded(
    const struct gb_pool *pool, const struct pool_task *task)
{
	const struct pool_run *run;

	if (task->late_until > pool->now &&
	    task->late_resolved_by == POOL_LATE_UNRESOLVED)
		return true;
	TAILQ_FOREACH(run, &task->runs, of_task)
	{
		if ((run->tries > 1 || run->late_change != 0) &&
		    pool_late_run_until(run) > pool->now)
			return true;
	}
	return false;
}

gb_time
pool_late_task_until(const struct pool_task *task)
{
	const struct pool_run *run;
	gb_time until = task->late_until;

	TAILQ_FOREACH(run, &task->runs, of_task)
	{
		gb_time run_until = pool_late_run_until(run);

		if (run_until > until)
			until = run_until;
	}
	return until;
}

gb_time
pool_late_end_until(
    const struct pool_flow *flow, uint32_t step_number, uint32_t index)
{
	const struct pool_step *step = &flow->steps[step_number];
	gb_time until = pool_late_task_until(&step->tasks[index]);
	uint32_t i;

	/* The end of one member of a gang stands for all of them. */
	if ((step->spec->flags & GB_STEP_GANG) == 0)
		return until;
	for (i = 0; i < step->spec->count; i++) {
		gb_time member = pool_late_task_until(&step->tasks[i]);

		if (member > until)
			until = member;
	}
	return until;
}

bool
pool_start_blocked(const struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_task *task)
{
	return task->late_until > pool->now ||
	       pool_crash_start_blocked(flow, task);
}

uint32_t
pool_start_blocked_count(const struct gb_pool *pool,
    const struct pool_flow *flow, const struct pool_step *step)
{
	uint32_t count = 0;
	uint32_t i;

	if (flow->late_until <= pool->now && step->suspects + step->plans == 0)
		return 0;
	for (i = 0; i < step->spec->count; i++) {
		const struct pool_task *task = &step->tasks[i];

		count += !task->done && TAILQ_EMPTY(&task->runs) &&
			 pool_start_blocked(pool, flow, task);
	}
	return count;
}
