/**
 * @file watch.c
 * When to take the pool over.
 *
 * A takeover costs a second read of all state and the tickets that were
 * fetched, but nothing that runs.  It is begun when the owner's address refuses
 * connections, when the owner is silent and other members do not hear it
 * either, when the owner itself has lost the store, or at once when the owner
 * says that it stops.  A node that reaches nobody at all is more likely cut
 * off itself, and waits longer; it never takes the pool from an owner that goes
 * on renewing its row.
 *
 * Silence alone does not tell an owner that is gone from one that is slow,
 * paused or cut off.  After takeovers from owners that were at work members
 * wait ever longer, and longest while the owner renews its row, so that the
 * pool stays with somebody whatever is wrong.
 */
#include <string.h>

#include "watch.h"

/** Interval of hellos to the owner, and of the first successors' hellos, which
 * learn of an owner without the store. */
#define WATCH_HELLO_EVERY (200 * GB_MSEC)
#define WATCH_HELLO_FIRST (100 * GB_MSEC)
/** Silence after which the owner is suspected; pauses of processors that are
 * shared stay well under it. */
#define WATCH_SUSPECT (900 * GB_MSEC)
/** The same when this node reaches no other member either. */
#define WATCH_ALONE (3500 * GB_MSEC)
/** A hello without answer for this long, and twice the time that the last one
 * took, is missed: the owner's row is read, to be compared with a second read
 * by the time the owner is suspected. */
#define WATCH_LATE (50 * GB_MSEC)
/** One takeover from an owner at work is as good as none: owners freeze.  Then
 * the patience with silence doubles with each, and doubles twice while the
 * owner renews its row. */
#define WATCH_CONTESTS_FREE 1
#define WATCH_DOUBLINGS_MOST 2
/** An owner that has not renewed its row since it claimed it is still reading
 * what is stored, for seconds where everything is slow.  Once owners at work
 * have been deposed, it is given this long. */
#define WATCH_TAKING (4 * GB_SEC)
/** A new owner has read what is stored within this, unless its link is thin. */
#define WATCH_READS (400 * GB_MSEC)
#define WATCH_SERIAL_CLAIM 1
/** A node that hears nobody believes that the owner has stopped after so many
 * reads: one renewal may be late. */
#define WATCH_STOPPED_ALONE 3
/** Time between two looks that counts as this process standing still: it could
 * not have heard the owner meanwhile. */
#define WATCH_STOOD (150 * GB_MSEC)
/** Hellos in a row that find nobody listening.  A restarted process listens
 * again after a moment, but has forgotten everything. */
#define WATCH_REFUSED 2
/** An owner that refuses connections so soon may have been cut off like the one
 * before it: each member could depose one at once. */
#define WATCH_BRIEF (5 * GB_SEC)
/** An owner without the store can't accept work or record ends.  It writes each
 * 0.5 s at the least. */
#define WATCH_STORE_SILENT (1300 * GB_MSEC)
/** A store that answers this node within this is not what is wrong. */
#define WATCH_STORE_QUICK (150 * GB_MSEC)
/** A read that is as quick as usual.  When it takes longer, a part of the
 * tables carries out fewer writes than callers bring. */
#define WATCH_STORE_USUAL (40 * GB_MSEC)
/** What is known of the store is this old at the most. */
#define WATCH_STORE_KNOWN (400 * GB_MSEC)
/** Pause between reads of the owner's row. */
#define WATCH_READ_EVERY (150 * GB_MSEC)
/** Nodes that see the same thing read the owner's row one after the other. */
#define WATCH_SPREAD (60 * GB_MSEC)
/** An owner that can't write is succeeded by a node that has the store for so
 * long meanwhile: the owner tries again each 0.15 s at the least, so that a
 * store that has just come back is not taken for one that turns the owner away.
 */
#define WATCH_SERVED (250 * GB_MSEC)
/** Successors that look whether they have the store when the owner has not. */
#define WATCH_DOUBTERS 3
/** Head start of larger nodes: longer than a claim takes. */
#define WATCH_DEFER (400 * GB_MSEC)
#define CORE_MILLI 1000
/** Members have this long to say whether they hear the owner. */
#define WATCH_POLL_WAIT (350 * GB_MSEC)

const char *
watch_cause_name(enum watch_cause cause)
{
	static const char *const names[WATCH_CAUSES] = {"none", "refused",
	    "silent", "alone", "no_members", "vacating", "store", "own_row",
	    "no_row"};

	return names[cause];
}

void
watch_init(struct watch *w, const char *self, uint32_t own_milli, gb_time now,
    uint64_t seed)
{
	memset(w, 0, sizeof(*w));
	snprintf(w->self, sizeof(w->self), "%s", self);
	w->own_milli = own_milli;
	w->last_heard = now;
	w->owner_confirmed_at = now;
	w->owner_since = now;
	w->seed = seed;
	w->place.rank = SUCCESSION_UNRANKED;
}

/** The owner is at work, as far as this node knows. */
static void
watch_trust(struct watch *w, gb_time now)
{
	w->last_heard = now;
	w->paused = 0;
	w->last_checked = now;
	w->missed = 0;
	w->refused = 0;
	w->polled = 0;
	renewal_reset(&w->renewal);
}

gb_time
watch_silence(const struct watch *w, gb_time now)
{
	return now - w->last_heard - w->paused;
}

bool
watch_owner_reads(const struct watch *w, gb_time now)
{
	return w->acquiring_since != 0 &&
	       now - w->acquiring_since > WATCH_READS;
}

void
watch_owns_pool(struct watch *w, gb_time now)
{
	w->owner_confirmed_at = now;
	w->acquiring_since = 0;
}

gb_time
watch_time_without_owner(const struct watch *w, gb_time now)
{
	return now - w->owner_confirmed_at;
}

/** Whether the owner has not answered when it should have. */
static bool
watch_missed(const struct watch *w, gb_time now)
{
	return w->missed > 0 ||
	       (w->hello_in_flight &&
		   now - w->hello_at > WATCH_LATE + 2 * w->hello_took);
}

static void
watch_look(struct watch *w, gb_time now)
{
	if (w->last_checked != 0 && now - w->last_checked > WATCH_STOOD)
		w->paused += now - w->last_checked - WATCH_STOOD;
	w->last_checked = now;
}

static unsigned int
watch_doublings(const struct watch *w)
{
	if (w->contested <= WATCH_CONTESTS_FREE)
		return 0;
	if (w->contested - WATCH_CONTESTS_FREE > WATCH_DOUBLINGS_MOST)
		return WATCH_DOUBLINGS_MOST;
	return w->contested - WATCH_CONTESTS_FREE;
}

/** Silence after which this owner may be deposed. */
static gb_time
watch_patience(const struct watch *w)
{
	unsigned int doublings = watch_doublings(w);

	if (w->contested > 0 && w->renewal.read_at != 0 &&
	    w->renewal.serial == WATCH_SERIAL_CLAIM)
		return WATCH_TAKING;
	if (w->renewal.state == RENEWAL_GOES_ON)
		doublings *= 2;
	return WATCH_SUSPECT << doublings;
}

static gb_time
watch_spread(struct watch *w)
{
	return (gb_time)(gb_random_next(&w->seed) % WATCH_SPREAD);
}

/** A small node leaves the pool to a larger one, which has more for the owner's
 * work. */
static gb_time
watch_deference(const struct watch *w)
{
	if (w->largest_milli == 0)
		return w->own_milli >= CORE_MILLI
			   ? 0
			   : WATCH_DEFER *
				 (CORE_MILLI - (gb_time)w->own_milli) /
				 CORE_MILLI;
	return (uint64_t)w->own_milli * 5 < (uint64_t)w->largest_milli * 4
		   ? WATCH_DEFER
		   : 0;
}

static void
watch_vacate(struct watch *w, gb_time now, enum watch_cause cause)
{
	if (w->vacant)
		return;
	w->vacant = true;
	w->cause = cause;
	w->take_at = now + watch_deference(w) +
		     succession_delay(&w->place, w->store_took, &w->seed);
}

/** What the members that were asked have said. */
static bool
watch_agreed(struct watch *w, gb_time now)
{
	bool works = w->renewal.state == RENEWAL_GOES_ON;

	if (w->votes_reachable > 0) {
		/* It is this node that can't reach the owner.  What it tells
		 * others of the owner must not change by that. */
		w->polled = 0;
		w->cleared_until = now + WATCH_SUSPECT / 2;
		return false;
	}
	if (works)
		return w->votes_unreachable * 2 > w->polled;
	return w->votes_unreachable > 0 ||
	       (watch_silence(w, now) > WATCH_ALONE &&
		   w->renewal.stopped >= WATCH_STOPPED_ALONE);
}

/** Whether nobody listens at the owner's address, and that means that it is
 * gone: paths may be cut so that they refuse. */
static bool
watch_gone(const struct watch *w)
{
	if (w->refused < WATCH_REFUSED || w->renewal.state == RENEWAL_GOES_ON)
		return false;
	return w->contested == 0 || w->renewal.state == RENEWAL_STOPPED;
}

/** Whether enough is known of the row.  While the store is slow, and no owner
 * at work was deposed lately, the answers of members are enough: two reads
 * would take longer than the takeover. */
static bool
watch_knows(const struct watch *w)
{
	return w->renewal.state != RENEWAL_UNKNOWN ||
	       (w->store_took >= WATCH_STORE_USUAL && w->contested == 0 &&
		   w->place.members >= 2);
}

/** The owner is silent, or refuses. */
static enum watch_action
watch_suspicion(struct watch *w, gb_time now)
{
	if (w->renewal.read_at == 0)
		return w->next_read <= now ? WATCH_READ : WATCH_NOTHING;
	if (watch_gone(w)) {
		watch_vacate(w, now, WATCH_CAUSE_REFUSED);
		return WATCH_NOTHING;
	}
	if (!watch_knows(w) || watch_silence(w, now) <= watch_patience(w))
		return WATCH_NOTHING;
	if (w->place.members < 2) {
		if (w->renewal.state == RENEWAL_STOPPED)
			watch_vacate(w, now, WATCH_CAUSE_NO_MEMBERS);
		return WATCH_NOTHING;
	}
	if (w->polled == 0)
		return WATCH_POLL;
	if (w->votes < w->polled && now - w->polled_at < WATCH_POLL_WAIT)
		return WATCH_NOTHING;
	if (watch_agreed(w, now)) {
		watch_vacate(w, now,
		    w->votes_unreachable > 0 ? WATCH_CAUSE_SILENT
					     : WATCH_CAUSE_NO_ANSWER);
		return WATCH_NOTHING;
	}
	if (now - w->polled_at > WATCH_SUSPECT)
		w->polled = 0;
	return WATCH_NOTHING;
}

/** Whether a silent owner's row is to be read, to tell if it is at work. */
static bool
watch_reads(const struct watch *w, gb_time now)
{
	return w->next_read <= now && watch_missed(w, now) &&
	       renewal_due(&w->renewal, now, w->store_took);
}

/** What to do while no read is out, but hellos. */
static enum watch_action
watch_decide(struct watch *w, gb_time now)
{
	if (w->vacant && w->take_at <= now)
		return WATCH_TAKE_OVER;
	if (w->vacant || w->owner[0] == '\0')
		return w->next_read <= now ? WATCH_READ : WATCH_NOTHING;
	if ((w->store_doubted && w->next_read <= now) || watch_reads(w, now))
		return WATCH_READ;
	if (w->cleared_until <= now && (watch_silence(w, now) > WATCH_SUSPECT ||
					   w->refused >= WATCH_REFUSED))
		return watch_suspicion(w, now);
	return WATCH_NOTHING;
}

enum watch_action
watch_next(struct watch *w, gb_time now)
{
	enum watch_action action = WATCH_NOTHING;

	watch_look(w, now);
	if (!w->read_in_flight)
		action = watch_decide(w, now);
	if (action != WATCH_NOTHING || w->vacant || w->owner[0] == '\0' ||
	    w->hello_in_flight || w->next_hello > now)
		return action;
	w->hello_at = now;
	return WATCH_HELLO;
}

bool
watch_compares(const struct watch *w, gb_time now)
{
	return w->owner[0] != '\0' && !w->vacant && watch_missed(w, now);
}

void
watch_reading(struct watch *w, gb_time now)
{
	w->read_compared = watch_compares(w, now);
	w->read_in_flight = true;
	w->read_sent = now;
}

/** Whether an owner that can't write may be deposed for it.  After takeovers
 * from owners at work each is given time. */
static bool
watch_store_matters(const struct watch *w, gb_time now)
{
	unsigned int doublings = watch_doublings(w);

	return doublings == 0 || now - w->owner_since >= WATCH_SUSPECT
							     << doublings;
}

/** The store has answered this node while the owner says that it has it not. */
static void
watch_store_served(struct watch *w, gb_time now)
{
	if (!w->store_doubted)
		return;
	if (w->store_took >= WATCH_STORE_QUICK) {
		w->store_doubted = false;
		w->store_ok_since = 0;
	} else if (w->store_ok_since != 0 &&
		   now - w->store_ok_since >= WATCH_SERVED &&
		   watch_store_matters(w, now)) {
		w->store_doubted = false;
		watch_vacate(w, now, WATCH_CAUSE_STORE);
	} else if (w->store_ok_since == 0) {
		w->store_ok_since = now;
		w->next_read = now + WATCH_SERVED;
	}
}

void
watch_row(struct watch *w, gb_time now, const struct watch_row *row)
{
	const char *addr = row->addr == NULL ? "" : row->addr;

	if (w->read_in_flight) {
		w->store_took = now - w->read_sent;
		w->store_read_at = now;
	}
	w->read_in_flight = false;
	w->next_read = now + WATCH_READ_EVERY + w->store_took;
	if (addr[0] == '\0' || strcmp(addr, w->self) == 0) {
		w->epoch = row->epoch;
		watch_vacate(w, now,
		    addr[0] == '\0' ? WATCH_CAUSE_NO_ROW : WATCH_CAUSE_OWN_ROW);
		/* This node owned the pool before its restart, and the others
		 * turn to it first. */
		if (addr[0] != '\0')
			w->take_at = now;
		return;
	}
	if (row->epoch != w->epoch || strcmp(addr, w->owner) != 0) {
		watch_handed(w, now, addr, row->epoch);
		w->contested = row->contested;
		return;
	}
	w->contested = row->contested;
	if (w->read_compared)
		renewal_read(
		    &w->renewal, w->read_sent, w->store_took, row->serial);
	watch_store_served(w, now);
}

enum takeover_cause
watch_takeover_cause(const struct watch *w, gb_time now)
{
	bool refused = w->cause == WATCH_CAUSE_REFUSED;

	if (w->renewal.state == RENEWAL_GOES_ON ||
	    (refused && now - w->owner_since < WATCH_BRIEF))
		return TAKEOVER_WORKING_OWNER;
	return TAKEOVER_SILENT_OWNER;
}

void
watch_row_failed(struct watch *w, gb_time now)
{
	w->read_in_flight = false;
	w->store_doubted = false;
	w->store_ok_since = 0;
	/* The next read is of another part. */
	renewal_reset(&w->renewal);
	w->next_read = now + WATCH_READ_EVERY + watch_spread(w);
}

void
watch_hello_answered(
    struct watch *w, gb_time now, const struct watch_owner_status *news)
{
	if (w->hello_in_flight)
		w->hello_took = now - w->hello_at;
	w->hello_in_flight = false;
	w->next_hello =
	    now + (news->place.rank < WATCH_DOUBTERS ? WATCH_HELLO_FIRST
						     : WATCH_HELLO_EVERY);
	watch_trust(w, now);
	watch_owns_pool(w, now);
	if (news->epoch > w->epoch) {
		w->epoch = news->epoch;
		w->owner_since = now;
	}
	w->largest_milli = news->largest_milli;
	w->place = news->place;
	w->store_doubted =
	    !news->vacating &&
	    (news->store_silent > WATCH_STORE_SILENT ||
		(news->store_unavailable && news->place.rank < WATCH_DOUBTERS));
	if (!w->store_doubted)
		w->store_ok_since = 0;
	if (news->vacating)
		watch_vacate(w, now, WATCH_CAUSE_VACATING);
	else if (!w->store_doubted)
		w->vacant = false;
}

void
watch_handed(struct watch *w, gb_time now, const char *addr, uint64_t epoch)
{
	snprintf(w->owner, sizeof(w->owner), "%s", addr);
	w->epoch = epoch;
	w->vacant = false;
	w->store_doubted = false;
	w->acquiring_since = 0;
	watch_trust(w, now);
	w->hello_in_flight = false;
	w->owner_since = now;
	w->next_hello = now;
}

void
watch_members(struct watch *w, unsigned int members)
{
	w->place.rank = SUCCESSION_UNRANKED;
	w->place.ranked = 0;
	w->place.members = members;
}

void
watch_recheck(struct watch *w, gb_time now)
{
	if (!w->hello_in_flight && w->next_hello > now)
		w->next_hello = now;
}

void
watch_denied(struct watch *w, gb_time now, const char *owner, uint64_t epoch)
{
	w->hello_in_flight = false;
	w->next_hello = now + WATCH_HELLO_EVERY / 2;
	if (epoch > w->epoch && owner[0] != '\0' &&
	    strcmp(owner, w->self) != 0) {
		watch_handed(w, now, owner, epoch);
		return;
	}
	/* It owned the pool by the row, but has forgotten so.  It learns of
	 * it from the row itself; if it does not, this counts as silence. */
	w->missed++;
}

void
watch_owner_acquiring(struct watch *w, gb_time now)
{
	w->hello_in_flight = false;
	w->next_hello = now + WATCH_HELLO_EVERY / 4;
	if (w->acquiring_since == 0)
		w->acquiring_since = now;
	watch_trust(w, now);
}

void
watch_hello_failed(struct watch *w, gb_time now, bool refused)
{
	w->hello_in_flight = false;
	/* The first is followed at once by another, over a new connection if
	 * the one before has gone silent. */
	w->next_hello = now;
	if (w->missed++ > 0 || refused)
		w->next_hello += WATCH_HELLO_EVERY;
	if (refused)
		w->refused++;
}

void
watch_poll_begun(struct watch *w, gb_time now, unsigned int members)
{
	w->polled = members;
	w->asked = members;
	w->polled_at = now;
	w->votes = 0;
	w->votes_unreachable = 0;
	w->votes_reachable = 0;
	if (members == 0)
		w->polled = 1;
}

void
watch_polled(struct watch *w, enum watch_vote word)
{
	w->votes++;
	if (word == WATCH_VOTE_REACHABLE)
		w->votes_reachable++;
	if (word == WATCH_VOTE_UNREACHABLE)
		w->votes_unreachable++;
}

bool
watch_store_quick(struct watch *w, gb_time now)
{
	if (w->store_read_at != 0 && now - w->store_read_at < WATCH_STORE_KNOWN)
		return w->store_took < WATCH_STORE_USUAL;
	if (w->next_read > now)
		w->next_read = now;
	return false;
}

void
watch_lost(struct watch *w, gb_time now, gb_time pause)
{
	w->vacant = false;
	w->store_doubted = false;
	w->owner[0] = '\0';
	watch_trust(w, now);
	w->hello_in_flight = false;
	w->next_read = now + watch_spread(w) + pause;
}
