#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "daemon/isolation.h"

#define STARTED_MS 1000
#define TIMEOUT_MS 10000
#define NOW_MS 60000
/** Oldest time of an answer that has not timed out at NOW_MS. */
#define RECENT_MS (NOW_MS - TIMEOUT_MS)
#define OLD_MS (RECENT_MS - 1)

struct isolation_case {
	const char *name;
	int64_t store_ms;
	int64_t peer_ms;
	int64_t now_ms;
	bool has_peers;
	bool isolated;
};

/* Guards against accepting a revoked token in an isolated process, and against all processes
 * becoming unready at once because the store is down. Only the loss of both the store and the peers
 * counts as isolation. */
static void
test_isolation (void **state)
{
	(void)state;
	static const struct isolation_case cases[] = {
		{"both answer", RECENT_MS, RECENT_MS, NOW_MS, true, false},
		{"store down", OLD_MS, RECENT_MS, NOW_MS, true, false},
		{"peers lost", RECENT_MS, OLD_MS, NOW_MS, true, false},
		{"both lost", OLD_MS, OLD_MS, NOW_MS, true, true},
		{"alone, store answers", RECENT_MS, 0, NOW_MS, false, false},
		{"alone, store down", OLD_MS, 0, NOW_MS, false, true},
		{"no answer since the start", 0, 0, NOW_MS, true, true},
		{"just started in an outage", 0, 0, STARTED_MS + TIMEOUT_MS, true, false},
		{"started in an outage, alone", 0, 0, STARTED_MS + TIMEOUT_MS, false, false},
		{"started in an outage, alone, 1 ms later", 0, 0, STARTED_MS + TIMEOUT_MS + 1,
		 false, true},
	};
	for (size_t i = 0; i < sizeof (cases) / sizeof (cases[0]); i++) {
		const struct isolation_case *at = &cases[i];
		const struct dff_isolation isolation = {STARTED_MS, at->store_ms, at->has_peers,
							at->peer_ms, TIMEOUT_MS};
		if (dff_is_isolated (&isolation, at->now_ms) != at->isolated)
			fail_msg ("%s: expected %d", at->name, at->isolated);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {cmocka_unit_test (test_isolation)};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
