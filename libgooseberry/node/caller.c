/**
 * @file caller.c
 * Identifies the organisation of a caller by the key of its request.
 *
 * A key may be revoked while a node is cut off from the store, so that the node
 * can't know whether its configuration is the newest.  By default it goes on
 * verifying keys with it, since outages of the store are far more frequent than
 * revoked keys.  An operator can choose the opposite: then keys are not
 * verified with a version that has not been confirmed for some time.
 */
#include <string.h>

#include "caller.h"

bool
gb_caller_config_usable(gb_time age, gb_time max_age)
{
	return max_age == 0 || age <= max_age;
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
