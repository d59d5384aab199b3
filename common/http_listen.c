#include "common/http_listen.h"

#include <arpa/inet.h>

#include "common/address.h"

struct evhttp_bound_socket *
dff_http_listen (struct evhttp *http, const struct dff_name *address, struct dff_name *bound)
{
	char ip[INET_ADDRSTRLEN];
	struct sockaddr_in parsed;
	if (!dff_address_to_sockaddr (address, &parsed) ||
	    inet_ntop (AF_INET, &parsed.sin_addr, ip, sizeof (ip)) == NULL)
		return NULL;
	struct evhttp_bound_socket *socket =
		evhttp_bind_socket_with_handle (http, ip, ntohs (parsed.sin_port));
	if (socket == NULL)
		return NULL;
	*bound = dff_address_of_socket (evhttp_bound_socket_get_fd (socket));
	return dff_name_is_empty (bound) ? NULL : socket;
}
