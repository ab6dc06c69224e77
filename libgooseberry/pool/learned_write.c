/**
 * @file learned_write.c
 * Decides when the rows with what this owner has learned are written.
 *
 * Load: the smallest instance has a link of 10 Mbit/s, and there are up to
 * 6,000 workers.  A thousandth of that link takes the rows of 350 workers in
 * about 5 s and rows of bounded size in half of the time for which they can be
 * used.  The rows are written in turn, with the owner's row, whose version is
 * the condition that stops a former owner.
 */
#include <string.h>

#include "learned.h"
#include "state.h"

/** Bytes per second of all rows: a thousandth of the owner's link, and of a
 * link of 10 Mbit/s where that is less. */
#define WRITE_RATE_MAX 1250
#define WRITE_LINK_PARTS 1000
/** Time in which rows of the largest size can all be written: half of
 * LEARNED_AGE_MAX, so that an owner can fail at any time. */
#define WRITE_CYCLE (30 * GB_SEC)
/** Time for which bandwidth that was not used is kept, to make up for the wait
 * for the owner's row. */
#define WRITE_SAVED (2 * GB_SEC)
/** Interval at which a row is compared with the stored one. */
#define WRITE_CHECK_INTERVAL (250 * GB_MSEC)
/** No row is written for so long after it was read: an owner that fails at once
 * would leave a row without the workers that had not answered it yet. */
#define WRITE_SETTLE_TIME (3 * GB_SEC)
/** Time after which a row that was not written gives its turn to the next,
 * since other writes of the partition don't leave room for it. */
#define WRITE_DUE_MAX (2 * GB_SEC)
/** Bytes of a row besides its value, which is sent in base64. */
#define WRITE_ROW_BYTES 80
#define WRITE_BASE64(len) (((len) + 2) / 3 * 4)

/** Bytes per second that may be written. */
static uint64_t
write_rate(const struct gb_pool *pool)
{
	uint64_t rate = pool_pace_bandwidth(pool) / WRITE_LINK_PARTS;

	return pool_pace_bandwidth(pool) == 0 || rate > WRITE_RATE_MAX
		   ? WRITE_RATE_MAX
		   : rate;
}

/** Largest size of a row's value. */
static size_t
row_size_max(const struct gb_pool *pool)
{
	uint64_t bytes =
	    write_rate(pool) * (WRITE_CYCLE / GB_SEC) / GB_POOL_PARTITIONS;

	return bytes > WRITE_ROW_BYTES
		   ? (size_t)((bytes - WRITE_ROW_BYTES) * 3 / 4)
		   : 0;
}

static uint64_t
row_sent_bytes(size_t len)
{
	return WRITE_ROW_BYTES + WRITE_BASE64(len);
}

/** Time by which a row of so many bytes is paid for. */
static gb_time
row_paid_at(const struct gb_pool *pool, size_t len)
{
	return pool->learned->paid_at +
	       (gb_time)(row_sent_bytes(len) * GB_SEC / write_rate(pool));
}

/** Whether a store call takes long, or the last ones did. */
static bool
store_slow(const struct gb_pool *pool)
{
	uint32_t i;

	if (pool->write_us > (double)LEARNED_STORE_SLOW)
		return true;
	for (i = 0; i < GB_POOL_PARTITIONS; i++) {
		if (pool->partitions[i].call != 0 &&
		    pool->now - pool->partitions[i].left_at >
			LEARNED_STORE_SLOW)
			return true;
	}
	return false;
}

/** Whether the row of a partition may be written now. */
static bool
row_writable(const struct gb_pool *pool, uint32_t number)
{
	const struct learned_partition *partition =
	    &pool->learned->partitions[number];

	return pool->phase == POOL_OWNER_ACTIVE && write_rate(pool) > 0 &&
	       partition->read == LEARNED_READ_DONE &&
	       pool->now - partition->read_at >= WRITE_SETTLE_TIME &&
	       !pool_writer_unavailable(pool, number) &&
	       pool->partitions[number].tries == 0 && !store_slow(pool) &&
	       !pool->backlog.congested &&
	       pool_pace_queued(pool) <= LEARNED_QUEUED_MAX;
}

static void
turn_end(struct pool_learned *learned)
{
	learned->partitions[learned->turn].due = false;
	learned->turn = (learned->turn + 1) % GB_POOL_PARTITIONS;
}

static void
turn_due(struct gb_pool *pool)
{
	pool->learned->partitions[pool->learned->turn].due = true;
	pool->learned->due_at = pool->now;
}

/** Decides whether the row whose turn it is must be written. */
static void
turn_check(struct gb_pool *pool)
{
	struct pool_learned *learned = pool->learned;
	struct learned_partition *partition =
	    &learned->partitions[learned->turn];
	gb_learned next;
	gb_time paid_at;

	learned_gather(pool, learned->turn, row_size_max(pool), &next);
	paid_at =
	    row_paid_at(pool, xdr_sizeof((xdrproc_t)xdr_gb_learned, &next));
	if (!learned_record_differs(
		&partition->stored, &next, pool->now - partition->stored_at))
		turn_end(learned);
	else if (paid_at <= pool->now)
		turn_due(pool);
	else if (paid_at > learned->check_at)
		learned->check_at = paid_at;
	xdr_free((xdrproc_t)xdr_gb_learned, (char *)&next);
}

void
learned_write_tick(struct gb_pool *pool)
{
	struct pool_learned *learned = pool->learned;
	struct learned_partition *partition;

	if (learned->check_at > pool->now)
		return;
	learned->check_at = pool->now + WRITE_CHECK_INTERVAL;
	partition = &learned->partitions[learned->turn];
	if (!row_writable(pool, learned->turn) || partition->in_flight ||
	    (partition->due && pool->now - learned->due_at > WRITE_DUE_MAX))
		turn_end(learned);
	else if (!partition->due)
		turn_check(pool);
}

bool
pool_learned_due(const struct gb_pool *pool, uint32_t number)
{
	return pool->learned != NULL && pool->learned->partitions[number].due;
}

/** Counts a row that is being sent. */
static void
row_charge(struct gb_pool *pool, size_t len)
{
	struct pool_learned *learned = pool->learned;

	learned->paid_at = row_paid_at(pool, len);
	if (learned->paid_at < pool->now - WRITE_SAVED)
		learned->paid_at = pool->now - WRITE_SAVED;
	pool->stats.learned_rows++;
	pool->stats.learned_bytes += row_sent_bytes(len);
}

bool
pool_learned_body(
    struct gb_pool *pool, uint32_t number, size_t max, gb_body *body)
{
	struct learned_partition *partition;
	size_t most;

	if (!pool_learned_due(pool, number) || !row_writable(pool, number))
		return false;
	partition = &pool->learned->partitions[number];
	most = row_size_max(pool);
	if (most > max)
		return false;
	learned_gather(pool, number, most, &partition->sent);
	partition->sent_at = pool->now;
	partition->in_flight = true;
	turn_end(pool->learned);
	if (!gb_xdr_encode((xdrproc_t)xdr_gb_learned, &partition->sent, body)) {
		pool_learned_written(pool, number, false);
		return false;
	}
	row_charge(pool, body->gb_body_len);
	return true;
}

void
pool_learned_written(struct gb_pool *pool, uint32_t number, bool stored)
{
	struct learned_partition *partition;

	if (pool->learned == NULL ||
	    !pool->learned->partitions[number].in_flight)
		return;
	partition = &pool->learned->partitions[number];
	partition->in_flight = false;
	if (stored) {
		xdr_free((xdrproc_t)xdr_gb_learned, (char *)&partition->stored);
		partition->stored = partition->sent;
		partition->stored_at = partition->sent_at;
	} else {
		xdr_free((xdrproc_t)xdr_gb_learned, (char *)&partition->sent);
	}
	memset(&partition->sent, 0, sizeof(partition->sent));
}
