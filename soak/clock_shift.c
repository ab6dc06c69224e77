/**
 * @file clock_shift.c
 * Time of day of gooseberry-node-shifted, the node that the soak runs.  The
 * linker replaces gb_clock_wall by the function here.  SIGUSR1 moves the time
 * ahead, SIGUSR2 back.
 */
#include <signal.h>

#include "gooseberry.h"

#define SHIFT_AHEAD (3 * GB_SEC)
#define SHIFT_BACK (7 * GB_SEC)

/** Number of shifts in each direction. */
static volatile sig_atomic_t ahead;
static volatile sig_atomic_t back;

gb_time __real_gb_clock_wall(void);
gb_time __wrap_gb_clock_wall(void);

static void
on_shift(int signum)
{
	if (signum == SIGUSR1)
		ahead++;
	else
		back++;
}

/** Install the handlers before main, so that an early signal doesn't end the
 * process. */
__attribute__((constructor)) static void
shift_install(void)
{
	signal(SIGUSR1, on_shift);
	signal(SIGUSR2, on_shift);
}

gb_time
__wrap_gb_clock_wall(void)
{
	return __real_gb_clock_wall() + ahead * SHIFT_AHEAD - back * SHIFT_BACK;
}
