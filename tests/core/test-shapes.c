#include <math.h>
#include <string.h>

#include "core_fixture.h"

#include "core/shapes.h"

/* The pure part: which shapes are recorded, and how many of them free capacity holds. */

static void
fill_rack (struct dff_rack_fits *fits, const int32_t *free_accelerators, size_t count)
{
	*fits = (struct dff_rack_fits){0};
	for (size_t i = 0; i < count; i++)
		dff_rack_fits_add (fits, free_accelerators[i]);
}

/* Guards against counting capacity that no gang of the shape can use: pieces on several workers or
 * racks. */
static void
test_gangs_that_fit (void **state)
{
	(void)state;
	static const struct {
		struct dff_shape shape;
		/** Free accelerators of the workers of two racks. */
		int32_t free[2][4];
		int64_t gangs;
		/** Largest gang of such tasks in one rack. */
		int32_t largest;
	} cases[] = {
		/* Empty, and full. */
		{{8, 4, 0, true}, {{8, 8, 8, 8}, {8, 8, 8, 8}}, 2, 4},
		{{8, 4, 0, true}, {{0, 0, 0, 0}, {0, 0, 0, 0}}, 0, 0},
		/* One single task in each rack. */
		{{8, 4, 0, true}, {{7, 8, 8, 8}, {8, 8, 8, 7}}, 0, 3},
		{{8, 4, 0, false}, {{7, 8, 8, 8}, {8, 8, 8, 7}}, 1, 3},
		{{4, 4, 0, true}, {{7, 8, 8, 8}, {3, 3, 3, 3}}, 1, 7},
		{{2, 3, 0, true}, {{1, 1, 1, 1}, {3, 3, 1, 2}}, 1, 3},
		{{3, 2, 0, true}, {{8, 2, 2, 2}, {5, 2, 2, 0}}, 1, 2},
		/* More than a rack holds. */
		{{8, 5, 0, true}, {{8, 8, 8, 8}, {8, 8, 8, 8}}, 0, 4},
		{{8, 5, 0, false}, {{8, 8, 8, 8}, {8, 8, 8, 8}}, 1, 4},
		/* More is leased than there is, as after a change of the pool. */
		{{1, 1, 0, true}, {{-3, 0, 0, 2}, {0, 0, 0, 0}}, 2, 2},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct dff_rack_fits racks[2];
		struct dff_shapes shapes = {0};
		int64_t gangs[DFF_SHAPES_MAX];
		for (size_t j = 0; j < 2; j++)
			fill_rack (&racks[j], cases[i].free[j], 4);
		assert_true (dff_shapes_note (&shapes, &cases[i].shape, 1000.0, 0));
		dff_shapes_count (&shapes, racks, 2, gangs);
		int32_t largest = dff_shapes_largest_gang (racks, 2, cases[i].shape.accelerators);
		if (gangs[0] != cases[i].gangs || largest != cases[i].largest)
			fail_msg ("case %zu: %d gangs, largest %d", i, (int)gangs[0], largest);
	}
}

/* Guards against records that grow without bound or keep what no longer arrives, and against shapes
 * out of range. */
static void
test_records (void **state)
{
	(void)state;
	static const struct {
		struct dff_shape shape;
		/** Number of tasks recorded; 0: the shape is ignored. */
		int16_t tasks;
	} cases[] = {
		{{8, 1, 0, true}, 1},   {{8, 7, 0, true}, 7},
		{{8, 9, 0, true}, 12},  {{8, 33, 0, true}, 48},
		{{8, 78, 1, true}, 80}, {{0, 4, 0, true}, 0},
		{{9, 4, 0, true}, 0},   {{-1, 4, 0, true}, 0},
		{{8, 0, 0, true}, 0},   {{8, 4, -1, true}, 0},
		{{8, 4, 3, true}, 0},   {{8, INT16_MAX, 0, true}, INT16_MAX},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct dff_shapes shapes = {0};
		bool changed = dff_shapes_note (&shapes, &cases[i].shape, 1000.0, 0);
		assert_int_equal (changed, cases[i].tasks > 0);
		assert_int_equal (shapes.n_records, cases[i].tasks > 0);
		if (shapes.n_records > 0)
			assert_int_equal (shapes.records[0].shape.tasks, cases[i].tasks);
	}
	struct dff_shapes shapes = {0};
	for (int16_t tasks = 1; tasks <= 200; tasks++) {
		struct dff_shape shape = {.accelerators = 2, .tasks = tasks, .one_rack = true};
		dff_shapes_note (&shapes, &shape, 1000.0, tasks);
	}
	assert_int_equal (shapes.n_records, DFF_SHAPES_PER_PRIORITY);
	assert_true (dff_shapes_decay (&shapes, INT64_C (20) * DFF_SHAPES_DECAY_MS));
	assert_int_equal (shapes.n_records, 0);
	/* A clock that does not move, or is set back. */
	assert_false (dff_shapes_decay (&shapes, 0));
}

static void
test_arrivals_decay (void **state)
{
	(void)state;
	struct dff_shapes shapes = {0};
	const struct dff_shape shape = {.accelerators = 8, .tasks = 4, .one_rack = true};
	assert_true (dff_shapes_note (&shapes, &shape, 1000.0, 0));
	assert_false (dff_shapes_note (&shapes, &shape, 3000.0, 0));
	assert_true (fabs (shapes.records[0].arrivals - 2.0) < 1e-9);
	assert_true (fabs (shapes.records[0].run_ms - 2000.0) < 1e-9);
	assert_false (dff_shapes_decay (&shapes, DFF_SHAPES_DECAY_MS));
	assert_true (fabs (shapes.records[0].arrivals - 2.0 / M_E) < 1e-9);
}

/* What a task takes from the recorded gangs, by the worker that it is placed on. */
static void
test_loss (void **state)
{
	(void)state;
	static const struct {
		int32_t free[4];
		/** Worker of the task, and its accelerators. */
		size_t worker;
		int32_t taken;
		/** Whether a gang of four whole workers, and one of four tasks of two accelerators,
		 * are lost. */
		bool whole, narrow;
	} cases[] = {
		{{8, 8, 8, 8}, 0, 1, true, true},   {{8, 8, 8, 7}, 3, 1, false, false},
		{{8, 8, 8, 7}, 0, 1, false, false}, {{2, 2, 2, 2}, 0, 1, false, true},
		{{3, 2, 2, 2}, 0, 1, false, false}, {{8, 8, 8, 8}, 0, 8, true, true},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct dff_shapes shapes = {0};
		const struct dff_shape whole = {8, 4, 0, true};
		const struct dff_shape narrow = {2, 4, 1, true};
		dff_shapes_note (&shapes, &whole, 1000.0, 0);
		dff_shapes_note (&shapes, &narrow, 1000.0, 0);
		struct dff_rack_fits before;
		fill_rack (&before, cases[i].free, 4);
		struct dff_rack_fits after = before;
		dff_rack_fits_take (&after, cases[i].free[cases[i].worker], cases[i].taken);
		int64_t gangs[DFF_SHAPES_MAX];
		dff_shapes_count (&shapes, &before, 1, gangs);
		struct dff_shape_loss loss = dff_shapes_loss (&shapes, &before, &after, gangs);
		uint64_t expected = (cases[i].whole ? 1U : 0U) | (cases[i].narrow ? 2U : 0U);
		if (loss.lost != expected || (loss.weighted > 0.0) != (expected != 0))
			fail_msg ("case %zu: lost %d", i, (int)loss.lost);
	}
}

static void
test_expected (void **state)
{
	(void)state;
	/* Ten arrivals within the time constant of 20 s: one each two seconds. */
	struct dff_shape_record record = {.arrivals = 10.0, .run_ms = 2500.0};
	static const struct {
		int64_t gangs;
		int64_t horizon_ms;
		bool expected;
	} cases[] = {
		{0, 1000, true},
		{1, 1000, false},
		{0, 0, false},
		{1, 2500, true},
		{2, 2500, false},
		/* What has ended by then needs no place of its own. */
		{1, 60000, true},
		{2, 60000, false},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		if (dff_shape_is_expected (&record, cases[i].gangs, cases[i].horizon_ms) !=
		    cases[i].expected)
			fail_msg ("case %zu", i);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_gangs_that_fit), cmocka_unit_test (test_records),
		cmocka_unit_test (test_arrivals_decay), cmocka_unit_test (test_loss),
		cmocka_unit_test (test_expected),
	};
	return cmocka_run_group_tests_name ("core-shapes", tests, NULL, NULL);
}
