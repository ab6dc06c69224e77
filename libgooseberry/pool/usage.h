/**
 * @file usage.h
 * Use of the pool by each organisation, and the order that follows from it.
 */
#ifndef GB_POOL_USAGE_H
#define GB_POOL_USAGE_H

#include "gooseberry.h"

struct gb_pool;
struct pool_flow;
struct pool_org;
struct pool_run;

/** Processor time of an organisation, decayed exponentially. */
struct usage {
	double core_ms; /**< processor-milliseconds, decayed until `at` */
	gb_time at;
};

/** What the order by use needs to know of the pool. */
struct usage_state {
	bool contended; /**< flows waited for capacity at the last dispatch */
	bool computed;	/**< the shares were computed in this process */
	gb_time computed_at;
};

/** Adds processor time used from `start` on, which may be in the past;
 * negative: corrects what was added too much.  The use does not become
 * negative. */
void usage_add(struct usage *, gb_time now, gb_time start, double core_ms);
/** Decayed use in processor-milliseconds. */
double usage_value(const struct usage *, gb_time now);

/** Charges a run that starts, or that was adopted, with its expected time. */
void pool_usage_run_started(struct gb_pool *, struct pool_run *);
/** Corrects the charge of a run that has ended by the time for which it used
 * its capacity. */
void pool_usage_run_ended(struct gb_pool *, const struct pool_run *);
/** Notes whether flows have waited for capacity in a dispatch. */
void pool_usage_dispatched(struct gb_pool *, bool contended);
/** Use of an organisation relative to its weight's part of the use of all
 * organisations that have used something recently, 1: equal, 0: it has no
 * weight or used nothing.  It is computed at most once each 50 ms. */
double pool_usage_share(struct gb_pool *, const struct pool_org *);
/** Time within which other flows of its tier must have to start to go before a
 * flow whose organisation has used more of a contended pool than its weight's
 * part: at most the run time of the flow, 0: it keeps its place. */
gb_time pool_usage_hold(struct gb_pool *, const struct pool_flow *);
/** Time for which an organisation may save submissions that it did not send, as
 * burst credit; `usual` without it. */
gb_time pool_usage_burst(
    struct gb_pool *, const struct pool_org *, gb_time usual);

#endif
