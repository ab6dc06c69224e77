/**
 * @file sched.c
 * The scheduler process: passes events to the core and carries out its actions.
 */
#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <uv.h>

#include "connection/conn_set.h"
#include "gooseberry.h"

#define TICK_MS 5
#define BEAT_TIMEOUT GB_SEC
#define SYNC_TIMEOUT GB_SEC
/** A worker's answer is awaited this long after the deadline of a request. */
#define EXEC_ANSWER_GRACE (50 * GB_MSEC)

/** A request or command that has not been answered. */
struct sched_caller {
	UT_hash_handle hh;
	uint64_t id;
	struct gb_rpc_call *call;
	gb_body body; /**< of the request; the core does not keep it */
	gb_time started;
	char parent[GB_TRACE_MAX]; /**< trace context of the caller */
	char own[GB_TRACE_MAX];	   /**< trace context of the span here */
	const char *span;	   /**< name of that span */
	bool is_request;
};

struct gb_sched {
	uv_loop_t *loop;
	uv_timer_t tick;
	struct gb_env env;
	struct gb_sched_settings settings;
	struct gb_core *core;
	struct gb_rpc_pool *pool;
	struct gb_rpc_server *server;
	struct gb_platform platform;
	struct sched_caller *callers;
	uint64_t last_caller_id; /**< id of the last caller */
	uint64_t seed;
	bool list_pending; /**< the list of instances has been asked for */
	gb_time list_at;   /**< when it is asked for next */
	void (*stopped)(void *);
	void *stopped_data;
	struct gb_histogram request_us;
	struct gb_histogram command_us;
	char addr[GB_NAME_MAX + 1]; /**< address with the actual port */
};

/** Context of an action that waits for its result. */
struct sched_op {
	struct gb_sched *sched;
	uint64_t id; /**< id of the action; of an exec its rid */
	uint32_t worker;
	gb_time sent;
	char own[GB_TRACE_MAX];
	char parent[GB_TRACE_MAX];
};

static void sched_run_actions(struct gb_sched *);

static struct sched_op *
op_new(struct gb_sched *sched, const struct gb_action *action)
{
	struct sched_op *op = gb_calloc(1, sizeof(*op));

	op->sched = sched;
	op->id = action->id;
	op->worker = action->worker;
	op->sent = gb_clock_boot();
	return op;
}

static void
txn_done(void *data, const gb_txn_res *res)
{
	struct sched_op *op = data;

	gb_core_txn_done(op->sched->core, gb_clock_boot(), op->id, res);
	sched_run_actions(op->sched);
	free(op);
}

static void
scan_done(void *data, const gb_scan_res *res)
{
	struct sched_op *op = data;

	gb_core_scan_done(op->sched->core, gb_clock_boot(), op->id, res);
	sched_run_actions(op->sched);
	free(op);
}

static void
sync_done(void *data, const gb_sync_res *res)
{
	struct sched_op *op = data;

	gb_core_sync_done(
	    op->sched->core, gb_clock_boot(), op->worker, op->id, res);
	sched_run_actions(op->sched);
	free(op);
}

static void
exec_done(void *data, const gb_exec_res *res)
{
	struct sched_op *op = data;

	gb_trace_span(&op->sched->env, op->own, op->parent, "worker", op->sent,
	    gb_clock_boot(), gb_verdict_name(res->verdict));
	gb_core_exec_done(op->sched->core, gb_clock_boot(), op->id, res);
	sched_run_actions(op->sched);
	free(op);
}

static void
beat_done(void *data, gb_verdict verdict, void *res)
{
	struct sched_op *op = data;

	if (verdict == GB_RUN) {
		gb_core_beat_done(
		    op->sched->core, gb_clock_boot(), op->sent, res);
		sched_run_actions(op->sched);
	}
	free(op);
}

/** Ignores the result of the call: messages about loans are answered by other
 * such messages. */
static void
lend_done(void *data, gb_verdict verdict, void *res)
{
	(void)data;
	(void)verdict;
	(void)res;
}

static void
list_done(void *data, const gb_instance_list *list)
{
	struct gb_sched *sched = data;

	sched->list_pending = false;
	sched->list_at = gb_clock_boot() + sched->settings.list_ms * GB_MSEC;
	if (list == NULL)
		return;
	gb_core_instances(sched->core, gb_clock_boot(), list);
	sched_run_actions(sched);
}

/* Actions */

static struct sched_caller *
caller_find(struct gb_sched *sched, uint64_t id)
{
	struct sched_caller *c;

	HASH_FIND(hh, sched->callers, &id, sizeof(id), c);
	return c;
}

/** Send a request to a worker, with the body that the caller sent. */
static void
sched_action_exec(struct gb_sched *sched, struct gb_action *action)
{
	struct sched_caller *c = caller_find(sched, action->id);
	struct sched_op *op = op_new(sched, action);
	gb_exec *exec = &action->u.exec;

	op->id = exec->rid;
	if (c != NULL) {
		exec->body = c->body;
		memcpy(op->parent, c->own, sizeof(op->parent));
		gb_trace_child(op->own, c->own, &sched->seed, 0);
		free(exec->trace);
		exec->trace = gb_strdup(op->own);
	}
	sched->platform.exec(sched->platform.data, action->addr, exec,
	    exec->remaining_us + EXEC_ANSWER_GRACE, exec_done, op);
	exec->body.gb_body_val = NULL;
	exec->body.gb_body_len = 0;
}

static void
sched_action_answer(struct gb_sched *sched, struct gb_action *action)
{
	struct sched_caller *c = caller_find(sched, action->id);
	gb_time now = gb_clock_boot();

	if (c == NULL)
		return;
	HASH_DEL(sched->callers, c);
	gb_histogram_add(
	    c->is_request ? &sched->request_us : &sched->command_us,
	    now - c->started);
	gb_trace_span(&sched->env, c->own, c->parent, c->span, c->started, now,
	    gb_verdict_name(action->u.answer.verdict));
	gb_rpc_call_reply(c->call, &action->u.answer);
	free(c->body.gb_body_val);
	free(c);
}

/** Carry out one action. */
static void
sched_action(struct gb_sched *sched, struct gb_action *action)
{
	gb_time timeout = sched->settings.op_timeout_ms * GB_MSEC;

	switch (action->type) {
	case GB_ACT_TXN:
		sched->platform.txn(sched->platform.data, &action->u.txn,
		    timeout, txn_done, op_new(sched, action));
		break;
	case GB_ACT_SCAN:
		sched->platform.scan(sched->platform.data, &action->u.scan,
		    timeout, scan_done, op_new(sched, action));
		break;
	case GB_ACT_SYNC:
		sched->platform.sync(sched->platform.data, action->addr,
		    &action->u.sync, SYNC_TIMEOUT, sync_done,
		    op_new(sched, action));
		break;
	case GB_ACT_EXEC:
		sched_action_exec(sched, action);
		break;
	case GB_ACT_ANSWER:
		sched_action_answer(sched, action);
		break;
	case GB_ACT_BEAT:
		gb_rpc_client_call(gb_rpc_pool_get(sched->pool, action->addr),
		    GB_PROC_BEAT, &action->u.beat, BEAT_TIMEOUT, beat_done,
		    op_new(sched, action));
		break;
	case GB_ACT_LEND:
		gb_rpc_client_call(gb_rpc_pool_get(sched->pool, action->addr),
		    GB_PROC_LEND, &action->u.lend, BEAT_TIMEOUT, lend_done,
		    NULL);
		break;
	case GB_ACT_EXIT:
		if (sched->stopped != NULL)
			sched->stopped(sched->stopped_data);
		break;
	}
}

/** Carry out the actions that the core has issued. */
static void
sched_run_actions(struct gb_sched *sched)
{
	struct gb_action action;

	while (gb_core_next_action(sched->core, &action)) {
		sched_action(sched, &action);
		gb_action_clear(&action);
	}
}

static void
sched_tick(uv_timer_t *timer)
{
	struct gb_sched *sched = timer->data;
	gb_time now = gb_clock_boot();

	if (!sched->list_pending && now >= sched->list_at) {
		sched->list_pending = true;
		sched->platform.instances(
		    sched->platform.data, GB_SEC, list_done, sched);
	}
	gb_core_tick(sched->core, now);
	sched_run_actions(sched);
}

/* Calls */

static struct sched_caller *
caller_new(struct gb_sched *sched, struct gb_rpc_call *call, const char *span)
{
	struct sched_caller *c = gb_calloc(1, sizeof(*c));

	c->id = ++sched->last_caller_id;
	c->call = call;
	c->span = span;
	c->started = gb_clock_boot();
	HASH_ADD(hh, sched->callers, id, sizeof(c->id), c);
	return c;
}

static void
serve_request(struct gb_sched *sched, struct gb_rpc_call *call, gb_request *req)
{
	struct sched_caller *c = caller_new(sched, call, "shard");

	c->is_request = true;
	snprintf(c->parent, sizeof(c->parent), "%s", req->trace);
	gb_trace_child(c->own, req->trace, &sched->seed, 0);
	c->body = req->body;
	gb_core_request(sched->core, c->started, c->id, req);
	req->body.gb_body_val = NULL;
	req->body.gb_body_len = 0;
	sched_run_actions(sched);
}

static void
sched_metrics(struct gb_sched *sched, struct gb_text *out)
{
	struct gb_core_stats s;
	const struct gb_usage used = gb_usage_read();

	gb_core_stats_get(sched->core, &s);
	{
		const struct conn_counts *limited =
		    gb_rpc_server_counts(sched->server);
		const struct gb_counter counters[] = {
		    {"gooseberry_task_starts_total", "Tasks started.",
			s.starts},
		    {"gooseberry_task_ends_total", "Task ends reported.",
			s.ends},
		    {"gooseberry_requests_total", "Requests received.",
			s.requests},
		    {"gooseberry_answers_total", "Requests answered.",
			s.answers},
		    {"gooseberry_refused_total",
			"Answers other than a whole result.", s.refused},
		    {"gooseberry_retries_total", "Requests sent again.",
			s.retries},
		    {"gooseberry_log_writes_total", "Writes of shard logs.",
			s.log_writes},
		    {"gooseberry_log_records_total", "Records logged.",
			s.log_records},
		    {"gooseberry_log_bytes_total", "Bytes logged.",
			s.log_bytes},
		    {"gooseberry_snapshots_total", "Snapshots written.",
			s.snapshots},
		    {"gooseberry_takeovers_total", "Shards taken over.",
			s.takeovers},
		    {"gooseberry_shards_lost_total", "Shards lost.",
			s.lost_shards},
		    {"gooseberry_syncs_total", "Worker syncs sent.", s.syncs},
		    {"gooseberry_beats_total", "Heartbeats sent and received.",
			s.beats},
		    {"gooseberry_changes_total", "Configuration changes.",
			s.changes},
		    {"gooseberry_store_ops_total", "Store operations.",
			s.store_ops},
		    {"gooseberry_store_failures_total",
			"Store operations that failed.", s.store_failures},
		    {"gooseberry_workers_set_aside_total", "Workers set aside.",
			s.quarantined},
		    {"gooseberry_preempted_total",
			"Tasks stopped for urgent work.", s.preempted},
		    {"gooseberry_lent_total", "Tasks lent to other shards.",
			s.lent},
		    {"gooseberry_tasks_waiting", "Tasks that wait.", s.pending},
		    {"gooseberry_tasks_active", "Tasks that hold resources.",
			s.running},
		    {"gooseberry_workers", "Workers known.", s.workers},
		    {"gooseberry_jobs", "Jobs known.", s.jobs},
		    {"gooseberry_shards_active", "Shards owned and served.",
			s.active_shards},
		    {"gooseberry_view_fresh", "1 while the view is fresh.",
			gb_core_fresh(sched->core, gb_clock_boot())},
		    {"gooseberry_process_cpu_us_total",
			"Processor time of the process.", used.cpu_us},
		    {"gooseberry_process_memory_bytes",
			"Resident memory of the process.", used.memory},
		    {"gooseberry_peers_closed_for_new_total",
			"Connections closed for newer ones.",
			limited->closed_for_new},
		    {"gooseberry_peers_closed_for_memory_total",
			"Connections closed as they held too much memory.",
			limited->closed_for_bytes},
		    {"gooseberry_rpc_bytes_total",
			"Bytes to and from peers, workers and store.",
			gb_rpc_pool_bytes(sched->pool) +
			    gb_rpc_server_bytes(sched->server)},
		};

		gb_counter_print(
		    out, counters, sizeof(counters) / sizeof(counters[0]));
	}
	gb_histogram_print(out, "gooseberry_shard_request_us",
	    "Time of requests in a shard.", &sched->request_us);
	gb_histogram_print(out, "gooseberry_shard_command_us",
	    "Time of commands in a shard.", &sched->command_us);
}

static void
serve_metrics(struct gb_sched *sched, struct gb_rpc_call *call)
{
	struct gb_text text = {0};
	gb_answer answer = {.verdict = GB_RUN, .status = 200, .reason = ""};

	sched_metrics(sched, &text);
	answer.body.gb_body_val = text.data;
	answer.body.gb_body_len = (u_int)text.len;
	gb_rpc_call_reply(call, &answer);
	gb_text_free(&text);
}

static void
serve_command(struct gb_sched *sched, struct gb_rpc_call *call, gb_command *cmd)
{
	struct sched_caller *c;

	if (cmd->verb == GB_VERB_METRICS) {
		serve_metrics(sched, call);
		return;
	}
	c = caller_new(sched, call, "command");
	gb_core_command(sched->core, c->started, c->id, cmd);
	sched_run_actions(sched);
}

/** Reject a call that injects a fault, which only stand-ins serve. */
static void
serve_reject(struct gb_rpc_call *call)
{
	gb_answer answer = {.verdict = GB_NOT_RUN,
	    .status = 400,
	    .reason = "not a procedure of a scheduler"};

	gb_rpc_call_reply(call, &answer);
}

/** Serve a call of a peer or an entry. */
static void
sched_serve(void *data, struct gb_rpc_call *call, uint32_t proc, void *arg)
{
	struct gb_sched *sched = data;
	gb_beat beat;
	gb_loan loan;
	gb_view view;

	switch (proc) {
	case GB_PROC_BEAT:
		gb_core_beat(sched->core, gb_clock_boot(), arg);
		gb_core_beat_make(sched->core, &beat);
		gb_rpc_call_reply(call, &beat);
		xdr_free((xdrproc_t)xdr_gb_beat, (char *)&beat);
		sched_run_actions(sched);
		break;
	case GB_PROC_VIEW:
		gb_core_view_make(sched->core, gb_clock_boot(), &view);
		gb_rpc_call_reply(call, &view);
		xdr_free((xdrproc_t)xdr_gb_view, (char *)&view);
		break;
	case GB_PROC_REQUEST:
		serve_request(sched, call, arg);
		break;
	case GB_PROC_COMMAND:
		serve_command(sched, call, arg);
		break;
	case GB_PROC_LEND:
		gb_core_lend(sched->core, gb_clock_boot(), arg);
		memset(&loan, 0, sizeof(loan));
		gb_rpc_call_reply(call, &loan);
		sched_run_actions(sched);
		break;
	case GB_PROC_FAULT:
		serve_reject(call);
		break;
	default:
		gb_rpc_call_refuse(call);
		break;
	}
}

/* Start and stop */

/** Convert the settings to the core's parameters, in microseconds. */
static void
sched_config(struct gb_sched *sched, struct gb_core_config *cfg)
{
	const struct gb_sched_settings *s = &sched->settings;
	unsigned int i;

	memset(cfg, 0, sizeof(*cfg));
	cfg->member = s->member;
	cfg->addr = sched->addr;
	cfg->dc = s->dc;
	cfg->incarnation = sched->seed | 1;
	cfg->seed = sched->seed;
	cfg->shards_per_dc = (uint32_t)s->shards_per_dc;
	cfg->dcs.count = s->dcs.count;
	for (i = 0; i < s->dcs.count; i++)
		memcpy(
		    cfg->dcs.name[i], s->dcs.item[i], sizeof(cfg->dcs.name[i]));
	cfg->beat_us = s->beat_ms * GB_MSEC;
	cfg->suspect_us = s->suspect_ms * GB_MSEC;
	cfg->fresh_us = s->fresh_ms * GB_MSEC;
	cfg->outage_us = s->outage_ms * GB_MSEC;
	cfg->lease_us = s->lease_ms * GB_MSEC;
	cfg->sync_us = s->sync_ms * GB_MSEC;
	cfg->margin_us = s->margin_ms * GB_MSEC;
	cfg->op_timeout_us = s->op_timeout_ms * GB_MSEC;
	cfg->write_budget = (uint32_t)s->write_budget;
	cfg->snapshot_every = (uint32_t)s->snapshot_every;
	cfg->env = sched->env;
}

struct gb_sched *
gb_sched_new(struct uv_loop_s *loop, const struct gb_env *env,
    const struct gb_sched_settings *settings, struct gb_error *err)
{
	struct gb_sched *sched = gb_calloc(1, sizeof(*sched));
	const struct conn_limits limits = {(unsigned int)settings->peers,
	    (size_t)settings->peers_mb * 1024 * 1024};
	struct gb_core_config cfg;
	const char *colon;

	sched->loop = loop;
	sched->env = *env;
	sched->settings = *settings;
	if (uv_random(NULL, NULL, &sched->seed, sizeof(sched->seed), 0, NULL) !=
	    0)
		sched->seed = (uint64_t)gb_clock_wall();
	sched->server = gb_rpc_server_new(
	    loop, &sched->env, settings->listen, sched_serve, sched, err);
	if (sched->server == NULL) {
		free(sched);
		return NULL;
	}
	gb_rpc_server_set_limits(sched->server, &limits, 0, NULL);
	colon = strrchr(settings->listen, ':');
	snprintf(sched->addr, sizeof(sched->addr), "%.*s:%d",
	    (int)(colon - settings->listen), settings->listen,
	    gb_rpc_server_port(sched->server));
	sched->pool = gb_rpc_pool_new(loop, &sched->env);
	gb_standin_platform(&sched->platform, sched->pool, settings->store);
	sched_config(sched, &cfg);
	sched->core = gb_core_new(&cfg, gb_clock_boot());
	gb_core_set_wall_offset(sched->core, gb_clock_wall() - gb_clock_boot());
	uv_timer_init(loop, &sched->tick);
	sched->tick.data = sched;
	uv_timer_start(&sched->tick, sched_tick, 0, TICK_MS);
	return sched;
}

int
gb_sched_port(const struct gb_sched *sched)
{
	return gb_rpc_server_port(sched->server);
}

void
gb_sched_reload(
    struct gb_sched *sched, const struct gb_sched_settings *settings)
{
	sched->settings.list_ms = settings->list_ms;
	sched->settings.op_timeout_ms = settings->op_timeout_ms;
	sched->settings.trace_per_mille = settings->trace_per_mille;
	sched->settings.log_level = settings->log_level;
}

void
gb_sched_stop(struct gb_sched *sched, void (*done)(void *), void *data)
{
	sched->stopped = done;
	sched->stopped_data = data;
	gb_core_leave(sched->core, gb_clock_boot());
}
