#include "fleet/evacuations.h"

#include <glib.h>
#include <inttypes.h>

#include "common/log.h"

struct dff_evacuations {
	struct dff_evacuations_options options;
	/** Maps struct dff_name * to GINT_TO_POINTER (the last snapshot in which the request was
	 * seen). */
	GHashTable *requests;
	/** Number of the snapshot in progress, or of the last one. */
	gint snapshot;
	int64_t *requested;
	int64_t *unreadable;
};

static void
report (const struct dff_evacuations *evacuations)
{
	g_autoptr (GArray) names = g_array_new (FALSE, FALSE, sizeof (struct dff_name));
	GHashTableIter iter;
	gpointer key;
	g_hash_table_iter_init (&iter, evacuations->requests);
	while (g_hash_table_iter_next (&iter, &key, NULL))
		g_array_append_vals (names, key, 1);
	*evacuations->requested = names->len;
	evacuations->options.changed (evacuations->options.ctx,
				      (const struct dff_name *)(void *)names->data, names->len);
}

void
dff_evacuations_note (struct dff_evacuations *evacuations,
		      const struct dff_name *data_centre,
		      bool requested,
		      int64_t revision,
		      int64_t age_ms)
{
	bool was_requested = g_hash_table_contains (evacuations->requests, data_centre);
	gpointer snapshot = GINT_TO_POINTER (evacuations->snapshot);
	if (requested)
		g_hash_table_replace (evacuations->requests, dff_name_dup (data_centre), snapshot);
	else
		g_hash_table_remove (evacuations->requests, data_centre);
	if (was_requested == requested)
		return;
	dff_log (DFF_LOG_POOL, DFF_LOG_INFO,
		 "%s data_centre=%s revision=%" PRId64 " known_ms_ago=%" PRId64,
		 requested ? "Data centre is to be emptied." : "Data centre is taken back.",
		 data_centre->data, revision, age_ms);
	report (evacuations);
}

void
dff_evacuations_note_unreadable (struct dff_evacuations *evacuations,
				 struct dff_str key,
				 int64_t revision)
{
	(*evacuations->unreadable)++;
	dff_log (DFF_LOG_POOL, DFF_LOG_ERROR,
		 "A request to empty a data centre cannot be read. key=%.*s revision=%" PRId64,
		 (int)key.len, key.data, revision);
}

void
dff_evacuations_begin_snapshot (struct dff_evacuations *evacuations)
{
	evacuations->snapshot++;
}

void
dff_evacuations_end_snapshot (struct dff_evacuations *evacuations)
{
	GHashTableIter iter;
	gpointer key, snapshot;
	g_hash_table_iter_init (&iter, evacuations->requests);
	while (g_hash_table_iter_next (&iter, &key, &snapshot)) {
		if (GPOINTER_TO_INT (snapshot) == evacuations->snapshot)
			continue;
		dff_log (DFF_LOG_POOL, DFF_LOG_INFO,
			 "Data centre is taken back, as its request is not there any more. "
			 "data_centre=%s",
			 ((const struct dff_name *)key)->data);
		g_hash_table_iter_remove (&iter);
	}
	report (evacuations);
}

struct dff_evacuations *
dff_evacuations_new (const struct dff_evacuations_options *options)
{
	struct dff_evacuations *evacuations = g_new0 (struct dff_evacuations, 1);
	evacuations->options = *options;
	evacuations->requests =
		g_hash_table_new_full (dff_name_hash, dff_name_equal_func, g_free, NULL);
	evacuations->requested =
		dff_metrics_gauge (options->metrics, "dff_fleet_evacuated_data_centres",
				   "Data centres that operators want emptied.");
	evacuations->unreadable =
		dff_metrics_counter (options->metrics, "dff_fleet_unreadable_requests_total",
				     "Requests of operators that were not understood.");
	return evacuations;
}

void
dff_evacuations_free (struct dff_evacuations *evacuations)
{
	g_hash_table_unref (evacuations->requests);
	g_free (evacuations);
}
