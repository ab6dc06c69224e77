/**
 * @file owner.c
 * Ownership of the pool: taking it, attaching its parts, losing it.
 *
 * Each part of the tables has an owner's row that names an epoch; taking a part
 * is a compare-and-set of that row, and every write to the part is bound to it.
 * A node owns the pool once it holds the rows of most parts under one epoch,
 * from which the workers' fencing tokens are made: any two majorities share a
 * part, so that no two nodes own the pool under the same epoch, and a claim
 * that has read most rows knows of every epoch that was ever in force.  Parts
 * that the store does not serve are attached when it serves them again;
 * meanwhile nothing is said or done about their flows.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "crash.h"
#include "state.h"

/** Every lease that an earlier owner gave is over this much after its longest
 * length on the slowest clock: it learns of its loss with its next write or
 * the next answer of a worker, half a second at the most. */
#define OWNER_RECONCILE_MARGIN (900 * GB_MSEC)
/** Writes that are pending at a stop are given this long. */
#define OWNER_RELEASE (1500 * GB_MSEC)
/** Flows stored without the owner are looked for this often, and sooner after
 * some were found: the most urgent have three quarters of a second to spare. */
#define OWNER_INBOX (GB_SEC)
/** Parts that make an owner. */
#define OWNER_MAJORITY GB_POOL_PARTITIONS_RENEWED
/** A claim that has not come to most parts by then is given up: reads and a
 * write take 1.2 s when the store is a hundred times slower. */
#define OWNER_CLAIM_MOST (4 * GB_SEC)
/** A rival in the same race who has not given up by then has won: a claim takes
 * 15 ms when all is calm. */
#define OWNER_RIVAL_MOST (300 * GB_MSEC)
/** An owner of most parts waits this long for the others before it begins; a
 * part is read within 15 ms when all is calm. */
#define OWNER_ATTACH_WAIT (200 * GB_MSEC)
/** Pause before a part is tried again: after a rival was seen, who gives up
 * within milliseconds, and after a failure, doubled with each. */
#define ATTACH_RIVAL (25 * GB_MSEC)
#define ATTACH_RETRY (100 * GB_MSEC)
#define ATTACH_RETRY_DOUBLINGS 2

bool
pool_partition_attached(const struct gb_pool *pool, uint32_t partition)
{
	return pool->partitions[partition].attach == POOL_ATTACH_DONE;
}

bool
pool_partition_coming(const struct gb_pool *pool, uint32_t partition)
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
	unsigned int out = 0;
	uint32_t i;

	for (i = 0; i < GB_POOL_PARTITIONS; i++)
		out += pool_writer_unavailable(pool, i);
	return pool->phase == POOL_OWNER_ACTIVE && out >= OWNER_MAJORITY;
}

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
owner_forget(struct gb_pool *pool)
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
}

/** Rows that were claimed in vain are left vacant, so that the next claim need
 * not find out who wrote them. */
static void
owner_vacate(struct gb_pool *pool)
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
	owner_vacate(pool);
	pool->phase = POOL_OWNER_NONE;
	pool->term++;
	owner_forget(pool);
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
	owner_forget(pool);
	if (owned) {
		pool->stats.losses++;
		pool->ops.owner(pool->ops.data, false, pool->epoch);
	}
}

/* Attaching a part -------------------------------------------------------- */

static void
partition_read(struct gb_pool *pool, uint32_t number)
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
partition_retry(
    struct gb_pool *pool, struct pool_partition *partition, gb_time pause)
{
	partition->attach = POOL_ATTACH_NONE;
	partition->attach_at = pool->now + pause;
}

/** The store did not answer for a part, or not surely. */
static void
partition_failed(struct gb_pool *pool, uint32_t number)
{
	struct pool_partition *partition = &pool->partitions[number];
	unsigned int failing = 0;
	uint32_t i;

	partition_retry(pool, partition,
	    ATTACH_RETRY << (partition->attach_failures < ATTACH_RETRY_DOUBLINGS
				 ? partition->attach_failures
				 : ATTACH_RETRY_DOUBLINGS));
	partition->attach_failures++;
	if (partition->attach_failures == 1)
		gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "part_out",
		    "{s:I, s:I}", "part", (json_int_t)number, "epoch",
		    (json_int_t)pool->claim_epoch);
	for (i = 0; i < GB_POOL_PARTITIONS; i++)
		failing += pool->partitions[i].attach_failures > 0;
	if (pool->phase < POOL_OWNER_LOADING &&
	    failing > GB_POOL_PARTITIONS - OWNER_MAJORITY)
		owner_give_up(pool, "the store did not answer");
}

static void
partition_claimed(struct gb_pool *pool, uint32_t number)
{
	pool->partitions[number].attach = POOL_ATTACH_LOADING;
	if (pool->phase == POOL_OWNER_CLAIMING &&
	    partitions_at_least(pool, POOL_ATTACH_LOADING) >= OWNER_MAJORITY) {
		pool->phase = POOL_OWNER_LOADING;
		pool->epoch = pool->claim_epoch;
		pool->claimed_at = pool->now;
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

/** What to do about a row that bears the epoch of this claim and is not its
 * own, while this node does not hold most parts.  A vacant one may have been
 * left by an owner, whose epoch must not be in force again; any other belongs
 * to a rival in the same race, who gives up soon or has won. */
static void
partition_contested(struct gb_pool *pool, uint32_t number)
{
	struct pool_partition *partition = &pool->partitions[number];

	if (partition->row_vacant || number == pool->claim_first ||
	    pool->now - pool->taken_at > OWNER_RIVAL_MOST)
		owner_give_up(pool, "another node was first");
	else
		partition_retry(pool, partition, ATTACH_RIVAL);
}

/** Claim a part whose row has been read.  Who holds most parts knows that
 * nobody else was or will be the owner under this epoch. */
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
	else if (partition->row_own)
		partition_claimed(pool, number);
	else if (partition->row_epoch == pool->claim_epoch &&
		 pool->phase < POOL_OWNER_LOADING)
		partition_contested(pool, number);
	else
		partition_claim_send(pool, number);
}

/** Most rows are known: the new epoch is above all that were in force. */
static void
owner_choose_epoch(struct gb_pool *pool)
{
	const struct contention_row none = {0, 0};
	const struct contention_row *before = &none;
	uint64_t newest = 0;
	uint32_t i;

	pool->claim_epoch = pool->epoch + 1;
	pool->claim_first = GB_POOL_PARTITIONS;
	pool->phase = POOL_OWNER_CLAIMING;
	for (i = 0; i < GB_POOL_PARTITIONS; i++) {
		const struct pool_partition *partition = &pool->partitions[i];

		if (partition->attach != POOL_ATTACH_READ)
			continue;
		if (pool->claim_first == GB_POOL_PARTITIONS)
			pool->claim_first = i;
		if (partition->row_epoch >= pool->claim_epoch)
			pool->claim_epoch = partition->row_epoch + 1;
		if (partition->row_epoch > newest) {
			newest = partition->row_epoch;
			before = &partition->row_contention;
		}
	}
	contention_take_over(&pool->contention, pool->now, before,
	    pool->cfg.incarnation, pool->claim_cause);
	for (i = 0; i < GB_POOL_PARTITIONS && pool->phase != POOL_OWNER_NONE;
	     i++) {
		if (pool->partitions[i].attach == POOL_ATTACH_READ)
			partition_claim(pool, i);
	}
}

/** Take in the owner's row of a part; false when it is unreadable. */
static bool
partition_row(struct gb_pool *pool, struct pool_partition *partition,
    const struct gb_pool_read_res *res)
{
	struct gb_owner_record record = {0};
	const gb_owner_row *row = &record.row;

	partition->owner_vers = 0;
	partition->row_epoch = 0;
	partition->row_vacant = true;
	partition->row_own = false;
	memset(
	    &partition->row_contention, 0, sizeof(partition->row_contention));
	if (res->row_count == 0)
		return true;
	if (!gb_owner_record_decode(&record, &res->rows[0].value))
		return false;
	partition->owner_vers = res->rows[0].vers;
	partition->row_epoch = row->epoch;
	partition->row_vacant = row->addr[0] == '\0';
	partition->row_own =
	    pool->claim_epoch != 0 && row->epoch == pool->claim_epoch &&
	    !partition->row_vacant && row->incarnation == pool->cfg.incarnation;
	partition->row_contention.count = record.contested;
	partition->row_contention.incarnation =
	    partition->row_vacant ? 0 : row->incarnation;
	partition->serial = row->serial;
	pool_rival_read(pool, row);
	gb_owner_record_clear(&record);
	return true;
}

static void
partition_row_read(
    struct gb_pool *pool, uint32_t number, const struct gb_pool_read_res *res)
{
	struct pool_partition *partition = &pool->partitions[number];

	if (partition->attach != POOL_ATTACH_READING)
		return;
	if (res->status != GB_STORE_OK) {
		partition_failed(pool, number);
		return;
	}
	partition->attach_failures = 0;
	if (!partition_row(pool, partition, res)) {
		owner_give_up(pool, "the owner's row is unreadable");
		return;
	}
	if (pool->phase != POOL_OWNER_READING) {
		partition_claim(pool, number);
		return;
	}
	if (partition->row_epoch > pool->claim_after &&
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
		partition->owner_vers = res->vers;
		partition->serial = 1;
		partition_claimed(pool, call->partition);
	} else if (res->status != GB_STORE_CONFLICT) {
		partition_failed(pool, call->partition);
	} else if (pool->phase == POOL_OWNER_CLAIMING &&
		   call->partition == pool->claim_first) {
		pool_rival_conflict(pool, res);
		owner_give_up(pool, "another node was first");
	} else {
		partition_retry(pool, partition, ATTACH_RIVAL);
	}
}

/* Becoming the owner ------------------------------------------------------ */

static void
partition_attached(struct gb_pool *pool, uint32_t number)
{
	struct pool_partition *partition = &pool->partitions[number];
	gb_time lease = pool_worker_lease_most(pool);

	partition->attach = POOL_ATTACH_DONE;
	partition->attach_failures = 0;
	partition->renewed = pool->now;
	partition->attached_at = pool->now;
	partition->reconcile_at = pool->now +
				  lease * 1000 / POOL_CLOCK_SLOWEST +
				  OWNER_RECONCILE_MARGIN;
	/* The first owner of all has nobody before it. */
	partition->reconciled = partition->row_epoch == 0;
	partition->lost_unseen = false;
	pool->inbox_at = pool->now;
	pool->work_changed = true;
	pool_report_partition_attached(pool, number);
	if (pool->phase == POOL_OWNER_ACTIVE)
		gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "part_attached",
		    "{s:I, s:I, s:I}", "part", (json_int_t)number, "epoch",
		    (json_int_t)pool->epoch, "after_ms",
		    (json_int_t)((pool->now - pool->taken_at) / GB_MSEC));
}

static bool
partitions_under_way(const struct gb_pool *pool)
{
	uint32_t i;

	for (i = 0; i < GB_POOL_PARTITIONS; i++) {
		if (!pool_partition_attached(pool, i) &&
		    pool_partition_coming(pool, i))
			return true;
	}
	return false;
}

/** Begin once most parts have been read, and the others too if they come soon.
 */
static void
owner_begin(struct gb_pool *pool)
{
	if (pool->phase != POOL_OWNER_LOADING ||
	    partitions_at_least(pool, POOL_ATTACH_DONE) < OWNER_MAJORITY ||
	    (partitions_under_way(pool) &&
		pool->now - pool->claimed_at < OWNER_ATTACH_WAIT))
		return;
	pool->phase = POOL_OWNER_ACTIVE;
	pool->confirmed = pool->now;
	pool->stats.takeovers++;
	gb_histogram_add(&pool->stats.takeover_us, pool->now - pool->taken_at);
	gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "ownership_gained",
	    "{s:I, s:I, s:I, s:I, s:I}", "epoch", (json_int_t)pool->epoch,
	    "parts", (json_int_t)partitions_at_least(pool, POOL_ATTACH_DONE),
	    "open_flows", (json_int_t)pool->open_count, "workers",
	    (json_int_t)pool->worker_count, "took_ms",
	    (json_int_t)((pool->now - pool->taken_at) / GB_MSEC));
	pool->ops.owner(pool->ops.data, true, pool->epoch);
}

static void
partition_loaded(struct gb_pool *pool, const struct pool_call *call,
    const struct gb_pool_read_res *res)
{
	switch (pool_load_done(pool, call, res)) {
	case POOL_LOAD_GOES_ON:
		break;
	case POOL_LOAD_DONE:
		partition_attached(pool, call->partition);
		owner_begin(pool);
		break;
	case POOL_LOAD_FAILED:
		pool_load_drop(pool, call->partition);
		partition_failed(pool, call->partition);
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
		pool_writer_probed(pool, call, res);
		break;
	case POOL_CALL_OWNER_READ:
		partition_row_read(pool, call->partition, res);
		break;
	case POOL_CALL_INBOX_LIST:
	case POOL_CALL_INBOX_FLOW:
		pool_load_inbox_done(pool, call, res);
		break;
	default:
		partition_loaded(pool, call, res);
		break;
	}
}

void
pool_owner_take(struct gb_pool *pool, uint64_t after, enum takeover_cause cause)
{
	uint32_t i;

	if (pool->phase != POOL_OWNER_NONE)
		return;
	pool->term++;
	owner_forget(pool);
	pool->phase = POOL_OWNER_READING;
	pool->taken_at = pool->now;
	pool->claim_after = after;
	memset(&pool->rival, 0, sizeof(pool->rival));
	pool->claim_cause = cause;
	memset(&pool->rival, 0, sizeof(pool->rival));
	pool->claim_epoch = 0;
	gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "takeover_begun", "{s:I}",
	    "known_epoch", (json_int_t)pool->epoch);
	for (i = 0; i < GB_POOL_PARTITIONS; i++)
		partition_read(pool, i);
}

/* Going on ---------------------------------------------------------------- */

/** Whether every worker that may run something of a part has told this owner
 * what it runs, since the part was attached.  An entry that names no worker to
 * use, of which no owner recorded anything, need not answer: an address where
 * nobody listens would hold up each takeover until every lease is over. */
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
		    (worker->recorded & (UINT32_C(1) << number)) == 0)
			continue;
		if (!worker->over &&
		    (!worker->fenced ||
			worker->reported < partition->attached_at))
			return false;
	}
	return true;
}

static void
partition_reconcile(struct gb_pool *pool, uint32_t number)
{
	struct pool_partition *partition = &pool->partitions[number];
	bool told;

	if (partition->attach != POOL_ATTACH_DONE || partition->reconciled)
		return;
	told = partition_all_reported(pool, number);
	if (!told && pool->now < partition->reconcile_at)
		return;
	partition->reconciled = true;
	if (!told || partition->lost_unseen)
		pool_crash_watch(pool, number);
	pool->work_changed = true;
	gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "takeover_settled",
	    "{s:I, s:I, s:I, s:b}", "epoch", (json_int_t)pool->epoch, "part",
	    (json_int_t)number, "took_ms",
	    (json_int_t)((pool->now - pool->taken_at) / GB_MSEC), "all_workers",
	    told);
}

static void
partition_tick(struct gb_pool *pool, uint32_t number)
{
	struct pool_partition *partition = &pool->partitions[number];
	gb_time written;

	if (partition->attach == POOL_ATTACH_NONE &&
	    partition->attach_at <= pool->now)
		partition_read(pool, number);
	partition_reconcile(pool, number);
	written = number < GB_POOL_PARTITIONS_RENEWED ? partition->renewed
						      : partition->sent;
	if (partition->attach == POOL_ATTACH_DONE &&
	    pool->now - written > POOL_OWNER_RENEW)
		partition->renew = true;
}

static void
owner_inbox(struct gb_pool *pool)
{
	uint32_t i;

	if (pool->inbox_at > pool->now)
		return;
	pool->inbox_at = pool->now + OWNER_INBOX;
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
		if (pool_writer_idle(pool) || pool->now > pool->release_by)
			pool_owner_lose(pool, "released", 0);
		return;
	}
	if (pool->phase < POOL_OWNER_LOADING &&
	    pool->now - pool->taken_at > OWNER_CLAIM_MOST) {
		owner_give_up(pool, "most parts could not be claimed in time");
		return;
	}
	for (i = 0; i < GB_POOL_PARTITIONS; i++)
		partition_tick(pool, i);
	owner_begin(pool);
	if (pool->phase != POOL_OWNER_ACTIVE)
		return;
	contention_tick(&pool->contention, pool->now);
	owner_inbox(pool);
}

void
pool_owner_alive(struct gb_pool *pool, uint64_t incarnation)
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
	pool->release_by = pool->now + OWNER_RELEASE;
	for (i = 0; i < GB_POOL_PARTITIONS; i++)
		pool->partitions[i].renew = pool_partition_attached(pool, i);
}
