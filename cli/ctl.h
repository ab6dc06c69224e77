/**
 * @file ctl.h
 * Options, answers and functions shared by the files of gooseberryctl.
 */
#ifndef GB_CTL_H
#define GB_CTL_H

#include <jansson.h>

#include "gooseberry.h"

/** Exit codes, documented in gooseberryctl(1). */
enum ctl_exit {
	CTL_OK = 0,
	CTL_NOT_RUN = 1,
	CTL_USAGE = 2,
	CTL_MAY_HAVE_RUN = 3,
	CTL_CONFLICT = 4,
	CTL_UNREACHABLE = 5,
	CTL_INVALID = 6
};

/** Maximum number of arguments of a command; trace takes a log file of each
 * instance. */
#define CTL_ARGS_MAX 64

/** Command, arguments and options of a call of gooseberryctl. */
struct ctl {
	const char *server;	/**< URL of an entry */
	const char *token;	/**< bearer token */
	const char *team;	/**< team to act for, or null */
	const char *dcs;	/**< data centres that check knows, or null */
	const char *as;		/**< kind of file that check reads, or null */
	const char *trace_file; /**< file of spans, or null */
	bool json;		/**< print the answer as JSON */
	bool watch;		/**< repeat every second */
	bool quiet;		/**< print no message for status 404 */
	unsigned long deadline_ms; /**< for each call */
	unsigned int tasks;	   /**< of a job to submit */
	unsigned int shards;	   /**< of the cell, for home */
	const char *service;	   /**< document of a job to submit, or null */
	const char *verb;	   /**< command */
	const char *arg[CTL_ARGS_MAX];
	unsigned int arg_count;
};

/** Answer of an entry. */
struct ctl_answer {
	long status;	  /**< HTTP status */
	char verdict[24]; /**< gooseberry-verdict, may be empty */
	char etag[32];
	char job[64]; /**< gooseberry-job */
	struct gb_text body;
};

/** Call an entry.  Returns CTL_OK when the status is 2xx; otherwise prints the
 * problem to standard error and returns the exit code for it.  The header line
 * and the body may be null.  The caller releases the answer with
 * ctl_answer_clear in both cases. */
enum ctl_exit ctl_call(const struct ctl *, const char *method, const char *path,
    const char *header, const char *body, struct ctl_answer *);
void ctl_answer_clear(struct ctl_answer *);
/** Read a file as text, at most its first MiB.  The caller frees the text; null
 * after an error message. */
char *ctl_file_read(const char *file);

/** Print a list of objects as a table; columns ends with null. */
void ctl_show_table(const json_t *list, const char *const *columns);
/** Print the spans of a trace as a tree. */
enum ctl_exit ctl_show_trace(const char *file, const char *id);
/** Print the events of a flow from log files, or from standard input when
 * there are none. */
enum ctl_exit ctl_trace_flow(
    const char *flow, const char *const *files, unsigned int count);
/** Read the organisations from the text of an instance's metrics, as a list of
 * objects that the caller releases. */
json_t *ctl_orgs_read(const char *metrics);
/** Print the organisations of the pool.  The server must be the address at
 * which the pool's owner serves its metrics. */
enum ctl_exit ctl_show_orgs(const struct ctl *);
/** Check a settings file or a document without a server, and print the
 * result. */
enum ctl_exit ctl_check(const struct ctl *, const char *file);
/** Print the lines that are in only one of two texts. */
void ctl_show_diff(const char *before, const char *after);

#endif
