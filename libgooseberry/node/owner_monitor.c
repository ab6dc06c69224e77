/**
 * @file owner_monitor.c
 * Log events and counters that explain changes of the owner.
 */
#include <inttypes.h>
#include <string.h>

#include <jansson.h>

#include "node_state.h"

/** Shortest silence of the owner whose end is logged: the timeout of a hello.
 */
#define MONITOR_SILENCE_MIN (600 * GB_MSEC)
/** The event loop counts as stalled when a tick is later than this. */
#define MONITOR_STALL_MIN (200 * GB_MSEC)
/** Silence up to which a member counts as connected.  Members send five hellos
 * a second. */
#define MONITOR_MEMBER_SILENCE_MAX (500 * GB_MSEC)
/** Number that is logged in place of a missing rank or time. */
#define MONITOR_NONE (-1)

static json_int_t
monitor_ms(gb_time time)
{
	return (json_int_t)(time / GB_MSEC);
}

/* On a member ------------------------------------------------------------- */

void
owner_monitor_hello_sent(struct gb_node *node)
{
	struct owner_monitor *owner_monitor = &node->owner_monitor;

	owner_monitor->asked_epoch = node->watch.epoch;
	if (strcmp(owner_monitor->asked, node->watch.owner) == 0)
		return;
	snprintf(owner_monitor->asked, sizeof(owner_monitor->asked), "%s",
	    node->watch.owner);
	owner_monitor->answered = node_now();
	owner_monitor->silent = false;
}

void
owner_monitor_hello_answered(struct gb_node *node)
{
	struct owner_monitor *owner_monitor = &node->owner_monitor;
	gb_time now = node_now();

	if (owner_monitor->silent &&
	    now - owner_monitor->answered > MONITOR_SILENCE_MIN)
		gb_event(node->events, GB_EVENT_ALWAYS, "owner_heard_again",
		    "{s:s, s:I}", "owner", owner_monitor->asked, "silent_ms",
		    monitor_ms(now - owner_monitor->answered));
	owner_monitor->silent = false;
	owner_monitor->answered = now;
}

void
owner_monitor_hello_lost(struct gb_node *node)
{
	struct owner_monitor *owner_monitor = &node->owner_monitor;

	if (owner_monitor->silent || owner_monitor->asked[0] == '\0')
		return;
	owner_monitor->silent = true;
	owner_monitor->silences++;
	gb_event(node->events, GB_EVENT_ALWAYS, "owner_unheard",
	    "{s:s, s:I, s:I, s:I}", "owner", owner_monitor->asked, "epoch",
	    (json_int_t)owner_monitor->asked_epoch, "silent_ms",
	    monitor_ms(node_now() - owner_monitor->answered), "refused",
	    (json_int_t)node->watch.refused);
}

void
owner_monitor_suspected(struct gb_node *node, unsigned int asked)
{
	node->owner_monitor.suspicions++;
	gb_event(node->events, GB_EVENT_ALWAYS, "owner_suspected",
	    "{s:s, s:I, s:I, s:I}", "owner", node->watch.owner, "silent_ms",
	    monitor_ms(node_now() - node->watch.last_heard), "members",
	    (json_int_t)node->known_members_count, "asked", (json_int_t)asked);
}

static json_int_t
monitor_rank(const struct watch *watch)
{
	return watch->place.rank == SUCCESSION_UNRANKED
		   ? MONITOR_NONE
		   : (json_int_t)watch->place.rank;
}

/** Milliseconds since the last poll of members. */
static json_int_t
monitor_poll_age(const struct watch *watch, gb_time now)
{
	return watch->polled_at == 0 ? MONITOR_NONE
				     : monitor_ms(now - watch->polled_at);
}

/** Whether the owner's row was renewed while the owner was silent. */
static const char *
monitor_row(const struct watch *watch)
{
	switch (watch->renewal.state) {
	case RENEWAL_CONTINUES:
		return "renewed";
	case RENEWAL_STOPPED:
		return "stopped";
	default:
		return "unknown";
	}
}

void
owner_monitor_takeover_decided(struct gb_node *node)
{
	const struct watch *watch = &node->watch;
	gb_time now = node_now();
	gb_time known = watch->owner[0] == '\0' ? 0 : now - watch->owner_since;

	node->owner_monitor.takeovers[watch->cause]++;
	gb_event(node->events, GB_EVENT_ALWAYS, "takeover_decided",
	    "{s:s, s:I, s:I, s:b, s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, "
	    "s:I, s:s, s:I, s:I}",
	    "owner", watch->owner, "silent_ms",
	    monitor_ms(now - watch->last_heard), "refused",
	    (json_int_t)watch->refused, "vacant", watch->vacant, "cause",
	    watch_cause_name(watch->cause), "epoch", (json_int_t)watch->epoch,
	    "known_ms", monitor_ms(known), "rank", monitor_rank(watch),
	    "members", (json_int_t)node->known_members_count, "asked",
	    (json_int_t)watch->asked, "words", (json_int_t)watch->votes, "deaf",
	    (json_int_t)watch->votes_unreachable, "hearing",
	    (json_int_t)watch->votes_reachable, "poll_ms_ago",
	    monitor_poll_age(watch, now), "row", monitor_row(watch),
	    "contested", (json_int_t)watch->contested, "stood_ms",
	    monitor_ms(watch->paused));
}

/* On the owner ------------------------------------------------------------ */

/** Number of members that have recently sent a hello to this owner. */
static unsigned int
monitor_members(const struct gb_node *node, gb_time now)
{
	const struct node_member *member;
	unsigned int count = 0;

	for (member = node->members; member != NULL; member = member->hh.next)
		count += now - member->last_heard < MONITOR_MEMBER_SILENCE_MAX;
	return count;
}

/** Milliseconds since the last hello of any member. */
static json_int_t
monitor_hello_age(const struct gb_node *node, gb_time now)
{
	const struct node_member *member;
	gb_time last = 0;

	for (member = node->members; member != NULL; member = member->hh.next) {
		if (member->last_heard > last)
			last = member->last_heard;
	}
	return last == 0 ? MONITOR_NONE : monitor_ms(now - last);
}

void
owner_monitor_owner_changed(struct gb_node *node, bool owns, uint64_t epoch)
{
	struct owner_monitor *owner_monitor = &node->owner_monitor;
	gb_time now = node_now();

	if (owns) {
		owner_monitor->gained = now;
		owner_monitor->gained_epoch = epoch;
		/* No hellos are sent until the pool is lost, and the result of
		 * one in flight does not matter. */
		owner_monitor->asked[0] = '\0';
		owner_monitor->silent = false;
		return;
	}
	gb_event(node->events, GB_EVENT_ALWAYS, "ownership_ended",
	    "{s:I, s:I, s:I, s:I, s:I}", "epoch",
	    (json_int_t)owner_monitor->gained_epoch, "newest",
	    (json_int_t)epoch, "held_ms",
	    monitor_ms(now - owner_monitor->gained), "members",
	    (json_int_t)monitor_members(node, now), "hello_ms_ago",
	    monitor_hello_age(node, now));
}

/* Event loop -------------------------------------------------------------- */

void
owner_monitor_tick(struct gb_node *node, gb_time now, gb_time period)
{
	struct owner_monitor *owner_monitor = &node->owner_monitor;
	gb_time gap =
	    owner_monitor->ticked == 0 ? 0 : now - owner_monitor->ticked;

	owner_monitor->ticked = now;
	if (gap <= period + MONITOR_STALL_MIN)
		return;
	owner_monitor->stalls++;
	owner_monitor->stalled += gap;
	gb_event(node->events, GB_EVENT_ALWAYS, "loop_stalled", "{s:I}", "ms",
	    monitor_ms(gap));
}

/* Counters ---------------------------------------------------------------- */

void
owner_monitor_metrics(const struct gb_node *node, struct gb_text *out)
{
	const struct owner_monitor *owner_monitor = &node->owner_monitor;
	const struct gb_counter counters[] = {
	    {"gooseberry_owner_suspicions",
		"Times that members were asked about a silent owner.",
		owner_monitor->suspicions},
	    {"gooseberry_owner_silences",
		"Spells of hellos to the owner without an answer.",
		owner_monitor->silences},
	    {"gooseberry_loop_stalls", "Times that the loop stood still.",
		owner_monitor->stalls},
	    {"gooseberry_loop_stalled_ms", "Length of these.",
		(uint64_t)(owner_monitor->stalled / GB_MSEC)},
	};
	unsigned int i;

	gb_counter_print(out, counters, sizeof(counters) / sizeof(counters[0]));
	for (i = WATCH_CAUSE_NONE + 1; i < WATCH_CAUSES; i++)
		gb_text_add(out,
		    "gooseberry_takeovers_decided{cause=\"%s\"} %" PRIu64 "\n",
		    watch_cause_name(i), owner_monitor->takeovers[i]);
}
