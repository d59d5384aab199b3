#ifndef DFF_COMMON_ADDRESS_H
#define DFF_COMMON_ADDRESS_H

#include <netinet/in.h>

#include "common/str.h"

/**
 * dff_address_to_sockaddr:
 * @address: "IP:PORT", IPv4; port 0: any
 * @parsed: (out): the address as a sockaddr_in
 *
 * Returns: whether @address is valid.
 */
bool dff_address_to_sockaddr (const struct dff_name *address, struct sockaddr_in *parsed);

/** Parses an address. @address: (out): empty when @text is invalid. Returns: whether @text is
 * valid; port 0 is not. */
bool dff_address_from_text (struct dff_str text, struct dff_name *address);

/** Returns: the "IP:PORT" that a socket is bound to; empty when it is not bound. */
struct dff_name dff_address_of_socket (int fd);

#endif
