/**
 * @file test_cells.c
 * Guards against a scheduler that loses, repeats or wrongly refuses work after
 * a single event: a cut link, an unavailable table service, processes that end
 * or pause, a drain, changes at the same time.  Each test causes one such event
 * in a simulated cell (cells.h).
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "cells.h"
#include "fuzz_cells.h"

/** Cell that has its documents. */
static struct cells *
cells_setup(uint64_t seed)
{
	struct cells *c = cells_new(seed);

	fuzz_cells_documents(c);
	assert_string_equal(c->violation, "");
	return c;
}

/** First worker that runs a task, or WORKERS. */
static uint32_t
worker_busy(const struct cells *c)
{
	gb_task_id id;
	uint32_t i;

	for (i = 0; i < WORKERS; i++) {
		if (worker_model_running(c->workers[i].model, &id, 1) > 0)
			return i;
	}
	return WORKERS;
}

static void
cells_teardown(struct cells *c)
{
	assert_string_equal(c->violation, "");
	cells_finish(c);
	assert_string_equal(c->violation, "");
	cells_free(c);
}

/** A task whose worker restarts whenever it runs fails after its attempts are
 * used up: the document allows five. */
static void
test_task_fails_after_worker_restarts(void **state)
{
	struct cells *c = cells_setup(3);
	unsigned int restarts = 0;
	unsigned int idle = 0;
	uint32_t w;

	(void)state;
	fuzz_cells_document(c, "long",
	    "\"kind\": \"batch\", \"resources\": {\"cpu_milli\": 1500}, "
	    "\"policy\": {\"run_ms\": 4000, \"idempotent\": true}");
	cells_submit(c, 0, 4, 1);
	while (idle < 200 && restarts < 20) {
		cells_run(c, 50 * GB_MSEC);
		w = worker_busy(c);
		if (w == WORKERS) {
			idle++;
			continue;
		}
		idle = 0;
		restarts++;
		cells_worker_restart(c, w);
	}
	print_message("restarts: %u\n", restarts);
	assert_in_range(restarts, 1, 5);
	cells_teardown(c);
}

/** A task on a worker that no core reaches is started elsewhere only after the
 * worker's lease has expired. */
static void
test_cut_worker_keeps_its_task(void **state)
{
	struct cells *c = cells_setup(1);
	uint32_t w;
	uint32_t i;

	(void)state;
	cells_apply(c, 0);
	cells_run(c, GB_SEC);
	w = worker_busy(c);
	assert_int_not_equal(w, WORKERS);
	for (i = 0; i < CORES; i++)
		cells_cut(c, i, CORES + w, true);
	cells_run(c, GB_SEC);
	assert_true(worker_busy(c) == w);
	assert_string_equal(c->violation, "");
	cells_run(c, 5 * GB_SEC);
	assert_true(worker_busy(c) != w);
	assert_true(worker_busy(c) != WORKERS);
	cells_teardown(c);
}

/** Requests without an answer keep their capacity on the worker, because they
 * may still run there. */
static void
test_unanswered_requests_keep_capacity(void **state)
{
	struct cells *c = cells_setup(2);
	unsigned int n;
	uint32_t i;

	(void)state;
	c->service_time = 3 * GB_SEC;
	for (n = 0; n < 4; n++) {
		for (i = 0; i < 30; i++)
			cells_request(c, i % CORES, i % 2);
		cells_run(c, 30 * GB_MSEC);
		for (i = 0; i < WORKERS; i++) {
			cells_cut(c, CORES + i, 0, n % 2 == 0);
			cells_cut(c, CORES + i, 1, n % 2 == 0);
			cells_cut(c, CORES + i, 2, n % 2 == 0);
		}
		cells_run(c, 250 * GB_MSEC);
	}
	assert_string_equal(c->violation, "");
	c->service_time = 0;
	cells_teardown(c);
}

/** While the table service is unavailable, lookups are served and changes are
 * refused. */
static void
test_outage_serves_lookups(void **state)
{
	struct cells *c = cells_setup(3);
	unsigned int first = c->tracked_count;
	unsigned int i;

	(void)state;
	c->store_down = true;
	cells_run(c, 5 * GB_SEC);
	for (i = 0; i < 20; i++) {
		cells_request(c, i % CORES, 0);
		cells_run(c, 50 * GB_MSEC);
	}
	cells_run(c, 500 * GB_MSEC);
	for (i = first; i < c->tracked_count; i++) {
		assert_true(c->tracked[i].answered);
		assert_int_equal(c->tracked[i].answer.verdict, GB_RUN);
	}
	/* One member of three ends as well: the others still serve. */
	cells_kill(c, 2);
	cells_run(c, 2 * GB_SEC);
	first = c->tracked_count;
	for (i = 0; i < 20; i++) {
		cells_request(c, cells_owner(c, 0) % CORES, 0);
		cells_run(c, 50 * GB_MSEC);
	}
	cells_run(c, 500 * GB_MSEC);
	for (i = first; i < c->tracked_count; i++) {
		if (cells_owner(c, c->tracked[i].id % 2) != GB_NONE)
			assert_int_equal(c->tracked[i].answer.verdict, GB_RUN);
	}
	/* A change is refused at once, with the verdict that it was not run. */
	first = c->tracked_count;
	cells_apply(c, 0);
	cells_submit(c, 0, 0, 1);
	cells_run(c, 100 * GB_MSEC);
	for (i = first; i < c->tracked_count; i++) {
		assert_true(c->tracked[i].answered);
		assert_int_equal(c->tracked[i].answer.verdict, GB_NOT_RUN);
		assert_true(c->tracked[i].answer.retry_after_ms > 0);
	}
	cells_teardown(c);
}

/** Of operators who submit the same next version at once, one succeeds. */
static void
test_operators_race(void **state)
{
	struct cells *c = cells_setup(4);
	unsigned int won = 0;
	unsigned int i;

	(void)state;
	for (i = 0; i < CORES; i++)
		cells_apply(c, i);
	cells_run(c, 4 * GB_SEC);
	for (i = 0; i < CORES; i++) {
		const struct tracked *t = &c->tracked[i];

		assert_true(t->answered);
		won += t->answer.verdict == GB_RUN;
		if (t->answer.verdict != GB_RUN)
			assert_int_equal(t->answer.status, 412);
	}
	assert_int_equal(won, 1);
	cells_teardown(c);
}

/** A repeated renewal with the same key gets the recorded answer and doesn't
 * run a second time. */
static void
test_keyed_repeat(void **state)
{
	struct cells *c = cells_setup(5);
	const struct tracked *t = &c->tracked[0];

	(void)state;
	cells_request(c, 0, 2);
	cells_run(c, 500 * GB_MSEC);
	assert_int_equal(t->answer.verdict, GB_RUN);
	assert_int_equal(t->execs, 1);
	cells_repeat(c, 1, 0);
	cells_run(c, 500 * GB_MSEC);
	assert_true(t->answered);
	assert_int_equal(t->answer.verdict, GB_RUN);
	assert_int_equal(t->execs, 1);
	cells_teardown(c);
}

/** All processes are killed and start again as new incarnations: the shards
 * get owners, and no accepted work is lost. */
static void
test_all_restart(void **state)
{
	struct cells *c = cells_setup(6);
	uint32_t i;

	(void)state;
	cells_apply(c, 0);
	for (i = 0; i < 6; i++)
		cells_submit(c, 0, i % 2, 3);
	cells_run(c, 300 * GB_MSEC);
	for (i = 0; i < CORES; i++)
		cells_kill(c, i);
	cells_run(c, 200 * GB_MSEC);
	for (i = 0; i < CORES; i++)
		cells_start(c, i);
	cells_run(c, 3 * GB_SEC);
	assert_true(cells_owned(c, 0));
	assert_true(cells_owned(c, 1));
	cells_teardown(c);
}

/** Drained workers get no new task. */
static void
test_drain(void **state)
{
	struct cells *c = cells_setup(7);
	gb_task_id ids[8];
	uint32_t i;

	(void)state;
	for (i = 0; i < WORKERS; i++) {
		if (i != 1)
			cells_drain(c, 0, i, true);
	}
	cells_run(c, 2 * GB_SEC);
	cells_apply(c, 0);
	for (i = 0; i < 6; i++)
		cells_submit(c, 0, 0, 1);
	cells_run(c, 500 * GB_MSEC);
	for (i = 0; i < WORKERS; i++) {
		if (i != 1)
			assert_int_equal(
			    worker_model_running(c->workers[i].model, ids, 8),
			    0);
	}
	cells_teardown(c);
}

/** Tasks that may not run in the data centre of their own shard run in another
 * shard, and each of them once, although every process is killed meanwhile. */
static void
test_lent_tasks(void **state)
{
	struct cells *c = cells_setup(8);
	unsigned int first = c->tracked_count;
	unsigned int i;

	(void)state;
	for (i = 0; i < 8; i++)
		cells_submit(c, 0, 3, 2);
	cells_run(c, 100 * GB_MSEC);
	for (i = 0; i < CORES; i++) {
		cells_kill(c, i);
		cells_run(c, 700 * GB_MSEC);
		cells_start(c, i);
		cells_run(c, 2 * GB_SEC);
	}
	cells_run(c, 10 * GB_SEC);
	assert_true(c->lent_job_count > 0);
	for (i = first; i < c->tracked_count; i++) {
		if (c->tracked[i].answer.verdict == GB_RUN)
			assert_int_equal(c->tracked[i].starts, 2);
	}
	for (i = 0; i < 3; i++)
		assert_int_equal(
		    worker_model_running(c->workers[i].model, NULL, 0), 0);
	cells_teardown(c);
}

/** Old changes of documents are removed once a snapshot has them: processes
 * that start read the snapshot, and a late write of a change with a removed
 * number has no effect. */
static void
test_config_snapshot(void **state)
{
	struct cells *c = cells_setup(9);
	unsigned int late;
	uint32_t i;

	(void)state;
	c->cores[1].delay = 12 * GB_SEC;
	late = c->tracked_count;
	cells_apply(c, 1);
	for (i = 0; i < 70; i++) {
		cells_apply(c, i % 2 * 2);
		cells_run(c, 150 * GB_MSEC);
	}
	c->cores[1].delay = 0;
	cells_run(c, 8 * GB_SEC);
	assert_int_not_equal(c->tracked[late].answer.verdict, GB_RUN);
	assert_true(c->in_force > 60);
	for (i = 0; i < CORES; i++)
		cells_kill(c, i);
	for (i = 0; i < CORES; i++)
		cells_start(c, i);
	cells_run(c, 3 * GB_SEC);
	for (i = 0; i < CORES; i++)
		assert_true(gb_core_doc_vers(c->cores[i].core, c->now,
				"byggepas", "doc") >= c->in_force);
	cells_teardown(c);
}

/** A core that takes over a shard which it had lost starts without the usage of
 * a team's quota that it had counted before; otherwise new jobs never start. */
static void
test_quota_after_loss(void **state)
{
	struct cells *c = cells_setup(10);
	unsigned int round;
	unsigned int first;
	unsigned int i;

	(void)state;
	fuzz_cells_document(
	    c, "quota", "\"kind\": \"team\", \"quota\": {\"cpu_milli\": 6000}");
	for (round = 0; round < 4; round++) {
		for (i = 0; i < 6; i++)
			cells_submit(c, 0, 0, 2);
		cells_run(c, 200 * GB_MSEC);
		for (i = 0; i < CORES; i++)
			cells_pause(c, i, i == round % CORES ? GB_SEC : 0);
		cells_run(c, 2 * GB_SEC);
	}
	cells_run(c, 10 * GB_SEC);
	first = c->tracked_count;
	for (i = 0; i < 4; i++)
		cells_submit(c, 0, 0, 1);
	cells_run(c, 3 * GB_SEC);
	for (i = first; i < c->tracked_count; i++)
		assert_true(c->tracked[i].starts > 0);
	cells_teardown(c);
}

/** Submit a job of a kind to shard 0, by a name that hashes to it. */
static struct tracked *
submit_to_shard_0(struct cells *c, unsigned int kind)
{
	unsigned int n;

	for (n = 0; n < 32; n++) {
		char next[24];

		snprintf(next, sizeof(next), "x%u", c->names + 1);
		if (gb_shard_of_job(2, "byggepas", next) == 0)
			break;
		c->names++;
	}
	cells_submit(c, 0, kind, 2);
	return &c->tracked[c->tracked_count - 1];
}

/** Drain the workers of a range, or end their drain. */
static void
workers_drain(struct cells *c, uint32_t from, uint32_t to, bool drain)
{
	for (; from < to; from++)
		cells_drain(c, 0, from, drain);
	cells_run(c, 2 * GB_SEC);
}

/** A shard reserves capacity for a gang that has waited long, but not after
 * another shard has taken the gang's tasks. */
static void
test_lent_gang_has_no_reservation(void **state)
{
	struct cells *c = cells_setup(11);
	struct tracked *gang;
	struct tracked *batch;

	(void)state;
	fuzz_cells_document(c, "long",
	    "\"kind\": \"batch\", \"policy\": {\"run_ms\": 5000, "
	    "\"idempotent\": true}");
	fuzz_cells_document(
	    c, "slow", "\"kind\": \"gang\", \"policy\": {\"run_ms\": 15000}");
	workers_drain(c, 0, WORKERS, true);
	gang = submit_to_shard_0(c, 5);
	cells_run(c, 3 * GB_SEC);
	assert_int_equal(gang->starts, 0);
	workers_drain(c, 3, WORKERS, false);
	cells_run(c, 3 * GB_SEC);
	assert_int_equal(gang->starts, 2);
	workers_drain(c, 0, 3, false);
	batch = submit_to_shard_0(c, 4);
	cells_run(c, 2 * GB_SEC);
	assert_int_equal(batch->starts, 2);
	cells_teardown(c);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_cut_worker_keeps_its_task),
	    cmocka_unit_test(test_task_fails_after_worker_restarts),
	    cmocka_unit_test(test_unanswered_requests_keep_capacity),
	    cmocka_unit_test(test_outage_serves_lookups),
	    cmocka_unit_test(test_operators_race),
	    cmocka_unit_test(test_keyed_repeat),
	    cmocka_unit_test(test_all_restart),
	    cmocka_unit_test(test_drain),
	    cmocka_unit_test(test_lent_tasks),
	    cmocka_unit_test(test_config_snapshot),
	    cmocka_unit_test(test_quota_after_loss),
	    cmocka_unit_test(test_lent_gang_has_no_reservation),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
