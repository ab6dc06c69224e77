/**
 * @file dispatch.c
 * Starts what can be started: goes through the waiting flows in their order,
 * asks for advice and places tasks.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "crash.h"
#include "gang.h"
#include "state.h"

/** A speculative copy of a task is started when its run has taken this many
 * times as long as expected. */
#define DISPATCH_STRAGGLER_RATIO 2.0
/** Steps without free capacity in one pass, after which the other steps are
 * left for the next pass: each costs about 4 us with 350 workers. */
#define DISPATCH_MISSES_MAX 80
/** Gangs for which capacity is reserved in one pass: each costs about 20 us,
 * and what the tenth gang reserves is seconds away. */
#define DISPATCH_RESERVATIONS_MAX 10
/** Time to the advice service and back, through a member. */
#define DISPATCH_ADVICE_ROUND_TRIP (60 * GB_MSEC)
/** Capacity freed by preemption stays claimed until this long after the maximum
 * time of a stop: reports of workers arrive within 0.1 s. */
#define DISPATCH_STOP_REPORT_TIME (300 * GB_MSEC)
/** Longest time for which capacity is claimed for starts that are not announced
 * yet: a write takes 0.2 s when the store is 25 times slower. */
#define DISPATCH_ANNOUNCE_CLAIM (300 * GB_MSEC)
/** Workers named in addition to the needed ones when tickets are renewed. */
#define DISPATCH_SPARE_WORKERS 2

uint64_t
pool_step_next_run(const struct gb_pool *pool, const struct pool_step *step)
{
	uint64_t base = (pool->epoch - 1) * POOL_RUNS_PER_EPOCH;

	return (step->run_number > base ? step->run_number : base) + 1;
}

static const char *
step_worker_ticket(const struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_step *step, uint32_t worker)
{
	const struct pool_approval *a =
	    pool_fit_ticket(pool, flow, step, worker, 1);

	return a == NULL ? NULL : a->ticket;
}

/** Whether the worker of a planned start can still take it. Its capacity is
 * claimed, but the capacity of the worker may have shrunk. */
static bool
plan_is_startable(const struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_step *step, uint32_t index)
{
	const struct pool_worker *worker =
	    pool_crash_plan_worker(pool, &step->tasks[index]);
	gb_res avail = pool_fit_free_capacity(worker);

	return pool_fit_usable(pool, worker, flow->partition) &&
	       avail.cpu >= 0 && avail.mem >= 0 && avail.accel >= 0 &&
	       (!POOL_ADVICE_NEEDED(flow) ||
		   pool_fit_ticket(pool, flow, step, worker->handle,
		       pool_step_starts_together(step)) != NULL);
}

static void
plan_start(struct gb_pool *pool, struct pool_flow *flow, uint32_t step_number,
    uint32_t index, uint64_t run_number)
{
	struct pool_step *step = &flow->steps[step_number];
	struct pool_worker *worker =
	    pool_crash_plan_worker(pool, &step->tasks[index]);

	pool_crash_plan_release(pool, step, index);
	pool_run_start(pool, flow, step_number, index, run_number, worker,
	    step_worker_ticket(pool, flow, step, worker->handle));
}

static int
worker_compare(const void *a, const void *b)
{
	const uint32_t *x = a;
	const uint32_t *y = b;

	return *x < *y ? -1 : *x > *y;
}

/** Claims the capacity that a placement uses until the tickets arrive or the
 * preempted runs have ended. The workers must be sorted. */
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

/** Requests the announcement of a planned start if it is missing.  Returns
 * whether the start may be sent. */
static bool
plan_announce(struct gb_pool *pool, struct pool_flow *flow,
    const struct pool_step *step, uint32_t index,
    const struct pool_worker *worker)
{
	if (!pool_announce_missing(flow, step, index, worker))
		return true;
	pool_announce_request(pool, flow);
	return false;
}

/** Whether a planned start is stored and only has to be sent. */
static bool
plan_is_due(struct gb_pool *pool, struct pool_flow *flow,
    const struct pool_step *step, uint32_t index)
{
	const struct pool_task *task = &step->tasks[index];

	return task->plan != NULL && !task->done && TAILQ_EMPTY(&task->runs) &&
	       !pool_start_blocked(pool, flow, task) &&
	       plan_announce(
		   pool, flow, step, index, pool_crash_plan_worker(pool, task));
}

/** Sends the planned starts of a gang once all are stored. Drops them if a
 * worker can no longer take its task or the quota does not allow them. */
static void
gang_start_planned(
    struct gb_pool *pool, struct pool_flow *flow, uint32_t step_number)
{
	struct pool_step *step = &flow->steps[step_number];
	uint32_t count = step->spec->count;
	bool startable;
	uint64_t run_number;
	uint32_t i;

	if (step->active > 0 || step->plans == 0 ||
	    pool_start_blocked_count(pool, flow, step) > 0)
		return;
	startable =
	    step->plans == count &&
	    pool_quota_fits(pool, flow->org, &step->spec->res, count) == count;
	for (i = 0; i < count && startable; i++)
		startable = plan_is_startable(pool, flow, step, i);
	if (!startable) {
		pool_crash_plans_drop(pool, step);
		return;
	}
	for (i = 0; i < count; i++) {
		if (!plan_announce(pool, flow, step, i,
			pool_crash_plan_worker(pool, &step->tasks[i])))
			return;
	}
	run_number = pool_step_next_run(pool, step);
	for (i = 0; i < count; i++)
		plan_start(pool, flow, step_number, i, run_number);
}

/** Sends the planned starts that are stored, and drops those whose worker can't
 * take them or that the quota does not allow. */
static void
step_start_planned(
    struct gb_pool *pool, struct pool_flow *flow, uint32_t step_number)
{
	struct pool_step *step = &flow->steps[step_number];
	uint32_t i;

	if ((step->spec->flags & GB_STEP_GANG) != 0) {
		gang_start_planned(pool, flow, step_number);
		return;
	}
	for (i = 0; step->plans > 0 && i < step->spec->count; i++) {
		if (!plan_is_due(pool, flow, step, i))
			continue;
		if (plan_is_startable(pool, flow, step, i) &&
		    pool_quota_fits(pool, flow->org, &step->spec->res, 1) == 1)
			plan_start(pool, flow, step_number, i,
			    pool_step_next_run(pool, step));
		else
			pool_crash_plan_drop(pool, step, i);
	}
}

/** Whether the starts of all members of a gang on their workers are
 * announced. */
static bool
gang_is_announced(const struct pool_flow *flow, const struct pool_step *step,
    struct pool_worker *const *all, const uint32_t *workers)
{
	uint32_t i;

	for (i = 0; i < step->spec->count; i++) {
		if (pool_announce_missing(flow, step, i, all[workers[i]]))
			return false;
	}
	return true;
}

/** Requests the announcement of starts on workers, and claims the capacity
 * there until it is stored: other flows would take it that come later but are
 * announced. */
static void
step_announce(struct gb_pool *pool, struct pool_flow *flow,
    struct pool_step *step, uint32_t *workers, uint32_t count)
{
	if (!pool_announce_request(pool, flow))
		return;
	qsort(workers, count, sizeof(*workers), worker_compare);
	step_claim(pool, step, workers, count);
	step->claim_change = flow->announce_change;
	step->claim_until = pool->now + DISPATCH_ANNOUNCE_CLAIM;
}

/** Plans the starts of the next waiting tasks, which are stored before they are
 * sent. */
static void
step_plan(struct gb_pool *pool, struct pool_flow *flow, uint32_t step_number,
    const uint32_t *workers, uint32_t count)
{
	struct pool_step *step = &flow->steps[step_number];
	uint32_t placed = 0;
	uint32_t i;

	pool_announce_allow(pool, flow);
	for (i = 0; i < step->spec->count && placed < count; i++) {
		const struct pool_task *task = &step->tasks[i];

		if (task->done || !TAILQ_EMPTY(&task->runs) ||
		    pool_start_blocked(pool, flow, task) ||
		    !pool_flow_may_open(pool, flow, step, task))
			continue;
		pool_flow_task_opens(pool, flow, task);
		pool_crash_plan(pool, flow, step_number, i,
		    pool->workers[workers[placed++]]);
	}
}

/** Starts the next waiting tasks on the workers found for them, of which there
 * are `count`.  Those that are not announced wait for that.  Changes the list
 * of workers. */
static void
step_start(struct gb_pool *pool, struct pool_flow *flow, uint32_t step_number,
    uint32_t *workers, uint32_t count)
{
	struct pool_step *step = &flow->steps[step_number];
	bool gang = (step->spec->flags & GB_STEP_GANG) != 0;
	uint64_t run_number = pool_step_next_run(pool, step);
	uint32_t unannounced = 0;
	uint32_t placed = 0;
	uint32_t i;

	if (gang && count > 0 &&
	    !gang_is_announced(flow, step, pool->workers, workers)) {
		step_announce(pool, flow, step, workers, count);
		return;
	}
	for (i = 0; i < step->spec->count && placed < count; i++) {
		struct pool_task *task = &step->tasks[i];
		struct pool_worker *worker = pool->workers[workers[placed]];

		if (task->done || !TAILQ_EMPTY(&task->runs) ||
		    pool_start_blocked(pool, flow, task) ||
		    !pool_flow_may_open(pool, flow, step, task))
			continue;
		placed++;
		pool_flow_task_opens(pool, flow, task);
		if (pool_announce_missing(flow, step, i, worker)) {
			workers[unannounced++] = worker->handle;
			continue;
		}
		pool_run_start(pool, flow, step_number, i,
		    gang ? run_number : pool_step_next_run(pool, step), worker,
		    step_worker_ticket(pool, flow, step, worker->handle));
	}
	if (unannounced > 0)
		step_announce(pool, flow, step, workers, unannounced);
}

/** Whether the claims of a step still wait for tickets, for announcements or
 * for preempted runs to end. Once these are stored or the runs have ended, or
 * it takes too long, the claims are dropped so that the capacity can be used at
 * once. */
static bool
step_waits_for_claims(
    struct gb_pool *pool, const struct pool_flow *flow, struct pool_step *step)
{
	uint32_t i;

	if (step->claim_count == 0)
		return false;
	if (step->claim_until == 0 || (step->claim_change > flow->stored &&
					  step->claim_until > pool->now))
		return true;
	for (i = 0; i < step->claim_count && pool->now < step->claim_until;
	     i++) {
		gb_res avail = pool_fit_free_capacity(
		    pool->workers[step->claims[i].worker]);

		/* Free capacity excludes what is claimed. */
		if (avail.cpu < 0 || avail.mem < 0 || avail.accel < 0)
			return true;
	}
	pool_advice_claims_drop(pool, step);
	return false;
}

/** Renews the tickets for the workers that a placement uses and for a few
 * more. If `claim` is set, the capacity that a gang needs there is claimed
 * until the tickets arrive. Sorts the workers. */
static void
step_renew_tickets(struct gb_pool *pool, struct pool_flow *flow,
    uint32_t step_number, uint32_t *workers, uint32_t count, bool claim)
{
	struct pool_step *step = &flow->steps[step_number];
	uint32_t *handles =
	    gb_calloc(count + step->approved_count, sizeof(*handles));
	uint32_t distinct = 0;
	uint32_t spare = 0;
	uint32_t i;
	uint32_t j;

	qsort(workers, count, sizeof(*workers), worker_compare);
	for (i = 0; i < count; i++) {
		if (distinct == 0 || handles[distinct - 1] != workers[i])
			handles[distinct++] = workers[i];
	}
	for (i = 0; i < step->approved_count && spare < DISPATCH_SPARE_WORKERS;
	     i++) {
		const struct pool_worker *worker =
		    pool_worker_get(pool, step->approved[i].worker);

		for (j = 0; j < distinct; j++) {
			if (handles[j] == worker->handle)
				break;
		}
		if (j < distinct ||
		    !pool_fit_usable(pool, worker, flow->partition))
			continue;
		handles[distinct++] = worker->handle;
		spare++;
	}
	if (pool_advice_ask(pool, flow, step_number, handles, distinct) &&
	    claim && (step->spec->flags & GB_STEP_GANG) != 0)
		step_claim(pool, step, workers, count);
	free(handles);
}

/** Expected time to renew the tickets of a gang. */
static gb_time
step_advice_time(const struct pool_flow *flow, const struct pool_step *step)
{
	const struct gb_pool_advice *advice = &flow->advice;

	return advice->decide_us +
	       advice->per_worker_us * (gb_time)step->spec->count / 2 +
	       DISPATCH_ADVICE_ROUND_TRIP;
}

/** Whether there is a valid ticket for every worker of a placement. */
static bool
step_has_tickets(const struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_step *step, const uint32_t *workers)
{
	uint32_t i;

	for (i = 0; i < step->spec->count; i++) {
		if (pool_fit_ticket(pool, flow, step, workers[i],
			pool_step_starts_together(step)) == NULL)
			return false;
	}
	return true;
}

/** Handles a gang for which there is not enough free capacity: preempts other
 * runs or reserves capacity for later. Tickets are renewed just before the
 * capacity is free, so that it does not wait for them. */
static void
step_preempt_or_reserve(
    struct gb_pool *pool, struct pool_flow *flow, uint32_t step_number)
{
	struct pool_step *step = &flow->steps[step_number];

	uint32_t *workers;

	if (pool->reservations >= DISPATCH_RESERVATIONS_MAX)
		return;
	pool->reservations++;
	workers = gb_calloc(step->spec->count, sizeof(*workers));
	switch (pool_preempt(pool, flow, step, workers)) {
	case POOL_PREEMPT_STOPPED:
		qsort(workers, step->spec->count, sizeof(*workers),
		    worker_compare);
		step_claim(pool, step, workers, step->spec->count);
		step->claim_until = pool->now + pool->cfg.limits.stop_us +
				    DISPATCH_STOP_REPORT_TIME;
		free(workers);
		return;
	case POOL_PREEMPT_TICKETS:
		step_renew_tickets(
		    pool, flow, step_number, workers, step->spec->count, false);
		break;
	case POOL_PREEMPT_NONE:
		break;
	}
	if (!POOL_FEATURE_ENABLED(pool, GB_FEATURE_RESERVATION) ||
	    !pool_reserve(pool, flow, step, &flow->wait, workers))
		flow->wait = 0;
	else if (POOL_FEATURE_ENABLED(pool, GB_FEATURE_TICKET_RENEWAL) &&
		 POOL_ADVICE_NEEDED(flow) &&
		 step->ticket_calls_in_flight == 0 &&
		 flow->wait < step_advice_time(flow, step) &&
		 !step_has_tickets(pool, flow, step, workers))
		step_renew_tickets(
		    pool, flow, step_number, workers, step->spec->count, false);
	free(workers);
}

/** Asks about more workers if too few are approved for the step to find
 * capacity soon. */
static void
step_ask_more_workers(
    struct gb_pool *pool, struct pool_flow *flow, uint32_t step_number)
{
	struct pool_step *step = &flow->steps[step_number];
	bool gang = (step->spec->flags & GB_STEP_GANG) != 0 &&
		    POOL_FEATURE_ENABLED(pool, GB_FEATURE_GANG_WORKERS);
	double slots = gang ? gang_slots_wanted(step->spec->count,
				  pool->capacity, pool->free_cpu)
			    : step_slots_wanted(step->spec->count);

	if (step->approval_calls_in_flight > 0 ||
	    step->asked_count >= pool->worker_count ||
	    (double)pool_fit_slots(pool, flow, step) >= slots)
		return;
	pool_advice_ask(pool, flow, step_number, NULL, 0);
}

/** The quota of the organisation does not allow the step now: it drops its
 * claims meanwhile. */
static void
step_wait_for_quota(
    struct gb_pool *pool, struct pool_flow *flow, struct pool_step *step)
{
	flow->wait = 0;
	if (!flow->waited_for_quota) {
		flow->waited_for_quota = true;
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

/** Limits the starts of single tasks to what the link sends in a short time;
 * the others follow in the next dispatch.  Otherwise a step of many tasks would
 * keep the link busy until tickets of the last ones expire. */
static uint32_t
step_starts_for_link(
    struct gb_pool *pool, const struct pool_flow *flow, uint32_t wanted)
{
	uint32_t most = pool_pace_starts_max(pool, &flow->spec);

	if (most >= wanted)
		return wanted;
	pool->work_changed = true;
	return most;
}

/** Starts what can be started of a step. Returns whether the step waits for
 * free capacity. */
static bool
step_dispatch(
    struct gb_pool *pool, struct pool_flow *flow, uint32_t step_number)
{
	struct pool_step *step = &flow->steps[step_number];
	bool gang = (step->spec->flags & GB_STEP_GANG) != 0;
	bool advice = POOL_ADVICE_NEEDED(flow);
	uint32_t wanted = pool_flow_startable_count(pool, flow, step);
	uint32_t allowed;
	uint32_t started;
	uint32_t placeable = 0;
	uint32_t *workers;

	if (wanted == 0 || step_waits_for_claims(pool, flow, step))
		return false;
	allowed = pool_quota_fits(pool, flow->org, &step->spec->res, wanted);
	if (allowed == 0 || (gang && allowed < wanted)) {
		step_wait_for_quota(pool, flow, step);
		return false;
	}
	wanted = allowed;
	pool->waiting_bytes += pool_pace_start_bytes(&flow->spec, wanted);
	pool->backlog.overdue |= flow->late_due < pool->now;
	if (!pool_pace_may_send_starts(pool)) {
		pool->work_changed = true;
		return false;
	}
	if (advice && step->advice == POOL_ADVICE_NONE) {
		if (step->advice_retry_at <= pool->now)
			pool_advice_ask(pool, flow, step_number, NULL, 0);
		return false;
	}
	if (!gang)
		wanted = step_starts_for_link(pool, flow, wanted);
	workers = gb_calloc(wanted, sizeof(*workers));
	started = pool_fit_place(pool, flow, step, wanted, true, workers);
	if (flow->plan_starts)
		step_plan(pool, flow, step_number, workers, started);
	else
		step_start(pool, flow, step_number, workers, started);
	/* The rest may fit on approved workers without a valid ticket. */
	if (started < wanted && step->ticket_calls_in_flight == 0)
		placeable = pool_fit_place(
		    pool, flow, step, wanted - started, false, workers);
	if (placeable > 0 && advice && pool_advice_channel_free(pool))
		step_renew_tickets(
		    pool, flow, step_number, workers, placeable, true);
	if (advice && started + placeable == 0)
		step_ask_more_workers(pool, flow, step_number);
	if (gang && started > 0)
		flow->wait = 0;
	if (gang && started == 0 && step->claim_count == 0)
		step_preempt_or_reserve(pool, flow, step_number);
	free(workers);
	return started + placeable == 0;
}

/** Time until the steps before this step are expected to be done, or a negative
 * number if some of their tasks have no run. */
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

/** Asks for advice before the step can begin: while its flow is being stored,
 * or while the last tasks before it run. */
static void
step_prefetch_advice(
    struct gb_pool *pool, struct pool_flow *flow, uint32_t step_number)
{
	struct pool_step *step = &flow->steps[step_number];
	gb_time ready_in;

	if (!POOL_FEATURE_ENABLED(pool, GB_FEATURE_ADVICE_PREFETCH) ||
	    step->advice != POOL_ADVICE_NONE ||
	    step->approval_calls_in_flight > 0 || !POOL_ADVICE_NEEDED(flow) ||
	    step->done > 0 || step->advice_retry_at > pool->now ||
	    !pool_advice_channel_free(pool))
		return;
	ready_in = step_ready_in(pool, flow, step);
	if (ready_in >= 0 && ready_in < step_advice_time(flow, step))
		pool_advice_ask(pool, flow, step_number, NULL, 0);
}

/** Stops the runs of a gang if only some remain from an earlier owner: the gang
 * can't continue without the others. */
static void
step_stop_incomplete_gang(
    struct gb_pool *pool, struct pool_flow *flow, uint32_t step_number)
{
	struct pool_step *step = &flow->steps[step_number];

	if ((step->spec->flags & GB_STEP_GANG) == 0 ||
	    !pool->partitions[flow->partition].reconciled ||
	    step->active == 0 || step->done > 0 ||
	    step->active == step->spec->count)
		return;
	pool_flow_stop_step(
	    pool, flow, step_number, NULL, "the gang is not complete");
}

/** Starts speculative copies of stragglers. */
static void
step_copy_stragglers(
    struct gb_pool *pool, struct pool_flow *flow, uint32_t step_number)
{
	struct pool_step *step = &flow->steps[step_number];
	gb_time expected;
	uint32_t worker;
	uint32_t i;

	if (!POOL_FEATURE_ENABLED(pool, GB_FEATURE_SPECULATION) ||
	    (step->spec->flags & GB_STEP_SPECULATIVE) == 0 ||
	    (step->spec->flags & GB_STEP_GANG) != 0 ||
	    !pool_flow_step_ready(flow, step))
		return;
	expected = pool_rank_estimate(pool, flow, step);
	for (i = 0; i < step->spec->count; i++) {
		struct pool_run *run = TAILQ_FIRST(&step->tasks[i].runs);

		if (run == NULL || TAILQ_NEXT(run, of_task) != NULL ||
		    step->tasks[i].done || run->state == POOL_RUN_STOPPING ||
		    step->tasks[i].suspect != NULL ||
		    (double)(pool->now - run->started) <
			DISPATCH_STRAGGLER_RATIO * (double)expected)
			continue;
		if (pool_quota_fits(pool, flow->org, &step->spec->res, 1) ==
			0 ||
		    pool_fit_place(pool, flow, step, 1, true, &worker) == 0 ||
		    pool->workers[worker] == run->worker)
			continue;
		pool_run_start(pool, flow, step_number, i,
		    pool_step_next_run(pool, step), pool->workers[worker],
		    step_worker_ticket(pool, flow, step, worker));
	}
}

void
pool_dispatch_step(struct gb_pool *pool, struct pool_flow *flow, uint32_t step)
{
	pool_pace_snapshot_link(pool);
	step_dispatch(pool, flow, step);
	/* A channel has become free for the next call. */
	pool->work_changed = true;
}

static int
flow_compare(const void *a, const void *b)
{
	return pool_rank_compare(*(const struct pool_flow *const *)a,
	    *(const struct pool_flow *const *)b);
}

/** Whether a flow may be dispatched. An owner without the configuration version
 * by which the flow was accepted may not know its queue, whose workers may need
 * tickets. */
static bool
flow_is_dispatchable(const struct gb_pool *pool, const struct pool_flow *flow)
{
	uint64_t version = pool->config == NULL ? 0 : pool->config->version;

	return flow->status < GB_FLOW_SUCCEEDED && !flow->cancelled &&
	       pool_partition_attached(pool, flow->partition) &&
	       flow->config <= version;
}

/** Counts the processors that gangs wait for, those of the workers, and those
 * that are free. */
static void
count_gang_demand(
    struct gb_pool *pool, struct pool_flow **flows, uint32_t count)
{
	uint32_t i;

	pool->waiting_gang_cores = 0;
	pool->capacity = 0;
	pool->free_cpu = 0;
	for (i = 0; i < count; i++)
		pool->waiting_gang_cores +=
		    pool_rank_waiting_gang_cores(pool, flows[i]);
	for (i = 0; i < pool->worker_count; i++) {
		if (!pool_worker_offered(pool->workers[i]) ||
		    pool->workers[i]->ended)
			continue;
		pool->capacity += pool->workers[i]->entry.capacity.cpu;
		pool->free_cpu += pool->workers[i]->entry.capacity.cpu -
				  pool->workers[i]->used.cpu;
	}
}

void
pool_dispatch(struct gb_pool *pool)
{
	struct pool_flow **flows = gb_calloc(pool->open_count, sizeof(*flows));
	struct pool_flow *flow;
	uint32_t misses = 0;
	uint32_t count = 0;
	bool full;
	uint32_t i;
	uint32_t j;

	TAILQ_FOREACH(flow, &pool->open, open_next)
	{
		if (!flow_is_dispatchable(pool, flow))
			continue;
		pool_rank_update_flow(pool, flow);
		pool_flow_count_open_tasks(pool, flow);
		flows[count++] = flow;
	}
	count_gang_demand(pool, flows, count);
	pool_backlog_count(pool);
	pool_quota_update_uncertain(pool);
	qsort(flows, count, sizeof(*flows), flow_compare);
	pool_reservations_clear(pool);
	pool_pace_snapshot_link(pool);
	pool_announce_begin_dispatch(pool);
	pool->waiting_bytes = 0;
	for (i = 0; i < count; i++) {
		for (j = 0; j < flows[i]->step_count; j++) {
			step_stop_incomplete_gang(pool, flows[i], j);
			step_start_planned(pool, flows[i], j);
			step_prefetch_advice(pool, flows[i], j);
			full = misses == DISPATCH_MISSES_MAX ||
			       step_dispatch(pool, flows[i], j);
			if (full && misses < DISPATCH_MISSES_MAX)
				misses++;
			pool_announce_waiting(
			    pool, flows[i], &flows[i]->steps[j], full);
			step_copy_stragglers(pool, flows[i], j);
		}
	}
	pool_usage_dispatched(pool, misses > 0);
	free(flows);
}
