#include "common/log.h"
#include "daemon/daemon_private.h"

static bool
has_other_members (const struct dff_daemon *daemon)
{
	return dff_peer_members (daemon->peer)->len > 1;
}

/* Returns: when a live peer other than this process was last heard of, monotonic ms. */
static int64_t
last_peer_ms (const struct dff_daemon *daemon)
{
	int64_t last_ms = daemon->started_ms;
	const GArray *members = dff_peer_members (daemon->peer);
	for (guint i = 0; i < members->len; i++) {
		const struct dff_member *member = &g_array_index (members, struct dff_member, i);
		if (!dff_name_equal (&member->instance.id, &daemon->settings->instance))
			last_ms = MAX (last_ms, member->heard_ms);
	}
	return last_ms;
}

/* A process that hears neither the store nor its peers may miss a new pool file for as long as it
 * is cut off. Symptom: it goes on accepting a token that was revoked. It says it is not ready, so
 * that the balancer sends callers elsewhere. */
void
dff_daemon_check_isolation (struct dff_daemon *daemon, int64_t now_ms)
{
	int64_t patience_ms = daemon->settings->isolated_after_ms;
	int64_t store_ms =
		MAX (dff_pool_follower_answered_ms (daemon->follower), daemon->started_ms);
	bool store_silent = now_ms - store_ms > patience_ms;
	bool peers_silent =
		!has_other_members (daemon) || now_ms - last_peer_ms (daemon) > patience_ms;
	dff_entry_set_isolated (daemon->entry, store_silent && peers_silent);
}
