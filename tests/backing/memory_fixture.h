#ifndef DFF_TESTS_PLATFORM_MEMORY_FIXTURE_H
#define DFF_TESTS_PLATFORM_MEMORY_FIXTURE_H

#include "backing/memory.h"
#include "common/metrics.h"

/* The in-memory platform with one handle, under a virtual clock. */

struct memory_fixture {
	struct dff_clock_virtual time;
	struct dff_memory *memory;
	struct dff_memory_handle *caller;
	struct dff_metrics *metrics;
};

void memory_fixture_init (struct memory_fixture *fixture);

/** Drops pending calls; the user data of their callbacks must still be valid. */
void memory_fixture_close (struct memory_fixture *fixture);

/** To be called after memory_fixture_close(), and after the users of the metrics are freed. */
void memory_fixture_clear (struct memory_fixture *fixture);

/** Advances the clock in steps of 50 ms and calls @tick with @user in each. */
void memory_fixture_run (struct memory_fixture *fixture,
			 int64_t length_ms,
			 void (*tick) (void *user),
			 void *user);

#endif
