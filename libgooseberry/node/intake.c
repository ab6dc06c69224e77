/**
 * @file intake.c
 * Forwards callers' requests to the owner of the pool.
 *
 * Callers go on submitting while the pool has no owner for a second or two.
 * Then this node writes a submission to the store itself, under the same
 * condition that the owner would use, and accepts it without waiting; the new
 * owner finds it there.  A submission that may have been accepted is answered
 * as such; it is refused only when it certainly was not.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "node_state.h"

/** Timeout of a request to the owner, which stores a flow within 20 to 40 ms
 * when the store is fast. */
#define ATTEMPT_TIMEOUT (700 * GB_MSEC)
/** Pause between attempts. */
#define ATTEMPT_PAUSE (40 * GB_MSEC)
/** Number of attempts without an owner after which the state of a flow is read
 * from the store. */
#define STATE_ATTEMPTS_MAX 2
/** Time that a submission waits for an owner before this node writes it itself.
 */
#define WRITE_DELAY (120 * GB_MSEC)
/** Time after which a node without owner and store rejects a request, in
 * addition to OWNER_WAIT_READS times the duration of a read: long enough for a
 * takeover, short enough for the caller to retry. */
#define OWNER_WAIT (400 * GB_MSEC)
#define OWNER_WAIT_READS 8
/** A caller is answered this long before its timeout, or after half of a
 * timeout that is shorter than twice this. */
#define ANSWER_MARGIN (150 * GB_MSEC)
/** Longest read of the store before a write in place of the owner.  A slower
 * store is slow for all nodes, and the write would come too late. */
#define CHECK_READ_USUAL (40 * GB_MSEC)
/** Retry time in a refusal because the owner's link is full. */
#define SHED_RETRY (2 * GB_SEC)
/** An owner that has just taken over knows only the members that have reached
 * it since.  For this long, the largest number of members that was known
 * counts. */
#define BUDGET_MEMBERS_TIME (30 * GB_SEC)
/** Number of members that is assumed before an owner has told it: after a
 * restart of all nodes each of them would take itself for the only one. */
#define BUDGET_MEMBERS_UNKNOWN 100
/** Longest time for which an unused budget of bytes accumulates. */
#define BUDGET_TIME (2 * GB_SEC)
/** Bytes of an order to start a task, without the specification. */
#define FLOW_TASK_BYTES 520
/** Retry time in a refusal because neither an owner nor the store was reached.
 */
#define RETRY_AFTER (GB_SEC)

static void
intake_free(struct intake *in)
{
	TAILQ_REMOVE(&in->node->intakes, in, next);
	if (in->submit != NULL) {
		xdr_free((xdrproc_t)xdr_gb_flow_submit, (char *)in->submit);
		free(in->submit);
	}
	xdr_free((xdrproc_t)xdr_gb_flow_ask, (char *)&in->ask);
	free(in);
}

static void
intake_finish(struct intake *in, const gb_flow_answer *answer)
{
	if (!in->answered)
		in->answer(in->data, answer);
	intake_free(in);
}

/** Answer a caller whose time is up while an attempt is in flight.  The request
 * may have been carried out. */
static void
intake_answer_early(struct intake *in)
{
	gb_flow_answer answer = {0};

	answer.verdict = GB_FLOW_MAYBE;
	answer.retry_after_us = RETRY_AFTER;
	in->maybe_done = true;
	in->answered = true;
	gb_event(in->node->events, GB_EVENT_NORMAL, "request_answered_early",
	    "{s:s, s:I}", "flow",
	    in->submit != NULL ? in->submit->flow.id : in->ask.id, "age_ms",
	    (json_int_t)((node_now() - in->began) / GB_MSEC));
	in->answer(in->data, &answer);
}

/** Id of the flow that a request is about. */
static const char *
intake_id(const struct intake *in)
{
	return in->submit != NULL ? in->submit->flow.id : in->ask.id;
}

/** Refuse a request and list it under a reason, unless its caller has an answer
 * already. */
static void
intake_refuse(
    struct intake *in, const gb_flow_answer *answer, enum refusal_reason reason)
{
	if (answer->verdict == GB_FLOW_REFUSED && !in->answered)
		refusals_add(&in->node->refusals, reason, intake_id(in));
	intake_finish(in, answer);
}

/** End a request that was not carried out, or not certainly. */
static void
intake_give_up(struct intake *in)
{
	gb_flow_answer answer = {0};

	answer.verdict = in->maybe_done ? GB_FLOW_MAYBE : GB_FLOW_REFUSED;
	answer.retry_after_us = RETRY_AFTER;
	gb_event(in->node->events, GB_EVENT_NORMAL, "request_given_up",
	    "{s:s, s:b, s:I, s:I, s:s}", "flow",
	    in->submit != NULL ? in->submit->flow.id : in->ask.id, "maybe",
	    in->maybe_done, "tries", (json_int_t)in->tries, "age_ms",
	    (json_int_t)((node_now() - in->began) / GB_MSEC), "owner",
	    in->node->watch.owner);
	intake_refuse(in, &answer, REFUSAL_GIVEN_UP);
}

/** Pass a refusal on to the caller, unless an earlier attempt may have been
 * carried out. */
static void
intake_refused(
    struct intake *in, const gb_flow_answer *answer, enum refusal_reason reason)
{
	if (in->maybe_done)
		intake_give_up(in);
	else
		intake_refuse(in, answer, reason);
}

static void
intake_retry(struct intake *in)
{
	in->in_flight = false;
	in->next_try = node_now() + ATTEMPT_PAUSE;
}

/* Through the store, without the owner ------------------------------------ */

/** Status of a stored flow that callers of an organisation may see. */
static gb_flow_status
flow_state_status(const struct gb_pool_row *row, const char *org)
{
	gb_flow_state state = {0};
	gb_flow_status status = GB_FLOW_QUEUED;

	if (gb_flow_state_decode(&row->value, &state))
		status = gb_flow_visible(state.org, org) ? state.status
							 : GB_FLOW_UNKNOWN;
	xdr_free((xdrproc_t)xdr_gb_flow_state, (char *)&state);
	return status;
}

/** The stored state of a flow was read for a caller. */
static void
flow_state_read(struct node_call *call, const struct gb_pool_read_res *res)
{
	struct intake *in = call->data;
	gb_flow_answer answer = {0};

	/* Without the store this node can't tell whether the flow exists, and
	 * another node can. */
	if (res->status != GB_STORE_OK && node_store_unavailable(in->node)) {
		in->in_flight = false;
		intake_give_up(in);
		return;
	}
	if (res->status != GB_STORE_OK) {
		intake_retry(in);
		return;
	}
	answer.verdict = GB_FLOW_ACCEPTED;
	answer.status = res->row_count == 0 ? GB_FLOW_UNKNOWN
					    : flow_state_status(&res->rows[0],
						  in->ask.caller.org);
	if (in->ask.op == GB_FLOW_OP_CANCEL &&
	    (res->row_count == 0 || answer.status != GB_FLOW_UNKNOWN)) {
		/* The flow exists, so the owner must cancel it; or the owner
		 * has not recorded the cancel, as older programs don't. */
		intake_retry(in);
		return;
	}
	intake_finish(in, &answer);
}

/** Read the stored state of a flow. */
static void
flow_state_request(struct intake *in, const char *id,
    void (*done)(struct node_call *, const struct gb_pool_read_res *))
{
	struct gb_node *node = in->node;
	char to[GB_KEY_MAX + 1];
	const struct gb_pool_read read = {
	    gb_pool_partition(id), GB_POOL_STATES, id, to, 1, 0};

	snprintf(to, sizeof(to), "%.200s0", id);
	in->in_flight = true;
	node->platform.read(
	    node->platform.data, node_call_new(node, in, NULL, done), &read);
}

static void
intake_read(struct intake *in)
{
	flow_state_request(in, in->ask.id, flow_state_read);
}

/** Whether the request may go on waiting for an owner. */
static bool
intake_may_wait(const struct intake *in)
{
	return node_now() - in->began <=
	       OWNER_WAIT + OWNER_WAIT_READS * in->node->watch.store_read_time;
}

/** The write of a submission failed or got no answer.  Retry while the request
 * may wait, unless the owner has lost the store: then one write is tried. */
static void
flow_write_failed(struct intake *in)
{
	if (in->tried_store || !intake_may_wait(in))
		intake_give_up(in);
	else
		intake_retry(in);
}

/** Whether a stored state says that a flow was cancelled before it arrived. */
static bool
flow_state_is_tombstone(const struct gb_pool_row *row)
{
	gb_flow_state state = {0};
	bool tombstone = gb_flow_state_decode(&row->value, &state) &&
			 gb_flow_state_is_tombstone(&state);

	xdr_free((xdrproc_t)xdr_gb_flow_state, (char *)&state);
	return tombstone;
}

/** Refuse a submission that was cancelled before it arrived.  No earlier
 * attempt was carried out: the store would have a flow of that id. */
static void
intake_refuse_cancelled(struct intake *in)
{
	gb_flow_answer answer = {0};

	answer.verdict = GB_FLOW_REFUSED;
	answer.retry_after_us = in->node->settings.keep_s * GB_SEC;
	intake_refuse(in, &answer, REFUSAL_CANCELLED);
}

/** Answer a submission whose id has a state in the store. */
static void
intake_answer_stored(struct intake *in, const struct gb_pool_row *state)
{
	gb_flow_answer answer = {0};

	if (flow_state_is_tombstone(state)) {
		intake_refuse_cancelled(in);
		return;
	}
	answer.verdict = GB_FLOW_ACCEPTED;
	intake_finish(in, &answer);
}

/** The write of a submission found that its id has a state. */
static void
flow_write_conflict(struct intake *in, const struct gb_pool_txn_res *res)
{
	if (res->row_count == 0) {
		in->maybe_done = true;
		flow_write_failed(in);
		return;
	}
	gb_event(in->node->events, GB_EVENT_NORMAL, "flow_found_in_store",
	    "{s:s, s:b}", "flow", in->submit->flow.id, "cancelled",
	    flow_state_is_tombstone(&res->rows[0]));
	intake_answer_stored(in, &res->rows[0]);
}

static void
flow_written(struct node_call *call, const struct gb_pool_txn_res *res)
{
	struct intake *in = call->data;
	gb_flow_answer answer = {0};

	switch (res->status) {
	case GB_STORE_OK:
		answer.verdict = GB_FLOW_ACCEPTED;
		gb_event(in->node->events, GB_EVENT_NORMAL,
		    "flow_stored_without_owner", "{s:s}", "flow",
		    in->submit->flow.id);
		intake_finish(in, &answer);
		break;
	case GB_STORE_CONFLICT:
		flow_write_conflict(in, res);
		break;
	case GB_STORE_INVALID:
		answer.verdict = GB_FLOW_REFUSED;
		intake_refused(in, &answer, REFUSAL_STORE);
		break;
	case GB_STORE_REFUSED:
		flow_write_failed(in);
		break;
	default:
		in->maybe_done = true;
		flow_write_failed(in);
		break;
	}
}

/** Number of the other nodes that may store flows too. */
static size_t
node_members_expected(struct gb_node *node, gb_time now)
{
	size_t known = node->known_members_count;

	if (known >= node->members_most ||
	    now - node->members_most_at > BUDGET_MEMBERS_TIME) {
		node->members_most = known;
		node->members_most_at = now;
	}
	return node->members_most == 0 ? BUDGET_MEMBERS_UNKNOWN
				       : node->members_most;
}

/** Whether the next owner can hold a flow that this node stores unseen by the
 * present one.  All nodes together store as much as an owner accepts, each an
 * equal part. */
static bool
memory_allows(struct intake *in)
{
	struct gb_node *node = in->node;
	size_t max = (size_t)node->settings.flows_mb * 1024 * 1024;
	size_t bytes = gb_flow_bytes(&in->submit->flow);

	max /= node_members_expected(node, node_now()) + 1;
	if (in->counted)
		return true;
	if (max > 0 && node->stored_bytes + bytes > max)
		return false;
	node->stored_bytes += bytes;
	in->counted = true;
	return true;
}

/** Write a submission to the store, unless the flow is there already. */
static void
intake_write(struct intake *in)
{
	struct gb_node *node = in->node;
	const char *id = in->submit->flow.id;
	const gb_flow_row stored = {
	    in->submit->flow, in->submit->caller.config};
	gb_flow_state state = {0};
	struct gb_pool_row cond = {0};
	struct gb_pool_row puts[3] = {0};
	struct gb_pool_txn txn = {gb_pool_partition(id), &cond, 1, puts, 3};
	gb_flow_answer refused = {0};

	if (!memory_allows(in)) {
		refused.verdict = GB_FLOW_REFUSED;
		refused.retry_after_us = RETRY_AFTER;
		intake_refused(in, &refused, REFUSAL_MEMORY);
		return;
	}
	state.org = in->submit->flow.org;
	cond.table = GB_POOL_STATES;
	cond.key = id;
	puts[0].table = GB_POOL_STATES;
	puts[1].table = GB_POOL_FLOWS;
	puts[2].table = GB_POOL_INBOX;
	puts[0].key = puts[1].key = puts[2].key = id;
	if (!gb_xdr_encode(
		(xdrproc_t)xdr_gb_flow_state, &state, &puts[0].value) ||
	    !gb_xdr_encode((xdrproc_t)xdr_gb_flow_row, &stored, &puts[1].value))
		abort(); /* can't happen: this process has checked the values */
	in->in_flight = true;
	node->platform.txn(node->platform.data,
	    node_call_new(node, in, flow_written, NULL), &txn);
	free(puts[0].value.gb_body_val);
	free(puts[1].value.gb_body_val);
}

/* Through the owner ------------------------------------------------------- */

/** The state of a flow was read before this node stores the flow in place of an
 * owner whose writes the store rejects.  The read shows whether the store
 * answers this node: after a write without an answer the caller could only be
 * told that the flow may have been accepted. */
static void
flow_state_checked(struct node_call *call, const struct gb_pool_read_res *res)
{
	struct intake *in = call->data;
	gb_flow_answer answer = {0};

	if (res->status != GB_STORE_OK ||
	    node_now() - call->sent > CHECK_READ_USUAL) {
		answer.verdict = GB_FLOW_REFUSED;
		answer.retry_after_us = RETRY_AFTER;
		intake_refused(in, &answer, REFUSAL_STORE);
	} else if (res->row_count > 0) {
		intake_answer_stored(in, &res->rows[0]);
	} else {
		intake_write(in);
	}
}

/** The store rejects the owner's writes, perhaps only the owner's: this node
 * tries once to store the flow itself, for the next owner to find. */
static void
intake_owner_cant_store(struct intake *in, const gb_flow_answer *answer)
{
	gb_flow_answer refused = *answer;

	if (!NODE_USES(in->node, GB_FEATURE_STORE_FOR_OWNER) ||
	    in->submit == NULL || in->maybe_done || in->tried_store ||
	    gb_pool_owns(in->node->pool) || node_store_unavailable(in->node)) {
		refused.verdict = GB_FLOW_REFUSED;
		intake_refused(in, &refused, REFUSAL_OWNER);
		return;
	}
	in->tried_store = true;
	flow_state_request(in, in->submit->flow.id, flow_state_checked);
}

void
intake_answered(struct intake *in, const gb_flow_answer *answer)
{
	switch (answer->verdict) {
	case GB_FLOW_NOT_OWNER:
		watch_hello_now(&in->node->watch, node_now());
		intake_retry(in);
		return;
	case GB_FLOW_CONFIG_OLDER:
		intake_retry(in);
		return;
	case GB_FLOW_MAYBE:
		in->maybe_done = true;
		intake_retry(in);
		return;
	case GB_FLOW_CANT_STORE:
		intake_owner_cant_store(in, answer);
		return;
	case GB_FLOW_REFUSED:
	case GB_FLOW_DENIED:
		intake_refused(in, answer, REFUSAL_OWNER);
		return;
	default:
		break;
	}
	/* An owner that doesn't know tombstones takes one for a flow. */
	if (in->submit != NULL && answer->status == GB_FLOW_UNKNOWN) {
		intake_refuse_cancelled(in);
		return;
	}
	if (in->submit == NULL && in->ask.op != GB_FLOW_OP_PENDING &&
	    answer->status == GB_FLOW_UNKNOWN) {
		/* The owner may not know yet a flow that is in the store. */
		intake_read(in);
		return;
	}
	if (in->submit != NULL)
		in->node->stored_bytes = 0;
	intake_finish(in, answer);
}

static void
owner_answered(void *data, gb_verdict verdict, void *res)
{
	struct intake *in = data;

	if (verdict == GB_RUN) {
		intake_answered(in, res);
		return;
	}
	if (verdict == GB_MAYBE_RUN)
		in->maybe_done = true;
	intake_retry(in);
}

/** Pass the request to the pool core of this node, which owns the pool. */
static void
intake_local(struct intake *in)
{
	struct gb_node *node = in->node;
	struct node_request *request = gb_calloc(1, sizeof(*request));

	request->token = ++node->next_id;
	request->intake = in;
	HASH_ADD(hh, node->requests, token, sizeof(request->token), request);
	if (in->submit != NULL)
		gb_pool_submit(
		    node->pool, node_now(), request->token, in->submit);
	else
		gb_pool_ask(node->pool, node_now(), request->token, &in->ask);
}

/** Send the request to the owner. */
static void
intake_remote(struct intake *in, gb_time left)
{
	struct gb_node *node = in->node;
	struct gb_rpc_client *peer =
	    gb_rpc_pool_get(node->peers, node->watch.owner);
	gb_time timeout =
	    ATTEMPT_TIMEOUT + gb_link_answer_delay(gb_env_link(node->env));

	if (timeout > left)
		timeout = left;
	if (in->submit != NULL)
		gb_rpc_client_call(peer, GB_PROC_FLOW_SUBMIT, in->submit,
		    timeout, owner_answered, in);
	else
		gb_rpc_client_call(peer, GB_PROC_FLOW_ASK, &in->ask, timeout,
		    owner_answered, in);
}

/** Bytes that an owner reads and sends for a flow: the stored flow, and an
 * order to start each task. */
static uint64_t
flow_bytes(const gb_flow *flow)
{
	uint64_t tasks = 1;
	u_int i;

	for (i = 0; i < flow->steps.steps_len; i++)
		tasks += flow->steps.steps_val[i].count;
	return tasks * (FLOW_TASK_BYTES + strlen(flow->spec));
}

/** Whether this node may store another flow.  While the pool has no owner, all
 * nodes together store no more than half of what the next owner's link can
 * carry, each an equal part. */
static bool
budget_allows(struct intake *in, gb_time now)
{
	struct gb_node *node = in->node;
	uint64_t rate = gb_link_rate(gb_env_link(node->env)) / 2 /
			(node_members_expected(node, now) + 1);
	gb_time passed = now - node->budget_at;
	uint64_t bytes = flow_bytes(&in->submit->flow);

	if (rate == 0)
		return true;
	/* What the last owner's link had no room for, the next one's has not
	 * either. */
	if (node->owner_link_was_full)
		return false;
	if (passed > BUDGET_TIME)
		passed = BUDGET_TIME;
	node->budget += (int64_t)rate * passed / GB_SEC;
	if (node->budget > (int64_t)rate * BUDGET_TIME / GB_SEC)
		node->budget = (int64_t)rate * BUDGET_TIME / GB_SEC;
	node->budget_at = now;
	if (node->budget <= 0)
		return false;
	node->budget -= (int64_t)bytes;
	return true;
}

/** Store a submission while the pool has no owner.  With a slow store it waits
 * for the next owner instead: the writes of 35 nodes would delay that owner's
 * claim by seconds. */
static void
intake_try_store(struct intake *in, gb_time now)
{
	if (!budget_allows(in, now)) {
		in->in_flight = false;
		intake_give_up(in);
		return;
	}
	if (NODE_USES(in->node, GB_FEATURE_STORE_WITHOUT_OWNER) &&
	    (!NODE_USES(in->node, GB_FEATURE_STORE_WHILE_QUICK) ||
		watch_store_is_fast(&in->node->watch, now))) {
		intake_write(in);
	} else if (intake_may_wait(in)) {
		intake_retry(in);
	} else {
		in->in_flight = false;
		intake_give_up(in);
	}
}

/** Whether the flow is rejected because the owner's link is full.  A flow that
 * an earlier attempt may have stored is not. */
static bool
intake_shed(const struct intake *in)
{
	return in->submit != NULL && !in->maybe_done &&
	       shed_rejects(in->node->owner_shed_percent, in->submit->flow.id);
}

/** Refuse a flow because the owner's link is full. */
static void
intake_refuse_for_link(struct intake *in)
{
	gb_flow_answer answer = {0};

	answer.verdict = GB_FLOW_REFUSED;
	answer.retry_after_us = SHED_RETRY;
	in->node->flows_shed++;
	intake_refuse(in, &answer, REFUSAL_LINK);
}

/** Start the next attempt at a request, or answer it. */
static void
intake_try(struct intake *in, gb_time now)
{
	struct gb_node *node = in->node;
	bool silent = watch_owner_silence(&node->watch, now) >
			  node_owner_silence_max(node) ||
		      node->watch.refused > 0;
	bool owned = node->watch.owner[0] != '\0' && !node->watch.vacant;
	bool loading = watch_owner_loads_slowly(&node->watch, now);

	in->tries++;
	in->in_flight = true;
	if (gb_pool_owns(node->pool)) {
		intake_local(in);
	} else if (owned && !silent && !loading && intake_shed(in)) {
		intake_refuse_for_link(in);
	} else if (owned && !silent && !loading) {
		intake_remote(in, in->deadline - now);
	} else if (in->submit != NULL && node_store_unavailable(node)) {
		/* Neither an owner nor the store: refuse at once. */
		in->in_flight = false;
		intake_give_up(in);
	} else if (in->submit != NULL &&
		   (silent || loading || now - in->began >= WRITE_DELAY)) {
		intake_try_store(in, now);
	} else if (in->submit == NULL && in->ask.op == GB_FLOW_OP_STATE &&
		   (silent || loading || in->tries > STATE_ATTEMPTS_MAX)) {
		intake_read(in);
	} else {
		intake_retry(in);
	}
}

void
intake_tick(struct gb_node *node)
{
	gb_time now = node_now();
	struct intake *in;
	struct intake *next;

	refusals_log(&node->refusals, node->events, now, node->leaving);
	for (in = TAILQ_FIRST(&node->intakes); in != NULL; in = next) {
		next = TAILQ_NEXT(in, next);
		if (in->in_flight && !in->answered && in->deadline <= now)
			intake_answer_early(in);
		if (in->in_flight)
			continue;
		if (in->answered || in->deadline <= now)
			intake_give_up(in);
		else if (in->next_try <= now)
			intake_try(in, now);
	}
}

static struct intake *
intake_new(
    struct gb_node *node, gb_time timeout, gb_node_answer answer, void *data)
{
	struct intake *in = gb_calloc(1, sizeof(*in));
	gb_time now = node_now();
	gb_time timeout_max = node->leave_by - now;

	/* A stopping process answers all callers before it ends. */
	if (node->leaving && timeout > timeout_max)
		timeout = timeout_max > 0 ? timeout_max : 1;
	in->node = node;
	in->began = now;
	in->deadline =
	    now + (timeout > 2 * ANSWER_MARGIN ? timeout - ANSWER_MARGIN
					       : timeout / 2);
	in->answer = answer;
	in->data = data;
	TAILQ_INSERT_TAIL(&node->intakes, in, next);
	return in;
}

void
gb_node_submit(struct gb_node *node, const gb_flow_submit *submit,
    gb_time timeout, gb_node_answer answer, void *data)
{
	struct intake *in = intake_new(node, timeout, answer, data);

	in->submit = gb_calloc(1, sizeof(*in->submit));
	if (!gb_xdr_copy((xdrproc_t)xdr_gb_flow_submit, submit, in->submit,
		sizeof(*in->submit))) {
		intake_give_up(in);
		return;
	}
	intake_try(in, in->began);
}

void
gb_node_ask(struct gb_node *node, const gb_flow_ask *ask, gb_time timeout,
    gb_node_answer answer, void *data)
{
	struct intake *in = intake_new(node, timeout, answer, data);

	if (!gb_xdr_copy(
		(xdrproc_t)xdr_gb_flow_ask, ask, &in->ask, sizeof(in->ask))) {
		intake_give_up(in);
		return;
	}
	intake_try(in, in->began);
}
