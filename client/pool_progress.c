#include "client/pool_progress.h"

#include <string.h>

struct dff_pool_progress {
	int64_t generation;
	/* Maps the name of a live process to whether it has the generation (GINT_TO_POINTER()). */
	GHashTable *processes;
	guint n_refusals;
};

struct dff_pool_progress *
dff_pool_progress_new (int64_t generation)
{
	struct dff_pool_progress *progress = g_new0 (struct dff_pool_progress, 1);
	progress->generation = generation;
	progress->processes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
	return progress;
}

void
dff_pool_progress_free (struct dff_pool_progress *progress)
{
	if (progress == NULL)
		return;
	g_hash_table_destroy (progress->processes);
	g_free (progress);
}

/* Generations never decrease, so a report that a process has the generation remains valid. */
static void
record_process (struct dff_pool_progress *progress, const json_t *process)
{
	const char *name = json_string_value (json_object_get (process, "instance"));
	if (name == NULL)
		return;
	int64_t generation = json_integer_value (json_object_get (process, "generation"));
	bool has_generation = generation >= progress->generation ||
			      g_hash_table_lookup (progress->processes, name) != NULL;
	g_hash_table_insert (progress->processes, g_strdup (name),
			     GINT_TO_POINTER (has_generation));
}

static bool
is_live (const json_t *member)
{
	const char *state = json_string_value (json_object_get (member, "state"));
	return state != NULL && strcmp (state, "dead") != 0 && strcmp (state, "leaving") != 0;
}

void
dff_pool_progress_add_status (struct dff_pool_progress *progress, const json_t *status)
{
	record_process (progress, status);
	size_t index;
	json_t *member;
	json_array_foreach (json_object_get (status, "instances"), index, member)
	{
		if (is_live (member))
			record_process (progress, member);
	}
}

void
dff_pool_progress_add_refusal (struct dff_pool_progress *progress)
{
	progress->n_refusals++;
}

guint
dff_pool_progress_n_live (const struct dff_pool_progress *progress)
{
	return g_hash_table_size (progress->processes);
}

guint
dff_pool_progress_n_behind (const struct dff_pool_progress *progress)
{
	guint n_behind = progress->n_refusals;
	GHashTableIter iter;
	gpointer has_generation;
	g_hash_table_iter_init (&iter, progress->processes);
	while (g_hash_table_iter_next (&iter, NULL, &has_generation))
		n_behind += has_generation == NULL;
	return n_behind;
}
