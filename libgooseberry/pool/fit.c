/**
 * @file fit.c
 * Placement: which workers run the tasks of a step.
 *
 * Problem: gangs of up to 48 tasks that only a quarter of the workers may run
 * compete with small single tasks that most workers may run. Workers are
 * therefore filled one after the other, starting with the fullest one that
 * still has capacity, so that whole workers stay free for the gangs.
 */
#include <stdlib.h>
#include <string.h>

#include "crash.h"
#include "state.h"

/** A ticket must remain valid for this long, until the order reaches the
 * worker: a round trip between data centres.  The time that the link takes to
 * send what is queued and the starts of the step is added. */
#define FIT_TICKET_VALID_MIN (60 * GB_MSEC)
/** Added to the score of a worker outside the rack that the step names. The
 * score is otherwise about the share of the worker's processors that stays free
 * (0 to 1), and the lowest is used first, so such workers are used last. */
#define FIT_OTHER_RACK_PENALTY 4.0
/** Speeds of workers differ by a factor of 2.7. Of the workers on which a flow
 * ends in time it prefers the slow ones, less than it prefers full ones. The
 * others come last, the slowest at the end. The weights are the change of the
 * score for a worker that is twice as slow as others. */
#define FIT_SLOW_WEIGHT 0.5
#define FIT_FAST_WEIGHT 2.0
#define FIT_TOO_SLOW_PENALTY 1.0
/** Added to the score of a worker with capacity reserved for a waiting gang:
 * other workers are used first. */
#define FIT_RESERVED_PENALTY 0.5
/** Added to the score of a worker with a new run of another flow, if the step
 * has crash suspects: on other workers a second crash shows which task caused
 * it. */
#define FIT_NEW_RUN_PENALTY 10.0
/** Added to the score of a worker with failures since its last run that was
 * done. */
#define FIT_FAILURE_PENALTY 1.0

gb_res
pool_fit_free_capacity(const struct pool_worker *worker)
{
	gb_res avail = worker->entry.capacity;

	gb_res_sub(&avail, &worker->used);
	gb_res_sub(&avail, &worker->claimed);
	return avail;
}

bool
pool_fit_usable(const struct gb_pool *pool, const struct pool_worker *worker,
    uint32_t partition)
{
	return pool_worker_offered(worker) && worker->fenced &&
	       (worker->in_stored_sets & (UINT32_C(1) << partition)) != 0 &&
	       !worker->ended && !worker->has_unknown_runs &&
	       !worker->entry.draining && pool_incarnation_listed(worker) &&
	       !worker->maybe_restarted && worker->silent == 0 &&
	       worker->quarantined_until <= pool->now &&
	       !pool_crash_has_new_suspect(worker);
}

static bool
fit_has_label(const struct pool_worker *worker, const char *label)
{
	uint32_t i;

	for (i = 0; i < worker->entry.label_count; i++) {
		if (strcmp(worker->entry.label[i], label) == 0)
			return true;
	}
	return false;
}

static const char *
fit_service(const struct pool_flow *flow)
{
	return flow->queue == NULL ? flow->spec.service : flow->queue->service;
}

bool
pool_fit_allows(const struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_step *step, const struct pool_worker *worker)
{
	(void)pool;
	if (strcmp(worker->entry.service, fit_service(flow)) != 0)
		return false;
	return step->spec->label[0] == '\0' ||
	       fit_has_label(worker, step->spec->label);
}

static const struct pool_approval *
fit_approval(const struct pool_step *step, uint32_t worker)
{
	uint32_t i;

	for (i = 0; i < step->approved_count; i++) {
		if (step->approved[i].worker == worker)
			return &step->approved[i];
	}
	return NULL;
}

const struct pool_approval *
pool_fit_ticket(const struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_step *step, uint32_t worker, uint32_t starts)
{
	const struct pool_approval *a = fit_approval(step, worker);

	if (a == NULL ||
	    a->expires < pool->now + FIT_TICKET_VALID_MIN +
			     pool_pace_send_time(pool, &flow->spec, starts) ||
	    a->incarnation != pool_worker_get(pool, worker)->incarnation)
		return NULL;
	return a;
}

uint32_t
pool_step_starts_together(const struct pool_step *step)
{
	return (step->spec->flags & GB_STEP_GANG) != 0 ? step->spec->count : 1;
}

/** How many tasks fit into the free resources of one worker. */
static uint32_t
fit_task_count(const gb_res *need, const gb_res *avail)
{
	int64_t tasks = INT32_MAX;

	if (need->cpu > 0)
		tasks = avail->cpu / need->cpu;
	if (need->mem > 0 && avail->mem / need->mem < tasks)
		tasks = avail->mem / need->mem;
	if (need->accel > 0 && avail->accel / need->accel < tasks)
		tasks = avail->accel / need->accel;
	return tasks < 0 ? 0 : (uint32_t)tasks;
}

/** Number of runs of a step that a worker has or that are planned on it. */
static uint32_t
fit_count_on_worker(const struct pool_flow *flow, const struct pool_step *step,
    const struct pool_worker *worker)
{
	const struct pool_run *run;
	uint32_t count = 0;

	TAILQ_FOREACH(run, &worker->runs, of_worker)
	{
		if (run->flow == flow && &flow->steps[run->step] == step)
			count++;
	}
	return count + pool_crash_planned_count(step, worker);
}

/** A worker that can run tasks of the step. */
struct pool_candidate {
	uint32_t worker;
	uint32_t tasks;
	unsigned int band; /**< range of its slowness */
	double score;	   /**< the lowest is used first */
};

static int
fit_compare(const void *a, const void *b)
{
	const struct pool_candidate *x = a;
	const struct pool_candidate *y = b;

	if (x->score != y->score)
		return x->score < y->score ? -1 : 1;
	return x->worker < y->worker ? -1 : x->worker > y->worker;
}

/** Part of the score of a worker that depends on its speed. */
static double
fit_speed_score(const struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_worker *worker)
{
	double slowness = pool_speed_slowness(pool, worker);
	double allowed = pool_speed_allowed(pool, flow);

	if (slowness > allowed)
		return FIT_TOO_SLOW_PENALTY +
		       FIT_FAST_WEIGHT * (slowness - allowed);
	return pool_speed_can_wait(allowed)
		   ? -FIT_SLOW_WEIGHT * (slowness - 1.0)
		   : 0;
}

static double
fit_score(const struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_step *step, const struct pool_worker *worker,
    const gb_res *avail)
{
	double free_share = (double)(avail->cpu - step->spec->res.cpu) /
			    (double)(worker->entry.capacity.cpu + 1);
	bool gang = (step->spec->flags & GB_STEP_GANG) != 0;
	double score = free_share;

	/* A suspect may crash its worker and end all that runs there, so the
	 * emptiest worker comes first. */
	if (step->suspects > 0 && !gang)
		score = -free_share;
	if (step->suspects > 0 && pool_crash_has_new_run(worker, flow))
		score += FIT_NEW_RUN_PENALTY;
	if (step->spec->rack[0] != '\0' &&
	    strcmp(step->spec->rack, worker->rack) != 0)
		score += FIT_OTHER_RACK_PENALTY;
	if (worker->was_reserved)
		score += FIT_RESERVED_PENALTY;
	if (worker->failures > 0)
		score += FIT_FAILURE_PENALTY;
	if (!POOL_FEATURE_ENABLED(pool, GB_FEATURE_FAST_WORKERS))
		return score;
	return score + fit_speed_score(pool, flow, worker);
}

/** Whether a worker can run tasks of the step now; fills in how many and its
 * score. The rack may be null: any. */
static bool
fit_candidate(const struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_step *step, bool tickets, struct pool_worker *worker,
    const char *rack, struct pool_candidate *out)
{
	gb_res avail;
	double slowness;
	uint32_t present;

	if (worker == NULL ||
	    worker->entry.capacity.cpu - worker->used.cpu < step->spec->res.cpu)
		return false;
	if (!pool_fit_usable(pool, worker, flow->partition) ||
	    !pool_fit_allows(pool, flow, step, worker))
		return false;
	if (rack != NULL && strcmp(rack, worker->rack) != 0)
		return false;
	if (pool_speed_too_slow(pool, flow, step, worker))
		return false;
	if (tickets && POOL_ADVICE_NEEDED(flow) &&
	    pool_fit_ticket(pool, flow, step, worker->handle,
		pool_step_starts_together(step)) == NULL)
		return false;
	avail = pool_fit_free_capacity(worker);
	slowness = pool_speed_slowness(pool, worker);
	/* Runs that end before the reserved capacity is needed may use it. */
	if (worker->reserved_at != 0 &&
	    pool->now + (gb_time)(slowness * (double)pool_rank_estimate(
						 pool, flow, step)) >
		worker->reserved_at)
		gb_res_sub(&avail, &worker->reserved);
	out->worker = worker->handle;
	out->tasks = fit_task_count(&step->spec->res, &avail);
	out->band = speed_band(slowness);
	if (step->spec->per_worker > 0) {
		present = fit_count_on_worker(flow, step, worker);
		if (present >= step->spec->per_worker)
			return false;
		if (out->tasks > step->spec->per_worker - present)
			out->tasks = step->spec->per_worker - present;
	}
	out->score = fit_score(pool, flow, step, worker, &avail);
	return out->tasks > 0;
}

/** Finds the workers that can run tasks of the step, the lowest score first: of
 * the approved ones if advice is needed, else of all in the pool. */
static size_t
fit_candidates(const struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_step *step, bool tickets, const char *rack,
    struct pool_candidate *out)
{
	size_t count = 0;
	uint32_t i;

	if (POOL_ADVICE_NEEDED(flow)) {
		for (i = 0; i < step->approved_count; i++) {
			if (fit_candidate(pool, flow, step, tickets,
				pool_worker_get(pool, step->approved[i].worker),
				rack, &out[count]))
				count++;
		}
	} else {
		for (i = 0; i < pool->worker_count; i++) {
			if (fit_candidate(pool, flow, step, tickets,
				pool->workers[i], rack, &out[count]))
				count++;
		}
	}
	if (count > 1)
		qsort(out, count, sizeof(*out), fit_compare);
	return count;
}

/** Fills one worker after the other, in the order of the candidates. */
static uint32_t
fit_fill(const struct pool_candidate *candidates, size_t count, uint32_t wanted,
    uint32_t *out)
{
	uint32_t placed = 0;
	uint32_t j;
	size_t i;

	for (i = 0; i < count && placed < wanted; i++) {
		for (j = 0; j < candidates[i].tasks && placed < wanted; j++)
			out[placed++] = candidates[i].worker;
	}
	return placed;
}

/** Places one task on each worker in turn, in the order of the candidates, and
 * begins again at the first until all are placed or no worker has capacity. */
static uint32_t
fit_spread(struct pool_candidate *candidates, size_t count, uint32_t wanted,
    uint32_t *out)
{
	uint32_t placed = 0;
	size_t i;

	while (placed < wanted) {
		uint32_t before = placed;

		for (i = 0; i < count && placed < wanted; i++) {
			if (candidates[i].tasks == 0)
				continue;
			candidates[i].tasks--;
			out[placed++] = candidates[i].worker;
		}
		if (placed == before)
			break;
	}
	return placed;
}

/** Leaves only those candidates for a gang that are about equally fast, if it
 * fits on them: its time is that of its slowest member. Returns how many. */
static size_t
fit_keep_bands(const struct gb_pool *pool, const struct pool_flow *flow,
    uint32_t wanted, struct pool_candidate *candidates, size_t count)
{
	uint32_t tasks[SPEED_BANDS] = {0};
	unsigned int first;
	unsigned int last;
	size_t kept = 0;
	size_t i;

	for (i = 0; i < count; i++)
		tasks[candidates[i].band] += candidates[i].tasks;
	if (!POOL_FEATURE_ENABLED(pool, GB_FEATURE_FAST_WORKERS) ||
	    !speed_gang_bands(
		tasks, wanted, pool_speed_allowed(pool, flow), &first, &last))
		return count;
	for (i = 0; i < count; i++) {
		if (candidates[i].band >= first && candidates[i].band <= last)
			candidates[kept++] = candidates[i];
	}
	return kept;
}

/** Places a gang that is slower when it is spread over racks in the first rack
 * with capacity for all of it. Returns 0 if there is none. */
static uint32_t
fit_same_rack(const struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_step *step, uint32_t wanted, bool tickets,
    struct pool_candidate *candidates, uint32_t *out)
{
	uint32_t i;
	size_t count;

	for (i = 0; i < pool->worker_count; i++) {
		if (pool->workers[i] == NULL)
			continue;
		count = fit_candidates(pool, flow, step, tickets,
		    pool->workers[i]->rack, candidates);
		if (fit_fill(candidates, count, wanted, out) == wanted)
			return wanted;
	}
	return 0;
}

static struct pool_candidate *
fit_scratch(struct gb_pool *pool)
{
	if (pool->candidate_size < pool->worker_count) {
		pool->candidate_size = pool->worker_count;
		pool->candidates = gb_realloc(pool->candidates,
		    pool->candidate_size * sizeof(*pool->candidates));
	}
	return pool->candidates;
}

uint32_t
pool_fit_place(struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_step *step, uint32_t wanted, bool tickets, uint32_t *out)
{
	struct pool_candidate *candidates = fit_scratch(pool);
	bool gang = (step->spec->flags & GB_STEP_GANG) != 0;
	uint32_t placed = 0;
	size_t count;

	if ((step->spec->flags & GB_STEP_SAME_RACK) != 0)
		placed = fit_same_rack(
		    pool, flow, step, wanted, tickets, candidates, out);
	if (placed < wanted) {
		count =
		    fit_candidates(pool, flow, step, tickets, NULL, candidates);
		if (gang)
			count = fit_keep_bands(
			    pool, flow, wanted, candidates, count);
		placed = gang ? fit_fill(candidates, count, wanted, out)
			      : fit_spread(candidates, count, wanted, out);
	}
	return gang && placed < wanted ? 0 : placed;
}

bool
pool_fit_place_copy(struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_step *step, const struct pool_worker *original,
    uint32_t *out)
{
	struct pool_candidate *candidates = fit_scratch(pool);
	double limit = pool_speed_slowness(pool, original);
	size_t count = fit_candidates(pool, flow, step, true, NULL, candidates);
	size_t i;

	for (i = 0; i < count; i++) {
		const struct pool_worker *worker =
		    pool->workers[candidates[i].worker];

		if (worker == original ||
		    pool_speed_slowness(pool, worker) > limit)
			continue;
		*out = worker->handle;
		return true;
	}
	return false;
}

uint64_t
pool_fit_slots(const struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_step *step)
{
	uint64_t slots = 0;
	uint32_t fitting;
	uint32_t i;

	(void)flow;
	for (i = 0; i < step->approved_count; i++) {
		const struct pool_worker *worker =
		    pool_worker_get(pool, step->approved[i].worker);

		if (!pool_worker_offered(worker) || worker->ended ||
		    worker->entry.draining)
			continue;
		fitting =
		    fit_task_count(&step->spec->res, &worker->entry.capacity);
		if (step->spec->per_worker > 0 &&
		    fitting > step->spec->per_worker)
			fitting = step->spec->per_worker;
		slots += fitting;
	}
	return slots;
}
