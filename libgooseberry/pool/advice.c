/**
 * @file advice.c
 * Asking which workers may run a step.
 *
 * Load: the advice service takes 12 to 560 ms a call and more for each worker
 * named, handles one call at a time for each calling node, and its tickets
 * last 1.5 to 2.5 s; all calls together take 3 seconds a second and more.  So
 * every node asks in its own name (a lane), one call at a time, in the order
 * in which flows wait.  Which workers are approved does not change: the first
 * call names all, later ones only those that are about to be used.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "state.h"

/** A member that was not heard of for this long has no lane. */
#define CHANNEL_SILENCE (1200 * GB_MSEC)
/** Pause of a lane after a refusal or a lost answer. */
#define CHANNEL_PAUSE (300 * GB_MSEC)
/** A ticket counts from when the service decided, before its answer came. */
#define TICKET_TRAVEL (30 * GB_MSEC)
/** A step whose workers were all turned down asks again after this. */
#define ADVICE_AGAIN (2 * GB_SEC)
/** A gang asks several lanes at once: each answer comes sooner, and more
 * workers are approved, of which enough must have room at one moment.  At most
 * so many calls, and one in so many of the free lanes. */
#define ADVICE_BATCHES_MOST 4
#define ADVICE_CHANNELS_SHARE 4
/** Workers named for each that a gang would fill, were it empty: a quarter are
 * approved, and one in five of these can be had when it is wanted. */
#define ADVICE_NAMES_FOR_ONE 20
/** Workers named in all and in one of several calls, which then takes about 1 s
 * where a worker takes 8 ms. */
#define ADVICE_NAMES_MOST 300
#define ADVICE_NAMES_BATCH 60

void
pool_advice_channel(struct gb_pool *pool, const char *addr, bool usable)
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
channel_is_free(const struct gb_pool *pool, const struct pool_channel *channel)
{
	return channel->usable && channel->call == 0 &&
	       channel->back_off_until <= pool->now &&
	       pool->now - channel->last_heard < CHANNEL_SILENCE;
}

static struct pool_channel *
channel_free(const struct gb_pool *pool)
{
	size_t i;

	for (i = 0; i < pool->channel_count; i++) {
		if (channel_is_free(pool, &pool->channels[i]))
			return &pool->channels[i];
	}
	return NULL;
}

bool
pool_advice_channel_free(const struct gb_pool *pool)
{
	return channel_free(pool) != NULL;
}

static struct pool_channel *
channel_of_call(const struct gb_pool *pool, uint64_t call)
{
	size_t i;

	for (i = 0; i < pool->channel_count; i++) {
		if (pool->channels[i].call == call)
			return &pool->channels[i];
	}
	return NULL;
}

static bool
step_asked(const struct pool_step *step, uint32_t worker)
{
	return worker < step->asked_size && step->asked[worker] != 0;
}

static void
step_asked_set(struct pool_step *step, uint32_t worker)
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

/** Whether a worker could run the step and has not been asked about. */
static bool
ask_wants(const struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_step *step, const struct pool_worker *worker)
{
	return pool_worker_offered(worker) && !worker->over &&
	       !worker->entry.draining && !step_asked(step, worker->handle) &&
	       pool_fit_allows(pool, flow, step, worker);
}

/** Name workers that have not been asked about, from a random one on when there
 * are more than are to be named. */
static void
ask_all(struct gb_pool *pool, const struct pool_flow *flow,
    struct pool_step *step, uint32_t most, gb_advice_ask *ask)
{
	uint32_t from =
	    pool->worker_count == 0
		? 0
		: (uint32_t)(gb_random_next(&pool->seed) % pool->worker_count);
	uint32_t i;

	for (i = 0; i < pool->worker_count; i++) {
		struct pool_worker *worker =
		    pool->workers[(from + i) % pool->worker_count];

		if (ask->workers.workers_len >= most)
			break;
		if (!ask_wants(pool, flow, step, worker))
			continue;
		step_asked_set(step, worker->handle);
		ask->workers.workers_val[ask->workers.workers_len++] =
		    worker->entry.id;
	}
}

static void
ask_some(struct gb_pool *pool, const uint32_t *workers, uint32_t count,
    gb_advice_ask *ask)
{
	uint32_t i;

	for (i = 0; i < count && i < POOL_ADVICE_MOST; i++)
		ask->workers.workers_val[ask->workers.workers_len++] =
		    pool->workers[workers[i]]->entry.id;
}

static void
ask_send(struct gb_pool *pool, struct pool_flow *flow, uint32_t number,
    struct pool_channel *channel, bool first, const gb_advice_ask *ask)
{
	struct pool_advice_call *call = gb_calloc(1, sizeof(*call));

	call->id = ++pool->next_call;
	call->channel = channel;
	call->step = number;
	call->first = first;
	call->sent = pool->now;
	snprintf(call->flow, sizeof(call->flow), "%s", flow->spec.id);
	HASH_ADD(hh, pool->advice_calls, id, sizeof(call->id), call);
	channel->call = call->id;
	if (first)
		flow->steps[number].asks_in_flight++;
	else
		flow->steps[number].renews_in_flight++;
	pool->stats.advice_calls++;
	gb_event(pool->cfg.events, GB_EVENT_NORMAL, "advice_ask",
	    "{s:s, s:I, s:s, s:I, s:b}", "flow", flow->spec.id, "step",
	    (json_int_t)number, "lane", channel->addr, "workers",
	    (json_int_t)ask->workers.workers_len, "first", first);
	pool->ops.advise(pool->ops.data, call->id, channel->addr, ask);
}

/** Ask one lane; with no worker named, about `most` others. */
static bool
ask_channel(struct gb_pool *pool, struct pool_flow *flow, uint32_t number,
    const uint32_t *workers, uint32_t count, uint32_t most)
{
	struct pool_channel *channel = channel_free(pool);
	char *names[POOL_ADVICE_MOST];
	char step_name[GB_NAME_MAX + 1];
	gb_advice_ask ask = {0};

	if (channel == NULL)
		return false;
	ask.workers.workers_val = names;
	snprintf(
	    step_name, sizeof(step_name), "%.40s.0.%u", flow->spec.id, number);
	ask.step = step_name;
	if (count == 0)
		ask_all(pool, flow, &flow->steps[number], most, &ask);
	else
		ask_some(pool, workers, count, &ask);
	if (ask.workers.workers_len == 0)
		return false;
	ask_send(pool, flow, number, channel, count == 0, &ask);
	return true;
}

static uint32_t
channels_free(const struct gb_pool *pool)
{
	uint32_t count = 0;
	size_t i;

	for (i = 0; i < pool->channel_count; i++)
		count += channel_is_free(pool, &pool->channels[i]);
	return count;
}

/** Workers that a gang fills, were they empty. */
static uint32_t
gang_workers(const struct gb_pool *pool, const struct pool_step *step)
{
	const struct pool_worker *worker = pool->workers[0];
	uint32_t tasks = 1;

	if (step->spec->res.cpu > 0 &&
	    worker->entry.capacity.cpu > step->spec->res.cpu)
		tasks = (uint32_t)(worker->entry.capacity.cpu /
				   step->spec->res.cpu);
	return (step->spec->count + tasks - 1) / tasks;
}

/** How many workers to name, and in how many calls. */
static uint32_t
ask_names(const struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_step *step, uint32_t *batches)
{
	const struct gb_pool_advice *advice = &flow->advice;
	uint32_t most = channels_free(pool) / ADVICE_CHANNELS_SHARE;
	uint32_t names;

	*batches = 1;
	if (!POOL_USES(pool, GB_FEATURE_ADVICE_CHANNELS) ||
	    (step->spec->flags & GB_STEP_GANG) == 0 || most < 2 ||
	    advice->per_item_us * POOL_ADVICE_MOST < advice->decide_us / 2)
		return POOL_ADVICE_MOST;
	names = gang_workers(pool, step) * ADVICE_NAMES_FOR_ONE;
	if (names < POOL_ADVICE_MOST)
		names = POOL_ADVICE_MOST;
	if (names > ADVICE_NAMES_MOST)
		names = ADVICE_NAMES_MOST;
	if (most > ADVICE_BATCHES_MOST)
		most = ADVICE_BATCHES_MOST;
	*batches = (names + ADVICE_NAMES_BATCH - 1) / ADVICE_NAMES_BATCH;
	if (*batches > most)
		*batches = most;
	if (names > *batches * POOL_ADVICE_MOST)
		names = *batches * POOL_ADVICE_MOST;
	return names;
}

/** How many workers are left to be named, up to so many: no more are looked at,
 * or each question would cost a look at the whole pool. */
static uint32_t
ask_left(const struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_step *step, uint32_t most)
{
	uint32_t left = 0;
	uint32_t i;

	for (i = 0; i < pool->worker_count && left < most; i++)
		left += ask_wants(pool, flow, step, pool->workers[i]);
	return left;
}

/** Ask about workers that have not been asked about. */
static bool
ask_others(struct gb_pool *pool, struct pool_flow *flow, uint32_t number)
{
	struct pool_step *step = &flow->steps[number];
	uint32_t batches;
	uint32_t names;
	uint32_t i;

	if (pool->worker_count == 0)
		return false;
	names =
	    ask_left(pool, flow, step, ask_names(pool, flow, step, &batches));
	if (names == 0)
		return false;
	names = (names + batches - 1) / batches;
	for (i = 0; i < batches; i++) {
		if (!ask_channel(pool, flow, number, NULL, 0, names))
			break;
	}
	return i > 0;
}

bool
pool_advice_ask(struct gb_pool *pool, struct pool_flow *flow, uint32_t number,
    const uint32_t *workers, uint32_t count)
{
	const struct pool_step *step = &flow->steps[number];

	if (!pool_pace_advice(pool))
		return false;
	if (count == 0)
		return step->asks_in_flight == 0 &&
		       ask_others(pool, flow, number);
	return step->renews_in_flight == 0 &&
	       ask_channel(pool, flow, number, workers, count, 0);
}

void
pool_advice_claims_drop(struct gb_pool *pool, struct pool_step *step)
{
	struct pool_worker *worker;
	gb_res room;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < step->claim_count; i++) {
		worker = pool_worker_get(pool, step->claims[i].worker);
		room = step->spec->res;
		for (j = 0; j < step->claims[i].tasks; j++)
			gb_res_sub(&worker->claimed, &room);
	}
	free(step->claims);
	step->claims = NULL;
	step->claim_count = 0;
	step->claim_until = 0;
}

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

/** What was asked got no answer: all may be asked about again. */
static void
advice_unasked(struct pool_step *step)
{
	if (step->asked != NULL)
		memset(step->asked, 0, step->asked_size);
	step->asked_count = 0;
}

static void
advice_take(struct gb_pool *pool, struct pool_flow *flow,
    const struct pool_advice_call *call, const gb_advice_res *res)
{
	struct pool_step *step = &flow->steps[call->step];
	gb_time expires = pool->now + res->valid_us - TICKET_TRAVEL;
	uint32_t i;

	step->advice = POOL_ADVICE_KNOWN;
	for (i = 0; i < res->approved.approved_len; i++)
		approval_set(pool, step, &res->approved.approved_val[i],
		    call->sent, expires);
	if (step->approved_count == 0 && step->asks_in_flight == 0) {
		step->advice = POOL_ADVICE_NONE;
		step->advice_retry_at = pool->now + ADVICE_AGAIN;
		advice_unasked(step);
	}
}

static void
advice_step_done(struct gb_pool *pool, struct pool_flow *flow,
    const struct pool_advice_call *call, const gb_advice_res *res)
{
	struct pool_step *step = &flow->steps[call->step];

	if (call->first) {
		step->asks_in_flight--;
	} else {
		step->renews_in_flight--;
		/* Room that was kept for the tickets is used now, or given
		 * back. */
		if (step->claim_until == 0)
			pool_advice_claims_drop(pool, step);
	}
	if (res->status == GB_ADVICE_OK)
		advice_take(pool, flow, call, res);
	else if (call->first && step->asks_in_flight == 0)
		advice_unasked(step);
}

struct pool_flow *
pool_advice_done(
    struct gb_pool *pool, uint64_t id, const gb_advice_res *res, uint32_t *step)
{
	struct pool_channel *channel = channel_of_call(pool, id);
	struct pool_advice_call *call;
	struct pool_flow *flow;

	HASH_FIND(hh, pool->advice_calls, &id, sizeof(id), call);
	if (call == NULL)
		return NULL;
	*step = call->step;
	HASH_DEL(pool->advice_calls, call);
	gb_histogram_add(&pool->stats.advice_us, pool->now - call->sent);
	if (channel != NULL) {
		channel->call = 0;
		if (res->status != GB_ADVICE_OK)
			channel->back_off_until = pool->now + CHANNEL_PAUSE;
	}
	if (res->status == GB_ADVICE_BUSY)
		pool->stats.advice_busy++;
	if (res->status == GB_ADVICE_LOST)
		pool->stats.advice_lost++;
	gb_event(pool->cfg.events,
	    res->status == GB_ADVICE_OK ? GB_EVENT_NORMAL : GB_EVENT_ALWAYS,
	    "advice", "{s:s, s:I, s:i, s:I, s:I}", "flow", call->flow, "step",
	    (json_int_t)call->step, "status", (int)res->status, "approved",
	    (json_int_t)res->approved.approved_len, "took_ms",
	    (json_int_t)((pool->now - call->sent) / GB_MSEC));
	flow = pool_flow_find(pool, call->flow);
	if (flow == NULL || flow->closed || call->step >= flow->step_count)
		flow = NULL;
	else
		advice_step_done(pool, flow, call, res);
	free(call);
	return flow;
}

/** Forget what was asked by an earlier ownership. */
void
pool_advice_reset(struct gb_pool *pool)
{
	struct pool_advice_call *call;
	struct pool_advice_call *next;
	size_t i;

	HASH_ITER(hh, pool->advice_calls, call, next)
	{
		HASH_DEL(pool->advice_calls, call);
		free(call);
	}
	for (i = 0; i < pool->channel_count; i++)
		pool->channels[i].call = 0;
}
