/**
 * @file sight.c
 * Lines and counters by which a change of owner is understood later.
 */
#include <inttypes.h>
#include <string.h>

#include <jansson.h>

#include "node_state.h"

/** Silence of an owner whose end is worth a line: a single hello without an
 * answer takes this long. */
#define SIGHT_SILENCE (600 * GB_MSEC)
/** The loop counts as stalled when a tick comes this much too late. */
#define SIGHT_STALL (200 * GB_MSEC)
/** Members that said hello within this count as heard; each does so five times
 * a second. */
#define SIGHT_MEMBER_HEARD (500 * GB_MSEC)
/** In place of a rank or of a time that there is not. */
#define SIGHT_NONE (-1)

static json_int_t
sight_ms(gb_time time)
{
	return (json_int_t)(time / GB_MSEC);
}

/* The owner, as a member sees it ------------------------------------------ */

void
sight_hello_sent(struct gb_node *node)
{
	struct sight *sight = &node->sight;

	sight->asked_epoch = node->watch.epoch;
	if (strcmp(sight->asked, node->watch.owner) == 0)
		return;
	snprintf(sight->asked, sizeof(sight->asked), "%s", node->watch.owner);
	sight->answered = node_now();
	sight->silent = false;
}

void
sight_hello_answered(struct gb_node *node)
{
	struct sight *sight = &node->sight;
	gb_time now = node_now();

	if (sight->silent && now - sight->answered > SIGHT_SILENCE)
		gb_event(node->events, GB_EVENT_ALWAYS, "owner_heard_again",
		    "{s:s, s:I}", "owner", sight->asked, "silent_ms",
		    sight_ms(now - sight->answered));
	sight->silent = false;
	sight->answered = now;
}

void
sight_hello_lost(struct gb_node *node)
{
	struct sight *sight = &node->sight;

	if (sight->silent || sight->asked[0] == '\0')
		return;
	sight->silent = true;
	sight->silences++;
	gb_event(node->events, GB_EVENT_ALWAYS, "owner_unheard",
	    "{s:s, s:I, s:I, s:I}", "owner", sight->asked, "epoch",
	    (json_int_t)sight->asked_epoch, "silent_ms",
	    sight_ms(node_now() - sight->answered), "refused",
	    (json_int_t)node->watch.refused);
}

void
sight_suspected(struct gb_node *node, unsigned int asked)
{
	node->sight.suspicions++;
	gb_event(node->events, GB_EVENT_ALWAYS, "owner_suspected",
	    "{s:s, s:I, s:I, s:I}", "owner", node->watch.owner, "silent_ms",
	    sight_ms(node_now() - node->watch.last_heard), "members",
	    (json_int_t)node->known_count, "asked", (json_int_t)asked);
}

static json_int_t
sight_rank(const struct watch *watch)
{
	return watch->place.rank == SUCCESSION_UNRANKED
		   ? SIGHT_NONE
		   : (json_int_t)watch->place.rank;
}

/** How long ago the members were last asked. */
static json_int_t
sight_poll_age(const struct watch *watch, gb_time now)
{
	return watch->polled_at == 0 ? SIGHT_NONE
				     : sight_ms(now - watch->polled_at);
}

/** Whether the owner's row was renewed while the owner was silent. */
static const char *
sight_row(const struct watch *watch)
{
	switch (watch->renewal.state) {
	case RENEWAL_GOES_ON:
		return "renewed";
	case RENEWAL_STOPPED:
		return "stopped";
	default:
		return "unknown";
	}
}

void
sight_takeover_decided(struct gb_node *node)
{
	const struct watch *watch = &node->watch;
	gb_time now = node_now();
	gb_time known = watch->owner[0] == '\0' ? 0 : now - watch->owner_since;

	node->sight.takeovers[watch->cause]++;
	gb_event(node->events, GB_EVENT_ALWAYS, "takeover_decided",
	    "{s:s, s:I, s:I, s:b, s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, "
	    "s:I, s:s, s:I, s:I}",
	    "owner", watch->owner, "silent_ms",
	    sight_ms(now - watch->last_heard), "refused",
	    (json_int_t)watch->refused, "vacant", watch->vacant, "cause",
	    watch_cause_name(watch->cause), "epoch", (json_int_t)watch->epoch,
	    "known_ms", sight_ms(known), "rank", sight_rank(watch), "members",
	    (json_int_t)node->known_count, "asked", (json_int_t)watch->asked,
	    "words", (json_int_t)watch->votes, "deaf",
	    (json_int_t)watch->votes_unreachable, "hearing",
	    (json_int_t)watch->votes_reachable, "poll_ms_ago",
	    sight_poll_age(watch, now), "row", sight_row(watch), "contested",
	    (json_int_t)watch->contested, "stood_ms", sight_ms(watch->paused));
}

/* The owner itself -------------------------------------------------------- */

/** Members that said hello to this owner a short while ago. */
static unsigned int
sight_members(const struct gb_node *node, gb_time now)
{
	const struct node_member *member;
	unsigned int count = 0;

	for (member = node->members; member != NULL; member = member->hh.next)
		count += now - member->last_heard < SIGHT_MEMBER_HEARD;
	return count;
}

/** How long ago any of them did. */
static json_int_t
sight_hello_age(const struct gb_node *node, gb_time now)
{
	const struct node_member *member;
	gb_time last = 0;

	for (member = node->members; member != NULL; member = member->hh.next) {
		if (member->last_heard > last)
			last = member->last_heard;
	}
	return last == 0 ? SIGHT_NONE : sight_ms(now - last);
}

void
sight_owner_changed(struct gb_node *node, bool owns, uint64_t epoch)
{
	struct sight *sight = &node->sight;
	gb_time now = node_now();

	if (owns) {
		sight->gained = now;
		sight->gained_epoch = epoch;
		/* No hellos are sent until the pool is lost, and the end of one
		 * that is out says nothing. */
		sight->asked[0] = '\0';
		sight->silent = false;
		return;
	}
	gb_event(node->events, GB_EVENT_ALWAYS, "ownership_ended",
	    "{s:I, s:I, s:I, s:I, s:I}", "epoch",
	    (json_int_t)sight->gained_epoch, "newest", (json_int_t)epoch,
	    "held_ms", sight_ms(now - sight->gained), "members",
	    (json_int_t)sight_members(node, now), "hello_ms_ago",
	    sight_hello_age(node, now));
}

/* The loop ---------------------------------------------------------------- */

void
sight_tick(struct gb_node *node, gb_time now, gb_time period)
{
	struct sight *sight = &node->sight;
	gb_time gap = sight->ticked == 0 ? 0 : now - sight->ticked;

	sight->ticked = now;
	if (gap <= period + SIGHT_STALL)
		return;
	sight->stalls++;
	sight->stalled += gap;
	gb_event(node->events, GB_EVENT_ALWAYS, "loop_stalled", "{s:I}", "ms",
	    sight_ms(gap));
}

/* Counters ---------------------------------------------------------------- */

void
sight_metrics(const struct gb_node *node, struct gb_text *out)
{
	const struct sight *sight = &node->sight;
	const struct gb_counter counters[] = {
	    {"gooseberry_owner_suspicions",
		"Times that members were asked about a silent owner.",
		sight->suspicions},
	    {"gooseberry_owner_silences",
		"Spells of hellos to the owner without an answer.",
		sight->silences},
	    {"gooseberry_loop_stalls", "Times that the loop stood still.",
		sight->stalls},
	    {"gooseberry_loop_stalled_ms", "Length of these.",
		(uint64_t)(sight->stalled / GB_MSEC)},
	};
	unsigned int i;

	gb_counter_print(out, counters, sizeof(counters) / sizeof(counters[0]));
	for (i = WATCH_CAUSE_NONE + 1; i < WATCH_CAUSES; i++)
		gb_text_add(out,
		    "gooseberry_takeovers_decided{cause=\"%s\"} %" PRIu64 "\n",
		    watch_cause_name(i), sight->takeovers[i]);
}
