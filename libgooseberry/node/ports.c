/**
 * @file ports.c
 * Log lines and counters of the limits of a node's ports.
 */
#include <inttypes.h>

#include <jansson.h>

#include "node_state.h"

static const char *const names[GB_NODE_PORTS] = {
    [GB_NODE_FRONT] = "front",
    [GB_NODE_READY] = "ready",
    [GB_NODE_METRICS] = "metrics",
};

void
gb_node_port_limited(struct gb_node *node, enum gb_node_port port,
    const struct conn_counts *counts)
{
	struct conn_counts *total = &node->ports[port];

	total->closed_for_new += counts->closed_for_new;
	total->closed_for_bytes += counts->closed_for_bytes;
	total->refused += counts->refused;
	gb_event(node->events, GB_EVENT_ALWAYS, "port_limited",
	    "{s:s, s:I, s:I, s:I}", "port", names[port], "closed_for_new",
	    (json_int_t)counts->closed_for_new, "closed_for_memory",
	    (json_int_t)counts->closed_for_bytes, "refused",
	    (json_int_t)counts->refused);
}

void
node_ports_metrics(const struct gb_node *node, struct gb_text *out)
{
	unsigned int i;

	for (i = 0; i < GB_NODE_PORTS; i++) {
		const struct conn_counts *counts = &node->ports[i];

		gb_text_add(out,
		    "gooseberry_connections_closed{port=\"%s\","
		    "for=\"new\"} %" PRIu64
		    "\ngooseberry_connections_closed{port=\"%s\","
		    "for=\"memory\"} %" PRIu64
		    "\ngooseberry_port_refused{port=\"%s\"} %" PRIu64 "\n",
		    names[i], counts->closed_for_new, names[i],
		    counts->closed_for_bytes, names[i], counts->refused);
	}
}
