#include "client/job_options.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "client/file.h"

enum job_option_type {
	DFF_JOB_OPTION_TEXT,
	DFF_JOB_OPTION_NUMBER,
	DFF_JOB_OPTION_TRUE,
	DFF_JOB_OPTION_FALSE,
	DFF_JOB_OPTION_ADJACENT,
	DFF_JOB_OPTION_PAYLOAD,
};

struct job_option {
	const char *name;
	const char *key;
	enum job_option_type type;
};

static const struct job_option job_options[] = {
	{"service", "service", DFF_JOB_OPTION_TEXT},
	{"region", "region", DFF_JOB_OPTION_TEXT},
	{"gang", "gang", DFF_JOB_OPTION_NUMBER},
	{"accelerators", "accelerators", DFF_JOB_OPTION_NUMBER},
	{"slots", "slots", DFF_JOB_OPTION_NUMBER},
	{"cores", "cores", DFF_JOB_OPTION_NUMBER},
	{"memory-gb", "memory_gb", DFF_JOB_OPTION_NUMBER},
	{"adjacent", "adjacent", DFF_JOB_OPTION_ADJACENT},
	{"urgent", "urgent", DFF_JOB_OPTION_TRUE},
	{"guaranteed", "guaranteed", DFF_JOB_OPTION_TRUE},
	{"checkpoint", "checkpoint", DFF_JOB_OPTION_TRUE},
	{"idempotent", "idempotent", DFF_JOB_OPTION_TRUE},
	{"not-idempotent", "idempotent", DFF_JOB_OPTION_FALSE},
	{"declared-s", "declared_s", DFF_JOB_OPTION_NUMBER},
	{"max-attempts", "max_attempts", DFF_JOB_OPTION_NUMBER},
	{"payload", "payload", DFF_JOB_OPTION_PAYLOAD},
};

G_STATIC_ASSERT (G_N_ELEMENTS (job_options) <= DFF_JOB_OPTIONS_MAX);

static int
argument_kind (enum job_option_type type)
{
	if (type == DFF_JOB_OPTION_TRUE || type == DFF_JOB_OPTION_FALSE)
		return no_argument;
	return type == DFF_JOB_OPTION_ADJACENT ? optional_argument : required_argument;
}

size_t
dff_job_options_append (struct option *options)
{
	for (size_t i = 0; i < G_N_ELEMENTS (job_options); i++) {
		struct option option = {
			.name = job_options[i].name,
			.has_arg = argument_kind (job_options[i].type),
			.val = DFF_JOB_OPTION_FIRST + (int)i,
		};
		options[i] = option;
	}
	return G_N_ELEMENTS (job_options);
}

bool
dff_job_option_is (int option)
{
	return option >= DFF_JOB_OPTION_FIRST &&
	       option < DFF_JOB_OPTION_FIRST + (int)G_N_ELEMENTS (job_options);
}

static json_t *
parse_number (const char *text)
{
	guint64 value;
	if (!g_ascii_string_to_unsigned (text, 10, 0, G_MAXINT32, &value, NULL))
		return NULL;
	return json_integer ((json_int_t)value);
}

static json_t *
parse_adjacent (const char *text)
{
	if (text == NULL)
		return json_true ();
	return strcmp (text, "rack") == 0 ? json_string ("rack") : NULL;
}

/* Parses JSON text, or the file after "@". */
static json_t *
parse_payload (const char *text)
{
	if (*text != '@')
		return json_loads (text, JSON_DECODE_ANY, NULL);
	g_autoptr (GString) file = dff_file_read (text + 1);
	return file != NULL ? json_loadb (file->str, file->len, JSON_DECODE_ANY, NULL) : NULL;
}

static json_t *
parse_value (enum job_option_type type, const char *text)
{
	switch (type) {
	case DFF_JOB_OPTION_TEXT:
		return json_string (text);
	case DFF_JOB_OPTION_NUMBER:
		return parse_number (text);
	case DFF_JOB_OPTION_TRUE:
		return json_true ();
	case DFF_JOB_OPTION_FALSE:
		return json_false ();
	case DFF_JOB_OPTION_ADJACENT:
		return parse_adjacent (text);
	case DFF_JOB_OPTION_PAYLOAD:
		return parse_payload (text);
	}
	return NULL;
}

static const char *
expected_text (enum job_option_type type)
{
	switch (type) {
	case DFF_JOB_OPTION_NUMBER:
		return "a whole number, 0 or above";
	case DFF_JOB_OPTION_ADJACENT:
		return "no value, or \"rack\"";
	case DFF_JOB_OPTION_PAYLOAD:
		return "JSON, or @FILE that holds it";
	case DFF_JOB_OPTION_TEXT:
	case DFF_JOB_OPTION_TRUE:
	case DFF_JOB_OPTION_FALSE:
		return "UTF-8 text";
	}
	return "";
}

bool
dff_job_option_set (json_t *job, int option, const char *value)
{
	const struct job_option *job_option = &job_options[option - DFF_JOB_OPTION_FIRST];
	json_t *parsed = parse_value (job_option->type, value);
	if (parsed != NULL)
		return json_object_set_new (job, job_option->key, parsed) == 0;
	fprintf (stderr, "dragonflyfold: --%s '%s': expected %s\n", job_option->name,
		 value != NULL ? value : "", expected_text (job_option->type));
	return false;
}
