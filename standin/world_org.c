/**
 * @file world_org.c
 * Organisations in the model of the platform: what each has running on all
 * workers, as these see it.
 */
#include <stdlib.h>
#include <string.h>

#include "world_state.h"

static struct world_org *
org_get(struct world *world, const char *name)
{
	struct world_org *org;

	HASH_FIND_STR(world->orgs, name, org);
	if (org != NULL)
		return org;
	org = gb_calloc(1, sizeof(*org));
	snprintf(org->name, sizeof(org->name), "%s", name);
	HASH_ADD_STR(world->orgs, name, org);
	return org;
}

void
world_org_quota(
    struct world *world, const char *org, const struct gb_pool_amount *quota)
{
	org_get(world, org)->quota = *quota;
}

int64_t
world_org_cpu(const struct world *world, const char *name)
{
	const struct world_org *org;

	HASH_FIND_STR(world->orgs, name, org);
	return org == NULL ? 0 : org->used.cpu;
}

static bool
within(int64_t quota, int64_t used)
{
	return quota == 0 || used <= quota;
}

bool
world_org_take(struct world *world, const char *name, const gb_res *res)
{
	struct world_org *org = org_get(world, name);

	org->used.cpu += res->cpu;
	org->used.mem += res->mem;
	org->used.accel += res->accel;
	return within(org->quota.cpu, org->used.cpu) &&
	       within(org->quota.mem, org->used.mem) &&
	       within(org->quota.accel, org->used.accel);
}

void
world_org_give(struct world *world, const char *name, const gb_res *res)
{
	struct world_org *org = org_get(world, name);

	org->used.cpu -= res->cpu;
	org->used.mem -= res->mem;
	org->used.accel -= res->accel;
}

void
world_orgs_free(struct world *world)
{
	struct world_org *org;
	struct world_org *next;

	HASH_ITER(hh, world->orgs, org, next)
	{
		HASH_DEL(world->orgs, org);
		free(org);
	}
}
