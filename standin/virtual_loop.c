#include "standin/virtual_loop.h"

struct dff_virtual_loop {
	struct dff_clock_virtual clock;
	struct dff_timers timers;
	/** Elements: struct entry, ordered by due time, then by @arrival. */
	GSequence *entries;
	uint64_t arrivals;
};

struct entry {
	int64_t due_ms;
	uint64_t arrival;
	dff_timer_func func;
	void *user;
	/** (nullable): the timer of the entry; NULL: a scheduled callback. */
	struct virtual_timer *timer;
};

struct virtual_timer {
	struct dff_timer timer;
	struct dff_virtual_loop *loop;
	dff_timer_func func;
	void *user;
	/** (nullable): the timer's entry; NULL: the timer is stopped. */
	GSequenceIter *position;
};

static int
compare_entries (gconstpointer a, gconstpointer b, gpointer user)
{
	(void)user;
	const struct entry *one = a;
	const struct entry *other = b;
	if (one->due_ms != other->due_ms)
		return one->due_ms < other->due_ms ? -1 : 1;
	return one->arrival < other->arrival ? -1 : one->arrival > other->arrival;
}

static GSequenceIter *
insert (struct dff_virtual_loop *loop,
	int64_t delay_ms,
	dff_timer_func func,
	void *user,
	struct virtual_timer *timer)
{
	struct entry *entry = g_new0 (struct entry, 1);
	entry->due_ms = loop->clock.now_ms + delay_ms;
	entry->arrival = loop->arrivals++;
	entry->func = func;
	entry->user = user;
	entry->timer = timer;
	return g_sequence_insert_sorted (loop->entries, entry, compare_entries, NULL);
}

static void
virtual_timer_stop (struct dff_timer *timer)
{
	struct virtual_timer *self = (struct virtual_timer *)(void *)timer;
	if (self->position != NULL)
		g_sequence_remove (self->position);
	self->position = NULL;
}

static void
virtual_timer_start (struct dff_timer *timer, int32_t delay_ms)
{
	struct virtual_timer *self = (struct virtual_timer *)(void *)timer;
	virtual_timer_stop (timer);
	self->position = insert (self->loop, delay_ms, self->func, self->user, self);
}

static void
virtual_timer_free (struct dff_timer *timer)
{
	virtual_timer_stop (timer);
	g_free (timer);
}

static struct dff_timer *
virtual_timer_create (void *ctx, dff_timer_func func, void *user)
{
	struct virtual_timer *self = g_new0 (struct virtual_timer, 1);
	self->timer = (struct dff_timer){.start = virtual_timer_start,
					 .stop = virtual_timer_stop,
					 .free = virtual_timer_free};
	self->loop = ctx;
	self->func = func;
	self->user = user;
	return &self->timer;
}

struct dff_virtual_loop *
dff_virtual_loop_new (int64_t now_ms)
{
	struct dff_virtual_loop *loop = g_new0 (struct dff_virtual_loop, 1);
	dff_clock_virtual_init (&loop->clock, now_ms);
	loop->entries = g_sequence_new (g_free);
	loop->timers = (struct dff_timers){
		.clock = &loop->clock.clock, .create = virtual_timer_create, .ctx = loop};
	return loop;
}

void
dff_virtual_loop_free (struct dff_virtual_loop *loop)
{
	g_sequence_free (loop->entries);
	g_free (loop);
}

const struct dff_clock *
dff_virtual_loop_clock (const struct dff_virtual_loop *loop)
{
	return &loop->clock.clock;
}

const struct dff_timers *
dff_virtual_loop_timers (const struct dff_virtual_loop *loop)
{
	return &loop->timers;
}

int64_t
dff_virtual_loop_now_ms (const struct dff_virtual_loop *loop)
{
	return loop->clock.now_ms;
}

void
dff_virtual_loop_schedule (struct dff_virtual_loop *loop,
			   int64_t delay_ms,
			   dff_timer_func func,
			   void *user)
{
	insert (loop, delay_ms, func, user, NULL);
}

void
dff_virtual_loop_run (struct dff_virtual_loop *loop, int64_t ms)
{
	int64_t until_ms = loop->clock.now_ms + ms;
	for (;;) {
		GSequenceIter *first = g_sequence_get_begin_iter (loop->entries);
		if (g_sequence_iter_is_end (first))
			break;
		struct entry entry = *(struct entry *)g_sequence_get (first);
		if (entry.due_ms > until_ms)
			break;
		g_sequence_remove (first);
		if (entry.timer != NULL)
			entry.timer->position = NULL;
		loop->clock.now_ms = MAX (loop->clock.now_ms, entry.due_ms);
		entry.func (entry.user);
	}
	loop->clock.now_ms = until_ms;
}
