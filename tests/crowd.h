/**
 * @file crowd.h
 * Crowds of callers that don't behave, against the programs as processes on
 * loopback.  A test checks that each process lives, that its memory and its
 * descriptors stay under a bound, and that it answers an ordinary request.
 */
#ifndef TESTS_CROWD_H
#define TESTS_CROWD_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

/** Memory in MiB and descriptors of the instances of most tests: small, so that
 * small crowds exceed them. */
#define CROWD_MEMORY_MB 64
#define CROWD_FILES 512
/** Memory in MiB and descriptors of the smallest instance of the platform. */
#define CROWD_MEMORY_SMALLEST_MB 160
#define CROWD_FILES_SMALLEST 4100
/** Longest body of a request that a node takes, in bytes. */
#define CROWD_BODY_MAX 262144
/** Path under which callers of a node submit flows. */
#define CROWD_QUEUE "/queue/"

/* Processes --------------------------------------------------------------- */

/** A program under test, which may use so much. */
struct crowd_process {
	const char *name; /**< for messages */
	pid_t pid;
	unsigned int memory_mb;
	unsigned int files;
};

/** Start a program of the build with arguments, of which the last one is null.
 * Its limit of descriptors is set to `files`, unless that is 0. */
void crowd_process_start(struct crowd_process *, const char *program,
    const char *const args[], unsigned int memory_mb, unsigned int files);
/** Kill the process and wait for it. */
void crowd_process_kill(struct crowd_process *);
/** Ask the process to stop, and wait until it has ended. */
void crowd_process_stop(struct crowd_process *);
/** Check that the process lives and stays within its memory and descriptors. */
void crowd_process_check(struct crowd_process *);

/** Kill all processes that this test has started: a teardown function. */
int crowd_teardown(void **state);

/** Port of this test run; each number is another port. */
unsigned int crowd_port(unsigned int number);
/** Write a settings file; returns its path, which is valid until the next
 * call. */
const char *crowd_settings(const char *name, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* Cell of nodes ----------------------------------------------------------- */

#define CROWD_NODES_MAX 3

/** The emulator of the platform and nodes. */
struct crowd_cell {
	struct crowd_process emulator;
	struct crowd_process nodes[CROWD_NODES_MAX];
	unsigned int front[CROWD_NODES_MAX];   /**< ports */
	unsigned int ready[CROWD_NODES_MAX];   /**< of health checks */
	unsigned int peers[CROWD_NODES_MAX];   /**< for other nodes */
	unsigned int metrics[CROWD_NODES_MAX]; /**< of metrics */
	unsigned int count;
};

/** Start an emulator and nodes, and wait until they answer.
 * @param settings further settings of each node, JSON that begins with a comma,
 * or empty
 */
void crowd_cell_start(struct crowd_cell *, unsigned int nodes,
    const char *settings, unsigned int memory_mb, unsigned int files);
/** Post to a path of the emulator's control address. */
void crowd_cell_control(const char *path, const char *body);
/** Wait until the nodes serve an ordinary request. */
void crowd_cell_wait(struct crowd_cell *);
/** Check all nodes, and that each answers an ordinary request. */
void crowd_cell_check(struct crowd_cell *);
/** Number of the node that owns the pool; waits until there is one. */
unsigned int crowd_cell_owner(struct crowd_cell *);

/* Requests ---------------------------------------------------------------- */

/** Send an ordinary request on a connection of its own, and return the status
 * of its answer, 0 if there is none.  The answer's body is copied if out is not
 * null. */
unsigned int crowd_request(unsigned int port, const char *method,
    const char *path, const char *headers, const char *body, char *out,
    size_t size);

/** Send a request twice on one connection, the second time after the answer to
 * the first; returns the status of the second answer, 0 if there is none. */
unsigned int crowd_request_twice(
    unsigned int port, const char *request, size_t len);
/** Make an ordinary call of the nodes' own protocol, of a procedure that does
 * not exist, on a connection of its own; whether it was answered. */
bool crowd_rpc_answered(unsigned int port);
/** Encode such a call. */
#define CROWD_RPC_CALL_BYTES 44
void crowd_rpc_call(char out[CROWD_RPC_CALL_BYTES]);

/* Crowds ------------------------------------------------------------------ */

/** What one connection of a crowd sends: it is called with each new connection,
 * in some thread, and gets its number. */
typedef void (*crowd_send)(int fd, unsigned int number, void *data);

/** Connections that stay open. */
struct crowd {
	unsigned int port;
	int *fds; /**< -1: closed */
	unsigned int count;
	crowd_send send;
	void *data;
};

/** Open connections, and send on each of them. */
void crowd_open(struct crowd *, unsigned int port, unsigned int count,
    crowd_send, void *data);
/** Open those again that the other side has closed; returns their number. */
unsigned int crowd_reopen(struct crowd *);
/** Close all connections. */
void crowd_close(struct crowd *);
/** Send bytes; false when the other side closes the connection, or reads
 * nothing for a while. */
bool crowd_write(int fd, const void *data, size_t len);
/** Largest record of the nodes' own protocol, in MiB. */
#define CROWD_RECORD_MAX_MB 16
/** What one connection sends on a port of the nodes' own protocol: a record
 * without its last byte, whose size in MiB is the data, or many calls whose
 * answers it does not read. */
void crowd_send_record(int fd, unsigned int number, void *data);
void crowd_send_calls(int fd, unsigned int number, void *data);

#endif
