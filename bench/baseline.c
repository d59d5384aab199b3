#include "bench/baseline.h"

#include <string.h>

static struct dff_command *
emit (struct dff_baseline *baseline, enum dff_command_type type, const struct dff_baseline_job *job)
{
	struct dff_command command = {.type = type, .job = job->spec.id, .attempt = job->attempt};
	g_array_append_val (baseline->pending, command);
	return &g_array_index (baseline->pending, struct dff_command, baseline->pending->len - 1);
}

static void
emit_open_members (struct dff_baseline *baseline,
		   enum dff_command_type type,
		   const struct dff_baseline_job *job)
{
	for (int32_t i = 0; i < job->spec.gang; i++) {
		if (!job->members[i].open)
			continue;
		struct dff_command *command = emit (baseline, type, job);
		command->member = i;
		command->placement = g_array_index (job->placements, struct dff_placement, i);
		command->held = type == DFF_COMMAND_START_TASK && job->spec.gang > 1;
	}
}

static void
job_clear_attempt (struct dff_baseline_job *job)
{
	g_clear_pointer (&job->members, g_free);
	g_clear_pointer (&job->placements, g_array_unref);
}

static void
job_free (gpointer data)
{
	struct dff_baseline_job *job = data;
	job_clear_attempt (job);
	g_free (job);
}

void
dff_baseline_start (struct dff_baseline *baseline,
		    struct dff_baseline_job *job,
		    const int32_t *workers)
{
	int32_t gang = job->spec.gang;
	dff_baseline_dequeue (job);
	job->state = DFF_BASELINE_RECORDING;
	job->attempt++;
	job->broken = false;
	job->lost = false;
	job->n_open = gang;
	job->n_started = 0;
	job->members = g_new0 (struct dff_baseline_member, (gsize)gang);
	job->placements = g_array_new (FALSE, TRUE, sizeof (struct dff_placement));
	for (int32_t i = 0; i < gang; i++) {
		uint64_t mask =
			dff_cluster_lease (&baseline->cluster, workers[i], &job->spec.per_task);
		struct dff_placement placement = {
			.worker = g_array_index (baseline->cluster.workers,
						 struct dff_cluster_worker, workers[i])
					  .name,
			.accelerators = mask,
		};
		job->members[i] = (struct dff_baseline_member){workers[i], mask, true};
		g_array_append_val (job->placements, placement);
	}
	emit (baseline, DFF_COMMAND_RECORD_START, job)->placements = job->placements;
}

static void
job_end (struct dff_baseline *baseline,
	 struct dff_baseline_job *job,
	 enum dff_outcome outcome,
	 const char *reason)
{
	job->state = DFF_BASELINE_ENDING;
	struct dff_command *command = emit (baseline, DFF_COMMAND_RECORD_OUTCOME, job);
	command->outcome = outcome;
	command->reason = reason;
}

static void
job_stop (struct dff_baseline *baseline, struct dff_baseline_job *job)
{
	job->state = DFF_BASELINE_STOPPING;
	job->broken = true;
	emit_open_members (baseline, DFF_COMMAND_STOP_TASK, job);
}

static void
attempt_ended (struct dff_baseline *baseline, struct dff_baseline_job *job)
{
	if (!job->broken) {
		job_end (baseline, job, DFF_OUTCOME_COMPLETED, "completed");
		return;
	}
	if (job->cancelled) {
		job_end (baseline, job, DFF_OUTCOME_CANCELLED, "cancelled");
		return;
	}
	bool may_repeat = job->spec.idempotent && job->failures < job->spec.max_attempts;
	if (!may_repeat) {
		enum dff_outcome outcome = job->lost && !job->spec.idempotent ? DFF_OUTCOME_UNKNOWN
									      : DFF_OUTCOME_FAILED;
		job_end (baseline, job, outcome, "attempts_exhausted");
		return;
	}
	emit (baseline, DFF_COMMAND_RECORD_RETRY, job);
	job_clear_attempt (job);
	dff_baseline_enqueue (baseline, job);
}

static void
member_close (struct dff_baseline *baseline,
	      struct dff_baseline_job *job,
	      const struct dff_event *event)
{
	struct dff_baseline_member *member = &job->members[event->member];
	if (!member->open)
		return;
	member->open = false;
	job->n_open--;
	dff_cluster_release (&baseline->cluster, member->worker, &job->spec.per_task,
			     member->accelerators);
	baseline->dirty = true;
	bool first = !job->broken;
	job->broken |= event->type != DFF_EVENT_TASK_COMPLETED;
	job->lost |= event->type == DFF_EVENT_TASK_LOST;
	job->failures += first && event->type == DFF_EVENT_TASK_FAILED;
	if (job->n_open == 0)
		attempt_ended (baseline, job);
	else if (job->broken && job->state != DFF_BASELINE_STOPPING)
		job_stop (baseline, job);
}

static void
member_started (struct dff_baseline *baseline, struct dff_baseline_job *job, int64_t now_ms)
{
	job->n_started++;
	if (job->state != DFF_BASELINE_STARTING || job->n_started < job->spec.gang)
		return;
	job->state = DFF_BASELINE_RUNNING;
	job->expected_end_ms = now_ms + job->spec.declared_ms;
	if (job->spec.gang > 1)
		emit_open_members (baseline, DFF_COMMAND_RELEASE_TASK, job);
}

static void
attempt_recorded (struct dff_baseline *baseline, struct dff_baseline_job *job, int64_t now_ms)
{
	job->expected_end_ms = now_ms + job->spec.declared_ms;
	if (job->cancelled) {
		for (int32_t i = 0; i < job->spec.gang; i++)
			dff_cluster_release (&baseline->cluster, job->members[i].worker,
					     &job->spec.per_task, job->members[i].accelerators);
		job->n_open = 0;
		baseline->dirty = true;
		job_end (baseline, job, DFF_OUTCOME_CANCELLED, "cancelled");
		return;
	}
	job->state = DFF_BASELINE_STARTING;
	emit_open_members (baseline, DFF_COMMAND_START_TASK, job);
}

static void
job_submitted (struct dff_baseline *baseline, const struct dff_job_spec *spec)
{
	struct dff_baseline_job *job = g_new0 (struct dff_baseline_job, 1);
	job->spec = *spec;
	job->sequence = ++baseline->last_sequence;
	g_hash_table_insert (baseline->jobs, &job->spec.id, job);
	dff_baseline_enqueue (baseline, job);
}

static void
job_cancelled (struct dff_baseline *baseline, struct dff_baseline_job *job)
{
	job->cancelled = true;
	if (job->state == DFF_BASELINE_QUEUED) {
		dff_baseline_dequeue (job);
		baseline->dirty = true;
		job_end (baseline, job, DFF_OUTCOME_CANCELLED, "cancelled");
	} else if (job->state == DFF_BASELINE_STARTING || job->state == DFF_BASELINE_RUNNING) {
		job_stop (baseline, job);
	}
}

static void
job_event (struct dff_baseline *baseline,
	   struct dff_baseline_job *job,
	   const struct dff_event *event,
	   int64_t now_ms)
{
	switch (event->type) {
	case DFF_EVENT_JOB_CANCELLED:
		job_cancelled (baseline, job);
		return;
	case DFF_EVENT_ATTEMPT_RECORDED:
		attempt_recorded (baseline, job, now_ms);
		return;
	case DFF_EVENT_OUTCOME_RECORDED:
		g_hash_table_remove (baseline->jobs, &job->spec.id);
		return;
	case DFF_EVENT_TASK_STARTED:
		member_started (baseline, job, now_ms);
		return;
	case DFF_EVENT_TASK_CHECKPOINTED:
		return;
	default:
		member_close (baseline, job, event);
		return;
	}
}

static void
worker_state (struct dff_baseline *baseline, const struct dff_event *event)
{
	int32_t index = dff_cluster_find (&baseline->cluster, &event->worker);
	if (index < 0)
		return;
	g_array_index (baseline->cluster.workers, struct dff_cluster_worker, index).up =
		event->worker_state == DFF_WORKER_UP;
	baseline->dirty = true;
}

static void
baseline_handle_event (void *ctx, const struct dff_event *event, int64_t now_ms)
{
	struct dff_baseline *baseline = ctx;
	if (event->type == DFF_EVENT_WORKER_STATE) {
		worker_state (baseline, event);
		return;
	}
	if (event->type == DFF_EVENT_JOB_SUBMITTED) {
		job_submitted (baseline, event->spec);
		return;
	}
	struct dff_baseline_job *job = g_hash_table_lookup (baseline->jobs, &event->job);
	if (job != NULL)
		job_event (baseline, job, event, now_ms);
}

static void
baseline_tick (void *ctx, int64_t now_ms, GArray *commands)
{
	struct dff_baseline *baseline = ctx;
	if (baseline->dirty)
		baseline->schedule (baseline, now_ms);
	baseline->dirty = false;
	g_array_set_size (commands, 0);
	g_array_append_vals (commands, baseline->pending->data, baseline->pending->len);
	g_array_set_size (baseline->pending, 0);
}

static bool
baseline_admit (void *ctx, const struct dff_job_spec *spec)
{
	const struct dff_baseline *baseline = ctx;
	return dff_pool_find_team (baseline->pool, &spec->team) != NULL &&
	       dff_cluster_place_ever (&baseline->cluster, spec);
}

static int64_t
baseline_next_wake_ms (G_GNUC_UNUSED void *ctx)
{
	return INT64_MAX;
}

static void
baseline_free (void *ctx)
{
	struct dff_baseline *baseline = ctx;
	g_hash_table_unref (baseline->jobs);
	g_hash_table_unref (baseline->classes);
	g_ptr_array_unref (baseline->open_classes);
	g_array_unref (baseline->pending);
	dff_cluster_clear (&baseline->cluster);
	g_free (baseline);
}

void
dff_baseline_init (struct dff_policy *policy,
		   const struct dff_pool *pool,
		   void (*schedule) (struct dff_baseline *baseline, int64_t now_ms))
{
	struct dff_baseline *baseline = g_new0 (struct dff_baseline, 1);
	dff_cluster_init (&baseline->cluster, pool);
	baseline->pool = pool;
	baseline->schedule = schedule;
	baseline->jobs = g_hash_table_new_full (dff_name_hash, dff_name_equal_func, NULL, job_free);
	baseline->classes = g_hash_table_new_full (g_bytes_hash, g_bytes_equal,
						   (GDestroyNotify)g_bytes_unref, g_free);
	baseline->open_classes = g_ptr_array_new ();
	baseline->pending = g_array_new (FALSE, TRUE, sizeof (struct dff_command));
	*policy = (struct dff_policy){
		.admit = baseline_admit,
		.handle_event = baseline_handle_event,
		.tick = baseline_tick,
		.next_wake_ms = baseline_next_wake_ms,
		.free = baseline_free,
		.ctx = baseline,
	};
}
