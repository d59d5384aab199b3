#include "daemon/daemon_private.h"

GHashTable *
dff_daemon_job_watchers_new (void)
{
	return g_hash_table_new_full (dff_name_hash, dff_name_equal_func, g_free,
				      (GDestroyNotify)g_array_unref);
}

/* Stale watches remain in the tables: of a job that ended before the watch arrived, of a job of
 * another region, or in a process that is no longer the holder. If new watches were refused in a
 * full table, callers would receive every result seconds late; the older half is evicted
 * instead. */
static void
evict_older_jobs (struct dff_daemon *daemon)
{
	if (g_hash_table_size (daemon->job_watchers) < DFF_DAEMON_WATCHED_JOBS_MAX)
		return;
	g_hash_table_unref (daemon->older_job_watchers);
	daemon->older_job_watchers = daemon->job_watchers;
	daemon->job_watchers = dff_daemon_job_watchers_new ();
}

void
dff_daemon_add_job_watcher (struct dff_daemon *daemon,
			    const struct dff_name *watcher,
			    const struct dff_name *job)
{
	GArray *watchers = g_hash_table_lookup (daemon->job_watchers, job);
	if (watchers == NULL) {
		evict_older_jobs (daemon);
		watchers = g_array_new (FALSE, FALSE, sizeof (struct dff_name));
		g_hash_table_insert (daemon->job_watchers, dff_name_dup (job), watchers);
	}
	for (guint i = 0; i < watchers->len; i++) {
		if (dff_name_equal (&g_array_index (watchers, struct dff_name, i), watcher))
			return;
	}
	g_array_append_val (watchers, *watcher);
}

static void
notify_watchers (struct dff_daemon *daemon,
		 GHashTable *jobs,
		 const struct dff_name *job,
		 enum dff_outcome outcome)
{
	const GArray *watchers = g_hash_table_lookup (jobs, job);
	if (watchers == NULL)
		return;
	for (guint i = 0; i < watchers->len; i++) {
		const struct dff_name *watcher = &g_array_index (watchers, struct dff_name, i);
		dff_peer_send_job_ended (daemon->peer, watcher, job, outcome);
	}
	g_hash_table_remove (jobs, job);
}

void
dff_daemon_notify_job_ended (struct dff_daemon *daemon,
			     const struct dff_name *job,
			     enum dff_outcome outcome)
{
	dff_entry_handle_job_ended (daemon->entry, job, outcome);
	notify_watchers (daemon, daemon->job_watchers, job, outcome);
	notify_watchers (daemon, daemon->older_job_watchers, job, outcome);
}
