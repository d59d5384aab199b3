#ifndef DFF_CLIENT_FILE_H
#define DFF_CLIENT_FILE_H

#include <glib.h>
#include <stdbool.h>

#include "common/str.h"

/** Reads a whole file; "-": standard input. Returns: (transfer full) (nullable): its bytes; NULL
 * after an error message. */
GString *dff_file_read (const char *path);

/** Writes a file atomically; "-": standard output. Returns: false after an error message. */
bool dff_file_write (const char *path, struct dff_str bytes);

#endif
