/**
 * @file org.h
 * Organisations as the owner of the pool knows them: what they run and what
 * they may run.
 */
#ifndef GB_POOL_ORG_H
#define GB_POOL_ORG_H

#include <uthash.h>

#include "pool.h"
#include "usage.h"

struct gb_pool;
struct pool_flow;

struct pool_org {
	UT_hash_handle hh;
	char name[GB_NAME_MAX + 1];
	uint32_t weight;	     /**< submissions per second, 0: no limit */
	struct gb_pool_amount quota; /**< 0: no limit */
	struct gb_pool_amount used; /**< used by all runs that may be running */
	uint64_t runs;		    /**< number of these runs */
	/** Submissions that it may still send now within its share; may be
	 * fractional. */
	double share_left;
	gb_time share_at;     /**< when share_left was computed */
	uint64_t accepted;    /**< accepted flows */
	uint64_t over_share;  /**< of these, beyond its share */
	uint64_t refused;     /**< submissions that were not admitted */
	uint64_t quota_waits; /**< flows that waited for its quota */
	struct usage usage;
	double usage_share; /**< as last computed, see pool_usage_share */
	double
	    core_ms; /**< processor-milliseconds of ended runs, not decayed */
	uint32_t waiting; /**< flows that have not begun, when last counted */
	uint32_t tombstones; /**< cancels of flows that don't exist */
};

/* org.c */
/** Returns the organisation of a name and creates it if needed; null for the
 * empty name. */
struct pool_org *pool_org_get(struct gb_pool *, const char *name);
/** Applies a changed configuration to all organisations. */
void pool_orgs_configure(struct gb_pool *);
void pool_orgs_free(struct gb_pool *);
/** Counts an accepted flow of an organisation. */
void pool_org_count_accepted(struct pool_org *, bool over_share);
/** Counts a submission of an organisation that was not admitted. */
void pool_org_count_refused(struct gb_pool *, const char *name);
/** Authorises a caller by the newer of two configurations: that of the node
 * which received its call, and the owner's.  Returns GB_FLOW_CONFIG_OLDER when
 * the owner's is the older one, GB_FLOW_DENIED when the key is no longer known,
 * and GB_FLOW_REFUSED when it now belongs to another organisation. */
gb_flow_verdict pool_org_authorise(
    const struct gb_pool *, const gb_flow_caller *);

/* share.c */
/** Charges a submission to the share of its organisation; returns whether it is
 * beyond the share. */
bool pool_share_charge(struct gb_pool *, struct pool_org *);

/* quota.c */
/** Adds a run to the use of its organisation, or removes it. */
void pool_quota_add_run(struct pool_org *, const gb_res *);
void pool_quota_remove_run(struct pool_org *, const gb_res *);
/** Number of tasks, at most `wanted`, that an organisation may start now. */
uint32_t pool_quota_fits(const struct gb_pool *, const struct pool_org *,
    const gb_res *each, uint32_t wanted);
/** Whether the quota allows so many tasks at once if nothing else runs. */
bool pool_quota_admits(
    const struct gb_pool_amount *quota, const gb_res *each, uint32_t count);
/** Computes the capacity that may be used by runs which this owner doesn't know
 * of. */
void pool_quota_update_uncertain(struct gb_pool *);

#endif
