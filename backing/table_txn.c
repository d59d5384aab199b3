#include "backing/table_txn.h"

#include <string.h>

static size_t
bytes_needed (const struct dff_table_txn *txn)
{
	size_t total = 0;
	for (size_t i = 0; i < txn->n_conditions; i++)
		total += txn->conditions[i].key.len;
	for (size_t i = 0; i < txn->n_writes; i++)
		total += txn->writes[i].key.len + txn->writes[i].value.len;
	return total;
}

static struct dff_str
copy_str (char **next, struct dff_str str)
{
	/* NULL means deletion, an empty value does not: copy NULL as NULL. */
	if (str.data == NULL)
		return str;
	struct dff_str copy = {.data = *next, .len = str.len};
	if (str.len > 0)
		memcpy (*next, str.data, str.len);
	*next += str.len;
	return copy;
}

struct dff_table_txn *
dff_table_txn_copy (const struct dff_table_txn *txn)
{
	size_t conditions_size = txn->n_conditions * sizeof (struct dff_table_condition);
	size_t writes_size = txn->n_writes * sizeof (struct dff_table_write);
	size_t head_size = sizeof (struct dff_table_txn) + conditions_size + writes_size;
	char *memory = g_malloc (head_size + bytes_needed (txn) + 1);
	struct dff_table_txn *copy = (struct dff_table_txn *)memory;
	struct dff_table_condition *conditions =
		(struct dff_table_condition *)(memory + sizeof (struct dff_table_txn));
	struct dff_table_write *writes =
		(struct dff_table_write *)((char *)conditions + conditions_size);
	char *next = memory + head_size;
	*copy = *txn;
	copy->conditions = conditions;
	copy->writes = writes;
	for (size_t i = 0; i < txn->n_conditions; i++) {
		conditions[i].key = copy_str (&next, txn->conditions[i].key);
		conditions[i].revision = txn->conditions[i].revision;
	}
	for (size_t i = 0; i < txn->n_writes; i++) {
		writes[i].key = copy_str (&next, txn->writes[i].key);
		writes[i].value = copy_str (&next, txn->writes[i].value);
	}
	return copy;
}

void
dff_table_txn_free (struct dff_table_txn *txn)
{
	g_free (txn);
}
