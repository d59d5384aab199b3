#include "common/address.h"

#include <arpa/inet.h>
#include <string.h>

bool
dff_address_to_sockaddr (const struct dff_name *address, struct sockaddr_in *parsed)
{
	guint64 port;
	char ip[INET_ADDRSTRLEN] = "";
	const char *colon = strrchr (address->data, ':');
	if (colon == NULL || colon - address->data >= INET_ADDRSTRLEN)
		return false;
	memcpy (ip, address->data, (size_t)(colon - address->data));
	*parsed = (struct sockaddr_in){.sin_family = AF_INET};
	if (inet_pton (AF_INET, ip, &parsed->sin_addr) != 1 ||
	    !g_ascii_string_to_unsigned (colon + 1, 10, 0, UINT16_MAX, &port, NULL))
		return false;
	parsed->sin_port = htons ((uint16_t)port);
	return true;
}

struct dff_name
dff_address_of_socket (int fd)
{
	struct dff_name none = {0};
	struct sockaddr_in actual = {0};
	socklen_t length = sizeof (actual);
	char ip[INET_ADDRSTRLEN];
	if (getsockname (fd, (struct sockaddr *)&actual, &length) != 0 ||
	    inet_ntop (AF_INET, &actual.sin_addr, ip, sizeof (ip)) == NULL)
		return none;
	return dff_name_printf ("%s:%d", ip, ntohs (actual.sin_port));
}

bool
dff_address_from_text (struct dff_str text, struct dff_name *address)
{
	struct sockaddr_in parsed;
	*address = (struct dff_name){0};
	if (dff_name_parse (text, address) && dff_address_to_sockaddr (address, &parsed) &&
	    parsed.sin_port != 0)
		return true;
	*address = (struct dff_name){0};
	return false;
}
