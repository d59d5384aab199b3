#include "standin/memory_rows.h"

#include <string.h>

/** Default time until an answer, ms. */
#define DELAY_MS 4
/** Time after which a call whose answer is lost ends, as if its connection broke, ms. */
#define DISCONNECT_MS 10
/** Interval at which a waiting feed polls for changes, ms. */
#define FEED_POLL_MS 5
/** Offset of the store's steady clock from the machines' clocks, ms. */
#define STORE_CLOCK_AHEAD_MS 777000

struct dff_memory_rows {
	struct dff_virtual_loop *loop;
	/** Maps "TABLE/KEY" to struct stored_row, in order. */
	GTree *rows;
	/** Elements: struct change, oldest first. */
	GPtrArray *changes;
	int64_t revision;
	/** Changes up to this revision are compacted. */
	int64_t compacted;
	GPtrArray *clients;
	GRand *rand;
};

struct stored_row {
	GString *value;
	int64_t revision;
};

struct change {
	char *name;
	int64_t revision;
};

struct dff_memory_rows_client {
	struct dff_rows interface;
	struct dff_memory_rows *rows;
	struct dff_memory_rows_faults faults;
	bool ended;
};

enum call_kind {
	DFF_CALL_COMMIT,
	DFF_CALL_GET,
	DFF_CALL_FEED,
};

struct call {
	struct dff_memory_rows_client *client;
	enum call_kind kind;
	dff_rows_func done;
	void *user;
	/** Of a commit; elements: struct dff_rows_condition and struct dff_rows_write. */
	GArray *conditions;
	GArray *writes;
	char *table;
	GString *from;
	GString *to;
	int32_t limit;
	int64_t after;
	int64_t until_ms;
	int64_t timeout_ms;
	/** Elements: GString; the keys and values of conditions and writes point into them. */
	GPtrArray *texts;
};

/* The store's clock differs from the machines' clocks, so that mixing them up shows. */
static int64_t
store_ms (const struct dff_memory_rows *rows)
{
	return dff_virtual_loop_now_ms (rows->loop) + STORE_CLOCK_AHEAD_MS;
}

static void
string_free (gpointer string)
{
	g_string_free (string, TRUE);
}

static void
stored_row_free (gpointer data)
{
	struct stored_row *row = data;
	g_string_free (row->value, TRUE);
	g_free (row);
}

static void
change_free (gpointer data)
{
	struct change *change = data;
	g_free (change->name);
	g_free (change);
}

static int
compare_keys (gconstpointer a, gconstpointer b, gpointer user)
{
	(void)user;
	return strcmp (a, b);
}

static char *
row_name (const char *table, struct dff_str key)
{
	return g_strdup_printf ("%s/%.*s", table, (int)key.len, key.data);
}

struct dff_memory_rows *
dff_memory_rows_new (struct dff_virtual_loop *loop)
{
	struct dff_memory_rows *rows = g_new0 (struct dff_memory_rows, 1);
	rows->loop = loop;
	rows->rows = g_tree_new_full (compare_keys, NULL, g_free, stored_row_free);
	rows->changes = g_ptr_array_new_with_free_func (change_free);
	rows->clients = g_ptr_array_new_with_free_func (g_free);
	rows->rand = g_rand_new_with_seed (1);
	return rows;
}

void
dff_memory_rows_free (struct dff_memory_rows *rows)
{
	g_tree_unref (rows->rows);
	g_ptr_array_unref (rows->changes);
	g_ptr_array_unref (rows->clients);
	g_rand_free (rows->rand);
	g_free (rows);
}

void
dff_memory_rows_seed (struct dff_memory_rows *rows, guint32 seed)
{
	g_rand_set_seed (rows->rand, seed);
}

void
dff_memory_rows_drop_history (struct dff_memory_rows *rows)
{
	rows->compacted = rows->revision;
}

static void
apply_write (struct dff_memory_rows *rows, const struct dff_rows_write *write)
{
	char *name = row_name (write->table, write->key);
	struct change *change = g_new0 (struct change, 1);
	change->name = g_strdup (name);
	change->revision = rows->revision;
	g_ptr_array_add (rows->changes, change);
	if (write->remove) {
		g_tree_remove (rows->rows, name);
		g_free (name);
		return;
	}
	struct stored_row *row = g_new0 (struct stored_row, 1);
	row->value = g_string_new_len (write->value.data, (gssize)write->value.len);
	row->revision = rows->revision;
	g_tree_replace (rows->rows, name, row);
}

static bool
conditions_hold (struct dff_memory_rows *rows, const GArray *conditions)
{
	for (guint i = 0; i < conditions->len; i++) {
		const struct dff_rows_condition *at =
			&g_array_index (conditions, struct dff_rows_condition, i);
		g_autofree char *name = row_name (at->table, at->key);
		const struct stored_row *row = g_tree_lookup (rows->rows, name);
		if ((row != NULL ? row->revision : 0) != at->revision)
			return false;
	}
	return true;
}

static bool
apply_commit (const struct call *call)
{
	struct dff_memory_rows *rows = call->client->rows;
	if (!conditions_hold (rows, call->conditions))
		return false;
	rows->revision++;
	for (guint i = 0; i < call->writes->len; i++)
		apply_write (rows, &g_array_index (call->writes, struct dff_rows_write, i));
	return true;
}

static void
call_free (struct call *call)
{
	g_array_unref (call->conditions);
	g_array_unref (call->writes);
	g_ptr_array_unref (call->texts);
	g_string_free (call->from, TRUE);
	g_string_free (call->to, TRUE);
	g_free (call->table);
	g_free (call);
}

static void
call_complete (struct call *call, const struct dff_rows_result *result)
{
	if (!call->client->ended)
		call->done (call->user, result);
	call_free (call);
}

static void
complete_with (struct call *call, enum dff_rows_outcome outcome)
{
	struct dff_rows_result result = {.outcome = outcome};
	call_complete (call, &result);
}

static void
fail_unanswered (void *user)
{
	struct call *call = user;
	complete_with (call, call->kind == DFF_CALL_COMMIT ? DFF_ROWS_UNKNOWN : DFF_ROWS_NOT_DONE);
}

static void
apply_late (void *user)
{
	struct call *call = user;
	apply_commit (call);
	call_free (call);
}

static struct dff_row
make_row (const char *name, const struct stored_row *stored)
{
	const char *slash = strchr (name, '/');
	struct dff_row row = {.table = {name, (size_t)(slash - name)},
			      .key = dff_str_from (slash + 1),
			      .removed = stored == NULL};
	if (stored != NULL) {
		row.value = (struct dff_str){stored->value->str, stored->value->len};
		row.revision = stored->revision;
	}
	return row;
}

static void
answer_conflict (struct call *call)
{
	struct dff_memory_rows *rows = call->client->rows;
	g_autoptr (GArray) found = g_array_new (FALSE, FALSE, sizeof (struct dff_row));
	g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);
	for (guint i = 0; i < call->conditions->len; i++) {
		const struct dff_rows_condition *at =
			&g_array_index (call->conditions, struct dff_rows_condition, i);
		char *name = row_name (at->table, at->key);
		g_ptr_array_add (names, name);
		const struct stored_row *stored = g_tree_lookup (rows->rows, name);
		if (stored == NULL)
			continue;
		struct dff_row row = make_row (name, stored);
		g_array_append_val (found, row);
	}
	struct dff_rows_result result = {.outcome = DFF_ROWS_CONFLICT,
					 .revision = rows->revision,
					 .store_ms = store_ms (rows),
					 .rows = (const struct dff_row *)(void *)found->data,
					 .n_rows = found->len};
	call_complete (call, &result);
}

struct scan {
	const struct call *call;
	GArray *found;
	bool more;
};

static gboolean
scan_row (gpointer key, gpointer value, gpointer user)
{
	struct scan *scan = user;
	struct dff_row row = make_row (key, value);
	if (!dff_str_equal (row.table, dff_str_from (scan->call->table)) ||
	    strcmp (row.key.data, scan->call->from->str) < 0 ||
	    (scan->call->to->len > 0 && strcmp (row.key.data, scan->call->to->str) >= 0))
		return FALSE;
	scan->more = (int32_t)scan->found->len == scan->call->limit;
	if (!scan->more)
		g_array_append_val (scan->found, row);
	return scan->more;
}

static void
answer_get (struct call *call)
{
	struct dff_memory_rows *rows = call->client->rows;
	g_autoptr (GArray) found = g_array_new (FALSE, FALSE, sizeof (struct dff_row));
	struct scan scan = {.call = call, .found = found};
	g_tree_foreach (rows->rows, scan_row, &scan);
	struct dff_rows_result result = {.outcome = DFF_ROWS_DONE,
					 .revision = rows->revision,
					 .store_ms = store_ms (rows),
					 .rows = (const struct dff_row *)(void *)found->data,
					 .n_rows = found->len,
					 .more = scan.more};
	call_complete (call, &result);
}

/* Returns: the revision up to which @found holds all changes. */
static int64_t
find_changes (const struct call *call, GArray *found)
{
	struct dff_memory_rows *rows = call->client->rows;
	int64_t last = call->after;
	for (guint i = 0; i < rows->changes->len; i++) {
		const struct change *change = g_ptr_array_index (rows->changes, i);
		struct dff_row row =
			make_row (change->name, g_tree_lookup (rows->rows, change->name));
		if (change->revision <= call->after ||
		    !dff_str_equal (row.table, dff_str_from (call->table)))
			continue;
		if (found->len == DFF_ROWS_ANSWER_MAX)
			return last;
		last = change->revision;
		g_array_append_val (found, row);
	}
	return rows->revision;
}

static void
poll_feed (void *user)
{
	struct call *call = user;
	struct dff_memory_rows *rows = call->client->rows;
	int64_t now_ms = dff_virtual_loop_now_ms (rows->loop);
	if (call->client->faults.silent) {
		dff_virtual_loop_schedule (rows->loop, MAX (call->timeout_ms - now_ms, 0),
					   fail_unanswered, call);
		return;
	}
	if (call->after < rows->compacted) {
		complete_with (call, DFF_ROWS_HISTORY_GONE);
		return;
	}
	g_autoptr (GArray) found = g_array_new (FALSE, FALSE, sizeof (struct dff_row));
	int64_t revision = call->after;
	if (!call->client->faults.feeds_held)
		revision = find_changes (call, found);
	if (found->len == 0 && now_ms < call->until_ms) {
		dff_virtual_loop_schedule (rows->loop, FEED_POLL_MS, poll_feed, call);
		return;
	}
	struct dff_rows_result result = {.outcome = DFF_ROWS_DONE,
					 .revision = revision,
					 .store_ms = store_ms (rows),
					 .rows = (const struct dff_row *)(void *)found->data,
					 .n_rows = found->len};
	call_complete (call, &result);
}

static void
execute (void *user)
{
	struct call *call = user;
	struct dff_memory_rows *rows = call->client->rows;
	if (call->kind == DFF_CALL_GET) {
		answer_get (call);
		return;
	}
	if (call->kind == DFF_CALL_FEED) {
		poll_feed (call);
		return;
	}
	if (!apply_commit (call)) {
		answer_conflict (call);
		return;
	}
	struct dff_rows_result result = {
		.outcome = DFF_ROWS_DONE, .revision = rows->revision, .store_ms = store_ms (rows)};
	call_complete (call, &result);
}

/* The answer is lost: the call ends after @end_ms, and takes effect after @effect_ms. */
static void
lose_answer (struct call *call, int32_t effect_ms, int64_t end_ms)
{
	struct dff_memory_rows *rows = call->client->rows;
	struct call *effect = g_memdup2 (call, sizeof (*call));
	g_array_ref (effect->conditions);
	g_array_ref (effect->writes);
	g_ptr_array_ref (effect->texts);
	effect->from = g_string_new (NULL);
	effect->to = g_string_new (NULL);
	effect->table = NULL;
	dff_virtual_loop_schedule (rows->loop, effect_ms, apply_late, effect);
	dff_virtual_loop_schedule (rows->loop, end_ms, fail_unanswered, call);
}

static bool
is_read_from (const struct call *call, const char *key)
{
	return key != NULL && call->kind == DFF_CALL_GET && strcmp (call->from->str, key) == 0;
}

static bool
writes_key (const struct call *call, const char *key)
{
	for (guint i = 0; key != NULL && i < call->writes->len; i++) {
		const struct dff_rows_write *write =
			&g_array_index (call->writes, struct dff_rows_write, i);
		if (dff_str_equal (write->key, dff_str_from (key)))
			return true;
	}
	return false;
}

static void
submit (struct call *call)
{
	struct dff_memory_rows *rows = call->client->rows;
	const struct dff_memory_rows_faults *faults = &call->client->faults;
	int64_t now_ms = dff_virtual_loop_now_ms (rows->loop);
	int32_t chance = g_rand_int_range (rows->rand, 0, 1000);
	if (faults->silent || is_read_from (call, faults->silent_key)) {
		dff_virtual_loop_schedule (rows->loop, call->timeout_ms - now_ms, fail_unanswered,
					   call);
		return;
	}
	if (faults->refuses || is_read_from (call, faults->refused_read_key) ||
	    writes_key (call, faults->refused_key)) {
		/* The call ends as a read, with NOT_DONE: a refused commit certainly has no effect.
		 */
		call->kind = DFF_CALL_GET;
		dff_virtual_loop_schedule (rows->loop, DELAY_MS, fail_unanswered, call);
		return;
	}
	if (call->kind == DFF_CALL_COMMIT && chance < faults->lost_permille) {
		lose_answer (call, 0, DISCONNECT_MS);
		return;
	}
	if (call->kind == DFF_CALL_COMMIT &&
	    chance < faults->lost_permille + faults->late_permille) {
		lose_answer (call, faults->late_ms, DISCONNECT_MS);
		return;
	}
	int32_t delay_ms = faults->delay_ms > 0 ? faults->delay_ms : DELAY_MS;
	if (call->kind == DFF_CALL_GET && faults->row_us > 0) {
		int32_t n_rows = (int32_t)dff_memory_rows_count (rows, call->table);
		delay_ms += MIN (n_rows, call->limit) * faults->row_us / 1000;
	}
	if (call->kind == DFF_CALL_COMMIT)
		delay_ms = MAX (delay_ms, faults->commit_delay_ms);
	int64_t left_ms = call->timeout_ms - now_ms;
	if (delay_ms <= left_ms)
		dff_virtual_loop_schedule (rows->loop, delay_ms, execute, call);
	else if (call->kind == DFF_CALL_COMMIT)
		lose_answer (call, delay_ms, left_ms);
	else
		dff_virtual_loop_schedule (rows->loop, left_ms, fail_unanswered, call);
}

static struct call *
call_new (struct dff_memory_rows_client *client,
	  enum call_kind kind,
	  int32_t timeout_ms,
	  dff_rows_func done,
	  void *user)
{
	struct call *call = g_new0 (struct call, 1);
	call->client = client;
	call->kind = kind;
	call->done = done;
	call->user = user;
	call->timeout_ms = dff_virtual_loop_now_ms (client->rows->loop) + timeout_ms;
	call->conditions = g_array_new (FALSE, FALSE, sizeof (struct dff_rows_condition));
	call->writes = g_array_new (FALSE, FALSE, sizeof (struct dff_rows_write));
	call->texts = g_ptr_array_new_with_free_func (string_free);
	call->from = g_string_new (NULL);
	call->to = g_string_new (NULL);
	return call;
}

static struct dff_str
copy_text (struct call *call, struct dff_str text)
{
	GString *copy = g_string_new_len (text.data, (gssize)text.len);
	g_ptr_array_add (call->texts, copy);
	return (struct dff_str){copy->str, copy->len};
}

static void
client_commit (void *ctx, const struct dff_rows_commit *commit, dff_rows_func done, void *user)
{
	g_assert_cmpuint (commit->n_conditions + commit->n_writes, <=, DFF_ROWS_COMMIT_MAX);
	struct call *call = call_new (ctx, DFF_CALL_COMMIT, commit->timeout_ms, done, user);
	for (size_t i = 0; i < commit->n_conditions; i++) {
		struct dff_rows_condition at = commit->conditions[i];
		at.key = copy_text (call, at.key);
		g_array_append_val (call->conditions, at);
	}
	for (size_t i = 0; i < commit->n_writes; i++) {
		struct dff_rows_write at = commit->writes[i];
		at.key = copy_text (call, at.key);
		at.value = copy_text (call, at.value);
		g_array_append_val (call->writes, at);
	}
	submit (call);
}

static void
client_get (void *ctx, const struct dff_rows_range *range, dff_rows_func done, void *user)
{
	struct call *call = call_new (ctx, DFF_CALL_GET, range->timeout_ms, done, user);
	call->table = g_strdup (range->table);
	g_string_append_len (call->from, range->from.data, (gssize)range->from.len);
	g_string_append_len (call->to, range->to.data, (gssize)range->to.len);
	call->limit = range->limit;
	submit (call);
}

static void
client_feed (void *ctx, const struct dff_rows_feed *feed, dff_rows_func done, void *user)
{
	struct call *call = call_new (ctx, DFF_CALL_FEED, feed->timeout_ms, done, user);
	call->table = g_strdup (feed->table);
	call->after = feed->after;
	call->until_ms = dff_virtual_loop_now_ms (call->client->rows->loop) + feed->wait_ms;
	submit (call);
}

struct dff_memory_rows_client *
dff_memory_rows_client_new (struct dff_memory_rows *rows)
{
	struct dff_memory_rows_client *client = g_new0 (struct dff_memory_rows_client, 1);
	client->rows = rows;
	client->interface = (struct dff_rows){
		.commit = client_commit, .get = client_get, .feed = client_feed, .ctx = client};
	g_ptr_array_add (rows->clients, client);
	return client;
}

struct dff_memory_rows_faults *
dff_memory_rows_client_faults (struct dff_memory_rows_client *client)
{
	return &client->faults;
}

const struct dff_rows *
dff_memory_rows_client_interface (struct dff_memory_rows_client *client)
{
	return &client->interface;
}

void
dff_memory_rows_client_end (struct dff_memory_rows_client *client)
{
	client->ended = true;
}

void
dff_memory_rows_put (struct dff_memory_rows *rows,
		     const char *table,
		     const char *key,
		     struct dff_str value)
{
	struct dff_rows_write write = {.table = table, .key = dff_str_from (key), .value = value};
	rows->revision++;
	apply_write (rows, &write);
}

void
dff_memory_rows_remove (struct dff_memory_rows *rows, const char *table, const char *key)
{
	struct dff_rows_write write = {.table = table, .key = dff_str_from (key), .remove = true};
	rows->revision++;
	apply_write (rows, &write);
}

const GString *
dff_memory_rows_peek (struct dff_memory_rows *rows, const char *table, const char *key)
{
	g_autofree char *name = row_name (table, dff_str_from (key));
	const struct stored_row *row = g_tree_lookup (rows->rows, name);
	return row != NULL ? row->value : NULL;
}

guint
dff_memory_rows_count (struct dff_memory_rows *rows, const char *table)
{
	struct call all = {.table = (char *)table, .limit = INT32_MAX};
	all.from = g_string_new (NULL);
	all.to = g_string_new (NULL);
	g_autoptr (GArray) found = g_array_new (FALSE, FALSE, sizeof (struct dff_row));
	struct scan scan = {.call = &all, .found = found};
	g_tree_foreach (rows->rows, scan_row, &scan);
	g_string_free (all.from, TRUE);
	g_string_free (all.to, TRUE);
	return found->len;
}
