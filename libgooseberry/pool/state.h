/**
 * @file state.h
 * State of a pool core, shared by the files that make it up.
 *
 * Calls go one way, from the top of this list to its end: pool.c, owner.c,
 * load.c, page.c, dispatch.c, advice.c, worker.c, listing.c and life.c, flow.c,
 * report.c and run.c (which meet over the ends of runs), crash.c, health.c,
 * worker_set.c, writer.c, flow_state.c, call.c, org.c; then the decisions
 * without side effects: rank.c, fit.c, book.c, quota.c, contest.c, admit.c.
 * preempt.c stands between: it decides, and stops runs by way of run.c.  pace.c
 * asks the node how busy its link is.
 */
#ifndef GB_POOL_STATE_H
#define GB_POOL_STATE_H

#include <sys/queue.h>

#include <uthash.h>

#include "org.h"
#include "pool.h"

struct pool_flow;
struct pool_worker;

/** Workers in one row of the stored set: 48 bytes each, of the 64 KB that a row
 * may have; and rows, enough for 32,000. */
#define POOL_SET_WORKERS 500
#define POOL_SET_ROWS 64

/** The slowest clock of a worker, in thousandths of true time. */
#define POOL_CLOCK_SLOWEST 980
/** Runs of one owner are numbered from its epoch times this, so that numbers
 * rise over owners without being stored. */
#define POOL_RUNS_PER_EPOCH 100000

/** Fencing tokens of one owner: its epoch times this, and up from there for
 * each worker whose earlier orders must count no more. */
#define POOL_FENCES_PER_EPOCH (UINT64_C(1) << 20)
/** Added to the end of a lease: coarse clocks, and a kill that takes time. */
#define POOL_LEASE_MARGIN (300 * GB_MSEC)

/** The owner's row is written this often, so that an owner that has lost it, or
 * the store, learns so, and members see it at work. */
#define POOL_OWNER_RENEW (500 * GB_MSEC)

/** How many workers the advice service takes in one call. */
#define POOL_ADVICE_MOST 100

/* Runs: a task on a worker ------------------------------------------------ */

enum pool_run_state {
	POOL_RUN_STARTING, /**< the order is out */
	POOL_RUN_RUNNING,
	POOL_RUN_START_UNKNOWN, /**< no answer to the order; may run, now or
				   later */
	POOL_RUN_STOPPING
};

struct pool_run {
	TAILQ_ENTRY(pool_run) of_worker;
	TAILQ_ENTRY(pool_run) of_task;
	struct pool_flow *flow;
	uint32_t step;
	uint32_t index;
	uint64_t number; /**< of the start; rises for ever */
	struct pool_worker *worker;
	enum pool_run_state state;
	gb_res res;
	uint64_t start_call; /**< that is out, 0: none */
	unsigned int tries;  /**< orders to start that were sent */
	bool again; /**< the order is to be sent again when the link takes it */
	uint64_t stop_call;
	gb_time started;
	gb_time confirmed; /**< when the worker first said that it runs, 0 */
	gb_time stopped;   /**< when the worker confirmed a stop, 0: not yet */
	gb_time stop_at;   /**< next try of an unanswered stop */
	gb_time lapse_at;  /**< an order without answer can't begin after */
	uint32_t percent;
	gb_time moved; /**< when the percent last rose */
	bool adopted;  /**< was started by an earlier owner */
	bool suspect;  /**< its task was lost with a worker before */
	/* Of a run whose worker is lost */
	bool lost_early;	/**< after the worker had begun it */
	bool lost_sole_suspect; /**< and no other flow's start was as new */
	char checkpoint[GB_NAME_MAX + 1];
};

TAILQ_HEAD(pool_runs, pool_run);

/* Flows ------------------------------------------------------------------- */

struct pool_crash_suspect;
struct pool_plan;

struct pool_task {
	struct pool_crash_suspect
	    *suspect;		/**< null: never lost with a worker */
	struct pool_plan *plan; /**< null: its start need not be stored */
	struct pool_runs runs;	/**< one, or two of a speculative step */
	bool done;
	bool preempted; /**< has been stopped to make room for others */
	uint32_t failures;
	uint64_t *failed_runs; /**< numbers of the runs that failed */
	char *checkpoint;
};

/** A worker that may run a step, with the ticket that proves it. */
struct pool_approval {
	uint32_t worker;     /**< handle */
	int64_t incarnation; /**< of the worker, for which the ticket holds */
	gb_time expires;
	char ticket[GB_NAME_MAX + 1];
};

enum pool_advice_state {
	POOL_ADVICE_NONE, /**< nothing known yet */
	POOL_ADVICE_KNOWN
};

struct pool_step {
	const gb_step *spec;
	struct pool_task *tasks;
	uint32_t done;	     /**< tasks whose end has been seen */
	gb_time took;	     /**< time of the runs that were done, in all */
	uint32_t took_runs;  /**< number of these */
	gb_time failed_took; /**< time of the runs that failed, of one task */
	bool fresh; /**< not ready when this owner read it: nobody began it */
	uint64_t done_change; /**< change of the flow that made it whole */
	uint32_t active;      /**< tasks that have a run */
	uint32_t active_open; /**< of these, tasks that are not done */
	uint32_t suspects;    /**< tasks that were lost with workers */
	uint32_t plans;	      /**< tasks whose start is stored first */
	uint64_t run_number;  /**< newest number given to a start */
	gb_time preempt_at;   /**< may make room again */
	enum pool_advice_state advice;
	uint32_t
	    asks_in_flight; /**< calls about workers not asked about before */
	uint32_t renews_in_flight; /**< calls for new tickets */
	gb_time advice_retry_at;
	struct pool_approval *approved;
	uint32_t approved_count;
	uint8_t *asked; /**< by worker handle: advice has been asked about it */
	uint32_t asked_size;
	uint32_t asked_count;
	/** Room that is kept while tickets are renewed, or while what stood in
	 * it is stopped: tasks a worker. */
	struct pool_claim *claims;
	uint32_t claim_count;
	gb_time claim_until; /**< kept for stops until then, 0: for tickets */
};

struct pool_claim {
	uint32_t worker;
	uint32_t tasks;
};

/** A caller that waits until a change is stored. */
struct pool_waiter {
	STAILQ_ENTRY(pool_waiter) next;
	uint64_t token;
	uint64_t change;
	gb_flow_status status;
	bool asks; /**< wants to know the state: any that is true will do */
};

STAILQ_HEAD(pool_waiters, pool_waiter);

struct pool_flow {
	UT_hash_handle hh;
	TAILQ_ENTRY(pool_flow) dirty_next;
	TAILQ_ENTRY(pool_flow) open_next;
	gb_flow spec;	    /**< emptied once the flow is over and stored */
	uint32_t partition; /**< of the tables that its rows stand in */
	/** Its queue in the configuration in force, or null. */
	const struct gb_pool_queue *queue;
	/** Of its queue; as it was last known, once the queue is removed. */
	struct gb_pool_advice advice;
	struct pool_org *org; /**< null: it belongs to none */
	uint64_t
	    config; /**< version that its caller was judged by, 0: unknown */
	struct pool_step *steps;
	uint32_t step_count;
	gb_flow_status status;
	bool cancelled;
	bool created; /**< its rows stand in the store */
	/** The stored state says that an owner works on it.  Until then it is
	 * not begun: a successor starts at once what nobody has begun. */
	bool owned;
	bool
	    removing; /**< what was submitted goes with the write that is out */
	bool removed; /**< what was submitted is no longer stored */
	bool in_inbox;
	bool dirty;
	bool closed; /**< over, stored, nothing runs: only the state is kept */
	bool forgotten; /**< its rows are removed with the next write */
	bool fresh;	/**< taken in by this owner: nobody else started it */
	/** Earlier owners may have started it on workers that were lost: starts
	 * are stored before they are sent. */
	bool watched;
	bool quota_waited; /**< its organisation's quota held it up */
	uint64_t change;   /**< grows with each change that must be stored */
	uint64_t stored;   /**< change that the store has */
	uint64_t sending; /**< change that is being written, 0: none ever was */
	bool write_lost; /**< a write of it got no answer and may have landed */
	uint32_t runs;
	gb_time submitted;
	gb_time first_start;
	gb_time ended;
	bool begun;
	/* What rank.c worked out */
	gb_time due;	   /**< to earn in full */
	gb_time late_due;  /**< to earn anything */
	gb_time remaining; /**< longest chain that is left */
	gb_time start_by;  /**< the earliest goes first, within a tier */
	gb_time wait;	 /**< until room for a gang is expected, as last seen */
	uint64_t ranked; /**< change for which the chain was worked out */
	gb_time ranked_at;
	gb_time chain;	/**< longest chain that is left, without the wait */
	gb_time yields; /**< goes behind others of its queue by so much */
	int tier;
	gb_flow_state *loading; /**< state of a flow that is being read */
	struct pool_waiters waiters;
};

TAILQ_HEAD(pool_flows, pool_flow);

/* Workers ----------------------------------------------------------------- */

/** An end whose change is not stored yet. */
struct pool_end {
	STAILQ_ENTRY(pool_end) next;
	uint64_t number;
	char flow[GB_NAME_MAX + 1];
	uint64_t change;
	/** An end of a flow whose part is not attached yet, else null. */
	struct gb_pool_run_report *held;
};

STAILQ_HEAD(pool_ends, pool_end);

struct pool_loss;
STAILQ_HEAD(pool_losses, pool_loss);

struct pool_worker {
	UT_hash_handle hh;
	uint32_t handle;
	struct gb_pool_entry entry;
	char rack[GB_NAME_MAX + 1];
	gb_res used;	     /**< by runs */
	gb_res claimed;	     /**< kept for gangs whose tickets are renewed */
	gb_res reserved;     /**< kept for gangs that wait for room */
	gb_time reserved_at; /**< when the first of them wants it, 0: none */
	bool was_reserved;   /**< in the dispatch before this one */
	int64_t incarnation; /**< that answered last, 0: not told */
	gb_time incarnation_since; /**< when it first answered */
	int64_t ended_incarnation; /**< that is over, when over is set */
	int64_t
	    recorded_incarnation; /**< in the stored sets as they were read */
	bool maybe_restarted; /**< may have started again since it answered */
	bool leaving;	      /**< this life has said that it leaves */
	uint64_t fence;	   /**< grows when orders on their way must not count */
	bool listed;	   /**< by the platform */
	bool served;	   /**< the configuration names its service */
	bool fenced;	   /**< has answered this owner */
	bool over;	   /**< its lifetime has ended, or its lease lapsed */
	uint32_t recorded; /**< parts in whose stored set it stands, as bits */
	uint32_t recording; /**< the same of the sets that are being written */
	bool foreign;	    /**< runs something whose size is unknown */
	gb_time reported;   /**< when the newest hold with an answer was sent */
	uint64_t heartbeat_call;
	gb_time heartbeat_sent;
	gb_time heartbeat_at;	/**< next hold */
	gb_time answered;	/**< last hold that was answered */
	unsigned int silent;	/**< holds without answer in a row */
	unsigned int questions; /**< answers in a row to mere questions */
	gb_time missed;	      /**< when the first of the newest of these was */
	int64_t clock_ms;     /**< its clock in the last answer */
	gb_time clock_at;     /**< when that answer came */
	int64_t lease_end_ms; /**< latest end of a lease that was sent */
	bool lease_uncertain; /**< that may have reached another life */
	gb_time lapse_at;     /**< surely over by then */
	uint64_t seen;	      /**< number of the last end taken in */
	uint64_t acked;	      /**< ends up to it are stored */
	struct pool_ends ends;
	struct pool_runs runs;
	uint32_t run_count;
	uint32_t suspect_runs;	   /**< of these, of tasks that are suspect */
	struct pool_losses losses; /**< runs that were lost while it was away */
	/* Health, by what it does with its work */
	unsigned int failures; /**< in a row, of different flows */
	uint64_t failed_flow;
	gb_time quarantined_until;
	gb_time quarantine_length; /**< length of the last time set aside */
	double slowness; /**< of its runs against their like, 1: as long */
};

/* Writer ------------------------------------------------------------------ */

enum pool_partition_phase {
	POOL_PARTITION_IDLE,
	POOL_PARTITION_WRITING,
	POOL_PARTITION_SEALING, /**< making sure that a lost write can't land */
	POOL_PARTITION_WAITING	/**< refused; tries again */
};

/** How far this owner has come with a part. */
enum pool_attach {
	POOL_ATTACH_NONE,     /**< tries again at attach_at */
	POOL_ATTACH_READING,  /**< the owner's row */
	POOL_ATTACH_READ,     /**< its row is known, the new epoch is not */
	POOL_ATTACH_CLAIMING, /**< writing the owner's row */
	POOL_ATTACH_LOADING,  /**< reading its flows, states and workers */
	POOL_ATTACH_DONE      /**< this owner works on its flows */
};

/** Rows of one part, written one transaction at a time. */
struct pool_partition {
	enum pool_attach attach;
	gb_time attach_at;
	unsigned int attach_failures; /**< tries in a row without success */
	uint32_t round; /**< of reading; answers of earlier ones are old */
	uint32_t loads_in_flight; /**< reads that are out */
	uint32_t
	    inbox_in_flight; /**< of flows that were stored without an owner */
	uint64_t row_epoch;  /**< in the owner's row as it was read, 0: none */
	struct contention_row row_contention;
	bool row_vacant;
	bool row_own; /**< this process wrote it for this claim */
	gb_time attached_at;
	gb_time reconcile_at; /**< no run of an earlier owner lasts longer */
	bool reconciled;      /**< every run of earlier owners is known */
	/** A worker was lost meanwhile, nobody knows with what. */
	bool lost_unseen;
	uint64_t set_changed; /**< rows of the set of workers to be written */
	uint64_t set_sent;    /**< the one that is being written, 0: none */
	char set_key[sizeof(GB_POOL_WORKERS_KEY) + 2]; /**< its key */
	bool urgent; /**< somebody waits for what is to be written */
	enum pool_partition_phase phase;
	uint64_t owner_vers; /**< version of the owner's row */
	uint64_t serial;     /**< of the owner's row */
	uint64_t call;
	gb_time sent;
	gb_time retry_at;
	unsigned int tries;   /**< writes in a row that were refused or lost */
	unsigned int refused; /**< of these, writes that were refused */
	unsigned int lost; /**< writes in a row that ended without an answer */
	uint64_t probe;	   /**< call that is out, 0: none */
	gb_time probed;	   /**< when it was sent */
	bool answers;	   /**< a probe during this write was answered */
	bool silent;	   /**< probes are not answered, until something is */
	bool seal;	   /**< a write was lost */
	bool renew;	   /**< write the owner's row */
	bool renew_sent;
	gb_time renewed; /**< when the owner's row was last sent */
	struct pool_flows dirty;
	struct pool_flow **sent_flows;
	size_t sent_count;
};

/* Advice ------------------------------------------------------------------ */

/** A member that asks the advice service, one call at a time. */
struct pool_channel {
	char addr[GB_NAME_MAX + 1];
	bool usable;
	uint64_t call;
	gb_time last_heard;
	gb_time back_off_until;
};

struct pool_advice_call {
	UT_hash_handle hh;
	uint64_t id;
	struct pool_channel *channel;
	char flow[GB_NAME_MAX + 1];
	uint32_t step;
	bool first; /**< named all workers */
	gb_time sent;
};

/* Ownership --------------------------------------------------------------- */

enum pool_owner_phase {
	POOL_OWNER_NONE,
	POOL_OWNER_READING,  /**< the owner's rows, until most are known */
	POOL_OWNER_CLAIMING, /**< the epoch is chosen; most rows are wanted */
	POOL_OWNER_LOADING,  /**< most parts are claimed, not yet read */
	POOL_OWNER_ACTIVE,
	POOL_OWNER_RELEASING
};

/** Which call of the core an answer belongs to. */
enum pool_call_kind {
	POOL_CALL_RUN_START,
	POOL_CALL_RUN_STOP,
	POOL_CALL_HEARTBEAT,
	POOL_CALL_PARTITION,  /**< transaction of the writer */
	POOL_CALL_PROBE,      /**< a look whether the store answers */
	POOL_CALL_OWNER_READ, /**< of an owner's row */
	POOL_CALL_OWNER_TXN,
	POOL_CALL_LOAD_STATES,
	POOL_CALL_LOAD_FLOWS,
	POOL_CALL_LOAD_WORKERS,
	POOL_CALL_INBOX_LIST,
	POOL_CALL_INBOX_FLOW
};

struct pool_call {
	UT_hash_handle hh;
	uint64_t id;
	enum pool_call_kind kind;
	uint64_t epoch; /**< term in which it was made */
	gb_time sent;
	uint32_t partition;
	uint32_t round; /**< of reading the part */
	uint32_t worker;
	bool first;	      /**< first look at a worker */
	uint64_t token;	      /**< fencing token of an order */
	bool lease;	      /**< the order renews the worker's lease */
	uint64_t config;      /**< of a flow that is read from the inbox */
	struct pool_run *run; /**< null once the run has gone */
};

/** What is learned of a queue from its runs. */
struct pool_queue_stat {
	UT_hash_handle hh;
	char name[GB_NAME_MAX + 1];
	double ratio; /**< run time over declared run time, smoothed */
	double run_us;
	double cores;	  /**< that a flow asks for, in thousandths, smoothed */
	uint32_t waiting; /**< flows that have not begun */
};

struct pool_page;
TAILQ_HEAD(pool_pages, pool_page);

/** An owner's row that another node wrote. */
struct pool_rival {
	char addr[GB_NAME_MAX + 1]; /**< empty: it was left vacant */
	char name[GB_NAME_MAX + 1];
	uint64_t epoch; /**< 0: none was seen */
};

struct gb_pool {
	unsigned int refs;
	struct gb_pool_settings cfg;
	char *name;
	char *addr;
	struct gb_pool_ops ops;
	gb_time now;
	gb_time wall;
	uint64_t seed;
	uint64_t next_call;
	struct pool_call *calls;
	/* Ownership */
	enum pool_owner_phase phase;
	uint64_t epoch; /**< of this owner, or the newest that is known */
	uint64_t term;	/**< grows when ownership is gained or lost */
	gb_time taken_at;
	gb_time confirmed;    /**< last answer of the store to this owner */
	uint64_t claim_epoch; /**< 0 until it is chosen */
	enum takeover_cause claim_cause;
	struct contention contention;
	uint64_t claim_after;	 /**< epoch of the owner that is succeeded */
	uint32_t claim_first;	 /**< part that decides between rivals */
	struct pool_rival rival; /**< seen last, since the claim was begun */
	gb_time claimed_at;	 /**< when most parts were claimed */
	gb_time release_by;	 /**< give up what is not written by then */
	gb_time inbox_at;
	/* Flows */
	struct pool_flow *flows;
	struct pool_flows open; /**< those that are not over */
	uint32_t open_count;
	struct gb_pool_config *config;
	struct pool_queue_stat *queues;
	struct pool_org *orgs;
	/** Room in which something may run that this owner does not know of. */
	struct gb_pool_amount uncertain_use;
	struct pool_partition partitions[GB_POOL_PARTITIONS];
	/* Reading what is stored */
	struct pool_pages pages; /**< that are to be read */
	struct pool_pages pages_sent;
	uint32_t pages_in_flight;
	uint32_t row_bytes[GB_POOL_TABLES]; /**< of rows read last, 0: none */
	/* Workers */
	struct pool_worker *workers_by_id;
	struct pool_worker **workers;
	uint32_t worker_count;
	uint32_t worker_size;
	gb_time answer_lost; /**< when a worker last came back that had not
				  been away, 0: never */
	uint32_t first_heartbeats; /**< first looks at workers that are out */
	uint32_t tick_from;	   /**< worker that the next tick begins with */
	bool listed;		   /**< the list of workers has been read */
	/* Advice */
	struct pool_channel *channels;
	size_t channel_count;
	struct pool_advice_call *advice_calls;
	/* Dispatch */
	bool work_changed;
	struct pool_candidate *candidates; /**< scratch, one a worker */
	uint32_t candidate_size;
	uint32_t reservations; /**< of the last dispatch */
	/** Processors of gangs that wait for room and of the workers, in
	 * thousandths, at the last dispatch. */
	double gangs_wait;
	double capacity;
	uint64_t waiting_bytes;	 /**< of starts that wait, at the last one */
	struct pool_slot *slots; /**< scratch of book.c */
	size_t slot_size;
	gb_time dispatch_at;
	gb_time sweep_at;
	struct gb_pool_stats stats;
};

/** Queue of a flow; refreshed whenever the configuration changes. */
#define POOL_ADVICE_NEEDED(flow) ((flow)->advice.needed)

/** Whether a mechanism is in use. */
#define POOL_USES(pool, feature) \
	(((pool)->cfg.disabled_features & (UINT32_C(1) << (feature))) == 0)

/* call.c */
struct pool_call *pool_call_new(struct gb_pool *, enum pool_call_kind);
/** Take the call of an answer out of the table; null when it belongs to an
 * earlier term, so that the answer tells nothing. */
struct pool_call *pool_call_take(struct gb_pool *, uint64_t id);
/** The run has gone: an answer that still comes has nobody to tell. */
void pool_call_forget(struct gb_pool *, uint64_t id);

/* rank.c */
/** Work out due times, what is left and the tier of a flow. */
void pool_rank_flow(struct gb_pool *, struct pool_flow *);
/** Order of waiting: negative when the first goes before the second. */
int pool_rank_compare(const struct pool_flow *, const struct pool_flow *);
struct pool_queue_stat *pool_rank_queue(struct gb_pool *, const char *name);
/** Processors that gangs of a flow wait for, in thousandths. */
double pool_rank_gangs_wait(const struct gb_pool *, const struct pool_flow *);
/** A flow has come: learn how large those of its queue are. */
void pool_rank_learn(struct gb_pool *, const struct pool_flow *);
/** Expected run time of a task of a step. */
gb_time pool_rank_estimate(
    const struct gb_pool *, const struct pool_flow *, const struct pool_step *);

/* fit.c */
/** Room of a worker that nothing uses or keeps. */
gb_res pool_fit_free(const struct pool_worker *);
/** Whether a worker may be given new work of a part now. */
bool pool_fit_usable(
    const struct gb_pool *, const struct pool_worker *, uint32_t partition);
/** Whether a worker may run a step, by its service, labels and rack. */
bool pool_fit_allows(const struct gb_pool *, const struct pool_flow *,
    const struct pool_step *, const struct pool_worker *);
/** Approval with a ticket that still holds when an order arrives, or null. */
const struct pool_approval *pool_fit_ticket(
    const struct gb_pool *, const struct pool_step *, uint32_t worker);
/** Place tasks of a step: as many as can be, all of a gang or none.  Fills
 * one worker handle a task; returns how many tasks were placed.  Without
 * tickets every approved worker counts. */
uint32_t pool_fit_place(struct gb_pool *, const struct pool_flow *,
    const struct pool_step *, uint32_t wanted, bool tickets, uint32_t *out);
/** Tasks of a step that would fit on its approved workers, were they empty. */
uint64_t pool_fit_slots(
    const struct gb_pool *, const struct pool_flow *, const struct pool_step *);

/* reservation.c */
/** Time until a run is expected to end. */
gb_time pool_run_time_left(const struct gb_pool *, const struct pool_run *);
/** Keep room for a gang; tells how long it will have to wait, and for each task
 * the worker it is kept on.  False when it would not fit even if all that runs
 * ended. */
bool pool_reserve(struct gb_pool *, struct pool_flow *, struct pool_step *,
    gb_time *wait, uint32_t *workers);
/** Begin anew: bookings are worked out in each dispatch. */
void pool_reservations_clear(struct gb_pool *);

/* preempt.c */
enum pool_preempt_result {
	POOL_PREEMPT_NONE,
	POOL_PREEMPT_TICKETS, /**< could be made, with tickets for these workers
			       */
	POOL_PREEMPT_STOPPED
};

/** Stop work that can wait for a gang that can still meet its objective.  Fills
 * in a worker for each of its tasks where room could be made. */
enum pool_preempt_result pool_preempt(struct gb_pool *, struct pool_flow *,
    struct pool_step *, uint32_t *workers);

/* pace.c */
/** Whether the link takes starts now, and questions for advice. */
bool pool_pace_starts(const struct gb_pool *);
bool pool_pace_advice(const struct gb_pool *);
/** Whether the link takes a look at a worker. */
bool pool_pace_may_send_heartbeat(const struct gb_pool *);
/** First looks at workers that may be out: they are all answered at once. */
uint32_t pool_pace_first_heartbeats(const struct gb_pool *);
/** Pause before the next look at a worker. */
gb_time pool_pace_heartbeat_delay(const struct gb_pool *, gb_time pause);
/** Bytes a second that the link carries, 0: it does not matter. */
uint64_t pool_pace_rate(const struct gb_pool *);
/** Bytes that starting tasks of a flow takes. */
uint64_t pool_pace_bytes(const struct pool_flow *, uint32_t tasks);
/** How long the starts that wait will keep the link busy. */
gb_time pool_pace_wait(const struct gb_pool *);

/* admit.c */
/** Whether to take a flow in; else when to come back. */
bool pool_admit(
    struct gb_pool *, const gb_flow *, gb_time *retry_after, const char **why);

/* writer.c */
/** A flow is to be written; soon, if somebody waits for it. */
void pool_writer_dirty(struct gb_pool *, struct pool_flow *, bool urgent);
void pool_writer_tick(struct gb_pool *);
void pool_writer_done(
    struct gb_pool *, const struct pool_call *, const struct gb_pool_txn_res *);
void pool_writer_probed(struct gb_pool *, const struct pool_call *,
    const struct gb_pool_read_res *);
void pool_writer_reset(struct gb_pool *);
bool pool_writer_idle(const struct gb_pool *);
/** Whether writes of a part do not come through for now. */
bool pool_writer_unavailable(const struct gb_pool *, uint32_t partition);
bool pool_writer_owner_body(const struct gb_pool *, uint64_t epoch,
    uint64_t serial, bool vacant, gb_body *);

/* flow.c */
struct pool_flow *pool_flow_find(struct gb_pool *, const char *id);
/** Takes over the specification. */
struct pool_flow *pool_flow_new(struct gb_pool *, gb_flow *);
/** Look its queue up in the configuration in force. */
void pool_flow_configure(const struct gb_pool *, struct pool_flow *);
void pool_flow_free(struct gb_pool *, struct pool_flow *);
/** Forget the state of a flow that was being read. */
void pool_flow_loading_free(struct pool_flow *);
/** A change of a flow must be stored; soon, if something waits for it. */
void pool_flow_changed(struct gb_pool *, struct pool_flow *, bool urgent);
/** A change of a flow has been stored. */
void pool_flow_stored(struct gb_pool *, struct pool_flow *, uint64_t change);
/** Turn away a flow that was never sent to the store. */
void pool_flow_reject(struct gb_pool *, struct pool_flow *, gb_time retry);
void pool_flow_wait(struct gb_pool *, struct pool_flow *, uint64_t token,
    uint64_t change, gb_flow_status);
/** Tell a caller the state; if its last change is being stored, then when it
 * is. */
void pool_flow_ask(struct gb_pool *, struct pool_flow *, uint64_t token);
/** Changes are not stored for now: who asks for the state is told the stored
 * one. */
void pool_flow_ask_ends(struct gb_pool *, struct pool_flow *);
bool pool_flow_step_ready(const struct pool_flow *, const struct pool_step *);
/** Tasks of a step that may be started now. */
uint32_t pool_flow_waiting(
    const struct gb_pool *, const struct pool_flow *, const struct pool_step *);
void pool_flow_cancel(struct gb_pool *, struct pool_flow *);
/** The flow is over: it can't be done. */
void pool_flow_fail(struct gb_pool *, struct pool_flow *, const char *why);
/** A run has ended; the change is to be stored before it is acknowledged. */
void pool_flow_ended(struct gb_pool *, struct pool_flow *,
    const struct gb_pool_run_report *, struct pool_worker *);
/** Stop what runs of a step, but for one run. */
void pool_flow_stop_step(struct gb_pool *, struct pool_flow *, uint32_t step,
    const struct pool_run *but, const char *why);
/** A run of a step has ended early: if it is a gang, its others can't go on. */
void pool_flow_gang_broken(
    struct gb_pool *, struct pool_flow *, uint32_t step, const char *why);
/** Let go of flows that are over. */
void pool_flow_sweep(struct gb_pool *);
gb_flow_status pool_flow_shown(const struct pool_flow *);

/* flow_state.c */
/** The state is freed with pool_flow_state_clear. */
void pool_flow_state_fill(const struct pool_flow *, gb_flow_state *);
void pool_flow_state_clear(gb_flow_state *);
/** False when the state does not fit what was submitted. */
bool pool_flow_load(
    struct gb_pool *, struct pool_flow *, const gb_flow_state *);
void pool_task_checkpoint(struct pool_task *, const char *checkpoint);
/** Count a failed run once, in whatever order ends come; false when it has been
 * counted. */
bool pool_task_failed_once(struct pool_task *, uint64_t run);

/* report.c */
/** Take in what a worker answered to a hold; `sent` is when it was asked. */
void pool_report_take(struct gb_pool *, struct pool_worker *, gb_time sent,
    const struct gb_pool_report *);
/** Work out up to which end all that a worker told is stored. */
void pool_report_ack(struct gb_pool *, struct pool_worker *);
/** A part has been attached: take in what workers told of its flows. */
void pool_report_partition_attached(struct gb_pool *, uint32_t partition);
/** Forget the ends that are not stored. */
void pool_report_clear(struct pool_worker *);

/** Whether a report names a run, as one that goes on or has ended. */
bool pool_report_names(const struct gb_pool_report *, const struct pool_run *);
/** A life is over: no more of its ends can be acknowledged. */
void pool_report_incarnation_ended(struct pool_worker *);

/* listing.c */
/** Take in an entry that is new or has changed. */
void pool_worker_entry(struct gb_pool *, const struct gb_pool_entry *);
/** The configuration has changed: which services it names. */
void pool_workers_served(struct gb_pool *);
/** Whether the list offers a worker for new work: its newest entry is sound,
 * and names a service that there is. */
bool pool_worker_offered(const struct pool_worker *);

/* incarnation.c */
/** Fencing token of orders to a worker. */
uint64_t pool_incarnation_token(
    const struct gb_pool *, const struct pool_worker *);
/** Orders to a worker that are still on their way must not be carried out once
 * it has seen the next one; not where each life has an id of its own. */
void pool_incarnation_fence(struct pool_worker *);
/** Whether the worker of a call knows a newer owner; then the ownership is
 * lost.  False when it was just overtaken by a newer order of this one. */
bool pool_incarnation_fenced_off(
    struct gb_pool *, const struct pool_call *, enum gb_pool_order_status);
/** Whether what is sent to a worker now reaches the life that is known. */
bool pool_incarnation_confirmed(const struct pool_worker *);
/** Whether the entry of a worker is that of the life that answers. */
bool pool_incarnation_listed(const struct pool_worker *);
/** Take in what the answer to an order tells of the worker's clock. */
void pool_incarnation_order_answered(struct gb_pool *, const struct pool_call *,
    const struct gb_pool_order_res *);
/** A hold was answered, perhaps by a new life. */
void pool_incarnation_report(struct gb_pool *, struct pool_worker *,
    const struct pool_call *, const struct gb_pool_report *);
/** A sound entry of a known worker has come, before it is taken in. */
void pool_incarnation_entry(
    struct gb_pool *, struct pool_worker *, const struct gb_pool_entry *);
/** Whether a worker may be looked for at the address of a new entry. */
bool pool_incarnation_may_move(const struct gb_pool *,
    const struct pool_worker *, const struct gb_pool_entry *);

/* worker.c */
/** End of a lease that begins now, on the worker's clock; 0 while the clock is
 * not known.  Tells by when it is surely over. */
int64_t pool_worker_lease(
    struct gb_pool *, struct pool_worker *, gb_time *lapse);
/** A run is lost with its worker, which has crashed or was waited out. */
void pool_worker_run_lost(struct gb_pool *, struct pool_run *, bool crashed);
/** The worker's lifetime has ended. */
void pool_worker_ended(struct gb_pool *, struct pool_worker *, const char *why);
struct pool_worker *pool_worker_get(const struct gb_pool *, uint32_t handle);
struct pool_worker *pool_worker_find(struct gb_pool *, const char *id);
/** Longest lease that owners give. */
gb_time pool_worker_lease_most(const struct gb_pool *);
/** What is due of all workers, the one first that was left last. */
void pool_workers_tick(struct gb_pool *);
/** Add a worker of whom nothing is known but its entry. */
struct pool_worker *pool_worker_new(
    struct gb_pool *, const struct gb_pool_entry *);

/* worker_set.c */
/** A worker leaves the set: its rows must be written. */
void pool_worker_set_mark(struct gb_pool *, const struct pool_worker *);
/** A worker is listed: it must come into the sets that it is not in. */
void pool_worker_set_want(struct gb_pool *, const struct pool_worker *);
/** Whether an owner may have sent runs to a worker that may still have them. */
bool pool_worker_in_use(const struct gb_pool *, const struct pool_worker *);
/** The next row of a part's set of workers; its key stands in set_key. */
bool pool_worker_set_body(struct gb_pool *, uint32_t partition, gb_body *);
/** A row of the set was read under this key: it will be written anew. */
void pool_worker_set_read(
    struct gb_pool *, uint32_t partition, const char *key);
/** The row that was written last is stored, or not. */
void pool_worker_set_stored(struct gb_pool *, uint32_t partition, bool stored);
/** A worker of the stored set, of whom nothing else may be known. */
void pool_worker_recorded(struct gb_pool *, uint32_t partition,
    const gb_worker_ref *, int64_t incarnation);
void pool_workers_reset(struct gb_pool *);
void pool_workers_free(struct gb_pool *);

/* run.c */
/** A run on a worker whose room it takes; no order is sent. */
struct pool_run *pool_run_new(struct gb_pool *, struct pool_flow *,
    uint32_t step, uint32_t index, uint64_t number, struct pool_worker *);
/** Send the order to stop a run, unless it is out or confirmed. */
void pool_run_stop_send(struct gb_pool *, struct pool_run *);
/** Start a run of a task. */
void pool_run_start(struct gb_pool *, struct pool_flow *, uint32_t step,
    uint32_t index, uint64_t number, struct pool_worker *, const char *ticket);
/** Send an order to start again that got no answer. */
void pool_run_start_retry(struct gb_pool *, struct pool_run *);
void pool_run_stop(struct gb_pool *, struct pool_run *, const char *why);
/** Whether the only order to start a run is still out. */
bool pool_run_start_open(const struct pool_run *);
void pool_run_free(struct gb_pool *, struct pool_run *);
void pool_run_start_done(struct gb_pool *, const struct pool_call *,
    const struct gb_pool_order_res *);
void pool_run_stop_done(struct gb_pool *, const struct pool_call *,
    const struct gb_pool_order_res *);
void pool_worker_heartbeat_done(
    struct gb_pool *, const struct pool_call *, const struct gb_pool_report *);

/* health.c */
/** Count an end of a run for or against its worker. */
void pool_health_ended(struct gb_pool *, struct pool_worker *,
    const struct pool_run *, enum gb_pool_outcome);
/** Look for runs that have come to a standstill. */
void pool_health_check(struct gb_pool *, struct pool_worker *);

/* advice.c */
void pool_advice_channel(struct gb_pool *, const char *addr, bool usable);
bool pool_advice_channel_free(const struct gb_pool *);
/** Ask about workers; with none named, about those that could run the step and
 * have not been asked about, as many as one call takes. */
bool pool_advice_ask(struct gb_pool *, struct pool_flow *, uint32_t step,
    const uint32_t *workers, uint32_t count);
/** Take an answer in; returns the flow and step that it is for, or null. */
struct pool_flow *pool_advice_done(
    struct gb_pool *, uint64_t call, const gb_advice_res *, uint32_t *step);
void pool_advice_claims_drop(struct gb_pool *, struct pool_step *);
void pool_advice_reset(struct gb_pool *);

/* dispatch.c */
void pool_dispatch(struct gb_pool *);
/** Start what can start of one step whose advice has come. */
void pool_dispatch_step(struct gb_pool *, struct pool_flow *, uint32_t step);

/* owner.c */
void pool_owner_take(struct gb_pool *, uint64_t after, enum takeover_cause);
/** A process is alive and does not stop. */
void pool_owner_alive(struct gb_pool *, uint64_t incarnation);
void pool_owner_release(struct gb_pool *);
void pool_owner_lose(struct gb_pool *, const char *why, uint64_t epoch);
void pool_owner_tick(struct gb_pool *);
void pool_owner_read_done(struct gb_pool *, const struct pool_call *,
    const struct gb_pool_read_res *);
void pool_owner_txn_done(
    struct gb_pool *, const struct pool_call *, const struct gb_pool_txn_res *);
/** Whether this owner works on the flows of a part. */
bool pool_partition_attached(const struct gb_pool *, uint32_t partition);
/** Whether a part is about to be attached, so that waiting is worth it. */
bool pool_partition_coming(const struct gb_pool *, uint32_t partition);
/** Whether every run of earlier owners is known, of all parts. */
bool pool_owner_reconciled(const struct gb_pool *);

/* rival.c */
/** Another node holds an owner's row. */
void pool_rival_seen(struct gb_pool *, const gb_owner_row *);
/** The same of a row that a claim has read; that of the owner that is to be
 * succeeded is no rival's. */
void pool_rival_read(struct gb_pool *, const gb_owner_row *);
/** A claim's write met a row that had changed. */
void pool_rival_conflict(struct gb_pool *, const struct gb_pool_txn_res *);
/** The rival if it is newer than this owner, else one without an epoch. */
struct pool_rival pool_rival_newer(const struct gb_pool *);

/* page.c */
/** Read a page of a part, with from <= key < to, when the link takes it. */
void pool_page_add(struct gb_pool *, enum pool_call_kind, uint32_t partition,
    enum gb_pool_table, const char *from, const char *to);
/** Send what the link takes. */
void pool_pages_next(struct gb_pool *);
/** Take the page of an answer out of those that were sent; null if it is not
 * among them. */
struct pool_page *pool_page_answered(
    struct gb_pool *, const struct pool_call *);
/** Ask for a page without an answer again, with fewer rows, if it may just have
 * been too large; false when it may not. */
bool pool_page_retry(
    struct gb_pool *, struct pool_page *, const struct gb_pool_read_res *);
void pool_page_free(struct gb_pool *, struct pool_page *);
/** Learn how large the rows of a table are. */
void pool_page_learn(
    struct gb_pool *, enum gb_pool_table, const struct gb_pool_read_res *);
/** Nothing that was to be read is read any more. */
void pool_pages_reset(struct gb_pool *);

/* load.c */
enum pool_load { POOL_LOAD_GOES_ON, POOL_LOAD_DONE, POOL_LOAD_FAILED };

/** Read what is stored of a part. */
void pool_load_begin(struct gb_pool *, uint32_t partition);
enum pool_load pool_load_done(struct gb_pool *, const struct pool_call *,
    const struct gb_pool_read_res *);
/** Forget the flows of a part that was not read to its end. */
void pool_load_drop(struct gb_pool *, uint32_t partition);
/** Look for flows that were stored without the owner. */
void pool_load_inbox(struct gb_pool *, uint32_t partition);
void pool_load_inbox_done(struct gb_pool *, const struct pool_call *,
    const struct gb_pool_read_res *);

#endif
