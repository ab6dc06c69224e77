/**
 * @file gooseberry.h
 * Public interface of libgooseberry, sorted by module.
 *
 * Every function takes its handle first.  The library never exits, and it
 * prints nothing itself: log lines and spans go through the callbacks of
 * struct gb_env, and gb_logger_line may serve as one.  All times are
 * microseconds (gb_time) unless a name ends in _ms.
 */
#ifndef GOOSEBERRY_H
#define GOOSEBERRY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <rpc/rpc.h>

#include "gen/proto.h"

/** Time or duration in microseconds. */
typedef int64_t gb_time;

#define GB_MSEC ((gb_time)1000)
#define GB_SEC ((gb_time)1000000)
/** Index that stands for no shard, worker or task. */
#define GB_NONE UINT32_MAX

/* Error ------------------------------------------------------------------ */

enum gb_error_code {
	GB_E_NONE,
	GB_E_INVALID,  /**< input is malformed or out of range */
	GB_E_CONFLICT, /**< another writer changed the object first */
	GB_E_MISSING,  /**< the object does not exist */
	GB_E_DENIED,   /**< the caller is not permitted to do this */
	GB_E_BUSY,     /**< no free capacity now; retry later */
	GB_E_DEADLINE, /**< the deadline has passed */
	GB_E_IO,       /**< a connection failed */
	GB_E_MEMORY    /**< out of memory */
};

/** Description of an error; the caller provides it, the callee fills it in. */
struct gb_error {
	enum gb_error_code code;
	gb_verdict verdict; /**< whether the work may have run */
	char text[192];	    /**< one phrase for log lines and answers */
};

/** Set an error, unless one is set already: the first error is kept. */
void gb_error_set(struct gb_error *, enum gb_error_code, const char *, ...)
    __attribute__((format(printf, 3, 4)));
/** HTTP status code that corresponds to an error code. */
unsigned int gb_error_status(enum gb_error_code);
/** Stable name of an error code, for problem details and logs. */
const char *gb_error_name(enum gb_error_code);

/* Environment ------------------------------------------------------------ */

enum gb_level {
	GB_LOG_ERR = 3,
	GB_LOG_WARNING = 4,
	GB_LOG_INFO = 6,
	GB_LOG_DEBUG = 7
};

/** Callbacks that every handle of the library carries. */
struct gb_env {
	/** Logs one short sentence of the named module; null: not logged. */
	void (*log)(
	    void *, enum gb_level, const char *module, const char *text);
	/** Records one finished span, given as a line of JSON; null: not
	 * recorded. */
	void (*trace)(void *, const char *json);
	void *data;	      /**< first argument of the callbacks */
	struct gb_link *link; /**< counts the traffic; null: not counted */
};

/** The link of an environment, or null.  The environment may be null. */
struct gb_link *gb_env_link(const struct gb_env *);
/** Format a log line and pass it to the environment's log callback.  The
 * environment may be null. */
void gb_env_log(const struct gb_env *, enum gb_level, const char *module,
    const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/* Verdict ---------------------------------------------------------------- */

/** Stable name of a verdict: not_run, may_have_run or ran. */
const char *gb_verdict_name(gb_verdict);
/** Whether a request with this verdict may be retried. */
bool gb_verdict_retryable(gb_verdict, bool idempotent);

/* Retry budget ----------------------------------------------------------- */

/** Retry budget: limits retries to a fraction of the first tries, so that
 * retries do not add to an overload.  Credit is in thousandths of a retry. */
struct gb_retry {
	int64_t credit;
	int64_t per_try; /**< credit earned by a first try */
	int64_t limit;	 /**< maximum credit */
	uint64_t seed;	 /**< state of the random numbers for the jitter */
};

/** Start a budget with the maximum credit.  Both amounts are in thousandths of
 * a retry. */
void gb_retry_init(
    struct gb_retry *, int64_t per_try, int64_t limit, uint64_t seed);
/** Add the credit that a first try earns. */
void gb_retry_earn(struct gb_retry *);
/** Take the credit of one retry; false when the budget is exhausted. */
bool gb_retry_spend(struct gb_retry *);
/** Random delay before a retry (try 0 is the first retry): exponential
 * backoff with full jitter, at most max. */
gb_time gb_retry_delay(
    struct gb_retry *, unsigned int try, gb_time base, gb_time max);

/* Random numbers --------------------------------------------------------- */

/** Next number of a splitmix64 sequence; advances the seed. */
uint64_t gb_random_next(uint64_t *seed);
/** 64-bit FNV-1a hash with a final mixing step. */
uint64_t gb_hash(const char *, size_t);
/** Hash of an ordered pair of strings. */
uint64_t gb_hash_pair(const char *, const char *);

/* Resources -------------------------------------------------------------- */

/** Whether every resource of the need is at most the free capacity. */
bool gb_res_fits(const gb_res *need, const gb_res *free);
void gb_res_add(gb_res *, const gb_res *);
void gb_res_sub(gb_res *, const gb_res *);

/* Document --------------------------------------------------------------- */

/** Priority bands, the most urgent first. */
enum gb_band {
	GB_BAND_URGENT,
	GB_BAND_SERVICE,
	GB_BAND_GANG,
	GB_BAND_BATCH,
	GB_BANDS
};
/** Kinds of documents: what a team's document describes. */
enum gb_kind {
	GB_KIND_LOOKUP,	 /**< requests, idempotent by default */
	GB_KIND_REQUEST, /**< requests, not idempotent by default */
	GB_KIND_SERVICE, /**< a number of replicas that are kept running */
	GB_KIND_BATCH,	 /**< jobs of independent tasks */
	GB_KIND_GANG,	 /**< jobs whose tasks start and restart together */
	GB_KIND_TEAM,	 /**< quota and weight of the team itself */
	GB_KINDS
};
/** How the tasks of a job are distributed over workers. */
enum gb_spread {
	GB_SPREAD_NONE,	 /**< packed tightly */
	GB_SPREAD_RACK,	 /**< preferably over different racks */
	GB_SPREAD_WORKER /**< the same, and at most one on each worker */
};

/** Maximum number of data centres of a cell. */
#define GB_DCS_MAX 32

/** One version of a team's document for one of its services. */
struct gb_doc {
	char team[GB_NAME_MAX + 1];
	char service[GB_NAME_MAX + 1];
	uint64_t vers;
	enum gb_kind kind;
	enum gb_band band;
	enum gb_spread spread;
	bool idempotent;
	gb_res res;	       /**< need of one task or request */
	gb_res quota;	       /**< kind team only; 0: no limit */
	uint32_t weight;       /**< of the team's share; kind team only */
	uint32_t replicas;     /**< kind service only */
	uint32_t max_attempts; /**< of one task */
	uint32_t queue_limit;  /**< requests that may wait in one shard */
	uint32_t dcs;	       /**< bit mask of allowed data centres, 0: any */
	gb_time run_us;	       /**< declared run time of a task */
	gb_time timeout_us;    /**< default deadline of a request */
	char pool[GB_NAME_MAX + 1]; /**< required pool of workers, empty: any */
};

/** Data centres of the cell; their order gives the bits of masks. */
struct gb_dcs {
	unsigned int count;
	char name[GB_DCS_MAX][GB_NAME_MAX + 1];
};

/** Parse and check the JSON text of a document.  On failure the error is
 * GB_E_INVALID with a text of the form "line:column: path: reason", and the
 * document must not be used. */
bool gb_doc_parse(struct gb_doc *, const struct gb_dcs *, const char *, size_t,
    struct gb_error *);
const char *gb_doc_kind_name(enum gb_kind);
const char *gb_doc_band_name(enum gb_band);

/* Placement index -------------------------------------------------------- */

struct gb_index;

/** A scorer rates a worker for a task; the lowest score wins. */
struct gb_scorer {
	const char *name;
	bool most_free_first; /**< candidates with most free capacity first */
	int64_t (*score)(const gb_res *free, const gb_res *capacity,
	    const gb_res *need, uint32_t same_rack);
};

extern const struct gb_scorer gb_scorer_pack;
extern const struct gb_scorer gb_scorer_spread;

/** Restricts the workers that a search may return. */
struct gb_filter {
	/** Whether the search may return the worker; null: all. */
	bool (*allows)(void *, uint32_t worker);
	/** Tasks of the same job in the worker's rack, for the score; or
	 * null. */
	uint32_t (*same_rack)(void *, uint32_t worker);
	void *data;
};

struct gb_index *gb_index_new(void);
void gb_index_free(struct gb_index *);
/** Add a worker, or update its free capacity. */
void gb_index_set(struct gb_index *, uint32_t worker, const gb_res *free,
    const gb_res *capacity);
void gb_index_remove(struct gb_index *, uint32_t worker);
/** Best worker for a need among a bounded number of candidates.  If any
 * worker fits, one is returned; otherwise GB_NONE. */
uint32_t gb_index_find(struct gb_index *, const gb_res *need,
    const struct gb_scorer *, const struct gb_filter *);
/** Memory that the index takes, in bytes. */
size_t gb_index_memory(const struct gb_index *);

/* Core ------------------------------------------------------------------- */

/** How a task ended. */
enum gb_outcome {
	GB_OUTCOME_NONE, /**< not ended */
	GB_OUTCOME_OK,
	GB_OUTCOME_FAILED,
	GB_OUTCOME_CANCELLED,
	GB_OUTCOME_MAYBE_RUN, /**< may have run, and must not run twice */
	GB_OUTCOME_RETURNED   /**< lent task: not started, given back */
};

/** Parameters of a core.  Times are microseconds. */
struct gb_core_config {
	const char *member; /**< name of this instance */
	const char *addr;   /**< address for peers, IP:port */
	const char *dc;
	uint64_t incarnation; /**< differs with each start of the process */
	uint64_t seed;
	uint32_t shards_per_dc;
	struct gb_dcs dcs;
	gb_time beat_us;    /**< heartbeat and head poll interval */
	gb_time suspect_us; /**< silence after which a peer is not live */
	gb_time fresh_us;   /**< how long a confirmed view may be acted on */
	/** How long members may go on without the table service while a
	 * majority of them confirms the view. */
	gb_time outage_us;
	gb_time lease_us;	 /**< worker lease */
	gb_time sync_us;	 /**< interval of worker syncs */
	gb_time margin_us;	 /**< added to every lease for clock drift */
	gb_time op_timeout_us;	 /**< timeout of a store operation */
	uint32_t write_budget;	 /**< log writes a second of the whole cell */
	uint32_t snapshot_every; /**< log writes between two snapshots */
	struct gb_env env;
};

/** I/O that a core asks its process to do. */
enum gb_action_type {
	GB_ACT_TXN,    /**< write rows of the table service */
	GB_ACT_SCAN,   /**< read rows of the table service */
	GB_ACT_SYNC,   /**< sync with a worker */
	GB_ACT_EXEC,   /**< send a request to a worker */
	GB_ACT_ANSWER, /**< answer a request or command */
	GB_ACT_BEAT,   /**< send a heartbeat to a peer */
	GB_ACT_LEND,   /**< send a message about a loan of tasks to a peer */
	GB_ACT_EXIT    /**< the planned stop is complete */
};

/** Next action for the process that runs the core.  Release it with
 * gb_action_clear. */
struct gb_action {
	enum gb_action_type type;
	uint64_t id;		    /**< of the operation or request */
	uint32_t worker;	    /**< sync and exec only */
	char addr[GB_NAME_MAX + 1]; /**< where to send it */
	union {
		gb_txn txn;
		gb_scan scan;
		gb_sync sync;
		gb_exec exec; /**< the process adds the request's body */
		gb_answer answer;
		gb_beat beat;
		gb_lend lend;
	} u;
};

struct gb_core;

/** Create a core with one reference.  The parameters and their strings are
 * copied. */
struct gb_core *gb_core_new(const struct gb_core_config *, gb_time now);
struct gb_core *gb_core_ref(struct gb_core *);
void gb_core_unref(struct gb_core *);

/** Do what is due by now; call at least every 5 ms.  Time must not go
 * backwards. */
void gb_core_tick(struct gb_core *, gb_time now);
/** Result of a GB_ACT_TXN with this id; unknown ids are ignored. */
void gb_core_txn_done(
    struct gb_core *, gb_time now, uint64_t id, const gb_txn_res *);
/** Result of a GB_ACT_SCAN with this id; unknown ids are ignored. */
void gb_core_scan_done(
    struct gb_core *, gb_time now, uint64_t id, const gb_scan_res *);
/** A newer copy of the platform's list of instances. */
void gb_core_instances(struct gb_core *, gb_time now, const gb_instance_list *);
/** End of a GB_ACT_SYNC to a worker; seq is its id.  The result is null when no
 * answer came. */
void gb_core_sync_done(struct gb_core *, gb_time now, uint32_t worker,
    uint64_t seq, const gb_sync_res *);
/** End of a GB_ACT_EXEC; rid is the one in its message.  Unknown ones are
 * ignored. */
void gb_core_exec_done(
    struct gb_core *, gb_time now, uint64_t rid, const gb_exec_res *);
/** A heartbeat from a peer; gb_core_beat_make makes the answer. */
void gb_core_beat(struct gb_core *, gb_time now, const gb_beat *);
/** Answer to a heartbeat that was sent at the given time. */
void gb_core_beat_done(
    struct gb_core *, gb_time now, gb_time sent, const gb_beat *);
/** A message about lent tasks from the owner of another shard. */
void gb_core_lend(struct gb_core *, gb_time now, const gb_lend *);
/** Fill in this member's own heartbeat; release with xdr_free. */
void gb_core_beat_make(struct gb_core *, gb_beat *);
/** Fill in the live members as this member knows them; release with
 * xdr_free. */
void gb_core_view_make(struct gb_core *, gb_time now, gb_view *);
/** A caller's request; answered exactly once by a GB_ACT_ANSWER. */
void gb_core_request(
    struct gb_core *, gb_time now, uint64_t id, const gb_request *);
/** The caller has disconnected and no longer waits for the answer. */
void gb_core_request_abandon(struct gb_core *, uint64_t id);
/** An operator's or team's command, answered exactly once. */
void gb_core_command(
    struct gb_core *, gb_time now, uint64_t id, const gb_command *);
/** Start a planned stop: finish what is in flight, hand the shards over, then
 * add a GB_ACT_EXIT. */
void gb_core_leave(struct gb_core *, gb_time now);

/** Take the next action; false when there is none. */
bool gb_core_next_action(struct gb_core *, struct gb_action *);
/** Release what an action owns. */
void gb_action_clear(struct gb_action *);

/** Set the offset from a core's time to the wall clock, for timestamps in
 * records. */
void gb_core_set_wall_offset(struct gb_core *, gb_time wall_minus_now);

/* State of a core for tests, metrics and status pages */

/** Counts since the start of the core; the last line has present numbers. */
struct gb_core_stats {
	uint64_t starts, ends, requests, answers, refused, retries;
	uint64_t log_writes, log_records, log_bytes, snapshots;
	uint64_t takeovers, lost_shards, syncs, beats, changes;
	uint64_t store_ops, store_failures, quarantined, preempted, lent;
	uint64_t pending, running, workers, jobs, active_shards;
};

void gb_core_stats_get(const struct gb_core *, struct gb_core_stats *);
/** Whether this core's view of the cell is confirmed recently enough to act
 * on. */
bool gb_core_fresh(const struct gb_core *, gb_time now);
/** Sequence number of the last change of configuration applied. */
uint64_t gb_core_config_seq(const struct gb_core *);
/** Whether this core schedules on the workers of a shard. */
bool gb_core_owns(const struct gb_core *, uint32_t shard);
/** Version of a document that this core acts on; 0: none, or the view is not
 * fresh. */
uint64_t gb_core_doc_vers(
    const struct gb_core *, gb_time now, const char *team, const char *service);

/* Shard map -------------------------------------------------------------- */

uint32_t gb_shard_count(const struct gb_core_config *);
/** Shard that a worker belongs to, by data centre and rack; GB_NONE if the data
 * centre is unknown. */
uint32_t gb_shard_of_rack(
    const struct gb_core_config *, const char *dc, const char *rack);
/** Home shard of a job. */
uint32_t gb_shard_of_job(uint32_t shards, const char *team, const char *name);

/* Counters --------------------------------------------------------------- */

/** Number of buckets.  Bucket n counts durations of up to 2^n microseconds, the
 * last bucket all longer ones as well. */
#define GB_HISTOGRAM_BUCKETS 28

/** Latency histogram with buckets of powers of two microseconds. */
struct gb_histogram {
	uint64_t count;
	uint64_t sum; /**< microseconds */
	uint64_t bucket[GB_HISTOGRAM_BUCKETS];
};

void gb_histogram_add(struct gb_histogram *, gb_time);
/** Upper bound of the bucket that contains a quantile. */
gb_time gb_histogram_quantile(
    const struct gb_histogram *, unsigned int per_mille);

struct gb_counter {
	const char *name;
	const char *help;
	uint64_t value;
};

/** Text buffer that grows as needed, null-terminated once text is added. */
struct gb_text {
	char *data;
	size_t len;
	size_t size;
};

void gb_text_add(struct gb_text *, const char *, ...)
    __attribute__((format(printf, 2, 3)));
void gb_text_free(struct gb_text *);
/** Add counters in the Prometheus text format. */
void gb_counter_print(struct gb_text *, const struct gb_counter *, size_t);
/** Add a histogram in the Prometheus text format. */
void gb_histogram_print(struct gb_text *, const char *name, const char *help,
    const struct gb_histogram *);

/* Settings --------------------------------------------------------------- */

/** Types of settings, and of the fields that they are stored in. */
enum gb_setting_type {
	GB_SET_STRING, /**< char array of max + 1 bytes */
	GB_SET_INT,    /**< int64_t */
	GB_SET_ADDR,   /**< IP:port, in a char array of GB_NAME_MAX + 1 bytes */
	GB_SET_LIST,   /**< JSON list of names or addresses: struct gb_list */
	GB_SET_TOKENS  /**< JSON object of teams: struct gb_tokens */
};

/** One field of a program's settings: the checks, the error texts and
 * docs/SETTINGS.md are made from a table of these. */
struct gb_setting {
	const char *name;
	enum gb_setting_type type;
	const char *unit;
	int64_t min; /**< minimum of a number, a length or a count */
	int64_t max; /**< maximum of a number, a length or a count */
	const char *default_json; /**< default as JSON text, null: required */
	const char *help;
	size_t offset; /**< of the field in the program's settings struct */
};

/** Value of a setting of type GB_SET_LIST. */
struct gb_list {
	unsigned int count;
	char item[GB_DCS_MAX][GB_NAME_MAX + 1];
};

/** Bearer token of a team. */
struct gb_token {
	char team[GB_NAME_MAX + 1]; /**< "*": operators, for all teams */
	char token[GB_NAME_MAX + 1];
};

/** Value of a setting of type GB_SET_TOKENS. */
struct gb_tokens {
	unsigned int count;
	struct gb_token item[256];
};

/** Read and check a settings file into the program's settings struct.  Returns
 * false with GB_E_MISSING if the file cannot be opened, or with GB_E_INVALID
 * and a text of the form "file:line:column: setting: reason"; out must not be
 * used then. */
bool gb_settings_read(const struct gb_setting *, size_t, void *out,
    const char *file, struct gb_error *);
/** Parse and check settings that are in memory; file is for the errors. */
bool gb_settings_parse(const struct gb_setting *, size_t, void *out,
    const char *file, const char *text, size_t len, struct gb_error *);
/** Add the settings of a file and the source of each value.  Tokens are not
 * shown.  Returns false with GB_E_MISSING if the file cannot be opened. */
bool gb_settings_print(const struct gb_setting *, size_t, const char *file,
    struct gb_text *, struct gb_error *);
/** Add the table as a section of docs/SETTINGS.md. */
void gb_settings_document(
    const struct gb_setting *, size_t, const char *program, struct gb_text *);

/** Settings of gooseberry-sched. */
struct gb_sched_settings {
	char member[GB_NAME_MAX + 1];
	char dc[GB_NAME_MAX + 1];
	char listen[GB_NAME_MAX + 1];
	char store[GB_NAME_MAX + 1];
	char trace_file[256];
	struct gb_list dcs;
	int64_t shards_per_dc, beat_ms, suspect_ms, fresh_ms, lease_ms;
	int64_t outage_ms;
	int64_t sync_ms, margin_ms, op_timeout_ms, write_budget;
	int64_t snapshot_every, list_ms, trace_per_mille, log_level;
	int64_t peers, peers_mb;
};

/** Settings of gooseberry-entry. */
struct gb_entry_settings {
	char member[GB_NAME_MAX + 1];
	char dc[GB_NAME_MAX + 1];
	char listen[GB_NAME_MAX + 1];
	char trace_file[256];
	struct gb_list scheds;
	struct gb_list dcs;
	struct gb_tokens tokens;
	int64_t shards_per_dc, view_ms, timeout_ms, body_limit, trace_per_mille;
	int64_t in_flight_limit, leave_ms, hedge_ms, log_level;
	int64_t callers, callers_mb;
};

extern const struct gb_setting gb_sched_settings_table[];
extern const size_t gb_sched_settings_count;
extern const struct gb_setting gb_entry_settings_table[];
extern const size_t gb_entry_settings_count;

/* Trace ------------------------------------------------------------------ */

/** Size of a traceparent with its terminating null. */
#define GB_TRACE_MAX 56

/** Make the traceparent of a child span, or of a new root when the parent is
 * empty or malformed.  New roots are sampled at the given rate. */
void gb_trace_child(char out[GB_TRACE_MAX], const char *parent, uint64_t *seed,
    int64_t per_mille);
/** Whether a traceparent is valid and has the sampled flag. */
bool gb_trace_sampled(const char *);
/** Pass a finished span to the environment's trace callback, if it is sampled.
 * own and parent are the traceparents of the span and of its parent, hop is the
 * name of the span. */
void gb_trace_span(const struct gb_env *, const char *own, const char *parent,
    const char *hop, gb_time start, gb_time end, const char *detail);

/* Remote procedure calls ------------------------------------------------- */

struct uv_loop_s;
struct gb_rpc_server;
struct gb_rpc_client;
struct gb_rpc_call;

/** One procedure: its number, and the XDR coders of its messages. */
struct gb_rpc_method {
	uint32_t proc;
	const char *name;
	xdrproc_t arg;
	size_t arg_size;
	xdrproc_t res;
	size_t res_size;
};

enum gb_rpc_proc {
	GB_PROC_TXN = 1,
	GB_PROC_SCAN,
	GB_PROC_INSTANCES,
	GB_PROC_SYNC,
	GB_PROC_EXEC,
	GB_PROC_BEAT,
	GB_PROC_VIEW,
	GB_PROC_REQUEST,
	GB_PROC_COMMAND,
	GB_PROC_FAULT,
	GB_PROC_LEND,
	GB_PROC_FLOW_SUBMIT,
	GB_PROC_FLOW_ASK,
	GB_PROC_HELLO,
	GB_PROC_ADVISE,
	GB_PROC_SUCCEED,
	GB_PROC_CONFIG,
	GB_PROC_CONFIG_FETCH,
	GB_PROCS
};

/** Procedures of all programs of the project, by number. */
extern const struct gb_rpc_method gb_rpc_methods[GB_PROCS];

/* Link ------------------------------------------------------------------- */

/** Kinds of messages whose bytes are counted.  Remote procedure calls count
 * as GB_TRAFFIC_RPC plus the number of the procedure. */
enum gb_traffic_kind {
	GB_TRAFFIC_START,
	GB_TRAFFIC_STOP,
	GB_TRAFFIC_HEARTBEAT,
	GB_TRAFFIC_ADVICE,
	GB_TRAFFIC_STORE_WRITE,
	GB_TRAFFIC_STORE_READ,
	GB_TRAFFIC_FEED,    /**< changes of rows of the table service */
	GB_TRAFFIC_CALLER,  /**< answers to callers */
	GB_TRAFFIC_CONNECT, /**< new connections to the platform */
	GB_TRAFFIC_RPC
};

#define GB_TRAFFIC_KINDS (GB_TRAFFIC_RPC + GB_PROCS)

/** Traffic of one kind.  Bytes are without network headers. */
struct gb_traffic {
	uint64_t sent; /**< messages sent */
	uint64_t out;  /**< bytes sent */
	uint64_t in;   /**< bytes received */
};

struct gb_link;

/** Counts the traffic of this process.  Bandwidth 0: unlimited. */
struct gb_link *gb_link_new(uint64_t bytes_per_s);
/** Count a message that is sent; nothing is done when the link is null. */
void gb_link_count_sent(
    struct gb_link *, gb_time now, unsigned int kind, size_t bytes);
/** Count bytes received; nothing is done when the link is null. */
void gb_link_count_received(
    struct gb_link *, gb_time now, unsigned int kind, size_t bytes);
/** Bandwidth in bytes a second, 0: unlimited. */
uint64_t gb_link_rate(const struct gb_link *);
/** Time until the link has sent what was counted so far, at its bandwidth. */
gb_time gb_link_backlog(const struct gb_link *, gb_time now);
/** Time for which an answer may wait on the link behind other answers; to be
 * added to timeouts. */
gb_time gb_link_answer_delay(const struct gb_link *);
/** Fraction of the bandwidth in use to send, averaged over about a second. */
double gb_link_utilisation(const struct gb_link *);
/** The same for what is received. */
double gb_link_received_utilisation(const struct gb_link *);
const struct gb_traffic *gb_link_traffic(
    const struct gb_link *, unsigned int kind);
const char *gb_traffic_name(unsigned int kind);

/** Serves a call; it is answered now or later with gb_rpc_call_reply.  The
 * argument is freed when the function returns. */
typedef void (*gb_rpc_serve)(
    void *, struct gb_rpc_call *, uint32_t proc, void *arg);
/** Called once at the end of a call.  The result is null unless the verdict is
 * GB_RUN, and is freed when the function returns. */
typedef void (*gb_rpc_done)(void *, gb_verdict, void *res);

struct conn_limits;
struct conn_counts;

/** Called at most once a second, with the server's data and what was done since
 * the last call as a limit was reached. */
typedef void (*gb_rpc_limited)(void *, const struct conn_counts *);

/** Listen on an address IP:port, port 0: any free one.  The environment must
 * outlive the server.  Returns null with the error set to GB_E_INVALID if the
 * address is malformed, or GB_E_IO if it cannot be listened on. */
struct gb_rpc_server *gb_rpc_server_new(struct uv_loop_s *,
    const struct gb_env *, const char *addr, gb_rpc_serve, void *,
    struct gb_error *);
/** Limit the connections, the bytes of records that are not complete and of
 * answers that are not sent, and the length of a record in bytes (0: 16 MiB).
 * At a limit the connection without a complete record for the longest time is
 * closed, which its peer sees as a broken connection.  May be called again.
 * @param limited may be null
 */
void gb_rpc_server_set_limits(struct gb_rpc_server *,
    const struct conn_limits *, size_t record_max, gb_rpc_limited limited);
/** What was done so far as a limit was reached. */
const struct conn_counts *gb_rpc_server_counts(const struct gb_rpc_server *);
/** TCP port that the server listens on. */
int gb_rpc_server_port(const struct gb_rpc_server *);
/** Stop accepting connections; open connections stay open. */
void gb_rpc_server_close(struct gb_rpc_server *);
/** Close the listener and all connections.  The memory is freed once every
 * call is answered and the event loop has closed the sockets. */
void gb_rpc_server_free(struct gb_rpc_server *);
/** Bytes received and sent. */
size_t gb_rpc_server_bytes(const struct gb_rpc_server *);
/** Send the result and end the call. */
void gb_rpc_call_reply(struct gb_rpc_call *, void *res);
/** Answer that the procedure is not served here, and end the call. */
void gb_rpc_call_refuse(struct gb_rpc_call *);

/** Create a client for a peer at IP:port; it connects at the first call.  The
 * environment must outlive the client. */
struct gb_rpc_client *gb_rpc_client_new(
    struct uv_loop_s *, const struct gb_env *, const char *addr);
/** Let a call whose answer has begun to arrive go on until nothing was received
 * for this time in microseconds, also past its deadline.  0, the default: calls
 * end at their deadlines. */
void gb_rpc_client_set_stall(struct gb_rpc_client *, gb_time);
/** End all calls in flight with an error, and free the client once the event
 * loop has closed its sockets. */
void gb_rpc_client_free(struct gb_rpc_client *);
/** Call a procedure.  The function is called exactly once, also on a timeout or
 * an error, and possibly before this returns.  The argument is not kept. */
void gb_rpc_client_call(struct gb_rpc_client *, uint32_t proc, void *arg,
    gb_time timeout, gb_rpc_done, void *);
/** Bytes received and sent. */
size_t gb_rpc_client_bytes(const struct gb_rpc_client *);

/* XDR -------------------------------------------------------------------- */

/** Encode a message into a body; the caller frees its bytes.  False if the
 * message cannot be encoded. */
bool gb_xdr_encode(xdrproc_t, const void *, gb_body *);
/** Decode a body into a zeroed message.  The caller releases the message with
 * xdr_free if this succeeds. */
bool gb_xdr_decode(xdrproc_t, const gb_body *, void *);
/** Decode a row that may lack the last fields of its type, as older programs
 * wrote it.  At most missing_max XDR units may be missing; they read as zero
 * or empty. */
bool gb_xdr_decode_older(xdrproc_t, const gb_body *row, void *out, size_t size,
    unsigned int missing_max);
/** Make a deep copy of a message of the given size; the caller releases it with
 * xdr_free.  False if the message cannot be encoded. */
bool gb_xdr_copy(xdrproc_t, const void *from, void *to, size_t size);

/* Allocations; they abort the process when memory is exhausted */

char *gb_strdup(const char *);
void *gb_calloc(size_t, size_t);
void *gb_realloc(void *, size_t);
/** Let large blocks be given back to the system as they are freed.  It is
 * called before there are any. */
void gb_memory_init(void);
/** Give memory that was freed back to the system.  Takes some milliseconds if
 * there is much of it. */
void gb_memory_trim(void);

/** Clients by address, created on first use. */
struct gb_rpc_pool;

/** The environment must outlive the pool. */
struct gb_rpc_pool *gb_rpc_pool_new(struct uv_loop_s *, const struct gb_env *);
/** Client for an address; it belongs to the pool. */
struct gb_rpc_client *gb_rpc_pool_get(struct gb_rpc_pool *, const char *addr);
void gb_rpc_pool_free(struct gb_rpc_pool *);
/** Bytes received and sent by all clients. */
size_t gb_rpc_pool_bytes(const struct gb_rpc_pool *);

/* Platform --------------------------------------------------------------- */

typedef void (*gb_txn_done)(void *, const gb_txn_res *);
typedef void (*gb_scan_done)(void *, const gb_scan_res *);
typedef void (*gb_list_done)(void *, const gb_instance_list *);
typedef void (*gb_sync_done)(void *, const gb_sync_res *);
typedef void (*gb_exec_done)(void *, const gb_exec_res *);

/** Calls to the external systems.  Each ends with exactly one call of the
 * given function; a null list or sync result means that no answer came, other
 * results carry a status or verdict. */
struct gb_platform {
	/** Write rows of the table service. */
	void (*txn)(void *, gb_txn *, gb_time timeout, gb_txn_done, void *);
	/** Read rows of the table service. */
	void (*scan)(void *, gb_scan *, gb_time timeout, gb_scan_done, void *);
	/** Get the platform's list of instances. */
	void (*instances)(void *, gb_time timeout, gb_list_done, void *);
	/** Sync with the worker at an address. */
	void (*sync)(void *, const char *addr, gb_sync *, gb_time timeout,
	    gb_sync_done, void *);
	/** Send a request to the worker at an address. */
	void (*exec)(void *, const char *addr, gb_exec *, gb_time timeout,
	    gb_exec_done, void *);
	void *data; /**< first argument of the functions */
};

/** Fill in a platform that calls the stand-in programs through remote
 * procedure calls; store is the address of the table service.  The pool must
 * outlive the platform. */
void gb_standin_platform(
    struct gb_platform *, struct gb_rpc_pool *, const char *store);

/* Route ------------------------------------------------------------------ */

/** Routing table of an entry: the shards and their owners. */
struct gb_route;

struct gb_route *gb_route_new(const char *dc, const struct gb_dcs *,
    uint32_t shards_per_dc, uint64_t seed);
void gb_route_free(struct gb_route *);
/** Apply a scheduler's view; older epochs never replace newer ones. */
void gb_route_apply_view(struct gb_route *, gb_time now, const gb_view *);
/** Number of shards. */
uint32_t gb_route_shard_count(const struct gb_route *);
/** Address of a shard's last known owner, or null. */
const char *gb_route_owner(const struct gb_route *, uint32_t shard);
/** Choose a shard for a request: the one with more free capacity of two random
 * samples, own data centre first, never the one to avoid.  GB_NONE when no
 * shard has an owner. */
uint32_t gb_route_pick(struct gb_route *, uint32_t avoid);
/** Address of the nth live scheduler, nearest first; false past the last. */
bool gb_route_member_addr(
    const struct gb_route *, unsigned int, const char **addr);
/** Count a request sent to a shard as in flight. */
void gb_route_sent(struct gb_route *, uint32_t shard);
/** A request sent to a shard is no longer in flight. */
void gb_route_ended(struct gb_route *, uint32_t shard);
/** A shard rejected a request or did not answer: avoid it for a while. */
void gb_route_failed(struct gb_route *, gb_time now, uint32_t shard);

/* Daemons ---------------------------------------------------------------- */

struct gb_sched;
struct gb_entry;

/** Start a scheduler; the environment and the settings are copied.  Returns
 * null with the error set if it cannot listen. */
struct gb_sched *gb_sched_new(struct uv_loop_s *, const struct gb_env *,
    const struct gb_sched_settings *, struct gb_error *);
/** TCP port that the scheduler listens on. */
int gb_sched_port(const struct gb_sched *);
/** Apply the settings that may change while running. */
void gb_sched_reload(struct gb_sched *, const struct gb_sched_settings *);
/** Start a planned stop; done is called when all shards are handed over. */
void gb_sched_stop(struct gb_sched *, void (*done)(void *), void *);

/** Start an entry; the environment and the settings are copied.  Returns null
 * with the error set if it cannot listen. */
struct gb_entry *gb_entry_new(struct uv_loop_s *, const struct gb_env *,
    const struct gb_entry_settings *, struct gb_error *);
/** TCP port that the entry listens on. */
int gb_entry_port(const struct gb_entry *);
/** Apply the settings that may change while running. */
void gb_entry_reload(struct gb_entry *, const struct gb_entry_settings *);
/** Start a planned stop.  New connections are accepted for leave_ms; after that
 * done is called once no request is in flight. */
void gb_entry_stop(struct gb_entry *, void (*done)(void *), void *);

/* Process ---------------------------------------------------------------- */

/** Monotonic time that includes suspended time. */
gb_time gb_clock_boot(void);
/** Wall-clock time since the Unix epoch. */
gb_time gb_clock_wall(void);
/** Processor time and resident memory of this process. */
struct gb_usage {
	uint64_t cpu_us;
	uint64_t memory; /**< resident bytes */
};

struct gb_usage gb_usage_read(void);
/** Write a line "<priority>module: sentence" to standard error.  Repeats within
 * a second are counted and reported once.  The pointer to the module's name is
 * kept; the first argument is not used. */
void gb_logger_line(
    void *, enum gb_level, const char *module, const char *text);
/** Set the most verbose level that is written. */
void gb_logger_level(enum gb_level);

#endif
