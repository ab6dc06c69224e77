/**
 * @file pool_cell.h
 * Harness that runs pool cores against the model of the platform in virtual
 * time. Calls take time, get lost or arrive late, owners are killed, and the
 * store becomes unavailable. Times are in microseconds of virtual time.
 */
#ifndef TESTS_POOL_CELL_H
#define TESTS_POOL_CELL_H

#include "world.h"

/** Number of nodes, each of which runs a pool core. */
#define CELL_NODES 3
/** Largest number of organisations. */
#define CELL_ORGS 8
/** Largest number of workers. */
#define CELL_WORKERS_MAX 512
/** Weight of each organisation, in submissions per second: those beyond it wait
 * behind the others while the pool is full. */
#define CELL_WEIGHT 6

/** Injected faults, in percent of the calls concerned unless said otherwise. An
 * order is a call that starts or stops a run; an advice call asks the advice
 * service to approve workers for a step. */
struct pool_cell_faults {
	unsigned int order_lost;     /**< carried out, the answer is lost */
	unsigned int order_late;     /**< no answer, carried out 2 s later */
	unsigned int order_dropped;  /**< neither carried out nor answered */
	unsigned int heartbeat_lost; /**< carried out, the call fails when it is
					answered */
	unsigned int heartbeat_silent; /**< carried out, the call times out */
	unsigned int
	    heartbeat_late;    /**< the call times out, carried out 2 s later */
	unsigned int txn_lost; /**< committed, the answer is lost */
	unsigned int txn_late; /**< no answer, committed 2 s later */
	unsigned int advice_lost; /**< the answer is lost */
	/** Of so many advice calls the last one fails, as advice_failure says;
	 * 0: none. */
	unsigned int advice_fails_every;
	gb_advice_status advice_failure;
	gb_time advice_fails_after; /**< time until such a call has failed */
	bool down_workers_silent;   /**< workers that are down do not answer at
				all, in place of resetting connections */
	bool store_down;	    /**< the store refuses all calls */
	/** The store resets connections: calls are not carried out, which their
	 * callers cannot know. */
	bool store_resets;
	const char *invalid_flow; /**< id of a flow whose rows the store never
				     takes, null: none */
	gb_time store_delay; /**< added to each read, twice to each write */
	uint32_t
	    partitions_down; /**< bitmask of partitions that are unavailable */
	/** Bitmask of partitions where reads of the stored set of workers fail
	 * after a delay of 0.4 s. */
	uint32_t set_reads_fail;
};

/** Which calls between two sides of a cut are lost. */
enum pool_cell_cut {
	CUT_NONE,
	CUT_BOTH_WAYS, /**< calls are not carried out */
	CUT_ANSWERS    /**< calls are carried out, their answers are lost */
};

struct pool_cell_setup {
	uint64_t seed;
	unsigned int workers;	       /**< number of workers */
	gb_res capacity;	       /**< of each worker */
	unsigned int approved_percent; /**< workers approved by the advice
					  service, 0: no advice needed */
	gb_time decide_us;	       /**< time of an advice call */
	gb_time valid_us;	       /**< lifetime of a ticket */
	gb_time per_worker_us; /**< added to an advice call for each worker that
				it names */
	uint64_t link; /**< bytes per second of each node, 0: no limit */
	uint32_t disabled_features; /**< bitmask of disabled features */
};

/** A submission and its outcome, as its caller sees it. */
struct pool_cell_flow {
	gb_flow spec;
	uint64_t token; /**< of the last request about it */
	bool answered;
	bool accepted; /**< reported as accepted at some time */
	gb_flow_answer answer;
	gb_time submitted;
	gb_time finished_at; /**< when it was first reported as finished, 0: not
				yet */
	gb_flow_status status;
};

struct pool_cell {
	gb_time now;
	uint64_t seed; /**< state of the random numbers */
	struct pool_cell_setup setup;
	struct world *world;
	struct gb_pool *nodes[CELL_NODES];
	uint64_t incarnations[CELL_NODES];
	struct gb_link *links[CELL_NODES]; /**< outbound */
	struct pool_cell_faults faults;
	struct pool_cell_flow *flows;
	size_t flow_count;
	size_t flow_size;
	uint64_t next_token;
	struct pool_event *events; /**< calls in flight */
	size_t event_count;
	size_t event_size;
	struct gb_pool_config *config;
	char org[GB_NAME_MAX + 1]; /**< organisation of the next flows */
	struct gb_pool_org orgs[CELL_ORGS];
	size_t org_count;
	gb_time partition_free[GB_POOL_PARTITIONS]; /**< when each partition has
						       finished its writes */
	/** Each call to a worker uses a connection of its own, and nodes tick
	 * only every 0.1 s. */
	bool connection_per_call;
	/** For each node and worker: the process that the node has a connection
	 * to. */
	unsigned int (*connected)[CELL_WORKERS_MAX];
	/** Nodes besides those of the cell through which the owner can call the
	 * advice service. */
	unsigned int extra_members;
	bool members_gone; /**< each node can call it through itself alone */
	/** Cut between the nodes of the bitmask cut_nodes, with the first
	 * cut_workers workers, and the other nodes and workers and the
	 * store. */
	enum pool_cell_cut cut;
	unsigned int cut_nodes;
	unsigned int cut_workers;
	unsigned int paused; /**< bitmask of nodes that handle nothing */
	unsigned int starts; /**< orders to start a run that nodes have sent */
	unsigned int advice_calls;
	/** Length of the checkpoint in the last start order that had one. */
	size_t checkpoint_bytes;
	unsigned int large_rows; /**< writes with a row that is too large */
	/** When the owner last got the list of workers. A time in the future
	 * puts off the next list. */
	gb_time listed_at;
	unsigned int unlisted; /**< number of workers, from the first, listed as
				  removed */
	unsigned int invalid_entries; /**< number of workers, from the first,
					 whose entries are invalid */
	/** Number of extra entries, of a service that does not exist, at
	 * addresses where nothing answers. */
	unsigned int unknown_workers;
	bool wrong_addresses; /**< each entry names the address of the next
				 worker */
	/** Answers to reads take up bandwidth too, on an inbound link as fast
	 * as the outbound one. */
	bool inbound_limited;
	gb_time inbound_free_at[CELL_NODES]; /**< when each inbound link is idle
					     again */
	bool priorities; /**< lookups are more urgent than gangs, and these than
			    imports, from the next configuration on */
	bool restarts;	 /**< random faults restart workers under their ids */
	struct gb_events *events_log; /**< to stderr if GB_POOL_LOG is set */
	int log_fd;
};

/** Creates a cell in which no node owns the pool yet; to be freed with
 * pool_cell_free(). */
struct pool_cell *pool_cell_new(const struct pool_cell_setup *);
void pool_cell_free(struct pool_cell *);
/** Runs the cell for a duration of virtual time. */
void pool_cell_run(struct pool_cell *, gb_time duration);
/** Makes a node start to take over the pool, even from a working owner. */
void pool_cell_take_over(struct pool_cell *, unsigned int node);
/** Kills the process of a node and starts a new one without state. */
void pool_cell_kill(struct pool_cell *, unsigned int node);
/** Kills the owner of the pool, or node 0 if there is none, and makes a node
 * start to take over. */
void pool_cell_replace_owner(struct pool_cell *, unsigned int node);
/** Returns the number of the node that owns the pool, or CELL_NODES if none
 * does. */
unsigned int pool_cell_owner(const struct pool_cell *);

/** Creates a cell whose node 0 owns the pool; to be freed with
 * pool_cell_free(). */
struct pool_cell *pool_cell_begin(const struct pool_cell_setup *);
/** Number of accepted flows that have neither finished nor a running task. */
unsigned int pool_cell_idle_count(const struct pool_cell *);
/** Asserts that the oracle of the model has found no violation of a guarantee.
 * Incomplete gangs and starts without a ticket are not checked. */
void pool_cell_assert_no_violation(const struct pool_cell *);
/** Sets the quota of an organisation in thousandths of a processor and MB of
 * memory, 0: none, and sends all nodes a new version of the configuration. The
 * key of the organisation is its name. */
void pool_cell_quota(
    struct pool_cell *, const char *org, int64_t cpu, int64_t mem);
/** Sends all nodes a new version of the configuration. */
void pool_cell_configure(struct pool_cell *);
/** Submits a flow of two tasks of 1 s to the queue of lookups; returns its
 * number. */
size_t pool_cell_submit_lookup(struct pool_cell *);

/** Submits the flow drafted by the preceding calls of pool_cell_step_add() to
 * the owner; returns its number. `spec` is the specification of its tasks, in
 * the format that world.h describes. */
size_t pool_cell_submit(
    struct pool_cell *, const char *queue, const char *spec);
/** The same without sending it; pool_cell_resubmit() sends it. */
size_t pool_cell_prepare(
    struct pool_cell *, const char *queue, const char *spec);
/** Adds a step of `count` tasks to the flow that is submitted next; `after` is
 * the step that it waits for, -1: none. `cpu` is in thousandths of a processor,
 * `work` the estimated duration of a task, `flags` are bits GB_STEP_*. */
void pool_cell_step_add(struct pool_cell *, uint32_t count, int cpu,
    gb_time work, uint32_t flags, int after);
/** Submits a flow once more, as a caller that got no answer does. Without an
 * owner nothing is sent. */
void pool_cell_resubmit(struct pool_cell *, size_t flow);
void pool_cell_cancel(struct pool_cell *, size_t flow);
/** Asks the owner about a flow on behalf of the caller named in the request,
 * then runs the cell for a time. An answer that arrives by then is in the
 * flow. */
void pool_cell_ask(
    struct pool_cell *, size_t flow, const gb_flow_ask *, gb_time duration);
/** Verdict of the owner on a request for the state of a flow. */
gb_flow_verdict pool_cell_verdict(struct pool_cell *, size_t flow);
/** State of a flow as reported by the owner, GB_FLOW_UNKNOWN if there is no
 * owner. */
gb_flow_status pool_cell_state(struct pool_cell *, size_t flow);

#endif
