/**
 * @file forecast_snapshot.c
 * Collects what forecast.c decides on, from the state of the pool: processors
 * by the service of their workers, quotas, and the work that waits.
 *
 * A snapshot costs a pass over workers, runs and open flows, and is taken at
 * most every 100 ms and only while more work waits than processors are free.
 * Only processors are counted, not memory.  Steps that need a label are not
 * counted, since they may compete for a few workers only.
 */
#include <stdlib.h>
#include <string.h>

#include "forecast.h"
#include "state.h"

/** Shortest time between two snapshots. */
#define SNAPSHOT_INTERVAL (100 * GB_MSEC)
/** An owner refuses nothing for this long: it has measured nothing yet, and the
 * workers have not all answered. */
#define SNAPSHOT_OWNER_AGE_MIN (2 * GB_SEC)
/** Services and organisations with a quota that have a forecast, which bounds
 * the memory to 2 MB.  Submissions of others are not refused. */
#define SNAPSHOT_RESOURCES_MAX 96
/** Processors of a worker that has just ended count as free after this time:
 * most workers are back soon. */
#define SNAPSHOT_WORKER_RETURN GB_SEC
/** A priority has no wait while this part of the processors is free: gangs of
 * large tasks leave as much, and smaller tasks start on it at once. */
#define SNAPSHOT_FREE_SHARE 0.125

/** Work that arrives is measured in windows of this length, in which several
 * gangs come.  The least of the last windows is taken to go on arriving; they
 * are longer together than a burst of 8 s. */
#define SNAPSHOT_WINDOW (4 * GB_SEC)
#define SNAPSHOT_WINDOWS 3

/** Processors of a service, or the quota of an organisation. */
struct snapshot_resource {
	const struct pool_org *org; /**< null: of a service */
	char service[GB_NAME_MAX + 1];
	struct forecast_resource resource;
};

struct pool_forecast {
	gb_time taken; /**< when it was taken, 0: never */
	uint64_t term; /**< term of ownership in which it was taken */
	struct snapshot_resource **resources;
	size_t count;
	/** Work accepted within the shares in each of the last windows, the
	 * present one first, in thousandths of a processor times
	 * microseconds. */
	double accepted[SNAPSHOT_WINDOWS + 1];
	unsigned int windows; /**< complete ones, at most SNAPSHOT_WINDOWS */
	gb_time window_began;
	uint64_t window_term; /**< term of ownership that they belong to */
};

static struct pool_forecast *
pool_forecast_get(struct gb_pool *pool)
{
	if (pool->forecast == NULL) {
		pool->forecast = gb_calloc(1, sizeof(*pool->forecast));
		pool->forecast->resources = gb_calloc(
		    SNAPSHOT_RESOURCES_MAX, sizeof(*pool->forecast->resources));
	}
	return pool->forecast;
}

/** Returns the resource of a service, or null. */
static struct forecast_resource *
snapshot_find_service(const struct pool_forecast *forecast, const char *service)
{
	size_t i;

	for (i = 0; i < forecast->count; i++) {
		struct snapshot_resource *r = forecast->resources[i];

		if (r->org == NULL && strcmp(r->service, service) == 0)
			return &r->resource;
	}
	return NULL;
}

/** Returns the resource of the quota of an organisation, or null. */
static struct forecast_resource *
snapshot_find_org(
    const struct pool_forecast *forecast, const struct pool_org *org)
{
	size_t i;

	for (i = 0; org != NULL && i < forecast->count; i++) {
		if (forecast->resources[i]->org == org)
			return &forecast->resources[i]->resource;
	}
	return NULL;
}

/** Adds a resource; returns null if there is no space. */
static struct snapshot_resource *
snapshot_add(struct pool_forecast *forecast)
{
	struct snapshot_resource *added;

	if (forecast->count == SNAPSHOT_RESOURCES_MAX)
		return NULL;
	added = gb_calloc(1, sizeof(*added));
	forecast->resources[forecast->count++] = added;
	return added;
}

/** Returns the resource of a service and adds it if there is space. */
static struct forecast_resource *
snapshot_service(struct pool_forecast *forecast, const char *service)
{
	struct forecast_resource *found =
	    snapshot_find_service(forecast, service);
	struct snapshot_resource *added;

	if (found != NULL)
		return found;
	added = snapshot_add(forecast);
	if (added == NULL)
		return NULL;
	snprintf(added->service, sizeof(added->service), "%s", service);
	return &added->resource;
}

/** Returns the resource of the quota of an organisation and adds it if there is
 * space; null if it has no quota. */
static struct forecast_resource *
snapshot_org(struct pool_forecast *forecast, const struct pool_org *org)
{
	struct forecast_resource *found = snapshot_find_org(forecast, org);
	struct snapshot_resource *added;

	if (found != NULL || org == NULL || org->quota.cpu == 0)
		return found;
	added = snapshot_add(forecast);
	if (added == NULL)
		return NULL;
	added->org = org;
	return &added->resource;
}

static void
snapshot_clear(struct pool_forecast *forecast)
{
	size_t i;

	for (i = 0; i < forecast->count; i++)
		free(forecast->resources[i]);
	forecast->count = 0;
}

void
pool_forecast_free(struct gb_pool *pool)
{
	if (pool->forecast == NULL)
		return;
	snapshot_clear(pool->forecast);
	free(pool->forecast->resources);
	free(pool->forecast);
	pool->forecast = NULL;
}

/* Processors -------------------------------------------------------------- */

/** Adds the processors of a run, which become free at its end. */
static void
snapshot_add_run(struct gb_pool *pool, struct forecast_resource *resource,
    const struct pool_run *run)
{
	gb_time left = pool_run_time_left(pool, run);
	struct forecast_resource *org =
	    snapshot_org(pool->forecast, run->flow->org);

	forecast_supply_add_end(&resource->supply, left, (double)run->res.cpu);
	if (org != NULL)
		forecast_supply_add_end(
		    &org->supply, left, (double)run->res.cpu);
}

/** Adds the processors of a worker, unless it leaves.  Workers that are
 * unreachable or in quarantine count, since they may be back. */
static void
snapshot_add_worker(struct gb_pool *pool, const struct pool_worker *worker)
{
	double total = (double)worker->entry.capacity.cpu;
	struct forecast_resource *resource;
	const struct pool_run *run;

	if (!pool_worker_offered(worker) || worker->entry.draining ||
	    worker->leaving)
		return;
	resource = snapshot_service(pool->forecast, worker->entry.service);
	if (resource == NULL)
		return;
	if (worker->ended) {
		forecast_supply_add(&resource->supply, total, 0);
		forecast_supply_add_end(
		    &resource->supply, SNAPSHOT_WORKER_RETURN, total);
		return;
	}
	forecast_supply_add(
	    &resource->supply, total, total - (double)worker->used.cpu);
	TAILQ_FOREACH(run, &worker->runs, of_worker)
	{
		snapshot_add_run(pool, resource, run);
	}
}

/** Adds what is left of the quotas.  Runs of organisations were added with
 * their workers. */
static void
snapshot_add_quotas(struct gb_pool *pool)
{
	struct forecast_resource *resource;
	struct pool_org *org;
	struct pool_org *next;

	HASH_ITER(hh, pool->orgs, org, next)
	{
		resource = snapshot_org(pool->forecast, org);
		if (resource != NULL)
			forecast_supply_add(&resource->supply,
			    (double)org->quota.cpu,
			    (double)(org->quota.cpu - org->used.cpu));
	}
}

/* Arriving work ----------------------------------------------------------- */

/** Begins new windows as time has passed. */
static void
windows_update(struct gb_pool *pool, struct pool_forecast *forecast)
{
	if (forecast->window_term != pool->term) {
		forecast->window_term = pool->term;
		forecast->window_began = pool->now;
		forecast->windows = 0;
		memset(forecast->accepted, 0, sizeof(forecast->accepted));
	}
	/* After a longer pause all windows are empty. */
	if (pool->now - forecast->window_began >
	    SNAPSHOT_WINDOW * (SNAPSHOT_WINDOWS + 1))
		forecast->window_began =
		    pool->now - SNAPSHOT_WINDOW * (SNAPSHOT_WINDOWS + 1);
	while (pool->now - forecast->window_began >= SNAPSHOT_WINDOW) {
		memmove(&forecast->accepted[1], &forecast->accepted[0],
		    SNAPSHOT_WINDOWS * sizeof(forecast->accepted[0]));
		forecast->accepted[0] = 0;
		forecast->window_began += SNAPSHOT_WINDOW;
		if (forecast->windows < SNAPSHOT_WINDOWS)
			forecast->windows++;
	}
}

/** Processors that arriving work needs at least. */
static double
windows_cores(const struct pool_forecast *forecast)
{
	double least = forecast->accepted[1];
	unsigned int i;

	if (forecast->windows < SNAPSHOT_WINDOWS)
		return 0;
	for (i = 2; i <= SNAPSHOT_WINDOWS; i++) {
		if (forecast->accepted[i] < least)
			least = forecast->accepted[i];
	}
	return least / SNAPSHOT_WINDOW;
}

void
pool_forecast_flow_accepted(struct gb_pool *pool, const struct pool_flow *flow)
{
	uint32_t i;

	if (!POOL_FEATURE_ENABLED(pool, GB_FEATURE_FORECAST) ||
	    flow->spec.over_share)
		return;
	windows_update(pool, pool_forecast_get(pool));
	for (i = 0; i < flow->step_count; i++) {
		const struct pool_step *step = &flow->steps[i];

		pool->forecast->accepted[0] +=
		    (double)step->spec->count * (double)step->spec->res.cpu *
		    (double)pool_rank_estimate(pool, flow, step);
	}
}

/** Adds what arrives.  It is not measured by service, so that it is left out if
 * there are several. */
static void
snapshot_add_arriving(struct gb_pool *pool)
{
	struct pool_forecast *forecast = pool->forecast;
	struct forecast_resource *only = NULL;
	size_t i;

	for (i = 0; i < forecast->count; i++) {
		if (forecast->resources[i]->org != NULL)
			continue;
		if (only != NULL)
			return;
		only = &forecast->resources[i]->resource;
	}
	windows_update(pool, forecast);
	if (only != NULL)
		only->supply.arriving = windows_cores(forecast);
}

/* Waiting work ------------------------------------------------------------ */

static const char *
flow_service(const struct pool_flow *flow)
{
	return flow->queue == NULL ? flow->spec.service : flow->queue->service;
}

/** Adds the tasks of a step that may start.  What the quota of its organisation
 * holds back does not wait for workers. */
static void
snapshot_add_step(struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_step *step, struct forecast_resource *resource)
{
	uint32_t tasks = pool_flow_startable_count(pool, flow, step);
	bool gang = (step->spec->flags & GB_STEP_GANG) != 0;
	struct forecast_resource *org = snapshot_org(pool->forecast, flow->org);
	struct forecast_work work = {0};
	uint32_t allowed;

	if (tasks == 0 || step->spec->label[0] != '\0')
		return;
	work.tier = flow->tier;
	work.start_by = flow->start_by - pool->now;
	work.latest = flow->late_due - flow->remaining - pool->now;
	work.tasks = tasks;
	work.cores = (double)step->spec->res.cpu;
	work.run_time = pool_rank_estimate(pool, flow, step);
	/* Smaller work passes a gang that the quota holds back. */
	if (org != NULL && !gang)
		forecast_work_add(org, &work);
	allowed = pool_quota_fits(pool, flow->org, &step->spec->res, tasks);
	if (allowed == 0 || (gang && allowed < tasks))
		return;
	work.tasks = allowed;
	forecast_work_add(resource, &work);
}

static void
snapshot_add_flow(struct gb_pool *pool, const struct pool_flow *flow)
{
	struct forecast_resource *resource;
	uint32_t i;

	if (flow->ranked == 0 || flow->status >= GB_FLOW_SUCCEEDED ||
	    flow->cancelled || !pool_partition_attached(pool, flow->partition))
		return;
	resource = snapshot_service(pool->forecast, flow_service(flow));
	for (i = 0; resource != NULL && i < flow->step_count; i++)
		snapshot_add_step(pool, flow, &flow->steps[i], resource);
}

static void
snapshot_take(struct gb_pool *pool)
{
	struct pool_forecast *forecast = pool->forecast;
	const struct pool_flow *flow;
	uint32_t i;
	size_t j;

	snapshot_clear(forecast);
	for (i = 0; i < pool->worker_count; i++)
		snapshot_add_worker(pool, pool->workers[i]);
	snapshot_add_quotas(pool);
	TAILQ_FOREACH(flow, &pool->open, open_next)
	{
		snapshot_add_flow(pool, flow);
	}
	snapshot_add_arriving(pool);
	for (j = 0; j < forecast->count; j++)
		forecast_supply_finish(
		    &forecast->resources[j]->resource.supply);
	forecast->taken = pool->now;
	forecast->term = pool->term;
}

/** Whether an organisation uses most of its quota. */
static bool
org_near_quota(const struct pool_org *org)
{
	return org != NULL && org->quota.cpu > 0 &&
	       (double)org->used.cpu >=
		   (1 - SNAPSHOT_FREE_SHARE) * (double)org->quota.cpu;
}

/** Returns the current snapshot, or null while there is no reason for one.  The
 * organisation may be null. */
static struct pool_forecast *
snapshot_current(struct gb_pool *pool, const struct pool_org *org)
{
	if (!POOL_FEATURE_ENABLED(pool, GB_FEATURE_FORECAST) ||
	    pool->phase != POOL_OWNER_ACTIVE ||
	    pool->now - pool->claim_won_at < SNAPSHOT_OWNER_AGE_MIN ||
	    (pool->backlog.cpu <= pool->free_cpu && !org_near_quota(org)))
		return NULL;
	pool_forecast_get(pool);
	if (pool->forecast->taken == 0 || pool->forecast->term != pool->term ||
	    pool->now - pool->forecast->taken >= SNAPSHOT_INTERVAL)
		snapshot_take(pool);
	return pool->forecast;
}

/* Submissions ------------------------------------------------------------- */

/** Whether a queue has measured run times. */
static bool
queue_measured(const struct gb_pool *pool, const char *queue)
{
	const struct pool_queue_stat *stat;

	HASH_FIND_STR(pool->queues, queue, stat);
	return stat != NULL && stat->run_us > 0;
}

/** Whether the next submission of an organisation is beyond its share. */
static bool
org_over_share(const struct gb_pool *pool, const struct pool_org *org)
{
	struct pool_org charged;

	if (org == NULL)
		return false;
	charged = *org;
	return pool_share_charge(&charged, pool->now);
}

/** Makes a flow of a submission, to rank it as if it were accepted.  Its steps
 * are to be freed. */
static struct pool_flow
submission_flow(struct gb_pool *pool, const gb_flow *spec)
{
	struct pool_flow flow = {0};
	uint32_t i;

	flow.spec = *spec;
	flow.step_count = spec->steps.steps_len;
	flow.steps = gb_calloc(flow.step_count, sizeof(*flow.steps));
	for (i = 0; i < flow.step_count; i++)
		flow.steps[i].spec = &spec->steps.steps_val[i];
	flow.submitted = pool->now;
	flow.change = 1;
	flow.org = pool_org_get(pool, spec->org);
	flow.spec.over_share = org_over_share(pool, flow.org);
	pool_flow_configure(pool, &flow);
	pool_rank_update_flow(pool, &flow);
	return flow;
}

/** Number of tasks of a step that fit on a worker, if nothing is reserved. */
static uint32_t
worker_fits(const gb_step *step, const struct pool_worker *worker)
{
	gb_res avail = worker->entry.capacity;
	uint32_t limit = step->per_worker == 0 ? step->count : step->per_worker;
	uint32_t tasks = 0;

	gb_res_sub(&avail, &worker->used);
	while (tasks < limit && gb_res_fits(&step->res, &avail)) {
		gb_res_sub(&avail, &step->res);
		tasks++;
	}
	return tasks;
}

/** Whether the processors are free that a step needs to begin. */
static bool
step_fits_now(const struct gb_pool *pool, const struct pool_flow *flow,
    const struct pool_step *step)
{
	uint32_t wanted = pool_step_starts_together(step);
	uint32_t found = 0;
	uint32_t i;

	if (pool_quota_fits(pool, flow->org, &step->spec->res, wanted) < wanted)
		return false;
	for (i = 0; i < pool->worker_count && found < wanted; i++) {
		const struct pool_worker *worker = pool->workers[i];

		if (pool_worker_offered(worker) && !worker->ended &&
		    !worker->entry.draining &&
		    pool_fit_allows(pool, flow, step, worker))
			found += worker_fits(step->spec, worker);
	}
	return found >= wanted;
}

/** Whether a step that waits for no other can begin at once. */
static bool
flow_fits_now(const struct gb_pool *pool, const struct pool_flow *flow)
{
	uint32_t i;

	for (i = 0; i < flow->step_count; i++) {
		if (flow->steps[i].spec->after.after_len == 0 &&
		    step_fits_now(pool, flow, &flow->steps[i]))
			return true;
	}
	return false;
}

/** Processors that the least demanding first step needs at once. */
static double
flow_first_cores(const struct pool_flow *flow)
{
	double least = -1;
	uint32_t i;

	for (i = 0; i < flow->step_count; i++) {
		const struct pool_step *step = &flow->steps[i];
		double cores = (double)step->spec->res.cpu *
			       pool_step_starts_together(step);

		if (step->spec->after.after_len == 0 &&
		    (least < 0 || cores < least))
			least = cores;
	}
	return least < 0 ? 0 : least;
}

/** Tier of a flow after its latest start. */
static int
late_tier(int tier)
{
	if (tier == RANK_URGENT)
		return RANK_URGENT_LATE;
	return tier == RANK_ON_TIME ? RANK_LATE : tier;
}

/** Describes a ranked flow for the forecast. */
static struct forecast_submission
flow_submission(const struct gb_pool *pool, const struct pool_flow *flow)
{
	struct forecast_submission submission = {0};

	submission.tier = flow->tier;
	submission.late_tier = late_tier(flow->tier);
	submission.beyond_share = flow->tier == RANK_OVER_SHARE;
	/* Beyond the share, an urgent flow stays in its tier. */
	if (flow->spec.over_share) {
		submission.late_tier = flow->tier;
		submission.moves = flow->tier == RANK_ON_TIME;
	}
	submission.start_by = flow->start_by - pool->now;
	/* The delay by size shrinks as other gangs start. */
	if (flow->size_delay > 0)
		submission.start_by -= flow->size_delay;
	submission.cores = flow_first_cores(flow);
	return submission;
}

/** Forecast start of a ranked flow, by the workers and by its quota. */
static gb_time
flow_forecast(struct gb_pool *pool, const struct pool_forecast *forecast,
    const struct pool_flow *flow)
{
	const struct forecast_submission submission =
	    flow_submission(pool, flow);
	const struct forecast_resource *workers =
	    snapshot_find_service(forecast, flow_service(flow));
	const struct forecast_resource *quota =
	    snapshot_find_org(forecast, flow->org);
	gb_time start = 0;
	gb_time allowed = 0;

	if (workers != NULL)
		start = forecast_start(workers, &submission);
	if (quota != NULL)
		allowed = forecast_start(quota, &submission);
	return start > allowed ? start : allowed;
}

bool
pool_forecast_too_late(
    struct gb_pool *pool, const gb_flow *spec, gb_time *start, gb_time *latest)
{
	struct pool_forecast *forecast;
	struct pool_flow flow;
	bool too_late = false;

	*start = 0;
	*latest = 0;
	if (!POOL_FEATURE_ENABLED(pool, GB_FEATURE_FORECAST) ||
	    !queue_measured(pool, spec->queue))
		return false;
	forecast = snapshot_current(pool, pool_org_get(pool, spec->org));
	if (forecast == NULL)
		return false;
	flow = submission_flow(pool, spec);
	if (flow.queue != NULL) {
		*start = flow_forecast(pool, forecast, &flow);
		*latest = forecast_latest(flow.queue->objective_base_us,
		    flow.queue->objective_factor, flow.chain, POOL_LATE_FACTOR);
		too_late = forecast_optimistic(*start) > *latest &&
			   !flow_fits_now(pool, &flow);
	}
	free(flow.steps);
	return too_late;
}

/* For the members --------------------------------------------------------- */

/** Earliest start of a submission of a queue, of the mean run time. */
static gb_time
queue_forecast(const struct gb_pool *pool, const struct pool_forecast *forecast,
    const struct gb_pool_queue *queue)
{
	const struct forecast_resource *workers =
	    snapshot_find_service(forecast, queue->service);
	struct forecast_submission submission = {0};
	const struct pool_queue_stat *stat;

	HASH_FIND_STR(pool->queues, queue->name, stat);
	if (stat == NULL || stat->run_us <= 0 || workers == NULL ||
	    workers->supply.free > SNAPSHOT_FREE_SHARE * workers->supply.total)
		return 0;
	submission.tier = queue->priority == 0 && POOL_FEATURE_ENABLED(pool,
						      GB_FEATURE_PRIORITY_ORDER)
			      ? RANK_URGENT
			      : RANK_ON_TIME;
	submission.late_tier = late_tier(submission.tier);
	submission.start_by =
	    queue->objective_base_us +
	    (gb_time)((queue->objective_factor - 1) * stat->run_us);
	return forecast_optimistic(forecast_start(workers, &submission));
}

size_t
gb_pool_forecast(struct gb_pool *pool, gb_time now,
    uint32_t wait_ms[GB_POOL_FORECAST_PRIORITIES])
{
	bool known[GB_POOL_FORECAST_PRIORITIES] = {false};
	struct pool_forecast *forecast;
	size_t count = 0;
	size_t i;

	memset(wait_ms, 0, GB_POOL_FORECAST_PRIORITIES * sizeof(*wait_ms));
	pool->now = now;
	forecast = snapshot_current(pool, NULL);
	if (forecast == NULL || pool->config == NULL)
		return 0;
	for (i = 0; i < pool->config->queue_count; i++) {
		const struct gb_pool_queue *queue = &pool->config->queues[i];
		uint32_t p = queue->priority;
		uint32_t wait;

		if (p >= GB_POOL_FORECAST_PRIORITIES)
			continue;
		wait =
		    (uint32_t)(queue_forecast(pool, forecast, queue) / GB_MSEC);
		if (!known[p] || wait < wait_ms[p])
			wait_ms[p] = wait;
		known[p] = true;
		if (p >= count)
			count = p + 1;
	}
	return count;
}

bool
gb_pool_forecast_too_late(const struct gb_pool_queue *queue,
    const gb_flow *flow, gb_time wait, gb_time *retry_after)
{
	gb_time work = 0;
	gb_time latest;
	u_int i;

	for (i = 0; i < flow->steps.steps_len; i++)
		work += flow->steps.steps_val[i].estimate_us;
	/* Declared run times may be too short by this factor. */
	work = (gb_time)((double)work * FORECAST_DECLARED_FACTOR);
	latest = forecast_latest(queue->objective_base_us,
	    queue->objective_factor, work, POOL_LATE_FACTOR);
	*retry_after = forecast_retry_after(wait, flow->id);
	return wait > latest;
}
