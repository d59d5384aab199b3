#ifndef DFF_COMMON_ADDRESS_H
#define DFF_COMMON_ADDRESS_H

#include <netinet/in.h>

#include "common/str.h"

/**
 * dff_address_to_sockaddr:
 * @address: "IP:PORT", IPv4; port 0: any
 * @parsed: (out): the same for the system's calls
 *
 * Returns: whether @address is one.
 */
bool dff_address_to_sockaddr (const struct dff_name *address, struct sockaddr_in *parsed);

/** Reads an address from a text. @address: (out): empty when it is none. Returns: whether it is
 * one. */
bool dff_address_from_text (struct dff_str text, struct dff_name *address);

/** Returns: "IP:PORT" that a socket is bound to; empty when it is not bound. */
struct dff_name dff_address_of_socket (int fd);

#endif
