#ifndef DFF_COMMON_DESCRIPTORS_H
#define DFF_COMMON_DESCRIPTORS_H

#include <stdint.h>

/** Returns: the number of descriptors that this process may open. */
int32_t dff_max_descriptors (void);

#endif
