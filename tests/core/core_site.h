#ifndef DFF_TESTS_CORE_SITE_H
#define DFF_TESTS_CORE_SITE_H

#include <string.h>

#include "core_fixture.h"

/* A core with a small pool, and helpers that report what it starts as time passes. */

/** Two racks of two workers with eight accelerators each. */
#define N_RACKS 2
#define PER_RACK 2
#define N_WORKERS (N_RACKS * PER_RACK)
/** Number of distinct priorities in the core. */
#define DFF_CORE_TEST_PRIORITIES 3

static const char *const worker_names[N_WORKERS] = {"w0", "w1", "w2", "w3"};

struct site {
	struct dff_core *core;
	struct dff_pool pool;
	GArray *commands;
	int64_t now_ms;
};

static inline void
site_label (struct site *site, int rack_index, const char *const labels[PER_RACK])
{
	struct dff_rack *rack = &g_array_index (site->pool.racks, struct dff_rack, rack_index);
	rack->traits = g_array_new (FALSE, TRUE, sizeof (struct dff_worker_traits));
	for (int i = 0; i < PER_RACK; i++) {
		struct dff_worker_traits traits = {.capacity = rack->per_worker};
		traits.labels[0] = dff_name_from (labels[i]);
		g_array_append_val (rack->traits, traits);
	}
}

static inline void
site_open (struct site *site, const struct dff_core_options *options)
{
	static const char *const labels[N_RACKS][PER_RACK] = {{"small", "large"},
							      {"small", "small"}};
	site->core = dff_core_new (options);
	site->now_ms = 1000;
	site->commands = g_array_new (FALSE, TRUE, sizeof (struct dff_command));
	fixture_pool_init (&site->pool, N_RACKS, PER_RACK, 8);
	fixture_pool_add_team (&site->pool, "a", 0, 0);
	for (int i = 0; i < N_RACKS; i++)
		site_label (site, i, labels[i]);
	dff_core_set_pool (site->core, &site->pool, site->now_ms);
	for (int i = 0; i < N_WORKERS; i++)
		fixture_worker_state (site->core, worker_names[i], DFF_WORKER_UP);
}

static inline void
site_close (struct site *site)
{
	for (int i = 0; i < N_RACKS; i++)
		g_array_unref (g_array_index (site->pool.racks, struct dff_rack, i).traits);
	fixture_pool_clear (&site->pool);
	g_array_unref (site->commands);
	dff_core_free (site->core);
}

static inline void
site_submit (struct site *site, const struct dff_job_spec *spec)
{
	struct dff_event event = {.type = DFF_EVENT_JOB_SUBMITTED, .spec = spec};
	dff_core_handle_event (site->core, &event, site->now_ms);
}

/* Advances the time and ticks once. Returns: the starts to be recorded, as "JOB@WORKER,WORKER
 * ...". */
static inline GString *
site_advance (struct site *site, int64_t ms)
{
	GString *starts = g_string_new (NULL);
	site->now_ms += ms;
	dff_core_tick (site->core, site->now_ms, site->commands);
	for (guint i = 0; i < site->commands->len; i++) {
		const struct dff_command *at =
			&g_array_index (site->commands, struct dff_command, i);
		if (at->type != DFF_COMMAND_RECORD_START)
			continue;
		g_string_append_printf (starts, "%s%s@", starts->len > 0 ? " " : "", at->job.data);
		for (guint j = 0; j < at->placements->len; j++) {
			g_string_append_printf (
				starts, "%s%s", j > 0 ? "," : "",
				g_array_index (at->placements, struct dff_placement, j)
					.worker.data);
		}
	}
	g_assert_null (dff_core_check (site->core));
	return starts;
}

/* Runs urgent work on @n_workers whole workers for a moment, so that headroom is left for it. */
static inline void
site_run_urgent_once (struct site *site, int32_t n_workers)
{
	struct dff_job_spec spec = fixture_spec ("once", n_workers, 8);
	spec.region = dff_name_from ("region0");
	spec.urgent = true;
	site_submit (site, &spec);
	g_autoptr (GString) starts = site_advance (site, 0);
	assert_true (g_str_has_prefix (starts->str, "once@"));
	static const enum dff_event_type ends[] = {
		DFF_EVENT_JOB_CANCELLED, DFF_EVENT_ATTEMPT_RECORDED, DFF_EVENT_OUTCOME_RECORDED};
	for (size_t i = 0; i < G_N_ELEMENTS (ends); i++) {
		struct dff_event event = {.type = ends[i], .job = spec.id, .attempt = 1};
		dff_core_handle_event (site->core, &event, site->now_ms);
	}
}

static inline struct dff_core_options
retry_options (void)
{
	struct dff_core_options options;
	dff_core_options_init (&options);
	options.retry_without_limit = true;
	options.low_load_wait_ms = 1000;
	return options;
}

#endif
