/**
 * @file runtime.c
 * Distributions of run times, and what they tell of runs to come.
 *
 * Load: declared run times are off by up to 90%, differently in each queue.
 * Tasks of one step differ by 15 to 30% only, but 3 in 100 take seven times as
 * long as the rest.  So the expected time of a task is estimated from three
 * sources, each with the weight that its own error gives it: the declared time
 * times the ratio that is usual in the queue, the run times that are usual
 * there, and the ended runs of the same step.  How far the estimates were off
 * tells how much longer a run takes that has exceeded its own.
 */
#include <math.h>
#include <string.h>

#include "state.h"

/** Observations that count. */
#define RUNTIME_WINDOW 500.0
/** Deviation of the logarithm of a ratio of which nothing is known: declared
 * times are off by up to a factor of 1.9. */
#define RUNTIME_DEVIATION_UNKNOWN 0.64
/** The same for tasks of one step, which differ by 15 to 30%. */
#define RUNTIME_STEP_DEVIATION_UNKNOWN 0.2
/** Quantiles at one deviation of a normal distribution from its mean. */
#define RUNTIME_QUANTILE_LOW 0.16
#define RUNTIME_QUANTILE_HIGH 0.84
/** Share of the runs that end within the expected time.  A gang lasts as long
 * as its slowest member and a step as its slowest task: with medians and means
 * more flows were late in tests (docs/design/hard-load.md, section Run times).
 */
#define RUNTIME_EXPECTED_QUANTILE 0.86
/** Weight, in runs, below which the longest runs of a histogram have decayed.
 */
#define RUNTIME_WEIGHT_MIN 0.001
/** A run that lasts longer than all known ones is expected to take this share
 * of its time in addition: the same as a run whose logarithm has the deviation
 * of tasks of one step. */
#define RUNTIME_BEYOND_SHARE 0.2
/** Weight, in runs, of what is assumed of a queue before runs have ended. */
#define RUNTIME_PRIOR_WEIGHT 5.0
/** Deviations of the prior that are spread over buckets. */
#define RUNTIME_PRIOR_DEVIATIONS 2.5
/** Weight, in runs, after which what is computed from a histogram is computed
 * anew, as a share of its total: computing it takes about 3 us. */
#define RUNTIME_UPDATE_SHARE 0.02
/** Smallest variance of an estimate: that of a deviation of 5%, half the width
 * of a bucket. */
#define RUNTIME_VARIANCE_MIN 0.0025
/** A run of a step counts as at most this many deviations away from the others
 * of the step: some take seven times as long. */
#define RUNTIME_STEP_DEVIATIONS_MAX 2.5
/** A histogram of this age is not imported. */
#define RUNTIME_IMPORT_AGE_MAX (60 * GB_SEC)
/** First byte of an exported histogram. */
#define RUNTIME_EXPORT_FORMAT 1
/** The start of a run that was confirmed later than this may have been
 * carried out long before: an answer takes 0.3 s at most. */
#define RUNTIME_CONFIRM_MAX (300 * GB_MSEC)
/** A copy of a run is started when the expected remaining time is this many
 * times that of the copy: the copy takes capacity from others, and both
 * estimates are off by 15 to 30%. */
#define RUNTIME_COPY_MARGIN 1.5
/** While no other run of the step has ended, and none shows by its progress how
 * long it takes, the whole step may take longer than expected.  A copy is then
 * started only when a run has taken this many times as long as expected. */
#define RUNTIME_COPY_RATIO 2.0
/** Share of the expected time after which progress below 10 percent shows a
 * straggler: others have made 25 percent by then, also when their start took a
 * tenth of that time. */
#define RUNTIME_LITTLE_PROGRESS_SHARE 0.25

/* Histograms -------------------------------------------------------------- */

/** Lower end of a bucket. */
static double
bucket_low(double bucket)
{
	return exp2(
	    bucket / RUNTIME_BUCKETS_PER_OCTAVE - RUNTIME_OCTAVES_BELOW_1);
}

/** Position of a ratio among the buckets: its bucket, and the share of the
 * bucket that is below it. */
static double
bucket_position(double ratio)
{
	double position;

	if (ratio <= bucket_low(0))
		return 0;
	position = (log2(ratio) + RUNTIME_OCTAVES_BELOW_1) *
		   RUNTIME_BUCKETS_PER_OCTAVE;
	return position < RUNTIME_BUCKETS ? position
					  : nextafter(RUNTIME_BUCKETS, 0);
}

void
runtime_init(struct runtime *r)
{
	memset(r, 0, sizeof(*r));
}

/** Updates the sums over the buckets above each one. */
static void
runtime_update(struct runtime *r)
{
	double weight = 0;
	double sum = 0;
	int i;

	for (i = RUNTIME_BUCKETS - 1; i >= 0; i--) {
		weight += r->weight[i];
		sum += r->weight[i] * bucket_low(i + 0.5);
		r->weight_above[i] = (float)weight;
		r->mean_above[i] = (float)(weight > 0 ? sum / weight : 0);
	}
	r->unapplied = 0;
}

/** Adds an observation of some weight. */
static void
runtime_add_weighted(struct runtime *r, double ratio, double weight)
{
	float keep = (float)(1 - weight / RUNTIME_WINDOW);
	int i;

	for (i = 0; i < RUNTIME_BUCKETS; i++)
		r->weight[i] *= keep;
	r->weight[(int)bucket_position(ratio)] += (float)weight;
	r->total = r->total * keep + weight;
	r->unapplied += weight;
	if (r->unapplied > RUNTIME_UPDATE_SHARE * r->total)
		runtime_update(r);
}

void
runtime_add(struct runtime *r, double ratio)
{
	runtime_add_weighted(r, ratio, 1);
}

double
runtime_mean(const struct runtime *r)
{
	double sum = 0;
	int i;

	if (r->total <= 0)
		return 1;
	for (i = 0; i < RUNTIME_BUCKETS; i++)
		sum += r->weight[i] * bucket_low(i + 0.5);
	return sum / r->total;
}

double
runtime_quantile(const struct runtime *r, double share)
{
	double left = share * r->total;
	int last = 0;
	int i;

	if (r->total <= 0)
		return 1;
	for (i = 0; i < RUNTIME_BUCKETS; i++) {
		if (r->weight[i] <= 0)
			continue;
		if (left <= r->weight[i])
			return bucket_low(i + left / r->weight[i]);
		left -= r->weight[i];
		last = i;
	}
	return bucket_low(last + 1);
}

double
runtime_deviation(const struct runtime *r)
{
	if (r->total <= 0)
		return RUNTIME_DEVIATION_UNKNOWN;
	return log(runtime_quantile(r, RUNTIME_QUANTILE_HIGH) /
		   runtime_quantile(r, RUNTIME_QUANTILE_LOW)) /
	       2;
}

/** Weight of the runs that take longer than a ratio, and their mean ratio. */
static double
runtime_longer(const struct runtime *r, double ratio, double *mean)
{
	double position = bucket_position(ratio);
	int bucket = (int)position;
	double part = r->weight_above[bucket] - r->weight_above[bucket + 1];
	double weight;

	part *= bucket + 1 - position;
	weight = part + r->weight_above[bucket + 1];
	*mean = ratio;
	if (weight > 0)
		*mean = (part * bucket_low((position + bucket + 1) / 2) +
			    (double)r->weight_above[bucket + 1] *
				r->mean_above[bucket + 1]) /
			weight;
	return weight;
}

double
runtime_remaining(const struct runtime *r, double elapsed)
{
	double mean;

	if (r->total <= 0 && elapsed < 1)
		return 1 - elapsed;
	if (runtime_longer(r, elapsed, &mean) < RUNTIME_WEIGHT_MIN)
		return elapsed * RUNTIME_BEYOND_SHARE;
	return mean > elapsed ? mean - elapsed : 0;
}

double
runtime_survival(const struct runtime *r, double ratio)
{
	double mean;

	if (r->weight_above[0] <= 0)
		return ratio < 1 ? 1 : 0;
	return runtime_longer(r, ratio, &mean) / (double)r->weight_above[0];
}

size_t
runtime_export(const struct runtime *r, uint8_t *out, size_t size)
{
	uint32_t total = (uint32_t)lround(r->total);
	float most = 0;
	size_t len = 3;
	int i;

	for (i = 0; i < RUNTIME_BUCKETS; i++) {
		if (r->weight[i] > most)
			most = r->weight[i];
	}
	if (size < len)
		return 0;
	out[0] = RUNTIME_EXPORT_FORMAT;
	out[1] = (uint8_t)(total >> 8);
	out[2] = (uint8_t)total;
	for (i = 0; i < RUNTIME_BUCKETS && most > 0; i++) {
		uint8_t part =
		    (uint8_t)lroundf(UINT8_MAX * r->weight[i] / most);

		if (part == 0)
			continue;
		if (size - len < 2)
			return 0;
		out[len++] = (uint8_t)i;
		out[len++] = part;
	}
	return len;
}

/** Sum of the parts of an encoded histogram, or 0 if it is malformed. */
static uint32_t
import_check(const uint8_t *bytes, size_t len)
{
	uint32_t sum = 0;
	size_t i;

	if (len < 3 || len > RUNTIME_EXPORT_MAX || len % 2 == 0 ||
	    bytes[0] != RUNTIME_EXPORT_FORMAT)
		return 0;
	for (i = 3; i < len; i += 2) {
		if (bytes[i] >= RUNTIME_BUCKETS)
			return 0;
		sum += bytes[i + 1];
	}
	return sum;
}

bool
runtime_import(struct runtime *r, const uint8_t *bytes, size_t len, gb_time age)
{
	uint32_t sum = import_check(bytes, len);
	double total;
	double keep;
	size_t i;

	if (sum == 0 || age < 0 || age >= RUNTIME_IMPORT_AGE_MAX)
		return false;
	total = (double)(bytes[1] << 8 | bytes[2]);
	if (total > RUNTIME_WINDOW)
		total = RUNTIME_WINDOW;
	total *= 1 - (double)age / (double)RUNTIME_IMPORT_AGE_MAX;
	for (i = 3; i < len; i += 2)
		r->weight[bytes[i]] += (float)(total * bytes[i + 1] / sum);
	r->total += total;
	keep = r->total > RUNTIME_WINDOW ? RUNTIME_WINDOW / r->total : 1;
	for (i = 0; i < RUNTIME_BUCKETS; i++)
		r->weight[i] *= (float)keep;
	r->total *= keep;
	runtime_update(r);
	return true;
}

/* Queues ------------------------------------------------------------------ */

/** Fills an empty histogram with what is assumed before runs have ended: ratios
 * about 1 with a deviation of the logarithm. */
static void
runtime_assume(struct runtime *r, double deviation)
{
	double weight[RUNTIME_BUCKETS];
	double sum = 0;
	int i;

	for (i = 0; i < RUNTIME_BUCKETS; i++) {
		double x = log(bucket_low(i + 0.5)) / deviation;

		weight[i] =
		    fabs(x) > RUNTIME_PRIOR_DEVIATIONS ? 0 : exp(-x * x / 2);
		sum += weight[i];
	}
	for (i = 0; i < RUNTIME_BUCKETS; i++)
		r->weight[i] = (float)(RUNTIME_PRIOR_WEIGHT * weight[i] / sum);
	r->total = RUNTIME_PRIOR_WEIGHT;
	runtime_update(r);
}

/** Variance of the logarithm of a histogram's ratio.  That of its median is
 * included, since few runs tell little. */
static double
runtime_variance(const struct runtime *r)
{
	double deviation = runtime_deviation(r);

	return deviation * deviation * (1 + 1 / r->total);
}

/** Factor from an estimate to the expected time, by how far estimates were off;
 * 1 before runs have ended. */
static double
runtime_factor(const struct runtime *error)
{
	double known = 1 - RUNTIME_PRIOR_WEIGHT / error->total;

	return 1 +
	       known * (runtime_quantile(error, RUNTIME_EXPECTED_QUANTILE) - 1);
}

/** Part of the variance of run times that differs from step to step. */
static double
variance_of_steps(double variance, double step_variance)
{
	double steps = variance - step_variance;

	return steps > RUNTIME_VARIANCE_MIN ? steps : RUNTIME_VARIANCE_MIN;
}

static void
queue_update(struct runtime_queue *q)
{
	q->step_variance = runtime_variance(&q->step_error);
	if (q->step_variance < RUNTIME_VARIANCE_MIN)
		q->step_variance = RUNTIME_VARIANCE_MIN;
	q->declared_log = log(runtime_quantile(&q->declared, 0.5));
	q->declared_variance =
	    variance_of_steps(runtime_variance(&q->declared), q->step_variance);
	q->absolute_log = log(runtime_quantile(&q->absolute, 0.5) * GB_SEC);
	if (q->absolute.total > 0)
		q->absolute_variance = variance_of_steps(
		    runtime_variance(&q->absolute) +
			RUNTIME_DEVIATION_UNKNOWN / q->absolute.total,
		    q->step_variance);
	q->factor = runtime_factor(&q->error);
	q->step_factor = runtime_factor(&q->step_error);
	q->unapplied = 0;
}

void
runtime_queue_init(struct runtime_queue *q)
{
	memset(q, 0, sizeof(*q));
	runtime_assume(&q->declared, RUNTIME_DEVIATION_UNKNOWN);
	runtime_assume(&q->error, RUNTIME_DEVIATION_UNKNOWN);
	runtime_assume(&q->step_error, RUNTIME_STEP_DEVIATION_UNKNOWN);
	queue_update(q);
}

static bool
step_is_gang(const struct pool_step *step)
{
	return (step->spec->flags & GB_STEP_GANG) != 0;
}

/** What is known of the steps of a queue that are of the same kind, or null. */
static const struct runtime_queue *
queue_find(const struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_step *step)
{
	const struct pool_queue_stat *stat;

	HASH_FIND_STR(pool->queues, flow->spec.queue, stat);
	return stat == NULL ? NULL : &stat->run_times[step_is_gang(step)];
}

/** Time of a run on a worker over that on a worker of slowness 1. */
static double
worker_slowness(const struct pool_worker *worker)
{
	return worker->slowness;
}

/* Estimates --------------------------------------------------------------- */

/** Estimate of the logarithm of a run time in microseconds. */
struct runtime_estimate {
	double sum;    /**< of the logarithms, weighted */
	double weight; /**< inverse of the variance, 0: nothing is known */
};

static void
estimate_add(struct runtime_estimate *e, double logarithm, double variance)
{
	e->sum += logarithm / variance;
	e->weight += 1 / variance;
}

/** Estimates the run time of a task from its queue alone. */
static struct runtime_estimate
estimate_by_queue(const struct runtime_queue *q, const struct pool_step *step)
{
	struct runtime_estimate e = {0};

	if (step->spec->estimate_us > 0)
		estimate_add(&e,
		    log((double)step->spec->estimate_us) + q->declared_log,
		    q->declared_variance);
	if (q->absolute.total > 0)
		estimate_add(&e, q->absolute_log, q->absolute_variance);
	return e;
}

/** Adds the ended runs of the step to an estimate. */
static void
estimate_add_step(struct runtime_estimate *e, const struct runtime_queue *q,
    const struct pool_step *step)
{
	if (step->runtime_runs > 0)
		estimate_add(e, step->runtime_log,
		    q->step_variance / step->runtime_runs);
}

/** Estimated run time in microseconds, 0: unknown. */
static double
estimate_time(const struct runtime_estimate *e)
{
	return e->weight <= 0 ? 0 : exp(e->sum / e->weight);
}

/** Estimated run time of a task in microseconds, 0: unknown. */
static double
step_estimate(const struct runtime_queue *q, const struct pool_step *step)
{
	struct runtime_estimate e = estimate_by_queue(q, step);

	estimate_add_step(&e, q, step);
	return estimate_time(&e);
}

/** How far the estimates of such a step were off. */
static const struct runtime *
step_error(const struct runtime_queue *q, const struct pool_step *step)
{
	return step->runtime_runs > 0 ? &q->step_error : &q->error;
}

gb_time
pool_runtime_expected(const struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_step *step)
{
	const struct runtime_queue *q = queue_find(pool, flow, step);

	if (q == NULL)
		return step->spec->estimate_us;
	return (gb_time)(step_estimate(q, step) *
			 (step->runtime_runs > 0 ? q->step_factor : q->factor));
}

double
pool_runtime_deviation(const struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_step *step)
{
	const struct runtime_queue *q = queue_find(pool, flow, step);

	return q == NULL ? RUNTIME_DEVIATION_UNKNOWN
			 : runtime_deviation(step_error(q, step));
}

/* Runs -------------------------------------------------------------------- */

/** Whether a run continues from a checkpoint of an earlier one. */
static bool
run_has_resumed(const struct pool_run *run)
{
	const struct pool_step *step = &run->flow->steps[run->step];
	uint32_t keeper = step_is_gang(step) ? 0 : run->index;

	return step->tasks[keeper].checkpoint != NULL;
}

/** Whether the time since the confirmed start is that of the whole task. */
static bool
run_is_whole(const struct pool_run *run)
{
	return !run->adopted && run->tries == 1 && !run_has_resumed(run) &&
	       run->confirmed - run->start_sent <= RUNTIME_CONFIRM_MAX;
}

/** When a run began, as far as this owner knows. */
static gb_time
run_began(const struct pool_run *run)
{
	return run->confirmed != 0 ? run->confirmed : run->started;
}

/** Remaining time of a run by its progress. */
static gb_time
run_left_by_progress(const struct gb_pool *pool, const struct pool_run *run)
{
	gb_time began =
	    run->first_percent != 0 ? run->first_percent_at : run_began(run);
	gb_time left = (run->progress_at - began) * (100 - run->percent) /
		       (run->percent - run->first_percent);

	return run->progress_at + left - pool->now;
}

gb_time
pool_runtime_left(const struct gb_pool *pool, const struct pool_run *run)
{
	const struct pool_step *step = &run->flow->steps[run->step];
	const struct runtime_queue *q = queue_find(pool, run->flow, step);
	double slowness = worker_slowness(run->worker);
	double elapsed = (double)(pool->now - run_began(run)) / slowness;
	double estimate;

	if (pool_run_progress_known(run))
		return run_left_by_progress(pool, run);
	estimate = q == NULL ? (double)step->spec->estimate_us
			     : step_estimate(q, step);
	if (q == NULL || estimate <= 0)
		return (gb_time)((estimate - elapsed) * slowness);
	return (gb_time)(slowness * estimate *
			 runtime_remaining(
			     step_error(q, step), elapsed / estimate));
}

/** Shortest run time that the progress of a run allows for on a worker of
 * slowness 1, 0: unknown.  Percent are rounded down. */
static double
run_least_time(const struct pool_run *run)
{
	double elapsed = (double)(run->progress_at - run_began(run));

	if (run->percent == 0 || run->first_percent != 0 || elapsed <= 0)
		return 0;
	return elapsed * 100 / (run->percent + 1) /
	       worker_slowness(run->worker);
}

/** Shortest run time of another task of the step by its progress, 0: unknown.
 */
static double
step_least_time(const struct pool_step *step, const struct pool_run *but)
{
	double least = 0;
	uint32_t i;

	for (i = 0; i < step->spec->count; i++) {
		const struct pool_run *run = TAILQ_FIRST(&step->tasks[i].runs);
		double time = 0;

		if (run != NULL && run != but && pool_run_progress_known(run))
			time = run_least_time(run);
		if (time > 0 && (least <= 0 || time < least))
			least = time;
	}
	return least;
}

/** Expected remaining time of a run.  Progress is not known below 10 percent,
 * but a run that has made little of it for a while is a straggler. */
static double
straggler_left(
    const struct gb_pool *pool, const struct pool_run *run, double expected)
{
	double slowness = worker_slowness(run->worker);
	double least = run_least_time(run);

	if (!pool_run_progress_known(run) && least > 0 &&
	    (double)(run->progress_at - run_began(run)) >
		RUNTIME_LITTLE_PROGRESS_SHARE * expected * slowness)
		return slowness * least - (double)(pool->now - run_began(run));
	return (double)pool_run_time_left(pool, run);
}

bool
pool_runtime_copy_pays(const struct gb_pool *pool, const struct pool_run *run,
    const struct pool_worker *worker)
{
	const struct pool_step *step = &run->flow->steps[run->step];
	double slowness = worker == NULL ? 1 : worker_slowness(worker);
	double expected = (double)pool_runtime_expected(pool, run->flow, step);
	double elapsed = (double)(pool->now - run_began(run));
	double left = straggler_left(pool, run, expected);
	double others;

	if (left <= RUNTIME_COPY_MARGIN * expected * slowness)
		return false;
	if (step->runtime_runs > 0 ||
	    elapsed >=
		RUNTIME_COPY_RATIO * expected * worker_slowness(run->worker))
		return true;
	others = step_least_time(step, run);
	return others > 0 && left > RUNTIME_COPY_MARGIN * others * slowness;
}

void
pool_runtime_run_progress(
    const struct gb_pool *pool, struct pool_run *run, uint32_t percent)
{
	if (!POOL_FEATURE_ENABLED(pool, GB_FEATURE_RUN_TIMES) ||
	    run->percent != 0 || (!run->adopted && !run_has_resumed(run)))
		return;
	run->first_percent = percent;
	run->first_percent_at = pool->now;
}

/** Adds an ended run to what is known of its step. */
static void
step_add_run(
    struct pool_step *step, const struct runtime_queue *q, double logarithm)
{
	double most = RUNTIME_STEP_DEVIATIONS_MAX * sqrt(q->step_variance);
	double difference = logarithm - step->runtime_log;

	if (step->runtime_runs == 0)
		difference = logarithm;
	else if (difference > most)
		difference = most;
	step->runtime_runs++;
	step->runtime_log += difference / step->runtime_runs;
}

/** Adds a run time in microseconds to what is known of a queue.  The runs of a
 * step have one declared time, so together they count as one. */
static void
queue_add_run(struct runtime_queue *q, const struct pool_step *step,
    double run_time, double weight)
{
	struct runtime_estimate estimate = estimate_by_queue(q, step);

	if (step->runtime_runs > 0)
		runtime_add(&q->step_error, run_time / step_estimate(q, step));
	if (estimate.weight > 0)
		runtime_add_weighted(
		    &q->error, run_time / estimate_time(&estimate), weight);
	if (step->spec->estimate_us > 0)
		runtime_add_weighted(&q->declared,
		    run_time / (double)step->spec->estimate_us, weight);
	runtime_add_weighted(&q->absolute, run_time / GB_SEC, weight);
	q->unapplied += weight;
	if (q->unapplied > RUNTIME_UPDATE_SHARE * q->absolute.total)
		queue_update(q);
}

/** Time for which all members of a gang have run, and the slowness of the
 * slowest.  False if that is not known for all. */
static bool
gang_measure(const struct gb_pool *pool, const struct pool_step *step,
    gb_time *run_time, double *slowness)
{
	gb_time began = 0;
	uint32_t i;

	for (i = 0; i < step->spec->count; i++) {
		const struct pool_run *run = TAILQ_FIRST(&step->tasks[i].runs);

		if (run == NULL || run->confirmed == 0 || !run_is_whole(run))
			return false;
		if (run->confirmed > began)
			began = run->confirmed;
		if (worker_slowness(run->worker) > *slowness)
			*slowness = worker_slowness(run->worker);
	}
	*run_time = pool->now - began;
	return true;
}

void
pool_runtime_run_done(
    struct gb_pool *pool, const struct pool_run *run, gb_time run_time)
{
	struct pool_step *step = &run->flow->steps[run->step];
	struct pool_queue_stat *stat =
	    pool_rank_queue_stat(pool, run->flow->spec.queue);
	struct runtime_queue *q = &stat->run_times[step_is_gang(step)];
	double slowness = worker_slowness(run->worker);
	double weight = 1.0 / step->spec->count;

	if (!run_is_whole(run))
		return;
	if (step_is_gang(step)) {
		/* The members end together, so the gang counts once. */
		slowness = 0;
		weight = 1;
		if (step->done > 0 ||
		    !gang_measure(pool, step, &run_time, &slowness))
			return;
	}
	if (run_time <= 0 || slowness <= 0)
		return;
	queue_add_run(q, step, (double)run_time / slowness, weight);
	step_add_run(step, q, log((double)run_time / slowness));
}

/** Value in thousandths. */
static uint32_t
in_thousandths(double value)
{
	return (uint32_t)lround(value * 1000);
}

size_t
gb_pool_queue_run_times(
    const struct gb_pool *pool, struct gb_pool_queue_run_times *out, size_t max)
{
	const struct pool_queue_stat *stat;
	size_t count = 0;
	int gangs;

	for (stat = pool->queues; stat != NULL; stat = stat->hh.next) {
		for (gangs = 0; gangs < 2 && count < max; gangs++) {
			const struct runtime_queue *q = &stat->run_times[gangs];

			if (q->absolute.total <= 0)
				continue;
			snprintf(out[count].name, sizeof(out[count].name), "%s",
			    stat->name);
			out[count].gangs = gangs == 1;
			out[count].runs = (uint32_t)lround(q->absolute.total);
			out[count].deviation =
			    in_thousandths(runtime_deviation(&q->declared));
			out[count++].ratio =
			    in_thousandths(runtime_quantile(&q->declared, 0.5));
		}
	}
	return count;
}
