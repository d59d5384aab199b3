#ifndef DFF_CORE_CORE_TABLES_H
#define DFF_CORE_CORE_TABLES_H

#include "core/core.h"
#include "core/shapes.h"

/* Tables of the decision core. Entities refer to each other by index into their table. Jobs, which
 * are added and removed often, are referred to by pointer. */

/** Index that refers to no entity. */
#define DFF_CORE_NONE (-1)

/** Time after which an unanswered STOP_TASK is sent again, ms. */
#define DFF_CORE_STOP_REPEAT_MS 5000
/** Backoff before a job is placed again after a refused record, ms: doubles up to a limit. */
#define DFF_CORE_RETRY_MIN_MS 250
#define DFF_CORE_RETRY_MAX_MS 15000
/** Number of attempts that end proven not started before the job is ended. */
#define DFF_CORE_START_FAILURES_MAX 8
/** Time after which a reservation is cancelled when its victims have not ended, ms. */
#define DFF_CORE_RESERVE_MAX_MS 15000
/** Attempts lost with their worker before the job is ended, on top of its own max_attempts. */
#define DFF_CORE_LOSSES_MAX 5

/** Number of workers that may be scanned for victims between two reviews, and number of placements
 * that may preempt in that time. Urgent work is not limited. */
#define DFF_CORE_EVICTION_SCANS_MAX 4000
#define DFF_CORE_EVICTIONS_MAX 8
/** Interval at which the queue is reviewed even if no capacity came free, ms. */
#define DFF_CORE_REVIEW_MS 1000
/** Maximum number of workers remembered for a job as those on which it has failed. */
#define DFF_CORE_AVOIDED_MAX 4

/** Number of distinct priorities; the last one stands for all lower ones. */
#define DFF_CORE_PRIORITIES 3

enum dff_core_health {
	DFF_CORE_HEALTHY,
	DFF_CORE_QUARANTINED,
	/** May get one job as a probe, to test whether jobs still fail there. */
	DFF_CORE_PROBING,
};

struct dff_core_worker {
	struct dff_name name;
	/** Index of its rack; DFF_CORE_NONE when the pool does not declare the worker any more. */
	int32_t rack;
	enum dff_worker_state state;
	/** Accelerators of single tasks here that may be preempted: without and with checkpoints.
	 */
	int16_t singles[2];
	/** Time at which it leaves, in DFF_WORKER_LEAVING; 0: not known. */
	int64_t leaves_ms;
	struct dff_resources capacity;
	/** Indices of its labels; DFF_CORE_NONE in unused entries. */
	int32_t labels[DFF_WORKER_LABELS_MAX];
	/** Leased to members of attempts. */
	struct dff_resources used;
	/** Reserved for jobs that wait until their victims have ended. */
	struct dff_resources reserved;
	/** What work that may not be preempted holds, plus what witness placements need. Never more
	 * than @capacity on a usable worker, so that a claim always finds a placement. */
	struct dff_resources bound;
	/** The part of @bound that witness placements need. */
	struct dff_resources witnesses;
	/** Bit i: accelerator i is leased. */
	uint64_t leased;
	/** Share of its region's accelerators that are on workers before it, 0 to 1. The last
	 * workers are the first to be kept free as headroom. */
	float headroom_rank;
	enum dff_core_health health;
	/** Number of different jobs that failed here since the last success. */
	int32_t failure_streak;
	/** Hash of the job that failed last; 0: none. */
	guint last_failed;
	/** Number of quarantines since it was last healthy. */
	int32_t quarantines;
	/** Whether more is used than the capacity: the pool shrank, or recovered rows claim too
	 * much. */
	bool overloaded;
	/** Whether recovered rows claim the same accelerators. */
	bool overlapping;
	/** Estimated duration of tasks here relative to the mean of all workers: natural logarithm,
	 * in thousandths. */
	int16_t relative_duration;
	/** Time of the last failure of a run here; 0: never. */
	int64_t failed_ms;
	/** End of its quarantine, or of the wait for a probe. */
	int64_t health_due_ms;
	/** Elements: struct dff_core_job *, one for each member that holds a lease here. */
	GPtrArray *occupants;
};

struct dff_core_region {
	struct dff_name name;
	/** Accelerators of its declared workers. */
	int32_t accelerators;
	/** Accelerators of jobs that have not ended, by priority. */
	int32_t demand[DFF_CORE_PRIORITIES];
	/** By priority: share of the accelerators that work of the priority leaves free; 0 to 1, or
	 * more when demand exceeds the region. */
	double headroom[DFF_CORE_PRIORITIES];
	/** Time at which @headroom was last updated. */
	int64_t headroom_ms;
	/** Shapes of its work that arrived recently; parallel to its records: how many fit, in
	 * units of dff_shape_units() and as gangs when last reviewed. */
	struct dff_shapes shapes;
	int64_t shape_units[DFF_SHAPES_MAX];
	int64_t shape_gangs[DFF_SHAPES_MAX];
	/** Bit i: record i is of urgent work, and at most one gang of it fits. */
	uint64_t scarce_shapes;
};

/** What it means for the recorded shapes to place a single task in a rack. */
struct dff_core_rack_choice {
	/** Sort key of the rack, lowest first. */
	int32_t order;
	/** Bit i: fewer gangs of record i fit then. */
	uint64_t lost;
};

/** The free capacity of a rack by shape, computed again when the rack has changed. */
struct dff_core_rack_shapes {
	bool is_stale;
	struct dff_rack_fits fits;
	/** Parallel to the records of the region: what is counted for the rack. */
	int32_t units[DFF_SHAPES_MAX];
	/** Whether a recorded gang fits. */
	bool any_fits;
	/** By accelerators of a task, and whether it saves checkpoints. Bit 2 * accelerators +
	 * checkpoint of @known: the element is valid. */
	struct dff_core_rack_choice choices[DFF_SHAPE_SIZES + 1][2];
	uint32_t known;
};

struct dff_core_rack {
	struct dff_name name;
	/** Index of its name among the labels. */
	int32_t label;
	int32_t region;
	/** (nullable): the waiting gang that the rack is reserved for, and the time at which the
	 * rack is expected to be free for it. */
	struct dff_core_job *reserved_for;
	int64_t expected_free_ms;
	/** Elements: int32_t, indices of workers. */
	GArray *workers;
	/** Free accelerators on usable workers. */
	int32_t free_accelerators;
	/** Accelerators and slots on usable workers. */
	int32_t accelerators;
	int32_t slots;
	struct dff_core_rack_shapes shapes;
};

/** Accelerators of one worker in a witness placement. */
struct dff_core_part {
	int32_t worker;
	int32_t count;
	/** Those of @count that are held by jobs that claim the shape. */
	int32_t claimed;
};

/** One guaranteed gang and its witness placement: where it can be claimed now. */
struct dff_core_shape {
	int32_t team;
	/** Region it has to be in; DFF_CORE_NONE: any. */
	int32_t region;
	int32_t size;
	/** Sum of the parts; less than @size when the shape fits nowhere. */
	int32_t packed;
	int32_t claimed;
	/** Accelerators of the guaranteed jobs that it covers, wherever they run. */
	int32_t covered;
	/** Elements: struct dff_core_part. */
	GArray *parts;
};

struct dff_core_team {
	struct dff_name name;
	bool declared;
	int32_t quota_accelerators;
	int32_t max_queued;
	int32_t assured_accelerators;
	/** Accelerators of its urgent jobs that have not ended. */
	int32_t urgent_accelerators;
	int32_t weight;
	/** Number of jobs that have not ended. */
	int32_t n_jobs;
	/** Leased to its jobs. */
	struct dff_resources used;
	/** Guaranteed jobs that no shape covers, oldest first. */
	GQueue uncovered;
};

struct dff_core_estimator;

enum dff_core_state {
	DFF_CORE_QUEUED,
	/** Waits for its backoff to elapse. */
	DFF_CORE_DELAYED,
	/** Has its workers assigned and waits until the victims on them have ended. */
	DFF_CORE_RESERVED,
	/** Leases are held; the start intent is being written to the store. */
	DFF_CORE_RECORDING,
	DFF_CORE_STARTING,
	DFF_CORE_RUNNING,
	DFF_CORE_CHECKPOINTING,
	DFF_CORE_STOPPING,
	/** The outcome is being written to the store. */
	DFF_CORE_ENDING,
};

enum dff_core_member_state {
	DFF_CORE_MEMBER_IDLE, /**< Nothing was sent. */
	DFF_CORE_MEMBER_SENT,
	DFF_CORE_MEMBER_STARTED,
	DFF_CORE_MEMBER_CHECKPOINTED,
	/** From this state on the member has ended and holds no lease. */
	DFF_CORE_MEMBER_COMPLETED,
	DFF_CORE_MEMBER_FAILED,
	DFF_CORE_MEMBER_STOPPED,
	DFF_CORE_MEMBER_LOST,
	DFF_CORE_MEMBER_START_FAILED,
};

struct dff_core_member {
	int32_t worker;
	enum dff_core_member_state state;
	/** Whether it counts in its worker's bound resources, or in a part of the claimed shape. */
	bool bound;
	/** Whether it may have run. */
	bool ran;
};

/** Why an attempt is stopped early. */
enum dff_core_stop_cause {
	DFF_CORE_STOP_NONE,
	DFF_CORE_STOP_CANCELLED,
	DFF_CORE_STOP_PREEMPTED,
	DFF_CORE_STOP_MEMBER_ENDED, /**< Another member ended without completing. */
	DFF_CORE_STOP_START_TIMEOUT,
	DFF_CORE_STOP_RECOVERY,
};

/** Why a job is preempted. */
enum dff_core_preempt_cause {
	/** Another job needs the capacity. */
	DFF_CORE_PREEMPT_CAPACITY,
	/** A whole piece of a rack comes free when the job moves. */
	DFF_CORE_PREEMPT_DEFRAG,
	DFF_CORE_PREEMPT_WORKER_STALLED,
	DFF_CORE_PREEMPT_WORKER_LEAVING,
};

/** On what terms a job holds its resources. */
enum dff_core_hold {
	/** Borrows, and may be preempted. */
	DFF_CORE_HOLD_SOFT,
	/** Borrows what no witness placement needs, and may not be preempted. */
	DFF_CORE_HOLD_HARD,
	/** Holds part of a guaranteed shape of its team. */
	DFF_CORE_HOLD_CLAIM,
};

struct dff_core_class;

struct dff_core_job {
	struct dff_name id;
	int32_t team;
	/** Region asked for; DFF_CORE_NONE: any. */
	int32_t region;
	int32_t gang;
	struct dff_resources per_task;
	/** An enum dff_adjacency. */
	uint8_t adjacency;
	bool urgent;
	bool guaranteed;
	bool checkpoint;
	bool idempotent;
	int64_t declared_ms;
	int32_t max_attempts;
	/** Index of the label asked for, and of the label of the rack that holds its data;
	 * DFF_CORE_NONE: any. */
	int32_t label;
	int32_t data_rack;
	/** Run time of its attempt at the last checkpoint that was reported, ms. */
	int32_t saved_ms;
	/** Hash of the name of its spread group; without a group when @per_worker is 0. */
	uint64_t spread_group;
	int32_t per_worker;
	float weight;
	/** Projected duration of its attempt by the last progress report, ms; 0: no report yet. */
	int32_t projected_ms;

	enum dff_core_state state;
	bool cancelled;
	bool preempted;
	/** An enum dff_core_preempt_cause; valid when @preempted. */
	uint8_t preempt_cause;
	/** Whether it is placed outside the shape of its team that would hold it if that shape were
	 * not fragmented. */
	bool entitled;
	/** Whether it is placed without regard to headroom, rack reservations and the waits for a
	 * rack or for data locality. */
	bool ignores_reservations;
	/** Whether racks are reserved for it. */
	bool has_reserved_racks;
	/** Whether any attempt may have run. */
	bool ever_ran;
	/** Whether the held members of the attempt were released to run. */
	bool released;
	/** An enum dff_core_stop_cause, and an enum dff_core_hold. */
	uint8_t stop_cause;
	uint8_t hold;
	/** Shape that is claimed, with DFF_CORE_HOLD_CLAIM. */
	int32_t shape;
	/** Shape that covers it; DFF_CORE_NONE: none. Below: its link in the team's list of jobs
	 * without a cover. */
	int32_t cover;
	GList cover_link;
	/** Whether it takes part in the accounting of covers. */
	bool cover_tracked;
	/** 0 to DFF_CORE_PRIORITIES - 1. */
	int8_t priority;
	/** Blame points, for workers that crashed while they ran it. */
	int8_t blame;
	/** Number, from 1, of the duration limit that its workers must not exceed; 0: none. */
	int8_t duration_limit;
	int32_t attempt;
	/** Number of times it was preempted while running. */
	int32_t preemptions;
	int32_t failures;
	int32_t losses;
	int32_t start_failures;
	int32_t refusals;
	/** The last workers on which it failed. */
	int32_t avoided[DFF_CORE_AVOIDED_MAX];
	int32_t n_avoided;
	struct dff_core_estimator *estimator;
	/** Estimated when it was last queued: median run time, and mean and standard deviation of
	 * its logarithm. */
	int64_t estimate_ms;
	float log_mean;
	float log_deviation;
	/** Run time that earlier attempts saved in checkpoints. */
	int64_t run_ms;
	/** Time spent in the queue before @queued_ms, the time at which it was last queued. */
	int64_t waited_ms;
	int64_t queued_ms;
	/** While it is being placed: its current score. While it runs: the score that others have
	 * to undercut to preempt it, as computed at @score_ms. */
	double score;
	int64_t score_ms;
	int64_t submitted_ms;
	/** (nullable): its objective, with its age at @submitted_ms; NULL without one. */
	struct dff_objective *objective;
	int64_t started_ms;
	/** Deadline of the state: start timeout, checkpoint grace, repeated stop, backoff. */
	int64_t deadline_ms;
	/** (nullable): one for each member, while an attempt or reservation exists. */
	struct dff_core_member *members;
	/** (nullable): elements: struct dff_placement, parallel to @members. */
	GArray *placements;
	int32_t n_open;
	int32_t n_started;
	/** Its link in the queue of its state or class. */
	GList link;
	/** (nullable): the class that it is queued in. */
	struct dff_core_class *queue_class;
};

/** Queued jobs with equal keys are interchangeable to placement. Keys are compared bytewise: zero
 * them before filling them in. */
struct dff_core_class_key {
	int32_t team;
	int32_t region;
	int32_t gang;
	struct dff_resources per_task;
	int32_t adjacency;
	int32_t urgent;
	int32_t guaranteed;
	int32_t idempotent;
	int32_t estimate_level;
	/** Hash of what a job asks of single workers: label, data rack, spread group, isolation. */
	guint32 worker_constraints;
};

/** Queued jobs with equal keys, oldest first: only the head has to be tried. */
struct dff_core_class {
	struct dff_core_class_key key;
	GQueue jobs;
	/** Score of its head when last ranked. */
	double score;
	/** Whether no shape was found for its head in this tick. */
	bool unclaimable;
	/** Whether its head was within what its team is assured of when last ranked. */
	bool assured;
};

/** Settings that follow from the pool's weights. */
struct dff_core_policy {
	/** Exponent of a job's accelerators in its score. */
	double width_power;
	/** Wait, on top of its estimate, after which a job's score is divided by four, ms. */
	double ageing_ms;
	/** Wait after which the score of a job that never ran is lowered by as much again, ms. */
	double first_turn_ms;
	/** Longest run that a job without checkpoints loses to a gang with reserved racks, ms. */
	double displace_loss_ms;
	/** Whether jobs are moved to free whole pieces of racks. */
	bool moves_jobs;
};

struct dff_core {
	struct dff_core_options options;
	struct dff_core_policy policy;
	/** Time at which moves are considered next. */
	int64_t defrag_ms;
	int64_t now_ms;
	GArray *workers; /**< Elements: struct dff_core_worker. */
	GArray *racks;   /**< Elements: struct dff_core_rack. */
	GArray *teams;   /**< Elements: struct dff_core_team. */
	GArray *regions; /**< Elements: struct dff_core_region. */
	GArray *labels;  /**< Elements: struct dff_name. */
	GArray *shapes;  /**< Elements: struct dff_core_shape, largest first. */
	GHashTable *worker_index;
	GHashTable *team_index;
	/** struct dff_name * (owned by the job) to struct dff_core_job *. */
	GHashTable *jobs;
	/** struct dff_core_class_key * to struct dff_core_class *. */
	GHashTable *classes;
	/** Run time estimators by team and service. */
	GHashTable *estimators;
	/** Task durations by peer group and worker: gint64 * to struct peer_group *. */
	GHashTable *peer_groups;
	/** Number of durations in all peer groups. */
	guint n_durations;
	/** Variance of the logarithm of durations: between workers, and between tasks of one peer
	 * group on one worker. */
	float worker_variance;
	float task_variance;
	int64_t duration_review_ms;
	/** Queues by state. Deadlines rise along each of them, except in @delayed. */
	GQueue reserved;
	GQueue starting;
	GQueue checkpointing;
	GQueue stopping;
	GQueue delayed;
	/** Commands since the last tick. */
	GArray *pending;
	/** Whether something may be placed that could not be placed before. */
	bool dirty;
	/** Whether shapes may have lost their witness placement, or may find a missing one. */
	bool witness_dirty;
	/** Time of the next review of the queue, which runs even when nothing has changed. */
	int64_t review_ms;
	int32_t evictions_left;
	/** Time at which an urgent job that waits for capacity to come free may stop other work. */
	int64_t evictions_due_ms;
	/** Whether capacity may have come free since the last run of the queue. Only then are jobs
	 * placed on free capacity; otherwise only preemption is tried. */
	bool capacity_freed;
	/** Number of jobs that are placed in isolation. */
	int32_t n_isolated;
	int32_t n_rack_reservations;
	int32_t max_rack_reservations;
	/** Declared capacity. */
	struct dff_resources total;
	/** Accelerators of the largest guaranteed shape that fits a rack. */
	int32_t largest_rack_shape;
	/** Time of the next review of the recorded shapes. */
	int64_t shapes_review_ms;
	struct dff_core_stats stats;
};

static inline struct dff_core_worker *
dff_core_worker_at (const struct dff_core *core, int32_t index)
{
	return &g_array_index (core->workers, struct dff_core_worker, index);
}

static inline struct dff_core_rack *
dff_core_rack_at (const struct dff_core *core, int32_t index)
{
	return &g_array_index (core->racks, struct dff_core_rack, index);
}

static inline struct dff_core_region *
dff_core_region_at (const struct dff_core *core, int32_t index)
{
	return &g_array_index (core->regions, struct dff_core_region, index);
}

static inline struct dff_core_team *
dff_core_team_at (const struct dff_core *core, int32_t index)
{
	return &g_array_index (core->teams, struct dff_core_team, index);
}

static inline struct dff_core_shape *
dff_core_shape_at (const struct dff_core *core, int32_t index)
{
	return &g_array_index (core->shapes, struct dff_core_shape, index);
}

static inline int32_t
dff_core_job_accelerators (const struct dff_core_job *job)
{
	return job->gang * job->per_task.accelerators;
}

/** Whether a job has a right to its accelerators: it is urgent, and the urgent jobs of its team
 * together ask for no more than the team is assured of. */
static inline bool
dff_core_job_is_assured (const struct dff_core *core, const struct dff_core_job *job)
{
	if (!job->urgent || job->team == DFF_CORE_NONE)
		return false;
	const struct dff_core_team *team = dff_core_team_at (core, job->team);
	return team->urgent_accelerators <= team->assured_accelerators;
}

/** Whether a job is a single task that is placed by the recorded shapes: one that borrows and can
 * wait. */
static inline bool
dff_core_job_is_single (const struct dff_core_job *job)
{
	return job->gang == 1 && job->per_task.accelerators > 0 && job->idempotent &&
	       !job->urgent && !job->guaranteed;
}

static inline void
dff_core_worker_count_single (struct dff_core_worker *worker,
			      const struct dff_core_job *job,
			      int32_t times)
{
	if (dff_core_job_is_single (job))
		worker->singles[job->checkpoint] += (int16_t)(times * job->per_task.accelerators);
}

/** A job may be preempted if it may be started again. A checkpoint alone is not enough: the task
 * keeps running between its checkpoint and its stop, and a resumed job would repeat what it did in
 * between. */
static inline bool
dff_core_job_preemptible (const struct dff_core_job *job)
{
	return job->idempotent;
}

#endif
