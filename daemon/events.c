#include <string.h>

#include "common/log.h"
#include "daemon/daemon_private.h"

/* Forwards events of one part to the other parts. */

void
dff_daemon_handle_pool_in_force (void *ctx, const struct dff_pool *pool, struct dff_str text)
{
	struct dff_daemon *daemon = ctx;
	daemon->pool = pool;
	dff_entry_set_pool (daemon->entry, pool, text);
	dff_cell_set_pool (daemon->cell, pool);
	dff_peer_set_pool (daemon->peer, pool->generation, pool->revision, text);
	daemon->next_grants_ms = 0;
}

void
dff_daemon_handle_pool_committed (void *ctx,
				  int64_t generation,
				  int64_t revision,
				  struct dff_str text)
{
	struct dff_daemon *daemon = ctx;
	dff_pool_watch_offer (daemon->pool_watch, generation, revision, text);
}

static void
handle_job_hint (void *ctx, const struct dff_name *job)
{
	struct dff_daemon *daemon = ctx;
	dff_cell_handle_job_hint (daemon->cell, job);
}

static void
handle_job_ended (void *ctx, const struct dff_name *job, enum dff_outcome outcome)
{
	struct dff_daemon *daemon = ctx;
	dff_entry_handle_job_ended (daemon->entry, job, outcome);
}

static void
handle_job_watch (void *ctx, const struct dff_name *watcher, const struct dff_name *job)
{
	struct dff_daemon *daemon = ctx;
	dff_daemon_add_job_watcher (daemon, watcher, job);
}

static void
handle_grants (
	void *ctx, int64_t epoch, const struct dff_grant *grants, size_t n_grants, int32_t valid_ms)
{
	struct dff_daemon *daemon = ctx;
	daemon->grant_epoch = MAX (daemon->grant_epoch, epoch);
	daemon->grants_until_ms = dff_clock_now_ms (daemon->clock) + valid_ms / 2;
	dff_entry_set_grants (daemon->entry, epoch, grants, n_grants, valid_ms);
}

/* A new holder elsewhere has not received the earlier reports of this process's watcher. */
static void
report_to_new_holder (struct dff_daemon *daemon)
{
	if (daemon->peer == NULL || daemon->watcher == NULL)
		return;
	const struct dff_member *holder = dff_peer_holder (daemon->peer);
	if (holder == NULL || holder->holder_epoch <= daemon->reported_epoch)
		return;
	daemon->reported_epoch = holder->holder_epoch;
	dff_watcher_report_all (daemon->watcher);
}

static void
handle_members_changed (void *ctx)
{
	struct dff_daemon *daemon = ctx;
	daemon->next_assignment_ms = 0;
	daemon->next_grants_ms = 0;
	report_to_new_holder (daemon);
}

static void
mark_leaving (struct dff_daemon *daemon, const struct dff_name *worker)
{
	dff_entry_handle_worker_leaving (daemon->entry, worker);
	if (g_hash_table_contains (daemon->leaving_workers, worker))
		return;
	g_hash_table_add (daemon->leaving_workers, dff_name_dup (worker));
	daemon->next_grants_ms = 0;
}

/* Handles a report of a watcher, of this process or of a peer. */
static void
handle_worker_report (void *ctx, const struct dff_worker_report *report)
{
	struct dff_daemon *daemon = ctx;
	if (report->leaving)
		mark_leaving (daemon, &report->worker);
	else if (g_hash_table_remove (daemon->leaving_workers, &report->worker))
		daemon->next_grants_ms = 0;
	dff_cell_handle_worker_report (daemon->cell, report);
}

void
dff_daemon_handle_own_worker_report (void *ctx, const struct dff_worker_report *report)
{
	struct dff_daemon *daemon = ctx;
	if (report->leaving)
		mark_leaving (daemon, &report->worker);
	dff_peer_send_worker_report (daemon->peer, report);
}

static void
handle_job_changed (void *ctx, const struct dff_name *job, enum dff_outcome outcome)
{
	struct dff_daemon *daemon = ctx;
	if (outcome != DFF_OUTCOME_NONE)
		dff_daemon_notify_job_ended (daemon, job, outcome);
}

static void
handle_holder_changed (void *ctx, bool is_holder, int64_t epoch)
{
	struct dff_daemon *daemon = ctx;
	bool ready = daemon->entry != NULL && dff_entry_is_ready (daemon->entry);
	dff_peer_set_state (daemon->peer, ready, daemon->draining, is_holder ? epoch : 0);
	daemon->next_grants_ms = 0;
	if (daemon->watcher != NULL)
		dff_watcher_report_all (daemon->watcher);
}

void
dff_daemon_handle_instances (void *ctx, const struct dff_instance *instances, size_t n_instances)
{
	struct dff_daemon *daemon = ctx;
	g_array_set_size (daemon->instances, 0);
	if (n_instances > 0)
		g_array_append_vals (daemon->instances, instances, (guint)n_instances);
	dff_zmq_transport_set_instances (daemon->transport, instances, n_instances);
	dff_peer_set_instances (daemon->peer, instances, n_instances);
	dff_cell_set_instances (daemon->cell, instances, n_instances);
	dff_entry_set_instances (daemon->entry, instances, n_instances);
	daemon->next_assignment_ms = 0;
	daemon->next_grants_ms = 0;
}

void
dff_daemon_handle_message (void *ctx, const uint8_t *data, size_t len)
{
	struct dff_daemon *daemon = ctx;
	if (daemon->peer != NULL)
		dff_peer_receive (daemon->peer, data, len);
}

struct dff_peer_callbacks
dff_daemon_peer_callbacks (struct dff_daemon *daemon)
{
	struct dff_peer_callbacks callbacks = {
		.pool_received = dff_daemon_handle_pool_committed,
		.job_hint = handle_job_hint,
		.job_ended = handle_job_ended,
		.job_watch = handle_job_watch,
		.worker_report = handle_worker_report,
		.grants_received = handle_grants,
		.members_changed = handle_members_changed,
		.ctx = daemon,
	};
	return callbacks;
}

struct dff_cell_callbacks
dff_daemon_cell_callbacks (struct dff_daemon *daemon)
{
	struct dff_cell_callbacks callbacks = {
		.job_changed = handle_job_changed,
		.holder_changed = handle_holder_changed,
		.ctx = daemon,
	};
	return callbacks;
}
