/**
 * @file speed.c
 * Speeds of workers, estimated from the times of their runs.
 *
 * A run is compared with other runs of its step, each divided by the slowness
 * of its own worker, since tasks of one step differ far less than declared run
 * times are off. The first runs of a step wait for others to be compared with:
 * those on fast workers end first, and would otherwise be compared only with
 * the declared time.
 */
#include <math.h>
#include <stdlib.h>

#include <jansson.h>

#include "state.h"

/** Deviation of the prior: half of the logarithm of 2.7, the largest ratio of
 * two workers. */
#define SPEED_PRIOR_DEVIATION 0.5
/** Deviation of the time of a task from others of its step (15% to 30%), and
 * of the delay with which its end is known. */
#define SPEED_TASK_DEVIATION 0.2
/** Deviation of the expected time of a step before a run of it has ended.
 * Declared times are off by up to 90%; half of that is left after they are
 * averaged with the queue's. */
#define SPEED_EXPECTED_DEVIATION 0.5
/** Deviation below which no estimate is trusted, however many runs it is based
 * on: the last fifty runs or so count. */
#define SPEED_DEVIATION_MIN 0.03
/** Growth of the variance in a second: an estimate that is as old as a stored
 * one may be, 60 s, is off by 10%. */
#define SPEED_DRIFT (0.01 / 60)
/** Observations that are further away than this many deviations are clipped. */
#define SPEED_CLIP 3.0
/** Share of the runs that take far longer or shorter than their step's others
 * for reasons of their own: 3 in 100 take seven times as long. The factors are
 * assumed to be evenly spread over a range of logarithms. */
#define SPEED_OUTLIER_SHARE 0.05
#define SPEED_OUTLIER_RANGE 2.3
/** Largest logarithm of a slowness. */
#define SPEED_LOG_MAX 2.3
/** Observations further from a settled estimate than this many deviations
 * contradict it. */
#define SPEED_CONTRADICTION 2.0
/** Deviation from which on an estimate is settled. */
#define SPEED_SETTLED_DEVIATION 0.2
/** Contradicting observations in a row that apply: two long tasks in a row are
 * one in a thousand. */
#define SPEED_DISTURBED_MIN 2
/** Time for which they apply after the last one: a worker that gets no more
 * runs because of them is tried again. */
#define SPEED_DISTURBED_TIME (5 * GB_SEC)
/** Contradicting observations in a row, and their time, after which the worker
 * has changed for good. */
#define SPEED_CHANGED_MIN 6
#define SPEED_CHANGED_TIME (10 * GB_SEC)
/** Progress in percent over which the speed of a run is measured: reports are
 * rounded to 1 percent and arrive up to 60 ms late. */
#define SPEED_PROGRESS_MIN 25
#define SPEED_PROGRESS_MIN_GANG 40
/** Percent of progress from which a run may be waiting for other members of its
 * gang. */
#define SPEED_PERCENT_AT_END 99
/** Members of a gang whose times differ by less than this in all run in
 * lockstep: rounding and delays make a tenth. */
#define SPEED_LOCKSTEP_RANGE 0.15
/** Other runs of the step that a run is compared with, if so many come. */
#define SPEED_OTHERS_MIN 2
/** Margin of run times, for tasks that take longer than others of their step.
 */
#define SPEED_RUN_MARGIN 1.25
/** Time for orders and reports, of which one may be lost and be repeated. */
#define SPEED_REPORT_MARGIN (250 * GB_MSEC)
/** Slowness from which on a flow has much time to spare: it may take twice as
 * long as on a usual worker. */
#define SPEED_SPARE_MIN 2.0
/** Slowness relative to the mean down to which a flow that is late on others
 * may still end in time: that of the fastest workers. */
#define SPEED_FASTEST 0.6
/** Largest share of the pool that a step needs to start at once to wait for
 * faster workers: a gang that needs more never finds so much of a part of the
 * pool free, and starves. */
#define SPEED_WAIT_SHARE_MAX 0.25
/** Slowness allowed for a flow that can't earn anything any more. */
#define SPEED_ANY 100.0
/** Width of a range of slowness as a difference of logarithms, and the
 * logarithm at the middle of all ranges. Two neighbouring ranges hold workers
 * that differ by up to a third. */
#define SPEED_BAND_WIDTH 0.15
/** Change of the logarithm that is logged: a fifth. Each worker is logged at
 * most once in the interval. */
#define SPEED_LOG_CHANGE 0.2
#define SPEED_LOG_INTERVAL (10 * GB_SEC)

#define SPEED_PI 3.14159265358979323846

/* Estimate ---------------------------------------------------------------- */

void
speed_init(struct speed *speed)
{
	static const struct speed none;

	*speed = none;
	speed->variance = SPEED_PRIOR_DEVIATION * SPEED_PRIOR_DEVIATION;
	speed->slowness = 1.0;
}

/** Variance of the estimate at a time: it grows with the age, up to the
 * prior's. */
static double
speed_variance(const struct speed *speed, gb_time now)
{
	const double most = SPEED_PRIOR_DEVIATION * SPEED_PRIOR_DEVIATION;
	double variance = speed->variance;

	if (speed->updated != 0 && now > speed->updated)
		variance += SPEED_DRIFT * (double)(now - speed->updated) /
			    (double)GB_SEC;
	return variance < most ? variance : most;
}

static void
speed_set(struct speed *speed, gb_time now, double log, double variance)
{
	const double least = SPEED_DEVIATION_MIN * SPEED_DEVIATION_MIN;

	speed->log = fmax(-SPEED_LOG_MAX, fmin(SPEED_LOG_MAX, log));
	speed->variance = fmax(variance, least);
	speed->slowness = exp(speed->log);
	speed->updated = now;
}

/** Probability that an observation at a distance from the estimate is no
 * outlier; `variance` is that of the distance. */
static double
speed_trust(double distance, double variance)
{
	double density = exp(-distance * distance / (2 * variance)) /
			 sqrt(2 * SPEED_PI * variance);
	double regular = (1 - SPEED_OUTLIER_SHARE) * density;

	return regular / (regular + SPEED_OUTLIER_SHARE / SPEED_OUTLIER_RANGE);
}

/** Moves the estimate towards an observation by the weight of each. */
static void
speed_update(
    struct speed *speed, gb_time now, double distance, double deviation)
{
	double variance = speed_variance(speed, now);
	double total = variance + deviation * deviation;
	double bound = SPEED_CLIP * sqrt(total);
	double trust = speed_trust(distance, total);
	double gain = variance / total;

	distance = fmax(-bound, fmin(bound, distance));
	speed_set(speed, now, speed->log + trust * gain * distance,
	    variance * (1 - trust * gain) +
		trust * (1 - trust) * gain * gain * distance * distance);
}

/** Counts an observation that contradicts the estimate. Those on one side of it
 * count together. */
static void
speed_contradict(struct speed *speed, gb_time now, double log, double deviation)
{
	bool same_side = (log > speed->log) == (speed->recent_log > speed->log);

	if (speed->recent_count == 0 || !same_side ||
	    now - speed->recent_at > SPEED_DISTURBED_TIME) {
		speed->recent_count = 0;
		speed->recent_since = now;
		speed->recent_log = 0;
		speed->recent_variance = 0;
	}
	speed->recent_count++;
	speed->recent_log += (log - speed->recent_log) / speed->recent_count;
	speed->recent_variance = deviation * deviation / speed->recent_count;
	speed->recent_at = now;
	if (speed->recent_count < SPEED_CHANGED_MIN ||
	    now - speed->recent_since < SPEED_CHANGED_TIME)
		return;
	speed_set(speed, now, speed->recent_log, speed->recent_variance);
	speed->recent_count = 0;
}

void
speed_observe(struct speed *speed, gb_time now, double ratio, double deviation)
{
	double variance = speed_variance(speed, now);
	double distance;

	if (!(ratio > 0) || !(deviation > 0) || !isfinite(ratio))
		return;
	distance = log(ratio) - speed->log;
	if (sqrt(variance) < SPEED_SETTLED_DEVIATION &&
	    fabs(distance) >
		SPEED_CONTRADICTION * sqrt(variance + deviation * deviation)) {
		speed_contradict(speed, now, log(ratio), deviation);
		return;
	}
	speed->recent_count = 0;
	speed_update(speed, now, distance, deviation);
}

/** Whether recent observations apply in place of the estimate. */
static bool
speed_is_disturbed(const struct speed *speed, gb_time now)
{
	return speed->recent_count >= SPEED_DISTURBED_MIN &&
	       now - speed->recent_at <= SPEED_DISTURBED_TIME;
}

double
speed_slowness(const struct speed *speed, gb_time now)
{
	return speed_is_disturbed(speed, now) ? exp(speed->recent_log)
					      : speed->slowness;
}

double
speed_deviation(const struct speed *speed, gb_time now)
{
	return sqrt(speed_is_disturbed(speed, now)
			? speed->recent_variance
			: speed_variance(speed, now));
}

void
speed_export(const struct speed *speed, gb_time now, int32_t *log_milli,
    uint32_t *deviation_milli)
{
	*log_milli = (int32_t)lround(speed->log * 1000);
	*deviation_milli =
	    (uint32_t)lround(sqrt(speed_variance(speed, now)) * 1000);
}

void
speed_import(struct speed *speed, gb_time now, int32_t log_milli,
    uint32_t deviation_milli, gb_time age)
{
	double log = (double)log_milli / 1000;
	double deviation = (double)deviation_milli / 1000;
	double own = speed_variance(speed, now);
	double stored = deviation * deviation;

	if (age < 0 || deviation <= 0 || deviation > SPEED_PRIOR_DEVIATION ||
	    fabs(log) > SPEED_LOG_MAX)
		return;
	stored += SPEED_DRIFT * (double)age / (double)GB_SEC;
	speed_set(speed, now,
	    (speed->log * stored + log * own) / (own + stored),
	    own * stored / (own + stored));
}

/* Ranges of slowness ------------------------------------------------------ */

unsigned int
speed_band(double slowness)
{
	double band = floor(log(slowness) / SPEED_BAND_WIDTH + 0.5) +
		      (double)SPEED_BANDS / 2;

	if (band < 0)
		return 0;
	return band < SPEED_BANDS ? (unsigned int)band : SPEED_BANDS - 1;
}

static uint32_t
bands_sum(
    const uint32_t tasks[SPEED_BANDS], unsigned int first, unsigned int last)
{
	uint32_t sum = 0;
	unsigned int i;

	for (i = first; i <= last; i++)
		sum += tasks[i];
	return sum;
}

/** The slowest ranges up to the allowed one come first, so that the fastest
 * workers are left to work that needs them. A gang that doesn't fit into two
 * neighbouring ranges gets more of them; one that doesn't fit on the workers
 * that are fast enough gets the fastest ones. */
bool
speed_gang_bands(const uint32_t tasks[SPEED_BANDS], uint32_t wanted,
    double allowed, unsigned int *first, unsigned int *last)
{
	unsigned int slowest = speed_band(allowed);
	unsigned int width;

	for (width = 2; width <= SPEED_BANDS; width *= 2) {
		for (*last = slowest + 1; (*last)-- > 0;) {
			*first = *last + 1 < width ? 0 : *last + 1 - width;
			if (bands_sum(tasks, *first, *last) >= wanted)
				return true;
		}
	}
	*first = 0;
	for (*last = slowest + 1; *last < SPEED_BANDS; (*last)++) {
		if (bands_sum(tasks, 0, *last) >= wanted)
			return true;
	}
	return false;
}

/* Pool -------------------------------------------------------------------- */

double
pool_speed_slowness(
    const struct gb_pool *pool, const struct pool_worker *worker)
{
	if (!POOL_FEATURE_ENABLED(pool, GB_FEATURE_FAST_WORKERS))
		return 1.0;
	return speed_slowness(&worker->speed, pool->now);
}

/** Time until a flow must end to earn what it still can, by its objective, or
 * if that can't be met any more by its latest end for any earnings; 0 if it can
 * earn nothing. */
static double
flow_time_left(const struct gb_pool *pool, const struct pool_flow *flow)
{
	double least = (double)flow->remaining * SPEED_FASTEST;
	double left = (double)(flow->due - pool->now);

	if (left < least)
		left = (double)(flow->late_due - pool->now);
	return left < least ? 0 : left;
}

double
pool_speed_allowed(const struct gb_pool *pool, const struct pool_flow *flow)
{
	double left = flow_time_left(pool, flow);

	if (flow->remaining <= 0 || left <= 0)
		return SPEED_ANY;
	return (left - (double)SPEED_REPORT_MARGIN) /
	       ((double)flow->remaining * SPEED_RUN_MARGIN);
}

bool
pool_speed_too_slow(const struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_step *step, const struct pool_worker *worker)
{
	double left = flow_time_left(pool, flow);
	double cores = (double)step->spec->res.cpu *
		       (double)pool_step_starts_together(step);
	double slowness;

	if (!POOL_FEATURE_ENABLED(pool, GB_FEATURE_FAST_WORKERS) || left <= 0 ||
	    cores > SPEED_WAIT_SHARE_MAX * pool->capacity)
		return false;
	slowness = speed_slowness(&worker->speed, pool->now) *
		   exp(-speed_deviation(&worker->speed, pool->now));
	return slowness > 1 && slowness * (double)flow->remaining > left;
}

bool
pool_speed_can_wait(double allowed)
{
	return allowed >= SPEED_SPARE_MIN;
}

void
pool_speed_summary(
    const struct gb_pool *pool, uint64_t *mean_milli, uint64_t *spread_milli)
{
	double sum = 0;
	double squares = 0;
	double mean;
	uint32_t count = 0;
	uint32_t i;

	*mean_milli = 0;
	*spread_milli = 0;
	for (i = 0; i < pool->worker_count; i++) {
		const struct pool_worker *worker = pool->workers[i];
		double slowness;

		if (!pool_worker_offered(worker) || worker->ended)
			continue;
		slowness = pool_speed_slowness(pool, worker);
		sum += slowness;
		squares += slowness * slowness;
		count++;
	}
	if (count == 0)
		return;
	mean = sum / count;
	*mean_milli = (uint64_t)lround(mean * 1000);
	*spread_milli = (uint64_t)lround(
	    sqrt(fmax(0, squares / count - mean * mean)) * 1000);
}

/** Logs the estimate of a worker if it has changed noticeably and is sure
 * enough. */
static void
worker_log_speed(struct gb_pool *pool, struct pool_worker *worker)
{
	const struct speed *speed = &worker->speed;
	double deviation = speed_deviation(speed, pool->now);
	double slowness = speed_slowness(speed, pool->now);

	if (fabs(log(slowness) - worker->speed_logged) <=
		fmax(SPEED_LOG_CHANGE, 2 * deviation) ||
	    (worker->speed_logged_at != 0 &&
		pool->now - worker->speed_logged_at < SPEED_LOG_INTERVAL))
		return;
	gb_event(pool->cfg.events, GB_EVENT_NORMAL, "worker_speed",
	    "{s:s, s:I, s:I, s:I, s:b}", "worker", worker->entry.id,
	    "slowness_milli", (json_int_t)lround(slowness * 1000),
	    "before_milli",
	    (json_int_t)lround(exp(worker->speed_logged) * 1000),
	    "deviation_milli", (json_int_t)lround(deviation * 1000),
	    "disturbed", (int)speed_is_disturbed(speed, pool->now));
	worker->speed_logged = log(slowness);
	worker->speed_logged_at = pool->now;
}

/** Compares a run with a run time on a worker of slowness 1. */
static void
worker_observe(struct gb_pool *pool, struct pool_worker *worker,
    const struct speed_sample *sample, double log_base, double base_variance)
{
	if (worker == NULL || worker->incarnation != sample->incarnation)
		return;
	speed_observe(&worker->speed, pool->now,
	    exp(sample->log_time - log_base),
	    sqrt(sample->deviation * sample->deviation + base_variance));
	worker_log_speed(pool, worker);
}

/** Compares a run with the others of its step and with the expected time. */
static void
sample_observe(struct gb_pool *pool, const struct speed_step *step,
    const struct speed_sample *sample)
{
	double weight = step->weight - sample->weight;

	worker_observe(pool, pool_worker_get(pool, sample->worker), sample,
	    (step->log_sum - sample->log_share) / weight, 1 / weight);
}

/** Adds a run to the times of its step. One that differs from the others as
 * only outliers do is left out. */
static void
step_add_sample(struct speed_step *step, struct speed_sample *sample,
    double worker_log, double worker_deviation)
{
	double variance = sample->deviation * sample->deviation +
			  worker_deviation * worker_deviation;
	double log_time = sample->log_time - worker_log;
	double distance = log_time - step->log_sum / step->weight;

	step->count++;
	if (fabs(distance) >
	    SPEED_CONTRADICTION * sqrt(variance + 1 / step->weight))
		return;
	sample->weight = 1 / variance;
	sample->log_share = log_time * sample->weight;
	step->weight += sample->weight;
	step->log_sum += sample->log_share;
}

/** Begins the times of a step with the expected one. Returns false if none is
 * known. */
static bool
step_begin(const struct gb_pool *pool, const struct pool_flow *flow,
    struct pool_step *step)
{
	gb_time expected = pool_rank_estimate(pool, flow, step);

	if (step->speed.weight > 0)
		return true;
	if (expected <= 0)
		return false;
	step->speed.weight =
	    1 / (SPEED_EXPECTED_DEVIATION * SPEED_EXPECTED_DEVIATION);
	step->speed.log_sum = log((double)expected) * step->speed.weight;
	return true;
}

/** Fills in what is to be compared of a run. */
static struct speed_sample
sample_of(const struct pool_run *run, double log_time)
{
	struct speed_sample sample = {0};

	sample.worker = run->worker->handle;
	sample.incarnation = run->worker->incarnation;
	sample.log_time = log_time;
	sample.deviation = SPEED_TASK_DEVIATION;
	return sample;
}

/** Adds the run time of a single task. */
static void
run_observe(struct gb_pool *pool, const struct pool_run *run, double log_time)
{
	struct pool_step *step = &run->flow->steps[run->step];
	struct speed_step *times = &step->speed;
	struct speed_sample sample = sample_of(run, log_time);
	uint32_t i;

	if (!step_begin(pool, run->flow, step))
		return;
	step_add_sample(times, &sample,
	    log(speed_slowness(&run->worker->speed, pool->now)),
	    speed_deviation(&run->worker->speed, pool->now));
	if (times->count <= SPEED_OTHERS_MIN &&
	    times->count < step->spec->count) {
		times->pending[times->pending_count++] = sample;
		return;
	}
	for (i = 0; i < times->pending_count; i++)
		sample_observe(pool, times, &times->pending[i]);
	times->pending_count = 0;
	sample_observe(pool, times, &sample);
}

/** Fills in the smallest and the largest run time of the members of a gang, by
 * progress. Returns false while that of a member is not known. */
static bool
gang_times(const struct pool_step *step, double *least, double *most)
{
	const struct pool_run *run;
	uint32_t i;

	*least = INFINITY;
	*most = -INFINITY;
	for (i = 0; i < step->spec->count; i++) {
		run = TAILQ_FIRST(&step->tasks[i].runs);
		if (run == NULL || !run->speed.counted)
			return false;
		*least = fmin(*least, run->speed.log_time);
		*most = fmax(*most, run->speed.log_time);
	}
	return true;
}

/** Compares the members of a gang with one another once the progress of all is
 * known. */
static void
gang_observe(
    struct gb_pool *pool, struct pool_flow *flow, struct pool_step *step)
{
	struct speed_sample *samples;
	const struct pool_run *run;
	double least;
	double most;
	uint32_t i;

	if (!gang_times(step, &least, &most) ||
	    most - least < SPEED_LOCKSTEP_RANGE ||
	    !step_begin(pool, flow, step))
		return;
	samples = gb_calloc(step->spec->count, sizeof(*samples));
	for (i = 0; i < step->spec->count; i++) {
		run = TAILQ_FIRST(&step->tasks[i].runs);
		samples[i] = sample_of(run, run->speed.log_time);
		step_add_sample(&step->speed, &samples[i],
		    log(speed_slowness(&run->worker->speed, pool->now)),
		    speed_deviation(&run->worker->speed, pool->now));
	}
	for (i = 0; i < step->spec->count; i++)
		sample_observe(pool, &step->speed, &samples[i]);
	free(samples);
}

static bool
run_is_gang(const struct pool_run *run)
{
	return (run->flow->steps[run->step].spec->flags & GB_STEP_GANG) != 0;
}

/** Whether the time since a run was confirmed includes more than its work:
 * resuming from a checkpoint or waiting for its gang, or whether that time is
 * not known. */
static bool
run_time_is_mixed(const struct pool_run *run)
{
	return run->adopted || run_is_gang(run) ||
	       run->flow->steps[run->step].tasks[run->index].checkpoint != NULL;
}

void
pool_speed_run_progress(struct gb_pool *pool, struct pool_run *run)
{
	struct speed_progress *progress = &run->speed;
	bool gang = run_is_gang(run);
	uint32_t least = gang ? SPEED_PROGRESS_MIN_GANG : SPEED_PROGRESS_MIN;

	if (progress->counted || run->state != POOL_RUN_RUNNING ||
	    run->percent == 0 || run->percent >= SPEED_PERCENT_AT_END)
		return;
	if (progress->from_at == 0 && !run_time_is_mixed(run))
		progress->from_at = run->confirmed;
	if (progress->from_at == 0) {
		progress->from_at = pool->now;
		progress->from_percent = run->percent;
	}
	if (run->percent < progress->from_percent + least ||
	    pool->now <= progress->from_at)
		return;
	progress->counted = true;
	progress->log_time = log((double)(pool->now - progress->from_at) * 100 /
				 (run->percent - progress->from_percent));
	if (gang)
		gang_observe(pool, run->flow, &run->flow->steps[run->step]);
	else
		run_observe(pool, run, progress->log_time);
}

void
pool_speed_run_done(
    struct gb_pool *pool, const struct pool_run *run, gb_time run_time)
{
	const struct speed_progress *progress = &run->speed;
	gb_time since = pool->now - progress->from_at;

	/* The members of a gang end together, when the slowest has ended. */
	if (progress->counted || run_is_gang(run))
		return;
	if (!run_time_is_mixed(run)) {
		if (run_time > 0)
			run_observe(pool, run, log((double)run_time));
		return;
	}
	if (progress->from_at != 0 && since > 0 &&
	    progress->from_percent + SPEED_PROGRESS_MIN <= 100)
		run_observe(pool, run,
		    log((double)since * 100 / (100 - progress->from_percent)));
}
