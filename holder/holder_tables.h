#ifndef DFF_HOLDER_HOLDER_TABLES_H
#define DFF_HOLDER_HOLDER_TABLES_H

#include "core/core.h"
#include "graph/progress.h"
#include "holder/holder.h"
#include "holder/tables.h"
#include "rows/scan.h"
#include "rows/subscription.h"

/* State of a holder: its workers, the runs on them, its jobs and their units, and its own state,
 * grouped by the file that owns each part. */

/** A worker's clock may be slower than this machine's by this share: the platform's bound. */
#define HOLDER_CLOCK_DRIFT 0.02
#define HOLDER_CLOCK_UNKNOWN INT64_MIN

enum holder_phase {
	/** Another process holds the lease of the cell, or none does. */
	DFF_HOLDER_WATCHING,
	/** A transaction that takes the lease is in progress. */
	DFF_HOLDER_TAKING,
	/** The lease is taken; the rows are being read. */
	DFF_HOLDER_READING,
	DFF_HOLDER_HOLDING,
};

/** Phase of a member's run at a worker. */
enum run_phase {
	/** Recorded; the worker has not reported yet that it runs. */
	DFF_RUN_PHASE_STARTING,
	DFF_RUN_PHASE_OPEN,
	/** To be stopped, until its end is reported. */
	DFF_RUN_PHASE_STOPPING,
};

/** Why all runs at a worker are over. */
enum holder_loss {
	/** Another incarnation answers at the worker's address. */
	DFF_LOSS_OTHER_INCARNATION,
	/** The worker has restarted under the same id. */
	DFF_LOSS_RESTARTED,
	/** The worker did not answer for as long as its lease lasts. It may still run, cut off
	 * from the holder. */
	DFF_LOSS_LEASE_LAPSED,
};

struct commit_call;
struct holder_unit;
struct holder_worker;

struct holder_run {
	struct holder_worker *worker;
	struct holder_unit *unit;
	int32_t member;
	int32_t attempt;
	int32_t run;
	struct dff_name task;
	/** (nullable): the checkpoint from which the run starts. */
	char *checkpoint;
	/** Changed only by run_set_phase(). */
	enum run_phase phase;
	/** Link in the holder's @pending_runs, unless the phase is OPEN. */
	GList link;
	/** Whether the worker was ever seen running it. */
	bool ran;
	/** When the run became known as open: worker reports requested before that may not list
	 * it. */
	int64_t open_ms;
	bool order_in_flight;
	/** When the worker last listed another run of the task as active; 0: it never did. */
	int64_t other_listed_ms;
	/** Number of start orders without an answer: each of them may still be carried out. */
	int32_t n_unanswered;
	/** Whether a former holder recorded the run as open, and may have sent its start. */
	bool inherited;
	/** When this process first sent the start; 0: not sent by this process. */
	int64_t sent_ms;
	/** The worker's clock when the run was first known to be running, ms; 0: not known to run.
	 */
	int64_t running_since_clock_ms;
	/** When the next call is due. */
	int64_t next_ms;
	/** When the worker answered the stop; 0: not yet. */
	int64_t stopped_ms;
	/** Event to report to the core when the worker turns out not to have the run. */
	enum dff_event_type unlisted_event;
	/** Last reported progress, and the time since which it has not changed. */
	int32_t percent;
	int64_t percent_ms;
	/** The worker's clock from which its progress is measured, and the progress at that time;
	 * 0: not known yet. */
	int64_t measured_from_clock_ms;
	int32_t measured_from_percent;
	/** Whether the core was given the estimated duration of the run. */
	bool duration_reported;
};

/** State at the start of a call to a worker, to determine which incarnation its answer belongs to.
 */
struct incarnation_mark {
	/** Number of the worker's incarnation to which the call was sent. */
	int32_t n_incarnations;
	int64_t begun_ms;
};

/** A list entry of an incarnation that the worker's own answers have not confirmed yet. */
struct incarnation_entry {
	struct dff_upstream upstream;
	int64_t revision;
	/** Start time of the call that returned the entry. */
	int64_t begun_ms;
	/** When an entry of that incarnation was first seen. */
	int64_t noted_ms;
};

/** A start order without an answer. */
struct unanswered_start {
	struct dff_name task;
	int32_t run;
	int64_t noted_ms;
	/** Whether the current incarnation has answered a stop of the run, so that it refuses the
	 * run from then on. */
	bool revoked;
	bool stop_in_flight;
};

struct holder_worker {
	/** The worker's entry, of the incarnation that its answers have shown. */
	struct dff_upstream upstream;
	/** Number of incarnations after the first known one, and when the current one became
	 * known. */
	int32_t n_incarnations;
	int64_t incarnation_known_ms;
	/** Start of the incarnation that the last entry describes. */
	int64_t entry_started_ms;
	/** (nullable): the last entry, if it is of a later incarnation. */
	struct incarnation_entry *next_entry;
	/** (nullable): starts that may still be carried out. Elements: struct unanswered_start. */
	GArray *unanswered;
	/** Whether the list contains the worker, and since when it does not. */
	bool listed;
	int64_t missing_since_ms;
	/** When the worker leaves, according to its notice; 0: not known. */
	int64_t leaves_ms;
	/** Revision of the worker's list entry, and the start of the call that first returned it.
	 */
	int64_t entry_revision;
	int64_t entry_changed_ms;
	/** Whether another incarnation answered at its address, or its lease has lapsed after it
	 * left the list. */
	bool lost;
	/** The worker's clock, and the local time at which it was read; 0: never in this epoch. */
	int64_t clock_ms;
	int64_t clock_read_ms;
	/** Latest deadline that may have reached the worker, on its clock. */
	int64_t deadline_ms;
	/** Start time of the last watch call that was answered. */
	int64_t answered_ms;
	/** When the worker's last report was applied, and when a start was last sent to the worker
	 * or answered by it. */
	int64_t lists_ms;
	int64_t start_ms;
	/** Since when calls have had no answer, as far as known by now; 0: there has been an
	 * answer since. */
	int64_t unanswered_since_ms;
	/** Number of consecutive calls without an answer. */
	int32_t n_unanswered;
	bool watch_in_flight;
	bool query_in_flight;
	int64_t next_watch_ms;
	/** Number of the last completion received, in the current transaction, and recorded. */
	int64_t ended_seen;
	int64_t ended_in_flight;
	int64_t ended_recorded;
	/** Whether the worker's last report may leave out completions. */
	bool report_incomplete;
	/** When a run at the worker last became known as over: worker reports requested before
	 * that may still list the run. */
	int64_t settled_ms;
	/** When a stall of the worker's tasks was last reported to the core. */
	int64_t stalled_ms;
	enum dff_worker_state state;
	/** Key: struct dff_name * (in the run). Value: struct holder_run *. */
	GHashTable *runs;
	/** (nullable): tasks blamed for the worker's lapsed lease. Elements: struct dff_name. */
	GArray *blamed;
};

struct holder_job {
	struct dff_name id;
	struct dff_plan *plan;
	struct dff_progress *progress;
	bool cancelled;
	bool dirty;
	/** State on record, and in the current transaction if that covers the job. */
	enum dff_job_state recorded_state;
	enum dff_job_state drafted_state;
	/** Whether the job's row is not recorded yet, and whether the transaction being built
	 * contains the row. */
	bool provisional;
	bool row_drafted;
	/** Why and when it ended; NULL: it has not. Static. */
	const char *end_reason;
	int64_t ended_ms;
	/** Elements: struct holder_ack. */
	GArray *acks;
	int64_t added_ms;
	/** Memory that it counts for, bytes, see holder/load.c. */
	size_t load_bytes;
	/** When the next occurrence is due, ms since 1970. */
	int64_t due_ms;
};

/** What the row of DFF_KEY_SPEEDS holds of one worker. */
struct speeds_entry {
	struct dff_worker_duration duration;
	/** Start of the worker's incarnation; DFF_START_UNREPORTED where workers report none. */
	int64_t started_ms;
};

/** What the row of DFF_KEY_SPEEDS holds. */
struct speeds_record {
	/** Elements: struct speeds_entry, by their difference from the mean, largest first. */
	GArray *entries;
	/** The same by name. */
	GHashTable *by_name;
	/** Whether workers were left out because of the size of the row. */
	bool truncated;
};

/** An attempt to acknowledge to the core once the job's row is written. */
struct holder_ack {
	struct dff_name unit;
	int32_t attempt;
	/** Number of tasks that are placed where a place was kept for them. */
	int32_t n_kept_tasks;
	/** Time from the failure of the attempt before to this placement, ms; -1: none failed. */
	int64_t retry_delay_ms;
	/** Whether the current transaction covers it. */
	bool in_flight;
};

struct holder_unit {
	struct dff_name name;
	struct holder_job *job;
	struct dff_unit unit;
	/** Run number minus the core's attempt number. */
	int32_t base_run;
	int32_t attempt;
	/** Last attempt for which a stop was requested. */
	int32_t stopped_attempt;
	/** When the first task of the last attempt failed or was lost; 0: none did, or the next
	 * attempt is placed. */
	int64_t failed_ms;
	int32_t n_members;
	/** One per member; NULL where no run is open. */
	struct holder_run **runs;
};

struct dff_holder {
	struct dff_holder_options options;
	enum holder_phase phase;
	/** Incremented at each change of phase to WATCHING, to recognise late answers. */
	int64_t term;
	struct dff_timer *tick_timer;
	struct dff_timer *step_timer;
	bool stepping_down;

	/* holder/lease.c */
	int64_t epoch;
	int64_t row_revision;
	int64_t sequence;
	bool reading_row;
	/** Start time of the last read. */
	int64_t row_read_ms;
	int64_t next_read_ms;
	int64_t seen_revision;
	int64_t row_unchanged_since_ms;
	/** Duration of the last read of the store: of this row, or of the inbox. */
	int64_t read_duration_ms;
	bool probe_in_flight;
	/** Revision of the row whose holder has ended or released the lease; -1: none. */
	int64_t ended_revision;
	/** Whether that holder certainly renews no more leases; a refused connection does not show
	 * this. */
	bool renewals_ended;
	/** Time until which the former holder, and the holders before it, may renew leases. */
	int64_t former_renewals_end_ms;
	int64_t earlier_renewals_end_ms;
	/** Upper bound of the store's clock minus the local clock; HOLDER_CLOCK_UNKNOWN: not
	 * known. */
	int64_t store_clock_offset_ms;
	struct dff_name former_instance;
	struct dff_name former_address;
	/** Latest known epoch of the cell, from the holder's row or reported by the holder itself,
	 * and when it was last reported by the latter. */
	int64_t known_epoch;
	int64_t known_epoch_reported_ms;
	int64_t next_former_probe_ms;
	/** Start time of the last probe that was answered by an active holder, and the revision of
	 * its row then. */
	int64_t active_probe_ms;
	int64_t active_revision;
	/** When the holder may be probed next. */
	int64_t next_probe_ms;
	int64_t taken_ms;

	/* holder/handover.c */
	/** Shortest takeover time known of any process, ms. */
	int64_t least_takeover_ms;
	/** Whether the lease is being released for a process with a shorter takeover. */
	bool handing_over;
	/** Epoch of the last holder seen, and since when. */
	int64_t seen_epoch;
	int64_t seen_epoch_ms;
	/** Epoch of the holder that was last asked to hand over, and when. */
	int64_t handover_asked_epoch;
	int64_t handover_asked_ms;

	/* holder/commit.c */
	/** Start time of the last transaction or read that showed this process as the holder. */
	int64_t confirmed_ms;
	/** (nullable): the transaction in progress. */
	struct commit_call *commit_call;
	int64_t commit_begun_ms;
	int64_t next_commit_ms;
	int32_t commit_wait_ms;
	int32_t commit_timeout_ms;
	/** Duration of the last transaction, or how long it has had no answer. */
	int64_t commit_duration_ms;
	bool store_lost;
	int64_t store_lost_ms;
	/** Start time of the transaction whose failure showed that the store is lost. */
	int64_t lost_begun_ms;
	/** Whether a transaction that releases the lease was sent: it may be carried out late. */
	bool releasing;
	GHashTable *dirty;

	/* holder/draft.c */
	/** Elements: struct holder_job *, covered by the current transaction. */
	GPtrArray *committed_jobs;
	bool commit_covers_all;
	/** Jobs whose rows are to be removed. Elements: struct removal. */
	GQueue finished;
	/** The same by name (struct dff_name * to struct removal), so that a scan of all rows does
	 * not add a finished job again. */
	GHashTable *finished_names;
	GString *waiting_recorded;
	GString *waiting_in_flight;
	int64_t waiting_due_ms;

	/* holder/speeds.c */
	struct {
		/** Whether the row is still to be read, whether a read is in progress, and the
		 * number of reads so far. */
		bool reading;
		bool read_in_flight;
		int32_t n_reads;
		/** When a failed read may be repeated, and until when it is; 0: not known yet. */
		int64_t next_read_ms;
		int64_t read_limit_ms;
		/** Workers of the row whose incarnation is not known yet, by name. Value: struct
		 * speeds_entry. */
		GHashTable *pending;
		/** Variances in the row, and the local time to which the row applies. */
		struct dff_duration_variances variances;
		int64_t valid_ms;
		/** Number of workers of the row whose relative duration was imported, of those that
		 * have restarted since, and of those whose value is out of range or too old. */
		guint n_imported;
		guint n_restarted;
		guint n_ignored;
		/** (nullable): what is recorded, and what the current transaction contains. */
		struct speeds_record *recorded;
		struct speeds_record *in_flight;
		/** When the row was last recorded, and is to be examined next. */
		int64_t recorded_ms;
		int64_t due_ms;
		/** Delay after a transaction with the row that failed, ms. */
		int64_t retry_delay_ms;
		/** Whether the last transaction with the row failed and none without it has been
		 * answered since, and how often in succession the next one without it did not
		 * fail. */
		bool suspect;
		int32_t n_refused;
	} speeds;

	/* holder/submissions.c */
	/** Rows that wait to be written, oldest first. Elements: struct submission *. */
	GQueue submissions;
	/** Checks in progress whether refused jobs are on record. */
	int32_t n_record_checks;

	/* holder/load.c */
	/** Memory of all jobs, bytes. */
	size_t load_bytes;
	/** struct dff_name *, a team, to size_t *, the memory of its jobs, bytes. */
	GHashTable *load_by_team;

	/* holder/queries.c */
	/** State queries that wait for an answer. Elements: struct query *. */
	GQueue queries;
	struct dff_timer *query_timer;

	/* holder/recovery.c */
	struct dff_subscription *jobs_subscription;
	GHashTable *recorded;
	struct dff_scan *progress_scan;
	bool progress_read;
	bool jobs_read;

	/* holder/relays.c */
	/** Number of relays that this process wants. */
	int32_t n_relays;

	/* holder/inbox.c */
	bool reading_inbox;
	int64_t next_inbox_ms;
	/** Keys that are applied and are to be removed from the inbox. Elements: char *. */
	GHashTable *inbox_done;

	/* holder/jobs.c */
	struct dff_core *core;
	GArray *commands;
	GHashTable *jobs;
	GHashTable *units;
	/** Jobs that are removed once none of their units is left. Elements: struct holder_job *.
	 */
	GPtrArray *withdrawn;
	int64_t next_due_ms;

	/* holder/runs.c */
	/** Runs for which calls may be due, oldest first. Elements: struct holder_run *. */
	GQueue pending_runs;

	/* holder/workers.c */
	GHashTable *workers;
	GArray *teams;
	bool pool_changed;

	/* holder/evacuation.c */
	/** Data centres whose workers get no new tasks. Elements: struct dff_name. */
	GArray *evacuated;

	/* holder/capacity.c */
	/** Services whose workers do not enforce their capacity. Elements: struct dff_name. */
	GArray *unenforced;

	/* holder/list.c */
	struct dff_scan *list_scan;
	/** When the current page was requested. */
	int64_t list_page_ms;
	/** Workers seen in the current scan. */
	GHashTable *list_seen;
	bool listed_once;
	int64_t next_list_ms;
	/** Changes up to this revision are known; 0: the list is to be read whole. */
	int64_t list_revision;
	bool changes_in_flight;
	/** Earliest time of the next log line about an unreadable entry. */
	int64_t next_unreadable_ms;

	/* holder/incarnations.c */
	/** Start of each worker that the holder has forgotten, by name: the core still knows what
	 * it has learned of that incarnation. Key: struct dff_name *, value: gint64 *. */
	GHashTable *former_starts;
	/** Earliest time of the next log line about an invalid start time of a worker. */
	int64_t next_invalid_start_ms;

	struct {
		int64_t *takeovers;
		int64_t *commits;
		int64_t *commit_unknown;
		int64_t *commit_conflicts;
		int64_t *starts;
		int64_t *starts_rejected;
		int64_t *units_stopped;
		int64_t *orphans;
		int64_t *unlisted_runs;
		int64_t *incomplete_reports;
		int64_t *ends[DFF_RUN_GANG_TIMEOUT + 1];
		int64_t *lapsed_workers;
		int64_t *runs_lost;
		int64_t *stalled_workers;
		int64_t *unreadable_entries;
		int64_t *restarted_workers;
		int64_t *invalid_starts;
		int64_t *jobs_completed;
		int64_t *jobs_failed;
		int64_t *jobs_cancelled;
		struct dff_histogram *commit_latency;
		struct dff_histogram *job_wait;
		int64_t *is_holding;
		int64_t *open_runs;
		int64_t *open_jobs;
		int64_t *evacuated_runs;
		int64_t *queries_answered;
		int64_t *submissions;
		int64_t *submissions_refused;
		int64_t *starts_withdrawn;
		int64_t *speeds_recorded;
		int64_t *speeds_taken_over;
		int64_t *speeds_undecodable;
		int64_t *speeds_refused;
		int64_t *retries[DFF_RETRY_LOST + 1];
		struct dff_histogram *retry_delay;
		int64_t *kept_tasks;
		int64_t *kept_tasks_used;
	} metrics;
};

#endif
