/**
 * @file direct.c
 * gooseberry-direct: calls a stand-in worker directly, as a reference for the
 * latency that entry and scheduler add.  The worker must be its own: it takes
 * the place of the worker's owner.
 */
#include <argp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uv.h>

#include "gooseberry.h"

#define LEASE (600 * GB_SEC)

static struct {
	uv_loop_t loop;
	struct gb_rpc_client *client;
	gb_sync_res worker;
	gb_time begin, until;
	unsigned int parallel, seconds;
	unsigned int out;
	uint64_t rid, done, failed;
	struct gb_histogram latency;
	gb_time *took;
} direct = {.parallel = 16, .seconds = 3};

#define TOOK_MOST 4000000

static void exec_send(void);

struct pending {
	gb_time sent;
};

static int
compare(const void *a, const void *b)
{
	gb_time x = *(const gb_time *)a;
	gb_time y = *(const gb_time *)b;

	return x < y ? -1 : x > y;
}

static void
finish(void)
{
	uint64_t n = direct.done < TOOK_MOST ? direct.done : TOOK_MOST;

	qsort(direct.took, n, sizeof(gb_time), compare);
	printf("direct: done=%" PRIu64 " failed=%" PRIu64 " per_s=%" PRIu64
	       " p50_us=%" PRId64 " p99_us=%" PRId64 "\n",
	    direct.done, direct.failed, direct.done / direct.seconds,
	    n == 0 ? 0 : direct.took[n / 2],
	    n == 0 ? 0 : direct.took[n * 99 / 100]);
	exit(direct.failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE);
}

static void
exec_done(void *data, gb_verdict verdict, void *res)
{
	struct pending *p = data;
	gb_time now = gb_clock_boot();

	(void)res;
	direct.out--;
	if (verdict != GB_RUN)
		direct.failed++;
	else if (direct.done < TOOK_MOST)
		direct.took[direct.done] = now - p->sent;
	direct.done++;
	free(p);
	if (now < direct.until)
		exec_send();
	else if (direct.out == 0)
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
	direct.out++;
	gb_rpc_client_call(
	    direct.client, GB_PROC_EXEC, &exec, 5 * GB_SEC, exec_done, p);
}

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
	gb_sync hello = {.epoch = 1, .owner = 1, .seq = 1};

	if (argc < 2) {
		fprintf(stderr, "usage: %s IP:PORT [parallel [seconds]]\n",
		    argv[0]);
		return EXIT_FAILURE;
	}
	if (argc > 2)
		direct.parallel = (unsigned int)atoi(argv[2]);
	if (argc > 3)
		direct.seconds = (unsigned int)atoi(argv[3]);
	direct.took = gb_calloc(TOOK_MOST, sizeof(gb_time));
	uv_loop_init(&direct.loop);
	direct.client = gb_rpc_client_new(&direct.loop, &env, argv[1]);
	gb_rpc_client_call(
	    direct.client, GB_PROC_SYNC, &hello, GB_SEC, sync_done, NULL);
	uv_run(&direct.loop, UV_RUN_DEFAULT);
	return EXIT_SUCCESS;
}
