/**
 * @file runtime.h
 * Distributions of run times, and what they tell of runs to come.
 *
 * A struct runtime is a histogram of ratios with logarithmic buckets and
 * without units.  In it the last 500 observations or so count.  The functions
 * of the pool keep such histograms for each queue.
 */
#ifndef GB_POOL_RUNTIME_H
#define GB_POOL_RUNTIME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "gooseberry.h"

struct gb_pool;
struct pool_flow;
struct pool_run;
struct pool_step;
struct pool_worker;

/** Buckets for ratios from 1/32 to 128, each 12% wide: tasks of one step differ
 * by 15 to 30%, declared times are off by up to a factor of 10, and single runs
 * take seven times as long. */
#define RUNTIME_BUCKETS_PER_OCTAVE 6
#define RUNTIME_OCTAVES_BELOW_1 5
#define RUNTIME_OCTAVES 12
#define RUNTIME_BUCKETS (RUNTIME_OCTAVES * RUNTIME_BUCKETS_PER_OCTAVE)
/** Largest size of an exported histogram, in bytes. */
#define RUNTIME_EXPORT_MAX (3 + 2 * RUNTIME_BUCKETS)

/** Histogram of ratios. */
struct runtime {
	float weight[RUNTIME_BUCKETS];
	/** Weight of this bucket and all after it, and the mean ratio there, as
	 * of the last update. */
	float weight_above[RUNTIME_BUCKETS + 1];
	float mean_above[RUNTIME_BUCKETS + 1];
	double total;	  /**< sum of the weights: observations that count */
	double unapplied; /**< weight added since the last update */
};

/** Makes a histogram empty. */
void runtime_init(struct runtime *);
/** Adds an observation.  Ratios beyond the range count at its ends. */
void runtime_add(struct runtime *, double ratio);
/** Mean ratio; 1 without observations. */
double runtime_mean(const struct runtime *);
/** Ratio that a share (0 to 1) of the observations does not exceed; 1 without
 * observations. */
double runtime_quantile(const struct runtime *, double share);
/** Deviation of the logarithm of the ratio: half the distance between the
 * quantiles 16% and 84%, which a few very long runs do not change.  Without
 * observations that of declared times that are off by 90%. */
double runtime_deviation(const struct runtime *);
/** Mean of what remains of a run that has taken `elapsed`, in units of the
 * ratio; at least 0. */
double runtime_remaining(const struct runtime *, double elapsed);
/** Share of the runs that take longer than a ratio. */
double runtime_survival(const struct runtime *, double ratio);
/** Encodes a histogram; returns the number of bytes, 0 if they exceed `size`.
 * RUNTIME_EXPORT_MAX is always enough. */
size_t runtime_export(const struct runtime *, uint8_t *out, size_t size);
/** Adds an encoded histogram of some age in microseconds, with less weight the
 * older it is.  Returns false, and changes nothing, if it is malformed or too
 * old. */
bool runtime_import(
    struct runtime *, const uint8_t *bytes, size_t len, gb_time age);

/** Run times of the steps of a queue that are gangs, or that are not. */
struct runtime_queue {
	struct runtime declared; /**< run time over declared time */
	struct runtime absolute; /**< run time in seconds */
	/** Run time over its estimate from the queue alone, and over that from
	 * the queue and ended runs of the same step. */
	struct runtime error;
	struct runtime step_error;
	/* Of these histograms, as of the last update: */
	double declared_log; /**< logarithm of the median */
	double declared_variance;
	double absolute_log;
	double absolute_variance;
	double step_variance;
	double factor; /**< from an estimate to the expected time */
	double step_factor;
	double unapplied; /**< weight added since the last update */
};

void runtime_queue_init(struct runtime_queue *);

/** Expected run time of a task of a step on a worker of slowness 1, in
 * microseconds; 0: unknown. */
gb_time pool_runtime_expected(
    const struct gb_pool *, const struct pool_flow *, const struct pool_step *);
/** Deviation of the logarithm of that time. */
double pool_runtime_deviation(
    const struct gb_pool *, const struct pool_flow *, const struct pool_step *);
/** Expected remaining time of a run on its worker, given its progress or how
 * long it has run, in microseconds; negative when it should have ended. */
gb_time pool_runtime_left(const struct gb_pool *, const struct pool_run *);
/** Whether a copy of a straggler on a worker, null: one of slowness 1, would
 * end so much earlier that it pays. */
bool pool_runtime_copy_pays(const struct gb_pool *, const struct pool_run *,
    const struct pool_worker *);
/** Handles that a run has made progress, before its percent is updated. */
void pool_runtime_run_progress(
    const struct gb_pool *, struct pool_run *, uint32_t percent);
/** Handles that a run has ended as done, some time in microseconds after its
 * worker has confirmed the start. */
void pool_runtime_run_done(
    struct gb_pool *, const struct pool_run *, gb_time run_time);

#endif
