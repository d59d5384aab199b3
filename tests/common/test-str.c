#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "common/rendezvous.h"
#include "common/str.h"

struct name_case {
	const char *text;
	bool valid;
};

static void
test_name_parse (void **state)
{
	(void)state;
	static const struct name_case cases[] = {
		{"a", true},
		{"zv-r1.w_3:80", true},
		{"", false},
		{"a b", false},
		{"a/b", false},
		{"123456789012345678901234567890123456789012345678901234567890123", true},
		{"1234567890123456789012345678901234567890123456789012345678901234", false},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct dff_name name;
		assert_int_equal (dff_name_parse (dff_str_from (cases[i].text), &name),
				  cases[i].valid);
	}
}

static void
test_rendezvous_leave_moves_only_its_share (void **state)
{
	(void)state;
	struct dff_name members[9];
	for (int i = 0; i < 9; i++)
		members[i] = dff_name_printf ("entry-%d", i);
	for (int key = 0; key < 500; key++) {
		struct dff_name worker = dff_name_printf ("worker-%d", key);
		struct dff_str text = {worker.data, worker.len};
		int before = dff_rendezvous_owner (text, members, 9);
		int after = dff_rendezvous_owner (text, members, 8);
		if (before != 8)
			assert_int_equal (after, before);
	}
	assert_int_equal (dff_rendezvous_owner (dff_str_from ("x"), members, 0), -1);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_name_parse),
		cmocka_unit_test (test_rendezvous_leave_moves_only_its_share),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
