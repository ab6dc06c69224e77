/**
 * @file learned_record.c
 * The row with what an owner has learned: whether it can be used, and whether a
 * new one is worth writing.
 */
#include <stdlib.h>
#include <string.h>

#include "learned.h"

/** Largest difference between two wall clocks. */
#define RECORD_CLOCKS_DIFFER (6 * GB_SEC)
/** Largest logarithm of a slowness and its largest deviation, in thousandths: a
 * worker that is 20 times as slow as others is not usable. */
#define RECORD_LOG_MAX 3000
#define RECORD_DEVIATION_MAX 2000
/** Change of such a logarithm that is written: 5%.  Tasks of one step differ by
 * at least 15%, so that a smaller change decides nothing. */
#define RECORD_LOG_CHANGE 50
/** A deviation that has shrunk to less than this many quarters of the stored
 * one is written. */
#define RECORD_DEVIATION_QUARTERS 3
/** Use that has changed by more than one part in this many is written. */
#define RECORD_USE_PARTS 4
/** A change of a queue's run times is written after this time: each run changes
 * them a little. */
#define RECORD_QUEUES_INTERVAL (5 * GB_SEC)
/** An unchanged row is written again after this time, well before
 * LEARNED_AGE_MAX. */
#define RECORD_REFRESH (20 * GB_SEC)

static bool
record_valid(const gb_learned *record)
{
	u_int i;

	for (i = 0; i < record->workers.workers_len; i++) {
		const gb_learned_worker *worker =
		    &record->workers.workers_val[i];

		if (worker->log_milli > RECORD_LOG_MAX ||
		    worker->log_milli < -RECORD_LOG_MAX ||
		    worker->deviation_milli == 0 ||
		    worker->deviation_milli > RECORD_DEVIATION_MAX)
			return false;
	}
	return true;
}

enum gb_learned_error
learned_record_decode(const gb_body *body, gb_learned *record)
{
	uint32_t format;

	if (!gb_xdr_decode((xdrproc_t)xdr_uint32_t, body, &format))
		return GB_LEARNED_UNREADABLE;
	if (format != GB_LEARNED_FORMAT)
		return GB_LEARNED_OTHER_FORMAT;
	if (!gb_xdr_decode((xdrproc_t)xdr_gb_learned, body, record))
		return GB_LEARNED_UNREADABLE;
	if (record_valid(record)) {
		learned_record_sort(record);
		return GB_LEARNED_USABLE;
	}
	xdr_free((xdrproc_t)xdr_gb_learned, (char *)record);
	return GB_LEARNED_UNREADABLE;
}

enum gb_learned_error
learned_record_age(
    const gb_learned *record, gb_time wall, uint64_t epoch, gb_time *age)
{
	/* Without overflow, whatever the row says. */
	if (record->epoch > epoch ||
	    record->wall_us > wall + RECORD_CLOCKS_DIFFER)
		return GB_LEARNED_FROM_FUTURE;
	if (record->wall_us < wall - LEARNED_AGE_MAX)
		return GB_LEARNED_TOO_OLD;
	*age = record->wall_us < wall ? wall - record->wall_us : 0;
	return GB_LEARNED_USABLE;
}

static int
worker_compare(const void *a, const void *b)
{
	const gb_learned_worker *x = a;
	const gb_learned_worker *y = b;

	return (x->hash > y->hash) - (x->hash < y->hash);
}

void
learned_record_sort(gb_learned *record)
{
	if (record->workers.workers_len > 1)
		qsort(record->workers.workers_val, record->workers.workers_len,
		    sizeof(gb_learned_worker), worker_compare);
}

gb_learned_worker *
learned_record_worker(const gb_learned *record, uint32_t hash)
{
	const gb_learned_worker key = {hash, 0, 0};

	if (record->workers.workers_len == 0)
		return NULL;
	return bsearch(&key, record->workers.workers_val,
	    record->workers.workers_len, sizeof(key), worker_compare);
}

static bool
worker_differs(const gb_learned *stored, const gb_learned_worker *next)
{
	const gb_learned_worker *old =
	    learned_record_worker(stored, next->hash);

	return old == NULL ||
	       abs(next->log_milli - old->log_milli) > RECORD_LOG_CHANGE ||
	       next->deviation_milli * 4 <
		   old->deviation_milli * RECORD_DEVIATION_QUARTERS;
}

static bool
queues_differ(const gb_learned *stored, const gb_learned *next)
{
	u_int i;

	if (stored->queues.queues_len != next->queues.queues_len)
		return true;
	for (i = 0; i < next->queues.queues_len; i++) {
		const gb_learned_queue *a = &stored->queues.queues_val[i];
		const gb_learned_queue *b = &next->queues.queues_val[i];

		if (strcmp(a->name, b->name) != 0 ||
		    a->times.times_len != b->times.times_len ||
		    memcmp(a->times.times_val, b->times.times_val,
			b->times.times_len) != 0)
			return true;
	}
	return false;
}

static bool
orgs_differ(const gb_learned *stored, const gb_learned *next)
{
	u_int i;

	if (stored->orgs.orgs_len != next->orgs.orgs_len)
		return true;
	for (i = 0; i < next->orgs.orgs_len; i++) {
		const gb_learned_org *a = &stored->orgs.orgs_val[i];
		const gb_learned_org *b = &next->orgs.orgs_val[i];
		uint64_t most = a->use > b->use ? a->use : b->use;
		uint64_t least = a->use > b->use ? b->use : a->use;

		if (strcmp(a->name, b->name) != 0 ||
		    most - least > most / RECORD_USE_PARTS)
			return true;
	}
	return false;
}

bool
learned_record_differs(
    const gb_learned *stored, const gb_learned *next, gb_time age)
{
	u_int i;

	if (next->workers.workers_len + next->queues.queues_len +
		next->orgs.orgs_len ==
	    0)
		return false;
	if (age >= RECORD_REFRESH || orgs_differ(stored, next))
		return true;
	if (age >= RECORD_QUEUES_INTERVAL && queues_differ(stored, next))
		return true;
	for (i = 0; i < next->workers.workers_len; i++) {
		if (worker_differs(stored, &next->workers.workers_val[i]))
			return true;
	}
	return false;
}
