/**
 * @file renewal.c
 * Detects whether a silent owner goes on renewing its row.
 *
 * The network between members may be cut, or their connections may be stuck,
 * while all members reach the store and the workers.  An owner that renews its
 * row is working even though no member reaches it; one that has terminated
 * renews nothing.
 */
#include <string.h>

#include "renewal.h"

/** Longest time between two renewals, without the duration of the write.  An
 * owner renews its row every 0.5 s, and the write waits for the one before it.
 */
#define RENEWAL_TIME_MAX (620 * GB_MSEC)
/** A write takes as long as this number of reads. */
#define RENEWAL_WRITE_FACTOR 2

void
renewal_reset(struct renewal *r)
{
	memset(r, 0, sizeof(*r));
}

/** Longest time between two renewals of a working owner. */
static gb_time
renewal_time_max(gb_time store_read_time)
{
	return RENEWAL_TIME_MAX + RENEWAL_WRITE_FACTOR * store_read_time;
}

bool
renewal_read_due(const struct renewal *r, gb_time now, gb_time store_read_time)
{
	return r->read_at == 0 ||
	       now - r->read_at >= renewal_time_max(store_read_time);
}

void
renewal_add_read(
    struct renewal *r, gb_time sent, gb_time store_read_time, uint64_t serial)
{
	if (!renewal_read_due(r, sent, store_read_time))
		return;
	if (r->read_at != 0 && serial == r->serial) {
		r->state = RENEWAL_STOPPED;
		r->stopped++;
	} else if (r->read_at != 0) {
		r->state = RENEWAL_CONTINUES;
		r->stopped = 0;
	}
	r->read_at = sent;
	r->serial = serial;
}
