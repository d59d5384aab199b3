#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <glib/gstdio.h>
#include <string.h>

#include "fleet/settings.h"

#define GOOD                                                                                       \
	"\"instance\":\"front-1\",\"data_centre\":\"dc\",\"region\":\"r\","                        \
	"\"front_address\":\"10.1.0.19:8521\",\"ready_address\":\"10.1.0.19:8523\","               \
	"\"metrics_address\":\"10.1.0.19:9464\",\"relay_address\":\"10.1.0.19:7000\",\"store_"     \
	"address\":\"10.2.0.1:8524\","                                                             \
	"\"worker_lease_max_ms\":10000,\"config_bound_ms\":2000,\"gang_wait_ms\":3000,\"far_"      \
	"factor\":3,"                                                                              \
	"\"retention_s\":120,\"stop_grace_s\":6,\"processor_share\":0.5,"                          \
	"\"processor_speed\":1,\"link_mbps\":200"

static void
test_settings (void **state)
{
	(void)state;
	static const struct {
		const char *text;
		/** Number of faults; 0: valid settings. */
		guint n_faults;
		const char *named;
	} cases[] = {
		{"{" GOOD ",\"log_level\":\"info\"}", 0, NULL},
		{"{" GOOD ",\"log_level\":\"loud\"}", 1, "log_level"},
		{"{" GOOD "}", 1, "log_level: required"},
		/* A missing key does not hide an unknown one. */
		{"{" GOOD ",\"loglevel\":\"info\"}", 2, "loglevel: unknown key"},
		{"{" GOOD ",\"log_level\":\"info\",\"gang_wait_ms\":1}", 1, "duplicate"},
		{"{\"gang_wait_ms\":2.5,\"far_factor\":0,\"front_address\":\"x\"}", 18,
		 "gang_wait_ms: expected an integer"},
		{"[]", 1, "expected an object"},
		{"{", 1, ":1: syntax"},
	};
	g_autofree char *path = NULL;
	int fd = g_file_open_tmp ("settings-XXXXXX", &path, NULL);
	g_close (fd, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		g_autoptr (GPtrArray) faults = g_ptr_array_new_with_free_func (g_free);
		g_autoptr (GError) error = NULL;
		assert_true (g_file_set_contents (path, cases[i].text, -1, NULL));
		g_autofree struct dff_fleet_settings *settings =
			dff_fleet_settings_load (path, faults, &error);
		assert_int_equal (settings != NULL, cases[i].n_faults == 0);
		assert_int_equal (error != NULL, cases[i].n_faults > 0);
		assert_int_equal (faults->len, cases[i].n_faults);
		bool named = cases[i].named == NULL;
		for (guint j = 0; j < faults->len && !named; j++)
			named = strstr (g_ptr_array_index (faults, j), cases[i].named) != NULL;
		assert_true (named);
	}
	g_unlink (path);
	assert_null (dff_fleet_settings_load (path, NULL, NULL));
}

/* Guards against the manual page differing from the program's table of settings. */
static void
test_manual_page (void **state)
{
	(void)state;
	g_autofree char *page = NULL;
	g_autoptr (GString) reference = g_string_new (NULL);
	assert_true (g_file_get_contents ("docs/man/dragonflyfold-fleet-settings.5.scd", &page,
					  NULL, NULL));
	dff_fleet_settings_describe (reference);
	assert_non_null (strstr (page, reference->str));
}

/* The settings template that the platform fills in must name every setting once, and nothing else.
 */
static void
test_template (void **state)
{
	(void)state;
	g_autofree char *template = NULL;
	assert_true (g_file_get_contents ("deploy/settings.json.in", &template, NULL, NULL));
	g_autoptr (GRegex) text = g_regex_new ("\\{\\{ip\\}\\}", 0, 0, NULL);
	g_autoptr (GRegex) port = g_regex_new ("\\{\\{port[^}]*\\}\\}", 0, 0, NULL);
	g_autoptr (GRegex) number = g_regex_new ("\\{\\{(bounds|limits)[^}]*\\}\\}", 0, 0, NULL);
	g_autoptr (GRegex) address = g_regex_new ("\\{\\{(listen|platform)[^}]*\\}\\}", 0, 0, NULL);
	g_autoptr (GRegex) name = g_regex_new ("\\{\\{[^}]*\\}\\}", 0, 0, NULL);
	g_autofree char *zero = g_regex_replace_literal (port, template, -1, 0, "7000", 0, NULL);
	g_autofree char *one = g_regex_replace_literal (text, zero, -1, 0, "10.0.0.1", 0, NULL);
	g_autofree char *two = g_regex_replace_literal (number, one, -1, 0, "3000", 0, NULL);
	g_autofree char *three =
		g_regex_replace_literal (address, two, -1, 0, "\"10.0.0.1:80\"", 0, NULL);
	g_autofree char *four = g_regex_replace_literal (name, three, -1, 0, "\"name\"", 0, NULL);
	g_autofree char *five = g_strdelimit (g_strdup (four), "", ' ');
	g_autofree char *path = NULL;
	int fd = g_file_open_tmp ("settings-XXXXXX", &path, NULL);
	g_close (fd, NULL);
	assert_true (g_file_set_contents (path, five, -1, NULL));
	g_autoptr (GPtrArray) faults = g_ptr_array_new_with_free_func (g_free);
	g_autofree struct dff_fleet_settings *settings =
		dff_fleet_settings_load (path, faults, NULL);
	g_unlink (path);
	/* Only far_factor, which is given a time here, is out of its range. */
	assert_int_equal (faults->len, 1);
	assert_non_null (strstr (g_ptr_array_index (faults, 0), "far_factor"));
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_settings),
		cmocka_unit_test (test_manual_page),
		cmocka_unit_test (test_template),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
