#ifndef DFF_BENCH_FLEET_INJECT_H
#define DFF_BENCH_FLEET_INJECT_H

#include "bench/fleet/fleet.h"

/* Faults of processes, the platform and workers, drawn from the fleet's seed; each is undone by the
 * loop after its time. */

enum fleet_fault {
	FLEET_FAULT_KILL,
	FLEET_FAULT_KILL_HOLDER,
	FLEET_FAULT_PAUSE,
	/** Past its lease. */
	FLEET_FAULT_PAUSE_HOLDER,
	FLEET_FAULT_STORE,
	FLEET_FAULT_WORKER_DIES,
	FLEET_FAULT_WORKER,
	FLEET_N_FAULTS,
};

/** Names of the faults, for the report. */
extern const char *const fleet_fault_names[FLEET_N_FAULTS];

/** Injects one fault. Returns: which. */
enum fleet_fault fleet_inject (struct fleet *fleet);

/** Undoes what is left and waits until every process is ready. Returns: whether they are. */
bool fleet_inject_end (struct fleet *fleet);

#endif
