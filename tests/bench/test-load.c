#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "bench/load/classes.h"
#include "holder/policy.h"

/* Checks the effect of mechanisms of the core by simulating loads with and without each: a minute
 * of urgent gangs with a waiting caller, gangs that take seconds, and bulk work, on fifty workers.
 * The asserted figures are about half of the differences measured over a hundred seeds. */

#define N_SEEDS 20
#define GANG_WAIT_MS 3000
#define RACK_WAIT_MS 15000

struct means {
	double in_time[DFF_LOAD_MIXED_CLASSES];
	/** Share of the urgent jobs that start at once. */
	double at_once;
	/** Wasted work per core-second of completed work. */
	double wasted;
};

typedef void (*change_func) (struct dff_core_options *options);

/* Returns: mean figures of N_SEEDS loads at @times their usual rate and options after @change. */
static struct means
play (double times, change_func change)
{
	struct means means = {0};
	for (uint32_t seed = 1; seed <= N_SEEDS; seed++) {
		struct dff_load_class classes[DFF_LOAD_MIXED_CLASSES];
		dff_load_mixed_classes (classes, times);
		struct dff_load load = dff_load_mixed (classes, seed);
		struct dff_core_options options;
		dff_policy_core_options (&options, GANG_WAIT_MS);
		options.rack_wait_ms = RACK_WAIT_MS;
		if (change != NULL)
			change (&options);
		struct dff_load_figures figures;
		dff_load_play (&load, &options, &figures);
		const struct dff_load_outcome *urgent = &figures.classes[DFF_LOAD_URGENT];
		means.at_once += (double)urgent->n_at_once / urgent->n_jobs / N_SEEDS;
		means.wasted += figures.wasted_core_s / figures.done_core_s / N_SEEDS;
		for (size_t i = 0; i < DFF_LOAD_MIXED_CLASSES; i++)
			means.in_time[i] += dff_load_in_time (&figures, i) / N_SEEDS;
	}
	return means;
}

static void
without_headroom (struct dff_core_options *options)
{
	options->headroom_decay_ms = 0;
}

/* Load: three quarters of the pool are in use, urgent gangs arrive in clusters, and bulk tasks fill
 * the idle capacity. Without headroom, three of ten runs are preempted. */
static void
test_headroom_under_load (void **state)
{
	(void)state;
	struct means with = play (1.0, NULL);
	struct means without = play (1.0, without_headroom);
	assert_true (with.at_once > without.at_once + 0.15);
	assert_true (with.in_time[DFF_LOAD_URGENT] > without.in_time[DFF_LOAD_URGENT] + 0.02);
	assert_true (with.wasted < 0.8 * without.wasted);
}

/* Load: a quarter of the pool is in use. Headroom must not delay any class. */
static void
test_headroom_under_low_load (void **state)
{
	(void)state;
	struct means with = play (0.3, NULL);
	struct means without = play (0.3, without_headroom);
	for (size_t i = 0; i < DFF_LOAD_MIXED_CLASSES; i++)
		assert_true (with.in_time[i] > without.in_time[i] - 0.02);
	assert_true (with.at_once > without.at_once - 0.02);
}

static void
without_headroom_wait (struct dff_core_options *options)
{
	options->headroom_wait_ratio = 0.0;
}

/* Load of test_headroom_under_load: gangs queue for racks, and headroom delays bulk work until it
 * misses its objective. With headroom_wait_ratio, bulk work that has waited long leaves headroom
 * for urgent work alone: half of the bulk work is in time, without it a quarter. One urgent job in
 * a hundred is late because of it. */
static void
test_bulk_under_load (void **state)
{
	(void)state;
	struct means with = play (1.0, NULL);
	struct means without = play (1.0, without_headroom_wait);
	assert_true (with.in_time[DFF_LOAD_BULK] > without.in_time[DFF_LOAD_BULK] + 0.12);
	assert_true (with.in_time[DFF_LOAD_URGENT] > without.in_time[DFF_LOAD_URGENT] - 0.02);
	assert_true (with.wasted < 1.1 * without.wasted);
}

static void
without_evict_bound (struct dff_core_options *options)
{
	options->evict_work_ratio = 0.0;
}

/* Load of test_headroom_under_load: small urgent jobs preempt wide gangs that have run for seconds.
 * Without a limit on the preempted work, the wasted work equals that of one job in fifteen. */
static void
test_bounded_evictions (void **state)
{
	(void)state;
	struct means with = play (1.0, NULL);
	struct means without = play (1.0, without_evict_bound);
	assert_true (with.wasted < 0.6 * without.wasted);
	for (size_t i = 0; i < DFF_LOAD_MIXED_CLASSES; i++)
		assert_true (with.in_time[i] > without.in_time[i] - 0.04);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_headroom_under_load),
		cmocka_unit_test (test_headroom_under_low_load),
		cmocka_unit_test (test_bulk_under_load),
		cmocka_unit_test (test_bounded_evictions),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
