/*
 * Messages between the processes of gooseberrycart and its stand-ins, and the
 * records that they store.  Times are in microseconds.  A document is a team's
 * configuration of one of its services; `vers` is the version of a row or of a
 * document.  The C code that rpcgen generates from this file is committed
 * beside it.
 */

const GB_NAME_MAX = 63;
const GB_KEY_MAX = 255;
const GB_BODY_MAX = 4194304;
const GB_LIST_MAX = 65536;

typedef string gb_name<GB_NAME_MAX>;
typedef string gb_key<GB_KEY_MAX>;
typedef opaque gb_body<GB_BODY_MAX>;

enum gb_verdict {
	GB_NOT_RUN = 0,		/* certainly not run, may be tried elsewhere */
	GB_MAYBE_RUN = 1,	/* may have run */
	GB_RUN = 2		/* has run, the answer is included */
};

struct gb_res {
	int cpu;		/* thousandths of a processor */
	int mem;		/* MiB */
	int accel;		/* accelerators */
	int slots;		/* tasks and requests at once */
	int conns;		/* connections at once */
};

/* Platform: table service and object store */

enum gb_store_status {
	GB_STORE_OK = 0,
	GB_STORE_CONFLICT = 1,	/* a condition failed, nothing was written */
	GB_STORE_REFUSED = 2,	/* not done */
	GB_STORE_UNKNOWN = 3,	/* may have been done */
	/* not done, and never will be: the store does not take these rows */
	GB_STORE_INVALID = 4
};

struct gb_row {
	gb_key key;
	uint64_t vers;
	gb_body value;
};

struct gb_cond {
	gb_key key;
	uint64_t vers;	/* 0: the row must be absent */
};

struct gb_put {
	gb_key key;
	bool remove;
	gb_body value;
};

/* Writes all puts if all conditions hold, else nothing. */
struct gb_txn {
	gb_cond conds<64>;
	gb_put puts<GB_LIST_MAX>;
};

struct gb_txn_res {
	gb_store_status status;
	uint64_t vers;	/* of every row that this transaction wrote */
};

/* Reads the rows whose keys begin with a prefix. */
struct gb_scan {
	gb_key prefix;
	gb_key after;		/* only rows with a greater key */
	uint32_t limit;
};

struct gb_scan_res {
	gb_store_status status;
	bool more;
	gb_row rows<GB_LIST_MAX>;
};

/* Platform: list of instances */

enum gb_instance_state {
	GB_INSTANCE_LIVE = 0,
	GB_INSTANCE_LEAVING = 1,
	GB_INSTANCE_GONE = 2
};

struct gb_instance {
	gb_name name;
	gb_name addr;		/* IP:port */
	gb_name dc;
	gb_name rack;
	/* pool of workers, which decides the services that it may run */
	gb_name pool;
	gb_res capacity;
	gb_instance_state state;
};

struct gb_instance_list {
	gb_instance list<GB_LIST_MAX>;
};

/* Platform: worker */

struct gb_task_id {
	uint64_t job;
	uint32_t index;
	uint32_t attempt;
};

struct gb_start {
	gb_task_id id;
	gb_name team;
	gb_name service;
	gb_res res;
	int64_t run_us;		/* declared run time, 0: until it is stopped */
	uint64_t vers;		/* of the document */
};

enum gb_worker_task_state {
	GB_WORKER_TASK_RUNNING = 0,
	GB_WORKER_TASK_OK = 1,
	GB_WORKER_TASK_FAILED = 2,
	GB_WORKER_TASK_STOPPED = 3, /* by a stop message or an expired lease */
	GB_WORKER_TASK_REFUSED = 4	/* was never started */
};

struct gb_worker_task {
	gb_task_id id;
	gb_worker_task_state state;
	uint64_t vers;		/* of the document that it was started with */
	gb_res res;		/* declared */
	gb_res used;		/* observed, with a delay */
};

/* Sent by the owner of a shard to a worker: renews the worker's lease, starts
 * and stops tasks, and acknowledges their ends. */
struct gb_sync {
	uint32_t shard;
	uint64_t owner;	/* incarnation of the sender */
	uint64_t epoch;
	uint64_t seq;	/* grows by one with each sync of an epoch */
	uint64_t incarnation; /* of the worker, 0 in the first sync */
	int64_t anchor;	/* worker's clock in the report that this is based on */
	int64_t lease_us;	/* the lease ends at anchor + lease_us */
	gb_start starts<>;
	gb_task_id stops<>;
	gb_task_id acks<>;	/* ended tasks that the worker may drop */
};

struct gb_sync_res {
	bool refused;	/* the worker knows a newer epoch, seq or incarnation */
	uint64_t epoch;
	uint64_t incarnation;
	uint64_t seq;	/* of the last sync that was carried out */
	int64_t clock;		/* of the worker, counts suspended time */
	uint32_t requests; /* number of requests in flight from other owners */
	uint64_t own<>;	/* rid of the requests in flight from this owner */
	/* running tasks, and ended ones until they are acknowledged */
	gb_worker_task held<>;
};

/* Sent by the owner of a shard to a worker: runs one request.  The first fields
 * are as in gb_sync. */
struct gb_exec {
	uint64_t epoch;
	uint64_t incarnation;
	int64_t anchor;
	int64_t lease_us;
	uint64_t rid;	/* id of the request, unique per owner incarnation */
	uint64_t owner;
	int64_t remaining_us;	/* until the caller's deadline */
	gb_name team;
	gb_name service;
	bool idempotent;
	gb_key key;		/* idempotency key, may be empty */
	gb_key trace;		/* W3C traceparent, may be empty */
	gb_body body;
};

struct gb_exec_res {
	gb_verdict verdict;
	uint32_t status;	/* HTTP status of the target */
	gb_body body;
};

/* Peers */

/* A shard that a member owns. */
struct gb_claim {
	uint32_t shard;
	uint64_t epoch;		/* of the ownership */
	bool active;		/* false while it is loaded or handed over */
	uint32_t free_slots;	/* of its workers */
};

/* Heartbeat of a member to the other members. */
struct gb_beat {
	gb_name member;
	uint64_t incarnation;
	gb_name addr;
	gb_name dc;
	bool leaving;
	bool informed;		/* has read the table service since its start */
	uint64_t seen;	/* version of the newest head row that it has read */
	uint64_t config;	/* last configuration change applied */
	gb_claim claims<>;
};

/* What an entry needs to find the owner of a shard. */
struct gb_view {
	gb_beat members<>;
	uint32_t shards;	/* number of shards */
};

/* Entry to scheduler */

/* Request of a caller, sent by an entry to the owner of a shard. */
struct gb_request {
	uint32_t shard;
	gb_name team;
	gb_name service;
	gb_key key;
	gb_key trace;
	int64_t remaining_us;	/* 0: the document's timeout */
	bool repeated;		/* an earlier try may have run */
	gb_body body;
};

/* Answer to a request or command. */
struct gb_answer {
	gb_verdict verdict;
	uint32_t status;	/* HTTP status */
	uint32_t retry_after_ms;	/* 0: not given */
	uint64_t vers;		/* of a document, or 0 */
	gb_key reason;
	gb_body body;
};

enum gb_verb {
	GB_VERB_APPLY = 1,
	GB_VERB_GET = 2,
	GB_VERB_HISTORY = 3,
	GB_VERB_DOCS = 4,
	GB_VERB_SUBMIT = 5,
	GB_VERB_CANCEL = 6,
	GB_VERB_JOB = 7,
	GB_VERB_JOBS = 8,
	GB_VERB_EXPLAIN = 9,
	GB_VERB_WORKERS = 10,
	GB_VERB_DRAIN = 11,
	GB_VERB_UNDRAIN = 12,
	GB_VERB_STATUS = 13,
	GB_VERB_METRICS = 14
};

/* Command of an operator or a team, sent by an entry to a member. */
struct gb_command {
	gb_verb verb;
	uint32_t shard;
	gb_name team;
	gb_name name;		/* service, job or worker */
	gb_name author;
	uint64_t vers; /* expected version (0: must be new), or requested one */
	int64_t remaining_us;
	gb_body body;
};

/* Records of a shard's log */

struct gb_job_spec {
	uint64_t id;
	gb_name team;
	gb_name name;
	gb_name service;
	uint32_t band;		/* gb_band */
	bool idempotent;
	bool gang;		/* the tasks run only together */
	uint32_t tasks;
	uint32_t max_attempts;
	gb_res res;
	int64_t run_us;
	int64_t deadline_us;	/* wall clock, 0: none */
	int64_t submitted_us;	/* wall clock */
	uint32_t dcs;	/* bit mask, 0: any */
	gb_name pool;
	uint32_t spread;	/* gb_spread */
	uint64_t vers;		/* of the document it was submitted under */
	uint64_t parent;	/* job that lent these tasks, 0: none */
	uint32_t parent_shard;
};

/* Tasks that the home shard of a job lends to another shard */

struct gb_loan {
	uint64_t job;
	uint64_t child;		/* job that has them in the other shard */
	uint32_t shard;		/* the other shard */
	uint32_t tasks<>;	/* indexes of the tasks */
};

enum gb_lend_kind {
	GB_LEND_OFFER = 1,	/* from the home shard: offers tasks */
	GB_LEND_ACCEPTED = 2,	/* from the other shard: they are in its log */
	GB_LEND_RESULT = 3,	/* from the other shard: they have ended */
	/* from the home shard: the result is in its log */
	GB_LEND_RESULT_STORED = 4,
	GB_LEND_CANCEL = 5	/* from the home shard: stop them */
};

struct gb_lend {
	gb_lend_kind kind;
	uint32_t from;		/* shard */
	uint32_t to;		/* shard */
	uint64_t parent;
	uint64_t child;
	int64_t at_us;		/* wall clock, when it was sent */
	gb_job_spec spec;	/* of the child, in an offer */
	uint32_t outcomes<>;	/* gb_outcome of each task, in a result */
};

enum gb_record_type {
	GB_REC_JOB = 1,
	GB_REC_CANCEL = 2,
	GB_REC_START = 3,
	GB_REC_END = 4,
	GB_REC_WORKER = 5,
	GB_REC_WORKER_REMOVED = 6,
	GB_REC_JOB_REMOVED = 7,
	GB_REC_LEND = 8,
	GB_REC_LOAN_ENDED = 9
};

/* Start or end of a task. */
struct gb_rec_task {
	gb_task_id id;
	gb_name worker;
	uint64_t incarnation;	/* of the worker */
	uint32_t outcome;	/* gb_outcome, of an end */
};

union gb_record switch (gb_record_type type) {
case GB_REC_JOB:
	gb_job_spec job;
case GB_REC_CANCEL:
	uint64_t cancel;
case GB_REC_JOB_REMOVED:
	uint64_t job_removed;
case GB_REC_START:
	gb_rec_task start;
case GB_REC_END:
	gb_rec_task end;
case GB_REC_WORKER:
	gb_instance worker;
case GB_REC_WORKER_REMOVED:
	gb_name gone;
case GB_REC_LEND:
	gb_loan lend;
case GB_REC_LOAN_ENDED:
	gb_loan loan_ended;
};

/* Records that the owner of a shard writes to the log together. */
struct gb_batch {
	uint64_t epoch;
	uint64_t owner;		/* incarnation */
	gb_record records<GB_LIST_MAX>;
};

struct gb_shard_row {
	uint64_t owner;	/* incarnation, 0: no owner */
	gb_name member;		/* name of the owner */
	uint64_t epoch;
};

struct gb_snapshot_row {
	uint64_t seq;	/* last sequence number of the log in the snapshot */
};

struct gb_member_row {
	gb_name member;
	uint64_t incarnation;
	gb_name addr;
	gb_name dc;
};

struct gb_view_row {
	uint64_t number;	/* of the view; grows by one with each view */
	gb_member_row members<4096>;
	gb_name previous<4096>;	/* names of the members of the previous view */
};

enum gb_change_kind {
	GB_CHANGE_DOCUMENT = 1,
	GB_CHANGE_DRAIN = 2,
	GB_CHANGE_UNDRAIN = 3
};

struct gb_change {
	uint64_t seq;
	gb_change_kind kind;
	gb_name team;
	gb_name name;
	uint64_t vers;
	gb_name author;
	int64_t at_us;		/* wall clock */
	/* random; shows a writer whether a change is its own when the answer
	 * to the write was lost */
	uint64_t nonce;
	gb_body body;		/* JSON text of a document */
};

/* Snapshot of the configuration. */
struct gb_config_row {
	uint64_t seq;		/* last change that is included */
	uint64_t vers;		/* version of the row of that change */
	gb_change changes<GB_LIST_MAX>;
};

/* Record of an idempotency key. */
struct gb_key_row {
	uint64_t fingerprint;	/* hash of the request that has the key */
	/* random; shows a request whether it wrote the row itself */
	uint64_t nonce;
	bool done;		/* the request is done, the answer is below */
	uint32_t status;
	gb_body body;
};

/*
 * Flows: jobs of dependent steps, which the owner of the pool schedules.  The
 * records are stored in the platform's tables; the messages are sent between
 * nodes.
 */

const GB_SPEC_MAX = 16384;
const GB_STEPS_MAX = 64;
const GB_TASKS_MAX = 100000;
const GB_ATTEMPTS_MAX = 64;

/* Flags of a step */
const GB_STEP_GANG = 1;		/* the tasks run only together */
const GB_STEP_SAME_RACK = 2;
const GB_STEP_CHECKPOINT = 4;
const GB_STEP_SPECULATIVE = 8;	/* a task may have two runs at once */

struct gb_step {
	uint32_t count;
	gb_res res;		/* of one task */
	int64_t estimate_us;	/* declared run time, often wrong by far */
	uint32_t flags;
	uint32_t per_worker;	/* maximum tasks on one worker, 0: no limit */
	gb_name label;		/* that a worker must have, empty: any */
	gb_name rack;		/* rack with the data, empty: any */
	uint32_t after<GB_STEPS_MAX>; /* indexes of steps that must end first */
};

/* What a caller submitted.  Never changes once it is stored. */
struct gb_flow {
	gb_name id;
	gb_name queue;
	gb_name service;
	/* of a task, by the configuration at the submission */
	uint32_t max_attempts;
	int64_t submitted_us;	/* wall clock of the node that accepted it */
	string spec<GB_SPEC_MAX>;	/* passed on to the workers */
	gb_step steps<GB_STEPS_MAX>;
	gb_name org;		/* organisation it belongs to, empty: none */
	bool over_share; /* beyond the share of org when it was accepted */
};

/* A flow as it is stored.  Older programs read only the first field. */
struct gb_flow_row {
	gb_flow flow;
	uint64_t config; /* version that authorised its caller, 0: unknown */
};

enum gb_flow_status {
	GB_FLOW_QUEUED = 0,
	GB_FLOW_RUNNING = 1,
	GB_FLOW_SUCCEEDED = 2,
	GB_FLOW_FAILED = 3,
	GB_FLOW_CANCELLED = 4,
	GB_FLOW_UNKNOWN = 5	/* never submitted */
};

/* A task with more state than whether it is done.  The state of a gang as a
 * whole is stored under its first task. */
struct gb_task_state {
	uint32_t step;
	uint32_t index;
	/* numbers of failed runs; ends come in any order */
	uint64_t failed_runs<GB_ATTEMPTS_MAX>;
	gb_name checkpoint;
};

const GB_UNREACHABLE_MAX = 8;

/* A worker that became unreachable while it had a task. */
struct gb_unreachable_worker {
	gb_name worker;
	bool begun;		/* it had reported that it runs the task */
	bool early;		/* lost soon after that */
	/* lost early, and no other flow had a start as recent there */
	bool sole_suspect;
	bool lapsed;		/* the lease expired before it answered again */
};

/* A task under which workers have crashed or may have crashed. */
struct gb_task_crashes {
	uint32_t step;
	uint32_t index;
	uint32_t workers;	/* number of workers that crashed under it */
	uint32_t confirmed; /* of workers, those that certainly ran it then */
	/* of workers, those that crashed soon after they had started it */
	uint32_t early;
	uint32_t attributed;	/* of early, those that certainly ran it then */
	/* at one of the early crashes no other flow had a start as recent */
	bool sole_suspect;
	gb_unreachable_worker unreachable<GB_UNREACHABLE_MAX>;
};

struct gb_task_ref {
	uint32_t step;
	uint32_t index;
};

/* Consecutive tasks of a step whose first start order may be sent once this is
 * stored, with a run number of at least `run`. */
struct gb_announcement {
	uint32_t step;
	uint32_t first;
	uint32_t count;
	uint64_t run;
};

/* State of a flow.  Rows of older programs end before `crashes`, `org`,
 * `worker_incarnations`, `late_starts` or `announced`. */
struct gb_flow_state {
	gb_flow_status status;
	bool cancelled;
	bool owned;	/* an owner works on it: tasks may have been started */
	gb_body done<GB_STEPS_MAX>;	/* for each step: a bit for each task */
	gb_task_state tasks<GB_TASKS_MAX>;
	gb_task_crashes crashes<GB_TASKS_MAX>;
	gb_name org;		/* organisation it belongs to, empty: none */
	/* of the unreachable workers, in their order */
	int64_t worker_incarnations<>;
	/* tasks with a start order that may still be carried out */
	gb_task_ref late_starts<GB_TASKS_MAX>;
	gb_announcement announced<GB_TASKS_MAX>;
};

/* Owner of the pool.  One copy in each partition, so that every transaction of
 * the partition can have the row's version as a condition. */
struct gb_owner_row {
	uint64_t epoch;
	gb_name name;
	gb_name addr;		/* of its peer port, empty: no owner */
	uint64_t incarnation;
	uint64_t serial;	/* grows with each write of the row */
};

/* A worker that may have runs.  Starts are sent only to workers in the stored
 * set, so that a successor knows which workers to ask. */
struct gb_worker_ref {
	gb_name id;
	gb_name addr;
};

/* Rows of older programs end before `incarnations`. */
struct gb_worker_set {
	gb_worker_ref list<GB_LIST_MAX>;
	int64_t incarnations<GB_LIST_MAX>; /* that answered last, 0: unknown */
};

const GB_KEY_DIGEST = 32;	/* bytes of the SHA-256 digest of an API key */

enum gb_flow_verdict {
	GB_FLOW_ACCEPTED = 0,
	GB_FLOW_REFUSED = 1,	/* never runs */
	GB_FLOW_MAYBE = 2,	/* may have been accepted */
	GB_FLOW_NOT_OWNER = 3,	/* ask another node; nothing was done */
	/* the answering node's configuration is older than that of the node
	 * which sent the message */
	GB_FLOW_CONFIG_OLDER = 4,
	GB_FLOW_CANT_STORE = 5,	/* not accepted: the store refuses this owner */
	GB_FLOW_DENIED = 6	/* unknown key of the caller; never runs */
};

/* The caller, as identified by the node that received the call, by its
 * configuration. */
struct gb_flow_caller {
	uint64_t config;	/* version of that configuration */
	gb_name org;		/* empty: the queue needs no key */
	opaque key<GB_KEY_DIGEST>;	/* digest of the key, empty: none */
};

struct gb_flow_submit {
	gb_flow_caller caller;
	gb_flow flow;
};

enum gb_flow_op {
	GB_FLOW_OP_STATE = 1,	/* state of a flow */
	GB_FLOW_OP_CANCEL = 2,	/* cancel a flow */
	GB_FLOW_OP_PENDING = 3	/* number of flows of a queue not begun */
};

struct gb_flow_ask {
	gb_flow_op op;
	gb_name id;	/* of the flow, or name of the queue (pending) */
	gb_flow_caller caller;
};

struct gb_flow_answer {
	gb_flow_verdict verdict;
	gb_flow_status status;
	uint32_t pending;	/* answer to GB_FLOW_OP_PENDING */
	int64_t retry_after_us;	/* 0: not given */
};

/* Heartbeat of a node to the owner; the answer has the owner status and what
 * the node needs to know. */
struct gb_hello {
	gb_name name;
	gb_name addr;
	gb_name dc;
	uint64_t incarnation;
	uint64_t epoch;		/* newest one that it knows */
	uint64_t config;
	uint32_t cpu_milli;	/* processors of the node, in thousandths */
	int64_t up_us;		/* age of its process */
	bool leaving;
	uint64_t members_known;	/* version of the list of members that it has */
};

struct gb_hello_res {
	bool owner;		/* the answering node is the owner */
	bool acquiring;	/* has claimed the pool and is loading the tables */
	bool vacating;	/* the owner is stopping: others should take over */
	uint64_t epoch;
	gb_name owner_addr;	/* empty if unknown */
	/* time since the owner last answered this node */
	int64_t owner_silent_us;
	/* time since the store last answered the owner */
	int64_t store_silent_us;
	/* most partitions don't accept the owner's writes */
	bool store_unavailable;
	/* processors of the largest live member, in thousandths */
	uint32_t largest_milli;
	uint64_t members_vers;	/* version of the list of members */
	gb_name members<4096>;	/* empty if the caller has that version */
	uint32_t rank;		/* of the caller, in the order of succession */
	uint32_t ranked;	/* number of members that have a rank */
	uint64_t config;
	/* empty; older programs may send their configuration here */
	gb_body config_text;
	/* percentage of new flows to reject, set by the owner; older
	 * programs end before it */
	uint32_t shed;
	/* node that has the owner's configuration, if the caller's is older;
	 * older programs end before it */
	gb_name config_source;
};

/* Request of the owner to a member to take over the pool. */
struct gb_takeover_request {
	gb_name owner;		/* address of the owner */
	uint64_t epoch;		/* of that owner */
};

struct gb_takeover_res {
	bool begun;		/* the member has begun to take over the pool */
};

/* Sent by members that run an older program to an owner whose configuration is
 * older than theirs. */
struct gb_config_push {
	gb_body text;
};

struct gb_config_push_res {
	uint64_t config;	/* version that the owner has now */
};

/* Request for a newer configuration than that of the caller. */
struct gb_config_ask {
	uint64_t config;	/* version that the caller has */
};

struct gb_config_res {
	uint64_t config;	/* version that the answering node has */
	uint32_t len;		/* length of the text */
	/* the text, compressed; empty if it isn't newer or can't be sent now */
	gb_body packed;
};

/* Call of the advice service: which of the workers may run a step? */
struct gb_advice_ask {
	gb_name step;
	gb_name workers<100>;
};

/* Proof that the service approved a worker for the step. */
struct gb_ticket {
	gb_name worker;
	gb_name ticket;
};

enum gb_advice_status {
	GB_ADVICE_OK = 0,
	GB_ADVICE_BUSY = 1,	/* refused, retry later */
	GB_ADVICE_LOST = 2	/* no answer */
};

struct gb_advice_res {
	gb_advice_status status;
	int64_t valid_us;	/* validity of the tickets */
	gb_ticket approved<100>;
};
