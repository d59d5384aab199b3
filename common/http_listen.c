#include "common/http_listen.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>

static bool
split_address (const struct dff_name *address, char ip[INET_ADDRSTRLEN], uint16_t *port)
{
	struct in_addr parsed;
	guint64 value;
	const char *colon = strrchr (address->data, ':');
	if (colon == NULL || colon - address->data >= INET_ADDRSTRLEN)
		return false;
	memset (ip, 0, INET_ADDRSTRLEN);
	memcpy (ip, address->data, (size_t)(colon - address->data));
	if (inet_pton (AF_INET, ip, &parsed) != 1 ||
	    !g_ascii_string_to_unsigned (colon + 1, 10, 0, UINT16_MAX, &value, NULL))
		return false;
	*port = (uint16_t)value;
	return true;
}

struct evhttp_bound_socket *
dff_http_listen (struct evhttp *http, const struct dff_name *address, struct dff_name *bound)
{
	char ip[INET_ADDRSTRLEN];
	uint16_t port = 0;
	if (!split_address (address, ip, &port))
		return NULL;
	struct evhttp_bound_socket *socket = evhttp_bind_socket_with_handle (http, ip, port);
	if (socket == NULL)
		return NULL;
	struct sockaddr_in actual = {0};
	socklen_t length = sizeof (actual);
	if (getsockname (evhttp_bound_socket_get_fd (socket), (struct sockaddr *)&actual,
			 &length) != 0)
		return NULL;
	*bound = dff_name_printf ("%s:%d", ip, ntohs (actual.sin_port));
	return socket;
}
