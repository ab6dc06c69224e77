/**
 * @file pool.h
 * Public interface of the pool core: one owner schedules flows (jobs of
 * dependent steps) on all workers of a pool.
 *
 * The core does no I/O and reads no clock.  Events come in as calls that carry
 * the time; what has to be done goes out through struct gb_pool_ops, whose
 * calls end later with one of the gb_pool_*_done functions, exactly once and
 * never from within the call itself.  Times are microseconds of a clock that
 * counts suspended time, unless a name says otherwise.
 */
#ifndef GB_POOL_H
#define GB_POOL_H

#include "gooseberry.h"
#include "pool/contention.h"

/* Configuration of the cell ----------------------------------------------- */

/** What the advice service of a queue costs: its time for a call. */
struct gb_pool_advice {
	bool needed;
	gb_time decide_us;   /**< for each call */
	gb_time per_item_us; /**< more for each worker that is named */
	gb_time valid_us;    /**< life of a ticket */
};

/** A queue of flows. */
struct gb_pool_queue {
	char name[GB_NAME_MAX + 1];
	char host[GB_NAME_MAX + 1];
	char prefix[GB_NAME_MAX + 1]; /**< of the path, ends with a slash */
	char service[GB_NAME_MAX + 1];
	uint32_t priority; /**< 0 is the most urgent */
	uint32_t max_attempts;
	double stretch;	   /**< objective over the longest chain of work */
	gb_time target_us; /**< added to it */
	struct gb_pool_advice advice;
	bool anonymous; /**< callers need no key */
};

/** Room of many workers together. */
struct gb_pool_amount {
	int64_t cpu;   /**< thousandths of a processor */
	int64_t mem;   /**< MiB */
	int64_t accel; /**< accelerators */
};

/** Why an organisation of a configuration can't be used.  What holds for the
 * others stands. */
enum gb_pool_org_error {
	GB_POOL_ORG_VALID,
	GB_POOL_ORG_UNNAMED,	/**< no name, or one that is too long */
	GB_POOL_ORG_TWICE,	/**< another one has its name */
	GB_POOL_ORG_RANGE,	/**< a weight or quota that cannot be */
	GB_POOL_ORG_KEY,	/**< a key that is no text, or empty */
	GB_POOL_ORG_KEY_SHARED, /**< a key that another one has */
	GB_POOL_ORG_ERRORS
};

/** Text for logs and metrics. */
const char *gb_pool_org_error_name(enum gb_pool_org_error);

/** An organisation: whose callers share keys, a quota and a weight. */
struct gb_pool_org {
	char name[GB_NAME_MAX + 1];
	uint32_t weight;	     /**< its share when all is full */
	struct gb_pool_amount quota; /**< it may run at once, 0: no limit */
};

/** Digest of an API key; the key itself is not kept. */
struct gb_pool_key_digest {
	unsigned char bytes[GB_KEY_DIGEST];
};

/** Room for a digest as text: two digits a byte. */
#define GB_KEY_DIGEST_TEXT (2 * GB_KEY_DIGEST + 1)

struct gb_pool_key;

/** One version of the operator's configuration. */
struct gb_pool_config {
	unsigned int refs;
	uint64_t version;
	struct gb_pool_queue *queues; /**< sorted by name once it is sealed */
	size_t queue_count;
	char (*services)[GB_NAME_MAX + 1]; /**< pools of workers */
	size_t service_count;
	/** It names organisations: callers need keys.  Deployments without
	 * organisations have none. */
	bool keyed;
	struct gb_pool_org *orgs; /**< in the order in which they were added */
	size_t org_count;
	struct gb_pool_key *keys; /**< by digest */
	unsigned int org_errors[GB_POOL_ORG_ERRORS];
};

struct gb_pool_config *gb_pool_config_new(size_t queues, size_t services);
/** All queues are filled in: make them ready to be found. */
void gb_pool_config_seal(struct gb_pool_config *);
/** Add an organisation; one that can't be is left out.  There is room for as
 * many as were announced. */
void gb_pool_config_orgs(struct gb_pool_config *, size_t most);
enum gb_pool_org_error gb_pool_config_org_add(
    struct gb_pool_config *, const struct gb_pool_org *);
/** Give the organisation that was added last a key. */
enum gb_pool_org_error gb_pool_config_key_add(
    struct gb_pool_config *, const char *key);
/** The same by its digest. */
enum gb_pool_org_error gb_pool_config_digest_add(
    struct gb_pool_config *, const struct gb_pool_key_digest *);
void gb_pool_key_digest(const char *key, struct gb_pool_key_digest *);
/** A digest as text, and back; false when it is none. */
void gb_pool_key_digest_text(
    const struct gb_pool_key_digest *, char out[GB_KEY_DIGEST_TEXT]);
bool gb_pool_key_digest_parse(const char *, struct gb_pool_key_digest *);
/** Organisation that has a key, or null. */
const struct gb_pool_org *gb_pool_config_key_org(
    const struct gb_pool_config *, const struct gb_pool_key_digest *);
const struct gb_pool_org *gb_pool_config_org(
    const struct gb_pool_config *, const char *name);
/** Keys of all organisations. */
size_t gb_pool_config_keys(const struct gb_pool_config *);
/** Free what the functions above have added. */
void gb_pool_config_orgs_free(struct gb_pool_config *);
struct gb_pool_config *gb_pool_config_ref(struct gb_pool_config *);
void gb_pool_config_unref(struct gb_pool_config *);
const struct gb_pool_queue *gb_pool_config_queue(
    const struct gb_pool_config *, const char *name);
/** Whether the configuration names a service, as one of its own or as that of a
 * queue. */
bool gb_pool_config_serves(const struct gb_pool_config *, const char *service);
/** Queue of a request: the longest prefix of the path for that host. */
const struct gb_pool_queue *gb_pool_config_route(
    const struct gb_pool_config *, const char *host, const char *path);

/* Workers ----------------------------------------------------------------- */

#define GB_POOL_LABELS 8

/** Why an entry of the list names no worker to use.  Others than the workers
 * themselves may write there. */
enum gb_pool_entry_error {
	GB_POOL_ENTRY_VALID,
	GB_POOL_ENTRY_UNREADABLE, /**< its bytes are no object */
	GB_POOL_ENTRY_INCOMPLETE, /**< a field is missing, or of another type */
	GB_POOL_ENTRY_RANGE,	  /**< a value that cannot be */
	GB_POOL_ENTRY_STATE,	  /**< a state that nobody knows */
	GB_POOL_ENTRY_ERRORS
};

/** Text for logs and metrics. */
const char *gb_pool_entry_error_name(enum gb_pool_entry_error);

/** An entry of the platform's list of workers.  Of one with a fault the id
 * alone is told. */
struct gb_pool_entry {
	char id[GB_NAME_MAX + 1];
	/** Tells the lifetimes under one id apart, 0: not told.  A start's time
	 * of day, which jumps: it says nothing of which one came first. */
	int64_t incarnation;
	enum gb_pool_entry_error fault;
	char addr[GB_NAME_MAX + 1];
	char dc[GB_NAME_MAX + 1];
	char service[GB_NAME_MAX + 1];
	char label[GB_POOL_LABELS][GB_NAME_MAX + 1];
	uint32_t label_count;
	gb_res capacity;
	bool draining;
	bool removed; /**< is no longer listed */
};

/** Identifies one start of a task. */
struct gb_pool_run_id {
	const char *flow;
	uint32_t step;
	uint32_t index;
	uint64_t run;
};

/** An order for a worker: start or stop a run. */
struct gb_pool_order {
	const char *worker; /**< id of the one that is meant */
	const char *addr;
	struct gb_pool_run_id id;
	uint64_t token; /**< fencing token */
	/* For starts only */
	const char *spec;
	int64_t lease_end_ms; /**< on the worker's clock */
	const char *checkpoint;
	const char *ticket;
};

enum gb_pool_order_status {
	GB_POOL_ORDER_DONE,
	GB_POOL_ORDER_FENCED, /**< the worker knows a newer fencing token */
	GB_POOL_ORDER_STALE,  /**< such a run has ended or been stopped */
	GB_POOL_ORDER_LEASE_EXPIRED, /**< its lease would have lapsed already */
	GB_POOL_ORDER_NO_CAPACITY,
	GB_POOL_ORDER_NO_TICKET,
	GB_POOL_ORDER_REFUSED,	    /**< unhealthy worker; nothing was done */
	GB_POOL_ORDER_WRONG_WORKER, /**< a worker with another id answered */
	GB_POOL_ORDER_MALFORMED,
	GB_POOL_ORDER_LOST /**< no answer; may be done, also later */
};

struct gb_pool_order_res {
	enum gb_pool_order_status status;
	int64_t clock_ms;    /**< the worker's, 0: not told */
	int64_t incarnation; /**< of the worker that answered, 0: not told */
};

/** Renew a worker's lease and ask what it runs.  Lease and cursor are for one
 * life of the worker: where neither a connection to it stands nor `sure` says
 * that no other can answer, the worker is only asked. */
struct gb_pool_heartbeat {
	const char *worker;
	const char *addr;
	int64_t incarnation; /**< that is meant, 0: there is only one under the
				id */
	bool confirmed;	     /**< it answered just now */
	uint64_t token;
	int64_t lease_end_ms; /**< on the worker's clock, 0: do not renew */
	uint64_t cursor;      /**< ends up to this number are stored */
	gb_time wait_us;      /**< the answer may wait for an end this long */
};

enum gb_pool_outcome {
	GB_POOL_DONE,
	GB_POOL_FAILED,
	GB_POOL_STOPPED,
	GB_POOL_LAPSED,
	GB_POOL_GANG_BROKEN,	/**< another member of the gang ended */
	GB_POOL_GANG_INCOMPLETE /**< the other members did not come in time */
};

/** A run that a worker lists, or its end. */
struct gb_pool_run_report {
	char flow[GB_NAME_MAX + 1];
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
	uint64_t run;
	char checkpoint[GB_NAME_MAX + 1];
	uint32_t percent; /**< of a run: how far it has come */
	uint64_t number;  /**< of an end: position in the worker's list */
	enum gb_pool_outcome outcome; /**< of an end */
};

struct gb_pool_report {
	enum gb_pool_order_status status;
	int64_t clock_ms;
	int64_t incarnation; /**< of the worker that answered, 0: not told */
	bool question;	     /**< it was only asked: no lease, no cursor */
	struct gb_pool_run_report *running;
	size_t running_count;
	struct gb_pool_run_report *ended;
	size_t ended_count;
};

/* Store ------------------------------------------------------------------- */

/** Tables of the pool. */
enum gb_pool_table {
	GB_POOL_OWNERS, /**< who owns the pool, one row in each part */
	GB_POOL_FLOWS,	/**< what was submitted */
	GB_POOL_STATES, /**< what became of it */
	GB_POOL_INBOX,	/**< flows that were stored without the owner */
	GB_POOL_TABLES
};

/** Rows of one part are written one transaction after the other, and the store
 * may lose some of its partitions while the others serve.  Each part stands for
 * itself: its own owner's row, set of workers, flows and states.  With five,
 * the pool can be taken over while two of them are out; each more costs a write
 * of its own for what one would gather. */
#define GB_POOL_PARTITIONS 5
/** Key of the owner's row. */
#define GB_POOL_OWNER_KEY "owner"
/** Key of the set of workers that may run flows of the part, same table. */
#define GB_POOL_WORKERS_KEY "workers-"

uint32_t gb_pool_partition(const char *flow_id);

struct gb_pool_row {
	enum gb_pool_table table;
	const char *key;
	uint64_t vers; /**< of a condition: 0 says that it must be absent */
	bool remove;
	gb_body value;
};

struct gb_pool_txn {
	uint32_t partition;
	struct gb_pool_row *conds;
	size_t cond_count;
	struct gb_pool_row *puts;
	size_t put_count;
};

struct gb_pool_txn_res {
	gb_store_status status;
	uint64_t vers;		  /**< of what was put */
	struct gb_pool_row *rows; /**< after a conflict: the conditions' rows */
	size_t row_count;
};

/** Rows of a table with from <= key < to. */
struct gb_pool_read {
	uint32_t partition;
	enum gb_pool_table table;
	const char *from; /**< empty: from the first */
	const char *to;	  /**< empty: to the last */
	uint32_t limit;
	/** The least time for its answer, 0: as long as reads usually take. */
	gb_time patience;
};

struct gb_pool_read_res {
	gb_store_status status;
	struct gb_pool_row *rows;
	size_t row_count;
	bool more;
};

/* Core -------------------------------------------------------------------- */

/** The link of the node, as far as it decides what to send. */
struct gb_pool_link {
	gb_time queued;	      /**< what was sent keeps it busy so long */
	uint64_t bytes_per_s; /**< 0: it does not matter */
	double use;	      /**< share of that which is sent, of late */
};

/** What the core asks its owner to do.  Pointers in arguments hold only for
 * the time of the call. */
struct gb_pool_ops {
	void (*start)(void *, uint64_t call, const struct gb_pool_order *);
	void (*stop)(void *, uint64_t call, const struct gb_pool_order *);
	void (*heartbeat)(
	    void *, uint64_t call, const struct gb_pool_heartbeat *);
	/** Ask the advice service by way of a member. */
	void (*advise)(void *, uint64_t call, const char *member_addr,
	    const gb_advice_ask *);
	void (*txn)(void *, uint64_t call, const struct gb_pool_txn *);
	void (*read)(void *, uint64_t call, const struct gb_pool_read *);
	/** Answer a submission or question. */
	void (*answer)(void *, uint64_t token, const gb_flow_answer *);
	/** Ownership was gained or lost. */
	void (*owner)(void *, bool owns, uint64_t epoch);
	/** How busy the link is; null: it does not matter. */
	void (*link)(void *, struct gb_pool_link *);
	void *data;
};

/** Bounds of the deployment. */
struct gb_pool_limits {
	gb_time lease_us;     /**< longest lease that a worker grants */
	gb_time stop_us;      /**< a stop takes at most this long */
	gb_time keep_us;      /**< states are answered this long */
	uint32_t connections; /**< this node may have open, 0: no limit */
};

/** Mechanisms that can be switched off.  Each stands where it is decided; none
 * is needed to keep a promise. */
enum gb_feature {
	GB_FEATURE_DEADLINE_ORDER, /**< what is due first starts first */
	GB_FEATURE_PREEMPTION,	/**< work that can wait is stopped for gangs */
	GB_FEATURE_RESERVATION, /**< room is kept for gangs that wait */
	GB_FEATURE_ADVICE_PREFETCH, /**< advice is asked for before a step is
				       ready */
	GB_FEATURE_ADVICE_CHANNELS, /**< a gang asks several lanes at once */
	GB_FEATURE_TICKET_RENEWAL, /**< tickets are renewed before room is there
				    */
	GB_FEATURE_QUARANTINE,	 /**< workers that fail or stand still are left
				    out */
	GB_FEATURE_FAST_WORKERS, /**< who is pressed gets the fast workers */
	GB_FEATURE_SPECULATION, /**< stragglers are copied where that is allowed
				 */
	GB_FEATURE_WRITE_BATCHING, /**< changes are gathered before they are
				      written */
	GB_FEATURE_HANDOVER,	   /**< an owner that stops serves until it is
				    * succeeded
				    */
	GB_FEATURE_SUCCESSION,	   /**< successors claim in an order */
	GB_FEATURE_STORE_CHECK, /**< successors look when the owner can't write
				 */
	GB_FEATURE_STORE_WITHOUT_OWNER, /**< nodes store flows while there is no
					   owner */
	GB_FEATURE_STORE_FOR_OWNER, /**< and those that the owner can't store */
	GB_FEATURE_STORE_WHILE_QUICK, /**< but only while the store is quick */
	GB_FEATURE_PACING, /**< what can wait is sent as the link takes it */
	GB_FEATURE_SIZE_ORDER,	/**< large flows go behind small ones */
	GB_FEATURE_SHARE_ORDER, /**< what is over an organisation's share goes
				   behind */
	GB_FEATURES
};

/** Read a list of names, separated by commas, as bits. */
bool gb_features_parse(const char *list, uint32_t *out, struct gb_error *);

struct gb_pool_settings {
	const char *name;     /**< of this node */
	const char *addr;     /**< of its peer port */
	uint64_t incarnation; /**< differs with each start of the process */
	uint64_t seed;
	struct gb_pool_limits limits;
	uint32_t
	    disabled_features; /**< mechanisms that are switched off, as bits */
	struct gb_events *events;
};

struct gb_pool;

struct gb_pool *gb_pool_new(
    const struct gb_pool_settings *, const struct gb_pool_ops *, gb_time now);
struct gb_pool *gb_pool_ref(struct gb_pool *);
void gb_pool_unref(struct gb_pool *);

/** Let time pass; call at least every GB_POOL_TICK_US. */
void gb_pool_tick(struct gb_pool *, gb_time now, gb_time wall);
#define GB_POOL_TICK_US (5 * GB_MSEC)

/** Parts, the first ones, in which an owner renews its row whatever else it
 * writes: as many as make an owner, so that who could take the pool can read
 * one of them. */
#define GB_POOL_PARTITIONS_RENEWED (GB_POOL_PARTITIONS / 2 + 1)

/** The owner's row of a part, as it is stored. */
struct gb_owner_record {
	gb_owner_row row;
	uint32_t contested; /**< takeovers from owners at work, lately */
};

bool gb_owner_record_encode(const struct gb_owner_record *, gb_body *);
/** Returns false, and leaves nothing to clear, when it can't be read. */
bool gb_owner_record_decode(struct gb_owner_record *, const gb_body *);
void gb_owner_record_clear(struct gb_owner_record *);

/** Try to become the owner after the one of that epoch; given up when the
 * store names a later one. */
void gb_pool_take(
    struct gb_pool *, gb_time now, uint64_t after, enum takeover_cause);
/** The pool was lost to a process that this one had asked to take it. */
void gb_pool_handed(struct gb_pool *);
/** A process that does not stop is alive; it may have owned the pool before. */
void gb_pool_alive(struct gb_pool *, gb_time now, uint64_t incarnation);
/** Write what is pending, then give the ownership up. */
void gb_pool_release(struct gb_pool *, gb_time now);
/** Somebody was heard of that owns the pool at a later epoch. */
void gb_pool_epoch_seen(struct gb_pool *, gb_time now, uint64_t epoch);
bool gb_pool_owns(const struct gb_pool *);
/** Whether the ownership is being gained. */
bool gb_pool_acquiring(const struct gb_pool *);
/** Whether it is as good as gained: others should wait for this node. */
bool gb_pool_loading(const struct gb_pool *);
uint64_t gb_pool_epoch(const struct gb_pool *);
/** Time since the store last confirmed the ownership. */
gb_time gb_pool_store_silent(const struct gb_pool *, gb_time now);
/** Whether most parts of the tables do not take this owner's writes. */
bool gb_pool_store_unavailable(const struct gb_pool *);

void gb_pool_configure(struct gb_pool *, gb_time now, struct gb_pool_config *);
/** Entries of the list of workers that are new or have changed; a whole list
 * names all there are. */
void gb_pool_workers(struct gb_pool *, gb_time now,
    const struct gb_pool_entry *, size_t count, bool whole);
/** A member that may ask the advice service. */
void gb_pool_member(
    struct gb_pool *, gb_time now, const char *addr, bool usable);

/** Take a flow in; answered through ops.answer. */
void gb_pool_submit(
    struct gb_pool *, gb_time now, uint64_t token, const gb_flow_submit *);
void gb_pool_ask(
    struct gb_pool *, gb_time now, uint64_t token, const gb_flow_ask *);

void gb_pool_start_done(struct gb_pool *, gb_time now, uint64_t call,
    const struct gb_pool_order_res *);
void gb_pool_stop_done(struct gb_pool *, gb_time now, uint64_t call,
    const struct gb_pool_order_res *);
void gb_pool_heartbeat_done(struct gb_pool *, gb_time now, uint64_t call,
    const struct gb_pool_report *);
void gb_pool_advise_done(
    struct gb_pool *, gb_time now, uint64_t call, const gb_advice_res *);
void gb_pool_txn_done(struct gb_pool *, gb_time now, uint64_t call,
    const struct gb_pool_txn_res *);
void gb_pool_read_done(struct gb_pool *, gb_time now, uint64_t call,
    const struct gb_pool_read_res *);

/** Whether a flow can be taken in at all: its shape is served. */
bool gb_flow_check(const gb_flow *, struct gb_error *);

/** Whether a flow may be seen and cancelled by callers of an organisation: by
 * its own, and by all where one of the two belongs to none. */
bool gb_flow_visible(const char *flow_org, const char *caller_org);

/** Read a row of the table of submitted flows, also of older programs; free the
 * flow with xdr_free.  False when it can't be read. */
bool gb_flow_decode(const gb_body *row, gb_flow_row *);

/** Read a row of the table of states, also of older programs; free the state
 * with xdr_free.  False when it can't be read. */
bool gb_flow_state_decode(const gb_body *row, gb_flow_state *);

/** Counters of a core, for the metrics address. */
struct gb_pool_stats {
	uint64_t submitted, accepted, refused, repeated;
	uint64_t starts, starts_refused, starts_lost, stops, preempted,
	    heartbeats;
	uint64_t done, failed, stopped, lapsed, broken, alone;
	uint64_t crashed;	/**< runs lost with a worker that is over */
	uint64_t gone;		/**< runs that a worker no longer lists */
	uint64_t workers_ended; /**< lifetimes of workers that ended */
	uint64_t given_up;	/**< flows that crash their workers */
	uint64_t advice_calls, advice_busy, advice_lost;
	uint64_t entry_errors[GB_POOL_ENTRY_ERRORS]; /**< entries refused */
	uint64_t txns, txn_conflicts, txn_lost, rows, reads, takeovers, losses;
	uint64_t takeovers_failed; /**< claims that came to nothing */
	uint64_t flows, waiting, running, workers, quarantined;
	struct gb_histogram accept_us, first_start_us, finish_us, advice_us;
	struct gb_histogram txn_us, start_us, takeover_us;
};

const struct gb_pool_stats *gb_pool_stats(struct gb_pool *);

/** An organisation as this owner of the pool sees it. */
struct gb_pool_org_stat {
	char name[GB_NAME_MAX + 1];
	uint32_t weight;
	struct gb_pool_amount used;
	struct gb_pool_amount quota; /**< 0: no limit */
	uint64_t accepted;	     /**< flows */
	uint64_t over_share;	     /**< of these, beyond its share */
	uint64_t refused;	     /**< submissions that were not admitted */
	uint32_t waiting;	     /**< flows that have not begun */
	uint64_t quota_waits;	     /**< flows that waited for its quota */
};

/** Fills in so many organisations at the most; returns how many. */
size_t gb_pool_orgs(
    const struct gb_pool *, struct gb_pool_org_stat *out, size_t most);

/* Events ------------------------------------------------------------------ */

/** Structured log: a JSON object a line, bounded, never blocking. */
struct gb_events;

/** What a line is about, which decides what is left out under load. */
enum gb_event_class {
	GB_EVENT_ALWAYS, /**< starts, stops, dependencies, failures */
	GB_EVENT_NORMAL	 /**< one of many; dropped beyond the budget */
};

struct gb_events *gb_events_new(
    struct uv_loop_s *, int fd, uint32_t lines_per_s, const char *node);
void gb_events_free(struct gb_events *);
/** Take the time of lines from there, as tests do. */
void gb_events_clock(struct gb_events *, const gb_time *);
/** Write a line.  The format is json_pack's, for the line's own fields. */
void gb_event(struct gb_events *, enum gb_event_class, const char *event,
    const char *fmt, ...);
uint64_t gb_events_dropped(const struct gb_events *);

#endif
