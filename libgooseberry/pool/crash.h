/**
 * @file crash.h
 * Tasks that crash the workers that start them: interface for owner.c,
 * dispatch.c, worker.c, incarnation.c, flow.c, run.c, flow_state.c and fit.c.
 */
#ifndef GB_POOL_CRASH_H
#define GB_POOL_CRASH_H

#include "state.h"

/** Handles that a worker missed a heartbeat and may have crashed: marks its
 * newly started runs to be stored, so that a successor knows of them. */
void pool_crash_worker_missed(struct gb_pool *, struct pool_worker *);
/** Classifies the runs of a lost worker, before the first of them is freed. */
void pool_crash_classify(const struct gb_pool *, struct pool_worker *);
/** Records a run as lost because its worker's incarnation has ended. */
void pool_crash_run_ended(struct gb_pool *, const struct pool_run *);
/** Records a run as lost because its worker is unreachable and the lease has
 * expired. */
void pool_crash_run_lapsed(struct gb_pool *, const struct pool_run *);
/** Resolves the recorded losses of an unreachable worker once it has answered,
 * or another incarnation in its place (`crashed`). */
void pool_crash_losses_resolve(
    struct gb_pool *, struct pool_worker *, bool crashed);
void pool_crash_losses_drop(struct pool_worker *);
/** Whether a crash suspect was just started on a worker, so that no other task
 * may be started there. */
bool pool_crash_has_new_suspect(const struct pool_worker *);
/** Whether a run of a flow other than `except` was just started on a worker. */
bool pool_crash_has_new_run(
    const struct pool_worker *, const struct pool_flow *except);
/** Whether a task may not be started yet: its start or its crashes are not
 * stored, or it may be over the limit of crashes. */
bool pool_crash_start_blocked(
    const struct pool_flow *, const struct pool_task *);
/** Counts workers that have been unreachable for too long as crashed, and fails
 * the flow if one of its tasks is over the limit. */
void pool_crash_sweep(struct gb_pool *, struct pool_flow *);
/** Handles the loss of a worker: if it had not answered this owner, records in
 * the partitions that are not reconciled that it is unknown what it ran. */
void pool_crash_mark_unknown_loss(struct gb_pool *, const struct pool_worker *);
/** Handles that a partition was reconciled although workers were lost: from now
 * on, starts of flows that may have been started on these are stored before
 * they are sent. */
void pool_crash_plan_starts(struct gb_pool *, uint32_t partition);
/** Plans the start of a task on a worker: claims its capacity and queues the
 * start to be stored. It may be sent once that is stored. */
void pool_crash_plan(struct gb_pool *, struct pool_flow *, uint32_t step,
    uint32_t index, struct pool_worker *);
/** Worker of a planned start. */
struct pool_worker *pool_crash_plan_worker(
    const struct gb_pool *, const struct pool_task *);
/** Releases the capacity that a planned start claims, before the start is
 * sent. */
void pool_crash_plan_release(
    struct gb_pool *, struct pool_step *, uint32_t index);
/** Removes a planned start that was not sent, or whose run has ended. */
void pool_crash_plan_drop(struct gb_pool *, struct pool_step *, uint32_t index);
/** Number of planned starts of a step on a worker that are not sent. */
uint32_t pool_crash_planned_count(
    const struct pool_step *, const struct pool_worker *);
void pool_crash_plans_drop(struct gb_pool *, struct pool_step *);
/** Loads the stored crashes of a task, with the incarnations of its first
 * `known` unreachable workers. */
void pool_crash_load(struct gb_pool *, struct pool_flow *,
    const gb_task_crashes *, const int64_t *incarnations, u_int known);
/** Whether a task has crashes, unreachable workers or a planned start to be
 * stored. */
bool pool_crash_needs_store(const struct pool_task *);
/** Fills in the stored form of these; pool_flow_state_clear frees it. */
void pool_crash_fill(const struct pool_task *, gb_task_crashes *);
/** Appends the incarnations of the workers that pool_crash_fill fills in, in
 * the same order. */
void pool_crash_fill_incarnations(const struct pool_task *, gb_flow_state *);

#endif
