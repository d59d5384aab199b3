#include "core_fixture.h"

/* Guards against jobs taking the slots that services dedicate to requests: after a burst of small
 * jobs every worker in a request's grants would refuse it with 429. */

struct slots_case {
	int32_t services;
	int32_t request_slots;
	bool dedicated;
	/** Number of slots for jobs, of the eight slots of the only worker. */
	int job_slots;
};

static int
count_starts (const struct slots_case *test)
{
	struct dff_core_options options;
	dff_core_options_init (&options);
	DFF_AUTO (dff_core) core = dff_core_new (&options);
	struct dff_pool pool;
	fixture_pool_init (&pool, 1, 1, 0);
	fixture_pool_add_team (&pool, "a", 0, 0);
	struct dff_service service = {.request_slots = test->request_slots,
				      .dedicated_request_slots = test->dedicated};
	for (int32_t i = 0; i < test->services; i++)
		g_array_append_val (pool.services, service);
	dff_core_set_pool (core, &pool, 0);
	fixture_worker_state (core, "w0", DFF_WORKER_UP);
	for (int i = 0; i < 10; i++) {
		g_autofree char *id = g_strdup_printf ("j%d", i);
		struct dff_job_spec spec = fixture_spec (id, 1, 0);
		struct dff_event submitted = {.type = DFF_EVENT_JOB_SUBMITTED, .spec = &spec};
		dff_core_handle_event (core, &submitted, 0);
	}
	g_autoptr (GArray) commands = g_array_new (FALSE, TRUE, sizeof (struct dff_command));
	dff_core_tick (core, 0, commands);
	struct dff_job_spec wide = fixture_spec ("wide", 1, 0);
	wide.per_task.slots = test->job_slots + 1;
	assert_false (dff_core_admit (core, &wide).admitted);
	fixture_pool_clear (&pool);
	return (int)commands->len;
}

static void
test_jobs_leave_the_request_slots (void **state)
{
	(void)state;
	static const struct slots_case cases[] = {
		{0, 0, true, 8}, {1, 1, true, 7},  {2, 1, true, 6},      {1, 4, true, 4},
		{4, 3, true, 4}, {4, 1, false, 8}, {100, 1024, true, 4},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
		assert_int_equal (count_starts (&cases[i]), cases[i].job_slots);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_jobs_leave_the_request_slots),
	};
	return cmocka_run_group_tests_name ("core-request-slots", tests, NULL, NULL);
}
