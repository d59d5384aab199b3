#ifndef DFF_COMMON_MACHINE_H
#define DFF_COMMON_MACHINE_H

#include <stddef.h>
#include <stdint.h>

/* What this process may take of its machine. */

/** Returns: the number of descriptors that this process may open. */
int32_t dff_machine_max_descriptors (void);

/** Returns: the memory of the machine, or RLIMIT_RSS if that is less, bytes. */
size_t dff_machine_memory_bytes (void);

#endif
