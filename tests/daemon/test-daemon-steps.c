#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <signal.h>
#include <string.h>

#include "daemon/daemon_private.h"
#include "entry/entry_private.h"
#include "tests/entry/harness.h"

/* Steps of the daemon on the parts of the entry's test harness: two processes and two workers with
 * three request slots each (two of one service, one of the other); there is no holder. */

#define WORKER_SLOTS 3
#define ALL_SLOTS (2 * WORKER_SLOTS)
#define GRACE_MS 3000
#define DRAIN_TIMEOUT_MS 6000

struct fixture {
	struct harness *harness;
	struct dff_daemon daemons[HARNESS_PROCESSES];
	struct dff_metrics *metrics;
};

static void
ignore_list_call (void *ctx, dff_instance_list_func done, void *user)
{
	(void)ctx;
	(void)done;
	(void)user;
}

static const struct dff_instance_list silent_list = {.list = ignore_list_call};

static struct dff_instance_watch *
instance_watch_new (struct fixture *fixture)
{
	const struct dff_instance_watch_options options = {
		.list = &silent_list,
		.clock = &fixture->harness->clock.clock,
		.metrics = fixture->metrics,
		.poll_ms = 1000,
	};
	return dff_instance_watch_new (&options);
}

static void
set_up_daemon (struct fixture *fixture, int index)
{
	struct harness *harness = fixture->harness;
	const struct harness_process *process = &harness->processes[index];
	struct dff_daemon *daemon = &fixture->daemons[index];
	*daemon = (struct dff_daemon){
		.base = harness->base,
		.settings = process->settings,
		.clock = &harness->clock.clock,
		.peer = process->peer,
		.cell = process->cell,
		.entry = process->entry,
		.pool = process->pool,
		.instance_watch = instance_watch_new (fixture),
		.instances = g_array_new (FALSE, TRUE, sizeof (struct dff_instance)),
		.leaving_workers =
			g_hash_table_new_full (dff_name_hash, dff_name_equal_func, g_free, NULL),
		.job_watchers = dff_daemon_job_watchers_new (),
		.older_job_watchers = dff_daemon_job_watchers_new (),
	};
	g_array_append_vals (daemon->instances, harness->instances, (guint)harness->n_instances);
}

static void
begin (struct fixture *fixture)
{
	fixture->harness = harness_new ();
	fixture->metrics = dff_metrics_new ();
	harness_set_pool (fixture->harness);
	/* Time for the two processes to discover each other. */
	harness_run (fixture->harness, 2000);
	for (int i = 0; i < HARNESS_PROCESSES; i++)
		set_up_daemon (fixture, i);
}

static void
end (struct fixture *fixture)
{
	for (int i = 0; i < HARNESS_PROCESSES; i++) {
		struct dff_daemon *daemon = &fixture->daemons[i];
		dff_instance_watch_free (daemon->instance_watch);
		g_array_unref (daemon->instances);
		g_hash_table_unref (daemon->leaving_workers);
		g_hash_table_unref (daemon->job_watchers);
		g_hash_table_unref (daemon->older_job_watchers);
	}
	harness_free (fixture->harness);
	dff_metrics_free (fixture->metrics);
}

static int32_t
granted_slots (const struct dff_daemon *daemon)
{
	struct dff_requests_stats stats;
	dff_requests_get_stats (daemon->entry->requests, &stats);
	return stats.slots_granted;
}

static struct harness_client *
send_request (struct harness *harness, int process)
{
	static const char text[] = "POST /v1/services/drafting/requests HTTP/1.1\r\n"
				   "Authorization: Bearer casework-token\r\n"
				   "Content-Length: 2\r\n\r\n{}";
	struct harness_client *client = harness_connect (harness, process);
	harness_client_send (client, text, strlen (text));
	return client;
}

static void
expect_status (struct harness_client *client, int status)
{
	assert_true (harness_client_wait (client));
	assert_int_equal (harness_client_status (client), status);
	harness_client_free (client);
}

/* Guards against refusing short requests, which need no store, during a store outage: the holder's
 * lease and its grants expire, and no holder sends new ones. It also guards against granting
 * workers more requests than they have slots, when each process takes all of them. */
static void
test_slots_without_a_holder (void **state)
{
	(void)state;
	struct fixture fixture;
	begin (&fixture);
	struct dff_daemon *daemons = fixture.daemons;
	int64_t now_ms = fixture.harness->clock.now_ms;
	daemons[0].grants_until_ms = now_ms + 1;
	dff_daemon_assign_own_grants (&daemons[0], now_ms);
	assert_int_equal (granted_slots (&daemons[0]), 0);
	expect_status (send_request (fixture.harness, 0), 503);

	now_ms = fixture.harness->clock.now_ms;
	daemons[0].grants_until_ms = now_ms;
	for (int i = 0; i < HARNESS_PROCESSES; i++)
		dff_daemon_assign_own_grants (&daemons[i], now_ms);
	int32_t granted = granted_slots (&daemons[0]) + granted_slots (&daemons[1]);
	assert_int_equal (granted, ALL_SLOTS);
	assert_in_range (granted_slots (&daemons[0]), 1, ALL_SLOTS - 1);
	expect_status (send_request (fixture.harness, 0), 200);
	expect_status (send_request (fixture.harness, 1), 200);
	end (&fixture);
}

/* Makes the daemon the holder of its cell, which has no workers to query. */
static void
acquire_cell (struct fixture *fixture, const struct dff_daemon *daemon)
{
	dff_cell_set_pool (daemon->cell, daemon->pool);
	dff_cell_set_instances (daemon->cell, NULL, 0);
	for (int i = 0; i < 60000 && !dff_cell_is_holder (daemon->cell); i++) {
		harness_step (fixture->harness);
		dff_cell_tick (daemon->cell);
	}
	assert_true (dff_cell_is_holder (daemon->cell));
}

/* Guards against a holder that reports itself as ready and refuses every request: the table is lost
 * and starts again, empty or from an old copy, so that epochs restart at lower numbers; the process
 * becomes the holder and rejects its own grants as outdated. It has to compute its grants
 * itself. */
static void
test_slots_of_a_holder_whose_grants_are_outdated (void **state)
{
	(void)state;
	struct fixture fixture;
	begin (&fixture);
	struct dff_daemon *daemon = &fixture.daemons[0];
	daemon->grant_epoch = 7;
	acquire_cell (&fixture, daemon);
	assert_in_range (dff_cell_epoch (daemon->cell), 1, daemon->grant_epoch - 1);
	daemon->grants_until_ms = fixture.harness->clock.now_ms;
	dff_daemon_assign_own_grants (daemon, fixture.harness->clock.now_ms);
	assert_in_range (granted_slots (daemon), 1, ALL_SLOTS - 1);
	end (&fixture);
}

/* Guards against sending new requests to a worker that is shutting down, for the length of an
 * outage: the worker reports that it is leaving, the instance list does not yet, and a process
 * computes its own grants. */
static void
test_leaving_worker_is_not_granted (void **state)
{
	(void)state;
	struct fixture fixture;
	begin (&fixture);
	const struct dff_name leaving = dff_name_from ("w1");
	for (int i = 0; i < HARNESS_PROCESSES; i++) {
		struct dff_daemon *daemon = &fixture.daemons[i];
		g_hash_table_add (daemon->leaving_workers, dff_name_dup (&leaving));
		dff_daemon_assign_own_grants (daemon, fixture.harness->clock.now_ms);
	}
	int32_t granted = granted_slots (&fixture.daemons[0]) + granted_slots (&fixture.daemons[1]);
	assert_int_equal (granted, WORKER_SLOTS);
	end (&fixture);
}

/* Guards against losing requests at a planned stop: the process refuses requests before the load
 * balancer can know of the stop, or exits before a request in flight has its answer. */
static void
test_drain_waits_for_requests_in_flight (void **state)
{
	(void)state;
	struct fixture fixture;
	begin (&fixture);
	struct harness *harness = fixture.harness;
	struct dff_daemon *daemon = &fixture.daemons[0];
	struct harness_answer held = {.outcome = DFF_WORKER_OK, .status = 200, .held = true};
	daemon->settings->drain_grace_ms = GRACE_MS;
	harness_grant (harness, WORKER_SLOTS, 600000);
	harness_next_answer (harness, &held);
	struct harness_client *in_flight = send_request (harness, 0);
	harness_run (harness, 20);

	dff_daemon_drain (daemon);
	assert_false (dff_entry_is_ready (daemon->entry));
	int64_t started_ms = harness->clock.now_ms;
	dff_daemon_continue_drain (daemon, started_ms + GRACE_MS - 1);
	expect_status (send_request (harness, 0), 200);
	dff_daemon_continue_drain (daemon, started_ms + GRACE_MS);
	expect_status (send_request (harness, 0), 503);
	dff_cell_tick (daemon->cell);
	dff_daemon_continue_drain (daemon, started_ms + GRACE_MS + 1);
	harness_step (harness);
	assert_false (event_base_got_exit (harness->base));

	harness_release (harness, 200, "{}");
	expect_status (in_flight, 200);
	/* An idle connection is closed some time after its last answer. */
	harness_run (harness, 1000);
	dff_daemon_continue_drain (daemon, started_ms + GRACE_MS + 2);
	event_base_loop (harness->base, EVLOOP_NONBLOCK);
	assert_true (event_base_got_exit (harness->base));
	assert_false (dff_daemon_was_aborted (daemon));
	end (&fixture);
}

/* Guards against a planned stop that never ends although a time limit is set: a worker keeps a
 * request for ever, and the limit is checked only while no work is in flight. */
static void
test_drain_ends_at_time_limit (void **state)
{
	(void)state;
	struct fixture fixture;
	begin (&fixture);
	struct harness *harness = fixture.harness;
	struct dff_daemon *daemon = &fixture.daemons[0];
	struct harness_answer held = {.outcome = DFF_WORKER_OK, .status = 200, .held = true};
	daemon->settings->drain_timeout_ms = DRAIN_TIMEOUT_MS;
	harness_grant (harness, WORKER_SLOTS, 600000);
	harness_next_answer (harness, &held);
	struct harness_client *in_flight = send_request (harness, 0);
	harness_run (harness, 20);
	dff_daemon_drain (daemon);
	int64_t started_ms = harness->clock.now_ms;
	dff_daemon_continue_drain (daemon, started_ms + DRAIN_TIMEOUT_MS);
	assert_false (dff_daemon_was_aborted (daemon));
	dff_daemon_continue_drain (daemon, started_ms + DRAIN_TIMEOUT_MS + 1);
	assert_true (dff_daemon_was_aborted (daemon));
	harness_client_free (in_flight);
	end (&fixture);
}

static void
add_watch (struct dff_daemon *daemon, int number)
{
	const struct dff_name watcher = dff_name_from ("entry-1");
	const struct dff_name job = dff_name_printf ("job.%d", number);
	dff_daemon_add_job_watcher (daemon, &watcher, &job);
}

static bool
is_watched (const struct dff_daemon *daemon, int number)
{
	const struct dff_name job = dff_name_printf ("job.%d", number);
	return g_hash_table_contains (daemon->job_watchers, &job) ||
	       g_hash_table_contains (daemon->older_job_watchers, &job);
}

/* Guards against delivering every result seconds late after some weeks: watches of ended jobs, or
 * of jobs of another region, fill the holder's table, and new watches are dropped. */
static void
test_stale_watches_are_evicted (void **state)
{
	(void)state;
	static const int n_jobs = 4 * DFF_DAEMON_WATCHED_JOBS_MAX;
	struct fixture fixture;
	begin (&fixture);
	struct dff_daemon *daemon = &fixture.daemons[0];
	for (int i = 0; i < n_jobs; i++)
		add_watch (daemon, i);
	for (int i = n_jobs - DFF_DAEMON_WATCHED_JOBS_MAX; i < n_jobs; i++)
		assert_true (is_watched (daemon, i));
	assert_in_range (g_hash_table_size (daemon->job_watchers) +
				 g_hash_table_size (daemon->older_job_watchers),
			 1, 2 * DFF_DAEMON_WATCHED_JOBS_MAX);
	for (int i = 0; i < n_jobs; i++) {
		const struct dff_name job = dff_name_printf ("job.%d", i);
		dff_daemon_notify_job_ended (daemon, &job, DFF_OUTCOME_COMPLETED);
	}
	assert_int_equal (g_hash_table_size (daemon->job_watchers), 0);
	assert_int_equal (g_hash_table_size (daemon->older_job_watchers), 0);
	end (&fixture);
}

int
main (void)
{
	signal (SIGPIPE, SIG_IGN);
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_stale_watches_are_evicted),
		cmocka_unit_test (test_slots_without_a_holder),
		cmocka_unit_test (test_slots_of_a_holder_whose_grants_are_outdated),
		cmocka_unit_test (test_leaving_worker_is_not_granted),
		cmocka_unit_test (test_drain_waits_for_requests_in_flight),
		cmocka_unit_test (test_drain_ends_at_time_limit),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
