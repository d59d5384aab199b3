#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <inttypes.h>
#include <string.h>

#include "entry/assembly.h"

static const char whole[] = "0123456789abcdef";
#define WHOLE_LEN 16

static char *
digest_of (const char *text, size_t len)
{
	return g_compute_checksum_for_data (G_CHECKSUM_SHA256, (const guchar *)text, len);
}

struct span {
	int64_t offset, length;
};

static GString *
manifest_of (const struct span *chunks, size_t n_chunks)
{
	GString *text = g_string_new (NULL);
	g_autofree char *digest = digest_of (whole, WHOLE_LEN);
	g_string_printf (text, "{\"length\":%d,\"digest\":\"%s\",\"chunks\":[", WHOLE_LEN, digest);
	for (size_t i = 0; i < n_chunks; i++) {
		int64_t offset = chunks[i].offset;
		bool inside = offset >= 0 && offset + chunks[i].length <= WHOLE_LEN;
		g_autofree char *chunk_digest =
			digest_of (whole + (inside ? offset : 0), (size_t)chunks[i].length);
		g_string_append_printf (text,
					"%s{\"offset\":%" PRId64 ",\"length\":%" PRId64
					",\"digest\":\"%s\",\"key\":\"k%" PRId64 "\"}",
					i == 0 ? "" : ",", offset, chunks[i].length, chunk_digest,
					offset);
	}
	g_string_append (text, "]}");
	return text;
}

static struct dff_assembly *
assembly_of (const struct span *chunks, size_t n_chunks)
{
	g_autoptr (GString) manifest = manifest_of (chunks, n_chunks);
	g_autofree char *digest = digest_of (whole, WHOLE_LEN);
	struct dff_str text = {manifest->str, manifest->len};
	return dff_assembly_new (text, WHOLE_LEN, digest);
}

struct manifest_case {
	const char *what;
	struct span chunks[4];
	size_t n_chunks;
	/** 0: the manifest is rejected. */
	size_t n_usable;
};

static void
test_manifests (void **state)
{
	(void)state;
	static const struct manifest_case cases[] = {
		{"one chunk", {{0, 16}}, 1, 1},
		{"in order", {{0, 6}, {6, 10}}, 2, 2},
		{"out of order", {{6, 10}, {0, 6}}, 2, 2},
		{"listed twice", {{0, 6}, {6, 10}, {0, 6}}, 3, 2},
		{"gap", {{0, 6}, {7, 9}}, 2, 0},
		{"overlap", {{0, 6}, {5, 11}}, 2, 0},
		{"truncated", {{0, 6}, {6, 9}}, 2, 0},
		{"too long", {{0, 6}, {6, 11}}, 2, 0},
		{"negative offset", {{-1, 16}}, 1, 0},
		{"empty chunk", {{0, 0}, {0, 16}}, 2, 0},
		{"no chunks", {{0, 0}}, 0, 0},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		DFF_AUTO (dff_assembly)
		assembly = assembly_of (cases[i].chunks, cases[i].n_chunks);
		size_t n = assembly == NULL ? 0 : dff_assembly_n_chunks (assembly);
		if (n != cases[i].n_usable)
			fail_msg ("%s: %zu chunks", cases[i].what, n);
	}
}

static void
test_manifest_differs_from_record (void **state)
{
	(void)state;
	static const struct span one = {0, WHOLE_LEN};
	g_autoptr (GString) manifest = manifest_of (&one, 1);
	struct dff_str text = {manifest->str, manifest->len};
	struct dff_str malformed = {manifest->str, manifest->len - 1};
	g_autofree char *right = digest_of (whole, WHOLE_LEN);
	g_autofree char *wrong = digest_of (whole, WHOLE_LEN - 1);
	assert_null (dff_assembly_new (text, WHOLE_LEN, wrong));
	assert_null (dff_assembly_new (text, WHOLE_LEN - 1, right));
	assert_null (dff_assembly_new (malformed, WHOLE_LEN, right));
}

static enum dff_chunk_outcome
add (struct dff_assembly *assembly, size_t index, size_t cut, bool flip)
{
	const struct dff_chunk *chunk = dff_assembly_chunk (assembly, index);
	g_autofree char *bytes = g_memdup2 (whole + chunk->offset, (gsize)chunk->length);
	if (flip)
		bytes[0] ^= 1;
	struct dff_str data = {bytes, (size_t)chunk->length - cut};
	return dff_assembly_add (assembly, index, data);
}

/* Guards against a result with missing or foreign bytes. Chunks arrive out of order, and some are
 * repeated, truncated or damaged; appending them as they arrive would give a wrong result. */
static void
test_reordered_repeated_and_damaged_chunks (void **state)
{
	(void)state;
	static const struct span chunks[] = {{0, 4}, {4, 4}, {8, 8}};
	DFF_AUTO (dff_assembly) assembly = assembly_of (chunks, G_N_ELEMENTS (chunks));
	struct dff_str result;
	assert_int_equal (add (assembly, 2, 0, false), DFF_CHUNK_ACCEPTED);
	assert_int_equal (add (assembly, 0, 1, false), DFF_CHUNK_CORRUPT);
	assert_int_equal (add (assembly, 2, 0, false), DFF_CHUNK_DUPLICATE);
	assert_int_equal (add (assembly, 0, 0, true), DFF_CHUNK_CORRUPT);
	assert_int_equal (add (assembly, 0, 0, false), DFF_CHUNK_ACCEPTED);
	assert_false (dff_assembly_finish (assembly, &result));
	assert_int_equal (add (assembly, 1, 0, false), DFF_CHUNK_ACCEPTED);
	assert_true (dff_assembly_is_complete (assembly));
	assert_true (dff_assembly_finish (assembly, &result));
	assert_int_equal (result.len, WHOLE_LEN);
	assert_memory_equal (result.data, whole, WHOLE_LEN);
}

/* Guards against returning another attempt's bytes. Two attempts of a job write their chunks under
 * the same keys: each chunk has the digest in the manifest, but the complete result does not have
 * the recorded digest. Checking only the chunks would not detect that. */
static void
test_result_digest_is_checked (void **state)
{
	(void)state;
	static const char other[] = "another answer!!";
	const struct span halves[] = {{0, 8}, {8, 8}};
	g_autoptr (GString) manifest = manifest_of (halves, G_N_ELEMENTS (halves));
	g_autofree char *own = digest_of (whole + 8, 8);
	g_autofree char *others = digest_of (other + 8, 8);
	assert_int_equal (g_string_replace (manifest, own, others, 0), 1);
	g_autofree char *digest = digest_of (whole, WHOLE_LEN);
	struct dff_str text = {manifest->str, manifest->len};
	DFF_AUTO (dff_assembly) assembly = dff_assembly_new (text, WHOLE_LEN, digest);
	assert_non_null (assembly);
	struct dff_str result;
	struct dff_str second = {other + 8, 8};
	assert_int_equal (add (assembly, 0, 0, false), DFF_CHUNK_ACCEPTED);
	assert_int_equal (dff_assembly_add (assembly, 1, second), DFF_CHUNK_ACCEPTED);
	assert_true (dff_assembly_is_complete (assembly));
	assert_false (dff_assembly_finish (assembly, &result));
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_manifests),
		cmocka_unit_test (test_manifest_differs_from_record),
		cmocka_unit_test (test_reordered_repeated_and_damaged_chunks),
		cmocka_unit_test (test_result_digest_is_checked),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
