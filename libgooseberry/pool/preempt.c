/**
 * @file preempt.c
 * Room made for a gang by stopping work that can wait.
 *
 * Load: the pool is four fifths full or more, two fifths of it with imports
 * that have four times their length to end in.  A gang needs room for all its
 * tasks at one moment and has about its own length to spare; booked room comes
 * too late for one in six even on calm days.  A worker saves what a stopped
 * task has done if the task makes checkpoints, so that stopping it costs the
 * time of a stop and of taking the work up again.
 *
 * Limits: only a gang that would otherwise miss its objective stops others, and
 * only those that keep theirs by a margin, or can earn nothing any more; a task
 * is stopped for others once, so that nobody is driven from place to place.
 */
#include <stdlib.h>

#include <jansson.h>

#include "state.h"

/** Time that a task must be able to spare to be stopped: the stop, the work
 * taken up again (0.1 to 0.6 s) and a wait for room, 1.4 s for 95 in 100. */
#define PREEMPT_SLACK (4 * GB_SEC)
/** Stops that may take longer leave the room idle for too long: with 0.2 s
 * gangs gain, with 0.9 s they do not. */
#define PREEMPT_STOP_MOST (400 * GB_MSEC)
/** A task that is expected to end within this is waited for. */
#define PREEMPT_ENDS_SOON (500 * GB_MSEC)
/** From the end of a stop until the gang's orders arrive: the worker's report
 * and the next dispatch. */
#define PREEMPT_DELAY (250 * GB_MSEC)
/** Pause before the same gang stops more, when others took the room. */
#define PREEMPT_AGAIN (700 * GB_MSEC)
/** Pause before it is worked out again whether room could be made: costs up to
 * 0.2 ms for a gang on 350 workers. */
#define PREEMPT_LOOK (40 * GB_MSEC)
/** Tasks of one gang, and victims, that are counted on one worker. */
#define PREEMPT_WORKER_MOST 32

/** Room for one more task of the gang on a worker, and what it takes. */
struct preempt_slot {
	int64_t cost; /**< thousandths of cores that are stopped */
	uint32_t worker;
};

/** Time that a flow can lose without earning less. */
static gb_time
flow_spare(const struct gb_pool *pool, const struct pool_flow *flow)
{
	gb_time until = pool->now + flow->chain;

	if (until <= flow->due)
		return flow->due - until;
	if (until <= flow->late_due)
		return flow->late_due - until;
	return PREEMPT_SLACK;
}

static bool
run_may_stop(const struct gb_pool *pool, const struct pool_flow *gang,
    const struct pool_run *run)
{
	const struct pool_step *step = &run->flow->steps[run->step];

	return run->flow != gang && run->state == POOL_RUN_RUNNING &&
	       run->confirmed != 0 &&
	       (step->spec->flags & GB_STEP_CHECKPOINT) != 0 &&
	       (step->spec->flags & GB_STEP_GANG) == 0 &&
	       !step->tasks[run->index].preempted &&
	       run->flow->status < GB_FLOW_SUCCEEDED &&
	       pool_run_time_left(pool, run) > PREEMPT_ENDS_SOON &&
	       flow_spare(pool, run->flow) >= PREEMPT_SLACK;
}

static int
run_compare(const void *a, const void *b)
{
	const struct pool_run *x = *(const struct pool_run *const *)a;
	const struct pool_run *y = *(const struct pool_run *const *)b;

	return x->res.cpu < y->res.cpu ? -1 : x->res.cpu > y->res.cpu;
}

/** Runs of a worker that may be stopped, the smallest first. */
static uint32_t
worker_victims(const struct gb_pool *pool, const struct pool_flow *gang,
    const struct pool_worker *worker, struct pool_run **out)
{
	struct pool_run *run;
	uint32_t count = 0;

	TAILQ_FOREACH(run, &worker->runs, of_worker)
	{
		if (count < PREEMPT_WORKER_MOST &&
		    run_may_stop(pool, gang, run))
			out[count++] = run;
	}
	qsort(out, count, sizeof(*out), run_compare);
	return count;
}

/** Room for `most` tasks of a step on a worker; fills in what each takes, and
 * stops what has to be stopped if that is asked for. */
static uint32_t
worker_free_capacity(struct gb_pool *pool, struct pool_flow *flow,
    const struct pool_step *step, struct pool_worker *worker, uint32_t most,
    struct preempt_slot *slots, bool stop)
{
	struct pool_run *victims[PREEMPT_WORKER_MOST];
	uint32_t victim_count = worker_victims(pool, flow, worker, victims);
	gb_res room = pool_fit_free(worker);
	int64_t cost = 0;
	uint32_t next = 0;
	uint32_t count = 0;

	gb_res_sub(&room, &worker->reserved);
	while (count < most) {
		if (gb_res_fits(&step->spec->res, &room)) {
			if (slots != NULL) {
				slots[count].cost = cost;
				slots[count].worker = worker->handle;
			}
			count++;
			gb_res_sub(&room, &step->spec->res);
			continue;
		}
		if (next == victim_count)
			break;
		cost += victims[next]->res.cpu;
		gb_res_add(&room, &victims[next]->res);
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

/** Whether the step's orders could go to a worker once the stops are over. */
static bool
worker_fits(const struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_step *step, const struct pool_worker *worker,
    bool tickets)
{
	const struct pool_approval *ticket;

	if (worker == NULL || !pool_fit_usable(pool, worker, flow->partition) ||
	    !pool_fit_allows(pool, flow, step, worker))
		return false;
	if (!tickets || !POOL_ADVICE_NEEDED(flow))
		return true;
	ticket = pool_fit_ticket(pool, step, worker->handle);
	return ticket != NULL &&
	       ticket->expires >
		   pool->now + pool->cfg.limits.stop_us + PREEMPT_DELAY;
}

/** All slots that there could be, the cheapest first; the array is freed by the
 * caller. */
static uint32_t
step_slots(struct gb_pool *pool, struct pool_flow *flow,
    const struct pool_step *step, bool tickets, struct preempt_slot **out)
{
	bool advice = POOL_ADVICE_NEEDED(flow);
	uint32_t choice = advice ? step->approved_count : pool->worker_count;
	uint32_t most = step->spec->per_worker == 0 ? step->spec->count
						    : step->spec->per_worker;
	struct preempt_slot *slots;
	uint32_t count = 0;
	uint32_t i;

	if (most > PREEMPT_WORKER_MOST)
		most = PREEMPT_WORKER_MOST;
	slots = gb_calloc((size_t)choice * most, sizeof(*slots));
	for (i = 0; i < choice; i++) {
		struct pool_worker *worker = pool_worker_get(
		    pool, advice ? step->approved[i].worker : i);

		if (worker_fits(pool, flow, step, worker, tickets))
			count += worker_free_capacity(pool, flow, step, worker,
			    most, &slots[count], false);
	}
	qsort(slots, count, sizeof(*slots), slot_compare);
	*out = slots;
	return count;
}

/** Stop what stands in the way of the cheapest slots. */
static void
slots_clear(struct gb_pool *pool, struct pool_flow *flow,
    const struct pool_step *step, const struct preempt_slot *slots,
    uint32_t count)
{
	uint32_t *tasks = gb_calloc(pool->worker_count, sizeof(*tasks));
	uint32_t i;

	for (i = 0; i < count; i++)
		tasks[slots[i].worker]++;
	for (i = 0; i < pool->worker_count; i++) {
		if (tasks[i] > 0)
			worker_free_capacity(pool, flow, step, pool->workers[i],
			    tasks[i], NULL, true);
	}
	free(tasks);
}

static void
slots_workers(
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
	enum pool_preempt_result room = POOL_PREEMPT_NONE;
	struct preempt_slot *slots;

	if (!POOL_USES(pool, GB_FEATURE_PREEMPTION) ||
	    pool->cfg.limits.stop_us > PREEMPT_STOP_MOST || spare < 0 ||
	    step->preempt_at > pool->now || step->renews_in_flight > 0 ||
	    (step->spec->flags & GB_STEP_SAME_RACK) != 0)
		return POOL_PREEMPT_NONE;
	if (step_slots(pool, flow, step, true, &slots) >= wanted) {
		room = POOL_PREEMPT_STOPPED;
		slots_workers(slots, wanted, workers);
		slots_clear(pool, flow, step, slots, wanted);
		gb_event(pool->cfg.events, GB_EVENT_NORMAL, "room_made",
		    "{s:s, s:I, s:I}", "flow", flow->spec.id, "tasks",
		    (json_int_t)wanted, "spare_ms",
		    (json_int_t)(spare / GB_MSEC));
	} else if (POOL_ADVICE_NEEDED(flow)) {
		free(slots);
		if (step_slots(pool, flow, step, false, &slots) >= wanted) {
			room = POOL_PREEMPT_TICKETS;
			slots_workers(slots, wanted, workers);
		}
	}
	free(slots);
	step->preempt_at =
	    pool->now + (room == POOL_PREEMPT_STOPPED
				? pool->cfg.limits.stop_us + PREEMPT_AGAIN
				: PREEMPT_LOOK);
	return room;
}
