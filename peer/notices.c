#include "peer/notices.h"

#include "peer/peer_internal.h"

#define PENDING_MAX 256
#define PENDING_TIMEOUT_MS 5000

struct pending_notice {
	GByteArray *bytes;
	int64_t expires_ms;
};

static void
pending_notice_free (gpointer data)
{
	struct pending_notice *notice = data;
	g_byte_array_unref (notice->bytes);
	g_free (notice);
}

void
dff_notices_clear (struct dff_notices *notices)
{
	g_queue_clear_full (&notices->pending, pending_notice_free);
}

static void
drop_oldest (struct dff_peer *peer)
{
	pending_notice_free (g_queue_pop_head (&peer->notices.pending));
	*peer->n_notices_dropped += 1;
}

static void
queue_notice (struct dff_peer *peer, struct dff_message *message)
{
	if (g_queue_get_length (&peer->notices.pending) >= PENDING_MAX)
		drop_oldest (peer);
	message->sender = peer->options.self.id;
	struct pending_notice *notice = g_new0 (struct pending_notice, 1);
	notice->bytes = dff_message_encode (message);
	notice->expires_ms = dff_peer_now_ms (peer) + PENDING_TIMEOUT_MS;
	g_queue_push_tail (&peer->notices.pending, notice);
}

void
dff_notices_send (struct dff_peer *peer, struct dff_message *message)
{
	int64_t epoch;
	const struct dff_instance *holder = dff_membership_holder (peer->membership, &epoch);
	if (holder == NULL) {
		queue_notice (peer, message);
		return;
	}
	message->sender = peer->options.self.id;
	if (dff_peer_is_self (peer, &holder->id))
		dff_peer_deliver (peer, message);
	else
		dff_peer_send (peer, holder, message);
}

static void
send_oldest (struct dff_peer *peer)
{
	struct pending_notice *notice = g_queue_pop_head (&peer->notices.pending);
	DFF_AUTO (dff_message)
	message = dff_message_decode (notice->bytes->data, notice->bytes->len);
	pending_notice_free (notice);
	if (message != NULL)
		dff_notices_send (peer, message);
}

void
dff_notices_tick (struct dff_peer *peer)
{
	GQueue *pending = &peer->notices.pending;
	int64_t epoch;
	bool has_holder = dff_membership_holder (peer->membership, &epoch) != NULL;
	int64_t now_ms = dff_peer_now_ms (peer);
	for (guint n = g_queue_get_length (pending); n > 0 && !g_queue_is_empty (pending); n--) {
		const struct pending_notice *oldest = g_queue_peek_head (pending);
		if (has_holder)
			send_oldest (peer);
		else if (oldest->expires_ms <= now_ms)
			drop_oldest (peer);
		else
			break;
	}
}
