/**
 * @file preempt.c
 * Preemption: capacity is freed for a gang by stopping work that can wait.
 *
 * Problem: the pool is four fifths full or more, and two fifths of it run
 * imports that have four times their run time to finish. A gang needs capacity
 * for all its tasks at one moment and can spare about its own run time. A
 * reservation comes too late for one gang in six even under light load. A
 * worker saves the state of a stopped task that makes checkpoints, so that
 * stopping it costs only the time of the stop and of resuming the work.
 *
 * Limits: only a gang that would otherwise miss its objective preempts others,
 * and only tasks of flows that still meet their own by a margin, or can earn
 * nothing any more. A task is preempted once, so that none is moved from worker
 * to worker.
 */
#include <stdlib.h>

#include <jansson.h>

#include "state.h"

/** Time that a task must be able to spare to be preempted: the stop, resuming
 * the work (0.1 to 0.6 s) and a wait for capacity, which is up to 1.4 s in 95
 * of 100 cases. */
#define PREEMPT_SPARE_TIME_MIN (4 * GB_SEC)
/** No preemption if a stop may take longer than this, because the capacity is
 * idle meanwhile: more gangs meet their objective with stops of 0.2 s, but not
 * with stops of 0.9 s. */
#define PREEMPT_STOP_TIME_MAX (400 * GB_MSEC)
/** A task that is expected to end within this time is not preempted. */
#define PREEMPT_TIME_LEFT_MIN (500 * GB_MSEC)
/** Time from the end of a stop until the start orders of the gang arrive: the
 * report of the worker and the next dispatch. */
#define PREEMPT_START_DELAY (250 * GB_MSEC)
/** Pause before the same gang preempts more, if others took the capacity. */
#define PREEMPT_RETRY_DELAY (700 * GB_MSEC)
/** Pause before it is checked again whether preemption could free enough
 * capacity: a check costs up to 0.2 ms for a gang on 350 workers. */
#define PREEMPT_CHECK_INTERVAL (40 * GB_MSEC)
/** Maximum number of tasks of one gang, and of runs that may be stopped, that
 * are considered on one worker. */
#define PREEMPT_WORKER_SLOTS_MAX 32

/** Capacity for one more task of the gang on a worker, and the cost of freeing
 * it. */
struct preempt_slot {
	int64_t
	    cost; /**< processors of the runs to be stopped, in thousandths */
	uint32_t worker;
};

/** Time that a flow can lose without earning less. A flow that can earn nothing
 * any more can always spare enough to be preempted. */
static gb_time
flow_spare_time(const struct gb_pool *pool, const struct pool_flow *flow)
{
	gb_time finish = pool->now + flow->chain;

	if (finish <= flow->due)
		return flow->due - finish;
	if (finish <= flow->late_due)
		return flow->late_due - finish;
	return PREEMPT_SPARE_TIME_MIN;
}

static bool
run_is_preemptible(const struct gb_pool *pool, const struct pool_flow *gang,
    const struct pool_run *run)
{
	const struct pool_step *step = &run->flow->steps[run->step];

	return run->flow != gang && run->state == POOL_RUN_RUNNING &&
	       run->confirmed != 0 &&
	       (step->spec->flags & GB_STEP_CHECKPOINT) != 0 &&
	       (step->spec->flags & GB_STEP_GANG) == 0 &&
	       !step->tasks[run->index].preempted &&
	       run->flow->status < GB_FLOW_SUCCEEDED &&
	       pool_run_time_left(pool, run) > PREEMPT_TIME_LEFT_MIN &&
	       flow_spare_time(pool, run->flow) >= PREEMPT_SPARE_TIME_MIN;
}

static int
run_compare(const void *a, const void *b)
{
	const struct pool_run *x = *(const struct pool_run *const *)a;
	const struct pool_run *y = *(const struct pool_run *const *)b;

	return x->res.cpu < y->res.cpu ? -1 : x->res.cpu > y->res.cpu;
}

/** Finds the runs of a worker that may be stopped, the smallest first. */
static uint32_t
worker_find_victims(const struct gb_pool *pool, const struct pool_flow *gang,
    const struct pool_worker *worker, struct pool_run **out)
{
	struct pool_run *run;
	uint32_t count = 0;

	TAILQ_FOREACH(run, &worker->runs, of_worker)
	{
		if (count < PREEMPT_WORKER_SLOTS_MAX &&
		    run_is_preemptible(pool, gang, run))
			out[count++] = run;
	}
	qsort(out, count, sizeof(*out), run_compare);
	return count;
}

/** Finds capacity for up to `limit` tasks of a step on a worker and fills in
 * the cost of each, unless `slots` is null. Stops the runs that must be stopped
 * for it if `stop` is set. */
static uint32_t
worker_find_slots(struct gb_pool *pool, struct pool_flow *flow,
    const struct pool_step *step, struct pool_worker *worker, uint32_t limit,
    struct preempt_slot *slots, bool stop)
{
	struct pool_run *victims[PREEMPT_WORKER_SLOTS_MAX];
	uint32_t victim_count =
	    worker_find_victims(pool, flow, worker, victims);
	gb_res avail = pool_fit_free_capacity(worker);
	int64_t cost = 0;
	uint32_t next = 0;
	uint32_t count = 0;

	gb_res_sub(&avail, &worker->reserved);
	while (count < limit) {
		if (gb_res_fits(&step->spec->res, &avail)) {
			if (slots != NULL) {
				slots[count].cost = cost;
				slots[count].worker = worker->handle;
			}
			count++;
			gb_res_sub(&avail, &step->spec->res);
			continue;
		}
		if (next == victim_count)
			break;
		cost += victims[next]->res.cpu;
		gb_res_add(&avail, &victims[next]->res);
		if (stop) {
			const struct pool_run *run = victims[next];

			run->flow->steps[run->step]
			    .tasks[run->index]
			    .preempted = true;
			pool_run_stop(
			    pool, victims[next], "room for a gang that is due");
			pool->stats.preempted++;
		}
		next++;
	}
	return count;
}

static int
slot_compare(const void *a, const void *b)
{
	const struct preempt_slot *x = a;
	const struct preempt_slot *y = b;

	if (x->cost != y->cost)
		return x->cost < y->cost ? -1 : 1;
	return x->worker < y->worker ? -1 : x->worker > y->worker;
}

/** Whether start orders of the step could be sent to a worker once the stops
 * are done. */
static bool
worker_is_eligible(const struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_step *step, const struct pool_worker *worker,
    bool tickets)
{
	const struct pool_approval *ticket;

	if (worker == NULL || !pool_fit_usable(pool, worker, flow->partition) ||
	    !pool_fit_allows(pool, flow, step, worker))
		return false;
	if (!tickets || !POOL_ADVICE_NEEDED(flow))
		return true;
	ticket = pool_fit_ticket(
	    pool, flow, step, worker->handle, pool_step_starts_together(step));
	return ticket != NULL &&
	       ticket->expires >
		   pool->now + pool->cfg.limits.stop_us + PREEMPT_START_DELAY;
}

/** Finds all possible slots, the cheapest first. The caller frees the array. */
static uint32_t
step_find_slots(struct gb_pool *pool, struct pool_flow *flow,
    const struct pool_step *step, bool tickets, struct preempt_slot **out)
{
	bool advice = POOL_ADVICE_NEEDED(flow);
	uint32_t worker_count =
	    advice ? step->approved_count : pool->worker_count;
	uint32_t limit = step->spec->per_worker == 0 ? step->spec->count
						     : step->spec->per_worker;
	struct preempt_slot *slots;
	uint32_t count = 0;
	uint32_t i;

	if (limit > PREEMPT_WORKER_SLOTS_MAX)
		limit = PREEMPT_WORKER_SLOTS_MAX;
	slots = gb_calloc((size_t)worker_count * limit, sizeof(*slots));
	for (i = 0; i < worker_count; i++) {
		struct pool_worker *worker = pool_worker_get(
		    pool, advice ? step->approved[i].worker : i);

		if (worker_is_eligible(pool, flow, step, worker, tickets))
			count += worker_find_slots(pool, flow, step, worker,
			    limit, &slots[count], false);
	}
	qsort(slots, count, sizeof(*slots), slot_compare);
	*out = slots;
	return count;
}

/** Stops the runs that use the capacity of these slots. */
static void
slots_stop_runs(struct gb_pool *pool, struct pool_flow *flow,
    const struct pool_step *step, const struct preempt_slot *slots,
    uint32_t count)
{
	uint32_t *tasks = gb_calloc(pool->worker_count, sizeof(*tasks));
	uint32_t i;

	for (i = 0; i < count; i++)
		tasks[slots[i].worker]++;
	for (i = 0; i < pool->worker_count; i++) {
		if (tasks[i] > 0)
			worker_find_slots(pool, flow, step, pool->workers[i],
			    tasks[i], NULL, true);
	}
	free(tasks);
}

static void
slots_fill_workers(
    const struct preempt_slot *slots, uint32_t count, uint32_t *workers)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		workers[i] = slots[i].worker;
}

enum pool_preempt_result
pool_preempt(struct gb_pool *pool, struct pool_flow *flow,
    struct pool_step *step, uint32_t *workers)
{
	gb_time spare = flow->due - flow->chain - pool->now;
	uint32_t wanted = step->spec->count;
	enum pool_preempt_result result = POOL_PREEMPT_NONE;
	struct preempt_slot *slots;

	if (!POOL_FEATURE_ENABLED(pool, GB_FEATURE_PREEMPTION) ||
	    pool->cfg.limits.stop_us > PREEMPT_STOP_TIME_MAX || spare < 0 ||
	    step->preempt_at > pool->now || step->ticket_calls_in_flight > 0 ||
	    (step->spec->flags & GB_STEP_SAME_RACK) != 0)
		return POOL_PREEMPT_NONE;
	if (step_find_slots(pool, flow, step, true, &slots) >= wanted) {
		result = POOL_PREEMPT_STOPPED;
		slots_fill_workers(slots, wanted, workers);
		slots_stop_runs(pool, flow, step, slots, wanted);
		gb_event(pool->cfg.events, GB_EVENT_NORMAL, "room_made",
		    "{s:s, s:I, s:I}", "flow", flow->spec.id, "tasks",
		    (json_int_t)wanted, "spare_ms",
		    (json_int_t)(spare / GB_MSEC));
	} else if (POOL_ADVICE_NEEDED(flow)) {
		free(slots);
		if (step_find_slots(pool, flow, step, false, &slots) >=
		    wanted) {
			result = POOL_PREEMPT_TICKETS;
			slots_fill_workers(slots, wanted, workers);
		}
	}
	free(slots);
	step->preempt_at =
	    pool->now + (result == POOL_PREEMPT_STOPPED
				? pool->cfg.limits.stop_us + PREEMPT_RETRY_DELAY
				: PREEMPT_CHECK_INTERVAL);
	return result;
}
