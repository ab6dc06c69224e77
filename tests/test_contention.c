/**
 * @file test_contention.c
 * Guards against members that take over too early or too late because takeovers
 * are counted wrongly or an owner does not renew its row. Contention is
 * repeated takeovers from owners that were still working: the owner keeps their
 * count in its row, and the higher it is, the longer members wait for a silent
 * owner.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "pool/state.h"
#include "pool_cell.h"

#define SELF_INCARNATION 7
#define OTHER_INCARNATION 9

/** Virtual time at which each test begins. */
static const gb_time now = 100 * GB_SEC;

static void
test_dead_owner_is_not_counted(void **state)
{
	const struct contention_row row = {0, OTHER_INCARNATION};
	struct contention c = {0};

	(void)state;
	contention_take_over(
	    &c, now, &row, SELF_INCARNATION, TAKEOVER_SILENT_OWNER);
	assert_int_equal(c.count, 0);
	assert_false(contention_process_alive(&c, now, OTHER_INCARNATION + 1));
	assert_int_equal(c.count, 0);
}

static void
test_owner_found_alive_counts_once(void **state)
{
	const struct contention_row row = {1, OTHER_INCARNATION};
	struct contention c = {0};

	(void)state;
	contention_take_over(
	    &c, now, &row, SELF_INCARNATION, TAKEOVER_SILENT_OWNER);
	assert_true(contention_process_alive(&c, now, OTHER_INCARNATION));
	assert_false(contention_process_alive(&c, now, OTHER_INCARNATION));
	assert_int_equal(c.count, 2);
}

static void
test_working_owner_counts_at_once(void **state)
{
	const struct contention_row row = {0, OTHER_INCARNATION};
	struct contention c = {0};

	(void)state;
	contention_take_over(
	    &c, now, &row, SELF_INCARNATION, TAKEOVER_WORKING_OWNER);
	assert_int_equal(c.count, 1);
	assert_false(contention_process_alive(&c, now, OTHER_INCARNATION));
}

/** A takeover by a deposed owner counts 1 s after it was deposed, but not 60 s
 * after. */
static void
test_deposed_owner_returning_counts(void **state)
{
	const struct contention_row row = {0, OTHER_INCARNATION};
	struct contention c = {0};

	(void)state;
	contention_owner_deposed(&c, now);
	contention_take_over(
	    &c, now + GB_SEC, &row, SELF_INCARNATION, TAKEOVER_SILENT_OWNER);
	assert_int_equal(c.count, 1);
	contention_owner_deposed(&c, now);
	contention_take_over(&c, now + 60 * GB_SEC, &row, SELF_INCARNATION,
	    TAKEOVER_SILENT_OWNER);
	assert_int_equal(c.count, 0);
}

static void
test_handover_is_not_counted(void **state)
{
	const struct contention_row row = {0, OTHER_INCARNATION};
	struct contention c = {0};

	(void)state;
	contention_take_over(
	    &c, now, &row, SELF_INCARNATION, TAKEOVER_REQUESTED);
	assert_false(contention_process_alive(&c, now, OTHER_INCARNATION));
	contention_owner_deposed(&c, now);
	contention_release(&c);
	contention_take_over(
	    &c, now + GB_SEC, &row, SELF_INCARNATION, TAKEOVER_SILENT_OWNER);
	assert_int_equal(c.count, 0);
}

static void
test_count_falls_without_takeovers(void **state)
{
	const struct contention_row row = {3, OTHER_INCARNATION};
	struct contention c = {0};
	gb_time at;

	(void)state;
	contention_take_over(
	    &c, now, &row, SELF_INCARNATION, TAKEOVER_SILENT_OWNER);
	for (at = now; at < now + 15 * GB_SEC; at += GB_SEC)
		contention_tick(&c, at);
	assert_int_equal(c.count, 3);
	for (; at < now + 65 * GB_SEC; at += GB_SEC)
		contention_tick(&c, at);
	assert_int_equal(c.count, 0);
}

/** Rows written by older versions of the program have no count; a newer one
 * reads them, as instances are upgraded one after another. */
static void
test_row_without_a_count_is_read(void **state)
{
	char name[] = "n1";
	char addr[] = "10.0.0.1:70";
	gb_owner_row old = {4, name, addr, OTHER_INCARNATION, 12};
	struct gb_owner_record record = {0};
	gb_body body = {0};

	(void)state;
	assert_true(gb_xdr_encode((xdrproc_t)xdr_gb_owner_row, &old, &body));
	assert_true(gb_owner_record_decode(&record, &body));
	assert_int_equal(record.row.epoch, 4);
	assert_int_equal(record.contested, 0);
	gb_owner_record_clear(&record);
	free(body.gb_body_val);
}

static void
test_count_is_encoded_and_decoded(void **state)
{
	char name[] = "n1";
	char addr[] = "10.0.0.1:70";
	const struct gb_owner_record record = {
	    {4, name, addr, OTHER_INCARNATION, 12}, 3};
	struct gb_owner_record read = {0};
	gb_owner_row old = {0};
	gb_body body = {0};

	(void)state;
	assert_true(gb_owner_record_encode(&record, &body));
	assert_true(gb_owner_record_decode(&read, &body));
	assert_int_equal(read.contested, 3);
	assert_string_equal(read.row.addr, addr);
	gb_owner_record_clear(&read);
	/* An older version, which knows no count, can decode the row as
	 * well. */
	assert_true(gb_xdr_decode((xdrproc_t)xdr_gb_owner_row, &body, &old));
	assert_int_equal(old.serial, 12);
	xdr_free((xdrproc_t)xdr_gb_owner_row, (char *)&old);
	free(body.gb_body_val);
}

/** An owner that writes all the time must still renew its row, or members
 * cannot tell it from one that has terminated. */
static void
test_busy_owner_renews_its_row(void **state)
{
	static const struct pool_cell_setup setup = {
	    .seed = 5, .workers = 8, .capacity = {16000, 64000, 0}};
	struct pool_cell *cell = pool_cell_begin(&setup);
	uint64_t serials[GB_POOL_PARTITIONS];
	unsigned int i;
	int round;

	(void)state;
	for (i = 0; i < GB_POOL_PARTITIONS; i++)
		serials[i] = cell->nodes[0]->partitions[i].serial;
	for (round = 0; round < 200; round++) {
		pool_cell_submit_lookup(cell);
		pool_cell_run(cell, 30 * GB_MSEC);
	}
	for (i = 0; i < GB_POOL_PARTITIONS_RENEWED; i++)
		assert_in_range(
		    cell->nodes[0]->partitions[i].serial - serials[i], 8, 24);
	pool_cell_free(cell);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_dead_owner_is_not_counted),
	    cmocka_unit_test(test_owner_found_alive_counts_once),
	    cmocka_unit_test(test_working_owner_counts_at_once),
	    cmocka_unit_test(test_deposed_owner_returning_counts),
	    cmocka_unit_test(test_handover_is_not_counted),
	    cmocka_unit_test(test_count_falls_without_takeovers),
	    cmocka_unit_test(test_row_without_a_count_is_read),
	    cmocka_unit_test(test_count_is_encoded_and_decoded),
	    cmocka_unit_test(test_busy_owner_renews_its_row),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
