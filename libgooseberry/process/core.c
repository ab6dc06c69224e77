/**
 * @file core.c
 * Creation and release of a core, and its periodic work.
 */
#include <stdlib.h>
#include <string.h>

#include "core.h"

/** After a pause of the process, the list of instances counts as stale until a
 * new one arrives, at most for this long. */
#define LIST_STALE_TIMEOUT (5 * GB_SEC)
/** Retry budget of a core: one retry for ten first tries, and at most ten at
 * once.  In thousandths of a retry. */
#define RETRY_CREDIT_PER_TRY 100
#define RETRY_CREDIT_MAX 10000

bool
core_list_stale(const struct gb_core *core)
{
	return core->now < core->list_stale_until;
}

struct gb_core *
gb_core_new(const struct gb_core_config *cfg, gb_time now)
{
	struct gb_core *core = gb_calloc(1, sizeof(*core));
	uint32_t i;

	core->refs = 1;
	core->cfg = *cfg;
	core->strings[0] = gb_strdup(cfg->member);
	core->strings[1] = gb_strdup(cfg->addr);
	core->strings[2] = gb_strdup(cfg->dc);
	core->cfg.member = core->strings[0];
	core->cfg.addr = core->strings[1];
	core->cfg.dc = core->strings[2];
	core->now = now;
	core->seed = cfg->seed;
	core->next_rid = 1;
	gb_retry_init(&core->retry, RETRY_CREDIT_PER_TRY, RETRY_CREDIT_MAX,
	    cfg->seed ^ 1);
	TAILQ_INIT(&core->changes);
	core->shard_count = gb_shard_count(cfg);
	core->shards = gb_calloc(core->shard_count, sizeof(struct shard));
	for (i = 0; i < core->shard_count; i++) {
		struct shard *shard = &core->shards[i];

		shard->id = i;
		shard->vacant_since = now;
		TAILQ_INIT(&shard->backoff);
		TAILQ_INIT(&shard->ended);
		TAILQ_INIT(&shard->waiting);
	}
	return core;
}

struct gb_core *
gb_core_ref(struct gb_core *core)
{
	core->refs++;
	return core;
}

static void
core_ops_free(struct gb_core *core)
{
	struct store_op *op;
	struct store_op *next;
	struct command_wait *wait;
	struct command_wait *next_wait;

	HASH_ITER(hh, core->ops, op, next)
	{
		HASH_DEL(core->ops, op);
		free(op);
	}
	HASH_ITER(hh, core->commands, wait, next_wait)
	{
		HASH_DEL(core->commands, wait);
		free(wait);
	}
}

void
gb_core_unref(struct gb_core *core)
{
	struct gb_action action;
	struct job *job;
	struct job *next;
	uint32_t i;

	if (--core->refs > 0)
		return;
	requests_free(core);
	core_ops_free(core);
	for (i = 0; i < core->shard_count; i++) {
		struct shard *shard = &core->shards[i];

		HASH_ITER(hh, shard->jobs, job, next)
		{
			job_free(core, job);
		}
		log_clear(core, shard);
		dispatch_teams_free(shard);
		if (shard->index != NULL)
			gb_index_free(shard->index);
		free(shard->workers);
	}
	while (gb_core_next_action(core, &action))
		gb_action_clear(&action);
	free(core->actions);
	workers_free(core);
	members_free(core);
	config_free(core);
	free(core->shards);
	for (i = 0; i < 3; i++)
		free(core->strings[i]);
	free(core);
}

void
gb_core_set_wall_offset(struct gb_core *core, gb_time wall_minus_now)
{
	core->wall_minus_now = wall_minus_now;
}

void
gb_core_instances(
    struct gb_core *core, gb_time now, const gb_instance_list *list)
{
	struct shard *shard;
	uint32_t i;
	u_int n;

	core->now = now;
	core->list_stale_until = 0;
	for (n = 0; n < list->list.list_len; n++) {
		const gb_instance *in = &list->list.list_val[n];

		member_apply_instance(core, in);
		worker_instance(core, in);
	}
	for (i = 0; i < core->shard_count; i++)
		core->shards[i].total = (gb_res){0};
	for (i = 0; i < core->worker_count; i++) {
		const struct worker *w = core->workers[i];

		if (w->evidence != EVIDENCE_TERMINATED)
			gb_res_add(&w->shard->total, &w->capacity);
	}
	for (i = 0; i < core->shard_count; i++) {
		shard = &core->shards[i];
		if (shard->state == SHARD_ACTIVE)
			job_reconcile(core, shard);
	}
}

/** Called when this process has been paused.  It received no messages, which
 * does not mean that the members sent none, and its list of instances may be
 * out of date. */
static void
core_resumed(struct gb_core *core)
{
	struct member *m;

	core->list_stale_until = core->now + LIST_STALE_TIMEOUT;
	for (m = core->members; m != NULL; m = m->hh.next)
		m->last_heard = core->now;
}

void
gb_core_tick(struct gb_core *core, gb_time now)
{
	uint32_t i;

	core->now = now;
	if (core->last_tick != 0 &&
	    now - core->last_tick > core->cfg.suspect_us)
		core_resumed(core);
	core->last_tick = now;
	store_op_tick(core);
	view_tick(core);
	config_tick(core);
	job_commands_tick(core);
	request_tick(core);
	for (i = 0; i < core->shard_count; i++) {
		struct shard *shard = &core->shards[i];
		uint32_t n;

		shard_tick(core, shard);
		for (n = 0; n < shard->worker_count; n++)
			worker_tick(core, core->workers[shard->workers[n]]);
	}
	shards_leave(core);
}

void
gb_core_command(
    struct gb_core *core, gb_time now, uint64_t id, const gb_command *cmd)
{
	core->now = now;
	if (core->leaving) {
		core_answer(
		    core, id, GB_NOT_RUN, 503, 100, "this instance is leaving");
		return;
	}
	switch (cmd->verb) {
	case GB_VERB_APPLY:
	case GB_VERB_GET:
	case GB_VERB_HISTORY:
	case GB_VERB_DOCS:
	case GB_VERB_DRAIN:
	case GB_VERB_UNDRAIN:
		config_command(core, id, cmd);
		break;
	case GB_VERB_SUBMIT:
	case GB_VERB_CANCEL:
	case GB_VERB_JOB:
	case GB_VERB_JOBS:
	case GB_VERB_EXPLAIN:
		job_command(core, id, cmd);
		break;
	case GB_VERB_WORKERS:
	case GB_VERB_STATUS:
	case GB_VERB_METRICS:
		report_command(core, id, cmd);
		break;
	}
}

void
gb_core_stats_get(const struct gb_core *core, struct gb_core_stats *out)
{
	uint32_t i;

	*out = core->stats;
	out->workers = core->worker_count;
	out->pending = 0;
	out->running = 0;
	out->jobs = 0;
	out->active_shards = 0;
	for (i = 0; i < core->shard_count; i++) {
		const struct shard *shard = &core->shards[i];
		const struct job *job;

		if (shard->state == SHARD_ACTIVE)
			out->active_shards++;
		for (job = shard->jobs; job != NULL; job = job->hh.next) {
			out->jobs++;
			out->pending += job->ready_count;
			out->running += job->active;
		}
	}
}
