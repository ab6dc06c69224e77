/**
 * @file decide.c
 * Measures decisions: the placement index alone, the core with a fake store
 * and fake workers, memory, and the time to rebuild a shard.  The clock of the
 * core is virtual; what is measured is processor time.
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

#define DECISIONS 200000
#define ROUND_TASKS 4000
#define TEAM "byggepas"

static gb_time
cpu_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (gb_time)ts.tv_sec * 1000000000 + ts.tv_nsec;
}

static int
compare(const void *a, const void *b)
{
	gb_time x = *(const gb_time *)a;
	gb_time y = *(const gb_time *)b;

	return x < y ? -1 : x > y;
}

/* The index alone: place a task, end a random one, at nine tenths of load */

struct placed {
	uint32_t worker;
	gb_res need;
};

static const gb_res shapes[] = {{500, 1024, 0, 1, 0}, {1000, 4096, 0, 1, 0},
    {2000, 2048, 0, 1, 0}, {4000, 16384, 0, 1, 0}, {1000, 2048, 1, 1, 0}};

#define SHAPES (sizeof(shapes) / sizeof(shapes[0]))

static void
capacity_of(uint32_t worker, gb_res *out)
{
	static const gb_res passport = {16000, 65536, 0, 21, 60};
	static const gb_res directory = {32000, 131072, 4, 21, 60};

	*out = worker % 2 == 0 ? passport : directory;
}

static void
bench_index(uint32_t workers)
{
	struct gb_index *index = gb_index_new();
	gb_res *room = gb_calloc(workers, sizeof(*room));
	struct placed *placed =
	    gb_calloc((size_t)workers * 21, sizeof(*placed));
	gb_time *took = gb_calloc(DECISIONS, sizeof(*took));
	uint64_t seed = 1;
	size_t count = 0;
	size_t n;
	uint32_t i;
	gb_time sum = 0;
	gb_time p50;
	gb_time p99;

	for (i = 0; i < workers; i++) {
		gb_res capacity;

		capacity_of(i, &capacity);
		room[i] = capacity;
		gb_index_set(index, i, &room[i], &capacity);
	}
	for (n = 0; n < DECISIONS;) {
		const gb_res *need = &shapes[gb_random_next(&seed) % SHAPES];
		gb_res capacity;
		gb_time begin = cpu_ns();
		uint32_t w = gb_index_find(index, need, &gb_scorer_pack, NULL);

		if (w != GB_NONE) {
			capacity_of(w, &capacity);
			gb_res_sub(&room[w], need);
			gb_index_set(index, w, &room[w], &capacity);
		}
		begin = cpu_ns() - begin;
		if (w != GB_NONE) {
			placed[count].worker = w;
			placed[count++].need = *need;
		}
		/* The first half of the decisions fills the cell. */
		if (w != GB_NONE && count < (size_t)workers * 8)
			continue;
		took[n++] = begin;
		sum += begin;
		while (count > 0 &&
		       (w == GB_NONE || count > (size_t)workers * 9)) {
			size_t at = gb_random_next(&seed) % count;
			struct placed *p = &placed[at];

			capacity_of(p->worker, &capacity);
			gb_res_add(&room[p->worker], &p->need);
			gb_index_set(
			    index, p->worker, &room[p->worker], &capacity);
			*p = placed[--count];
			if (w == GB_NONE && gb_random_next(&seed) % 4 == 0)
				break;
		}
	}
	qsort(took, DECISIONS, sizeof(*took), compare);
	p50 = took[DECISIONS / 2];
	p99 = took[DECISIONS / 100 * 99];
	printf("bench decision workers=%" PRIu32 " per_s=%" PRId64
	       " mean_us=%.2f p50_us=%.2f p99_us=%.2f max_us=%.1f "
	       "index_bytes=%zu\n",
	    workers, (gb_time)DECISIONS * 1000000000 / sum,
	    (double)sum / DECISIONS / 1000, (double)p50 / 1000,
	    (double)p99 / 1000, (double)took[DECISIONS - 1] / 1000,
	    gb_index_memory(index));
	gb_index_free(index);
	free(room);
	free(placed);
	free(took);
}

/* The core: everything from the submission to the message for the worker */

struct bench {
	struct gb_core *core;
	struct store_model *store;
	struct worker_model **models;
	uint32_t workers;
	uint64_t incarnation;
	gb_time now;
	uint64_t answers;
	uint64_t started;    /**< starts of the core so far */
	gb_time dispatch_ns; /**< of ticks that started something */
	gb_time idle_ns;     /**< of all other ticks */
	uint64_t idle_ticks;
	uint64_t syncs, txns, sync_bytes, store_bytes;
	unsigned int jobs;
};

static void
bench_act(struct bench *b, struct gb_action *action)
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

	while (gb_core_next(b->core, &action)) {
		bench_act(b, &action);
		gb_action_clear(&action);
	}
}

static void
bench_pass(struct bench *b, gb_time span)
{
	gb_time until = b->now + span;

	while (b->now < until) {
		struct gb_core_stats stats;
		gb_time begin;

		b->now += 5 * GB_MSEC;
		begin = cpu_ns();
		gb_core_tick(b->core, b->now);
		begin = cpu_ns() - begin;
		gb_core_stats_get(b->core, &stats);
		if (stats.starts != b->started) {
			b->dispatch_ns += begin;
		} else {
			b->idle_ns += begin;
			b->idle_ticks++;
		}
		b->started = stats.starts;
		bench_pump(b);
	}
}

static void
bench_list(struct bench *b)
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
		capacity_of(i, &list[i].capacity);
	}
	gb_core_instances(b->core, b->now, &all);
	free(text);
	free(list);
}

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
	bench_list(b);
}

static void
bench_document(struct bench *b, const char *service, const char *rest)
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
	bench_pass(b, GB_SEC);
}

static void
bench_submit(struct bench *b, const char *service, unsigned int tasks)
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

static void
bench_up(struct bench *b, uint32_t workers)
{
	uint32_t i;

	memset(b, 0, sizeof(*b));
	b->now = GB_SEC;
	b->workers = workers;
	b->store = store_model_new();
	b->models = gb_calloc(workers, sizeof(*b->models));
	for (i = 0; i < workers; i++) {
		gb_res capacity;

		capacity_of(i, &capacity);
		b->models[i] = worker_model_new(i + 1, &capacity, NULL, NULL);
	}
	bench_core_new(b);
	bench_pass(b, 5 * GB_SEC);
	bench_document(b, "batch",
	    "\"kind\": \"batch\", \"resources\": {\"cpu_milli\": 1000, "
	    "\"memory_mb\": 2048}, \"policy\": {\"run_ms\": 2000, "
	    "\"idempotent\": true}");
	bench_document(b, "long",
	    "\"kind\": \"batch\", \"resources\": {\"cpu_milli\": 700, "
	    "\"memory_mb\": 2048}, \"policy\": {\"run_ms\": 86400000, "
	    "\"idempotent\": true}");
}

static void
bench_down(struct bench *b)
{
	uint32_t i;

	gb_core_unref(b->core);
	for (i = 0; i < b->workers; i++)
		worker_model_free(b->models[i]);
	free(b->models);
	store_model_free(b->store);
}

static void
bench_core(uint32_t workers)
{
	unsigned int tasks =
	    workers * 8 < ROUND_TASKS ? workers * 8 : ROUND_TASKS;
	struct gb_core_stats before;
	struct gb_core_stats after;
	struct bench b;
	gb_time idle;
	gb_time begin;
	unsigned int round;

	bench_up(&b, workers);
	begin = cpu_ns();
	bench_pass(&b, 5 * GB_SEC);
	idle = (cpu_ns() - begin) / 5;
	gb_core_stats_get(b.core, &before);
	b.dispatch_ns = 0;
	b.idle_ns = 0;
	b.idle_ticks = 0;
	b.txns = 0;
	b.syncs = 0;
	b.sync_bytes = 0;
	b.store_bytes = 0;
	for (round = 0; round < 5; round++) {
		bench_submit(&b, "batch", tasks);
		bench_pass(&b, 4 * GB_SEC);
	}
	gb_core_stats_get(b.core, &after);
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
	    (double)idle / 1000000,
	    (double)b.txns * 1000 / (double)(after.starts - before.starts),
	    (double)(after.log_bytes - before.log_bytes) /
		(double)(after.starts - before.starts),
	    b.syncs / 20, (double)b.sync_bytes / 20 / workers);
	bench_down(&b);
}

/** Memory per worker and task, and the time to rebuild a shard. */
static void
bench_rebuild(uint32_t workers)
{
	uint32_t tasks = workers * 20;
	struct mallinfo2 start = mallinfo2();
	struct mallinfo2 with_workers;
	struct mallinfo2 with_tasks;
	struct gb_core_stats stats;
	struct bench b;
	gb_time begin;
	gb_time virtual;
	uint32_t left = tasks;

	bench_up(&b, workers);
	with_workers = mallinfo2();
	while (left > 0) {
		uint32_t n = left > 20000 ? 20000 : left;

		bench_submit(&b, "long", n);
		left -= n;
	}
	bench_pass(&b, 10 * GB_SEC);
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
	virtual = b.now;
	begin = cpu_ns();
	bench_core_new(&b);
	do {
		bench_pass(&b, 5 * GB_MSEC);
		gb_core_stats_get(b.core, &stats);
	} while (stats.running < tasks && b.now - virtual < 60 * GB_SEC);
	printf("bench rebuild workers=%" PRIu32 " tasks=%" PRIu64
	       " cpu_ms=%" PRId64 " virtual_ms=%" PRId64 "\n",
	    workers, stats.running, (cpu_ns() - begin) / 1000000,
	    (b.now - virtual) / GB_MSEC);
	bench_down(&b);
}

int
main(int argc, char **argv)
{
	static const uint32_t sizes[] = {50, 1000, 6000, 18000};
	size_t i;

	argp_parse(NULL, argc, argv, 0, NULL, NULL);
	for (i = 0; i < 4; i++)
		bench_index(sizes[i]);
	for (i = 0; i < 4; i++)
		bench_core(sizes[i]);
	for (i = 1; i < 4; i++)
		bench_rebuild(sizes[i]);
	return EXIT_SUCCESS;
}
