/**
 * @file fuzz_cells.c
 * Turns bytes into operations of callers and operators and into faults of a
 * simulated cell.  Built as a libFuzzer target, and used by the replay test.
 */
#include <stdio.h>
#include <stdlib.h>

#include "cells.h"
#include "fuzz_cells.h"
#include <string.h>

#define OPS_MAX 160

/** Bytes of a run, and the next one to read. */
struct input {
	const uint8_t *data;
	size_t size;
	size_t at;
};

/** Next byte; 0 after the last. */
static unsigned int
input_next(struct input *in)
{
	return in->at < in->size ? in->data[in->at++] : 0;
}

static void
op_cut(struct cells *c, unsigned int a, unsigned int b)
{
	uint32_t from = a % NODES;
	uint32_t to = b % NODES;

	cells_cut(c, from, to, true);
	if (a & 0x80)
		cells_cut(c, to, from, true);
}

/** End all cuts from and to a node. */
static void
op_reconnect(struct cells *c, unsigned int a)
{
	uint32_t i;

	for (i = 0; i < NODES; i++) {
		cells_cut(c, a % NODES, i, false);
		cells_cut(c, i, a % NODES, false);
	}
}

static void
op_store(struct cells *c, unsigned int a)
{
	c->store_down = a % 4 == 1;
	c->store_delay = a % 4 == 2 ? (gb_time)(a / 4) * 5 * GB_MSEC : 0;
	c->store_lost_answers = a % 4 == 3 ? 1 + a / 64 : 0;
}

static void
op_worker(struct cells *c, unsigned int a, unsigned int b)
{
	uint32_t w = a % WORKERS;

	switch (b % 6) {
	case 0:
		cells_worker_restart(c, w);
		break;
	case 1:
		cells_pause_worker(c, w, (gb_time)b * 20 * GB_MSEC);
		break;
	case 2:
		worker_model_fail_all(c->workers[w].model, true);
		break;
	case 3:
		worker_model_fail_all(c->workers[w].model, false);
		break;
	case 4:
		cells_worker_state(c, w, GB_INSTANCE_LEAVING);
		break;
	default:
		/* Two workers of each data centre remain. */
		if (w % 3 == 2)
			cells_worker_state(c, w, GB_INSTANCE_GONE);
		break;
	}
}

static void
op_core(struct cells *c, unsigned int a, unsigned int b)
{
	uint32_t i = a % CORES;

	switch (b % 6) {
	case 0:
		cells_kill(c, i);
		break;
	case 1:
		cells_start(c, i);
		break;
	case 2:
		cells_pause(c, i, (gb_time)b * 25 * GB_MSEC);
		break;
	case 3:
		cells_leave(c, i);
		break;
	case 4:
		c->cores[i].delay = (gb_time)b * 15 * GB_MSEC;
		break;
	default:
		c->cores[i].delay = 0;
		break;
	}
}

/** Do the operation that the next three bytes stand for. */
static void
input_op(struct cells *c, struct input *in)
{
	unsigned int code = input_next(in);
	unsigned int a = input_next(in);
	unsigned int b = input_next(in);

	switch (code % 16) {
	case 0:
	case 1:
		cells_submit(c, a % CORES, b % 4, 1 + b / 4 % 5);
		break;
	case 2:
		cells_cancel(c, a % 4);
		break;
	case 3:
	case 4:
	case 5:
		cells_request(c, a % CORES, b % 3);
		break;
	case 6:
		cells_repeat(c, a % CORES, b % 4);
		break;
	case 7:
		cells_apply(c, a % CORES);
		if (b & 1)
			cells_apply(c, (a + 1) % CORES);
		break;
	case 8:
		cells_drain(c, a % CORES, a / 3 % WORKERS, b & 1);
		break;
	case 9:
	case 10:
		op_core(c, a, b);
		break;
	case 11:
		op_cut(c, a, b);
		break;
	case 12:
		op_reconnect(c, a);
		break;
	case 13:
		op_store(c, a);
		break;
	case 14:
		op_worker(c, a, b);
		break;
	default:
		/* A burst of up to 15 requests, which may run long. */
		c->service_time = (gb_time)(a % 4) * 300 * GB_MSEC;
		for (; b % 16 > 0; b--)
			cells_request(c, b % CORES, b % 2);
		break;
	}
	cells_run(c, (gb_time)(1 + code / 16) * 20 * GB_MSEC);
}

void
fuzz_cells_document(struct cells *c, const char *service, const char *rest)
{
	char text[256];
	gb_command cmd = {.verb = GB_VERB_APPLY,
	    .team = (char *)(uintptr_t) "byggepas",
	    .name = (char *)(uintptr_t)service,
	    .author = (char *)(uintptr_t) "someone",
	    .remaining_us = 3 * GB_SEC};

	snprintf(text, sizeof(text),
	    "{\"team\": \"byggepas\", \"service\": \"%s\", %s}", service, rest);
	cmd.body.gb_body_val = text;
	cmd.body.gb_body_len = (u_int)strlen(text);
	gb_core_command(c->cores[0].core, c->now, UINT64_MAX, &cmd);
	cells_run(c, GB_SEC);
}

void
fuzz_cells_documents(struct cells *c)
{
	cells_run(c, 2 * GB_SEC);
	fuzz_cells_document(c, "idem",
	    "\"kind\": \"batch\", \"resources\": {\"cpu_milli\": 1500}, "
	    "\"policy\": {\"run_ms\": 400, \"idempotent\": true, "
	    "\"max_attempts\": 50}");
	fuzz_cells_document(c, "once",
	    "\"kind\": \"batch\", \"resources\": {\"cpu_milli\": 1000}, "
	    "\"policy\": {\"run_ms\": 300, \"idempotent\": false}");
	fuzz_cells_document(c, "gang",
	    "\"kind\": \"gang\", \"resources\": {\"cpu_milli\": 2000}, "
	    "\"policy\": {\"run_ms\": 300, \"max_attempts\": 50}");
	fuzz_cells_document(c, "far",
	    "\"kind\": \"batch\", \"resources\": {\"cpu_milli\": 1500}, "
	    "\"placement\": {\"dcs\": [\"b\"]}, "
	    "\"policy\": {\"run_ms\": 300, \"idempotent\": false}");
	fuzz_cells_document(c, "lookup",
	    "\"kind\": \"lookup\", \"policy\": {\"timeout_ms\": 800}");
	fuzz_cells_document(c, "renewal",
	    "\"kind\": \"request\", \"policy\": {\"timeout_ms\": 800}");
}

int
fuzz_cells_run(
    const uint8_t *data, size_t size, char *violation, size_t violation_size)
{
	struct input in = {data, size, 0};
	struct cells *c = cells_new(size > 0 ? data[0] : 0);
	unsigned int ops = 0;
	int ok;

	fuzz_cells_documents(c);
	while (in.at < in.size && ops++ < OPS_MAX && c->violation[0] == '\0')
		input_op(c, &in);
	if (c->violation[0] == '\0')
		cells_finish(c);
	ok = c->violation[0] == '\0';
	snprintf(violation, violation_size, "%s", c->violation);
	cells_free(c);
	return ok;
}

int LLVMFuzzerTestOneInput(const uint8_t *, size_t);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char violation[256];

	if (!fuzz_cells_run(data, size, violation, sizeof(violation))) {
		fprintf(stderr, "fuzz: %s\n", violation);
		abort();
	}
	return 0;
}
