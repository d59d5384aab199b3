#include "backing/memory_call.h"

#include "backing/table_txn.h"

static void
row_destroy (gpointer row)
{
	dff_memory_row_free (row);
}

struct dff_memory_call *
dff_memory_call_new (struct dff_memory_handle *handle, enum dff_memory_call_kind kind, void *user)
{
	struct dff_memory_call *call = g_new0 (struct dff_memory_call, 1);
	call->kind = kind;
	call->handle = handle;
	call->user = user;
	call->rows = g_ptr_array_new_with_free_func (row_destroy);
	return call;
}

void
dff_memory_call_free (struct dff_memory_call *call)
{
	g_clear_pointer (&call->keys, g_ptr_array_unref);
	g_clear_pointer (&call->key, g_bytes_unref);
	g_clear_pointer (&call->data, g_bytes_unref);
	g_clear_pointer (&call->txn, dff_table_txn_free);
	g_clear_pointer (&call->object, g_bytes_unref);
	g_clear_pointer (&call->instances, g_array_unref);
	g_ptr_array_unref (call->rows);
	g_free (call);
}

void
dff_memory_call_take_effect (struct dff_memory_call *call,
			     struct dff_memory_store *store,
			     struct dff_memory_instances *instances,
			     int64_t now_ms)
{
	call->revision = store->revision;
	switch (call->kind) {
	case DFF_CALL_GET:
		dff_memory_store_get (store, call->keys, call->rows);
		break;
	case DFF_CALL_SCAN:
		call->more = dff_memory_store_scan (store, dff_memory_str (call->key), call->after,
						    call->limit, call->rows);
		break;
	case DFF_CALL_COMMIT:
		call->outcome = dff_memory_store_commit (store, call->txn, &call->revision);
		break;
	case DFF_CALL_LOOKUP:
		call->outcome = dff_memory_store_lookup (store, &call->write_id, &call->revision);
		break;
	case DFF_CALL_PUT:
		call->object_outcome = dff_memory_store_put (store, call->key, call->data);
		break;
	case DFF_CALL_OBJECT_GET:
		call->object = dff_memory_store_object (store, call->key);
		break;
	case DFF_CALL_LIST:
		call->instances = dff_memory_instances_list (instances, now_ms);
		break;
	}
}

static void
answer_table (const struct dff_memory_call *call)
{
	g_autofree struct dff_table_row *rows = g_new (struct dff_table_row, call->rows->len + 1);
	for (guint i = 0; i < call->rows->len; i++) {
		const struct dff_memory_row *row = call->rows->pdata[i];
		rows[i].key = dff_memory_str (row->key);
		rows[i].value = dff_memory_str (row->value);
		rows[i].revision = row->revision;
	}
	struct dff_table_result result = {
		.outcome = call->outcome,
		.revision = call->revision,
		.rows = rows,
		.n_rows = call->rows->len,
		.more = call->more,
	};
	if (call->answer_lost)
		result.outcome = DFF_TABLE_UNCERTAIN;
	if (!call->available)
		result.outcome = DFF_TABLE_UNAVAILABLE;
	call->table_done (call->user, &result);
}

static void
answer_object (const struct dff_memory_call *call)
{
	struct dff_object_result result = {.outcome = call->object_outcome};
	if (call->object != NULL)
		result.data = dff_memory_str (call->object);
	else if (call->kind == DFF_CALL_OBJECT_GET)
		result.outcome = DFF_OBJECT_NOT_FOUND;
	if (!call->available)
		result.outcome = DFF_OBJECT_UNAVAILABLE;
	call->object_done (call->user, &result);
}

static void
answer_list (const struct dff_memory_call *call)
{
	struct dff_instance_list_result result = {.ok = call->available};
	if (call->instances != NULL) {
		result.instances = (const struct dff_instance *)call->instances->data;
		result.n_instances = call->instances->len;
	}
	call->list_done (call->user, &result);
}

void
dff_memory_call_answer (const struct dff_memory_call *call)
{
	if (call->handle == NULL)
		return;
	if (call->table_done != NULL)
		answer_table (call);
	else if (call->object_done != NULL)
		answer_object (call);
	else
		answer_list (call);
}
