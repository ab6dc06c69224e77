/**
 * @file cells.h
 * Several scheduler cores with a table service, workers and a network that
 * are small models, under a virtual clock; and the oracle that checks the
 * promises after every step.
 */
#ifndef CELLS_H
#define CELLS_H

#include "gooseberry.h"
#include "store_model.h"
#include "worker_model.h"

#define CORES 3
#define WORKERS 6
#define STORE_NODE (CORES + WORKERS)
#define NODES (STORE_NODE + 1)
#define STEP (10 * GB_MSEC)
#define TRACKED 600

/** Where a fault of the matrix strikes. */
enum cell_step {
	AT_NONE,
	AT_SUBMIT,
	AT_COMMIT,
	AT_PLACE,
	AT_START,
	AT_RUN,
	AT_END,
	AT_ANSWER,
	AT_DRAIN,
	AT_TAKEOVER,
	AT_ACCEPT,
	AT_SPREAD,
	AT_STEPS
};

struct message;

/** A request or job as the oracle remembers it. */
struct tracked {
	uint64_t id; /**< of the answer; 0: free */
	uint32_t core;
	bool job;
	bool idempotent;
	bool keyed;
	bool answered;
	gb_answer answer; /**< without its body */
	uint64_t job_id;
	uint32_t tasks;
	uint32_t starts; /**< of its tasks, here and in other shards */
	char name[24];
	unsigned int execs;
	unsigned int execs_before; /**< when it was last sent */
	uint64_t wants;		   /**< version that an apply asked for */
	bool apply;
	bool cancel;
};

struct core_node {
	struct cells *cells;
	struct gb_core *core; /**< null while dead */
	uint64_t incarnation;
	gb_time paused_until;
	gb_time delay; /**< added to everything it sends */
	bool leaving;
	uint64_t seen_vers; /**< newest document version it acted on */
};

struct worker_node {
	struct worker_model *model;
	struct cells *cells;
	uint64_t incarnation;
	gb_time offset; /**< of its clock */
	int64_t drift;	/**< of its clock, per mille */
	gb_time paused_until;
	gb_instance_state state;
	gb_time left_at;
	char name[16];
	uint32_t index;
};

/** A loan of a job's tasks to another shard. */
struct child {
	uint64_t id;
	uint64_t parent;
};

struct started {
	uint64_t job;
	uint32_t index;
	unsigned int times;
};

struct cells {
	gb_time now;
	uint64_t seed;
	struct core_node cores[CORES];
	struct worker_node workers[WORKERS];
	struct store_model *store;
	bool cut[NODES][NODES]; /**< from, to */
	bool store_down;
	gb_time store_slow;
	unsigned int store_lose;
	gb_time service_time; /**< of a request, 0: short */
	struct message *queue;
	uint64_t next_message;
	struct tracked tracked[TRACKED];
	unsigned int tracked_count;
	struct started starts[4 * TRACKED];
	unsigned int start_count;
	struct child children[4 * TRACKED];
	unsigned int child_count;
	uint64_t in_force; /**< document version that is in force everywhere */
	unsigned int names;
	char broken[256]; /**< first promise that was broken */
	/* Fault matrix */
	enum cell_step strike_at;
	void (*strike)(struct cells *, uint32_t core, uint32_t worker);
	bool struck;
};

struct cells *cells_new(uint64_t seed);
void cells_free(struct cells *);
/** Let virtual time pass, and check every promise at each step. */
void cells_run(struct cells *, gb_time);
/** End all faults, let the cell come to rest, and check that nothing that was
 * accepted is lost. */
void cells_finish(struct cells *);

void cells_submit(
    struct cells *, uint32_t core, unsigned int kind, uint32_t tasks);
/** Cancel the job that was tracked n-th last. */
void cells_cancel(struct cells *, unsigned int n);
void cells_request(struct cells *, uint32_t core, unsigned int kind);
/** Send a keyed request again. */
void cells_repeat(struct cells *, uint32_t core, unsigned int n);
/** One operator submits the next version of the document. */
void cells_apply(struct cells *, uint32_t core);
void cells_drain(struct cells *, uint32_t core, uint32_t worker, bool drain);
void cells_kill(struct cells *, uint32_t core);
void cells_start(struct cells *, uint32_t core);
void cells_leave(struct cells *, uint32_t core);
void cells_pause(struct cells *, uint32_t core, gb_time);
void cells_pause_worker(struct cells *, uint32_t worker, gb_time);
void cells_cut(struct cells *, uint32_t from, uint32_t to, bool);
void cells_worker_restart(struct cells *, uint32_t worker);
void cells_worker_state(struct cells *, uint32_t worker, gb_instance_state);
/** Whether some live core owns a shard. */
bool cells_owned(const struct cells *, uint32_t shard);
/** Core that owns a shard, or GB_NONE. */
uint32_t cells_owner(const struct cells *, uint32_t shard);

#endif
