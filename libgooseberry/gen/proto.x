/*
 * Messages between the processes of gooseberrycart and its stand-ins, and the
 * records of a shard's log.  Times are microseconds.  The C code made from
 * this file by rpcgen is committed beside it.
 */

const GB_NAME_MAX = 63;
const GB_KEY_MAX = 255;
const GB_BODY_MAX = 4194304;
const GB_LIST_MAX = 65536;

typedef string gb_name<GB_NAME_MAX>;
typedef string gb_key<GB_KEY_MAX>;
typedef opaque gb_body<GB_BODY_MAX>;

enum gb_verdict {
	GB_NOT_RUN = 0,		/* certainly not run, may go elsewhere */
	GB_MAYBE_RUN = 1,	/* may have run */
	GB_RUN = 2		/* ran, the answer is here */
};

struct gb_res {
	int cpu;		/* thousandths of a processor */
	int mem;		/* MiB */
	int accel;		/* accelerators */
	int slots;
	int conns;
};

/* Platform: table service and object store */

enum gb_store_status {
	GB_STORE_OK = 0,
	GB_STORE_CONFLICT = 1,	/* a condition did not hold, nothing written */
	GB_STORE_REFUSED = 2,	/* not done */
	GB_STORE_UNKNOWN = 3	/* may have been done */
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

struct gb_txn {
	gb_cond conds<64>;
	gb_put puts<GB_LIST_MAX>;
};

struct gb_txn_res {
	gb_store_status status;
	uint64_t vers;	/* of every row this transaction put */
};

struct gb_scan {
	gb_key prefix;
	gb_key after;		/* rows with a key greater than this */
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
	gb_name pool;		/* which services it may serve */
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
	int64_t run_us;		/* declared run time, 0: until stopped */
	uint64_t vers;		/* of the document */
};

enum gb_held_state {
	GB_HELD_RUNNING = 0,
	GB_HELD_OK = 1,
	GB_HELD_FAILED = 2,
	GB_HELD_STOPPED = 3,	/* by a stop message or a lapsed lease */
	GB_HELD_REFUSED = 4	/* was never started */
};

struct gb_held {
	gb_task_id id;
	gb_held_state state;
	uint64_t vers;		/* of the document it was started with */
	gb_res res;		/* declared */
	gb_res used;		/* observed, with a lag */
};

struct gb_sync {
	uint32_t shard;
	uint64_t owner;	/* incarnation of the sender */
	uint64_t epoch;
	uint64_t seq;	/* grows by one with every sync of an epoch */
	uint64_t incarnation; /* of the worker, 0 in a first sync */
	int64_t anchor;		/* worker clock of the report this builds on */
	int64_t lease_us;		/* the lease ends at anchor + lease_us */
	gb_start starts<>;
	gb_task_id stops<>;
	gb_task_id acks<>;	/* ended tasks the worker may forget */
};

struct gb_sync_res {
	bool refused;		/* a newer epoch, sequence or incarnation */
	uint64_t epoch;
	uint64_t incarnation;
	uint64_t seq;	/* last sync carried out */
	int64_t clock;		/* of the worker, counting suspended time */
	uint32_t requests;	/* requests in hand from other owners */
	uint64_t own<>;		/* requests in hand from this owner */
	gb_held held<>;
};

struct gb_exec {
	uint64_t epoch;
	uint64_t incarnation;
	int64_t anchor;
	int64_t lease_us;
	uint64_t rid;	/* unique per owner incarnation */
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

struct gb_claim {
	uint32_t shard;
	uint64_t epoch;
	bool active;
	uint32_t free_slots;
};

struct gb_beat {
	gb_name member;
	uint64_t incarnation;
	gb_name addr;
	gb_name dc;
	bool leaving;
	bool informed;		/* has read the store since it started */
	uint64_t seen;		/* version of the head row it has read */
	uint64_t config;	/* last configuration change applied */
	gb_claim claims<>;
};

struct gb_view {
	gb_beat members<>;
	uint32_t shards;
};

/* Entry to scheduler */

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

struct gb_answer {
	gb_verdict verdict;
	uint32_t status;
	uint32_t retry_after_ms;	/* 0: no advice */
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

struct gb_command {
	gb_verb verb;
	uint32_t shard;
	gb_name team;
	gb_name name;		/* service, job or worker */
	gb_name author;
	uint64_t vers;	/* expected (0: must be new), or wanted */
	int64_t remaining_us;
	gb_body body;
};

/* Records of a shard's log */

struct gb_job_spec {
	uint64_t id;
	gb_name team;
	gb_name name;
	gb_name service;
	uint32_t band;
	bool idempotent;
	bool gang;
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
	uint64_t parent;	/* job whose tasks these are, 0: none */
	uint32_t parent_shard;
};

/* Tasks that a job's home shard lends to another */

struct gb_loan {
	uint64_t job;
	uint64_t child;		/* the job that holds them in the other shard */
	uint32_t shard;		/* that shard */
	uint32_t tasks<>;	/* indexes of the tasks */
};

enum gb_lend_kind {
	GB_LEND_OFFER = 1,	/* home: take these tasks */
	GB_LEND_TAKEN = 2,	/* other: they are in the log */
	GB_LEND_RESULT = 3,	/* other: they have ended */
	GB_LEND_SETTLED = 4,	/* home: that is in the log */
	GB_LEND_CANCEL = 5	/* home: stop them */
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
	GB_REC_WORKER_GONE = 6,
	GB_REC_FORGET = 7,
	GB_REC_LEND = 8,
	GB_REC_UNLEND = 9
};

struct gb_rec_task {
	gb_task_id id;
	gb_name worker;
	uint64_t incarnation;
	uint32_t outcome;	/* gb_outcome */
};

union gb_record switch (gb_record_type type) {
case GB_REC_JOB:
	gb_job_spec job;
case GB_REC_CANCEL:
	uint64_t cancel;
case GB_REC_FORGET:
	uint64_t forget;
case GB_REC_START:
	gb_rec_task start;
case GB_REC_END:
	gb_rec_task end;
case GB_REC_WORKER:
	gb_instance worker;
case GB_REC_WORKER_GONE:
	gb_name gone;
case GB_REC_LEND:
	gb_loan lend;
case GB_REC_UNLEND:
	gb_loan unlend;
};

struct gb_batch {
	uint64_t epoch;
	uint64_t owner;
	gb_record records<GB_LIST_MAX>;
};

struct gb_shard_row {
	uint64_t owner;	/* incarnation, 0: nobody */
	gb_name member;
	uint64_t epoch;
};

struct gb_snapshot_row {
	uint64_t seq;		/* last log sequence the snapshot covers */
};

struct gb_member_row {
	gb_name member;
	uint64_t incarnation;
	gb_name addr;
	gb_name dc;
};

struct gb_view_row {
	uint64_t number;
	gb_member_row members<4096>;
	gb_name previous<4096>;	/* names of the view before */
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
	uint64_t nonce;	/* tells a lost answer's own write */
	gb_body body;		/* JSON text of a document */
};

struct gb_config_row {
	uint64_t seq;		/* last change that is covered */
	uint64_t vers;		/* of that change's row */
	gb_change changes<GB_LIST_MAX>;
};

struct gb_key_row {
	uint64_t fingerprint;
	uint64_t nonce;
	bool done;
	uint32_t status;
	gb_body body;
};

/*
 * Flows: jobs of dependent steps, which one owner of the pool schedules.  The
 * records are kept in the platform's tables; the messages go between nodes.
 */

const GB_SPEC_MAX = 16384;
const GB_STEPS_MAX = 64;
const GB_TASKS_MAX = 100000;
const GB_ATTEMPTS_MAX = 64;

/* Flags of a step */
const GB_STEP_GANG = 1;		/* tasks run only together */
const GB_STEP_SAME_RACK = 2;
const GB_STEP_CHECKPOINT = 4;
const GB_STEP_SPECULATIVE = 8;	/* copies may run side by side */

struct gb_step {
	uint32_t count;
	gb_res res;		/* of one task */
	int64_t estimate_us;	/* declared run time, often far off */
	uint32_t flags;
	uint32_t per_worker;	/* most tasks on one worker, 0: no limit */
	gb_name label;		/* a worker must have it, empty: any */
	gb_name rack;		/* where the data is, empty: anywhere */
	uint32_t after<GB_STEPS_MAX>;
};

/* What a caller submitted.  Never changes once it is stored. */
struct gb_flow {
	gb_name id;
	gb_name queue;
	gb_name service;
	uint32_t max_attempts;	/* of a task, when it was submitted */
	int64_t submitted_us;	/* wall clock of the node that took it */
	string spec<GB_SPEC_MAX>;
	gb_step steps<GB_STEPS_MAX>;
	gb_name org;		/* organisation it belongs to, empty: none */
	bool over_share;	/* beyond what that may send, as it came */
};

/* A flow as it is stored.  Programs that know no more read the flow alone. */
struct gb_flow_row {
	gb_flow flow;
	uint64_t config;	/* its caller was judged by it, 0: unknown */
};

enum gb_flow_status {
	GB_FLOW_QUEUED = 0,
	GB_FLOW_RUNNING = 1,
	GB_FLOW_SUCCEEDED = 2,
	GB_FLOW_FAILED = 3,
	GB_FLOW_CANCELLED = 4,
	GB_FLOW_UNKNOWN = 5	/* nobody submitted it */
};

/* A task with more to tell than whether it is done.  What holds for a gang as
 * a whole stands under its first task. */
struct gb_task_state {
	uint32_t step;
	uint32_t index;
	uint64_t failed_runs<GB_ATTEMPTS_MAX>;	/* ends come in any order */
	gb_name checkpoint;
};

const GB_UNREACHABLE_MAX = 8;

/* A worker that fell silent with a task. */
struct gb_unreachable_worker {
	gb_name worker;
	bool begun;		/* it had said that it runs the task */
	bool early;		/* after that */
	bool sole_suspect;		/* and no other flow's start was as new */
	bool lapsed;		/* the lease was over before it was heard of */
};

/* A task under which workers have crashed, or may have. */
struct gb_task_crashes {
	uint32_t step;
	uint32_t index;
	uint32_t workers;	/* that crashed under it */
	uint32_t confirmed;		/* of these, surely while they ran it */
	uint32_t early;		/* soon after they had begun it */
	uint32_t attributed;	/* of these, surely while they ran it */
	bool sole_suspect;		/* once no other flow's start was as new */
	gb_unreachable_worker unreachable<GB_UNREACHABLE_MAX>;
};

/* What has become of a flow.  Rows of older programs end before `crashes`,
 * before `org` or before `worker_incarnations`. */
struct gb_flow_state {
	gb_flow_status status;
	bool cancelled;
	bool owned;		/* an owner took it in: tasks may have begun */
	gb_body done<GB_STEPS_MAX>;	/* a bit for each task of a step */
	gb_task_state tasks<GB_TASKS_MAX>;
	gb_task_crashes crashes<GB_TASKS_MAX>;
	gb_name org;		/* organisation it belongs to, empty: none */
	int64_t worker_incarnations<>;	/* of the workers that are away, in their order */
};

/* Who owns the pool.  One copy in each part, so that every transaction of a
 * part can be bound to it. */
struct gb_owner_row {
	uint64_t epoch;
	gb_name name;
	gb_name addr;		/* of its peer port, empty: nobody owns it */
	uint64_t incarnation;
	uint64_t serial;	/* grows with each write of the row */
};

/* Workers that may run something: a start is sent only to those in the stored
 * set, so that a successor knows whom to ask. */
struct gb_worker_ref {
	gb_name id;
	gb_name addr;
};

/* Rows of older programs end before `lives`. */
struct gb_worker_set {
	gb_worker_ref list<GB_LIST_MAX>;
	int64_t incarnations<GB_LIST_MAX>;	/* that answered last, 0: unknown */
};

const GB_KEY_DIGEST = 32;	/* bytes of an API key's SHA-256 digest */

enum gb_flow_verdict {
	GB_FLOW_ACCEPTED = 0,
	GB_FLOW_REFUSED = 1,	/* never runs */
	GB_FLOW_MAYBE = 2,	/* may have been accepted */
	GB_FLOW_NOT_OWNER = 3,	/* ask another node; nothing was done */
	GB_FLOW_BEHIND = 4,	/* has an older configuration */
	GB_FLOW_CANT_STORE = 5,	/* not taken: the store refuses this owner */
	GB_FLOW_DENIED = 6	/* the caller's key is not known; never runs */
};

/* Who calls, as the node that took the call found by its configuration. */
struct gb_flow_caller {
	uint64_t config;	/* version of that configuration */
	gb_name org;		/* empty: the queue asks for no key */
	opaque key<GB_KEY_DIGEST>;	/* digest of the key, empty: none */
};

struct gb_flow_submit {
	gb_flow_caller caller;
	gb_flow flow;
};

enum gb_flow_op {
	GB_FLOW_OP_STATE = 1,
	GB_FLOW_OP_CANCEL = 2,
	GB_FLOW_OP_PENDING = 3
};

struct gb_flow_ask {
	gb_flow_op op;
	gb_name id;		/* of the flow, or name of the queue */
	gb_flow_caller caller;
};

struct gb_flow_answer {
	gb_flow_verdict verdict;
	gb_flow_status status;
	uint32_t pending;
	int64_t retry_after_us;
};

/* A node tells the owner that it lives; the answer tells what the node needs
 * to know. */
struct gb_hello {
	gb_name name;
	gb_name addr;
	gb_name dc;
	uint64_t incarnation;
	uint64_t epoch;		/* newest that it has seen */
	uint64_t config;
	uint32_t cpu_milli;
	int64_t up_us;		/* age of its process */
	bool leaving;
	uint64_t members_known;	/* version of the list of members it has */
};

struct gb_hello_res {
	bool owner;		/* answers as the owner */
	bool acquiring;		/* has claimed the pool and is loading it */
	bool vacating;		/* the owner stops: take over at once */
	uint64_t epoch;
	gb_name owner_addr;	/* as far as known */
	int64_t owner_heard_us;	/* since the owner last answered this node */
	int64_t store_silent_us;	/* since the owner's last store answer */
	bool store_unavailable;		/* most parts do not take the owner's writes */
	uint32_t largest_milli;	/* processor of the largest live member */
	uint64_t members_vers;	/* version of the list of members */
	gb_name members<4096>;	/* empty when the caller has that version */
	uint32_t rank;		/* the caller's, in the order of succession */
	uint32_t ranked;	/* members that have a rank */
	uint64_t config;
	gb_body config_text;	/* empty unless the caller's is older */
	uint32_t shed;		/* percent of new flows to turn away, of the
				 * owner; older programs end before it */
};

/* The owner asks a member to take the pool over from it. */
struct gb_succeed {
	gb_name owner;		/* address of the owner that asks */
	uint64_t epoch;		/* of that owner */
};

struct gb_succeed_res {
	bool begun;		/* it has begun to take the pool over */
};

/* A member sends the owner a configuration that is newer than the owner's. */
struct gb_config_news {
	gb_body text;
};

struct gb_config_news_res {
	uint64_t config;	/* version that the owner has now */
};

struct gb_advice_ask {
	gb_name step;
	gb_name workers<100>;
};

struct gb_ticket {
	gb_name worker;
	gb_name ticket;
};

enum gb_advice_status {
	GB_ADVICE_OK = 0,
	GB_ADVICE_BUSY = 1,	/* refused, ask again later */
	GB_ADVICE_LOST = 2	/* no answer came */
};

struct gb_advice_res {
	gb_advice_status status;
	int64_t valid_us;
	gb_ticket approved<100>;
};
