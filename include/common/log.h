#ifndef DFF_COMMON_LOG_H
#define DFF_COMMON_LOG_H

#include <glib.h>
#include <stdbool.h>

#include "common/str.h"

/* Logging through log4c, with one category for each part; its name is the prefix of the part's
 * lines. A message is one short sentence, followed by key=value pairs. */

enum dff_log_category {
	DFF_LOG_CORE,
	DFF_LOG_CELL,
	DFF_LOG_ENTRY,
	DFF_LOG_PEER,
	DFF_LOG_PLATFORM,
	DFF_LOG_POOL,
	DFF_LOG_RECORD,
	DFF_LOG_SERVE,
	DFF_LOG_UPSTREAM,
	DFF_LOG_STANDIN,
	DFF_LOG_N_CATEGORIES,
};

enum dff_log_level {
	DFF_LOG_DEBUG,
	DFF_LOG_INFO,
	DFF_LOG_WARNING,
	DFF_LOG_ERROR,
};

/** Starts logging to standard error. Without this call, as in most tests, nothing is written. */
void dff_log_init (enum dff_log_level level);

/** Starts logging to standard output. It never blocks, and the number of lines a second is limited:
 * lines that exceed the limit or the reader's buffer are dropped and counted. */
void dff_log_init_stdout (enum dff_log_level level);

/** Changes the lowest level that is written. */
void dff_log_set_level (enum dff_log_level level);

/** Parses "debug", "info", "warning" or "error". Returns: false for any other text. */
bool dff_log_level_parse (struct dff_str text, enum dff_log_level *level);

/** Writes one line, prefixed by the part, if @level is enabled: a sentence and key=value pairs. */
void dff_log (enum dff_log_category part, enum dff_log_level level, const char *format, ...)
	G_GNUC_PRINTF (3, 4);

#endif
