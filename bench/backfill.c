#include "bench/baseline.h"

/* EASY backfill: the head of the queue gets a reservation at the earliest time at which it can
 * start by the declared run times of the running jobs. A later job may start when its declared end
 * is not after that time, or when it uses no reserved capacity. */

struct reservation {
	/** Expected start of the head, ms; INT64_MAX: unknown, as workers are down. */
	int64_t start_ms;
	/** Capacity left at start_ms, the head started. Elements: struct dff_resources. */
	GArray *left;
};

static int
compare_expected_end (gconstpointer a, gconstpointer b)
{
	const struct dff_baseline_job *one = *(const struct dff_baseline_job *const *)a;
	const struct dff_baseline_job *other = *(const struct dff_baseline_job *const *)b;
	if (one->expected_end_ms != other->expected_end_ms)
		return one->expected_end_ms < other->expected_end_ms ? -1 : 1;
	return one->sequence < other->sequence ? -1 : 1;
}

/* Returns: jobs that hold leases, by expected end. */
static GPtrArray *
jobs_by_expected_end (struct dff_baseline *baseline, int64_t now_ms)
{
	GPtrArray *sorted = g_ptr_array_new ();
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, baseline->jobs);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		struct dff_baseline_job *job = value;
		if (job->state == DFF_BASELINE_QUEUED || job->members == NULL || job->n_open == 0)
			continue;
		if (job->state == DFF_BASELINE_RECORDING)
			job->expected_end_ms = now_ms + job->spec.declared_ms;
		g_ptr_array_add (sorted, job);
	}
	g_ptr_array_sort (sorted, compare_expected_end);
	return sorted;
}

static void
release_job (GArray *available, const struct dff_baseline_job *job)
{
	for (int32_t i = 0; i < job->spec.gang; i++) {
		if (job->members[i].open)
			dff_capacity_add (available, job->members[i].worker, &job->spec.per_task,
					  1);
	}
}

static bool
reserve_on (struct dff_baseline *baseline,
	    const struct dff_baseline_job *head,
	    struct reservation *reservation)
{
	int32_t workers[DFF_JOB_GANG_MAX];
	struct dff_cluster_view view = {.available = reservation->left};
	if (!dff_cluster_place (&baseline->cluster, &view, &head->spec, workers))
		return false;
	for (int32_t i = 0; i < head->spec.gang; i++)
		dff_capacity_add (reservation->left, workers[i], &head->spec.per_task, -1);
	return true;
}

static struct reservation
reserve (struct dff_baseline *baseline, const struct dff_baseline_job *head, int64_t now_ms)
{
	struct reservation reservation = {
		.start_ms = INT64_MAX,
		.left = g_array_copy (baseline->cluster.available),
	};
	g_autoptr (GPtrArray) sorted = jobs_by_expected_end (baseline, now_ms);
	for (guint i = 0; i < sorted->len; i++) {
		const struct dff_baseline_job *job = g_ptr_array_index (sorted, i);
		release_job (reservation.left, job);
		/* Jobs with the same expected end are released together. */
		const struct dff_baseline_job *next =
			i + 1 < sorted->len ? g_ptr_array_index (sorted, i + 1) : NULL;
		if (next != NULL && next->expected_end_ms == job->expected_end_ms)
			continue;
		if (!reserve_on (baseline, head, &reservation))
			continue;
		/* A job that has exceeded its declared time is expected to end now. */
		reservation.start_ms = MAX (job->expected_end_ms, now_ms);
		return reservation;
	}
	return reservation;
}

static void
start_before_reservation (struct dff_baseline *baseline, struct dff_baseline_job *job)
{
	int32_t workers[DFF_JOB_GANG_MAX];
	struct dff_cluster_view view = {.available = baseline->cluster.available};
	if (dff_cluster_place (&baseline->cluster, &view, &job->spec, workers))
		dff_baseline_start (baseline, job, workers);
	else
		job->queue->closed = true;
}

static void
start_beside_reservation (struct dff_baseline *baseline,
			  struct dff_baseline_job *job,
			  const struct reservation *reservation)
{
	int32_t workers[DFF_JOB_GANG_MAX];
	struct dff_cluster_view view = {.available = baseline->cluster.available,
					.limit = reservation->left};
	struct dff_baseline_class *queue = job->queue;
	if (queue->limited)
		return;
	if (!dff_cluster_place (&baseline->cluster, &view, &job->spec, workers)) {
		queue->limited = true;
		return;
	}
	for (int32_t i = 0; i < job->spec.gang; i++)
		dff_capacity_add (reservation->left, workers[i], &job->spec.per_task, -1);
	dff_baseline_start (baseline, job, workers);
}

static void
start_behind (struct dff_baseline *baseline,
	      struct dff_baseline_job *job,
	      const struct reservation *reservation,
	      int64_t now_ms)
{
	bool ends_before = reservation->start_ms == INT64_MAX ||
			   now_ms + job->spec.declared_ms <= reservation->start_ms;
	if (ends_before)
		start_before_reservation (baseline, job);
	else
		start_beside_reservation (baseline, job, reservation);
}

static void
backfill_behind (struct dff_baseline *baseline, const struct dff_baseline_job *head, int64_t now_ms)
{
	struct dff_baseline_job *job;
	struct reservation reservation = reserve (baseline, head, now_ms);
	while ((job = dff_baseline_pass_next (baseline)) != NULL)
		start_behind (baseline, job, &reservation, now_ms);
	g_array_unref (reservation.left);
}

void
dff_backfill_schedule (struct dff_baseline *baseline, int64_t now_ms)
{
	struct dff_cluster_view view = {.available = baseline->cluster.available};
	int32_t workers[DFF_JOB_GANG_MAX];
	struct dff_baseline_job *job;
	dff_baseline_pass_begin (baseline);
	while ((job = dff_baseline_pass_next (baseline)) != NULL) {
		if (!dff_cluster_place (&baseline->cluster, &view, &job->spec, workers)) {
			job->queue->closed = true;
			backfill_behind (baseline, job, now_ms);
			return;
		}
		dff_baseline_start (baseline, job, workers);
	}
}
