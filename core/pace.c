#include "core/core_private.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Workers of unlike speed. No worker tells how fast it is. Tasks of one step are alike but for some
 * spread, so that what they take on different workers, set against the step's median, tells the
 * workers apart; what a step takes in all tells nothing, as run times are declared far off. Beliefs
 * are in logarithms of time: a worker's is normal around the mean of all. How far workers differ,
 * and how far tasks on one worker do, is learned from the same times: so where all workers are
 * alike none counts as slow, however uneven the tasks are. */

/** Spread of tasks and of workers before anything is known, as variances of logarithms, and their
 * least: a worker's belief is worked out by both. */
#define TASK_VARIANCE 0.07F
#define WORKER_VARIANCE 0.0004F
#define VARIANCE_MIN 0.0004F
/** Difference to the median at the most: some tasks are several times as long as others, which is
 * not their workers' doing. */
#define DIFFERENCE_MAX 0.8
/** Spread of the workers' paces, as a deviation of logarithms, up to which they count as alike. */
#define ALIKE_SPREAD 0.15
/** Tasks of a step that have to be known before their workers are compared. */
#define COHORT_MIN 3
/** Tasks that are kept, of a step and of all. */
#define COHORT_MAX 256
#define SEEN_MAX 8192
/** Time in which what was seen loses two thirds of its weight, and all of it, ms: workers may turn
 * slow and recover. */
#define FADE_MS 30000
#define FORGET_MS 120000
/** Time between two looks at all that was seen, ms, and passes over it: each goes by the beliefs of
 * the one before. */
#define REVIEW_MS 500
#define PASSES 2
/** Workers that have to be known before their spread is learned. */
#define KNOWN_MIN 12
/** Weight of the workers' spread as it is now against what was learned before. */
#define SPREAD_RATE 0.3F

/** Parts of a logarithm of 1 in a worker's pace, and the largest pace. */
#define PACE_PARTS 1000.0F
#define PACE_MAX 30.0F

/** What a task of a step took. */
struct seen {
	int32_t worker;
	/** Logarithm of the time that the whole task takes there, ms. */
	float log_ms;
};

struct cohort {
	int64_t last_ms;
	/** Elements: struct seen. */
	GArray *seen;
};

static void
free_cohort (gpointer data)
{
	struct cohort *cohort = data;
	g_array_unref (cohort->seen);
	g_free (cohort);
}

static float
pace_of (const struct dff_core_worker *worker)
{
	return (float)worker->pace / PACE_PARTS;
}

static const struct seen *
seen_at (const struct cohort *cohort, guint index)
{
	return &g_array_index (cohort->seen, struct seen, index);
}

static int
compare_floats (const void *a, const void *b)
{
	const float *one = a;
	const float *other = b;
	return (*one > *other) - (*one < *other);
}

/* What the step's tasks take on a worker like the mean. */
static float
cohort_median (const struct dff_core *core, const struct cohort *cohort)
{
	float logs[COHORT_MAX];
	for (guint i = 0; i < cohort->seen->len; i++) {
		const struct seen *seen = seen_at (cohort, i);
		logs[i] = seen->log_ms - pace_of (dff_core_worker_at (core, seen->worker));
	}
	qsort (logs, cohort->seen->len, sizeof (float), compare_floats);
	return logs[cohort->seen->len / 2];
}

/** What was seen of a worker: differences to the medians of steps, faded by age. */
struct sum {
	float count;
	float total;
	float squares;
};

static void
add_cohort (const struct dff_core *core, const struct cohort *cohort, struct sum *sums)
{
	float median = cohort_median (core, cohort);
	float kept = expf (-(float)(core->now_ms - cohort->last_ms) / FADE_MS);
	for (guint i = 0; i < cohort->seen->len; i++) {
		const struct seen *seen = seen_at (cohort, i);
		struct sum *sum = &sums[seen->worker];
		float difference = CLAMP (seen->log_ms - median, -DIFFERENCE_MAX, DIFFERENCE_MAX);
		sum->count += kept;
		sum->total += difference * kept;
		sum->squares += difference * difference * kept;
	}
}

/* Forgets the step that was seen last the longest ago. */
static void
drop_oldest (struct dff_core *core)
{
	const struct cohort *oldest = NULL;
	gint64 oldest_key = 0;
	GHashTableIter iter;
	gpointer key, value;
	g_hash_table_iter_init (&iter, core->cohorts);
	while (g_hash_table_iter_next (&iter, &key, &value)) {
		const struct cohort *cohort = value;
		if (oldest != NULL && cohort->last_ms >= oldest->last_ms)
			continue;
		oldest = cohort;
		oldest_key = *(gint64 *)key;
	}
	core->n_paces -= oldest != NULL ? oldest->seen->len : 0;
	g_hash_table_remove (core->cohorts, &oldest_key);
}

static struct cohort *
cohort_for (struct dff_core *core, uint64_t key)
{
	gint64 id = (gint64)key;
	struct cohort *cohort = g_hash_table_lookup (core->cohorts, &id);
	if (cohort != NULL)
		return cohort;
	cohort = g_new0 (struct cohort, 1);
	cohort->seen = g_array_new (FALSE, FALSE, sizeof (struct seen));
	g_hash_table_insert (core->cohorts, g_memdup2 (&id, sizeof (id)), cohort);
	return cohort;
}

void
dff_core_note_pace (struct dff_core *core, const struct dff_event *event)
{
	int32_t index = dff_core_find_worker (core, &event->worker);
	if (index == DFF_CORE_NONE || event->duration_ms <= 0)
		return;
	if (core->n_paces >= SEEN_MAX)
		drop_oldest (core);
	struct cohort *cohort = cohort_for (core, event->peer_group);
	if (cohort->seen->len >= COHORT_MAX)
		return;
	struct seen seen = {.worker = index, .log_ms = logf ((float)event->duration_ms)};
	g_array_append_val (cohort->seen, seen);
	core->n_paces++;
	cohort->last_ms = core->now_ms;
}

static void
forget_seen (struct dff_core *core, struct cohort *cohort, int32_t worker)
{
	for (guint i = cohort->seen->len; i > 0; i--) {
		if (seen_at (cohort, i - 1)->worker != worker)
			continue;
		g_array_remove_index_fast (cohort->seen, i - 1);
		core->n_paces--;
	}
}

void
dff_core_forget_pace (struct dff_core *core, int32_t index)
{
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, core->cohorts);
	while (g_hash_table_iter_next (&iter, NULL, &value))
		forget_seen (core, value, index);
	struct dff_core_worker *worker = dff_core_worker_at (core, index);
	worker->pace = 0;
}

static void
drop_old (struct dff_core *core)
{
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, core->cohorts);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		const struct cohort *cohort = value;
		if (core->now_ms - cohort->last_ms <= FORGET_MS)
			continue;
		core->n_paces -= cohort->seen->len;
		g_hash_table_iter_remove (&iter);
	}
}

/* One pass over all that was seen. */
static void
learn (struct dff_core *core, struct sum *sums)
{
	memset (sums, 0, sizeof (struct sum) * core->workers->len);
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, core->cohorts);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		const struct cohort *cohort = value;
		if (cohort->seen->len >= COHORT_MIN)
			add_cohort (core, cohort, sums);
	}
	float doubt = core->task_variance / core->pace_variance;
	for (guint i = 0; i < core->workers->len; i++) {
		float pace = sums[i].total / (sums[i].count + doubt);
		dff_core_worker_at (core, (int32_t)i)->pace =
			(int16_t)lroundf (CLAMP (pace, -PACE_MAX, PACE_MAX) * PACE_PARTS);
	}
}

/* Analysis of variance: how far tasks on one worker differ, and by how much more those on different
 * workers do. */
static void
learn_spread (struct dff_core *core, const struct sum *sums)
{
	float within = 0.0F, n_within = 0.0F, between = 0.0F, n_between = 0.0F, n_known = 0.0F;
	for (guint i = 0; i < core->workers->len; i++) {
		const struct sum *sum = &sums[i];
		if (sum->count <= 0.0F)
			continue;
		float of_mean = sum->total * sum->total / sum->count;
		between += of_mean;
		n_between += sum->count;
		n_known += 1.0F;
		if (sum->count <= 1.0F)
			continue;
		within += sum->squares - of_mean;
		n_within += sum->count - 1.0F;
	}
	if (n_known < KNOWN_MIN || n_within < KNOWN_MIN)
		return;
	core->task_variance = MAX (within / n_within, VARIANCE_MIN);
	float spread = (between - n_known * core->task_variance) / n_between;
	core->pace_variance += SPREAD_RATE * (spread - core->pace_variance);
	core->pace_variance = MAX (core->pace_variance, VARIANCE_MIN);
}

void
dff_core_run_pace (struct dff_core *core)
{
	if (core->now_ms < core->pace_review_ms || g_hash_table_size (core->cohorts) == 0)
		return;
	core->pace_review_ms = core->now_ms + REVIEW_MS;
	drop_old (core);
	g_autoptr (GArray) table = g_array_new (FALSE, TRUE, sizeof (struct sum));
	g_array_set_size (table, core->workers->len);
	struct sum *sums = (struct sum *)(void *)table->data;
	for (int32_t i = 0; i < PASSES; i++)
		learn (core, sums);
	learn_spread (core, sums);
	core->stats.duration_spread = sqrt (core->pace_variance);
}

/** Limits of pace for urgent work, tried one after the other, in deviations from the mean. */
static const float limits[] = {-0.5F, 0.0F, 0.5F, 1.0F};

bool
dff_core_is_slower (const struct dff_core *core,
		    const struct dff_core_worker *worker,
		    const struct dff_core_job *job)
{
	return job->pace_limit > 0 &&
	       pace_of (worker) > limits[job->pace_limit - 1] * sqrtf (core->pace_variance);
}

bool
dff_core_limit_pace (const struct dff_core *core, struct dff_core_job *job)
{
	if (core->pace_variance <= (float)(ALIKE_SPREAD * ALIKE_SPREAD) ||
	    job->pace_limit >= (int8_t)G_N_ELEMENTS (limits))
		return false;
	job->pace_limit++;
	return true;
}

void
dff_core_pace_init (struct dff_core *core)
{
	core->cohorts = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, free_cohort);
	core->task_variance = TASK_VARIANCE;
	core->pace_variance = WORKER_VARIANCE;
}
