#include <event2/event.h>
#include <getopt.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "client/command.h"
#include "common/event_loop.h"
#include "common/log.h"
#include "common/signal_loop.h"
#include "daemon/daemon.h"
#include "daemon/settings.h"

/* Context of the signal handlers. */
struct serve {
	struct dff_daemon *daemon;
	struct dff_settings *settings;
	const char *settings_path;
};

static const char usage[] =
	"Usage: dragonflyfold serve --settings FILE\n"
	"\n"
	"Runs one process of the system.\n"
	"\n"
	"  -s, --settings FILE  settings of this process, JSON\n"
	"  -h, --help           prints this text\n"
	"\n"
	"SIGTERM and SIGINT stop gracefully; a second one stops at once and\n"
	"the exit status is 1, as when a stop takes longer than drain_timeout_ms.\n"
	"SIGHUP reads the settings again.\n";

static void
handle_stop (void *ctx, int signal_number)
{
	struct serve *serve = ctx;
	if (dff_daemon_is_draining (serve->daemon)) {
		dff_log (DFF_LOG_SERVE, DFF_LOG_WARNING,
			 "Second signal, stopping at once. signal=%d", signal_number);
		dff_daemon_abort (serve->daemon);
		return;
	}
	dff_log (DFF_LOG_SERVE, DFF_LOG_INFO, "Stopping gracefully. signal=%d", signal_number);
	dff_daemon_drain (serve->daemon);
}

static void
handle_reload (void *ctx)
{
	struct serve *serve = ctx;
	g_autoptr (GError) error = NULL;
	DFF_AUTO (dff_settings) fresh = dff_settings_load (serve->settings_path, NULL, &error);
	if (fresh == NULL) {
		dff_log (DFF_LOG_SERVE, DFF_LOG_ERROR,
			 "Settings not reloaded: the file is not valid. error=\"%s\"",
			 error->message);
		return;
	}
	g_autoptr (GPtrArray) fixed = g_ptr_array_new_with_free_func (g_free);
	dff_settings_reload (serve->settings, fresh, fixed);
	dff_daemon_settings_changed (serve->daemon);
	for (guint i = 0; i < fixed->len; i++) {
		dff_log (DFF_LOG_SERVE, DFF_LOG_WARNING,
			 "Changed setting takes effect at the next start only. key=%s",
			 (const char *)g_ptr_array_index (fixed, i));
	}
	dff_log (DFF_LOG_SERVE, DFF_LOG_INFO, "Settings reloaded.");
}

static struct dff_settings *
load_settings (const char *path)
{
	g_autoptr (GPtrArray) faults = g_ptr_array_new_with_free_func (g_free);
	g_autoptr (GError) error = NULL;
	struct dff_settings *settings = dff_settings_load (path, faults, &error);
	if (settings != NULL)
		return settings;
	for (guint i = 0; i < faults->len; i++)
		fprintf (stderr, "%s\n", (const char *)g_ptr_array_index (faults, i));
	if (faults->len == 0)
		fprintf (stderr, "%s\n", error->message);
	return NULL;
}

static int
run (struct event_base *base, struct serve *serve)
{
	struct dff_signal_handlers handlers = {
		.stop = handle_stop, .reload = handle_reload, .ctx = serve};
	dff_signal_loop_run (base, &handlers);
	dff_log (DFF_LOG_SERVE, DFF_LOG_INFO, "Stopped.");
	return dff_daemon_was_aborted (serve->daemon) ? DFF_EXIT_FAILED : DFF_EXIT_OK;
}

static int
serve_with (const char *path)
{
	DFF_AUTO (dff_settings) settings = load_settings (path);
	if (settings == NULL)
		return DFF_EXIT_REFUSED;
	dff_log_init (settings->log_level);
	struct event_base *base = dff_event_base_new ();
	g_autoptr (GError) error = NULL;
	struct serve serve = {
		.settings = settings,
		.settings_path = path,
		.daemon = dff_daemon_new (base, settings, &error),
	};
	int status = DFF_EXIT_FAILED;
	if (serve.daemon == NULL)
		fprintf (stderr, "dragonflyfold serve: %s\n", error->message);
	else
		status = run (base, &serve);
	if (serve.daemon != NULL)
		dff_daemon_free (serve.daemon);
	event_base_free (base);
	return status;
}

int
dff_command_serve (int argc, char **argv)
{
	static const struct option options[] = {
		{"settings", required_argument, NULL, 's'},
		{"help", no_argument, NULL, 'h'},
		{NULL, 0, NULL, 0},
	};
	const char *path = NULL;
	int option;
	while ((option = getopt_long (argc, argv, "s:h", options, NULL)) != -1) {
		switch (option) {
		case 's':
			path = optarg;
			break;
		case 'h':
			fputs (usage, stdout);
			return DFF_EXIT_OK;
		default:
			fputs (usage, stderr);
			return DFF_EXIT_USAGE;
		}
	}
	if (path == NULL || optind != argc) {
		fputs (usage, stderr);
		return DFF_EXIT_USAGE;
	}
	return serve_with (path);
}
