#include "cell/lease_rows.h"

#include <inttypes.h>
#include <jansson.h>

const struct dff_table_row *
dff_table_find_row (const struct dff_table_result *result, struct dff_str key)
{
	for (size_t i = 0; i < result->n_rows; i++) {
		if (dff_str_equal (result->rows[i].key, key))
			return &result->rows[i];
	}
	return NULL;
}

static json_t *
parse_object (struct dff_str value)
{
	json_t *object = json_loadb (value.data, value.len, 0, NULL);
	if (json_is_object (object))
		return object;
	json_decref (object);
	return NULL;
}

static void
apply_lease_row (struct dff_lease_rows *rows, const struct dff_table_row *row, int64_t now_ms)
{
	int64_t revision = row != NULL ? row->revision : 0;
	if (!rows->known || rows->lease_revision != revision)
		rows->first_seen_ms = now_ms;
	rows->lease_revision = revision;
	rows->is_free = row == NULL;
	rows->counter = 0;
	if (row == NULL)
		return;
	json_t *object = parse_object (row->value);
	const char *instance = json_string_value (json_object_get (object, "instance"));
	rows->is_free = instance != NULL && instance[0] == '\0';
	rows->counter = json_integer_value (json_object_get (object, "counter"));
	json_decref (object);
}

/* If an unreadable epoch row restarted the epochs at 1, commands and rows of older holders would
 * count as newer ones. No process takes the lease until an operator repairs the row. */
static void
apply_epoch_row (struct dff_lease_rows *rows, const struct dff_table_row *row)
{
	rows->epoch_revision = row != NULL ? row->revision : 0;
	rows->epoch = 0;
	rows->malformed = false;
	if (row == NULL)
		return;
	json_t *object = parse_object (row->value);
	rows->epoch = json_integer_value (json_object_get (object, "epoch"));
	json_decref (object);
	rows->malformed = rows->epoch <= 0;
}

void
dff_lease_rows_apply (struct dff_lease_rows *rows,
		      const struct dff_table_row *lease,
		      const struct dff_table_row *epoch,
		      int64_t now_ms)
{
	apply_lease_row (rows, lease, now_ms);
	apply_epoch_row (rows, epoch);
	rows->known = true;
}

GString *
dff_lease_rows_next_lease (const struct dff_lease_rows *rows, const char *instance)
{
	GString *value = g_string_new (NULL);
	g_string_printf (value, "{\"instance\":\"%s\",\"counter\":%" PRId64 "}", instance,
			 rows->counter + 1);
	return value;
}

GString *
dff_lease_rows_next_epoch (const struct dff_lease_rows *rows, const char *instance)
{
	GString *value = g_string_new (NULL);
	g_string_printf (value, "{\"epoch\":%" PRId64 ",\"instance\":\"%s\"}", rows->epoch + 1,
			 instance);
	return value;
}
