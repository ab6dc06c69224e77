/**
 * @file world.c
 * Model of the users' platform: workers, their runs, the advice service.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include <uthash.h>

#include "world_state.h"

/** A worker's clock begins at some other time than the world's. */
#define CLOCK_OFFSET_MS 500000
/** Reading of the clock of a worker that has started again. */
#define CLOCK_RESTART_MS 40
/** Time of day at which the world's own clock stands at 0. */
#define WORLD_EPOCH_MS INT64_C(1790000000000)
/** Members of a gang wait this long for each other. */
#define GANG_WAIT (3 * GB_SEC)
/** A checkpoint is made after each of these of work. */
#define CHECKPOINT_WORK (2 * GB_SEC)
/** A worker's smaller room is known this much later: it is listed each 0.5 s,
 * and orders are on their way. */
#define SHRUNK_KNOWN (600 * GB_MSEC)
/** A task that crashes its worker does so this long after it has begun. */
#define CRASH_AFTER (10 * GB_MSEC)
/** A worker that a task crashed is back after this, if nothing else is said. */
#define CRASH_BACK_MS 1300
struct world *
world_new(uint64_t seed)
{
	struct world *world = gb_calloc(1, sizeof(*world));

	world->seed = seed;
	world->shrunk_known = SHRUNK_KNOWN;
	TAILQ_INIT(&world->rows);
	return world;
}

static void
worker_clear(struct world_worker *worker)
{
	struct world_run *run;
	struct world_end *end;
	struct world_mark *mark;
	struct world_mark *next;

	while ((run = TAILQ_FIRST(&worker->runs)) != NULL) {
		TAILQ_REMOVE(&worker->runs, run, next);
		free(run);
	}
	while ((end = TAILQ_FIRST(&worker->ends)) != NULL) {
		TAILQ_REMOVE(&worker->ends, end, next);
		free(end);
	}
	HASH_ITER(hh, worker->marks, mark, next)
	{
		HASH_DEL(worker->marks, mark);
		free(mark);
	}
}

void
world_free(struct world *world)
{
	struct world_flow *flow;
	struct world_flow *next;
	unsigned int i;

	for (i = 0; i < world->worker_count; i++) {
		worker_clear(world->workers[i]);
		free(world->workers[i]);
	}
	free(world->workers);
	HASH_ITER(hh, world->flows, flow, next)
	{
		HASH_DEL(world->flows, flow);
		xdr_free((xdrproc_t)xdr_gb_flow, (char *)&flow->spec);
		free(flow->tasks);
		free(flow);
	}
	world_rows_free(world);
	world_orgs_free(world);
	free(world);
}

static void gang_end(struct world *, const char *flow, uint32_t step,
    uint64_t number, enum gb_pool_outcome);
static unsigned long spec_number(
    const char *spec, const char *name, unsigned long fallback);

/* Workers ----------------------------------------------------------------- */

/** A new process: nothing of the one before counts any more. */
static void
worker_begin(struct world *world, struct world_worker *worker)
{
	worker->incarnation++;
	worker->born_ms =
	    WORLD_EPOCH_MS + world->clock_step_ms + world->now / GB_MSEC;
	worker->up = true;
	worker->back_at = 0;
	worker->draining = false;
	worker->token = 0;
	worker->ended = 0;
	worker->acked = 0;
	worker->lease_end_ms = 0;
}

/** Under an id that was never used. */
static void
worker_name(struct world *world, struct world_worker *worker)
{
	snprintf(worker->id, sizeof(worker->id), "w-%u-%u", worker->number,
	    worker->incarnation);
	worker->offset_ms =
	    CLOCK_OFFSET_MS + (int64_t)(gb_random_next(&world->seed) % 100000);
}

unsigned int
world_worker_add(struct world *world, const char *service, const char *dc,
    unsigned int rack, const gb_res *capacity, double speed)
{
	struct world_worker *worker = gb_calloc(1, sizeof(*worker));

	worker->number = world->worker_count;
	worker->capacity = *capacity;
	worker->speed = speed;
	snprintf(worker->service, sizeof(worker->service), "%s", service);
	snprintf(worker->dc, sizeof(worker->dc), "%s", dc);
	snprintf(worker->rack, sizeof(worker->rack), "r-%u", rack);
	snprintf(worker->addr, sizeof(worker->addr), "10.0.%u.%u:80",
	    worker->number / 250, worker->number % 250 + 1);
	TAILQ_INIT(&worker->runs);
	TAILQ_INIT(&worker->ends);
	worker_name(world, worker);
	worker_begin(world, worker);
	world->workers = gb_realloc(world->workers,
	    (world->worker_count + 1) * sizeof(struct world_worker *));
	world->workers[world->worker_count] = worker;
	return world->worker_count++;
}

void
world_worker_place(struct world *world, unsigned int number, const char *addr)
{
	struct world_worker *worker = world->workers[number];

	snprintf(worker->addr, sizeof(worker->addr), "%s", addr);
}

const char *
world_worker_addr(const struct world *world, unsigned int number)
{
	return world->workers[number]->addr;
}

void
world_worker_dc(struct world *world, unsigned int number, const char *dc)
{
	struct world_worker *worker = world->workers[number];

	snprintf(worker->dc, sizeof(worker->dc), "%s", dc);
}

unsigned int
world_worker_count(const struct world *world)
{
	return world->worker_count;
}

void
world_worker_entry(
    const struct world *world, unsigned int number, struct gb_pool_entry *entry)
{
	const struct world_worker *worker = world->workers[number];

	memset(entry, 0, sizeof(*entry));
	snprintf(entry->id, sizeof(entry->id), "%s", worker->id);
	entry->incarnation = world->entries_untold ? 0 : worker->born_ms;
	snprintf(entry->addr, sizeof(entry->addr), "%s", worker->addr);
	snprintf(entry->dc, sizeof(entry->dc), "%s", worker->dc);
	snprintf(entry->service, sizeof(entry->service), "%s", worker->service);
	snprintf(entry->label[0], sizeof(entry->label[0]), "%s", worker->rack);
	entry->label_count = 1;
	entry->capacity = worker->capacity;
	entry->draining = worker->draining;
	entry->removed = !worker->up;
}

static void
worker_lose_runs(struct world *world, struct world_worker *worker)
{
	struct world_run *run;
	const struct world_end *end;

	/* All that runs there, also members of a gang that ends with one. */
	TAILQ_FOREACH(run, &worker->runs, next)
	{
		world_oracle_crash(world, worker, run);
	}
	while ((run = TAILQ_FIRST(&worker->runs)) != NULL) {
		struct world_run gone = *run;

		world_oracle_end(world, run, true, GB_POOL_LAPSED);
		TAILQ_REMOVE(&worker->runs, run, next);
		free(run);
		if (gone.gang > 0)
			gang_end(world, gone.flow, gone.step, gone.number,
			    GB_POOL_GANG_BROKEN);
	}
	TAILQ_FOREACH(end, &worker->ends, next)
	{
		world_oracle_end_lost(world, end);
	}
	memset(&worker->used, 0, sizeof(worker->used));
	worker_clear(worker);
}

bool
world_worker_up(const struct world *world, unsigned int number)
{
	return world->workers[number]->up;
}

void
world_worker_crash(struct world *world, unsigned int number)
{
	world->workers[number]->up = false;
	worker_lose_runs(world, world->workers[number]);
}

void
world_worker_reborn(struct world *world, unsigned int number)
{
	struct world_worker *worker = world->workers[number];

	worker_lose_runs(world, worker);
	worker_begin(world, worker);
	worker_name(world, worker);
}

void
world_worker_restart(struct world *world, unsigned int number)
{
	struct world_worker *worker = world->workers[number];

	worker_lose_runs(world, worker);
	worker_begin(world, worker);
	worker->offset_ms = CLOCK_RESTART_MS - world->now / GB_MSEC;
}

void
world_worker_rename(struct world *world, unsigned int number, const char *id)
{
	world_worker_restart(world, number);
	snprintf(world->workers[number]->id, sizeof(world->workers[number]->id),
	    "%s", id);
}

void
world_incarnations_unknown(struct world *world, bool reports, bool entries)
{
	world->reports_untold = reports;
	world->entries_untold = entries;
}

void
world_clock_step(struct world *world, gb_time step)
{
	world->clock_step_ms += step / GB_MSEC;
}

void
world_worker_resize(
    struct world *world, unsigned int number, const gb_res *capacity)
{
	struct world_worker *worker = world->workers[number];

	if (world->now >= worker->shrunk_until ||
	    capacity->cpu > worker->capacity_before.cpu)
		worker->capacity_before = worker->capacity;
	if (capacity->cpu < worker->capacity.cpu)
		worker->shrunk_until = world->now + world->shrunk_known;
	worker->capacity = *capacity;
}

void
world_shrunk_known(struct world *world, gb_time after)
{
	world->shrunk_known = after;
}

void
world_worker_sick(
    struct world *world, unsigned int number, bool failing, bool still)
{
	world->workers[number]->failing = failing;
	world->workers[number]->still = still;
}

void
world_worker_drain(struct world *world, unsigned int number)
{
	world->workers[number]->draining = true;
}

static struct world_worker *
worker_at(const struct world *world, const char *addr)
{
	unsigned int i;

	for (i = 0; i < world->worker_count; i++) {
		if (strcmp(world->workers[i]->addr, addr) == 0)
			return world->workers[i];
	}
	return NULL;
}

unsigned int
world_worker_process(const struct world *world, const char *addr)
{
	const struct world_worker *worker = worker_at(world, addr);

	return worker == NULL || !worker->up ? 0 : worker->incarnation;
}

static int64_t
worker_clock(const struct world *world, const struct world_worker *worker)
{
	return worker->offset_ms + world->now / GB_MSEC;
}

/* Runs -------------------------------------------------------------------- */

static unsigned long
spec_number(const char *spec, const char *name, unsigned long fallback)
{
	const char *at = strstr(spec, name);

	return at == NULL ? fallback : strtoul(at + strlen(name), NULL, 10);
}

static struct world_mark *
mark_get(struct world_worker *worker, const char *flow, uint32_t step,
    uint32_t index)
{
	struct world_mark *mark;
	char key[sizeof(mark->key)];

	memset(key, 0, sizeof(key));
	snprintf(key, sizeof(key), "%.40s.%u.%u", flow, step, index);
	HASH_FIND_STR(worker->marks, key, mark);
	if (mark != NULL)
		return mark;
	mark = gb_calloc(1, sizeof(*mark));
	memcpy(mark->key, key, sizeof(key));
	HASH_ADD_STR(worker->marks, key, mark);
	return mark;
}

static void
run_end(struct world *world, struct world_worker *worker, struct world_run *run,
    enum gb_pool_outcome outcome)
{
	struct world_mark *mark =
	    mark_get(worker, run->flow, run->step, run->index);
	struct world_end *end = gb_calloc(1, sizeof(*end));

	world_oracle_end(world, run, false, outcome);
	end->seen.number = ++worker->ended;
	end->seen.step = run->step;
	end->seen.index = run->index;
	end->seen.run = run->number;
	end->seen.outcome = outcome;
	snprintf(end->seen.flow, sizeof(end->seen.flow), "%s", run->flow);
	snprintf(end->seen.checkpoint, sizeof(end->seen.checkpoint), "%s",
	    run->checkpoint);
	TAILQ_INSERT_TAIL(&worker->ends, end, next);
	if (run->number > mark->run)
		mark->run = run->number;
	gb_res_sub(&worker->used, &run->res);
	TAILQ_REMOVE(&worker->runs, run, next);
	free(run);
}

/** Members of a run's gang that are present on workers that are up. */
static unsigned int
gang_members(const struct world *world, const struct world_run *run)
{
	const struct world_run *other;
	unsigned int count = 0;
	unsigned int i;

	for (i = 0; i < world->worker_count; i++) {
		TAILQ_FOREACH(other, &world->workers[i]->runs, next)
		{
			if (other->number == run->number &&
			    other->step == run->step &&
			    strcmp(other->flow, run->flow) == 0)
				count++;
		}
	}
	return count;
}

/** End all members of a gang together. */
static void
gang_end(struct world *world, const char *flow, uint32_t step, uint64_t number,
    enum gb_pool_outcome outcome)
{
	struct world_run *run;
	struct world_run *next;
	unsigned int i;

	for (i = 0; i < world->worker_count; i++) {
		struct world_worker *worker = world->workers[i];

		for (run = TAILQ_FIRST(&worker->runs); run != NULL;
		     run = next) {
			next = TAILQ_NEXT(run, next);
			if (run->number == number && run->step == step &&
			    strcmp(run->flow, flow) == 0)
				run_end(world, worker, run, outcome);
		}
	}
}

/** A run ends before its work is done, and with it its gang. */
static void
run_break(struct world *world, struct world_worker *worker,
    struct world_run *run, enum gb_pool_outcome outcome)
{
	struct world_run gone = *run;

	run_end(world, worker, run, outcome);
	if (gone.gang > 0)
		gang_end(world, gone.flow, gone.step, gone.number,
		    GB_POOL_GANG_BROKEN);
}

/** A run takes its worker down with it. */
static void
run_crash(struct world *world, struct world_worker *worker,
    const struct world_run *run)
{
	const struct world_flow *flow;
	unsigned long back = CRASH_BACK_MS;

	HASH_FIND_STR(world->flows, run->flow, flow);
	if (flow != NULL)
		back = spec_number(flow->spec.spec, "back=", CRASH_BACK_MS);
	world_worker_crash(world, worker->number);
	worker->back_at = world->now + (gb_time)back * GB_MSEC;
}

/** Returns true when the run has ended, so that lists have changed. */
static bool
run_tick(struct world *world, struct world_worker *worker,
    struct world_run *run, gb_time passed)
{
	char flow[sizeof(run->flow)];
	uint32_t step = run->step;
	uint64_t number = run->number;
	bool fails;

	if (run->crashes && world->now - run->began >= CRASH_AFTER) {
		run_crash(world, worker, run);
		return true;
	}
	if (run->gang > 0 && !run->together &&
	    gang_members(world, run) >= run->gang)
		run->together = true;
	if (run->gang > 0 && !run->together) {
		if (world->now - run->began < GANG_WAIT)
			return false;
		run_end(world, worker, run, GB_POOL_GANG_INCOMPLETE);
		return true;
	}
	if (worker->still)
		return false;
	run->worked += (gb_time)((double)passed * worker->speed);
	if (run->worked / CHECKPOINT_WORK > 0)
		snprintf(run->checkpoint, sizeof(run->checkpoint), "%lld",
		    (long long)(run->worked / CHECKPOINT_WORK));
	fails = worker->failing || run->fails;
	if (run->worked < (fails ? run->work / 2 : run->work))
		return false;
	snprintf(flow, sizeof(flow), "%s", run->flow);
	run_end(world, worker, run, fails ? GB_POOL_FAILED : GB_POOL_DONE);
	gang_end(world, flow, step, number,
	    fails ? GB_POOL_GANG_BROKEN : GB_POOL_DONE);
	return true;
}

static void
worker_lapse(struct world *world, struct world_worker *worker)
{
	struct world_run *run;

	if (worker_clock(world, worker) <= worker->lease_end_ms)
		return;
	while ((run = TAILQ_FIRST(&worker->runs)) != NULL)
		run_break(world, worker, run, GB_POOL_LAPSED);
}

void
world_tick(struct world *world, gb_time now)
{
	gb_time passed = now - world->now;
	struct world_run *run;
	struct world_run *next;
	unsigned int i;

	world->now = now;
	for (i = 0; i < world->worker_count; i++) {
		struct world_worker *worker = world->workers[i];

		if (worker->back_at != 0 && worker->back_at <= now)
			world_worker_reborn(world, i);
		worker_lapse(world, worker);
		for (run = TAILQ_FIRST(&worker->runs); run != NULL;
		     run = next) {
			next = TAILQ_NEXT(run, next);
			if (run_tick(world, worker, run, passed))
				next = TAILQ_FIRST(&worker->runs);
		}
	}
}

/* Orders ------------------------------------------------------------------ */

/** What every call checks first; false when it is answered already. */
static bool
order_accept(struct world *world, struct world_worker *worker,
    const char *lifetime, uint64_t token, enum gb_pool_order_status *status,
    int64_t *clock_ms)
{
	*clock_ms = 0;
	if (worker == NULL || !worker->up) {
		*status = GB_POOL_ORDER_LOST;
		return false;
	}
	if (strcmp(lifetime, worker->id) != 0) {
		*status = GB_POOL_ORDER_WRONG_WORKER;
		return false;
	}
	*clock_ms = worker_clock(world, worker);
	if (token < worker->token) {
		*status = GB_POOL_ORDER_FENCED;
		return false;
	}
	worker->token = token;
	return true;
}

static void
lease_renew(const struct world *world, struct world_worker *worker,
    int64_t lease_end_ms)
{
	(void)world;
	if (lease_end_ms > worker->lease_end_ms)
		worker->lease_end_ms = lease_end_ms;
}

static struct world_run *
worker_run(const struct world_worker *worker, const struct gb_pool_run_id *id)
{
	struct world_run *run;

	TAILQ_FOREACH(run, &worker->runs, next)
	{
		if (run->number == id->run && run->step == id->step &&
		    run->index == id->index && strcmp(run->flow, id->flow) == 0)
			return run;
	}
	return NULL;
}

static struct world_run *
run_new(struct world *world, struct world_worker *worker,
    const struct gb_pool_order *order)
{
	struct world_run *run = gb_calloc(1, sizeof(*run));
	struct world_flow *flow;
	const gb_step *step;

	snprintf(run->flow, sizeof(run->flow), "%s", order->id.flow);
	run->step = order->id.step;
	run->index = order->id.index;
	run->number = order->id.run;
	run->began = world->now;
	run->crashes =
	    spec_number(order->spec, "crash=", UINT32_MAX) == order->id.index;
	run->work = (gb_time)spec_number(order->spec, "ms=", 500) * GB_MSEC;
	if (order->checkpoint != NULL)
		run->worked = strtol(order->checkpoint, NULL, 10) *
			      (gb_time)CHECKPOINT_WORK;
	if (world_task_of(world, run->flow, run->step, run->index, &flow) !=
	    NULL) {
		step = &flow->spec.steps.steps_val[run->step];
		run->res = step->res;
		run->gang = (step->flags & GB_STEP_GANG) != 0 ? step->count : 0;
		run->fails = run->index == 0 &&
			     flow->tasks[flow->first[run->step]].failures <
				 spec_number(order->spec, "fails=", 0);
	}
	gb_res_add(&worker->used, &run->res);
	TAILQ_INSERT_TAIL(&worker->runs, run, next);
	return run;
}

/** Whether a start has the ticket that it needs.  One of an earlier life of the
 * worker is turned away, which is not the sender's fault. */
static bool
ticket_holds(struct world *world, const struct world_worker *worker,
    const struct gb_pool_order *order)
{
	gb_time expires = 0;
	unsigned int incarnation = 0;

	if (order->ticket == NULL ||
	    sscanf(order->ticket, "%" SCNd64 ".%u", &expires, &incarnation) !=
		2 ||
	    expires < world->now) {
		world_fault(
		    world, &world->faults.ticket, "no ticket", order->id.flow);
		return false;
	}
	return incarnation == worker->incarnation;
}

void
world_start(struct world *world, const struct gb_pool_order *order,
    struct gb_pool_order_res *res)
{
	struct world_worker *worker = worker_at(world, order->addr);

	if (!order_accept(world, worker, order->worker, order->token,
		&res->status, &res->clock_ms))
		return;
	if (worker_run(worker, &order->id) != NULL) {
		res->status = GB_POOL_ORDER_DONE;
		return;
	}
	if (order->lease_end_ms <= res->clock_ms) {
		res->status = GB_POOL_ORDER_LEASE_EXPIRED;
		return;
	}
	lease_renew(world, worker, order->lease_end_ms);
	if (order->id.run <=
	    mark_get(worker, order->id.flow, order->id.step, order->id.index)
		->run) {
		res->status = GB_POOL_ORDER_STALE;
		return;
	}
	if (world->tickets && !ticket_holds(world, worker, order)) {
		res->status = GB_POOL_ORDER_NO_TICKET;
		return;
	}
	res->status = GB_POOL_ORDER_DONE;
	world_oracle_start(world, worker, run_new(world, worker, order));
}

void
world_stop(struct world *world, const struct gb_pool_order *order,
    struct gb_pool_order_res *res)
{
	struct world_worker *worker = worker_at(world, order->addr);
	struct world_mark *mark;
	struct world_run *run;

	if (!order_accept(world, worker, order->worker, order->token,
		&res->status, &res->clock_ms))
		return;
	res->status = GB_POOL_ORDER_DONE;
	run = worker_run(worker, &order->id);
	if (run != NULL) {
		run_break(world, worker, run, GB_POOL_STOPPED);
		return;
	}
	mark =
	    mark_get(worker, order->id.flow, order->id.step, order->id.index);
	if (order->id.run > mark->run)
		mark->run = order->id.run;
}

static void
ends_forget(struct world *world, struct world_worker *worker, uint64_t cursor)
{
	struct world_end *end;

	while ((end = TAILQ_FIRST(&worker->ends)) != NULL &&
	       end->seen.number <= cursor) {
		world_oracle_end_noted(world, end);
		TAILQ_REMOVE(&worker->ends, end, next);
		free(end);
	}
}

void
world_heartbeat(struct world *world, const struct gb_pool_heartbeat *heartbeat,
    struct gb_pool_report *report)
{
	struct world_worker *worker = worker_at(world, heartbeat->addr);
	const struct world_run *run;
	const struct world_end *end;
	unsigned int ends = 0;

	memset(report, 0, sizeof(*report));
	if (!order_accept(world, worker, heartbeat->worker, heartbeat->token,
		&report->status, &report->clock_ms))
		return;
	report->status = GB_POOL_ORDER_DONE;
	report->incarnation = world->reports_untold ? 0 : worker->born_ms;
	lease_renew(world, worker, heartbeat->lease_end_ms);
	ends_forget(world, worker, heartbeat->cursor);
	TAILQ_FOREACH(run, &worker->runs, next)
	{
		report->running_count++;
	}
	TAILQ_FOREACH(end, &worker->ends, next)
	{
		ends++;
	}
	report->running =
	    gb_calloc(report->running_count, sizeof(*report->running));
	report->ended = gb_calloc(ends, sizeof(*report->ended));
	report->running_count = 0;
	TAILQ_FOREACH(run, &worker->runs, next)
	{
		struct gb_pool_run_report *seen =
		    &report->running[report->running_count++];

		seen->step = run->step;
		seen->index = run->index;
		seen->run = run->number;
		seen->percent = run->work == 0
				    ? 0
				    : (uint32_t)(run->worked * 100 / run->work);
		snprintf(seen->flow, sizeof(seen->flow), "%s", run->flow);
		snprintf(seen->checkpoint, sizeof(seen->checkpoint), "%s",
		    run->checkpoint);
	}
	TAILQ_FOREACH(end, &worker->ends, next)
	{
		report->ended[report->ended_count++] = end->seen;
	}
}

void
world_report_free(struct gb_pool_report *report)
{
	free(report->running);
	free(report->ended);
}

/* Advice ------------------------------------------------------------------ */

/** Life of the worker with an id, for which a ticket holds. */
static unsigned int
worker_incarnation(const struct world *world, const char *id)
{
	unsigned int i;

	for (i = 0; i < world->worker_count; i++) {
		if (strcmp(world->workers[i]->id, id) == 0)
			return world->workers[i]->incarnation;
	}
	return 0;
}

void
world_advise(struct world *world, unsigned int percent, gb_time valid,
    const gb_advice_ask *ask, gb_advice_res *res)
{
	char text[48];
	u_int i;

	world->tickets = true;
	memset(res, 0, sizeof(*res));
	res->status = GB_ADVICE_OK;
	res->valid_us = valid;
	res->approved.approved_val =
	    gb_calloc(ask->workers.workers_len, sizeof(gb_ticket));
	for (i = 0; i < ask->workers.workers_len; i++) {
		const char *worker = ask->workers.workers_val[i];

		if (gb_hash_pair(ask->step, worker) % 100 >= percent)
			continue;
		snprintf(text, sizeof(text), "%" PRId64 ".%u",
		    world->now + valid, worker_incarnation(world, worker));
		res->approved.approved_val[res->approved.approved_len].worker =
		    gb_strdup(worker);
		res->approved.approved_val[res->approved.approved_len++]
		    .ticket = gb_strdup(text);
	}
}

void
world_advice_free(gb_advice_res *res)
{
	xdr_free((xdrproc_t)xdr_gb_advice_res, (char *)res);
}
