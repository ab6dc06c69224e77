/**
 * @file worker_model.h
 * A worker of the platform as tests and the demo need it: it runs tasks under
 * a lease, refuses older epochs, and lists what it holds.
 */
#ifndef WORKER_MODEL_H
#define WORKER_MODEL_H

#include "gooseberry.h"

/** One thing that a worker has run, for its ledger. */
enum worker_event { WORKER_START, WORKER_END, WORKER_STOP, WORKER_EXEC };

struct worker_model;

/** Told of everything the worker begins and ends. */
typedef void (*worker_ledger)(
    void *, enum worker_event, const gb_task_id *, const gb_exec *);

struct worker_model *worker_model_new(
    uint64_t incarnation, const gb_res *capacity, worker_ledger, void *);
void worker_model_free(struct worker_model *);
/** Every task fails at once while this is set. */
void worker_model_fail_all(struct worker_model *, bool);
/** Carry out a sync; release the result with xdr_free. */
void worker_model_sync(
    struct worker_model *, gb_time now, const gb_sync *, gb_sync_res *);
/** Begin a request; false when it is refused and so was not run. */
bool worker_model_exec(struct worker_model *, gb_time now, const gb_exec *);
void worker_model_exec_end(struct worker_model *, uint64_t owner, uint64_t rid);
/** End tasks whose time is over, and all when the lease is. */
void worker_model_tick(struct worker_model *, gb_time now);
/** What runs now, and whether it is more than the worker can hold. */
gb_res worker_model_load(const struct worker_model *);
bool worker_model_over(const struct worker_model *);
/** Whether a task runs here now.  A frozen worker's tasks are frozen with it,
 * and end before anything else when it goes on after its lease. */
bool worker_model_runs(
    const struct worker_model *, gb_time now, uint64_t job, uint32_t index);
size_t worker_model_running(
    const struct worker_model *, gb_task_id *out, size_t most);

#endif
