/**
 * @file platform.c
 * Program of the stand-in: options, the control address, the clock.
 */
#include <argp.h>
#include <ctype.h>
#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "platform.h"

#define BODY_MAX_BYTES (1024 * 1024)
#define CONTROL_OFFSET 1
#define STORE_OFFSET 80

struct cell_options cell = {.nodes = 1,
    .workers = 48,
    .cpu = 16000,
    .approved = 48,
    .decide_ms = 20,
    .valid_ms = 1500,
    .save_bytes = 16,
    .save_ms = 2000,
    .read_ms = 4,
    .transaction_ms = 8,
    .record = "/dev/stdout"};
uv_loop_t *cell_loop;

static uint64_t began;
static FILE *record;

int64_t
cell_now(void)
{
	return (int64_t)((uv_hrtime() - began) / 1000000);
}

void
cell_record(const char *format, ...)
{
	va_list args;

	fprintf(record, "%8.3f ", (double)cell_now() / 1000);
	va_start(args, format);
	vfprintf(record, format, args);
	va_end(args);
	fputc('\n', record);
	fflush(record);
}

unsigned long
cell_word(const char *text, const char *word, unsigned long fallback)
{
	const char *at = strstr(text, word);

	return at == NULL ? fallback : strtoul(at + strlen(word), NULL, 10);
}

static int
hex_digit(char c)
{
	return isdigit((unsigned char)c) ? c - '0'
					 : tolower((unsigned char)c) - 'a' + 10;
}

void
cell_query(
    const struct http_call *call, const char *name, char *out, size_t size)
{
	const char *at = call->query;
	size_t len = strlen(name);
	size_t n = 0;

	out[0] = '\0';
	while (
	    at[0] != '\0' && (strncmp(at, name, len) != 0 || at[len] != '=')) {
		at += strcspn(at, "&");
		at += at[0] == '&';
	}
	if (at[0] == '\0')
		return;
	for (at += len + 1; at[0] != '\0' && at[0] != '&' && n + 1 < size;
	     at++) {
		if (at[0] == '%' && isxdigit((unsigned char)at[1]) &&
		    isxdigit((unsigned char)at[2])) {
			out[n++] =
			    (char)(hex_digit(at[1]) * 16 + hex_digit(at[2]));
			at += 2;
		} else {
			out[n++] = at[0];
		}
	}
	out[n] = '\0';
}

struct late_answer {
	uv_timer_t timer;
	struct http_call *call;
	unsigned int status;
	char *text;
};

static void
answer_send(uv_timer_t *timer)
{
	struct late_answer *answer = timer->data;

	http_call_answer(answer->call, answer->status, "application/json",
	    answer->text, strlen(answer->text));
	free(answer->text);
	uv_close((uv_handle_t *)timer, (uv_close_cb)free);
}

void
cell_answer(struct http_call *call, unsigned int status, json_t *message,
    unsigned int after_ms)
{
	char *text = json_dumps(message, JSON_COMPACT);
	struct late_answer *answer;

	json_decref(message);
	if (after_ms == 0) {
		http_call_answer(
		    call, status, "application/json", text, strlen(text));
		free(text);
		return;
	}
	answer = calloc(1, sizeof(*answer));
	answer->call = call;
	answer->status = status;
	answer->text = text;
	uv_timer_init(cell_loop, &answer->timer);
	answer->timer.data = answer;
	uv_timer_start(&answer->timer, answer_send, after_ms, 0);
}

bool
cell_listen(unsigned int offset, http_handler handler, void *data)
{
	struct gb_error err = {0};
	char address[32];

	snprintf(address, sizeof(address), "127.0.0.1:%u", cell.port + offset);
	if (http_server_new(cell_loop, address, BODY_MAX_BYTES, handler, data,
		&err) != NULL)
		return true;
	fprintf(stderr, "review-platform: %s\n", err.text);
	return false;
}

/* Control ----------------------------------------------------------------- */

static void
control_serve(void *data, struct http_call *call)
{
	unsigned int number;
	char what[32] = "";
	json_t *config;

	(void)data;
	if (strcmp(call->path, "/config") == 0) {
		config = json_loadb(call->body, call->body_len, 0, NULL);
		store_put("op", "config", config);
		cell_answer(call, 200, json_object(), 0);
	} else if (strcmp(call->path, "/advice") == 0) {
		cell_answer(call, 200, advice_calls(), 0);
	} else if (strcmp(call->path, "/running") == 0) {
		cell_answer(
		    call, 200, json_pack("[i]", (int)workers_running()), 0);
	} else if (strcmp(call->path, "/cut") == 0) {
		cell_query(call, "node", what, sizeof(what));
		number = (unsigned int)strtoul(what, NULL, 10);
		cell_query(call, "workers", what, sizeof(what));
		cell_record("cut: node %u with %s workers", number, what);
		link_cut(number, true, strstr(call->query, "refuse") != NULL);
		workers_cut((unsigned int)strtoul(what, NULL, 10));
		cell_answer(call, 200, json_object(), 0);
	} else if (strcmp(call->path, "/heal") == 0) {
		cell_query(call, "node", what, sizeof(what));
		cell_record("the cut is over");
		link_cut((unsigned int)strtoul(what, NULL, 10), false, false);
		workers_cut(0);
		cell_answer(call, 200, json_object(), 0);
	} else if (strcmp(call->path, "/read_ms") == 0) {
		cell_query(call, "ms", what, sizeof(what));
		cell.read_ms = (unsigned int)strtoul(what, NULL, 10);
		cell_answer(call, 200, json_object(), 0);
	} else if (sscanf(call->path, "/worker/%u/%31s", &number, what) == 2 &&
		   worker_control(number, what)) {
		cell_answer(call, 200, json_object(), 0);
	} else {
		cell_answer(call, 404, json_object(), 0);
	}
}

/* Program ----------------------------------------------------------------- */

static void
on_tick(uv_timer_t *timer)
{
	(void)timer;
	workers_tick();
	advice_tick();
	store_tick();
}

static const struct argp_option option_table[] = {
    {"port", 'p', "PORT", 0,
	"First port; the control address is the next one, each node reaches "
	"advice from PORT + 10 on, the others reach it from PORT + 20 on and "
	"it listens from PORT + 40 on, its store is from PORT + 80 on, "
	"workers are from PORT + 100 on",
	0},
    {"nodes", 'n', "N", 0, "Nodes that ask for advice", 0},
    {"workers", 'w', "N", 0, "Workers", 0},
    {"cpu", 'c', "N", 0, "Thousandths of a core of a worker", 0},
    {"approved", 'a', "N", 0, "Workers that the policy allows", 0},
    {"decide-ms", 'd', "MS", 0, "Decision of a call for advice", 0},
    {"per-item-ms", 'i', "MS", 0, "Decision for each worker named", 0},
    {"save-bytes", 's', "N", 0, "Length of a checkpoint", 0},
    {"record", 'r', "FILE", 0, "Where to write what happens", 0},
    {0},
};

static unsigned int
number_arg(const char *text)
{
	return (unsigned int)strtoul(text, NULL, 10);
}

static error_t
option_parse(int key, char *arg, struct argp_state *state)
{
	switch (key) {
	case 'p':
		cell.port = number_arg(arg);
		return 0;
	case 'n':
		cell.nodes = number_arg(arg);
		return 0;
	case 'w':
		cell.workers = number_arg(arg);
		return 0;
	case 'c':
		cell.cpu = number_arg(arg);
		return 0;
	case 'a':
		cell.approved = number_arg(arg);
		return 0;
	case 'd':
		cell.decide_ms = number_arg(arg);
		return 0;
	case 'i':
		cell.per_item_ms = number_arg(arg);
		return 0;
	case 's':
		cell.save_bytes = number_arg(arg);
		return 0;
	case 'r':
		cell.record = arg;
		return 0;
	case ARGP_KEY_END:
		if (cell.port == 0)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int
main(int argc, char **argv)
{
	static const struct argp argp = {option_table, option_parse, NULL,
	    "The users' platform on loopback, for the review's cases.", NULL,
	    NULL, NULL};
	unsigned int *numbers;
	uv_timer_t tick;
	unsigned int i;

	signal(SIGPIPE, SIG_IGN);
	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	record = fopen(cell.record, "a");
	if (record == NULL) {
		perror(cell.record);
		return EXIT_FAILURE;
	}
	began = uv_hrtime();
	cell_loop = uv_default_loop();
	numbers = calloc(cell.nodes, sizeof(*numbers));
	for (i = 0; i < cell.nodes; i++) {
		numbers[i] = i;
		if (!cell_listen(STORE_OFFSET + i, store_serve, &numbers[i]))
			return EXIT_FAILURE;
	}
	if (!cell_listen(CONTROL_OFFSET, control_serve, NULL) ||
	    !links_start() || !advice_start() || !workers_start())
		return EXIT_FAILURE;
	uv_timer_init(cell_loop, &tick);
	uv_timer_start(&tick, on_tick, 0, CELL_TICK_MS);
	uv_run(cell_loop, UV_RUN_DEFAULT);
	return EXIT_SUCCESS;
}
