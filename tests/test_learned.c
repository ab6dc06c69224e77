/**
 * @file test_learned.c
 * Guards against a new owner that starts without what its predecessor has
 * learned, so that tasks run late on slow workers until it has learned that
 * again, and against stored state that does harm: it is wrong or out of date,
 * it takes up the link, or callers wait for it.
 */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "pool/learned.h"
#include "pool/state.h"
#include "pool_cell.h"

/** Largest difference between the logarithms of the slowness of a worker that
 * two owners know: more than the 5% of which changes are written. */
#define LOG_DIFFERENCE 0.15
/** Time in which an owner under load learns of its workers and stores it. */
#define LEARN_TIME (15 * GB_SEC)
/** Bytes per second that the rows may take. */
#define RATE_MAX 1250

static const struct pool_cell_setup small = {
    41, 40, {4000, 64000, 0, 0, 0}, 0, 0, 0, 0, 0, 0};

/** Submits 40 lookups a second. */
static void
run_lookups(struct pool_cell *cell, gb_time duration)
{
	gb_time at;

	for (at = 0; at < duration; at += 25 * GB_MSEC) {
		pool_cell_submit_lookup(cell);
		pool_cell_run(cell, 25 * GB_MSEC);
	}
}

/** Creates a cell whose owner, node 0, has learned of its workers. */
static struct pool_cell *
cell_learned(const struct pool_cell_setup *setup)
{
	struct pool_cell *cell = pool_cell_begin(setup);

	run_lookups(cell, LEARN_TIME);
	return cell;
}

static const struct gb_pool_stats *
stats(const struct pool_cell *cell)
{
	return gb_pool_stats(cell->nodes[pool_cell_owner(cell)]);
}

/** Slowness that an owner knows of each worker, by the worker's number; 1: it
 * knows nothing. */
static void
slowness_get(const struct pool_cell *cell, double *out)
{
	struct gb_pool *pool = cell->nodes[pool_cell_owner(cell)];
	struct gb_pool_entry entry;
	struct pool_worker *worker;
	unsigned int i;

	for (i = 0; i < cell->setup.workers; i++) {
		world_worker_entry(cell->world, i, &entry);
		worker = pool_worker_find(pool, entry.id);
		out[i] = worker == NULL ? 1.0 : worker->slowness;
	}
}

/** Number of workers that are known to differ from the mean in `before`, and in
 * `after` by about the same. */
static unsigned int
slowness_same(const double *before, const double *after, unsigned int count,
    unsigned int *learned)
{
	unsigned int same = 0;
	unsigned int i;

	*learned = 0;
	for (i = 0; i < count; i++) {
		if (before[i] == 1.0)
			continue;
		*learned += 1;
		same += after[i] != 1.0 &&
			fabs(log(after[i] / before[i])) < LOG_DIFFERENCE;
	}
	return same;
}

/** Asserts that the owner knows most of what another owner had learned. */
static void
assert_known(const struct pool_cell *cell, const double *before)
{
	double after[CELL_WORKERS_MAX] = {0};
	unsigned int learned;
	unsigned int same;

	slowness_get(cell, after);
	same = slowness_same(before, after, cell->setup.workers, &learned);
	print_message("known: %u of %u\n", same, learned);
	assert_true(learned > cell->setup.workers * 3 / 4);
	assert_true(same * 10 >= learned * 9);
}

/** Reads the row of a partition; returns its version, 0: there is none. */
static uint64_t
row_get(const struct pool_cell *cell, uint32_t partition, gb_learned *out)
{
	const struct gb_pool_read read = {partition, GB_POOL_OWNERS,
	    GB_POOL_LEARNED_KEY, GB_POOL_LEARNED_KEY "0", 1, 0};
	struct gb_pool_read_res res;
	uint64_t vers = 0;

	memset(out, 0, sizeof(*out));
	world_read(cell->world, &read, &res);
	if (res.row_count > 0) {
		vers = res.rows[0].vers;
		assert_int_equal(learned_record_decode(&res.rows[0].value, out),
		    GB_LEARNED_USABLE);
	}
	world_read_free(&res);
	return vers;
}

static void
row_put(struct pool_cell *cell, uint32_t partition, const gb_body *value)
{
	struct gb_pool_row put = {
	    GB_POOL_OWNERS, GB_POOL_LEARNED_KEY, 0, false, *value};
	const struct gb_pool_txn txn = {partition, NULL, 0, &put, 1};
	struct gb_pool_txn_res res;

	world_txn(cell->world, &txn, &res);
	world_txn_free(&res);
}

/** Replaces a row by one with another format, time and epoch. */
static void
row_change(struct pool_cell *cell, uint32_t partition, uint32_t format,
    gb_time age, uint64_t epochs)
{
	gb_learned record;
	gb_body body;

	assert_true(row_get(cell, partition, &record) != 0);
	record.format = format;
	record.wall_us = cell->now - age;
	record.epoch += epochs;
	assert_true(gb_xdr_encode((xdrproc_t)xdr_gb_learned, &record, &body));
	row_put(cell, partition, &body);
	free(body.gb_body_val);
	xdr_free((xdrproc_t)xdr_gb_learned, (char *)&record);
}

/** Versions of all rows. */
static void
row_versions(const struct pool_cell *cell, uint64_t *out)
{
	gb_learned record;
	uint32_t i;

	for (i = 0; i < GB_POOL_PARTITIONS; i++) {
		out[i] = row_get(cell, i, &record);
		xdr_free((xdrproc_t)xdr_gb_learned, (char *)&record);
	}
}

/** The owner is killed. */
static void
test_next_owner_knows_what_was_learned(void **state)
{
	struct pool_cell *cell = cell_learned(&small);
	double before[CELL_WORKERS_MAX] = {0};

	(void)state;
	slowness_get(cell, before);
	pool_cell_replace_owner(cell, 1);
	pool_cell_run(cell, 600 * GB_MSEC);
	assert_int_equal(pool_cell_owner(cell), 1);
	assert_known(cell, before);
	assert_int_equal(stats(cell)->learned_rows_read, GB_POOL_PARTITIONS);
	pool_cell_run(cell, 5 * GB_SEC);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

/** The owner is killed while nothing runs, so that the next one can't have
 * learned anything of the queue itself. */
static void
test_next_owner_knows_the_queues(void **state)
{
	struct pool_cell *cell = cell_learned(&small);
	const struct pool_queue_stat *stat;
	double before;
	double cores;

	(void)state;
	pool_cell_run(cell, 5 * GB_SEC);
	stat = pool_rank_queue_stat(cell->nodes[0], "lookup");
	before = stat->run_us;
	cores = stat->cores;
	assert_true(before > 0);
	pool_cell_replace_owner(cell, 1);
	pool_cell_run(cell, GB_SEC);
	stat = pool_rank_queue_stat(cell->nodes[1], "lookup");
	assert_true(stat->run_us > 0);
	assert_true(fabs(log(stat->run_us / before)) < LOG_DIFFERENCE);
	assert_true(fabs(log(stat->cores / cores)) < LOG_DIFFERENCE);
	pool_cell_free(cell);
}

/** An organisation has used up its share when the owner is killed. */
static void
test_next_owner_knows_the_shares(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&small);
	struct pool_org *org;

	(void)state;
	pool_cell_quota(cell, "hot", 0, 0);
	snprintf(cell->org, sizeof(cell->org), "hot");
	run_lookups(cell, LEARN_TIME);
	pool_cell_replace_owner(cell, 1);
	pool_cell_run(cell, 500 * GB_MSEC);
	org = pool_org_get(cell->nodes[1], "hot");
	assert_true(org->share_at > 0);
	assert_true(org->share_left < 1);
	pool_cell_free(cell);
}

/** An owner that has learned something itself reads a row: neither replaces the
 * other. */
static void
test_own_knowledge_is_merged(void **state)
{
	struct pool_cell *cell = cell_learned(&small);
	struct pool_worker *worker;
	double before[CELL_WORKERS_MAX] = {0};
	unsigned int merged = 0;
	uint32_t i;

	(void)state;
	slowness_get(cell, before);
	pool_cell_replace_owner(cell, 1);
	while (pool_cell_owner(cell) != 1)
		pool_cell_run(cell, 5 * GB_MSEC);
	for (i = 0; i < cell->nodes[1]->worker_count; i++)
		cell->nodes[1]->workers[i]->slowness = 3.0;
	pool_cell_run(cell, 300 * GB_MSEC);
	for (i = 0; i < cell->setup.workers; i++) {
		struct gb_pool_entry entry;

		world_worker_entry(cell->world, i, &entry);
		worker = pool_worker_find(cell->nodes[1], entry.id);
		merged += before[i] != 1.0 && worker->slowness < 2.9 &&
			  worker->slowness > before[i] + 0.1;
	}
	assert_true(merged > cell->setup.workers / 2);
	pool_cell_free(cell);
}

/** All nodes are killed, and for some seconds there is none. */
static void
test_learned_state_outlasts_all_nodes(void **state)
{
	struct pool_cell *cell = cell_learned(&small);
	double before[CELL_WORKERS_MAX] = {0};
	unsigned int i;

	(void)state;
	slowness_get(cell, before);
	for (i = 0; i < CELL_NODES; i++)
		pool_cell_kill(cell, i);
	pool_cell_run(cell, 8 * GB_SEC);
	assert_int_equal(pool_cell_owner(cell), CELL_NODES);
	pool_cell_take_over(cell, 2);
	pool_cell_run(cell, GB_SEC);
	assert_known(cell, before);
	pool_cell_free(cell);
}

/** Two owners die one after the other, the second before its workers have
 * answered. */
static void
test_learned_state_outlasts_owners_in_series(void **state)
{
	struct pool_cell *cell = cell_learned(&small);
	double before[CELL_WORKERS_MAX] = {0};

	(void)state;
	slowness_get(cell, before);
	cell->faults.heartbeat_lost = 100;
	pool_cell_replace_owner(cell, 1);
	pool_cell_run(cell, 2 * GB_SEC);
	assert_int_equal(pool_cell_owner(cell), 1);
	assert_int_equal(stats(cell)->learned_workers, 0);
	cell->faults.heartbeat_lost = 0;
	pool_cell_replace_owner(cell, 2);
	pool_cell_run(cell, GB_SEC);
	assert_int_equal(pool_cell_owner(cell), 2);
	assert_known(cell, before);
	pool_cell_free(cell);
}

/** The store is slow during the takeover, so that the rows come after the
 * workers have answered. */
static void
test_rows_may_come_after_the_workers(void **state)
{
	struct pool_cell *cell = cell_learned(&small);
	double before[CELL_WORKERS_MAX] = {0};

	(void)state;
	slowness_get(cell, before);
	cell->faults.store_delay = 150 * GB_MSEC;
	pool_cell_replace_owner(cell, 1);
	pool_cell_run(cell, 2 * GB_SEC);
	assert_int_equal(pool_cell_owner(cell), 1);
	assert_known(cell, before);
	pool_cell_free(cell);
}

/** The store refuses all calls for a while: nothing is sent, and what was
 * learned meanwhile is stored later. */
static void
test_nothing_is_written_without_a_store(void **state)
{
	struct pool_cell *cell = cell_learned(&small);
	double before[CELL_WORKERS_MAX] = {0};
	uint64_t rows;

	(void)state;
	cell->faults.store_down = true;
	run_lookups(cell, GB_SEC);
	rows = stats(cell)->learned_rows;
	run_lookups(cell, 5 * GB_SEC);
	assert_int_equal(stats(cell)->learned_rows, rows);
	cell->faults.store_down = false;
	run_lookups(cell, LEARN_TIME);
	assert_true(stats(cell)->learned_rows > rows);
	slowness_get(cell, before);
	pool_cell_replace_owner(cell, 1);
	pool_cell_run(cell, GB_SEC);
	assert_known(cell, before);
	pool_cell_free(cell);
}

/** Time that callers wait in all for the answers to lookups in 5 s, while the
 * store takes ten times as long. */
static gb_time
wait_at_slow_store(uint32_t disabled, uint64_t *rows)
{
	struct pool_cell_setup setup = small;
	struct pool_cell *cell;
	gb_time waited = 0;
	size_t first;
	size_t i;
	int tick;

	setup.disabled_features = disabled;
	cell = cell_learned(&setup);
	cell->faults.store_delay = 50 * GB_MSEC;
	run_lookups(cell, 2 * GB_SEC);
	first = cell->flow_count;
	*rows = stats(cell)->learned_rows;
	for (tick = 0; tick < 1000; tick++) {
		if (tick % 5 == 0)
			pool_cell_submit_lookup(cell);
		pool_cell_run(cell, 5 * GB_MSEC);
		for (i = first; i < cell->flow_count; i++)
			waited += cell->flows[i].answered ? 0 : 5 * GB_MSEC;
	}
	*rows = stats(cell)->learned_rows - *rows;
	pool_cell_free(cell);
	return waited;
}

/** The store is slow while rows are due: nothing is sent, and no caller waits
 * longer than without the rows. */
static void
test_callers_do_not_wait_for_rows(void **state)
{
	uint64_t rows;
	uint64_t none;
	gb_time with = wait_at_slow_store(0, &rows);
	gb_time without =
	    wait_at_slow_store(UINT32_C(1) << GB_FEATURE_LEARNED_STATE, &none);

	(void)state;
	print_message("waited: %lld ms with rows, %lld ms without\n",
	    (long long)(with / GB_MSEC), (long long)(without / GB_MSEC));
	assert_int_equal(rows, 0);
	assert_int_equal(none, 0);
	assert_true(with <= without + without / 50);
}

/** A partition is unavailable: the rest is used, and its row once it is
 * available again. */
static void
test_other_partitions_are_used(void **state)
{
	struct pool_cell *cell = cell_learned(&small);
	unsigned int i;

	(void)state;
	cell->faults.partitions_down = 1U << 2;
	run_lookups(cell, 2 * GB_SEC);
	pool_cell_replace_owner(cell, 1);
	pool_cell_run(cell, 4 * GB_SEC);
	assert_int_equal(pool_cell_owner(cell), 1);
	assert_int_equal(
	    stats(cell)->learned_rows_read, GB_POOL_PARTITIONS - 1);
	cell->faults.partitions_down = 0;
	pool_cell_run(cell, 4 * GB_SEC);
	assert_int_equal(stats(cell)->learned_rows_read, GB_POOL_PARTITIONS);
	for (i = GB_LEARNED_MISSING; i < GB_LEARNED_ERRORS; i++)
		assert_int_equal(stats(cell)->learned_ignored[i], 0);
	pool_cell_free(cell);
}

/** Rows can't be used, each for another reason: they are counted, ignored, and
 * overwritten. */
static void
test_unusable_rows_are_ignored(void **state)
{
	static char garbage[] = {0, 0, 0, GB_LEARNED_FORMAT, 1, 2, 3};
	const gb_body unreadable = {sizeof(garbage), garbage};
	struct pool_cell *cell = cell_learned(&small);
	unsigned int i;
	gb_learned record;

	(void)state;
	pool_cell_kill(cell, 0);
	pool_cell_run(cell, 3 * GB_SEC);
	row_put(cell, 0, &unreadable);
	row_change(cell, 1, GB_LEARNED_FORMAT + 1, 0, 0);
	row_change(cell, 2, GB_LEARNED_FORMAT, 61 * GB_SEC, 0);
	row_change(cell, 3, GB_LEARNED_FORMAT, -10 * GB_SEC, 0);
	row_change(cell, 4, GB_LEARNED_FORMAT, GB_SEC, 1000);
	pool_cell_take_over(cell, 1);
	pool_cell_run(cell, 4 * GB_SEC);
	assert_int_equal(stats(cell)->learned_rows_read, 0);
	assert_int_equal(stats(cell)->learned_workers, 0);
	assert_int_equal(
	    stats(cell)->learned_ignored[GB_LEARNED_UNREADABLE], 1);
	assert_int_equal(
	    stats(cell)->learned_ignored[GB_LEARNED_OTHER_FORMAT], 1);
	assert_int_equal(stats(cell)->learned_ignored[GB_LEARNED_TOO_OLD], 1);
	assert_int_equal(
	    stats(cell)->learned_ignored[GB_LEARNED_FROM_FUTURE], 2);
	run_lookups(cell, LEARN_TIME);
	for (i = 0; i < GB_POOL_PARTITIONS; i++) {
		assert_true(row_get(cell, i, &record) != 0);
		assert_int_equal(record.epoch, gb_pool_epoch(cell->nodes[1]));
		xdr_free((xdrproc_t)xdr_gb_learned, (char *)&record);
	}
	pool_cell_free(cell);
}

/** Times and epochs at the limits of what is used, and beyond the range of
 * their types. */
static void
test_ages_are_bounded(void **state)
{
	const gb_time wall = 1000 * GB_SEC;
	gb_learned record = {0};
	gb_time age = -1;

	(void)state;
	record.epoch = 7;
	record.wall_us = wall - 60 * GB_SEC;
	assert_int_equal(
	    learned_record_age(&record, wall, 7, &age), GB_LEARNED_USABLE);
	assert_int_equal(age, 60 * GB_SEC);
	record.wall_us--;
	assert_int_equal(
	    learned_record_age(&record, wall, 7, &age), GB_LEARNED_TOO_OLD);
	record.wall_us = wall + 6 * GB_SEC;
	assert_int_equal(
	    learned_record_age(&record, wall, 7, &age), GB_LEARNED_USABLE);
	assert_int_equal(age, 0);
	record.wall_us++;
	assert_int_equal(
	    learned_record_age(&record, wall, 7, &age), GB_LEARNED_FROM_FUTURE);
	record.wall_us = INT64_MAX;
	assert_int_equal(
	    learned_record_age(&record, wall, 7, &age), GB_LEARNED_FROM_FUTURE);
	record.wall_us = INT64_MIN;
	assert_int_equal(
	    learned_record_age(&record, wall, 7, &age), GB_LEARNED_TOO_OLD);
	record.wall_us = wall;
	assert_int_equal(
	    learned_record_age(&record, wall, 6, &age), GB_LEARNED_FROM_FUTURE);
}

/** Whether a row is to be sent with the next write of its partition. */
static bool
row_due(const struct pool_cell *cell)
{
	uint32_t i;

	for (i = 0; i < GB_POOL_PARTITIONS; i++) {
		if (pool_learned_due(cell->nodes[pool_cell_owner(cell)], i))
			return true;
	}
	return false;
}

/** Runs until the owner sends a row that reaches the store 2 s later. */
static void
run_until_row_is_late(struct pool_cell *cell)
{
	uint64_t rows = stats(cell)->learned_rows;
	bool sent_late = false;
	int tick;

	for (tick = 0; tick < 4000 && !sent_late; tick++) {
		if (tick % 5 == 0)
			pool_cell_submit_lookup(cell);
		cell->faults.txn_late = row_due(cell) ? 100 : 0;
		pool_cell_run(cell, 5 * GB_MSEC);
		sent_late = cell->faults.txn_late > 0 &&
			    stats(cell)->learned_rows > rows;
		rows = stats(cell)->learned_rows;
	}
	cell->faults.txn_late = 0;
	assert_true(sent_late);
}

/** A row of a former owner reaches the store after another node has taken
 * over. */
static void
test_former_owner_writes_nothing(void **state)
{
	struct pool_cell *cell = cell_learned(&small);
	uint64_t before[GB_POOL_PARTITIONS];
	gb_learned record;
	uint64_t epoch;
	uint64_t vers;
	uint32_t i;
	int round;

	(void)state;
	run_until_row_is_late(cell);
	pool_cell_take_over(cell, 1);
	pool_cell_run(cell, 500 * GB_MSEC);
	assert_int_equal(pool_cell_owner(cell), 1);
	epoch = gb_pool_epoch(cell->nodes[1]);
	row_versions(cell, before);
	for (round = 0; round < 100; round++) {
		run_lookups(cell, 50 * GB_MSEC);
		for (i = 0; i < GB_POOL_PARTITIONS; i++) {
			vers = row_get(cell, i, &record);
			assert_true(vers == before[i] || record.epoch == epoch);
			xdr_free((xdrproc_t)xdr_gb_learned, (char *)&record);
		}
	}
	pool_cell_free(cell);
}

/** Workers have restarted under their ids since they were learned of. */
static void
test_restarted_workers_start_anew(void **state)
{
	struct pool_cell *cell = cell_learned(&small);
	double before[CELL_WORKERS_MAX] = {0};
	double after[CELL_WORKERS_MAX] = {0};
	unsigned int i;

	(void)state;
	slowness_get(cell, before);
	pool_cell_kill(cell, 0);
	for (i = 0; i < 8; i++)
		world_worker_restart(cell->world, i);
	pool_cell_run(cell, GB_SEC);
	pool_cell_take_over(cell, 1);
	pool_cell_run(cell, 400 * GB_MSEC);
	slowness_get(cell, after);
	for (i = 0; i < 8; i++)
		assert_true(after[i] == 1.0);
	assert_true(stats(cell)->learned_workers > cell->setup.workers / 2);
	for (; i < cell->setup.workers; i++)
		assert_true(before[i] == 1.0 || after[i] != 1.0);
	pool_cell_free(cell);
}

/** Owns the pool for some time with a program that doesn't know the rows. */
static void
run_older_owner(struct pool_cell *cell, gb_time duration)
{
	uint64_t before[GB_POOL_PARTITIONS];
	uint64_t after[GB_POOL_PARTITIONS];

	cell->setup.disabled_features = UINT32_C(1) << GB_FEATURE_LEARNED_STATE;
	pool_cell_kill(cell, 1);
	row_versions(cell, before);
	pool_cell_replace_owner(cell, 1);
	pool_cell_run(cell, duration);
	assert_int_equal(pool_cell_owner(cell), 1);
	assert_int_equal(stats(cell)->learned_rows_read, 0);
	row_versions(cell, after);
	assert_memory_equal(before, after, sizeof(before));
	cell->setup.disabled_features = 0;
	pool_cell_kill(cell, 2);
	pool_cell_replace_owner(cell, 2);
	pool_cell_run(cell, GB_SEC);
	assert_int_equal(pool_cell_owner(cell), 2);
}

/** A program without this feature owns the pool in between: its rows are kept,
 * and used while they are not too old. */
static void
test_older_program_owns_in_between(void **state)
{
	struct pool_cell *cell = cell_learned(&small);
	double before[CELL_WORKERS_MAX] = {0};

	(void)state;
	slowness_get(cell, before);
	run_older_owner(cell, 10 * GB_SEC);
	assert_known(cell, before);
	run_lookups(cell, LEARN_TIME);
	run_older_owner(cell, 61 * GB_SEC);
	assert_int_equal(stats(cell)->learned_workers, 0);
	assert_int_equal(stats(cell)->learned_ignored[GB_LEARNED_TOO_OLD],
	    GB_POOL_PARTITIONS);
	pool_cell_free(cell);
}

/* Volume ------------------------------------------------------------------ */

/** A core that owns the pool and has many workers, without a platform. */
struct large_pool {
	struct gb_pool *pool;
	uint64_t seed;
	uint64_t bandwidth;
	gb_time written_at[GB_POOL_PARTITIONS];
	gb_time interval_max; /**< between two writes of a row */
	uint32_t workers_stored[GB_POOL_PARTITIONS];
};

static void
large_link(void *data, struct gb_pool_link *out)
{
	const struct large_pool *large = data;

	out->bytes_per_s = large->bandwidth;
}

static void
large_read(void *data, uint64_t call, const struct gb_pool_read *read)
{
	(void)data;
	(void)call;
	(void)read;
}

static void
large_begin(struct large_pool *large, uint32_t workers)
{
	struct gb_pool_settings settings = {0};
	struct gb_pool_ops ops = {0};
	struct gb_pool_entry entry = {0};
	struct pool_worker *worker;
	uint32_t i;

	settings.name = "large";
	settings.addr = "10.9.0.1:70";
	ops.read = large_read;
	ops.link = large_link;
	ops.data = large;
	large->pool = gb_pool_new(&settings, &ops, 100 * GB_SEC);
	large->pool->phase = POOL_OWNER_ACTIVE;
	for (i = 0; i < workers; i++) {
		snprintf(entry.id, sizeof(entry.id), "worker-%u", i);
		worker = pool_worker_new(large->pool, &entry);
		worker->fenced = true;
		worker->incarnation = 1000 + i;
	}
	for (i = 0; i < GB_POOL_PARTITIONS; i++) {
		large->pool->partitions[i].attach = POOL_ATTACH_DONE;
		large->pool->partitions[i].attached_at = large->pool->now;
		large->written_at[i] = 0;
	}
	pool_learned_tick(large->pool);
	for (i = 0; i < GB_POOL_PARTITIONS; i++)
		large->pool->learned->partitions[i].read = LEARNED_READ_DONE;
}

/** Changes the slowness of all workers by more than is noticed. */
static void
large_change(struct large_pool *large)
{
	uint32_t i;

	for (i = 0; i < large->pool->worker_count; i++)
		large->pool->workers[i]->slowness = exp(
		    (double)(gb_random_next(&large->seed) % 1000) / 1000 - 0.5);
}

/** Writes the row of a partition if it is due, as with a renewal. */
static void
large_renew(struct large_pool *large, uint32_t number)
{
	struct gb_pool *pool = large->pool;
	gb_body body = {0};

	if (!pool_learned_body(pool, number, 400 * 1024, &body))
		return;
	pool_learned_written(pool, number, true);
	free(body.gb_body_val);
	if (large->written_at[number] != 0 &&
	    pool->now - large->written_at[number] > large->interval_max)
		large->interval_max = pool->now - large->written_at[number];
	large->written_at[number] = pool->now;
	large->workers_stored[number] =
	    pool->learned->partitions[number].stored.workers.workers_len;
}

/** Runs the core for two minutes with renewals each 0.5 s; asserts that the
 * rows stay within their bandwidth in all, and that each is renewed before it
 * is too old.  Returns how many workers the rows have at the end. */
static uint32_t
large_run(uint32_t workers, uint64_t bandwidth, uint64_t rate)
{
	struct large_pool large = {.seed = 5, .bandwidth = bandwidth};
	gb_time duration = 120 * GB_SEC;
	uint32_t stored = 0;
	gb_time at;
	uint32_t i;

	large_begin(&large, workers);
	for (at = 0; at < duration; at += 50 * GB_MSEC) {
		large.pool->now += 50 * GB_MSEC;
		large.pool->wall = large.pool->now;
		if (at % GB_SEC == 0)
			large_change(&large);
		pool_learned_tick(large.pool);
		for (i = 0; i < GB_POOL_PARTITIONS; i++) {
			if (at % (500 * GB_MSEC) == 0)
				large_renew(&large, i);
		}
	}
	for (i = 0; i < GB_POOL_PARTITIONS; i++)
		stored += large.workers_stored[i];
	print_message("%u workers: %llu bytes in %llu rows, %u workers stored, "
		      "at most %lld ms between two writes of a row\n",
	    workers, (unsigned long long)large.pool->stats.learned_bytes,
	    (unsigned long long)large.pool->stats.learned_rows, stored,
	    (long long)(large.interval_max / GB_MSEC));
	assert_true(large.pool->stats.learned_rows > 0);
	assert_true(large.pool->stats.learned_bytes <=
		    rate * (uint64_t)(duration / GB_SEC));
	assert_true(large.interval_max < LEARNED_AGE_MAX * 2 / 3);
	gb_pool_unref(large.pool);
	return stored;
}

/** All workers change all the time. */
static void
test_volume_is_bounded(void **state)
{
	(void)state;
	assert_int_equal(large_run(350, 0, RATE_MAX), 350);
	assert_int_equal(large_run(350, 12500000, RATE_MAX), 350);
	assert_true(large_run(6000, 1250000, RATE_MAX) > 1500);
	assert_true(large_run(350, 250000, 250) > 300);
}

/** The link is too slow to spare anything. */
static void
test_thin_link_has_no_rows(void **state)
{
	struct large_pool large = {.seed = 5, .bandwidth = 900};
	uint32_t i;

	(void)state;
	large_begin(&large, 20);
	large_change(&large);
	for (i = 0; i < 400; i++) {
		large.pool->now += 50 * GB_MSEC;
		pool_learned_tick(large.pool);
		large_renew(&large, i % GB_POOL_PARTITIONS);
	}
	assert_int_equal(large.pool->stats.learned_rows, 0);
	gb_pool_unref(large.pool);
}

/** The store doesn't return the rows of the previous owner: they are not
 * overwritten before they are given up. */
static void
test_rows_are_not_overwritten_unread(void **state)
{
	struct large_pool large = {.seed = 5};
	gb_time at;
	uint32_t i;

	(void)state;
	large_begin(&large, 20);
	large_change(&large);
	for (i = 0; i < GB_POOL_PARTITIONS; i++)
		large.pool->learned->partitions[i].read = LEARNED_READ_PENDING;
	for (at = 0; at < 20 * GB_SEC; at += 50 * GB_MSEC) {
		large.pool->now += 50 * GB_MSEC;
		for (i = 0; i < GB_POOL_PARTITIONS; i++) {
			/* The last request was refused. */
			if (large.pool->learned->partitions[i].read ==
			    LEARNED_READ_SENT)
				large.pool->learned->partitions[i].read =
				    LEARNED_READ_PENDING;
		}
		pool_learned_tick(large.pool);
		for (i = 0; i < GB_POOL_PARTITIONS; i++)
			large_renew(&large, i);
		if (at < 10 * GB_SEC)
			assert_int_equal(large.pool->stats.learned_rows, 0);
	}
	assert_int_equal(
	    large.pool->stats.learned_ignored[GB_LEARNED_NO_ANSWER],
	    GB_POOL_PARTITIONS);
	assert_true(large.pool->stats.learned_rows >= GB_POOL_PARTITIONS);
	gb_pool_unref(large.pool);
}

/** Nothing changes: rows are written only to keep them from being too old. */
static void
test_unchanged_rows_are_seldom_written(void **state)
{
	struct large_pool large = {.seed = 5};
	uint32_t i;
	uint32_t p;

	(void)state;
	large_begin(&large, 350);
	large_change(&large);
	for (i = 0; i < 2400; i++) {
		large.pool->now += 50 * GB_MSEC;
		pool_learned_tick(large.pool);
		for (p = 0; p < GB_POOL_PARTITIONS; p++)
			large_renew(&large, p);
	}
	print_message("%llu rows in 120 s\n",
	    (unsigned long long)large.pool->stats.learned_rows);
	assert_true(large.pool->stats.learned_rows >= 4 * GB_POOL_PARTITIONS);
	assert_true(large.pool->stats.learned_rows <= 7 * GB_POOL_PARTITIONS);
	gb_pool_unref(large.pool);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_next_owner_knows_what_was_learned),
	    cmocka_unit_test(test_next_owner_knows_the_queues),
	    cmocka_unit_test(test_next_owner_knows_the_shares),
	    cmocka_unit_test(test_own_knowledge_is_merged),
	    cmocka_unit_test(test_learned_state_outlasts_all_nodes),
	    cmocka_unit_test(test_learned_state_outlasts_owners_in_series),
	    cmocka_unit_test(test_rows_may_come_after_the_workers),
	    cmocka_unit_test(test_nothing_is_written_without_a_store),
	    cmocka_unit_test(test_callers_do_not_wait_for_rows),
	    cmocka_unit_test(test_other_partitions_are_used),
	    cmocka_unit_test(test_unusable_rows_are_ignored),
	    cmocka_unit_test(test_ages_are_bounded),
	    cmocka_unit_test(test_former_owner_writes_nothing),
	    cmocka_unit_test(test_restarted_workers_start_anew),
	    cmocka_unit_test(test_older_program_owns_in_between),
	    cmocka_unit_test(test_volume_is_bounded),
	    cmocka_unit_test(test_thin_link_has_no_rows),
	    cmocka_unit_test(test_rows_are_not_overwritten_unread),
	    cmocka_unit_test(test_unchanged_rows_are_seldom_written),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
