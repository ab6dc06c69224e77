/**
 * @file memory.c
 * Memory allocation that does not fail: a process without memory aborts, and
 * other members take its shards over.
 */
#include <malloc.h>
#include <stdlib.h>
#include <string.h>

#include "gooseberry.h"

/** Blocks of this size and more are given back to the system as they are freed.
 * Unless it is set, the C library raises it to the largest block that was
 * freed, and such blocks then stay with the process. */
#define MEMORY_BLOCK_BYTES (1024 * 1024)

void *
gb_calloc(size_t count, size_t size)
{
	void *p = calloc(count == 0 ? 1 : count, size == 0 ? 1 : size);

	if (p == NULL)
		abort();
	return p;
}

void *
gb_realloc(void *old, size_t size)
{
	void *p = realloc(old, size == 0 ? 1 : size);

	if (p == NULL)
		abort();
	return p;
}

char *
gb_strdup(const char *s)
{
	size_t len = strlen(s) + 1;
	char *copy = gb_calloc(1, len);

	memcpy(copy, s, len);
	return copy;
}

void
gb_memory_init(void)
{
	mallopt(M_MMAP_THRESHOLD, MEMORY_BLOCK_BYTES);
}

void
gb_memory_trim(void)
{
	malloc_trim(0);
}
