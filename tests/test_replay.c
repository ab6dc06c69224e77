/**
 * @file test_replay.c
 * Guards against sequences of operations and faults that violate a guarantee
 * of the scheduler.  Runs a fixed number of seeded random inputs of the
 * fuzzer, and the inputs in tests/seeds, each of which has violated one.
 */
#include <dirent.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "fuzz_cells.h"
#include "gooseberry.h"

#ifndef SEEDS_DIR
#define SEEDS_DIR "tests/seeds"
#endif
/** Largest random input, in bytes. */
#define INPUT_MAX 480
/** Number of random runs, unless GB_FUZZ_RUNS sets another. */
#define RUNS 120

/** Number in an environment variable, or the fallback. */
static unsigned int
env_number(const char *name, unsigned int fallback)
{
	const char *value = getenv(name);

	return value == NULL ? fallback : (unsigned int)atoi(value);
}

/** Random inputs.  GB_FUZZ_FROM sets the first run, GB_FUZZ_SAVE names a file
 * for the first input that fails, and GB_FUZZ_FIRST ends the test there. */
static void
test_replay_random(void **state)
{
	unsigned int from = env_number("GB_FUZZ_FROM", 0);
	unsigned int runs = env_number("GB_FUZZ_RUNS", RUNS);
	unsigned int run;
	unsigned int failed = 0;

	(void)state;
	for (run = from; run < from + runs; run++) {
		uint64_t seed = 1000 + run;
		size_t size = 60 + gb_random_next(&seed) % (INPUT_MAX - 60);
		uint8_t data[INPUT_MAX];
		char violation[256];
		size_t i;

		for (i = 0; i < size; i++)
			data[i] = (uint8_t)gb_random_next(&seed);
		if (fuzz_cells_run(data, size, violation, sizeof(violation)))
			continue;
		print_message("run %u: %s\n", run, violation);
		if (getenv("GB_FUZZ_SAVE") != NULL && failed == 0) {
			FILE *f = fopen(getenv("GB_FUZZ_SAVE"), "wb");

			fwrite(data, 1, size, f);
			fclose(f);
		}
		failed++;
		if (getenv("GB_FUZZ_FIRST") != NULL)
			break;
	}
	assert_int_equal(failed, 0);
}

/** Run the input in a file, and count it if it fails. */
static void
replay_file(const char *path, unsigned int *failed)
{
	uint8_t data[4096];
	char violation[256];
	FILE *f = fopen(path, "rb");
	size_t size;

	if (f == NULL)
		return;
	size = fread(data, 1, sizeof(data), f);
	fclose(f);
	if (!fuzz_cells_run(data, size, violation, sizeof(violation))) {
		print_message("%s: %s\n", path, violation);
		(*failed)++;
	}
}

static void
test_replay_seeds(void **state)
{
	DIR *dir = opendir(SEEDS_DIR);
	struct dirent *item;
	unsigned int failed = 0;
	char path[512];

	(void)state;
	while (dir != NULL && (item = readdir(dir)) != NULL) {
		if (item->d_name[0] == '.')
			continue;
		snprintf(path, sizeof(path), "%s/%s", SEEDS_DIR, item->d_name);
		replay_file(path, &failed);
	}
	if (dir != NULL)
		closedir(dir);
	assert_int_equal(failed, 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_replay_seeds),
	    cmocka_unit_test(test_replay_random),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
