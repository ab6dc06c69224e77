/**
 * @file worker.c
 * Workers: their entries, clocks and leases, and the heartbeats that renew the
 * leases.
 *
 * The lease of a worker is counted on its own clock, which may be 2% slow. The
 * owner knows one reading of that clock and when it arrived, and derives a time
 * by which every lease that it sent has certainly expired.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "crash.h"
#include "state.h"

/** Longest lease given with an order or heartbeat, even if the worker would
 * accept a longer one: tasks of a lost worker can start again only after it,
 * and a takeover must be done well before it ends. */
#define LEASE_MAX (3500 * GB_MSEC)
/** How long the answer to a heartbeat may wait for the end of a run. It is
 * short for a worker with runs, so that progress is reported and a lost answer
 * is noticed soon. */
#define HEARTBEAT_WAIT_BUSY (400 * GB_MSEC)
#define HEARTBEAT_WAIT_IDLE (1800 * GB_MSEC)
/** If answers of workers were lost recently, a heartbeat to a worker with runs
 * waits until this long after the next expected end of a run, but at least for
 * the minimum. */
#define HEARTBEAT_END_DELAY (60 * GB_MSEC)
#define HEARTBEAT_WAIT_MIN (150 * GB_MSEC)
/** How long after a lost answer this shorter wait applies: answers are lost in
 * periods of some seconds. */
#define HEARTBEAT_LOSS_PERIOD (5 * GB_SEC)
/** Pause after a heartbeat whose answer reported ends. Every heartbeat uses a
 * part of the link, so the next one should report several ends. The pause also
 * gives time to store the reported ones: the worker answers at once as long as
 * an end is not acknowledged. */
#define HEARTBEAT_PAUSE (60 * GB_MSEC)
/** The same while an end can't be acknowledged because a start of its task may
 * still be carried out: for seconds the worker answers each heartbeat at once.
 */
#define HEARTBEAT_PAUSE_HELD (250 * GB_MSEC)
/** Share of the connections to workers that orders use, as a divisor: an order
 * takes some milliseconds, and its connection can be closed for the next one.
 */
#define CONNECTIONS_ORDERS_DIVISOR 10
/** If there are too few connections for heartbeats that wait, the pause before
 * the next heartbeat to a worker with runs is this long, in microseconds, times
 * the number of workers. This limits the rate of all heartbeats. */
#define HEARTBEAT_PAUSE_PER_WORKER_US 250
/** Pause after a heartbeat without answer, times the number of unanswered ones
 * directly before it, and the longest pause. The first is retried at once,
 * because the lost answer may have reported ends. */
#define HEARTBEAT_RETRY_DELAY (100 * GB_MSEC)
#define HEARTBEAT_RETRY_DELAY_MAX (800 * GB_MSEC)
/** Heartbeats without answer in a row after which the lease is no longer
 * renewed and may lapse. */
#define HEARTBEAT_RENEW_TRIES 2
/** A worker that answered within this time is taken not to have restarted
 * since. */
#define HEARTBEAT_CONFIRMED_TIME (20 * GB_MSEC)
/** Consecutive answers that only reported, without renewing the lease, after
 * which a heartbeat is sent as confirmed although the last answer is not
 * recent. Otherwise the lease would never be renewed if each connection to the
 * worker lasts for one call only. */
#define HEARTBEAT_REPORTS_ONLY_MAX 2
/** Time to report and acknowledge the ends of a worker, besides that of the
 * stops, before it terminates: a report takes up to 0.1 s, storing it the
 * same. */
#define LEAVE_MARGIN (300 * GB_MSEC)
/** First heartbeats sent in one tick.  A new owner owes one to each worker,
 * with a new connection, and takes about 0.15 ms of a core for each.  Sent all
 * at once, thousands of them keep it from handling the first answers, and so
 * from starting anything, until the last one is sent. */
#define HEARTBEATS_FIRST_PER_TICK 64
/** The same before the owner has the list of workers, without which it can't
 * start anything: most of the processor is left to reading the list. */
#define HEARTBEATS_FIRST_UNLISTED 16
/** A run is taken not to end before its worker terminates if it needs this many
 * times the time until then, and this much longer: its progress is known in
 * percent and may be that old. */
#define LEAVE_TIME_LEFT_RATIO 1.25
#define LEAVE_PROGRESS_AGE HEARTBEAT_WAIT_BUSY
/** Heartbeats without answer after which a worker that is not listed gets no
 * more: its entry may come back for 2 s after an outage of the store. */
#define HEARTBEAT_UNLISTED_TRIES 8

struct pool_worker *
pool_worker_get(const struct gb_pool *pool, uint32_t handle)
{
	return handle < pool->worker_count ? pool->workers[handle] : NULL;
}

struct pool_worker *
pool_worker_find(struct gb_pool *pool, const char *id)
{
	struct pool_worker *worker;

	HASH_FIND_STR(pool->workers_by_id, id, worker);
	return worker;
}

gb_time
pool_worker_lease_max(const struct gb_pool *pool)
{
	return pool->cfg.limits.lease_us < LEASE_MAX ? pool->cfg.limits.lease_us
						     : LEASE_MAX;
}

/** Returns the end of a lease that begins now, in milliseconds on the worker's
 * clock, or 0 while the clock is unknown or this owner may not act.  Records
 * when the lease has certainly expired, also in `lapse` unless it is null. */
int64_t
pool_worker_lease(
    struct gb_pool *pool, struct pool_worker *worker, gb_time *lapse)
{
	gb_time lease = pool_worker_lease_max(pool);
	gb_time since = pool->now - worker->clock_at;
	int64_t end_ms = worker->clock_ms + (since + lease) / GB_MSEC;
	gb_time expiry;

	if (worker->clock_ms == 0 || !pool_authority_held(pool))
		return 0;
	expiry = worker->clock_at +
		 (since + lease) * 1000 / POOL_CLOCK_RATE_MIN +
		 POOL_LEASE_MARGIN;
	if (expiry > worker->lapse_at)
		worker->lapse_at = expiry;
	if (lapse != NULL)
		*lapse = expiry;
	if (end_ms > worker->lease_end_ms)
		worker->lease_end_ms = end_ms;
	return end_ms;
}

/** Records which task was lost with which worker and how long it had run. This
 * distinguishes a task that crashes its workers from one that only ran on a
 * worker that crashed. */
static void
run_lost_event(struct gb_pool *pool, const struct pool_run *run, bool crashed)
{
	const struct pool_worker *worker = run->worker;

	gb_event(pool->cfg.events, GB_EVENT_NORMAL, "run_lost",
	    "{s:s, s:I, s:I, s:I, s:s, s:I, s:I, s:b}", "flow",
	    run->flow->spec.id, "step", (json_int_t)run->step, "index",
	    (json_int_t)run->index, "run", (json_int_t)run->number, "worker",
	    worker->entry.id, "started_ms_ago",
	    (json_int_t)((pool->now - run->started) / GB_MSEC),
	    "answered_ms_ago",
	    (json_int_t)((pool->now - worker->answered) / GB_MSEC), "crashed",
	    crashed);
}

void
pool_worker_run_lost(struct gb_pool *pool, struct pool_run *run, bool crashed)
{
	struct pool_flow *flow = run->flow;
	uint32_t step = run->step;

	run_lost_event(pool, run, crashed);
	if (crashed) {
		pool->stats.crashed++;
		pool_crash_run_ended(pool, run);
	} else {
		pool->stats.lapsed++;
		pool_crash_run_lapsed(pool, run);
	}
	pool_run_free(pool, run, crashed ? "crashed" : "lapsed");
	pool_flow_gang_broken(
	    pool, flow, step, "the worker of a member was lost");
}

/** Drops the runs of a worker: all have ended and none can begin any more. Only
 * a run whose single start order is in flight is kept, if the worker has ended,
 * because the answer shows whether the run ever began. Starts that reached the
 * next incarnation are no crashes. */
static void
worker_lose_runs(
    struct gb_pool *pool, struct pool_worker *worker, const char *why)
{
	struct pool_run *run;
	struct pool_run *next;

	if (worker->run_count > 0)
		gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "worker_runs_lost",
		    "{s:s, s:I, s:s, s:I, s:I, s:I, s:I, s:b}", "worker",
		    worker->entry.id, "runs", (json_int_t)worker->run_count,
		    "why", why, "answered_ms_ago",
		    (json_int_t)((pool->now - worker->answered) / GB_MSEC),
		    "asked_ms_ago",
		    (json_int_t)((pool->now - worker->heartbeat_sent) /
				 GB_MSEC),
		    "seen", (json_int_t)worker->last_end, "acked",
		    (json_int_t)worker->acked, "draining",
		    worker->entry.draining);
	pool_crash_classify(pool, worker);
	for (run = TAILQ_FIRST(&worker->runs); run != NULL; run = next) {
		next = TAILQ_NEXT(run, of_worker);
		if (!worker->ended || !pool_run_is_start_pending(run))
			pool_worker_run_lost(pool, run, worker->ended);
	}
}

void
pool_worker_ended(
    struct gb_pool *pool, struct pool_worker *worker, const char *why)
{
	if (worker->ended)
		return;
	worker->ended = true;
	worker->ended_incarnation = worker->incarnation != 0
					? worker->incarnation
					: worker->entry.incarnation;
	pool_crash_mark_unknown_loss(pool, worker);
	if (worker->silent == 0)
		worker->first_missed_at = pool->now;
	pool->stats.workers_ended++;
	pool_worker_set_mark_dirty(pool, worker);
	worker_lose_runs(pool, worker, why);
	pool_crash_losses_resolve(pool, worker, true);
}

static void
worker_heartbeat_missed(struct gb_pool *pool, struct pool_worker *worker)
{
	gb_time pause;

	if (worker->silent++ == 0) {
		worker->first_missed_at = pool->now;
		pool_incarnation_fence(worker);
		pool_crash_worker_missed(pool, worker);
	}
	pause = HEARTBEAT_RETRY_DELAY * (gb_time)(worker->silent - 1);
	worker->heartbeat_at = pool->now + (pause < HEARTBEAT_RETRY_DELAY_MAX
						   ? pause
						   : HEARTBEAT_RETRY_DELAY_MAX);
	if (worker->silent == 1)
		gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "worker_silent",
		    "{s:s, s:I, s:I, s:I, s:I}", "worker", worker->entry.id,
		    "runs", (json_int_t)worker->run_count, "answered_ms_ago",
		    (json_int_t)((pool->now - worker->answered) / GB_MSEC),
		    "asked_ms_ago",
		    (json_int_t)((pool->now - worker->heartbeat_sent) /
				 GB_MSEC),
		    "seen", (json_int_t)worker->last_end);
}

/** Whether there are too few connections for heartbeats that wait. Such a
 * heartbeat keeps a connection, and orders to the worker need another one for a
 * moment. With too many workers for that, heartbeats are answered at once and
 * sent after a pause. */
static bool
connections_are_short(const struct gb_pool *pool)
{
	uint32_t most = pool->cfg.limits.connections;

	return most > 0 &&
	       pool->worker_count > most - most / CONNECTIONS_ORDERS_DIVISOR;
}

/** Pause after a heartbeat that was answered. */
static gb_time
heartbeat_pause(
    const struct gb_pool *pool, const struct pool_worker *worker, size_t ended)
{
	if (connections_are_short(pool))
		return worker->run_count > 0 || pool_authority_in_doubt(pool)
			   ? HEARTBEAT_PAUSE_PER_WORKER_US *
				 (gb_time)pool->worker_count
			   : HEARTBEAT_WAIT_IDLE;
	if (!STAILQ_EMPTY(&worker->ends) &&
	    STAILQ_FIRST(&worker->ends)->held_until > pool->now)
		return HEARTBEAT_PAUSE_HELD;
	return pool_pace_heartbeat_delay(
	    pool, ended == 0 ? GB_MSEC : HEARTBEAT_PAUSE);
}

void
pool_worker_heartbeat_done(struct gb_pool *pool, const struct pool_call *call,
    const struct gb_pool_report *report)
{
	struct pool_worker *worker = pool_worker_get(pool, call->worker);

	pool->first_heartbeats_in_flight -= call->first;
	if (worker == NULL || worker->heartbeat_call != call->id)
		return;
	worker->heartbeat_call = 0;
	if (worker->ended)
		return;
	if (report == NULL || report->status == GB_POOL_ORDER_LOST ||
	    report->status == GB_POOL_ORDER_REFUSED) {
		worker_heartbeat_missed(pool, worker);
		return;
	}
	if (pool_incarnation_fenced_off(pool, call, report->status))
		return;
	/* The heartbeat was for the previous incarnation. */
	if (report->status == GB_POOL_ORDER_WRONG_WORKER &&
	    call->sent <= worker->incarnation_since) {
		worker->heartbeat_at = pool->now;
		return;
	}
	if (report->status == GB_POOL_ORDER_WRONG_WORKER) {
		pool_worker_ended(pool, worker, "another lifetime answered");
		return;
	}
	if (report->status != GB_POOL_ORDER_DONE) {
		worker_heartbeat_missed(pool, worker);
		return;
	}
	if (worker->silent > 0) {
		pool->answer_lost_at = pool->now;
		gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "worker_back",
		    "{s:s, s:I}", "worker", worker->entry.id, "silent",
		    (json_int_t)worker->silent);
	}
	pool_incarnation_report(pool, worker, call, report);
	worker->answered = pool->now;
	worker->silent = 0;
	pool_crash_losses_resolve(pool, worker, false);
	pool_report_apply(pool, worker, call->sent, report);
	pool_health_check(pool, worker);
	if (!worker->fenced)
		pool->work_changed = true;
	worker->fenced = true;
	worker->report_sent_at = call->sent;
	worker->reports_without_lease =
	    report->report_only ? worker->reports_without_lease + 1 : 0;
	worker->heartbeat_at =
	    pool->now + (report->report_only ? 0
					     : heartbeat_pause(pool, worker,
						   report->ended_count));
}

/** How long the answer to a heartbeat may wait for the end of a run. */
static gb_time
heartbeat_wait(const struct gb_pool *pool, const struct pool_worker *worker)
{
	gb_time wait = HEARTBEAT_WAIT_BUSY;
	const struct pool_run *run;
	gb_time left;

	/* With ends to acknowledge it answers at once, and a long wait would
	 * only delay the retry of a heartbeat that was lost. */
	if (worker->run_count == 0 && STAILQ_EMPTY(&worker->ends))
		return pool_authority_in_doubt(pool) ? HEARTBEAT_WAIT_BUSY
						     : HEARTBEAT_WAIT_IDLE;
	if (pool->answer_lost_at == 0 ||
	    pool->now - pool->answer_lost_at > HEARTBEAT_LOSS_PERIOD)
		return wait;
	TAILQ_FOREACH(run, &worker->runs, of_worker)
	{
		left = pool_run_time_left(pool, run) + HEARTBEAT_END_DELAY;
		if (left < wait)
			wait = left;
	}
	return wait > HEARTBEAT_WAIT_MIN ? wait : HEARTBEAT_WAIT_MIN;
}

static void
worker_heartbeat_send(struct gb_pool *pool, struct pool_worker *worker)
{
	struct pool_call *call = pool_call_new(pool, POOL_CALL_HEARTBEAT);
	struct gb_pool_heartbeat heartbeat = {0};

	pool_report_ack(pool, worker);
	call->worker = worker->handle;
	call->first = !worker->fenced;
	pool->first_heartbeats_in_flight += call->first;
	pool->first_heartbeats_in_tick += call->first;
	worker->heartbeat_call = call->id;
	worker->heartbeat_sent = pool->now;
	heartbeat.worker = worker->entry.id;
	heartbeat.addr = worker->entry.addr;
	heartbeat.token = pool_incarnation_token(pool, worker);
	/* A heartbeat without answer may still renew the lease. Those to a
	 * worker that stays silent do not renew it, or its runs would never
	 * lapse. */
	if (worker->silent < HEARTBEAT_RENEW_TRIES)
		heartbeat.lease_end_ms = pool_worker_lease(pool, worker, NULL);
	heartbeat.cursor = worker->acked;
	heartbeat.incarnation = worker->incarnation;
	heartbeat.confirmed =
	    pool_incarnation_confirmed(worker) &&
	    (pool->now - worker->answered <= HEARTBEAT_CONFIRMED_TIME ||
		worker->reports_without_lease >= HEARTBEAT_REPORTS_ONLY_MAX);
	call->token = heartbeat.token;
	call->lease = heartbeat.lease_end_ms != 0;
	if (worker->fenced && worker->silent == 0 && !worker->maybe_restarted &&
	    !connections_are_short(pool))
		heartbeat.wait_us = heartbeat_wait(pool, worker);
	pool->stats.heartbeats++;
	pool->ops.heartbeat(pool->ops.data, call->id, &heartbeat);
}

/** Whether a run on a leaving worker is known to need more than the time that
 * is left there, and would lose its work.  What a step with checkpoints has
 * done is kept when it is stopped, however late. */
static bool
run_cant_end_in_time(
    const struct gb_pool *pool, const struct pool_run *run, gb_time left)
{
	const struct pool_step *step = &run->flow->steps[run->step];

	return (step->spec->flags & GB_STEP_CHECKPOINT) == 0 &&
	       run->state == POOL_RUN_RUNNING && pool_run_progress_known(run) &&
	       (double)(pool_run_time_left(pool, run) - LEAVE_PROGRESS_AGE) >
		   LEAVE_TIME_LEFT_RATIO * (double)left;
}

/** Stops the runs of a worker that is about to terminate, so that their ends
 * are reported while it can still be asked.  An end in the last moment may be
 * lost with its answer, and the task would run again although it was done;
 * other runs would be lost anyway, and known to be only when the lease has
 * lapsed.  Runs that can't end in time are stopped as soon as that is known,
 * so that their tasks start elsewhere earlier and less work is lost. */
static void
worker_stop_leaving(struct gb_pool *pool, struct pool_worker *worker)
{
	struct pool_run *run;
	gb_time left;

	if (worker->leaves_at == 0)
		return;
	left = worker->leaves_at - pool->cfg.limits.stop_us - LEAVE_MARGIN -
	       pool->now;
	TAILQ_FOREACH(run, &worker->runs, of_worker)
	{
		if (left <= 0)
			pool_run_stop(
			    pool, run, "its worker is about to terminate");
		else if (run_cant_end_in_time(pool, run, left))
			pool_run_stop(pool, run,
			    "it can't end before its worker terminates");
	}
}

/** Retries the stops and starts of a worker's runs that are due. */
static void
worker_runs_tick(struct gb_pool *pool, struct pool_worker *worker)
{
	struct pool_run *run;

	TAILQ_FOREACH(run, &worker->runs, of_worker)
	{
		if ((run->state == POOL_RUN_STOPPING ||
			run->state == POOL_RUN_START_UNKNOWN) &&
		    run->stop_at <= pool->now)
			pool_run_stop_send(pool, run);
		if (run->retry_pending && run->state == POOL_RUN_STARTING &&
		    pool_pace_may_send_starts(pool))
			pool_run_start_retry(pool, run);
	}
}

/** Whether a worker gets heartbeats. A worker that was never offered for work,
 * and that no owner has recorded, has nothing to report. */
static bool
worker_needs_heartbeat(
    const struct gb_pool *pool, const struct pool_worker *worker)
{
	if (pool_worker_offered(worker) || worker->run_count > 0 ||
	    !STAILQ_EMPTY(&worker->losses))
		return true;
	return (worker->fenced || worker->in_stored_sets != 0) &&
	       (worker->silent < HEARTBEAT_UNLISTED_TRIES ||
		   !pool_owner_reconciled(pool));
}

/** Whether another first heartbeat may be sent in this tick. */
static bool
may_send_first_heartbeat(const struct gb_pool *pool)
{
	uint32_t most = pool->listed ? HEARTBEATS_FIRST_PER_TICK
				     : HEARTBEATS_FIRST_UNLISTED;

	return pool->first_heartbeats_in_tick < most &&
	       pool->first_heartbeats_in_flight <
		   pool_pace_first_heartbeats(pool);
}

/** Does what is due for a worker. Returns false if its heartbeat has to wait
 * for a later tick. */
static bool
worker_tick(struct gb_pool *pool, struct pool_worker *worker)
{
	if (worker->in_stored_sets != 0 && !pool_worker_in_use(pool, worker))
		pool_worker_set_mark_dirty(pool, worker);
	if (worker->ended)
		return true;
	worker_stop_leaving(pool, worker);
	worker_runs_tick(pool, worker);
	if (worker->silent > 0 && worker->run_count > 0 &&
	    worker->lapse_at < pool->now)
		worker_lose_runs(pool, worker, "its lease has lapsed");
	if (worker->heartbeat_call != 0 || worker->heartbeat_at > pool->now ||
	    !worker_needs_heartbeat(pool, worker))
		return true;
	if (!pool_pace_may_send_heartbeat(pool) ||
	    (!worker->fenced && !may_send_first_heartbeat(pool)))
		return false;
	worker_heartbeat_send(pool, worker);
	return true;
}

void
pool_workers_tick(struct gb_pool *pool)
{
	uint32_t count = pool->worker_count;
	uint32_t from = count == 0 ? 0 : pool->tick_first_worker % count;
	uint64_t term = pool->term;
	bool deferred = false;
	uint32_t i;

	pool->first_heartbeats_in_tick = 0;
	for (i = 0; i < count && pool->term == term; i++) {
		uint32_t handle = (from + i) % count;

		if (worker_tick(pool, pool->workers[handle]) || deferred)
			continue;
		deferred = true;
		pool->tick_first_worker = handle;
	}
}

struct pool_worker *
pool_worker_new(struct gb_pool *pool, const struct gb_pool_entry *entry)
{
	struct pool_worker *worker = gb_calloc(1, sizeof(*worker));

	worker->entry = *entry;
	speed_init(&worker->speed);
	TAILQ_INIT(&worker->runs);
	STAILQ_INIT(&worker->ends);
	STAILQ_INIT(&worker->losses);
	if (pool->worker_count == pool->worker_size) {
		pool->worker_size = pool->worker_size * 2 + 64;
		pool->workers = gb_realloc(pool->workers,
		    pool->worker_size * sizeof(struct pool_worker *));
	}
	worker->handle = pool->worker_count;
	pool->workers[pool->worker_count++] = worker;
	HASH_ADD_STR(pool->workers_by_id, entry.id, worker);
	return worker;
}

/** Begins a new term of ownership: it is unknown what the workers run. */
void
pool_workers_reset(struct gb_pool *pool)
{
	uint32_t i;

	pool->first_heartbeats_in_flight = 0;
	for (i = 0; i < pool->worker_count; i++) {
		struct pool_worker *worker = pool->workers[i];

		pool_report_clear(worker);
		pool_crash_losses_drop(worker);
		worker->fenced = false;
		worker->incarnation = 0;
		worker->recorded_incarnation = 0;
		worker->maybe_restarted = false;
		worker->fence = 0;
		worker->lease_end_ms = 0;
		worker->lease_uncertain = false;
		worker->in_stored_sets = 0;
		worker->in_sent_sets = 0;
		worker->report_sent_at = 0;
		worker->heartbeat_call = 0;
		worker->heartbeat_at = 0;
		worker->silent = 0;
		worker->last_end = 0;
		worker->acked = 0;
		worker->clock_ms = 0;
		worker->lapse_at = 0;
		worker->quarantined_until = 0;
		worker->failures = 0;
	}
}

void
pool_workers_free(struct gb_pool *pool)
{
	struct pool_worker *worker;
	struct pool_worker *next;

	pool_workers_reset(pool);
	HASH_ITER(hh, pool->workers_by_id, worker, next)
	{
		HASH_DEL(pool->workers_by_id, worker);
		free(worker);
	}
	free(pool->workers);
}
