#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/load/classes.h"
#include "holder/policy.h"

/* Simulates loads with the holder's policy and with each of its mechanisms switched off, and prints
 * the shares of jobs that end in time: an ablation without a network. */

/** Time that gang members wait for each other, and that a gang waits for a whole rack, as a
 * platform sets them, ms. */
#define GANG_WAIT_MS 3000
#define RACK_WAIT_MS 15000

struct variant {
	const char *name;
	void (*change) (struct dff_core_options *options);
};

static void
change_nothing (G_GNUC_UNUSED struct dff_core_options *options)
{
}

static void
without_headroom (struct dff_core_options *options)
{
	options->headroom_decay_ms = 0;
}

static void
without_headroom_wait (struct dff_core_options *options)
{
	options->headroom_wait_ratio = 0.0;
}

static void
without_rack_reservations (struct dff_core_options *options)
{
	options->max_rack_reservations = 0;
}

static void
without_evict_bound (struct dff_core_options *options)
{
	options->evict_work_ratio = 0.0;
}

static void
without_shape_order (struct dff_core_options *options)
{
	options->shape_order = false;
}

static void
without_shape_victims (struct dff_core_options *options)
{
	options->shape_victims = false;
}

static void
without_first_checkpoint (struct dff_core_options *options)
{
	options->first_checkpoint_ms = 0;
}

static void
without_evict_delay (struct dff_core_options *options)
{
	options->evict_delay_ms = 0;
}

static void
without_shapes (struct dff_core_options *options)
{
	without_shape_order (options);
	without_shape_victims (options);
	without_first_checkpoint (options);
	without_evict_delay (options);
}

static void
with_shape_gang_order (struct dff_core_options *options)
{
	options->shape_gang_order = true;
}

static const struct variant variants[] = {
	{"as it is", change_nothing},
	{"no headroom", without_headroom},
	{"bulk work waits for ever", without_headroom_wait},
	{"any work thrown away", without_evict_bound},
	{"no racks kept for gangs", without_rack_reservations},
	{"no order by shapes", without_shape_order},
	{"no victims by shapes", without_shape_victims},
	{"bulk work not held", without_first_checkpoint},
	{"work stopped at once", without_evict_delay},
	{"none of these four", without_shapes},
	{"urgent order by shapes", with_shape_gang_order},
};

struct sums {
	double in_time[DFF_LOAD_MIXED_CLASSES];
	double at_once;
	double value;
	double wasted;
	double stopped;
};

/** One customer's value of a job in time and late, by class, and price of a wasted core-second. */
static const double worth[DFF_LOAD_MIXED_CLASSES] = {4.0, 3.0, 1.0};
static const double late_worth[DFF_LOAD_MIXED_CLASSES] = {0.8, 0.9, 0.3};
#define WASTED_PRICE 0.002

/* Returns: the value earned, less the price of wasted work, over the value of all jobs. */
static double
value_of (const struct dff_load_figures *figures)
{
	double earned = -WASTED_PRICE * figures->wasted_core_s;
	double owed = 0.0;
	for (size_t i = 0; i < DFF_LOAD_MIXED_CLASSES; i++) {
		const struct dff_load_outcome *at = &figures->classes[i];
		earned += worth[i] * at->n_in_time + late_worth[i] * at->n_late;
		owed += worth[i] * at->n_jobs;
	}
	return earned / owed;
}

static void
add (struct sums *sums, const struct dff_load_figures *figures)
{
	for (size_t i = 0; i < DFF_LOAD_MIXED_CLASSES; i++) {
		sums->in_time[i] += dff_load_in_time (figures, i);
		sums->stopped += figures->classes[i].n_stopped;
	}
	const struct dff_load_outcome *urgent = &figures->classes[DFF_LOAD_URGENT];
	sums->at_once += (double)urgent->n_at_once / MAX (urgent->n_jobs, 1);
	sums->value += value_of (figures);
	sums->wasted += figures->wasted_core_s / MAX (figures->done_core_s, 1.0);
}

static void
play_variant (const struct variant *variant, bool contended, double times, int n_seeds)
{
	struct sums sums = {0};
	for (int seed = 1; seed <= n_seeds; seed++) {
		struct dff_load_class classes[DFF_LOAD_MIXED_CLASSES];
		struct dff_load load;
		if (contended) {
			dff_load_contended_classes (classes, times);
			load = dff_load_contended (classes, (uint32_t)seed);
		} else {
			dff_load_mixed_classes (classes, times);
			load = dff_load_mixed (classes, (uint32_t)seed);
		}
		struct dff_core_options options;
		dff_policy_core_options (&options, GANG_WAIT_MS);
		options.rack_wait_ms = RACK_WAIT_MS;
		variant->change (&options);
		struct dff_load_figures figures;
		dff_load_play (&load, &options, &figures);
		add (&sums, &figures);
	}
	printf ("%-26s %7.3f %7.3f %7.3f %8.3f %7.3f %8.0f %7.3f\n", variant->name,
		sums.in_time[DFF_LOAD_URGENT] / n_seeds, sums.in_time[DFF_LOAD_GANGS] / n_seeds,
		sums.in_time[DFF_LOAD_BULK] / n_seeds, sums.at_once / n_seeds,
		sums.wasted / n_seeds, sums.stopped / n_seeds, sums.value / n_seeds);
}

static void
print_usage (FILE *stream)
{
	fprintf (stream, "Usage: load [--contended] [--times RATE] [--seeds N] [--only TEXT]\n"
			 "Plays a minute of three classes on the decision core, at RATE times\n"
			 "their usual rate (1.2), with N seeds (20). With --contended, three\n"
			 "classes that compete for too little capacity. With --only, only the\n"
			 "variants whose names contain TEXT.\n");
}

int
main (int argc, char **argv)
{
	static const struct option long_options[] = {
		{"contended", no_argument, NULL, 'c'},   {"times", required_argument, NULL, 't'},
		{"seeds", required_argument, NULL, 's'}, {"only", required_argument, NULL, 'o'},
		{"help", no_argument, NULL, 'h'},        {0}};
	double times = 1.2;
	bool contended = false;
	const char *only = "";
	int n_seeds = 20;
	int option;
	while ((option = getopt_long (argc, argv, "h", long_options, NULL)) != -1) {
		switch (option) {
		case 't':
			times = g_ascii_strtod (optarg, NULL);
			break;
		case 'c':
			contended = true;
			break;
		case 'o':
			only = optarg;
			break;
		case 's':
			n_seeds = MAX ((int)g_ascii_strtoll (optarg, NULL, 10), 1);
			break;
		case 'h':
			print_usage (stdout);
			return EXIT_SUCCESS;
		default:
			print_usage (stderr);
			return EXIT_FAILURE;
		}
	}
	printf ("in time:                    urgent   gangs    bulk  at once  thrown  stopped   "
		"value\n");
	for (size_t i = 0; i < G_N_ELEMENTS (variants); i++) {
		if (strstr (variants[i].name, only) == NULL)
			continue;
		play_variant (&variants[i], contended, times, n_seeds);
	}
	return EXIT_SUCCESS;
}
