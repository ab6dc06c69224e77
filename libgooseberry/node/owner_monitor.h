/**
 * @file owner_monitor.h
 * Log events and counters of a node about the owner of the pool: hellos without
 * an answer, takeovers, the end of its own ownership, and stalls of the event
 * loop.  It decides nothing.
 */
#ifndef GB_OWNER_MONITOR_H
#define GB_OWNER_MONITOR_H

#include "watch.h"

struct gb_node;

struct owner_monitor {
	char asked[GB_NAME_MAX + 1]; /**< owner that the last hello went to */
	uint64_t asked_epoch;	     /**< its epoch, as known at that time */
	gb_time answered;	     /**< its last answer, or the first hello */
	bool silent;		     /**< the last hello got no answer */
	gb_time gained;		     /**< when this node last gained the pool */
	uint64_t gained_epoch;
	gb_time ticked; /**< last tick of the event loop, 0: none */
	uint64_t takeovers[WATCH_CAUSES]; /**< decided, by cause */
	uint64_t suspicions;		  /**< polls of members */
	uint64_t silences; /**< periods in which hellos got no answer */
	uint64_t stalls;   /**< of the event loop */
	gb_time stalled;   /**< total duration of the stalls */
};

/** A hello was sent to the owner in the node's watch. */
void owner_monitor_hello_sent(struct gb_node *);
/** The hello was answered, whatever the answer was. */
void owner_monitor_hello_answered(struct gb_node *);
/** A hello got no answer. */
void owner_monitor_hello_lost(struct gb_node *);
/** The owner is suspected, and `asked` members are polled about it. */
void owner_monitor_suspected(struct gb_node *, unsigned int asked);
/** The pool is about to be claimed.  Call this before the node's watch is
 * reset. */
void owner_monitor_takeover_decided(struct gb_node *);
/** This node has gained or lost the pool; the epoch is the newest known. */
void owner_monitor_owner_changed(struct gb_node *, bool owns, uint64_t epoch);
/** The event loop ticks.
 * @param period interval of the ticks in microseconds
 */
void owner_monitor_tick(struct gb_node *, gb_time now, gb_time period);
/** Add the counters in the text format of Prometheus. */
void owner_monitor_metrics(const struct gb_node *, struct gb_text *);

#endif
