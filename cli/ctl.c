/**
 * @file ctl.c
 * gooseberryctl: the command line client, which calls the entries of a cell.
 */
#include <argp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <curl/curl.h>

#include "ctl.h"

/** Size of the buffer for the path of a request, in bytes. */
#define PATH_MAX_LEN 512
/** Times that --watch prints the status, once a second. */
#define WATCH_REPEATS 600

const char *argp_program_version = "gooseberryctl 0.1";

static const char doc_text[] =
    "Drive a gooseberrycart cell.\v"
    "Commands:\n"
    "  check FILE           check settings or a document without a server\n"
    "  apply FILE           submit a document as its next version\n"
    "  diff FILE            compare a document with the version in force\n"
    "  get SERVICE [VERS]   print a document\n"
    "  history SERVICE      versions of a document\n"
    "  rollback SERVICE N   submit version N again, as a new version\n"
    "  documents            documents of the team\n"
    "  submit JOB           submit a job (--service, --tasks)\n"
    "  jobs, job JOB        jobs of the team, or one\n"
    "  explain JOB          why a job waits and what would let it start\n"
    "  cancel JOB           cancel a job\n"
    "  workers              workers of the cell\n"
    "  drain WORKER, undrain WORKER\n"
    "  instances, shards, status [--watch]\n"
    "  metrics              counters of a scheduler\n"
    "  organisations        share, quota, use and waiting flows by "
    "organisation\n"
    "                       (--server: where the pool's owner shows counters)\n"
    "  home JOB             home shard of a job (--shards)\n"
    "  trace ID             one trace as a tree (--trace-file)\n\n"
    "Examples:\n"
    "  gooseberryctl --team byggepas apply lookup.json\n"
    "  gooseberryctl --team byggepas submit night1 --service import "
    "--tasks 4\n"
    "  gooseberryctl --team byggepas explain night1\n\n"
    "The server, token and team may stand in GOOSEBERRY_SERVER,\n"
    "GOOSEBERRY_TOKEN and GOOSEBERRY_TEAM.\n\n"
    "Exit codes: 0 done, 1 refused and not run, 2 usage, 3 may have run,\n"
    "4 conflict, 5 no entry reached, 6 invalid input.";

enum option_key {
	OPT_SERVER = 's',
	OPT_TOKEN = 't',
	OPT_TEAM = 'T',
	OPT_JSON = 'j',
	OPT_WATCH = 'w',
	OPT_DCS = 1000,
	OPT_AS,
	OPT_TASKS,
	OPT_SERVICE,
	OPT_TRACE_FILE,
	OPT_DEADLINE,
	OPT_SHARDS
};

static const struct argp_option options[] = {
    {"server", OPT_SERVER, "URL", 0, "An entry, http://IP:port", 0},
    {"token", OPT_TOKEN, "TOKEN", 0, "Bearer token", 0},
    {"team", OPT_TEAM, "TEAM", 0, "Team to act for", 0},
    {"json", OPT_JSON, NULL, 0, "Print the answer as JSON", 0},
    {"watch", OPT_WATCH, NULL, 0, "Print again every second", 0},
    {"dcs", OPT_DCS, "A,B", 0, "Data centres that check knows", 0},
    {"as", OPT_AS, "KIND", 0, "What check reads: document, sched, entry, node",
	0},
    {"tasks", OPT_TASKS, "N", 0, "Tasks of a job", 0},
    {"service", OPT_SERVICE, "SERVICE", 0, "Document of a job", 0},
    {"trace-file", OPT_TRACE_FILE, "FILE", 0, "Spans to read", 0},
    {"shards", OPT_SHARDS, "N", 0, "Shards of the cell, for home", 0},
    {"deadline", OPT_DEADLINE, "MS", 0, "Time that a command may take", 0},
    {0},
};

static error_t
option_parse(int key, char *arg, struct argp_state *state)
{
	struct ctl *ctl = state->input;

	switch (key) {
	case OPT_SERVER:
		ctl->server = arg;
		return 0;
	case OPT_TOKEN:
		ctl->token = arg;
		return 0;
	case OPT_TEAM:
		ctl->team = arg;
		return 0;
	case OPT_JSON:
		ctl->json = true;
		return 0;
	case OPT_WATCH:
		ctl->watch = true;
		return 0;
	case OPT_DCS:
		ctl->dcs = arg;
		return 0;
	case OPT_AS:
		ctl->as = arg;
		return 0;
	case OPT_TASKS:
		ctl->tasks = (unsigned int)strtoul(arg, NULL, 10);
		return 0;
	case OPT_SERVICE:
		ctl->service = arg;
		return 0;
	case OPT_TRACE_FILE:
		ctl->trace_file = arg;
		return 0;
	case OPT_SHARDS:
		ctl->shards = (unsigned int)strtoul(arg, NULL, 10);
		return 0;
	case OPT_DEADLINE:
		ctl->deadline_ms = strtoul(arg, NULL, 10);
		return 0;
	case ARGP_KEY_ARG:
		if (ctl->verb == NULL)
			ctl->verb = arg;
		else if (ctl->arg_count < CTL_ARGS_MAX)
			ctl->arg[ctl->arg_count++] = arg;
		else
			argp_usage(state);
		return 0;
	case ARGP_KEY_END:
		if (ctl->verb == NULL)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/** Make the path of a team's collection, or of an object in it. */
static void
team_path(const struct ctl *ctl, char *out, const char *what, const char *name)
{
	snprintf(out, PATH_MAX_LEN, "/v1/teams/%s/%s%s%s", ctl->team, what,
	    name[0] == '\0' ? "" : "/", name);
}

/** Get a path and print the list in the answer as a table, or the answer as
 * JSON. */
static enum ctl_exit
list_print(const struct ctl *ctl, const char *path, const char *list,
    const char *const *columns)
{
	struct ctl_answer answer;
	enum ctl_exit code = ctl_call(ctl, "GET", path, NULL, NULL, &answer);
	json_t *root;

	if (code == CTL_OK && ctl->json) {
		printf("%s\n", answer.body.data);
	} else if (code == CTL_OK) {
		root = json_loads(answer.body.data, 0, NULL);
		ctl_show_table(json_object_get(root, list), columns);
		json_decref(root);
	}
	ctl_answer_clear(&answer);
	return code;
}

/* Documents */

/** Read the team and service of a document; false after an error message. */
static bool
doc_names(const char *text, char *team, char *service)
{
	json_t *root = json_loads(text, 0, NULL);
	const char *t = json_string_value(json_object_get(root, "team"));
	const char *s = json_string_value(json_object_get(root, "service"));
	bool ok = t != NULL && s != NULL;

	if (ok) {
		snprintf(team, GB_NAME_MAX + 1, "%s", t);
		snprintf(service, GB_NAME_MAX + 1, "%s", s);
	} else {
		fprintf(stderr,
		    "gooseberryctl: the document names no team and service\n");
	}
	json_decref(root);
	return ok;
}

/** Get the version of a document in force, 0 when there is none.  Copies the
 * text unless text is null; the caller frees it. */
static enum ctl_exit
doc_current(
    const struct ctl *ctl, const char *path, uint64_t *vers, char **text)
{
	struct ctl_answer answer;
	struct ctl quiet = *ctl;
	enum ctl_exit code;

	*vers = 0;
	quiet.quiet = true;
	code = ctl_call(&quiet, "GET", path, NULL, NULL, &answer);
	if (code == CTL_OK) {
		sscanf(answer.etag, "\"%" SCNu64 "\"", vers);
		if (text != NULL)
			*text = gb_strdup(answer.body.data);
	} else if (answer.status == 404) {
		code = CTL_OK;
	}
	ctl_answer_clear(&answer);
	return code;
}

/** Submit the next version of a document; it fails unless vers is in force. */
static enum ctl_exit
doc_put(
    const struct ctl *ctl, const char *path, uint64_t vers, const char *text)
{
	struct ctl_answer answer;
	char header[64];
	enum ctl_exit code;

	if (vers == 0)
		snprintf(header, sizeof(header), "If-None-Match: *");
	else
		snprintf(
		    header, sizeof(header), "If-Match: \"%" PRIu64 "\"", vers);
	code = ctl_call(ctl, "PUT", path, header, text, &answer);
	if (code == CTL_OK)
		printf("%s\n", answer.body.data);
	ctl_answer_clear(&answer);
	return code;
}

static enum ctl_exit
run_apply(const struct ctl *ctl)
{
	char team[GB_NAME_MAX + 1];
	char service[GB_NAME_MAX + 1];
	char path[PATH_MAX_LEN];
	char *text = ctl_file_read(ctl->arg[0]);
	struct ctl named = *ctl;
	enum ctl_exit code = CTL_INVALID;
	uint64_t vers;

	if (text != NULL && doc_names(text, team, service)) {
		named.team = team;
		team_path(&named, path, "documents", service);
		code = doc_current(&named, path, &vers, NULL);
		if (code == CTL_OK)
			code = doc_put(&named, path, vers, text);
	}
	free(text);
	return code;
}

static enum ctl_exit
run_diff(const struct ctl *ctl)
{
	char team[GB_NAME_MAX + 1];
	char service[GB_NAME_MAX + 1];
	char path[PATH_MAX_LEN];
	char *text = ctl_file_read(ctl->arg[0]);
	char *old = NULL;
	struct ctl named = *ctl;
	enum ctl_exit code = CTL_INVALID;
	uint64_t vers;

	if (text != NULL && doc_names(text, team, service)) {
		named.team = team;
		team_path(&named, path, "documents", service);
		code = doc_current(&named, path, &vers, &old);
		if (code == CTL_OK)
			ctl_show_diff(old == NULL ? "" : old, text);
	}
	free(old);
	free(text);
	return code;
}

static enum ctl_exit
run_get(const struct ctl *ctl)
{
	struct ctl_answer answer;
	char path[PATH_MAX_LEN];
	char query[PATH_MAX_LEN + 64];
	enum ctl_exit code;

	team_path(ctl, path, "documents", ctl->arg[0]);
	snprintf(query, sizeof(query), "%s%s%s", path,
	    ctl->arg_count > 1 ? "?version=" : "",
	    ctl->arg_count > 1 ? ctl->arg[1] : "");
	code = ctl_call(ctl, "GET", query, NULL, NULL, &answer);
	if (code == CTL_OK)
		printf("%s\n", answer.body.data);
	ctl_answer_clear(&answer);
	return code;
}

static enum ctl_exit
run_history(const struct ctl *ctl)
{
	static const char *const columns[] = {
	    "version", "change", "author", "at_us", NULL};
	char name[PATH_MAX_LEN / 2];
	char path[PATH_MAX_LEN];

	snprintf(name, sizeof(name), "%.200s/history", ctl->arg[0]);
	team_path(ctl, path, "documents", name);
	return list_print(ctl, path, "history", columns);
}

static enum ctl_exit
run_rollback(const struct ctl *ctl)
{
	struct ctl_answer answer;
	char path[PATH_MAX_LEN];
	char query[PATH_MAX_LEN + 64];
	enum ctl_exit code;
	uint64_t vers;

	team_path(ctl, path, "documents", ctl->arg[0]);
	snprintf(query, sizeof(query), "%s?version=%s", path, ctl->arg[1]);
	code = ctl_call(ctl, "GET", query, NULL, NULL, &answer);
	if (code == CTL_OK)
		code = doc_current(ctl, path, &vers, NULL);
	if (code == CTL_OK)
		code = doc_put(ctl, path, vers, answer.body.data);
	ctl_answer_clear(&answer);
	return code;
}

static enum ctl_exit
run_documents(const struct ctl *ctl)
{
	static const char *const columns[] = {
	    "service", "kind", "version", NULL};
	char path[PATH_MAX_LEN];

	team_path(ctl, path, "documents", "");
	return list_print(ctl, path, "documents", columns);
}

/* Jobs */

/** Send a request for a job and print the job in the answer. */
static enum ctl_exit
job_call(const struct ctl *ctl, const char *method, const char *body)
{
	static const char *const columns[] = {"name", "service", "state",
	    "tasks", "waiting", "active", "ended", NULL};
	struct ctl_answer answer;
	char path[PATH_MAX_LEN];
	enum ctl_exit code;

	team_path(ctl, path, "jobs", ctl->arg[0]);
	code = ctl_call(ctl, method, path, NULL, body, &answer);
	if (code == CTL_OK && ctl->json) {
		printf("%s\n", answer.body.data);
	} else if (code == CTL_OK) {
		json_t *list = json_array();

		json_array_append_new(
		    list, json_loads(answer.body.data, 0, NULL));
		ctl_show_table(list, columns);
		json_decref(list);
	}
	ctl_answer_clear(&answer);
	return code;
}

static enum ctl_exit
run_submit(const struct ctl *ctl)
{
	char body[256];

	if (ctl->service == NULL) {
		fprintf(stderr, "gooseberryctl: submit needs --service\n");
		return CTL_USAGE;
	}
	snprintf(body, sizeof(body), "{\"service\": \"%.64s\", \"tasks\": %u}",
	    ctl->service, ctl->tasks);
	return job_call(ctl, "PUT", body);
}

static enum ctl_exit
run_job(const struct ctl *ctl)
{
	return job_call(ctl, "GET", NULL);
}

static enum ctl_exit
run_cancel(const struct ctl *ctl)
{
	return job_call(ctl, "DELETE", NULL);
}

static enum ctl_exit
run_explain(const struct ctl *ctl)
{
	struct ctl_answer answer;
	char path[PATH_MAX_LEN];
	enum ctl_exit code;

	team_path(ctl, path, "jobs", ctl->arg[0]);
	code = ctl_call(ctl, "GET", path, NULL, NULL, &answer);
	if (code == CTL_OK && ctl->json) {
		printf("%s\n", answer.body.data);
	} else if (code == CTL_OK) {
		json_t *job = json_loads(answer.body.data, 0, NULL);
		const char *why =
		    json_string_value(json_object_get(job, "why"));

		printf("%s: %s%s%s\n", ctl->arg[0],
		    json_string_value(json_object_get(job, "state")),
		    why == NULL || why[0] == '\0' ? "" : ": ",
		    why == NULL ? "" : why);
		json_decref(job);
	}
	ctl_answer_clear(&answer);
	return code;
}

static enum ctl_exit
run_jobs(const struct ctl *ctl)
{
	static const char *const columns[] = {"name", "service", "band",
	    "state", "tasks", "waiting", "active", "ended", "why", NULL};
	char path[PATH_MAX_LEN];

	team_path(ctl, path, "jobs", "");
	return list_print(ctl, path, "jobs", columns);
}

/* The cell */

static enum ctl_exit
run_workers(const struct ctl *ctl)
{
	static const char *const columns[] = {"name", "dc", "rack", "platform",
	    "evidence", "draining", "set_aside", "tasks", "requests", NULL};

	return list_print(ctl, "/v1/workers", "workers", columns);
}

static enum ctl_exit
run_drain(const struct ctl *ctl)
{
	struct ctl_answer answer;
	char path[PATH_MAX_LEN];
	enum ctl_exit code;

	snprintf(
	    path, sizeof(path), "/v1/workers/%s/%s", ctl->arg[0], ctl->verb);
	code = ctl_call(ctl, "POST", path, NULL, "", &answer);
	if (code == CTL_OK)
		printf("%s\n", answer.body.data);
	ctl_answer_clear(&answer);
	return code;
}

static enum ctl_exit
run_instances(const struct ctl *ctl)
{
	static const char *const columns[] = {
	    "name", "dc", "change", "live", NULL};

	return list_print(ctl, "/v1/status", "instances", columns);
}

static enum ctl_exit
run_shards(const struct ctl *ctl)
{
	static const char *const columns[] = {"shard", "owner", "epoch", NULL};

	return list_print(ctl, "/v1/status", "shards", columns);
}

static enum ctl_exit
run_status(const struct ctl *ctl)
{
	unsigned int times = ctl->watch ? WATCH_REPEATS : 1;
	enum ctl_exit code;

	for (;;) {
		code = run_instances(ctl);
		if (code == CTL_OK && !ctl->json)
			code = run_shards(ctl);
		if (--times == 0)
			return code;
		sleep(1);
	}
}

static enum ctl_exit
run_check(const struct ctl *ctl)
{
	return ctl_check(ctl, ctl->arg[0]);
}

static enum ctl_exit
run_trace(const struct ctl *ctl)
{
	if (ctl->trace_file == NULL)
		return ctl_trace_flow(
		    ctl->arg[0], &ctl->arg[1], ctl->arg_count - 1);
	return ctl_show_trace(ctl->trace_file, ctl->arg[0]);
}

/** Print the metrics of a scheduler. */
static enum ctl_exit
run_metrics(const struct ctl *ctl)
{
	struct ctl_answer answer;
	enum ctl_exit code =
	    ctl_call(ctl, "GET", "/v1/metrics", NULL, NULL, &answer);

	if (code == CTL_OK)
		printf("%s", answer.body.data);
	ctl_answer_clear(&answer);
	return code;
}

/** Print the home shard of a job. */
static enum ctl_exit
run_home(const struct ctl *ctl)
{
	printf("%u\n", gb_shard_of_job(ctl->shards, ctl->team, ctl->arg[0]));
	return CTL_OK;
}

/** Commands; args_min is the minimum number of their arguments. */
static const struct {
	const char *verb;
	unsigned int args_min;
	bool needs_team;
	enum ctl_exit (*run)(const struct ctl *);
} commands[] = {
    {"check", 1, false, run_check},
    {"apply", 1, false, run_apply},
    {"diff", 1, false, run_diff},
    {"get", 1, true, run_get},
    {"history", 1, true, run_history},
    {"rollback", 2, true, run_rollback},
    {"documents", 0, true, run_documents},
    {"submit", 1, true, run_submit},
    {"jobs", 0, true, run_jobs},
    {"job", 1, true, run_job},
    {"explain", 1, true, run_explain},
    {"cancel", 1, true, run_cancel},
    {"workers", 0, false, run_workers},
    {"drain", 1, false, run_drain},
    {"undrain", 1, false, run_drain},
    {"instances", 0, false, run_instances},
    {"shards", 0, false, run_shards},
    {"status", 0, false, run_status},
    {"trace", 1, false, run_trace},
    {"metrics", 0, false, run_metrics},
    {"organisations", 0, false, ctl_show_orgs},
    {"home", 1, true, run_home},
};

/** Value of an environment variable, or a default. */
static const char *
env_get(const char *name, const char *default_value)
{
	const char *value = getenv(name);

	return value == NULL ? default_value : value;
}

int
main(int argc, char **argv)
{
	static const struct argp argp = {options, option_parse,
	    "COMMAND [ARGUMENT...]", doc_text, NULL, NULL, NULL};
	struct ctl ctl = {.tasks = 1, .deadline_ms = 10000};
	size_t i;

	ctl.server = env_get("GOOSEBERRY_SERVER", "http://127.0.0.1:8080");
	ctl.token = env_get("GOOSEBERRY_TOKEN", "");
	ctl.team = env_get("GOOSEBERRY_TEAM", NULL);
	argp_err_exit_status = CTL_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &ctl);
	for (i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
		if (strcmp(commands[i].verb, ctl.verb) != 0)
			continue;
		if (ctl.arg_count < commands[i].args_min ||
		    (commands[i].needs_team && ctl.team == NULL)) {
			fprintf(stderr, "gooseberryctl: %s needs %s\n",
			    ctl.verb,
			    ctl.arg_count < commands[i].args_min ? "an argument"
								 : "--team");
			return CTL_USAGE;
		}
		curl_global_init(CURL_GLOBAL_ALL);
		return (int)commands[i].run(&ctl);
	}
	fprintf(stderr, "gooseberryctl: %s: no such command\n", ctl.verb);
	return CTL_USAGE;
}
