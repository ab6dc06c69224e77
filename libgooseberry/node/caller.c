/**
 * @file caller.c
 * Who calls: the organisation of a request, by its key.
 *
 * Load: keys are taken away while a node is cut from the store.  It can't know
 * whether the version that it has is the newest.  Serving by it keeps callers
 * served through outages of the store, which are far more frequent than keys
 * that are taken away; where an operator asks for the opposite, keys are not
 * judged by a version that has not been confirmed for some time.
 */
#include <string.h>

#include "caller.h"

bool
gb_caller_current(gb_time age, gb_time most)
{
	return most == 0 || age <= most;
}

enum gb_caller_verdict
gb_caller_identify(const struct gb_pool_config *config,
    const struct gb_pool_queue *queue, const char *key, bool current,
    struct gb_caller *out)
{
	memset(out, 0, sizeof(*out));
	if (!config->keyed)
		return GB_CALLER_ANONYMOUS;
	if (key == NULL)
		return queue->anonymous ? GB_CALLER_ANONYMOUS
					: GB_CALLER_UNKNOWN;
	if (!current)
		return GB_CALLER_NOT_VERIFIED;
	gb_pool_key_digest(key, &out->digest);
	out->org = gb_pool_config_key_org(config, &out->digest);
	return out->org == NULL ? GB_CALLER_UNKNOWN : GB_CALLER_KNOWN;
}

void
gb_caller_fill(const struct gb_caller *caller,
    const struct gb_pool_config *config, gb_flow_caller *out)
{
	static char none[] = "";
	bool known = caller->org != NULL;

	out->config = config->version;
	out->org = known ? (char *)caller->org->name : none;
	out->key.key_len = known ? sizeof(caller->digest.bytes) : 0;
	out->key.key_val = (char *)caller->digest.bytes;
}
