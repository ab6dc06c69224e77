/**
 * @file shed.h
 * Share of the new flows that members turn away, because the owner's link does
 * not take them in.  No I/O.
 */
#ifndef GB_SHED_H
#define GB_SHED_H

#include "gooseberry.h"

struct shed {
	uint32_t percent;
	gb_time at;	/**< the share was worked out last, 0: never */
	uint64_t bytes; /**< received by then */
};

/** Work the share out anew, if it is time.
 * @param bytes received so far
 * @param rate bytes a second that the link takes, 0: it does not matter
 */
void shed_tick(struct shed *, gb_time now, uint64_t bytes, uint64_t rate);
/** Whether a flow is turned away; the answer for one id changes only with the
 * share. */
bool shed_refuses(uint32_t percent, const char *id);

#endif
