/**
 * @file crash.c
 * Tasks that crash the workers that start them.
 *
 * Problem: a task may crash its worker within moments of its start, again and
 * again, and each crash ends everything else that runs there (eight runs on a
 * pool that is four fifths full). The crash must not be attributed to other
 * tasks on the worker, nor the loss of a rack to the tasks on it. A worker that
 * is only disconnected has not crashed, although its runs are lost when its
 * lease lapses.
 *
 * A worker counts as crashed under its runs when another incarnation answers in
 * its place and the worker had not reported that it was leaving. The crash is
 * attributed to those runs that were started so shortly before it that no
 * answer shows that the worker survived their start. A task that ran on a
 * crashed worker becomes a crash suspect. It is started again only once that is
 * stored, on the emptiest worker, and nothing else is started there until the
 * worker has answered long enough after the start. The second crash therefore
 * distinguishes the task from the others, and its flow fails.
 *
 * Owners may be killed as well, before they notice that the worker does not
 * answer. A new owner that finds a worker lost without knowing what ran there
 * stores the starts of all flows that may have run there before it sends them,
 * so that its own successor knows of them.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "crash.h"

/** A worker that answers this long after a start has survived it: a task that
 * crashes its worker does so within some 10 ms, and busy workers answer every
 * 0.4 s. */
#define CRASH_EARLY_TIME (500 * GB_MSEC)
/** Early crashes attributed to a task at which its flow fails, if the task was
 * the sole suspect at one of them. A limit of one would fail every task on a
 * lost rack. */
#define CRASH_ATTRIBUTED_LIMIT 2
/** The same limit for all early crashes, including workers that came back only
 * after the lease had expired. These may have crashed after the task was
 * killed. */
#define CRASH_EARLY_LIMIT 3
/** Workers that stop answering within this time of each other, if there are at
 * least so many, were lost together, with a rack or a data centre, and the loss
 * is attributed to no task. A missing answer of a busy worker is noticed within
 * 0.6 s. */
#define CRASH_GROUP_TIME (600 * GB_MSEC)
#define CRASH_GROUP_WORKERS_MIN 3
/** Crashes of workers under a task, at any time and for any reason, at which
 * its flow fails. It is more than happen by chance. It is one less than the
 * five starts that such a task is allowed, because a crash that a lost owner
 * had not stored is not counted. */
#define CRASH_LIMIT 4
/** The limit is one lower if at least this many crashes are confirmed and one
 * of them was early. */
#define CRASH_CONFIRMED_MIN 2
/** How long to wait for the answer of an unreachable worker that may still run
 * a task: workers come back after some seconds. */
#define CRASH_EVIDENCE_TIMEOUT (10 * GB_SEC)

/** An unreachable worker that may have crashed under a task. */
struct pool_unreachable {
	char worker[GB_NAME_MAX + 1]; /**< id of the worker */
	int64_t incarnation; /**< incarnation that ran the task, 0: unknown */
	bool begun;	     /**< the worker confirmed the start of the task */
	bool early;	     /**< stopped answering soon after the start */
	bool sole_suspect;   /**< and had no new run of another flow */
	bool lapsed;	     /**< the lease expired before it answered */
	bool linked; /**< the task is in the list of losses of the worker */
};

/** Crashes of workers under a task, and workers that may have crashed. */
struct pool_crash_suspect {
	uint32_t crashes;    /**< of workers that may have run it */
	uint32_t confirmed;  /**< of these, those certainly during its run */
	uint32_t early;	     /**< of all crashes, those soon after its start */
	uint32_t attributed; /**< early ones certainly during its run */
	bool sole_suspect;   /**< at one early crash no other flow had a new run
				there */
	uint32_t unreachable_count;
	struct pool_unreachable unreachable[GB_UNREACHABLE_MAX];
	/** Workers that are still unreachable then count as crashed. */
	gb_time evidence_deadline;
	uint64_t change; /**< change of the flow that stores this */
};

/** A start that is stored before it is sent. */
struct pool_plan {
	uint32_t worker; /**< handle of the worker */
	char worker_id[GB_NAME_MAX + 1];
	int64_t incarnation;	/**< incarnation of the worker */
	uint64_t change;	/**< change of the flow that stores the start */
	bool claimed_on_worker; /**< its capacity is claimed on the worker */
};

/** A task that was lost with an unreachable worker. The next answer of the
 * worker shows whether it crashed. */
struct pool_loss {
	STAILQ_ENTRY(pool_loss) next;
	char flow[GB_NAME_MAX + 1];
	uint32_t step;
	uint32_t index;
};

/* Suspects ---------------------------------------------------------------- */

/** Returns the record of a task, and creates it if there is none. */
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

/** Frees the record of a task that has no crashes and no unreachable
 * workers. */
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

/** Removes a worker from the record and copies it to `out`. Returns false if it
 * is not in the record. */
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

/** Adds the task to the losses of the worker, whose next answer shows whether
 * it crashed. */
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

/** Records that a worker is unreachable and may still run a task. Returns the
 * record, or null if there are too many. */
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

/** The same for a run, whose worker is known to this owner. */
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
	suspect->evidence_deadline = pool->now + CRASH_EVIDENCE_TIMEOUT;
}

bool
pool_crash_needs_store(const struct pool_task *task)
{
	return (task->suspect != NULL || task->plan != NULL) && !task->done;
}

/** Stores a start that may have been sent as an unreachable worker, so that a
 * successor finds out whether the worker crashed. */
static void
plan_fill_unreachable(const struct pool_plan *plan, gb_task_crashes *out)
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
	plan_fill_unreachable(task->plan, out);
}

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

/* Planned starts ---------------------------------------------------------- */

void
pool_crash_mark_unknown_loss(
    struct gb_pool *pool, const struct pool_worker *worker)
{
	uint32_t i;

	if (worker->leaving || worker->fenced)
		return;
	for (i = 0; i < GB_POOL_PARTITIONS; i++) {
		if (!pool->partitions[i].reconciled)
			pool->partitions[i].has_unknown_losses = true;
	}
}

void
pool_crash_plan_starts(struct gb_pool *pool, uint32_t partition)
{
	struct pool_flow *flow;

	TAILQ_FOREACH(flow, &pool->open, open_next)
	{
		if (flow->partition == partition && !flow->not_started_before)
			flow->plan_starts = true;
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
	plan->claimed_on_worker = true;
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
pool_crash_plan_release(
    struct gb_pool *pool, struct pool_step *step, uint32_t index)
{
	struct pool_task *task = &step->tasks[index];

	if (!task->plan->claimed_on_worker)
		return;
	task->plan->claimed_on_worker = false;
	gb_res_sub(
	    &pool_crash_plan_worker(pool, task)->claimed, &step->spec->res);
}

void
pool_crash_plan_drop(
    struct gb_pool *pool, struct pool_step *step, uint32_t index)
{
	if (step->tasks[index].plan == NULL)
		return;
	pool_crash_plan_release(pool, step, index);
	free(step->tasks[index].plan);
	step->tasks[index].plan = NULL;
	step->plans--;
}

uint32_t
pool_crash_planned_count(
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

/* New runs ---------------------------------------------------------------- */

/** Whether the worker has not yet answered long enough after the start of the
 * run. Runs of earlier owners are never new. */
static bool
run_is_new(const struct pool_run *run)
{
	return !run->adopted &&
	       run->started + CRASH_EARLY_TIME > run->worker->clock_at;
}

/** Whether the worker confirmed the start. A worker that did not answer the
 * order may have terminated before it arrived. */
static bool
run_is_confirmed(const struct pool_run *run)
{
	return run->confirmed != 0;
}

bool
pool_crash_has_new_suspect(const struct pool_worker *worker)
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
pool_crash_has_new_run(
    const struct pool_worker *worker, const struct pool_flow *except)
{
	const struct pool_run *run;

	TAILQ_FOREACH(run, &worker->runs, of_worker)
	{
		if (run->flow != except && run_is_new(run))
			return true;
	}
	return false;
}

/** Whether a worker was lost together with others. */
static bool
worker_lost_with_others(
    const struct gb_pool *pool, const struct pool_worker *worker)
{
	unsigned int lost_together = 0;
	uint32_t i;

	for (i = 0; i < pool->worker_count; i++) {
		const struct pool_worker *other = pool->workers[i];

		lost_together +=
		    other->first_missed_at != 0 &&
		    llabs(other->first_missed_at - worker->first_missed_at) <=
			CRASH_GROUP_TIME;
	}
	return lost_together >= CRASH_GROUP_WORKERS_MIN;
}

/* Crash counts ------------------------------------------------------------ */

static bool
suspect_over_limit(const struct pool_crash_suspect *suspect)
{
	bool confirmed =
	    suspect->confirmed >= CRASH_CONFIRMED_MIN && suspect->early > 0;

	if (suspect->sole_suspect &&
	    (suspect->attributed >= CRASH_ATTRIBUTED_LIMIT ||
		suspect->early >= CRASH_EARLY_LIMIT))
		return true;
	return suspect->crashes >= (confirmed ? CRASH_LIMIT - 1 : CRASH_LIMIT);
}

static void
suspect_count_crash(
    struct pool_crash_suspect *suspect, const struct pool_unreachable *evidence)
{
	suspect->crashes++;
	suspect->confirmed += evidence->begun && !evidence->lapsed;
	suspect->early += evidence->early;
	suspect->attributed += evidence->early && !evidence->lapsed;
	suspect->sole_suspect = suspect->sole_suspect ||
				(evidence->early && evidence->sole_suspect);
}

/** Whether the task is over the limit if all unreachable workers have
 * crashed. */
static bool
suspect_may_be_over_limit(const struct pool_crash_suspect *suspect)
{
	struct pool_crash_suspect worst_case = *suspect;
	uint32_t i;

	for (i = 0; i < suspect->unreachable_count; i++)
		suspect_count_crash(&worst_case, &suspect->unreachable[i]);
	return suspect_over_limit(&worst_case);
}

static void
flow_fail_crashing(struct gb_pool *pool, struct pool_flow *flow)
{
	pool->stats.given_up++;
	pool_flow_fail(pool, flow, "a task crashes the workers that start it");
}

/** Counts a crash of a worker under a task, and fails the flow if the task is
 * over the limit. */
static void
task_crashed(struct gb_pool *pool, struct pool_flow *flow, uint32_t step,
    uint32_t index, const struct pool_unreachable *evidence)
{
	struct pool_crash_suspect *suspect = suspect_get(flow, step, index);

	suspect_count_crash(suspect, evidence);
	gb_event(pool->cfg.events, GB_EVENT_NORMAL, "task_crashed_worker",
	    "{s:s, s:I, s:I, s:I, s:I, s:b, s:b, s:b}", "flow", flow->spec.id,
	    "step", (json_int_t)step, "index", (json_int_t)index, "workers",
	    (json_int_t)suspect->crashes, "blamed",
	    (json_int_t)suspect->attributed, "soon", evidence->early, "alone",
	    evidence->sole_suspect, "lapsed", evidence->lapsed);
	pool_flow_changed(pool, flow, true);
	suspect->change = flow->change;
	if (suspect_over_limit(suspect))
		flow_fail_crashing(pool, flow);
}

static struct pool_task *
run_task(const struct pool_run *run)
{
	return &run->flow->steps[run->step].tasks[run->index];
}

/** Whether crashes under a run still count: its flow and its task are not
 * finished. */
static bool
run_is_relevant(const struct pool_run *run)
{
	return run->flow->status < GB_FLOW_SUCCEEDED && !run_task(run)->done;
}

void
pool_crash_worker_missed(struct gb_pool *pool, struct pool_worker *worker)
{
	const struct pool_run *run;
	struct pool_unreachable *unreachable;

	TAILQ_FOREACH(run, &worker->runs, of_worker)
	{
		if (!run_is_relevant(run) || !run_is_new(run) ||
		    worker->leaving)
			continue;
		unreachable = unreachable_add_run(run);
		if (unreachable == NULL)
			continue;
		unreachable->begun = run_is_confirmed(run);
		unreachable->early = run_is_confirmed(run);
		unreachable->sole_suspect =
		    !pool_crash_has_new_run(worker, run->flow);
		run_task(run)->suspect->evidence_deadline =
		    pool->now + CRASH_EVIDENCE_TIMEOUT;
		pool_flow_changed(pool, run->flow, true);
		run_task(run)->suspect->change = run->flow->change;
	}
}

void
pool_crash_classify(const struct gb_pool *pool, struct pool_worker *worker)
{
	bool lost_together = worker_lost_with_others(pool, worker);
	struct pool_run *run;

	TAILQ_FOREACH(run, &worker->runs, of_worker)
	{
		run->lost_early =
		    !lost_together && run_is_confirmed(run) && run_is_new(run);
		run->lost_sole_suspect =
		    !pool_crash_has_new_run(worker, run->flow);
	}
}

void
pool_crash_run_ended(struct gb_pool *pool, const struct pool_run *run)
{
	struct pool_unreachable evidence = {0};

	if (!run_is_relevant(run) || run->worker->leaving)
		return;
	unreachable_remove(
	    run_task(run)->suspect, run->worker->entry.id, &evidence);
	evidence.begun = run_is_confirmed(run);
	evidence.early = run->lost_early;
	evidence.sole_suspect = run->lost_sole_suspect;
	task_crashed(pool, run->flow, run->step, run->index, &evidence);
}

void
pool_crash_run_lapsed(struct gb_pool *pool, const struct pool_run *run)
{
	struct pool_unreachable *unreachable;

	if (!run_is_relevant(run) || run->worker->leaving)
		return;
	unreachable = unreachable_add_run(run);
	if (unreachable != NULL) {
		unreachable->begun = run_is_confirmed(run);
		unreachable->lapsed = true;
	}
	run_task(run)->suspect->evidence_deadline =
	    pool->now + CRASH_EVIDENCE_TIMEOUT;
	pool_flow_changed(pool, run->flow, false);
}

/** Handles that an unreachable worker has answered, as the same incarnation or
 * as another, and counts a crash of it under the task if there was one. */
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
pool_crash_losses_resolve(
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
pool_crash_losses_drop(struct pool_worker *worker)
{
	struct pool_loss *loss;

	while ((loss = STAILQ_FIRST(&worker->losses)) != NULL) {
		STAILQ_REMOVE_HEAD(&worker->losses, next);
		free(loss);
	}
}

/* Blocked starts ---------------------------------------------------------- */

bool
pool_crash_start_blocked(
    const struct pool_flow *flow, const struct pool_task *task)
{
	const struct pool_crash_suspect *suspect = task->suspect;

	if (task->plan != NULL && flow->stored < task->plan->change)
		return true;
	if (suspect == NULL)
		return false;
	/* The deadline is not checked here: the task stays blocked until the
	 * sweep has counted the workers that are unreachable at that time. */
	return flow->stored < suspect->change ||
	       suspect_may_be_over_limit(suspect);
}

/** Counts workers that are still unreachable at the deadline as crashed,
 * although nothing shows that the task caused it. */
static void
task_count_unreachable(
    struct gb_pool *pool, struct pool_flow *flow, uint32_t step, uint32_t index)
{
	static const struct pool_unreachable unknown;
	const struct pool_task *task = &flow->steps[step].tasks[index];
	struct pool_crash_suspect *suspect = task->suspect;

	while (suspect != NULL && !task->done &&
	       suspect->unreachable_count > 0 &&
	       suspect->evidence_deadline <= pool->now &&
	       flow->status < GB_FLOW_SUCCEEDED) {
		suspect->unreachable_count--;
		task_crashed(pool, flow, step, index, &unknown);
	}
}

/** Links the unreachable workers that were read from the store with workers
 * that have become known since. */
static void
task_link_workers(
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
		if (!worker->ended) {
			unreachable_link(
			    flow, step, index, unreachable, worker);
			continue;
		}
		unreachable_resolve(pool, flow, step, index, worker, true);
		return; /* the next sweep handles the rest */
	}
}

static void
task_sweep(
    struct gb_pool *pool, struct pool_flow *flow, uint32_t step, uint32_t index)
{
	const struct pool_task *task = &flow->steps[step].tasks[index];

	task_link_workers(pool, flow, step, index);
	task_count_unreachable(pool, flow, step, index);
	/* What was read from the store may be over the limit: an owner of
	 * another version may have had a higher one. */
	if (flow->status < GB_FLOW_SUCCEEDED && task->suspect != NULL &&
	    !task->done && suspect_over_limit(task->suspect))
		flow_fail_crashing(pool, flow);
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
