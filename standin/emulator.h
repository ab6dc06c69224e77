/**
 * @file emulator.h
 * State of the emulator of the users' platform, which serves the model of
 * world.h with the platform's HTTP API.
 */
#ifndef STANDIN_EMULATOR_H
#define STANDIN_EMULATOR_H

#include <jansson.h>
#include <uv.h>

#include "connection/http.h"
#include "platform.h"
#include "world.h"

/** Interval of the model's ticks, and of checks whether calls that wait for an
 * ended run or for a change of a table can be answered. */
#define EMU_TICK_MS 5

/** How the table service answers: normally, with 503, or not at all. */
enum emu_store_mode { EMU_STORE_SERVES, EMU_STORE_BUSY, EMU_STORE_SILENT };

/** Injected faults that are active. */
struct emu_faults {
	enum emu_store_mode store;
	unsigned int store_partitions; /**< bit set of unavailable partitions */
	unsigned int store_slow_ms;    /**< delay of each answer */
	unsigned int store_lost; /**< percent of writes applied, not answered */
	unsigned int store_late; /**< percent of writes applied 1 to 6 s late */
	unsigned int orders_lost; /**< percent of orders done, not answered */
	unsigned int orders_late; /**< percent of orders done 2 to 6 s late */
};

/** Number of ways in which an entry in the list of workers can be invalid. */
#define EMU_ENTRY_ERRORS 5

/** A worker on the platform's side. */
struct emu_worker {
	unsigned int number;
	struct http_server *server;
	bool down;
	gb_time down_at;
	/** Error in its entry, 1 to EMU_ENTRY_ERRORS, 0: the entry is valid. */
	unsigned int entry_error;
	char listed[GB_NAME_MAX + 1]; /**< id under which it is listed */
	char *entry;		      /**< listed entry, null: not listed */
};

struct emulator {
	uv_loop_t *loop;
	uv_timer_t tick;
	gb_time began;
	uint64_t seed;
	struct world *world;
	struct emu_worker *workers;
	unsigned int worker_count;
	unsigned int approved_percent; /**< workers that may run a step */
	gb_time ticket_valid;	       /**< validity of a ticket */
	unsigned int decide_ms;	       /**< delay of an advice answer */
	unsigned int listed_port; /**< port of the first worker in the list */
	char service[GB_NAME_MAX + 1]; /**< service of all workers */
	struct emu_faults faults;
};

/** Time of the model in microseconds since the emulator started. */
gb_time emu_now(const struct emulator *);
/** Draw whether something happens that has this probability in percent. */
bool emu_chance(struct emulator *, unsigned int percent);
/** Answer a call.  Takes ownership of the message. */
void emu_answer(struct http_call *, unsigned int status, json_t *);
/** Answer a call after a delay in milliseconds.  Takes ownership of the
 * message. */
void emu_answer_later(struct emulator *, struct http_call *,
    unsigned int status, json_t *, unsigned int ms);
/** Call a function after a delay in milliseconds. */
void emu_later(
    struct emulator *, unsigned int ms, void (*run)(void *), void *data);
/** Get the value of a field of the query; empty if the field is missing. */
void emu_query(
    const struct http_call *, const char *name, char *out, size_t size);

/* emulator_store.c */
/** Serve the table service; the data is the emulator. */
void emu_store_serve(void *, struct http_call *);
/** Write a row of a table that the scheduler only reads.  A null value removes
 * the row. */
void emu_store_put(
    struct emulator *, const char *table, const char *key, const char *value);
/** Drop the history of changes: calls that follow a table from before now are
 * answered with 410. */
void emu_store_compact(struct emulator *);
/** Answer calls that follow a table and have changes, or have waited long
 * enough. */
void emu_store_tick(struct emulator *);

/* emulator_worker.c */
/** Serve orders and heartbeats of a worker; the data is the emu_worker. */
void emu_worker_serve(void *, struct http_call *);
/** Answer heartbeats that wait and have something to report, or have waited
 * long enough. */
void emu_worker_tick(struct emulator *);
/** Update the list of workers, unless the table service is busy or silent. */
void emu_worker_list(struct emulator *);
/** Remove all entries from the list.  The next update lists workers that are up
 * again. */
void emu_worker_entries_expire(struct emulator *);
/** Serve the advice service; the data is the emulator. */
void emu_advice_serve(void *, struct http_call *);

extern struct emulator emulator;

#endif
