/**
 * @file dispatch.c
 * Decides which waiting task starts next and on which worker.  Bands come in
 * the order of their priority.  Within a band the team with the lowest weighted
 * dominant share comes first; gangs come in the order of their latest start and
 * start with all their tasks or none.
 */
#include <stdlib.h>
#include <string.h>

#include "core.h"

/** Maximum number of attempts to start a task or gang in one run.  If they are
 * used up, the next tick runs dispatch again. */
#define DECISIONS_PER_RUN 4096
/** Jobs at the head of a team's queue of which one may start, so that jobs that
 * cannot start do not block those behind them. */
#define JOBS_TRIED_PER_TEAM 8
/** Capacity is reserved for a gang that has waited this long. */
#define GANG_RESERVE_AFTER (2 * GB_SEC)
/** Tasks with a run time up to this may still start while capacity is reserved
 * for a gang. */
#define BACKFILL_RUN_MAX (2 * GB_SEC)
/** Maximum number of usable workers that are compared for one preemption. */
#define PREEMPT_SAMPLE 64
/** A share of 1, as an integer. */
#define SHARE_WHOLE 1000000

/* Teams */

static struct team_queue *
team_queue_new(void)
{
	struct team_queue *tq = gb_calloc(1, sizeof(*tq));
	unsigned int band;

	for (band = 0; band < GB_BANDS; band++)
		TAILQ_INIT(&tq->jobs[band]);
	return tq;
}

void
dispatch_team_grow(struct gb_core *core, struct shard *shard)
{
	if (core->team_count > shard->team_size) {
		shard->team_size = core->team_count * 2;
		shard->teams = gb_realloc(shard->teams,
		    shard->team_size * sizeof(struct team_queue *));
	}
	while (shard->team_count < core->team_count)
		shard->teams[shard->team_count++] = team_queue_new();
}

void
dispatch_teams_free(struct shard *shard)
{
	uint32_t i;

	for (i = 0; i < shard->team_count; i++)
		free(shard->teams[i]);
	free(shard->teams);
}

void
dispatch_usage_reset(struct shard *shard)
{
	uint32_t i;

	for (i = 0; i < shard->team_count; i++) {
		shard->teams[i]->used = (gb_res){0};
		shard->teams[i]->share = 0;
	}
}

/** Share of a total that is used, in millionths. */
static int64_t
res_share(int used, int total)
{
	return total <= 0 ? 0 : (int64_t)used * SHARE_WHOLE / total;
}

void
dispatch_account(struct gb_core *core, struct shard *shard, uint32_t team,
    const gb_res *res, bool add)
{
	struct team_queue *tq = shard->teams[team];
	const gb_res *total = &shard->total;
	int64_t share;

	if (add)
		gb_res_add(&tq->used, res);
	else
		gb_res_sub(&tq->used, res);
	share = res_share(tq->used.cpu, total->cpu);
	if (res_share(tq->used.mem, total->mem) > share)
		share = res_share(tq->used.mem, total->mem);
	if (res_share(tq->used.accel, total->accel) > share)
		share = res_share(tq->used.accel, total->accel);
	tq->share = share / core->teams[team].weight;
}

/** Part of a team's quota that applies in one shard; the parts of all shards
 * add up to the quota. */
static int
quota_part(const struct gb_core *core, const struct shard *shard, int quota)
{
	int shards = (int)core->shard_count;

	return quota / shards + ((int)shard->id < quota % shards ? 1 : 0);
}

static bool
quota_allows(const struct gb_core *core, const struct shard *shard,
    const struct job *job, int tasks)
{
	const gb_res *quota = &core->teams[job->team].quota;
	const gb_res *used = &shard->teams[job->team]->used;
	const gb_res *need = &job->spec.res;

	if (quota->cpu > 0 &&
	    used->cpu + tasks * need->cpu > quota_part(core, shard, quota->cpu))
		return false;
	if (quota->mem > 0 &&
	    used->mem + tasks * need->mem > quota_part(core, shard, quota->mem))
		return false;
	return quota->accel == 0 || used->accel + tasks * need->accel <=
					quota_part(core, shard, quota->accel);
}

/* Placement of one task */

/** What the filter of a placement search needs. */
struct placement {
	struct gb_core *core;
	const struct job *job;
};

/** Whether a worker's pool and the spread of the job allow another task. */
static bool
placement_allows(void *data, uint32_t position)
{
	const struct placement *placement = data;
	const struct job *job = placement->job;
	const struct worker *w =
	    worker_at(placement->core, job->shard, position);
	uint32_t i;

	if (job->spec.pool[0] != '\0' && strcmp(job->spec.pool, w->pool) != 0)
		return false;
	if (job->spec.spread != GB_SPREAD_WORKER)
		return true;
	for (i = 0; i < w->task_count; i++) {
		if (w->tasks[i].job == job)
			return false;
	}
	return true;
}

/** Number of the job's tasks that are placed in the worker's rack. */
static uint32_t
placement_same_rack(void *data, uint32_t position)
{
	const struct placement *placement = data;
	const struct job *job = placement->job;
	uint64_t rack =
	    worker_at(placement->core, job->shard, position)->rack_id;
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < job->spec.tasks; i++) {
		struct worker *w =
		    worker_get(placement->core, job->tasks[i].worker);

		if (w != NULL && w->rack_id == rack)
			n++;
	}
	return n;
}

/** Best worker for one task of a job, or null. */
static struct worker *
placement_find(struct gb_core *core, struct shard *shard, const struct job *job)
{
	struct placement placement = {core, job};
	bool spread = job->spec.spread != GB_SPREAD_NONE;
	struct gb_filter filter = {
	    job->spec.pool[0] == '\0' && job->spec.spread != GB_SPREAD_WORKER
		? NULL
		: placement_allows,
	    spread ? placement_same_rack : NULL, &placement};

	return worker_at(core, shard,
	    gb_index_find(shard->index, &job->spec.res,
		spread ? &gb_scorer_spread : &gb_scorer_pack, &filter));
}

static bool
dc_allowed(const struct gb_core *core, const struct shard *shard,
    const struct job *job)
{
	uint32_t dc = shard->id / core->cfg.shards_per_dc;

	return job->spec.dcs == 0 || (job->spec.dcs & (1u << dc)) != 0;
}

/** Start one task of a job.  Returns false, with the reason in the job, if none
 * can start now. */
static bool
job_task_start(struct gb_core *core, struct shard *shard, struct job *job)
{
	struct worker *w;

	if (!quota_allows(core, shard, job, 1)) {
		job->reason = WAIT_QUOTA;
		return false;
	}
	if (!dc_allowed(core, shard, job)) {
		job->reason = WAIT_PLACEMENT;
		return false;
	}
	w = placement_find(core, shard, job);
	if (w == NULL) {
		job->reason = WAIT_CAPACITY;
		return false;
	}
	job->ready_count--;
	job_task_place(core, job, job->ready[job->ready_count], w);
	return true;
}

/* Gangs */

/** Start all waiting tasks of a gang, or none.  Workers are first chosen with
 * the earlier choices counted, then all choices are undone before the start. */
static bool
gang_start(struct gb_core *core, struct shard *shard, struct job *job)
{
	uint32_t count = job->ready_count;
	struct worker **chosen;
	uint32_t n;
	uint32_t i;

	job->reason = WAIT_CAPACITY;
	if (!quota_allows(core, shard, job, (int)count)) {
		job->reason = WAIT_QUOTA;
		return false;
	}
	if (!dc_allowed(core, shard, job)) {
		job->reason = WAIT_PLACEMENT;
		return false;
	}
	chosen = gb_calloc(count, sizeof(*chosen));
	for (n = 0; n < count; n++) {
		uint32_t index = job->ready[n];

		chosen[n] = placement_find(core, shard, job);
		if (chosen[n] == NULL)
			break;
		job->tasks[index].worker = chosen[n]->handle;
		worker_attach(chosen[n], job, index);
		worker_index(core, chosen[n]);
	}
	for (i = 0; i < n; i++) {
		uint32_t index = job->ready[i];

		worker_detach(chosen[i], job, index);
		job->tasks[index].worker = GB_NONE;
		worker_index(core, chosen[i]);
	}
	if (n == count) {
		job->ready_count = 0;
		for (i = 0; i < count; i++)
			job_task_place(core, job, job->ready[i], chosen[i]);
	}
	free(chosen);
	return n == count;
}

/** Reserve capacity for a gang that has waited long. */
static void
gang_reserve(struct gb_core *core, struct shard *shard, struct job *job)
{
	if (shard->reserved_gang == NULL && job->reason == WAIT_CAPACITY &&
	    core->now - job->accepted_at > GANG_RESERVE_AFTER)
		shard->reserved_gang = job;
}

/** Whether a job must wait because capacity is reserved for another gang. */
static bool
gang_reservation_blocks(const struct shard *shard, const struct job *job)
{
	return shard->reserved_gang != NULL && shard->reserved_gang != job &&
	       job->spec.band >= GB_BAND_GANG &&
	       (job->spec.run_us <= 0 || job->spec.run_us > BACKFILL_RUN_MAX);
}

/* Preemption */

/** Whether a task may be stopped for a more urgent job: it is idempotent batch
 * work and belongs to no gang. */
static bool
preempt_allowed(
    const struct job *victim, const struct task *task, const struct job *job)
{
	return victim->spec.idempotent && !victim->spec.gang &&
	       victim->spec.band > job->spec.band &&
	       victim->spec.band == GB_BAND_BATCH &&
	       task->state == TASK_RUNNING;
}

/** Number of tasks of a worker to stop so that a task of the job fits; 0 if
 * that is not possible. */
static uint32_t
preempt_count(const struct worker *w, const struct job *job)
{
	gb_res free_res = worker_free(w);
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < w->task_count; i++) {
		const struct task_ref *ref = &w->tasks[i];

		if (!preempt_allowed(
			ref->job, &ref->job->tasks[ref->index], job))
			continue;
		gb_res_add(&free_res, &ref->job->spec.res);
		n++;
		if (gb_res_fits(&job->spec.res, &free_res))
			return n;
	}
	return 0;
}

/** Stop batch tasks so that a task of a more urgent job can start, on the
 * worker of a sample where the fewest have to stop. */
static void
job_preempt(struct gb_core *core, struct shard *shard, const struct job *job)
{
	struct worker *best = NULL;
	uint32_t fewest = UINT32_MAX;
	uint32_t tried = 0;
	uint32_t at;
	uint32_t i;

	if (shard->preempting >= job->ready_count || shard->worker_count == 0)
		return;
	at = (uint32_t)(gb_random_next(&core->seed) % shard->worker_count);
	for (i = 0; i < shard->worker_count && tried < PREEMPT_SAMPLE; i++) {
		struct worker *w =
		    core->workers[shard->workers[(at + i) %
						 shard->worker_count]];
		uint32_t n;

		if (!worker_usable(w) ||
		    (job->spec.pool[0] != '\0' &&
			strcmp(job->spec.pool, w->pool) != 0))
			continue;
		tried++;
		n = preempt_count(w, job);
		if (n > 0 && n < fewest) {
			fewest = n;
			best = w;
		}
	}
	for (i = 0; best != NULL && i < best->task_count && fewest > 0; i++) {
		struct task_ref ref = best->tasks[i];

		if (!preempt_allowed(ref.job, &ref.job->tasks[ref.index], job))
			continue;
		job_task_stop(core, ref.job, ref.index);
		shard->preempting++;
		core->stats.preempted++;
		fewest--;
	}
}

/* Order */

/** Start a task of a job, or a gang; returns whether it started.  If not, try
 * to lend its tasks, to reserve capacity or to preempt. */
static bool
job_start(struct gb_core *core, struct shard *shard, struct job *job)
{
	bool started;

	if (gang_reservation_blocks(shard, job)) {
		job->reason = WAIT_CAPACITY;
		return false;
	}
	started = job->spec.gang ? gang_start(core, shard, job)
				 : job_task_start(core, shard, job);
	if (!started)
		loan_try(core, shard, job);
	if (job->ready_count == 0) {
		job_dequeue(job);
		if (shard->reserved_gang == job)
			shard->reserved_gang = NULL;
		return started;
	}
	if (!started && job->spec.gang)
		gang_reserve(core, shard, job);
	if (!started && job->reason == WAIT_CAPACITY &&
	    job->spec.band <= GB_BAND_SERVICE)
		job_preempt(core, shard, job);
	return started;
}

/** Start a task of one of a team's first jobs in a band; false if none of them
 * can start. */
static bool
team_start(struct gb_core *core, struct shard *shard, struct team_queue *tq,
    unsigned int band)
{
	struct job *job;
	struct job *next;
	unsigned int tried = 0;

	for (job = TAILQ_FIRST(&tq->jobs[band]);
	     job != NULL && tried < JOBS_TRIED_PER_TEAM; job = next) {
		next = TAILQ_NEXT(job, queue);
		if (job_start(core, shard, job))
			return true;
		tried++;
	}
	return false;
}

/** Whether team a comes before team b in a band. */
static bool
team_before(
    const struct team_queue *a, const struct team_queue *b, unsigned int band)
{
	const struct job *x = TAILQ_FIRST(&a->jobs[band]);
	const struct job *y = TAILQ_FIRST(&b->jobs[band]);

	if (band == GB_BAND_GANG && x->spec.deadline_us != y->spec.deadline_us)
		return y->spec.deadline_us == 0 ||
		       (x->spec.deadline_us != 0 &&
			   x->spec.deadline_us - x->spec.run_us <
			       y->spec.deadline_us - y->spec.run_us);
	return a->share < b->share;
}

/** Team whose turn it is in a band, without those that are blocked; or null. */
static struct team_queue *
team_next(struct shard *shard, unsigned int band, const bool *blocked)
{
	struct team_queue *best = NULL;
	uint32_t i;

	for (i = 0; i < shard->team_count; i++) {
		struct team_queue *tq = shard->teams[i];

		if (blocked[i] || TAILQ_EMPTY(&tq->jobs[band]))
			continue;
		if (best == NULL || team_before(tq, best, band))
			best = tq;
	}
	return best;
}

/** Start tasks of a band until no team can start one or the budget is spent. */
static void
band_run(struct gb_core *core, struct shard *shard, unsigned int band,
    unsigned int *budget)
{
	bool *blocked = gb_calloc(shard->team_count, sizeof(*blocked));
	struct team_queue *tq;

	while (*budget > 0 && (tq = team_next(shard, band, blocked)) != NULL) {
		(*budget)--;
		if (!team_start(core, shard, tq, band)) {
			uint32_t i;

			for (i = 0; shard->teams[i] != tq; i++)
				continue;
			blocked[i] = true;
		}
	}
	free(blocked);
}

void
dispatch_run(struct gb_core *core, struct shard *shard)
{
	unsigned int budget = DECISIONS_PER_RUN;
	unsigned int band;

	if (!gb_core_fresh(core, core->now) || core_list_stale(core))
		return;
	for (band = 0; band < GB_BANDS; band++)
		band_run(core, shard, band, &budget);
	shard->dirty = budget == 0;
}
