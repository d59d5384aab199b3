#ifndef DFF_HOLDER_HOLDER_PRIVATE_H
#define DFF_HOLDER_HOLDER_PRIVATE_H

#include <inttypes.h>

#include "holder/holder_tables.h"

/** Common context of every call to the store, a worker or another process; first in its context. */
struct holder_call {
	struct dff_holder *holder;
	/** The holder's @term when the call began. */
	int64_t term;
	int64_t begun_ms;
};

/* holder.c */

/** Returns: (transfer full): a context of @size bytes, zero beyond its struct holder_call. */
gpointer holder_call_begin (struct dff_holder *holder, gsize size);

/**
 * holder_call_end:
 * @call: (transfer none): the context, to be freed by the caller with g_free()
 *
 * Returns: (nullable): the holder; NULL when it has stepped down since the call began, so that the
 * answer no longer applies.
 */
struct dff_holder *holder_call_end (const struct holder_call *call);

int64_t holder_now_ms (const struct dff_holder *holder);

/** Replaces the contents of an array. Elements: struct dff_name. */
void holder_names_set (GArray *array, const struct dff_name *names, size_t n_names);

bool holder_names_have (const GArray *array, const struct dff_name *name);

/** Schedules the next step of the holder at once. */
void holder_wake (struct dff_holder *holder);

/* lease.c */

/** Reads the holder's row, and takes the lease when the row no longer changes. */
void lease_step (struct dff_holder *holder);

/** After a takeover, probes the former holder to determine whether it still renews leases. */
void lease_probe_former (struct dff_holder *holder);

/** Resets all state of the holder: another process has the lease of the cell, or may have it soon.
 */
void lease_step_down (struct dff_holder *holder, const char *reason);

/** Returns: (transfer full): the value of the holder's row. */
GString *lease_encode (const struct dff_holder *holder, int64_t sequence, bool released);

struct lease_row {
	int64_t epoch;
	int64_t sequence;
	struct dff_name instance;
	/** Address at which the holder is probed. */
	struct dff_name address;
	bool released;
	/** Time until which holders before this one may renew leases, on the store's clock, ms; 0:
	 * not known. */
	int64_t renewing_until_ms;
	/** Takeover time of the holder, and the shortest one known of any process, ms; 0: not
	 * known. */
	int64_t takeover_ms;
	int64_t least_takeover_ms;
	/** Address at which relays connect to the holder, and the number of relays it wants. */
	struct dff_name relay_address;
	int32_t n_relays;
};

bool lease_decode (struct dff_str text, struct lease_row *row);

/** Returns: whether workers' leases may be renewed. While they may, no process that took over can
 * assume yet that renewals have ended. */
bool lease_may_renew (const struct dff_holder *holder);

/** Returns: when the lease that a former holder may have granted has certainly expired, for a
 * worker that has not answered in this epoch. */
int64_t lease_former_expiry_ms (const struct dff_holder *holder);

/* relays.c */

/** Called when another process holds the lease; @lease: its row, requested at @begun_ms. */
void relays_follow (struct dff_holder *holder, const struct lease_row *lease, int64_t begun_ms);

/** Called when a process reports that it is the holder, at @address: a hint, since only the
 * holder's row is authoritative. */
void relays_note_holder (struct dff_holder *holder, const struct dff_name *address, int64_t epoch);

/** Called when this process has taken the lease; @n_relays: number that the former holder wanted.
 */
void relays_begin (struct dff_holder *holder, int32_t n_relays);

/** Updates the number of relays for the current number of workers. */
void relays_count (struct dff_holder *holder);

void relays_reset (struct dff_holder *holder);

/* handover.c */

/** Returns: how long this process waits for processes with a shorter takeover, ms. @lease: the
 * holder's row; its epoch is 0 when there is none. */
int64_t handover_delay_ms (const struct dff_holder *holder, const struct lease_row *lease);

/** Handles the row of a live holder. Returns: whether to ask that holder to hand over. */
bool handover_is_due (struct dff_holder *holder, const struct lease_row *lease);

/** Returns: whether the holder was just asked to hand over, so that its row is to be read again
 * soon. */
bool handover_is_asked (const struct dff_holder *holder, const struct lease_row *lease);

/** Keeps the shortest known takeover time from the row that is about to be replaced. */
void handover_note_row (struct dff_holder *holder, const struct lease_row *lease);

/** Releases the lease if the takeover time of the process that asks is much shorter. */
void handover_answer (struct dff_holder *holder, int64_t takeover_ms);

/* commit.c */

void commit_mark_dirty (struct dff_holder *holder, struct holder_job *job);

/** Writes the changed rows, or only a heartbeat. */
void commit_step (struct dff_holder *holder);

void commit_reset (struct dff_holder *holder);

/* draft.c */

struct draft;

/** Returns: (transfer full): a transaction with the holder's row and all changes; with the
 * holder's row alone while the rows are still being read. */
struct draft *draft_new (struct dff_holder *holder, bool released);

void draft_free (struct draft *draft);

DFF_DEFINE_CLEANUP (draft, draft_free);

/** Returns: (transfer none). */
const struct dff_rows_write *draft_writes (const struct draft *draft);

size_t draft_n_writes (const struct draft *draft);

/** Returns: the conditions on unchanged rows; the first is on the holder's own row. */
const struct dff_rows_condition *draft_conditions (const struct draft *draft);

size_t draft_n_conditions (const struct draft *draft);

/** Adds a row that must not exist. Returns: false when it does not fit into the transaction. */
bool draft_submission (struct draft *draft, const char *key, const GString *value);

/** Adds a row. @value: (transfer full). Returns: false when it does not fit into the transaction.
 */
bool draft_row (struct draft *draft, const char *table, const char *key, GString *value);

/** The transaction is recorded: everything that waits for this proceeds. */
void draft_written (struct dff_holder *holder, const struct draft *draft);

/** The transaction may or may not be recorded: its rows are written again. */
void draft_unwritten (struct dff_holder *holder, enum dff_rows_outcome outcome);

/** Returns: whether a job is completed and only waits for its removal. */
bool draft_has_finished (const struct dff_holder *holder, const struct dff_name *job);

/** Returns: whether a job is completed and only waits for its removal. @state: (out): its final
 * state. */
bool draft_finished_state (const struct dff_holder *holder,
			   const struct dff_name *job,
			   enum dff_job_state *state);

void draft_reset (struct dff_holder *holder);

/* submissions.c */

/** Ends submissions that cannot be written in time. */
void submissions_step (struct dff_holder *holder);

/** Returns: whether a row waits to be written. */
bool submissions_are_waiting (const struct dff_holder *holder);

/** Adds rows to a transaction that is being built. */
void submissions_draft (struct dff_holder *holder, struct draft *draft);

/** Handles the outcome of the current transaction. */
void submissions_note_commit (struct dff_holder *holder, const struct dff_rows_result *result);

/** Called when the row of a provisional job is recorded, written by another process. */
void submissions_note_row (struct dff_holder *holder, struct dff_str key, int64_t revision);

/** Ends all submissions: with NOT_DONE those that are certainly not recorded, else with UNKNOWN. */
void submissions_reset (struct dff_holder *holder);

/** Drops all callbacks. */
void submissions_drop_waiters (struct dff_holder *holder);

/* queries.c */

void queries_open (struct dff_holder *holder);

/** Drops the queries that wait. */
void queries_close (struct dff_holder *holder);

/** Answers the queries that can be answered now. */
void queries_step (struct dff_holder *holder);

/* recovery.c */

/** Reads all recorded state, after which the holder can schedule. */
void recovery_begin (struct dff_holder *holder);

/** Starts scheduling once all recorded state is read. */
void recovery_step (struct dff_holder *holder);

void recovery_reset (struct dff_holder *holder);

/* jobs.c */

void jobs_begin (struct dff_holder *holder);
void jobs_reset (struct dff_holder *holder);

/** Handles a row of DFF_TABLE_JOBS. */
void jobs_handle_row (void *ctx, const struct dff_row *row);

/** Submits every job read so far to the core. */
void jobs_recover (struct dff_holder *holder);

/** Runs the core, and executes its commands. */
void jobs_step (struct dff_holder *holder);

/** Reports an event of a member to the core. */
void jobs_report (struct dff_holder *holder,
		  const struct dff_name *unit,
		  int32_t attempt,
		  int32_t member,
		  enum dff_event_type type,
		  bool ran);

/** Submits to the core every unit of a job that may run now and was not submitted before. */
void jobs_submit_ready (struct dff_holder *holder, struct holder_job *job);

/** Makes the core stop a job's units. */
void jobs_cancel_units (struct dff_holder *holder, const struct holder_job *job);

/** Counts and logs a job whose final state has just been recorded. */
void jobs_note_recorded (struct dff_holder *holder, const struct holder_job *job);

/** Ends a job; the caller ends its units. */
void jobs_end (struct dff_holder *holder,
	       struct holder_job *job,
	       enum dff_job_state state,
	       const char *reason);

/** Removes a job whose final state is recorded. Returns: false while one of its units is stopping.
 */
bool jobs_release (struct dff_holder *holder, struct holder_job *job);

/** Adds a job from its row. Returns: (nullable): the job; NULL when it existed already or cannot
 * be decoded. */
struct holder_job *jobs_ingest (struct dff_holder *holder, const struct dff_row *row);

/** Removes a provisional job and everything that was decided about it. */
void jobs_withdraw (struct dff_holder *holder, struct holder_job *job);

/** Returns: whether a key of DFF_TABLE_JOBS is that of a cancellation. */
bool jobs_is_cancel_key (struct dff_str key);

/** Returns: whether the row of a key of DFF_TABLE_JOBS is applied already. */
bool jobs_key_is_applied (struct dff_holder *holder, struct dff_str key);

/* units.c */

void unit_free (gpointer unit);

/** Submits a unit to the core: as running when its runs are recorded, otherwise as queued. */
void units_submit (struct dff_holder *holder, struct holder_job *job, const struct dff_unit *at);

/** Executes a command of the core. */
void units_execute (struct dff_holder *holder, const struct dff_command *command);

/** Counts a placement whose record is written. */
void units_note_recorded (struct dff_holder *holder, const struct holder_ack *ack);

/** Handles the first start of a task of a unit. */
void unit_note_started (struct dff_holder *holder, struct holder_unit *unit);

/** Counts a failed run, once for a gang. */
void unit_note_failed (struct dff_holder *holder, struct holder_unit *unit, int32_t member);

/* inbox.c */

void inbox_begin (struct dff_holder *holder);
void inbox_reset (struct dff_holder *holder);

/** Reads the inbox when that is due. */
void inbox_step (struct dff_holder *holder);

/* load.c */

void load_begin (struct dff_holder *holder);
void load_reset (struct dff_holder *holder);

/** Counts a job whose row has @row_bytes bytes. */
void load_add_job (struct dff_holder *holder, struct holder_job *job, size_t row_bytes);

/** To be called before the job is freed. */
void load_remove_job (struct dff_holder *holder, const struct holder_job *job);

/** Returns: whether the new job that @row holds may be accepted. An unreadable row is left to the
 * caller. */
bool load_admits (struct dff_holder *holder, struct dff_str row);

/* workers.c */

void workers_begin (struct dff_holder *holder);
void workers_reset (struct dff_holder *holder);

/** Reads the worker list when that is due, and reports changes to the core. */
void workers_step (struct dff_holder *holder);

struct holder_worker *workers_find (struct dff_holder *holder, const struct dff_name *id);

/** Returns: the worker with the id @id, added as not listed when it is new. */
struct holder_worker *workers_intern (struct dff_holder *holder, const struct dff_name *id);

/** Adds a team unless it is known. */
void workers_declare_team (struct dff_holder *holder, const struct dff_name *team);

/** Passes the currently known pool to the core. */
void workers_apply_pool (struct dff_holder *holder);

void worker_set_state (struct dff_holder *holder, struct holder_worker *worker);

/** Re-evaluates the state of every worker. */
void workers_evaluate (struct dff_holder *holder);

/** Returns: the name of a rack in the core, distinct for racks of different services. */
struct dff_name workers_rack_name (const struct dff_name *service, const struct dff_name *rack);

/** Handles a worker's list entry, returned by a call that began at @begun_ms. */
void workers_note_listed (struct dff_holder *holder,
			  const struct dff_upstream *upstream,
			  int64_t revision,
			  int64_t begun_ms);

void workers_note_unlisted (struct dff_holder *holder, const struct dff_name *id);

/** Re-evaluates the workers that are not listed, and removes those that are gone. */
void workers_sweep (struct dff_holder *holder);

/* incarnations.c */

struct incarnation_mark incarnation_mark (const struct dff_holder *holder,
					  const struct holder_worker *worker);

/** Determines which incarnation sent a worker report; a later incarnation replaces the current
 * one. Returns: whether the report is of the current incarnation. */
bool incarnation_accept_list (struct dff_holder *holder,
			      struct holder_worker *worker,
			      const struct dff_runner_result *result,
			      const struct incarnation_mark *mark);

/** Returns: whether the answer to an order is of the current incarnation. A later incarnation is
 * asked for its report. */
bool incarnation_accept_order (struct dff_holder *holder,
			       struct holder_worker *worker,
			       const struct dff_runner_result *result,
			       const struct incarnation_mark *mark);

/** Returns: whether a list entry is of the current incarnation. An entry of a later incarnation is
 * kept until the worker has confirmed it. */
bool incarnation_accept_entry (struct dff_holder *holder,
			       struct holder_worker *worker,
			       const struct dff_upstream *upstream,
			       int64_t revision,
			       int64_t begun_ms);

/** Notes a start order without an answer: any later incarnation of the worker may still carry it
 * out. */
void incarnation_note_unanswered (struct dff_holder *holder,
				  struct holder_worker *worker,
				  const struct dff_name *task,
				  int32_t run);

/** Handles the end of a stop call. @done: the current incarnation has answered it. */
void incarnation_note_stop (struct holder_worker *worker,
			    const struct dff_name *task,
			    int32_t run,
			    bool done);

/** Returns: whether a worker's entry and its answers are of the same incarnation. */
bool incarnation_is_confirmed (const struct holder_worker *worker);

/** Called before a worker that is no longer listed is removed: it may return as another
 * incarnation. */
void incarnation_note_removed (struct dff_holder *holder, const struct holder_worker *worker);

/* evacuation.c */

/** Returns: whether a worker gets no new tasks because its data centre is evacuated. */
bool evacuation_covers (const struct dff_holder *holder, const struct holder_worker *worker);

/** Returns: whether the known evacuations are recent enough to start tasks. */
bool evacuation_allows_starts (const struct dff_holder *holder);

/** Counts the runs that are open in evacuated data centres. */
void evacuation_count (struct dff_holder *holder);

/* capacity.c */

/** Returns: whether a worker's capacity is known, or the worker enforces its capacity itself. */
bool capacity_is_known (const struct dff_holder *holder, const struct holder_worker *worker);

/** Returns: whether a recorded start may be sent to a worker, given its current capacity. */
bool capacity_allows_start (const struct dff_holder *holder, const struct holder_worker *worker);

/** Returns: whether reported capacity can become too old, so that workers are to be re-evaluated
 * without new reports. */
bool capacity_can_expire (const struct dff_holder *holder);

/* list.c */

void list_begin (struct dff_holder *holder);
void list_reset (struct dff_holder *holder);

/** Requests the worker list, or its changes, when that is due. */
void list_step (struct dff_holder *holder);

/* watch.c */

/** Renews leases and receives completions: one call waits at each worker. */
void watch_step (struct dff_holder *holder);

/** Requests a report from a worker at once. */
void watch_query (struct dff_holder *holder, struct holder_worker *worker);

/** Returns: the lease deadline for a call to a worker, on its clock; 0: its lease is not to be
 * renewed. */
int64_t watch_deadline_ms (const struct dff_holder *holder, const struct holder_worker *worker);

/** Updates the worker's clock from an answer of its current incarnation; 0: the answer has no
 * clock. */
void watch_note_clock (struct dff_holder *holder, struct holder_worker *worker, int64_t clock_ms);

/** Notes a call without an answer that was due at @from_ms. */
void watch_note_unanswered (struct holder_worker *worker, int64_t from_ms);

/** Ends a run because its worker's incarnation or lease has ended. */
void watch_lose_run (struct dff_holder *holder, struct holder_run *run, enum holder_loss loss);

/** Ends all runs at a worker: its lease has lapsed or it is gone. */
void
watch_lose_worker (struct dff_holder *holder, struct holder_worker *worker, enum holder_loss loss);

/* blame.c */

/** Returns: the name of a loss in the log. Static. */
const char *blame_loss_name (enum holder_loss loss);

/** Adds blame points to a run's task for the loss of its worker, before the run ends. */
void blame_lost_run (struct dff_holder *holder, struct holder_run *run, enum holder_loss loss);

/** Clears the blame of a task whose worker reports the end of its run, if the run was active there
 * long enough. */
void blame_clear_ended (struct dff_holder *holder, const struct holder_run *run);

/** Takes back the blame for a worker's lapsed lease when its incarnation turns out to continue. */
void blame_withdraw (struct dff_holder *holder, struct holder_worker *worker);

/* durations.c */

/** Called when a run has started, from its beginning or from a checkpoint. */
void duration_note_started (struct holder_run *run);

/** Handles the progress that the worker has just reported. */
void duration_note_progress (struct dff_holder *holder, struct holder_run *run);

/** Handles the completion of a run. */
void duration_note_completed (struct dff_holder *holder, struct holder_run *run);

/* speeds.c */

/** The row of DFF_KEY_SPEEDS. */
struct speeds_row {
	/** When it was written: wall clock, ms since the Unix epoch. */
	int64_t written_ms;
	struct dff_duration_variances variances;
	/** Elements: struct speeds_entry. */
	GArray *entries;
};

void speeds_row_init (struct speeds_row *row);

void speeds_row_clear (struct speeds_row *row);

/** Encodes a row of limited size, with the workers that differ most from the mean. Sorts
 * @row->entries by that, largest first, and drops the others. Returns: (transfer full). */
GString *speeds_encode (struct speeds_row *row);

/** Decodes a row into @row, which is initialized. Entries that cannot be read are left out.
 * Returns: false when the row as a whole cannot be used. */
bool speeds_decode (struct dff_str text, struct speeds_row *row);

/** Takes over the entries of a row that was encoded. @truncated: whether speeds_encode() dropped
 * some. */
struct speeds_record *speeds_record_new (struct speeds_row *row, bool truncated);

void speeds_record_free (struct speeds_record *record);

/** Returns: whether a worker of the record is gone, has restarted or has another value in @row, or
 * one of @row belongs into the record. */
bool speeds_has_changed (const struct speeds_record *record, const struct speeds_row *row);

/** Called at a takeover: requests the row. The takeover does not wait for the answer. */
void speeds_begin (struct dff_holder *holder);

void speeds_reset (struct dff_holder *holder);

/** Repeats a read that failed, and passes to the core what was read about workers whose incarnation
 * has become known. */
void speeds_step (struct dff_holder *holder);

/** Adds the row to a transaction if it is due. */
void speeds_draft (struct dff_holder *holder, struct draft *draft);

/** Handles the outcome of a transaction: it is recorded, or it may not be. */
void speeds_note_written (struct dff_holder *holder);
void speeds_note_unwritten (struct dff_holder *holder, enum dff_rows_outcome outcome);

/** Returns: whether the current transaction contains the row. */
bool speeds_in_flight (const struct dff_holder *holder);

/* runs.c */

struct holder_run *run_new (struct dff_holder *holder,
			    struct holder_unit *unit,
			    int32_t member,
			    struct holder_worker *worker,
			    enum run_phase phase);

/** Ends a run: reports @type to the core and frees the run. */
void
run_end (struct dff_holder *holder, struct holder_run *run, enum dff_event_type type, bool ran);

void run_free (gpointer run);

void run_set_phase (struct dff_holder *holder, struct holder_run *run, enum run_phase phase);

void run_stop (struct dff_holder *holder, struct holder_run *run);

/** Returns: whether the worker's last report lists another run of the task as active, so that this
 * one must not start yet. */
bool run_is_obstructed (const struct holder_run *run);

/** Sends the stop again to a worker's next incarnation, whether or not the previous one was sent a
 * stop. */
void run_stop_again (struct dff_holder *holder, struct holder_run *run);

/** Handles a worker report that lists the run as running. */
void run_note_active (struct dff_holder *holder,
		      struct holder_run *run,
		      const struct dff_run_active *open);

/** Handles a worker report that lists the run as ended. */
void run_note_ended (struct dff_holder *holder,
		     struct holder_run *run,
		     const struct dff_run_ended *ended);

/** Sends the calls that are due. */
void runs_step (struct dff_holder *holder);

/** Stops a run that is not on record. */
void run_stop_orphan (struct dff_holder *holder,
		      struct holder_worker *worker,
		      const struct dff_name *task,
		      int32_t run);

/** Makes a worker refuse a run that it may not have started. */
void run_revoke (struct dff_holder *holder,
		 struct holder_worker *worker,
		 const struct dff_name *task,
		 int32_t run);

#endif
