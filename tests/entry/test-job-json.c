#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "entry/job_json.h"

struct fault_case {
	const char *text;
	const char *code;
	/** Expected part of the detail text. */
	const char *detail;
};

static struct dff_job_row *
parse (const char *text, struct dff_job_rejection *rejection)
{
	struct dff_name team = dff_name_from ("casework");
	struct dff_name region = dff_name_from ("sk-central");
	return dff_job_parse (dff_str_from (text), &team, &region, rejection);
}

static void
test_invalid_jobs (void **state)
{
	(void)state;
	static const struct fault_case cases[] = {
		{"", "malformed_json", "column"},
		{"{\"service\":\"s\"", "malformed_json", "column"},
		{"[]", "invalid_job", "object"},
		{"{}", "invalid_job", "service"},
		{"{\"service\":7}", "invalid_job", "service"},
		{"{\"service\":\"a b\"}", "invalid_job", "service"},
		{"{\"service\":\"s\",\"service\":\"t\"}", "malformed_json", "duplicate"},
		{"{\"service\":\"s\",\"colour\":1}", "invalid_job", "colour"},
		{"{\"service\":\"s\",\"gang\":0}", "invalid_job", "gang"},
		{"{\"service\":\"s\",\"gang\":129}", "invalid_job", "gang"},
		{"{\"service\":\"s\",\"gang\":1.5}", "invalid_job", "gang"},
		{"{\"service\":\"s\",\"gang\":\"4\"}", "invalid_job", "gang"},
		{"{\"service\":\"s\",\"accelerators\":-1}", "invalid_job", "accelerators"},
		{"{\"service\":\"s\",\"cores\":4294967297}", "invalid_job", "cores"},
		{"{\"service\":\"s\",\"cores\":99999999999999999999}", "malformed_json", "big"},
		{"{\"service\":\"s\",\"memory_gb\":1e9}", "invalid_job", "memory_gb"},
		{"{\"service\":\"s\",\"urgent\":1}", "invalid_job", "urgent"},
		{"{\"service\":\"s\",\"adjacent\":\"row\"}", "invalid_job", "adjacent"},
		{"{\"service\":\"s\",\"adjacent\":null}", "invalid_job", "adjacent"},
		{"{\"service\":\"s\",\"declared_s\":0}", "invalid_job", "declared_s"},
		{"{\"service\":\"s\",\"declared_s\":-5}", "invalid_job", "declared_s"},
		{"{\"service\":\"s\",\"declared_s\":1e300}", "invalid_job", "declared_s"},
		{"{\"service\":\"s\",\"declared_s\":1e999}", "malformed_json", "overflow"},
		{"{\"service\":\"s\",\"region\":\"a-region-with-a-long-name\"}", "invalid_job",
		 "region"},
		{"{\"service\":\"s\",\"payload\":[]}", "invalid_job", "payload"},
		{"{\"service\":\"s\",\"idempotent\":false,\"max_attempts\":2}", "invalid_job",
		 "max_attempts"},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct dff_job_rejection rejection;
		struct dff_job_row *row = parse (cases[i].text, &rejection);
		if (row != NULL)
			fail_msg ("accepted: %s", cases[i].text);
		assert_int_equal (rejection.status, 400);
		assert_string_equal (rejection.code, cases[i].code);
		if (strstr (rejection.detail, cases[i].detail) == NULL)
			fail_msg ("%s: %s", cases[i].text, rejection.detail);
		dff_job_rejection_clear (&rejection);
	}
}

static void
test_deep_nesting_is_refused (void **state)
{
	(void)state;
	struct dff_job_rejection rejection;
	g_autoptr (GString) text = g_string_new ("{\"service\":\"s\",\"payload\":{\"a\":");
	for (int i = 0; i < 100000; i++)
		g_string_append_c (text, '[');
	assert_null (parse (text->str, &rejection));
	assert_string_equal (rejection.code, "malformed_json");
	dff_job_rejection_clear (&rejection);
}

static void
test_default_values (void **state)
{
	(void)state;
	struct dff_job_rejection rejection;
	DFF_AUTO (dff_job_row) row = parse ("{\"service\":\"s\"}", &rejection);
	assert_non_null (row);
	assert_int_equal (row->spec.gang, 1);
	assert_int_equal (row->spec.per_task.slots, 1);
	assert_int_equal (row->spec.max_attempts, 3);
	assert_true (row->spec.idempotent);
	assert_string_equal (row->spec.region.data, "sk-central");
	DFF_AUTO (dff_job_row)
	once = parse ("{\"service\":\"s\",\"idempotent\":false}", &rejection);
	assert_int_equal (once->spec.max_attempts, 1);
}

static void
test_same_submission (void **state)
{
	(void)state;
	struct dff_job_rejection rejection;
	DFF_AUTO (dff_job_row) a = parse ("{\"service\":\"s\",\"payload\":{\"x\":1}}", &rejection);
	DFF_AUTO (dff_job_row) b = parse ("{\"payload\":{\"x\":1},\"service\":\"s\"}", &rejection);
	DFF_AUTO (dff_job_row) c = parse ("{\"service\":\"s\",\"payload\":{\"x\":2}}", &rejection);
	assert_true (dff_job_same_submission (a, b));
	assert_false (dff_job_same_submission (a, c));
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_invalid_jobs),
		cmocka_unit_test (test_deep_nesting_is_refused),
		cmocka_unit_test (test_default_values),
		cmocka_unit_test (test_same_submission),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
