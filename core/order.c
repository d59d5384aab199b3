#include "core/core_private.h"

#include <math.h>
#include <string.h>

/* Order of placement. Interchangeable jobs are queued in classes, of which only the head is tried.
 * Claims go by age, other jobs by urgency and score. */

/** Age at which the score of a running job is recomputed, ms. A search for a place compares
 * thousands of them, and computing the logarithms each time took three quarters of the time at the
 * design size. */
#define SCORE_AGE_MS 5000
/** Weight of a team's share of the pool in its scores. */
#define FAIRNESS 0.25

double
dff_core_score (const struct dff_core *core, const struct dff_core_job *job)
{
	double remaining_ms = (double)dff_core_remaining_ms (core, job);
	double width = MAX (dff_core_job_accelerators (job), 1);
	double waited_ms = (double)job->waited_ms;
	if (job->state == DFF_CORE_QUEUED)
		waited_ms += (double)(core->now_ms - job->queued_ms);
	double age = 1.0 + waited_ms / (core->policy.ageing_ms + (double)job->estimate_ms);
	/* The score of a job that has never run improves with its wait until it first runs. */
	if (!job->ever_ran && job->state == DFF_CORE_QUEUED)
		age += waited_ms / core->policy.first_turn_ms;
	return remaining_ms * pow (width, core->policy.width_power) / (age * age * job->weight);
}

double
dff_core_running_score (const struct dff_core *core, struct dff_core_job *job)
{
	if (job->score_ms + SCORE_AGE_MS > core->now_ms && job->score_ms >= job->started_ms)
		return job->score;
	job->score = dff_core_score (core, job);
	job->score_ms = core->now_ms;
	return job->score;
}

/* Mild form of dominant resource fairness: a team's share of the scarcest resource that it uses. */
static double
team_share (const struct dff_core *core, const struct dff_core_team *team)
{
	double accelerators = (double)team->used.accelerators / MAX (core->total.accelerators, 1);
	double slots = (double)team->used.slots / MAX (core->total.slots, 1);
	return MAX (accelerators, slots) / team->weight;
}

static int
compare_ranks (gconstpointer a, gconstpointer b)
{
	const struct dff_core_class *one = *(struct dff_core_class *const *)a;
	const struct dff_core_class *other = *(struct dff_core_class *const *)b;
	if (one->key.urgent != other->key.urgent)
		return one->key.urgent ? -1 : 1;
	if (one->assured != other->assured)
		return one->assured ? -1 : 1;
	if (one->score != other->score)
		return one->score < other->score ? -1 : 1;
	return dff_core_compare_age (one->jobs.head->data, other->jobs.head->data);
}

static GPtrArray *
ranked_classes (struct dff_core *core)
{
	GPtrArray *ranked = g_ptr_array_sized_new (g_hash_table_size (core->classes));
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, core->classes);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		struct dff_core_class *queue_class = value;
		const struct dff_core_team *team = dff_core_team_at (core, queue_class->key.team);
		queue_class->score = dff_core_score (core, queue_class->jobs.head->data) *
				     (1.0 + FAIRNESS * team_share (core, team));
		queue_class->assured = dff_core_job_is_assured (core, queue_class->jobs.head->data);
		g_ptr_array_add (ranked, queue_class);
	}
	g_ptr_array_sort (ranked, compare_ranks);
	return ranked;
}

static struct dff_core_class *
oldest_claim (struct dff_core *core)
{
	struct dff_core_class *oldest = NULL;
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, core->classes);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		struct dff_core_class *at = value;
		if (!at->key.guaranteed || at->unclaimable)
			continue;
		if (oldest == NULL ||
		    dff_core_compare_age (at->jobs.head->data, oldest->jobs.head->data) < 0)
			oldest = at;
	}
	return oldest;
}

/* In a class the covered jobs are the older ones: stop at the first job that cannot claim. */
static void
claim_class (struct dff_core *core, struct dff_core_class *queue_class)
{
	bool last = false;
	while (!last) {
		last = queue_class->jobs.length == 1;
		if (!dff_core_try_claim (core, queue_class->jobs.head->data))
			return;
	}
}

/* The shapes of a team go to its guaranteed jobs in order of submission. A later job that fits
 * better must not make an earlier one wait for its guarantee. */
static void
run_claims (struct dff_core *core)
{
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, core->classes);
	while (g_hash_table_iter_next (&iter, NULL, &value))
		((struct dff_core_class *)value)->unclaimable = false;
	struct dff_core_class *at;
	while ((at = oldest_claim (core)) != NULL) {
		at->unclaimable = true;
		claim_class (core, at);
	}
}

/* Hash of the properties, other than the team, that determine whether a job fits. */
static guint
shape_hash (const struct dff_core_class_key *key)
{
	struct dff_core_class_key shape = *key;
	shape.team = 0;
	shape.estimate_level = 0;
	shape.guaranteed = 0;
	return dff_core_class_key_hash (&shape);
}

/* Whether a job may use capacity, under low load, that a younger one like it may not yet. */
static bool
has_waited_for_low_load (const struct dff_core *core, const struct dff_core_job *job)
{
	return core->options.low_load_wait_ms > 0 &&
	       core->now_ms - job->submitted_ms >= core->options.low_load_wait_ms;
}

/* Starts the jobs of a class in order. Returns: whether all were started. */
static bool
drain_class (struct dff_core *core, struct dff_core_class *queue_class)
{
	/* Starting the last job frees the class: read its length first. */
	bool last = false;
	while (!last) {
		last = queue_class->jobs.length == 1;
		if (!dff_core_try_borrow (core, queue_class->jobs.head->data))
			return false;
	}
	return true;
}

/* Only gangs of about a whole rack get a reservation: smaller ones find a place without one. */
static bool
needs_rack_reservation (const struct dff_core *core, const struct dff_core_job *job)
{
	return job->gang > 1 && job->adjacency != DFF_ADJACENCY_NONE &&
	       dff_core_job_accelerators (job) >= core->largest_rack_shape / 2 &&
	       core->now_ms - job->submitted_ms > core->options.rack_reservation_delay_ms;
}

void
dff_core_run_queue (struct dff_core *core)
{
	bool review = core->now_ms >= core->review_ms && g_hash_table_size (core->classes) > 0;
	if (!core->dirty && !review && core->now_ms < core->evictions_due_ms)
		return;
	core->evictions_due_ms = INT64_MAX;
	/* With retry_without_limit the capacity that a job may use also depends on its wait: a job
	 * may fit although nothing came free. */
	core->capacity_freed = core->dirty || core->options.retry_without_limit;
	core->dirty = false;
	if (review) {
		int32_t budget = DFF_CORE_EVICTION_SCANS_MAX / (int32_t)(core->workers->len + 1);
		core->evictions_left = CLAMP (budget, 1, DFF_CORE_EVICTIONS_MAX);
		core->review_ms = core->now_ms + DFF_CORE_REVIEW_MS;
	}
	run_claims (core);
	g_autoptr (GPtrArray) ranked = ranked_classes (core);
	g_autoptr (GHashTable) full = g_hash_table_new (NULL, NULL);
	for (guint i = 0; i < ranked->len; i++) {
		struct dff_core_class *queue_class = g_ptr_array_index (ranked, i);
		struct dff_core_class_key key = queue_class->key;
		gpointer shape = GUINT_TO_POINTER (shape_hash (&key));
		if (g_hash_table_contains (full, shape) &&
		    !has_waited_for_low_load (core, queue_class->jobs.head->data))
			continue;
		if (!dff_core_within_quota (core, queue_class->jobs.head->data))
			continue;
		if (drain_class (core, queue_class))
			continue;
		g_hash_table_add (full, shape);
		struct dff_core_job *head = queue_class->jobs.head->data;
		if (needs_rack_reservation (core, head) && dff_core_reserve_racks (core, head))
			dff_core_try_borrow (core, head);
	}
}
