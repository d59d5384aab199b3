#include "daemon/daemon_private.h"

/* Watches kept at the most. One is a hint: a process that is not told reads the row itself after a
 * while, so dropping the rest costs time, not answers. */
#define JOB_WATCHERS_MAX 65536

void
dff_daemon_add_job_watcher (struct dff_daemon *daemon,
			    const struct dff_name *watcher,
			    const struct dff_name *job)
{
	GArray *watchers = g_hash_table_lookup (daemon->job_watchers, job);
	if (watchers == NULL) {
		if (g_hash_table_size (daemon->job_watchers) >= JOB_WATCHERS_MAX)
			return;
		watchers = g_array_new (FALSE, FALSE, sizeof (struct dff_name));
		g_hash_table_insert (daemon->job_watchers, dff_name_dup (job), watchers);
	}
	for (guint i = 0; i < watchers->len; i++) {
		if (dff_name_equal (&g_array_index (watchers, struct dff_name, i), watcher))
			return;
	}
	g_array_append_val (watchers, *watcher);
}

void
dff_daemon_tell_job_ended (struct dff_daemon *daemon,
			   const struct dff_name *job,
			   enum dff_outcome outcome)
{
	dff_entry_job_ended (daemon->entry, job, outcome);
	const GArray *watchers = g_hash_table_lookup (daemon->job_watchers, job);
	if (watchers == NULL)
		return;
	for (guint i = 0; i < watchers->len; i++) {
		const struct dff_name *watcher = &g_array_index (watchers, struct dff_name, i);
		dff_peer_send_ended (daemon->peer, watcher, job, outcome);
	}
	g_hash_table_remove (daemon->job_watchers, job);
}
