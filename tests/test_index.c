/**
 * @file test_index.c
 * Guards against a placement index that misses a worker with enough free
 * capacity or returns one without, and against work on a worker that it should
 * avoid.  The index is compared with a search of every worker.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "gooseberry.h"

#define WORKERS 200
/** Changes of a worker, each followed by a search. */
#define ROUNDS 20000

/** Resources below the given bounds, with few accelerators and slots. */
static gb_res
random_res(uint64_t *seed, int cpu, int mem)
{
	gb_res res = {0};

	res.cpu = (int)(gb_random_next(seed) % (unsigned)cpu);
	res.mem = (int)(gb_random_next(seed) % (unsigned)mem);
	res.accel =
	    gb_random_next(seed) % 4 == 0 ? (int)(gb_random_next(seed) % 3) : 0;
	res.slots = (int)(gb_random_next(seed) % 4);
	res.conns = (int)(gb_random_next(seed) % 4);
	return res;
}

/** The index finds a worker that fits exactly when there is one. */
static void
test_index_finds_a_fit(void **state)
{
	static const gb_res capacity = {64000, 262144, 4, 8, 60};
	struct gb_index *index = gb_index_new();
	gb_res available[WORKERS];
	bool indexed[WORKERS] = {false};
	uint64_t seed = 42;
	unsigned int round;
	unsigned int i;

	(void)state;
	for (round = 0; round < ROUNDS; round++) {
		unsigned int w = (unsigned)gb_random_next(&seed) % WORKERS;
		gb_res need;
		uint32_t found;
		bool any_fits = false;

		if (gb_random_next(&seed) % 8 == 0) {
			gb_index_remove(index, w);
			indexed[w] = false;
		} else {
			available[w] = random_res(&seed, 64000, 262144);
			gb_index_set(index, w, &available[w], &capacity);
			indexed[w] = available[w].slots > 0;
		}
		need = random_res(&seed, 90000, 300000);
		need.slots = 1;
		found = gb_index_find(index, &need,
		    round % 2 ? &gb_scorer_pack : &gb_scorer_spread, NULL);
		for (i = 0; i < WORKERS; i++)
			any_fits =
			    any_fits ||
			    (indexed[i] && gb_res_fits(&need, &available[i]));
		assert_int_equal(found != GB_NONE, any_fits);
		if (found != GB_NONE) {
			assert_true(indexed[found]);
			assert_true(gb_res_fits(&need, &available[found]));
		}
	}
	gb_index_free(index);
}

/** A task that needs no accelerator is placed on a worker that has some only
 * when no other fits. */
static void
test_index_avoids_accelerators(void **state)
{
	static const gb_res plain = {8000, 8192, 0, 8, 60};
	static const gb_res accel = {8000, 8192, 4, 8, 60};
	static const gb_res need = {1000, 1024, 0, 1, 0};
	struct gb_index *index = gb_index_new();

	(void)state;
	gb_index_set(index, 0, &accel, &accel);
	assert_int_equal(gb_index_find(index, &need, &gb_scorer_pack, NULL), 0);
	gb_index_set(index, 1, &plain, &plain);
	assert_int_equal(gb_index_find(index, &need, &gb_scorer_pack, NULL), 1);
	gb_index_free(index);
}

/** The pack scorer chooses the fullest worker that fits, the spread scorer the
 * emptiest. */
static void
test_index_scorers(void **state)
{
	static const gb_res capacity = {8000, 8192, 0, 8, 60};
	static const gb_res full = {1500, 2048, 0, 2, 60};
	static const gb_res need = {1000, 1024, 0, 1, 0};
	struct gb_index *index = gb_index_new();

	(void)state;
	gb_index_set(index, 0, &capacity, &capacity);
	gb_index_set(index, 1, &full, &capacity);
	assert_int_equal(gb_index_find(index, &need, &gb_scorer_pack, NULL), 1);
	assert_int_equal(
	    gb_index_find(index, &need, &gb_scorer_spread, NULL), 0);
	gb_index_free(index);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_index_finds_a_fit),
	    cmocka_unit_test(test_index_avoids_accelerators),
	    cmocka_unit_test(test_index_scorers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
