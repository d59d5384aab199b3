#include <string.h>

#include "common/digest.h"
#include "common/log.h"
#include "entry/admission.h"
#include "entry/batch.h"
#include "entry/entry_private.h"
#include "entry/job_fetch.h"
#include "entry/job_json.h"
#include "entry/record.h"
#include "entry/reply.h"

/** Maximum number of jobs of one batch that are being written at the same time. */
#define MAX_WRITES_IN_PROGRESS 256
/** Maximum number of jobs in one batch; the index of a job is part of its id. */
#define MAX_BATCH_JOBS 100000
/** Maximum number of hints sent to the holder for one batch; the holder finds the other jobs in its
 * own scan. */
#define HINTS_MAX 16

struct batch {
	struct dff_call *call;
	struct dff_name id;
	/** Hash of the Idempotency-Key; empty: none was given. */
	struct dff_name hash;
	struct dff_batch_row row;
	int64_t revision;
	/** Elements: struct dff_job_row *, owned. */
	GPtrArray *jobs;
	/** For each job: whether it counts towards its team's quota without being recorded yet. */
	bool *quota_reserved;
	guint next;
	int32_t in_progress;
	int32_t n_recorded;
	/** Some job was already recorded by an earlier submission of the same batch. */
	bool repeated;
	enum dff_entry_record_outcome failure;
};

static void record_next_jobs (struct batch *batch);

static void
free_row (gpointer row)
{
	dff_job_row_free (row);
}

/* Counts the jobs before they are recorded. Otherwise any number of batches submitted at the same
 * time would exceed the team's limit. */
static void
reserve_quota (struct batch *batch)
{
	batch->quota_reserved = g_new0 (bool, batch->jobs->len);
	for (guint i = 0; i < batch->jobs->len; i++) {
		const struct dff_job_spec *spec =
			&((const struct dff_job_row *)batch->jobs->pdata[i])->spec;
		batch->quota_reserved[i] =
			dff_team_quota_add (batch->call->entry->quota, &spec->id, &spec->team);
	}
}

static void
release_quota (struct batch *batch)
{
	for (guint i = 0; i < batch->jobs->len && !batch->call->entry->closed; i++) {
		const struct dff_job_row *job = batch->jobs->pdata[i];
		if (batch->quota_reserved[i])
			dff_team_quota_remove (batch->call->entry->quota, &job->spec.id);
	}
}

static void
batch_free (struct batch *batch)
{
	release_quota (batch);
	g_free (batch->quota_reserved);
	g_ptr_array_unref (batch->jobs);
	dff_call_unref (batch->call);
	g_free (batch);
}

static void
reply_batch (struct batch *batch)
{
	json_t *ids = json_array ();
	for (guint i = 0; i < batch->jobs->len; i++) {
		const struct dff_job_row *job = batch->jobs->pdata[i];
		json_array_append_new (ids, json_string (job->spec.id.data));
	}
	json_t *json = json_object ();
	json_object_set_new (json, "batch", json_string (batch->id.data));
	json_object_set_new (json, "accepted", json_integer (batch->jobs->len));
	json_object_set_new (json, "jobs", ids);
	dff_reply_json (batch->call, batch->repeated ? 200 : 201, json);
	batch_free (batch);
}

/* Some jobs may be recorded and will run, so neither "not run" nor "accepted" is correct. */
static void
reply_incomplete (struct batch *batch)
{
	json_t *extra = json_pack ("{s:s, s:i, s:i}", "batch", batch->id.data, "manifest",
				   batch->row.manifest, "recorded", batch->n_recorded);
	struct dff_problem problem = {
		.status = batch->failure == DFF_ENTRY_RECORD_UNKNOWN ? 504 : 503,
		.code = "batch_incomplete",
		.outcome = DFF_OUTCOME_UNKNOWN,
		.detail = "Only a part is known to be on record. Send the same batch with the same "
			  "Idempotency-Key to complete it.",
		.retry_after_s = dff_entry_retry_after_s (batch->call->entry),
		.extra = extra,
	};
	(*batch->call->entry->counters.refused_store)++;
	dff_reply_problem (batch->call, &problem);
	json_decref (extra);
	batch_free (batch);
}

/* All jobs are recorded, whether or not this write succeeded. */
static void
count_recorded (void *user, enum dff_entry_record_outcome outcome, int64_t revision)
{
	(void)revision;
	(void)outcome;
	struct batch *batch = user;
	reply_batch (batch);
}

static void
record_count (struct batch *batch)
{
	batch->row.accepted = (int32_t)batch->jobs->len;
	g_autoptr (GString) key = dff_batch_row_key (&batch->id);
	g_autoptr (GString) value = dff_batch_row_encode (&batch->row);
	dff_call_record_row (batch->call, (struct dff_str){key->str, key->len},
			     (struct dff_str){value->str, value->len}, batch->revision,
			     count_recorded, batch);
}

struct job_write {
	struct batch *batch;
	/** Index of the job in the batch. */
	guint index;
};

static void
accept_job (struct batch *batch, guint index)
{
	struct dff_entry *entry = batch->call->entry;
	const struct dff_job_row *job = batch->jobs->pdata[index];
	(*entry->counters.jobs_accepted)++;
	batch->quota_reserved[index] = false;
	if (batch->n_recorded <= HINTS_MAX)
		dff_peer_send_job_hint (entry->options.peer, &job->spec.id);
}

static void
job_recorded (void *user, enum dff_entry_record_outcome outcome, int64_t revision)
{
	(void)revision;
	g_autofree struct job_write *write = user;
	struct batch *batch = write->batch;
	batch->in_progress--;
	if (outcome == DFF_ENTRY_RECORD_DONE || outcome == DFF_ENTRY_RECORD_CONFLICT)
		batch->n_recorded++;
	else
		batch->failure = outcome;
	if (outcome == DFF_ENTRY_RECORD_CONFLICT)
		batch->repeated = true;
	if (outcome == DFF_ENTRY_RECORD_DONE && !batch->call->entry->closed)
		accept_job (batch, write->index);
	record_next_jobs (batch);
}

static void
record_job (struct batch *batch, guint index)
{
	const struct dff_job_row *job = batch->jobs->pdata[index];
	struct job_write *pending = g_new0 (struct job_write, 1);
	pending->batch = batch;
	pending->index = index;
	batch->in_progress++;
	dff_call_record_job (batch->call, job, job_recorded, pending);
}

static void
record_next_jobs (struct batch *batch)
{
	bool failed = batch->failure != DFF_ENTRY_RECORD_DONE || batch->call->entry->closed;
	while (!failed && batch->next < batch->jobs->len &&
	       batch->in_progress < MAX_WRITES_IN_PROGRESS)
		record_job (batch, batch->next++);
	if (batch->in_progress > 0)
		return;
	if (failed)
		reply_incomplete (batch);
	else
		record_count (batch);
}

static void
original_row_read (struct dff_call *call,
		   enum dff_fetch_outcome outcome,
		   struct dff_str value,
		   int64_t revision,
		   void *user)
{
	struct batch *batch = user;
	struct dff_batch_row row;
	batch->repeated = true;
	if (outcome == DFF_FETCH_UNAVAILABLE) {
		dff_reply_store_unavailable (call);
		batch_free (batch);
		return;
	}
	if (outcome == DFF_FETCH_MISSING || !dff_batch_row_decode (value, &row) ||
	    !g_str_equal (row.digest, batch->row.digest) ||
	    !dff_name_equal (&row.team, &batch->row.team)) {
		dff_reply_key_reused (call);
		batch_free (batch);
		return;
	}
	batch->revision = revision;
	if (row.accepted >= 0) {
		(*call->entry->counters.jobs_repeated) += row.accepted;
		reply_batch (batch);
		return;
	}
	record_next_jobs (batch);
}

static void
batch_recorded (void *user, enum dff_entry_record_outcome outcome, int64_t revision)
{
	struct batch *batch = user;
	if (batch->call->entry->closed) {
		batch_free (batch);
		return;
	}
	if (outcome == DFF_ENTRY_RECORD_DONE) {
		batch->revision = revision;
		record_next_jobs (batch);
		return;
	}
	if (outcome == DFF_ENTRY_RECORD_CONFLICT) {
		g_autoptr (GString) key = dff_batch_row_key (&batch->id);
		struct dff_str text = {key->str, key->len};
		dff_value_fetch (batch->call, text, original_row_read, batch);
		return;
	}
	dff_reply_record_failed (batch->call, outcome);
	batch_free (batch);
}

static void
record_batch (struct batch *batch)
{
	g_autoptr (GString) key = dff_batch_row_key (&batch->id);
	g_autoptr (GString) value = dff_batch_row_encode (&batch->row);
	dff_call_record_submission (batch->call, (struct dff_str){key->str, key->len},
				    (struct dff_str){value->str, value->len}, &batch->hash,
				    &batch->id, batch_recorded, batch);
}

static bool
refuse_line (struct dff_call *call, guint line, struct dff_job_rejection *rejection)
{
	char *detail = g_strdup_printf ("line %u: %s", line, rejection->detail);
	g_free (rejection->detail);
	rejection->detail = detail;
	dff_reply_job_rejection (call, rejection);
	return false;
}

/* Reads one line. Returns false, with the call answered, when the line is rejected. */
static bool
read_line (struct dff_call *call, struct dff_str line, GPtrArray *jobs)
{
	struct dff_entry *entry = call->entry;
	struct dff_job_rejection rejection = {.status = 0};
	struct dff_job_row *row = dff_job_parse (line, &call->principal.name,
						 &entry->options.settings->region, &rejection);
	if (row == NULL)
		return refuse_line (call, jobs->len + 1, &rejection);
	g_ptr_array_add (jobs, row);
	if (!dff_admission_check (entry, row, &rejection))
		return refuse_line (call, jobs->len, &rejection);
	const struct dff_job_row *first = jobs->pdata[0];
	if (dff_name_equal (&row->spec.region, &first->spec.region))
		return true;
	rejection.status = 400;
	rejection.code = "mixed_regions";
	rejection.detail = g_strdup ("region: all jobs of a batch are in one region");
	return refuse_line (call, jobs->len, &rejection);
}

/* Reads the lines of the body. Returns NULL, with the call answered, when one is rejected. */
static GPtrArray *
read_lines (struct dff_call *call, int64_t manifest)
{
	struct dff_str rest = dff_call_body (call);
	g_autoptr (GPtrArray) jobs = g_ptr_array_new_with_free_func (free_row);
	while (rest.len > 0) {
		const char *end = memchr (rest.data, '\n', rest.len);
		size_t len = end == NULL ? rest.len : (size_t)(end - rest.data);
		struct dff_str line = {rest.data, len};
		size_t used = end == NULL ? len : len + 1;
		rest.data += used;
		rest.len -= used;
		if (len == 0)
			continue;
		if (!read_line (call, line, jobs))
			return NULL;
	}
	if ((int64_t)jobs->len == manifest)
		return g_steal_pointer (&jobs);
	g_autofree char *detail = g_strdup_printf (
		"Batch-Count says %" PRId64 ", the body holds %u jobs.", manifest, jobs->len);
	dff_reply_refused (call, 400, "batch_count_mismatch", detail);
	return NULL;
}

static void
assign_job_ids (struct batch *batch)
{
	struct dff_call *call = batch->call;
	char traceparent[DFF_TRACEPARENT_LEN + 1];
	int64_t wall_ms = dff_clock_wall_ms (call->entry->options.clock);
	dff_trace_context_format (&call->span.context, traceparent);
	for (guint i = 0; i < batch->jobs->len; i++) {
		struct dff_job_row *job = batch->jobs->pdata[i];
		job->spec.id = dff_name_printf ("%s.%u", batch->id.data, i);
		job->batch = batch->id;
		job->submitted_wall_ms = wall_ms;
		g_string_assign (job->traceparent, traceparent);
	}
}

void
dff_batch_submit (struct dff_call *call, const struct dff_name *hash)
{
	struct dff_entry *entry = call->entry;
	int64_t manifest = 0;
	if (!dff_call_header_int (call, "Batch-Count", 1, MAX_BATCH_JOBS, &manifest) ||
	    manifest == 0) {
		dff_reply_refused (call, 400, "invalid_batch_count",
				   "Batch-Count: the number of jobs is expected.");
		return;
	}
	GPtrArray *jobs = read_lines (call, manifest);
	if (jobs == NULL)
		return;
	if (!dff_admission_check_queue (call, (int32_t)manifest)) {
		g_ptr_array_unref (jobs);
		return;
	}
	struct dff_str body = dff_call_body (call);
	const struct dff_job_row *first = jobs->pdata[0];
	struct dff_name unique = dff_name_is_empty (hash) ? dff_entry_random_hash (entry) : *hash;
	struct batch *batch = g_new0 (struct batch, 1);
	batch->call = dff_call_ref (call);
	batch->id = dff_name_printf ("%s.%s", first->spec.region.data, unique.data);
	batch->hash = *hash;
	batch->jobs = jobs;
	batch->row.team = call->principal.name;
	batch->row.manifest = (int32_t)manifest;
	batch->row.accepted = -1;
	dff_digest_hex (body, batch->row.digest);
	call->subject = batch->id;
	assign_job_ids (batch);
	reserve_quota (batch);
	record_batch (batch);
}
