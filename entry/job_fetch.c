#include "entry/job_fetch.h"

#include "common/log.h"
#include "entry/entry_private.h"
#include "entry/reply.h"

struct value_fetch {
	struct dff_call *call;
	dff_value_fetch_func done;
	void *user;
};

static void
value_read (void *user, const struct dff_table_result *result)
{
	struct value_fetch *fetch = user;
	struct dff_str none = {"", 0};
	if (result->outcome != DFF_TABLE_OK)
		fetch->done (fetch->call, DFF_FETCH_UNAVAILABLE, none, 0, fetch->user);
	else if (result->n_rows == 0)
		fetch->done (fetch->call, DFF_FETCH_MISSING, none, 0, fetch->user);
	else
		fetch->done (fetch->call, DFF_FETCH_FOUND, result->rows[0].value,
			     result->rows[0].revision, fetch->user);
	dff_call_unref (fetch->call);
	g_free (fetch);
}

void
dff_value_fetch (struct dff_call *call, struct dff_str key, dff_value_fetch_func done, void *user)
{
	const struct dff_table *table = call->entry->options.table;
	if (call->entry->closed) {
		struct dff_str none = {"", 0};
		done (call, DFF_FETCH_UNAVAILABLE, none, 0, user);
		return;
	}
	struct value_fetch *fetch = g_new0 (struct value_fetch, 1);
	fetch->call = dff_call_ref (call);
	fetch->done = done;
	fetch->user = user;
	table->get (table->ctx, &key, 1, value_read, fetch);
}

struct job_fetch {
	dff_job_fetch_func done;
	void *user;
};

static void
job_value_read (struct dff_call *call,
		enum dff_fetch_outcome outcome,
		struct dff_str value,
		int64_t revision,
		void *user)
{
	g_autofree struct job_fetch *fetch = user;
	g_autoptr (GError) error = NULL;
	DFF_AUTO (dff_job_row) row = NULL;
	if (outcome == DFF_FETCH_FOUND)
		row = dff_job_row_decode (value, revision, &error);
	if (error != NULL) {
		dff_log (DFF_LOG_ENTRY, DFF_LOG_ERROR, "Job row cannot be decoded. error=\"%s\"",
			 error->message);
		outcome = DFF_FETCH_UNAVAILABLE;
	}
	fetch->done (call, outcome, row, fetch->user);
}

void
dff_job_fetch (struct dff_call *call,
	       const struct dff_name *id,
	       dff_job_fetch_func done,
	       void *user)
{
	struct dff_name region = dff_job_id_region (id);
	if (dff_name_is_empty (&region)) {
		done (call, DFF_FETCH_MISSING, NULL, user);
		return;
	}
	if (call->entry->closed) {
		done (call, DFF_FETCH_UNAVAILABLE, NULL, user);
		return;
	}
	g_autoptr (GString) key = dff_job_row_key (id);
	struct dff_str text = {key->str, key->len};
	struct job_fetch *fetch = g_new0 (struct job_fetch, 1);
	fetch->done = done;
	fetch->user = user;
	dff_value_fetch (call, text, job_value_read, fetch);
}

void
dff_reply_fetch_failed (struct dff_call *call, enum dff_fetch_outcome outcome)
{
	if (outcome == DFF_FETCH_MISSING)
		dff_reply_error (call, 404, "not_found", "There is nothing under this id.");
	else
		dff_reply_store_unavailable (call);
}
