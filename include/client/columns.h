#ifndef DFF_CLIENT_COLUMNS_H
#define DFF_CLIENT_COLUMNS_H

#include <glib.h>
#include <jansson.h>

/** Appends a JSON array of objects as aligned columns, a line per object. The first object's keys
 * are the headings. */
void dff_columns_print (const json_t *rows, GString *out);

/** Appends an object as "key  value" lines. Nested keys are "key.key"; an array is its size. */
void dff_fields_print (const json_t *object, GString *out);

#endif
