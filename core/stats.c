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
	dff_core_shape_stats (core, stats);
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
