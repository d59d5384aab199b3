#ifndef DFF_CORE_RESTART_H
#define DFF_CORE_RESTART_H

#include <stdbool.h>
#include <stdint.h>

#include "core/objective.h"

/* Whether a unit that would be late where it runs is stopped and started again on other workers,
 * and how long a standstill of its progress is tolerated. Pure: no clock and no state of its own.
 */

/** Lowest priority whose units are restarted; lower ones are bulk work. */
#define DFF_RESTART_LAST_PRIORITY 1
/** Longest time from the decision to stop a run until it has stopped, ms. */
#define DFF_RESTART_STOP_MS 900
/** Longest time from the next placement until the tasks work, ms. */
#define DFF_RESTART_START_MS 600

struct dff_restart_input {
	/** (nullable): the objective with its present age; NULL: the unit has none. */
	const struct dff_objective *objective;
	int32_t priority;
	/** Whether the unit was started more than once, and whether it has failed. */
	bool restarted;
	bool failed;
	/** Duration of the unit that its caller declared, ms. */
	int64_t declared_ms;
	/** Duration of the whole unit on workers of average speed, ms; 0: not known. */
	int64_t typical_ms;
	/** Least time until the unit ends where it runs, ms. Not considered for a unit that stands
	 * still. */
	int64_t remaining_ms;
	/** Duration of the whole unit on the workers that it would get now, ms; 0: there is no
	 * capacity. */
	int64_t elsewhere_ms;
	/** Work that a checkpoint preserves, percent, and the time to restore it, ms; the rest is
	 * discarded. */
	int32_t kept_percent;
	int64_t restore_ms;
	/** Time for which the progress has stood still, ms; 0: it does not. */
	int64_t standing_ms;
	/** Whether it has stood still since the start of the run. */
	bool standing_since_start;
	/** Longest time until the next report of the worker, ms. */
	int64_t next_report_ms;
};

enum dff_restart_reason {
	/** Restarted: too slow where it runs. */
	DFF_RESTART_SLOW,
	/** Restarted: its progress stands still. */
	DFF_RESTART_STANDING,
	/** From here on kept: bulk work, or without an objective. */
	DFF_RESTART_KEPT_BULK,
	DFF_RESTART_KEPT_RESTARTED,
	DFF_RESTART_KEPT_FAILED,
	/** Nothing shows how long the unit takes elsewhere. */
	DFF_RESTART_KEPT_UNKNOWN,
	DFF_RESTART_KEPT_IN_TIME,
	/** Progress may only be too slow to show in the reports. */
	DFF_RESTART_KEPT_UNPROVEN,
	/** It can wait for the next report and still be restarted in time. */
	DFF_RESTART_KEPT_TOLERATED,
	DFF_RESTART_KEPT_NO_CAPACITY,
	/** It would be late elsewhere too. */
	DFF_RESTART_KEPT_LATE_ELSEWHERE,
	/** It may end where it runs before it would elsewhere. */
	DFF_RESTART_KEPT_NO_GAIN,
};

#define DFF_RESTART_N_REASONS (DFF_RESTART_KEPT_NO_GAIN + 1)

struct dff_restart_decision {
	enum dff_restart_reason reason;
	/** The objective, and the time from the submission until the job would end if the unit is
	 * kept, and if it is restarted, ms; 0: not computed. */
	int64_t objective_ms;
	int64_t kept_end_ms;
	int64_t restarted_end_ms;
};

/** Returns: whether the kind of unit and its history allow a restart. Only @objective, @priority,
 * @restarted and @failed are read. */
bool dff_restart_is_allowed (const struct dff_restart_input *input);

/** Decides. DFF_RESTART_KEPT_NO_CAPACITY is returned only where everything but the capacity and
 * the speed of the other workers calls for a restart. */
struct dff_restart_decision dff_restart_decide (const struct dff_restart_input *input);

bool dff_restart_is_restart (enum dff_restart_reason reason);

/** Returns: the shortest standstill that counts, ms. */
int64_t dff_restart_least_standstill_ms (int64_t typical_ms, bool since_start);

/** Returns: the reason's name in logs and metrics ("slow", "no_capacity", ...). Static. */
const char *dff_restart_reason_name (enum dff_restart_reason reason);

#endif
