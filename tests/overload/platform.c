#include "platform.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/event_loop.h"
#include "common/http_connection.h"

/** Separates the parts of a row's name; sorts before every character of a key. */
#define SEPARATOR "\x01"

struct row {
	char *table;
	char *part;
	char *key;
	/** Base64. */
	char *value;
	json_int_t version;
	bool removed;
};

struct platform {
	struct event_base *base;
	int events_fd;
	/** "TABLE\1PART\1KEY" -> struct row, with removed ones. */
	GTree *rows;
	json_int_t version;
	/** Calls that wait for a change. Elements: struct waiter *. */
	GPtrArray *feeds;
	/** Id -> struct worker. */
	GHashTable *workers;
};

struct worker {
	struct platform *platform;
	/** Calls that wait for the end of a run. */
	GPtrArray *holds;
	/** Ends of runs that are not acknowledged yet. */
	json_t *ended;
	json_int_t n_ended;
};

struct waiter {
	struct platform *platform;
	/** NULL: a call of the store. */
	struct worker *worker;
	struct evhttp_request *request;
	struct event *timeout;
	char *table;
	json_int_t after;
};

static json_int_t
now_ms (void)
{
	return dff_clock_now_ms (dff_clock_system ());
}

static void
answer (struct evhttp_request *request, int status, json_t *body)
{
	g_autofree char *text = json_dumps (body, JSON_COMPACT);
	evbuffer_add (evhttp_request_get_output_buffer (request), text, strlen (text));
	evhttp_send_reply (request, status, NULL, NULL);
	json_decref (body);
}

static json_t *
read_body (struct evhttp_request *request)
{
	struct evbuffer *input = evhttp_request_get_input_buffer (request);
	size_t length = evbuffer_get_length (input);
	return json_loadb ((const char *)evbuffer_pullup (input, -1), length, 0, NULL);
}

static void
notify_call (const struct platform *platform)
{
	ssize_t n = write (platform->events_fd, "", 1);
	(void)n;
}

static gint
compare_names (gconstpointer a, gconstpointer b, gpointer user)
{
	(void)user;
	return strcmp (a, b);
}

static char *
row_name (const char *table, const char *part, const char *key)
{
	return g_strjoin (SEPARATOR, table, part, key, NULL);
}

static void
put_row (struct platform *platform,
	 const char *table,
	 const char *part,
	 const char *key,
	 const char *value)
{
	struct row *row = g_new0 (struct row, 1);
	*row = (struct row){.table = g_strdup (table),
			    .part = g_strdup (part),
			    .key = g_strdup (key),
			    .value = g_strdup (value != NULL ? value : ""),
			    .version = platform->version,
			    .removed = value == NULL};
	g_tree_replace (platform->rows, row_name (table, part, key), row);
}

static void
put_json (struct platform *platform, const char *table, const char *key, const char *json)
{
	g_autofree char *encoded = g_base64_encode ((const guchar *)json, strlen (json));
	platform->version++;
	put_row (platform, table, "", key, encoded);
}

static json_t *
row_to_json (const struct row *row)
{
	json_t *json = json_pack ("{s:s, s:s, s:s, s:I}", "table", row->table, "part", row->part,
				  "key", row->key, "ver", row->version);
	if (row->removed)
		json_object_set_new (json, "removed", json_true ());
	else
		json_object_set_new (json, "value", json_string (row->value));
	return json;
}

static json_t *
stamped (const struct platform *platform, json_t *rows)
{
	return json_pack ("{s:o, s:I, s:I}", "rows", rows, "ver", platform->version, "now_ms",
			  now_ms ());
}

struct selection {
	const char *table;
	/** NULL: any. */
	const char *part;
	const char *from;
	const char *to;
	json_int_t after;
	bool with_removed;
	json_t *rows;
};

static gboolean
select_row (gpointer name, gpointer value, gpointer user)
{
	(void)name;
	const struct row *row = value;
	struct selection *selection = user;
	if (strcmp (row->table, selection->table) == 0 && row->version > selection->after &&
	    (selection->part == NULL || strcmp (row->part, selection->part) == 0) &&
	    (selection->from == NULL || strcmp (row->key, selection->from) >= 0) &&
	    (selection->to == NULL || strcmp (row->key, selection->to) < 0) &&
	    (!row->removed || selection->with_removed))
		json_array_append_new (selection->rows, row_to_json (row));
	return FALSE;
}

static json_t *
select_rows (const struct platform *platform, struct selection selection)
{
	selection.rows = json_array ();
	g_tree_foreach (platform->rows, select_row, &selection);
	return selection.rows;
}

static void
waiter_answer (struct waiter *waiter, GPtrArray *list, json_t *body)
{
	g_ptr_array_remove_fast (list, waiter);
	answer (waiter->request, 200, body);
	event_free (waiter->timeout);
	g_free (waiter->table);
	g_free (waiter);
}

static json_t *
changes_of (const struct waiter *waiter)
{
	return select_rows (waiter->platform, (struct selection){.table = waiter->table,
								 .after = waiter->after,
								 .with_removed = true});
}

static void
handle_feed_timeout (evutil_socket_t fd, short events, void *ctx)
{
	(void)fd;
	(void)events;
	struct waiter *waiter = ctx;
	waiter_answer (waiter, waiter->platform->feeds,
		       stamped (waiter->platform, changes_of (waiter)));
}

static void
notify_feeds (struct platform *platform)
{
	for (guint i = platform->feeds->len; i > 0; i--) {
		struct waiter *waiter = g_ptr_array_index (platform->feeds, i - 1);
		json_t *changes = changes_of (waiter);
		if (json_array_size (changes) > 0)
			waiter_answer (waiter, platform->feeds, stamped (platform, changes));
		else
			json_decref (changes);
	}
}

static struct waiter *
waiter_add (struct platform *platform,
	    GPtrArray *list,
	    struct evhttp_request *request,
	    event_callback_fn timeout,
	    int32_t wait_ms)
{
	struct waiter *waiter = g_new0 (struct waiter, 1);
	struct timeval wait = dff_timeval_from_ms (wait_ms);
	waiter->platform = platform;
	waiter->request = request;
	waiter->timeout = evtimer_new (platform->base, timeout, waiter);
	evtimer_add (waiter->timeout, &wait);
	g_ptr_array_add (list, waiter);
	return waiter;
}

static const char *
text_of (const json_t *object, const char *key)
{
	const char *text = json_string_value (json_object_get (object, key));
	return text != NULL ? text : "";
}

static const struct row *
find_row (const struct platform *platform, const json_t *reference)
{
	g_autofree char *name = row_name (text_of (reference, "table"), text_of (reference, "part"),
					  text_of (reference, "key"));
	const struct row *row = g_tree_lookup (platform->rows, name);
	return row != NULL && !row->removed ? row : NULL;
}

static void
apply_rows (struct platform *platform, const json_t *list, bool remove)
{
	for (size_t i = 0; i < json_array_size (list); i++) {
		const json_t *row = json_array_get (list, i);
		put_row (platform, text_of (row, "table"), text_of (row, "part"),
			 text_of (row, "key"), remove ? NULL : text_of (row, "value"));
	}
}

static void
handle_transaction (struct evhttp_request *request, void *ctx)
{
	struct platform *platform = ctx;
	notify_call (platform);
	json_t *body = read_body (request);
	json_t *present = json_array ();
	bool holds = true;
	const json_t *expected = json_object_get (body, "expected_rev");
	for (size_t i = 0; i < json_array_size (expected); i++) {
		const json_t *condition = json_array_get (expected, i);
		const struct row *row = find_row (platform, condition);
		json_int_t version = json_integer_value (json_object_get (condition, "ver"));
		holds = holds && version == (row != NULL ? row->version : 0);
		if (row != NULL)
			json_array_append_new (present, row_to_json (row));
	}
	if (holds) {
		platform->version++;
		apply_rows (platform, json_object_get (body, "writes"), false);
		apply_rows (platform, json_object_get (body, "remove"), true);
		json_array_clear (present);
	}
	answer (request, holds ? 200 : 412, stamped (platform, present));
	json_decref (body);
	notify_feeds (platform);
}

static void
handle_get (struct evhttp_request *request, void *ctx)
{
	const struct platform *platform = ctx;
	notify_call (platform);
	struct evkeyvalq fields;
	evhttp_parse_query_str (evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request)),
				&fields);
	json_t *rows = select_rows (
		platform, (struct selection){.table = evhttp_find_header (&fields, "table"),
					     .part = evhttp_find_header (&fields, "part"),
					     .from = evhttp_find_header (&fields, "from"),
					     .to = evhttp_find_header (&fields, "target")});
	size_t limit = (size_t)atoi (evhttp_find_header (&fields, "limit"));
	bool more = json_array_size (rows) > limit;
	while (json_array_size (rows) > limit)
		json_array_remove (rows, json_array_size (rows) - 1);
	json_t *body = stamped (platform, rows);
	json_object_set_new (body, "has_more", json_boolean (more));
	answer (request, 200, body);
	evhttp_clear_headers (&fields);
}

static void
handle_feed (struct evhttp_request *request, void *ctx)
{
	struct platform *platform = ctx;
	notify_call (platform);
	struct evkeyvalq fields;
	evhttp_parse_query_str (evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request)),
				&fields);
	struct waiter *waiter = waiter_add (platform, platform->feeds, request, handle_feed_timeout,
					    atoi (evhttp_find_header (&fields, "wait_ms")));
	waiter->table = g_strdup (evhttp_find_header (&fields, "table"));
	waiter->after = g_ascii_strtoll (evhttp_find_header (&fields, "after"), NULL, 10);
	evhttp_clear_headers (&fields);
	notify_feeds (platform);
}

/* The worker that the call is meant for. */
static struct worker *
worker_of (struct evhttp_request *request, struct platform *platform)
{
	const char *id = evhttp_find_header (evhttp_request_get_input_headers (request),
					     "Dragonflyfold-Expected-Instance");
	struct worker *worker = g_hash_table_lookup (platform->workers, id);
	if (worker != NULL)
		return worker;
	worker = g_new0 (struct worker, 1);
	*worker = (struct worker){
		.platform = platform, .holds = g_ptr_array_new (), .ended = json_array ()};
	g_hash_table_insert (platform->workers, g_strdup (id), worker);
	return worker;
}

static json_t *
lists_of (const struct worker *worker)
{
	return json_pack ("{s:I, s:[], s:O}", "clock_ms", now_ms (), "running", "ended_runs",
			  worker->ended);
}

static void
handle_hold_timeout (evutil_socket_t fd, short events, void *ctx)
{
	(void)fd;
	(void)events;
	struct waiter *waiter = ctx;
	waiter_answer (waiter, waiter->worker->holds, lists_of (waiter->worker));
}

static void
notify_holds (struct worker *worker)
{
	while (worker->holds->len > 0 && json_array_size (worker->ended) > 0)
		waiter_answer (g_ptr_array_index (worker->holds, 0), worker->holds,
			       lists_of (worker));
}

static void
handle_hold (struct evhttp_request *request, void *ctx)
{
	struct platform *platform = ctx;
	struct worker *worker = worker_of (request, platform);
	json_t *body = read_body (request);
	json_int_t acked = json_integer_value (json_object_get (body, "ack_cursor"));
	while (json_array_size (worker->ended) > 0 &&
	       json_integer_value (json_array_get (json_array_get (worker->ended, 0), 0)) <= acked)
		json_array_remove (worker->ended, 0);
	json_int_t wait_ms = json_integer_value (json_object_get (body, "wait_ms"));
	waiter_add (platform, worker->holds, request, handle_hold_timeout, (int32_t)wait_ms)
		->worker = worker;
	notify_holds (worker);
	json_decref (body);
}

static void
handle_start (struct evhttp_request *request, void *ctx)
{
	struct worker *worker = worker_of (request, ctx);
	json_t *body = read_body (request);
	worker->n_ended++;
	json_array_append_new (
		worker->ended,
		json_pack ("[I, s, I, s, s]", worker->n_ended, text_of (body, "task"),
			   json_integer_value (json_object_get (body, "run")), "done", ""));
	json_decref (body);
	answer (request, 200, json_pack ("{s:I}", "clock_ms", now_ms ()));
	notify_holds (worker);
}

static void
handle_stop (struct evhttp_request *request, void *ctx)
{
	(void)ctx;
	answer (request, 200, json_pack ("{s:I}", "clock_ms", now_ms ()));
}

static void
row_free (gpointer data)
{
	struct row *row = data;
	g_free (row->table);
	g_free (row->part);
	g_free (row->key);
	g_free (row->value);
	g_free (row);
}

void
platform_run (const struct platform_options *options)
{
	struct platform platform = {.base = dff_event_base_new (),
				    .events_fd = options->events_fd,
				    .rows = g_tree_new_full (compare_names, NULL, g_free, row_free),
				    .feeds = g_ptr_array_new (),
				    .workers = g_hash_table_new (g_str_hash, g_str_equal)};
	put_json (&platform, "op", "config", options->config);
	for (int i = 0; i < options->n_workers; i++) {
		g_autofree char *id = g_strdup_printf ("i-%06x", i + 1);
		put_json (&platform, "servers", id, options->workers[i]);
	}
	struct evhttp *store = evhttp_new (platform.base);
	evhttp_set_cb (store, "/api/rows-tx", handle_transaction, &platform);
	evhttp_set_cb (store, "/api/rows-get", handle_get, &platform);
	evhttp_set_cb (store, "/api/rows-feed", handle_feed, &platform);
	evhttp_accept_socket (store, options->store_fd);
	struct evhttp *worker = evhttp_new (platform.base);
	evhttp_set_cb (worker, "/api/hold", handle_hold, &platform);
	evhttp_set_cb (worker, "/api/run-start", handle_start, &platform);
	evhttp_set_cb (worker, "/api/run-stop", handle_stop, &platform);
	for (int i = 0; i < options->n_workers; i++)
		evhttp_accept_socket (worker, options->worker_fds[i]);
	event_base_dispatch (platform.base);
	exit (EXIT_FAILURE);
}
