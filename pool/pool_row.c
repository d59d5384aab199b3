#include "pool/pool_row.h"

#include <jansson.h>

#include "pool/pool.h"

GString *
dff_pool_row_encode (int64_t generation, struct dff_str text)
{
	json_t *row = json_pack ("{s:I, s:s%}", "generation", (json_int_t)generation, "text",
				 text.data, text.len);
	g_assert (row != NULL);
	char *encoded = json_dumps (row, JSON_COMPACT);
	GString *value = g_string_new (encoded);
	free (encoded);
	json_decref (row);
	return value;
}

GString *
dff_pool_row_decode (struct dff_str value, int64_t *generation, GError **error)
{
	json_error_t json_error;
	json_t *row = json_loadb (value.data, value.len, 0, &json_error);
	json_int_t stored = 0;
	const char *text = NULL;
	size_t len = 0;
	bool valid =
		row != NULL &&
		json_unpack (row, "{s:I, s:s%}", "generation", &stored, "text", &text, &len) == 0 &&
		stored >= 1;
	GString *copy = valid ? g_string_new_len (text, (gssize)len) : NULL;
	json_decref (row);
	if (!valid) {
		g_set_error_literal (error, DFF_POOL_ERROR, DFF_POOL_ERROR_SYNTAX,
				     "The pool row is not {\"generation\", \"text\"}");
		return NULL;
	}
	*generation = stored;
	return copy;
}
