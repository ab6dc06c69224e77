/**
 * @file link.c
 * What a node sends and receives, by kind of message, and how long what it has
 * sent waits on its link.
 *
 * Load: an instance with a link of 2 Mbit/s owns a pool of 85 workers that
 * makes 91 starts a second.  Starts, looks at workers and store calls come to
 * more than the link carries; answers to holds then come seconds late, leases
 * lapse, and work is done again, which is sent too.  So the bytes that are sent
 * are counted against the bandwidth that the settings name, and whoever has
 * something to send that can wait asks first how long the link is busy.
 */
#include <stdlib.h>

#include "gooseberry.h"

/** Headers of TCP and IP, and the acknowledgement, of a message that fits into
 * one packet. */
#define LINK_MESSAGE_OVERHEAD 80
/** Weight of what is sent in a second against the average before it. */
#define LINK_USE_EVERY (200 * GB_MSEC)
#define LINK_USE_WEIGHT 0.2

struct gb_link {
	uint64_t bytes_per_s; /**< 0: not limited */
	gb_time free_at;      /**< what was sent so far is on its way by then */
	gb_time use_at;	      /**< the use is averaged next */
	uint64_t use_bytes;   /**< sent since it was averaged */
	double use;	      /**< share of the bandwidth that is sent */
	struct gb_traffic traffic[GB_TRAFFIC_KINDS];
};

struct gb_link *
gb_link_new(uint64_t bytes_per_s)
{
	struct gb_link *link = gb_calloc(1, sizeof(*link));

	link->bytes_per_s = bytes_per_s;
	return link;
}

static void
link_average(struct gb_link *link, gb_time now)
{
	double span;
	double share;

	if (link->use_at > now)
		return;
	span = (double)(now - link->use_at + LINK_USE_EVERY) / GB_SEC;
	share = (double)link->use_bytes /
		((double)link->bytes_per_s * (span > 1 ? 1 : span));
	link->use += LINK_USE_WEIGHT * (share - link->use);
	link->use_bytes = 0;
	link->use_at = now + LINK_USE_EVERY;
}

void
gb_link_out(struct gb_link *link, gb_time now, unsigned int kind, size_t bytes)
{
	gb_time from;

	if (link == NULL)
		return;
	link->traffic[kind].sent++;
	link->traffic[kind].out += bytes;
	if (link->bytes_per_s == 0)
		return;
	bytes += LINK_MESSAGE_OVERHEAD;
	from = link->free_at > now ? link->free_at : now;
	link->free_at =
	    from + (gb_time)(bytes * GB_SEC / (gb_time)link->bytes_per_s);
	link->use_bytes += bytes;
	link_average(link, now);
}

void
gb_link_in(struct gb_link *link, unsigned int kind, size_t bytes)
{
	if (link == NULL)
		return;
	link->traffic[kind].in += bytes;
}

uint64_t
gb_link_rate(const struct gb_link *link)
{
	return link == NULL ? 0 : link->bytes_per_s;
}

gb_time
gb_link_queued(const struct gb_link *link, gb_time now)
{
	if (link == NULL || link->free_at <= now)
		return 0;
	return link->free_at - now;
}

double
gb_link_use(const struct gb_link *link)
{
	return link == NULL ? 0 : link->use;
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
