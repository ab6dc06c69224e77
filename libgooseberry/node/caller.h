/**
 * @file caller.h
 * Who calls: the organisation of a request, by its key.
 */
#ifndef GB_CALLER_H
#define GB_CALLER_H

#include "pool.h"

enum gb_caller_verdict {
	GB_CALLER_ANONYMOUS, /**< no key is asked for, and none came */
	GB_CALLER_KNOWN,
	GB_CALLER_UNKNOWN, /**< nobody has the key, or none came */
	/** A key came, and the configuration may be too old to judge it. */
	GB_CALLER_NOT_VERIFIED
};

/** A caller of a queue. */
struct gb_caller {
	const struct gb_pool_org *org; /**< null: anonymous */
	struct gb_pool_key_digest digest;
};

/** Whether a configuration that was last known to be the newest so long ago may
 * judge keys: always where `most` is 0, and otherwise for so long. */
bool gb_caller_current(gb_time age, gb_time most);
/** Find out who calls a queue; the key is null when the request has none.  The
 * organisation belongs to the configuration, which may judge keys or not. */
enum gb_caller_verdict gb_caller_identify(const struct gb_pool_config *,
    const struct gb_pool_queue *, const char *key, bool current,
    struct gb_caller *);
/** Describe a caller to the owner of the pool.  What is filled in points to the
 * caller and to the configuration. */
void gb_caller_fill(
    const struct gb_caller *, const struct gb_pool_config *, gb_flow_caller *);

#endif
