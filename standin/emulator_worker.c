/**
 * @file emulator_worker.c
 * Workers of the emulated platform over HTTP: orders and heartbeats, their
 * entries in the list of workers, and the advice service, which approves
 * workers for a step.
 */
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "emulator.h"

/** Time until the entry of a worker that is down is removed: three missed
 * heartbeats, here of half a second each, so that short runs see the removal.
 */
#define ENTRY_SILENCE (1500 * GB_MSEC)
/** Delay of late orders: at least this, plus a random part below the range. */
#define LATE_MIN_MS 2000
#define LATE_RANGE_MS 4000
/** Longest wait of a heartbeat. */
#define WAIT_MAX_MS 2000

/** A heartbeat that waits for an ended run. */
struct waiting_heartbeat {
	TAILQ_ENTRY(waiting_heartbeat) next;
	struct emu_worker *worker;
	struct http_call *call;
	char worker_id[GB_NAME_MAX + 1];
	struct gb_pool_heartbeat heartbeat;
	gb_time deadline;
	unsigned int process; /**< the worker's process that received it */
};

TAILQ_HEAD(heartbeat_list, waiting_heartbeat);

static struct heartbeat_list heartbeats = TAILQ_HEAD_INITIALIZER(heartbeats);

/* Orders ------------------------------------------------------------------ */

/** HTTP status of an answer; 0: the worker doesn't answer. */
static unsigned int
order_status(enum gb_pool_order_status status)
{
	switch (status) {
	case GB_POOL_ORDER_DONE:
		return 200;
	case GB_POOL_ORDER_WRONG_WORKER:
		return 421;
	case GB_POOL_ORDER_REFUSED:
		return 503;
	case GB_POOL_ORDER_LOST:
		return 0;
	default:
		return plat_order_reason(status) == NULL ? 400 : 409;
	}
}

static void
order_answer(struct http_call *call, const struct gb_pool_order_res *res)
{
	unsigned int status = order_status(res->status);
	json_t *message;

	if (status == 0)
		return;
	message = json_pack("{s:I}", "ClockMs", (json_int_t)res->clock_ms);
	if (status == 409)
		json_object_set_new(message, "Reason",
		    json_string(plat_order_reason(res->status)));
	emu_answer(call, status, message);
}

/** An order, and the message that its strings point into. */
struct emu_order {
	struct gb_pool_order order;
	struct gb_pool_run_report report;
	json_t *root;
	char worker_id[GB_NAME_MAX + 1];
	char addr[GB_NAME_MAX + 1];
	bool start; /**< starts a run; else stops it */
};

static const char *
text_or_null(const json_t *root, const char *name)
{
	return json_string_value(json_object_get(root, name));
}

static void
worker_addr(unsigned int number, char *out, size_t size)
{
	snprintf(out, size, "worker-%u", number);
}

static struct emu_order *
order_decode(
    const struct emu_worker *worker, struct http_call *call, bool start)
{
	struct emu_order *in = gb_calloc(1, sizeof(*in));

	in->root = json_loadb(call->body, call->body_len, 0, NULL);
	in->start = start;
	http_call_header(call, "x-gooseberrycart-target-instance",
	    in->worker_id, sizeof(in->worker_id));
	worker_addr(worker->number, in->addr, sizeof(in->addr));
	if (!plat_task_parse(plat_json_string(in->root, "Task"), &in->report)) {
		json_decref(in->root);
		free(in);
		return NULL;
	}
	in->order.worker = in->worker_id;
	in->order.addr = in->addr;
	in->order.id.flow = in->report.flow;
	in->order.id.step = in->report.step;
	in->order.id.index = in->report.index;
	in->order.id.run = (uint64_t)plat_json_int(in->root, "Run");
	in->order.token = (uint64_t)plat_json_int(in->root, "FencingToken");
	in->order.spec = plat_json_string(in->root, "Spec");
	in->order.lease_end_ms = plat_json_int(in->root, "DeadlineMs");
	in->order.checkpoint = text_or_null(in->root, "LastCheckpoint");
	in->order.ticket = text_or_null(in->root, "Ticket");
	return in;
}

static void
order_apply(struct emu_order *in, struct gb_pool_order_res *res)
{
	if (in->start)
		world_start(emulator.world, &in->order, res);
	else
		world_stop(emulator.world, &in->order, res);
}

static void
order_free(struct emu_order *in)
{
	json_decref(in->root);
	free(in);
}

static void
order_late(void *data)
{
	struct emu_order *in = data;
	struct gb_pool_order_res res;

	order_apply(in, &res);
	order_free(in);
}

static void
serve_order(struct emulator *emu, struct emu_worker *worker,
    struct http_call *call, bool start)
{
	struct emu_order *in = order_decode(worker, call, start);
	struct gb_pool_order_res res = {0};

	if (in == NULL) {
		emu_answer(call, 400, json_object());
		return;
	}
	if (emu_chance(emu, emu->faults.orders_late)) {
		emu_later(emu,
		    LATE_MIN_MS + (unsigned int)(gb_random_next(&emu->seed) %
						 LATE_RANGE_MS),
		    order_late, in);
		return;
	}
	order_apply(in, &res);
	order_free(in);
	if (!emu_chance(emu, emu->faults.orders_lost))
		order_answer(call, &res);
}

/* Heartbeats -------------------------------------------------------------- */

static void
run_name(const struct gb_pool_run_report *run, char *out, size_t size)
{
	const struct gb_pool_run_id id = {
	    run->flow, run->step, run->index, run->run};

	plat_task_name(&id, out, size);
}

static void
heartbeat_answer(struct http_call *call, const struct gb_pool_report *report)
{
	const struct gb_pool_order_res res = {
	    .status = report->status, .clock_ms = report->clock_ms};
	json_t *running;
	json_t *ended;
	size_t i;

	if (report->status != GB_POOL_ORDER_DONE) {
		order_answer(call, &res);
		return;
	}
	running = json_array();
	ended = json_array();
	for (i = 0; i < report->running_count; i++) {
		const struct gb_pool_run_report *run = &report->running[i];
		char name[GB_NAME_MAX + 1];

		run_name(run, name, sizeof(name));
		json_array_append_new(running,
		    json_pack("[s, I, s, i, i]", name, (json_int_t)run->run,
			run->checkpoint, (int)run->percent, 0));
	}
	for (i = 0; i < report->ended_count; i++) {
		const struct gb_pool_run_report *run = &report->ended[i];
		char name[GB_NAME_MAX + 1];

		run_name(run, name, sizeof(name));
		json_array_append_new(ended,
		    json_pack("[I, s, I, s, s]", (json_int_t)run->number, name,
			(json_int_t)run->run, plat_outcome_name(run->outcome),
			run->checkpoint));
	}
	emu_answer(call, 200,
	    json_pack("{s:I, s:I, s:o, s:o}", "ClockMs",
		(json_int_t)res.clock_ms, "born",
		(json_int_t)report->incarnation, "Running", running, "Finished",
		ended));
}

/** Answer a heartbeat if there is something to report or its wait is over.
 * Returns whether it is finished. */
static bool
heartbeat_try(struct emulator *emu, struct waiting_heartbeat *wait)
{
	struct gb_pool_report report;
	char addr[GB_NAME_MAX + 1];
	bool answer;

	worker_addr(wait->worker->number, addr, sizeof(addr));
	wait->heartbeat.worker = wait->worker_id;
	wait->heartbeat.addr = addr;
	/* The process that received it has terminated, and its connections with
	 * it, so the heartbeat isn't answered. */
	if (wait->process != world_worker_process(emu->world, addr))
		return true;
	world_heartbeat(emu->world, &wait->heartbeat, &report);
	/* Lease and cursor are applied only once, when the call arrives. */
	wait->heartbeat.lease_end_ms = 0;
	wait->heartbeat.cursor = 0;
	answer = report.status != GB_POOL_ORDER_DONE ||
		 report.ended_count > 0 || wait->deadline <= emu_now(emu);
	if (answer)
		heartbeat_answer(wait->call, &report);
	world_report_free(&report);
	return answer;
}

static void
serve_heartbeat(
    struct emulator *emu, struct emu_worker *worker, struct http_call *call)
{
	json_t *root = json_loadb(call->body, call->body_len, 0, NULL);
	struct waiting_heartbeat *wait = gb_calloc(1, sizeof(*wait));
	char addr[GB_NAME_MAX + 1];
	int64_t ms = plat_json_int(root, "WaitMs");

	wait->worker = worker;
	wait->call = call;
	http_call_header(call, "x-gooseberrycart-target-instance",
	    wait->worker_id, sizeof(wait->worker_id));
	wait->heartbeat.token = (uint64_t)plat_json_int(root, "FencingToken");
	wait->heartbeat.cursor = (uint64_t)plat_json_int(root, "AckCursor");
	wait->heartbeat.lease_end_ms = plat_json_int(root, "DeadlineMs");
	wait->deadline =
	    emu_now(emu) + (ms < WAIT_MAX_MS ? ms : WAIT_MAX_MS) * GB_MSEC;
	json_decref(root);
	worker_addr(worker->number, addr, sizeof(addr));
	wait->process = world_worker_process(emu->world, addr);
	if (heartbeat_try(emu, wait))
		free(wait);
	else
		TAILQ_INSERT_TAIL(&heartbeats, wait, next);
}

void
emu_worker_tick(struct emulator *emu)
{
	struct waiting_heartbeat *wait = TAILQ_FIRST(&heartbeats);

	while (wait != NULL) {
		struct waiting_heartbeat *next = TAILQ_NEXT(wait, next);

		if (heartbeat_try(emu, wait)) {
			TAILQ_REMOVE(&heartbeats, wait, next);
			free(wait);
		}
		wait = next;
	}
}

void
emu_worker_serve(void *data, struct http_call *call)
{
	struct emu_worker *worker = data;

	if (worker->down)
		return;
	if (strcmp(call->path, "/gooseberrycart/run-start") == 0)
		serve_order(&emulator, worker, call, true);
	else if (strcmp(call->path, "/gooseberrycart/run-stop") == 0)
		serve_order(&emulator, worker, call, false);
	else if (strcmp(call->path, "/gooseberrycart/hold") == 0)
		serve_heartbeat(&emulator, worker, call);
	else
		emu_answer(call, 404, json_object());
}

/* List -------------------------------------------------------------------- */

/** Put an error into an entry, so that it names no usable worker. */
static void
entry_make_invalid(json_t *entry, unsigned int error)
{
	switch (error) {
	case 1:
		json_object_del(entry, "State");
		break;
	case 2:
		json_object_set_new(entry, "State", json_string("resting"));
		break;
	case 3:
		json_object_set_new(entry, "Service", json_string("unknown"));
		break;
	case 4:
		json_object_set_new(entry, "Capacity", json_string("large"));
		break;
	default:
		json_object_set_new(entry, "Address", json_integer(7));
		break;
	}
}

static char *
entry_text(const struct emulator *emu, unsigned int number, unsigned int error)
{
	struct gb_pool_entry entry;
	char addr[GB_NAME_MAX + 1];
	json_t *json;
	size_t len;

	world_worker_entry(emu->world, number, &entry);
	snprintf(addr, sizeof(addr), "127.0.0.1:%u", emu->listed_port + number);
	json = json_pack("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:i, s:I, s:[s], "
			 "s:{s:i, s:i, s:i}}",
	    "Service", entry.service, "Address", addr, "Zone", entry.dc,
	    "Version", "1", "Slots", 8, "State",
	    entry.draining ? "draining" : "ready", "ColdRemainingMs", 0, "Seq",
	    1, "born", (json_int_t)entry.incarnation, "Labels", entry.label[0],
	    "Capacity", "Cpu", entry.capacity.cpu, "MemMb", entry.capacity.mem,
	    "Gpus", entry.capacity.accel);
	if (entry.leaves_in > 0)
		json_object_set_new(json, "RemainingMs",
		    json_integer(entry.leaves_in / GB_MSEC));
	if (error > 0)
		entry_make_invalid(json, error);
	return plat_json_text(json, &len);
}

static void
entry_remove(struct emulator *emu, struct emu_worker *worker)
{
	emu_store_put(emu, "servers", worker->listed, NULL);
	free(worker->entry);
	worker->entry = NULL;
}

static void
worker_list(struct emulator *emu, struct emu_worker *worker)
{
	struct gb_pool_entry entry;
	char *text;

	world_worker_entry(emu->world, worker->number, &entry);
	if (worker->down) {
		if (worker->entry != NULL &&
		    emu_now(emu) - worker->down_at > ENTRY_SILENCE)
			entry_remove(emu, worker);
		return;
	}
	if (worker->entry != NULL && strcmp(worker->listed, entry.id) != 0)
		entry_remove(emu, worker);
	text = entry_text(emu, worker->number, worker->entry_error);
	if (worker->entry != NULL && strcmp(worker->entry, text) == 0) {
		free(text);
		return;
	}
	free(worker->entry);
	worker->entry = text;
	snprintf(worker->listed, sizeof(worker->listed), "%s", entry.id);
	emu_store_put(emu, "servers", worker->listed, text);
}

void
emu_worker_list(struct emulator *emu)
{
	unsigned int i;

	if (emu->faults.store != EMU_STORE_SERVES)
		return;
	for (i = 0; i < emu->worker_count; i++)
		worker_list(emu, &emu->workers[i]);
}

void
emu_worker_entries_expire(struct emulator *emu)
{
	unsigned int i;

	for (i = 0; i < emu->worker_count; i++) {
		if (emu->workers[i].entry != NULL)
			entry_remove(emu, &emu->workers[i]);
	}
}

/* Advice ------------------------------------------------------------------ */

void
emu_advice_serve(void *data, struct http_call *call)
{
	struct emulator *emu = data;
	json_t *root = json_loadb(call->body, call->body_len, 0, NULL);
	const json_t *workers = json_object_get(root, "Workers");
	gb_advice_ask ask = {0};
	gb_advice_res res;
	json_t *rows = json_array();
	u_int i;

	ask.step = (char *)plat_json_string(root, "Step");
	ask.workers.workers_len = (u_int)json_array_size(workers);
	ask.workers.workers_val =
	    gb_calloc(ask.workers.workers_len + 1, sizeof(gb_name));
	for (i = 0; i < ask.workers.workers_len; i++)
		ask.workers.workers_val[i] =
		    (char *)json_string_value(json_array_get(workers, i));
	world_advise(
	    emu->world, emu->approved_percent, emu->ticket_valid, &ask, &res);
	for (i = 0; i < res.approved.approved_len; i++)
		json_array_append_new(rows,
		    json_pack("[s, s]", res.approved.approved_val[i].worker,
			res.approved.approved_val[i].ticket));
	emu_answer_later(emu, call, 200,
	    json_pack("{s:o, s:I}", "Approved", rows, "ValidMs",
		(json_int_t)(emu->ticket_valid / GB_MSEC)),
	    emu->decide_ms);
	world_advice_free(&res);
	free(ask.workers.workers_val);
	json_decref(root);
}
