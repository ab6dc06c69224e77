/**
 * @file store_op.c
 * Operations on the platform's table service that are in flight.
 */
#include <stdlib.h>
#include <string.h>

#include "core.h"

/** Keep an operation until its result arrives or it times out. */
static struct store_op *
op_add(struct gb_core *core, store_done_fn done, uint32_t shard, uint64_t ref)
{
	struct store_op *op = gb_calloc(1, sizeof(*op));

	op->id = ++core->next_op;
	op->started = core->now;
	op->done = done;
	op->shard = shard;
	op->ref = ref;
	if (shard != GB_NONE)
		op->serial = core->shards[shard].serial;
	HASH_ADD(hh, core->ops, id, sizeof(op->id), op);
	core->stats.store_ops++;
	return op;
}

static void
op_finish(struct gb_core *core, struct store_op *op,
    const struct store_result *result)
{
	HASH_DEL(core->ops, op);
	if (result->status == GB_STORE_REFUSED ||
	    result->status == GB_STORE_UNKNOWN)
		core->stats.store_failures++;
	op->done(core, op, result);
	free(op);
}

void
store_op_scan(struct gb_core *core, const char *prefix, const char *after,
    uint32_t limit, store_done_fn done, uint32_t shard, uint64_t ref)
{
	struct gb_action *action = core_action_add(core, GB_ACT_SCAN);

	action->u.scan.prefix = gb_strdup(prefix);
	action->u.scan.after = gb_strdup(after);
	action->u.scan.limit = limit;
	action->id = op_add(core, done, shard, ref)->id;
}

void
store_op_txn(struct gb_core *core, gb_txn *txn, store_done_fn done,
    uint32_t shard, uint64_t ref)
{
	struct gb_action *action = core_action_add(core, GB_ACT_TXN);

	action->u.txn = *txn;
	memset(txn, 0, sizeof(*txn));
	action->id = op_add(core, done, shard, ref)->id;
}

void
store_txn_cond(gb_txn *txn, const char *key, uint64_t vers)
{
	u_int n = txn->conds.conds_len++;

	txn->conds.conds_val =
	    gb_realloc(txn->conds.conds_val, (n + 1) * sizeof(gb_cond));
	txn->conds.conds_val[n].key = gb_strdup(key);
	txn->conds.conds_val[n].vers = vers;
}

static gb_put *
txn_put_add(gb_txn *txn, const char *key)
{
	u_int n = txn->puts.puts_len++;
	gb_put *put;

	txn->puts.puts_val =
	    gb_realloc(txn->puts.puts_val, (n + 1) * sizeof(gb_put));
	put = &txn->puts.puts_val[n];
	memset(put, 0, sizeof(*put));
	put->key = gb_strdup(key);
	return put;
}

void
store_txn_put(gb_txn *txn, const char *key, gb_body value)
{
	txn_put_add(txn, key)->value = value;
}

void
store_txn_remove(gb_txn *txn, const char *key)
{
	txn_put_add(txn, key)->remove = TRUE;
}

void
gb_core_txn_done(
    struct gb_core *core, gb_time now, uint64_t id, const gb_txn_res *res)
{
	struct store_result result = {.status = res->status, .vers = res->vers};
	struct store_op *op;

	core->now = now;
	HASH_FIND(hh, core->ops, &id, sizeof(id), op);
	if (op != NULL)
		op_finish(core, op, &result);
}

void
gb_core_scan_done(
    struct gb_core *core, gb_time now, uint64_t id, const gb_scan_res *res)
{
	struct store_result result = {.status = res->status,
	    .rows = res->rows.rows_val,
	    .count = res->rows.rows_len,
	    .more = res->more};
	struct store_op *op;

	core->now = now;
	HASH_FIND(hh, core->ops, &id, sizeof(id), op);
	if (op != NULL)
		op_finish(core, op, &result);
}

void
store_op_tick(struct gb_core *core)
{
	static const struct store_result unknown = {.status = GB_STORE_UNKNOWN};
	struct store_op *op;

	/* The hash table iterates in the order in which they were sent. */
	while ((op = core->ops) != NULL &&
	       core->now - op->started >= core->cfg.op_timeout_us)
		op_finish(core, op, &unknown);
}
