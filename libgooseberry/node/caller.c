/**
 * @file caller.c
 * Who calls: the organisation of a request, by its key.
 */
#include <string.h>

#include "caller.h"

enum gb_caller_verdict
gb_caller_identify(const struct gb_pool_config *config,
    const struct gb_pool_queue *queue, const char *key, struct gb_caller *out)
{
	memset(out, 0, sizeof(*out));
	if (!config->keyed)
		return GB_CALLER_ANONYMOUS;
	if (key == NULL)
		return queue->anonymous ? GB_CALLER_ANONYMOUS
					: GB_CALLER_UNKNOWN;
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
