/**
 * @file route.c
 * Routing table of an entry: the owner of each shard and roughly its free
 * capacity.  An outdated table is safe: a scheduler rejects requests for a
 * shard that it does not own.
 */
#include <stdlib.h>
#include <string.h>

#include "gooseberry.h"

/** How long a shard is avoided after it rejected a request or did not answer.
 */
#define AVOID_TIME (500 * GB_MSEC)
#define MEMBERS_MAX 1024

struct route_shard {
	uint64_t epoch;	     /**< of the last known owner */
	bool owned;	     /**< a live member claims it as active */
	bool local;	     /**< in the entry's own data centre */
	uint32_t free_slots; /**< as the owner reported */
	uint32_t in_flight;  /**< requests of this entry */
	gb_time avoid_until;
	char addr[GB_NAME_MAX + 1]; /**< of the last known owner */
};

struct gb_route {
	char dc[GB_NAME_MAX + 1];
	uint32_t shard_count;
	struct route_shard *shards;
	uint32_t member_count;
	char (*members)[GB_NAME_MAX + 1]; /**< addresses, nearest first */
	uint64_t seed;
	gb_time now;
};

struct gb_route *
gb_route_new(const char *dc, const struct gb_dcs *dcs, uint32_t shards_per_dc,
    uint64_t seed)
{
	struct gb_route *route = gb_calloc(1, sizeof(*route));
	uint32_t i;

	snprintf(route->dc, sizeof(route->dc), "%s", dc);
	route->seed = seed;
	route->shard_count = dcs->count * shards_per_dc;
	route->shards =
	    gb_calloc(route->shard_count, sizeof(struct route_shard));
	for (i = 0; i < route->shard_count; i++)
		route->shards[i].local =
		    strcmp(dcs->name[i / shards_per_dc], dc) == 0;
	return route;
}

void
gb_route_free(struct gb_route *route)
{
	free(route->shards);
	free(route->members);
	free(route);
}

/** Apply a member's claim of a shard, unless a newer epoch is known. */
static void
route_claim(struct gb_route *route, const gb_beat *beat, const gb_claim *claim)
{
	struct route_shard *shard;

	if (claim->shard >= route->shard_count)
		return;
	shard = &route->shards[claim->shard];
	if (claim->epoch < shard->epoch)
		return;
	shard->epoch = claim->epoch;
	shard->owned = claim->active;
	shard->free_slots = claim->free_slots;
	snprintf(shard->addr, sizeof(shard->addr), "%s", beat->addr);
}

/** List the members that are not leaving, those of the own data centre
 * first. */
static void
route_members(struct gb_route *route, const gb_view *view)
{
	u_int n = view->members.members_len;
	u_int pass;
	u_int i;

	if (n > MEMBERS_MAX)
		n = MEMBERS_MAX;
	route->members =
	    gb_realloc(route->members, n * sizeof(*route->members));
	route->member_count = 0;
	for (pass = 0; pass < 2; pass++) {
		for (i = 0; i < n; i++) {
			const gb_beat *beat = &view->members.members_val[i];
			bool local = strcmp(beat->dc, route->dc) == 0;

			if (local != (pass == 0) || beat->leaving)
				continue;
			snprintf(route->members[route->member_count++],
			    GB_NAME_MAX + 1, "%s", beat->addr);
		}
	}
}

void
gb_route_apply_view(struct gb_route *route, gb_time now, const gb_view *view)
{
	u_int i;
	u_int n;

	route->now = now;
	route_members(route, view);
	/* A shard that no live member claims has no owner for now. */
	for (n = 0; n < route->shard_count; n++)
		route->shards[n].owned = false;
	for (i = 0; i < view->members.members_len; i++) {
		const gb_beat *beat = &view->members.members_val[i];

		for (n = 0; n < beat->claims.claims_len; n++)
			route_claim(route, beat, &beat->claims.claims_val[n]);
	}
}

uint32_t
gb_route_shard_count(const struct gb_route *route)
{
	return route->shard_count;
}

const char *
gb_route_owner(const struct gb_route *route, uint32_t shard)
{
	if (shard >= route->shard_count || route->shards[shard].addr[0] == '\0')
		return NULL;
	return route->shards[shard].addr;
}

/** Estimated free capacity of a shard in slots: as reported, less this entry's
 * requests in flight. */
static int64_t
shard_free_capacity(const struct route_shard *shard)
{
	return (int64_t)shard->free_slots - shard->in_flight;
}

/** Whether a shard has an owner and is not avoided. */
static bool
shard_usable(const struct gb_route *route, const struct route_shard *shard)
{
	return shard->owned && shard->addr[0] != '\0' &&
	       route->now >= shard->avoid_until;
}

/** Sets of shards that are sampled in this order until one has a shard: local
 * with free capacity, any with free capacity, usable, and owned. */
enum route_pass { PASS_LOCAL_FREE, PASS_FREE, PASS_USABLE, PASS_OWNED, PASSES };

static bool
pass_allows(const struct gb_route *route, const struct route_shard *shard,
    unsigned int pass)
{
	if (!shard->owned)
		return false;
	switch (pass) {
	case PASS_LOCAL_FREE:
		return shard->local && shard_usable(route, shard) &&
		       shard_free_capacity(shard) > 0;
	case PASS_FREE:
		return shard_usable(route, shard) &&
		       shard_free_capacity(shard) > 0;
	case PASS_USABLE:
		return shard_usable(route, shard);
	default:
		return true;
	}
}

/** First shard of a pass from a random position on; GB_NONE: no shard. */
static uint32_t
route_sample(struct gb_route *route, uint32_t avoid, unsigned int pass)
{
	uint32_t at;
	uint32_t i;

	if (route->shard_count == 0)
		return GB_NONE;
	at = (uint32_t)(gb_random_next(&route->seed) % route->shard_count);
	for (i = 0; i < route->shard_count; i++) {
		uint32_t n = (at + i) % route->shard_count;

		if (n != avoid && pass_allows(route, &route->shards[n], pass))
			return n;
	}
	return GB_NONE;
}

uint32_t
gb_route_pick(struct gb_route *route, uint32_t avoid)
{
	unsigned int pass;

	for (pass = 0; pass < PASSES; pass++) {
		uint32_t a = route_sample(route, avoid, pass);
		uint32_t b = route_sample(route, avoid, pass);

		if (a == GB_NONE)
			continue;
		return shard_free_capacity(&route->shards[b]) >
			       shard_free_capacity(&route->shards[a])
			   ? b
			   : a;
	}
	return GB_NONE;
}

bool
gb_route_member_addr(
    const struct gb_route *route, unsigned int n, const char **addr)
{
	if (n >= route->member_count)
		return false;
	*addr = route->members[n];
	return true;
}

void
gb_route_sent(struct gb_route *route, uint32_t shard)
{
	if (shard < route->shard_count)
		route->shards[shard].in_flight++;
}

void
gb_route_ended(struct gb_route *route, uint32_t shard)
{
	if (shard < route->shard_count && route->shards[shard].in_flight > 0)
		route->shards[shard].in_flight--;
}

void
gb_route_failed(struct gb_route *route, gb_time now, uint32_t shard)
{
	route->now = now;
	if (shard < route->shard_count)
		route->shards[shard].avoid_until = now + AVOID_TIME;
}
