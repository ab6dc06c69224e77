/**
 * @file test_entry.c
 * Entries of the list of workers, as others than the workers may write them:
 * what is not whole and sound names no worker to use.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "platform.h"

static const char sound[] =
    "{\"Service\":\"svc\",\"Address\":\"10.1.0.9:8080\",\"Zone\":\"a\","
    "\"Version\":\"v1\",\"Slots\":8,\"State\":\"ready\","
    "\"ColdRemainingMs\":0,\"Capacity\":{\"Cpu\":16000,\"MemMb\":32768,"
    "\"Gpus\":0},\"Labels\":[\"a\",\"r1-3\"],\"ClockMs\":482113,\"Seq\":4,"
    "\"born\":1778839491459}";

static enum gb_pool_entry_error
fault_of(const char *text)
{
	struct gb_pool_entry entry;

	assert_true(plat_entry_decode("i-1", text, strlen(text), &entry));
	return entry.fault;
}

/** Fault of the sound entry with one field changed; null takes it away. */
static enum gb_pool_entry_error
fault_with(const char *field, const char *value)
{
	json_t *root = json_loads(sound, 0, NULL);
	enum gb_pool_entry_error fault;
	char *text;

	assert_int_equal(json_object_del(root, field), 0);
	if (value != NULL)
		json_object_set_new(
		    root, field, json_loads(value, JSON_DECODE_ANY, NULL));
	text = json_dumps(root, 0);
	fault = fault_of(text);
	free(text);
	json_decref(root);
	return fault;
}

static void
test_a_sound_entry(void **state)
{
	struct gb_pool_entry entry;

	(void)state;
	assert_true(plat_entry_decode("i-1", sound, strlen(sound), &entry));
	assert_int_equal(entry.fault, GB_POOL_ENTRY_VALID);
	assert_string_equal(entry.id, "i-1");
	assert_string_equal(entry.addr, "10.1.0.9:8080");
	assert_string_equal(entry.service, "svc");
	assert_int_equal(entry.capacity.cpu, 16000);
	assert_int_equal(entry.label_count, 2);
	assert_int_equal(entry.incarnation, 1778839491459);
	assert_false(entry.draining);
	assert_int_equal(
	    fault_with("State", "\"draining\""), GB_POOL_ENTRY_VALID);
	assert_int_equal(fault_with("born", NULL), GB_POOL_ENTRY_VALID);
}

static void
test_fields_that_are_missing(void **state)
{
	static const char *const fields[] = {"Service", "Address", "Zone",
	    "Version", "Slots", "State", "ColdRemainingMs", "Capacity",
	    "Labels", "Seq"};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(fields) / sizeof(fields[0]); i++)
		assert_int_equal(
		    fault_with(fields[i], NULL), GB_POOL_ENTRY_INCOMPLETE);
}

static void
test_fields_of_another_type(void **state)
{
	static const struct {
		const char *field;
		const char *value;
	} wrong[] = {{"Service", "7"}, {"Service", "\"\""}, {"Service", "null"},
	    {"Address", "[\"10.1.0.9:8080\"]"}, {"Zone", "{}"},
	    {"Version", "1"}, {"Slots", "\"8\""}, {"State", "true"},
	    {"ColdRemainingMs", "\"0\""}, {"Capacity", "16000"},
	    {"Capacity", "{}"},
	    {"Capacity", "{\"Cpu\":\"16000\",\"MemMb\":1,\"Gpus\":0}"},
	    {"Capacity", "{\"Cpu\":-1,\"MemMb\":1,\"Gpus\":0}"},
	    {"Capacity", "{\"Cpu\":1e18,\"MemMb\":1,\"Gpus\":0}"},
	    {"Labels", "\"a\""}, {"Labels", "[1]"}, {"Seq", "\"4\""},
	    {"Seq", "4.5"}, {"born", "\"1778839491459\""},
	    {"born", "1778839491.5"}, {"born", "-1"}, {"born", "null"}};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(wrong) / sizeof(wrong[0]); i++)
		assert_int_equal(fault_with(wrong[i].field, wrong[i].value),
		    GB_POOL_ENTRY_INCOMPLETE);
}

static void
test_values_that_cannot_be(void **state)
{
	(void)state;
	assert_int_equal(
	    fault_with("State", "\"resting\""), GB_POOL_ENTRY_STATE);
	assert_int_equal(fault_with("State", "\"READY\""), GB_POOL_ENTRY_STATE);
	assert_int_equal(
	    fault_with("Address", "\"nowhere\""), GB_POOL_ENTRY_RANGE);
	assert_int_equal(fault_with("Address", "\"worker.example:80\""),
	    GB_POOL_ENTRY_RANGE);
}

static void
test_bytes_that_cannot_be_read(void **state)
{
	static const char *const texts[] = {
	    "", "{", "[]", "7", "\xff\xfe{}", "{\"Service\":\"a\xc3\"}"};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(texts) / sizeof(texts[0]); i++)
		assert_int_equal(fault_of(texts[i]), GB_POOL_ENTRY_UNREADABLE);
}

/** Every beginning of an entry, and every entry with one byte changed, is
 * refused or gives values in range. */
static void
test_entries_with_a_byte_changed(void **state)
{
	char text[sizeof(sound)];
	struct gb_pool_entry entry;
	uint64_t seed = 7;
	size_t i;

	(void)state;
	for (i = 0; i + 1 < sizeof(sound); i++) {
		plat_entry_decode("i-1", sound, i, &entry);
		assert_int_equal(entry.fault, GB_POOL_ENTRY_UNREADABLE);
	}
	for (i = 0; i < 20000; i++) {
		memcpy(text, sound, sizeof(sound));
		text[gb_random_next(&seed) % (sizeof(sound) - 1)] =
		    (char)gb_random_next(&seed);
		plat_entry_decode("i-1", text, sizeof(sound) - 1, &entry);
		assert_true(entry.fault < GB_POOL_ENTRY_ERRORS);
		assert_true(entry.capacity.cpu >= 0);
		assert_true(entry.label_count <= GB_POOL_LABELS);
	}
}

static void
test_ids(void **state)
{
	char id[GB_NAME_MAX + 2];
	struct gb_pool_entry entry;

	(void)state;
	memset(id, 'i', sizeof(id));
	id[sizeof(id) - 1] = '\0';
	assert_false(plat_entry_decode(id, sound, strlen(sound), &entry));
	assert_false(plat_entry_decode("", sound, strlen(sound), &entry));
	id[GB_NAME_MAX] = '\0';
	assert_true(plat_entry_decode(id, sound, strlen(sound), &entry));
	assert_string_equal(entry.id, id);
}

/** A page of the list ends with whatever key another writer chose; the next one
 * is asked for from there. */
static void
test_keys_in_queries(void **state)
{
	char out[64];

	(void)state;
	plat_query_value("i-7f3a91c2", out, sizeof(out));
	assert_string_equal(out, "i-7f3a91c2");
	plat_query_value("a b&Limit=0#\xc3\xa9", out, sizeof(out));
	assert_string_equal(out, "a%20b%26Limit%3D0%23%C3%A9");
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_a_sound_entry),
	    cmocka_unit_test(test_fields_that_are_missing),
	    cmocka_unit_test(test_fields_of_another_type),
	    cmocka_unit_test(test_values_that_cannot_be),
	    cmocka_unit_test(test_bytes_that_cannot_be_read),
	    cmocka_unit_test(test_entries_with_a_byte_changed),
	    cmocka_unit_test(test_ids),
	    cmocka_unit_test(test_keys_in_queries),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
