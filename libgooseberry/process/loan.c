/**
 * @file loan.c
 * Loans of tasks between shards.  The home shard of a job lends tasks that find
 * no worker there to a shard with free capacity, which runs them as a child
 * job.
 *
 * Each side commits a step to its log before it sends the message for it: the
 * home logs the loan before it sends the offer, the other shard logs the child
 * job before it accepts and the job's end before it sends the result, and the
 * home logs the result before it acknowledges it.  Every message follows from a
 * committed record, so it is harmless if it arrives late, twice, or from an
 * owner that has been fenced.  A message without an answer is sent again.
 */
#include <stdlib.h>
#include <string.h>

#include "core.h"

/** A job without free capacity waits this long in its home shard before its
 * tasks are lent. */
#define LEND_AFTER (300 * GB_MSEC)
/** A child job of which no task has started after this time is given back. */
#define CHILD_RETURN_AFTER (3 * GB_SEC)
/** A job's tasks are not lent again within this time after a loan or return. */
#define LEND_RETRY (2 * GB_SEC)
/** A message about a loan is repeated at this interval until it is answered. */
#define LEND_RESEND_INTERVAL (500 * GB_MSEC)
/** Older offers are ignored: the loan may have ended and been removed since. */
#define OFFER_AGE_MAX (600 * GB_SEC)

/* Messages */

/** Address of the owner of a shard, or null if none is known. */
static const char *
shard_owner_addr(struct gb_core *core, uint32_t shard)
{
	const char *addr = NULL;
	uint64_t epoch = 0;
	struct member *m;
	u_int i;

	if (gb_core_owns(core, shard))
		return core->cfg.addr;
	for (m = core->members; m != NULL; m = m->hh.next) {
		for (i = 0; i < m->claim_count; i++) {
			if (m->claims[i].shard == shard &&
			    m->claims[i].epoch > epoch) {
				epoch = m->claims[i].epoch;
				addr = m->addr;
			}
		}
	}
	return addr;
}

/** Send a message about a loan to the owner of a shard.  Returns the message,
 * to be filled in further, or null if the shard has no known owner. */
static gb_lend *
lend_send(struct gb_core *core, gb_lend_kind kind, uint32_t from, uint32_t to,
    uint64_t parent, uint64_t child)
{
	const char *addr = shard_owner_addr(core, to);
	struct gb_action *action;
	gb_lend *lend;

	if (addr == NULL)
		return NULL;
	action = core_action_add(core, GB_ACT_LEND);
	snprintf(action->addr, sizeof(action->addr), "%s", addr);
	lend = &action->u.lend;
	lend->kind = kind;
	lend->from = from;
	lend->to = to;
	lend->parent = parent;
	lend->child = child;
	lend->at_us = core->now + core->wall_minus_now;
	lend->spec.team = gb_strdup("");
	lend->spec.name = gb_strdup("");
	lend->spec.service = gb_strdup("");
	lend->spec.pool = gb_strdup("");
	return lend;
}

/* Home shard */

void
loan_free(struct job *job, struct loan *loan)
{
	TAILQ_REMOVE(&job->loans, loan, next);
	job->shard->loan_count--;
	free(loan->tasks);
	free(loan);
}

void
loan_record(const struct job *job, const struct loan *loan, gb_loan *out)
{
	out->job = job->id;
	out->child = loan->child;
	out->shard = loan->shard;
	out->tasks.tasks_len = loan->count;
	out->tasks.tasks_val = loan->tasks;
}

static struct loan *
loan_find(struct job *job, uint64_t child)
{
	struct loan *loan;

	TAILQ_FOREACH(loan, &job->loans, next)
	{
		if (loan->child == child)
			return loan;
	}
	return NULL;
}

/** Whether tasks of a job may be lent to a shard. */
static bool
borrower_allowed(
    const struct gb_core *core, const struct job *job, uint32_t shard)
{
	uint32_t dc = shard / core->cfg.shards_per_dc;

	return shard != job->shard->id &&
	       (job->spec.dcs == 0 || (job->spec.dcs & (1u << dc)) != 0);
}

/** Shard that may borrow tasks, with its free slots. */
struct borrower {
	uint32_t shard;
	uint32_t slots;
};

static void
borrower_consider(const struct gb_core *core, const struct job *job,
    uint32_t shard, uint32_t slots, struct borrower *best)
{
	if (slots > best->slots && borrower_allowed(core, job, shard)) {
		best->shard = shard;
		best->slots = slots;
	}
}

/** Allowed shard with the most free slots; 0 slots if there is none. */
static struct borrower
borrower_find(struct gb_core *core, const struct job *job)
{
	struct borrower best = {GB_NONE, 0};
	struct member *m;
	uint32_t i;
	u_int n;

	for (i = 0; i < core->shard_count; i++) {
		if (core->shards[i].state == SHARD_ACTIVE)
			borrower_consider(
			    core, job, i, core->shards[i].free_slots, &best);
	}
	for (m = core->members; m != NULL; m = m->hh.next) {
		if (!member_live(core, m))
			continue;
		for (n = 0; n < m->claim_count; n++) {
			if (m->claims[n].active)
				borrower_consider(core, job, m->claims[n].shard,
				    m->claims[n].free_slots, &best);
		}
	}
	return best;
}

void
loan_try(struct gb_core *core, struct shard *shard, struct job *job)
{
	struct borrower borrower;
	gb_record record;
	gb_loan *loan = &record.gb_record_u.lend;
	uint32_t count = job->ready_count;
	uint32_t i;

	if (job->derived || job->spec.parent != 0 || job->cancelled ||
	    (job->reason != WAIT_CAPACITY && job->reason != WAIT_PLACEMENT) ||
	    (job->reason == WAIT_CAPACITY &&
		core->now - job->accepted_at < LEND_AFTER) ||
	    core->now < job->lend_not_before || !member_store_fresh(core))
		return;
	borrower = borrower_find(core, job);
	if (borrower.slots == 0 || (job->spec.gang && borrower.slots < count))
		return;
	if (count > borrower.slots)
		count = borrower.slots;
	memset(&record, 0, sizeof(record));
	record.type = GB_REC_LEND;
	loan->job = job->id;
	loan->child = gb_random_next(&core->seed);
	loan->shard = borrower.shard;
	loan->tasks.tasks_len = count;
	loan->tasks.tasks_val = gb_calloc(count, sizeof(uint32_t));
	for (i = 0; i < count; i++) {
		uint32_t index = job->ready[--job->ready_count];

		loan->tasks.tasks_val[i] = index;
		job->tasks[index].state = TASK_LENDING;
	}
	job->lend_not_before = core->now + LEND_RETRY;
	job->lent += count;
	core->stats.lent += count;
	log_append(core, shard, &record, 0);
}

void
loan_commit(struct gb_core *core, struct shard *shard, const gb_loan *rec)
{
	struct job *job = job_find(shard, rec->job);
	struct loan *loan;
	uint32_t i;

	(void)core;
	if (job == NULL || loan_find(job, rec->child) != NULL)
		return;
	loan = gb_calloc(1, sizeof(*loan));
	loan->child = rec->child;
	loan->shard = rec->shard;
	loan->count = rec->tasks.tasks_len;
	loan->tasks = gb_calloc(loan->count, sizeof(uint32_t));
	job->lent = 0;
	for (i = 0; i < loan->count; i++) {
		uint32_t index = rec->tasks.tasks_val[i];

		loan->tasks[i] = index;
		if (index < job->spec.tasks &&
		    job->tasks[index].state != TASK_ENDED)
			job->tasks[index].state = TASK_LENT;
	}
	/* Recounted, because after a takeover no task was in state
	 * TASK_LENDING before, so that lent does not include them. */
	for (i = 0; i < job->spec.tasks; i++)
		job->lent += job->tasks[i].state == TASK_LENDING ||
			     job->tasks[i].state == TASK_LENT;
	TAILQ_INSERT_TAIL(&job->loans, loan, next);
	shard->loan_count++;
}

/** Whether no task of a loan is lent any more. */
static bool
loan_finished(const struct job *job, const struct loan *loan)
{
	u_int i;

	for (i = 0; i < loan->count; i++) {
		if (job->tasks[loan->tasks[i]].state == TASK_LENT)
			return false;
	}
	return true;
}

void
loan_task_ended(struct gb_core *core, struct job *job, uint32_t index)
{
	struct loan *loan;
	struct loan *next;

	(void)core;
	/* It is no longer lent; the caller sets its final state. */
	job->tasks[index].state = TASK_ENDING;
	job->lent--;
	for (loan = TAILQ_FIRST(&job->loans); loan != NULL; loan = next) {
		next = TAILQ_NEXT(loan, next);
		if (loan_finished(job, loan))
			loan_free(job, loan);
	}
}

void
loan_return_commit(
    struct gb_core *core, struct shard *shard, const gb_loan *rec)
{
	struct job *job = job_find(shard, rec->job);
	struct loan *loan = job == NULL ? NULL : loan_find(job, rec->child);
	u_int i;

	if (loan == NULL)
		return;
	for (i = 0; i < loan->count; i++) {
		uint32_t index = loan->tasks[i];

		if (job->tasks[index].state != TASK_LENT)
			continue;
		job->lent--;
		if (job->cancelled)
			job_task_end(core, job, index, GB_OUTCOME_CANCELLED);
		else if (shard->state == SHARD_LOADING)
			job->tasks[index].state = TASK_PENDING;
		else
			job_task_ready(core, job, index);
	}
	loan_free(job, loan);
	job->lend_not_before = core->now + LEND_RETRY;
}

/** Send the offer of a loan until it is accepted, or its cancellation. */
static void
loan_send(struct gb_core *core, struct job *job, struct loan *loan)
{
	gb_job_spec spec = job->spec;
	gb_lend *lend;

	if (core->now < loan->send_at || (loan->accepted && !job->cancelled))
		return;
	loan->send_at = core->now + LEND_RESEND_INTERVAL;
	lend = lend_send(core, loan->accepted ? GB_LEND_CANCEL : GB_LEND_OFFER,
	    job->shard->id, loan->shard, job->id, loan->child);
	if (lend == NULL || loan->accepted)
		return;
	xdr_free((xdrproc_t)xdr_gb_job_spec, (char *)&lend->spec);
	spec.id = loan->child;
	spec.tasks = loan->count;
	spec.parent = job->id;
	spec.parent_shard = job->shard->id;
	gb_xdr_copy(
	    (xdrproc_t)xdr_gb_job_spec, &spec, &lend->spec, sizeof(spec));
}

/** Log the result of a loan: the outcomes of its tasks, or that the other shard
 * gives them back. */
static void
loan_result(struct gb_core *core, struct shard *shard, const gb_lend *lend)
{
	struct job *job = job_find(shard, lend->parent);
	struct loan *loan = job == NULL ? NULL : loan_find(job, lend->child);
	gb_record record;
	u_int i;

	if (loan == NULL) {
		/* The result has been logged, or the job has been removed. */
		lend_send(core, GB_LEND_RESULT_STORED, shard->id, lend->from,
		    lend->parent, lend->child);
		return;
	}
	if (loan->result_pending || lend->outcomes.outcomes_len != loan->count)
		return;
	loan->result_pending = true;
	loan->accepted = true;
	if (lend->outcomes.outcomes_val[0] == GB_OUTCOME_RETURNED) {
		memset(&record, 0, sizeof(record));
		record.type = GB_REC_LOAN_ENDED;
		record.gb_record_u.loan_ended.job = job->id;
		record.gb_record_u.loan_ended.child = loan->child;
		log_append(core, shard, &record, 0);
		return;
	}
	for (i = 0; i < loan->count; i++) {
		struct task *task = &job->tasks[loan->tasks[i]];

		if (task->state != TASK_LENT)
			continue;
		job_task_end(core, job, loan->tasks[i],
		    (enum gb_outcome)lend->outcomes.outcomes_val[i]);
		/* It stays lent until the record of its end is committed. */
		task->state = TASK_LENT;
	}
}

/* Shard that borrows */

/** Accept an offered loan, or confirm one that was accepted before. */
static void
child_offered(struct gb_core *core, struct shard *shard, const gb_lend *lend)
{
	gb_time age = core->now + core->wall_minus_now - lend->at_us;
	gb_record record;

	if (job_find(shard, lend->child) != NULL) {
		lend_send(core, GB_LEND_ACCEPTED, shard->id, lend->from,
		    lend->parent, lend->child);
		return;
	}
	if (age > OFFER_AGE_MAX || lend->spec.id != lend->child ||
	    lend->spec.tasks == 0)
		return;
	memset(&record, 0, sizeof(record));
	record.type = GB_REC_JOB;
	if (gb_xdr_copy((xdrproc_t)xdr_gb_job_spec, &lend->spec,
		&record.gb_record_u.job, sizeof(lend->spec)))
		log_append(core, shard, &record, 0);
}

/** Log the cancellation of a child job whose home job was cancelled. */
static void
child_cancelled(struct gb_core *core, struct shard *shard, const gb_lend *lend)
{
	struct job *job = job_find(shard, lend->child);
	gb_record record;

	if (job == NULL || job->cancelled || job->ended_at != 0)
		return;
	memset(&record, 0, sizeof(record));
	record.type = GB_REC_CANCEL;
	record.gb_record_u.cancel = job->id;
	log_append(core, shard, &record, 0);
}

/** Send the outcomes of an ended child job to its home shard. */
static void
child_result_send(struct gb_core *core, struct job *job)
{
	gb_lend *lend;
	uint32_t i;

	job->send_at = core->now + LEND_RESEND_INTERVAL;
	lend = lend_send(core, GB_LEND_RESULT, job->shard->id,
	    job->spec.parent_shard, job->spec.parent, job->id);
	if (lend == NULL)
		return;
	lend->outcomes.outcomes_len = job->spec.tasks;
	lend->outcomes.outcomes_val =
	    gb_calloc(job->spec.tasks, sizeof(uint32_t));
	for (i = 0; i < job->spec.tasks; i++)
		lend->outcomes.outcomes_val[i] = job->tasks[i].outcome;
}

/** End a child job of which no task has started, so that its tasks go back to
 * the home shard. */
static void
child_return(struct gb_core *core, struct job *job)
{
	uint32_t i;

	job_dequeue(job);
	job->ready_count = 0;
	for (i = 0; i < job->spec.tasks; i++)
		job_task_end(core, job, i, GB_OUTCOME_RETURNED);
}

/** Send a child job's result, or give back a job that has not started. */
static void
child_tick(struct gb_core *core, struct job *job)
{
	if (job->result_acked || core->now < job->send_at)
		return;
	if (job->ended_at != 0)
		child_result_send(core, job);
	else if (job->ready_count == job->spec.tasks && !job->cancelled &&
		 core->now - job->accepted_at > CHILD_RETURN_AFTER)
		child_return(core, job);
}

void
gb_core_lend(struct gb_core *core, gb_time now, const gb_lend *lend)
{
	struct shard *shard = shard_get(core, lend->to);
	struct job *job;
	struct loan *loan;

	core->now = now;
	if (shard == NULL || shard->state != SHARD_ACTIVE)
		return;
	switch (lend->kind) {
	case GB_LEND_OFFER:
		child_offered(core, shard, lend);
		break;
	case GB_LEND_ACCEPTED:
		job = job_find(shard, lend->parent);
		loan = job == NULL ? NULL : loan_find(job, lend->child);
		if (loan != NULL)
			loan->accepted = true;
		break;
	case GB_LEND_RESULT:
		loan_result(core, shard, lend);
		break;
	case GB_LEND_RESULT_STORED:
		job = job_find(shard, lend->child);
		if (job != NULL)
			job->result_acked = true;
		break;
	case GB_LEND_CANCEL:
		child_cancelled(core, shard, lend);
		break;
	}
}

void
loan_tick(struct gb_core *core, struct shard *shard)
{
	struct job *job;
	struct job *next;
	struct loan *loan;

	if (shard->loan_count == 0 || core->now < shard->loans_due_at ||
	    !gb_core_fresh(core, core->now))
		return;
	shard->loans_due_at = core->now + LEND_RESEND_INTERVAL / 5;
	HASH_ITER(hh, shard->jobs, job, next)
	{
		if (job->spec.parent != 0)
			child_tick(core, job);
		TAILQ_FOREACH(loan, &job->loans, next)
		{
			loan_send(core, job, loan);
		}
	}
}
