/**
 * @file error.c
 * Errors with a code and a text, and the HTTP status of each code.
 */
#include <stdarg.h>
#include <stdio.h>

#include "gooseberry.h"

static const struct {
	const char *name;
	unsigned int status;
} error_kinds[] = {
    [GB_E_NONE] = {"none", 200},
    [GB_E_INVALID] = {"invalid", 400},
    [GB_E_CONFLICT] = {"conflict", 409},
    [GB_E_MISSING] = {"missing", 404},
    [GB_E_DENIED] = {"denied", 403},
    [GB_E_BUSY] = {"busy", 503},
    [GB_E_DEADLINE] = {"late", 504},
    [GB_E_IO] = {"io", 502},
    [GB_E_MEMORY] = {"memory", 500},
};

void
gb_error_set(
    struct gb_error *err, enum gb_error_code code, const char *fmt, ...)
{
	va_list ap;

	if (err == NULL || err->code != GB_E_NONE)
		return;
	err->code = code;
	va_start(ap, fmt);
	vsnprintf(err->text, sizeof(err->text), fmt, ap);
	va_end(ap);
}

unsigned int
gb_error_status(enum gb_error_code code)
{
	return error_kinds[code].status;
}

const char *
gb_error_name(enum gb_error_code code)
{
	return error_kinds[code].name;
}
