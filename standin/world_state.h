/**
 * @file world_state.h
 * Internal state of the platform model.
 */
#ifndef STANDIN_WORLD_STATE_H
#define STANDIN_WORLD_STATE_H

#include <sys/queue.h>

#include <uthash.h>

#include "world.h"

struct world_run {
	TAILQ_ENTRY(world_run) next;
	char flow[GB_NAME_MAX + 1];
	uint32_t step;
	uint32_t index;
	uint64_t number;
	gb_res res;
	uint32_t gang;	    /**< members of its gang, 0: no gang */
	bool gang_complete; /**< all members have been present at once */
	bool fails;	    /**< it fails after half of its work */
	bool crashes;	    /**< it crashes its worker soon after the start */
	gb_time began;
	gb_time work;	/**< duration on a worker of speed 1 */
	gb_time worked; /**< progress, of `work` */
	char checkpoint[WORLD_CHECKPOINT_MAX + 1];
};

TAILQ_HEAD(world_runs, world_run);

/** An ended run that the owner has not acknowledged yet. */
struct world_ended_run {
	TAILQ_ENTRY(world_ended_run) next;
	struct gb_pool_run_report report;
	char checkpoint[WORLD_CHECKPOINT_MAX + 1];
	bool listed; /**< in an answer to a heartbeat */
};

TAILQ_HEAD(world_ended_runs, world_ended_run);

/** Highest run number of a task that was stopped or ended on a worker. */
struct world_last_run {
	UT_hash_handle hh;
	char key[GB_NAME_MAX + 1];
	uint64_t run;
};

struct world_worker {
	unsigned int number;
	unsigned int incarnation; /**< counts the starts of the process */
	int64_t started_ms;	  /**< time of day of the start */
	bool up;
	gb_time replace_at; /**< when a crashed worker is replaced, 0: not */
	bool draining;
	gb_time leaves_at; /**< when it terminates, 0: not told */
	bool failing;	   /**< its tasks fail */
	bool stalled;	   /**< its tasks make no progress */
	char id[GB_NAME_MAX + 1];
	char addr[GB_NAME_MAX + 1];
	char service[GB_NAME_MAX + 1];
	char dc[GB_NAME_MAX + 1];
	char rack[GB_NAME_MAX + 1];
	gb_res capacity;
	gb_res capacity_before; /**< tolerated until shrunk_until */
	gb_time shrunk_until;
	gb_res used;
	double speed;
	int64_t offset_ms; /**< its clock minus the model's */
	uint64_t token;	   /**< highest fencing token received */
	int64_t lease_end_ms;
	uint64_t ended; /**< number of the last ended run */
	uint64_t acked; /**< unused */
	struct world_runs runs;
	struct world_ended_runs ended_runs;
	struct world_last_run *last_runs;
};

struct world_task {
	int running;
	bool done;
	bool ever_done;	 /**< also when the report was lost with the worker */
	bool done_acked; /**< the owner has acknowledged its success */
	unsigned int failures;
	unsigned int ever_failures; /**< also those lost with their worker */
	unsigned int crashes;	   /**< workers that crashed while running it */
	unsigned int crash_starts; /**< starts after CRASH_WORKERS crashes */
};

struct world_flow {
	UT_hash_handle hh;
	gb_flow spec;
	unsigned int max_attempts;
	uint32_t first[GB_STEPS_MAX]; /**< index of each step's first task */
	uint32_t task_count;
	unsigned int starts;
	struct world_task *tasks;
};

/** Quota and use of an organisation. */
struct world_org {
	UT_hash_handle hh;
	char name[GB_NAME_MAX + 1];
	struct gb_pool_amount quota;
	struct gb_pool_amount
	    quota_before;	    /**< higher quota, still tolerated */
	gb_time quota_before_until; /**< end of that tolerance */
	struct gb_pool_amount used;
};

struct world_row {
	TAILQ_ENTRY(world_row) next;
	UT_hash_handle hh;
	char name[GB_KEY_MAX + 1]; /**< partition, table and key */
	uint32_t partition;
	enum gb_pool_table table;
	char *key;
	uint64_t vers;
	gb_body value;
};

TAILQ_HEAD(world_rows, world_row);

struct world {
	gb_time now;
	bool reports_omit_start; /**< reports lack the worker's start time */
	bool entries_omit_start; /**< entries lack the worker's start time */
	int64_t clock_step_ms;	 /**< added to the time of day */
	int64_t lease_max_ms;	 /**< that workers accept, 0: any */
	uint64_t seed;
	struct world_worker **workers;
	unsigned int worker_count;
	struct world_flow *flows;
	struct world_org *orgs;
	bool listed_ends_count;	       /**< a listed end counts for good */
	unsigned int checkpoint_bytes; /**< least length of a checkpoint */
	bool gangs_wait;	/**< a gang ends with its slowest member */
	bool tickets_needed;	/**< starts need a ticket */
	gb_time shrink_grace;	/**< until owners know of a lower capacity */
	gb_time quota_grace;	/**< until owners know of a lower quota */
	struct world_rows rows; /**< in the order of their keys */
	struct world_row *by_name;
	uint64_t vers;
	struct world_violations violations;
};

void world_rows_free(struct world *);

/* world_org.c */
/** Add a run's resources to its organisation's use.  Returns whether the use is
 * within the quota. */
bool world_org_use(struct world *, const char *org, const gb_res *);
/** Subtract a run's resources from its organisation's use. */
void world_org_release(struct world *, const char *org, const gb_res *);
void world_orgs_free(struct world *);

/* world_oracle.c */
/** Count a violation and describe it in the text.  An incomplete gang is
 * described only if there is no text yet. */
void world_violation(
    struct world *, unsigned int *count, const char *what, const char *task);
/** Find a task of a submitted flow, null if there is none. */
struct world_task *world_task_of(struct world *, const char *id, uint32_t step,
    uint32_t index, struct world_flow **);
/** Check the start of a run. */
void world_oracle_start(
    struct world *, struct world_worker *, const struct world_run *);
/** Record the end of a run; `lost` if its worker terminated. */
void world_oracle_end(
    struct world *, const struct world_run *, bool lost, enum gb_pool_outcome);
/** Record that a worker terminated while it had a run. */
void world_oracle_crash(
    struct world *, const struct world_worker *, const struct world_run *);
/** Record that an unacknowledged end was lost with its worker. */
void world_oracle_end_lost(struct world *, const struct world_ended_run *);
/** Record that the owner acknowledged an end.  The success of one member of a
 * gang counts for all members. */
void world_oracle_end_acked(struct world *, const struct world_ended_run *);

#endif
