/**
 * @file renewal.h
 * Detects from reads of the owner's row whether a silent owner goes on renewing
 * it.  Does no I/O.
 */
#ifndef GB_RENEWAL_H
#define GB_RENEWAL_H

#include "gooseberry.h"

enum renewal_state {
	RENEWAL_UNKNOWN, /**< fewer than two reads that can be compared */
	RENEWAL_STOPPED,
	RENEWAL_CONTINUES
};

/** Reads of the row in one partition since the owner's last answer. */
struct renewal {
	gb_time read_at; /**< when the last compared read was sent, 0: none */
	uint64_t serial; /**< of the row in that read */
	enum renewal_state state;
	unsigned int stopped; /**< compared reads in a row without a renewal */
};

/** Drop all reads: the owner answered, or is a different one. */
void renewal_reset(struct renewal *);
/** Whether the last read is old enough to compare it with another one: a
 * working owner would have renewed its row since.  Times are in microseconds.
 */
bool renewal_read_due(
    const struct renewal *, gb_time now, gb_time store_read_time);
/** Add a read that found the same owner in the row.  It is ignored if it is not
 * due yet.
 * @param sent when the read was sent
 * @param store_read_time duration of the read in microseconds
 * @param serial of the row
 */
void renewal_add_read(
    struct renewal *, gb_time sent, gb_time store_read_time, uint64_t serial);

#endif
