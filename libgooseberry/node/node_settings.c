/**
 * @file node_settings.c
 * Settings of gooseberry-node.
 */
#include "node.h"

#define NODE(member) offsetof(struct gb_node_settings, member)

const struct gb_setting gb_node_settings_table[] = {
    {"name", GB_SET_STRING, "name", 1, GB_NAME_MAX, NULL,
	"Name of this instance, unique in the cell.", NODE(name)},
    {"dc", GB_SET_STRING, "name", 1, GB_NAME_MAX, NULL,
	"Data centre of this instance.", NODE(dc)},
    {"listen", GB_SET_ADDR, "IP:port", 0, 0, NULL,
	"Where this node listens for other nodes.", NODE(listen)},
    {"advertise", GB_SET_ADDR, "IP:port", 0, 0, "\"" GB_NODE_SAME_ADDR "\"",
	"Where other nodes reach this one; " GB_NODE_SAME_ADDR
	": where it listens.",
	NODE(addr)},
    {"front", GB_SET_ADDR, "IP:port", 0, 0, NULL,
	"Where callers reach this node over HTTP.", NODE(front)},
    {"ready", GB_SET_ADDR, "IP:port", 0, 0, NULL,
	"Where the balancer asks whether this node is ready.", NODE(ready)},
    {"metrics", GB_SET_ADDR, "IP:port", 0, 0, NULL,
	"Where counters and histograms are served.", NODE(metrics)},
    {"store", GB_SET_ADDR, "IP:port", 0, 0, NULL, "The platform's tables.",
	NODE(store)},
    {"advice", GB_SET_ADDR, "IP:port", 0, 0, "\"127.0.0.1:1\"",
	"The service that says which workers may run a step.", NODE(advice)},
    {"cpu_share", GB_SET_STRING, "cores", 1, GB_NAME_MAX, "\"1\"",
	"Share of a core that this instance has.", NODE(cpu_share)},
    {"link_mbps", GB_SET_STRING, "Mbit/s", 1, GB_NAME_MAX, "\"0\"",
	"Bandwidth of this instance's link; 0: it does not matter.",
	NODE(link_mbps)},
    {"orders", GB_SET_STRING, "way", 1, GB_NAME_MAX, "\"invocation\"",
	"How workers take orders; invocation is served.", NODE(orders)},
    {"lease_ms", GB_SET_INT, "ms", 500, 600000, NULL,
	"Longest lease that a worker grants.", NODE(lease_ms)},
    {"stop_ms", GB_SET_INT, "ms", 1, 60000, "200",
	"A stop of a task takes at most this long.", NODE(stop_ms)},
    {"strict_keys_ms", GB_SET_INT, "ms", 0, 3600000, "0",
	"Keys are not judged by a configuration that the store has not "
	"confirmed for longer; 0: they always are.",
	NODE(strict_keys_ms)},
    {"keep_s", GB_SET_INT, "s", 1, 86400, "120",
	"How long the state of a finished flow is answered.", NODE(keep_s)},
    {"files", GB_SET_INT, "descriptors", 0, 1000000, "0",
	"Descriptors that a process may have open; 0: no limit.", NODE(files)},
    {"callers", GB_SET_INT, "connections", 16, 100000, "700",
	"Connections of callers at once; beyond, the one that has waited "
	"longest for its request is closed, and requests beyond half of this "
	"are refused.",
	NODE(callers)},
    {"callers_mb", GB_SET_INT, "MiB", 2, 100000, "24",
	"Memory for requests that are being read or handled; beyond, the "
	"connection that has waited longest for the rest of its request is "
	"closed, and requests beyond half of this are refused.",
	NODE(callers_mb)},
    {"flows_mb", GB_SET_INT, "MiB", 16, 100000, "40",
	"Memory of the flows that are not over, the same on all nodes, as each "
	"may have to load them; beyond, new flows are refused.",
	NODE(flows_mb)},
    {"peers", GB_SET_INT, "connections", 16, 100000, "128",
	"Connections of other nodes at once, beside two for each known member; "
	"beyond, the one that has been silent longest is closed.",
	NODE(peers)},
    {"peers_mb", GB_SET_INT, "MiB", 2, 100000, "16",
	"Memory for calls of other nodes that are being read and for answers "
	"that they have not read; beyond, the connection that has been silent "
	"longest is closed.",
	NODE(peers_mb)},
    {"probes", GB_SET_INT, "connections", 4, 10000, "64",
	"Connections at once for health checks, and as many for metrics; "
	"beyond, the one that has waited longest for its request is closed.",
	NODE(probes)},
    {"log_lines", GB_SET_INT, "lines/s", 0, 100000, "400",
	"Structured lines a second beyond which ordinary ones are counted "
	"only.",
	NODE(log_lines)},
    {"log_level", GB_SET_INT, "level", 0, 7, "6",
	"Most verbose level of plain messages (syslog's numbers).",
	NODE(log_level)},
    {"off", GB_SET_STRING, "names", 0, GB_KEY_MAX, "\"\"",
	"Mechanisms that are switched off to measure them, by commas.",
	NODE(disabled_features)},
    {"grace_s", GB_SET_INT, "s", 1, 600, "6",
	"Time between the request to stop and the end of the process.",
	NODE(grace_s)},
};

const size_t gb_node_settings_count =
    sizeof(gb_node_settings_table) / sizeof(gb_node_settings_table[0]);
