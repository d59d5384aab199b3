#include "bench/load/jobs.h"

#include <math.h>

/** Step in which arrivals are drawn, ms. */
#define ARRIVAL_STEP_MS 10

/* Returns: a normal variate (Box and Muller). */
static double
normal (GRand *rand)
{
	double radius = sqrt (-2.0 * log (1.0 - g_rand_double (rand)));
	return radius * cos (2.0 * G_PI * g_rand_double (rand));
}

/* Returns: a log-normal variate with this mean. */
static double
log_normal (GRand *rand, double mean, double spread)
{
	return mean * exp (spread * normal (rand) - spread * spread / 2.0);
}

static bool
in_burst (const struct dff_load_class *class, int64_t at_ms)
{
	return at_ms >= class->burst_from_ms && at_ms < class->burst_to_ms;
}

static double
rate_at (const struct dff_load_class *class, int64_t at_ms)
{
	return class->per_s * (in_burst (class, at_ms) ? class->burst_times : 1.0);
}

static struct load_job
draw_job (GRand *rand, const struct dff_load_class *class, size_t class_index, int64_t at_ms)
{
	double width = log_normal (rand, class->width, class->width_spread);
	double run_ms = log_normal (rand, class->run_ms, class->run_spread);
	struct load_job job = {
		.class_index = class_index,
		.arrives_ms = at_ms,
		.width = CLAMP ((int32_t)lround (width), 1, class->width_max),
		.accelerators = class->accelerators[g_rand_int_range (rand, 0, DFF_LOAD_SHAPES)],
		.run_ms = (int64_t)CLAMP (run_ms, 100.0, class->run_max_ms),
		.one_rack = g_rand_double (rand) < class->one_rack_share,
		.checkpoint = g_rand_double (rand) < class->checkpoint_share,
		.fails_after = g_rand_double (rand),
	};
	while (job.failing_runs < class->max_attempts && g_rand_double (rand) < class->fail_share)
		job.failing_runs++;
	double declared_ms = log_normal (rand, (double)job.run_ms, class->estimate_spread);
	job.declared_ms = (int64_t)MAX (declared_ms, 1.0);
	/* Not drawn from @rand: the jobs of a seed do not depend on the number of teams. */
	job.team = (int32_t)((uint32_t)(at_ms / ARRIVAL_STEP_MS) * 2654435761U >> 16);
	return job;
}

GArray *
load_jobs_new (const struct dff_load *load)
{
	GArray *jobs = g_array_new (FALSE, FALSE, sizeof (struct load_job));
	GRand *rand = g_rand_new_with_seed (load->seed);
	for (int64_t at_ms = 0; at_ms < load->length_ms; at_ms += ARRIVAL_STEP_MS) {
		for (size_t i = 0; i < load->n_classes; i++) {
			const struct dff_load_class *class = &load->classes[i];
			double chance = rate_at (class, at_ms) * ARRIVAL_STEP_MS / 1000.0;
			if (g_rand_double (rand) >= chance)
				continue;
			struct load_job job = draw_job (rand, class, i, at_ms);
			bool bursts = class->burst_times > 1.0 && in_burst (class, at_ms);
			job.team = bursts ? 0 : job.team % MAX (load->n_teams, 1);
			g_array_append_val (jobs, job);
		}
	}
	g_rand_free (rand);
	return jobs;
}
