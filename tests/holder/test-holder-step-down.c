#include "tests/holder/site.h"

/* A holder that steps down while its relays' messages, each with several answers of workers, are on
 * their way. The sanitizer reports what is read afterwards. */

#define N_TASKS (SITE_WORKERS * SITE_ACCELERATORS)
/** Duration of the tasks, after which all workers answer at once, and the time before and after
 * that at which the holder steps down, ms: an answer travels for up to 15 ms. */
#define TASK_MS 1000
#define BEFORE_END_MS 5
#define AFTER_END_MS 25
/** Longest time until the job has ended, ms: a takeover, and a second run of each task. */
#define END_LIMIT_MS 10000

struct step_down_case {
	const char *name;
	/** Makes the holder step down, now or at its next call. */
	void (*apply) (struct site *site, int holder);
};

static void
ignore_result (void *user, const struct dff_runner_result *result)
{
	(void)user;
	(void)result;
}

/* The workers refuse the next calls of the holder, which go out together. */
static void
raise_epoch_at_workers (struct site *site, int holder)
{
	const struct dff_runner *runner = dff_memory_runner_client_interface (
		site->processes[(holder + 1) % SITE_PROCESSES].runner);
	for (int i = 0; i < SITE_WORKERS; i++) {
		struct dff_run_watch watch = {.worker = dff_name_printf ("w%d-0", i),
					      .address = dff_name_printf ("10.0.0.%d:1", i),
					      .epoch = 2,
					      .timeout_ms = 500};
		runner->watch (runner->ctx, &watch, ignore_result, NULL);
	}
}

/* The holder's next transaction finds that another process has replaced its row. */
static void
replace_row (struct site *site, int holder)
{
	(void)holder;
	dff_memory_rows_put (site->rows, DFF_TABLE_CELL, DFF_KEY_HOLDER,
			     dff_str_from ("{\"epoch\":2,\"instance\":\"p9\",\"released\":true}"));
}

/* A peer asks the holder, which cannot write to the store, to release the cell. */
static void
lose_store (struct site *site, int holder)
{
	static const struct dff_holder_probe probe = {.release_if_unwritable = true};
	dff_holder_answer_probe (site->processes[holder].holder, &probe);
}

static void
give_up (struct site *site, int holder)
{
	dff_holder_step_down (site->processes[holder].holder);
}

static void
step_down_at (const struct step_down_case *test_case, int64_t at_ms)
{
	struct site site;
	site_open_with_relays (&site);
	int holder = site_holder (&site);
	struct dff_memory_rows_faults *store =
		dff_memory_rows_client_faults (site.processes[holder].rows);
	/* The messages go through the relays. */
	site_run (&site, 500);
	assert_int_equal (site_submit (&site, 0, site_plan ("a", N_TASKS, false, 1)), DFF_FRONT_OK);
	while (dff_memory_runner_n_active (site.runner) < N_TASKS)
		site_run (&site, 1);
	int64_t begun_ms = dff_virtual_loop_now_ms (site.loop);
	store->silent = test_case->apply == lose_store;
	site_run (&site, begun_ms + TASK_MS + at_ms - dff_virtual_loop_now_ms (site.loop));
	test_case->apply (&site, holder);
	site_run (&site, 1500);
	store->silent = false;
	assert_int_not_equal (site_wait_for_state (&site, "a", "completed", END_LIMIT_MS), -1);
	site_close (&site);
}

/* Guards against reading a relay, its calls or its message after a step-down has dropped it, at any
 * moment around the answers of all workers. */
static void
test_step_down_around_answers (void **state)
{
	for (int64_t at_ms = -BEFORE_END_MS; at_ms <= AFTER_END_MS; at_ms++)
		step_down_at (*state, at_ms);
}

static const struct step_down_case cases[] = {
	{"a worker has seen a higher epoch", raise_epoch_at_workers},
	{"another process has replaced the row", replace_row},
	{"the store is lost", lose_store},
	{"the cell is given up", give_up},
};

int
main (void)
{
	struct CMUnitTest tests[G_N_ELEMENTS (cases)];
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		tests[i] = (struct CMUnitTest){.name = cases[i].name,
					       .test_func = test_step_down_around_answers,
					       .initial_state = (void *)&cases[i]};
	}
	site_tests_begin (tests, G_N_ELEMENTS (tests));
	return cmocka_run_group_tests (tests, NULL, NULL);
}
