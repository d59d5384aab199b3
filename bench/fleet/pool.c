#include <inttypes.h>
#include <stdio.h>

#include "bench/fleet/fleet.h"
#include "bench/fleet/load.h"

/* Applies pool files through one process after another and measures the time from the call until
 * every process reports the new generation. */

#define N_APPLIES 200
#define N_APPLIES_QUICK 60
#define POLL_MS 15
#define APPLY_TIMEOUT_MS 20000
#define READY_TIMEOUT_MS 30000
#define BAR_MS 3000
#define REQUEST_TIMEOUT_MS 15000
#define PAUSE_MAX_MS 200
#define N_WEIGHTS 7

static const char phase[] = "pool";

/** Returns: the pool file with a weight that differs from that of the last application. */
static char *
pool_text (json_t *pool, int number)
{
	json_t *team = json_array_get (json_object_get (pool, "teams"), 0);
	json_object_set_new (team, "weight", json_integer (1 + number % N_WEIGHTS));
	return json_dumps (pool, JSON_COMPACT);
}

static int64_t
newest_generation (const struct fleet *fleet)
{
	int64_t newest = 0;
	for (int i = 0; i < fleet->n_processes; i++)
		newest = MAX (newest, fleet->processes[i].generation);
	return newest;
}

/* Returns: the time, ms; negative: the file was refused, or some process does not report it. */
static double
apply (struct fleet *fleet, json_t *pool, int number)
{
	g_autofree char *text = pool_text (pool, number);
	int64_t base = newest_generation (fleet);
	int64_t begun_ms = fleet_now_ms (fleet);
	const struct fleet_process *process = &fleet->processes[number % fleet->n_processes];
	struct fleet_answer answer =
		fleet_call (fleet, &process->address, EVHTTP_REQ_PUT, "/v1/pool", text, base);
	bool accepted = answer.outcome == DFF_HTTP_ANSWERED && answer.status == 200;
	if (!accepted)
		fprintf (stderr, "fleet: apply %d: %d %s\n", number, answer.status,
			 answer.body->str);
	fleet_answer_clear (&answer);
	if (!accepted || !fleet_wait (fleet, fleet_all_applied, base + 1, APPLY_TIMEOUT_MS))
		return -1;
	return (double)(fleet_now_ms (fleet) - begun_ms);
}

static int
apply_all (struct fleet *fleet, json_t *pool, int n_applies, GArray *times)
{
	int missed = 0;
	for (int i = 0; i < n_applies; i++) {
		double time_ms = apply (fleet, pool, i);
		if (time_ms < 0)
			missed++;
		else
			g_array_append_val (times, time_ms);
		fleet_sleep (fleet, g_rand_int_range (fleet->rng, 0, PAUSE_MAX_MS));
	}
	return missed;
}

void
fleet_measure_pool (struct fleet *fleet)
{
	int n_applies = fleet->options.quick ? N_APPLIES_QUICK : N_APPLIES;
	struct fleet_rates rates = {.idempotent = 20, .once = 5, .jobs = 2};
	g_autoptr (GArray) times = g_array_new (FALSE, FALSE, sizeof (double));
	json_t *pool = json_load_file (fleet->options.pool_path, 0, NULL);
	fleet->poll_ms = POLL_MS;
	fleet_wait (fleet, fleet_all_ready, 0, READY_TIMEOUT_MS);
	fleet_load_begin (fleet, phase, &rates, REQUEST_TIMEOUT_MS);
	int missed = apply_all (fleet, pool, n_applies, times);
	fleet_load_end (fleet);
	json_decref (pool);
	fleet_report (fleet, phase, "applies", n_applies, -1);
	fleet_report (fleet, phase, "refused or not in force everywhere", missed, 0);
	fleet_report (fleet, phase, "in force, median, ms", fleet_quantile (times, 0.5), -1);
	fleet_report (fleet, phase, "in force, worst, ms", fleet_quantile (times, 1), BAR_MS);
	fleet_load_free (fleet);
	fleet_print_phase (fleet, phase);
}
