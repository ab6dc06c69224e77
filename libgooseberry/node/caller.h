/**
 * @file caller.h
 * Identifies the organisation of a caller by the key of its request.
 */
#ifndef GB_CALLER_H
#define GB_CALLER_H

#include "pool.h"

enum gb_caller_verdict {
	GB_CALLER_ANONYMOUS, /**< no key is required, or none was sent and the
				queue accepts that */
	GB_CALLER_KNOWN,     /**< an organisation has the key */
	GB_CALLER_UNKNOWN,   /**< no organisation has the key, or a required key
				is missing */
	/** The configuration may be too old to verify the key. */
	GB_CALLER_NOT_VERIFIED
};

/** A caller of a queue. */
struct gb_caller {
	const struct gb_pool_org *org;	  /**< null: anonymous */
	struct gb_pool_key_digest digest; /**< of its key, zero: not checked */
};

/** Whether keys may be verified with a configuration.
 * @param age microseconds since it was last confirmed to be the newest
 * @param max_age largest age for that, 0: any
 */
bool gb_caller_config_usable(gb_time age, gb_time max_age);
/** Identify the caller of a queue.  The organisation that is filled in belongs
 * to the configuration.
 * @param key of the request, or null
 * @param current whether keys may be verified with the configuration
 */
enum gb_caller_verdict gb_caller_identify(const struct gb_pool_config *,
    const struct gb_pool_queue *, const char *key, bool current,
    struct gb_caller *);
/** Fill in the caller for a message to the owner of the pool.  The message
 * refers to memory of struct gb_caller and of the configuration, which must
 * outlive it. */
void gb_caller_fill(
    const struct gb_caller *, const struct gb_pool_config *, gb_flow_caller *);

#endif
