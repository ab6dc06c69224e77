/**
 * @file gang.c
 * How many workers the advice service should approve for a step.
 *
 * Full pool: the advice service approves a quarter of the workers for a gang,
 * and nine tenths of the pool are busy.  A gang needs free capacity for all its
 * tasks at one moment.  On workers that could run three times its tasks if they
 * were empty, there is on average free capacity for a third of them, so that
 * the gang waits for a reservation, and a burst of gangs is late.  With more
 * approved workers the usual free capacity is enough.
 */
#include "gang.h"

/** Slots for each task.  With less a gang waits for nearly all of its workers
 * to be free at once. */
#define GANG_SLOTS_MIN 3.0
/** Slots for each task of a gang when next to nothing is free.  More would cost
 * calls of the advice service that other gangs wait for, and gangs then wait
 * for running work to end, whatever workers they may use. */
#define GANG_SLOTS_MAX 16.0

double
step_slots_wanted(uint32_t tasks)
{
	return GANG_SLOTS_MIN * tasks;
}

double
gang_slots_wanted(uint32_t tasks, double capacity, double free)
{
	double slots = free <= 0 ? GANG_SLOTS_MAX : capacity / free;

	if (slots < GANG_SLOTS_MIN)
		slots = GANG_SLOTS_MIN;
	if (slots > GANG_SLOTS_MAX)
		slots = GANG_SLOTS_MAX;
	return slots * tasks;
}
