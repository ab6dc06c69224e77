/**
 * @file watch.h
 * Watches the owner of the pool and decides when to take over.  No I/O.
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
	WATCH_READ,	/**< the owner's row */
	WATCH_HELLO,	/**< to the owner */
	WATCH_POLL,	/**< other members: do they hear the owner? */
	WATCH_TAKE_OVER /**< the pool */
};

/** Answer of a member that was asked about the owner. */
enum watch_vote {
	WATCH_VOTE_REACHABLE,
	WATCH_VOTE_UNREACHABLE,
	WATCH_VOTE_NONE
};

/** Why the pool counts as vacant. */
enum watch_cause {
	WATCH_CAUSE_NONE,
	WATCH_CAUSE_REFUSED,	/**< nobody listens at the owner's address */
	WATCH_CAUSE_SILENT,	/**< other members do not hear it either */
	WATCH_CAUSE_NO_ANSWER,	/**< no member that was asked has answered */
	WATCH_CAUSE_NO_MEMBERS, /**< it is silent, no other member is known */
	WATCH_CAUSE_VACATING,	/**< it said that it stops */
	WATCH_CAUSE_STORE,	/**< it misses the store, this node has it */
	WATCH_CAUSE_OWN_ROW,	/**< the row names this node */
	WATCH_CAUSE_NO_ROW,	/**< the row names nobody */
	WATCH_CAUSES
};

const char *watch_cause_name(enum watch_cause);

struct watch {
	char self[GB_NAME_MAX + 1];  /**< address of this node */
	char owner[GB_NAME_MAX + 1]; /**< address, empty: not known */
	uint64_t epoch;
	gb_time owner_since;	/**< this node knows of this owner */
	bool vacant;		/**< nobody owns the pool */
	enum watch_cause cause; /**< why it was found vacant last */
	bool read_in_flight;
	bool read_compared; /**< its part is one that the owner renews */
	bool hello_in_flight;
	gb_time next_read;
	gb_time read_sent;
	bool store_doubted; /**< the owner misses the store: does this node? */
	gb_time
	    store_ok_since; /**< this node has the store, the owner not, 0 */
	gb_time next_hello;
	gb_time hello_at;	    /**< when the last one was to be sent */
	gb_time hello_took;	    /**< until the last that was answered was */
	gb_time last_heard;	    /**< the owner's last answer */
	gb_time owner_confirmed_at; /**< the last that it gave as the owner */
	gb_time
	    acquiring_since;  /**< it reads what is stored since, 0: it owns */
	gb_time paused;	      /**< this process stood still since, in all */
	gb_time last_checked; /**< last call of watch_next, 0: none */
	unsigned int missed;  /**< hellos in a row without answer */
	unsigned int refused; /**< hellos in a row that reached nobody */
	uint32_t contested;   /**< as the owner's row says */
	struct renewal renewal; /**< of the row, while the owner is silent */
	gb_time take_at;	/**< not before */
	unsigned int polled;	/**< members asked */
	unsigned int asked;	/**< the same, kept after the poll's end */
	unsigned int votes;	/**< answers and failures of these */
	unsigned int votes_unreachable; /**< do not hear the owner either */
	unsigned int votes_reachable;
	gb_time polled_at;
	gb_time cleared_until;	 /**< others hear the owner: no suspicion */
	struct succession place; /**< as the owner told it last */
	gb_time store_took;	 /**< by the last read that was answered */
	gb_time store_read_at;	 /**< when that answer came, 0: never */
	uint32_t own_milli;	 /**< processor of this node, in thousandths */
	uint32_t largest_milli;	 /**< of the largest live member, 0: unknown */
	uint64_t seed;
};

void watch_init(struct watch *, const char *self, uint32_t own_milli,
    gb_time now, uint64_t seed);
enum watch_action watch_next(struct watch *, gb_time now);
/** A read of the owner's row was sent. */
void watch_reading(struct watch *, gb_time now);
/** The owner's row, as a part of the tables has it. */
struct watch_row {
	const char *addr; /**< null or empty: nobody owns the pool */
	uint64_t epoch;
	uint64_t serial;    /**< grows with each write of the row */
	uint32_t contested; /**< takeovers from owners at work, lately */
};

void watch_row(struct watch *, gb_time now, const struct watch_row *);
/** Why the pool is taken, if it is now. */
enum takeover_cause watch_takeover_cause(const struct watch *, gb_time now);
/** Whether the next read is compared with others of the same part, of those
 * that an owner renews whatever else it writes. */
bool watch_compares(const struct watch *, gb_time now);
void watch_row_failed(struct watch *, gb_time now);
/** What an owner says of itself when it answers a hello. */
struct watch_owner_status {
	uint64_t epoch;		/**< of its ownership */
	bool vacating;		/**< it stops: whoever is next may claim */
	bool store_unavailable; /**< the store does not take its writes */
	gb_time store_silent;	/**< since the store last answered it */
	uint32_t largest_milli; /**< processor of the largest member */
	struct succession place;
};

/** The owner answered a hello. */
void watch_hello_answered(
    struct watch *, gb_time now, const struct watch_owner_status *);
/** The owner has handed the pool to a member. */
void watch_handed(
    struct watch *, gb_time now, const char *addr, uint64_t epoch);
/** Members that this node learned of while it owned the pool itself. */
void watch_members(struct watch *, unsigned int members);
/** Ask the owner anew, at once: it did not know its part. */
void watch_recheck(struct watch *, gb_time now);
/** The node that was said to own the pool does not, and knows this much. */
void watch_denied(
    struct watch *, gb_time now, const char *owner, uint64_t epoch);
/** The node that the row names is taking the pool over: wait for it. */
void watch_owner_acquiring(struct watch *, gb_time now);
/** A hello got no answer; refused when nobody was reached at all. */
void watch_hello_failed(struct watch *, gb_time now, bool refused);
void watch_poll_begun(struct watch *, gb_time now, unsigned int members);
void watch_polled(struct watch *, enum watch_vote);
/** Whether the owner is still reading what is stored, for longer than that
 * takes where the link is no matter: it can't take anything in yet. */
bool watch_owner_reads(const struct watch *, gb_time now);
/** This node owns the pool. */
void watch_owns_pool(struct watch *, gb_time now);
/** How long nobody has answered as the owner. */
gb_time watch_time_without_owner(const struct watch *, gb_time now);
/** How long the owner was not heard while this process could have heard it. */
gb_time watch_silence(const struct watch *, gb_time now);
/** Whether the store has answered a moment ago, and as quickly as usual.  If it
 * is not known, the owner's row is read at once. */
bool watch_store_quick(struct watch *, gb_time now);
/** Another node took the pool, or this one failed to. */
void watch_lost(struct watch *, gb_time now, gb_time pause);

#endif
