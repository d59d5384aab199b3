#include "tests/holder/site.h"

#include "platform/decode.h"
#include "tests/holder/site_links.h"
#include "tests/holder/site_relays.h"
#include "tests/holder/site_workers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"

/* A killed process never receives the answers to its calls in progress, so the contexts of these
 * calls are lost with it, as in reality. Everything else has to be freed. */
/* The name is defined by the sanitizer. */
const char *__lsan_default_suppressions (void); // NOLINT(readability-identifier-naming)

const char *
__lsan_default_suppressions (void) // NOLINT(readability-identifier-naming)
{
	/* Functions that allocate such contexts: in the holder, in scans and subscriptions, in
	 * fronts. */
	return "leak:lease_step\nleak:^take\nleak:intake\nleak:dff_core_take\n"
	       "leak:handle_takeover\nleak:jobs_ingest\nleak:incarnation_accept\nleak:take_over\n"
	       "leak:evaluate_row\nleak:send_commit\nleak:read_page\n"
	       "leak:dff_scan_start\nleak:handle_retry\nleak:handle_page\n"
	       "leak:lease_probe_former\nleak:request_changes\nleak:inbox_step\nleak:read_job\n"
	       "leak:send_watch\nleak:order_call_new\nleak:send_order\nleak:follow\n"
	       "leak:subscription\nleak:request_new\nleak:request_retry\nleak:probe_holder\n"
	       "leak:dff_front_\nleak:read_recorded_speeds\n";
}

/** Start of the virtual clock, ms: as the time since 1970 and as the monotonic clock. */
#define START_MS 1000000
/** Default time after which a crashed worker is restarted, ms. */
#define RESTART_DELAY_MS 3200

/* Describes a task by the first character of its job's id. */
static struct dff_memory_task
describe (void *ctx, const struct dff_name *task)
{
	(void)ctx;
	struct dff_memory_task description = {.duration_ms = 1000, .accelerators = 1};
	switch (task->data[0]) {
	case '1': /* long */
		description.duration_ms = 6000;
		break;
	case '2': /* gang of 3 whole workers */
		description.gang = 3;
		description.accelerators = SITE_ACCELERATORS;
		break;
	case '3': /* fails at once */
		description.duration_ms = 0;
		description.failing_runs = DFF_MEMORY_TASK_ALWAYS_FAILS;
		break;
	case '4': /* long, saves checkpoints */
		description.duration_ms = 6000;
		description.checkpoints = true;
		break;
	case '5': /* long gang of 2 */
		description.duration_ms = 3000;
		description.gang = 2;
		description.accelerators = 4;
		break;
	case '7': /* very long */
		description.duration_ms = 30000;
		break;
	case '8': /* gang of 2 whole workers, the last member fails once */
		description.gang = 2;
		description.accelerators = SITE_ACCELERATORS;
		description.failing_runs = g_str_has_suffix (task->data, ".1") ? 1 : 0;
		break;
	case '9': /* gang of 2 whole workers, the last member always fails */
		description.gang = 2;
		description.accelerators = SITE_ACCELERATORS;
		description.failing_runs =
			g_str_has_suffix (task->data, ".1") ? DFF_MEMORY_TASK_ALWAYS_FAILS : 0;
		break;
	case 'x': /* crashes its worker */
		description.crashes = true;
		description.crashes_after_ms = 10;
		break;
	case 'y': /* long gang of 2 whole workers, the last member crashes its worker */
		description.duration_ms = 3000;
		description.gang = 2;
		description.accelerators = SITE_ACCELERATORS;
		description.crashes = g_str_has_suffix (task->data, ".1");
		description.crashes_after_ms = 10;
		break;
	case 'z': /* crashes its worker after a while */
		description.duration_ms = 6000;
		description.crashes = true;
		description.crashes_after_ms = 2500;
		break;
	case 'u': /* 100 s */
		description.duration_ms = 100000;
		break;
	case '6': /* a whole worker */
		description.duration_ms = 2000;
		description.accelerators = SITE_ACCELERATORS;
		break;
	default:
		break;
	}
	return description;
}

struct probe {
	dff_holder_probe_func done;
	void *user;
	enum dff_holder_probe_result probe;
	struct site_process *sender;
	int32_t incarnation;
};

static void
answer_probe (void *user)
{
	struct probe *probe = user;
	if (probe->sender->alive && probe->sender->incarnation == probe->incarnation)
		probe->done (probe->user, probe->probe);
	g_free (probe);
}

static void
ask_presence (void *ctx,
	      const struct dff_name *address,
	      const struct dff_name *instance,
	      const struct dff_holder_probe *query,
	      dff_holder_probe_func done,
	      void *user)
{
	struct site_process *sender = ctx;
	struct site *site = sender->site;
	struct probe *probe = g_new0 (struct probe, 1);
	const struct site_process *target = &site->processes[address->data[1] - '0'];
	probe->done = done;
	probe->user = user;
	probe->sender = sender;
	probe->incarnation = sender->incarnation;
	if (target->isolated) {
		probe->probe = DFF_HOLDER_PROBE_TIMED_OUT;
		dff_virtual_loop_schedule (site->loop, 300, answer_probe, probe);
		return;
	}
	probe->probe = DFF_HOLDER_PROBE_REFUSED;
	if (target->alive)
		probe->probe = DFF_HOLDER_PROBE_REPLACED;
	if (target->alive && dff_name_equal (&target->instance, instance))
		probe->probe = dff_holder_answer_probe (target->holder, query);
	dff_virtual_loop_schedule (site->loop, 2, answer_probe, probe);
}

static bool
store_is_silent (void *ctx)
{
	struct site_process *process = ctx;
	return dff_rows_health_is_silent (process->health);
}

static int64_t
store_served_ms (void *ctx)
{
	const struct site_process *process = ctx;
	return dff_rows_health_served_ms (process->health);
}

static void
handle_store_recovered (void *ctx)
{
	struct site_process *process = ctx;
	if (process->requests != NULL)
		dff_subscription_wake (process->requests);
	dff_holder_handle_store_recovered (process->holder);
}

static void
open_health (struct site *site, struct site_process *process)
{
	struct dff_rows_health_options options = {
		.timers = dff_virtual_loop_timers (site->loop),
		.metrics = process->metrics,
		.rows = dff_memory_rows_client_interface (process->rows),
		.probe_table = DFF_TABLE_CELL,
		.probe_key = DFF_KEY_HOLDER,
		.recovered = handle_store_recovered,
		.recovered_ctx = process,
	};
	process->health = dff_rows_health_new (&options);
}

static void
handle_request_row (void *ctx, const struct dff_row *row)
{
	struct site_process *process = ctx;
	struct dff_name data_centre;
	if (dff_platform_read_evacuation (row, &data_centre) == DFF_PLATFORM_REQUEST_EVACUATION)
		dff_evacuations_note (process->evacuations, &data_centre, !row->removed,
				      row->revision, 0);
}

static void
handle_requests_begin (void *ctx)
{
	dff_evacuations_begin_snapshot (((struct site_process *)ctx)->evacuations);
}

static void
handle_requests_end (void *ctx)
{
	dff_evacuations_end_snapshot (((struct site_process *)ctx)->evacuations);
}

static void
handle_evacuated (void *ctx, const struct dff_name *data_centres, size_t n_data_centres)
{
	dff_holder_set_evacuated (((struct site_process *)ctx)->holder, data_centres,
				  n_data_centres);
}

static int64_t
evacuations_age_ms (void *ctx)
{
	const struct site_process *process = ctx;
	return process->requests != NULL && dff_subscription_is_ready (process->requests)
		       ? dff_subscription_age_ms (process->requests)
		       : INT64_MAX;
}

static void
follow_requests (struct site *site, struct site_process *process)
{
	struct dff_evacuations_options options = {
		.metrics = process->metrics, .changed = handle_evacuated, .ctx = process};
	if (process->evacuations == NULL)
		process->evacuations = dff_evacuations_new (&options);
	struct dff_subscription_options follower = {
		.timers = dff_virtual_loop_timers (site->loop),
		.rows = dff_rows_health_interface (process->health),
		.table = DFF_TABLE_CONFIG,
		.wait_ms = 500,
		.timeout_margin_ms = 1000,
		.sink = {.row = handle_request_row,
			 .begin_snapshot = handle_requests_begin,
			 .end_snapshot = handle_requests_end,
			 .ctx = process},
	};
	process->requests = dff_subscription_new (&follower);
}

void
site_block_requests (struct site *site, int process, bool blocked)
{
	struct site_process *target = &site->processes[process];
	g_clear_pointer (&target->requests, dff_subscription_free);
	if (!blocked)
		follow_requests (site, target);
}

static void
open_holder (struct site *site, struct site_process *process, int index)
{
	struct dff_holder_options options;
	dff_holder_options_init (&options);
	options.timers = dff_virtual_loop_timers (site->loop);
	options.rows = dff_rows_health_interface (process->health);
	options.runner = dff_memory_runner_client_interface (process->runner);
	if (site->relays) {
		options.runner = site_relays_start (process);
		options.relay_address = dff_name_printf ("p%d", index);
		options.relay_min_workers = 1;
		options.relay_connect = site_relays_follow;
		options.relay_set_limit = site_relays_set_limit;
		options.relay_ctx = process;
	}
	options.metrics = process->metrics;
	options.instance = process->instance;
	options.probe_address = dff_name_printf ("p%d", index);
	options.send_probe = ask_presence;
	options.takeover_ms = site->takeover_ms[index];
	/* Feeds are used with any number of workers. */
	options.feed_min_workers = 1;
	options.probe_ctx = process;
	options.store_served_ms = store_served_ms;
	options.store_ctx = process;
	options.read_upstream = site_workers_read_upstream;
	if (site->open_jobs_max_bytes > 0)
		options.open_jobs_max_bytes = site->open_jobs_max_bytes;
	if (site->links)
		site_links_options (process, &options);
	if (site->with_evacuations) {
		options.evacuations_age_ms = evacuations_age_ms;
		options.evacuations_ctx = process;
	}
	process->holder = dff_holder_new (&options);
	struct dff_holder_team team = {.name = dff_name_from ("team")};
	dff_holder_set_teams (process->holder, &team, 1);
	struct dff_name service = dff_name_from ("service");
	if (site->unenforced)
		dff_holder_set_unenforced (process->holder, &service, 1);
}

void
site_start_process (struct site *site, int index)
{
	struct site_process *process = &site->processes[index];
	process->site = site;
	process->alive = true;
	process->incarnation++;
	process->instance = dff_name_printf ("p%d.%d", index, process->incarnation);
	process->metrics = dff_metrics_new ();
	process->rows = dff_memory_rows_client_new (site->rows);
	process->runner = dff_memory_runner_client_new (site->runner);
	open_health (site, process);
	if (site->links)
		site_links_start (process);
	open_holder (site, process, index);
	if (site->with_evacuations)
		follow_requests (site, process);
	struct dff_front_options front = {
		.timers = dff_virtual_loop_timers (site->loop),
		.rows = dff_rows_health_interface (process->health),
		.metrics = process->metrics,
		.store_is_silent = store_is_silent,
		.ctx = process,
	};
	if (site->links)
		site_links_front_options (process, &front);
	process->front = dff_front_new (&front);
}

void
site_kill_process (struct site *site, int index)
{
	struct site_process *process = &site->processes[index];
	if (!process->alive)
		return;
	process->alive = false;
	dff_memory_rows_client_end (process->rows);
	dff_memory_runner_client_end (process->runner);
	g_clear_pointer (&process->requests, dff_subscription_free);
	dff_holder_free (process->holder);
	if (site->relays)
		site_relays_kill (process);
	if (site->links)
		site_links_kill (process);
	dff_front_free (process->front);
	g_clear_pointer (&process->evacuations, dff_evacuations_free);
	dff_rows_health_free (process->health);
	dff_metrics_free (process->metrics);
}

static void
open_site (struct site *site)
{
	site->loop = dff_virtual_loop_new (START_MS);
	site->restart_delay_ms = RESTART_DELAY_MS;
	site->rows = dff_memory_rows_new (site->loop);
	site->accepted = g_ptr_array_new_with_free_func (g_free);
	site->hops = g_ptr_array_new_with_free_func (site_hop_free);
	struct dff_memory_runner_options options = {.loop = site->loop,
						    .describe = describe,
						    .stop_grace_ms = 400,
						    .gang_wait_ms = 3000,
						    .max_attempts = SITE_MAX_ATTEMPTS,
						    .listed_ends_max = site->listed_ends_max,
						    .unenforced = site->unenforced,
						    .crashed = site_workers_handle_crash,
						    .ctx = site};
	site->runner = dff_memory_runner_new (&options);
	if (site->n_workers == 0)
		site->n_workers = SITE_WORKERS;
	for (int i = 0; i < site->n_workers; i++)
		site_workers_add (site, i);
	if (site->unenforced)
		site_workers_write_entries (site);
	for (int i = 0; i < SITE_PROCESSES; i++)
		site_start_process (site, i);
	for (int i = 0; i < 200 && site_holder (site) < 0; i++)
		site_run (site, 10);
	assert_int_not_equal (site_holder (site), -1);
	site_run (site, 200);
}

void
site_tests_begin (const struct CMUnitTest *tests, size_t n_tests)
{
	const char *name = getenv ("DFF_SEED_TEST");
	if (getenv ("DFF_SEED_LOG") != NULL)
		dff_log_init (DFF_LOG_INFO);
	if (name == NULL)
		return;
	cmocka_set_test_filter (name);
	for (size_t i = 0; i < n_tests; i++) {
		if (strcmp (tests[i].name, name) == 0)
			return;
	}
	/* With a filter that matches no test the program would pass. */
	fprintf (stderr, "No test is called %s.\n", name);
	exit (EXIT_FAILURE);
}

void
site_open (struct site *site)
{
	memset (site, 0, sizeof (*site));
	open_site (site);
}

void
site_open_with_relays (struct site *site)
{
	memset (site, 0, sizeof (*site));
	site->relays = true;
	open_site (site);
}

void
site_open_with_links (struct site *site)
{
	memset (site, 0, sizeof (*site));
	site->links = true;
	open_site (site);
}

void
site_open_with_job_limit (struct site *site, size_t open_jobs_max_bytes)
{
	memset (site, 0, sizeof (*site));
	site->links = true;
	site->open_jobs_max_bytes = open_jobs_max_bytes;
	open_site (site);
}

void
site_open_unenforced (struct site *site)
{
	memset (site, 0, sizeof (*site));
	site->unenforced = true;
	open_site (site);
}

void
site_open_with_same_ids (struct site *site, bool relays)
{
	memset (site, 0, sizeof (*site));
	site->same_ids = true;
	site->relays = relays;
	open_site (site);
}

void
site_open_with_short_reports (struct site *site, int32_t listed_ends_max, bool relays)
{
	memset (site, 0, sizeof (*site));
	site->same_ids = true;
	site->relays = relays;
	site->listed_ends_max = listed_ends_max;
	open_site (site);
}

void
site_open_with_durations (struct site *site, const int32_t duration_permille[SITE_PER_RACK])
{
	memset (site, 0, sizeof (*site));
	site->same_ids = true;
	site->n_workers = SITE_UNEQUAL_WORKERS;
	memcpy (site->duration_permille, duration_permille, sizeof (site->duration_permille));
	open_site (site);
}

void
site_open_with_evacuations (struct site *site)
{
	memset (site, 0, sizeof (*site));
	site->with_evacuations = true;
	open_site (site);
}

void
site_close (struct site *site)
{
	site->closing = true;
	for (int i = 0; i < SITE_PROCESSES; i++)
		site_kill_process (site, i);
	/* Lets all calls in progress end. */
	site_run (site, 30000);
	const char *violation = dff_memory_runner_violation (site->runner);
	if (violation != NULL)
		fail_msg ("%s", violation);
	dff_memory_runner_free (site->runner);
	dff_memory_rows_free (site->rows);
	g_ptr_array_unref (site->accepted);
	g_ptr_array_unref (site->hops);
	dff_virtual_loop_free (site->loop);
}

void
site_run (struct site *site, int64_t ms)
{
	dff_virtual_loop_run (site->loop, ms);
}

int
site_holder (const struct site *site)
{
	for (int i = 0; i < SITE_PROCESSES; i++) {
		if (site->processes[i].alive && dff_holder_is_holding (site->processes[i].holder))
			return i;
	}
	return -1;
}

struct dff_plan *
site_plan (const char *id, int32_t count, bool gang, int32_t accelerators)
{
	struct dff_plan *plan = dff_plan_new ();
	plan->id = dff_name_from (id);
	plan->team = dff_name_from ("team");
	plan->class_name = dff_name_from ("class");
	plan->service = dff_name_from ("service");
	plan->priority = 1;
	plan->max_attempts = SITE_MAX_ATTEMPTS;
	struct dff_step *step = dff_plan_add_step (plan);
	step->count = count;
	step->gang = gang;
	step->one_rack = gang;
	step->checkpoint = id[0] == '4';
	step->estimate_ms = 2000;
	step->per_task = (struct dff_resources){
		.slots = 1, .cores = 1, .memory_gb = 1, .accelerators = accelerators};
	return plan;
}

struct answer {
	bool done;
	struct dff_front_result result;
};

static void
handle_answer (void *user, const struct dff_front_result *result)
{
	struct answer *answer = user;
	answer->done = true;
	answer->result = *result;
}

static struct dff_front_reply
reply_to (struct site *site, struct answer *answer)
{
	return (struct dff_front_reply){.deadline_ms = dff_virtual_loop_now_ms (site->loop) + 3000,
					.done = handle_answer,
					.user = answer};
}

static void
wait_for (struct site *site, const struct answer *answer)
{
	for (int i = 0; i < 4000 && !answer->done; i++)
		site_run (site, 1);
	assert_true (answer->done);
}

enum dff_front_outcome
site_submit (struct site *site, int process, struct dff_plan *plan)
{
	struct answer answer = {0};
	struct dff_front_reply reply = reply_to (site, &answer);
	dff_front_submit (site->processes[process].front, plan, &reply);
	wait_for (site, &answer);
	if (answer.result.outcome == DFF_FRONT_OK)
		g_ptr_array_add (site->accepted, g_strdup (plan->id.data));
	dff_plan_free (plan);
	return answer.result.outcome;
}

enum dff_front_outcome
site_cancel (struct site *site, int process, const char *id)
{
	struct answer answer = {0};
	struct dff_front_reply reply = reply_to (site, &answer);
	struct dff_name name = dff_name_from (id);
	dff_front_cancel (site->processes[process].front, &name, &reply);
	wait_for (site, &answer);
	return answer.result.outcome;
}

const char *
site_state (struct site *site, int process, const char *id)
{
	struct answer answer = {0};
	struct dff_front_reply reply = reply_to (site, &answer);
	struct dff_name name = dff_name_from (id);
	dff_front_read_state (site->processes[process].front, &name, &reply);
	wait_for (site, &answer);
	if (answer.result.outcome == DFF_FRONT_NOT_FOUND)
		return "gone";
	if (answer.result.outcome != DFF_FRONT_OK)
		return "unavailable";
	return dff_job_state_name (answer.result.state);
}

int32_t
site_count_waiting (struct site *site, int process)
{
	struct answer answer = {0};
	struct dff_front_reply reply = reply_to (site, &answer);
	struct dff_name name = dff_name_from ("class");
	dff_front_count_waiting (site->processes[process].front, &name, &reply);
	wait_for (site, &answer);
	return answer.result.outcome == DFF_FRONT_OK ? answer.result.waiting : -1;
}

static int
any_process (const struct site *site)
{
	for (int i = 0; i < SITE_PROCESSES; i++) {
		if (site->processes[i].alive)
			return i;
	}
	return -1;
}

int64_t
site_wait_for_state (struct site *site, const char *id, const char *state, int64_t limit_ms)
{
	int64_t begun_ms = dff_virtual_loop_now_ms (site->loop);
	while (dff_virtual_loop_now_ms (site->loop) - begun_ms < limit_ms) {
		int process = any_process (site);
		if (process >= 0 && strcmp (site_state (site, process, id), state) == 0)
			return dff_virtual_loop_now_ms (site->loop) - begun_ms;
		site_run (site, 20);
	}
	return -1;
}
