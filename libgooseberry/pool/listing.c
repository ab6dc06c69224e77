/**
 * @file listing.c
 * Applies the platform's list of workers: entries that are new, changed,
 * invalid or removed.
 */
#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "state.h"

/** Sets the rack of a worker: of its labels, the last one with a hyphen. */
static void
worker_update_rack(struct pool_worker *worker)
{
	uint32_t i;

	worker->rack[0] = '\0';
	for (i = 0; i < worker->entry.label_count; i++) {
		if (strchr(worker->entry.label[i], '-') != NULL)
			snprintf(worker->rack, sizeof(worker->rack), "%s",
			    worker->entry.label[i]);
	}
}

const char *
gb_pool_entry_error_name(enum gb_pool_entry_error error)
{
	static const char *const names[GB_POOL_ENTRY_ERRORS] = {
	    [GB_POOL_ENTRY_VALID] = "sound",
	    [GB_POOL_ENTRY_UNREADABLE] = "unreadable",
	    [GB_POOL_ENTRY_INCOMPLETE] = "incomplete",
	    [GB_POOL_ENTRY_RANGE] = "out_of_range",
	    [GB_POOL_ENTRY_STATE] = "unknown_state"};

	return names[error];
}

bool
pool_worker_offered(const struct pool_worker *worker)
{
	return worker->listed && worker->service_configured &&
	       worker->entry.error == GB_POOL_ENTRY_VALID;
}

/** Whether the configuration names the service of a worker; true until there is
 * a configuration. */
static bool
worker_service_known(
    const struct gb_pool *pool, const struct pool_worker *worker)
{
	return pool->config == NULL ||
	       gb_pool_config_has_service(pool->config, worker->entry.service);
}

void
pool_workers_check_services(struct gb_pool *pool)
{
	uint32_t i;

	for (i = 0; i < pool->worker_count; i++)
		pool->workers[i]->service_configured =
		    worker_service_known(pool, pool->workers[i]);
}

/** Handles an invalid entry.  A known worker is kept: its runs continue under
 * their lease, and its ends are applied. */
static void
entry_invalid(struct gb_pool *pool, struct pool_worker *worker,
    const struct gb_pool_entry *entry)
{
	bool changed = worker == NULL || worker->entry.error != entry->error;

	pool->stats.entry_errors[entry->error]++;
	if (changed)
		gb_event(pool->cfg.events, GB_EVENT_NORMAL, "worker_entry_bad",
		    "{s:s, s:s, s:b, s:I}", "worker", entry->id, "why",
		    gb_pool_entry_error_name(entry->error), "known",
		    worker != NULL, "runs",
		    (json_int_t)(worker == NULL ? 0 : worker->run_count));
	if (worker == NULL)
		return;
	worker->entry.error = entry->error;
	worker->listed = true;
}

/** Checks the address of an entry.  One incarnation of a worker has one
 * address: a new address is accepted only while the worker can't be running
 * anything, since an answer from elsewhere would look like the end of the
 * incarnation. */
static void
entry_check_addr(struct gb_pool *pool, struct pool_worker *worker,
    struct gb_pool_entry *entry)
{
	bool accepted = (!worker->fenced && pool_owner_reconciled(pool)) ||
			pool_incarnation_may_move(pool, worker, entry);

	if (strcmp(worker->entry.addr, entry->addr) == 0)
		return;
	gb_event(pool->cfg.events, GB_EVENT_NORMAL, "worker_entry_moved",
	    "{s:s, s:s, s:s, s:b}", "worker", entry->id, "from",
	    worker->entry.addr, "to", entry->addr, "believed", accepted);
	if (!accepted) {
		snprintf(
		    entry->addr, sizeof(entry->addr), "%s", worker->entry.addr);
		return;
	}
	/* What was learned at the old address was about another process. */
	worker->ended = false;
	worker->silent = 0;
	worker->heartbeat_at = pool->now;
}

static struct pool_worker *
entry_new(struct gb_pool *pool, const struct gb_pool_entry *entry)
{
	gb_event(pool->cfg.events, GB_EVENT_NORMAL, "worker_listed",
	    "{s:s, s:I, s:s, s:s, s:I}", "worker", entry->id, "life",
	    (json_int_t)entry->incarnation, "addr", entry->addr, "dc",
	    entry->dc, "cpu", (json_int_t)entry->capacity.cpu);
	return pool_worker_new(pool, entry);
}

static void
entry_removed(struct gb_pool *pool, struct pool_worker *worker)
{
	worker->listed = false;
	gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "worker_unlisted",
	    "{s:s, s:I}", "worker", worker->entry.id, "runs",
	    (json_int_t)worker->run_count);
}

/** Logs what has changed of a known worker. */
static void
entry_log_changes(struct gb_pool *pool, const struct pool_worker *worker,
    const struct gb_pool_entry *entry)
{
	if (entry->draining && !worker->entry.draining)
		gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "worker_draining",
		    "{s:s, s:I}", "worker", entry->id, "runs",
		    (json_int_t)worker->run_count);
	if (entry->incarnation != worker->entry.incarnation)
		gb_event(pool->cfg.events, GB_EVENT_NORMAL, "worker_entry_life",
		    "{s:s, s:I, s:I, s:I}", "worker", entry->id, "life",
		    (json_int_t)entry->incarnation, "before",
		    (json_int_t)worker->entry.incarnation, "runs",
		    (json_int_t)worker->run_count);
}

/** Updates when a worker terminates.  Entries arrive late, so the earliest time
 * of all that tell it is the best one. */
static void
worker_update_leaving(struct gb_pool *pool, struct pool_worker *worker)
{
	gb_time leaves_at = pool->now + worker->entry.leaves_in;

	worker->leaving = worker->entry.draining;
	if (!worker->entry.draining)
		worker->leaves_at = 0;
	else if (worker->entry.leaves_in > 0 &&
		 (worker->leaves_at == 0 || leaves_at < worker->leaves_at))
		worker->leaves_at = leaves_at;
}

void
pool_worker_apply_entry(
    struct gb_pool *pool, const struct gb_pool_entry *listed)
{
	struct pool_worker *worker = pool_worker_find(pool, listed->id);
	struct gb_pool_entry copy = *listed;
	struct gb_pool_entry *entry = &copy;

	if (entry->error != GB_POOL_ENTRY_VALID) {
		entry_invalid(pool, worker, entry);
		return;
	}
	if (worker == NULL && entry->removed)
		return;
	if (worker != NULL && !entry->removed) {
		pool_incarnation_entry(pool, worker, entry);
		entry_check_addr(pool, worker, entry);
	}
	if (worker != NULL && entry->removed) {
		entry_removed(pool, worker);
		return;
	}
	/* An older incarnation at this address may be listed later than a newer
	 * one: only the worker's own answer proves that it has ended. */
	if (worker == NULL)
		worker = entry_new(pool, entry);
	else
		entry_log_changes(pool, worker, entry);
	worker->entry = *entry;
	if (pool_incarnation_listed(worker))
		worker_update_leaving(pool, worker);
	worker->listed = true;
	pool->worker_ids_reused |= pool_worker_reuses_id(worker);
	worker->service_configured = worker_service_known(pool, worker);
	pool_worker_set_mark_missing(pool, worker);
	worker_update_rack(worker);
	pool->work_changed = true;
}
