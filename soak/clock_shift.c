/**
 * @file clock_shift.c
 * The time of day of gooseberry-node-shifted, which the soak runs: the linker
 * puts this in place of gb_clock_wall.  SIGUSR1 moves it ahead, SIGUSR2 back.
 */
#include <signal.h>

#include "gooseberry.h"

#define SHIFT_AHEAD (3 * GB_SEC)
#define SHIFT_BACK (7 * GB_SEC)

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

/** Signals are taken before the program begins. */
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
