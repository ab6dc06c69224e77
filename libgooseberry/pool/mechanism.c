/**
 * @file mechanism.c
 * Mechanisms that can be switched off, to measure what each is worth.
 */
#include <string.h>

#include "pool.h"

static const char *const names[GB_MECHANISMS] = {
    [GB_MECH_ORDER] = "order",
    [GB_MECH_ROOM] = "room",
    [GB_MECH_BOOK] = "book",
    [GB_MECH_AHEAD] = "ahead",
    [GB_MECH_LANES] = "lanes",
    [GB_MECH_RENEW] = "renew",
    [GB_MECH_ASIDE] = "aside",
    [GB_MECH_SPEED] = "speed",
    [GB_MECH_COPIES] = "copies",
    [GB_MECH_GATHER] = "gather",
    [GB_MECH_HANDOVER] = "handover",
    [GB_MECH_RANKS] = "ranks",
    [GB_MECH_DOUBT] = "doubt",
    [GB_MECH_WITHOUT_OWNER] = "without-owner",
    [GB_MECH_FOR_OWNER] = "for-owner",
    [GB_MECH_QUICK_ONLY] = "quick-only",
    [GB_MECH_PACE] = "pace",
    [GB_MECH_SIZE] = "size",
    [GB_MECH_SHARE] = "share",
};

static int
mechanism_find(const char *name, size_t len)
{
	int i;

	for (i = 0; i < GB_MECHANISMS; i++) {
		if (strlen(names[i]) == len &&
		    strncmp(names[i], name, len) == 0)
			return i;
	}
	return -1;
}

bool
gb_mechanisms_parse(const char *list, uint32_t *out, struct gb_error *err)
{
	int number;
	size_t len;

	*out = 0;
	while (*list != '\0') {
		len = strcspn(list, ",");
		number = mechanism_find(list, len);
		if (number < 0) {
			gb_error_set(err, GB_E_INVALID,
			    "off: no mechanism is called %.*s", (int)len, list);
			return false;
		}
		*out |= UINT32_C(1) << number;
		list += len;
		if (*list == ',')
			list++;
	}
	return true;
}
