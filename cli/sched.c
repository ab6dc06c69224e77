/**
 * @file sched.c
 * gooseberry-sched: the scheduler, which owns shards of workers and places
 * tasks and requests on them.
 */
#include "daemon.h"

static struct gb_sched_settings settings;
static struct gb_sched *sched;

static int
sched_start(uv_loop_t *loop, const struct gb_env *env, struct gb_error *err)
{
	sched = gb_sched_new(loop, env, &settings, err);
	return sched == NULL ? -1 : gb_sched_port(sched);
}

static void
sched_reload(const void *fresh)
{
	gb_sched_reload(sched, fresh);
}

static void
sched_stop(void (*done)(void *), void *data)
{
	gb_sched_stop(sched, done, data);
}

static const char *
sched_trace_file(void)
{
	return settings.trace_file;
}

static int64_t
sched_log_level(const void *s)
{
	return ((const struct gb_sched_settings *)s)->log_level;
}

int
main(int argc, char **argv)
{
	const struct daemon d = {"gooseberry-sched", "gooseberry-sched 0.1",
	    "Owns shards of workers and places work on them.\v"
	    "Example: gooseberry-sched /etc/gooseberry/sched.json",
	    gb_sched_settings_table, gb_sched_settings_count, &settings,
	    sizeof(settings), sched_start, sched_reload, sched_stop,
	    sched_trace_file, sched_log_level};

	return daemon_main(&d, argc, argv);
}
