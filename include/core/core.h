#ifndef DFF_CORE_CORE_H
#define DFF_CORE_CORE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/cleanup.h"
#include "core/job.h"
#include "pool/pool.h"

/*
 * The decision core of one cell: tables of entities and systems that run over them each tick. Pure:
 * input is events and a time, output is commands. No I/O, no global state, no wall clock, no
 * unseeded random number. The only part that may decide who runs where.
 *
 * Life of an attempt, with the commands (>) and the events (<) that answer them:
 *
 *   > RECORD_START      the start intent, with every placement, is to be made durable
 *   < ATTEMPT_RECORDED  it is (or < ATTEMPT_REFUSED: it was not and will not be)
 *   > START_TASK        one for each member; gangs are started held (throttled to nothing)
 *   < TASK_STARTED      the worker holds the member (or < TASK_START_FAILED: proven not started)
 *   > RELEASE_TASK      gangs only, once every member is held: from here on the job may have run
 *   < TASK_COMPLETED / TASK_FAILED / TASK_LOST
 *   > CHECKPOINT_TASK   preemption: < TASK_CHECKPOINTED, then
 *   > STOP_TASK         < TASK_STOPPED: stopped, or never seen and refused from now on (tombstone)
 *   > RECORD_END        the outcome is to be made durable; < OUTCOME_RECORDED frees the entry
 *
 * Because held members have not run, a gang that fails before RELEASE_TASK is proven not run.
 */

struct dff_core;

struct dff_core_options {
	/** Seed of every random choice. */
	uint64_t seed;
	/** A member not confirmed this long after START_TASK fails its attempt, ms. */
	int32_t start_timeout_ms;
	/** Time from CHECKPOINT_TASK until STOP_TASK is sent regardless, ms. */
	int32_t checkpoint_grace_ms;
	/** Jobs that no worker could hold wait for one, and lost or rejected attempts are repeated
	 * without limit: the list of workers lags, so that today's answer may be wrong. */
	bool retry_without_limit;
	/** Points against a job, for workers that ended under it, at which it is given up; 0: it
	 * never is for that reason. */
	int32_t blame_limit;
	/** Points at which it is placed where least else runs; 0: it never is for that reason. */
	int32_t isolation_blame;
	/** Wait after which a job's score is divided by four, on top of its own estimate, ms; 0:
	 * what the pool's weights say. */
	double ageing_ms;
	/** First stay of a worker in quarantine, ms; 0: the default. */
	int64_t quarantine_ms;
	/** Share of its expected run time within which a run's failure counts as the worker's fault
	 * alone; 0: time does not tell. */
	double early_failure_share;
	/** How long a job waits for room near its data before it goes elsewhere, ms. */
	int64_t locality_wait_ms;
	/** How long a gang that fits a rack waits for a whole one before it spreads, ms; 0: for
	 * ever. */
	int64_t rack_wait_ms;
	/** The same for urgent gangs. */
	int64_t urgent_rack_wait_ms;
	/** Wait after which a job gets room that is kept from it for the sake of others, as long as
	 * less than half of the pool is in use, ms; 0: never. */
	int64_t low_load_wait_ms;
	/** Wait after which racks are kept for a gang, ms. */
	int64_t rack_reservation_delay_ms;
	/** Time past the expected one that they are kept, ms. */
	int64_t rack_reservation_grace_ms;
	/** Gangs at once for which racks are kept. */
	int32_t max_rack_reservations;
	/** Run time up to which a job without checkpoints is started anew when its worker stalls,
	 * ms. */
	int64_t stall_restart_max_ms;
	/** Run time that is lost when a task with checkpoints is stopped and started again, ms. */
	int64_t checkpoint_loss_ms;
	/** Work that an urgent job may throw away to get its place, in times the work that it does
	 * itself; 0: any. */
	double evict_work_ratio;
	/** Wait after which an urgent job whose team has a right to its accelerators throws away
	 * any, ms. */
	int64_t evict_unlimited_after_ms;
	/** Time constant with which headroom shrinks again, ms: the room that work of a priority
	 * leaves free for work before it, see core/headroom.c. 0: none is left. */
	int64_t headroom_decay_ms;
	/** Wait after which work of the last priority leaves headroom for the first alone, in times
	 * its expected run time; 0: never. */
	double headroom_wait_ratio;
};

/** Fills in the defaults that docs/decisions/ gives reasons for. */
void dff_core_options_init (struct dff_core_options *options);

struct dff_core *dff_core_new (const struct dff_core_options *options);

void dff_core_free (struct dff_core *core);

DFF_DEFINE_CLEANUP (dff_core, dff_core_free);

enum dff_worker_state {
	DFF_WORKER_DOWN,
	DFF_WORKER_UP,
	/** Runs what it has; gets nothing new. */
	DFF_WORKER_LEAVING,
	/** The same, because its data centre is evacuated: it stays, and gets work again when the
	 * data centre is taken back. */
	DFF_WORKER_EVACUATED,
	/** The same, because nobody knows what room it has by now. */
	DFF_WORKER_CAPACITY_UNKNOWN,
};

/** Where one member of a gang runs. */
struct dff_placement {
	struct dff_name worker;
	/** Bit i: accelerator i of the worker is leased to the member. */
	uint64_t accelerators;
};

enum dff_event_type {
	DFF_EVENT_JOB_SUBMITTED, /**< A job's row is committed. @spec. */
	DFF_EVENT_JOB_RECOVERED, /**< A row found at take-over. @spec, @recovered. */
	DFF_EVENT_JOB_CANCELLED, /**< @job. */
	/** @job, @blame: what counts against it now for workers that ended under it. Told before
	 * the loss of the run that it is about. */
	DFF_EVENT_JOB_BLAMED,
	DFF_EVENT_ATTEMPT_RECORDED,
	DFF_EVENT_ATTEMPT_REFUSED,
	DFF_EVENT_OUTCOME_RECORDED,
	DFF_EVENT_TASK_STARTED,
	DFF_EVENT_TASK_START_FAILED, /**< Proven not started, now or later. */
	DFF_EVENT_TASK_REJECTED,     /**< The same, for want of room: not the worker's fault. */
	DFF_EVENT_TASK_CHECKPOINTED,
	DFF_EVENT_TASK_COMPLETED,
	/** A member has completed, which members of a gang only do together: the others have too,
	 * whatever was said of them before. */
	DFF_EVENT_GANG_COMPLETED,
	DFF_EVENT_TASK_FAILED,
	DFF_EVENT_TASK_STOPPED,  /**< Proven stopped; @ran tells whether it ever ran. */
	DFF_EVENT_TASK_LOST,     /**< Its lease has lapsed: it no longer runs, and may have run. */
	DFF_EVENT_TASK_PROGRESS, /**< @percent of the task's work is done. */
	/** @worker, @peer_group, @duration_ms. Told once a run, as soon as its progress tells. */
	DFF_EVENT_TASK_DURATION,
	/** @worker, @worker_state, @leaves_in_ms. */
	DFF_EVENT_WORKER_STATE,
	/** The worker has started again: what was seen of it before does not count. @worker. */
	DFF_EVENT_WORKER_RESTARTED,
	/** Tasks on a worker stand still: it goes to quarantine, and what has little to lose runs
	 * elsewhere. @worker. */
	DFF_EVENT_WORKER_STALLED,
};

/** State of an attempt found on record at take-over. */
struct dff_recovered_attempt {
	/** Last attempt whose start intent is durable; 0: never. */
	int32_t attempt;
	/** Whether that attempt is still open (intent durable, no end durable). */
	bool open;
	/** Whether a cancellation is on record. */
	bool cancelled;
	/** Elements: struct dff_placement, one a member, of the open attempt. */
	const GArray *placements;
	/** Elements: bool: whether the worker said that it runs the member. */
	const GArray *running;
	/** How long ago the attempt was recorded, ms. */
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
	/** With DFF_WORKER_LEAVING: how long the worker is there still, ms; 0: not known. */
	int64_t leaves_in_ms;
	int32_t blame;
	bool ran;
	int32_t percent;
	/** The tasks of one step, which are alike. */
	uint64_t peer_group;
	/** What the whole task takes on the worker, ms. */
	int64_t duration_ms;
};

enum dff_command_type {
	DFF_COMMAND_RECORD_START, /**< @job, @attempt, @placements. */
	DFF_COMMAND_START_TASK,   /**< @job, @attempt, @member, @placement, @held. */
	DFF_COMMAND_RELEASE_TASK,
	DFF_COMMAND_CHECKPOINT_TASK,
	DFF_COMMAND_STOP_TASK,
	DFF_COMMAND_RECORD_OUTCOME, /**< @job, @attempt, @outcome, @reason. */
	DFF_COMMAND_RECORD_RETRY,   /**< The attempt is over and may be followed by another. */
};

/** An output. Members that its type does not name are zero. */
struct dff_command {
	enum dff_command_type type;
	struct dff_name job;
	int32_t attempt;
	int32_t member;
	struct dff_placement placement;
	bool held;
	/** Elements: struct dff_placement, one a member. Owned by the core, valid until its next
	 * call. */
	const GArray *placements;
	enum dff_outcome outcome;
	/** Stable code of why an end is or a task is stopped ("never_runnable",
	 * "attempts_exhausted", "worker_leaving", ...). Static. */
	const char *reason;
};

/**
 * dff_core_set_pool:
 * @pool: borrowed for the call only; the core copies what it needs
 *
 * Puts a pool in force. Running work stays; witnesses are packed again.
 */
void dff_core_set_pool (struct dff_core *core, const struct dff_pool *pool, int64_t now_ms);

/** Whether a job can ever run under the pool in force. */
struct dff_admission {
	bool admitted;
	/** Stable code when not: "never_runnable", "unknown_team", "unknown_region", "quota".
	 * Static. */
	const char *reason;
};

/** Judges a job at submission, before anything is recorded. */
struct dff_admission dff_core_admit (const struct dff_core *core, const struct dff_job_spec *spec);

/** Takes one event in. Events about jobs or attempts that are not current are ignored. */
void dff_core_handle_event (struct dff_core *core, const struct dff_event *event, int64_t now_ms);

/**
 * dff_core_tick:
 * @commands: elements: struct dff_command; emptied, then filled in the order to be carried out
 *
 * Runs every system once.
 */
void dff_core_tick (struct dff_core *core, int64_t now_ms, GArray *commands);

/** Time of the next tick that may have something to do without a new event; INT64_MAX: none. */
int64_t dff_core_next_wake_ms (const struct dff_core *core);

/** Returns: whether a worker has room for all that it was given: it may have shrunk since. */
bool dff_core_worker_within_capacity (const struct dff_core *core, const struct dff_name *worker);

struct dff_core_stats {
	/** Jobs by phase; @ended counts all since the core was made, so that the sum is what it was
	 * given. */
	int64_t queued, starting, running, stopping, ended;
	int64_t reclaims, preemptions, moves, start_failures, retries;
	int64_t workers_up, workers_quarantined;
	/** Spread of the workers' paces, as a deviation of logarithms of time. */
	double duration_spread;
	/** Tasks whose times are kept to tell. */
	int64_t duration_samples;
	int64_t accelerators_total, accelerators_free;
	/** Guaranteed shapes that no longer fit on the workers that are up. */
	int64_t witnesses_missing;
	/** Share of free accelerators that the largest adjacent shape cannot use, 0 to 1. */
	double fragmentation;
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
 * Verifies the invariants: no accelerator leased twice, capacity never exceeded, a witness packing
 * for every unclaimed guarantee that can be packed, every job in one phase.
 *
 * Returns: (nullable): the first broken one in words, to be freed with g_free().
 */
char *dff_core_check (const struct dff_core *core);

#endif
