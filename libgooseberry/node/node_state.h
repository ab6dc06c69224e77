/**
 * @file node_state.h
 * State of a node, shared by the files that make it up.
 */
#ifndef GB_NODE_STATE_H
#define GB_NODE_STATE_H

#include <sys/queue.h>

#include <uthash.h>
#include <uv.h>

#include "node.h"
#include "owner_monitor.h"
#include "shed.h"
#include "watch.h"

/** Marks calls of the node itself among those of the pool core. */
#define NODE_CALL (UINT64_C(1) << 62)

/** An owner that was not heard for this long is not asked: it answers a hello
 * each 0.2 s. */
#define NODE_OWNER_SILENCE (600 * GB_MSEC)

struct node_member {
	UT_hash_handle hh;
	char addr[GB_NAME_MAX + 1];
	gb_time last_heard;
	uint64_t incarnation; /**< of its process */
	/** When that process started, by its first hello: ages that come later
	 * differ by the way they took, and ranks must not change by that. */
	gb_time started;
	uint64_t config;
	gb_time behind; /**< since then it has an older configuration, 0 */
	bool leaving;
	uint32_t cpu_milli;
	uint32_t rank; /**< in the order of succession */
};

/** What the end of a call of the node's own has to go on with. */
struct node_call {
	UT_hash_handle hh;
	uint64_t id;
	void (*txn_done)(struct node_call *, const struct gb_pool_txn_res *);
	void (*read_done)(struct node_call *, const struct gb_pool_read_res *);
	struct gb_node *node;
	void *data;
	gb_time sent;
};

/** A caller's request that is on its way. */
struct intake {
	TAILQ_ENTRY(intake) next;
	struct gb_node *node;
	gb_flow_submit *submit; /**< or null, and then ask holds */
	gb_flow_ask ask;
	gb_time began;
	gb_time deadline;
	gb_time next_try;
	bool in_flight; /**< a try is out */
	bool
	    answered; /**< its caller has its answer; waits for the try's end */
	bool maybe;   /**< an earlier try may have been carried out */
	bool stored_once; /**< this node tried the store for an owner */
	unsigned int tries;
	gb_node_answer answer;
	void *data;
};

TAILQ_HEAD(intakes, intake);

/** A caller of the pool core, here or at a peer. */
struct node_caller {
	UT_hash_handle hh;
	uint64_t token;
	struct gb_rpc_call *call; /**< of a peer, or null */
	struct intake *intake;
};

/** The owner hands the pool to a member. */
struct node_handover {
	bool under_way;
	bool begun; /**< the member has said that it claims the pool */
	char to[GB_NAME_MAX + 1];
	unsigned int tries; /**< members asked */
	uint64_t epoch;	    /**< of this owner */
	gb_time until;
};

struct gb_node {
	uv_loop_t *loop;
	uv_timer_t tick;
	uint32_t partition_asked; /**< part of the tables that is asked next */
	bool busy_tick;		  /**< ticks as often as an owner does */
	bool link_full;		  /**< as it was last told */
	const struct gb_env *env;
	struct gb_events *events;
	struct gb_node_settings settings;
	struct gb_node_platform platform;
	struct gb_pool *pool;
	struct gb_rpc_pool *peers;
	struct gb_rpc_server *server;
	struct watch watch;
	struct owner_monitor owner_monitor;
	uint64_t incarnation;
	struct shed shed; /**< while this node owns the pool */
	uint64_t sheds;	  /**< flows that were turned away for it */
	uint32_t
	    shed_told;	/**< the share that the owner has told, in percent */
	int64_t budget; /**< bytes of flows that may be stored for an owner */
	gb_time budget_at;
	uint32_t cpu_milli; /**< processor of this node */
	gb_time owned_at;   /**< when it last gained the pool */
	struct gb_pool_config *config;
	char *config_text;
	size_t config_len;
	uint64_t
	    config_newest_known; /**< newest version that another node has */
	gb_time config_newest_known_at; /**< when it was first heard of */
	uint64_t configs_unreadable;
	uint64_t orgs_bad; /**< organisations and keys that were left out */
	gb_time push_at;   /**< no configuration is sent to a member before */
	gb_time owner_behind; /**< since then the owner's is older, 0 */
	bool owner_told;      /**< this node's is on its way to the owner */
	uint64_t told_epoch;  /**< owner that it was last sent to */
	uint64_t told_config; /**< version that was */
	gb_time tell_at;      /**< the same is not sent again before */
	struct node_member *members; /**< the owner's: those that say hello */
	uint64_t members_vers;	     /**< grows when one comes or goes */
	gb_time members_at;	     /**< the list is looked through then */
	uint32_t largest_milli;	     /**< processor of the largest member */
	uint32_t ranked;	     /**< members with a rank */
	char (*known)[GB_NAME_MAX + 1]; /**< others: told by the owner */
	size_t known_count;
	uint64_t known_vers; /**< version of that list, as the owner has it */
	struct node_call *calls;
	unsigned int
	    store_losses; /**< calls in a row that did not come through */
	gb_time store_probe_at;
	bool store_probing;
	struct node_caller *callers;
	uint64_t next_id;
	struct intakes intakes;
	gb_time started;
	uint32_t
	    disabled_features; /**< mechanisms that are switched off, as bits */
	struct node_handover handover;
	bool leaving;
	bool released;	  /**< gave the pool up: the next may take it at once */
	gb_time leave_by; /**< all callers are answered by then */
};

gb_time node_now(void);
uint64_t node_call_new(struct gb_node *, void *data,
    void (*txn_done)(struct node_call *, const struct gb_pool_txn_res *),
    void (*read_done)(struct node_call *, const struct gb_pool_read_res *));

/** Another node has this version of the configuration. */
void node_config_announced(struct gb_node *, uint64_t version);

/** Whether the store does not answer this node for now. */
bool node_store_unavailable(const struct gb_node *);

/** Whether a mechanism is in use. */
#define NODE_USES(node, feature) \
	(((node)->disabled_features & (UINT32_C(1) << (feature))) == 0)

/* intake.c */
void intake_tick(struct gb_node *);
/** The pool core answered. */
void intake_answered(struct intake *, const gb_flow_answer *);

/* handover.c */
/** Ask a member to take the pool over; false when none can. */
bool node_handover_begin(struct gb_node *);
void node_handover_tick(struct gb_node *);
/** A member that is much larger should own the pool. */
void node_handover_to_larger(struct gb_node *);
/** The pool was lost; tells whether to a member that was asked to take it.  The
 * epoch is the newest that is known. */
bool node_handover_done(struct gb_node *, uint64_t epoch);
void node_serve_succeed(
    struct gb_node *, struct gb_rpc_call *, const gb_succeed *);

/* members.c */
/** A member said hello to this owner. */
struct node_member *node_member_hello_received(
    struct gb_node *, const gb_hello *);
/** Tell a member its rank, and of the others, unless it has this version of the
 * list.  The names that are pointed to last until the next call. */
void node_members_fill(struct gb_node *, const struct node_member *,
    uint64_t known, gb_hello_res *);
/** The pool was lost: the members that this owner knew are those that it asks
 * about the next one. */
void node_members_keep(struct gb_node *);
/** Order the members by how well they would own the pool; returns how many of
 * them could.  There is room for all members. */
size_t node_members_order(struct gb_node *, struct succession_member *);

/* metrics.c */
bool node_metrics_serve(struct gb_node *, struct gb_error *);

/* peers.c */
void node_serve(void *, struct gb_rpc_call *, uint32_t proc, void *arg);
void node_hello(struct gb_node *);
void node_poll_members(struct gb_node *);

#endif
