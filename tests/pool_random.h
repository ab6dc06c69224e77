/**
 * @file pool_random.h
 * Random load and random faults on pool cores.
 */
#ifndef TESTS_POOL_RANDOM_H
#define TESTS_POOL_RANDOM_H

#include "pool_cell.h"

/** Runs random load and faults with one seed: no task runs twice, and every
 * accepted flow finishes. With `restarts`, lost workers come back under their
 * own ids, otherwise under new ones. */
void pool_random_run(uint64_t seed, bool restarts);
/** Does the same for GB_POOL_RUNS seeds from GB_POOL_SEED on. */
void pool_random_runs(bool restarts);

#endif
