/**
 * @file test_succession.c
 * Order of succession: who claims a vacant pool, and how many do at once.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "node/succession.h"

#define NODES_MOST 100

/** What becomes of a vacancy. */
struct vacancy {
	unsigned int claims; /**< begun before one of them could be seen */
	gb_time took;	     /**< until the first claim could be seen */
};

/** All nodes learn of the vacancy within 0.2 s; the first `dead` of the order
 * are gone with the owner.  A claim can be seen after three times the time of a
 * read, and nobody begins one after that. */
static struct vacancy
vacancy_play(unsigned int nodes, unsigned int ranked, unsigned int dead,
    gb_time store_took, uint64_t seed)
{
	gb_time begin[NODES_MOST];
	gb_time seen = INT64_MAX;
	struct vacancy v = {0, 0};
	unsigned int i;

	for (i = dead; i < nodes; i++) {
		struct succession place = {
		    i < ranked ? i : SUCCESSION_UNRANKED, ranked, nodes - 1};

		begin[i] = (gb_time)(gb_random_next(&seed) % (200 * GB_MSEC)) +
			   succession_delay(&place, store_took, &seed);
		if (begin[i] + 3 * store_took < seen)
			seen = begin[i] + 3 * store_took;
	}
	for (i = dead; i < nodes; i++)
		v.claims += begin[i] < seen;
	v.took = seen;
	return v;
}

static void
assert_bounded(unsigned int nodes, gb_time store_took)
{
	uint64_t seed;

	for (seed = 1; seed <= 50; seed++) {
		unsigned int ranked =
		    nodes < SUCCESSION_MOST ? nodes : SUCCESSION_MOST;
		struct vacancy all =
		    vacancy_play(nodes, ranked, 0, store_took, seed);
		struct vacancy some =
		    vacancy_play(nodes, ranked, 4, store_took, seed);

		assert_true(all.claims <= 8);
		assert_true(some.claims <= 8);
		assert_true(all.took <= 200 * GB_MSEC + 4 * store_took);
		assert_true(some.took <= 400 * GB_MSEC + 16 * store_took);
	}
}

/** Load: all nodes learn of a vacancy at nearly the same time, with a store
 * that is as quick as usual, and 10, 35 and 100 times slower.  The claims do
 * not grow with the number of nodes. */
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

/** Nodes that know no order, such as after all were lost, are few in a claim's
 * time when they know how many they are. */
static void
test_unranked_nodes_spread_by_their_number(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= 50; seed++) {
		struct vacancy v = vacancy_play(35, 0, 0, 140 * GB_MSEC, seed);

		assert_true(v.claims <= 8);
		assert_true(v.took <= 3 * GB_SEC);
	}
}

static void
test_order_is_by_size_then_youth(void **state)
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
	    cmocka_unit_test(test_order_is_by_size_then_youth),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
