/**
 * @file relay-2.c
 * Stand-in for a network path: forwards TCP connections, and can cut the path
 * between some of their clients and the server.
 *
 * Usage: relay-2 LISTEN-PORT TARGET-PORT [MARK], on 127.0.0.1.  SIGUSR1 cuts
 * the path of the clients whose first bytes contain MARK (of all clients
 * without it): nothing is carried either way, as in a silent partition.
 * SIGUSR2 heals it: what was sent over connections that are older than the cut
 * arrives now, also if the client has closed them meanwhile, since TCP goes on
 * to deliver it.  Connections that were opened during the cut are closed.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNS_MAX 400
#define BUFFER_BYTES 65536
/** Bytes in which the mark is looked for. */
#define MARK_BYTES 4096
/** Longest wait, so that signals take effect. */
#define POLL_MS 20
#define BACKLOG 128

struct conn {
	int client;
	int server; /**< -1: not connected yet */
	bool known; /**< whether it is marked has been found out */
	bool marked;
	bool during_cut; /**< was opened during the cut */
};

static struct conn conns[CONNS_MAX];
static int conn_count;
static volatile sig_atomic_t cut;
static const char *mark = "";

static void
on_signal(int number)
{
	cut = number == SIGUSR1;
}

static int
socket_new(void)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return fd;
}

static struct sockaddr_in
loopback(const char *port)
{
	struct sockaddr_in sin;

	memset(&sin, 0, sizeof(sin));
	sin.sin_family = AF_INET;
	sin.sin_port = htons((uint16_t)strtoul(port, NULL, 10));
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return sin;
}

static void
conn_close(int at)
{
	close(conns[at].client);
	if (conns[at].server >= 0)
		close(conns[at].server);
	conns[at] = conns[--conn_count];
}

/** Finds out from the first bytes whether the client is a marked one. */
static void
conn_identify(struct conn *conn)
{
	char data[MARK_BYTES];
	ssize_t len =
	    recv(conn->client, data, sizeof(data), MSG_PEEK | MSG_DONTWAIT);

	if (mark[0] != '\0' && len <= 0)
		return;
	conn->known = true;
	conn->marked = mark[0] == '\0' ||
		       memmem(data, (size_t)len, mark, strlen(mark)) != NULL;
}

static bool
conn_held(const struct conn *conn)
{
	return cut && (!conn->known || conn->marked);
}

/** Carries what has arrived from one side to the other; returns false at the
 * end of the connection. */
static bool
carry(int from, int to)
{
	static char data[BUFFER_BYTES];
	ssize_t len = recv(from, data, sizeof(data), MSG_DONTWAIT);
	ssize_t sent = 0;

	while (len > 0 && sent < len) {
		ssize_t n =
		    send(to, data + sent, (size_t)(len - sent), MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		sent += n;
	}
	return len > 0;
}

static void
accept_one(int listener)
{
	struct conn *conn = &conns[conn_count];

	memset(conn, 0, sizeof(*conn));
	conn->client = accept(listener, NULL, NULL);
	conn->server = -1;
	conn->during_cut = cut != 0;
	if (conn->client < 0)
		return;
	if (conn_count + 1 == CONNS_MAX)
		close(conn->client);
	else
		conn_count++;
}

/** Connects to the server once the client has sent something.  Returns false
 * when that is not possible. */
static bool
conn_open(struct conn *conn, const struct sockaddr_in *target)
{
	if (conn->server >= 0 || !conn->known)
		return true;
	conn->server = socket_new();
	return connect(conn->server, (const struct sockaddr *)target,
		   sizeof(*target)) == 0;
}

/** Serves one connection; returns false at its end. */
static bool
conn_serve(struct conn *conn, short client, short server,
    const struct sockaddr_in *target)
{
	if (!conn->known && client != 0) {
		conn_identify(conn);
		if (!conn->known)
			return false;
	}
	if (conn_held(conn))
		return true;
	if (conn->marked && conn->during_cut)
		return false;
	if (!conn_open(conn, target))
		return false;
	if (client != 0 && !carry(conn->client, conn->server))
		return false;
	return server == 0 || carry(conn->server, conn->client);
}

static void
serve(int listener, const struct sockaddr_in *target)
{
	static struct pollfd fds[2 * CONNS_MAX + 1];
	int count = conn_count;
	int i;

	fds[0].fd = listener;
	fds[0].events = POLLIN;
	for (i = 0; i < count; i++) {
		bool held = conn_held(&conns[i]);

		fds[2 * i + 1].fd =
		    held && conns[i].known ? -1 : conns[i].client;
		fds[2 * i + 2].fd = held ? -1 : conns[i].server;
		fds[2 * i + 1].events = POLLIN;
		fds[2 * i + 2].events = POLLIN;
	}
	if (poll(fds, 2 * (nfds_t)count + 1, POLL_MS) < 0)
		return;
	for (i = count - 1; i >= 0; i--) {
		short client =
		    fds[2 * i + 1].fd < 0 ? 0 : fds[2 * i + 1].revents;
		short server =
		    fds[2 * i + 2].fd < 0 ? 0 : fds[2 * i + 2].revents;

		if (!conn_serve(&conns[i], client, server, target))
			conn_close(i);
	}
	if (fds[0].revents != 0)
		accept_one(listener);
}

int
main(int argc, char **argv)
{
	struct sockaddr_in here;
	struct sockaddr_in target;
	int listener;

	if (argc < 3)
		return EXIT_FAILURE;
	if (argc > 3)
		mark = argv[3];
	here = loopback(argv[1]);
	target = loopback(argv[2]);
	signal(SIGUSR1, on_signal);
	signal(SIGUSR2, on_signal);
	signal(SIGPIPE, SIG_IGN);
	listener = socket_new();
	if (bind(listener, (struct sockaddr *)&here, sizeof(here)) != 0 ||
	    listen(listener, BACKLOG) != 0)
		return EXIT_FAILURE;
	for (;;)
		serve(listener, &target);
}
