/**
 * @file feature.c
 * Features that can be disabled by the setting `off`, to measure the effect of
 * each.
 */
#include <string.h>

#include "pool.h"

/** Names in the setting. */
static const char *const names[GB_FEATURES] = {
    [GB_FEATURE_DEADLINE_ORDER] = "order",
    [GB_FEATURE_PREEMPTION] = "room",
    [GB_FEATURE_RESERVATION] = "book",
    [GB_FEATURE_ADVICE_PREFETCH] = "ahead",
    [GB_FEATURE_ADVICE_CHANNELS] = "lanes",
    [GB_FEATURE_TICKET_RENEWAL] = "renew",
    [GB_FEATURE_QUARANTINE] = "aside",
    [GB_FEATURE_FAST_WORKERS] = "speed",
    [GB_FEATURE_SPECULATION] = "copies",
    [GB_FEATURE_WRITE_BATCHING] = "gather",
    [GB_FEATURE_HANDOVER] = "handover",
    [GB_FEATURE_SUCCESSION] = "ranks",
    [GB_FEATURE_STORE_CHECK] = "doubt",
    [GB_FEATURE_STORE_WITHOUT_OWNER] = "without-owner",
    [GB_FEATURE_STORE_FOR_OWNER] = "for-owner",
    [GB_FEATURE_STORE_WHILE_QUICK] = "quick-only",
    [GB_FEATURE_PACING] = "pace",
    [GB_FEATURE_SIZE_ORDER] = "size",
    [GB_FEATURE_SHARE_ORDER] = "share",
    [GB_FEATURE_PRIORITY_ORDER] = "priority",
    [GB_FEATURE_USAGE_ORDER] = "usage",
    [GB_FEATURE_GANG_WORKERS] = "gang-workers",
};

/** Returns the feature of a name with this length in bytes, or -1. */
static int
feature_find(const char *name, size_t len)
{
	int i;

	for (i = 0; i < GB_FEATURES; i++) {
		if (strlen(names[i]) == len &&
		    strncmp(names[i], name, len) == 0)
			return i;
	}
	return -1;
}

bool
gb_features_parse(const char *list, uint32_t *out, struct gb_error *err)
{
	int number;
	size_t len;

	*out = 0;
	while (*list != '\0') {
		len = strcspn(list, ",");
		number = feature_find(list, len);
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
