/**
 * @file job_record.c
 * Applies the records of a shard's log to its jobs, when they are committed
 * and when they are read again after a takeover.
 */
#include "core.h"

/* Records */

/** A job was accepted.  When recovering, an idempotent task may run on any
 * worker, because its start is not logged. */
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
			job->tasks[i].state = TASK_UNCERTAIN;
	}
}

/** Cancel a job.  Each waiting task needs a record of its end, each running one
 * a stop. */
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
			job_task_stop(core, job, i);
	}
}

/** The start of a task that is not idempotent has been logged.  It is sent to
 * the worker unless that restarted or may not get work any more.  When
 * recovering, the task may run on that worker. */
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
			job_task_release(core, job, rec->id.index);
		task->state = TASK_UNCERTAIN;
		task->attempt = rec->id.attempt;
		task->incarnation = rec->incarnation;
		task->worker = GB_NONE;
		if (w != NULL)
			job_task_assign(core, job, rec->id.index, w);
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

/** The end of a task has been logged, so the worker may drop the task. */
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
		job_task_release(core, job, rec->id.index);
	else if (w != NULL && w->evidence == EVIDENCE_FENCED)
		worker_ack(w, &rec->id);
	if (task->state == TASK_LENT)
		loan_task_ended(core, job, rec->id.index);
	task->state = TASK_ENDED;
	task->outcome = (uint8_t)rec->outcome;
	task->worker = GB_NONE;
	job->ended++;
	if (job->ended == job->spec.tasks && job->ended_at == 0)
		job_finish(core, job);
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
		worker_addition_committed(
		    core, shard, &record->gb_record_u.worker);
		break;
	case GB_REC_WORKER_REMOVED:
		worker_removal_committed(core, shard, record->gb_record_u.gone);
		break;
	case GB_REC_LEND:
		loan_commit(core, shard, &record->gb_record_u.lend);
		break;
	case GB_REC_LOAN_ENDED:
		loan_return_commit(
		    core, shard, &record->gb_record_u.loan_ended);
		break;
	case GB_REC_JOB_REMOVED:
		job = job_find(shard, record->gb_record_u.job_removed);
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
			else if (task->state == TASK_UNCERTAIN && w != NULL &&
				 w->evidence == EVIDENCE_TERMINATED)
				job_task_lost(core, job, i, false);
		}
	}
}

/** Whether there is evidence on every worker of the shard, so that none can
 * still run a task that it has not reported. */
static bool
shard_reconciled(struct gb_core *core, const struct shard *shard)
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
job_reconcile(struct gb_core *core, struct shard *shard)
{
	struct job *job;
	struct job *next;
	uint32_t i;

	if (shard->reconciled || !shard_reconciled(core, shard))
		return;
	shard->reconciled = true;
	HASH_ITER(hh, shard->jobs, job, next)
	{
		for (i = 0; i < job->spec.tasks; i++) {
			if (job->tasks[i].state == TASK_UNCERTAIN &&
			    job->tasks[i].worker == GB_NONE)
				job_task_retry_or_end(
				    core, job, i, job->spec.idempotent);
		}
	}
}
