/**
 * @file job.c
 * Jobs and their tasks: what is accepted, what runs where, what has ended.
 *
 * An idempotent task starts as soon as it is placed, and where it runs is
 * learned from the workers after a takeover.  A non-idempotent task starts
 * only after its start is in the log, so that it is never started twice.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "core.h"

#define RETRY_BASE (200 * GB_MSEC)
#define RETRY_MOST (60 * GB_SEC)
#define ENDED_KEEP (3600 * GB_SEC)
#define ENDED_KEEP_COUNT 10000
#define TASKS_MAX 100000
#define COMMAND_LIMIT (30 * GB_SEC)
#define STORE_RETRY_MS 1000
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

/** Latest moment at which a gang may start and still end in time. */
static int64_t
job_latest_start(const struct job *job)
{
	if (job->spec.deadline_us == 0)
		return INT64_MAX;
	return job->spec.deadline_us - job->spec.run_us;
}

void
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

static void
job_back_off(struct gb_core *core, struct job *job, unsigned int failures)
{
	gb_time delay =
	    gb_retry_delay(&core->retry, failures, RETRY_BASE, RETRY_MOST);

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

/* Life of a job */

struct job *
job_new(struct gb_core *core, struct shard *shard, const gb_job_spec *spec)
{
	struct job *job = gb_calloc(1, sizeof(*job));
	uint32_t i;

	gb_xdr_copy(
	    (xdrproc_t)xdr_gb_job_spec, spec, &job->spec, sizeof(job->spec));
	job->id = spec->id;
	job->shard = shard;
	job->team = config_team(core, spec->team);
	job->tasks = gb_calloc(spec->tasks, sizeof(struct task));
	job->ready = gb_calloc(spec->tasks, sizeof(uint32_t));
	job->accepted_at = core->now;
	job->lend_at = core->now;
	TAILQ_INIT(&job->loans);
	for (i = 0; i < spec->tasks; i++)
		job->tasks[i].worker = GB_NONE;
	HASH_ADD(hh, shard->jobs, id, sizeof(job->id), job);
	if (spec->parent != 0)
		shard->lending++;
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
	if (job->shard->holder == job)
		job->shard->holder = NULL;
	if (job->spec.parent != 0)
		job->shard->lending--;
	HASH_DEL(job->shard->jobs, job);
	xdr_free((xdrproc_t)xdr_gb_job_spec, (char *)&job->spec);
	free(job->tasks);
	free(job->ready);
	free(job);
}

static void
job_ended(struct gb_core *core, struct job *job)
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
	if (job->shard->holder == job)
		job->shard->holder = NULL;
	job->ended_at = core->now;
	TAILQ_INSERT_TAIL(&job->shard->ended, job, queue);
}

/* Tasks */

/** Stop counting a task's resources against its worker and team. */
static void
task_release(struct gb_core *core, struct job *job, uint32_t index)
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

static void
task_hold(
    struct gb_core *core, struct job *job, uint32_t index, struct worker *w)
{
	job->tasks[index].worker = w->handle;
	worker_attach(w, job, index);
	worker_index(core, w);
	dispatch_account(core, job->shard, job->team, &job->spec.res, true);
	job->active++;
}

/** A gang whose part is lost starts anew as a whole, once all has stopped. */
static void
gang_restart(struct gb_core *core, struct job *job)
{
	uint32_t i;

	job->restarting = true;
	job_dequeue(job);
	for (i = 0; i < job->spec.tasks; i++)
		job_stop_task(core, job, i);
}

static void
gang_settle(struct gb_core *core, struct job *job)
{
	uint32_t i;
	uint32_t still = 0;

	if (!job->restarting)
		return;
	for (i = 0; i < job->spec.tasks; i++) {
		uint8_t state = job->tasks[i].state;

		if (state != TASK_PENDING && state != TASK_ENDED &&
		    state != TASK_ENDING)
			still++;
	}
	if (still > 0)
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
	gang_settle(core, job);
}

/** A task may start anew, or must end because nothing may run it again. */
static void
task_again(
    struct gb_core *core, struct job *job, uint32_t index, bool never_started)
{
	if (job->cancelled) {
		job_task_end(core, job, index, GB_OUTCOME_CANCELLED);
	} else if (never_started || job->spec.idempotent) {
		job_task_ready(core, job, index);
		if (job->spec.gang && !job->restarting && job->active > 0)
			gang_restart(core, job);
		gang_settle(core, job);
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

	task_release(core, job, index);
	if (stopping && job->shard->preempting > 0)
		job->shard->preempting--;
	task_again(core, job, index, never_started);
}

void
job_stop_task(struct gb_core *core, struct job *job, uint32_t index)
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
job_place(
    struct gb_core *core, struct job *job, uint32_t index, struct worker *w)
{
	struct task *task = &job->tasks[index];
	uint32_t least =
	    (uint32_t)(job->shard->epoch << ATTEMPT_EPOCH_SHIFT) + 1;
	gb_record record;
	gb_rec_task *rec;

	task->attempt = task->attempt < least ? least : task->attempt + 1;
	task->since = core->now;
	task_hold(core, job, index, w);
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
job_task_match(struct worker *w, const gb_held *held, struct job **out)
{
	struct job *job = job_find(w->shard, held->id.job);
	struct task *task;

	*out = job;
	if (job == NULL || held->id.index >= job->spec.tasks)
		return NULL;
	task = &job->tasks[held->id.index];
	/* An attempt that has stopped here says nothing of a later one that
	 * may run elsewhere. */
	if (task->state == TASK_UNSURE && task->worker == GB_NONE &&
	    (held->state == GB_HELD_RUNNING || held->state == GB_HELD_OK))
		return task;
	if (task->worker != w->handle || task->attempt != held->id.attempt ||
	    task->state == TASK_ENDED)
		return NULL;
	return task;
}

static void
task_reported_end(struct gb_core *core, struct job *job, uint32_t index,
    struct worker *w, const gb_held *held)
{
	struct task *task = &job->tasks[index];
	bool stopping = task->state == TASK_STOPPING;

	task_release(core, job, index);
	core->stats.ends++;
	if (stopping && job->shard->preempting > 0)
		job->shard->preempting--;
	switch (held->state) {
	case GB_HELD_OK:
		worker_blame(core, w, job->id, false);
		job_task_end(core, job, index, GB_OUTCOME_OK);
		return;
	case GB_HELD_FAILED:
		worker_blame(core, w, job->id, true);
		task->failures++;
		if (!job->derived &&
		    (!job->spec.idempotent || job->cancelled ||
			task->failures >= job->spec.max_attempts)) {
			job_task_end(core, job, index, GB_OUTCOME_FAILED);
			return;
		}
		job_back_off(core, job, task->failures);
		break;
	case GB_HELD_REFUSED:
	case GB_HELD_STOPPED:
	case GB_HELD_RUNNING:
		break;
	}
	worker_ack(w, &held->id);
	task_again(core, job, index, held->state == GB_HELD_REFUSED);
}

/** Replace the tasks of an older document one after the other. */
static void
service_roll(
    struct gb_core *core, struct job *job, uint32_t index, uint64_t vers)
{
	if (job->rolling == index + 1 && vers == job->spec.vers)
		job->rolling = 0;
	if (vers == job->spec.vers || job->rolling != 0 || job->ready_count > 0)
		return;
	job->rolling = index + 1;
	job_stop_task(core, job, index);
}

void
job_task_report(struct gb_core *core, struct job *job, uint32_t index,
    struct worker *w, const gb_held *held)
{
	struct task *task = &job->tasks[index];

	if (task->state == TASK_ENDING)
		return;
	if (task->state == TASK_UNSURE) {
		task->attempt = held->id.attempt;
		if (task->worker == GB_NONE)
			task_hold(core, job, index, w);
		task->state = TASK_RUNNING;
		task->seen = w->reports;
	}
	if (held->state != GB_HELD_RUNNING) {
		task_reported_end(core, job, index, w, held);
		return;
	}
	if (task->state == TASK_STARTING) {
		task->state = TASK_RUNNING;
		task->since = core->now;
	}
	if (job->cancelled || job->restarting)
		job_stop_task(core, job, index);
	if (task->state == TASK_STOPPING &&
	    core->now - task->since > core->cfg.sync_us) {
		task->since = core->now;
		worker_stop(w, job, index);
	}
	if (job->derived)
		service_roll(core, job, index, held->vers);
}

/* Records */

static void
commit_job(struct gb_core *core, struct shard *shard, const gb_job_spec *spec,
    bool recovering)
{
	struct job *job;
	uint32_t i;

	if (job_find(shard, spec->id) != NULL)
		return;
	job = job_new(core, shard, spec);
	for (i = 0; i < spec->tasks; i++) {
		if (!recovering)
			job_task_ready(core, job, i);
		else if (spec->idempotent)
			job->tasks[i].state = TASK_UNSURE;
	}
}

/** Cancelling costs each task that waits a record, and each that runs a
 * stop. */
static void
commit_cancel(
    struct gb_core *core, struct shard *shard, uint64_t id, bool recovering)
{
	struct job *job = job_find(shard, id);
	uint32_t i;

	if (job == NULL || job->cancelled || job->ended_at != 0)
		return;
	job->cancelled = true;
	if (recovering)
		return;
	job_dequeue(job);
	job->ready_count = 0;
	for (i = 0; i < job->spec.tasks; i++) {
		if (job->tasks[i].state == TASK_PENDING)
			job_task_end(core, job, i, GB_OUTCOME_CANCELLED);
		else
			job_stop_task(core, job, i);
	}
}

static void
commit_start(struct gb_core *core, struct shard *shard, const gb_rec_task *rec,
    bool recovering)
{
	struct job *job = job_find(shard, rec->id.job);
	struct worker *w;
	struct task *task;

	if (job == NULL || rec->id.index >= job->spec.tasks)
		return;
	task = &job->tasks[rec->id.index];
	HASH_FIND_STR(core->workers_by_name, rec->worker, w);
	if (recovering) {
		if (task->worker != GB_NONE)
			task_release(core, job, rec->id.index);
		task->state = TASK_UNSURE;
		task->attempt = rec->id.attempt;
		task->incarnation = rec->incarnation;
		task->worker = GB_NONE;
		if (w != NULL)
			task_hold(core, job, rec->id.index, w);
		return;
	}
	if (task->state != TASK_COMMITTING ||
	    task->attempt != rec->id.attempt || w == NULL)
		return;
	if (!worker_usable(w) || job->cancelled ||
	    w->incarnation != rec->incarnation) {
		job_task_lost(core, job, rec->id.index, true);
		return;
	}
	task->state = TASK_STARTING;
	worker_start(w, job, rec->id.index);
}

static void
commit_end(struct gb_core *core, struct shard *shard, const gb_rec_task *rec,
    bool recovering)
{
	struct job *job = job_find(shard, rec->id.job);
	struct worker *w;
	struct task *task;

	if (job == NULL || rec->id.index >= job->spec.tasks)
		return;
	task = &job->tasks[rec->id.index];
	if (task->state == TASK_ENDED)
		return;
	w = worker_get(core, task->worker);
	if (recovering && w != NULL)
		task_release(core, job, rec->id.index);
	else if (w != NULL && w->evidence == EVIDENCE_FENCED)
		worker_ack(w, &rec->id);
	if (task->state == TASK_LENT)
		loan_task_ended(core, job, rec->id.index);
	task->state = TASK_ENDED;
	task->outcome = (uint8_t)rec->outcome;
	task->worker = GB_NONE;
	job->ended++;
	if (job->ended == job->spec.tasks && job->ended_at == 0)
		job_ended(core, job);
}

void
job_commit(struct gb_core *core, struct shard *shard, const gb_record *record,
    bool recovering)
{
	struct job *job;

	switch (record->type) {
	case GB_REC_JOB:
		commit_job(core, shard, &record->gb_record_u.job, recovering);
		break;
	case GB_REC_CANCEL:
		commit_cancel(
		    core, shard, record->gb_record_u.cancel, recovering);
		break;
	case GB_REC_START:
		commit_start(
		    core, shard, &record->gb_record_u.start, recovering);
		break;
	case GB_REC_END:
		commit_end(core, shard, &record->gb_record_u.end, recovering);
		break;
	case GB_REC_WORKER:
		worker_durable(core, shard, &record->gb_record_u.worker);
		break;
	case GB_REC_WORKER_GONE:
		worker_gone_committed(core, shard, record->gb_record_u.gone);
		break;
	case GB_REC_LEND:
		loan_commit(core, shard, &record->gb_record_u.lend);
		break;
	case GB_REC_UNLEND:
		loan_return_commit(core, shard, &record->gb_record_u.unlend);
		break;
	case GB_REC_FORGET:
		job = job_find(shard, record->gb_record_u.forget);
		if (job != NULL)
			job_free(core, job);
		break;
	}
}

/* Takeover */

void
job_recovered(struct gb_core *core, struct shard *shard)
{
	struct job *job;
	struct job *next;
	uint32_t i;

	HASH_ITER(hh, shard->jobs, job, next)
	{
		for (i = 0; i < job->spec.tasks; i++) {
			struct task *task = &job->tasks[i];
			struct worker *w = worker_get(core, task->worker);

			if (task->state == TASK_PENDING && job->cancelled)
				job_task_end(
				    core, job, i, GB_OUTCOME_CANCELLED);
			else if (task->state == TASK_PENDING)
				job_task_ready(core, job, i);
			else if (task->state == TASK_UNSURE && w != NULL &&
				 w->evidence == EVIDENCE_GONE)
				job_task_lost(core, job, i, false);
		}
	}
}

/** Whether no worker of the shard can still hold a task unseen. */
static bool
shard_settled(struct gb_core *core, const struct shard *shard)
{
	uint32_t i;

	for (i = 0; i < shard->worker_count; i++) {
		if (core->workers[shard->workers[i]]->evidence ==
		    EVIDENCE_UNKNOWN)
			return false;
	}
	return true;
}

void
job_settle(struct gb_core *core, struct shard *shard)
{
	struct job *job;
	struct job *next;
	uint32_t i;

	if (shard->settled || !shard_settled(core, shard))
		return;
	shard->settled = true;
	HASH_ITER(hh, shard->jobs, job, next)
	{
		for (i = 0; i < job->spec.tasks; i++) {
			if (job->tasks[i].state == TASK_UNSURE &&
			    job->tasks[i].worker == GB_NONE)
				task_again(core, job, i, job->spec.idempotent);
		}
	}
}

/* Time */

static void
job_forget_old(struct gb_core *core, struct shard *shard)
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
	record.type = GB_REC_FORGET;
	record.gb_record_u.forget = job->id;
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
	job_forget_old(core, shard);
}

/* Replicas of services */

/** Part of a service's replicas that one shard keeps. */
static uint32_t
service_share(
    const struct gb_core *core, const struct gb_doc *doc, uint32_t shard)
{
	uint32_t allowed = 0;
	uint32_t place = 0;
	uint32_t i;

	for (i = 0; i < core->shard_count; i++) {
		uint32_t dc = i / core->cfg.shards_per_dc;

		if (doc->dcs != 0 && (doc->dcs & (1u << dc)) == 0)
			continue;
		if (i == shard)
			place = allowed + 1;
		allowed++;
	}
	if (place == 0)
		return 0;
	return doc->replicas / allowed +
	       (place <= doc->replicas % allowed ? 1 : 0);
}

/** The replicas that one shard keeps are a job of their own. */
static void
service_spec(
    const struct gb_doc *doc, uint32_t shard, uint32_t tasks, gb_job_spec *spec)
{
	memset(spec, 0, sizeof(*spec));
	spec->team = (char *)(uintptr_t)doc->team;
	spec->name = (char *)(uintptr_t)doc->service;
	spec->service = (char *)(uintptr_t)doc->service;
	spec->pool = (char *)(uintptr_t)doc->pool;
	spec->band = doc->band;
	spec->idempotent = true;
	spec->tasks = tasks;
	spec->max_attempts = UINT32_MAX;
	spec->res = doc->res;
	spec->spread = doc->spread;
	spec->vers = doc->vers;
	spec->id = gb_hash_pair(doc->service, doc->team) + shard;
}

/** Grow or shrink a service's tasks to what its document declares. */
static void
service_resize(struct gb_core *core, struct shard *shard, struct job *job,
    const gb_job_spec *spec)
{
	uint32_t old = job->spec.tasks;
	uint32_t i;

	(void)shard;
	if (spec->tasks > old) {
		job->tasks =
		    gb_realloc(job->tasks, spec->tasks * sizeof(struct task));
		job->ready =
		    gb_realloc(job->ready, spec->tasks * sizeof(uint32_t));
		memset(job->tasks + old, 0,
		    (spec->tasks - old) * sizeof(struct task));
	}
	for (i = old; i < spec->tasks; i++)
		job->tasks[i].worker = GB_NONE;
	for (i = spec->tasks; i < old; i++) {
		struct worker *w = worker_get(core, job->tasks[i].worker);

		if (w != NULL) {
			worker_stop(w, job, i);
			task_release(core, job, i);
			gb_res_add(&w->foreign, &job->spec.res);
			worker_index(core, w);
		}
	}
	job->rolling = 0;
	if (spec->tasks < old) {
		uint32_t keep = 0;

		for (i = 0; i < job->ready_count; i++) {
			if (job->ready[i] < spec->tasks)
				job->ready[keep++] = job->ready[i];
		}
		job->ready_count = keep;
		if (keep == 0)
			job_dequeue(job);
	}
	job->spec.tasks = spec->tasks;
	for (i = old; i < spec->tasks; i++)
		job_task_ready(core, job, i);
}

static void
service_sync(
    struct gb_core *core, struct shard *shard, const struct gb_doc *doc)
{
	uint32_t share = service_share(core, doc, shard->id);
	gb_job_spec spec;
	struct job *job;
	uint32_t i;

	service_spec(doc, shard->id, share, &spec);
	job = job_find(shard, spec.id);
	if (job == NULL) {
		if (share == 0)
			return;
		job = job_new(core, shard, &spec);
		job->derived = true;
		for (i = 0; i < share; i++) {
			if (shard->settled)
				job_task_ready(core, job, i);
			else
				job->tasks[i].state = TASK_UNSURE;
		}
		return;
	}
	if (job->spec.tasks != share)
		service_resize(core, shard, job, &spec);
	job->spec.vers = spec.vers;
}

void
job_services(struct gb_core *core, struct shard *shard)
{
	struct doc *doc;

	if (shard->services_config == core->config_seq + 1)
		return;
	shard->services_config = core->config_seq + 1;
	for (doc = core->docs; doc != NULL; doc = doc->hh.next) {
		if (doc->valid && doc->now.kind == GB_KIND_SERVICE)
			service_sync(core, shard, &doc->now);
	}
}

/* Commands */

static struct command_wait *
command_wait_add(struct gb_core *core, uint64_t id, const gb_command *cmd,
    struct shard *shard)
{
	struct command_wait *wait = gb_calloc(1, sizeof(*wait));
	gb_time limit = cmd->remaining_us;

	if (limit <= 0 || limit > COMMAND_LIMIT)
		limit = COMMAND_LIMIT;
	wait->answer = id;
	wait->deadline = core->now + limit;
	wait->shard = shard->id;
	HASH_ADD(hh, core->commands, answer, sizeof(wait->answer), wait);
	return wait;
}

static void
command_wait_fail(struct gb_core *core, struct command_wait *wait,
    bool may_have_run, const char *reason)
{
	HASH_DEL(core->commands, wait);
	core_answer(core, wait->answer,
	    may_have_run ? GB_MAYBE_RUN : GB_NOT_RUN, 503, STORE_RETRY_MS,
	    reason);
	free(wait);
}

void
job_commands_tick(struct gb_core *core)
{
	struct command_wait *wait;
	struct command_wait *next;

	HASH_ITER(hh, core->commands, wait, next)
	{
		struct shard *shard = &core->shards[wait->shard];

		if (core->now < wait->deadline)
			continue;
		command_wait_fail(core, wait,
		    log_withdraw(core, shard, wait->answer),
		    "the table service did not confirm in time");
	}
}

void
job_commands_lost(struct gb_core *core, struct shard *shard)
{
	struct command_wait *wait;
	struct command_wait *next;

	HASH_ITER(hh, core->commands, wait, next)
	{
		if (wait->shard != shard->id)
			continue;
		command_wait_fail(core, wait,
		    log_withdraw(core, shard, wait->answer),
		    "the shard changed its owner");
	}
}

/** Read the body of a submission over the document's values. */
static bool
submit_body(const gb_command *cmd, gb_job_spec *spec, char **service,
    gb_time wall, struct gb_error *err)
{
	json_error_t fault;
	json_t *root = json_loadb(cmd->body.gb_body_val, cmd->body.gb_body_len,
	    JSON_REJECT_DUPLICATES, &fault);
	json_int_t tasks = 1;
	json_int_t run_ms = -1;
	json_int_t deadline_ms = 0;
	const char *name = NULL;

	if (root == NULL) {
		gb_error_set(err, GB_E_INVALID, "%d:%d: %s", fault.line,
		    fault.column, fault.text);
		return false;
	}
	if (json_unpack_ex(root, &fault, JSON_STRICT, "{s:s, s?:I, s?:I, s?:I}",
		"service", &name, "tasks", &tasks, "run_ms", &run_ms,
		"deadline_ms", &deadline_ms) != 0) {
		gb_error_set(err, GB_E_INVALID, "%d:%d: %s", fault.line,
		    fault.column, fault.text);
	} else if (!name_valid(name)) {
		gb_error_set(err, GB_E_INVALID, "1:1: service: not a name");
	} else if (tasks < 1 || tasks > TASKS_MAX) {
		gb_error_set(err, GB_E_INVALID,
		    "1:1: tasks: must be a whole number from 1 to %d",
		    TASKS_MAX);
	} else if (run_ms < -1 || deadline_ms < 0) {
		gb_error_set(err, GB_E_INVALID,
		    "1:1: run_ms, deadline_ms: must not be negative");
	} else {
		spec->tasks = (uint32_t)tasks;
		spec->run_us = run_ms * GB_MSEC;
		if (deadline_ms > 0)
			spec->deadline_us = wall + deadline_ms * GB_MSEC;
		*service = gb_strdup(name);
	}
	json_decref(root);
	return err->code == GB_E_NONE;
}

/** Why a job could never run, or null. */
static const char *
submit_never(struct gb_core *core, struct shard *shard, const gb_job_spec *spec)
{
	uint32_t i;

	(void)shard;
	if (core->worker_count == 0)
		return NULL;
	for (i = 0; i < core->worker_count; i++) {
		const struct worker *w = core->workers[i];

		if (w->evidence != EVIDENCE_GONE &&
		    (spec->pool[0] == '\0' ||
			strcmp(spec->pool, w->pool) == 0) &&
		    gb_res_fits(&spec->res, &w->capacity))
			return NULL;
	}
	return "no worker of the cell could ever hold one of its tasks";
}

static bool
submit_spec(struct gb_core *core, const gb_command *cmd, gb_job_spec *spec,
    const char *service, struct gb_error *err)
{
	struct doc *doc = config_doc(core, cmd->team, service);

	if (doc == NULL || !doc->valid) {
		gb_error_set(err, GB_E_MISSING,
		    "team %s has no document for %s", cmd->team, service);
		return false;
	}
	if (doc->now.kind != GB_KIND_BATCH && doc->now.kind != GB_KIND_GANG) {
		gb_error_set(err, GB_E_INVALID,
		    "%s is of kind %s, jobs need batch or gang", service,
		    gb_doc_kind_name(doc->now.kind));
		return false;
	}
	spec->id = job_id(cmd->team, cmd->name);
	spec->team = gb_strdup(cmd->team);
	spec->name = gb_strdup(cmd->name);
	spec->service = gb_strdup(service);
	spec->pool = gb_strdup(doc->now.pool);
	spec->band = doc->now.band;
	spec->idempotent = doc->now.idempotent;
	spec->gang = doc->now.kind == GB_KIND_GANG;
	spec->max_attempts = doc->now.max_attempts;
	spec->res = doc->now.res;
	spec->dcs = doc->now.dcs;
	spec->spread = doc->now.spread;
	spec->vers = doc->now.vers;
	spec->submitted_us = core->now + core->wall_minus_now;
	if (spec->run_us < 0)
		spec->run_us = doc->now.run_us;
	return true;
}

static const char *
outcome_name(const struct job *job)
{
	static const char *const names[] = {
	    "none", "ok", "failed", "cancelled", "may_have_run"};

	if (job->ended_at == 0)
		return job->cancelled ? "cancelling" : "active";
	return names[job->outcome];
}

static const char *
reason_text(const struct job *job)
{
	static const char *const texts[] = {
	    [WAIT_NONE] = "",
	    [WAIT_ROOM] = "no worker has room; starts when work ends",
	    [WAIT_QUOTA] = "the team's quota is used up; starts when the "
			   "team's work ends or the quota grows",
	    [WAIT_BACKOFF] = "backing off after failures",
	    [WAIT_EVIDENCE] = "a worker that might hold a task has not "
			      "answered; starts on its answer, or when "
			      "its lease is over",
	    [WAIT_PLACEMENT] = "no worker meets the placement; change the "
			       "document or add workers",
	    [WAIT_FRESH] = "this instance cannot confirm its view",
	    [WAIT_COMMIT] = "the start is being logged",
	    [WAIT_STORE] = "the table service is unavailable",
	    [WAIT_LENT] = "other shards have been asked to run its tasks",
	};

	if (job->ended_at != 0)
		return "";
	if (job->backing_off)
		return texts[WAIT_BACKOFF];
	if (job->ready_count > 0)
		return texts[job->reason];
	if (job->lent > 0)
		return texts[WAIT_LENT];
	if (job->active == 0)
		return texts[WAIT_EVIDENCE];
	return "";
}

static void
job_json(struct gb_text *out, const struct job *job)
{
	gb_text_add(out,
	    "{\"id\": \"%016" PRIx64 "\", \"team\": \"%s\", "
	    "\"name\": \"%s\", \"service\": \"%s\", \"band\": \"%s\", "
	    "\"state\": \"%s\", \"tasks\": %" PRIu32 ", \"waiting\": %" PRIu32
	    ", \"active\": %" PRIu32 ", \"ended\": %" PRIu32
	    ", \"why\": \"%s\"}",
	    job->id, job->spec.team, job->spec.name, job->spec.service,
	    gb_doc_band_name(job->spec.band), outcome_name(job),
	    job->spec.tasks, job->ready_count, job->active, job->ended,
	    reason_text(job));
}

static void
job_answer(struct gb_core *core, uint64_t id, const struct job *job)
{
	struct gb_text body = {0};

	job_json(&body, job);
	core_answer_body(core, id, 0, &body);
}

void
job_answer_record(struct gb_core *core, struct shard *shard, uint64_t answer,
    const gb_record *record)
{
	uint64_t id = record->type == GB_REC_CANCEL
			  ? record->gb_record_u.cancel
			  : record->gb_record_u.job.id;
	const struct job *job = job_find(shard, id);

	if (job == NULL)
		core_answer(core, answer, GB_RUN, 200, 0, "");
	else
		job_answer(core, answer, job);
}

/** A repeat of a submission gets the job that is there already. */
static bool
submit_repeat(struct gb_core *core, uint64_t id, const struct job *job,
    const gb_job_spec *spec)
{
	if (strcmp(job->spec.team, spec->team) != 0 ||
	    strcmp(job->spec.name, spec->name) != 0 ||
	    strcmp(job->spec.service, spec->service) != 0 ||
	    job->spec.tasks != spec->tasks) {
		core_answer(
		    core, id, GB_NOT_RUN, 409, 0, "another job has this name");
		return true;
	}
	job_answer(core, id, job);
	return true;
}

static void
submit_command(struct gb_core *core, uint64_t id, const gb_command *cmd,
    struct shard *shard)
{
	struct gb_error err = {0};
	gb_record record;
	gb_job_spec *spec = &record.gb_record_u.job;
	char *service = NULL;
	const char *never;
	struct job *job;

	memset(&record, 0, sizeof(record));
	record.type = GB_REC_JOB;
	if (!name_valid(cmd->name)) {
		core_answer(core, id, GB_NOT_RUN, 400, 0, "not a job's name");
		return;
	}
	if (!submit_body(
		cmd, spec, &service, core->now + core->wall_minus_now, &err) ||
	    !submit_spec(core, cmd, spec, service, &err)) {
		core_answer(core, id, GB_NOT_RUN, gb_error_status(err.code), 0,
		    err.text);
		free(service);
		xdr_free((xdrproc_t)xdr_gb_record, (char *)&record);
		return;
	}
	free(service);
	job = job_find(shard, spec->id);
	never = submit_never(core, shard, spec);
	if (job != NULL && submit_repeat(core, id, job, spec)) {
		xdr_free((xdrproc_t)xdr_gb_record, (char *)&record);
	} else if (never != NULL) {
		core_answer(core, id, GB_NOT_RUN, 422, 0, never);
		xdr_free((xdrproc_t)xdr_gb_record, (char *)&record);
	} else {
		command_wait_add(core, id, cmd, shard);
		log_append(core, shard, &record, id);
	}
}

static void
cancel_command(struct gb_core *core, uint64_t id, const gb_command *cmd,
    struct shard *shard)
{
	struct job *job = job_find(shard, job_id(cmd->team, cmd->name));
	gb_record record;

	if (job == NULL || job->derived) {
		core_answer(core, id, GB_NOT_RUN, 404, 0, "no such job");
		return;
	}
	if (job->cancelled || job->ended_at != 0) {
		job_answer(core, id, job);
		return;
	}
	memset(&record, 0, sizeof(record));
	record.type = GB_REC_CANCEL;
	record.gb_record_u.cancel = job->id;
	command_wait_add(core, id, cmd, shard);
	log_append(core, shard, &record, id);
}

static void
jobs_command(struct gb_core *core, uint64_t id, const gb_command *cmd,
    struct shard *shard)
{
	struct gb_text body = {0};
	struct job *job;
	bool first = true;

	gb_text_add(&body, "{\"jobs\": [");
	for (job = shard->jobs; job != NULL; job = job->hh.next) {
		if (strcmp(job->spec.team, cmd->team) != 0 ||
		    job->spec.parent != 0)
			continue;
		gb_text_add(&body, first ? "" : ", ");
		job_json(&body, job);
		first = false;
	}
	gb_text_add(&body, "]}");
	core_answer_body(core, id, 0, &body);
}

void
job_command(struct gb_core *core, uint64_t id, const gb_command *cmd)
{
	struct shard *shard = shard_get(core, cmd->shard);
	struct job *job;

	if (shard == NULL || shard->state != SHARD_ACTIVE) {
		core_answer(core, id, GB_NOT_RUN, 503, 200,
		    "this instance does not own the job's shard");
		return;
	}
	if ((cmd->verb == GB_VERB_SUBMIT || cmd->verb == GB_VERB_CANCEL) &&
	    !member_store_fresh(core)) {
		/* It could not be logged soon: say so at once. */
		core_answer(core, id, GB_NOT_RUN, 503, STORE_RETRY_MS,
		    "the table service is unavailable");
		return;
	}
	switch (cmd->verb) {
	case GB_VERB_SUBMIT:
		submit_command(core, id, cmd, shard);
		break;
	case GB_VERB_CANCEL:
		cancel_command(core, id, cmd, shard);
		break;
	case GB_VERB_JOBS:
		jobs_command(core, id, cmd, shard);
		break;
	default:
		job = job_find(shard, job_id(cmd->team, cmd->name));
		if (job == NULL)
			core_answer(core, id, GB_RUN, 404, 0, "no such job");
		else
			job_answer(core, id, job);
		break;
	}
}
