#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <string.h>

#include "fleet/evacuations.h"

/* The set of data centres to be emptied, by what is heard of the operators' table. */

enum step_type {
	DFF_STEP_END,
	/** A request for the data centre @name is there, or was removed. */
	DFF_STEP_THERE,
	DFF_STEP_REMOVED,
	/** One that cannot be read. */
	DFF_STEP_UNREADABLE,
	/** The table is going to be read whole, and was. */
	DFF_STEP_BEGIN,
	DFF_STEP_WHOLE,
};

struct step {
	enum step_type type;
	const char *name;
};

struct told {
	GString *names;
	int32_t times;
};

static int
compare_names (gconstpointer a, gconstpointer b)
{
	return dff_name_compare (a, b);
}

static void
handle_changed (void *ctx, const struct dff_name *data_centres, size_t n_data_centres)
{
	struct told *told = ctx;
	g_autoptr (GArray) sorted = g_array_new (FALSE, FALSE, sizeof (struct dff_name));
	if (n_data_centres > 0)
		g_array_append_vals (sorted, data_centres, (guint)n_data_centres);
	g_array_sort (sorted, compare_names);
	g_string_truncate (told->names, 0);
	for (guint i = 0; i < sorted->len; i++)
		g_string_append_printf (told->names, "%s ",
					g_array_index (sorted, struct dff_name, i).data);
	told->times++;
}

static void
carry_out (struct dff_evacuations *evacuations, const struct step *step)
{
	struct dff_name name = {0};
	if (step->name != NULL)
		name = dff_name_from (step->name);
	switch (step->type) {
	case DFF_STEP_THERE:
	case DFF_STEP_REMOVED:
		dff_evacuations_note (evacuations, &name, step->type == DFF_STEP_THERE, 7, 0);
		return;
	case DFF_STEP_UNREADABLE:
		dff_evacuations_note_unreadable (evacuations, dff_str_from ("evacuate/"), 7);
		return;
	case DFF_STEP_BEGIN:
		dff_evacuations_begin_snapshot (evacuations);
		return;
	default:
		dff_evacuations_end_snapshot (evacuations);
		return;
	}
}

static void
test_what_is_known (void **state)
{
	(void)state;
	static const struct {
		struct step steps[10];
		const char *names;
		int32_t times;
		int64_t n_unreadable;
	} cases[] = {
		{{{DFF_STEP_BEGIN}, {DFF_STEP_WHOLE}}, "", 1, 0},
		{{{DFF_STEP_BEGIN}, {DFF_STEP_THERE, "a"}, {DFF_STEP_WHOLE}}, "a ", 2, 0},
		{{{DFF_STEP_BEGIN}, {DFF_STEP_WHOLE}, {DFF_STEP_THERE, "a"}, {DFF_STEP_THERE, "b"}},
		 "a b ",
		 3,
		 0},
		/* Rows repeat. */
		{{{DFF_STEP_BEGIN},
		  {DFF_STEP_WHOLE},
		  {DFF_STEP_THERE, "a"},
		  {DFF_STEP_THERE, "a"},
		  {DFF_STEP_REMOVED, "a"},
		  {DFF_STEP_REMOVED, "a"}},
		 "",
		 3,
		 0},
		/* Gone with the history; there still; asked for again meanwhile. */
		{{{DFF_STEP_BEGIN},
		  {DFF_STEP_WHOLE},
		  {DFF_STEP_THERE, "a"},
		  {DFF_STEP_THERE, "b"},
		  {DFF_STEP_BEGIN},
		  {DFF_STEP_THERE, "b"},
		  {DFF_STEP_WHOLE}},
		 "b ",
		 4,
		 0},
		/* Nothing is dropped while the table is read. */
		{{{DFF_STEP_BEGIN}, {DFF_STEP_THERE, "a"}, {DFF_STEP_WHOLE}, {DFF_STEP_BEGIN}},
		 "a ",
		 2,
		 0},
		/* Told apart from those that can be read. */
		{{{DFF_STEP_BEGIN},
		  {DFF_STEP_THERE, "a"},
		  {DFF_STEP_WHOLE},
		  {DFF_STEP_UNREADABLE},
		  {DFF_STEP_UNREADABLE}},
		 "a ",
		 2,
		 2},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		DFF_AUTO (dff_metrics) metrics = dff_metrics_new ();
		struct told told = {.names = g_string_new (NULL)};
		struct dff_evacuations_options options = {
			.metrics = metrics, .changed = handle_changed, .ctx = &told};
		struct dff_evacuations *evacuations = dff_evacuations_new (&options);
		for (size_t j = 0; cases[i].steps[j].type != DFF_STEP_END; j++)
			carry_out (evacuations, &cases[i].steps[j]);
		assert_string_equal (told.names->str, cases[i].names);
		assert_int_equal (told.times, cases[i].times);
		const int64_t *unreadable =
			dff_metrics_counter (metrics, "dff_fleet_unreadable_requests_total", "");
		assert_int_equal (*unreadable, cases[i].n_unreadable);
		dff_evacuations_free (evacuations);
		g_string_free (told.names, TRUE);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_what_is_known),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
