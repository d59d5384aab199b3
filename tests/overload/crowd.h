#ifndef DFF_TESTS_OVERLOAD_CROWD_H
#define DFF_TESTS_OVERLOAD_CROWD_H

#include <stddef.h>
#include <stdint.h>

/* Clients that connect to one port, send bytes and read no answer. */

struct crowd_options {
	uint16_t port;
	int n_clients;
	/** Sent once by each client. */
	const char *head;
	size_t head_len;
	/** (nullable): sent after the head, over and over. */
	const char *unit;
	size_t unit_len;
	/** Number of bytes that each client sends after the head. */
	size_t n_bytes;
};

struct crowd;

/** Connects all clients. */
struct crowd *crowd_new (const struct crowd_options *options);

/** Sends until every client has sent all, was closed by the process, or has not got rid of a byte
 * for a while. */
void crowd_send (struct crowd *crowd);

/** Number of connections that a crowd replaces at most, see crowd_start_replacing(). */
#define CROWD_REPLACED_MAX 200000

/** Replaces one connection after the other by a new one that sends the head, until the crowd is
 * freed or CROWD_REPLACED_MAX are replaced. */
void crowd_start_replacing (struct crowd *crowd);

/** Closes the connections. */
void crowd_free (struct crowd *crowd);

#endif
