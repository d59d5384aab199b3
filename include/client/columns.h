#ifndef DFF_CLIENT_COLUMNS_H
#define DFF_CLIENT_COLUMNS_H

#include <glib.h>
#include <jansson.h>

/** Appends a JSON array of objects as aligned columns, one line each, under the first one's keys.
 */
void dff_columns_print (const json_t *rows, GString *out);

/** Appends an object as "key  value" lines; members of members as "key.key", arrays as their size.
 */
void dff_fields_print (const json_t *object, GString *out);

#endif
