/**
 * @file action.c
 * Queue of the actions that a core has issued and its process has not taken.
 */
#include <stdlib.h>
#include <string.h>

#include "core.h"

/** Coder of each type of action, to release what an action owns. */
static const struct {
	xdrproc_t code;
} action_kinds[] = {
    [GB_ACT_TXN] = {(xdrproc_t)xdr_gb_txn},
    [GB_ACT_SCAN] = {(xdrproc_t)xdr_gb_scan},
    [GB_ACT_SYNC] = {(xdrproc_t)xdr_gb_sync},
    [GB_ACT_EXEC] = {(xdrproc_t)xdr_gb_exec},
    [GB_ACT_ANSWER] = {(xdrproc_t)xdr_gb_answer},
    [GB_ACT_BEAT] = {(xdrproc_t)xdr_gb_beat},
    [GB_ACT_LEND] = {(xdrproc_t)xdr_gb_lend},
    [GB_ACT_EXIT] = {NULL},
};

static void
action_ring_grow(struct gb_core *core)
{
	size_t size = core->action_size == 0 ? 64 : core->action_size * 2;
	struct gb_action *ring = gb_calloc(size, sizeof(*ring));
	size_t i;

	for (i = 0; i < core->action_count; i++) {
		ring[i] =
		    core->actions[(core->action_head + i) % core->action_size];
	}
	free(core->actions);
	core->actions = ring;
	core->action_head = 0;
	core->action_size = size;
}

struct gb_action *
core_action_add(struct gb_core *core, enum gb_action_type type)
{
	struct gb_action *action;

	if (core->action_count == core->action_size)
		action_ring_grow(core);
	action = &core->actions[(core->action_head + core->action_count) %
				core->action_size];
	core->action_count++;
	memset(action, 0, sizeof(*action));
	action->type = type;
	return action;
}

bool
gb_core_next_action(struct gb_core *core, struct gb_action *out)
{
	if (core->action_count == 0)
		return false;
	*out = core->actions[core->action_head];
	core->action_head = (core->action_head + 1) % core->action_size;
	core->action_count--;
	return true;
}

void
gb_action_clear(struct gb_action *action)
{
	xdrproc_t code = action_kinds[action->type].code;

	if (code != NULL)
		xdr_free(code, (char *)&action->u);
	memset(action, 0, sizeof(*action));
}

void
core_answer(struct gb_core *core, uint64_t id, gb_verdict verdict,
    unsigned status, unsigned retry_after_ms, const char *reason)
{
	struct gb_action *action;

	if (id == 0)
		return;
	action = core_action_add(core, GB_ACT_ANSWER);
	action->id = id;
	action->u.answer.verdict = verdict;
	action->u.answer.status = status;
	action->u.answer.retry_after_ms = retry_after_ms;
	action->u.answer.reason = gb_strdup(reason);
	if (verdict != GB_RUN)
		core->stats.refused++;
}

struct gb_action *
core_answer_body(
    struct gb_core *core, uint64_t id, uint64_t vers, struct gb_text *body)
{
	struct gb_action *action = core_action_add(core, GB_ACT_ANSWER);

	action->id = id;
	action->u.answer.verdict = GB_RUN;
	action->u.answer.status = 200;
	action->u.answer.vers = vers;
	action->u.answer.reason = gb_strdup("");
	action->u.answer.body.gb_body_len = (u_int)body->len;
	action->u.answer.body.gb_body_val = body->data;
	body->data = NULL;
	body->len = 0;
	body->size = 0;
	return action;
}
