#ifndef DFF_POOL_READER_H
#define DFF_POOL_READER_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"
#include "pool/pool.h"

/* Reads typed fields from a JSON tree, keeps the path of the current entry, and collects every
 * error with its line. A field that is missing or invalid leaves its target unchanged. */

struct dff_pool_reader {
	struct dff_str text;
	const char *source;
	/** (nullable) */
	GPtrArray *errors;
	GError **error;
	/** Path of the current entry, such as "teams[2].name". */
	GString *path;
	int n_errors;
};

/** Reports an error at the current path. */
void dff_pool_reader_report (struct dff_pool_reader *reader,
			     enum dff_pool_error code,
			     const char *format,
			     ...) G_GNUC_PRINTF (3, 4);

/** Enters @key, or element @index if @key is NULL. Returns: position for _leave(). */
gsize dff_pool_reader_enter (struct dff_pool_reader *reader, const char *key, size_t index);

void dff_pool_reader_leave (struct dff_pool_reader *reader, gsize mark);

/** Reports a value that is not an object, and keys that are not in the NULL-terminated @allowed. */
bool dff_pool_reader_object (struct dff_pool_reader *reader,
			     const json_t *value,
			     const char *const *allowed);

struct dff_pool_int_field {
	const char *key;
	bool required;
	int32_t min, max;
};

void dff_pool_reader_int (struct dff_pool_reader *reader,
			  const json_t *object,
			  const struct dff_pool_int_field *field,
			  int32_t *out);

/** Reads a value that must be a name of at most @max_len bytes. */
bool dff_pool_reader_name_value (struct dff_pool_reader *reader,
				 const json_t *value,
				 size_t max_len,
				 struct dff_name *out);

bool dff_pool_reader_name (struct dff_pool_reader *reader,
			   const json_t *object,
			   const char *key,
			   size_t max_len,
			   struct dff_name *out);

typedef void (*dff_pool_element_func) (struct dff_pool_reader *reader,
				       const json_t *element,
				       void *user);

/** Calls @each for every element of array @key. */
void dff_pool_reader_array (struct dff_pool_reader *reader,
			    const json_t *object,
			    const char *key,
			    bool required,
			    dff_pool_element_func each,
			    void *user);

#endif
