/**
 * @file advice.c
 * The advice service.  Its policy allows the first workers, as many as an
 * option says.  Each node reaches it at a port of its own, so that it handles
 * one call at a time for each.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "platform.h"

struct advice_call {
	TAILQ_ENTRY(advice_call) next;
	struct http_call *call;
	json_t *root;
	unsigned int node;
	unsigned int approved;
	int64_t decided_at; /**< 0: waits for its turn */
};

TAILQ_HEAD(advice_list, advice_call);

static struct advice_list calls = TAILQ_HEAD_INITIALIZER(calls);
static unsigned int *node_numbers;

static bool
worker_allowed(const char *id)
{
	int index = worker_index(id);

	return index >= 0 && (unsigned int)index < cell.approved;
}

static uint64_t
ticket_hash(const char *step, const char *id, int64_t until)
{
	char text[256];

	snprintf(text, sizeof(text), "%s %s %" PRId64, step, id, until);
	return gb_hash(text, strlen(text));
}

bool
advice_ticket_valid(const char *ticket, const char *step, const char *id)
{
	uint64_t hash = 0;
	int64_t until = 0;

	return sscanf(ticket, "%" SCNd64 "-%" SCNx64, &until, &hash) == 2 &&
	       until >= cell_now() && hash == ticket_hash(step, id, until);
}

static const char *
name_at(const json_t *names, size_t at)
{
	const char *name = json_string_value(json_array_get(names, at));

	return name == NULL ? "" : name;
}

static void
advice_serve(void *data, struct http_call *call)
{
	struct advice_call *ask = calloc(1, sizeof(*ask));
	const json_t *names;
	size_t i;

	ask->call = call;
	ask->node = *(const unsigned int *)data;
	ask->root = json_loadb(call->body, call->body_len, 0, NULL);
	names = json_object_get(ask->root, "Workers");
	for (i = 0; i < json_array_size(names); i++)
		ask->approved += worker_allowed(name_at(names, i));
	cell_record("advice node=%u names=%zu approved=%u", ask->node,
	    json_array_size(names), ask->approved);
	TAILQ_INSERT_TAIL(&calls, ask, next);
}

/** Whether an earlier call of the same node is not answered yet. */
static bool
ask_waits(const struct advice_call *ask)
{
	const struct advice_call *other;

	TAILQ_FOREACH(other, &calls, next)
	{
		if (other == ask)
			return false;
		if (other->node == ask->node)
			return true;
	}
	return false;
}

static void
ask_answer(struct advice_call *ask)
{
	const json_t *names = json_object_get(ask->root, "Workers");
	const char *step =
	    json_string_value(json_object_get(ask->root, "Step"));
	json_t *list = json_array();
	int64_t until = cell_now() + cell.valid_ms;
	char ticket[64];
	size_t i;

	for (i = 0; step != NULL && i < json_array_size(names); i++) {
		if (!worker_allowed(name_at(names, i)))
			continue;
		snprintf(ticket, sizeof(ticket), "%" PRId64 "-%" PRIx64, until,
		    ticket_hash(step, name_at(names, i), until));
		json_array_append_new(
		    list, json_pack("[s, s]", name_at(names, i), ticket));
	}
	cell_answer(ask->call, 200,
	    json_pack("{s:o, s:I}", "Approved", list, "ValidMs",
		(json_int_t)cell.valid_ms),
	    0);
	json_decref(ask->root);
}

void
advice_tick(void)
{
	struct advice_call *ask;
	struct advice_call *after;

	for (ask = TAILQ_FIRST(&calls); ask != NULL; ask = after) {
		after = TAILQ_NEXT(ask, next);
		if (ask->decided_at == 0 && !ask_waits(ask))
			ask->decided_at =
			    cell_now() + cell.decide_ms +
			    cell.per_item_ms *
				(int64_t)json_array_size(
				    json_object_get(ask->root, "Workers"));
		if (ask->decided_at == 0 || ask->decided_at > cell_now())
			continue;
		TAILQ_REMOVE(&calls, ask, next);
		ask_answer(ask);
		free(ask);
	}
}

json_t *
advice_calls(void)
{
	const struct advice_call *ask;
	json_t *list = json_array();

	TAILQ_FOREACH(ask, &calls, next)
	{
		json_array_append_new(list,
		    json_pack("[i, i]", (int)ask->node, (int)ask->approved));
	}
	return list;
}

bool
advice_start(void)
{
	unsigned int i;

	node_numbers = calloc(cell.nodes, sizeof(*node_numbers));
	for (i = 0; i < cell.nodes; i++) {
		node_numbers[i] = i;
		if (!cell_listen(10 + i, advice_serve, &node_numbers[i]))
			return false;
	}
	return true;
}
