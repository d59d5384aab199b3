#include <string.h>

#include "common/log.h"
#include "entry/entry_private.h"
#include "entry/job_fetch.h"
#include "entry/record.h"
#include "entry/reply.h"
#include "entry/route.h"
#include "pool/pool_row.h"

/* Reading and updating of the pool file by operators. The file is always read and replaced as a
 * whole, and an update must be based on the current generation. */

/** Maximum number of a file's errors that are listed. */
#define ERRORS_MAX 50

struct pool_update {
	struct dff_call *call;
	/** Generation that the update is based on. */
	int64_t base;
	GString *text;
};

static void read_current (struct pool_update *pool_update);

static void
pool_update_free (struct pool_update *pool_update)
{
	g_string_free (pool_update->text, TRUE);
	dff_call_unref (pool_update->call);
	g_free (pool_update);
}

static void
set_etag (struct dff_call *call, int64_t generation)
{
	g_autofree char *etag = g_strdup_printf ("\"%" PRId64 "\"", generation);
	dff_call_set_header (call, "ETag", etag);
}

void
dff_pool_read (struct dff_call *call)
{
	const struct dff_entry *entry = call->entry;
	struct dff_str text = {entry->pool_text->str, entry->pool_text->len};
	set_etag (call, entry->pool->generation);
	dff_reply_body (call, 200, "application/json", text);
}

static void
reply_other_generation (struct pool_update *pool_update, int64_t generation)
{
	g_autofree char *detail = g_strdup_printf (
		"Generation %" PRId64 " is on record, the file is based on %" PRId64 ".",
		generation, pool_update->base);
	json_t *extra = json_pack ("{s:I}", "generation", (json_int_t)generation);
	struct dff_problem problem = {
		.status = 412,
		.code = "generation_changed",
		.detail = detail,
		.extra = extra,
	};
	set_etag (pool_update->call, generation);
	dff_reply_problem (pool_update->call, &problem);
	json_decref (extra);
	pool_update_free (pool_update);
}

static void
reply_applied (struct pool_update *pool_update, int64_t generation, int64_t revision)
{
	struct dff_call *call = pool_update->call;
	struct dff_entry *entry = call->entry;
	struct dff_str text = {pool_update->text->str, pool_update->text->len};
	if (entry->options.pool_committed != NULL && !entry->closed)
		entry->options.pool_committed (entry->options.ctx, generation, revision, text);
	set_etag (call, generation);
	dff_reply_json (call, 200, json_pack ("{s:I}", "generation", (json_int_t)generation));
	pool_update_free (pool_update);
}

static void
pool_recorded (void *user, enum dff_entry_record_outcome outcome, int64_t revision)
{
	struct pool_update *pool_update = user;
	struct dff_call *call = pool_update->call;
	if (outcome == DFF_ENTRY_RECORD_DONE) {
		dff_log (DFF_LOG_ENTRY, DFF_LOG_INFO,
			 "Pool file committed. generation=%" PRId64 " operator=%s",
			 pool_update->base + 1, call->principal.name.data);
		reply_applied (pool_update, pool_update->base + 1, revision);
		return;
	}
	if (outcome == DFF_ENTRY_RECORD_CONFLICT && !call->entry->closed) {
		read_current (pool_update);
		return;
	}
	struct dff_problem unknown = {
		.status = 504,
		.code = "record_unknown",
		.detail = "The store does not say whether the file is on record. Apply it again "
			  "with the same If-Match.",
		.retry_after_s = dff_entry_retry_after_s (call->entry),
	};
	if (outcome == DFF_ENTRY_RECORD_UNKNOWN)
		dff_reply_problem (call, &unknown);
	else
		dff_reply_store_unavailable (call);
	pool_update_free (pool_update);
}

static void
record_pool (struct pool_update *pool_update, int64_t revision)
{
	struct dff_str text = {pool_update->text->str, pool_update->text->len};
	g_autoptr (GString) value = dff_pool_row_encode (pool_update->base + 1, text);
	dff_call_record_row (pool_update->call, dff_str_from (DFF_POOL_ROW_KEY),
			     (struct dff_str){value->str, value->len}, revision, pool_recorded,
			     pool_update);
}

static void
compare_current (struct pool_update *pool_update, struct dff_str value, int64_t revision)
{
	int64_t generation = 0;
	g_autoptr (GString) recorded = dff_pool_row_decode (value, &generation, NULL);
	if (recorded == NULL) {
		dff_reply_store_unavailable (pool_update->call);
		pool_update_free (pool_update);
		return;
	}
	/* The update may already be recorded: the answer to the same call, sent earlier, was
	 * lost. */
	bool repeated =
		generation == pool_update->base + 1 && g_string_equal (pool_update->text, recorded);
	if (repeated)
		reply_applied (pool_update, generation, revision);
	else if (generation != pool_update->base)
		reply_other_generation (pool_update, generation);
	else
		record_pool (pool_update, revision);
}

static void
current_read (struct dff_call *call,
	      enum dff_fetch_outcome outcome,
	      struct dff_str value,
	      int64_t revision,
	      void *user)
{
	struct pool_update *pool_update = user;
	if (outcome == DFF_FETCH_FOUND) {
		compare_current (pool_update, value, revision);
	} else if (outcome == DFF_FETCH_UNAVAILABLE) {
		dff_reply_store_unavailable (call);
		pool_update_free (pool_update);
	} else if (pool_update->base == 0) {
		record_pool (pool_update, 0);
	} else {
		reply_other_generation (pool_update, 0);
	}
}

static void
read_current (struct pool_update *pool_update)
{
	dff_value_fetch (pool_update->call, dff_str_from (DFF_POOL_ROW_KEY), current_read,
			 pool_update);
}

static void
reply_pool_errors (struct dff_call *call, const GPtrArray *errors)
{
	json_t *list = json_array ();
	for (guint i = 0; i < errors->len && i < ERRORS_MAX; i++)
		json_array_append_new (list, json_string (errors->pdata[i]));
	json_t *extra = json_pack ("{s:o}", "errors", list);
	struct dff_problem problem = {
		.status = 422,
		.code = "invalid_pool",
		.detail = errors->len > 0 ? errors->pdata[0] : "The pool file has a fault.",
		.extra = extra,
	};
	(*call->entry->counters.refused_input)++;
	dff_reply_problem (call, &problem);
	json_decref (extra);
}

/* Reads If-Match: "GENERATION". */
static bool
read_base (const struct dff_call *call, int64_t *base)
{
	const char *text = dff_call_header (call, "If-Match");
	size_t len = text == NULL ? 0 : strlen (text);
	if (len < 3 || text[0] != '"' || text[len - 1] != '"')
		return false;
	g_autofree char *digits = g_strndup (text + 1, len - 2);
	return g_ascii_string_to_signed (digits, 10, 0, INT64_MAX - 1, base, NULL);
}

void
dff_pool_write (struct dff_call *call)
{
	int64_t base = 0;
	struct dff_str text = dff_call_body (call);
	g_autoptr (GError) error = NULL;
	g_autoptr (GPtrArray) errors = g_ptr_array_new_with_free_func (g_free);
	if (dff_call_header (call, "If-Match") == NULL) {
		dff_reply_error (call, 428, "if_match_required", "If-Match: \"GENERATION\"");
		return;
	}
	if (!read_base (call, &base)) {
		dff_reply_error (call, 400, "invalid_if_match", "If-Match: \"GENERATION\"");
		return;
	}
	DFF_AUTO (dff_pool) pool = dff_pool_parse (text, "pool", errors, &error);
	if (pool == NULL) {
		reply_pool_errors (call, errors);
		return;
	}
	struct pool_update *pool_update = g_new0 (struct pool_update, 1);
	pool_update->call = dff_call_ref (call);
	pool_update->base = base;
	pool_update->text = g_string_new_len (text.data, (gssize)text.len);
	read_current (pool_update);
}
