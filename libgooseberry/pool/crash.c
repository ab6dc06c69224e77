/**
 * @file crash.c
 * Tasks that crash the workers that start them.
 *
 * Load: a task takes its worker down within moments of its start, again and
 * again, and with it all else that runs there (eight runs on a pool that is
 * four fifths full).  Its neighbours must not be taken for it, nor whoever
 * stands on a rack that is lost; and a worker that is only cut off has not
 * crashed, though what it ran was lost with its lease.
 *
 * A worker has crashed under its runs when another lifetime answers in its
 * place and it was not about to leave.  Of these runs, those that were started
 * so short a time before that the worker was not seen alive since are blamed.
 * A task that a worker has crashed under is suspect: it starts only once that
 * is stored, on the emptiest worker, where nothing else is started until the
 * worker is seen alive after it.  So the second crash tells it from its
 * neighbours, and it is given up.
 *
 * Load: owners are killed as well, each before it has missed the worker.  What
 * a new owner finds lost, without knowing what ran there, makes it store the
 * starts of all that may have run there before it sends them, so that its own
 * successor knows of them.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "crash.h"

/** A worker that answers this much after a start has survived it: a task that
 * crashes its worker does so within some 10 ms, and busy workers are heard each
 * 0.4 s. */
#define CRASH_SOON (500 * GB_MSEC)
/** Crashes soon after a start that give a task up, if nothing else was new on
 * the worker at one of them.  With one, whoever stands on a lost rack would
 * fail. */
#define CRASH_BLAMED_MOST 2
/** The same with workers that came back only after the task's lease, and may
 * have crashed when it had been killed. */
#define CRASH_SOON_MOST 3
/** Workers that are missed within so short a time were lost together, with a
 * rack or a zone: nothing that ran there is blamed.  It is seen of a busy
 * worker within 0.6 s that it is silent. */
#define CRASH_TOGETHER (600 * GB_MSEC)
#define CRASH_TOGETHER_WORKERS 3
/** Workers that crash under a task, at whatever time and for whatever reason,
 * before it is given up: more than chance brings, and a start less than are
 * allowed, since what an owner has not stored yet is forgotten with it. */
#define CRASH_MOST 4
/** One less if so many surely crashed while they ran it, one of them soon. */
#define CRASH_SURE_LEAST 2
/** How long it is waited for a word of a worker that is away with a task:
 * workers come back after some seconds. */
#define CRASH_EVIDENCE_KEEP (10 * GB_SEC)

/** A worker that is away and may have crashed under a task. */
struct pool_unreachable {
	char worker[GB_NAME_MAX + 1]; /**< its id */
	int64_t incarnation;	      /**< that it had then, 0: unknown */
	bool begun;		      /**< it had said that it runs the task */
	bool early;		      /**< fell silent soon after that */
	bool sole_suspect; /**< and no other flow's start was as new */
	bool lapsed;	   /**< the lease was over before it was heard of */
	bool linked; /**< the worker is known, and has the task in its losses */
};

/** What is known of a task that was lost with workers. */
struct pool_crash_suspect {
	uint32_t crashes;    /**< workers that crashed under it */
	uint32_t confirmed;  /**< of these, surely while they ran it */
	uint32_t early;	     /**< soon after they had begun it */
	uint32_t attributed; /**< of these, surely while they ran it */
	bool sole_suspect;   /**< once no other flow's start was as new */
	uint32_t unreachable_count;
	struct pool_unreachable unreachable[GB_UNREACHABLE_MAX];
	gb_time keep_until; /**< what is away by then counts as crashed */
	uint64_t change;    /**< of the flow, with which this must be stored */
};

/** A start that is stored before it is sent. */
struct pool_plan {
	uint32_t worker; /**< handle */
	char worker_id[GB_NAME_MAX + 1];
	int64_t incarnation; /**< of the worker */
	uint64_t change;     /**< of the flow, with which it is stored */
	bool room;	     /**< its room is kept */
};

/** A task that was lost with a worker that is away: its next answer tells
 * whether it crashed. */
struct pool_loss {
	STAILQ_ENTRY(pool_loss) next;
	char flow[GB_NAME_MAX + 1];
	uint32_t step;
	uint32_t index;
};

/* Suspects ---------------------------------------------------------------- */

static struct pool_crash_suspect *
suspect_get(struct pool_flow *flow, uint32_t step, uint32_t index)
{
	struct pool_task *task = &flow->steps[step].tasks[index];

	if (task->suspect == NULL) {
		task->suspect = gb_calloc(1, sizeof(*task->suspect));
		flow->steps[step].suspects++;
	}
	return task->suspect;
}

/** Nothing is held against the task any more. */
static void
suspect_clear(struct pool_flow *flow, uint32_t step, uint32_t index)
{
	struct pool_task *task = &flow->steps[step].tasks[index];

	if (task->suspect == NULL || task->suspect->crashes > 0 ||
	    task->suspect->unreachable_count > 0)
		return;
	free(task->suspect);
	task->suspect = NULL;
	flow->steps[step].suspects--;
}

static struct pool_unreachable *
unreachable_find(struct pool_crash_suspect *suspect, const char *worker)
{
	uint32_t i;

	for (i = 0; suspect != NULL && i < suspect->unreachable_count; i++) {
		if (strcmp(suspect->unreachable[i].worker, worker) == 0)
			return &suspect->unreachable[i];
	}
	return NULL;
}

/** Take a worker off; false when it does not stand there. */
static bool
unreachable_remove(struct pool_crash_suspect *suspect, const char *worker,
    struct pool_unreachable *out)
{
	struct pool_unreachable *unreachable =
	    unreachable_find(suspect, worker);

	if (unreachable == NULL)
		return false;
	*out = *unreachable;
	*unreachable = suspect->unreachable[--suspect->unreachable_count];
	return true;
}

/** The next answer of the worker tells what became of the task. */
static void
unreachable_link(struct pool_flow *flow, uint32_t step, uint32_t index,
    struct pool_unreachable *unreachable, struct pool_worker *worker)
{
	struct pool_loss *loss = gb_calloc(1, sizeof(*loss));

	snprintf(loss->flow, sizeof(loss->flow), "%s", flow->spec.id);
	loss->step = step;
	loss->index = index;
	STAILQ_INSERT_TAIL(&worker->losses, loss, next);
	unreachable->linked = true;
}

/** A worker is away with a task; returns what is known of that, or null when
 * there are too many. */
static struct pool_unreachable *
unreachable_add(
    struct pool_flow *flow, uint32_t step, uint32_t index, const char *worker)
{
	struct pool_crash_suspect *suspect = suspect_get(flow, step, index);
	struct pool_unreachable *unreachable =
	    unreachable_find(suspect, worker);

	if (unreachable != NULL ||
	    suspect->unreachable_count == GB_UNREACHABLE_MAX)
		return unreachable;
	unreachable = &suspect->unreachable[suspect->unreachable_count++];
	memset(unreachable, 0, sizeof(*unreachable));
	snprintf(
	    unreachable->worker, sizeof(unreachable->worker), "%s", worker);
	return unreachable;
}

/** The same of a run, whose worker is known. */
static struct pool_unreachable *
unreachable_add_run(const struct pool_run *run)
{
	struct pool_unreachable *unreachable = unreachable_add(
	    run->flow, run->step, run->index, run->worker->entry.id);

	if (unreachable != NULL)
		unreachable->incarnation = run->worker->incarnation;
	if (unreachable != NULL && !unreachable->linked)
		unreachable_link(
		    run->flow, run->step, run->index, unreachable, run->worker);
	return unreachable;
}

/* Stored form ------------------------------------------------------------- */

void
pool_crash_load(struct gb_pool *pool, struct pool_flow *flow,
    const gb_task_crashes *stored, const int64_t *incarnations, u_int known)
{
	struct pool_crash_suspect *suspect =
	    suspect_get(flow, stored->step, stored->index);
	struct pool_unreachable *unreachable;
	u_int i;

	suspect->crashes = stored->workers;
	suspect->confirmed = stored->confirmed;
	suspect->early = stored->early;
	suspect->attributed = stored->attributed;
	suspect->sole_suspect = stored->sole_suspect;
	for (i = 0; i < stored->unreachable.unreachable_len; i++) {
		const gb_unreachable_worker *row =
		    &stored->unreachable.unreachable_val[i];

		unreachable = unreachable_add(
		    flow, stored->step, stored->index, row->worker);
		if (unreachable == NULL)
			break;
		unreachable->incarnation = i < known ? incarnations[i] : 0;
		unreachable->begun = row->begun;
		unreachable->early = row->early;
		unreachable->sole_suspect = row->sole_suspect;
		unreachable->lapsed = row->lapsed;
	}
	suspect->keep_until = pool->now + CRASH_EVIDENCE_KEEP;
}

bool
pool_crash_stored(const struct pool_task *task)
{
	return (task->suspect != NULL || task->plan != NULL) && !task->done;
}

/** A start that may have been sent stands among the workers that are away: a
 * successor finds out what became of it. */
static void
plan_fill(const struct pool_plan *plan, gb_task_crashes *out)
{
	if (plan == NULL ||
	    out->unreachable.unreachable_len == GB_UNREACHABLE_MAX)
		return;
	out->unreachable.unreachable_val[out->unreachable.unreachable_len++]
	    .worker = gb_strdup(plan->worker_id);
}

void
pool_crash_fill(const struct pool_task *task, gb_task_crashes *out)
{
	static const struct pool_crash_suspect none;
	const struct pool_crash_suspect *suspect =
	    task->suspect == NULL ? &none : task->suspect;
	uint32_t i;

	out->workers = suspect->crashes;
	out->confirmed = suspect->confirmed;
	out->early = suspect->early;
	out->attributed = suspect->attributed;
	out->sole_suspect = suspect->sole_suspect;
	out->unreachable.unreachable_val = gb_calloc(
	    suspect->unreachable_count + 1, sizeof(gb_unreachable_worker));
	for (i = 0; i < suspect->unreachable_count; i++) {
		const struct pool_unreachable *unreachable =
		    &suspect->unreachable[i];
		gb_unreachable_worker *row =
		    &out->unreachable
			 .unreachable_val[out->unreachable.unreachable_len++];

		row->worker = gb_strdup(unreachable->worker);
		row->begun = unreachable->begun;
		row->early = unreachable->early;
		row->sole_suspect = unreachable->sole_suspect;
		row->lapsed = unreachable->lapsed;
	}
	plan_fill(task->plan, out);
}

/** The lives of the workers that pool_crash_fill names, in the same order. */
void
pool_crash_fill_incarnations(const struct pool_task *task, gb_flow_state *out)
{
	const struct pool_crash_suspect *suspect = task->suspect;
	uint32_t count = suspect == NULL ? 0 : suspect->unreachable_count;
	u_int at = out->worker_incarnations.worker_incarnations_len;
	uint32_t i;

	out->worker_incarnations.worker_incarnations_val =
	    gb_realloc(out->worker_incarnations.worker_incarnations_val,
		(at + count + 1) * sizeof(int64_t));
	for (i = 0; i < count; i++)
		out->worker_incarnations.worker_incarnations_val[at++] =
		    suspect->unreachable[i].incarnation;
	if (task->plan != NULL && count < GB_UNREACHABLE_MAX)
		out->worker_incarnations.worker_incarnations_val[at++] =
		    task->plan->incarnation;
	out->worker_incarnations.worker_incarnations_len = at;
}

/* Starts that are stored first -------------------------------------------- */

void
pool_crash_unseen(struct gb_pool *pool, const struct pool_worker *worker)
{
	uint32_t i;

	if (worker->leaving || worker->fenced)
		return;
	for (i = 0; i < GB_POOL_PARTITIONS; i++) {
		if (!pool->partitions[i].reconciled)
			pool->partitions[i].lost_unseen = true;
	}
}

void
pool_crash_watch(struct gb_pool *pool, uint32_t partition)
{
	struct pool_flow *flow;

	TAILQ_FOREACH(flow, &pool->open, open_next)
	{
		if (flow->partition == partition && !flow->fresh)
			flow->watched = true;
	}
}

void
pool_crash_plan(struct gb_pool *pool, struct pool_flow *flow, uint32_t step,
    uint32_t index, struct pool_worker *worker)
{
	struct pool_plan *plan = gb_calloc(1, sizeof(*plan));

	pool_crash_plan_drop(pool, &flow->steps[step], index);
	plan->worker = worker->handle;
	plan->incarnation = worker->incarnation;
	snprintf(
	    plan->worker_id, sizeof(plan->worker_id), "%s", worker->entry.id);
	plan->room = true;
	gb_res_add(&worker->claimed, &flow->steps[step].spec->res);
	flow->steps[step].tasks[index].plan = plan;
	flow->steps[step].plans++;
	pool_flow_changed(pool, flow, true);
	plan->change = flow->change;
}

struct pool_worker *
pool_crash_plan_worker(const struct gb_pool *pool, const struct pool_task *task)
{
	return pool_worker_get(pool, task->plan->worker);
}

void
pool_crash_plans_left(
    struct gb_pool *pool, struct pool_step *step, uint32_t index)
{
	struct pool_task *task = &step->tasks[index];

	if (!task->plan->room)
		return;
	task->plan->room = false;
	gb_res_sub(
	    &pool_crash_plan_worker(pool, task)->claimed, &step->spec->res);
}

void
pool_crash_plan_drop(
    struct gb_pool *pool, struct pool_step *step, uint32_t index)
{
	if (step->tasks[index].plan == NULL)
		return;
	pool_crash_plans_left(pool, step, index);
	free(step->tasks[index].plan);
	step->tasks[index].plan = NULL;
	step->plans--;
}

uint32_t
pool_crash_planned_on(
    const struct pool_step *step, const struct pool_worker *worker)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; step->plans > 0 && i < step->spec->count; i++) {
		const struct pool_plan *plan = step->tasks[i].plan;

		count += plan != NULL && plan->worker == worker->handle &&
			 TAILQ_EMPTY(&step->tasks[i].runs);
	}
	return count;
}

void
pool_crash_plans_drop(struct gb_pool *pool, struct pool_step *step)
{
	uint32_t i;

	for (i = 0; step->plans > 0 && i < step->spec->count; i++)
		pool_crash_plan_drop(pool, step, i);
}

/* Runs that are new on their worker --------------------------------------- */

/** Whether a worker has not been seen alive since a run was started on it. */
static bool
run_is_new(const struct pool_run *run)
{
	return !run->adopted &&
	       run->started + CRASH_SOON > run->worker->clock_at;
}

/** A worker that did not answer the order may have gone before it came. */
static bool
run_begun(const struct pool_run *run)
{
	return run->confirmed != 0;
}

bool
pool_crash_on_probation(const struct pool_worker *worker)
{
	const struct pool_run *run;

	if (worker->suspect_runs == 0)
		return false;
	TAILQ_FOREACH(run, &worker->runs, of_worker)
	{
		if (run->suspect && run_is_new(run))
			return true;
	}
	return false;
}

bool
pool_crash_has_new(
    const struct pool_worker *worker, const struct pool_flow *but)
{
	const struct pool_run *run;

	TAILQ_FOREACH(run, &worker->runs, of_worker)
	{
		if (run->flow != but && run_is_new(run))
			return true;
	}
	return false;
}

/** Whether a worker was lost together with others. */
static bool
worker_lost_with_others(
    const struct gb_pool *pool, const struct pool_worker *worker)
{
	unsigned int together = 0;
	uint32_t i;

	for (i = 0; i < pool->worker_count; i++) {
		const struct pool_worker *other = pool->workers[i];

		together +=
		    other->missed != 0 &&
		    llabs(other->missed - worker->missed) <= CRASH_TOGETHER;
	}
	return together >= CRASH_TOGETHER_WORKERS;
}

/* Counting ---------------------------------------------------------------- */

static bool
suspect_over_limit(const struct pool_crash_suspect *suspect)
{
	bool confirmed =
	    suspect->confirmed >= CRASH_SURE_LEAST && suspect->early > 0;

	if (suspect->sole_suspect &&
	    (suspect->attributed >= CRASH_BLAMED_MOST ||
		suspect->early >= CRASH_SOON_MOST))
		return true;
	return suspect->crashes >= (confirmed ? CRASH_MOST - 1 : CRASH_MOST);
}

static void
suspect_count(
    struct pool_crash_suspect *suspect, const struct pool_unreachable *how)
{
	suspect->crashes++;
	suspect->confirmed += how->begun && !how->lapsed;
	suspect->early += how->early;
	suspect->attributed += how->early && !how->lapsed;
	suspect->sole_suspect =
	    suspect->sole_suspect || (how->early && how->sole_suspect);
}

/** Whether it is over the limit if all workers that are away have crashed. */
static bool
suspect_may_be_over_limit(const struct pool_crash_suspect *suspect)
{
	struct pool_crash_suspect worst = *suspect;
	uint32_t i;

	for (i = 0; i < suspect->unreachable_count; i++)
		suspect_count(&worst, &suspect->unreachable[i]);
	return suspect_over_limit(&worst);
}

static void
flow_give_up(struct gb_pool *pool, struct pool_flow *flow)
{
	pool->stats.given_up++;
	pool_flow_fail(pool, flow, "a task crashes the workers that start it");
}

/** A worker crashed under a task. */
static void
task_crashed(struct gb_pool *pool, struct pool_flow *flow, uint32_t step,
    uint32_t index, const struct pool_unreachable *how)
{
	struct pool_crash_suspect *suspect = suspect_get(flow, step, index);

	suspect_count(suspect, how);
	gb_event(pool->cfg.events, GB_EVENT_NORMAL, "task_crashed_worker",
	    "{s:s, s:I, s:I, s:I, s:I, s:b, s:b, s:b}", "flow", flow->spec.id,
	    "step", (json_int_t)step, "index", (json_int_t)index, "workers",
	    (json_int_t)suspect->crashes, "blamed",
	    (json_int_t)suspect->attributed, "soon", how->early, "alone",
	    how->sole_suspect, "lapsed", how->lapsed);
	pool_flow_changed(pool, flow, true);
	suspect->change = flow->change;
	if (suspect_over_limit(suspect))
		flow_give_up(pool, flow);
}

static struct pool_task *
task_of(const struct pool_run *run)
{
	return &run->flow->steps[run->step].tasks[run->index];
}

/** Whether what becomes of a run's task still matters. */
static bool
run_counts(const struct pool_run *run)
{
	return run->flow->status < GB_FLOW_SUCCEEDED && !task_of(run)->done;
}

void
pool_crash_worker_missed(struct gb_pool *pool, struct pool_worker *worker)
{
	const struct pool_run *run;
	struct pool_unreachable *unreachable;

	TAILQ_FOREACH(run, &worker->runs, of_worker)
	{
		if (!run_counts(run) || !run_is_new(run) || worker->leaving)
			continue;
		unreachable = unreachable_add_run(run);
		if (unreachable == NULL)
			continue;
		unreachable->begun = run_begun(run);
		unreachable->early = run_begun(run);
		unreachable->sole_suspect =
		    !pool_crash_has_new(worker, run->flow);
		task_of(run)->suspect->keep_until =
		    pool->now + CRASH_EVIDENCE_KEEP;
		pool_flow_changed(pool, run->flow, true);
		task_of(run)->suspect->change = run->flow->change;
	}
}

void
pool_crash_classify(const struct gb_pool *pool, struct pool_worker *worker)
{
	bool together = worker_lost_with_others(pool, worker);
	struct pool_run *run;

	TAILQ_FOREACH(run, &worker->runs, of_worker)
	{
		run->lost_early =
		    !together && run_begun(run) && run_is_new(run);
		run->lost_sole_suspect = !pool_crash_has_new(worker, run->flow);
	}
}

void
pool_crash_run_ended(struct gb_pool *pool, const struct pool_run *run)
{
	struct pool_unreachable how = {0};

	if (!run_counts(run) || run->worker->leaving)
		return;
	unreachable_remove(task_of(run)->suspect, run->worker->entry.id, &how);
	how.begun = run_begun(run);
	how.early = run->lost_early;
	how.sole_suspect = run->lost_sole_suspect;
	task_crashed(pool, run->flow, run->step, run->index, &how);
}

void
pool_crash_run_lapsed(struct gb_pool *pool, const struct pool_run *run)
{
	struct pool_unreachable *unreachable;

	if (!run_counts(run) || run->worker->leaving)
		return;
	unreachable = unreachable_add_run(run);
	if (unreachable != NULL) {
		unreachable->begun = run_begun(run);
		unreachable->lapsed = true;
	}
	task_of(run)->suspect->keep_until = pool->now + CRASH_EVIDENCE_KEEP;
	pool_flow_changed(pool, run->flow, false);
}

/** A worker that was away with a task has answered, as itself or as another
 * lifetime. */
static void
unreachable_resolve(struct gb_pool *pool, struct pool_flow *flow, uint32_t step,
    uint32_t index, const struct pool_worker *worker, bool crashed)
{
	struct pool_task *task = &flow->steps[step].tasks[index];
	struct pool_unreachable unreachable;

	if (!unreachable_remove(task->suspect, worker->entry.id, &unreachable))
		return;
	pool->work_changed = true;
	crashed = crashed ||
		  (unreachable.incarnation != 0 && worker->incarnation != 0 &&
		      unreachable.incarnation != worker->incarnation);
	if (!crashed || task->done) {
		suspect_clear(flow, step, index);
		pool_flow_changed(pool, flow, false);
		return;
	}
	unreachable.early =
	    unreachable.early && !worker_lost_with_others(pool, worker);
	task_crashed(pool, flow, step, index, &unreachable);
}

static void
loss_resolve(struct gb_pool *pool, const struct pool_worker *worker,
    const struct pool_loss *loss, bool crashed)
{
	struct pool_flow *flow = pool_flow_find(pool, loss->flow);

	if (flow != NULL && flow->status < GB_FLOW_SUCCEEDED &&
	    loss->step < flow->step_count &&
	    loss->index < flow->steps[loss->step].spec->count)
		unreachable_resolve(
		    pool, flow, loss->step, loss->index, worker, crashed);
}

void
pool_crash_worker_known(
    struct gb_pool *pool, struct pool_worker *worker, bool crashed)
{
	struct pool_loss *loss;

	while ((loss = STAILQ_FIRST(&worker->losses)) != NULL) {
		STAILQ_REMOVE_HEAD(&worker->losses, next);
		loss_resolve(pool, worker, loss, crashed && !worker->leaving);
		free(loss);
	}
}

void
pool_crash_worker_forget(struct pool_worker *worker)
{
	struct pool_loss *loss;

	while ((loss = STAILQ_FIRST(&worker->losses)) != NULL) {
		STAILQ_REMOVE_HEAD(&worker->losses, next);
		free(loss);
	}
}

/* Waiting ----------------------------------------------------------------- */

bool
pool_crash_held(const struct pool_flow *flow, const struct pool_task *task)
{
	const struct pool_crash_suspect *suspect = task->suspect;

	if (task->plan != NULL && flow->stored < task->plan->change)
		return true;
	if (suspect == NULL)
		return false;
	/* Not by the clock: when the wait is over, the sweep counts first. */
	return flow->stored < suspect->change ||
	       suspect_may_be_over_limit(suspect);
}

uint32_t
pool_crash_held_count(
    const struct pool_flow *flow, const struct pool_step *step)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; step->suspects + step->plans > 0 && i < step->spec->count;
	     i++) {
		const struct pool_task *task = &step->tasks[i];

		count += !task->done && TAILQ_EMPTY(&task->runs) &&
			 pool_crash_held(flow, task);
	}
	return count;
}

/** The wait is over: workers that are still away count as crashed, though
 * nothing says that the task was to blame. */
static void
task_waited(
    struct gb_pool *pool, struct pool_flow *flow, uint32_t step, uint32_t index)
{
	static const struct pool_unreachable unknown;
	const struct pool_task *task = &flow->steps[step].tasks[index];
	struct pool_crash_suspect *suspect = task->suspect;

	while (suspect != NULL && !task->done &&
	       suspect->unreachable_count > 0 &&
	       suspect->keep_until <= pool->now &&
	       flow->status < GB_FLOW_SUCCEEDED) {
		suspect->unreachable_count--;
		task_crashed(pool, flow, step, index, &unknown);
	}
}

/** What was read of a task names workers that may have become known since. */
static void
task_link(
    struct gb_pool *pool, struct pool_flow *flow, uint32_t step, uint32_t index)
{
	struct pool_crash_suspect *suspect =
	    flow->steps[step].tasks[index].suspect;
	struct pool_worker *worker;
	uint32_t i;

	for (i = suspect == NULL ? 0 : suspect->unreachable_count; i > 0; i--) {
		struct pool_unreachable *unreachable =
		    &suspect->unreachable[i - 1];

		worker = unreachable->linked
			     ? NULL
			     : pool_worker_find(pool, unreachable->worker);
		if (worker == NULL)
			continue;
		if (!worker->over) {
			unreachable_link(
			    flow, step, index, unreachable, worker);
			continue;
		}
		unreachable_resolve(pool, flow, step, index, worker, true);
		return; /* the rest with the next sweep */
	}
}

static void
task_sweep(
    struct gb_pool *pool, struct pool_flow *flow, uint32_t step, uint32_t index)
{
	const struct pool_task *task = &flow->steps[step].tasks[index];

	task_link(pool, flow, step, index);
	task_waited(pool, flow, step, index);
	/* As it was read, perhaps by another limit. */
	if (flow->status < GB_FLOW_SUCCEEDED && task->suspect != NULL &&
	    !task->done && suspect_over_limit(task->suspect))
		flow_give_up(pool, flow);
}

void
pool_crash_sweep(struct gb_pool *pool, struct pool_flow *flow)
{
	uint32_t i;
	uint32_t j;

	for (i = 0; i < flow->step_count; i++) {
		const struct pool_step *step = &flow->steps[i];

		for (j = 0; step->suspects > 0 && j < step->spec->count &&
			    flow->status < GB_FLOW_SUCCEEDED;
		     j++)
			task_sweep(pool, flow, i, j);
	}
}
