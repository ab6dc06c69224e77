/**
 * @file node.h
 * A node: the process on each instance.  It accepts callers' flows and forwards
 * them to the owner of the pool, calls the advice service for the owner, and
 * takes the pool over when the owner is lost.
 */
#ifndef GB_NODE_H
#define GB_NODE_H

#include "pool.h"

struct conn_counts;
struct gb_node;

/** Functions by which a node reaches the outside systems.  Pointers in their
 * arguments are valid only during the call.  A function with a call number
 * starts a call, which ends later, exactly once, with gb_node_<name>_done below
 * and the same number. */
struct gb_node_platform {
	/** Order a worker to start or to stop a run. */
	void (*start)(void *, uint64_t call, const struct gb_pool_order *);
	void (*stop)(void *, uint64_t call, const struct gb_pool_order *);
	/** Renew a worker's lease and ask which runs it has. */
	void (*heartbeat)(
	    void *, uint64_t call, const struct gb_pool_heartbeat *);
	/** Ask the advice service which workers may run a step. */
	void (*advise)(void *, uint64_t call, const gb_advice_ask *);
	/** Write to the store, or read from it. */
	void (*txn)(void *, uint64_t call, const struct gb_pool_txn *);
	void (*read)(void *, uint64_t call, const struct gb_pool_read *);
	/** Start or stop following the list of workers, whose changes are
	 * reported with gb_node_workers_received. */
	void (*follow_workers)(void *, bool on);
	/** Set how many connections to workers may be open. */
	void (*limit_connections)(void *, uint32_t max);
	/** Whether others tell the node of a newer configuration, so that the
	 * platform needn't look for it all the time. */
	void (*relax_config)(void *, bool relaxed);
	/** Decode a configuration from its stored form; null when it is
	 * malformed.  The node releases it. */
	struct gb_pool_config *(*config_decode)(const char *, size_t);
	void *data; /**< first argument of the functions */
};

/** Default of the setting `advertise`: other nodes reach the node at its
 * setting `listen`. */
#define GB_NODE_SAME_ADDR "0.0.0.0:0"

/** Settings of gooseberry-node, which node_settings.c describes.  The
 * suffixes _ms and _s are units. */
struct gb_node_settings {
	char name[GB_NAME_MAX + 1];
	char dc[GB_NAME_MAX + 1];
	char listen[GB_NAME_MAX + 1];  /**< of the peer port */
	char addr[GB_NAME_MAX + 1];    /**< where other nodes reach it */
	char front[GB_NAME_MAX + 1];   /**< where it listens for callers */
	char ready[GB_NAME_MAX + 1];   /**< where it answers the balancer */
	char metrics[GB_NAME_MAX + 1]; /**< where it serves its metrics */
	char store[GB_NAME_MAX + 1];   /**< address of the platform's tables */
	char advice[GB_NAME_MAX + 1];  /**< address of the advice service */
	char cpu_share[GB_NAME_MAX + 1]; /**< number of cores, as a decimal */
	char link_mbps[GB_NAME_MAX + 1]; /**< Mbit/s, a decimal; 0: unlimited */
	char orders[GB_NAME_MAX + 1];	 /**< how workers take orders */
	/** Names of disabled features, separated by commas. */
	char disabled_features[GB_KEY_MAX + 1];
	int64_t lease_ms, stop_ms, keep_s;
	int64_t log_lines, log_level, grace_s, files, strict_keys_ms;
	int64_t callers, callers_mb, probes, peers, peers_mb, flows_mb;
};

extern const struct gb_setting gb_node_settings_table[];
extern const size_t gb_node_settings_count;

/** Create a node and listen for other nodes.  Returns null with an error when a
 * setting is invalid or an address can't be used.  The settings and the table
 * of functions are copied; the loop, the environment and the events must exist
 * as long as the node. */
struct gb_node *gb_node_new(struct uv_loop_s *, const struct gb_env *,
    const struct gb_node_settings *, const struct gb_node_platform *,
    struct gb_events *, struct gb_error *);
/** Begin the planned stop of the process: hand the pool over to a member, or
 * release it.  Callers are answered before the grace time of the settings ends.
 */
void gb_node_leave(struct gb_node *);
/** Whether the node neither owns the pool nor is taking it over. */
bool gb_node_left(const struct gb_node *);
/** Whether the balancer may send callers to this node. */
bool gb_node_ready(const struct gb_node *);
/** Configuration in use, null before the first one.  It belongs to the node and
 * is valid until the next one is received. */
const struct gb_pool_config *gb_node_config(const struct gb_node *);
/** Whether another node is known to have a newer configuration. */
bool gb_node_config_behind(const struct gb_node *);

/* Callers ----------------------------------------------------------------- */

/** Receives the answer to a request.  The answer is valid only during the call.
 */
typedef void (*gb_node_answer)(void *, const gb_flow_answer *);

/** Submit a flow.  The answer comes once, within the timeout in microseconds,
 * possibly before this function returns.  The submission is copied. */
void gb_node_submit(struct gb_node *, const gb_flow_submit *, gb_time timeout,
    gb_node_answer, void *);
/** Ask for the state of a flow or for the number of pending flows of a queue,
 * or cancel a flow.  The answer comes as for gb_node_submit, and the message is
 * copied. */
void gb_node_ask(struct gb_node *, const gb_flow_ask *, gb_time timeout,
    gb_node_answer, void *);

/* Reports of the platform ------------------------------------------------- */

/* What the arguments refer to stays with the platform. */

/** A configuration was received, in its stored form.  It is ignored unless it
 * is newer than the present one.  A malformed one is counted and logged. */
void gb_node_config_received(struct gb_node *, const char *, size_t);
/** Entries of the list of workers were received.
 * @param whole they are all the workers that exist, not just changes
 */
void gb_node_workers_received(
    struct gb_node *, const struct gb_pool_entry *, size_t count, bool whole);

/* The call with this number has ended.  These functions must not be called from
 * within the function of struct gb_node_platform that started the call. */

void gb_node_start_done(
    struct gb_node *, uint64_t call, const struct gb_pool_order_res *);
void gb_node_stop_done(
    struct gb_node *, uint64_t call, const struct gb_pool_order_res *);
void gb_node_heartbeat_done(
    struct gb_node *, uint64_t call, const struct gb_pool_report *);
void gb_node_advise_done(
    struct gb_node *, uint64_t call, const gb_advice_res *);
void gb_node_txn_done(
    struct gb_node *, uint64_t call, const struct gb_pool_txn_res *);
void gb_node_read_done(
    struct gb_node *, uint64_t call, const struct gb_pool_read_res *);

/** Ports of a node whose connections are limited. */
enum gb_node_port {
	GB_NODE_FRONT,	 /**< for callers */
	GB_NODE_READY,	 /**< for health checks */
	GB_NODE_METRICS, /**< for metrics */
	GB_NODE_PEERS,	 /**< for other nodes */
	GB_NODE_PORTS
};

/** Log and count what was done as a limit of a port was reached. */
void gb_node_port_limited(
    struct gb_node *, enum gb_node_port, const struct conn_counts *);

/** Add the counters and histograms in the text format of Prometheus. */
void gb_node_metrics(struct gb_node *, struct gb_text *);

#endif
