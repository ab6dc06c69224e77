/**
 * @file reservation.c
 * Capacity reserved for gangs.
 *
 * Problem: a gang needs capacity for all its tasks at one moment, sometimes
 * nearly whole workers, and only some workers may run it. On a pool that is
 * four fifths full smaller work would take all capacity as soon as it is free,
 * and the gang would never start. For a gang without enough free capacity, the
 * earliest moment is worked out at which enough runs will have ended, and the
 * workers are reserved for it. Workers on which it would be in time, by their
 * speeds, are taken first. Work that is ranked behind the gang may
 * use them only if it ends before that moment.
 */
#include <stdlib.h>

#include "state.h"

/** Remaining time assumed for a run that has taken longer than expected. */
#define RESERVE_TIME_LEFT_MIN (150 * GB_MSEC)
/** Maximum number of tasks of one gang that are considered on one worker, and
 * of runs of a worker whose ends are considered: a worker has about 8 runs. */
#define RESERVE_WORKER_SLOTS_MAX 32
#define RESERVE_WORKER_RUNS_MAX 64
/** Progress in percent below which it says little about the speed of a run. */
#define RESERVE_PROGRESS_MIN_PERCENT 10

bool
pool_run_progress_known(const struct pool_run *run)
{
	return run->percent >= RESERVE_PROGRESS_MIN_PERCENT &&
	       run->progress_at > run->started;
}

gb_time
pool_run_time_left(const struct gb_pool *pool, const struct pool_run *run)
{
	const struct pool_step *step = &run->flow->steps[run->step];
	gb_time run_time = pool_rank_estimate(pool, run->flow, step);
	gb_time left;

	if (run->state == POOL_RUN_STOPPING)
		return pool->cfg.limits.stop_us;
	run_time = (gb_time)((double)run_time *
			     pool_speed_slowness(pool, run->worker));
	if (pool_run_progress_known(run))
		run_time =
		    (run->progress_at - run->started) * 100 / run->percent;
	left = run->started + run_time - pool->now;
	return left > RESERVE_TIME_LEFT_MIN ? left : RESERVE_TIME_LEFT_MIN;
}

/** Capacity for a task that becomes free on a worker at some time. */
struct pool_slot {
	gb_time wait; /**< time until then */
	gb_time late; /**< time until a task that starts then has ended, 0: its
			 flow is in time */
	uint32_t worker;
};

static int
slot_compare(const void *a, const void *b)
{
	const struct pool_slot *x = a;
	const struct pool_slot *y = b;

	if (x->late != y->late)
		return x->late < y->late ? -1 : 1;
	if (x->wait != y->wait)
		return x->wait < y->wait ? -1 : 1;
	return x->worker < y->worker ? -1 : x->worker > y->worker;
}

/** A run and its expected remaining time. */
struct reserve_end {
	gb_time left;
	const struct pool_run *run;
};

static int
end_compare(const void *a, const void *b)
{
	const struct reserve_end *x = a;
	const struct reserve_end *y = b;

	return x->left < y->left ? -1 : x->left > y->left;
}

/** Finds when a worker will have capacity for one, two and more tasks of the
 * step. */
static size_t
worker_find_slots(const struct gb_pool *pool, const struct pool_step *step,
    const struct pool_worker *worker, struct pool_slot *out)
{
	struct reserve_end ends[RESERVE_WORKER_RUNS_MAX];
	uint32_t limit = step->spec->per_worker == 0 ? step->spec->count
						     : step->spec->per_worker;
	gb_res avail = pool_fit_free_capacity(worker);
	gb_time wait = 0;
	size_t count = 0;
	uint32_t end_count = 0;
	uint32_t next = 0;
	const struct pool_run *run;

	gb_res_sub(&avail, &worker->reserved);
	if (limit > RESERVE_WORKER_SLOTS_MAX)
		limit = RESERVE_WORKER_SLOTS_MAX;
	TAILQ_FOREACH(run, &worker->runs, of_worker)
	{
		if (end_count == RESERVE_WORKER_RUNS_MAX)
			break;
		ends[end_count].run = run;
		ends[end_count++].left = pool_run_time_left(pool, run);
	}
	qsort(ends, end_count, sizeof(*ends), end_compare);
	while (count < limit) {
		if (gb_res_fits(&step->spec->res, &avail)) {
			out[count].wait = wait;
			out[count++].worker = worker->handle;
			gb_res_sub(&avail, &step->spec->res);
			continue;
		}
		if (next == end_count)
			break;
		wait = ends[next].left;
		gb_res_add(&avail, &ends[next++].run->res);
	}
	return count;
}

/** Fills in when a task would end in each slot of a worker, 0 if that is in
 * time for its flow: such slots are taken in the order in which they get free,
 * so that a gang doesn't wait for the fastest workers. */
static void
slots_set_late(const struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_step *step, struct pool_slot *slots, size_t count)
{
	double estimate = (double)pool_rank_estimate(pool, flow, step);
	double latest = estimate * pool_speed_allowed(pool, flow);
	size_t i;

	for (i = 0; i < count; i++) {
		double end = (double)slots[i].wait +
			     estimate * pool_speed_slowness(pool,
					    pool->workers[slots[i].worker]);

		slots[i].late = end <= latest ? 0 : (gb_time)end;
	}
}

/** Longest time until one of the slots is free. */
static gb_time
slots_wait(const struct pool_slot *slots, uint32_t count)
{
	gb_time longest = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (slots[i].wait > longest)
			longest = slots[i].wait;
	}
	return longest;
}

/** Reserves the capacity of a slot for a gang that needs it at a time. */
static void
slot_reserve(struct gb_pool *pool, const struct pool_step *step,
    const struct pool_slot *slot, gb_time at)
{
	struct pool_worker *worker = pool->workers[slot->worker];

	gb_res_add(&worker->reserved, &step->spec->res);
	if (worker->reserved_at == 0 || at < worker->reserved_at)
		worker->reserved_at = at;
}

/** Returns scratch space for so many slots. */
static struct pool_slot *
reserve_scratch(struct gb_pool *pool, size_t wanted)
{
	if (pool->slot_size < wanted) {
		pool->slot_size = wanted;
		pool->slots =
		    gb_realloc(pool->slots, wanted * sizeof(*pool->slots));
	}
	return pool->slots;
}

bool
pool_reserve(struct gb_pool *pool, struct pool_flow *flow,
    struct pool_step *step, gb_time *wait, uint32_t *workers)
{
	uint32_t wanted = step->spec->count;
	uint32_t worker_count = POOL_ADVICE_NEEDED(flow) ? step->approved_count
							 : pool->worker_count;
	struct pool_slot *slots;
	size_t count = 0;
	size_t found;
	uint32_t i;

	slots = reserve_scratch(
	    pool, (size_t)worker_count * RESERVE_WORKER_SLOTS_MAX);
	for (i = 0; i < worker_count; i++) {
		const struct pool_worker *worker =
		    POOL_ADVICE_NEEDED(flow)
			? pool_worker_get(pool, step->approved[i].worker)
			: pool->workers[i];

		if (!pool_fit_usable(pool, worker, flow->partition) ||
		    !pool_fit_allows(pool, flow, step, worker) ||
		    pool_speed_too_slow(pool, flow, step, worker))
			continue;
		found = worker_find_slots(pool, step, worker, &slots[count]);
		slots_set_late(pool, flow, step, &slots[count], found);
		count += found;
	}
	if (count < wanted)
		return false;
	qsort(slots, count, sizeof(*slots), slot_compare);
	*wait = slots_wait(slots, wanted);
	for (i = 0; i < wanted; i++) {
		slot_reserve(pool, step, &slots[i], pool->now + *wait);
		workers[i] = slots[i].worker;
	}
	return true;
}

void
pool_reservations_clear(struct gb_pool *pool)
{
	static const gb_res none;
	uint32_t i;

	pool->reservations = 0;
	for (i = 0; i < pool->worker_count; i++) {
		struct pool_worker *worker = pool->workers[i];

		worker->was_reserved = worker->reserved_at != 0;
		worker->reserved = none;
		worker->reserved_at = 0;
	}
}
