/**
 * @file org_config.c
 * Organisations of a configuration, with their keys and quotas.
 *
 * Each request carries a key, and there may be 10,000 keys.  A key is found by
 * its digest with one hash lookup, and is stored nowhere in plain text.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <openssl/sha.h>
#include <uthash.h>

#include "pool.h"

struct gb_pool_key {
	UT_hash_handle hh;
	struct gb_pool_key_digest digest;
	size_t org; /**< index in the list of organisations */
};

void
gb_pool_key_digest(const char *key, struct gb_pool_key_digest *digest)
{
	_Static_assert(SHA256_DIGEST_LENGTH == GB_KEY_DIGEST,
	    "a digest has the size of SHA-256");
	SHA256((const unsigned char *)key, strlen(key), digest->bytes);
}

void
gb_pool_key_digest_text(
    const struct gb_pool_key_digest *digest, char out[GB_KEY_DIGEST_TEXT])
{
	size_t i;

	for (i = 0; i < sizeof(digest->bytes); i++)
		snprintf(&out[2 * i], 3, "%02x", digest->bytes[i]);
}

bool
gb_pool_key_digest_parse(const char *text, struct gb_pool_key_digest *digest)
{
	unsigned int byte;
	size_t i;

	if (strlen(text) != GB_KEY_DIGEST_TEXT - 1 ||
	    strspn(text, "0123456789abcdef") != GB_KEY_DIGEST_TEXT - 1)
		return false;
	for (i = 0; i < sizeof(digest->bytes); i++) {
		sscanf(&text[2 * i], "%2x", &byte);
		digest->bytes[i] = (unsigned char)byte;
	}
	return true;
}

const char *
gb_pool_org_error_name(enum gb_pool_org_error error)
{
	static const char *const names[GB_POOL_ORG_ERRORS] = {
	    [GB_POOL_ORG_VALID] = "sound",
	    [GB_POOL_ORG_UNNAMED] = "unnamed",
	    [GB_POOL_ORG_DUPLICATE] = "named_twice",
	    [GB_POOL_ORG_RANGE] = "out_of_range",
	    [GB_POOL_ORG_KEY_INVALID] = "key_unreadable",
	    [GB_POOL_ORG_KEY_SHARED] = "key_shared"};

	return names[error];
}

void
gb_pool_config_orgs_alloc(struct gb_pool_config *config, size_t max)
{
	config->keyed = true;
	config->orgs = gb_calloc(max, sizeof(*config->orgs));
}

const struct gb_pool_org *
gb_pool_config_org(const struct gb_pool_config *config, const char *name)
{
	size_t i;

	for (i = 0; config != NULL && i < config->org_count; i++) {
		if (strcmp(config->orgs[i].name, name) == 0)
			return &config->orgs[i];
	}
	return NULL;
}

static enum gb_pool_org_error
org_check(const struct gb_pool_config *config, const struct gb_pool_org *org)
{
	if (org->name[0] == '\0')
		return GB_POOL_ORG_UNNAMED;
	if (org->quota.cpu < 0 || org->quota.mem < 0 || org->quota.accel < 0)
		return GB_POOL_ORG_RANGE;
	if (gb_pool_config_org(config, org->name) != NULL)
		return GB_POOL_ORG_DUPLICATE;
	return GB_POOL_ORG_VALID;
}

enum gb_pool_org_error
gb_pool_config_org_add(
    struct gb_pool_config *config, const struct gb_pool_org *org)
{
	enum gb_pool_org_error error = org_check(config, org);

	config->org_errors[error]++;
	if (error == GB_POOL_ORG_VALID)
		config->orgs[config->org_count++] = *org;
	return error;
}

/** Returns the key of a digest, or null. */
static const struct gb_pool_key *
key_find(const struct gb_pool_config *config,
    const struct gb_pool_key_digest *digest)
{
	struct gb_pool_key *key;

	HASH_FIND(hh, config->keys, digest, sizeof(*digest), key);
	return key;
}

enum gb_pool_org_error
gb_pool_config_key_add(struct gb_pool_config *config, const char *text)
{
	struct gb_pool_key_digest digest;

	if (text == NULL || text[0] == '\0') {
		config->org_errors[GB_POOL_ORG_KEY_INVALID]++;
		return GB_POOL_ORG_KEY_INVALID;
	}
	gb_pool_key_digest(text, &digest);
	return gb_pool_config_digest_add(config, &digest);
}

enum gb_pool_org_error
gb_pool_config_digest_add(
    struct gb_pool_config *config, const struct gb_pool_key_digest *digest)
{
	enum gb_pool_org_error error = GB_POOL_ORG_VALID;
	const struct gb_pool_key *other = key_find(config, digest);
	struct gb_pool_key *key;

	if (other != NULL) {
		if (other->org + 1 != config->org_count)
			error = GB_POOL_ORG_KEY_SHARED;
		config->org_errors[error]++;
		return error;
	}
	key = gb_calloc(1, sizeof(*key));
	key->digest = *digest;
	key->org = config->org_count - 1;
	HASH_ADD(hh, config->keys, digest, sizeof(key->digest), key);
	return error;
}

const struct gb_pool_org *
gb_pool_config_key_org(const struct gb_pool_config *config,
    const struct gb_pool_key_digest *digest)
{
	const struct gb_pool_key *key = key_find(config, digest);

	return key == NULL ? NULL : &config->orgs[key->org];
}

size_t
gb_pool_config_key_count(const struct gb_pool_config *config)
{
	return HASH_COUNT(config->keys);
}

void
gb_pool_config_orgs_free(struct gb_pool_config *config)
{
	struct gb_pool_key *key;
	struct gb_pool_key *next;

	HASH_ITER(hh, config->keys, key, next)
	{
		HASH_DEL(config->keys, key);
		free(key);
	}
	free(config->orgs);
}
