#include "bench/slopes/relay.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <glib.h>

/** TCP and IP headers with time stamps. */
#define HEADER_BYTES 52
#define SEGMENT_BYTES 1448

struct relay {
	struct event_base *base;
	struct evconnlistener *listener;
	struct sockaddr_storage target;
	int target_len;
	struct dff_name address;
	struct relay_counts counts;
	/** Set of struct link. */
	GHashTable *links;
};

/** A relayed connection: to the caller and to the target. */
struct link {
	struct relay *relay;
	struct bufferevent *halves[2];
};

static void
link_free (gpointer data)
{
	struct link *link = data;
	bufferevent_free (link->halves[0]);
	bufferevent_free (link->halves[1]);
	g_free (link);
}

static void
count (struct relay_counts *counts, size_t len)
{
	int64_t segments = (int64_t)(len + SEGMENT_BYTES - 1) / SEGMENT_BYTES;
	counts->messages++;
	counts->bytes += (int64_t)len;
	counts->wire_bytes += (int64_t)len + 2 * segments * HEADER_BYTES;
}

static void
forward (struct bufferevent *from, void *user)
{
	struct link *link = user;
	struct bufferevent *to = link->halves[from == link->halves[0]];
	struct evbuffer *input = bufferevent_get_input (from);
	count (&link->relay->counts, evbuffer_get_length (input));
	evbuffer_add_buffer (bufferevent_get_output (to), input);
}

static void
closed (struct bufferevent *half, short events, void *user)
{
	(void)half;
	struct link *link = user;
	if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
		g_hash_table_remove (link->relay->links, link);
}

static void
accepted (struct evconnlistener *listener,
	  evutil_socket_t fd,
	  struct sockaddr *peer,
	  int peer_len,
	  void *user)
{
	(void)listener;
	(void)peer;
	(void)peer_len;
	struct relay *relay = user;
	struct link *link = g_new0 (struct link, 1);
	link->relay = relay;
	link->halves[0] = bufferevent_socket_new (relay->base, fd, BEV_OPT_CLOSE_ON_FREE);
	link->halves[1] = bufferevent_socket_new (relay->base, -1, BEV_OPT_CLOSE_ON_FREE);
	relay->counts.connections++;
	g_hash_table_add (relay->links, link);
	for (int i = 0; i < 2; i++) {
		bufferevent_setcb (link->halves[i], forward, NULL, closed, link);
		bufferevent_enable (link->halves[i], EV_READ | EV_WRITE);
	}
	bufferevent_socket_connect (link->halves[1], (struct sockaddr *)&relay->target,
				    relay->target_len);
}

struct relay *
relay_new (struct event_base *base, const struct dff_name *target)
{
	struct relay *relay = g_new0 (struct relay, 1);
	struct sockaddr_in any = {.sin_family = AF_INET};
	any.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	relay->base = base;
	relay->links = g_hash_table_new_full (NULL, NULL, link_free, NULL);
	relay->target_len = sizeof (relay->target);
	if (evutil_parse_sockaddr_port (target->data, (struct sockaddr *)&relay->target,
					&relay->target_len) != 0)
		g_error ("%s: not an address", target->data);
	relay->listener = evconnlistener_new_bind (base, accepted, relay,
						   LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
						   (struct sockaddr *)&any, sizeof (any));
	g_assert (relay->listener != NULL);
	socklen_t len = sizeof (any);
	getsockname (evconnlistener_get_fd (relay->listener), (struct sockaddr *)&any, &len);
	relay->address = dff_name_printf ("127.0.0.1:%d", ntohs (any.sin_port));
	return relay;
}

void
relay_free (struct relay *relay)
{
	evconnlistener_free (relay->listener);
	g_hash_table_unref (relay->links);
	g_free (relay);
}

const struct dff_name *
relay_address (const struct relay *relay)
{
	return &relay->address;
}

struct relay_counts
relay_counts (const struct relay *relay)
{
	return relay->counts;
}
