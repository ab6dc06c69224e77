/**
 * @file world_oracle.c
 * What the model of the platform has seen of each flow, and what must never
 * happen.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world_state.h"

/** Workers that may crash under one task before it is started only
 * CRASH_STARTS - 1 times more. */
#define CRASH_WORKERS 3
#define CRASH_STARTS 3

const struct world_faults *
world_faults(const struct world *world)
{
	return &world->faults;
}

void
world_fault(struct world *world, unsigned int *count, const char *what,
    const char *task)
{
	(*count)++;
	/* A gang that waited alone may have had a fault near it; what must
	 * never happen goes before it. */
	if (world->faults.text[0] == '\0' || count != &world->faults.alone)
		snprintf(world->faults.text, sizeof(world->faults.text),
		    "%s: %s at %lld ms", what, task,
		    (long long)(world->now / GB_MSEC));
}

void
world_submitted(
    struct world *world, const gb_flow *spec, unsigned int max_attempts)
{
	struct world_flow *flow = gb_calloc(1, sizeof(*flow));
	uint32_t i;

	if (!gb_xdr_copy(
		(xdrproc_t)xdr_gb_flow, spec, &flow->spec, sizeof(flow->spec)))
		abort(); /* the test made it */
	flow->max_attempts = max_attempts;
	for (i = 0; i < flow->spec.steps.steps_len; i++) {
		flow->first[i] = flow->task_count;
		flow->task_count += flow->spec.steps.steps_val[i].count;
	}
	flow->tasks = gb_calloc(flow->task_count, sizeof(*flow->tasks));
	HASH_ADD_KEYPTR(
	    hh, world->flows, flow->spec.id, strlen(flow->spec.id), flow);
}

/** Failures of a task; those of a gang's members count together, since one
 * that fails ends them all. */
static unsigned int
failures_of(
    const struct world_flow *flow, uint32_t step, uint32_t index, bool ever)
{
	const gb_step *spec = &flow->spec.steps.steps_val[step];
	const struct world_task *tasks = &flow->tasks[flow->first[step]];
	bool gang = (spec->flags & GB_STEP_GANG) != 0;
	uint32_t last = gang ? spec->count : index + 1;
	unsigned int failures = 0;
	uint32_t i;

	for (i = gang ? 0 : index; i < last; i++)
		failures += ever ? tasks[i].ever_failures : tasks[i].failures;
	return failures;
}

/** Whether a task of the step, or its gang, has failed as often as it may. */
static bool
step_failed(const struct world_flow *flow, uint32_t step)
{
	uint32_t i;

	for (i = 0; i < flow->spec.steps.steps_val[step].count; i++) {
		if (failures_of(flow, step, i, true) >= flow->max_attempts)
			return true;
	}
	return false;
}

bool
world_flow_view(
    const struct world *world, const char *id, struct world_flow_view *view)
{
	const struct world_flow *flow;
	uint32_t i;

	memset(view, 0, sizeof(*view));
	HASH_FIND_STR(world->flows, id, flow);
	if (flow == NULL)
		return false;
	view->starts = flow->starts;
	view->done = true;
	view->crashes = strstr(flow->spec.spec, "crash=") != NULL;
	for (i = 0; i < flow->task_count; i++) {
		view->crashed = view->crashed || flow->tasks[i].crashes >= 2;
		view->running += (unsigned int)flow->tasks[i].running;
		view->done = view->done && flow->tasks[i].ever_done;
	}
	for (i = 0; i < flow->spec.steps.steps_len; i++)
		view->failed = view->failed || step_failed(flow, i);
	return true;
}

unsigned int
world_flow_worker(const struct world *world, const char *id)
{
	const struct world_run *run;
	unsigned int i;

	for (i = 0; i < world->worker_count; i++) {
		TAILQ_FOREACH(run, &world->workers[i]->runs, next)
		{
			if (strcmp(run->flow, id) == 0)
				return i;
		}
	}
	return world->worker_count;
}

struct world_task *
world_task_of(struct world *world, const char *id, uint32_t step,
    uint32_t index, struct world_flow **out)
{
	struct world_flow *flow;

	HASH_FIND_STR(world->flows, id, flow);
	*out = flow;
	if (flow == NULL || step >= flow->spec.steps.steps_len ||
	    index >= flow->spec.steps.steps_val[step].count)
		return NULL;
	return &flow->tasks[flow->first[step] + index];
}

static bool
step_done(const struct world_flow *flow, uint32_t step)
{
	uint32_t i;

	for (i = 0; i < flow->spec.steps.steps_val[step].count; i++) {
		if (!flow->tasks[flow->first[step] + i].ever_done)
			return false;
	}
	return true;
}

/** Room that has shrunk counts once the owner can know of it. */
static bool
worker_is_over(const struct world *world, const struct world_worker *worker)
{
	const gb_res *most =
	    world->now < worker->shrunk_until &&
		    worker->capacity_before.cpu > worker->capacity.cpu
		? &worker->capacity_before
		: &worker->capacity;

	return worker->used.cpu > most->cpu || worker->used.mem > most->mem;
}

/** A task that has crashed as many workers as it may is started again only so
 * many times less one. */
static void
oracle_crash_budget(
    struct world *world, struct world_task *task, const struct world_run *run)
{
	if (!run->crashes || task->crashes < CRASH_WORKERS)
		return;
	if (++task->starts_after >= CRASH_STARTS)
		world_fault(world, &world->faults.budget,
		    "goes on crashing workers", run->flow);
}

/** Whether more tasks of a step run on a worker than may. */
static bool
worker_is_crowded(const struct world_worker *worker, const gb_step *step,
    const struct world_run *run)
{
	const struct world_run *other;
	uint32_t count = 0;

	TAILQ_FOREACH(other, &worker->runs, next)
	{
		count += other->step == run->step &&
			 strcmp(other->flow, run->flow) == 0;
	}
	return step->per_worker > 0 && count > step->per_worker;
}

void
world_oracle_start(struct world *world, struct world_worker *worker,
    const struct world_run *run)
{
	struct world_flow *flow;
	struct world_task *task =
	    world_task_of(world, run->flow, run->step, run->index, &flow);
	const gb_step *step;
	uint32_t i;

	if (task == NULL) {
		world_fault(
		    world, &world->faults.order, "unknown task", run->flow);
		return;
	}
	step = &flow->spec.steps.steps_val[run->step];
	if ((step->flags & GB_STEP_SPECULATIVE) == 0 &&
	    (task->running > 0 || task->done))
		world_fault(
		    world, &world->faults.twice, "started twice", run->flow);
	if (failures_of(flow, run->step, run->index, false) >=
	    flow->max_attempts)
		world_fault(
		    world, &world->faults.budget, "too many tries", run->flow);
	oracle_crash_budget(world, task, run);
	for (i = 0; i < step->after.after_len; i++) {
		if (!step_done(flow, step->after.after_val[i]))
			world_fault(world, &world->faults.order, "out of order",
			    run->flow);
	}
	if (worker_is_over(world, worker))
		world_fault(world, &world->faults.limit, "over its capacity",
		    run->flow);
	if (worker_is_crowded(worker, step, run))
		world_fault(world, &world->faults.spread,
		    "too many of its step on a worker", run->flow);
	if (!world_org_take(world, flow->spec.org, &step->res))
		world_fault(
		    world, &world->faults.quota, "over its quota", run->flow);
	task->running++;
	flow->starts++;
}

void
world_oracle_end(struct world *world, const struct world_run *run, bool lost,
    enum gb_pool_outcome outcome)
{
	struct world_flow *flow;
	struct world_task *task =
	    world_task_of(world, run->flow, run->step, run->index, &flow);

	if (task == NULL)
		return;
	task->running--;
	world_org_give(
	    world, flow->spec.org, &flow->spec.steps.steps_val[run->step].res);
	if (lost)
		return;
	if (outcome == GB_POOL_DONE) {
		task->done = true;
		task->ever_done = true;
	}
	if (outcome == GB_POOL_FAILED) {
		task->failures++;
		task->ever_failures++;
	}
	if (outcome == GB_POOL_GANG_INCOMPLETE)
		world_fault(
		    world, &world->faults.alone, "waited alone", run->flow);
}

/** An end that the owner has not taken note of is lost with the worker. */
void
world_oracle_end_lost(struct world *world, const struct world_end *end)
{
	struct world_flow *flow;
	struct world_task *task = world_task_of(
	    world, end->seen.flow, end->seen.step, end->seen.index, &flow);

	if (task == NULL)
		return;
	if (end->seen.outcome == GB_POOL_DONE && !task->noted)
		task->done = false;
	if (end->seen.outcome == GB_POOL_FAILED && task->failures > 0)
		task->failures--;
}

/** A worker that leaves after a notice has not crashed. */
void
world_oracle_crash(struct world *world, const struct world_worker *worker,
    const struct world_run *run)
{
	struct world_flow *flow;
	struct world_task *task =
	    world_task_of(world, run->flow, run->step, run->index, &flow);

	if (task != NULL && !worker->draining)
		task->crashes++;
}

/** The owner takes note of an end; one member's stands for its gang. */
void
world_oracle_end_noted(struct world *world, const struct world_end *end)
{
	struct world_flow *flow;
	struct world_task *task = world_task_of(
	    world, end->seen.flow, end->seen.step, end->seen.index, &flow);
	const gb_step *step;
	uint32_t i;

	if (task == NULL || end->seen.outcome != GB_POOL_DONE)
		return;
	task->noted = true;
	step = &flow->spec.steps.steps_val[end->seen.step];
	for (i = 0; (step->flags & GB_STEP_GANG) != 0 && i < step->count; i++)
		flow->tasks[flow->first[end->seen.step] + i].noted = true;
}
