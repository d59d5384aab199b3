#ifndef DFF_ENTRY_ASSEMBLY_H
#define DFF_ENTRY_ASSEMBLY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/cleanup.h"
#include "common/str.h"

/*
 * Puts a result together from its chunks: {"length", "digest", "chunks": [{"offset", "length",
 * "digest", "key"}]}. Chunks may arrive late, twice, in any order or cut; the whole is handed out
 * only when every byte and the digest of the whole are right.
 */

struct dff_assembly;

struct dff_chunk {
	int64_t offset;
	int64_t length;
	/** SHA-256, hex. */
	char digest[65];
	/** Key in the object store; owned by the assembly. */
	GString *key;
};

/**
 * dff_assembly_new:
 * @manifest: the manifest object
 * @length: of the whole, as recorded with the job
 * @digest: of the whole, as recorded with the job, hex
 *
 * Returns: (nullable): NULL when the manifest is malformed, does not agree with the record, or its
 * chunks leave a gap or overlap. A chunk that is listed twice counts once.
 */
struct dff_assembly *dff_assembly_new (struct dff_str manifest, int64_t length, const char *digest);

void dff_assembly_free (struct dff_assembly *assembly);

DFF_DEFINE_CLEANUP (dff_assembly, dff_assembly_free);

size_t dff_assembly_n_chunks (const struct dff_assembly *assembly);

const struct dff_chunk *dff_assembly_chunk (const struct dff_assembly *assembly, size_t index);

enum dff_chunk_outcome {
	DFF_CHUNK_ACCEPTED,
	/** Taken before; ignored. */
	DFF_CHUNK_DUPLICATE,
	/** Other length or digest than the manifest says; ignored, to be read again. */
	DFF_CHUNK_CORRUPT,
};

/** Takes the bytes of a chunk in. */
enum dff_chunk_outcome
dff_assembly_add (struct dff_assembly *assembly, size_t index, struct dff_str data);

/** Whether every chunk was taken. */
bool dff_assembly_is_complete (const struct dff_assembly *assembly);

/** Sets @whole to the result, valid as long as the assembly. Returns: false when it is not complete
 * or its digest is not the recorded one. */
bool dff_assembly_finish (const struct dff_assembly *assembly, struct dff_str *whole);

#endif
