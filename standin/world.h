/**
 * @file world.h
 * In-memory model of the users' platform: tables, workers and the advice
 * service.  Its oracle counts violations of the scheduler's guarantees.  The
 * pool's tests call it directly; the emulator serves it over HTTP.
 */
#ifndef STANDIN_WORLD_H
#define STANDIN_WORLD_H

#include "pool.h"

/** Violations of the scheduler's guarantees, as observed by the workers. */
struct world_violations {
	unsigned int
	    twice; /**< a task ran twice at once, or again after success */
	unsigned int limit;  /**< a worker ran more than its capacity */
	unsigned int order;  /**< a step began before one it depends on ended */
	unsigned int budget; /**< a task ran after its last attempt, or kept
				  crashing workers */
	unsigned int incomplete; /**< a gang timed out before it was complete */
	unsigned int ticket;	 /**< a start had no valid ticket */
	unsigned int
	    spread; /**< a worker ran more tasks of a step than allowed */
	unsigned int quota; /**< an organisation exceeded its quota */
	/** Description of the last violation; an incomplete gang is described
	 * only if it is the first one. */
	char text[200];
};

struct world;

/** Create a model without workers.  Release it with world_free. */
struct world *world_new(uint64_t seed);
void world_free(struct world *);
/** Advance the model to the time `now` in microseconds: runs make progress,
 * end, or lose their lease. */
void world_tick(struct world *, gb_time now);
const struct world_violations *world_violations(const struct world *);

/* Workers ----------------------------------------------------------------- */

/** Add a worker of a service.  `speed` 1 runs tasks in the time that their
 * specification gives.  Returns the worker's number. */
unsigned int world_worker_add(struct world *, const char *service,
    const char *dc, unsigned int rack, const gb_res *capacity, double speed);
unsigned int world_worker_count(const struct world *);
/** Longest checkpoint. */
#define WORLD_CHECKPOINT_MAX 200
/** Set the length that checkpoints have at least. */
void world_checkpoints_resize(struct world *, unsigned int bytes);
/** Set the longest lease that workers accept: a longer one is shortened.  By
 * default there is no limit. */
void world_lease_max_set(struct world *, gb_time);
/** Set the address by which orders name a worker. */
void world_worker_set_addr(
    struct world *, unsigned int number, const char *addr);
const char *world_worker_addr(const struct world *, unsigned int number);
/** Get a worker's entry in the platform's list of workers. */
void world_worker_entry(
    const struct world *, unsigned int number, struct gb_pool_entry *);
/** Whether the worker's process runs. */
bool world_worker_up(const struct world *, unsigned int number);
/** Let an end that a worker has listed count for good, also if the worker
 * terminates before it is acknowledged.  For tests in which no answer is lost;
 * otherwise a listed end may be unknown to the owner. */
void world_listed_ends_count(struct world *);
/** End the worker's process; its runs and its unacknowledged ends are lost. */
void world_worker_crash(struct world *, unsigned int number);
/** Set the data centre in the worker's entry. */
void world_worker_set_dc(struct world *, unsigned int number, const char *dc);
/** Replace the worker's process by one at the same address with a new id. */
void world_worker_replace(struct world *, unsigned int number);
/** Restart the worker's process under the same id: its state is lost, and its
 * counters and its clock start over. */
void world_worker_restart(struct world *, unsigned int number);
/** Replace the worker's process by one at the same address with the given id,
 * which may have been used before. */
void world_worker_rename(struct world *, unsigned int number, const char *id);
/** Omit the start time of workers, which tells their incarnations apart, from
 * their reports or from their entries. */
void world_start_times_omit(struct world *, bool reports, bool entries);
/** Move the time of day, which workers report as their start time, forward or
 * back by a number of microseconds. */
void world_clock_step(struct world *, gb_time);
/** Number of the process that serves an address, 0 if none does.  Connections
 * end with the process. */
unsigned int world_worker_process(const struct world *, const char *addr);
/** Change the worker's capacity; its runs continue. */
void world_worker_resize(
    struct world *, unsigned int number, const gb_res *capacity);
/** Set for how many microseconds after a worker's capacity is reduced a start
 * beyond it is no violation yet. */
void world_shrink_grace_set(struct world *, gb_time after);
/** Make all tasks on the worker fail, or stall without progress; with neither,
 * they run normally. */
void world_worker_impair(
    struct world *, unsigned int number, bool failing, bool stalled);
/** Set a worker's speed, as when it was added; its runs go on with it. */
void world_worker_set_speed(struct world *, unsigned int number, double speed);
/** Let a gang end with its slowest member, each of which advances at the speed
 * of its worker, instead of with the fastest. */
void world_gangs_wait_for_slowest(struct world *);
/** Mark the worker as draining in its entry, for as long as its process runs.
 */
void world_worker_drain(struct world *, unsigned int number);
/** The same for a worker that will terminate after a time, as its entry tells;
 * the caller crashes it then. */
void world_worker_leave(struct world *, unsigned int number, gb_time after);
/** End the draining of a worker that goes on. */
void world_worker_stay(struct world *, unsigned int number);

/** Carry out an order on the worker at the order's address. */
void world_start(
    struct world *, const struct gb_pool_order *, struct gb_pool_order_res *);
void world_stop(
    struct world *, const struct gb_pool_order *, struct gb_pool_order_res *);
/** Carry out a heartbeat.  Release the report with world_report_free. */
void world_heartbeat(
    struct world *, const struct gb_pool_heartbeat *, struct gb_pool_report *);
void world_report_free(struct gb_pool_report *);

/** Register a copy of a submitted flow with the oracle, which checks runs
 * against it. */
void world_flow_add(struct world *, const gb_flow *, unsigned int max_attempts);
/** Set an organisation's quota; an amount of 0 is no limit. */
void world_org_quota(
    struct world *, const char *org, const struct gb_pool_amount *);
/** Set for how many microseconds after a quota is lowered a start beyond it is
 * no violation yet. */
void world_quota_grace_set(struct world *, gb_time after);
/** CPU in use by an organisation, in thousandths of a core. */
int64_t world_org_cpu(const struct world *, const char *org);
/** State of a flow as observed by the workers. */
struct world_flow_view {
	unsigned int starts;
	unsigned int running;
	bool done;    /**< every task has succeeded once */
	bool failed;  /**< a task or a gang has used up its attempts */
	bool crashed; /**< two workers have crashed while running one task */
	bool crashes; /**< one of its tasks is specified to crash workers */
};
/** Get the state of a flow.  Returns false if it was not submitted. */
bool world_flow_view(
    const struct world *, const char *id, struct world_flow_view *);
/** Number of a worker that runs a task of the flow, or the count of workers if
 * none does. */
unsigned int world_flow_worker(const struct world *, const char *id);
/* Specification of a flow: "ms=500" is the duration of each task on a worker of
 * speed 1, "fails=2" how often the first task of each step fails, "crash=0" the
 * index of the tasks that crash their worker, "back=300" the milliseconds until
 * such a worker is up again, "vary=15" by how many percent tasks are shorter or
 * longer, "long=3" the percentage of tasks that take seven times as long. */

/* Advice ------------------------------------------------------------------ */

/** Approve a share of the workers for a step, in percent, with tickets that are
 * valid for a number of microseconds.  Starts need a ticket from then on.
 * Release the result with world_advice_free. */
void world_advise(struct world *, unsigned int percent, gb_time valid,
    const gb_advice_ask *, gb_advice_res *);
void world_advice_free(gb_advice_res *);

/* Tables ------------------------------------------------------------------ */

/** Apply a transaction.  Release the result with world_txn_free. */
void world_txn(
    struct world *, const struct gb_pool_txn *, struct gb_pool_txn_res *);
void world_txn_free(struct gb_pool_txn_res *);
/** Read rows in key order.  Release the result with world_read_free. */
void world_read(
    struct world *, const struct gb_pool_read *, struct gb_pool_read_res *);
void world_read_free(struct gb_pool_read_res *);
/** Number of rows of a table, in all partitions. */
unsigned int world_row_count(const struct world *, enum gb_pool_table);
/** Newest version of all tables. */
uint64_t world_vers(const struct world *);
/** Allocate a version for a row that is kept outside the model. */
uint64_t world_vers_next(struct world *);

#endif
