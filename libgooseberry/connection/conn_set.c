/**
 * @file conn_set.c
 * Which connection of a server is closed when a limit is reached.
 *
 * Callers that open connections and don't finish their requests: if new
 * connections were rejected, such callers would keep others out for as long as
 * they like.  So the connection that has waited longest for its request is
 * closed, and a caller that sends its request at once gets an answer.  A
 * request that was read is always answered.
 */
#include "conn_set.h"

/** A connection is not closed for a new one before it has waited this long, so
 * that a crowd which opens connections quickly doesn't displace a caller whose
 * request is on its way. */
#define CONN_WAIT_MIN (250 * GB_MSEC)
/** Share of the connections, as a divisor, that may be in the course of being
 * closed for new ones. */
#define CONN_CLOSING_DIVISOR 16
/** Share of the bytes, as a divisor, that requests which are being handled may
 * hold.  The others are for those that are being read. */
#define CONN_BUSY_DIVISOR 2
/** Bytes that a connection may hold without being closed for them: the first
 * buffer of a connection. */
#define CONN_BYTES_MIN 4096
/** Share of the bytes that are allowed, as a divisor: memory is given back when
 * so much less is held. */
#define CONN_SHRUNK_DIVISOR 4
/** Interval of reports. */
#define CONN_REPORT_INTERVAL GB_SEC

void
conn_set_init(struct conn_set *set)
{
	TAILQ_INIT(&set->waiting);
	TAILQ_INIT(&set->busy);
	TAILQ_INIT(&set->closing);
}

void
conn_set_add(struct conn_set *set, struct conn *conn, gb_time now)
{
	conn->bytes = 0;
	conn->since = now;
	conn->busy = false;
	conn->closing = false;
	TAILQ_INSERT_TAIL(&set->waiting, conn, next);
	set->count++;
}

/** Take a connection out of its list. */
static void
conn_unlink(struct conn_set *set, struct conn *conn)
{
	if (conn->closing) {
		TAILQ_REMOVE(&set->closing, conn, next);
		set->closing_count--;
		return;
	}
	set->bytes -= conn->bytes;
	if (conn->busy) {
		TAILQ_REMOVE(&set->busy, conn, next);
		set->busy_bytes -= conn->bytes;
	} else {
		TAILQ_REMOVE(&set->waiting, conn, next);
	}
}

void
conn_set_remove(struct conn_set *set, struct conn *conn)
{
	conn_unlink(set, conn);
	set->count--;
}

void
conn_set_hold(struct conn_set *set, struct conn *conn, size_t bytes)
{
	if (conn->closing)
		return;
	set->bytes += bytes - conn->bytes;
	if (conn->busy)
		set->busy_bytes += bytes - conn->bytes;
	conn->bytes = bytes;
}

void
conn_set_begin(struct conn_set *set, struct conn *conn, gb_time now)
{
	if (conn->busy || conn->closing)
		return;
	TAILQ_REMOVE(&set->waiting, conn, next);
	TAILQ_INSERT_TAIL(&set->busy, conn, next);
	conn->busy = true;
	conn->since = now;
	set->busy_bytes += conn->bytes;
}

void
conn_set_end(struct conn_set *set, struct conn *conn, gb_time now)
{
	if (conn->closing)
		return;
	if (conn->busy) {
		TAILQ_REMOVE(&set->busy, conn, next);
		set->busy_bytes -= conn->bytes;
	} else {
		TAILQ_REMOVE(&set->waiting, conn, next);
	}
	TAILQ_INSERT_TAIL(&set->waiting, conn, next);
	conn->busy = false;
	conn->since = now;
}

/** Count a connection as being closed. */
static struct conn *
conn_close(struct conn_set *set, struct conn *conn)
{
	conn_unlink(set, conn);
	conn->closing = true;
	TAILQ_INSERT_TAIL(&set->closing, conn, next);
	set->closing_count++;
	return conn;
}

bool
conn_set_has_room(const struct conn_set *set)
{
	return set->limits.connections == 0 ||
	       set->count < set->limits.connections;
}

struct conn *
conn_set_close_for_new(struct conn_set *set, gb_time now)
{
	struct conn *conn = TAILQ_FIRST(&set->waiting);

	if (set->closing_count > set->limits.connections / CONN_CLOSING_DIVISOR)
		return NULL;
	if (conn == NULL || now - conn->since < CONN_WAIT_MIN)
		return NULL;
	set->counts.closed_for_new++;
	return conn_close(set, conn);
}

struct conn *
conn_set_close_for_bytes(struct conn_set *set)
{
	struct conn *conn;

	if (set->limits.bytes == 0 || set->bytes <= set->limits.bytes)
		return NULL;
	TAILQ_FOREACH(conn, &set->waiting, next)
	{
		if (conn->bytes <= CONN_BYTES_MIN)
			continue;
		set->counts.closed_for_bytes++;
		return conn_close(set, conn);
	}
	return NULL;
}

bool
conn_set_is_full(const struct conn_set *set)
{
	return set->limits.bytes > 0 &&
	       set->busy_bytes > set->limits.bytes / CONN_BUSY_DIVISOR;
}

bool
conn_set_may_shrink(const struct conn_set *set)
{
	return set->bytes_most > set->limits.bytes / CONN_SHRUNK_DIVISOR;
}

bool
conn_set_shrunk(struct conn_set *set)
{
	if (set->bytes > set->bytes_most)
		set->bytes_most = set->bytes;
	if (set->bytes_most - set->bytes <=
	    set->limits.bytes / CONN_SHRUNK_DIVISOR)
		return false;
	set->bytes_most = set->bytes;
	return true;
}

bool
conn_set_report(struct conn_set *set, gb_time now, struct conn_counts *out)
{
	const struct conn_counts *counts = &set->counts;

	out->closed_for_new =
	    counts->closed_for_new - set->reported.closed_for_new;
	out->closed_for_bytes =
	    counts->closed_for_bytes - set->reported.closed_for_bytes;
	out->refused = counts->refused - set->reported.refused;
	if (out->closed_for_new + out->closed_for_bytes + out->refused == 0)
		return false;
	if (set->reported_at > 0 &&
	    now - set->reported_at < CONN_REPORT_INTERVAL)
		return false;
	set->reported = *counts;
	set->reported_at = now;
	return true;
}
