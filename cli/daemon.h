/**
 * @file daemon.h
 * Common main function of the daemons.
 */
#ifndef GB_DAEMON_H
#define GB_DAEMON_H

#include <uv.h>

#include "gooseberry.h"

/** Description of a daemon. */
struct daemon {
	const char *program;
	const char *version;
	const char *doc;		/**< usage text */
	const struct gb_setting *table; /**< of its settings */
	size_t count;			/**< of settings in the table */
	void *settings;			/**< struct that is filled in */
	size_t settings_size;
	/** Starts; returns the port, or -1 with the error set. */
	int (*start)(uv_loop_t *, const struct gb_env *, struct gb_error *);
	/** Applies the settings that may change while running. */
	void (*reload)(const void *settings);
	/** Starts a planned stop; calls done at its end. */
	void (*stop)(void (*done)(void *), void *);
	/** File for spans; empty: standard error. */
	const char *(*trace_file)(void);
	/** Most verbose level of log lines in some settings. */
	int64_t (*log_level)(const void *settings);
};

/** Parse the command line, read the settings and run the daemon.  Returns the
 * exit code. */
int daemon_main(const struct daemon *, int, char **);

#endif
