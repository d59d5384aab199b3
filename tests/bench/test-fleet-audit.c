#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib/gstdio.h>

#include "bench/fleet/audit.h"

/* Tests the audit of bench/fleet: it must detect each kind of fault and report no others. */

struct audit_case {
	const char *name;
	enum fleet_kind kind;
	enum fleet_verdict verdict;
	const char *job_outcome;
	const char *run_log;
	struct fleet_audit expected;
};

static const struct audit_case cases[] = {
	{"a request that ran once", FLEET_ONCE, FLEET_ANSWERED, "", "request r.1 t\n", {.runs = 1}},
	{"the same request sent by two processes",
	 FLEET_ONCE,
	 FLEET_ANSWERED,
	 "",
	 "request r.1 t\nrequest r.2 t\n",
	 {.duplicates = 1, .runs = 2}},
	{"an idempotent request may run again",
	 FLEET_IDEMPOTENT,
	 FLEET_ANSWERED,
	 "",
	 "request r.1 t\nrequest r.2 t\n",
	 {.runs = 2}},
	{"reported as not run, but ran",
	 FLEET_ONCE,
	 FLEET_NOT_RUN,
	 "",
	 "request r.1 t\n",
	 {.false_not_run = 1, .runs = 1}},
	{"reported as not run, and did not run", FLEET_ONCE, FLEET_NOT_RUN, "", "", {.runs = 0}},
	{"answered without a run",
	 FLEET_ONCE,
	 FLEET_ANSWERED,
	 "",
	 "request r.1 u\n",
	 {.answered_without_run = 1, .runs = 1}},
	{"members of one gang",
	 FLEET_JOB_ONCE,
	 FLEET_ACCEPTED,
	 "completed",
	 "task j 1 0 t\ntask j 1 1 t\n",
	 {.runs = 2}},
	{"a member that ran in two attempts",
	 FLEET_JOB_ONCE,
	 FLEET_ACCEPTED,
	 "unknown",
	 "task j 1 0 t\ntask j 2 0 t\n",
	 {.duplicates = 1, .runs = 2}},
	{"one submission that became two jobs",
	 FLEET_JOB_ONCE,
	 FLEET_ACCEPTED,
	 "completed",
	 "task j 1 0 t\ntask k 1 0 t\n",
	 {.duplicates = 1, .runs = 2}},
	{"an idempotent job's attempt that was begun twice",
	 FLEET_JOB,
	 FLEET_ACCEPTED,
	 "completed",
	 "task j 1 0 t\ntask j 1 0 t\ntask j 2 0 t\n",
	 {.repeated_attempts = 1, .runs = 3}},
	{"a job that is not_run, and ran",
	 FLEET_JOB,
	 FLEET_ACCEPTED,
	 "not_run",
	 "task j 1 0 t\n",
	 {.false_not_run = 1, .runs = 1}},
};

static struct fleet_audit
audit_of (const struct audit_case *test, const char *path)
{
	struct fleet_caller caller = {
		.kind = test->kind,
		.tag = dff_name_from ("t"),
		.verdict = test->verdict,
	};
	struct fleet_load load = {.callers = g_ptr_array_new ()};
	struct fleet_audit audit;
	g_strlcpy (caller.job_outcome.data, test->job_outcome, sizeof (caller.job_outcome.data));
	g_ptr_array_add (load.callers, &caller);
	assert_true (g_file_set_contents (path, test->run_log, -1, NULL));
	assert_true (fleet_audit_run (&load, path, &audit));
	g_ptr_array_unref (load.callers);
	return audit;
}

static void
test_cases (void **state)
{
	(void)state;
	g_autofree char *directory = g_dir_make_tmp ("fleet-audit-XXXXXX", NULL);
	g_autofree char *path = g_build_filename (directory, "runs", NULL);
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct fleet_audit audit = audit_of (&cases[i], path);
		if (memcmp (&audit, &cases[i].expected, sizeof (audit)) != 0)
			fail_msg ("%s", cases[i].name);
	}
	assert_int_equal (g_unlink (path) + g_rmdir (directory), 0);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_cases),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
