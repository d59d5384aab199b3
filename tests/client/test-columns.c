#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "client/columns.h"

struct columns_case {
	const char *json;
	const char *printed;
};

static const struct columns_case columns_cases[] = {
	{"[]", ""},
	{"[{\"team\":\"a\",\"running\":3},{\"team\":\"longer\",\"running\":null}]",
	 "team    running\n"
	 "a       3\n"
	 "longer  -\n"},
	/* A member that a later row lacks, or has more of, does not move the columns. */
	{"[{\"a\":\"\",\"b\":true},{\"b\":0.5,\"c\":1}]", "a  b\n"
							  "-  true\n"
							  "-  0.500\n"},
	{"{\"id\":\"j1\",\"result\":{\"length\":7,\"digest\":\"\"},\"batch\":null}",
	 "id             j1\n"
	 "result.length  7\n"
	 "result.digest  -\n"
	 "batch          -\n"},
	{"{\"a\":{\"b\":{\"c\":{\"d\":1},\"e\":[1,2]}}}", "a.b.c  {\"d\":1}\n"
							  "a.b.e  2 entries\n"},
};

static void
test_print (void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS (columns_cases); i++) {
		json_t *value = json_loads (columns_cases[i].json, 0, NULL);
		g_autoptr (GString) out = g_string_new (NULL);
		if (json_is_array (value))
			dff_columns_print (value, out);
		else
			dff_fields_print (value, out);
		assert_string_equal (out->str, columns_cases[i].printed);
		json_decref (value);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_print),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
