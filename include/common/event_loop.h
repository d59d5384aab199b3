#ifndef DFF_COMMON_EVENT_LOOP_H
#define DFF_COMMON_EVENT_LOOP_H

#include <event2/event.h>

/**
 * dff_event_base_new:
 *
 * Returns: (transfer full): an event loop, to be freed with event_base_free(). None of the file
 * descriptors that it watches may be a duplicate (dup()) of another one.
 */
struct event_base *dff_event_base_new (void);

#endif
