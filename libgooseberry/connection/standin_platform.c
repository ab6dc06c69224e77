/**
 * @file standin_platform.c
 * Platform functions that call the stand-in programs through remote procedure
 * calls.
 */
#include <stdlib.h>

#include "gooseberry.h"

struct standin {
	struct gb_rpc_pool *pool;
	char store[GB_NAME_MAX + 1]; /**< address of the table service */
};

/** A call in flight, with the function that gets its result. */
struct standin_call {
	union {
		gb_txn_done txn;
		gb_scan_done scan;
		gb_list_done list;
		gb_sync_done sync;
		gb_exec_done exec;
	} done;
	void *data;
};

static struct standin_call *
call_new(void *data)
{
	struct standin_call *call = gb_calloc(1, sizeof(*call));

	call->data = data;
	return call;
}

/** Status of a store operation that got no answer. */
static gb_store_status
status_of(gb_verdict verdict)
{
	return verdict == GB_NOT_RUN ? GB_STORE_REFUSED : GB_STORE_UNKNOWN;
}

static void
txn_end(void *data, gb_verdict verdict, void *res)
{
	struct standin_call *call = data;
	gb_txn_res failed = {.status = status_of(verdict)};

	call->done.txn(call->data, res == NULL ? &failed : res);
	free(call);
}

static void
standin_txn(
    void *self, gb_txn *txn, gb_time timeout, gb_txn_done done, void *data)
{
	struct standin *s = self;
	struct standin_call *call = call_new(data);

	call->done.txn = done;
	gb_rpc_client_call(gb_rpc_pool_get(s->pool, s->store), GB_PROC_TXN, txn,
	    timeout, txn_end, call);
}

static void
scan_end(void *data, gb_verdict verdict, void *res)
{
	struct standin_call *call = data;
	gb_scan_res failed = {.status = status_of(verdict)};

	call->done.scan(call->data, res == NULL ? &failed : res);
	free(call);
}

static void
standin_scan(
    void *self, gb_scan *scan, gb_time timeout, gb_scan_done done, void *data)
{
	struct standin *s = self;
	struct standin_call *call = call_new(data);

	call->done.scan = done;
	gb_rpc_client_call(gb_rpc_pool_get(s->pool, s->store), GB_PROC_SCAN,
	    scan, timeout, scan_end, call);
}

static void
list_end(void *data, gb_verdict verdict, void *res)
{
	struct standin_call *call = data;

	(void)verdict;
	call->done.list(call->data, res);
	free(call);
}

static void
standin_instances(void *self, gb_time timeout, gb_list_done done, void *data)
{
	struct standin *s = self;
	struct standin_call *call = call_new(data);
	gb_scan all = {.prefix = "", .after = ""};

	call->done.list = done;
	gb_rpc_client_call(gb_rpc_pool_get(s->pool, s->store),
	    GB_PROC_INSTANCES, &all, timeout, list_end, call);
}

static void
sync_end(void *data, gb_verdict verdict, void *res)
{
	struct standin_call *call = data;

	(void)verdict;
	call->done.sync(call->data, res);
	free(call);
}

static void
standin_sync(void *self, const char *addr, gb_sync *sync, gb_time timeout,
    gb_sync_done done, void *data)
{
	struct standin *s = self;
	struct standin_call *call = call_new(data);

	call->done.sync = done;
	gb_rpc_client_call(gb_rpc_pool_get(s->pool, addr), GB_PROC_SYNC, sync,
	    timeout, sync_end, call);
}

static void
exec_end(void *data, gb_verdict verdict, void *res)
{
	struct standin_call *call = data;
	gb_exec_res failed = {.verdict = verdict};

	call->done.exec(call->data, res == NULL ? &failed : res);
	free(call);
}

static void
standin_exec(void *self, const char *addr, gb_exec *exec, gb_time timeout,
    gb_exec_done done, void *data)
{
	struct standin *s = self;
	struct standin_call *call = call_new(data);

	call->done.exec = done;
	gb_rpc_client_call(gb_rpc_pool_get(s->pool, addr), GB_PROC_EXEC, exec,
	    timeout, exec_end, call);
}

void
gb_standin_platform(
    struct gb_platform *out, struct gb_rpc_pool *pool, const char *store)
{
	struct standin *s = gb_calloc(1, sizeof(*s));

	s->pool = pool;
	snprintf(s->store, sizeof(s->store), "%s", store);
	out->txn = standin_txn;
	out->scan = standin_scan;
	out->instances = standin_instances;
	out->sync = standin_sync;
	out->exec = standin_exec;
	out->data = s;
}
