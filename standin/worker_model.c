/**
 * @file worker_model.c
 * Model of a worker of the platform, without I/O.
 */
#include <stdlib.h>
#include <string.h>

#include "worker_model.h"

struct model_task {
	gb_task_id id;
	gb_res res;
	gb_worker_task_state state;
	uint64_t vers;
	gb_time end_at; /**< 0: runs until stopped */
};

struct model_request {
	uint64_t owner;
	uint64_t rid;
};

struct worker_model {
	uint64_t incarnation;
	gb_res capacity;
	uint64_t epoch;
	uint64_t seq; /**< of the last sync in this epoch */
	gb_time lease_until;
	bool fail_all;
	struct model_task *tasks;
	u_int task_count;
	struct model_request *requests;
	u_int request_count;
	worker_ledger ledger;
	void *data;
};

struct worker_model *
worker_model_new(uint64_t incarnation, const gb_res *capacity,
    worker_ledger ledger, void *data)
{
	struct worker_model *m = gb_calloc(1, sizeof(*m));

	m->incarnation = incarnation;
	m->capacity = *capacity;
	m->ledger = ledger;
	m->data = data;
	return m;
}

void
worker_model_free(struct worker_model *m)
{
	free(m->tasks);
	free(m->requests);
	free(m);
}

void
worker_model_fail_all(struct worker_model *m, bool fail)
{
	m->fail_all = fail;
}

static void
ledger_add(struct worker_model *m, enum worker_event event,
    const gb_task_id *id, const gb_exec *exec)
{
	if (m->ledger != NULL)
		m->ledger(m->data, event, id, exec);
}

static struct model_task *
task_find(struct worker_model *m, const gb_task_id *id)
{
	u_int i;

	for (i = 0; i < m->task_count; i++) {
		if (m->tasks[i].id.job == id->job &&
		    m->tasks[i].id.index == id->index &&
		    m->tasks[i].id.attempt == id->attempt)
			return &m->tasks[i];
	}
	return NULL;
}

static void
task_finish(
    struct worker_model *m, struct model_task *task, gb_worker_task_state state)
{
	if (task->state != GB_WORKER_TASK_RUNNING)
		return;
	task->state = state;
	ledger_add(m,
	    state == GB_WORKER_TASK_STOPPED ? WORKER_STOP : WORKER_END,
	    &task->id, NULL);
}

void
worker_model_tick(struct worker_model *m, gb_time now)
{
	u_int i;

	for (i = 0; i < m->task_count; i++) {
		struct model_task *task = &m->tasks[i];

		if (now > m->lease_until)
			task_finish(m, task, GB_WORKER_TASK_STOPPED);
		else if (m->fail_all)
			task_finish(m, task, GB_WORKER_TASK_FAILED);
		else if (task->end_at != 0 && now >= task->end_at)
			task_finish(m, task, GB_WORKER_TASK_OK);
	}
}

gb_res
worker_model_load(const struct worker_model *m)
{
	gb_res load = {0};
	u_int i;

	for (i = 0; i < m->task_count; i++) {
		if (m->tasks[i].state == GB_WORKER_TASK_RUNNING)
			gb_res_add(&load, &m->tasks[i].res);
	}
	load.slots += (int)m->request_count;
	load.conns += (int)m->request_count;
	return load;
}

bool
worker_model_overloaded(const struct worker_model *m)
{
	gb_res load = worker_model_load(m);

	return !gb_res_fits(&load, &m->capacity);
}

bool
worker_model_runs(
    const struct worker_model *m, gb_time now, uint64_t job, uint32_t index)
{
	u_int i;

	if (now > m->lease_until)
		return false;
	for (i = 0; i < m->task_count; i++) {
		if (m->tasks[i].id.job == job &&
		    m->tasks[i].id.index == index &&
		    m->tasks[i].state == GB_WORKER_TASK_RUNNING)
			return true;
	}
	return false;
}

size_t
worker_model_running(const struct worker_model *m, gb_task_id *out, size_t max)
{
	size_t n = 0;
	u_int i;

	for (i = 0; i < m->task_count && n < max; i++) {
		if (m->tasks[i].state == GB_WORKER_TASK_RUNNING)
			out[n++] = m->tasks[i].id;
	}
	return n;
}

static void
task_start(struct worker_model *m, gb_time now, const gb_start *start)
{
	struct model_task *task;

	if (task_find(m, &start->id) != NULL)
		return;
	m->tasks = gb_realloc(
	    m->tasks, (m->task_count + 1) * sizeof(struct model_task));
	task = &m->tasks[m->task_count++];
	memset(task, 0, sizeof(*task));
	task->id = start->id;
	task->res = start->res;
	task->vers = start->vers;
	if (now > m->lease_until) {
		task->state = GB_WORKER_TASK_REFUSED;
		return;
	}
	task->state = GB_WORKER_TASK_RUNNING;
	if (start->run_us > 0)
		task->end_at = now + start->run_us;
	ledger_add(m, WORKER_START, &task->id, NULL);
}

static void
task_remove(struct worker_model *m, const gb_task_id *id)
{
	struct model_task *task = task_find(m, id);

	if (task == NULL || task->state == GB_WORKER_TASK_RUNNING)
		return;
	*task = m->tasks[--m->task_count];
}

static void
sync_res_fill(
    const struct worker_model *m, gb_time now, uint64_t owner, gb_sync_res *res)
{
	u_int i;

	res->epoch = m->epoch;
	res->incarnation = m->incarnation;
	res->seq = m->seq;
	res->clock = now;
	res->held.held_val = gb_calloc(m->task_count, sizeof(gb_worker_task));
	res->held.held_len = m->task_count;
	for (i = 0; i < m->task_count; i++) {
		gb_worker_task *held = &res->held.held_val[i];

		held->id = m->tasks[i].id;
		held->state = m->tasks[i].state;
		held->vers = m->tasks[i].vers;
		held->res = m->tasks[i].res;
		held->used = m->tasks[i].res;
	}
	res->own.own_val = gb_calloc(m->request_count, sizeof(uint64_t));
	for (i = 0; i < m->request_count; i++) {
		if (m->requests[i].owner == owner)
			res->own.own_val[res->own.own_len++] =
			    m->requests[i].rid;
		else
			res->requests++;
	}
}

void
worker_model_sync(
    struct worker_model *m, gb_time now, const gb_sync *sync, gb_sync_res *res)
{
	u_int i;

	memset(res, 0, sizeof(*res));
	worker_model_tick(m, now);
	if (sync->epoch < m->epoch ||
	    (sync->epoch == m->epoch && sync->seq <= m->seq) ||
	    (sync->incarnation != 0 && sync->incarnation != m->incarnation)) {
		res->refused = TRUE;
		sync_res_fill(m, now, sync->owner, res);
		return;
	}
	m->epoch = sync->epoch;
	m->seq = sync->seq;
	if (sync->incarnation != 0 &&
	    sync->anchor + sync->lease_us > m->lease_until)
		m->lease_until = sync->anchor + sync->lease_us;
	for (i = 0; i < sync->starts.starts_len; i++)
		task_start(m, now, &sync->starts.starts_val[i]);
	for (i = 0; i < sync->stops.stops_len; i++) {
		struct model_task *task =
		    task_find(m, &sync->stops.stops_val[i]);

		if (task != NULL)
			task_finish(m, task, GB_WORKER_TASK_STOPPED);
	}
	for (i = 0; i < sync->acks.acks_len; i++)
		task_remove(m, &sync->acks.acks_val[i]);
	worker_model_tick(m, now);
	sync_res_fill(m, now, sync->owner, res);
}

bool
worker_model_exec(struct worker_model *m, gb_time now, const gb_exec *exec)
{
	struct model_request *r;

	worker_model_tick(m, now);
	if (exec->epoch != m->epoch || exec->incarnation != m->incarnation ||
	    now > exec->anchor + exec->lease_us)
		return false;
	m->requests = gb_realloc(
	    m->requests, (m->request_count + 1) * sizeof(*m->requests));
	r = &m->requests[m->request_count++];
	r->owner = exec->owner;
	r->rid = exec->rid;
	ledger_add(m, WORKER_EXEC, NULL, exec);
	return true;
}

void
worker_model_exec_end(struct worker_model *m, uint64_t owner, uint64_t rid)
{
	u_int i;

	for (i = 0; i < m->request_count; i++) {
		if (m->requests[i].owner == owner &&
		    m->requests[i].rid == rid) {
			m->requests[i] = m->requests[--m->request_count];
			return;
		}
	}
}
