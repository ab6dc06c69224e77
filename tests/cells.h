/**
 * @file cells.h
 * A simulated cell: several real scheduler cores on models of the table
 * service, the workers and the network, under a virtual clock.  It has two data
 * centres, a and b, with one shard each.  An oracle checks the guarantees of
 * the scheduler after every step of the clock.
 */
#ifndef CELLS_H
#define CELLS_H

#include "gooseberry.h"
#include "store_model.h"
#include "worker_model.h"

#define CORES 3
#define WORKERS 6
#define STORE_NODE (CORES + WORKERS)
#define NODES (STORE_NODE + 1)
/** Virtual time between two steps. */
#define STEP_TIME (10 * GB_MSEC)
/** Requests, commands and jobs of a run that the oracle can record. */
#define TRACKED_MAX 600

/** Point of the work at which a fault of the matrix is injected. */
enum fault_point {
	AT_NONE,
	AT_SUBMIT,   /**< a caller submits a job */
	AT_COMMIT,   /**< the table service has written a shard's log */
	AT_PLACE,    /**< a core sends starts to a worker */
	AT_START,    /**< a worker receives starts */
	AT_RUN,	     /**< a worker reports a running task */
	AT_END,	     /**< a worker reports a task that succeeded */
	AT_ANSWER,   /**< a core answers a caller */
	AT_DRAIN,    /**< an operator drains a worker, or ends its drain */
	AT_TAKEOVER, /**< the table service has written a shard's owner */
	AT_ACCEPT,   /**< the table service has written a document change */
	AT_SPREAD,   /**< a core learns of a newer change from a peer */
	AT_POINT_COUNT
};

struct message;

/** Record of the oracle on a request, a command or a job. */
struct tracked {
	uint64_t id;   /**< id that its answer carries; 0: none */
	uint32_t core; /**< core that it was sent to */
	bool job;      /**< a command on a job or a worker */
	bool idempotent;
	bool keyed; /**< a request with an idempotency key */
	bool answered;
	gb_answer answer; /**< without its body */
	uint64_t job_id;
	uint32_t tasks;
	uint32_t starts;	   /**< starts of its tasks, in all shards */
	char name[24];		   /**< also the body of a request */
	unsigned int execs;	   /**< times that a worker began to run it */
	unsigned int execs_before; /**< execs when it was last repeated */
	uint64_t wants;		   /**< unused */
	bool apply;		   /**< submits a version of the document */
	bool cancel;		   /**< cancels a job, or drains a worker */
};

/** A scheduler process. */
struct core_node {
	struct cells *cells;
	struct gb_core *core; /**< null: the process does not run */
	uint64_t incarnation;
	gb_time paused_until;
	gb_time delay;	    /**< added to every message it sends */
	bool leaving;	    /**< the core has asked to exit */
	uint64_t seen_vers; /**< version of the document it used last */
};

struct worker_node {
	struct worker_model *model;
	struct cells *cells;
	uint64_t incarnation;
	gb_time offset; /**< its clock minus virtual time, without drift */
	int64_t drift;	/**< drift of its clock, per mille */
	gb_time paused_until;
	gb_instance_state state;
	gb_time left_at; /**< last change of state */
	char name[16];
	uint32_t index;
};

/** A job that runs tasks in another shard, lent by the job that is its
 * parent. */
struct lent_job {
	uint64_t id;
	uint64_t parent;
};

/** Number of starts of a task. */
struct task_starts {
	uint64_t job;
	uint32_t index;
	unsigned int times;
};

struct cells {
	gb_time now;
	uint64_t seed;
	struct core_node cores[CORES];
	struct worker_node workers[WORKERS];
	struct store_model *store;
	bool cut[NODES][NODES]; /**< [from][to]: messages are dropped */
	bool store_down;
	gb_time store_delay;		 /**< added to its answers */
	unsigned int store_lost_answers; /**< number of transactions to apply
					      without an answer */
	gb_time service_time;  /**< run time of a request; 0: default */
	struct message *queue; /**< in flight, by time of delivery */
	uint64_t next_message;
	struct tracked tracked[TRACKED_MAX];
	unsigned int tracked_count;
	struct task_starts starts[4 * TRACKED_MAX];
	unsigned int start_count;
	struct lent_job lent_jobs[4 * TRACKED_MAX];
	unsigned int lent_job_count;
	uint64_t in_force;   /**< newest version of the document that a core
				reported to be in force in the cell */
	unsigned int names;  /**< number in the last generated name */
	char violation[256]; /**< first violation of a guarantee; empty: none */
	/* Fault matrix: the fault is injected once, at the first time that the
	 * point is reached. */
	enum fault_point fault_at;
	void (*inject)(struct cells *, uint32_t core, uint32_t worker);
	bool injected;
};

/** Create a cell whose nodes all run; all that is random depends on the seed.
 * Release it with cells_free. */
struct cells *cells_new(uint64_t seed);
void cells_free(struct cells *);
/** Run for a span of virtual time, up to the first violation. */
void cells_run(struct cells *, gb_time);
/** End all faults, run until all work can have ended, and check that every
 * caller was answered and that every accepted job has ended. */
void cells_finish(struct cells *);

/** Submit a job of a kind: 0 idempotent batch, 1 batch that isn't idempotent, 2
 * gang, 3 batch that isn't idempotent and that only data centre b may run, and
 * the services "long" (4) and "slow" (5), whose documents a test has to apply.
 */
void cells_submit(
    struct cells *, uint32_t core, unsigned int kind, uint32_t tasks);
/** Cancel a job, counted back from the job that was submitted last (0). */
void cells_cancel(struct cells *, unsigned int n);
/** Send a request: 0 idempotent, 1 not idempotent, 2 with a key. */
void cells_request(struct cells *, uint32_t core, unsigned int kind);
/** Repeat an answered request with a key, counted back from the last (0). */
void cells_repeat(struct cells *, uint32_t core, unsigned int n);
/** Submit the version of the document that follows the one the core has. */
void cells_apply(struct cells *, uint32_t core);
/** Ask a core to drain a worker, or to end its drain. */
void cells_drain(struct cells *, uint32_t core, uint32_t worker, bool drain);
/** End a core's process.  Its callers take their calls as possibly run. */
void cells_kill(struct cells *, uint32_t core);
/** Start a core that doesn't run, as a new process incarnation. */
void cells_start(struct cells *, uint32_t core);
/** Ask a core to hand over its shards and to exit. */
void cells_leave(struct cells *, uint32_t core);
/** Pause a core's process for a span of virtual time; 0 resumes it. */
void cells_pause(struct cells *, uint32_t core, gb_time);
/** Pause a worker, and its tasks with it, for a span of virtual time. */
void cells_pause_worker(struct cells *, uint32_t worker, gb_time);
/** Drop all messages in one direction, or stop doing so.  Nodes are numbered:
 * cores, workers, table service. */
void cells_cut(struct cells *, uint32_t from, uint32_t to, bool);
/** Replace a worker by a new incarnation, which runs nothing. */
void cells_worker_restart(struct cells *, uint32_t worker);
/** Set a worker's state in the list of instances.  One that is gone has ended
 * with all its tasks and doesn't return. */
void cells_worker_state(struct cells *, uint32_t worker, gb_instance_state);
/** Whether a core that runs owns the shard. */
bool cells_owned(const struct cells *, uint32_t shard);
/** Running core that owns the shard, or GB_NONE. */
uint32_t cells_owner(const struct cells *, uint32_t shard);

#endif
