/**
 * @file pool.h
 * Public interface of the pool core: one owner schedules flows (jobs of
 * dependent steps) on all workers of a pool.
 *
 * The core does no I/O and reads no clock.  Events come in as calls that carry
 * the time; requests go out through struct gb_pool_ops.  Each request ends
 * later with exactly one call of a gb_pool_*_done function, never from within
 * the request itself.  The core ignores the result of a request that it doesn't
 * know or that was made in an earlier ownership.  Times are in microseconds of
 * a clock that counts suspended time, unless a name says otherwise.
 *
 * Functions allocate with gb_calloc, which aborts when memory runs out, so that
 * a constructor never returns null.
 */
#ifndef GB_POOL_H
#define GB_POOL_H

#include "gooseberry.h"
#include "pool/contention.h"

/* Configuration of the cell ----------------------------------------------- */

/** Advice service of a queue, and the time that a call to it takes. */
struct gb_pool_advice {
	bool needed;
	gb_time decide_us; /**< time of each call */
	gb_time
	    per_worker_us; /**< additional time for each worker in the call */
	gb_time valid_us;  /**< validity of a ticket */
};

/** A queue of flows. */
struct gb_pool_queue {
	char name[GB_NAME_MAX + 1];
	char host[GB_NAME_MAX + 1];
	char prefix[GB_NAME_MAX + 1]; /**< of the path, ends with a slash */
	char service[GB_NAME_MAX + 1];
	uint32_t priority; /**< 0 is the most urgent */
	uint32_t max_attempts;
	/** Objective of a flow, counted from its submission:
	 * objective_base_us + objective_factor * (run time of its longest chain
	 * of steps). */
	double objective_factor;
	gb_time objective_base_us;
	struct gb_pool_advice advice;
	bool anonymous; /**< callers need no key */
};

/** Capacity of many workers together. */
struct gb_pool_amount {
	int64_t cpu;   /**< thousandths of a processor */
	int64_t mem;   /**< MiB */
	int64_t accel; /**< accelerators */
};

/** Why an organisation of a configuration is invalid.  The valid organisations
 * stay in use. */
enum gb_pool_org_error {
	GB_POOL_ORG_VALID,
	GB_POOL_ORG_UNNAMED,	 /**< no name, or one that is too long */
	GB_POOL_ORG_DUPLICATE,	 /**< another organisation has its name */
	GB_POOL_ORG_RANGE,	 /**< a weight or quota is out of range */
	GB_POOL_ORG_KEY_INVALID, /**< a key is empty or not a string */
	GB_POOL_ORG_KEY_SHARED,	 /**< a key belongs to another organisation */
	GB_POOL_ORG_ERRORS
};

/** Text for logs and metrics. */
const char *gb_pool_org_error_name(enum gb_pool_org_error);

/** An organisation: its callers share keys, a quota and a weight. */
struct gb_pool_org {
	char name[GB_NAME_MAX + 1];
	/** Its share of a full pool: submissions per second, 0: no limit. */
	uint32_t weight;
	/** Limit of what it runs at once, 0: no limit. */
	struct gb_pool_amount quota;
};

/** SHA-256 digest of an API key; the key itself is not kept. */
struct gb_pool_key_digest {
	unsigned char bytes[GB_KEY_DIGEST];
};

/** Size of a digest as text: two digits per byte and a final null. */
#define GB_KEY_DIGEST_TEXT (2 * GB_KEY_DIGEST + 1)

struct gb_pool_key;

/** One version of the operator's configuration. */
struct gb_pool_config {
	unsigned int refs;
	uint64_t version;
	/** Sorted by name after gb_pool_config_seal. */
	struct gb_pool_queue *queues;
	size_t queue_count;
	char (*services)[GB_NAME_MAX + 1]; /**< names of services */
	size_t service_count;
	/** The configuration names organisations, so that callers need keys. */
	bool keyed;
	struct gb_pool_org *orgs; /**< in the order in which they were added */
	size_t org_count;
	struct gb_pool_key *keys; /**< by digest */
	unsigned int org_errors[GB_POOL_ORG_ERRORS];
};

/** Creates a configuration with one reference and that many zeroed queues and
 * services, which the caller fills in. */
struct gb_pool_config *gb_pool_config_new(size_t queues, size_t services);
/** Sorts the queues once all are filled in; they can't be found before. */
void gb_pool_config_seal(struct gb_pool_config *);
/** Allocates space for `max` organisations, once and before the first is
 * added. */
void gb_pool_config_orgs_alloc(struct gb_pool_config *, size_t max);
/** Adds a copy of an organisation unless it is invalid, and counts the result
 * in org_errors. */
enum gb_pool_org_error gb_pool_config_org_add(
    struct gb_pool_config *, const struct gb_pool_org *);
/** Adds a key to the organisation that was added last, unless it is invalid,
 * and counts errors in org_errors.  The text may be null. */
enum gb_pool_org_error gb_pool_config_key_add(
    struct gb_pool_config *, const char *key);
/** Adds a key by its digest to the organisation that was added last. */
enum gb_pool_org_error gb_pool_config_digest_add(
    struct gb_pool_config *, const struct gb_pool_key_digest *);
/** Computes the digest of a key. */
void gb_pool_key_digest(const char *key, struct gb_pool_key_digest *);
/** Converts a digest to lower-case hexadecimal text, and back.  Parsing returns
 * false when the text is no digest. */
void gb_pool_key_digest_text(
    const struct gb_pool_key_digest *, char out[GB_KEY_DIGEST_TEXT]);
bool gb_pool_key_digest_parse(const char *, struct gb_pool_key_digest *);
/** Returns the organisation that has a key, or null. */
const struct gb_pool_org *gb_pool_config_key_org(
    const struct gb_pool_config *, const struct gb_pool_key_digest *);
/** Returns the organisation of that name, or null; null as well when there is
 * no configuration. */
const struct gb_pool_org *gb_pool_config_org(
    const struct gb_pool_config *, const char *name);
/** Number of keys of all organisations. */
size_t gb_pool_config_key_count(const struct gb_pool_config *);
/** Frees the organisations and keys of a configuration; called by
 * gb_pool_config_unref. */
void gb_pool_config_orgs_free(struct gb_pool_config *);
struct gb_pool_config *gb_pool_config_ref(struct gb_pool_config *);
/** Releases a reference, and frees the configuration with the last one.  Null
 * is allowed. */
void gb_pool_config_unref(struct gb_pool_config *);
/** Returns the queue of that name in a sealed configuration, or null; null as
 * well when there is no configuration. */
const struct gb_pool_queue *gb_pool_config_queue(
    const struct gb_pool_config *, const char *name);
/** Whether the configuration names a service, in its list of services or in a
 * queue. */
bool gb_pool_config_has_service(
    const struct gb_pool_config *, const char *service);
/** Returns the queue of a request: of those for that host, the one with the
 * longest prefix of the path; null if there is none. */
const struct gb_pool_queue *gb_pool_config_route(
    const struct gb_pool_config *, const char *host, const char *path);

/* Workers ----------------------------------------------------------------- */

#define GB_POOL_LABELS 8

/** Why an entry of the platform's worker list can't be used.  Not only the
 * workers themselves may write entries. */
enum gb_pool_entry_error {
	GB_POOL_ENTRY_VALID,
	GB_POOL_ENTRY_UNREADABLE, /**< it is no valid JSON object */
	GB_POOL_ENTRY_INCOMPLETE, /**< a field is missing or has another type */
	GB_POOL_ENTRY_RANGE,	  /**< a value is out of range */
	GB_POOL_ENTRY_STATE,	  /**< the state is unknown */
	GB_POOL_ENTRY_ERRORS
};

/** Text for logs and metrics. */
const char *gb_pool_entry_error_name(enum gb_pool_entry_error);

/** An entry of the platform's list of workers.  An invalid one has only its
 * id. */
struct gb_pool_entry {
	char id[GB_NAME_MAX + 1];
	/** Identifies the incarnation of the worker, 0: unknown.  It is the
	 * time of day of its start, which may jump, so it doesn't tell which of
	 * two incarnations is newer. */
	int64_t incarnation;
	enum gb_pool_entry_error error;
	char addr[GB_NAME_MAX + 1];
	char dc[GB_NAME_MAX + 1];
	char service[GB_NAME_MAX + 1];
	char label[GB_POOL_LABELS][GB_NAME_MAX + 1];
	uint32_t label_count;
	gb_res capacity;
	bool draining;
	/** Minimum time until a draining worker terminates, 0: unknown. */
	gb_time leaves_in;
	bool removed; /**< is no longer listed */
};

/** Identifies one run of a task. */
struct gb_pool_run_id {
	const char *flow; /**< id of the flow */
	uint32_t step;	  /**< index of the step in the flow */
	uint32_t index;	  /**< of the task in the step */
	uint64_t run;	  /**< run number */
};

/** An order to a worker: start or stop a run. */
struct gb_pool_order {
	const char *worker; /**< id of the worker */
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
	GB_POOL_ORDER_DONE,   /**< carried out */
	GB_POOL_ORDER_FENCED, /**< the worker knows a newer fencing token */
	GB_POOL_ORDER_STALE,  /**< the run has ended or was stopped */
	GB_POOL_ORDER_LEASE_EXPIRED, /**< the lease would have expired already
				      */
	GB_POOL_ORDER_NO_CAPACITY,
	GB_POOL_ORDER_NO_TICKET,    /**< no valid ticket of the advice service
				     */
	GB_POOL_ORDER_REFUSED,	    /**< unhealthy worker; nothing was done */
	GB_POOL_ORDER_WRONG_WORKER, /**< a worker with another id answered */
	GB_POOL_ORDER_MALFORMED,    /**< the worker couldn't read the order */
	GB_POOL_ORDER_LOST /**< no answer; the order may be carried out, even
			      later */
};

struct gb_pool_order_res {
	enum gb_pool_order_status status;
	int64_t clock_ms; /**< the worker's clock, 0: not reported */
	/** Of the worker that answered, 0: not reported. */
	int64_t incarnation;
};

/** Renews a worker's lease and asks what it runs.  Lease and cursor are valid
 * for one incarnation of the worker: without an open connection to it, and
 * unless `confirmed` is set, the worker is only asked. */
struct gb_pool_heartbeat {
	const char *worker;
	const char *addr;
	/** Expected incarnation, 0: the id has only one. */
	int64_t incarnation;
	/** The incarnation has just answered, so no other one can. */
	bool confirmed;
	uint64_t token;
	int64_t lease_end_ms; /**< on the worker's clock, 0: don't renew */
	uint64_t cursor;      /**< ends up to this number are stored */
	gb_time wait_us; /**< longest time that the answer may wait for the end
			    of a run */
};

enum gb_pool_outcome {
	GB_POOL_DONE,
	GB_POOL_FAILED,
	GB_POOL_STOPPED,
	GB_POOL_LAPSED,		/**< the worker's lease expired */
	GB_POOL_GANG_BROKEN,	/**< another task of the gang ended */
	GB_POOL_GANG_INCOMPLETE /**< the other tasks of the gang didn't start in
				   time */
};

/** A running task or the end of a run, as a worker reports it. */
struct gb_pool_run_report {
	char flow[GB_NAME_MAX + 1];
	/** Number between flow and step in the names of tasks; 0 in the names
	 * that this scheduler gives. */
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
	uint64_t run;
	const char *checkpoint; /**< null or empty: none */
	uint32_t percent;	/**< progress of a running task */
	/** Of an end: its number in the worker's list of ends. */
	uint64_t number;
	enum gb_pool_outcome outcome; /**< of an end */
};

/** Answer of a worker to a heartbeat. */
struct gb_pool_report {
	enum gb_pool_order_status status;
	int64_t clock_ms; /**< the worker's clock, 0: not reported */
	/** Of the worker that answered, 0: not reported. */
	int64_t incarnation;
	/** The worker was only asked, without lease and cursor. */
	bool report_only;
	struct gb_pool_run_report *running;
	size_t running_count;
	struct gb_pool_run_report *ended;
	size_t ended_count;
};

/* Store ------------------------------------------------------------------- */

/** Tables of the pool. */
enum gb_pool_table {
	GB_POOL_OWNERS, /**< who owns the pool, one row in each partition; and
			   the worker sets */
	GB_POOL_FLOWS,	/**< submitted flows */
	GB_POOL_STATES, /**< states of flows */
	GB_POOL_INBOX,	/**< flows that were stored without the owner */
	GB_POOL_TABLES
};

/** Number of partitions of the tables.  The rows of a partition are written one
 * transaction after the other, and some partitions of the store may be
 * unavailable while others work.  Each has its own owner's row, worker set,
 * flows and states.  With five, the pool can be taken over while two of them
 * are unavailable.  Each further partition costs writes of its own, since a
 * transaction writes to one partition only. */
#define GB_POOL_PARTITIONS 5
/** Key of the owner's row. */
#define GB_POOL_OWNER_KEY "owner"
/** Prefix of the keys of the set of workers that may run flows of the
 * partition, in the same table. */
#define GB_POOL_WORKERS_KEY "workers-"

/** Partition that has the rows of a flow, by a hash of its id. */
uint32_t gb_pool_partition(const char *flow_id);

struct gb_pool_row {
	enum gb_pool_table table;
	const char *key;
	uint64_t vers; /**< version; in a condition 0: the row must be absent */
	bool remove;   /**< in a put: remove the row */
	gb_body value;
};

/** A transaction: writes all puts if all conditions hold, else nothing. */
struct gb_pool_txn {
	uint32_t partition;
	struct gb_pool_row *conds;
	size_t cond_count;
	struct gb_pool_row *puts;
	size_t put_count;
};

struct gb_pool_txn_res {
	gb_store_status status;
	uint64_t vers; /**< version of the written rows */
	/** After a conflict: the rows of the conditions. */
	struct gb_pool_row *rows;
	size_t row_count;
};

/** Reads the rows of a table with from <= key < to. */
struct gb_pool_read {
	uint32_t partition;
	enum gb_pool_table table;
	const char *from; /**< empty: from the first row */
	const char *to;	  /**< empty: to the last row */
	uint32_t limit;
	/** Minimum timeout of the answer, 0: the usual timeout of reads. */
	gb_time min_timeout;
};

struct gb_pool_read_res {
	gb_store_status status;
	struct gb_pool_row *rows; /**< in the order of their keys */
	size_t row_count;
	bool more; /**< the range has more rows than were returned */
};

/* Core -------------------------------------------------------------------- */

/** State of the node's network link. */
struct gb_pool_link {
	gb_time queued;	      /**< time to send what is queued on it */
	uint64_t bytes_per_s; /**< bandwidth, 0: no limit */
	gb_time answer_delay; /**< for which answers may wait on it */
	/** Share of the bandwidth that was in use recently to send, 1: all. */
	double use;
	/** The same for what is received. */
	double use_received;
};

/** Callbacks by which the core does its I/O.  Pointers in arguments are valid
 * only during the call.  The first argument is `data`; `call` is the number to
 * pass to the function with the result. */
struct gb_pool_ops {
	/** Sends a start order; ends with gb_pool_start_done. */
	void (*start)(void *, uint64_t call, const struct gb_pool_order *);
	/** Sends a stop order; ends with gb_pool_stop_done. */
	void (*stop)(void *, uint64_t call, const struct gb_pool_order *);
	/** Sends a heartbeat; ends with gb_pool_heartbeat_done. */
	void (*heartbeat)(
	    void *, uint64_t call, const struct gb_pool_heartbeat *);
	/** Asks the advice service through a member; ends with
	 * gb_pool_advise_done. */
	void (*advise)(void *, uint64_t call, const char *member_addr,
	    const gb_advice_ask *);
	/** Carries out a transaction; ends with gb_pool_txn_done. */
	void (*txn)(void *, uint64_t call, const struct gb_pool_txn *);
	/** Reads rows; ends with gb_pool_read_done. */
	void (*read)(void *, uint64_t call, const struct gb_pool_read *);
	/** Answers the gb_pool_submit or gb_pool_ask of this token. */
	void (*answer)(void *, uint64_t token, const gb_flow_answer *);
	/** The ownership was gained or lost. */
	void (*owner)(void *, bool owns, uint64_t epoch);
	/** Fills in how busy the link is; null: no limit. */
	void (*link)(void *, struct gb_pool_link *);
	void *data;
};

/** Limits of the deployment. */
struct gb_pool_limits {
	gb_time lease_us; /**< longest lease that a worker accepts */
	gb_time stop_us;  /**< longest time that a stop takes */
	/** Time for which states of finished flows are kept. */
	gb_time keep_us;
	uint32_t connections; /**< open ones to workers, 0: no limit */
	size_t flow_bytes;    /**< memory of open flows, 0: no limit */
};

/** Features that can be disabled by the setting `off`.  No guarantee depends on
 * them. */
enum gb_feature {
	GB_FEATURE_DEADLINE_ORDER, /**< flows start by their latest start
				      time, not by submission */
	GB_FEATURE_PREEMPTION,	/**< work that can wait is stopped for gangs */
	GB_FEATURE_RESERVATION, /**< capacity is reserved for waiting gangs */
	GB_FEATURE_ADVICE_PREFETCH, /**< advice is requested before a step is
				       ready */
	GB_FEATURE_ADVICE_CHANNELS, /**< a gang uses several advice channels at
				       once */
	GB_FEATURE_TICKET_RENEWAL,  /**< tickets are renewed before there is
				       capacity */
	GB_FEATURE_QUARANTINE,	 /**< workers that fail or stall get no work */
	GB_FEATURE_FAST_WORKERS, /**< urgent flows get the fast workers */
	GB_FEATURE_SPECULATION,	 /**< stragglers get a second run where the step
				    allows it */
	GB_FEATURE_WRITE_BATCHING, /**< changes are written in batches */
	GB_FEATURE_HANDOVER, /**< an owner that stops works on until a successor
				has taken over */
	GB_FEATURE_SUCCESSION,	/**< successors take over in order of rank */
	GB_FEATURE_STORE_CHECK, /**< successors check the store when the owner
				   can't write */
	GB_FEATURE_STORE_WITHOUT_OWNER, /**< nodes store flows while there is no
					   owner */
	GB_FEATURE_STORE_FOR_OWNER, /**< nodes store flows that the owner can't
				       store */
	GB_FEATURE_STORE_WHILE_QUICK, /**< nodes store flows only while the
					 store is quick */
	GB_FEATURE_PACING, /**< what can wait is sent when the link has capacity
			    */
	GB_FEATURE_SIZE_ORDER,	   /**< large flows go behind small ones */
	GB_FEATURE_SHARE_ORDER,	   /**< flows beyond the share of their
				      organisation go behind */
	GB_FEATURE_PRIORITY_ORDER, /**< flows of the most urgent queues go first
				    */
	GB_FEATURE_USAGE_ORDER,	 /**< organisations that use less of their share
				    go first */
	GB_FEATURE_GANG_WORKERS, /**< the fuller the pool, the more workers are
				    approved for a gang */
	GB_FEATURES
};

/** Parses a list of feature names, separated by commas, to bits.  Returns false
 * with GB_E_INVALID when a name is unknown. */
bool gb_features_parse(const char *list, uint32_t *out, struct gb_error *);

struct gb_pool_settings {
	const char *name;     /**< of this node */
	const char *addr;     /**< of its peer port */
	uint64_t incarnation; /**< differs with each start of the process */
	uint64_t seed;	      /**< of random choices */
	struct gb_pool_limits limits;
	uint32_t disabled_features; /**< bits by enum gb_feature */
	struct gb_events *events;   /**< null: no log; must outlive the core */
};

struct gb_pool;

/** Creates a core with one reference, which owns nothing.  Copies the settings
 * and the callbacks. */
struct gb_pool *gb_pool_new(
    const struct gb_pool_settings *, const struct gb_pool_ops *, gb_time now);
struct gb_pool *gb_pool_ref(struct gb_pool *);
/** Releases a reference, and frees the core with the last one.  Null is
 * allowed. */
void gb_pool_unref(struct gb_pool *);

/** Does what is due; call it at least every GB_POOL_TICK_US.  `wall` is the
 * time of day in microseconds since 1970. */
void gb_pool_tick(struct gb_pool *, gb_time now, gb_time wall);
#define GB_POOL_TICK_US (5 * GB_MSEC)

/** Number of partitions, counted from the first, in which an owner renews its
 * row regularly even when it writes nothing else.  They are a majority, and a
 * successor reads a majority, so that it reads at least one of them. */
#define GB_POOL_PARTITIONS_RENEWED (GB_POOL_PARTITIONS / 2 + 1)

/** The owner's row of a partition, as it is stored. */
struct gb_owner_record {
	gb_owner_row row;
	/** Contention: count of recent takeovers from working owners. */
	uint32_t contested;
};

/** Encodes a row; the caller frees the body. */
bool gb_owner_record_encode(const struct gb_owner_record *, gb_body *);
/** Decodes a row into a zeroed record, to be released with
 * gb_owner_record_clear.  Returns false, with nothing to clear, when the row
 * can't be read. */
bool gb_owner_record_decode(struct gb_owner_record *, const gb_body *);
void gb_owner_record_clear(struct gb_owner_record *);

/** Tries to become the owner after the one of epoch `after`; gives up when the
 * store names a later owner.  Has no effect while this node owns the pool or is
 * taking it over. */
void gb_pool_acquire(
    struct gb_pool *, gb_time now, uint64_t after, enum takeover_cause);
/** Records that this process lost the pool to one that it had asked to take
 * over, which is no contention. */
void gb_pool_handed_over(struct gb_pool *);
/** Handles that the process of this incarnation was found alive and not
 * stopping.  If it owned the pool before this node, that counts as
 * contention. */
void gb_pool_process_alive(struct gb_pool *, gb_time now, uint64_t incarnation);
/** Writes what is pending, then gives up the ownership; ops.owner reports the
 * end. */
void gb_pool_release(struct gb_pool *, gb_time now);
/** Handles that a later epoch of ownership was found; the ownership of this
 * node then ends. */
void gb_pool_epoch_found(struct gb_pool *, gb_time now, uint64_t epoch);
/** Whether this node owns the pool and works on its flows. */
bool gb_pool_owns(const struct gb_pool *);
/** Whether this node is taking over the pool. */
bool gb_pool_acquiring(const struct gb_pool *);
/** Whether this node has won the takeover and is loading the tables, so that
 * others should wait for it. */
bool gb_pool_loading(const struct gb_pool *);
/** Epoch of this owner, or the newest known one; 0: none known. */
uint64_t gb_pool_epoch(const struct gb_pool *);
/** Time since the newest of the store calls was sent to which the store has
 * given a clear answer. */
gb_time gb_pool_store_silent(const struct gb_pool *, gb_time now);
/** Whether the link limits what this owner can start. */
bool gb_pool_link_congested(const struct gb_pool *);
/** Whether the link is so slow that the stored state is loaded page by page. */
bool gb_pool_loads_by_pages(const struct gb_pool *);
/** Whether most partitions of the tables don't accept this owner's writes, or
 * leave them without an answer for longer than a working store would. */
bool gb_pool_store_unavailable(const struct gb_pool *);

/** Sets how many connections to workers may be open, 0: no limit. */
void gb_pool_limit_connections(struct gb_pool *, uint32_t max);

/** Applies a configuration and takes a reference to it; ignores one that is not
 * newer than the current one. */
void gb_pool_configure(struct gb_pool *, gb_time now, struct gb_pool_config *);
/** Applies entries of the worker list that are new or have changed; with
 * `whole`, the list has all workers, and those that it doesn't name are no
 * longer listed. */
void gb_pool_workers_update(struct gb_pool *, gb_time now,
    const struct gb_pool_entry *, size_t count, bool whole);
/** Adds or updates a member through which the advice service may be called. */
void gb_pool_member_update(
    struct gb_pool *, gb_time now, const char *addr, bool usable);

/** Submits a flow, which is copied.  It must have passed gb_flow_check.  The
 * answer comes through ops.answer with the token, perhaps before this function
 * returns. */
void gb_pool_submit(
    struct gb_pool *, gb_time now, uint64_t token, const gb_flow_submit *);
/** Asks for the state of a flow, cancels it, or asks for the number of pending
 * flows of a queue.  The answer comes as for gb_pool_submit. */
void gb_pool_ask(
    struct gb_pool *, gb_time now, uint64_t token, const gb_flow_ask *);

/* Results of the requests made through struct gb_pool_ops, by the number of the
 * call.  The results are used only during the call. */

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

/** Whether flows of this shape are supported; if not, sets GB_E_INVALID with
 * a text that says why. */
bool gb_flow_check(const gb_flow *, struct gb_error *);
/** Memory that a flow takes while it is open, in bytes. */
size_t gb_flow_bytes(const gb_flow *);

/** Whether callers of an organisation may see and cancel a flow: it must be of
 * the same organisation, or one of the two must have none. */
bool gb_flow_visible(const char *flow_org, const char *caller_org);

/** Decodes a row of the table of submitted flows, also of older programs; free
 * the flow with xdr_free.  Returns false, with nothing to free, when the row
 * can't be read. */
bool gb_flow_decode(const gb_body *row, gb_flow_row *);

/** Decodes a row of the table of states, also of older programs; free the state
 * with xdr_free.  Returns false, with nothing to free, when the row can't be
 * read. */
bool gb_flow_state_decode(const gb_body *row, gb_flow_state *);

/** Whether a state says that a flow was cancelled before it was submitted.
 * Programs that don't know tombstones take it for a flow that has ended, and
 * show it as one that doesn't exist. */
bool gb_flow_state_is_tombstone(const gb_flow_state *);

/** Counters of a core, for the metrics.  Histograms are in microseconds. */
struct gb_pool_stats {
	/** Submissions; repeated: of a flow that was known already. */
	uint64_t submitted, accepted, refused, repeated;
	uint64_t starts, starts_refused, starts_lost, stops, preempted,
	    heartbeats;
	/** Writes to announce starts; loaded tasks with an order that may still
	 * be carried out. */
	uint64_t announcements, starts_held;
	/** Ended runs by outcome; broken: GB_POOL_GANG_BROKEN, alone:
	 * GB_POOL_GANG_INCOMPLETE. */
	uint64_t done, failed, stopped, lapsed, broken, incomplete;
	uint64_t crashed;	/**< runs lost with a worker that crashed */
	uint64_t gone;		/**< runs that ended without a report */
	uint64_t workers_ended; /**< ended worker incarnations */
	uint64_t given_up;	/**< flows failed because they crash workers */
	uint64_t advice_calls, advice_busy, advice_lost;
	uint64_t flows_not_storable; /**< writes of a flow that the store will
					never take */
	uint64_t authority_lapses;   /**< times that this owner may have had a
					successor it didn't hear of */
	uint64_t entry_errors[GB_POOL_ENTRY_ERRORS]; /**< invalid entries, by
							error */
	uint64_t txns, txn_conflicts, txn_lost, rows, reads, takeovers, losses;
	uint64_t takeovers_failed; /**< failed takeovers */
	/** Cancels of flows that don't exist: those that are kept now, and
	 * those that could not be. */
	uint64_t tombstones, cancels_refused;
	uint64_t flow_bytes;	     /**< memory of open flows */
	uint64_t refused_for_memory; /**< flows refused as it was too much */
	uint64_t flows, waiting, running, workers, quarantined;
	struct gb_histogram accept_us, first_start_us, finish_us, advice_us;
	struct gb_histogram txn_us, start_us, takeover_us;
};

/** Returns the counters, which belong to the core and change with it. */
const struct gb_pool_stats *gb_pool_stats(struct gb_pool *);

/** Counters of an organisation, as this owner knows it. */
struct gb_pool_org_stat {
	char name[GB_NAME_MAX + 1];
	uint32_t weight;
	struct gb_pool_amount used;
	struct gb_pool_amount quota; /**< 0: no limit */
	uint64_t accepted;	     /**< accepted flows */
	uint64_t over_share;	     /**< of these, beyond its share */
	uint64_t refused;	     /**< submissions that were not admitted */
	uint32_t waiting;	     /**< flows that have not begun */
	uint64_t quota_waits;	     /**< flows that waited for its quota */
	uint64_t core_s;	     /**< processor-seconds of its ended runs */
	/** Recent use relative to its weight's part, in percent, 0: it has no
	 * weight or used nothing. */
	uint32_t weight_share;
};

/** Fills in at most `max` organisations; returns how many. */
size_t gb_pool_org_stats(
    struct gb_pool *, struct gb_pool_org_stat *out, size_t max);

/* Events ------------------------------------------------------------------ */

/** Structured log: one JSON object per line, with bounded memory; never
 * blocks. */
struct gb_events;

/** Class of a line, which decides whether it may be dropped under load. */
enum gb_event_class {
	GB_EVENT_ALWAYS, /**< never dropped by the budget: starts, stops,
			    dependencies, failures */
	GB_EVENT_NORMAL	 /**< frequent lines, dropped beyond the budget */
};

/** Creates a log that writes to the descriptor, which becomes non-blocking and
 * stays the caller's.  `lines_per_s` is the budget of GB_EVENT_NORMAL.  The
 * name of the node must outlive the log.  The loop is not used and may be null.
 */
struct gb_events *gb_events_new(
    struct uv_loop_s *, int fd, uint32_t lines_per_s, const char *node);
/** Writes what the descriptor accepts at once and frees the log.  Null is
 * allowed. */
void gb_events_free(struct gb_events *);
/** Takes the time of lines from `clock`, which must outlive the log; for
 * tests. */
void gb_events_clock(struct gb_events *, const gb_time *);
/** Writes a line.  The format is that of json_pack, for the line's own fields.
 * Null as the log: nothing is written. */
void gb_event(struct gb_events *, enum gb_event_class, const char *event,
    const char *fmt, ...);
/** Number of lines dropped since the start. */
uint64_t gb_events_dropped(const struct gb_events *);

#endif
