#include "standin/platform_faults.h"

#include <string.h>

#define PERMILLE 1000

struct fault_field {
	const char *key;
	size_t offset;
	json_int_t max;
};

static const struct fault_field fields[] = {
	{"delay_min_ms", G_STRUCT_OFFSET (struct dff_memory_faults, delay_min_ms), INT32_MAX},
	{"delay_max_ms", G_STRUCT_OFFSET (struct dff_memory_faults, delay_max_ms), INT32_MAX},
	{"lose_answers", G_STRUCT_OFFSET (struct dff_memory_faults, lose_answers), INT32_MAX},
	{"late_writes", G_STRUCT_OFFSET (struct dff_memory_faults, late_writes), INT32_MAX},
	{"late_ms", G_STRUCT_OFFSET (struct dff_memory_faults, late_ms), INT32_MAX},
	{"lost_writes", G_STRUCT_OFFSET (struct dff_memory_faults, lost_writes), INT32_MAX},
	{"lose_permille", G_STRUCT_OFFSET (struct dff_memory_faults, lose_permille), PERMILLE},
	{"late_permille", G_STRUCT_OFFSET (struct dff_memory_faults, late_permille), PERMILLE},
	{"lost_permille", G_STRUCT_OFFSET (struct dff_memory_faults, lost_permille), PERMILLE},
	{"unavailable_permille", G_STRUCT_OFFSET (struct dff_memory_faults, unavailable_permille),
	 PERMILLE},
};

static bool
read_field (const char *key, json_int_t value, struct dff_memory_faults *faults)
{
	for (size_t i = 0; i < G_N_ELEMENTS (fields); i++) {
		if (strcmp (key, fields[i].key) != 0)
			continue;
		int32_t *field = G_STRUCT_MEMBER_P (faults, fields[i].offset);
		*field = (int32_t)value;
		return value <= fields[i].max;
	}
	return false;
}

static bool
read_fault (const char *key, json_int_t value, int64_t now_ms, struct dff_memory_faults *faults)
{
	if (value < 0 || value > INT32_MAX)
		return false;
	if (strcmp (key, "outage_ms") == 0) {
		faults->outage_until_ms = now_ms + value;
		return true;
	}
	if (strcmp (key, "silent_ms") == 0) {
		faults->silent_until_ms = now_ms + value;
		return true;
	}
	if (strcmp (key, "delay_ms") == 0) {
		faults->delay_min_ms = (int32_t)value;
		faults->delay_max_ms = (int32_t)value;
		return true;
	}
	return read_field (key, value, faults);
}

bool
dff_platform_faults_from_json (const json_t *root, int64_t now_ms, struct dff_memory_faults *faults)
{
	memset (faults, 0, sizeof (*faults));
	if (!json_is_object (root))
		return false;
	const char *key;
	json_t *value;
	json_object_foreach ((json_t *)root, key, value)
	{
		if (strcmp (key, "instance") == 0)
			continue;
		if (!json_is_integer (value) ||
		    !read_fault (key, json_integer_value (value), now_ms, faults))
			return false;
	}
	return faults->delay_max_ms >= faults->delay_min_ms && faults->delay_max_ms < INT32_MAX;
}

json_t *
dff_platform_counts_to_json (const struct dff_memory_counts *counts)
{
	return json_pack ("{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "gets",
			  (json_int_t)counts->gets, "scans", (json_int_t)counts->scans, "commits",
			  (json_int_t)counts->commits, "rows_written",
			  (json_int_t)counts->rows_written, "conflicts",
			  (json_int_t)counts->conflicts, "lookups", (json_int_t)counts->lookups,
			  "puts", (json_int_t)counts->puts, "object_gets",
			  (json_int_t)counts->object_gets, "lists", (json_int_t)counts->lists);
}
