#include <string.h>

#include "common/log.h"
#include "entry/admission.h"
#include "entry/batch.h"
#include "entry/entry_private.h"
#include "entry/job_fetch.h"
#include "entry/job_json.h"
#include "entry/record.h"
#include "entry/reply.h"
#include "entry/route.h"

/* Submission of a single job: validated, recorded, and only then answered. */

struct submission {
	struct dff_call *call;
	struct dff_job_row *row;
	/** Hash of the Idempotency-Key; empty: none was given. */
	struct dff_name hash;
	/** The job counts towards its team's quota without being recorded yet. */
	bool quota_reserved;
};

static void
submission_free (struct submission *submission)
{
	struct dff_entry *entry = submission->call->entry;
	if (submission->quota_reserved && !entry->closed)
		dff_team_quota_remove (entry->quota, &submission->row->spec.id);
	dff_job_row_free (submission->row);
	dff_call_unref (submission->call);
	g_free (submission);
}

static void
reply_job (struct submission *submission, int status, const struct dff_job_row *row)
{
	g_autofree char *location = g_strconcat ("/v1/jobs/", row->spec.id.data, NULL);
	dff_call_set_header (submission->call, "Location", location);
	dff_reply_json (submission->call, status, dff_job_to_json (row));
	submission_free (submission);
}

static void
reply_key_reused (struct submission *submission)
{
	dff_reply_key_reused (submission->call);
	submission_free (submission);
}

static void
original_job_read (struct dff_call *call,
		   enum dff_fetch_outcome outcome,
		   struct dff_job_row *row,
		   void *user)
{
	struct submission *submission = user;
	if (outcome == DFF_FETCH_UNAVAILABLE) {
		dff_reply_store_unavailable (call);
		submission_free (submission);
		return;
	}
	if (outcome == DFF_FETCH_MISSING || !dff_job_same_submission (row, submission->row)) {
		reply_key_reused (submission);
		return;
	}
	(*call->entry->counters.jobs_repeated)++;
	reply_job (submission, 200, row);
}

static void
original_id_read (struct dff_call *call,
		  enum dff_fetch_outcome outcome,
		  struct dff_str value,
		  int64_t revision,
		  void *user)
{
	(void)revision;
	struct submission *submission = user;
	struct dff_name id;
	if (outcome == DFF_FETCH_FOUND && dff_name_parse (value, &id)) {
		dff_job_fetch (call, &id, original_job_read, submission);
		return;
	}
	dff_reply_store_unavailable (call);
	submission_free (submission);
}

/* A submission with the same key is already recorded, perhaps by another process. Reads the job
 * that it created. */
static void
find_original (struct submission *submission)
{
	g_autoptr (GString) key = dff_idempotency_row_key (&submission->hash);
	struct dff_str text = {key->str, key->len};
	dff_value_fetch (submission->call, text, original_id_read, submission);
}

static void
accept_job (struct submission *submission, int64_t revision)
{
	struct dff_entry *entry = submission->call->entry;
	const struct dff_job_spec *spec = &submission->row->spec;
	submission->row->revision = revision;
	(*entry->counters.jobs_accepted)++;
	submission->quota_reserved = false;
	dff_peer_send_job_hint (entry->options.peer, &spec->id);
	dff_peer_send_job_watch (entry->options.peer, &spec->id);
	dff_log (DFF_LOG_ENTRY, DFF_LOG_INFO, "Job accepted. job=%s team=%s", spec->id.data,
		 spec->team.data);
	reply_job (submission, 201, submission->row);
}

static void
job_recorded (void *user, enum dff_entry_record_outcome outcome, int64_t revision)
{
	struct submission *submission = user;
	if (submission->call->entry->closed) {
		submission_free (submission);
		return;
	}
	if (outcome == DFF_ENTRY_RECORD_DONE) {
		accept_job (submission, revision);
		return;
	}
	if (outcome == DFF_ENTRY_RECORD_CONFLICT && !dff_name_is_empty (&submission->hash)) {
		find_original (submission);
		return;
	}
	dff_reply_record_failed (submission->call, outcome);
	submission_free (submission);
}

static void
record_job (struct submission *submission)
{
	const struct dff_name *id = &submission->row->spec.id;
	g_autoptr (GString) key = dff_job_row_key (id);
	g_autoptr (GString) value = dff_job_row_encode (submission->row);
	dff_call_record_submission (submission->call, (struct dff_str){key->str, key->len},
				    (struct dff_str){value->str, value->len}, &submission->hash, id,
				    job_recorded, submission);
}

static void
submit (struct dff_call *call, struct dff_job_row *row, const struct dff_name *hash)
{
	struct dff_entry *entry = call->entry;
	struct submission *submission = g_new0 (struct submission, 1);
	char traceparent[DFF_TRACEPARENT_LEN + 1];
	struct dff_name unique = dff_name_is_empty (hash) ? dff_entry_random_hash (entry) : *hash;
	submission->call = dff_call_ref (call);
	submission->row = row;
	submission->hash = *hash;
	row->spec.id = dff_name_printf ("%s.%s", row->spec.region.data, unique.data);
	row->submitted_wall_ms = dff_clock_wall_ms (entry->options.clock);
	dff_trace_context_format (&call->span.context, traceparent);
	g_string_assign (row->traceparent, traceparent);
	call->subject = row->spec.id;
	/* Counts the job before it is recorded. Otherwise any number of jobs submitted at the same
	 * time would exceed the team's limit. */
	submission->quota_reserved =
		dff_team_quota_add (entry->quota, &row->spec.id, &row->spec.team);
	record_job (submission);
}

static bool
is_json_lines (const struct dff_call *call)
{
	const char *type = dff_call_header (call, "Content-Type");
	return type != NULL && g_str_has_prefix (type, "application/jsonl");
}

static bool
is_json (const struct dff_call *call)
{
	const char *type = dff_call_header (call, "Content-Type");
	return type == NULL || g_str_has_prefix (type, "application/json");
}

void
dff_job_submit (struct dff_call *call)
{
	struct dff_entry *entry = call->entry;
	struct dff_job_rejection rejection = {.status = 0};
	struct dff_name hash;
	call->may_be_repeated = dff_call_header (call, "Idempotency-Key") != NULL;
	if (dff_refuse_new_work (call))
		return;
	if (!is_json (call)) {
		dff_reply_refused (call, 415, "unsupported_type",
				   "application/json or application/jsonl is expected.");
		return;
	}
	if (dff_idempotency_hash (call, "", &hash) == DFF_KEY_INVALID) {
		dff_reply_refused (call, 400, "invalid_idempotency_key",
				   "1 to 255 visible ASCII characters are expected.");
		return;
	}
	if (is_json_lines (call)) {
		dff_batch_submit (call, &hash);
		return;
	}
	struct dff_job_row *row = dff_job_parse (dff_call_body (call), &call->principal.name,
						 &entry->options.settings->region, &rejection);
	if (row == NULL || !dff_admission_check (entry, row, &rejection)) {
		dff_reply_job_rejection (call, &rejection);
		g_clear_pointer (&row, dff_job_row_free);
		return;
	}
	if (!dff_admission_check_queue (call, 1)) {
		dff_job_row_free (row);
		return;
	}
	submit (call, row, &hash);
}
