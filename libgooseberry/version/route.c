/**
 * @file route.c
 * What an entry knows of shards: who owns each, and roughly how much room it
 * has.  A stale entry does no harm: whoever does not own a shard refuses.
 */
#include <stdlib.h>
#include <string.h>

#include "gooseberry.h"

#define AVOID_FOR (500 * GB_MSEC)
#define MEMBERS_MAX 1024

struct route_shard {
	uint64_t epoch;
	bool owned;
	bool local; /**< in the entry's own data centre */
	uint32_t free_slots;
	uint32_t in_flight;
	gb_time avoid_until;
	char addr[GB_NAME_MAX + 1];
};

struct gb_route {
	char dc[GB_NAME_MAX + 1];
	uint32_t shard_count;
	struct route_shard *shards;
	uint32_t member_count;
	char (*members)[GB_NAME_MAX + 1];
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
gb_route_view(struct gb_route *route, gb_time now, const gb_view *view)
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
gb_route_shards(const struct gb_route *route)
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

/** Room that a shard is thought to have, less what was sent since. */
static int64_t
shard_free_capacity(const struct route_shard *shard)
{
	return (int64_t)shard->free_slots - shard->in_flight;
}

static bool
shard_open(const struct gb_route *route, const struct route_shard *shard)
{
	return shard->owned && shard->addr[0] != '\0' &&
	       route->now >= shard->avoid_until;
}

/** Shards that are considered, in this order. */
enum route_pass { PASS_LOCAL_ROOM, PASS_ROOM, PASS_OPEN, PASS_OWNED, PASSES };

static bool
pass_takes(const struct gb_route *route, const struct route_shard *shard,
    unsigned int pass)
{
	if (!shard->owned)
		return false;
	switch (pass) {
	case PASS_LOCAL_ROOM:
		return shard->local && shard_open(route, shard) &&
		       shard_free_capacity(shard) > 0;
	case PASS_ROOM:
		return shard_open(route, shard) &&
		       shard_free_capacity(shard) > 0;
	case PASS_OPEN:
		return shard_open(route, shard);
	default:
		return true;
	}
}

/** Sample one shard of a pass. */
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

		if (n != avoid && pass_takes(route, &route->shards[n], pass))
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
gb_route_member(const struct gb_route *route, unsigned int n, const char **addr)
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
		route->shards[shard].avoid_until = now + AVOID_FOR;
}
