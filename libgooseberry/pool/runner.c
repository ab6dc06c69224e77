/**
 * @file runner.c
 * Workers and the runs on them: leases, orders, ends.
 *
 * A worker's lease is counted on its own clock, which may be 2% slow; the
 * owner knows a reading of that clock and when it came, and so a time by which
 * every lease that it sent is surely over.  An order without answer may be
 * carried out seconds later: it is followed by a stop, which also refuses a
 * start that comes later, or by its own lease end.  Room is given back only
 * when the end of a run is proved.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "state.h"

/** Lease given with each order and hold; as long as a worker grants, but no
 * longer than this: what a lost worker runs can start anew only after it, and
 * a takeover must come well before it (about 1.5 s). */
#define LEASE_MOST (3500 * GB_MSEC)
/** Added to the end of a lease: coarse clocks, and a kill that takes time. */
#define LEASE_MARGIN (300 * GB_MSEC)
/** Longest wait of a hold for an end: of a worker with work, so that progress
 * is seen, and without. */
#define HOLD_WAIT_BUSY (900 * GB_MSEC)
#define HOLD_WAIT_IDLE (1800 * GB_MSEC)
/** Pause after a hold that told of ends: gathers the next ones, because each
 * look at a worker is paid for, and lets the store confirm these. */
#define HOLD_GAP (60 * GB_MSEC)
/** The same when all ends had been told of before, as while the store is out:
 * the worker answers at once as long as one is not acknowledged. */
#define HOLD_GAP_OLD (60 * GB_MSEC)
/** Where workers are asked in turn, a busy one waits this much for each worker
 * there is: at 3,000 it is asked each 0.75 s, 4,000 calls a second in all. */
#define HOLD_TURN 250
/** Pause after a hold without answer, times the number of them. */
#define HOLD_RETRY (100 * GB_MSEC)
#define HOLD_RETRY_MOST (800 * GB_MSEC)
/** Holds without answer in a row after which the lease is left to lapse. */
#define HOLD_RENEW_TRIES 2
/** A worker that is not listed is asked this often before it is left alone: its
 * entry may come back for 2 s after an outage of the store. */
#define HOLD_UNLISTED_TRIES 8
/** Orders to start that are sent before a run is given up: each is waited for
 * 0.3 s, and a gang for 3 s. */
#define START_TRIES 4
/** A stop without answer is sent again after this. */
#define STOP_RETRY (500 * GB_MSEC)
/** A worker lists this many ends at once; then some may be missing. */
#define ENDS_LISTED_MOST 500
/** A worker that refuses orders is given none for this long. */
#define REFUSED_ASIDE (700 * GB_MSEC)

struct pool_worker *
pool_worker_get(const struct gb_pool *pool, uint32_t handle)
{
	return handle < pool->worker_count ? pool->workers[handle] : NULL;
}

struct pool_worker *
pool_worker_find(struct gb_pool *pool, const char *id)
{
	struct pool_worker *worker;

	HASH_FIND_STR(pool->workers_by_id, id, worker);
	return worker;
}

/* Clock and lease --------------------------------------------------------- */

static void
worker_clock(struct gb_pool *pool, struct pool_worker *worker, int64_t clock_ms)
{
	if (clock_ms <= 0)
		return;
	worker->clock_ms = clock_ms;
	worker->clock_at = pool->now;
}

gb_time
pool_worker_lease_most(const struct gb_pool *pool)
{
	return pool->cfg.limits.lease_us < LEASE_MOST
		   ? pool->cfg.limits.lease_us
		   : LEASE_MOST;
}

/** End of a lease that begins now, on the worker's clock; 0 while the clock is
 * not known.  Remembers when it is surely over. */
static int64_t
worker_lease(struct gb_pool *pool, struct pool_worker *worker, gb_time *lapse)
{
	gb_time lease = pool_worker_lease_most(pool);
	gb_time since = pool->now - worker->clock_at;
	gb_time over;

	if (worker->clock_ms == 0)
		return 0;
	over = worker->clock_at + (since + lease) * 1000 / GB_CLOCK_SLOWEST +
	       LEASE_MARGIN;
	if (over > worker->lapse_at)
		worker->lapse_at = over;
	if (lapse != NULL)
		*lapse = over;
	return worker->clock_ms + (since + lease) / GB_MSEC;
}

/* Runs -------------------------------------------------------------------- */

static struct pool_run *
run_new(struct gb_pool *pool, struct pool_flow *flow, uint32_t step,
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
	run->moved = pool->now;
	if (TAILQ_EMPTY(&s->tasks[index].runs)) {
		s->active++;
		s->active_open++;
	}
	TAILQ_INSERT_TAIL(&s->tasks[index].runs, run, of_task);
	TAILQ_INSERT_TAIL(&worker->runs, run, of_worker);
	worker->run_count++;
	gb_res_add(&worker->used, &run->res);
	if (number > s->run_number)
		s->run_number = number;
	flow->runs++;
	pool->stats.running++;
	return run;
}

void
pool_run_free(struct gb_pool *pool, struct pool_run *run)
{
	struct pool_step *step = &run->flow->steps[run->step];
	struct pool_task *task = &step->tasks[run->index];

	pool_call_forget(pool, run->start_call);
	pool_call_forget(pool, run->stop_call);
	TAILQ_REMOVE(&task->runs, run, of_task);
	if (TAILQ_EMPTY(&task->runs)) {
		step->active--;
		if (!task->done)
			step->active_open--;
	}
	TAILQ_REMOVE(&run->worker->runs, run, of_worker);
	run->worker->run_count--;
	gb_res_sub(&run->worker->used, &run->res);
	run->flow->runs--;
	pool->stats.running--;
	pool->work_changed = true;
	free(run);
}

static void
run_order(const struct gb_pool *pool, const struct pool_run *run,
    struct gb_pool_order *order)
{
	memset(order, 0, sizeof(*order));
	order->worker = run->worker->entry.id;
	order->addr = run->worker->entry.addr;
	order->id.flow = run->flow->spec.id;
	order->id.step = run->step;
	order->id.index = run->index;
	order->id.run = run->number;
	order->token = pool->epoch;
}

/** Send the order to start a run; the worker takes the same order twice as
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
	run_order(pool, run, &order);
	order.spec = run->flow->spec.spec;
	order.lease_end_ms = worker_lease(pool, run->worker, &run->lapse_at);
	order.checkpoint = step->tasks[gang ? 0 : run->index].checkpoint;
	order.ticket = ticket;
	pool->stats.starts++;
	pool->ops.start(pool->ops.data, call->id, &order);
}

void
pool_run_start(struct gb_pool *pool, struct pool_flow *flow, uint32_t step,
    uint32_t index, uint64_t number, struct pool_worker *worker,
    const char *ticket)
{
	struct pool_run *run = run_new(pool, flow, step, index, number, worker);

	if (!flow->begun) {
		flow->begun = true;
		flow->first_start = pool->now;
		gb_histogram_add(
		    &pool->stats.first_start_us, pool->now - flow->submitted);
	}
	gb_event(pool->cfg.events, GB_EVENT_NORMAL, "run_start",
	    "{s:s, s:I, s:I, s:I, s:s, s:I, s:I, s:i}", "flow", flow->spec.id,
	    "step", (json_int_t)step, "index", (json_int_t)index, "run",
	    (json_int_t)number, "worker", worker->entry.id, "free_cpu",
	    (json_int_t)pool_fit_free(worker).cpu, "slack_ms",
	    (json_int_t)((flow->due - flow->remaining - pool->now) / GB_MSEC),
	    "tier", flow->tier);
	run_start_send(pool, run, ticket);
}

static void
run_stop_send(struct gb_pool *pool, struct pool_run *run)
{
	struct pool_call *call;
	struct gb_pool_order order;

	if (run->stop_call != 0 || run->stopped != 0)
		return;
	call = pool_call_new(pool, POOL_CALL_RUN_STOP);
	call->run = run;
	call->worker = run->worker->handle;
	run->stop_call = call->id;
	run->stop_at = pool->now + STOP_RETRY;
	run_order(pool, run, &order);
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
	run_stop_send(pool, run);
}

/** All that a worker ran is over, and nothing can begin on it any more. */
static void
worker_runs_drop(
    struct gb_pool *pool, struct pool_worker *worker, const char *why)
{
	struct pool_run *run;

	if (worker->run_count > 0)
		gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "worker_runs_lost",
		    "{s:s, s:I, s:s}", "worker", worker->entry.id, "runs",
		    (json_int_t)worker->run_count, "why", why);
	while ((run = TAILQ_FIRST(&worker->runs)) != NULL) {
		struct pool_flow *flow = run->flow;
		struct pool_step *step = &flow->steps[run->step];
		uint32_t number = run->step;

		pool->stats.lapsed++;
		pool_run_free(pool, run);
		if ((step->spec->flags & GB_STEP_GANG) != 0 &&
		    flow->status < GB_FLOW_SUCCEEDED)
			pool_flow_stop_step(pool, flow, number, NULL,
			    "the worker of a member was lost");
	}
}

static void
worker_over(struct gb_pool *pool, struct pool_worker *worker, const char *why)
{
	if (worker->over)
		return;
	worker->over = true;
	pool_worker_set_mark(pool, worker);
	worker_runs_drop(pool, worker, why);
}

static bool
worker_fenced_off(struct gb_pool *pool, enum gb_pool_order_status status)
{
	if (status != GB_POOL_ORDER_FENCED)
		return false;
	pool_owner_lose(pool, "a worker knows a newer owner", 0);
	return true;
}

/** The start was certainly not carried out and never will be. */
static void
run_refused(struct gb_pool *pool, struct pool_run *run,
    const struct gb_pool_order_res *res)
{
	struct pool_worker *worker = run->worker;
	struct pool_flow *flow = run->flow;
	struct pool_step *step = &flow->steps[run->step];
	uint32_t number = run->step;
	uint32_t i;

	pool->stats.starts_refused++;
	gb_event(pool->cfg.events, GB_EVENT_NORMAL, "run_refused",
	    "{s:s, s:I, s:I, s:I, s:s, s:i}", "flow", flow->spec.id, "step",
	    (json_int_t)run->step, "index", (json_int_t)run->index, "run",
	    (json_int_t)run->number, "worker", worker->entry.id, "status",
	    (int)res->status);
	if (res->status == GB_POOL_ORDER_REFUSED)
		worker->aside_until = pool->now + REFUSED_ASIDE;
	if (res->status == GB_POOL_ORDER_NO_TICKET) {
		for (i = 0; i < step->approved_count; i++) {
			if (step->approved[i].worker == worker->handle)
				step->approved[i].expires = 0;
		}
	}
	pool_run_free(pool, run);
	if ((step->spec->flags & GB_STEP_GANG) != 0 &&
	    flow->status < GB_FLOW_SUCCEEDED)
		pool_flow_stop_step(
		    pool, flow, number, NULL, "a member was refused");
}

/** It is not known whether the run began or will: it must be stopped, which
 * also refuses a start that comes later. */
static void
run_unsure(struct gb_pool *pool, struct pool_run *run)
{
	gb_event(pool->cfg.events, GB_EVENT_NORMAL, "run_unsure",
	    "{s:s, s:I, s:I, s:I, s:s, s:I}", "flow", run->flow->spec.id,
	    "step", (json_int_t)run->step, "index", (json_int_t)run->index,
	    "run", (json_int_t)run->number, "worker", run->worker->entry.id,
	    "tries", (json_int_t)run->tries);
	if (run->state == POOL_RUN_STARTING)
		run->state = POOL_RUN_UNSURE;
	run_stop_send(pool, run);
}

/** An order without answer is sent again: what the worker did with the first
 * shows in the answer, and a gang waits for its members only so long. */
static void
run_start_lost(struct gb_pool *pool, struct pool_run *run)
{
	const struct pool_step *step = &run->flow->steps[run->step];
	const struct pool_approval *a =
	    pool_fit_ticket(pool, step, run->worker->handle);

	pool->stats.starts_lost++;
	if (run->confirmed != 0)
		return;
	if (run->state == POOL_RUN_STARTING && run->tries < START_TRIES &&
	    (a != NULL || !POOL_ADVICE_NEEDED(run->flow)))
		run_start_send(pool, run, a == NULL ? NULL : a->ticket);
	else
		run_unsure(pool, run);
}

void
pool_run_start_done(struct gb_pool *pool, const struct pool_call *call,
    const struct gb_pool_order_res *res)
{
	struct pool_worker *worker = pool_worker_get(pool, call->worker);
	struct pool_run *run = call->run;

	if (worker != NULL)
		worker_clock(pool, worker, res->clock_ms);
	if (worker_fenced_off(pool, res->status))
		return;
	gb_histogram_add(&pool->stats.start_us, pool->now - call->sent);
	if (res->status == GB_POOL_ORDER_REBORN && worker != NULL) {
		worker_over(pool, worker, "another lifetime answered");
		return;
	}
	if (run == NULL)
		return;
	run->start_call = 0;
	if (res->status == GB_POOL_ORDER_DONE) {
		run->confirmed = pool->now;
		run->moved = pool->now;
		if (run->state == POOL_RUN_STARTING)
			run->state = POOL_RUN_RUNNING;
	} else if (res->status == GB_POOL_ORDER_LOST) {
		run_start_lost(pool, run);
	} else if (run->tries > 1) {
		/* The first order may have been carried out, or may yet be. */
		run_unsure(pool, run);
	} else {
		run_refused(pool, run, res);
	}
}

void
pool_run_stop_done(struct gb_pool *pool, const struct pool_call *call,
    const struct gb_pool_order_res *res)
{
	struct pool_worker *worker = pool_worker_get(pool, call->worker);
	struct pool_run *run = call->run;

	if (worker != NULL)
		worker_clock(pool, worker, res->clock_ms);
	if (worker_fenced_off(pool, res->status))
		return;
	if (res->status == GB_POOL_ORDER_REBORN && worker != NULL) {
		worker_over(pool, worker, "another lifetime answered");
		return;
	}
	if (run == NULL)
		return;
	run->stop_call = 0;
	if (res->status == GB_POOL_ORDER_DONE ||
	    res->status == GB_POOL_ORDER_OLD) {
		run->stopped = pool->now;
		run->state = POOL_RUN_STOPPING;
		if (run->worker->hold_call == 0)
			run->worker->hold_at = pool->now;
	}
}

/* Ends and reports -------------------------------------------------------- */

static struct pool_end *
end_add(struct pool_worker *worker, uint64_t number)
{
	struct pool_end *end = gb_calloc(1, sizeof(*end));

	end->number = number;
	STAILQ_INSERT_TAIL(&worker->ends, end, next);
	return end;
}

/** The end may be forgotten once what the flow is now has been stored. */
static void
end_of_flow(struct pool_end *end, const struct pool_flow *flow)
{
	if (flow == NULL)
		return;
	snprintf(end->flow, sizeof(end->flow), "%s", flow->spec.id);
	end->change = flow->change;
}

static void
end_free(struct pool_end *end)
{
	free(end->held);
	free(end);
}

/** Number up to which all ends are stored. */
static void
ends_ack(struct gb_pool *pool, struct pool_worker *worker)
{
	struct pool_flow *flow;
	struct pool_end *end;

	while ((end = STAILQ_FIRST(&worker->ends)) != NULL) {
		flow = pool_flow_find(pool, end->flow);
		if (end->held != NULL ||
		    (flow != NULL && flow->stored < end->change))
			break;
		worker->acked = end->number;
		STAILQ_REMOVE_HEAD(&worker->ends, next);
		end_free(end);
	}
}

/** Whether a listed run or end names a task that there is. */
static bool
seen_known(const struct pool_flow *flow, const struct gb_pool_seen *seen)
{
	return flow != NULL && !flow->closed && seen->occurrence == 0 &&
	       seen->step < flow->step_count &&
	       seen->index < flow->steps[seen->step].spec->count;
}

static void
stats_end(struct gb_pool *pool, enum gb_pool_how how)
{
	uint64_t *counts[] = {&pool->stats.done, &pool->stats.failed,
	    &pool->stats.stopped, &pool->stats.lapsed, &pool->stats.broken,
	    &pool->stats.alone};

	(*counts[how])++;
}

static const char *
how_name(enum gb_pool_how how)
{
	static const char *const names[] = {
	    "done", "failed", "stopped", "lapsed", "broken", "alone"};

	return names[how];
}

/** Take an end in; one of a flow whose part is not attached is kept, so that it
 * is not acknowledged before the flow is known. */
static void
end_take(struct gb_pool *pool, struct pool_worker *worker, struct pool_end *end,
    const struct gb_pool_seen *seen)
{
	struct pool_flow *flow;

	if (!pool_part_attached(pool, gb_pool_part(seen->flow))) {
		end->held = gb_calloc(1, sizeof(*end->held));
		*end->held = *seen;
		return;
	}
	flow = pool_flow_find(pool, seen->flow);
	stats_end(pool, seen->how);
	gb_event(pool->cfg.events, GB_EVENT_NORMAL, "run_end",
	    "{s:s, s:I, s:I, s:I, s:s, s:s, s:b}", "flow", seen->flow, "step",
	    (json_int_t)seen->step, "index", (json_int_t)seen->index, "run",
	    (json_int_t)seen->run, "worker", worker->entry.id, "how",
	    how_name(seen->how), "known", flow != NULL);
	if (seen_known(flow, seen))
		pool_flow_ended(pool, flow, seen, worker);
	end_of_flow(end, flow);
}

/** Returns whether an end was listed that had not been seen. */
static bool
worker_ends(struct gb_pool *pool, struct pool_worker *worker,
    const struct gb_pool_report *report)
{
	bool news = false;
	size_t i;

	for (i = 0; i < report->ended_count; i++) {
		const struct gb_pool_seen *seen = &report->ended[i];

		if (seen->number <= worker->seen)
			continue;
		worker->seen = seen->number;
		news = true;
		end_take(pool, worker, end_add(worker, seen->number), seen);
	}
	return news;
}

void
pool_worker_part_attached(struct gb_pool *pool, uint32_t part)
{
	struct gb_pool_seen *seen;
	struct pool_end *end;
	uint32_t i;

	for (i = 0; i < pool->worker_count; i++) {
		STAILQ_FOREACH(end, &pool->workers[i]->ends, next)
		{
			seen = end->held;
			if (seen == NULL || gb_pool_part(seen->flow) != part)
				continue;
			end->held = NULL;
			end_take(pool, pool->workers[i], end, seen);
			free(seen);
		}
	}
}

/** Stop a run that this owner has no use for. */
static void
stray_stop(struct gb_pool *pool, const struct pool_worker *worker,
    const struct gb_pool_seen *seen)
{
	struct pool_call *call = pool_call_new(pool, POOL_CALL_RUN_STOP);
	struct gb_pool_order order = {0};

	call->worker = worker->handle;
	order.worker = worker->entry.id;
	order.addr = worker->entry.addr;
	order.id.flow = seen->flow;
	order.id.step = seen->step;
	order.id.index = seen->index;
	order.id.run = seen->run;
	order.token = pool->epoch;
	gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "stray_run_stopped",
	    "{s:s, s:I, s:I, s:I, s:s}", "flow", seen->flow, "step",
	    (json_int_t)seen->step, "index", (json_int_t)seen->index, "run",
	    (json_int_t)seen->run, "worker", worker->entry.id);
	pool->ops.stop(pool->ops.data, call->id, &order);
}

static struct pool_run *
worker_run(const struct pool_worker *worker, const struct pool_flow *flow,
    const struct gb_pool_seen *seen)
{
	struct pool_run *run;

	TAILQ_FOREACH(run, &worker->runs, of_worker)
	{
		if (run->flow == flow && run->step == seen->step &&
		    run->index == seen->index && run->number == seen->run)
			return run;
	}
	return NULL;
}

/** A run of an earlier owner goes on under this one. */
static struct pool_run *
run_adopt(struct gb_pool *pool, struct pool_worker *worker,
    struct pool_flow *flow, const struct gb_pool_seen *seen)
{
	struct pool_step *step = &flow->steps[seen->step];
	struct pool_task *task = &step->tasks[seen->index];
	bool copies = (step->spec->flags & GB_STEP_SPECULATIVE) != 0;
	struct pool_run *run;

	if (flow->status >= GB_FLOW_SUCCEEDED || task->done ||
	    (!TAILQ_EMPTY(&task->runs) && !copies))
		return NULL;
	run = run_new(pool, flow, seen->step, seen->index, seen->run, worker);
	run->state = POOL_RUN_RUNNING;
	run->confirmed = pool->now;
	flow->begun = true;
	return run;
}

static void
run_seen(
    struct gb_pool *pool, struct pool_run *run, const struct gb_pool_seen *seen)
{
	if (run->confirmed == 0)
		run->confirmed = pool->now;
	if (run->state == POOL_RUN_UNSURE && run->stop_call == 0 &&
	    run->stopped == 0)
		run->state = POOL_RUN_RUNNING;
	if (seen->percent != run->percent) {
		run->percent = seen->percent;
		run->moved = pool->now;
	}
	snprintf(
	    run->checkpoint, sizeof(run->checkpoint), "%s", seen->checkpoint);
}

/** Runs that the worker should list and does not have ended without a word;
 * only what was settled before the hold was sent counts. */
static void
worker_missing(struct gb_pool *pool, struct pool_worker *worker, gb_time sent,
    const struct gb_pool_report *report)
{
	struct pool_run *run;
	struct pool_run *next;
	size_t i;

	for (run = TAILQ_FIRST(&worker->runs); run != NULL; run = next) {
		gb_time settled =
		    run->stopped != 0 ? run->stopped : run->confirmed;

		next = TAILQ_NEXT(run, of_worker);
		if (run->stopped == 0 && run->confirmed == 0 &&
		    run->start_call == 0)
			settled = run->lapse_at;
		if (settled == 0 || settled >= sent)
			continue;
		for (i = 0; i < report->running_count; i++) {
			const struct gb_pool_seen *seen = &report->running[i];

			if (seen->run == run->number &&
			    seen->step == run->step &&
			    seen->index == run->index &&
			    strcmp(seen->flow, run->flow->spec.id) == 0)
				break;
		}
		if (i < report->running_count)
			continue;
		gb_event(pool->cfg.events, GB_EVENT_NORMAL, "run_gone",
		    "{s:s, s:I, s:I, s:I, s:s, s:i}", "flow",
		    run->flow->spec.id, "step", (json_int_t)run->step, "index",
		    (json_int_t)run->index, "run", (json_int_t)run->number,
		    "worker", worker->entry.id, "state", (int)run->state);
		pool_run_free(pool, run);
	}
}

static void
worker_running(struct gb_pool *pool, struct pool_worker *worker,
    const struct gb_pool_report *report)
{
	struct pool_flow *flow;
	struct pool_run *run;
	size_t i;

	worker->foreign = false;
	for (i = 0; i < report->running_count; i++) {
		const struct gb_pool_seen *seen = &report->running[i];

		flow = pool_flow_find(pool, seen->flow);
		run = NULL;
		if (seen_known(flow, seen)) {
			run = worker_run(worker, flow, seen);
			if (run == NULL)
				run = run_adopt(pool, worker, flow, seen);
		}
		if (run != NULL) {
			run_seen(pool, run, seen);
			continue;
		}
		worker->foreign = true;
		if (pool_part_attached(pool, gb_pool_part(seen->flow)))
			stray_stop(pool, worker, seen);
	}
}

static void
worker_silent(struct gb_pool *pool, struct pool_worker *worker)
{
	gb_time pause;

	worker->silent++;
	pause = HOLD_RETRY * (gb_time)worker->silent;
	worker->hold_at =
	    pool->now + (pause < HOLD_RETRY_MOST ? pause : HOLD_RETRY_MOST);
	if (worker->silent == 1)
		gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "worker_silent",
		    "{s:s, s:I, s:I}", "worker", worker->entry.id, "runs",
		    (json_int_t)worker->run_count, "answered_ms_ago",
		    (json_int_t)((pool->now - worker->answered) / GB_MSEC));
}

/** A hold that waits keeps a connection, and orders need another: with many
 * workers there are not enough for both, and they are asked in turn. */
static bool
holds_are_short(const struct gb_pool *pool)
{
	return pool->cfg.limits.connections > 0 &&
	       pool->worker_count * 2 > pool->cfg.limits.connections;
}

/** Pause after a hold that was answered. */
static gb_time
hold_pause(const struct gb_pool *pool, const struct pool_worker *worker,
    size_t ended, bool news)
{
	if (holds_are_short(pool))
		return worker->run_count > 0
			   ? HOLD_TURN * (gb_time)pool->worker_count
			   : HOLD_WAIT_IDLE;
	if (ended == 0)
		return GB_MSEC;
	return news ? HOLD_GAP : HOLD_GAP_OLD;
}

void
pool_worker_hold_done(struct gb_pool *pool, const struct pool_call *call,
    const struct gb_pool_report *report)
{
	struct pool_worker *worker = pool_worker_get(pool, call->worker);
	bool news;

	if (worker == NULL || worker->hold_call != call->id)
		return;
	worker->hold_call = 0;
	if (worker->over)
		return;
	if (report == NULL || report->status == GB_POOL_ORDER_LOST ||
	    report->status == GB_POOL_ORDER_REFUSED) {
		worker_silent(pool, worker);
		return;
	}
	if (worker_fenced_off(pool, report->status))
		return;
	if (report->status == GB_POOL_ORDER_REBORN) {
		worker_over(pool, worker, "another lifetime answered");
		return;
	}
	if (report->status != GB_POOL_ORDER_DONE) {
		worker_silent(pool, worker);
		return;
	}
	if (worker->silent > 0)
		gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "worker_back",
		    "{s:s, s:I}", "worker", worker->entry.id, "silent",
		    (json_int_t)worker->silent);
	worker_clock(pool, worker, report->clock_ms);
	worker->answered = pool->now;
	worker->silent = 0;
	news = worker_ends(pool, worker, report);
	worker_running(pool, worker, report);
	if (report->ended_count < ENDS_LISTED_MOST)
		worker_missing(pool, worker, call->sent, report);
	pool_health_check(pool, worker);
	if (!worker->fenced)
		pool->work_changed = true;
	worker->fenced = true;
	worker->reported = call->sent;
	worker->hold_at =
	    pool->now + hold_pause(pool, worker, report->ended_count, news);
}

static void
worker_hold(struct gb_pool *pool, struct pool_worker *worker)
{
	struct pool_call *call = pool_call_new(pool, POOL_CALL_HOLD);
	struct gb_pool_hold hold = {0};

	ends_ack(pool, worker);
	call->worker = worker->handle;
	worker->hold_call = call->id;
	worker->hold_sent = pool->now;
	hold.worker = worker->entry.id;
	hold.addr = worker->entry.addr;
	hold.token = pool->epoch;
	/* A hold without answer may still renew the lease: a worker that stays
	 * silent is asked without doing so, or its runs would never lapse. */
	if (worker->silent < HOLD_RENEW_TRIES)
		hold.lease_end_ms = worker_lease(pool, worker, NULL);
	hold.cursor = worker->acked;
	if (worker->fenced && worker->silent == 0 && !holds_are_short(pool))
		hold.wait_us =
		    worker->run_count > 0 ? HOLD_WAIT_BUSY : HOLD_WAIT_IDLE;
	pool->stats.holds++;
	pool->ops.hold(pool->ops.data, call->id, &hold);
}

/* Worker ------------------------------------------------------------------ */

static void
runs_tick(struct gb_pool *pool, struct pool_worker *worker)
{
	struct pool_run *run;

	TAILQ_FOREACH(run, &worker->runs, of_worker)
	{
		if ((run->state == POOL_RUN_STOPPING ||
			run->state == POOL_RUN_UNSURE) &&
		    run->stop_at <= pool->now)
			run_stop_send(pool, run);
	}
}

void
pool_worker_tick(struct gb_pool *pool, struct pool_worker *worker)
{
	if (worker->recorded != 0 && !pool_worker_in_use(pool, worker))
		pool_worker_set_mark(pool, worker);
	if (worker->over)
		return;
	runs_tick(pool, worker);
	if (worker->silent > 0 && worker->run_count > 0 &&
	    worker->lapse_at < pool->now)
		worker_runs_drop(pool, worker, "its lease has lapsed");
	if (worker->hold_call == 0 && worker->hold_at <= pool->now &&
	    (worker->listed || worker->run_count > 0 ||
		worker->silent < HOLD_UNLISTED_TRIES ||
		!pool_owner_settled(pool)))
		worker_hold(pool, worker);
}

static void
worker_rack(struct pool_worker *worker)
{
	uint32_t i;

	worker->rack[0] = '\0';
	for (i = 0; i < worker->entry.label_count; i++) {
		if (strchr(worker->entry.label[i], '-') != NULL)
			snprintf(worker->rack, sizeof(worker->rack), "%s",
			    worker->entry.label[i]);
	}
}

struct pool_worker *
pool_worker_new(struct gb_pool *pool, const struct gb_pool_entry *entry)
{
	struct pool_worker *worker = gb_calloc(1, sizeof(*worker));

	worker->entry = *entry;
	worker->slowness = 1.0;
	TAILQ_INIT(&worker->runs);
	STAILQ_INIT(&worker->ends);
	if (pool->worker_count == pool->worker_size) {
		pool->worker_size = pool->worker_size * 2 + 64;
		pool->workers = gb_realloc(pool->workers,
		    pool->worker_size * sizeof(struct pool_worker *));
	}
	worker->handle = pool->worker_count;
	pool->workers[pool->worker_count++] = worker;
	HASH_ADD_STR(pool->workers_by_id, entry.id, worker);
	return worker;
}

void
pool_worker_entry(struct gb_pool *pool, const struct gb_pool_entry *entry)
{
	struct pool_worker *worker = pool_worker_find(pool, entry->id);

	if (worker == NULL && entry->removed)
		return;
	if (worker == NULL) {
		/* An older lifetime at this address may be listed later than a
		 * newer one: only the worker's own answer proves it over. */
		worker = pool_worker_new(pool, entry);
		gb_event(pool->cfg.events, GB_EVENT_NORMAL, "worker_listed",
		    "{s:s, s:s, s:s, s:I}", "worker", entry->id, "addr",
		    entry->addr, "dc", entry->dc, "cpu",
		    (json_int_t)entry->capacity.cpu);
	} else if (entry->removed) {
		worker->listed = false;
		gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "worker_unlisted",
		    "{s:s, s:I}", "worker", entry->id, "runs",
		    (json_int_t)worker->run_count);
		return;
	}
	if (entry->draining && !worker->entry.draining)
		gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "worker_draining",
		    "{s:s, s:I}", "worker", entry->id, "runs",
		    (json_int_t)worker->run_count);
	worker->entry = *entry;
	worker->listed = true;
	pool_worker_set_want(pool, worker);
	worker_rack(worker);
	pool->work_changed = true;
}

/** A new term: nothing is known of what the workers run. */
void
pool_workers_reset(struct gb_pool *pool)
{
	struct pool_end *end;
	uint32_t i;

	for (i = 0; i < pool->worker_count; i++) {
		struct pool_worker *worker = pool->workers[i];

		while ((end = STAILQ_FIRST(&worker->ends)) != NULL) {
			STAILQ_REMOVE_HEAD(&worker->ends, next);
			end_free(end);
		}
		worker->fenced = false;
		worker->recorded = 0;
		worker->recording = 0;
		worker->reported = 0;
		worker->hold_call = 0;
		worker->hold_at = 0;
		worker->silent = 0;
		worker->seen = 0;
		worker->acked = 0;
		worker->clock_ms = 0;
		worker->lapse_at = 0;
		worker->aside_until = 0;
		worker->failures = 0;
	}
}

void
pool_workers_free(struct gb_pool *pool)
{
	struct pool_worker *worker;
	struct pool_worker *next;

	pool_workers_reset(pool);
	HASH_ITER(hh, pool->workers_by_id, worker, next)
	{
		HASH_DEL(pool->workers_by_id, worker);
		free(worker);
	}
	free(pool->workers);
}
