#ifndef DFF_TESTS_PLATFORM_MEMORY_FIXTURE_H
#define DFF_TESTS_PLATFORM_MEMORY_FIXTURE_H

#include "backing/memory.h"
#include "common/metrics.h"

/* The platform in memory and one caller of it, under a virtual clock. */

struct memory_fixture {
	struct dff_clock_virtual time;
	struct dff_memory *memory;
	struct dff_memory_handle *caller;
	struct dff_metrics *metrics;
};

void memory_fixture_init (struct memory_fixture *fixture);

/** Drops calls in progress; whoever made them must still be there. */
void memory_fixture_close (struct memory_fixture *fixture);

/** After memory_fixture_close(), and after whoever uses the metrics is gone. */
void memory_fixture_clear (struct memory_fixture *fixture);

/** Lets time pass in steps of 50 ms and calls @tick with @user in each. */
void memory_fixture_run (struct memory_fixture *fixture,
			 int64_t length_ms,
			 void (*tick) (void *user),
			 void *user);

#endif
