/**
 * @file speed.h
 * Speeds of workers, estimated from the times of their runs.
 *
 * Load: workers differ in speed by a factor of 2.7, tasks of one step by 15% to
 * 30%, declared run times are off by up to 90%, and 3 in 100 tasks take seven
 * times as long as the others.
 */
#ifndef GB_POOL_SPEED_H
#define GB_POOL_SPEED_H

#include "gooseberry.h"

struct gb_pool;
struct pool_flow;
struct pool_run;
struct pool_step;
struct pool_worker;

/** Number of ranges of slowness into which workers are sorted. */
#define SPEED_BANDS 16

/** Estimate of the slowness of a worker and its uncertainty. The slowness is
 * its run time relative to that of other workers, 1: equal, 2: twice as slow.
 * Logarithms are natural. */
struct speed {
	double log;	 /**< logarithm of the slowness */
	double variance; /**< of log, at updated */
	gb_time updated; /**< 0: nothing was observed */
	double slowness; /**< exp(log) */
	/* Recent observations that contradict the estimate: */
	double recent_log; /**< their mean */
	double recent_variance;
	unsigned int recent_count;
	gb_time recent_since;
	gb_time recent_at; /**< time of the last one */
};

/** Run times of a step on a worker of slowness 1. */
struct speed_step {
	double log_sum; /**< of their logarithms, weighted */
	double weight;	/**< sum of weights, 0: nothing is known */
	uint32_t count; /**< runs that were compared or wait to be */
	uint32_t pending_count;
	/** Runs that ended when there was too little to compare them with. */
	struct speed_sample {
		uint32_t worker; /**< handle */
		int64_t incarnation;
		double log_time;  /**< logarithm of the run time in us */
		double deviation; /**< of log_time, without the worker's */
		double log_share; /**< its part of log_sum and of weight */
		double weight;
	} pending[2];
};

/** What the progress of a run tells of its worker's speed. */
struct speed_progress {
	gb_time from_at;       /**< when the measurement began, 0: not yet */
	uint32_t from_percent; /**< progress at that time */
	bool counted;	       /**< the run was compared with others */
	double log_time; /**< logarithm of the run time in us, by progress */
};

/** Sets an estimate to the prior: slowness 1, with a deviation that covers the
 * differences between workers. */
void speed_init(struct speed *);
/** Adds an observation: a run took `ratio` times as long as it would have on a
 * worker of slowness 1. `deviation` is that of the logarithm of the ratio.
 * Ignores ratios and deviations that are not positive. */
void speed_observe(struct speed *, gb_time now, double ratio, double deviation);
/** Slowness of the worker at a time. */
double speed_slowness(const struct speed *, gb_time now);
/** Standard deviation of the logarithm of the slowness at a time. */
double speed_deviation(const struct speed *, gb_time now);
/** Fills in the lasting estimate in thousandths, to be stored. */
void speed_export(const struct speed *, gb_time now, int32_t *log_milli,
    uint32_t *deviation_milli);
/** Merges a stored estimate that is `age` old into what was observed since.
 * Ignores values that speed_export() can't have produced. */
void speed_import(struct speed *, gb_time now, int32_t log_milli,
    uint32_t deviation_milli, gb_time age);

/** Slowness of a worker; 1 if the feature is disabled. */
double pool_speed_slowness(const struct gb_pool *, const struct pool_worker *);
/** Updates the slowness of a worker by a run that has ended as done, so long
 * after the worker confirmed its start. */
void pool_speed_run_done(
    struct gb_pool *, const struct pool_run *, gb_time run_time);
/** Updates the slowness of a worker by the progress that it has just reported
 * of a run. */
void pool_speed_run_progress(struct gb_pool *, struct pool_run *);
/** Slowness of a worker on which the next step of a flow is expected to end in
 * time; 0 if only the fastest worker will do. */
double pool_speed_allowed(const struct gb_pool *, const struct pool_flow *);
/** Whether a flow can still end in time, but not on this worker, by more than
 * the uncertainty of its speed. A flow that starts there earns no more than if
 * it waits for a faster one. False for a step that needs much of the pool at
 * once. */
bool pool_speed_too_slow(const struct gb_pool *, const struct pool_flow *,
    const struct pool_step *, const struct pool_worker *);
/** Whether a flow for which this slowness is allowed leaves the faster workers
 * to others. */
bool pool_speed_can_wait(double allowed);
/** Range of a slowness, 0 is the fastest. */
unsigned int speed_band(double slowness);
/** Chooses the ranges of workers for a gang. `tasks` has the number of its
 * tasks that fit on the workers of each range. Returns false if all of them
 * are needed. */
bool speed_gang_bands(const uint32_t tasks[SPEED_BANDS], uint32_t wanted,
    double allowed, unsigned int *first, unsigned int *last);
/** Fills in the mean slowness of the usable workers and its standard deviation,
 * in thousandths. */
void pool_speed_summary(
    const struct gb_pool *, uint64_t *mean_milli, uint64_t *spread_milli);

#endif
