/**
 * @file book.c
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
#define BOOK_OVERDUE (150 * GB_MSEC)
/** Progress below this says little about the speed of a run, in percent. */
#define BOOK_PROGRESS 10

gb_time
pool_book_run_left(const struct gb_pool *pool, const struct pool_run *run)
{
	const struct pool_step *step = &run->flow->steps[run->step];
	gb_time whole = pool_rank_estimate(pool, run->flow, step);
	gb_time left;

	if (run->state == POOL_RUN_STOPPING)
		return pool->cfg.limits.stop_us;
	if (run->percent >= BOOK_PROGRESS && run->moved > run->started)
		whole = (run->moved - run->started) * 100 / run->percent;
	left = run->started + whole - pool->now;
	return left > BOOK_OVERDUE ? left : BOOK_OVERDUE;
}

/** Room that falls free on a worker at some time. */
struct book_slot {
	gb_time wait;
	uint32_t worker;
};

static int
slot_compare(const void *a, const void *b)
{
	const struct book_slot *x = a;
	const struct book_slot *y = b;

	if (x->wait != y->wait)
		return x->wait < y->wait ? -1 : 1;
	return x->worker < y->worker ? -1 : x->worker > y->worker;
}

/** A run and when it is expected to end. */
struct book_end {
	gb_time left;
	const struct pool_run *run;
};

static int
end_compare(const void *a, const void *b)
{
	const struct book_end *x = a;
	const struct book_end *y = b;

	return x->left < y->left ? -1 : x->left > y->left;
}

/** When a worker will have room for one, two and more tasks of the step. */
static size_t
worker_slots(const struct gb_pool *pool, const struct pool_step *step,
    const struct pool_worker *worker, struct book_slot *out)
{
	struct book_end *ends = gb_calloc(worker->run_count, sizeof(*ends));
	uint32_t limit = step->spec->per_worker == 0 ? step->spec->count
						      : step->spec->per_worker;
	gb_res room = pool_fit_free(worker);
	gb_time wait = 0;
	size_t count = 0;
	uint32_t n = 0;
	uint32_t next = 0;
	const struct pool_run *run;

	gb_res_sub(&room, &worker->booked);
	TAILQ_FOREACH(run, &worker->runs, of_worker) {
		ends[n].run = run;
		ends[n++].left = pool_book_run_left(pool, run);
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
	free(ends);
	return count;
}

static void
book_take(struct gb_pool *pool, const struct pool_step *step,
    const struct book_slot *slot, gb_time at)
{
	struct pool_worker *worker = pool->workers[slot->worker];

	gb_res_add(&worker->booked, &step->spec->res);
	if (worker->booked_at == 0 || at < worker->booked_at)
		worker->booked_at = at;
}

bool
pool_book(struct gb_pool *pool, struct pool_flow *flow, struct pool_step *step,
    gb_time *wait)
{
	uint32_t wanted = step->spec->count;
	struct book_slot *slots;
	size_t count = 0;
	uint32_t i;

	slots = gb_calloc(
	    (size_t)wanted * (pool->worker_count + 1), sizeof(*slots));
	for (i = 0; i < pool->worker_count; i++) {
		const struct pool_worker *worker = pool->workers[i];

		if (pool_fit_usable(pool, worker) &&
		    pool_fit_allows(pool, flow, step, worker) &&
		    pool_fit_approved(pool, flow, step, worker->handle))
			count +=
			    worker_slots(pool, step, worker, &slots[count]);
	}
	if (count < wanted) {
		free(slots);
		return false;
	}
	qsort(slots, count, sizeof(*slots), slot_compare);
	*wait = slots[wanted - 1].wait;
	for (i = 0; i < wanted; i++)
		book_take(pool, step, &slots[i], pool->now + *wait);
	free(slots);
	return true;
}

void
pool_book_clear(struct gb_pool *pool)
{
	static const gb_res none;
	uint32_t i;

	for (i = 0; i < pool->worker_count; i++) {
		struct pool_worker *worker = pool->workers[i];

		worker->was_booked = worker->booked_at != 0;
		worker->booked = none;
		worker->booked_at = 0;
	}
}
