#include "backing/table_wire.h"

struct dff_str
dff_wire_str (const json_t *value)
{
	struct dff_str str = {.data = json_string_value (value)};
	if (str.data != NULL)
		str.len = json_string_length (value);
	return str;
}

bool
dff_wire_name (const json_t *value, struct dff_name *name)
{
	return dff_name_parse (dff_wire_str (value), name);
}

static json_t *
str_to_json (struct dff_str str)
{
	return json_stringn (str.data, str.len);
}

/* Returns: false when @value is NULL; jansson returns NULL for a string that is not UTF-8. */
static bool
set (json_t *object, const char *key, json_t *value)
{
	return json_object_set_new (object, key, value) == 0;
}

static bool
add_condition (json_t *conditions, const struct dff_table_condition *condition)
{
	json_t *object = json_object ();
	json_array_append_new (conditions, object);
	return set (object, "key", str_to_json (condition->key)) &&
	       set (object, "revision", json_integer (condition->revision));
}

static bool
add_write (json_t *writes, const struct dff_table_write *write)
{
	json_t *object = json_object ();
	json_array_append_new (writes, object);
	json_t *value = write->value.data == NULL ? json_null () : str_to_json (write->value);
	return set (object, "key", str_to_json (write->key)) && set (object, "value", value);
}

json_t *
dff_table_wire_txn_to_json (const struct dff_table_txn *txn)
{
	json_t *conditions = json_array ();
	json_t *writes = json_array ();
	json_t *root =
		json_pack ("{s:s#, s:o, s:o}", "write_id", txn->write_id.data,
			   (int)txn->write_id.len, "conditions", conditions, "writes", writes);
	bool valid = true;
	for (size_t i = 0; i < txn->n_conditions; i++)
		valid = add_condition (conditions, &txn->conditions[i]) && valid;
	for (size_t i = 0; i < txn->n_writes; i++)
		valid = add_write (writes, &txn->writes[i]) && valid;
	if (valid)
		return root;
	json_decref (root);
	return NULL;
}

static bool
read_condition (const json_t *object, GArray *conditions)
{
	struct dff_table_condition condition = {
		.key = dff_wire_str (json_object_get (object, "key")),
		.revision = json_integer_value (json_object_get (object, "revision")),
	};
	g_array_append_val (conditions, condition);
	return condition.key.data != NULL && json_is_integer (json_object_get (object, "revision"));
}

static bool
read_write (const json_t *object, GArray *writes)
{
	const json_t *value = json_object_get (object, "value");
	struct dff_table_write write = {
		.key = dff_wire_str (json_object_get (object, "key")),
		.value = dff_wire_str (value),
	};
	g_array_append_val (writes, write);
	return write.key.data != NULL && (json_is_string (value) || json_is_null (value));
}

bool
dff_table_wire_txn_from_json (const json_t *root, struct dff_table_wire_txn *out)
{
	out->conditions = g_array_new (FALSE, FALSE, sizeof (struct dff_table_condition));
	out->writes = g_array_new (FALSE, FALSE, sizeof (struct dff_table_write));
	const json_t *conditions = json_object_get (root, "conditions");
	const json_t *writes = json_object_get (root, "writes");
	bool valid = dff_wire_name (json_object_get (root, "write_id"), &out->txn.write_id) &&
		     json_is_array (conditions) && json_is_array (writes);
	for (size_t i = 0; i < json_array_size (conditions); i++)
		valid = read_condition (json_array_get (conditions, i), out->conditions) && valid;
	for (size_t i = 0; i < json_array_size (writes); i++)
		valid = read_write (json_array_get (writes, i), out->writes) && valid;
	out->txn.conditions = (const struct dff_table_condition *)out->conditions->data;
	out->txn.n_conditions = out->conditions->len;
	out->txn.writes = (const struct dff_table_write *)out->writes->data;
	out->txn.n_writes = out->writes->len;
	return valid;
}

void
dff_table_wire_txn_clear (struct dff_table_wire_txn *out)
{
	g_array_unref (out->conditions);
	g_array_unref (out->writes);
}

json_t *
dff_table_wire_result_to_json (const struct dff_table_result *result)
{
	json_t *rows = json_array ();
	for (size_t i = 0; i < result->n_rows; i++) {
		const struct dff_table_row *row = &result->rows[i];
		json_t *object = json_object ();
		set (object, "key", str_to_json (row->key));
		set (object, "value", str_to_json (row->value));
		set (object, "revision", json_integer (row->revision));
		json_array_append_new (rows, object);
	}
	return json_pack ("{s:I, s:o, s:b}", "revision", (json_int_t)result->revision, "rows", rows,
			  "more", (int)result->more);
}

static bool
read_row (const json_t *object, GArray *rows)
{
	const json_t *revision = json_object_get (object, "revision");
	struct dff_table_row row = {
		.key = dff_wire_str (json_object_get (object, "key")),
		.value = dff_wire_str (json_object_get (object, "value")),
		.revision = json_integer_value (revision),
	};
	g_array_append_val (rows, row);
	return row.key.data != NULL && row.value.data != NULL && json_is_integer (revision);
}

bool
dff_table_wire_result_from_json (const json_t *root, GArray *rows, struct dff_table_result *result)
{
	const json_t *revision = json_object_get (root, "revision");
	const json_t *array = json_object_get (root, "rows");
	bool valid = json_is_integer (revision) && json_is_array (array);
	for (size_t i = 0; i < json_array_size (array); i++)
		valid = read_row (json_array_get (array, i), rows) && valid;
	result->revision = json_integer_value (revision);
	result->rows = (const struct dff_table_row *)rows->data;
	result->n_rows = rows->len;
	result->more = json_is_true (json_object_get (root, "more"));
	return valid;
}
