#include "common/log.h"

#include <fcntl.h>
#include <inttypes.h>
#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#include "common/clock.h"

/* log4c_init() is not called: it would read a log4crc from the working or home directory that may
 * override the settings. Categories and the only appender are set up here. */

#define ROOT_CATEGORY "dragonflyfold"
/** Maximum length of a line, bytes. */
#define LINE_MAX_BYTES 1200
/** Rate limit of standard output, lines a second, and burst size in lines. A busy holder writes a
 * few dozen lines a second. */
#define LINES_PER_S 400.0
#define LINES_BURST 2000.0

/** Token bucket that limits the lines on standard output. */
static struct {
	double tokens;
	int64_t refilled_ms;
	int64_t dropped;
} stdout_limit;

static const char *const part_names[DFF_LOG_N_CATEGORIES] = {
	[DFF_LOG_CORE] = "core",         [DFF_LOG_CELL] = "cell",
	[DFF_LOG_ENTRY] = "entry",       [DFF_LOG_PEER] = "peer",
	[DFF_LOG_PLATFORM] = "platform", [DFF_LOG_POOL] = "pool",
	[DFF_LOG_RECORD] = "record",     [DFF_LOG_SERVE] = "serve",
	[DFF_LOG_UPSTREAM] = "upstream", [DFF_LOG_STANDIN] = "standin",
};

static const int priorities[] = {
	[DFF_LOG_DEBUG] = LOG4C_PRIORITY_DEBUG,
	[DFF_LOG_INFO] = LOG4C_PRIORITY_INFO,
	[DFF_LOG_WARNING] = LOG4C_PRIORITY_WARN,
	[DFF_LOG_ERROR] = LOG4C_PRIORITY_ERROR,
};

static const char *const level_names[] = {
	[DFF_LOG_DEBUG] = "debug",
	[DFF_LOG_INFO] = "info",
	[DFF_LOG_WARNING] = "warning",
	[DFF_LOG_ERROR] = "error",
};

static log4c_category_t *categories[DFF_LOG_N_CATEGORIES];

static const char *
priority_name (int priority)
{
	for (size_t i = 0; i < G_N_ELEMENTS (priorities); i++) {
		if (priorities[i] == priority)
			return level_names[i];
	}
	return "error";
}

static int
format_line (char *line, size_t size, const log4c_logging_event_t *event)
{
	struct tm utc;
	char date[sizeof "2026-01-01T00:00:00"];
	gmtime_r (&event->evt_timestamp.tv_sec, &utc);
	strftime (date, sizeof (date), "%Y-%m-%dT%H:%M:%S", &utc);
	const char *part = event->evt_category + strlen (ROOT_CATEGORY ".");
	return snprintf (line, size, "%s.%03ldZ %s %s: %s\n", date,
			 (long)event->evt_timestamp.tv_usec / 1000,
			 priority_name (event->evt_priority), part, event->evt_msg);
}

static int
append_to_stderr (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
	(void)appender;
	char line[LINE_MAX_BYTES];
	format_line (line, sizeof (line), event);
	return fputs (line, stderr);
}

/* Returns: whether one more line may be written. */
static bool
take_token (void)
{
	int64_t now_ms = dff_clock_now_ms (dff_clock_system ());
	double refill = (double)(now_ms - stdout_limit.refilled_ms) * LINES_PER_S / 1000.0;
	stdout_limit.tokens = MIN (stdout_limit.tokens + refill, LINES_BURST);
	stdout_limit.refilled_ms = now_ms;
	if (stdout_limit.tokens < 1.0)
		return false;
	stdout_limit.tokens -= 1.0;
	return true;
}

/* Never blocks: lines that the reader does not keep up with are dropped; their number is logged. */
static int
append_to_stdout (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
	(void)appender;
	char line[LINE_MAX_BYTES];
	if (!take_token ()) {
		stdout_limit.dropped++;
		return 0;
	}
	if (stdout_limit.dropped > 0) {
		int length =
			snprintf (line, sizeof (line), "log: Lines dropped. count=%" PRId64 "\n",
				  stdout_limit.dropped);
		if (write (STDOUT_FILENO, line, (size_t)length) != length) {
			stdout_limit.dropped++;
			return 0;
		}
		stdout_limit.dropped = 0;
	}
	int length = format_line (line, sizeof (line), event);
	length = MIN (length, (int)sizeof (line) - 1);
	line[length - 1] = '\n';
	if (write (STDOUT_FILENO, line, (size_t)length) != length)
		stdout_limit.dropped++;
	return length;
}

static const log4c_appender_type_t stderr_appender_type = {
	.name = "dragonflyfold-stderr",
	.append = append_to_stderr,
};

static const log4c_appender_type_t stdout_appender_type = {
	.name = "dragonflyfold-stdout",
	.append = append_to_stdout,
};

static void
init_with (const char *name, const log4c_appender_type_t *type, enum dff_log_level level)
{
	log4c_appender_t *appender = log4c_appender_get (name);
	log4c_appender_set_type (appender, type);
	log4c_category_set_appender (log4c_category_get (ROOT_CATEGORY), appender);
	for (size_t i = 0; i < DFF_LOG_N_CATEGORIES; i++) {
		char name[64];
		g_snprintf (name, sizeof (name), ROOT_CATEGORY ".%s", part_names[i]);
		categories[i] = log4c_category_get (name);
	}
	dff_log_set_level (level);
}

void
dff_log_init (enum dff_log_level level)
{
	init_with ("stderr-lines", &stderr_appender_type, level);
}

void
dff_log_init_stdout (enum dff_log_level level)
{
	int flags = fcntl (STDOUT_FILENO, F_GETFL);
	if (flags >= 0)
		fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	stdout_limit.tokens = LINES_BURST;
	stdout_limit.refilled_ms = dff_clock_now_ms (dff_clock_system ());
	init_with ("stdout-lines", &stdout_appender_type, level);
}

void
dff_log_set_level (enum dff_log_level level)
{
	log4c_category_set_priority (log4c_category_get (ROOT_CATEGORY), priorities[level]);
}

bool
dff_log_level_parse (struct dff_str text, enum dff_log_level *level)
{
	for (size_t i = 0; i < G_N_ELEMENTS (level_names); i++) {
		if (!dff_str_equal (text, dff_str_from (level_names[i])))
			continue;
		*level = (enum dff_log_level)i;
		return true;
	}
	return false;
}

void
dff_log (enum dff_log_category part, enum dff_log_level level, const char *format, ...)
{
	const log4c_category_t *category = categories[part];
	if (category == NULL || !log4c_category_is_priority_enabled (category, priorities[level]))
		return;
	va_list args;
	va_start (args, format);
	log4c_category_vlog (category, priorities[level], format, args);
	va_end (args);
}
