/**
 * @file link_monitor.c
 * Log events that show what uses a node's link.
 */
#include <jansson.h>

#include "node_state.h"

/** The link counts as full when sent bytes wait for longer than this.  Timeouts
 * of heartbeats allow for such a wait. */
#define LINK_FULL_DELAY (200 * GB_MSEC)
/** A full link counts as free again when the wait is at most this. */
#define LINK_FREE_DELAY (20 * GB_MSEC)
/** Interval of link_traffic events. */
#define LINK_TRAFFIC_INTERVAL (2 * GB_SEC)
/** Share of the bandwidth that must be in use, in either direction, for such an
 * event. */
#define LINK_TRAFFIC_SHARE_MIN 0.5

/** Log when the link becomes full, with the kind of traffic that sent most, and
 * when it is free again. */
static void
link_log_full(struct gb_node *node)
{
	const struct gb_link *link = gb_env_link(node->env);
	gb_time queued = gb_link_backlog(link, node_now());
	unsigned int busiest = 0;
	unsigned int i;

	if (node->link_monitor.full ? queued > LINK_FREE_DELAY
				    : queued < LINK_FULL_DELAY)
		return;
	node->link_monitor.full = !node->link_monitor.full;
	for (i = 0; i < GB_TRAFFIC_KINDS; i++) {
		if (gb_link_traffic(link, i)->out >
		    gb_link_traffic(link, busiest)->out)
			busiest = i;
	}
	gb_event(node->events, GB_EVENT_ALWAYS,
	    node->link_monitor.full ? "link_full" : "link_free",
	    "{s:I, s:I, s:s, s:I}", "queued_ms", (json_int_t)(queued / GB_MSEC),
	    "use_percent", (json_int_t)(gb_link_utilisation(link) * 100),
	    "most_kind", gb_traffic_name(busiest), "most_bytes",
	    (json_int_t)gb_link_traffic(link, busiest)->out);
}

/** Log the bytes of each kind since the previous event, unless they are few. */
static void
link_log_traffic(struct gb_node *node, gb_time now)
{
	const struct gb_link *link = gb_env_link(node->env);
	struct link_monitor *monitor = &node->link_monitor;
	double limit = (double)gb_link_rate(link) * LINK_TRAFFIC_SHARE_MIN *
		       (double)(now - monitor->logged_at) / GB_SEC;
	json_t *sent = json_object();
	json_t *received = json_object();
	double out = 0;
	double in = 0;
	unsigned int i;

	for (i = 0; i < GB_TRAFFIC_KINDS; i++) {
		const struct gb_traffic *kind = gb_link_traffic(link, i);
		const struct gb_traffic *logged = &monitor->logged[i];

		out += (double)(kind->out - logged->out);
		in += (double)(kind->in - logged->in);
		if (kind->out > logged->out)
			json_object_set_new(sent, gb_traffic_name(i),
			    json_integer(
				(json_int_t)(kind->out - logged->out)));
		if (kind->in > logged->in)
			json_object_set_new(received, gb_traffic_name(i),
			    json_integer((json_int_t)(kind->in - logged->in)));
		monitor->logged[i] = *kind;
	}
	if (out >= limit || in >= limit)
		gb_event(node->events, GB_EVENT_NORMAL, "link_traffic",
		    "{s:I, s:O, s:O}", "ms",
		    (json_int_t)((now - monitor->logged_at) / GB_MSEC), "out",
		    sent, "in", received);
	monitor->logged_at = now;
	json_decref(sent);
	json_decref(received);
}

void
link_monitor_tick(struct gb_node *node)
{
	gb_time now = node_now();

	link_log_full(node);
	if (gb_link_rate(gb_env_link(node->env)) > 0 &&
	    now - node->link_monitor.logged_at >= LINK_TRAFFIC_INTERVAL)
		link_log_traffic(node, now);
}
