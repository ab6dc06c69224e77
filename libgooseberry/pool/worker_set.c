/**
 * @file worker_set.c
 * The stored set of workers that may run something.  A start goes only to a
 * worker that stands in it, so that a successor knows whom to ask, also when
 * the platform's list does not name them: entries lapse while the store is
 * away.
 */
#include <stdlib.h>
#include <string.h>

#include "state.h"

/** Row of the stored set that a worker stands in, as a bit. */
static uint64_t
set_row(const struct pool_worker *worker)
{
	return UINT64_C(1) << (worker->handle / POOL_SET_WORKERS %
			       POOL_SET_ROWS);
}

void
pool_worker_set_mark(struct gb_pool *pool, const struct pool_worker *worker)
{
	pool->set_changed |= set_row(worker);
}

/** Whether an owner may have sent runs to a worker that may still have them. */
bool
pool_worker_in_use(const struct gb_pool *pool, const struct pool_worker *worker)
{
	if (worker->over)
		return false;
	if (worker->listed || worker->run_count > 0)
		return true;
	/* Unlisted and silent: until every lease it was given is over. */
	return worker->recorded &&
	       (worker->silent == 0 || worker->lapse_at >= pool->now ||
		   !pool->settled);
}

bool
pool_worker_set_body(struct gb_pool *pool, gb_body *body)
{
	unsigned int number = (unsigned int)__builtin_ctzll(pool->set_changed);
	uint32_t first = number * POOL_SET_WORKERS;
	uint32_t last = first + POOL_SET_WORKERS;
	gb_worker_set set = {0};
	bool ok;
	uint32_t i;

	set.list.list_val = gb_calloc(POOL_SET_WORKERS, sizeof(gb_worker_ref));
	for (i = first; i < last && i < pool->worker_count; i++) {
		struct pool_worker *worker = pool->workers[i];
		gb_worker_ref *ref = &set.list.list_val[set.list.list_len];

		worker->recording = pool_worker_in_use(pool, worker);
		if (!worker->recording)
			continue;
		ref->id = worker->entry.id;
		ref->addr = worker->entry.addr;
		set.list.list_len++;
	}
	pool->set_sent = UINT64_C(1) << number;
	pool->set_changed &= ~pool->set_sent;
	snprintf(pool->set_key, sizeof(pool->set_key),
	    GB_POOL_WORKERS_KEY "%02u", number % POOL_SET_ROWS);
	ok = gb_xdr_encode((xdrproc_t)xdr_gb_worker_set, &set, body);
	free(set.list.list_val);
	return ok;
}

void
pool_worker_set_read(struct gb_pool *pool, const char *key)
{
	unsigned long number =
	    strtoul(key + strlen(GB_POOL_WORKERS_KEY), NULL, 10);

	pool->set_changed |= UINT64_C(1) << (number % POOL_SET_ROWS);
}

void
pool_worker_set_stored(struct gb_pool *pool, bool stored)
{
	uint64_t sent = pool->set_sent;
	uint32_t i;

	pool->set_sent = 0;
	if (!stored) {
		pool->set_changed |= sent;
		return;
	}
	for (i = 0; i < pool->worker_count; i++) {
		if (set_row(pool->workers[i]) == sent)
			pool->workers[i]->recorded =
			    pool->workers[i]->recording;
	}
	pool->work_changed = true;
}

void
pool_worker_recorded(struct gb_pool *pool, const gb_worker_ref *ref)
{
	struct pool_worker *worker = pool_worker_find(pool, ref->id);
	struct gb_pool_entry entry = {0};

	if (worker == NULL) {
		snprintf(entry.id, sizeof(entry.id), "%s", ref->id);
		snprintf(entry.addr, sizeof(entry.addr), "%s", ref->addr);
		worker = pool_worker_new(pool, &entry);
	}
	worker->recorded = true;
}
