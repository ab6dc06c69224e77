/**
 * @file worker_model.h
 * Model of a worker of the platform for tests and the demo: it runs tasks under
 * a lease, refuses syncs of older epochs, and lists its tasks and requests.
 */
#ifndef WORKER_MODEL_H
#define WORKER_MODEL_H

#include "gooseberry.h"

/** Kinds of entries in a worker's ledger. */
enum worker_event { WORKER_START, WORKER_END, WORKER_STOP, WORKER_EXEC };

struct worker_model;

/** Called for each task that starts or ends, and each request that starts.  The
 * task is null for a request, the request is null for a task. */
typedef void (*worker_ledger)(
    void *, enum worker_event, const gb_task_id *, const gb_exec *);

/** Create a worker that runs nothing and has no lease.  `ledger` may be null;
 * it is called with the last argument.  Release with worker_model_free. */
struct worker_model *worker_model_new(
    uint64_t incarnation, const gb_res *capacity, worker_ledger, void *);
void worker_model_free(struct worker_model *);
/** Make every task fail at the next tick while set. */
void worker_model_fail_all(struct worker_model *, bool);
/** Carry out a sync.  `now` is the worker's own clock in microseconds here and
 * below.  Release the result with xdr_free. */
void worker_model_sync(
    struct worker_model *, gb_time now, const gb_sync *, gb_sync_res *);
/** Start a request.  Returns false if it is refused, so that it did not run. */
bool worker_model_exec(struct worker_model *, gb_time now, const gb_exec *);
/** Record the end of a request; unknown ones are ignored. */
void worker_model_exec_end(struct worker_model *, uint64_t owner, uint64_t rid);
/** End tasks whose duration has passed, and all tasks once the lease has
 * expired. */
void worker_model_tick(struct worker_model *, gb_time now);
/** Resources that running tasks and requests use. */
gb_res worker_model_load(const struct worker_model *);
/** Whether the load exceeds the worker's capacity. */
bool worker_model_overloaded(const struct worker_model *);
/** Whether a task runs now.  It doesn't once the lease has expired: a paused
 * worker's tasks are paused with it, and end before anything else when it
 * resumes after its lease. */
bool worker_model_runs(
    const struct worker_model *, gb_time now, uint64_t job, uint32_t index);
/** List at most `max` running tasks; returns their number. */
size_t worker_model_running(
    const struct worker_model *, gb_task_id *out, size_t max);

#endif
