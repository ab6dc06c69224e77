/**
 * @file learned_read.c
 * Reads what the previous owner has learned, after everything that starts work.
 * No row is written before it was read.
 */
#include <string.h>

#include <jansson.h>

#include "learned.h"
#include "state.h"

/** Pause before a row is requested again after the store has refused it. */
#define READ_RETRY_PAUSE (500 * GB_MSEC)
/** Time after which a row is given up: by then this owner has learned about as
 * much itself. */
#define READ_TIMEOUT (10 * GB_SEC)
/** Workers answer a new owner within this time; what was found is logged
 * then. */
#define READ_SETTLE_TIME (3 * GB_SEC)

static void
read_ignore(struct gb_pool *pool, struct learned_partition *partition,
    enum gb_learned_error why)
{
	pool->learned->ignored[why]++;
	pool->stats.learned_ignored[why]++;
	partition->read = LEARNED_READ_DONE;
	partition->read_at = pool->now;
}

static void
partition_read(struct gb_pool *pool, uint32_t number)
{
	struct learned_partition *partition =
	    &pool->learned->partitions[number];

	if (partition->read != LEARNED_READ_PENDING ||
	    !pool_partition_attached(pool, number))
		return;
	if (pool->now - pool->partitions[number].attached_at > READ_TIMEOUT) {
		read_ignore(pool, partition, GB_LEARNED_NO_ANSWER);
		return;
	}
	if (partition->read_at > pool->now ||
	    pool_pace_queued(pool) > LEARNED_QUEUED_MAX)
		return;
	partition->read = LEARNED_READ_SENT;
	pool_page_add(pool, POOL_CALL_LOAD_LEARNED, number, GB_POOL_OWNERS,
	    GB_POOL_LEARNED_KEY, GB_POOL_LEARNED_KEY "0");
	pool_pages_send(pool);
}

/** Whether it is time to log what was found: all rows are read or were given
 * up, and the workers have had time to answer. */
static bool
read_settled(const struct gb_pool *pool)
{
	const struct pool_learned *learned = pool->learned;
	uint32_t i;

	if (pool->now - learned->began_at > READ_TIMEOUT + READ_SETTLE_TIME)
		return true;
	for (i = 0; i < GB_POOL_PARTITIONS; i++) {
		if (learned->partitions[i].read != LEARNED_READ_DONE)
			return false;
	}
	return pool->now - learned->began_at > READ_SETTLE_TIME;
}

static void
read_log(struct gb_pool *pool)
{
	struct pool_learned *learned = pool->learned;
	const uint32_t *ignored = learned->ignored;

	learned->logged = true;
	gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "learned_state_read",
	    "{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "epoch",
	    (json_int_t)pool->epoch, "rows", (json_int_t)learned->rows_read,
	    "workers", (json_int_t)learned->workers_read, "workers_applied",
	    (json_int_t)learned->workers_applied, "missing",
	    (json_int_t)ignored[GB_LEARNED_MISSING], "unreadable",
	    (json_int_t)ignored[GB_LEARNED_UNREADABLE], "other_format",
	    (json_int_t)ignored[GB_LEARNED_OTHER_FORMAT], "too_old",
	    (json_int_t)ignored[GB_LEARNED_TOO_OLD], "from_future",
	    (json_int_t)ignored[GB_LEARNED_FROM_FUTURE], "no_answer",
	    (json_int_t)ignored[GB_LEARNED_NO_ANSWER]);
}

void
learned_read_tick(struct gb_pool *pool)
{
	uint32_t i;

	for (i = 0; i < GB_POOL_PARTITIONS; i++)
		partition_read(pool, i);
	if (!pool->learned->logged && read_settled(pool))
		read_log(pool);
}

/** Applies a row that was read, or says why it isn't used. */
static enum gb_learned_error
row_apply(struct gb_pool *pool, struct learned_partition *partition,
    const struct gb_pool_read_res *res)
{
	struct pool_learned *learned = pool->learned;
	enum gb_learned_error error;
	gb_time age = 0;
	uint32_t i;

	if (res->row_count == 0)
		return GB_LEARNED_MISSING;
	error = learned_record_decode(&res->rows[0].value, &partition->found);
	if (error != GB_LEARNED_USABLE)
		return error;
	error = learned_record_age(
	    &partition->found, pool->wall, pool->epoch, &age);
	if (error != GB_LEARNED_USABLE) {
		xdr_free((xdrproc_t)xdr_gb_learned, (char *)&partition->found);
		memset(&partition->found, 0, sizeof(partition->found));
		return error;
	}
	partition->found_at = pool->now - age;
	learned->rows_read++;
	learned->workers_read += partition->found.workers.workers_len;
	pool->stats.learned_rows_read++;
	learned_apply(pool, &partition->found, age);
	for (i = 0; i < learned->worker_count; i++)
		learned->workers[i].looked_up = false;
	return GB_LEARNED_USABLE;
}

void
pool_learned_read_done(struct gb_pool *pool, const struct pool_call *call,
    const struct gb_pool_read_res *res)
{
	struct learned_partition *partition;
	enum gb_learned_error error;

	pool_page_free(pool, pool_page_remove_sent(pool, call));
	pool_pages_send(pool);
	if (pool->learned == NULL)
		return;
	partition = &pool->learned->partitions[call->partition];
	if (partition->read != LEARNED_READ_SENT)
		return;
	if (res->status != GB_STORE_OK) {
		partition->read = LEARNED_READ_PENDING;
		partition->read_at = pool->now + READ_RETRY_PAUSE;
		return;
	}
	error = row_apply(pool, partition, res);
	if (error != GB_LEARNED_USABLE)
		read_ignore(pool, partition, error);
	partition->read = LEARNED_READ_DONE;
	partition->read_at = pool->now;
}
