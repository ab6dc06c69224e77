/**
 * @file event.c
 * Structured log: one JSON object per line, written to a descriptor without
 * blocking.  Lines beyond the budget, and lines for which the buffer has no
 * space because the reader is slow, are dropped and counted; the next line that
 * is written has the count.
 */
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>

#include "pool.h"

/** Size of the buffer for lines not yet written, in bytes; when it is full,
 * lines are dropped. */
#define EVENTS_BUFFER_BYTES (128 * 1024)
/** Number of buffered bytes at which they are written. */
#define EVENTS_FLUSH_BYTES 8192

struct gb_events {
	char *buffer;
	size_t len;
	int fd;
	uint32_t budget; /**< normal lines per second */
	uint32_t budget_left;
	/** Clock second to which the rest of the budget belongs. */
	gb_time second;
	uint64_t dropped;
	uint64_t dropped_logged; /**< dropped, as the last line reported it */
	gb_time flushed;	 /**< when buffered lines were last written */
	const char *node;
	const gb_time *clock; /**< null: the clocks of the system */
};

struct gb_events *
gb_events_new(
    struct uv_loop_s *loop, int fd, uint32_t lines_per_s, const char *node)
{
	struct gb_events *events = gb_calloc(1, sizeof(*events));
	int flags = fcntl(fd, F_GETFL);

	(void)loop;
	if (flags >= 0)
		fcntl(fd, F_SETFL, flags | O_NONBLOCK);
	events->buffer = gb_calloc(1, EVENTS_BUFFER_BYTES);
	events->fd = fd;
	events->budget = lines_per_s;
	events->node = node;
	return events;
}

static void
events_flush(struct gb_events *events)
{
	ssize_t n;

	while (events->len > 0) {
		n = write(events->fd, events->buffer, events->len);
		if (n <= 0)
			return;
		events->len -= (size_t)n;
		memmove(events->buffer, events->buffer + n, events->len);
	}
}

void
gb_events_free(struct gb_events *events)
{
	if (events == NULL)
		return;
	events_flush(events);
	free(events->buffer);
	free(events);
}

void
gb_events_clock(struct gb_events *events, const gb_time *clock)
{
	events->clock = clock;
}

uint64_t
gb_events_dropped(const struct gb_events *events)
{
	return events->dropped;
}

/** Whether the budget allows a line. */
static bool
events_admit(struct gb_events *events, enum gb_event_class class, gb_time now)
{
	if (now / GB_SEC != events->second) {
		events->second = now / GB_SEC;
		events->budget_left = events->budget;
	}
	if (class == GB_EVENT_ALWAYS)
		return true;
	if (events->budget_left == 0) {
		events->dropped++;
		return false;
	}
	events->budget_left--;
	return true;
}

/** Time of day, by which lines of several instances are ordered. */
static gb_time
events_wall(const struct gb_events *events)
{
	return events->clock == NULL ? gb_clock_wall() : *events->clock;
}

void
gb_event(struct gb_events *events, enum gb_event_class class, const char *event,
    const char *fmt, ...)
{
	gb_time now;
	json_t *line;
	size_t space;
	size_t n;
	va_list ap;

	if (events == NULL)
		return;
	now = events->clock == NULL ? gb_clock_boot() : *events->clock;
	if (!events_admit(events, class, now))
		return;
	va_start(ap, fmt);
	line = json_vpack_ex(NULL, 0, fmt, ap);
	va_end(ap);
	if (line == NULL)
		line = json_pack("{s:s}", "error", "the line's fields are bad");
	json_object_set_new(line, "event", json_string(event));
	json_object_set_new(line, "node", json_string(events->node));
	json_object_set_new(line, "t_ms", json_integer(now / GB_MSEC));
	json_object_set_new(
	    line, "at_ms", json_integer(events_wall(events) / GB_MSEC));
	if (events->dropped > events->dropped_logged)
		json_object_set_new(line, "dropped",
		    json_integer((
			json_int_t)(events->dropped - events->dropped_logged)));
	space = EVENTS_BUFFER_BYTES - events->len;
	n = json_dumpb(line, events->buffer + events->len, space, JSON_COMPACT);
	json_decref(line);
	if (n + 1 > space) {
		events->dropped++;
	} else {
		events->dropped_logged = events->dropped;
		events->len += n;
		events->buffer[events->len++] = '\n';
	}
	if (class == GB_EVENT_ALWAYS || events->len >= EVENTS_FLUSH_BYTES ||
	    now - events->flushed >= GB_SEC) {
		events->flushed = now;
		events_flush(events);
	}
}
