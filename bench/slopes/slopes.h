#ifndef DFF_BENCH_SLOPES_H
#define DFF_BENCH_SLOPES_H

#include <event2/event.h>
#include <glib.h>
#include <stdint.h>

/*
 * Slopes: a quantity measured at several sizes of one dimension, in several runs, with a fitted
 * line. docs/CAPACITY.md is derived from them.
 */

struct slopes;

/** Name and axis labels of a series. Static strings. */
struct slope_axes {
	/** Name of the series. The part before the first "_" is the chapter, drawn as one file. */
	const char *name;
	const char *x;
	const char *y;
};

struct slopes *slopes_new (void);

void slopes_free (struct slopes *slopes);

/** Adds one measurement of the series @axes->name. */
void slopes_add (struct slopes *slopes, const struct slope_axes *axes, double x, double y);

/** Starts the next run: later measurements belong to it. */
void slopes_next_run (struct slopes *slopes);

/**
 * slopes_write:
 *
 * Writes points.csv, fits.csv and the gnuplot script plots.gp into @directory, and prints the fits
 * as a table.
 */
void slopes_write (const struct slopes *slopes, const char *directory);

/** Returns: bytes allocated by malloc and not freed. */
int64_t slopes_heap_bytes (void);

/** Runs a loop for @ms. */
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
