/**
 * @file test_entry.c
 * Guards against workers that are used although their entry in the list of
 * workers is incomplete or invalid, and against values out of range.  They come
 * about when something other than the worker writes its entry.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "platform.h"

static const char valid_entry[] =
    "{\"Service\":\"svc\",\"Address\":\"10.1.0.9:8080\",\"Zone\":\"a\","
    "\"Version\":\"v1\",\"Slots\":8,\"State\":\"ready\","
    "\"ColdRemainingMs\":0,\"Capacity\":{\"Cpu\":16000,\"MemMb\":32768,"
    "\"Gpus\":0},\"Labels\":[\"a\",\"r1-3\"],\"ClockMs\":482113,\"Seq\":4,"
    "\"born\":1778839491459}";

/** Decodes an entry; returns its error, GB_POOL_ENTRY_VALID if there is
 * none. */
static enum gb_pool_entry_error
error_of(const char *text)
{
	struct gb_pool_entry entry;

	assert_true(plat_entry_decode("i-1", text, strlen(text), &entry));
	return entry.error;
}

/** Returns the error of the valid entry with one field changed.
 * @param value JSON text, or null to remove the field
 */
static enum gb_pool_entry_error
error_with(const char *field, const char *value)
{
	json_t *root = json_loads(valid_entry, 0, NULL);
	enum gb_pool_entry_error error;
	char *text;

	assert_int_equal(json_object_del(root, field), 0);
	if (value != NULL)
		json_object_set_new(
		    root, field, json_loads(value, JSON_DECODE_ANY, NULL));
	text = json_dumps(root, 0);
	error = error_of(text);
	free(text);
	json_decref(root);
	return error;
}

static void
test_valid_entry(void **state)
{
	struct gb_pool_entry entry;

	(void)state;
	assert_true(
	    plat_entry_decode("i-1", valid_entry, strlen(valid_entry), &entry));
	assert_int_equal(entry.error, GB_POOL_ENTRY_VALID);
	assert_string_equal(entry.id, "i-1");
	assert_string_equal(entry.addr, "10.1.0.9:8080");
	assert_string_equal(entry.service, "svc");
	assert_int_equal(entry.capacity.cpu, 16000);
	assert_int_equal(entry.label_count, 2);
	assert_int_equal(entry.incarnation, 1778839491459);
	assert_false(entry.draining);
	assert_int_equal(
	    error_with("State", "\"draining\""), GB_POOL_ENTRY_VALID);
	assert_int_equal(error_with("born", NULL), GB_POOL_ENTRY_VALID);
}

/** A worker that is draining tells for how long it goes on at least. */
static void
test_time_until_worker_leaves(void **state)
{
	json_t *root = json_loads(valid_entry, 0, NULL);
	struct gb_pool_entry entry;
	char *text;

	(void)state;
	json_object_set_new(root, "State", json_string("draining"));
	json_object_set_new(root, "RemainingMs", json_integer(3587));
	text = json_dumps(root, 0);
	assert_true(plat_entry_decode("i-1", text, strlen(text), &entry));
	assert_int_equal(entry.error, GB_POOL_ENTRY_VALID);
	assert_true(entry.draining);
	assert_int_equal(entry.leaves_in, 3587 * GB_MSEC);
	free(text);
	json_object_set_new(root, "RemainingMs", json_integer(-1));
	text = json_dumps(root, 0);
	assert_int_equal(error_of(text), GB_POOL_ENTRY_INCOMPLETE);
	free(text);
	json_decref(root);
}

static void
test_missing_fields(void **state)
{
	static const char *const fields[] = {"Service", "Address", "Zone",
	    "Version", "Slots", "State", "ColdRemainingMs", "Capacity",
	    "Labels", "Seq"};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(fields) / sizeof(fields[0]); i++)
		assert_int_equal(
		    error_with(fields[i], NULL), GB_POOL_ENTRY_INCOMPLETE);
}

static void
test_fields_of_wrong_type(void **state)
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
		assert_int_equal(error_with(wrong[i].field, wrong[i].value),
		    GB_POOL_ENTRY_INCOMPLETE);
}

static void
test_invalid_values(void **state)
{
	(void)state;
	assert_int_equal(
	    error_with("State", "\"resting\""), GB_POOL_ENTRY_STATE);
	assert_int_equal(error_with("State", "\"READY\""), GB_POOL_ENTRY_STATE);
	assert_int_equal(
	    error_with("Address", "\"nowhere\""), GB_POOL_ENTRY_RANGE);
	assert_int_equal(error_with("Address", "\"worker.example:80\""),
	    GB_POOL_ENTRY_RANGE);
}

/** A worker can't be reached at an address without a port from 1 to 65535, or
 * at one that stands for any address. */
static void
test_invalid_addresses(void **state)
{
	static const char *const addresses[] = {"10.1.0.9",
	    "10.1.0.9:", "10.1.0.9:0", "10.1.0.9:00000", "10.1.0.9:-1",
	    "10.1.0.9:+80", "10.1.0.9: 80", "10.1.0.9:\\t80", "10.1.0.9:80 ",
	    "10.1.0.9:8x", "10.1.0.9:0x50", "10.1.0.9:65536",
	    "10.1.0.9:4294967376", "10.1.0.9:18446744073709551696",
	    "10.1.0.9:000080", "0.0.0.0:80", "host:80", ":80"};
	char value[64];
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(addresses) / sizeof(addresses[0]); i++) {
		snprintf(value, sizeof(value), "\"%s\"", addresses[i]);
		if (error_with("Address", value) != GB_POOL_ENTRY_RANGE)
			fail_msg("%s is taken", value);
	}
	assert_int_equal(
	    error_with("Address", "\"10.1.0.9:1\""), GB_POOL_ENTRY_VALID);
	assert_int_equal(
	    error_with("Address", "\"10.1.0.9:65535\""), GB_POOL_ENTRY_VALID);
}

static void
test_unreadable_entries(void **state)
{
	static const char *const texts[] = {
	    "", "{", "[]", "7", "\xff\xfe{}", "{\"Service\":\"a\xc3\"}"};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(texts) / sizeof(texts[0]); i++)
		assert_int_equal(error_of(texts[i]), GB_POOL_ENTRY_UNREADABLE);
}

/** A truncated entry is unreadable; an entry with one random byte changed is
 * invalid or gives values in range. */
static void
test_entries_with_a_byte_changed(void **state)
{
	char text[sizeof(valid_entry)];
	struct gb_pool_entry entry;
	uint64_t seed = 7;
	size_t i;

	(void)state;
	for (i = 0; i + 1 < sizeof(valid_entry); i++) {
		plat_entry_decode("i-1", valid_entry, i, &entry);
		assert_int_equal(entry.error, GB_POOL_ENTRY_UNREADABLE);
	}
	for (i = 0; i < 20000; i++) {
		memcpy(text, valid_entry, sizeof(valid_entry));
		text[gb_random_next(&seed) % (sizeof(valid_entry) - 1)] =
		    (char)gb_random_next(&seed);
		plat_entry_decode("i-1", text, sizeof(valid_entry) - 1, &entry);
		assert_true(entry.error < GB_POOL_ENTRY_ERRORS);
		assert_true(entry.capacity.cpu >= 0);
		assert_true(entry.label_count <= GB_POOL_LABELS);
	}
}

/** Ids of the maximum length are accepted; empty and longer ones are not. */
static void
test_ids(void **state)
{
	char id[GB_NAME_MAX + 2];
	struct gb_pool_entry entry;

	(void)state;
	memset(id, 'i', sizeof(id));
	id[sizeof(id) - 1] = '\0';
	assert_false(
	    plat_entry_decode(id, valid_entry, strlen(valid_entry), &entry));
	assert_false(
	    plat_entry_decode("", valid_entry, strlen(valid_entry), &entry));
	id[GB_NAME_MAX] = '\0';
	assert_true(
	    plat_entry_decode(id, valid_entry, strlen(valid_entry), &entry));
	assert_string_equal(entry.id, id);
}

/** An id is sent in a header, to whatever address its entry names.  With a line
 * end in it, its writer could add headers and requests. */
static void
test_ids_that_fit_no_header(void **state)
{
	static const char *const ids[] = {"i-1\r\nX-Other: y", "i-1\n", "\r",
	    "i 1", "i-1\t", "i-\x7f", "i-\x01", "i-\xc3\xa9", "i-\xef\xbf\xbd"};
	struct gb_pool_entry entry;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(ids) / sizeof(ids[0]); i++) {
		if (plat_entry_decode(
			ids[i], valid_entry, strlen(valid_entry), &entry))
			fail_msg("the id %s is taken", ids[i]);
	}
}

/** Ids of flows are 16 hexadecimal digits.  Other characters could change the
 * query of a read of the store, so that it finds another flow. */
static void
test_ids_of_flows(void **state)
{
	static const char *const ids[] = {"", "5c0e7a21d94b36f",
	    "5c0e7a21d94b36f80", "a&To=zzzzzzzzzzz", "5c0e7a21d94b36%2",
	    "5c0e7a21d94b3 f8", "5c0e7a21d94b36fg", "5c0e7a21d94b/6f8",
	    "5c0e7a21d94b36\xc3\xa9"};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(ids) / sizeof(ids[0]); i++) {
		if (plat_flow_id_valid(ids[i]))
			fail_msg("the id %s is taken", ids[i]);
	}
	assert_true(plat_flow_id_valid("5c0e7a21d94b36f8"));
	assert_true(plat_flow_id_valid("5C0E7A21D94B36F8"));
}

/** The query for the next page of the list contains the last key of the
 * previous page.  As this may contain any characters, they are escaped. */
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

/** The next page of the list begins after the last key of the previous one.
 * No key of the list may lie between the two, and the store takes none that is
 * longer than its longest. */
static void
test_first_key_of_a_page(void **state)
{
	static const struct {
		const char *end; /**< of a key of 200 bytes */
		const char *next;
	} longest[] = {{"a", "b"}, {"~", "\x7f"}, {"b\x7f", "c"},
	    {"\xc3\xa9", "\xc3\xaa"}, {"\xc3\xbf", "\xc4\x80"},
	    {"a\xdf\xbf", "b"}, {"\xed\x9f\xbf", "\xee\x80\x80"},
	    {"c\xf4\x8f\xbf\xbf", "d"}};
	char key[PLAT_KEY_BYTES_MAX + 1];
	char out[PLAT_KEY_BYTES_MAX + 1];
	size_t i;

	(void)state;
	assert_true(plat_key_next("i-1", out));
	assert_true(strcmp(out, "i-1") > 0);
	assert_true(strcmp(out, "i-1 ") <= 0);
	assert_true(strcmp(out, "i-1-a") <= 0);
	memset(key, 'k', sizeof(key));
	for (i = 0; i < sizeof(longest) / sizeof(longest[0]); i++) {
		size_t len = PLAT_KEY_BYTES_MAX - strlen(longest[i].end);

		snprintf(key + len, sizeof(key) - len, "%s", longest[i].end);
		assert_true(plat_key_next(key, out));
		assert_memory_equal(out, key, len);
		assert_string_equal(out + len, longest[i].next);
		memset(key, 'k', sizeof(key));
	}
	for (i = 0; i < PLAT_KEY_BYTES_MAX; i += 4)
		memcpy(key + i, "\xf4\x8f\xbf\xbf", 4);
	key[i] = '\0';
	assert_false(plat_key_next(key, out));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_valid_entry),
	    cmocka_unit_test(test_time_until_worker_leaves),
	    cmocka_unit_test(test_missing_fields),
	    cmocka_unit_test(test_fields_of_wrong_type),
	    cmocka_unit_test(test_invalid_values),
	    cmocka_unit_test(test_invalid_addresses),
	    cmocka_unit_test(test_unreadable_entries),
	    cmocka_unit_test(test_entries_with_a_byte_changed),
	    cmocka_unit_test(test_ids),
	    cmocka_unit_test(test_ids_that_fit_no_header),
	    cmocka_unit_test(test_ids_of_flows),
	    cmocka_unit_test(test_keys_in_queries),
	    cmocka_unit_test(test_first_key_of_a_page),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
