#include "peer/pool_push.h"

#include "common/log.h"
#include "peer/peer_internal.h"

/** Time without a file until the next request, ms. */
#define REQUEST_INTERVAL_MS 200

/** Number of requests for one generation at that interval; later ones use the slow interval. */
#define FAST_REQUESTS 15
#define REQUEST_INTERVAL_SLOW_MS 2000

/** Time until a file that this process rejected is requested again, ms. */
#define REFUSED_INTERVAL_MS 5000

void
dff_pool_push_clear (struct dff_pool_push *push)
{
	g_clear_pointer (&push->text, g_bytes_unref);
}

bool
dff_pool_push_set (struct dff_pool_push *push,
		   int64_t generation,
		   int64_t revision,
		   struct dff_str text)
{
	/* An older file, delayed or read from a store that returns stale data, must not revert an
	 * accepted configuration. */
	if (generation <= push->generation)
		return false;
	dff_pool_push_clear (push);
	push->generation = generation;
	push->revision = revision;
	push->text = g_bytes_new (text.data, text.len);
	return true;
}

static int64_t
request_interval_ms (const struct dff_pool_push *push)
{
	return push->n_requests < FAST_REQUESTS ? REQUEST_INTERVAL_MS : REQUEST_INTERVAL_SLOW_MS;
}

void
dff_pool_push_request (struct dff_peer *peer)
{
	struct dff_pool_push *push = &peer->pool_push;
	int64_t newest = dff_membership_newest_generation (peer->membership);
	if (newest <= push->generation)
		return;
	int64_t now_ms = dff_peer_now_ms (peer);
	if (newest > push->requested_generation) {
		push->requested_generation = newest;
		push->n_requests = 0;
		push->next_request_ms = now_ms;
	}
	if (now_ms < push->next_request_ms)
		return;
	const struct dff_instance *member =
		dff_membership_pick_with_generation (peer->membership, newest);
	if (member == NULL)
		return;
	push->n_requests++;
	push->next_request_ms = now_ms + request_interval_ms (push);
	struct dff_message message = {.kind = DFF_MESSAGE_POOL_REQUEST, .pool_request = newest};
	dff_peer_send (peer, member, &message);
}

void
dff_pool_push_answer (struct dff_peer *peer, const struct dff_name *requester, int64_t generation)
{
	const struct dff_pool_push *push = &peer->pool_push;
	const struct dff_instance *member = dff_membership_find (peer->membership, requester);
	if (member == NULL || push->text == NULL || push->generation < generation)
		return;
	struct dff_message message = {.kind = DFF_MESSAGE_POOL_FILE};
	message.pool_file.generation = push->generation;
	message.pool_file.revision = push->revision;
	message.pool_file.text.data = g_bytes_get_data (push->text, &message.pool_file.text.len);
	dff_peer_send (peer, member, &message);
}

void
dff_pool_push_receive (struct dff_peer *peer, const struct dff_pool_file *file)
{
	struct dff_pool_push *push = &peer->pool_push;
	if (file->generation <= push->generation)
		return;
	const struct dff_peer_callbacks *callbacks = &peer->options.callbacks;
	callbacks->pool_received (callbacks->ctx, file->generation, file->revision, file->text);
	if (push->generation >= file->generation)
		return;
	/* This process rejected the file, for example one for a newer version. It still reports its
	 * old generation and requests the file again at a slow rate. */
	push->next_request_ms = dff_peer_now_ms (peer) + REFUSED_INTERVAL_MS;
	dff_log (DFF_LOG_PEER, DFF_LOG_WARNING,
		 "Pool file from a peer rejected. generation=%" G_GINT64_FORMAT, file->generation);
}
