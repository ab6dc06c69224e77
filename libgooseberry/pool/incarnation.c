/**
 * @file incarnation.c
 * Incarnations of workers. A worker may restart under its id. It then runs
 * nothing, has seen no fencing token, and its clock and the numbers of its ends
 * begin anew, so that nothing known of one incarnation holds for another.
 *
 * An incarnation is identified by the time of day of its start, and that clock
 * may jump: two numbers show that two incarnations differ, but not which came
 * first. Reports do show it, since only one heartbeat is in flight at a time:
 * what answers a heartbeat was alive after what answered the one before.
 * Entries of the list and answers to orders may be older than that, and only
 * make the owner send a heartbeat.
 */
#include <stdlib.h>

#include <jansson.h>

#include "crash.h"
#include "state.h"

/** Readings of one clock may differ from the expected value by this much,
 * because of the time that answers take. */
#define INCARNATION_CLOCK_SLACK_MS 2000

uint64_t
pool_incarnation_token(
    const struct gb_pool *pool, const struct pool_worker *worker)
{
	return pool->epoch * POOL_FENCES_PER_EPOCH + worker->fence;
}

void
pool_incarnation_fence(struct pool_worker *worker)
{
	bool has_incarnation =
	    worker->incarnation != 0 || worker->entry.incarnation != 0;

	if (has_incarnation && worker->fence + 1 < POOL_FENCES_PER_EPOCH)
		worker->fence++;
}

bool
pool_incarnation_fenced_off(struct gb_pool *pool, const struct pool_call *call,
    enum gb_pool_order_status status)
{
	const struct pool_worker *worker = pool_worker_get(pool, call->worker);

	if (status != GB_POOL_ORDER_FENCED)
		return false;
	if (worker != NULL &&
	    call->token < pool_incarnation_token(pool, worker))
		return false;
	pool_owner_lose(pool, "a worker knows a newer owner", 0);
	return true;
}

bool
pool_incarnation_confirmed(const struct pool_worker *worker)
{
	return worker->incarnation == 0 ||
	       (worker->silent == 0 && !worker->maybe_restarted);
}

bool
pool_incarnation_listed(const struct pool_worker *worker)
{
	return worker->incarnation == 0 || worker->entry.incarnation == 0 ||
	       worker->entry.incarnation == worker->incarnation;
}

static void
incarnation_suspect_restart(
    struct gb_pool *pool, struct pool_worker *worker, const char *why)
{
	if (worker->maybe_restarted)
		return;
	worker->maybe_restarted = true;
	pool_incarnation_fence(worker);
	/* A heartbeat in flight may wait on a connection that the restart has
	 * broken. */
	worker->heartbeat_call = 0;
	worker->heartbeat_at = pool->now;
	gb_event(pool->cfg.events, GB_EVENT_NORMAL, "worker_doubted",
	    "{s:s, s:s, s:I, s:I, s:I}", "worker", worker->entry.id, "why", why,
	    "life", (json_int_t)worker->incarnation, "listed",
	    (json_int_t)worker->entry.incarnation, "runs",
	    (json_int_t)worker->run_count);
}

/* Clocks ------------------------------------------------------------------ */

/** Whether a reading can come from the clock that was read before. */
static bool
clock_is_plausible(const struct gb_pool *pool, const struct pool_worker *worker,
    int64_t clock_ms)
{
	int64_t passed = (pool->now - worker->clock_at) / GB_MSEC;

	return worker->incarnation == 0 || worker->clock_ms == 0 ||
	       (clock_ms >= worker->clock_ms - INCARNATION_CLOCK_SLACK_MS &&
		   clock_ms <=
		       worker->clock_ms + passed + INCARNATION_CLOCK_SLACK_MS);
}

static void
clock_set(struct gb_pool *pool, struct pool_worker *worker, int64_t clock_ms)
{
	if (clock_ms <= 0)
		return;
	worker->clock_ms = clock_ms;
	worker->clock_at = pool->now;
}

void
pool_incarnation_order_answered(struct gb_pool *pool,
    const struct pool_call *call, const struct gb_pool_order_res *res)
{
	struct pool_worker *worker = pool_worker_get(pool, call->worker);

	/* The previous incarnation may have answered. */
	if (worker == NULL || worker->ended ||
	    call->sent <= worker->incarnation_since)
		return;
	if ((res->incarnation == 0 ||
		res->incarnation == worker->incarnation) &&
	    clock_is_plausible(pool, worker, res->clock_ms)) {
		clock_set(pool, worker, res->clock_ms);
		return;
	}
	if (res->clock_ms <= 0)
		return;
	worker->lease_uncertain = true;
	incarnation_suspect_restart(pool, worker, "the answer to an order");
}

/* Leases ------------------------------------------------------------------ */

gb_time
pool_incarnation_lease_max(const struct gb_pool *pool)
{
	return pool->worker_ids_reused ? pool->cfg.limits.lease_us
				       : pool_worker_lease_max(pool);
}

/** Allows for the longest lease that a worker may have now.  An earlier owner
 * may have given it to this incarnation with an order for the previous one. */
static void
incarnation_assume_lease(struct gb_pool *pool, struct pool_worker *worker)
{
	gb_time expiry =
	    pool->now +
	    pool_incarnation_lease_max(pool) * 1000 / POOL_CLOCK_RATE_MIN +
	    POOL_LEASE_MARGIN;

	if (expiry > worker->lapse_at)
		worker->lapse_at = expiry;
}

/* A new incarnation ------------------------------------------------------- */

static void
incarnation_event(struct gb_pool *pool, const struct pool_worker *worker,
    int64_t incarnation, const struct gb_pool_report *report)
{
	gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "worker_life",
	    "{s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "worker",
	    worker->entry.id, "life", (json_int_t)incarnation, "before",
	    (json_int_t)worker->incarnation, "runs",
	    (json_int_t)worker->run_count, "running",
	    (json_int_t)(report == NULL ? 0 : report->running_count), "seen",
	    (json_int_t)worker->last_end, "acked", (json_int_t)worker->acked,
	    "clock_ms", (json_int_t)(report == NULL ? 0 : report->clock_ms),
	    "clock_before_ms", (json_int_t)worker->clock_ms);
}

/** Whether a run certainly belonged to the previous incarnation: its start was
 * confirmed before the heartbeat was sent that the new incarnation answered,
 * and the report does not list the run. */
static bool
run_of_earlier_incarnation(const struct pool_run *run, gb_time sent,
    const struct gb_pool_report *report)
{
	return run->start_call == 0 && run->confirmed != 0 &&
	       run->confirmed < sent &&
	       (report == NULL || !pool_report_lists_run(report, run));
}

/** Loses the runs of the previous incarnation. Others may have reached the new
 * one; copies of their orders that are still in flight are fenced off. */
static void
incarnation_runs_lost(struct gb_pool *pool, struct pool_worker *worker,
    gb_time sent, const struct gb_pool_report *report)
{
	struct pool_run *run;
	struct pool_run *next;

	if (worker->silent == 0)
		worker->first_missed_at = pool->now;
	pool_crash_classify(pool, worker);
	for (run = TAILQ_FIRST(&worker->runs); run != NULL; run = next) {
		next = TAILQ_NEXT(run, of_worker);
		if (run_of_earlier_incarnation(run, sent, report))
			pool_worker_run_lost(pool, run, true);
		else if (run->confirmed == 0 && run->start_call == 0)
			run->lapse_at = pool->now;
	}
}

/** Works out until when the new incarnation may have a lease. The end of a
 * lease that was sent to the previous one may be at any distance on the new
 * clock; the worker cuts it to the longest that it accepts, and does not
 * shorten it afterwards. */
static void
incarnation_lease_begin(struct gb_pool *pool, struct pool_worker *worker,
    const struct pool_call *call, const struct gb_pool_report *report)
{
	bool maybe_leased =
	    (call->lease && !report->report_only) || worker->lease_uncertain ||
	    report->running_count > 0 || report->ended_count > 0;
	int64_t left = worker->lease_end_ms - report->clock_ms;
	int64_t left_max = pool_incarnation_lease_max(pool) / GB_MSEC;

	if (left > left_max)
		left = left_max;
	worker->lapse_at = pool->now;
	if (maybe_leased && left > 0)
		worker->lapse_at +=
		    left * GB_MSEC * 1000 / POOL_CLOCK_RATE_MIN +
		    POOL_LEASE_MARGIN;
	else
		worker->lease_end_ms = 0;
}

/** Clears what was known of an incarnation. */
static void
incarnation_clear(struct pool_worker *worker)
{
	pool_report_incarnation_ended(worker);
	worker->last_end = 0;
	worker->acked = 0;
	worker->clock_ms = 0;
	worker->maybe_restarted = false;
	worker->lease_uncertain = false;
	worker->failures = 0;
	worker->failed_flow = 0;
	worker->quarantined_until = 0;
	worker->quarantine_length = 0;
	speed_init(&worker->speed);
	worker->leaves_at = 0;
}

static void
incarnation_begin(
    struct gb_pool *pool, struct pool_worker *worker, int64_t incarnation)
{
	incarnation_clear(worker);
	worker->incarnation = incarnation;
	worker->incarnation_since = pool->now;
	worker->leaving =
	    worker->entry.draining && pool_incarnation_listed(worker);
	pool_incarnation_fence(worker);
	/* A successor compares the incarnation that answers it with the stored
	 * one. */
	pool_worker_set_mark_dirty(pool, worker);
	pool->work_changed = true;
}

/** Whether a report comes from another incarnation than the one that answered
 * before. After a jump of the clock two starts may have the same time of day:
 * then the worker's clock shows it. */
static bool
report_is_other_incarnation(
    const struct pool_worker *worker, const struct gb_pool_report *report)
{
	return report->incarnation != worker->incarnation ||
	       (report->incarnation != 0 &&
		   report->clock_ms <
		       worker->clock_ms - INCARNATION_CLOCK_SLACK_MS);
}

/** Applies the first answer to this owner. */
static void
incarnation_first(
    struct gb_pool *pool, struct pool_worker *worker, int64_t incarnation)
{
	worker->incarnation = incarnation;
	worker->incarnation_since = pool->now;
	pool->worker_ids_reused |= pool_worker_reuses_id(worker);
	incarnation_assume_lease(pool, worker);
	worker->leaving =
	    worker->entry.draining && pool_incarnation_listed(worker);
	if (incarnation != 0 && worker->recorded_incarnation != 0 &&
	    incarnation != worker->recorded_incarnation) {
		worker->first_missed_at = pool->now;
		pool_crash_mark_unknown_loss(pool, worker);
	}
	if (incarnation != worker->recorded_incarnation)
		pool_worker_set_mark_dirty(pool, worker);
}

void
pool_incarnation_report(struct gb_pool *pool, struct pool_worker *worker,
    const struct pool_call *call, const struct gb_pool_report *report)
{
	if (!worker->fenced) {
		incarnation_first(pool, worker, report->incarnation);
	} else if (report_is_other_incarnation(worker, report)) {
		incarnation_event(pool, worker, report->incarnation, report);
		pool->stats.workers_ended++;
		incarnation_runs_lost(pool, worker, call->sent, report);
		incarnation_lease_begin(pool, worker, call, report);
		incarnation_begin(pool, worker, report->incarnation);
	}
	worker->maybe_restarted = false;
	clock_set(pool, worker, report->clock_ms);
}

/* Entries ----------------------------------------------------------------- */

/** Applies an entry where reports do not name the incarnation but entries do:
 * entries arrive in the order in which they were written. */
static void
entry_begin_incarnation(struct gb_pool *pool, struct pool_worker *worker,
    const struct gb_pool_entry *entry)
{
	if (!worker->fenced || worker->incarnation != 0 ||
	    worker->entry.incarnation == 0 ||
	    entry->incarnation == worker->entry.incarnation)
		return;
	incarnation_event(pool, worker, entry->incarnation, NULL);
	pool->stats.workers_ended++;
	incarnation_runs_lost(pool, worker, pool->now, NULL);
	pool_crash_losses_resolve(pool, worker, true);
	incarnation_begin(pool, worker, 0);
}

/** Takes the worker into use again: the listed incarnation is not the one that
 * has ended. */
static void
entry_revive_worker(struct gb_pool *pool, struct pool_worker *worker,
    const struct gb_pool_entry *entry)
{
	incarnation_clear(worker);
	worker->ended = false;
	worker->fenced = false;
	worker->incarnation = 0;
	worker->recorded_incarnation = 0;
	worker->incarnation_since = pool->now;
	worker->silent = 0;
	worker->first_missed_at = 0;
	worker->heartbeat_at = pool->now;
	pool_incarnation_fence(worker);
	snprintf(
	    worker->entry.addr, sizeof(worker->entry.addr), "%s", entry->addr);
}

void
pool_incarnation_entry(struct gb_pool *pool, struct pool_worker *worker,
    const struct gb_pool_entry *entry)
{
	if (entry->incarnation == 0)
		return;
	if (worker->ended) {
		if (entry->incarnation != worker->ended_incarnation)
			entry_revive_worker(pool, worker, entry);
		return;
	}
	entry_begin_incarnation(pool, worker, entry);
	if (worker->incarnation != 0 &&
	    entry->incarnation != worker->incarnation)
		incarnation_suspect_restart(pool, worker, "its entry");
}

bool
pool_incarnation_may_move(const struct gb_pool *pool,
    const struct pool_worker *worker, const struct gb_pool_entry *entry)
{
	return entry->incarnation != 0 &&
	       entry->incarnation != worker->incarnation &&
	       worker->silent > 0 && worker->run_count == 0 &&
	       worker->lapse_at < pool->now;
}
