/**
 * @file daemon.c
 * Common main function of the daemons: command line, settings, signals and the
 * file for spans.
 */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "daemon.h"

/** Environment variable with the settings file, if the command line has
 * none. */
#define SETTINGS_VARIABLE "GOOSEBERRYCART_CONFIG"

enum option_key { OPT_PRINT = 'p', OPT_CHECK = 'c', OPT_DOCUMENT = 1000 };

struct options {
	const char *file;
	bool print;
	bool check;
	bool document;
};

static const struct argp_option option_table[] = {
    {"check", OPT_CHECK, NULL, 0, "Check the settings and exit", 0},
    {"print-settings", OPT_PRINT, NULL, 0,
	"Print the settings in force and where each came from", 0},
    {"document-settings", OPT_DOCUMENT, NULL, 0,
	"Print the table of settings as Markdown", 0},
    {0},
};

static const struct daemon *running;
static struct options options;
static FILE *trace_out;
static uv_loop_t loop;

static error_t
option_parse(int key, char *arg, struct argp_state *state)
{
	switch (key) {
	case OPT_PRINT:
		options.print = true;
		return 0;
	case OPT_CHECK:
		options.check = true;
		return 0;
	case OPT_DOCUMENT:
		options.document = true;
		return 0;
	case ARGP_KEY_ARG:
		if (options.file != NULL)
			argp_usage(state);
		options.file = arg;
		return 0;
	case ARGP_KEY_END:
		if (options.file == NULL)
			options.file = getenv(SETTINGS_VARIABLE);
		if (options.file == NULL && !options.document)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void
trace_line(void *data, const char *json)
{
	(void)data;
	fprintf(trace_out, "%s\n", json);
	fflush(trace_out);
}

static void
stopped(void *data)
{
	(void)data;
	gb_logger_line(NULL, GB_LOG_INFO, running->program, "Stopped.");
	exit(EXIT_SUCCESS);
}

static void
on_stop(uv_signal_t *handle, int signum)
{
	(void)signum;
	uv_signal_stop(handle);
	gb_logger_line(NULL, GB_LOG_INFO, running->program,
	    "Stopping: finishing what is in flight.");
	running->stop(stopped, NULL);
}

static void
on_reload(uv_signal_t *handle, int signum)
{
	struct gb_error err = {0};
	void *fresh = gb_calloc(1, running->settings_size);

	(void)handle;
	(void)signum;
	if (gb_settings_read(
		running->table, running->count, fresh, options.file, &err)) {
		running->reload(fresh);
		gb_logger_level((enum gb_level)running->log_level(fresh));
		gb_logger_line(NULL, GB_LOG_INFO, running->program,
		    "Reloaded the settings.");
	} else {
		gb_logger_line(NULL, GB_LOG_ERR, running->program, err.text);
	}
	free(fresh);
}

static void
signals_watch(void)
{
	static uv_signal_t term;
	static uv_signal_t interrupt;
	static uv_signal_t hangup;

	signal(SIGPIPE, SIG_IGN);
	uv_signal_init(&loop, &term);
	uv_signal_start(&term, on_stop, SIGTERM);
	uv_signal_init(&loop, &interrupt);
	uv_signal_start(&interrupt, on_stop, SIGINT);
	uv_signal_init(&loop, &hangup);
	uv_signal_start(&hangup, on_reload, SIGHUP);
}

/** Log an error; returns the exit code. */
static int
fail(const struct gb_error *err)
{
	gb_logger_line(NULL, GB_LOG_ERR, running->program, err->text);
	return EXIT_FAILURE;
}

/** Print the settings, or their table; returns the exit code. */
static int
settings_show(void)
{
	struct gb_text text = {0};
	struct gb_error err = {0};

	if (options.document)
		gb_settings_document(
		    running->table, running->count, running->program, &text);
	else if (!gb_settings_print(
		     running->table, running->count, options.file, &text, &err))
		return fail(&err);
	fputs(text.data, stdout);
	gb_text_free(&text);
	return EXIT_SUCCESS;
}

int
daemon_main(const struct daemon *d, int argc, char **argv)
{
	struct argp argp = {
	    option_table, option_parse, "SETTINGS", d->doc, NULL, NULL, NULL};
	struct gb_env env = {gb_logger_line, trace_line, NULL, NULL};
	struct gb_error err = {0};
	int port;

	running = d;
	gb_memory_init();
	argp_program_version = d->version;
	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	if (options.document)
		return settings_show();
	if (!gb_settings_read(
		d->table, d->count, d->settings, options.file, &err))
		return fail(&err);
	if (options.print)
		return settings_show();
	if (options.check)
		return EXIT_SUCCESS;
	gb_logger_level((enum gb_level)d->log_level(d->settings));
	trace_out = stderr;
	if (d->trace_file()[0] != '\0')
		trace_out = fopen(d->trace_file(), "a");
	if (trace_out == NULL) {
		gb_error_set(
		    &err, GB_E_IO, "%s: cannot be opened", d->trace_file());
		return fail(&err);
	}
	uv_loop_init(&loop);
	port = d->start(&loop, &env, &err);
	if (port < 0)
		return fail(&err);
	gb_env_log(
	    &env, GB_LOG_INFO, d->program, "Listening on port %d.", port);
	signals_watch();
	uv_run(&loop, UV_RUN_DEFAULT);
	return EXIT_SUCCESS;
}
