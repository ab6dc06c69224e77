/**
 * @file forecast.c
 * Forecast of when a submission would start, as a fluid model.
 *
 * Overload: an organisation sends five to seven times its usual load, or gangs
 * and imports come at twice the usual rate, for 8 s at a time.  Without a
 * forecast, what can't be served in time is accepted, waits behind other work
 * and earns nothing.
 *
 * Processors do the waiting work in the order of rank.c.  What goes before a
 * submission is counted so that the forecast is never later than the start
 * certainly is: work of the same slot of latest starts, steps that are not
 * ready and later submissions don't count, work that will have lost its
 * earnings when its turn comes is dropped, and the last tasks before the
 * submission may still run when it starts.
 */
#include <math.h>
#include <string.h>

#include "forecast.h"

/** The spread of retries is this part of the time to retry, in 1,000 steps. */
#define FORECAST_RETRY_SPREAD 4
#define FORECAST_RETRY_SPREAD_STEPS 1000
/** Smallest part of the processors that is expected to be left for work beyond
 * the shares after FORECAST_STEPS. */
#define FORECAST_RATE_MIN 0.1

void
forecast_supply_add(
    struct forecast_supply *supply, double total, double free_cores)
{
	supply->total += total;
	supply->free += free_cores;
}

void
forecast_supply_add_end(
    struct forecast_supply *supply, gb_time left, double cores)
{
	gb_time step = left / FORECAST_STEP;

	if (step < 0)
		step = 0;
	if (step >= FORECAST_STEPS)
		step = FORECAST_STEPS - 1;
	supply->freed[step] += cores;
}

void
forecast_supply_finish(struct forecast_supply *supply)
{
	double cores = supply->free;
	double done = 0;
	double left = 0;
	double left_now;
	int i;

	for (i = 0; i < FORECAST_STEPS; i++) {
		cores += supply->freed[i];
		/* More may run than a lowered quota allows. */
		if (cores > 0)
			done += cores * FORECAST_STEP;
		left_now = done - supply->arriving * FORECAST_STEP * (i + 1);
		if (left_now > left)
			left = left_now;
		supply->cores[i] = cores;
		supply->done[i] = done;
		supply->left[i] = left;
	}
}

/** Slot of a latest start. */
static int
slot_of(gb_time start_by)
{
	gb_time slot = start_by / FORECAST_SLOT + FORECAST_SLOTS_PAST;

	if (slot < 0)
		return 0;
	return slot >= FORECAST_SLOTS ? FORECAST_SLOTS - 1 : (int)slot;
}

/** Start of a slot. */
static gb_time
slot_time(int slot)
{
	return (gb_time)(slot - FORECAST_SLOTS_PAST) * FORECAST_SLOT;
}

void
forecast_work_add(
    struct forecast_resource *resource, const struct forecast_work *work)
{
	struct forecast_cell *cell =
	    &resource->cells[work->tier][slot_of(work->start_by)];

	if (cell->work <= 0 || work->latest < cell->latest)
		cell->latest = work->latest;
	if (work->run_time > cell->longest)
		cell->longest = work->run_time;
	cell->work += work->tasks * work->cores * (double)work->run_time;
}

/** Processors that are left by arriving work. */
static double
cores_left(double cores, double arriving)
{
	return cores > arriving ? cores - arriving : 0;
}

/** Time until the last of so much work may have been started: what the
 * processors have done by then, and tasks as long as the longest that run on
 * all processors that are free by then.  With `beyond_share`, what arrives is
 * done besides. */
static gb_time
supply_time(const struct forecast_supply *supply, double work, gb_time longest,
    bool beyond_share)
{
	const double *done = beyond_share ? supply->left : supply->done;
	double arriving = beyond_share ? supply->arriving : 0;
	double rate = supply->total - arriving;
	double missing;
	int low = 0;
	int high = FORECAST_STEPS;

	if (work <= 0)
		return 0;
	while (low < high) {
		int middle = (low + high) / 2;

		if (done[middle] + cores_left(supply->cores[middle], arriving) *
				       (double)longest >=
		    work)
			high = middle;
		else
			low = middle + 1;
	}
	if (low < FORECAST_STEPS)
		return (gb_time)low * FORECAST_STEP;
	if (rate < supply->total * FORECAST_RATE_MIN)
		rate = supply->total * FORECAST_RATE_MIN;
	missing = work - done[low - 1] -
		  cores_left(supply->total, arriving) * (double)longest;
	return FORECAST_STEPS * FORECAST_STEP +
	       (missing > 0 ? (gb_time)(missing / rate) : 0);
}

/** Time until so many processors are free at once, if nothing waits for
 * them. */
static gb_time
supply_cores_time(const struct forecast_supply *supply, double cores)
{
	double free_cores = supply->free;
	int i;

	for (i = 0; i < FORECAST_STEPS && free_cores < cores; i++)
		free_cores += supply->freed[i];
	return free_cores < cores || i == 0 ? 0
					    : (gb_time)(i - 1) * FORECAST_STEP;
}

/** Work that goes before a submission, as counted so far. */
struct forecast_ahead {
	const struct forecast_resource *resource;
	double work;
	gb_time longest; /**< longest run time of a task of it */
	bool beyond_share;
};

/** Time until the last of the work may have been started. */
static gb_time
ahead_time(const struct forecast_ahead *ahead)
{
	return supply_time(&ahead->resource->supply, ahead->work,
	    ahead->longest, ahead->beyond_share);
}

/** Adds the work of a cell, unless its turn comes after a time. */
static void
ahead_add(struct forecast_ahead *ahead, const struct forecast_cell *cell,
    gb_time until)
{
	if (cell->work <= 0 || ahead_time(ahead) > until)
		return;
	ahead->work += cell->work;
	if (cell->longest > ahead->longest)
		ahead->longest = cell->longest;
}

/** Adds the work of slots of a tier that still earns something at its turn. */
static void
ahead_add_slots(struct forecast_ahead *ahead, int tier, int from, int to)
{
	int i;

	for (i = from; i < to; i++) {
		const struct forecast_cell *cell =
		    &ahead->resource->cells[tier][i];

		ahead_add(ahead, cell, cell->latest);
	}
}

/** Adds what goes before a submission that is late: work that may start later
 * but is on time at its turn, and late work that had to start earlier. */
static void
ahead_add_late(struct forecast_ahead *ahead,
    const struct forecast_submission *submission, int slot)
{
	int tier;
	int i;

	for (i = slot + 1; i < FORECAST_SLOTS; i++)
		ahead_add(ahead, &ahead->resource->cells[submission->tier][i],
		    slot_time(i));
	for (tier = submission->tier + 1; tier < submission->late_tier; tier++)
		ahead_add_slots(ahead, tier, 0, FORECAST_SLOTS);
	ahead_add_slots(ahead, submission->late_tier, 0, slot);
}

/** Adds what goes before a submission whose latest start moves on with time:
 * on-time work that has to start by then at its turn. */
static void
ahead_add_moving(struct forecast_ahead *ahead,
    const struct forecast_submission *submission, int slot)
{
	int i;

	for (i = slot; i < FORECAST_SLOTS; i++) {
		if (slot_time(i + 1) > ahead_time(ahead) + submission->start_by)
			return;
		ahead_add(ahead, &ahead->resource->cells[submission->tier][i],
		    slot_time(i));
	}
}

gb_time
forecast_start(const struct forecast_resource *resource,
    const struct forecast_submission *submission)
{
	struct forecast_ahead ahead = {
	    resource, 0, 0, submission->beyond_share};
	int slot = slot_of(submission->start_by);
	gb_time start;
	gb_time cores_free;
	int tier;

	if (resource->supply.total <= 0)
		return 0;
	for (tier = 0; tier < submission->tier; tier++)
		ahead_add_slots(&ahead, tier, 0, FORECAST_SLOTS);
	ahead_add_slots(&ahead, submission->tier, 0, slot);
	if (submission->moves)
		ahead_add_moving(&ahead, submission, slot);
	start = ahead_time(&ahead);
	if (start > submission->start_by &&
	    submission->late_tier > submission->tier) {
		ahead_add_late(&ahead, submission, slot);
		start = ahead_time(&ahead);
	}
	cores_free = supply_cores_time(&resource->supply, submission->cores);
	return start > cores_free ? start : cores_free;
}

gb_time
forecast_optimistic(gb_time start)
{
	return (gb_time)((double)start * exp(-FORECAST_MEAN_DEVIATION));
}

gb_time
forecast_latest(gb_time base, double factor, gb_time chain, double late_factor)
{
	double longest = (double)chain * exp(FORECAST_DEVIATION);

	/* With a factor below 1 / late_factor a shorter run leaves more. */
	if (late_factor * factor < 1)
		longest = (double)chain * exp(-FORECAST_DEVIATION);
	return (gb_time)(late_factor * (double)base +
			 (late_factor * factor - 1) * longest);
}

gb_time
forecast_retry_after(gb_time start, const char *id)
{
	/* The largest spread ends at FORECAST_RETRY_MAX. */
	gb_time most = FORECAST_RETRY_MAX * FORECAST_RETRY_SPREAD /
		       (FORECAST_RETRY_SPREAD + 1);
	gb_time spread =
	    (gb_time)(gb_hash(id, strlen(id)) % FORECAST_RETRY_SPREAD_STEPS);

	if (start < FORECAST_RETRY_MIN)
		start = FORECAST_RETRY_MIN;
	if (start > most)
		start = most;
	return start + start / FORECAST_RETRY_SPREAD * spread /
			   FORECAST_RETRY_SPREAD_STEPS;
}
