#include "peer/deflate.h"

#include <zlib.h>

GByteArray *
dff_deflate (struct dff_str text)
{
	uLongf len = compressBound (text.len);
	GByteArray *deflated = g_byte_array_sized_new ((guint)len);
	g_byte_array_set_size (deflated, (guint)len);
	int status = compress (deflated->data, &len, (const Bytef *)text.data, text.len);
	g_assert (status == Z_OK);
	g_byte_array_set_size (deflated, (guint)len);
	return deflated;
}

char *
dff_inflate (const uint8_t *data, size_t len, size_t length)
{
	char *text = g_malloc (length);
	uLongf inflated = length;
	int status = uncompress ((Bytef *)text, &inflated, data, len);
	if (status == Z_OK && inflated == length)
		return text;
	g_free (text);
	return NULL;
}
