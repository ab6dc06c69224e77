/**
 * @file view.c
 * The rows of the cell in the table service: the head row, the view of members
 * and the owners of shards.  A process that starts writes a row of its own and
 * waits.  A member writes the next view, which adds the waiting processes and
 * removes the members that have left or are silent.  It does so only once the
 * current view is in force, which means that no member can act on the one
 * before it any more.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "process/core.h"

/** Silence, in multiples of fresh_us, after which a member is removed. */
#define SILENCE_FACTOR 4
/** Time between two writes of the view or of the row that asks to join. */
#define ROW_WRITE_INTERVAL (200 * GB_MSEC)
/** Time after which any member may write a view that is due. */
#define VIEW_WRITER_TIMEOUT (3 * GB_SEC)
#define POLL_RETRY_INTERVAL (20 * GB_MSEC)

void
view_touch_head(gb_txn *txn)
{
	gb_body empty = {0, NULL};

	store_txn_put(txn, HEAD_KEY, empty);
}

void
view_bind(const struct gb_core *core, gb_txn *txn)
{
	store_txn_cond(txn, VIEW_KEY, core->view_vers);
	view_touch_head(txn);
}

/* Reading */

/** Apply one member of the view's row. */
static void
view_member_apply(struct gb_core *core, const gb_member_row *row)
{
	struct member *m;

	if (member_is_self(core, row->member)) {
		core->named = true;
		core->joined = row->incarnation == core->cfg.incarnation;
		return;
	}
	m = member_add(core, row->member);
	m->listed = true;
	m->listed_incarnation = row->incarnation;
	if (m->incarnation == 0)
		m->incarnation = row->incarnation;
	if (m->addr[0] == '\0')
		snprintf(m->addr, sizeof(m->addr), "%s", row->addr);
	if (m->dc[0] == '\0')
		snprintf(m->dc, sizeof(m->dc), "%s", row->dc);
}

/** Apply the view's row, if its version is new. */
static void
view_row_apply(struct gb_core *core, const gb_row *row)
{
	gb_body body = row->value;
	struct member *m;
	gb_view_row view;
	u_int i;

	if (row->vers == core->view_vers)
		return;
	memset(&view, 0, sizeof(view));
	if (!gb_xdr_decode((xdrproc_t)xdr_gb_view_row, &body, &view))
		return;
	core->view_vers = row->vers;
	core->view_number = view.number;
	core->view_spread.vers = row->vers;
	core->view_spread.known_at = 0;
	core->joined = false;
	core->named = false;
	core->previous = false;
	for (m = core->members; m != NULL; m = m->hh.next) {
		m->listed = false;
		m->previous = false;
	}
	for (i = 0; i < view.members.members_len; i++)
		view_member_apply(core, &view.members.members_val[i]);
	for (i = 0; i < view.previous.previous_len; i++) {
		const char *name = view.previous.previous_val[i];

		if (member_is_self(core, name))
			core->previous = true;
		else
			member_add(core, name)->previous = true;
	}
	xdr_free((xdrproc_t)xdr_gb_view_row, (char *)&view);
}

/** Apply the row of a process that waits to be added to the view; from now on
 * it is sent heartbeats. */
static void
wait_row_apply(struct gb_core *core, const gb_row *row)
{
	gb_body body = row->value;
	gb_member_row r;
	struct member *m;

	memset(&r, 0, sizeof(r));
	if (!gb_xdr_decode((xdrproc_t)xdr_gb_member_row, &body, &r))
		return;
	if (member_is_self(core, r.member)) {
		core->wait_written = r.incarnation == core->cfg.incarnation;
		core->wait_vers = row->vers;
	} else {
		m = member_add(core, r.member);
		m->wait_vers = row->vers;
		m->wait_incarnation = r.incarnation;
		snprintf(m->addr, sizeof(m->addr), "%s", r.addr);
		snprintf(m->dc, sizeof(m->dc), "%s", r.dc);
	}
	xdr_free((xdrproc_t)xdr_gb_member_row, (char *)&r);
}

/** Drop members that are in no view, do not wait for one, and are silent,
 * terminated or leaving. */
static void
members_prune(struct gb_core *core)
{
	struct member *m;
	struct member *next;

	HASH_ITER(hh, core->members, m, next)
	{
		bool silent = core->now - m->last_heard >
			      SILENCE_FACTOR * core->cfg.fresh_us;

		if (!m->listed && !m->previous && m->wait_vers == 0 &&
		    (silent || m->terminated || m->leaving))
			member_free(core, m);
	}
}

/** Apply all rows of the cell. */
static void
rows_apply(struct gb_core *core, const struct store_result *result)
{
	bool was_joined = core->joined;
	struct member *m;
	uint32_t n;
	u_int i;

	core->wait_written = false;
	core->wait_vers = 0;
	for (m = core->members; m != NULL; m = m->hh.next)
		m->wait_vers = 0;
	for (i = 0; i < result->count; i++) {
		const gb_row *row = &result->rows[i];

		if (strcmp(row->key, VIEW_KEY) == 0)
			view_row_apply(core, row);
		else if (strncmp(row->key, WAIT_PREFIX,
			     sizeof(WAIT_PREFIX) - 1) == 0)
			wait_row_apply(core, row);
		else
			shard_row_apply(core, row);
	}
	for (n = 0; n < core->shard_count; n++) {
		struct shard *shard = &core->shards[n];

		shard->row_known = true;
		if (was_joined && !core->joined && shard->state != SHARD_NONE)
			shard_lose(core, shard, "removed from the view");
	}
	/* A new member acts only after it has read the changes that precede
	 * its view. */
	if (!was_joined && core->joined)
		core->ever_confirmed = false;
	members_prune(core);
}

/* Poll: reads the head row, and all other rows only when it has changed */

static void poll_changes(struct gb_core *);

/** End a poll; confirmed says whether everything was read. */
static void
poll_end(struct gb_core *core, bool confirmed)
{
	core->polling = false;
	core->poll_at =
	    core->now + (confirmed && !core->poll_again ? core->cfg.beat_us
							: POLL_RETRY_INTERVAL);
	core->poll_again = false;
	if (!confirmed)
		return;
	if (core->head_seen != core->head_read)
		member_beat_now(core);
	core->head_seen = core->head_read;
	core->confirmed = core->poll_started;
	core->ever_confirmed = true;
}

static void
changes_polled(struct gb_core *core, const struct store_op *op,
    const struct store_result *result)
{
	bool gap = false;
	u_int i;

	(void)op;
	if (result->status != GB_STORE_OK) {
		poll_end(core, false);
		return;
	}
	for (i = 0; i < result->count; i++) {
		gb_body body = result->rows[i].value;
		gb_change change;

		memset(&change, 0, sizeof(change));
		if (!gb_xdr_decode((xdrproc_t)xdr_gb_change, &body, &change))
			continue;
		config_apply(core, &change, result->rows[i].vers);
		gap = gap || change.seq > core->config_seq;
		xdr_free((xdrproc_t)xdr_gb_change, (char *)&change);
	}
	if (gap) {
		/* Changes are missing because a snapshot replaced them: read
		 * the snapshot at the next poll. */
		core->config_loaded = false;
		core->rows_stale = true;
		poll_end(core, false);
	} else if (result->more) {
		poll_changes(core);
	} else {
		poll_end(core, true);
	}
}

static void
poll_changes(struct gb_core *core)
{
	char after[GB_KEY_MAX + 1];

	snprintf(after, sizeof(after), CHANGE_PREFIX "%016" PRIx64,
	    core->config_seq);
	store_op_scan(
	    core, CHANGE_PREFIX, after, SCAN_PAGE, changes_polled, GB_NONE, 0);
}

static void
config_polled(struct gb_core *core, const struct store_op *op,
    const struct store_result *result)
{
	(void)op;
	if (result->status != GB_STORE_OK) {
		poll_end(core, false);
		return;
	}
	core->config_loaded = true;
	if (result->count > 0)
		config_load(core, &result->rows[0]);
	poll_changes(core);
}

static void
cell_polled(struct gb_core *core, const struct store_op *op,
    const struct store_result *result)
{
	(void)op;
	if (result->status != GB_STORE_OK || result->more) {
		poll_end(core, false);
		return;
	}
	rows_apply(core, result);
	if (core->config_loaded)
		poll_changes(core);
	else
		store_op_scan(
		    core, CONFIG_KEY, "", 1, config_polled, GB_NONE, 0);
}

static void
head_polled(struct gb_core *core, const struct store_op *op,
    const struct store_result *result)
{
	uint64_t vers = 0;

	(void)op;
	if (result->status != GB_STORE_OK) {
		poll_end(core, false);
		return;
	}
	if (result->count > 0)
		vers = result->rows[0].vers;
	if (core->ever_confirmed && vers == core->head_seen &&
	    !core->rows_stale) {
		core->head_read = vers;
		poll_end(core, true);
		return;
	}
	core->head_read = vers;
	core->rows_stale = false;
	store_op_scan(
	    core, CELL_PREFIX, "", GB_LIST_MAX, cell_polled, GB_NONE, 0);
}

static void
poll_start(struct gb_core *core)
{
	core->polling = true;
	core->poll_started = core->now;
	store_op_scan(core, HEAD_KEY, "", 1, head_polled, GB_NONE, 0);
}

void
view_poll_now(struct gb_core *core)
{
	if (core->polling)
		core->poll_again = true;
	else if (core->poll_at > core->now)
		core->poll_at = core->now;
}

/* Writing */

static void
member_row_fill(struct gb_core *core, gb_member_row *row)
{
	row->member = (char *)(uintptr_t)core->cfg.member;
	row->incarnation = core->cfg.incarnation;
	row->addr = (char *)(uintptr_t)core->cfg.addr;
	row->dc = (char *)(uintptr_t)core->cfg.dc;
}

static void
wait_row_key(char *out, size_t size, const char *name)
{
	snprintf(out, size, WAIT_PREFIX "%s", name);
}

static void
wait_row_written(struct gb_core *core, const struct store_op *op,
    const struct store_result *result)
{
	(void)op;
	core->row_pending = false;
	core->row_retry_at = core->now + ROW_WRITE_INTERVAL;
	core->rows_stale = result->status != GB_STORE_OK;
	view_poll_now(core);
}

/** Write this process's own row, which asks to be added to the view. */
static void
wait_row_write(struct gb_core *core)
{
	char key[GB_KEY_MAX + 1];
	gb_member_row row;
	gb_body body;
	gb_txn txn;

	memset(&txn, 0, sizeof(txn));
	member_row_fill(core, &row);
	if (!gb_xdr_encode((xdrproc_t)xdr_gb_member_row, &row, &body))
		return;
	wait_row_key(key, sizeof(key), core->cfg.member);
	store_txn_put(&txn, key, body);
	view_touch_head(&txn);
	core->row_pending = true;
	store_op_txn(core, &txn, wait_row_written, GB_NONE, 0);
}

/** Whether a member may be removed from the view.  For a process in the view a
 * short silence is enough, since the next view is known to a majority before
 * anything depends on it.  Other processes wait until the member cannot act on
 * any view: for outage_us as well. */
static bool
member_expired(const struct gb_core *core, const struct member *m)
{
	gb_time silence = core->now - m->last_heard;

	if (m->terminated)
		return true;
	if (!core->joined)
		return silence > core->cfg.outage_us +
				     SILENCE_FACTOR * core->cfg.fresh_us;
	return silence > SILENCE_FACTOR * core->cfg.fresh_us ||
	       (m->leaving && silence > core->cfg.suspect_us);
}

/** Why the next view is written. */
enum view_reason {
	VIEW_CHANGE,	    /**< a member adds or removes others */
	VIEW_DROP_PREVIOUS, /**< no member acts on the previous view */
	VIEW_REPLACE,	    /**< a process replaces its earlier incarnation */
	VIEW_RESTART	    /**< every member of the view has expired */
};

/** The next view, and the transaction that writes it. */
struct next_view {
	enum view_reason reason;
	gb_view_row row;
	gb_txn txn;
};

static void
next_add(struct next_view *next, const char *name, uint64_t incarnation,
    const char *addr, const char *dc)
{
	gb_member_row *row =
	    &next->row.members.members_val[next->row.members.members_len++];

	row->member = (char *)(uintptr_t)name;
	row->incarnation = incarnation;
	row->addr = (char *)(uintptr_t)addr;
	row->dc = (char *)(uintptr_t)dc;
}

/** List a member as one of the previous view, if the reason requires it: those
 * of the view that is replaced, or those that are listed already. */
static void
next_previous(
    struct next_view *next, const char *name, bool listed, bool previous)
{
	if ((next->reason == VIEW_CHANGE && listed) ||
	    (next->reason == VIEW_REPLACE && previous))
		next->row.previous
		    .previous_val[next->row.previous.previous_len++] =
		    (char *)(uintptr_t)name;
}

/** Remove the row in which a process waits, if there is one. */
static void
next_wait_remove(struct next_view *next, const char *name, uint64_t vers)
{
	char key[GB_KEY_MAX + 1];

	if (vers == 0)
		return;
	wait_row_key(key, sizeof(key), name);
	store_txn_cond(&next->txn, key, vers);
	store_txn_remove(&next->txn, key);
}

/** Add a member to the next view unless it has to be left out. */
static void
next_member(struct gb_core *core, struct next_view *next, struct member *m)
{
	bool changing =
	    next->reason == VIEW_CHANGE || next->reason == VIEW_RESTART;

	next_previous(next, m->name, m->listed, m->previous);
	if (changing && m->wait_vers != 0) {
		next_wait_remove(next, m->name, m->wait_vers);
		next_add(next, m->name, m->wait_incarnation, m->addr, m->dc);
	} else if (m->listed && (!changing || !member_expired(core, m))) {
		next_add(next, m->name, m->listed_incarnation, m->addr, m->dc);
	}
}

static void
view_written(struct gb_core *core, const struct store_op *op,
    const struct store_result *result)
{
	(void)op;
	(void)result;
	core->row_pending = false;
	core->row_retry_at = core->now + ROW_WRITE_INTERVAL;
	core->rows_stale = true;
	view_poll_now(core);
}

static void
view_write(struct gb_core *core, enum view_reason reason)
{
	unsigned int count_max = HASH_COUNT(core->members) + 1;
	struct next_view next;
	struct member *m;
	gb_body body;
	bool ok;

	memset(&next, 0, sizeof(next));
	next.reason = reason;
	next.row.number = core->view_number + 1;
	next.row.members.members_val =
	    gb_calloc(count_max, sizeof(gb_member_row));
	next.row.previous.previous_val = gb_calloc(count_max, sizeof(char *));
	next_previous(&next, core->cfg.member, core->named, core->previous);
	next_add(&next, core->cfg.member, core->cfg.incarnation, core->cfg.addr,
	    core->cfg.dc);
	next_wait_remove(&next, core->cfg.member, core->wait_vers);
	for (m = core->members; m != NULL; m = m->hh.next)
		next_member(core, &next, m);
	ok = gb_xdr_encode((xdrproc_t)xdr_gb_view_row, &next.row, &body);
	free(next.row.members.members_val);
	free(next.row.previous.previous_val);
	if (!ok) {
		xdr_free((xdrproc_t)xdr_gb_txn, (char *)&next.txn);
		return;
	}
	store_txn_cond(&next.txn, VIEW_KEY, core->view_vers);
	store_txn_put(&next.txn, VIEW_KEY, body);
	view_touch_head(&next.txn);
	core->row_pending = true;
	store_op_txn(core, &next.txn, view_written, GB_NONE, 0);
}

/** Whether all members of the view have expired, so that a waiting process may
 * write the next one. */
static bool
view_expired(const struct gb_core *core)
{
	const struct member *m;

	for (m = core->members; m != NULL; m = m->hh.next) {
		if (m->listed && !member_expired(core, m))
			return false;
	}
	return true;
}

/** Whether this member writes the next view: the first live one by name does,
 * and any other once the view has been due for VIEW_WRITER_TIMEOUT. */
static bool
view_is_writer(const struct gb_core *core)
{
	const struct member *m;

	if (core->now - core->view_due_since > VIEW_WRITER_TIMEOUT)
		return true;
	for (m = core->members; m != NULL; m = m->hh.next) {
		if (m->listed && member_live(core, m) && m->informed &&
		    strcmp(m->name, core->cfg.member) < 0)
			return false;
	}
	return true;
}

/** Whether a process waits to be added, or a member should be removed. */
static bool
view_due(const struct gb_core *core)
{
	const struct member *m;

	for (m = core->members; m != NULL; m = m->hh.next) {
		if (m->wait_vers != 0 || (m->listed && member_expired(core, m)))
			return true;
	}
	return false;
}

/** Whether the view's row still lists members of the previous view. */
static bool
view_has_previous(const struct gb_core *core)
{
	const struct member *m;

	if (core->previous)
		return true;
	for (m = core->members; m != NULL; m = m->hh.next) {
		if (m->previous)
			return true;
	}
	return false;
}

/** As a member of the view, write the next one when it is due and the current
 * one is in force. */
static void
view_maintain(struct gb_core *core)
{
	bool has_previous = view_has_previous(core);

	if (!has_previous && !view_due(core)) {
		core->view_due_since = core->now;
		return;
	}
	if (!view_is_writer(core) ||
	    !member_write_in_force(core, &core->view_spread))
		return;
	core->view_due_since = core->now;
	view_write(core, has_previous ? VIEW_DROP_PREVIOUS : VIEW_CHANGE);
}

/** Join the view, or write the next one, as needed. */
static void
view_update(struct gb_core *core)
{
	if (core->row_pending || core->now < core->row_retry_at ||
	    !member_store_fresh(core) || core->leaving)
		return;
	if (core->joined)
		view_maintain(core);
	else if (!core->wait_written)
		wait_row_write(core);
	else if (core->named)
		view_write(core, VIEW_REPLACE);
	else if (view_expired(core))
		view_write(core, VIEW_RESTART);
}

void
view_tick(struct gb_core *core)
{
	if (core->exited)
		return;
	if (!core->polling && core->now >= core->poll_at)
		poll_start(core);
	view_update(core);
	member_beats(core);
}
