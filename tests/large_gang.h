/**
 * @file large_gang.h
 * A large gang beside small ones that keep coming.
 */
#ifndef TESTS_LARGE_GANG_H
#define TESTS_LARGE_GANG_H

/** Small gangs come each `period` tenths of a second, each of which would fit;
 * one that needs two thirds of the pool is done within three times its
 * objective. */
void large_gang_is_done(int period);

#endif
