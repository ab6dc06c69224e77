/**
 * @file world_org.c
 * Organisations in the platform model: quota and use of each on all workers.
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

/** Whether a quota is higher than another; 0 means no limit. */
static bool
quota_is_higher(int64_t quota, int64_t other)
{
	return other != 0 && (quota == 0 || quota > other);
}

void
world_org_quota(
    struct world *world, const char *name, const struct gb_pool_amount *quota)
{
	struct world_org *org = org_get(world, name);

	if (quota_is_higher(org->quota.cpu, quota->cpu)) {
		/* Of several reductions in a row, the highest quota stays
		 * tolerated. */
		if (world->now >= org->quota_before_until ||
		    quota_is_higher(org->quota.cpu, org->quota_before.cpu))
			org->quota_before = org->quota;
		org->quota_before_until = world->now + world->quota_grace;
	}
	org->quota = *quota;
}

void
world_quota_grace_set(struct world *world, gb_time after)
{
	world->quota_grace = after;
}

int64_t
world_org_cpu(const struct world *world, const char *name)
{
	const struct world_org *org;

	HASH_FIND_STR(world->orgs, name, org);
	return org == NULL ? 0 : org->used.cpu;
}

static bool
amount_within(int64_t quota, int64_t used)
{
	return quota == 0 || used <= quota;
}

static bool
use_is_within(
    const struct gb_pool_amount *quota, const struct gb_pool_amount *used)
{
	return amount_within(quota->cpu, used->cpu) &&
	       amount_within(quota->mem, used->mem) &&
	       amount_within(quota->accel, used->accel);
}

bool
world_org_use(struct world *world, const char *name, const gb_res *res)
{
	struct world_org *org = org_get(world, name);

	org->used.cpu += res->cpu;
	org->used.mem += res->mem;
	org->used.accel += res->accel;
	return use_is_within(&org->quota, &org->used) ||
	       (world->now < org->quota_before_until &&
		   use_is_within(&org->quota_before, &org->used));
}

void
world_org_release(struct world *world, const char *name, const gb_res *res)
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
