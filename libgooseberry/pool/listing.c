/**
 * @file listing.c
 * Workers as the platform's list names them: entries that are new, change,
 * can't be used, or go.
 */
#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "state.h"

static void
worker_rack(struct pool_worker *worker)
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
gb_pool_entry_error_name(enum gb_pool_entry_error fault)
{
	static const char *const names[GB_POOL_ENTRY_ERRORS] = {
	    [GB_POOL_ENTRY_VALID] = "sound",
	    [GB_POOL_ENTRY_UNREADABLE] = "unreadable",
	    [GB_POOL_ENTRY_INCOMPLETE] = "incomplete",
	    [GB_POOL_ENTRY_RANGE] = "out_of_range",
	    [GB_POOL_ENTRY_STATE] = "unknown_state"};

	return names[fault];
}

bool
pool_worker_offered(const struct pool_worker *worker)
{
	return worker->listed && worker->served &&
	       worker->entry.fault == GB_POOL_ENTRY_VALID;
}

static bool
worker_served(const struct gb_pool *pool, const struct pool_worker *worker)
{
	return pool->config == NULL ||
	       gb_pool_config_serves(pool->config, worker->entry.service);
}

void
pool_workers_served(struct gb_pool *pool)
{
	uint32_t i;

	for (i = 0; i < pool->worker_count; i++)
		pool->workers[i]->served =
		    worker_served(pool, pool->workers[i]);
}

/** The entry of a worker can't be used.  What is known of the worker stands:
 * what it runs goes on under its lease, and its ends are taken note of. */
static void
entry_refused(struct gb_pool *pool, struct pool_worker *worker,
    const struct gb_pool_entry *entry)
{
	bool news = worker == NULL || worker->entry.fault != entry->fault;

	pool->stats.entry_errors[entry->fault]++;
	if (news)
		gb_event(pool->cfg.events, GB_EVENT_NORMAL, "worker_entry_bad",
		    "{s:s, s:s, s:b, s:I}", "worker", entry->id, "why",
		    gb_pool_entry_error_name(entry->fault), "known",
		    worker != NULL, "runs",
		    (json_int_t)(worker == NULL ? 0 : worker->run_count));
	if (worker == NULL)
		return;
	worker->entry.fault = entry->fault;
	worker->listed = true;
}

/** One lifetime of a worker has one address: another one in its entry is
 * believed only while nothing can run there, since an answer from elsewhere
 * would say that the lifetime is over. */
static void
entry_moved(struct gb_pool *pool, struct pool_worker *worker,
    struct gb_pool_entry *entry)
{
	bool believed = (!worker->fenced && pool_owner_reconciled(pool)) ||
			pool_incarnation_may_move(pool, worker, entry);

	if (strcmp(worker->entry.addr, entry->addr) == 0)
		return;
	gb_event(pool->cfg.events, GB_EVENT_NORMAL, "worker_entry_moved",
	    "{s:s, s:s, s:s, s:b}", "worker", entry->id, "from",
	    worker->entry.addr, "to", entry->addr, "believed", believed);
	if (!believed) {
		snprintf(
		    entry->addr, sizeof(entry->addr), "%s", worker->entry.addr);
		return;
	}
	/* Who answered or kept silent at the other address was somebody else.
	 */
	worker->over = false;
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
entry_gone(struct gb_pool *pool, struct pool_worker *worker)
{
	worker->listed = false;
	gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "worker_unlisted",
	    "{s:s, s:I}", "worker", worker->entry.id, "runs",
	    (json_int_t)worker->run_count);
}

/** Tell what has changed of a worker that is known. */
static void
entry_news(struct gb_pool *pool, const struct pool_worker *worker,
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

void
pool_worker_entry(struct gb_pool *pool, const struct gb_pool_entry *listed)
{
	struct pool_worker *worker = pool_worker_find(pool, listed->id);
	struct gb_pool_entry copy = *listed;
	struct gb_pool_entry *entry = &copy;

	if (entry->fault != GB_POOL_ENTRY_VALID) {
		entry_refused(pool, worker, entry);
		return;
	}
	if (worker == NULL && entry->removed)
		return;
	if (worker != NULL && !entry->removed) {
		pool_incarnation_entry(pool, worker, entry);
		entry_moved(pool, worker, entry);
	}
	if (worker != NULL && entry->removed) {
		entry_gone(pool, worker);
		return;
	}
	/* An older lifetime at this address may be listed later than a newer
	 * one: only the worker's own answer proves it over. */
	if (worker == NULL)
		worker = entry_new(pool, entry);
	else
		entry_news(pool, worker, entry);
	worker->entry = *entry;
	if (pool_incarnation_listed(worker))
		worker->leaving = entry->draining;
	worker->listed = true;
	worker->served = worker_served(pool, worker);
	pool_worker_set_want(pool, worker);
	worker_rack(worker);
	pool->work_changed = true;
}
