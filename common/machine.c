#include "common/machine.h"

#include <glib.h>
#include <sys/resource.h>
#include <sys/sysinfo.h>

/** Returned if the number of descriptors is not limited, or cannot be read. */
#define DESCRIPTORS_UNLIMITED 65536
/** Bounds of the memory that is reported, bytes: what a process needs at least, and what it needs
 * at most on a machine that it shares with others. */
#define MEMORY_MIN ((uint64_t)64 << 20)
#define MEMORY_MAX ((uint64_t)2 << 30)

int32_t
dff_machine_max_descriptors (void)
{
	struct rlimit limit;
	if (getrlimit (RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
		return DESCRIPTORS_UNLIMITED;
	return (int32_t)MIN (limit.rlim_cur, DESCRIPTORS_UNLIMITED);
}

size_t
dff_machine_memory_bytes (void)
{
	struct sysinfo info;
	struct rlimit limit;
	uint64_t bytes = MEMORY_MIN;
	if (sysinfo (&info) == 0)
		bytes = (uint64_t)info.totalram * info.mem_unit;
	if (getrlimit (RLIMIT_RSS, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY)
		bytes = MIN (bytes, (uint64_t)limit.rlim_cur);
	return (size_t)CLAMP (bytes, MEMORY_MIN, MEMORY_MAX);
}
