#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "client/span_tree.h"

#define SPAN(trace, id, parent, name, subject, start, duration)                                    \
	"{\"trace\":\"" trace "\",\"span\":\"" id "\",\"parent\":\"" parent "\",\"name\":\"" name  \
	"\",\"instance\":\"e1\",\"subject\":\"" subject "\",\"start_ms\":" start                   \
	",\"duration_ms\":" duration ",\"outcome\":\"ok\"}\n"

struct tree_case {
	const char *wanted;
	const char *lines;
	const char *printed;
	guint n_malformed;
};

static const struct tree_case tree_cases[] = {
	/* Children are ordered by time; spans of other traces are left out. */
	{"t1",
	 SPAN ("t1", "c", "a", "run", "j1", "1020", "5")
		 SPAN ("t1", "b", "a", "queue", "j1", "1010", "8")
			 SPAN ("t2", "x", "", "entry", "j2", "1", "1")
				 SPAN ("t1", "a", "0000000000000000", "entry", "j1", "1000", "30"),
	 "trace t1\n"
	 "entry                          +0 ms       30 ms  e1  ok  j1\n"
	 "  queue                       +10 ms        8 ms  e1  ok  j1\n"
	 "  run                         +20 ms        5 ms  e1  ok  j1\n",
	 0},
	/* A job's id finds its trace, also for spans that carry no subject. */
	{"j1",
	 SPAN ("t1", "a", "", "entry", "", "5", "1") SPAN ("t1", "b", "a", "run", "j1", "6", "2"),
	 "trace t1\n"
	 "entry                          +0 ms        1 ms  e1  ok  \n"
	 "  run                          +1 ms        2 ms  e1  ok  j1\n",
	 0},
	/* The parent's process died before it wrote its span: the child is printed as a root. */
	{"t1", SPAN ("t1", "b", "lost", "run", "j1", "6", "2"),
	 "trace t1\n"
	 "run                            +0 ms        2 ms  e1  ok  j1\n",
	 0},
	/* Spans that are each other's parents are printed once. */
	{"t1",
	 SPAN ("t1", "a", "b", "run", "j1", "6", "2") SPAN ("t1", "b", "a", "run", "j1", "7", "2"),
	 "trace t1\n"
	 "run                            +0 ms        2 ms  e1  ok  j1\n"
	 "  run                          +1 ms        2 ms  e1  ok  j1\n",
	 0},
	/* A process killed while it wrote leaves half a line. */
	{"t1", "{\"trace\":\"t1\",\"sp\n[]\n\n{}\n", "", 3},
};

static void
test_tree (void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS (tree_cases); i++) {
		const struct tree_case *test = &tree_cases[i];
		DFF_AUTO (dff_span_tree)
		tree = dff_span_tree_new (dff_str_from (test->wanted));
		guint n_malformed = dff_span_tree_add (tree, dff_str_from (test->lines));
		assert_int_equal (n_malformed, test->n_malformed);
		g_autoptr (GString) out = g_string_new (NULL);
		dff_span_tree_print (tree, out);
		assert_string_equal (out->str, test->printed);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_tree),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
