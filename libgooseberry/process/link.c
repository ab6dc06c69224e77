/**
 * @file link.c
 * Counts the bytes that a node sends and receives, by kind of message, and
 * estimates for how long the bytes sent keep its link busy.
 *
 * An owner with a slow link can send more than the link carries.  For example,
 * on a link of 2 Mbit/s the starts, heartbeats and store calls for a pool of 85
 * workers with 91 starts per second do not fit.  Answers to heartbeats then
 * arrive seconds late, leases lapse, and tasks run again, which adds to the
 * load.  So the bytes sent are counted against the bandwidth in the settings,
 * and a sender whose message can wait first asks for how long the link is busy.
 */
#include <stdlib.h>

#include "gooseberry.h"

/** Bytes of the TCP and IP headers and of the acknowledgement of a message that
 * fits into one packet. */
#define LINK_OVERHEAD_BYTES 80
/** Bytes of answers that may arrive before another one.  An owner's calls to
 * workers, members and the store are answered independently of each other. */
#define LINK_ANSWERS_BYTES 32768
/** Interval at which the utilisation of the link is averaged. */
#define LINK_AVERAGE_INTERVAL (200 * GB_MSEC)
/** Weight of the last interval in the moving average of the utilisation. */
#define LINK_AVERAGE_WEIGHT 0.2

/** Utilisation of one direction. */
struct link_use {
	gb_time average_at;	   /**< time of the next update */
	uint64_t unaveraged_bytes; /**< bytes since the last update */
	double utilisation; /**< average fraction of the bandwidth in use */
};

struct gb_link {
	uint64_t bytes_per_s; /**< 0: not limited */
	gb_time free_at;      /**< the bytes sent so far have left by then */
	struct link_use sent;
	struct link_use received;
	struct gb_traffic traffic[GB_TRAFFIC_KINDS];
};

struct gb_link *
gb_link_new(uint64_t bytes_per_s)
{
	struct gb_link *link = gb_calloc(1, sizeof(*link));

	link->bytes_per_s = bytes_per_s;
	return link;
}

/** Count the bytes of a message, and update the utilisation if an interval has
 * passed.  After a pause, the bytes count as those of the last second. */
static void
link_use_add(struct link_use *use, gb_time now, size_t bytes, uint64_t rate)
{
	double span;
	double share;

	use->unaveraged_bytes += bytes + LINK_OVERHEAD_BYTES;
	if (use->average_at > now)
		return;
	span = (double)(now - use->average_at + LINK_AVERAGE_INTERVAL) / GB_SEC;
	share = (double)use->unaveraged_bytes /
		((double)rate * (span > 1 ? 1 : span));
	use->utilisation += LINK_AVERAGE_WEIGHT * (share - use->utilisation);
	use->unaveraged_bytes = 0;
	use->average_at = now + LINK_AVERAGE_INTERVAL;
}

void
gb_link_count_sent(
    struct gb_link *link, gb_time now, unsigned int kind, size_t bytes)
{
	gb_time from;

	if (link == NULL)
		return;
	link->traffic[kind].sent++;
	link->traffic[kind].out += bytes;
	if (link->bytes_per_s == 0)
		return;
	link_use_add(&link->sent, now, bytes, link->bytes_per_s);
	bytes += LINK_OVERHEAD_BYTES;
	from = link->free_at > now ? link->free_at : now;
	link->free_at =
	    from + (gb_time)(bytes * GB_SEC / (gb_time)link->bytes_per_s);
}

void
gb_link_count_received(
    struct gb_link *link, gb_time now, unsigned int kind, size_t bytes)
{
	if (link == NULL)
		return;
	link->traffic[kind].in += bytes;
	if (link->bytes_per_s > 0)
		link_use_add(&link->received, now, bytes, link->bytes_per_s);
}

uint64_t
gb_link_rate(const struct gb_link *link)
{
	return link == NULL ? 0 : link->bytes_per_s;
}

gb_time
gb_link_backlog(const struct gb_link *link, gb_time now)
{
	if (link == NULL || link->free_at <= now)
		return 0;
	return link->free_at - now;
}

gb_time
gb_link_answer_delay(const struct gb_link *link)
{
	if (link == NULL || link->bytes_per_s == 0)
		return 0;
	return LINK_ANSWERS_BYTES * GB_SEC / (gb_time)link->bytes_per_s;
}

double
gb_link_utilisation(const struct gb_link *link)
{
	return link == NULL ? 0 : link->sent.utilisation;
}

double
gb_link_received_utilisation(const struct gb_link *link)
{
	return link == NULL ? 0 : link->received.utilisation;
}

const struct gb_traffic *
gb_link_traffic(const struct gb_link *link, unsigned int kind)
{
	return &link->traffic[kind];
}

const char *
gb_traffic_name(unsigned int kind)
{
	static const char *const names[GB_TRAFFIC_RPC] = {
	    [GB_TRAFFIC_START] = "start",
	    [GB_TRAFFIC_STOP] = "stop",
	    [GB_TRAFFIC_HEARTBEAT] = "hold",
	    [GB_TRAFFIC_ADVICE] = "advice",
	    [GB_TRAFFIC_STORE_WRITE] = "store_write",
	    [GB_TRAFFIC_STORE_READ] = "store_read",
	    [GB_TRAFFIC_FEED] = "feed",
	    [GB_TRAFFIC_CALLER] = "caller",
	    [GB_TRAFFIC_CONNECT] = "connect"};

	if (kind < GB_TRAFFIC_RPC)
		return names[kind];
	return gb_rpc_methods[kind - GB_TRAFFIC_RPC].name;
}
