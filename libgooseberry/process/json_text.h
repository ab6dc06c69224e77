/**
 * @file json_text.h
 * Position of a key in a JSON text, for error messages.
 */
#ifndef GB_JSON_TEXT_H
#define GB_JSON_TEXT_H

#include <stddef.h>

/** Get the line and column, from 1, at which a quoted key first occurs in a
 * text; 1:1 if it does not occur. */
void json_text_position(
    const char *text, size_t len, const char *key, int *line, int *col);

#endif
