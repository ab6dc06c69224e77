/**
 * @file member.c
 * Members of the cell, their heartbeats, and whether this member's view of the
 * cell is fresh, which means that the member may act on it.
 *
 * Every write that other members act on (a document, the owner of a shard, the
 * view of members) also writes the head row.  The version of the head row that
 * a member has read shows which writes it knows.  A view is fresh when
 *  - the table service confirmed it within fresh_us, or
 *  - the service confirmed it within outage_us, more than half of the members
 *    in it answered a heartbeat within fresh_us and had read the service since
 *    they started, and no member knows a newer head row.
 * A write is known once more than half of the members in the current view and
 * more than half of those in the previous view have read it.  Every majority
 * that could keep an older view fresh without the service then includes a
 * member that reports the newer head row.  So fresh_us later no member acts on
 * the state before the write, and the members need no replicated store of
 * their own.
 */
#include <stdlib.h>
#include <string.h>

#include "process/core.h"

struct member *
member_find(struct gb_core *core, const char *name)
{
	struct member *m;

	HASH_FIND_STR(core->members, name, m);
	return m;
}

struct member *
member_add(struct gb_core *core, const char *name)
{
	struct member *m = member_find(core, name);

	if (m != NULL)
		return m;
	m = gb_calloc(1, sizeof(*m));
	snprintf(m->name, sizeof(m->name), "%s", name);
	m->last_heard = core->now;
	HASH_ADD_STR(core->members, name, m);
	return m;
}

void
member_free(struct gb_core *core, struct member *m)
{
	HASH_DEL(core->members, m);
	free(m->claims);
	free(m);
}

void
members_free(struct gb_core *core)
{
	struct member *m;
	struct member *next;

	HASH_ITER(hh, core->members, m, next)
	{
		member_free(core, m);
	}
}

bool
member_is_self(const struct gb_core *core, const char *name)
{
	return strcmp(core->cfg.member, name) == 0;
}

bool
member_live(const struct gb_core *core, const struct member *m)
{
	return !m->terminated && !m->leaving &&
	       core->now - m->last_heard <= core->cfg.suspect_us;
}

void
member_apply_instance(struct gb_core *core, const gb_instance *instance)
{
	struct member *m = member_find(core, instance->name);

	if (m != NULL && instance->state == GB_INSTANCE_GONE)
		m->terminated = true;
}

/* Freshness */

bool
member_store_fresh(const struct gb_core *core)
{
	return core->ever_confirmed &&
	       core->now - core->confirmed <= core->cfg.fresh_us;
}

/** Whether a recent answer of a member confirms that it knows no newer head
 * row. */
static bool
member_confirms(const struct gb_core *core, const struct member *m, gb_time now)
{
	return m->informed && now - m->acked_beat_sent <= core->cfg.fresh_us &&
	       m->head_seen <= core->head_seen;
}

bool
gb_core_fresh(const struct gb_core *core, gb_time now)
{
	const struct member *m;
	unsigned int all = 1;
	unsigned int confirming = 1;

	/* A process outside the view never acts: a writer does not wait for it
	 * to learn of a change. */
	if (!core->ever_confirmed || !core->joined)
		return false;
	if (now - core->confirmed <= core->cfg.fresh_us)
		return true;
	if (now - core->confirmed > core->cfg.outage_us)
		return false;
	for (m = core->members; m != NULL; m = m->hh.next) {
		if (m->head_seen > core->head_seen)
			return false;
		all += m->listed;
		confirming += m->listed && member_confirms(core, m, now);
	}
	return 2 * confirming > all;
}

/* Which members know of a write */

/** Members of the current and the previous view, and how many of them know of
 * a write. */
struct spread_count {
	unsigned int listed, listed_know;
	unsigned int previous, previous_know;
	unsigned int missing; /**< members of either view without the write */
};

static void
spread_count(
    const struct gb_core *core, uint64_t vers, struct spread_count *count)
{
	const struct member *m;

	memset(count, 0, sizeof(*count));
	/* This member made the write, so it knows of it. */
	count->listed = count->listed_know = core->joined;
	count->previous = count->previous_know = core->previous;
	for (m = core->members; m != NULL; m = m->hh.next) {
		/* A terminated instance cannot confirm an older view. */
		bool know =
		    (m->informed && m->head_seen >= vers) || m->terminated;

		count->listed += m->listed;
		count->listed_know += m->listed && know;
		count->previous += m->previous;
		count->previous_know += m->previous && know;
		if ((m->listed || m->previous) && !know)
			count->missing++;
	}
}

bool
member_write_known(struct gb_core *core, struct spread *spread)
{
	struct spread_count count;

	if (spread->known_at != 0)
		return true;
	spread_count(core, spread->vers, &count);
	if (2 * count.listed_know <= count.listed ||
	    (count.previous > 0 && 2 * count.previous_know <= count.previous))
		return false;
	spread->known_at = core->now;
	return true;
}

bool
member_write_in_force(struct gb_core *core, struct spread *spread)
{
	struct spread_count count;

	spread_count(core, spread->vers, &count);
	if (count.missing == 0)
		return true;
	return member_write_known(core, spread) &&
	       core->now - spread->known_at >
		   core->cfg.fresh_us + core->cfg.margin_us;
}

/* Heartbeats */

/** Fill in the shards that this member owns; returns their number. */
static u_int
claims_fill(struct gb_core *core, gb_claim *claims)
{
	u_int n = 0;
	uint32_t i;

	for (i = 0; i < core->shard_count; i++) {
		const struct shard *s = &core->shards[i];

		if (s->state != SHARD_LOADING && s->state != SHARD_ACTIVE &&
		    s->state != SHARD_HANDOVER)
			continue;
		claims[n].shard = i;
		claims[n].epoch = s->epoch;
		claims[n].active = s->state == SHARD_ACTIVE;
		claims[n].free_slots = s->free_slots;
		n++;
	}
	return n;
}

void
gb_core_beat_make(struct gb_core *core, gb_beat *beat)
{
	memset(beat, 0, sizeof(*beat));
	beat->member = gb_strdup(core->cfg.member);
	beat->incarnation = core->cfg.incarnation;
	beat->addr = gb_strdup(core->cfg.addr);
	beat->dc = gb_strdup(core->cfg.dc);
	beat->leaving = core->leaving;
	beat->informed = core->ever_confirmed;
	beat->seen = core->head_seen;
	beat->config = core->config_seq;
	beat->claims.claims_val =
	    gb_calloc(core->shard_count, sizeof(gb_claim));
	beat->claims.claims_len = claims_fill(core, beat->claims.claims_val);
}

/** Apply a peer's heartbeat; null when its name is invalid or this member's
 * own. */
static struct member *
member_apply_beat(struct gb_core *core, const gb_beat *beat)
{
	struct member *m;
	u_int i;

	if (!name_valid(beat->member) || member_is_self(core, beat->member))
		return NULL;
	m = member_add(core, beat->member);
	m->incarnation = beat->incarnation;
	snprintf(m->addr, sizeof(m->addr), "%s", beat->addr);
	snprintf(m->dc, sizeof(m->dc), "%s", beat->dc);
	m->leaving = beat->leaving;
	m->informed = beat->informed;
	m->head_seen = beat->seen;
	m->config_seq = beat->config;
	m->last_heard = core->now;
	m->claim_count = beat->claims.claims_len;
	m->claims = gb_realloc(m->claims, m->claim_count * sizeof(gb_claim));
	if (m->claim_count > 0)
		memcpy(m->claims, beat->claims.claims_val,
		    m->claim_count * sizeof(gb_claim));
	for (i = 0; i < m->claim_count; i++)
		shard_claim_apply(core, &m->claims[i], m->name);
	if (m->head_seen > core->head_seen)
		view_poll_now(core);
	return m;
}

void
gb_core_beat(struct gb_core *core, gb_time now, const gb_beat *beat)
{
	core->now = now;
	core->stats.beats++;
	member_apply_beat(core, beat);
}

void
gb_core_beat_done(
    struct gb_core *core, gb_time now, gb_time sent, const gb_beat *beat)
{
	struct member *m;

	core->now = now;
	m = member_apply_beat(core, beat);
	if (m != NULL && sent > m->acked_beat_sent)
		m->acked_beat_sent = sent;
}

void
member_beat_now(struct gb_core *core)
{
	struct member *m;

	for (m = core->members; m != NULL; m = m->hh.next)
		m->sent = 0;
}

void
member_beats(struct gb_core *core)
{
	struct member *m;

	for (m = core->members; m != NULL; m = m->hh.next) {
		struct gb_action *action;

		if (m->terminated || m->addr[0] == '\0' ||
		    core->now - m->sent < core->cfg.beat_us)
			continue;
		m->sent = core->now;
		action = core_action_add(core, GB_ACT_BEAT);
		snprintf(action->addr, sizeof(action->addr), "%s", m->addr);
		gb_core_beat_make(core, &action->u.beat);
		core->stats.beats++;
	}
}

void
gb_core_view_make(struct gb_core *core, gb_time now, gb_view *view)
{
	struct member *m;
	u_int n = 0;

	core->now = now;
	memset(view, 0, sizeof(*view));
	view->shards = core->shard_count;
	view->members.members_val =
	    gb_calloc(HASH_COUNT(core->members) + 1, sizeof(gb_beat));
	gb_core_beat_make(core, &view->members.members_val[n++]);
	for (m = core->members; m != NULL; m = m->hh.next) {
		gb_beat *beat = &view->members.members_val[n];

		if (!member_live(core, m))
			continue;
		n++;
		beat->member = gb_strdup(m->name);
		beat->incarnation = m->incarnation;
		beat->addr = gb_strdup(m->addr);
		beat->dc = gb_strdup(m->dc);
		beat->config = m->config_seq;
		beat->claims.claims_len = m->claim_count;
		beat->claims.claims_val =
		    gb_calloc(m->claim_count, sizeof(gb_claim));
		if (m->claim_count > 0)
			memcpy(beat->claims.claims_val, m->claims,
			    m->claim_count * sizeof(gb_claim));
	}
	view->members.members_len = n;
}
