#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "client/pool_progress.h"

#define MAX_ANSWERS 3
#define MEMBER(name, state, generation)                                                            \
	"{\"instance\":\"" name "\",\"state\":\"" state "\",\"generation\":" generation "}"
#define STATUS(name, generation, members)                                                          \
	"{\"instance\":\"" name "\",\"generation\":" generation ",\"instances\":[" members "]}"

struct progress_case {
	/* Answers of the reachable servers; "": the server refused. */
	const char *answers[MAX_ANSWERS];
	guint n_live;
	guint n_behind;
};

/* Guards against reporting an apply as in force everywhere while a live process lacks it. The first
 * of three processes that have just started gets the file before it has discovered the others: its
 * view alone does not suffice. */
static const struct progress_case progress_cases[] = {
	{{NULL}, 0, 0},
	{{STATUS ("a", "2", MEMBER ("a", "alive", "2"))}, 1, 0},
	{{STATUS ("a", "2", MEMBER ("a", "alive", "2")), STATUS ("b", "1", "")}, 2, 1},
	{{STATUS ("a", "2", ""), ""}, 1, 1},
	{{"", ""}, 0, 2},
	/* A later, stale view does not override what a process reported of itself. */
	{{STATUS ("a", "2", ""), STATUS ("b", "2", MEMBER ("a", "alive", "1"))}, 2, 0},
	{{STATUS ("a", "2", MEMBER ("b", "suspect", "1"))}, 2, 1},
	{{STATUS ("a", "2", MEMBER ("b", "dead", "1") "," MEMBER ("c", "leaving", "1"))}, 1, 0},
	{{"[]"}, 0, 0},
};

static void
test_progress (void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS (progress_cases); i++) {
		const struct progress_case *test = &progress_cases[i];
		DFF_AUTO (dff_pool_progress) progress = dff_pool_progress_new (2);
		for (size_t j = 0; j < MAX_ANSWERS && test->answers[j] != NULL; j++) {
			json_t *status = json_loads (test->answers[j], 0, NULL);
			if (status != NULL)
				dff_pool_progress_add_status (progress, status);
			else
				dff_pool_progress_add_refusal (progress);
			json_decref (status);
		}
		assert_int_equal (dff_pool_progress_n_live (progress), test->n_live);
		assert_int_equal (dff_pool_progress_n_behind (progress), test->n_behind);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_progress),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
