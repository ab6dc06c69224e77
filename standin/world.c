/**
 * @file world.c
 * Model of the users' platform: workers, their runs and the advice service.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include <uthash.h>

#include "world_state.h"

/** Minimum offset of a worker's clock from the model's clock. */
#define CLOCK_OFFSET_MS 500000
/** Clock reading of a worker right after a restart. */
#define CLOCK_RESTART_MS 40
/** Time of day when the model's clock reads 0. */
#define WORLD_EPOCH_MS INT64_C(1790000000000)
/** How long members of a gang wait for each other. */
#define GANG_WAIT (3 * GB_SEC)
/** Work between two checkpoints. */
#define CHECKPOINT_WORK (2 * GB_SEC)
/** Time until owners respect a lower capacity: workers are listed every 0.5 s,
 * and orders may be in flight. */
#define SHRINK_GRACE (600 * GB_MSEC)
/** Time from the start of a task until it crashes its worker. */
#define CRASH_AFTER (10 * GB_MSEC)
/** Time until a worker that a task crashed is replaced, unless the flow's
 * specification gives one. */
#define CRASH_BACK_MS 1300
/** Length of a long task, relative to others. */
#define LONG_TASK 7.0

struct world *
world_new(uint64_t seed)
{
	struct world *world = gb_calloc(1, sizeof(*world));

	world->seed = seed;
	world->shrink_grace = SHRINK_GRACE;
	TAILQ_INIT(&world->rows);
	return world;
}

static void
worker_clear(struct world_worker *worker)
{
	struct world_run *run;
	struct world_ended_run *end;
	struct world_last_run *last;
	struct world_last_run *next;

	while ((run = TAILQ_FIRST(&worker->runs)) != NULL) {
		TAILQ_REMOVE(&worker->runs, run, next);
		free(run);
	}
	while ((end = TAILQ_FIRST(&worker->ended_runs)) != NULL) {
		TAILQ_REMOVE(&worker->ended_runs, end, next);
		free(end);
	}
	HASH_ITER(hh, worker->last_runs, last, next)
	{
		HASH_DEL(worker->last_runs, last);
		free(last);
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

/** Start a new process, without the state of the previous one. */
static void
worker_process_start(struct world *world, struct world_worker *worker)
{
	worker->incarnation++;
	worker->started_ms =
	    WORLD_EPOCH_MS + world->clock_step_ms + world->now / GB_MSEC;
	worker->up = true;
	worker->replace_at = 0;
	worker->draining = false;
	worker->leaves_at = 0;
	worker->token = 0;
	worker->ended = 0;
	worker->acked = 0;
	worker->lease_end_ms = 0;
}

/** Give the worker an id that was never used, and a new clock offset. */
static void
worker_id_set(struct world *world, struct world_worker *worker)
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
	TAILQ_INIT(&worker->ended_runs);
	worker_id_set(world, worker);
	worker_process_start(world, worker);
	world->workers = gb_realloc(world->workers,
	    (world->worker_count + 1) * sizeof(struct world_worker *));
	world->workers[world->worker_count] = worker;
	return world->worker_count++;
}

void
world_worker_set_addr(
    struct world *world, unsigned int number, const char *addr)
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
world_worker_set_dc(struct world *world, unsigned int number, const char *dc)
{
	struct world_worker *worker = world->workers[number];

	snprintf(worker->dc, sizeof(worker->dc), "%s", dc);
}

void
world_checkpoints_resize(struct world *world, unsigned int bytes)
{
	world->checkpoint_bytes =
	    bytes < WORLD_CHECKPOINT_MAX ? bytes : WORLD_CHECKPOINT_MAX;
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
	entry->incarnation = world->entries_omit_start ? 0 : worker->started_ms;
	snprintf(entry->addr, sizeof(entry->addr), "%s", worker->addr);
	snprintf(entry->dc, sizeof(entry->dc), "%s", worker->dc);
	snprintf(entry->service, sizeof(entry->service), "%s", worker->service);
	snprintf(entry->label[0], sizeof(entry->label[0]), "%s", worker->rack);
	entry->label_count = 1;
	entry->capacity = worker->capacity;
	entry->draining = worker->draining;
	if (worker->leaves_at > world->now)
		entry->leaves_in = worker->leaves_at - world->now;
	entry->removed = !worker->up;
}

static void
worker_lose_runs(struct world *world, struct world_worker *worker)
{
	struct world_run *run;
	const struct world_ended_run *end;

	/* Recorded for all runs first: ending one run of a gang removes the
	 * other members from the list. */
	TAILQ_FOREACH(run, &worker->runs, next)
	{
		world_oracle_crash(world, worker, run);
	}
	while ((run = TAILQ_FIRST(&worker->runs)) != NULL) {
		struct world_run ended = *run;

		world_oracle_end(world, run, true, GB_POOL_LAPSED);
		TAILQ_REMOVE(&worker->runs, run, next);
		free(run);
		if (ended.gang > 0)
			gang_end(world, ended.flow, ended.step, ended.number,
			    GB_POOL_GANG_BROKEN);
	}
	TAILQ_FOREACH(end, &worker->ended_runs, next)
	{
		world_oracle_end_lost(world, end);
	}
	memset(&worker->used, 0, sizeof(worker->used));
	worker_clear(worker);
}

void
world_listed_ends_count(struct world *world)
{
	world->listed_ends_count = true;
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
world_worker_replace(struct world *world, unsigned int number)
{
	struct world_worker *worker = world->workers[number];

	worker_lose_runs(world, worker);
	worker_process_start(world, worker);
	worker_id_set(world, worker);
}

void
world_worker_restart(struct world *world, unsigned int number)
{
	struct world_worker *worker = world->workers[number];

	worker_lose_runs(world, worker);
	worker_process_start(world, worker);
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
world_lease_max_set(struct world *world, gb_time max)
{
	world->lease_max_ms = max / GB_MSEC;
}

void
world_start_times_omit(struct world *world, bool reports, bool entries)
{
	world->reports_omit_start = reports;
	world->entries_omit_start = entries;
}

void
world_clock_step(struct world *world, gb_time step)
{
	world->clock_step_ms += step / GB_MSEC;
}

void
world_worker_set_speed(struct world *world, unsigned int number, double speed)
{
	world->workers[number]->speed = speed;
}

void
world_gangs_wait_for_slowest(struct world *world)
{
	world->gangs_wait = true;
}

void
world_worker_resize(
    struct world *world, unsigned int number, const gb_res *capacity)
{
	struct world_worker *worker = world->workers[number];

	/* Of several reductions in a row, the highest capacity stays tolerated.
	 */
	if (world->now >= worker->shrunk_until ||
	    capacity->cpu > worker->capacity_before.cpu)
		worker->capacity_before = worker->capacity;
	if (capacity->cpu < worker->capacity.cpu)
		worker->shrunk_until = world->now + world->shrink_grace;
	worker->capacity = *capacity;
}

void
world_shrink_grace_set(struct world *world, gb_time after)
{
	world->shrink_grace = after;
}

void
world_worker_impair(
    struct world *world, unsigned int number, bool failing, bool stalled)
{
	world->workers[number]->failing = failing;
	world->workers[number]->stalled = stalled;
}

void
world_worker_drain(struct world *world, unsigned int number)
{
	world->workers[number]->draining = true;
}

void
world_worker_leave(struct world *world, unsigned int number, gb_time after)
{
	world_worker_drain(world, number);
	world->workers[number]->leaves_at = world->now + after;
}

void
world_worker_stay(struct world *world, unsigned int number)
{
	world->workers[number]->draining = false;
	world->workers[number]->leaves_at = 0;
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

/** Get the number that follows a name in a flow's specification. */
static unsigned long
spec_number(const char *spec, const char *name, unsigned long fallback)
{
	const char *at = strstr(spec, name);

	return at == NULL ? fallback : strtoul(at + strlen(name), NULL, 10);
}

/** Find the highest run of a task on a worker; added if there is none yet. */
static struct world_last_run *
last_run_get(struct world_worker *worker, const char *flow, uint32_t step,
    uint32_t index)
{
	struct world_last_run *last;
	char key[sizeof(last->key)];

	memset(key, 0, sizeof(key));
	snprintf(key, sizeof(key), "%.40s.%u.%u", flow, step, index);
	HASH_FIND_STR(worker->last_runs, key, last);
	if (last != NULL)
		return last;
	last = gb_calloc(1, sizeof(*last));
	memcpy(last->key, key, sizeof(key));
	HASH_ADD_STR(worker->last_runs, key, last);
	return last;
}

static void
run_end(struct world *world, struct world_worker *worker, struct world_run *run,
    enum gb_pool_outcome outcome)
{
	struct world_last_run *last =
	    last_run_get(worker, run->flow, run->step, run->index);
	struct world_ended_run *end = gb_calloc(1, sizeof(*end));

	world_oracle_end(world, run, false, outcome);
	end->report.number = ++worker->ended;
	end->report.step = run->step;
	end->report.index = run->index;
	end->report.run = run->number;
	end->report.outcome = outcome;
	snprintf(end->report.flow, sizeof(end->report.flow), "%s", run->flow);
	snprintf(
	    end->checkpoint, sizeof(end->checkpoint), "%s", run->checkpoint);
	end->report.checkpoint = end->checkpoint;
	TAILQ_INSERT_TAIL(&worker->ended_runs, end, next);
	if (run->number > last->run)
		last->run = run->number;
	gb_res_sub(&worker->used, &run->res);
	TAILQ_REMOVE(&worker->runs, run, next);
	free(run);
}

/** Count the members of a run's gang that run on any worker. */
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

/** End a run, and its gang with it, before its work is done. */
static void
run_abort(struct world *world, struct world_worker *worker,
    struct world_run *run, enum gb_pool_outcome outcome)
{
	struct world_run ended = *run;

	run_end(world, worker, run, outcome);
	if (ended.gang > 0)
		gang_end(world, ended.flow, ended.step, ended.number,
		    GB_POOL_GANG_BROKEN);
}

/** Whether all members of a run's gang have done their work. */
static bool
gang_worked(const struct world *world, const struct world_run *member)
{
	const struct world_run *run;
	unsigned int i;

	for (i = 0; i < world->worker_count; i++) {
		TAILQ_FOREACH(run, &world->workers[i]->runs, next)
		{
			if (run->number == member->number &&
			    run->step == member->step &&
			    strcmp(run->flow, member->flow) == 0 &&
			    run->worked < run->work)
				return false;
		}
	}
	return true;
}

/** Crash the worker of a run. */
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
	worker->replace_at = world->now + (gb_time)back * GB_MSEC;
}

/** Makes a checkpoint: a number, followed by what fills its length. */
static void
run_checkpoint(const struct world *world, struct world_run *run)
{
	int len = snprintf(run->checkpoint, sizeof(run->checkpoint), "%lld",
	    (long long)(run->worked / CHECKPOINT_WORK));
	int least = (int)world->checkpoint_bytes;

	if (len >= least)
		return;
	memset(run->checkpoint + len, '.', (size_t)(least - len));
	run->checkpoint[least] = '\0';
}

/** Advance a run.  Returns true if it has ended; lists of runs have changed
 * then. */
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
	if (run->gang > 0 && !run->gang_complete &&
	    gang_members(world, run) >= run->gang)
		run->gang_complete = true;
	if (run->gang > 0 && !run->gang_complete) {
		if (world->now - run->began < GANG_WAIT)
			return false;
		run_end(world, worker, run, GB_POOL_GANG_INCOMPLETE);
		return true;
	}
	if (worker->stalled)
		return false;
	run->worked += (gb_time)((double)passed * worker->speed);
	if (run->worked / CHECKPOINT_WORK > 0)
		run_checkpoint(world, run);
	fails = worker->failing || run->fails;
	if (run->worked < (fails ? run->work / 2 : run->work))
		return false;
	if (run->worked > run->work)
		run->worked = run->work;
	if (!fails && run->gang > 0 && world->gangs_wait &&
	    !gang_worked(world, run))
		return false;
	snprintf(flow, sizeof(flow), "%s", run->flow);
	run_end(world, worker, run, fails ? GB_POOL_FAILED : GB_POOL_DONE);
	gang_end(world, flow, step, number,
	    fails ? GB_POOL_GANG_BROKEN : GB_POOL_DONE);
	return true;
}

/** Abort a worker's runs once its lease has expired. */
static void
worker_lapse(struct world *world, struct world_worker *worker)
{
	struct world_run *run;

	if (worker_clock(world, worker) <= worker->lease_end_ms)
		return;
	while ((run = TAILQ_FIRST(&worker->runs)) != NULL)
		run_abort(world, worker, run, GB_POOL_LAPSED);
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

		if (worker->replace_at != 0 && worker->replace_at <= now)
			world_worker_replace(world, i);
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

/** Make the checks that all calls share: worker id and fencing token.  Returns
 * false if the call is rejected, with the status set. */
static bool
order_accept(struct world *world, struct world_worker *worker,
    const char *worker_id, uint64_t token, enum gb_pool_order_status *status,
    int64_t *clock_ms)
{
	*clock_ms = 0;
	if (worker == NULL || !worker->up) {
		*status = GB_POOL_ORDER_LOST;
		return false;
	}
	if (strcmp(worker_id, worker->id) != 0) {
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
	int64_t end_max_ms = worker_clock(world, worker) + world->lease_max_ms;

	if (world->lease_max_ms != 0 && lease_end_ms > end_max_ms)
		lease_end_ms = end_max_ms;
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

/** Length of a task relative to the others of its flow. */
static double
run_length(const struct gb_pool_order *order)
{
	double vary = (double)spec_number(order->spec, "vary=", 0) / 100;
	char task[2 * GB_NAME_MAX];
	uint64_t hash;

	snprintf(task, sizeof(task), "%s/%u/%u", order->id.flow, order->id.step,
	    order->id.index);
	hash = gb_hash(task, strlen(task));
	if (hash % 100 < spec_number(order->spec, "long=", 0))
		return LONG_TASK;
	return 1 + vary * ((double)(hash / 100 % 201) / 100 - 1);
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
	run->work = (gb_time)((double)spec_number(order->spec, "ms=", 500) *
			      GB_MSEC * run_length(order));
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

/** Whether a start has a valid ticket.  A missing or expired ticket is a
 * violation; one for an earlier incarnation of the worker is only rejected,
 * since its sender may not know of the restart. */
static bool
ticket_is_valid(struct world *world, const struct world_worker *worker,
    const struct gb_pool_order *order)
{
	gb_time expires = 0;
	unsigned int incarnation = 0;

	if (order->ticket == NULL ||
	    sscanf(order->ticket, "%" SCNd64 ".%u", &expires, &incarnation) !=
		2 ||
	    expires < world->now) {
		world_violation(world, &world->violations.ticket, "no ticket",
		    order->id.flow);
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
	if (order->id.run <= last_run_get(worker, order->id.flow,
				 order->id.step, order->id.index)
				 ->run) {
		res->status = GB_POOL_ORDER_STALE;
		return;
	}
	if (world->tickets_needed && !ticket_is_valid(world, worker, order)) {
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
	struct world_last_run *last;
	struct world_run *run;

	if (!order_accept(world, worker, order->worker, order->token,
		&res->status, &res->clock_ms))
		return;
	res->status = GB_POOL_ORDER_DONE;
	run = worker_run(worker, &order->id);
	if (run != NULL) {
		run_abort(world, worker, run, GB_POOL_STOPPED);
		return;
	}
	last = last_run_get(
	    worker, order->id.flow, order->id.step, order->id.index);
	if (order->id.run > last->run)
		last->run = order->id.run;
}

/** Drop the ended runs that the owner has acknowledged. */
static void
ended_runs_drop(
    struct world *world, struct world_worker *worker, uint64_t cursor)
{
	struct world_ended_run *end;

	while ((end = TAILQ_FIRST(&worker->ended_runs)) != NULL &&
	       end->report.number <= cursor) {
		world_oracle_end_acked(world, end);
		TAILQ_REMOVE(&worker->ended_runs, end, next);
		free(end);
	}
}

void
world_heartbeat(struct world *world, const struct gb_pool_heartbeat *heartbeat,
    struct gb_pool_report *report)
{
	struct world_worker *worker = worker_at(world, heartbeat->addr);
	const struct world_run *run;
	struct world_ended_run *end;
	unsigned int ends = 0;

	memset(report, 0, sizeof(*report));
	if (!order_accept(world, worker, heartbeat->worker, heartbeat->token,
		&report->status, &report->clock_ms))
		return;
	report->status = GB_POOL_ORDER_DONE;
	report->incarnation =
	    world->reports_omit_start ? 0 : worker->started_ms;
	lease_renew(world, worker, heartbeat->lease_end_ms);
	ended_runs_drop(world, worker, heartbeat->cursor);
	TAILQ_FOREACH(run, &worker->runs, next)
	{
		report->running_count++;
	}
	TAILQ_FOREACH(end, &worker->ended_runs, next)
	{
		ends++;
	}
	report->running =
	    gb_calloc(report->running_count, sizeof(*report->running));
	report->ended = gb_calloc(ends, sizeof(*report->ended));
	report->running_count = 0;
	TAILQ_FOREACH(run, &worker->runs, next)
	{
		struct gb_pool_run_report *run_report =
		    &report->running[report->running_count++];

		run_report->step = run->step;
		run_report->index = run->index;
		run_report->run = run->number;
		run_report->percent =
		    run->work == 0 ? 0
				   : (uint32_t)(run->worked * 100 / run->work);
		snprintf(run_report->flow, sizeof(run_report->flow), "%s",
		    run->flow);
		run_report->checkpoint = run->checkpoint;
	}
	TAILQ_FOREACH(end, &worker->ended_runs, next)
	{
		report->ended[report->ended_count++] = end->report;
		end->listed = true;
	}
}

void
world_report_free(struct gb_pool_report *report)
{
	free(report->running);
	free(report->ended);
}

/* Advice ------------------------------------------------------------------ */

/** Incarnation of the worker with an id, written into tickets; 0: unknown. */
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

	world->tickets_needed = true;
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
