/**
 * @file test_speed.c
 * Guards against speeds of workers that are learned too slowly or wrongly: then
 * lookups are placed on slow workers and are late, and gangs last as long as
 * the one member on a slow worker.
 */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "pool/state.h"
#include "pool_cell.h"

/** Deviation of one observation from the estimator's point of view. */
#define DEVIATION 0.2
/** Times of tasks of a step differ by so much. */
#define VARIATION 0.15
/** Interval of the runs of a worker. */
#define RUN_INTERVAL (500 * GB_MSEC)
/** A single task may take this many times as long as others. */
#define LONG_TASK 7.0
/** A temporary slowdown, and the time after which it no longer counts. */
#define SLOWDOWN 2.5
#define SLOWDOWN_FORGOTTEN (6 * GB_SEC)

struct worker {
	struct speed speed;
	gb_time now;
	uint64_t seed;
};

static void
worker_init(struct worker *worker, uint64_t seed)
{
	speed_init(&worker->speed);
	worker->now = 100 * GB_SEC;
	worker->seed = seed;
}

/** A run of a worker with this slowness. */
static void
worker_run(struct worker *worker, double slowness)
{
	double random =
	    (double)(gb_random_next(&worker->seed) % 2001) / 1000 - 1;

	worker->now += RUN_INTERVAL;
	speed_observe(&worker->speed, worker->now,
	    slowness * (1 + VARIATION * random), DEVIATION);
}

static void
worker_run_times(struct worker *worker, double slowness, unsigned int runs)
{
	while (runs-- > 0)
		worker_run(worker, slowness);
}

static void
assert_slowness(const struct worker *worker, double expected, double tolerance)
{
	double actual = speed_slowness(&worker->speed, worker->now);

	if (fabs(log(actual / expected)) > log(1 + tolerance))
		fail_msg("slowness %.3f in place of %.3f", actual, expected);
}

/** The lookups of the first seconds of an owner are late if the speeds are not
 * known after a few runs. */
static void
test_few_runs_suffice(void **state)
{
	static const double slownesses[] = {0.6, 1.0, 1.6};
	struct worker worker;
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= 30; seed++) {
		worker_init(&worker, seed);
		worker_run_times(&worker, slownesses[seed % 3], 4);
		assert_slowness(&worker, slownesses[seed % 3], 0.2);
		worker_run_times(&worker, slownesses[seed % 3], 16);
		assert_slowness(&worker, slownesses[seed % 3], 0.1);
		assert_true(speed_deviation(&worker.speed, worker.now) < 0.06);
	}
}

/** 3 in 100 tasks take seven times as long: one must not make its worker a slow
 * one. */
static void
test_long_task_is_ignored(void **state)
{
	struct worker worker;
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= 30; seed++) {
		worker_init(&worker, seed);
		worker_run(&worker, LONG_TASK);
		assert_slowness(&worker, 1.0, 0.3);
		worker_run_times(&worker, 1.0, 4);
		assert_slowness(&worker, 1.0, 0.2);
		worker_run_times(&worker, 1.0, 10);
		worker_run(&worker, LONG_TASK);
		assert_slowness(&worker, 1.0, 0.1);
	}
}

/** A worker that is slow for a second or two counts as slow meanwhile, and as
 * before some seconds later. */
static void
test_slowdown_passes(void **state)
{
	struct worker worker;
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= 30; seed++) {
		worker_init(&worker, seed);
		worker_run_times(&worker, 1.0, 20);
		worker_run_times(&worker, SLOWDOWN, 4);
		assert_slowness(&worker, SLOWDOWN, 0.2);
		worker.now += SLOWDOWN_FORGOTTEN;
		assert_slowness(&worker, 1.0, 0.1);
	}
}

/** A worker that stays slow is learned anew. */
static void
test_lasting_change_is_learned(void **state)
{
	struct worker worker;

	(void)state;
	worker_init(&worker, 1);
	worker_run_times(&worker, 1.0, 20);
	worker_run_times(&worker, SLOWDOWN, 30);
	worker.now += SLOWDOWN_FORGOTTEN;
	assert_slowness(&worker, SLOWDOWN, 0.15);
}

/* Load -------------------------------------------------------------------- */

#define WORKERS 36
/** Rounds of submissions and their interval. A gang and its share of imports
 * need 35% to 40% of the processors each, lookups 10%. */
#define ROUNDS 200
#define ROUND_INTERVAL (100 * GB_MSEC)
#define IMPORT_ROUNDS 6
#define GANG_ROUNDS 24
/** In each of so many rounds are flows with tasks that take seven times as
 * long, 3 in 100 of all. Whether these flows are late is not counted. */
#define LONG_ROUNDS 10
/** Time of the tasks, and the objectives that follow from the configuration of
 * the cell. */
#define LOOKUP_WORK (680 * GB_MSEC)
#define LOOKUP_OBJECTIVE (250 * GB_MSEC + LOOKUP_WORK * 3 / 2)
#define IMPORT_WORK (2900 * GB_MSEC)
#define IMPORT_OBJECTIVE (3 * GB_SEC + IMPORT_WORK * 4)
#define GANG_WORK (5300 * GB_MSEC)
#define GANG_OBJECTIVE (GB_SEC + GANG_WORK * 22 / 10)
/** Seeds whose results are added up. */
#define LOAD_SEEDS 3

/** Flows that were late in the two halves of the load; an owner begins each of
 * them without knowing the speeds. */
struct late {
	unsigned int lookups[2];
	unsigned int imports;
	unsigned int gangs;
};

static struct pool_cell *
cell_of_uneven_workers(uint64_t seed, uint32_t disabled_features)
{
	static const double speeds[] = {0.6, 1.0, 1.6};
	const struct pool_cell_setup setup = {seed, WORKERS,
	    {16000, 64000, 0, 0, 0}, 0, 0, 0, 0, 0, disabled_features};
	struct pool_cell *cell = pool_cell_begin(&setup);
	unsigned int i;

	for (i = 0; i < WORKERS; i++)
		world_worker_set_speed(cell->world, i, speeds[i % 3]);
	world_gangs_wait_for_slowest(cell->world);
	cell->priorities = true;
	pool_cell_configure(cell);
	return cell;
}

/** Declared time of a task: off by up to so many percent. */
static gb_time
declared(struct pool_cell *cell, gb_time work, unsigned int percent)
{
	unsigned int off =
	    (unsigned int)(gb_random_next(&cell->seed) % (2 * percent + 1));

	return work * (100 - percent + off) / 100;
}

static void
submit_round(struct pool_cell *cell, unsigned int round)
{
	uint32_t gang = round % 10 < 3 ? GB_STEP_GANG : 0;

	pool_cell_step_add(
	    cell, 3, 2500, declared(cell, LOOKUP_WORK, 50), gang, -1);
	pool_cell_submit(cell, "lookup",
	    round % LONG_ROUNDS == 0 ? "ms=680 vary=15 long=30"
				     : "ms=680 vary=15");
	if (round % IMPORT_ROUNDS == 0) {
		pool_cell_step_add(cell, 25, 1700,
		    declared(cell, IMPORT_WORK, 20), GB_STEP_CHECKPOINT, -1);
		pool_cell_submit(cell, "import",
		    round % LONG_ROUNDS == 0 ? "ms=2900 vary=15 long=6"
					     : "ms=2900 vary=15");
	}
	if (round % GANG_ROUNDS == 0) {
		pool_cell_step_add(cell, 20, 4500,
		    declared(cell, GANG_WORK, 90), GB_STEP_GANG, -1);
		pool_cell_submit(cell, "rebuild", "ms=5300 vary=15");
	}
	pool_cell_run(cell, ROUND_INTERVAL);
}

/** Number of flows of a queue, from the given one on, that are not done within
 * their objective. */
static unsigned int
count_late(const struct pool_cell *cell, const char *queue, size_t from,
    size_t to, gb_time objective)
{
	unsigned int count = 0;
	size_t i;

	for (i = from; i < to; i++) {
		const struct pool_cell_flow *flow = &cell->flows[i];

		count += strcmp(flow->spec.queue, queue) == 0 &&
			 strstr(flow->spec.spec, "long=") == NULL &&
			 (flow->status != GB_FLOW_SUCCEEDED ||
			     flow->finished_at - flow->submitted > objective);
	}
	return count;
}

/** Plays the load, replaces the owner half-way, and adds up what is late. */
static void
play_load(uint64_t seed, uint32_t disabled_features, struct late *late)
{
	struct pool_cell *cell =
	    cell_of_uneven_workers(seed, disabled_features);
	unsigned int round;
	size_t half;

	for (round = 0; round < ROUNDS; round++)
		submit_round(cell, round);
	half = cell->flow_count;
	pool_cell_replace_owner(cell, 1);
	pool_cell_run(cell, GB_SEC);
	for (round = 0; round < ROUNDS; round++)
		submit_round(cell, round);
	pool_cell_run(cell, 60 * GB_SEC);
	late->lookups[0] +=
	    count_late(cell, "lookup", 0, half, LOOKUP_OBJECTIVE);
	late->lookups[1] += count_late(
	    cell, "lookup", half, cell->flow_count, LOOKUP_OBJECTIVE);
	late->imports +=
	    count_late(cell, "import", 0, cell->flow_count, IMPORT_OBJECTIVE);
	late->gangs +=
	    count_late(cell, "rebuild", 0, cell->flow_count, GANG_OBJECTIVE);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

static struct late
play_loads(const char *name, uint32_t disabled_features)
{
	struct late late = {0};
	uint64_t seed;

	for (seed = 1; seed <= LOAD_SEEDS; seed++)
		play_load(seed, disabled_features, &late);
	print_message("%s: late lookups %u, after a takeover %u; imports %u, "
		      "gangs %u\n",
	    name, late.lookups[0], late.lookups[1], late.imports, late.gangs);
	return late;
}

/** Lookups of 0.68 s have 0.59 s to spare, which a worker of speed 0.6 uses
 * up. */
static void
test_lookups_avoid_slow_workers(void **state)
{
	struct late with = play_loads("with speeds", 0);
	struct late without =
	    play_loads("without", UINT32_C(1) << GB_FEATURE_FAST_WORKERS);

	(void)state;
	assert_true(with.lookups[0] < without.lookups[0] / 3);
	assert_true(with.lookups[1] < without.lookups[1] / 3);
	assert_true(with.gangs <= without.gangs);
}

/** A process that is started under the id of an earlier one may be on another
 * machine: nothing is known of its speed. */
static void
test_new_incarnation_is_unknown(void **state)
{
	struct pool_cell *cell = cell_of_uneven_workers(1, 0);
	const struct pool_worker *worker;
	struct gb_pool_entry entry;
	unsigned int round;

	(void)state;
	for (round = 0; round < 60; round++)
		submit_round(cell, round);
	world_worker_entry(cell->world, 0, &entry);
	worker = pool_worker_find(cell->nodes[0], entry.id);
	assert_true(speed_slowness(&worker->speed, cell->now) > 1.3);
	pool_cell_run(cell, 40 * GB_SEC);
	world_worker_restart(cell->world, 0);
	pool_cell_run(cell, 5 * GB_SEC);
	assert_true(fabs(speed_slowness(&worker->speed, cell->now) - 1) < 1e-9);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_few_runs_suffice),
	    cmocka_unit_test(test_long_task_is_ignored),
	    cmocka_unit_test(test_slowdown_passes),
	    cmocka_unit_test(test_lasting_change_is_learned),
	    cmocka_unit_test(test_new_incarnation_is_unknown),
	    cmocka_unit_test(test_lookups_avoid_slow_workers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
