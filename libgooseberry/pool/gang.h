/**
 * @file gang.h
 * How many workers the advice service should approve for a step.  No I/O.
 */
#ifndef GB_POOL_GANG_H
#define GB_POOL_GANG_H

#include <stdint.h>

/** Tasks of a step that its approved workers should be able to run if they were
 * empty, before no more workers are asked about. */
double step_slots_wanted(uint32_t tasks);
/** The same for a gang on a pool with so many processors, of which some are
 * free, in any unit. */
double gang_slots_wanted(uint32_t tasks, double capacity, double free);

#endif
