#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "core/priority_order.h"

/* The order of the heads of the queue, as tables of heads. */

#define HEADS_MAX 6

struct head_case {
	const char *id;
	int32_t priority;
	enum dff_prospect prospect;
	/** Slack, of an expected duration of 10 s. */
	int64_t slack_ms;
	double score;
	int32_t share_level;
	bool urgent;
	bool assured;
};

static void
check_order (const char *name,
	     enum dff_order_way way,
	     const struct head_case *cases,
	     const char *expected)
{
	struct dff_name ids[HEADS_MAX];
	g_autoptr (GArray) heads = g_array_new (FALSE, FALSE, sizeof (struct dff_order_head));
	for (size_t i = 0; i < HEADS_MAX && cases[i].id != NULL; i++) {
		ids[i] = dff_name_from (cases[i].id);
		bool in_time = cases[i].prospect == DFF_PROSPECT_IN_TIME;
		struct dff_order_head head = {
			.urgent = cases[i].urgent,
			.assured = cases[i].assured,
			.priority = cases[i].priority,
			.prospect = cases[i].prospect,
			.slack_ms = cases[i].slack_ms,
			.expected_ms = 10000,
			.in_time_chance = in_time ? 1.0 : 0.0,
			.late_chance = in_time || cases[i].prospect == DFF_PROSPECT_LATE,
			.score = cases[i].score,
			.occupancy = cases[i].score,
			.share_level = cases[i].share_level,
			.submitted_ms = (int64_t)i,
			.id = &ids[i],
		};
		g_array_append_val (heads, head);
	}
	dff_order_sort (way, heads);
	g_autoptr (GString) got = g_string_new (NULL);
	for (guint i = 0; i < heads->len; i++)
		g_string_append (got, g_array_index (heads, struct dff_order_head, i).id->data);
	if (g_strcmp0 (got->str, expected) != 0)
		fail_msg ("%s: way %d: %s, not %s", name, (int)way, got->str, expected);
}

/* Guards against work of no value taking capacity from work that is still worth something, and
 * against an objective overriding urgency or a team's right. */
static void
test_orders (void **state)
{
	(void)state;
	static const struct {
		const char *name;
		struct head_case heads[HEADS_MAX];
		/** By enum dff_order_way. */
		const char *expected[DFF_ORDER_VALUE_DENSITY + 1];
	} cases[] = {
		{"prospects",
		 {{"m", 1, DFF_PROSPECT_MISSED, -1, 1.0},
		  {"l", 1, DFF_PROSPECT_LATE, 0, 2.0},
		  {"t", 1, DFF_PROSPECT_IN_TIME, 0, 3.0}},
		 {"mlt", "tlm", "tlm"}},
		{"least slack first, in bands",
		 {{"a", 1, DFF_PROSPECT_IN_TIME, 30000, 1.0},
		  {"b", 1, DFF_PROSPECT_IN_TIME, 4000, 2.0},
		  {"c", 1, DFF_PROSPECT_IN_TIME, 1000, 3.0},
		  {"d", 1, DFF_PROSPECT_IN_TIME, 10000, 4.0}},
		 {"abcd", "bcda", "abcd"}},
		{"little slack makes up for some more work",
		 {{"a", 1, DFF_PROSPECT_IN_TIME, 30000, 1.0},
		  {"b", 1, DFF_PROSPECT_IN_TIME, 0, 1.5}},
		 {"ab", "ba", "ba"}},
		{"late work that takes little goes before in-time work that takes much, by density",
		 {{"t", 1, DFF_PROSPECT_IN_TIME, 0, 100.0}, {"l", 1, DFF_PROSPECT_LATE, 0, 1.0}},
		 {"lt", "tl", "lt"}},
		{"urgent first, then assured, whatever the prospect",
		 {{"t", 1, DFF_PROSPECT_IN_TIME, 0, 1.0},
		  {"u", 0, DFF_PROSPECT_LATE, 0, 2.0, 0, true, false},
		  {"a", 0, DFF_PROSPECT_MISSED, -1, 3.0, 0, true, true}},
		 {"aut", "aut", "aut"}},
		{"without an objective: as in time, in the standing order",
		 {{"l", 1, DFF_PROSPECT_LATE, 0, 1.0},
		  {"n", 1, DFF_PROSPECT_NONE, 0, 3.0},
		  {"o", 1, DFF_PROSPECT_NONE, 0, 2.0},
		  {"t", 1, DFF_PROSPECT_IN_TIME, 0, 2.5}},
		 {"lotn", "otnl", "otnl"}},
		{"priorities of one prospect by score",
		 {{"a", 2, DFF_PROSPECT_IN_TIME, 0, 1.0}, {"b", 1, DFF_PROSPECT_IN_TIME, 0, 2.0}},
		 {"ab", "ab", "ab"}},
		{"a team above its share waits behind others of its priority and prospect",
		 {{"a", 1, DFF_PROSPECT_IN_TIME, 0, 1.0, 1},
		  {"b", 1, DFF_PROSPECT_IN_TIME, 0, 2.0},
		  {"l", 1, DFF_PROSPECT_LATE, 0, 3.0}},
		 {"bla", "bal", "bla"}},
		{"it does not wait behind other priorities",
		 {{"a", 1, DFF_PROSPECT_IN_TIME, 0, 1.0, 1},
		  {"b", 2, DFF_PROSPECT_IN_TIME, 0, 2.0},
		  {"c", 2, DFF_PROSPECT_IN_TIME, 0, 1.5, 3}},
		 {"abc", "abc", "abc"}},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		for (int way = DFF_ORDER_STANDING; way <= DFF_ORDER_VALUE_DENSITY; way++)
			check_order (cases[i].name, (enum dff_order_way)way, cases[i].heads,
				     cases[i].expected[way]);
	}
}

/* Guards against starvation of work whose objective is missed. */
static void
test_missed_bound (void **state)
{
	(void)state;
	static const struct {
		int64_t age_ms;
		int64_t limit_ms;
		enum dff_prospect prospect;
		enum dff_prospect ranks_as;
	} cases[] = {
		{100000, 1000, DFF_PROSPECT_IN_TIME, DFF_PROSPECT_IN_TIME},
		{100000, 1000, DFF_PROSPECT_LATE, DFF_PROSPECT_LATE},
		{5999, 1000, DFF_PROSPECT_MISSED, DFF_PROSPECT_MISSED},
		{6000, 1000, DFF_PROSPECT_MISSED, DFF_PROSPECT_NONE},
		{1, 0, DFF_PROSPECT_MISSED, DFF_PROSPECT_NONE},
		{INT64_MAX, INT64_MAX, DFF_PROSPECT_MISSED, DFF_PROSPECT_MISSED},
		{0, 0, DFF_PROSPECT_NONE, DFF_PROSPECT_NONE},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		assert_int_equal (
			dff_order_prospect (cases[i].prospect, cases[i].age_ms, cases[i].limit_ms),
			cases[i].ranks_as);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_orders),
		cmocka_unit_test (test_missed_bound),
	};
	return cmocka_run_group_tests_name ("core-priority-order", tests, NULL, NULL);
}
