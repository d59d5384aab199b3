/*
 * Measures a fleet of processes on loopback: takeover, configuration, rolling restart, faults, cost
 * (docs/FLEET.md). Started by bench/fleet.sh, which starts the processes and executes the lines of
 * standard output that begin with "!".
 */

#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/fleet/fleet.h"
#include "common/log.h"

#define EXIT_USAGE 2

struct phase {
	const char *name;
	void (*run) (struct fleet *fleet);
};

static const struct phase phases[] = {
	{"takeover", fleet_measure_takeover}, {"pool", fleet_measure_pool},
	{"restart", fleet_measure_restart},   {"faults", fleet_measure_faults},
	{"cost", fleet_measure_cost},
};

static const struct option long_options[] = {
	{"platform", required_argument, NULL, 'p'}, {"directory", required_argument, NULL, 'd'},
	{"pool", required_argument, NULL, 'c'},     {"run-log", required_argument, NULL, 'l'},
	{"process", required_argument, NULL, 'e'},  {"worker", required_argument, NULL, 'w'},
	{"phases", required_argument, NULL, 'P'},   {"seed", required_argument, NULL, 's'},
	{"quick", no_argument, NULL, 'q'},          {NULL, 0, NULL, 0},
};

static const char usage[] =
	"Usage: fleet --platform IP:PORT --directory DIR --pool FILE --run-log FILE\n"
	"             --process NAME=IP:PORT... --worker NAME=IP:PORT...\n"
	"             [--phases takeover,pool,restart,faults,cost] [--seed N] [--quick]\n";

/** Parsed command line. */
struct arguments {
	struct fleet_options options;
	const char *phases;
	struct fleet_process processes[FLEET_PROCESSES_MAX];
	int n_processes;
	struct fleet_worker workers[FLEET_WORKERS_MAX];
	int n_workers;
};

static bool
parse_instance (const char *text, struct dff_name *name, struct dff_name *address)
{
	const char *equals = strchr (text, '=');
	if (equals == NULL)
		return false;
	struct dff_str first = {text, (size_t)(equals - text)};
	return dff_name_parse (first, name) && dff_name_parse (dff_str_from (equals + 1), address);
}

static bool
parse_process (struct arguments *arguments)
{
	if (arguments->n_processes == FLEET_PROCESSES_MAX)
		return false;
	struct fleet_process *process = &arguments->processes[arguments->n_processes++];
	return parse_instance (optarg, &process->name, &process->address);
}

static bool
parse_worker (struct arguments *arguments)
{
	if (arguments->n_workers == FLEET_WORKERS_MAX)
		return false;
	struct fleet_worker *worker = &arguments->workers[arguments->n_workers++];
	return parse_instance (optarg, &worker->name, &worker->address);
}

static bool
parse_option (struct arguments *arguments, int option)
{
	switch (option) {
	case 'p':
		return dff_name_parse (dff_str_from (optarg), &arguments->options.platform);
	case 'd':
		arguments->options.directory = optarg;
		return true;
	case 'c':
		arguments->options.pool_path = optarg;
		return true;
	case 'l':
		arguments->options.run_log = optarg;
		return true;
	case 'e':
		return parse_process (arguments);
	case 'w':
		return parse_worker (arguments);
	case 'P':
		arguments->phases = optarg;
		return true;
	case 's':
		arguments->options.seed = (uint32_t)g_ascii_strtoull (optarg, NULL, 10);
		return true;
	case 'q':
		arguments->options.quick = true;
		return true;
	default:
		return false;
	}
}

static bool
parse_arguments (int argc, char **argv, struct arguments *arguments)
{
	int option;
	while ((option = getopt_long (argc, argv, "", long_options, NULL)) != -1) {
		if (!parse_option (arguments, option))
			return false;
	}
	return optind == argc && arguments->n_processes > 0 && arguments->n_workers > 0 &&
	       arguments->options.directory != NULL && arguments->options.pool_path != NULL &&
	       arguments->options.run_log != NULL &&
	       !dff_name_is_empty (&arguments->options.platform);
}

static bool
is_selected (const char *selection, const char *name)
{
	g_auto (GStrv) names = g_strsplit (selection, ",", -1);
	return g_strv_contains ((const char *const *)names, name);
}

int
main (int argc, char **argv)
{
	struct arguments arguments = {.phases = "takeover,pool,restart,faults,cost"};
	arguments.options.seed = 1;
	if (!parse_arguments (argc, argv, &arguments)) {
		fputs (usage, stderr);
		return EXIT_USAGE;
	}
	signal (SIGPIPE, SIG_IGN);
	dff_log_init (DFF_LOG_ERROR);
	struct fleet *fleet = fleet_new (&arguments.options);
	memcpy (fleet->processes, arguments.processes, sizeof (fleet->processes));
	memcpy (fleet->workers, arguments.workers, sizeof (fleet->workers));
	fleet->n_processes = arguments.n_processes;
	fleet->n_workers = arguments.n_workers;
	for (size_t i = 0; i < G_N_ELEMENTS (phases); i++) {
		if (is_selected (arguments.phases, phases[i].name))
			phases[i].run (fleet);
	}
	bool met = fleet_print_table (fleet);
	fleet_free (fleet);
	return met ? EXIT_SUCCESS : EXIT_FAILURE;
}
