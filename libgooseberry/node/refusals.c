/**
 * @file refusals.c
 * Log lines and counters of refused requests.
 *
 * Outage of the store: a member refused 978 attempts in a day and wrote four
 * log lines, since the limit on lines drops events that come often.  So the ids
 * are collected, and each second one line lists them for each reason.  Ids
 * beyond those that fit are counted in the line and in a metric.
 */
#include <string.h>

#include <jansson.h>

#include "refusals.h"

/** Interval of the lines. */
#define REFUSALS_INTERVAL GB_SEC

static const char *const names[REFUSAL_REASONS] = {
    [REFUSAL_GIVEN_UP] = "no_owner_and_no_store",
    [REFUSAL_OWNER] = "owner",
    [REFUSAL_LINK] = "link_of_owner",
    [REFUSAL_STORE] = "slow_store",
    [REFUSAL_CANCELLED] = "cancelled",
    [REFUSAL_MEMORY] = "memory_of_next_owner",
};

const char *
refusal_reason_name(enum refusal_reason reason)
{
	return names[reason];
}

void
refusals_add(
    struct refusals *refusals, enum refusal_reason reason, const char *id)
{
	struct refusal_list *list = &refusals->lists[reason];

	list->total++;
	list->waiting++;
	if (list->count == REFUSALS_LINE_FLOWS) {
		list->omitted++;
		return;
	}
	snprintf(list->ids[list->count], sizeof(list->ids[0]), "%s", id);
	list->count++;
}

/** Writes the line of a reason. */
static void
list_log(struct refusal_list *list, enum refusal_reason reason,
    struct gb_events *events)
{
	json_t *flows = events == NULL ? NULL : json_array();
	uint32_t i;

	/* Without a log nothing would take the array over. */
	for (i = 0; events != NULL && i < list->count; i++)
		json_array_append_new(flows, json_string(list->ids[i]));
	gb_event(events, GB_EVENT_ALWAYS, "requests_refused",
	    "{s:s, s:I, s:I, s:o}", "why", names[reason], "count",
	    (json_int_t)list->waiting, "omitted",
	    (json_int_t)(list->waiting - list->count), "flows", flows);
	list->waiting = 0;
	list->count = 0;
}

void
refusals_log(struct refusals *refusals, struct gb_events *events, gb_time now,
    bool flush)
{
	int i;

	if (!flush && now - refusals->logged_at < REFUSALS_INTERVAL)
		return;
	for (i = 0; i < REFUSAL_REASONS; i++) {
		if (refusals->lists[i].waiting == 0)
			continue;
		list_log(&refusals->lists[i], (enum refusal_reason)i, events);
		refusals->logged_at = now;
	}
}
