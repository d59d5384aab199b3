#include "record/group.h"

#include "backing/table_txn.h"

static size_t
count_bytes (const struct dff_table_txn *txn)
{
	size_t n_bytes = 0;
	for (size_t i = 0; i < txn->n_writes; i++)
		n_bytes += txn->writes[i].key.len + txn->writes[i].value.len;
	return n_bytes;
}

struct dff_record_unit *
dff_record_unit_new (const struct dff_record_write *write,
		     uint64_t ticket,
		     int64_t now_ms,
		     dff_record_func done,
		     void *user)
{
	struct dff_table_txn txn = {
		.conditions = write->conditions,
		.n_conditions = write->n_conditions,
		.writes = write->writes,
		.n_writes = write->n_writes,
	};
	struct dff_record_unit *unit = g_new0 (struct dff_record_unit, 1);
	unit->ticket = ticket;
	unit->txn = dff_table_txn_copy (&txn);
	unit->queued_ms = now_ms;
	unit->n_bytes = count_bytes (unit->txn);
	unit->has_timeout = write->queue_timeout_ms > 0;
	unit->expires_ms = unit->has_timeout ? now_ms + write->queue_timeout_ms : INT64_MAX;
	unit->done = done;
	unit->user = user;
	return unit;
}

void
dff_record_unit_free (struct dff_record_unit *unit)
{
	dff_table_txn_free (unit->txn);
	g_free (unit);
}

struct dff_record_group *
dff_record_group_new (const struct dff_name *write_id)
{
	struct dff_record_group *group = g_new0 (struct dff_record_group, 1);
	group->write_id = *write_id;
	group->units = g_ptr_array_new ();
	return group;
}

void
dff_record_group_free (struct dff_record_group *group)
{
	g_ptr_array_unref (group->units);
	g_free (group);
}

void
dff_record_group_add (struct dff_record_group *group, struct dff_record_unit *unit)
{
	unit->group = group;
	g_ptr_array_add (group->units, unit);
}

bool
dff_record_group_fits (const struct dff_record_group *group,
		       const struct dff_record_unit *unit,
		       size_t max_rows,
		       size_t max_bytes)
{
	if (group->units->len == 0)
		return true;
	size_t n_rows = unit->txn->n_writes;
	size_t n_bytes = unit->n_bytes;
	for (guint i = 0; i < group->units->len; i++) {
		const struct dff_record_unit *member = group->units->pdata[i];
		if (member->ungrouped)
			return false;
		n_rows += member->txn->n_writes;
		n_bytes += member->n_bytes;
	}
	return !unit->ungrouped && n_rows <= max_rows && n_bytes <= max_bytes;
}

bool
dff_record_group_is_suspect (const struct dff_record_group *group)
{
	const struct dff_record_unit *first = group->units->pdata[0];
	return group->units->len == 1 && first->refusals >= DFF_RECORD_SUSPECT_REFUSALS;
}

static void
add_condition (GArray *conditions, const struct dff_table_condition *condition)
{
	for (guint i = 0; i < conditions->len; i++) {
		const struct dff_table_condition *other =
			&g_array_index (conditions, struct dff_table_condition, i);
		if (dff_str_equal (other->key, condition->key))
			return;
	}
	g_array_append_val (conditions, *condition);
}

void
dff_record_group_build (const struct dff_record_group *group, struct dff_record_group_txn *out)
{
	out->conditions = g_array_new (FALSE, FALSE, sizeof (struct dff_table_condition));
	out->writes = g_array_new (FALSE, FALSE, sizeof (struct dff_table_write));
	for (guint i = 0; i < group->units->len; i++) {
		const struct dff_record_unit *unit = group->units->pdata[i];
		for (size_t j = 0; j < unit->txn->n_conditions; j++)
			add_condition (out->conditions, &unit->txn->conditions[j]);
		g_array_append_vals (out->writes, unit->txn->writes, (guint)unit->txn->n_writes);
	}
	out->txn.write_id = group->write_id;
	out->txn.conditions = (const struct dff_table_condition *)out->conditions->data;
	out->txn.n_conditions = out->conditions->len;
	out->txn.writes = (const struct dff_table_write *)out->writes->data;
	out->txn.n_writes = out->writes->len;
}

void
dff_record_group_txn_clear (struct dff_record_group_txn *out)
{
	g_array_unref (out->conditions);
	g_array_unref (out->writes);
}

static int64_t
revision_of (struct dff_str key, const struct dff_table_row *rows, size_t n_rows)
{
	for (size_t i = 0; i < n_rows; i++) {
		if (dff_str_equal (rows[i].key, key))
			return rows[i].revision;
	}
	return 0;
}

bool
dff_record_unit_conflicts (const struct dff_record_unit *unit,
			   const struct dff_table_row *rows,
			   size_t n_rows)
{
	for (size_t i = 0; i < unit->txn->n_conditions; i++) {
		const struct dff_table_condition *condition = &unit->txn->conditions[i];
		if (revision_of (condition->key, rows, n_rows) != condition->revision)
			return true;
	}
	return false;
}
