#include "entry/deadline.h"

struct dff_deadline {
	int64_t due_ms;
	dff_deadline_func func;
	void *user;
	GSequenceIter *position;
};

struct dff_deadlines {
	/** Elements: struct dff_deadline, owned, ordered by due time. */
	GSequence *ordered;
};

struct dff_deadlines *
dff_deadlines_new (void)
{
	struct dff_deadlines *deadlines = g_new0 (struct dff_deadlines, 1);
	deadlines->ordered = g_sequence_new (g_free);
	return deadlines;
}

void
dff_deadlines_free (struct dff_deadlines *deadlines)
{
	g_sequence_free (deadlines->ordered);
	g_free (deadlines);
}

static int
compare_due (gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	const struct dff_deadline *left = a;
	const struct dff_deadline *right = b;
	return (left->due_ms > right->due_ms) - (left->due_ms < right->due_ms);
}

struct dff_deadline *
dff_deadlines_add (struct dff_deadlines *deadlines,
		   int64_t due_ms,
		   dff_deadline_func func,
		   void *user)
{
	struct dff_deadline *deadline = g_new0 (struct dff_deadline, 1);
	deadline->due_ms = due_ms;
	deadline->func = func;
	deadline->user = user;
	deadline->position =
		g_sequence_insert_sorted (deadlines->ordered, deadline, compare_due, NULL);
	return deadline;
}

void
dff_deadlines_clear (struct dff_deadlines *deadlines, struct dff_deadline **deadline)
{
	(void)deadlines;
	if (*deadline == NULL)
		return;
	g_sequence_remove ((*deadline)->position);
	*deadline = NULL;
}

void
dff_deadlines_run (struct dff_deadlines *deadlines, int64_t now_ms)
{
	for (;;) {
		GSequenceIter *first = g_sequence_get_begin_iter (deadlines->ordered);
		if (g_sequence_iter_is_end (first))
			return;
		const struct dff_deadline *deadline = g_sequence_get (first);
		if (deadline->due_ms > now_ms)
			return;
		dff_deadline_func func = deadline->func;
		void *user = deadline->user;
		g_sequence_remove (first);
		func (user);
	}
}
