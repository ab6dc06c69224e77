/**
 * @file usage.c
 * Use of the pool by each organisation, and the order that follows from it.
 *
 * Overload: one organisation sends several times its usual load of gangs and
 * imports.  Its weight counts submissions, in which a lookup of 7 processors
 * for 1 s is equal to a gang of 90 processors for 5 s.  So the use of each
 * organisation counts in processor time as well, charged with the expected run
 * time when a run starts and corrected when it ends.  While flows wait for
 * capacity, those of organisations that have used more than their weight's part
 * go behind others of their tier that have to start within the time for which
 * the first ones would use the capacity.  They keep going before flows that can
 * wait for longer, so that a flow is late for another one only if that one
 * would be late otherwise.
 */
#include <math.h>

#include "state.h"

/** Time constant of the decay of use.  Objectives of the large flows are up to
 * 12 s and overloads last for 8 s: a shorter time would forget a gang of 5 s
 * while it runs, a longer one would count a past overload against flows that
 * are sent after it. */
#define USAGE_DECAY_TIME (5 * GB_SEC)
/** Use below this, in processor-milliseconds, is that of an organisation that
 * is not active. */
#define USAGE_ACTIVE_MIN 10.0
/** Interval at which the shares are computed: far below the time constant, so
 * that a dispatch does not go through all organisations. */
#define USAGE_COMPUTE_INTERVAL (50 * GB_MSEC)
/** Share from which flows are held, and share at which they are held for the
 * whole time: in between it grows, so that small differences of use change
 * little. */
#define USAGE_SHARE_EQUAL 1.0
#define USAGE_SHARE_FULL 2.0
/** Longest time for which a flow is held: the run time of the largest gangs. */
#define USAGE_HOLD_MAX (5 * GB_SEC)
/** Time for which submissions are saved by an organisation that has used less
 * than its part: within this a caller resends what it could not send. */
#define USAGE_BURST_TIME (3 * GB_SEC)
/** Divisor from thousandths of a processor times microseconds to
 * processor-milliseconds. */
#define USAGE_UNIT 1e6

/** Factor by which use has decayed after a time. */
static double
usage_decay(gb_time elapsed)
{
	if (elapsed <= 0)
		return 1;
	return exp(-(double)elapsed / USAGE_DECAY_TIME);
}

double
usage_value(const struct usage *usage, gb_time now)
{
	return usage->core_ms * usage_decay(now - usage->at);
}

void
usage_add(struct usage *usage, gb_time now, gb_time start, double core_ms)
{
	usage->core_ms =
	    usage_value(usage, now) + core_ms * usage_decay(now - start);
	usage->at = now;
	if (usage->core_ms < 0)
		usage->core_ms = 0;
}

/** Processor time of a run, in processor-milliseconds. */
static double
run_core_ms(const struct pool_run *run, gb_time run_time)
{
	return (double)run->res.cpu * (double)run_time / USAGE_UNIT;
}

void
pool_usage_run_started(struct gb_pool *pool, struct pool_run *run)
{
	const struct pool_flow *flow = run->flow;

	run->charged = pool_rank_estimate(pool, flow, &flow->steps[run->step]);
	if (flow->org != NULL)
		usage_add(&flow->org->usage, pool->now, run->started,
		    run_core_ms(run, run->charged));
}

void
pool_usage_run_ended(struct gb_pool *pool, const struct pool_run *run)
{
	struct pool_org *org = run->flow->org;
	gb_time run_time = pool->now - run->started;

	if (org == NULL)
		return;
	usage_add(&org->usage, pool->now, run->started,
	    run_core_ms(run, run_time - run->charged));
	org->core_ms += run_core_ms(run, run_time);
}

void
pool_usage_dispatched(struct gb_pool *pool, bool contended)
{
	pool->usage.contended = contended;
}

/** Computes the shares of all organisations that have a weight. */
static void
shares_compute(struct gb_pool *pool)
{
	struct pool_org *org;
	double weights = 0;
	double total = 0;

	for (org = pool->orgs; org != NULL; org = org->hh.next) {
		double used = usage_value(&org->usage, pool->now);

		org->usage_share = 0;
		if (org->weight == 0 || used < USAGE_ACTIVE_MIN)
			continue;
		org->usage_share = used / org->weight;
		weights += org->weight;
		total += used;
	}
	for (org = pool->orgs; total > 0 && org != NULL; org = org->hh.next)
		org->usage_share *= weights / total;
	pool->usage.computed = true;
	pool->usage.computed_at = pool->now;
}

double
pool_usage_share(struct gb_pool *pool, const struct pool_org *org)
{
	if (!pool->usage.computed ||
	    pool->now - pool->usage.computed_at >= USAGE_COMPUTE_INTERVAL)
		shares_compute(pool);
	return org->usage_share;
}

gb_time
pool_usage_hold(struct gb_pool *pool, const struct pool_flow *flow)
{
	gb_time hold = flow->chain;
	double excess;

	if (!POOL_FEATURE_ENABLED(pool, GB_FEATURE_USAGE_ORDER) ||
	    !pool->usage.contended || flow->org == NULL ||
	    flow->org->weight == 0)
		return 0;
	excess = (pool_usage_share(pool, flow->org) - USAGE_SHARE_EQUAL) /
		 (USAGE_SHARE_FULL - USAGE_SHARE_EQUAL);
	if (excess <= 0)
		return 0;
	if (excess > 1)
		excess = 1;
	if (hold > USAGE_HOLD_MAX)
		hold = USAGE_HOLD_MAX;
	return (gb_time)(excess * (double)hold);
}

gb_time
pool_usage_burst(
    struct gb_pool *pool, const struct pool_org *org, gb_time usual)
{
	if (!POOL_FEATURE_ENABLED(pool, GB_FEATURE_USAGE_ORDER) ||
	    pool_usage_share(pool, org) >= USAGE_SHARE_EQUAL)
		return usual;
	return USAGE_BURST_TIME;
}
