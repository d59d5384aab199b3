#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <string.h>

#include "fleet/operator_state.h"
#include "holder/tables.h"
#include "rows/health.h"
#include "standin/memory_rows.h"

/* Tests the operator state against an in-memory store under a virtual clock: how often the store is
 * polled, how soon a change is known, and when the state becomes stale. */

#define START_MS 1000000
#define FIRST "{\"version\":3,\"routes\":[],\"services\":[],\"tenants\":[]}"
#define SECOND "{\"version\":8,\"routes\":[],\"services\":[],\"tenants\":[]}"

struct fixture {
	struct dff_virtual_loop *loop;
	struct dff_memory_rows *rows;
	struct dff_memory_rows_client *client;
	struct dff_metrics *metrics;
	struct dff_rows_health *health;
	struct dff_operator_state *operator_state;
	int64_t version;
	size_t n_evacuated;
};

static void
handle_config (void *ctx, const struct dff_fleet_config *config)
{
	struct fixture *fixture = ctx;
	fixture->version = config->version;
}

static void
handle_evacuated (void *ctx, const struct dff_name *data_centres, size_t n_data_centres)
{
	struct fixture *fixture = ctx;
	(void)data_centres;
	fixture->n_evacuated = n_data_centres;
}

static void
fixture_open (struct fixture *fixture, int32_t bound_ms)
{
	*fixture = (struct fixture){0};
	fixture->loop = dff_virtual_loop_new (START_MS);
	fixture->rows = dff_memory_rows_new (fixture->loop);
	fixture->client = dff_memory_rows_client_new (fixture->rows);
	fixture->metrics = dff_metrics_new ();
	struct dff_rows_health_options health = {
		.timers = dff_virtual_loop_timers (fixture->loop),
		.metrics = fixture->metrics,
		.rows = dff_memory_rows_client_interface (fixture->client),
		.probe_table = DFF_TABLE_CELL,
		.probe_key = DFF_KEY_HOLDER,
	};
	fixture->health = dff_rows_health_new (&health);
	dff_memory_rows_put (fixture->rows, DFF_TABLE_CONFIG, DFF_KEY_CONFIG, dff_str_from (FIRST));
	struct dff_operator_state_options options = {
		.timers = dff_virtual_loop_timers (fixture->loop),
		.rows = dff_rows_health_interface (fixture->health),
		.metrics = fixture->metrics,
		.bound_ms = bound_ms,
		.config_changed = handle_config,
		.evacuations_changed = handle_evacuated,
		.ctx = fixture,
	};
	fixture->operator_state = dff_operator_state_new (&options);
	dff_virtual_loop_run (fixture->loop, 100);
	assert_int_equal (fixture->version, 3);
}

static void
fixture_close (struct fixture *fixture)
{
	dff_operator_state_free (fixture->operator_state);
	/* Calls in progress time out by themselves; probes of the store continue and are answered
	 * from here on. */
	dff_memory_rows_client_faults (fixture->client)->silent = false;
	dff_virtual_loop_run (fixture->loop, 30000);
	dff_rows_health_free (fixture->health);
	dff_memory_rows_free (fixture->rows);
	dff_metrics_free (fixture->metrics);
	dff_virtual_loop_free (fixture->loop);
}

static int64_t
n_feed_calls (const struct fixture *fixture)
{
	return *dff_metrics_counter (fixture->metrics, "dff_rows_feeds_total", "");
}

/* Load: an idle process. Guards against each process polling the store twice a second whatever the
 * bound is, and against a longer polling interval delaying the delivery of a change or the
 * detection of a stale state. */
static void
test_feed_calls_by_bound (void **state)
{
	(void)state;
	static const struct {
		int32_t bound_ms;
		bool holding;
		int64_t min_calls;
		int64_t max_calls;
		/** Time without an answer of the store after which the state is stale, ms. */
		int64_t stale_ms;
	} cases[] = {
		{2000, false, 36, 42, 3000}, {2000, true, 36, 42, 3000},
		{5000, false, 14, 17, 4500}, {5000, true, 36, 42, 4500},
		{60000, false, 9, 11, 6000}, {100, false, 36, 42, 3000},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct fixture fixture;
		fixture_open (&fixture, cases[i].bound_ms);
		dff_operator_state_set_holding (fixture.operator_state, cases[i].holding);
		dff_virtual_loop_run (fixture.loop, 3000);
		int64_t before = n_feed_calls (&fixture);
		dff_virtual_loop_run (fixture.loop, 20000);
		assert_in_range (n_feed_calls (&fixture) - before, cases[i].min_calls,
				 cases[i].max_calls);
		dff_memory_rows_put (fixture.rows, DFF_TABLE_CONFIG, DFF_KEY_CONFIG,
				     dff_str_from (SECOND));
		dff_virtual_loop_run (fixture.loop, 50);
		assert_int_equal (fixture.version, 8);
		assert_true (dff_operator_state_is_fresh (fixture.operator_state));
		dff_memory_rows_client_faults (fixture.client)->silent = true;
		dff_virtual_loop_run (fixture.loop, cases[i].stale_ms - 600);
		assert_non_null (dff_operator_state_config (fixture.operator_state));
		dff_virtual_loop_run (fixture.loop, 700);
		assert_null (dff_operator_state_config (fixture.operator_state));
		assert_false (dff_operator_state_is_fresh (fixture.operator_state));
		fixture_close (&fixture);
	}
}

/* Guards against a process that has just become the holder starting tasks by evacuation requests
 * that are as old as the polling interval of other processes. */
static void
test_evacuation_at_takeover (void **state)
{
	(void)state;
	struct fixture fixture;
	fixture_open (&fixture, 60000);
	dff_operator_state_set_holding (fixture.operator_state, false);
	dff_virtual_loop_run (fixture.loop, 9000);
	dff_operator_state_set_holding (fixture.operator_state, true);
	dff_virtual_loop_run (fixture.loop, 600);
	assert_in_range (dff_operator_state_evacuations_age_ms (fixture.operator_state), 0, 600);
	dff_memory_rows_put (fixture.rows, DFF_TABLE_CONFIG, "evacuate/dc", dff_str_from ("{}"));
	dff_virtual_loop_run (fixture.loop, 50);
	assert_int_equal (fixture.n_evacuated, 1);
	fixture_close (&fixture);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_feed_calls_by_bound),
		cmocka_unit_test (test_evacuation_at_takeover),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
