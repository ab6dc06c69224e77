/**
 * @file crash.h
 * Tasks that crash the workers that start them: what worker.c, flow.c, fit.c
 * and dispatch.c ask and tell.
 */
#ifndef GB_POOL_CRASH_H
#define GB_POOL_CRASH_H

#include "state.h"

/** A worker that may have crashed was not heard: a successor must know of what
 * was just started there. */
void pool_crash_worker_missed(struct gb_pool *, struct pool_worker *);
/** A worker is lost: classify its runs, before the first of them is freed. */
void pool_crash_classify(const struct gb_pool *, struct pool_worker *);
/** A run is lost: another lifetime answered in its worker's place. */
void pool_crash_run_ended(struct gb_pool *, const struct pool_run *);
/** A run is lost: its worker is away and its lease was waited out. */
void pool_crash_run_lapsed(struct gb_pool *, const struct pool_run *);
/** A worker that was away has answered, or another lifetime in its place. */
void pool_crash_worker_known(
    struct gb_pool *, struct pool_worker *, bool crashed);
void pool_crash_worker_forget(struct pool_worker *);
/** Whether a suspect was just started on a worker, so that nothing else may
 * be. */
bool pool_crash_on_probation(const struct pool_worker *);
/** Whether a run of another flow was just started on a worker. */
bool pool_crash_has_new(
    const struct pool_worker *, const struct pool_flow *but);
/** Whether a task may not be started yet. */
bool pool_crash_held(const struct pool_flow *, const struct pool_task *);
/** Tasks of a step without a run that may not be started yet. */
uint32_t pool_crash_held_count(
    const struct pool_flow *, const struct pool_step *);
/** Count workers that have been away for too long, and give the flow up if one
 * of its tasks is over the limit. */
void pool_crash_sweep(struct gb_pool *, struct pool_flow *);
/** A worker is lost of which a part that is not settled knows nothing. */
void pool_crash_unseen(struct gb_pool *, const struct pool_worker *);
/** A part is settled: flows that may have been started on workers which were
 * lost meanwhile are watched from now on. */
void pool_crash_watch(struct gb_pool *, uint32_t partition);
/** Store the start of a task on a worker, and keep its room. */
void pool_crash_plan(struct gb_pool *, struct pool_flow *, uint32_t step,
    uint32_t index, struct pool_worker *);
/** Worker of a start that was planned. */
struct pool_worker *pool_crash_plan_worker(
    const struct gb_pool *, const struct pool_task *);
/** Give back the room of a start that was planned, before it is sent. */
void pool_crash_plans_left(
    struct gb_pool *, struct pool_step *, uint32_t index);
/** Forget the start: it was not sent, or its run is over. */
void pool_crash_plan_drop(struct gb_pool *, struct pool_step *, uint32_t index);
/** Starts of a step that are planned on a worker and not sent. */
uint32_t pool_crash_planned_on(
    const struct pool_step *, const struct pool_worker *);
void pool_crash_plans_drop(struct gb_pool *, struct pool_step *);
/** Take in what is stored of a task, with the lives of so many of the workers
 * that were away. */
void pool_crash_load(struct gb_pool *, struct pool_flow *,
    const gb_task_crashes *, const int64_t *incarnations, u_int known);
/** Whether there is something of a task to be stored; and that. */
bool pool_crash_stored(const struct pool_task *);
void pool_crash_fill(const struct pool_task *, gb_task_crashes *);
/** Add the lives of the workers that are away with it. */
void pool_crash_fill_incarnations(const struct pool_task *, gb_flow_state *);

#endif
