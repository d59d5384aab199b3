#include "entry/assembly.h"

#include <jansson.h>
#include <string.h>

#include "common/digest.h"

#define DIGEST_DIGITS 64

struct dff_assembly {
	char digest[DIGEST_DIGITS + 1];
	int64_t length;
	/** Elements: struct dff_chunk, ordered by offset. */
	GArray *chunks;
	bool *received;
	size_t n_received;
	char *bytes;
};

static void
chunk_clear (gpointer data)
{
	struct dff_chunk *chunk = data;
	g_string_free (chunk->key, TRUE);
}

static bool
digest_matches (struct dff_str data, const char *digest)
{
	char actual[DFF_DIGEST_HEX_LEN + 1];
	dff_digest_hex (data, actual);
	return g_ascii_strcasecmp (actual, digest) == 0;
}

static bool
read_chunk (json_t *json, struct dff_chunk *chunk)
{
	json_int_t offset = -1;
	json_int_t length = -1;
	const char *digest = NULL;
	const char *key = NULL;
	if (json_unpack (json, "{s:I, s:I, s:s, s:s}", "offset", &offset, "length", &length,
			 "digest", &digest, "key", &key) != 0)
		return false;
	if (offset < 0 || length <= 0 || strlen (digest) != DIGEST_DIGITS || *key == '\0')
		return false;
	chunk->offset = offset;
	chunk->length = length;
	chunk->key = g_string_new (key);
	g_strlcpy (chunk->digest, digest, sizeof (chunk->digest));
	return true;
}

static int
compare_offset (gconstpointer a, gconstpointer b)
{
	const struct dff_chunk *left = a;
	const struct dff_chunk *right = b;
	return (left->offset > right->offset) - (left->offset < right->offset);
}

static bool
is_same_chunk (const struct dff_chunk *a, const struct dff_chunk *b)
{
	return a->offset == b->offset && a->length == b->length &&
	       strcmp (a->digest, b->digest) == 0;
}

static void
remove_duplicates (GArray *chunks)
{
	for (guint i = 1; i < chunks->len;) {
		const struct dff_chunk *previous = &g_array_index (chunks, struct dff_chunk, i - 1);
		const struct dff_chunk *chunk = &g_array_index (chunks, struct dff_chunk, i);
		if (is_same_chunk (previous, chunk))
			g_array_remove_index (chunks, i);
		else
			i++;
	}
}

static bool
covers_length (const GArray *chunks, int64_t length)
{
	int64_t end = 0;
	for (guint i = 0; i < chunks->len; i++) {
		const struct dff_chunk *chunk = &g_array_index (chunks, struct dff_chunk, i);
		if (chunk->offset != end || chunk->length > length - end)
			return false;
		end += chunk->length;
	}
	return end == length;
}

static bool
read_chunks (json_t *list, GArray *chunks)
{
	size_t index = 0;
	json_t *json = NULL;
	json_array_foreach (list, index, json)
	{
		struct dff_chunk chunk = {.offset = 0};
		if (!read_chunk (json, &chunk))
			return false;
		g_array_append_val (chunks, chunk);
	}
	g_array_sort (chunks, compare_offset);
	remove_duplicates (chunks);
	return true;
}

static bool
read_manifest (json_t *json, struct dff_assembly *assembly)
{
	json_int_t length = -1;
	const char *digest = NULL;
	json_t *list = NULL;
	if (json_unpack (json, "{s:I, s:s, s:o}", "length", &length, "digest", &digest, "chunks",
			 &list) != 0)
		return false;
	return length == assembly->length && g_ascii_strcasecmp (digest, assembly->digest) == 0 &&
	       json_is_array (list) && read_chunks (list, assembly->chunks) &&
	       covers_length (assembly->chunks, assembly->length);
}

struct dff_assembly *
dff_assembly_new (struct dff_str manifest, int64_t length, const char *digest)
{
	DFF_AUTO (dff_assembly) assembly = g_new0 (struct dff_assembly, 1);
	assembly->length = length;
	g_strlcpy (assembly->digest, digest, sizeof (assembly->digest));
	assembly->chunks = g_array_new (FALSE, FALSE, sizeof (struct dff_chunk));
	g_array_set_clear_func (assembly->chunks, chunk_clear);
	json_t *json = json_loadb (manifest.data, manifest.len, 0, NULL);
	bool valid = json != NULL && length >= 0 && read_manifest (json, assembly);
	json_decref (json);
	if (!valid)
		return NULL;
	assembly->received = g_new0 (bool, assembly->chunks->len + 1);
	assembly->bytes = g_malloc ((gsize)length + 1);
	return g_steal_pointer (&assembly);
}

void
dff_assembly_free (struct dff_assembly *assembly)
{
	g_array_unref (assembly->chunks);
	g_free (assembly->received);
	g_free (assembly->bytes);
	g_free (assembly);
}

size_t
dff_assembly_n_chunks (const struct dff_assembly *assembly)
{
	return assembly->chunks->len;
}

const struct dff_chunk *
dff_assembly_chunk (const struct dff_assembly *assembly, size_t index)
{
	return &g_array_index (assembly->chunks, struct dff_chunk, index);
}

enum dff_chunk_outcome
dff_assembly_add (struct dff_assembly *assembly, size_t index, struct dff_str data)
{
	const struct dff_chunk *chunk = dff_assembly_chunk (assembly, index);
	if (assembly->received[index])
		return DFF_CHUNK_DUPLICATE;
	if ((int64_t)data.len != chunk->length || !digest_matches (data, chunk->digest))
		return DFF_CHUNK_CORRUPT;
	memcpy (assembly->bytes + chunk->offset, data.data, data.len);
	assembly->received[index] = true;
	assembly->n_received++;
	return DFF_CHUNK_ACCEPTED;
}

bool
dff_assembly_is_complete (const struct dff_assembly *assembly)
{
	return assembly->n_received == assembly->chunks->len;
}

bool
dff_assembly_finish (const struct dff_assembly *assembly, struct dff_str *whole)
{
	whole->data = assembly->bytes;
	whole->len = (size_t)assembly->length;
	return dff_assembly_is_complete (assembly) && digest_matches (*whole, assembly->digest);
}
