/**
 * @file emulator.h
 * State of the emulator of the users' platform: the model of world.h behind
 * the HTTP that the platform speaks.
 */
#ifndef STANDIN_EMULATOR_H
#define STANDIN_EMULATOR_H

#include <jansson.h>
#include <uv.h>

#include "connection/http.h"
#include "platform.h"
#include "world.h"

/** Calls that wait (for an end, or for a change) are looked at this often. */
#define EMU_TICK_MS 5

/** How the tables answer. */
enum emu_store_mode { EMU_STORE_SERVES, EMU_STORE_BUSY, EMU_STORE_SILENT };

/** Faults in force. */
struct emu_faults {
	enum emu_store_mode store;
	unsigned int store_partitions; /**< parts that are out, as bits */
	unsigned int store_slow_ms;    /**< added to each answer */
	unsigned int store_lost;  /**< percent of writes: done, no answer */
	unsigned int store_late;  /**< percent of writes: done 1 to 6 s later */
	unsigned int orders_lost; /**< percent of orders: done, no answer */
	unsigned int orders_late; /**< percent: done 2 to 6 s later */
};

/** Ways in which an entry of another writer is no good. */
#define EMU_SPOILED_WAYS 5

/** A worker as the platform sees it. */
struct emu_worker {
	unsigned int number;
	struct http_server *server;
	bool down;
	gb_time down_at;
	/** Its entry is written by somebody else: which way it is no good. */
	unsigned int spoiled;
	char listed[GB_NAME_MAX + 1]; /**< id under which it is listed */
	char *entry;		      /**< as it is listed, null: it is not */
};

struct emulator {
	uv_loop_t *loop;
	uv_timer_t tick;
	gb_time began;
	uint64_t seed;
	struct world *world;
	struct emu_worker *workers;
	unsigned int worker_count;
	unsigned int approved_percent;
	gb_time ticket_valid;
	unsigned int decide_ms;
	unsigned int listed_port; /**< port of the first worker in the list */
	char service[GB_NAME_MAX + 1];
	struct emu_faults faults;
};

/** Time of the model. */
gb_time emu_now(const struct emulator *);
/** Whether something happens that happens in this share of cases. */
bool emu_chance(struct emulator *, unsigned int percent);
/** Answer a call, which takes the message over; after some time. */
void emu_answer(struct http_call *, unsigned int status, json_t *);
void emu_answer_later(struct emulator *, struct http_call *,
    unsigned int status, json_t *, unsigned int ms);
/** Run a function later. */
void emu_later(
    struct emulator *, unsigned int ms, void (*run)(void *), void *data);
/** Value of a field of the query, decoded; empty when it is not there. */
void emu_query(
    const struct http_call *, const char *name, char *out, size_t size);

/* emulator_store.c */
void emu_store_serve(void *, struct http_call *);
/** Write a row of a table that the system may only read; without a value it is
 * removed. */
void emu_store_put(
    struct emulator *, const char *table, const char *key, const char *value);
/** Forget what was changed before now. */
void emu_store_compact(struct emulator *);
/** Answer calls that wait for changes. */
void emu_store_tick(struct emulator *);

/* emulator_worker.c */
void emu_worker_serve(void *, struct http_call *);
void emu_worker_tick(struct emulator *);
/** Keep the list of workers up to date. */
void emu_worker_list(struct emulator *);
/** All entries lapse; those that live are listed again. */
void emu_worker_lapse(struct emulator *);
void emu_advice_serve(void *, struct http_call *);

extern struct emulator emulator;

#endif
