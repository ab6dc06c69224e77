/**
 * @file core.h
 * State of a scheduler core, shared by the files that make it up.  The core
 * does no I/O: calls bring events and the time, actions go out.
 */
#ifndef GB_CORE_H
#define GB_CORE_H

#include <sys/queue.h>

#include <uthash.h>

#include "gooseberry.h"

#define CELL_PREFIX "cell/"
#define HEAD_KEY "cell/head"
#define VIEW_KEY "cell/view"
#define WAIT_PREFIX "cell/wait/"
#define SNAPSHOT_PREFIX "snapshot/"
#define SHARD_PREFIX "cell/shard/"
#define CHANGE_PREFIX "change/"
#define CONFIG_KEY "config"
#define LOG_PREFIX "log/"
#define OBJECT_PREFIX "object/"
#define KEY_PREFIX "key/"
#define SCAN_PAGE 500
/** Worker clocks may differ in rate by one part in this. */
#define CLOCK_DRIFT_PART 100

struct store_op;

/** End of a store operation as its caller sees it. */
struct store_result {
	gb_store_status status;
	uint64_t vers;
	const gb_row *rows;
	u_int count;
	bool more;
};

typedef void (*store_done_fn)(
    struct gb_core *, const struct store_op *, const struct store_result *);

struct store_op {
	UT_hash_handle hh;
	uint64_t id;
	gb_time started;
	store_done_fn done;
	uint32_t shard;	 /**< shard it works for, or GB_NONE */
	uint64_t serial; /**< the shard's serial when it was sent */
	uint64_t ref;	 /**< meaning is the caller's */
};

/* Members */

struct member {
	UT_hash_handle hh;
	char name[GB_NAME_MAX + 1];
	uint64_t incarnation;
	char addr[GB_NAME_MAX + 1];
	char dc[GB_NAME_MAX + 1];
	bool listed; /**< is in the view of the store */
	uint64_t listed_incarnation;
	bool previous; /**< was in the view before that */
	bool gone;     /**< the platform says that its instance has ended */
	bool leaving;
	bool informed; /**< has read the store since it started */
	uint64_t seen; /**< version of the head row it has read */
	uint64_t config;
	uint64_t wait_vers; /**< of the row in which it waits, 0: none */
	uint64_t wait_incarnation;
	gb_time last_heard; /**< last sign of life */
	gb_time echoed;	    /**< when the last beat it answered was sent */
	gb_time sent;	    /**< last beat sent to it */
	gb_claim *claims;
	u_int claim_count;
};

/** How far a write of the cell's rows has become known. */
struct spread {
	uint64_t vers;	  /**< of the head row that the write made */
	gb_time known_at; /**< when enough members knew of it, 0: not yet */
};

/* Documents */

struct doc_version {
	gb_change change;
};

struct doc {
	UT_hash_handle hh;
	char key[2 * GB_NAME_MAX + 2];
	struct gb_doc now;
	bool valid; /**< false when its text could not be parsed */
	gb_change *history;
	u_int history_count;
};

struct team {
	char name[GB_NAME_MAX + 1];
	uint32_t weight;
	gb_res quota;
};

/** A change that waits to be accepted or to be in force. */
struct change_wait {
	TAILQ_ENTRY(change_wait) next;
	uint64_t answer;
	gb_time deadline;
	gb_change change;
	uint64_t expected;
	uint64_t after_vers; /**< of the row of the change before */
	bool sent;	     /**< may have been written */
	bool committed;
	struct spread spread;
};

TAILQ_HEAD(change_waits, change_wait);

/* Jobs */

enum task_state {
	TASK_PENDING,
	TASK_COMMITTING,
	TASK_STARTING,
	TASK_RUNNING,
	TASK_STOPPING,
	TASK_UNSURE,
	TASK_ENDING,
	TASK_LENDING,
	TASK_LENT,
	TASK_ENDED
};

struct task {
	uint8_t state;
	uint8_t outcome;
	uint16_t failures;
	uint32_t attempt;
	uint32_t worker;      /**< handle, or GB_NONE */
	uint32_t seen;	      /**< number of the report that listed it */
	uint64_t seq;	      /**< sync that carried its start */
	uint64_t incarnation; /**< of the worker a logged start names */
	gb_time since;
};

/** Why a job's next task waits, for explain. */
enum wait_reason {
	WAIT_NONE,
	WAIT_CAPACITY,
	WAIT_QUOTA,
	WAIT_BACKOFF,
	WAIT_EVIDENCE,
	WAIT_PLACEMENT,
	WAIT_FRESH,
	WAIT_COMMIT,
	WAIT_STORE,
	WAIT_LENT
};

/** Tasks that another shard has been asked to run. */
struct loan {
	TAILQ_ENTRY(loan) next;
	uint64_t child;
	uint32_t shard;
	uint32_t *tasks;
	u_int count;
	bool taken;  /**< the other shard has them in its log */
	bool result; /**< the records of their ends are being written */
	gb_time tell_at;
};

TAILQ_HEAD(loans, loan);

struct job {
	UT_hash_handle hh;
	TAILQ_ENTRY(job) queue;
	TAILQ_ENTRY(job) backoff;
	uint64_t id;
	gb_job_spec spec;
	struct shard *shard;
	uint32_t team;
	struct task *tasks;
	uint32_t *ready;
	uint32_t ready_count;
	uint32_t ended;
	uint32_t active; /**< tasks that may hold resources */
	bool queued;
	bool backing_off;
	bool cancelled;
	bool derived;	 /**< replicas of a service, made from its document */
	bool restarting; /**< gang that is stopped before it starts anew */
	uint8_t outcome;
	uint8_t reason;
	uint32_t rolling; /**< task that is being replaced, plus one */
	struct loans loans;
	uint32_t lent;	 /**< tasks that other shards have */
	gb_time lend_at; /**< not lent before */
	bool settled;	 /**< a child whose home has the result */
	gb_time tell_at; /**< a child's next result */
	gb_time resume_at;
	gb_time ended_at;
	gb_time accepted_at;
	gb_time first_start;
};

TAILQ_HEAD(job_queue, job);

/** Jobs of one team in one shard that have tasks to start. */
struct team_queue {
	struct job_queue jobs[GB_BANDS];
	gb_res used;
	int64_t share; /**< weighted dominant share, in millionths */
};

/* Workers */

enum evidence {
	EVIDENCE_UNKNOWN,
	EVIDENCE_FENCED,
	EVIDENCE_LAPSED,
	EVIDENCE_GONE
};

struct task_ref {
	struct job *job;
	uint32_t index;
};

struct worker {
	UT_hash_handle hh;
	uint32_t handle;
	uint32_t place; /**< among its shard's workers, for the index */
	char name[GB_NAME_MAX + 1];
	char addr[GB_NAME_MAX + 1];
	char dc[GB_NAME_MAX + 1];
	char rack[GB_NAME_MAX + 1];
	char pool[GB_NAME_MAX + 1];
	uint64_t rack_id;
	struct shard *shard;
	gb_res capacity;
	gb_res used;	/**< by this core's tasks and requests */
	gb_res foreign; /**< by what earlier owners left */
	gb_instance_state platform;
	enum evidence evidence;
	bool durable;	  /**< named in the shard's log */
	bool adding;	  /**< the record that names it is being written */
	bool draining;	  /**< by an operator */
	bool quarantined; /**< it fails what it is given */
	bool indexed;
	bool syncing;
	uint64_t incarnation;
	uint64_t seq;
	gb_time sent;
	gb_time anchor;	      /**< its clock in the last report */
	gb_time anchor_local; /**< when that report came */
	gb_time lapse_at;     /**< its lease is over by then */
	uint32_t reports;
	uint32_t failures; /**< in a row, of different jobs */
	uint64_t failed_job;
	gb_time probe_at;
	struct task_ref *tasks;
	uint32_t task_count;
	uint32_t task_size;
	uint32_t requests;
	uint32_t given_up; /**< requests of these without an answer */
	gb_sync out;	   /**< starts, stops and acks for the next sync */
	u_int start_size, stop_size, ack_size;
};

/* Requests */

enum request_state { REQUEST_KEYED, REQUEST_WAITING, REQUEST_SENT };

struct request {
	UT_hash_handle hh;
	TAILQ_ENTRY(request) next;
	uint64_t id;
	uint64_t rid;	 /**< of the exec that is out */
	uint64_t serial; /**< of the shard when it was sent */
	enum request_state state;
	struct shard *shard;
	gb_request spec; /**< without the body */
	gb_res need;
	bool idempotent;
	bool maybe; /**< an earlier try may have run */
	unsigned int tries;
	uint32_t worker;
	uint32_t avoid; /**< worker of the failed try */
	gb_time deadline;
	gb_time started;
	char pool[GB_NAME_MAX + 1];
	uint64_t fingerprint;
	uint64_t key_nonce;
	uint64_t key_vers;
	bool key_written;
};

TAILQ_HEAD(request_queue, request);

/** Exec that is out, also when its request has been given up on. */
struct exec {
	UT_hash_handle hh;
	uint64_t rid;
	uint64_t request;
	uint32_t worker;
	uint64_t serial; /**< of the shard */
	gb_res need;
	bool given_up;	 /**< no answer came, but it may still be running */
	gb_time expires; /**< worker clock; it can't begin after this */
};

/* Shards */

enum shard_state {
	SHARD_NONE,
	SHARD_ACQUIRING,
	SHARD_LOADING,
	SHARD_ACTIVE,
	SHARD_HANDING
};

struct log_entry {
	gb_record record;
	uint64_t answer; /**< who waits for the commit, 0: nobody */
};

enum log_phase { LOG_IDLE, LOG_WRITING, LOG_CHECKING, LOG_WAITING };

struct log {
	struct log_entry *next; /**< collected for the next write */
	u_int next_count, next_size;
	struct log_entry *flight; /**< being written */
	u_int flight_count;
	enum log_phase phase;
	uint64_t seq;	     /**< last sequence that is written */
	uint64_t snapshot;   /**< sequence the last snapshot covers */
	uint64_t unsure;     /**< snapshot whose write was not confirmed */
	uint64_t skip_until; /**< no snapshot before this sequence */
	gb_time opened;	     /**< when the oldest collected record came */
	gb_time retry_at;
	unsigned int tries;
	bool snapshot_read; /**< while the shard is loaded */
};

struct shard {
	uint32_t id;
	enum shard_state state;
	uint64_t serial; /**< grows whenever the shard is gained or lost */
	bool row_known;
	uint64_t row_vers;
	gb_shard_row row;
	char member[GB_NAME_MAX + 1]; /**< of the owner in the row */
	gb_time vacant_since;
	uint64_t epoch;
	struct spread claim; /**< how far its taking has become known */
	gb_time claim_over;  /**< no lease of an earlier owner lasts longer */
	struct log log;
	struct gb_index *index; /**< while the shard is owned */
	struct job *jobs;
	struct team_queue **teams; /**< one for each team of the core */
	uint32_t team_count;
	uint32_t team_size;
	uint32_t preempting; /**< tasks being stopped for more urgent ones */
	struct job_queue backoff;
	struct job_queue ended;
	uint32_t lending; /**< loans and children that need attention */
	gb_time loans_at;
	struct job *holder; /**< gang that room is kept for */
	gb_res total;
	uint32_t *workers; /**< handles of the shard's workers */
	uint32_t worker_count, worker_size;
	bool reconciled; /**< every worker's evidence is in */
	bool dirty;	 /**< something changed that may let work start */
	uint64_t services_config; /**< config the replicas were made from */
	gb_time dispatch_at;
	gb_time digest_at;
	bool hand_busy;
	gb_time handing_since;
	gb_time hand_at;
	struct request_queue waiting;
	uint32_t waiting_count;
	uint32_t sent_count; /**< requests that workers have in hand */
	uint32_t free_slots; /**< digest, a little old */
	uint32_t usable;     /**< workers that may be given work */
	uint64_t drained;    /**< requests ended in this second */
	gb_time drain_from;
	uint32_t drain_rate; /**< requests ended a second, smoothed */
};

/** A command that waits for a log write. */
struct command_wait {
	UT_hash_handle hh;
	uint64_t answer;
	gb_time deadline;
	uint32_t shard;
	uint64_t job;
};

struct gb_core {
	unsigned int refs;
	struct gb_core_config cfg;
	char *strings[3];
	gb_time now;
	gb_time wall_minus_now;
	gb_time ticked;	      /**< time of the last tick */
	gb_time list_awaited; /**< until then the list counts as stale */
	uint64_t seed;
	struct gb_retry retry;
	struct gb_action *actions;
	size_t action_head, action_count, action_size;
	struct store_op *ops;
	uint64_t next_op;
	/* Members */
	struct member *members;
	bool joined; /**< this incarnation is in the view */
	bool leaving;
	bool exited;
	bool previous; /**< this member was in the view before */
	uint64_t view_number;
	uint64_t view_vers; /**< of the view's row */
	struct spread view_spread;
	bool named; /**< the view names this member, of any incarnation */
	bool wait_written;	/**< this process waits in a row of its own */
	uint64_t wait_vers;	/**< of that row, 0: none */
	bool rows_stale;	/**< read all rows at the next poll */
	bool poll_again;	/**< look again at once */
	gb_time view_due_since; /**< a next view has been due this long */
	bool row_pending;
	gb_time row_retry_at;
	uint64_t head_seen; /**< version of the head row read last */
	uint64_t head_read; /**< the same, while its news are being read */
	bool polling;
	gb_time poll_at;
	gb_time poll_started;
	gb_time confirmed; /**< start of the last whole look at the store */
	bool ever_confirmed;
	/* Documents */
	struct doc *docs;
	uint64_t config_seq;
	uint64_t config_vers;  /**< of the row of the last change */
	bool config_loaded;    /**< the snapshot of documents has been read */
	uint64_t config_saved; /**< change that the snapshot covers */
	uint64_t config_saved_vers; /**< of the snapshot's row */
	bool config_saving;
	struct change_waits changes;
	bool change_busy;
	gb_time change_retry_at;
	struct drain *drains;
	/* Teams, workers, shards, requests */
	struct team *teams;
	uint32_t team_count, team_size;
	struct worker *workers_by_name;
	struct worker **workers;
	uint32_t worker_count, worker_size;
	struct shard *shards;
	uint32_t shard_count;
	gb_time rebalance_at; /**< no handover for balance before */
	struct request *requests;
	struct exec *execs;
	uint64_t next_rid;
	struct command_wait *commands;
	struct gb_core_stats stats;
};

/* core.c */
/** Whether this process was frozen and has not seen the platform's list
 * since, so that it may not know who is leaving. */
bool core_list_stale(const struct gb_core *);

/* action.c */
struct gb_action *core_action_add(struct gb_core *, enum gb_action_type);
void core_answer(struct gb_core *, uint64_t id, gb_verdict, unsigned status,
    unsigned retry_after_ms, const char *reason);
struct gb_action *core_answer_body(
    struct gb_core *, uint64_t id, uint64_t vers, struct gb_text *body);

/* store_op.c */
void store_op_scan(struct gb_core *, const char *prefix, const char *after,
    uint32_t limit, store_done_fn, uint32_t shard, uint64_t ref);
/** Takes over what the transaction owns. */
void store_op_txn(
    struct gb_core *, gb_txn *, store_done_fn, uint32_t shard, uint64_t ref);
void store_op_tick(struct gb_core *);
void store_txn_cond(gb_txn *, const char *key, uint64_t vers);
/** Takes over the value. */
void store_txn_put(gb_txn *, const char *key, gb_body value);
void store_txn_remove(gb_txn *, const char *key);

/* member.c */
void member_beats(struct gb_core *);
/** Tell all members at once that there is news. */
void member_beat_now(struct gb_core *);
bool member_live(const struct gb_core *, const struct member *);
struct member *member_find(struct gb_core *, const char *);
struct member *member_add(struct gb_core *, const char *);
bool member_is_self(const struct gb_core *, const char *);
void member_free(struct gb_core *, struct member *);
/** Whether the table service confirmed the view within fresh_us. */
bool member_store_fresh(const struct gb_core *);
/** Follow a write until it is in force: all members know of it, or enough
 * members have known of it for so long that the rest cannot act on what was
 * before. */
bool member_spread_done(struct gb_core *, struct spread *);
/** Whether enough members know of a write that no other can go on for longer
 * than fresh_us without learning of it. */
bool member_spread_known(struct gb_core *, struct spread *);
void member_instance(struct gb_core *, const gb_instance *);
void members_free(struct gb_core *);

/* view.c */
void view_tick(struct gb_core *);
void view_poll_now(struct gb_core *);
/** Add to a transaction what tells all members to look again. */
void view_touch_head(gb_txn *);
/** The same, and let it take effect only under this member's view: whoever
 * joins later has read what the transaction wrote. */
void view_bind(const struct gb_core *, gb_txn *);

/* config.c */
struct doc *config_doc(struct gb_core *, const char *team, const char *service);
/** Apply the next change, as its row tells it; others are passed over. */
bool config_apply(struct gb_core *, const gb_change *, uint64_t vers);
/** Take in the snapshot of documents, if it is newer than what is known. */
void config_load(struct gb_core *, const gb_row *);
void config_command(struct gb_core *, uint64_t id, const gb_command *);
void config_tick(struct gb_core *);
void config_free(struct gb_core *);
bool config_drained(struct gb_core *, const char *worker);
uint32_t config_team(struct gb_core *, const char *name);

/* shard.c */
void shard_row_seen(struct gb_core *, const gb_row *);
void shard_claim_seen(struct gb_core *, const gb_claim *, const char *member);
void shard_tick(struct gb_core *, struct shard *);
void shard_lose(struct gb_core *, struct shard *, const char *why);
void shards_leave(struct gb_core *);
struct shard *shard_get(struct gb_core *, uint32_t);
bool shard_serial_stale(const struct gb_core *, const struct store_op *);
void shard_key(char *out, size_t, uint32_t shard);

/* log.c */
/** Takes over the record. */
void log_append(struct gb_core *, struct shard *, gb_record *, uint64_t answer);
void log_tick(struct gb_core *, struct shard *);
void log_clear(struct gb_core *, struct shard *);
/** Whether a record that this answer waits for may have been written.  One
 * that was not is dropped. */
bool log_withdraw(struct gb_core *, struct shard *, uint64_t answer);
void log_key(char *out, size_t, uint32_t shard, uint64_t seq);
void snapshot_key(char *out, size_t, uint32_t shard);
void object_key(char *out, size_t, uint32_t shard, uint64_t seq);

/* recover.c */
void recover_start(struct gb_core *, struct shard *);
void recover_tick(struct gb_core *, struct shard *);
/** All that must last of a shard, as records. */
bool recover_snapshot(struct gb_core *, struct shard *, gb_body *);

/* worker.c */
struct worker *worker_get(struct gb_core *, uint32_t);
/** Worker at a place of a shard, as the index names it; null for GB_NONE. */
struct worker *worker_at(
    const struct gb_core *, const struct shard *, uint32_t place);
void worker_instance(struct gb_core *, const gb_instance *);
void worker_tick(struct gb_core *, struct worker *);
void worker_index(struct gb_core *, struct worker *);
bool worker_usable(const struct worker *);
void worker_attach(struct worker *, struct job *, uint32_t index);
void worker_detach(struct worker *, struct job *, uint32_t index);
void worker_start(struct worker *, struct job *, uint32_t index);
void worker_stop(struct worker *, const struct job *, uint32_t index);
void worker_ack(struct worker *, const gb_task_id *);
void worker_blame(struct gb_core *, struct worker *, uint64_t job, bool failed);
/** No lease that an earlier owner gave can last from now on. */
void worker_claim_over(struct gb_core *, struct shard *);
void worker_shard_taken(struct gb_core *, struct shard *);
void worker_shard_lost(struct gb_core *, struct shard *);
gb_res worker_free(const struct worker *);
/** Find every record that names a worker that has ended. */
void worker_gone_committed(struct gb_core *, struct shard *, const char *);
void worker_durable(struct gb_core *, struct shard *, const gb_instance *);
void workers_free(struct gb_core *);

/* job.c */
struct job *job_new(struct gb_core *, struct shard *, const gb_job_spec *);
void job_free(struct gb_core *, struct job *);
struct job *job_find(struct shard *, uint64_t id);
void job_commit(
    struct gb_core *, struct shard *, const gb_record *, bool recovering);
void job_task_ready(struct gb_core *, struct job *, uint32_t index);
void job_task_report(struct gb_core *, struct job *, uint32_t index,
    struct worker *, const gb_held *);
/** A worker restarted under a task that had been sent to it. */
void job_task_crashed(struct gb_core *, struct job *, uint32_t index);
void job_task_lost(
    struct gb_core *, struct job *, uint32_t index, bool never_started);
/** Let tasks start anew once no worker can still hold them. */
void job_settle(struct gb_core *, struct shard *);
/** Log the end of a task that holds nothing any more. */
void job_task_end(
    struct gb_core *, struct job *, uint32_t index, enum gb_outcome);
void job_recovered(struct gb_core *, struct shard *);
struct task *job_task_match(struct worker *, const gb_held *, struct job **);
void job_place(struct gb_core *, struct job *, uint32_t index, struct worker *);
void job_tick(struct gb_core *, struct shard *);
void job_command(struct gb_core *, uint64_t id, const gb_command *);
/** Answer the command whose record has been committed. */
void job_answer_record(
    struct gb_core *, struct shard *, uint64_t answer, const gb_record *);
void job_commands_tick(struct gb_core *);
void job_commands_lost(struct gb_core *, struct shard *);
void job_dequeue(struct job *);
void job_stop_task(struct gb_core *, struct job *, uint32_t index);
uint64_t job_id(const char *team, const char *name);

/** Stop counting a task's resources against its worker and team. */
void job_task_release(struct gb_core *, struct job *, uint32_t index);
/** Count them. */
void job_task_hold(
    struct gb_core *, struct job *, uint32_t index, struct worker *);
/** A task may start anew, or must end because nothing may run it again. */
void job_task_again(
    struct gb_core *, struct job *, uint32_t index, bool never_started);
/** All tasks of a job have ended. */
void job_finish(struct gb_core *, struct job *);

/* service.c */
void service_sync_all(struct gb_core *, struct shard *);
/** A replica was reported: replace those of an older document in turn. */
void service_task_seen(
    struct gb_core *, struct job *, uint32_t index, uint64_t vers);

/* loan.c */
/** Lend waiting tasks of a job to a shard that has room. */
void loan_consider(struct gb_core *, struct shard *, struct job *);
void loan_commit(struct gb_core *, struct shard *, const gb_loan *);
void loan_return_commit(struct gb_core *, struct shard *, const gb_loan *);
/** A lent task has ended by a committed record. */
void loan_task_ended(struct gb_core *, struct job *, uint32_t index);
void loan_tick(struct gb_core *, struct shard *);
void loan_free(struct job *, struct loan *);
void loan_record(const struct job *, const struct loan *, gb_loan *);

/* dispatch.c */
void dispatch_run(struct gb_core *, struct shard *);
void dispatch_team_grow(struct gb_core *, struct shard *);
void dispatch_teams_free(struct shard *);
/** Nothing of the shard is used by any team any more. */
void dispatch_forget(struct shard *);
void dispatch_account(
    struct gb_core *, struct shard *, uint32_t team, const gb_res *, bool add);

/* request.c */
void request_dispatch(struct gb_core *, struct shard *);
void request_tick(struct gb_core *);
void request_shard_lost(struct gb_core *, struct shard *);
/** Requests of this process that a worker lists, but that belong to an earlier
 * ownership of its shard. */
uint32_t request_unknown(
    struct gb_core *, const struct worker *, const gb_sync_res *);
/** A report came: free the room of requests that it no longer lists. */
void request_reported(struct gb_core *, struct worker *, const gb_sync_res *);
/** The worker process that held the requests has ended. */
void request_worker_ended(struct gb_core *, struct worker *);
void requests_free(struct gb_core *);

/* report.c */
void report_command(struct gb_core *, uint64_t id, const gb_command *);

/* name.c */
bool name_valid(const char *);

#endif
