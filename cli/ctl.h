/**
 * @file ctl.h
 * What the parts of gooseberryctl share.
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

/** Arguments of a command: the log files of all instances at the most. */
#define CTL_ARGS_MOST 64

struct ctl {
	const char *server;
	const char *token;
	const char *team;
	const char *dcs;
	const char *as;
	const char *trace_file;
	bool json;
	bool watch;
	bool quiet; /**< say nothing of what is missing */
	unsigned long deadline_ms;
	unsigned int tasks;
	unsigned int shards;
	const char *service;
	const char *verb;
	const char *arg[CTL_ARGS_MOST];
	unsigned int arg_count;
};

/** Answer of an entry. */
struct ctl_answer {
	long status;
	char verdict[24];
	char etag[32];
	char job[64];
	struct gb_text body;
};

/** Call an entry; CTL_OK when its status is 2xx, and otherwise the problem is
 * told on standard error. */
enum ctl_exit ctl_call(const struct ctl *, const char *method, const char *path,
    const char *header, const char *body, struct ctl_answer *);
void ctl_answer_clear(struct ctl_answer *);
/** Whole text of a file, or null after a message. */
char *ctl_file_read(const char *file);

/** Print a list of objects as a table. */
void ctl_show_table(const json_t *list, const char *const *columns);
/** Print one trace as a tree. */
enum ctl_exit ctl_show_trace(const char *file, const char *id);
/** Print the life of a flow out of log files, or standard input. */
enum ctl_exit ctl_trace_flow(
    const char *flow, const char *const *files, unsigned int count);
/** Organisations out of the text of an instance's counters, as a list. */
json_t *ctl_orgs_read(const char *metrics);
/** Print the organisations that the instance at the server's address, that of
 * its counters, sees as the pool's owner. */
enum ctl_exit ctl_show_orgs(const struct ctl *);
/** Check a settings file or a document without a server. */
enum ctl_exit ctl_check(const struct ctl *, const char *file);
/** Lines that differ between two texts. */
void ctl_show_diff(const char *before, const char *after);

#endif
