#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <event2/event.h>
#include <string.h>

#include "common/event_loop.h"
#include "relay/message.h"
#include "standin/memory_link.h"
#include "standin/memory_runner.h"

/* Calls to workers through relays: a holder, three relays and a dozen workers in memory under a
 * virtual clock. Also the stream between a holder and a relay over the loopback interface. */

#define RELAYS 3
#define WORKERS 12
#define START_MS 1000000
#define DEADLINE_MS 60000

struct relay_process {
	struct dff_memory_runner_client *client;
	struct dff_relay *relay;
	struct dff_memory_link *link;
};

/** A clock that can be set ahead of the event loop's clock, to simulate a pause of the process. */
struct pausing_clock {
	struct dff_clock clock;
	const struct dff_clock *loop;
	int64_t ahead_ms;
};

struct fixture {
	struct dff_virtual_loop *loop;
	struct pausing_clock clock;
	struct dff_timers timers;
	struct dff_metrics *metrics;
	struct dff_memory_runner *runner;
	struct dff_memory_runner_client *direct;
	struct dff_dispatch *dispatch;
	struct relay_process relays[RELAYS];
	/** Number of times that a relay reported the holder as silent. */
	int n_silent;
};

/** The outcome of a call. */
struct outcome {
	bool ended;
	enum dff_runner_outcome outcome;
	size_t n_running;
	size_t n_ended;
	enum dff_run_end end;
	bool ended_complete;
	size_t checkpoint_len;
	int64_t clock_ms;
	int64_t started_ms;
};

static struct dff_memory_task
describe (void *ctx, const struct dff_name *task)
{
	(void)ctx;
	(void)task;
	return (struct dff_memory_task){
		.duration_ms = 2000, .accelerators = 1, .checkpoints = true};
}

static int64_t
pausing_now_ms (void *ctx)
{
	const struct pausing_clock *clock = ctx;
	return dff_clock_now_ms (clock->loop) + clock->ahead_ms;
}

static int64_t
pausing_wall_ms (void *ctx)
{
	const struct pausing_clock *clock = ctx;
	return dff_clock_wall_ms (clock->loop);
}

static struct dff_name
worker_id (int index)
{
	return dff_name_printf ("w%d", index);
}

static struct dff_name
worker_address (int index)
{
	return dff_name_printf ("10.0.0.%d:1", index + 1);
}

static void
count_silence (void *ctx)
{
	struct fixture *fixture = ctx;
	fixture->n_silent++;
}

static void
open_relay (struct fixture *fixture, int index)
{
	struct relay_process *process = &fixture->relays[index];
	process->client = dff_memory_runner_client_new (fixture->runner);
	struct dff_relay_options options = {
		.timers = dff_virtual_loop_timers (fixture->loop),
		.metrics = fixture->metrics,
		.runner = dff_memory_runner_client_interface (process->client),
		.name = dff_name_printf ("relay-%d", index),
		.holder_silent = count_silence,
		.ctx = fixture};
	process->relay = dff_relay_new (&options);
	process->link = dff_memory_link_new (fixture->loop, fixture->dispatch, process->relay);
}

static void
open_fixture (struct fixture *fixture)
{
	memset (fixture, 0, sizeof (*fixture));
	fixture->loop = dff_virtual_loop_new (START_MS);
	fixture->metrics = dff_metrics_new ();
	fixture->clock =
		(struct pausing_clock){.clock = {pausing_now_ms, pausing_wall_ms, &fixture->clock},
				       .loop = dff_virtual_loop_clock (fixture->loop)};
	fixture->timers = *dff_virtual_loop_timers (fixture->loop);
	fixture->timers.clock = &fixture->clock.clock;
	struct dff_memory_runner_options runner = {.loop = fixture->loop,
						   .describe = describe,
						   .stop_grace_ms = 200,
						   .gang_wait_ms = 3000,
						   .max_attempts = 2,
						   .listed_ends_max = 1};
	fixture->runner = dff_memory_runner_new (&runner);
	for (int i = 0; i < WORKERS; i++) {
		struct dff_name id = worker_id (i), address = worker_address (i);
		dff_memory_runner_add (fixture->runner, id.data, address.data, 8, 1000);
	}
	fixture->direct = dff_memory_runner_client_new (fixture->runner);
	struct dff_dispatch_options dispatch = {
		.timers = &fixture->timers,
		.metrics = fixture->metrics,
		.direct = dff_memory_runner_client_interface (fixture->direct)};
	fixture->dispatch = dff_dispatch_new (&dispatch);
	dff_dispatch_set_limit (fixture->dispatch, RELAYS);
	for (int i = 0; i < RELAYS; i++)
		open_relay (fixture, i);
	dff_virtual_loop_run (fixture->loop, 10);
	assert_int_equal (dff_dispatch_n_relays (fixture->dispatch), RELAYS);
}

static void
close_fixture (struct fixture *fixture)
{
	for (int i = 0; i < RELAYS; i++)
		dff_memory_link_free (fixture->relays[i].link);
	/* Lets all calls in progress end. */
	dff_virtual_loop_run (fixture->loop, 30000);
	for (int i = 0; i < RELAYS; i++)
		dff_relay_free (fixture->relays[i].relay);
	dff_dispatch_free (fixture->dispatch);
	const char *violation = dff_memory_runner_violation (fixture->runner);
	if (violation != NULL)
		fail_msg ("%s", violation);
	dff_memory_runner_free (fixture->runner);
	dff_metrics_free (fixture->metrics);
	dff_virtual_loop_free (fixture->loop);
}

static void
handle_result (void *user, const struct dff_runner_result *result)
{
	struct outcome *outcome = user;
	assert_false (outcome->ended);
	outcome->ended = true;
	outcome->outcome = result->outcome;
	outcome->n_running = result->n_running;
	outcome->n_ended = result->n_ended;
	outcome->ended_complete = result->ended_complete;
	outcome->clock_ms = result->clock_ms;
	outcome->started_ms = result->started_ms;
	if (result->n_ended > 0)
		outcome->end = result->ended[0].end;
	if (result->n_running > 0)
		outcome->checkpoint_len = result->running[0].checkpoint.len;
}

static struct dff_run_order
order_for (int worker, int32_t run)
{
	return (struct dff_run_order){.worker = worker_id (worker),
				      .address = worker_address (worker),
				      .task = dff_name_printf ("job%d.0.0.0", worker),
				      .run = run,
				      .epoch = 1,
				      .deadline_ms = START_MS + DEADLINE_MS,
				      .payload = dff_str_from ("payload"),
				      .checkpoint = dff_str_from (""),
				      .timeout_ms = 200};
}

static void
start (struct fixture *fixture, int worker, int32_t run, struct outcome *outcome)
{
	const struct dff_runner *runner = dff_dispatch_interface (fixture->dispatch);
	struct dff_run_order order = order_for (worker, run);
	*outcome = (struct outcome){0};
	runner->start (runner->ctx, &order, handle_result, outcome);
}

static void
stop (struct fixture *fixture, int worker, int32_t run, struct outcome *outcome)
{
	const struct dff_runner *runner = dff_dispatch_interface (fixture->dispatch);
	struct dff_run_order order = order_for (worker, run);
	*outcome = (struct outcome){0};
	runner->stop (runner->ctx, &order, handle_result, outcome);
}

static void
watch (struct fixture *fixture, int worker, int32_t wait_ms, struct outcome *outcome)
{
	const struct dff_runner *runner = dff_dispatch_interface (fixture->dispatch);
	struct dff_run_watch watch = {.worker = worker_id (worker),
				      .address = worker_address (worker),
				      .epoch = 1,
				      .deadline_ms = START_MS + DEADLINE_MS,
				      .wait_ms = wait_ms,
				      .timeout_ms = wait_ms + 500};
	*outcome = (struct outcome){0};
	runner->watch (runner->ctx, &watch, handle_result, outcome);
}

static int64_t
counter (struct fixture *fixture, const char *name)
{
	return *dff_metrics_counter (fixture->metrics, name, "");
}

/* Guards against relays that stay connected to a former holder, so that the next holder has to call
 * all workers directly. A holder that steps down disconnects its relays, and a relay reports the
 * silence of a holder that is frozen or isolated. */
static void
test_relays_leave_a_former_holder (void **state)
{
	(void)state;
	struct fixture fixture;
	struct outcome outcomes[WORKERS];
	open_fixture (&fixture);
	for (int i = 0; i < 10; i++) {
		for (int j = 0; j < WORKERS; j++)
			watch (&fixture, j, 0, &outcomes[j]);
		dff_virtual_loop_run (fixture.loop, 200);
	}
	assert_int_equal (fixture.n_silent, 0);
	dff_virtual_loop_run (fixture.loop, 1200);
	assert_in_range (fixture.n_silent, RELAYS, 2 * RELAYS);
	for (int j = 0; j < WORKERS; j++)
		watch (&fixture, j, 1000, &outcomes[j]);
	dff_virtual_loop_run (fixture.loop, 5);
	dff_dispatch_set_limit (fixture.dispatch, 0);
	for (int j = 0; j < WORKERS; j++) {
		assert_true (outcomes[j].ended);
		assert_int_equal (outcomes[j].outcome, DFF_RUNNER_UNKNOWN);
	}
	dff_virtual_loop_run (fixture.loop, 10);
	for (int i = 0; i < RELAYS; i++)
		assert_false (dff_memory_link_is_up (fixture.relays[i].link));
	close_fixture (&fixture);
}

/* Guards against mixing the run lists of two incarnations of a worker: an answer through a relay
 * carries the start time of the incarnation. */
static void
test_answers_carry_the_incarnation (void **state)
{
	(void)state;
	struct fixture fixture;
	open_fixture (&fixture);
	dff_memory_runner_add_with_start (fixture.runner, "again", "10.0.9.1:1", 8, 1000);
	const struct dff_runner *runner = dff_dispatch_interface (fixture.dispatch);
	struct dff_run_watch watch = {.worker = dff_name_from ("again"),
				      .address = dff_name_from ("10.0.9.1:1"),
				      .epoch = 1,
				      .deadline_ms = DEADLINE_MS,
				      .timeout_ms = 500};
	int64_t started_ms = dff_virtual_loop_now_ms (fixture.loop);
	for (int i = 0; i < 2; i++) {
		struct outcome outcome = {0};
		runner->watch (runner->ctx, &watch, handle_result, &outcome);
		dff_virtual_loop_run (fixture.loop, 100);
		assert_int_equal (outcome.outcome, DFF_RUNNER_DONE);
		assert_int_equal (outcome.started_ms, started_ms);
		assert_in_range (outcome.clock_ms, 1, 200);
		dff_memory_runner_kill (fixture.runner, "again");
		started_ms = dff_virtual_loop_now_ms (fixture.loop);
		dff_memory_runner_add_with_start (fixture.runner, "again", "10.0.9.1:1", 8, 1000);
	}
	close_fixture (&fixture);
}

/* Answers of workers arrive complete, and all calls go through the relays. */
static void
test_calls_and_answers_arrive_whole (void **state)
{
	(void)state;
	struct fixture fixture;
	struct outcome outcomes[WORKERS], stopped;
	open_fixture (&fixture);
	for (int i = 0; i < WORKERS; i++)
		start (&fixture, i, 1, &outcomes[i]);
	dff_virtual_loop_run (fixture.loop, 100);
	for (int i = 0; i < WORKERS; i++) {
		assert_true (outcomes[i].ended);
		assert_int_equal (outcomes[i].outcome, DFF_RUNNER_DONE);
		assert_true (outcomes[i].clock_ms >= START_MS);
	}
	dff_virtual_loop_run (fixture.loop, 1000);
	for (int i = 0; i < WORKERS; i++)
		watch (&fixture, i, 0, &outcomes[i]);
	dff_virtual_loop_run (fixture.loop, 100);
	for (int i = 0; i < WORKERS; i++) {
		assert_int_equal (outcomes[i].n_running, 1);
		assert_int_not_equal (outcomes[i].checkpoint_len, 0);
		assert_true (outcomes[i].ended_complete);
		watch (&fixture, i, 1500, &outcomes[i]);
	}
	stop (&fixture, 1, 1, &stopped);
	dff_virtual_loop_run (fixture.loop, 1500);
	assert_int_equal (outcomes[1].end, DFF_RUN_STOPPED);
	for (int i = 2; i < WORKERS; i++) {
		assert_int_equal (outcomes[i].n_ended, 1);
		assert_int_equal (outcomes[i].end, DFF_RUN_COMPLETED);
		assert_false (outcomes[i].ended_complete);
	}
	start (&fixture, 2, 1, &outcomes[2]);
	dff_virtual_loop_run (fixture.loop, 100);
	assert_int_equal (outcomes[2].outcome, DFF_RUNNER_OLD_RUN);
	assert_int_equal (counter (&fixture, "dff_relay_calls_direct_total"), 0);
	close_fixture (&fixture);
}

/** A call whose answer makes the holder step down, in place of the holder's handler. */
struct ending_call {
	struct fixture *fixture;
	struct outcome outcome;
};

static void
handle_result_and_step_down (void *user, const struct dff_runner_result *result)
{
	struct ending_call *call = user;
	handle_result (&call->outcome, result);
	dff_dispatch_set_limit (call->fixture->dispatch, 0);
}

static void
send_ending_call (struct fixture *fixture,
		  int worker,
		  Dff__Relay__Kind kind,
		  struct ending_call *call)
{
	const struct dff_runner *runner = dff_dispatch_interface (fixture->dispatch);
	struct dff_run_order order = order_for (worker, 1);
	struct dff_run_watch watch = {.worker = worker_id (worker),
				      .address = worker_address (worker),
				      .epoch = 1,
				      .timeout_ms = 500};
	*call = (struct ending_call){.fixture = fixture};
	if (kind == DFF__RELAY__KIND__START)
		runner->start (runner->ctx, &order, handle_result_and_step_down, call);
	else if (kind == DFF__RELAY__KIND__STOP)
		runner->stop (runner->ctx, &order, handle_result_and_step_down, call);
	else
		runner->watch (runner->ctx, &watch, handle_result_and_step_down, call);
}

/* Guards against reading a relay that is freed: the answer to a call makes this process step down,
 * which drops the relay in the middle of its message. */
static void
test_step_down_within_a_message (void **state)
{
	(void)state;
	static const Dff__Relay__Kind kinds[] = {DFF__RELAY__KIND__START, DFF__RELAY__KIND__STOP,
						 DFF__RELAY__KIND__WATCH};
	for (size_t k = 0; k < G_N_ELEMENTS (kinds); k++) {
		struct fixture fixture;
		struct ending_call calls[WORKERS];
		open_fixture (&fixture);
		for (int i = 0; i < WORKERS; i++)
			send_ending_call (&fixture, i, kinds[k], &calls[i]);
		dff_virtual_loop_run (fixture.loop, 100);
		int n_answered = 0;
		for (int i = 0; i < WORKERS; i++) {
			assert_true (calls[i].outcome.ended);
			n_answered += calls[i].outcome.outcome == DFF_RUNNER_DONE;
		}
		assert_int_equal (n_answered, 1);
		assert_int_equal (dff_dispatch_n_relays (fixture.dispatch), 0);
		close_fixture (&fixture);
	}
}

/* Guards against lost runs when a relay is isolated, frozen or gone: calls through it never end,
 * and the leases of its workers are not renewed and expire. The calls have to end as unknown within
 * 1.3 s, and the next ones have to go through another relay. */
static void
test_calls_through_a_lost_relay (void **state)
{
	(void)state;
	static const struct {
		bool silent;
		int64_t limit_ms;
	} cases[] = {{true, 1300}, {false, 10}};
	for (size_t c = 0; c < G_N_ELEMENTS (cases); c++) {
		struct fixture fixture;
		struct outcome outcomes[WORKERS], again[WORKERS];
		open_fixture (&fixture);
		for (int i = 0; i < WORKERS; i++)
			watch (&fixture, i, 2000, &outcomes[i]);
		dff_virtual_loop_run (fixture.loop, 50);
		if (cases[c].silent)
			dff_memory_link_silence (fixture.relays[0].link, true);
		else
			dff_memory_link_free (fixture.relays[0].link);
		dff_virtual_loop_run (fixture.loop, cases[c].limit_ms);
		int n_lost = 0;
		for (int i = 0; i < WORKERS; i++) {
			n_lost += outcomes[i].ended;
			if (outcomes[i].ended)
				assert_int_equal (outcomes[i].outcome, DFF_RUNNER_UNKNOWN);
		}
		assert_in_range (n_lost, 1, WORKERS - 1);
		assert_int_equal (dff_dispatch_n_relays (fixture.dispatch), RELAYS - 1);
		for (int i = 0; i < WORKERS; i++)
			start (&fixture, i, 1, &again[i]);
		dff_virtual_loop_run (fixture.loop, 50);
		for (int i = 0; i < WORKERS; i++)
			assert_int_equal (again[i].outcome, DFF_RUNNER_DONE);
		if (!cases[c].silent)
			fixture.relays[0].link = dff_memory_link_new (
				fixture.loop, fixture.dispatch, fixture.relays[0].relay);
		close_fixture (&fixture);
	}
}

/* Guards against treating a serving worker as lost: its relay cannot reach it, other processes can,
 * and every call goes through the same relay. */
static void
test_worker_out_of_reach_of_relays (void **state)
{
	(void)state;
	struct fixture fixture;
	open_fixture (&fixture);
	for (int i = 0; i < RELAYS; i++) {
		for (int j = 0; j < WORKERS; j++) {
			struct dff_name id = worker_id (j);
			dff_memory_runner_client_cut (fixture.relays[i].client, id.data, true);
		}
	}
	struct outcome outcome;
	int n_calls = 0;
	do {
		start (&fixture, 3, 1, &outcome);
		dff_virtual_loop_run (fixture.loop, 500);
		assert_true (outcome.ended);
		n_calls++;
	} while (outcome.outcome != DFF_RUNNER_DONE && n_calls < 10);
	/* After three unanswered calls through relays, the fourth call goes directly. */
	assert_int_equal (n_calls, 4);
	close_fixture (&fixture);
}

/* Guards against dropping all relays, and calling every worker again, after the holder was paused
 * for three seconds: its timers run before the messages that have arrived are read, so that its own
 * pause looks like silence of the relays. */
static void
test_own_pause_is_not_relay_silence (void **state)
{
	(void)state;
	struct fixture fixture;
	open_fixture (&fixture);
	dff_virtual_loop_run (fixture.loop, 500);
	fixture.clock.ahead_ms = 3000;
	dff_virtual_loop_run (fixture.loop, 500);
	assert_int_equal (dff_dispatch_n_relays (fixture.dispatch), RELAYS);
	close_fixture (&fixture);
}

/* A relay that is about to stop gets no further calls; its calls in progress end normally. */
static void
test_stopping_relay_gets_no_calls (void **state)
{
	(void)state;
	struct fixture fixture;
	struct outcome outcomes[WORKERS], starts[WORKERS];
	open_fixture (&fixture);
	for (int i = 0; i < WORKERS; i++)
		watch (&fixture, i, 1000, &outcomes[i]);
	dff_virtual_loop_run (fixture.loop, 20);
	dff_relay_leave (fixture.relays[0].relay);
	dff_relay_leave (fixture.relays[1].relay);
	dff_virtual_loop_run (fixture.loop, 20);
	for (int i = 0; i < WORKERS; i++) {
		struct dff_name id = worker_id (i);
		dff_memory_runner_client_cut (fixture.relays[0].client, id.data, true);
		dff_memory_runner_client_cut (fixture.relays[1].client, id.data, true);
		start (&fixture, i, 1, &starts[i]);
	}
	dff_virtual_loop_run (fixture.loop, 100);
	for (int i = 0; i < WORKERS; i++)
		assert_int_equal (starts[i].outcome, DFF_RUNNER_DONE);
	dff_virtual_loop_run (fixture.loop, 2000);
	for (int i = 0; i < WORKERS; i++)
		assert_int_equal (outcomes[i].outcome, DFF_RUNNER_DONE);
	close_fixture (&fixture);
}

/* Relays beyond the limit are disconnected. The limit of a process that is not the holder is 0. */
static void
test_relay_limit (void **state)
{
	(void)state;
	struct fixture fixture;
	open_fixture (&fixture);
	dff_memory_link_free (fixture.relays[0].link);
	dff_dispatch_set_limit (fixture.dispatch, RELAYS - 1);
	fixture.relays[0].link =
		dff_memory_link_new (fixture.loop, fixture.dispatch, fixture.relays[0].relay);
	dff_virtual_loop_run (fixture.loop, 20);
	assert_false (dff_memory_link_is_up (fixture.relays[0].link));
	assert_int_equal (dff_dispatch_n_relays (fixture.dispatch), RELAYS - 1);
	close_fixture (&fixture);
}

static void
ignore_message (void *ctx, const uint8_t *data, size_t len)
{
	(void)ctx;
	(void)data;
	(void)len;
}

static void
count_close (void *ctx)
{
	(*(int *)ctx)++;
}

/* Guards against connections that send nothing and keep relays out: one gives way to a relay, none
 * takes the place of a relay. */
static void
test_silent_connections_give_way (void **state)
{
	(void)state;
	struct fixture fixture;
	int n_closed = 0;
	struct dff_relay_link silent = {
		.send = ignore_message, .close = count_close, .ctx = &n_closed};
	open_fixture (&fixture);
	dff_dispatch_set_limit (fixture.dispatch, RELAYS);
	dff_memory_link_free (fixture.relays[0].link);
	dff_virtual_loop_run (fixture.loop, 20);
	assert_non_null (dff_dispatch_add (fixture.dispatch, &silent));
	fixture.relays[0].link =
		dff_memory_link_new (fixture.loop, fixture.dispatch, fixture.relays[0].relay);
	assert_int_equal (n_closed, 1);
	dff_virtual_loop_run (fixture.loop, 20);
	assert_true (dff_memory_link_is_up (fixture.relays[0].link));
	assert_null (dff_dispatch_add (fixture.dispatch, &silent));
	assert_int_equal (n_closed, 2);
	assert_int_equal (dff_dispatch_n_relays (fixture.dispatch), RELAYS);
	close_fixture (&fixture);
}

/* Bytes that are not a message end the connection and have no other effect: random bytes, and
 * messages of a relay that are truncated or have one byte changed. Seeded. */
static void
test_unreadable_message_ends_the_connection (void **state)
{
	(void)state;
	/* A protobuf-encoded batch with a name and an answer to a call that was never made. */
	static const uint8_t valid_message[] = {0x1a, 0x03, 'r',  '-',  '1',  0x12, 0x06,
						0x08, 0x07, 0x10, 0x02, 0x18, 0x05};
	g_autoptr (GRand) rand = g_rand_new_with_seed (20261203);
	struct fixture fixture;
	open_fixture (&fixture);
	for (int i = 0; i < 3000; i++) {
		uint8_t bytes[64];
		size_t len = (size_t)g_rand_int_range (rand, 0, sizeof (bytes));
		if (i % 3 == 0) {
			for (size_t j = 0; j < len; j++)
				bytes[j] = (uint8_t)g_rand_int (rand);
		} else {
			len = i % 3 == 1 ? MIN (len, sizeof (valid_message))
					 : sizeof (valid_message);
			memcpy (bytes, valid_message, len);
			if (i % 3 == 2)
				bytes[g_rand_int_range (rand, 0, sizeof (valid_message))] =
					(uint8_t)g_rand_int (rand);
		}
		dff_memory_link_inject (fixture.relays[0].link, bytes, len);
		dff_virtual_loop_run (fixture.loop, 5);
		dff_relay_receive (fixture.relays[1].relay, bytes, len);
		dff_virtual_loop_run (fixture.loop, 5);
		for (int j = 0; j < 2; j++) {
			if (dff_memory_link_is_up (fixture.relays[j].link))
				continue;
			dff_memory_link_free (fixture.relays[j].link);
			dff_virtual_loop_run (fixture.loop, 5);
			fixture.relays[j].link = dff_memory_link_new (
				fixture.loop, fixture.dispatch, fixture.relays[j].relay);
		}
	}
	struct outcome outcome;
	start (&fixture, 0, 1, &outcome);
	dff_virtual_loop_run (fixture.loop, 100);
	assert_int_equal (outcome.outcome, DFF_RUNNER_DONE);
	close_fixture (&fixture);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_calls_and_answers_arrive_whole),
		cmocka_unit_test (test_answers_carry_the_incarnation),
		cmocka_unit_test (test_step_down_within_a_message),
		cmocka_unit_test (test_relays_leave_a_former_holder),
		cmocka_unit_test (test_calls_through_a_lost_relay),
		cmocka_unit_test (test_worker_out_of_reach_of_relays),
		cmocka_unit_test (test_own_pause_is_not_relay_silence),
		cmocka_unit_test (test_stopping_relay_gets_no_calls),
		cmocka_unit_test (test_relay_limit),
		cmocka_unit_test (test_silent_connections_give_way),
		cmocka_unit_test (test_unreadable_message_ends_the_connection),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
