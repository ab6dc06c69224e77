/**
 * @file forecast.h
 * Forecast of when a submission would start: decisions on a snapshot, without
 * input and output.  Times are in microseconds from the snapshot on, processors
 * in thousandths.
 */
#ifndef GB_POOL_FORECAST_H
#define GB_POOL_FORECAST_H

#include "pool.h"

/** Tiers of the order in which flows start, as in enum rank_tier. */
#define FORECAST_TIERS 6
/** Length of a slot of latest starts, by which the work of a tier is ordered,
 * and number of slots.  Objectives differ by more than a second between the
 * queues; the slots reach from 8 s before the snapshot to 24 s after it. */
#define FORECAST_SLOT (500 * GB_MSEC)
#define FORECAST_SLOTS 64
#define FORECAST_SLOTS_PAST 16
/** Resolution and number of the times at which processors become free.  Gangs
 * earn something until 50 s after their submission; later ends count at the
 * last time. */
#define FORECAST_STEP (200 * GB_MSEC)
#define FORECAST_STEPS 300
/** Deviation of the logarithm of run times.  The estimate gives declared times
 * half of the weight; where these are too short by 90% it is too short by 0.27,
 * and tasks of a step differ by up to 30%, of which the mean is expected. */
#define FORECAST_DEVIATION 0.35
/** The same of the mean of many run times: the measured average of a queue
 * leaves out what the declared times have in common. */
#define FORECAST_MEAN_DEVIATION 0.2
/** Largest factor by which declared run times are too short. */
#define FORECAST_DECLARED_FACTOR 1.9
/** Shortest and longest time after which a refused caller is to retry. */
#define FORECAST_RETRY_MIN (500 * GB_MSEC)
#define FORECAST_RETRY_MAX (30 * GB_SEC)

/** Processors that are free now and that become free. */
struct forecast_supply {
	double total; /**< of all, when everything that runs has ended */
	double free;
	double freed[FORECAST_STEPS]; /**< that become free in each step */
	/** Processors that later submissions within the shares will certainly
	 * need; these go before all that is beyond a share. */
	double arriving;
	/** Work that the processors can do until the end of each step, in
	 * thousandths of a processor times microseconds, and what is left of it
	 * for work beyond the shares; set by forecast_supply_finish(). */
	double done[FORECAST_STEPS];
	double left[FORECAST_STEPS];
	double cores[FORECAST_STEPS]; /**< free by then, if nothing waits */
};

/** Waiting work of one tier and one slot of latest starts. */
struct forecast_cell {
	double work;	 /**< processors times run time */
	gb_time longest; /**< longest run time of a task */
	gb_time latest;	 /**< latest start at which all of it earns something */
};

/** Processors and the work that waits for them: of the workers of a service, or
 * of the quota of an organisation. */
struct forecast_resource {
	struct forecast_supply supply;
	struct forecast_cell cells[FORECAST_TIERS][FORECAST_SLOTS];
};

/** Tasks of one step that wait. */
struct forecast_work {
	int tier;
	gb_time start_by; /**< latest start for full earnings, by which the
			     work is ordered in its tier */
	gb_time latest;	  /**< latest start for any earnings */
	uint32_t tasks;
	double cores; /**< of one task */
	gb_time run_time;
};

/** A submission whose start is to be forecast. */
struct forecast_submission {
	int tier;
	int late_tier;	   /**< its tier after start_by; the same: it stays */
	bool beyond_share; /**< all arriving work goes before it */
	gb_time start_by;
	/** Its latest start moves on with time: at any time, what must start
	 * within start_by from then on goes first. */
	bool moves;
	double cores; /**< that its first step needs at once */
};

/** Adds a worker, or a quota, with the processors that are free on it. */
void forecast_supply_add(
    struct forecast_supply *, double total, double free_cores);
/** Adds processors in use that become free after a time. */
void forecast_supply_add_end(
    struct forecast_supply *, gb_time left, double cores);
/** Completes a supply once all is added. */
void forecast_supply_finish(struct forecast_supply *);
/** Adds tasks that wait. */
void forecast_work_add(
    struct forecast_resource *, const struct forecast_work *);
/** Earliest start of a submission: the time until the processors have done the
 * work that goes before it, and are free for its first step.  0 if nothing can
 * be said. */
gb_time forecast_start(
    const struct forecast_resource *, const struct forecast_submission *);
/** Earliest start if the run times of what goes before are shorter than
 * expected by the deviation of their mean. */
gb_time forecast_optimistic(gb_time start);
/** Latest useful start after the submission: one that starts later earns
 * nothing even if its run time, and so its objective, is longer than expected
 * by the deviation.
 * @param base constant part of the objective
 * @param factor of the run time in the objective
 * @param chain expected run time of the longest chain of steps
 * @param late_factor the flow earns something until so many times its objective
 */
gb_time forecast_latest(
    gb_time base, double factor, gb_time chain, double late_factor);
/** Time after which a refused caller is to retry: when it could start, spread
 * by the id of the flow so that callers don't retry at the same time. */
gb_time forecast_retry_after(gb_time start, const char *id);

#endif
