#include "cell/cell_private.h"

/* Turns the core's commands into writes and calls. A start intent is durable before its start is
 * sent: the core issues START_TASK only after ATTEMPT_RECORDED. */

void
dff_cell_set_wanted (struct dff_cell *cell,
		     struct dff_cell_job *job,
		     int32_t member_index,
		     enum dff_cell_wanted wanted)
{
	struct dff_cell_member *member =
		&g_array_index (job->members, struct dff_cell_member, member_index);
	if (member->ended || member->wanted == wanted)
		return;
	member->wanted = wanted;
	member->wanted_seq++;
	member->tries = 0;
	struct dff_cell_due due = {
		.due_ms = dff_cell_now_ms (cell),
		.type = DFF_CELL_DUE_TASK,
		.worker = member->placement.worker,
		.task = {job->row->spec.id, job->row->attempt, member_index},
		.wanted_seq = member->wanted_seq,
	};
	dff_cell_agenda_add (cell, &due);
}

static struct dff_cell_write *
write_new (const struct dff_command *command, enum dff_cell_write_type type)
{
	struct dff_cell_write *write = g_new0 (struct dff_cell_write, 1);
	write->type = type;
	write->attempt = command->attempt;
	write->outcome = command->outcome;
	if (command->reason != NULL)
		write->reason = dff_name_from (command->reason);
	return write;
}

static void
record_start (struct dff_cell *cell, struct dff_cell_job *job, const struct dff_command *command)
{
	struct dff_cell_write *write = write_new (command, DFF_CELL_WRITE_START);
	write->placements = g_array_copy ((GArray *)command->placements);
	write->incarnations = g_array_new (FALSE, TRUE, sizeof (int64_t));
	for (guint i = 0; i < write->placements->len; i++) {
		const struct dff_placement *placement =
			&g_array_index (write->placements, struct dff_placement, i);
		const struct dff_cell_worker *worker =
			dff_cell_worker_find (cell, &placement->worker);
		int64_t incarnation = worker != NULL ? worker->incarnation : 0;
		g_array_append_val (write->incarnations, incarnation);
	}
	dff_cell_span_decided (cell, job);
	dff_cell_record (cell, job, write);
}

static void
stop_member (struct dff_cell *cell, struct dff_cell_job *job, int32_t index)
{
	struct dff_cell_member *member =
		&g_array_index (job->members, struct dff_cell_member, index);
	/* This holder opened the attempt and sent no start: the member cannot have run. */
	if (!member->sent && !job->recovered)
		dff_cell_member_ended (cell, job, member, DFF_EVENT_TASK_STOPPED, false);
	else
		dff_cell_set_wanted (cell, job, index, DFF_CELL_WANT_STOP);
}

static void
start_member (struct dff_cell *cell, struct dff_cell_job *job, const struct dff_command *command)
{
	struct dff_cell_member *member =
		&g_array_index (job->members, struct dff_cell_member, command->member);
	member->held = command->held;
	*cell->metrics.starts += 1;
	dff_cell_set_wanted (cell, job, command->member, DFF_CELL_WANT_START);
}

static void
command_member (struct dff_cell *cell, struct dff_cell_job *job, const struct dff_command *command)
{
	const struct dff_task_id task = {command->job, command->attempt, command->member};
	if (dff_cell_job_member (job, &task) == NULL)
		return;
	switch (command->type) {
	case DFF_COMMAND_START_TASK:
		start_member (cell, job, command);
		break;
	case DFF_COMMAND_RELEASE_TASK:
		dff_cell_set_wanted (cell, job, command->member, DFF_CELL_WANT_RELEASE);
		break;
	case DFF_COMMAND_CHECKPOINT_TASK:
		dff_cell_set_wanted (cell, job, command->member, DFF_CELL_WANT_CHECKPOINT);
		break;
	case DFF_COMMAND_STOP_TASK:
		stop_member (cell, job, command->member);
		break;
	default:
		break;
	}
}

static void
execute (struct dff_cell *cell, const struct dff_command *command)
{
	struct dff_cell_job *job = dff_cell_job_find (cell, &command->job);
	if (job == NULL)
		return;
	switch (command->type) {
	case DFF_COMMAND_RECORD_START:
		record_start (cell, job, command);
		break;
	case DFF_COMMAND_RECORD_RETRY:
		dff_cell_span_next (cell, job, "retry", "queue");
		dff_cell_record (cell, job, write_new (command, DFF_CELL_WRITE_RETRY));
		break;
	case DFF_COMMAND_RECORD_OUTCOME:
		dff_cell_span_next (cell, job, dff_outcome_name (command->outcome), "record");
		dff_cell_record (cell, job, write_new (command, DFF_CELL_WRITE_END));
		break;
	default:
		command_member (cell, job, command);
		break;
	}
}

void
dff_cell_execute (struct dff_cell *cell, const GArray *commands)
{
	for (guint i = 0; i < commands->len; i++)
		execute (cell, &g_array_index (commands, struct dff_command, i));
}
