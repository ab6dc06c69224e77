/**
 * @file name.c
 * Check of the names of teams, services, jobs and workers.
 */
#include <ctype.h>
#include <string.h>

#include "core.h"

bool
name_valid(const char *name)
{
	size_t i;

	if (name == NULL || name[0] == '\0' || strlen(name) > GB_NAME_MAX)
		return false;
	for (i = 0; name[i] != '\0'; i++) {
		unsigned char c = (unsigned char)name[i];

		if (!isalnum(c) && c != '-' && c != '_' && c != '.')
			return false;
	}
	return true;
}
