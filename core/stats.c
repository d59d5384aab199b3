#include "core/core_private.h"

void
dff_core_get_stats (const struct dff_core *core, struct dff_core_stats *stats)
{
	*stats = core->stats;
	stats->duration_samples = core->n_durations;
	int64_t whole = 0;
	for (guint i = 0; i < core->racks->len; i++) {
		const struct dff_core_rack *rack = dff_core_rack_at (core, (int32_t)i);
		int32_t unit = core->largest_rack_shape;
		stats->accelerators_total += rack->accelerators;
		stats->accelerators_free += rack->free_accelerators;
		whole += (int64_t)(rack->free_accelerators / unit) * unit;
	}
	if (stats->accelerators_free > 0)
		stats->fragmentation = 1.0 - (double)whole / (double)stats->accelerators_free;
}

enum dff_job_phase
dff_core_job_phase (const struct dff_core *core, const struct dff_name *id)
{
	const struct dff_core_job *job = dff_core_find_job (core, id);
	if (job == NULL)
		return DFF_JOB_PHASE_UNKNOWN;
	switch (job->state) {
	case DFF_CORE_QUEUED:
	case DFF_CORE_DELAYED:
	case DFF_CORE_RESERVED:
		return DFF_JOB_PHASE_QUEUED;
	case DFF_CORE_RECORDING:
	case DFF_CORE_STARTING:
		return DFF_JOB_PHASE_STARTING;
	case DFF_CORE_RUNNING:
		return DFF_JOB_PHASE_RUNNING;
	case DFF_CORE_CHECKPOINTING:
	case DFF_CORE_STOPPING:
		return DFF_JOB_PHASE_STOPPING;
	case DFF_CORE_ENDING:
	default:
		return DFF_JOB_PHASE_ENDED;
	}
}

static bool
is_queued (const struct dff_core_job *job)
{
	return job->state == DFF_CORE_QUEUED || job->state == DFF_CORE_DELAYED ||
	       job->state == DFF_CORE_RESERVED;
}

/* Notes the team furthest above its share of what a priority borrows. */
static void
note_excess (const struct dff_core *core,
	     int32_t priority,
	     GArray *claimants,
	     struct dff_core_queue_stats *stats)
{
	/* Where shares are not considered, accelerator time shows how uneven they are. */
	bool dominant = core->options.shares == DFF_SHARES_DOMINANT;
	dff_shares_set_excess (dominant ? DFF_SHARES_DOMINANT : DFF_SHARES_DEFICIT, claimants);
	for (guint i = 0; i < claimants->len; i++) {
		double excess = g_array_index (claimants, struct dff_shares_claimant, i).excess;
		if (excess <= stats->share_excess)
			continue;
		stats->share_excess = excess;
		stats->share_team = dff_core_team_at (core, (int32_t)i)->name;
		stats->share_priority = priority;
	}
}

void
dff_core_get_queue_stats (const struct dff_core *core, struct dff_core_queue_stats *stats)
{
	*stats = (struct dff_core_queue_stats){0};
	GArray *claimants[DFF_CORE_PRIORITIES];
	for (int32_t i = 0; i < DFF_CORE_PRIORITIES; i++)
		claimants[i] = dff_core_claimants_new (core, i);
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, core->jobs);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		const struct dff_core_job *job = value;
		if (!is_queued (job))
			continue;
		stats->prospects[dff_core_job_assess (core, job).prospect]++;
		if (job->team == DFF_CORE_NONE)
			continue;
		struct dff_shares_claimant *claimant = &g_array_index (
			claimants[job->priority], struct dff_shares_claimant, job->team);
		claimant->waits = true;
	}
	for (int32_t i = 0; i < DFF_CORE_PRIORITIES; i++) {
		note_excess (core, i, claimants[i], stats);
		g_array_unref (claimants[i]);
	}
}
