#include "holder/holder_private.h"

#include "common/log.h"

/* Memory that open jobs take at the holder. A job of a hundred bytes may have thousands of tasks,
 * and each successor of a holder that has run out of memory would read the same jobs. */

/** Memory of a task and of a job beside its row, as measured, and for each byte of the row. */
#define TASK_BYTES 800
#define JOB_BYTES 2048
#define ROW_COPIES 2

static size_t
job_bytes (const struct dff_plan *plan, size_t row_bytes)
{
	size_t n_tasks = 0;
	for (guint i = 0; i < plan->steps->len; i++)
		n_tasks += (size_t)dff_plan_step (plan, (int32_t)i)->count;
	n_tasks *= (size_t)plan->occurrences;
	return JOB_BYTES + n_tasks * TASK_BYTES + row_bytes * ROW_COPIES;
}

void
load_begin (struct dff_holder *holder)
{
	holder->load_by_team =
		g_hash_table_new_full (dff_name_hash, dff_name_equal_func, g_free, g_free);
	holder->load_bytes = 0;
}

void
load_reset (struct dff_holder *holder)
{
	g_clear_pointer (&holder->load_by_team, g_hash_table_unref);
	holder->load_bytes = 0;
}

static size_t *
load_of_team (struct dff_holder *holder, const struct dff_name *team)
{
	size_t *bytes = g_hash_table_lookup (holder->load_by_team, team);
	if (bytes != NULL)
		return bytes;
	bytes = g_new0 (size_t, 1);
	g_hash_table_insert (holder->load_by_team, dff_name_dup (team), bytes);
	return bytes;
}

void
load_add_job (struct dff_holder *holder, struct holder_job *job, size_t row_bytes)
{
	job->load_bytes = job_bytes (job->plan, row_bytes);
	holder->load_bytes += job->load_bytes;
	*load_of_team (holder, &job->plan->team) += job->load_bytes;
}

void
load_remove_job (struct dff_holder *holder, const struct holder_job *job)
{
	size_t *team = load_of_team (holder, &job->plan->team);
	holder->load_bytes -= job->load_bytes;
	*team -= job->load_bytes;
	if (*team == 0)
		g_hash_table_remove (holder->load_by_team, &job->plan->team);
}

/* One team may take half of the total, so that it does not keep the others out. */
bool
load_admits (struct dff_holder *holder, struct dff_str row)
{
	size_t max_bytes = holder->options.open_jobs_max_bytes;
	/* The largest job takes far less than the difference to a team's share. */
	if (holder->load_bytes < max_bytes / 4)
		return true;
	DFF_AUTO (dff_plan) plan = dff_plan_decode (row);
	if (plan == NULL)
		return true;
	size_t bytes = job_bytes (plan, row.len);
	const size_t *team = g_hash_table_lookup (holder->load_by_team, &plan->team);
	size_t team_bytes = team != NULL ? *team : 0;
	if (holder->load_bytes + bytes <= max_bytes && team_bytes + bytes <= max_bytes / 2)
		return true;
	dff_log (DFF_LOG_CELL, DFF_LOG_WARNING,
		 "Job refused, too many are open. team=%s job_bytes=%zu team_bytes=%zu bytes=%zu",
		 plan->team.data, bytes, team_bytes, holder->load_bytes);
	(*holder->metrics.submissions_refused)++;
	return false;
}
