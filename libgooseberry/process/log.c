/**
 * @file log.c
 * A shard's log in the table service: immutable batches of records, one row
 * each, under the shard and a sequence number.  One write is in flight at a
 * time.
 *
 * Every write has the condition that the shard's row is as this owner wrote it,
 * so the service rejects the writes of an earlier owner.  When the answer to a
 * write is lost, its row is read back.  The same batch is written again only
 * under the same key, where it can take effect only once.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "core.h"

#define LOG_RETRY_BASE (20 * GB_MSEC)
#define LOG_RETRY_MAX GB_SEC
/** A batch with this many records is written without further delay. */
#define LOG_BATCH_MAX 4096
/** Shortest time for which records are collected. */
#define LOG_WINDOW_MIN (2 * GB_MSEC)
/** Maximum number of log rows that the write of a snapshot removes. */
#define SNAPSHOT_TRIM_MAX 2000

void
log_key(char *out, size_t size, uint32_t shard, uint64_t seq)
{
	snprintf(out, size, LOG_PREFIX "%04" PRIu32 "/%016" PRIx64, shard, seq);
}

void
snapshot_key(char *out, size_t size, uint32_t shard)
{
	snprintf(out, size, SNAPSHOT_PREFIX "%04" PRIu32, shard);
}

void
object_key(char *out, size_t size, uint32_t shard, uint64_t seq)
{
	snprintf(
	    out, size, OBJECT_PREFIX "%04" PRIu32 "/%016" PRIx64, shard, seq);
}

static void
entries_free(struct log_entry *entries, u_int count)
{
	u_int i;

	for (i = 0; i < count; i++)
		xdr_free((xdrproc_t)xdr_gb_record, (char *)&entries[i].record);
	free(entries);
}

void
log_clear(struct gb_core *core, struct shard *shard)
{
	struct log *log = &shard->log;

	(void)core;
	entries_free(log->pending, log->pending_count);
	entries_free(log->in_flight, log->in_flight_count);
	memset(log, 0, sizeof(*log));
}

void
log_append(struct gb_core *core, struct shard *shard, gb_record *record,
    uint64_t answer)
{
	struct log *log = &shard->log;

	if (log->pending_count == log->pending_size) {
		log->pending_size = log->pending_size * 2 + 16;
		log->pending = gb_realloc(
		    log->pending, log->pending_size * sizeof(struct log_entry));
	}
	if (log->pending_count == 0)
		log->first_appended_at = core->now;
	log->pending[log->pending_count].record = *record;
	log->pending[log->pending_count].answer = answer;
	log->pending_count++;
	memset(record, 0, sizeof(*record));
}

bool
log_withdraw(struct gb_core *core, struct shard *shard, uint64_t answer)
{
	struct log *log = &shard->log;
	u_int i;

	(void)core;
	for (i = 0; i < log->pending_count; i++) {
		if (log->pending[i].answer != answer)
			continue;
		xdr_free(
		    (xdrproc_t)xdr_gb_record, (char *)&log->pending[i].record);
		log->pending_count--;
		memmove(&log->pending[i], &log->pending[i + 1],
		    (log->pending_count - i) * sizeof(struct log_entry));
		return false;
	}
	return true;
}

/** The batch in flight has been written: apply its records and answer the
 * commands that wait for them. */
static void
log_committed(struct gb_core *core, struct shard *shard)
{
	struct log *log = &shard->log;
	struct log_entry *committed = log->in_flight;
	u_int count = log->in_flight_count;
	uint64_t serial = shard->serial;
	u_int i;

	log->phase = LOG_IDLE;
	log->tries = 0;
	log->seq++;
	log->in_flight = NULL;
	log->in_flight_count = 0;
	core->stats.log_writes++;
	core->stats.log_records += count;
	for (i = 0; i < count && shard->serial == serial; i++) {
		uint64_t answer = committed[i].answer;

		job_commit(core, shard, &committed[i].record, false);
		if (answer != 0) {
			struct command_wait *wait;

			HASH_FIND(
			    hh, core->commands, &answer, sizeof(answer), wait);
			if (wait != NULL) {
				HASH_DEL(core->commands, wait);
				free(wait);
				job_answer_record(
				    core, shard, answer, &committed[i].record);
			}
		}
	}
	shard->dirty = true;
	entries_free(committed, count);
}

static void log_batch_write(struct gb_core *, struct shard *);

/** Write the batch in flight again after a delay. */
static void
log_retry_later(struct gb_core *core, struct shard *shard)
{
	struct log *log = &shard->log;

	log->phase = LOG_WAITING;
	log->retry_at = core->now + gb_retry_delay(&core->retry, log->tries++,
					LOG_RETRY_BASE, LOG_RETRY_MAX);
}

/** Decide from the row that was read back whether the write took effect. */
static void
log_checked(struct gb_core *core, const struct store_op *op,
    const struct store_result *result)
{
	struct shard *shard = &core->shards[op->shard];
	gb_batch found;
	gb_body body;
	bool own;

	if (shard_serial_stale(core, op))
		return;
	if (result->status != GB_STORE_OK) {
		log_retry_later(core, shard);
		return;
	}
	if (result->count == 0) {
		/* Without a row, a conflict can only be on the shard's row. */
		if (op->ref == GB_STORE_CONFLICT)
			shard_lose(core, shard, "its row changed");
		else
			log_retry_later(core, shard);
		return;
	}
	memset(&found, 0, sizeof(found));
	body = result->rows[0].value;
	own = gb_xdr_decode((xdrproc_t)xdr_gb_batch, &body, &found) &&
	      found.owner == core->cfg.incarnation &&
	      found.epoch == shard->epoch;
	xdr_free((xdrproc_t)xdr_gb_batch, (char *)&found);
	if (own)
		log_committed(core, shard);
	else
		shard_lose(core, shard, "another owner wrote its log");
}

/** Read back the row of a write that had an unknown result or a conflict. */
static void
log_check(struct gb_core *core, struct shard *shard, gb_store_status status)
{
	char key[GB_KEY_MAX + 1];

	shard->log.phase = LOG_CHECKING;
	log_key(key, sizeof(key), shard->id, shard->log.seq + 1);
	store_op_scan(core, key, "", 1, log_checked, shard->id, status);
}

static void
log_written(struct gb_core *core, const struct store_op *op,
    const struct store_result *result)
{
	struct shard *shard = &core->shards[op->shard];

	if (shard_serial_stale(core, op))
		return;
	switch (result->status) {
	case GB_STORE_OK:
		log_committed(core, shard);
		break;
	case GB_STORE_INVALID:
	case GB_STORE_REFUSED:
		log_retry_later(core, shard);
		break;
	case GB_STORE_CONFLICT:
	case GB_STORE_UNKNOWN:
		log_check(core, shard, result->status);
		break;
	}
}

static void
log_batch_write(struct gb_core *core, struct shard *shard)
{
	struct log *log = &shard->log;
	char row[GB_KEY_MAX + 1];
	char key[GB_KEY_MAX + 1];
	gb_batch batch;
	gb_body body;
	gb_txn txn;
	u_int i;
	bool ok;

	batch.epoch = shard->epoch;
	batch.owner = core->cfg.incarnation;
	batch.records.records_len = log->in_flight_count;
	batch.records.records_val =
	    gb_calloc(log->in_flight_count, sizeof(gb_record));
	for (i = 0; i < log->in_flight_count; i++)
		batch.records.records_val[i] = log->in_flight[i].record;
	ok = gb_xdr_encode((xdrproc_t)xdr_gb_batch, &batch, &body);
	free(batch.records.records_val);
	if (!ok) {
		shard_lose(core, shard, "a record cannot be encoded");
		return;
	}
	core->stats.log_bytes += body.gb_body_len;
	memset(&txn, 0, sizeof(txn));
	shard_key(row, sizeof(row), shard->id);
	log_key(key, sizeof(key), shard->id, log->seq + 1);
	store_txn_cond(&txn, row, shard->row_vers);
	store_txn_cond(&txn, key, 0);
	store_txn_put(&txn, key, body);
	log->phase = LOG_WRITING;
	store_op_txn(core, &txn, log_written, shard->id, 0);
}

/* Only one batch or snapshot is in flight at a time, so that a snapshot covers
 * exactly the batches that have been written. */

static void
snapshot_done(struct gb_core *core, const struct store_op *op,
    const struct store_result *result)
{
	struct shard *shard = &core->shards[op->shard];
	struct log *log = &shard->log;

	if (shard_serial_stale(core, op))
		return;
	log->phase = LOG_IDLE;
	switch (result->status) {
	case GB_STORE_OK:
		log->snapshot = log->seq;
		log->unconfirmed_snapshot = 0;
		core->stats.snapshots++;
		break;
	case GB_STORE_INVALID:
	case GB_STORE_REFUSED:
	case GB_STORE_UNKNOWN:
		/* The log goes on in both cases; a later snapshot replaces this
		 * one. */
		log->unconfirmed_snapshot = log->seq;
		log->no_snapshot_before =
		    log->seq + core->cfg.snapshot_every / 4 + 1;
		break;
	case GB_STORE_CONFLICT:
		shard_lose(core, shard, "its row changed");
		break;
	}
}

/** Add the removal of an older snapshot's object, 0: none. */
static void
snapshot_remove(gb_txn *txn, uint32_t shard, uint64_t seq)
{
	char key[GB_KEY_MAX + 1];

	if (seq == 0)
		return;
	object_key(key, sizeof(key), shard, seq);
	store_txn_remove(txn, key);
}

/** Write a snapshot, and remove the one before it and the batches that it
 * covers. */
static void
log_snapshot(struct gb_core *core, struct shard *shard)
{
	struct log *log = &shard->log;
	gb_snapshot_row row = {log->seq};
	char key[GB_KEY_MAX + 1];
	gb_body object;
	gb_body body;
	gb_txn txn;
	uint64_t seq;

	if (!recover_snapshot(core, shard, &object))
		return;
	gb_xdr_encode((xdrproc_t)xdr_gb_snapshot_row, &row, &body);
	memset(&txn, 0, sizeof(txn));
	shard_key(key, sizeof(key), shard->id);
	store_txn_cond(&txn, key, shard->row_vers);
	snapshot_key(key, sizeof(key), shard->id);
	store_txn_put(&txn, key, body);
	snapshot_remove(&txn, shard->id, log->snapshot);
	snapshot_remove(&txn, shard->id, log->unconfirmed_snapshot);
	object_key(key, sizeof(key), shard->id, log->seq);
	store_txn_put(&txn, key, object);
	for (seq = log->snapshot + 1;
	     seq <= log->seq && seq <= log->snapshot + SNAPSHOT_TRIM_MAX;
	     seq++) {
		log_key(key, sizeof(key), shard->id, seq);
		store_txn_remove(&txn, key);
	}
	log->phase = LOG_WRITING;
	store_op_txn(core, &txn, snapshot_done, shard->id, 0);
}

/** Time for which records are collected into a batch, so that each shard keeps
 * to an equal part of the writes per second that the whole cell may make. */
static gb_time
log_window(const struct gb_core *core)
{
	gb_time window =
	    (gb_time)core->shard_count * GB_SEC /
	    (core->cfg.write_budget == 0 ? 1 : core->cfg.write_budget);

	return window < LOG_WINDOW_MIN ? LOG_WINDOW_MIN : window;
}

void
log_tick(struct gb_core *core, struct shard *shard)
{
	struct log *log = &shard->log;

	if (log->phase == LOG_WAITING && core->now >= log->retry_at)
		log_batch_write(core, shard);
	if (log->phase != LOG_IDLE)
		return;
	if (log->seq - log->snapshot >= core->cfg.snapshot_every &&
	    log->seq >= log->no_snapshot_before &&
	    shard->state == SHARD_ACTIVE) {
		log_snapshot(core, shard);
		return;
	}
	if (log->pending_count == 0 ||
	    (core->now - log->first_appended_at < log_window(core) &&
		log->pending_count < LOG_BATCH_MAX))
		return;
	log->in_flight = log->pending;
	log->in_flight_count = log->pending_count;
	log->pending = NULL;
	log->pending_count = 0;
	log->pending_size = 0;
	log_batch_write(core, shard);
}
