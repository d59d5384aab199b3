#include <jansson.h>

#include "cell/cell_private.h"

/* Cell status for operators. Counts come from the rows that are known to be durable. */

struct usage {
	int64_t queued;
	int64_t open;
	int64_t accelerators;
};

static void
count_job (const struct dff_cell_job *job, struct usage *usage)
{
	const struct dff_job_row *row = job->row;
	if (row->state != DFF_JOB_ROW_OPEN) {
		usage->queued += 1;
		return;
	}
	usage->open += 1;
	usage->accelerators += (int64_t)row->spec.gang * row->spec.per_task.accelerators;
}

/** Counts all jobs, and those of each team. Returns: (transfer full): struct dff_name, borrowed
 * from the rows, to struct usage. */
static GHashTable *
count_jobs (const struct dff_cell *cell, struct usage *total)
{
	GHashTable *teams =
		g_hash_table_new_full (dff_name_hash, dff_name_equal_func, NULL, g_free);
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, cell->jobs);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		const struct dff_cell_job *job = value;
		struct usage *team = g_hash_table_lookup (teams, &job->row->spec.team);
		if (team == NULL) {
			team = g_new0 (struct usage, 1);
			g_hash_table_insert (teams, &job->row->spec.team, team);
		}
		count_job (job, team);
		count_job (job, total);
	}
	return teams;
}

static json_t *
jobs_status (const struct dff_cell *cell, const struct usage *total)
{
	int64_t accepted = total->queued + total->open;
	json_t *jobs = json_object ();
	for (int outcome = DFF_OUTCOME_COMPLETED; outcome <= DFF_OUTCOME_UNKNOWN; outcome++) {
		const char *name = dff_outcome_name ((enum dff_outcome)outcome);
		json_object_set_new (jobs, name, json_integer (cell->ended[outcome]));
		accepted += cell->ended[outcome];
	}
	json_object_set_new (jobs, "queued", json_integer (total->queued));
	json_object_set_new (jobs, "running", json_integer (total->open));
	json_object_set_new (jobs, "accepted", json_integer (accepted));
	return jobs;
}

static json_t *
teams_status (const struct dff_cell *cell, GHashTable *usages)
{
	static const struct usage no_usage = {0};
	json_t *teams = json_array ();
	for (guint i = 0; cell->pool != NULL && i < cell->pool->teams->len; i++) {
		const struct dff_team *team =
			&g_array_index (cell->pool->teams, struct dff_team, i);
		const struct usage *usage = g_hash_table_lookup (usages, &team->name);
		if (usage == NULL)
			usage = &no_usage;
		json_array_append_new (teams,
				       json_pack ("{s:s,s:I,s:I,s:I}", "team", team->name.data,
						  "queued", (json_int_t)usage->queued, "running",
						  (json_int_t)usage->open, "accelerators",
						  (json_int_t)usage->accelerators));
	}
	return teams;
}

static int
count_up (const struct dff_cell *cell, const struct dff_rack *rack)
{
	int up = 0;
	for (guint i = 0; i < rack->workers->len; i++) {
		const struct dff_name *name = &g_array_index (rack->workers, struct dff_name, i);
		const struct dff_cell_worker *worker = dff_cell_worker_find (cell, name);
		up += worker != NULL && worker->reported && worker->reported_state == DFF_WORKER_UP;
	}
	return up;
}

static json_t *
racks_status (const struct dff_cell *cell)
{
	json_t *racks = json_array ();
	for (guint i = 0; cell->pool != NULL && i < cell->pool->racks->len; i++) {
		const struct dff_rack *rack =
			&g_array_index (cell->pool->racks, struct dff_rack, i);
		if (!dff_name_equal (&rack->region, &cell->options.region))
			continue;
		json_t *entry =
			json_pack ("{s:s,s:i,s:i,s:i}", "rack", rack->name.data, "workers",
				   (int)rack->workers->len, "workers_up", count_up (cell, rack),
				   "accelerators_per_worker", (int)rack->per_worker.accelerators);
		json_array_append_new (racks, entry);
	}
	return racks;
}

static json_t *
stalled_batches_status (const struct dff_cell *cell)
{
	json_t *batches = json_array ();
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, cell->batches);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		const struct dff_cell_batch *batch = value;
		if (!batch->stalled)
			continue;
		json_int_t idle_ms = dff_cell_now_ms (cell) - batch->changed_ms;
		json_t *entry = json_pack ("{s:s,s:i,s:I}", "batch", batch->name.data, "jobs",
					   (int)batch->remaining, "still_ms", idle_ms);
		json_array_append_new (batches, entry);
	}
	return batches;
}

static json_t *
pool_status (const struct dff_cell *cell)
{
	struct dff_core_stats stats;
	dff_core_get_stats (cell->core, &stats);
	return json_pack (
		"{s:I,s:I,s:I,s:I,s:f}", "accelerators", (json_int_t)stats.accelerators_total,
		"accelerators_free", (json_int_t)stats.accelerators_free, "workers_quarantined",
		(json_int_t)stats.workers_quarantined, "guarantees_missing",
		(json_int_t)stats.witnesses_missing, "fragmentation", stats.fragmentation);
}

void
dff_cell_status (const struct dff_cell *cell, GString *out)
{
	bool holder = dff_cell_is_holder (cell);
	json_t *status = json_object ();
	json_object_set_new (status, "region", json_string (cell->options.region.data));
	json_object_set_new (status, "holder", json_boolean (holder));
	json_object_set_new (status, "epoch", json_integer (dff_cell_epoch (cell)));
	if (holder) {
		struct usage total = {0};
		g_autoptr (GHashTable) teams = count_jobs (cell, &total);
		json_object_set_new (status, "jobs", jobs_status (cell, &total));
		json_object_set_new (status, "teams", teams_status (cell, teams));
		json_object_set_new (status, "racks", racks_status (cell));
		json_object_set_new (status, "batches_without_progress",
				     stalled_batches_status (cell));
		json_object_set_new (status, "capacity", pool_status (cell));
	}
	char *text = json_dumps (status, JSON_COMPACT);
	json_decref (status);
	g_string_append (out, text);
	free (text);
}
