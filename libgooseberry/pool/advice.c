/**
 * @file advice.c
 * Calls to the advice service, which approves workers for a step.
 *
 * Problem: the service takes 12 to 560 ms for a call and more for each worker
 * named, handles one call at a time for each calling node, and its tickets last
 * 1.5 to 2.5 s. The calls needed in one second take 3 s and more in total, too
 * much for a single node. The owner therefore calls the service through every
 * member (a channel each), one call at a time per channel, in the order in
 * which the flows wait. The set of approved workers of a step does not change:
 * the first calls for a step name workers that could run it, later calls only
 * renew the tickets of those that are about to be used.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "state.h"

/** A member from which nothing was received for this long has no usable
 * channel. */
#define CHANNEL_SILENCE_MAX (1200 * GB_MSEC)
/** Pause of a channel after a refusal or a lost answer. */
#define CHANNEL_BACK_OFF (300 * GB_MSEC)
/** A ticket is valid from the decision of the service on, which it makes at
 * most this long before its answer arrives, or as early as it can: on a slow
 * link the answer waits behind others. */
#define TICKET_ANSWER_TIME (30 * GB_MSEC)
/** A step without any approved worker asks again after this time. */
#define ADVICE_RETRY_DELAY (2 * GB_SEC)
/** The first calls for a gang use several channels at once: each answer arrives
 * sooner, and more workers are approved, of which enough must have capacity at
 * one moment. The first value limits the number of calls. The second is the
 * number of free channels for each call. */
#define ADVICE_BATCHES_MAX 4
#define ADVICE_CHANNELS_DIVISOR 4
/** Workers to name for each worker that a gang would fill if it were empty: one
 * in four is approved, and one in five of these is available when needed. */
#define ADVICE_NAMES_PER_WORKER 20
/** Maximum number of workers to name in all calls together. */
#define ADVICE_NAMES_MAX 300
/** Workers to name in each of several calls: if a worker takes 8 ms, a call
 * then takes about 1 s. */
#define ADVICE_NAMES_PER_BATCH 60

void
pool_advice_channel_update(struct gb_pool *pool, const char *addr, bool usable)
{
	struct pool_channel *channel = NULL;
	size_t i;

	for (i = 0; i < pool->channel_count; i++) {
		if (strcmp(pool->channels[i].addr, addr) == 0)
			channel = &pool->channels[i];
	}
	if (channel == NULL && !usable)
		return;
	if (channel == NULL) {
		pool->channels = gb_realloc(pool->channels,
		    (pool->channel_count + 1) * sizeof(*channel));
		channel = &pool->channels[pool->channel_count++];
		memset(channel, 0, sizeof(*channel));
		snprintf(channel->addr, sizeof(channel->addr), "%s", addr);
	}
	channel->usable = usable;
	channel->last_heard = pool->now;
}

static bool
channel_is_available(
    const struct gb_pool *pool, const struct pool_channel *channel)
{
	return channel->usable && channel->call == 0 &&
	       channel->back_off_until <= pool->now &&
	       pool->now - channel->last_heard < CHANNEL_SILENCE_MAX;
}

static struct pool_channel *
channel_find_free(const struct gb_pool *pool)
{
	size_t i;

	for (i = 0; i < pool->channel_count; i++) {
		if (channel_is_available(pool, &pool->channels[i]))
			return &pool->channels[i];
	}
	return NULL;
}

bool
pool_advice_channel_free(const struct gb_pool *pool)
{
	return channel_find_free(pool) != NULL;
}

static struct pool_channel *
channel_find_call(const struct gb_pool *pool, uint64_t call)
{
	size_t i;

	for (i = 0; i < pool->channel_count; i++) {
		if (pool->channels[i].call == call)
			return &pool->channels[i];
	}
	return NULL;
}

static bool
step_is_asked(const struct pool_step *step, uint32_t worker)
{
	return worker < step->asked_size && step->asked[worker] != 0;
}

static void
step_set_asked(struct pool_step *step, uint32_t worker)
{
	uint32_t size = step->asked_size;

	if (worker >= size) {
		step->asked_size = worker + 64;
		step->asked = gb_realloc(step->asked, step->asked_size);
		memset(step->asked + size, 0, step->asked_size - size);
	}
	step->asked[worker] = 1;
	step->asked_count++;
}

/** Marks the workers of a call without a usable answer as not asked about,
 * whatever other calls for the step are in flight. */
static void
step_unset_asked(struct pool_step *step, const struct pool_advice_call *call)
{
	uint32_t i;

	for (i = 0; i < call->workers; i++) {
		if (!step_is_asked(step, call->handles[i]))
			continue;
		step->asked[call->handles[i]] = 0;
		step->asked_count--;
	}
}

/** Whether a worker could run the step and has not been asked about. */
static bool
ask_is_candidate(const struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_step *step, const struct pool_worker *worker)
{
	return pool_worker_offered(worker) && !worker->ended &&
	       !worker->entry.draining &&
	       !step_is_asked(step, worker->handle) &&
	       pool_fit_allows(pool, flow, step, worker);
}

/** Names workers that have not been asked about, from a random one on if there
 * are more than `limit`.  Fills in their handles. */
static void
ask_add_candidates(struct gb_pool *pool, const struct pool_flow *flow,
    struct pool_step *step, uint32_t limit, gb_advice_ask *ask,
    uint32_t *handles)
{
	uint32_t from =
	    pool->worker_count == 0
		? 0
		: (uint32_t)(gb_random_next(&pool->seed) % pool->worker_count);
	uint32_t i;

	for (i = 0; i < pool->worker_count; i++) {
		struct pool_worker *worker =
		    pool->workers[(from + i) % pool->worker_count];

		if (ask->workers.workers_len >= limit)
			break;
		if (!ask_is_candidate(pool, flow, step, worker))
			continue;
		step_set_asked(step, worker->handle);
		handles[ask->workers.workers_len] = worker->handle;
		ask->workers.workers_val[ask->workers.workers_len++] =
		    worker->entry.id;
	}
}

/** Names the given workers, as many as one call takes. */
static void
ask_add_workers(struct gb_pool *pool, const uint32_t *workers, uint32_t count,
    gb_advice_ask *ask)
{
	uint32_t i;

	for (i = 0; i < count && i < POOL_ADVICE_WORKERS_MAX; i++)
		ask->workers.workers_val[ask->workers.workers_len++] =
		    pool->workers[workers[i]]->entry.id;
}

static void
advice_call_free(struct pool_advice_call *call)
{
	free(call->handles);
	free(call);
}

/** Sends a call.  `handles` are those of workers that were not asked about
 * before, null if the call renews tickets. */
static void
ask_send(struct gb_pool *pool, struct pool_flow *flow, uint32_t step_number,
    struct pool_channel *channel, const uint32_t *handles,
    const gb_advice_ask *ask)
{
	struct pool_advice_call *call = gb_calloc(1, sizeof(*call));
	bool first = handles != NULL;

	call->id = ++pool->next_call;
	call->channel = channel;
	call->step = step_number;
	call->first = first;
	call->sent = pool->now;
	call->workers = ask->workers.workers_len;
	if (first) {
		call->handles =
		    gb_calloc(call->workers, sizeof(*call->handles));
		memcpy(call->handles, handles,
		    call->workers * sizeof(*call->handles));
	}
	snprintf(call->flow, sizeof(call->flow), "%s", flow->spec.id);
	HASH_ADD(hh, pool->advice_calls, id, sizeof(call->id), call);
	pool->advice_in_flight++;
	channel->call = call->id;
	if (first)
		flow->steps[step_number].approval_calls_in_flight++;
	else
		flow->steps[step_number].ticket_calls_in_flight++;
	pool->stats.advice_calls++;
	gb_event(pool->cfg.events, GB_EVENT_NORMAL, "advice_ask",
	    "{s:s, s:I, s:s, s:I, s:b}", "flow", flow->spec.id, "step",
	    (json_int_t)step_number, "lane", channel->addr, "workers",
	    (json_int_t)ask->workers.workers_len, "first", first);
	pool->ops.advise(pool->ops.data, call->id, channel->addr, ask);
}

/** Calls the service through one channel. With `count` 0, asks about up to
 * `limit` workers that have not been asked about. */
static bool
ask_channel(struct gb_pool *pool, struct pool_flow *flow, uint32_t step_number,
    const uint32_t *workers, uint32_t count, uint32_t limit)
{
	struct pool_channel *channel = channel_find_free(pool);
	char *names[POOL_ADVICE_WORKERS_MAX];
	uint32_t handles[POOL_ADVICE_WORKERS_MAX];
	char step_name[GB_NAME_MAX + 1];
	gb_advice_ask ask = {0};

	if (channel == NULL)
		return false;
	ask.workers.workers_val = names;
	snprintf(step_name, sizeof(step_name), "%.40s.0.%u", flow->spec.id,
	    step_number);
	ask.step = step_name;
	if (count == 0)
		ask_add_candidates(pool, flow, &flow->steps[step_number], limit,
		    &ask, handles);
	else
		ask_add_workers(pool, workers, count, &ask);
	if (ask.workers.workers_len == 0)
		return false;
	ask_send(pool, flow, step_number, channel, count == 0 ? handles : NULL,
	    &ask);
	return true;
}

static uint32_t
channels_count_free(const struct gb_pool *pool)
{
	uint32_t count = 0;
	size_t i;

	for (i = 0; i < pool->channel_count; i++)
		count += channel_is_available(pool, &pool->channels[i]);
	return count;
}

/** Number of workers that a gang fills if they are empty and have as many
 * processors as the first worker. */
static uint32_t
gang_worker_count(const struct gb_pool *pool, const struct pool_step *step)
{
	const struct pool_worker *worker = pool->workers[0];
	uint32_t tasks = 1;

	if (step->spec->res.cpu > 0 &&
	    worker->entry.capacity.cpu > step->spec->res.cpu)
		tasks = (uint32_t)(worker->entry.capacity.cpu /
				   step->spec->res.cpu);
	return (step->spec->count + tasks - 1) / tasks;
}

/** Returns how many workers to name, and in how many calls. */
static uint32_t
ask_plan_batches(const struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_step *step, uint32_t *batches)
{
	const struct gb_pool_advice *advice = &flow->advice;
	uint32_t batch_limit =
	    channels_count_free(pool) / ADVICE_CHANNELS_DIVISOR;
	uint32_t names;

	*batches = 1;
	/* Several calls gain little if the workers named take much less time
	 * than the decision itself. */
	if (!POOL_FEATURE_ENABLED(pool, GB_FEATURE_ADVICE_CHANNELS) ||
	    (step->spec->flags & GB_STEP_GANG) == 0 || batch_limit < 2 ||
	    advice->per_worker_us * POOL_ADVICE_WORKERS_MAX <
		advice->decide_us / 2)
		return POOL_ADVICE_WORKERS_MAX;
	names = gang_worker_count(pool, step) * ADVICE_NAMES_PER_WORKER;
	if (names < POOL_ADVICE_WORKERS_MAX)
		names = POOL_ADVICE_WORKERS_MAX;
	if (names > ADVICE_NAMES_MAX)
		names = ADVICE_NAMES_MAX;
	if (batch_limit > ADVICE_BATCHES_MAX)
		batch_limit = ADVICE_BATCHES_MAX;
	*batches =
	    (names + ADVICE_NAMES_PER_BATCH - 1) / ADVICE_NAMES_PER_BATCH;
	if (*batches > batch_limit)
		*batches = batch_limit;
	if (names > *batches * POOL_ADVICE_WORKERS_MAX)
		names = *batches * POOL_ADVICE_WORKERS_MAX;
	return names;
}

/** Counts the workers that are still to be named. Stops at `limit`, so that not
 * every call goes through the whole pool. */
static uint32_t
ask_count_candidates(const struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_step *step, uint32_t limit)
{
	uint32_t left = 0;
	uint32_t i;

	for (i = 0; i < pool->worker_count && left < limit; i++)
		left += ask_is_candidate(pool, flow, step, pool->workers[i]);
	return left;
}

/** Asks about workers that have not been asked about. */
static bool
ask_others(struct gb_pool *pool, struct pool_flow *flow, uint32_t step_number)
{
	struct pool_step *step = &flow->steps[step_number];
	uint32_t batches;
	uint32_t names;
	uint32_t i;

	if (pool->worker_count == 0)
		return false;
	names = ask_count_candidates(
	    pool, flow, step, ask_plan_batches(pool, flow, step, &batches));
	if (names == 0)
		return false;
	names = (names + batches - 1) / batches;
	for (i = 0; i < batches; i++) {
		if (!ask_channel(pool, flow, step_number, NULL, 0, names))
			break;
	}
	return i > 0;
}

bool
pool_advice_ask(struct gb_pool *pool, struct pool_flow *flow,
    uint32_t step_number, const uint32_t *workers, uint32_t count)
{
	const struct pool_step *step = &flow->steps[step_number];

	if (!pool_pace_may_ask_advice(pool))
		return false;
	if (count == 0)
		return step->approval_calls_in_flight == 0 &&
		       ask_others(pool, flow, step_number);
	return step->ticket_calls_in_flight == 0 &&
	       ask_channel(pool, flow, step_number, workers, count, 0);
}

void
pool_advice_claims_drop(struct gb_pool *pool, struct pool_step *step)
{
	struct pool_worker *worker;
	gb_res res;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < step->claim_count; i++) {
		worker = pool_worker_get(pool, step->claims[i].worker);
		res = step->spec->res;
		for (j = 0; j < step->claims[i].tasks; j++)
			gb_res_sub(&worker->claimed, &res);
	}
	free(step->claims);
	step->claims = NULL;
	step->claim_count = 0;
	step->claim_until = 0;
	step->claim_change = 0;
}

/** Records the ticket of an approved worker. The ticket is void if another
 * incarnation of the worker has answered since the service was asked. */
static void
approval_set(struct gb_pool *pool, struct pool_step *step,
    const gb_ticket *ticket, gb_time asked, gb_time expires)
{
	struct pool_worker *worker = pool_worker_find(pool, ticket->worker);
	struct pool_approval *a = NULL;
	uint32_t i;

	if (worker == NULL)
		return;
	for (i = 0; i < step->approved_count; i++) {
		if (step->approved[i].worker == worker->handle)
			a = &step->approved[i];
	}
	if (a == NULL) {
		step->approved = gb_realloc(
		    step->approved, (step->approved_count + 1) * sizeof(*a));
		a = &step->approved[step->approved_count++];
		a->worker = worker->handle;
	}
	a->incarnation = worker->incarnation;
	a->expires = worker->incarnation_since > asked ? 0 : expires;
	snprintf(a->ticket, sizeof(a->ticket), "%s", ticket->ticket);
}

/** Marks all workers as not asked about, because the calls approved none. */
static void
step_clear_asked(struct pool_step *step)
{
	if (step->asked != NULL)
		memset(step->asked, 0, step->asked_size);
	step->asked_count = 0;
}

/** Earliest time at which the service can have decided a call. */
static gb_time
advice_decided_at(const struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_advice_call *call)
{
	const struct gb_pool_advice *advice = &flow->advice;
	gb_time earliest = call->sent + advice->decide_us +
			   advice->per_worker_us * (gb_time)call->workers;
	gb_time latest = pool->now - TICKET_ANSWER_TIME;

	if (pool->link.bytes_per_s == 0 || earliest > latest)
		return latest;
	return earliest;
}

static void
advice_apply(struct gb_pool *pool, struct pool_flow *flow,
    const struct pool_advice_call *call, const gb_advice_res *res)
{
	struct pool_step *step = &flow->steps[call->step];
	gb_time decided = advice_decided_at(pool, flow, call);
	uint32_t i;

	step->advice = POOL_ADVICE_KNOWN;
	for (i = 0; i < res->approved.approved_len; i++)
		approval_set(pool, step, &res->approved.approved_val[i],
		    call->sent, decided + res->valid_us);
	if (step->approved_count == 0 && step->approval_calls_in_flight == 0)
		step->advice_retry_at = pool->now + ADVICE_RETRY_DELAY;
}

/** Lets a step use the capacity that it has claimed, although gangs ranked
 * behind it have reserved those workers for a later moment: their reservations
 * also count capacity that is not free yet.  The next dispatch computes them
 * anew. */
static void
step_reservations_yield(struct gb_pool *pool, const struct pool_step *step)
{
	static const gb_res none;
	uint32_t i;

	for (i = 0; i < step->claim_count; i++) {
		struct pool_worker *worker =
		    pool_worker_get(pool, step->claims[i].worker);

		worker->reserved = none;
		worker->reserved_at = 0;
	}
}

static void
advice_step_done(struct gb_pool *pool, struct pool_flow *flow,
    const struct pool_advice_call *call, const gb_advice_res *res)
{
	struct pool_step *step = &flow->steps[call->step];

	if (call->first) {
		step->approval_calls_in_flight--;
	} else {
		step->ticket_calls_in_flight--;
		/* Capacity that was claimed until the tickets arrive is used
		 * now, or released. */
		if (step->claim_until == 0) {
			step_reservations_yield(pool, step);
			pool_advice_claims_drop(pool, step);
		}
	}
	if (res->status == GB_ADVICE_OK)
		advice_apply(pool, flow, call, res);
	else if (call->first)
		step_unset_asked(step, call);
	if (step->approved_count == 0 && step->approval_calls_in_flight == 0) {
		step->advice = POOL_ADVICE_NONE;
		step_clear_asked(step);
	}
}

/** Logs an answer with what the step, null if it is gone, knows after it: a
 * step that waits although no worker is left to ask about can't be told from
 * one without approved workers otherwise. */
static void
advice_event(const struct gb_pool *pool, const struct pool_advice_call *call,
    const gb_advice_res *res, const struct pool_step *step)
{
	gb_event(pool->cfg.events,
	    res->status == GB_ADVICE_OK ? GB_EVENT_NORMAL : GB_EVENT_ALWAYS,
	    "advice", "{s:s, s:I, s:i, s:I, s:I, s:I, s:I, s:I}", "flow",
	    call->flow, "step", (json_int_t)call->step, "status",
	    (int)res->status, "approved",
	    (json_int_t)res->approved.approved_len, "took_ms",
	    (json_int_t)((pool->now - call->sent) / GB_MSEC), "step_asked",
	    (json_int_t)(step == NULL ? 0 : step->asked_count), "step_approved",
	    (json_int_t)(step == NULL ? 0 : step->approved_count), "step_calls",
	    (json_int_t)(step == NULL ? 0 : step->approval_calls_in_flight));
}

struct pool_flow *
pool_advice_done(
    struct gb_pool *pool, uint64_t id, const gb_advice_res *res, uint32_t *step)
{
	struct pool_channel *channel = channel_find_call(pool, id);
	struct pool_advice_call *call;
	struct pool_flow *flow;

	HASH_FIND(hh, pool->advice_calls, &id, sizeof(id), call);
	if (call == NULL)
		return NULL;
	*step = call->step;
	HASH_DEL(pool->advice_calls, call);
	pool->advice_in_flight--;
	gb_histogram_add(&pool->stats.advice_us, pool->now - call->sent);
	if (channel != NULL) {
		channel->call = 0;
		if (res->status != GB_ADVICE_OK)
			channel->back_off_until = pool->now + CHANNEL_BACK_OFF;
	}
	if (res->status == GB_ADVICE_BUSY)
		pool->stats.advice_busy++;
	if (res->status == GB_ADVICE_LOST)
		pool->stats.advice_lost++;
	flow = pool_flow_find(pool, call->flow);
	if (flow == NULL || flow->closed || call->step >= flow->step_count)
		flow = NULL;
	else
		advice_step_done(pool, flow, call, res);
	advice_event(
	    pool, call, res, flow == NULL ? NULL : &flow->steps[call->step]);
	advice_call_free(call);
	return flow;
}

/** Drops the calls of an earlier ownership. */
void
pool_advice_reset(struct gb_pool *pool)
{
	struct pool_advice_call *call;
	struct pool_advice_call *next;
	size_t i;

	HASH_ITER(hh, pool->advice_calls, call, next)
	{
		HASH_DEL(pool->advice_calls, call);
		advice_call_free(call);
	}
	pool->advice_in_flight = 0;
	for (i = 0; i < pool->channel_count; i++)
		pool->channels[i].call = 0;
}
