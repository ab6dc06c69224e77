/**
 * @file renewal.h
 * Whether an owner that is not heard goes on renewing its row.  No I/O.
 */
#ifndef GB_RENEWAL_H
#define GB_RENEWAL_H

#include "gooseberry.h"

enum renewal_state {
	RENEWAL_UNKNOWN, /**< fewer than two reads, or too close together */
	RENEWAL_STOPPED,
	RENEWAL_CONTINUES
};

/** Reads of the same part's row, since the owner was last heard. */
struct renewal {
	gb_time read_at; /**< when the read that counts was sent, 0: none */
	uint64_t serial; /**< of the row then */
	enum renewal_state state;
	unsigned int stopped; /**< reads in a row that found nothing new */
};

/** The owner was heard, or is another one. */
void renewal_reset(struct renewal *);
/** Whether another read of the row would tell something new. */
bool renewal_read_due(const struct renewal *, gb_time now, gb_time store_took);
/** The row still names the owner.  `sent` is when the read was sent, and
 * `store_took` the time that it took, in microseconds. */
void renewal_add_read(
    struct renewal *, gb_time sent, gb_time store_took, uint64_t serial);

#endif
