#include "entry/team_quota.h"

#include <glib.h>

struct counted_job {
	struct dff_name id;
	struct dff_name team;
	/** Its position in @order of the quota. */
	GList *position;
};

struct dff_team_quota {
	/** struct dff_name * (the job's id member) -> struct counted_job *, owned. */
	GHashTable *jobs;
	/** struct dff_name * -> count. */
	GHashTable *teams;
	/** Elements: struct counted_job *. The head is sampled next. */
	GQueue order;
};

struct dff_team_quota *
dff_team_quota_new (void)
{
	struct dff_team_quota *quota = g_new0 (struct dff_team_quota, 1);
	quota->jobs = g_hash_table_new_full (dff_name_hash, dff_name_equal_func, NULL, g_free);
	quota->teams = g_hash_table_new_full (dff_name_hash, dff_name_equal_func, g_free, NULL);
	g_queue_init (&quota->order);
	return quota;
}

void
dff_team_quota_free (struct dff_team_quota *quota)
{
	g_queue_clear (&quota->order);
	g_hash_table_destroy (quota->jobs);
	g_hash_table_destroy (quota->teams);
	g_free (quota);
}

int32_t
dff_team_quota_count (const struct dff_team_quota *quota, const struct dff_name *team)
{
	return GPOINTER_TO_INT (g_hash_table_lookup (quota->teams, team));
}

static void
change_count (struct dff_team_quota *quota, const struct dff_name *team, int32_t change)
{
	int32_t count = dff_team_quota_count (quota, team) + change;
	if (count == 0)
		g_hash_table_remove (quota->teams, team);
	else
		g_hash_table_replace (quota->teams, dff_name_dup (team), GINT_TO_POINTER (count));
}

bool
dff_team_quota_add (struct dff_team_quota *quota,
		    const struct dff_name *job,
		    const struct dff_name *team)
{
	if (g_hash_table_contains (quota->jobs, job))
		return false;
	struct counted_job *counted = g_new0 (struct counted_job, 1);
	counted->id = *job;
	counted->team = *team;
	g_queue_push_tail (&quota->order, counted);
	counted->position = quota->order.tail;
	g_hash_table_insert (quota->jobs, &counted->id, counted);
	change_count (quota, team, 1);
	return true;
}

void
dff_team_quota_remove (struct dff_team_quota *quota, const struct dff_name *job)
{
	struct counted_job *counted = g_hash_table_lookup (quota->jobs, job);
	if (counted == NULL)
		return;
	change_count (quota, &counted->team, -1);
	g_queue_delete_link (&quota->order, counted->position);
	g_hash_table_remove (quota->jobs, &counted->id);
}

GArray *
dff_team_quota_sample (struct dff_team_quota *quota, size_t limit)
{
	GArray *sample = g_array_new (FALSE, FALSE, sizeof (struct dff_name));
	size_t n = MIN (limit, quota->order.length);
	for (size_t i = 0; i < n; i++) {
		GList *link = g_queue_pop_head_link (&quota->order);
		const struct counted_job *counted = link->data;
		g_array_append_val (sample, counted->id);
		g_queue_push_tail_link (&quota->order, link);
	}
	return sample;
}
