/**
 * @file node.c
 * The process of a node: passes events to the pool core and to the watch, and
 * sends the calls that they request.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "node_state.h"

/** Tick interval of an owner, and of a node with callers that wait. */
#define TICK_BUSY_MS 5
/** Tick interval of other nodes. */
#define TICK_IDLE_MS 25
/** Number of failed calls in a row from which the store counts as unavailable
 * to this node. */
#define STORE_FAILURES_MAX 2
/** Pause between probes of a store that is unavailable. */
#define STORE_PROBE_INTERVAL (200 * GB_MSEC)
/** Silence of the owner after which a node isn't ready if the store is
 * unavailable too. */
#define READY_SILENCE (1500 * GB_MSEC)
/** Descriptors that are reserved for the store and for files, beside those that
 * the settings allow for callers, peers and probes, and those for each member,
 * which calls the owner and is called for advice.  The others are for
 * connections to workers. */
#define FILES_RESERVED 132
#define FILES_PER_MEMBER 2
/** Ports for which `probes` connections are allowed. */
#define PROBE_PORTS 2
/** Share of the descriptors that connections to workers get in any case, as a
 * divisor. */
#define FILES_WORKERS_DIVISOR 4
/** Callers are answered this long before a stopping process would be killed. */
#define LEAVE_MARGIN (1200 * GB_MSEC)
/** TCP and IP headers of an answer and of the acknowledgement of a request. */
#define LINK_HEADER_BYTES 80
/** Timeout of a call to the advice service through a member. */
#define ADVISE_TIMEOUT (3 * GB_SEC)

gb_time
node_now(void)
{
	return gb_clock_boot();
}

gb_time
node_owner_silence_max(const struct gb_node *node)
{
	return NODE_OWNER_SILENCE +
	       gb_link_answer_delay(gb_env_link(node->env));
}

uint32_t
node_shed_percent(const struct gb_node *node)
{
	return node->shed.percent == 0 && gb_pool_link_congested(node->pool)
		   ? 1
		   : node->shed.percent;
}

uint64_t
node_call_new(struct gb_node *node, void *data,
    void (*txn_done)(struct node_call *, const struct gb_pool_txn_res *),
    void (*read_done)(struct node_call *, const struct gb_pool_read_res *))
{
	struct node_call *call = gb_calloc(1, sizeof(*call));

	call->id = ++node->next_id | NODE_CALL;
	call->node = node;
	call->data = data;
	call->sent = node_now();
	call->txn_done = txn_done;
	call->read_done = read_done;
	HASH_ADD(hh, node->calls, id, sizeof(call->id), call);
	return call->id;
}

static struct node_call *
node_call_remove(struct gb_node *node, uint64_t id)
{
	struct node_call *call;

	HASH_FIND(hh, node->calls, &id, sizeof(id), call);
	if (call != NULL)
		HASH_DEL(node->calls, call);
	return call;
}

static struct node_request *
node_request_remove(struct gb_node *node, uint64_t token)
{
	struct node_request *request;

	HASH_FIND(hh, node->requests, &token, sizeof(token), request);
	if (request != NULL)
		HASH_DEL(node->requests, request);
	return request;
}

/* Operations of the pool core --------------------------------------------- */

static void
op_start(void *data, uint64_t call, const struct gb_pool_order *order)
{
	struct gb_node *node = data;

	node->platform.start(node->platform.data, call, order);
}

static void
op_stop(void *data, uint64_t call, const struct gb_pool_order *order)
{
	struct gb_node *node = data;

	node->platform.stop(node->platform.data, call, order);
}

static void
op_heartbeat(
    void *data, uint64_t call, const struct gb_pool_heartbeat *heartbeat)
{
	struct gb_node *node = data;

	node->platform.heartbeat(node->platform.data, call, heartbeat);
}

/** Context of a call to the advice service through a member. */
struct advise_op {
	struct gb_node *node;
	uint64_t call;
};

static void
advise_answered(void *data, gb_verdict verdict, void *arg)
{
	struct advise_op *op = data;
	gb_advice_res lost = {0};

	lost.status = GB_ADVICE_LOST;
	gb_pool_advise_done(op->node->pool, node_now(), op->call,
	    verdict == GB_RUN ? arg : &lost);
	free(op);
}

static void
op_advise(
    void *data, uint64_t call, const char *member, const gb_advice_ask *ask)
{
	struct gb_node *node = data;
	struct advise_op *op;

	if (strcmp(member, node->settings.addr) == 0) {
		node->platform.advise(node->platform.data, call, ask);
		return;
	}
	op = gb_calloc(1, sizeof(*op));
	op->node = node;
	op->call = call;
	gb_rpc_client_call(gb_rpc_pool_get(node->peers, member), GB_PROC_ADVISE,
	    (void *)ask, ADVISE_TIMEOUT, advise_answered, op);
}

static void
op_txn(void *data, uint64_t call, const struct gb_pool_txn *txn)
{
	struct gb_node *node = data;

	node->platform.txn(node->platform.data, call, txn);
}

static void
op_read(void *data, uint64_t call, const struct gb_pool_read *read)
{
	struct gb_node *node = data;

	node->platform.read(node->platform.data, call, read);
}

static void
op_answer(void *data, uint64_t token, const gb_flow_answer *answer)
{
	struct gb_node *node = data;
	struct node_request *request = node_request_remove(node, token);

	if (request == NULL)
		return;
	if (request->call != NULL)
		gb_rpc_call_reply(request->call, (void *)answer);
	else
		intake_answered(request->intake, answer);
	free(request);
}

static void
op_link(void *data, struct gb_pool_link *link)
{
	const struct gb_node *node = data;

	link->queued = gb_link_backlog(gb_env_link(node->env), node_now());
	link->bytes_per_s = gb_link_rate(gb_env_link(node->env));
	link->answer_delay = gb_link_answer_delay(gb_env_link(node->env));
	link->use = gb_link_utilisation(gb_env_link(node->env));
	link->use_received =
	    gb_link_received_utilisation(gb_env_link(node->env));
}

/** This node has gained or lost the pool. */
static void
op_owner(void *data, bool owns, uint64_t epoch)
{
	struct gb_node *node = data;

	bool handed = !owns && node_handover_done(node, epoch);

	owner_monitor_owner_changed(node, owns, epoch);
	if (!owns && !handed)
		watch_pool_lost(&node->watch, node_now(), 0);
	if (!owns)
		node_members_keep_known(node);
	if (handed)
		gb_pool_handed_over(node->pool);
	node->released = !owns && !handed && node->leaving;
	if (owns) {
		node->owned_at = node_now();
		node->members_told = 0;
		shed_begin(&node->shed, gb_pool_loads_by_pages(node->pool));
	}
	node->platform.follow_workers(node->platform.data, owns);
}

/* Store ------------------------------------------------------------------- */

bool
node_store_unavailable(const struct gb_node *node)
{
	return node->store_failures >= STORE_FAILURES_MAX;
}

static void
store_answered(struct gb_node *node, gb_store_status status)
{
	bool unavailable = node_store_unavailable(node);

	if (status == GB_STORE_OK || status == GB_STORE_CONFLICT)
		node->store_failures = 0;
	else
		node->store_failures++;
	if (unavailable != node_store_unavailable(node))
		gb_event(node->events, GB_EVENT_ALWAYS,
		    unavailable ? "store_regained" : "store_out", "{s:i}",
		    "status", (int)status);
}

static void
probe_done(struct node_call *call, const struct gb_pool_read_res *res)
{
	(void)res; /* gb_node_read_done has counted it */
	call->node->store_probing = false;
	call->node->store_probe_at = node_now() + STORE_PROBE_INTERVAL;
}

/** Read a small row from a store that is unavailable, until it answers. */
static void
store_probe(struct gb_node *node)
{
	const struct gb_pool_read read = {
	    node->next_partition++ % GB_POOL_PARTITIONS, GB_POOL_OWNERS,
	    GB_POOL_OWNER_KEY, GB_POOL_OWNER_KEY "0", 1, 0};

	if (!node_store_unavailable(node) || node->store_probing ||
	    node->store_probe_at > node_now())
		return;
	node->store_probing = true;
	node->platform.read(node->platform.data,
	    node_call_new(node, NULL, NULL, probe_done), &read);
}

/* Ends of calls ----------------------------------------------------------- */

void
gb_node_start_done(
    struct gb_node *node, uint64_t call, const struct gb_pool_order_res *res)
{
	gb_pool_start_done(node->pool, node_now(), call, res);
}

void
gb_node_stop_done(
    struct gb_node *node, uint64_t call, const struct gb_pool_order_res *res)
{
	gb_pool_stop_done(node->pool, node_now(), call, res);
}

void
gb_node_heartbeat_done(
    struct gb_node *node, uint64_t call, const struct gb_pool_report *report)
{
	gb_pool_heartbeat_done(node->pool, node_now(), call, report);
}

void
gb_node_advise_done(
    struct gb_node *node, uint64_t call, const gb_advice_res *res)
{
	struct node_request *request;

	if ((call & NODE_CALL) == 0) {
		gb_pool_advise_done(node->pool, node_now(), call, res);
		return;
	}
	request = node_request_remove(node, call & ~NODE_CALL);
	if (request == NULL)
		return;
	gb_rpc_call_reply(request->call, (void *)res);
	free(request);
}

void
gb_node_txn_done(
    struct gb_node *node, uint64_t id, const struct gb_pool_txn_res *res)
{
	struct node_call *call;

	store_answered(node, res->status);
	if ((id & NODE_CALL) == 0) {
		gb_pool_txn_done(node->pool, node_now(), id, res);
		return;
	}
	call = node_call_remove(node, id);
	if (call == NULL)
		return;
	call->txn_done(call, res);
	free(call);
}

void
gb_node_read_done(
    struct gb_node *node, uint64_t id, const struct gb_pool_read_res *res)
{
	struct node_call *call;

	store_answered(node, res->status);
	if ((id & NODE_CALL) == 0) {
		gb_pool_read_done(node->pool, node_now(), id, res);
		return;
	}
	call = node_call_remove(node, id);
	if (call == NULL)
		return;
	call->read_done(call, res);
	free(call);
}

/* Workers ---------------------------------------------------------------- */

void
gb_node_workers_received(struct gb_node *node,
    const struct gb_pool_entry *entries, size_t count, bool whole)
{
	gb_pool_workers_update(node->pool, node_now(), entries, count, whole);
}

/* Watch ------------------------------------------------------------------- */

/** Handle a failed read of the owner's row.  The next read goes to the next
 * partition, as some may be unavailable while others answer. */
static void
owner_row_failed(struct gb_node *node)
{
	node->next_partition++;
	watch_read_failed(&node->watch, node_now());
}

static void
owner_row_read(struct node_call *call, const struct gb_pool_read_res *res)
{
	struct gb_node *node = call->node;
	struct gb_owner_record record = {0};
	struct watch_row row = {0};

	if (res->status != GB_STORE_OK ||
	    (res->row_count > 0 &&
		!gb_owner_record_decode(&record, &res->rows[0].value))) {
		owner_row_failed(node);
		return;
	}
	/* A partition that the owner could not attach names an earlier owner.
	 */
	if (record.row.epoch < gb_pool_epoch(node->pool) &&
	    !watch_row_outdated(
		&node->watch, node->row_partition, gb_pool_epoch(node->pool))) {
		gb_owner_record_clear(&record);
		owner_row_failed(node);
		return;
	}
	row.addr = record.row.addr;
	row.epoch = record.row.epoch;
	row.serial = record.row.serial;
	row.contested = record.contested;
	watch_row(&node->watch, node_now(), &row);
	gb_pool_epoch_found(node->pool, node_now(), row.epoch);
	gb_owner_record_clear(&record);
}

/** Read the owner's row from the store. */
static void
owner_row_request(struct gb_node *node)
{
	struct gb_pool_read read = {
	    0, GB_POOL_OWNERS, GB_POOL_OWNER_KEY, GB_POOL_OWNER_KEY "0", 1, 0};

	if (watch_read_compared(&node->watch, node_now()))
		read.partition =
		    node->next_partition % GB_POOL_PARTITIONS_RENEWED;
	else
		read.partition = node->next_partition++ % GB_POOL_PARTITIONS;
	node->row_partition = read.partition;
	watch_read_sent(&node->watch, node_now());
	node->platform.read(node->platform.data,
	    node_call_new(node, NULL, NULL, owner_row_read), &read);
}

/** Carry out the duties of an owner, or the next action of the watch. */
static void
watch_tick(struct gb_node *node)
{
	enum takeover_cause cause;
	uint64_t epoch;

	if (gb_pool_owns(node->pool))
		watch_owner_confirmed(&node->watch, node_now());
	if (gb_pool_owns(node->pool) || gb_pool_acquiring(node->pool)) {
		if (!gb_pool_owns(node->pool))
			return;
		gb_pool_member_update(node->pool, node_now(),
		    node->settings.addr, !node->leaving);
		node_tell_members(node);
		node_handover_to_larger(node);
		node_handover_tick(node);
		return;
	}
	if (watch_inquiry_due(&node->watch, node_now()))
		node_inquire_owner(node);
	switch (watch_next(&node->watch, node_now())) {
	case WATCH_READ_ROW:
		owner_row_request(node);
		break;
	case WATCH_HELLO:
		node_hello(node);
		break;
	case WATCH_POLL:
		node_poll_members(node);
		break;
	case WATCH_TAKE_OVER:
		if (node->leaving || node->config == NULL) {
			watch_pool_lost(&node->watch, node_now(), 0);
			break;
		}
		owner_monitor_takeover_decided(node);
		epoch = node->watch.epoch;
		cause = watch_takeover_cause(&node->watch, node_now());
		snprintf(node->former_owner, sizeof(node->former_owner), "%s",
		    node->watch.owner);
		watch_pool_lost(&node->watch, node_now(), 0);
		gb_pool_acquire(node->pool, node_now(), epoch, cause);
		break;
	default:
		break;
	}
}

/** Bytes received, with network headers.  Reads of the store don't count, since
 * an owner requests no more than its link can carry. */
static uint64_t
link_received(const struct gb_link *link)
{
	uint64_t bytes = 0;
	unsigned int i;

	for (i = 0; i < GB_TRAFFIC_KINDS; i++) {
		const struct gb_traffic *kind = gb_link_traffic(link, i);

		if (i != GB_TRAFFIC_STORE_READ)
			bytes += kind->in + kind->sent * LINK_HEADER_BYTES;
	}
	return bytes;
}

/** Update the percentage of new flows that members are to reject. */
static void
link_shed(struct gb_node *node)
{
	const struct gb_link *link = gb_env_link(node->env);

	if (!gb_pool_owns(node->pool) || !NODE_USES(node, GB_FEATURE_PACING))
		memset(&node->shed, 0, sizeof(node->shed));
	else if (gb_link_rate(link) > 0)
		shed_tick(&node->shed, node_now(), link_received(link),
		    gb_link_rate(link));
}

/** Descriptors that are not for workers and members. */
static int64_t
files_reserved(const struct gb_node_settings *settings)
{
	return FILES_RESERVED + settings->callers + settings->peers +
	       PROBE_PORTS * settings->probes;
}

/** Update the number of connections from members and to workers that may be
 * open. */
static void
connections_update(struct gb_node *node)
{
	size_t members = HASH_COUNT(node->members);
	int64_t files = node->settings.files;
	int64_t most;

	if (members < node->known_members_count)
		members = node->known_members_count;
	if (members != node->members_limited)
		node_peers_limit(node, members);
	node->members_limited = members;
	if (files == 0)
		return;
	most = files - files_reserved(&node->settings) -
	       FILES_PER_MEMBER * (int64_t)members;
	if (most < files / FILES_WORKERS_DIVISOR)
		most = files / FILES_WORKERS_DIVISOR;
	if (most == node->connections_max)
		return;
	node->connections_max = (uint32_t)most;
	gb_pool_limit_connections(node->pool, node->connections_max);
	node->platform.limit_connections(
	    node->platform.data, node->connections_max);
}

static void
on_tick(uv_timer_t *timer)
{
	struct gb_node *node = timer->data;
	bool busy;

	owner_monitor_tick(node, node_now(),
	    (node->busy_tick ? TICK_BUSY_MS : TICK_IDLE_MS) * GB_MSEC);
	gb_pool_tick(node->pool, node_now(), gb_clock_wall());
	watch_tick(node);
	connections_update(node);
	node->platform.relax_config(node->platform.data,
	    node_learns_configs_from_owner(node, node_now()));
	node_config_fetch_tick(node);
	store_probe(node);
	intake_tick(node);
	link_monitor_tick(node);
	link_shed(node);
	busy = gb_pool_owns(node->pool) || gb_pool_acquiring(node->pool) ||
	       !TAILQ_EMPTY(&node->intakes) || node->leaving;
	if (busy == node->busy_tick)
		return;
	node->busy_tick = busy;
	uv_timer_start(
	    timer, on_tick, TICK_BUSY_MS, busy ? TICK_BUSY_MS : TICK_IDLE_MS);
}

/* Node -------------------------------------------------------------------- */

static const struct gb_pool_ops pool_ops = {op_start, op_stop, op_heartbeat,
    op_advise, op_txn, op_read, op_answer, op_owner, op_link, NULL};

struct gb_node *
gb_node_new(struct uv_loop_s *loop, const struct gb_env *env,
    const struct gb_node_settings *settings,
    const struct gb_node_platform *platform, struct gb_events *events,
    struct gb_error *err)
{
	struct gb_node *node = gb_calloc(1, sizeof(*node));
	struct gb_pool_settings pool = {0};
	struct gb_pool_ops ops = pool_ops;

	node->loop = loop;
	node->env = env;
	node->settings = *settings;
	if (strcmp(node->settings.addr, GB_NODE_SAME_ADDR) == 0)
		snprintf(node->settings.addr, sizeof(node->settings.addr), "%s",
		    settings->listen);
	node->platform = *platform;
	node->events = events;
	node->started = node_now();
	node->incarnation = gb_hash(settings->name, strlen(settings->name)) ^
			    (uint64_t)gb_clock_wall();
	if (!gb_features_parse(
		settings->disabled_features, &node->disabled_features, err))
		return NULL;
	node->members_vers = node->incarnation;
	TAILQ_INIT(&node->intakes);
	node->peers = gb_rpc_pool_new(loop, env);
	node->server = gb_rpc_server_new(
	    loop, env, settings->listen, node_serve, node, err);
	if (node->server == NULL || !node_metrics_serve(node, err))
		return NULL;
	node_peers_limit(node, 0);
	pool.name = node->settings.name;
	pool.addr = node->settings.addr;
	pool.incarnation = node->incarnation;
	pool.seed = node->incarnation;
	pool.limits.lease_us = settings->lease_ms * GB_MSEC;
	pool.limits.stop_us = settings->stop_ms * GB_MSEC;
	pool.limits.keep_us = settings->keep_s * GB_SEC;
	pool.limits.flow_bytes = (size_t)settings->flows_mb * 1024 * 1024;
	pool.disabled_features = node->disabled_features;
	pool.events = events;
	ops.data = node;
	node->pool = gb_pool_new(&pool, &ops, node_now());
	node->cpu_milli = (uint32_t)(strtod(settings->cpu_share, NULL) * 1000);
	watch_init(&node->watch, node->settings.addr, node->cpu_milli,
	    node_now(), node->incarnation);
	node->watch.link_delay = gb_link_answer_delay(gb_env_link(env));
	uv_timer_init(loop, &node->tick);
	node->tick.data = node;
	uv_timer_start(&node->tick, on_tick, TICK_BUSY_MS, TICK_IDLE_MS);
	return node;
}

void
gb_node_leave(struct gb_node *node)
{
	struct intake *in;

	node->leaving = true;
	node->leave_by =
	    node_now() + node->settings.grace_s * GB_SEC - LEAVE_MARGIN;
	TAILQ_FOREACH(in, &node->intakes, next)
	{
		if (in->deadline > node->leave_by)
			in->deadline = node->leave_by;
	}
	if (!gb_pool_owns(node->pool) || !node_handover_begin(node))
		gb_pool_release(node->pool, node_now());
}

bool
gb_node_left(const struct gb_node *node)
{
	return !gb_pool_owns(node->pool) && !gb_pool_acquiring(node->pool);
}

bool
gb_node_ready(const struct gb_node *node)
{
	bool owner = gb_pool_owns(node->pool) ||
		     node_now() - node->watch.last_heard < READY_SILENCE;

	/* A node that reaches neither an owner nor the store can't serve
	 * callers. */
	return node->config != NULL && !node->leaving &&
	       (owner || !node_store_unavailable(node));
}

const struct gb_pool_config *
gb_node_config(const struct gb_node *node)
{
	return node->config;
}
