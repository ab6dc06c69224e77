/**
 * @file load.c
 * gooseberry-load: acts as the callers of a cell and the balancer before its
 * entries.  Sends lookups, renewals and jobs through the entries, and compares
 * every answer with the ledgers, in which the stand-in workers write what they
 * ran.
 */
#include <argp.h>
#include <dirent.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <curl/curl.h>
#include <uthash.h>

#include "gooseberry.h"

#define ENTRIES_MAX 64
#define BODY_SIZE 512 /* bytes, with the final NUL */
/** Latencies that are kept for the quantiles. */
#define LATENCIES_MAX 1000000
/** Interval of the health checks of an entry. */
#define HEALTH_INTERVAL (100 * GB_MSEC)
/** Time after which a call is not retried; also the longest wait for the last
 * calls and jobs. */
#define CALL_TIME_MAX (30 * GB_SEC)
/** Delay before a retry when the answer asks for none. */
#define RETRY_DEFAULT_MS 50
#define FIRST_TRIES_MS 1000 /* unused */

enum call_kind {
	CALL_LOOKUP,
	CALL_RENEWAL,
	CALL_JOB,    /**< submission of a job */
	CALL_STATUS, /**< state of a job */
	CALL_HEALTH  /**< health check of an entry by the balancer */
};

/** A call with its retries; its name identifies it in the ledgers. */
struct call {
	UT_hash_handle hh;
	char name[48];
	enum call_kind kind;
	CURL *easy;
	struct curl_slist *headers;
	char body[BODY_SIZE];
	char answer[BODY_SIZE];
	size_t answer_len;
	char verdict[24]; /**< in the last answer; empty: none */
	long retry_ms;	  /**< delay before the next try, 0: default */
	gb_time started;
	gb_time retry_at;	 /**< time of the next try; 0: in flight */
	unsigned int tries;	 /**< counted, but not used */
	unsigned int entry;	 /**< number of the entry it is sent to */
	bool done;		 /**< has its final answer, or was given up */
	bool accepted;		 /**< job that was accepted */
	bool ended;		 /**< job that has ended */
	unsigned int execs;	 /**< runs of the request, in all ledgers */
	struct call *next_retry; /**< in the list of retries */
};

static struct {
	const char *entries[ENTRIES_MAX];
	unsigned int entry_count;
	const char *token;
	const char *ledgers;
	const char *prefix;
	unsigned int seconds;
	unsigned int rate;     /**< requests a second, 0: no limit */
	unsigned int parallel; /**< max requests in flight */
	unsigned int jobs;     /**< to submit */
	unsigned int renewals; /**< one in this many requests is a renewal */
	uint64_t seed;
	CURLM *multi;
	struct call *calls;   /**< by name */
	struct call *retries; /**< calls that wait for their next try */
	unsigned int running; /**< calls in flight */
	/* lost: without final answer, with a wrong one, or answered as run and
	 * in no ledger; doubled: ran more often than they may */
	uint64_t requests, answered, ran, may_have_run, refused, lost, doubled;
	uint64_t job_count, job_ended;
	uint64_t cut; /**< connections that ended without an answer */
	struct call *health[ENTRIES_MAX];
	bool down[ENTRIES_MAX]; /**< entries that failed their health check */
	gb_time latencies_us[LATENCIES_MAX]; /**< time from a request to its
						end, in us */
	uint64_t latency_count;
} load = {.token = "operator-token",
    .prefix = "demo",
    .seconds = 4,
    .parallel = 32,
    .renewals = 8,
    .seed = 7};

static size_t
on_body(char *data, size_t size, size_t count, void *arg)
{
	struct call *call = arg;
	size_t len = size * count;
	size_t available = sizeof(call->answer) - 1 - call->answer_len;

	memcpy(call->answer + call->answer_len, data,
	    len < available ? len : available);
	call->answer_len += len < available ? len : available;
	call->answer[call->answer_len] = '\0';
	return len;
}

/** Read the verdict and the delay before a retry, which is a tenth of what
 * Retry-After asks for. */
static size_t
on_header(char *data, size_t size, size_t count, void *arg)
{
	struct call *call = arg;
	char line[128];

	snprintf(line, sizeof(line), "%.*s", (int)(size * count), data);
	sscanf(line, "gooseberry-verdict: %23s", call->verdict);
	if (sscanf(line, "retry-after: %ld", &call->retry_ms) == 1)
		call->retry_ms *= 100;
	return size * count;
}

static void
call_url(const struct call *call, char *out, size_t size)
{
	const char *entry = load.entries[call->entry];

	switch (call->kind) {
	case CALL_LOOKUP:
		snprintf(out, size,
		    "http://%s/v1/teams/byggepas/services/passport-lookup/"
		    "requests",
		    entry);
		return;
	case CALL_RENEWAL:
		snprintf(out, size,
		    "http://%s/v1/teams/byggepas/services/renewal/requests",
		    entry);
		return;
	case CALL_HEALTH:
		snprintf(out, size, "http://%s/healthz", entry);
		return;
	case CALL_JOB:
	case CALL_STATUS:
		snprintf(out, size, "http://%s/v1/teams/byggepas/jobs/%s",
		    entry, call->name);
		return;
	}
}

static void
call_send(struct call *call)
{
	char url[256];

	if (call->easy == NULL)
		call->easy = curl_easy_init();
	curl_easy_reset(call->easy);
	call_url(call, url, sizeof(url));
	call->answer_len = 0;
	call->answer[0] = '\0';
	call->verdict[0] = '\0';
	call->retry_ms = 0;
	call->tries++;
	curl_easy_setopt(call->easy, CURLOPT_URL, url);
	curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(call->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(call->easy, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(call->easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(call->easy, CURLOPT_TIMEOUT_MS, 10000L);
	if (call->kind != CALL_STATUS && call->kind != CALL_HEALTH)
		curl_easy_setopt(call->easy, CURLOPT_POSTFIELDS, call->body);
	if (call->kind == CALL_JOB)
		curl_easy_setopt(call->easy, CURLOPT_CUSTOMREQUEST, "PUT");
	curl_multi_add_handle(load.multi, call->easy);
	load.running++;
}

/** Choose the next entry that is not down, as a balancer does for a retry. */
static void
call_next_entry(struct call *call)
{
	unsigned int tries;

	for (tries = 0; tries < load.entry_count; tries++) {
		call->entry++;
		if (call->entry >= load.entry_count)
			call->entry = 0;
		if (!load.down[call->entry])
			return;
	}
}

static struct call *
call_new(enum call_kind kind)
{
	static unsigned int number;
	struct call *call = gb_calloc(1, sizeof(*call));
	char text[160];

	call->kind = kind;
	snprintf(
	    call->name, sizeof(call->name), "%s-%u", load.prefix, ++number);
	call->entry =
	    (unsigned int)(gb_random_next(&load.seed) % load.entry_count);
	if (load.down[call->entry])
		call_next_entry(call);
	call->started = gb_clock_boot();
	snprintf(text, sizeof(text), "Authorization: Bearer %s", load.token);
	call->headers = curl_slist_append(NULL, text);
	call->headers = curl_slist_append(call->headers, "Expect:");
	if (kind == CALL_RENEWAL) {
		snprintf(text, sizeof(text), "Idempotency-Key: %s", call->name);
		call->headers = curl_slist_append(call->headers, text);
	}
	if (kind == CALL_JOB)
		snprintf(call->body, sizeof(call->body),
		    "{\"service\": \"%s\", \"tasks\": %u}",
		    number % 3 == 0 ? "rebuild" : "import",
		    number % 3 == 0 ? 6U : 4U);
	else
		snprintf(call->body, sizeof(call->body), "%s", call->name);
	HASH_ADD_STR(load.calls, name, call);
	if (kind == CALL_JOB)
		load.job_count++;
	else
		load.requests++;
	return call;
}

/** An answer arrived or the connection failed: retry the call or end it. */
static void
call_answered(struct call *call, CURLcode code, long status)
{
	gb_time now = gb_clock_boot();
	bool ran = code == CURLE_OK && strcmp(call->verdict, "ran") == 0;
	bool may_have_run =
	    code == CURLE_OK && strcmp(call->verdict, "may_have_run") == 0;
	bool not_run = code == CURLE_OK && !ran && !may_have_run;
	bool final = ran || (may_have_run && call->kind == CALL_RENEWAL) ||
		     (not_run && status != 503 && status != 504);

	if (!final && now - call->started < CALL_TIME_MAX) {
		call_next_entry(call);
		call->retry_at = now + (call->retry_ms > 0 ? call->retry_ms
							   : RETRY_DEFAULT_MS) *
					   GB_MSEC;
		call->next_retry = load.retries;
		load.retries = call;
		return;
	}
	call->done = true;
	if (call->kind == CALL_JOB) {
		call->accepted = ran && status == 200;
		return;
	}
	if (load.latency_count < LATENCIES_MAX)
		load.latencies_us[load.latency_count++] = now - call->started;
	if (final)
		load.answered++;
	else
		load.lost++;
	if (ran && strcmp(call->answer, call->body) != 0) {
		fprintf(stderr, "load: %s got a wrong answer: %s\n", call->name,
		    call->answer);
		load.lost++;
	}
	load.ran += ran;
	load.may_have_run += may_have_run;
	load.refused += not_run;
}

/** Process the transfers that have ended. */
static void
calls_collect(void)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(load.multi, &left)) != NULL) {
		struct call *call;
		long status = 0;
		CURL *easy = msg->easy_handle;
		CURLcode code = msg->data.result;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&call);
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
		curl_multi_remove_handle(load.multi, easy);
		load.running--;
		if (call->kind == CALL_HEALTH) {
			load.down[call->entry] =
			    code != CURLE_OK || status != 200;
			call->retry_at = gb_clock_boot() + HEALTH_INTERVAL;
			continue;
		}
		if (code == CURLE_GOT_NOTHING || code == CURLE_RECV_ERROR ||
		    code == CURLE_SEND_ERROR)
			load.cut++;
		if (call->kind == CALL_STATUS) {
			call->ended = status == 200 &&
				      strstr(call->answer,
					  "\"state\": \"active\"") == NULL;
			call->retry_at = gb_clock_boot() + 200 * GB_MSEC;
			call_next_entry(call);
			continue;
		}
		call_answered(call, code, status);
	}
}

/** Send the calls whose retry is due. */
static void
calls_retry(void)
{
	gb_time now = gb_clock_boot();
	struct call **at = &load.retries;
	struct call *call;

	while ((call = *at) != NULL) {
		if (call->retry_at > now) {
			at = &call->next_retry;
			continue;
		}
		*at = call->next_retry;
		call->retry_at = 0;
		call_send(call);
	}
}

/** Send the health checks that are due, as a balancer does. */
static void
health_check(void)
{
	gb_time now = gb_clock_boot();
	unsigned int i;

	for (i = 0; i < load.entry_count; i++) {
		struct call *call = load.health[i];

		if (call == NULL) {
			call = gb_calloc(1, sizeof(*call));
			call->kind = CALL_HEALTH;
			call->entry = i;
			call->retry_at = now;
			load.health[i] = call;
		}
		if (call->retry_at == 0 || call->retry_at > now)
			continue;
		call->retry_at = 0;
		call_send(call);
	}
}

/** Drive all transfers once, and wait for new events up to wait_ms. */
static void
transfers_drive(int wait_ms)
{
	int active;

	health_check();

	curl_multi_perform(load.multi, &active);
	calls_collect();
	curl_multi_poll(load.multi, NULL, 0, wait_ms, NULL);
}

/** Send requests and jobs for the set time. */
static void
work_run(void)
{
	gb_time begin = gb_clock_boot();
	gb_time end = begin + load.seconds * GB_SEC;
	unsigned int jobs = 0;
	gb_time now;

	while ((now = gb_clock_boot()) < end) {
		uint64_t due = load.rate == 0 ? UINT64_MAX
					      : (uint64_t)(now - begin) *
						    load.rate / GB_SEC;

		while (load.running < load.parallel + load.entry_count &&
		       load.requests < due) {
			bool renewal = load.renewals > 0 &&
				       load.requests % load.renewals == 0;

			call_send(
			    call_new(renewal ? CALL_RENEWAL : CALL_LOOKUP));
		}
		if (jobs < load.jobs &&
		    now - begin >= (end - begin) * jobs / load.jobs) {
			call_send(call_new(CALL_JOB));
			jobs++;
		}
		calls_retry();
		transfers_drive(1);
	}
}

/** Whether a call still waits for its final answer. */
static bool
calls_unfinished(void)
{
	struct call *call;

	for (call = load.calls; call != NULL; call = call->hh.next) {
		if (!call->done)
			return true;
	}
	return false;
}

/** Wait for the last answers, then for the ends of the accepted jobs. */
static void
work_finish(void)
{
	gb_time until = gb_clock_boot() + CALL_TIME_MAX;
	struct call *call;

	while (calls_unfinished() && gb_clock_boot() < until) {
		calls_retry();
		transfers_drive(5);
	}
	for (call = load.calls; call != NULL; call = call->hh.next) {
		if (call->kind != CALL_JOB || !call->accepted)
			continue;
		call->kind = CALL_STATUS;
		while (!call->ended && gb_clock_boot() < until) {
			call->retry_at = 0;
			call_send(call);
			while (call->retry_at == 0)
				transfers_drive(5);
			if (!call->ended)
				usleep(50000);
		}
		call->kind = CALL_JOB;
		load.job_ended += call->ended;
	}
}

/* Ledgers of the workers */

/** Number of starts of a task, in all ledgers. */
struct task_start {
	UT_hash_handle hh;
	char task[64]; /**< "<job id in hex>/<index>" */
	unsigned int count;
};

/** Count a line of a ledger: the run of a request or the start of a task. */
static void
ledger_line(const char *line, struct task_start **starts)
{
	char service[96];
	char body[80];
	int idempotent;
	struct call *call;
	char task[64];
	uint64_t job;
	uint32_t index;
	struct task_start *start;

	if (sscanf(line, "exec %95s %d %79s", service, &idempotent, body) ==
	    3) {
		HASH_FIND_STR(load.calls, body, call);
		if (call != NULL)
			call->execs++;
	} else if (sscanf(line, "start %" SCNx64 " %" SCNu32, &job, &index) ==
		   2) {
		snprintf(
		    task, sizeof(task), "%016" PRIx64 "/%" PRIu32, job, index);
		HASH_FIND_STR(*starts, task, start);
		if (start == NULL) {
			start = gb_calloc(1, sizeof(*start));
			memcpy(start->task, task, sizeof(task));
			HASH_ADD_STR(*starts, task, start);
		}
		start->count++;
	}
}

static void
ledgers_read(struct task_start **starts)
{
	DIR *dir = opendir(load.ledgers);
	struct dirent *item;
	char path[512];
	char line[512];

	if (dir == NULL)
		return;
	while ((item = readdir(dir)) != NULL) {
		FILE *f;

		if (strstr(item->d_name, ".ledger") == NULL)
			continue;
		snprintf(
		    path, sizeof(path), "%s/%s", load.ledgers, item->d_name);
		f = fopen(path, "r");
		while (f != NULL && fgets(line, sizeof(line), f) != NULL)
			ledger_line(line, starts);
		if (f != NULL)
			fclose(f);
	}
	closedir(dir);
}

/** Compare the answers with the ledgers. */
static void
work_check(void)
{
	struct task_start *starts = NULL;
	struct task_start *start;
	struct call *call;

	ledgers_read(&starts);
	for (call = load.calls; call != NULL; call = call->hh.next) {
		bool ran = strcmp(call->verdict, "ran") == 0;
		bool not_run = strcmp(call->verdict, "not_run") == 0;

		if (call->kind == CALL_JOB)
			continue;
		if (ran && call->execs == 0) {
			fprintf(
			    stderr, "load: %s is in no ledger\n", call->name);
			load.lost++;
		}
		if (call->kind == CALL_RENEWAL &&
		    (call->execs > 1 || (not_run && call->execs > 0))) {
			fprintf(stderr, "load: %s ran %u times\n", call->name,
			    call->execs);
			load.doubled++;
		}
	}
	for (start = starts; start != NULL; start = start->hh.next) {
		char name[48];
		unsigned int n;

		/* Imports are not idempotent: each task starts once. */
		if (start->count == 1)
			continue;
		for (n = 1; n <= HASH_COUNT(load.calls); n++) {
			uint64_t id;

			snprintf(name, sizeof(name), "%s-%u", load.prefix, n);
			HASH_FIND_STR(load.calls, name, call);
			if (call == NULL || call->kind != CALL_JOB ||
			    strstr(call->body, "import") == NULL)
				continue;
			id = gb_hash_pair("byggepas", name);
			if (strtoull(start->task, NULL, 16) == id) {
				fprintf(stderr,
				    "load: task %s started %u "
				    "times\n",
				    start->task, start->count);
				load.doubled++;
			}
		}
	}
}

static int
latency_compare(const void *a, const void *b)
{
	gb_time x = *(const gb_time *)a;
	gb_time y = *(const gb_time *)b;

	return x < y ? -1 : x > y;
}

/** Quantile of the latencies, in microseconds. */
static gb_time
latency_quantile(unsigned int per_mille)
{
	qsort(load.latencies_us, load.latency_count, sizeof(gb_time),
	    latency_compare);
	return load.latency_count == 0
		   ? 0
		   : load.latencies_us[load.latency_count * per_mille / 1000];
}

static error_t
option_parse(int key, char *arg, struct argp_state *state)
{
	switch (key) {
	case 'e':
		if (load.entry_count < ENTRIES_MAX)
			load.entries[load.entry_count++] = arg;
		return 0;
	case 't':
		load.token = arg;
		return 0;
	case 'L':
		load.ledgers = arg;
		return 0;
	case 'P':
		load.prefix = arg;
		return 0;
	case 's':
		load.seconds = (unsigned int)atoi(arg);
		return 0;
	case 'r':
		load.rate = (unsigned int)atoi(arg);
		return 0;
	case 'p':
		load.parallel = (unsigned int)atoi(arg);
		return 0;
	case 'j':
		load.jobs = (unsigned int)atoi(arg);
		return 0;
	case 'w':
		load.renewals = (unsigned int)atoi(arg);
		return 0;
	case ARGP_KEY_END:
		if (load.entry_count == 0)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int
main(int argc, char **argv)
{
	static const struct argp_option options[] = {
	    {"entry", 'e', "IP:PORT", 0, "An entry; may be repeated", 0},
	    {"token", 't', "TOKEN", 0, "Bearer token", 0},
	    {"ledgers", 'L', "DIR", 0, "Ledgers of the workers", 0},
	    {"prefix", 'P', "NAME", 0, "Start of all names", 0},
	    {"seconds", 's', "N", 0, "How long to send", 0},
	    {"rate", 'r', "N", 0, "Requests a second", 0},
	    {"parallel", 'p', "N", 0, "Requests at once", 0},
	    {"jobs", 'j', "N", 0, "Jobs to submit", 0},
	    {"renewals", 'w', "N", 0, "One request in N is a renewal", 0}, {0}};
	static const struct argp argp = {options, option_parse, NULL,
	    "Calls a cell, and checks every answer.", NULL, NULL, NULL};
	gb_time begin;
	gb_time elapsed_us;

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	curl_global_init(CURL_GLOBAL_ALL);
	load.multi = curl_multi_init();
	begin = gb_clock_boot();
	work_run();
	elapsed_us = gb_clock_boot() - begin;
	work_finish();
	if (load.ledgers != NULL)
		work_check();
	printf("load: ran=%" PRIu64 " may_have_run=%" PRIu64 " refused=%" PRIu64
	       " cut=%" PRIu64 " per_s=%" PRIu64 " p50_us=%" PRId64
	       " p99_us=%" PRId64 "\n",
	    load.ran, load.may_have_run, load.refused, load.cut,
	    load.answered * GB_SEC / (uint64_t)elapsed_us,
	    latency_quantile(500), latency_quantile(990));
	printf("%s: requests=%" PRIu64 " answered=%" PRIu64 " lost=%" PRIu64
	       " doubled=%" PRIu64 " jobs=%" PRIu64 " ended=%" PRIu64 "\n",
	    load.prefix, load.requests, load.answered,
	    load.lost + load.requests - load.answered, load.doubled,
	    load.job_count, load.job_ended);
	return load.lost + load.doubled == 0 &&
		       load.requests == load.answered &&
		       load.job_count == load.job_ended
		   ? EXIT_SUCCESS
		   : EXIT_FAILURE;
}
