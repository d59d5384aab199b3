#include "rows/rows.h"

/** Rows of the largest page: the store's own limit. */
#define PAGE_ROWS_MAX 500
/** Rows of the smallest, and the longest wait for one, ms: a full page of jobs has taken 1.4 s
 * where it takes 0.1 s otherwise, and one that is given up on each time ends in no reading at all.
 */
#define PAGE_ROWS_MIN 25
#define PAGE_TIMEOUT_MAX_MS 5000

void
dff_rows_page_init (struct dff_rows_page *page, int32_t timeout_ms)
{
	page->limit = PAGE_ROWS_MAX;
	page->timeout_ms = timeout_ms;
}

void
dff_rows_page_shrink (struct dff_rows_page *page)
{
	page->limit = MAX (page->limit / 2, PAGE_ROWS_MIN);
	page->timeout_ms = MIN (page->timeout_ms * 2, PAGE_TIMEOUT_MAX_MS);
}

void
dff_rows_key_after (const struct dff_row *row, GString *key)
{
	g_string_truncate (key, 0);
	g_string_append_len (key, row->key.data, (gssize)row->key.len);
	/* One more byte, the lowest that a key takes. */
	g_string_append_c (key, ' ');
}
