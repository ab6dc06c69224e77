/**
 * @file dispatch.c
 * Starts what can start: goes through the flows in the order of waiting, asks
 * for advice, places tasks.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "crash.h"
#include "state.h"

/** A new copy of a straggler is started when its run takes this many times as
 * long as was expected. */
#define DISPATCH_STRAGGLER 2.0
/** Steps that find no room in one pass before the rest is left for the next:
 * each costs about 4 us at 350 workers. */
#define DISPATCH_MISSES 80
/** Room on approved workers, were they empty, over what a step needs: with less
 * a gang waits for nearly all of them to be free at once. */
#define DISPATCH_CHOICE 3
/** Gangs that room is booked for in one pass: each costs about 20 us, and what
 * is booked for the tenth is seconds away. */
#define DISPATCH_RESERVATIONS 10
/** On the way to the advice service and back, by way of a member. */
#define DISPATCH_ADVICE_TRAVEL (60 * GB_MSEC)
/** Room that is made is kept for this long after the stops: reports of workers
 * come within 0.1 s. */
#define DISPATCH_STOPS (300 * GB_MSEC)
/** Workers named beside those that are needed when tickets are renewed. */
#define DISPATCH_SPARE 2

static uint64_t
run_number_next(const struct gb_pool *pool, const struct pool_step *step)
{
	uint64_t base = (pool->epoch - 1) * POOL_RUNS_PER_EPOCH;

	return (step->run_number > base ? step->run_number : base) + 1;
}

static const char *
ticket_of(
    const struct gb_pool *pool, const struct pool_step *step, uint32_t worker)
{
	const struct pool_approval *a = pool_fit_ticket(pool, step, worker);

	return a == NULL ? NULL : a->ticket;
}

/** Whether the worker of a start that is stored still takes it; its room is
 * kept, but the worker may have shrunk. */
static bool
plan_holds(const struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_step *step, uint32_t index)
{
	const struct pool_worker *worker =
	    pool_crash_plan_worker(pool, &step->tasks[index]);
	gb_res room = pool_fit_free(worker);

	return pool_fit_usable(pool, worker, flow->partition) &&
	       room.cpu >= 0 && room.mem >= 0 && room.accel >= 0 &&
	       (!POOL_ADVICE_NEEDED(flow) ||
		   pool_fit_ticket(pool, step, worker->handle) != NULL);
}

static void
plan_start(struct gb_pool *pool, struct pool_flow *flow, uint32_t number,
    uint32_t index, uint64_t run)
{
	struct pool_step *step = &flow->steps[number];
	struct pool_worker *worker =
	    pool_crash_plan_worker(pool, &step->tasks[index]);

	pool_crash_plans_left(pool, step, index);
	pool_run_start(pool, flow, number, index, run, worker,
	    ticket_of(pool, step, worker->handle));
}

/** Whether a start waits only for its order. */
static bool
plan_due(const struct pool_flow *flow, const struct pool_task *task)
{
	return task->plan != NULL && !task->done && TAILQ_EMPTY(&task->runs) &&
	       !pool_crash_held(flow, task);
}

/** Send the starts of a gang that are stored, all or none. */
static void
gang_start_planned(
    struct gb_pool *pool, struct pool_flow *flow, uint32_t number)
{
	struct pool_step *step = &flow->steps[number];
	uint32_t count = step->spec->count;
	bool holds;
	uint64_t run;
	uint32_t i;

	if (step->active > 0 || step->plans == 0 ||
	    pool_crash_held_count(flow, step) > 0)
		return;
	holds = step->plans == count && pool_quota_fits(pool, flow->org,
					    &step->spec->res, count) == count;
	for (i = 0; i < count && holds; i++)
		holds = plan_holds(pool, flow, step, i);
	if (!holds) {
		pool_crash_plans_drop(pool, step);
		return;
	}
	run = run_number_next(pool, step);
	for (i = 0; i < count; i++)
		plan_start(pool, flow, number, i, run);
}

/** Send the starts that are stored: their room is kept for them. */
static void
step_start_planned(
    struct gb_pool *pool, struct pool_flow *flow, uint32_t number)
{
	struct pool_step *step = &flow->steps[number];
	uint32_t i;

	if ((step->spec->flags & GB_STEP_GANG) != 0) {
		gang_start_planned(pool, flow, number);
		return;
	}
	for (i = 0; step->plans > 0 && i < step->spec->count; i++) {
		if (!plan_due(flow, &step->tasks[i]))
			continue;
		if (plan_holds(pool, flow, step, i) &&
		    pool_quota_fits(pool, flow->org, &step->spec->res, 1) == 1)
			plan_start(
			    pool, flow, number, i, run_number_next(pool, step));
		else
			pool_crash_plan_drop(pool, step, i);
	}
}

/** Start the next waiting tasks on the workers that were found for them. */
static void
step_start(struct gb_pool *pool, struct pool_flow *flow, uint32_t number,
    const uint32_t *workers, uint32_t count)
{
	struct pool_step *step = &flow->steps[number];
	bool gang = (step->spec->flags & GB_STEP_GANG) != 0;
	uint64_t run = run_number_next(pool, step);
	uint32_t placed = 0;
	uint32_t i;

	for (i = 0; i < step->spec->count && placed < count; i++) {
		struct pool_task *task = &step->tasks[i];

		if (task->done || !TAILQ_EMPTY(&task->runs) ||
		    pool_crash_held(flow, task))
			continue;
		if (flow->watched) {
			pool_crash_plan(pool, flow, number, i,
			    pool->workers[workers[placed++]]);
			continue;
		}
		pool_run_start(pool, flow, number, i,
		    gang ? run : run_number_next(pool, step),
		    pool->workers[workers[placed]],
		    ticket_of(pool, step, workers[placed]));
		placed++;
	}
}

static int
worker_compare(const void *a, const void *b)
{
	const uint32_t *x = a;
	const uint32_t *y = b;

	return *x < *y ? -1 : *x > *y;
}

/** Keep the room that a placement uses, until the tickets are there or what
 * stands in it has been stopped; ordered by worker. */
static void
step_claim(struct gb_pool *pool, struct pool_step *step,
    const uint32_t *workers, uint32_t count)
{
	struct pool_claim *claim = NULL;
	uint32_t i;

	step->claims = gb_calloc(count, sizeof(*step->claims));
	for (i = 0; i < count; i++) {
		if (claim == NULL || claim->worker != workers[i]) {
			claim = &step->claims[step->claim_count++];
			claim->worker = workers[i];
		}
		claim->tasks++;
		gb_res_add(
		    &pool->workers[workers[i]]->claimed, &step->spec->res);
	}
}

/** Whether room that is kept waits for something.  Once all that was stopped
 * for it has ended, or too late, it is given back, to be used at once. */
static bool
step_claims_wait(struct gb_pool *pool, struct pool_step *step)
{
	uint32_t i;

	if (step->claim_count == 0)
		return false;
	if (step->claim_until == 0)
		return true;
	for (i = 0; i < step->claim_count && pool->now < step->claim_until;
	     i++) {
		gb_res room =
		    pool_fit_free(pool->workers[step->claims[i].worker]);

		/* What is claimed has been taken off. */
		if (room.cpu < 0 || room.mem < 0 || room.accel < 0)
			return true;
	}
	pool_advice_claims_drop(pool, step);
	return false;
}

/** Renew tickets for the workers that a placement uses and a few more. */
static void
step_renew(struct gb_pool *pool, struct pool_flow *flow, uint32_t number,
    uint32_t *workers, uint32_t count, bool claim)
{
	struct pool_step *step = &flow->steps[number];
	uint32_t *names =
	    gb_calloc(count + step->approved_count, sizeof(*names));
	uint32_t distinct = 0;
	uint32_t spare = 0;
	uint32_t i;
	uint32_t j;

	qsort(workers, count, sizeof(*workers), worker_compare);
	for (i = 0; i < count; i++) {
		if (distinct == 0 || names[distinct - 1] != workers[i])
			names[distinct++] = workers[i];
	}
	for (i = 0; i < step->approved_count && spare < DISPATCH_SPARE; i++) {
		const struct pool_worker *worker =
		    pool_worker_get(pool, step->approved[i].worker);

		for (j = 0; j < distinct; j++) {
			if (names[j] == worker->handle)
				break;
		}
		if (j < distinct ||
		    !pool_fit_usable(pool, worker, flow->partition))
			continue;
		names[distinct++] = worker->handle;
		spare++;
	}
	if (pool_advice_ask(pool, flow, number, names, distinct) && claim &&
	    (step->spec->flags & GB_STEP_GANG) != 0)
		step_claim(pool, step, workers, count);
	free(names);
}

/** Time that renewing the tickets of a gang takes. */
static gb_time
step_advice_time(const struct pool_flow *flow, const struct pool_step *step)
{
	const struct gb_pool_advice *advice = &flow->advice;

	return advice->decide_us +
	       advice->per_item_us * (gb_time)step->spec->count / 2 +
	       DISPATCH_ADVICE_TRAVEL;
}

/** Whether all tickets will hold when the booked room is there. */
static bool
step_tickets_hold(const struct gb_pool *pool, const struct pool_step *step,
    const uint32_t *workers)
{
	uint32_t i;

	for (i = 0; i < step->spec->count; i++) {
		if (pool_fit_ticket(pool, step, workers[i]) == NULL)
			return false;
	}
	return true;
}

/** The gang found no room: keep it for later, and renew the tickets just before
 * it is there, so that the room does not wait for them. */
static void
step_reserve(struct gb_pool *pool, struct pool_flow *flow, uint32_t number)
{
	struct pool_step *step = &flow->steps[number];

	uint32_t *workers;

	if (pool->reservations >= DISPATCH_RESERVATIONS)
		return;
	pool->reservations++;
	workers = gb_calloc(step->spec->count, sizeof(*workers));
	switch (pool_preempt(pool, flow, step, workers)) {
	case POOL_PREEMPT_STOPPED:
		qsort(workers, step->spec->count, sizeof(*workers),
		    worker_compare);
		step_claim(pool, step, workers, step->spec->count);
		step->claim_until =
		    pool->now + pool->cfg.limits.stop_us + DISPATCH_STOPS;
		free(workers);
		return;
	case POOL_PREEMPT_TICKETS:
		step_renew(
		    pool, flow, number, workers, step->spec->count, false);
		break;
	case POOL_PREEMPT_NONE:
		break;
	}
	if (!POOL_USES(pool, GB_FEATURE_RESERVATION) ||
	    !pool_reserve(pool, flow, step, &flow->wait, workers))
		flow->wait = 0;
	else if (POOL_USES(pool, GB_FEATURE_TICKET_RENEWAL) &&
		 POOL_ADVICE_NEEDED(flow) && step->renews_in_flight == 0 &&
		 flow->wait < step_advice_time(flow, step) &&
		 !step_tickets_hold(pool, step, workers))
		step_renew(
		    pool, flow, number, workers, step->spec->count, false);
	free(workers);
}

/** Too few workers are approved for the step to find room soon: ask about
 * others. */
static void
step_ask_more(struct gb_pool *pool, struct pool_flow *flow, uint32_t number)
{
	struct pool_step *step = &flow->steps[number];

	if (step->asks_in_flight > 0 ||
	    step->asked_count >= pool->worker_count ||
	    pool_fit_slots(pool, flow, step) >=
		(uint64_t)step->spec->count * DISPATCH_CHOICE)
		return;
	pool_advice_ask(pool, flow, number, NULL, 0);
}

/** The quota of its organisation does not admit the step now: it keeps no
 * room from others meanwhile. */
static void
step_quota_waits(
    struct gb_pool *pool, struct pool_flow *flow, struct pool_step *step)
{
	flow->wait = 0;
	if (!flow->quota_waited) {
		flow->quota_waited = true;
		flow->org->quota_waits++;
		gb_event(pool->cfg.events, GB_EVENT_NORMAL, "quota_wait",
		    "{s:s, s:s, s:I, s:I, s:I, s:I, s:I}", "flow",
		    flow->spec.id, "org", flow->org->name, "cpu",
		    (json_int_t)flow->org->used.cpu, "cpu_quota",
		    (json_int_t)flow->org->quota.cpu, "mem",
		    (json_int_t)flow->org->used.mem, "mem_quota",
		    (json_int_t)flow->org->quota.mem, "cpu_unknown",
		    (json_int_t)pool->uncertain_use.cpu);
	}
	pool_advice_claims_drop(pool, step);
}

/** Returns whether the step waits for want of room. */
static bool
step_dispatch(struct gb_pool *pool, struct pool_flow *flow, uint32_t number)
{
	struct pool_step *step = &flow->steps[number];
	bool gang = (step->spec->flags & GB_STEP_GANG) != 0;
	bool advice = POOL_ADVICE_NEEDED(flow);
	uint32_t wanted = pool_flow_waiting(pool, flow, step);
	uint32_t allowed;
	uint32_t started;
	uint32_t placed = 0;
	uint32_t *workers;

	if (wanted == 0 || step_claims_wait(pool, step))
		return false;
	allowed = pool_quota_fits(pool, flow->org, &step->spec->res, wanted);
	if (allowed == 0 || (gang && allowed < wanted)) {
		step_quota_waits(pool, flow, step);
		return false;
	}
	wanted = allowed;
	pool->waiting_bytes += pool_pace_bytes(flow, wanted);
	if (!pool_pace_starts(pool)) {
		pool->work_changed = true;
		return false;
	}
	if (advice && step->advice == POOL_ADVICE_NONE) {
		if (step->advice_retry_at <= pool->now)
			pool_advice_ask(pool, flow, number, NULL, 0);
		return false;
	}
	workers = gb_calloc(wanted, sizeof(*workers));
	started = pool_fit_place(pool, flow, step, wanted, true, workers);
	step_start(pool, flow, number, workers, started);
	if (started < wanted && step->renews_in_flight == 0)
		placed = pool_fit_place(
		    pool, flow, step, wanted - started, false, workers);
	if (placed > 0 && advice && pool_advice_channel_free(pool))
		step_renew(pool, flow, number, workers, placed, true);
	if (advice && started + placed == 0)
		step_ask_more(pool, flow, number);
	if (gang && started > 0)
		flow->wait = 0;
	if (gang && started == 0 && step->claim_count == 0)
		step_reserve(pool, flow, number);
	free(workers);
	return started + placed == 0;
}

/** Time until the steps before a step are expected to be done, or a negative
 * number when some of their tasks have not begun. */
static gb_time
step_ready_in(const struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_step *step)
{
	gb_time longest = 0;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < step->spec->after.after_len; i++) {
		const struct pool_step *before =
		    &flow->steps[step->spec->after.after_val[i]];

		if (before->done + before->active_open < before->spec->count)
			return -1;
		for (j = 0; j < before->spec->count; j++) {
			const struct pool_run *run =
			    TAILQ_FIRST(&before->tasks[j].runs);
			gb_time left = before->tasks[j].done || run == NULL
					   ? 0
					   : pool_run_time_left(pool, run);

			if (left > longest)
				longest = left;
		}
	}
	return longest;
}

/** Ask for advice before the step can begin: while its flow is being stored, or
 * while the last tasks before it run. */
static void
step_foresee(struct gb_pool *pool, struct pool_flow *flow, uint32_t number)
{
	struct pool_step *step = &flow->steps[number];
	gb_time in;

	if (!POOL_USES(pool, GB_FEATURE_ADVICE_PREFETCH) ||
	    step->advice != POOL_ADVICE_NONE || step->asks_in_flight > 0 ||
	    !POOL_ADVICE_NEEDED(flow) || step->done > 0 ||
	    step->advice_retry_at > pool->now ||
	    !pool_advice_channel_free(pool))
		return;
	in = step_ready_in(pool, flow, step);
	if (in >= 0 && in < step_advice_time(flow, step))
		pool_advice_ask(pool, flow, number, NULL, 0);
}

/** A gang of which an earlier owner left only a part can't go on. */
static void
step_mend(struct gb_pool *pool, struct pool_flow *flow, uint32_t number)
{
	struct pool_step *step = &flow->steps[number];

	if ((step->spec->flags & GB_STEP_GANG) == 0 ||
	    !pool->partitions[flow->partition].reconciled ||
	    step->active == 0 || step->done > 0 ||
	    step->active == step->spec->count)
		return;
	pool_flow_stop_step(
	    pool, flow, number, NULL, "the gang is not complete");
}

/** Start copies of stragglers where copies are allowed. */
static void
step_copies(struct gb_pool *pool, struct pool_flow *flow, uint32_t number)
{
	struct pool_step *step = &flow->steps[number];
	gb_time usual;
	uint32_t worker;
	uint32_t i;

	if (!POOL_USES(pool, GB_FEATURE_SPECULATION) ||
	    (step->spec->flags & GB_STEP_SPECULATIVE) == 0 ||
	    (step->spec->flags & GB_STEP_GANG) != 0 ||
	    !pool_flow_step_ready(flow, step))
		return;
	usual = pool_rank_estimate(pool, flow, step);
	for (i = 0; i < step->spec->count; i++) {
		struct pool_run *run = TAILQ_FIRST(&step->tasks[i].runs);

		if (run == NULL || TAILQ_NEXT(run, of_task) != NULL ||
		    step->tasks[i].done || run->state == POOL_RUN_STOPPING ||
		    step->tasks[i].suspect != NULL ||
		    (double)(pool->now - run->started) <
			DISPATCH_STRAGGLER * (double)usual)
			continue;
		if (pool_quota_fits(pool, flow->org, &step->spec->res, 1) ==
			0 ||
		    pool_fit_place(pool, flow, step, 1, true, &worker) == 0 ||
		    pool->workers[worker] == run->worker)
			continue;
		pool_run_start(pool, flow, number, i,
		    run_number_next(pool, step), pool->workers[worker],
		    ticket_of(pool, step, worker));
	}
}

void
pool_dispatch_step(struct gb_pool *pool, struct pool_flow *flow, uint32_t step)
{
	step_dispatch(pool, flow, step);
	/* A lane has become free for the next. */
	pool->work_changed = true;
}

static int
flow_compare(const void *a, const void *b)
{
	return pool_rank_compare(*(const struct pool_flow *const *)a,
	    *(const struct pool_flow *const *)b);
}

/** Whether a flow may begin.  An owner that has not got the version that let
 * the flow in may not know its queue, whose workers need tickets. */
static bool
flow_dispatched(const struct gb_pool *pool, const struct pool_flow *flow)
{
	uint64_t version = pool->config == NULL ? 0 : pool->config->version;

	return flow->status < GB_FLOW_SUCCEEDED && !flow->cancelled &&
	       pool_partition_attached(pool, flow->partition) &&
	       flow->config <= version;
}

/** What gangs wait for, and what there is. */
static void
crowd_count(struct gb_pool *pool, struct pool_flow **flows, uint32_t count)
{
	uint32_t i;

	pool->gangs_wait = 0;
	pool->capacity = 0;
	for (i = 0; i < count; i++)
		pool->gangs_wait += pool_rank_gangs_wait(pool, flows[i]);
	for (i = 0; i < pool->worker_count; i++) {
		if (pool_worker_offered(pool->workers[i]) &&
		    !pool->workers[i]->over)
			pool->capacity += pool->workers[i]->entry.capacity.cpu;
	}
}

void
pool_dispatch(struct gb_pool *pool)
{
	struct pool_flow **flows = gb_calloc(pool->open_count, sizeof(*flows));
	struct pool_flow *flow;
	uint32_t misses = 0;
	uint32_t count = 0;
	uint32_t i;
	uint32_t j;

	TAILQ_FOREACH(flow, &pool->open, open_next)
	{
		if (!flow_dispatched(pool, flow))
			continue;
		pool_rank_flow(pool, flow);
		flows[count++] = flow;
	}
	crowd_count(pool, flows, count);
	pool_quota_doubt(pool);
	qsort(flows, count, sizeof(*flows), flow_compare);
	pool_reservations_clear(pool);
	pool->waiting_bytes = 0;
	for (i = 0; i < count; i++) {
		for (j = 0; j < flows[i]->step_count; j++) {
			step_mend(pool, flows[i], j);
			step_start_planned(pool, flows[i], j);
			step_foresee(pool, flows[i], j);
			if (misses < DISPATCH_MISSES &&
			    step_dispatch(pool, flows[i], j))
				misses++;
			step_copies(pool, flows[i], j);
		}
	}
	free(flows);
}
