#include "bench/measure.h"

#include <math.h>

#include "bench/percentile.h"

/* Lower bound of the run time in the slowdown, so that very short jobs do not dominate it. */
#define DFF_SLOWDOWN_MIN_MS 10000

int64_t
dff_job_run_accelerators (const struct dff_job_run *job)
{
	return (int64_t)job->spec.gang * job->spec.per_task.accelerators;
}

static double
mean (const GArray *values)
{
	double sum = 0.0;
	for (guint i = 0; i < values->len; i++)
		sum += g_array_index (values, double, i);
	return values->len > 0 ? sum / values->len : 0.0;
}

struct samples {
	GArray *completion, *slowdown, *actual, *gang_wait, *urgent_wait;
	int64_t counts[DFF_OUTCOME_UNKNOWN + 1];
	int64_t refused, unfinished;
	double useful_ms;
	int64_t first_ms, last_ms;
};

static GArray *
doubles_new (void)
{
	return g_array_new (FALSE, FALSE, sizeof (double));
}

static void
add_seconds (GArray *values, int64_t ms)
{
	double seconds = (double)ms / 1000.0;
	g_array_append_val (values, seconds);
}

static void
sample_completed (struct samples *samples, const struct dff_job_run *job)
{
	int64_t took_ms = job->ended_ms - job->submitted_ms;
	double slowdown = (double)took_ms / (double)MAX (job->actual_ms, DFF_SLOWDOWN_MIN_MS);
	add_seconds (samples->completion, took_ms);
	add_seconds (samples->actual, job->actual_ms);
	g_array_append_val (samples->slowdown, slowdown);
	samples->useful_ms += (double)(job->actual_ms * dff_job_run_accelerators (job));
}

static void
sample_job (struct samples *samples, const struct dff_job_run *job)
{
	samples->first_ms = MIN (samples->first_ms, job->submitted_ms);
	samples->last_ms = MAX (samples->last_ms, job->ended_ms);
	if (job->refused) {
		samples->refused++;
		return;
	}
	samples->counts[job->outcome]++;
	samples->unfinished += job->ended_ms < 0;
	if (job->outcome == DFF_OUTCOME_COMPLETED && job->ended_ms >= 0)
		sample_completed (samples, job);
	if (job->first_start_ms < 0)
		return;
	if (job->spec.gang > 1)
		add_seconds (samples->gang_wait, job->first_start_ms - job->submitted_ms);
	if (job->spec.urgent)
		add_seconds (samples->urgent_wait, job->first_start_ms - job->submitted_ms);
}

static json_t *
seconds (double value)
{
	return json_real (round (value * 1000.0) / 1000.0);
}

static void
report_times (json_t *report, const struct samples *samples)
{
	json_object_set_new (report, "completion_mean_s", seconds (mean (samples->completion)));
	json_object_set_new (report, "completion_p99_s",
			     seconds (dff_percentile (samples->completion, 0.99)));
	json_object_set_new (report, "slowdown_mean", seconds (mean (samples->slowdown)));
	json_object_set_new (report, "actual_mean_s", seconds (mean (samples->actual)));
	json_object_set_new (report, "gang_wait_p95_s",
			     seconds (dff_percentile (samples->gang_wait, 0.95)));
	json_object_set_new (report, "urgent_start_p99_s",
			     seconds (dff_percentile (samples->urgent_wait, 0.99)));
}

static void
report_counts (json_t *report, const struct samples *samples, const struct dff_measure_input *input)
{
	json_object_set_new (report, "jobs", json_integer (input->jobs->len));
	json_object_set_new (report, "completed", json_integer (samples->completion->len));
	json_object_set_new (report, "failed", json_integer (samples->counts[DFF_OUTCOME_FAILED]));
	json_object_set_new (report, "cancelled",
			     json_integer (samples->counts[DFF_OUTCOME_CANCELLED]));
	json_object_set_new (report, "not_run",
			     json_integer (samples->counts[DFF_OUTCOME_NOT_RUN]));
	json_object_set_new (report, "unknown",
			     json_integer (samples->counts[DFF_OUTCOME_UNKNOWN]));
	json_object_set_new (report, "refused", json_integer (samples->refused));
	json_object_set_new (report, "unfinished", json_integer (samples->unfinished));
}

static void
report_policy (json_t *report, const struct samples *samples, const struct dff_measure_input *input)
{
	double offered_ms =
		(double)input->accelerators * (double)(samples->last_ms - samples->first_ms);
	double utilisation = offered_ms > 0.0 ? samples->useful_ms / offered_ms : 0.0;
	g_autoptr (GArray) ticks = g_array_copy ((GArray *)input->tick_us);
	double rate = input->policy_seconds > 0.0 ? (double)input->decisions / input->policy_seconds
						  : 0.0;
	json_object_set_new (report, "fragmentation", seconds (input->fragmentation));
	json_object_set_new (report, "utilisation", seconds (utilisation));
	json_object_set_new (report, "guarantee_wait_max_s",
			     seconds ((double)input->guarantee_wait_max_ms / 1000.0));
	json_object_set_new (report, "guarantee_violations",
			     json_integer (input->guarantee_violations));
	json_object_set_new (report, "rule_violations", json_integer (input->rule_violations));
	json_object_set_new (report, "lost_work_s", seconds ((double)input->lost_work_ms / 1000.0));
	json_object_set_new (report, "tick_p99_us", seconds (dff_percentile (ticks, 0.99)));
	json_object_set_new (report, "decisions_per_s", seconds (rate));
}

json_t *
dff_measure_report (const struct dff_measure_input *input)
{
	g_autoptr (GArray) completion = doubles_new ();
	g_autoptr (GArray) slowdown = doubles_new ();
	g_autoptr (GArray) actual = doubles_new ();
	g_autoptr (GArray) gang_wait = doubles_new ();
	g_autoptr (GArray) urgent_wait = doubles_new ();
	struct samples samples = {
		.completion = completion,
		.slowdown = slowdown,
		.actual = actual,
		.gang_wait = gang_wait,
		.urgent_wait = urgent_wait,
		.first_ms = INT64_MAX,
	};
	for (guint i = 0; i < input->jobs->len; i++)
		sample_job (&samples, &g_array_index (input->jobs, struct dff_job_run, i));
	json_t *report = json_object ();
	report_counts (report, &samples, input);
	report_times (report, &samples);
	report_policy (report, &samples, input);
	return report;
}
