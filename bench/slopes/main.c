#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/slopes/slopes.h"
#include "common/log.h"

/* Measures the slopes of docs/CAPACITY.md: slopes --out DIRECTORY [--runs N] [CHAPTER...] */

struct chapter {
	const char *name;
	void (*measure) (struct slopes *slopes);
};

static const struct chapter chapters[] = {
	{"core", slopes_core},         {"pool", slopes_pool},
	{"recovery", slopes_recovery}, {"members", slopes_members},
	{"watching", slopes_watching}, {"connections", slopes_connections},
	{"store", slopes_store},
};

static bool
is_selected (const char *name, char **names, int n_names)
{
	for (int i = 0; i < n_names; i++) {
		if (strcmp (name, names[i]) == 0)
			return true;
	}
	return n_names == 0;
}

static void
measure (struct slopes *slopes, int runs, char **names, int n_names)
{
	for (int run = 0; run < runs; run++) {
		for (size_t i = 0; i < G_N_ELEMENTS (chapters); i++) {
			if (!is_selected (chapters[i].name, names, n_names))
				continue;
			double before = slopes_cpu_us ();
			chapters[i].measure (slopes);
			fprintf (stderr, "run %d: %s, %.1f s of processor time\n", run + 1,
				 chapters[i].name, (slopes_cpu_us () - before) / 1e6);
		}
		slopes_next_run (slopes);
	}
}

int
main (int argc, char **argv)
{
	static const struct option options[] = {
		{"out", required_argument, NULL, 'o'},
		{"runs", required_argument, NULL, 'r'},
		{NULL, 0, NULL, 0},
	};
	const char *out = ".";
	int runs = 2;
	int option;
	while ((option = getopt_long (argc, argv, "o:r:", options, NULL)) != -1) {
		if (option == 'o')
			out = optarg;
		else if (option == 'r')
			runs = atoi (optarg);
		else
			return EXIT_FAILURE;
	}
	if (runs < 1)
		return EXIT_FAILURE;
	dff_log_set_level (DFF_LOG_ERROR);
	struct slopes *slopes = slopes_new ();
	measure (slopes, runs, argv + optind, argc - optind);
	slopes_write (slopes, out);
	slopes_free (slopes);
	return EXIT_SUCCESS;
}
