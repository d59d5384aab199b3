#ifndef DFF_COMMON_HTTP_LISTEN_H
#define DFF_COMMON_HTTP_LISTEN_H

#include <event2/http.h>

#include "common/str.h"

/**
 * dff_http_listen:
 * @address: "IP:PORT", IPv4; port 0: any
 * @bound: (out): the address that is bound
 *
 * Binds @http to @address.
 *
 * Returns: (nullable): the socket, owned by @http; NULL when @address is malformed or cannot be
 * bound.
 */
struct evhttp_bound_socket *
dff_http_listen (struct evhttp *http, const struct dff_name *address, struct dff_name *bound);

#endif
