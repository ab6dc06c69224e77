/**
 * @file quota.c
 * Quotas of organisations: what each may have running on all workers.
 *
 * Quotas hold also while a large organisation sends several times its usual
 * load, owners are lost and orders get no answer.  A run counts from its start
 * order until it has certainly ended and can't begin any more.  This includes
 * orders without answer, runs being stopped, speculative copies, and runs on an
 * unreachable worker until its lease has expired.
 *
 * After a takeover it is unknown what runs on workers that have not answered.
 * Whichever organisation it belongs to, it is at most their capacity: that
 * counts against every quota until they have answered, or until all leases of
 * earlier owners have expired.  Most workers answer within 0.3 s.
 */
#include "state.h"

static struct gb_pool_amount
amount_of(const gb_res *res)
{
	const struct gb_pool_amount amount = {res->cpu, res->mem, res->accel};

	return amount;
}

static void
amount_add(struct gb_pool_amount *sum, const struct gb_pool_amount *more)
{
	sum->cpu += more->cpu;
	sum->mem += more->mem;
	sum->accel += more->accel;
}

static void
amount_sub(struct gb_pool_amount *sum, const struct gb_pool_amount *less)
{
	sum->cpu -= less->cpu;
	sum->mem -= less->mem;
	sum->accel -= less->accel;
}

void
pool_quota_add_run(struct pool_org *org, const gb_res *res)
{
	const struct gb_pool_amount amount = amount_of(res);

	if (org == NULL)
		return;
	amount_add(&org->used, &amount);
	org->runs++;
}

void
pool_quota_remove_run(struct pool_org *org, const gb_res *res)
{
	const struct gb_pool_amount amount = amount_of(res);

	if (org == NULL)
		return;
	amount_sub(&org->used, &amount);
	org->runs--;
}

/** Number of tasks, at most `wanted`, that fit into what is left of the quota
 * of one resource; 0 as the quota: no limit. */
static uint32_t
resource_fits(int64_t quota, int64_t taken, int64_t each, uint32_t wanted)
{
	int64_t count;

	if (quota == 0 || each <= 0)
		return wanted;
	count = (quota - taken) / each;
	if (quota < taken || count <= 0)
		return 0;
	return count < (int64_t)wanted ? (uint32_t)count : wanted;
}

static uint32_t
quota_fits(const struct gb_pool_amount *quota,
    const struct gb_pool_amount *taken, const gb_res *each, uint32_t wanted)
{
	wanted = resource_fits(quota->cpu, taken->cpu, each->cpu, wanted);
	wanted = resource_fits(quota->mem, taken->mem, each->mem, wanted);
	return resource_fits(quota->accel, taken->accel, each->accel, wanted);
}

uint32_t
pool_quota_fits(const struct gb_pool *pool, const struct pool_org *org,
    const gb_res *each, uint32_t wanted)
{
	struct gb_pool_amount taken;

	if (org == NULL)
		return wanted;
	taken = org->used;
	amount_add(&taken, &pool->uncertain_use);
	return quota_fits(&org->quota, &taken, each, wanted);
}

bool
pool_quota_admits(
    const struct gb_pool_amount *quota, const gb_res *each, uint32_t count)
{
	static const struct gb_pool_amount none;

	return quota_fits(quota, &none, each, count) == count;
}

/** Whether a worker may have runs that this owner doesn't know of. */
static bool
worker_use_uncertain(const struct gb_pool *pool,
    const struct pool_worker *worker, bool reconciled)
{
	if (worker->ended)
		return false;
	if (worker->has_unknown_runs)
		return worker->silent == 0 || worker->lapse_at >= pool->now;
	return !worker->fenced && !reconciled;
}

/** Largest capacity of any known worker, of each resource: assumed for a worker
 * that is no longer listed. */
static struct gb_pool_amount
worker_capacity_max(const struct gb_pool *pool)
{
	struct gb_pool_amount max = {0};
	uint32_t i;

	for (i = 0; i < pool->worker_count; i++) {
		const gb_res *capacity = &pool->workers[i]->entry.capacity;

		if (capacity->cpu > max.cpu)
			max.cpu = capacity->cpu;
		if (capacity->mem > max.mem)
			max.mem = capacity->mem;
		if (capacity->accel > max.accel)
			max.accel = capacity->accel;
	}
	return max;
}

void
pool_quota_update_uncertain(struct gb_pool *pool)
{
	static const struct gb_pool_amount none;
	bool reconciled = pool_owner_reconciled(pool);
	struct gb_pool_amount max = worker_capacity_max(pool);
	uint32_t i;

	pool->uncertain_use = none;
	for (i = 0; i < pool->worker_count; i++) {
		const struct pool_worker *worker = pool->workers[i];
		struct gb_pool_amount capacity =
		    amount_of(&worker->entry.capacity);
		struct gb_pool_amount used = amount_of(&worker->used);

		if (!worker_use_uncertain(pool, worker, reconciled))
			continue;
		if (capacity.cpu == 0)
			capacity = max;
		amount_add(&pool->uncertain_use, &capacity);
		amount_sub(&pool->uncertain_use, &used);
	}
}
