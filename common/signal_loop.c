#include "common/signal_loop.h"

#include <glib.h>
#include <signal.h>

static void
handle_signal (evutil_socket_t signal_number, short events, void *ctx)
{
	(void)events;
	const struct dff_signal_handlers *handlers = ctx;
	if (signal_number == SIGHUP)
		handlers->reload (handlers->ctx);
	else
		handlers->stop (handlers->ctx, (int)signal_number);
}

void
dff_signal_loop_run (struct event_base *base, const struct dff_signal_handlers *handlers)
{
	static const int numbers[] = {SIGTERM, SIGINT, SIGHUP};
	struct event *signals[G_N_ELEMENTS (numbers)];
	signal (SIGPIPE, SIG_IGN);
	for (size_t i = 0; i < G_N_ELEMENTS (numbers); i++) {
		signals[i] = evsignal_new (base, numbers[i], handle_signal, (void *)handlers);
		event_add (signals[i], NULL);
	}
	event_base_dispatch (base);
	for (size_t i = 0; i < G_N_ELEMENTS (numbers); i++)
		event_free (signals[i]);
}
