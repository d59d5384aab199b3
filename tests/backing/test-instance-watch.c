#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "backing/instance_watch.h"
#include "memory_fixture.h"

#define POLL_MS 1000L

struct fixture {
	struct memory_fixture site;
	struct dff_instance_watch *watch;
	int n_changes;
	size_t n_instances;
	bool leaving;
};

static void
handle_changed (void *ctx, const struct dff_instance *instances, size_t n_instances)
{
	struct fixture *fixture = ctx;
	fixture->n_changes++;
	fixture->n_instances = n_instances;
	fixture->leaving = n_instances > 0 && instances[0].leaving;
}

static int
set_up (void **state)
{
	struct fixture *fixture = g_new0 (struct fixture, 1);
	memory_fixture_init (&fixture->site);
	struct dff_instance_watch_options options = {
		.list = &fixture->site.caller->instances,
		.clock = &fixture->site.time.clock,
		.metrics = fixture->site.metrics,
		.self = {.id = dff_name_from ("entry-1"), .role = DFF_INSTANCE_ENTRY},
		.seed = 1,
		.poll_ms = POLL_MS,
		.ttl_ms = 5000,
		.changed = handle_changed,
		.ctx = fixture,
	};
	fixture->watch = dff_instance_watch_new (&options);
	*state = fixture;
	return 0;
}

static int
tear_down (void **state)
{
	struct fixture *fixture = *state;
	memory_fixture_close (&fixture->site);
	dff_instance_watch_free (fixture->watch);
	memory_fixture_clear (&fixture->site);
	g_free (fixture);
	return 0;
}

static void
tick (void *user)
{
	struct fixture *fixture = user;
	dff_instance_watch_tick (fixture->watch);
}

static void
run_for (struct fixture *fixture, int64_t length_ms)
{
	memory_fixture_run (&fixture->site, length_ms, tick, fixture);
}

static void
test_announces_itself_and_reports_changes_only (void **state)
{
	struct fixture *fixture = *state;
	run_for (fixture, 10 * POLL_MS);
	assert_int_equal (fixture->n_instances, 1);
	int n_before = fixture->n_changes;
	run_for (fixture, 10 * POLL_MS);
	assert_int_equal (fixture->n_changes, n_before);
	dff_instance_watch_set_leaving (fixture->watch);
	run_for (fixture, 2 * POLL_MS);
	assert_true (fixture->leaving);
}

/* Guards against treating a list that could not be read as an empty list: in an outage of the
 * instance list every worker would count as gone. */
static void
test_keeps_the_last_list_through_an_outage (void **state)
{
	struct fixture *fixture = *state;
	struct dff_instance worker = {.id = dff_name_from ("w1"), .role = DFF_INSTANCE_WORKER};
	dff_memory_announce (fixture->site.memory, &worker, 0);
	run_for (fixture, 3 * POLL_MS);
	assert_int_equal (fixture->n_instances, 2);
	int n_before = fixture->n_changes;
	fixture->site.caller->faults.outage_until_ms = fixture->site.time.now_ms + 60000;
	run_for (fixture, 60000);
	assert_int_equal (fixture->n_changes, n_before);
	run_for (fixture, 3 * POLL_MS);
	assert_int_equal (fixture->n_instances, 2);
}

/* Guards against waiting without limit for a poll that is never answered: the process would not
 * receive any further change. */
static void
test_polls_again_after_a_poll_timed_out (void **state)
{
	struct fixture *fixture = *state;
	run_for (fixture, 2 * POLL_MS);
	fixture->site.caller->faults.silent_until_ms = fixture->site.time.now_ms + 30000;
	run_for (fixture, 30000);
	struct dff_instance worker = {.id = dff_name_from ("w1"), .role = DFF_INSTANCE_WORKER};
	dff_memory_announce (fixture->site.memory, &worker, 0);
	run_for (fixture, 20000);
	assert_int_equal (fixture->n_instances, 2);
}

/* An instance list that does not answer polls. */
struct silent_list {
	dff_instance_list_func done;
	void *user;
	const struct dff_clock *clock;
	int n_announced;
	int64_t announced_ms;
	/** Longest time between two announcements. */
	int64_t longest_gap_ms;
};

static void
withhold_answer (void *ctx, dff_instance_list_func done, void *user)
{
	struct silent_list *silent = ctx;
	silent->done = done;
	silent->user = user;
}

static void
count_announcement (void *ctx, const struct dff_instance *instance, int32_t ttl_ms)
{
	(void)instance;
	(void)ttl_ms;
	struct silent_list *silent = ctx;
	int64_t now_ms = dff_clock_now_ms (silent->clock);
	if (silent->n_announced > 0)
		silent->longest_gap_ms =
			MAX (silent->longest_gap_ms, now_ms - silent->announced_ms);
	silent->announced_ms = now_ms;
	silent->n_announced++;
}

/* Guards against announcing only together with the next poll: when a poll is never answered, the
 * announcement expires, the live process drops out of the list, and its peers refuse its key. */
static void
test_announces_while_a_poll_is_pending (void **state)
{
	(void)state;
	struct dff_clock_virtual time;
	dff_clock_virtual_init (&time, 1000);
	struct silent_list silent = {.clock = &time.clock};
	struct dff_instance_list list = {withhold_answer, count_announcement, &silent};
	DFF_AUTO (dff_metrics) metrics = dff_metrics_new ();
	struct dff_instance_watch_options options = {
		.list = &list,
		.clock = &time.clock,
		.metrics = metrics,
		.self = {.id = dff_name_from ("entry-1"), .role = DFF_INSTANCE_ENTRY},
		.seed = 1,
		.poll_ms = POLL_MS,
		.ttl_ms = 5000,
	};
	struct dff_instance_watch *watch = dff_instance_watch_new (&options);
	for (; time.now_ms < 1000 + 9 * POLL_MS; time.now_ms += 50)
		dff_instance_watch_tick (watch);
	/* Three per time to live of 5 s, so that one may be lost; the clock steps by 50 ms. */
	assert_int_equal (silent.n_announced, 6);
	assert_int_equal (silent.longest_gap_ms, 1700);
	dff_instance_watch_free (watch);
	struct dff_instance_list_result lost = {.ok = false};
	silent.done (silent.user, &lost);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_announces_while_a_poll_is_pending),
		cmocka_unit_test_setup_teardown (test_announces_itself_and_reports_changes_only,
						 set_up, tear_down),
		cmocka_unit_test_setup_teardown (test_keeps_the_last_list_through_an_outage, set_up,
						 tear_down),
		cmocka_unit_test_setup_teardown (test_polls_again_after_a_poll_timed_out, set_up,
						 tear_down),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
