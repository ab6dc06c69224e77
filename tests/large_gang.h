/**
 * @file large_gang.h
 * Runs a large gang beside a stream of small ones.
 */
#ifndef TESTS_LARGE_GANG_H
#define TESTS_LARGE_GANG_H

/** Submits a small gang, which fits, every `tenths` tenths of a second, and
 * once a gang that needs two thirds of the pool. Asserts that the large one
 * succeeds within three times its objective. */
void large_gang_assert_finishes(int tenths);

#endif
