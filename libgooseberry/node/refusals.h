/**
 * @file refusals.h
 * Log lines and counters of the requests that a node refuses without the owner,
 * or passes on as refused.
 */
#ifndef GB_NODE_REFUSALS_H
#define GB_NODE_REFUSALS_H

#include "pool.h"

/** Why a request was refused. */
enum refusal_reason {
	REFUSAL_GIVEN_UP, /**< neither an owner nor the store was reached */
	REFUSAL_OWNER,	  /**< the owner refused it */
	REFUSAL_LINK,	  /**< the owner's link is full */
	REFUSAL_STORE, /**< the owner can't store it, and the store is slow */
	REFUSAL_CANCELLED, /**< it was cancelled before it arrived */
	REFUSAL_MEMORY,	   /**< the next owner could not hold it */
	REFUSAL_REASONS
};

/** Flows that one line lists for a reason.  33 instances get 86 submissions a
 * second, each of which is sent up to five times when it is refused: 13 a
 * second at each instance, and 91 at seven times the load.  Ids have at most 63
 * bytes, so that a line has at most 7 KB. */
#define REFUSALS_LINE_FLOWS 100

/** Refusals of one reason. */
struct refusal_list {
	uint64_t total;
	uint64_t omitted; /**< of these, not listed in a line */
	uint32_t waiting; /**< refusals since the last line */
	uint32_t count;	  /**< ids of these */
	char ids[REFUSALS_LINE_FLOWS][GB_NAME_MAX + 1];
};

struct refusals {
	struct refusal_list lists[REFUSAL_REASONS];
	gb_time logged_at; /**< when lines were last written */
};

/** Name in log lines and metrics. */
const char *refusal_reason_name(enum refusal_reason);
/** Counts a refusal and keeps the id for the next line. */
void refusals_add(struct refusals *, enum refusal_reason, const char *id);
/** Writes one line for each reason with refusals since the last one, once a
 * second; with `flush` at once. */
void refusals_log(
    struct refusals *, struct gb_events *, gb_time now, bool flush);

#endif
