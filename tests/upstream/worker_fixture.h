#ifndef DFF_TESTS_UPSTREAM_WORKER_FIXTURE_H
#define DFF_TESTS_UPSTREAM_WORKER_FIXTURE_H

#include "backing/memory.h"
#include "standin/worker.h"

/* An in-memory stand-in worker with a virtual clock that starts at 0. */

struct fixture {
	struct dff_clock_virtual clock;
	struct dff_memory *memory;
	struct dff_memory_handle *caller;
	struct dff_standin_worker *worker;
	enum dff_worker_outcome outcome;
};

static inline void
fixture_init (struct fixture *fixture, bool check_epochs)
{
	dff_clock_virtual_init (&fixture->clock, 0);
	struct dff_memory_options options = {.clock = &fixture->clock.clock, .seed = 1};
	fixture->memory = dff_memory_new (&options);
	fixture->caller = dff_memory_open (fixture->memory);
	struct dff_standin_worker_options worker = {
		.clock = &fixture->clock.clock,
		.store = &fixture->caller->objects,
		.capacity = {.slots = 8, .cores = 32, .memory_gb = 64, .accelerators = 8},
		.check_epochs = check_epochs,
		.incarnation = 1,
	};
	fixture->worker = dff_standin_worker_new (&worker);
}

static inline void
fixture_clear (struct fixture *fixture)
{
	dff_memory_close (fixture->caller);
	dff_standin_worker_free (fixture->worker);
	dff_memory_free (fixture->memory);
}

#endif
