/**
 * @file test_faults.c
 * Guards against a fault that violates a guarantee because it happens at one
 * point of the work, such as between a decision and its write.  The fault
 * matrix injects every fault at every point, each in a simulated cell of its
 * own (cells.h), ends it after some more work, and asks the oracle.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "cells.h"
#include "fuzz_cells.h"

/** Pause that is shorter than the silence after which the other cores may take
 * over. */
#define PAUSE_SHORT (300 * GB_MSEC)
/** Pause during which every lease expires. */
#define PAUSE_PAST_LEASE (6 * GB_SEC)
/** Time that a cell runs under the fault. */
#define FAULT_TIME (4 * GB_SEC)

static const char *const point_names[AT_POINT_COUNT] = {"", "submit", "commit",
    "place", "start", "run", "end", "answer", "drain", "takeover", "accept",
    "spread"};

/* Faults, injected at the core and the worker that reach the point */

static void
fault_kill(struct cells *c, uint32_t core, uint32_t worker)
{
	(void)worker;
	cells_kill(c, core);
}

static void
fault_pause(struct cells *c, uint32_t core, uint32_t worker)
{
	(void)worker;
	cells_pause(c, core, PAUSE_SHORT);
}

static void
fault_pause_past_lease(struct cells *c, uint32_t core, uint32_t worker)
{
	(void)worker;
	cells_pause(c, core, PAUSE_PAST_LEASE);
}

static void
fault_cut_out(struct cells *c, uint32_t core, uint32_t worker)
{
	uint32_t i;

	(void)worker;
	for (i = 0; i < NODES; i++)
		cells_cut(c, core, i, true);
}

static void
fault_cut_in(struct cells *c, uint32_t core, uint32_t worker)
{
	uint32_t i;

	(void)worker;
	for (i = 0; i < NODES; i++)
		cells_cut(c, i, core, true);
}

static void
fault_cut_both(struct cells *c, uint32_t core, uint32_t worker)
{
	fault_cut_out(c, core, worker);
	fault_cut_in(c, core, worker);
}

static void
fault_cut_store(struct cells *c, uint32_t core, uint32_t worker)
{
	(void)worker;
	cells_cut(c, core, STORE_NODE, true);
	cells_cut(c, STORE_NODE, core, true);
}

static void
fault_store_down(struct cells *c, uint32_t core, uint32_t worker)
{
	(void)core;
	(void)worker;
	c->store_down = true;
}

static void
fault_store_slow(struct cells *c, uint32_t core, uint32_t worker)
{
	(void)core;
	(void)worker;
	c->store_delay = 250 * GB_MSEC;
}

static void
fault_store_times_out(struct cells *c, uint32_t core, uint32_t worker)
{
	(void)core;
	(void)worker;
	c->store_delay = 2 * GB_SEC;
}

static void
fault_answer_lost(struct cells *c, uint32_t core, uint32_t worker)
{
	(void)core;
	(void)worker;
	c->store_lost_answers = 3;
}

static void
fault_worker_killed(struct cells *c, uint32_t core, uint32_t worker)
{
	(void)core;
	cells_worker_restart(c, worker);
}

static void
fault_worker_paused(struct cells *c, uint32_t core, uint32_t worker)
{
	(void)core;
	cells_pause_worker(c, worker, PAUSE_PAST_LEASE);
}

static void
fault_worker_fails(struct cells *c, uint32_t core, uint32_t worker)
{
	(void)core;
	worker_model_fail_all(c->workers[worker].model, true);
}

static void
fault_worker_leaves(struct cells *c, uint32_t core, uint32_t worker)
{
	(void)core;
	cells_worker_state(c, worker, GB_INSTANCE_LEAVING);
}

static void
fault_cancel_wave(struct cells *c, uint32_t core, uint32_t worker)
{
	unsigned int n;

	(void)core;
	(void)worker;
	for (n = 0; n < 12; n++)
		cells_cancel(c, n);
}

static void
fault_operators_race(struct cells *c, uint32_t core, uint32_t worker)
{
	uint32_t i;

	(void)core;
	(void)worker;
	for (i = 0; i < CORES; i++)
		cells_apply(c, i);
}

static void
fault_kill_store_down(struct cells *c, uint32_t core, uint32_t worker)
{
	fault_store_down(c, core, worker);
	fault_kill(c, core, worker);
}

static void
fault_pause_answer_lost(struct cells *c, uint32_t core, uint32_t worker)
{
	fault_answer_lost(c, core, worker);
	fault_pause_past_lease(c, core, worker);
}

static void
fault_kill_worker_paused(struct cells *c, uint32_t core, uint32_t worker)
{
	fault_worker_paused(c, core, worker);
	fault_kill(c, core, worker);
}

static void
fault_leave(struct cells *c, uint32_t core, uint32_t worker)
{
	(void)worker;
	cells_leave(c, core);
}

static const struct {
	const char *name;
	void (*inject)(struct cells *, uint32_t, uint32_t);
} faults[] = {
    {"kill", fault_kill},
    {"freeze", fault_pause},
    {"lease lapsed while paused", fault_pause_past_lease},
    {"cut outward", fault_cut_out},
    {"cut inward", fault_cut_in},
    {"cut both ways", fault_cut_both},
    {"cut from the service", fault_cut_store},
    {"service down", fault_store_down},
    {"service slow", fault_store_slow},
    {"service slower than its timeout", fault_store_times_out},
    {"answer lost after write", fault_answer_lost},
    {"worker killed", fault_worker_killed},
    {"worker frozen past its lease", fault_worker_paused},
    {"worker fails everything", fault_worker_fails},
    {"worker leaves", fault_worker_leaves},
    {"cancellation wave", fault_cancel_wave},
    {"operators racing", fault_operators_race},
    {"graceful stop", fault_leave},
    {"kill + service down", fault_kill_store_down},
    {"lapse + answer lost", fault_pause_answer_lost},
    {"kill + worker frozen", fault_kill_worker_paused},
};

#define FAULTS (sizeof(faults) / sizeof(faults[0]))

/** Submit jobs and requests of each kind, apply a document, and in every
 * second round drain a worker. */
static void
work_round(struct cells *c, unsigned int round)
{
	unsigned int kind;

	for (kind = 0; kind < 4; kind++) {
		cells_submit(c, round % CORES, kind, 2);
		cells_request(c, (round + kind) % CORES, kind % 3);
	}
	cells_run(c, 150 * GB_MSEC);
	cells_apply(c, (round + 1) % CORES);
	if (round % 2 == 1)
		cells_drain(c, round % CORES, round % WORKERS, true);
	cells_run(c, 250 * GB_MSEC);
	if (round % 2 == 1)
		cells_drain(c, round % CORES, round % WORKERS, false);
}

/** Run a cell with a fault at a point.  Returns 1 when no guarantee was
 * violated, 0 with the text of the violation, -1 when the point was never
 * reached. */
static int
matrix_cell_run(enum fault_point point, size_t fault, char *violation,
    size_t violation_size)
{
	struct cells *c = cells_new(7 + (uint64_t)point * 100 + fault);
	unsigned int round;
	int result;

	fuzz_cells_documents(c);
	c->fault_at = point;
	c->inject = faults[fault].inject;
	for (round = 0; round < 4; round++)
		work_round(c, round);
	/* If the point was not reached yet, a kill causes a takeover, which may
	 * reach it. */
	if (!c->injected) {
		cells_kill(c, cells_owner(c, 0) % CORES);
		cells_run(c, GB_SEC);
		work_round(c, round);
	}
	cells_run(c, FAULT_TIME);
	work_round(c, round + 1);
	cells_finish(c);
	snprintf(violation, violation_size, "%s", c->violation);
	result = c->violation[0] != '\0' ? 0 : c->injected ? 1 : -1;
	cells_free(c);
	return result;
}

/** Each fault at each point: prints a table of the results, "-" for a point
 * that was not reached, and fails if a guarantee was violated or a point not
 * reached.
 */
static void
test_fault_matrix(void **state)
{
	unsigned int held = 0;
	unsigned int failed = 0;
	unsigned int not_run = 0;
	size_t fault;
	int point;

	(void)state;
	printf("| fault |");
	for (point = AT_SUBMIT; point < AT_POINT_COUNT; point++)
		printf(" %s |", point_names[point]);
	printf("\n| --- |");
	for (point = AT_SUBMIT; point < AT_POINT_COUNT; point++)
		printf(" --- |");
	printf("\n");
	for (fault = 0; fault < FAULTS; fault++) {
		printf("| %s |", faults[fault].name);
		for (point = AT_SUBMIT; point < AT_POINT_COUNT; point++) {
			char violation[256];
			int result = matrix_cell_run((enum fault_point)point,
			    fault, violation, sizeof(violation));

			held += result > 0;
			failed += result == 0;
			not_run += result < 0;
			printf(" %s |", result > 0   ? "held"
					: result < 0 ? "-"
						     : violation);
		}
		printf("\n");
	}
	printf("faults: cells=%u held=%u failed=%u not-run=%u\n",
	    held + failed + not_run, held, failed, not_run);
	assert_int_equal(failed, 0);
	assert_int_equal(not_run, 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_fault_matrix),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
