/**
 * @file ctl_trace.c
 * gooseberryctl trace: prints the events of one flow from the structured log
 * lines of all instances, in the order of their wall clocks, and how it ended.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "ctl.h"

/** Longest line of a log file, in bytes. */
#define TRACE_LINE_MAX 65536

/** A log line that concerns the flow. */
struct trace_line {
	json_int_t at_ms; /**< wall clock of its instance */
	size_t number;	  /**< position in the order of reading */
	json_t *json;
};

/** The lines of a flow. */
struct trace {
	const char *flow; /**< its id */
	struct trace_line *lines;
	size_t count;
	size_t size;
	size_t unreadable; /**< lines that are not valid JSON */
};

/** Events without a flow that may be the reason why flows wait. */
static const char *const context_events[] = {"ownership_gained",
    "ownership_lost", "takeover_settled", "takeover_decided", "store_out",
    "store_regained", "config_taken"};

static bool
event_is_context(const char *event)
{
	size_t i;

	for (i = 0; i < sizeof(context_events) / sizeof(context_events[0]);
	     i++) {
		if (strcmp(context_events[i], event) == 0)
			return true;
	}
	return false;
}

/** Add a line if it concerns the flow, else free it. */
static void
trace_add(struct trace *trace, json_t *line)
{
	const char *flow = json_string_value(json_object_get(line, "flow"));
	const char *event = json_string_value(json_object_get(line, "event"));
	struct trace_line *out;

	if (event == NULL || (flow == NULL ? !event_is_context(event)
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
	out->at_ms = json_integer_value(json_object_get(line, "at_ms"));
	out->json = line;
}

/** Read the lines of a log; what precedes the JSON object is skipped. */
static void
trace_read(struct trace *trace, FILE *in)
{
	char *text = gb_calloc(1, TRACE_LINE_MAX);
	const char *start;
	json_t *line;

	while (fgets(text, TRACE_LINE_MAX, in) != NULL) {
		start = strchr(text, '{');
		if (start == NULL)
			continue;
		line = json_loads(start, JSON_DISABLE_EOF_CHECK, NULL);
		if (line == NULL)
			trace->unreadable++;
		else
			trace_add(trace, line);
	}
	free(text);
}

static int
line_compare(const void *a, const void *b)
{
	const struct trace_line *x = a;
	const struct trace_line *y = b;

	if (x->at_ms != y->at_ms)
		return x->at_ms < y->at_ms ? -1 : 1;
	return x->number < y->number ? -1 : x->number > y->number;
}

/** Times of the first and last line of the flow itself, both 0 when there is
 * none.  Lines without a flow outside this time do not concern it. */
static void
trace_bounds(const struct trace *trace, json_int_t *first, json_int_t *last)
{
	size_t i;

	*first = 0;
	*last = 0;
	for (i = 0; i < trace->count; i++) {
		if (json_object_get(trace->lines[i].json, "flow") == NULL)
			continue;
		if (*first == 0)
			*first = trace->lines[i].at_ms;
		*last = trace->lines[i].at_ms;
	}
}

/** Print a line with the seconds since the first one, the instance, the event
 * and its fields. */
static void
line_print(const struct trace_line *line, json_int_t first_ms)
{
	const char *key;
	json_t *value;

	printf("%8.3f %-18s %-24s", (double)(line->at_ms - first_ms) / 1000,
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

/** Last line that reports the end of the flow, or null.  The kinds of ends are
 * searched for in the order of the list. */
static const struct trace_line *
trace_end_line(const struct trace *trace)
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
	const struct trace_line *end;
	json_int_t first;
	json_int_t last;
	size_t i;

	if (trace->count > 0)
		qsort(trace->lines, trace->count, sizeof(*trace->lines),
		    line_compare);
	trace_bounds(trace, &first, &last);
	if (first == 0) {
		fprintf(stderr, "gooseberryctl: %s: no line names it\n",
		    trace->flow);
		return CTL_NOT_RUN;
	}
	for (i = 0; i < trace->count; i++) {
		if (trace->lines[i].at_ms >= first &&
		    trace->lines[i].at_ms <= last)
			line_print(&trace->lines[i], first);
	}
	end = trace_end_line(trace);
	if (end == NULL) {
		printf("cause: not over yet\n");
	} else {
		const char *why =
		    json_string_value(json_object_get(end->json, "why"));

		printf("cause: %s: %s\n",
		    json_string_value(json_object_get(end->json, "event")),
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
