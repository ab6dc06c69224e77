/**
 * @file org.c
 * Organisations as the owner of the pool knows them.
 */
#include <stdlib.h>
#include <string.h>

#include "state.h"

/** Applies the configuration to an organisation.  One that is no longer
 * configured keeps its weight and quota, since its flows continue. */
static void
org_configure(const struct gb_pool *pool, struct pool_org *org)
{
	const struct gb_pool_org *entry =
	    gb_pool_config_org(pool->config, org->name);

	if (entry == NULL)
		return;
	org->weight = entry->weight;
	org->quota = entry->quota;
}

struct pool_org *
pool_org_get(struct gb_pool *pool, const char *name)
{
	struct pool_org *org;

	if (name[0] == '\0')
		return NULL;
	HASH_FIND_STR(pool->orgs, name, org);
	if (org != NULL)
		return org;
	org = gb_calloc(1, sizeof(*org));
	snprintf(org->name, sizeof(org->name), "%s", name);
	HASH_ADD_STR(pool->orgs, name, org);
	org_configure(pool, org);
	return org;
}

void
pool_orgs_configure(struct gb_pool *pool)
{
	struct pool_org *org;
	struct pool_org *next;

	HASH_ITER(hh, pool->orgs, org, next)
	{
		org_configure(pool, org);
	}
}

void
pool_orgs_free(struct gb_pool *pool)
{
	struct pool_org *org;
	struct pool_org *next;

	HASH_ITER(hh, pool->orgs, org, next)
	{
		HASH_DEL(pool->orgs, org);
		free(org);
	}
}

void
pool_org_count_accepted(struct pool_org *org, bool over_share)
{
	if (org == NULL)
		return;
	org->accepted++;
	org->over_share += over_share;
}

void
pool_org_count_refused(struct gb_pool *pool, const char *name)
{
	struct pool_org *org = pool_org_get(pool, name);

	if (org != NULL)
		org->refused++;
}

/** Counts the flows of each organisation that have not begun. */
static void
orgs_count_waiting(const struct gb_pool *pool)
{
	const struct pool_flow *flow;
	struct pool_org *org;

	for (org = pool->orgs; org != NULL; org = org->hh.next)
		org->waiting = 0;
	TAILQ_FOREACH(flow, &pool->open, open_next)
	{
		if (flow->org != NULL && !flow->begun)
			flow->org->waiting++;
	}
}

size_t
gb_pool_org_stats(
    struct gb_pool *pool, struct gb_pool_org_stat *out, size_t max)
{
	const struct pool_org *org;
	size_t count = 0;

	orgs_count_waiting(pool);

	for (org = pool->orgs; org != NULL && count < max; org = org->hh.next) {
		struct gb_pool_org_stat *stat = &out[count++];

		snprintf(stat->name, sizeof(stat->name), "%s", org->name);
		stat->weight = org->weight;
		stat->used = org->used;
		stat->quota = org->quota;
		stat->accepted = org->accepted;
		stat->over_share = org->over_share;
		stat->refused = org->refused;
		stat->waiting = org->waiting;
		stat->quota_waits = org->quota_waits;
		stat->core_s = (uint64_t)(org->core_ms / 1000);
		stat->weight_share =
		    (uint32_t)(100 * pool_usage_share(pool, org));
	}
	return count;
}

gb_flow_verdict
pool_org_authorise(const struct gb_pool *pool, const gb_flow_caller *caller)
{
	struct gb_pool_key_digest digest;
	const struct gb_pool_org *org;

	if (pool->config == NULL || pool->config->version < caller->config)
		return GB_FLOW_CONFIG_OLDER;
	if (pool->config->version == caller->config ||
	    caller->key.key_len != sizeof(digest.bytes))
		return GB_FLOW_ACCEPTED;
	memcpy(digest.bytes, caller->key.key_val, sizeof(digest.bytes));
	org = gb_pool_config_key_org(pool->config, &digest);
	if (org == NULL)
		return GB_FLOW_DENIED;
	/* The key was given to another organisation; the caller's node will
	 * learn it soon. */
	return strcmp(org->name, caller->org) == 0 ? GB_FLOW_ACCEPTED
						   : GB_FLOW_REFUSED;
}

bool
gb_flow_visible(const char *flow_org, const char *caller_org)
{
	return flow_org[0] == '\0' || caller_org[0] == '\0' ||
	       strcmp(flow_org, caller_org) == 0;
}
