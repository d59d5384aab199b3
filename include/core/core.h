#ifndef DFF_CORE_CORE_H
#define DFF_CORE_CORE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/cleanup.h"
#include "core/job.h"
#include "pool/pool.h"

/*
 * The decision core of one cell: tables of entities, and systems that run over them in each tick.
 * The core is deterministic: events and the time go in, commands come out. It does no I/O, has no
 * global state, reads no wall clock and draws no unseeded random number. No other part decides
 * which job runs where.
 *
 * Lifecycle of an attempt, with the commands (>) and the events (<) that answer them:
 *
 * > RECORD_START make the start intent, with every placement, durable < ATTEMPT_RECORDED it is
 * durable (or < ATTEMPT_REFUSED: it is not and will not be) > START_TASK one for each member; gangs
 * are started held (throttled to nothing) < TASK_STARTED the worker holds the member (or <
 * TASK_START_FAILED: proven not started) > RELEASE_TASK gangs only, once every member is held; from
 * here on the job may have run < TASK_COMPLETED / TASK_FAILED / TASK_LOST > CHECKPOINT_TASK
 * preemption: < TASK_CHECKPOINTED, then > STOP_TASK < TASK_STOPPED: stopped, or unknown and refused
 * from now on (tombstone) > RECORD_OUTCOME make the outcome durable; < OUTCOME_RECORDED frees the
 * entry
 *
 * Held members have not run, so a gang that fails before RELEASE_TASK is proven not run.
 */

struct dff_core;

struct dff_core_options {
	/** Seed of all random choices. */
	uint64_t seed;
	/** Time after START_TASK at which an unconfirmed member fails its attempt, ms. */
	int32_t start_timeout_ms;
	/** Time after CHECKPOINT_TASK at which STOP_TASK is sent even without an answer, ms. */
	int32_t checkpoint_grace_ms;
	/** Jobs that no worker can hold wait for one, and lost or rejected attempts are repeated
	 * without limit. Set where the list of workers lags behind, so that a job may become
	 * runnable later. */
	bool retry_without_limit;
	/** Blame points, for crashed workers of the job, at which it ends as failed; 0: no
	 * limit. */
	int32_t blame_limit;
	/** Blame points at which a job is placed in isolation; 0: never. */
	int32_t isolation_blame;
	/** Wait, on top of its estimated run time, after which a job's score is divided by four,
	 * ms; 0: as the pool's weights give it. */
	double ageing_ms;
	/** Length of a worker's first quarantine, ms; 0: the default. */
	int64_t quarantine_ms;
	/** Share of the expected run time within which a failure alone is enough to blame the
	 * worker; 0: the time of a failure is not considered. */
	double early_failure_share;
	/** Time that a job waits for capacity near its data before it is placed elsewhere, ms. */
	int64_t locality_wait_ms;
	/** Time that a gang that fits a rack waits for a whole rack before it is spread over
	 * several, ms; 0: without limit. */
	int64_t rack_wait_ms;
	/** As rack_wait_ms, for urgent gangs. */
	int64_t urgent_rack_wait_ms;
	/** Wait after which a job may use capacity that is kept free or reserved for others, while
	 * at most about half of the pool is in use, ms; 0: never. */
	int64_t low_load_wait_ms;
	/** Wait after which racks are reserved for a gang, ms. */
	int64_t rack_reservation_delay_ms;
	/** Time past the expected one after which a rack reservation is released, ms. */
	int64_t rack_reservation_grace_ms;
	/** Number of gangs that racks are reserved for at a time. */
	int32_t max_rack_reservations;
	/** Longest run of a job without checkpoints that is restarted when its worker stalls,
	 * ms. */
	int64_t stall_restart_max_ms;
	/** Run time that is lost when a task with checkpoints is stopped and started again, ms. */
	int64_t checkpoint_loss_ms;
	/** Work that may be lost by preempting for an urgent job, as a multiple of the job's own
	 * work; 0: no limit. */
	double evict_work_ratio;
	/** Wait after which evict_work_ratio does not apply to an urgent job within what its team
	 * is assured of, ms. */
	int64_t evict_unlimited_after_ms;
	/** Time constant with which headroom decays, ms; 0: no headroom. Headroom is the capacity
	 * that work of a priority leaves free for higher priorities, see core/headroom.c. */
	int64_t headroom_decay_ms;
	/** Wait after which work of the lowest priority leaves headroom for the highest one only,
	 * as a multiple of its expected run time; 0: never. */
	double headroom_wait_ratio;
	/** Whether single tasks are placed where the shapes that arrived recently lose least. */
	bool shape_order;
	/** Whether urgent work is placed in the rack where recorded shapes lose least, in place of
	 * the first rack with headroom. */
	bool shape_gang_order;
	/** Longest time that an urgent job with slack waits for capacity to come free before it
	 * stops other work, ms; 0: it does not wait. */
	int64_t evict_delay_ms;
	/** Whether victims are chosen such that few runs are stopped for a shape. */
	bool shape_victims;
	/** Time from a task's start to its first checkpoint, ms: single tasks are not started where
	 * urgent work is expected to stop them earlier; 0: they are started. */
	int64_t first_checkpoint_ms;
};

/** Fills in the defaults; docs/decisions/ gives the reasons for them. */
void dff_core_options_init (struct dff_core_options *options);

struct dff_core *dff_core_new (const struct dff_core_options *options);

void dff_core_free (struct dff_core *core);

DFF_DEFINE_CLEANUP (dff_core, dff_core_free);

enum dff_worker_state {
	DFF_WORKER_DOWN,
	DFF_WORKER_UP,
	/** Keeps running what it has; gets no new work. */
	DFF_WORKER_LEAVING,
	/** As DFF_WORKER_LEAVING, because its data centre is evacuated: it stays, and gets work
	 * again when the evacuation is reverted. */
	DFF_WORKER_EVACUATED,
	/** As DFF_WORKER_LEAVING, because its current capacity is not known. */
	DFF_WORKER_CAPACITY_UNKNOWN,
};

/** Placement of one member of a gang. */
struct dff_placement {
	struct dff_name worker;
	/** Bit i: accelerator i of the worker is leased to the member. */
	uint64_t accelerators;
};

enum dff_event_type {
	DFF_EVENT_JOB_SUBMITTED, /**< A job's row is committed. @spec. */
	DFF_EVENT_JOB_RECOVERED, /**< A row was found at a takeover. @spec, @recovered. */
	DFF_EVENT_JOB_CANCELLED, /**< @job. */
	/** @job, @blame: its blame points for workers that crashed while they ran it. Sent before
	 * the loss of the run concerned. */
	DFF_EVENT_JOB_BLAMED,
	DFF_EVENT_ATTEMPT_RECORDED,
	DFF_EVENT_ATTEMPT_REFUSED,
	DFF_EVENT_OUTCOME_RECORDED,
	DFF_EVENT_TASK_STARTED,
	DFF_EVENT_TASK_START_FAILED, /**< Proven not started: neither now nor later. */
	DFF_EVENT_TASK_REJECTED,     /**< Proven not started, for lack of capacity: not the worker's
					fault. */
	DFF_EVENT_TASK_CHECKPOINTED,
	DFF_EVENT_TASK_COMPLETED,
	/** A member has completed. Members of a gang only complete together: all others have
	 * completed too, whatever was reported of them before. */
	DFF_EVENT_GANG_COMPLETED,
	DFF_EVENT_TASK_FAILED,
	DFF_EVENT_TASK_STOPPED,  /**< Proven stopped; @ran: whether it ever ran. */
	DFF_EVENT_TASK_LOST,     /**< Its lease has expired: it no longer runs, and may have run. */
	DFF_EVENT_TASK_PROGRESS, /**< @percent of the task's work is done. */
	/** @worker, @peer_group, @duration_ms. Sent once per run, when enough progress was
	 * reported. */
	DFF_EVENT_TASK_DURATION,
	/** @worker, @worker_state, @leaves_in_ms. */
	DFF_EVENT_WORKER_STATE,
	/** The worker has restarted: earlier observations of it do not count any more. @worker. */
	DFF_EVENT_WORKER_RESTARTED,
	/** Tasks on a worker make no progress: the worker is quarantined, and its jobs that lose
	 * little are restarted elsewhere. @worker. */
	DFF_EVENT_WORKER_STALLED,
	DFF_EVENT_TASK_SAVED, /**< The running task has saved a checkpoint. */
};

/** State of an attempt as recorded, found at a takeover. */
struct dff_recovered_attempt {
	/** Last attempt whose start intent is durable; 0: none. */
	int32_t attempt;
	/** Whether that attempt is still open: its start intent is durable, its end is not. */
	bool open;
	/** Whether a cancellation is recorded. */
	bool cancelled;
	/** Elements: struct dff_placement, one for each member, of the open attempt. */
	const GArray *placements;
	/** Elements: bool, one for each member: whether the worker reported it running. */
	const GArray *running;
	/** Time since the attempt was recorded, ms. */
	int64_t age_ms;
};

/** An input. Members that its type does not name are ignored. */
struct dff_event {
	enum dff_event_type type;
	struct dff_name job;
	int32_t attempt;
	/** Index of the member in its gang. */
	int32_t member;
	const struct dff_job_spec *spec;
	const struct dff_recovered_attempt *recovered;
	struct dff_name worker;
	enum dff_worker_state worker_state;
	/** With DFF_WORKER_LEAVING: time until the worker leaves, ms; 0: not known. */
	int64_t leaves_in_ms;
	int32_t blame;
	bool ran;
	int32_t percent;
	/** Identifies the tasks of one step, which take about equally long. */
	uint64_t peer_group;
	/** Projected duration of the whole task on the worker, ms. */
	int64_t duration_ms;
};

enum dff_command_type {
	DFF_COMMAND_RECORD_START, /**< @job, @attempt, @placements. */
	DFF_COMMAND_START_TASK,   /**< @job, @attempt, @member, @placement, @held. */
	DFF_COMMAND_RELEASE_TASK,
	DFF_COMMAND_CHECKPOINT_TASK,
	DFF_COMMAND_STOP_TASK,
	DFF_COMMAND_RECORD_OUTCOME, /**< @job, @attempt, @outcome, @reason. */
	DFF_COMMAND_RECORD_RETRY,   /**< The attempt has ended and may be followed by another. */
};

/** An output. Members that its type does not name are zero. */
struct dff_command {
	enum dff_command_type type;
	struct dff_name job;
	int32_t attempt;
	int32_t member;
	struct dff_placement placement;
	bool held;
	/** Elements: struct dff_placement, one for each member. Owned by the core, valid until its
	 * next call. */
	const GArray *placements;
	enum dff_outcome outcome;
	/** Stable code of why a job ends or a task is stopped ("never_runnable",
	 * "attempts_exhausted", "worker_leaving", ...). Static. */
	const char *reason;
};

/**
 * dff_core_set_pool:
 * @pool: borrowed for the call only; the core copies what it needs
 *
 * Applies a pool. Running work stays; witness placements are packed again.
 */
void dff_core_set_pool (struct dff_core *core, const struct dff_pool *pool, int64_t now_ms);

/** Whether a job can ever run under the current pool. */
struct dff_admission {
	bool admitted;
	/** Stable code of why it is not admitted: "never_runnable", "unknown_team",
	 * "unknown_region", "quota". Static. */
	const char *reason;
};

/** Evaluates a job at submission, before anything is recorded. */
struct dff_admission dff_core_admit (const struct dff_core *core, const struct dff_job_spec *spec);

/** Handles one event. Events about jobs or attempts that are not current are ignored. */
void dff_core_handle_event (struct dff_core *core, const struct dff_event *event, int64_t now_ms);

/**
 * dff_core_tick:
 * @commands: elements: struct dff_command; emptied, then filled in the order of execution
 *
 * Runs every system once.
 */
void dff_core_tick (struct dff_core *core, int64_t now_ms, GArray *commands);

/** Time of the next tick that may have something to do without a new event; INT64_MAX: none. */
int64_t dff_core_next_wake_ms (const struct dff_core *core);

/** Returns: whether a worker's leases are within its capacity, which may have shrunk since. */
bool dff_core_worker_within_capacity (const struct dff_core *core, const struct dff_name *worker);

/** Number of task sizes for which the largest gang is measured: 1, 2, 4 and 8 accelerators. */
#define DFF_CORE_GANG_SIZES 4

struct dff_core_stats {
	/** Jobs by phase. @ended counts all since the core was created, so that the sum is the
	 * number of jobs that the core was given. */
	int64_t queued, starting, running, stopping, ended;
	int64_t reclaims, preemptions, moves, start_failures, retries;
	int64_t workers_up, workers_quarantined;
	/** Standard deviation of the workers' relative durations, as logarithms. */
	double duration_spread;
	/** Number of task durations kept to compare workers by. */
	int64_t duration_samples;
	int64_t accelerators_total, accelerators_free;
	/** Number of guaranteed shapes that do not fit on the workers that are up. */
	int64_t witnesses_missing;
	/** Share of free accelerators that the largest guaranteed rack shape cannot use, 0 to 1. */
	double fragmentation;
	/** Times a single bulk task was not started where urgent work is expected to stop it, and
	 * times an urgent job waited for free capacity before it stops other work. */
	int64_t bulk_holds, eviction_delays;
	/** Number of tasks of the largest gang that fits one rack now, by the accelerators of a
	 * task: 1, 2, 4 and 8. */
	int64_t largest_gangs[DFF_CORE_GANG_SIZES];
};

void dff_core_get_stats (const struct dff_core *core, struct dff_core_stats *stats);

enum dff_job_phase {
	DFF_JOB_PHASE_UNKNOWN,
	DFF_JOB_PHASE_QUEUED,
	DFF_JOB_PHASE_STARTING,
	DFF_JOB_PHASE_RUNNING,
	DFF_JOB_PHASE_STOPPING,
	DFF_JOB_PHASE_ENDED,
};

/** Returns: the phase of @job, DFF_JOB_PHASE_UNKNOWN when the core does not hold it. */
enum dff_job_phase dff_core_job_phase (const struct dff_core *core, const struct dff_name *job);

/**
 * dff_core_check:
 *
 * Verifies the invariants: no accelerator is leased twice, capacity is never exceeded, every
 * unclaimed guarantee that can be packed has a witness placement, every job is in one phase.
 *
 * Returns: (nullable): a description of the first violated invariant, to be freed with g_free().
 */
char *dff_core_check (const struct dff_core *core);

#endif
