/**
 * @file logger.c
 * Log lines on standard error, with the syslog priority in front.
 */
#include <stdio.h>
#include <string.h>

#include "gooseberry.h"

/** A line that repeats the last one within this time is only counted. */
#define REPEAT_WINDOW GB_SEC
/** Modules whose repeats are counted separately.  Any further ones share the
 * entry of the first. */
#define LAST_LINES 16

/** Last line of a module, to count its repeats. */
struct last_line {
	const char *module;
	char text[256];
	gb_time since;
	unsigned int repeats; /**< not printed yet */
};

static enum gb_level logger_level = GB_LOG_INFO;
static struct last_line logger_last[LAST_LINES];

/** Last line of a module, which is added if it is new. */
static struct last_line *
last_line_find(const char *module)
{
	size_t i;

	for (i = 0; i < LAST_LINES; i++) {
		if (logger_last[i].module == NULL)
			logger_last[i].module = module;
		if (strcmp(logger_last[i].module, module) == 0)
			return &logger_last[i];
	}
	return &logger_last[0];
}

void
gb_logger_level(enum gb_level level)
{
	logger_level = level;
}

void
gb_logger_line(
    void *data, enum gb_level level, const char *module, const char *text)
{
	struct last_line *last = last_line_find(module);
	gb_time now = gb_clock_boot();

	(void)data;
	if (level > logger_level)
		return;
	if (strncmp(last->text, text, sizeof(last->text) - 1) == 0 &&
	    now - last->since < REPEAT_WINDOW) {
		last->repeats++;
		return;
	}
	if (last->repeats > 0) {
		fprintf(stderr, "<%d>%s: Last line repeated %u times.\n",
		    (int)level, module, last->repeats);
	}
	snprintf(last->text, sizeof(last->text), "%s", text);
	last->since = now;
	last->repeats = 0;
	fprintf(stderr, "<%d>%s: %s\n", (int)level, module, text);
}
