/**
 * @file cells.c
 * Simulation of a cell: message delivery, the nodes, and the oracle.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "cells.h"

#define NETWORK_DELAY GB_MSEC
/** Default run time of a request. */
#define SERVICE_TIME (30 * GB_MSEC)
/** Time after which a sender learns that its connection is lost. */
#define CONNECTION_TIMEOUT (100 * GB_MSEC)
/** A worker that leaves may get new work for this long, until the cores have
 * received the new list of instances. */
#define LEAVE_NOTICE_MAX (2 * GB_SEC)
/** Interval at which cores receive the list of instances. */
#define LIST_INTERVAL (200 * GB_MSEC)
/** Time in which all work ends after the last fault. */
#define SETTLE_TIME (60 * GB_SEC)
/** A larger gang might not fit beside the replicas of the services. */
#define GANG_TASKS_MAX 3
#define TEAM "byggepas"

enum message_type {
	MSG_TXN,
	MSG_TXN_DONE,
	MSG_SCAN,
	MSG_SCAN_DONE,
	MSG_SYNC,
	MSG_SYNC_DONE,
	MSG_EXEC,
	MSG_EXEC_RUN, /* a request's end on its worker, not a network message */
	MSG_EXEC_DONE,
	MSG_BEAT,
	MSG_BEAT_DONE,
	MSG_LEND
};

struct message {
	struct message *next;
	enum message_type type;
	gb_time at;
	uint64_t order; /**< unused */
	uint32_t from, to;
	uint64_t incarnation; /**< of the core that gets the answer, or of the
				 worker for MSG_EXEC_RUN */
	uint64_t id;	      /**< of the core's action, or of its request */
	uint32_t worker;      /**< number that the core gave to the worker */
	gb_time sent;	      /**< when the request that it answers was sent */
	union {
		gb_txn txn;
		gb_txn_res txn_res;
		gb_scan scan;
		gb_scan_res scan_res;
		gb_sync sync;
		gb_sync_res sync_res;
		gb_exec exec;
		gb_exec_res exec_res;
		gb_beat beat;
		gb_lend lend;
	} u;
};

static xdrproc_t
message_code(enum message_type type)
{
	static const xdrproc_t codes[] = {[MSG_TXN] = (xdrproc_t)xdr_gb_txn,
	    [MSG_TXN_DONE] = (xdrproc_t)xdr_gb_txn_res,
	    [MSG_SCAN] = (xdrproc_t)xdr_gb_scan,
	    [MSG_SCAN_DONE] = (xdrproc_t)xdr_gb_scan_res,
	    [MSG_SYNC] = (xdrproc_t)xdr_gb_sync,
	    [MSG_SYNC_DONE] = (xdrproc_t)xdr_gb_sync_res,
	    [MSG_EXEC] = (xdrproc_t)xdr_gb_exec,
	    [MSG_EXEC_RUN] = (xdrproc_t)xdr_gb_exec,
	    [MSG_EXEC_DONE] = (xdrproc_t)xdr_gb_exec_res,
	    [MSG_BEAT] = (xdrproc_t)xdr_gb_beat,
	    [MSG_BEAT_DONE] = (xdrproc_t)xdr_gb_beat,
	    [MSG_LEND] = (xdrproc_t)xdr_gb_lend};

	return codes[type];
}

static void
message_free(struct message *m)
{
	xdr_free(message_code(m->type), (char *)&m->u);
	free(m);
}

/** Record a violation, if it is the first. */
static void
violation_record(struct cells *c, const char *what, const char *name)
{
	if (c->violation[0] == '\0')
		snprintf(c->violation, sizeof(c->violation),
		    "%s (%s) at %" PRId64 " ms", what, name, c->now / GB_MSEC);
}

static bool
core_runs(const struct cells *c, uint32_t i)
{
	return c->cores[i].core != NULL && c->now >= c->cores[i].paused_until;
}

static gb_time
worker_clock(const struct worker_node *w)
{
	gb_time now = w->cells->now;

	return now + w->offset + now * w->drift / 1000;
}

/* Fault matrix */

/** Inject the fault if it is due at this point. */
static void
point_reached(
    struct cells *c, enum fault_point point, uint32_t core, uint32_t worker)
{
	if (c->inject == NULL || c->fault_at != point || c->injected)
		return;
	c->injected = true;
	c->inject(c, core, worker);
}

/** Point of the fault matrix that a transaction reaches, by its keys. */
static enum fault_point
txn_point(const gb_txn *txn)
{
	u_int i;

	for (i = 0; i < txn->puts.puts_len; i++) {
		const char *key = txn->puts.puts_val[i].key;

		if (strncmp(key, "log/", 4) == 0)
			return AT_COMMIT;
		if (strncmp(key, "change/", 7) == 0)
			return AT_ACCEPT;
		if (strncmp(key, "cell/shard", 10) == 0)
			return AT_TAKEOVER;
	}
	return AT_NONE;
}

/** Whether a worker reports a task in a state. */
static bool
sync_reports_state(const gb_sync_res *res, gb_worker_task_state state)
{
	u_int i;

	for (i = 0; i < res->held.held_len; i++) {
		if (res->held.held_val[i].state == state)
			return true;
	}
	return false;
}

/* Network */

static struct message *
message_new(struct cells *c, enum message_type type, uint32_t from, uint32_t to)
{
	struct message *m = gb_calloc(1, sizeof(*m));

	m->type = type;
	m->from = from;
	m->to = to;
	m->order = c->next_message++;
	m->sent = c->now;
	return m;
}

static void
message_send(struct cells *c, struct message *m, gb_time delay)
{
	struct message **at = &c->queue;

	if (m->from < CORES)
		delay += c->cores[m->from].delay;
	if (m->from == STORE_NODE)
		delay += c->store_delay;
	m->at = c->now + NETWORK_DELAY + delay;
	while (*at != NULL && (*at)->at <= m->at)
		at = &(*at)->next;
	m->next = *at;
	*at = m;
}

/** New answer to a message; the caller fills in the union and sends it. */
static struct message *
answer_new(struct cells *c, const struct message *m, enum message_type type)
{
	struct message *a = message_new(c, type, m->to, m->from);

	a->id = m->id;
	a->worker = m->worker;
	a->incarnation = m->incarnation;
	a->sent = m->sent;
	return a;
}

static void
serve_store(struct cells *c, struct message *m)
{
	struct message *a;

	if (m->type == MSG_TXN) {
		a = answer_new(c, m, MSG_TXN_DONE);
		if (c->store_down)
			a->u.txn_res.status = GB_STORE_REFUSED;
		else
			store_model_txn(c->store, &m->u.txn, &a->u.txn_res);
		point_reached(c, txn_point(&m->u.txn), m->from, 0);
		if (c->store_lost_answers > 0 && !c->store_down) {
			c->store_lost_answers--;
			message_free(a);
			return;
		}
	} else {
		a = answer_new(c, m, MSG_SCAN_DONE);
		if (c->store_down)
			a->u.scan_res.status = GB_STORE_REFUSED;
		else
			store_model_scan(c->store, &m->u.scan, &a->u.scan_res);
	}
	message_send(c, a, 0);
}

static void
serve_worker(struct cells *c, struct message *m)
{
	struct worker_node *w = &c->workers[m->to - CORES];
	struct message *a;

	if (m->type == MSG_SYNC) {
		if (m->u.sync.starts.starts_len > 0)
			point_reached(c, AT_START, m->from, w->index);
		a = answer_new(c, m, MSG_SYNC_DONE);
		worker_model_sync(
		    w->model, worker_clock(w), &m->u.sync, &a->u.sync_res);
		if (sync_reports_state(&a->u.sync_res, GB_WORKER_TASK_RUNNING))
			point_reached(c, AT_RUN, m->from, w->index);
		if (sync_reports_state(&a->u.sync_res, GB_WORKER_TASK_OK))
			point_reached(c, AT_END, m->from, w->index);
		message_send(c, a, 0);
		return;
	}
	if (m->type == MSG_EXEC_RUN) {
		worker_model_exec_end(w->model, m->u.exec.owner, m->u.exec.rid);
		if (m->incarnation != w->incarnation)
			return;
		a = message_new(c, MSG_EXEC_DONE, m->to, m->from);
		a->id = m->id;
		a->incarnation = m->u.exec.owner;
		a->u.exec_res.verdict = GB_RUN;
		a->u.exec_res.status = 200;
		gb_xdr_copy((xdrproc_t)xdr_gb_body, &m->u.exec.body,
		    &a->u.exec_res.body, sizeof(a->u.exec_res.body));
		message_send(c, a, 0);
		return;
	}
	a = answer_new(c, m, MSG_EXEC_DONE);
	a->incarnation = m->incarnation;
	a->u.exec_res.verdict = GB_NOT_RUN;
	if (worker_model_exec(w->model, worker_clock(w), &m->u.exec)) {
		/* The request runs; its answer is sent when it has ended. */
		struct message *run =
		    message_new(c, MSG_EXEC_RUN, m->from, m->to);

		message_free(a);
		run->id = m->id;
		run->incarnation = w->incarnation;
		gb_xdr_copy((xdrproc_t)xdr_gb_exec, &m->u.exec, &run->u.exec,
		    sizeof(run->u.exec));
		message_send(c, run,
		    c->service_time == 0 ? SERVICE_TIME : c->service_time);
		return;
	}
	message_send(c, a, 0);
}

static void
serve_core(struct cells *c, struct message *m)
{
	struct core_node *node = &c->cores[m->to];
	struct message *a;

	if (m->type != MSG_BEAT && m->type != MSG_LEND &&
	    m->incarnation != node->incarnation)
		return;
	switch (m->type) {
	case MSG_TXN_DONE:
		gb_core_txn_done(node->core, c->now, m->id, &m->u.txn_res);
		break;
	case MSG_SCAN_DONE:
		gb_core_scan_done(node->core, c->now, m->id, &m->u.scan_res);
		break;
	case MSG_SYNC_DONE:
		gb_core_sync_done(
		    node->core, c->now, m->worker, m->id, &m->u.sync_res);
		break;
	case MSG_EXEC_DONE:
		gb_core_exec_done(node->core, c->now, m->id, &m->u.exec_res);
		break;
	case MSG_BEAT:
		a = answer_new(c, m, MSG_BEAT_DONE);
		gb_core_beat(node->core, c->now, &m->u.beat);
		gb_core_beat_make(node->core, &a->u.beat);
		message_send(c, a, 0);
		break;
	case MSG_LEND:
		gb_core_lend(node->core, c->now, &m->u.lend);
		break;
	case MSG_BEAT_DONE:
		if (m->u.beat.config > gb_core_config_seq(node->core))
			point_reached(c, AT_SPREAD, m->to, 0);
		if (node->core != NULL)
			gb_core_beat_done(
			    node->core, c->now, m->sent, &m->u.beat);
		break;
	default:
		break;
	}
}

/** Time at which a paused node continues; in the past: it isn't paused. */
static gb_time
node_paused_until(const struct cells *c, uint32_t node)
{
	if (node < CORES)
		return c->cores[node].paused_until;
	if (node < STORE_NODE)
		return c->workers[node - CORES].paused_until;
	return 0;
}

/** Report to the sender of a request that the request may have run. */
static void
exec_connection_close(
    struct cells *c, uint32_t core, uint64_t id, uint64_t incarnation)
{
	struct message *a = message_new(c, MSG_EXEC_DONE, core, core);

	a->id = id;
	a->incarnation = incarnation;
	a->u.exec_res.verdict = GB_MAYBE_RUN;
	message_send(c, a, CONNECTION_TIMEOUT);
}

/** A dropped message closes its connection. */
static void
message_connection_close(struct cells *c, const struct message *m)
{
	if (m->type == MSG_EXEC)
		exec_connection_close(c, m->from, m->id, m->incarnation);
	else if (m->type == MSG_EXEC_DONE)
		exec_connection_close(c, m->to, m->id, m->incarnation);
}

/** Close the connection of a request that is running. */
static void
running_connection_close(struct cells *c, const struct message *m)
{
	exec_connection_close(c, m->from, m->id, m->u.exec.owner);
}

static void
message_deliver(struct cells *c, struct message *m)
{
	gb_time paused_until = node_paused_until(c, m->to);

	if (c->now < paused_until) {
		/* The message stays in the socket of the paused process. */
		m->next = NULL;
		message_send(c, m,
		    paused_until == INT64_MAX ? SETTLE_TIME
					      : paused_until - c->now);
		return;
	}
	if (c->cut[m->from][m->to] && m->type != MSG_EXEC_RUN) {
		message_connection_close(c, m);
		message_free(m);
		return;
	}
	if (m->to == STORE_NODE)
		serve_store(c, m);
	else if (m->to >= CORES)
		serve_worker(c, m);
	else if (c->cores[m->to].core != NULL)
		serve_core(c, m);
	message_free(m);
}

/** Job as it was submitted: the parent of a lent job, else the job itself. */
static uint64_t
job_origin(const struct cells *c, uint64_t id)
{
	unsigned int i;

	for (i = 0; i < c->lent_job_count; i++) {
		if (c->lent_jobs[i].id == id)
			return c->lent_jobs[i].parent;
	}
	return id;
}

/** Record the parent of the job that an offer creates in another shard. */
static void
lent_job_add(struct cells *c, const gb_lend *lend)
{
	if (lend->kind != GB_LEND_OFFER ||
	    c->lent_job_count == 4 * TRACKED_MAX ||
	    job_origin(c, lend->child) != lend->child)
		return;
	c->lent_jobs[c->lent_job_count].id = lend->child;
	c->lent_jobs[c->lent_job_count].parent = lend->parent;
	c->lent_job_count++;
}

/* Actions of cores */

/** Record with the id that an answer carries, or null. */
static struct tracked *
tracked_find(struct cells *c, uint64_t id)
{
	return id == 0 || id > c->tracked_count ? NULL : &c->tracked[id - 1];
}

static uint32_t
node_from_addr(const char *addr)
{
	return (uint32_t)atoi(addr + 2);
}

/** Record the answer to a caller, and check it. */
static void
answer_check(struct cells *c, struct tracked *t, const gb_answer *answer)
{
	if (t->answered) {
		violation_record(c, "a caller was answered twice", t->name);
		return;
	}
	t->answered = true;
	t->answer = *answer;
	t->answer.reason = NULL;
	if (!t->job && answer->verdict == GB_RUN && !t->apply &&
	    (answer->body.gb_body_len != strlen(t->name) ||
		memcmp(answer->body.gb_body_val, t->name, strlen(t->name)) !=
		    0))
		violation_record(c, "a caller got another's answer", t->name);
	if (!t->job && !t->apply && answer->verdict == GB_NOT_RUN &&
	    t->execs > t->execs_before)
		violation_record(c, "not run was said of what ran", t->name);
	if (t->apply && answer->verdict == GB_RUN && answer->status == 200 &&
	    answer->vers > c->in_force)
		c->in_force = answer->vers;
}

static void
action_execute(struct cells *c, uint32_t i, struct gb_action *action)
{
	struct core_node *node = &c->cores[i];
	struct message *m = NULL;
	struct tracked *t;

	switch (action->type) {
	case GB_ACT_TXN:
		m = message_new(c, MSG_TXN, i, STORE_NODE);
		m->u.txn = action->u.txn;
		break;
	case GB_ACT_SCAN:
		m = message_new(c, MSG_SCAN, i, STORE_NODE);
		m->u.scan = action->u.scan;
		break;
	case GB_ACT_SYNC:
		m = message_new(c, MSG_SYNC, i, node_from_addr(action->addr));
		m->u.sync = action->u.sync;
		if (action->u.sync.starts.starts_len > 0)
			point_reached(c, AT_PLACE, i, m->to - CORES);
		break;
	case GB_ACT_EXEC:
		t = tracked_find(c, action->id);
		if (t == NULL)
			return;
		m = message_new(c, MSG_EXEC, i, node_from_addr(action->addr));
		m->u.exec = action->u.exec;
		m->u.exec.body.gb_body_val = gb_strdup(t->name);
		m->u.exec.body.gb_body_len = (u_int)strlen(t->name);
		action->id = action->u.exec.rid;
		break;
	case GB_ACT_BEAT:
		m = message_new(c, MSG_BEAT, i, node_from_addr(action->addr));
		m->u.beat = action->u.beat;
		break;
	case GB_ACT_LEND:
		m = message_new(c, MSG_LEND, i, node_from_addr(action->addr));
		m->u.lend = action->u.lend;
		lent_job_add(c, &m->u.lend);
		break;
	case GB_ACT_ANSWER:
		t = tracked_find(c, action->id);
		point_reached(c, AT_ANSWER, i, 0);
		/* A fault at AT_ANSWER may have killed the core. */
		if (t != NULL && node->core != NULL)
			answer_check(c, t, &action->u.answer);
		gb_action_clear(action);
		return;
	case GB_ACT_EXIT:
		node->leaving = true;
		return;
	}
	m->id = action->id;
	m->worker = action->worker;
	m->incarnation = node->incarnation;
	message_send(c, m, 0);
}

/** Execute the actions that a core has queued. */
static void
core_pump(struct cells *c, uint32_t i)
{
	struct gb_action action;

	while (c->cores[i].core != NULL &&
	       gb_core_next_action(c->cores[i].core, &action)) {
		/* A fault may kill the core here and drop the other actions. */
		action_execute(c, i, &action);
	}
	if (c->cores[i].core != NULL && c->cores[i].leaving)
		cells_kill(c, i);
}

/* What the workers run */

/** Check and count the start of a task. */
static void
ledger_start(struct cells *c, struct worker_node *w, const gb_task_id *id)
{
	unsigned int i;

	for (i = 0; i < WORKERS; i++) {
		if (i != w->index &&
		    worker_model_runs(c->workers[i].model,
			worker_clock(&c->workers[i]), id->job, id->index))
			violation_record(
			    c, "a task runs in two places", w->name);
	}
	for (i = 0; i < c->start_count; i++) {
		if (c->starts[i].job == id->job &&
		    c->starts[i].index == id->index)
			break;
	}
	if (i == c->start_count && i < 4 * TRACKED_MAX) {
		c->starts[i].job = id->job;
		c->starts[i].index = id->index;
		c->start_count++;
	}
	if (i < 4 * TRACKED_MAX)
		c->starts[i].times++;
	for (i = 0; i < c->tracked_count; i++) {
		struct tracked *t = &c->tracked[i];

		if (!t->job || t->cancel || t->job_id != job_origin(c, id->job))
			continue;
		t->starts++;
		if (!t->idempotent && t->starts > t->tasks)
			violation_record(
			    c, "a non-idempotent task ran twice", t->name);
	}
}

/** Check and count the start of a request. */
static void
ledger_exec(struct cells *c, struct worker_node *w, const gb_exec *exec)
{
	unsigned int i;

	(void)w;
	for (i = 0; i < c->tracked_count; i++) {
		struct tracked *t = &c->tracked[i];

		if (t->job || t->apply ||
		    strlen(t->name) != exec->body.gb_body_len ||
		    memcmp(t->name, exec->body.gb_body_val,
			exec->body.gb_body_len) != 0)
			continue;
		t->execs++;
		if (t->execs > 1 && !t->idempotent)
			violation_record(
			    c, "a non-idempotent request ran twice", t->name);
		if (t->answered && t->answer.verdict == GB_NOT_RUN && !t->keyed)
			violation_record(
			    c, "not run was said of what ran later", t->name);
	}
}

/** Check what a worker has begun or ended. */
static void
ledger_event(void *data, enum worker_event event, const gb_task_id *id,
    const gb_exec *exec)
{
	struct worker_node *w = data;
	struct cells *c = w->cells;

	if (getenv("GB_CELLS_LOG") != NULL && id != NULL)
		fprintf(stderr,
		    "%8" PRId64 " %s event %d job %" PRIx64 "/%u attempt %u\n",
		    c->now / GB_MSEC, w->name, (int)event, id->job & 0xffff,
		    id->index, id->attempt);
	if (event == WORKER_START || event == WORKER_EXEC) {
		if (w->state != GB_INSTANCE_LIVE &&
		    c->now - w->left_at > LEAVE_NOTICE_MAX)
			violation_record(
			    c, "a leaving worker got new work", w->name);
	}
	if (event == WORKER_START && id != NULL)
		ledger_start(c, w, id);
	if (event == WORKER_EXEC)
		ledger_exec(c, w, exec);
}

/* Start and stop of the nodes */

/** Print a log line of a core; used when GB_CELLS_LOG is set. */
static void
log_line(
    void *data, enum gb_level level, const char *partition, const char *text)
{
	const struct core_node *node = data;

	(void)level;
	fprintf(stderr, "%8" PRId64 " core %" PRIx64 " %s: %s\n",
	    node->cells->now / GB_MSEC, node->incarnation & 0xffff, partition,
	    text);
}

static void
core_config(const struct cells *c, uint32_t i, struct gb_core_config *cfg)
{
	static const char *const names[] = {"c0", "c1", "c2"};
	static const char *const addrs[] = {"n:0", "n:1", "n:2"};

	memset(cfg, 0, sizeof(*cfg));
	cfg->member = names[i];
	cfg->addr = addrs[i];
	cfg->dc = i == 0 ? "a" : "b";
	cfg->incarnation = c->cores[i].incarnation;
	cfg->seed = c->seed + i + cfg->incarnation;
	cfg->shards_per_dc = 1;
	cfg->dcs.count = 2;
	snprintf(cfg->dcs.name[0], sizeof(cfg->dcs.name[0]), "a");
	snprintf(cfg->dcs.name[1], sizeof(cfg->dcs.name[1]), "b");
	cfg->beat_us = 100 * GB_MSEC;
	cfg->suspect_us = 400 * GB_MSEC;
	cfg->fresh_us = 500 * GB_MSEC;
	cfg->outage_us = 1000 * GB_SEC;
	cfg->lease_us = 2 * GB_SEC;
	cfg->sync_us = 100 * GB_MSEC;
	cfg->margin_us = 100 * GB_MSEC;
	cfg->op_timeout_us = 300 * GB_MSEC;
	cfg->write_budget = 100;
	cfg->snapshot_every = 20;
	cfg->env.data = (void *)(uintptr_t)&c->cores[i];
	if (getenv("GB_CELLS_LOG") != NULL)
		cfg->env.log = log_line;
}

void
cells_start(struct cells *c, uint32_t i)
{
	struct gb_core_config cfg;

	if (c->cores[i].core != NULL)
		return;
	c->cores[i].incarnation = gb_random_next(&c->seed) | 1;
	c->cores[i].paused_until = 0;
	c->cores[i].leaving = false;
	c->cores[i].seen_vers = 0;
	c->cores[i].cells = c;
	core_config(c, i, &cfg);
	c->cores[i].core = gb_core_new(&cfg, c->now);
}

void
cells_kill(struct cells *c, uint32_t i)
{
	unsigned int n;

	if (c->cores[i].core == NULL)
		return;
	gb_core_unref(c->cores[i].core);
	c->cores[i].core = NULL;
	c->cores[i].leaving = false;
	/* The connections of its callers close. */
	for (n = 0; n < c->tracked_count; n++) {
		struct tracked *t = &c->tracked[n];

		if (t->core == i && !t->answered) {
			t->answered = true;
			t->answer.verdict = GB_MAYBE_RUN;
			t->answer.status = 0;
		}
	}
}

static void
worker_start(struct cells *c, uint32_t i)
{
	static const gb_res capacity = {4000, 8192, 0, 4, 4};
	struct worker_node *w = &c->workers[i];

	w->cells = c;
	w->index = i;
	w->incarnation = gb_random_next(&c->seed) | 1;
	snprintf(w->name, sizeof(w->name), "w%" PRIu32, i);
	w->model = worker_model_new(w->incarnation, &capacity, ledger_event, w);
}

struct cells *
cells_new(uint64_t seed)
{
	struct cells *c = gb_calloc(1, sizeof(*c));
	uint32_t i;

	c->seed = seed;
	c->now = GB_SEC;
	c->store = store_model_new();
	for (i = 0; i < WORKERS; i++) {
		c->workers[i].offset =
		    (gb_time)(gb_random_next(&c->seed) % 100000) * GB_MSEC;
		c->workers[i].drift =
		    (int64_t)(gb_random_next(&c->seed) % 9) - 4;
		worker_start(c, i);
	}
	for (i = 0; i < CORES; i++)
		cells_start(c, i);
	return c;
}

void
cells_free(struct cells *c)
{
	struct message *m;
	uint32_t i;

	while ((m = c->queue) != NULL) {
		c->queue = m->next;
		message_free(m);
	}
	for (i = 0; i < CORES; i++)
		cells_kill(c, i);
	for (i = 0; i < WORKERS; i++)
		worker_model_free(c->workers[i].model);
	store_model_free(c->store);
	free(c);
}

/** Give a core the list of workers. */
static void
instances_send(struct cells *c, uint32_t core)
{
	gb_instance list[WORKERS];
	char addr[WORKERS][8];
	gb_instance_list all = {{WORKERS, list}};
	uint32_t i;

	memset(list, 0, sizeof(list));
	for (i = 0; i < WORKERS; i++) {
		struct worker_node *w = &c->workers[i];

		snprintf(addr[i], sizeof(addr[i]), "n:%u", CORES + i);
		list[i].name = w->name;
		list[i].addr = addr[i];
		list[i].dc = (char *)(uintptr_t)(i < 3 ? "a" : "b");
		list[i].rack = (char *)(uintptr_t)(i % 3 == 0 ? "r0" : "r1");
		list[i].pool = (char *)(uintptr_t) "";
		list[i].capacity = (gb_res){4000, 8192, 0, 4, 4};
		list[i].state = w->state;
	}
	gb_core_instances(c->cores[core].core, c->now, &all);
}

/** Check that each core uses the newest document: never an older one than
 * before, nor one older than the version that is in force. */
static void
cores_check(struct cells *c)
{
	uint32_t i;

	for (i = 0; i < CORES; i++) {
		struct core_node *node = &c->cores[i];
		uint64_t vers;

		if (!core_runs(c, i))
			continue;
		vers = gb_core_doc_vers(node->core, c->now, TEAM, "doc");
		if (vers == 0)
			continue;
		if (vers < node->seen_vers)
			violation_record(c, "a document went back", "core");
		if (vers < c->in_force)
			violation_record(
			    c, "an old document is acted on", "core");
		node->seen_vers = vers;
	}
}

/** Check that no worker runs more than its capacity. */
static void
workers_check(struct cells *c)
{
	uint32_t i;

	for (i = 0; i < WORKERS; i++) {
		if (worker_model_overloaded(c->workers[i].model))
			violation_record(
			    c, "a worker holds too much", c->workers[i].name);
	}
}

/** Advance the clock by a step, run all nodes, and check the guarantees. */
static void
cells_step(struct cells *c)
{
	struct message *m;
	uint32_t i;

	c->now += STEP_TIME;
	while (c->queue != NULL && c->queue->at <= c->now) {
		m = c->queue;
		c->queue = m->next;
		message_deliver(c, m);
		for (i = 0; i < CORES; i++) {
			if (core_runs(c, i))
				core_pump(c, i);
		}
	}
	for (i = 0; i < WORKERS; i++) {
		if (c->now >= c->workers[i].paused_until)
			worker_model_tick(
			    c->workers[i].model, worker_clock(&c->workers[i]));
	}
	for (i = 0; i < CORES; i++) {
		if (!core_runs(c, i))
			continue;
		if (c->now % LIST_INTERVAL == 0)
			instances_send(c, i);
		gb_core_tick(c->cores[i].core, c->now);
		core_pump(c, i);
	}
	cores_check(c);
	workers_check(c);
}

void
cells_run(struct cells *c, gb_time span)
{
	gb_time until = c->now + span;

	while (c->now < until && c->violation[0] == '\0')
		cells_step(c);
}

/* Callers and operators */

/** New record; null when the core doesn't run or the records are used up. */
static struct tracked *
tracked_new(struct cells *c, uint32_t core)
{
	struct tracked *t;

	if (c->tracked_count == TRACKED_MAX || !core_runs(c, core))
		return NULL;
	t = &c->tracked[c->tracked_count++];
	memset(t, 0, sizeof(*t));
	t->id = c->tracked_count;
	t->core = core;
	snprintf(t->name, sizeof(t->name), "x%u", ++c->names);
	return t;
}

static void
body_set(gb_body *body, const char *text)
{
	body->gb_body_val = (char *)(uintptr_t)text;
	body->gb_body_len = (u_int)strlen(text);
}

static void
command_send(struct cells *c, const struct tracked *t, gb_command *cmd)
{
	cmd->team = (char *)(uintptr_t)TEAM;
	cmd->author = (char *)(uintptr_t) "someone";
	cmd->remaining_us = 3 * GB_SEC;
	gb_core_command(c->cores[t->core].core, c->now, t->id, cmd);
	core_pump(c, t->core);
}

void
cells_submit(struct cells *c, uint32_t core, unsigned int kind, uint32_t tasks)
{
	static const char *const services[] = {
	    "idem", "once", "gang", "far", "long", "slow"};
	struct tracked *t = tracked_new(c, core);
	gb_command cmd = {.verb = GB_VERB_SUBMIT};
	char text[96];
	uint32_t shard;

	if (t == NULL)
		return;
	if ((kind == 2 || kind == 5) && tasks > GANG_TASKS_MAX)
		tasks = GANG_TASKS_MAX;
	t->job = true;
	t->idempotent = kind != 1 && kind != 3;
	t->tasks = tasks;
	t->job_id = gb_hash_pair(TEAM, t->name);
	shard = gb_shard_of_job(2, TEAM, t->name);
	/* An entry sends the command to the owner of its shard. */
	if (cells_owner(c, shard) != GB_NONE)
		t->core = cells_owner(c, shard);
	snprintf(text, sizeof(text), "{\"service\": \"%s\", \"tasks\": %u}",
	    services[kind], tasks);
	cmd.shard = shard;
	cmd.name = t->name;
	body_set(&cmd.body, text);
	point_reached(c, AT_SUBMIT, t->core, 0);
	if (core_runs(c, t->core))
		command_send(c, t, &cmd);
	else
		t->answered = true;
}

void
cells_cancel(struct cells *c, unsigned int n)
{
	struct tracked *job = NULL;
	struct tracked *t;
	gb_command cmd = {.verb = GB_VERB_CANCEL};
	unsigned int i;
	uint32_t owner;

	for (i = c->tracked_count; i > 0; i--) {
		if (c->tracked[i - 1].job && !c->tracked[i - 1].cancel &&
		    n-- == 0) {
			job = &c->tracked[i - 1];
			break;
		}
	}
	if (job == NULL)
		return;
	cmd.shard = gb_shard_of_job(2, TEAM, job->name);
	owner = cells_owner(c, cmd.shard);
	t = owner == GB_NONE ? NULL : tracked_new(c, owner);
	if (t == NULL)
		return;
	t->job = true;
	t->cancel = true;
	cmd.name = job->name;
	body_set(&cmd.body, "");
	command_send(c, t, &cmd);
}

static void
request_send(struct cells *c, struct tracked *t)
{
	gb_request req = {0};

	req.shard = (uint32_t)(t->id % 2);
	if (cells_owner(c, req.shard) != GB_NONE)
		t->core = cells_owner(c, req.shard);
	req.team = (char *)(uintptr_t)TEAM;
	req.service = (char *)(uintptr_t)(t->idempotent ? "lookup" : "renewal");
	req.key = (char *)(uintptr_t)(t->keyed ? t->name : "");
	req.trace = (char *)(uintptr_t) "";
	body_set(&req.body, t->name);
	gb_core_request(c->cores[t->core].core, c->now, t->id, &req);
	core_pump(c, t->core);
}

void
cells_request(struct cells *c, uint32_t core, unsigned int kind)
{
	struct tracked *t = tracked_new(c, core);

	if (t == NULL)
		return;
	t->idempotent = kind == 0;
	t->keyed = kind == 2;
	request_send(c, t);
}

void
cells_repeat(struct cells *c, uint32_t core, unsigned int n)
{
	unsigned int i;

	for (i = c->tracked_count; i > 0; i--) {
		struct tracked *t = &c->tracked[i - 1];

		if (!t->keyed || !t->answered || n-- > 0)
			continue;
		if (!core_runs(c, core))
			return;
		t->answered = false;
		t->execs_before = t->execs;
		t->core = core;
		request_send(c, t);
		return;
	}
}

void
cells_apply(struct cells *c, uint32_t core)
{
	struct tracked *t = tracked_new(c, core);
	gb_command cmd = {.verb = GB_VERB_APPLY};

	if (t == NULL)
		return;
	t->apply = true;
	cmd.name = (char *)(uintptr_t) "doc";
	cmd.vers = gb_core_doc_vers(c->cores[core].core, c->now, TEAM, "doc");
	body_set(&cmd.body,
	    "{\"team\": \"" TEAM "\", \"service\": \"doc\", "
	    "\"kind\": \"service\", \"replicas\": 3, \"resources\": "
	    "{\"cpu_milli\": 500}}");
	command_send(c, t, &cmd);
}

void
cells_drain(struct cells *c, uint32_t core, uint32_t worker, bool drain)
{
	struct tracked *t = tracked_new(c, core);
	gb_command cmd = {.verb = drain ? GB_VERB_DRAIN : GB_VERB_UNDRAIN};

	if (t == NULL)
		return;
	t->job = true;
	t->cancel = true;
	cmd.name = c->workers[worker].name;
	body_set(&cmd.body, "");
	command_send(c, t, &cmd);
	point_reached(c, AT_DRAIN, core, worker);
}

void
cells_leave(struct cells *c, uint32_t i)
{
	if (!core_runs(c, i))
		return;
	gb_core_leave(c->cores[i].core, c->now);
	core_pump(c, i);
}

void
cells_pause(struct cells *c, uint32_t i, gb_time span)
{
	c->cores[i].paused_until = c->now + span;
}

void
cells_pause_worker(struct cells *c, uint32_t i, gb_time span)
{
	if (c->workers[i].state != GB_INSTANCE_GONE)
		c->workers[i].paused_until = c->now + span;
}

void
cells_cut(struct cells *c, uint32_t from, uint32_t to, bool cut)
{
	struct message *m;

	c->cut[from][to] = cut;
	if (!cut)
		return;
	/* Requests that run lose their connection, and continue to run. */
	for (m = c->queue; m != NULL; m = m->next) {
		if (m->type == MSG_EXEC_RUN &&
		    ((m->from == from && m->to == to) ||
			(m->from == to && m->to == from)))
			running_connection_close(c, m);
	}
}

void
cells_worker_restart(struct cells *c, uint32_t i)
{
	if (c->workers[i].state == GB_INSTANCE_GONE)
		return;
	worker_model_free(c->workers[i].model);
	worker_start(c, i);
}

void
cells_worker_state(struct cells *c, uint32_t i, gb_instance_state state)
{
	struct worker_node *w = &c->workers[i];

	if (w->state == GB_INSTANCE_GONE || state == w->state)
		return;
	if (state == GB_INSTANCE_GONE) {
		/* Its tasks and requests end with it. */
		cells_worker_restart(c, i);
		w->paused_until = INT64_MAX;
	}
	w->state = state;
	w->left_at = c->now;
}

bool
cells_owned(const struct cells *c, uint32_t shard)
{
	return cells_owner(c, shard) != GB_NONE;
}

uint32_t
cells_owner(const struct cells *c, uint32_t shard)
{
	uint32_t i;

	for (i = 0; i < CORES; i++) {
		if (core_runs(c, i) && gb_core_owns(c->cores[i].core, shard))
			return i;
	}
	return GB_NONE;
}

/* End of a run */

/** Ask the owner for an accepted job, and check that the job has ended. */
static void
job_check(struct cells *c, struct tracked *t)
{
	struct gb_action action;
	gb_command cmd = {.verb = GB_VERB_JOB,
	    .team = (char *)(uintptr_t)TEAM,
	    .name = t->name,
	    .author = (char *)(uintptr_t) ""};
	uint32_t owner;
	bool answered = false;

	cmd.shard = gb_shard_of_job(2, TEAM, t->name);
	owner = cells_owner(c, cmd.shard);
	if (owner == GB_NONE) {
		violation_record(
		    c, "a shard has no owner after the faults", t->name);
		return;
	}
	gb_core_command(c->cores[owner].core, c->now, UINT64_MAX, &cmd);
	while (gb_core_next_action(c->cores[owner].core, &action)) {
		if (action.type != GB_ACT_ANSWER || action.id != UINT64_MAX) {
			action_execute(c, owner, &action);
			continue;
		}
		answered = true;
		if (action.u.answer.status == 404)
			violation_record(c, "an accepted job is lost", t->name);
		else if (memmem(action.u.answer.body.gb_body_val,
			     action.u.answer.body.gb_body_len, "\"active\",",
			     9) != NULL)
			violation_record(
			    c, "an accepted job does not end", t->name);
		gb_action_clear(&action);
	}
	if (!answered)
		violation_record(c, "a command was not answered", t->name);
}

static void
faults_clear(struct cells *c)
{
	uint32_t i;

	memset(c->cut, 0, sizeof(c->cut));
	c->store_down = false;
	c->store_delay = 0;
	c->store_lost_answers = 0;
	for (i = 0; i < CORES; i++) {
		c->cores[i].paused_until = 0;
		c->cores[i].delay = 0;
		cells_start(c, i);
	}
	for (i = 0; i < WORKERS; i++) {
		struct worker_node *w = &c->workers[i];

		worker_model_fail_all(w->model, false);
		if (w->state != GB_INSTANCE_GONE) {
			w->paused_until = 0;
			w->state = GB_INSTANCE_LIVE;
		}
	}
}

void
cells_finish(struct cells *c)
{
	unsigned int i;

	faults_clear(c);
	cells_run(c, 5 * GB_SEC);
	for (i = 0; i < CORES; i++)
		cells_start(c, i); /* cores that were leaving have exited */
	cells_run(c, 5 * GB_SEC);
	for (i = 0; i < WORKERS; i++)
		cells_drain(c, 0, i, false);
	cells_run(c, SETTLE_TIME);
	for (i = 0; i < c->tracked_count && c->violation[0] == '\0'; i++) {
		struct tracked *t = &c->tracked[i];

		if (!t->answered)
			violation_record(
			    c, "a caller was not answered", t->name);
		else if (t->job && !t->cancel && t->answer.verdict == GB_RUN &&
			 t->answer.status == 200)
			job_check(c, t);
	}
}
