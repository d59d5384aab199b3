#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "daemon/isolation.h"

#define STARTED_MS 1000
#define TIMEOUT_MS 10000
#define NOW_MS 60000
/** The last moment at which somebody was heard and that is no silence yet. */
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

/* Symptom: a revoked token goes on working at one process, or, the other way round, all processes
 * go unready at once because the store is down. Sequence: a process is cut off from the store, from
 * its peers, or from both. Cause: one of the two counted for both. */
static void
test_isolation (void **state)
{
	(void)state;
	static const struct isolation_case cases[] = {
		{"both answer", RECENT_MS, RECENT_MS, NOW_MS, true, false},
		{"store down", OLD_MS, RECENT_MS, NOW_MS, true, false},
		{"cut off from peers", RECENT_MS, OLD_MS, NOW_MS, true, false},
		{"cut off from both", OLD_MS, OLD_MS, NOW_MS, true, true},
		{"alone, store answers", RECENT_MS, 0, NOW_MS, false, false},
		{"alone, store down", OLD_MS, 0, NOW_MS, false, true},
		{"never heard anybody", 0, 0, NOW_MS, true, true},
		{"just started in an outage", 0, 0, STARTED_MS + TIMEOUT_MS, true, false},
		{"started in an outage, alone", 0, 0, STARTED_MS + TIMEOUT_MS, false, false},
		{"a moment later", 0, 0, STARTED_MS + TIMEOUT_MS + 1, false, true},
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
