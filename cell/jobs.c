#include "cell/cell_private.h"

struct dff_cell_job *
dff_cell_job_add (struct dff_cell *cell, struct dff_job_row *row)
{
	struct dff_cell_job *job = g_new0 (struct dff_cell_job, 1);
	job->row = row;
	job->members = g_array_new (FALSE, TRUE, sizeof (struct dff_cell_member));
	g_queue_init (&job->writes);
	g_hash_table_replace (cell->jobs, &row->spec.id, job);
	dff_cell_batch_join (cell, row);
	return job;
}

void
dff_cell_job_free (gpointer data)
{
	struct dff_cell_job *job = data;
	g_queue_clear_full (&job->writes, dff_cell_write_free);
	g_array_unref (job->members);
	dff_job_row_free (job->row);
	g_free (job);
}

struct dff_cell_job *
dff_cell_job_find (const struct dff_cell *cell, const struct dff_name *id)
{
	return g_hash_table_lookup (cell->jobs, id);
}

void
dff_cell_job_remove (struct dff_cell *cell, const struct dff_name *id)
{
	const struct dff_cell_job *job = dff_cell_job_find (cell, id);
	if (job == NULL)
		return;
	dff_cell_batch_leave (cell, job->row);
	g_hash_table_remove (cell->jobs, id);
}

void
dff_cell_job_open (struct dff_cell_job *job)
{
	const struct dff_job_row *row = job->row;
	g_array_set_size (job->members, 0);
	g_array_set_size (job->members, row->placements->len);
	for (guint i = 0; i < row->placements->len; i++) {
		struct dff_cell_member *member =
			&g_array_index (job->members, struct dff_cell_member, i);
		member->placement = g_array_index (row->placements, struct dff_placement, i);
		member->incarnation = g_array_index (row->incarnations, int64_t, i);
	}
}

struct dff_cell_member *
dff_cell_job_member (struct dff_cell_job *job, const struct dff_task_id *task)
{
	bool current = job->row->state == DFF_JOB_ROW_OPEN && job->row->attempt == task->attempt;
	if (!current || task->member < 0 || (guint)task->member >= job->members->len)
		return NULL;
	return &g_array_index (job->members, struct dff_cell_member, task->member);
}

void
dff_cell_job_cancelled (struct dff_cell *cell, struct dff_cell_job *job)
{
	job->row->cancel_requested = true;
	if (job->cancel_reported)
		return;
	job->cancel_reported = true;
	struct dff_event event = {.type = DFF_EVENT_JOB_CANCELLED, .job = job->row->spec.id};
	dff_cell_queue_event (cell, &event);
}
