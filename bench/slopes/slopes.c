#include "bench/slopes/slopes.h"

#include <malloc.h>
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define PLOT_COLUMNS 4
#define PLOT_WIDTH 320
#define PLOT_HEIGHT 240

struct point {
	int run;
	double x;
	double y;
};

struct series {
	struct slope_axes axes;
	/** Elements: struct point. */
	GArray *points;
};

struct slopes {
	/** Elements: struct series *. */
	GPtrArray *series;
	int run;
};

/** y = intercept + slope * x over the medians of the runs. */
struct fit {
	guint n;
	double intercept;
	double slope;
	/** Root mean square of the distances from the line. */
	double residual;
	/** Largest value measured. */
	double largest;
	/** Largest difference between runs at one x, as a share of the largest value. */
	double spread;
};

static void
series_free (gpointer data)
{
	struct series *series = data;
	g_array_unref (series->points);
	g_free (series);
}

struct slopes *
slopes_new (void)
{
	struct slopes *slopes = g_new0 (struct slopes, 1);
	slopes->series = g_ptr_array_new_with_free_func (series_free);
	return slopes;
}

void
slopes_free (struct slopes *slopes)
{
	g_ptr_array_unref (slopes->series);
	g_free (slopes);
}

static struct series *
find_series (struct slopes *slopes, const struct slope_axes *axes)
{
	for (guint i = 0; i < slopes->series->len; i++) {
		struct series *series = g_ptr_array_index (slopes->series, i);
		if (strcmp (series->axes.name, axes->name) == 0)
			return series;
	}
	struct series *series = g_new0 (struct series, 1);
	series->axes = *axes;
	series->points = g_array_new (FALSE, FALSE, sizeof (struct point));
	g_ptr_array_add (slopes->series, series);
	return series;
}

void
slopes_add (struct slopes *slopes, const struct slope_axes *axes, double x, double y)
{
	struct series *series = find_series (slopes, axes);
	struct point point = {slopes->run, x, y};
	g_array_append_val (series->points, point);
}

void
slopes_next_run (struct slopes *slopes)
{
	slopes->run++;
}

static int
compare_doubles (const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;
	return (left > right) - (left < right);
}

/** Returns: the values at one x, ascending. */
static GArray *
values_at (const struct series *series, double x)
{
	GArray *values = g_array_new (FALSE, FALSE, sizeof (double));
	for (guint i = 0; i < series->points->len; i++) {
		const struct point *point = &g_array_index (series->points, struct point, i);
		if (point->x == x)
			g_array_append_val (values, point->y);
	}
	g_array_sort (values, compare_doubles);
	return values;
}

/** Returns: the median of the runs at each x of the first run. Elements: struct point. */
static GArray *
medians (const struct series *series, double *spread)
{
	GArray *middle = g_array_new (FALSE, FALSE, sizeof (struct point));
	int first = g_array_index (series->points, struct point, 0).run;
	*spread = 0;
	for (guint i = 0; i < series->points->len; i++) {
		struct point point = g_array_index (series->points, struct point, i);
		if (point.run != first)
			continue;
		g_autoptr (GArray) values = values_at (series, point.x);
		point.y = g_array_index (values, double, values->len / 2);
		double most = g_array_index (values, double, values->len - 1);
		*spread = MAX (*spread, most - g_array_index (values, double, 0));
		g_array_append_val (middle, point);
	}
	return middle;
}

static struct fit
fit_series (const struct series *series)
{
	struct fit fit = {0};
	g_autoptr (GArray) points = medians (series, &fit.spread);
	double sum_x = 0, sum_y = 0, sum_xx = 0, sum_xy = 0;
	fit.n = points->len;
	for (guint i = 0; i < fit.n; i++) {
		const struct point *point = &g_array_index (points, struct point, i);
		sum_x += point->x;
		sum_y += point->y;
		sum_xx += point->x * point->x;
		sum_xy += point->x * point->y;
		fit.largest = MAX (fit.largest, point->y);
	}
	double spread_x = fit.n * sum_xx - sum_x * sum_x;
	fit.slope = spread_x == 0 ? 0 : (fit.n * sum_xy - sum_x * sum_y) / spread_x;
	if (fit.n == 0)
		return fit;
	fit.intercept = (sum_y - fit.slope * sum_x) / fit.n;
	double squares = 0;
	for (guint i = 0; i < fit.n; i++) {
		const struct point *point = &g_array_index (points, struct point, i);
		double off = point->y - fit.intercept - fit.slope * point->x;
		squares += off * off;
	}
	fit.residual = sqrt (squares / fit.n);
	fit.spread = fit.largest == 0 ? 0 : fit.spread / fit.largest;
	return fit;
}

/** Mode of the output directory. */
#define DIRECTORY_MODE 0755

static FILE *
open_file (const char *directory, const char *name)
{
	g_autofree char *path = g_build_filename (directory, name, NULL);
	FILE *file = NULL;
	if (g_mkdir_with_parents (directory, DIRECTORY_MODE) == 0)
		file = fopen (path, "we");
	if (file == NULL) {
		fprintf (stderr, "slopes: %s: cannot be written\n", path);
		exit (EXIT_FAILURE);
	}
	return file;
}

static void
write_points (const struct series *series, FILE *out)
{
	for (guint i = 0; i < series->points->len; i++) {
		const struct point *point = &g_array_index (series->points, struct point, i);
		fprintf (out, "%s,%d,%g,%.6g\n", series->axes.name, point->run + 1, point->x,
			 point->y);
	}
}

static void
write_fit (const struct series *series, const struct fit *fit, FILE *out)
{
	fprintf (out, "%s,%s,%s,%u,%.6g,%.6g,%.4g,%.6g,%.3f\n", series->axes.name, series->axes.x,
		 series->axes.y, fit->n, fit->intercept, fit->slope, fit->residual, fit->largest,
		 fit->spread);
}

/** Returns: length of the chapter's name, with which the name of a series begins. */
static size_t
chapter_length (const struct series *series)
{
	return strcspn (series->axes.name, "_");
}

static bool
same_chapter (const struct series *a, const struct series *b)
{
	size_t length = chapter_length (a);
	return length == chapter_length (b) && strncmp (a->axes.name, b->axes.name, length) == 0;
}

/** Begins the plot of a chapter, whose first series is @first. */
static void
begin_chapter (const struct slopes *slopes, guint first, FILE *out)
{
	const struct series *series = g_ptr_array_index (slopes->series, first);
	guint n = 0;
	while (first + n < slopes->series->len &&
	       same_chapter (series, g_ptr_array_index (slopes->series, first + n)))
		n++;
	guint columns = CLAMP (n, 1, PLOT_COLUMNS);
	guint rows = (n + columns - 1) / columns;
	fprintf (out,
		 "unset multiplot\nset terminal svg size %u,%u font ',9'\nset output '%.*s.svg'\n"
		 "set multiplot layout %u,%u\n",
		 columns * PLOT_WIDTH, rows * PLOT_HEIGHT, (int)chapter_length (series),
		 series->axes.name, rows, columns);
}

static void
write_plot (const struct series *series, const struct fit *fit, FILE *out)
{
	fprintf (out, "set title '%s' noenhanced\nset xlabel \"%s\"\nset ylabel \"%s\"\n",
		 series->axes.name, series->axes.x, series->axes.y);
	fprintf (out,
		 "plot '< grep ^%s, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, "
		 "%g + %g * x with lines notitle\n",
		 series->axes.name, fit->intercept, fit->slope);
}

void
slopes_write (const struct slopes *slopes, const char *directory)
{
	FILE *points = open_file (directory, "points.csv");
	FILE *fits = open_file (directory, "fits.csv");
	FILE *plots = open_file (directory, "plots.gp");
	fprintf (points, "series,run,x,y\n");
	fprintf (fits, "series,x,y,points,intercept,slope,residual,largest,spread\n");
	fprintf (plots, "set datafile separator ','\nset border 3\nset tics nomirror\nset samples "
			"2\nset yrange [0:*]\n");
	printf ("%-30s %12s %12s %10s %12s %7s\n", "series", "intercept", "slope", "residual",
		"largest", "spread");
	for (guint i = 0; i < slopes->series->len; i++) {
		const struct series *series = g_ptr_array_index (slopes->series, i);
		struct fit fit = fit_series (series);
		if (i == 0 || !same_chapter (series, g_ptr_array_index (slopes->series, i - 1)))
			begin_chapter (slopes, i, plots);
		write_points (series, points);
		write_fit (series, &fit, fits);
		write_plot (series, &fit, plots);
		printf ("%-30s %12.4g %12.4g %10.3g %12.5g %6.1f%%\n", series->axes.name,
			fit.intercept, fit.slope, fit.residual, fit.largest, 100 * fit.spread);
	}
	fclose (points);
	fclose (fits);
	fclose (plots);
}

int64_t
slopes_heap_bytes (void)
{
	struct mallinfo2 info = mallinfo2 ();
	return (int64_t)(info.uordblks + info.hblkhd);
}

void
slopes_run_loop (struct event_base *base, int ms)
{
	struct timeval wait = {.tv_sec = ms / 1000, .tv_usec = (suseconds_t)(ms % 1000) * 1000};
	event_base_loopexit (base, &wait);
	event_base_dispatch (base);
}

double
slopes_cpu_us (void)
{
	struct timespec now;
	clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}
