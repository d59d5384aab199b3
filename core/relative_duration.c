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
 * variance. Their quotient weighs a worker's samples against the mean. */
#define TASK_VARIANCE 0.07F
#define WORKER_VARIANCE 0.0004F
#define VARIANCE_MIN 0.0004F
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
/** Age at which a sample has lost two thirds of its weight, and age at which it is dropped, ms.
 * Workers may become slow and recover. */
#define DECAY_MS 30000
#define EXPIRY_MS 120000
/** Interval of updates, ms, and number of passes in each: a pass uses the relative durations that
 * the one before computed. */
#define REVIEW_MS 500
#define PASSES 2
/** Least number of sampled workers, and of further samples on them, to learn the variances from. */
#define SAMPLED_MIN 12
/** Weight of the current variance between workers against the learned one. */
#define SPREAD_RATE 0.3F

/** Units of a worker's relative duration in a logarithm of 1, and its maximum as a logarithm. */
#define LOG_PARTS 1000.0F
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
	float weight = expf (-(float)(core->now_ms - group->last_ms) / DECAY_MS);
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

float
dff_core_relative_log (const struct dff_core *core, int32_t worker)
{
	return log_duration_of (dff_core_worker_at (core, worker));
}

void
dff_core_peer_logs (const struct dff_core *core, uint64_t peer_group, GArray *logs)
{
	gint64 id = (gint64)peer_group;
	const struct peer_group *group = g_hash_table_lookup (core->peer_groups, &id);
	for (guint i = 0; group != NULL && i < group->samples->len; i++) {
		const struct sample *sample = sample_at (group, i);
		float log_ms = sample->log_ms - dff_core_relative_log (core, sample->worker);
		g_array_append_val (logs, log_ms);
	}
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
}

static void
drop_expired (struct dff_core *core)
{
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, core->peer_groups);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		const struct peer_group *group = value;
		if (core->now_ms - group->last_ms <= EXPIRY_MS)
			continue;
		core->n_durations -= group->samples->len;
		g_hash_table_iter_remove (&iter);
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
	float prior_weight = core->task_variance / core->worker_variance;
	for (guint i = 0; i < core->workers->len; i++) {
		float relative = sums[i].total / (sums[i].count + prior_weight);
		dff_core_worker_at (core, (int32_t)i)->relative_duration =
			(int16_t)lroundf (CLAMP (relative, -LOG_MAX, LOG_MAX) * LOG_PARTS);
	}
}

/* Analysis of variance: how far the durations of tasks on one worker differ, and by how much more
 * those on different workers do. */
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
}

void
dff_core_run_durations (struct dff_core *core)
{
	if (core->now_ms < core->duration_review_ms || g_hash_table_size (core->peer_groups) == 0)
		return;
	core->duration_review_ms = core->now_ms + REVIEW_MS;
	drop_expired (core);
	g_autoptr (GArray) table = g_array_new (FALSE, TRUE, sizeof (struct sum));
	g_array_set_size (table, core->workers->len);
	struct sum *sums = (struct sum *)(void *)table->data;
	for (int32_t i = 0; i < PASSES; i++)
		update_workers (core, sums);
	update_variances (core, sums);
	core->stats.duration_spread = sqrt (core->worker_variance);
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
	if (core->worker_variance <= (float)(ALIKE_SPREAD * ALIKE_SPREAD) ||
	    job->duration_limit >= (int8_t)G_N_ELEMENTS (duration_limits))
		return false;
	job->duration_limit++;
	return true;
}

void
dff_core_durations_init (struct dff_core *core)
{
	core->peer_groups =
		g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, free_peer_group);
	core->task_variance = TASK_VARIANCE;
	core->worker_variance = WORKER_VARIANCE;
}
