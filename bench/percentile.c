#include "bench/percentile.h"

#include <math.h>

static int
compare_doubles (gconstpointer a, gconstpointer b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;
	return left < right ? -1 : left > right;
}

double
dff_percentile (GArray *values, double share)
{
	if (values->len == 0)
		return 0.0;
	g_array_sort (values, compare_doubles);
	guint rank = (guint)ceil (share * values->len);
	return g_array_index (values, double, MAX (rank, 1) - 1);
}
