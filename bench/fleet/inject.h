#ifndef DFF_BENCH_FLEET_INJECT_H
#define DFF_BENCH_FLEET_INJECT_H

#include "bench/fleet/fleet.h"

/* Injects faults of processes, the platform and workers, chosen by the fleet's seed; the loop
 * undoes each after its duration. */

enum fleet_fault {
	FLEET_FAULT_KILL,
	FLEET_FAULT_KILL_HOLDER,
	FLEET_FAULT_PAUSE,
	/** For longer than the lease of the cell. */
	FLEET_FAULT_PAUSE_HOLDER,
	FLEET_FAULT_STORE,
	FLEET_FAULT_WORKER_DIES,
	FLEET_FAULT_WORKER,
	FLEET_N_FAULTS,
};

/** Names of the faults, for the report. */
extern const char *const fleet_fault_names[FLEET_N_FAULTS];

/** Injects one fault. Returns: its type. */
enum fleet_fault fleet_inject (struct fleet *fleet);

/** Waits until all faults are undone and every process is ready. Returns: whether all are. */
bool fleet_inject_end (struct fleet *fleet);

#endif
