/**
 * @file link_monitor.h
 * Log events that show what uses a node's link.
 */
#ifndef GB_LINK_MONITOR_H
#define GB_LINK_MONITOR_H

#include "gooseberry.h"

struct gb_node;

/** What was logged last. */
struct link_monitor {
	bool full;	   /**< the last event was link_full */
	gb_time logged_at; /**< of the last link_traffic event */
	/** Counters at that event. */
	struct gb_traffic logged[GB_TRAFFIC_KINDS];
};

/** Log the events that are due. */
void link_monitor_tick(struct gb_node *);

#endif
