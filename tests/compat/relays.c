#include "compat.h"

#include <string.h>

#include "relay/message.h"

/* Batches of calls to workers that are relayed by another process, and their answers. */

#define PAYLOAD "{\"text\":\"\xc3\xa9 \\\"quoted\\\"\"}"

#define N_RUN_ENDS 6
#define N_RUNNER_OUTCOMES 10

static const enum dff_run_end run_ends[N_RUN_ENDS] = {
	DFF_RUN_COMPLETED,     DFF_RUN_FAILED,      DFF_RUN_STOPPED,
	DFF_RUN_LEASE_EXPIRED, DFF_RUN_GANG_BROKEN, DFF_RUN_GANG_TIMEOUT,
};

static const enum dff_runner_outcome runner_outcomes[N_RUNNER_OUTCOMES] = {
	DFF_RUNNER_DONE,        DFF_RUNNER_STALE_EPOCH,
	DFF_RUNNER_OLD_RUN,     DFF_RUNNER_DEADLINE_PASSED,
	DFF_RUNNER_NO_CAPACITY, DFF_RUNNER_UNHEALTHY,
	DFF_RUNNER_INVALID,     DFF_RUNNER_OTHER_INCARNATION,
	DFF_RUNNER_UNSENT,      DFF_RUNNER_UNKNOWN,
};

static const struct dff_run_order order = {.worker = {"w1", 2},
					   .address = {"10.0.0.9:8000", 13},
					   .task = {"job-7.0.1.2", 11},
					   .run = 3,
					   .epoch = 41,
					   .deadline_ms = 99000,
					   .payload = {PAYLOAD, sizeof (PAYLOAD) - 1},
					   .checkpoint = {"step-12", 7},
					   .timeout_ms = 1500};

static const struct dff_run_watch watch = {.worker = {"w2", 2},
					   .address = {"10.0.0.8:8000", 13},
					   .epoch = 40,
					   .acknowledged = 18,
					   .deadline_ms = 88000,
					   .wait_ms = 700,
					   .timeout_ms = 1600};

static GString *
encode_relay_calls (size_t record)
{
	(void)record;
	struct relay_batch *batch = relay_batch_new ();
	struct dff_name name = dff_name_from ("node-2.k3");
	relay_batch_set_name (batch, &name);
	relay_batch_set_leaving (batch, true);
	relay_batch_add_order (batch, 101, DFF__RELAY__KIND__START, &order);
	relay_batch_add_order (batch, 102, DFF__RELAY__KIND__STOP, &order);
	relay_batch_add_watch (batch, 103, &watch);
	GString *bytes = compat_take_bytes (relay_batch_pack (batch));
	relay_batch_free (batch);
	return bytes;
}

static void
check_order (const Dff__Relay__Call *call)
{
	struct dff_run_order read;
	struct dff_run_watch unused;
	assert_true (relay_call_read (call, &read, &unused));
	check_same_name (&read.worker, &order.worker);
	check_same_name (&read.address, &order.address);
	check_same_name (&read.task, &order.task);
	assert_int_equal (read.run, order.run);
	assert_int_equal (read.epoch, order.epoch);
	assert_int_equal (read.deadline_ms, order.deadline_ms);
	check_text (read.payload, order.payload.data);
	check_text (read.checkpoint, order.checkpoint.data);
	assert_int_equal (read.timeout_ms, order.timeout_ms);
}

static void
check_watch (const Dff__Relay__Call *call)
{
	struct dff_run_order unused;
	struct dff_run_watch read;
	assert_true (relay_call_read (call, &unused, &read));
	check_same_name (&read.worker, &watch.worker);
	check_same_name (&read.address, &watch.address);
	assert_int_equal (read.epoch, watch.epoch);
	assert_int_equal (read.acknowledged, watch.acknowledged);
	assert_int_equal (read.deadline_ms, watch.deadline_ms);
	assert_int_equal (read.wait_ms, watch.wait_ms);
	assert_int_equal (read.timeout_ms, watch.timeout_ms);
}

static Dff__Relay__Batch *
unpack_batch (struct dff_str bytes)
{
	Dff__Relay__Batch *batch =
		dff__relay__batch__unpack (NULL, bytes.len, (const uint8_t *)bytes.data);
	assert_non_null (batch);
	return batch;
}

static void
check_relay_calls (size_t record, struct dff_str bytes)
{
	(void)record;
	Dff__Relay__Batch *batch = unpack_batch (bytes);
	struct dff_name name;
	assert_true (relay_name_read (&batch->name, &name));
	check_name (&name, "node-2.k3");
	assert_true (batch->leaving);
	assert_int_equal (batch->n_answers, 0);
	assert_int_equal (batch->n_calls, 3);
	for (size_t i = 0; i < batch->n_calls; i++)
		assert_int_equal (batch->calls[i]->id, 101 + i);
	assert_int_equal (batch->calls[0]->kind, DFF__RELAY__KIND__START);
	assert_int_equal (batch->calls[1]->kind, DFF__RELAY__KIND__STOP);
	assert_int_equal (batch->calls[2]->kind, DFF__RELAY__KIND__WATCH);
	check_order (batch->calls[0]);
	check_order (batch->calls[1]);
	check_watch (batch->calls[2]);
	dff__relay__batch__free_unpacked (batch, NULL);
}

static const struct dff_run_active running = {
	.task = {"job-7.0.1.2", 11}, .run = 3, .checkpoint = {"step-12", 7}, .percent = 55};

static void
fill_ends (struct dff_run_ended *ends)
{
	for (int i = 0; i < N_RUN_ENDS; i++) {
		ends[i] = (struct dff_run_ended){.number = 18 + i,
						 .task = dff_str_from ("job-7.0.1.3"),
						 .run = 4 + i,
						 .end = run_ends[i],
						 .checkpoint = dff_str_from ("step-2")};
	}
}

/* One answer of each outcome; the first has runs and ends. */
static GString *
encode_relay_answers (size_t record)
{
	(void)record;
	struct dff_run_ended ends[N_RUN_ENDS];
	fill_ends (ends);
	struct relay_batch *batch = relay_batch_new ();
	for (int i = 0; i < N_RUNNER_OUTCOMES; i++) {
		struct dff_runner_result result = {.outcome = runner_outcomes[i],
						   .clock_ms = 70000 + i,
						   .started_ms = 1790000000000 + i,
						   .running = &running,
						   .n_running = i == 0 ? 1 : 0,
						   .ended = ends,
						   .n_ended = i == 0 ? N_RUN_ENDS : 0};
		relay_batch_add_answer (batch, 200 + (uint64_t)i, &result);
	}
	GString *bytes = compat_take_bytes (relay_batch_pack (batch));
	relay_batch_free (batch);
	return bytes;
}

static void
check_answer (void *user, const struct dff_runner_result *result)
{
	const size_t *index = user;
	struct dff_run_ended ends[N_RUN_ENDS];
	fill_ends (ends);
	assert_int_equal (result->outcome, runner_outcomes[*index]);
	assert_int_equal (result->clock_ms, 70000 + *index);
	assert_int_equal (result->started_ms, 1790000000000 + *index);
	assert_int_equal (result->n_running, *index == 0 ? 1 : 0);
	assert_int_equal (result->n_ended, *index == 0 ? N_RUN_ENDS : 0);
	assert_int_equal (result->ended_complete, *index != 0);
	for (size_t i = 0; i < result->n_running; i++) {
		check_text (result->running[i].task, running.task.data);
		assert_int_equal (result->running[i].run, running.run);
		check_text (result->running[i].checkpoint, running.checkpoint.data);
		assert_int_equal (result->running[i].percent, running.percent);
	}
	for (size_t i = 0; i < result->n_ended; i++) {
		assert_int_equal (result->ended[i].number, ends[i].number);
		check_text (result->ended[i].task, ends[i].task.data);
		assert_int_equal (result->ended[i].run, ends[i].run);
		assert_int_equal (result->ended[i].end, ends[i].end);
		check_text (result->ended[i].checkpoint, ends[i].checkpoint.data);
	}
}

static void
check_relay_answers (size_t record, struct dff_str bytes)
{
	(void)record;
	Dff__Relay__Batch *batch = unpack_batch (bytes);
	assert_int_equal (batch->name.len, 0);
	assert_false (batch->leaving);
	assert_int_equal (batch->n_calls, 0);
	assert_int_equal (batch->n_answers, N_RUNNER_OUTCOMES);
	for (size_t i = 0; i < batch->n_answers; i++) {
		assert_int_equal (batch->answers[i]->id, 200 + i);
		relay_answer_read (batch->answers[i], check_answer, &i);
	}
	dff__relay__batch__free_unpacked (batch, NULL);
}

const struct compat_case compat_relays[] = {
	{"relay-calls.hex", true, false, 1, encode_relay_calls, check_relay_calls},
	{"relay-answers.hex", true, false, 1, encode_relay_answers, check_relay_answers},
};
const size_t compat_n_relays = G_N_ELEMENTS (compat_relays);
