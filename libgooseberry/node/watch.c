/**
 * @file watch.c
 * Decides when to take the pool over.
 *
 * A takeover reads all state again and loses the tickets that were fetched, but
 * no run.  It begins when the owner's address refuses connections, when the
 * owner is silent and other members do not reach it either, when the owner has
 * lost the store, or at once when the owner announces that it stops.  A node
 * that reaches no other node is more likely cut off itself and waits longer; it
 * never takes the pool from an owner that still renews its row.
 *
 * Silence alone does not show whether the owner has terminated or is slow,
 * paused or cut off.  After takeovers from working owners the suspicion timeout
 * grows, most while the owner renews its row, so that the pool does not keep
 * changing its owner whatever the failure is.
 */
#include <string.h>

#include "pool.h"
#include "watch.h"

/** Interval of hellos to the owner. */
#define WATCH_HELLO_INTERVAL (200 * GB_MSEC)
/** Interval of hellos of the first successors, which are to learn early that
 * the owner has lost the store. */
#define WATCH_SUCCESSOR_HELLO_INTERVAL (100 * GB_MSEC)
/** Silence after which the owner is suspected.  Pauses of a process on a shared
 * processor are much shorter. */
#define WATCH_SUSPICION_TIMEOUT (900 * GB_MSEC)
/** Silence after which the owner may be deposed when this node reaches no other
 * member either. */
#define WATCH_ISOLATED_TIMEOUT (3500 * GB_MSEC)
/** A hello counts as missed when it has no answer after this plus twice the
 * last round trip.  Then the owner's row is read, so that a second read can be
 * compared with it by the time the owner is suspected. */
#define WATCH_HELLO_OVERDUE (50 * GB_MSEC)
/** Number of recent takeovers from working owners that leave the suspicion
 * timeout as it is: a single one may come from a paused owner.  Each further
 * one doubles the timeout, or quadruples it while the owner renews its row. */
#define WATCH_CONTENTION_FREE 1
/** Largest number of doublings. */
#define WATCH_DOUBLINGS_MAX 2
/** Suspicion timeout of an owner that has not renewed its row since its claim,
 * after takeovers from working owners.  It is still loading the stored state,
 * which takes seconds when the store or its link is slow. */
#define WATCH_ACQUIRING_TIMEOUT (4 * GB_SEC)
/** A new owner loads the stored state within this, unless its link is slow. */
#define WATCH_LOAD_TIME_USUAL (400 * GB_MSEC)
/** Serial of the owner's row when it has not been renewed since the claim. */
#define WATCH_SERIAL_CLAIM 1
/** Number of reads in a row without a renewal after which a node that reaches
 * no other member considers the owner stopped.  A single renewal may be late.
 */
#define WATCH_ISOLATED_READS 3
/** Time between two calls of watch_next above which this process was paused and
 * could not receive the owner's answers. */
#define WATCH_PAUSE (150 * GB_MSEC)
/** Refused hellos in a row after which the owner counts as terminated.  If its
 * process has restarted and listens again, it has lost its state. */
#define WATCH_REFUSALS_MIN 2
/** An owner that refuses connections this soon after its takeover may be cut
 * off like the one before it.  Such a takeover counts as one from a working
 * owner: otherwise each member could depose an owner at once. */
#define WATCH_OWNERSHIP_SHORT (5 * GB_SEC)
/** An owner that the store has not answered for this long has lost it and can't
 * accept work or record ends.  It writes at least every 0.5 s. */
#define WATCH_STORE_SILENCE (1300 * GB_MSEC)
/** Delays of the link that are added to that while the owner's link is full. */
#define WATCH_LINK_FULL_DELAYS 4
/** A store that answers this node slower than this is slow for the owner too,
 * and a takeover does not help. */
#define WATCH_STORE_READ_SLOW (150 * GB_MSEC)
/** Longest read that is as quick as usual.  When reads take longer, a partition
 * of the tables carries out fewer writes than callers request. */
#define WATCH_STORE_READ_USUAL (40 * GB_MSEC)
/** Age up to which the duration of the last read is valid. */
#define WATCH_STORE_READ_MAX_AGE (400 * GB_MSEC)
/** Pause between reads of the owner's row. */
#define WATCH_READ_INTERVAL (150 * GB_MSEC)
/** Largest random delay of a read, so that nodes do not all read at the same
 * time. */
#define WATCH_READ_DELAY_MAX (60 * GB_MSEC)
/** Time for which the store must answer this node before it takes over from an
 * owner that has lost the store.  The owner retries at least every 0.15 s, so a
 * store that has just recovered is not mistaken for one that rejects the owner
 * alone. */
#define WATCH_STORE_OK_TIME (250 * GB_MSEC)
/** Number of successors, the first ones, that check the store when the owner
 * reports that the store does not take its writes. */
#define WATCH_STORE_CHECKERS 3
/** Longest delay of the claim of a node with a small processor: a larger node's
 * claim takes less. */
#define WATCH_SMALL_NODE_DELAY (400 * GB_MSEC)
/** Milli-cores of a processor core. */
#define CORE_MILLI 1000
/** A read of the owner's row that takes longer than this is not waited for:
 * members are asked as well. */
#define WATCH_READ_LATE (150 * GB_MSEC)
/** Interval at which members are asked who owns the pool. */
#define WATCH_INQUIRY_INTERVAL (200 * GB_MSEC)
/** Time that polled members have to answer. */
#define WATCH_POLL_TIMEOUT (350 * GB_MSEC)

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

/** Drop all suspicion: the owner answered or is a new one. */
static void
watch_clear_suspicion(struct watch *w, gb_time now)
{
	w->last_heard = now;
	w->paused = 0;
	w->last_checked = now;
	w->missed = 0;
	w->refused = 0;
	w->poll_size = 0;
	renewal_reset(&w->renewal);
}

gb_time
watch_owner_silence(const struct watch *w, gb_time now)
{
	return now - w->last_heard - w->paused;
}

bool
watch_owner_loads_slowly(const struct watch *w, gb_time now)
{
	return w->acquiring_since != 0 &&
	       now - w->acquiring_since > WATCH_LOAD_TIME_USUAL;
}

void
watch_owner_confirmed(struct watch *w, gb_time now)
{
	w->owner_confirmed_at = now;
	w->acquiring_since = 0;
}

gb_time
watch_time_without_owner(const struct watch *w, gb_time now)
{
	return now - w->owner_confirmed_at;
}

/** Whether the owner has left a hello without answer. */
static bool
watch_hello_overdue(const struct watch *w, gb_time now)
{
	return w->missed > 0 ||
	       (w->hello_in_flight &&
		   now - w->hello_sent >
		       WATCH_HELLO_OVERDUE + 2 * w->hello_round_trip);
}

/** Notice a pause of this process since the last call. */
static void
watch_detect_pause(struct watch *w, gb_time now)
{
	if (w->last_checked != 0 && now - w->last_checked > WATCH_PAUSE)
		w->paused += now - w->last_checked - WATCH_PAUSE;
	w->last_checked = now;
}

/** Number of times that the suspicion timeout is doubled. */
static unsigned int
watch_timeout_doublings(const struct watch *w)
{
	if (w->contested <= WATCH_CONTENTION_FREE)
		return 0;
	if (w->contested - WATCH_CONTENTION_FREE > WATCH_DOUBLINGS_MAX)
		return WATCH_DOUBLINGS_MAX;
	return w->contested - WATCH_CONTENTION_FREE;
}

/** Silence after which the owner is suspected.  Hellos and their answers may
 * wait on its link and on this node's. */
static gb_time
watch_suspicion_min(const struct watch *w)
{
	return WATCH_SUSPICION_TIMEOUT + 2 * w->link_delay;
}

/** Silence after which this owner may be deposed (suspicion timeout). */
static gb_time
watch_suspicion_timeout(const struct watch *w)
{
	unsigned int doublings = watch_timeout_doublings(w);

	if (w->contested > 0 && w->renewal.read_at != 0 &&
	    w->renewal.serial == WATCH_SERIAL_CLAIM)
		return WATCH_ACQUIRING_TIMEOUT;
	if (w->owner_link_full && doublings < WATCH_DOUBLINGS_MAX)
		doublings++;
	if (w->renewal.state == RENEWAL_CONTINUES)
		doublings *= 2;
	return watch_suspicion_min(w) << doublings;
}

static gb_time
watch_random_delay(struct watch *w)
{
	return (gb_time)(gb_random_next(&w->seed) % WATCH_READ_DELAY_MAX);
}

/** Delay of this node's claim because its processor is small: the owner's work
 * needs processor time, so larger nodes claim first.  A node counts as small
 * when it has less than 80 % of the largest member's processor.  While that is
 * unknown, it is compared with one core, and the delay grows with the
 * difference. */
static gb_time
watch_size_delay(const struct watch *w)
{
	if (w->largest_milli == 0)
		return w->own_milli >= CORE_MILLI
			   ? 0
			   : WATCH_SMALL_NODE_DELAY *
				 (CORE_MILLI - (gb_time)w->own_milli) /
				 CORE_MILLI;
	return (uint64_t)w->own_milli * 5 < (uint64_t)w->largest_milli * 4
		   ? WATCH_SMALL_NODE_DELAY
		   : 0;
}

static void
watch_set_vacant(struct watch *w, gb_time now, enum watch_cause cause)
{
	if (w->vacant)
		return;
	w->vacant = true;
	w->cause = cause;
	w->takeover_at =
	    now + watch_size_delay(w) +
	    succession_delay(&w->place, w->store_read_time, &w->seed);
}

/** Whether the votes of the polled members allow a takeover. */
static bool
watch_votes_allow_takeover(struct watch *w, gb_time now)
{
	bool renews = w->renewal.state == RENEWAL_CONTINUES;

	if (w->votes_reachable > 0) {
		/* The owner is reachable for others.  last_heard stays as it
		 * is, since this node's votes in their polls depend on it. */
		w->poll_size = 0;
		w->suspect_after = now + watch_suspicion_min(w) / 2;
		return false;
	}
	if (renews)
		return w->votes_unreachable * 2 > w->poll_size;
	return w->votes_unreachable > 0 ||
	       (watch_owner_silence(w, now) > WATCH_ISOLATED_TIMEOUT &&
		   w->renewal.stopped >= WATCH_ISOLATED_READS);
}

/** Whether refused connections show that the owner's process has terminated.  A
 * cut network path may refuse connections as well, so an owner that renews its
 * row has not, and after takeovers from working owners the row must be seen to
 * have stopped. */
static bool
watch_owner_terminated(const struct watch *w)
{
	if (w->refused < WATCH_REFUSALS_MIN ||
	    w->renewal.state == RENEWAL_CONTINUES)
		return false;
	return w->contested == 0 || w->renewal.state == RENEWAL_STOPPED;
}

/** Whether enough is known of the row.  While the store is slow and there were
 * no recent takeovers from working owners, the members' votes suffice: two
 * reads would take longer than the takeover. */
static bool
watch_row_known(const struct watch *w)
{
	return w->renewal.state != RENEWAL_UNKNOWN ||
	       (w->store_read_time >= WATCH_STORE_READ_USUAL &&
		   w->contested == 0 && w->place.members >= 2);
}

/** Next action while the owner is silent or refuses connections. */
static enum watch_action
watch_suspicion_next(struct watch *w, gb_time now)
{
	if (w->renewal.read_at == 0)
		return w->next_read <= now ? WATCH_READ_ROW : WATCH_NOTHING;
	if (watch_owner_terminated(w)) {
		watch_set_vacant(w, now, WATCH_CAUSE_REFUSED);
		return WATCH_NOTHING;
	}
	if (!watch_row_known(w) ||
	    watch_owner_silence(w, now) <= watch_suspicion_timeout(w))
		return WATCH_NOTHING;
	if (w->place.members < 2) {
		if (w->renewal.state == RENEWAL_STOPPED)
			watch_set_vacant(w, now, WATCH_CAUSE_NO_MEMBERS);
		return WATCH_NOTHING;
	}
	if (w->poll_size == 0)
		return WATCH_POLL;
	if (w->votes < w->poll_size &&
	    now - w->polled_at < WATCH_POLL_TIMEOUT + w->link_delay)
		return WATCH_NOTHING;
	if (watch_votes_allow_takeover(w, now)) {
		watch_set_vacant(w, now,
		    w->votes_unreachable > 0 ? WATCH_CAUSE_SILENT
					     : WATCH_CAUSE_NO_ANSWER);
		return WATCH_NOTHING;
	}
	if (now - w->polled_at > watch_suspicion_min(w))
		w->poll_size = 0;
	return WATCH_NOTHING;
}

/** Whether to read a silent owner's row, to see whether it is renewed. */
static bool
watch_read_due(const struct watch *w, gb_time now)
{
	return w->next_read <= now && watch_hello_overdue(w, now) &&
	       renewal_read_due(&w->renewal, now, w->store_read_time);
}

/** Next action other than a hello, while no read is in flight. */
static enum watch_action
watch_next_takeover_step(struct watch *w, gb_time now)
{
	if (w->vacant && w->takeover_at <= now)
		return WATCH_TAKE_OVER;
	if (w->vacant || w->owner[0] == '\0')
		return w->next_read <= now ? WATCH_READ_ROW : WATCH_NOTHING;
	if ((w->owner_lacks_store && w->next_read <= now) ||
	    watch_read_due(w, now))
		return WATCH_READ_ROW;
	if (w->suspect_after <= now &&
	    (watch_owner_silence(w, now) > watch_suspicion_min(w) ||
		w->refused >= WATCH_REFUSALS_MIN))
		return watch_suspicion_next(w, now);
	return WATCH_NOTHING;
}

enum watch_action
watch_next(struct watch *w, gb_time now)
{
	enum watch_action action = WATCH_NOTHING;

	watch_detect_pause(w, now);
	if (!w->read_in_flight)
		action = watch_next_takeover_step(w, now);
	if (action != WATCH_NOTHING || w->vacant || w->owner[0] == '\0' ||
	    w->hello_in_flight || w->next_hello > now)
		return action;
	w->hello_sent = now;
	return WATCH_HELLO;
}

bool
watch_read_compared(const struct watch *w, gb_time now)
{
	return w->owner[0] != '\0' && !w->vacant && watch_hello_overdue(w, now);
}

void
watch_read_sent(struct watch *w, gb_time now)
{
	w->read_compared = watch_read_compared(w, now);
	w->read_in_flight = true;
	w->read_sent = now;
}

/** Whether an owner that has lost the store may be deposed for it.  After
 * takeovers from working owners a new owner gets some time first. */
static bool
watch_store_loss_counts(const struct watch *w, gb_time now)
{
	unsigned int doublings = watch_timeout_doublings(w);

	return doublings == 0 || now - w->owner_since >= watch_suspicion_min(w)
							     << doublings;
}

/** The store has answered this node while the owner may have lost it. */
static void
watch_store_answered(struct watch *w, gb_time now)
{
	if (!w->owner_lacks_store)
		return;
	if (w->store_read_time >= WATCH_STORE_READ_SLOW) {
		w->owner_lacks_store = false;
		w->store_ok_since = 0;
	} else if (w->store_ok_since != 0 &&
		   now - w->store_ok_since >= WATCH_STORE_OK_TIME &&
		   watch_store_loss_counts(w, now)) {
		w->owner_lacks_store = false;
		watch_set_vacant(w, now, WATCH_CAUSE_STORE);
	} else if (w->store_ok_since == 0) {
		w->store_ok_since = now;
		w->next_read = now + WATCH_STORE_OK_TIME;
	}
}

void
watch_row(struct watch *w, gb_time now, const struct watch_row *row)
{
	const char *addr = row->addr == NULL ? "" : row->addr;

	if (w->read_in_flight) {
		w->store_read_time = now - w->read_sent;
		w->store_read_at = now;
	}
	w->read_in_flight = false;
	w->read_failed = false;
	w->next_read = now + WATCH_READ_INTERVAL + w->store_read_time;
	if (addr[0] == '\0' || strcmp(addr, w->self) == 0) {
		w->epoch = row->epoch;
		watch_set_vacant(w, now,
		    addr[0] == '\0' ? WATCH_CAUSE_NO_ROW : WATCH_CAUSE_OWN_ROW);
		/* This node owned the pool before its restart, and the other
		 * nodes still take it for the owner: it claims first. */
		if (addr[0] != '\0')
			w->takeover_at = now;
		return;
	}
	if (row->epoch != w->epoch || strcmp(addr, w->owner) != 0) {
		watch_pool_handed_over(w, now, addr, row->epoch);
		w->contested = row->contested;
		return;
	}
	w->contested = row->contested;
	if (w->read_compared)
		renewal_add_read(
		    &w->renewal, w->read_sent, w->store_read_time, row->serial);
	watch_store_answered(w, now);
}

bool
watch_row_outdated(struct watch *w, unsigned int partition, uint64_t known)
{
	unsigned int rows = 0;
	unsigned int i;

	if (w->outdated_epoch != known)
		w->outdated_rows = 0;
	w->outdated_epoch = known;
	w->outdated_rows |= UINT32_C(1) << partition;
	for (i = 0; i < GB_POOL_PARTITIONS; i++)
		rows += w->outdated_rows >> i & 1;
	return rows > GB_POOL_PARTITIONS / 2;
}

enum takeover_cause
watch_takeover_cause(const struct watch *w, gb_time now)
{
	bool refused = w->cause == WATCH_CAUSE_REFUSED;

	if (w->renewal.state == RENEWAL_CONTINUES ||
	    (refused && now - w->owner_since < WATCH_OWNERSHIP_SHORT))
		return TAKEOVER_WORKING_OWNER;
	return TAKEOVER_SILENT_OWNER;
}

void
watch_read_failed(struct watch *w, gb_time now)
{
	w->read_in_flight = false;
	w->read_failed = true;
	w->owner_lacks_store = false;
	w->store_ok_since = 0;
	/* The next read goes to another partition. */
	renewal_reset(&w->renewal);
	w->next_read = now + WATCH_READ_INTERVAL + watch_random_delay(w);
}

/** Silence of the store after which the owner has lost it.  On a full link its
 * writes and their answers wait for each other. */
static gb_time
watch_store_silence(const struct watch *w)
{
	return w->owner_link_full ? WATCH_STORE_SILENCE +
					WATCH_LINK_FULL_DELAYS * w->link_delay
				  : WATCH_STORE_SILENCE;
}

void
watch_hello_answered(
    struct watch *w, gb_time now, const struct watch_owner_status *status)
{
	if (w->hello_in_flight)
		w->hello_round_trip = now - w->hello_sent;
	w->hello_in_flight = false;
	w->next_hello = now + (status->place.rank < WATCH_STORE_CHECKERS
				      ? WATCH_SUCCESSOR_HELLO_INTERVAL
				      : WATCH_HELLO_INTERVAL);
	watch_clear_suspicion(w, now);
	watch_owner_confirmed(w, now);
	if (status->epoch > w->epoch) {
		w->epoch = status->epoch;
		w->owner_since = now;
	}
	w->largest_milli = status->largest_milli;
	w->place = status->place;
	w->owner_link_full = status->link_full;
	w->owner_lacks_store =
	    !status->vacating &&
	    (status->store_silent > watch_store_silence(w) ||
		(status->store_unavailable &&
		    status->place.rank < WATCH_STORE_CHECKERS));
	if (!w->owner_lacks_store)
		w->store_ok_since = 0;
	if (status->vacating)
		watch_set_vacant(w, now, WATCH_CAUSE_VACATING);
	else if (!w->owner_lacks_store)
		w->vacant = false;
}

void
watch_pool_handed_over(
    struct watch *w, gb_time now, const char *addr, uint64_t epoch)
{
	snprintf(w->owner, sizeof(w->owner), "%s", addr);
	w->epoch = epoch;
	w->vacant = false;
	w->owner_lacks_store = false;
	w->owner_link_full = false;
	w->acquiring_since = 0;
	watch_clear_suspicion(w, now);
	w->hello_in_flight = false;
	w->owner_since = now;
	w->next_hello = now;
}

void
watch_set_members(struct watch *w, unsigned int members)
{
	w->place.rank = SUCCESSION_UNRANKED;
	w->place.ranked = 0;
	w->place.members = members;
}

void
watch_hello_now(struct watch *w, gb_time now)
{
	if (!w->hello_in_flight && w->next_hello > now)
		w->next_hello = now;
}

void
watch_owner_denied(
    struct watch *w, gb_time now, const char *owner, uint64_t epoch)
{
	w->hello_in_flight = false;
	w->next_hello = now + WATCH_HELLO_INTERVAL / 2;
	if (epoch > w->epoch && owner[0] != '\0' &&
	    strcmp(owner, w->self) != 0) {
		watch_pool_handed_over(w, now, owner, epoch);
		return;
	}
	/* The row names it, but it has restarted since.  It will find that in
	 * the row itself; if it does not, its denials count as silence. */
	w->missed++;
}

void
watch_owner_named(
    struct watch *w, gb_time now, const char *owner, uint64_t epoch)
{
	bool unknown = w->owner[0] == '\0' && !w->vacant && epoch == w->epoch;

	if (owner[0] == '\0' || strcmp(owner, w->self) == 0)
		return;
	if (epoch > w->epoch || unknown)
		watch_pool_handed_over(w, now, owner, epoch);
}

bool
watch_inquiry_due(struct watch *w, gb_time now)
{
	bool unanswered =
	    w->read_failed ||
	    (w->read_in_flight && now - w->read_sent > WATCH_READ_LATE);

	if (!unanswered || (w->owner[0] != '\0' && w->missed == 0) ||
	    w->next_inquiry > now)
		return false;
	w->next_inquiry = now + WATCH_INQUIRY_INTERVAL;
	return true;
}

bool
watch_epoch_heard(struct watch *w, gb_time now, uint64_t epoch)
{
	if (epoch <= w->epoch || w->next_inquiry > now)
		return false;
	w->next_inquiry = now + WATCH_INQUIRY_INTERVAL;
	return true;
}

void
watch_owner_acquiring(struct watch *w, gb_time now)
{
	w->hello_in_flight = false;
	w->next_hello = now + WATCH_HELLO_INTERVAL / 4;
	if (w->acquiring_since == 0)
		w->acquiring_since = now;
	/* Its link is slow, and it has just begun to ask all workers. */
	w->owner_link_full =
	    w->link_delay > 0 && watch_owner_loads_slowly(w, now);
	watch_clear_suspicion(w, now);
}

void
watch_hello_failed(struct watch *w, gb_time now, bool refused)
{
	w->hello_in_flight = false;
	/* The first failure is followed by another hello at once, over a new
	 * connection if the old one has become silent. */
	w->next_hello = now;
	if (w->missed++ > 0 || refused)
		w->next_hello += WATCH_HELLO_INTERVAL;
	if (refused)
		w->refused++;
}

void
watch_poll_begun(struct watch *w, gb_time now, unsigned int members)
{
	w->poll_size = members;
	w->asked = members;
	w->polled_at = now;
	w->votes = 0;
	w->votes_unreachable = 0;
	w->votes_reachable = 0;
	/* 0 would mean that there is no poll: wait for a vote that doesn't
	 * come.
	 */
	if (members == 0)
		w->poll_size = 1;
}

void
watch_add_vote(struct watch *w, enum watch_vote vote)
{
	w->votes++;
	if (vote == WATCH_VOTE_REACHABLE)
		w->votes_reachable++;
	if (vote == WATCH_VOTE_UNREACHABLE)
		w->votes_unreachable++;
}

bool
watch_store_is_fast(struct watch *w, gb_time now)
{
	if (w->store_read_at != 0 &&
	    now - w->store_read_at < WATCH_STORE_READ_MAX_AGE)
		return w->store_read_time < WATCH_STORE_READ_USUAL;
	if (w->next_read > now)
		w->next_read = now;
	return false;
}

void
watch_pool_lost(struct watch *w, gb_time now, gb_time pause)
{
	w->vacant = false;
	w->owner_lacks_store = false;
	w->owner[0] = '\0';
	watch_clear_suspicion(w, now);
	w->hello_in_flight = false;
	w->next_read = now + watch_random_delay(w) + pause;
}
