#include "compat.h"

#include <jansson.h>
#include <string.h>

#include "backing/instance_wire.h"
#include "backing/table_wire.h"
#include "cell/job_row.h"
#include "cell/lease_rows.h"
#include "entry/answer.h"
#include "entry/batch.h"
#include "pool/pool_row.h"

/* Rows of the platform's table, stored answers to short requests, and bodies of HTTP messages with
 * rows and instances. */

#define HASH "0123456789abcdef0123456789abcdef"
#define DIGEST HASH HASH
#define TRACEPARENT "00-" HASH "-0123456789abcdef-01"
#define N_JOB_ROWS 6

static const enum dff_outcome outcomes[N_JOB_ROWS] = {
	DFF_OUTCOME_NONE,      DFF_OUTCOME_COMPLETED, DFF_OUTCOME_FAILED,
	DFF_OUTCOME_CANCELLED, DFF_OUTCOME_NOT_RUN,   DFF_OUTCOME_UNKNOWN,
};

static const enum dff_job_row_state states[] = {DFF_JOB_ROW_OPEN, DFF_JOB_ROW_QUEUED,
						DFF_JOB_ROW_ENDED};

static const enum dff_adjacency adjacencies[] = {DFF_ADJACENCY_RACK, DFF_ADJACENCY_NONE,
						 DFF_ADJACENCY_NEIGHBOURS};

static void
add_placements (struct dff_job_row *row)
{
	for (int i = 0; i < 2; i++) {
		struct dff_placement placement = {
			.worker = dff_name_printf ("w%d", i),
			.accelerators = i == 0 ? UINT64_MAX : 0xf0,
		};
		int64_t incarnation = 1700000000000 + i;
		g_array_append_val (row->placements, placement);
		g_array_append_val (row->incarnations, incarnation);
	}
}

/* Records with an even index have every member, those with an odd index only the required ones. */
static struct dff_job_row *
full_job (size_t record)
{
	struct dff_job_row *row = dff_job_row_new ();
	bool full = record % 2 == 0;
	row->spec = (struct dff_job_spec){
		.id = dff_name_from ("north." HASH ".3"),
		.team = dff_name_from ("casework"),
		.service = dff_name_from ("archive"),
		.region = dff_name_from ("north"),
		.gang = 2,
		.per_task = {.slots = 1, .cores = 4, .memory_gb = 16, .accelerators = 8},
		.adjacency = adjacencies[record % G_N_ELEMENTS (adjacencies)],
		.urgent = full,
		.guaranteed = record % 3 == 0,
		.checkpoint = record % 4 == 0,
		.idempotent = !full,
		.declared_ms = full ? 600000 : 0,
		.max_attempts = 3,
	};
	row->state = states[record % G_N_ELEMENTS (states)];
	row->outcome = outcomes[record];
	row->attempt = full ? 2 : 0;
	if (row->state == DFF_JOB_ROW_OPEN)
		add_placements (row);
	row->cancel_requested = full;
	row->submitted_wall_ms = 1790000000123;
	row->epoch = full ? 41 : 0;
	g_string_assign (row->payload, "{\"text\":\"\xc3\xa9 \\\"quoted\\\"\"}\n");
	if (!full)
		return row;
	row->reason = dff_name_from ("worker_lost");
	row->result.manifest_key = dff_name_from ("result.1");
	row->result.length = 5000000000;
	strcpy (row->result.digest, DIGEST);
	row->batch = dff_name_from ("north." HASH);
	row->ended_wall_ms = 1790000060123;
	g_string_assign (row->traceparent, TRACEPARENT);
	return row;
}

static GString *
encode_job (size_t record)
{
	DFF_AUTO (dff_job_row) row = full_job (record);
	return dff_job_row_encode (row);
}

static void
check_spec (const struct dff_job_spec *spec, const struct dff_job_spec *expected)
{
	check_same_name (&spec->id, &expected->id);
	check_same_name (&spec->team, &expected->team);
	check_same_name (&spec->service, &expected->service);
	check_same_name (&spec->region, &expected->region);
	assert_int_equal (spec->gang, expected->gang);
	assert_int_equal (spec->per_task.slots, expected->per_task.slots);
	assert_int_equal (spec->per_task.cores, expected->per_task.cores);
	assert_int_equal (spec->per_task.memory_gb, expected->per_task.memory_gb);
	assert_int_equal (spec->per_task.accelerators, expected->per_task.accelerators);
	assert_int_equal (spec->adjacency, expected->adjacency);
	assert_int_equal (spec->urgent, expected->urgent);
	assert_int_equal (spec->guaranteed, expected->guaranteed);
	assert_int_equal (spec->checkpoint, expected->checkpoint);
	assert_int_equal (spec->idempotent, expected->idempotent);
	assert_int_equal (spec->declared_ms, expected->declared_ms);
	assert_int_equal (spec->max_attempts, expected->max_attempts);
}

static void
check_placements (const struct dff_job_row *row, const struct dff_job_row *expected)
{
	assert_int_equal (row->placements->len, expected->placements->len);
	assert_int_equal (row->incarnations->len, expected->incarnations->len);
	for (guint i = 0; i < row->placements->len; i++) {
		const struct dff_placement *placement =
			&g_array_index (row->placements, struct dff_placement, i);
		const struct dff_placement *other =
			&g_array_index (expected->placements, struct dff_placement, i);
		check_same_name (&placement->worker, &other->worker);
		assert_true (placement->accelerators == other->accelerators);
		assert_int_equal (g_array_index (row->incarnations, int64_t, i),
				  g_array_index (expected->incarnations, int64_t, i));
	}
}

static void
check_job (size_t record, struct dff_str bytes)
{
	g_autoptr (GError) error = NULL;
	DFF_AUTO (dff_job_row) row = dff_job_row_decode (bytes, 9, &error);
	DFF_AUTO (dff_job_row) expected = full_job (record);
	assert_non_null (row);
	check_spec (&row->spec, &expected->spec);
	assert_int_equal (row->state, expected->state);
	assert_int_equal (row->attempt, expected->attempt);
	check_placements (row, expected);
	assert_int_equal (row->cancel_requested, expected->cancel_requested);
	assert_int_equal (row->outcome, expected->outcome);
	check_same_name (&row->reason, &expected->reason);
	check_same_name (&row->result.manifest_key, &expected->result.manifest_key);
	assert_int_equal (row->result.length, expected->result.length);
	assert_string_equal (row->result.digest, expected->result.digest);
	check_same_name (&row->batch, &expected->batch);
	assert_int_equal (row->submitted_wall_ms, expected->submitted_wall_ms);
	assert_int_equal (row->ended_wall_ms, expected->ended_wall_ms);
	assert_int_equal (row->epoch, expected->epoch);
	assert_string_equal (row->payload->str, expected->payload->str);
	assert_string_equal (row->traceparent->str, expected->traceparent->str);
	assert_int_equal (row->revision, 9);
}

static GString *
encode_batch (size_t record)
{
	struct dff_batch_row row = {.team = dff_name_from ("casework"),
				    .manifest = 60,
				    .accepted = record == 0 ? 59 : -1,
				    .digest = DIGEST};
	return dff_batch_row_encode (&row);
}

static void
check_batch (size_t record, struct dff_str bytes)
{
	struct dff_batch_row row;
	assert_true (dff_batch_row_decode (bytes, &row));
	check_name (&row.team, "casework");
	assert_int_equal (row.manifest, 60);
	assert_int_equal (row.accepted, record == 0 ? 59 : -1);
	assert_string_equal (row.digest, DIGEST);
}

/* The lease row of a holder, the row of one that released it, and the epoch row. */
static GString *
encode_cell_lease (size_t record)
{
	struct dff_lease_rows rows = {.counter = 16, .epoch = 40};
	if (record == 2)
		return dff_lease_rows_next_epoch (&rows, "entry-1");
	return dff_lease_rows_next_lease (&rows, record == 0 ? "entry-1" : "");
}

static void
check_cell_lease (size_t record, struct dff_str bytes)
{
	struct dff_lease_rows rows = {0};
	struct dff_table_row row = {.value = bytes, .revision = 5};
	dff_lease_rows_apply (&rows, record < 2 ? &row : NULL, record == 2 ? &row : NULL, 1000);
	assert_true (rows.known);
	assert_false (rows.malformed);
	assert_int_equal (rows.is_free, record != 0);
	assert_int_equal (rows.lease_revision, record < 2 ? 5 : 0);
	assert_int_equal (rows.counter, record < 2 ? 17 : 0);
	assert_int_equal (rows.epoch_revision, record == 2 ? 5 : 0);
	assert_int_equal (rows.epoch, record == 2 ? 41 : 0);
	assert_int_equal (rows.first_seen_ms, 1000);
}

#define POOL_TEXT "{\n\"racks\": [], \"note\": \"\xc3\xa9\"\n}\n"

static GString *
encode_pool (size_t record)
{
	(void)record;
	return dff_pool_row_encode (12, dff_str_from (POOL_TEXT));
}

static void
check_pool (size_t record, struct dff_str bytes)
{
	(void)record;
	int64_t generation = 0;
	g_autoptr (GError) error = NULL;
	g_autoptr (GString) text = dff_pool_row_decode (bytes, &generation, &error);
	assert_non_null (text);
	assert_int_equal (generation, 12);
	assert_string_equal (text->str, POOL_TEXT);
}

static GString *
print (json_t *root)
{
	char *text = json_dumps (root, JSON_COMPACT);
	GString *out = g_string_new (text);
	free (text);
	json_decref (root);
	return out;
}

static json_t *
parse (struct dff_str bytes)
{
	json_t *root = json_loadb (bytes.data, bytes.len, 0, NULL);
	assert_non_null (root);
	return root;
}

static GString *
encode_txn (size_t record)
{
	(void)record;
	struct dff_table_condition conditions[] = {{dff_str_from ("cell/north/lease"), 77},
						   {dff_str_from ("job/north/1"), 0}};
	struct dff_table_write writes[] = {
		{dff_str_from ("cell/north/lease"), dff_str_from ("{\"counter\":1}")},
		{dff_str_from ("idem/" HASH), {NULL, 0}}};
	struct dff_table_txn txn = {.write_id = dff_name_from ("entry-1.5"),
				    .conditions = conditions,
				    .n_conditions = 2,
				    .writes = writes,
				    .n_writes = 2};
	return print (dff_table_wire_txn_to_json (&txn));
}

static void
check_txn (size_t record, struct dff_str bytes)
{
	(void)record;
	json_t *root = parse (bytes);
	struct dff_table_wire_txn wire = {0};
	assert_true (dff_table_wire_txn_from_json (root, &wire));
	check_name (&wire.txn.write_id, "entry-1.5");
	assert_int_equal (wire.txn.n_conditions, 2);
	check_text (wire.txn.conditions[0].key, "cell/north/lease");
	assert_int_equal (wire.txn.conditions[0].revision, 77);
	check_text (wire.txn.conditions[1].key, "job/north/1");
	assert_int_equal (wire.txn.conditions[1].revision, 0);
	assert_int_equal (wire.txn.n_writes, 2);
	check_text (wire.txn.writes[0].key, "cell/north/lease");
	check_text (wire.txn.writes[0].value, "{\"counter\":1}");
	check_text (wire.txn.writes[1].key, "idem/" HASH);
	assert_null (wire.txn.writes[1].value.data);
	dff_table_wire_txn_clear (&wire);
	json_decref (root);
}

static GString *
encode_table_result (size_t record)
{
	(void)record;
	struct dff_table_row rows[] = {
		{dff_str_from ("cell/north/epoch"), dff_str_from ("{\"epoch\":4}"), 70},
		{dff_str_from ("pool"), dff_str_from ("\xc3\xa9"), 71}};
	struct dff_table_result result = {.revision = 90, .rows = rows, .n_rows = 2, .more = true};
	return print (dff_table_wire_result_to_json (&result));
}

static void
check_table_result (size_t record, struct dff_str bytes)
{
	(void)record;
	json_t *root = parse (bytes);
	g_autoptr (GArray) rows = g_array_new (FALSE, FALSE, sizeof (struct dff_table_row));
	struct dff_table_result result = {0};
	assert_true (dff_table_wire_result_from_json (root, rows, &result));
	assert_int_equal (result.revision, 90);
	assert_true (result.more);
	assert_int_equal (result.n_rows, 2);
	check_text (result.rows[0].key, "cell/north/epoch");
	check_text (result.rows[0].value, "{\"epoch\":4}");
	assert_int_equal (result.rows[0].revision, 70);
	check_text (result.rows[1].key, "pool");
	check_text (result.rows[1].value, "\xc3\xa9");
	assert_int_equal (result.rows[1].revision, 71);
	json_decref (root);
}

#define PEER_KEY "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8"

static GString *
encode_instance (size_t record)
{
	struct dff_instance entry = {.role = DFF_INSTANCE_ENTRY,
				     .leaving = true,
				     .id = dff_name_from ("entry-1"),
				     .address = dff_name_from ("10.0.0.1:8080"),
				     .data_centre = dff_name_from ("dc1"),
				     .region = dff_name_from ("north"),
				     .peer_address = dff_name_from ("10.0.0.1:7001"),
				     .peer_key = dff_name_from (PEER_KEY)};
	struct dff_instance worker = {.role = DFF_INSTANCE_WORKER,
				      .id = dff_name_from ("w1"),
				      .address = dff_name_from ("10.0.0.9:8000"),
				      .rack = dff_name_from ("r1"),
				      .data_centre = dff_name_from ("dc2"),
				      .region = dff_name_from ("south")};
	return print (dff_instance_wire_to_json (record == 0 ? &entry : &worker));
}

static void
check_instance (size_t record, struct dff_str bytes)
{
	json_t *root = parse (bytes);
	struct dff_instance instance;
	assert_true (dff_instance_wire_from_json (root, &instance));
	json_decref (root);
	bool entry = record == 0;
	assert_int_equal (instance.role, entry ? DFF_INSTANCE_ENTRY : DFF_INSTANCE_WORKER);
	assert_int_equal (instance.leaving, entry);
	check_name (&instance.id, entry ? "entry-1" : "w1");
	check_name (&instance.address, entry ? "10.0.0.1:8080" : "10.0.0.9:8000");
	check_name (&instance.rack, entry ? "" : "r1");
	check_name (&instance.data_centre, entry ? "dc1" : "dc2");
	check_name (&instance.region, entry ? "north" : "south");
	check_name (&instance.peer_address, entry ? "10.0.0.1:7001" : "");
	check_name (&instance.peer_key, entry ? PEER_KEY : "");
}

#define N_ANSWERS 2
#define ANSWER_BODY "{\"text\":\"\xc3\xa9\"}\n"

static const struct dff_problem lost = {.status = 504,
					.code = "upstream_lost",
					.outcome = DFF_OUTCOME_UNKNOWN,
					.detail = "No answer came.",
					.retry_after_s = 3};

/* The answer of a worker, and the answer made from a problem. */
static struct dff_answer *
full_answer (size_t record)
{
	if (record == 1)
		return dff_answer_from_problem (&lost);
	return dff_answer_new (201, dff_str_from (ANSWER_BODY), DFF_OUTCOME_COMPLETED);
}

static GString *
encode_answer (size_t record)
{
	DFF_AUTO (dff_answer) answer = full_answer (record);
	return dff_answer_encode (answer);
}

static void
check_answer (size_t record, struct dff_str bytes)
{
	DFF_AUTO (dff_answer) answer = dff_answer_decode (bytes);
	DFF_AUTO (dff_answer) expected = full_answer (record);
	assert_non_null (answer);
	assert_int_equal (answer->status, expected->status);
	assert_string_equal (answer->content_type, expected->content_type);
	assert_int_equal (answer->outcome, expected->outcome);
	assert_int_equal (answer->body->len, expected->body->len);
	assert_string_equal (answer->body->str, expected->body->str);
}

const struct compat_case compat_rows[] = {
	{"job-row.jsonl", false, false, N_JOB_ROWS, encode_job, check_job},
	{"batch-row.jsonl", false, false, 2, encode_batch, check_batch},
	{"cell-lease.jsonl", false, false, 3, encode_cell_lease, check_cell_lease},
	{"pool-row.jsonl", false, false, 1, encode_pool, check_pool},
	{"table-txn.jsonl", false, false, 1, encode_txn, check_txn},
	{"table-result.jsonl", false, false, 1, encode_table_result, check_table_result},
	{"answer.hex", true, false, N_ANSWERS, encode_answer, check_answer},
	{"instance.jsonl", false, false, 2, encode_instance, check_instance},
};
const size_t compat_n_rows = G_N_ELEMENTS (compat_rows);
