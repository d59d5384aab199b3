#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/fleet/fleet.h"

void
fleet_report (struct fleet *fleet, const char *phase, const char *what, double value, double bar)
{
	struct fleet_row row = {phase, what, value, bar};
	g_array_append_val (fleet->rows, row);
}

void
fleet_print_phase (const struct fleet *fleet, const char *phase)
{
	json_t *json = json_pack ("{s:s}", "phase", phase);
	for (guint i = 0; i < fleet->rows->len; i++) {
		const struct fleet_row *row = &g_array_index (fleet->rows, struct fleet_row, i);
		if (strcmp (row->phase, phase) == 0)
			json_object_set_new (json, row->what, json_real (row->value));
	}
	g_autofree char *text = json_dumps (json, JSON_REAL_PRECISION (6));
	json_decref (json);
	printf ("%s\n", text);
	fflush (stdout);
}

static bool
meets_bar (const struct fleet_row *row)
{
	return row->bar < 0 || row->value <= row->bar;
}

static void
print_row (const struct fleet_row *row)
{
	g_autofree char *bar = row->bar < 0 ? g_strdup ("-") : g_strdup_printf ("%g", row->bar);
	const char *verdict = meets_bar (row) ? "met" : "MISSED";
	printf ("| %s | %s | %.6g | %s | %s |\n", row->phase, row->what, row->value, bar,
		row->bar < 0 ? "-" : verdict);
}

bool
fleet_print_table (const struct fleet *fleet)
{
	bool met = true;
	printf ("| phase | measure | value | bar | verdict |\n| --- | --- | --- | --- | --- |\n");
	for (guint i = 0; i < fleet->rows->len; i++) {
		const struct fleet_row *row = &g_array_index (fleet->rows, struct fleet_row, i);
		print_row (row);
		met = met && meets_bar (row);
	}
	fflush (stdout);
	return met;
}

static int
compare_values (gconstpointer a, gconstpointer b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;
	return (left > right) - (left < right);
}

double
fleet_quantile (GArray *values, double share)
{
	if (values->len == 0)
		return 0;
	g_array_sort (values, compare_values);
	guint index = (guint)(share * (double)(values->len - 1));
	return g_array_index (values, double, index);
}
