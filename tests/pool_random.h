/**
 * @file pool_random.h
 * Random load and random faults on pool cores.
 */
#ifndef TESTS_POOL_RANDOM_H
#define TESTS_POOL_RANDOM_H

#include "pool_cell.h"

/** Play a seed: nothing runs twice, and all that was accepted comes to its end.
 * Workers that are back have another id, or their own. */
void pool_random_run(uint64_t seed, bool restarts);
/** The same of GB_POOL_RUNS seeds from GB_POOL_SEED on. */
void pool_random_runs(bool restarts);

#endif
