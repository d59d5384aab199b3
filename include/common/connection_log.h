#ifndef DFF_COMMON_CONNECTION_LOG_H
#define DFF_COMMON_CONNECTION_LOG_H

#include <stddef.h>
#include <stdint.h>

/* Logs the connections that a process closes for their limits: many in one line, as a flood of
 * clients must not become one of lines. */

enum dff_close_reason {
	DFF_CLOSE_IDLE,
	/** Its request took too long. */
	DFF_CLOSE_SLOW,
	/** Closed for a new connection. */
	DFF_CLOSE_REPLACED,
	/** Closed to release memory. */
	DFF_CLOSE_MEMORY,
	/** One too many, with none to be closed for it, or a request that is too large. */
	DFF_CLOSE_REJECTED,
	DFF_CLOSE_N_REASONS,
};

/** What has happened since the last line. All zero at the start. */
struct dff_connection_log {
	int32_t n[DFF_CLOSE_N_REASONS];
	/** Requests that were refused instead. */
	int32_t n_refused;
	/** Longest time without progress and most memory of a closed connection. */
	int64_t longest_ms;
	size_t largest_bytes;
	int64_t logged_ms;
};

/** Counts a connection that made no progress for @age_ms and held @bytes. */
void dff_connection_log_close (struct dff_connection_log *log,
			       enum dff_close_reason reason,
			       int64_t age_ms,
			       size_t bytes);

/** Counts a request that was refused. */
void dff_connection_log_refuse (struct dff_connection_log *log);

/**
 * dff_connection_log_write:
 * @clients: who connects
 * @n_open: connections that are open
 * @held_bytes: memory of all connections of the process
 *
 * Logs what was counted, a second after the last line at the earliest. Idle connections are closed
 * all the time, and alone give no line.
 */
void dff_connection_log_write (struct dff_connection_log *log,
			       const char *clients,
			       int32_t n_open,
			       size_t held_bytes,
			       int64_t now_ms);

#endif
