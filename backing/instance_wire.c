#include "backing/instance_wire.h"

#include <string.h>

#include "backing/table_wire.h"

static const char *const role_names[] = {
	[DFF_INSTANCE_WORKER] = "worker",
	[DFF_INSTANCE_ENTRY] = "entry",
};

/** Fields of type struct dff_name. */
static const struct {
	const char *key;
	size_t offset;
	bool required;
} fields[] = {
	{"id", G_STRUCT_OFFSET (struct dff_instance, id), true},
	{"address", G_STRUCT_OFFSET (struct dff_instance, address), true},
	{"rack", G_STRUCT_OFFSET (struct dff_instance, rack), false},
	{"data_centre", G_STRUCT_OFFSET (struct dff_instance, data_centre), false},
	{"region", G_STRUCT_OFFSET (struct dff_instance, region), false},
	{"peer_address", G_STRUCT_OFFSET (struct dff_instance, peer_address), false},
	{"peer_key", G_STRUCT_OFFSET (struct dff_instance, peer_key), false},
};

json_t *
dff_instance_wire_to_json (const struct dff_instance *instance)
{
	json_t *object = json_object ();
	json_object_set_new (object, "role", json_string (role_names[instance->role]));
	json_object_set_new (object, "leaving", json_boolean (instance->leaving));
	for (size_t i = 0; i < G_N_ELEMENTS (fields); i++) {
		const struct dff_name *name = G_STRUCT_MEMBER_P (instance, fields[i].offset);
		if (!dff_name_is_empty (name))
			json_object_set_new (object, fields[i].key, json_string (name->data));
	}
	return object;
}

static bool
read_role (const json_t *value, enum dff_instance_role *role)
{
	struct dff_str text = dff_wire_str (value);
	for (size_t i = 0; i < G_N_ELEMENTS (role_names); i++) {
		if (!dff_str_equal (text, dff_str_from (role_names[i])))
			continue;
		*role = (enum dff_instance_role)i;
		return true;
	}
	return false;
}

bool
dff_instance_wire_from_json (const json_t *object, struct dff_instance *instance)
{
	memset (instance, 0, sizeof (*instance));
	if (!read_role (json_object_get (object, "role"), &instance->role))
		return false;
	instance->leaving = json_is_true (json_object_get (object, "leaving"));
	for (size_t i = 0; i < G_N_ELEMENTS (fields); i++) {
		const json_t *value = json_object_get (object, fields[i].key);
		struct dff_name *name = G_STRUCT_MEMBER_P (instance, fields[i].offset);
		if (value == NULL && !fields[i].required)
			continue;
		if (!dff_wire_name (value, name))
			return false;
	}
	return true;
}
