/**
 * @file owner_monitor.h
 * What a node's log and counters say of the owner of the pool: hellos that get
 * no answer, takeovers, the end of its own ownership, and stalls of the loop.
 * Nothing is decided by it.
 */
#ifndef GB_OWNER_MONITOR_H
#define GB_OWNER_MONITOR_H

#include "watch.h"

struct gb_node;

struct owner_monitor {
	char asked[GB_NAME_MAX + 1]; /**< owner that was said hello to last */
	uint64_t asked_epoch;	     /**< its epoch, as it was known then */
	gb_time answered;	     /**< its last answer, or the first hello */
	bool silent;		     /**< its last hello got no answer */
	gb_time gained;		     /**< when this node last gained the pool */
	uint64_t gained_epoch;
	gb_time ticked; /**< last tick of the loop, 0: none */
	uint64_t takeovers[WATCH_CAUSES];
	uint64_t suspicions; /**< times members were asked about the owner */
	uint64_t silences;   /**< spells of hellos without an answer */
	uint64_t stalls;     /**< of the loop */
	gb_time stalled;     /**< length of them all */
};

/** A hello was sent to the owner that the watch names. */
void owner_monitor_hello_sent(struct gb_node *);
/** The owner that was asked answered, whatever it said. */
void owner_monitor_hello_answered(struct gb_node *);
/** A hello got no answer. */
void owner_monitor_hello_lost(struct gb_node *);
/** Members are asked whether they hear the owner. */
void owner_monitor_suspected(struct gb_node *, unsigned int asked);
/** The pool is about to be claimed; the watch still knows why. */
void owner_monitor_takeover_decided(struct gb_node *);
void owner_monitor_owner_changed(struct gb_node *, bool owns, uint64_t epoch);
/** The loop ticks, and should have done so after the given period. */
void owner_monitor_tick(struct gb_node *, gb_time now, gb_time period);
void owner_monitor_metrics(const struct gb_node *, struct gb_text *);

#endif
