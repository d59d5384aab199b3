#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <string.h>

#include "fleet/evacuations.h"

/* Tests the set of data centres to be evacuated, given sequences of changes of the operators'
 * table. */

enum step_type {
	DFF_STEP_NONE,
	/** The request for the data centre @name exists, or was removed. */
	DFF_STEP_REQUESTED,
	DFF_STEP_REMOVED,
	/** A request that cannot be decoded. */
	DFF_STEP_UNREADABLE,
	/** A snapshot of the whole table begins, and is complete. */
	DFF_STEP_BEGIN_SNAPSHOT,
	DFF_STEP_END_SNAPSHOT,
};

struct step {
	enum step_type type;
	const char *name;
};

struct report {
	GString *names;
	int32_t n_calls;
};

static int
compare_names (gconstpointer a, gconstpointer b)
{
	return dff_name_compare (a, b);
}

static void
handle_changed (void *ctx, const struct dff_name *data_centres, size_t n_data_centres)
{
	struct report *report = ctx;
	g_autoptr (GArray) sorted = g_array_new (FALSE, FALSE, sizeof (struct dff_name));
	if (n_data_centres > 0)
		g_array_append_vals (sorted, data_centres, (guint)n_data_centres);
	g_array_sort (sorted, compare_names);
	g_string_truncate (report->names, 0);
	for (guint i = 0; i < sorted->len; i++)
		g_string_append_printf (report->names, "%s ",
					g_array_index (sorted, struct dff_name, i).data);
	report->n_calls++;
}

static void
run_step (struct dff_evacuations *evacuations, const struct step *step)
{
	struct dff_name name = {0};
	if (step->name != NULL)
		name = dff_name_from (step->name);
	switch (step->type) {
	case DFF_STEP_REQUESTED:
	case DFF_STEP_REMOVED:
		dff_evacuations_note (evacuations, &name, step->type == DFF_STEP_REQUESTED, 7, 0);
		return;
	case DFF_STEP_UNREADABLE:
		dff_evacuations_note_unreadable (evacuations, dff_str_from ("evacuate/"), 7);
		return;
	case DFF_STEP_BEGIN_SNAPSHOT:
		dff_evacuations_begin_snapshot (evacuations);
		return;
	default:
		dff_evacuations_end_snapshot (evacuations);
		return;
	}
}

static void
test_request_set (void **state)
{
	(void)state;
	static const struct {
		struct step steps[10];
		const char *names;
		int32_t n_calls;
		int64_t n_unreadable;
	} cases[] = {
		{{{DFF_STEP_BEGIN_SNAPSHOT}, {DFF_STEP_END_SNAPSHOT}}, "", 1, 0},
		{{{DFF_STEP_BEGIN_SNAPSHOT}, {DFF_STEP_REQUESTED, "a"}, {DFF_STEP_END_SNAPSHOT}},
		 "a ",
		 2,
		 0},
		{{{DFF_STEP_BEGIN_SNAPSHOT},
		  {DFF_STEP_END_SNAPSHOT},
		  {DFF_STEP_REQUESTED, "a"},
		  {DFF_STEP_REQUESTED, "b"}},
		 "a b ",
		 3,
		 0},
		/* Rows are delivered twice. */
		{{{DFF_STEP_BEGIN_SNAPSHOT},
		  {DFF_STEP_END_SNAPSHOT},
		  {DFF_STEP_REQUESTED, "a"},
		  {DFF_STEP_REQUESTED, "a"},
		  {DFF_STEP_REMOVED, "a"},
		  {DFF_STEP_REMOVED, "a"}},
		 "",
		 3,
		 0},
		/* After a snapshot: a removed, b still requested. */
		{{{DFF_STEP_BEGIN_SNAPSHOT},
		  {DFF_STEP_END_SNAPSHOT},
		  {DFF_STEP_REQUESTED, "a"},
		  {DFF_STEP_REQUESTED, "b"},
		  {DFF_STEP_BEGIN_SNAPSHOT},
		  {DFF_STEP_REQUESTED, "b"},
		  {DFF_STEP_END_SNAPSHOT}},
		 "b ",
		 4,
		 0},
		/* No request is withdrawn while a snapshot is in progress. */
		{{{DFF_STEP_BEGIN_SNAPSHOT},
		  {DFF_STEP_REQUESTED, "a"},
		  {DFF_STEP_END_SNAPSHOT},
		  {DFF_STEP_BEGIN_SNAPSHOT}},
		 "a ",
		 2,
		 0},
		/* Undecodable requests are counted and do not change the set. */
		{{{DFF_STEP_BEGIN_SNAPSHOT},
		  {DFF_STEP_REQUESTED, "a"},
		  {DFF_STEP_END_SNAPSHOT},
		  {DFF_STEP_UNREADABLE},
		  {DFF_STEP_UNREADABLE}},
		 "a ",
		 2,
		 2},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		DFF_AUTO (dff_metrics) metrics = dff_metrics_new ();
		struct report report = {.names = g_string_new (NULL)};
		struct dff_evacuations_options options = {
			.metrics = metrics, .changed = handle_changed, .ctx = &report};
		struct dff_evacuations *evacuations = dff_evacuations_new (&options);
		for (size_t j = 0; cases[i].steps[j].type != DFF_STEP_NONE; j++)
			run_step (evacuations, &cases[i].steps[j]);
		assert_string_equal (report.names->str, cases[i].names);
		assert_int_equal (report.n_calls, cases[i].n_calls);
		const int64_t *unreadable =
			dff_metrics_counter (metrics, "dff_fleet_unreadable_requests_total", "");
		assert_int_equal (*unreadable, cases[i].n_unreadable);
		dff_evacuations_free (evacuations);
		g_string_free (report.names, TRUE);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_request_set),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
