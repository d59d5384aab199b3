#include "client/file.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#define READ_BYTES 65536

static GString *
read_stream (FILE *stream, const char *name)
{
	g_autoptr (GString) text = g_string_new (NULL);
	char buffer[READ_BYTES];
	size_t len;
	while ((len = fread (buffer, 1, sizeof (buffer), stream)) > 0)
		g_string_append_len (text, buffer, (gssize)len);
	if (ferror (stream) == 0)
		return g_steal_pointer (&text);
	fprintf (stderr, "dragonflyfold: %s: %s\n", name, g_strerror (errno));
	return NULL;
}

GString *
dff_file_read (const char *path)
{
	if (strcmp (path, "-") == 0)
		return read_stream (stdin, "standard input");
	FILE *stream = fopen (path, "rb");
	if (stream == NULL) {
		fprintf (stderr, "dragonflyfold: %s: %s\n", path, g_strerror (errno));
		return NULL;
	}
	GString *text = read_stream (stream, path);
	fclose (stream);
	return text;
}

bool
dff_file_write (const char *path, struct dff_str bytes)
{
	if (strcmp (path, "-") == 0) {
		size_t written = fwrite (bytes.data, 1, bytes.len, stdout);
		return written == bytes.len && fflush (stdout) == 0;
	}
	g_autoptr (GError) error = NULL;
	if (g_file_set_contents (path, bytes.data, (gssize)bytes.len, &error))
		return true;
	fprintf (stderr, "dragonflyfold: %s\n", error->message);
	return false;
}
