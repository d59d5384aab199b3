#include "bench/fleet/inject.h"

#include <stdio.h>

/** Most processes and workers with a fault at one time. */
#define PROCESSES_DISTURBED_MAX 3
#define WORKERS_DISTURBED_MAX 8
/** Time after a start until the process may get another fault, ms. */
#define STARTING_MS 1500
#define READY_TIMEOUT_MS 60000

const char *const fleet_fault_names[FLEET_N_FAULTS] = {
	"processes killed", "holders killed", "processes paused", "holders paused",
	"store faults",     "workers killed", "worker faults",
};

/** Probability of each fault, percent. */
static const int weights[FLEET_N_FAULTS] = {9, 4, 5, 4, 28, 12, 38};

static int
random_between (struct fleet *fleet, int low, int high)
{
	return g_rand_int_range (fleet->rng, low, high + 1);
}

static int
n_disturbed (const struct fleet *fleet)
{
	int n = 0;
	for (int i = 0; i < fleet->n_processes; i++)
		n += fleet->processes[i].disturbed;
	return n;
}

static int
n_workers_disturbed (const struct fleet *fleet)
{
	int n = 0;
	for (int i = 0; i < fleet->n_workers; i++)
		n += fleet->workers[i].disturbed;
	return n;
}

static void
end_disturbance (struct fleet *fleet, int index)
{
	fleet->processes[index].disturbed = false;
}

static void
start_process (struct fleet *fleet, int index)
{
	fleet_start (&fleet->processes[index].name);
	fleet_repair_later (fleet, STARTING_MS, end_disturbance, index);
}

static void
continue_process (struct fleet *fleet, int index)
{
	fleet_signal (&fleet->processes[index].name, "CONT");
	end_disturbance (fleet, index);
}

static void
start_worker (struct fleet *fleet, int index)
{
	fleet_start (&fleet->workers[index].name);
	fleet->workers[index].disturbed = false;
}

static void
clear_worker_faults (struct fleet *fleet, int index)
{
	fleet_post_faults (fleet, &fleet->workers[index].address, "{}");
	fleet->workers[index].disturbed = false;
}

static void
clear_store_faults (struct fleet *fleet, int unused)
{
	(void)unused;
	fleet_post_faults (fleet, &fleet->options.platform, "{}");
}

static int
pick_process (struct fleet *fleet, bool holder)
{
	int index =
		holder ? fleet_holder (fleet) : random_between (fleet, 0, fleet->n_processes - 1);
	if (index < 0 || fleet->processes[index].disturbed ||
	    n_disturbed (fleet) >= PROCESSES_DISTURBED_MAX)
		return -1;
	fleet->processes[index].disturbed = true;
	return index;
}

static bool
kill_process (struct fleet *fleet, bool holder)
{
	int index = pick_process (fleet, holder);
	if (index < 0)
		return false;
	fleet_signal (&fleet->processes[index].name, "KILL");
	fleet_repair_later (fleet, random_between (fleet, 100, 1500), start_process, index);
	return true;
}

static bool
pause_process (struct fleet *fleet, bool holder)
{
	int index = pick_process (fleet, holder);
	if (index < 0)
		return false;
	int pause_ms =
		holder ? random_between (fleet, 3500, 6000) : random_between (fleet, 300, 6000);
	fleet_signal (&fleet->processes[index].name, "STOP");
	fleet_repair_later (fleet, pause_ms, continue_process, index);
	return true;
}

static char *
store_faults (struct fleet *fleet)
{
	switch (random_between (fleet, 0, 7)) {
	case 0:
		return g_strdup_printf ("{\"outage_ms\":%d}", random_between (fleet, 200, 2500));
	case 1:
		return g_strdup_printf ("{\"silent_ms\":%d}", random_between (fleet, 200, 1500));
	case 2:
		return g_strdup_printf ("{\"delay_min_ms\":10,\"delay_max_ms\":%d}",
					random_between (fleet, 20, 400));
	case 3:
		return g_strdup_printf ("{\"lose_answers\":%d}", random_between (fleet, 1, 4));
	case 4:
		return g_strdup_printf ("{\"lost_writes\":%d}", random_between (fleet, 1, 4));
	case 5:
		return g_strdup_printf ("{\"late_writes\":%d,\"late_ms\":%d}",
					random_between (fleet, 1, 4),
					random_between (fleet, 50, 2000));
	case 6:
		return g_strdup_printf ("{\"lose_permille\":%d,\"unavailable_permille\":%d}",
					random_between (fleet, 50, 400),
					random_between (fleet, 0, 200));
	default:
		return g_strdup_printf ("{\"late_permille\":%d,\"late_ms\":%d}",
					random_between (fleet, 50, 400),
					random_between (fleet, 50, 1500));
	}
}

static bool
disturb_store (struct fleet *fleet)
{
	g_autofree char *faults = store_faults (fleet);
	fleet_post_faults (fleet, &fleet->options.platform, faults);
	fleet_repair_later (fleet, random_between (fleet, 300, 2500), clear_store_faults, 0);
	return true;
}

static char *
worker_faults (struct fleet *fleet)
{
	switch (random_between (fleet, 0, 3)) {
	case 0:
		return g_strdup ("{\"silent\":true}");
	case 1:
		return g_strdup ("{\"silence_open\":true}");
	case 2:
		return g_strdup_printf ("{\"slow_ms\":%d}", random_between (fleet, 50, 1500));
	default:
		return g_strdup_printf ("{\"lose_answers\":%d}", random_between (fleet, 1, 6));
	}
}

static bool
disturb_worker (struct fleet *fleet, bool dies)
{
	int index = random_between (fleet, 0, fleet->n_workers - 1);
	struct fleet_worker *worker = &fleet->workers[index];
	if (worker->disturbed || n_workers_disturbed (fleet) >= WORKERS_DISTURBED_MAX)
		return false;
	g_autofree char *faults = dies ? g_strdup ("{\"die\":true}") : worker_faults (fleet);
	worker->disturbed = true;
	fleet_post_faults (fleet, &worker->address, faults);
	if (dies)
		fleet_repair_later (fleet, random_between (fleet, 100, 2000), start_worker, index);
	else
		fleet_repair_later (fleet, random_between (fleet, 300, 4000), clear_worker_faults,
				    index);
	return true;
}

static bool
inject (struct fleet *fleet, enum fleet_fault fault)
{
	switch (fault) {
	case FLEET_FAULT_KILL:
	case FLEET_FAULT_KILL_HOLDER:
		return kill_process (fleet, fault == FLEET_FAULT_KILL_HOLDER);
	case FLEET_FAULT_PAUSE:
	case FLEET_FAULT_PAUSE_HOLDER:
		return pause_process (fleet, fault == FLEET_FAULT_PAUSE_HOLDER);
	case FLEET_FAULT_STORE:
		return disturb_store (fleet);
	default:
		return disturb_worker (fleet, fault == FLEET_FAULT_WORKER_DIES);
	}
}

static enum fleet_fault
draw_fault (struct fleet *fleet)
{
	int at = random_between (fleet, 0, 99);
	int fault = 0;
	while (fault < FLEET_N_FAULTS - 1 && at >= weights[fault])
		at -= weights[fault++];
	return (enum fleet_fault)fault;
}

/* Draws again while the fault cannot be injected because its targets already have one; faults of
 * the store can always be injected. */
enum fleet_fault
fleet_inject (struct fleet *fleet)
{
	enum fleet_fault fault = draw_fault (fleet);
	while (!inject (fleet, fault))
		fault = draw_fault (fleet);
	return fault;
}

static bool
nothing_to_repair (struct fleet *fleet, int64_t unused)
{
	(void)unused;
	return fleet->repairs->len == 0;
}

bool
fleet_inject_end (struct fleet *fleet)
{
	fleet_wait (fleet, nothing_to_repair, 0, READY_TIMEOUT_MS);
	clear_store_faults (fleet, 0);
	return fleet_wait (fleet, fleet_all_ready, 0, READY_TIMEOUT_MS);
}
