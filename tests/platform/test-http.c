#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <string.h>

#include "common/event_loop.h"
#include "common/http_listen.h"
#include "holder/tables.h"
#include "platform/http_rows.h"
#include "platform/http_runner.h"

/* Tests the requests that are sent to the store and the workers, and the mapping of their answers:
 * a small server on loopback keeps each request and sends the answer of the case. */

struct server {
	struct event_base *base;
	struct evhttp *http;
	struct dff_name address;
	struct dff_metrics *metrics;
	struct dff_http_client *client;
	/** Request as received: "METHOD URI\nBODY". */
	GString *request;
	char *expected_incarnation;
	int status;
	const char *body;
	/** Whether the connection is closed instead of an answer. */
	bool drops;
};

static void
handle_request (struct evhttp_request *request, void *ctx)
{
	struct server *server = ctx;
	struct evbuffer *input = evhttp_request_get_input_buffer (request);
	size_t length = evbuffer_get_length (input);
	const char *incarnation = evhttp_find_header (evhttp_request_get_input_headers (request),
						      "Dragonflyfold-Expected-Instance");
	g_free (server->expected_incarnation);
	server->expected_incarnation = g_strdup (incarnation);
	g_string_printf (server->request, "%s %s\n",
			 evhttp_request_get_command (request) == EVHTTP_REQ_POST ? "POST" : "GET",
			 evhttp_request_get_uri (request));
	g_string_append_len (server->request, (const char *)evbuffer_pullup (input, -1),
			     (gssize)length);
	if (server->drops) {
		evhttp_connection_free (evhttp_request_get_connection (request));
		return;
	}
	struct evbuffer *output = evhttp_request_get_output_buffer (request);
	evbuffer_add (output, server->body, strlen (server->body));
	evhttp_send_reply (request, server->status, NULL, NULL);
}

static void
server_open (struct server *server)
{
	*server = (struct server){.base = dff_event_base_new (), .request = g_string_new (NULL)};
	struct dff_name any = dff_name_from ("127.0.0.1:0");
	server->http = evhttp_new (server->base);
	evhttp_set_gencb (server->http, handle_request, server);
	assert_non_null (dff_http_listen (server->http, &any, &server->address));
	server->metrics = dff_metrics_new ();
	struct dff_http_client_options options;
	dff_http_client_options_init (&options);
	options.base = server->base;
	options.metrics = server->metrics;
	server->client = dff_http_client_new (&options);
}

static void
server_close (struct server *server)
{
	dff_http_client_free (server->client);
	dff_metrics_free (server->metrics);
	evhttp_free (server->http);
	event_base_free (server->base);
	g_string_free (server->request, TRUE);
	g_free (server->expected_incarnation);
}

struct rows_answer {
	struct event_base *base;
	enum dff_rows_outcome outcome;
	int64_t revision;
	GString *rows;
	bool more;
};

static void
handle_rows (void *user, const struct dff_rows_result *result)
{
	struct rows_answer *answer = user;
	answer->outcome = result->outcome;
	answer->revision = result->revision;
	answer->more = result->more;
	g_string_truncate (answer->rows, 0);
	for (size_t i = 0; i < result->n_rows; i++) {
		g_string_append_printf (answer->rows, "%.*s/%.*s=%.*s@%d%s ",
					(int)result->rows[i].table.len, result->rows[i].table.data,
					(int)result->rows[i].key.len, result->rows[i].key.data,
					(int)result->rows[i].value.len, result->rows[i].value.data,
					(int)result->rows[i].revision,
					result->rows[i].removed ? " removed" : "");
	}
	event_base_loopbreak (answer->base);
}

static void
test_commit (void **state)
{
	(void)state;
	static const struct {
		int status;
		const char *body;
		bool drops;
		enum dff_rows_outcome outcome;
	} cases[] = {
		{200, "{\"ver\":412,\"now_ms\":51230}", false, DFF_ROWS_DONE},
		{412, "{\"ver\":413,\"rows\":[]}", false, DFF_ROWS_CONFLICT},
		{503, "", false, DFF_ROWS_NOT_DONE},
		{429, "", false, DFF_ROWS_NOT_DONE},
		{403, "", false, DFF_ROWS_NOT_DONE},
		{500, "", false, DFF_ROWS_UNKNOWN},
		{200, "no JSON", false, DFF_ROWS_UNKNOWN},
		{200, "", true, DFF_ROWS_UNKNOWN},
	};
	struct server server;
	server_open (&server);
	DFF_AUTO (dff_http_rows) rows = dff_http_rows_new (server.client, &server.address);
	const struct dff_rows *store = dff_http_rows_interface (rows);
	struct rows_answer answer = {.base = server.base, .rows = g_string_new (NULL)};
	struct dff_rows_condition condition = {
		.table = DFF_TABLE_CELL, .key = dff_str_from (DFF_KEY_HOLDER), .revision = 5};
	struct dff_rows_write writes[] = {
		{.table = DFF_TABLE_CELL, .key = condition.key, .value = dff_str_from ("node-1")},
		{.table = DFF_TABLE_INBOX, .key = dff_str_from ("j"), .remove = true},
	};
	struct dff_rows_commit commit = {.conditions = &condition,
					 .n_conditions = 1,
					 .writes = writes,
					 .n_writes = 2,
					 .timeout_ms = 5000};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		server.status = cases[i].status;
		server.body = cases[i].body;
		server.drops = cases[i].drops;
		store->commit (store->ctx, &commit, handle_rows, &answer);
		event_base_dispatch (server.base);
		assert_int_equal (answer.outcome, cases[i].outcome);
		assert_string_equal (
			server.request->str,
			"POST /api/rows-tx\n{\"expected_rev\":[{\"table\":\"dff-cell\",\"part\":"
			"\"cell\",\"key\":\"holder\",\"ver\":5}],\"writes\":[{\"table\":\"dff-"
			"cell\","
			"\"part\":\"cell\",\"key\":\"holder\",\"value\":\"bm9kZS0x\"}],\"remove\":"
			"[{\"table\":\"dff-inbox\",\"part\":\"cell\",\"key\":\"j\"}]}");
	}
	g_string_free (answer.rows, TRUE);
	server_close (&server);
}

static void
test_get_and_feed (void **state)
{
	(void)state;
	struct server server;
	server_open (&server);
	DFF_AUTO (dff_http_rows) rows = dff_http_rows_new (server.client, &server.address);
	const struct dff_rows *store = dff_http_rows_interface (rows);
	struct rows_answer answer = {.base = server.base, .rows = g_string_new (NULL)};
	server.status = 200;
	server.body = "{\"rows\":[{\"table\":\"op\",\"part\":\"\",\"key\":\"config\",\"value\":"
		      "\"bm9kZS0x\",\"ver\":412},{\"table\":\"op\",\"part\":\"\",\"key\":\"x\","
		      "\"removed\":true,\"ver\":413}],\"has_more\":true,\"ver\":530}";
	struct dff_rows_range range = {.table = DFF_TABLE_CONFIG,
				       .from = dff_str_from ("o p"),
				       .to = dff_str_from ("q/"),
				       .limit = 50,
				       .timeout_ms = 5000};
	store->get (store->ctx, &range, handle_rows, &answer);
	event_base_dispatch (server.base);
	assert_string_equal (server.request->str,
			     "GET /api/rows-get?table=op&part=&limit=50&from=o%20p&target=q%2F\n");
	assert_string_equal (answer.rows->str, "config/config=node-1@412 config/x=@413 removed ");
	assert_true (answer.more);
	assert_int_equal (answer.revision, 530);
	struct dff_rows_feed feed = {
		.table = DFF_TABLE_JOBS, .after = 530, .wait_ms = 20, .timeout_ms = 5000};
	server.status = 410;
	store->feed (store->ctx, &feed, handle_rows, &answer);
	event_base_dispatch (server.base);
	assert_string_equal (server.request->str,
			     "GET /api/rows-feed?table=dff-jobs&after=530&wait_ms=20\n");
	assert_int_equal (answer.outcome, DFF_ROWS_HISTORY_GONE);
	g_string_free (answer.rows, TRUE);
	server_close (&server);
}

struct runner_answer {
	struct event_base *base;
	enum dff_runner_outcome outcome;
	int64_t clock_ms;
	int64_t started_ms;
	GString *lists;
	bool ended_complete;
};

static void
handle_runner (void *user, const struct dff_runner_result *result)
{
	struct runner_answer *answer = user;
	answer->outcome = result->outcome;
	answer->clock_ms = result->clock_ms;
	answer->started_ms = result->started_ms;
	answer->ended_complete = result->ended_complete;
	g_string_truncate (answer->lists, 0);
	for (size_t i = 0; i < result->n_running; i++) {
		g_string_append_printf (
			answer->lists, "%.*s run %d from %.*s at %d; ",
			(int)result->running[i].task.len, result->running[i].task.data,
			result->running[i].run, (int)result->running[i].checkpoint.len,
			result->running[i].checkpoint.data, result->running[i].percent);
	}
	for (size_t i = 0; i < result->n_ended; i++) {
		g_string_append_printf (
			answer->lists, "%d %.*s run %d %s; ", (int)result->ended[i].number,
			(int)result->ended[i].task.len, result->ended[i].task.data,
			result->ended[i].run, dff_run_end_name (result->ended[i].end));
	}
	event_base_loopbreak (answer->base);
}

static void
test_start (void **state)
{
	(void)state;
	static const struct {
		int status;
		const char *body;
		bool drops;
		enum dff_runner_outcome outcome;
	} cases[] = {
		{200, "{\"clock_ms\":482113}", false, DFF_RUNNER_DONE},
		{409, "{\"clock_ms\":1,\"reason\":\"fence\"}", false, DFF_RUNNER_STALE_EPOCH},
		{409, "{\"clock_ms\":1,\"reason\":\"old\"}", false, DFF_RUNNER_OLD_RUN},
		{409, "{\"clock_ms\":1,\"reason\":\"late\"}", false, DFF_RUNNER_DEADLINE_PASSED},
		{409, "{\"clock_ms\":1,\"reason\":\"room\"}", false, DFF_RUNNER_NO_CAPACITY},
		{409, "{\"clock_ms\":1,\"reason\":\"new\"}", false, DFF_RUNNER_INVALID},
		{421, "", false, DFF_RUNNER_OTHER_INCARNATION},
		{503, "", false, DFF_RUNNER_UNHEALTHY},
		{400, "", false, DFF_RUNNER_INVALID},
		{500, "", false, DFF_RUNNER_UNKNOWN},
		{200, "", true, DFF_RUNNER_UNKNOWN},
	};
	struct server server;
	server_open (&server);
	DFF_AUTO (dff_http_runner) runner = dff_http_runner_new (server.client);
	const struct dff_runner *workers = dff_http_runner_interface (runner);
	struct runner_answer answer = {.base = server.base, .lists = g_string_new (NULL)};
	struct dff_run_order order = {.worker = dff_name_from ("i-7f3a91c2"),
				      .address = server.address,
				      .task = dff_name_from ("5c0e.0.1.17"),
				      .run = 2,
				      .epoch = 7,
				      .deadline_ms = 486000,
				      .payload = dff_str_from ("(text)"),
				      .checkpoint = dff_str_from ("00000bb8"),
				      .timeout_ms = 5000};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		server.status = cases[i].status;
		server.body = cases[i].body;
		server.drops = cases[i].drops;
		workers->start (workers->ctx, &order, handle_runner, &answer);
		event_base_dispatch (server.base);
		assert_int_equal (answer.outcome, cases[i].outcome);
		assert_string_equal (server.expected_incarnation, "i-7f3a91c2");
		assert_string_equal (
			server.request->str,
			"POST "
			"/api/run-start\n{\"task\":\"5c0e.0.1.17\",\"run\":2,\"spec\":\"(text)\","
			"\"deadline_ms\":486000,\"fence\":7,\"checkpoint\":\"00000bb8\"}");
	}
	g_string_free (answer.lists, TRUE);
	server_close (&server);
}

static void
test_stop_and_watch (void **state)
{
	(void)state;
	struct server server;
	server_open (&server);
	DFF_AUTO (dff_http_runner) runner = dff_http_runner_new (server.client);
	const struct dff_runner *workers = dff_http_runner_interface (runner);
	struct runner_answer answer = {.base = server.base, .lists = g_string_new (NULL)};
	struct dff_run_order order = {.worker = dff_name_from ("i-7f"),
				      .address = server.address,
				      .task = dff_name_from ("5c0e.0.1.17"),
				      .run = 2,
				      .epoch = 7,
				      .timeout_ms = 5000};
	server.status = 200;
	server.body = "{\"clock_ms\":482113}";
	workers->stop (workers->ctx, &order, handle_runner, &answer);
	event_base_dispatch (server.base);
	assert_string_equal (
		server.request->str,
		"POST /api/run-stop\n{\"task\":\"5c0e.0.1.17\",\"run\":2,\"fence\":7}");
	assert_int_equal (answer.clock_ms, 482113);
	server.body = "{\"clock_ms\":482113,\"running\":[[\"5c0e.0.1.17\",2,\"0bb8\",41]],"
		      "\"ended_runs\":[[58,\"5c0e.0.1.9\",1,\"done\",\"\"],"
		      "[59,\"5c0e.0.1.8\",3,\"alone\",\"\"]]}";
	struct dff_run_watch watch = {.worker = order.worker,
				      .address = server.address,
				      .epoch = 7,
				      .acknowledged = 57,
				      .deadline_ms = 486000,
				      .wait_ms = 1000,
				      .timeout_ms = 5000};
	workers->watch (workers->ctx, &watch, handle_runner, &answer);
	event_base_dispatch (server.base);
	assert_string_equal (server.request->str,
			     "POST /api/hold\n{\"fence\":7,\"ack_cursor\":57,\"wait_ms\":1000,"
			     "\"deadline_ms\":486000}");
	assert_string_equal (answer.lists->str,
			     "5c0e.0.1.17 run 2 from 0bb8 at 41; 58 5c0e.0.1.9 run 1 completed; "
			     "59 5c0e.0.1.8 run 3 alone; ");
	watch.deadline_ms = 0;
	workers->watch (workers->ctx, &watch, handle_runner, &answer);
	event_base_dispatch (server.base);
	assert_null (strstr (server.request->str, "deadline_ms"));
	g_string_free (answer.lists, TRUE);
	server_close (&server);
}

/* Returns: (transfer full): a worker's report with @n_ended ended runs. */
static char *
report_with_ends (int n_ended)
{
	GString *body = g_string_new ("{\"clock_ms\":1,\"running\":[],\"ended_runs\":[");
	for (int i = 1; i <= n_ended; i++)
		g_string_append_printf (body, "%s[%d,\"5c0e.0.1.%d\",1,\"done\",\"\"]",
					i > 1 ? "," : "", i, i);
	g_string_append (body, "]}");
	return g_string_free (body, FALSE);
}

/* Guards against taking a full list of ended runs for a complete one: workers list 500 at a time.
 */
static void
test_full_list_of_ends (void **state)
{
	(void)state;
	static const struct {
		int n_ended;
		bool ended_complete;
	} cases[] = {{0, true}, {1, true}, {499, true}, {500, false}};
	struct server server;
	server_open (&server);
	DFF_AUTO (dff_http_runner) runner = dff_http_runner_new (server.client);
	const struct dff_runner *workers = dff_http_runner_interface (runner);
	struct runner_answer answer = {.base = server.base, .lists = g_string_new (NULL)};
	struct dff_run_watch watch = {
		.worker = dff_name_from ("i-7f"), .address = server.address, .timeout_ms = 5000};
	server.status = 200;
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		g_autofree char *body = report_with_ends (cases[i].n_ended);
		server.body = body;
		workers->watch (workers->ctx, &watch, handle_runner, &answer);
		event_base_dispatch (server.base);
		assert_int_equal (answer.ended_complete, cases[i].ended_complete);
	}
	g_string_free (answer.lists, TRUE);
	server_close (&server);
}

/* Guards against treating a start time that cannot be decoded as a reported one. */
static void
test_incarnation_start (void **state)
{
	(void)state;
	static const struct {
		const char *body;
		int64_t started_ms;
	} cases[] = {
		{"{\"clock_ms\":1,\"born\":1790000000123}", 1790000000123},
		{"{\"clock_ms\":1}", DFF_START_UNREPORTED},
		{"{\"clock_ms\":1,\"born\":null}", DFF_START_UNREADABLE},
		{"{\"clock_ms\":1,\"born\":\"1790000000123\"}", DFF_START_UNREADABLE},
		{"{\"clock_ms\":1,\"born\":1790000000123.5}", DFF_START_UNREADABLE},
		{"{\"clock_ms\":1,\"born\":-5}", DFF_START_UNREADABLE},
		{"{\"clock_ms\":1,\"born\":0}", DFF_START_UNREADABLE},
		{"{\"clock_ms\":1,\"born\":[1]}", DFF_START_UNREADABLE},
		{"[]", DFF_START_UNREPORTED},
	};
	struct server server;
	server_open (&server);
	DFF_AUTO (dff_http_runner) runner = dff_http_runner_new (server.client);
	const struct dff_runner *workers = dff_http_runner_interface (runner);
	struct runner_answer answer = {.base = server.base, .lists = g_string_new (NULL)};
	struct dff_run_watch watch = {
		.worker = dff_name_from ("i-7f"), .address = server.address, .timeout_ms = 5000};
	server.status = 200;
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		server.body = cases[i].body;
		workers->watch (workers->ctx, &watch, handle_runner, &answer);
		event_base_dispatch (server.base);
		assert_int_equal (answer.started_ms, cases[i].started_ms);
	}
	g_string_free (answer.lists, TRUE);
	server_close (&server);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_incarnation_start),
		cmocka_unit_test (test_commit),
		cmocka_unit_test (test_get_and_feed),
		cmocka_unit_test (test_start),
		cmocka_unit_test (test_stop_and_watch),
		cmocka_unit_test (test_full_list_of_ends),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
