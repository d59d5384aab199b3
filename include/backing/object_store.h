#ifndef DFF_BACKING_OBJECT_STORE_H
#define DFF_BACKING_OBJECT_STORE_H

#include <stdint.h>

#include "common/str.h"

/* The platform's object store: immutable byte objects by key. Asynchronous like the table. */

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
 * @put: writes a whole object; writing the same bytes under the same key again has no effect
 * @get: reads a whole object
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
