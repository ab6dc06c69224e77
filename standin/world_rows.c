/**
 * @file world_rows.c
 * Tables of the platform model.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world_state.h"

static void
row_name(char *out, size_t size, uint32_t partition, enum gb_pool_table table,
    const char *key)
{
	memset(out, 0, size);
	snprintf(out, size, "%u/%d/%.200s", partition, (int)table, key);
}

static struct world_row *
row_find(struct world *world, uint32_t partition, enum gb_pool_table table,
    const char *key)
{
	char name[GB_KEY_MAX + 1];
	struct world_row *row;

	row_name(name, sizeof(name), partition, table, key);
	HASH_FIND_STR(world->by_name, name, row);
	return row;
}

static void
row_free(struct world *world, struct world_row *row)
{
	HASH_DEL(world->by_name, row);
	TAILQ_REMOVE(&world->rows, row, next);
	free(row->key);
	free(row->value.gb_body_val);
	free(row);
}

void
world_rows_free(struct world *world)
{
	struct world_row *row;

	while ((row = TAILQ_FIRST(&world->rows)) != NULL)
		row_free(world, row);
}

static void
row_insert(struct world *world, struct world_row *row)
{
	struct world_row *after;

	/* Most new keys are the highest, so the search starts at the end. */
	TAILQ_FOREACH_REVERSE(after, &world->rows, world_rows, next)
	{
		if (strcmp(after->key, row->key) <= 0)
			break;
	}
	if (after == NULL)
		TAILQ_INSERT_HEAD(&world->rows, row, next);
	else
		TAILQ_INSERT_AFTER(&world->rows, after, row, next);
	HASH_ADD_STR(world->by_name, name, row);
}

static void
body_copy(gb_body *to, const gb_body *from)
{
	to->gb_body_len = from->gb_body_len;
	to->gb_body_val = gb_calloc(1, from->gb_body_len);
	if (from->gb_body_len > 0)
		memcpy(to->gb_body_val, from->gb_body_val, from->gb_body_len);
}

static void
row_put(struct world *world, uint32_t partition, const struct gb_pool_row *put)
{
	struct world_row *row =
	    row_find(world, partition, put->table, put->key);

	if (put->remove) {
		if (row != NULL)
			row_free(world, row);
		return;
	}
	if (row == NULL) {
		row = gb_calloc(1, sizeof(*row));
		row_name(row->name, sizeof(row->name), partition, put->table,
		    put->key);
		row->partition = partition;
		row->table = put->table;
		row->key = gb_strdup(put->key);
		row_insert(world, row);
	}
	free(row->value.gb_body_val);
	body_copy(&row->value, &put->value);
	row->vers = world->vers;
}

static void
row_copy(struct gb_pool_row *out, const struct world_row *row)
{
	out->table = row->table;
	out->key = gb_strdup(row->key);
	out->vers = row->vers;
	body_copy(&out->value, &row->value);
}

static void
rows_free(struct gb_pool_row *rows, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++) {
		free((char *)rows[i].key);
		free(rows[i].value.gb_body_val);
	}
	free(rows);
}

void
world_txn(struct world *world, const struct gb_pool_txn *txn,
    struct gb_pool_txn_res *res)
{
	const struct world_row *row;
	size_t i;

	memset(res, 0, sizeof(*res));
	res->status = GB_STORE_OK;
	res->rows = gb_calloc(txn->cond_count, sizeof(*res->rows));
	for (i = 0; i < txn->cond_count; i++) {
		row = row_find(world, txn->partition, txn->conds[i].table,
		    txn->conds[i].key);
		if ((row == NULL ? 0 : row->vers) != txn->conds[i].vers)
			res->status = GB_STORE_CONFLICT;
		if (row != NULL)
			row_copy(&res->rows[res->row_count++], row);
	}
	if (res->status != GB_STORE_OK)
		return;
	world->vers++;
	for (i = 0; i < txn->put_count; i++)
		row_put(world, txn->partition, &txn->puts[i]);
	res->vers = world->vers;
}

void
world_txn_free(struct gb_pool_txn_res *res)
{
	rows_free(res->rows, res->row_count);
}

void
world_read(struct world *world, const struct gb_pool_read *read,
    struct gb_pool_read_res *res)
{
	const struct world_row *row;

	memset(res, 0, sizeof(*res));
	res->status = GB_STORE_OK;
	res->rows = gb_calloc(read->limit, sizeof(*res->rows));
	TAILQ_FOREACH(row, &world->rows, next)
	{
		if (row->partition != read->partition ||
		    row->table != read->table ||
		    strcmp(row->key, read->from) < 0 ||
		    (read->to[0] != '\0' && strcmp(row->key, read->to) >= 0))
			continue;
		if (res->row_count == read->limit) {
			res->more = true;
			break;
		}
		row_copy(&res->rows[res->row_count++], row);
	}
}

void
world_read_free(struct gb_pool_read_res *res)
{
	rows_free(res->rows, res->row_count);
}

uint64_t
world_vers(const struct world *world)
{
	return world->vers;
}

uint64_t
world_vers_next(struct world *world)
{
	return ++world->vers;
}

unsigned int
world_row_count(const struct world *world, enum gb_pool_table table)
{
	const struct world_row *row;
	unsigned int count = 0;

	TAILQ_FOREACH(row, &world->rows, next)
	{
		if (row->table == table)
			count++;
	}
	return count;
}
