#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "common/trace.h"

#define IDS "0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331"

struct parse_case {
	const char *text;
	bool valid;
	bool sampled;
};

static void
test_traceparent_parse (void **state)
{
	(void)state;
	static const struct parse_case cases[] = {
		{"00-" IDS "-01", true, true},
		{"00-" IDS "-00", true, false},
		{"00-" IDS "-03", true, true},
		{"01-" IDS "-01", true, true},
		{"01-" IDS "-01-more", true, true},
		{"01-" IDS "-01more", false, false},
		{"00-" IDS "-01-more", false, false},
		{"ff-" IDS "-01", false, false},
		{"00-" IDS "-0", false, false},
		{"00-" IDS "_01", false, false},
		{"00-" IDS "-0g", false, false},
		{"0x-" IDS "-01", false, false},
		{"00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01", false, false},
		{"00-00000000000000000000000000000000-b7ad6b7169203331-01", false, false},
		{"00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01", false, false},
		{"", false, false},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct dff_trace_context context;
		struct dff_str text = dff_str_from (cases[i].text);
		assert_int_equal (dff_trace_context_parse (text, &context), cases[i].valid);
		assert_int_equal (context.sampled, cases[i].sampled);
		assert_int_equal (context.trace_id[0], cases[i].valid ? 0x0a : 0);
	}
}

static void
test_traceparent_round_trip (void **state)
{
	(void)state;
	static const char *const cases[] = {"00-" IDS "-01", "00-" IDS "-00"};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct dff_trace_context context;
		char out[DFF_TRACEPARENT_LEN + 1];
		assert_true (dff_trace_context_parse (dff_str_from (cases[i]), &context));
		dff_trace_context_format (&context, out);
		assert_string_equal (out, cases[i]);
	}
}

static void
keep_line (void *ctx, struct dff_str line)
{
	g_string_append_len (ctx, line.data, (gssize)line.len);
	g_string_append_c (ctx, '\n');
}

static void
test_span_lines (void **state)
{
	(void)state;
	struct dff_clock_virtual clock;
	dff_clock_virtual_init (&clock, 1000);
	struct dff_name instance = dff_name_from ("entry-1");
	struct dff_name subject = dff_name_from ("job-7");
	g_autoptr (GString) lines = g_string_new (NULL);
	DFF_AUTO (dff_tracer)
	tracer = dff_tracer_new (&clock.clock, &instance, 1, keep_line, lines);
	struct dff_trace_context parent;
	dff_trace_context_parse (dff_str_from ("00-" IDS "-01"), &parent);
	struct dff_span span = dff_span_begin (tracer, &parent, "entry");
	clock.now_ms += 25;
	dff_span_end (tracer, &span, &subject, "completed");
	assert_string_equal (lines->str,
			     "{\"trace\":\"0af7651916cd43dd8448eb211c80319c\","
			     "\"span\":\"c15c0289ec2d0a91\",\"parent\":\"b7ad6b7169203331\","
			     "\"name\":\"entry\",\"instance\":\"entry-1\",\"subject\":\"job-7\","
			     "\"start_ms\":1000,\"duration_ms\":25,\"outcome\":\"completed\"}\n");
	g_string_truncate (lines, 0);
	span.context.sampled = false;
	dff_span_end (tracer, &span, &subject, "completed");
	assert_string_equal (lines->str, "");
}

static void
test_new_trace_has_no_parent (void **state)
{
	(void)state;
	struct dff_clock_virtual clock;
	dff_clock_virtual_init (&clock, 0);
	struct dff_name instance = dff_name_from ("entry-1");
	DFF_AUTO (dff_tracer) tracer = dff_tracer_new (&clock.clock, &instance, 1, NULL, NULL);
	struct dff_trace_context none = {0};
	struct dff_span first = dff_span_begin (tracer, &none, "entry");
	struct dff_span second = dff_span_begin (tracer, &none, "entry");
	static const uint8_t zero[8];
	assert_memory_equal (first.parent_id, zero, sizeof (zero));
	assert_true (first.context.sampled);
	assert_memory_not_equal (first.context.trace_id, second.context.trace_id, 16);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_traceparent_parse),
		cmocka_unit_test (test_traceparent_round_trip),
		cmocka_unit_test (test_span_lines),
		cmocka_unit_test (test_new_trace_has_no_parent),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
