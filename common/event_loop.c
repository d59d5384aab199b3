#include "common/event_loop.h"

#include <glib.h>

/* evhttp disables reading while a request is answered and enables it afterwards. Each change would
 * cost a call of epoll_ctl(), four for each forwarded request; the change list drops changes that
 * cancel out within one iteration of the loop. */
struct event_base *
dff_event_base_new (void)
{
	struct event_config *config = event_config_new ();
	event_config_set_flag (config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
	struct event_base *base = event_base_new_with_config (config);
	event_config_free (config);
	g_assert (base != NULL);
	return base;
}
