/**
 * @file test_document.c
 * Guards against documents and settings that are accepted with errors or
 * refused without a usable message.  Also checks retry budgets, the verdicts
 * that allow a retry, and trace contexts.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "gooseberry.h"

static const struct gb_dcs dcs = {2, {"aarhus", "viborg"}};

/** Error of a document, empty when it is valid. */
static const char *
doc_error(const char *text)
{
	static struct gb_error err;
	struct gb_doc doc;

	memset(&err, 0, sizeof(err));
	return gb_doc_parse(&doc, &dcs, text, strlen(text), &err) ? ""
								  : err.text;
}

/** A document without resources and policy gets the defaults of its kind. */
static void
test_document_valid(void **state)
{
	static const char text[] =
	    "{\"team\": \"byggepas\", \"service\": \"passport-lookup\",\n"
	    " \"kind\": \"lookup\", \"placement\": {\"dcs\": [\"viborg\"]}}";
	struct gb_error err = {0};
	struct gb_doc doc;

	(void)state;
	assert_true(gb_doc_parse(&doc, &dcs, text, strlen(text), &err));
	assert_int_equal(doc.band, GB_BAND_URGENT);
	assert_int_equal(doc.dcs, 2);
	assert_true(doc.idempotent);
	assert_int_equal(doc.res.slots, 1);
	assert_int_equal(doc.res.conns, 1);
}

/** Errors name the line, the column and the field. */
static void
test_document_errors(void **state)
{
	(void)state;
	assert_string_equal(
	    doc_error("{"), "1:1: string or '}' expected near end of file");
	assert_string_equal(
	    doc_error("[]"), "1:1: a document must be an object");
	assert_string_equal(
	    doc_error("{\"team\": \"a\", \"service\": \"b\",\n"
		      "  \"kind\": \"lookup\", \"replica\": 3}"),
	    "2:21: replica: is not a field of a document");
	assert_string_equal(doc_error("{\"team\": \"a\", \"service\": \"b\", "
				      "\"kind\": \"batch\", \"resources\": "
				      "{\"cpu_milli\": -1}}"),
	    "1:62: resources.cpu_milli: must be a whole number from 0 to "
	    "1000000");
	assert_string_equal(doc_error("{\"team\": \"a\", \"service\": \"b\"}"),
	    "1:1: kind: is missing");
	assert_non_null(
	    strstr(doc_error("{\"team\": \"a/b\", \"service\": \"b\", "
			     "\"kind\": \"batch\"}"),
		"team: must be a name"));
	assert_non_null(
	    strstr(doc_error("{\"team\": \"a\", \"service\": \"b\", \"kind\": "
			     "\"gang\", \"policy\": {\"idempotent\": false}}"),
		"policy.idempotent: must be true for a gang"));
	assert_non_null(
	    strstr(doc_error("{\"team\": \"a\", \"service\": \"b\", \"kind\": "
			     "\"batch\", \"placement\": {\"dcs\": [\"x\"]}}"),
		"placement.dcs: names a data centre"));
}

/** Error of a scheduler's settings, empty when they are valid. */
static const char *
sched_settings_error(const char *text)
{
	static struct gb_sched_settings settings;
	static struct gb_error err;

	memset(&err, 0, sizeof(err));
	return gb_settings_parse(gb_sched_settings_table,
		   gb_sched_settings_count, &settings, "s.json", text,
		   strlen(text), &err)
		   ? ""
		   : err.text;
}

/** Errors name the file, the line, the column and the setting. */
static void
test_settings_errors(void **state)
{
	(void)state;
	assert_string_equal(
	    sched_settings_error("{}"), "s.json:1:1: member: is missing");
	assert_string_equal(
	    sched_settings_error("{\"member\": \"i\",\n \"mebmer\": 1}"),
	    "s.json:2:2: mebmer: is not a setting");
	assert_string_equal(
	    sched_settings_error(
		"{\"member\": \"i\", \"dc\": \"a\", \"dcs\": [\"a\"], "
		"\"listen\": \"1.2.3.4\"}"),
	    "s.json:1:42: listen: must be an address such as 10.0.0.1:7000");
	assert_string_equal(
	    sched_settings_error(
		"{\"member\": \"i\", \"dc\": \"a\", \"dcs\": [\"a\"], "
		"\"listen\": \"1.2.3.4:1\", \"store\": \"1.2.3.4:2\", "
		"\"beat_ms\": 1}"),
	    "s.json:1:87: beat_ms: must be a whole number from 10 to 10000 "
	    "(ms)");
}

/** A budget allows its initial retries and then a share of the calls; delays
 * stay between their bounds. */
static void
test_retry_budget(void **state)
{
	struct gb_retry retry;
	int spent = 0;
	int i;

	(void)state;
	gb_retry_init(&retry, 100, 2000, 1);
	while (gb_retry_spend(&retry))
		spent++;
	assert_int_equal(spent, 2);
	for (i = 0; i < 100; i++) {
		gb_retry_earn(&retry);
		spent += gb_retry_spend(&retry);
	}
	assert_int_equal(spent, 12);
	for (i = 0; i < 100; i++) {
		gb_time delay = gb_retry_delay(&retry, 3, 10, 60);

		assert_in_range(delay, 1, 60);
	}
}

/** What may have run is retried only if it is idempotent; what has run is not
 * retried. */
static void
test_verdicts(void **state)
{
	(void)state;
	assert_true(gb_verdict_retryable(GB_NOT_RUN, false));
	assert_false(gb_verdict_retryable(GB_MAYBE_RUN, false));
	assert_true(gb_verdict_retryable(GB_MAYBE_RUN, true));
	assert_false(gb_verdict_retryable(GB_RUN, true));
}

/** A child keeps the trace id of its parent; an invalid parent starts a new
 * trace. */
static void
test_trace(void **state)
{
	static const char parent[] =
	    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
	char own[GB_TRACE_MAX];
	uint64_t seed = 1;

	(void)state;
	gb_trace_child(own, parent, &seed, 0);
	assert_memory_equal(own, parent, 36);
	assert_memory_not_equal(own + 36, parent + 36, 16);
	assert_true(gb_trace_sampled(own));
	gb_trace_child(own, "garbage", &seed, 0);
	assert_int_equal(strlen(own), 55);
	assert_false(gb_trace_sampled(own));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_document_valid),
	    cmocka_unit_test(test_document_errors),
	    cmocka_unit_test(test_settings_errors),
	    cmocka_unit_test(test_retry_budget),
	    cmocka_unit_test(test_verdicts),
	    cmocka_unit_test(test_trace),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
