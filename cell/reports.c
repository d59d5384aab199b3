#include "cell/cell_private.h"

#include "common/log.h"

/* Turns task reports of workers into events for the core, each sent at most once. */

static int32_t
member_index (const struct dff_cell_job *job, const struct dff_cell_member *member)
{
	return (int32_t)(member - (const struct dff_cell_member *)(const void *)job->members->data);
}

static void
queue_member_event (struct dff_cell *cell,
		    const struct dff_cell_job *job,
		    const struct dff_cell_member *member,
		    enum dff_event_type type,
		    bool ran)
{
	struct dff_event event = {
		.type = type,
		.job = job->row->spec.id,
		.attempt = job->row->attempt,
		.member = member_index (job, member),
		.ran = ran,
	};
	dff_cell_queue_event (cell, &event);
}

void
dff_cell_member_ended (struct dff_cell *cell,
		       struct dff_cell_job *job,
		       struct dff_cell_member *member,
		       enum dff_event_type type,
		       bool ran)
{
	if (member->ended)
		return;
	member->ended = true;
	member->wanted = DFF_CELL_WANT_NOTHING;
	member->wanted_seq++;
	if (type == DFF_EVENT_TASK_LOST)
		*cell->metrics.lost += 1;
	queue_member_event (cell, job, member, type, ran);
}

void
dff_cell_member_started (struct dff_cell *cell,
			 struct dff_cell_job *job,
			 struct dff_cell_member *member)
{
	if (member->ended || member->started)
		return;
	member->started = true;
	member->started_ms = dff_cell_now_ms (cell);
	queue_member_event (cell, job, member, DFF_EVENT_TASK_STARTED, false);
	dff_cell_span_started (cell, job);
}

static void
store_result (struct dff_cell_job *job, const struct dff_task_report *report)
{
	if (report->task.member != 0)
		return;
	job->result.manifest_key = report->result_key;
	job->result.length = report->result_length;
	g_strlcpy (job->result.digest, report->result_digest, sizeof (job->result.digest));
}

/* A worker that restarted has lost its record of the tasks it ran, and still creates a tombstone
 * for each stop of such a task. A job that ran would then be reported as not run, or would run
 * again. A tombstone therefore proves that a member never ran only if the worker's incarnation is
 * the one that the intent recorded, or if the member was held and no release can have been sent. */
static void
handle_tombstone (struct dff_cell *cell,
		  struct dff_cell_job *job,
		  struct dff_cell_member *member,
		  int64_t incarnation)
{
	bool same_incarnation = incarnation != 0 && incarnation == member->incarnation;
	bool never_released = !job->recovered && !member->released;
	enum dff_event_type ended_type =
		member->refused ? DFF_EVENT_TASK_START_FAILED : DFF_EVENT_TASK_STOPPED;
	if (same_incarnation || never_released)
		dff_cell_member_ended (cell, job, member, ended_type, false);
	else if (incarnation == 0)
		dff_cell_worker_query (cell, &member->placement.worker, dff_cell_now_ms (cell));
	else
		dff_cell_member_ended (cell, job, member, DFF_EVENT_TASK_LOST, true);
}

static void
apply_task_state (struct dff_cell *cell,
		  struct dff_cell_job *job,
		  struct dff_cell_member *member,
		  int64_t incarnation,
		  const struct dff_task_report *report)
{
	if (member->ended)
		return;
	member->released = member->released || report->ran;
	switch (report->state) {
	case DFF_TASK_UNKNOWN:
		break;
	case DFF_TASK_HELD:
	case DFF_TASK_RUNNING:
		dff_cell_member_started (cell, job, member);
		break;
	case DFF_TASK_COMPLETED:
		store_result (job, report);
		dff_cell_member_ended (cell, job, member, DFF_EVENT_TASK_COMPLETED, true);
		break;
	case DFF_TASK_FAILED:
		dff_cell_member_ended (cell, job, member, DFF_EVENT_TASK_FAILED, report->ran);
		break;
	case DFF_TASK_STOPPED:
		dff_cell_member_ended (cell, job, member, DFF_EVENT_TASK_STOPPED, report->ran);
		break;
	case DFF_TASK_REFUSED:
		handle_tombstone (cell, job, member, incarnation);
		break;
	}
}

/* A start that was delayed in the network can arrive after its job has ended or begun another
 * attempt. One member of a gang would then run alone, on accelerators that are leased to others. */
static void
stop_orphan (struct dff_cell *cell,
	     const struct dff_name *worker,
	     const struct dff_task_report *report)
{
	bool active = report->state == DFF_TASK_HELD || report->state == DFF_TASK_RUNNING;
	struct dff_name region = dff_job_id_region (&report->task.job);
	if (!active || !dff_name_equal (&region, &cell->options.region))
		return;
	dff_log (DFF_LOG_CELL, DFF_LOG_WARNING,
		 "Stopping a task that no open attempt owns. worker=%s job=%s attempt=%d",
		 worker->data, report->task.job.data, report->task.attempt);
	struct dff_cell_due due = {
		.due_ms = dff_cell_now_ms (cell),
		.type = DFF_CELL_DUE_ORPHAN,
		.worker = *worker,
		.task = report->task,
	};
	dff_cell_agenda_add (cell, &due);
}

void
dff_cell_apply_report (struct dff_cell *cell,
		       const struct dff_name *worker,
		       int64_t incarnation,
		       const struct dff_task_report *report)
{
	struct dff_cell_job *job = dff_cell_job_find (cell, &report->task.job);
	struct dff_cell_member *member =
		job != NULL ? dff_cell_job_member (job, &report->task) : NULL;
	if (member != NULL && dff_name_equal (&member->placement.worker, worker)) {
		apply_task_state (cell, job, member, incarnation, report);
		return;
	}
	/* An attempt newer than the row known here belongs to a later holder. */
	if (job == NULL || report->task.attempt <= job->row->attempt)
		stop_orphan (cell, worker, report);
}

typedef void (*member_func) (struct dff_cell *cell,
			     struct dff_cell_job *job,
			     struct dff_cell_member *member,
			     const void *user);

static void
for_each_member_at (struct dff_cell *cell,
		    const struct dff_name *worker,
		    member_func visit,
		    const void *user)
{
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, cell->jobs);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		struct dff_cell_job *job = value;
		for (guint i = 0; i < job->members->len; i++) {
			struct dff_cell_member *member =
				&g_array_index (job->members, struct dff_cell_member, i);
			if (!member->ended && dff_name_equal (&member->placement.worker, worker))
				visit (cell, job, member, user);
		}
	}
}

static void
mark_lost (struct dff_cell *cell,
	   struct dff_cell_job *job,
	   struct dff_cell_member *member,
	   G_GNUC_UNUSED const void *user)
{
	if (member->sent || job->recovered)
		dff_cell_member_ended (cell, job, member, DFF_EVENT_TASK_LOST, member->released);
}

void
dff_cell_mark_tasks_lost (struct dff_cell *cell, const struct dff_name *worker)
{
	for_each_member_at (cell, worker, mark_lost, NULL);
}

struct full_report {
	const struct dff_worker_result *result;
	int64_t query_sent_ms;
};

static bool
has_task (const struct dff_worker_result *result, const struct dff_task_id *task)
{
	for (size_t i = 0; i < result->n_reports; i++) {
		const struct dff_task_id *id = &result->reports[i].task;
		if (id->attempt == task->attempt && id->member == task->member &&
		    dff_name_equal (&id->job, &task->job))
			return true;
	}
	return false;
}

/* Only a member that had started before the query was sent counts as lost if it is missing: a start
 * that is still in transit is not lost. */
static void
mark_lost_if_missing (struct dff_cell *cell,
		      struct dff_cell_job *job,
		      struct dff_cell_member *member,
		      const void *user)
{
	const struct full_report *answer = user;
	const struct dff_task_id task = {
		job->row->spec.id,
		job->row->attempt,
		member_index (job, member),
	};
	if (!member->started || member->started_ms >= answer->query_sent_ms ||
	    has_task (answer->result, &task))
		return;
	dff_cell_member_ended (cell, job, member, DFF_EVENT_TASK_LOST, member->released);
}

void
dff_cell_apply_full_report (struct dff_cell *cell,
			    const struct dff_name *worker,
			    const struct dff_worker_result *result,
			    int64_t query_sent_ms)
{
	for (size_t i = 0; i < result->n_reports; i++)
		dff_cell_apply_report (cell, worker, result->incarnation, &result->reports[i]);
	struct full_report answer = {.result = result, .query_sent_ms = query_sent_ms};
	for_each_member_at (cell, worker, mark_lost_if_missing, &answer);
}
