/**
 * @file config.c
 * Changes of configuration (documents and drained workers).  They are totally
 * ordered by their sequence numbers in the table service, and every member
 * applies them in this order.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "process/core.h"

/** Versions of a document that are kept in memory. */
#define HISTORY_MAX 32
/** Versions of a document that a snapshot contains. */
#define SNAPSHOT_VERSIONS 4
#define CHANGE_RETRY_DELAY (50 * GB_MSEC)
/** Delay after which a caller may retry a change that was not written. */
#define STORE_RETRY_MS 1000
/** Longest time that a command waits until its change is in force. */
#define COMMAND_TIMEOUT_MAX (30 * GB_SEC)

/** A worker that an operator drains, whether it is known or not. */
struct drain {
	UT_hash_handle hh;
	char worker[GB_NAME_MAX + 1];
};

/* Teams */

uint32_t
config_team_index(struct gb_core *core, const char *name)
{
	struct team *team;
	uint32_t i;

	for (i = 0; i < core->team_count; i++) {
		if (strcmp(core->teams[i].name, name) == 0)
			return i;
	}
	if (core->team_count == core->team_size) {
		core->team_size = core->team_size * 2 + 8;
		core->teams = gb_realloc(
		    core->teams, core->team_size * sizeof(struct team));
	}
	team = &core->teams[core->team_count];
	memset(team, 0, sizeof(*team));
	snprintf(team->name, sizeof(team->name), "%s", name);
	team->weight = 1;
	core->team_count++;
	for (i = 0; i < core->shard_count; i++)
		dispatch_team_grow(core, &core->shards[i]);
	return core->team_count - 1;
}

/* Documents */

static void
doc_key(char *out, size_t size, const char *team, const char *service)
{
	snprintf(out, size, "%s/%s", team, service);
}

struct doc *
config_doc(struct gb_core *core, const char *team, const char *service)
{
	char key[2 * GB_NAME_MAX + 2];
	struct doc *doc;

	doc_key(key, sizeof(key), team, service);
	HASH_FIND_STR(core->docs, key, doc);
	return doc;
}

static struct doc *
doc_add(struct gb_core *core, const char *team, const char *service)
{
	struct doc *doc = config_doc(core, team, service);

	if (doc != NULL)
		return doc;
	doc = gb_calloc(1, sizeof(*doc));
	doc_key(doc->key, sizeof(doc->key), team, service);
	HASH_ADD_STR(core->docs, key, doc);
	return doc;
}

static void
change_clear(gb_change *change)
{
	xdr_free((xdrproc_t)xdr_gb_change, (char *)change);
}

/** Add a version to a document's history, dropping the oldest if it is full. */
static void
history_add(struct doc *doc, const gb_change *change)
{
	gb_change copy;

	if (!gb_xdr_copy((xdrproc_t)xdr_gb_change, change, &copy, sizeof(copy)))
		return;
	if (doc->history_count == HISTORY_MAX) {
		change_clear(&doc->history[0]);
		memmove(doc->history, doc->history + 1,
		    (HISTORY_MAX - 1) * sizeof(copy));
		doc->history_count--;
	}
	doc->history =
	    gb_realloc(doc->history, (doc->history_count + 1) * sizeof(copy));
	doc->history[doc->history_count++] = copy;
}

/** Apply a new version of a document.  One that does not parse makes the
 * document invalid, but still counts as a version. */
static void
doc_apply(struct gb_core *core, const gb_change *change)
{
	struct doc *doc = doc_add(core, change->team, change->name);
	struct gb_error err = {0};
	struct gb_doc parsed;
	uint32_t team;

	history_add(doc, change);
	doc->valid = gb_doc_parse(&parsed, &core->cfg.dcs,
	    change->body.gb_body_val, change->body.gb_body_len, &err);
	if (!doc->valid) {
		gb_env_log(&core->cfg.env, GB_LOG_ERR, "config",
		    "Document %s version %" PRIu64 " is unusable: %s.",
		    doc->key, change->vers, err.text);
		doc->now.vers = change->vers;
		return;
	}
	doc->now = parsed;
	doc->now.vers = change->vers;
	team = config_team_index(core, change->team);
	if (parsed.kind == GB_KIND_TEAM) {
		core->teams[team].weight = parsed.weight;
		core->teams[team].quota = parsed.quota;
	}
}

/* Drained workers */

bool
config_drained(struct gb_core *core, const char *worker)
{
	struct drain *d;

	HASH_FIND_STR(core->drains, worker, d);
	return d != NULL;
}

static void
drain_apply(struct gb_core *core, const char *name, bool drain)
{
	struct drain *d;
	struct worker *w;

	HASH_FIND_STR(core->drains, name, d);
	if (drain && d == NULL) {
		d = gb_calloc(1, sizeof(*d));
		snprintf(d->worker, sizeof(d->worker), "%s", name);
		HASH_ADD_STR(core->drains, worker, d);
	} else if (!drain && d != NULL) {
		HASH_DEL(core->drains, d);
		free(d);
	}
	HASH_FIND_STR(core->workers_by_name, name, w);
	if (w != NULL) {
		w->draining = drain;
		worker_index(core, w);
	}
}

/** Apply a change without a check of its sequence number. */
static void
change_apply(struct gb_core *core, const gb_change *change)
{
	switch (change->kind) {
	case GB_CHANGE_DOCUMENT:
		doc_apply(core, change);
		break;
	case GB_CHANGE_DRAIN:
		drain_apply(core, change->name, true);
		break;
	case GB_CHANGE_UNDRAIN:
		drain_apply(core, change->name, false);
		break;
	}
}

/** Set the last change applied and the version of its row, and let all shards
 * dispatch again. */
static void
config_advance(struct gb_core *core, uint64_t seq, uint64_t vers)
{
	uint32_t i;

	core->config_seq = seq;
	core->config_vers = vers;
	for (i = 0; i < core->shard_count; i++)
		core->shards[i].dirty = true;
}

bool
config_apply(struct gb_core *core, const gb_change *change, uint64_t vers)
{
	if (change->seq != core->config_seq + 1)
		return false;
	core->stats.changes++;
	change_apply(core, change);
	config_advance(core, change->seq, vers);
	return true;
}

static void
change_key(char *out, size_t size, uint64_t seq)
{
	snprintf(out, size, CHANGE_PREFIX "%016" PRIx64, seq);
}

/* Snapshot: the documents and drained workers, which a new process reads
 * instead of all changes since the first */

void
config_load(struct gb_core *core, const gb_row *row)
{
	gb_body body = row->value;
	gb_config_row saved;
	u_int i;

	memset(&saved, 0, sizeof(saved));
	if (!gb_xdr_decode((xdrproc_t)xdr_gb_config_row, &body, &saved)) {
		gb_env_log(&core->cfg.env, GB_LOG_ERR, "config",
		    "The snapshot of documents cannot be read.");
		return;
	}
	core->config_saved = saved.seq;
	core->config_saved_vers = row->vers;
	if (saved.seq > core->config_seq) {
		for (i = 0; i < saved.changes.changes_len; i++)
			change_apply(core, &saved.changes.changes_val[i]);
		config_advance(core, saved.seq, saved.vers);
	}
	xdr_free((xdrproc_t)xdr_gb_config_row, (char *)&saved);
}

static int
change_compare(const void *a, const void *b)
{
	const gb_change *x = a;
	const gb_change *y = b;

	return x->seq < y->seq ? -1 : x->seq > y->seq;
}

/** Fill in a snapshot: the last versions of each document and the drained
 * workers, by sequence number.  The caller frees the array of changes, but not
 * what the changes point to. */
static void
config_collect(const struct gb_core *core, gb_config_row *out)
{
	size_t max = HASH_COUNT(core->docs) * SNAPSHOT_VERSIONS +
		     HASH_COUNT(core->drains);
	const struct doc *doc;
	struct drain *d;

	out->seq = core->config_seq;
	out->vers = core->config_vers;
	out->changes.changes_val = gb_calloc(max, sizeof(gb_change));
	for (doc = core->docs; doc != NULL; doc = doc->hh.next) {
		u_int from = doc->history_count > SNAPSHOT_VERSIONS
				 ? doc->history_count - SNAPSHOT_VERSIONS
				 : 0;

		for (; from < doc->history_count; from++)
			out->changes.changes_val[out->changes.changes_len++] =
			    doc->history[from];
	}
	for (d = core->drains; d != NULL; d = d->hh.next) {
		gb_change *change =
		    &out->changes.changes_val[out->changes.changes_len++];

		change->kind = GB_CHANGE_DRAIN;
		change->seq = core->config_seq;
		change->team = (char *)(uintptr_t) "";
		change->author = (char *)(uintptr_t) "";
		change->name = d->worker;
	}
	qsort(out->changes.changes_val, out->changes.changes_len,
	    sizeof(gb_change), change_compare);
}

static void
config_reread(struct gb_core *core, const struct store_op *op,
    const struct store_result *result)
{
	(void)op;
	core->config_saving = false;
	if (result->status == GB_STORE_OK && result->count > 0)
		config_load(core, &result->rows[0]);
}

static void
config_saved(struct gb_core *core, const struct store_op *op,
    const struct store_result *result)
{
	if (result->status == GB_STORE_OK) {
		core->config_saving = false;
		core->config_saved = op->ref;
		core->config_saved_vers = result->vers;
		return;
	}
	/* Another member wrote a snapshot first, or the result is unknown:
	 * read the row. */
	store_op_scan(core, CONFIG_KEY, "", 1, config_reread, GB_NONE, 0);
}

/** Write a snapshot and remove the changes that it covers, except for the last
 * snapshot_every: members that are slightly behind still read those. */
static void
config_save(struct gb_core *core)
{
	uint64_t keep = core->cfg.snapshot_every;
	uint64_t seq =
	    core->config_saved > keep ? core->config_saved - keep : 0;
	gb_config_row row;
	gb_body body;
	gb_txn txn;
	bool ok;

	memset(&row, 0, sizeof(row));
	config_collect(core, &row);
	ok = gb_xdr_encode((xdrproc_t)xdr_gb_config_row, &row, &body);
	free(row.changes.changes_val);
	if (!ok)
		return;
	memset(&txn, 0, sizeof(txn));
	store_txn_cond(&txn, CONFIG_KEY, core->config_saved_vers);
	store_txn_put(&txn, CONFIG_KEY, body);
	while (++seq + keep <= core->config_seq) {
		char key[GB_KEY_MAX + 1];

		change_key(key, sizeof(key), seq);
		store_txn_remove(&txn, key);
	}
	core->config_saving = true;
	store_op_txn(core, &txn, config_saved, GB_NONE, core->config_seq);
}

/* Acceptance of a change */

/** Version of the document that a change replaces; 0: none. */
static uint64_t
change_current_version(struct gb_core *core, const gb_change *change)
{
	struct doc *doc;

	if (change->kind != GB_CHANGE_DOCUMENT)
		return 0;
	doc = config_doc(core, change->team, change->name);
	return doc == NULL ? 0 : doc->now.vers;
}

static void
change_wait_free(struct gb_core *core, struct change_wait *wait)
{
	TAILQ_REMOVE(&core->changes, wait, next);
	change_clear(&wait->change);
	free(wait);
}

static void
change_wait_reject(struct gb_core *core, struct change_wait *wait,
    gb_verdict verdict, unsigned status, unsigned retry_ms, const char *reason)
{
	core_answer(core, wait->answer, verdict, status, retry_ms, reason);
	change_wait_free(core, wait);
}

/** Reject a change of an outdated version; the answer names the version in
 * force and its author. */
static void
change_wait_conflict(struct gb_core *core, struct change_wait *wait)
{
	struct doc *doc =
	    config_doc(core, wait->change.team, wait->change.name);
	const gb_change *last = NULL;
	char reason[GB_KEY_MAX + 1];

	if (doc != NULL && doc->history_count > 0)
		last = &doc->history[doc->history_count - 1];
	snprintf(reason, sizeof(reason),
	    "expected version %" PRIu64 ", version %" PRIu64
	    " is in force, by %s",
	    wait->expected, last == NULL ? 0 : last->vers,
	    last == NULL ? "nobody" : last->author);
	change_wait_reject(core, wait, GB_NOT_RUN, 412, 0, reason);
}

/** The change whose write is sent but not confirmed, or null. */
static struct change_wait *
change_wait_find_sent(struct gb_core *core)
{
	struct change_wait *wait;

	TAILQ_FOREACH(wait, &core->changes, next)
	{
		if (wait->sent && !wait->committed)
			return wait;
	}
	return NULL;
}

static void
change_committed(struct gb_core *core, struct change_wait *wait, uint64_t vers)
{
	wait->committed = true;
	wait->spread.vers = vers;
	core->change_busy = false;
	config_apply(core, &wait->change, vers);
	view_poll_now(core);
}

/** Retry a change under a new number: another change was written under this
 * one. */
static void
change_retry(struct gb_core *core, struct change_wait *wait)
{
	wait->sent = false;
	core->change_busy = false;
	core->change_retry_at = core->now + CHANGE_RETRY_DELAY;
	view_poll_now(core);
}

static void
change_checked(struct gb_core *core, const struct store_op *op,
    const struct store_result *result)
{
	struct change_wait *wait = change_wait_find_sent(core);
	gb_change found;
	gb_body body;
	bool own;

	(void)op;
	if (wait == NULL)
		return;
	if (result->status != GB_STORE_OK) {
		core->change_busy = false;
		core->change_retry_at = core->now + CHANGE_RETRY_DELAY;
		return;
	}
	if (result->count == 0) {
		/* The row does not exist: the same write is repeated, and its
		 * condition lets it take effect only once. */
		core->change_busy = false;
		core->change_retry_at = core->now + CHANGE_RETRY_DELAY;
		return;
	}
	memset(&found, 0, sizeof(found));
	body = result->rows[0].value;
	if (!gb_xdr_decode((xdrproc_t)xdr_gb_change, &body, &found))
		return;
	own = found.nonce == wait->change.nonce;
	change_clear(&found);
	if (own)
		change_committed(core, wait, result->rows[0].vers);
	else
		change_retry(core, wait);
}

/** Read the row of a change to find out whether its write took effect. */
static void
change_check(struct gb_core *core, const struct change_wait *wait)
{
	char key[GB_KEY_MAX + 1];

	core->change_busy = true;
	change_key(key, sizeof(key), wait->change.seq);
	store_op_scan(core, key, "", 1, change_checked, GB_NONE, 0);
}

static void
change_written(struct gb_core *core, const struct store_op *op,
    const struct store_result *result)
{
	struct change_wait *wait = change_wait_find_sent(core);

	(void)op;
	if (wait == NULL)
		return;
	switch (result->status) {
	case GB_STORE_OK:
		change_committed(core, wait, result->vers);
		break;
	case GB_STORE_INVALID:
	case GB_STORE_REFUSED:
	case GB_STORE_UNKNOWN:
	case GB_STORE_CONFLICT:
		change_check(core, wait);
		break;
	}
}

/** Write a change under the next sequence number.  The conditions let the write
 * take effect only if the number is free and this member has read every change
 * before it. */
static void
change_write(struct gb_core *core, struct change_wait *wait)
{
	char key[GB_KEY_MAX + 1];
	gb_body body;
	gb_txn txn;

	if (!wait->sent) {
		if (wait->change.kind == GB_CHANGE_DOCUMENT &&
		    change_current_version(core, &wait->change) !=
			wait->expected) {
			change_wait_conflict(core, wait);
			return;
		}
		wait->change.seq = core->config_seq + 1;
		wait->change.vers = wait->expected + 1;
		wait->preceding_vers = core->config_vers;
	}
	if (!gb_xdr_encode((xdrproc_t)xdr_gb_change, &wait->change, &body))
		return;
	memset(&txn, 0, sizeof(txn));
	change_key(key, sizeof(key), wait->change.seq);
	store_txn_cond(&txn, key, 0);
	store_txn_put(&txn, key, body);
	if (wait->change.seq > 1) {
		/* A delayed write must fail if its number was used and removed
		 * since then. */
		change_key(key, sizeof(key), wait->change.seq - 1);
		store_txn_cond(&txn, key, wait->preceding_vers);
	}
	view_bind(core, &txn);
	wait->sent = true;
	core->change_busy = true;
	store_op_txn(core, &txn, change_written, GB_NONE, 0);
}

/** Answer that a change is accepted, and whether it is in force: every member
 * either knows it or can no longer act on the state before it. */
static void
change_wait_accepted(
    struct gb_core *core, struct change_wait *wait, bool in_force)
{
	struct gb_text body = {0};
	struct gb_action *action;

	gb_text_add(&body,
	    "{\"version\": %" PRIu64 ", \"change\": %" PRIu64
	    ", \"in_force\": %s}",
	    wait->change.vers, wait->change.seq, in_force ? "true" : "false");
	action = core_answer_body(core, wait->answer, wait->change.vers, &body);
	if (!in_force)
		action->u.answer.status = 202;
	change_wait_free(core, wait);
}

/** Answer or reject a waiting change, if that is due. */
static void
change_wait_tick(struct gb_core *core, struct change_wait *wait)
{
	bool late = core->now >= wait->deadline;

	if (wait->committed && wait->answer == 0) {
		change_wait_free(core, wait);
	} else if (wait->committed) {
		bool in_force = member_write_in_force(core, &wait->spread);

		if (in_force || late)
			change_wait_accepted(core, wait, in_force);
	} else if (!wait->sent && !member_store_fresh(core)) {
		change_wait_reject(core, wait, GB_NOT_RUN, 503, STORE_RETRY_MS,
		    "the table service is unavailable");
	} else if (!wait->sent && late) {
		change_wait_reject(core, wait, GB_NOT_RUN, 503, STORE_RETRY_MS,
		    "other changes went first");
	} else if (late && wait->answer != 0) {
		core_answer(core, wait->answer, GB_MAYBE_RUN, 503,
		    STORE_RETRY_MS, "the table service did not confirm");
		wait->answer = 0;
	}
}

void
config_tick(struct gb_core *core)
{
	struct change_wait *wait;
	struct change_wait *next;

	for (wait = TAILQ_FIRST(&core->changes); wait != NULL; wait = next) {
		next = TAILQ_NEXT(wait, next);
		change_wait_tick(core, wait);
	}
	if (core->joined && !core->config_saving && member_store_fresh(core) &&
	    core->config_loaded &&
	    core->config_seq - core->config_saved >= core->cfg.snapshot_every)
		config_save(core);
	if (core->change_busy || !core->joined ||
	    core->now < core->change_retry_at || !member_store_fresh(core))
		return;
	wait = change_wait_find_sent(core);
	if (wait != NULL) {
		change_write(core, wait);
		return;
	}
	TAILQ_FOREACH(wait, &core->changes, next)
	{
		if (!wait->committed) {
			change_write(core, wait);
			return;
		}
	}
}

static struct change_wait *
change_wait_new(struct gb_core *core, uint64_t id, const gb_command *cmd)
{
	struct change_wait *wait = gb_calloc(1, sizeof(*wait));
	gb_time timeout = cmd->remaining_us;

	if (timeout <= 0 || timeout > COMMAND_TIMEOUT_MAX)
		timeout = COMMAND_TIMEOUT_MAX;
	wait->answer = id;
	wait->deadline = core->now + timeout;
	wait->expected = cmd->vers;
	wait->change.team = gb_strdup(cmd->team);
	wait->change.name = gb_strdup(cmd->name);
	wait->change.author = gb_strdup(cmd->author);
	wait->change.at_us = core->now + core->wall_minus_now;
	wait->change.nonce = gb_random_next(&core->seed);
	TAILQ_INSERT_TAIL(&core->changes, wait, next);
	return wait;
}

static void
apply_command(struct gb_core *core, uint64_t id, const gb_command *cmd)
{
	struct gb_error err = {0};
	struct change_wait *wait;
	struct gb_doc doc;

	if (!gb_doc_parse(&doc, &core->cfg.dcs, cmd->body.gb_body_val,
		cmd->body.gb_body_len, &err)) {
		core_answer(core, id, GB_NOT_RUN, 400, 0, err.text);
		return;
	}
	if (strcmp(doc.team, cmd->team) != 0 ||
	    strcmp(doc.service, cmd->name) != 0) {
		core_answer(core, id, GB_NOT_RUN, 400, 0,
		    "team and service must match the path");
		return;
	}
	wait = change_wait_new(core, id, cmd);
	wait->change.kind = GB_CHANGE_DOCUMENT;
	gb_xdr_copy((xdrproc_t)xdr_gb_body, &cmd->body, &wait->change.body,
	    sizeof(wait->change.body));
}

static void
drain_command(struct gb_core *core, uint64_t id, const gb_command *cmd)
{
	struct change_wait *wait;

	if (!name_valid(cmd->name)) {
		core_answer(
		    core, id, GB_NOT_RUN, 400, 0, "not the name of a worker");
		return;
	}
	wait = change_wait_new(core, id, cmd);
	wait->change.kind =
	    cmd->verb == GB_VERB_DRAIN ? GB_CHANGE_DRAIN : GB_CHANGE_UNDRAIN;
}

/** Answer with one version of a document; without a version, the last one. */
static void
get_command(struct gb_core *core, uint64_t id, const gb_command *cmd)
{
	struct doc *doc = config_doc(core, cmd->team, cmd->name);
	struct gb_text body = {0};
	const gb_change *found = NULL;
	u_int i;

	for (i = 0; doc != NULL && i < doc->history_count; i++) {
		if (cmd->vers == 0 || doc->history[i].vers == cmd->vers)
			found = &doc->history[i];
	}
	if (found == NULL) {
		core_answer(core, id, GB_RUN, 404, 0, "no such document");
		return;
	}
	gb_text_add(&body, "%.*s", (int)found->body.gb_body_len,
	    found->body.gb_body_val);
	core_answer_body(core, id, found->vers, &body);
}

static void
history_command(struct gb_core *core, uint64_t id, const gb_command *cmd)
{
	struct doc *doc = config_doc(core, cmd->team, cmd->name);
	struct gb_text body = {0};
	u_int i;

	if (doc == NULL) {
		core_answer(core, id, GB_RUN, 404, 0, "no such document");
		return;
	}
	gb_text_add(&body, "{\"history\": [");
	for (i = 0; i < doc->history_count; i++) {
		const gb_change *c = &doc->history[i];

		gb_text_add(&body,
		    "%s{\"version\": %" PRIu64 ", \"change\": %" PRIu64
		    ", \"author\": \"%s\", \"at_us\": %" PRId64 "}",
		    i > 0 ? ", " : "", c->vers, c->seq, c->author, c->at_us);
	}
	gb_text_add(&body, "]}");
	core_answer_body(core, id, doc->now.vers, &body);
}

static void
docs_command(struct gb_core *core, uint64_t id, const gb_command *cmd)
{
	struct gb_text body = {0};
	struct doc *doc;
	bool first = true;

	gb_text_add(&body, "{\"documents\": [");
	for (doc = core->docs; doc != NULL; doc = doc->hh.next) {
		if (!doc->valid || strcmp(doc->now.team, cmd->team) != 0)
			continue;
		gb_text_add(&body,
		    "%s{\"service\": \"%s\", \"kind\": \"%s\", "
		    "\"version\": %" PRIu64 "}",
		    first ? "" : ", ", doc->now.service,
		    gb_doc_kind_name(doc->now.kind), doc->now.vers);
		first = false;
	}
	gb_text_add(&body, "]}");
	core_answer_body(core, id, 0, &body);
}

void
config_command(struct gb_core *core, uint64_t id, const gb_command *cmd)
{
	switch (cmd->verb) {
	case GB_VERB_APPLY:
		apply_command(core, id, cmd);
		break;
	case GB_VERB_DRAIN:
	case GB_VERB_UNDRAIN:
		drain_command(core, id, cmd);
		break;
	case GB_VERB_GET:
		get_command(core, id, cmd);
		break;
	case GB_VERB_HISTORY:
		history_command(core, id, cmd);
		break;
	default:
		docs_command(core, id, cmd);
		break;
	}
}

uint64_t
gb_core_config_seq(const struct gb_core *core)
{
	return core->config_seq;
}

uint64_t
gb_core_doc_vers(const struct gb_core *core, gb_time now, const char *team,
    const char *service)
{
	char key[2 * GB_NAME_MAX + 2];
	struct doc *doc;

	if (!gb_core_fresh(core, now))
		return 0;
	doc_key(key, sizeof(key), team, service);
	HASH_FIND_STR(core->docs, key, doc);
	return doc == NULL ? 0 : doc->now.vers;
}

void
config_free(struct gb_core *core)
{
	struct doc *doc;
	struct doc *next_doc;
	struct drain *d;
	struct drain *next_drain;
	struct change_wait *wait;
	u_int i;

	while ((wait = TAILQ_FIRST(&core->changes)) != NULL)
		change_wait_free(core, wait);
	HASH_ITER(hh, core->docs, doc, next_doc)
	{
		HASH_DEL(core->docs, doc);
		for (i = 0; i < doc->history_count; i++)
			change_clear(&doc->history[i]);
		free(doc->history);
		free(doc);
	}
	HASH_ITER(hh, core->drains, d, next_drain)
	{
		HASH_DEL(core->drains, d);
		free(d);
	}
	free(core->teams);
}
