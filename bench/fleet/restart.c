#include <stdio.h>

#include "bench/fleet/fleet.h"
#include "bench/fleet/load.h"

/* Restarts every process with SIGTERM, one after another, under load. */

#define POLL_MS 50
#define STOP_TIMEOUT_MS 60000
#define READY_TIMEOUT_MS 30000
#define REQUEST_TIMEOUT_MS 15000
/** Time in which the balancer detects that the new process is ready, ms. */
#define SETTLE_MS 1500
#define JOBS_TIMEOUT_MS 60000

static const char phase[] = "restart";

static bool
restart (struct fleet *fleet, int index)
{
	struct fleet_process *process = &fleet->processes[index];
	int64_t begun_ms = fleet_now_ms (fleet);
	fleet_signal (&process->name, "TERM");
	bool gone = fleet_wait (fleet, fleet_process_gone, index, STOP_TIMEOUT_MS);
	fleet_start (&process->name);
	bool ready = gone && fleet_wait (fleet, fleet_process_ready, index, READY_TIMEOUT_MS);
	if (!ready)
		fprintf (stderr, "fleet: %s: not ready %g s after its stop\n", process->name.data,
			 (double)(fleet_now_ms (fleet) - begun_ms) / 1000);
	fleet_sleep (fleet, SETTLE_MS);
	return ready;
}

static int64_t
count_lost (const struct fleet_load *load)
{
	int64_t lost = 0;
	for (guint i = 0; i < load->callers->len; i++) {
		const struct fleet_caller *caller = load->callers->pdata[i];
		if (caller->verdict == FLEET_ANSWERED || caller->verdict == FLEET_ACCEPTED)
			continue;
		lost++;
		fprintf (stderr, "fleet: %s: lost, kind %d, verdict %d, at %s, after %d tries\n",
			 caller->tag.data, caller->kind, caller->verdict,
			 load->fleet->processes[caller->process].name.data, caller->n_tries);
	}
	return lost;
}

void
fleet_measure_restart (struct fleet *fleet)
{
	struct fleet_rates rates = {.idempotent = 60, .once = 20, .jobs = 3, .jobs_once = 1};
	int missed = 0;
	fleet->poll_ms = POLL_MS;
	fleet_wait (fleet, fleet_all_ready, 0, READY_TIMEOUT_MS);
	fleet_load_begin (fleet, phase, &rates, REQUEST_TIMEOUT_MS);
	int64_t begun_ms = fleet_now_ms (fleet);
	for (int i = 0; i < fleet->n_processes; i++)
		missed += !restart (fleet, i);
	double took_s = (double)(fleet_now_ms (fleet) - begun_ms) / 1000;
	fleet_load_end (fleet);
	int64_t open = fleet_load_follow_jobs (fleet, JOBS_TIMEOUT_MS);
	const struct fleet_load *load = fleet->load;
	fleet_report (fleet, phase, "processes restarted", fleet->n_processes - missed, -1);
	fleet_report (fleet, phase, "not ready again", missed, 0);
	fleet_report (fleet, phase, "whole restart, s", took_s, -1);
	fleet_report (fleet, phase, "requests and jobs", (double)load->callers->len, -1);
	fleet_report (fleet, phase, "sent again", (double)load->n_retries, -1);
	fleet_report (fleet, phase, "slowest answer, ms", fleet_load_slowest (load), -1);
	fleet_report (fleet, phase, "requests lost", (double)count_lost (load), 0);
	fleet_report (fleet, phase, "accepted jobs not ended", (double)open, 0);
	fleet_load_free (fleet);
	fleet_print_phase (fleet, phase);
}
