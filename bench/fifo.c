#include "bench/baseline.h"

/* First come, first served: the first job that does not fit blocks all later jobs. */

void
dff_fifo_schedule (struct dff_baseline *baseline, G_GNUC_UNUSED int64_t now_ms)
{
	struct dff_cluster_view view = {.available = baseline->cluster.available};
	int32_t workers[DFF_JOB_GANG_MAX];
	struct dff_baseline_job *job;
	dff_baseline_pass_begin (baseline);
	while ((job = dff_baseline_pass_next (baseline)) != NULL) {
		if (!dff_cluster_place (&baseline->cluster, &view, &job->spec, workers))
			return;
		dff_baseline_start (baseline, job, workers);
	}
}
