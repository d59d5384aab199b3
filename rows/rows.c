#include "rows/rows.h"

void
dff_rows_key_after (const struct dff_row *row, GString *key)
{
	g_string_truncate (key, 0);
	g_string_append_len (key, row->key.data, (gssize)row->key.len);
	/* One more byte, the lowest that a key takes. */
	g_string_append_c (key, ' ');
}
