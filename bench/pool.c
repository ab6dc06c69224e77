/**
 * @file pool.c
 * Measures the decisions of a pool's owner: processor time for each start and
 * for the longest call, and memory, by workers, organisations and keys.  The
 * clock is virtual and the platform is a fake one within this process, whose
 * time is not counted.
 */
#include <argp.h>
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "world.h"

/** Length of a play in virtual time, and of what goes before it is measured. */
#define PLAY (6 * GB_SEC)
#define WARM_UP (2 * GB_SEC)
/** Starts a second for each worker: 7,900 on 18,000. */
#define STARTS_PER_WORKER 0.44
/** Answers of the platform come after this. */
#define WIRE (5 * GB_MSEC)
/** An end is told this late at the most. */
#define HEARTBEAT_TURNAROUND (50 * GB_MSEC)
#define RUNS_MOST 64
#define MEMBERS 90
#define MEMBERS_EACH (500 * GB_MSEC)
/** One flow in so many is an import of 25 tasks; the others are lookups of 3.
 */
#define IMPORT_EACH 10
#define IMPORT_TASKS 25
#define LOOKUP_TASKS 3
#define STARTS_PER_FLOW                                      \
	((IMPORT_TASKS + LOOKUP_TASKS * (IMPORT_EACH - 1)) / \
	    (double)IMPORT_EACH)
/** Every second flow is the first organisation's, the hot one. */
#define HOT_EACH 2

enum kind { TXN, READ, START, STOP, HEARTBEAT, ADVISE };

/** An answer that is due. */
struct event {
	gb_time due;
	enum kind kind;
	uint64_t call;
	uint32_t worker;
	struct gb_pool_txn_res txn;
	struct gb_pool_read_res read;
	gb_advice_res advice;
};

struct fake_run {
	struct gb_pool_run_report seen;
	gb_time ends;
};

struct fake_worker {
	struct fake_run runs[RUNS_MOST];
	uint32_t count;
	uint64_t ends; /**< number of the last end */
};

/** Answers in the order in which they are due. */
struct ring {
	struct event *events;
	size_t first;
	size_t count;
	size_t size;
};

struct play {
	struct gb_pool *pool;
	struct world *tables;
	struct fake_worker *workers;
	uint32_t worker_count;
	struct ring quick;	/**< answers after WIRE */
	struct ring heartbeats; /**< answers after HEARTBEAT_TURNAROUND */
	gb_time now;
	gb_time cpu;	 /**< spent in the pool, since measured */
	gb_time outside; /**< of it, in this file */
	gb_time longest; /**< tick */
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

/** Processor time of this process. */
static gb_time
cpu_ns(void)
{
	return clock_ns(CLOCK_THREAD_CPUTIME_ID);
}

/** Quick to ask, for the short times that are taken off. */
static gb_time
quick_ns(void)
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
event_add(struct play *play, enum kind kind, uint64_t call)
{
	struct ring *ring =
	    kind == HEARTBEAT ? &play->heartbeats : &play->quick;
	struct event *event;

	if (ring->count == ring->size)
		ring_grow(ring);
	event = &ring->events[(ring->first + ring->count++) % ring->size];
	memset(event, 0, sizeof(*event));
	event->kind = kind;
	event->call = call;
	event->due =
	    play->now + (kind == HEARTBEAT ? HEARTBEAT_TURNAROUND : WIRE);
	return event;
}

/* What the pool asks for -------------------------------------------------- */

static uint32_t
worker_number(const char *id)
{
	return (uint32_t)strtoul(id + 2, NULL, 10);
}

static void
op_start(void *data, uint64_t call, const struct gb_pool_order *order)
{
	struct play *play = data;
	gb_time began = quick_ns();
	struct event *event = event_add(play, START, call);
	struct fake_worker *worker;
	struct fake_run *run;

	event->worker = worker_number(order->worker);
	worker = &play->workers[event->worker];
	if (worker->count == RUNS_MOST) {
		fprintf(stderr, "pool: a worker holds too many runs\n");
		exit(1);
	}
	run = &worker->runs[worker->count++];
	memset(run, 0, sizeof(*run));
	snprintf(run->seen.flow, sizeof(run->seen.flow), "%s", order->id.flow);
	run->seen.step = order->id.step;
	run->seen.index = order->id.index;
	run->seen.run = order->id.run;
	run->ends =
	    play->now + WIRE + (order->spec[0] == 'i' ? 2700 : 800) * GB_MSEC;
	play->outside += quick_ns() - began;
}

static void
op_stop(void *data, uint64_t call, const struct gb_pool_order *order)
{
	event_add(data, STOP, call)->worker = worker_number(order->worker);
}

static void
op_heartbeat(
    void *data, uint64_t call, const struct gb_pool_heartbeat *heartbeat)
{
	struct play *play = data;
	gb_time began = quick_ns();
	struct event *event = event_add(play, HEARTBEAT, call);

	event->worker = worker_number(heartbeat->worker);
	play->outside += quick_ns() - began;
}

static void
op_advise(
    void *data, uint64_t call, const char *member, const gb_advice_ask *ask)
{
	struct play *play = data;
	gb_time began = quick_ns();
	struct event *event = event_add(play, ADVISE, call);

	(void)member;
	world_advise(play->tables, 60, 5 * GB_SEC, ask, &event->advice);
	play->outside += quick_ns() - began;
}

static void
op_txn(void *data, uint64_t call, const struct gb_pool_txn *txn)
{
	struct play *play = data;
	gb_time began = quick_ns();

	world_txn(play->tables, txn, &event_add(play, TXN, call)->txn);
	play->outside += quick_ns() - began;
}

static void
op_read(void *data, uint64_t call, const struct gb_pool_read *read)
{
	struct play *play = data;
	gb_time began = quick_ns();

	world_read(play->tables, read, &event_add(play, READ, call)->read);
	play->outside += quick_ns() - began;
}

static void
op_answer(void *data, uint64_t token, const gb_flow_answer *answer)
{
	struct play *play = data;

	(void)token;
	if (answer->verdict == GB_FLOW_ACCEPTED)
		play->accepted++;
	else
		play->refused++;
}

static void
op_owner(void *data, bool owns, uint64_t epoch)
{
	(void)data;
	(void)owns;
	(void)epoch;
}

/* Answers ----------------------------------------------------------------- */

/** Ends that are due go to the end of the worker's list of runs. */
static void
heartbeat_answer(struct play *play, const struct event *event)
{
	struct fake_worker *worker = &play->workers[event->worker];
	struct gb_pool_run_report running[RUNS_MOST];
	struct gb_pool_run_report ended[RUNS_MOST];
	struct gb_pool_report report = {0};
	gb_time began = quick_ns();
	uint32_t i = 0;

	report.clock_ms = play->now / GB_MSEC;
	report.running = running;
	report.ended = ended;
	while (i < worker->count) {
		struct fake_run *run = &worker->runs[i];

		if (run->ends > play->now) {
			running[report.running_count++] = run->seen;
			i++;
			continue;
		}
		run->seen.outcome = GB_POOL_DONE;
		run->seen.number = ++worker->ends;
		ended[report.ended_count++] = run->seen;
		*run = worker->runs[--worker->count];
	}
	play->outside += quick_ns() - began;
	gb_pool_heartbeat_done(play->pool, play->now, event->call, &report);
}

static void
event_answer(struct play *play, struct event *event)
{
	const struct gb_pool_order_res done = {
	    .status = GB_POOL_ORDER_DONE, .clock_ms = play->now / GB_MSEC};
	struct gb_pool *pool = play->pool;

	switch (event->kind) {
	case TXN:
		gb_pool_txn_done(pool, play->now, event->call, &event->txn);
		world_txn_free(&event->txn);
		break;
	case READ:
		gb_pool_read_done(pool, play->now, event->call, &event->read);
		world_read_free(&event->read);
		break;
	case START:
		gb_pool_start_done(pool, play->now, event->call, &done);
		break;
	case STOP:
		gb_pool_stop_done(pool, play->now, event->call, &done);
		break;
	case HEARTBEAT:
		heartbeat_answer(play, event);
		break;
	case ADVISE:
		gb_pool_advise_done(
		    pool, play->now, event->call, &event->advice);
		world_advice_free(&event->advice);
		break;
	}
}

static void
ring_run(struct play *play, struct ring *ring)
{
	while (ring->count > 0 && ring->events[ring->first].due <= play->now) {
		struct event event = ring->events[ring->first];

		ring->first = (ring->first + 1) % ring->size;
		ring->count--;
		event_answer(play, &event);
	}
}

/* Play -------------------------------------------------------------------- */

static struct gb_pool_config *
config_make(uint32_t orgs, uint32_t keys)
{
	struct gb_pool_config *config = gb_pool_config_new(2, 0);
	struct gb_pool_org org = {.weight = 10};
	char key[32];
	uint32_t i;
	uint32_t j;

	config->version = 1;
	gb_pool_config_orgs(config, orgs);
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
		queue->stretch = i == 0 ? 1.5 : 4.0;
		queue->target_us = (i == 0 ? 300 : 3000) * GB_MSEC;
		queue->advice.needed = true;
		queue->advice.valid_us = 5 * GB_SEC;
	}
	gb_pool_config_seal(config);
	return config;
}

static void
workers_list(struct play *play)
{
	struct gb_pool_entry *entries =
	    gb_calloc(play->worker_count, sizeof(*entries));
	uint32_t i;

	for (i = 0; i < play->worker_count; i++) {
		struct gb_pool_entry *entry = &entries[i];

		snprintf(entry->id, sizeof(entry->id), "w-%u", i);
		snprintf(entry->addr, sizeof(entry->addr), "10.%u.%u.%u:80",
		    i >> 16, i >> 8 & 255, i & 255);
		snprintf(entry->dc, sizeof(entry->dc), "dc");
		snprintf(entry->service, sizeof(entry->service), "svc");
		entry->capacity.cpu = 16000;
		entry->capacity.mem = 65536;
	}
	gb_pool_workers(
	    play->pool, play->now, entries, play->worker_count, true);
	free(entries);
}

/** Members ask the advice service; each is heard of now and then. */
static void
members_list(struct play *play)
{
	char member[32];
	int i;

	for (i = 0; i < MEMBERS; i++) {
		snprintf(member, sizeof(member), "10.9.0.%d:70", i);
		gb_pool_member(play->pool, play->now, member, true);
	}
}

static void
flow_submit(struct play *play, uint64_t number, uint32_t orgs)
{
	bool import = number % IMPORT_EACH == 0;
	gb_step step = {0};
	gb_flow_submit submit = {0};
	char id[32];
	char org[32];
	char empty[] = "";
	char names[4][8] = {"lookup", "import", "svc", "i"};

	snprintf(id, sizeof(id), "%016" PRIx64, number * 0x9e3779b97f4a7c15);
	snprintf(org, sizeof(org), "org-%u",
	    number % HOT_EACH == 0 ? 0 : (uint32_t)(number % orgs));
	names[3][0] = import ? 'i' : 'l';
	step.count = import ? IMPORT_TASKS : LOOKUP_TASKS;
	step.res.cpu = import ? 1700 : 2500;
	step.res.mem = 4000;
	step.estimate_us = (import ? 2700 : 800) * GB_MSEC;
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
	submit.flow.submitted_us = play->now;
	submit.flow.steps.steps_len = 1;
	submit.flow.steps.steps_val = &step;
	gb_pool_submit(play->pool, play->now, number + 1, &submit);
}

/** Let a tick pass, with the flows that come in it. */
static void
play_step(struct play *play, uint64_t first, uint64_t end, uint32_t orgs)
{
	gb_time began = cpu_ns();
	gb_time outside = play->outside;
	gb_time took;

	for (; first < end; first++)
		flow_submit(play, first, orgs);
	play->now += GB_POOL_TICK_US;
	ring_run(play, &play->quick);
	ring_run(play, &play->heartbeats);
	gb_pool_tick(play->pool, play->now, play->now);
	took = cpu_ns() - began - (play->outside - outside);
	play->cpu += took;
	if (took > play->longest)
		play->longest = took;
}

static void
play_new(struct play *play, uint32_t workers, uint32_t orgs, uint32_t keys)
{
	const struct gb_pool_ops ops = {op_start, op_stop, op_heartbeat,
	    op_advise, op_txn, op_read, op_answer, op_owner, NULL, play};
	struct gb_pool_config *config = config_make(orgs, keys);
	struct gb_pool_settings settings = {.name = "bench",
	    .addr = "10.0.0.1:70",
	    .incarnation = 1,
	    .seed = 1,
	    .limits = {6 * GB_SEC, 400 * GB_MSEC, 120 * GB_SEC, 0}};

	play->now = 100 * GB_SEC;
	play->worker_count = workers;
	play->workers = gb_calloc(workers, sizeof(*play->workers));
	play->tables = world_new(1);
	play->pool = gb_pool_new(&settings, &ops, play->now);
	gb_pool_configure(play->pool, play->now, config);
	gb_pool_config_unref(config);
	members_list(play);
	gb_pool_take(play->pool, play->now, UINT64_MAX, TAKEOVER_SILENT_OWNER);
	workers_list(play);
}

static void
ring_free(struct ring *ring)
{
	size_t i;

	for (i = 0; i < ring->count; i++) {
		struct event *event =
		    &ring->events[(ring->first + i) % ring->size];

		if (event->kind == TXN)
			world_txn_free(&event->txn);
		else if (event->kind == READ)
			world_read_free(&event->read);
		else if (event->kind == ADVISE)
			world_advice_free(&event->advice);
	}
	free(ring->events);
}

static void
play_free(struct play *play)
{
	gb_pool_unref(play->pool);
	ring_free(&play->quick);
	ring_free(&play->heartbeats);
	world_free(play->tables);
	free(play->workers);
}

/** Bytes that are allocated, also those that were mapped on their own. */
static size_t
memory_used(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static void
bench_play(uint32_t workers, uint32_t orgs, uint32_t keys)
{
	double each = GB_SEC / (STARTS_PER_WORKER * workers / STARTS_PER_FLOW);
	struct play play = {0};
	size_t empty = memory_used();
	uint64_t starts = 0;
	uint64_t number = 0;
	uint64_t first;
	double next = 0;
	gb_time at;
	size_t idle;

	play_new(&play, workers, orgs, keys);
	idle = memory_used() - empty - workers * sizeof(struct fake_worker);
	for (at = 0; at < WARM_UP + PLAY; at += GB_POOL_TICK_US) {
		if (at == WARM_UP) {
			play.cpu = 0;
			play.longest = 0;
			starts = gb_pool_stats(play.pool)->starts;
		}
		if (at % MEMBERS_EACH == 0)
			members_list(&play);
		for (first = number; at >= GB_SEC && next <= (double)at;
		     next += each)
			number++;
		next = next < (double)at ? (double)at : next;
		play_step(&play, first, number, orgs);
	}
	starts = gb_pool_stats(play.pool)->starts - starts;
	printf("pool workers=%u orgs=%u keys=%u starts_per_s=%.0f "
	       "us_per_start=%.1f core=%.3f longest_tick_ms=%.1f "
	       "accepted=%" PRIu64 " refused=%" PRIu64 " idle_kb=%zu\n",
	    workers, orgs, keys, (double)starts * GB_SEC / PLAY,
	    (double)play.cpu / 1000 / (double)(starts + 1),
	    (double)play.cpu / 1000 / PLAY, (double)play.longest / 1e6,
	    play.accepted, play.refused, idle / 1024);
	fflush(stdout);
	play_free(&play);
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
		bench_play(workers[i], 1, 1);
		bench_play(workers[i], 20, 40);
		bench_play(workers[i], 140, 10000);
	}
	return 0;
}
