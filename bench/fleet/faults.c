#include <stdio.h>

#include "bench/fleet/audit.h"
#include "bench/fleet/inject.h"

/* Injects random faults under a mix of idempotent and at-most-once work, then compares the results
 * that callers received with the runs that workers logged. */

#define N_FAULTS 1000
#define N_FAULTS_QUICK 200
#define INTERVAL_MIN_MS 100
#define INTERVAL_MAX_MS 400
#define POLL_MS 100
#define READY_TIMEOUT_MS 30000
#define REQUEST_TIMEOUT_MS 30000
#define JOBS_TIMEOUT_MS 90000

static const char phase[] = "faults";

static void
report_callers (struct fleet *fleet)
{
	const struct fleet_load *load = fleet->load;
	static const struct {
		const char *what;
		enum fleet_kind kind;
		enum fleet_verdict verdict;
	} lines[] = {
		{"idempotent requests answered", FLEET_IDEMPOTENT, FLEET_ANSWERED},
		{"idempotent requests failed", FLEET_IDEMPOTENT, FLEET_FAILED},
		{"at most once: answered", FLEET_ONCE, FLEET_ANSWERED},
		{"at most once: not_run", FLEET_ONCE, FLEET_NOT_RUN},
		{"at most once: unknown", FLEET_ONCE, FLEET_UNKNOWN},
		{"at most once: wrong answers", FLEET_ONCE, FLEET_FAILED},
		{"jobs accepted", FLEET_JOB, FLEET_ACCEPTED},
		{"jobs refused as not_run", FLEET_JOB, FLEET_NOT_RUN},
		{"jobs at most once accepted", FLEET_JOB_ONCE, FLEET_ACCEPTED},
		{"jobs at most once refused as not_run", FLEET_JOB_ONCE, FLEET_NOT_RUN},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (lines); i++)
		fleet_report (fleet, phase, lines[i].what,
			      (double)fleet_load_count (load, lines[i].kind, lines[i].verdict), -1);
}

static void
report_outcomes (struct fleet *fleet)
{
	static const struct {
		const char *what;
		const char *outcome;
	} lines[] = {
		{"jobs completed", "completed"}, {"jobs failed", "failed"},
		{"jobs not_run", "not_run"},     {"jobs unknown", "unknown"},
		{"jobs cancelled", "cancelled"},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (lines); i++) {
		int n = 0;
		for (guint j = 0; j < fleet->load->callers->len; j++) {
			const struct fleet_caller *caller = fleet->load->callers->pdata[j];
			n += g_str_equal (caller->job_outcome.data, lines[i].outcome);
		}
		fleet_report (fleet, phase, lines[i].what, n, -1);
	}
}

static void
report_audit (struct fleet *fleet, int64_t open)
{
	struct fleet_audit audit;
	if (!fleet_audit_run (fleet->load, fleet->options.run_log, &audit))
		fprintf (stderr, "fleet: the run log cannot be read\n");
	fleet_report (fleet, phase, "runs", (double)audit.runs, -1);
	fleet_report (fleet, phase, "attempts of idempotent jobs begun twice",
		      (double)audit.repeated_attempts, -1);
	fleet_report (fleet, phase, "duplicates", (double)audit.duplicates, 0);
	fleet_report (fleet, phase, "false not_run", (double)audit.false_not_run, 0);
	fleet_report (fleet, phase, "answered without a run", (double)audit.answered_without_run,
		      0);
	fleet_report (fleet, phase, "accepted jobs not accounted for", (double)open, 0);
}

static void
inject_all (struct fleet *fleet, int n_faults)
{
	int counts[FLEET_N_FAULTS] = {0};
	for (int i = 0; i < n_faults; i++) {
		counts[fleet_inject (fleet)]++;
		fleet_sleep (fleet,
			     g_rand_int_range (fleet->rng, INTERVAL_MIN_MS, INTERVAL_MAX_MS + 1));
	}
	for (int i = 0; i < FLEET_N_FAULTS; i++)
		fleet_report (fleet, phase, fleet_fault_names[i], counts[i], -1);
}

void
fleet_measure_faults (struct fleet *fleet)
{
	struct fleet_rates rates = {.idempotent = 20, .once = 30, .jobs = 3, .jobs_once = 4};
	fleet->poll_ms = POLL_MS;
	fleet_wait (fleet, fleet_all_ready, 0, READY_TIMEOUT_MS);
	fleet_load_begin (fleet, phase, &rates, REQUEST_TIMEOUT_MS);
	inject_all (fleet, fleet->options.quick ? N_FAULTS_QUICK : N_FAULTS);
	bool ready = fleet_inject_end (fleet);
	fleet_load_end (fleet);
	int64_t open = fleet_load_follow_jobs (fleet, JOBS_TIMEOUT_MS);
	fleet_report (fleet, phase, "not every process ready at the end", !ready, 0);
	report_callers (fleet);
	report_outcomes (fleet);
	report_audit (fleet, open);
	fleet_load_free (fleet);
	fleet_print_phase (fleet, phase);
}
