/**
 * @file node_state.h
 * State of a node, shared by the source files of the node.
 */
#ifndef GB_NODE_STATE_H
#define GB_NODE_STATE_H

#include <sys/queue.h>

#include <uthash.h>
#include <uv.h>

#include "connection/conn_set.h"
#include "link_monitor.h"
#include "node.h"
#include "owner_monitor.h"
#include "refusals.h"
#include "shed.h"
#include "watch.h"

/** Flag in the number of a call that the node itself has made; calls of the
 * pool core do not have it. */
#define NODE_CALL (UINT64_C(1) << 62)

/** An owner that has not answered for this long is sent no requests, and counts
 * as unreachable in votes.  Hellos are sent to it every 0.2 s. */
#define NODE_OWNER_SILENCE (600 * GB_MSEC)

/** A member as the owner knows it from its hellos. */
struct node_member {
	UT_hash_handle hh;
	char addr[GB_NAME_MAX + 1];
	gb_time last_heard;
	uint64_t incarnation; /**< of its process */
	/** When that process started, computed from its first hello only: later
	 * hellos differ by their delays on the network, and ranks must not
	 * change by that. */
	gb_time started;
	uint64_t config; /**< version of its configuration */
	bool leaving;	 /**< its process is stopping */
	uint32_t cpu_milli;
	uint32_t rank; /**< in the order of succession */
};

/** Context of a call to the store that the node itself has made. */
struct node_call {
	UT_hash_handle hh;
	uint64_t id;
	void (*txn_done)(struct node_call *, const struct gb_pool_txn_res *);
	void (*read_done)(struct node_call *, const struct gb_pool_read_res *);
	struct gb_node *node;
	void *data;
	gb_time sent;
};

/** A caller's request that is in progress. */
struct intake {
	TAILQ_ENTRY(intake) next;
	struct gb_node *node;
	gb_flow_submit *submit; /**< a submission; null: the request is `ask` */
	gb_flow_ask ask;
	gb_time began;
	gb_time deadline;
	gb_time next_try;   /**< earliest time of the next attempt */
	bool in_flight;	    /**< an attempt is in flight */
	bool answered;	    /**< the caller has its answer, but the attempt in
			       flight has not ended */
	bool maybe_done;    /**< an earlier attempt may have been carried out */
	bool counted;	    /**< counts as stored by this node */
	bool tried_store;   /**< this node has tried to store it in place of an
			       owner that has lost the store */
	unsigned int tries; /**< attempts so far */
	gb_node_answer answer;
	void *data;
};

TAILQ_HEAD(intakes, intake);

/** A request to the pool core, or a member's call to the advice service, that
 * waits for its answer. */
struct node_request {
	UT_hash_handle hh;
	uint64_t token;		  /**< number that the answer comes with */
	struct gb_rpc_call *call; /**< of a peer; null: the intake is set */
	struct intake *intake;	  /**< request of a caller of this node */
};

/** Handover of the pool from this owner to a member. */
struct node_handover {
	bool in_progress;
	bool begun; /**< the member has answered that it claims the pool */
	char to[GB_NAME_MAX + 1]; /**< address of the member */
	unsigned int tries;	  /**< members asked so far */
	uint64_t epoch;		  /**< of this owner */
	gb_time deadline;	  /**< it has failed after this */
};

/** Fetch of a newer configuration from another node. */
struct config_fetch {
	struct gb_rpc_client *client; /**< while a fetch is in flight */
	char from[GB_NAME_MAX + 1];   /**< node that it asks */
	/** Node that the owner has named as having the version, or empty. */
	char named[GB_NAME_MAX + 1];
	gb_time next_at;	  /**< earliest time of the next fetch */
	uint64_t unreadable;	  /**< version that could not be decoded */
	gb_time unreadable_until; /**< it is not fetched again before */
};

/** Compressed form of the configuration, for other nodes. */
struct config_packed {
	uint64_t version; /**< 0: none was compressed yet */
	char *data;
	size_t len;
	/** Until then answers use their share of the link. */
	gb_time served_until;
};

struct gb_node {
	uv_loop_t *loop;
	uv_timer_t tick;
	/** Partition to read the owner's row from next, modulo their number. */
	uint32_t next_partition;
	uint32_t row_partition; /**< that the last read of it was sent to */
	bool busy_tick;		/**< ticks at the short interval */
	const struct gb_env *env;
	struct gb_events *events;
	struct gb_node_settings settings;
	struct gb_node_platform platform;
	struct gb_pool *pool;
	struct gb_rpc_pool *peers;
	struct gb_rpc_server *server;
	struct watch watch;
	struct owner_monitor owner_monitor;
	struct link_monitor link_monitor;
	uint64_t incarnation;
	struct shed shed;    /**< while this node owns the pool */
	uint64_t flows_shed; /**< flows rejected by load shedding */
	struct refusals refusals;
	struct conn_counts ports[GB_NODE_PORTS];
	/** Percentage of new flows to reject, as received from the owner. */
	uint32_t owner_shed_percent;
	/** Bytes of flows that this node may still store while the pool has no
	 * owner. */
	int64_t budget;
	/** Memory of the flows that this node has stored since an owner last
	 * accepted one. */
	size_t stored_bytes;
	/** The last owner that answered had a full link. */
	bool owner_link_was_full;
	size_t members_most; /**< largest number of known_members recently */
	gb_time members_most_at;
	gb_time budget_at;	  /**< when the budget was last increased */
	uint32_t cpu_milli;	  /**< processor of this node in milli-cores */
	gb_time owned_at;	  /**< when it last gained the pool */
	uint32_t connections_max; /**< to workers, 0: no limit */
	size_t members_limited;	  /**< members for which the limits are set */
	struct gb_pool_config *config;
	char *config_text; /**< the same in the stored form */
	size_t config_len;
	uint64_t config_newest_known;	/**< newest version of another node */
	gb_time config_newest_known_at; /**< when it was first announced */
	uint64_t configs_unreadable;
	uint64_t orgs_bad; /**< organisations and keys that were invalid */
	struct config_fetch fetch;
	struct config_packed packed;
	struct node_member *members; /**< of an owner: nodes that send hellos */
	uint64_t members_vers; /**< grows when a member is added or removed */
	gb_time members_update_at; /**< next update of the members and ranks */
	uint32_t largest_milli;	   /**< milli-cores of the largest member */
	uint32_t ranked;	   /**< members with a rank */
	/** Addresses of the other members, as received from the owner. */
	char (*known_members)[GB_NAME_MAX + 1];
	size_t known_members_count;
	uint64_t known_members_vers; /**< the owner's version of that list */
	/** Owner from which this node took the pool over, or empty. */
	char former_owner[GB_NAME_MAX + 1];
	/** Known members that this owner has told of its ownership. */
	size_t members_told;
	struct node_call *calls;
	unsigned int store_failures; /**< failed store calls in a row */
	gb_time store_probe_at;	     /**< earliest time of the next probe */
	bool store_probing;	     /**< a probe is in flight */
	struct node_request *requests;
	uint64_t next_id; /**< last number given to a call or caller */
	struct intakes intakes;
	gb_time started;
	uint32_t disabled_features; /**< one bit for each feature */
	struct node_handover handover;
	bool leaving; /**< the process is stopping */
	/** Has released the pool, so that a successor may claim it at once. */
	bool released;
	gb_time leave_by; /**< all callers are answered by then */
};

/** Clock of the node, in microseconds. */
gb_time node_now(void);
/** Silence of an owner from which on it is sent no requests. */
gb_time node_owner_silence_max(const struct gb_node *);
/** Percentage of new flows that members are to reject for this owner; above 0
 * while its link is full. */
uint32_t node_shed_percent(const struct gb_node *);
/** Register a call to the store and return its number.  The function for the
 * kind of the call is called at its end; the other one is null. */
uint64_t node_call_new(struct gb_node *, void *data,
    void (*txn_done)(struct node_call *, const struct gb_pool_txn_res *),
    void (*read_done)(struct node_call *, const struct gb_pool_read_res *));

/* ports.c */
/** Set the limits of the port for other nodes, of which so many are known. */
void node_peers_limit(struct gb_node *, size_t members);
/** Add the metrics of the limits of all ports. */
void node_ports_metrics(const struct gb_node *, struct gb_text *);

/* node_config.c */
/** Put a configuration into force if it is newer than the present one.
 * @param from address of the node that sent it, or "store", for the log
 */
void node_config_received(
    struct gb_node *, const char *text, size_t, const char *from);
/** Note that another node has this version of the configuration. */
void node_config_announced(struct gb_node *, uint64_t version);
/** Time since this node learned that another one has a newer version; 0: none
 * has. */
gb_time node_config_behind_for(const struct gb_node *);
/** Whether the owner tells this node of newer configurations with its answers
 * to hellos, and the node has all that it was told of. */
bool node_learns_configs_from_owner(const struct gb_node *, gb_time now);

/* config_fetch.c */
/** Fetch a newer configuration from another node, if that is due. */
void node_config_fetch_tick(struct gb_node *);
/** Serve another node's fetch. */
void node_serve_config_fetch(
    struct gb_node *, struct gb_rpc_call *, const gb_config_ask *);
/** Choose a node that has the configuration of this owner, for a member with an
 * older version; empty if the member's is not older. */
const char *node_config_source(struct gb_node *, uint64_t version);

/** Whether the last calls of this node to the store have failed. */
bool node_store_unavailable(const struct gb_node *);

/** Whether a feature is enabled. */
#define NODE_USES(node, feature) \
	(((node)->disabled_features & (UINT32_C(1) << (feature))) == 0)

/* intake.c */
/** Start the attempts that are due and answer requests whose time is up. */
void intake_tick(struct gb_node *);
/** Handle an answer of the pool core, on this node or on the owner. */
void intake_answered(struct intake *, const gb_flow_answer *);

/* handover.c */
/** Ask a member to take the pool over; false when none can. */
bool node_handover_begin(struct gb_node *);
/** End a handover whose claim has not come in time. */
void node_handover_tick(struct gb_node *);
/** Begin a handover if the processor of a member is at least half again as
 * large as that of this node. */
void node_handover_to_larger(struct gb_node *);
/** Complete the handover in progress, if any: this node has lost the pool.
 * @param epoch the newest that is known
 * @return whether a handover was in progress
 */
bool node_handover_done(struct gb_node *, uint64_t epoch);
/** Serve an owner's request to take the pool over. */
void node_serve_succeed(
    struct gb_node *, struct gb_rpc_call *, const gb_takeover_request *);

/* members.c */
/** Update what this owner knows of a member from its hello. */
struct node_member *node_member_hello_received(
    struct gb_node *, const gb_hello *);
/** Fill in a member's rank and, unless `known` is the current version of it,
 * the list of members.  The addresses in the list belong to the node and are
 * valid until the next call. */
void node_members_fill(struct gb_node *, const struct node_member *,
    uint64_t known, gb_hello_res *);
/** Keep the members that this node knows as the owner, when it loses the pool:
 * it may poll them about the next owner. */
void node_members_keep_known(struct gb_node *);
/** Write the members that can own the pool, the most suitable first, and return
 * their number.  The array must have space for all members. */
size_t node_members_order(struct gb_node *, struct succession_member *);

/* metrics.c */
/** Serve the metrics over HTTP.  Returns false with an error when the address
 * of the settings can't be used. */
bool node_metrics_serve(struct gb_node *, struct gb_error *);

/* peers.c */
/** Serve a call of another node. */
void node_serve(void *, struct gb_rpc_call *, uint32_t proc, void *arg);
/** Send a hello to the owner. */
void node_hello(struct gb_node *);
/** Poll some members about the owner. */
void node_poll_members(struct gb_node *);
/** Ask some members who owns the pool. */
void node_inquire_owner(struct gb_node *);
/** Tell the known members that this node owns the pool: some of them at each
 * call, until all were told. */
void node_tell_members(struct gb_node *);

#endif
