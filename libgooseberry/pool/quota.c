/**
 * @file quota.c
 * Quotas of organisations: what one may have running over all workers.
 *
 * Load: a large organisation sends several times its usual, so that it stands
 * at its quota while owners are lost and orders go without an answer.  A run
 * counts from its order until it is proved that it is over and can't begin any
 * more: orders without answer, runs that are being stopped, copies, and what
 * ran on a worker that is away, until its lease has lapsed.
 *
 * After a takeover nobody knows what runs on workers that have not answered.
 * Whoever it belongs to, it is no more than there is room on them: that counts
 * against every quota until they have answered, or until no lease of an earlier
 * owner lasts.  Most answer within 0.3 s.
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
pool_quota_take(struct pool_org *org, const gb_res *res)
{
	const struct gb_pool_amount amount = amount_of(res);

	if (org == NULL)
		return;
	amount_add(&org->used, &amount);
	org->runs++;
}

void
pool_quota_give(struct pool_org *org, const gb_res *res)
{
	const struct gb_pool_amount amount = amount_of(res);

	if (org == NULL)
		return;
	amount_sub(&org->used, &amount);
	org->runs--;
}

/** How many of so many fit into what is left of one kind of room. */
static uint32_t
kind_fits(int64_t quota, int64_t taken, int64_t each, uint32_t wanted)
{
	int64_t times;

	if (quota == 0 || each <= 0)
		return wanted;
	times = (quota - taken) / each;
	if (quota < taken || times <= 0)
		return 0;
	return times < (int64_t)wanted ? (uint32_t)times : wanted;
}

static uint32_t
quota_fits(const struct gb_pool_amount *quota,
    const struct gb_pool_amount *taken, const gb_res *each, uint32_t wanted)
{
	wanted = kind_fits(quota->cpu, taken->cpu, each->cpu, wanted);
	wanted = kind_fits(quota->mem, taken->mem, each->mem, wanted);
	return kind_fits(quota->accel, taken->accel, each->accel, wanted);
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

/** Whether something may run on a worker that this owner does not know of. */
static bool
worker_doubtful(const struct gb_pool *pool, const struct pool_worker *worker,
    bool reconciled)
{
	if (worker->over)
		return false;
	if (worker->foreign)
		return worker->silent == 0 || worker->lapse_at >= pool->now;
	return !worker->fenced && !reconciled;
}

/** A worker that nobody lists any more may be as large as any. */
static struct gb_pool_amount
worker_most(const struct gb_pool *pool)
{
	struct gb_pool_amount most = {0};
	uint32_t i;

	for (i = 0; i < pool->worker_count; i++) {
		const gb_res *room = &pool->workers[i]->entry.capacity;

		if (room->cpu > most.cpu)
			most.cpu = room->cpu;
		if (room->mem > most.mem)
			most.mem = room->mem;
		if (room->accel > most.accel)
			most.accel = room->accel;
	}
	return most;
}

void
pool_quota_doubt(struct gb_pool *pool)
{
	static const struct gb_pool_amount none;
	bool reconciled = pool_owner_reconciled(pool);
	struct gb_pool_amount most = worker_most(pool);
	uint32_t i;

	pool->uncertain_use = none;
	for (i = 0; i < pool->worker_count; i++) {
		const struct pool_worker *worker = pool->workers[i];
		struct gb_pool_amount room = amount_of(&worker->entry.capacity);
		struct gb_pool_amount used = amount_of(&worker->used);

		if (!worker_doubtful(pool, worker, reconciled))
			continue;
		if (room.cpu == 0)
			room = most;
		amount_add(&pool->uncertain_use, &room);
		amount_sub(&pool->uncertain_use, &used);
	}
}
