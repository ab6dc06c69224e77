/**
 * @file shard.c
 * Ownership of shards.  A shard is acquired by a compare-and-set on its row,
 * and the epoch in the row fences earlier owners.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "core.h"

/** A member waits this long for each live member that ranks before it, before
 * it tries to acquire a vacant shard. */
#define CANDIDATE_DELAY GB_SEC
/** Time between two dispatch runs of a shard in which nothing has changed. */
#define DISPATCH_RETRY (200 * GB_MSEC)
#define DIGEST_INTERVAL (100 * GB_MSEC)
/** Time between two handovers that balance the load of the members. */
#define REBALANCE_INTERVAL GB_SEC
/** A handover that balances load is given up after this time. */
#define REBALANCE_TIMEOUT (2 * GB_SEC)
#define HANDOVER_RETRY (100 * GB_MSEC)

uint32_t
gb_shard_count(const struct gb_core_config *cfg)
{
	return cfg->dcs.count * cfg->shards_per_dc;
}

uint32_t
gb_shard_of_rack(
    const struct gb_core_config *cfg, const char *dc, const char *rack)
{
	uint32_t i;

	for (i = 0; i < cfg->dcs.count; i++) {
		if (strcmp(cfg->dcs.name[i], dc) == 0) {
			return i * cfg->shards_per_dc +
			       (uint32_t)(gb_hash(rack, strlen(rack)) %
					  cfg->shards_per_dc);
		}
	}
	return GB_NONE;
}

uint32_t
gb_shard_of_job(uint32_t shards, const char *team, const char *name)
{
	return shards == 0 ? 0 : (uint32_t)(job_id(team, name) % shards);
}

struct shard *
shard_get(struct gb_core *core, uint32_t id)
{
	return id < core->shard_count ? &core->shards[id] : NULL;
}

bool
gb_core_owns(const struct gb_core *core, uint32_t shard)
{
	return shard < core->shard_count &&
	       core->shards[shard].state == SHARD_ACTIVE;
}

bool
shard_serial_stale(const struct gb_core *core, const struct store_op *op)
{
	return core->shards[op->shard].serial != op->serial;
}

void
shard_key(char *out, size_t size, uint32_t shard)
{
	snprintf(out, size, SHARD_PREFIX "%04" PRIu32, shard);
}

static bool
shard_row_encode(
    uint64_t epoch, uint64_t owner, const char *member, gb_body *out)
{
	gb_shard_row row;

	row.owner = owner;
	row.member = (char *)(uintptr_t)member;
	row.epoch = epoch;
	return gb_xdr_encode((xdrproc_t)xdr_gb_shard_row, &row, out);
}

/** Drop all state of a shard that this member no longer owns. */
static void
shard_drop(struct gb_core *core, struct shard *shard)
{
	struct job *job;
	struct job *next;

	shard->serial++;
	shard->state = SHARD_NONE;
	request_shard_lost(core, shard);
	job_commands_lost(core, shard);
	worker_shard_lost(core, shard);
	if (shard->index != NULL)
		gb_index_free(shard->index);
	shard->index = NULL;
	log_clear(core, shard);
	HASH_ITER(hh, shard->jobs, job, next)
	{
		job_free(core, job);
	}
	dispatch_usage_reset(shard);
	shard->reserved_gang = NULL;
	shard->free_slots = 0;
	shard->preempting = 0;
	shard->handover_pending = false;
	shard->reconciled = false;
	shard->vacant_since = core->now;
}

void
shard_lose(struct gb_core *core, struct shard *shard, const char *why)
{
	if (shard->state == SHARD_NONE)
		return;
	gb_env_log(&core->cfg.env, GB_LOG_WARNING, "shard",
	    "Lost shard %" PRIu32 " of epoch %" PRIu64 ": %s.", shard->id,
	    shard->epoch, why);
	core->stats.lost_shards++;
	shard_drop(core, shard);
}

void
shard_row_apply(struct gb_core *core, const gb_row *row)
{
	gb_body body = row->value;
	struct shard *shard;
	gb_shard_row r;
	char *end;
	unsigned long id;

	if (strncmp(row->key, SHARD_PREFIX, sizeof(SHARD_PREFIX) - 1) != 0)
		return;
	id = strtoul(row->key + sizeof(SHARD_PREFIX) - 1, &end, 10);
	shard = shard_get(core, (uint32_t)id);
	memset(&r, 0, sizeof(r));
	if (*end != '\0' || shard == NULL ||
	    !gb_xdr_decode((xdrproc_t)xdr_gb_shard_row, &body, &r))
		return;
	if (row->vers > shard->row_vers) {
		shard->row_vers = row->vers;
		shard->row.owner = r.owner;
		shard->row.epoch = r.epoch;
		snprintf(shard->member, sizeof(shard->member), "%s", r.member);
		if ((shard->state == SHARD_LOADING ||
			shard->state == SHARD_ACTIVE ||
			shard->state == SHARD_HANDOVER) &&
		    (r.epoch != shard->epoch ||
			r.owner != core->cfg.incarnation))
			shard_lose(core, shard, "its row names another owner");
	}
	xdr_free((xdrproc_t)xdr_gb_shard_row, (char *)&r);
}

void
shard_claim_apply(
    struct gb_core *core, const gb_claim *claim, const char *member)
{
	struct shard *shard = shard_get(core, claim->shard);

	(void)member;
	if (shard == NULL || shard->state == SHARD_NONE ||
	    shard->state == SHARD_ACQUIRING)
		return;
	if (claim->epoch > shard->epoch)
		shard_lose(core, shard, "a peer owns a newer epoch");
}

/* Acquiring a shard */

/** Whether a shard may be acquired: its row names no owner, this member, or
 * one that has terminated, restarted or been silent for suspect_us. */
static bool
shard_vacant(struct gb_core *core, struct shard *shard)
{
	struct member *m;

	if (shard->row.owner == 0 || shard->row.owner == core->cfg.incarnation)
		return true;
	if (strcmp(shard->member, core->cfg.member) == 0)
		return true;
	m = member_find(core, shard->member);
	if (m == NULL || m->terminated || m->incarnation != shard->row.owner)
		return true;
	return core->now - m->last_heard > core->cfg.suspect_us;
}

static const char *
shard_dc(const struct gb_core *core, const struct shard *shard)
{
	return core->cfg.dcs.name[shard->id / core->cfg.shards_per_dc];
}

/** Number of shards that this member owns or acquires. */
static uint32_t
owned_shard_count(const struct gb_core *core)
{
	uint32_t i;
	uint32_t n = 0;

	for (i = 0; i < core->shard_count; i++) {
		if (core->shards[i].state != SHARD_NONE)
			n++;
	}
	return n;
}

/** Rank of a member as the owner of a shard, lowest first: members in the
 * shard's data centre, then fewest shards, then a hash of the name. */
static uint64_t
candidate_rank(const struct gb_core *core, const struct shard *shard,
    const char *name, const char *dc, uint32_t claims)
{
	uint64_t other_dc = strcmp(dc, shard_dc(core, shard)) != 0;
	uint64_t hash = gb_hash(name, strlen(name)) ^
			(0x9e3779b97f4a7c15ULL * (shard->id + 1));

	return other_dc << 63 | (uint64_t)(claims & 0xffff) << 40 | hash >> 24;
}

/** Whether a handover of a shard to a member is worthwhile.  It is if only that
 * member is in the shard's data centre and owns no more shards than this one,
 * or if both are equally near and it owns at least two shards fewer. */
static bool
candidate_better(const struct gb_core *core, const struct shard *shard,
    const struct member *m)
{
	const char *dc = shard_dc(core, shard);
	uint32_t own = owned_shard_count(core);
	bool in_dc = strcmp(core->cfg.dc, dc) == 0;
	bool other_in_dc = strcmp(m->dc, dc) == 0;

	if (!m->listed || !m->informed || !member_live(core, m) ||
	    core->now - m->acked_beat_sent > core->cfg.suspect_us)
		return false;
	if (other_in_dc && !in_dc)
		return m->claim_count <= own;
	return other_in_dc == in_dc && m->claim_count + 1 < own;
}

/** Start to hand a shard over if another member is a better owner, one shard
 * at a time. */
static void
shard_rebalance(struct gb_core *core, struct shard *shard)
{
	struct member *m;

	if (core->now < core->rebalance_at || !member_store_fresh(core))
		return;
	for (m = core->members; m != NULL; m = m->hh.next) {
		if (!candidate_better(core, shard, m))
			continue;
		core->rebalance_at = core->now + REBALANCE_INTERVAL;
		shard->handover_since = core->now;
		shard->state = SHARD_HANDOVER;
		return;
	}
}

/** Number of live members that rank before this one for a shard. */
static uint32_t
candidates_ranked_before(struct gb_core *core, const struct shard *shard)
{
	uint64_t own = candidate_rank(core, shard, core->cfg.member,
	    core->cfg.dc, owned_shard_count(core));
	struct member *m;
	uint32_t before = 0;

	for (m = core->members; m != NULL; m = m->hh.next) {
		if (m->listed && member_live(core, m) &&
		    candidate_rank(
			core, shard, m->name, m->dc, m->claim_count) < own)
			before++;
	}
	return before;
}

/** End of the write that claims a shard: load it if the write took effect. */
static void
shard_acquired(struct gb_core *core, const struct store_op *op,
    const struct store_result *result)
{
	struct shard *shard = &core->shards[op->shard];

	if (shard_serial_stale(core, op))
		return;
	if (result->status != GB_STORE_OK) {
		/* If the write took effect after all, the next poll finds this
		 * member in the row, and the shard counts as vacant. */
		shard->state = SHARD_NONE;
		shard->row_known = false;
		view_poll_now(core);
		return;
	}
	shard->row_vers = result->vers;
	shard->row.owner = core->cfg.incarnation;
	shard->row.epoch = shard->epoch;
	snprintf(shard->member, sizeof(shard->member), "%s", core->cfg.member);
	shard->claim.vers = result->vers;
	shard->claim.known_at = 0;
	shard->leases_end = 0;
	shard->index = gb_index_new();
	shard->state = SHARD_LOADING;
	core->stats.takeovers++;
	view_poll_now(core);
	gb_env_log(&core->cfg.env, GB_LOG_INFO, "shard",
	    "Acquired shard %" PRIu32 " with epoch %" PRIu64 ".", shard->id,
	    shard->epoch);
	recover_start(core, shard);
}

/** Claim a shard with the next epoch, if neither its row nor the view has
 * changed. */
static void
shard_acquire(struct gb_core *core, struct shard *shard)
{
	char key[GB_KEY_MAX + 1];
	gb_body body;
	gb_txn txn;

	shard->serial++;
	shard->epoch = shard->row.epoch + 1;
	if (!shard_row_encode(
		shard->epoch, core->cfg.incarnation, core->cfg.member, &body))
		return;
	shard->state = SHARD_ACQUIRING;
	memset(&txn, 0, sizeof(txn));
	shard_key(key, sizeof(key), shard->id);
	store_txn_cond(&txn, key, shard->row_vers);
	store_txn_put(&txn, key, body);
	view_bind(core, &txn);
	store_op_txn(core, &txn, shard_acquired, shard->id, 0);
}

/** Claim a vacant shard once the members that rank before this one have had
 * time to do so. */
static void
shard_try_acquire(struct gb_core *core, struct shard *shard)
{
	if (!shard->row_known || !core->joined || core->leaving ||
	    !member_store_fresh(core))
		return;
	if (!shard_vacant(core, shard)) {
		shard->vacant_since = core->now;
		return;
	}
	if (core->now - shard->vacant_since <
	    (gb_time)candidates_ranked_before(core, shard) * CANDIDATE_DELAY)
		return;
	shard_acquire(core, shard);
}

/* Handover of a shard */

/** End of the write that hands a shard over. */
static void
shard_handover_written(struct gb_core *core, const struct store_op *op,
    const struct store_result *result)
{
	struct shard *shard = &core->shards[op->shard];

	if (shard_serial_stale(core, op))
		return;
	shard->handover_pending = false;
	shard->handover_retry_at = core->now + HANDOVER_RETRY;
	if (result->status == GB_STORE_OK) {
		shard->row_vers = result->vers;
		shard->row.owner = 0;
		shard_drop(core, shard);
		view_poll_now(core);
		gb_env_log(&core->cfg.env, GB_LOG_INFO, "shard",
		    "Handed shard %" PRIu32 " over.", shard->id);
	} else if (result->status == GB_STORE_CONFLICT) {
		shard_lose(core, shard, "its row changed");
	}
}

/** Remove the owner from a shard's row once no record and no request of the
 * shard is pending or in flight. */
static void
shard_handover_write(struct gb_core *core, struct shard *shard)
{
	char key[GB_KEY_MAX + 1];
	gb_body body;
	gb_txn txn;

	if (shard->handover_pending || core->now < shard->handover_retry_at ||
	    shard->log.phase != LOG_IDLE || shard->log.pending_count > 0 ||
	    shard->waiting_count + shard->sent_count > 0)
		return;
	if (!shard_row_encode(shard->epoch, 0, "", &body))
		return;
	memset(&txn, 0, sizeof(txn));
	shard_key(key, sizeof(key), shard->id);
	store_txn_cond(&txn, key, shard->row_vers);
	store_txn_put(&txn, key, body);
	view_touch_head(&txn);
	shard->handover_pending = true;
	store_op_txn(core, &txn, shard_handover_written, shard->id, 0);
}

void
gb_core_leave(struct gb_core *core, gb_time now)
{
	uint32_t i;

	core->now = now;
	if (core->leaving)
		return;
	core->leaving = true;
	for (i = 0; i < core->shard_count; i++) {
		if (core->shards[i].state == SHARD_ACTIVE)
			core->shards[i].state = SHARD_HANDOVER;
		else if (core->shards[i].state != SHARD_NONE)
			shard_drop(core, &core->shards[i]);
	}
}

void
shards_leave(struct gb_core *core)
{
	uint32_t i;

	if (!core->leaving || core->exited || core->requests != NULL)
		return;
	for (i = 0; i < core->shard_count; i++) {
		if (core->shards[i].state != SHARD_NONE)
			return;
	}
	core->exited = true;
	core_action_add(core, GB_ACT_EXIT);
}

/** Update the free capacity that is sent to peers and entries. */
static void
shard_digest_update(const struct gb_core *core, struct shard *shard)
{
	uint32_t i;

	shard->digest_at = core->now + DIGEST_INTERVAL;
	shard->free_slots = 0;
	shard->usable = 0;
	for (i = 0; i < shard->worker_count; i++) {
		const struct worker *w = core->workers[shard->workers[i]];
		gb_res free_res = worker_free(w);

		if (!worker_usable(w))
			continue;
		shard->usable++;
		if (free_res.slots > 0)
			shard->free_slots += (uint32_t)free_res.slots;
	}
}

/** Determine when all leases that earlier owners gave have expired.  An earlier
 * owner renews leases while its view is fresh, that is at most fresh_us after
 * enough members know of the acquisition. */
static void
shard_prior_leases_update(struct gb_core *core, struct shard *shard)
{
	gb_time lease = core->cfg.lease_us;

	if (shard->leases_end != 0 || !member_write_known(core, &shard->claim))
		return;
	shard->leases_end = shard->claim.known_at + core->cfg.fresh_us + lease +
			    lease / CLOCK_DRIFT_PART + core->cfg.margin_us;
	worker_prior_leases_bound(core, shard);
}

void
shard_tick(struct gb_core *core, struct shard *shard)
{
	if (shard->state == SHARD_ACTIVE || shard->state == SHARD_HANDOVER)
		shard_prior_leases_update(core, shard);
	switch (shard->state) {
	case SHARD_NONE:
		shard_try_acquire(core, shard);
		break;
	case SHARD_ACQUIRING:
		break;
	case SHARD_LOADING:
		recover_tick(core, shard);
		break;
	case SHARD_HANDOVER:
		log_tick(core, shard);
		if (shard->state != SHARD_HANDOVER)
			break;
		if (!core->leaving && !shard->handover_pending &&
		    core->now - shard->handover_since > REBALANCE_TIMEOUT)
			shard->state = SHARD_ACTIVE;
		else
			shard_handover_write(core, shard);
		break;
	case SHARD_ACTIVE:
		log_tick(core, shard);
		if (shard->state != SHARD_ACTIVE)
			break;
		service_sync_all(core, shard);
		job_tick(core, shard);
		request_dispatch(core, shard);
		if (core->now >= shard->digest_at)
			shard_digest_update(core, shard);
		if (core->now >= shard->dispatch_at)
			shard->dirty = true;
		shard_rebalance(core, shard);
		if (shard->dirty) {
			shard->dispatch_at = core->now + DISPATCH_RETRY;
			dispatch_run(core, shard);
		}
		break;
	}
}
