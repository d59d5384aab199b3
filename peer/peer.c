#include "peer/peer.h"

#include "common/log.h"
#include "peer/peer_internal.h"

#define HEARTBEAT_MS 1000
#define SUSPECT_MS 3000
#define DEAD_MS 4000
#define FANOUT 12

void
dff_peer_options_init (struct dff_peer_options *options)
{
	static const struct dff_peer_options defaults = {
		.heartbeat_ms = HEARTBEAT_MS,
		.suspect_ms = SUSPECT_MS,
		.dead_ms = DEAD_MS,
		.fanout = FANOUT,
	};
	*options = defaults;
}

int64_t
dff_peer_now_ms (const struct dff_peer *peer)
{
	return dff_clock_now_ms (peer->options.clock);
}

bool
dff_peer_is_self (const struct dff_peer *peer, const struct dff_name *id)
{
	return dff_name_equal (id, &peer->options.self.id);
}

void
dff_peer_send (struct dff_peer *peer,
	       const struct dff_instance *member,
	       struct dff_message *message)
{
	message->sender = peer->options.self.id;
	g_autoptr (GByteArray) bytes = dff_message_encode (message);
	if (bytes->len > DFF_MESSAGE_MAX_BYTES) {
		dff_log (DFF_LOG_PEER, DFF_LOG_ERROR, "Message not sent: too long. bytes=%u",
			 bytes->len);
		return;
	}
	*peer->n_sent += 1;
	*peer->n_sent_bytes += bytes->len;
	const struct dff_peer_transport *transport = &peer->options.transport;
	transport->send (transport->ctx, member, bytes->data, bytes->len);
}

static void
send_heartbeat (void *ctx, const struct dff_instance *member, const struct dff_heartbeat *heartbeat)
{
	struct dff_message message = {.kind = DFF_MESSAGE_HEARTBEAT, .heartbeat = *heartbeat};
	dff_peer_send (ctx, member, &message);
}

static void
region_changed (void *ctx)
{
	struct dff_peer *peer = ctx;
	peer->options.callbacks.members_changed (peer->options.callbacks.ctx);
}

static void
set_up_counters (struct dff_peer *peer)
{
	struct dff_metrics *metrics = peer->options.metrics;
	peer->n_malformed = dff_metrics_counter (metrics, "dff_peer_malformed_total",
						 "Messages dropped as malformed");
	peer->n_unknown_sender = dff_metrics_counter (metrics, "dff_peer_unknown_sender_total",
						      "Messages of senders not on the list");
	peer->n_stale_grants = dff_metrics_counter (metrics, "dff_peer_stale_grants_total",
						    "Grant sets dropped as outdated");
	peer->n_unmatched_grants = dff_metrics_counter (metrics, "dff_peer_unmatched_grants_total",
							"Renewals dropped as of another grant set");
	peer->n_notices_dropped = dff_metrics_counter (metrics, "dff_peer_notices_dropped_total",
						       "Notices dropped for want of a holder");
	peer->n_sent =
		dff_metrics_counter (metrics, "dff_peer_sent_total", "Messages sent to peers");
	peer->n_sent_bytes = dff_metrics_counter (metrics, "dff_peer_sent_bytes_total",
						  "Bytes of messages sent to peers");
	peer->n_received = dff_metrics_counter (metrics, "dff_peer_received_total",
						"Messages received from peers");
	peer->n_received_bytes = dff_metrics_counter (metrics, "dff_peer_received_bytes_total",
						      "Bytes of messages from peers");
}

struct dff_peer *
dff_peer_new (const struct dff_peer_options *options)
{
	struct dff_peer *peer = g_new0 (struct dff_peer, 1);
	peer->options = *options;
	peer->members = g_array_new (FALSE, FALSE, sizeof (struct dff_member));
	g_queue_init (&peer->notices.pending);
	dff_grants_sent_init (&peer->grants_sent);
	set_up_counters (peer);
	struct dff_membership_options membership = {
		.self = options->self,
		.clock = options->clock,
		.metrics = options->metrics,
		.seed = options->seed,
		.heartbeat_ms = options->heartbeat_ms,
		.suspect_ms = options->suspect_ms,
		.dead_ms = options->dead_ms,
		.fanout = options->fanout,
		.send = send_heartbeat,
		.changed = region_changed,
		.ctx = peer,
	};
	peer->membership = dff_membership_new (&membership);
	return peer;
}

void
dff_peer_free (struct dff_peer *peer)
{
	dff_notices_clear (&peer->notices);
	dff_pool_push_clear (&peer->pool_push);
	dff_grants_sent_clear (&peer->grants_sent);
	dff_grants_current_clear (&peer->grants_current);
	dff_membership_free (peer->membership);
	g_array_free (peer->members, TRUE);
	g_free (peer);
}

void
dff_peer_tick (struct dff_peer *peer)
{
	dff_membership_tick (peer->membership);
	dff_pool_push_request (peer);
	dff_notices_tick (peer);
}

/* Returns: remaining validity of a grant set on this process's clock. The holder counts from
 * sending. If this process counted from arrival, a delayed set would outlive the holder's count and
 * two processes would use the same slots. So the time runs from this process's last heartbeat that
 * the holder had received, plus the age of that heartbeat at sending; no clocks are compared. */
static int64_t
remaining_ms (const struct dff_peer *peer, const struct dff_grant_set *set)
{
	int64_t now_ms = dff_peer_now_ms (peer);
	if (set->heartbeat_sent_ms <= 0 || set->heartbeat_sent_ms > now_ms ||
	    set->heartbeat_age_ms > now_ms)
		return 0;
	int64_t elapsed_ms = now_ms - (set->heartbeat_sent_ms + set->heartbeat_age_ms);
	return MIN (set->valid_ms - elapsed_ms, set->valid_ms);
}

static bool
grants_are_newer (const struct dff_peer *peer, const struct dff_grant_set *set)
{
	int64_t holder_epoch;
	dff_membership_holder (peer->membership, &holder_epoch);
	if (set->epoch < MAX (peer->grants_epoch, holder_epoch))
		return false;
	return set->epoch > peer->grants_epoch || set->sequence > peer->grants_sequence;
}

/* Returns: whether the renewal is for a set other than the current one, because the new set was
 * lost. To renew the current set would let two processes use the same slots. Such a renewal is
 * dropped without recording its sequence. */
static bool
renews_other_set (const struct dff_peer *peer, const struct dff_grant_set *set)
{
	return set->is_renewal && !dff_grants_current_match (&peer->grants_current, &set->digest);
}

static void
apply_grants (struct dff_peer *peer, const struct dff_grant_set *set, int64_t valid_ms)
{
	if (valid_ms <= 0 || !grants_are_newer (peer, set)) {
		*peer->n_stale_grants += 1;
		return;
	}
	if (renews_other_set (peer, set)) {
		*peer->n_unmatched_grants += 1;
		return;
	}
	peer->grants_epoch = set->epoch;
	peer->grants_sequence = set->sequence;
	if (!set->is_renewal)
		dff_grants_current_set (&peer->grants_current, set->grants, set->n_grants);
	const GArray *current = peer->grants_current.grants;
	const struct dff_peer_callbacks *callbacks = &peer->options.callbacks;
	callbacks->grants_received (callbacks->ctx, set->epoch,
				    (const struct dff_grant *)(void *)current->data, current->len,
				    (int32_t)valid_ms);
}

void
dff_peer_deliver (struct dff_peer *peer, const struct dff_message *message)
{
	const struct dff_peer_callbacks *callbacks = &peer->options.callbacks;
	switch (message->kind) {
	case DFF_MESSAGE_HEARTBEAT:
		dff_membership_receive (peer->membership, &message->heartbeat);
		dff_pool_push_request (peer);
		break;
	case DFF_MESSAGE_POOL_REQUEST:
		dff_pool_push_answer (peer, &message->sender, message->pool_request);
		break;
	case DFF_MESSAGE_POOL_FILE:
		dff_pool_push_receive (peer, &message->pool_file);
		break;
	case DFF_MESSAGE_JOB_HINT:
		callbacks->job_hint (callbacks->ctx, &message->job);
		break;
	case DFF_MESSAGE_JOB_WATCH:
		callbacks->job_watch (callbacks->ctx, &message->sender, &message->job);
		break;
	case DFF_MESSAGE_JOB_ENDED:
		callbacks->job_ended (callbacks->ctx, &message->job_ended.job,
				      message->job_ended.outcome);
		break;
	case DFF_MESSAGE_WORKER_REPORT:
		callbacks->worker_report (callbacks->ctx, &message->worker_report);
		break;
	case DFF_MESSAGE_GRANTS:
		apply_grants (peer, &message->grants, remaining_ms (peer, &message->grants));
		break;
	}
}

void
dff_peer_receive (struct dff_peer *peer, const uint8_t *data, size_t len)
{
	*peer->n_received += 1;
	*peer->n_received_bytes += (int64_t)len;
	DFF_AUTO (dff_message) message = dff_message_decode (data, len);
	if (message == NULL) {
		*peer->n_malformed += 1;
		return;
	}
	bool known = dff_membership_find (peer->membership, &message->sender) != NULL;
	if (!known || dff_peer_is_self (peer, &message->sender)) {
		*peer->n_unknown_sender += 1;
		return;
	}
	dff_peer_deliver (peer, message);
}

static bool
is_member (const void *ctx, const struct dff_name *id)
{
	return dff_membership_find (ctx, id) != NULL;
}

void
dff_peer_set_instances (struct dff_peer *peer,
			const struct dff_instance *instances,
			size_t n_instances)
{
	dff_membership_set_instances (peer->membership, instances, n_instances);
	dff_grants_sent_retain (&peer->grants_sent, is_member, peer->membership);
}

void
dff_peer_set_state (struct dff_peer *peer, bool ready, bool leaving, int64_t holder_epoch)
{
	dff_membership_set_state (peer->membership, ready, leaving, holder_epoch);
}

void
dff_peer_set_pool (struct dff_peer *peer, int64_t generation, int64_t revision, struct dff_str text)
{
	if (dff_pool_push_set (&peer->pool_push, generation, revision, text))
		dff_membership_set_generation (peer->membership, generation);
}

static void
list_members (const struct dff_peer *peer)
{
	g_array_set_size (peer->members, 0);
	dff_membership_list (peer->membership, peer->members);
}

const GArray *
dff_peer_members (const struct dff_peer *peer)
{
	list_members (peer);
	return peer->members;
}

uint32_t
dff_peer_start_id (const struct dff_peer *peer)
{
	return dff_membership_start_id (peer->membership);
}

const struct dff_member *
dff_peer_holder (const struct dff_peer *peer)
{
	int64_t epoch;
	const struct dff_instance *holder = dff_membership_holder (peer->membership, &epoch);
	if (holder == NULL)
		return NULL;
	list_members (peer);
	for (guint i = 0; i < peer->members->len; i++) {
		const struct dff_member *member =
			&g_array_index (peer->members, struct dff_member, i);
		if (dff_name_equal (&member->instance.id, &holder->id))
			return member;
	}
	return NULL;
}

void
dff_peer_send_job_hint (struct dff_peer *peer, const struct dff_name *job)
{
	struct dff_message message = {.kind = DFF_MESSAGE_JOB_HINT, .job = *job};
	dff_notices_send (peer, &message);
}

void
dff_peer_send_job_watch (struct dff_peer *peer, const struct dff_name *job)
{
	struct dff_message message = {.kind = DFF_MESSAGE_JOB_WATCH, .job = *job};
	dff_notices_send (peer, &message);
}

/* Sends the report to all members of the region, because each sends requests to the workers of its
 * grants. If only the holder, which removes the worker from the grants, received it, a leaving
 * worker would get new requests while the cell has no holder. Task reports are for the holder
 * alone. */
static void
announce_leaving (struct dff_peer *peer, const struct dff_worker_report *report)
{
	struct dff_message message = {.kind = DFF_MESSAGE_WORKER_REPORT, .worker_report = *report};
	message.sender = peer->options.self.id;
	message.worker_report.reports = NULL;
	message.worker_report.n_reports = 0;
	message.worker_report.complete = false;
	const GArray *members = dff_peer_members (peer);
	for (guint i = 0; i < members->len; i++) {
		const struct dff_member *member = &g_array_index (members, struct dff_member, i);
		bool gone = member->state == DFF_MEMBER_DEAD;
		bool same_region =
			dff_name_equal (&member->instance.region, &peer->options.self.region);
		if (gone || !same_region || dff_peer_is_self (peer, &member->instance.id))
			continue;
		dff_peer_send (peer, &member->instance, &message);
	}
}

void
dff_peer_send_worker_report (struct dff_peer *peer, const struct dff_worker_report *report)
{
	struct dff_message message = {.kind = DFF_MESSAGE_WORKER_REPORT, .worker_report = *report};
	dff_notices_send (peer, &message);
	if (report->leaving)
		announce_leaving (peer, report);
}

void
dff_peer_send_job_ended (struct dff_peer *peer,
			 const struct dff_name *watcher,
			 const struct dff_name *job,
			 enum dff_outcome outcome)
{
	struct dff_message message = {.kind = DFF_MESSAGE_JOB_ENDED};
	message.job_ended.job = *job;
	message.job_ended.outcome = outcome;
	if (dff_peer_is_self (peer, watcher)) {
		dff_peer_deliver (peer, &message);
		return;
	}
	const struct dff_instance *member = dff_membership_find (peer->membership, watcher);
	if (member != NULL)
		dff_peer_send (peer, member, &message);
}

void
dff_peer_send_grants (struct dff_peer *peer,
		      const struct dff_name *member,
		      int64_t epoch,
		      const struct dff_grant *grants,
		      size_t n_grants,
		      int32_t valid_ms)
{
	struct dff_message message = {.kind = DFF_MESSAGE_GRANTS};
	struct dff_grant_set *set = &message.grants;
	set->epoch = epoch;
	set->sequence = ++peer->grants_sequence_sent;
	set->valid_ms = valid_ms;
	set->grants = grants;
	set->n_grants = MIN (n_grants, (size_t)DFF_MESSAGE_ELEMENTS_MAX);
	if (dff_peer_is_self (peer, member)) {
		apply_grants (peer, set, valid_ms);
		return;
	}
	const struct dff_instance *instance = dff_membership_find (peer->membership, member);
	struct dff_last_heartbeat last = dff_membership_last_heartbeat (peer->membership, member);
	/* Without a heartbeat the receiver could not determine the age of the grants. */
	if (instance == NULL || last.sent_ms == 0)
		return;
	set->heartbeat_sent_ms = last.sent_ms;
	set->heartbeat_age_ms = last.age_ms;
	set->digest = dff_grant_digest (set->grants, set->n_grants);
	set->is_renewal = !dff_grants_sent_count (&peer->grants_sent, member, epoch, last.start_id,
						  &set->digest);
	if (set->is_renewal)
		set->n_grants = 0;
	dff_peer_send (peer, instance, &message);
}
