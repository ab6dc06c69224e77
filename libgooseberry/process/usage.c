/**
 * @file usage.c
 * Processor time and memory that the process itself uses.
 */
#include <uv.h>

#include "gooseberry.h"

static uint64_t
timeval_us(const uv_timeval_t *tv)
{
	return (uint64_t)tv->tv_sec * GB_SEC + (uint64_t)tv->tv_usec;
}

struct gb_usage
gb_usage_read(void)
{
	struct gb_usage usage = {0};
	size_t memory = 0;
	uv_rusage_t used;

	if (uv_getrusage(&used) == 0)
		usage.cpu_us =
		    timeval_us(&used.ru_utime) + timeval_us(&used.ru_stime);
	if (uv_resident_set_memory(&memory) == 0)
		usage.memory = memory;
	return usage;
}
