/**
 * @file caller.c
 * Callers: they submit jobs, retry after refusals and timeouts, ask for states,
 * cancel some jobs, and check every answer against the guarantees.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "soak.h"

#define CALL_TIMEOUT (3 * GB_SEC)
#define CONTROL_TIMEOUT (5 * GB_SEC)
#define TRIES_MAX 4
#define RETRY_PAUSE (600 * GB_MSEC)
#define POLL_PAUSE (800 * GB_MSEC)
/** Time after a cancel when all tasks of the job have ended: a cancel is
 * carried out within 3 s, a stop takes 0.2 s. */
#define CANCEL_DELAY_MAX (4 * GB_SEC)
/** One of this many "import" jobs has tasks longer than CANCEL_DELAY_MAX and is
 * cancelled. */
#define LONG_JOBS 15
#define LONG_MS 9000
/** One of this many jobs crashes the workers that start the first task of one
 * of its steps. */
#define CRASH_JOBS 25
/** Time until such a worker is up again: at least this, plus a random part
 * below the range. */
#define CRASH_BACK_MIN_MS 300
#define CRASH_BACK_RANGE_MS 6000
/** A connection that is cut off sooner than this after the request was sent may
 * have been cut before the node read the request. */
#define CUT_SLACK (200 * GB_MSEC)
/** Jobs submitted after all faults, which must all finish. */
#define FINAL_JOBS 5

enum job_phase {
	JOB_REGISTERING, /**< being registered with the emulator's oracle */
	JOB_SUBMITTING,
	JOB_ACCEPTED,
	JOB_REFUSED,   /**< every try was refused: it must never run */
	JOB_UNCERTAIN, /**< no try was accepted, some had no clear answer */
	JOB_FINISHED
};

struct job {
	TAILQ_ENTRY(job) next;
	char id[17];
	unsigned int org; /**< number of its organisation */
	const char *queue;
	char *body;
	size_t body_len;
	enum job_phase phase;
	unsigned int tries;
	bool in_flight;		/**< a call is in flight */
	bool unanswered;	/**< a try may have been accepted */
	bool cancel;		/**< its caller will cancel it */
	gb_time cancelled;	/**< when a cancel was confirmed, 0: not */
	bool stop_asked;	/**< the emulator was asked if it still runs */
	bool final;		/**< one of the FINAL_JOBS */
	gb_time at;		/**< when the next call is due */
	gb_time sent;		/**< when the last call was sent */
	struct soak_node *node; /**< node of that call */
	gb_time incarnation;	/**< start time of that node's process */
	char state[16];
};

TAILQ_HEAD(job_list, job);

static struct job_list jobs = TAILQ_HEAD_INITIALIZER(jobs);
static struct {
	unsigned int sent, accepted, refused, uncertain, succeeded, failed;
	unsigned int cancelled, last; /* last is unused */
} counts;

/* Jobs -------------------------------------------------------------------- */

static json_t *
step_json(unsigned int count, int cpu, unsigned int ms)
{
	return json_pack("{s:i, s:i, s:i, s:i}", "Count", (int)count, "Cpu",
	    cpu, "MemMb", 64, "EstimatedMs", (int)ms);
}

/** Draw a job's queue, steps and duration.  Of ten jobs, six are lookups, three
 * imports and one is a rebuild. */
static void
job_define(struct job *job)
{
	unsigned int kind = soak_random(10);
	bool longer = !job->final && soak_random(LONG_JOBS) == 0;
	json_t *steps = json_array();
	json_t *s;
	char spec[64];
	unsigned int ms;

	if (kind < 6) {
		job->queue = "lookup";
		ms = 100 + soak_random(300);
		json_array_append_new(steps, step_json(2, 1400, ms));
	} else if (kind < 9) {
		job->queue = "import";
		ms = longer ? LONG_MS : 400 + soak_random(1500);
		job->cancel = longer;
		s = step_json(2 + soak_random(5), 1000, ms);
		if (soak_random(2) == 0)
			json_object_set_new(s, "Checkpoint", json_true());
		if (soak_random(5) == 0)
			json_object_set_new(s, "Speculative", json_true());
		json_array_append_new(steps, s);
		if (soak_random(2) == 0) {
			s = step_json(1 + soak_random(3), 1000, ms);
			json_object_set_new(s, "After", json_pack("[i]", 0));
			json_array_append_new(steps, s);
		}
	} else {
		job->queue = "rebuild";
		ms = 500 + soak_random(1500);
		s = step_json(2 + soak_random(5), 3000, ms);
		json_object_set_new(s, "Gang", json_true());
		json_object_set_new(s, "Checkpoint", json_true());
		json_array_append_new(steps, s);
	}
	snprintf(spec, sizeof(spec), "ms=%u fails=%u", ms,
	    soak_random(8) == 0 ? 1 + soak_random(5) : 0);
	if (fault_crashes() && soak_random(CRASH_JOBS) == 0)
		snprintf(spec, sizeof(spec), "ms=%u crash=0 back=%u", ms,
		    CRASH_BACK_MIN_MS + soak_random(CRASH_BACK_RANGE_MS));
	job->body = plat_json_text(
	    json_pack("{s:s, s:o}", "Spec", spec, "Steps", steps),
	    &job->body_len);
}

/** Pick a node that runs, including one that is stopping. */
static struct soak_node *
node_pick(void)
{
	unsigned int from = soak_random(soak.node_count);
	unsigned int i;

	for (i = 0; i < soak.node_count; i++) {
		struct soak_node *node =
		    &soak.nodes[(from + i) % soak.node_count];

		if (node->pid > 0)
			return node;
	}
	return &soak.nodes[from];
}

/** Check that a node that stops as planned did not cut off an answer. */
static void
cut_check(const struct job *job, const struct plat_http_res *res)
{
	gb_time took = soak_now() - job->sent;

	if (res->status != 0 || !res->sent || job->node->stopping == 0 ||
	    job->node->started != job->incarnation)
		return;
	if (took > CUT_SLACK && took < CALL_TIMEOUT &&
	    job->sent - soak.unplanned > 3 * GB_SEC)
		soak_violation("n%u cut %s off while stopping",
		    job->node->number, job->id);
}

static void
job_call(struct job *job, const char *method, plat_http_done done)
{
	char header[128];
	char path[64];
	bool post = strcmp(method, "POST") == 0;

	snprintf(path, sizeof(path), "/%s/%s", job->queue, job->id);
	job->node = node_pick();
	job->incarnation = job->node->started;
	job->sent = soak_now();
	job->in_flight = true;
	snprintf(header, sizeof(header),
	    "X-Gooseberrycart-Timeout-Ms: 3000\r\n%s", operator_key(job->org));
	plat_http_call(soak.http, GB_TRAFFIC_CALLER, job->node->front, method,
	    path, header, post ? job->body : NULL, post ? job->body_len : 0,
	    CALL_TIMEOUT, done, job);
}

/* Submitting -------------------------------------------------------------- */

static void
submitted(void *data, const struct plat_http_res *res)
{
	struct job *job = data;

	job->in_flight = false;
	cut_check(job, res);
	job->tries++;
	if (res->status >= 200 && res->status < 300) {
		counts.accepted++;
		job->phase = JOB_ACCEPTED;
		job->cancel =
		    !job->final &&
		    (job->cancel || soak_random(100) < soak.cancel_percent);
		job->at = soak_now() + 300 * GB_MSEC;
		return;
	}
	if (res->status == 404)
		soak_violation("the queue of %s is not known", job->id);
	if (res->status == 401)
		operator_key_refused(job->node, job->sent);
	/* Unless the request was sent, no node can have accepted it. */
	if (res->status != 429 && res->status != 503 && res->status != 401 &&
	    (res->status != 0 || res->sent))
		job->unanswered = true;
	if (job->tries < TRIES_MAX) {
		job->at = soak_now() + RETRY_PAUSE;
		return;
	}
	job->phase = job->unanswered ? JOB_UNCERTAIN : JOB_REFUSED;
	if (job->unanswered)
		counts.uncertain++;
	else
		counts.refused++;
	if (job->final)
		soak_violation(
		    "%s was not taken in when all was calm", job->id);
}

/** The job is registered with the emulator's oracle, and can be submitted. */
static void
registered(void *data, const struct plat_http_res *res)
{
	struct job *job = data;

	job->in_flight = false;
	if (res->status != 200) {
		fprintf(stderr, "soak: the emulator does not answer: %u %.*s\n",
		    res->status, (int)res->body_len, res->body);
		soak_end(EXIT_FAILURE);
	}
	job->phase = JOB_SUBMITTING;
	job->at = 0;
}

static void
job_new(bool final)
{
	struct job *job = gb_calloc(1, sizeof(*job));
	char path[64];

	snprintf(job->id, sizeof(job->id), "%08x%08x", ++counts.sent,
	    soak_random(1U << 31));
	job->org = counts.sent;
	job->final = final;
	job_define(job);
	TAILQ_INSERT_TAIL(&jobs, job, next);
	snprintf(path, sizeof(path), "/flow/%s?attempts=4&org=%s", job->id,
	    operator_org(job->org));
	job->in_flight = true;
	plat_http_call(soak.http, GB_TRAFFIC_CALLER, soak.control, "POST", path,
	    "", job->body, job->body_len, CONTROL_TIMEOUT, registered, job);
}

/* States ------------------------------------------------------------------ */

static void
state_checked(void *data, const struct plat_http_res *res)
{
	struct job *job = data;
	json_t *root = json_loadb(res->body, res->body_len, 0, NULL);

	if (strcmp(job->state, "succeeded") == 0 &&
	    !plat_json_bool(root, "done"))
		soak_violation("%s is shown as done and is not", job->id);
	if (strcmp(job->state, "failed") == 0 &&
	    !plat_json_bool(root, "failed"))
		soak_violation("%s is shown as failed without cause", job->id);
	json_decref(root);
}

static void
job_finish(struct job *job)
{
	char path[64];

	job->phase = JOB_FINISHED;
	if (strcmp(job->state, "succeeded") == 0)
		counts.succeeded++;
	else if (strcmp(job->state, "failed") == 0)
		counts.failed++;
	if (strcmp(job->state, "cancelled") == 0 && job->cancelled == 0 &&
	    !job->cancel)
		soak_violation("%s was cancelled by nobody", job->id);
	snprintf(path, sizeof(path), "/flow/%s", job->id);
	plat_http_call(soak.http, GB_TRAFFIC_CALLER, soak.control, "GET", path,
	    "", NULL, 0, CONTROL_TIMEOUT, state_checked, job);
}

static void
state_received(void *data, const struct plat_http_res *res)
{
	struct job *job = data;
	json_t *root;

	job->in_flight = false;
	job->at = soak_now() + POLL_PAUSE;
	cut_check(job, res);
	if (res->status == 410)
		soak_violation("%s was taken in and is not known", job->id);
	if (res->status != 200)
		return;
	root = json_loadb(res->body, res->body_len, 0, NULL);
	snprintf(job->state, sizeof(job->state), "%s",
	    plat_json_string(root, "State"));
	json_decref(root);
	if (strcmp(job->state, "queued") != 0 &&
	    strcmp(job->state, "running") != 0)
		job_finish(job);
}

static void
cancelled(void *data, const struct plat_http_res *res)
{
	struct job *job = data;

	job->in_flight = false;
	job->at = soak_now() + POLL_PAUSE;
	cut_check(job, res);
	if (res->status == 410)
		soak_violation("%s was taken in and is not known", job->id);
	if (res->status != 200)
		return;
	job->cancelled = soak_now();
	job->phase = JOB_FINISHED;
	counts.cancelled++;
}

static void
stop_checked(void *data, const struct plat_http_res *res)
{
	const struct job *job = data;
	json_t *root = json_loadb(res->body, res->body_len, 0, NULL);

	/* The bound holds only if no unplanned fault was active. */
	if (plat_json_int(root, "running") > 0 &&
	    soak.unplanned < job->cancelled - CANCEL_DELAY_MAX)
		soak_violation("%s was cancelled and runs on", job->id);
	json_decref(root);
}

/** Ask the emulator whether a cancelled job still runs. */
static void
job_stop_ask(struct job *job)
{
	char path[64];

	if (job->cancelled == 0 || job->stop_asked ||
	    soak_now() - job->cancelled < CANCEL_DELAY_MAX)
		return;
	job->stop_asked = true;
	snprintf(path, sizeof(path), "/flow/%s", job->id);
	plat_http_call(soak.http, GB_TRAFFIC_CALLER, soak.control, "GET", path,
	    "", NULL, 0, CONTROL_TIMEOUT, stop_checked, job);
}

static void
job_step(struct job *job)
{
	job_stop_ask(job);
	if (job->in_flight || job->at > soak_now())
		return;
	if (job->phase == JOB_SUBMITTING)
		job_call(job, "POST", submitted);
	else if (job->phase == JOB_ACCEPTED && job->cancel)
		job_call(job, "DELETE", cancelled);
	else if (job->phase == JOB_ACCEPTED)
		job_call(job, "GET", state_received);
}

void
caller_tick(bool submit)
{
	static gb_time next;
	struct job *job;

	if (submit && next <= soak_now()) {
		next = soak_now() + GB_SEC / soak.rate;
		job_new(false);
	}
	TAILQ_FOREACH(job, &jobs, next)
	{
		job_step(job);
	}
}

void
caller_final(void)
{
	unsigned int i;

	for (i = 0; i < FINAL_JOBS; i++)
		job_new(true);
}

bool
caller_settled(void)
{
	const struct job *job;

	TAILQ_FOREACH(job, &jobs, next)
	{
		if (job->phase <= JOB_ACCEPTED)
			return false;
		if (job->cancelled > 0 &&
		    soak_now() - job->cancelled < CANCEL_DELAY_MAX)
			return false;
	}
	return true;
}

/* Audit ------------------------------------------------------------------- */

static unsigned int audits_in_flight;
static void (*audit_done)(void);

static void
audited(void *data, const struct plat_http_res *res)
{
	const struct job *job = data;
	json_t *root = json_loadb(res->body, res->body_len, 0, NULL);

	if (res->status != 200)
		soak_violation("the emulator does not know %s", job->id);
	if (job->phase == JOB_REFUSED && plat_json_int(root, "starts") > 0)
		soak_violation("%s was refused and ran", job->id);
	if (job->cancelled > 0 && plat_json_int(root, "running") > 0)
		soak_violation("%s was cancelled and runs on", job->id);
	if (plat_json_bool(root, "crashes") && job->phase == JOB_FINISHED &&
	    strcmp(job->state, "succeeded") == 0)
		soak_violation("%s crashes its workers and is done", job->id);
	if (job->final && !plat_json_bool(root, "done") &&
	    strcmp(job->state, "failed") != 0)
		soak_violation("%s was not done when all was calm", job->id);
	json_decref(root);
	if (--audits_in_flight == 0)
		audit_done();
}

static void
reported(void *data, const struct plat_http_res *res)
{
	static const char *const guarantees[] = {
	    "twice", "limit", "order", "budget", "spread", "quota"};
	json_t *root = json_loadb(res->body, res->body_len, 0, NULL);
	size_t i;

	(void)data;
	if (root == NULL)
		soak_violation("the emulator does not report");
	for (i = 0; i < sizeof(guarantees) / sizeof(guarantees[0]); i++) {
		if (plat_json_int(root, guarantees[i]) > 0)
			soak_violation("workers saw %s: %" PRId64 ", %s",
			    guarantees[i], plat_json_int(root, guarantees[i]),
			    plat_json_string(root, "first"));
	}
	/* No violations: faults may leave a gang incomplete, and late orders
	 * have expired tickets. */
	printf("workers: alone=%" PRId64 " ticket=%" PRId64 "\n",
	    plat_json_int(root, "alone"), plat_json_int(root, "ticket"));
	json_decref(root);
	if (--audits_in_flight == 0)
		audit_done();
}

void
caller_audit(void (*done)(void))
{
	struct job *job;
	char path[64];

	audit_done = done;
	audits_in_flight = 1;
	TAILQ_FOREACH(job, &jobs, next)
	{
		if (job->phase <= JOB_ACCEPTED)
			soak_violation(
			    "%s is still open: %s", job->id, job->state);
		audits_in_flight++;
		snprintf(path, sizeof(path), "/flow/%s", job->id);
		plat_http_call(soak.http, GB_TRAFFIC_CALLER, soak.control,
		    "GET", path, "", NULL, 0, CONTROL_TIMEOUT, audited, job);
	}
	plat_http_call(soak.http, GB_TRAFFIC_CALLER, soak.control, "GET",
	    "/report", "", NULL, 0, CONTROL_TIMEOUT, reported, NULL);
}

void
caller_report(void)
{
	printf("jobs: sent=%u accepted=%u refused=%u unsure=%u succeeded=%u "
	       "failed=%u cancelled=%u\n",
	    counts.sent, counts.accepted, counts.refused, counts.uncertain,
	    counts.succeeded, counts.failed, counts.cancelled);
}
