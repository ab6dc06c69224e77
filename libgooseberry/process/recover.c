/**
 * @file recover.c
 * Loads an acquired shard from its snapshot and log, and encodes snapshots.
 */
#include <stdlib.h>
#include <string.h>

#include "core.h"

#define READ_RETRY (100 * GB_MSEC)

static void recover_page(struct gb_core *, struct shard *);

/** Retry a failed read after a delay. */
static void
recover_later(struct gb_core *core, struct shard *shard)
{
	shard->log.phase = LOG_WAITING;
	shard->log.retry_at = core->now + READ_RETRY;
}

static void
recover_records(
    struct gb_core *core, struct shard *shard, const gb_batch *batch)
{
	u_int i;

	for (i = 0; i < batch->records.records_len; i++)
		job_commit(core, shard, &batch->records.records_val[i], true);
}

/** Apply the records of a snapshot's object or of a log row. */
static void
recover_row(struct gb_core *core, struct shard *shard, const gb_row *row)
{
	gb_body body = row->value;
	gb_batch batch;

	memset(&batch, 0, sizeof(batch));
	if (!gb_xdr_decode((xdrproc_t)xdr_gb_batch, &body, &batch)) {
		gb_env_log(&core->cfg.env, GB_LOG_ERR, "shard",
		    "Row %s cannot be read.", row->key);
		return;
	}
	recover_records(core, shard, &batch);
	xdr_free((xdrproc_t)xdr_gb_batch, (char *)&batch);
}

/** All has been read: make the shard active. */
static void
recover_end(struct gb_core *core, struct shard *shard)
{
	shard->state = SHARD_ACTIVE;
	shard->services_config = 0;
	worker_shard_loaded(core, shard);
	job_recovered(core, shard);
	job_reconcile(core, shard);
	shard->dirty = true;
}

/** A page of log rows has been read. */
static void
recover_paged(struct gb_core *core, const struct store_op *op,
    const struct store_result *result)
{
	struct shard *shard = &core->shards[op->shard];
	u_int i;

	if (shard_serial_stale(core, op))
		return;
	if (result->status != GB_STORE_OK) {
		recover_later(core, shard);
		return;
	}
	for (i = 0; i < result->count; i++) {
		recover_row(core, shard, &result->rows[i]);
		shard->log.seq++;
	}
	if (result->more)
		recover_page(core, shard);
	else
		recover_end(core, shard);
}

/** Read the next page of log rows. */
static void
recover_page(struct gb_core *core, struct shard *shard)
{
	char prefix[GB_KEY_MAX + 1];
	char after[GB_KEY_MAX + 1];

	snprintf(prefix, sizeof(prefix), LOG_PREFIX "%04u/", shard->id);
	log_key(after, sizeof(after), shard->id, shard->log.seq);
	store_op_scan(
	    core, prefix, after, SCAN_PAGE, recover_paged, shard->id, 0);
}

/** The object with the records of the snapshot has been read. */
static void
recover_object_read(struct gb_core *core, const struct store_op *op,
    const struct store_result *result)
{
	struct shard *shard = &core->shards[op->shard];

	if (shard_serial_stale(core, op))
		return;
	if (result->status != GB_STORE_OK || result->count == 0) {
		recover_later(core, shard);
		return;
	}
	shard->log.snapshot_read = true;
	recover_row(core, shard, &result->rows[0]);
	recover_page(core, shard);
}

/** The row that names the last snapshot has been read. */
static void
recover_snapshot_read(struct gb_core *core, const struct store_op *op,
    const struct store_result *result)
{
	struct shard *shard = &core->shards[op->shard];
	char key[GB_KEY_MAX + 1];
	gb_snapshot_row row;
	gb_body body;

	if (shard_serial_stale(core, op))
		return;
	if (result->status != GB_STORE_OK) {
		recover_later(core, shard);
		return;
	}
	if (result->count == 0) {
		shard->log.snapshot_read = true;
		recover_page(core, shard);
		return;
	}
	body = result->rows[0].value;
	if (!gb_xdr_decode((xdrproc_t)xdr_gb_snapshot_row, &body, &row)) {
		shard_lose(core, shard, "its snapshot cannot be read");
		return;
	}
	shard->log.seq = row.seq;
	shard->log.snapshot = row.seq;
	object_key(key, sizeof(key), shard->id, row.seq);
	store_op_scan(core, key, "", 1, recover_object_read, shard->id, 0);
}

void
recover_start(struct gb_core *core, struct shard *shard)
{
	char key[GB_KEY_MAX + 1];

	snapshot_key(key, sizeof(key), shard->id);
	store_op_scan(core, key, "", 1, recover_snapshot_read, shard->id, 0);
}

void
recover_tick(struct gb_core *core, struct shard *shard)
{
	if (shard->log.phase != LOG_WAITING || core->now < shard->log.retry_at)
		return;
	shard->log.phase = LOG_IDLE;
	if (shard->log.snapshot_read)
		recover_page(core, shard);
	else
		recover_start(core, shard);
}

/* Snapshot */

/** Append an empty record; the array grows at each power of two. */
static gb_record *
batch_add(gb_batch *batch, gb_record_type type)
{
	u_int n = batch->records.records_len++;
	gb_record *record;

	if ((n & (n - 1)) == 0) {
		batch->records.records_val =
		    gb_realloc(batch->records.records_val,
			(n == 0 ? 1 : 2 * n) * sizeof(gb_record));
	}
	record = &batch->records.records_val[n];
	memset(record, 0, sizeof(*record));
	record->type = type;
	return record;
}

/** Add the records that restore a job.  They borrow its strings and lists. */
static void
snapshot_job(struct gb_core *core, gb_batch *batch, const struct job *job)
{
	const struct loan *loan;
	uint32_t i;

	batch_add(batch, GB_REC_JOB)->gb_record_u.job = job->spec;
	if (job->cancelled)
		batch_add(batch, GB_REC_CANCEL)->gb_record_u.cancel = job->id;
	TAILQ_FOREACH(loan, &job->loans, next)
	{
		loan_record(job, loan,
		    &batch_add(batch, GB_REC_LEND)->gb_record_u.lend);
	}
	for (i = 0; i < job->spec.tasks; i++) {
		const struct task *task = &job->tasks[i];
		gb_rec_task *rec;

		if (task->state == TASK_ENDED) {
			rec = &batch_add(batch, GB_REC_END)->gb_record_u.end;
			rec->outcome = task->outcome;
		} else if (task->incarnation != 0) {
			rec =
			    &batch_add(batch, GB_REC_START)->gb_record_u.start;
			rec->incarnation = task->incarnation;
		} else {
			continue;
		}
		rec->id.job = job->id;
		rec->id.index = i;
		rec->id.attempt = task->attempt;
		rec->worker = task->worker == GB_NONE
				  ? (char *)(uintptr_t) ""
				  : worker_get(core, task->worker)->name;
	}
}

/** Add the record that names a worker.  It borrows the worker's strings. */
static void
snapshot_worker(gb_batch *batch, struct worker *w)
{
	gb_instance *in = &batch_add(batch, GB_REC_WORKER)->gb_record_u.worker;

	in->name = w->name;
	in->addr = w->addr;
	in->dc = w->dc;
	in->rack = w->rack;
	in->pool = w->pool;
	in->capacity = w->capacity;
	in->state = w->platform;
}

bool
recover_snapshot(struct gb_core *core, struct shard *shard, gb_body *out)
{
	struct job *job;
	gb_batch batch;
	uint32_t i;
	bool ok;

	memset(&batch, 0, sizeof(batch));
	batch.epoch = shard->epoch;
	batch.owner = core->cfg.incarnation;
	for (i = 0; i < shard->worker_count; i++) {
		struct worker *w = core->workers[shard->workers[i]];

		if (w->durable)
			snapshot_worker(&batch, w);
	}
	for (job = shard->jobs; job != NULL; job = job->hh.next) {
		if (!job->derived)
			snapshot_job(core, &batch, job);
	}
	ok = gb_xdr_encode((xdrproc_t)xdr_gb_batch, &batch, out);
	free(batch.records.records_val);
	return ok;
}
