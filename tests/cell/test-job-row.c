#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "cell/job_row.h"
#include "record/recorder.h"

#define HASH "0123456789abcdef0123456789abcdef"

struct id_case {
	const char *id;
	const char *region;
};

static void
test_region_of_id (void **state)
{
	(void)state;
	static const struct id_case cases[] = {
		{"north." HASH, "north"},
		{"north." HASH ".17", "north"},
		{"sk.central." HASH ".0", "sk.central"},
		{"north.123", ""},
		{"north", ""},
		{"." HASH, ""},
		{"averyverylongregion." HASH, ""},
		{"north." HASH ".x", ""},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct dff_name id = dff_name_from (cases[i].id);
		struct dff_name region = dff_job_id_region (&id);
		assert_string_equal (region.data, cases[i].region);
	}
}

static struct dff_job_row *
full_row (void)
{
	struct dff_job_row *row = dff_job_row_new ();
	row->spec = (struct dff_job_spec){
		.id = dff_name_from ("north." HASH ".3"),
		.team = dff_name_from ("a"),
		.service = dff_name_from ("casework"),
		.region = dff_name_from ("north"),
		.gang = 2,
		.per_task = {1, 4, 8, 8},
		.adjacency = DFF_ADJACENCY_RACK,
		.urgent = true,
		.checkpoint = true,
		.declared_ms = 600000,
		.max_attempts = 3,
	};
	row->state = DFF_JOB_ROW_OPEN;
	row->attempt = 2;
	for (int i = 0; i < 2; i++) {
		struct dff_placement placement = {
			.worker = dff_name_printf ("w%d", i),
			.accelerators = i == 0 ? UINT64_MAX : 0xf0,
		};
		int64_t incarnation = 1700000000000 + i;
		g_array_append_val (row->placements, placement);
		g_array_append_val (row->incarnations, incarnation);
	}
	row->cancel_requested = true;
	row->reason = dff_name_from ("worker_lost");
	row->result.manifest_key = dff_name_from ("r1");
	row->result.length = INT64_C (5000000000);
	g_strlcpy (row->result.digest, "ab12", sizeof (row->result.digest));
	row->batch = dff_name_from ("north." HASH);
	row->submitted_wall_ms = 12;
	row->ended_wall_ms = 34;
	row->epoch = 9;
	g_string_assign (row->payload, "{\"letter\":\"d\xc3\xa9 \\u0000\"}");
	g_string_assign (row->traceparent, "00-1-2-01");
	return row;
}

static void
test_round_trip (void **state)
{
	(void)state;
	DFF_AUTO (dff_job_row) row = full_row ();
	g_autoptr (GString) value = dff_job_row_encode (row);
	struct dff_str text = {value->str, value->len};
	DFF_AUTO (dff_job_row) read = dff_job_row_decode (text, 77, NULL);
	assert_non_null (read);
	assert_int_equal (read->revision, 77);
	g_autoptr (GString) again = dff_job_row_encode (read);
	assert_string_equal (again->str, value->str);
	assert_true (g_array_index (read->placements, struct dff_placement, 0).accelerators ==
		     UINT64_MAX);
	assert_true (g_array_index (read->incarnations, int64_t, 1) == 1700000000001);
	assert_true (read->cancel_requested && read->spec.urgent && !read->spec.idempotent);
	assert_string_equal (read->payload->str, row->payload->str);
	g_autoptr (GString) key = dff_job_row_key (&read->spec.id);
	assert_string_equal (key->str, "job/north/north." HASH ".3");
}

#define SPEC(gang) "\"spec\":{\"id\":\"a.b\",\"adjacency\":\"none\",\"gang\":" gang "}"

static void
test_malformed_rows_are_refused (void **state)
{
	(void)state;
	static const char *const cases[] = {
		"",
		"[]",
		"{\"state\":\"queued\",\"outcome\":\"none\"}",
		"{\"state\":\"asleep\",\"outcome\":\"none\"," SPEC ("1") "}",
		"{\"state\":\"queued\",\"outcome\":\"perhaps\"," SPEC ("1") "}",
		"{\"state\":\"queued\",\"outcome\":\"none\"," SPEC ("0") "}",
		"{\"state\":\"queued\",\"outcome\":\"none\"," SPEC ("129") "}",
		"{\"state\":\"queued\",\"outcome\":\"none\"," SPEC ("-1") "}",
		"{\"state\":\"open\",\"outcome\":\"none\"," SPEC ("2") "}",
		"{\"state\":\"open\",\"outcome\":\"none\",\"placements\":[[1,2]]," SPEC ("1") "}",
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		g_autoptr (GError) error = NULL;
		assert_null (dff_job_row_decode (dff_str_from (cases[i]), 1, &error));
		assert_non_null (error);
	}
	const char *valid = "{\"state\":\"queued\",\"outcome\":\"none\"," SPEC ("1") "}";
	DFF_AUTO (dff_job_row) row = dff_job_row_decode (dff_str_from (valid), 1, NULL);
	assert_non_null (row);
}

/* Guards against an accepted job that can never be started, or whose end can never be recorded. A
 * gang's row is as large as is accepted; then the start intent, the result and the reason are
 * added, and the row still has to fit. */
static void
test_largest_row_fits_after_growth (void **state)
{
	(void)state;
	g_autofree char *longest = g_strnfill (DFF_NAME_MAX, 'n');
	DFF_AUTO (dff_job_row) row = full_row ();
	g_array_set_size (row->placements, 0);
	g_array_set_size (row->incarnations, 0);
	row->spec.gang = DFF_JOB_GANG_MAX;
	row->state = DFF_JOB_ROW_QUEUED;
	row->cancel_requested = false;
	row->result.manifest_key.len = 0;
	row->reason.len = 0;
	g_string_set_size (row->payload, 0);
	g_autoptr (GString) empty = dff_job_row_encode (row);
	size_t payload_len = DFF_JOB_ROW_MAX_BYTES - empty->len - sizeof (",\"payload\":\"\"") + 1;
	g_autofree char *payload = g_strnfill (payload_len, 'x');
	g_string_assign (row->payload, payload);
	assert_true (dff_job_row_fits (row));
	g_string_append_c (row->payload, 'x');
	assert_false (dff_job_row_fits (row));
	row->state = DFF_JOB_ROW_OPEN;
	row->attempt = INT32_MAX;
	row->epoch = row->submitted_wall_ms = row->ended_wall_ms = INT64_MAX;
	row->cancel_requested = true;
	row->reason = row->result.manifest_key = row->batch = dff_name_from (longest);
	row->result.length = INT64_MAX;
	memset (row->result.digest, 'f', sizeof (row->result.digest) - 1);
	for (int i = 0; i < DFF_JOB_GANG_MAX; i++) {
		struct dff_placement placement = {dff_name_from (longest), INT64_MAX};
		int64_t incarnation = INT64_MAX;
		g_array_append_val (row->placements, placement);
		g_array_append_val (row->incarnations, incarnation);
	}
	g_autoptr (GString) grown = dff_job_row_encode (row);
	/* The row's key, and the row of an Idempotency-Key that is recorded with it. */
	size_t keys = (size_t)4 * DFF_NAME_MAX;
	assert_true (grown->len + keys <= DFF_RECORD_MAX_UNIT_BYTES);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_region_of_id),
		cmocka_unit_test (test_round_trip),
		cmocka_unit_test (test_malformed_rows_are_refused),
		cmocka_unit_test (test_largest_row_fits_after_growth),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
