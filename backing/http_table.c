#include "backing/http_service.h"
#include "backing/table_wire.h"
#include "common/log.h"

struct dff_http_table {
	struct dff_http_service service;
	struct dff_table interface;
};

/* Only statuses that the table service itself sends prove that a commit was not written. A proxy's
 * 502 or 504 may come after the commit has reached the service: taken for a failure, it would have
 * the caller receive "not run" for a job that runs. */
static enum dff_table_outcome
commit_outcome (const struct dff_http_response *response)
{
	if (response->outcome == DFF_HTTP_UNSENT)
		return DFF_TABLE_UNAVAILABLE;
	if (response->outcome == DFF_HTTP_UNCERTAIN)
		return DFF_TABLE_UNCERTAIN;
	switch (response->status) {
	case 200:
		return DFF_TABLE_OK;
	case 409:
		return DFF_TABLE_CONFLICT;
	case 400:
	case 413:
	case 429:
	case 503:
		return DFF_TABLE_UNAVAILABLE;
	default:
		return DFF_TABLE_UNCERTAIN;
	}
}

static enum dff_table_outcome
read_outcome (const struct dff_http_call *call, const struct dff_http_response *response)
{
	if (response->outcome != DFF_HTTP_ANSWERED)
		return DFF_TABLE_UNAVAILABLE;
	if (response->status == 200)
		return DFF_TABLE_OK;
	if (response->status == 409 && call->kind == DFF_HTTP_CALL_LOOKUP)
		return DFF_TABLE_CONFLICT;
	return DFF_TABLE_UNAVAILABLE;
}

static void
handle_response (void *user, const struct dff_http_response *response)
{
	struct dff_http_call *call = user;
	bool is_commit = call->kind == DFF_HTTP_CALL_COMMIT;
	struct dff_table_result result = {0};
	result.outcome = is_commit ? commit_outcome (response) : read_outcome (call, response);
	json_t *root = NULL;
	g_autoptr (GArray) rows = g_array_new (FALSE, FALSE, sizeof (struct dff_table_row));
	if (result.outcome == DFF_TABLE_OK || result.outcome == DFF_TABLE_CONFLICT) {
		root = json_loadb (response->body.data, response->body.len, 0, NULL);
		if (!dff_table_wire_result_from_json (root, rows, &result)) {
			dff_log (DFF_LOG_PLATFORM, DFF_LOG_ERROR,
				 "Response of the table service is malformed. status=%d",
				 response->status);
			result = (struct dff_table_result){0};
			result.outcome = is_commit ? DFF_TABLE_UNCERTAIN : DFF_TABLE_UNAVAILABLE;
		}
	}
	call->table_done (call->user, &result);
	json_decref (root);
	dff_http_call_end (call);
}

static struct dff_http_call *
begin (struct dff_http_table *table, enum dff_http_call_kind kind, dff_table_func done, void *user)
{
	struct dff_http_call *call = dff_http_call_begin (&table->service, kind, user);
	call->table_done = done;
	return call;
}

/* Ends a call whose arguments cannot be encoded as JSON; nothing has been sent. */
static void
refuse (struct dff_http_call *call)
{
	dff_log (DFF_LOG_PLATFORM, DFF_LOG_ERROR, "Row is not UTF-8 text.");
	struct dff_table_result result = {.outcome = DFF_TABLE_UNAVAILABLE};
	call->table_done (call->user, &result);
	dff_http_call_end (call);
}

static void
table_get (void *ctx, const struct dff_str *keys, size_t n_keys, dff_table_func done, void *user)
{
	struct dff_http_call *call = begin (ctx, DFF_HTTP_CALL_READ, done, user);
	json_t *array = json_array ();
	bool valid = true;
	for (size_t i = 0; i < n_keys; i++) {
		json_t *key = json_stringn (keys[i].data, keys[i].len);
		valid = json_array_append_new (array, key) == 0 && valid;
	}
	json_t *root = json_pack ("{s:o}", "keys", array);
	if (valid) {
		dff_http_call_send_json (call, "/v1/table/get", root, handle_response);
		return;
	}
	json_decref (root);
	refuse (call);
}

static void
table_scan (void *ctx,
	    struct dff_str prefix,
	    int64_t after,
	    size_t limit,
	    dff_table_func done,
	    void *user)
{
	struct dff_http_call *call = begin (ctx, DFF_HTTP_CALL_READ, done, user);
	json_t *root = json_pack ("{s:s%, s:I, s:I}", "prefix", prefix.data, prefix.len, "after",
				  (json_int_t)after, "limit", (json_int_t)limit);
	if (root == NULL)
		refuse (call);
	else
		dff_http_call_send_json (call, "/v1/table/scan", root, handle_response);
}

static void
table_commit (void *ctx, const struct dff_table_txn *txn, dff_table_func done, void *user)
{
	struct dff_http_call *call = begin (ctx, DFF_HTTP_CALL_COMMIT, done, user);
	json_t *root = dff_table_wire_txn_to_json (txn);
	if (root == NULL)
		refuse (call);
	else
		dff_http_call_send_json (call, "/v1/table/commit", root, handle_response);
}

static void
table_lookup (void *ctx, const struct dff_name *write_id, dff_table_func done, void *user)
{
	struct dff_http_call *call = begin (ctx, DFF_HTTP_CALL_LOOKUP, done, user);
	json_t *root = json_pack ("{s:s}", "write_id", write_id->data);
	dff_http_call_send_json (call, "/v1/table/lookup", root, handle_response);
}

struct dff_http_table *
dff_http_table_new (const struct dff_http_service_options *options)
{
	struct dff_http_table *table = g_new0 (struct dff_http_table, 1);
	dff_http_service_init (&table->service, options);
	table->interface.get = table_get;
	table->interface.scan = table_scan;
	table->interface.commit = table_commit;
	table->interface.lookup = table_lookup;
	table->interface.ctx = table;
	return table;
}

void
dff_http_table_free (struct dff_http_table *table)
{
	dff_http_service_clear (&table->service);
	g_free (table);
}

const struct dff_table *
dff_http_table_interface (struct dff_http_table *table)
{
	return &table->interface;
}
