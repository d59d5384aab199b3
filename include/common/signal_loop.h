#ifndef DFF_COMMON_SIGNAL_LOOP_H
#define DFF_COMMON_SIGNAL_LOOP_H

#include <event2/event.h>

/** Signal handlers of a process. */
struct dff_signal_handlers {
	/** SIGTERM and SIGINT. */
	void (*stop) (void *ctx, int signal_number);
	/** SIGHUP. */
	void (*reload) (void *ctx);
	void *ctx;
};

/** Runs the event loop until it is exited, with @handlers installed; SIGPIPE is ignored. */
void dff_signal_loop_run (struct event_base *base, const struct dff_signal_handlers *handlers);

#endif
