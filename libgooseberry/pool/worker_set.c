/**
 * @file worker_set.c
 * The stored sets of workers, one in each partition, that may run tasks of the
 * flows in that partition. A start is sent only to a worker in the set, so that
 * a successor knows which workers to ask, even if the platform does not list
 * them: entries expire while the store is unavailable.
 */
#include <stdlib.h>
#include <string.h>

#include "state.h"

/** Row of the stored set that contains a worker, as a bit. */
static uint64_t
set_row(const struct pool_worker *worker)
{
	return UINT64_C(1) << (worker->handle / POOL_SET_ROW_WORKERS %
			       POOL_SET_ROWS);
}

void
pool_worker_set_mark_dirty(
    struct gb_pool *pool, const struct pool_worker *worker)
{
	uint32_t i;

	for (i = 0; i < GB_POOL_PARTITIONS; i++)
		pool->partitions[i].set_changed |= set_row(worker);
}

void
pool_worker_set_mark_missing(
    struct gb_pool *pool, const struct pool_worker *worker)
{
	uint32_t i;

	for (i = 0; i < GB_POOL_PARTITIONS; i++) {
		if ((worker->in_stored_sets & (UINT32_C(1) << i)) == 0)
			pool->partitions[i].set_changed |= set_row(worker);
	}
}

/** Whether an owner may have sent runs to a worker that may still have them. */
bool
pool_worker_in_use(const struct gb_pool *pool, const struct pool_worker *worker)
{
	if (worker->ended)
		return false;
	if (pool_worker_offered(worker) || worker->run_count > 0)
		return true;
	/* It may have runs while it answers, until every lease that it was
	 * given has expired, and while runs of earlier owners may exist that
	 * are not known yet. */
	return worker->in_stored_sets != 0 &&
	       (worker->silent == 0 || worker->lapse_at >= pool->now ||
		   !pool_owner_reconciled(pool));
}

bool
pool_worker_set_body(
    struct gb_pool *pool, uint32_t partition_number, gb_body *body)
{
	struct pool_partition *partition = &pool->partitions[partition_number];
	unsigned int row =
	    (unsigned int)__builtin_ctzll(partition->set_changed);
	uint32_t partition_bit = UINT32_C(1) << partition_number;
	uint32_t first = row * POOL_SET_ROW_WORKERS;
	uint32_t last = first + POOL_SET_ROW_WORKERS;
	gb_worker_set set = {0};
	bool encoded;
	uint32_t i;

	set.list.list_val =
	    gb_calloc(POOL_SET_ROW_WORKERS, sizeof(gb_worker_ref));
	set.incarnations.incarnations_val =
	    gb_calloc(POOL_SET_ROW_WORKERS, sizeof(int64_t));
	for (i = first; i < last && i < pool->worker_count; i++) {
		struct pool_worker *worker = pool->workers[i];
		gb_worker_ref *ref = &set.list.list_val[set.list.list_len];

		worker->in_sent_sets &= ~partition_bit;
		if (!pool_worker_in_use(pool, worker))
			continue;
		worker->in_sent_sets |= partition_bit;
		ref->id = worker->entry.id;
		ref->addr = worker->entry.addr;
		set.incarnations
		    .incarnations_val[set.incarnations.incarnations_len++] =
		    worker->incarnation;
		set.list.list_len++;
	}
	partition->set_sent = UINT64_C(1) << row;
	partition->set_changed &= ~partition->set_sent;
	snprintf(partition->set_key, sizeof(partition->set_key),
	    GB_POOL_WORKERS_KEY "%02u", row % POOL_SET_ROWS);
	encoded = gb_xdr_encode((xdrproc_t)xdr_gb_worker_set, &set, body);
	free(set.list.list_val);
	free(set.incarnations.incarnations_val);
	return encoded;
}

void
pool_worker_set_mark_row(
    struct gb_pool *pool, uint32_t partition, const char *key)
{
	unsigned long row =
	    strtoul(key + strlen(GB_POOL_WORKERS_KEY), NULL, 10);

	pool->partitions[partition].set_changed |= UINT64_C(1)
						   << (row % POOL_SET_ROWS);
}

void
pool_worker_set_stored(
    struct gb_pool *pool, uint32_t partition_number, bool stored)
{
	struct pool_partition *partition = &pool->partitions[partition_number];
	uint32_t partition_bit = UINT32_C(1) << partition_number;
	uint64_t sent_row = partition->set_sent;
	uint32_t i;

	partition->set_sent = 0;
	if (!stored) {
		partition->set_changed |= sent_row;
		return;
	}
	for (i = 0; i < pool->worker_count; i++) {
		struct pool_worker *worker = pool->workers[i];

		if (set_row(worker) == sent_row)
			worker->in_stored_sets =
			    (worker->in_stored_sets & ~partition_bit) |
			    (worker->in_sent_sets & partition_bit);
	}
	pool->work_changed = true;
}

void
pool_worker_recorded(struct gb_pool *pool, uint32_t partition,
    const gb_worker_ref *ref, int64_t incarnation)
{
	struct pool_worker *worker = pool_worker_find(pool, ref->id);
	struct gb_pool_entry entry = {0};

	if (worker == NULL) {
		snprintf(entry.id, sizeof(entry.id), "%s", ref->id);
		snprintf(entry.addr, sizeof(entry.addr), "%s", ref->addr);
		worker = pool_worker_new(pool, &entry);
	}
	worker->in_stored_sets |= UINT32_C(1) << partition;
	worker->recorded_incarnation = incarnation;
}
