#include "fleet/settings.h"

#include <jansson.h>
#include <math.h>
#include <stddef.h>
#include <string.h>

G_DEFINE_QUARK (dff_fleet_settings_error, dff_fleet_settings_error)

enum setting_type {
	DFF_SETTING_NAME,
	DFF_SETTING_ADDRESS,
	DFF_SETTING_INT,
	DFF_SETTING_NUMBER,
	DFF_SETTING_LEVEL,
};

struct setting {
	const char *key;
	enum setting_type type;
	size_t offset;
	double min, max;
};

#define FIELD(name) offsetof (struct dff_fleet_settings, name)

static const struct setting settings_table[] = {
	{"instance", DFF_SETTING_NAME, FIELD (instance), 0, 0},
	{"data_centre", DFF_SETTING_NAME, FIELD (data_centre), 0, 0},
	{"region", DFF_SETTING_NAME, FIELD (region), 0, 0},
	{"front_address", DFF_SETTING_ADDRESS, FIELD (front_address), 0, 0},
	{"ready_address", DFF_SETTING_ADDRESS, FIELD (ready_address), 0, 0},
	{"metrics_address", DFF_SETTING_ADDRESS, FIELD (metrics_address), 0, 0},
	{"store_address", DFF_SETTING_ADDRESS, FIELD (store_address), 0, 0},
	{"worker_lease_max_ms", DFF_SETTING_INT, FIELD (worker_lease_max_ms), 1000, 3600000},
	{"gang_wait_ms", DFF_SETTING_INT, FIELD (gang_wait_ms), 100, 600000},
	{"far_factor", DFF_SETTING_NUMBER, FIELD (far_factor), 1, 1000},
	{"retention_s", DFF_SETTING_INT, FIELD (retention_s), 1, 31536000},
	{"stop_grace_s", DFF_SETTING_INT, FIELD (stop_grace_s), 1, 86400},
	{"log_level", DFF_SETTING_LEVEL, FIELD (log_level), 0, 0},
};

struct reader {
	const char *path;
	GPtrArray *faults;
};

static void G_GNUC_PRINTF (3, 4)
	fault (struct reader *reader, const char *key, const char *format, ...)
{
	va_list args;
	va_start (args, format);
	g_autofree char *text = g_strdup_vprintf (format, args);
	va_end (args);
	g_ptr_array_add (reader->faults, g_strdup_printf ("%s: %s: %s", reader->path, key, text));
}

static struct dff_str
text_of (const json_t *value)
{
	return (struct dff_str){json_string_value (value), json_string_length (value)};
}

static bool
is_address (const struct dff_name *name)
{
	const char *colon = strrchr (name->data, ':');
	guint64 port;
	return colon != NULL && colon != name->data &&
	       g_ascii_string_to_unsigned (colon + 1, 10, 0, UINT16_MAX, &port, NULL);
}

static void
read_number (struct reader *reader,
	     const struct setting *setting,
	     const json_t *value,
	     void *target)
{
	double number = json_number_value (value);
	bool whole = number == floor (number);
	if (!json_is_number (value) || (setting->type == DFF_SETTING_INT && !whole) ||
	    number < setting->min || number > setting->max) {
		fault (reader, setting->key, "expected a%s number from %g to %g",
		       setting->type == DFF_SETTING_INT ? " whole" : "", setting->min,
		       setting->max);
		return;
	}
	if (setting->type == DFF_SETTING_INT)
		*(int64_t *)target = (int64_t)number;
	else
		*(double *)target = number;
}

static void
read_setting (struct reader *reader,
	      const struct setting *setting,
	      const json_t *value,
	      struct dff_fleet_settings *settings)
{
	void *target = (char *)settings + setting->offset;
	switch (setting->type) {
	case DFF_SETTING_NAME:
		if (!json_is_string (value) || !dff_name_parse (text_of (value), target))
			fault (reader, setting->key, "expected a name of 1 to %d characters",
			       DFF_NAME_MAX);
		return;
	case DFF_SETTING_ADDRESS:
		if (!json_is_string (value) || !dff_name_parse (text_of (value), target) ||
		    !is_address (target))
			fault (reader, setting->key, "expected \"IP:PORT\"");
		return;
	case DFF_SETTING_LEVEL:
		if (!json_is_string (value) || !dff_log_level_parse (text_of (value), target))
			fault (reader, setting->key,
			       "expected \"debug\", \"info\", \"warning\" or \"error\"");
		return;
	case DFF_SETTING_INT:
	case DFF_SETTING_NUMBER:
		read_number (reader, setting, value, target);
		return;
	}
}

static bool
is_known (const char *key)
{
	for (size_t i = 0; i < G_N_ELEMENTS (settings_table); i++) {
		if (strcmp (settings_table[i].key, key) == 0)
			return true;
	}
	return false;
}

static void
read_all (struct reader *reader, json_t *root, struct dff_fleet_settings *settings)
{
	for (size_t i = 0; i < G_N_ELEMENTS (settings_table); i++) {
		const struct setting *setting = &settings_table[i];
		const json_t *value = json_object_get (root, setting->key);
		if (value == NULL)
			fault (reader, setting->key, "is missing");
		else
			read_setting (reader, setting, value, settings);
	}
	const char *key;
	json_t *value;
	json_object_foreach (root, key, value)
	{
		if (!is_known (key))
			fault (reader, key, "is not a setting");
	}
}

static struct dff_fleet_settings *
fail (GError **error, enum dff_fleet_settings_error code, const char *message, GPtrArray *faults)
{
	if (faults != NULL)
		g_ptr_array_add (faults, g_strdup (message));
	g_set_error_literal (error, DFF_FLEET_SETTINGS_ERROR, (int)code, message);
	return NULL;
}

struct dff_fleet_settings *
dff_fleet_settings_load (const char *path, GPtrArray *faults, GError **error)
{
	g_autofree char *text = NULL;
	gsize length = 0;
	g_autoptr (GError) read_error = NULL;
	if (!g_file_get_contents (path, &text, &length, &read_error))
		return fail (error, DFF_FLEET_SETTINGS_ERROR_READ, read_error->message, faults);
	json_error_t syntax;
	json_t *root = json_loadb (text, length, JSON_REJECT_DUPLICATES, &syntax);
	if (!json_is_object (root)) {
		g_autofree char *message = g_strdup_printf (
			"%s:%d: %s", path, syntax.line,
			root == NULL ? syntax.text : "expected an object of settings");
		json_decref (root);
		return fail (error, DFF_FLEET_SETTINGS_ERROR_SYNTAX, message, faults);
	}
	g_autoptr (GPtrArray) found = g_ptr_array_new_with_free_func (g_free);
	g_autofree struct dff_fleet_settings *settings = g_new0 (struct dff_fleet_settings, 1);
	struct reader reader = {.path = path, .faults = found};
	read_all (&reader, root, settings);
	json_decref (root);
	if (found->len == 0)
		return g_steal_pointer (&settings);
	g_set_error_literal (error, DFF_FLEET_SETTINGS_ERROR, DFF_FLEET_SETTINGS_ERROR_VALUE,
			     g_ptr_array_index (found, 0));
	for (guint i = 0; faults != NULL && i < found->len; i++)
		g_ptr_array_add (faults, g_strdup (g_ptr_array_index (found, i)));
	return NULL;
}

static bool
value_equal (const struct setting *setting, const char *one, const char *other)
{
	one += setting->offset;
	other += setting->offset;
	switch (setting->type) {
	case DFF_SETTING_INT:
		return *(const int64_t *)(const void *)one == *(const int64_t *)(const void *)other;
	case DFF_SETTING_NUMBER:
		return *(const double *)(const void *)one == *(const double *)(const void *)other;
	case DFF_SETTING_LEVEL:
		return *(const enum dff_log_level *)(const void *)one ==
		       *(const enum dff_log_level *)(const void *)other;
	case DFF_SETTING_NAME:
	case DFF_SETTING_ADDRESS:
	default:
		return dff_name_equal ((const struct dff_name *)one,
				       (const struct dff_name *)other);
	}
}

bool
dff_fleet_settings_equal (const struct dff_fleet_settings *one,
			  const struct dff_fleet_settings *other)
{
	for (size_t i = 0; i < G_N_ELEMENTS (settings_table); i++) {
		if (!value_equal (&settings_table[i], (const char *)one, (const char *)other))
			return false;
	}
	return true;
}
