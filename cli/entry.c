/**
 * @file entry.c
 * gooseberry-entry: accepts requests and commands over HTTP and relays them to
 * the schedulers.
 */
#include "daemon.h"

static struct gb_entry_settings settings;
static struct gb_entry *entry;

static int
entry_start(uv_loop_t *loop, const struct gb_env *env, struct gb_error *err)
{
	entry = gb_entry_new(loop, env, &settings, err);
	return entry == NULL ? -1 : gb_entry_port(entry);
}

static void
entry_reload(const void *fresh)
{
	gb_entry_reload(entry, fresh);
}

static void
entry_stop(void (*done)(void *), void *data)
{
	gb_entry_stop(entry, done, data);
}

static const char *
entry_trace_file(void)
{
	return settings.trace_file;
}

static int64_t
entry_log_level(const void *s)
{
	return ((const struct gb_entry_settings *)s)->log_level;
}

int
main(int argc, char **argv)
{
	const struct daemon d = {"gooseberry-entry", "gooseberry-entry 0.1",
	    "Takes requests and commands over HTTP and relays them.\v"
	    "Example: gooseberry-entry /etc/gooseberry/entry.json",
	    gb_entry_settings_table, gb_entry_settings_count, &settings,
	    sizeof(settings), entry_start, entry_reload, entry_stop,
	    entry_trace_file, entry_log_level};

	return daemon_main(&d, argc, argv);
}
