/**
 * @file conn_set.h
 * Connections of a server and what they hold, against its limits.  Decides
 * which connection is closed when a limit is reached; the server closes it.
 */
#ifndef GB_CONN_SET_H
#define GB_CONN_SET_H

#include <sys/queue.h>

#include "gooseberry.h"

/** Limits of a server; 0: none. */
struct conn_limits {
	unsigned int connections;
	size_t bytes; /**< of requests and answers that are kept in memory */
};

/** A connection; it belongs to the server. */
struct conn {
	TAILQ_ENTRY(conn) next;
	size_t bytes;  /**< that it holds */
	gb_time since; /**< when it began to wait, or its request was read */
	bool busy;     /**< its request was read and is not answered yet */
	bool closing;  /**< it is being closed */
};

TAILQ_HEAD(conn_list, conn);

/** What was done as a limit was reached. */
struct conn_counts {
	uint64_t closed_for_new;   /**< closed for a newer connection */
	uint64_t closed_for_bytes; /**< closed as too many bytes were held */
	uint64_t refused;	   /**< requests refused at once */
};

struct conn_set {
	struct conn_limits limits;
	/** Connections that wait for a request or the rest of it, those that
	 * have waited longest first. */
	struct conn_list waiting;
	struct conn_list busy;
	struct conn_list closing;
	unsigned int count; /**< of all lists */
	unsigned int closing_count;
	size_t bytes; /**< of those that are not being closed */
	size_t busy_bytes;
	size_t bytes_most; /**< largest sum since conn_set_shrunk was true */
	struct conn_counts counts;
	struct conn_counts reported;
	gb_time reported_at;
};

void conn_set_init(struct conn_set *);
/** Add a connection that waits for its first request. */
void conn_set_add(struct conn_set *, struct conn *, gb_time now);
/** Remove a connection, which may then be freed. */
void conn_set_remove(struct conn_set *, struct conn *);
/** Set how many bytes a connection holds. */
void conn_set_hold(struct conn_set *, struct conn *, size_t bytes);
/** A request of the connection was read. */
void conn_set_begin(struct conn_set *, struct conn *, gb_time now);
/** It was answered: the connection waits for the next one. */
void conn_set_end(struct conn_set *, struct conn *, gb_time now);

/** Whether another connection may be accepted now. */
bool conn_set_has_room(const struct conn_set *);
/** Choose a connection to be closed for a new one, and count it as being
 * closed; null: none may be closed now.  Called until there is room. */
struct conn *conn_set_close_for_new(struct conn_set *, gb_time now);
/** The same while more bytes are held than the limit allows; null: there are no
 * more than that, or only by requests that are not answered yet. */
struct conn *conn_set_close_for_bytes(struct conn_set *);
/** Whether the requests that are not answered yet hold so much that another one
 * must be refused. */
bool conn_set_is_full(const struct conn_set *);
/** Whether so much was held that conn_set_shrunk may become true. */
bool conn_set_may_shrink(const struct conn_set *);
/** Whether much less is held than before, so that memory may be given back to
 * the system. */
bool conn_set_shrunk(struct conn_set *);
/** What was done since the last report; false if nothing was, or the last
 * report is too recent. */
bool conn_set_report(struct conn_set *, gb_time now, struct conn_counts *);

#endif
