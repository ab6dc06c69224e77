/**
 * @file ports.c
 * Log lines and counters of the limits of a node's ports.
 */
#include <inttypes.h>

#include <jansson.h>

#include "node_state.h"

/** Connections of a known member: one, and one that it has replaced. */
#define PEER_CONNECTIONS 2
/** Longest record that another node sends, in bytes: a submission. */
#define PEER_RECORD_MAX ((size_t)1024 * 1024)

static const char *const names[GB_NODE_PORTS] = {
    [GB_NODE_FRONT] = "front",
    [GB_NODE_READY] = "ready",
    [GB_NODE_METRICS] = "metrics",
    [GB_NODE_PEERS] = "peers",
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

static void
on_peers_limited(void *data, const struct conn_counts *counts)
{
	gb_node_port_limited(data, GB_NODE_PEERS, counts);
}

void
node_peers_limit(struct gb_node *node, size_t members)
{
	const struct conn_limits limits = {
	    (unsigned int)(node->settings.peers +
			   (int64_t)members * PEER_CONNECTIONS),
	    (size_t)node->settings.peers_mb * 1024 * 1024};

	gb_rpc_server_set_limits(
	    node->server, &limits, PEER_RECORD_MAX, on_peers_limited);
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
