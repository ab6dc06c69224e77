/**
 * @file random.c
 * Pseudorandom numbers from a seed (splitmix64), and hashes (64-bit FNV-1a with
 * the same mixer at the end).
 */
#include <string.h>

#include "gooseberry.h"

/** Mixer of splitmix64. */
static uint64_t
random_mix(uint64_t z)
{
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

uint64_t
gb_random_next(uint64_t *seed)
{
	*seed += 0x9e3779b97f4a7c15ULL;
	return random_mix(*seed);
}

uint64_t
gb_hash(const char *data, size_t len)
{
	uint64_t h = 0xcbf29ce484222325ULL;
	size_t i;

	for (i = 0; i < len; i++) {
		h ^= (unsigned char)data[i];
		h *= 0x100000001b3ULL;
	}
	return random_mix(h);
}

uint64_t
gb_hash_pair(const char *a, const char *b)
{
	return random_mix(gb_hash(a, strlen(a)) + 3 * gb_hash(b, strlen(b)));
}
