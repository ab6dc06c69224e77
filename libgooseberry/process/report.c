/**
 * @file report.c
 * State of members, shards and workers as JSON, for operators.
 */
#include <inttypes.h>
#include <string.h>

#include "core.h"

static const char *
evidence_name(const struct worker *w)
{
	static const char *const names[] = {
	    "unknown", "fenced", "lapsed", "gone"};

	return names[w->evidence];
}

static const char *
platform_name(const struct worker *w)
{
	static const char *const names[] = {"live", "leaving", "gone"};

	return names[w->platform];
}

static void
workers_json(struct gb_core *core, uint32_t shard, struct gb_text *out)
{
	bool first = true;
	uint32_t i;

	gb_text_add(out, "{\"workers\": [");
	for (i = 0; i < core->worker_count; i++) {
		const struct worker *w = core->workers[i];

		if (w->shard->id != shard)
			continue;
		gb_text_add(out,
		    "%s{\"name\": \"%s\", \"dc\": \"%s\", \"rack\": \"%s\", "
		    "\"platform\": \"%s\", \"evidence\": \"%s\", "
		    "\"draining\": %s, \"set_aside\": %s, \"tasks\": %" PRIu32
		    ", \"requests\": %" PRIu32 ", \"cpu_used\": %d, "
		    "\"cpu\": %d, \"memory_used\": %d, \"memory\": %d}",
		    first ? "" : ", ", w->name, w->dc, w->rack,
		    platform_name(w), evidence_name(w),
		    w->draining ? "true" : "false",
		    w->quarantined ? "true" : "false", w->task_count,
		    w->requests, w->used.cpu + w->foreign.cpu, w->capacity.cpu,
		    w->used.mem + w->foreign.mem, w->capacity.mem);
		first = false;
	}
	gb_text_add(out, "]}");
}

static void
status_shards(struct gb_core *core, struct gb_text *out)
{
	static const char *const states[] = {
	    "other", "taking", "loading", "active", "handing"};
	uint32_t i;

	gb_text_add(out, "\"shards\": [");
	for (i = 0; i < core->shard_count; i++) {
		const struct shard *s = &core->shards[i];

		gb_text_add(out,
		    "%s{\"shard\": %" PRIu32 ", \"owner\": \"%s\", "
		    "\"epoch\": %" PRIu64 ", \"state\": \"%s\"}",
		    i > 0 ? ", " : "", i, s->member, s->row.epoch,
		    states[s->state]);
	}
	gb_text_add(out, "]");
}

static void
status_members(struct gb_core *core, struct gb_text *out)
{
	struct member *m;

	gb_text_add(out,
	    "\"instances\": [{\"name\": \"%s\", \"dc\": \"%s\", "
	    "\"change\": %" PRIu64 ", \"live\": true}",
	    core->cfg.member, core->cfg.dc, core->config_seq);
	for (m = core->members; m != NULL; m = m->hh.next) {
		gb_text_add(out,
		    ", {\"name\": \"%s\", \"dc\": \"%s\", \"change\": %" PRIu64
		    ", \"live\": %s}",
		    m->name, m->dc, m->config_seq,
		    member_live(core, m) ? "true" : "false");
	}
	gb_text_add(out, "]");
}

void
report_command(struct gb_core *core, uint64_t id, const gb_command *cmd)
{
	struct gb_text body = {0};

	if (cmd->verb == GB_VERB_WORKERS) {
		if (!gb_core_owns(core, cmd->shard)) {
			core_answer(core, id, GB_NOT_RUN, 503, 200,
			    "this instance does not own the shard");
			return;
		}
		workers_json(core, cmd->shard, &body);
	} else {
		gb_text_add(&body, "{\"fresh\": %s, \"joined\": %s, ",
		    gb_core_fresh(core, core->now) ? "true" : "false",
		    core->joined ? "true" : "false");
		status_members(core, &body);
		gb_text_add(&body, ", ");
		status_shards(core, &body);
		gb_text_add(&body, "}");
	}
	core_answer_body(core, id, 0, &body);
}
