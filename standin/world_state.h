/**
 * @file world_state.h
 * State of the model of the platform.
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
	uint32_t gang; /**< members, 0: none */
	bool together; /**< all members were present */
	bool fails;
	bool crashes; /**< its worker, soon after it has begun */
	gb_time began;
	gb_time work;
	gb_time worked;
	char checkpoint[GB_NAME_MAX + 1];
};

TAILQ_HEAD(world_runs, world_run);

struct world_end {
	TAILQ_ENTRY(world_end) next;
	struct gb_pool_run_report seen;
};

TAILQ_HEAD(world_ends, world_end);

/** Highest run of a task that was stopped or ended on a worker. */
struct world_mark {
	UT_hash_handle hh;
	char key[GB_NAME_MAX + 1];
	uint64_t run;
};

struct world_worker {
	unsigned int number;
	unsigned int incarnation; /**< grows with each start of the process */
	int64_t born_ms;	  /**< time of day of the start */
	bool up;
	gb_time back_at; /**< a crashed one has a new lifetime then, 0: never */
	bool draining;
	bool failing;
	bool still;
	char id[GB_NAME_MAX + 1];
	char addr[GB_NAME_MAX + 1];
	char service[GB_NAME_MAX + 1];
	char dc[GB_NAME_MAX + 1];
	char rack[GB_NAME_MAX + 1];
	gb_res capacity;
	gb_res capacity_before; /**< may be used until shrunk_until */
	gb_time shrunk_until;
	gb_res used;
	double speed;
	int64_t offset_ms; /**< its clock less the world's */
	uint64_t token;
	int64_t lease_end_ms;
	uint64_t ended;
	uint64_t acked;
	struct world_runs runs;
	struct world_ends ends;
	struct world_mark *marks;
};

struct world_task {
	int running;
	bool done;
	bool ever_done; /**< also when that end was lost with its worker */
	bool noted;	/**< the owner has taken note of an end that is done */
	unsigned int failures;
	unsigned int ever_failures; /**< also ends lost with their worker */
	unsigned int crashes;	    /**< workers that crashed under it */
	unsigned int starts_after;  /**< so many of these */
};

struct world_flow {
	UT_hash_handle hh;
	gb_flow spec;
	unsigned int max_attempts;
	uint32_t first[GB_STEPS_MAX]; /**< first task of a step */
	uint32_t task_count;
	unsigned int starts;
	struct world_task *tasks;
};

/** What an organisation has running. */
struct world_org {
	UT_hash_handle hh;
	char name[GB_NAME_MAX + 1];
	struct gb_pool_amount quota;
	struct gb_pool_amount before; /**< the largest until before_until */
	gb_time before_until;
	struct gb_pool_amount used;
};

struct world_row {
	TAILQ_ENTRY(world_row) next;
	UT_hash_handle hh;
	char name[GB_KEY_MAX + 1]; /**< part, table and key */
	uint32_t partition;
	enum gb_pool_table table;
	char *key;
	uint64_t vers;
	gb_body value;
};

TAILQ_HEAD(world_rows, world_row);

struct world {
	gb_time now;
	bool reports_untold;   /**< reports don't tell when a worker started */
	bool entries_untold;   /**< nor do entries */
	int64_t clock_step_ms; /**< the time of day is off by so much */
	uint64_t seed;
	struct world_worker **workers;
	unsigned int worker_count;
	struct world_flow *flows;
	struct world_org *orgs;
	bool tickets;		/**< starts need one */
	gb_time shrunk_known;	/**< owners know of less room so much later */
	gb_time quota_known;	/**< and of a lower quota */
	struct world_rows rows; /**< in the order of their keys */
	struct world_row *by_name;
	uint64_t vers;
	struct world_faults faults;
};

void world_rows_free(struct world *);

/* world_org.c */
/** A run of an organisation begins: whether it is within its quota. */
bool world_org_take(struct world *, const char *org, const gb_res *);
void world_org_give(struct world *, const char *org, const gb_res *);
void world_orgs_free(struct world *);

/* world_oracle.c */
/** Something happened that must not; keeps the first text. */
void world_fault(
    struct world *, unsigned int *count, const char *what, const char *task);
/** Task of a flow that was submitted, or null. */
struct world_task *world_task_of(struct world *, const char *id, uint32_t step,
    uint32_t index, struct world_flow **);
void world_oracle_start(
    struct world *, struct world_worker *, const struct world_run *);
void world_oracle_end(
    struct world *, const struct world_run *, bool lost, enum gb_pool_outcome);
/** A worker goes down under a run. */
void world_oracle_crash(
    struct world *, const struct world_worker *, const struct world_run *);
/** An end that the owner has not taken note of is lost with the worker. */
void world_oracle_end_lost(struct world *, const struct world_end *);
/** The owner takes note of an end; one member's stands for its gang. */
void world_oracle_end_noted(struct world *, const struct world_end *);

#endif
