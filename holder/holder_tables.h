#ifndef DFF_HOLDER_HOLDER_TABLES_H
#define DFF_HOLDER_HOLDER_TABLES_H

#include "core/core.h"
#include "graph/progress.h"
#include "holder/holder.h"
#include "holder/tables.h"
#include "rows/scan.h"
#include "rows/subscription.h"

/* What a holder knows: its workers, the runs on them, its jobs and their units, and its own state,
 * by the file that each part of it belongs to. */

/** A worker's clock may be this much slower than ours: the platform's bound. */
#define HOLDER_CLOCK_DRIFT 0.02
#define HOLDER_CLOCK_UNKNOWN INT64_MIN

enum holder_phase {
	/** Another process holds the cell, or nobody does. */
	DFF_HOLDER_WATCHING,
	/** A transaction to take the cell is on its way. */
	DFF_HOLDER_TAKING,
	/** The cell is taken; rows are being read. */
	DFF_HOLDER_READING,
	DFF_HOLDER_HOLDING,
};

/** Life of a member's run at a worker. */
enum run_phase {
	/** Recorded; the worker has not said that it runs. */
	DFF_RUN_PHASE_STARTING,
	DFF_RUN_PHASE_OPEN,
	/** To be stopped, until its end is known. */
	DFF_RUN_PHASE_STOPPING,
};

/** Why every run at a worker is over. */
enum holder_loss {
	/** Another life answers at its address. */
	DFF_LOSS_OTHER_INCARNATION,
	/** The worker has started again under its id. */
	DFF_LOSS_RESTARTED,
	/** It was not heard for as long as its lease lasts. It may live on and be cut off. */
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
	/** (nullable): where the run begins. */
	char *checkpoint;
	/** Changed by run_set_phase() alone. */
	enum run_phase phase;
	/** In the holder's @unsettled, unless its phase is OPEN. */
	GList link;
	/** Whether the worker was ever seen running it. */
	bool ran;
	/** When it was known to be open: older lists of the worker say nothing about it. */
	int64_t open_ms;
	bool order_in_flight;
	/** Starts without an answer: any of them may still be carried out. */
	int32_t n_unanswered;
	/** Whether a former holder has recorded it as open, and may have sent it. */
	bool inherited;
	/** When its start was sent first; 0: not by this process. */
	int64_t sent_ms;
	/** The worker's clock when it was first known to be at work; 0: it is not. */
	int64_t begun_clock_ms;
	/** When the next call is due. */
	int64_t next_ms;
	/** When the worker answered the stop; 0: not yet. */
	int64_t stopped_ms;
	/** What to tell the core when the worker turns out not to have it. */
	enum dff_event_type unlisted_event;
	/** Progress last reported, and since when it has been that. */
	int32_t percent;
	int64_t percent_ms;
	/** Where its progress is measured from, on the worker's clock; 0: not known yet. */
	int64_t measured_from_clock_ms;
	int32_t measured_from_percent;
	/** Whether the core was told what the whole of it takes there. */
	bool duration_reported;
};

/** What holds when a call to a worker begins, to tell which life its answer is of. */
struct incarnation_mark {
	/** Number of the worker's life that the call was meant for. */
	int32_t n_incarnations;
	int64_t begun_ms;
};

/** An entry of the list, of a life that the worker's own answers have not shown yet. */
struct incarnation_entry {
	struct dff_upstream upstream;
	int64_t revision;
	/** Begin of the call that showed it. */
	int64_t begun_ms;
	/** When the entry of that life was seen first. */
	int64_t noted_ms;
};

/** A start without an answer. */
struct unanswered_start {
	struct dff_name task;
	int32_t run;
	int64_t noted_ms;
	/** Whether the present life has answered a stop of it, and refuses it from then on. */
	bool revoked;
	bool stop_in_flight;
};

struct holder_worker {
	/** What its entry says, of the life that its answers tell. */
	struct dff_upstream upstream;
	/** Lives that have followed the first that was known, and when the present one was known
	 * first. */
	int32_t n_incarnations;
	int64_t incarnation_known_ms;
	/** Of the life that its last entry is about. */
	int64_t entry_started_ms;
	/** (nullable): the last entry, if it is of a later life. */
	struct incarnation_entry *next_entry;
	/** (nullable): starts that may still be carried out. Elements: struct unanswered_start. */
	GArray *unanswered;
	/** Whether the list names it, and since when it does not. */
	bool listed;
	int64_t missing_since_ms;
	/** When it will be gone, by its notice that it leaves; 0: not known. */
	int64_t leaves_ms;
	/** Revision of its entry in the list, and the begin of the call that showed it first. */
	int64_t entry_revision;
	int64_t entry_changed_ms;
	/** Another life answered at its address, or its lease has lapsed after it left the list. */
	bool gone;
	/** Its clock, and when that was read here; 0: never in this epoch. */
	int64_t clock_ms;
	int64_t clock_read_ms;
	/** Latest deadline that may have reached it, on its clock. */
	int64_t deadline_ms;
	/** Begin of the last watch that was answered. */
	int64_t answered_ms;
	/** When its lists were taken in last, and a start was sent to it or answered by it last. */
	int64_t lists_ms;
	int64_t start_ms;
	/** Since when calls have had no answer, for all that is known by now; 0: there was one
	 * since. */
	int64_t unanswered_since_ms;
	/** Calls in a row without an answer. */
	int32_t n_unanswered;
	bool watch_in_flight;
	bool query_in_flight;
	int64_t next_watch_ms;
	/** Last end taken in, and the last that is on record. */
	int64_t ended_seen;
	int64_t ended_pending;
	int64_t ended_recorded;
	/** When a run there was last known to be over: lists asked for before that may show it. */
	int64_t settled_ms;
	/** When the core was told last that its tasks stand still. */
	int64_t stalled_ms;
	enum dff_worker_state state;
	/** struct dff_name * (in the run) to struct holder_run. */
	GHashTable *runs;
	/** (nullable): tasks blamed for its lapsed lease. Elements: struct dff_name. */
	GArray *blamed;
};

struct holder_job {
	struct dff_name id;
	struct dff_plan *plan;
	struct dff_progress *progress;
	bool cancelled;
	bool dirty;
	/** States on record, and in the transaction in progress if it covers the job. */
	enum dff_job_state recorded_state;
	enum dff_job_state drafted_state;
	/** Whether its row is not on record yet, and whether the transaction being made has it. */
	bool provisional;
	bool row_drafted;
	/** Elements: struct holder_ack. */
	GArray *acks;
	int64_t added_ms;
	/** When the next occurrence is due, ms since 1970. */
	int64_t due_ms;
};

/** What the core is to be told once a job's row is written. */
struct holder_ack {
	struct dff_name unit;
	int32_t attempt;
	/** Whether the transaction in progress covers it. */
	bool in_flight;
};

struct holder_unit {
	struct dff_name name;
	struct holder_job *job;
	struct dff_unit unit;
	/** Number of a run less the core's attempt. */
	int32_t base_run;
	int32_t attempt;
	/** Attempt that was told last to stop. */
	int32_t stopped_attempt;
	int32_t n_members;
	/** One a member; NULL where no run is open. */
	struct holder_run **runs;
};

struct dff_holder {
	struct dff_holder_options options;
	enum holder_phase phase;
	/** Grows with each change of phase to WATCHING, to tell late answers. */
	int64_t term;
	struct dff_timer *tick_timer;
	struct dff_timer *step_timer;
	bool stepping_down;

	/* holder/lease.c */
	int64_t epoch;
	int64_t row_revision;
	int64_t sequence;
	bool reading_row;
	/** Begin of the last reading. */
	int64_t row_read_ms;
	int64_t next_read_ms;
	int64_t seen_revision;
	int64_t seen_since_ms;
	/** How long the last reading of the store took: of this row, or of the inbox. */
	int64_t read_took_ms;
	bool probe_in_flight;
	/** Revision of the row whose holder has ended or let go; -1: none. */
	int64_t ended_revision;
	/** Whether that holder surely renews nothing any more; nobody listening does not tell. */
	bool ended_certain;
	/** Until when the former holder, and those before it, may renew leases. */
	int64_t former_until_ms;
	int64_t earlier_until_ms;
	/** The store's clock less this one, at the most; HOLDER_CLOCK_UNKNOWN: not told. */
	int64_t store_ahead_ms;
	struct dff_name former_instance;
	struct dff_name former_address;
	/** Epoch of the process that decides, by its row or by itself, and when the latter was. */
	int64_t known_epoch;
	int64_t known_epoch_reported_ms;
	int64_t next_former_probe_ms;
	/** When the process that said last that it decides was asked; its row had that revision. */
	int64_t active_probe_ms;
	int64_t active_revision;
	/** When the holder may be asked next whether it is there. */
	int64_t next_probe_ms;
	int64_t taken_ms;

	/* holder/handover.c */
	/** The quickest take-over that is known, ms. */
	int64_t least_takeover_ms;
	/** Whether the cell is being let go of for a quicker process. */
	bool handing_over;
	/** Epoch of the holder that was seen last, and since when. */
	int64_t seen_epoch;
	int64_t seen_epoch_ms;
	/** Epoch of the holder that was asked last to hand over, and when. */
	int64_t handover_asked_epoch;
	int64_t handover_asked_ms;

	/* holder/commit.c */
	/** Begin of the last transaction or read that showed this process as the holder. */
	int64_t confirmed_ms;
	/** (nullable): the transaction in progress. */
	struct commit_call *commit_call;
	int64_t commit_begun_ms;
	int64_t next_commit_ms;
	int32_t commit_wait_ms;
	int32_t commit_timeout_ms;
	/** Of the last transaction, or how long it has had no answer. */
	int64_t commit_took_ms;
	bool store_lost;
	int64_t store_lost_ms;
	/** Begin of the transaction that showed it. */
	int64_t lost_begun_ms;
	/** Whether a transaction that lets go of the cell was sent: it may be carried out late. */
	bool releasing;
	GHashTable *dirty;

	/* holder/draft.c */
	/** Elements: struct holder_job *, covered by the transaction in progress. */
	GPtrArray *committed_jobs;
	bool commit_covers_all;
	/** Jobs whose rows are to be removed. Elements: struct removal. */
	GQueue finished;
	/** The same by name (struct dff_name * to struct removal), so that a reading of all rows
	 * does not bring one to life again. */
	GHashTable *finished_names;
	GString *waiting_recorded;
	GString *waiting_in_flight;
	int64_t waiting_due_ms;

	/* holder/submissions.c */
	/** Rows that wait to be written, the oldest first. Elements: struct submission *. */
	GQueue submissions;

	/* holder/looks.c */
	/** Elements: struct look *, questions that wait for an answer. */
	GQueue queries;
	struct dff_timer *query_timer;

	/* holder/recovery.c */
	struct dff_subscription *jobs_subscription;
	GHashTable *recorded;
	struct dff_scan *progress_scan;
	bool progress_read;
	bool jobs_read;

	/* holder/relays.c */
	/** Processes that are to carry this one's calls. */
	int32_t n_relays;

	/* holder/inbox.c */
	bool reading_inbox;
	int64_t next_inbox_ms;
	/** Keys that are taken in and are to leave the inbox. Elements: char *. */
	GHashTable *inbox_done;

	/* holder/jobs.c */
	struct dff_core *core;
	GArray *commands;
	GHashTable *jobs;
	GHashTable *units;
	/** Jobs that are forgotten once none of their units is left. Elements: struct holder_job *.
	 */
	GPtrArray *withdrawn;
	int64_t next_due_ms;

	/* holder/runs.c */
	/** Runs that calls may be due for, the oldest first. Elements: struct holder_run *. */
	GQueue pending_runs;

	/* holder/workers.c */
	GHashTable *workers;
	GArray *teams;
	bool pool_changed;

	/* holder/evacuation.c */
	/** Data centres whose workers get nothing new. Elements: struct dff_name. */
	GArray *evacuated;

	/* holder/rooms.c */
	/** Services whose workers start whatever they are told to. Elements: struct dff_name. */
	GArray *unenforced;

	/* holder/list.c */
	struct dff_scan *list_scan;
	/** When the page in progress was asked for. */
	int64_t list_page_ms;
	/** Workers seen in the reading in progress. */
	GHashTable *list_seen;
	bool listed_once;
	int64_t next_list_ms;
	/** Changes up to this revision are known; 0: the list is to be read whole. */
	int64_t list_revision;
	bool changes_in_flight;
	/** When the log may tell next of an entry that cannot be read. */
	int64_t next_unreadable_ms;

	/* holder/lives.c */
	/** The same, of a life's start that is not taken. */
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
		int64_t *starts_withdrawn;
	} metrics;
};

#endif
