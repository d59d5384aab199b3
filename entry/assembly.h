#ifndef DFF_ENTRY_ASSEMBLY_H
#define DFF_ENTRY_ASSEMBLY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/cleanup.h"
#include "common/str.h"

/*
 * Assembles a result from its chunks. The manifest is {"length", "digest", "chunks": [{"offset",
 * "length", "digest", "key"}]}. Chunks may arrive late, twice, truncated or in any order. The
 * result is returned only when every byte is there and its digest is correct.
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
 * @length: length of the complete result, bytes, as recorded with the job
 * @digest: SHA-256 of the complete result, hex, as recorded with the job
 *
 * A chunk that is listed twice is read once.
 *
 * Returns: (nullable): NULL when the manifest is malformed, differs from the recorded length or
 * digest, or its chunks leave a gap or overlap.
 */
struct dff_assembly *dff_assembly_new (struct dff_str manifest, int64_t length, const char *digest);

void dff_assembly_free (struct dff_assembly *assembly);

DFF_DEFINE_CLEANUP (dff_assembly, dff_assembly_free);

size_t dff_assembly_n_chunks (const struct dff_assembly *assembly);

const struct dff_chunk *dff_assembly_chunk (const struct dff_assembly *assembly, size_t index);

enum dff_chunk_outcome {
	DFF_CHUNK_ACCEPTED,
	/** The chunk was added before; the bytes are ignored. */
	DFF_CHUNK_DUPLICATE,
	/** Length or digest differ from the manifest; the bytes are ignored and the chunk has to be
	 * read again. */
	DFF_CHUNK_CORRUPT,
};

/** Adds the bytes of a chunk. */
enum dff_chunk_outcome
dff_assembly_add (struct dff_assembly *assembly, size_t index, struct dff_str data);

/** Returns: whether every chunk was added. */
bool dff_assembly_is_complete (const struct dff_assembly *assembly);

/** Sets @whole to the complete result, valid as long as the assembly. Returns: false when chunks
 * are missing or the digest differs from the recorded one. */
bool dff_assembly_finish (const struct dff_assembly *assembly, struct dff_str *whole);

#endif
