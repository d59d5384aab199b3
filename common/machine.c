#include "common/descriptors.h"

#include <glib.h>
#include <sys/resource.h>

/** Returned if the number is not limited, or cannot be read. */
#define UNLIMITED 65536

int32_t
dff_max_descriptors (void)
{
	struct rlimit limit;
	if (getrlimit (RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
		return UNLIMITED;
	return (int32_t)MIN (limit.rlim_cur, UNLIMITED);
}
