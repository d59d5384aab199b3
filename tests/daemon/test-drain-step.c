#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "daemon/drain_step.h"

struct step_case {
	const char *name;
	struct dff_drain_times times;
	bool idle;
	bool refuses;
	enum dff_drain_step step;
};

/* Guards against lost or needlessly refused requests at a planned stop: the process exits or
 * refuses before the load balancer has seen that it is unready, or exits with a request in flight.
 * It also guards against waiting for ever although a limit is set. */
static void
test_steps (void **state)
{
	(void)state;
	static const struct step_case cases[] = {
		{"just requested", {0, 3000, 0}, false, false, DFF_DRAIN_WAIT},
		{"idle, within the grace period", {2999, 3000, 0}, true, false, DFF_DRAIN_WAIT},
		{"grace over, in flight", {3000, 3000, 0}, false, true, DFF_DRAIN_WAIT},
		{"grace over, idle", {3000, 3000, 0}, true, true, DFF_DRAIN_END},
		{"no limit: waits for days", {400000000, 3000, 0}, false, true, DFF_DRAIN_WAIT},
		{"within the limit", {60000, 3000, 60000}, false, true, DFF_DRAIN_WAIT},
		{"limit over", {60001, 3000, 60000}, false, true, DFF_DRAIN_ABORT},
		{"limit over, idle", {60001, 3000, 60000}, true, true, DFF_DRAIN_END},
		{"limit shorter than the grace", {2000, 3000, 1000}, false, false, DFF_DRAIN_WAIT},
		{"no grace", {0, 0, 0}, true, true, DFF_DRAIN_END},
	};
	for (size_t i = 0; i < sizeof (cases) / sizeof (cases[0]); i++) {
		if (dff_drain_refuses (&cases[i].times) != cases[i].refuses)
			fail_msg ("%s: refuses: expected %d", cases[i].name, cases[i].refuses);
		enum dff_drain_step step = dff_drain_next (&cases[i].times, cases[i].idle);
		if (step != cases[i].step)
			fail_msg ("%s: step %d, expected %d", cases[i].name, (int)step,
				  (int)cases[i].step);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {cmocka_unit_test (test_steps)};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
