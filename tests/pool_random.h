/**
 * @file pool_random.h
 * Runs pool cores with random load and random faults.
 */
#ifndef TESTS_POOL_RANDOM_H
#define TESTS_POOL_RANDOM_H

#include "pool_cell.h"

/** Runs random load and faults with one seed, and asserts that no guarantee is
 * violated and every accepted flow finishes. With `restarts`, lost workers come
 * back under their own ids, otherwise under new ones. */
void pool_random_run(uint64_t seed, bool restarts);
/** Does the same for as many seeds as the environment variable GB_POOL_RUNS
 * says, 24 by default, from the seed in GB_POOL_SEED on, 1 by default. */
void pool_random_runs(bool restarts);

#endif
