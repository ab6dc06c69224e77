/**
 * @file trace.c
 * Trace context: reads and makes W3C traceparent values, and writes each span
 * as a line of JSON.
 */
#include <ctype.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "gooseberry.h"

/* Layout of a traceparent: "00-TRACE_ID-SPAN_ID-FLAGS", all hexadecimal */
#define TRACE_LEN 55
#define TRACE_ID_AT 3
#define TRACE_ID_LEN 32
#define SPAN_AT 36
#define SPAN_LEN 16
#define FLAGS_AT 53

static bool
trace_valid(const char *parent)
{
	size_t i;

	if (parent == NULL || strlen(parent) != TRACE_LEN)
		return false;
	for (i = 0; i < TRACE_LEN; i++) {
		bool dash = i == 2 || i == 35 || i == 52;

		if (dash ? parent[i] != '-'
			 : !isxdigit((unsigned char)parent[i]))
			return false;
	}
	return memcmp(parent, "00-", 3) == 0;
}

void
gb_trace_child(char out[GB_TRACE_MAX], const char *parent, uint64_t *seed,
    int64_t per_mille)
{
	uint64_t span = gb_random_next(seed);
	bool sampled;

	if (trace_valid(parent)) {
		snprintf(out, GB_TRACE_MAX, "%.*s%016" PRIx64 "%s", SPAN_AT,
		    parent, span, parent + SPAN_AT + SPAN_LEN);
		return;
	}
	sampled = (int64_t)(gb_random_next(seed) % 1000) < per_mille;
	snprintf(out, GB_TRACE_MAX,
	    "00-%016" PRIx64 "%016" PRIx64 "-%016" PRIx64 "-%s",
	    gb_random_next(seed), gb_random_next(seed), span,
	    sampled ? "01" : "00");
}

bool
gb_trace_sampled(const char *own)
{
	return trace_valid(own) && (own[FLAGS_AT + 1] & 1) == 1;
}

void
gb_trace_span(const struct gb_env *env, const char *own, const char *parent,
    const char *hop, gb_time start, gb_time end, const char *detail)
{
	char line[512];
	bool has_parent = trace_valid(parent);

	if (env->trace == NULL || !gb_trace_sampled(own))
		return;
	snprintf(line, sizeof(line),
	    "{\"trace\":\"%.*s\",\"span\":\"%.*s\",\"parent\":\"%.*s\","
	    "\"hop\":\"%s\",\"start_us\":%" PRId64 ",\"took_us\":%" PRId64
	    ",\"detail\":\"%s\"}",
	    TRACE_ID_LEN, own + TRACE_ID_AT, SPAN_LEN, own + SPAN_AT,
	    has_parent ? SPAN_LEN : 0, has_parent ? parent + SPAN_AT : "", hop,
	    start, end - start, detail);
	env->trace(env->data, line);
}
