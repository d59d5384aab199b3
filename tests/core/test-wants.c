#include "core_site.h"

/* What a job asks of single workers and racks, and what it gets after a wait: labels, spread
 * groups, the rack of its data, racks that have lost a worker. */

static void
test_label (void **state)
{
	(void)state;
	struct dff_core_options options = retry_options ();
	struct site site;
	site_open (&site, &options);
	struct dff_job_spec spec = fixture_spec ("j", 1, 1);
	spec.label = dff_name_from ("large");
	site_submit (&site, &spec);
	spec.id = dff_name_from ("k");
	spec.label = dff_name_from ("none-has-it");
	site_submit (&site, &spec);
	g_autoptr (GString) starts = site_advance (&site, 0);
	assert_string_equal (starts->str, "j@w1");
	site_close (&site);
}

static void
test_spread_group (void **state)
{
	(void)state;
	struct dff_core_options options = retry_options ();
	struct site site;
	site_open (&site, &options);
	for (int i = 0; i < N_WORKERS + 1; i++) {
		g_autofree char *id = g_strdup_printf ("j%d", i);
		struct dff_job_spec spec = fixture_spec (id, 1, 1);
		spec.spread_group = dff_name_from ("step");
		spec.per_worker = 1;
		site_submit (&site, &spec);
	}
	g_autoptr (GString) starts = site_advance (&site, 0);
	g_auto (GStrv) placed = g_strsplit (starts->str, " ", -1);
	assert_int_equal (g_strv_length (placed), N_WORKERS);
	for (int i = 0; i < N_WORKERS; i++)
		assert_non_null (strstr (starts->str, worker_names[i]));
	site_close (&site);
}

/* Guards against a task waiting for capacity near its data while the pool is idle: the rack of the
 * data is full and no event occurs, so the queue has to be run by time too. */
static void
test_data_rack (void **state)
{
	(void)state;
	struct dff_core_options options = retry_options ();
	options.locality_wait_ms = 5000;
	struct site site;
	site_open (&site, &options);
	struct dff_job_spec spec = fixture_spec ("near", 2, 8);
	spec.data_rack = dff_name_from ("r1");
	site_submit (&site, &spec);
	g_autoptr (GString) near = site_advance (&site, 0);
	assert_string_equal (near->str, "near@w2,w3");
	spec = fixture_spec ("late", 1, 1);
	spec.data_rack = dff_name_from ("r1");
	site_submit (&site, &spec);
	g_autoptr (GString) none = site_advance (&site, 0);
	assert_string_equal (none->str, "");
	g_autoptr (GString) elsewhere = site_advance (&site, 5000);
	assert_true (g_str_has_prefix (elsewhere->str, "late@w"));
	site_close (&site);
}

static void
set_states (struct site *site, const char *first, const char *second, enum dff_worker_state state)
{
	fixture_worker_state (site->core, first, state);
	fixture_worker_state (site->core, second, state);
}

/* Guards against a job waiting, during an evacuation, for a rack that accepts no work while the
 * pool is idle: the data centre of its data is evacuated, or all workers of the rack leave, and no
 * capacity can come free there. */
static void
test_data_rack_is_closed (void **state)
{
	(void)state;
	static const enum dff_worker_state states[] = {DFF_WORKER_EVACUATED, DFF_WORKER_LEAVING,
						       DFF_WORKER_DOWN};
	for (size_t i = 0; i < G_N_ELEMENTS (states); i++) {
		struct dff_core_options options = retry_options ();
		options.locality_wait_ms = 5000;
		struct site site;
		site_open (&site, &options);
		set_states (&site, "w2", "w3", states[i]);
		struct dff_job_spec spec = fixture_spec ("far", 1, 1);
		spec.data_rack = dff_name_from ("r1");
		site_submit (&site, &spec);
		g_autoptr (GString) elsewhere = site_advance (&site, 0);
		assert_true (g_str_has_prefix (elsewhere->str, "far@w"));
		/* The evacuation is reverted: the next job is placed near its data again. */
		set_states (&site, "w2", "w3", DFF_WORKER_UP);
		spec = fixture_spec ("near", 1, 1);
		spec.data_rack = dff_name_from ("r1");
		site_submit (&site, &spec);
		g_autoptr (GString) near = site_advance (&site, 0);
		assert_true (g_str_has_prefix (near->str, "near@w2") ||
			     g_str_has_prefix (near->str, "near@w3"));
		site_close (&site);
	}
}

/* Guards against a gang of whole workers that does not run although most of the pool is free: one
 * worker of each rack that could hold the gang has left, or is kept free for urgent work, so a rack
 * would hold the gang only with all its workers. Seen at the end of a day with a gang of eight
 * workers. */
static void
test_gang_in_rack_without_worker (void **state)
{
	(void)state;
	static const struct {
		const char *lost;
		/** Number of whole workers that urgent work has used. */
		int32_t urgent;
		int64_t waits_ms;
	} cases[] = {
		{"w1", 0, 0},
		{"w1", 2, 1000},
		{NULL, 0, 0},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct dff_core_options options = retry_options ();
		options.headroom_decay_ms = 60000;
		struct site site;
		site_open (&site, &options);
		if (cases[i].urgent > 0)
			site_run_urgent_once (&site, cases[i].urgent);
		if (cases[i].lost != NULL) {
			fixture_worker_state (site.core, cases[i].lost, DFF_WORKER_DOWN);
			fixture_worker_state (site.core, "w2", DFF_WORKER_DOWN);
		}
		struct dff_job_spec spec = fixture_spec ("gang", 2, 8);
		spec.region = dff_name_from ("region0");
		spec.priority = 1;
		site_submit (&site, &spec);
		g_autoptr (GString) at_once = site_advance (&site, 0);
		assert_int_equal (at_once->len > 0, cases[i].waits_ms == 0);
		g_autoptr (GString) later = site_advance (&site, cases[i].waits_ms);
		const GString *starts = at_once->len > 0 ? at_once : later;
		assert_true (g_str_has_prefix (starts->str, "gang@"));
		site_close (&site);
	}
}

/* See dff_core_may_evict(): another team's urgent work has filled the pool. */
static void
test_assured_team (void **state)
{
	(void)state;
	static const struct {
		int32_t assured;
		/** Accelerators that team "a" claims, on one worker for each eight. */
		int32_t claimed;
		bool starts;
	} cases[] = {
		{16, 16, true},
		{16, 24, false},
		{0, 8, false},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct dff_core_options options = retry_options ();
		struct site site;
		site_open (&site, &options);
		fixture_pool_add_team (&site.pool, "b", 0, 0);
		g_array_index (site.pool.teams, struct dff_team, 0).assured_accelerators =
			cases[i].assured;
		dff_core_set_pool (site.core, &site.pool, site.now_ms);
		struct dff_job_spec other = fixture_spec ("other", N_WORKERS, 8);
		other.team = dff_name_from ("b");
		other.adjacency = DFF_ADJACENCY_NONE;
		other.urgent = true;
		site_submit (&site, &other);
		g_autoptr (GString) filled = site_advance (&site, 0);
		assert_true (g_str_has_prefix (filled->str, "other@"));
		struct dff_event recorded = {
			.type = DFF_EVENT_ATTEMPT_RECORDED, .job = other.id, .attempt = 1};
		dff_core_handle_event (site.core, &recorded, site.now_ms);
		struct dff_job_spec claim = fixture_spec ("claim", cases[i].claimed / 8, 8);
		claim.adjacency = DFF_ADJACENCY_NONE;
		claim.urgent = true;
		site_submit (&site, &claim);
		g_autoptr (GString) none = site_advance (&site, 10);
		assert_string_equal (none->str, "");
		struct dff_core_stats stats;
		dff_core_get_stats (site.core, &stats);
		assert_int_equal (stats.preemptions, cases[i].starts);
		site_close (&site);
	}
}

static void
send_event (struct site *site, const char *job, enum dff_event_type type, int32_t percent)
{
	struct dff_event event = {
		.type = type, .job = dff_name_from (job), .attempt = 1, .percent = percent};
	dff_core_handle_event (site->core, &event, site->now_ms);
}

/* Guards against stopping gangs within a second of their end, so that they start again from the
 * beginning: the victim must not be chosen by run time and estimates alone, which are far off, but
 * by the progress that workers report. */
static void
test_run_that_ends_soon_is_not_preempted (void **state)
{
	(void)state;
	static const struct {
		/** Progress of the younger job, which has run for 4 s. The older one has run for 6
		 * s and reports half. */
		int32_t percent;
		const char *stopped;
	} cases[] = {
		{10, "young"},
		{95, "old"},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct dff_core_options options = retry_options ();
		struct site site;
		site_open (&site, &options);
		static const char *const names[] = {"old", "young"};
		for (size_t j = 0; j < G_N_ELEMENTS (names); j++) {
			struct dff_job_spec spec = fixture_spec (names[j], 2, 8);
			spec.checkpoint = false;
			site_submit (&site, &spec);
			g_autoptr (GString) starts = site_advance (&site, 0);
			send_event (&site, names[j], DFF_EVENT_ATTEMPT_RECORDED, 0);
			struct dff_event started = {
				.type = DFF_EVENT_TASK_STARTED, .job = spec.id, .attempt = 1};
			dff_core_handle_event (site.core, &started, site.now_ms);
			started.member = 1;
			dff_core_handle_event (site.core, &started, site.now_ms);
			g_autoptr (GString) none = site_advance (&site, j == 0 ? 2000 : 4000);
		}
		send_event (&site, "old", DFF_EVENT_TASK_PROGRESS, 50);
		send_event (&site, "young", DFF_EVENT_TASK_PROGRESS, cases[i].percent);
		struct dff_job_spec urgent = fixture_spec ("urgent", 2, 8);
		urgent.urgent = true;
		site_submit (&site, &urgent);
		g_autoptr (GString) none = site_advance (&site, 0);
		assert_string_equal (none->str, "");
		struct dff_name stopped = dff_name_from (cases[i].stopped);
		assert_int_equal (dff_core_job_phase (site.core, &stopped), DFF_JOB_PHASE_STOPPING);
		site_close (&site);
	}
}

/* Guards against treating a rejection for lack of capacity as a failure of the worker: workers
 * would be quarantined, and jobs be ended after eight rejections. */
static void
test_rejections (void **state)
{
	(void)state;
	struct dff_core_options options = retry_options ();
	struct site site;
	site_open (&site, &options);
	struct dff_job_spec spec = fixture_spec ("j", 1, 8);
	site_submit (&site, &spec);
	for (int32_t attempt = 1; attempt <= 20; attempt++) {
		g_autoptr (GString) starts = site_advance (&site, 1000);
		assert_true (g_str_has_prefix (starts->str, "j@"));
		struct dff_event event = {
			.type = DFF_EVENT_ATTEMPT_RECORDED, .job = spec.id, .attempt = attempt};
		dff_core_handle_event (site.core, &event, site.now_ms);
		event.type = DFF_EVENT_TASK_REJECTED;
		dff_core_handle_event (site.core, &event, site.now_ms);
	}
	struct dff_core_stats stats;
	dff_core_get_stats (site.core, &stats);
	assert_int_equal (stats.workers_quarantined, 0);
	assert_int_equal (stats.ended, 0);
	site_close (&site);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_label),
		cmocka_unit_test (test_spread_group),
		cmocka_unit_test (test_data_rack),
		cmocka_unit_test (test_data_rack_is_closed),
		cmocka_unit_test (test_gang_in_rack_without_worker),
		cmocka_unit_test (test_assured_team),
		cmocka_unit_test (test_run_that_ends_soon_is_not_preempted),
		cmocka_unit_test (test_rejections),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
