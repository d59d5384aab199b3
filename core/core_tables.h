#ifndef DFF_CORE_CORE_TABLES_H
#define DFF_CORE_CORE_TABLES_H

#include "core/core.h"

/* Tables of the decision core. Entities refer to each other by index into their table; jobs, which
 * come and go, by pointer. */

/** Index that refers to nothing. */
#define DFF_CORE_NONE (-1)

/** A STOP_TASK that is not answered for this long is sent again, ms. */
#define DFF_CORE_STOP_REPEAT_MS 5000
/** Wait before a job is placed again after its record was refused, ms: doubled up to the limit. */
#define DFF_CORE_RETRY_MIN_MS 250
#define DFF_CORE_RETRY_MAX_MS 15000
/** Attempts that end proven not started before the job is given up. */
#define DFF_CORE_START_FAILURES_MAX 8
/** A reservation whose victims have not gone after this long is given up, ms. */
#define DFF_CORE_RESERVE_MAX_MS 15000
/** Attempts lost with their worker before the job is given up, on top of its own attempts. */
#define DFF_CORE_LOSSES_MAX 5

/** Workers that may be looked at for victims between two reviews, urgent work aside, and placement
 * decisions that may do so. */
#define DFF_CORE_EVICTION_SCANS_MAX 4000
#define DFF_CORE_EVICTIONS_MAX 8
/** Interval at which the queue is looked at again though nothing came free, ms. */
#define DFF_CORE_REVIEW_MS 1000
/** Workers on which a job has failed that it remembers. */
#define DFF_CORE_AVOIDED_MAX 4

/** Priorities that are told apart: the last stands for all after it. */
#define DFF_CORE_PRIORITIES 3

enum dff_core_health {
	DFF_CORE_HEALTHY,
	DFF_CORE_QUARANTINED,
	/** May get one job, to see whether it fails again. */
	DFF_CORE_PROBING,
};

struct dff_core_worker {
	struct dff_name name;
	/** Index of its rack; DFF_CORE_NONE once the pool no longer declares it. */
	int32_t rack;
	enum dff_worker_state state;
	/** When it is gone, if it leaves; 0: not known. */
	int64_t leaves_ms;
	struct dff_resources capacity;
	/** Indices of its labels; DFF_CORE_NONE: no more. */
	int32_t labels[DFF_WORKER_LABELS_MAX];
	/** Leased to members of attempts. */
	struct dff_resources used;
	/** Held for jobs that wait until their victims are gone. */
	struct dff_resources reserved;
	/** What work that may not be preempted holds, plus what witnesses need. Never more than
	 * @capacity on a usable worker, so that a claim always finds its place. */
	struct dff_resources bound;
	/** Of @bound, the homes of shapes. */
	struct dff_resources witnesses;
	/** Bit i: accelerator i is leased. */
	uint64_t leased;
	/** Share of its region's accelerators on workers before it, 0 to 1: the last workers are
	 * the first to be left free. */
	float headroom_rank;
	enum dff_core_health health;
	/** Different jobs that failed here since the last success. */
	int32_t failure_streak;
	/** Hash of the last of them; 0: none. */
	guint last_failed;
	/** Times in quarantine since it last was healthy. */
	int32_t quarantines;
	/** Whether more is in use than the capacity: the pool shrank, or rows claimed too much. */
	bool overloaded;
	/** Whether recovered rows claim the same accelerators. */
	bool overlapping;
	/** How long tasks are believed to take here, against the mean of all workers: thousandths
	 * of the logarithm. */
	int16_t relative_duration;
	/** When a run failed here last; 0: never. */
	int64_t failed_ms;
	/** When its quarantine, or the wait for a probe, is over. */
	int64_t health_due_ms;
	/** Elements: struct dff_core_job *, one for each member that holds a lease here. */
	GPtrArray *occupants;
};

struct dff_core_region {
	struct dff_name name;
	/** Accelerators of its workers. */
	int32_t accelerators;
	/** Accelerators of jobs that have not ended, by priority. */
	int32_t demand[DFF_CORE_PRIORITIES];
	/** By priority, share of the accelerators that its work leaves free, 0 to 1 and more. */
	double headroom[DFF_CORE_PRIORITIES];
	/** When that was worked out last. */
	int64_t headroom_ms;
};

struct dff_core_rack {
	struct dff_name name;
	/** Index of its name among the labels. */
	int32_t label;
	int32_t region;
	/** (nullable): the waiting gang that is to have this rack next, and when it may. */
	struct dff_core_job *reserved_for;
	int64_t expected_free_ms;
	/** Elements: int32_t, indices of workers. */
	GArray *workers;
	/** Free accelerators on workers that take new work. */
	int32_t free_accelerators;
	/** Accelerators and slots on workers that take new work. */
	int32_t accelerators;
	int32_t slots;
};

/** Accelerators of one worker in a shape's home. */
struct dff_core_part {
	int32_t worker;
	int32_t count;
	/** Of @count, held by jobs that claim the shape. */
	int32_t claimed;
};

/** One guaranteed gang and its witness: the place where it can be claimed now. */
struct dff_core_shape {
	int32_t team;
	/** Region it has to be in; DFF_CORE_NONE: any one. */
	int32_t region;
	int32_t size;
	/** Sum of the parts: less than @size when the shape fits nowhere. */
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
	/** Jobs that have not ended. */
	int32_t n_jobs;
	/** Leased. */
	struct dff_resources used;
	/** Guaranteed jobs that no shape covers, oldest first. */
	GQueue uncovered;
};

struct dff_core_estimator;

enum dff_core_state {
	DFF_CORE_QUEUED,
	/** Waits for its back-off to pass. */
	DFF_CORE_DELAYED,
	/** Has its workers, and waits until the victims on them are gone. */
	DFF_CORE_RESERVED,
	/** Leases are held; the start intent is on its way to the store. */
	DFF_CORE_RECORDING,
	DFF_CORE_STARTING,
	DFF_CORE_RUNNING,
	DFF_CORE_CHECKPOINTING,
	DFF_CORE_STOPPING,
	/** The outcome is on its way to the store. */
	DFF_CORE_ENDING,
};

enum dff_core_member_state {
	DFF_CORE_MEMBER_IDLE, /**< Nothing was sent. */
	DFF_CORE_MEMBER_SENT,
	DFF_CORE_MEMBER_STARTED,
	DFF_CORE_MEMBER_CHECKPOINTED,
	/** From here on the member is over and holds no lease. */
	DFF_CORE_MEMBER_COMPLETED,
	DFF_CORE_MEMBER_FAILED,
	DFF_CORE_MEMBER_STOPPED,
	DFF_CORE_MEMBER_LOST,
	DFF_CORE_MEMBER_START_FAILED,
};

struct dff_core_member {
	int32_t worker;
	enum dff_core_member_state state;
	/** Whether it counts in the worker's bound resources, or in a part of the claimed shape. */
	bool bound;
	/** Whether it may have run. */
	bool ran;
};

/** Why an attempt is being ended early. */
enum dff_core_stop_cause {
	DFF_CORE_STOP_NONE,
	DFF_CORE_STOP_CANCELLED,
	DFF_CORE_STOP_PREEMPTED,
	DFF_CORE_STOP_MEMBER_ENDED, /**< Another member ended badly. */
	DFF_CORE_STOP_START_TIMEOUT,
	DFF_CORE_STOP_RECOVERY,
};

/** Why a job has to leave where it is. */
enum dff_core_preempt_cause {
	/** Others need the available. */
	DFF_CORE_PREEMPT_CAPACITY,
	/** A whole piece comes free when it moves. */
	DFF_CORE_PREEMPT_DEFRAG,
	DFF_CORE_PREEMPT_WORKER_STALLED,
	DFF_CORE_PREEMPT_WORKER_LEAVING,
};

/** How a job holds what it was given. */
enum dff_core_hold {
	/** Borrows, and may be preempted. */
	DFF_CORE_HOLD_SOFT,
	/** Borrows what no witness needs, and may not be preempted. */
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
	enum dff_adjacency adjacency;
	bool urgent;
	bool guaranteed;
	bool checkpoint;
	bool idempotent;
	int64_t declared_ms;
	int32_t max_attempts;
	/** Index of the label asked for, and of that of the rack with its data; DFF_CORE_NONE: any.
	 */
	int32_t label;
	int32_t data_rack;
	/** Hash of the spread group's name; with @per_worker 0 there is none. */
	uint64_t spread_group;
	int32_t per_worker;
	float weight;
	/** How long its attempt takes by the progress last told, ms; 0: not told. */
	int32_t projected_ms;

	enum dff_core_state state;
	bool cancelled;
	bool preempted;
	/** An enum dff_core_preempt_cause, if it is. */
	uint8_t preempt_cause;
	/** Whether it is placed beside a shape of its team that would hold it but for its pieces.
	 */
	bool entitled;
	/** Whether it is being placed on what is otherwise kept for others. */
	bool ignores_reservations;
	/** Whether racks are kept for it. */
	bool has_reserved_racks;
	/** Whether any attempt may have run. */
	bool ever_ran;
	/** Whether members of the attempt were let go to run. */
	bool released;
	enum dff_core_stop_cause stop_cause;
	enum dff_core_hold hold;
	/** Shape that is claimed, with DFF_CORE_HOLD_CLAIM. */
	int32_t shape;
	/** Shape that covers it, if any, and its place among those that wait for one. */
	int32_t cover;
	GList cover_link;
	/** Whether it is in the account of covers. */
	bool cover_tracked;
	/** 0 to DFF_CORE_PRIORITIES - 1. */
	int8_t priority;
	/** Points against it for workers that ended under it. */
	int8_t blame;
	/** Which limit of pace its workers have to keep as it is placed, from 1; 0: none. */
	int8_t duration_limit;
	int32_t attempt;
	/** Times that it was preempted after it may have run. */
	int32_t preemptions;
	int32_t failures;
	int32_t losses;
	int32_t start_failures;
	int32_t refusals;
	/** Workers it has failed on, the last of them. */
	int32_t avoided[DFF_CORE_AVOIDED_MAX];
	int32_t n_avoided;
	struct dff_core_estimator *estimator;
	/** Predicted when it was queued last: median run time, and its logarithm's mean and
	 * deviation. */
	int64_t estimate_ms;
	double log_mean;
	double log_deviation;
	/** Run time that earlier attempts have saved. */
	int64_t run_ms;
	/** Time spent in queues before, and since when it is in one. */
	int64_t waited_ms;
	int64_t queued_ms;
	/** Of the moment it is being placed: what it may take from others. While it runs: what
	 * others have to undercut, of @score_ms. */
	double score;
	int64_t score_ms;
	int64_t submitted_ms;
	int64_t started_ms;
	/** When the state's time is up: start, grace, repeat of stop, back-off. */
	int64_t deadline_ms;
	/** (nullable): one a member, while an attempt exists. */
	struct dff_core_member *members;
	/** (nullable): elements: struct dff_placement, parallel to @members. */
	GArray *placements;
	int32_t n_open;
	int32_t n_started;
	/** Its place in the queue of its state. */
	GList link;
	/** (nullable): the class it is queued in. */
	struct dff_core_class *queue_class;
};

/** What makes queued jobs interchangeable to placement. Compared bytewise: zeroed before filled. */
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
	/** Hash of what it asks of single workers: label, data, spread group, least else there. */
	guint32 worker_constraints;
};

/** Queued jobs of one key, oldest first: only the head needs to be looked at. */
struct dff_core_class {
	struct dff_core_class_key key;
	GQueue jobs;
	/** Of its head, when last ranked. */
	double score;
	/** Whether its head found no shape in this tick. */
	bool unclaimable;
	/** Whether its head is within what its team is assured of, when last ranked. */
	bool assured;
};

/** What the pool's weights come to. */
struct dff_core_policy {
	/** Exponent of a job's accelerators in its score. */
	double width_power;
	/** Wait after which a job's score is divided by four, on top of its own estimate, ms. */
	double ageing_ms;
	/** Wait after which a job that never ran rises as much again, ms. */
	double first_turn_ms;
	/** Work that a job without checkpoint may lose to a gang that racks are kept for, ms. */
	double displace_loss_ms;
	/** Whether jobs are moved to make whole pieces. */
	bool moves_jobs;
};

struct dff_core {
	struct dff_core_options options;
	struct dff_core_policy policy;
	/** When moves are looked for next. */
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
	/** struct dff_name * (in the job) to struct dff_core_job *. */
	GHashTable *jobs;
	/** struct dff_core_class_key * to struct dff_core_class *. */
	GHashTable *classes;
	/** Learned run times by team and service. */
	GHashTable *estimators;
	/** What tasks of a step have taken where: gint64 * to struct cohort. */
	GHashTable *peer_groups;
	/** Tasks in them. */
	guint n_durations;
	/** Variance of the workers' paces, and of what tasks of one step take on one worker, as
	 * logarithms. */
	float worker_variance;
	float task_variance;
	int64_t duration_review_ms;
	/** Queues by state; deadlines rise along each but @delayed. */
	GQueue reserved;
	GQueue starting;
	GQueue checkpointing;
	GQueue stopping;
	GQueue delayed;
	/** Commands since the last tick. */
	GArray *pending;
	/** Whether something may be placed that could not be before. */
	bool dirty;
	/** Whether shapes may have lost their place, or may find one that they had not. */
	bool witness_dirty;
	/** When the queue is looked at again in any case. */
	int64_t review_ms;
	int32_t evictions_left;
	/** Whether the queue is run because something came free, not only to look for victims. */
	bool capacity_freed;
	/** Jobs that are placed where least else runs. */
	int32_t n_isolated;
	int32_t n_rack_reservations;
	int32_t max_rack_reservations;
	/** Capacity declared. */
	struct dff_resources total;
	/** Accelerators of the largest guaranteed shape that fits a rack. */
	int32_t largest_rack_shape;
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

/** Whether a job has a right to its accelerators: it is urgent, and all that its team has of that
 * kind is within what the team is assured of. */
static inline bool
dff_core_job_is_assured (const struct dff_core *core, const struct dff_core_job *job)
{
	if (!job->urgent || job->team == DFF_CORE_NONE)
		return false;
	const struct dff_core_team *team = dff_core_team_at (core, job->team);
	return team->urgent_accelerators <= team->assured_accelerators;
}

/** Work that may be started again may be preempted. A checkpoint alone is not enough: the task runs
 * on between its checkpoint and its stop, and a resumed job would repeat what it did in between. */
static inline bool
dff_core_job_preemptible (const struct dff_core_job *job)
{
	return job->idempotent;
}

#endif
