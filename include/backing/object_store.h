#ifndef DFF_BACKING_OBJECT_STORE_H
#define DFF_BACKING_OBJECT_STORE_H

#include <stdint.h>

#include "common/str.h"

/* The platform's object store: immutable objects of bytes under keys. Asynchronous like the table.
 */

enum dff_object_outcome {
	DFF_OBJECT_OK,
	DFF_OBJECT_NOT_FOUND,
	DFF_OBJECT_UNAVAILABLE,
};

struct dff_object_result {
	enum dff_object_outcome outcome;
	/** The object, valid in the callback only. */
	struct dff_str data;
};

typedef void (*dff_object_func) (void *user, const struct dff_object_result *result);

/**
 * struct dff_object_store:
 * @put: writes an object whole; writing the same key again with the same bytes is harmless
 * @get: reads an object whole
 */
struct dff_object_store {
	void (*put) (void *ctx,
		     struct dff_str key,
		     struct dff_str data,
		     dff_object_func done,
		     void *user);
	void (*get) (void *ctx, struct dff_str key, dff_object_func done, void *user);
	void *ctx;
};

#endif
