/**
 * @file learned.h
 * What the owner has learned about workers, queues and organisations, kept in
 * the store for the next owner: instances have no storage that outlasts them.
 */
#ifndef GB_POOL_LEARNED_H
#define GB_POOL_LEARNED_H

#include "pool.h"

struct gb_pool;
struct pool_call;

/** Link and store must be this quick for reading and writing learned state: it
 * waits for the link as starts do, and a store at four times its usual time of
 * 12 ms lets callers wait long enough. */
#define LEARNED_QUEUED_MAX (40 * GB_MSEC)
#define LEARNED_STORE_SLOW (50 * GB_MSEC)
/** Age from which a row is ignored: by then disturbances of workers have ended
 * and many workers were replaced. */
#define LEARNED_AGE_MAX (60 * GB_SEC)
/** Deviation of the logarithm of a worker's slowness before anything is
 * learned, in thousandths: the speeds of a deployment differ by a factor of
 * 2.7, whose logarithm is 1. */
#define LEARNED_PRIOR_DEVIATION_MILLI 500

enum learned_read_state {
	LEARNED_READ_PENDING,
	LEARNED_READ_SENT,
	LEARNED_READ_DONE
};

/** State of the row of one partition. */
struct learned_partition {
	enum learned_read_state read;
	gb_time read_at;  /**< earliest time of the next request, then time of
			     the answer */
	gb_learned found; /**< the row that was read; its workers are applied
			     once they answer */
	gb_time found_at; /**< when that row was written, 0: none usable */
	bool due;	  /**< to be written with the owner's row */
	bool in_flight;	  /**< is being written */
	gb_learned sent;  /**< the row being written */
	gb_time sent_at;
	gb_learned stored; /**< the row as this owner last stored it */
	gb_time stored_at; /**< when that was sent, 0: never */
};

/** What is known of a worker, by its handle. */
struct learned_worker {
	bool known; /**< the hash is that of its current incarnation */
	bool looked_up;
	int64_t incarnation;
	uint32_t hash;
};

struct pool_learned {
	gb_time began_at;
	struct learned_partition partitions[GB_POOL_PARTITIONS];
	struct learned_worker *workers;
	uint32_t worker_count;
	gb_time match_at; /**< when to look for known workers next */
	uint32_t turn;	  /**< partition to be written next */
	gb_time due_at;	  /**< when its row became due */
	gb_time check_at; /**< when to check what is to be written */
	gb_time paid_at;  /**< what was written has used up the bandwidth until
			     then */
	bool logged;
	uint32_t rows_read;
	uint32_t workers_read;
	uint32_t workers_applied;
	uint32_t ignored[GB_LEARNED_ERRORS];
};

/* learned.c */
/** Does what is due while this node owns the pool. */
void pool_learned_tick(struct gb_pool *);
/** Drops all state, as the ownership ends. */
void pool_learned_reset(struct gb_pool *);
/** Fills in what was learned for a partition, in at most `max` encoded bytes;
 * release it with xdr_free. */
void learned_gather(
    struct gb_pool *, uint32_t partition, size_t max, gb_learned *);
/** Merges the queues and organisations of a row with what this owner knows. */
void learned_apply(struct gb_pool *, const gb_learned *, gb_time age);
/** Notes workers that have answered, and merges what was read of them. */
void learned_workers_match(struct gb_pool *);

/* learned_record.c */
/** Decodes a row into a zeroed record, to be released with xdr_free if it is
 * usable. */
enum gb_learned_error learned_record_decode(const gb_body *, gb_learned *);
/** Fills in the age of a record; whether it may be used by an owner of this
 * epoch at this wall-clock time. */
enum gb_learned_error learned_record_age(
    const gb_learned *, gb_time wall, uint64_t epoch, gb_time *age);
/** Sorts the workers by their hash. */
void learned_record_sort(gb_learned *);
/** Finds a worker in a sorted record, or null. */
gb_learned_worker *learned_record_worker(const gb_learned *, uint32_t hash);
/** Whether a record differs enough from the stored one of this age that it is
 * to be written.  Both are sorted. */
bool learned_record_differs(
    const gb_learned *stored, const gb_learned *next, gb_time age);

/* learned_read.c */
/** Requests the rows of attached partitions and logs once what was found. */
void learned_read_tick(struct gb_pool *);
/** Handles the answer to such a request. */
void pool_learned_read_done(struct gb_pool *, const struct pool_call *,
    const struct gb_pool_read_res *);

/* learned_write.c */
/** Decides which row is to be written next. */
void learned_write_tick(struct gb_pool *);
/** Whether the row of a partition is to be written with the owner's row. */
bool pool_learned_due(const struct gb_pool *, uint32_t partition);
/** Fills in the row of a partition if it may be written now, in at most `max`
 * bytes; the caller frees the body. */
bool pool_learned_body(
    struct gb_pool *, uint32_t partition, size_t max, gb_body *);
/** Handles the result of the last write of a partition, which needn't have
 * included the row. */
void pool_learned_written(struct gb_pool *, uint32_t partition, bool stored);

#endif
