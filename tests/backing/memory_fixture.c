#include "memory_fixture.h"

#define STEP_MS 50

void
memory_fixture_init (struct memory_fixture *fixture)
{
	dff_clock_virtual_init (&fixture->time, 1000);
	struct dff_memory_options memory = {.clock = &fixture->time.clock, .seed = 1};
	fixture->memory = dff_memory_new (&memory);
	fixture->caller = dff_memory_open (fixture->memory);
	fixture->metrics = dff_metrics_new ();
}

void
memory_fixture_close (struct memory_fixture *fixture)
{
	dff_memory_close (fixture->caller);
}

void
memory_fixture_clear (struct memory_fixture *fixture)
{
	dff_memory_free (fixture->memory);
	dff_metrics_free (fixture->metrics);
}

void
memory_fixture_run (struct memory_fixture *fixture,
		    int64_t length_ms,
		    void (*tick) (void *user),
		    void *user)
{
	int64_t end_ms = fixture->time.now_ms + length_ms;
	for (; fixture->time.now_ms < end_ms; fixture->time.now_ms += STEP_MS) {
		dff_memory_tick (fixture->memory);
		tick (user);
	}
}
