/**
 * @file watch.h
 * Monitors the owner of the pool and decides when to take the pool over.
 * Does no I/O: the caller sends the messages and reports the answers.  Times
 * are in microseconds.
 */
#ifndef GB_WATCH_H
#define GB_WATCH_H

#include "gooseberry.h"
#include "pool/contention.h"
#include "renewal.h"
#include "succession.h"

/** What to do next. */
enum watch_action {
	WATCH_NOTHING,
	WATCH_READ_ROW, /**< read the owner's row from the store */
	WATCH_HELLO,	/**< send a hello to the owner */
	WATCH_POLL,	/**< ask other members whether they reach the owner */
	WATCH_TAKE_OVER /**< claim the pool */
};

/** Vote of a member that was polled about the owner. */
enum watch_vote {
	WATCH_VOTE_REACHABLE,
	WATCH_VOTE_UNREACHABLE,
	WATCH_VOTE_NONE /**< no answer */
};

/** Why the pool counts as vacant. */
enum watch_cause {
	WATCH_CAUSE_NONE,
	WATCH_CAUSE_REFUSED,	/**< the owner's address refuses connections */
	WATCH_CAUSE_SILENT,	/**< other members do not reach it either */
	WATCH_CAUSE_NO_ANSWER,	/**< no polled member has answered */
	WATCH_CAUSE_NO_MEMBERS, /**< it is silent, no other member is known */
	WATCH_CAUSE_VACATING,	/**< it has announced that it stops */
	WATCH_CAUSE_STORE,	/**< it has lost the store, this node has not */
	WATCH_CAUSE_OWN_ROW,	/**< the owner's row names this node */
	WATCH_CAUSE_NO_ROW,	/**< the owner's row names no owner */
	WATCH_CAUSES		/**< number of causes */
};

/** Name of a cause in log events and metrics. */
const char *watch_cause_name(enum watch_cause);

struct watch {
	char self[GB_NAME_MAX + 1];  /**< address of this node */
	char owner[GB_NAME_MAX + 1]; /**< address, empty: unknown */
	uint64_t epoch;		     /**< of the owner */
	gb_time owner_since;	/**< when this node learned of this owner */
	bool vacant;		/**< no node owns the pool */
	enum watch_cause cause; /**< why it was found vacant last */
	bool read_in_flight;	/**< a read of the owner's row */
	bool read_compared; /**< the read in flight goes to renewal_add_read */
	bool hello_in_flight;
	bool read_failed;  /**< the last read failed */
	gb_time next_read; /**< earliest time of the next read */
	gb_time read_sent; /**< when the last read was sent */
	/** Time for which messages may wait on a link like this node's. */
	gb_time link_delay;
	/** The owner reports that its link is full. */
	bool owner_link_full;
	/** The owner reports that it has lost the store. */
	bool owner_lacks_store;
	/** Since then the store has answered this node while the owner lacks
	 * it; 0: it has not. */
	gb_time store_ok_since;
	gb_time next_inquiry;	  /**< see watch_inquiry_due */
	gb_time next_hello;	  /**< earliest time of the next hello */
	gb_time hello_sent;	  /**< when the last hello was sent */
	gb_time hello_round_trip; /**< round trip of the last answered hello */
	gb_time last_heard;	  /**< last answer of the owner */
	/** When this node last owned the pool or got an answer of an owner, or
	 * when it started. */
	gb_time owner_confirmed_at;
	/** The new owner has been loading the stored state since then, 0: it is
	 * not loading. */
	gb_time acquiring_since;
	gb_time paused; /**< pauses of this process since last_heard, total */
	gb_time last_checked;	/**< last call of watch_next, 0: none */
	unsigned int missed;	/**< hellos in a row without answer */
	unsigned int refused;	/**< connections in a row that were refused */
	uint32_t contested;	/**< from the owner's row, see watch_row */
	struct renewal renewal; /**< of the row, while the owner is silent */
	gb_time takeover_at;	/**< earliest time of a takeover */
	unsigned int poll_size; /**< members in the current poll, 0: none */
	unsigned int asked;	/**< members in the last poll */
	unsigned int votes;	/**< members that answered it or failed to */
	unsigned int votes_unreachable; /**< do not reach the owner either */
	unsigned int votes_reachable;
	gb_time polled_at; /**< when the last poll was sent */
	/** Earliest time to suspect the owner again, after a polled member has
	 * reached it. */
	gb_time suspect_after;
	struct succession place; /**< of this node, as the owner sent it last */
	/** Newest epoch heard of whose owner the reads did not find, and a bit
	 * for each partition whose row names an earlier owner. */
	uint64_t outdated_epoch;
	uint32_t outdated_rows;
	gb_time store_read_time; /**< duration of the last answered read */
	gb_time store_read_at;	 /**< when that answer came, 0: none yet */
	uint32_t own_milli;	 /**< processor of this node in milli-cores */
	uint32_t largest_milli;	 /**< of the largest live member, 0: unknown */
	uint64_t seed;		 /**< of the random delays */
};

/** Initialise for the node with the address `self` and a processor of
 * `own_milli` milli-cores. */
void watch_init(struct watch *, const char *self, uint32_t own_milli,
    gb_time now, uint64_t seed);
/** Return what the caller has to do now. */
enum watch_action watch_next(struct watch *, gb_time now);
/** A read of the owner's row was sent.  Its end is reported with watch_row or
 * watch_read_failed. */
void watch_read_sent(struct watch *, gb_time now);
/** The owner's row, as a partition of the tables has it. */
struct watch_row {
	const char *addr; /**< null or empty: no owner */
	uint64_t epoch;
	uint64_t serial;    /**< grows with each write of the row */
	uint32_t contested; /**< recent takeovers from working owners */
};

/** The read of the owner's row was answered. */
void watch_row(struct watch *, gb_time now, const struct watch_row *);
/** A read has found a row of an earlier epoch than `known`, the newest one that
 * this node has heard of.  Returns whether the row counts all the same, because
 * no node owns the pool with that epoch: most partitions name an earlier owner.
 */
bool watch_row_outdated(struct watch *, unsigned int partition, uint64_t known);
/** Cause to record if the pool is taken over now. */
enum takeover_cause watch_takeover_cause(const struct watch *, gb_time now);
/** Whether the next read is to be compared with earlier ones.  Then all reads
 * must go to one partition, of those whose row the owner renews regularly even
 * when it writes nothing else. */
bool watch_read_compared(const struct watch *, gb_time now);
/** The read of the owner's row failed. */
void watch_read_failed(struct watch *, gb_time now);
/** Status of an owner in its answer to a hello. */
struct watch_owner_status {
	uint64_t epoch;		 /**< of its ownership */
	bool vacating;		 /**< it stops: the next in rank may claim */
	bool store_unavailable;	 /**< the store does not take its writes */
	gb_time store_silent;	 /**< since the store last answered it */
	bool link_full;		 /**< its messages wait on its link */
	uint32_t largest_milli;	 /**< milli-cores of the largest member */
	struct succession place; /**< of the node that sent the hello */
};

/** The owner answered a hello. */
void watch_hello_answered(
    struct watch *, gb_time now, const struct watch_owner_status *);
/** The owner has handed the pool over to the member `addr`, or that member was
 * found to be a newer owner. */
void watch_pool_handed_over(
    struct watch *, gb_time now, const char *addr, uint64_t epoch);
/** This node has lost the pool and knows this number of members from that time.
 * Its rank is unknown until the next owner sends it. */
void watch_set_members(struct watch *, unsigned int members);
/** Send a hello at once: the presumed owner has answered that it is not the
 * owner. */
void watch_hello_now(struct watch *, gb_time now);
/** The presumed owner answered that it does not own the pool, and named the
 * owner and epoch that it knows. */
void watch_owner_denied(
    struct watch *, gb_time now, const char *owner, uint64_t epoch);
/** A member named the owner that it knows, and its epoch. */
void watch_owner_named(
    struct watch *, gb_time now, const char *owner, uint64_t epoch);
/** Whether to ask members who owns the pool: this node reaches no owner, and
 * the store does not tell it.  When this is true, the caller asks them at once.
 */
bool watch_inquiry_due(struct watch *, gb_time now);
/** A hello came from a node that knows this epoch.  Returns whether to ask that
 * node who owns the pool. */
bool watch_epoch_heard(struct watch *, gb_time now, uint64_t epoch);
/** The node in the owner's row is still taking the pool over: wait for it. */
void watch_owner_acquiring(struct watch *, gb_time now);
/** A hello got no answer.
 * @param refused the connection was refused
 */
void watch_hello_failed(struct watch *, gb_time now, bool refused);
/** A poll was sent to this number of members, which may be 0. */
void watch_poll_begun(struct watch *, gb_time now, unsigned int members);
/** A polled member has answered, or failed to. */
void watch_add_vote(struct watch *, enum watch_vote);
/** Whether the new owner has been loading the stored state for longer than
 * usual, as it does over a slow link.  It can't accept flows before it has
 * finished. */
bool watch_owner_loads_slowly(const struct watch *, gb_time now);
/** The pool has a working owner: this node, or the one that answered. */
void watch_owner_confirmed(struct watch *, gb_time now);
/** Time since this node last owned the pool or got an answer of an owner, or
 * since it started. */
gb_time watch_time_without_owner(const struct watch *, gb_time now);
/** Time since the owner's last answer, without pauses of this process. */
gb_time watch_owner_silence(const struct watch *, gb_time now);
/** Whether the store has answered recently, and as quickly as usual.  If this
 * is unknown, the owner's row is read at once. */
bool watch_store_is_fast(struct watch *, gb_time now);
/** This node has lost the pool or failed to claim it.  The row is read again
 * after the given pause. */
void watch_pool_lost(struct watch *, gb_time now, gb_time pause);

#endif
