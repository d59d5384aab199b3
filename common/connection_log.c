#include "common/connection_log.h"

#include <glib.h>
#include <inttypes.h>
#include <stdbool.h>

#include "common/log.h"

/** Least time between two lines, ms. */
#define INTERVAL_MS 1000

void
dff_connection_log_close (struct dff_connection_log *log,
			  enum dff_close_reason reason,
			  int64_t age_ms,
			  size_t bytes)
{
	log->n[reason]++;
	log->longest_ms = MAX (log->longest_ms, age_ms);
	log->largest_bytes = MAX (log->largest_bytes, bytes);
}

void
dff_connection_log_refuse (struct dff_connection_log *log)
{
	log->n_refused++;
}

static bool
has_unusual (const struct dff_connection_log *log)
{
	int32_t n = log->n_refused;
	for (int i = DFF_CLOSE_IDLE + 1; i < DFF_CLOSE_N_REASONS; i++)
		n += log->n[i];
	return n > 0;
}

void
dff_connection_log_write (struct dff_connection_log *log,
			  const char *clients,
			  int32_t n_open,
			  size_t held_bytes,
			  int64_t now_ms)
{
	if (!has_unusual (log) || now_ms - log->logged_ms < INTERVAL_MS)
		return;
	dff_log (DFF_LOG_SERVE, DFF_LOG_WARNING,
		 "Connections closed. clients=%s idle=%d slow=%d replaced=%d memory=%d "
		 "rejected=%d refused_requests=%d longest_ms=%" PRId64
		 " largest_bytes=%zu open=%d held_bytes=%zu",
		 clients, log->n[DFF_CLOSE_IDLE], log->n[DFF_CLOSE_SLOW],
		 log->n[DFF_CLOSE_REPLACED], log->n[DFF_CLOSE_MEMORY], log->n[DFF_CLOSE_REJECTED],
		 log->n_refused, log->longest_ms, log->largest_bytes, n_open, held_bytes);
	*log = (struct dff_connection_log){.logged_ms = now_ms};
}
