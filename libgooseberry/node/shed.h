/**
 * @file shed.h
 * Load shedding: percentage of the new flows that members reject because the
 * owner's link is full.  Does no I/O.
 */
#ifndef GB_SHED_H
#define GB_SHED_H

#include "gooseberry.h"

struct shed {
	uint32_t percent; /**< of new flows to reject */
	gb_time at;	  /**< last update of the percentage, 0: none */
	uint64_t bytes;	  /**< bytes received until then */
};

/** Begin for a new owner.
 * @param slow_link its link carries the stored state only in small pages
 */
void shed_begin(struct shed *, bool slow_link);
/** Update the percentage if the interval of updates has passed.
 * @param now in microseconds
 * @param bytes received since the start of the process
 * @param rate bandwidth of the link in bytes per second, 0: unlimited
 */
void shed_tick(struct shed *, gb_time now, uint64_t bytes, uint64_t rate);
/** Whether to reject the flow with this id at the given percentage.  The answer
 * for one id and percentage is always the same. */
bool shed_rejects(uint32_t percent, const char *id);

#endif
