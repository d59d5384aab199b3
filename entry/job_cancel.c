#include "common/log.h"
#include "entry/bulk_cancel.h"
#include "entry/entry_private.h"
#include "entry/job_fetch.h"
#include "entry/job_json.h"
#include "entry/record.h"
#include "entry/reply.h"
#include "entry/route.h"

/** Number of writes that conflict with those of the holder after which the caller has to retry. */
#define TRIES_MAX 8

struct cancellation {
	struct dff_call *call;
	struct dff_job_row *row;
	int32_t tries;
};

static void try_cancel (struct dff_call *call, int32_t tries);

static void
cancellation_free (struct cancellation *cancellation)
{
	dff_job_row_free (cancellation->row);
	dff_call_unref (cancellation->call);
	g_free (cancellation);
}

static void
reply_too_busy (struct dff_call *call)
{
	struct dff_problem problem = {
		.status = 503,
		.code = "busy",
		.detail = "The job changes too fast; the cancellation is not on record.",
		.retry_after_s = 1,
	};
	dff_reply_problem (call, &problem);
}

static void
reply_not_recorded (struct dff_call *call, enum dff_entry_record_outcome outcome)
{
	if (outcome == DFF_ENTRY_RECORD_NOT_DONE) {
		dff_reply_store_unavailable (call);
		return;
	}
	struct dff_problem problem = {
		.status = 504,
		.code = "record_unknown",
		.detail =
			"The store does not say whether the cancellation is on record. Repeat it.",
		.retry_after_s = dff_entry_retry_after_s (call->entry),
	};
	dff_reply_problem (call, &problem);
}

static void
cancel_recorded (void *user, enum dff_entry_record_outcome outcome, int64_t revision)
{
	(void)revision;
	struct cancellation *cancellation = user;
	struct dff_call *call = cancellation->call;
	if (call->entry->closed) {
		cancellation_free (cancellation);
		return;
	}
	if (outcome == DFF_ENTRY_RECORD_CONFLICT) {
		try_cancel (call, cancellation->tries + 1);
	} else if (outcome == DFF_ENTRY_RECORD_DONE) {
		dff_peer_send_job_hint (call->entry->options.peer, &cancellation->row->spec.id);
		dff_reply_json (call, 202, dff_job_to_json (cancellation->row));
	} else {
		reply_not_recorded (call, outcome);
	}
	cancellation_free (cancellation);
}

static struct dff_job_row *
copy_row (const struct dff_job_row *row)
{
	g_autoptr (GString) value = dff_job_row_encode (row);
	struct dff_str text = {value->str, value->len};
	return dff_job_row_decode (text, row->revision, NULL);
}

static void
job_fetched (struct dff_call *call,
	     enum dff_fetch_outcome outcome,
	     struct dff_job_row *row,
	     void *user)
{
	if (outcome == DFF_FETCH_FOUND && !dff_auth_may_see_team (call, &row->spec.team))
		outcome = DFF_FETCH_MISSING;
	if (outcome != DFF_FETCH_FOUND) {
		dff_reply_fetch_failed (call, outcome);
		return;
	}
	if (row->state == DFF_JOB_ROW_ENDED || row->cancel_requested) {
		int status = row->state == DFF_JOB_ROW_ENDED ? 200 : 202;
		dff_reply_json (call, status, dff_job_to_json (row));
		return;
	}
	struct cancellation *cancellation = g_new0 (struct cancellation, 1);
	cancellation->call = dff_call_ref (call);
	cancellation->row = copy_row (row);
	cancellation->row->cancel_requested = true;
	cancellation->tries = GPOINTER_TO_INT (user);
	dff_call_record_job (call, cancellation->row, cancel_recorded, cancellation);
}

static void
try_cancel (struct dff_call *call, int32_t tries)
{
	if (tries >= TRIES_MAX) {
		reply_too_busy (call);
		return;
	}
	dff_job_fetch (call, &call->subject, job_fetched, GINT_TO_POINTER (tries));
}

void
dff_job_cancel (struct dff_call *call)
{
	try_cancel (call, 0);
}

void
dff_job_cancel_team (struct dff_call *call)
{
	const char *text = dff_call_query (call, "team");
	struct dff_name team;
	if (text == NULL || !dff_name_parse (dff_str_from (text), &team)) {
		dff_reply_error (call, 400, "invalid_query", "team: a team's name is expected");
		return;
	}
	if (!dff_auth_may_see_team (call, &team)) {
		dff_reply_error (call, 404, "not_found", "There is no such team.");
		return;
	}
	dff_bulk_cancel (call, dff_str_from ("job/"), &team, NULL);
}
