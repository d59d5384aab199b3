#ifndef DFF_CORE_CORE_PRIVATE_H
#define DFF_CORE_CORE_PRIVATE_H

#include "core/core_tables.h"

/* Systems of the decision core, by the file that each is in, over the tables of core_tables.h. */

/* resources.c */

void dff_resources_add (struct dff_resources *sum, const struct dff_resources *term, int32_t times);

/** Returns: @a less @b, member by member; may be negative. */
struct dff_resources dff_resources_less (const struct dff_resources *a,
					 const struct dff_resources *b);

/** Returns: the smaller of each member. */
struct dff_resources dff_resources_min (const struct dff_resources *a,
					const struct dff_resources *b);

/** Returns: how many times @need goes into @available, at most @limit, 0 when not once. */
int32_t dff_resources_fits (const struct dff_resources *available,
			    const struct dff_resources *need,
			    int32_t limit);

/** Whether no member of @available is negative. */
bool dff_resources_covered (const struct dff_resources *available);

bool dff_resources_equal (const struct dff_resources *a, const struct dff_resources *b);

/* tables.c */

/** Returns: the index of the worker called @name, DFF_CORE_NONE when there is none. */
int32_t dff_core_find_worker (const struct dff_core *core, const struct dff_name *name);

/** Returns: the index of the worker called @name, which is added, undeclared, when it is new. */
int32_t dff_core_intern_worker (struct dff_core *core, const struct dff_name *name);

int32_t dff_core_find_team (const struct dff_core *core, const struct dff_name *name);

/** Returns: the index of a region, DFF_CORE_NONE when no rack is in it. */
int32_t dff_core_find_region (const struct dff_core *core, const struct dff_name *name);

/** Returns: the index of a label, DFF_CORE_NONE when no worker or job has named it. */
int32_t dff_core_find_label (const struct dff_core *core, const struct dff_name *name);

/** Returns: the index of a label, which is added when it is new; DFF_CORE_NONE for the empty name.
 */
int32_t dff_core_intern_label (struct dff_core *core, const struct dff_name *name);

/** Returns: the index of a region, which is added when it is new. */
int32_t dff_core_intern_region (struct dff_core *core, const struct dff_name *name);

struct dff_core_job *dff_core_find_job (const struct dff_core *core, const struct dff_name *id);

/** Adds a job in state DFF_CORE_QUEUED, not in any queue yet. */
struct dff_core_job *dff_core_job_add (struct dff_core *core, const struct dff_job_spec *spec);

void dff_core_job_remove (struct dff_core *core, struct dff_core_job *job);

/** Forgets the members and placements of the last attempt. */
void dff_core_job_clear_attempt (struct dff_core_job *job);

/** Whether a worker takes starts: it is up, if only for a probe. */
bool dff_core_worker_accepts_starts (const struct dff_core_worker *worker);

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
void dff_core_worker_update_overload (struct dff_core_worker *worker);

/** Recomputes the summary of a rack. */
void dff_core_rack_summarise (struct dff_core *core, int32_t rack);

void dff_core_worker_clear (gpointer worker);
void dff_core_rack_clear (gpointer rack);

/* apart.c */

void dff_core_job_set_blame (struct dff_core *core, struct dff_core_job *job, int32_t blame);

/** Whether a job is to be placed where least else runs. */
bool dff_core_job_is_isolated (const struct dff_core *core, const struct dff_core_job *job);

/** Whether a job may be placed on a worker, for what else is on trial there. */
bool dff_core_isolation_allows (const struct dff_core *core,
				const struct dff_core_worker *worker,
				const struct dff_core_job *job);

/** Returns: what a worker is chosen by for a job, least first, where @left is what it has left by
 * best fit. */
int32_t dff_core_isolation_order (const struct dff_core *core,
				  const struct dff_core_worker *worker,
				  const struct dff_core_job *job,
				  int32_t left);

/* lifecycle.c */

/** Appends a command about a job's attempt, to leave with the next tick. */
struct dff_command *
dff_core_emit (struct dff_core *core, enum dff_command_type type, const struct dff_core_job *job);

/** Every change of state goes through here, so that counters and queues can't drift apart. */
void dff_core_set_state (struct dff_core *core,
			 struct dff_core_job *job,
			 enum dff_core_state state,
			 int64_t deadline_ms);

/** Moves a job to DFF_CORE_RESERVED. */
void dff_core_attempt_reserve (struct dff_core *core, struct dff_core_job *job);

/** Puts a job that holds nothing back into its queue. */
void dff_core_job_requeue (struct dff_core *core, struct dff_core_job *job);

/** Leases the workers in job->members and asks for the attempt to be recorded. */
void dff_core_attempt_begin (struct dff_core *core, struct dff_core_job *job);

void dff_core_attempt_recorded (struct dff_core *core, struct dff_core_job *job);

void dff_core_attempt_refused (struct dff_core *core, struct dff_core_job *job);

/** Takes a task's event in. @member is in range. */
void dff_core_handle_member_event (struct dff_core *core,
				   struct dff_core_job *job,
				   const struct dff_event *event);

void dff_core_job_cancel (struct dff_core *core, struct dff_core_job *job);

/** Ends an attempt so that its job can be placed again. */
void dff_core_job_preempt (struct dff_core *core,
			   struct dff_core_job *job,
			   enum dff_core_preempt_cause cause);

/** Ends every member that is open: STOP_TASK for what was sent. */
void dff_core_attempt_stop (struct dff_core *core,
			    struct dff_core_job *job,
			    enum dff_core_stop_cause cause);

/** System: start time-outs, checkpoint grace, repeated stops. */
void dff_core_run_deadlines (struct dff_core *core);

/** Queues a job once @wait_ms have passed. */
void dff_core_delay (struct dff_core *core, struct dff_core_job *job, int64_t wait_ms);

/** System: queues the jobs whose back-off has passed. */
void dff_core_run_delayed (struct dff_core *core);

/** Lets an attempt that was found running go on; its members are filled in. */
void dff_core_attempt_resume (struct dff_core *core, struct dff_core_job *job, int64_t age_ms);

/* outcome.c */

/** Decides what becomes of a job whose attempt has no open member. */
void dff_core_attempt_finish (struct dff_core *core, struct dff_core_job *job);

void dff_core_job_end (struct dff_core *core,
		       struct dff_core_job *job,
		       enum dff_outcome outcome,
		       const char *reason);

/** Returns: whether too many workers have ended under it. */
bool dff_core_job_exceeds_blame_limit (const struct dff_core *core, const struct dff_core_job *job);

/** Ends a job that is hopeless and holds no attempt. */
void dff_core_job_end_blamed (struct dff_core *core, struct dff_core_job *job);

/** Ends a job that holds no attempt: not_run when nothing of it ever ran, else failed. */
void dff_core_job_give_up (struct dff_core *core, struct dff_core_job *job, const char *reason);

/* core.c */

/** Queues a new job, or ends it at once when it can never run. */
void dff_core_job_queue_or_reject (struct dff_core *core,
				   struct dff_core_job *job,
				   const struct dff_job_spec *spec);

/* recover.c */

void dff_core_job_recover (struct dff_core *core,
			   const struct dff_job_spec *spec,
			   const struct dff_recovered_attempt *recovered);

/* queue.c */

GHashTable *dff_core_classes_new (void);

guint dff_core_class_key_hash (gconstpointer key);

/** Orders jobs by submission, for qsort-like use. */
int dff_core_compare_age (const struct dff_core_job *one, const struct dff_core_job *other);

/** Puts a job into the queue of its class. */
void dff_core_enqueue (struct dff_core *core, struct dff_core_job *job);

/** Takes a job out of its class, if it is in one. */
void dff_core_dequeue (struct dff_core *core, struct dff_core_job *job);

/* order.c */

/** Returns: a job's rank among borrowing work, lower first: what is left of it, less its wait. */
double dff_core_score (const struct dff_core *core, const struct dff_core_job *job);

/** Returns: the score of a job that runs, a few seconds old at the most. */
double dff_core_running_score (const struct dff_core *core, struct dff_core_job *job);

/** System: places queued jobs in order. */
void dff_core_run_queue (struct dff_core *core);

/* policy.c */

struct dff_core_policy dff_core_policy_from (const struct dff_weights *weights);

/* defrag.c */

/** System: moves narrow jobs where that makes a whole piece free. */
void dff_core_run_defrag (struct dff_core *core);

int64_t dff_core_defrag_wake_ms (const struct dff_core *core);

/* guard.c */

/** Keeps racks for a gang that waits: the ones that come free first.
 * Returns: whether they were not kept before. */
bool dff_core_reserve_racks (struct dff_core *core, struct dff_core_job *job);

/** Lets go of the racks kept for gangs that wait no longer. */
void dff_core_run_rack_reservations (struct dff_core *core);

/** Lets go of the racks kept for @job. */
void dff_core_release_racks (struct dff_core *core, struct dff_core_job *job);

/** Whether a rack is kept for another job that @job would hold up. */
bool dff_core_rack_is_reserved (const struct dff_core *core,
				const struct dff_core_rack *rack,
				const struct dff_core_job *job);

/* headroom.c */

/** Counts a job's accelerators among what its priority needs, @times 1 or -1. */
void dff_core_headroom_count (struct dff_core *core, const struct dff_core_job *job, int32_t times);

/** Orders the workers by which are left free last, after the racks were declared anew. */
void dff_core_headroom_rank (struct dff_core *core);

/** System: follows what the priorities need. */
void dff_core_run_headroom (struct dff_core *core);

/** Returns: the priority by which a job leaves workers free: its own, or an earlier one after a
 * wait. */
int32_t dff_core_headroom_level (const struct dff_core *core, const struct dff_core_job *job);

/** Whether work of @priority leaves a worker free. */
bool dff_core_is_headroom (const struct dff_core *core,
			   const struct dff_core_worker *worker,
			   int32_t priority);

/* start.c */

bool dff_core_within_quota (const struct dff_core *core, const struct dff_core_job *job);

/** Starts a queued job in a guaranteed shape of its team, whoever has to give way. */
bool dff_core_try_claim (struct dff_core *core, struct dff_core_job *job);

/** Starts a queued job beside the guarantees, if there is a place now. */
bool dff_core_try_borrow (struct dff_core *core, struct dff_core_job *job);

/* estimate.c */

GHashTable *dff_core_estimators_new (void);

/** Returns: (transfer none): what is learned about jobs like @spec. */
struct dff_core_estimator *dff_core_estimator_for (struct dff_core *core,
						   const struct dff_job_spec *spec);

/** Takes in how long a completed job ran. */
void dff_core_estimate_update (struct dff_core_job *job, int64_t run_ms);

/** Predicts how long a job runs from what is known now. */
void dff_core_estimate (struct dff_core_job *job);

/** Returns: the run time expected to be left. */
int64_t dff_core_remaining_ms (const struct dff_core *core, const struct dff_core_job *job);

/* leaving.c */

/** Stops what will not end before a worker leaves. */
void dff_core_review_leaving_worker (struct dff_core *core, int32_t worker);

/** Stops a job whose members hold workers if one of these leaves before its end. */
void dff_core_review_leaving_job (struct dff_core *core, struct dff_core_job *job);

/* quarantine.c */

void dff_core_note_failure (struct dff_core *core, struct dff_core_job *job, int32_t worker);

/** Puts a worker into quarantine whatever it did before, unless too many are. */
void dff_core_worker_try_quarantine (struct dff_core *core, int32_t worker);

/** A worker is another one under the same name. */
void dff_core_worker_handle_restart (struct dff_core *core, const struct dff_name *id);

/** A run that began at @started_ms has completed on a worker. */
void dff_core_note_success (struct dff_core *core, int32_t worker, int64_t started_ms);

/** Whether a job has failed on a worker and should try another. */
bool dff_core_job_avoids (const struct dff_core_job *job, int32_t worker);

/** Whether a worker takes part again with no success since its quarantine: one attempt at a time.
 */
bool dff_core_worker_on_trial (const struct dff_core_worker *worker);

/** System: lets workers whose quarantine is over have a probe, or take part again without one. */
void dff_core_run_quarantine (struct dff_core *core);

int64_t dff_core_quarantine_wake_ms (const struct dff_core *core);

/** Whether a job may probe a worker that was in quarantine, and which. */
bool
dff_core_place_probe (const struct dff_core *core, const struct dff_core_job *job, int32_t *worker);

/* place.c */

/** What a placement may use. */
enum dff_core_view {
	/** What is free. */
	DFF_CORE_VIEW_FREE,
	/** What is free and no witness needs. */
	DFF_CORE_VIEW_UNBOUND,
	/** Also what victims would give up. */
	DFF_CORE_VIEW_EVICT,
	/** The same, as far as no witness needs it. */
	DFF_CORE_VIEW_EVICT_UNBOUND,
	/** Every declared worker as if it were up and empty. */
	DFF_CORE_VIEW_EMPTY,
	/** The same, less the homes of shapes. */
	DFF_CORE_VIEW_EMPTY_LESS_WITNESSES,
};

/**
 * dff_core_place:
 * @workers: (out): available for job->gang indices
 *
 * Returns: whether every member fits; @workers then tells where.
 */
bool dff_core_place (const struct dff_core *core,
		     const struct dff_core_job *job,
		     enum dff_core_view view,
		     int32_t *workers);

/** Returns: what @view leaves of a worker for @job. */
struct dff_resources dff_core_worker_available (const struct dff_core *core,
						const struct dff_core_worker *worker,
						const struct dff_core_job *job,
						enum dff_core_view view);

/** Returns: accelerators to lease on a worker for one member: the lowest free ones. */
uint64_t dff_core_pick_accelerators (const struct dff_core_worker *worker, int32_t count);

/* witness.c */

/** What goes with @count accelerators of a worker in a shape's home: their part of cores and
 * memory, and a slot each, or as many as the worker has. */
struct dff_resources dff_core_worker_share (const struct dff_core_worker *worker, int32_t count);

/** Makes the shapes of the pool's guarantees. Nothing claims the former ones any more. */
void dff_core_set_shapes (struct dff_core *core, const struct dff_pool *pool);

void dff_core_shape_clear (gpointer shape);

/** System: packs again the shapes that lost their place or have none. */
void dff_core_run_witnesses (struct dff_core *core);

/** Moves unclaimed shapes off workers that are bound beyond their capacity.
 * Returns: false, with nothing moved, when some shape would not fit any more. */
bool dff_core_relocate_witnesses (struct dff_core *core);

/** Gives a shape's parts back. */
void dff_core_shape_unpack (struct dff_core *core, struct dff_core_shape *shape);

/** Makes @parts the shape's home. */
void
dff_core_shape_set_parts (struct dff_core *core, struct dff_core_shape *shape, const GArray *parts);

/** Orders a rack's workers for packing: lower first. */
typedef int64_t (*dff_core_worker_cost_func) (const struct dff_core_worker *worker,
					      const void *user);

/** Packs @size accelerators into one rack's unbound available. @parts: (out). */
bool dff_core_pack_rack (const struct dff_core *core,
			 int32_t rack,
			 int32_t size,
			 dff_core_worker_cost_func cost,
			 const void *user,
			 GArray *parts);

/* cover.c */

/** Takes a guaranteed job into the account of covers. */
void dff_core_cover (struct dff_core *core, struct dff_core_job *job);

/** Takes it out; the oldest jobs that fit are covered instead. */
void dff_core_uncover (struct dff_core *core, struct dff_core_job *job);

/** Covers all jobs anew, after the shapes were declared anew. */
void dff_core_cover_all (struct dff_core *core);

/* claim.c */

/** Returns: what a member needs beyond the units that its shape has bound for it already. */
struct dff_resources dff_core_beyond_share (const struct dff_core_worker *worker,
					    const struct dff_core_job *job);

/** Binds the members of a job that is about to hold its workers, by job->hold. */
void dff_core_job_bind (struct dff_core *core, struct dff_core_job *job);

void dff_core_member_unbind (struct dff_core *core, struct dff_core_job *job, int32_t member);

/**
 * dff_core_claim:
 *
 * Finds a shape of the job's team that holds it, and the place in it that costs least. The shape's
 * home moves where that avoids victims.
 *
 * Returns: whether there is one; @workers tells where, @shape which.
 */
bool dff_core_claim (struct dff_core *core,
		     const struct dff_core_job *job,
		     int32_t *workers,
		     int32_t *shape);

/** Makes a recovered job the holder of a shape of its team, if one is left. */
bool dff_core_claim_adopt (struct dff_core *core, struct dff_core_job *job);

/** Counts anew what may not be preempted, after the shapes or the workers were declared anew. */
void dff_core_rebind_all (struct dff_core *core);

/* reclaim.c */

/** A worker that may hold members of a job. */
struct dff_core_candidate {
	int32_t worker;
	/** Members it may hold. */
	int32_t fits;
	/** Accelerators left for more: of equal workers, the one with fewest is filled first. */
	int32_t accelerators_left;
	/** Work lost when it holds that many. */
	int64_t cost;
};

/** Spreads a job's members over @candidates, cheapest first. Reorders them.
 * Returns: work lost, or -1 when they do not all fit. */
int64_t dff_core_choose_workers (const struct dff_core *core,
				 const struct dff_core_job *job,
				 GArray *candidates,
				 int32_t *workers);

/** Whether @job may take the place of @occupant. */
bool dff_core_may_evict (const struct dff_core *core,
			 const struct dff_core_job *job,
			 struct dff_core_job *occupant);

/** Returns: what a job occupies while it runs, cores. */
int64_t dff_core_job_footprint (const struct dff_core *core, const struct dff_core_job *job);

/** Returns: work lost by preempting a job, core-ms. */
int64_t dff_core_lost_work (const struct dff_core *core, const struct dff_core_job *job);

/** Returns: work lost when a job gets @workers, core-ms; INT64_MAX: it cannot. */
int64_t dff_core_total_evict_cost (const struct dff_core *core,
				   const struct dff_core_job *job,
				   const int32_t *workers);

/** Returns: least work lost to make @times members of @job fit on a worker; INT64_MAX: never. */
int64_t dff_core_evict_cost (const struct dff_core *core,
			     const struct dff_core_worker *worker,
			     const struct dff_core_job *job,
			     int32_t times);

/** Gives a job its workers: starts it when they are free, else preempts and reserves. */
void dff_core_take (struct dff_core *core,
		    struct dff_core_job *job,
		    const int32_t *workers,
		    enum dff_core_hold hold,
		    int32_t shape);

/** Gives up a reservation; the job holds nothing then. */
void dff_core_unreserve (struct dff_core *core, struct dff_core_job *job);

/** System: starts reserved jobs whose victims are gone. */
void dff_core_run_reserved (struct dff_core *core);

/* pace.c */

void dff_core_durations_init (struct dff_core *core);

/** Takes in what a task takes on a worker. */
void dff_core_handle_duration (struct dff_core *core, const struct dff_event *event);

void dff_core_reset_durations (struct dff_core *core, int32_t worker);

/** Judges all workers anew, every so often. */
void dff_core_run_durations (struct dff_core *core);

/** Returns: whether a worker is slower than a job is placed on for now. */
bool dff_core_exceeds_duration_limit (const struct dff_core *core,
				      const struct dff_core_worker *worker,
				      const struct dff_core_job *job);

/** Has a job be placed on quick workers only, on less quick ones with each call. Returns: false
 * when any worker will do. */
bool dff_core_next_duration_limit (const struct dff_core *core, struct dff_core_job *job);

#endif
