/**
 * @file org.h
 * Organisations as the owner of the pool sees them: what they run, and what
 * they may.
 */
#ifndef GB_POOL_ORG_H
#define GB_POOL_ORG_H

#include <uthash.h>

#include "pool.h"

struct gb_pool;
struct pool_flow;

struct pool_org {
	UT_hash_handle hh;
	char name[GB_NAME_MAX + 1];
	uint32_t weight;
	struct gb_pool_amount quota; /**< 0: no limit */
	struct gb_pool_amount used;  /**< by all that may run */
	uint64_t runs;
	/** Submissions that it may still send now as its share. */
	double share_left;
	gb_time share_at;     /**< when that was worked out */
	uint64_t accepted;    /**< flows */
	uint64_t over_share;  /**< of these, beyond its share */
	uint64_t refused;     /**< submissions that were not admitted */
	uint64_t quota_waits; /**< flows that waited for its quota */
	uint32_t waiting; /**< flows that have not begun, when last counted */
};

/* org.c */
/** Organisation of a name, known or new; null for the empty name. */
struct pool_org *pool_org_get(struct gb_pool *, const char *name);
/** The configuration has changed. */
void pool_orgs_configure(struct gb_pool *);
void pool_orgs_free(struct gb_pool *);
/** A flow of an organisation was accepted. */
void pool_org_count(struct pool_org *, bool over_share);
/** A submission of an organisation was not admitted. */
void pool_org_refused(struct gb_pool *, const char *name);
/** What a caller may do by the newer of its configuration and the owner's. */
gb_flow_verdict pool_org_judge(const struct gb_pool *, const gb_flow_caller *);

/* share.c */
/** A submission has come: whether it is beyond the organisation's share. */
bool pool_share_take(struct pool_org *, gb_time now);

/* quota.c */
/** A run takes room of its organisation, or gives it back. */
void pool_quota_take(struct pool_org *, const gb_res *);
void pool_quota_give(struct pool_org *, const gb_res *);
/** How many of so many tasks an organisation may start now. */
uint32_t pool_quota_fits(const struct gb_pool *, const struct pool_org *,
    const gb_res *each, uint32_t wanted);
/** Whether the quota admits so many tasks at once, were nothing else to run. */
bool pool_quota_admits(
    const struct gb_pool_amount *quota, const gb_res *each, uint32_t count);
/** Work out anew what earlier owners may have left running out of sight. */
void pool_quota_doubt(struct gb_pool *);

#endif
