/**
 * @file test_forecast.c
 * Guards against submissions that are accepted although they can't earn
 * anything any more, and against refusals of submissions that can be served.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "pool/forecast.h"
#include "pool/state.h"
#include "pool_cell.h"

/* Snapshots --------------------------------------------------------------- */

/** Processors of the snapshots, in thousandths. */
#define TOTAL 100000.0
/** A latest time that no work passes. */
#define NO_END (1000 * GB_SEC)

/** Creates a snapshot whose processors are all in use until a time. */
static struct forecast_resource *
snapshot_new(gb_time busy)
{
	struct forecast_resource *r = gb_calloc(1, sizeof(*r));

	forecast_supply_add(&r->supply, TOTAL, busy == 0 ? TOTAL : 0);
	if (busy > 0)
		forecast_supply_add_end(&r->supply, busy, TOTAL);
	return r;
}

/** Adds work that occupies all processors for a time, in tasks of 1 s. */
static void
snapshot_wait(struct forecast_resource *r, int tier, gb_time start_by,
    gb_time latest, unsigned int seconds)
{
	const struct forecast_work work = {
	    tier, start_by, latest, 100 * seconds, 1000, GB_SEC};

	forecast_work_add(r, &work);
}

/** Forecast of a submission that is on time for 5 s; frees the snapshot. */
static gb_time
snapshot_start(struct forecast_resource *r, int tier, double cores)
{
	struct forecast_submission submission = {0};
	gb_time start;

	submission.tier = tier;
	submission.late_tier = tier == RANK_ON_TIME ? RANK_LATE : tier;
	submission.start_by = 5 * GB_SEC;
	submission.cores = cores;
	forecast_supply_finish(&r->supply);
	start = forecast_start(r, &submission);
	free(r);
	return start;
}

/** An idle pool, or one without known workers, delays nothing. */
static void
test_nothing_waits(void **state)
{
	(void)state;
	assert_int_equal(
	    snapshot_start(snapshot_new(0), RANK_ON_TIME, 1000), 0);
	assert_int_equal(
	    snapshot_start(gb_calloc(1, sizeof(struct forecast_resource)),
		RANK_ON_TIME, 1000),
	    0);
}

/** Work that goes first delays a submission, but not by its last tasks: these
 * may still run when it starts. */
static void
test_more_urgent_work_goes_first(void **state)
{
	struct forecast_resource *r = snapshot_new(0);

	(void)state;
	snapshot_wait(r, RANK_URGENT, 0, NO_END, 4);
	assert_int_equal(
	    snapshot_start(r, RANK_ON_TIME, 1000), 3 * GB_SEC - FORECAST_STEP);
	r = snapshot_new(2 * GB_SEC);
	snapshot_wait(r, RANK_URGENT, 0, NO_END, 4);
	assert_int_equal(
	    snapshot_start(r, RANK_ON_TIME, 1000), 5 * GB_SEC - FORECAST_STEP);
}

/** Equal work counts only if it certainly goes first, less urgent work never.
 */
static void
test_equal_and_less_urgent_work(void **state)
{
	struct forecast_resource *r = snapshot_new(0);

	(void)state;
	snapshot_wait(r, RANK_ON_TIME, 5 * GB_SEC, NO_END, 4);
	snapshot_wait(r, RANK_ON_TIME, 9 * GB_SEC, NO_END, 4);
	snapshot_wait(r, RANK_OVER_SHARE, 0, NO_END, 4);
	assert_int_equal(snapshot_start(r, RANK_ON_TIME, 1000), 0);
	r = snapshot_new(0);
	snapshot_wait(r, RANK_ON_TIME, 4 * GB_SEC, NO_END, 4);
	assert_int_equal(
	    snapshot_start(r, RANK_ON_TIME, 1000), 3 * GB_SEC - FORECAST_STEP);
	r = snapshot_new(0);
	snapshot_wait(r, RANK_ON_TIME, 9 * GB_SEC, NO_END, 4);
	assert_int_equal(snapshot_start(r, RANK_OVER_SHARE, 1000),
	    3 * GB_SEC - FORECAST_STEP);
}

/** Work that will earn nothing when its turn comes does not go first then. */
static void
test_work_that_loses_its_earnings_is_dropped(void **state)
{
	struct forecast_resource *r = snapshot_new(0);

	(void)state;
	snapshot_wait(r, RANK_URGENT, 0, NO_END, 4);
	snapshot_wait(r, RANK_URGENT, GB_SEC, 2 * GB_SEC, 20);
	assert_int_equal(
	    snapshot_start(r, RANK_ON_TIME, 1000), 3 * GB_SEC - FORECAST_STEP);
}

/** A submission that will be late waits for what is on time by then, though
 * that may start later. */
static void
test_late_submission_waits_for_later_work(void **state)
{
	struct forecast_resource *r = snapshot_new(0);

	(void)state;
	snapshot_wait(r, RANK_URGENT, 0, NO_END, 8);
	snapshot_wait(r, RANK_ON_TIME, 20 * GB_SEC, NO_END, 4);
	assert_int_equal(
	    snapshot_start(r, RANK_ON_TIME, 1000), 11 * GB_SEC - FORECAST_STEP);
}

/** A gang waits until enough processors are free at once. */
static void
test_gang_needs_processors_at_once(void **state)
{
	struct forecast_resource *r = gb_calloc(1, sizeof(*r));

	(void)state;
	forecast_supply_add(&r->supply, TOTAL, 10000);
	forecast_supply_add_end(&r->supply, 3 * GB_SEC, 40000);
	forecast_supply_add_end(&r->supply, 7 * GB_SEC, 50000);
	assert_int_equal(snapshot_start(r, RANK_ON_TIME, 90000), 7 * GB_SEC);
}

/** Work that arrives delays only what is beyond a share. */
static void
test_arriving_work(void **state)
{
	const struct forecast_submission beyond = {
	    RANK_OVER_SHARE, RANK_OVER_SHARE, true, 5 * GB_SEC, false, 1000};
	struct forecast_resource *r = snapshot_new(0);

	(void)state;
	snapshot_wait(r, RANK_ON_TIME, 0, NO_END, 10);
	r->supply.arriving = TOTAL / 2;
	forecast_supply_finish(&r->supply);
	assert_int_equal(
	    forecast_start(r, &beyond), 19 * GB_SEC - FORECAST_STEP);
	assert_int_equal(
	    snapshot_start(r, RANK_ON_TIME, 1000), 9 * GB_SEC - FORECAST_STEP);
}

/** The time to retry has bounds, and differs between callers. */
static void
test_retry_after(void **state)
{
	gb_time a = forecast_retry_after(8 * GB_SEC, "a");
	gb_time b = forecast_retry_after(8 * GB_SEC, "b");

	(void)state;
	assert_true(a != b);
	assert_in_range(a, 8 * GB_SEC, 10 * GB_SEC);
	assert_in_range(b, 8 * GB_SEC, 10 * GB_SEC);
	assert_in_range(
	    forecast_retry_after(0, "a"), 500 * GB_MSEC, 625 * GB_MSEC);
	assert_in_range(
	    forecast_retry_after(500 * GB_SEC, "a"), 24 * GB_SEC, 30 * GB_SEC);
}

/* Submissions to an owner ------------------------------------------------- */

/** Creates a cell of 8 workers in which an import has been measured. */
static struct pool_cell *
import_cell(uint32_t disabled)
{
	struct pool_cell_setup setup = {
	    7, 8, {16000, 64000, 0, 0, 0}, 0, 0, 0, 0, 0, disabled};
	struct pool_cell *cell = pool_cell_begin(&setup);

	pool_cell_quota(cell, "small", 4000, 0);
	pool_cell_step_add(cell, 8, 2000, GB_SEC, 0, -1);
	pool_cell_submit(cell, "import", "ms=1000");
	pool_cell_run(cell, 4 * GB_SEC);
	return cell;
}

/** Submits imports of 16 processors for 1 s, and runs the cell for 0.2 s after
 * each.  Returns how many were refused. */
static unsigned int
import_submit(struct pool_cell *cell, const char *org, unsigned int count)
{
	unsigned int refused = 0;
	size_t flow;

	while (count-- > 0) {
		snprintf(cell->org, sizeof(cell->org), "%s", org);
		pool_cell_step_add(cell, 8, 2000, GB_SEC, 0, -1);
		flow = pool_cell_submit(cell, "import", "ms=1000");
		pool_cell_run(cell, 200 * GB_MSEC);
		assert_true(cell->flows[flow].answered);
		if (cell->flows[flow].answer.verdict != GB_FLOW_REFUSED)
			continue;
		refused++;
		assert_in_range(cell->flows[flow].answer.retry_after_us,
		    FORECAST_RETRY_MIN, FORECAST_RETRY_MAX);
	}
	return refused;
}

/** Lets an organisation use up its quota for 90 s. */
static void
quota_use_up(struct pool_cell *cell)
{
	snprintf(cell->org, sizeof(cell->org), "small");
	pool_cell_step_add(cell, 2, 2000, 90 * GB_SEC, 0, -1);
	pool_cell_submit(cell, "import", "ms=90000");
	pool_cell_run(cell, 500 * GB_MSEC);
}

/** An organisation whose quota is used up for longer than a flow earns anything
 * is refused, and no other one; with the feature off nobody is. */
static void
test_quota_is_used_up(void **state)
{
	struct pool_cell *cell = import_cell(0);

	(void)state;
	assert_int_equal(import_submit(cell, "small", 1), 0);
	pool_cell_run(cell, 5 * GB_SEC);
	quota_use_up(cell);
	assert_int_equal(import_submit(cell, "small", 3), 3);
	assert_int_equal(import_submit(cell, "", 3), 0);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
	cell = import_cell(UINT32_C(1) << GB_FEATURE_FORECAST);
	quota_use_up(cell);
	assert_int_equal(import_submit(cell, "small", 3), 0);
	pool_cell_free(cell);
}

/** A new owner has measured nothing and refuses nothing for 2 s. */
static void
test_new_owner_refuses_nothing(void **state)
{
	struct pool_cell *cell = import_cell(0);

	(void)state;
	quota_use_up(cell);
	assert_int_equal(import_submit(cell, "small", 1), 1);
	pool_cell_replace_owner(cell, 1);
	pool_cell_run(cell, GB_SEC);
	assert_true(pool_cell_owner(cell) < CELL_NODES);
	assert_int_equal(import_submit(cell, "small", 2), 0);
	pool_cell_free(cell);
}

/** Submits 45 imports, of which a part of the workers is told that they drain.
 * Returns whether one more is refused. */
static bool
refused_while_draining(unsigned int draining)
{
	struct pool_cell *cell = import_cell(0);
	unsigned int refused;
	unsigned int i;

	for (i = 0; i < 45; i++) {
		pool_cell_step_add(cell, 8, 2000, GB_SEC, 0, -1);
		pool_cell_submit(cell, "import", "ms=1000");
	}
	for (i = 0; i < draining; i++)
		world_worker_drain(cell->world, i);
	pool_cell_run(cell, GB_SEC);
	refused = import_submit(cell, "", 1);
	pool_cell_free(cell);
	return refused > 0;
}

/** Processors of draining workers do not count. */
static void
test_draining_workers(void **state)
{
	(void)state;
	assert_false(refused_while_draining(0));
	assert_true(refused_while_draining(7));
}

/** A submission is accepted while the processors for its first step are free,
 * however much goes before it: work that needs more at once does not stop it
 * from starting. */
static void
test_free_processors(void **state)
{
	struct pool_cell *cell = import_cell(0);
	size_t large;
	size_t small;

	(void)state;
	cell->priorities = true;
	pool_cell_configure(cell);
	/* Leaves 4 processors free on each worker. */
	pool_cell_step_add(cell, 8, 12000, 90 * GB_SEC, 0, -1);
	pool_cell_submit(cell, "import", "ms=90000");
	pool_cell_run(cell, 500 * GB_MSEC);
	pool_cell_step_add(cell, 20, 6000, 90 * GB_SEC, 0, -1);
	pool_cell_submit(cell, "lookup", "ms=90000");
	pool_cell_run(cell, 500 * GB_MSEC);
	pool_cell_step_add(cell, 2, 6000, GB_SEC, 0, -1);
	large = pool_cell_submit(cell, "import", "ms=1000");
	pool_cell_step_add(cell, 2, 2000, GB_SEC, 0, -1);
	small = pool_cell_submit(cell, "import", "ms=1000");
	pool_cell_run(cell, 4 * GB_SEC);
	assert_int_equal(cell->flows[large].answer.verdict, GB_FLOW_REFUSED);
	assert_int_equal(cell->flows[small].status, GB_FLOW_SUCCEEDED);
	pool_cell_free(cell);
}

/* Replay of an overload --------------------------------------------------- */

/** Workers of the replay: a fifteenth of those of a deployment, with as much of
 * its load and smaller flows. */
#define REPLAY_WORKERS 24
#define REPLAY_ROUND (100 * GB_MSEC)
#define REPLAY_USUAL_ROUNDS 100
#define REPLAY_OVERLOAD_ROUNDS 300
#define REPLAY_AFTER_ROUNDS 200
#define REPLAY_ORGS 5
#define REPLAY_FLOWS_MAX 8000

/** Kind of flows of the load. */
struct replay_kind {
	const char *queue;
	double per_s; /**< usual submissions per second of all organisations */
	uint32_t tasks;
	int cpu;
	gb_time work; /**< of a task */
	uint32_t flags;
	gb_time base;
	double factor;
	bool bursts; /**< comes at twice the rate in the overload */
};

static const struct replay_kind replay_kinds[] = {
    {"rebuild", 0.6, 8, 4500, 5 * GB_SEC, GB_STEP_GANG, GB_SEC, 2.2, true},
    {"import", 2.4, 11, 1700, 2200 * GB_MSEC, 0, 3 * GB_SEC, 4, true},
    {"lookup", 4.6, 3, 2500, GB_SEC, 0, 250 * GB_MSEC, 1.5, false},
};
#define REPLAY_KINDS 3

/** One replay and the outcome of each submission. */
struct replay {
	uint64_t seed;
	double hot; /**< load of the first organisation, times the usual */
	int64_t hot_quota;
	unsigned int submitted;
	unsigned char kind[REPLAY_FLOWS_MAX];
	bool accepted[REPLAY_FLOWS_MAX];
	bool earned[REPLAY_FLOWS_MAX]; /**< ended while it earned something */
	unsigned int nothing;	       /**< accepted ones that earned nothing */
	unsigned int refused;
	unsigned int full; /**< ended within the objective */
};

/** Submits a flow whose declared run time is off by up to 90%, in either
 * direction. */
static void
replay_submit(struct replay *r, struct pool_cell *cell,
    const struct replay_kind *kind, unsigned int org)
{
	double off = 1 + 0.9 * (double)(gb_random_next(&r->seed) % 1000) / 1000;
	gb_time declared =
	    (gb_time)((double)kind->work *
		      (gb_random_next(&r->seed) % 2 == 0 ? off : 1 / off));
	char spec[32];

	assert_true(r->submitted < REPLAY_FLOWS_MAX);
	snprintf(cell->org, sizeof(cell->org), "org%u", org);
	snprintf(spec, sizeof(spec), "ms=%d", (int)(kind->work / GB_MSEC));
	pool_cell_step_add(
	    cell, kind->tasks, kind->cpu, declared, kind->flags, -1);
	r->kind[r->submitted] = (unsigned char)(kind - replay_kinds);
	r->submitted++;
	pool_cell_submit(cell, kind->queue, spec);
}

/** Submits what comes in one round. */
static void
replay_round(struct replay *r, struct pool_cell *cell, bool overload)
{
	unsigned int org;
	unsigned int k;

	for (org = 0; org < REPLAY_ORGS; org++) {
		for (k = 0; k < REPLAY_KINDS; k++) {
			const struct replay_kind *kind = &replay_kinds[k];
			double rate = kind->per_s / REPLAY_ORGS / 10;

			if (overload && kind->bursts)
				rate *= 2;
			if (overload && org == 0)
				rate *= r->hot;
			while (rate * 1e6 >
			       (double)(gb_random_next(&r->seed) % 1000000)) {
				replay_submit(r, cell, kind, org);
				rate -= 1;
			}
		}
	}
	pool_cell_run(cell, REPLAY_ROUND);
}

static void
replay_count(struct replay *r, const struct pool_cell *cell)
{
	unsigned int i;

	for (i = 0; i < r->submitted; i++) {
		const struct pool_cell_flow *flow = &cell->flows[i];
		const struct replay_kind *kind = &replay_kinds[r->kind[i]];
		gb_time objective =
		    kind->base + (gb_time)(kind->factor * (double)kind->work);
		gb_time took = flow->finished_at - flow->submitted;

		r->accepted[i] = flow->accepted;
		r->earned[i] = flow->finished_at != 0 &&
			       flow->status == GB_FLOW_SUCCEEDED &&
			       took <= POOL_LATE_FACTOR * objective;
		r->full += r->earned[i] && took <= objective;
		r->nothing += r->accepted[i] && !r->earned[i];
		r->refused += !r->accepted[i];
	}
}

/** Replays an overload: usual load, then one organisation sends a multiple of
 * its load and gangs and imports come at twice the rate, then usual load
 * again. */
static struct replay *
replay_run(uint64_t seed, double hot, int64_t hot_quota, uint32_t disabled)
{
	struct pool_cell_setup setup = {7, REPLAY_WORKERS,
	    {16000, 32000, 0, 0, 0}, 0, 0, 0, 0, 0, disabled};
	struct replay *r = gb_calloc(1, sizeof(*r));
	struct pool_cell *cell;
	unsigned int i;
	char org[16];

	r->seed = seed;
	r->hot = hot;
	r->hot_quota = hot_quota;
	cell = pool_cell_begin(&setup);
	cell->priorities = true;
	for (i = 0; i < REPLAY_ORGS; i++) {
		snprintf(org, sizeof(org), "org%u", i);
		pool_cell_quota(cell, org, i == 0 ? hot_quota : 0, 0);
	}
	for (i = 0; i < REPLAY_USUAL_ROUNDS; i++)
		replay_round(r, cell, false);
	for (i = 0; i < REPLAY_OVERLOAD_ROUNDS; i++)
		replay_round(r, cell, true);
	for (i = 0; i < REPLAY_AFTER_ROUNDS; i++)
		replay_round(r, cell, false);
	pool_cell_run(cell, 60 * GB_SEC);
	replay_count(r, cell);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
	return r;
}

/** Refused submissions that are served without the forecast. */
static unsigned int
replay_wrongly_refused(const struct replay *with, const struct replay *without)
{
	unsigned int count = 0;
	unsigned int i;

	assert_int_equal(with->submitted, without->submitted);
	for (i = 0; i < with->submitted; i++)
		count += !with->accepted[i] && without->earned[i];
	return count;
}

/** Compares an overload with and without the forecast.  Returns how many fewer
 * flows were accepted and earned nothing. */
static int
replay_compare(uint64_t seed, double hot, int64_t hot_quota)
{
	struct replay *with = replay_run(seed, hot, hot_quota, 0);
	struct replay *without = replay_run(
	    seed, hot, hot_quota, UINT32_C(1) << GB_FEATURE_FORECAST);
	unsigned int wrong = replay_wrongly_refused(with, without);
	int fewer = (int)without->nothing - (int)with->nothing;

	print_message("load %.0f, quota %d: of %u, accepted and worth nothing: "
		      "%u with the forecast, %u without; refused: %u, %u, of "
		      "these wrongly: %u; in time: %u, %u\n",
	    hot, (int)hot_quota, with->submitted, with->nothing,
	    without->nothing, with->refused, without->refused, wrong,
	    with->full, without->full);
	assert_int_equal(wrong, 0);
	free(with);
	free(without);
	return fewer;
}

/** Fewer flows are accepted that earn nothing, and none is refused that would
 * have been served. */
static void
test_overload(void **state)
{
	int fewer = replay_compare(104, 7, 0);

	(void)state;
	fewer += replay_compare(124, 6, 150000);
	assert_true(fewer > 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_nothing_waits),
	    cmocka_unit_test(test_more_urgent_work_goes_first),
	    cmocka_unit_test(test_equal_and_less_urgent_work),
	    cmocka_unit_test(test_work_that_loses_its_earnings_is_dropped),
	    cmocka_unit_test(test_late_submission_waits_for_later_work),
	    cmocka_unit_test(test_gang_needs_processors_at_once),
	    cmocka_unit_test(test_arriving_work),
	    cmocka_unit_test(test_retry_after),
	    cmocka_unit_test(test_quota_is_used_up),
	    cmocka_unit_test(test_new_owner_refuses_nothing),
	    cmocka_unit_test(test_draining_workers),
	    cmocka_unit_test(test_free_processors),
	    cmocka_unit_test(test_overload),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
