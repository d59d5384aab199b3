#include "rows/waiters.h"

struct waiter {
	dff_rows_func done;
	void *user;
};

GArray *
dff_rows_waiters_new (void)
{
	return g_array_new (FALSE, FALSE, sizeof (struct waiter));
}

void
dff_rows_waiters_add (GArray *waiters, dff_rows_func done, void *user)
{
	struct waiter waiter = {.done = done, .user = user};
	g_array_append_val (waiters, waiter);
}

void
dff_rows_waiters_answer (GArray *waiters, enum dff_rows_outcome outcome, int64_t revision)
{
	struct dff_rows_result result = {.outcome = outcome, .revision = revision};
	for (guint i = 0; i < waiters->len; i++) {
		const struct waiter *waiter = &g_array_index (waiters, struct waiter, i);
		waiter->done (waiter->user, &result);
	}
	g_array_set_size (waiters, 0);
}
