/*
 * Measures the cost of choosing a worker, and how evenly the workers are loaded, for three methods:
 * any worker with a free slot, the less loaded of two, the least loaded of all. Half of the slots
 * are always in use; each step releases a random slot and acquires another. Prints one JSON line
 * for each method and number of workers. Usage: routing [SEED]
 */

#include <glib.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "entry/slots.h"

#define SLOTS_EACH 8
#define STEPS 200000
#define NEVER_MS INT64_MAX
#define NS_PER_US 1000.0

/** State of the workers in one process, for one method. */
struct view {
	int32_t n_workers;
	int32_t *in_use;
	GRand *rng;
	struct dff_slots *slots; /**< Of the product's method; else NULL. */
};

typedef int32_t (*choose_func) (struct view *view);

static int32_t
choose_any (struct view *view)
{
	for (;;) {
		int32_t worker = g_rand_int_range (view->rng, 0, view->n_workers);
		if (view->in_use[worker] < SLOTS_EACH)
			return worker;
	}
}

static int32_t
choose_least (struct view *view)
{
	int32_t best = 0;
	for (int32_t i = 1; i < view->n_workers; i++) {
		if (view->in_use[i] < view->in_use[best])
			best = i;
	}
	return best;
}

static int32_t
choose_of_two (struct view *view)
{
	struct dff_slot slot;
	if (dff_slots_acquire (view->slots, 0, &slot) != DFF_SLOT_ACQUIRED)
		abort ();
	return (int32_t)strtol (slot.worker.data + 1, NULL, 10);
}

static void
release (struct view *view, int32_t worker)
{
	view->in_use[worker]--;
	if (view->slots == NULL)
		return;
	struct dff_name name = dff_name_printf ("w%d", worker);
	dff_slots_release (view->slots, &name);
}

static struct dff_slots *
slots_of (int32_t n_workers, uint64_t seed)
{
	struct dff_name here = dff_name_from ("a");
	struct dff_slots *slots = dff_slots_new (&here, seed);
	struct dff_instance *instances = g_new0 (struct dff_instance, n_workers);
	struct dff_grant *grants = g_new0 (struct dff_grant, n_workers);
	for (int32_t i = 0; i < n_workers; i++) {
		instances[i].id = dff_name_printf ("w%d", i);
		instances[i].role = DFF_INSTANCE_WORKER;
		instances[i].address = dff_name_from ("127.0.0.1:1");
		instances[i].data_centre = here;
		grants[i].worker = instances[i].id;
		grants[i].slots = SLOTS_EACH;
	}
	dff_slots_set_instances (slots, instances, (size_t)n_workers);
	dff_slots_set_grants (slots, 1, grants, (size_t)n_workers, 0, NEVER_MS);
	g_free (instances);
	g_free (grants);
	return slots;
}

static int64_t
now_ns (void)
{
	struct timespec time;
	clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &time);
	return (int64_t)time.tv_sec * 1000000000 + time.tv_nsec;
}

static int32_t
busiest (const struct view *view)
{
	int32_t most = 0;
	for (int32_t i = 0; i < view->n_workers; i++)
		most = MAX (most, view->in_use[i]);
	return most;
}

static void
measure (const char *name, choose_func choose, bool product, int32_t n_workers, uint64_t seed)
{
	struct view view = {.n_workers = n_workers};
	int32_t n_held = n_workers * SLOTS_EACH / 2;
	g_autofree int32_t *held = g_new0 (int32_t, n_held);
	int64_t spent_ns = 0;
	int64_t busiest_sum = 0;
	view.in_use = g_new0 (int32_t, n_workers);
	view.rng = g_rand_new_with_seed ((guint32)seed);
	view.slots = product ? slots_of (n_workers, seed) : NULL;
	for (int32_t i = 0; i < n_held; i++) {
		held[i] = choose (&view);
		view.in_use[held[i]]++;
	}
	for (int32_t step = 0; step < STEPS; step++) {
		int32_t place = g_rand_int_range (view.rng, 0, n_held);
		release (&view, held[place]);
		int64_t start_ns = now_ns ();
		held[place] = choose (&view);
		spent_ns += now_ns () - start_ns;
		view.in_use[held[place]]++;
		busiest_sum += busiest (&view);
	}
	printf ("{\"way\":\"%s\",\"workers\":%d,\"choice_us\":%.3f,\"busiest_slots\":%.2f,"
		"\"slots\":%d}\n",
		name, n_workers, (double)spent_ns / STEPS / NS_PER_US, (double)busiest_sum / STEPS,
		SLOTS_EACH);
	if (view.slots != NULL)
		dff_slots_free (view.slots);
	g_rand_free (view.rng);
	g_free (view.in_use);
}

int
main (int argc, char **argv)
{
	static const int32_t sizes[] = {50, 360, 1800};
	uint64_t seed = argc > 1 ? strtoull (argv[1], NULL, 10) : 1;
	for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++) {
		measure ("any", choose_any, false, sizes[i], seed);
		measure ("two", choose_of_two, true, sizes[i], seed);
		measure ("least", choose_least, false, sizes[i], seed);
	}
	return 0;
}
