#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "upstream/worker_wire.h"

#define TASK "\"job\":\"sk.a\",\"attempt\":1,\"member\":0"
#define START                                                                                      \
	"{" TASK ",\"accelerators\":\"80000000000000ff\",\"slots\":1,\"cores\":4,"                 \
	"\"memory_gb\":8,\"epoch\":3,\"held\":true,\"resume\":false,\"lease_ms\":9000,"            \
	"\"payload\":{\"run_ms\":5}}"

struct text_case {
	const char *text;
	bool valid;
};

static void
test_start_round_trip (void **state)
{
	(void)state;
	struct dff_task_start start;
	g_autoptr (GString) payload = g_string_new (NULL);
	g_autoptr (GString) out = g_string_new (NULL);
	assert_true (dff_worker_wire_parse_start (dff_str_from (START), &start, payload));
	assert_true (start.accelerators == UINT64_C (0x80000000000000ff));
	assert_int_equal (start.resources.accelerators, 9);
	dff_worker_wire_append_start (out, &start);
	assert_string_equal (out->str, START);
}

static void
test_start_parse (void **state)
{
	(void)state;
	static const struct text_case cases[] = {
		{START, true},         {"", false},
		{"{}", false},         {"[]", false},
		{"{" TASK "}", false}, {"{\"job\":\"a b\",\"attempt\":1,\"member\":0}", false},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct dff_task_start start;
		g_autoptr (GString) payload = g_string_new (NULL);
		struct dff_str text = dff_str_from (cases[i].text);
		assert_int_equal (dff_worker_wire_parse_start (text, &start, payload),
				  cases[i].valid);
	}
}

/* Guards against failing a job without a payload, which is optional, and blaming its workers: the
 * empty payload made the whole body of the start empty, and every worker refused it. */
static void
test_start_without_payload (void **state)
{
	(void)state;
	struct dff_task_start start = {
		.task = {dff_name_from ("j"), 1, 0},
		.lease_ms = 1,
	};
	struct dff_task_start read;
	g_autoptr (GString) out = g_string_new (NULL);
	g_autoptr (GString) payload = g_string_new (NULL);
	dff_worker_wire_append_start (out, &start);
	struct dff_str body = {out->str, out->len};
	assert_true (dff_worker_wire_parse_start (body, &read, payload));
	assert_string_equal (payload->str, "{}");
}

/* Guards against starting a task outside its gang: a payload that closes its own object and adds
 * "held":false must not add a key to the body. */
static void
test_payload_cannot_add_keys (void **state)
{
	(void)state;
	struct dff_task_start start = {
		.task = {dff_name_from ("sk.a"), 1, 0},
		.held = true,
		.lease_ms = 1,
		.payload = dff_str_from ("{},\"held\":false"),
	};
	g_autoptr (GString) out = g_string_new (NULL);
	dff_worker_wire_append_start (out, &start);
	assert_string_equal (out->str, "");
}

static void
test_command_parse (void **state)
{
	(void)state;
	static const struct text_case cases[] = {
		{"{" TASK ",\"epoch\":3,\"percent\":0}", true},
		{"{" TASK ",\"epoch\":3,\"percent\":101}", false},
		{"{" TASK ",\"epoch\":-1,\"percent\":0}", false},
		{"{\"job\":\"a\",\"attempt\":0,\"member\":0,\"epoch\":3,\"percent\":0}", false},
		{"{\"job\":\"a\",\"attempt\":1,\"member\":128,\"epoch\":3,\"percent\":0}", false},
		{"{" TASK ",\"epoch\":9223372036854775808,\"percent\":0}", false},
		{"nonsense", false},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct dff_worker_command command;
		assert_int_equal (
			dff_worker_wire_parse_command (dff_str_from (cases[i].text), &command),
			cases[i].valid);
	}
}

static void
test_renewal_parse (void **state)
{
	(void)state;
	static const struct text_case cases[] = {
		{"{\"lease_ms\":9000,\"after\":3,\"from_ms\":8,\"wait_ms\":0}", true},
		{"{\"lease_ms\":9000,\"after\":3,\"from_ms\":8,\"wait_ms\":60001}", false},
		{"{\"lease_ms\":0,\"after\":3,\"from_ms\":8,\"wait_ms\":0}", false},
		{"{\"lease_ms\":9000,\"after\":-1,\"from_ms\":8,\"wait_ms\":0}", false},
		{"{\"lease_ms\":9000,\"after\":3,\"wait_ms\":0}", false},
		{"{\"lease_ms\":9000,\"after\":3,\"from_ms\":8}", false},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct dff_worker_renewal renewal;
		struct dff_str text = dff_str_from (cases[i].text);
		bool valid = dff_worker_wire_parse_renewal (text, &renewal);
		assert_int_equal (valid, cases[i].valid);
		if (!valid)
			continue;
		g_autoptr (GString) out = g_string_new (NULL);
		dff_worker_wire_append_renewal (out, &renewal);
		assert_string_equal (out->str, cases[i].text);
	}
}

#define DIGEST "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
#define HEAD "{\"leaving\":false,\"sequence\":7,\"incarnation\":2,\"now_ms\":40"
#define REPORT "{" TASK ",\"state\":\"completed\",\"ran\":true,\"checkpoints\":0"

static void
test_answer_parse (void **state)
{
	(void)state;
	static const struct text_case cases[] = {
		{HEAD "}", true},
		{HEAD ",\"reports\":[" REPORT "}]}", true},
		{HEAD ",\"reports\":[" REPORT ",\"result\":{\"key\":\"sk.a:1:0\",\"length\":9,"
		      "\"digest\":\"" DIGEST "\"}}]}",
		 true},
		{HEAD ",\"reports\":[" REPORT ",\"result\":{\"key\":\"sk.a:1:0\",\"length\":9,"
		      "\"digest\":\"short\"}}]}",
		 false},
		{HEAD ",\"reports\":[" REPORT "},{\"state\":\"flying\"}]}", false},
		{"{\"leaving\":0,\"sequence\":7,\"incarnation\":2,\"now_ms\":40}", false},
		{"{\"sequence\":7}", false},
		{"", false},
	};
	g_autoptr (GArray) reports = g_array_new (FALSE, TRUE, sizeof (struct dff_task_report));
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct dff_worker_result result = {0};
		struct dff_str text = dff_str_from (cases[i].text);
		bool valid = dff_worker_wire_parse_answer (text, &result, reports);
		assert_int_equal (valid, cases[i].valid);
		if (!valid) {
			assert_int_equal (result.n_reports, 0);
			continue;
		}
		g_autoptr (GString) out = g_string_new (NULL);
		dff_worker_wire_append_answer (out, &result);
		assert_string_equal (out->str, cases[i].text);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_start_round_trip),
		cmocka_unit_test (test_start_parse),
		cmocka_unit_test (test_payload_cannot_add_keys),
		cmocka_unit_test (test_start_without_payload),
		cmocka_unit_test (test_command_parse),
		cmocka_unit_test (test_renewal_parse),
		cmocka_unit_test (test_answer_parse),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
