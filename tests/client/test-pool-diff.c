#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "client/pool_diff.h"

struct diff_case {
	const char *before;
	const char *after;
	const char *printed;
};

static const struct diff_case diff_cases[] = {
	{"{}", "{}", ""},
	{"{\"teams\":[{\"name\":\"a\",\"weight\":1},{\"name\":\"b\"}]}",
	 "{\"teams\":[{\"name\":\"b\"},{\"weight\":1,\"name\":\"a\"}]}", ""},
	{"", "{\"teams\":[{\"name\":\"a\"}],\"weights\":{\"completion\":1}}",
	 "+ team a\n~ weights: completion: (not set) -> 1\n"},
	{"{\"preset\":\"completion\"}", "{\"preset\":\"fragmentation\"}",
	 "~ pool: preset: \"completion\" -> \"fragmentation\"\n"},
	{"{\"services\":[{\"name\":\"s\"}],\"racks\":[{\"name\":\"r1\"},{\"name\":\"r2\"}]}",
	 "{\"services\":[],\"racks\":[{\"name\":\"r2\"},{\"name\":\"r3\"}]}",
	 "- service s\n- rack r1\n+ rack r3\n"},
	{"{\"racks\":[{\"name\":\"r1\"},{\"name\":\"r2\"}]}",
	 "{\"racks\":[{\"name\":\"r2\"},{\"name\":\"r1\"}]}", "~ racks: order of neighbours\n"},
	{"{\"teams\":[{\"name\":\"a\",\"max_queued\":10,\"guarantees\":[{\"gangs\":1}]}]}",
	 "{\"teams\":[{\"name\":\"a\",\"weight\":2,\"guarantees\":[{\"gangs\":2}]}]}",
	 "~ team a: max_queued: 10 -> (not set)\n"
	 "~ team a: guarantees: [{\"gangs\":1}] -> [{\"gangs\":2}]\n"
	 "~ team a: weight: (not set) -> 2\n"},
};

static void
test_diff (void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS (diff_cases); i++) {
		const struct diff_case *test = &diff_cases[i];
		json_t *before = json_loads (test->before, 0, NULL);
		json_t *after = json_loads (test->after, 0, NULL);
		g_autoptr (GString) out = g_string_new (NULL);
		bool differs = dff_pool_diff (before, after, out);
		assert_string_equal (out->str, test->printed);
		assert_int_equal (differs, test->printed[0] != '\0');
		json_decref (before);
		json_decref (after);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_diff),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
