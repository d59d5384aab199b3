#include "core/core_private.h"

/* Public interface of the core: construction, the pool, events in, commands out. */

#define DEFAULT_START_TIMEOUT_MS 15000
/* Urgent work has to start within 4.3 s; this leaves the rest for deciding, recording, stopping and
 * starting. */
#define DEFAULT_CHECKPOINT_GRACE_MS 2500
#define DEFAULT_MAX_RACK_RESERVATIONS 1
#define DEFAULT_STALL_RESTART_MAX_MS 60000
/** A task that is stopped resumes from its checkpoint, after the grace period and the restart. */
#define DEFAULT_CHECKPOINT_LOSS_MS 5000
/** A last resort: where jobs run for hours, reserving racks earlier costs more than it gains. */
#define DEFAULT_RACK_RESERVATION_DELAY_MS 28800000
#define DEFAULT_RACK_RESERVATION_GRACE_MS 600000
/** Accelerators of a whole piece where no team has a guarantee. */
#define DEFAULT_LARGEST_RACK_SHAPE 8

void
dff_core_options_init (struct dff_core_options *options)
{
	options->seed = 1;
	options->start_timeout_ms = DEFAULT_START_TIMEOUT_MS;
	options->checkpoint_grace_ms = DEFAULT_CHECKPOINT_GRACE_MS;
	options->retry_without_limit = false;
	options->blame_limit = 0;
	options->isolation_blame = 0;
	options->ageing_ms = 0.0;
	options->quarantine_ms = 0;
	options->early_failure_share = 0.0;
	options->locality_wait_ms = 0;
	options->rack_wait_ms = 0;
	options->urgent_rack_wait_ms = 0;
	options->low_load_wait_ms = 0;
	options->rack_reservation_delay_ms = DEFAULT_RACK_RESERVATION_DELAY_MS;
	options->rack_reservation_grace_ms = DEFAULT_RACK_RESERVATION_GRACE_MS;
	options->max_rack_reservations = DEFAULT_MAX_RACK_RESERVATIONS;
	options->checkpoint_loss_ms = DEFAULT_CHECKPOINT_LOSS_MS;
	options->stall_restart_max_ms = DEFAULT_STALL_RESTART_MAX_MS;
	options->headroom_decay_ms = 0;
	options->headroom_wait_ratio = 0.0;
	options->shape_order = false;
	options->shape_gang_order = false;
	options->evict_delay_ms = 0;
	options->shape_victims = false;
	options->first_checkpoint_ms = 0;
	options->evict_work_ratio = 0.0;
	options->evict_unlimited_after_ms = 0;
}

static GArray *
array_new (guint element_size, GDestroyNotify clear)
{
	GArray *array = g_array_new (FALSE, TRUE, element_size);
	if (clear != NULL)
		g_array_set_clear_func (array, clear);
	return array;
}

struct dff_core *
dff_core_new (const struct dff_core_options *options)
{
	struct dff_core *core = g_new0 (struct dff_core, 1);
	core->options = *options;
	core->workers = array_new (sizeof (struct dff_core_worker), dff_core_worker_clear);
	core->racks = array_new (sizeof (struct dff_core_rack), dff_core_rack_clear);
	core->teams = array_new (sizeof (struct dff_core_team), NULL);
	core->regions = array_new (sizeof (struct dff_core_region), NULL);
	core->labels = array_new (sizeof (struct dff_name), NULL);
	core->shapes = array_new (sizeof (struct dff_core_shape), dff_core_shape_clear);
	core->worker_index =
		g_hash_table_new_full (dff_name_hash, dff_name_equal_func, g_free, NULL);
	core->team_index = g_hash_table_new_full (dff_name_hash, dff_name_equal_func, g_free, NULL);
	core->jobs = g_hash_table_new (dff_name_hash, dff_name_equal_func);
	core->classes = dff_core_classes_new ();
	core->estimators = dff_core_estimators_new ();
	dff_core_durations_init (core);
	core->pending = array_new (sizeof (struct dff_command), NULL);
	core->largest_rack_shape = DEFAULT_LARGEST_RACK_SHAPE;
	core->evictions_due_ms = INT64_MAX;
	core->max_rack_reservations = options->max_rack_reservations;
	return core;
}

static void
free_job (G_GNUC_UNUSED gpointer key, gpointer value, G_GNUC_UNUSED gpointer user)
{
	dff_core_job_free (value);
}

void
dff_core_free (struct dff_core *core)
{
	g_hash_table_foreach (core->jobs, free_job, NULL);
	g_hash_table_unref (core->jobs);
	g_hash_table_unref (core->classes);
	g_hash_table_unref (core->estimators);
	g_hash_table_unref (core->peer_groups);
	g_hash_table_unref (core->worker_index);
	g_hash_table_unref (core->team_index);
	g_array_unref (core->workers);
	g_array_unref (core->racks);
	g_array_unref (core->teams);
	g_array_unref (core->regions);
	g_array_unref (core->labels);
	g_array_unref (core->shapes);
	g_array_unref (core->pending);
	g_free (core);
}

static void
set_traits (struct dff_core *core,
	    struct dff_core_worker *worker,
	    const struct dff_rack *declared,
	    guint index)
{
	worker->capacity = declared->per_worker;
	for (size_t i = 0; i < DFF_WORKER_LABELS_MAX; i++)
		worker->labels[i] = DFF_CORE_NONE;
	if (declared->traits == NULL)
		return;
	const struct dff_worker_traits *traits =
		&g_array_index (declared->traits, struct dff_worker_traits, index);
	worker->capacity = traits->capacity;
	for (size_t i = 0; i < DFF_WORKER_LABELS_MAX; i++)
		worker->labels[i] = dff_core_intern_label (core, &traits->labels[i]);
}

static void
add_rack (struct dff_core *core, const struct dff_rack *declared, int32_t dedicated_slots)
{
	int32_t index = (int32_t)core->racks->len;
	g_array_set_size (core->racks, core->racks->len + 1);
	struct dff_core_rack *rack = dff_core_rack_at (core, index);
	rack->name = declared->name;
	rack->label = dff_core_intern_label (core, &declared->name);
	rack->region = dff_core_intern_region (core, &declared->region);
	rack->workers = g_array_new (FALSE, FALSE, sizeof (int32_t));
	for (guint i = 0; i < declared->workers->len; i++) {
		int32_t worker_index = dff_core_intern_worker (
			core, &g_array_index (declared->workers, struct dff_name, i));
		struct dff_core_worker *worker = dff_core_worker_at (core, worker_index);
		worker->rack = index;
		set_traits (core, worker, declared, i);
		worker->capacity.slots -= dedicated_slots;
		dff_core_worker_update_overload (worker);
		dff_resources_add (&core->total, &worker->capacity, 1);
		g_array_append_val (rack->workers, worker_index);
	}
	dff_core_rack_summarise (core, index);
}

static void
set_racks (struct dff_core *core, const struct dff_pool *pool)
{
	/* Rack reservations end with the racks; their gangs request new ones. */
	for (guint i = 0; i < core->racks->len; i++) {
		if (dff_core_rack_at (core, (int32_t)i)->reserved_for != NULL)
			dff_core_release_racks (core,
						dff_core_rack_at (core, (int32_t)i)->reserved_for);
	}
	for (guint i = 0; i < core->workers->len; i++)
		dff_core_worker_at (core, (int32_t)i)->rack = DFF_CORE_NONE;
	g_array_set_size (core->racks, 0);
	core->n_rack_reservations = 0;
	core->total = (struct dff_resources){0};
	for (guint i = 0; i < pool->racks->len; i++) {
		const struct dff_rack *rack = &g_array_index (pool->racks, struct dff_rack, i);
		add_rack (core, rack, dff_pool_dedicated_slots (pool, rack));
	}
	dff_core_headroom_rank (core);
	core->shapes_review_ms = INT64_MIN;
}

static void
set_team (struct dff_core *core, const struct dff_team *declared)
{
	int32_t index = dff_core_find_team (core, &declared->name);
	if (index == DFF_CORE_NONE) {
		index = (int32_t)core->teams->len;
		g_array_set_size (core->teams, core->teams->len + 1);
		dff_core_team_at (core, index)->name = declared->name;
		g_hash_table_insert (core->team_index, dff_name_dup (&declared->name),
				     GINT_TO_POINTER (index));
	}
	struct dff_core_team *team = dff_core_team_at (core, index);
	team->declared = true;
	team->quota_accelerators = declared->quota_accelerators;
	team->max_queued = declared->max_queued;
	team->assured_accelerators = declared->assured_accelerators;
	team->weight = MAX (declared->weight, 1);
}

static const char *
rejection_reason (const struct dff_core *core, const struct dff_core_job *job)
{
	if (core->options.retry_without_limit)
		return NULL;
	if (job->team == DFF_CORE_NONE || !dff_core_team_at (core, job->team)->declared)
		return "unknown_team";
	int32_t workers[DFF_GANG_MAX];
	if (job->gang < 1 || job->gang > DFF_GANG_MAX)
		return "never_runnable";
	const struct dff_core_team *team = dff_core_team_at (core, job->team);
	int64_t asked = (int64_t)job->gang * job->per_task.accelerators;
	if (team->quota_accelerators > 0 && asked > team->quota_accelerators)
		return "never_runnable";
	return dff_core_place (core, job, DFF_CORE_VIEW_EMPTY, workers) ? NULL : "never_runnable";
}

static void
end_class_if_rejected (struct dff_core *core, struct dff_core_class *queue_class)
{
	const char *reason = rejection_reason (core, queue_class->jobs.head->data);
	if (reason == NULL)
		return;
	/* Ending the last job frees the class: read its length first. */
	bool last = false;
	while (!last) {
		last = queue_class->jobs.length == 1;
		dff_core_job_give_up (core, queue_class->jobs.head->data, reason);
	}
}

/* Ends queued jobs that the new pool makes impossible, which would wait for ever otherwise. Each
 * class is evaluated once for all its jobs, because a hundred thousand may be queued when a pool
 * file is applied. */
static void
end_rejected_jobs (struct dff_core *core)
{
	g_autoptr (GList) classes = g_hash_table_get_values (core->classes);
	for (GList *link = classes; link != NULL; link = link->next)
		end_class_if_rejected (core, link->data);
	GList *next = NULL;
	for (GList *link = core->delayed.head; link != NULL; link = next) {
		next = link->next;
		const char *reason = rejection_reason (core, link->data);
		if (reason != NULL)
			dff_core_job_give_up (core, link->data, reason);
	}
}

void
dff_core_set_pool (struct dff_core *core, const struct dff_pool *pool, int64_t now_ms)
{
	core->now_ms = now_ms;
	set_racks (core, pool);
	for (guint i = 0; i < core->teams->len; i++)
		dff_core_team_at (core, (int32_t)i)->declared = false;
	for (guint i = 0; i < pool->teams->len; i++)
		set_team (core, &g_array_index (pool->teams, struct dff_team, i));
	core->largest_rack_shape = dff_pool_largest_rack_shape (pool);
	core->policy = dff_core_policy_from (&pool->weights);
	if (core->options.ageing_ms > 0.0) {
		core->policy.ageing_ms = core->options.ageing_ms;
		core->policy.first_turn_ms = core->options.ageing_ms;
	}
	dff_core_set_shapes (core, pool);
	dff_core_rebind_all (core);
	dff_core_cover_all (core);
	core->dirty = true;
	end_rejected_jobs (core);
}

struct dff_admission
dff_core_admit (const struct dff_core *core, const struct dff_job_spec *spec)
{
	struct dff_core_job job = {
		.team = dff_core_find_team (core, &spec->team),
		.region = dff_core_find_region (core, &spec->region),
		.gang = spec->gang,
		.per_task = spec->per_task,
		.adjacency = spec->adjacency,
		.label = dff_core_find_label (core, &spec->label),
		.data_rack = DFF_CORE_NONE,
		.per_worker = spec->per_worker,
	};
	if (job.label == DFF_CORE_NONE && !dff_name_is_empty (&spec->label) &&
	    !core->options.retry_without_limit)
		return (struct dff_admission){.reason = "never_runnable"};
	if (!dff_name_is_empty (&spec->region) && job.region == DFF_CORE_NONE)
		return (struct dff_admission){.reason = "unknown_region"};
	const char *reason = rejection_reason (core, &job);
	if (reason != NULL)
		return (struct dff_admission){.reason = reason};
	const struct dff_core_team *team = dff_core_team_at (core, job.team);
	if (team->max_queued > 0 && team->n_jobs >= team->max_queued)
		return (struct dff_admission){.reason = "quota"};
	return (struct dff_admission){.admitted = true};
}

void
dff_core_job_queue_or_reject (struct dff_core *core,
			      struct dff_core_job *job,
			      const struct dff_job_spec *spec)
{
	const char *reason = rejection_reason (core, job);
	if (!dff_name_is_empty (&spec->region) && job->region == DFF_CORE_NONE)
		reason = "unknown_region";
	if (dff_core_job_exceeds_blame_limit (core, job))
		dff_core_job_end_blamed (core, job);
	else if (reason != NULL)
		dff_core_job_give_up (core, job, reason);
	else
		dff_core_enqueue (core, job);
}

static void
handle_known_job_event (struct dff_core *core, const struct dff_event *event)
{
	struct dff_core_job *job = dff_core_find_job (core, &event->job);
	if (job == NULL)
		return;
	if (event->type == DFF_EVENT_JOB_CANCELLED)
		dff_core_job_cancel (core, job);
	else
		dff_core_job_set_blame (core, job, event->blame);
}

static void
handle_job_event (struct dff_core *core, const struct dff_event *event)
{
	if (dff_core_find_job (core, &event->spec->id) != NULL)
		return;
	if (event->type == DFF_EVENT_JOB_RECOVERED) {
		dff_core_job_recover (core, event->spec, event->recovered);
		return;
	}
	dff_core_job_queue_or_reject (core, dff_core_job_add (core, event->spec), event->spec);
}

static void
handle_worker_event (struct dff_core *core, const struct dff_event *event)
{
	int32_t index = dff_core_find_worker (core, &event->worker);
	if (index == DFF_CORE_NONE)
		return;
	dff_core_worker_set_state (core, index, event->worker_state);
	struct dff_core_worker *worker = dff_core_worker_at (core, index);
	worker->leaves_ms = event->leaves_in_ms > 0 ? core->now_ms + event->leaves_in_ms : 0;
	dff_core_review_leaving_worker (core, index);
}

static void
handle_worker_stalled (struct dff_core *core, const struct dff_event *event)
{
	int32_t index = dff_core_find_worker (core, &event->worker);
	if (index == DFF_CORE_NONE)
		return;
	dff_core_worker_try_quarantine (core, index);
	g_autoptr (GPtrArray) occupants =
		g_ptr_array_copy (dff_core_worker_at (core, index)->occupants, NULL, NULL);
	for (guint i = 0; i < occupants->len; i++) {
		struct dff_core_job *occupant = g_ptr_array_index (occupants, i);
		if (occupant->hold == DFF_CORE_HOLD_SOFT && occupant->state == DFF_CORE_RUNNING &&
		    (occupant->checkpoint ||
		     core->now_ms - occupant->started_ms <= core->options.stall_restart_max_ms))
			dff_core_job_preempt (core, occupant, DFF_CORE_PREEMPT_WORKER_STALLED);
	}
}

static void
handle_attempt_event (struct dff_core *core, const struct dff_event *event)
{
	struct dff_core_job *job = dff_core_find_job (core, &event->job);
	if (job == NULL || job->attempt != event->attempt)
		return;
	switch (event->type) {
	case DFF_EVENT_ATTEMPT_RECORDED:
		dff_core_attempt_recorded (core, job);
		return;
	case DFF_EVENT_ATTEMPT_REFUSED:
		dff_core_attempt_refused (core, job);
		return;
	case DFF_EVENT_OUTCOME_RECORDED:
		if (job->state == DFF_CORE_ENDING)
			dff_core_job_remove (core, job);
		return;
	default:
		if (job->members != NULL && event->member >= 0 && event->member < job->gang)
			dff_core_handle_member_event (core, job, event);
		return;
	}
}

void
dff_core_handle_event (struct dff_core *core, const struct dff_event *event, int64_t now_ms)
{
	core->now_ms = now_ms;
	switch (event->type) {
	case DFF_EVENT_JOB_SUBMITTED:
	case DFF_EVENT_JOB_RECOVERED:
		handle_job_event (core, event);
		return;
	case DFF_EVENT_JOB_CANCELLED:
	case DFF_EVENT_JOB_BLAMED:
		handle_known_job_event (core, event);
		return;
	case DFF_EVENT_WORKER_STATE:
		handle_worker_event (core, event);
		return;
	case DFF_EVENT_WORKER_RESTARTED:
		dff_core_worker_handle_restart (core, &event->worker);
		return;
	case DFF_EVENT_TASK_DURATION:
		dff_core_handle_duration (core, event);
		return;
	case DFF_EVENT_WORKER_STALLED:
		handle_worker_stalled (core, event);
		return;
	default:
		handle_attempt_event (core, event);
		return;
	}
}

void
dff_core_tick (struct dff_core *core, int64_t now_ms, GArray *commands)
{
	core->now_ms = now_ms;
	dff_core_run_deadlines (core);
	dff_core_run_quarantine (core);
	dff_core_run_durations (core);
	dff_core_run_delayed (core);
	dff_core_run_witnesses (core);
	dff_core_run_reserved (core);
	dff_core_run_rack_reservations (core);
	dff_core_run_headroom (core);
	dff_core_run_shapes (core);
	dff_core_run_queue (core);
	dff_core_run_defrag (core);
	g_array_set_size (commands, 0);
	if (core->pending->len > 0)
		g_array_append_vals (commands, core->pending->data, core->pending->len);
	g_array_set_size (core->pending, 0);
}

static int64_t
head_deadline (const GQueue *queue)
{
	if (queue->head == NULL)
		return INT64_MAX;
	return ((const struct dff_core_job *)queue->head->data)->deadline_ms;
}

int64_t
dff_core_next_wake_ms (const struct dff_core *core)
{
	if (core->dirty || core->witness_dirty || core->pending->len > 0)
		return core->now_ms;
	int64_t wake_ms = head_deadline (&core->starting);
	wake_ms = MIN (wake_ms, head_deadline (&core->reserved));
	wake_ms = MIN (wake_ms, head_deadline (&core->checkpointing));
	wake_ms = MIN (wake_ms, head_deadline (&core->stopping));
	wake_ms = MIN (wake_ms, dff_core_quarantine_wake_ms (core));
	wake_ms = MIN (wake_ms, dff_core_defrag_wake_ms (core));
	if (g_hash_table_size (core->classes) > 0)
		wake_ms = MIN (wake_ms, MIN (core->review_ms, core->evictions_due_ms));
	for (const GList *link = core->delayed.head; link != NULL; link = link->next)
		wake_ms = MIN (wake_ms, ((const struct dff_core_job *)link->data)->deadline_ms);
	return wake_ms;
}
