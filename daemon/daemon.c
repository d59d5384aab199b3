#include "daemon/daemon.h"

#include "common/log.h"
#include "daemon/daemon_private.h"

#define ASSIGNMENT_INTERVAL_MS 1000
#define GRANT_INTERVAL_MS 2000
/* Time for the members to discover each other and for a holder to send grants, before a new process
 * computes its own. */
#define FIRST_GRANTS_WAIT_MS 3000

static void
tick_assignments (struct dff_daemon *daemon, int64_t now_ms)
{
	if (now_ms >= daemon->next_assignment_ms) {
		daemon->next_assignment_ms = now_ms + ASSIGNMENT_INTERVAL_MS;
		dff_daemon_assign_workers (daemon);
		dff_daemon_update_rank (daemon);
		dff_daemon_update_isolation (daemon, now_ms);
	}
	if (now_ms >= daemon->next_grants_ms) {
		daemon->next_grants_ms = now_ms + GRANT_INTERVAL_MS;
		dff_daemon_assign_grants (daemon);
		dff_daemon_assign_own_grants (daemon, now_ms);
	}
}

static void
publish_state (struct dff_daemon *daemon)
{
	bool holder = dff_cell_is_holder (daemon->cell);
	dff_peer_set_state (daemon->peer, dff_entry_is_ready (daemon->entry), daemon->draining,
			    holder ? dff_cell_epoch (daemon->cell) : 0);
}

static void
handle_tick (evutil_socket_t fd, short events, void *ctx)
{
	(void)fd;
	(void)events;
	struct dff_daemon *daemon = ctx;
	int64_t now_ms = dff_clock_now_ms (daemon->clock);
	dff_instance_watch_tick (daemon->instance_watch);
	dff_pool_watch_tick (daemon->pool_watch);
	dff_peer_tick (daemon->peer);
	tick_assignments (daemon, now_ms);
	dff_watcher_tick (daemon->watcher);
	dff_cell_tick (daemon->cell);
	dff_entry_tick (daemon->entry);
	dff_recorder_tick (daemon->recorder);
	publish_state (daemon);
	if (daemon->spans != NULL)
		fflush (daemon->spans);
	if (dff_entry_drain_requested (daemon->entry))
		dff_daemon_drain (daemon);
	dff_daemon_continue_drain (daemon, now_ms);
}

static void
start_ticking (struct dff_daemon *daemon)
{
	int32_t tick_ms = daemon->settings->tick_ms;
	struct timeval interval = {tick_ms / 1000, (tick_ms % 1000) * 1000L};
	daemon->ticker = event_new (daemon->base, -1, EV_PERSIST, handle_tick, daemon);
	event_add (daemon->ticker, &interval);
}

struct dff_daemon *
dff_daemon_new (struct event_base *base, struct dff_settings *settings, GError **error)
{
	struct dff_daemon *daemon = g_new0 (struct dff_daemon, 1);
	daemon->base = base;
	daemon->settings = settings;
	daemon->clock = dff_clock_system ();
	daemon->started_ms = dff_clock_now_ms (daemon->clock);
	daemon->grants_until_ms = daemon->started_ms + FIRST_GRANTS_WAIT_MS;
	daemon->metrics = dff_metrics_new ();
	daemon->instances = g_array_new (FALSE, TRUE, sizeof (struct dff_instance));
	daemon->leaving_workers =
		g_hash_table_new_full (dff_name_hash, dff_name_equal_func, g_free, NULL);
	daemon->job_watchers = dff_daemon_job_watchers_new ();
	daemon->older_job_watchers = dff_daemon_job_watchers_new ();
	if (!dff_daemon_start_parts (daemon, error)) {
		dff_daemon_free (daemon);
		return NULL;
	}
	start_ticking (daemon);
	dff_log (DFF_LOG_SERVE, DFF_LOG_INFO, "Started. instance=%s listen=%s",
		 settings->instance.data, settings->listen.data);
	return daemon;
}

void
dff_daemon_settings_changed (struct dff_daemon *daemon)
{
	dff_log_set_level (daemon->settings->log_level);
	dff_recorder_set_max_commits (daemon->recorder, daemon->settings->table_writes_per_s);
}

void
dff_daemon_free (struct dff_daemon *daemon)
{
	dff_daemon_free_parts (daemon);
	g_hash_table_unref (daemon->job_watchers);
	g_hash_table_unref (daemon->older_job_watchers);
	g_hash_table_unref (daemon->leaving_workers);
	g_array_unref (daemon->instances);
	dff_metrics_free (daemon->metrics);
	g_free (daemon);
}
