/**
 * @file world.h
 * Model of the users' platform, without I/O: tables, workers and the advice
 * service, with an oracle of what must never happen.  The pool's tests drive
 * it directly; the emulator serves it over HTTP.
 */
#ifndef STANDIN_WORLD_H
#define STANDIN_WORLD_H

#include "pool.h"

/** What must never happen, counted as the workers see it. */
struct world_faults {
	unsigned int
	    twice; /**< a task ran twice at once, or after it was done */
	unsigned int limit;  /**< a worker was given more than it holds */
	unsigned int order;  /**< a step began before those it comes after */
	unsigned int budget; /**< a task ran again after all its attempts, or
				  went on crashing workers */
	unsigned int alone;  /**< a gang was never complete */
	unsigned int ticket; /**< a start without a ticket that holds */
	unsigned int
	    spread; /**< more tasks of a step on one worker than may be */
	unsigned int quota; /**< an organisation was given more than it may */
	char text[200];	    /**< of the first */
};

struct world;

struct world *world_new(uint64_t seed);
void world_free(struct world *);
/** Let time pass: runs go on and end.  Times are microseconds. */
void world_tick(struct world *, gb_time now);
const struct world_faults *world_faults(const struct world *);

/* Workers ----------------------------------------------------------------- */

/** Add a worker of a service; returns its number. */
unsigned int world_worker_add(struct world *, const char *service,
    const char *dc, unsigned int rack, const gb_res *capacity, double speed);
unsigned int world_worker_count(const struct world *);
/** Give a worker the address under which orders name it. */
void world_worker_place(struct world *, unsigned int number, const char *addr);
const char *world_worker_addr(const struct world *, unsigned int number);
/** Entry of the list of workers. */
void world_worker_entry(
    const struct world *, unsigned int number, struct gb_pool_entry *);
/** Whether the worker's process runs. */
bool world_worker_up(const struct world *, unsigned int number);
/** The worker's process ends; all that runs on it is gone. */
void world_worker_crash(struct world *, unsigned int number);
/** Its data centre, as it is listed from now on. */
void world_worker_dc(struct world *, unsigned int number, const char *dc);
/** A new lifetime at the same address, under another id. */
void world_worker_reborn(struct world *, unsigned int number);
/** The worker starts again under its id: it knows nothing of before, and its
 * counts and its clock begin anew. */
void world_worker_restart(struct world *, unsigned int number);
/** Another process at the worker's address, under an id that may have been used
 * before. */
void world_worker_rename(struct world *, unsigned int number, const char *id);
/** From now on workers don't tell when they started: in their reports, and in
 * their entries. */
void world_incarnations_unknown(struct world *, bool reports, bool entries);
/** Set the time of day forward or back, by which workers tell their start. */
void world_clock_step(struct world *, gb_time);
/** Number of the process that serves an address; a connection to one ends with
 * it.  0 when nobody is there. */
unsigned int world_worker_process(const struct world *, const char *addr);
/** The worker has more or less room from now on; what runs goes on. */
void world_worker_resize(
    struct world *, unsigned int number, const gb_res *capacity);
/** From then on after it has shrunk, starts that bring it over count. */
void world_shrunk_known(struct world *, gb_time after);
/** Everything that is started on it fails, or stands still. */
void world_worker_sick(
    struct world *, unsigned int number, bool failing, bool still);
void world_worker_drain(struct world *, unsigned int number);

/** Orders, as a worker carries them out.  The worker is found by its address.
 */
void world_start(
    struct world *, const struct gb_pool_order *, struct gb_pool_order_res *);
void world_stop(
    struct world *, const struct gb_pool_order *, struct gb_pool_order_res *);
/** The report is freed with world_report_free. */
void world_heartbeat(
    struct world *, const struct gb_pool_heartbeat *, struct gb_pool_report *);
void world_report_free(struct gb_pool_report *);

/** Tell the oracle what was submitted: what runs is compared with it. */
void world_submitted(
    struct world *, const gb_flow *, unsigned int max_attempts);
/** What an organisation may have running from now on, 0: no limit. */
void world_org_quota(
    struct world *, const char *org, const struct gb_pool_amount *);
/** From then on after a quota was lowered, starts beyond it count. */
void world_quota_known(struct world *, gb_time after);
/** Processors that an organisation has running, in thousandths. */
int64_t world_org_cpu(const struct world *, const char *org);
/** What the workers have seen of a flow. */
struct world_flow_view {
	unsigned int starts;
	unsigned int running;
	bool done;    /**< every task has ended done at some time */
	bool failed;  /**< a task or a gang has failed as often as it may */
	bool crashed; /**< two workers have crashed under one of its tasks */
	bool crashes; /**< it has a task that crashes its workers */
};
/** False when no such flow was submitted. */
bool world_flow_view(
    const struct world *, const char *id, struct world_flow_view *);
/** Number of a worker that runs one of its tasks, or the count of workers. */
unsigned int world_flow_worker(const struct world *, const char *id);
/** A task's work, told by its specification: "ms=500" and "fails=2" in it say
 * how long it takes on a worker of speed 1, and how often the first task of
 * each step fails. */

/* Advice ------------------------------------------------------------------ */

/** Share of workers that a step may run on, in percent. */
void world_advise(struct world *, unsigned int percent, gb_time valid,
    const gb_advice_ask *, gb_advice_res *);
void world_advice_free(gb_advice_res *);

/* Tables ------------------------------------------------------------------ */

/** Rows of the result are freed with world_txn_free. */
void world_txn(
    struct world *, const struct gb_pool_txn *, struct gb_pool_txn_res *);
void world_txn_free(struct gb_pool_txn_res *);
void world_read(
    struct world *, const struct gb_pool_read *, struct gb_pool_read_res *);
void world_read_free(struct gb_pool_read_res *);
unsigned int world_row_count(const struct world *, enum gb_pool_table);
/** The newest version of all tables, and a new one for rows kept elsewhere. */
uint64_t world_vers(const struct world *);
uint64_t world_vers_next(struct world *);

#endif
