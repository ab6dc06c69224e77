/**
 * @file core.h
 * State of a scheduler core, shared by the files that implement it.  The core
 * does no I/O: its functions take events and the current time, and it returns
 * actions that the process carries out.
 */
#ifndef GB_CORE_H
#define GB_CORE_H

#include <sys/queue.h>

#include <uthash.h>

#include "gooseberry.h"

/* Keys of rows in the table service, and their prefixes. */
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
/** Rows that one scan of the table service asks for. */
#define SCAN_PAGE 500
/** The rates of two clocks differ by at most 1 / CLOCK_DRIFT_PART. */
#define CLOCK_DRIFT_PART 100

struct store_op;

/** Result of a store operation. */
struct store_result {
	gb_store_status status;
	uint64_t vers;	    /**< version that a transaction gave its rows */
	const gb_row *rows; /**< that a scan read */
	u_int count;
	bool more; /**< more rows follow than the scan asked for */
};

typedef void (*store_done_fn)(
    struct gb_core *, const struct store_op *, const struct store_result *);

/** Operation on the table service that is in flight. */
struct store_op {
	UT_hash_handle hh;
	uint64_t id;
	gb_time started;
	store_done_fn done;
	uint32_t shard;	 /**< shard that it belongs to, or GB_NONE */
	uint64_t serial; /**< serial of that shard when it was sent */
	uint64_t ref;	 /**< value for the use of the caller */
};

/* Members */

/** Another scheduler process of the cell. */
struct member {
	UT_hash_handle hh;
	char name[GB_NAME_MAX + 1];
	uint64_t incarnation;
	char addr[GB_NAME_MAX + 1];
	char dc[GB_NAME_MAX + 1];
	bool listed; /**< is in the current view, as the store has it */
	uint64_t listed_incarnation;
	bool previous;	 /**< was in the view before the current one */
	bool terminated; /**< the platform lists its instance as terminated */
	bool leaving;	 /**< it is stopping */
	bool informed;	 /**< has read the store since it started */
	/** Version of the head row that it read last. */
	uint64_t head_seen;
	uint64_t config_seq; /**< last configuration change that it applied */
	/** Version of the row in which it asks to join, 0: none. */
	uint64_t wait_vers;
	uint64_t wait_incarnation; /**< incarnation in that row */
	gb_time last_heard;	   /**< time of its last message */
	/** Time at which the last beat that it answered was sent. */
	gb_time acked_beat_sent;
	gb_time sent;	  /**< time at which the last beat was sent to it */
	gb_claim *claims; /**< shards that it owns, from its last beat */
	u_int claim_count;
};

/** How far a write to the cell's rows has spread among the members. */
struct spread {
	uint64_t vers; /**< version that the write gave the head row */
	/** Time at which enough members had read it, 0: not yet. */
	gb_time known_at;
};

/* Documents */

struct doc_version {
	gb_change change;
};

/** Document of a team for one service, with its last versions. */
struct doc {
	UT_hash_handle hh;
	char key[2 * GB_NAME_MAX + 2]; /**< team/service */
	struct gb_doc now;	       /**< current version, parsed */
	bool valid;	    /**< the text of the current version is valid */
	gb_change *history; /**< oldest first */
	u_int history_count;
};

struct team {
	char name[GB_NAME_MAX + 1];
	uint32_t weight; /**< divides its dominant share */
	gb_res quota;	 /**< in the whole cell, 0: no limit */
};

/** Configuration change whose caller waits until it is in force. */
struct change_wait {
	TAILQ_ENTRY(change_wait) next;
	uint64_t answer; /**< id of the caller, 0: already answered */
	gb_time deadline;
	gb_change change;
	uint64_t expected;	 /**< version of the document to replace */
	uint64_t preceding_vers; /**< version of the preceding change's row */
	bool sent;		 /**< may have been written */
	bool committed;
	struct spread spread;
};

TAILQ_HEAD(change_waits, change_wait);

/* Jobs */

enum task_state {
	TASK_PENDING,	 /**< waits for a worker */
	TASK_COMMITTING, /**< placed, the record of its start is in flight */
	TASK_STARTING,	 /**< placed, no worker report lists it yet */
	TASK_RUNNING,
	TASK_STOPPING,	/**< its worker has been asked to stop it */
	TASK_UNCERTAIN, /**< after a takeover: may be running on a worker */
	TASK_ENDING,	/**< the record of its end is in flight */
	TASK_LENDING,	/**< the record of its loan is in flight */
	TASK_LENT,	/**< another shard runs it */
	TASK_ENDED
};

struct task {
	uint8_t state;	   /**< enum task_state */
	uint8_t outcome;   /**< enum gb_outcome, once it is ending */
	uint16_t failures; /**< failed attempts */
	uint32_t attempt;  /**< number of the current or last attempt */
	uint32_t worker;   /**< handle, or GB_NONE */
	/** Number of the last report of its worker that listed it. */
	uint32_t last_report;
	uint64_t seq; /**< number of the sync that sends its start */
	/** Incarnation of the worker that the logged start names. */
	uint64_t incarnation;
	gb_time since; /**< time of the last state change or stop request */
};

/** Why a job's next task waits, shown to its team. */
enum wait_reason {
	WAIT_NONE,
	WAIT_CAPACITY,	/**< no worker has the free capacity */
	WAIT_QUOTA,	/**< the team's quota is used up */
	WAIT_BACKOFF,	/**< delayed after a failed attempt */
	WAIT_EVIDENCE,	/**< a worker may still run it */
	WAIT_PLACEMENT, /**< no worker meets its placement rules */
	WAIT_FRESH,	/**< the view of the cell is not confirmed */
	WAIT_COMMIT,	/**< the record of its start is in flight */
	WAIT_STORE,	/**< the table service is unavailable */
	WAIT_LENT	/**< other shards have been asked to run it */
};

/** Tasks of a job that another shard has been asked to run. */
struct loan {
	TAILQ_ENTRY(loan) next;
	uint64_t child; /**< id of the job that the other shard makes of them */
	uint32_t shard; /**< the other shard */
	uint32_t *tasks; /**< indexes of the tasks in the job */
	u_int count;
	bool accepted;	     /**< the other shard has logged the child job */
	bool result_pending; /**< the records of the result are in flight */
	gb_time send_at;     /**< time of the next offer or cancellation */
};

TAILQ_HEAD(loans, loan);

struct job {
	UT_hash_handle hh;
	TAILQ_ENTRY(job) queue; /**< in its team's queue or among the ended */
	TAILQ_ENTRY(job) backoff;
	uint64_t id;
	gb_job_spec spec;
	struct shard *shard;
	uint32_t team; /**< index in the core's teams */
	struct task *tasks;
	uint32_t *ready; /**< indexes of the tasks that wait for a worker */
	uint32_t ready_count;
	uint32_t ended;	 /**< number of tasks that have ended */
	uint32_t active; /**< number of tasks that count against a worker */
	bool queued;
	bool backing_off;
	bool cancelled;
	bool derived; /**< replicas of a service, derived from its document */
	/** Gang that starts again once all its tasks have stopped. */
	bool restarting;
	uint8_t outcome;  /**< enum gb_outcome, once it has ended */
	uint8_t reason;	  /**< enum wait_reason */
	uint32_t rolling; /**< index of the replica being replaced, plus one */
	struct loans loans;
	uint32_t lent;		 /**< number of tasks lent to other shards */
	gb_time lend_not_before; /**< its tasks are not lent earlier */
	bool result_acked;	 /**< child job whose home logged the result */
	gb_time send_at;	 /**< child job: when its result is sent next */
	gb_time resume_at;	 /**< end of its backoff */
	gb_time ended_at;
	gb_time accepted_at;
	gb_time first_start;
};

TAILQ_HEAD(job_queue, job);

/** Jobs of one team in one shard that have tasks to start. */
struct team_queue {
	struct job_queue jobs[GB_BANDS];
	gb_res used;   /**< by the team's tasks on this shard's workers */
	int64_t share; /**< dominant share over weight, in millionths */
};

/* Workers */

/** What is known about a worker's tasks that earlier owners of the shard
 * started. */
enum evidence {
	EVIDENCE_UNKNOWN,   /**< they may still run */
	EVIDENCE_FENCED,    /**< it reported to this owner, earlier ones are
			     * fenced */
	EVIDENCE_LAPSED,    /**< its lease has lapsed, so it runs none */
	EVIDENCE_TERMINATED /**< its instance has terminated */
};

/** A task that counts against a worker. */
struct task_ref {
	struct job *job;
	uint32_t index;
};

struct worker {
	UT_hash_handle hh;
	uint32_t handle;   /**< index in the core's workers */
	uint32_t position; /**< in its shard's workers; its id in the index */
	char name[GB_NAME_MAX + 1];
	char addr[GB_NAME_MAX + 1];
	char dc[GB_NAME_MAX + 1];
	char rack[GB_NAME_MAX + 1];
	char pool[GB_NAME_MAX + 1];
	uint64_t rack_id;
	struct shard *shard;
	gb_res capacity;
	gb_res used;		    /**< by tasks and requests of this owner */
	gb_res foreign;		    /**< by what it runs for earlier owners */
	gb_instance_state platform; /**< as the platform lists it */
	enum evidence evidence;
	bool durable;	      /**< the shard's log names it */
	bool add_pending;     /**< the record that names it is in flight */
	bool draining;	      /**< an operator drains it */
	bool quarantined;     /**< gets no work, as tasks keep failing on it */
	bool indexed;	      /**< is in the shard's placement index */
	bool syncing;	      /**< a sync is in flight */
	uint64_t incarnation; /**< of its last report, 0: none */
	uint64_t seq;	      /**< number of the last sync sent */
	gb_time sent;	      /**< time of that sync, 0: send one at once */
	gb_time anchor;	      /**< its own clock in its last report */
	gb_time anchor_received_at; /**< time at which that report arrived */
	gb_time lapse_at;	    /**< its lease has expired by this time */
	uint32_t reports;	    /**< number of reports received */
	uint32_t failures;   /**< consecutive failures of different jobs */
	uint64_t failed_job; /**< job of the last failure */
	gb_time probe_at;    /**< end of the quarantine */
	struct task_ref *tasks;
	uint32_t task_count;
	uint32_t task_size;
	uint32_t requests; /**< requests that count against it */
	uint32_t given_up; /**< those of them that may run but have no caller */
	gb_sync next_sync; /**< starts, stops and acks to send next */
	u_int start_size, stop_size, ack_size; /**< allocated, in next_sync */
};

/* Requests */

enum request_state {
	REQUEST_WRITING_KEY, /**< its idempotency key is being written */
	REQUEST_WAITING,     /**< is in its shard's queue */
	REQUEST_SENT	     /**< is in flight to a worker */
};

struct request {
	UT_hash_handle hh;
	TAILQ_ENTRY(request) next;
	uint64_t id;
	uint64_t rid;	 /**< id of its exec in flight, 0: none */
	uint64_t serial; /**< serial of the shard when it was sent */
	enum request_state state;
	struct shard *shard;
	gb_request spec; /**< without the body */
	gb_res need;
	bool idempotent;
	bool may_have_run; /**< an earlier try may have run */
	unsigned int tries;
	uint32_t worker; /**< handle of the worker of the last try */
	uint32_t avoid;	 /**< handle of the worker whose try failed */
	gb_time deadline;
	gb_time started;
	char pool[GB_NAME_MAX + 1];
	uint64_t fingerprint; /**< hash of team, service and body */
	uint64_t key_nonce;   /**< in its key row; differs for each request */
	uint64_t key_vers;    /**< version of its key row */
	bool key_written;
};

TAILQ_HEAD(request_queue, request);

/** A try of a request on a worker.  It stays as long as it may run there, also
 * when its request has been answered. */
struct exec {
	UT_hash_handle hh;
	uint64_t rid;
	uint64_t request; /**< id of its request */
	uint32_t worker;  /**< handle */
	uint64_t serial;  /**< serial of the shard when it was sent */
	gb_res need;
	bool given_up; /**< no answer is expected, but it may still run */
	/** Time on the worker's clock after which it cannot start. */
	gb_time expires;
};

/* Shards */

enum shard_state {
	SHARD_NONE,	 /**< this member does not own it */
	SHARD_ACQUIRING, /**< the write that claims it is in flight */
	SHARD_LOADING,	 /**< its snapshot and log are being read */
	SHARD_ACTIVE,	 /**< this member schedules on its workers */
	SHARD_HANDOVER	 /**< is being handed over and starts no new work */
};

/** A record to be written to a shard's log. */
struct log_entry {
	gb_record record;
	uint64_t answer; /**< caller that waits for the commit, 0: none */
};

enum log_phase {
	LOG_IDLE,
	LOG_WRITING,  /**< a batch or a snapshot is being written */
	LOG_CHECKING, /**< the row of an unconfirmed batch is being read */
	LOG_WAITING   /**< a failed read or write waits for its retry */
};

struct log {
	struct log_entry *pending; /**< records of the next batch */
	u_int pending_count, pending_size;
	struct log_entry *in_flight; /**< records of the batch being written */
	u_int in_flight_count;
	enum log_phase phase;
	uint64_t seq;	   /**< sequence number of the last batch written */
	uint64_t snapshot; /**< sequence number that the last snapshot covers */
	/** Sequence number of a snapshot whose write was not confirmed. */
	uint64_t unconfirmed_snapshot;
	/** No snapshot is written before this sequence number. */
	uint64_t no_snapshot_before;
	/** Time at which the first of the pending records was appended. */
	gb_time first_appended_at;
	gb_time retry_at;
	unsigned int tries;
	bool snapshot_read; /**< while loading: the snapshot has been read */
};

/** A part of the cell's workers and jobs that has one owner at a time. */
struct shard {
	uint32_t id;
	enum shard_state state;
	uint64_t serial; /**< changes whenever the shard is acquired or lost */
	bool row_known;	 /**< its row has been read from the store */
	uint64_t row_vers;
	gb_shard_row row;	      /**< as last read, without the name */
	char member[GB_NAME_MAX + 1]; /**< name of the owner in the row */
	gb_time vacant_since;	      /**< it has had no live owner since */
	uint64_t epoch;
	struct spread claim; /**< members that know of the acquisition */
	/** Time at which the last lease that an earlier owner gave has expired,
	 * 0: not known yet. */
	gb_time leases_end;
	struct log log;
	struct gb_index *index; /**< placement index, while it is owned */
	struct job *jobs;
	struct team_queue **teams; /**< one for each team of the core */
	uint32_t team_count;
	uint32_t team_size;
	uint32_t preempting;	  /**< tasks that are stopped by preemption */
	struct job_queue backoff; /**< jobs that wait after a failed attempt */
	struct job_queue ended;	  /**< oldest end first */
	uint32_t loan_count; /**< loans to other shards and child jobs here */
	gb_time loans_due_at;
	struct job *reserved_gang; /**< gang that capacity is kept for */
	gb_res total;		   /**< capacity of all its workers */
	uint32_t *workers;	   /**< handles of its workers */
	uint32_t worker_count, worker_size;
	/** No worker may still run a task of an earlier owner unreported. */
	bool reconciled;
	bool dirty; /**< a change may allow a waiting task to start */
	/** Configuration change that the replicas follow, plus one; 0: none. */
	uint64_t services_config;
	gb_time dispatch_at;
	gb_time digest_at;
	bool handover_pending; /**< the write that hands it over is in flight */
	gb_time handover_since;
	gb_time handover_retry_at;
	struct request_queue waiting;
	uint32_t waiting_count;
	uint32_t sent_count;  /**< requests in flight to workers */
	uint32_t free_slots;  /**< of all usable workers, at the last digest */
	uint32_t usable;      /**< workers that may get work, at that digest */
	uint64_t answered;    /**< requests answered since rate_from */
	gb_time rate_from;    /**< time of the last update of answer_rate */
	uint32_t answer_rate; /**< requests answered per second, smoothed */
};

/** A command that waits for a log write. */
struct command_wait {
	UT_hash_handle hh;
	uint64_t answer; /**< id of the caller */
	gb_time deadline;
	uint32_t shard;
	uint64_t job;
};

struct gb_core {
	unsigned int refs;
	struct gb_core_config cfg;
	char *strings[3]; /**< copies of the strings of cfg, to be freed */
	gb_time now;
	gb_time wall_minus_now;	  /**< wall clock minus the core's time */
	gb_time last_tick;	  /**< time of the last tick, 0: none */
	gb_time list_stale_until; /**< until then core_list_stale is true */
	uint64_t seed;
	struct gb_retry retry;
	struct gb_action *actions; /**< ring of actions to carry out */
	size_t action_head, action_count, action_size;
	struct store_op *ops; /**< in flight, in the order of sending */
	uint64_t next_op;
	/* Members */
	struct member *members; /**< all but this process */
	bool joined;		/**< this incarnation is in the view */
	bool leaving;		/**< a planned stop has begun */
	bool exited;		/**< GB_ACT_EXIT has been issued */
	bool previous;		/**< this member was in the previous view */
	uint64_t view_number;
	uint64_t view_vers;	   /**< version of the view's row */
	struct spread view_spread; /**< members that know of the view */
	bool named;	    /**< the view names this member, any incarnation */
	bool wait_written;  /**< the row that asks to join is written */
	uint64_t wait_vers; /**< version of that row, 0: none */
	bool rows_stale;    /**< the next poll reads all rows */
	bool poll_again;    /**< poll again at once when this poll ends */
	gb_time view_due_since; /**< time since which a new view is due */
	/** A write of a view, or of the row that asks to join, is in flight. */
	bool row_pending;
	gb_time row_retry_at;
	uint64_t head_seen; /**< version of the head row at the last poll */
	/** Version of the head row that the poll in progress has read. */
	uint64_t head_read;
	bool polling;
	gb_time poll_at;
	gb_time poll_started;
	gb_time confirmed; /**< start of the last poll that read everything */
	bool ever_confirmed;
	/* Documents */
	struct doc *docs;
	uint64_t config_seq;   /**< number of the last change applied */
	uint64_t config_vers;  /**< version of the row of that change */
	bool config_loaded;    /**< the snapshot of documents has been read */
	uint64_t config_saved; /**< last change that the snapshot covers */
	uint64_t config_saved_vers; /**< version of the snapshot's row */
	bool config_saving;	    /**< a snapshot is being written */
	struct change_waits changes;
	bool change_busy; /**< a write or check of a change is in flight */
	gb_time change_retry_at;
	struct drain *drains; /**< workers that operators drain */
	/* Teams, workers, shards, requests */
	struct team *teams;
	uint32_t team_count, team_size;
	struct worker *workers_by_name;
	struct worker **workers; /**< by handle */
	uint32_t worker_count, worker_size;
	struct shard *shards;
	uint32_t shard_count;
	gb_time rebalance_at; /**< no handover to balance load before this */
	struct request *requests;
	struct exec *execs;
	uint64_t next_rid;
	struct command_wait *commands;
	struct gb_core_stats stats;
};

/* core.c */
/** Whether this process was paused and has not received the platform's list of
 * instances since, so that it may not know which ones are leaving. */
bool core_list_stale(const struct gb_core *);

/* action.c */
/** Append an empty action; valid until the next one is appended. */
struct gb_action *core_action_add(struct gb_core *, enum gb_action_type);
/** Answer a caller without a body; id 0 is ignored. */
void core_answer(struct gb_core *, uint64_t id, gb_verdict, unsigned status,
    unsigned retry_after_ms, const char *reason);
/** Answer a caller with status 200.  Takes ownership of the body. */
struct gb_action *core_answer_body(
    struct gb_core *, uint64_t id, uint64_t vers, struct gb_text *body);

/* store_op.c */
/** Read up to limit rows of a prefix with keys greater than after. */
void store_op_scan(struct gb_core *, const char *prefix, const char *after,
    uint32_t limit, store_done_fn, uint32_t shard, uint64_t ref);
/** Send a transaction.  Takes ownership of what it contains. */
void store_op_txn(
    struct gb_core *, gb_txn *, store_done_fn, uint32_t shard, uint64_t ref);
/** End the operations that have timed out, with GB_STORE_UNKNOWN. */
void store_op_tick(struct gb_core *);
/** Require that a row has a version; 0: that it is absent. */
void store_txn_cond(gb_txn *, const char *key, uint64_t vers);
/** Takes ownership of the value. */
void store_txn_put(gb_txn *, const char *key, gb_body value);
void store_txn_remove(gb_txn *, const char *key);

/* member.c */
/** Send the heartbeats that are due. */
void member_beats(struct gb_core *);
/** Make a heartbeat to every member due at once. */
void member_beat_now(struct gb_core *);
/** Whether a message of a member arrived within suspect_us, and it neither
 * leaves nor has terminated. */
bool member_live(const struct gb_core *, const struct member *);
struct member *member_find(struct gb_core *, const char *);
struct member *member_add(struct gb_core *, const char *);
bool member_is_self(const struct gb_core *, const char *);
void member_free(struct gb_core *, struct member *);
/** Whether the table service confirmed the view within fresh_us. */
bool member_store_fresh(const struct gb_core *);
/** Whether a write is in force: all members know of it, or enough members have
 * known of it for so long that the others can no longer act on the state
 * before it. */
bool member_write_in_force(struct gb_core *, struct spread *);
/** Whether enough members know of a write that no other member can act for
 * longer than fresh_us without learning of it. */
bool member_write_known(struct gb_core *, struct spread *);
/** Apply what the platform's list says of a member's instance. */
void member_apply_instance(struct gb_core *, const gb_instance *);
void members_free(struct gb_core *);

/* view.c */
void view_tick(struct gb_core *);
/** Poll the table service at the next tick, or again if a poll is running. */
void view_poll_now(struct gb_core *);
/** Add a write of the head row, so that all members read the rows again. */
void view_touch_head(gb_txn *);
/** Add a write of the head row and the condition that the view is still the
 * one that this member knows.  A member that joins with a later view then reads
 * what the transaction writes before it acts. */
void view_bind(const struct gb_core *, gb_txn *);

/* config.c */
struct doc *config_doc(struct gb_core *, const char *team, const char *service);
/** Apply a change read from a row of this version.  A change that does not
 * directly follow the last one applied is ignored. */
bool config_apply(struct gb_core *, const gb_change *, uint64_t vers);
/** Apply the snapshot of documents if it is newer than the state here. */
void config_load(struct gb_core *, const gb_row *);
void config_command(struct gb_core *, uint64_t id, const gb_command *);
void config_tick(struct gb_core *);
void config_free(struct gb_core *);
/** Whether operators drain a worker. */
bool config_drained(struct gb_core *, const char *worker);
/** Index of a team, which is added if it is new. */
uint32_t config_team_index(struct gb_core *, const char *name);

/* shard.c */
/** Apply a shard's row that was read from the store. */
void shard_row_apply(struct gb_core *, const gb_row *);
/** Apply a claim of ownership from a peer's heartbeat. */
void shard_claim_apply(struct gb_core *, const gb_claim *, const char *member);
void shard_tick(struct gb_core *, struct shard *);
/** Drop a shard that another member owns or may own. */
void shard_lose(struct gb_core *, struct shard *, const char *why);
/** Issue GB_ACT_EXIT once a leaving process has nothing left to do. */
void shards_leave(struct gb_core *);
/** Shard by id, or null. */
struct shard *shard_get(struct gb_core *, uint32_t);
/** Whether the shard was lost or acquired since an operation was sent. */
bool shard_serial_stale(const struct gb_core *, const struct store_op *);
/** Key of a shard's row in the table service. */
void shard_key(char *out, size_t, uint32_t shard);

/* log.c */
/** Append a record.  Takes ownership of it; answer is the caller that waits for
 * its commit, 0: none. */
void log_append(struct gb_core *, struct shard *, gb_record *, uint64_t answer);
void log_tick(struct gb_core *, struct shard *);
/** Drop all records and the state of a shard's log. */
void log_clear(struct gb_core *, struct shard *);
/** Drop the record that this caller waits for, if it has not been sent.
 * Returns whether it may have been written. */
bool log_withdraw(struct gb_core *, struct shard *, uint64_t answer);
/** Key of the batch with a sequence number. */
void log_key(char *out, size_t, uint32_t shard, uint64_t seq);
/** Key of the row that names the last snapshot. */
void snapshot_key(char *out, size_t, uint32_t shard);
/** Key of the object with the records of a snapshot. */
void object_key(char *out, size_t, uint32_t shard, uint64_t seq);

/* recover.c */
/** Start to load a shard that was just acquired. */
void recover_start(struct gb_core *, struct shard *);
/** Retry a read that failed. */
void recover_tick(struct gb_core *, struct shard *);
/** Encode the durable state of a shard as records; the caller frees it. */
bool recover_snapshot(struct gb_core *, struct shard *, gb_body *);

/* worker.c */
/** Worker by handle, or null. */
struct worker *worker_get(struct gb_core *, uint32_t);
/** Worker by its position in a shard, which is its id in the placement index;
 * null for GB_NONE. */
struct worker *worker_at(
    const struct gb_core *, const struct shard *, uint32_t position);
/** Apply an entry of the platform's list of instances. */
void worker_instance(struct gb_core *, const gb_instance *);
void worker_tick(struct gb_core *, struct worker *);
/** Update a worker's entry in its shard's placement index. */
void worker_index(struct gb_core *, struct worker *);
/** Whether a worker may get work. */
bool worker_usable(const struct worker *);
/** Count a task against a worker's capacity. */
void worker_attach(struct worker *, struct job *, uint32_t index);
void worker_detach(struct worker *, struct job *, uint32_t index);
/** Add a start of a task to the next sync. */
void worker_start(struct worker *, struct job *, uint32_t index);
/** Add a stop of a task to the next sync. */
void worker_stop(struct worker *, const struct job *, uint32_t index);
/** Acknowledge the end of a task in the next sync. */
void worker_ack(struct worker *, const gb_task_id *);
/** Record that a task of a job succeeded or failed on a worker.  Quarantines a
 * worker on which several different jobs in a row have failed. */
void worker_outcome_record(
    struct gb_core *, struct worker *, uint64_t job, bool failed);
/** Apply the shard's leases_end to its workers that have not reported yet. */
void worker_prior_leases_bound(struct gb_core *, struct shard *);
/** Called when the snapshot and log of a shard have been read. */
void worker_shard_loaded(struct gb_core *, struct shard *);
/** Reset what is known of the workers of a shard that was lost. */
void worker_shard_lost(struct gb_core *, struct shard *);
/** Free capacity; negative where more is used than the worker has. */
gb_res worker_free(const struct worker *);
/** Apply a committed record that a worker has terminated. */
void worker_removal_committed(struct gb_core *, struct shard *, const char *);
/** Apply a committed record that names a worker. */
void worker_addition_committed(
    struct gb_core *, struct shard *, const gb_instance *);
void workers_free(struct gb_core *);

/* job.c */
/** Add a job to a shard, with a copy of its specification. */
struct job *job_new(struct gb_core *, struct shard *, const gb_job_spec *);
void job_free(struct gb_core *, struct job *);
struct job *job_find(struct shard *, uint64_t id);
/** Apply a committed record of the shard's log.  With recovering it is read
 * again after a takeover. */
void job_commit(
    struct gb_core *, struct shard *, const gb_record *, bool recovering);
/** Make a task wait for a worker. */
void job_task_ready(struct gb_core *, struct job *, uint32_t index);
/** Apply a worker's report on a task. */
void job_task_report(struct gb_core *, struct job *, uint32_t index,
    struct worker *, const gb_worker_task *);
/** The worker process restarted after a task had been sent to it. */
void job_task_crashed(struct gb_core *, struct job *, uint32_t index);
/** A task does not run on its worker any more; never_started: it certainly
 * never did. */
void job_task_lost(
    struct gb_core *, struct job *, uint32_t index, bool never_started);
/** Decide the uncertain tasks of a shard once no worker can still run them. */
void job_reconcile(struct gb_core *, struct shard *);
/** Log the end of a task that uses no resources any more. */
void job_task_end(
    struct gb_core *, struct job *, uint32_t index, enum gb_outcome);
/** Queue the tasks of a shard whose snapshot and log have been read. */
void job_recovered(struct gb_core *, struct shard *);
/** Find the task that an entry of a worker's report is about; null when it is
 * not the current attempt of any.  Sets the job, null if there is none. */
struct task *job_task_match(
    struct worker *, const gb_worker_task *, struct job **);
/** Start a new attempt of a task on a worker. */
void job_task_place(
    struct gb_core *, struct job *, uint32_t index, struct worker *);
void job_tick(struct gb_core *, struct shard *);
void job_command(struct gb_core *, uint64_t id, const gb_command *);
/** Answer the command whose record has been committed. */
void job_answer_record(
    struct gb_core *, struct shard *, uint64_t answer, const gb_record *);
/** Answer commands whose deadline has passed. */
void job_commands_tick(struct gb_core *);
/** Answer the commands that wait for a shard which was lost. */
void job_commands_lost(struct gb_core *, struct shard *);
/** Remove a job from its team's queue. */
void job_dequeue(struct job *);
/** Stop a task that is starting or running. */
void job_task_stop(struct gb_core *, struct job *, uint32_t index);
uint64_t job_id(const char *team, const char *name);

/** Stop counting a task's resources against its worker and team. */
void job_task_release(struct gb_core *, struct job *, uint32_t index);
/** Count a task's resources against a worker and its team. */
void job_task_assign(
    struct gb_core *, struct job *, uint32_t index, struct worker *);
/** Queue a task again, or end it if it was cancelled or may not run twice. */
void job_task_retry_or_end(
    struct gb_core *, struct job *, uint32_t index, bool never_started);
/** Set the outcome of a job whose tasks have all ended. */
void job_finish(struct gb_core *, struct job *);

/* service.c */
/** Bring the replicas of a shard in line with the documents. */
void service_sync_all(struct gb_core *, struct shard *);
/** A replica was reported with this document version.  Replaces the replicas
 * of an older version one at a time. */
void service_task_reported(
    struct gb_core *, struct job *, uint32_t index, uint64_t vers);

/* loan.c */
/** Lend waiting tasks of a job to a shard that has free capacity. */
void loan_try(struct gb_core *, struct shard *, struct job *);
/** Apply the committed record of a loan. */
void loan_commit(struct gb_core *, struct shard *, const gb_loan *);
/** Apply the committed record of a loan that was given back. */
void loan_return_commit(struct gb_core *, struct shard *, const gb_loan *);
/** Release a lent task whose end has been committed. */
void loan_task_ended(struct gb_core *, struct job *, uint32_t index);
void loan_tick(struct gb_core *, struct shard *);
void loan_free(struct job *, struct loan *);
/** Fill in the record of a loan, which borrows the list of tasks. */
void loan_record(const struct job *, const struct loan *, gb_loan *);

/* dispatch.c */
/** Start as many waiting tasks as the capacity and the quotas allow. */
void dispatch_run(struct gb_core *, struct shard *);
/** Add queues for new teams. */
void dispatch_team_grow(struct gb_core *, struct shard *);
void dispatch_teams_free(struct shard *);
/** Set what all teams use of the shard to zero. */
void dispatch_usage_reset(struct shard *);
/** Add resources to what a team uses of the shard, or subtract them. */
void dispatch_account(
    struct gb_core *, struct shard *, uint32_t team, const gb_res *, bool add);

/* request.c */
/** Send waiting requests of a shard to workers with free capacity. */
void request_dispatch(struct gb_core *, struct shard *);
/** Answer requests whose deadline has passed. */
void request_tick(struct gb_core *);
/** Answer the requests of a lost shard that have not been sent, and drop the
 * execs that were given up. */
void request_shard_lost(struct gb_core *, struct shard *);
/** Number of this process's requests that a worker lists, but that were sent
 * before this process lost and acquired its shard again. */
uint32_t request_count_unknown(
    struct gb_core *, const struct worker *, const gb_sync_res *);
/** Free the capacity of given up requests that a report no longer lists. */
void request_apply_report(
    struct gb_core *, struct worker *, const gb_sync_res *);
/** Free the capacity of given up requests of a worker process that ended. */
void request_worker_ended(struct gb_core *, struct worker *);
void requests_free(struct gb_core *);

/* report.c */
/** Answer a command that shows the state of the cell. */
void report_command(struct gb_core *, uint64_t id, const gb_command *);

/* name.c */
/** Whether a name is 1 to GB_NAME_MAX letters, digits, '-', '_' or '.'. */
bool name_valid(const char *);

#endif
