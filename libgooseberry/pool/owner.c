/**
 * @file owner.c
 * Ownership of the pool: acquiring it, attaching its partitions, losing it.
 *
 * Each partition of the tables has an owner's row that names an epoch.
 * Claiming a partition is a compare-and-set of that row, and every write to the
 * partition requires the row to be unchanged.  A node owns the pool once it
 * holds the rows of most partitions under one epoch, from which the workers'
 * fencing tokens are made.  Any two majorities share a partition: so no two
 * nodes own the pool under the same epoch, and a claim that has read most rows
 * knows every earlier epoch of an owner.
 *
 * Partitions that the store can't serve are attached once it serves them again;
 * until then this owner neither answers questions about their flows nor starts
 * tasks of them.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "crash.h"
#include "state.h"

/** Longest time for pending writes when the ownership is released. */
#define OWNER_RELEASE_TIMEOUT (1500 * GB_MSEC)
/** Interval at which the inbox is read, which names flows that were stored
 * without the owner; it is shorter after some were found (see load.c).  The
 * most urgent flows have 0.75 s to spare. */
#define OWNER_INBOX_INTERVAL (GB_SEC)
/** Number of partitions that an owner must hold. */
#define OWNER_MAJORITY GB_POOL_PARTITIONS_RENEWED
/** Timeout of a claim that doesn't hold most partitions.  Reads and a write
 * take 1.2 s when the store is a hundred times slower. */
#define OWNER_CLAIM_TIMEOUT (4 * GB_SEC)
/** Time after which a rival with the same epoch has won, if it has not given up
 * by then.  A claim takes 15 ms at normal load. */
#define OWNER_RIVAL_TIMEOUT (300 * GB_MSEC)
/** Time for which an owner of most partitions waits for the others before it
 * begins to work.  A partition is read within 15 ms at normal load. */
#define OWNER_ATTACH_WAIT (200 * GB_MSEC)
/** Pause before the next try to attach a partition whose row a rival wrote; a
 * rival that loses gives up within milliseconds. */
#define ATTACH_RIVAL_PAUSE (25 * GB_MSEC)
/** Pause before the next try after a failure; it doubles with each further
 * failure, at most ATTACH_RETRY_DOUBLINGS times. */
#define ATTACH_RETRY_PAUSE (100 * GB_MSEC)
#define ATTACH_RETRY_DOUBLINGS 2

bool
pool_partition_attached(const struct gb_pool *pool, uint32_t partition)
{
	return pool->partitions[partition].attach == POOL_ATTACH_DONE;
}

bool
pool_partition_attach_likely(const struct gb_pool *pool, uint32_t partition)
{
	return pool->partitions[partition].attach_failures == 0;
}

bool
pool_owner_reconciled(const struct gb_pool *pool)
{
	uint32_t i;

	for (i = 0; i < GB_POOL_PARTITIONS; i++) {
		if (!pool_partition_attached(pool, i) ||
		    !pool->partitions[i].reconciled)
			return false;
	}
	return true;
}

bool
gb_pool_store_unavailable(const struct gb_pool *pool)
{
	unsigned int unavailable = 0;
	uint32_t i;

	for (i = 0; i < GB_POOL_PARTITIONS; i++)
		unavailable += pool_writer_unavailable(pool, i) ||
			       pool_probe_overdue(pool, i);
	return pool->phase == POOL_OWNER_ACTIVE &&
	       unavailable >= OWNER_MAJORITY;
}

/** Number of partitions that are attached at least as far as this. */
static unsigned int
partitions_at_least(const struct gb_pool *pool, enum pool_attach attach)
{
	unsigned int count = 0;
	uint32_t i;

	for (i = 0; i < GB_POOL_PARTITIONS; i++)
		count += pool->partitions[i].attach >= attach;
	return count;
}

static void
owner_clear(struct gb_pool *pool)
{
	struct pool_flow *flow;
	struct pool_flow *next;

	HASH_ITER(hh, pool->flows, flow, next)
	{
		pool_flow_free(pool, flow);
	}
	pool_pages_reset(pool);
	pool_advice_reset(pool);
	pool_workers_reset(pool);
	pool_writer_reset(pool);
	pool_authority_reset(pool);
}

/** Marks the rows that a failed claim has written as vacant, so that the next
 * claim doesn't take them for the rows of an owner. */
static void
owner_rows_vacate(struct gb_pool *pool)
{
	struct gb_pool_row cond = {0};
	struct gb_pool_row put = {0};
	struct gb_pool_txn txn = {0};
	uint32_t i;

	cond.table = put.table = GB_POOL_OWNERS;
	cond.key = put.key = GB_POOL_OWNER_KEY;
	for (i = 0; i < GB_POOL_PARTITIONS; i++) {
		if (pool->partitions[i].attach < POOL_ATTACH_LOADING)
			continue;
		cond.vers = pool->partitions[i].owner_vers;
		if (!pool_writer_owner_body(
			pool, pool->claim_epoch, 2, true, &put.value))
			abort(); /* names were checked with the settings */
		txn.partition = i;
		txn.conds = &cond;
		txn.cond_count = 1;
		txn.puts = &put;
		txn.put_count = 1;
		pool->ops.txn(pool->ops.data,
		    pool_call_new(pool, POOL_CALL_OWNER_TXN)->id, &txn);
		free(put.value.gb_body_val);
	}
}

/** Ends a claim that has failed. */
static void
owner_give_up(struct gb_pool *pool, const char *why)
{
	gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "takeover_failed",
	    "{s:s, s:I, s:I, s:s, s:s, s:I}", "why", why, "epoch",
	    (json_int_t)pool->epoch, "claimed",
	    (json_int_t)partitions_at_least(pool, POOL_ATTACH_LOADING),
	    "winner", pool->rival.addr, "winner_name", pool->rival.name,
	    "winner_epoch", (json_int_t)pool->rival.epoch);
	pool->stats.takeovers_failed++;
	owner_rows_vacate(pool);
	pool->phase = POOL_OWNER_NONE;
	pool->term++;
	owner_clear(pool);
}

void
pool_owner_lose(struct gb_pool *pool, const char *why, uint64_t epoch)
{
	bool owned = pool->phase == POOL_OWNER_ACTIVE ||
		     pool->phase == POOL_OWNER_RELEASING;
	const struct pool_rival rival = pool_rival_newer(pool);

	if (pool->phase == POOL_OWNER_NONE)
		return;
	gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "ownership_lost",
	    "{s:s, s:I, s:I, s:s, s:s, s:I}", "why", why, "epoch",
	    (json_int_t)pool->epoch, "newer", (json_int_t)epoch, "winner",
	    rival.addr, "winner_name", rival.name, "winner_epoch",
	    (json_int_t)rival.epoch);
	pool->stats.takeovers_failed += !owned;
	if (pool->phase == POOL_OWNER_ACTIVE)
		contention_owner_deposed(&pool->contention, pool->now);
	pool->phase = POOL_OWNER_NONE;
	pool->term++;
	if (epoch > pool->epoch)
		pool->epoch = epoch;
	owner_clear(pool);
	if (owned) {
		pool->stats.losses++;
		pool->ops.owner(pool->ops.data, false, pool->epoch);
	}
}

/* Attaching a partition --------------------------------------------------- */

static void
partition_row_read(struct gb_pool *pool, uint32_t number)
{
	struct pool_call *call = pool_call_new(pool, POOL_CALL_OWNER_READ);
	const struct gb_pool_read read = {number, GB_POOL_OWNERS,
	    GB_POOL_OWNER_KEY, GB_POOL_OWNER_KEY "0", 1, 0};

	pool->partitions[number].attach = POOL_ATTACH_READING;
	call->partition = number;
	pool->stats.reads++;
	pool->ops.read(pool->ops.data, call->id, &read);
}

static void
partition_attach_retry(
    struct gb_pool *pool, struct pool_partition *partition, gb_time pause)
{
	partition->attach = POOL_ATTACH_NONE;
	partition->attach_at = pool->now + pause;
}

/** Handles that a store call failed, or has an unknown result, while a
 * partition was being attached.  Gives up the claim when too few partitions are
 * left for a majority. */
static void
partition_attach_failed(struct gb_pool *pool, uint32_t number)
{
	struct pool_partition *partition = &pool->partitions[number];
	unsigned int failing_partitions = 0;
	uint32_t i;

	partition_attach_retry(pool, partition,
	    ATTACH_RETRY_PAUSE
		<< (partition->attach_failures < ATTACH_RETRY_DOUBLINGS
			   ? partition->attach_failures
			   : ATTACH_RETRY_DOUBLINGS));
	partition->attach_failures++;
	if (partition->attach_failures == 1)
		gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "part_out",
		    "{s:I, s:I}", "part", (json_int_t)number, "epoch",
		    (json_int_t)pool->claim_epoch);
	for (i = 0; i < GB_POOL_PARTITIONS; i++)
		failing_partitions += pool->partitions[i].attach_failures > 0;
	if (pool->phase < POOL_OWNER_LOADING &&
	    failing_partitions > GB_POOL_PARTITIONS - OWNER_MAJORITY)
		owner_give_up(pool, "the store did not answer");
}

/** Loads a partition that was claimed.  The claim is won with the majority. */
static void
partition_claimed(struct gb_pool *pool, uint32_t number)
{
	pool->partitions[number].attach = POOL_ATTACH_LOADING;
	if (pool->phase == POOL_OWNER_CLAIMING &&
	    partitions_at_least(pool, POOL_ATTACH_LOADING) >= OWNER_MAJORITY) {
		pool->phase = POOL_OWNER_LOADING;
		pool->epoch = pool->claim_epoch;
		pool->claim_won_at = pool->now;
		gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "ownership_claimed",
		    "{s:I}", "epoch", (json_int_t)pool->epoch);
	}
	pool_load_begin(pool, number);
}

static void
partition_claim_send(struct gb_pool *pool, uint32_t number)
{
	struct pool_call *call = pool_call_new(pool, POOL_CALL_OWNER_TXN);
	struct gb_pool_row cond = {0};
	struct gb_pool_row put = {0};
	const struct gb_pool_txn txn = {number, &cond, 1, &put, 1};

	pool->partitions[number].attach = POOL_ATTACH_CLAIMING;
	call->partition = number;
	cond.table = put.table = GB_POOL_OWNERS;
	cond.key = put.key = GB_POOL_OWNER_KEY;
	cond.vers = pool->partitions[number].owner_vers;
	if (!pool_writer_owner_body(
		pool, pool->claim_epoch, 1, false, &put.value))
		abort(); /* names were checked with the settings */
	pool->ops.txn(pool->ops.data, call->id, &txn);
	free(put.value.gb_body_val);
}

/** Handles a row that has the epoch of this claim but was not written by it,
 * while this node doesn't hold most partitions.  A vacant row may be left by an
 * owner, whose epoch must not be used again; any other belongs to a rival with
 * the same epoch, which gives up soon or has won. */
static void
partition_epoch_taken(struct gb_pool *pool, uint32_t number)
{
	struct pool_partition *partition = &pool->partitions[number];

	if (partition->row_vacant || number == pool->claim_deciding_partition ||
	    pool->now - pool->claim_began_at > OWNER_RIVAL_TIMEOUT)
		owner_give_up(pool, "another node was first");
	else
		partition_attach_retry(pool, partition, ATTACH_RIVAL_PAUSE);
}

/** Claims a partition whose row was read.  A node that holds most partitions
 * may overwrite a row of its epoch that another node wrote: no other node was
 * or will be the owner under this epoch. */
static void
partition_claim(struct gb_pool *pool, uint32_t number)
{
	struct pool_partition *partition = &pool->partitions[number];

	if (partition->row_epoch > pool->claim_epoch &&
	    pool->phase >= POOL_OWNER_LOADING)
		pool_owner_lose(
		    pool, "another node owns the pool", partition->row_epoch);
	else if (partition->row_epoch > pool->claim_epoch)
		owner_give_up(pool, "another node was first");
	else if (partition->row_written_by_claim)
		partition_claimed(pool, number);
	else if (partition->row_epoch == pool->claim_epoch &&
		 pool->phase < POOL_OWNER_LOADING)
		partition_epoch_taken(pool, number);
	else
		partition_claim_send(pool, number);
}

/** Chooses the new epoch once most rows are known, above all epochs in them,
 * and claims their partitions.  Claims that meet at the same rows decide by the
 * first of these partitions: who loses it gives up. */
static void
owner_choose_epoch(struct gb_pool *pool)
{
	const struct contention_row none = {0, 0};
	const struct contention_row *previous = &none;
	uint64_t newest = 0;
	uint32_t i;

	pool->claim_epoch = pool->epoch + 1;
	pool->claim_deciding_partition = GB_POOL_PARTITIONS;
	pool->phase = POOL_OWNER_CLAIMING;
	for (i = 0; i < GB_POOL_PARTITIONS; i++) {
		const struct pool_partition *partition = &pool->partitions[i];

		if (partition->attach != POOL_ATTACH_READ)
			continue;
		if (pool->claim_deciding_partition == GB_POOL_PARTITIONS)
			pool->claim_deciding_partition = i;
		if (partition->row_epoch >= pool->claim_epoch)
			pool->claim_epoch = partition->row_epoch + 1;
		if (partition->row_epoch > newest) {
			newest = partition->row_epoch;
			previous = &partition->row_contention;
		}
	}
	contention_take_over(&pool->contention, pool->now, previous,
	    pool->cfg.incarnation, pool->claim_cause);
	for (i = 0; i < GB_POOL_PARTITIONS && pool->phase != POOL_OWNER_NONE;
	     i++) {
		if (pool->partitions[i].attach == POOL_ATTACH_READ)
			partition_claim(pool, i);
	}
}

/** Applies the owner's row of a partition as it was read; returns false when it
 * is unreadable. */
static bool
partition_row_apply(struct gb_pool *pool, struct pool_partition *partition,
    gb_time sent, const struct gb_pool_read_res *res)
{
	struct gb_owner_record record = {0};
	const gb_owner_row *row = &record.row;

	partition->owner_vers = 0;
	partition->row_epoch = 0;
	partition->row_vacant = true;
	partition->row_written_by_claim = false;
	memset(
	    &partition->row_contention, 0, sizeof(partition->row_contention));
	if (res->row_count == 0)
		return true;
	if (!gb_owner_record_decode(&record, &res->rows[0].value))
		return false;
	partition->owner_vers = res->rows[0].vers;
	partition->row_epoch = row->epoch;
	partition->row_vacant = row->addr[0] == '\0';
	partition->row_written_by_claim =
	    pool->claim_epoch != 0 && row->epoch == pool->claim_epoch &&
	    !partition->row_vacant && row->incarnation == pool->cfg.incarnation;
	if (partition->row_written_by_claim)
		partition->confirmed = sent;
	partition->row_contention.count = record.contested;
	partition->row_contention.incarnation =
	    partition->row_vacant ? 0 : row->incarnation;
	partition->serial = row->serial;
	pool_rival_read(pool, row);
	gb_owner_record_clear(&record);
	return true;
}

static void
partition_row_read_done(struct gb_pool *pool, const struct pool_call *call,
    const struct gb_pool_read_res *res)
{
	uint32_t number = call->partition;
	struct pool_partition *partition = &pool->partitions[number];

	if (partition->attach != POOL_ATTACH_READING)
		return;
	if (res->status != GB_STORE_OK) {
		partition_attach_failed(pool, number);
		return;
	}
	partition->attach_failures = 0;
	if (!partition_row_apply(pool, partition, call->sent, res)) {
		owner_give_up(pool, "the owner's row is unreadable");
		return;
	}
	if (pool->phase != POOL_OWNER_READING) {
		partition_claim(pool, number);
		return;
	}
	if (partition->row_epoch > pool->claim_previous_epoch &&
	    !partition->row_vacant) {
		owner_give_up(pool, "another node was first");
		return;
	}
	partition->attach = POOL_ATTACH_READ;
	if (partitions_at_least(pool, POOL_ATTACH_READ) >= OWNER_MAJORITY)
		owner_choose_epoch(pool);
}

void
pool_owner_txn_done(struct gb_pool *pool, const struct pool_call *call,
    const struct gb_pool_txn_res *res)
{
	struct pool_partition *partition = &pool->partitions[call->partition];

	if (partition->attach != POOL_ATTACH_CLAIMING)
		return;
	if (res->status == GB_STORE_OK) {
		pool->confirmed = call->sent;
		partition->confirmed = call->sent;
		partition->owner_vers = res->vers;
		partition->serial = 1;
		partition_claimed(pool, call->partition);
	} else if (res->status != GB_STORE_CONFLICT) {
		partition_attach_failed(pool, call->partition);
	} else if (pool->phase == POOL_OWNER_CLAIMING &&
		   call->partition == pool->claim_deciding_partition) {
		pool_rival_conflict(pool, res);
		owner_give_up(pool, "another node was first");
	} else {
		partition_attach_retry(pool, partition, ATTACH_RIVAL_PAUSE);
	}
}

/* Becoming the owner ------------------------------------------------------ */

/** Begins to work on a partition that is loaded. */
static void
partition_attached(struct gb_pool *pool, uint32_t number)
{
	struct pool_partition *partition = &pool->partitions[number];

	partition->attach = POOL_ATTACH_DONE;
	partition->attach_failures = 0;
	partition->renewed = pool->now;
	partition->attached_at = pool->now;
	/* Without a row there was no earlier owner. */
	partition->reconciled = partition->row_epoch == 0;
	partition->has_unknown_losses = false;
	pool->inbox_read_at = pool->now;
	pool->work_changed = true;
	pool_report_partition_attached(pool, number);
	if (pool->phase == POOL_OWNER_ACTIVE)
		gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "part_attached",
		    "{s:I, s:I, s:I}", "part", (json_int_t)number, "epoch",
		    (json_int_t)pool->epoch, "after_ms",
		    (json_int_t)((pool->now - pool->claim_began_at) / GB_MSEC));
}

/** Whether a partition is likely to be attached soon but isn't yet. */
static bool
partitions_attach_pending(const struct gb_pool *pool)
{
	uint32_t i;

	for (i = 0; i < GB_POOL_PARTITIONS; i++) {
		if (!pool_partition_attached(pool, i) &&
		    pool_partition_attach_likely(pool, i))
			return true;
	}
	return false;
}

/** Starts to work as the owner once most partitions are loaded, and the others
 * too unless they take too long. */
static void
owner_begin(struct gb_pool *pool)
{
	if (pool->phase != POOL_OWNER_LOADING ||
	    partitions_at_least(pool, POOL_ATTACH_DONE) < OWNER_MAJORITY ||
	    (partitions_attach_pending(pool) &&
		pool->now - pool->claim_won_at < OWNER_ATTACH_WAIT))
		return;
	pool->phase = POOL_OWNER_ACTIVE;
	pool->confirmed = pool->now;
	pool->stats.takeovers++;
	gb_histogram_add(
	    &pool->stats.takeover_us, pool->now - pool->claim_began_at);
	gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "ownership_gained",
	    "{s:I, s:I, s:I, s:I, s:I}", "epoch", (json_int_t)pool->epoch,
	    "parts", (json_int_t)partitions_at_least(pool, POOL_ATTACH_DONE),
	    "open_flows", (json_int_t)pool->open_count, "workers",
	    (json_int_t)pool->worker_count, "took_ms",
	    (json_int_t)((pool->now - pool->claim_began_at) / GB_MSEC));
	pool->ops.owner(pool->ops.data, true, pool->epoch);
}

static void
partition_load_done(struct gb_pool *pool, const struct pool_call *call,
    const struct gb_pool_read_res *res)
{
	switch (pool_load_done(pool, call, res)) {
	case POOL_LOAD_CONTINUES:
		break;
	case POOL_LOAD_DONE:
		partition_attached(pool, call->partition);
		owner_begin(pool);
		break;
	case POOL_LOAD_FAILED:
		pool_load_drop(pool, call->partition);
		partition_attach_failed(pool, call->partition);
		break;
	}
}

void
pool_owner_read_done(struct gb_pool *pool, const struct pool_call *call,
    const struct gb_pool_read_res *res)
{
	if (res->status == GB_STORE_OK && call->kind != POOL_CALL_PROBE)
		pool->confirmed = call->sent;
	switch (call->kind) {
	case POOL_CALL_PROBE:
		pool_probe_done(pool, call, res);
		break;
	case POOL_CALL_OWNER_READ:
		partition_row_read_done(pool, call, res);
		break;
	case POOL_CALL_INBOX_LIST:
	case POOL_CALL_INBOX_FLOW:
		pool_load_inbox_done(pool, call, res);
		break;
	default:
		partition_load_done(pool, call, res);
		break;
	}
}

void
pool_owner_acquire(
    struct gb_pool *pool, uint64_t after, enum takeover_cause cause)
{
	uint32_t i;

	if (pool->phase != POOL_OWNER_NONE)
		return;
	pool->term++;
	owner_clear(pool);
	pool->phase = POOL_OWNER_READING;
	pool->claim_began_at = pool->now;
	pool->claim_previous_epoch = after;
	memset(&pool->rival, 0, sizeof(pool->rival));
	pool->claim_cause = cause;
	memset(&pool->rival, 0, sizeof(pool->rival));
	pool->claim_epoch = 0;
	gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "takeover_begun", "{s:I}",
	    "known_epoch", (json_int_t)pool->epoch);
	for (i = 0; i < GB_POOL_PARTITIONS; i++)
		partition_row_read(pool, i);
}

/* Working as the owner ---------------------------------------------------- */

/** Whether every worker that may run tasks of a partition has reported its runs
 * to this owner since the partition was attached.  A worker whose entry can't
 * be used and that no owner recorded needn't answer: an address where nothing
 * listens would delay each takeover until all leases have expired. */
static bool
partition_all_reported(const struct gb_pool *pool, uint32_t number)
{
	const struct pool_partition *partition = &pool->partitions[number];
	uint32_t i;

	if (!pool->listed || pool->worker_count == 0)
		return false;
	for (i = 0; i < pool->worker_count; i++) {
		const struct pool_worker *worker = pool->workers[i];

		if (!pool_worker_offered(worker) && !worker->fenced &&
		    (worker->in_stored_sets & (UINT32_C(1) << number)) == 0)
			continue;
		if (!worker->ended &&
		    (!worker->fenced ||
			worker->report_sent_at < partition->attached_at))
			return false;
	}
	return true;
}

/** Time by which all runs of earlier owners on unreachable workers have ended.
 * A partition may be attached before most of them are claimed, while an earlier
 * owner still works. */
static gb_time
partition_reconcile_at(
    const struct gb_pool *pool, const struct pool_partition *partition)
{
	return pool_authority_leases_expired_at(pool,
	    partition->attached_at > pool->claim_won_at ? partition->attached_at
							: pool->claim_won_at);
}

/** Marks a partition as reconciled once all workers have reported or all leases
 * of earlier owners have expired. */
static void
partition_reconcile(struct gb_pool *pool, uint32_t number)
{
	struct pool_partition *partition = &pool->partitions[number];
	bool all_reported;

	if (partition->attach != POOL_ATTACH_DONE || partition->reconciled)
		return;
	all_reported = partition_all_reported(pool, number);
	if (!all_reported &&
	    pool->now < partition_reconcile_at(pool, partition))
		return;
	partition->reconciled = true;
	if (!all_reported || partition->has_unknown_losses)
		pool_crash_plan_starts(pool, number);
	pool->work_changed = true;
	gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "takeover_settled",
	    "{s:I, s:I, s:I, s:b}", "epoch", (json_int_t)pool->epoch, "part",
	    (json_int_t)number, "took_ms",
	    (json_int_t)((pool->now - pool->claim_began_at) / GB_MSEC),
	    "all_workers", all_reported);
}

static void
partition_tick(struct gb_pool *pool, uint32_t number)
{
	struct pool_partition *partition = &pool->partitions[number];
	gb_time last_written;

	if (partition->attach == POOL_ATTACH_NONE &&
	    partition->attach_at <= pool->now)
		partition_row_read(pool, number);
	partition_reconcile(pool, number);
	last_written = number < GB_POOL_PARTITIONS_RENEWED ? partition->renewed
							   : partition->sent;
	/* After a long load the claim no longer confirms this owner. */
	if (partition->attach == POOL_ATTACH_DONE &&
	    (pool->now - last_written > POOL_OWNER_RENEW_INTERVAL ||
		!pool_authority_held(pool)))
		partition->renew = true;
}

static void
owner_inbox_read(struct gb_pool *pool)
{
	uint32_t i;

	if (pool->inbox_read_at > pool->now)
		return;
	pool->inbox_read_at = pool->now + OWNER_INBOX_INTERVAL;
	for (i = 0; i < GB_POOL_PARTITIONS; i++)
		pool_load_inbox(pool, i);
}

void
pool_owner_tick(struct gb_pool *pool)
{
	uint32_t i;

	if (pool->phase == POOL_OWNER_NONE)
		return;
	if (pool->phase == POOL_OWNER_RELEASING) {
		if (pool_writer_idle(pool) ||
		    pool->now > pool->release_timeout_at)
			pool_owner_lose(pool, "released", 0);
		return;
	}
	if (pool->phase < POOL_OWNER_LOADING &&
	    pool->now - pool->claim_began_at > OWNER_CLAIM_TIMEOUT) {
		owner_give_up(pool, "most parts could not be claimed in time");
		return;
	}
	pool_authority_count_fenced(pool);
	for (i = 0; i < GB_POOL_PARTITIONS; i++)
		partition_tick(pool, i);
	owner_begin(pool);
	if (pool->phase != POOL_OWNER_ACTIVE)
		return;
	pool_authority_tick(pool);
	contention_tick(&pool->contention, pool->now);
	owner_inbox_read(pool);
}

void
pool_owner_process_alive(struct gb_pool *pool, uint64_t incarnation)
{
	uint32_t i;

	if (pool->phase != POOL_OWNER_ACTIVE ||
	    !contention_process_alive(
		&pool->contention, pool->now, incarnation))
		return;
	gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "takeover_contested",
	    "{s:I, s:I}", "epoch", (json_int_t)pool->epoch, "contested",
	    (json_int_t)pool->contention.count);
	for (i = 0; i < GB_POOL_PARTITIONS; i++)
		pool->partitions[i].renew = pool_partition_attached(pool, i);
}

void
pool_owner_release(struct gb_pool *pool)
{
	uint32_t i;

	if (pool->phase != POOL_OWNER_ACTIVE) {
		if (pool->phase != POOL_OWNER_RELEASING)
			pool_owner_lose(pool, "stopping", 0);
		return;
	}
	pool->phase = POOL_OWNER_RELEASING;
	pool_announce_withdraw_all(pool);
	pool->release_timeout_at = pool->now + OWNER_RELEASE_TIMEOUT;
	for (i = 0; i < GB_POOL_PARTITIONS; i++)
		pool->partitions[i].renew = pool_partition_attached(pool, i);
}
