/**
 * @file json_text.c
 * Position of a key in a JSON text, for error messages.
 */
#include <stdio.h>
#include <string.h>

#include "json_text.h"

/** Longest key that can be found, in bytes. */
#define KEY_SEARCH_MAX 60

void
json_text_position(
    const char *text, size_t len, const char *key, int *line, int *col)
{
	char quoted[KEY_SEARCH_MAX + 3];
	const char *found;
	const char *p;

	*line = 1;
	*col = 1;
	snprintf(quoted, sizeof(quoted), "\"%.*s\"", KEY_SEARCH_MAX, key);
	found = memmem(text, len, quoted, strlen(quoted));
	if (found == NULL)
		return;
	for (p = text; p < found; p++) {
		(*col)++;
		if (*p == '\n') {
			(*line)++;
			*col = 1;
		}
	}
}
