#include "compat.h"

#include "graph/plan.h"
#include "graph/progress.h"
#include "holder/holder_private.h"

/* Rows of the holder of the fleet's cell: its lease, jobs and their progress, and how fast its
 * workers were found to be. */

#define N_PROGRESS 5

static const enum dff_job_state job_states[N_PROGRESS] = {
	DFF_JOB_STATE_QUEUED, DFF_JOB_STATE_RUNNING,   DFF_JOB_STATE_COMPLETED,
	DFF_JOB_STATE_FAILED, DFF_JOB_STATE_CANCELLED,
};

static struct dff_plan *
full_plan (void)
{
	struct dff_plan *plan = dff_plan_new ();
	plan->id = dff_name_from ("job-7");
	plan->team = dff_name_from ("fleet");
	plan->class_name = dff_name_from ("nightly");
	plan->service = dff_name_from ("wear-review");
	plan->priority = 2;
	plan->max_attempts = 4;
	g_string_assign (plan->payload, "{\"text\":\"\xc3\xa9 \\\"quoted\\\"\"}\n");
	plan->occurrences = 3;
	plan->timed = true;
	plan->first_ms = 1790000000123;
	plan->interval_ms = 3600000;
	struct dff_step *gang = dff_plan_add_step (plan);
	gang->count = 2;
	gang->per_task =
		(struct dff_resources){.slots = 1, .cores = 4, .memory_gb = 16, .accelerators = 8};
	gang->estimate_ms = 90000;
	gang->gang = true;
	gang->one_rack = true;
	gang->label = dff_name_from ("large");
	struct dff_step *tasks = dff_plan_add_step (plan);
	tasks->count = 6;
	tasks->per_task = (struct dff_resources){.slots = 2, .cores = 3, .memory_gb = 5};
	tasks->checkpoint = true;
	tasks->data_rack = dff_name_from ("r2");
	tasks->per_worker = 3;
	struct dff_step *endless = dff_plan_add_step (plan);
	endless->endless = true;
	int32_t before[] = {0, 1};
	g_array_append_vals (dff_plan_step (plan, 2)->after, before, 2);
	return plan;
}

static GString *
encode_plan (size_t record)
{
	(void)record;
	DFF_AUTO (dff_plan) plan = full_plan ();
	return dff_plan_encode (plan);
}

static void
check_step (const struct dff_step *step, const struct dff_step *expected)
{
	assert_int_equal (step->count, expected->count);
	assert_int_equal (step->per_task.slots, expected->per_task.slots);
	assert_int_equal (step->per_task.cores, expected->per_task.cores);
	assert_int_equal (step->per_task.memory_gb, expected->per_task.memory_gb);
	assert_int_equal (step->per_task.accelerators, expected->per_task.accelerators);
	assert_int_equal (step->estimate_ms, expected->estimate_ms);
	assert_int_equal (step->gang, expected->gang);
	assert_int_equal (step->one_rack, expected->one_rack);
	assert_int_equal (step->checkpoint, expected->checkpoint);
	assert_int_equal (step->endless, expected->endless);
	check_same_name (&step->label, &expected->label);
	check_same_name (&step->data_rack, &expected->data_rack);
	assert_int_equal (step->per_worker, expected->per_worker);
	assert_int_equal (step->after->len, expected->after->len);
	for (guint i = 0; i < step->after->len; i++)
		assert_int_equal (g_array_index (step->after, int32_t, i),
				  g_array_index (expected->after, int32_t, i));
}

static void
check_plan (size_t record, struct dff_str bytes)
{
	(void)record;
	DFF_AUTO (dff_plan) plan = dff_plan_decode (bytes);
	DFF_AUTO (dff_plan) expected = full_plan ();
	assert_non_null (plan);
	check_same_name (&plan->id, &expected->id);
	check_same_name (&plan->team, &expected->team);
	check_same_name (&plan->class_name, &expected->class_name);
	check_same_name (&plan->service, &expected->service);
	assert_int_equal (plan->priority, expected->priority);
	assert_int_equal (plan->max_attempts, expected->max_attempts);
	assert_string_equal (plan->payload->str, expected->payload->str);
	assert_int_equal (plan->payload->len, expected->payload->len);
	assert_int_equal (plan->occurrences, expected->occurrences);
	assert_int_equal (plan->timed, expected->timed);
	assert_int_equal (plan->first_ms, expected->first_ms);
	assert_int_equal (plan->interval_ms, expected->interval_ms);
	assert_int_equal (plan->steps->len, expected->steps->len);
	for (int32_t i = 0; i < (int32_t)plan->steps->len; i++)
		check_step (dff_plan_step (plan, i), dff_plan_step (expected, i));
}

static void
set_tasks (struct dff_progress *progress)
{
	for (int32_t i = 0; i < 2; i++)
		dff_progress_task (progress, 0, 0, i)->state = DFF_PROGRESS_TASK_DONE;
	struct dff_task *assigned = dff_progress_task (progress, 0, 1, 0);
	*assigned = (struct dff_task){.state = DFF_PROGRESS_TASK_ASSIGNED,
				      .run = 3,
				      .failures = 1,
				      .worker = dff_name_from ("w2")};
	assigned->checkpoint = g_strdup ("step-12");
	struct dff_task *failed = dff_progress_task (progress, 0, 1, 1);
	*failed = (struct dff_task){.state = DFF_PROGRESS_TASK_FAILED,
				    .run = 2,
				    .failures = 2,
				    .blame = 5,
				    .worker = dff_name_from ("w1")};
	struct dff_task *lost = dff_progress_task (progress, 0, 1, 2);
	*lost = (struct dff_task){.state = DFF_PROGRESS_TASK_LOST,
				  .run = 1,
				  .blame = 6,
				  .startup_blame = 4,
				  .worker = dff_name_from ("w2")};
	lost->checkpoint = g_strdup ("step-2");
	struct dff_task *pending = dff_progress_task (progress, 0, 1, 3);
	*pending = (struct dff_task){.run = 7, .failures = 3, .worker = dff_name_from ("w3")};
	dff_progress_task (progress, 0, 1, 4)->state = DFF_PROGRESS_TASK_DONE;
}

/* Only the rows of running jobs have tasks. */
static struct dff_progress *
full_progress (const struct dff_plan *plan, size_t record)
{
	struct dff_progress *progress = dff_progress_new (plan);
	progress->state = job_states[record];
	if (progress->state == DFF_JOB_STATE_RUNNING)
		set_tasks (progress);
	return progress;
}

static GString *
encode_progress (size_t record)
{
	DFF_AUTO (dff_plan) plan = full_plan ();
	DFF_AUTO (dff_progress) progress = full_progress (plan, record);
	return dff_progress_encode (progress);
}

static void
check_task (const struct dff_task *task, const struct dff_task *expected)
{
	assert_int_equal (task->state, expected->state);
	assert_int_equal (task->run, expected->run);
	assert_int_equal (task->failures, expected->failures);
	assert_int_equal (task->blame, expected->blame);
	assert_int_equal (task->startup_blame, expected->startup_blame);
	check_same_name (&task->worker, &expected->worker);
	assert_true (g_strcmp0 (task->checkpoint, expected->checkpoint) == 0);
}

static void
check_progress (size_t record, struct dff_str bytes)
{
	DFF_AUTO (dff_plan) plan = full_plan ();
	DFF_AUTO (dff_progress) progress = dff_progress_decode (plan, bytes);
	DFF_AUTO (dff_progress) expected = full_progress (plan, record);
	enum dff_job_state state = DFF_JOB_STATE_QUEUED;
	assert_non_null (progress);
	assert_int_equal (progress->state, expected->state);
	assert_true (dff_progress_decode_state (bytes, &state));
	assert_int_equal (state, expected->state);
	bool running = expected->state == DFF_JOB_STATE_RUNNING;
	assert_int_equal (progress->n_steps_done, running ? 1 : 0);
	assert_int_equal (dff_progress_step (progress, 0, 0)->n_done, running ? 2 : 0);
	assert_int_equal (dff_progress_step (progress, 0, 1)->n_done, running ? 1 : 0);
	for (int32_t occurrence = 0; occurrence < plan->occurrences; occurrence++) {
		for (int32_t step = 0; step < (int32_t)plan->steps->len; step++) {
			for (int32_t i = 0; i < dff_plan_step (plan, step)->count; i++)
				check_task (dff_progress_task (progress, occurrence, step, i),
					    dff_progress_task (expected, occurrence, step, i));
		}
	}
}

/* Row 1 is released and from a holder that has not determined the store's clock. */
static GString *
encode_lease (size_t record)
{
	struct dff_holder holder = {.epoch = 41,
				    .least_takeover_ms = 120,
				    .n_relays = 3,
				    .former_renewals_end_ms = 5000,
				    .earlier_renewals_end_ms = 7000};
	holder.options.instance = dff_name_from ("node-1.x7");
	holder.options.probe_address = dff_name_from ("10.0.0.1:8081");
	holder.options.takeover_ms = 350;
	holder.options.relay_address = dff_name_from ("10.0.0.1:9000");
	holder.store_clock_offset_ms = record == 0 ? 1000000 : HOLDER_CLOCK_UNKNOWN;
	return lease_encode (&holder, 17, record == 1);
}

static void
check_lease (size_t record, struct dff_str bytes)
{
	struct lease_row row;
	assert_true (lease_decode (bytes, &row));
	assert_int_equal (row.epoch, 41);
	assert_int_equal (row.sequence, 17);
	check_name (&row.instance, "node-1.x7");
	check_name (&row.address, "10.0.0.1:8081");
	assert_int_equal (row.released, record == 1);
	assert_int_equal (row.renewing_until_ms, record == 0 ? 1007000 : 0);
	assert_int_equal (row.takeover_ms, 350);
	assert_int_equal (row.least_takeover_ms, 120);
	check_name (&row.relay_address, "10.0.0.1:9000");
	assert_int_equal (row.n_relays, 3);
}

#define N_SPEEDS 2

/* Row 1 is from a platform whose workers do not report their start times. */
static const struct speeds_entry speeds[] = {
	{{.worker = {.data = "dc1.r2.w7", .len = 9}, .relative = 470, .weight = 3.25F},
	 INT64_C (1790000000123)},
	{{.worker = {.data = "w1", .len = 2}, .relative = -511, .weight = 0.01F}, 1},
	{{.worker = {.data = "w_2", .len = 3}, .relative = 0, .weight = 812.5F}, 77},
};

static GString *
encode_speeds (size_t record)
{
	struct speeds_row row;
	speeds_row_init (&row);
	row.written_ms = INT64_C (1790000060123);
	row.variances = (struct dff_duration_variances){.workers = 0.16F, .tasks = 0.0004F};
	for (size_t i = 0; i < G_N_ELEMENTS (speeds); i++) {
		struct speeds_entry entry = speeds[i];
		if (record == 1)
			entry.started_ms = DFF_START_UNREPORTED;
		g_array_append_val (row.entries, entry);
	}
	GString *text = speeds_encode (&row);
	speeds_row_clear (&row);
	return text;
}

static const struct speeds_entry *
find_speed (const struct speeds_row *row, const struct dff_name *worker)
{
	for (guint i = 0; i < row->entries->len; i++) {
		const struct speeds_entry *entry =
			&g_array_index (row->entries, struct speeds_entry, i);
		if (dff_name_equal (&entry->duration.worker, worker))
			return entry;
	}
	return NULL;
}

static void
check_speeds (size_t record, struct dff_str bytes)
{
	struct speeds_row row;
	speeds_row_init (&row);
	assert_true (speeds_decode (bytes, &row));
	assert_true (row.written_ms == INT64_C (1790000060123));
	assert_true (row.variances.workers == 0.16F);
	assert_true (row.variances.tasks == 0.0004F);
	assert_int_equal (row.entries->len, G_N_ELEMENTS (speeds));
	for (size_t i = 0; i < G_N_ELEMENTS (speeds); i++) {
		const struct speeds_entry *entry = find_speed (&row, &speeds[i].duration.worker);
		assert_non_null (entry);
		assert_int_equal (entry->duration.relative, speeds[i].duration.relative);
		assert_true (entry->duration.weight == speeds[i].duration.weight);
		assert_true (entry->started_ms ==
			     (record == 1 ? DFF_START_UNREPORTED : speeds[i].started_ms));
	}
	speeds_row_clear (&row);
}

/* The rows of "holder-speeds-newer.jsonl" have keys and values that this build does not know. */
const struct compat_case compat_jobs[] = {
	{"plan.jsonl", false, false, 1, encode_plan, check_plan},
	{"progress.jsonl", false, false, N_PROGRESS, encode_progress, check_progress},
	{"holder-lease.jsonl", false, false, 2, encode_lease, check_lease},
	{"holder-speeds.jsonl", false, false, N_SPEEDS, encode_speeds, check_speeds},
	{"holder-speeds-newer.jsonl", false, true, N_SPEEDS, encode_speeds, check_speeds},
};
const size_t compat_n_jobs = G_N_ELEMENTS (compat_jobs);
