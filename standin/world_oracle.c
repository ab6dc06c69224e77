/**
 * @file world_oracle.c
 * Oracle of the platform model: follows every submitted flow as the workers run
 * it, and counts violations of the scheduler's guarantees.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world_state.h"

/** Workers that a task may crash before its further starts are limited. */
#define CRASH_WORKERS 3
/** Of the starts after these crashes, this one and later ones are violations.
 */
#define CRASH_STARTS 3

const struct world_violations *
world_violations(const struct world *world)
{
	return &world->violations;
}

void
world_violation(struct world *world, unsigned int *count, const char *what,
    const char *task)
{
	(*count)++;
	/* An incomplete gang may be due to an injected fault, so it does not
	 * replace the text of another violation. */
	if (world->violations.text[0] == '\0' ||
	    count != &world->violations.incomplete)
		snprintf(world->violations.text, sizeof(world->violations.text),
		    "%s: %s at %lld ms", what, task,
		    (long long)(world->now / GB_MSEC));
}

void
world_flow_add(
    struct world *world, const gb_flow *spec, unsigned int max_attempts)
{
	struct world_flow *flow = gb_calloc(1, sizeof(*flow));
	uint32_t i;

	if (!gb_xdr_copy(
		(xdrproc_t)xdr_gb_flow, spec, &flow->spec, sizeof(flow->spec)))
		abort(); /* valid flows can always be copied */
	flow->max_attempts = max_attempts;
	for (i = 0; i < flow->spec.steps.steps_len; i++) {
		flow->first[i] = flow->task_count;
		flow->task_count += flow->spec.steps.steps_val[i].count;
	}
	flow->tasks = gb_calloc(flow->task_count, sizeof(*flow->tasks));
	HASH_ADD_KEYPTR(
	    hh, world->flows, flow->spec.id, strlen(flow->spec.id), flow);
}

/** Count failures of a task.  Those of a gang's members are added up, since one
 * failure ends all members.  `ever` includes failures whose report was lost. */
static unsigned int
task_failures(
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

/** Whether a task of the step, or its gang, has used up its attempts. */
static bool
step_failed(const struct world_flow *flow, uint32_t step)
{
	uint32_t i;

	for (i = 0; i < flow->spec.steps.steps_val[step].count; i++) {
		if (task_failures(flow, step, i, true) >= flow->max_attempts)
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

/** Whether a worker uses more than its capacity.  A reduced capacity applies
 * once the owner can know of it. */
static bool
worker_is_overloaded(
    const struct world *world, const struct world_worker *worker)
{
	const gb_res *allowed =
	    world->now < worker->shrunk_until &&
		    worker->capacity_before.cpu > worker->capacity.cpu
		? &worker->capacity_before
		: &worker->capacity;

	return worker->used.cpu > allowed->cpu ||
	       worker->used.mem > allowed->mem;
}

/** Limit the starts of a task that has crashed CRASH_WORKERS workers. */
static void
oracle_crash_budget(
    struct world *world, struct world_task *task, const struct world_run *run)
{
	if (!run->crashes || task->crashes < CRASH_WORKERS)
		return;
	if (++task->crash_starts >= CRASH_STARTS)
		world_violation(world, &world->violations.budget,
		    "goes on crashing workers", run->flow);
}

/** Whether a worker runs more tasks of a step than the step allows. */
static bool
worker_exceeds_step_limit(const struct world_worker *worker,
    const gb_step *step, const struct world_run *run)
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
		world_violation(
		    world, &world->violations.order, "unknown task", run->flow);
		return;
	}
	step = &flow->spec.steps.steps_val[run->step];
	if ((step->flags & GB_STEP_SPECULATIVE) == 0 &&
	    (task->running > 0 || task->done))
		world_violation(world, &world->violations.twice,
		    "started twice", run->flow);
	if (task_failures(flow, run->step, run->index, false) >=
	    flow->max_attempts)
		world_violation(world, &world->violations.budget,
		    "too many tries", run->flow);
	oracle_crash_budget(world, task, run);
	for (i = 0; i < step->after.after_len; i++) {
		if (!step_done(flow, step->after.after_val[i]))
			world_violation(world, &world->violations.order,
			    "out of order", run->flow);
	}
	if (worker_is_overloaded(world, worker))
		world_violation(world, &world->violations.limit,
		    "over its capacity", run->flow);
	if (worker_exceeds_step_limit(worker, step, run))
		world_violation(world, &world->violations.spread,
		    "too many of its step on a worker", run->flow);
	if (!world_org_use(world, flow->spec.org, &step->res))
		world_violation(world, &world->violations.quota,
		    "over its quota", run->flow);
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
	world_org_release(
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
		world_violation(world, &world->violations.incomplete,
		    "waited alone", run->flow);
}

void
world_oracle_end_lost(struct world *world, const struct world_ended_run *end)
{
	struct world_flow *flow;
	struct world_task *task = world_task_of(world, end->report.flow,
	    end->report.step, end->report.index, &flow);

	if (task == NULL || (world->listed_ends_count && end->listed))
		return;
	if (end->report.outcome == GB_POOL_DONE && !task->done_acked)
		task->done = false;
	if (end->report.outcome == GB_POOL_FAILED && task->failures > 0)
		task->failures--;
}

/* A draining worker that terminates has not crashed. */
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

void
world_oracle_end_acked(struct world *world, const struct world_ended_run *end)
{
	struct world_flow *flow;
	struct world_task *task = world_task_of(world, end->report.flow,
	    end->report.step, end->report.index, &flow);
	const gb_step *step;
	uint32_t i;

	if (task == NULL || end->report.outcome != GB_POOL_DONE)
		return;
	task->done_acked = true;
	step = &flow->spec.steps.steps_val[end->report.step];
	for (i = 0; (step->flags & GB_STEP_GANG) != 0 && i < step->count; i++)
		flow->tasks[flow->first[end->report.step] + i].done_acked =
		    true;
}
