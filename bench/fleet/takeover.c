#include <stdio.h>

#include "bench/fleet/fleet.h"
#include "bench/fleet/load.h"

/* Kills the holder with SIGKILL, repeatedly, while callers send short requests. */

#define N_KILLS 30
#define N_KILLS_QUICK 8
#define POLL_MS 20
#define READY_TIMEOUT_MS 30000
#define TAKEOVER_TIMEOUT_MS 30000
#define REQUEST_TIMEOUT_MS 15000
#define REQUESTS_PER_S 60

static const char phase[] = "takeover";

static bool
has_holder_above (struct fleet *fleet, int64_t epoch)
{
	int holder = fleet_holder (fleet);
	return holder >= 0 && fleet->processes[holder].epoch > epoch;
}

/* Measures the time until another process holds the cell and has rebuilt its tables. Returns: false
 * when none does within the timeout. */
static bool
kill_holder (struct fleet *fleet, double *takeover_ms)
{
	if (!fleet_wait (fleet, fleet_all_ready, 0, READY_TIMEOUT_MS)) {
		fprintf (stderr, "fleet: not every process is ready\n");
		return false;
	}
	const struct fleet_process *killed = &fleet->processes[fleet_holder (fleet)];
	int64_t begun_ms = fleet_now_ms (fleet);
	int64_t epoch = killed->epoch;
	fleet_signal (&killed->name, "KILL");
	bool taken = fleet_wait (fleet, has_holder_above, epoch, TAKEOVER_TIMEOUT_MS);
	*takeover_ms = (double)(fleet_now_ms (fleet) - begun_ms);
	fleet_start (&killed->name);
	return taken;
}

void
fleet_measure_takeover (struct fleet *fleet)
{
	int n_kills = fleet->options.quick ? N_KILLS_QUICK : N_KILLS;
	struct fleet_rates rates = {.idempotent = REQUESTS_PER_S};
	g_autoptr (GArray) times = g_array_new (FALSE, FALSE, sizeof (double));
	int missed = 0;
	fleet->poll_ms = POLL_MS;
	fleet_wait (fleet, fleet_all_ready, 0, READY_TIMEOUT_MS);
	fleet_load_begin (fleet, phase, &rates, REQUEST_TIMEOUT_MS);
	for (int i = 0; i < n_kills; i++) {
		double time_ms = 0;
		if (kill_holder (fleet, &time_ms))
			g_array_append_val (times, time_ms);
		else
			missed++;
	}
	fleet_load_end (fleet);
	const struct fleet_load *load = fleet->load;
	fleet_report (fleet, phase, "kills of the holder", n_kills, -1);
	fleet_report (fleet, phase, "without a new holder", missed, 0);
	fleet_report (fleet, phase, "take-over, median, ms", fleet_quantile (times, 0.5), -1);
	fleet_report (fleet, phase, "take-over, worst, ms", fleet_quantile (times, 1), -1);
	fleet_report (fleet, phase, "requests", (double)load->callers->len, -1);
	fleet_report (fleet, phase, "requests sent again", (double)load->n_retries, -1);
	fleet_report (fleet, phase, "slowest request, ms", fleet_load_slowest (load), -1);
	fleet_report (fleet, phase, "requests failed",
		      (double)fleet_load_count (load, FLEET_IDEMPOTENT, FLEET_FAILED), 0);
	fleet_load_free (fleet);
	fleet_print_phase (fleet, phase);
}
