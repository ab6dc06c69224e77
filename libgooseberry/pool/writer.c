/**
 * @file writer.c
 * Writes the changes of flows to the store, many in one transaction.
 *
 * Every transaction requires the version of the owner's row, so that a former
 * owner can't write.  A transaction without answer may still be carried out
 * seconds later: before anything else is written, the owner's row is rewritten
 * ("sealing"), after which the lost transaction can no longer succeed.
 *
 * A flow that is submitted twice is stored once, since the owner knows all
 * flows of the partitions that it has attached.  What was submitted is removed
 * when the final state is written.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "state.h"

/** Maximum number of entries in one transaction; the limit of the store is
 * 100. */
#define WRITER_ENTRIES_MAX 94
/** Number of entries that must be free to add a flow: for its rows, the owner's
 * row and the worker set. */
#define WRITER_FLOW_ENTRIES 7
/** Size of the values in one transaction, in bytes, at which no further flow is
 * added; the limit of the store is 1 MB in base64. */
#define WRITER_BYTES_MAX (400 * 1024)
/** Minimum time between the starts of two transactions of a partition, in which
 * changes are collected: each call costs money, and a submission waits half of
 * this time on average. */
#define WRITER_INTERVAL (35 * GB_MSEC)
/** The same while no caller waits for a change, such as the end of one task of
 * several. */
#define WRITER_INTERVAL_LONG (120 * GB_MSEC)
/** Number of consecutive refused writes after which the partition counts as
 * unavailable. */
#define WRITER_UNAVAILABLE_REFUSED 2
/** Number of consecutive writes without an answer after which the partition
 * counts as unavailable; a single one may be a reset connection. */
#define WRITER_UNAVAILABLE_LOST 2
/** Time after which a caller that was rejected while the store is unavailable
 * should retry: outages last some seconds, and callers wait three seconds for
 * an answer. */
#define WRITER_RETRY_AFTER GB_SEC
/** A caller that asks for the state of a flow whose change is being stored
 * waits at most this long for the write, and then gets the stored state. Writes
 * take 12 ms, and 0.2 s when the store is 25 times slower. */
#define WRITER_ASK_TIMEOUT (300 * GB_MSEC)
/** A write includes the owner's row when that was last written longer ago than
 * this, which is earlier than it must be renewed, so that few writes are made
 * for the row alone. */
#define WRITER_RENEW_EARLY (250 * GB_MSEC)
/** First and longest pause before a flow is written again whose rows the store
 * does not take.  Others must not wait for it, nor its callers for long, should
 * the store be mistaken. */
#define WRITER_INVALID_PAUSE GB_SEC
#define WRITER_INVALID_PAUSE_DOUBLINGS 5
/** First and longest pause after a refused or lost write.  Members wait longer
 * than the longest pause before they conclude that the store refuses only this
 * owner (see watch.c). */
#define WRITER_RETRY_BASE (50 * GB_MSEC)
#define WRITER_RETRY_MAX (150 * GB_MSEC)

uint32_t
gb_pool_partition(const char *flow_id)
{
	return (
	    uint32_t)(gb_hash(flow_id, strlen(flow_id)) % GB_POOL_PARTITIONS);
}

void
pool_writer_mark_dirty(
    struct gb_pool *pool, struct pool_flow *flow, bool urgent)
{
	struct pool_partition *partition = &pool->partitions[flow->partition];

	partition->urgent = partition->urgent || urgent;
	if (flow->dirty)
		return;
	flow->dirty = true;
	TAILQ_INSERT_TAIL(&partition->dirty, flow, dirty_next);
}

bool
pool_writer_owner_body(const struct gb_pool *pool, uint64_t epoch,
    uint64_t serial, bool vacant, gb_body *body)
{
	struct gb_owner_record record = {0};
	char none[] = "";

	record.row.epoch = epoch;
	record.row.name = pool->name;
	record.row.addr = vacant ? none : pool->addr;
	record.row.incarnation = pool->cfg.incarnation;
	record.row.serial = serial;
	record.contested = pool->contention.count;
	return gb_owner_record_encode(&record, body);
}

/** A transaction that is being composed. */
struct draft {
	struct gb_pool_row conds[WRITER_ENTRIES_MAX + 4];
	struct gb_pool_row puts[WRITER_ENTRIES_MAX + 4];
	struct gb_pool_txn txn;
	size_t bytes;
};

static void
draft_cond(struct draft *draft, enum gb_pool_table table, const char *key,
    uint64_t vers)
{
	struct gb_pool_row *row = &draft->conds[draft->txn.cond_count++];

	memset(row, 0, sizeof(*row));
	row->table = table;
	row->key = key;
	row->vers = vers;
}

static struct gb_pool_row *
draft_put(struct draft *draft, enum gb_pool_table table, const char *key)
{
	struct gb_pool_row *row = &draft->puts[draft->txn.put_count++];

	memset(row, 0, sizeof(*row));
	row->table = table;
	row->key = key;
	return row;
}

static void
draft_value(struct draft *draft, struct gb_pool_row *row, xdrproc_t proc,
    const void *message)
{
	if (!gb_xdr_encode(proc, message, &row->value))
		abort(); /* the message was made or checked by this process */
	draft->bytes += row->value.gb_body_len;
}

static void
draft_remove(struct draft *draft, enum gb_pool_table table, const char *key)
{
	draft_put(draft, table, key)->remove = true;
}

static void
draft_clear(struct draft *draft)
{
	size_t i;

	for (i = 0; i < draft->txn.put_count; i++)
		free(draft->puts[i].value.gb_body_val);
}

/** Adds the rows of a flow that must be written or removed. */
static void
draft_flow(
    const struct gb_pool *pool, struct draft *draft, struct pool_flow *flow)
{
	const gb_flow_row stored = {flow->spec, flow->config};
	gb_flow_state state;

	bool finished = flow->status >= GB_FLOW_SUCCEEDED;

	if (flow->tombstone && !flow->created)
		draft_cond(draft, GB_POOL_STATES, flow->spec.id, 0);
	/* This owner has read all rows of the partition.  A row that a node
	 * wrote since is identical, and is found in the inbox. */
	if (!flow->created && !finished)
		draft_value(draft,
		    draft_put(draft, GB_POOL_FLOWS, flow->spec.id),
		    (xdrproc_t)xdr_gb_flow_row, &stored);
	if (finished && !flow->removed) {
		if (flow->created || flow->in_inbox)
			draft_remove(draft, GB_POOL_FLOWS, flow->spec.id);
		flow->removing = true;
	}
	if (flow->in_inbox)
		draft_remove(draft, GB_POOL_INBOX, flow->spec.id);
	if (flow->remove_pending) {
		draft_remove(draft, GB_POOL_STATES, flow->spec.id);
		return;
	}
	pool_flow_state_fill(pool, flow, &state);
	draft_value(draft, draft_put(draft, GB_POOL_STATES, flow->spec.id),
	    (xdrproc_t)xdr_gb_flow_state, &state);
	pool_flow_state_clear(&state);
}

/** Whether a flow waits because the store did not take its rows. */
static bool
flow_is_set_aside(const struct gb_pool *pool, const struct pool_flow *flow)
{
	return flow->write_at > pool->now;
}

/** Whether a flow is to be written now. */
static bool
partition_has_flows(
    const struct gb_pool *pool, const struct pool_partition *partition)
{
	const struct pool_flow *flow;

	TAILQ_FOREACH(flow, &partition->dirty, dirty_next)
	{
		if (!flow_is_set_aside(pool, flow))
			return true;
	}
	return false;
}

/** Adds the owner's row.  A released partition gets a vacant row with the last
 * write. */
static void
draft_owner(struct gb_pool *pool, const struct pool_partition *partition,
    struct draft *draft)
{
	struct gb_pool_row *row =
	    draft_put(draft, GB_POOL_OWNERS, GB_POOL_OWNER_KEY);

	if (!pool_writer_owner_body(pool, pool->epoch, partition->serial + 1,
		pool->phase == POOL_OWNER_RELEASING && partition->renew &&
		    !partition_has_flows(pool, partition),
		&row->value))
		abort(); /* names were checked with the settings */
}

/** Whether a changed row of the worker set is to be written now. */
static bool
set_write_due(
    const struct gb_pool *pool, const struct pool_partition *partition)
{
	return partition->set_changed != 0 && partition->set_sent == 0 &&
	       partition->set_write_at <= pool->now;
}

/** Adds the next changed row of the worker set, unless one is being written. */
static void
draft_worker_set(struct gb_pool *pool, uint32_t number, struct draft *draft)
{
	struct pool_partition *partition = &pool->partitions[number];
	struct gb_pool_row *row;

	if (!set_write_due(pool, partition))
		return;
	row = draft_put(draft, GB_POOL_OWNERS, partition->set_key);
	if (!pool_worker_set_body(pool, number, &row->value))
		abort(); /* names were checked with their entries */
	partition->set_write_at =
	    pool->now + pool_pace_set_pause(pool, row->value.gb_body_len);
}

static void
partition_send(struct gb_pool *pool, uint32_t number, struct draft *draft,
    enum pool_partition_phase phase)
{
	struct pool_partition *partition = &pool->partitions[number];
	struct pool_call *call = pool_call_new(pool, POOL_CALL_WRITE_TXN);

	call->partition = number;
	partition->phase = phase;
	partition->call = call->id;
	partition->sent = pool->now;
	partition->probe_answered = false;
	draft->txn.partition = number;
	draft->txn.conds = draft->conds;
	draft->txn.puts = draft->puts;
	pool->stats.txns++;
	pool->stats.rows += draft->txn.put_count;
	pool->ops.txn(pool->ops.data, call->id, &draft->txn);
	partition->left_at = pool->now + pool_pace_queued(pool);
	draft_clear(draft);
}

/** Adds the owner's row to a transaction and records that. */
static void
partition_renew(
    struct gb_pool *pool, struct pool_partition *partition, struct draft *draft)
{
	draft_owner(pool, partition, draft);
	partition->renew_sent = true;
	partition->renewed = pool->now;
}

/** Rewrites the owner's row alone, so that a transaction without answer can no
 * longer succeed. */
static void
partition_seal(struct gb_pool *pool, uint32_t number)
{
	struct pool_partition *partition = &pool->partitions[number];
	struct draft draft = {0};

	draft_cond(
	    &draft, GB_POOL_OWNERS, GB_POOL_OWNER_KEY, partition->owner_vers);
	partition_renew(pool, partition, &draft);
	partition_send(pool, number, &draft, POOL_PARTITION_SEALING);
}

static bool
draft_full(const struct draft *draft, size_t bytes_max)
{
	return draft->txn.cond_count + draft->txn.put_count +
		       WRITER_FLOW_ENTRIES >
		   WRITER_ENTRIES_MAX ||
	       draft->bytes >= bytes_max;
}

/** Order in which flows are added to a transaction that can't hold all of them.
 * New flows go first: behind finished ones, their callers would be answered too
 * late while the store is slow. */
enum write_priority {
	WRITE_NEW, /**< a caller waits, or the flow starts after the write */
	WRITE_FINISHED, /**< finished: a caller may ask for the end; or it has
			   tasks that start after the write */
	WRITE_REST,	/**< no caller waits */
	WRITE_PRIORITIES
};

static enum write_priority
write_priority(const struct pool_flow *flow)
{
	if (flow->stored == 0 || !flow->owned)
		return WRITE_NEW;
	return flow->status >= GB_FLOW_SUCCEEDED ||
		       flow->announce_change > flow->stored
		   ? WRITE_FINISHED
		   : WRITE_REST;
}

/** Whether a flow may be added to the transaction that is being composed. */
static bool
partition_may_draft(const struct gb_pool *pool,
    const struct pool_partition *partition, const struct pool_flow *flow)
{
	return !flow_is_set_aside(pool, flow) &&
	       (partition->sent_count == 0 ||
		   (!flow->write_alone &&
		       !partition->sent_flows[0]->write_alone));
}

/** Moves a flow from the dirty ones to a transaction. */
static void
partition_draft_flow(struct gb_pool *pool, struct pool_partition *partition,
    struct pool_flow *flow, struct draft *draft)
{
	pool_announce_update(pool, flow);
	TAILQ_REMOVE(&partition->dirty, flow, dirty_next);
	flow->dirty = false;
	flow->sending = flow->change;
	flow->removing = false;
	draft_flow(pool, draft, flow);
	partition->sent_flows[partition->sent_count++] = flow;
}

/** Whether a write should include the owner's row although it needn't be
 * renewed yet. */
static bool
partition_should_renew(const struct gb_pool *pool, uint32_t number)
{
	return number < GB_POOL_PARTITIONS_RENEWED &&
	       pool->now - pool->partitions[number].renewed >
		   WRITER_RENEW_EARLY;
}

/** Writes dirty flows in the order of their priority, and with them what else
 * is to be written. */
static void
partition_write(struct gb_pool *pool, uint32_t number)
{
	struct pool_partition *partition = &pool->partitions[number];
	struct draft draft = {0};
	struct pool_flow *flow;
	struct pool_flow *next;
	size_t bytes_max = pool_pace_write_bytes(pool, WRITER_BYTES_MAX);
	unsigned int priority;

	draft_cond(
	    &draft, GB_POOL_OWNERS, GB_POOL_OWNER_KEY, partition->owner_vers);
	partition->sent_flows =
	    gb_calloc(WRITER_ENTRIES_MAX, sizeof(struct pool_flow *));
	partition->sent_count = 0;
	partition->urgent = false;
	for (priority = 0; priority < WRITE_PRIORITIES; priority++) {
		for (flow = TAILQ_FIRST(&partition->dirty);
		     flow != NULL && !draft_full(&draft, bytes_max);
		     flow = next) {
			next = TAILQ_NEXT(flow, dirty_next);
			if (write_priority(flow) == priority &&
			    partition_may_draft(pool, partition, flow))
				partition_draft_flow(
				    pool, partition, flow, &draft);
		}
	}
	partition->renew_sent = false;
	if (partition->renew || partition_should_renew(pool, number))
		partition_renew(pool, partition, &draft);
	if (partition->sent_count == 0 ||
	    !partition->sent_flows[0]->write_alone)
		draft_worker_set(pool, number, &draft);
	partition_send(pool, number, &draft, POOL_PARTITION_WRITING);
}

bool
pool_writer_unavailable(const struct gb_pool *pool, uint32_t number)
{
	const struct pool_partition *partition = &pool->partitions[number];

	return partition->refused >= WRITER_UNAVAILABLE_REFUSED ||
	       partition->lost >= WRITER_UNAVAILABLE_LOST ||
	       partition->silent || partition->attach != POOL_ATTACH_DONE;
}

/** Rejects the flows that are certainly not stored, while the store doesn't
 * accept writes.  Callers of other flows wait until their own timeout: a lost
 * write may have been carried out, so that they can't be told to retry, and
 * outages are often shorter than that timeout. */
static void
partition_reject_unsent(struct gb_pool *pool, uint32_t number)
{
	struct pool_partition *partition = &pool->partitions[number];
	struct pool_flow *flow;
	struct pool_flow *next;

	for (flow = TAILQ_FIRST(&partition->dirty); flow != NULL; flow = next) {
		next = TAILQ_NEXT(flow, dirty_next);
		if (flow->stored == 0 && flow->sending == 0)
			pool_flow_reject(pool, flow, WRITER_RETRY_AFTER);
	}
}

/** Answers callers that wait for the state of a flow with the stored one. */
static void
partition_answer_asks(struct gb_pool *pool, struct pool_partition *partition)
{
	struct pool_flow *flow;
	size_t i;

	TAILQ_FOREACH(flow, &partition->dirty, dirty_next)
	{
		pool_flow_answer_queries(pool, flow);
	}
	for (i = 0; i < partition->sent_count; i++)
		pool_flow_answer_queries(pool, partition->sent_flows[i]);
}

static void
partition_tick(struct gb_pool *pool, uint32_t number)
{
	struct pool_partition *partition = &pool->partitions[number];
	/* A changed worker set, 40 bytes per worker, isn't urgent: at a cold
	 * start workers are listed one by one, and several of them are written
	 * together. */
	bool urgent = partition->urgent || pool->phase == POOL_OWNER_RELEASING;

	if (partition->attach != POOL_ATTACH_DONE)
		return;
	pool_probe_tick(pool, number);
	if (pool_writer_unavailable(pool, number))
		partition_reject_unsent(pool, number);
	if (pool_writer_unavailable(pool, number) ||
	    (partition->call != 0 &&
		pool->now - partition->sent > WRITER_ASK_TIMEOUT))
		partition_answer_asks(pool, partition);
	if (partition->phase == POOL_PARTITION_WAITING &&
	    partition->retry_at <= pool->now)
		partition->phase = POOL_PARTITION_IDLE;
	if (partition->phase != POOL_PARTITION_IDLE ||
	    (POOL_FEATURE_ENABLED(pool, GB_FEATURE_WRITE_BATCHING) &&
		pool->now - partition->sent <
		    (urgent ? WRITER_INTERVAL : WRITER_INTERVAL_LONG)))
		return;
	if (partition->seal)
		partition_seal(pool, number);
	else if (partition->renew || partition_has_flows(pool, partition) ||
		 set_write_due(pool, partition))
		partition_write(pool, number);
}

void
pool_writer_tick(struct gb_pool *pool)
{
	uint32_t i;

	for (i = 0; i < GB_POOL_PARTITIONS; i++)
		partition_tick(pool, i);
}

/** Marks the flows of a failed write as dirty again.  With `not_done` the write
 * was certainly not carried out: a flow then counts as never sent if this was
 * its first write. */
static void
partition_requeue(
    struct gb_pool *pool, struct pool_partition *partition, bool not_done)
{
	struct pool_flow *flow;
	size_t i;

	for (i = 0; i < partition->sent_count; i++) {
		flow = partition->sent_flows[i];
		if (!not_done)
			flow->write_lost = true;
		else if (flow->stored == 0 && !flow->write_lost)
			flow->sending = 0;
		pool_writer_mark_dirty(pool, flow, true);
	}
	partition->sent_count = 0;
}

/** Waits after a refused or lost write, longer after each further one. */
static void
partition_retry_later(struct gb_pool *pool, struct pool_partition *partition)
{
	gb_time pause = WRITER_RETRY_BASE
			<< (partition->tries < 4 ? partition->tries : 4);

	if (pause > WRITER_RETRY_MAX)
		pause = WRITER_RETRY_MAX;
	partition->tries++;
	partition->phase = POOL_PARTITION_WAITING;
	partition->retry_at = pool->now + pause;
}

/** Handles that a write has succeeded. */
static void
partition_stored(struct gb_pool *pool, struct pool_partition *partition)
{
	struct pool_flow **flows = partition->sent_flows;
	size_t count = partition->sent_count;
	size_t i;

	partition->sent_flows = NULL;
	partition->sent_count = 0;
	for (i = 0; i < count; i++) {
		flows[i]->created = true;
		flows[i]->owned = true;
		flows[i]->write_alone = false;
		flows[i]->writes_invalid = 0;
		flows[i]->in_inbox = false;
		flows[i]->removed = flows[i]->removed || flows[i]->removing;
		pool_flow_stored(pool, flows[i], flows[i]->sending);
	}
	free(flows);
}

/** Checks the owner's row found by a conflict.  If this process wrote it, for
 * this epoch, updates the known version and returns true; if not, the ownership
 * is lost. */
static bool
partition_owner_row(struct gb_pool *pool, struct pool_partition *partition,
    const struct gb_pool_row *row)
{
	struct gb_owner_record owner = {0};
	bool own;

	if (row->vers == 0 || !gb_owner_record_decode(&owner, &row->value)) {
		pool_owner_lose(pool, "the owner's row is missing", 0);
		return false;
	}
	own = owner.row.epoch == pool->epoch &&
	      owner.row.incarnation == pool->cfg.incarnation;
	if (own) {
		if (row->vers != partition->owner_vers)
			partition->seal = false;
		partition->owner_vers = row->vers;
		partition->serial = owner.row.serial;
	}
	pool_rival_seen(pool, &owner.row);
	gb_owner_record_clear(&owner);
	if (!own)
		pool_owner_lose(
		    pool, "another node owns the pool", owner.row.epoch);
	return own;
}

/** Handles that the condition of a write failed: an earlier write without
 * answer was carried out, another node owns the partition, or the store has a
 * flow that this owner doesn't know. */
static void
partition_conflict(struct gb_pool *pool, struct pool_partition *partition,
    gb_time sent, const struct gb_pool_txn_res *res)
{
	size_t i;

	pool->stats.txn_conflicts++;
	for (i = 0; i < res->row_count; i++) {
		if (res->rows[i].table != GB_POOL_OWNERS)
			continue;
		if (!partition_owner_row(pool, partition, &res->rows[i]))
			return;
		partition->confirmed = sent;
	}
	partition_requeue(pool, partition, true);
	for (i = 0; i < res->row_count; i++) {
		if (res->rows[i].table == GB_POOL_STATES &&
		    res->rows[i].vers != 0)
			pool_tombstone_conflict(pool, &res->rows[i]);
	}
	partition->phase = POOL_PARTITION_IDLE;
}

/** Handles a write without answer, which may have been or may yet be carried
 * out. */
static void
partition_write_lost(struct gb_pool *pool, struct pool_partition *partition)
{
	pool->stats.txn_lost++;
	gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "store_answer_lost",
	    "{s:I, s:I}", "flows", (json_int_t)partition->sent_count, "age_ms",
	    (json_int_t)((pool->now - partition->sent) / GB_MSEC));
	partition->seal = true;
	partition_requeue(pool, partition, false);
	partition_retry_later(pool, partition);
}

/** Sets a flow aside whose rows the store does not take.  A caller of a new one
 * is told so; others get the stored state. */
static void
flow_set_aside(struct gb_pool *pool, struct pool_flow *flow)
{
	unsigned int doublings = flow->writes_invalid++;

	if (doublings > WRITER_INVALID_PAUSE_DOUBLINGS)
		doublings = WRITER_INVALID_PAUSE_DOUBLINGS;
	flow->write_at = pool->now + (WRITER_INVALID_PAUSE << doublings);
	pool->stats.flows_not_storable++;
	gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "flow_not_storable",
	    "{s:s, s:I, s:I, s:b}", "flow", flow->spec.id, "steps",
	    (json_int_t)flow->step_count, "writes",
	    (json_int_t)flow->writes_invalid, "accepted", flow->stored != 0);
	if (flow->stored == 0 && flow->sending == 0)
		pool_flow_reject(pool, flow, 0);
	else
		pool_flow_answer_queries(pool, flow);
}

/** Handles that the store will never take a write.  To find the rows that are
 * to blame, the flows of the write are written again one by one. */
static void
partition_invalid(
    struct gb_pool *pool, struct pool_partition *partition, bool worker_set)
{
	size_t count = partition->sent_count;
	size_t i;

	partition_requeue(pool, partition, true);
	partition->phase = POOL_PARTITION_IDLE;
	if (worker_set)
		partition->set_write_at = pool->now + WRITER_INVALID_PAUSE;
	else if (count == 0)
		partition_retry_later(pool, partition);
	for (i = 0; i < count && (worker_set || count > 1); i++)
		partition->sent_flows[i]->write_alone = true;
	if (count == 1 && !worker_set)
		flow_set_aside(pool, partition->sent_flows[0]);
}

void
pool_writer_answer_lost(struct gb_pool *pool, uint32_t number)
{
	struct pool_partition *partition = &pool->partitions[number];

	partition->call = 0;
	if (partition->set_sent)
		pool_worker_set_stored(pool, number, false);
	partition_write_lost(pool, partition);
	free(partition->sent_flows);
	partition->sent_flows = NULL;
}

void
pool_writer_done(struct gb_pool *pool, const struct pool_call *call,
    const struct gb_pool_txn_res *res)
{
	struct pool_partition *partition = &pool->partitions[call->partition];
	bool worker_set = partition->set_sent != 0;

	if (partition->call != call->id)
		return;
	partition->call = 0;
	gb_histogram_add(&pool->stats.txn_us, pool->now - call->sent);
	if (partition->set_sent && res->status != GB_STORE_OK)
		pool_worker_set_stored(pool, call->partition, false);
	if (res->status != GB_STORE_UNKNOWN)
		partition->probing_since = 0; /* the store has answered */
	switch (res->status) {
	case GB_STORE_OK:
		pool->confirmed = call->sent;
		partition->confirmed = call->sent;
		pool_announce_write_done(pool, pool->now - call->sent);
		if (partition->set_sent)
			pool_worker_set_stored(pool, call->partition, true);
		partition->phase = POOL_PARTITION_IDLE;
		partition->tries = 0;
		partition->refused = 0;
		partition->lost = 0;
		partition->silent = false;
		partition->seal = false;
		if (partition->renew_sent) {
			partition->owner_vers = res->vers;
			partition->serial++;
			partition->renew = false;
		}
		partition_stored(pool, partition);
		break;
	case GB_STORE_CONFLICT:
		pool->confirmed = call->sent;
		partition->lost = 0;
		partition->silent = false;
		partition_conflict(pool, partition, call->sent, res);
		break;
	case GB_STORE_INVALID:
		partition->lost = 0;
		partition->silent = false;
		partition_invalid(pool, partition, worker_set);
		break;
	case GB_STORE_REFUSED:
		partition->refused++;
		partition->lost = 0;
		partition_requeue(pool, partition, true);
		partition_retry_later(pool, partition);
		break;
	default:
		partition->lost++;
		partition_write_lost(pool, partition);
		break;
	}
	free(partition->sent_flows);
	partition->sent_flows = NULL;
}

bool
pool_writer_idle(const struct gb_pool *pool)
{
	uint32_t i;

	for (i = 0; i < GB_POOL_PARTITIONS; i++) {
		if (pool_writer_unavailable(pool, i))
			continue;
		if (pool->partitions[i].phase != POOL_PARTITION_IDLE ||
		    pool->partitions[i].renew || pool->partitions[i].seal ||
		    partition_has_flows(pool, &pool->partitions[i]))
			return false;
	}
	return true;
}

void
pool_writer_reset(struct gb_pool *pool)
{
	uint32_t i;

	for (i = 0; i < GB_POOL_PARTITIONS; i++) {
		struct pool_partition *partition = &pool->partitions[i];

		free(partition->sent_flows);
		memset(partition, 0, sizeof(*partition));
		TAILQ_INIT(&partition->dirty);
	}
}
