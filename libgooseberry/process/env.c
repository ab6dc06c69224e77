/**
 * @file env.c
 * Access to the callbacks and the link of an environment.
 */
#include <stdarg.h>
#include <stdio.h>

#include "gooseberry.h"

/** Longer log lines are cut, in bytes. */
#define LINE_MAX_LEN 512

struct gb_link *
gb_env_link(const struct gb_env *env)
{
	return env == NULL ? NULL : env->link;
}

void
gb_env_log(const struct gb_env *env, enum gb_level level, const char *module,
    const char *fmt, ...)
{
	char line[LINE_MAX_LEN];
	va_list ap;

	if (env == NULL || env->log == NULL)
		return;
	va_start(ap, fmt);
	vsnprintf(line, sizeof(line), fmt, ap);
	va_end(ap);
	env->log(env->data, level, module, line);
}
