#ifndef DFF_BENCH_PERCENTILE_H
#define DFF_BENCH_PERCENTILE_H

#include <glib.h>

/**
 * dff_percentile:
 * @values: elements: double; sorted by this call
 * @share: 0 to 1
 *
 * Returns: the value of nearest rank; 0: no values.
 */
double dff_percentile (GArray *values, double share);

#endif
