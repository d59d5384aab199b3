#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <signal.h>
#include <string.h>

#include "backing/http.h"
#include "standin/platform_server.h"

/* Tests the platform's HTTP clients against the stand-in, both in this process, over loopback. */

struct fixture {
	struct event_base *base;
	struct dff_metrics *metrics;
	struct dff_http_client *client;
	struct dff_platform_server *server;
	struct dff_http_table *table;
	struct dff_http_object_store *objects;
	struct dff_http_instance_list *instances;
};

struct answer {
	struct event_base *base;
	int calls;
	/** Outcome of the call (enum by kind of call), or HTTP status. */
	int outcome;
	int64_t revision;
	GString *text;
};

static int
setup (void **state)
{
	signal (SIGPIPE, SIG_IGN);
	struct fixture *fixture = g_new0 (struct fixture, 1);
	fixture->base = event_base_new ();
	fixture->metrics = dff_metrics_new ();
	struct dff_http_client_options client_options;
	dff_http_client_options_init (&client_options);
	client_options.base = fixture->base;
	client_options.metrics = fixture->metrics;
	fixture->client = dff_http_client_new (&client_options);
	struct dff_platform_server_options server_options = {
		.base = fixture->base,
		.clock = dff_clock_system (),
		.listen = dff_name_from ("127.0.0.1:0"),
	};
	fixture->server = dff_platform_server_new (&server_options);
	struct dff_http_service_options options;
	dff_http_service_options_init (&options);
	options.client = fixture->client;
	options.address = dff_platform_server_address (fixture->server);
	options.instance = dff_name_from ("entry-1");
	options.timeout_ms = 5000;
	fixture->table = dff_http_table_new (&options);
	fixture->objects = dff_http_object_store_new (&options);
	fixture->instances = dff_http_instance_list_new (&options);
	*state = fixture;
	return 0;
}

static int
teardown (void **state)
{
	struct fixture *fixture = *state;
	dff_http_client_free (fixture->client);
	dff_http_table_free (fixture->table);
	dff_http_object_store_free (fixture->objects);
	dff_http_instance_list_free (fixture->instances);
	dff_platform_server_free (fixture->server);
	dff_metrics_free (fixture->metrics);
	event_base_free (fixture->base);
	g_free (fixture);
	return 0;
}

static void
answer_init (const struct fixture *fixture, struct answer *answer)
{
	memset (answer, 0, sizeof (*answer));
	answer->base = fixture->base;
	answer->text = g_string_new (NULL);
}

/* Runs the event loop until the answer arrives. */
static void
answer_wait (struct answer *answer)
{
	while (answer->calls == 0)
		event_base_loop (answer->base, EVLOOP_ONCE);
	assert_int_equal (answer->calls, 1);
}

static void
handle_response (void *user, const struct dff_http_response *response)
{
	struct answer *answer = user;
	answer->calls++;
	answer->outcome = response->status;
	g_string_append_len (answer->text, response->body.data, (gssize)response->body.len);
}

/* Returns: the status. */
static int
exchange (struct fixture *fixture, enum evhttp_cmd_type method, const char *path, const char *body)
{
	struct answer answer;
	answer_init (fixture, &answer);
	struct dff_http_request request = {
		.address = dff_platform_server_address (fixture->server),
		.method = method,
		.path = path,
		.body = dff_str_from (body),
		.timeout_ms = 5000,
	};
	dff_http_client_send (fixture->client, &request, handle_response, &answer);
	answer_wait (&answer);
	g_string_free (answer.text, TRUE);
	return answer.outcome;
}

static void
handle_result (void *user, const struct dff_table_result *result)
{
	struct answer *answer = user;
	answer->calls++;
	answer->outcome = (int)result->outcome;
	answer->revision = result->revision;
	for (size_t i = 0; i < result->n_rows; i++) {
		const struct dff_table_row *row = &result->rows[i];
		g_string_append_len (answer->text, row->key.data, (gssize)row->key.len);
		g_string_append_c (answer->text, '=');
		g_string_append_len (answer->text, row->value.data, (gssize)row->value.len);
		g_string_append_printf (answer->text, "@%d;", (int)row->revision);
	}
}

static struct answer
commit (struct fixture *fixture,
	const char *write_id,
	int64_t expected,
	struct dff_str key,
	struct dff_str value)
{
	struct answer answer;
	answer_init (fixture, &answer);
	struct dff_table_condition condition = {key, expected};
	struct dff_table_write write = {key, value};
	struct dff_table_txn txn = {
		.write_id = dff_name_from (write_id),
		.conditions = &condition,
		.n_conditions = 1,
		.writes = &write,
		.n_writes = 1,
	};
	const struct dff_table *table = dff_http_table_interface (fixture->table);
	table->commit (table->ctx, &txn, handle_result, &answer);
	answer_wait (&answer);
	g_string_free (answer.text, TRUE);
	return answer;
}

static struct answer
lookup (struct fixture *fixture, const char *write_id)
{
	struct answer answer;
	answer_init (fixture, &answer);
	struct dff_name id = dff_name_from (write_id);
	const struct dff_table *table = dff_http_table_interface (fixture->table);
	table->lookup (table->ctx, &id, handle_result, &answer);
	answer_wait (&answer);
	g_string_free (answer.text, TRUE);
	return answer;
}

static void
test_rows (void **state)
{
	struct fixture *fixture = *state;
	struct dff_str keys[] = {dff_str_from ("job/zv/1"), dff_str_from ("absent")};
	struct answer first =
		commit (fixture, "w1", 0, keys[0], dff_str_from ("{\"a\":\"\\u010d\"}"));
	assert_int_equal (first.outcome, DFF_TABLE_OK);
	assert_int_equal (first.revision, 1);
	commit (fixture, "w2", 0, dff_str_from ("empty"), dff_str_from (""));
	commit (fixture, "w3", 0, dff_str_from ("gone"), dff_str_from ("x"));
	commit (fixture, "w4", 3, dff_str_from ("gone"), (struct dff_str){0});
	const struct dff_table *table = dff_http_table_interface (fixture->table);
	struct answer answer;
	answer_init (fixture, &answer);
	table->get (table->ctx, keys, G_N_ELEMENTS (keys), handle_result, &answer);
	answer_wait (&answer);
	assert_string_equal (answer.text->str, "job/zv/1={\"a\":\"\\u010d\"}@1;");
	g_string_free (answer.text, TRUE);
	answer_init (fixture, &answer);
	table->scan (table->ctx, dff_str_from (""), 0, 10, handle_result, &answer);
	answer_wait (&answer);
	assert_string_equal (answer.text->str, "job/zv/1={\"a\":\"\\u010d\"}@1;empty=@2;");
	assert_int_equal (answer.revision, 4);
	g_string_free (answer.text, TRUE);
}

/* Guards against taking a lost answer for a failure: a commit takes effect and its connection
 * closes without an answer, and a job is reported as refused although it is in the table. */
static void
test_commit_outcomes (void **state)
{
	struct fixture *fixture = *state;
	static const struct {
		const char *faults;
		int64_t expected;
		enum dff_table_outcome outcome;
		enum dff_table_outcome lookup;
	} cases[] = {
		{"{}", 0, DFF_TABLE_OK, DFF_TABLE_OK},
		{"{}", 7, DFF_TABLE_CONFLICT, DFF_TABLE_CONFLICT},
		{"{\"lose_answers\":1}", 0, DFF_TABLE_UNCERTAIN, DFF_TABLE_OK},
		{"{\"lost_writes\":1}", 0, DFF_TABLE_UNCERTAIN, DFF_TABLE_CONFLICT},
		{"{\"late_writes\":1,\"late_ms\":60000}", 0, DFF_TABLE_UNCERTAIN,
		 DFF_TABLE_CONFLICT},
		{"{\"outage_ms\":60000}", 0, DFF_TABLE_UNAVAILABLE, DFF_TABLE_CONFLICT},
		{"{\"delay_ms\":3,\"instance\":\"entry-1\"}", 0, DFF_TABLE_OK, DFF_TABLE_OK},
		{"{\"outage_ms\":60000,\"instance\":\"entry-2\"}", 0, DFF_TABLE_OK, DFF_TABLE_OK},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct dff_name id = dff_name_printf ("w%zu", i);
		struct dff_str key = {id.data, id.len};
		assert_int_equal (
			exchange (fixture, EVHTTP_REQ_POST, "/admin/faults", cases[i].faults), 200);
		struct answer answer =
			commit (fixture, id.data, cases[i].expected, key, dff_str_from ("v"));
		assert_int_equal (answer.outcome, cases[i].outcome);
		exchange (fixture, EVHTTP_REQ_POST, "/admin/faults", "{}");
		answer = lookup (fixture, id.data);
		assert_int_equal (answer.outcome, cases[i].lookup);
	}
}

static void
test_row_that_is_not_utf8_is_not_sent (void **state)
{
	struct fixture *fixture = *state;
	struct dff_str binary = {"\xff\xfe", 2};
	struct answer answer = commit (fixture, "w1", 0, dff_str_from ("k"), binary);
	assert_int_equal (answer.outcome, DFF_TABLE_UNAVAILABLE);
	answer = lookup (fixture, "w1");
	assert_int_equal (answer.outcome, DFF_TABLE_CONFLICT);
}

/* When the service does not answer, a call ends at its timeout; a commit as UNCERTAIN. */
static void
test_call_without_answer_ends_at_the_timeout (void **state)
{
	struct fixture *fixture = *state;
	struct dff_http_service_options options;
	dff_http_service_options_init (&options);
	options.client = fixture->client;
	options.address = dff_platform_server_address (fixture->server);
	options.timeout_ms = 30;
	dff_http_table_free (fixture->table);
	fixture->table = dff_http_table_new (&options);
	exchange (fixture, EVHTTP_REQ_POST, "/admin/faults", "{\"silent_ms\":600000}");
	struct answer answer = commit (fixture, "w1", 0, dff_str_from ("k"), dff_str_from ("v"));
	assert_int_equal (answer.outcome, DFF_TABLE_UNCERTAIN);
	answer = lookup (fixture, "w1");
	assert_int_equal (answer.outcome, DFF_TABLE_UNAVAILABLE);
	exchange (fixture, EVHTTP_REQ_POST, "/admin/faults", "{}");
}

static void
handle_object (void *user, const struct dff_object_result *result)
{
	struct answer *answer = user;
	answer->calls++;
	answer->outcome = (int)result->outcome;
	g_string_append_len (answer->text, result->data.data, (gssize)result->data.len);
}

static void
test_objects (void **state)
{
	struct fixture *fixture = *state;
	static const struct {
		const char *key;
		const char *data;
		size_t len;
	} cases[] = {
		{"result/zv.1/0", "hello", 5},
		{"a key?with #signs%20", "", 0},
		{"binary", "\0\xff\n\r", 4},
	};
	const struct dff_object_store *objects = dff_http_object_store_interface (fixture->objects);
	struct answer answer;
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct dff_str data = {cases[i].data, cases[i].len};
		answer_init (fixture, &answer);
		objects->put (objects->ctx, dff_str_from (cases[i].key), data, handle_object,
			      &answer);
		answer_wait (&answer);
		assert_int_equal (answer.outcome, DFF_OBJECT_OK);
		answer.calls = 0;
		objects->get (objects->ctx, dff_str_from (cases[i].key), handle_object, &answer);
		answer_wait (&answer);
		assert_int_equal (answer.outcome, DFF_OBJECT_OK);
		assert_int_equal (answer.text->len, cases[i].len);
		assert_memory_equal (answer.text->str, cases[i].data, cases[i].len);
		g_string_free (answer.text, TRUE);
	}
	answer_init (fixture, &answer);
	objects->get (objects->ctx, dff_str_from ("absent"), handle_object, &answer);
	answer_wait (&answer);
	assert_int_equal (answer.outcome, DFF_OBJECT_NOT_FOUND);
	g_string_free (answer.text, TRUE);
}

static void
handle_instances (void *user, const struct dff_instance_list_result *result)
{
	struct answer *answer = user;
	answer->calls++;
	answer->outcome = result->ok;
	for (size_t i = 0; i < result->n_instances; i++) {
		const struct dff_instance *instance = &result->instances[i];
		g_string_append_printf (answer->text, "%s %d %d %s %s;", instance->id.data,
					instance->role, instance->leaving, instance->address.data,
					instance->region.data);
	}
}

static void
test_instances (void **state)
{
	struct fixture *fixture = *state;
	const struct dff_instance_list *list =
		dff_http_instance_list_interface (fixture->instances);
	struct dff_instance entry = {
		.id = dff_name_from ("entry-1"),
		.role = DFF_INSTANCE_ENTRY,
		.leaving = true,
		.address = dff_name_from ("127.0.0.1:8000"),
		.region = dff_name_from ("zv"),
	};
	list->announce (list->ctx, &entry, 60000);
	const char *worker = "{\"id\":\"w1\",\"role\":\"worker\",\"address\":\"127.0.0.1:1\"}";
	assert_int_equal (exchange (fixture, EVHTTP_REQ_POST, "/v1/instances", worker), 200);
	struct answer answer;
	do {
		answer_init (fixture, &answer);
		list->list (list->ctx, handle_instances, &answer);
		answer_wait (&answer);
		assert_true (answer.outcome);
		if (strstr (answer.text->str, "entry-1") != NULL)
			break;
		g_string_free (answer.text, TRUE);
	} while (true);
	assert_string_equal (answer.text->str,
			     "entry-1 1 1 127.0.0.1:8000 zv;w1 0 0 127.0.0.1:1 ;");
	g_string_free (answer.text, TRUE);
	assert_int_equal (exchange (fixture, EVHTTP_REQ_DELETE, "/v1/instances/entry-1", ""), 200);
	answer_init (fixture, &answer);
	list->list (list->ctx, handle_instances, &answer);
	answer_wait (&answer);
	assert_string_equal (answer.text->str, "w1 0 0 127.0.0.1:1 ;");
	g_string_free (answer.text, TRUE);
}

static GString *
read_list (struct fixture *fixture)
{
	const struct dff_instance_list *list =
		dff_http_instance_list_interface (fixture->instances);
	struct answer answer;
	answer_init (fixture, &answer);
	list->list (list->ctx, handle_instances, &answer);
	answer_wait (&answer);
	assert_true (answer.outcome);
	return answer.text;
}

/* Guards against sending the whole instance list with each answer although nothing has changed.
 * Each process polls the list each second: with 24 workers, an idle process received 7.6 KB/s, and
 * the limit is 6 KB/s. */
static void
test_unchanged_list_is_not_sent_again (void **state)
{
	struct fixture *fixture = *state;
	const int64_t *received =
		dff_metrics_counter (fixture->metrics, "dff_http_client_received_bytes_total", "");
	for (int i = 0; i < 20; i++) {
		g_autofree char *worker = g_strdup_printf (
			"{\"id\":\"w%02d\",\"role\":\"worker\",\"address\":\"127.0.0.1:1\"}", i);
		assert_int_equal (exchange (fixture, EVHTTP_REQ_POST, "/v1/instances", worker),
				  200);
	}
	g_autoptr (GString) first = read_list (fixture);
	int64_t received_first = *received;
	g_autoptr (GString) second = read_list (fixture);
	assert_string_equal (second->str, first->str);
	assert_true (*received - received_first < 200);
	assert_int_equal (exchange (fixture, EVHTTP_REQ_DELETE, "/v1/instances/w07", ""), 200);
	g_autoptr (GString) changed = read_list (fixture);
	assert_null (strstr (changed->str, "w07"));
	assert_non_null (strstr (changed->str, "w08"));
}

static void
test_bad_requests (void **state)
{
	struct fixture *fixture = *state;
	static const struct {
		const char *path;
		const char *body;
		enum evhttp_cmd_type method;
		int status;
	} cases[] = {
		{"/nothing", "", EVHTTP_REQ_GET, 404},
		{"/v1/table/get", "", EVHTTP_REQ_GET, 404},
		{"/v1/table/get", "{\"keys\":[1]}", EVHTTP_REQ_POST, 400},
		{"/v1/table/scan", "{\"prefix\":\"a\"}", EVHTTP_REQ_POST, 400},
		{"/v1/table/commit", "{", EVHTTP_REQ_POST, 400},
		{"/v1/table/commit", "[]", EVHTTP_REQ_POST, 400},
		{"/v1/table/commit",
		 "{\"write_id\":\"w\",\"conditions\":[],\"writes\":[{\"key\":\"k\"}]}",
		 EVHTTP_REQ_POST, 400},
		{"/v1/table/lookup", "{\"write_id\":\"a b\"}", EVHTTP_REQ_POST, 400},
		{"/v1/instances", "{\"id\":\"w\",\"role\":\"cook\"}", EVHTTP_REQ_POST, 400},
		{"/admin/faults", "{\"nonsense\":1}", EVHTTP_REQ_POST, 400},
		{"/admin/faults", "{\"lose_permille\":1001}", EVHTTP_REQ_POST, 400},
		{"/admin/faults", "{\"delay_ms\":-1}", EVHTTP_REQ_POST, 400},
		{"/admin/counters", "", EVHTTP_REQ_GET, 200},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
		assert_int_equal (exchange (fixture, cases[i].method, cases[i].path, cases[i].body),
				  cases[i].status);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown (test_rows, setup, teardown),
		cmocka_unit_test_setup_teardown (test_commit_outcomes, setup, teardown),
		cmocka_unit_test_setup_teardown (test_row_that_is_not_utf8_is_not_sent, setup,
						 teardown),
		cmocka_unit_test_setup_teardown (test_call_without_answer_ends_at_the_timeout,
						 setup, teardown),
		cmocka_unit_test_setup_teardown (test_objects, setup, teardown),
		cmocka_unit_test_setup_teardown (test_instances, setup, teardown),
		cmocka_unit_test_setup_teardown (test_unchanged_list_is_not_sent_again, setup,
						 teardown),
		cmocka_unit_test_setup_teardown (test_bad_requests, setup, teardown),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
