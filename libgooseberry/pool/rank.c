/**
 * @file rank.c
 * Order in which waiting flows are started.
 *
 * Overload: for seconds at a time more is submitted than can be done (bursts of
 * 1.6 to 2.2 times the usual load on a pool that is 81% to 89% full).  A flow
 * that ends within its objective earns in full, until three times the objective
 * a fifth of that, then nothing.  So flows that can still meet their objective
 * go first, ordered by the latest time at which they may start; then those that
 * are late but still earn something; last those that can earn nothing any more.
 * The last two kinds still run when there is capacity.
 *
 * Many waiting gangs: a burst of gangs of 2 to 120 tasks reaches a full pool,
 * and not all of them can be in time.  The value of a flow grows more slowly
 * than its size, and the capacity for one large gang is enough for several
 * small ones, for which it is free sooner.  So the more gangs wait for
 * capacity, the further a flow that is larger than others of its queue goes
 * behind them, and the further a smaller one goes before them.
 *
 * Lookups in a backlog: for seconds, imports with ten seconds to spare and
 * gangs fill the pool, until all of them have to start at once, and the lookups
 * of one second each that come now are late.  Behind everything that is on time
 * they would earn nothing at all, although they need a tenth of the pool.  So
 * flows of queues with the most urgent priority go first as long as they can
 * earn something.
 *
 * Organisations: one sends several times its usual load to a full pool.  Its
 * flows beyond its weight (see share.c) go behind all flows of others that can
 * still earn something.  Those of the most urgent queues go behind the flows
 * that have to start within their own run time, but before flows that can wait
 * longer.
 *
 * One very large gang: small gangs keep five eighths of the pool busy, and a
 * gang arrives that needs two thirds of it.  It can start only on capacity that
 * is reserved for it.  The small gangs that this delays don't move it back as
 * many waiting gangs would: its position depends on time alone.
 */
#include <string.h>

#include "state.h"

/** Factor and constant part of the objective for a queue that is no longer
 * configured. */
#define RANK_OBJECTIVE_FACTOR_DEFAULT 2.0
#define RANK_OBJECTIVE_BASE_DEFAULT GB_SEC
/** Chains are computed anew after this time, or when the flow has changed.  The
 * averages of a queue change slowly. */
#define RANK_CHAIN_AGE_MAX (300 * GB_MSEC)

/** Share of its spare time by which a flow that is twice as large as the mean
 * of its queue goes back, when the other waiting gangs need RANK_CROWDED_SHARE
 * of the pool or more. */
#define RANK_SIZE_SHARE 0.5
#define RANK_CROWDED_SHARE 0.5
/** Size of a flow relative to the mean of its queue above which it goes no
 * further back. */
#define RANK_SIZE_MAX 3.0
/** Largest share of the pool that is free at times without a reservation.  A
 * gang that needs more never starts unless capacity is reserved for it. */
#define RANK_FREE_SHARE_MAX 0.25
/** Weight of the newest flow in the mean flow size of its queue. */
#define RANK_SIZE_WEIGHT 0.02

/** Priority of the most urgent queues. */
#define RANK_PRIORITY_URGENT 0

struct pool_queue_stat *
pool_rank_queue_stat(struct gb_pool *pool, const char *name)
{
	struct pool_queue_stat *stat;

	HASH_FIND_STR(pool->queues, name, stat);
	if (stat != NULL)
		return stat;
	stat = gb_calloc(1, sizeof(*stat));
	snprintf(stat->name, sizeof(stat->name), "%s", name);
	stat->ratio = 1.0;
	HASH_ADD_STR(pool->queues, name, stat);
	return stat;
}

/** Processors that all steps of a flow need, in thousandths. */
static double
rank_flow_cores(const struct pool_flow *flow)
{
	double cores = 0;
	uint32_t i;

	for (i = 0; i < flow->step_count; i++)
		cores += (double)flow->steps[i].spec->count *
			 flow->steps[i].spec->res.cpu;
	return cores;
}

void
pool_rank_update_flow_size(struct gb_pool *pool, const struct pool_flow *flow)
{
	struct pool_queue_stat *stat =
	    pool_rank_queue_stat(pool, flow->spec.queue);
	double cores = rank_flow_cores(flow);

	if (stat->cores <= 0)
		stat->cores = cores;
	else
		stat->cores += RANK_SIZE_WEIGHT * (cores - stat->cores);
}

/** Processors that the waiting gangs of a flow need, in thousandths. */
double
pool_rank_waiting_gang_cores(
    const struct gb_pool *pool, const struct pool_flow *flow)
{
	double cores = 0;
	uint32_t i;

	for (i = 0; i < flow->step_count; i++) {
		const struct pool_step *step = &flow->steps[i];

		if ((step->spec->flags & GB_STEP_GANG) != 0)
			cores += (double)step->spec->res.cpu *
				 pool_flow_startable_count(pool, flow, step);
	}
	return cores;
}

/** Time by which a flow goes behind others of its queue because of its size;
 * negative for a small one.  `spare` is the time it has to spare in all. */
static gb_time
rank_size_delay(
    const struct gb_pool *pool, const struct pool_flow *flow, gb_time spare)
{
	double own = pool_rank_waiting_gang_cores(pool, flow);
	double others = pool->waiting_gang_cores - own;
	struct pool_queue_stat *stat;
	double crowded;
	double relative_size;

	HASH_FIND_STR(pool->queues, flow->spec.queue, stat);
	if (!POOL_FEATURE_ENABLED(pool, GB_FEATURE_SIZE_ORDER) ||
	    stat == NULL || stat->cores <= 0 || pool->capacity <= 0 ||
	    others <= 0 || own > RANK_FREE_SHARE_MAX * pool->capacity)
		return 0;
	crowded = others / (RANK_CROWDED_SHARE * pool->capacity);
	if (crowded > 1)
		crowded = 1;
	relative_size = rank_flow_cores(flow) / stat->cores;
	if (relative_size > RANK_SIZE_MAX)
		relative_size = RANK_SIZE_MAX;
	return (gb_time)(RANK_SIZE_SHARE * crowded * (relative_size - 1) *
			 (double)spare);
}

/** Expected run time of a task.  Declared run times are off by up to 90%, so
 * the queue's own average has the same weight as the declared one. */
gb_time
pool_rank_estimate(const struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_step *step)
{
	struct pool_queue_stat *stat;
	gb_time declared = step->spec->estimate_us;

	HASH_FIND_STR(pool->queues, flow->spec.queue, stat);
	if (stat == NULL || stat->run_us <= 0)
		return declared;
	if (declared <= 0)
		return (gb_time)stat->run_us;
	return (gb_time)((stat->run_us + (double)declared * stat->ratio) / 2);
}

/** Expected time of the longest chain of steps of a flow; with
 * `unfinished_only`, of steps that are not done.  Fills in for each step the
 * chain that ends with it. */
static gb_time
rank_chain(const struct gb_pool *pool, const struct pool_flow *flow,
    gb_time *chains, bool unfinished_only)
{
	gb_time longest = 0;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < flow->step_count; i++) {
		const struct pool_step *step = &flow->steps[i];
		gb_time previous = 0;

		for (j = 0; j < step->spec->after.after_len; j++) {
			uint32_t k = step->spec->after.after_val[j];

			if (k < i && chains[k] > previous)
				previous = chains[k];
		}
		chains[i] = previous;
		if (!unfinished_only || step->done < step->spec->count)
			chains[i] += pool_rank_estimate(pool, flow, step);
		/* The objective grows by the time of runs that failed by their
		 * own error. */
		if (!unfinished_only)
			chains[i] += step->failed_run_time;
		if (chains[i] > longest)
			longest = chains[i];
	}
	return longest;
}

/** Computes the due times of a flow, the time of its chains and its delay by
 * size. */
static void
rank_chains(struct gb_pool *pool, struct pool_flow *flow)
{
	const struct gb_pool_queue *queue = flow->queue;
	gb_time chains[GB_STEPS_MAX] = {0};
	double objective_factor = queue == NULL ? RANK_OBJECTIVE_FACTOR_DEFAULT
						: queue->objective_factor;
	gb_time objective_base = queue == NULL ? RANK_OBJECTIVE_BASE_DEFAULT
					       : queue->objective_base_us;
	gb_time objective;

	objective = objective_base +
		    (gb_time)(objective_factor *
			      (double)rank_chain(pool, flow, chains, false));
	flow->chain = rank_chain(pool, flow, chains, true);
	flow->due = flow->submitted + objective;
	flow->late_due = flow->submitted + POOL_LATE_FACTOR * objective;
	flow->size_delay = rank_size_delay(pool, flow, objective - flow->chain);
	flow->ranked = flow->change;
	flow->ranked_at = pool->now;
}

/** Places a flow that its organisation has sent beyond its weight, and that is
 * on time or late. */
static void
rank_over_share(const struct gb_pool *pool, struct pool_flow *flow, bool urgent)
{
	if (!urgent) {
		flow->tier = RANK_OVER_SHARE;
		return;
	}
	flow->tier = RANK_ON_TIME;
	if (flow->start_by < pool->now + flow->remaining)
		flow->start_by = pool->now + flow->remaining;
}

void
pool_rank_update_flow(struct gb_pool *pool, struct pool_flow *flow)
{
	bool urgent = flow->queue != NULL &&
		      flow->queue->priority == RANK_PRIORITY_URGENT &&
		      POOL_FEATURE_ENABLED(pool, GB_FEATURE_PRIORITY_ORDER);

	if (flow->ranked != flow->change ||
	    pool->now - flow->ranked_at > RANK_CHAIN_AGE_MAX)
		rank_chains(pool, flow);
	flow->remaining = flow->chain + flow->wait;
	flow->start_by = flow->due - flow->remaining + flow->size_delay;
	if (pool->now + flow->remaining <= flow->due)
		flow->tier = urgent ? RANK_URGENT : RANK_ON_TIME;
	else if (pool->now + flow->remaining <= flow->late_due)
		flow->tier = urgent ? RANK_URGENT_LATE : RANK_LATE;
	else
		flow->tier = RANK_TOO_LATE;
	if (flow->spec.over_share && flow->tier != RANK_TOO_LATE &&
	    POOL_FEATURE_ENABLED(pool, GB_FEATURE_SHARE_ORDER))
		rank_over_share(pool, flow, urgent);
	if (!POOL_FEATURE_ENABLED(pool, GB_FEATURE_DEADLINE_ORDER)) {
		flow->tier = RANK_ON_TIME;
		flow->start_by = flow->submitted;
	}
}

int
pool_rank_compare(const struct pool_flow *a, const struct pool_flow *b)
{
	if (a->tier != b->tier)
		return a->tier < b->tier ? -1 : 1;
	if (a->start_by != b->start_by)
		return a->start_by < b->start_by ? -1 : 1;
	return strcmp(a->spec.id, b->spec.id);
}
