#ifndef DFF_BENCH_LOAD_CLASSES_H
#define DFF_BENCH_LOAD_CLASSES_H

#include "bench/load/load.h"

/** Three classes that share a pool: urgent checks that somebody waits for, gangs that take seconds,
 * and bulk work of many single tasks. The figures are those of a scoring service for fifty workers
 * of eight accelerators: together they need three quarters of them. */
#define DFF_LOAD_URGENT 0
#define DFF_LOAD_GANGS 1
#define DFF_LOAD_BULK 2
#define DFF_LOAD_MIXED_CLASSES 3

/** Fills @classes with them, each as often as @times says of its usual rate. */
void dff_load_mixed_classes (struct dff_load_class classes[DFF_LOAD_MIXED_CLASSES], double times);

/** Returns: a pool of eight racks with six workers, and a minute of @classes. */
struct dff_load dff_load_mixed (const struct dff_load_class classes[DFF_LOAD_MIXED_CLASSES],
				uint32_t seed);

#endif
