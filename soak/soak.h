/**
 * @file soak.h
 * Randomized soak test: runs the real programs as processes on loopback,
 * injects faults from outside, and checks the scheduler's guarantees by what
 * callers and workers observe.
 */
#ifndef SOAK_SOAK_H
#define SOAK_SOAK_H

#include <sys/types.h>

#include "platform.h"

/* Proxy ------------------------------------------------------------------- */

/** What a proxy does with the data of its connections. */
enum proxy_mode {
	PROXY_PASS,	/**< forward it at once */
	PROXY_DELAY,	/**< forward it after a delay */
	PROXY_CUT_TO,	/**< hold back data to the server */
	PROXY_CUT_FROM, /**< hold back data from the server */
	PROXY_CUT,	/**< hold back data in both directions */
	PROXY_REFUSE	/**< reset new connections */
};

struct proxy;

/** Create a proxy that listens on a loopback port and connects to another. */
struct proxy *proxy_new(uv_loop_t *, unsigned int port, unsigned int target);
/** Set the mode.  The delay in milliseconds applies to PROXY_DELAY. */
void proxy_set(struct proxy *, enum proxy_mode, unsigned int delay_ms);
/** Reset all open connections. */
void proxy_reset(struct proxy *);
/** Stop forwarding on open connections for good; new ones work. */
void proxy_silence(struct proxy *);
/** Declare that the proxy's server is a node.  Connections from other nodes
 * then follow the cuts between nodes, see reach.c. */
void proxy_set_node(struct proxy *, unsigned int node);
/** Forward due data of all proxies; call it at each tick. */
void proxy_tick(void);

/* Processes --------------------------------------------------------------- */

/** Start a program whose output is appended to a file.  It is killed when this
 * process ends.  Returns its process id. */
pid_t process_start(char *const argv[], const char *log);
/** Whether a child process has ended; collects its status. */
bool process_ended(pid_t);

/* reach.c */

/** The nodes' ports and source addresses leave space for this many. */
#define SOAK_NODES_MAX 100

/** Cut off the data from one node to another.  Cuts are counted, so that they
 * may overlap. */
void reach_cut(unsigned int from, unsigned int to);
/** Undo one cut. */
void reach_restore(unsigned int from, unsigned int to);
/** Whether the data from one node to another is cut off. */
bool reach_is_cut(unsigned int from, unsigned int to);
/** Whether a node is cut off from at least half of the others, in at least one
 * direction. */
bool reach_is_isolated(unsigned int node);

/* State of a run ---------------------------------------------------------- */

struct soak_node {
	unsigned int number;
	pid_t pid;	    /**< 0: not running */
	gb_time started;    /**< start time, identifies the process */
	gb_time restart_at; /**< 0: none planned */
	gb_time stopping;   /**< when it was asked to stop, 0: not asked */
	bool paused;	    /**< by SIGSTOP */
	gb_time fault_at;   /**< when a fault last affected it */
	unsigned int config_seen; /**< newest version this process applied */
	/** HTTP address for callers, through the proxy and without it. */
	char front[GB_NAME_MAX + 1];
	char direct[GB_NAME_MAX + 1];
	struct proxy *front_proxy;
	struct proxy *peer_proxy;
	struct proxy *store_proxy;
	struct proxy *advice_proxy;
};

struct soak {
	uv_loop_t *loop;
	struct plat_http *http; /**< of callers and of the operator */
	uint64_t seed;
	unsigned int seconds;
	unsigned int node_count;
	unsigned int worker_count;
	unsigned int rate;  /**< jobs per second */
	unsigned int port;  /**< first of the ports used */
	unsigned int kinds; /**< draw only the first kinds, 0: all */
	bool planned_only;  /**< draw only planned work */
	char *only;	    /**< names of the kinds to draw, or null */
	bool storm;	    /**< faults of all nodes at once, repeatedly */
	const char *build;  /**< directory of the programs */
	char dir[256];	    /**< directory of settings and logs */
	char control[GB_NAME_MAX + 1]; /**< the emulator's control address */
	pid_t emulator;
	struct soak_node *nodes;
	struct proxy **worker_proxies;
	gb_time began;
	unsigned int faults_active; /**< unused */
	gb_time unplanned;     /**< when an unplanned fault was last active */
	gb_time store_rejects; /**< when the store last rejected some nodes */
	unsigned int violations;
	unsigned int cancel_percent; /**< jobs that their callers cancel */
};

extern struct soak soak;

/** Time in microseconds since the soak began. */
gb_time soak_now(void);
/** Draw a number below a bound, from the seed. */
unsigned int soak_random(unsigned int below);
/** Kill every process of the run, then exit. */
void soak_end(int status) __attribute__((noreturn));
/** Count and print a violation of a guarantee. */
void soak_violation(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/** Post to a path of the emulator's control address, ignoring the answer. */
void soak_control(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/** Callback for an answer that is ignored. */
void soak_answer_ignore(void *, const struct plat_http_res *);

/* node.c */
void node_start(struct soak_node *);
/** Send a signal to a node, if it runs. */
void node_signal(struct soak_node *, int signum);
/** Detect processes that have ended, and start those that are due. */
void node_tick(void);

/* fault.c */
/** Draw the faults of the run from the seed. */
void fault_plan(void);
/** Begin and end faults that are due. */
void fault_tick(void);
/** Whether some jobs crash their workers in this run. */
bool fault_crashes(void);
/** End all faults, and reduce the capacity of some workers for the rest of the
 * run. */
void fault_end_all(void);
/** Print counts of the injected faults, in one line. */
void fault_report(void);

/* takeover.c */

/** Why others may take over the pool from a node, by increasing severity. */
enum soak_cause {
	CAUSE_NONE,
	CAUSE_LASTING, /**< messages with others are cut, or it is paused */
	CAUSE_DOWN,    /**< it was stopped or killed, or lost the store */
	CAUSE_COUNT
};

/** Record that a node has a cause for a takeover now. */
void takeover_cause_add(unsigned int node, enum soak_cause);
/** Record that a fault is active anywhere now. */
void takeover_fault_add(void);
/** Number of the node that claimed the pool last; 0 before the first claim. */
unsigned int takeover_owner(void);
/** Read new claims from the nodes' logs, and record which nodes are isolated.
 */
void takeover_tick(void);
/** Check that all takeovers of the run had a cause.  Returns their number. */
unsigned int takeover_check(void);

/* operator.c */
/** Write the next version of the configuration. */
void operator_change(void);
/** Ask nodes for routes and with keys that are new or removed, and check the
 * answers. */
void operator_tick(void);
/** Print how long versions took to be in force, in one line. */
void operator_report(void);
/** Organisation of a caller. */
const char *operator_org(unsigned int number);
/** HTTP header with a key of a caller's organisation that is in both of the two
 * newest versions of the configuration.  Valid until the next call. */
const char *operator_key(unsigned int number);
/** Report that a node rejected a call, sent at a time, because of such a key.
 */
void operator_key_refused(const struct soak_node *, gb_time sent);

/* caller.c */
/** Submit new jobs if `submit` is set, and make the next calls for all jobs. */
void caller_tick(bool submit);
/** Submit jobs that must all be accepted and finish, once no fault is active.
 */
void caller_final(void);
/** Whether no job is waiting for acceptance, for its end, or for its tasks to
 * stop after a cancel. */
bool caller_settled(void);
/** Compare the answers with what the workers observed, then call `done`. */
void caller_audit(void (*done)(void));
/** Print counts of the jobs, in one line. */
void caller_report(void);

#endif
