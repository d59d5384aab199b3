#ifndef DFF_COMMON_EVENT_LOOP_H
#define DFF_COMMON_EVENT_LOOP_H

#include <event2/event.h>

/**
 * dff_event_base_new:
 *
 * Returns: (transfer full): the loop of a process, to be freed with event_base_free(). No
 * descriptor that it watches may be a duplicate of another.
 */
struct event_base *dff_event_base_new (void);

#endif
