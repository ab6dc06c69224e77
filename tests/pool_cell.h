/**
 * @file pool_cell.h
 * Pool cores against the model of the platform, in virtual time: calls take
 * a while, get lost or come late, owners die, the store goes away.
 */
#ifndef TESTS_POOL_CELL_H
#define TESTS_POOL_CELL_H

#include "world.h"

#define CELL_NODES 3
#define CELL_ORGS 8
/** Workers at the most. */
#define CELL_KNOWN 512
/** Submissions a second that each organisation may send when all is full. */
#define CELL_WEIGHT 6

/** Faults in force, in percent of the calls they concern. */
struct pool_cell_faults {
	unsigned int order_lost;    /**< carried out, no answer */
	unsigned int order_late;    /**< no answer, carried out 2 s later */
	unsigned int order_dropped; /**< neither carried out nor answered */
	unsigned int heartbeat_lost;
	unsigned int heartbeat_silent; /**< its answer never comes */
	unsigned int heartbeat_late;   /**< no answer, carried out 2 s later */
	unsigned int txn_lost;	       /**< done, no answer */
	unsigned int txn_late;	       /**< no answer, done 2 s later */
	unsigned int advice_lost;
	bool workers_dark; /**< workers that are down answer nothing, in place
			      of resetting connections */
	bool store_down;
	bool store_resets;  /**< calls are not carried out, without an answer */
	gb_time store_slow; /**< added to each read, and twice to each write */
	uint32_t
	    partitions_down; /**< parts of the tables that are out, as bits */
	/** Parts whose set of workers is read for 0.4 s, and then not. */
	uint32_t set_reads_fail;
};

struct pool_cell_setup {
	uint64_t seed;
	unsigned int workers;
	gb_res capacity;
	unsigned int approved_percent; /**< 0: no advice needed */
	gb_time decide_us;
	gb_time valid_us;
	gb_time per_item_us; /**< more for each worker that is named */
	uint64_t link;	     /**< bytes a second of each node, 0: no limit */
	uint32_t
	    disabled_features; /**< mechanisms that are switched off, as bits */
};

/** What became of a submission, as its caller sees it. */
struct pool_cell_flow {
	gb_flow spec;
	uint64_t token;
	bool answered;
	bool accepted; /**< a caller was told so, at some time */
	gb_flow_answer answer;
	gb_time submitted;
	gb_time over; /**< when it was first shown as over, 0: not yet */
	gb_flow_status status;
};

struct pool_cell {
	gb_time now;
	uint64_t seed;
	struct pool_cell_setup setup;
	struct world *world;
	struct gb_pool *nodes[CELL_NODES];
	uint64_t incarnations[CELL_NODES];
	struct gb_link *links[CELL_NODES];
	struct pool_cell_faults faults;
	struct pool_cell_flow *flows;
	size_t flow_count;
	size_t flow_size;
	uint64_t next_token;
	struct pool_event *events;
	size_t event_count;
	size_t event_size;
	struct gb_pool_config *config;
	char org[GB_NAME_MAX + 1]; /**< of the flows that are submitted next */
	struct gb_pool_org orgs[CELL_ORGS];
	size_t org_count;
	gb_time
	    partition_free[GB_POOL_PARTITIONS]; /**< when its writes are over */
	/** Connections to workers end with each call, and nodes tick rarely. */
	bool closes;
	/** Processes of workers that nodes have connections to, by number. */
	unsigned int (*known)[CELL_KNOWN];
	unsigned int starts;
	unsigned int advice_calls;
	gb_time listed_at;
	unsigned int hidden;  /**< first workers that are not listed */
	unsigned int spoiled; /**< first workers whose entries are no good */
	/** More entries, of a service that there is not, where nobody is. */
	unsigned int strangers;
	bool moved; /**< entries name the address of the next worker */
	/** What is read comes over links of the same bandwidth. */
	bool link_in;
	gb_time link_in_free[CELL_NODES]; /**< when they are free again */
	bool restarts; /**< random faults start workers again under their id */
	struct gb_events
	    *events_log; /**< with GB_POOL_LOG set on standard error */
	int log_fd;
};

struct pool_cell *pool_cell_new(const struct pool_cell_setup *);
void pool_cell_free(struct pool_cell *);
void pool_cell_run(struct pool_cell *, gb_time how_long);
/** Let a node take the pool over from whoever has it. */
void pool_cell_take(struct pool_cell *, unsigned int node);
/** A node's process is killed and starts anew, knowing nothing. */
void pool_cell_kill(struct pool_cell *, unsigned int node);
/** Whoever owns the pool is killed, and a node takes it over. */
void pool_cell_replace_owner(struct pool_cell *, unsigned int node);
/** Number of the node that owns the pool, or CELL_NODES. */
unsigned int pool_cell_owner(const struct pool_cell *);

/** A cell whose first node owns the pool. */
struct pool_cell *pool_cell_begin(const struct pool_cell_setup *);
/** The oracle has seen no promise broken. */
void pool_cell_assert_unharmed(const struct pool_cell *);
/** Give an organisation a quota of processors, in thousandths, and of memory;
 * known to all nodes as a new version.  Its key is its name. */
void pool_cell_quota(
    struct pool_cell *, const char *org, int64_t cpu, int64_t mem);
/** Tell all nodes a new version. */
void pool_cell_configure(struct pool_cell *);
/** Submit two tasks of a second to the queue of lookups. */
size_t pool_cell_submit_lookup(struct pool_cell *);

/** Submit a flow to the owner; returns its number.  One step of `count` tasks
 * is added with each call of pool_cell_step before. */
size_t pool_cell_submit(
    struct pool_cell *, const char *queue, const char *spec);
void pool_cell_step(struct pool_cell *, uint32_t count, int cpu, gb_time work,
    uint32_t flags, int after);
/** Submit it once more, as a caller without an answer does. */
void pool_cell_submit_again(struct pool_cell *, size_t flow);
void pool_cell_cancel(struct pool_cell *, size_t flow);
/** Ask the owner about a flow as the caller that the question names, and let
 * time pass; the answer, if there is one by then, stands in the flow. */
void pool_cell_ask(
    struct pool_cell *, size_t flow, const gb_flow_ask *, gb_time how_long);
/** Whether the owner answers at all when it is asked for a state. */
gb_flow_verdict pool_cell_verdict(struct pool_cell *, size_t flow);
/** State as the owner shows it. */
gb_flow_status pool_cell_state(struct pool_cell *, size_t flow);

#endif
