/**
 * @file job_command.c
 * Commands on jobs: submit, cancel, list and show, with the reason for which a
 * job waits.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "core.h"

/** Maximum number of tasks of a job. */
#define TASKS_MAX 100000
/** Longest time that a command waits for the commit of its record. */
#define COMMAND_TIMEOUT_MAX (30 * GB_SEC)
/** Delay after which a caller may retry while the table service is
 * unavailable. */
#define STORE_RETRY_MS 1000

/** Keep a command until its record is committed or its deadline passes. */
static struct command_wait *
command_wait_add(struct gb_core *core, uint64_t id, const gb_command *cmd,
    struct shard *shard)
{
	struct command_wait *wait = gb_calloc(1, sizeof(*wait));
	gb_time timeout = cmd->remaining_us;

	if (timeout <= 0 || timeout > COMMAND_TIMEOUT_MAX)
		timeout = COMMAND_TIMEOUT_MAX;
	wait->answer = id;
	wait->deadline = core->now + timeout;
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

/** Read the body of a submission; a run time of -1 stands for the one that the
 * document declares. */
static bool
submit_body(const gb_command *cmd, gb_job_spec *spec, char **service,
    gb_time wall, struct gb_error *err)
{
	json_error_t json_err;
	json_t *root = json_loadb(cmd->body.gb_body_val, cmd->body.gb_body_len,
	    JSON_REJECT_DUPLICATES, &json_err);
	json_int_t tasks = 1;
	json_int_t run_ms = -1;
	json_int_t deadline_ms = 0;
	const char *name = NULL;

	if (root == NULL) {
		gb_error_set(err, GB_E_INVALID, "%d:%d: %s", json_err.line,
		    json_err.column, json_err.text);
		return false;
	}
	if (json_unpack_ex(root, &json_err, JSON_STRICT,
		"{s:s, s?:I, s?:I, s?:I}", "service", &name, "tasks", &tasks,
		"run_ms", &run_ms, "deadline_ms", &deadline_ms) != 0) {
		gb_error_set(err, GB_E_INVALID, "%d:%d: %s", json_err.line,
		    json_err.column, json_err.text);
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

/** Reason for which a job could never run, or null. */
static const char *
submit_unplaceable(
    struct gb_core *core, struct shard *shard, const gb_job_spec *spec)
{
	uint32_t i;

	(void)shard;
	if (core->worker_count == 0)
		return NULL;
	for (i = 0; i < core->worker_count; i++) {
		const struct worker *w = core->workers[i];

		if (w->evidence != EVIDENCE_TERMINATED &&
		    (spec->pool[0] == '\0' ||
			strcmp(spec->pool, w->pool) == 0) &&
		    gb_res_fits(&spec->res, &w->capacity))
			return NULL;
	}
	return "no worker of the cell could ever hold one of its tasks";
}

/** Fill in the rest of a submitted job from the document of its service. */
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

/** Name of a job's state, or of its outcome once it has ended. */
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
	    [WAIT_CAPACITY] = "no worker has room; starts when work ends",
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

/** Answer a submission whose name is in use: with the job if this repeats its
 * submission, with a conflict otherwise. */
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
	const char *unplaceable;
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
	unplaceable = submit_unplaceable(core, shard, spec);
	if (job != NULL && submit_repeat(core, id, job, spec)) {
		xdr_free((xdrproc_t)xdr_gb_record, (char *)&record);
	} else if (unplaceable != NULL) {
		core_answer(core, id, GB_NOT_RUN, 422, 0, unplaceable);
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
		/* Its record could not be written soon, so refuse at once. */
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
