#include "bench/load_pool.h"

#include <stdio.h>

struct dff_pool *
dff_load_pool (const char *path)
{
	g_autoptr (GError) error = NULL;
	g_autofree char *data = NULL;
	gsize len = 0;
	if (!g_file_get_contents (path, &data, &len, &error)) {
		fprintf (stderr, "%s\n", error->message);
		return NULL;
	}
	g_autoptr (GPtrArray) errors = g_ptr_array_new_with_free_func (g_free);
	struct dff_pool *pool = dff_pool_parse ((struct dff_str){data, len}, path, errors, NULL);
	for (guint i = 0; i < errors->len; i++)
		fprintf (stderr, "%s\n", (const char *)g_ptr_array_index (errors, i));
	return pool;
}
