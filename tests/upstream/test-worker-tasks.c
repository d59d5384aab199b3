#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "tests/upstream/worker_fixture.h"

/* Tasks of the stand-in worker, as scenarios: each step is executed at its time and gives the
 * expected state of the task afterwards. */

enum op {
	DFF_OP_START,
	DFF_OP_START_HELD,
	DFF_OP_RESUME,
	DFF_OP_RELEASE,
	DFF_OP_CHECKPOINT,
	DFF_OP_THROTTLE,
	DFF_OP_STOP,
	DFF_OP_RENEW,
	DFF_OP_TICK,
	DFF_OP_LEAVE,
	DFF_OP_FAIL_EVERYTHING,
	DFF_OP_STORE_DOWN,
	DFF_OP_STORE_UP,
	DFF_OP_END,
};

struct step {
	int64_t at_ms;
	enum op op;
	int32_t attempt;
	int32_t member;
	/** Percent, epoch or lease, by @op. */
	int32_t argument;
	enum dff_worker_outcome outcome;
	enum dff_task_state state;
	bool ran;
};

#define MAX_STEPS 12

struct scenario {
	const char *name;
	const char *payload;
	bool check_epochs;
	struct step steps[MAX_STEPS];
};

#define OK DFF_WORKER_OK
#define REFUSED DFF_WORKER_REFUSED
#define LEASE_MS INT64_C (1000)
#define FIRST_EPOCH 5

static const struct scenario scenarios[] = {
	{"a held task does not run until it is released, then to its end",
	 "{\"run_ms\":100,\"result_bytes\":10}",
	 false,
	 {
		 {0, DFF_OP_START_HELD, 1, 0, 0, OK, DFF_TASK_HELD, false},
		 {500, DFF_OP_TICK, 1, 0, 0, OK, DFF_TASK_HELD, false},
		 {500, DFF_OP_RELEASE, 1, 0, 0, OK, DFF_TASK_RUNNING, true},
		 {599, DFF_OP_TICK, 1, 0, 0, OK, DFF_TASK_RUNNING, true},
		 {600, DFF_OP_TICK, 1, 0, 0, OK, DFF_TASK_COMPLETED, true},
		 {600, DFF_OP_RELEASE, 1, 0, 0, OK, DFF_TASK_COMPLETED, true},
		 {600, DFF_OP_STOP, 1, 0, 0, OK, DFF_TASK_COMPLETED, true},
		 {600, DFF_OP_END},
	 }},
	/* Guards against running a job that was reported as not run: a start is delayed in the
	 * network, the holder gives up, stops the task and answers the caller; then the start
	 * arrives. The stop has to leave a tombstone. */
	{"a stop of an unseen task refuses its start from then on",
	 "{\"run_ms\":100}",
	 false,
	 {
		 {0, DFF_OP_STOP, 1, 0, 0, OK, DFF_TASK_REFUSED, false},
		 {5, DFF_OP_START, 1, 0, 0, REFUSED, DFF_TASK_REFUSED, false},
		 {5, DFF_OP_START_HELD, 1, 0, 0, REFUSED, DFF_TASK_REFUSED, false},
		 {6, DFF_OP_RELEASE, 1, 0, 0, REFUSED, DFF_TASK_REFUSED, false},
		 {7, DFF_OP_START, 2, 0, 0, OK, DFF_TASK_RUNNING, true},
		 {8, DFF_OP_END},
	 }},
	/* Guards against one member of a gang running alone: the holder of a held gang fails, the
	 * leases expire, the stopped members are reported as not run, and then a delayed release
	 * arrives. A task whose lease expired has to leave a tombstone. */
	{"a held task whose lease has expired never runs",
	 "{\"run_ms\":100}",
	 false,
	 {
		 {0, DFF_OP_START_HELD, 1, 0, 0, OK, DFF_TASK_HELD, false},
		 {LEASE_MS, DFF_OP_RELEASE, 1, 0, 0, REFUSED, DFF_TASK_REFUSED, false},
		 {LEASE_MS, DFF_OP_START, 1, 0, 0, REFUSED, DFF_TASK_REFUSED, false},
		 {LEASE_MS, DFF_OP_END},
	 }},
	{"a running task whose lease has expired is stopped",
	 "{\"run_ms\":9000}",
	 false,
	 {
		 {0, DFF_OP_START, 1, 0, 0, OK, DFF_TASK_RUNNING, true},
		 {LEASE_MS - 1, DFF_OP_RENEW, 1, 0, 600, OK, DFF_TASK_RUNNING, true},
		 {LEASE_MS + 599, DFF_OP_TICK, 1, 0, 0, OK, DFF_TASK_RUNNING, true},
		 {LEASE_MS + 600, DFF_OP_RENEW, 1, 0, LEASE_MS, OK, DFF_TASK_STOPPED, true},
		 {2 * LEASE_MS, DFF_OP_START, 1, 0, 0, OK, DFF_TASK_STOPPED, true},
		 {2 * LEASE_MS, DFF_OP_END},
	 }},
	/* Guards against a task that runs on after the holder counts it as lost: the worker answers
	 * at 200 ms, then renewals arrive but their answers are lost. The holder counts the lease
	 * from 200 ms; the worker must not count it from the arrival of each renewal. */
	{"renewals whose answers are lost do not prolong a lease",
	 "{\"run_ms\":9000}",
	 false,
	 {
		 {0, DFF_OP_START, 1, 0, 0, OK, DFF_TASK_RUNNING, true},
		 {300, DFF_OP_RENEW, 1, 0, 200, OK, DFF_TASK_RUNNING, true},
		 {800, DFF_OP_RENEW, 1, 0, 200, OK, DFF_TASK_RUNNING, true},
		 {1100, DFF_OP_RENEW, 1, 0, 200, OK, DFF_TASK_RUNNING, true},
		 {1200, DFF_OP_TICK, 1, 0, 0, OK, DFF_TASK_STOPPED, true},
		 {1200, DFF_OP_END},
	 }},
	{"a time in the future does not prolong a lease",
	 "{\"run_ms\":9000}",
	 false,
	 {
		 {0, DFF_OP_START, 1, 0, 0, OK, DFF_TASK_RUNNING, true},
		 {300, DFF_OP_RENEW, 1, 0, 301, OK, DFF_TASK_RUNNING, true},
		 {LEASE_MS, DFF_OP_TICK, 1, 0, 0, OK, DFF_TASK_STOPPED, true},
		 {LEASE_MS, DFF_OP_END},
	 }},
	/* Guards against completing a task after it was reported as lost: the worker is paused past
	 * both the lease and the end of the work. The lease has to be checked before the
	 * completion. */
	{"work past the lease does not count when the tick comes late",
	 "{\"run_ms\":1500}",
	 false,
	 {
		 {0, DFF_OP_START, 1, 0, 0, OK, DFF_TASK_RUNNING, true},
		 {4000, DFF_OP_TICK, 1, 0, 0, OK, DFF_TASK_STOPPED, true},
		 {4000, DFF_OP_END},
	 }},
	{"work before the lease expired counts when the tick comes late",
	 "{\"run_ms\":900}",
	 false,
	 {
		 {0, DFF_OP_START, 1, 0, 0, OK, DFF_TASK_RUNNING, true},
		 {4000, DFF_OP_TICK, 1, 0, 0, OK, DFF_TASK_COMPLETED, true},
		 {4000, DFF_OP_END},
	 }},
	{"throttling slows the work down or stops it",
	 "{\"run_ms\":200}",
	 false,
	 {
		 {0, DFF_OP_START, 1, 0, 0, OK, DFF_TASK_RUNNING, true},
		 {100, DFF_OP_THROTTLE, 1, 0, 0, OK, DFF_TASK_RUNNING, true},
		 {400, DFF_OP_THROTTLE, 1, 0, 50, OK, DFF_TASK_RUNNING, true},
		 {599, DFF_OP_TICK, 1, 0, 0, OK, DFF_TASK_RUNNING, true},
		 {600, DFF_OP_TICK, 1, 0, 0, OK, DFF_TASK_COMPLETED, true},
		 {600, DFF_OP_THROTTLE, 1, 0, 50, REFUSED, DFF_TASK_COMPLETED, true},
		 {600, DFF_OP_END},
	 }},
	/* Guards against running a task twice on one worker: the answer to a start is lost and the
	 * start is sent again, possibly after the task has ended. A repeated start must have no
	 * effect. */
	{"a repeated start is the same start",
	 "{\"run_ms\":100}",
	 false,
	 {
		 {0, DFF_OP_START, 1, 0, 0, OK, DFF_TASK_RUNNING, true},
		 {50, DFF_OP_START, 1, 0, 0, OK, DFF_TASK_RUNNING, true},
		 {100, DFF_OP_START, 1, 0, 0, OK, DFF_TASK_COMPLETED, true},
		 {100, DFF_OP_STOP, 1, 0, 0, OK, DFF_TASK_COMPLETED, true},
		 {100, DFF_OP_END},
	 }},
	{"accelerators in use are refused, and are free again after the task ends",
	 "{\"run_ms\":100}",
	 false,
	 {
		 {0, DFF_OP_START, 1, 0, 0, OK, DFF_TASK_RUNNING, true},
		 {0, DFF_OP_START, 1, 1, 0, REFUSED, DFF_TASK_UNKNOWN, false},
		 {1, DFF_OP_STOP, 1, 0, 0, OK, DFF_TASK_STOPPED, true},
		 {1, DFF_OP_START, 1, 1, 0, OK, DFF_TASK_RUNNING, true},
		 {1, DFF_OP_END},
	 }},
	/* Guards against a paused process that stops a task of its successor: a command of epoch 5
	 * arrives after the worker has received one of epoch 6. */
	{"a worker that checks epochs refuses an older one",
	 "{\"run_ms\":100}",
	 true,
	 {
		 {0, DFF_OP_START, 1, 0, 6, OK, DFF_TASK_RUNNING, true},
		 {0, DFF_OP_STOP, 1, 0, 5, REFUSED, DFF_TASK_RUNNING, true},
		 {0, DFF_OP_START, 2, 0, 5, REFUSED, DFF_TASK_UNKNOWN, false},
		 {0, DFF_OP_STOP, 1, 0, 7, OK, DFF_TASK_STOPPED, true},
		 {0, DFF_OP_END},
	 }},
	{"a worker that does not check epochs accepts an older one",
	 "{\"run_ms\":100}",
	 false,
	 {
		 {0, DFF_OP_START, 1, 0, 6, OK, DFF_TASK_RUNNING, true},
		 {0, DFF_OP_STOP, 1, 0, 5, OK, DFF_TASK_STOPPED, true},
		 {0, DFF_OP_END},
	 }},
	{"a leaving worker starts nothing new and ends what runs",
	 "{\"run_ms\":100}",
	 false,
	 {
		 {0, DFF_OP_START, 1, 0, 0, OK, DFF_TASK_RUNNING, true},
		 {1, DFF_OP_LEAVE, 1, 0, 0, OK, DFF_TASK_RUNNING, true},
		 {1, DFF_OP_START, 2, 0, 0, REFUSED, DFF_TASK_UNKNOWN, false},
		 {1, DFF_OP_START, 1, 0, 0, OK, DFF_TASK_RUNNING, true},
		 {100, DFF_OP_TICK, 1, 0, 0, OK, DFF_TASK_COMPLETED, true},
		 {100, DFF_OP_END},
	 }},
	{"a resumed task does not repeat what its checkpoint holds",
	 "{\"run_ms\":500}",
	 false,
	 {
		 {0, DFF_OP_START, 1, 0, 0, OK, DFF_TASK_RUNNING, true},
		 {300, DFF_OP_CHECKPOINT, 1, 0, 0, OK, DFF_TASK_RUNNING, true},
		 {400, DFF_OP_STOP, 1, 0, 0, OK, DFF_TASK_STOPPED, true},
		 {400, DFF_OP_CHECKPOINT, 1, 0, 0, REFUSED, DFF_TASK_STOPPED, true},
		 {500, DFF_OP_RESUME, 2, 0, 0, OK, DFF_TASK_RUNNING, true},
		 {699, DFF_OP_TICK, 2, 0, 0, OK, DFF_TASK_RUNNING, true},
		 {700, DFF_OP_TICK, 2, 0, 0, OK, DFF_TASK_COMPLETED, true},
		 {700, DFF_OP_END},
	 }},
	/* Guards against reporting a job as completed before its result is durable: the work ends
	 * while the object store is down. */
	{"a task completes only once its result is written",
	 "{\"run_ms\":100,\"result_bytes\":600000}",
	 false,
	 {
		 {0, DFF_OP_START, 1, 0, 0, OK, DFF_TASK_RUNNING, true},
		 {50, DFF_OP_STORE_DOWN, 1, 0, 0, OK, DFF_TASK_RUNNING, true},
		 {50, DFF_OP_CHECKPOINT, 1, 0, 0, REFUSED, DFF_TASK_RUNNING, true},
		 {100, DFF_OP_TICK, 1, 0, 0, OK, DFF_TASK_RUNNING, true},
		 {150, DFF_OP_STORE_UP, 1, 0, 0, OK, DFF_TASK_RUNNING, true},
		 {299, DFF_OP_TICK, 1, 0, 0, OK, DFF_TASK_RUNNING, true},
		 {300, DFF_OP_TICK, 1, 0, 0, OK, DFF_TASK_COMPLETED, true},
		 {300, DFF_OP_END},
	 }},
	{"a task set to fail fails, and so does every task of a faulty worker",
	 "{\"run_ms\":100,\"fail\":true}",
	 false,
	 {
		 {0, DFF_OP_START, 1, 0, 0, OK, DFF_TASK_RUNNING, true},
		 {100, DFF_OP_TICK, 1, 0, 0, OK, DFF_TASK_FAILED, true},
		 {100, DFF_OP_FAIL_EVERYTHING, 1, 0, 0, OK, DFF_TASK_FAILED, true},
		 {100, DFF_OP_START_HELD, 2, 0, 0, OK, DFF_TASK_HELD, false},
		 {100, DFF_OP_RELEASE, 2, 0, 0, OK, DFF_TASK_FAILED, true},
		 {100, DFF_OP_END},
	 }},
	{"a payload that cannot be parsed fails its task",
	 "{\"run_ms\":-1}",
	 false,
	 {
		 {0, DFF_OP_START, 1, 0, 0, OK, DFF_TASK_RUNNING, true},
		 {0, DFF_OP_TICK, 1, 0, 0, OK, DFF_TASK_FAILED, true},
		 {0, DFF_OP_END},
	 }},
};

static void
store_outcome (void *user, const struct dff_worker_result *result)
{
	*(enum dff_worker_outcome *)user = result->outcome;
}

static struct dff_worker_call
step_call (const struct step *step, struct dff_str payload)
{
	struct dff_task_id task = {dff_name_from ("sk.job"), step->attempt, step->member};
	int64_t epoch = step->argument != 0 ? step->argument : FIRST_EPOCH;
	struct dff_worker_call call = {
		.start = {.task = task,
			  .epoch = epoch,
			  .accelerators = 0xff,
			  .resources = {.slots = 1, .cores = 4, .memory_gb = 8, .accelerators = 8},
			  .held = step->op == DFF_OP_START_HELD,
			  .resume = step->op == DFF_OP_RESUME,
			  .lease_ms = LEASE_MS,
			  .payload = payload},
		.command = {.task = task, .epoch = FIRST_EPOCH, .percent = step->argument},
		.renewal = {.lease_ms = LEASE_MS, .from_ms = step->argument},
	};
	if (step->op == DFF_OP_STOP)
		call.command.epoch = epoch;
	return call;
}

static void
do_step (struct fixture *fixture, const struct step *step, struct dff_str payload)
{
	static const enum dff_worker_call_type types[] = {
		[DFF_OP_START] = DFF_WORKER_CALL_START,
		[DFF_OP_START_HELD] = DFF_WORKER_CALL_START,
		[DFF_OP_RESUME] = DFF_WORKER_CALL_START,
		[DFF_OP_RELEASE] = DFF_WORKER_CALL_RELEASE,
		[DFF_OP_CHECKPOINT] = DFF_WORKER_CALL_CHECKPOINT,
		[DFF_OP_THROTTLE] = DFF_WORKER_CALL_THROTTLE,
		[DFF_OP_STOP] = DFF_WORKER_CALL_STOP,
		[DFF_OP_RENEW] = DFF_WORKER_CALL_RENEW,
	};
	struct dff_worker_tasks *tasks = dff_standin_worker_tasks (fixture->worker);
	struct dff_worker_call call = step_call (step, payload);
	fixture->outcome = DFF_WORKER_OK;
	switch (step->op) {
	case DFF_OP_TICK:
		dff_standin_worker_tick (fixture->worker);
		break;
	case DFF_OP_LEAVE:
		dff_worker_tasks_leave (tasks);
		break;
	case DFF_OP_FAIL_EVERYTHING:
		dff_worker_tasks_set_fail_everything (tasks, true);
		break;
	case DFF_OP_STORE_DOWN:
		fixture->caller->faults.outage_until_ms = DFF_MEMORY_FOREVER;
		break;
	case DFF_OP_STORE_UP:
		fixture->caller->faults.outage_until_ms = 0;
		break;
	default:
		call.type = types[step->op];
		dff_standin_worker_call (fixture->worker, &call, store_outcome, &fixture->outcome);
		break;
	}
}

/** Returns: the worker's report on a task; UNKNOWN if there is none. */
static struct dff_task_report
task_report (struct fixture *fixture, int32_t attempt, int32_t member)
{
	struct dff_task_report found = {.state = DFF_TASK_UNKNOWN};
	g_autoptr (GArray) reports = g_array_new (FALSE, TRUE, sizeof (struct dff_task_report));
	dff_worker_tasks_query (dff_standin_worker_tasks (fixture->worker), reports);
	for (guint i = 0; i < reports->len; i++) {
		const struct dff_task_report *report =
			&g_array_index (reports, struct dff_task_report, i);
		if (report->task.attempt == attempt && report->task.member == member)
			found = *report;
	}
	return found;
}

static void
test_scenarios (void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS (scenarios); i++) {
		const struct scenario *scenario = &scenarios[i];
		struct fixture fixture;
		fixture_init (&fixture, scenario->check_epochs);
		for (const struct step *step = scenario->steps; step->op != DFF_OP_END; step++) {
			fixture.clock.now_ms = step->at_ms;
			do_step (&fixture, step, dff_str_from (scenario->payload));
			struct dff_task_report report =
				task_report (&fixture, step->attempt, step->member);
			bool as_expected = fixture.outcome == step->outcome &&
					   report.state == step->state && report.ran == step->ran;
			if (as_expected)
				continue;
			fail_msg ("%s: step %d: outcome %d state %s ran %d", scenario->name,
				  (int)(step - scenario->steps), fixture.outcome,
				  dff_task_state_name (report.state), report.ran);
		}
		fixture_clear (&fixture);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_scenarios),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
