#ifndef DFF_CLIENT_FILE_H
#define DFF_CLIENT_FILE_H

#include <glib.h>
#include <stdbool.h>

#include "common/str.h"

/** Reads a whole file, "-" for standard input; says on standard error why it cannot. Returns:
 * (transfer full) (nullable): its bytes. */
GString *dff_file_read (const char *path);

/** Writes a whole file or nothing, "-" for standard output; says on standard error why it cannot.
 */
bool dff_file_write (const char *path, struct dff_str bytes);

#endif
