/**
 * @file run.c
 * Runs of tasks on workers: orders to start and to stop them.
 *
 * An order without answer may be carried out seconds later. If retries of a
 * start get no answer either, the owner sends a stop, which also makes the
 * worker refuse a start that arrives later, or waits until the lease in the
 * order has certainly expired. Capacity is released only when the end of a run
 * is certain.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "crash.h"
#include "state.h"

/** Maximum number of start orders sent for a run: the answer to each is waited
 * for 0.3 s, and members of a gang wait 3 s for the others. */
#define START_TRIES_MAX 4
/** A stop without answer is sent again after this time. */
#define STOP_RETRY_DELAY (500 * GB_MSEC)
/** A worker that refuses orders is quarantined for this long. */
#define REFUSED_QUARANTINE_TIME (700 * GB_MSEC)

struct pool_run *
pool_run_new(struct gb_pool *pool, struct pool_flow *flow, uint32_t step,
    uint32_t index, uint64_t number, struct pool_worker *worker)
{
	struct pool_run *run = gb_calloc(1, sizeof(*run));
	struct pool_step *s = &flow->steps[step];

	run->flow = flow;
	run->step = step;
	run->index = index;
	run->number = number;
	run->worker = worker;
	run->res = s->spec->res;
	run->started = pool->now;
	run->progress_at = pool->now;
	run->suspect = s->tasks[index].suspect != NULL;
	worker->suspect_runs += run->suspect;
	if (TAILQ_EMPTY(&s->tasks[index].runs)) {
		s->active++;
		s->active_open++;
	}
	TAILQ_INSERT_TAIL(&s->tasks[index].runs, run, of_task);
	TAILQ_INSERT_TAIL(&worker->runs, run, of_worker);
	worker->run_count++;
	gb_res_add(&worker->used, &run->res);
	pool_quota_add_run(flow->org, &run->res);
	pool_usage_run_started(pool, run);
	if (number > s->run_number)
		s->run_number = number;
	flow->runs++;
	pool->stats.running++;
	return run;
}

void
pool_run_free(struct gb_pool *pool, struct pool_run *run, const char *end)
{
	struct pool_step *step = &run->flow->steps[run->step];
	struct pool_task *task = &step->tasks[run->index];

	task->last_end = end;
	task->last_run = run->number;
	pool_late_run_freed(run);
	pool_call_clear_run(pool, run->start_call);
	pool_call_clear_run(pool, run->stop_call);
	if (task->plan != NULL) {
		/* Otherwise a successor would take a later loss of the worker
		 * for one with this run. */
		pool_crash_plan_drop(pool, step, run->index);
		pool_flow_changed(pool, run->flow, false);
	}
	TAILQ_REMOVE(&task->runs, run, of_task);
	if (TAILQ_EMPTY(&task->runs)) {
		step->active--;
		if (!task->done)
			step->active_open--;
	}
	TAILQ_REMOVE(&run->worker->runs, run, of_worker);
	run->worker->run_count--;
	run->worker->suspect_runs -= run->suspect;
	gb_res_sub(&run->worker->used, &run->res);
	pool_quota_remove_run(run->flow->org, &run->res);
	pool_usage_run_ended(pool, run);
	run->flow->runs--;
	/* What the end of the run changes is written with an announcement of
	 * the next one. */
	if (!task->done)
		pool_announce_allow(pool, run->flow);
	pool->ends_since++;
	pool->stats.running--;
	pool->work_changed = true;
	free(run);
}

static void
run_fill_order(const struct gb_pool *pool, const struct pool_run *run,
    struct gb_pool_order *order)
{
	memset(order, 0, sizeof(*order));
	order->worker = run->worker->entry.id;
	order->addr = run->worker->entry.addr;
	order->id.flow = run->flow->spec.id;
	order->id.step = run->step;
	order->id.index = run->index;
	order->id.run = run->number;
	order->token = pool_incarnation_token(pool, run->worker);
}

/** Sends the order to start a run. The worker treats a repeated order as
 * one. */
static void
run_start_send(struct gb_pool *pool, struct pool_run *run, const char *ticket)
{
	struct pool_call *call = pool_call_new(pool, POOL_CALL_RUN_START);
	const struct pool_step *step = &run->flow->steps[run->step];
	bool gang = (step->spec->flags & GB_STEP_GANG) != 0;
	struct gb_pool_order order;

	call->run = run;
	call->worker = run->worker->handle;
	run->start_call = call->id;
	run->state = POOL_RUN_STARTING;
	run->tries++;
	run->start_sent = pool->now;
	run_fill_order(pool, run, &order);
	order.spec = run->flow->spec.spec;
	order.lease_end_ms =
	    pool_worker_lease(pool, run->worker, &run->lapse_at);
	order.checkpoint = step->tasks[gang ? 0 : run->index].checkpoint;
	order.ticket = ticket;
	call->token = order.token;
	call->lease = order.lease_end_ms != 0;
	pool->stats.starts++;
	pool->ops.start(pool->ops.data, call->id, &order);
}

void
pool_run_start(struct gb_pool *pool, struct pool_flow *flow, uint32_t step,
    uint32_t index, uint64_t number, struct pool_worker *worker,
    const char *ticket)
{
	struct pool_run *run =
	    pool_run_new(pool, flow, step, index, number, worker);
	const struct pool_task *task = &flow->steps[step].tasks[index];

	gb_event(pool->cfg.events, GB_EVENT_NORMAL, "run_start",
	    "{s:s, s:I, s:I, s:I, s:s, s:I, s:I, s:i, s:s?, s:I}", "flow",
	    flow->spec.id, "step", (json_int_t)step, "index", (json_int_t)index,
	    "run", (json_int_t)number, "worker", worker->entry.id, "free_cpu",
	    (json_int_t)pool_fit_free_capacity(worker).cpu, "slack_ms",
	    (json_int_t)((flow->due - flow->remaining - pool->now) / GB_MSEC),
	    "tier", flow->tier, "after", task->last_end, "last_run",
	    (json_int_t)task->last_run);
	pool_announce_used(flow, &flow->steps[step].tasks[index]);
	run_start_send(pool, run, ticket);
}

void
pool_run_stop_send(struct gb_pool *pool, struct pool_run *run)
{
	struct pool_call *call;
	struct gb_pool_order order;

	if (run->stop_call != 0 || run->stopped != 0)
		return;
	call = pool_call_new(pool, POOL_CALL_RUN_STOP);
	call->run = run;
	call->worker = run->worker->handle;
	run->stop_call = call->id;
	run->stop_at = pool->now + STOP_RETRY_DELAY;
	run_fill_order(pool, run, &order);
	call->token = order.token;
	pool->stats.stops++;
	pool->ops.stop(pool->ops.data, call->id, &order);
}

void
pool_run_stop(struct gb_pool *pool, struct pool_run *run, const char *why)
{
	if (run->state == POOL_RUN_STOPPING)
		return;
	gb_event(pool->cfg.events, GB_EVENT_NORMAL, "run_stop",
	    "{s:s, s:I, s:I, s:I, s:s, s:s}", "flow", run->flow->spec.id,
	    "step", (json_int_t)run->step, "index", (json_int_t)run->index,
	    "run", (json_int_t)run->number, "worker", run->worker->entry.id,
	    "why", why);
	run->state = POOL_RUN_STOPPING;
	pool_run_stop_send(pool, run);
}

/** Handles a start that was certainly not carried out and never will be. */
static void
run_refused(struct gb_pool *pool, struct pool_run *run,
    const struct gb_pool_order_res *res)
{
	struct pool_worker *worker = run->worker;
	struct pool_flow *flow = run->flow;
	struct pool_step *step = &flow->steps[run->step];
	uint32_t step_number = run->step;
	uint32_t i;

	pool->stats.starts_refused++;
	gb_event(pool->cfg.events, GB_EVENT_NORMAL, "run_refused",
	    "{s:s, s:I, s:I, s:I, s:s, s:i}", "flow", flow->spec.id, "step",
	    (json_int_t)run->step, "index", (json_int_t)run->index, "run",
	    (json_int_t)run->number, "worker", worker->entry.id, "status",
	    (int)res->status);
	if (res->status == GB_POOL_ORDER_REFUSED)
		worker->quarantined_until = pool->now + REFUSED_QUARANTINE_TIME;
	if (res->status == GB_POOL_ORDER_NO_TICKET) {
		/* This owner may not know the queue. */
		flow->advice.needed = true;
		for (i = 0; i < step->approved_count; i++) {
			if (step->approved[i].worker == worker->handle)
				step->approved[i].expires = 0;
		}
	}
	pool_run_free(pool, run, "refused");
	pool_flow_gang_broken(pool, flow, step_number, "a member was refused");
}

/** Handles a start of which it is unknown whether it was or will be carried
 * out. The run must be stopped, which also makes the worker refuse a start that
 * arrives later. */
static void
run_start_uncertain(struct gb_pool *pool, struct pool_run *run)
{
	gb_event(pool->cfg.events, GB_EVENT_NORMAL, "run_unsure",
	    "{s:s, s:I, s:I, s:I, s:s, s:I}", "flow", run->flow->spec.id,
	    "step", (json_int_t)run->step, "index", (json_int_t)run->index,
	    "run", (json_int_t)run->number, "worker", run->worker->entry.id,
	    "tries", (json_int_t)run->tries);
	if (run->state == POOL_RUN_STARTING)
		run->state = POOL_RUN_START_UNKNOWN;
	pool_run_stop_send(pool, run);
}

/** Whether an order may be sent to a worker again. Since the first one its
 * capacity may have shrunk, it may have begun to leave, or its entry may have
 * become invalid. */
static bool
worker_accepts_retry(const struct pool_worker *worker)
{
	return pool_worker_offered(worker) && !worker->entry.draining &&
	       pool_incarnation_listed(worker) &&
	       gb_res_fits(&worker->used, &worker->entry.capacity);
}

void
pool_run_start_retry(struct gb_pool *pool, struct pool_run *run)
{
	const struct pool_step *step = &run->flow->steps[run->step];
	const struct pool_approval *a =
	    pool_fit_ticket(pool, run->flow, step, run->worker->handle, 1);

	/* Another incarnation might accept it: waits until the worker has
	 * answered. */
	run->retry_pending = !pool_incarnation_confirmed(run->worker) ||
			     run->flow->stored < run->late_change ||
			     !pool_authority_held(pool);
	if (run->retry_pending)
		return;
	if (run->confirmed != 0)
		return;
	if (run->tries < START_TRIES_MAX && worker_accepts_retry(run->worker) &&
	    (a != NULL || !POOL_ADVICE_NEEDED(run->flow)))
		run_start_send(pool, run, a == NULL ? NULL : a->ticket);
	else
		run_start_uncertain(pool, run);
}

/** Retries a start order without answer as soon as the link has capacity: the
 * answer shows what the worker did with the first one, and members of a gang
 * wait for the others only for a limited time. */
static void
run_start_lost(struct gb_pool *pool, struct pool_run *run)
{
	pool->stats.starts_lost++;
	if (run->confirmed != 0)
		return;
	if (run->state == POOL_RUN_STARTING && !pool_pace_may_send_starts(pool))
		run->retry_pending = true;
	else if (run->state == POOL_RUN_STARTING)
		pool_run_start_retry(pool, run);
	else
		run_start_uncertain(pool, run);
}

bool
pool_run_is_start_pending(const struct pool_run *run)
{
	return run->start_call != 0 && run->tries == 1 && run->confirmed == 0;
}

/** Handles the answer to the only order to start a run if its worker has ended
 * or another incarnation of it answered. The answer shows whether the run ever
 * began. */
static void
run_start_resolved(struct gb_pool *pool, struct pool_run *run,
    const struct gb_pool_order_res *res)
{
	run->start_call = 0;
	if (res->status == GB_POOL_ORDER_DONE) {
		run->confirmed = pool->now;
		pool_flow_begin(pool, run->flow);
	}
	if (res->status == GB_POOL_ORDER_DONE ||
	    res->status == GB_POOL_ORDER_LOST)
		pool_worker_run_lost(pool, run, run->worker->ended);
	else
		run_refused(pool, run, res);
}

/** Applies the answer to any order. Returns the run, or null if nothing is left
 * to be done. */
static struct pool_run *
order_apply_answer(struct gb_pool *pool, const struct pool_call *call,
    const struct gb_pool_order_res *res)
{
	struct pool_worker *worker = pool_worker_get(pool, call->worker);

	if (res->status == GB_POOL_ORDER_WRONG_WORKER && worker != NULL &&
	    call->sent > worker->incarnation_since) {
		pool_worker_ended(pool, worker, "another lifetime answered");
		return NULL;
	}
	pool_incarnation_order_answered(pool, call, res);
	if (pool_incarnation_fenced_off(pool, call, res->status))
		return NULL;
	return call->run;
}

void
pool_run_start_done(struct gb_pool *pool, const struct pool_call *call,
    const struct gb_pool_order_res *res)
{
	struct pool_run *run = call->run;
	bool resolved =
	    run != NULL && pool_run_is_start_pending(run) &&
	    (run->worker->ended || res->status == GB_POOL_ORDER_WRONG_WORKER);

	gb_histogram_add(&pool->stats.start_us, pool->now - call->sent);
	if (run != NULL && res->status != GB_POOL_ORDER_LOST)
		run->answers++;
	else if (run != NULL)
		pool_late_start_lost(pool, run);
	/* Done before the worker is ended, which would lose the run. */
	if (resolved)
		run_start_resolved(pool, run, res);
	run = order_apply_answer(pool, call, res);
	if (resolved || run == NULL)
		return;
	run->start_call = 0;
	if (res->status == GB_POOL_ORDER_DONE) {
		run->confirmed = pool->now;
		pool_flow_begin(pool, run->flow);
		run->progress_at = pool->now;
		if (run->state == POOL_RUN_STARTING)
			run->state = POOL_RUN_RUNNING;
	} else if (res->status == GB_POOL_ORDER_LOST) {
		run_start_lost(pool, run);
	} else if (run->tries > 1) {
		/* The first order may have been carried out, or may be
		 * later. */
		run_start_uncertain(pool, run);
	} else {
		run_refused(pool, run, res);
	}
}

void
pool_run_stop_done(struct gb_pool *pool, const struct pool_call *call,
    const struct gb_pool_order_res *res)
{
	struct pool_run *run = order_apply_answer(pool, call, res);

	if (run == NULL)
		return;
	run->stop_call = 0;
	if (res->status == GB_POOL_ORDER_DONE ||
	    res->status == GB_POOL_ORDER_STALE) {
		run->stopped = pool->now;
		run->state = POOL_RUN_STOPPING;
		if (run->worker->heartbeat_call == 0)
			run->worker->heartbeat_at = pool->now;
	}
}
