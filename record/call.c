#include "record/recorder_state.h"

static struct dff_record_call *
call_new (struct dff_recorder *recorder,
	  enum dff_record_call_kind kind,
	  struct dff_record_group *group)
{
	struct dff_record_call *call = g_new0 (struct dff_record_call, 1);
	call->recorder = recorder;
	call->kind = kind;
	call->group = group;
	g_hash_table_add (recorder->calls, call);
	return call;
}

static void
mark_conflicts (const struct dff_record_group *group, const struct dff_table_result *result)
{
	for (guint i = 0; i < group->units->len; i++) {
		struct dff_record_unit *unit = group->units->pdata[i];
		unit->conflicts = dff_record_unit_conflicts (unit, result->rows, result->n_rows);
	}
}

static void
queue_answer (void *user, const struct dff_table_result *result)
{
	struct dff_record_call *call = user;
	call->outcome = result->outcome;
	call->revision = result->revision;
	if (call->kind == DFF_RECORD_CALL_READ && call->group != NULL &&
	    result->outcome == DFF_TABLE_OK)
		mark_conflicts (call->group, result);
	g_queue_push_tail (&call->recorder->answers, call);
}

struct dff_name
dff_recorder_next_write_id (struct dff_recorder *recorder)
{
	return dff_name_printf ("%s.%" G_GUINT64_FORMAT, recorder->write_id_prefix.data,
				recorder->next_write_id++);
}

void
dff_recorder_call_commit (struct dff_recorder *recorder, struct dff_record_group *group)
{
	const struct dff_table *table = recorder->options.table;
	struct dff_record_group_txn built;
	dff_record_group_build (group, &built);
	(*recorder->counters.commits)++;
	*recorder->counters.rows += (int64_t)built.txn.n_writes;
	table->commit (table->ctx, &built.txn, queue_answer,
		       call_new (recorder, DFF_RECORD_CALL_COMMIT, group));
	dff_record_group_txn_clear (&built);
}

void
dff_recorder_call_lookup (struct dff_recorder *recorder, struct dff_record_group *group)
{
	const struct dff_table *table = recorder->options.table;
	(*recorder->counters.lookups)++;
	table->lookup (table->ctx, &group->write_id, queue_answer,
		       call_new (recorder, DFF_RECORD_CALL_LOOKUP, group));
}

void
dff_recorder_call_read (struct dff_recorder *recorder, struct dff_record_group *group)
{
	const struct dff_table *table = recorder->options.table;
	struct dff_record_group_txn built;
	dff_record_group_build (group, &built);
	g_autoptr (GArray) keys = g_array_new (FALSE, FALSE, sizeof (struct dff_str));
	for (size_t i = 0; i < built.txn.n_conditions; i++)
		g_array_append_val (keys, built.txn.conditions[i].key);
	(*recorder->counters.conflict_reads)++;
	table->get (table->ctx, (const struct dff_str *)keys->data, keys->len, queue_answer,
		    call_new (recorder, DFF_RECORD_CALL_READ, group));
	dff_record_group_txn_clear (&built);
}

void
dff_recorder_call_probe (struct dff_recorder *recorder)
{
	const struct dff_table *table = recorder->options.table;
	struct dff_name write_id = dff_recorder_next_write_id (recorder);
	(*recorder->counters.lookups)++;
	table->lookup (table->ctx, &write_id, queue_answer,
		       call_new (recorder, DFF_RECORD_CALL_PROBE, NULL));
}

void
dff_recorder_detach_calls (struct dff_recorder *recorder, const struct dff_record_group *group)
{
	GHashTableIter iter;
	gpointer key;
	g_hash_table_iter_init (&iter, recorder->calls);
	while (g_hash_table_iter_next (&iter, &key, NULL)) {
		struct dff_record_call *call = key;
		if (call->group == group)
			call->group = NULL;
	}
}
