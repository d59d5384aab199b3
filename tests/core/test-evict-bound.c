#include "core_site.h"

/* Limit of the work that may be lost by preempting for an urgent job. The pool's four workers are
 * held by a gang without checkpoints. */

#define EVICT_WORK_RATIO 4.0
#define UNLIMITED_AFTER_MS 1200

static void
send_event (struct site *site, const char *job, enum dff_event_type type, int32_t member)
{
	struct dff_event event = {.type = type,
				  .job = dff_name_from (job),
				  .attempt = 1,
				  .member = member,
				  .ran = true};
	dff_core_handle_event (site->core, &event, site->now_ms);
}

static void
run_gang (struct site *site)
{
	struct dff_job_spec spec = fixture_spec ("gang", N_WORKERS, 8);
	spec.adjacency = DFF_ADJACENCY_NONE;
	spec.checkpoint = false;
	spec.priority = 1;
	site_submit (site, &spec);
	g_autoptr (GString) starts = site_advance (site, 0);
	assert_true (g_str_has_prefix (starts->str, "gang@"));
	send_event (site, "gang", DFF_EVENT_ATTEMPT_RECORDED, 0);
	for (int32_t i = 0; i < N_WORKERS; i++)
		send_event (site, "gang", DFF_EVENT_TASK_STARTED, i);
}

static bool
is_stopped (const struct site *site)
{
	for (guint i = 0; i < site->commands->len; i++) {
		if (g_array_index (site->commands, struct dff_command, i).type ==
		    DFF_COMMAND_STOP_TASK)
			return true;
	}
	return false;
}

/* Guards against stopping a gang that has run for seconds on many workers for an urgent job of one
 * task: such gangs are stopped again and again, and few end in time. */
static void
test_lost_work_limit (void **state)
{
	(void)state;
	static const struct {
		/** Accelerators and run time of the urgent job. */
		int32_t accelerators;
		int32_t estimate_ms;
		/** Time that the gang has run, and that the urgent job has waited. */
		int32_t ran_ms;
		int32_t waited_ms;
		bool assured;
		bool stops;
	} cases[] = {
		/* The urgent job's own work equals the gang's; the gang's run time counts as a
		 * second at least. */
		{32, 1000, 1000, 0, false, true},
		{32, 1000, 6000, 0, false, false},
		{32, 4000, 6000, 0, false, true},
		{1, 1000, 0, 0, false, false},
		{1, 1000, 6000, 0, false, false},
		{1, 1000, 6000, 60000, false, false},
		/* A job within what its team is assured of is started after a wait. */
		{1, 1000, 6000, 0, true, false},
		{1, 1000, 6000, 1300, true, true},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct dff_core_options options = retry_options ();
		options.evict_work_ratio = EVICT_WORK_RATIO;
		options.evict_unlimited_after_ms = UNLIMITED_AFTER_MS;
		struct site site;
		site_open (&site, &options);
		g_array_index (site.pool.teams, struct dff_team, 0).assured_accelerators =
			cases[i].assured ? 8 : 0;
		dff_core_set_pool (site.core, &site.pool, site.now_ms);
		run_gang (&site);
		site.now_ms += cases[i].ran_ms;
		int32_t tasks = MAX (cases[i].accelerators / 8, 1);
		struct dff_job_spec urgent =
			fixture_spec ("urgent", tasks, MIN (cases[i].accelerators, 8));
		urgent.adjacency = DFF_ADJACENCY_NONE;
		urgent.urgent = true;
		urgent.declared_ms = cases[i].estimate_ms;
		site_submit (&site, &urgent);
		g_autoptr (GString) at_once = site_advance (&site, 0);
		bool stopped = is_stopped (&site);
		if (cases[i].waited_ms > 0) {
			assert_false (stopped);
			g_autoptr (GString) later = site_advance (&site, cases[i].waited_ms);
			stopped = is_stopped (&site);
		}
		if (stopped != cases[i].stops)
			fail_msg ("case %zu: %s", i, stopped ? "stopped" : "not stopped");
		site_close (&site);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {cmocka_unit_test (test_lost_work_limit)};
	return cmocka_run_group_tests_name ("core-evict-bound", tests, NULL, NULL);
}
