/**
 * @file decide.c
 * gooseberry-bench: measures the placement index alone, then a scheduler core
 * on models of the table service and the workers: the cost of its decisions,
 * its memory, and the time to rebuild a shard.  The core runs on a virtual
 * clock; its cost is the time that elapses on the monotonic clock.
 */
#include <argp.h>
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "gooseberry.h"
#include "store_model.h"
#include "worker_model.h"

/** Searches of the index that are measured. */
#define DECISIONS 200000
/** Largest number of tasks in a job of measure_core. */
#define ROUND_TASKS_MAX 4000
/** Largest number of tasks in a job of measure_rebuild. */
#define REBUILD_TASKS_MAX 20000
#define TEAM "byggepas"

static gb_time
monotonic_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (gb_time)ts.tv_sec * 1000000000 + ts.tv_nsec;
}

static int
time_compare(const void *a, const void *b)
{
	gb_time x = *(const gb_time *)a;
	gb_time y = *(const gb_time *)b;

	return x < y ? -1 : x > y;
}

/* The index alone: place tasks and end random ones, with 8 to 9 tasks for each
 * worker at a time. */

struct placed {
	uint32_t worker;
	gb_res need;
};

/** What a task may need: thousandths of a core, memory in MB, accelerators,
 * slots, connections. */
static const gb_res needs[] = {{500, 1024, 0, 1, 0}, {1000, 4096, 0, 1, 0},
    {2000, 2048, 0, 1, 0}, {4000, 16384, 0, 1, 0}, {1000, 2048, 1, 1, 0}};

#define NEED_COUNT (sizeof(needs) / sizeof(needs[0]))

/** Capacity of a worker; every second one has accelerators. */
static void
worker_capacity(uint32_t worker, gb_res *out)
{
	static const gb_res plain = {16000, 65536, 0, 21, 60};
	static const gb_res accelerated = {32000, 131072, 4, 21, 60};

	*out = worker % 2 == 0 ? plain : accelerated;
}

/** Measure searches of the index, each with the update that follows. */
static void
measure_index(uint32_t workers)
{
	struct gb_index *index = gb_index_new();
	gb_res *available = gb_calloc(workers, sizeof(*available));
	struct placed *placed =
	    gb_calloc((size_t)workers * 21, sizeof(*placed));
	gb_time *decision_ns = gb_calloc(DECISIONS, sizeof(*decision_ns));
	uint64_t seed = 1;
	size_t count = 0;
	size_t n;
	uint32_t i;
	gb_time sum = 0;
	gb_time p50;
	gb_time p99;

	for (i = 0; i < workers; i++) {
		gb_res capacity;

		worker_capacity(i, &capacity);
		available[i] = capacity;
		gb_index_set(index, i, &available[i], &capacity);
	}
	for (n = 0; n < DECISIONS;) {
		const gb_res *need = &needs[gb_random_next(&seed) % NEED_COUNT];
		gb_res capacity;
		gb_time elapsed_ns = monotonic_ns();
		uint32_t w = gb_index_find(index, need, &gb_scorer_pack, NULL);

		if (w != GB_NONE) {
			worker_capacity(w, &capacity);
			gb_res_sub(&available[w], need);
			gb_index_set(index, w, &available[w], &capacity);
		}
		elapsed_ns = monotonic_ns() - elapsed_ns;
		if (w != GB_NONE) {
			placed[count].worker = w;
			placed[count++].need = *need;
		}
		/* Not measured while the workers have fewer than 8 tasks. */
		if (w != GB_NONE && count < (size_t)workers * 8)
			continue;
		decision_ns[n++] = elapsed_ns;
		sum += elapsed_ns;
		while (count > 0 &&
		       (w == GB_NONE || count > (size_t)workers * 9)) {
			size_t at = gb_random_next(&seed) % count;
			struct placed *p = &placed[at];

			worker_capacity(p->worker, &capacity);
			gb_res_add(&available[p->worker], &p->need);
			gb_index_set(
			    index, p->worker, &available[p->worker], &capacity);
			*p = placed[--count];
			if (w == GB_NONE && gb_random_next(&seed) % 4 == 0)
				break;
		}
	}
	qsort(decision_ns, DECISIONS, sizeof(*decision_ns), time_compare);
	p50 = decision_ns[DECISIONS / 2];
	p99 = decision_ns[DECISIONS / 100 * 99];
	printf("bench decision workers=%" PRIu32 " per_s=%" PRId64
	       " mean_us=%.2f p50_us=%.2f p99_us=%.2f max_us=%.1f "
	       "index_bytes=%zu\n",
	    workers, (gb_time)DECISIONS * 1000000000 / sum,
	    (double)sum / DECISIONS / 1000, (double)p50 / 1000,
	    (double)p99 / 1000, (double)decision_ns[DECISIONS - 1] / 1000,
	    gb_index_memory(index));
	gb_index_free(index);
	free(available);
	free(placed);
	free(decision_ns);
}

/* The core: from the submission of a job to the messages for the workers */

/** A core with the models that it runs on, and what was counted. */
struct bench {
	struct gb_core *core;
	struct store_model *store;
	struct worker_model **models;
	uint32_t workers;
	uint64_t incarnation;
	gb_time now;
	uint64_t answers;
	uint64_t started;    /**< starts of the core so far */
	gb_time dispatch_ns; /**< time in ticks that started tasks */
	gb_time idle_ns;     /**< time in all other ticks */
	uint64_t idle_ticks;
	uint64_t syncs, txns, sync_bytes, store_bytes;
	unsigned int jobs; /**< number in the name of the last job */
};

/** Let a model carry out an action of the core, and return its result. */
static void
bench_action_execute(struct bench *b, struct gb_action *action)
{
	gb_txn_res txn_res;
	gb_scan_res scan_res;
	gb_sync_res sync_res;
	uint32_t w;

	switch (action->type) {
	case GB_ACT_TXN:
		b->txns++;
		b->store_bytes +=
		    xdr_sizeof((xdrproc_t)xdr_gb_txn, &action->u.txn);
		store_model_txn(b->store, &action->u.txn, &txn_res);
		gb_core_txn_done(b->core, b->now, action->id, &txn_res);
		break;
	case GB_ACT_SCAN:
		store_model_scan(b->store, &action->u.scan, &scan_res);
		gb_core_scan_done(b->core, b->now, action->id, &scan_res);
		xdr_free((xdrproc_t)xdr_gb_scan_res, (char *)&scan_res);
		break;
	case GB_ACT_SYNC:
		w = (uint32_t)atoi(action->addr);
		b->syncs++;
		worker_model_sync(
		    b->models[w], b->now, &action->u.sync, &sync_res);
		b->sync_bytes +=
		    xdr_sizeof((xdrproc_t)xdr_gb_sync, &action->u.sync) +
		    xdr_sizeof((xdrproc_t)xdr_gb_sync_res, &sync_res);
		gb_core_sync_done(
		    b->core, b->now, action->worker, action->id, &sync_res);
		xdr_free((xdrproc_t)xdr_gb_sync_res, (char *)&sync_res);
		break;
	case GB_ACT_ANSWER:
		b->answers++;
		if (action->u.answer.verdict != GB_RUN)
			fprintf(stderr, "bench: %s\n", action->u.answer.reason);
		break;
	default:
		break;
	}
}

static void
bench_pump(struct bench *b)
{
	struct gb_action action;

	while (gb_core_next_action(b->core, &action)) {
		bench_action_execute(b, &action);
		gb_action_clear(&action);
	}
}

/** Run for a span of virtual time, and add up the time that ticks take. */
static void
bench_run(struct bench *b, gb_time span)
{
	gb_time until = b->now + span;

	while (b->now < until) {
		struct gb_core_stats stats;
		gb_time elapsed_ns;

		b->now += 5 * GB_MSEC;
		elapsed_ns = monotonic_ns();
		gb_core_tick(b->core, b->now);
		elapsed_ns = monotonic_ns() - elapsed_ns;
		gb_core_stats_get(b->core, &stats);
		if (stats.starts != b->started) {
			b->dispatch_ns += elapsed_ns;
		} else {
			b->idle_ns += elapsed_ns;
			b->idle_ticks++;
		}
		b->started = stats.starts;
		bench_pump(b);
	}
}

/** Give the core the list of workers. */
static void
bench_instances_send(struct bench *b)
{
	gb_instance *list = gb_calloc(b->workers, sizeof(*list));
	char(*text)[48] = gb_calloc(b->workers, sizeof(*text));
	gb_instance_list all = {{b->workers, list}};
	uint32_t i;

	for (i = 0; i < b->workers; i++) {
		snprintf(text[i], 16, "w%" PRIu32, i);
		snprintf(text[i] + 16, 16, "%" PRIu32, i);
		snprintf(text[i] + 32, 16, "r%" PRIu32, i / 8);
		list[i].name = text[i];
		list[i].addr = text[i] + 16;
		list[i].rack = text[i] + 32;
		list[i].dc = (char *)(uintptr_t) "a";
		list[i].pool = (char *)(uintptr_t) "";
		worker_capacity(i, &list[i].capacity);
	}
	gb_core_instances(b->core, b->now, &all);
	free(text);
	free(list);
}

/** Start a new incarnation of the core. */
static void
bench_core_new(struct bench *b)
{
	struct gb_core_config cfg;

	memset(&cfg, 0, sizeof(cfg));
	cfg.member = "bench";
	cfg.addr = "";
	cfg.dc = "a";
	cfg.incarnation = ++b->incarnation;
	cfg.seed = 1;
	cfg.shards_per_dc = 1;
	cfg.dcs.count = 1;
	snprintf(cfg.dcs.name[0], sizeof(cfg.dcs.name[0]), "a");
	cfg.beat_us = 500 * GB_MSEC;
	cfg.suspect_us = 1500 * GB_MSEC;
	cfg.fresh_us = 2 * GB_SEC;
	cfg.outage_us = 7200 * GB_SEC;
	cfg.lease_us = 20 * GB_SEC;
	cfg.sync_us = GB_SEC;
	cfg.margin_us = 500 * GB_MSEC;
	cfg.op_timeout_us = GB_SEC;
	cfg.write_budget = 200;
	cfg.snapshot_every = 1000;
	b->core = gb_core_new(&cfg, b->now);
	bench_instances_send(b);
}

/** Apply a document; rest are its JSON members after team and service. */
static void
bench_document_apply(struct bench *b, const char *service, const char *rest)
{
	char text[256];
	gb_command cmd = {.verb = GB_VERB_APPLY,
	    .team = (char *)(uintptr_t)TEAM,
	    .name = (char *)(uintptr_t)service,
	    .author = (char *)(uintptr_t) "bench"};

	snprintf(text, sizeof(text),
	    "{\"team\": \"" TEAM "\", \"service\": \"%s\", %s}", service, rest);
	cmd.body.gb_body_val = text;
	cmd.body.gb_body_len = (u_int)strlen(text);
	gb_core_command(b->core, b->now, 1, &cmd);
	bench_run(b, GB_SEC);
}

static void
bench_job_submit(struct bench *b, const char *service, unsigned int tasks)
{
	char text[96];
	char name[32];
	gb_command cmd = {.verb = GB_VERB_SUBMIT,
	    .team = (char *)(uintptr_t)TEAM,
	    .author = (char *)(uintptr_t) "bench"};

	snprintf(name, sizeof(name), "j%u", ++b->jobs);
	snprintf(text, sizeof(text), "{\"service\": \"%s\", \"tasks\": %u}",
	    service, tasks);
	cmd.name = name;
	cmd.body.gb_body_val = text;
	cmd.body.gb_body_len = (u_int)strlen(text);
	gb_core_command(b->core, b->now, 1, &cmd);
}

/** Start a core with documents: "batch" for tasks of 2 s, "long" for tasks that
 * don't end. */
static void
bench_setup(struct bench *b, uint32_t workers)
{
	uint32_t i;

	memset(b, 0, sizeof(*b));
	b->now = GB_SEC;
	b->workers = workers;
	b->store = store_model_new();
	b->models = gb_calloc(workers, sizeof(*b->models));
	for (i = 0; i < workers; i++) {
		gb_res capacity;

		worker_capacity(i, &capacity);
		b->models[i] = worker_model_new(i + 1, &capacity, NULL, NULL);
	}
	bench_core_new(b);
	bench_run(b, 5 * GB_SEC);
	bench_document_apply(b, "batch",
	    "\"kind\": \"batch\", \"resources\": {\"cpu_milli\": 1000, "
	    "\"memory_mb\": 2048}, \"policy\": {\"run_ms\": 2000, "
	    "\"idempotent\": true}");
	bench_document_apply(b, "long",
	    "\"kind\": \"batch\", \"resources\": {\"cpu_milli\": 700, "
	    "\"memory_mb\": 2048}, \"policy\": {\"run_ms\": 86400000, "
	    "\"idempotent\": true}");
}

static void
bench_teardown(struct bench *b)
{
	uint32_t i;

	gb_core_unref(b->core);
	for (i = 0; i < b->workers; i++)
		worker_model_free(b->models[i]);
	free(b->models);
	store_model_free(b->store);
}

/** Measure an idle core, then one that starts the tasks of a job every 4 s. */
static void
measure_core(uint32_t workers)
{
	unsigned int tasks =
	    workers * 8 < ROUND_TASKS_MAX ? workers * 8 : ROUND_TASKS_MAX;
	struct gb_core_stats before;
	struct gb_core_stats after;
	struct bench b;
	gb_time idle_ns_per_s;
	gb_time begin;
	unsigned int round;

	bench_setup(&b, workers);
	begin = monotonic_ns();
	bench_run(&b, 5 * GB_SEC);
	idle_ns_per_s = (monotonic_ns() - begin) / 5;
	gb_core_stats_get(b.core, &before);
	b.dispatch_ns = 0;
	b.idle_ns = 0;
	b.idle_ticks = 0;
	b.txns = 0;
	b.syncs = 0;
	b.sync_bytes = 0;
	b.store_bytes = 0;
	for (round = 0; round < 5; round++) {
		bench_job_submit(&b, "batch", tasks);
		bench_run(&b, 4 * GB_SEC);
	}
	gb_core_stats_get(b.core, &after);
	/* The rounds took 20 s of virtual time. */
	printf("bench core workers=%" PRIu32 " starts=%" PRIu64
	       " per_s=%" PRIu64 " us_per_start=%.2f idle_tick_us=%.1f "
	       "idle_cpu_ms_per_s=%.1f store_writes_per_1000_starts=%.1f "
	       "log_bytes_per_start=%.0f syncs_per_s=%" PRIu64
	       " sync_bytes_per_worker_s=%.0f\n",
	    workers, after.starts - before.starts,
	    (after.starts - before.starts) * 1000000000 /
		(uint64_t)b.dispatch_ns,
	    (double)b.dispatch_ns / 1000 /
		(double)(after.starts - before.starts),
	    (double)b.idle_ns / 1000 / (double)b.idle_ticks,
	    (double)idle_ns_per_s / 1000000,
	    (double)b.txns * 1000 / (double)(after.starts - before.starts),
	    (double)(after.log_bytes - before.log_bytes) /
		(double)(after.starts - before.starts),
	    b.syncs / 20, (double)b.sync_bytes / 20 / workers);
	bench_teardown(&b);
}

/** Measure the memory of each worker and each task, and the time in which a new
 * incarnation of the core rebuilds the shard from its log and the workers. */
static void
measure_rebuild(uint32_t workers)
{
	uint32_t tasks = workers * 20;
	struct mallinfo2 start = mallinfo2();
	struct mallinfo2 with_workers;
	struct mallinfo2 with_tasks;
	struct gb_core_stats stats;
	struct bench b;
	gb_time begin;
	gb_time virtual_begin;
	uint32_t left = tasks;

	bench_setup(&b, workers);
	with_workers = mallinfo2();
	while (left > 0) {
		uint32_t n =
		    left > REBUILD_TASKS_MAX ? REBUILD_TASKS_MAX : left;

		bench_job_submit(&b, "long", n);
		left -= n;
	}
	bench_run(&b, 10 * GB_SEC);
	with_tasks = mallinfo2();
	gb_core_stats_get(b.core, &stats);
	printf("bench memory workers=%" PRIu32 " tasks=%" PRIu64
	       " bytes_per_worker=%zu bytes_per_task=%zu\n",
	    workers, stats.running,
	    (with_workers.uordblks + with_workers.hblkhd - start.uordblks -
		start.hblkhd) /
		workers,
	    (with_tasks.uordblks + with_tasks.hblkhd - with_workers.uordblks -
		with_workers.hblkhd) /
		(stats.running == 0 ? 1 : stats.running));
	gb_core_unref(b.core);
	virtual_begin = b.now;
	begin = monotonic_ns();
	bench_core_new(&b);
	do {
		bench_run(&b, 5 * GB_MSEC);
		gb_core_stats_get(b.core, &stats);
	} while (stats.running < tasks && b.now - virtual_begin < 60 * GB_SEC);
	printf("bench rebuild workers=%" PRIu32 " tasks=%" PRIu64
	       " cpu_ms=%" PRId64 " virtual_ms=%" PRId64 "\n",
	    workers, stats.running, (monotonic_ns() - begin) / 1000000,
	    (b.now - virtual_begin) / GB_MSEC);
	bench_teardown(&b);
}

int
main(int argc, char **argv)
{
	static const uint32_t sizes[] = {50, 1000, 6000, 18000};
	size_t i;

	argp_parse(NULL, argc, argv, 0, NULL, NULL);
	for (i = 0; i < 4; i++)
		measure_index(sizes[i]);
	for (i = 0; i < 4; i++)
		measure_core(sizes[i]);
	for (i = 1; i < 4; i++)
		measure_rebuild(sizes[i]);
	return EXIT_SUCCESS;
}
