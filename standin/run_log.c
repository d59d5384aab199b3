#include "standin/run_log.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <string.h>
#include <unistd.h>

#include "common/log.h"

#define FILE_MODE 0644

struct dff_run_log {
	int fd;
};

struct dff_run_log *
dff_run_log_open (const char *path, GError **error)
{
	int fd = open (path, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, FILE_MODE);
	if (fd < 0) {
		g_set_error (error, G_FILE_ERROR, g_file_error_from_errno (errno), "%s: %s", path,
			     g_strerror (errno));
		return NULL;
	}
	struct dff_run_log *log = g_new (struct dff_run_log, 1);
	log->fd = fd;
	return log;
}

void
dff_run_log_close (struct dff_run_log *log)
{
	close (log->fd);
	g_free (log);
}

/* Each line is a single write: lines of several workers do not mix, and a worker that dies right
 * afterwards has logged what it started. */
static void
append (const struct dff_run_log *log, const char *line)
{
	size_t length = strlen (line);
	if (write (log->fd, line, length) != (ssize_t)length)
		dff_log (DFF_LOG_STANDIN, DFF_LOG_ERROR, "Cannot write the run log. line=%s", line);
}

static const char *
tag_text (const struct dff_name *tag)
{
	return dff_name_is_empty (tag) ? "-" : tag->data;
}

void
dff_run_log_request (struct dff_run_log *log, const struct dff_name *id, const struct dff_name *tag)
{
	g_autofree char *line = g_strdup_printf ("request %s %s\n", id->data, tag_text (tag));
	append (log, line);
}

void
dff_run_log_task (struct dff_run_log *log,
		  const struct dff_task_id *task,
		  const struct dff_name *tag)
{
	g_autofree char *line =
		g_strdup_printf ("task %s %" PRId32 " %" PRId32 " %s\n", task->job.data,
				 task->attempt, task->member, tag_text (tag));
	append (log, line);
}
