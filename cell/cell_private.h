#ifndef DFF_CELL_CELL_PRIVATE_H
#define DFF_CELL_CELL_PRIVATE_H

#include "cell/cell.h"
#include "cell/job_row.h"
#include "cell/lease.h"
#include "cell/retention.h"

/*
 * Private tables of the holder and the modules that use them. Callbacks of the table and of workers
 * only store what they receive; the tick sends everything, after it has compared the lease with the
 * clock. A process that resumes after a pause therefore does not act on outdated state.
 */

/** Shortest and longest delay before a call or write is repeated, ms; doubled in between. */
#define DFF_CELL_RETRY_MIN_MS 50
#define DFF_CELL_RETRY_MAX_MS 1000
/** Number of starts of a member that are proven unsent before its attempt fails. The next attempt
 * may use another worker. */
#define DFF_CELL_START_TRIES 3
/** Time after the expiry of the task lease before a silent worker's tasks count as lost, ms. Allows
 * for clocks that run at different rates. */
#define DFF_CELL_SILENCE_MARGIN_MS 2000
/** Rows read by one scan. */
#define DFF_CELL_PAGE_ROWS 256

/** What a member's worker is to do; the latest command supersedes earlier ones. */
enum dff_cell_wanted {
	DFF_CELL_WANT_NOTHING,
	DFF_CELL_WANT_START,
	DFF_CELL_WANT_RELEASE,
	DFF_CELL_WANT_CHECKPOINT,
	DFF_CELL_WANT_STOP,
};

struct dff_cell_member {
	struct dff_placement placement;
	/** Incarnation of the worker when the intent was recorded; 0: not known. */
	int64_t incarnation;
	enum dff_cell_wanted wanted;
	/** Incremented with each change of @wanted, to tell answers to earlier calls apart. */
	uint32_t wanted_seq;
	int32_t tries;
	bool held;
	/** A start may have reached the worker. */
	bool sent;
	/** A start was sent, and its outcome is not known. */
	bool in_doubt;
	/** The worker refused the start. */
	bool refused;
	/** The member was released to run, or may have been. */
	bool released;
	bool started;
	int64_t started_ms;
	/** The core has been sent an event for the member's end. */
	bool ended;
	/** State that the member's worker reported at a takeover; DFF_TASK_UNKNOWN also when the
	 * worker did not answer. */
	enum dff_task_state recovered_state;
};

enum dff_cell_write_type {
	DFF_CELL_WRITE_START,
	DFF_CELL_WRITE_RETRY,
	DFF_CELL_WRITE_END,
};

/** A change of a job's row that the core requested. */
struct dff_cell_write {
	enum dff_cell_write_type type;
	int32_t attempt;
	/** Elements: struct dff_placement, and int64_t; NULL except for starts. */
	GArray *placements;
	GArray *incarnations;
	enum dff_outcome outcome;
	struct dff_name reason;
};

struct dff_cell_job {
	/** The row as it is known to be durable. */
	struct dff_job_row *row;
	/** Members of the open attempt. Elements: struct dff_cell_member. */
	GArray *members;
	/** A former holder opened the attempt. */
	bool recovered;
	/** struct dff_cell_write, in order; the head is the one that is written next. */
	GQueue writes;
	/** The recorder has the head, or its conflict is being resolved. */
	bool writing;
	int32_t write_tries;
	bool cancel_reported;
	/** Another process ended the job, or its row is deleted or unreadable: the job is only
	 * removed from the core. */
	bool ended_elsewhere;
	struct dff_result_ref result;
	/** Span of the stage that the job is in; its name is NULL if there is none. */
	struct dff_span span;
};

struct dff_cell_worker {
	struct dff_name name;
	/** Empty: never in the instance list. */
	struct dff_name address;
	bool listed;
	bool listed_leaving;
	bool reports_leaving;
	bool reachable;
	bool reported;
	enum dff_worker_state reported_state;
	/** Incarnation in the worker's last answer; 0: no answer yet. */
	int64_t incarnation;
	/** Time when the worker was added to this table or queried at a takeover, ms. */
	int64_t since_ms;
	/** Time of the last lease renewal that the worker is known to have answered, ms; 0: no
	 * report yet. */
	int64_t renewed_ms;
	bool querying;
	/** Time of the last query of the worker for its tasks, ms. */
	int64_t queried_ms;
};

/** A batch with jobs that have not ended. */
struct dff_cell_batch {
	struct dff_name name;
	int32_t remaining;
	/** Longest run time that its jobs declare, ms. */
	int64_t declared_ms;
	/** Time when one of its jobs last started, ended or was queued, ms. */
	int64_t changed_ms;
	bool stalled;
};

enum dff_cell_call_type {
	DFF_CELL_CALL_TASK,
	DFF_CELL_CALL_QUERY,
	DFF_CELL_CALL_ORPHAN,
	DFF_CELL_CALL_WRITE,
	DFF_CELL_CALL_READ,
	DFF_CELL_CALL_SCAN,
};

/** A call to a worker, the table or the recorder that is not answered yet. */
struct dff_cell_call {
	struct dff_cell *cell;
	enum dff_cell_call_type type;
	/** The cell's term at the time of the call; answers from an earlier term are ignored. */
	uint64_t term;
	struct dff_name worker;
	struct dff_task_id task;
	uint32_t wanted_seq;
	int32_t tries;
	int64_t sent_ms;
	uint64_t ticket;
	/** Outcome in the row that is deleted. */
	enum dff_outcome outcome;
};

enum dff_cell_due_type {
	DFF_CELL_DUE_TASK,
	DFF_CELL_DUE_WRITE,
	DFF_CELL_DUE_QUERY,
	DFF_CELL_DUE_ORPHAN,
};

/** A call or write to be sent at a given time. */
struct dff_cell_due {
	int64_t due_ms;
	enum dff_cell_due_type type;
	struct dff_name worker;
	struct dff_task_id task;
	uint32_t wanted_seq;
	int32_t tries;
};

enum dff_cell_phase {
	DFF_CELL_STANDBY,
	/** Takeover, reading the job rows. */
	DFF_CELL_SCANNING,
	/** Takeover, querying the workers. */
	DFF_CELL_QUERYING,
	DFF_CELL_ACTIVE,
};

/** State of the scan of job rows in order of revision. */
struct dff_cell_feed {
	int64_t cursor;
	/** Revision of the table when the scan last reached its end. */
	int64_t scanned_revision;
	int64_t due_ms;
	bool scanning;
	bool hinted;
	int32_t tries;
};

struct dff_cell_recovery {
	int64_t begun_ms;
	int64_t query_until_ms;
	int32_t n_queries;
	/** Elements: struct dff_cell_recovery_report. */
	GArray *reports;
};

/** A task report that arrived during a takeover, kept until the core is rebuilt. */
struct dff_cell_recovery_report {
	struct dff_name worker;
	int64_t incarnation;
	struct dff_task_report report;
};

struct dff_cell_metrics {
	int64_t *recoveries;
	int64_t *recovery_ms;
	int64_t *starts;
	int64_t *retries;
	int64_t *conflicts;
	int64_t *orphans;
	int64_t *lost;
	int64_t *bad_rows;
	int64_t *batch_stalls;
	int64_t *batches_stalled;
	int64_t *expired;
	int64_t *attempts_expired;
};

/** The core's counters, as published. */
struct dff_cell_core_metrics {
	int64_t *reclaims;
	int64_t *preemptions;
	int64_t *moves;
	int64_t *start_failures;
	int64_t *retries;
	int64_t *quarantined;
	int64_t *guarantees_missing;
	int64_t *fragmentation;
	/** The core's counters when they were last published. */
	struct dff_core_stats published;
	int64_t due_ms;
};

struct dff_cell {
	struct dff_cell_options options;
	struct dff_lease *lease;
	GRand *rand;
	GString *prefix;
	struct dff_pool *pool;
	enum dff_cell_phase phase;
	bool draining;
	/** The drained cell has released its lease. */
	bool released;
	/** Incremented when the cell steps down. */
	uint64_t term;
	/** Epoch of this term. */
	int64_t epoch;
	struct dff_core *core;
	/** Time when the current decision began, ms. */
	int64_t decide_ms;
	/** Events for the core, delivered by the next tick. Elements: struct dff_event. */
	GArray *events;
	GArray *commands;
	/** struct dff_name to struct dff_cell_job. */
	GHashTable *jobs;
	/** struct dff_name to struct dff_cell_worker. */
	GHashTable *workers;
	/** struct dff_name to struct dff_cell_batch. */
	GHashTable *batches;
	int64_t batches_due_ms;
	bool instances_known;
	int64_t workers_due_ms;
	int64_t audit_due_ms;
	/** struct dff_cell_due, in order of @due_ms. */
	GSequence *agenda;
	/** Outstanding calls, a set of struct dff_cell_call. */
	GHashTable *calls;
	struct dff_cell_feed feed;
	struct dff_cell_recovery recovery;
	struct dff_cell_retention retention;
	struct dff_cell_attempt_retention attempt_retention;
	/** Number of rows of ended jobs that still exist, by outcome. */
	int64_t ended[DFF_OUTCOME_UNKNOWN + 1];
	struct dff_cell_metrics metrics;
	struct dff_cell_core_metrics core_metrics;
};

/* core_metrics.c */

void dff_cell_core_metrics_init (struct dff_cell *cell, struct dff_metrics *metrics);

/** Publishes the core's counters once a second. The cell must have a core. */
void dff_cell_core_metrics_tick (struct dff_cell *cell);

/** Publishes the last counters of a core that is about to be freed, and sets its gauges to zero. */
void dff_cell_core_metrics_end (struct dff_cell *cell);

/* cell.c */

int64_t dff_cell_now_ms (const struct dff_cell *cell);

/** Delay before the next try, doubled with each and jittered, ms. */
int64_t dff_cell_backoff_ms (struct dff_cell *cell, int32_t tries);

/** Queues an event that the next tick delivers to the core. */
void dff_cell_queue_event (struct dff_cell *cell, const struct dff_event *event);

/** Delivers the queued events to the core. */
void dff_cell_deliver_events (struct dff_cell *cell);

struct dff_cell_call *dff_cell_call_begin (struct dff_cell *cell, enum dff_cell_call_type type);

/** Ends a call and frees it; its content is copied to @copy. Returns: whether the answer is still
 * to be handled. */
bool dff_cell_call_end (struct dff_cell_call *call, struct dff_cell_call *copy);

/* agenda.c */

void dff_cell_agenda_add (struct dff_cell *cell, const struct dff_cell_due *due);

/** Sends what is due, as long as the lease is held. */
void dff_cell_agenda_run (struct dff_cell *cell);

/* jobs.c */

/** Adds a job; takes ownership of @row. */
struct dff_cell_job *dff_cell_job_add (struct dff_cell *cell, struct dff_job_row *row);

struct dff_cell_job *dff_cell_job_find (const struct dff_cell *cell, const struct dff_name *id);

void dff_cell_job_remove (struct dff_cell *cell, const struct dff_name *id);

/** GDestroyNotify. */
void dff_cell_job_free (gpointer job);

/** Creates the members from the row's placements. */
void dff_cell_job_open (struct dff_cell_job *job);

/** Returns: (nullable): the member, if @task is of the open attempt. */
struct dff_cell_member *dff_cell_job_member (struct dff_cell_job *job,
					     const struct dff_task_id *task);

/** Sends the core an event for the recorded cancellation, once. */
void dff_cell_job_cancelled (struct dff_cell *cell, struct dff_cell_job *job);

/* batches.c */

/** Adds a job to the count of its batch, if it has one. */
void dff_cell_batch_join (struct dff_cell *cell, const struct dff_job_row *row);

/** Handles a job of the batch that has started or is queued again. */
void dff_cell_batch_progress (struct dff_cell *cell, const struct dff_job_row *row);

/** Handles a job of the batch that is removed from the table. */
void dff_cell_batch_leave (struct dff_cell *cell, const struct dff_job_row *row);

void dff_cell_batches_clear (struct dff_cell *cell);

/** Reports batches without progress. */
void dff_cell_batches_tick (struct dff_cell *cell);

/* feed.c */

void dff_cell_feed_start (struct dff_cell *cell);

void dff_cell_feed_tick (struct dff_cell *cell);

/* records.c */

/** Queues a change of a job's row; takes ownership of @write. */
void
dff_cell_record (struct dff_cell *cell, struct dff_cell_job *job, struct dff_cell_write *write);

void dff_cell_write_free (gpointer write);

/** Sends the head of a job's write queue. */
void dff_cell_record_send (struct dff_cell *cell, struct dff_cell_job *job);

/* executor.c */

/** Executes the core's commands. */
void dff_cell_execute (struct dff_cell *cell, const GArray *commands);

/** Sets what a member's worker is to do, and schedules the call. */
void dff_cell_set_wanted (struct dff_cell *cell,
			  struct dff_cell_job *job,
			  int32_t member,
			  enum dff_cell_wanted wanted);

/* calls.c */

void dff_cell_send_task (struct dff_cell *cell, const struct dff_cell_due *due);

void dff_cell_send_query (struct dff_cell *cell, const struct dff_cell_due *due);

void dff_cell_send_orphan_stop (struct dff_cell *cell, const struct dff_cell_due *due);

/* reports.c */

/**
 * dff_cell_apply_report:
 * @incarnation: of the worker that answered; 0: not known
 *
 * Applies a worker's report on one task.
 */
void dff_cell_apply_report (struct dff_cell *cell,
			    const struct dff_name *worker,
			    int64_t incarnation,
			    const struct dff_task_report *report);

/** Sends the core an event for the end of a member, once. */
void dff_cell_member_ended (struct dff_cell *cell,
			    struct dff_cell_job *job,
			    struct dff_cell_member *member,
			    enum dff_event_type type,
			    bool ran);

/** Sends the core an event for the start of a member, once. */
void dff_cell_member_started (struct dff_cell *cell,
			      struct dff_cell_job *job,
			      struct dff_cell_member *member);

/** Marks every task that is placed on @worker and has not ended as lost. */
void dff_cell_mark_tasks_lost (struct dff_cell *cell, const struct dff_name *worker);

/** Applies a complete answer of @worker to a query sent at @query_sent_ms: started tasks that it
 * does not name are lost. */
void dff_cell_apply_full_report (struct dff_cell *cell,
				 const struct dff_name *worker,
				 const struct dff_worker_result *result,
				 int64_t query_sent_ms);

/* workers.c */

struct dff_cell_worker *dff_cell_worker_find (const struct dff_cell *cell,
					      const struct dff_name *name);

struct dff_cell_worker *dff_cell_worker_add (struct dff_cell *cell, const struct dff_name *name);

/** Handles a worker's answer to a call of this process. */
void dff_cell_worker_answered (struct dff_cell *cell,
			       const struct dff_name *name,
			       const struct dff_worker_result *result);

/** Schedules a query of a worker for its tasks. */
void dff_cell_worker_query (struct dff_cell *cell, const struct dff_name *name, int64_t due_ms);

/** Handles a query that the worker did not answer. */
void dff_cell_worker_unanswered (struct dff_cell *cell, const struct dff_name *name);

/** Reports changed worker states to the core, and queries workers that are silent. */
void dff_cell_workers_tick (struct dff_cell *cell);

/** Reports worker states to the core: those that changed, or all with @again. */
void dff_cell_workers_report (struct dff_cell *cell, bool again);

/* recovery.c */

void dff_cell_recovery_begin (struct dff_cell *cell);

/** Applies a row during a takeover; takes ownership of @row. */
void dff_cell_recovery_apply_row (struct dff_cell *cell, struct dff_job_row *row);

/** Continues the takeover once every row has been read. */
void dff_cell_recovery_scanned (struct dff_cell *cell);

void dff_cell_recovery_tick (struct dff_cell *cell);

/** Handles a worker's answer to a query of the takeover, or its absence. */
void dff_cell_recovery_answer (struct dff_cell *cell,
			       const struct dff_name *worker,
			       const struct dff_worker_result *result);

/* spans.c */

/** Ends the span of the job's current stage. @outcome: static string. */
void dff_cell_span_end (struct dff_cell *cell, struct dff_cell_job *job, const char *outcome);

/** Ends the span of the job's current stage with @outcome and begins that of stage @name. */
void dff_cell_span_next (struct dff_cell *cell,
			 struct dff_cell_job *job,
			 const char *outcome,
			 const char *name);

/** Handles the placement of the job by the core: its stage changes from queue through decide to
 * record. */
void dff_cell_span_decided (struct dff_cell *cell, struct dff_cell_job *job);

/** Handles the start of a member. Once all members have started, the job is in stage run. */
void dff_cell_span_started (struct dff_cell *cell, struct dff_cell_job *job);

#endif
