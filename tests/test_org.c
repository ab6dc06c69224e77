/**
 * @file test_org.c
 * Guards against callers that are taken for those of another organisation, and
 * against keys that are stored or sent in plaintext. They come about when keys
 * are matched or digested wrongly, or an entry with an error affects others.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "node/caller.h"
#include "platform.h"

#define KEY_COUNT 10000
/** Number of mutated configurations that are decoded. */
#define MUTATIONS 20000

static const char config_text[] =
    "{\"Version\":7,\"Routes\":["
    "{\"Name\":\"open\",\"Host\":\"h\",\"Prefix\":\"/o/\",\"Service\":\"s\","
    "\"AllowAnonymous\":true},"
    "{\"Name\":\"keyed\",\"Host\":\"h\",\"Prefix\":\"/k/\",\"Service\":\"s\"}],"
    "\"Services\":[{\"Name\":\"s\"}],\"Tenants\":["
    "{\"Name\":\"one\",\"ApiKeys\":[\"k1\",\"k2\"],\"Weight\":46,"
    "\"MaxCount\":{\"Cpu\":2000,\"MemMb\":4000,\"Gpus\":0}},"
    "{\"Name\":\"two\",\"ApiKeys\":[\"k3\"],\"Weight\":2}]}";

static struct gb_pool_config *
decode(const char *text)
{
	return plat_config_decode(text, strlen(text));
}

static enum gb_caller_verdict
identify(const struct gb_pool_config *config, const char *queue,
    const char *key, struct gb_caller *caller)
{
	return gb_caller_identify(
	    config, gb_pool_config_queue(config, queue), key, true, caller);
}

static void
test_keys_identify_callers(void **state)
{
	struct gb_pool_config *config = decode(config_text);
	struct gb_caller caller;
	gb_flow_caller sent;

	(void)state;
	assert_int_equal(
	    identify(config, "keyed", "k2", &caller), GB_CALLER_KNOWN);
	assert_string_equal(caller.org->name, "one");
	assert_int_equal(caller.org->weight, 46);
	assert_int_equal(caller.org->quota.cpu, 2000);
	assert_int_equal(caller.org->quota.mem, 4000);
	gb_caller_fill(&caller, config, &sent);
	assert_int_equal(sent.config, 7);
	assert_string_equal(sent.org, "one");
	assert_int_equal(sent.key.key_len, GB_KEY_DIGEST);
	assert_int_equal(
	    identify(config, "keyed", "k3", &caller), GB_CALLER_KNOWN);
	assert_string_equal(caller.org->name, "two");
	assert_int_equal(caller.org->quota.cpu, 0);
	gb_pool_config_unref(config);
}

static void
test_unknown_keys_are_rejected(void **state)
{
	struct gb_pool_config *config = decode(config_text);
	struct gb_caller caller;

	(void)state;
	assert_int_equal(
	    identify(config, "keyed", "k4", &caller), GB_CALLER_UNKNOWN);
	assert_int_equal(
	    identify(config, "keyed", "", &caller), GB_CALLER_UNKNOWN);
	assert_int_equal(
	    identify(config, "keyed", NULL, &caller), GB_CALLER_UNKNOWN);
	assert_int_equal(
	    identify(config, "open", "k4", &caller), GB_CALLER_UNKNOWN);
	gb_pool_config_unref(config);
}

/** A node is cut off from the store, so that keys may have been removed and
 * added meanwhile. By default it checks keys by the version that it has. With a
 * maximum age set, it checks no key by a version that has not been confirmed
 * for longer, but still serves callers that need no key. */
static void
test_strict_keys_need_current_version(void **state)
{
	struct gb_pool_config *config = decode(config_text);
	const struct gb_pool_queue *keyed =
	    gb_pool_config_queue(config, "keyed");
	const struct gb_pool_queue *open = gb_pool_config_queue(config, "open");
	const gb_time strict = 5 * GB_SEC;
	struct gb_caller caller;
	bool current;

	(void)state;
	assert_true(gb_caller_config_usable(3600 * GB_SEC, 0));
	assert_true(gb_caller_config_usable(strict, strict));
	current = gb_caller_config_usable(strict + 1, strict);
	assert_false(current);
	assert_int_equal(
	    gb_caller_identify(config, keyed, "k2", current, &caller),
	    GB_CALLER_NOT_VERIFIED);
	assert_null(caller.org);
	assert_int_equal(
	    gb_caller_identify(config, keyed, "k4", current, &caller),
	    GB_CALLER_NOT_VERIFIED);
	assert_int_equal(
	    gb_caller_identify(config, keyed, NULL, current, &caller),
	    GB_CALLER_UNKNOWN);
	assert_int_equal(
	    gb_caller_identify(config, open, NULL, current, &caller),
	    GB_CALLER_ANONYMOUS);
	gb_pool_config_unref(config);
}

static void
test_anonymous_queues_need_no_key(void **state)
{
	struct gb_pool_config *config = decode(config_text);
	struct gb_caller caller;
	gb_flow_caller sent;

	(void)state;
	assert_int_equal(
	    identify(config, "open", NULL, &caller), GB_CALLER_ANONYMOUS);
	gb_caller_fill(&caller, config, &sent);
	assert_string_equal(sent.org, "");
	assert_int_equal(sent.key.key_len, 0);
	assert_int_equal(
	    identify(config, "open", "k1", &caller), GB_CALLER_KNOWN);
	gb_pool_config_unref(config);
}

/** A deployment without organisations requires no key. */
static void
test_no_key_without_organisations(void **state)
{
	struct gb_pool_config *config =
	    decode("{\"Version\":1,\"Routes\":[{\"Name\":\"q\",\"Host\":\"h\","
		   "\"Prefix\":\"/q/\",\"Service\":\"s\"}]}");
	struct gb_caller caller;

	(void)state;
	assert_false(config->keyed);
	assert_int_equal(
	    identify(config, "q", NULL, &caller), GB_CALLER_ANONYMOUS);
	assert_int_equal(
	    identify(config, "q", "x", &caller), GB_CALLER_ANONYMOUS);
	gb_pool_config_unref(config);
}

/** An organisation with an error is left out, and the others remain valid. */
static void
test_invalid_organisations_are_left_out(void **state)
{
	static const struct {
		const char *entry;
		enum gb_pool_org_error error;
	} cases[] = {
	    {"{\"ApiKeys\":[\"b\"]}", GB_POOL_ORG_UNNAMED},
	    {"{\"Name\":7,\"ApiKeys\":[\"b\"]}", GB_POOL_ORG_UNNAMED},
	    {"17", GB_POOL_ORG_UNNAMED},
	    {"{\"Name\":\"good\",\"ApiKeys\":[\"b\"]}", GB_POOL_ORG_DUPLICATE},
	    {"{\"Name\":\"x\",\"ApiKeys\":[\"b\"],\"MaxCount\":{\"Cpu\":-1}}",
		GB_POOL_ORG_RANGE},
	    {"{\"Name\":\"x\",\"ApiKeys\":[\"b\"],\"MaxCount\":{\"Cpu\":\"9\"}"
	     "}",
		GB_POOL_ORG_RANGE},
	    {"{\"Name\":\"x\",\"ApiKeys\":[\"b\"],\"MaxCount\":[]}",
		GB_POOL_ORG_RANGE},
	    {"{\"Name\":\"x\",\"ApiKeys\":[7]}", GB_POOL_ORG_KEY_INVALID},
	    {"{\"Name\":\"x\",\"ApiKeys\":[\"\"]}", GB_POOL_ORG_KEY_INVALID},
	    {"{\"Name\":\"x\",\"ApiKeys\":[\"g\"]}", GB_POOL_ORG_KEY_SHARED},
	};
	struct gb_pool_config *config;
	struct gb_caller caller;
	char text[512];
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		snprintf(text, sizeof(text),
		    "{\"Version\":2,\"Routes\":[{\"Name\":\"q\"}],\"Tenants\":["
		    "{\"Name\":\"good\",\"ApiKeys\":[\"g\"]},%s]}",
		    cases[i].entry);
		config = decode(text);
		assert_non_null(config);
		assert_int_equal(config->org_errors[cases[i].error], 1);
		assert_int_equal(
		    identify(config, "q", "g", &caller), GB_CALLER_KNOWN);
		assert_string_equal(caller.org->name, "good");
		assert_int_equal(
		    identify(config, "q", "b", &caller), GB_CALLER_UNKNOWN);
		gb_pool_config_unref(config);
	}
}

/** A text without a version or without routes is rejected. */
static void
test_invalid_texts_are_rejected(void **state)
{
	(void)state;
	assert_null(decode("{\"Tenants\":[]}"));
	assert_null(decode("{\"Version\":\"7\",\"Tenants\":[]}"));
	assert_null(decode("{\"Version\":7,\"Tenants\":["));
	/* A configuration without routes would reject every request. */
	assert_null(decode("{\"Version\":7}"));
	assert_null(decode("{\"Version\":7,\"Routes\":{}}"));
}

/** Replaces the keys of a configuration by digests; null if it is no object. */
static char *
digest_keys(const char *text, size_t *len)
{
	json_t *root = json_loadb(text, strlen(text), 0, NULL);

	if (json_is_object(root))
		return plat_config_digest_keys(root, len);
	json_decref(root);
	return NULL;
}

/** A configuration is stored and sent between nodes as a text in which digests
 * replace the keys. The text must contain no key, and must have the same
 * meaning. */
static void
test_no_key_is_kept_in_clear(void **state)
{
	static const char text[] =
	    "{\"Version\":7,\"Routes\":[{\"Name\":\"keyed\"}],\"Tenants\":["
	    "{\"Name\":\"one\",\"ApiKeys\":[\"gkcuyj8pjbvk\",\"ex5wa5xwyhks\"],"
	    "\"Weight\":46},"
	    "{\"Name\":\"two\",\"ApiKeys\":[\"m68k7b2pjbvk\",\"gkcuyj8pjbvk\","
	    "\"\",7]},{\"Name\":\"one\",\"ApiKeys\":[\"nobodyskey12\"]}]}";
	struct gb_pool_config *plain = decode(text);
	struct gb_pool_config *config;
	struct gb_caller caller;
	size_t len;
	char *digested = digest_keys(text, &len);
	int i;

	(void)state;
	assert_non_null(digested);
	assert_null(strstr(digested, "gkcuyj8pjbvk"));
	assert_null(strstr(digested, "ex5wa5xwyhks"));
	assert_null(strstr(digested, "m68k7b2pjbvk"));
	assert_null(strstr(digested, "nobodyskey12"));
	config = plat_config_decode(digested, len);
	assert_non_null(config);
	assert_int_equal(identify(config, "keyed", "ex5wa5xwyhks", &caller),
	    GB_CALLER_KNOWN);
	assert_string_equal(caller.org->name, "one");
	assert_int_equal(caller.org->weight, 46);
	assert_int_equal(identify(config, "keyed", "m68k7b2pjbvk", &caller),
	    GB_CALLER_KNOWN);
	assert_string_equal(caller.org->name, "two");
	assert_int_equal(identify(config, "keyed", "nobodyskey12", &caller),
	    GB_CALLER_UNKNOWN);
	assert_int_equal(
	    gb_pool_config_key_count(config), gb_pool_config_key_count(plain));
	for (i = 0; i < GB_POOL_ORG_ERRORS; i++)
		assert_int_equal(config->org_errors[i], plain->org_errors[i]);
	free(digested);
	gb_pool_config_unref(config);
	gb_pool_config_unref(plain);
}

/** 140 organisations have 10,000 keys. */
static void
test_many_keys_are_found(void **state)
{
	struct gb_pool_config *config = gb_pool_config_new(0, 0);
	struct gb_pool_key_digest digest;
	struct gb_pool_org org = {0};
	char text[32];
	int i;

	(void)state;
	gb_pool_config_orgs_alloc(config, 140);
	for (i = 0; i < KEY_COUNT; i++) {
		if (i % (KEY_COUNT / 140 + 1) == 0) {
			snprintf(org.name, sizeof(org.name), "org%d", i);
			assert_int_equal(gb_pool_config_org_add(config, &org),
			    GB_POOL_ORG_VALID);
		}
		snprintf(text, sizeof(text), "key%d", i);
		assert_int_equal(
		    gb_pool_config_key_add(config, text), GB_POOL_ORG_VALID);
	}
	assert_int_equal(gb_pool_config_key_count(config), KEY_COUNT);
	for (i = 0; i < KEY_COUNT; i++) {
		snprintf(text, sizeof(text), "key%d", i);
		gb_pool_key_digest(text, &digest);
		assert_non_null(gb_pool_config_key_org(config, &digest));
	}
	gb_pool_key_digest("key", &digest);
	assert_null(gb_pool_config_key_org(config, &digest));
	gb_pool_config_unref(config);
}

/** Asserts that a text in which digests replace the keys has the same number of
 * keys and organisations as the text itself.
 * @param plain the decoded text, or null if it is invalid
 */
static void
assert_digests_keep_orgs(const char *text, const struct gb_pool_config *plain)
{
	struct gb_pool_config *config;
	size_t len;
	char *digested = digest_keys(text, &len);

	if (digested == NULL) {
		assert_null(plain);
		return;
	}
	config = plat_config_decode(digested, len);
	free(digested);
	assert_int_equal(config == NULL, plain == NULL);
	if (config == NULL || plain == NULL)
		return;
	assert_int_equal(
	    gb_pool_config_key_count(config), gb_pool_config_key_count(plain));
	assert_int_equal(config->org_count, plain->org_count);
	gb_pool_config_unref(config);
}

/** A configuration with bytes changed at random is either rejected or decoded
 * into valid organisations. */
static void
test_mutated_configurations(void **state)
{
	uint64_t seed = 3;
	char text[sizeof(config_text)];
	struct gb_pool_config *config;
	size_t i;
	int n;

	(void)state;
	for (n = 0; n < MUTATIONS; n++) {
		memcpy(text, config_text, sizeof(text));
		for (i = 0; i <= gb_random_next(&seed) % 4; i++)
			text[gb_random_next(&seed) % (sizeof(text) - 1)] =
			    (char)(1 + gb_random_next(&seed) % 255);
		config = decode(text);
		for (i = 0; config != NULL && i < config->org_count; i++) {
			assert_true(config->orgs[i].name[0] != '\0');
			assert_true(config->orgs[i].quota.cpu >= 0);
			assert_true(config->orgs[i].quota.mem >= 0);
		}
		assert_digests_keep_orgs(text, config);
		gb_pool_config_unref(config);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_keys_identify_callers),
	    cmocka_unit_test(test_unknown_keys_are_rejected),
	    cmocka_unit_test(test_strict_keys_need_current_version),
	    cmocka_unit_test(test_anonymous_queues_need_no_key),
	    cmocka_unit_test(test_no_key_without_organisations),
	    cmocka_unit_test(test_invalid_organisations_are_left_out),
	    cmocka_unit_test(test_invalid_texts_are_rejected),
	    cmocka_unit_test(test_no_key_is_kept_in_clear),
	    cmocka_unit_test(test_many_keys_are_found),
	    cmocka_unit_test(test_mutated_configurations),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
