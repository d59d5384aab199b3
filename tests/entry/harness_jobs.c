#include "harness.h"

#include <jansson.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "cell/job_row.h"

/* What the holder of the cell, the workers and the store do with jobs. */

#define RESULT_CHUNK 8

static void
check_committed (void *user, const struct dff_table_result *result)
{
	(void)user;
	assert_int_equal (result->outcome, DFF_TABLE_OK);
}

static void
check_put (void *user, const struct dff_object_result *result)
{
	(void)user;
	assert_int_equal (result->outcome, DFF_OBJECT_OK);
}

void
harness_put_object (struct harness *harness, const char *key, const char *text)
{
	harness->holder->objects.put (harness->holder, dff_str_from (key), dff_str_from (text),
				      check_put, NULL);
}

static void
write_result (struct harness *harness, struct dff_job_row *row, const char *result)
{
	size_t len = strlen (result);
	g_autofree char *digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, result, -1);
	json_t *chunks = json_array ();
	for (size_t offset = 0; offset < len; offset += RESULT_CHUNK) {
		g_autofree char *part = g_strndup (result + offset, RESULT_CHUNK);
		g_autofree char *key = g_strdup_printf ("part/%s/%zu", row->spec.id.data, offset);
		g_autofree char *part_digest =
			g_compute_checksum_for_string (G_CHECKSUM_SHA256, part, -1);
		if ((int64_t)offset != harness->missing_chunk_offset)
			harness_put_object (harness, key, part);
		json_t *chunk =
			json_pack ("{s:I,s:I,s:s,s:s}", "offset", (json_int_t)offset, "length",
				   (json_int_t)strlen (part), "digest", part_digest, "key", key);
		json_array_insert_new (chunks, 0, chunk);
	}
	json_t *manifest = json_pack ("{s:I,s:s,s:o}", "length", (json_int_t)len, "digest", digest,
				      "chunks", chunks);
	g_autofree char *text = json_dumps (manifest, JSON_COMPACT);
	json_decref (manifest);
	row->result.manifest_key = dff_name_printf ("m.%.40s", row->spec.id.data);
	row->result.length = (int64_t)len;
	g_strlcpy (row->result.digest, digest, sizeof (row->result.digest));
	harness_put_object (harness, row->result.manifest_key.data, text);
}

void
harness_end_job (struct harness *harness,
		 const struct dff_name *job,
		 enum dff_outcome outcome,
		 const char *result)
{
	struct dff_table_row read;
	g_autoptr (GString) key = dff_job_row_key (job);
	struct dff_str key_text = {key->str, key->len};
	assert_true (dff_memory_peek (harness->memory, key_text, &read));
	DFF_AUTO (dff_job_row) row = dff_job_row_decode (read.value, read.revision, NULL);
	row->state = DFF_JOB_ROW_ENDED;
	row->outcome = outcome;
	row->attempt = 1;
	row->ended_wall_ms = harness->clock.now_ms;
	if (result != NULL)
		write_result (harness, row, result);
	g_autoptr (GString) value = dff_job_row_encode (row);
	struct dff_table_condition condition = {key_text, read.revision};
	struct dff_table_write write = {key_text, {value->str, value->len}};
	struct dff_table_txn txn = {
		.write_id = dff_name_printf ("holder.%" G_GUINT64_FORMAT, ++harness->n_writes),
		.conditions = &condition,
		.n_conditions = 1,
		.writes = &write,
		.n_writes = 1,
	};
	harness->holder->table.commit (harness->holder, &txn, check_committed, NULL);
}
