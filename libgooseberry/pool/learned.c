/**
 * @file learned.c
 * What an owner has learned about workers, queues and organisations, and how
 * that of the previous owner is merged with it.
 *
 * Load: workers differ in speed by a factor of 2.7, and an owner needs some
 * seconds of runs until it knows the slow ones; of 456 late lookups of a day,
 * 51 and 29 came just after the two changes of the owner.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "learned.h"
#include "state.h"

/** Deviation of the logarithm of a slowness that was learned, in thousandths:
 * tasks of one step differ by 15 to 30%. */
#define WORKER_DEVIATION_MILLI 150
/** Bytes of a queue's values: three numbers of two bytes. */
#define QUEUE_VALUES 3
#define QUEUE_BYTES (2 * QUEUE_VALUES)
/** Values of a queue are stored in steps of 5%, so that smaller changes write
 * nothing. */
#define QUEUE_STEP 0.05
/** Encoded sizes in bytes: of a record without its lists, and of the entries
 * without their names. */
#define RECORD_BYTES 32
#define WORKER_BYTES 12
#define QUEUE_ENTRY_BYTES 8
#define ORG_ENTRY_BYTES 12
/** Part of a row that queues and organisations may take: the rest is left for
 * the workers. */
#define LISTS_PARTS 2
/** Interval at which workers that have answered are looked for. */
#define MATCH_INTERVAL (50 * GB_MSEC)

/* Values ------------------------------------------------------------------ */

/** The slowness that was learned of a worker. */
static void
worker_export(const struct pool_worker *worker, gb_time now, int32_t *log_milli,
    uint32_t *deviation_milli)
{
	(void)now;
	*log_milli = (int32_t)lround(log(worker->slowness) * 1000);
	*deviation_milli = worker->slowness == 1.0
			       ? LEARNED_PRIOR_DEVIATION_MILLI
			       : WORKER_DEVIATION_MILLI;
}

/** Merges a slowness with what this owner has learned, weighted by their
 * variances.  The variance of an estimate of the greatest age is twice that of
 * a new one. */
static void
worker_import(struct pool_worker *worker, gb_time now, int32_t log_milli,
    uint32_t deviation_milli, gb_time age)
{
	double aged = (double)age / LEARNED_AGE_MAX * WORKER_DEVIATION_MILLI;
	double variance =
	    (double)deviation_milli * deviation_milli + aged * aged;
	double own = (double)WORKER_DEVIATION_MILLI * WORKER_DEVIATION_MILLI;
	double value = (double)log_milli / 1000;

	(void)now;
	if (worker->slowness != 1.0)
		value = (value * own + log(worker->slowness) * variance) /
			(own + variance);
	worker->slowness = exp(value);
}

static void
step_put(uint8_t *out, double value)
{
	int16_t steps = INT16_MIN;

	if (value > 0)
		steps = (int16_t)lround(log(value) / log1p(QUEUE_STEP));
	out[0] = (uint8_t)((uint16_t)steps >> 8);
	out[1] = (uint8_t)((uint16_t)steps & 0xff);
}

/** Returns the value, 0: unknown. */
static double
step_get(const uint8_t *in)
{
	int16_t steps = (int16_t)((uint16_t)in[0] << 8 | in[1]);

	return steps == INT16_MIN ? 0 : exp(steps * log1p(QUEUE_STEP));
}

/** Run times and sizes that were learned of a queue; returns their length in
 * bytes, 0: nothing was learned. */
static size_t
queue_export(const struct pool_queue_stat *stat, uint8_t *out, size_t size)
{
	if (size < QUEUE_BYTES || stat->run_us <= 0)
		return 0;
	step_put(out, stat->ratio);
	step_put(out + 2, stat->run_us);
	step_put(out + 4, stat->cores);
	return QUEUE_BYTES;
}

/** Mean, by their logarithms, of two values; 0: unknown. */
static double
values_merge(double own, double other)
{
	if (own <= 0 || other <= 0)
		return own <= 0 ? other : own;
	return sqrt(own * other);
}

/** Merges the values of a queue; returns false when they can't be read. */
static bool
queue_import(
    struct pool_queue_stat *stat, const uint8_t *in, size_t len, gb_time age)
{
	double ratio;
	double run_us;

	(void)age;
	if (len != QUEUE_BYTES)
		return false;
	ratio = step_get(in);
	run_us = step_get(in + 2);
	if (ratio <= 0 || run_us <= 0)
		return false;
	stat->ratio =
	    stat->run_us <= 0 ? ratio : values_merge(stat->ratio, ratio);
	stat->run_us = values_merge(stat->run_us, run_us);
	stat->cores = values_merge(stat->cores, step_get(in + 4));
	return true;
}

/** Share that an organisation has left, in thousandths of a submission. */
static void
org_export(const struct pool_org *org, gb_time now, uint64_t *use)
{
	(void)now;
	*use = org->share_left <= 0 ? 0 : (uint64_t)(org->share_left * 1000);
}

/** An organisation that has used its share under the previous owner does not
 * get it again. */
static void
org_import(struct pool_org *org, gb_time now, uint64_t use, gb_time age)
{
	double left = (double)use / 1000;

	if (org->accepted == 0) {
		org->share_left = left;
		org->share_at = now - age;
	} else if (left < org->share_left) {
		org->share_left = left;
	}
}

/* Gathering --------------------------------------------------------------- */

/** Size of a string or of opaque bytes in XDR without the length. */
static size_t
padded(size_t len)
{
	return (len + BYTES_PER_XDR_UNIT - 1) / BYTES_PER_XDR_UNIT *
	       BYTES_PER_XDR_UNIT;
}

static bool
name_is_of(const char *name, uint32_t partition)
{
	return gb_hash(name, strlen(name)) % GB_POOL_PARTITIONS == partition;
}

/** Adds queues in at most `max` bytes; returns how many were used. */
static size_t
queues_gather(
    const struct gb_pool *pool, uint32_t number, size_t max, gb_learned *out)
{
	uint8_t bytes[GB_LEARNED_QUEUE_MAX];
	struct pool_queue_stat *stat;
	struct pool_queue_stat *next;
	gb_learned_queue *queue;
	size_t used = 0;
	size_t size;
	size_t len;

	out->queues.queues_val =
	    gb_calloc(HASH_COUNT(pool->queues) + 1, sizeof(*queue));
	HASH_ITER(hh, pool->queues, stat, next)
	{
		if (!name_is_of(stat->name, number))
			continue;
		len = queue_export(stat, bytes, sizeof(bytes));
		size = QUEUE_ENTRY_BYTES + padded(strlen(stat->name)) +
		       padded(len);
		if (len == 0 || used + size > max)
			continue;
		used += size;
		queue = &out->queues.queues_val[out->queues.queues_len++];
		queue->name = gb_strdup(stat->name);
		queue->times.times_len = (u_int)len;
		queue->times.times_val = gb_calloc(1, len);
		memcpy(queue->times.times_val, bytes, len);
	}
	return used;
}

/** The same for organisations. */
static size_t
orgs_gather(
    const struct gb_pool *pool, uint32_t number, size_t max, gb_learned *out)
{
	struct pool_org *org;
	struct pool_org *next;
	gb_learned_org *entry;
	size_t used = 0;
	size_t size;

	out->orgs.orgs_val =
	    gb_calloc(HASH_COUNT(pool->orgs) + 1, sizeof(*entry));
	HASH_ITER(hh, pool->orgs, org, next)
	{
		size = ORG_ENTRY_BYTES + padded(strlen(org->name));
		if (org->share_at == 0 || used + size > max ||
		    !name_is_of(org->name, number))
			continue;
		used += size;
		entry = &out->orgs.orgs_val[out->orgs.orgs_len++];
		entry->name = gb_strdup(org->name);
		org_export(org, pool->now, &entry->use);
	}
	return used;
}

/** Orders workers by how much they differ from the mean: the next owner assumes
 * the mean of those that it knows nothing of. */
static int
workers_compare(const void *a, const void *b)
{
	const gb_learned_worker *x = a;
	const gb_learned_worker *y = b;
	int differ = abs(y->log_milli) - abs(x->log_milli);

	return differ != 0 ? differ : (x->hash > y->hash) - (x->hash < y->hash);
}

static void
workers_gather(
    const struct gb_pool *pool, uint32_t number, size_t max, gb_learned *out)
{
	const struct pool_learned *learned = pool->learned;
	gb_learned_worker *entries =
	    gb_calloc(learned->worker_count + 1, sizeof(*entries));
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < learned->worker_count; i++) {
		gb_learned_worker *entry = &entries[count];

		if (!learned->workers[i].known || pool->workers[i]->ended ||
		    learned->workers[i].hash % GB_POOL_PARTITIONS != number)
			continue;
		entry->hash = learned->workers[i].hash;
		worker_export(pool->workers[i], pool->now, &entry->log_milli,
		    &entry->deviation_milli);
		count += entry->deviation_milli < LEARNED_PRIOR_DEVIATION_MILLI;
	}
	if (count > max / WORKER_BYTES) {
		qsort(entries, count, sizeof(*entries), workers_compare);
		count = (uint32_t)(max / WORKER_BYTES);
	}
	out->workers.workers_val = entries;
	out->workers.workers_len = count;
	learned_record_sort(out);
}

void
learned_gather(
    struct gb_pool *pool, uint32_t number, size_t max, gb_learned *out)
{
	size_t left = max > RECORD_BYTES ? max - RECORD_BYTES : 0;
	size_t lists = left / LISTS_PARTS;
	size_t used;

	memset(out, 0, sizeof(*out));
	out->format = GB_LEARNED_FORMAT;
	out->wall_us = pool->wall;
	out->epoch = pool->epoch;
	used = queues_gather(pool, number, lists, out);
	used += orgs_gather(pool, number, lists - used, out);
	workers_gather(pool, number, left - used, out);
}

/* Merging ----------------------------------------------------------------- */

void
learned_apply(struct gb_pool *pool, const gb_learned *record, gb_time age)
{
	struct pool_org *org;
	u_int i;

	for (i = 0; i < record->queues.queues_len; i++) {
		const gb_learned_queue *queue = &record->queues.queues_val[i];

		if (pool->config == NULL ||
		    gb_pool_config_queue(pool->config, queue->name) == NULL)
			continue; /* it was removed */
		if (!queue_import(pool_rank_queue_stat(pool, queue->name),
			(const uint8_t *)queue->times.times_val,
			queue->times.times_len, age)) {
			pool->learned->ignored[GB_LEARNED_UNREADABLE]++;
			pool->stats.learned_ignored[GB_LEARNED_UNREADABLE]++;
		}
	}
	for (i = 0; i < record->orgs.orgs_len; i++) {
		HASH_FIND_STR(pool->orgs, record->orgs.orgs_val[i].name, org);
		if (org != NULL)
			org_import(
			    org, pool->now, record->orgs.orgs_val[i].use, age);
	}
}

/** Hash of a worker's id and incarnation.  32 bits are enough: a collision only
 * gives a worker a wrong first estimate. */
static uint32_t
worker_hash(const struct pool_worker *worker)
{
	char text[GB_NAME_MAX + 32];
	int len = snprintf(text, sizeof(text), "%s/%lld", worker->entry.id,
	    (long long)worker->incarnation);

	return (uint32_t)gb_hash(text, (size_t)len);
}

/** Merges what the rows that were read say of a worker, once. */
static void
worker_apply(struct gb_pool *pool, struct pool_worker *worker, uint32_t hash)
{
	struct learned_partition *partition =
	    &pool->learned->partitions[hash % GB_POOL_PARTITIONS];
	gb_learned_worker *found =
	    learned_record_worker(&partition->found, hash);
	gb_time age = pool->now - partition->found_at;

	if (found == NULL || found->deviation_milli == 0 ||
	    age > LEARNED_AGE_MAX)
		return;
	worker_import(
	    worker, pool->now, found->log_milli, found->deviation_milli, age);
	found->deviation_milli = 0; /* is applied */
	pool->learned->workers_applied++;
	pool->stats.learned_workers++;
}

static void
workers_grow(struct gb_pool *pool)
{
	struct pool_learned *learned = pool->learned;
	uint32_t count = pool->worker_count;

	if (learned->worker_count >= count)
		return;
	learned->workers =
	    gb_realloc(learned->workers, count * sizeof(*learned->workers));
	memset(&learned->workers[learned->worker_count], 0,
	    (count - learned->worker_count) * sizeof(*learned->workers));
	learned->worker_count = count;
}

void
learned_workers_match(struct gb_pool *pool)
{
	struct pool_learned *learned = pool->learned;
	uint32_t i;

	if (pool->now < learned->match_at)
		return;
	learned->match_at = pool->now + MATCH_INTERVAL;
	workers_grow(pool);
	for (i = 0; i < learned->worker_count; i++) {
		struct pool_worker *worker = pool->workers[i];
		struct learned_worker *known = &learned->workers[i];

		if (!worker->fenced ||
		    (known->known && known->looked_up &&
			known->incarnation == worker->incarnation))
			continue;
		known->known = true;
		known->looked_up = true;
		known->incarnation = worker->incarnation;
		known->hash = worker_hash(worker);
		worker_apply(pool, worker, known->hash);
	}
}

/* State ------------------------------------------------------------------- */

static void
learned_begin(struct gb_pool *pool)
{
	pool->learned = gb_calloc(1, sizeof(*pool->learned));
	pool->learned->began_at = pool->now;
	pool->learned->paid_at = pool->now;
}

void
pool_learned_reset(struct gb_pool *pool)
{
	uint32_t i;

	if (pool->learned == NULL)
		return;
	for (i = 0; i < GB_POOL_PARTITIONS; i++) {
		struct learned_partition *p = &pool->learned->partitions[i];

		xdr_free((xdrproc_t)xdr_gb_learned, (char *)&p->found);
		xdr_free((xdrproc_t)xdr_gb_learned, (char *)&p->sent);
		xdr_free((xdrproc_t)xdr_gb_learned, (char *)&p->stored);
	}
	free(pool->learned->workers);
	free(pool->learned);
	pool->learned = NULL;
}

void
pool_learned_tick(struct gb_pool *pool)
{
	if (!POOL_FEATURE_ENABLED(pool, GB_FEATURE_LEARNED_STATE))
		return;
	if (pool->learned == NULL)
		learned_begin(pool);
	learned_read_tick(pool);
	learned_workers_match(pool);
	learned_write_tick(pool);
}
