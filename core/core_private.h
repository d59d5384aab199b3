#ifndef DFF_CORE_CORE_PRIVATE_H
#define DFF_CORE_CORE_PRIVATE_H

#include "core/core_tables.h"

/* Functions of the decision core over the tables of core_tables.h, grouped by source file. */

/* resources.c */

void dff_resources_add (struct dff_resources *sum, const struct dff_resources *term, int32_t times);

/** Returns: @a minus @b, member by member; members may be negative. */
struct dff_resources dff_resources_less (const struct dff_resources *a,
					 const struct dff_resources *b);

/** Returns: the minimum of each member. */
struct dff_resources dff_resources_min (const struct dff_resources *a,
					const struct dff_resources *b);

/** Returns: how many times @need fits into @available, from 0 to @limit. */
int32_t dff_resources_fits (const struct dff_resources *available,
			    const struct dff_resources *need,
			    int32_t limit);

/** Whether no member of @available is negative. */
bool dff_resources_covered (const struct dff_resources *available);

bool dff_resources_equal (const struct dff_resources *a, const struct dff_resources *b);

/* tables.c */

/** Returns: the index of the worker named @name; DFF_CORE_NONE when there is none. */
int32_t dff_core_find_worker (const struct dff_core *core, const struct dff_name *name);

/** Returns: the index of the worker named @name. A new worker is added, undeclared. */
int32_t dff_core_intern_worker (struct dff_core *core, const struct dff_name *name);

int32_t dff_core_find_team (const struct dff_core *core, const struct dff_name *name);

/** Returns: the index of a region; DFF_CORE_NONE when no rack is in it. */
int32_t dff_core_find_region (const struct dff_core *core, const struct dff_name *name);

/** Returns: the index of a label; DFF_CORE_NONE when no worker or job has used it. */
int32_t dff_core_find_label (const struct dff_core *core, const struct dff_name *name);

/** Returns: the index of a label, which is added when new; DFF_CORE_NONE for the empty name. */
int32_t dff_core_intern_label (struct dff_core *core, const struct dff_name *name);

/** Returns: the index of a region, which is added when new. */
int32_t dff_core_intern_region (struct dff_core *core, const struct dff_name *name);

struct dff_core_job *dff_core_find_job (const struct dff_core *core, const struct dff_name *id);

/** Adds a job in state DFF_CORE_QUEUED that is not in a queue yet. */
struct dff_core_job *dff_core_job_add (struct dff_core *core, const struct dff_job_spec *spec);

void dff_core_job_remove (struct dff_core *core, struct dff_core_job *job);

void dff_core_job_free (struct dff_core_job *job);

/** Drops the members and placements of the last attempt. */
void dff_core_job_clear_attempt (struct dff_core_job *job);

/** Whether START_TASK may be sent to a worker: it is up, or is being probed after quarantine. */
bool dff_core_worker_accepts_starts (const struct dff_core_worker *worker);

/** Whether new work may be placed on a worker. */
bool dff_core_worker_usable (const struct dff_core_worker *worker);

void dff_core_worker_set_state (struct dff_core *core, int32_t index, enum dff_worker_state state);

/** Leases the resources of one member. The caller guarantees that @accelerators are free. */
void dff_core_lease (struct dff_core *core,
		     struct dff_core_job *job,
		     int32_t worker,
		     uint64_t accelerators);

void dff_core_unlease (struct dff_core *core, struct dff_core_job *job, int32_t member);

/** Reserves resources of a worker for a job that waits for its victims, @times of -1 releases them.
 */
void dff_core_worker_reserve (struct dff_core *core,
			      int32_t worker,
			      const struct dff_resources *resources,
			      int32_t times);

/** Updates whether leases or bound resources exceed the capacity, as after a pool change. */
void dff_core_worker_update_overload (struct dff_core_worker *worker);

/** Recomputes the sums kept for a rack. */
void dff_core_rack_summarise (struct dff_core *core, int32_t rack);

void dff_core_worker_clear (gpointer worker);
void dff_core_rack_clear (gpointer rack);

/* isolation.c */

void dff_core_job_set_blame (struct dff_core *core, struct dff_core_job *job, int32_t blame);

/** Whether a job may crash its worker and has to be placed in isolation. */
bool dff_core_job_is_isolated (const struct dff_core *core, const struct dff_core_job *job);

/** Whether a job may be placed on a worker: at most one isolated job on trial per worker. */
bool dff_core_isolation_allows (const struct dff_core *core,
				const struct dff_core_worker *worker,
				const struct dff_core_job *job);

/** Returns: the sort key of a worker for placing a job, lowest first. @left is the key by best fit:
 * what the worker has left. */
int32_t dff_core_isolation_order (const struct dff_core *core,
				  const struct dff_core_worker *worker,
				  const struct dff_core_job *job,
				  int32_t left);

/* lifecycle.c */

/** Appends a command about a job's attempt; the next tick returns it. */
struct dff_command *
dff_core_emit (struct dff_core *core, enum dff_command_type type, const struct dff_core_job *job);

/** Changes a job's state. All changes go through here, to keep counters and queues consistent. */
void dff_core_set_state (struct dff_core *core,
			 struct dff_core_job *job,
			 enum dff_core_state state,
			 int64_t deadline_ms);

/** Moves a job to DFF_CORE_RESERVED. */
void dff_core_attempt_reserve (struct dff_core *core, struct dff_core_job *job);

/** Puts a job without an attempt or reservation back into its queue. */
void dff_core_job_requeue (struct dff_core *core, struct dff_core_job *job);

/** Leases the workers in job->members and requests that the attempt is recorded. */
void dff_core_attempt_begin (struct dff_core *core, struct dff_core_job *job);

void dff_core_attempt_recorded (struct dff_core *core, struct dff_core_job *job);

void dff_core_attempt_refused (struct dff_core *core, struct dff_core_job *job);

/** Handles an event of one task. @event->member must be in range. */
void dff_core_handle_member_event (struct dff_core *core,
				   struct dff_core_job *job,
				   const struct dff_event *event);

void dff_core_job_cancel (struct dff_core *core, struct dff_core_job *job);

/** Ends an attempt early so that its job can be placed again. */
void dff_core_job_preempt (struct dff_core *core,
			   struct dff_core_job *job,
			   enum dff_core_preempt_cause cause);

/** Sends STOP_TASK to every open member of an attempt. */
void dff_core_attempt_stop (struct dff_core *core,
			    struct dff_core_job *job,
			    enum dff_core_stop_cause cause);

/** System: handles start timeouts, the checkpoint grace period and repeated stops. */
void dff_core_run_deadlines (struct dff_core *core);

/** Queues a job after @wait_ms. */
void dff_core_delay (struct dff_core *core, struct dff_core_job *job, int64_t wait_ms);

/** System: queues the jobs whose backoff has elapsed. */
void dff_core_run_delayed (struct dff_core *core);

/** Resumes an attempt that was found running at a takeover; its members are filled in already. */
void dff_core_attempt_resume (struct dff_core *core, struct dff_core_job *job, int64_t age_ms);

/* outcome.c */

/** Ends or retries a job whose attempt has no open member left. */
void dff_core_attempt_finish (struct dff_core *core, struct dff_core_job *job);

void dff_core_job_end (struct dff_core *core,
		       struct dff_core_job *job,
		       enum dff_outcome outcome,
		       const char *reason);

/** Whether blame points have reached the limit: too many workers crashed while they ran the job. */
bool dff_core_job_exceeds_blame_limit (const struct dff_core *core, const struct dff_core_job *job);

/** Ends a job that exceeds the blame limit and holds no attempt. */
void dff_core_job_end_blamed (struct dff_core *core, struct dff_core_job *job);

/** Ends a job without an attempt: as not_run when no part of it ever ran, else as failed. */
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

/** Compares jobs by submission time, as qsort() does. */
int dff_core_compare_age (const struct dff_core_job *one, const struct dff_core_job *other);

/** Adds a job to the queue of its class. */
void dff_core_enqueue (struct dff_core *core, struct dff_core_job *job);

/** Removes a job from the queue of its class, if it is in one. */
void dff_core_dequeue (struct dff_core *core, struct dff_core_job *job);

/* order.c */

/** Returns: the score of a job that borrows; lower scores are placed first. It rises with the
 * expected remaining run time and falls with the time waited. */
double dff_core_score (const struct dff_core *core, const struct dff_core_job *job);

/** Returns: the score of a running job, computed at most a few seconds ago. */
double dff_core_running_score (const struct dff_core *core, struct dff_core_job *job);

/** System: places queued jobs in order. */
void dff_core_run_queue (struct dff_core *core);

/* policy.c */

struct dff_core_policy dff_core_policy_from (const struct dff_weights *weights);

/* defrag.c */

/** System: preempts narrow jobs where that frees another whole piece of a rack. */
void dff_core_run_defrag (struct dff_core *core);

int64_t dff_core_defrag_wake_ms (const struct dff_core *core);

/* rack_reservation.c */

/** Reserves neighbouring racks for a waiting gang. Returns: whether racks were newly reserved. */
bool dff_core_reserve_racks (struct dff_core *core, struct dff_core_job *job);

/** System: releases rack reservations that have expired. */
void dff_core_run_rack_reservations (struct dff_core *core);

/** Releases the racks reserved for @job. */
void dff_core_release_racks (struct dff_core *core, struct dff_core_job *job);

/** Whether a rack is reserved for another gang that @job would delay. */
bool dff_core_rack_is_reserved (const struct dff_core *core,
				const struct dff_core_rack *rack,
				const struct dff_core_job *job);

/* headroom.c */

/** Adds a job's accelerators to the demand of its priority; @times is 1, or -1 to remove them. */
void dff_core_headroom_count (struct dff_core *core, const struct dff_core_job *job, int32_t times);

/** Ranks the workers by the order in which they are used; the last are kept free first. Called
 * after the racks were declared. */
void dff_core_headroom_rank (struct dff_core *core);

/** System: updates the headroom of all regions from the demand of the priorities. */
void dff_core_run_headroom (struct dff_core *core);

/** Returns: the priority whose headroom a job leaves free: its own, or a higher one after a
 * wait. */
int32_t dff_core_headroom_level (const struct dff_core *core, const struct dff_core_job *job);

/** Whether work of @priority has to leave a worker free. */
bool dff_core_is_headroom (const struct dff_core *core,
			   const struct dff_core_worker *worker,
			   int32_t priority);

/* shape_order.c */

/** Records the shape of a job that has arrived. */
void dff_core_note_shape (struct dff_core *core, const struct dff_core_job *job);

/** System: lets recorded shapes decay, and counts again what fits. */
void dff_core_run_shapes (struct dff_core *core);

/** Whether a job is placed by the recorded shapes. */
bool dff_core_has_shape_order (const struct dff_core *core, const struct dff_core_job *job);

/** Returns: the sort key of a rack for a single task, lowest first; INT32_MAX: it does not fit. */
int32_t dff_core_shape_rack_order (const struct dff_core *core,
				   struct dff_core_rack *rack,
				   const struct dff_core_job *job);

/** Whether a job of the highest priority is placed by the recorded shapes. */
bool dff_core_has_shape_gang_order (const struct dff_core *core, const struct dff_core_job *job);

/** Returns: the sort key of a rack for a gang, lowest first; INT32_MAX: it does not fit. */
int32_t dff_core_shape_gang_order (const struct dff_core *core,
				   struct dff_core_rack *rack,
				   const struct dff_core_job *job);

/** Returns: the sort key of a worker in its rack, lowest first. @left is the key by best fit. */
int32_t dff_core_shape_worker_order (const struct dff_core *core,
				     const struct dff_core_worker *worker,
				     const struct dff_core_job *job,
				     int32_t left);

/** Whether a single task waits because urgent work is expected to stop it on @worker before it has
 * saved anything. */
bool
dff_core_shape_holds (const struct dff_core *core, const struct dff_core_job *job, int32_t worker);

/** Counts what fits on the free accelerators of a rack's usable workers. */
struct dff_rack_fits dff_core_rack_fits (const struct dff_core *core,
					 const struct dff_core_rack *rack);

/** Fills in the gauges of what fits now. */
void dff_core_shape_stats (const struct dff_core *core, struct dff_core_stats *stats);

/* start.c */

bool dff_core_within_quota (const struct dff_core *core, const struct dff_core_job *job);

/** Starts a queued job in a guaranteed shape of its team; work that borrows is preempted for it. */
bool dff_core_try_claim (struct dff_core *core, struct dff_core_job *job);

/** Starts a queued job as a borrower, outside the guarantees, if it can be placed now. */
bool dff_core_try_borrow (struct dff_core *core, struct dff_core_job *job);

/* estimate.c */

GHashTable *dff_core_estimators_new (void);

/** Returns: (transfer none): the run time estimator for jobs like @spec. */
struct dff_core_estimator *dff_core_estimator_for (struct dff_core *core,
						   const struct dff_job_spec *spec);

/** Updates the estimator with the run time of a completed job. */
void dff_core_estimate_update (struct dff_core_job *job, int64_t run_ms);

/** Estimates the run time of a job from past runs. */
void dff_core_estimate (struct dff_core_job *job);

/** Assesses whether a job that would start now meets its objective, by its estimated run time. */
struct dff_objective_assessment dff_core_job_assess (const struct dff_core *core,
						     const struct dff_core_job *job);

/** Returns: the expected remaining run time, ms. */
int64_t dff_core_remaining_ms (const struct dff_core *core, const struct dff_core_job *job);

/* leaving.c */

/** Preempts jobs that will not end before a worker leaves. */
void dff_core_review_leaving_worker (struct dff_core *core, int32_t worker);

/** Preempts a job if one of its workers leaves before the job's expected end. */
void dff_core_review_leaving_job (struct dff_core *core, struct dff_core_job *job);

/* quarantine.c */

void dff_core_note_failure (struct dff_core *core, struct dff_core_job *job, int32_t worker);

/** Quarantines a worker whatever its history, unless too many workers are quarantined already. */
void dff_core_worker_try_quarantine (struct dff_core *core, int32_t worker);

/** Handles a restart of a worker: resets its health and its relative duration. */
void dff_core_worker_handle_restart (struct dff_core *core, const struct dff_name *id);

/** Handles a run, begun at @started_ms, that has completed on a worker. */
void dff_core_note_success (struct dff_core *core, int32_t worker, int64_t started_ms);

/** Whether a job has failed on a worker before and should be placed on another. */
bool dff_core_job_avoids (const struct dff_core_job *job, int32_t worker);

/** Whether a worker, back from quarantine, has no success yet. It gets one attempt at a time. */
bool dff_core_worker_on_trial (const struct dff_core_worker *worker);

/** System: moves workers whose quarantine has elapsed to probing, and workers that got no probe in
 * time back to work. */
void dff_core_run_quarantine (struct dff_core *core);

int64_t dff_core_quarantine_wake_ms (const struct dff_core *core);

/** Whether a job may probe a worker after its quarantine. @worker: (out): which one. */
bool
dff_core_place_probe (const struct dff_core *core, const struct dff_core_job *job, int32_t *worker);

/* place.c */

/** The capacity that a placement may use. */
enum dff_core_view {
	/** Free capacity. */
	DFF_CORE_VIEW_FREE,
	/** Free capacity that no witness placement needs. */
	DFF_CORE_VIEW_UNBOUND,
	/** Free capacity, and that of jobs that may be preempted. */
	DFF_CORE_VIEW_EVICT,
	/** As DFF_CORE_VIEW_EVICT, less what witness placements need. */
	DFF_CORE_VIEW_EVICT_UNBOUND,
	/** Every declared worker as if it were up and empty. */
	DFF_CORE_VIEW_EMPTY,
	/** As DFF_CORE_VIEW_EMPTY, less the witness placements of shapes. */
	DFF_CORE_VIEW_EMPTY_LESS_WITNESSES,
};

/**
 * dff_core_place:
 * @workers: (out): array of job->gang worker indices
 *
 * Returns: whether every member fits; @workers then holds the worker of each.
 */
bool dff_core_place (const struct dff_core *core,
		     const struct dff_core_job *job,
		     enum dff_core_view view,
		     int32_t *workers);

/** Returns: the capacity of a worker that @job may use under @view. */
struct dff_resources dff_core_worker_available (const struct dff_core *core,
						const struct dff_core_worker *worker,
						const struct dff_core_job *job,
						enum dff_core_view view);

/** Returns: accelerators to lease on a worker for one member: the lowest free ones. */
uint64_t dff_core_pick_accelerators (const struct dff_core_worker *worker, int32_t count);

/* witness.c */

/** Returns: the resources that go with @count accelerators of a worker in a witness placement:
 * their share of cores and memory, and one slot each, or as many as the worker has. */
struct dff_resources dff_core_worker_share (const struct dff_core_worker *worker, int32_t count);

/** Creates the shapes for the guarantees of the pool. Claims of the former shapes are dropped. */
void dff_core_set_shapes (struct dff_core *core, const struct dff_pool *pool);

void dff_core_shape_clear (gpointer shape);

/** System: finds witness placements for shapes that lost theirs or have none. */
void dff_core_run_witnesses (struct dff_core *core);

/** Moves the witness placements of unclaimed shapes off workers that are bound beyond their
 * capacity. Returns: false, with nothing moved, when some shape would no longer fit. */
bool dff_core_relocate_witnesses (struct dff_core *core);

/** Releases the witness placement of a shape. */
void dff_core_shape_unpack (struct dff_core *core, struct dff_core_shape *shape);

/** Makes @parts the witness placement of a shape. */
void
dff_core_shape_set_parts (struct dff_core *core, struct dff_core_shape *shape, const GArray *parts);

/** Sort key of a rack's workers for packing, lowest first. */
typedef int64_t (*dff_core_worker_cost_func) (const struct dff_core_worker *worker,
					      const void *user);

/** Packs @size accelerators into the unbound capacity of one rack. @parts: (out). */
bool dff_core_pack_rack (const struct dff_core *core,
			 int32_t rack,
			 int32_t size,
			 dff_core_worker_cost_func cost,
			 const void *user,
			 GArray *parts);

/* cover.c */

/** Adds a guaranteed job to the accounting of covers. */
void dff_core_cover (struct dff_core *core, struct dff_core_job *job);

/** Removes a job from the accounting; the oldest waiting jobs that fit are covered instead. */
void dff_core_uncover (struct dff_core *core, struct dff_core_job *job);

/** Recomputes all covers, after the shapes were declared. */
void dff_core_cover_all (struct dff_core *core);

/* claim.c */

/** Returns: what a member needs beyond the share that its shape has bound already. */
struct dff_resources dff_core_beyond_share (const struct dff_core_worker *worker,
					    const struct dff_core_job *job);

/** Binds the members of a job that is about to hold its workers, according to job->hold. */
void dff_core_job_bind (struct dff_core *core, struct dff_core_job *job);

void dff_core_member_unbind (struct dff_core *core, struct dff_core_job *job, int32_t member);

/**
 * dff_core_claim:
 * @workers: (out): array of job->gang worker indices
 * @shape: (out): index of the shape
 *
 * Finds a shape of the job's team that can hold the job, and the placement in it that loses least
 * work. The witness placement of the shape moves where that avoids preemptions.
 *
 * Returns: whether there is one.
 */
bool dff_core_claim (struct dff_core *core,
		     const struct dff_core_job *job,
		     int32_t *workers,
		     int32_t *shape);

/** Lets a recovered job claim an unclaimed shape of its team, if there is one. */
bool dff_core_claim_adopt (struct dff_core *core, struct dff_core_job *job);

/** Recomputes the bound resources, after the shapes or the workers were declared. */
void dff_core_rebind_all (struct dff_core *core);

/* reclaim.c */

/** A worker that may hold members of a job. */
struct dff_core_candidate {
	int32_t worker;
	/** Number of members it can hold. */
	int32_t fits;
	/** Accelerators left besides. Of equal workers, the one with fewest is filled first. */
	int32_t accelerators_left;
	/** Work lost when it holds @fits members, core-ms. */
	int64_t cost;
};

/** Distributes a job's members over @candidates, which are sorted by cost. Returns: work lost,
 * core-ms; -1 when the members do not all fit. */
int64_t dff_core_choose_workers (const struct dff_core *core,
				 const struct dff_core_job *job,
				 GArray *candidates,
				 int32_t *workers);

/** Whether @job may preempt @occupant. */
bool dff_core_may_evict (const struct dff_core *core,
			 const struct dff_core_job *job,
			 struct dff_core_job *occupant);

/** Returns: what a job occupies while it runs, as a number of cores. */
int64_t dff_core_job_footprint (const struct dff_core *core, const struct dff_core_job *job);

/** Returns: work lost by preempting a job, core-ms. */
int64_t dff_core_lost_work (const struct dff_core *core, const struct dff_core_job *job);

/** Returns: work lost by placing a job on @workers, core-ms; INT64_MAX: it does not fit there. */
int64_t dff_core_total_evict_cost (const struct dff_core *core,
				   const struct dff_core_job *job,
				   const int32_t *workers);

/** Returns: number of tasks that are stopped by placing a job on @workers; INT32_MAX: it does not
 * fit there. */
int32_t dff_core_evicted_tasks (const struct dff_core *core,
				const struct dff_core_job *job,
				const int32_t *workers);

/** Returns: least work lost to fit @times members of @job on a worker, core-ms; INT64_MAX: they
 * never fit. */
int64_t dff_core_evict_cost (const struct dff_core *core,
			     const struct dff_core_worker *worker,
			     const struct dff_core_job *job,
			     int32_t times);

/** Assigns workers to a job: starts it when they are free, else preempts and reserves. */
void dff_core_take (struct dff_core *core,
		    struct dff_core_job *job,
		    const int32_t *workers,
		    enum dff_core_hold hold,
		    int32_t shape);

/** Cancels a reservation; the job then holds nothing. */
void dff_core_unreserve (struct dff_core *core, struct dff_core_job *job);

/** System: starts reserved jobs whose victims have ended. */
void dff_core_run_reserved (struct dff_core *core);

/* relative_duration.c */

void dff_core_durations_init (struct dff_core *core);

/** Handles the projected duration of a task on a worker. */
void dff_core_handle_duration (struct dff_core *core, const struct dff_event *event);

void dff_core_reset_durations (struct dff_core *core, int32_t worker);

/** System: updates the relative durations of all workers at an interval. */
void dff_core_run_durations (struct dff_core *core);

/** Whether a worker exceeds the duration limit that a job is placed with. */
bool dff_core_exceeds_duration_limit (const struct dff_core *core,
				      const struct dff_core_worker *worker,
				      const struct dff_core_job *job);

/** Raises the duration limit that a job is placed with: the first call sets the strictest. Returns:
 * false when no limit is left to try, or all workers are about equally fast. */
bool dff_core_next_duration_limit (const struct dff_core *core, struct dff_core_job *job);

#endif
