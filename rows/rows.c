#include "rows/rows.h"

void
dff_rows_key_after (const struct dff_row *row, GString *key)
{
	g_string_truncate (key, 0);
	g_string_append_len (key, row->key.data, (gssize)row->key.len);
	/* Appends the lowest byte that a key may contain. */
	g_string_append_c (key, ' ');
}
