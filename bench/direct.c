/**
 * @file direct.c
 * gooseberry-direct: calls a stand-in worker without entry and scheduler, to
 * show the latency that these add.  The worker must not belong to a cell, since
 * the program acts as its owner.
 */
#include <argp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uv.h>

#include "gooseberry.h"

/** Lease of the worker, longer than the run. */
#define LEASE (600 * GB_SEC)
/** Latencies that are kept for the quantiles. */
#define LATENCIES_MAX 4000000

static struct {
	uv_loop_t loop;
	struct gb_rpc_client *client;
	gb_sync_res worker;   /**< answer to the first sync */
	gb_time begin, until; /**< begin is unused */
	unsigned int parallel, seconds;
	unsigned int in_flight;
	uint64_t rid, done, failed;
	struct gb_histogram latency; /**< unused */
	gb_time *latencies_us;
} direct = {.parallel = 16, .seconds = 3};

static void exec_send(void);

/** A call in flight. */
struct pending {
	gb_time sent;
};

static int
time_compare(const void *a, const void *b)
{
	gb_time x = *(const gb_time *)a;
	gb_time y = *(const gb_time *)b;

	return x < y ? -1 : x > y;
}

/** Print the result and end the program. */
static void
finish(void)
{
	uint64_t n = direct.done < LATENCIES_MAX ? direct.done : LATENCIES_MAX;

	qsort(direct.latencies_us, n, sizeof(gb_time), time_compare);
	printf("direct: done=%" PRIu64 " failed=%" PRIu64 " per_s=%" PRIu64
	       " p50_us=%" PRId64 " p99_us=%" PRId64 "\n",
	    direct.done, direct.failed, direct.done / direct.seconds,
	    n == 0 ? 0 : direct.latencies_us[n / 2],
	    n == 0 ? 0 : direct.latencies_us[n * 99 / 100]);
	exit(direct.failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE);
}

/** End of a call; the next one follows until the time is up. */
static void
exec_done(void *data, gb_verdict verdict, void *res)
{
	struct pending *p = data;
	gb_time now = gb_clock_boot();

	(void)res;
	direct.in_flight--;
	if (verdict != GB_RUN)
		direct.failed++;
	else if (direct.done < LATENCIES_MAX)
		direct.latencies_us[direct.done] = now - p->sent;
	direct.done++;
	free(p);
	if (now < direct.until)
		exec_send();
	else if (direct.in_flight == 0)
		finish();
}

static void
exec_send(void)
{
	struct pending *p = gb_calloc(1, sizeof(*p));
	gb_exec exec = {.team = "t", .service = "s", .key = "", .trace = ""};

	exec.epoch = direct.worker.epoch;
	exec.incarnation = direct.worker.incarnation;
	exec.anchor = direct.worker.clock;
	exec.lease_us = LEASE;
	exec.rid = ++direct.rid;
	exec.owner = 1;
	exec.remaining_us = GB_SEC;
	exec.body.gb_body_val = "direct";
	exec.body.gb_body_len = 6;
	p->sent = gb_clock_boot();
	direct.in_flight++;
	gb_rpc_client_call(
	    direct.client, GB_PROC_EXEC, &exec, 5 * GB_SEC, exec_done, p);
}

/** The worker has accepted this program as its owner: begin the calls. */
static void
sync_done(void *data, gb_verdict verdict, void *res)
{
	unsigned int i;

	(void)data;
	if (verdict != GB_RUN) {
		fprintf(stderr, "direct: the worker does not answer\n");
		exit(EXIT_FAILURE);
	}
	direct.worker = *(gb_sync_res *)res;
	direct.until = gb_clock_boot() + direct.seconds * GB_SEC;
	for (i = 0; i < direct.parallel; i++)
		exec_send();
}

int
main(int argc, char **argv)
{
	static const struct gb_env env = {gb_logger_line, NULL, NULL, NULL};
	gb_sync first_sync = {.epoch = 1, .owner = 1, .seq = 1};

	if (argc < 2) {
		fprintf(stderr, "usage: %s IP:PORT [parallel [seconds]]\n",
		    argv[0]);
		return EXIT_FAILURE;
	}
	if (argc > 2)
		direct.parallel = (unsigned int)atoi(argv[2]);
	if (argc > 3)
		direct.seconds = (unsigned int)atoi(argv[3]);
	direct.latencies_us = gb_calloc(LATENCIES_MAX, sizeof(gb_time));
	uv_loop_init(&direct.loop);
	direct.client = gb_rpc_client_new(&direct.loop, &env, argv[1]);
	gb_rpc_client_call(
	    direct.client, GB_PROC_SYNC, &first_sync, GB_SEC, sync_done, NULL);
	uv_run(&direct.loop, UV_RUN_DEFAULT);
	return EXIT_SUCCESS;
}
