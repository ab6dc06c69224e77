/**
 * @file job.c
 * State of jobs and their tasks: queue, placement, reports of workers.
 *
 * An idempotent task starts as soon as it is placed; after a takeover the
 * reports of the workers show where it runs.  A non-idempotent task starts only
 * after its start has been committed to the log, so that it never starts twice.
 */
#include <stdlib.h>
#include <string.h>

#include "core.h"

/** Base and maximum of the delay before a job whose task failed is queued
 * again. */
#define RETRY_BASE (200 * GB_MSEC)
#define RETRY_MAX (60 * GB_SEC)
/** A job is removed this long after its end. */
#define ENDED_KEEP (3600 * GB_SEC)
/** The epoch is in the high bits of an attempt's number, so that an owner never
 * uses a number of an earlier owner. */
#define ATTEMPT_EPOCH_SHIFT 12

uint64_t
job_id(const char *team, const char *name)
{
	return gb_hash_pair(team, name);
}

struct job *
job_find(struct shard *shard, uint64_t id)
{
	struct job *job;

	HASH_FIND(hh, shard->jobs, &id, sizeof(id), job);
	return job;
}

/* Queue */

void
job_dequeue(struct job *job)
{
	struct team_queue *tq;

	if (!job->queued)
		return;
	tq = job->shard->teams[job->team];
	TAILQ_REMOVE(&tq->jobs[job->spec.band], job, queue);
	job->queued = false;
}

/** Latest time at which a gang can start and still meet its deadline. */
static int64_t
job_latest_start(const struct job *job)
{
	if (job->spec.deadline_us == 0)
		return INT64_MAX;
	return job->spec.deadline_us - job->spec.run_us;
}

/** Add a job to its team's queue, gangs in the order of their latest start. */
static void
job_enqueue(struct gb_core *core, struct job *job)
{
	struct job_queue *queue;
	struct job *at;

	(void)core;
	if (job->queued || job->backing_off || job->ready_count == 0 ||
	    job->restarting)
		return;
	queue = &job->shard->teams[job->team]->jobs[job->spec.band];
	job->queued = true;
	job->shard->dirty = true;
	if (job->spec.gang) {
		TAILQ_FOREACH(at, queue, queue)
		{
			if (job_latest_start(job) < job_latest_start(at)) {
				TAILQ_INSERT_BEFORE(at, job, queue);
				return;
			}
		}
	}
	TAILQ_INSERT_TAIL(queue, job, queue);
}

/** Keep a job out of the queue for a random, exponentially growing time. */
static void
job_back_off(struct gb_core *core, struct job *job, unsigned int failures)
{
	gb_time delay =
	    gb_retry_delay(&core->retry, failures, RETRY_BASE, RETRY_MAX);

	job_dequeue(job);
	if (!job->backing_off)
		TAILQ_INSERT_TAIL(&job->shard->backoff, job, backoff);
	job->backing_off = true;
	job->resume_at = core->now + delay;
}

void
job_task_ready(struct gb_core *core, struct job *job, uint32_t index)
{
	struct task *task = &job->tasks[index];

	task->state = TASK_PENDING;
	task->worker = GB_NONE;
	task->incarnation = 0;
	task->since = core->now;
	job->ready[job->ready_count++] = index;
	job_enqueue(core, job);
}

/* Creation and end of a job */

struct job *
job_new(struct gb_core *core, struct shard *shard, const gb_job_spec *spec)
{
	struct job *job = gb_calloc(1, sizeof(*job));
	uint32_t i;

	gb_xdr_copy(
	    (xdrproc_t)xdr_gb_job_spec, spec, &job->spec, sizeof(job->spec));
	job->id = spec->id;
	job->shard = shard;
	job->team = config_team_index(core, spec->team);
	job->tasks = gb_calloc(spec->tasks, sizeof(struct task));
	job->ready = gb_calloc(spec->tasks, sizeof(uint32_t));
	job->accepted_at = core->now;
	job->lend_not_before = core->now;
	TAILQ_INIT(&job->loans);
	for (i = 0; i < spec->tasks; i++)
		job->tasks[i].worker = GB_NONE;
	HASH_ADD(hh, shard->jobs, id, sizeof(job->id), job);
	if (spec->parent != 0)
		shard->loan_count++;
	return job;
}

void
job_free(struct gb_core *core, struct job *job)
{
	uint32_t i;

	for (i = 0; i < job->spec.tasks; i++) {
		struct worker *w = worker_get(core, job->tasks[i].worker);

		if (w == NULL)
			continue;
		worker_detach(w, job, i);
	}
	while (!TAILQ_EMPTY(&job->loans))
		loan_free(job, TAILQ_FIRST(&job->loans));
	job_dequeue(job);
	if (job->backing_off)
		TAILQ_REMOVE(&job->shard->backoff, job, backoff);
	if (job->ended_at != 0)
		TAILQ_REMOVE(&job->shard->ended, job, queue);
	if (job->shard->reserved_gang == job)
		job->shard->reserved_gang = NULL;
	if (job->spec.parent != 0)
		job->shard->loan_count--;
	HASH_DEL(job->shard->jobs, job);
	xdr_free((xdrproc_t)xdr_gb_job_spec, (char *)&job->spec);
	free(job->tasks);
	free(job->ready);
	free(job);
}

void
job_finish(struct gb_core *core, struct job *job)
{
	uint32_t i;

	job->outcome = GB_OUTCOME_OK;
	for (i = 0; i < job->spec.tasks; i++) {
		if (job->tasks[i].outcome > job->outcome)
			job->outcome = job->tasks[i].outcome;
	}
	job_dequeue(job);
	if (job->backing_off)
		TAILQ_REMOVE(&job->shard->backoff, job, backoff);
	job->backing_off = false;
	if (job->shard->reserved_gang == job)
		job->shard->reserved_gang = NULL;
	job->ended_at = core->now;
	TAILQ_INSERT_TAIL(&job->shard->ended, job, queue);
}

/* Tasks */

void
job_task_release(struct gb_core *core, struct job *job, uint32_t index)
{
	struct worker *w = worker_get(core, job->tasks[index].worker);

	if (w == NULL)
		return;
	worker_detach(w, job, index);
	worker_index(core, w);
	dispatch_account(core, job->shard, job->team, &job->spec.res, false);
	job->active--;
	job->shard->dirty = true;
}

void
job_task_assign(
    struct gb_core *core, struct job *job, uint32_t index, struct worker *w)
{
	job->tasks[index].worker = w->handle;
	worker_attach(w, job, index);
	worker_index(core, w);
	dispatch_account(core, job->shard, job->team, &job->spec.res, true);
	job->active++;
}

/** Stop all tasks of a gang that has lost one; when the last has stopped, the
 * whole gang starts again. */
static void
gang_restart(struct gb_core *core, struct job *job)
{
	uint32_t i;

	job->restarting = true;
	job_dequeue(job);
	for (i = 0; i < job->spec.tasks; i++)
		job_task_stop(core, job, i);
}

/** Queue a restarting gang again if none of its tasks may still run. */
static void
gang_requeue_if_stopped(struct gb_core *core, struct job *job)
{
	uint32_t i;
	uint32_t not_stopped = 0;

	if (!job->restarting)
		return;
	for (i = 0; i < job->spec.tasks; i++) {
		uint8_t state = job->tasks[i].state;

		if (state != TASK_PENDING && state != TASK_ENDED &&
		    state != TASK_ENDING)
			not_stopped++;
	}
	if (not_stopped > 0)
		return;
	job->restarting = false;
	job_enqueue(core, job);
}

void
job_task_end(struct gb_core *core, struct job *job, uint32_t index,
    enum gb_outcome outcome)
{
	struct task *task = &job->tasks[index];
	struct worker *w = worker_get(core, task->worker);
	gb_rec_task *rec;
	gb_record record;

	task->state = TASK_ENDING;
	task->outcome = (uint8_t)outcome;
	task->since = core->now;
	memset(&record, 0, sizeof(record));
	record.type = GB_REC_END;
	rec = &record.gb_record_u.end;
	rec->id.job = job->id;
	rec->id.index = index;
	rec->id.attempt = task->attempt;
	rec->worker = gb_strdup(w == NULL ? "" : w->name);
	rec->incarnation = task->incarnation;
	rec->outcome = outcome;
	log_append(core, job->shard, &record, 0);
	gang_requeue_if_stopped(core, job);
}

void
job_task_retry_or_end(
    struct gb_core *core, struct job *job, uint32_t index, bool never_started)
{
	if (job->cancelled) {
		job_task_end(core, job, index, GB_OUTCOME_CANCELLED);
	} else if (never_started || job->spec.idempotent) {
		job_task_ready(core, job, index);
		if (job->spec.gang && !job->restarting && job->active > 0)
			gang_restart(core, job);
		gang_requeue_if_stopped(core, job);
	} else {
		job_task_end(core, job, index, GB_OUTCOME_MAYBE_RUN);
	}
}

void
job_task_lost(
    struct gb_core *core, struct job *job, uint32_t index, bool never_started)
{
	struct task *task = &job->tasks[index];
	bool stopping = task->state == TASK_STOPPING;

	job_task_release(core, job, index);
	if (stopping && job->shard->preempting > 0)
		job->shard->preempting--;
	job_task_retry_or_end(core, job, index, never_started);
}

void
job_task_stop(struct gb_core *core, struct job *job, uint32_t index)
{
	struct task *task = &job->tasks[index];
	struct worker *w = worker_get(core, task->worker);

	if ((task->state != TASK_RUNNING && task->state != TASK_STARTING) ||
	    w == NULL)
		return;
	task->state = TASK_STOPPING;
	task->since = core->now;
	worker_stop(w, job, index);
}

void
job_task_place(
    struct gb_core *core, struct job *job, uint32_t index, struct worker *w)
{
	struct task *task = &job->tasks[index];
	uint32_t attempt_min =
	    (uint32_t)(job->shard->epoch << ATTEMPT_EPOCH_SHIFT) + 1;
	gb_record record;
	gb_rec_task *rec;

	task->attempt =
	    task->attempt < attempt_min ? attempt_min : task->attempt + 1;
	task->since = core->now;
	job_task_assign(core, job, index, w);
	core->stats.starts++;
	if (job->first_start == 0)
		job->first_start = core->now;
	if (job->spec.idempotent) {
		task->state = TASK_STARTING;
		worker_start(w, job, index);
		return;
	}
	task->state = TASK_COMMITTING;
	task->incarnation = w->incarnation;
	memset(&record, 0, sizeof(record));
	record.type = GB_REC_START;
	rec = &record.gb_record_u.start;
	rec->id.job = job->id;
	rec->id.index = index;
	rec->id.attempt = task->attempt;
	rec->worker = gb_strdup(w->name);
	rec->incarnation = w->incarnation;
	log_append(core, job->shard, &record, 0);
}

/* Reports of workers */

struct task *
job_task_match(struct worker *w, const gb_worker_task *held, struct job **out)
{
	struct job *job = job_find(w->shard, held->id.job);
	struct task *task;

	*out = job;
	if (job == NULL || held->id.index >= job->spec.tasks)
		return NULL;
	task = &job->tasks[held->id.index];
	/* That an attempt has stopped on this worker does not show that no
	 * later attempt runs on another. */
	if (task->state == TASK_UNCERTAIN && task->worker == GB_NONE &&
	    (held->state == GB_WORKER_TASK_RUNNING ||
		held->state == GB_WORKER_TASK_OK))
		return task;
	if (task->worker != w->handle || task->attempt != held->id.attempt ||
	    task->state == TASK_ENDED)
		return NULL;
	return task;
}

/** Count a failed attempt.  Returns true if the task has ended. */
static bool
task_failed(struct gb_core *core, struct job *job, uint32_t index)
{
	struct task *task = &job->tasks[index];

	task->failures++;
	if (!job->derived && (!job->spec.idempotent || job->cancelled ||
				 task->failures >= job->spec.max_attempts)) {
		job_task_end(core, job, index, GB_OUTCOME_FAILED);
		return true;
	}
	job_back_off(core, job, task->failures);
	return false;
}

/* A restart of the worker counts as a failed attempt.  Otherwise a task that
 * crashes its worker would be started forever, and would end the other tasks of
 * a worker each time. */
void
job_task_crashed(struct gb_core *core, struct job *job, uint32_t index)
{
	struct task *task = &job->tasks[index];
	bool stopping = task->state == TASK_STOPPING;

	if (stopping || !job->spec.idempotent) {
		job_task_lost(core, job, index, false);
		return;
	}
	job_task_release(core, job, index);
	if (!task_failed(core, job, index))
		job_task_retry_or_end(core, job, index, false);
}

/** Apply a worker's report that an attempt has ended. */
static void
task_reported_end(struct gb_core *core, struct job *job, uint32_t index,
    struct worker *w, const gb_worker_task *held)
{
	struct task *task = &job->tasks[index];
	bool stopping = task->state == TASK_STOPPING;

	job_task_release(core, job, index);
	core->stats.ends++;
	if (stopping && job->shard->preempting > 0)
		job->shard->preempting--;
	switch (held->state) {
	case GB_WORKER_TASK_OK:
		worker_outcome_record(core, w, job->id, false);
		job_task_end(core, job, index, GB_OUTCOME_OK);
		return;
	case GB_WORKER_TASK_FAILED:
		worker_outcome_record(core, w, job->id, true);
		if (task_failed(core, job, index))
			return;
		break;
	case GB_WORKER_TASK_REFUSED:
	case GB_WORKER_TASK_STOPPED:
	case GB_WORKER_TASK_RUNNING:
		break;
	}
	worker_ack(w, &held->id);
	job_task_retry_or_end(
	    core, job, index, held->state == GB_WORKER_TASK_REFUSED);
}

void
job_task_report(struct gb_core *core, struct job *job, uint32_t index,
    struct worker *w, const gb_worker_task *held)
{
	struct task *task = &job->tasks[index];

	if (task->state == TASK_ENDING)
		return;
	if (task->state == TASK_UNCERTAIN) {
		/* An earlier owner started it on this worker. */
		task->attempt = held->id.attempt;
		if (task->worker == GB_NONE)
			job_task_assign(core, job, index, w);
		task->state = TASK_RUNNING;
		task->last_report = w->reports;
	}
	if (held->state != GB_WORKER_TASK_RUNNING) {
		task_reported_end(core, job, index, w, held);
		return;
	}
	if (task->state == TASK_STARTING) {
		task->state = TASK_RUNNING;
		task->since = core->now;
	}
	if (job->cancelled || job->restarting)
		job_task_stop(core, job, index);
	/* The sync with the stop may have been lost: send it again. */
	if (task->state == TASK_STOPPING &&
	    core->now - task->since > core->cfg.sync_us) {
		task->since = core->now;
		worker_stop(w, job, index);
	}
	if (job->derived)
		service_task_reported(core, job, index, held->vers);
}

/* Periodic work */

/** Log the removal of the job that ended first, if it has been kept long
 * enough.  The job moves to the end of the list, so that its removal is not
 * logged again while the record is in flight. */
static void
job_remove_old(struct gb_core *core, struct shard *shard)
{
	struct job *job = TAILQ_FIRST(&shard->ended);
	gb_record record;

	if (job == NULL || job->ended_at == GB_NONE ||
	    core->now - job->ended_at < ENDED_KEEP)
		return;
	TAILQ_REMOVE(&shard->ended, job, queue);
	TAILQ_INSERT_TAIL(&shard->ended, job, queue);
	job->ended_at = core->now;
	memset(&record, 0, sizeof(record));
	record.type = GB_REC_JOB_REMOVED;
	record.gb_record_u.job_removed = job->id;
	log_append(core, shard, &record, 0);
}

void
job_tick(struct gb_core *core, struct shard *shard)
{
	struct job *job;
	struct job *next;

	for (job = TAILQ_FIRST(&shard->backoff); job != NULL; job = next) {
		next = TAILQ_NEXT(job, backoff);
		if (core->now < job->resume_at)
			continue;
		TAILQ_REMOVE(&shard->backoff, job, backoff);
		job->backing_off = false;
		job_enqueue(core, job);
	}
	loan_tick(core, shard);
	job_remove_old(core, shard);
}
