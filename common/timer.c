#include "common/timer.h"

#include <glib.h>

#include "common/http_connection.h"

struct event_timer {
	struct dff_timer timer;
	struct event *event;
	dff_timer_func func;
	void *user;
};

struct dff_timer *
dff_timer_new (const struct dff_timers *timers, dff_timer_func func, void *user)
{
	return timers->create (timers->ctx, func, user);
}

void
dff_timer_start (struct dff_timer *timer, int32_t delay_ms)
{
	timer->start (timer, delay_ms);
}

void
dff_timer_stop (struct dff_timer *timer)
{
	timer->stop (timer);
}

void
dff_timer_free (struct dff_timer *timer)
{
	timer->free (timer);
}

static void
handle_event (evutil_socket_t fd, short events, void *ctx)
{
	(void)fd;
	(void)events;
	struct event_timer *own = ctx;
	own->func (own->user);
}

static void
event_timer_start (struct dff_timer *timer, int32_t delay_ms)
{
	struct timeval delay = dff_timeval_from_ms (delay_ms);
	evtimer_add (((struct event_timer *)(void *)timer)->event, &delay);
}

static void
event_timer_stop (struct dff_timer *timer)
{
	evtimer_del (((struct event_timer *)(void *)timer)->event);
}

static void
event_timer_free (struct dff_timer *timer)
{
	event_free (((struct event_timer *)(void *)timer)->event);
	g_free (timer);
}

static struct dff_timer *
event_timer_create (void *ctx, dff_timer_func func, void *user)
{
	struct event_timer *own = g_new0 (struct event_timer, 1);
	own->timer = (struct dff_timer){
		.start = event_timer_start, .stop = event_timer_stop, .free = event_timer_free};
	own->event = evtimer_new (ctx, handle_event, own);
	own->func = func;
	own->user = user;
	return &own->timer;
}

struct dff_timers
dff_timers_from_base (struct event_base *base)
{
	return (struct dff_timers){
		.clock = dff_clock_system (), .create = event_timer_create, .ctx = base};
}
