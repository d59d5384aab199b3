#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "peer/deflate.h"

#define TEXT "{\"teams\": [{\"name\": \"a\"}, {\"name\": \"b\"}, {\"name\": \"c\"}]}"
#define TEXT_LEN (sizeof (TEXT) - 1)

struct inflate_case {
	const char *what;
	/** Number of bytes cut off at the end. */
	int missing;
	/** Damaged byte; 0: the first, 1: the last, -1: none. */
	int damaged;
	size_t claimed;
	bool taken;
};

/* Guards against applying a wrong pool file, or running out of memory, on a message that is
 * damaged, cut off or forged and claims another length than it has. */
static void
test_inflate (void **state)
{
	(void)state;
	static const struct inflate_case cases[] = {
		{"undamaged", 0, -1, TEXT_LEN, true},
		{"claims to be longer", 0, -1, TEXT_LEN + 1, false},
		{"claims to be shorter", 0, -1, TEXT_LEN - 1, false},
		{"cut off", 3, -1, TEXT_LEN, false},
		{"damaged at its beginning", 0, 0, TEXT_LEN, false},
		{"damaged in its checksum", 0, 1, TEXT_LEN, false},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		g_autoptr (GByteArray) bytes = dff_deflate (dff_str_from (TEXT));
		if (cases[i].damaged == 0)
			bytes->data[0] ^= 0xff;
		if (cases[i].damaged == 1)
			bytes->data[bytes->len - 1] ^= 0xff;
		size_t len = bytes->len - (size_t)cases[i].missing;
		g_autofree char *text = dff_inflate (bytes->data, len, cases[i].claimed);
		if ((text != NULL) != cases[i].taken)
			fail_msg ("%s", cases[i].what);
		if (text != NULL)
			assert_memory_equal (text, TEXT, TEXT_LEN);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {cmocka_unit_test (test_inflate)};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
