/**
 * @file ctl_trace.c
 * The life of one flow out of the structured lines of all instances, in the
 * order of their clocks, and what it came to.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "ctl.h"

#define TRACE_LINE_MOST 65536

/** A line that concerns the flow. */
struct trace_line {
	json_int_t at; /**< wall clock of its instance, milliseconds */
	size_t number; /**< order in which it was read */
	json_t *json;
};

struct trace {
	const char *flow;
	struct trace_line *lines;
	size_t count;
	size_t size;
	size_t unreadable;
};

/** Lines without a flow that tell why flows wait. */
static const char *const context_events[] = {"ownership_gained",
    "ownership_lost", "takeover_settled", "takeover_decided", "store_out",
    "store_regained", "config_taken"};

static bool
trace_context(const char *event)
{
	size_t i;

	for (i = 0; i < sizeof(context_events) / sizeof(context_events[0]);
	     i++) {
		if (strcmp(context_events[i], event) == 0)
			return true;
	}
	return false;
}

static void
trace_take(struct trace *trace, json_t *line)
{
	const char *flow = json_string_value(json_object_get(line, "flow"));
	const char *event = json_string_value(json_object_get(line, "event"));
	struct trace_line *out;

	if (event == NULL || (flow == NULL ? !trace_context(event)
					   : strcmp(flow, trace->flow) != 0)) {
		json_decref(line);
		return;
	}
	if (trace->count == trace->size) {
		trace->size = trace->size * 2 + 64;
		trace->lines = gb_realloc(
		    trace->lines, trace->size * sizeof(*trace->lines));
	}
	out = &trace->lines[trace->count];
	out->number = trace->count++;
	out->at = json_integer_value(json_object_get(line, "at_ms"));
	out->json = line;
}

static void
trace_read(struct trace *trace, FILE *in)
{
	char *text = gb_calloc(1, TRACE_LINE_MOST);
	const char *start;
	json_t *line;

	while (fgets(text, TRACE_LINE_MOST, in) != NULL) {
		start = strchr(text, '{');
		if (start == NULL)
			continue;
		line = json_loads(start, JSON_DISABLE_EOF_CHECK, NULL);
		if (line == NULL)
			trace->unreadable++;
		else
			trace_take(trace, line);
	}
	free(text);
}

static int
line_compare(const void *a, const void *b)
{
	const struct trace_line *x = a;
	const struct trace_line *y = b;

	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return x->number < y->number ? -1 : x->number > y->number;
}

/** First and last line of the flow itself; what lies far from both says
 * nothing about it. */
static void
trace_span(const struct trace *trace, json_int_t *first, json_int_t *last)
{
	size_t i;

	*first = 0;
	*last = 0;
	for (i = 0; i < trace->count; i++) {
		if (json_object_get(trace->lines[i].json, "flow") == NULL)
			continue;
		if (*first == 0)
			*first = trace->lines[i].at;
		*last = trace->lines[i].at;
	}
}

static void
line_print(const struct trace_line *line, json_int_t from)
{
	const char *key;
	json_t *value;

	printf("%8.3f %-18s %-24s", (double)(line->at - from) / 1000,
	    json_string_value(json_object_get(line->json, "node")),
	    json_string_value(json_object_get(line->json, "event")));
	json_object_foreach(line->json, key, value)
	{
		char *text;

		if (strcmp(key, "node") == 0 || strcmp(key, "event") == 0 ||
		    strcmp(key, "at_ms") == 0 || strcmp(key, "t_ms") == 0 ||
		    strcmp(key, "flow") == 0)
			continue;
		text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
		printf(" %s=%s", key, text);
		free(text);
	}
	printf("\n");
}

/** The line that says what became of the flow, or null. */
static const struct trace_line *
trace_cause(const struct trace *trace)
{
	static const char *const ends[] = {
	    "flow_over", "flow_refused", "flow_not_served", "request_given_up"};
	size_t i;
	size_t j;

	for (j = 0; j < sizeof(ends) / sizeof(ends[0]); j++) {
		for (i = trace->count; i-- > 0;) {
			const char *event = json_string_value(
			    json_object_get(trace->lines[i].json, "event"));

			if (strcmp(event, ends[j]) == 0)
				return &trace->lines[i];
		}
	}
	return NULL;
}

static enum ctl_exit
trace_print(struct trace *trace)
{
	const struct trace_line *cause;
	json_int_t first;
	json_int_t last;
	size_t i;

	if (trace->count > 0)
		qsort(trace->lines, trace->count, sizeof(*trace->lines),
		    line_compare);
	trace_span(trace, &first, &last);
	if (first == 0) {
		fprintf(stderr, "gooseberryctl: %s: no line names it\n",
		    trace->flow);
		return CTL_NOT_RUN;
	}
	for (i = 0; i < trace->count; i++) {
		if (trace->lines[i].at >= first && trace->lines[i].at <= last)
			line_print(&trace->lines[i], first);
	}
	cause = trace_cause(trace);
	if (cause == NULL) {
		printf("cause: not over yet\n");
	} else {
		const char *why =
		    json_string_value(json_object_get(cause->json, "why"));

		printf("cause: %s: %s\n",
		    json_string_value(json_object_get(cause->json, "event")),
		    why == NULL ? "see its line" : why);
	}
	if (trace->unreadable > 0)
		printf("%zu lines could not be read\n", trace->unreadable);
	return CTL_OK;
}

enum ctl_exit
ctl_trace_flow(const char *flow, const char *const *files, unsigned int count)
{
	struct trace trace = {.flow = flow};
	enum ctl_exit code;
	unsigned int i;
	FILE *in;

	if (count == 0)
		trace_read(&trace, stdin);
	for (i = 0; i < count; i++) {
		in = fopen(files[i], "r");
		if (in == NULL) {
			fprintf(stderr, "gooseberryctl: %s: cannot be read\n",
			    files[i]);
			return CTL_USAGE;
		}
		trace_read(&trace, in);
		fclose(in);
	}
	code = trace_print(&trace);
	for (i = 0; i < trace.count; i++)
		json_decref(trace.lines[i].json);
	free(trace.lines);
	return code;
}
