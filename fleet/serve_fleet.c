#include <event2/event.h>
#include <getopt.h>
#include <glib.h>
#include <stdio.h>

#include "client/command.h"
#include "common/event_loop.h"
#include "common/log.h"
#include "common/signal_loop.h"
#include "fleet/fleet.h"

struct serve {
	struct dff_fleet *fleet;
	struct dff_fleet_settings *settings;
	const char *settings_path;
};

static const char usage[] =
	"Usage: dragonflyfold fleet --settings FILE\n"
	"\n"
	"Runs one process of the system on the users' platform.\n"
	"\n"
	"  -s, --settings FILE  settings of this process, JSON\n"
	"  -c, --check          only checks the settings\n"
	"  -r, --reference      prints the reference of the settings\n"
	"  -h, --help           prints this text\n"
	"\n"
	"SIGTERM and SIGINT stop gracefully, a second one at once. SIGHUP reads the\n"
	"settings again; only log_level changes while the process runs.\n";

static void
handle_stop (void *ctx, int signal_number)
{
	struct serve *serve = ctx;
	dff_log (DFF_LOG_SERVE, DFF_LOG_INFO, "Stopping. signal=%d", signal_number);
	dff_fleet_stop (serve->fleet);
}

static void
handle_reload (void *ctx)
{
	struct serve *serve = ctx;
	g_autoptr (GError) error = NULL;
	g_autofree struct dff_fleet_settings *reloaded =
		dff_fleet_settings_load (serve->settings_path, NULL, &error);
	if (reloaded == NULL) {
		dff_log (DFF_LOG_SERVE, DFF_LOG_ERROR,
			 "Settings not reloaded: the file is not valid. error=\"%s\"",
			 error->message);
		return;
	}
	g_autoptr (GPtrArray) fixed = g_ptr_array_new_with_free_func (g_free);
	dff_fleet_settings_reload (serve->settings, reloaded, fixed);
	dff_log_set_level (serve->settings->log_level);
	for (guint i = 0; i < fixed->len; i++) {
		dff_log (DFF_LOG_SERVE, DFF_LOG_WARNING,
			 "Changed setting takes effect at the next start only. key=%s",
			 (const char *)g_ptr_array_index (fixed, i));
	}
	dff_log (DFF_LOG_SERVE, DFF_LOG_INFO, "Settings reloaded.");
}

static void
run (struct event_base *base, struct serve *serve)
{
	struct dff_signal_handlers handlers = {
		.stop = handle_stop, .reload = handle_reload, .ctx = serve};
	dff_signal_loop_run (base, &handlers);
}

static struct dff_fleet_settings *
load_settings (const char *path)
{
	g_autoptr (GPtrArray) faults = g_ptr_array_new_with_free_func (g_free);
	struct dff_fleet_settings *settings = dff_fleet_settings_load (path, faults, NULL);
	for (guint i = 0; i < faults->len; i++)
		fprintf (stderr, "%s\n", (const char *)g_ptr_array_index (faults, i));
	return settings;
}

static int
serve_with (const char *path, bool check_only)
{
	g_autofree struct dff_fleet_settings *settings = load_settings (path);
	if (settings == NULL)
		return DFF_EXIT_REFUSED;
	if (check_only)
		return DFF_EXIT_OK;
	dff_log_init_stdout (settings->log_level);
	struct event_base *base = dff_event_base_new ();
	g_autoptr (GError) error = NULL;
	struct serve serve = {
		.settings = settings,
		.settings_path = path,
		.fleet = dff_fleet_new (base, settings, &error),
	};
	if (serve.fleet == NULL) {
		fprintf (stderr, "dragonflyfold fleet: %s\n", error->message);
		event_base_free (base);
		return DFF_EXIT_FAILED;
	}
	dff_log (DFF_LOG_SERVE, DFF_LOG_INFO,
		 "Started. instance=%s data_centre=%s front=%s store=%s", settings->instance.data,
		 settings->data_centre.data, settings->front_address.data,
		 settings->store_address.data);
	run (base, &serve);
	dff_fleet_free (serve.fleet);
	event_base_free (base);
	return DFF_EXIT_OK;
}

static int
print_reference (void)
{
	g_autoptr (GString) text = g_string_new (NULL);
	dff_fleet_settings_describe (text);
	fputs (text->str, stdout);
	return DFF_EXIT_OK;
}

int
dff_command_fleet (int argc, char **argv)
{
	static const struct option options[] = {
		{"settings", required_argument, NULL, 's'},
		{"check", no_argument, NULL, 'c'},
		{"reference", no_argument, NULL, 'r'},
		{"help", no_argument, NULL, 'h'},
		{NULL, 0, NULL, 0},
	};
	const char *path = NULL;
	bool check_only = false;
	int option;
	while ((option = getopt_long (argc, argv, "s:crh", options, NULL)) != -1) {
		switch (option) {
		case 's':
			path = optarg;
			break;
		case 'c':
			check_only = true;
			break;
		case 'r':
			return print_reference ();
		case 'h':
			fputs (usage, stdout);
			return DFF_EXIT_OK;
		default:
			return DFF_EXIT_USAGE;
		}
	}
	if (path == NULL || optind != argc)
		return dff_usage_fail ("fleet", "expected --settings FILE");
	return serve_with (path, check_only);
}
