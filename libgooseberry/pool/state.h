/**
 * @file state.h
 * Internal state of a pool core, shared by its source files.
 *
 * The files, from the entry points down: pool.c; owner.c, authority.c, rival.c,
 * load.c and page.c (ownership and loading); dispatch.c and advice.c (starting
 * work); worker.c, listing.c, incarnation.c, health.c and worker_set.c
 * (workers); flow.c, flow_state.c, report.c, run.c, late_start.c, announce.c
 * tombstone.c and crash.c (flows and runs); writer.c and probe.c (storing
 * changes); call.c and org.c. A lower file calls a higher one to look something
 * up, or when a result ends a run, a worker or the ownership.
 *
 * Decisions without side effects are in rank.c, fit.c, speed.c, reservation.c,
 * quota.c, share.c, usage.c, contention.c and admit.c.  preempt.c decides and
 * also stops runs through run.c.  pace.c asks the node how busy its link is,
 * backlog.c measures what a congested link gets done.
 */
#ifndef GB_POOL_STATE_H
#define GB_POOL_STATE_H

#include <sys/queue.h>

#include <uthash.h>

#include "org.h"
#include "pool.h"
#include "speed.h"

struct pool_flow;
struct pool_worker;

/** Workers in one row of the stored worker set: 48 bytes each, within the 64 KB
 * that a row may have.  The rows are enough for 32,000 workers. */
#define POOL_SET_ROW_WORKERS 500
#define POOL_SET_ROWS 64

/** Rate of the slowest worker clock that is allowed for, in thousandths of true
 * time. */
#define POOL_CLOCK_RATE_MIN 980
/** An owner numbers its runs from its epoch times this value, so that numbers
 * rise from owner to owner without being stored. */
#define POOL_RUNS_PER_EPOCH 100000

/** Fencing tokens of an owner start at its epoch times this value.  The token
 * for a worker is increased when orders sent to it before must no longer be
 * carried out. */
#define POOL_FENCES_PER_EPOCH (UINT64_C(1) << 20)
/** Added to the end of a lease, for coarse clocks and for the time that killing
 * a process takes. */
#define POOL_LEASE_MARGIN (300 * GB_MSEC)

/** Interval at which the owner's row is written.  It shows members that the
 * owner works, and tells the owner when it has lost the row or the store. */
#define POOL_OWNER_RENEW_INTERVAL (500 * GB_MSEC)

/** A late flow earns something until this many times its objective, by the
 * users' rules. */
#define POOL_LATE_FACTOR 3

/** Largest size of the stored state of a flow.  A row may have 64 KB, which may
 * be counted in base64. */
#define POOL_STATE_BYTES_MAX ((size_t)48 * 1024)
/** Part of it for announced starts of tasks without a run. */
#define POOL_ANNOUNCED_BYTES_MAX ((size_t)8 * 1024)

/** Maximum number of workers in one call of the advice service. */
#define POOL_ADVICE_WORKERS_MAX 100

/* Runs: a task on a worker ------------------------------------------------ */

enum pool_run_state {
	POOL_RUN_STARTING, /**< the start order is in flight */
	POOL_RUN_RUNNING,
	POOL_RUN_START_UNKNOWN, /**< the start order got no answer; the run may
				   start or have started */
	POOL_RUN_STOPPING
};

struct pool_run {
	TAILQ_ENTRY(pool_run) of_worker;
	TAILQ_ENTRY(pool_run) of_task;
	struct pool_flow *flow;
	uint32_t step;
	uint32_t index;
	uint64_t number; /**< run number; always rises */
	struct pool_worker *worker;
	enum pool_run_state state;
	gb_res res;
	uint64_t start_call;  /**< start order in flight, 0: none */
	unsigned int tries;   /**< start orders sent */
	unsigned int answers; /**< of these, orders that were answered */
	gb_time start_sent;   /**< when the last start order was sent */
	/** Change of the flow that records an order without an answer, 0: none.
	 * No further order is sent before it is stored. */
	uint64_t late_change;
	bool listed;	    /**< the worker has listed it as running or ended */
	bool retry_pending; /**< resend the start order once the link has
			       capacity and the incarnation is confirmed */
	uint64_t stop_call; /**< stop order in flight, 0: none */
	gb_time started;
	gb_time charged;   /**< expected run time charged by usage.c */
	gb_time confirmed; /**< when the worker first confirmed the start or
			      reported the run, 0: not yet */
	gb_time stopped;  /**< when the worker confirmed the stop, 0: not yet */
	gb_time stop_at;  /**< when to retry a stop without answer */
	gb_time lapse_at; /**< after this, a start order without answer can no
			     longer take effect */
	uint32_t percent; /**< reported progress */
	gb_time progress_at; /**< when percent last changed */
	bool adopted;	     /**< started by an earlier owner */
	bool suspect;	     /**< its task is a crash suspect */
	/* For runs whose worker is lost: */
	bool lost_early; /**< lost soon after the worker had started it */
	bool lost_sole_suspect; /**< lost early, and no other flow had a start
				   as recent on that worker */
	struct speed_progress speed;
};

TAILQ_HEAD(pool_runs, pool_run);

/* Flows ------------------------------------------------------------------- */

struct pool_crash_suspect;
struct pool_plan;

/** No run shows that the start orders of a task have arrived: there may be
 * several. */
#define POOL_LATE_UNRESOLVED UINT64_MAX

struct pool_task {
	/** Null: never lost with a worker. */
	struct pool_crash_suspect *suspect;
	/** Start that is stored before it is sent, or null. */
	struct pool_plan *plan;
	struct pool_runs runs; /**< one, or two if the step is speculative */
	bool done;
	bool preempted; /**< was stopped by preemption */
	/** How its last run has ended, for the log; null: it had none. */
	const char *last_end;
	uint64_t last_run; /**< number of that run */
	/** Until then a start order that this owner or an earlier one has sent
	 * may be carried out, 0: none. */
	gb_time late_until;
	/** A worker that lists this run or a later one shows that no such order
	 * is in flight; POOL_LATE_UNRESOLVED: nothing shows it. */
	uint64_t late_resolved_by;
	/** Change of the flow that announces its next start, 0: none. */
	uint64_t announced;
	uint32_t failures;     /**< number of failed runs */
	uint64_t *failed_runs; /**< their run numbers */
	char *checkpoint;      /**< that the next run continues from, or null */
};

/** A worker that the advice service approved for a step, with the ticket that
 * proves it. */
struct pool_approval {
	uint32_t worker; /**< handle */
	/** Of the worker; the ticket is valid for it alone. */
	int64_t incarnation;
	gb_time expires;
	char ticket[GB_NAME_MAX + 1];
};

enum pool_advice_state {
	POOL_ADVICE_NONE, /**< no answer yet */
	POOL_ADVICE_KNOWN /**< the service has answered */
};

struct pool_step {
	const gb_step *spec;
	struct pool_task *tasks;
	uint32_t done;		 /**< tasks whose end was reported */
	struct speed_step speed; /**< run times that workers are compared by */
	gb_time failed_run_time; /**< time of the longest failed run */
	bool not_started_before; /**< was not ready when this owner loaded it,
				    so no earlier owner has started it */
	/** Change of the flow by which all tasks were done. */
	uint64_t done_change;
	uint32_t active;      /**< tasks with a run */
	uint32_t active_open; /**< of these, tasks that are not done */
	uint32_t suspects;    /**< tasks that are crash suspects */
	uint32_t plans; /**< tasks whose start is stored before it is sent */
	uint64_t run_number; /**< newest number given to a run */
	gb_time preempt_at;  /**< earliest time of the next preemption for
				 the step */
	enum pool_advice_state advice;
	/** Advice calls in flight about workers not asked about before. */
	uint32_t approval_calls_in_flight;
	/** Advice calls in flight to renew tickets. */
	uint32_t ticket_calls_in_flight;
	gb_time advice_retry_at; /**< when to ask again after no approval */
	struct pool_approval *approved;
	uint32_t approved_count;
	/** By worker handle: whether advice was requested for it. */
	uint8_t *asked;
	uint32_t asked_size;  /**< allocated entries */
	uint32_t asked_count; /**< workers for which it was requested */
	/** Capacity claimed while tickets are renewed or while preempted runs
	 * are being stopped: tasks for each worker. */
	struct pool_claim *claims;
	uint32_t claim_count;
	gb_time claim_until;   /**< end of a claim for stopping runs or for
				  announcements, 0: the claim is for ticket
				  renewal */
	uint64_t claim_change; /**< change that stores these announcements, 0:
				  the claim is for something else */
};

struct pool_claim {
	uint32_t worker; /**< handle */
	uint32_t tasks;
};

/** A caller whose answer is sent when a change is stored. */
struct pool_waiter {
	STAILQ_ENTRY(pool_waiter) next;
	uint64_t token;
	uint64_t change;
	gb_flow_status status;
	bool asks; /**< asks for the state: it may also be answered with the
		      stored state */
};

STAILQ_HEAD(pool_waiters, pool_waiter);

struct pool_flow {
	UT_hash_handle hh;
	TAILQ_ENTRY(pool_flow) dirty_next;
	TAILQ_ENTRY(pool_flow) open_next;
	TAILQ_ENTRY(pool_flow) tombstone_next;
	gb_flow spec;	    /**< emptied once the finished flow is stored */
	size_t bytes;	    /**< memory that counts while it is open */
	uint32_t partition; /**< of the tables, which holds its rows */
	/** Its queue in the current configuration, or null. */
	const struct gb_pool_queue *queue;
	/** Advice settings of its queue; the last known ones if the queue was
	 * removed. */
	struct gb_pool_advice advice;
	struct pool_org *org; /**< null: no organisation */
	uint64_t config;      /**< configuration version by which its caller was
				 authorised, 0: unknown */
	struct pool_step *steps;
	uint32_t step_count;
	gb_flow_status status;
	bool cancelled;
	bool tombstone; /**< was cancelled before it arrived: only its id and
			   organisation are known */
	bool created;	/**< its rows are in the store */
	/** The stored state says that an owner works on it.  Until then none of
	 * its tasks is started, so that a successor may start it at once. */
	bool owned;
	bool removing; /**< the write in flight removes what was submitted */
	bool removed;  /**< what was submitted is no longer stored */
	bool in_inbox; /**< a row of the inbox names it */
	bool dirty;    /**< waits to be written */
	bool closed;   /**< finished, stored and without runs: only the state is
			  kept */
	bool remove_pending;	 /**< the next write removes its rows */
	bool not_started_before; /**< no earlier owner has started a task of it
				  */
	/** Earlier owners may have started it on workers that were lost, so its
	 * starts are stored before they are sent. */
	bool plan_starts;
	bool waited_for_quota; /**< it had to wait for its organisation's quota
				*/
	uint64_t change;  /**< number of the last change that must be stored */
	uint64_t stored;  /**< newest change that is stored */
	uint64_t sending; /**< newest change sent to the store, 0: none */
	bool write_lost;  /**< a write of it got no answer and may have been
			     carried out */
	/** The store did not take a write with this flow and others: it is
	 * written alone, until that has succeeded. */
	bool write_alone;
	unsigned int writes_invalid; /**< consecutive writes of it alone that
					the store did not take */
	gb_time write_at; /**< earliest time of the next write, 0: any */
	/** Not all tasks may be open at a time, or its state might not fit a
	 * row. */
	bool open_limited;
	uint32_t open_max;   /**< tasks, without gangs, that may be open */
	uint32_t open_tasks; /**< tasks that are open, at least */
	uint32_t runs;	     /**< of all its tasks */
	gb_time late_until;  /**< latest late_until of its tasks */
	uint32_t announced;  /**< tasks with an announcement that is not used */
	/** Until then its writes announce the tasks that may start. */
	gb_time announce_until;
	/** Change that stores announcements that were requested, 0: none. */
	uint64_t announce_change;
	gb_time submitted;
	gb_time ended;
	bool begun; /**< a worker has started one of its tasks, perhaps for an
		       earlier owner */
	/* Computed by rank.c: */
	gb_time due;	   /**< latest end for full earnings */
	gb_time late_due;  /**< latest end for any earnings */
	gb_time remaining; /**< expected time of the longest chain of unfinished
			      steps, with the wait */
	gb_time start_by;  /**< latest start to end at due, with size_delay; the
			      earliest goes first within a tier */
	gb_time wait;	   /**< expected wait for capacity for a gang, as last
			      computed */
	uint64_t ranked;   /**< change for which chain was computed */
	gb_time ranked_at; /**< when it was computed */
	gb_time chain;	   /**< as remaining, without the wait */
	gb_time size_delay; /**< added to start_by to order it behind smaller
			       flows of its queue; negative for a small one */
	int tier;	    /**< enum rank_tier of rank.c; lower goes first */
	/** Stored state, while the flow is being loaded. */
	gb_flow_state *loading;
	struct pool_waiters waiters;
};

TAILQ_HEAD(pool_flows, pool_flow);

/* Workers ----------------------------------------------------------------- */

/** A reported end of a run that can't be acknowledged yet. */
struct pool_end {
	STAILQ_ENTRY(pool_end) next;
	uint64_t number; /**< in the worker's list of ends */
	char flow[GB_NAME_MAX + 1];
	uint64_t change; /**< of the flow; it must be stored first */
	/** Until then a start order of its task may still be carried out. */
	gb_time held_until;
	/** The report, while the flow's partition is not attached; else
	 * null. */
	struct gb_pool_run_report *kept_report;
};

STAILQ_HEAD(pool_ends, pool_end);

struct pool_loss;
STAILQ_HEAD(pool_losses, pool_loss);

struct pool_worker {
	UT_hash_handle hh;
	uint32_t handle; /**< index in the workers of the pool */
	/** Newest valid entry, with the error of the newest one. */
	struct gb_pool_entry entry;
	char rack[GB_NAME_MAX + 1]; /**< empty: unknown */
	gb_res used;		    /**< by runs */
	gb_res claimed;	     /**< claimed while tickets are renewed or runs are
				stopped */
	gb_res reserved;     /**< reserved for gangs that wait for capacity */
	gb_time reserved_at; /**< earliest time at which one of these gangs
				needs it, 0: none */
	bool was_reserved;   /**< had reservations in the previous dispatch */
	int64_t incarnation; /**< that answered last, 0: not reported */
	gb_time incarnation_since; /**< when that incarnation first answered */
	int64_t ended_incarnation; /**< the ended one, when ended is set */
	/** Incarnation in the stored worker sets as they were read, 0: none. */
	int64_t recorded_incarnation;
	bool maybe_restarted; /**< may have restarted since it answered */
	bool leaving; /**< the entry of this incarnation has said that it is
			 draining */
	/** Earliest time at which this incarnation terminates, 0: unknown. */
	gb_time leaves_at;
	uint64_t fence; /**< added to the fencing token; grows when orders in
			   flight must not be carried out */
	bool listed;	/**< is in the platform's list */
	bool service_configured; /**< the configuration names its service */
	bool fenced; /**< has answered this owner, and so knows its fencing
			token */
	bool ended;  /**< its incarnation has ended or its lease has expired */
	/** Bits of the partitions whose stored set names it. */
	uint32_t in_stored_sets;
	uint32_t in_sent_sets; /**< the same for the sets being written */
	bool has_unknown_runs; /**< runs tasks that this owner doesn't know */
	gb_time
	    report_sent_at; /**< when the newest answered heartbeat was sent */
	uint64_t heartbeat_call; /**< heartbeat in flight, 0: none */
	gb_time heartbeat_sent;
	gb_time heartbeat_at; /**< when to send the next heartbeat */
	gb_time answered;     /**< when the last answer to a heartbeat came */
	unsigned int silent;  /**< consecutive heartbeats without answer */
	unsigned int reports_without_lease; /**< consecutive answers to
					       heartbeats that renewed no lease
					     */
	gb_time first_missed_at; /**< when the first of the heartbeats counted
				    by silent was missed */
	int64_t clock_ms;	 /**< its clock in the last answer */
	gb_time clock_at;	 /**< when that answer came */
	int64_t lease_end_ms;	 /**< latest lease end that was sent, on the
				    worker's clock */
	bool lease_uncertain;	 /**< that lease may have reached another
				    incarnation */
	gb_time lapse_at;  /**< by then every lease has certainly expired */
	uint64_t last_end; /**< number of the last end applied */
	uint64_t acked;	   /**< ends up to this number are stored */
	struct pool_ends ends;
	struct pool_runs runs;
	uint32_t run_count;
	uint32_t suspect_runs;	   /**< of these, runs of crash suspects */
	struct pool_losses losses; /**< runs lost while it was unreachable */
	/* Health, judged by the outcome of its runs */
	unsigned int failures; /**< consecutive failures of different flows */
	uint64_t failed_flow;  /**< hash of the flow counted last, 0: none */
	gb_time quarantined_until;
	gb_time quarantine_length; /**< length of the last quarantine */
	struct speed speed;
	double speed_logged;	 /**< logarithm of the slowness logged last */
	gb_time speed_logged_at; /**< 0: never */
};

/* Writer ------------------------------------------------------------------ */

enum pool_partition_phase {
	POOL_PARTITION_IDLE,
	POOL_PARTITION_WRITING,
	POOL_PARTITION_SEALING, /**< rewriting the owner's row, so that a write
				   without answer can no longer be carried out
				 */
	POOL_PARTITION_WAITING	/**< the last write failed; next one at retry_at
				 */
};

/** How far this owner has attached a partition. */
enum pool_attach {
	POOL_ATTACH_NONE,    /**< will be tried at attach_at */
	POOL_ATTACH_READING, /**< reading the owner's row */
	POOL_ATTACH_READ,    /**< the owner's row is known, the new epoch is not
				chosen */
	POOL_ATTACH_CLAIMING, /**< writing the owner's row */
	POOL_ATTACH_LOADING,  /**< reading its flows, states and workers */
	POOL_ATTACH_DONE      /**< this owner works on its flows */
};

/** State of one partition: how far it is attached, and what is written to it,
 * one transaction at a time. */
struct pool_partition {
	enum pool_attach attach;
	gb_time attach_at;	      /**< when to try next */
	unsigned int attach_failures; /**< consecutive failed tries */
	/** Number of this try to load it; answers of earlier tries are
	 * ignored. */
	uint32_t round;
	uint32_t loads_in_flight; /**< reads that are queued or in flight */
	uint32_t inbox_in_flight; /**< the same for reads of the inbox */
	/** Epoch in the owner's row as it was read, 0: none. */
	uint64_t row_epoch;
	struct contention_row row_contention;
	bool row_vacant; /**< the row names no owner, or doesn't exist */
	bool row_written_by_claim; /**< this process wrote the row for this
				      claim */
	gb_time attached_at;
	/** When the last call was sent whose answer showed that the partition
	 * had this owner's row, 0: none. */
	gb_time confirmed;
	bool reconciled; /**< every run of earlier owners is accounted for */
	/** A worker was lost before the partition was reconciled; what it ran
	 * is unknown. */
	bool has_unknown_losses;
	uint64_t set_changed; /**< rows of the worker set to write, as bits */
	uint64_t set_sent;    /**< bit of the row being written, 0: none */
	gb_time set_write_at; /**< earliest time to write another row of it */
	/** Key of the row being written. */
	char set_key[sizeof(GB_POOL_WORKERS_KEY) + 2];
	bool urgent; /**< a caller waits for what is to be written */
	enum pool_partition_phase phase;
	uint64_t owner_vers; /**< version of the owner's row */
	uint64_t serial;     /**< of the owner's row */
	uint64_t call;	     /**< write in flight, 0: none */
	gb_time sent;	     /**< when the last write was sent */
	gb_time left_at;     /**< when it has left the node's link */
	gb_time retry_at;
	unsigned int tries; /**< consecutive writes that were refused or lost */
	unsigned int refused; /**< consecutive writes that were refused */
	/** Consecutive writes that ended without an answer. */
	unsigned int lost;
	gb_time probed;	       /**< when the last probe was sent, 0: none */
	gb_time probing_since; /**< when the first of the probes was sent that
				  got no answer so far, 0: none */
	gb_time probe_answered_at; /**< when the last probe was answered */
	bool probe_answered; /**< a probe during this write was answered */
	bool silent; /**< probes got no answer, and nothing was answered since
		      */
	bool seal;   /**< a write got no answer: seal before the next write */
	bool renew;  /**< write the owner's row */
	bool renew_sent;	 /**< the last write includes the owner's row */
	gb_time renewed;	 /**< when the owner's row was last sent */
	struct pool_flows dirty; /**< flows to write */
	struct pool_flow **sent_flows; /**< flows in the write in flight */
	size_t sent_count;
};

/* Advice ------------------------------------------------------------------ */

/** A member through which the advice service is called, one call at a time. */
struct pool_channel {
	char addr[GB_NAME_MAX + 1];
	bool usable;
	uint64_t call;	    /**< advice call in flight, 0: none */
	gb_time last_heard; /**< when something was last received from the
				member */
	gb_time back_off_until;
};

struct pool_advice_call {
	UT_hash_handle hh;
	uint64_t id;
	struct pool_channel *channel;
	char flow[GB_NAME_MAX + 1];
	uint32_t step;
	uint32_t workers; /**< number of workers that it names */
	bool first;	  /**< asked about workers not asked about before */
	/** Handles of these workers, null unless `first` is set. */
	uint32_t *handles;
	gb_time sent;
};

/* Ownership --------------------------------------------------------------- */

enum pool_owner_phase {
	POOL_OWNER_NONE,
	POOL_OWNER_READING,  /**< reading the owner's rows, until most are known
			      */
	POOL_OWNER_CLAIMING, /**< the epoch is chosen; claiming most partitions
			      */
	POOL_OWNER_LOADING,  /**< most partitions are claimed, not yet loaded */
	POOL_OWNER_ACTIVE,   /**< working as the owner */
	POOL_OWNER_RELEASING /**< writing what is pending before it gives up the
				ownership */
};

/** Kind of call that an answer belongs to. */
enum pool_call_kind {
	POOL_CALL_RUN_START,
	POOL_CALL_RUN_STOP,
	POOL_CALL_HEARTBEAT,
	POOL_CALL_WRITE_TXN,  /**< transaction of the writer */
	POOL_CALL_PROBE,      /**< read that checks whether the store answers */
	POOL_CALL_OWNER_READ, /**< read of an owner's row */
	POOL_CALL_OWNER_TXN,  /**< write of an owner's row by a claim */
	POOL_CALL_LOAD_STATES,
	POOL_CALL_LOAD_FLOWS,
	POOL_CALL_LOAD_WORKERS,
	POOL_CALL_INBOX_LIST, /**< read of the keys of the inbox */
	POOL_CALL_INBOX_FLOW  /**< read of a flow that the inbox names */
};

struct pool_call {
	UT_hash_handle hh;
	uint64_t id;
	enum pool_call_kind kind;
	uint64_t term; /**< term of ownership in which it was made */
	gb_time sent;
	uint32_t partition;
	uint32_t round;	      /**< of loading the partition */
	uint32_t worker;      /**< handle, GB_NONE: none */
	bool first;	      /**< first heartbeat to a worker */
	uint64_t token;	      /**< fencing token of the order */
	bool lease;	      /**< the order renews the worker's lease */
	uint64_t config;      /**< not used */
	struct pool_run *run; /**< null once the run was removed */
};

/** What is learned about a queue from its flows and runs. */
struct pool_queue_stat {
	UT_hash_handle hh;
	char name[GB_NAME_MAX + 1];
	double ratio;	  /**< run time over declared run time, smoothed */
	double run_us;	  /**< run time of a task, smoothed, 0: unknown */
	double cores;	  /**< processors that a flow asks for, in thousandths,
			     smoothed */
	uint32_t waiting; /**< not used */
};

/** Accepted work that was not started, and how fast the link gets work done. */
struct pool_backlog {
	/** Of the starts of accepted tasks that were not sent, at the last
	 * dispatch and of flows accepted since. */
	uint64_t bytes;
	double cpu; /**< processors that these tasks need, in thousandths, at
		       the last dispatch */
	/** A flow that could start has passed its latest end for any earnings,
	 * at the last dispatch. */
	bool overdue;
	bool congested; /**< the link limits what can be started */
	/** Bytes of starts whose tasks were done, per second, smoothed; 0: not
	 * measured. */
	double bytes_per_s;
	uint64_t done_bytes; /**< the same since measured_at */
	gb_time measured_at;
};

struct pool_page;
TAILQ_HEAD(pool_pages, pool_page);

/** Another node that wrote an owner's row. */
struct pool_rival {
	char addr[GB_NAME_MAX + 1]; /**< empty: the row was left vacant */
	char name[GB_NAME_MAX + 1];
	uint64_t epoch; /**< 0: no other node was seen */
};

struct gb_pool {
	unsigned int refs;
	struct gb_pool_settings cfg;
	char *name;
	char *addr;
	struct gb_pool_ops ops;
	gb_time now;  /**< time of the event being handled */
	gb_time wall; /**< time of day at the last tick */
	uint64_t seed;
	uint64_t next_call;
	struct pool_call *calls;
	/* Ownership */
	enum pool_owner_phase phase;
	uint64_t epoch; /**< of this owner, or the newest known one */
	/** Grows when a claim begins or the ownership is lost. */
	uint64_t term;
	gb_time claim_began_at;
	gb_time confirmed;    /**< when the last store call was sent that got a
				 clear answer */
	uint64_t claim_epoch; /**< 0 until it is chosen */
	enum takeover_cause claim_cause;
	struct contention contention;
	uint64_t claim_previous_epoch; /**< epoch of the owner to succeed */
	/** Partition that decides between rival claims. */
	uint32_t claim_deciding_partition;
	struct pool_rival rival;    /**< seen last since the claim began */
	gb_time claim_won_at;	    /**< when most partitions were claimed */
	gb_time release_timeout_at; /**< the ownership ends then, even with
				       unwritten changes */
	gb_time inbox_read_at;	    /**< when to read the inbox next */
	/* Authority: see authority.c */
	gb_time authority_until;      /**< this owner may act until then */
	gb_time authority_counted_at; /**< when answers were counted last */
	bool authority_in_doubt; /**< the store has not confirmed this owner
				    for a while */
	bool authority_lapsed;	 /**< it has ended, and this was logged */
	/** When more than half of the workers had answered this owner, 0: not
	 * yet. */
	gb_time majority_fenced_at;
	/* Flows */
	struct pool_flow *flows; /**< by id */
	struct pool_flows open;	 /**< flows that are not closed */
	/** The one that is removed first is the first. */
	struct pool_flows tombstones;
	uint32_t open_count;
	size_t open_bytes; /**< memory of the open flows */
	struct gb_pool_config *config;
	struct pool_queue_stat *queues;
	struct pool_org *orgs;
	struct usage_state usage;
	/** Capacity on which runs unknown to this owner may be running. */
	struct gb_pool_amount uncertain_use;
	struct pool_partition partitions[GB_POOL_PARTITIONS];
	/* Loading */
	struct pool_pages pages;      /**< pages not requested yet */
	struct pool_pages pages_sent; /**< pages in flight */
	uint32_t pages_in_flight;
	uint32_t row_bytes[GB_POOL_TABLES]; /**< mean size of the rows read
					       last, 0: none read */
	/* Workers */
	struct pool_worker *workers_by_id;
	struct pool_worker **workers; /**< by handle */
	uint32_t worker_count;
	uint32_t worker_size; /**< allocated entries of workers */
	/** When a worker last answered after missed heartbeats, so that an
	 * answer may have been lost; 0: never. */
	gb_time answer_lost_at;
	uint32_t first_heartbeats_in_flight; /**< first heartbeats to workers in
						flight */
	uint32_t first_heartbeats_in_tick;   /**< the same, sent in this tick */
	uint32_t tick_first_worker; /**< index of the first worker of the next
				       tick */
	bool listed; /**< the platform's whole list of workers was received */
	/* Announcements */
	bool worker_ids_reused; /**< a worker may restart under its id */
	double write_us;	/**< time of a write, smoothed */
	double ends_per_s;	/**< rate at which runs end, smoothed */
	uint32_t ends_since;	/**< runs that ended since ends_measured_at */
	gb_time ends_measured_at;
	uint32_t announce_ahead;   /**< waiting tasks to be announced ahead */
	uint32_t announce_waiting; /**< waiting tasks that the dispatch has
				      left so far */
	/* Advice */
	struct pool_channel *channels;
	size_t channel_count;
	struct pool_advice_call *advice_calls;
	uint32_t advice_in_flight; /**< number of these calls */
	/* Dispatch */
	bool work_changed; /**< something may now start: dispatch soon */
	struct pool_candidate *candidates; /**< scratch, one per worker */
	uint32_t candidate_size;
	uint32_t reservations; /**< made in the last dispatch */
	/** Processors that waiting gangs need, and processors of all workers,
	 * in thousandths, at the last dispatch. */
	double waiting_gang_cores;
	double capacity;
	/** Of starts that wait, at the last dispatch. */
	uint64_t waiting_bytes;
	struct pool_backlog backlog;
	/** Processors that are free on the workers, in thousandths, at the last
	 * dispatch. */
	double free_cpu;
	struct gb_pool_link link; /**< as the last dispatch began */
	/** Bytes of starts that may be accepted, negative: too many were, and
	 * when that was updated. */
	double accept_bytes;
	gb_time accept_at;
	struct pool_slot *slots; /**< scratch of reservation.c */
	size_t slot_size;
	gb_time dispatch_at; /**< time of the last dispatch */
	gb_time sweep_at;    /**< time of the last sweep of finished flows */
	struct gb_pool_stats stats;
};

/** Whether the workers of a flow's steps need approval by the advice
 * service. */
#define POOL_ADVICE_NEEDED(flow) ((flow)->advice.needed)

/** Whether a feature is enabled. */
#define POOL_FEATURE_ENABLED(pool, feature) \
	(((pool)->cfg.disabled_features & (UINT32_C(1) << (feature))) == 0)

/* pool.c */
/** Answers a caller without the state of a flow. */
void pool_answer(
    struct gb_pool *, uint64_t token, gb_flow_verdict, gb_time retry_after);

/* call.c */
/** Creates a call in flight with a new number, for the current term. */
struct pool_call *pool_call_new(struct gb_pool *, enum pool_call_kind);
/** Removes the call of an answer from the table and returns it, to be freed by
 * the caller; null when it is unknown or belongs to an earlier term of
 * ownership, so that the answer must be ignored. */
struct pool_call *pool_call_remove(struct gb_pool *, uint64_t id);
/** Clears the run of a call because the run is being freed; the answer is then
 * ignored. */
void pool_call_clear_run(struct gb_pool *, uint64_t id);

/* rank.c */
/** Computes due times, remaining time and tier of a flow. */
void pool_rank_update_flow(struct gb_pool *, struct pool_flow *);
/** Compares the start order of two flows: negative when the first goes
 * first. */
int pool_rank_compare(const struct pool_flow *, const struct pool_flow *);
/** Returns what is known of a queue; creates it if needed. */
struct pool_queue_stat *pool_rank_queue_stat(
    struct gb_pool *, const char *name);
/** Processors that the waiting gangs of a flow need, in thousandths. */
double pool_rank_waiting_gang_cores(
    const struct gb_pool *, const struct pool_flow *);
/** Updates the mean flow size of a queue with a new flow. */
void pool_rank_update_flow_size(struct gb_pool *, const struct pool_flow *);
/** Expected run time of a task of a step. */
gb_time pool_rank_estimate(
    const struct gb_pool *, const struct pool_flow *, const struct pool_step *);

/* fit.c */
/** Capacity of a worker that is neither used, claimed nor reserved. */
gb_res pool_fit_free_capacity(const struct pool_worker *);
/** Whether a worker may be given new work of a partition now. */
bool pool_fit_usable(
    const struct gb_pool *, const struct pool_worker *, uint32_t partition);
/** Whether a worker may run a step, by its service, labels and rack. */
bool pool_fit_allows(const struct gb_pool *, const struct pool_flow *,
    const struct pool_step *, const struct pool_worker *);
/** Returns the approval whose ticket is still valid when the last of so many
 * start orders arrives, or null. */
const struct pool_approval *pool_fit_ticket(const struct gb_pool *,
    const struct pool_flow *, const struct pool_step *, uint32_t worker,
    uint32_t starts);
/** Number of starts of a step that are sent together. */
uint32_t pool_step_starts_together(const struct pool_step *);
/** Places as many tasks of a step as possible; of a gang, all or none.  Fills
 * in a worker handle for each task and returns the number of placed tasks.
 * Without tickets, every approved worker counts. */
uint32_t pool_fit_place(struct gb_pool *, const struct pool_flow *,
    const struct pool_step *, uint32_t wanted, bool tickets, uint32_t *out);
/** Number of tasks of a step that would fit on its approved workers if these
 * were empty. */
uint64_t pool_fit_slots(
    const struct gb_pool *, const struct pool_flow *, const struct pool_step *);

/* reservation.c */
/** Whether the progress of a run is far enough to tell when it ends. */
bool pool_run_progress_known(const struct pool_run *);
/** Time until a run is expected to end. */
gb_time pool_run_time_left(const struct gb_pool *, const struct pool_run *);
/** Reserves capacity for a gang.  Fills in the expected wait and the worker of
 * each task.  Returns false when the gang would not fit even if all runs
 * ended. */
bool pool_reserve(struct gb_pool *, struct pool_flow *, struct pool_step *,
    gb_time *wait, uint32_t *workers);
/** Drops all reservations: each dispatch computes them anew. */
void pool_reservations_clear(struct gb_pool *);

/* preempt.c */
enum pool_preempt_result {
	POOL_PREEMPT_NONE,
	POOL_PREEMPT_TICKETS, /**< possible once there are tickets for these
				 workers */
	POOL_PREEMPT_STOPPED
};

/** Stops work that can wait, for a gang that can still meet its objective.
 * Fills in a worker for each task of the gang where preemption can free
 * capacity. */
enum pool_preempt_result pool_preempt(struct gb_pool *, struct pool_flow *,
    struct pool_step *, uint32_t *workers);

/* pace.c */
/** State of the link; no limit if pacing is disabled. */
struct gb_pool_link pool_pace_link(const struct gb_pool *);
/** Whether the link has capacity for starts, and for advice calls. */
bool pool_pace_may_send_starts(const struct gb_pool *);
bool pool_pace_may_ask_advice(const struct gb_pool *);
/** Maximum number of starts of single tasks to send now. */
uint32_t pool_pace_starts_max(const struct gb_pool *, const gb_flow *);
/** Whether the link has capacity for a heartbeat. */
bool pool_pace_may_send_heartbeat(const struct gb_pool *);
/** Maximum number of first heartbeats in flight: they are all answered at
 * once. */
uint32_t pool_pace_first_heartbeats(const struct gb_pool *);
/** Returns the pause before the next heartbeat to a worker, made longer while
 * the link is busy. */
gb_time pool_pace_heartbeat_delay(const struct gb_pool *, gb_time pause);
/** Bandwidth of the link in bytes per second, 0: no limit. */
uint64_t pool_pace_bandwidth(const struct gb_pool *);
/** Bytes sent to start so many tasks of a flow. */
uint64_t pool_pace_start_bytes(const gb_flow *, uint32_t tasks);
/** Whether the link may take in a flow whose starts have so many bytes; counts
 * them if so. */
bool pool_pace_accepts(struct gb_pool *, uint64_t bytes);
/** Time to send what is queued on the link. */
gb_time pool_pace_queued(const struct gb_pool *);
/** Time for which an answer may wait on the link. */
gb_time pool_pace_answer_delay(const struct gb_pool *);
/** Size of the values in one write to the store that the link carries in a
 * short time, at most `max`. */
size_t pool_pace_write_bytes(const struct gb_pool *, size_t max);
/** Pause after writing a row of so many bytes of the worker set, which is
 * stored in every partition. */
gb_time pool_pace_set_pause(const struct gb_pool *, size_t bytes);
/** Notes the state of the link, for the decisions of one dispatch. */
void pool_pace_snapshot_link(struct gb_pool *);
/** Time until the starts of so many tasks have left the link, as it was when it
 * was last asked. */
gb_time pool_pace_send_time(
    const struct gb_pool *, const gb_flow *, uint32_t tasks);
/** Time for which the waiting starts will keep a congested link busy. */
gb_time pool_pace_starts_wait(const struct gb_pool *);
/** Time until a congested link has got done what the free workers can take of
 * the accepted work, at the measured rate. */
gb_time pool_pace_backlog(const struct gb_pool *);

/* backlog.c */
/** Adds an accepted flow to the backlog, until the next dispatch counts it. */
void pool_backlog_flow_accepted(struct gb_pool *, const struct pool_flow *);
/** Counts what the accepted flows still need, for a dispatch. */
void pool_backlog_count(struct gb_pool *);
/** Counts tasks that are done, to measure how fast the link gets work done. */
void pool_backlog_task_done(
    struct gb_pool *, const struct pool_flow *, uint32_t tasks);
/** Updates whether the link is congested and how fast it gets work done. */
void pool_backlog_measure(struct gb_pool *);
/** Whether the backlog waits for the link rather than for capacity. */
bool pool_backlog_waits_for_link(const struct gb_pool *);
/** Time until a congested link has got done what the free workers can take of
 * the backlog; 0 if it is not congested. */
gb_time pool_backlog_wait(const struct gb_pool *);

/* admit.c */
/** Whether to accept a flow; else fills in when to retry and the reason. */
bool pool_admit(
    struct gb_pool *, const gb_flow *, gb_time *retry_after, const char **why);

/* writer.c */
/** Queues a flow to be written, soon if a caller waits for it. */
void pool_writer_mark_dirty(struct gb_pool *, struct pool_flow *, bool urgent);
void pool_writer_tick(struct gb_pool *);
void pool_writer_done(
    struct gb_pool *, const struct pool_call *, const struct gb_pool_txn_res *);
/** Handles that the answer to the write in flight is lost. */
void pool_writer_answer_lost(struct gb_pool *, uint32_t partition);
/** Drops everything to be written and clears the state of all partitions. */
void pool_writer_reset(struct gb_pool *);
/** Whether nothing is left to write in the partitions that accept writes. */
bool pool_writer_idle(const struct gb_pool *);
/** Whether writes of a partition fail for now, or it is not attached. */
bool pool_writer_unavailable(const struct gb_pool *, uint32_t partition);
bool pool_writer_owner_body(const struct gb_pool *, uint64_t epoch,
    uint64_t serial, bool vacant, gb_body *);

/* probe.c */
/** Probes whether the store answers, once the answer to a write is overdue. */
void pool_probe_tick(struct gb_pool *, uint32_t partition);
/** Handles the answer to a probe, or its loss. */
void pool_probe_done(struct gb_pool *, const struct pool_call *,
    const struct gb_pool_read_res *);
/** Whether the store has left probes of a partition without an answer for
 * longer than a working store would. */
bool pool_probe_overdue(const struct gb_pool *, uint32_t partition);

/* flow.c */
/** Returns the flow of that id, or null. */
struct pool_flow *pool_flow_find(struct gb_pool *, const char *id);
/** Creates a flow; takes over the contents of the specification. */
struct pool_flow *pool_flow_new(struct gb_pool *, gb_flow *);
/** Looks up the flow's queue in the current configuration. */
void pool_flow_configure(const struct gb_pool *, struct pool_flow *);
void pool_flow_free(struct gb_pool *, struct pool_flow *);
/** Frees the stored state that a flow holds while it is being loaded. */
void pool_flow_loading_free(struct pool_flow *);
/** Closes a flow of which only the state is known. */
void pool_flow_close_loaded(struct gb_pool *, struct pool_flow *);
/** When the state of a finished flow is removed. */
gb_time pool_flow_expires_at(const struct gb_pool *, const struct pool_flow *);
/** Records a change that must be stored, soon if something waits for it. */
void pool_flow_changed(struct gb_pool *, struct pool_flow *, bool urgent);
/** Handles that a change of a flow was stored. */
void pool_flow_stored(struct gb_pool *, struct pool_flow *, uint64_t change);
/** Rejects a flow that was never sent to the store. */
void pool_flow_reject(struct gb_pool *, struct pool_flow *, gb_time retry);
/** Answers a caller with the status once the change is stored, at once if it
 * already is. */
void pool_flow_wait(struct gb_pool *, struct pool_flow *, uint64_t token,
    uint64_t change, gb_flow_status);
/** Answers a caller with the state; if its last change is being stored, once it
 * is stored. */
void pool_flow_query(struct gb_pool *, struct pool_flow *, uint64_t token);
/** Answers callers that ask for the state with the stored one, since writes
 * don't get through. */
void pool_flow_answer_queries(struct gb_pool *, struct pool_flow *);
bool pool_flow_step_ready(const struct pool_flow *, const struct pool_step *);
/** Number of tasks of a step that are neither done nor have a run. */
uint32_t pool_flow_unstarted_count(
    const struct pool_flow *, const struct pool_step *);
/** Counts the tasks of a flow that are open, if their number is limited. */
void pool_flow_count_open_tasks(const struct gb_pool *, struct pool_flow *);
/** Whether a task may be started without too many being open. */
bool pool_flow_may_open(const struct gb_pool *, const struct pool_flow *,
    const struct pool_step *, const struct pool_task *);
/** Handles that a task is about to be started, or its start planned. */
void pool_flow_task_opens(
    const struct gb_pool *, struct pool_flow *, const struct pool_task *);
/** Number of tasks of a step that have to wait until others are not open. */
uint32_t pool_flow_held_count(
    const struct gb_pool *, const struct pool_flow *, const struct pool_step *);
/** Number of tasks of a step that may be started now. */
uint32_t pool_flow_startable_count(
    const struct gb_pool *, const struct pool_flow *, const struct pool_step *);
void pool_flow_cancel(struct gb_pool *, struct pool_flow *);
/** Handles that a worker has started a task of a flow. */
void pool_flow_begin(struct gb_pool *, struct pool_flow *);
/** Ends a flow as failed. */
void pool_flow_fail(struct gb_pool *, struct pool_flow *, const char *why);
/** Applies the end of a run.  The change must be stored before the end is
 * acknowledged. */
void pool_flow_run_ended(struct gb_pool *, struct pool_flow *,
    const struct gb_pool_run_report *, struct pool_worker *);
/** Stops all runs of a step but one. */
void pool_flow_stop_step(struct gb_pool *, struct pool_flow *, uint32_t step,
    const struct pool_run *but, const char *why);
/** Stops all runs of a step after one has ended early, if the step is a
 * gang. */
void pool_flow_gang_broken(
    struct gb_pool *, struct pool_flow *, uint32_t step, const char *why);
/** Releases finished flows, and fails flows with tasks that crashed too many
 * workers. */
void pool_flow_sweep(struct gb_pool *);
/** Status that callers may see: the end of a flow only once it is stored. */
gb_flow_status pool_flow_visible_status(const struct pool_flow *);

/* tombstone.c */
/** Counts a flow as a tombstone, and no longer. */
void pool_tombstone_add(struct gb_pool *, struct pool_flow *);
void pool_tombstone_remove(struct gb_pool *, struct pool_flow *);
/** Cancels a flow that doesn't exist or, if it is not null, a tombstone. */
void pool_tombstone_cancel(
    struct gb_pool *, struct pool_flow *, uint64_t token, const gb_flow_ask *);
/** Answers the submission of a flow that has a tombstone. */
void pool_tombstone_submitted(
    struct gb_pool *, const struct pool_flow *, uint64_t token);
/** Handles a state that a write has found under the id of a new tombstone.
 * Frees the tombstone if the state is that of a flow, whose cancel must then be
 * tried again. */
void pool_tombstone_conflict(struct gb_pool *, const struct gb_pool_row *);

/* flow_state.c */
/** Fills in the state to store; free it with pool_flow_state_clear. */
void pool_flow_state_fill(
    const struct gb_pool *, const struct pool_flow *, gb_flow_state *);
void pool_flow_state_clear(gb_flow_state *);
/** Restores a flow from its stored state.  Returns false when the state does
 * not match what was submitted. */
bool pool_flow_load(
    struct gb_pool *, struct pool_flow *, const gb_flow_state *);
void pool_task_set_checkpoint(struct pool_task *, const char *checkpoint);
/** Counts a failed run once, in whatever order ends come.  Returns false when
 * it was counted before. */
bool pool_task_count_failed_run(struct pool_task *, uint64_t run);

/* report.c */
/** Applies a worker's answer to a heartbeat that was sent at `sent`. */
void pool_report_apply(struct gb_pool *, struct pool_worker *, gb_time sent,
    const struct gb_pool_report *);
/** Computes the number up to which all ends that a worker reported are
 * stored. */
void pool_report_ack(struct gb_pool *, struct pool_worker *);
/** Applies the ends that workers reported for a partition before it was
 * attached. */
void pool_report_partition_attached(struct gb_pool *, uint32_t partition);
/** Drops the ends that are not stored. */
void pool_report_clear(struct pool_worker *);

/** Name of an outcome in log events. */
const char *pool_outcome_name(enum gb_pool_outcome);
/** Whether a report names a run, as running or ended. */
bool pool_report_lists_run(
    const struct gb_pool_report *, const struct pool_run *);
/** Handles the end of an incarnation: its ends can no longer be
 * acknowledged. */
void pool_report_incarnation_ended(struct pool_worker *);

/* listing.c */
/** Applies an entry that is new or has changed. */
void pool_worker_apply_entry(struct gb_pool *, const struct gb_pool_entry *);
/** Updates which workers have a service that the configuration names. */
void pool_workers_check_services(struct gb_pool *);
/** Whether the platform offers a worker for new work: its newest entry is valid
 * and names a configured service. */
bool pool_worker_offered(const struct pool_worker *);

/* incarnation.c */
/** Longest lease that a worker may have been given.  An order for an
 * incarnation may reach the next one, on whose clock the lease ends later: the
 * worker then shortens it to the longest that it accepts. */
gb_time pool_incarnation_lease_max(const struct gb_pool *);
/** Fencing token of orders to a worker. */
uint64_t pool_incarnation_token(
    const struct gb_pool *, const struct pool_worker *);
/** Increases a worker's fencing token, so that it ignores orders in flight once
 * it has received a newer one.  Has no effect where incarnations are not
 * reported: there each one has an id of its own. */
void pool_incarnation_fence(struct pool_worker *);
/** Whether the worker of a call knows a newer owner; the ownership is then
 * lost.  False when only a newer order of this owner was faster. */
bool pool_incarnation_fenced_off(
    struct gb_pool *, const struct pool_call *, enum gb_pool_order_status);
/** Whether what is sent to a worker now reaches the known incarnation. */
bool pool_incarnation_confirmed(const struct pool_worker *);
/** Whether the entry of a worker is that of the incarnation that answers. */
bool pool_incarnation_listed(const struct pool_worker *);
/** Updates a worker's clock from the answer to an order. */
void pool_incarnation_order_answered(struct gb_pool *, const struct pool_call *,
    const struct gb_pool_order_res *);
/** Handles the answer to a heartbeat, perhaps by a new incarnation. */
void pool_incarnation_report(struct gb_pool *, struct pool_worker *,
    const struct pool_call *, const struct gb_pool_report *);
/** Compares a valid entry of a known worker with its incarnation, before the
 * entry is applied. */
void pool_incarnation_entry(
    struct gb_pool *, struct pool_worker *, const struct gb_pool_entry *);
/** Whether heartbeats to a worker may go to the address of a new entry. */
bool pool_incarnation_may_move(const struct gb_pool *,
    const struct pool_worker *, const struct gb_pool_entry *);

/* worker.c */
/** Returns the end of a lease that begins now, on the worker's clock, or 0
 * while that clock is unknown.  Fills in when the lease has certainly
 * expired. */
int64_t pool_worker_lease(
    struct gb_pool *, struct pool_worker *, gb_time *lapse);
/** Ends a run as lost with its worker, which has crashed or whose lease has
 * expired. */
void pool_worker_run_lost(struct gb_pool *, struct pool_run *, bool crashed);
/** Handles the end of a worker's incarnation. */
void pool_worker_ended(struct gb_pool *, struct pool_worker *, const char *why);
/** Returns the worker of that handle or id, or null. */
struct pool_worker *pool_worker_get(const struct gb_pool *, uint32_t handle);
struct pool_worker *pool_worker_find(struct gb_pool *, const char *id);
/** Longest lease that owners give. */
gb_time pool_worker_lease_max(const struct gb_pool *);
/** Does what is due for all workers, beginning with the one at which the
 * previous tick stopped. */
void pool_workers_tick(struct gb_pool *);
/** Adds a worker of which only the entry is known. */
struct pool_worker *pool_worker_new(
    struct gb_pool *, const struct gb_pool_entry *);

/* worker_set.c */
/** Marks the rows of the stored sets that have a worker to be written, since it
 * leaves them. */
void pool_worker_set_mark_dirty(struct gb_pool *, const struct pool_worker *);
/** Marks rows to be written so that a listed worker is added to all stored
 * sets. */
void pool_worker_set_mark_missing(struct gb_pool *, const struct pool_worker *);
/** Whether an owner may have sent runs to a worker that may still have them. */
bool pool_worker_in_use(const struct gb_pool *, const struct pool_worker *);
/** Fills in the next row of a partition's worker set to write; its key is in
 * set_key. */
bool pool_worker_set_body(struct gb_pool *, uint32_t partition, gb_body *);
/** Marks a row of the stored set that was read under this key to be
 * rewritten. */
void pool_worker_set_mark_row(
    struct gb_pool *, uint32_t partition, const char *key);
/** Handles the result of the last write of a row of the set. */
void pool_worker_set_stored(struct gb_pool *, uint32_t partition, bool stored);
/** Adds a worker read from the stored set, of which nothing else may be
 * known. */
void pool_worker_recorded(struct gb_pool *, uint32_t partition,
    const gb_worker_ref *, int64_t incarnation);

/* worker.c */
/** Drops what only the previous ownership knew of the workers. */
void pool_workers_reset(struct gb_pool *);
void pool_workers_free(struct gb_pool *);

/* run.c */
/** Creates a run that uses capacity of a worker; sends no order. */
struct pool_run *pool_run_new(struct gb_pool *, struct pool_flow *,
    uint32_t step, uint32_t index, uint64_t number, struct pool_worker *);
/** Sends the stop order of a run, unless it is in flight or confirmed. */
void pool_run_stop_send(struct gb_pool *, struct pool_run *);
/** Starts a run of a task. */
void pool_run_start(struct gb_pool *, struct pool_flow *, uint32_t step,
    uint32_t index, uint64_t number, struct pool_worker *, const char *ticket);
/** Retries a start order that got no answer. */
void pool_run_start_retry(struct gb_pool *, struct pool_run *);
void pool_run_stop(struct gb_pool *, struct pool_run *, const char *why);
/** Whether the only start order of a run is still in flight. */
bool pool_run_is_start_pending(const struct pool_run *);
/** Frees a run; `end` says for the log how it has ended. */
void pool_run_free(struct gb_pool *, struct pool_run *, const char *end);
void pool_run_start_done(struct gb_pool *, const struct pool_call *,
    const struct gb_pool_order_res *);
void pool_run_stop_done(struct gb_pool *, const struct pool_call *,
    const struct gb_pool_order_res *);

/* worker.c */
/** Applies the answer to a heartbeat, or its loss. */
void pool_worker_heartbeat_done(
    struct gb_pool *, const struct pool_call *, const struct gb_pool_report *);

/* health.c */
/** Updates the health of a worker by the end of a run. */
void pool_health_run_ended(struct gb_pool *, struct pool_worker *,
    const struct pool_run *, enum gb_pool_outcome);
/** Checks a worker for stalled runs. */
void pool_health_check(struct gb_pool *, struct pool_worker *);

/* advice.c */
void pool_advice_channel_update(
    struct gb_pool *, const char *addr, bool usable);
bool pool_advice_channel_free(const struct gb_pool *);
/** Asks the advice service about workers; with none named, about those that
 * could run the step and were not asked about yet, as many as one call
 * takes. */
bool pool_advice_ask(struct gb_pool *, struct pool_flow *, uint32_t step,
    const uint32_t *workers, uint32_t count);
/** Applies an answer; returns the flow and step that it is for, or null. */
struct pool_flow *pool_advice_done(
    struct gb_pool *, uint64_t call, const gb_advice_res *, uint32_t *step);
void pool_advice_claims_drop(struct gb_pool *, struct pool_step *);
void pool_advice_reset(struct gb_pool *);

/* late_start.c */
/** Time until which a start order of a run may still be carried out by another
 * incarnation of its worker, 0: by none. */
gb_time pool_late_run_until(const struct pool_run *);
/** The same for any run of a task. */
gb_time pool_late_task_until(const struct pool_task *);
/** Handles that a start order of a run got no answer: queues the record for a
 * successor. */
void pool_late_start_lost(struct gb_pool *, struct pool_run *);
/** Time until which an end of a task must not be acknowledged. */
gb_time pool_late_end_until(
    const struct pool_flow *, uint32_t step, uint32_t index);
/** Records the orders of a run that is being freed with its task. */
void pool_late_run_freed(struct pool_run *);
/** Handles that an earlier owner has recorded such orders of a task;
 * `resolved_by` is as in struct pool_task. */
void pool_late_load(struct gb_pool *, struct pool_flow *, uint32_t step,
    uint32_t index, uint64_t resolved_by);
/** Handles that a worker lists a run of a task, as running or ended. */
void pool_late_run_listed(
    struct pool_flow *, uint32_t step, uint32_t index, uint64_t run);
/** Whether the state must record a task as one with orders in flight that no
 * list of runs resolves. */
bool pool_late_task_recorded(const struct gb_pool *, const struct pool_task *);
/** Whether a copy of an order to a worker can reach another incarnation than
 * the one that it was sent to.  Where incarnations are not reported, each has
 * an id of its own and refuses orders for others. */
bool pool_worker_reuses_id(const struct pool_worker *);
/** Whether a task may not be started yet: an earlier start may still be carried
 * out, or it is a crash suspect that has to wait. */
bool pool_start_blocked(
    const struct gb_pool *, const struct pool_flow *, const struct pool_task *);
/** Number of tasks of a step without a run that may not be started yet. */
uint32_t pool_start_blocked_count(
    const struct gb_pool *, const struct pool_flow *, const struct pool_step *);

/* state_size.c */
/** Number of tasks of a flow, without those of gangs, that may be open at a
 * time: its state then fits a row even if all of them fail as often as they may
 * (`attempts`).  0: not even one. */
uint32_t pool_state_open_tasks_max(const gb_flow *, uint32_t attempts);
/** Size of the stored entry of a task that has failed or has a checkpoint. */
size_t pool_state_task_bytes(const struct pool_task *, const char *checkpoint);
/** The same for its crashes, with the incarnations of the workers. */
size_t pool_state_crashes_bytes(const gb_task_crashes *);

/* announce.c */
/** Lets the writes of a flow in the next moment announce the tasks that may
 * start. */
void pool_announce_allow(const struct gb_pool *, struct pool_flow *);
/** The same; also queues a write.  Returns false if a requested one is queued
 * or in flight. */
bool pool_announce_request(struct gb_pool *, struct pool_flow *);
/** Whether the start of a task on a worker must be announced first. */
bool pool_announce_missing(const struct pool_flow *, const struct pool_step *,
    uint32_t index, const struct pool_worker *);
/** Handles that the announced order of a task is being sent, or that the next
 * write does not announce it. */
void pool_announce_used(struct pool_flow *, struct pool_task *);
/** Decides which tasks the next write of a flow announces. */
void pool_announce_update(struct gb_pool *, struct pool_flow *);
/** Fills in the stored form of the announcements of a flow with that many
 * tasks. */
void pool_announce_fill(const struct gb_pool *, const struct pool_flow *,
    uint32_t tasks, gb_flow_state *);
/** Restores what an earlier owner has announced.  Returns false when it does
 * not match the flow. */
bool pool_announce_load(
    struct gb_pool *, struct pool_flow *, const gb_flow_state *);
/** Handles that a write has succeeded, and how long it took. */
void pool_announce_write_done(struct gb_pool *, gb_time duration);
/** Works out how many waiting tasks a dispatch may announce ahead. */
void pool_announce_begin_dispatch(struct gb_pool *);
/** Announces tasks of a step ahead that a dispatch has left waiting, or, if
 * they wait for capacity (`full`), withdraws their announcements.  Called in
 * the order in which steps start. */
void pool_announce_waiting(
    struct gb_pool *, struct pool_flow *, struct pool_step *, bool full);
/** Withdraws all announcements, as the ownership ends. */
void pool_announce_withdraw_all(struct gb_pool *);

/* dispatch.c */
/** Number of the next run of a task of a step. */
uint64_t pool_step_next_run(const struct gb_pool *, const struct pool_step *);
void pool_dispatch(struct gb_pool *);
/** Starts what can start of a step whose advice has come. */
void pool_dispatch_step(struct gb_pool *, struct pool_flow *, uint32_t step);

/* owner.c */
void pool_owner_acquire(struct gb_pool *, uint64_t after, enum takeover_cause);
/** Handles that another process was found alive and not stopping. */
void pool_owner_process_alive(struct gb_pool *, uint64_t incarnation);
void pool_owner_release(struct gb_pool *);
void pool_owner_lose(struct gb_pool *, const char *why, uint64_t epoch);
void pool_owner_tick(struct gb_pool *);
void pool_owner_read_done(struct gb_pool *, const struct pool_call *,
    const struct gb_pool_read_res *);
void pool_owner_txn_done(
    struct gb_pool *, const struct pool_call *, const struct gb_pool_txn_res *);
/** Whether this owner works on the flows of a partition. */
bool pool_partition_attached(const struct gb_pool *, uint32_t partition);
/** Whether a partition is likely to be attached soon: no try has failed. */
bool pool_partition_attach_likely(const struct gb_pool *, uint32_t partition);
/** Whether every run of earlier owners is accounted for, in all partitions. */
bool pool_owner_reconciled(const struct gb_pool *);

/* authority.c */
/** Updates until when this owner may act. */
void pool_authority_tick(struct gb_pool *);
void pool_authority_reset(struct gb_pool *);
/** Whether this owner may act on its own: start runs, stop them for others, and
 * renew leases.  False when it may have a successor that it doesn't hear of. */
bool pool_authority_held(const struct gb_pool *);
/** Whether only the answers of workers will soon tell that there is no
 * successor. */
bool pool_authority_in_doubt(const struct gb_pool *);
/** Checks whether more than half of the workers have answered this owner. */
void pool_authority_count_fenced(struct gb_pool *);
/** Time by which all leases of earlier owners have expired, on the slowest
 * clock, if this owner has claimed the pool at this time. */
gb_time pool_authority_leases_expired_at(
    const struct gb_pool *, gb_time claimed);

/* rival.c */
/** Records another node that holds an owner's row. */
void pool_rival_seen(struct gb_pool *, const gb_owner_row *);
/** The same for a row that a claim has read; ignores the row of the owner to
 * succeed. */
void pool_rival_read(struct gb_pool *, const gb_owner_row *);
/** Records the node whose row a claim's write conflicted with. */
void pool_rival_conflict(struct gb_pool *, const struct gb_pool_txn_res *);
/** Returns the rival if it is newer than this owner, else one without an
 * epoch. */
struct pool_rival pool_rival_newer(const struct gb_pool *);

/* page.c */
/** Queues a read of a partition's rows with from <= key < to, to be sent once
 * the link has capacity. */
void pool_page_add(struct gb_pool *, enum pool_call_kind, uint32_t partition,
    enum gb_pool_table, const char *from, const char *to);
/** Sends the queued reads that the link has capacity for. */
void pool_pages_send(struct gb_pool *);
/** Removes the page of an answer from those in flight and returns it, or
 * null. */
struct pool_page *pool_page_remove_sent(
    struct gb_pool *, const struct pool_call *);
/** Retries a page without an answer, with fewer rows, if it may have been too
 * large; returns false if not. */
bool pool_page_retry(
    struct gb_pool *, struct pool_page *, const struct gb_pool_read_res *);
void pool_page_free(struct gb_pool *, struct pool_page *);
/** Updates the mean row size of a table. */
void pool_page_update_row_size(
    struct gb_pool *, enum gb_pool_table, const struct gb_pool_read_res *);
/** Drops all queued and sent reads. */
void pool_pages_reset(struct gb_pool *);

/* load.c */
enum pool_load_result { POOL_LOAD_CONTINUES, POOL_LOAD_DONE, POOL_LOAD_FAILED };

/** Begins to load a partition. */
void pool_load_begin(struct gb_pool *, uint32_t partition);
enum pool_load_result pool_load_done(struct gb_pool *, const struct pool_call *,
    const struct gb_pool_read_res *);
/** Drops the flows of a partition that was not loaded completely. */
void pool_load_drop(struct gb_pool *, uint32_t partition);
/** Reads the flows that were stored without the owner. */
void pool_load_inbox(struct gb_pool *, uint32_t partition);
void pool_load_inbox_done(struct gb_pool *, const struct pool_call *,
    const struct gb_pool_read_res *);

#endif
