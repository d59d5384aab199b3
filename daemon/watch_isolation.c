#include "daemon/daemon_private.h"
#include "daemon/isolation.h"

/* Returns: the time of the last heartbeat of another live process, monotonic ms; 0: none. */
static int64_t
last_peer_ms (const struct dff_daemon *daemon)
{
	int64_t last_ms = 0;
	const GArray *members = dff_peer_members (daemon->peer);
	for (guint i = 0; i < members->len; i++) {
		const struct dff_member *member = &g_array_index (members, struct dff_member, i);
		if (!dff_name_equal (&member->instance.id, &daemon->settings->instance))
			last_ms = MAX (last_ms, member->heartbeat_received_ms);
	}
	return last_ms;
}

/* A process that reaches neither the store nor its peers may miss a new pool file and continue to
 * accept a revoked token. It reports itself as unready, so that the load balancer sends callers
 * elsewhere. */
void
dff_daemon_update_isolation (struct dff_daemon *daemon, int64_t now_ms)
{
	const struct dff_isolation isolation = {
		.started_ms = daemon->started_ms,
		.store_ms = dff_pool_watch_last_answer_ms (daemon->pool_watch),
		.has_peers = dff_peer_members (daemon->peer)->len > 1,
		.peer_ms = last_peer_ms (daemon),
		.timeout_ms = daemon->settings->isolated_after_ms,
	};
	dff_entry_set_isolated (daemon->entry, dff_is_isolated (&isolation, now_ms));
}
