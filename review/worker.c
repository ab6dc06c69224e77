/**
 * @file worker.c
 * Workers: orders, holds, leases, runs, and their entries in the store.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "platform.h"

#define SERVICE "passport-svc"
#define MEMORY_MB 65536
#define RACK_WORKERS 8
#define HEARTBEAT_MS 1500
#define GANG_TIMEOUT_MS 3000
#define HOLD_MAX_MS 6000
#define WAIT_MAX_MS 2000
/** Time after which the entry of a worker that is down is removed. */
#define ENTRY_SILENCE_MS (3 * HEARTBEAT_MS)
/** Time for which a crashed worker is down. */
#define DOWN_MS 1300
#define CLOCK_OFFSET_MS 400000
#define NAME_SIZE 96
#define SAVED_SIZE 512

struct run {
	TAILQ_ENTRY(run) next;
	char task[NAME_SIZE];
	int64_t number;
	unsigned long gang; /**< members, 0: none */
	bool saves;
	bool together; /**< all members of its gang are present */
	int64_t began;
	int64_t work_ms;
	int64_t worked_ms;
	char saved[SAVED_SIZE];
};

struct end {
	TAILQ_ENTRY(end) next;
	int64_t number;
	char task[NAME_SIZE];
	int64_t run;
	const char *how;
	char saved[SAVED_SIZE];
};

/** Highest run of a task that was stopped or has ended on a worker. */
struct past {
	TAILQ_ENTRY(past) next;
	char task[NAME_SIZE];
	int64_t run;
};

/** A checkpoint that was produced for a task. */
struct checkpoint {
	TAILQ_ENTRY(checkpoint) next;
	char task[NAME_SIZE];
	char text[SAVED_SIZE];
	int64_t worked_ms;
};

struct worker;

struct hold {
	TAILQ_ENTRY(hold) next;
	int64_t token;
	struct worker *worker;
	struct http_call *call;
	int64_t deadline;
};

TAILQ_HEAD(run_list, run);
TAILQ_HEAD(end_list, end);
TAILQ_HEAD(past_list, past);
TAILQ_HEAD(checkpoint_list, checkpoint);
TAILQ_HEAD(hold_list, hold);

struct worker {
	unsigned int number;
	unsigned int life;
	char id[32];
	bool up;
	bool draining;
	bool failing;
	int64_t down_at;
	int64_t leaves_at;
	int64_t listed_at;
	int64_t seq;
	int64_t token;
	int64_t lease_end;
	int64_t offset;
	int64_t ends_count;
	struct run_list runs;
	struct end_list ends;
	struct past_list past;
};

static struct worker *workers;
static struct checkpoint_list checkpoints = TAILQ_HEAD_INITIALIZER(checkpoints);
/** Workers that are cut off, and the newest fencing number before that. */
static unsigned int cut_workers;
static int64_t cut_token;
static struct hold_list holds = TAILQ_HEAD_INITIALIZER(holds);

static int64_t
worker_clock(const struct worker *worker)
{
	return worker->offset + cell_now();
}

static void
worker_begin(struct worker *worker)
{
	worker->life++;
	worker->up = true;
	worker->draining = false;
	worker->failing = false;
	worker->leaves_at = 0;
	worker->listed_at = 0;
	worker->seq = 0;
	worker->token = 0;
	worker->lease_end = 0;
	worker->ends_count = 0;
	worker->offset = CLOCK_OFFSET_MS + (int64_t)worker->number * 1000 +
			 (int64_t)worker->life * 100000;
	snprintf(worker->id, sizeof(worker->id), "i-%04x%04x", worker->number,
	    worker->life);
}

/* Runs -------------------------------------------------------------------- */

/** Length of a task's name without the index. */
static size_t
step_len(const char *task)
{
	const char *dot = strrchr(task, '.');

	return dot == NULL ? strlen(task) : (size_t)(dot - task);
}

static bool
runs_together(const struct run *a, const struct run *b)
{
	size_t len = step_len(a->task);

	return a->gang > 0 && a->number == b->number &&
	       step_len(b->task) == len && strncmp(a->task, b->task, len) == 0;
}

static struct past *
past_get(struct worker *worker, const char *task)
{
	struct past *past;

	TAILQ_FOREACH(past, &worker->past, next)
	{
		if (strcmp(past->task, task) == 0)
			return past;
	}
	past = calloc(1, sizeof(*past));
	snprintf(past->task, sizeof(past->task), "%s", task);
	TAILQ_INSERT_TAIL(&worker->past, past, next);
	return past;
}

static void
checkpoint_add(struct run *run)
{
	struct checkpoint *checkpoint = calloc(1, sizeof(*checkpoint));

	snprintf(run->saved, sizeof(run->saved), "%0*" PRIx64,
	    (int)cell.save_bytes, run->worked_ms);
	snprintf(checkpoint->task, sizeof(checkpoint->task), "%s", run->task);
	snprintf(checkpoint->text, sizeof(checkpoint->text), "%s", run->saved);
	checkpoint->worked_ms = run->worked_ms;
	TAILQ_INSERT_TAIL(&checkpoints, checkpoint, next);
}

static const struct checkpoint *
checkpoint_find(const char *task, const char *text)
{
	const struct checkpoint *checkpoint;

	TAILQ_FOREACH(checkpoint, &checkpoints, next)
	{
		if (strcmp(checkpoint->task, task) == 0 &&
		    strcmp(checkpoint->text, text) == 0)
			return checkpoint;
	}
	return NULL;
}

static void
run_end(struct worker *worker, struct run *run, const char *how)
{
	struct end *end = calloc(1, sizeof(*end));
	struct past *past = past_get(worker, run->task);

	cell_record("end task=%s run=%" PRId64 " worker=%u how=%s", run->task,
	    run->number, worker->number, how);
	end->number = ++worker->ends_count;
	snprintf(end->task, sizeof(end->task), "%s", run->task);
	end->run = run->number;
	end->how = how;
	snprintf(end->saved, sizeof(end->saved), "%s", run->saved);
	TAILQ_INSERT_TAIL(&worker->ends, end, next);
	if (run->number > past->run)
		past->run = run->number;
	TAILQ_REMOVE(&worker->runs, run, next);
	free(run);
}

/** End the other members of a gang. */
static void
gang_end(const struct run *member, const char *how)
{
	struct run *run;
	struct run *after;
	unsigned int i;

	for (i = 0; i < cell.workers; i++) {
		for (run = TAILQ_FIRST(&workers[i].runs); run != NULL;
		     run = after) {
			after = TAILQ_NEXT(run, next);
			if (run != member && runs_together(member, run))
				run_end(&workers[i], run, how);
		}
	}
}

/** End a run and, of a gang, the others. */
static void
run_end_all(
    struct worker *worker, struct run *run, const char *how, const char *others)
{
	struct run member = *run;

	run_end(worker, run, how);
	if (member.gang > 0)
		gang_end(&member, others);
}

static unsigned long
gang_present(const struct run *member)
{
	const struct run *run;
	unsigned long count = 0;
	unsigned int i;

	for (i = 0; i < cell.workers; i++) {
		TAILQ_FOREACH(run, &workers[i].runs, next)
		{
			count += runs_together(member, run);
		}
	}
	return count;
}

/** Let a run work; returns whether runs have ended. */
static bool
run_tick(struct worker *worker, struct run *run, int64_t passed)
{
	if (run->gang > 0 && !run->together)
		run->together = gang_present(run) >= run->gang;
	if (run->gang > 0 && !run->together) {
		if (cell_now() - run->began < GANG_TIMEOUT_MS)
			return false;
		run_end(worker, run, "alone");
		return true;
	}
	if (worker->failing) {
		run_end_all(worker, run, "failed", "broken");
		return true;
	}
	if (run->saves && cell.save_ms > 0 &&
	    (run->worked_ms + passed) / cell.save_ms >
		run->worked_ms / cell.save_ms) {
		run->worked_ms += passed;
		checkpoint_add(run);
	} else {
		run->worked_ms += passed;
	}
	if (run->worked_ms < run->work_ms)
		return false;
	run_end_all(worker, run, "done", "done");
	return true;
}

static void
worker_lose(struct worker *worker)
{
	struct run *run;
	struct end *end;
	struct past *past;

	while ((run = TAILQ_FIRST(&worker->runs)) != NULL) {
		struct run lost = *run;

		cell_record("lost task=%s run=%" PRId64 " worker=%u", run->task,
		    run->number, worker->number);
		TAILQ_REMOVE(&worker->runs, run, next);
		free(run);
		if (lost.gang > 0)
			gang_end(&lost, "broken");
	}
	while ((end = TAILQ_FIRST(&worker->ends)) != NULL) {
		TAILQ_REMOVE(&worker->ends, end, next);
		free(end);
	}
	while ((past = TAILQ_FIRST(&worker->past)) != NULL) {
		TAILQ_REMOVE(&worker->past, past, next);
		free(past);
	}
	worker->up = false;
	worker->down_at = cell_now();
}

/* Orders ------------------------------------------------------------------ */

static json_t *
clock_message(const struct worker *worker, const char *reason)
{
	json_t *message =
	    json_pack("{s:I}", "ClockMs", (json_int_t)worker_clock(worker));

	if (reason != NULL)
		json_object_set_new(message, "Reason", json_string(reason));
	return message;
}

static void
refuse(struct worker *worker, struct http_call *call, const char *reason)
{
	cell_answer(call, 409, clock_message(worker, reason), 0);
}

static int64_t
number_of(const json_t *root, const char *name)
{
	return json_integer_value(json_object_get(root, name));
}

static const char *
string_of(const json_t *root, const char *name)
{
	const char *text = json_string_value(json_object_get(root, name));

	return text == NULL ? "" : text;
}

/** Whether a call with a fencing number, or its answer, passes the cut. */
static bool
call_passes(const struct worker *worker, int64_t token)
{
	if (cut_workers == 0)
		return true;
	return (worker->number < cut_workers) == (token <= cut_token);
}

void
workers_cut(unsigned int count)
{
	unsigned int i;

	cut_workers = count;
	cut_token = 0;
	for (i = 0; i < cell.workers; i++) {
		if (workers[i].token > cut_token)
			cut_token = workers[i].token;
	}
}

/** Check what all calls share; answers a call that is refused. */
static bool
call_accept(struct worker *worker, struct http_call *call, const json_t *root)
{
	char id[64];

	if (!worker->up ||
	    !call_passes(worker, number_of(root, "FencingToken")))
		return false; /* no answer */
	if (http_call_header(call, "x-gooseberrycart-target-instance", id,
		sizeof(id)) != NULL &&
	    strcmp(id, worker->id) != 0) {
		cell_answer(call, 421, json_object(), 0);
		return false;
	}
	if (number_of(root, "FencingToken") < worker->token) {
		refuse(worker, call, "fence");
		return false;
	}
	worker->token = number_of(root, "FencingToken");
	return true;
}

static void
lease_renew(struct worker *worker, int64_t until)
{
	if (until > worker_clock(worker) + HOLD_MAX_MS)
		until = worker_clock(worker) + HOLD_MAX_MS;
	if (until > worker->lease_end)
		worker->lease_end = until;
}

static struct run *
run_find(const struct worker *worker, const char *task, int64_t number)
{
	struct run *run;

	TAILQ_FOREACH(run, &worker->runs, next)
	{
		if (run->number == number && strcmp(run->task, task) == 0)
			return run;
	}
	return NULL;
}

static void
run_begin(struct worker *worker, const json_t *root)
{
	struct run *run = calloc(1, sizeof(*run));
	const char *spec = string_of(root, "Spec");
	const char *saved = string_of(root, "LastCheckpoint");
	const struct checkpoint *from;

	snprintf(run->task, sizeof(run->task), "%s", string_of(root, "Task"));
	run->number = number_of(root, "Run");
	run->gang = cell_word(spec, "gang=", 0);
	run->saves = cell_word(spec, "saves=", 0) > 0;
	run->work_ms = (int64_t)cell_word(spec, "ms=", 1000);
	run->began = cell_now();
	if (saved[0] != '\0') {
		from = checkpoint_find(run->task, saved);
		if (from == NULL)
			cell_record("WRONG CHECKPOINT task=%s run=%" PRId64
				    " of %zu bytes",
			    run->task, run->number, strlen(saved));
		else
			run->worked_ms = from->worked_ms;
		snprintf(run->saved, sizeof(run->saved), "%s", saved);
	}
	TAILQ_INSERT_TAIL(&worker->runs, run, next);
	cell_record("start task=%s run=%" PRId64 " worker=%u draining=%d"
		    " saved=%zu",
	    run->task, run->number, worker->number, worker->draining,
	    strlen(saved));
}

static void
serve_start(struct worker *worker, struct http_call *call, const json_t *root)
{
	const char *task = string_of(root, "Task");
	const char *spec = string_of(root, "Spec");
	char step[NAME_SIZE];

	if (run_find(worker, task, number_of(root, "Run")) != NULL) {
		cell_answer(call, 200, clock_message(worker, NULL), 0);
		return;
	}
	if (number_of(root, "DeadlineMs") <= worker_clock(worker)) {
		refuse(worker, call, "late");
		return;
	}
	lease_renew(worker, number_of(root, "DeadlineMs"));
	if (number_of(root, "Run") <= past_get(worker, task)->run) {
		refuse(worker, call, "old");
		return;
	}
	snprintf(step, sizeof(step), "%.*s", (int)step_len(task), task);
	if (cell_word(spec, "ticket=", 0) > 0 &&
	    !advice_ticket_valid(string_of(root, "Ticket"), step, worker->id)) {
		refuse(worker, call, "ticket");
		return;
	}
	run_begin(worker, root);
	cell_answer(call, 200, clock_message(worker, NULL), 0);
}

static void
serve_stop(struct worker *worker, struct http_call *call, const json_t *root)
{
	const char *task = string_of(root, "Task");
	struct run *run = run_find(worker, task, number_of(root, "Run"));
	struct past *past = past_get(worker, task);

	if (run != NULL) {
		if (run->saves)
			checkpoint_add(run);
		run_end_all(worker, run, "stopped", "broken");
	} else if (number_of(root, "Run") > past->run) {
		past->run = number_of(root, "Run");
	}
	cell_answer(call, 200, clock_message(worker, NULL), 0);
}

/* Holds ------------------------------------------------------------------- */

static void
hold_answer(struct worker *worker, struct http_call *call)
{
	json_t *message = clock_message(worker, NULL);
	json_t *running = json_array();
	json_t *ended = json_array();
	const struct run *run;
	const struct end *end;

	TAILQ_FOREACH(run, &worker->runs, next)
	{
		json_array_append_new(running,
		    json_pack("[s, I, s, i, i]", run->task,
			(json_int_t)run->number, run->saved,
			(int)(run->worked_ms * 100 / run->work_ms), 0));
	}
	TAILQ_FOREACH(end, &worker->ends, next)
	{
		json_array_append_new(ended,
		    json_pack("[I, s, I, s, s]", (json_int_t)end->number,
			end->task, (json_int_t)end->run, end->how, end->saved));
	}
	json_object_set_new(message, "Running", running);
	json_object_set_new(message, "Finished", ended);
	cell_answer(call, 200, message, 0);
}

static void
serve_hold(struct worker *worker, struct http_call *call, const json_t *root)
{
	int64_t wait = number_of(root, "WaitMs");
	struct hold *hold;
	struct end *end;

	if (number_of(root, "DeadlineMs") > 0)
		lease_renew(worker, number_of(root, "DeadlineMs"));
	while ((end = TAILQ_FIRST(&worker->ends)) != NULL &&
	       end->number <= number_of(root, "AckCursor")) {
		TAILQ_REMOVE(&worker->ends, end, next);
		free(end);
	}
	if (wait <= 0 || !TAILQ_EMPTY(&worker->ends)) {
		hold_answer(worker, call);
		return;
	}
	hold = calloc(1, sizeof(*hold));
	hold->worker = worker;
	hold->token = number_of(root, "FencingToken");
	hold->call = call;
	hold->deadline = cell_now() + (wait > WAIT_MAX_MS ? WAIT_MAX_MS : wait);
	TAILQ_INSERT_TAIL(&holds, hold, next);
}

static void
holds_tick(void)
{
	struct hold *hold;
	struct hold *after;

	for (hold = TAILQ_FIRST(&holds); hold != NULL; hold = after) {
		after = TAILQ_NEXT(hold, next);
		if (hold->worker->up && TAILQ_EMPTY(&hold->worker->ends) &&
		    hold->deadline > cell_now())
			continue;
		TAILQ_REMOVE(&holds, hold, next);
		if (hold->worker->up && call_passes(hold->worker, hold->token))
			hold_answer(hold->worker, hold->call);
		free(hold);
	}
}

static void
worker_serve(void *data, struct http_call *call)
{
	struct worker *worker = data;
	json_t *root = json_loadb(call->body, call->body_len, 0, NULL);

	if (root == NULL)
		cell_answer(call, 400, json_object(), 0);
	else if (call_accept(worker, call, root)) {
		if (strcmp(call->path, "/gooseberrycart/run-start") == 0)
			serve_start(worker, call, root);
		else if (strcmp(call->path, "/gooseberrycart/run-stop") == 0)
			serve_stop(worker, call, root);
		else if (strcmp(call->path, "/gooseberrycart/hold") == 0)
			serve_hold(worker, call, root);
		else
			cell_answer(call, 404, json_object(), 0);
	}
	json_decref(root);
}

/* Entries ----------------------------------------------------------------- */

static void
worker_list(struct worker *worker)
{
	char address[32];
	char rack[16];
	json_t *entry;

	snprintf(address, sizeof(address), "127.0.0.1:%u",
	    cell.port + 100 + worker->number);
	snprintf(rack, sizeof(rack), "r1-%u", worker->number / RACK_WORKERS);
	entry = json_pack("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:{s:i, s:i, "
			  "s:i}, s:[s, s], s:I, s:I}",
	    "Service", SERVICE, "Address", address, "Zone", "aarhus-a",
	    "Version", "v1", "Slots", 8, "State",
	    worker->draining ? "draining" : "ready", "ColdRemainingMs", 0,
	    "Capacity", "Cpu", (int)cell.cpu, "MemMb", MEMORY_MB, "Gpus", 0,
	    "Labels", "a", rack, "ClockMs", (json_int_t)worker_clock(worker),
	    "Seq", (json_int_t)++worker->seq);
	if (worker->draining)
		json_object_set_new(entry, "RemainingMs",
		    json_integer(worker->leaves_at - cell_now()));
	store_put("servers", worker->id, entry);
	worker->listed_at = cell_now();
}

static void
worker_tick(struct worker *worker, int64_t passed)
{
	struct run *run;
	struct run *after;

	if (!worker->up) {
		if (worker->seq > 0 &&
		    cell_now() - worker->down_at > ENTRY_SILENCE_MS) {
			store_put("servers", worker->id, NULL);
			worker->seq = 0;
		}
		if (!worker->draining &&
		    cell_now() - worker->down_at > DOWN_MS) {
			if (worker->seq > 0)
				store_put("servers", worker->id, NULL);
			worker_begin(worker);
		}
		return;
	}
	if (worker->leaves_at > 0 && cell_now() >= worker->leaves_at) {
		cell_record("left worker=%u", worker->number);
		worker_lose(worker);
		store_put("servers", worker->id, NULL);
		worker->seq = 0;
		return;
	}
	if (worker->listed_at == 0 ||
	    cell_now() - worker->listed_at >= HEARTBEAT_MS)
		worker_list(worker);
	if (worker_clock(worker) > worker->lease_end) {
		while ((run = TAILQ_FIRST(&worker->runs)) != NULL)
			run_end_all(worker, run, "lapsed", "broken");
	}
	for (run = TAILQ_FIRST(&worker->runs); run != NULL; run = after) {
		after = TAILQ_NEXT(run, next);
		if (run_tick(worker, run, passed))
			after = TAILQ_FIRST(&worker->runs);
	}
}

void
workers_tick(void)
{
	static int64_t last;
	int64_t passed = cell_now() - last;
	unsigned int i;

	last = cell_now();
	for (i = 0; i < cell.workers; i++)
		worker_tick(&workers[i], passed);
	holds_tick();
}

bool
worker_control(unsigned int number, const char *what)
{
	struct worker *worker;

	if (number >= cell.workers)
		return false;
	worker = &workers[number];
	cell_record("worker=%u %s", number, what);
	if (strcmp(what, "crash") == 0) {
		worker_lose(worker);
	} else if (strcmp(what, "fail") == 0) {
		worker->failing = true;
	} else if (strncmp(what, "drain", 5) == 0) {
		worker->draining = true;
		worker->leaves_at =
		    cell_now() + (int64_t)cell_word(what, "drain", 6000);
		worker_list(worker);
	} else {
		return false;
	}
	return true;
}

unsigned int
workers_running(void)
{
	const struct run *run;
	unsigned int count = 0;
	unsigned int i;

	for (i = 0; i < cell.workers; i++) {
		TAILQ_FOREACH(run, &workers[i].runs, next)
		{
			count++;
		}
	}
	return count;
}

int
worker_index(const char *id)
{
	unsigned int i;

	for (i = 0; i < cell.workers; i++) {
		if (workers[i].up && strcmp(workers[i].id, id) == 0)
			return (int)i;
	}
	return -1;
}

bool
workers_start(void)
{
	unsigned int i;

	workers = calloc(cell.workers, sizeof(*workers));
	for (i = 0; i < cell.workers; i++) {
		workers[i].number = i;
		TAILQ_INIT(&workers[i].runs);
		TAILQ_INIT(&workers[i].ends);
		TAILQ_INIT(&workers[i].past);
		worker_begin(&workers[i]);
		if (!cell_listen(100 + i, worker_serve, &workers[i]))
			return false;
	}
	return true;
}
