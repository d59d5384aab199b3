#include "cell/cell_private.h"
#include "cell/lease_rows.h"

#include <string.h>

#include "common/log.h"

/* Writes job rows. Each write is conditional on the revision of the epoch row, so that a former
 * holder cannot write, and on the revision of the job's row, so that a cancellation that an entry
 * has written since is detected. At most one write per job is outstanding. */

/** Longest time that a start intent waits to be sent, ms; then it is abandoned, because other jobs
 * need its workers. */
#define START_WRITE_TIMEOUT_MS 5000

void
dff_cell_write_free (gpointer data)
{
	struct dff_cell_write *write = data;
	if (write->placements != NULL)
		g_array_unref (write->placements);
	if (write->incarnations != NULL)
		g_array_unref (write->incarnations);
	g_free (write);
}

static void
report_attempt (struct dff_cell *cell, struct dff_cell_job *job, enum dff_event_type type)
{
	const struct dff_cell_write *write = g_queue_peek_head (&job->writes);
	struct dff_event event = {
		.type = type,
		.job = job->row->spec.id,
		.attempt = write->attempt,
	};
	dff_cell_queue_event (cell, &event);
}

/** Removes the head write and schedules the next write of the job. */
static void
next_write (struct dff_cell *cell, struct dff_cell_job *job)
{
	dff_cell_write_free (g_queue_pop_head (&job->writes));
	job->writing = false;
	job->write_tries = 0;
	if (g_queue_is_empty (&job->writes))
		return;
	struct dff_cell_due due = {
		.due_ms = dff_cell_now_ms (cell),
		.type = DFF_CELL_DUE_WRITE,
		.task.job = job->row->spec.id,
	};
	dff_cell_agenda_add (cell, &due);
}

static void
retry_write (struct dff_cell *cell, struct dff_cell_job *job)
{
	job->writing = false;
	struct dff_cell_due due = {
		.due_ms = dff_cell_now_ms (cell) + dff_cell_backoff_ms (cell, job->write_tries++),
		.type = DFF_CELL_DUE_WRITE,
		.task.job = job->row->spec.id,
	};
	dff_cell_agenda_add (cell, &due);
}

/** Applies @write to @row. The arrays are borrowed, not copied. */
static void
apply_write (const struct dff_cell *cell,
	     const struct dff_cell_job *job,
	     const struct dff_cell_write *write,
	     struct dff_job_row *row)
{
	row->epoch = cell->epoch;
	row->attempt = write->attempt;
	switch (write->type) {
	case DFF_CELL_WRITE_START:
		row->state = DFF_JOB_ROW_OPEN;
		row->placements = write->placements;
		row->incarnations = write->incarnations;
		break;
	case DFF_CELL_WRITE_RETRY:
		row->state = DFF_JOB_ROW_QUEUED;
		break;
	case DFF_CELL_WRITE_END:
		row->state = DFF_JOB_ROW_ENDED;
		row->outcome = write->outcome;
		row->reason = write->reason;
		row->ended_wall_ms = dff_clock_wall_ms (cell->options.clock);
		if (write->outcome == DFF_OUTCOME_COMPLETED)
			row->result = job->result;
		break;
	}
}

/** Encodes the row with the head write applied, with borrowed or empty arrays. */
static GString *
encode_next (const struct dff_cell *cell, const struct dff_cell_job *job)
{
	const struct dff_cell_write *write = g_queue_peek_head ((GQueue *)&job->writes);
	g_autoptr (GArray) no_placements = g_array_new (FALSE, TRUE, sizeof (struct dff_placement));
	g_autoptr (GArray) no_incarnations = g_array_new (FALSE, TRUE, sizeof (int64_t));
	struct dff_job_row next = *job->row;
	next.placements = no_placements;
	next.incarnations = no_incarnations;
	apply_write (cell, job, write, &next);
	return dff_job_row_encode (&next);
}

/** Applies the head write, which is durable, to the job. */
static void
apply_durable_write (struct dff_cell *cell, struct dff_cell_job *job, int64_t revision)
{
	const struct dff_cell_write *write = g_queue_peek_head (&job->writes);
	struct dff_job_row *row = job->row;
	GArray *placements = row->placements;
	GArray *incarnations = row->incarnations;
	apply_write (cell, job, write, row);
	row->revision = revision;
	row->placements = placements;
	row->incarnations = incarnations;
	g_array_set_size (placements, 0);
	g_array_set_size (incarnations, 0);
	if (write->type == DFF_CELL_WRITE_START) {
		g_array_append_vals (placements, write->placements->data, write->placements->len);
		g_array_append_vals (incarnations, write->incarnations->data,
				     write->incarnations->len);
	}
	job->recovered = false;
	dff_cell_job_open (job);
}

static void
end_job (struct dff_cell *cell, struct dff_cell_job *job)
{
	struct dff_name id = job->row->spec.id;
	enum dff_outcome outcome = job->row->outcome;
	bool elsewhere = job->ended_elsewhere;
	report_attempt (cell, job, DFF_EVENT_OUTCOME_RECORDED);
	dff_cell_span_end (cell, job, elsewhere ? "gone" : "ok");
	dff_cell_job_remove (cell, &id);
	if (elsewhere)
		return;
	cell->ended[outcome] += 1;
	if (cell->options.callbacks.job_changed != NULL)
		cell->options.callbacks.job_changed (cell->options.callbacks.ctx, &id, outcome);
}

static void
write_done (struct dff_cell *cell, struct dff_cell_job *job, int64_t revision)
{
	const struct dff_cell_write *write = g_queue_peek_head (&job->writes);
	enum dff_cell_write_type type = write->type;
	apply_durable_write (cell, job, revision);
	if (type == DFF_CELL_WRITE_END) {
		end_job (cell, job);
		return;
	}
	dff_cell_batch_progress (cell, job->row);
	if (type == DFF_CELL_WRITE_START) {
		dff_cell_span_next (cell, job, "ok", "start");
		report_attempt (cell, job, DFF_EVENT_ATTEMPT_RECORDED);
	}
	if (cell->options.callbacks.job_changed != NULL)
		cell->options.callbacks.job_changed (cell->options.callbacks.ctx,
						     &job->row->spec.id, DFF_OUTCOME_NONE);
	next_write (cell, job);
}

static void
refuse_start (struct dff_cell *cell, struct dff_cell_job *job)
{
	dff_cell_span_next (cell, job, "refused", "queue");
	report_attempt (cell, job, DFF_EVENT_ATTEMPT_REFUSED);
	next_write (cell, job);
}

/* Another process ended the job, or its row is deleted or unreadable: the job is only removed from
 * the core. Nothing is written or counted. */
static void
abandon_job (struct dff_cell *cell, struct dff_cell_job *job)
{
	job->ended_elsewhere = true;
	dff_cell_job_cancelled (cell, job);
	const struct dff_cell_write *write = g_queue_peek_head (&job->writes);
	if (write->type == DFF_CELL_WRITE_END)
		end_job (cell, job);
	else if (write->type == DFF_CELL_WRITE_START)
		refuse_start (cell, job);
	else
		next_write (cell, job);
}

/** Handles a conflict; @row is the row as it is now, NULL if it is deleted or unreadable. */
static void
resolve_conflict (struct dff_cell *cell, struct dff_cell_job *job, const struct dff_job_row *row)
{
	const struct dff_cell_write *write = g_queue_peek_head (&job->writes);
	if (row == NULL || row->state == DFF_JOB_ROW_ENDED) {
		abandon_job (cell, job);
		return;
	}
	job->row->revision = row->revision;
	if (row->cancel_requested)
		dff_cell_job_cancelled (cell, job);
	if (row->cancel_requested && write->type == DFF_CELL_WRITE_START)
		refuse_start (cell, job);
	else
		retry_write (cell, job);
}

static bool
epoch_is_ours (const struct dff_cell *cell, const struct dff_table_result *result)
{
	const struct dff_table_row *epoch =
		dff_table_find_row (result, dff_lease_epoch_key (cell->lease));
	return epoch != NULL && epoch->revision == dff_lease_epoch_revision (cell->lease);
}

static void
on_reread (void *user, const struct dff_table_result *result)
{
	struct dff_cell_call call;
	if (!dff_cell_call_end (user, &call))
		return;
	struct dff_cell *cell = call.cell;
	struct dff_cell_job *job = dff_cell_job_find (cell, &call.task.job);
	if (job == NULL)
		return;
	if (result->outcome != DFF_TABLE_OK) {
		retry_write (cell, job);
		return;
	}
	if (!epoch_is_ours (cell, result)) {
		dff_lease_mark_fenced (cell->lease);
		return;
	}
	g_autoptr (GString) key = dff_job_row_key (&job->row->spec.id);
	struct dff_str key_text = {.data = key->str, .len = key->len};
	const struct dff_table_row *found = dff_table_find_row (result, key_text);
	DFF_AUTO (dff_job_row) row = NULL;
	if (found != NULL)
		row = dff_job_row_decode (found->value, found->revision, NULL);
	resolve_conflict (cell, job, row);
}

/** Reads the job's row and the epoch row, to find out which of them changed. */
static void
reread (struct dff_cell *cell, const struct dff_cell_job *job)
{
	*cell->metrics.conflicts += 1;
	g_autoptr (GString) key = dff_job_row_key (&job->row->spec.id);
	const struct dff_str keys[] = {
		{.data = key->str, .len = key->len},
		dff_lease_epoch_key (cell->lease),
	};
	struct dff_cell_call *call = dff_cell_call_begin (cell, DFF_CELL_CALL_READ);
	call->task.job = job->row->spec.id;
	const struct dff_table *table = cell->options.table;
	table->get (table->ctx, keys, G_N_ELEMENTS (keys), on_reread, call);
}

static void
on_write (void *user, enum dff_record_outcome outcome, int64_t revision)
{
	struct dff_cell_call call;
	if (!dff_cell_call_end (user, &call))
		return;
	struct dff_cell *cell = call.cell;
	struct dff_cell_job *job = dff_cell_job_find (cell, &call.task.job);
	if (job == NULL)
		return;
	const struct dff_cell_write *write = g_queue_peek_head (&job->writes);
	switch (outcome) {
	case DFF_RECORD_COMMITTED:
		write_done (cell, job, revision);
		break;
	case DFF_RECORD_CONFLICT:
		reread (cell, job);
		break;
	case DFF_RECORD_NOT_COMMITTED:
		if (write->type == DFF_CELL_WRITE_START)
			refuse_start (cell, job);
		else
			retry_write (cell, job);
		break;
	}
}

void
dff_cell_record_send (struct dff_cell *cell, struct dff_cell_job *job)
{
	const struct dff_cell_write *write = g_queue_peek_head (&job->writes);
	if (write == NULL || job->writing)
		return;
	if (job->ended_elsewhere) {
		abandon_job (cell, job);
		return;
	}
	job->writing = true;
	g_autoptr (GString) key = dff_job_row_key (&job->row->spec.id);
	g_autoptr (GString) value = encode_next (cell, job);
	struct dff_str key_text = {.data = key->str, .len = key->len};
	struct dff_str value_text = {.data = value->str, .len = value->len};
	const struct dff_table_condition conditions[] = {
		{dff_lease_epoch_key (cell->lease), dff_lease_epoch_revision (cell->lease)},
		{key_text, job->row->revision},
	};
	const struct dff_table_write table_write = {key_text, value_text};
	const struct dff_record_write record = {
		.conditions = conditions,
		.n_conditions = G_N_ELEMENTS (conditions),
		.writes = &table_write,
		.n_writes = 1,
		.queue_timeout_ms =
			write->type == DFF_CELL_WRITE_START ? START_WRITE_TIMEOUT_MS : 0,
	};
	struct dff_cell_call *call = dff_cell_call_begin (cell, DFF_CELL_CALL_WRITE);
	call->task.job = job->row->spec.id;
	call->ticket = dff_recorder_write (cell->options.recorder, &record, on_write, call);
}

/* The start intent of the next attempt implies that the last attempt has ended. A retry write that
 * is still queued is therefore dropped, which saves a write. */
static void
drop_superseded (struct dff_cell_job *job)
{
	struct dff_cell_write *last = g_queue_peek_tail (&job->writes);
	bool waiting = last != NULL && !(job->writing && job->writes.length == 1);
	if (waiting && last->type == DFF_CELL_WRITE_RETRY)
		dff_cell_write_free (g_queue_pop_tail (&job->writes));
}

void
dff_cell_record (struct dff_cell *cell, struct dff_cell_job *job, struct dff_cell_write *write)
{
	drop_superseded (job);
	g_queue_push_tail (&job->writes, write);
	dff_cell_record_send (cell, job);
}
