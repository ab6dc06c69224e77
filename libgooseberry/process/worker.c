/**
 * @file worker.c
 * Workers of a shard: syncs that renew their leases, their reports, and the
 * evidence on which tasks they can still run.
 *
 * A worker's lease ends at anchor + lease_us on the worker's own clock, where
 * the anchor is a reading of that clock in an earlier report.  A sync that
 * arrives late can therefore never extend a lease beyond the end that its
 * sender calculates.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "core.h"

/** A worker is quarantined after consecutive failures of this many jobs. */
#define QUARANTINE_FAILURES 3
/** After this time a quarantined worker gets work again; one more failure
 * quarantines it again. */
#define QUARANTINE_TIME (30 * GB_SEC)
/** At most one worker in this many of a shard is quarantined; in a shard with
 * at least two workers one always may be. */
#define QUARANTINE_ONE_IN 5

struct worker *
worker_get(struct gb_core *core, uint32_t handle)
{
	return handle < core->worker_count ? core->workers[handle] : NULL;
}

struct worker *
worker_at(
    const struct gb_core *core, const struct shard *shard, uint32_t position)
{
	return position < shard->worker_count
		   ? core->workers[shard->workers[position]]
		   : NULL;
}

gb_res
worker_free(const struct worker *w)
{
	gb_res res = w->capacity;

	gb_res_sub(&res, &w->used);
	gb_res_sub(&res, &w->foreign);
	return res;
}

bool
worker_usable(const struct worker *w)
{
	return w->evidence == EVIDENCE_FENCED && w->durable &&
	       w->platform == GB_INSTANCE_LIVE && !w->draining &&
	       !w->quarantined;
}

void
worker_index(struct gb_core *core, struct worker *w)
{
	struct shard *shard = w->shard;
	gb_res free_res;

	(void)core;
	if (shard->state != SHARD_ACTIVE && shard->state != SHARD_HANDOVER)
		return;
	if (!worker_usable(w)) {
		if (w->indexed)
			gb_index_remove(shard->index, w->position);
		w->indexed = false;
		return;
	}
	free_res = worker_free(w);
	gb_index_set(shard->index, w->position, &free_res, &w->capacity);
	w->indexed = true;
}

/* Tasks of a worker */

void
worker_attach(struct worker *w, struct job *job, uint32_t index)
{
	if (w->task_count == w->task_size) {
		w->task_size = w->task_size * 2 + 4;
		w->tasks = gb_realloc(
		    w->tasks, w->task_size * sizeof(struct task_ref));
	}
	w->tasks[w->task_count].job = job;
	w->tasks[w->task_count].index = index;
	w->task_count++;
	gb_res_add(&w->used, &job->spec.res);
}

void
worker_detach(struct worker *w, struct job *job, uint32_t index)
{
	uint32_t i;

	for (i = 0; i < w->task_count; i++) {
		if (w->tasks[i].job != job || w->tasks[i].index != index)
			continue;
		w->tasks[i] = w->tasks[--w->task_count];
		gb_res_sub(&w->used, &job->spec.res);
		return;
	}
}

/** Grow an array if it has no space for one more item. */
static void *
array_grow(void *list, u_int count, u_int *size, size_t item)
{
	if (count < *size)
		return list;
	*size = *size * 2 + 4;
	return gb_realloc(list, *size * item);
}

void
worker_start(struct worker *w, struct job *job, uint32_t index)
{
	struct task *task = &job->tasks[index];
	gb_sync *out = &w->next_sync;
	gb_start *start;

	out->starts.starts_val = array_grow(out->starts.starts_val,
	    out->starts.starts_len, &w->start_size, sizeof(gb_start));
	start = &out->starts.starts_val[out->starts.starts_len++];
	start->id.job = job->id;
	start->id.index = index;
	start->id.attempt = task->attempt;
	start->team = gb_strdup(job->spec.team);
	start->service = gb_strdup(job->spec.service);
	start->res = job->spec.res;
	start->run_us = job->derived ? 0 : job->spec.run_us;
	start->vers = job->spec.vers;
	task->seq = w->seq + 1;
}

void
worker_stop(struct worker *w, const struct job *job, uint32_t index)
{
	gb_task_id id = {job->id, index, job->tasks[index].attempt};
	gb_sync *out = &w->next_sync;

	out->stops.stops_val = array_grow(out->stops.stops_val,
	    out->stops.stops_len, &w->stop_size, sizeof(gb_task_id));
	out->stops.stops_val[out->stops.stops_len++] = id;
}

static void
worker_stop_id(struct worker *w, const gb_task_id *id)
{
	gb_sync *out = &w->next_sync;

	out->stops.stops_val = array_grow(out->stops.stops_val,
	    out->stops.stops_len, &w->stop_size, sizeof(gb_task_id));
	out->stops.stops_val[out->stops.stops_len++] = *id;
}

void
worker_ack(struct worker *w, const gb_task_id *id)
{
	gb_sync *out = &w->next_sync;

	out->acks.acks_val = array_grow(out->acks.acks_val, out->acks.acks_len,
	    &w->ack_size, sizeof(gb_task_id));
	out->acks.acks_val[out->acks.acks_len++] = *id;
}

static void
worker_next_sync_clear(struct worker *w)
{
	xdr_free((xdrproc_t)xdr_gb_sync, (char *)&w->next_sync);
	memset(&w->next_sync, 0, sizeof(w->next_sync));
	w->start_size = 0;
	w->stop_size = 0;
	w->ack_size = 0;
}

static bool
worker_next_sync_empty(const struct worker *w)
{
	return w->next_sync.starts.starts_len == 0 &&
	       w->next_sync.stops.stops_len == 0 &&
	       w->next_sync.acks.acks_len == 0;
}

/** Drop all tasks attached to a worker, since none runs there any more.  Starts
 * in syncs numbered unsent or above have not been sent.  With crashed, the
 * tasks that were sent may have crashed the worker. */
static void
worker_tasks_lost(
    struct gb_core *core, struct worker *w, uint64_t unsent, bool crashed)
{
	while (w->task_count > 0) {
		struct task_ref ref = w->tasks[w->task_count - 1];
		struct task *task = &ref.job->tasks[ref.index];
		bool never_started =
		    task->state == TASK_COMMITTING ||
		    (task->state == TASK_STARTING && task->seq >= unsent);

		if (crashed && !never_started)
			job_task_crashed(core, ref.job, ref.index);
		else
			job_task_lost(core, ref.job, ref.index, never_started);
	}
}

/* Evidence */

/** Set the evidence on a worker, and check whether the shard is reconciled. */
static void
worker_evidence(struct gb_core *core, struct worker *w, enum evidence evidence)
{
	if (w->evidence == evidence)
		return;
	w->evidence = evidence;
	worker_index(core, w);
	if (w->shard->state == SHARD_ACTIVE ||
	    w->shard->state == SHARD_HANDOVER)
		job_reconcile(core, w->shard);
}

/** The worker process that ran the tasks and requests has ended. */
static void
worker_process_ended(
    struct gb_core *core, struct worker *w, uint64_t unsent, bool crashed)
{
	w->incarnation = 0;
	w->foreign = (gb_res){0};
	worker_next_sync_clear(w);
	request_worker_ended(core, w);
	worker_tasks_lost(core, w, unsent, crashed);
}

/** Another incarnation of the worker has answered.  A drained worker may have
 * been restarted by its operator, so that is not counted as a crash. */
static void
worker_restarted(struct gb_core *core, struct worker *w, uint64_t unsent)
{
	worker_process_ended(core, w, unsent, !w->draining);
}

/** The worker's instance has terminated. */
static void
worker_removed(struct gb_core *core, struct worker *w)
{
	struct shard *shard = w->shard;
	gb_record rec;

	worker_process_ended(core, w, w->seq + 1, false);
	worker_evidence(core, w, EVIDENCE_TERMINATED);
	if (!w->durable || shard->state != SHARD_ACTIVE)
		return;
	memset(&rec, 0, sizeof(rec));
	rec.type = GB_REC_WORKER_REMOVED;
	rec.gb_record_u.gone = gb_strdup(w->name);
	log_append(core, shard, &rec, 0);
}

/** Add a worker to its shard; null if its data centre or name is invalid. */
static struct worker *
worker_new(struct gb_core *core, const gb_instance *in)
{
	struct worker *w;
	uint32_t shard = gb_shard_of_rack(&core->cfg, in->dc, in->rack);

	if (shard == GB_NONE || !name_valid(in->name))
		return NULL;
	w = gb_calloc(1, sizeof(*w));
	snprintf(w->name, sizeof(w->name), "%s", in->name);
	snprintf(w->dc, sizeof(w->dc), "%s", in->dc);
	snprintf(w->rack, sizeof(w->rack), "%s", in->rack);
	snprintf(w->pool, sizeof(w->pool), "%s", in->pool);
	w->rack_id = gb_hash_pair(in->dc, in->rack);
	w->shard = &core->shards[shard];
	w->capacity = in->capacity;
	w->draining = config_drained(core, w->name);
	if (core->worker_count == core->worker_size) {
		core->worker_size = core->worker_size * 2 + 64;
		core->workers = gb_realloc(
		    core->workers, core->worker_size * sizeof(struct worker *));
	}
	w->handle = core->worker_count;
	core->workers[core->worker_count++] = w;
	HASH_ADD_STR(core->workers_by_name, name, w);
	if (w->shard->worker_count == w->shard->worker_size) {
		w->shard->worker_size = w->shard->worker_size * 2 + 16;
		w->shard->workers = gb_realloc(w->shard->workers,
		    w->shard->worker_size * sizeof(uint32_t));
	}
	w->position = w->shard->worker_count;
	w->shard->workers[w->shard->worker_count++] = w->handle;
	return w;
}

/** Time at which every lease that an earlier owner gave has expired. */
static gb_time
worker_prior_lease_end(const struct shard *shard)
{
	return shard->leases_end == 0 ? INT64_MAX : shard->leases_end;
}

/** Latest end, on this process's clock, of a lease whose anchor is the worker's
 * clock in a report that arrived at the time now. */
static gb_time
worker_lease_end(const struct gb_core *core, gb_time now)
{
	return now + core->cfg.lease_us +
	       core->cfg.lease_us / CLOCK_DRIFT_PART + core->cfg.margin_us;
}

void
worker_instance(struct gb_core *core, const gb_instance *in)
{
	struct worker *w;

	HASH_FIND_STR(core->workers_by_name, in->name, w);
	if (w == NULL) {
		if (in->state == GB_INSTANCE_GONE)
			return;
		w = worker_new(core, in);
		if (w == NULL)
			return;
		w->lapse_at = worker_prior_lease_end(w->shard);
		w->shard->reconciled = false;
	}
	if (w->evidence == EVIDENCE_TERMINATED)
		return;
	snprintf(w->addr, sizeof(w->addr), "%s", in->addr);
	w->platform = in->state;
	if (in->state == GB_INSTANCE_GONE &&
	    (w->shard->state == SHARD_ACTIVE ||
		w->shard->state == SHARD_HANDOVER))
		worker_removed(core, w);
	else
		worker_index(core, w);
}

void
worker_addition_committed(
    struct gb_core *core, struct shard *shard, const gb_instance *in)
{
	struct worker *w;

	HASH_FIND_STR(core->workers_by_name, in->name, w);
	if (w == NULL)
		w = worker_new(core, in);
	if (w == NULL || w->shard != shard)
		return;
	if (w->addr[0] == '\0')
		snprintf(w->addr, sizeof(w->addr), "%s", in->addr);
	w->durable = true;
	w->add_pending = false;
	worker_index(core, w);
}

void
worker_removal_committed(
    struct gb_core *core, struct shard *shard, const char *name)
{
	struct worker *w;

	HASH_FIND_STR(core->workers_by_name, name, w);
	if (w == NULL || w->shard != shard)
		return;
	w->durable = false;
	w->platform = GB_INSTANCE_GONE;
	w->evidence = EVIDENCE_TERMINATED;
}

void
worker_shard_loaded(struct gb_core *core, struct shard *shard)
{
	uint32_t i;

	shard->reconciled = false;
	for (i = 0; i < shard->worker_count; i++) {
		struct worker *w = core->workers[shard->workers[i]];

		w->lapse_at = worker_prior_lease_end(shard);
		if (w->platform == GB_INSTANCE_GONE &&
		    w->evidence != EVIDENCE_TERMINATED)
			worker_removed(core, w);
		worker_index(core, w);
	}
}

void
worker_prior_leases_bound(struct gb_core *core, struct shard *shard)
{
	uint32_t i;

	for (i = 0; i < shard->worker_count; i++) {
		struct worker *w = core->workers[shard->workers[i]];

		if (w->evidence == EVIDENCE_UNKNOWN)
			w->lapse_at = shard->leases_end;
	}
}

void
worker_shard_lost(struct gb_core *core, struct shard *shard)
{
	uint32_t i;

	for (i = 0; i < shard->worker_count; i++) {
		struct worker *w = core->workers[shard->workers[i]];

		if (w->indexed)
			gb_index_remove(shard->index, w->position);
		w->indexed = false;
		w->task_count = 0;
		w->requests = 0;
		w->given_up = 0;
		w->used = (gb_res){0};
		w->foreign = (gb_res){0};
		w->syncing = false;
		w->seq = 0;
		w->incarnation = 0;
		w->anchor = 0;
		w->durable = false;
		w->add_pending = false;
		w->quarantined = false;
		w->failures = 0;
		if (w->evidence != EVIDENCE_TERMINATED)
			w->evidence = EVIDENCE_UNKNOWN;
		worker_next_sync_clear(w);
	}
}

/* Quarantine */

/** Whether one more worker of this worker's shard may be quarantined. */
static bool
worker_may_quarantine(struct gb_core *core, const struct worker *w)
{
	uint32_t present = 0;
	uint32_t quarantined = 0;
	uint32_t i;

	for (i = 0; i < w->shard->worker_count; i++) {
		const struct worker *o = core->workers[w->shard->workers[i]];

		if (o->evidence == EVIDENCE_TERMINATED)
			continue;
		present++;
		if (o->quarantined)
			quarantined++;
	}
	return quarantined < present / QUARANTINE_ONE_IN ||
	       (quarantined == 0 && present > 1);
}

void
worker_outcome_record(
    struct gb_core *core, struct worker *w, uint64_t job, bool failed)
{
	if (!failed) {
		w->failures = 0;
		w->failed_job = 0;
		return;
	}
	if (job == w->failed_job)
		return;
	w->failed_job = job;
	w->failures++;
	if (w->failures < QUARANTINE_FAILURES || w->quarantined ||
	    !worker_may_quarantine(core, w))
		return;
	w->quarantined = true;
	w->probe_at = core->now + QUARANTINE_TIME;
	core->stats.quarantined++;
	gb_env_log(&core->cfg.env, GB_LOG_WARNING, "worker",
	    "Quarantined worker %s after %" PRIu32 " failures of unlike work.",
	    w->name, w->failures);
	worker_index(core, w);
}

/* Syncs */

/** Send a sync.  A sync to a worker that has not reported yet has neither
 * anchor nor lease: it only fences earlier owners and asks for a report. */
static void
worker_sync_send(struct gb_core *core, struct worker *w)
{
	struct gb_action *action = core_action_add(core, GB_ACT_SYNC);
	bool reported = w->evidence == EVIDENCE_FENCED && w->anchor != 0;
	gb_sync *sync;

	if (reported) {
		gb_time until = worker_lease_end(core, w->anchor_received_at);

		if (until > w->lapse_at)
			w->lapse_at = until;
		action->u.sync = w->next_sync;
		memset(&w->next_sync, 0, sizeof(w->next_sync));
		w->start_size = 0;
		w->stop_size = 0;
		w->ack_size = 0;
	}
	sync = &action->u.sync;
	sync->shard = w->shard->id;
	sync->owner = core->cfg.incarnation;
	sync->epoch = w->shard->epoch;
	sync->seq = ++w->seq;
	sync->incarnation = reported ? w->incarnation : 0;
	sync->anchor = reported ? w->anchor : 0;
	sync->lease_us = reported ? core->cfg.lease_us : 0;
	action->worker = w->handle;
	action->id = w->seq;
	snprintf(action->addr, sizeof(action->addr), "%s", w->addr);
	w->syncing = true;
	w->sent = core->now;
	core->stats.syncs++;
}

/** Drop the starts that have not been sent, because the worker may not get new
 * work any more, and queue their tasks again. */
static void
worker_starts_withdraw(struct gb_core *core, struct worker *w)
{
	u_int i;

	for (i = 0; i < w->next_sync.starts.starts_len; i++)
		xdr_free((xdrproc_t)xdr_gb_start,
		    (char *)&w->next_sync.starts.starts_val[i]);
	w->next_sync.starts.starts_len = 0;
	/* Backwards, because a task that is removed is replaced by the last. */
	for (i = w->task_count; i > 0; i--) {
		struct task_ref ref;
		struct task *task;

		if (i > w->task_count)
			continue;
		ref = w->tasks[i - 1];
		task = &ref.job->tasks[ref.index];
		if ((task->state == TASK_STARTING ||
			task->state == TASK_STOPPING) &&
		    task->seq > w->seq)
			job_task_lost(core, ref.job, ref.index, true);
	}
}

static void
worker_sync(struct gb_core *core, struct worker *w)
{
	if (w->next_sync.starts.starts_len > 0 && !worker_usable(w))
		worker_starts_withdraw(core, w);
	worker_sync_send(core, w);
}

/** Compare the tasks that a report lists with those attached to the worker.
 * Listed tasks that are not attached are stopped or acknowledged.  Attached
 * tasks that are missing from the report count as lost. */
static void
worker_report(struct gb_core *core, struct worker *w, const gb_sync_res *res)
{
	gb_res foreign = {0};
	int requests;
	uint32_t report = ++w->reports;
	uint32_t i;
	u_int n;

	for (n = 0; n < res->held.held_len; n++) {
		const gb_worker_task *held = &res->held.held_val[n];
		struct job *job;
		struct task *task = job_task_match(w, held, &job);

		if (task != NULL) {
			task->last_report = report;
			job_task_report(core, job, held->id.index, w, held);
		} else if (held->state == GB_WORKER_TASK_RUNNING) {
			gb_res_add(&foreign, &held->res);
			worker_stop_id(w, &held->id);
		} else {
			worker_ack(w, &held->id);
		}
	}
	requests = (int)(res->requests + request_count_unknown(core, w, res));
	foreign.slots += requests;
	foreign.conns += requests;
	w->foreign = foreign;
	/* Backwards, because a task that is removed is replaced by the last. */
	for (i = w->task_count; i > 0; i--) {
		struct task_ref ref;
		struct task *task;

		if (i > w->task_count)
			continue;
		ref = w->tasks[i - 1];
		task = &ref.job->tasks[ref.index];
		if (task->last_report == report ||
		    task->state == TASK_COMMITTING || task->seq > res->seq)
			continue;
		/* A worker lists every task that it started until its end is
		 * acknowledged. */
		job_task_lost(core, ref.job, ref.index,
		    task->state == TASK_STARTING ||
			(task->state == TASK_UNCERTAIN &&
			    task->incarnation == res->incarnation));
	}
}

/** Log the name of a worker, which gets work once the record is committed. */
static void
worker_addition_log(struct gb_core *core, struct worker *w)
{
	gb_record rec;
	gb_instance in;

	memset(&rec, 0, sizeof(rec));
	memset(&in, 0, sizeof(in));
	in.name = w->name;
	in.addr = w->addr;
	in.dc = w->dc;
	in.rack = w->rack;
	in.pool = w->pool;
	in.capacity = w->capacity;
	rec.type = GB_REC_WORKER;
	if (!gb_xdr_copy((xdrproc_t)xdr_gb_instance, &in,
		&rec.gb_record_u.worker, sizeof(in)))
		return;
	w->add_pending = true;
	log_append(core, w->shard, &rec, 0);
}

/** The worker rejected a sync: it knows a newer owner, or it restarted. */
static void
worker_sync_rejected(
    struct gb_core *core, struct worker *w, const gb_sync_res *res)
{
	if (res->epoch > w->shard->epoch) {
		shard_lose(core, w->shard, "a worker knows a newer epoch");
		return;
	}
	if (w->incarnation != 0 && res->incarnation != w->incarnation) {
		worker_restarted(core, w, w->seq);
		worker_evidence(core, w, EVIDENCE_UNKNOWN);
		w->sent = 0;
	}
}

void
gb_core_sync_done(struct gb_core *core, gb_time now, uint32_t handle,
    uint64_t seq, const gb_sync_res *res)
{
	struct worker *w = worker_get(core, handle);

	core->now = now;
	if (w == NULL || !w->syncing || w->seq != seq)
		return;
	w->syncing = false;
	if (res == NULL || w->evidence == EVIDENCE_TERMINATED)
		return;
	if (res->refused || res->epoch != w->shard->epoch) {
		worker_sync_rejected(core, w, res);
		return;
	}
	if (w->incarnation != 0 && w->incarnation != res->incarnation)
		worker_restarted(core, w, w->seq + 1);
	w->incarnation = res->incarnation;
	w->anchor = res->clock;
	w->anchor_received_at = now;
	if (w->evidence != EVIDENCE_FENCED)
		w->lapse_at = worker_lease_end(core, now);
	worker_report(core, w, res);
	request_apply_report(core, w, res);
	worker_evidence(core, w, EVIDENCE_FENCED);
	if (!w->durable && !w->add_pending)
		worker_addition_log(core, w);
	worker_index(core, w);
	w->shard->dirty = true;
}

/** The lease of a worker has expired, so it has stopped its tasks. */
static void
worker_lapsed(struct gb_core *core, struct worker *w)
{
	gb_env_log(&core->cfg.env, GB_LOG_WARNING, "worker",
	    "The lease of worker %s is over.", w->name);
	worker_next_sync_clear(w);
	worker_tasks_lost(core, w, w->seq + 1, false);
	worker_evidence(core, w, EVIDENCE_LAPSED);
}

void
worker_tick(struct gb_core *core, struct worker *w)
{
	struct shard *shard = w->shard;

	if (shard->state != SHARD_ACTIVE && shard->state != SHARD_HANDOVER)
		return;
	if (w->evidence == EVIDENCE_TERMINATED)
		return;
	if (w->quarantined && core->now >= w->probe_at) {
		w->quarantined = false;
		w->failures = QUARANTINE_FAILURES - 1;
		w->failed_job = 0;
		worker_index(core, w);
		shard->dirty = true;
	}
	if (w->evidence != EVIDENCE_LAPSED && core->now > w->lapse_at)
		worker_lapsed(core, w);
	if (w->syncing && core->now - w->sent > core->cfg.op_timeout_us)
		w->syncing = false;
	if (w->syncing || !gb_core_fresh(core, core->now))
		return;
	if (core->now - w->sent >= core->cfg.sync_us || w->sent == 0 ||
	    (w->evidence == EVIDENCE_FENCED && !worker_next_sync_empty(w)))
		worker_sync(core, w);
}

void
workers_free(struct gb_core *core)
{
	uint32_t i;

	HASH_CLEAR(hh, core->workers_by_name);
	for (i = 0; i < core->worker_count; i++) {
		worker_next_sync_clear(core->workers[i]);
		free(core->workers[i]->tasks);
		free(core->workers[i]);
	}
	free(core->workers);
}
