/**
 * @file reservation.c
 * Room kept for gangs.
 *
 * Load: a gang needs room for all its tasks at one moment, at times nearly
 * whole workers, and only some workers may run it.  On a pool that is four
 * fifths full smaller work would take every piece of room as it falls free, so
 * that the gang never starts.  For a gang that finds no room, the earliest
 * moment is worked out at which enough of what runs will have ended, and the
 * workers are booked for it; whoever stands behind it may use them only for
 * work that is over by then.
 */
#include <stdlib.h>

#include "state.h"

/** What is left of a run that has taken longer than was expected. */
#define RESERVE_OVERDUE (150 * GB_MSEC)
/** Tasks of one gang that are counted on one worker, and runs of a worker whose
 * ends are looked at: a worker holds about 8. */
#define RESERVE_SLOTS_MOST 32
#define RESERVE_RUNS_MOST 64
/** Progress below this says little about the speed of a run, in percent. */
#define RESERVE_PROGRESS 10

gb_time
pool_run_time_left(const struct gb_pool *pool, const struct pool_run *run)
{
	const struct pool_step *step = &run->flow->steps[run->step];
	gb_time whole = pool_rank_estimate(pool, run->flow, step);
	gb_time left;

	if (run->state == POOL_RUN_STOPPING)
		return pool->cfg.limits.stop_us;
	if (run->percent >= RESERVE_PROGRESS && run->moved > run->started)
		whole = (run->moved - run->started) * 100 / run->percent;
	left = run->started + whole - pool->now;
	return left > RESERVE_OVERDUE ? left : RESERVE_OVERDUE;
}

/** Room that falls free on a worker at some time. */
struct pool_slot {
	gb_time wait;
	uint32_t worker;
};

static int
slot_compare(const void *a, const void *b)
{
	const struct pool_slot *x = a;
	const struct pool_slot *y = b;

	if (x->wait != y->wait)
		return x->wait < y->wait ? -1 : 1;
	return x->worker < y->worker ? -1 : x->worker > y->worker;
}

/** A run and when it is expected to end. */
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

/** When a worker will have room for one, two and more tasks of the step. */
static size_t
worker_slots(const struct gb_pool *pool, const struct pool_step *step,
    const struct pool_worker *worker, struct pool_slot *out)
{
	struct reserve_end ends[RESERVE_RUNS_MOST];
	uint32_t limit = step->spec->per_worker == 0 ? step->spec->count
						     : step->spec->per_worker;
	gb_res room = pool_fit_free(worker);
	gb_time wait = 0;
	size_t count = 0;
	uint32_t n = 0;
	uint32_t next = 0;
	const struct pool_run *run;

	gb_res_sub(&room, &worker->reserved);
	if (limit > RESERVE_SLOTS_MOST)
		limit = RESERVE_SLOTS_MOST;
	TAILQ_FOREACH(run, &worker->runs, of_worker)
	{
		if (n == RESERVE_RUNS_MOST)
			break;
		ends[n].run = run;
		ends[n++].left = pool_run_time_left(pool, run);
	}
	qsort(ends, n, sizeof(*ends), end_compare);
	while (count < limit) {
		if (gb_res_fits(&step->spec->res, &room)) {
			out[count].wait = wait;
			out[count++].worker = worker->handle;
			gb_res_sub(&room, &step->spec->res);
			continue;
		}
		if (next == n)
			break;
		wait = ends[next].left;
		gb_res_add(&room, &ends[next++].run->res);
	}
	return count;
}

static void
reserve_take(struct gb_pool *pool, const struct pool_step *step,
    const struct pool_slot *slot, gb_time at)
{
	struct pool_worker *worker = pool->workers[slot->worker];

	gb_res_add(&worker->reserved, &step->spec->res);
	if (worker->reserved_at == 0 || at < worker->reserved_at)
		worker->reserved_at = at;
}

/** Room for the slots of all workers, were they empty. */
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
	uint32_t choice = POOL_ADVICE_NEEDED(flow) ? step->approved_count
						   : pool->worker_count;
	struct pool_slot *slots;
	size_t count = 0;
	uint32_t i;

	slots = reserve_scratch(pool, (size_t)choice * RESERVE_SLOTS_MOST);
	for (i = 0; i < choice; i++) {
		const struct pool_worker *worker =
		    POOL_ADVICE_NEEDED(flow)
			? pool_worker_get(pool, step->approved[i].worker)
			: pool->workers[i];

		if (pool_fit_usable(pool, worker, flow->partition) &&
		    pool_fit_allows(pool, flow, step, worker))
			count +=
			    worker_slots(pool, step, worker, &slots[count]);
	}
	if (count < wanted)
		return false;
	qsort(slots, count, sizeof(*slots), slot_compare);
	*wait = slots[wanted - 1].wait;
	for (i = 0; i < wanted; i++) {
		reserve_take(pool, step, &slots[i], pool->now + *wait);
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
