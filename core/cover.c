#include "core/core_private.h"

/* Accounting of which guaranteed jobs the shapes of a team cover, wherever they run. A guaranteed
 * job that finds its team's shapes used up runs as a borrower if it can. When a shape has capacity
 * left again, the oldest such job is covered, even if it runs already. Otherwise a later job would
 * take that capacity, and the older one, once preempted, would wait although the guarantee was due
 * to it. */

static bool
region_agrees (const struct dff_core_job *job, const struct dff_core_shape *shape)
{
	return job->region == DFF_CORE_NONE || shape->region == DFF_CORE_NONE ||
	       job->region == shape->region;
}

/* Covers a job by the smallest shape that has enough left. */
static bool
cover (struct dff_core *core, struct dff_core_job *job)
{
	int32_t asked = dff_core_job_accelerators (job);
	struct dff_core_shape *best = NULL;
	for (int32_t i = 0; i < (int32_t)core->shapes->len; i++) {
		struct dff_core_shape *shape = dff_core_shape_at (core, i);
		int32_t left = shape->size - shape->covered;
		if (shape->team != job->team || left < asked || !region_agrees (job, shape) ||
		    (best != NULL && left >= best->size - best->covered))
			continue;
		best = shape;
		job->cover = i;
	}
	if (best != NULL)
		best->covered += asked;
	return best != NULL;
}

void
dff_core_cover (struct dff_core *core, struct dff_core_job *job)
{
	if (!job->guaranteed || job->team == DFF_CORE_NONE || dff_core_job_accelerators (job) == 0)
		return;
	if (!cover (core, job))
		g_queue_push_tail_link (&dff_core_team_at (core, job->team)->uncovered,
					&job->cover_link);
	job->cover_tracked = true;
}

static void
cover_waiting (struct dff_core *core, struct dff_core_team *team)
{
	GList *next = NULL;
	for (GList *link = team->uncovered.head; link != NULL; link = next) {
		next = link->next;
		if (cover (core, link->data))
			g_queue_unlink (&team->uncovered, link);
	}
}

void
dff_core_uncover (struct dff_core *core, struct dff_core_job *job)
{
	if (!job->cover_tracked)
		return;
	job->cover_tracked = false;
	struct dff_core_team *team = dff_core_team_at (core, job->team);
	if (job->cover == DFF_CORE_NONE) {
		g_queue_unlink (&team->uncovered, &job->cover_link);
		return;
	}
	dff_core_shape_at (core, job->cover)->covered -= dff_core_job_accelerators (job);
	job->cover = DFF_CORE_NONE;
	cover_waiting (core, team);
}

static int
compare_jobs (gconstpointer a, gconstpointer b)
{
	return dff_core_compare_age (*(struct dff_core_job *const *)a,
				     *(struct dff_core_job *const *)b);
}

void
dff_core_cover_all (struct dff_core *core)
{
	g_autoptr (GPtrArray) jobs = g_ptr_array_new ();
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, core->jobs);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		struct dff_core_job *job = value;
		if (!job->cover_tracked)
			continue;
		if (job->cover == DFF_CORE_NONE)
			g_queue_unlink (&dff_core_team_at (core, job->team)->uncovered,
					&job->cover_link);
		job->cover = DFF_CORE_NONE;
		g_ptr_array_add (jobs, job);
	}
	g_ptr_array_sort (jobs, compare_jobs);
	for (guint i = 0; i < jobs->len; i++)
		dff_core_cover (core, g_ptr_array_index (jobs, i));
}
