#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "rows/health.h"
#include "rows/subscription.h"
#include "standin/memory_rows.h"

/* Subscriptions that are freed by their own sink, or woken while a call is answered, as a process
 * does that steps down or finds the store again. The sanitizer reports what is read afterwards. */

#define TABLE "table"
#define START_MS 1000000
#define N_ROWS 3
/** Duration of a call in a slow store, ms: longer than a feed that waits 500 ms may take before the
 * store counts as silent, and longer than the timeout of a probe. */
#define SLOW_MS 1400

enum callback {
	DFF_CALLBACK_BEGIN_SNAPSHOT,
	DFF_CALLBACK_ROW,
	DFF_CALLBACK_END_SNAPSHOT,
};

struct fixture {
	struct dff_virtual_loop *loop;
	struct dff_metrics *metrics;
	struct dff_memory_rows *rows;
	struct dff_memory_rows_client *client;
	struct dff_rows_health *health;
	/** (nullable): NULL once it is freed. */
	struct dff_subscription *subscription;
	/** Whether the callback @frees_in frees the subscription. */
	bool frees;
	enum callback frees_in;
	int n_after_free;
	int n_recoveries;
	/** Whether the subscription is woken again after a recovery, or freed. */
	bool woken_again;
};

static void
handle_callback (struct fixture *fixture, enum callback callback)
{
	fixture->n_after_free += fixture->subscription == NULL && fixture->frees;
	if (fixture->frees && callback == fixture->frees_in) {
		g_clear_pointer (&fixture->subscription, dff_subscription_free);
	}
}

static void
handle_begin (void *ctx)
{
	handle_callback (ctx, DFF_CALLBACK_BEGIN_SNAPSHOT);
}

static void
handle_row (void *ctx, const struct dff_row *row)
{
	(void)row;
	handle_callback (ctx, DFF_CALLBACK_ROW);
}

static void
handle_end (void *ctx)
{
	handle_callback (ctx, DFF_CALLBACK_END_SNAPSHOT);
}

static void
handle_after_recovery (void *user)
{
	struct fixture *fixture = user;
	if (fixture->woken_again) {
		dff_subscription_wake (fixture->subscription);
		return;
	}
	g_clear_pointer (&fixture->subscription, dff_subscription_free);
}

static void
handle_recovered (void *ctx)
{
	struct fixture *fixture = ctx;
	if (fixture->n_recoveries++ > 0)
		return;
	/* Runs before the subscription calls again. */
	dff_virtual_loop_schedule (fixture->loop, 0, handle_after_recovery, fixture);
	dff_subscription_wake (fixture->subscription);
}

static void
put_rows (struct fixture *fixture)
{
	for (int i = 0; i < N_ROWS; i++) {
		g_autofree char *key = g_strdup_printf ("k%d", i);
		dff_memory_rows_put (fixture->rows, TABLE, key, dff_str_from ("value"));
	}
}

static void
fixture_open (struct fixture *fixture)
{
	*fixture = (struct fixture){0};
	fixture->loop = dff_virtual_loop_new (START_MS);
	fixture->metrics = dff_metrics_new ();
	fixture->rows = dff_memory_rows_new (fixture->loop);
	fixture->client = dff_memory_rows_client_new (fixture->rows);
	put_rows (fixture);
	struct dff_rows_health_options health = {
		.timers = dff_virtual_loop_timers (fixture->loop),
		.metrics = fixture->metrics,
		.rows = dff_memory_rows_client_interface (fixture->client),
		.probe_table = TABLE,
		.probe_key = "k0",
		.recovered = handle_recovered,
		.recovered_ctx = fixture,
	};
	fixture->health = dff_rows_health_new (&health);
	struct dff_subscription_options options = {
		.timers = dff_virtual_loop_timers (fixture->loop),
		.rows = dff_rows_health_interface (fixture->health),
		.table = TABLE,
		.wait_ms = 500,
		.timeout_margin_ms = 1000,
		.sink = {.row = handle_row,
			 .begin_snapshot = handle_begin,
			 .end_snapshot = handle_end,
			 .ctx = fixture},
	};
	fixture->subscription = dff_subscription_new (&options);
}

static void
fixture_close (struct fixture *fixture)
{
	g_clear_pointer (&fixture->subscription, dff_subscription_free);
	dff_virtual_loop_run (fixture->loop, 10000);
	dff_rows_health_free (fixture->health);
	dff_virtual_loop_run (fixture->loop, 10000);
	dff_memory_rows_free (fixture->rows);
	dff_metrics_free (fixture->metrics);
	dff_virtual_loop_free (fixture->loop);
}

/* Guards against going on with a subscription that its sink has freed, in each callback, in a scan
 * and in a feed. */
static void
test_freed_by_its_sink (void **state)
{
	(void)state;
	static const struct {
		enum callback frees_in;
		bool in_feed;
	} cases[] = {
		{DFF_CALLBACK_ROW, false},          {DFF_CALLBACK_ROW, true},
		{DFF_CALLBACK_END_SNAPSHOT, false}, {DFF_CALLBACK_BEGIN_SNAPSHOT, true},
		{DFF_CALLBACK_END_SNAPSHOT, true},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct fixture fixture;
		fixture_open (&fixture);
		fixture.frees_in = cases[i].frees_in;
		fixture.frees = !cases[i].in_feed;
		dff_virtual_loop_run (fixture.loop, 300);
		assert_true (cases[i].in_feed == (fixture.subscription != NULL));
		fixture.frees = true;
		/* A feed that starts before the dropped history leads to another snapshot. */
		put_rows (&fixture);
		if (cases[i].frees_in != DFF_CALLBACK_ROW)
			dff_memory_rows_drop_history (fixture.rows);
		dff_virtual_loop_run (fixture.loop, 3000);
		assert_null (fixture.subscription);
		assert_int_equal (fixture.n_after_free, 0);
		fixture_close (&fixture);
	}
}

/* Guards against writing to a call that is freed: the store answers again, which wakes the
 * subscription, with the answer to the subscription's own call; before it calls again it is woken
 * once more or freed. */
static void
test_woken_by_its_own_answer (void **state)
{
	(void)state;
	for (int again = 0; again < 2; again++) {
		struct fixture fixture;
		fixture_open (&fixture);
		fixture.woken_again = again == 1;
		dff_virtual_loop_run (fixture.loop, 300);
		dff_memory_rows_client_faults (fixture.client)->delay_ms = SLOW_MS;
		for (int i = 0; i < 6000 && fixture.n_recoveries == 0; i++) {
			dff_rows_health_is_silent (fixture.health);
			dff_virtual_loop_run (fixture.loop, 1);
		}
		assert_int_not_equal (fixture.n_recoveries, 0);
		dff_memory_rows_client_faults (fixture.client)->delay_ms = 0;
		dff_virtual_loop_run (fixture.loop, 1000);
		assert_true (fixture.woken_again == (fixture.subscription != NULL));
		fixture_close (&fixture);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_freed_by_its_sink),
		cmocka_unit_test (test_woken_by_its_own_answer),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
