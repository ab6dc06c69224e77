/**
 * @file platform.h
 * Stand-in for the users' platform on loopback: the metadata store, workers and
 * the advice service, as PROTOCOL.md describes them.  Workers do what the text
 * in `Spec` says: words such as `ms=1000` (work), `gang=8` (members).
 */
#ifndef REVIEW_PLATFORM_H
#define REVIEW_PLATFORM_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "connection/http.h"

/** Interval at which time passes for workers and waiting calls. */
#define CELL_TICK_MS 5

struct cell_options {
	unsigned int port;	  /**< of the store; others follow it */
	unsigned int nodes;	  /**< each has its own way to the advice */
	unsigned int workers;	  /**< that are up at the start */
	unsigned int cpu;	  /**< thousandths of a core of a worker */
	unsigned int approved;	  /**< workers that the policy allows */
	unsigned int decide_ms;	  /**< of a call for advice */
	unsigned int per_item_ms; /**< of each worker in the call */
	unsigned int valid_ms;	  /**< of a ticket */
	unsigned int save_bytes;  /**< length of a checkpoint */
	unsigned int save_ms;	  /**< work between two checkpoints */
	unsigned int read_ms;	  /**< of a read of the store */
	unsigned int transaction_ms;
	const char *record;
};

extern struct cell_options cell;
extern uv_loop_t *cell_loop;

/** Milliseconds since the stand-in started. */
int64_t cell_now(void);
/** Write a line to the record. */
void cell_record(const char *format, ...) __attribute__((format(printf, 1, 2)));
/** Answer a call after a time.  Takes ownership of the message. */
void cell_answer(
    struct http_call *, unsigned int status, json_t *, unsigned int after_ms);
/** Value of a field of a query, decoded; empty if it is missing. */
void cell_query(const struct http_call *, const char *name, char *, size_t);
/** Number that follows a word in a text. */
unsigned long cell_word(
    const char *text, const char *word, unsigned long fallback);
/** Listen at port `offset` after the first one. */
bool cell_listen(unsigned int offset, http_handler, void *);

/* store.c */
void store_serve(void *, struct http_call *);
/** Write or remove (null) a row with an empty part. */
void store_put(const char *table, const char *key, json_t *value);
void store_tick(void);

/* worker.c */
bool workers_start(void);
void workers_tick(void);
/** Carry out an order of the control address: crash, drain, stay. */
bool worker_control(unsigned int number, const char *what);
unsigned int workers_running(void);
/** Index of the worker that is up with this id, -1: none. */
int worker_index(const char *id);
/** Whether a ticket is valid for a step and a worker now. */
bool advice_ticket_valid(const char *ticket, const char *step, const char *id);

/** Cut the workers before this number off together with the node whose orders
 * they took last, 0: the cut is over.  Until then they hear that node alone,
 * and it reaches no other worker. */
void workers_cut(unsigned int count);

/* link.c */
bool links_start(void);
/** Cut a node off from the other nodes, whose connections are refused or stay
 * silent, and from the store, which is silent. */
bool link_cut(unsigned int node, bool is_cut, bool refuse);
bool link_is_cut(unsigned int node);

/* advice.c */
bool advice_start(void);
/** Calls that are being decided: number of the calling node, names, approved.
 */
json_t *advice_calls(void);
void advice_tick(void);

#endif
