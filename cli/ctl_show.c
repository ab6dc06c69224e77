/**
 * @file ctl_show.c
 * Output of gooseberryctl: tables, differences of texts, and traces.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

#define COLUMNS_MAX 12
/** Spans of a trace that are printed; further ones are ignored. */
#define SPANS_MAX 256
/** Lines of a text that are compared; further ones are ignored. */
#define LINES_MAX 2000

/** Text of a value in a table; "-" when it is missing or empty. */
static void
cell_text(const json_t *value, char *out, size_t size)
{
	if (json_is_string(value))
		snprintf(out, size, "%s",
		    json_string_length(value) == 0 ? "-"
						   : json_string_value(value));
	else if (json_is_integer(value))
		snprintf(
		    out, size, "%lld", (long long)json_integer_value(value));
	else if (json_is_boolean(value))
		snprintf(out, size, "%s", json_is_true(value) ? "yes" : "no");
	else
		snprintf(out, size, "-");
}

/** Print a row of a table; without a row, the header in upper case. */
static void
row_print(const json_t *row, const char *const *columns, const int *width)
{
	char text[256];
	size_t i;

	for (i = 0; columns[i] != NULL; i++) {
		if (row == NULL)
			snprintf(text, sizeof(text), "%s", columns[i]);
		else
			cell_text(json_object_get(row, columns[i]), text,
			    sizeof(text));
		if (row == NULL) {
			char *c;

			for (c = text; *c != '\0'; c++)
				*c = (char)(*c >= 'a' && *c <= 'z' ? *c - 32
								   : *c);
		}
		printf("%-*s%s", columns[i + 1] == NULL ? 0 : width[i], text,
		    columns[i + 1] == NULL ? "\n" : "  ");
	}
}

void
ctl_show_table(const json_t *list, const char *const *columns)
{
	int width[COLUMNS_MAX] = {0};
	char text[256];
	const json_t *row;
	size_t i;
	size_t n;

	for (i = 0; columns[i] != NULL; i++) {
		width[i] = (int)strlen(columns[i]);
		json_array_foreach(list, n, row)
		{
			cell_text(json_object_get(row, columns[i]), text,
			    sizeof(text));
			if ((int)strlen(text) > width[i])
				width[i] = (int)strlen(text);
		}
	}
	row_print(NULL, columns, width);
	json_array_foreach(list, n, row)
	{
		row_print(row, columns, width);
	}
}

/* Differences */

/** Split a text in place into its lines, without empty ones. */
static size_t
lines_split(char *text, char **lines)
{
	size_t n = 0;
	char *save = NULL;
	char *line;

	for (line = strtok_r(text, "\n", &save); line != NULL && n < LINES_MAX;
	     line = strtok_r(NULL, "\n", &save))
		lines[n++] = line;
	return n;
}

static bool
line_in(const char *line, char **lines, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (strcmp(lines[i], line) == 0)
			return true;
	}
	return false;
}

void
ctl_show_diff(const char *before, const char *after)
{
	static char *old_lines[LINES_MAX];
	static char *new_lines[LINES_MAX];
	char *a = gb_strdup(before);
	char *b = gb_strdup(after);
	size_t old_count = lines_split(a, old_lines);
	size_t new_count = lines_split(b, new_lines);
	size_t i;

	for (i = 0; i < old_count; i++) {
		if (!line_in(old_lines[i], new_lines, new_count))
			printf("-%s\n", old_lines[i]);
	}
	for (i = 0; i < new_count; i++) {
		if (!line_in(new_lines[i], old_lines, old_count))
			printf("+%s\n", new_lines[i]);
	}
	free(a);
	free(b);
}

/* Traces */

static const char *
span_field(const json_t *span, const char *name)
{
	const char *value = json_string_value(json_object_get(span, name));

	return value == NULL ? "" : value;
}

/** Print the spans that have this parent, each followed by its children. */
static void
spans_print(json_t **spans, size_t count, const char *parent, int depth)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (strcmp(span_field(spans[i], "parent"), parent) != 0)
			continue;
		printf("%*s%s %lld us %s\n", depth * 2, "",
		    span_field(spans[i], "hop"),
		    (long long)json_integer_value(
			json_object_get(spans[i], "took_us")),
		    span_field(spans[i], "detail"));
		spans_print(
		    spans, count, span_field(spans[i], "span"), depth + 1);
	}
}

/** Whether a span's parent is not among the spans. */
static bool
span_is_root(json_t **spans, size_t count, size_t at)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (strcmp(span_field(spans[i], "span"),
			span_field(spans[at], "parent")) == 0)
			return false;
	}
	return true;
}

enum ctl_exit
ctl_show_trace(const char *file, const char *id)
{
	static json_t *spans[SPANS_MAX];
	size_t count = 0;
	char line[1024];
	FILE *f = fopen(file, "r");
	size_t i;

	if (f == NULL) {
		fprintf(stderr, "gooseberryctl: %s: cannot be opened\n", file);
		return CTL_INVALID;
	}
	while (fgets(line, sizeof(line), f) != NULL && count < SPANS_MAX) {
		json_t *span = json_loads(line, 0, NULL);

		if (strcmp(span_field(span, "trace"), id) == 0)
			spans[count++] = span;
		else
			json_decref(span);
	}
	fclose(f);
	for (i = 0; i < count; i++) {
		if (span_is_root(spans, count, i)) {
			spans_print(
			    spans, count, span_field(spans[i], "parent"), 0);
			break;
		}
	}
	for (i = 0; i < count; i++)
		json_decref(spans[i]);
	if (count == 0) {
		fprintf(stderr, "gooseberryctl: no span of trace %s\n", id);
		return CTL_NOT_RUN;
	}
	return CTL_OK;
}
