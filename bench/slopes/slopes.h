#ifndef DFF_BENCH_SLOPES_H
#define DFF_BENCH_SLOPES_H

#include <event2/event.h>
#include <glib.h>
#include <stdint.h>

/*
 * Slopes: a quantity measured at several sizes of one dimension, several times over, with a line
 * fitted to it. docs/CAPACITY.md is worked out from them.
 */

struct slopes;

/** What is drawn against what. Static strings. */
struct slope_axes {
	/** Of the series; up to the first "_" the chapter, which is drawn as one file. */
	const char *name;
	const char *x;
	const char *y;
};

struct slopes *slopes_new (void);

void slopes_free (struct slopes *slopes);

/** Adds one measurement of the series @axes->name. */
void slopes_add (struct slopes *slopes, const struct slope_axes *axes, double x, double y);

/** From here on measurements are of the next run. */
void slopes_next_run (struct slopes *slopes);

/**
 * slopes_write:
 *
 * Writes points.csv, fits.csv and plots.gp, from which gnuplot draws them, into @directory, and the
 * fits as a table to the standard output.
 */
void slopes_write (const struct slopes *slopes, const char *directory);

/** Returns: bytes that malloc has handed out and that were not freed. */
int64_t slopes_heap_bytes (void);

/** Lets a loop run for @ms. */
void slopes_run_loop (struct event_base *base, int ms);

/** Returns: processor time of this process, in microseconds. */
double slopes_cpu_us (void);

/* One chapter each. */

void slopes_core (struct slopes *slopes);
void slopes_pool (struct slopes *slopes);
void slopes_members (struct slopes *slopes);
void slopes_watching (struct slopes *slopes);
void slopes_connections (struct slopes *slopes);
void slopes_store (struct slopes *slopes);
void slopes_recovery (struct slopes *slopes);

#endif
