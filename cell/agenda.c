#include "cell/cell_private.h"

static gint
compare_due (gconstpointer a, gconstpointer b, G_GNUC_UNUSED gpointer user)
{
	const struct dff_cell_due *first = a;
	const struct dff_cell_due *second = b;
	return (first->due_ms > second->due_ms) - (first->due_ms < second->due_ms);
}

void
dff_cell_agenda_add (struct dff_cell *cell, const struct dff_cell_due *due)
{
	struct dff_cell_due *copy = g_memdup2 (due, sizeof (*due));
	g_sequence_insert_sorted (cell->agenda, copy, compare_due, NULL);
}

static void
send (struct dff_cell *cell, const struct dff_cell_due *due)
{
	struct dff_cell_job *job = NULL;
	switch (due->type) {
	case DFF_CELL_DUE_TASK:
		dff_cell_send_task (cell, due);
		return;
	case DFF_CELL_DUE_WRITE:
		job = dff_cell_job_find (cell, &due->task.job);
		if (job != NULL)
			dff_cell_record_send (cell, job);
		return;
	case DFF_CELL_DUE_QUERY:
		dff_cell_send_query (cell, due);
		return;
	case DFF_CELL_DUE_ORPHAN:
		dff_cell_send_orphan_stop (cell, due);
		return;
	}
}

void
dff_cell_agenda_run (struct dff_cell *cell)
{
	/* Compares the lease with the clock before each batch, not only when the lease is renewed:
	 * a process that resumes after a pause longer than its lease still has commands to send,
	 * and would start or stop members that the next holder decides about. */
	if (!dff_lease_is_held (cell->lease))
		return;
	int64_t now_ms = dff_cell_now_ms (cell);
	while (!g_sequence_is_empty (cell->agenda)) {
		GSequenceIter *first = g_sequence_get_begin_iter (cell->agenda);
		const struct dff_cell_due *head = g_sequence_get (first);
		if (head->due_ms > now_ms)
			return;
		struct dff_cell_due due = *head;
		g_sequence_remove (first);
		send (cell, &due);
	}
}
