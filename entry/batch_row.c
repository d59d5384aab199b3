#include <jansson.h>
#include <string.h>

#include "cell/job_row.h"
#include "entry/batch.h"

#define HASH_DIGITS 32

GString *
dff_batch_row_encode (const struct dff_batch_row *row)
{
	json_t *json = json_pack ("{s:s, s:i, s:s}", "team", row->team.data, "manifest",
				  row->manifest, "digest", row->digest);
	if (row->accepted >= 0)
		json_object_set_new (json, "accepted", json_integer (row->accepted));
	g_autofree char *text = json_dumps (json, JSON_COMPACT);
	json_decref (json);
	return g_string_new (text);
}

bool
dff_batch_row_decode (struct dff_str value, struct dff_batch_row *row)
{
	const char *team = NULL;
	const char *digest = NULL;
	memset (row, 0, sizeof (*row));
	row->accepted = -1;
	json_t *json = json_loadb (value.data, value.len, 0, NULL);
	bool valid = json != NULL && json_unpack (json, "{s:s, s:i, s:s, s?i}", "team", &team,
						  "manifest", &row->manifest, "digest", &digest,
						  "accepted", &row->accepted) == 0;
	valid = valid && row->manifest > 0 && dff_name_parse (dff_str_from (team), &row->team);
	if (valid)
		g_strlcpy (row->digest, digest, sizeof (row->digest));
	json_decref (json);
	return valid;
}

GString *
dff_batch_row_key (const struct dff_name *id)
{
	const char *dot = strrchr (id->data, '.');
	if (dot == NULL || strlen (dot + 1) != HASH_DIGITS)
		return NULL;
	GString *key = g_string_new ("batch/");
	g_string_append_len (key, id->data, dot - id->data);
	g_string_append_printf (key, "/%s", dot + 1);
	return key;
}

GString *
dff_batch_job_prefix (const struct dff_name *id)
{
	const char *dot = strrchr (id->data, '.');
	GString *prefix = g_string_new ("job/");
	g_string_append_len (prefix, id->data, dot - id->data);
	g_string_append_printf (prefix, "/%s.", id->data);
	return prefix;
}
