/**
 * @file clock.c
 * Clocks of the process.  The core does not read them; it gets the time as a
 * parameter.
 */
#include <time.h>

#include "gooseberry.h"

static gb_time
clock_read(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (gb_time)ts.tv_sec * GB_SEC + ts.tv_nsec / 1000;
}

gb_time
gb_clock_boot(void)
{
	return clock_read(CLOCK_BOOTTIME);
}

gb_time
gb_clock_wall(void)
{
	return clock_read(CLOCK_REALTIME);
}
