#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <string.h>

#include "bench/policy.h"
#include "bench/replay.h"
#include "bench/session.h"

struct session_case {
	const char *text;
	/** NULL: the text is valid. */
	const char *fault;
};

static void
test_session_lines (void **state)
{
	(void)state;
	static const struct session_case cases[] = {
		{"", NULL},
		{"\n  \n", NULL},
		{"{\"t\":1,\"event\":\"submit\",\"id\":\"a\",\"team\":\"t\",\"actual_s\":1,"
		 "\"more\":[]}\n{\"event\":\"worker_fails_everything\",\"worker\":\"w\"}",
		 NULL},
		{"{", "s:1: expected a JSON object"},
		{"\n[]", "s:2: expected an object"},
		{"{\"t\":0,\"event\":\"explode\"}", "s:1: event: expected submit, "},
		{"{\"t\":-1,\"event\":\"cancel\",\"id\":\"a\"}", "s:1: t: expected seconds"},
		{"{\"t\":1e300,\"event\":\"cancel\",\"id\":\"a\"}", "s:1: t: "},
		{"{\"t\":2,\"event\":\"cancel\",\"id\":\"a\"}\n"
		 "{\"t\":1,\"event\":\"cancel\",\"id\":\"a\"}",
		 "s:2: t: expected the lines in time order"},
		{"{\"event\":\"cancel\"}", "s:1: id: expected a name"},
		{"{\"event\":\"submit\",\"id\":\"a\",\"team\":\"t\"}", "s:1: actual_s: "},
		{"{\"event\":\"submit\",\"id\":\"a\",\"team\":\"t\",\"actual_s\":1,\"gang\":0}",
		 "s:1: gang: expected a whole number from 1"},
		{"{\"event\":\"submit\",\"id\":\"a\",\"team\":\"t\",\"actual_s\":1,\"adjacent\":2}",
		 "s:1: adjacent: "},
		{"{\"event\":\"submit\",\"id\":\"a\",\"team\":\"t\",\"actual_s\":1,\"urgent\":1}",
		 "s:1: urgent: expected true or false"},
		{"{\"event\":\"submit\",\"id\":\"a\",\"team\":\"t\",\"actual_s\":1}\n"
		 "{\"event\":\"submit\",\"id\":\"a\",\"team\":\"t\",\"actual_s\":1}",
		 "s:2: id: expected a job id used once"},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		g_autoptr (GError) error = NULL;
		DFF_AUTO (dff_session)
		session = dff_session_parse (dff_str_from (cases[i].text), "s", &error);
		assert_int_equal (session != NULL, cases[i].fault == NULL);
		if (error != NULL && cases[i].fault != NULL &&
		    strstr (error->message, cases[i].fault) == NULL)
			fail_msg ("expected %s, got %s", cases[i].fault, error->message);
	}
}

/* One rack of two workers with four accelerators each. */
static const char pool_text[] =
	"{\"racks\":[{\"name\":\"r\",\"data_centre\":\"d\",\"region\":\"x\",\"workers\":2,"
	"\"slots\":8,\"cores\":8,\"memory_gb\":8,\"accelerators\":4}],\"teams\":[{\"name\":\"t\","
	"\"guarantees\":[{\"gangs\":1,\"accelerators\":4}]}]}";

#define SUBMIT(time, id, rest)                                                                     \
	"{\"t\":" #time ",\"event\":\"submit\",\"id\":\"" id "\",\"team\":\"t\"," rest "}\n"

static json_t *
replay (const char *policy_name, const char *text)
{
	DFF_AUTO (dff_pool) pool = dff_pool_parse (dff_str_from (pool_text), "p", NULL, NULL);
	DFF_AUTO (dff_session) session = dff_session_parse (dff_str_from (text), "s", NULL);
	struct dff_policy policy;
	assert_true (dff_policy_init (&policy, policy_name, pool, 1));
	struct dff_replay_options options = {
		.pool = pool, .session = session, .policy = &policy, .check = true};
	json_t *figures = dff_replay_run (&options, NULL);
	policy.free (policy.ctx);
	assert_non_null (figures);
	return figures;
}

struct figure_case {
	const char *policy;
	const char *session;
	const char *key;
	double value;
};

/* A gang waits for a long job; a short job behind the gang may only start first where it does not
 * delay the gang: 8 accelerators, 4 busy for 100 s, then a gang of 8 for 10 s, then 4 for 50 s. */
#define BLOCKED                                                                                    \
	SUBMIT (0, "a", "\"accelerators\":4,\"actual_s\":100")                                     \
	SUBMIT (1, "b", "\"gang\":2,\"accelerators\":4,\"adjacent\":true,\"actual_s\":10")         \
	SUBMIT (2, "c", "\"accelerators\":4,\"actual_s\":50")

/* Guards the count of work lost with a worker: a job of 10 s starts on the first worker at 0.3 s,
 * the worker dies at 5 s, the lease expires at 10 s, and the job restarts on the other worker. The
 * lost work is 4 accelerators x 4.7 s. */
#define LOSS                                                                                       \
	SUBMIT (0, "a", "\"accelerators\":4,\"actual_s\":10")                                      \
	"{\"t\":5,\"event\":\"worker_down\",\"worker\":\"r-w1\"}\n"

/* Guards against counting wakes of the policy as events: all workers die, a job arrives, and the
 * policy tries to place it at every review. The replay then takes minutes and ends only after a
 * month of simulated time. */
#define NOBODY_LEFT                                                                                \
	"{\"t\":0,\"event\":\"rack_down\",\"rack\":\"r\"}\n" SUBMIT (1, "a", "\"actual_s\":1")

static void
test_figures (void **state)
{
	(void)state;
	static const struct figure_case cases[] = {
		{"fifo", SUBMIT (0, "a", "\"actual_s\":10"), "completion_mean_s", 10.35},
		{"fifo", SUBMIT (0, "a", "\"actual_s\":10"), "completed", 1},
		{"fifo", SUBMIT (0, "a", "\"gang\":200,\"actual_s\":10"), "refused", 1},
		{"fifo", SUBMIT (0, "a", "\"accelerators\":9,\"actual_s\":1"), "refused", 1},
		{"fifo", "{\"event\":\"submit\",\"id\":\"a\",\"team\":\"other\",\"actual_s\":1}",
		 "refused", 1},
		{"dragonflyfold",
		 "{\"event\":\"submit\",\"id\":\"a\",\"team\":\"other\",\"actual_s\":1}", "refused",
		 1},
		{"dragonflyfold", SUBMIT (0, "a", "\"gang\":200,\"actual_s\":10"), "refused", 1},
		{"fifo", BLOCKED, "gang_wait_p95_s", 99.6},
		{"backfill", BLOCKED, "gang_wait_p95_s", 99.6},
		{"fifo", BLOCKED, "completion_p99_s", 158.95},
		{"backfill", BLOCKED, "completion_p99_s", 109.65},
		{"dragonflyfold", NOBODY_LEFT, "unfinished", 1},
		{"fifo", LOSS, "lost_work_s", 18.8},
		{"backfill", LOSS, "completed", 1},
		{"dragonflyfold", LOSS, "completed", 1},
		{"fifo",
		 SUBMIT (0, "a", "\"actual_s\":10") "{\"t\":5,\"event\":\"cancel\",\"id\":\"a\"}",
		 "cancelled", 1},
		{"fifo", SUBMIT (0, "a", "\"accelerators\":1,\"guaranteed\":true,\"actual_s\":1"),
		 "guarantee_wait_max_s", 0.3},
		{"fifo",
		 SUBMIT (0, "a", "\"gang\":2,\"accelerators\":4,\"actual_s\":20")
			 SUBMIT (1, "b", "\"accelerators\":4,\"guaranteed\":true,\"actual_s\":1"),
		 "guarantee_violations", 1},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		json_t *figures = replay (cases[i].policy, cases[i].session);
		double value = json_number_value (json_object_get (figures, cases[i].key));
		if (value < cases[i].value - 0.001 || value > cases[i].value + 0.001)
			fail_msg ("case %zu: %s: expected %g, got %g", i, cases[i].key,
				  cases[i].value, value);
		json_decref (figures);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_session_lines),
		cmocka_unit_test (test_figures),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
