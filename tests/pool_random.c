/**
 * @file pool_random.c
 * Runs pool cores against the model of the platform, with random load and
 * several random faults at a time.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "pool_random.h"

/** For even seeds; the number of workers is changed. */
static const struct pool_cell_setup plain = {
    1, 48, {16000, 64000, 0, 0, 0}, 0, 0, 0, 0, 0, 0};
/** For odd seeds, with an advice service; the number of workers and the share
 * of approved ones are changed. */
static const struct pool_cell_setup advised = {
    2, 48, {16000, 64000, 0, 0, 0}, 30, 100 * GB_MSEC, 1500 * GB_MSEC, 0, 0, 0};

/** Submits a random flow; one in 29 crashes its workers. */
static void
random_submit(struct pool_cell *cell)
{
	uint64_t n = gb_random_next(&cell->seed);
	char spec[64];
	uint32_t flags = 0;

	snprintf(spec, sizeof(spec), "ms=%u fails=%u",
	    (unsigned int)(200 + n % 2000), n % 11 == 0 ? 1U : 0U);
	if (n % 29 == 0)
		snprintf(spec, sizeof(spec), "ms=900 crash=0 back=%u",
		    (unsigned int)(300 + n / 64 % 6000));
	if (n % 3 == 0)
		flags |= GB_STEP_GANG;
	if (n % 5 == 0)
		flags |= GB_STEP_CHECKPOINT;
	pool_cell_step_add(cell, (uint32_t)(1 + n % 7), (int)(500 + n % 4000),
	    GB_SEC, flags, -1);
	if (n % 4 == 0)
		pool_cell_step_add(cell, 2, 1000, GB_SEC, 0, 0);
	pool_cell_submit(cell, n % 3 == 0 ? "rebuild" : "lookup", spec);
}

/** Starts a worker again: under its own id if the cell has `restarts` set, in
 * which case the time of day may jump and heartbeats may arrive late, otherwise
 * under a new id. `n` is random. */
static void
worker_start_again(struct pool_cell *cell, unsigned int worker, uint64_t n)
{
	if (!cell->restarts) {
		world_worker_replace(cell->world, worker);
		return;
	}
	if (n / 512 % 3 == 0)
		world_clock_step(
		    cell->world, ((gb_time)(n / 2048 % 9) - 4) * GB_SEC);
	cell->faults.heartbeat_late = (unsigned int)(n / 65536 % 4) * 4;
	world_worker_restart(cell->world, worker);
}

/** Changes one fault, makes a node take over, or cancels a flow. */
static void
random_fault(struct pool_cell *cell)
{
	uint64_t n = gb_random_next(&cell->seed);
	unsigned int worker =
	    (unsigned int)(n / 64 % world_worker_count(cell->world));

	switch (n % 13) {
	case 0:
		cell->faults.order_lost = n % 7 * 5;
		break;
	case 1:
		cell->faults.order_late = n % 5 * 3;
		break;
	case 2:
		cell->faults.txn_lost = n % 7 * 5;
		break;
	case 3:
		cell->faults.txn_late = n % 5 * 5;
		break;
	case 4:
		cell->faults.store_down = !cell->faults.store_down;
		break;
	case 5:
		pool_cell_take_over(cell, (unsigned int)(n / 64 % CELL_NODES));
		break;
	case 6:
		pool_cell_replace_owner(
		    cell, (unsigned int)(n / 64 % CELL_NODES));
		break;
	case 7:
		world_worker_crash(cell->world, worker);
		break;
	case 8:
		worker_start_again(cell, worker, n);
		break;
	case 9:
		world_worker_impair(
		    cell->world, worker, n % 5 == 0, n % 7 == 0);
		break;
	case 10:
		cell->faults.heartbeat_lost = n % 5 * 5;
		break;
	case 11:
		cell->faults.partitions_down =
		    (uint32_t)(n / 64 % (1U << GB_POOL_PARTITIONS));
		cell->faults.set_reads_fail =
		    (uint32_t)(n / 4096 % (1U << GB_POOL_PARTITIONS));
		break;
	default:
		if (cell->flow_count > 0)
			pool_cell_cancel(cell, n / 64 % cell->flow_count);
		break;
	}
}

/** Ends all faults, starts all workers again and lets a node own the pool. */
static void
random_recover(struct pool_cell *cell)
{
	unsigned int i;

	memset(&cell->faults, 0, sizeof(cell->faults));
	for (i = 0; i < world_worker_count(cell->world); i++) {
		world_worker_impair(cell->world, i, false, false);
		if (cell->restarts && i % 4 != 0)
			world_worker_restart(cell->world, i);
		else
			world_worker_replace(cell->world, i);
	}
	for (i = 0; i < 10; i++) {
		pool_cell_run(cell, GB_SEC);
		if (pool_cell_owner(cell) == CELL_NODES)
			pool_cell_take_over(cell, i % CELL_NODES);
	}
}

/** Asserts that every accepted flow has finished, and that it has failed only
 * if a task used up its attempts or crashed two workers. */
static void
assert_all_finished(struct pool_cell *cell)
{
	struct world_flow_view view;
	size_t i;

	assert_true(pool_cell_owner(cell) < CELL_NODES);
	for (i = 0; i < cell->flow_count; i++) {
		gb_flow_status status = pool_cell_state(cell, i);

		assert_true(world_flow_view(
		    cell->world, cell->flows[i].spec.id, &view));
		if (status == GB_FLOW_FAILED)
			assert_true(view.failed || view.crashed);
		if (status == GB_FLOW_UNKNOWN)
			assert_false(cell->flows[i].accepted);
		else if (status < GB_FLOW_SUCCEEDED)
			fail_msg(
			    "flow %zu has not finished: %d", i, (int)status);
	}
}

void
pool_random_run(uint64_t seed, bool restarts)
{
	struct pool_cell_setup setup = seed % 2 == 0 ? plain : advised;
	struct pool_cell *cell;
	int i;

	setup.seed = seed;
	setup.workers = 12;
	setup.approved_percent = seed % 2 == 0 ? 0 : 70;
	print_message("seed %llu\n", (unsigned long long)seed);
	cell = pool_cell_begin(&setup);
	cell->restarts = restarts;
	for (i = 0; i < 60; i++) {
		random_submit(cell);
		if (i % 2 == 0)
			random_fault(cell);
		pool_cell_run(cell, 150 * GB_MSEC);
		if (pool_cell_owner(cell) == CELL_NODES && i % 6 == 0)
			pool_cell_take_over(
			    cell, (unsigned int)(seed % CELL_NODES));
	}
	random_recover(cell);
	pool_cell_run(cell, 60 * GB_SEC);
	if (world_violations(cell->world)->text[0] != '\0')
		print_message("seed %llu: %s\n", (unsigned long long)seed,
		    world_violations(cell->world)->text);
	pool_cell_assert_no_violation(cell);
	assert_all_finished(cell);
	pool_cell_free(cell);
}

void
pool_random_runs(bool restarts)
{
	const char *from = getenv("GB_POOL_SEED");
	const char *runs = getenv("GB_POOL_RUNS");
	uint64_t seed = from == NULL ? 1 : strtoull(from, NULL, 10);
	uint64_t last = seed + (runs == NULL ? 24 : strtoull(runs, NULL, 10));

	for (; seed < last; seed++)
		pool_random_run(seed, restarts);
}
