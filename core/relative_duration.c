#include "core/core_private.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Relative durations: how fast workers are compared to each other. Workers do not report their
 * speed. Tasks of one step (a peer group) take about equally long, so a task's duration relative to
 * the median of its peer group shows how fast its worker is. The total duration of a step does not,
 * because declared run times are far off. Estimates are in logarithms of time; a worker's relative
 * duration is assumed to be normally distributed around the mean of all workers. The variances
 * between workers and of tasks on one worker are learned from the same samples, so that no worker
 * counts as slow where all are alike, however uneven the tasks are. */

/** Variances of the logarithms, of tasks and of workers, before there are samples, and the least
 * variance. */
#define TASK_VARIANCE 0.07F
#define WORKER_VARIANCE 0.0004F
#define VARIANCE_MIN 0.0004F
/** Largest variance that is imported: the variance of samples that differ by a factor of e^10. */
#define VARIANCE_MAX 100.0F
/** Largest difference to the median that counts: some tasks take several times as long as others
 * whatever the worker. */
#define DIFFERENCE_MAX 0.8
/** Standard deviation of relative durations up to which workers count as equally fast. */
#define ALIKE_SPREAD 0.15
/** Number of samples that a peer group needs before its workers are compared. */
#define GROUP_MIN 3
/** Maximum number of samples in one peer group, and in all. */
#define GROUP_MAX 256
#define SAMPLES_MAX 8192
/** Age at which a sample has lost two thirds of its weight, ms: workers may become slow and
 * recover. */
#define DECAY_MS 30000
/** Interval of updates, ms, and number of passes in each: a pass uses the relative durations that
 * the one before computed. */
#define REVIEW_MS 500
#define PASSES 2
/** Least number of sampled workers, and of further samples on them, to learn the variances from. */
#define SAMPLED_MIN 12
/** Weight of the current variance between workers against the learned one. */
#define SPREAD_RATE 0.3F

/** Units of a worker's relative duration in a logarithm of 1, and its maximum as a logarithm. */
#define LOG_PARTS ((float)DFF_DURATION_LOG_PARTS)
#define LOG_MAX 30.0F

/** Duration of a task of a peer group. */
struct sample {
	int32_t worker;
	/** Logarithm of the projected duration of the whole task on the worker, ms. */
	float log_ms;
};

struct peer_group {
	int64_t last_ms;
	/** Elements: struct sample. */
	GArray *samples;
};

static void
free_peer_group (gpointer data)
{
	struct peer_group *group = data;
	g_array_unref (group->samples);
	g_free (group);
}

static float
log_duration_of (const struct dff_core_worker *worker)
{
	return (float)worker->relative_duration / LOG_PARTS;
}

static struct dff_core_duration_basis *
basis_at (const struct dff_core *core, int32_t worker)
{
	return &g_array_index (core->duration_bases, struct dff_core_duration_basis, worker);
}

/* Adds the entries of workers that are new. */
static void
extend_bases (struct dff_core *core)
{
	if (core->duration_bases->len < core->workers->len)
		g_array_set_size (core->duration_bases, core->workers->len);
}

static const struct sample *
sample_at (const struct peer_group *group, guint index)
{
	return &g_array_index (group->samples, struct sample, index);
}

static int
compare_floats (const void *a, const void *b)
{
	const float *one = a;
	const float *other = b;
	return (*one > *other) - (*one < *other);
}

/* Logarithm of the duration of the group's tasks on a worker of average speed. */
static float
group_median (const struct dff_core *core, const struct peer_group *group)
{
	float logs[GROUP_MAX];
	for (guint i = 0; i < group->samples->len; i++) {
		const struct sample *sample = sample_at (group, i);
		logs[i] = sample->log_ms -
			  log_duration_of (dff_core_worker_at (core, sample->worker));
	}
	qsort (logs, group->samples->len, sizeof (float), compare_floats);
	return logs[group->samples->len / 2];
}

/* Returns: the share of its weight that a sample of an age has left. */
static float
weight_left (int64_t age_ms)
{
	if (age_ms > DFF_DURATION_EXPIRY_MS)
		return 0.0F;
	return expf (-(float)MAX (age_ms, 0) / DECAY_MS);
}

/** Sums of a worker's samples: differences to the medians of their peer groups, weighted by age. */
struct sum {
	float count;
	float total;
	float squares;
};

static void
add_group (const struct dff_core *core, const struct peer_group *group, struct sum *sums)
{
	float median = group_median (core, group);
	float weight = weight_left (core->now_ms - group->last_ms);
	for (guint i = 0; i < group->samples->len; i++) {
		const struct sample *sample = sample_at (group, i);
		struct sum *sum = &sums[sample->worker];
		float difference = CLAMP (sample->log_ms - median, -DIFFERENCE_MAX, DIFFERENCE_MAX);
		sum->count += weight;
		sum->total += difference * weight;
		sum->squares += difference * difference * weight;
	}
}

/* Drops the peer group whose last sample is the oldest. */
static void
drop_oldest (struct dff_core *core)
{
	const struct peer_group *oldest = NULL;
	gint64 oldest_key = 0;
	GHashTableIter iter;
	gpointer key, value;
	g_hash_table_iter_init (&iter, core->peer_groups);
	while (g_hash_table_iter_next (&iter, &key, &value)) {
		const struct peer_group *group = value;
		if (oldest != NULL && group->last_ms >= oldest->last_ms)
			continue;
		oldest = group;
		oldest_key = *(gint64 *)key;
	}
	core->n_durations -= oldest != NULL ? oldest->samples->len : 0;
	g_hash_table_remove (core->peer_groups, &oldest_key);
}

static struct peer_group *
peer_group_for (struct dff_core *core, uint64_t key)
{
	gint64 id = (gint64)key;
	struct peer_group *group = g_hash_table_lookup (core->peer_groups, &id);
	if (group != NULL)
		return group;
	group = g_new0 (struct peer_group, 1);
	group->samples = g_array_new (FALSE, FALSE, sizeof (struct sample));
	g_hash_table_insert (core->peer_groups, g_memdup2 (&id, sizeof (id)), group);
	return group;
}

void
dff_core_handle_duration (struct dff_core *core, const struct dff_event *event)
{
	int32_t index = dff_core_find_worker (core, &event->worker);
	if (index == DFF_CORE_NONE || event->duration_ms <= 0)
		return;
	if (core->n_durations >= SAMPLES_MAX)
		drop_oldest (core);
	struct peer_group *group = peer_group_for (core, event->peer_group);
	if (group->samples->len >= GROUP_MAX)
		return;
	struct sample sample = {.worker = index, .log_ms = logf ((float)event->duration_ms)};
	g_array_append_val (group->samples, sample);
	core->n_durations++;
	group->last_ms = core->now_ms;
}

static void
remove_samples (struct dff_core *core, struct peer_group *group, int32_t worker)
{
	for (guint i = group->samples->len; i > 0; i--) {
		if (sample_at (group, i - 1)->worker != worker)
			continue;
		g_array_remove_index_fast (group->samples, i - 1);
		core->n_durations--;
	}
}

void
dff_core_reset_durations (struct dff_core *core, int32_t index)
{
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, core->peer_groups);
	while (g_hash_table_iter_next (&iter, NULL, &value))
		remove_samples (core, value, index);
	struct dff_core_worker *worker = dff_core_worker_at (core, index);
	worker->relative_duration = 0;
	if (index < (int32_t)core->duration_bases->len)
		*basis_at (core, index) = (struct dff_core_duration_basis){0};
}

static void
drop_expired (struct dff_core *core)
{
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, core->peer_groups);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		const struct peer_group *group = value;
		if (core->now_ms - group->last_ms <= DFF_DURATION_EXPIRY_MS)
			continue;
		core->n_durations -= group->samples->len;
		g_hash_table_iter_remove (&iter);
	}
}

static int16_t
to_relative (float log_duration)
{
	return (int16_t)lroundf (CLAMP (log_duration, -LOG_MAX, LOG_MAX) * LOG_PARTS);
}

/* Returns: the weight of the mean of all workers against a worker's own samples, in samples. */
static float
common_mean_weight (float task_variance, float worker_variance)
{
	return task_variance / worker_variance;
}

/* Adds the imported relative duration of a worker to the sum of its samples. */
static void
add_import (const struct dff_core *core,
	    const struct dff_core_duration_basis *basis,
	    struct sum *sum)
{
	float weight = basis->imported_weight * weight_left (core->now_ms - basis->imported_ms);
	sum->count += weight;
	sum->total += basis->imported_mean * weight;
}

static void
drop_expired_imports (struct dff_core *core)
{
	core->has_imports = false;
	for (guint i = 0; i < core->duration_bases->len; i++) {
		struct dff_core_duration_basis *basis = basis_at (core, (int32_t)i);
		if (core->now_ms - basis->imported_ms > DFF_DURATION_EXPIRY_MS)
			basis->imported_weight = 0.0F;
		core->has_imports |= basis->imported_weight > 0.0F;
	}
}

/* Computes the relative duration of all workers in one pass over the samples. */
static void
update_workers (struct dff_core *core, struct sum *sums)
{
	memset (sums, 0, sizeof (struct sum) * core->workers->len);
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, core->peer_groups);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		const struct peer_group *group = value;
		if (group->samples->len >= GROUP_MIN)
			add_group (core, group, sums);
	}
	float mean_weight = common_mean_weight (core->task_variance, core->worker_variance);
	for (guint i = 0; i < core->workers->len; i++) {
		struct dff_core_worker *worker = dff_core_worker_at (core, (int32_t)i);
		struct dff_core_duration_basis *basis = basis_at (core, (int32_t)i);
		struct sum sum = sums[i];
		if (basis->imported_weight > 0.0F)
			add_import (core, basis, &sum);
		worker->relative_duration = to_relative (sum.total / (sum.count + mean_weight));
		basis->weight = sum.count;
		basis->mean = sum.count > 0.0F ? sum.total / sum.count : 0.0F;
	}
}

/* Analysis of variance: how far the durations of tasks on one worker differ, and by how much more
 * those on different workers do. Imported relative durations do not take part: their variances were
 * imported with them. */
static void
update_variances (struct dff_core *core, const struct sum *sums)
{
	float within = 0.0F, n_within = 0.0F, between = 0.0F, n_between = 0.0F, n_sampled = 0.0F;
	for (guint i = 0; i < core->workers->len; i++) {
		const struct sum *sum = &sums[i];
		if (sum->count <= 0.0F)
			continue;
		float of_mean = sum->total * sum->total / sum->count;
		between += of_mean;
		n_between += sum->count;
		n_sampled += 1.0F;
		if (sum->count <= 1.0F)
			continue;
		within += sum->squares - of_mean;
		n_within += sum->count - 1.0F;
	}
	if (n_sampled < SAMPLED_MIN || n_within < SAMPLED_MIN)
		return;
	core->task_variance = MAX (within / n_within, VARIANCE_MIN);
	float spread = (between - n_sampled * core->task_variance) / n_between;
	core->worker_variance += SPREAD_RATE * (spread - core->worker_variance);
	core->worker_variance = MAX (core->worker_variance, VARIANCE_MIN);
	core->variances_known = true;
}

void
dff_core_run_durations (struct dff_core *core)
{
	bool is_empty = g_hash_table_size (core->peer_groups) == 0 && !core->has_imports;
	if (core->now_ms < core->duration_review_ms || is_empty)
		return;
	core->duration_review_ms = core->now_ms + REVIEW_MS;
	drop_expired (core);
	extend_bases (core);
	if (core->has_imports)
		drop_expired_imports (core);
	g_autoptr (GArray) table = g_array_new (FALSE, TRUE, sizeof (struct sum));
	g_array_set_size (table, core->workers->len);
	struct sum *sums = (struct sum *)(void *)table->data;
	for (int32_t i = 0; i < PASSES; i++)
		update_workers (core, sums);
	update_variances (core, sums);
	core->stats.duration_spread = sqrt (core->worker_variance);
}

static bool
are_alike (const struct dff_core *core)
{
	return core->worker_variance <= (float)(ALIKE_SPREAD * ALIKE_SPREAD);
}

/* Returns: the relative duration that follows from samples of a weight and mean. */
static int16_t
relative_from (float mean, float weight, const struct dff_duration_variances *variances)
{
	float mean_weight = common_mean_weight (variances->tasks, variances->workers);
	return to_relative (mean * weight / (weight + mean_weight));
}

/* The values are computed with the variances that they are exported with: a review learns the
 * variances after it has computed the workers' relative durations. */
bool
dff_core_export_durations (const struct dff_core *core,
			   GArray *durations,
			   struct dff_duration_variances *variances)
{
	g_array_set_size (durations, 0);
	*variances = (struct dff_duration_variances){.workers = core->worker_variance,
						     .tasks = core->task_variance};
	if (are_alike (core))
		return false;
	for (guint i = 0; i < core->duration_bases->len; i++) {
		const struct dff_core_worker *worker = dff_core_worker_at (core, (int32_t)i);
		const struct dff_core_duration_basis *basis = basis_at (core, (int32_t)i);
		if (worker->rack == DFF_CORE_NONE || basis->weight <= 0.0F)
			continue;
		struct dff_worker_duration duration = {
			.worker = worker->name,
			.relative = relative_from (basis->mean, basis->weight, variances),
			.weight = basis->weight};
		g_array_append_val (durations, duration);
	}
	return true;
}

static bool
is_variance (float variance)
{
	return isfinite (variance) && variance >= VARIANCE_MIN && variance <= VARIANCE_MAX;
}

/* Whether what was exported can have been computed by a core. */
static bool
is_plausible (const struct dff_worker_duration *duration,
	      const struct dff_duration_variances *variances)
{
	return is_variance (variances->workers) && is_variance (variances->tasks) &&
	       isfinite (duration->weight) && duration->weight > 0.0F &&
	       duration->weight <= SAMPLES_MAX &&
	       ABS ((float)duration->relative) <= LOG_MAX * LOG_PARTS;
}

/* Returns: the mean of the samples that a relative duration was computed from. */
static float
mean_of_samples (const struct dff_worker_duration *duration,
		 const struct dff_duration_variances *variances)
{
	float mean_weight = common_mean_weight (variances->tasks, variances->workers);
	float mean = (float)duration->relative / LOG_PARTS * (duration->weight + mean_weight) /
		     duration->weight;
	return CLAMP (mean, (float)-DIFFERENCE_MAX, (float)DIFFERENCE_MAX);
}

void
dff_core_age_duration (struct dff_worker_duration *duration,
		       const struct dff_duration_variances *variances,
		       int64_t age_ms)
{
	if (!is_plausible (duration, variances)) {
		duration->relative = 0;
		duration->weight = 0.0F;
		return;
	}
	float mean = mean_of_samples (duration, variances);
	duration->weight *= weight_left (age_ms);
	duration->relative = relative_from (mean, duration->weight, variances);
}

static void
import_variances (struct dff_core *core, const struct dff_duration_variances *variances)
{
	core->worker_variance = variances->workers;
	core->task_variance = variances->tasks;
	core->variances_known = true;
	core->stats.duration_spread = sqrt (core->worker_variance);
}

enum dff_duration_import
dff_core_import_duration (struct dff_core *core,
			  const struct dff_worker_duration *duration,
			  const struct dff_duration_variances *variances,
			  int64_t age_ms,
			  int64_t now_ms)
{
	int32_t index = dff_core_find_worker (core, &duration->worker);
	if (index == DFF_CORE_NONE)
		return DFF_DURATION_IMPORT_UNKNOWN;
	struct dff_worker_duration aged = *duration;
	dff_core_age_duration (&aged, variances, age_ms);
	if (aged.weight <= 0.0F)
		return DFF_DURATION_IMPORT_IGNORED;
	core->now_ms = now_ms;
	if (!core->variances_known)
		import_variances (core, variances);
	extend_bases (core);
	struct dff_core_duration_basis *basis = basis_at (core, index);
	basis->imported_mean = mean_of_samples (duration, variances);
	basis->imported_weight = duration->weight;
	basis->imported_ms = now_ms - MAX (age_ms, 0);
	core->has_imports = true;
	/* The next review adds the samples that the core has itself. */
	if (basis->weight > 0.0F)
		return DFF_DURATION_IMPORT_DONE;
	basis->weight = aged.weight;
	basis->mean = basis->imported_mean;
	dff_core_worker_at (core, index)->relative_duration = (int16_t)aged.relative;
	return DFF_DURATION_IMPORT_DONE;
}

/** Limits of relative duration for urgent work, in this order, in deviations from the mean. */
static const float duration_limits[] = {-0.5F, 0.0F, 0.5F, 1.0F};

bool
dff_core_exceeds_duration_limit (const struct dff_core *core,
				 const struct dff_core_worker *worker,
				 const struct dff_core_job *job)
{
	return job->duration_limit > 0 &&
	       log_duration_of (worker) >
		       duration_limits[job->duration_limit - 1] * sqrtf (core->worker_variance);
}

bool
dff_core_next_duration_limit (const struct dff_core *core, struct dff_core_job *job)
{
	if (are_alike (core) || job->duration_limit >= (int8_t)G_N_ELEMENTS (duration_limits))
		return false;
	job->duration_limit++;
	return true;
}

void
dff_core_durations_init (struct dff_core *core)
{
	core->peer_groups =
		g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, free_peer_group);
	core->duration_bases = g_array_new (FALSE, TRUE, sizeof (struct dff_core_duration_basis));
	core->task_variance = TASK_VARIANCE;
	core->worker_variance = WORKER_VARIANCE;
}
