/**
 * @file large_gang.h
 * A large gang beside a stream of small ones.
 */
#ifndef TESTS_LARGE_GANG_H
#define TESTS_LARGE_GANG_H

/** Submits a small gang every `tenths` tenths of a second, each of which fits,
 * and a gang that needs two thirds of the pool. Asserts that the large one
 * finishes within three times its objective. */
void large_gang_assert_finishes(int tenths);

#endif
