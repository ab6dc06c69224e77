/**
 * @file pool.c
 * gooseberry-bench-pool: measures the cost of the owner of a pool, by numbers
 * of workers, organisations and keys: processor time for each start and for the
 * longest tick, and memory.  The pool runs on a virtual clock against a
 * simulated platform in this process, whose processor time is subtracted.
 */
#include <argp.h>
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "world.h"

/** Virtual time that is measured, and virtual time that runs before it without
 * being measured. */
#define MEASURE_TIME (6 * GB_SEC)
#define WARM_UP_TIME (2 * GB_SEC)
/** Starts per second and worker: about 7,900 a second on 18,000 workers. */
#define STARTS_PER_WORKER 0.44
/** Delay of all answers but those to heartbeats. */
#define ANSWER_DELAY (5 * GB_MSEC)
/** Delay of the answers to heartbeats; the end of a run is reported at most
 * this late. */
#define HEARTBEAT_DELAY (50 * GB_MSEC)
/** Runs that a worker can have at a time. */
#define RUNS_MAX 64
/** Other members of the cluster, and the interval at which they are reported to
 * be reachable. */
#define MEMBERS 90
#define MEMBERS_INTERVAL (500 * GB_MSEC)
/** One flow in this many is an import of IMPORT_TASKS tasks; the others are
 * lookups of LOOKUP_TASKS. */
#define IMPORT_PERIOD 10
#define IMPORT_TASKS 25
#define LOOKUP_TASKS 3
/** Run time of a task of each. */
#define IMPORT_TIME (2700 * GB_MSEC)
#define LOOKUP_TIME (800 * GB_MSEC)
/** Mean number of tasks of a flow. */
#define STARTS_PER_FLOW                                        \
	((IMPORT_TASKS + LOOKUP_TASKS * (IMPORT_PERIOD - 1)) / \
	    (double)IMPORT_PERIOD)
/** One flow in this many belongs to the first organisation, which therefore has
 * the most load. */
#define HOT_ORG_PERIOD 2

enum event_kind {
	EVENT_TXN,
	EVENT_READ,
	EVENT_START,
	EVENT_STOP,
	EVENT_HEARTBEAT,
	EVENT_ADVISE
};

/** An answer of the platform, and when it is delivered. */
struct event {
	gb_time due;
	enum event_kind kind;
	uint64_t call;
	uint32_t worker;
	struct gb_pool_txn_res txn;
	struct gb_pool_read_res read;
	gb_advice_res advice;
};

/** A run on a simulated worker. */
struct sim_run {
	struct gb_pool_run_report report;
	gb_time end_at;
};

struct sim_worker {
	struct sim_run runs[RUNS_MAX];
	uint32_t count;
	uint64_t last_end; /**< number of the last end that was reported */
};

/** Answers in the order in which they are due, in a ring buffer that grows. */
struct ring {
	struct event *events;
	size_t first;
	size_t count;
	size_t size;
};

/** A pool, its simulated platform, and what is measured. */
struct bench {
	struct gb_pool *pool;
	struct world *tables; /**< tables and advice of the platform */
	struct sim_worker *workers;
	uint32_t worker_count;
	struct ring answers;	/**< due after ANSWER_DELAY */
	struct ring heartbeats; /**< due after HEARTBEAT_DELAY */
	gb_time now;
	gb_time cpu_ns;		 /**< processor time of the pool */
	gb_time platform_ns;	 /**< time of the platform, to subtract */
	gb_time longest_tick_ns; /**< processor time */
	uint64_t accepted;
	uint64_t refused;
};

static gb_time
clock_ns(clockid_t clock)
{
	struct timespec ts;

	clock_gettime(clock, &ts);
	return (gb_time)ts.tv_sec * 1000000000 + ts.tv_nsec;
}

/** Processor time of this thread. */
static gb_time
cpu_ns(void)
{
	return clock_ns(CLOCK_THREAD_CPUTIME_ID);
}

/** Elapsed time.  It is faster to read than the processor time, and so used for
 * the short times that are subtracted. */
static gb_time
monotonic_ns(void)
{
	return clock_ns(CLOCK_MONOTONIC);
}

static void
ring_grow(struct ring *ring)
{
	size_t size = ring->size * 2 + 1024;
	struct event *events = gb_calloc(size, sizeof(*events));
	size_t i;

	for (i = 0; i < ring->count; i++)
		events[i] = ring->events[(ring->first + i) % ring->size];
	free(ring->events);
	ring->events = events;
	ring->size = size;
	ring->first = 0;
}

static struct event *
event_add(struct bench *bench, enum event_kind kind, uint64_t call)
{
	struct ring *ring =
	    kind == EVENT_HEARTBEAT ? &bench->heartbeats : &bench->answers;
	struct event *event;

	if (ring->count == ring->size)
		ring_grow(ring);
	event = &ring->events[(ring->first + ring->count++) % ring->size];
	memset(event, 0, sizeof(*event));
	event->kind = kind;
	event->call = call;
	event->due = bench->now +
		     (kind == EVENT_HEARTBEAT ? HEARTBEAT_DELAY : ANSWER_DELAY);
	return event;
}

/* Operations of the pool -------------------------------------------------- */

/** Number of a worker, from its id. */
static uint32_t
worker_number(const char *id)
{
	return (uint32_t)strtoul(id + 2, NULL, 10);
}

static void
op_start(void *data, uint64_t call, const struct gb_pool_order *order)
{
	struct bench *bench = data;
	gb_time began = monotonic_ns();
	struct event *event = event_add(bench, EVENT_START, call);
	struct sim_worker *worker;
	struct sim_run *run;

	event->worker = worker_number(order->worker);
	worker = &bench->workers[event->worker];
	if (worker->count == RUNS_MAX) {
		fprintf(stderr, "pool: a worker has too many runs\n");
		exit(1);
	}
	run = &worker->runs[worker->count++];
	memset(run, 0, sizeof(*run));
	snprintf(
	    run->report.flow, sizeof(run->report.flow), "%s", order->id.flow);
	run->report.step = order->id.step;
	run->report.index = order->id.index;
	run->report.run = order->id.run;
	run->end_at = bench->now + ANSWER_DELAY +
		      (order->spec[0] == 'i' ? IMPORT_TIME : LOOKUP_TIME);
	bench->platform_ns += monotonic_ns() - began;
}

static void
op_stop(void *data, uint64_t call, const struct gb_pool_order *order)
{
	event_add(data, EVENT_STOP, call)->worker =
	    worker_number(order->worker);
}

static void
op_heartbeat(
    void *data, uint64_t call, const struct gb_pool_heartbeat *heartbeat)
{
	struct bench *bench = data;
	gb_time began = monotonic_ns();
	struct event *event = event_add(bench, EVENT_HEARTBEAT, call);

	event->worker = worker_number(heartbeat->worker);
	bench->platform_ns += monotonic_ns() - began;
}

static void
op_advise(
    void *data, uint64_t call, const char *member, const gb_advice_ask *ask)
{
	struct bench *bench = data;
	gb_time began = monotonic_ns();
	struct event *event = event_add(bench, EVENT_ADVISE, call);

	(void)member;
	world_advise(bench->tables, 60, 5 * GB_SEC, ask, &event->advice);
	bench->platform_ns += monotonic_ns() - began;
}

static void
op_txn(void *data, uint64_t call, const struct gb_pool_txn *txn)
{
	struct bench *bench = data;
	gb_time began = monotonic_ns();

	world_txn(bench->tables, txn, &event_add(bench, EVENT_TXN, call)->txn);
	bench->platform_ns += monotonic_ns() - began;
}

static void
op_read(void *data, uint64_t call, const struct gb_pool_read *read)
{
	struct bench *bench = data;
	gb_time began = monotonic_ns();

	world_read(
	    bench->tables, read, &event_add(bench, EVENT_READ, call)->read);
	bench->platform_ns += monotonic_ns() - began;
}

static void
op_answer(void *data, uint64_t token, const gb_flow_answer *answer)
{
	struct bench *bench = data;

	(void)token;
	if (answer->verdict == GB_FLOW_ACCEPTED)
		bench->accepted++;
	else
		bench->refused++;
}

static void
op_owner(void *data, bool owns, uint64_t epoch)
{
	(void)data;
	(void)owns;
	(void)epoch;
}

/* Answers ----------------------------------------------------------------- */

/** Report the runs of a worker to the pool, and remove those that have ended.
 */
static void
heartbeat_answer(struct bench *bench, const struct event *event)
{
	struct sim_worker *worker = &bench->workers[event->worker];
	struct gb_pool_run_report running[RUNS_MAX];
	struct gb_pool_run_report ended[RUNS_MAX];
	struct gb_pool_report report = {0};
	gb_time began = monotonic_ns();
	uint32_t i = 0;

	report.clock_ms = bench->now / GB_MSEC;
	report.running = running;
	report.ended = ended;
	while (i < worker->count) {
		struct sim_run *run = &worker->runs[i];

		if (run->end_at > bench->now) {
			running[report.running_count++] = run->report;
			i++;
			continue;
		}
		run->report.outcome = GB_POOL_DONE;
		run->report.number = ++worker->last_end;
		ended[report.ended_count++] = run->report;
		*run = worker->runs[--worker->count];
	}
	bench->platform_ns += monotonic_ns() - began;
	gb_pool_heartbeat_done(bench->pool, bench->now, event->call, &report);
}

static void
event_answer(struct bench *bench, struct event *event)
{
	const struct gb_pool_order_res done = {
	    .status = GB_POOL_ORDER_DONE, .clock_ms = bench->now / GB_MSEC};
	struct gb_pool *pool = bench->pool;

	switch (event->kind) {
	case EVENT_TXN:
		gb_pool_txn_done(pool, bench->now, event->call, &event->txn);
		world_txn_free(&event->txn);
		break;
	case EVENT_READ:
		gb_pool_read_done(pool, bench->now, event->call, &event->read);
		world_read_free(&event->read);
		break;
	case EVENT_START:
		gb_pool_start_done(pool, bench->now, event->call, &done);
		break;
	case EVENT_STOP:
		gb_pool_stop_done(pool, bench->now, event->call, &done);
		break;
	case EVENT_HEARTBEAT:
		heartbeat_answer(bench, event);
		break;
	case EVENT_ADVISE:
		gb_pool_advise_done(
		    pool, bench->now, event->call, &event->advice);
		world_advice_free(&event->advice);
		break;
	}
}

/** Deliver the answers that are due. */
static void
ring_deliver(struct bench *bench, struct ring *ring)
{
	while (ring->count > 0 && ring->events[ring->first].due <= bench->now) {
		struct event event = ring->events[ring->first];

		ring->first = (ring->first + 1) % ring->size;
		ring->count--;
		event_answer(bench, &event);
	}
}

/* Measurement ------------------------------------------------------------- */

/** Configuration with two queues, and with keys spread over organisations. */
static struct gb_pool_config *
config_make(uint32_t orgs, uint32_t keys)
{
	struct gb_pool_config *config = gb_pool_config_new(2, 0);
	struct gb_pool_org org = {.weight = 10};
	char key[32];
	uint32_t i;
	uint32_t j;

	config->version = 1;
	gb_pool_config_orgs_alloc(config, orgs);
	for (i = 0; i < orgs; i++) {
		snprintf(org.name, sizeof(org.name), "org-%u", i);
		gb_pool_config_org_add(config, &org);
		for (j = 0; j < keys / orgs; j++) {
			snprintf(key, sizeof(key), "key-%u-%u", i, j);
			gb_pool_config_key_add(config, key);
		}
	}
	for (i = 0; i < 2; i++) {
		struct gb_pool_queue *queue = &config->queues[i];

		snprintf(queue->name, sizeof(queue->name), "%s",
		    i == 0 ? "lookup" : "import");
		snprintf(queue->service, sizeof(queue->service), "svc");
		queue->max_attempts = 3;
		queue->objective_factor = i == 0 ? 1.5 : 4.0;
		queue->objective_base_us = (i == 0 ? 300 : 3000) * GB_MSEC;
		queue->advice.needed = true;
		queue->advice.valid_us = 5 * GB_SEC;
	}
	gb_pool_config_seal(config);
	return config;
}

/** Give the pool the list of workers. */
static void
workers_report(struct bench *bench)
{
	struct gb_pool_entry *entries =
	    gb_calloc(bench->worker_count, sizeof(*entries));
	uint32_t i;

	for (i = 0; i < bench->worker_count; i++) {
		struct gb_pool_entry *entry = &entries[i];

		snprintf(entry->id, sizeof(entry->id), "w-%u", i);
		snprintf(entry->addr, sizeof(entry->addr), "10.%u.%u.%u:80",
		    i >> 16, i >> 8 & 255, i & 255);
		snprintf(entry->dc, sizeof(entry->dc), "dc");
		snprintf(entry->service, sizeof(entry->service), "svc");
		entry->capacity.cpu = 16000;
		entry->capacity.mem = 65536;
	}
	gb_pool_workers_update(
	    bench->pool, bench->now, entries, bench->worker_count, true);
	free(entries);
}

/** Report all members as reachable; the pool calls the advice service through
 * them. */
static void
members_report(struct bench *bench)
{
	char member[32];
	int i;

	for (i = 0; i < MEMBERS; i++) {
		snprintf(member, sizeof(member), "10.9.0.%d:70", i);
		gb_pool_member_update(bench->pool, bench->now, member, true);
	}
}

/** Submit a flow; its number decides its queue and its organisation. */
static void
flow_submit(struct bench *bench, uint64_t number, uint32_t orgs)
{
	bool import = number % IMPORT_PERIOD == 0;
	gb_step step = {0};
	gb_flow_submit submit = {0};
	char id[32];
	char org[32];
	char empty[] = "";
	char names[4][8] = {"lookup", "import", "svc", "i"};

	/* A large odd factor spreads the ids and keeps them distinct. */
	snprintf(id, sizeof(id), "%016" PRIx64, number * 0x9e3779b97f4a7c15);
	snprintf(org, sizeof(org), "org-%u",
	    number % HOT_ORG_PERIOD == 0 ? 0 : (uint32_t)(number % orgs));
	names[3][0] = import ? 'i' : 'l';
	step.count = import ? IMPORT_TASKS : LOOKUP_TASKS;
	step.res.cpu = import ? 1700 : 2500;
	step.res.mem = 4000;
	step.estimate_us = import ? IMPORT_TIME : LOOKUP_TIME;
	step.label = empty;
	step.rack = empty;
	submit.caller.config = 1;
	submit.caller.org = org;
	submit.flow.id = id;
	submit.flow.queue = names[import];
	submit.flow.service = names[2];
	submit.flow.spec = names[3];
	submit.flow.org = org;
	submit.flow.max_attempts = 3;
	submit.flow.submitted_us = bench->now;
	submit.flow.steps.steps_len = 1;
	submit.flow.steps.steps_val = &step;
	gb_pool_submit(bench->pool, bench->now, number + 1, &submit);
}

/** Submit the flows from first to before end, and run a tick. */
static void
bench_tick(struct bench *bench, uint64_t first, uint64_t end, uint32_t orgs)
{
	gb_time began = cpu_ns();
	gb_time platform_before_ns = bench->platform_ns;
	gb_time tick_cpu_ns;

	for (; first < end; first++)
		flow_submit(bench, first, orgs);
	bench->now += GB_POOL_TICK_US;
	ring_deliver(bench, &bench->answers);
	ring_deliver(bench, &bench->heartbeats);
	gb_pool_tick(bench->pool, bench->now, bench->now);
	tick_cpu_ns =
	    cpu_ns() - began - (bench->platform_ns - platform_before_ns);
	bench->cpu_ns += tick_cpu_ns;
	if (tick_cpu_ns > bench->longest_tick_ns)
		bench->longest_tick_ns = tick_cpu_ns;
}

static void
bench_setup(struct bench *bench, uint32_t workers, uint32_t orgs, uint32_t keys)
{
	const struct gb_pool_ops ops = {op_start, op_stop, op_heartbeat,
	    op_advise, op_txn, op_read, op_answer, op_owner, NULL, bench};
	struct gb_pool_config *config = config_make(orgs, keys);
	struct gb_pool_settings settings = {.name = "bench",
	    .addr = "10.0.0.1:70",
	    .incarnation = 1,
	    .seed = 1,
	    .limits = {.lease_us = 6 * GB_SEC,
		.stop_us = 400 * GB_MSEC,
		.keep_us = 120 * GB_SEC}};

	bench->now = 100 * GB_SEC;
	bench->worker_count = workers;
	bench->workers = gb_calloc(workers, sizeof(*bench->workers));
	bench->tables = world_new(1);
	bench->pool = gb_pool_new(&settings, &ops, bench->now);
	gb_pool_configure(bench->pool, bench->now, config);
	gb_pool_config_unref(config);
	members_report(bench);
	gb_pool_acquire(
	    bench->pool, bench->now, UINT64_MAX, TAKEOVER_SILENT_OWNER);
	workers_report(bench);
}

static void
ring_free(struct ring *ring)
{
	size_t i;

	for (i = 0; i < ring->count; i++) {
		struct event *event =
		    &ring->events[(ring->first + i) % ring->size];

		if (event->kind == EVENT_TXN)
			world_txn_free(&event->txn);
		else if (event->kind == EVENT_READ)
			world_read_free(&event->read);
		else if (event->kind == EVENT_ADVISE)
			world_advice_free(&event->advice);
	}
	free(ring->events);
}

static void
bench_teardown(struct bench *bench)
{
	gb_pool_unref(bench->pool);
	ring_free(&bench->answers);
	ring_free(&bench->heartbeats);
	world_free(bench->tables);
	free(bench->workers);
}

/** Bytes that are allocated, including separately mapped blocks. */
static size_t
memory_used(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

/** Run a pool and print its cost and memory. */
static void
measure_pool(uint32_t workers, uint32_t orgs, uint32_t keys)
{
	double flow_interval_us =
	    GB_SEC / (STARTS_PER_WORKER * workers / STARTS_PER_FLOW);
	struct bench bench = {0};
	size_t memory_before = memory_used();
	uint64_t starts = 0;
	uint64_t number = 0;
	uint64_t first;
	double next_flow_us = 0;
	gb_time at;
	size_t idle_bytes;

	bench_setup(&bench, workers, orgs, keys);
	idle_bytes =
	    memory_used() - memory_before - workers * sizeof(struct sim_worker);
	for (at = 0; at < WARM_UP_TIME + MEASURE_TIME; at += GB_POOL_TICK_US) {
		if (at == WARM_UP_TIME) {
			bench.cpu_ns = 0;
			bench.longest_tick_ns = 0;
			starts = gb_pool_stats(bench.pool)->starts;
		}
		if (at % MEMBERS_INTERVAL == 0)
			members_report(&bench);
		for (first = number; at >= GB_SEC && next_flow_us <= (double)at;
		     next_flow_us += flow_interval_us)
			number++;
		next_flow_us =
		    next_flow_us < (double)at ? (double)at : next_flow_us;
		bench_tick(&bench, first, number, orgs);
	}
	starts = gb_pool_stats(bench.pool)->starts - starts;
	printf("pool workers=%u orgs=%u keys=%u starts_per_s=%.0f "
	       "us_per_start=%.1f core=%.3f longest_tick_ms=%.1f "
	       "accepted=%" PRIu64 " refused=%" PRIu64 " idle_kb=%zu\n",
	    workers, orgs, keys, (double)starts * GB_SEC / MEASURE_TIME,
	    (double)bench.cpu_ns / 1000 / (double)(starts + 1),
	    (double)bench.cpu_ns / 1000 / MEASURE_TIME,
	    (double)bench.longest_tick_ns / 1e6, bench.accepted, bench.refused,
	    idle_bytes / 1024);
	fflush(stdout);
	bench_teardown(&bench);
}

int
main(int argc, char **argv)
{
	static const struct argp argp = {NULL, NULL, NULL,
	    "Measure the decisions of a pool's owner.", NULL, NULL, NULL};
	static const uint32_t workers[] = {350, 3000, 18000};
	size_t i;

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	for (i = 0; i < sizeof(workers) / sizeof(workers[0]); i++) {
		measure_pool(workers[i], 1, 1);
		measure_pool(workers[i], 20, 40);
		measure_pool(workers[i], 140, 10000);
	}
	return 0;
}
