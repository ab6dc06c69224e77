/**
 * @file node.c
 * Nodes of a run: their settings, their proxies and their processes.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "soak.h"

/** Offsets of the nodes' ports from the first port of the run; the number of
 * the node, below SOAK_NODES_MAX, is added. */
enum port_kind {
	PORT_FRONT = 100,
	PORT_READY = 200,
	PORT_PEER = 300,
	PORT_METRICS = 400,
	PORT_PEER_PROXY = 500,
	PORT_FRONT_PROXY = 600,
	PORT_STORE_PROXY = 700,
	PORT_ADVICE_PROXY = 800
};

/** Timeout of a graceful stop, after which the node is killed. */
#define STOP_TIMEOUT (6 * GB_SEC)
/** Time from the end of a node's process to its next start, unless a fault sets
 * another. */
#define RESTART_DELAY (300 * GB_MSEC)

static unsigned int
port(const struct soak_node *node, enum port_kind kind)
{
	return soak.port + (unsigned int)kind + node->number;
}

static void
settings_write(const struct soak_node *node, const char *path)
{
	FILE *file = fopen(path, "w");

	if (file == NULL) {
		perror(path);
		exit(EXIT_FAILURE);
	}
	fprintf(file,
	    "{\"name\": \"n%u\", \"dc\": \"dc-a\",\n"
	    " \"listen\": \"127.0.0.1:%u\", \"advertise\": \"127.0.0.1:%u\",\n"
	    " \"metrics\": \"127.0.0.1:%u\", \"front\": \"127.0.0.1:%u\",\n"
	    " \"ready\": \"127.0.0.1:%u\", \"store\": \"127.0.0.1:%u\",\n"
	    " \"advice\": \"127.0.0.1:%u\", \"lease_ms\": 3000,\n"
	    " \"stop_ms\": 200, \"keep_s\": 120, \"grace_s\": 6,\n"
	    " \"log_lines\": 2000}\n",
	    node->number, port(node, PORT_PEER), port(node, PORT_PEER_PROXY),
	    port(node, PORT_METRICS), port(node, PORT_FRONT),
	    port(node, PORT_READY), port(node, PORT_STORE_PROXY),
	    port(node, PORT_ADVICE_PROXY));
	fclose(file);
}

static void
proxies_start(struct soak_node *node)
{
	node->front_proxy = proxy_new(
	    soak.loop, port(node, PORT_FRONT_PROXY), port(node, PORT_FRONT));
	node->peer_proxy = proxy_new(
	    soak.loop, port(node, PORT_PEER_PROXY), port(node, PORT_PEER));
	proxy_set_node(node->peer_proxy, node->number);
	node->store_proxy =
	    proxy_new(soak.loop, port(node, PORT_STORE_PROXY), soak.port);
	node->advice_proxy =
	    proxy_new(soak.loop, port(node, PORT_ADVICE_PROXY), soak.port + 1);
	snprintf(node->front, sizeof(node->front), "127.0.0.1:%u",
	    port(node, PORT_FRONT_PROXY));
	snprintf(node->direct, sizeof(node->direct), "127.0.0.1:%u",
	    port(node, PORT_FRONT));
}

void
node_start(struct soak_node *node)
{
	char program[512];
	char path[512];
	char log[512];
	char source[32];
	char *argv[] = {program, path, NULL};

	if (node->front_proxy == NULL)
		proxies_start(node);
	snprintf(
	    program, sizeof(program), "%s/gooseberry-node-shifted", soak.build);
	snprintf(path, sizeof(path), "%s/n%u.json", soak.dir, node->number);
	snprintf(log, sizeof(log), "%s/n%u.log", soak.dir, node->number);
	settings_write(node, path);
	snprintf(source, sizeof(source), "127.0.1.%u", node->number + 1);
	setenv("SOAK_SOURCE", source, 1);
	node->pid = process_start(argv, log);
	node->started = soak_now();
	node->restart_at = 0;
	node->stopping = 0;
	node->paused = false;
	node->config_seen = 0;
}

/** Record that others may take over from a node, if its state is a cause. */
static void
node_cause_add(const struct soak_node *node)
{
	if (node->pid == 0 || node->stopping > 0 || node->restart_at > 0)
		takeover_cause_add(node->number, CAUSE_DOWN);
	else if (node->paused)
		takeover_cause_add(node->number, CAUSE_LASTING);
	else
		return;
	takeover_fault_add();
}

void
node_signal(struct soak_node *node, int signum)
{
	if (node->pid <= 0)
		return;
	if (signum == SIGSTOP)
		node->paused = true;
	if (signum == SIGCONT)
		node->paused = false;
	if (signum == SIGTERM && node->stopping == 0)
		node->stopping = soak_now();
	/* A takeover may follow before the next tick records the cause. */
	node_cause_add(node);
	kill(node->pid, signum);
}

void
node_tick(void)
{
	unsigned int i;

	for (i = 0; i < soak.node_count; i++) {
		struct soak_node *node = &soak.nodes[i];

		node_cause_add(node);
		if (node->pid > 0 && node->stopping > 0 &&
		    soak_now() - node->stopping > STOP_TIMEOUT)
			node_signal(node, SIGKILL);
		if (node->pid > 0 && process_ended(node->pid)) {
			if (node->stopping == 0 && node->restart_at == 0)
				soak_violation("n%u ended by itself", i);
			node->pid = 0;
			if (node->restart_at == 0)
				node->restart_at = soak_now() + RESTART_DELAY;
		}
		if (node->pid == 0 && node->restart_at > 0 &&
		    node->restart_at <= soak_now())
			node_start(node);
	}
}
