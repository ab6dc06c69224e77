/**
 * @file crowd.c
 * Processes under test, and crowds of connections to them.
 */
#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cmocka.h>

#include "crowd.h"

/** First port of all runs, outside of the range of outgoing connections, and
 * the ports of one run. */
#define PORT_FIRST 27000
#define PORT_RUNS 40
#define PORT_RUN 100
/** Numbers of the ports of a cell. */
#define PORT_STORE 0
#define PORT_ADVICE 1
#define PORT_CONTROL 2
#define PORT_WORKER 3
#define PORT_NODE 20
#define PORT_NODE_EACH 4
#define WORKERS 4

/** Calls that one connection sends. */
#define CALLS 400000

/** Most arguments of a program. */
#define ARGS_MAX 14
/** Most processes of one test. */
#define PROCESSES_MAX 16

/** Time for a process to come up, and for an ordinary request. */
#define WAIT_MS 60000
#define POLL_MS 50
/** Time for which a connection of a crowd waits for the other side to read. */
#define CROWD_WRITE_MS 300
#define CROWD_CONNECT_MS 3000
/** Threads that open the connections of a crowd, so that those whose other side
 * doesn't read hold up few others. */
#define CROWD_THREADS 32

static pid_t started[PROCESSES_MAX];
static unsigned int started_count;

/* Processes --------------------------------------------------------------- */

unsigned int
crowd_port(unsigned int number)
{
	static pid_t run;

	if (run == 0)
		run = getpid();
	return PORT_FIRST + (unsigned int)(run % PORT_RUNS) * PORT_RUN + number;
}

static const char *
run_dir(void)
{
	static char dir[64];

	if (dir[0] == '\0') {
		snprintf(dir, sizeof(dir), "/tmp/gb-crowd.%d", (int)getpid());
		mkdir(dir, 0755);
	}
	return dir;
}

/** Directory of the programs, which this one is in too. */
static const char *
build_dir(void)
{
	static char dir[512];
	ssize_t len = readlink("/proc/self/exe", dir, sizeof(dir) - 1);

	assert_true(len > 0);
	dir[len] = '\0';
	*strrchr(dir, '/') = '\0';
	return dir;
}

const char *
crowd_settings(const char *name, const char *fmt, ...)
{
	static char path[128];
	FILE *file;
	va_list ap;

	snprintf(path, sizeof(path), "%s/%s.json", run_dir(), name);
	file = fopen(path, "w");
	assert_non_null(file);
	va_start(ap, fmt);
	vfprintf(file, fmt, ap);
	va_end(ap);
	fclose(file);
	return path;
}

static void
child_run(const char *path, const char *const args[], const char *log,
    unsigned int files)
{
	const struct rlimit limit = {files, files};
	char *argv[ARGS_MAX + 2] = {(char *)path};
	unsigned int i;
	int fd;

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	for (i = 0; i < ARGS_MAX && args[i] != NULL; i++)
		argv[i + 1] = (char *)args[i];
	fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	close_range(3, ~0U, 0);
	if (files > 0)
		setrlimit(RLIMIT_NOFILE, &limit);
	execv(path, argv);
	_exit(EXIT_FAILURE);
}

void
crowd_process_start(struct crowd_process *process, const char *program,
    const char *const args[], unsigned int memory_mb, unsigned int files)
{
	char path[1024];
	char log[128];

	snprintf(path, sizeof(path), "%s/%s", build_dir(), program);
	snprintf(log, sizeof(log), "%s/%s.log", run_dir(), process->name);
	process->memory_mb = memory_mb;
	process->files = files;
	process->pid = fork();
	if (process->pid == 0)
		child_run(path, args, log, files);
	assert_true(process->pid > 0);
	assert_true(started_count < PROCESSES_MAX);
	started[started_count++] = process->pid;
}

int
crowd_teardown(void **state)
{
	unsigned int i;

	(void)state;
	/* Those that were waited for are skipped, as their ids may be others'.
	 */
	for (i = 0; i < started_count; i++) {
		if (waitpid(started[i], NULL, WNOHANG) != 0)
			continue;
		kill(started[i], SIGKILL);
		waitpid(started[i], NULL, 0);
	}
	started_count = 0;
	return 0;
}

static bool
process_ended(const struct crowd_process *process)
{
	return waitpid(process->pid, NULL, WNOHANG) != 0;
}

void
crowd_process_kill(struct crowd_process *process)
{
	kill(process->pid, SIGKILL);
	waitpid(process->pid, NULL, 0);
	process->pid = 0;
}

void
crowd_process_stop(struct crowd_process *process)
{
	unsigned int waited = 0;

	kill(process->pid, SIGTERM);
	while (!process_ended(process)) {
		if (waited > WAIT_MS)
			fail_msg("%s doesn't stop", process->name);
		usleep(POLL_MS * 1000);
		waited += POLL_MS;
	}
	process->pid = 0;
}

/** Largest resident memory of a process so far, in MiB. */
static unsigned int
process_memory(pid_t pid)
{
	char path[64];
	char line[256];
	unsigned long kb = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	file = fopen(path, "r");
	while (file != NULL && fgets(line, sizeof(line), file) != NULL)
		sscanf(line, "VmHWM: %lu kB", &kb);
	if (file != NULL)
		fclose(file);
	return (unsigned int)(kb / 1024);
}

static unsigned int
process_files(pid_t pid)
{
	unsigned int count = 0;
	char path[64];
	DIR *dir;

	snprintf(path, sizeof(path), "/proc/%d/fd", (int)pid);
	dir = opendir(path);
	while (dir != NULL && readdir(dir) != NULL)
		count++;
	if (dir != NULL)
		closedir(dir);
	return count > 2 ? count - 2 : 0;
}

/** The address sanitizer keeps memory that was freed. */
static bool
memory_is_measured(void)
{
#ifdef __SANITIZE_ADDRESS__
	return false;
#else
	return true;
#endif
}

void
crowd_process_check(struct crowd_process *process)
{
	unsigned int memory = process_memory(process->pid);
	unsigned int files = process_files(process->pid);

	print_message(
	    "%s: %u MiB, %u descriptors\n", process->name, memory, files);
	if (process_ended(process)) {
		process->pid = 0;
		fail_msg("%s has ended", process->name);
	}
	if (memory_is_measured())
		assert_in_range(memory, 1, process->memory_mb);
	/* One is left for a file that is open only for a moment. */
	if (process->files > 0)
		assert_in_range(files, 1, process->files - 1);
}

/* Requests ---------------------------------------------------------------- */

static int
connect_to(unsigned int port)
{
	struct sockaddr_in sin = {0};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	assert_true(fd >= 0);
	sin.sin_family = AF_INET;
	sin.sin_port = htons((uint16_t)port);
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	return fd;
}

/** Wait for an event; false when it doesn't come. */
static bool
wait_for(int fd, short events, int ms)
{
	struct pollfd poller = {fd, events, 0};

	return poll(&poller, 1, ms) == 1;
}

static bool
write_within(int fd, const char *data, size_t len, int ms)
{
	ssize_t n;

	while (len > 0) {
		if (!wait_for(fd, POLLOUT, ms))
			return false;
		n = send(fd, data, len, MSG_NOSIGNAL);
		if (n < 0 && errno != EAGAIN)
			return false;
		if (n > 0) {
			data += n;
			len -= (size_t)n;
		}
	}
	return true;
}

/** Read the whole answer, which ends with the connection. */
static size_t
read_all(int fd, char *out, size_t size)
{
	size_t len = 0;
	ssize_t n;

	while (len + 1 < size && wait_for(fd, POLLIN, WAIT_MS)) {
		n = recv(fd, out + len, size - 1 - len, 0);
		if (n <= 0)
			break;
		len += (size_t)n;
	}
	out[len] = '\0';
	return len;
}

unsigned int
crowd_request(unsigned int port, const char *method, const char *path,
    const char *headers, const char *body, char *out, size_t size)
{
	static char answer[1 << 20];
	char head[1024];
	unsigned int status = 0;
	int fd = connect_to(port);
	int len;

	if (fd < 0)
		return 0;
	len = snprintf(head, sizeof(head),
	    "%s %s HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n"
	    "Content-Length: %zu\r\n%s\r\n",
	    method, path, strlen(body), headers);
	answer[0] = '\0';
	if (write_within(fd, head, (size_t)len, WAIT_MS) &&
	    write_within(fd, body, strlen(body), WAIT_MS))
		read_all(fd, answer, sizeof(answer));
	close(fd);
	sscanf(answer, "HTTP/1.1 %u", &status);
	if (out != NULL)
		snprintf(out, size, "%s",
		    strstr(answer, "\r\n\r\n") == NULL
			? ""
			: strstr(answer, "\r\n\r\n") + 4);
	return status;
}

unsigned int
crowd_request_twice(unsigned int port, const char *request, size_t len)
{
	char answer[4096];
	unsigned int status = 0;
	int fd = connect_to(port);
	unsigned int i;
	ssize_t n = 0;

	assert_true(fd >= 0);
	for (i = 0; i < 2; i++) {
		n = 0;
		if (write_within(fd, request, len, WAIT_MS) &&
		    wait_for(fd, POLLIN, WAIT_MS))
			n = recv(fd, answer, sizeof(answer) - 1, 0);
	}
	close(fd);
	answer[n > 0 ? n : 0] = '\0';
	sscanf(answer, "HTTP/1.1 %u", &status);
	return status;
}

void
crowd_rpc_call(char out[CROWD_RPC_CALL_BYTES])
{
	/* Record mark, xid, call, RPC version, program, version, procedure,
	 * and two empty authenticators. */
	const uint32_t words[] = {0x80000028, 1, 0, 2, 1, 1, 1, 0, 0, 0, 0};
	uint32_t word;
	unsigned int i;

	for (i = 0; i < CROWD_RPC_CALL_BYTES / sizeof(word); i++) {
		word = htonl(words[i]);
		memcpy(out + i * sizeof(word), &word, sizeof(word));
	}
}

bool
crowd_rpc_answered(unsigned int port)
{
	char call[CROWD_RPC_CALL_BYTES];
	char answer[64];
	int fd = connect_to(port);
	bool ok;

	if (fd < 0)
		return false;
	crowd_rpc_call(call);
	ok = write_within(fd, call, sizeof(call), WAIT_MS) &&
	     wait_for(fd, POLLIN, WAIT_MS) &&
	     recv(fd, answer, sizeof(answer), 0) > 0;
	close(fd);
	return ok;
}

/* Cell of nodes ----------------------------------------------------------- */

static const char cell_config[] =
    "{\"Version\": 1, \"Routes\": [{\"Name\": \"queue\", \"Host\": "
    "\"127.0.0.1\", \"Prefix\": \"" CROWD_QUEUE "\", \"Service\": \"pool\", "
    "\"Priority\": 1, \"MaxAttempts\": 4, \"Stretch\": 2.0, "
    "\"TargetCompletionMs\": 2000}], \"Services\": [{\"Name\": \"pool\"}]}";

/** Send a request until it is answered with 200. */
static void
wait_served(
    unsigned int port, const char *method, const char *path, const char *body)
{
	unsigned int waited = 0;

	while (crowd_request(port, method, path, "", body, NULL, 0) != 200) {
		if (waited > WAIT_MS)
			fail_msg("port %u doesn't answer", port);
		usleep(POLL_MS * 1000);
		waited += POLL_MS;
	}
}

void
crowd_cell_wait(struct crowd_cell *cell)
{
	unsigned int i;

	for (i = 0; i < cell->count; i++)
		wait_served(cell->front[i], "GET", CROWD_QUEUE, "");
}

static void
emulator_start(struct crowd_cell *cell)
{
	static char text[4][32];
	static char workers[16];
	const char *args[] = {"-s", text[0], "-a", text[1], "-c", text[2], "-p",
	    text[3], "-w", workers, NULL};
	unsigned int i;

	for (i = 0; i < 3; i++)
		snprintf(text[i], sizeof(text[i]), "127.0.0.1:%u",
		    crowd_port(PORT_STORE + i));
	snprintf(text[3], sizeof(text[3]), "%u", crowd_port(PORT_WORKER));
	snprintf(workers, sizeof(workers), "%d", WORKERS);
	cell->emulator.name = "emulator";
	crowd_process_start(&cell->emulator, "gooseberry-emulator", args, 0, 0);
	wait_served(crowd_port(PORT_CONTROL), "POST", "/config", cell_config);
}

static void
node_start(struct crowd_cell *cell, unsigned int number, const char *settings,
    unsigned int memory_mb, unsigned int files)
{
	static const char *const names[CROWD_NODES_MAX] = {"n0", "n1", "n2"};
	unsigned int port = PORT_NODE + number * PORT_NODE_EACH;
	const char *args[] = {NULL, NULL};

	cell->nodes[number].name = names[number];
	cell->front[number] = crowd_port(port);
	cell->ready[number] = crowd_port(port + 1);
	cell->peers[number] = crowd_port(port + 2);
	cell->metrics[number] = crowd_port(port + 3);
	args[0] = crowd_settings(names[number],
	    "{\"name\": \"%s\", \"dc\": \"dc-a\", \"front\": \"127.0.0.1:%u\", "
	    "\"ready\": \"127.0.0.1:%u\", \"listen\": \"127.0.0.1:%u\", "
	    "\"metrics\": \"127.0.0.1:%u\", \"store\": \"127.0.0.1:%u\", "
	    "\"advice\": \"127.0.0.1:%u\", \"lease_ms\": 3000, \"files\": "
	    "%u%s}\n",
	    names[number], cell->front[number], cell->ready[number],
	    cell->peers[number], cell->metrics[number], crowd_port(PORT_STORE),
	    crowd_port(PORT_ADVICE), files, settings);
	crowd_process_start(
	    &cell->nodes[number], "gooseberry-node", args, memory_mb, files);
}

void
crowd_cell_start(struct crowd_cell *cell, unsigned int nodes,
    const char *settings, unsigned int memory_mb, unsigned int files)
{
	struct rlimit limit;
	unsigned int i;

	getrlimit(RLIMIT_NOFILE, &limit);
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
	memset(cell, 0, sizeof(*cell));
	cell->count = nodes < CROWD_NODES_MAX ? nodes : CROWD_NODES_MAX;
	emulator_start(cell);
	for (i = 0; i < cell->count; i++)
		node_start(cell, i, settings, memory_mb, files);
	crowd_cell_wait(cell);
}

void
crowd_cell_control(const char *path, const char *body)
{
	assert_int_equal(crowd_request(crowd_port(PORT_CONTROL), "POST", path,
			     "", body, NULL, 0),
	    200);
}

void
crowd_cell_check(struct crowd_cell *cell)
{
	unsigned int i;

	for (i = 0; i < cell->count; i++) {
		if (cell->nodes[i].pid == 0)
			continue;
		crowd_process_check(&cell->nodes[i]);
		assert_int_equal(crowd_request(cell->front[i], "GET",
				     CROWD_QUEUE, "", "", NULL, 0),
		    200);
		crowd_process_check(&cell->nodes[i]);
	}
}

unsigned int
crowd_cell_owner(struct crowd_cell *cell)
{
	static char text[1 << 20];
	unsigned int waited;
	unsigned int i;

	for (waited = 0; waited <= WAIT_MS; waited += POLL_MS) {
		for (i = 0; i < cell->count; i++) {
			if (cell->nodes[i].pid == 0)
				continue;
			crowd_request(cell->metrics[i], "GET", "/metrics", "",
			    "", text, sizeof(text));
			if (strstr(text, "\ngooseberry_owner 1\n") != NULL)
				return i;
		}
		usleep(POLL_MS * 1000);
	}
	fail_msg("no node owns the pool");
	return 0;
}

/* Crowds ------------------------------------------------------------------ */

bool
crowd_write(int fd, const void *data, size_t len)
{
	return write_within(fd, data, len, CROWD_WRITE_MS);
}

static void
connection_open(struct crowd *crowd, unsigned int number)
{
	int fd = connect_to(crowd->port);

	crowd->fds[number] = fd;
	/* The system repeats an opening packet for which there was no room
	 * after a second. */
	if (fd >= 0 && !wait_for(fd, POLLOUT, CROWD_CONNECT_MS)) {
		close(fd);
		crowd->fds[number] = -1;
		return;
	}
	if (fd >= 0 && crowd->send != NULL)
		crowd->send(fd, number, crowd->data);
}

/** Whether the other side has closed a connection.  What it sent is left
 * unread. */
static bool
connection_closed(int fd)
{
	struct pollfd poller = {fd, POLLRDHUP, 0};

	return poll(&poller, 1, 0) == 1 &&
	       (poller.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

/** Share of the work of opening connections. */
struct opener {
	struct crowd *crowd;
	unsigned int first;
	unsigned int opened;
};

static void *
opener_run(void *data)
{
	struct opener *opener = data;
	struct crowd *crowd = opener->crowd;
	unsigned int i;

	for (i = opener->first; i < crowd->count; i += CROWD_THREADS) {
		if (crowd->fds[i] >= 0 && !connection_closed(crowd->fds[i]))
			continue;
		if (crowd->fds[i] >= 0)
			close(crowd->fds[i]);
		connection_open(crowd, i);
		opener->opened++;
	}
	return NULL;
}

unsigned int
crowd_reopen(struct crowd *crowd)
{
	struct opener openers[CROWD_THREADS];
	pthread_t threads[CROWD_THREADS];
	unsigned int opened = 0;
	unsigned int i;

	for (i = 0; i < CROWD_THREADS; i++) {
		openers[i] = (struct opener){crowd, i, 0};
		assert_int_equal(
		    pthread_create(&threads[i], NULL, opener_run, &openers[i]),
		    0);
	}
	for (i = 0; i < CROWD_THREADS; i++) {
		pthread_join(threads[i], NULL);
		opened += openers[i].opened;
	}
	return opened;
}

void
crowd_open(struct crowd *crowd, unsigned int port, unsigned int count,
    crowd_send send, void *data)
{
	unsigned int i;

	crowd->port = port;
	crowd->count = count;
	crowd->send = send;
	crowd->data = data;
	crowd->fds = malloc(count * sizeof(*crowd->fds));
	assert_non_null(crowd->fds);
	for (i = 0; i < count; i++)
		crowd->fds[i] = -1;
	crowd_reopen(crowd);
}

void
crowd_close(struct crowd *crowd)
{
	unsigned int i;

	for (i = 0; i < crowd->count; i++) {
		if (crowd->fds[i] >= 0)
			close(crowd->fds[i]);
	}
	free(crowd->fds);
	memset(crowd, 0, sizeof(*crowd));
}

void
crowd_send_record(int fd, unsigned int number, void *data)
{
	static char zeros[1 << 20];
	const unsigned int *mib = data;
	uint32_t mark = htonl(0x80000000U | *mib << 20);
	unsigned int i;
	bool ok = crowd_write(fd, &mark, sizeof(mark));

	(void)number;
	for (i = 1; ok && i < *mib; i++)
		ok = crowd_write(fd, zeros, sizeof(zeros));
	if (ok)
		crowd_write(fd, zeros, sizeof(zeros) - 1);
}

void
crowd_send_calls(int fd, unsigned int number, void *data)
{
	static char calls[1000 * CROWD_RPC_CALL_BYTES];
	unsigned int i;

	(void)number;
	(void)data;
	for (i = 0; i < 1000; i++)
		crowd_rpc_call(calls + i * CROWD_RPC_CALL_BYTES);
	for (i = 0; i < CALLS / 1000; i++) {
		if (!crowd_write(fd, calls, sizeof(calls)))
			return;
	}
}
