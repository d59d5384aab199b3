#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "daemon/settings.h"

#define KEY_43 "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8"
#define DIGEST_64 "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

/* All required keys, one on each line; line 1 is the brace. */
#define REQUIRED                                                                                   \
	"{\n\"instance\": \"entry-1\",\n\"region\": \"demo\",\n\"data_centre\": \"dc1\",\n"        \
	"\"listen\": \"127.0.0.1:0\",\n\"peer_listen\": \"127.0.0.1:7001\",\n"                     \
	"\"peer_public_key\": \"" KEY_43 "\",\n\"peer_secret_key\": \"" KEY_43 "\",\n"             \
	"\"table_address\": \"127.0.0.1:9\",\n\"object_store_address\": \"127.0.0.1:9\",\n"        \
	"\"instance_list_address\": \"127.0.0.1:9\""

struct settings_case {
	const char *text;
	/* Errors in order, one on each line; empty: accepted. */
	const char *faults;
};

static const struct settings_case settings_cases[] = {
	{REQUIRED "}", ""},
	{REQUIRED ",\n\"log_level\": \"debug\", \"bootstrap_token_digest\": \"sha256:" DIGEST_64
		  "\"}",
	 ""},
	{REQUIRED ",\n\"bootstrap_token_digest\": \"\"}", ""},
	{"{", "f:1: syntax: string or '}' expected near end of file\n"},
	{"[]", "f:1: syntax: expected an object\n"},
	{REQUIRED ",\n\"tick\": 5}",
	 "f:12: tick: unknown key; expected one of dragonflyfold-settings(5)\n"},
	{REQUIRED ",\n\"tick_ms\": \"5\"}",
	 "f:12: tick_ms: expected an integer from 1 to 1000 (ms)\n"},
	{REQUIRED ",\n\"tick_ms\": 5.0}",
	 "f:12: tick_ms: expected an integer from 1 to 1000 (ms)\n"},
	{REQUIRED ",\n\"tick_ms\": null}",
	 "f:12: tick_ms: expected an integer from 1 to 1000 (ms)\n"},
	{REQUIRED ",\n\"trace_path\":\n{\"tick_ms\": 0},\n\"max_requests\": -1}",
	 "f:12: trace_path: expected a string\n"
	 "f:14: max_requests: expected an integer from 1 to 100000\n"},
	{REQUIRED ",\n\"trace_path\": \"a\\\"{\",\n\"tick_ms\": 9223372036854775807}",
	 "f:13: tick_ms: expected an integer from 1 to 1000 (ms)\n"},
	{REQUIRED ",\n\"trace_path\": [[], {\"a\": [true, \"}\"]}, 1],\n\"ti\\u0063k.x[0]\": 1}",
	 "f:12: trace_path: expected a string\n"
	 "f:13: tick.x[0]: unknown key; expected one of dragonflyfold-settings(5)\n"},
	{REQUIRED ",\n\"log_level\": \"loud\"}",
	 "f:12: log_level: expected \"debug\", \"info\", \"warning\" or \"error\"\n"},
	{REQUIRED ",\n\"tls_key\": \"key.pem\"}",
	 "f:12: tls_key: expected together with tls_certificate\n"},
	{REQUIRED ",\n\"bootstrap_token_digest\": \"sha256:12\"}",
	 "f:12: bootstrap_token_digest: expected \"sha256:\" and 64 hex digits, or an empty "
	 "string\n"},
	{REQUIRED ",\n\"cell_renew_ms\": 2400}",
	 "f:12: cell_renew_ms: expected less than cell_lease_ms - cell_margin_ms (2400), else the "
	 "holder stops acting before each renewal\n"},
	{REQUIRED ",\n\"dead_ms\": 2000}",
	 "f:12: suspect_ms: expected less than dead_ms (2000), else a suspicion cannot be "
	 "refuted\n"},
};

static struct dff_settings *
parse (const char *text, GString *faults)
{
	g_autoptr (GPtrArray) errors = g_ptr_array_new_with_free_func (g_free);
	g_autoptr (GError) error = NULL;
	struct dff_settings *settings =
		dff_settings_parse (dff_str_from (text), "f", errors, &error);
	for (guint i = 0; i < errors->len; i++)
		g_string_append_printf (faults, "%s\n", (char *)g_ptr_array_index (errors, i));
	assert_true ((settings == NULL) == (error != NULL));
	if (error != NULL)
		assert_string_equal (error->message, g_ptr_array_index (errors, 0));
	return settings;
}

static void
test_parse (void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS (settings_cases); i++) {
		g_autoptr (GString) faults = g_string_new (NULL);
		DFF_AUTO (dff_settings) settings = parse (settings_cases[i].text, faults);
		assert_string_equal (faults->str, settings_cases[i].faults);
	}
}

struct value_case {
	const char *key;
	const char *value;
	bool valid;
};

/* Names may contain ':' and digits, so an address is a name of a certain form. */
static const struct value_case value_cases[] = {
	{"listen", "10.0.0.1:80", true},
	{"listen", "10.0.0.1", false},
	{"listen", "10.0.0.1:", false},
	{"listen", "10.0.0.256:80", false},
	{"listen", "10.0.0.1:65536", false},
	{"listen", "10.0.0.1:+80", false},
	{"listen", "localhost:80", false},
	{"listen", "::1:80", false},
	{"table_address", "10.0.0.1:0", false},
	{"instance", "a b", false},
	{"instance", "", false},
	{"region", "sixteen-bytes-xx", true},
	{"region", "seventeen-bytes-x", false},
	{"peer_secret_key", KEY_43, true},
	{"peer_secret_key", KEY_43 "A", false},
	{"peer_secret_key", "AAEC", false},
};

static void
test_values (void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS (value_cases); i++) {
		const struct value_case *test = &value_cases[i];
		g_autofree char *text =
			g_strdup_printf ("{\"%s\": \"%s\"}", test->key, test->value);
		g_autofree char *fault = g_strdup_printf ("f:1: %s: expected ", test->key);
		g_autoptr (GString) faults = g_string_new (NULL);
		DFF_AUTO (dff_settings) settings = parse (text, faults);
		assert_null (settings);
		assert_int_equal (strstr (faults->str, fault) == NULL, test->valid);
	}
}

static void
test_defaults (void **state)
{
	(void)state;
	g_autoptr (GString) faults = g_string_new (NULL);
	DFF_AUTO (dff_settings) settings = parse (REQUIRED "}", faults);
	assert_int_equal (settings->tick_ms, 10);
	assert_int_equal (settings->cell_lease_ms, 3000);
	assert_int_equal (settings->max_body_bytes, 1048576);
	assert_int_equal (settings->drain_timeout_ms, 0);
	/* Nine processes stay within 270 of the 300 writes a second that the table takes. */
	assert_int_equal (settings->table_writes_per_s, 270 / 9);
	assert_int_equal (settings->log_level, DFF_LOG_INFO);
	assert_int_equal (settings->bootstrap_token_digest->len, 0);
	assert_string_equal (settings->listen.data, "127.0.0.1:0");
}

static void
test_reload (void **state)
{
	(void)state;
	g_autoptr (GString) faults = g_string_new (NULL);
	DFF_AUTO (dff_settings) settings = parse (REQUIRED "}", faults);
	DFF_AUTO (dff_settings)
	fresh = parse (REQUIRED ", \"max_requests\": 7, \"log_level\": \"error\", \"tick_ms\": 20,"
				"\"trace_path\": \"-\"}",
		       faults);
	g_autoptr (GPtrArray) fixed = g_ptr_array_new_with_free_func (g_free);
	dff_settings_reload (settings, fresh, fixed);
	assert_int_equal (settings->max_requests, 7);
	assert_int_equal (settings->log_level, DFF_LOG_ERROR);
	assert_int_equal (settings->tick_ms, 10);
	assert_int_equal (fixed->len, 2);
	assert_string_equal (g_ptr_array_index (fixed, 0), "trace_path");
	assert_string_equal (g_ptr_array_index (fixed, 1), "tick_ms");
}

/* Guards against a manual page with a range or default that differs from the program's, because a
 * key was changed in the table only. */
static void
test_manual_page_follows_table (void **state)
{
	(void)state;
	g_autoptr (GString) reference = g_string_new (NULL);
	dff_settings_describe (reference);
	g_autofree char *page = NULL;
	assert_true (
		g_file_get_contents ("docs/man/dragonflyfold-settings.5.scd", &page, NULL, NULL));
	assert_non_null (strstr (page, reference->str));
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_parse),
		cmocka_unit_test (test_values),
		cmocka_unit_test (test_defaults),
		cmocka_unit_test (test_reload),
		cmocka_unit_test (test_manual_page_follows_table),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
