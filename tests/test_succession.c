/**
 * @file test_succession.c
 * Guards against many nodes that claim a vacant pool at once, and against a
 * pool that stays vacant for long.  Either comes about when nodes that learn of
 * the vacancy at the same time wait too briefly, or too long, for their turn.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "node/succession.h"

#define NODES_MAX 100

/** Outcome of a simulated vacancy. */
struct vacancy {
	unsigned int claims; /**< begun before the first one was visible */
	gb_time duration;    /**< until the first claim was visible */
};

/** Simulates a vacancy.  All nodes learn of it within 0.2 s.  A claim is
 * visible to others after three times the duration of a read, and no node
 * begins one after that.
 * @param ranked nodes that have a rank in the order of succession
 * @param dead number of first successors that were lost with the owner
 * @param store_read_time duration of a read
 */
static struct vacancy
vacancy_simulate(unsigned int nodes, unsigned int ranked, unsigned int dead,
    gb_time store_read_time, uint64_t seed)
{
	gb_time begin[NODES_MAX];
	gb_time visible = INT64_MAX;
	struct vacancy v = {0, 0};
	unsigned int i;

	for (i = dead; i < nodes; i++) {
		struct succession place = {
		    i < ranked ? i : SUCCESSION_UNRANKED, ranked, nodes - 1};

		begin[i] = (gb_time)(gb_random_next(&seed) % (200 * GB_MSEC)) +
			   succession_delay(&place, store_read_time, &seed);
		if (begin[i] + 3 * store_read_time < visible)
			visible = begin[i] + 3 * store_read_time;
	}
	for (i = dead; i < nodes; i++)
		v.claims += begin[i] < visible;
	v.duration = visible;
	return v;
}

/** Checks, with and without dead successors, that few nodes claim the pool and
 * that the first claim is visible soon. */
static void
assert_bounded(unsigned int nodes, gb_time store_read_time)
{
	uint64_t seed;

	for (seed = 1; seed <= 50; seed++) {
		unsigned int ranked = nodes < SUCCESSION_RANKED_MAX
					  ? nodes
					  : SUCCESSION_RANKED_MAX;
		struct vacancy all =
		    vacancy_simulate(nodes, ranked, 0, store_read_time, seed);
		struct vacancy some =
		    vacancy_simulate(nodes, ranked, 4, store_read_time, seed);

		assert_true(all.claims <= 8);
		assert_true(some.claims <= 8);
		assert_true(
		    all.duration <= 200 * GB_MSEC + 4 * store_read_time);
		assert_true(
		    some.duration <= 400 * GB_MSEC + 16 * store_read_time);
	}
}

/** The number of claims does not grow with the number of nodes, whether the
 * store is as quick as usual or 10, 35 or 100 times slower. */
static void
test_claims_do_not_grow_with_the_nodes(void **state)
{
	(void)state;
	assert_bounded(8, 4 * GB_MSEC);
	assert_bounded(35, 4 * GB_MSEC);
	assert_bounded(100, 4 * GB_MSEC);
	assert_bounded(35, 40 * GB_MSEC);
	assert_bounded(35, 140 * GB_MSEC);
	assert_bounded(100, 400 * GB_MSEC);
}

/** Nodes have no ranks, for example after all of them were lost, but know how
 * many they are. Few of them begin a claim before the first one is visible. */
static void
test_unranked_nodes_spread_by_their_number(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= 50; seed++) {
		struct vacancy v =
		    vacancy_simulate(35, 0, 0, 140 * GB_MSEC, seed);

		assert_true(v.claims <= 8);
		assert_true(v.duration <= 3 * GB_SEC);
	}
}

/** Larger nodes are first, and of equal ones the one that started last; nodes
 * that stop, are silent, lack the newest configuration or have just started are
 * left out. */
static void
test_order_is_by_size_then_start(void **state)
{
	struct succession_member m[] = {
	    {"10.0.0.1:70", 250, 9 * GB_SEC, 0, false, true},
	    {"10.0.0.2:70", 500, 9 * GB_SEC, 0, false, true},
	    {"10.0.0.3:70", 500, 2 * GB_SEC, 0, false, true},
	    {"10.0.0.4:70", 500, 9 * GB_SEC, 0, true, true},
	    {"10.0.0.5:70", 500, 9 * GB_SEC, 2 * GB_SEC, false, true},
	    {"10.0.0.6:70", 500, 9 * GB_SEC, 0, false, false},
	    {"10.0.0.7:70", 500, 10 * GB_MSEC, 0, false, true},
	};

	(void)state;
	assert_int_equal(succession_order(m, 7), 3);
	assert_string_equal(m[0].addr, "10.0.0.3:70");
	assert_string_equal(m[1].addr, "10.0.0.2:70");
	assert_string_equal(m[2].addr, "10.0.0.1:70");
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_claims_do_not_grow_with_the_nodes),
	    cmocka_unit_test(test_unranked_nodes_spread_by_their_number),
	    cmocka_unit_test(test_order_is_by_size_then_start),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
