#ifndef DFF_CORE_CORE_PRIVATE_H
#define DFF_CORE_CORE_PRIVATE_H

#include "core/core.h"

/* Tables and systems of the decision core. Entities refer to each other by index into their table;
 * jobs, which come and go, by pointer. */

/** Index that refers to nothing. */
#define DFF_CORE_NONE (-1)

/** A STOP_TASK that is not answered for this long is sent again, ms. */
#define DFF_CORE_STOP_REPEAT_MS 5000
/** Wait before a job is placed again after its record was refused, ms: doubled up to the limit. */
#define DFF_CORE_RETRY_MIN_MS 250
#define DFF_CORE_RETRY_MAX_MS 15000
/** Attempts that end proven not started before the job is given up. */
#define DFF_CORE_START_FAILURES_MAX 8
/** Attempts lost with their worker before the job is given up, on top of its own attempts. */
#define DFF_CORE_LOSSES_MAX 5

struct dff_core_worker {
	struct dff_name name;
	/** Index of its rack; DFF_CORE_NONE once the pool no longer declares it. */
	int32_t rack;
	enum dff_worker_state state;
	struct dff_resources capacity;
	/** Leased to members of attempts. */
	struct dff_resources used;
	/** Bit i: accelerator i is leased. */
	uint64_t leased;
	/** Whether more is in use than the capacity: the pool shrank, or rows claimed too much. */
	bool overloaded;
	/** Elements: struct dff_core_job *, one for each member that holds a lease here. */
	GPtrArray *tenants;
};

struct dff_core_rack {
	struct dff_name name;
	int32_t region;
	/** Elements: int32_t, indices of workers. */
	GArray *workers;
	/** Free accelerators on workers that take new work. */
	int32_t free_accelerators;
	/** Accelerators on workers that take new work. */
	int32_t accelerators;
};

struct dff_core_team {
	struct dff_name name;
	bool declared;
	int32_t quota_accelerators;
	int32_t max_queued;
	int32_t weight;
	/** Jobs that have not ended. */
	int32_t n_jobs;
	/** Accelerators leased. */
	int32_t accelerators;
};

enum dff_core_state {
	DFF_CORE_QUEUED,
	/** Waits for its back-off to pass. */
	DFF_CORE_DELAYED,
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
	/** Whether it may have run. */
	bool ran;
};

/** Why an attempt is being ended early. */
enum dff_core_stop_cause {
	DFF_CORE_STOP_NONE,
	DFF_CORE_STOP_CANCELLED,
	DFF_CORE_STOP_PREEMPTED,
	DFF_CORE_STOP_MEMBER, /**< Another member ended badly. */
	DFF_CORE_STOP_START_TIMEOUT,
	DFF_CORE_STOP_RECOVERY,
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

	enum dff_core_state state;
	bool cancelled;
	bool preempted;
	/** Whether any attempt may have run. */
	bool ever_ran;
	/** Whether members of the attempt were let go to run. */
	bool released;
	enum dff_core_stop_cause stop_cause;
	int32_t attempt;
	int32_t failures;
	int32_t losses;
	int32_t start_failures;
	int32_t refusals;
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
};

/** Queued jobs of one key, oldest first: only the head needs to be looked at. */
struct dff_core_class {
	struct dff_core_class_key key;
	GQueue jobs;
};

struct dff_core {
	struct dff_core_options options;
	int64_t now_ms;
	GArray *workers; /**< Elements: struct dff_core_worker. */
	GArray *racks;   /**< Elements: struct dff_core_rack. */
	GArray *teams;   /**< Elements: struct dff_core_team. */
	GArray *regions; /**< Elements: struct dff_name. */
	GHashTable *worker_index;
	GHashTable *team_index;
	/** struct dff_name * (in the job) to struct dff_core_job *. */
	GHashTable *jobs;
	/** struct dff_core_class_key * to struct dff_core_class *. */
	GHashTable *classes;
	/** Queues by state; deadlines rise along each but @delayed. */
	GQueue starting;
	GQueue checkpointing;
	GQueue stopping;
	GQueue delayed;
	/** Commands since the last tick. */
	GArray *pending;
	/** Whether something may be placed that could not be before. */
	bool dirty;
	/** Accelerators of the largest guaranteed shape that fits a rack. */
	int32_t adjacent_unit;
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

static inline struct dff_core_team *
dff_core_team_at (const struct dff_core *core, int32_t index)
{
	return &g_array_index (core->teams, struct dff_core_team, index);
}

/* tables.c */

/** Returns: the index of the worker called @name, DFF_CORE_NONE when there is none. */
int32_t dff_core_find_worker (const struct dff_core *core, const struct dff_name *name);

int32_t dff_core_find_team (const struct dff_core *core, const struct dff_name *name);

/** Returns: the index of a region, DFF_CORE_NONE when no rack is in it. */
int32_t dff_core_find_region (const struct dff_core *core, const struct dff_name *name);

struct dff_core_job *dff_core_find_job (const struct dff_core *core, const struct dff_name *id);

/** Adds a job in state DFF_CORE_QUEUED, not in any queue yet. */
struct dff_core_job *dff_core_job_add (struct dff_core *core, const struct dff_job_spec *spec);

void dff_core_job_remove (struct dff_core *core, struct dff_core_job *job);

/** Forgets the members and placements of the last attempt. */
void dff_core_job_clear_attempt (struct dff_core_job *job);

/** Whether a worker may be given new work. */
bool dff_core_worker_usable (const struct dff_core_worker *worker);

void dff_core_worker_set_state (struct dff_core *core, int32_t index, enum dff_worker_state state);

/** Leases the resources of one member. @accelerators are free. */
void dff_core_lease (struct dff_core *core,
		     struct dff_core_job *job,
		     int32_t worker,
		     uint64_t accelerators);

void dff_core_unlease (struct dff_core *core, struct dff_core_job *job, int32_t member);

/** Notes whether a worker holds more than its capacity, where that can't be helped. */
void dff_core_worker_note_overload (struct dff_core_worker *worker);

/** Recomputes the summary of a rack. */
void dff_core_rack_summarise (struct dff_core *core, int32_t rack);

void dff_core_worker_clear (gpointer worker);
void dff_core_rack_clear (gpointer rack);

/* lifecycle.c */

/** Leases the workers in job->members and asks for the attempt to be recorded. */
void dff_core_attempt_begin (struct dff_core *core, struct dff_core_job *job);

void dff_core_attempt_recorded (struct dff_core *core, struct dff_core_job *job);

void dff_core_attempt_refused (struct dff_core *core, struct dff_core_job *job);

/** Takes a task's event in. @member is in range. */
void dff_core_member_event (struct dff_core *core,
			    struct dff_core_job *job,
			    const struct dff_event *event);

void dff_core_job_cancel (struct dff_core *core, struct dff_core_job *job);

/** Ends an attempt so that its job can be placed again. */
void dff_core_job_preempt (struct dff_core *core, struct dff_core_job *job);

/** Ends every member that is open: STOP_TASK for what was sent. */
void dff_core_attempt_stop (struct dff_core *core,
			    struct dff_core_job *job,
			    enum dff_core_stop_cause cause);

/** Decides what becomes of a job whose attempt has no open member. */
void dff_core_attempt_over (struct dff_core *core, struct dff_core_job *job);

void dff_core_job_end (struct dff_core *core,
		       struct dff_core_job *job,
		       enum dff_outcome outcome,
		       const char *reason);

/** Ends a job that holds no attempt: not_run when nothing of it ever ran, else failed. */
void dff_core_job_give_up (struct dff_core *core, struct dff_core_job *job, const char *reason);

/** System: start time-outs, checkpoint grace, repeated stops. */
void dff_core_run_deadlines (struct dff_core *core);

/** Lets an attempt that was found running go on; its members are filled in. */
void dff_core_attempt_resume (struct dff_core *core, struct dff_core_job *job, int64_t age_ms);

/* core.c */

/** Queues a new job, or ends it at once when it can never run. */
void dff_core_job_queue_or_refuse (struct dff_core *core,
				   struct dff_core_job *job,
				   const struct dff_job_spec *spec);

/* recover.c */

void dff_core_job_recover (struct dff_core *core,
			   const struct dff_job_spec *spec,
			   const struct dff_recovered *recovered);

/* order.c */

GHashTable *dff_core_classes_new (void);

/** Puts a job into the queue of its class. */
void dff_core_enqueue (struct dff_core *core, struct dff_core_job *job);

/** Takes a job out of whichever queue it is in. */
void dff_core_dequeue (struct dff_core *core, struct dff_core_job *job);

/** Queues a job once @wait_ms have passed. */
void dff_core_delay (struct dff_core *core, struct dff_core_job *job, int64_t wait_ms);

/** System: queues the jobs whose back-off has passed. */
void dff_core_run_delayed (struct dff_core *core);

/** System: places queued jobs in order. */
void dff_core_run_queue (struct dff_core *core);

/* place.c */

/**
 * dff_core_place:
 * @workers: (out): room for job->gang indices
 *
 * Returns: whether every member fits on what is free; @workers then tells where.
 */
bool dff_core_place (const struct dff_core *core, const struct dff_core_job *job, int32_t *workers);

/** Returns: accelerators to lease on a worker for one member: the lowest free ones. */
uint64_t dff_core_pick_accelerators (const struct dff_core_worker *worker, int32_t count);

/** Whether the job would fit if every declared worker were up and empty. */
bool dff_core_place_ever (const struct dff_core *core, const struct dff_core_job *job);

#endif
