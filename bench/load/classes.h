#ifndef DFF_BENCH_LOAD_CLASSES_H
#define DFF_BENCH_LOAD_CLASSES_H

#include "bench/load/load.h"

/** Three classes that share a pool: urgent checks with a waiting caller, gangs that take seconds,
 * and bulk work of many single tasks. The values are those of a scoring service on fifty workers
 * with eight accelerators each; together the classes need three quarters of the accelerators. */
#define DFF_LOAD_URGENT 0
#define DFF_LOAD_GANGS 1
#define DFF_LOAD_BULK 2
#define DFF_LOAD_MIXED_CLASSES 3

/** Fills @classes with the three classes, at @times their usual arrival rate. */
void dff_load_mixed_classes (struct dff_load_class classes[DFF_LOAD_MIXED_CLASSES], double times);

/** Returns: a load of one minute of @classes on eight racks with six workers each. */
struct dff_load dff_load_mixed (const struct dff_load_class classes[DFF_LOAD_MIXED_CLASSES],
				uint32_t seed);

/** Fills @classes with three classes that compete for too little capacity: single bulk tasks all
 * over the racks, gangs of whole workers, and urgent gangs that arrive at twice their rate for six
 * seconds. */
void dff_load_contended_classes (struct dff_load_class classes[DFF_LOAD_MIXED_CLASSES],
				 double times);

/** Returns: a load of @classes on 44 racks with eight workers each. */
struct dff_load dff_load_contended (const struct dff_load_class classes[DFF_LOAD_MIXED_CLASSES],
				    uint32_t seed);

#endif
