#include "bench/load/load.h"

#include <inttypes.h>
#include <string.h>

#include "bench/load/jobs.h"
#include "holder/policy.h"

/** Step of the clock, ms. */
#define STEP_MS 5
/** Time from a decision to its record, and from a start to the worker's confirmation, ms. */
#define RECORD_MS 10
#define START_MS 5
/** Time from a stop until the worker reports the end, and time after a member's end until the ends
 * of the other members of its gang are reported, ms. */
#define STOP_MS 300
#define BREAK_MS 180
/** Slowdown of a gang that needs one rack and is placed on several. */
#define CROSS_RACK_FACTOR 3
/** Time to restore a checkpoint before a run resumes, ms. */
#define RESTORE_MS 600
/** Time between two reports of a run's progress, ms. */
#define REPORT_MS 1000
/** A job that starts within this time counts as started at once, ms. */
#define AT_ONCE_MS 100

/** A unit of a job in the core: a gang, or one task. */
struct unit {
	struct dff_name name;
	const struct load_job *job;
	struct entry *entry;
	int32_t attempt;
	int32_t width;
	int32_t n_runs;
	int64_t begun_ms;
	/** Work saved by checkpoints, ms of run time. */
	int64_t saved_ms;
	int32_t n_started;
	/** Run time of the attempt on its workers over the job's run time. */
	double slowdown;
	bool across_racks;
	bool running;
	bool stopping;
};

/** A job that has arrived. */
struct entry {
	const struct load_job *job;
	int32_t n_open;
	int64_t first_start_ms;
	/** Run time of failed runs. */
	int64_t failed_ms;
};

/** A future event from a worker or the store. */
struct message {
	int64_t at_ms;
	enum dff_event_type type;
	struct unit *unit;
	int32_t attempt;
	int32_t member;
};

struct play {
	const struct dff_load *load;
	struct dff_core *core;
	struct dff_load_figures *figures;
	/** Elements: struct entry, one per job. */
	GArray *entries;
	/** struct dff_name * (in the unit) to struct unit. */
	GHashTable *units;
	/** Elements: struct message *, the next first. */
	GSequence *messages;
	int64_t now_ms;
};

static const struct dff_load_class *
class_of (const struct play *play, const struct load_job *job)
{
	return &play->load->classes[job->class_index];
}

static struct dff_load_outcome *
outcome_of (struct play *play, const struct load_job *job)
{
	return &play->figures->classes[job->class_index];
}

static double
core_s (const struct play *play, const struct unit *unit, int64_t ms)
{
	const struct dff_load *load = play->load;
	double accelerator = (double)load->cores / load->accelerators;
	double cores = unit->job->accelerators * accelerator + class_of (play, unit->job)->cores;
	return cores * unit->width * (double)ms / 1000.0;
}

static int
compare_messages (gconstpointer a, gconstpointer b, G_GNUC_UNUSED gpointer user)
{
	const struct message *one = a;
	const struct message *other = b;
	return one->at_ms < other->at_ms ? -1 : one->at_ms > other->at_ms;
}

static void
send (struct play *play, struct unit *unit, enum dff_event_type type, int32_t member, int64_t in_ms)
{
	struct message *message = g_new0 (struct message, 1);
	message->at_ms = play->now_ms + in_ms;
	message->type = type;
	message->unit = unit;
	message->attempt = unit->attempt;
	message->member = member;
	g_sequence_insert_sorted (play->messages, message, compare_messages, NULL);
}

static void
report_event (struct play *play, const struct message *message, int32_t percent)
{
	struct dff_event event = {.type = message->type,
				  .job = message->unit->name,
				  .attempt = message->attempt,
				  .member = message->member,
				  .percent = percent,
				  .ran = true};
	dff_core_handle_event (play->core, &event, play->now_ms);
}

/* Returns: run time of the current attempt, from start to end. */
static int64_t
attempt_ms (const struct unit *unit)
{
	int64_t left_ms = unit->job->run_ms - unit->saved_ms;
	if (unit->saved_ms > 0)
		left_ms += RESTORE_MS;
	return (int64_t)((double)left_ms * unit->slowdown) *
	       (unit->across_racks ? CROSS_RACK_FACTOR : 1);
}

static void
begin_run (struct play *play, struct unit *unit)
{
	unit->running = true;
	unit->begun_ms = play->now_ms;
	if (unit->entry->first_start_ms < 0) {
		unit->entry->first_start_ms = play->now_ms;
		outcome_of (play, unit->job)->n_at_once +=
			play->now_ms - unit->job->arrives_ms <= AT_ONCE_MS;
	}
	int64_t run_ms = attempt_ms (unit);
	if (unit->n_runs <= unit->job->failing_runs) {
		send (play, unit, DFF_EVENT_TASK_FAILED, 0,
		      (int64_t)((double)run_ms * unit->job->fails_after));
		return;
	}
	send (play, unit, DFF_EVENT_GANG_COMPLETED, 0, run_ms);
	send (play, unit, DFF_EVENT_TASK_PROGRESS, 0, REPORT_MS);
}

static void
end_run (struct unit *unit)
{
	unit->running = false;
	unit->stopping = false;
	unit->n_started = 0;
}

static void
handle_started (struct play *play, const struct message *message)
{
	report_event (play, message, 0);
	if (++message->unit->n_started == message->unit->width && !message->unit->stopping)
		begin_run (play, message->unit);
}

static void
handle_failed (struct play *play, const struct message *message)
{
	struct unit *unit = message->unit;
	if (!unit->running || unit->stopping)
		return;
	unit->entry->failed_ms += play->now_ms - unit->begun_ms;
	report_event (play, message, 0);
}

static void
handle_completed (struct play *play, const struct message *message)
{
	struct unit *unit = message->unit;
	if (!unit->running || unit->stopping)
		return;
	play->figures->done_core_s += core_s (play, unit, play->now_ms - unit->begun_ms);
	report_event (play, message, 0);
}

static void
handle_progress (struct play *play, const struct message *message)
{
	const struct unit *unit = message->unit;
	if (!unit->running || unit->stopping)
		return;
	int64_t ran_ms = play->now_ms - unit->begun_ms;
	report_event (play, message, (int32_t)(ran_ms * 100 / MAX (attempt_ms (unit), 1)));
	send (play, message->unit, DFF_EVENT_TASK_PROGRESS, 0, REPORT_MS);
}

static void
handle_message (struct play *play, const struct message *message)
{
	if (message->attempt != message->unit->attempt)
		return;
	switch (message->type) {
	case DFF_EVENT_TASK_STARTED:
		handle_started (play, message);
		return;
	case DFF_EVENT_TASK_FAILED:
		handle_failed (play, message);
		return;
	case DFF_EVENT_GANG_COMPLETED:
		handle_completed (play, message);
		return;
	case DFF_EVENT_TASK_PROGRESS:
		handle_progress (play, message);
		return;
	default:
		report_event (play, message, 0);
		return;
	}
}

static int
worker_index (const struct dff_placement *placement)
{
	return (int)g_ascii_strtoll (placement->worker.data + 1, NULL, 10);
}

static bool
is_across_racks (const struct unit *unit, const GArray *placements, int32_t per_rack)
{
	int first = 0;
	if (!unit->job->one_rack)
		return false;
	for (guint i = 0; i < placements->len; i++) {
		const struct dff_placement *at =
			&g_array_index (placements, struct dff_placement, i);
		int rack = worker_index (at) / per_rack;
		if (i > 0 && rack != first)
			return true;
		first = rack;
	}
	return false;
}

/* Returns: the slowdown of the slowest member, which determines the gang's run time. The speed of a
 * worker and the work of a task are the same in every attempt. */
static double
slowest_member (const struct play *play, const struct unit *unit, const GArray *placements)
{
	double longest = 0.0;
	double uneven = class_of (play, unit->job)->uneven;
	for (guint i = 0; i < placements->len; i++) {
		int worker = worker_index (&g_array_index (placements, struct dff_placement, i));
		double speed = 1.0 + play->load->speed_spread * (worker * 7 % 3 - 1);
		guint hash = dff_name_hash (&unit->name) * 31 + i * 2654435761U;
		double work = 1.0 + uneven * ((double)(hash % 1000) / 500.0 - 1.0);
		longest = MAX (longest, work / speed);
	}
	return longest;
}

/* A stopped run first writes a checkpoint if its job has them; otherwise its work is lost. */
static void
stop_run (struct play *play, struct unit *unit, const char *reason)
{
	if (unit->stopping)
		return;
	unit->stopping = true;
	if (!unit->running || strcmp (reason, "member_ended") == 0)
		return;
	int64_t ran_ms = play->now_ms - unit->begun_ms;
	outcome_of (play, unit->job)->n_stopped++;
	int64_t done_ms = (int64_t)((double)ran_ms / unit->slowdown) /
			  (unit->across_racks ? CROSS_RACK_FACTOR : 1);
	if (unit->job->checkpoint)
		unit->saved_ms += done_ms;
	else
		play->figures->wasted_core_s += core_s (play, unit, ran_ms);
}

static void
end_unit (struct play *play, struct unit *unit, const struct dff_command *command)
{
	struct entry *entry = unit->entry;
	const struct load_job *job = unit->job;
	const struct dff_load_class *class = class_of (play, job);
	struct dff_event event = {
		.type = DFF_EVENT_OUTCOME_RECORDED, .job = unit->name, .attempt = command->attempt};
	dff_core_handle_event (play->core, &event, play->now_ms);
	if (--entry->n_open > 0)
		return;
	double objective_ms = class->stretch * (double)(job->run_ms + entry->failed_ms) +
			      (double)class->target_ms;
	bool in_time = (double)(play->now_ms - job->arrives_ms) <= objective_ms;
	outcome_of (play, job)->n_in_time += in_time;
	outcome_of (play, job)->n_late += !in_time;
	outcome_of (play, job)->n_open--;
}

static void
carry_out (struct play *play, const struct dff_command *command)
{
	struct unit *unit = g_hash_table_lookup (play->units, &command->job);
	switch (command->type) {
	case DFF_COMMAND_RECORD_START:
		unit->attempt = command->attempt;
		unit->n_runs++;
		unit->across_racks =
			is_across_racks (unit, command->placements, play->load->per_rack);
		unit->slowdown = slowest_member (play, unit, command->placements);
		end_run (unit);
		send (play, unit, DFF_EVENT_ATTEMPT_RECORDED, 0, RECORD_MS);
		return;
	case DFF_COMMAND_START_TASK:
		send (play, unit, DFF_EVENT_TASK_STARTED, command->member, START_MS);
		return;
	case DFF_COMMAND_CHECKPOINT_TASK:
		send (play, unit, DFF_EVENT_TASK_CHECKPOINTED, command->member, 0);
		return;
	case DFF_COMMAND_STOP_TASK:
		stop_run (play, unit, command->reason);
		send (play, unit, DFF_EVENT_TASK_STOPPED, command->member,
		      strcmp (command->reason, "member_ended") == 0 ? BREAK_MS : STOP_MS);
		return;
	case DFF_COMMAND_RECORD_OUTCOME:
		end_unit (play, unit, command);
		return;
	case DFF_COMMAND_RELEASE_TASK:
	case DFF_COMMAND_RECORD_RETRY:
		return;
	}
}

static void
submit_unit (struct play *play, struct entry *entry, int32_t index)
{
	const struct load_job *job = entry->job;
	const struct dff_load_class *class = class_of (play, job);
	struct unit *unit = g_new0 (struct unit, 1);
	int32_t n_units = class->gang ? 1 : job->width;
	unit->name = dff_name_printf ("%s.%" PRId64 ".%zu.%d", class->name, job->arrives_ms,
				      job->class_index, index);
	unit->job = job;
	unit->entry = entry;
	unit->width = class->gang ? job->width : 1;
	g_hash_table_insert (play->units, &unit->name, unit);
	const struct dff_objective objective = {.stretch = class->stretch,
						.target_ms = class->target_ms,
						.chain_ms = job->declared_ms,
						.tail_ms = job->declared_ms};
	struct dff_job_spec spec = {
		.id = unit->name,
		.team = dff_name_from ("team"),
		.service = dff_name_from (class->name),
		.region = dff_name_from ("region"),
		.gang = unit->width,
		.per_task = {.slots = 1,
			     .cores = class->cores,
			     .memory_gb = 1,
			     .accelerators = job->accelerators},
		.adjacency = job->one_rack ? DFF_ADJACENCY_NEIGHBOURS : DFF_ADJACENCY_NONE,
		.urgent = class->priority == 0,
		.priority = class->priority,
		.checkpoint = job->checkpoint,
		.idempotent = true,
		.declared_ms = job->declared_ms,
		.max_attempts = class->max_attempts,
		.weight = dff_policy_weight (class->priority, n_units),
		.objective = &objective,
	};
	struct dff_event event = {.type = DFF_EVENT_JOB_SUBMITTED, .spec = &spec};
	dff_core_handle_event (play->core, &event, play->now_ms);
}

static void
submit_job (struct play *play, struct entry *entry)
{
	int32_t n_units = class_of (play, entry->job)->gang ? 1 : entry->job->width;
	entry->n_open = n_units;
	entry->first_start_ms = -1;
	outcome_of (play, entry->job)->n_jobs++;
	outcome_of (play, entry->job)->n_open++;
	for (int32_t i = 0; i < n_units; i++)
		submit_unit (play, entry, i);
}

static void
set_pool (struct play *play)
{
	const struct dff_load *load = play->load;
	DFF_AUTO (dff_pool) pool = dff_pool_new ();
	pool->weights = (struct dff_weights){.completion = 1.0};
	struct dff_team team = {
		.name = dff_name_from ("team"),
		.token_digests = g_array_new (FALSE, TRUE, 1),
		.guarantees = g_array_new (FALSE, TRUE, sizeof (struct dff_guarantee)),
		.weight = 1,
	};
	g_array_append_val (pool->teams, team);
	for (int32_t i = 0; i < load->n_racks; i++) {
		struct dff_rack rack = {
			.name = dff_name_printf ("r%d", i),
			.region = dff_name_from ("region"),
			.per_worker = {.slots = 1024,
				       .cores = load->cores,
				       .memory_gb = 1024,
				       .accelerators = load->accelerators},
			.workers = g_array_new (FALSE, TRUE, sizeof (struct dff_name)),
		};
		for (int32_t j = 0; j < load->per_rack; j++) {
			struct dff_name name = dff_name_printf ("w%d", i * load->per_rack + j);
			g_array_append_val (rack.workers, name);
		}
		g_array_append_val (pool->racks, rack);
	}
	dff_core_set_pool (play->core, pool, 0);
	for (int32_t i = 0; i < load->n_racks * load->per_rack; i++) {
		struct dff_event event = {.type = DFF_EVENT_WORKER_STATE,
					  .worker = dff_name_printf ("w%d", i),
					  .worker_state = DFF_WORKER_UP};
		dff_core_handle_event (play->core, &event, 0);
	}
}

static void
handle_messages (struct play *play)
{
	while (!g_sequence_is_empty (play->messages)) {
		GSequenceIter *first = g_sequence_get_begin_iter (play->messages);
		struct message message = *(struct message *)g_sequence_get (first);
		if (message.at_ms > play->now_ms)
			return;
		g_sequence_remove (first);
		handle_message (play, &message);
	}
}

static void
step (struct play *play, GArray *commands)
{
	handle_messages (play);
	dff_core_tick (play->core, play->now_ms, commands);
	g_autoptr (GArray) now = g_array_copy (commands);
	for (guint i = 0; i < now->len; i++)
		carry_out (play, &g_array_index (now, struct dff_command, i));
}

void
dff_load_play (const struct dff_load *load,
	       const struct dff_core_options *options,
	       struct dff_load_figures *figures)
{
	g_assert (load->n_classes <= DFF_LOAD_CLASSES_MAX);
	memset (figures, 0, sizeof (*figures));
	g_autoptr (GArray) jobs = load_jobs_new (load);
	g_autoptr (GArray) commands = g_array_new (FALSE, TRUE, sizeof (struct dff_command));
	struct play play = {
		.load = load,
		.core = dff_core_new (options),
		.figures = figures,
		.entries = g_array_new (FALSE, TRUE, sizeof (struct entry)),
		.units = g_hash_table_new_full (dff_name_hash, dff_name_equal_func, NULL, g_free),
		.messages = g_sequence_new (g_free),
	};
	g_array_set_size (play.entries, jobs->len);
	set_pool (&play);
	guint next = 0;
	for (; play.now_ms < load->length_ms + load->drain_ms; play.now_ms += STEP_MS) {
		while (next < jobs->len &&
		       g_array_index (jobs, struct load_job, next).arrives_ms <= play.now_ms) {
			struct entry *entry = &g_array_index (play.entries, struct entry, next);
			entry->job = &g_array_index (jobs, struct load_job, next++);
			submit_job (&play, entry);
		}
		step (&play, commands);
	}
	dff_core_free (play.core);
	g_sequence_free (play.messages);
	g_hash_table_unref (play.units);
	g_array_unref (play.entries);
}

double
dff_load_in_time (const struct dff_load_figures *figures, size_t class_index)
{
	const struct dff_load_outcome *outcome = &figures->classes[class_index];
	return outcome->n_jobs > 0 ? (double)outcome->n_in_time / outcome->n_jobs : 1.0;
}
