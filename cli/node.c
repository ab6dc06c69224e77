/**
 * @file node.c
 * gooseberry-node: the process that each instance runs on the users' platform;
 * it accepts flows, and owns the pool or stands by to take it over.
 */
#include <stdlib.h>
#include <string.h>

#include "daemon.h"
#include "platform.h"

static struct gb_node_settings settings;
static struct plat *plat;

static int
node_start(uv_loop_t *loop, const struct gb_env *env, struct gb_error *err)
{
	struct plat_settings p = {0};

	(void)env;
	if (strcmp(settings.orders, "invocation") != 0) {
		gb_error_set(err, GB_E_INVALID,
		    "orders: %s is not served, invocation is", settings.orders);
		return -1;
	}
	snprintf(p.store, sizeof(p.store), "%s", settings.store);
	snprintf(p.advice, sizeof(p.advice), "%s", settings.advice);
	snprintf(p.front, sizeof(p.front), "%s", settings.front);
	snprintf(p.ready, sizeof(p.ready), "%s", settings.ready);
	p.callers = (unsigned int)settings.callers;
	p.callers_bytes = (size_t)settings.callers_mb * 1024 * 1024;
	p.probes = (unsigned int)settings.probes;
	plat = plat_new(loop, &p, &settings, err);
	return plat == NULL ? -1 : 0;
}

static void
node_reload(const void *fresh)
{
	(void)fresh;
}

static void
node_stop(void (*done)(void *), void *data)
{
	plat_stop(plat, done, data);
}

static const char *
node_trace_file(void)
{
	return "";
}

static int64_t
node_log_level(const void *s)
{
	return ((const struct gb_node_settings *)s)->log_level;
}

int
main(int argc, char **argv)
{
	const struct daemon d = {"gooseberry-node", "gooseberry-node 0.2",
	    "Takes work in, and owns the pool or stands by to.\v"
	    "Example: gooseberry-node /etc/gooseberry/node.json",
	    gb_node_settings_table, gb_node_settings_count, &settings,
	    sizeof(settings), node_start, node_reload, node_stop,
	    node_trace_file, node_log_level};

	return daemon_main(&d, argc, argv);
}
