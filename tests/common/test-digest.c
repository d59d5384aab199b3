#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "common/digest.h"

struct digest_case {
	const char *text;
	const char *hex;
};

/* Published values of SHA-256 (FIPS 180). */
static void
test_known_digests (void **state)
{
	(void)state;
	static const struct digest_case cases[] = {
		{"", "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"},
		{"abc", "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"},
		{"abcdbcdecdefdefgefghfghighijhijkijkljklmklmnlmnomnopnopq",
		 "248d6a61d20638b8e5c026930c3e6039a33ce45964ff2167f6ecedd419db06c1"},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		char hex[DFF_DIGEST_HEX_LEN + 1];
		dff_digest_hex (dff_str_from (cases[i].text), hex);
		assert_string_equal (hex, cases[i].hex);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_known_digests),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
