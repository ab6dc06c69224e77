/**
 * @file rival.c
 * The node to which a claim or an owner lost the pool, for events in the log.
 * Nothing else depends on it.
 */
#include <string.h>

#include "state.h"

void
pool_rival_seen(struct gb_pool *pool, const gb_owner_row *row)
{
	struct pool_rival *rival = &pool->rival;

	if (row->incarnation == pool->cfg.incarnation)
		return;
	snprintf(rival->addr, sizeof(rival->addr), "%s", row->addr);
	snprintf(rival->name, sizeof(rival->name), "%s", row->name);
	rival->epoch = row->epoch;
}

void
pool_rival_read(struct gb_pool *pool, const gb_owner_row *row)
{
	if (row->epoch > pool->claim_previous_epoch)
		pool_rival_seen(pool, row);
}

void
pool_rival_conflict(struct gb_pool *pool, const struct gb_pool_txn_res *res)
{
	struct gb_owner_record record = {0};

	if (res->row_count == 0 ||
	    !gb_owner_record_decode(&record, &res->rows[0].value))
		return;
	pool_rival_seen(pool, &record.row);
	gb_owner_record_clear(&record);
}

struct pool_rival
pool_rival_newer(const struct gb_pool *pool)
{
	const struct pool_rival none = {0};

	return pool->rival.epoch > pool->epoch ? pool->rival : none;
}
