#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "common/log.h"
#include "common/metrics.h"

static void
test_print_keeps_families_together (void **state)
{
	(void)state;
	DFF_AUTO (dff_metrics) metrics = dff_metrics_new ();
	int64_t *labelled = dff_metrics_counter (metrics, "dff_a_total{k=\"x\"}", "A.");
	int64_t *plain = dff_metrics_counter (metrics, "dff_a_total", "A.");
	*dff_metrics_gauge (metrics, "dff_a_total_open", "Open.") = -2;
	*labelled += 3;
	*plain += 1;
	assert_ptr_equal (plain, dff_metrics_counter (metrics, "dff_a_total", "A."));
	g_autoptr (GString) out = g_string_new (NULL);
	dff_metrics_print (metrics, out);
	assert_string_equal (out->str, "# HELP dff_a_total A.\n"
				       "# TYPE dff_a_total counter\n"
				       "dff_a_total 1\n"
				       "dff_a_total{k=\"x\"} 3\n"
				       "# HELP dff_a_total_open Open.\n"
				       "# TYPE dff_a_total_open gauge\n"
				       "dff_a_total_open -2\n");
}

struct level_case {
	const char *text;
	bool valid;
	enum dff_log_level level;
};

static void
test_level_parse (void **state)
{
	(void)state;
	static const struct level_case cases[] = {
		{"debug", true, DFF_LOG_DEBUG},     {"info", true, DFF_LOG_INFO},
		{"warning", true, DFF_LOG_WARNING}, {"error", true, DFF_LOG_ERROR},
		{"Info", false, DFF_LOG_INFO},      {"", false, DFF_LOG_INFO},
		{"inf", false, DFF_LOG_INFO},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		enum dff_log_level level = DFF_LOG_INFO;
		assert_int_equal (dff_log_level_parse (dff_str_from (cases[i].text), &level),
				  cases[i].valid);
		assert_int_equal (level, cases[i].level);
	}
}

static void
test_histogram (void **state)
{
	(void)state;
	DFF_AUTO (dff_metrics) metrics = dff_metrics_new ();
	struct dff_histogram *histogram = dff_metrics_histogram (metrics, "dff_wait_ms", "Waits.");
	assert_ptr_equal (histogram, dff_metrics_histogram (metrics, "dff_wait_ms", "Waits."));
	static const int64_t times_ms[] = {0, 2, 3, 400, 20000};
	for (size_t i = 0; i < G_N_ELEMENTS (times_ms); i++)
		dff_histogram_observe (histogram, times_ms[i]);
	g_autoptr (GString) out = g_string_new (NULL);
	dff_metrics_print (metrics, out);
	static const char *const lines[] = {
		"# TYPE dff_wait_ms histogram\n",
		"dff_wait_ms_bucket{le=\"2\"} 2\n",
		"dff_wait_ms_bucket{le=\"5\"} 3\n",
		"dff_wait_ms_bucket{le=\"500\"} 4\n",
		"dff_wait_ms_bucket{le=\"10000\"} 4\n",
		"dff_wait_ms_bucket{le=\"+Inf\"} 5\n",
		"dff_wait_ms_sum 20405\n",
		"dff_wait_ms_count 5\n",
	};
	for (size_t i = 0; i < G_N_ELEMENTS (lines); i++)
		assert_non_null (strstr (out->str, lines[i]));
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_print_keeps_families_together),
		cmocka_unit_test (test_level_parse),
		cmocka_unit_test (test_histogram),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
