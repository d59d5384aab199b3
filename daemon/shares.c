#include <inttypes.h>

#include "common/rendezvous.h"
#include "daemon/daemon_private.h"
#include "peer/grant.h"
#include "peer/watch_assignment.h"

/* Validity of grants, ms: several renewals, so that a lost message or a change of holder costs no
 * process its slots. */
#define GRANT_VALID_MS 10000

/* State derived from the live members: the workers that this process watches, its rank among the
 * candidates for the cell and, on the holder, the slot grants of all processes. */

static bool
is_worker_of_region (const struct dff_daemon *daemon, const struct dff_instance *instance)
{
	return instance->role == DFF_INSTANCE_WORKER &&
	       dff_name_equal (&instance->region, &daemon->settings->region);
}

static GArray *
live_members (const struct dff_daemon *daemon)
{
	GArray *names = g_array_new (FALSE, FALSE, sizeof (struct dff_name));
	dff_watch_collect_members (dff_peer_members (daemon->peer), &daemon->settings->region,
				   names);
	return names;
}

void
dff_daemon_assign_workers (struct dff_daemon *daemon)
{
	g_autoptr (GArray) members = live_members (daemon);
	g_autoptr (GArray) workers = g_array_new (FALSE, FALSE, sizeof (struct dff_watched_worker));
	g_autoptr (GArray) names = g_array_new (FALSE, FALSE, sizeof (struct dff_name));
	for (guint i = 0; i < daemon->instances->len; i++) {
		const struct dff_instance *instance =
			&g_array_index (daemon->instances, struct dff_instance, i);
		if (!is_worker_of_region (daemon, instance))
			continue;
		struct dff_watched_worker worker = {instance->id, instance->address};
		g_array_append_val (workers, worker);
		g_array_append_val (names, instance->id);
	}
	g_autoptr (GArray) assigned = g_array_new (FALSE, FALSE, sizeof (guint));
	dff_watch_assign (&daemon->settings->instance,
			  (const struct dff_name *)(void *)members->data, members->len,
			  (const struct dff_name *)(void *)names->data, names->len, assigned);
	g_autoptr (GArray) share = g_array_new (FALSE, FALSE, sizeof (struct dff_watched_worker));
	for (guint i = 0; i < assigned->len; i++) {
		guint index = g_array_index (assigned, guint, i);
		g_array_append_val (share,
				    g_array_index (workers, struct dff_watched_worker, index));
	}
	int32_t interval_ms = dff_watch_interval_ms (
		share->len, daemon->settings->watch_interval_ms, daemon->settings->task_lease_ms);
	dff_http_worker_set_renew_wait (daemon->workers, interval_ms);
	dff_watcher_set_interval (daemon->watcher, interval_ms);
	dff_watcher_set_workers (daemon->watcher,
				 (const struct dff_watched_worker *)(void *)share->data,
				 share->len);
}

void
dff_daemon_update_rank (struct dff_daemon *daemon)
{
	g_autoptr (GArray) members = live_members (daemon);
	struct dff_str region = {daemon->settings->region.data, daemon->settings->region.len};
	uint64_t own = dff_rendezvous_weight (region, &daemon->settings->instance);
	int32_t rank = 0;
	for (guint i = 0; i < members->len; i++) {
		const struct dff_name *member = &g_array_index (members, struct dff_name, i);
		if (dff_rendezvous_weight (region, member) > own)
			rank++;
	}
	dff_cell_set_rank (daemon->cell, rank);
}

/* Returns: the worker's slots for short requests; 0 if the pool does not contain its rack. */
static int32_t
request_slots (const struct dff_pool *pool, const struct dff_instance *worker)
{
	const struct dff_rack *rack = dff_pool_find_rack (pool, &worker->rack);
	return rack != NULL ? dff_pool_request_slots (pool, rack) : 0;
}

static GArray *
grant_workers (const struct dff_daemon *daemon)
{
	GArray *workers = g_array_new (FALSE, FALSE, sizeof (struct dff_grant_worker));
	for (guint i = 0; i < daemon->instances->len; i++) {
		const struct dff_instance *instance =
			&g_array_index (daemon->instances, struct dff_instance, i);
		if (!is_worker_of_region (daemon, instance) || instance->leaving ||
		    g_hash_table_contains (daemon->leaving_workers, &instance->id))
			continue;
		struct dff_grant_worker worker = {
			instance->id,
			instance->data_centre,
			request_slots (daemon->pool, instance),
		};
		g_array_append_val (workers, worker);
	}
	return workers;
}

static GArray *
grant_members (const struct dff_daemon *daemon)
{
	GArray *granted = g_array_new (FALSE, FALSE, sizeof (struct dff_grant_member));
	const GArray *members = dff_peer_members (daemon->peer);
	for (guint i = 0; i < members->len; i++) {
		const struct dff_member *member = &g_array_index (members, struct dff_member, i);
		bool live =
			member->state == DFF_MEMBER_ALIVE || member->state == DFF_MEMBER_SUSPECT;
		if (!live || !dff_name_equal (&member->instance.region, &daemon->settings->region))
			continue;
		struct dff_grant_member entry = {member->instance.id, member->instance.data_centre};
		g_array_append_val (granted, entry);
	}
	return granted;
}

static GPtrArray *
compute_grants (const struct dff_daemon *daemon, const GArray *members)
{
	g_autoptr (GArray) workers = grant_workers (daemon);
	return dff_grants_assign (
		(const struct dff_grant_worker *)(void *)workers->data, workers->len,
		(const struct dff_grant_member *)(void *)members->data, members->len);
}

void
dff_daemon_assign_grants (struct dff_daemon *daemon)
{
	if (!dff_cell_is_holder (daemon->cell) || daemon->pool == NULL)
		return;
	g_autoptr (GArray) members = grant_members (daemon);
	g_autoptr (GPtrArray) shares = compute_grants (daemon, members);
	for (guint i = 0; i < members->len; i++) {
		const struct dff_grant_member *member =
			&g_array_index (members, struct dff_grant_member, i);
		const GArray *share = g_ptr_array_index (shares, i);
		dff_peer_send_grants (daemon->peer, &member->id, dff_cell_epoch (daemon->cell),
				      (const struct dff_grant *)(void *)share->data, share->len,
				      GRANT_VALID_MS);
	}
}

/* During a store outage the cell's lease cannot be renewed, and grants expire. Without own grants,
 * short requests, which need no store, would be refused during the outage. The distribution is a
 * pure function of members and workers, so each process computes its own grants as the holder
 * would. Where views differ for a moment, a worker without a free slot refuses, and the request is
 * sent to another one. */
void
dff_daemon_assign_own_grants (struct dff_daemon *daemon, int64_t now_ms)
{
	/* This also covers a holder that rejects its own grants because it received grants of a
	 * higher epoch earlier, as after a loss of the table. It must not wait for ever. */
	if (now_ms < daemon->grants_until_ms || daemon->pool == NULL)
		return;
	g_autoptr (GArray) members = grant_members (daemon);
	g_autoptr (GPtrArray) shares = compute_grants (daemon, members);
	for (guint i = 0; i < members->len; i++) {
		const struct dff_grant_member *member =
			&g_array_index (members, struct dff_grant_member, i);
		if (!dff_name_equal (&member->id, &daemon->settings->instance))
			continue;
		const GArray *share = g_ptr_array_index (shares, i);
		dff_entry_set_grants (daemon->entry, daemon->grant_epoch,
				      (const struct dff_grant *)(void *)share->data, share->len,
				      GRANT_VALID_MS);
	}
}
