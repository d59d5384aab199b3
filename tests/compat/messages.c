#include "compat.h"

#include <string.h>

#include "peer/message.h"
#include "upstream/worker_wire.h"

/* Messages between processes and, in JSON, between processes and workers. */

#define DIGEST "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
#define PAYLOAD "{\"text\":\"\xc3\xa9 \\\"quoted\\\"\"}"
#define POOL_TEXT "{\n\"racks\": [], \"note\": \"\xc3\xa9\"\n}\n"

#define N_MESSAGES 9
#define N_TASK_STATES 7

static const enum dff_task_state task_states[N_TASK_STATES] = {
	DFF_TASK_UNKNOWN, DFF_TASK_HELD,    DFF_TASK_RUNNING, DFF_TASK_COMPLETED,
	DFF_TASK_FAILED,  DFF_TASK_STOPPED, DFF_TASK_REFUSED,
};

static const struct dff_member_report members[] = {
	{.id = {"entry-1", 7},
	 .incarnation = 3,
	 .sequence = 800,
	 .liveness = DFF_LIVENESS_ALIVE,
	 .ready = true,
	 .pool_generation = 12,
	 .holder_epoch = 41,
	 .start_id = 16383},
	{.id = {"entry-2", 7},
	 .incarnation = 4,
	 .sequence = 900,
	 .liveness = DFF_LIVENESS_SUSPECT,
	 .leaving = true,
	 .pool_generation = 11,
	 .start_id = 5},
	{.id = {"entry-3", 7},
	 .incarnation = 1,
	 .sequence = 2,
	 .liveness = DFF_LIVENESS_DEAD,
	 .leaving = true,
	 .ready = true,
	 .holder_epoch = 40},
};

static const struct dff_grant grants[] = {{{"w1", 2}, 3}, {{"w2", 2}, 1}};

/* One report of each state; a completed task has a result. */
static void
fill_reports (struct dff_task_report *reports)
{
	for (int i = 0; i < N_TASK_STATES; i++) {
		reports[i] = (struct dff_task_report){
			.state = task_states[i],
			.task = {.job = dff_name_from ("north.job.1"),
				 .attempt = 2 + i,
				 .member = i},
			.ran = i % 2 == 1,
			.checkpoints = 10 * i,
		};
		if (reports[i].state != DFF_TASK_COMPLETED)
			continue;
		reports[i].result_length = 5000000000;
		reports[i].result_key = dff_name_from ("result.1");
		strcpy (reports[i].result_digest, DIGEST);
	}
}

static void
check_reports (const struct dff_task_report *reports, size_t n_reports)
{
	struct dff_task_report expected[N_TASK_STATES];
	fill_reports (expected);
	assert_int_equal (n_reports, N_TASK_STATES);
	for (size_t i = 0; i < n_reports; i++) {
		assert_int_equal (reports[i].state, expected[i].state);
		check_same_name (&reports[i].task.job, &expected[i].task.job);
		assert_int_equal (reports[i].task.attempt, expected[i].task.attempt);
		assert_int_equal (reports[i].task.member, expected[i].task.member);
		assert_int_equal (reports[i].ran, expected[i].ran);
		assert_int_equal (reports[i].checkpoints, expected[i].checkpoints);
		check_same_name (&reports[i].result_key, &expected[i].result_key);
		assert_int_equal (reports[i].result_length, expected[i].result_length);
		assert_string_equal (reports[i].result_digest, expected[i].result_digest);
	}
}

static void
fill_grants (struct dff_grant_set *set, bool is_renewal)
{
	*set = (struct dff_grant_set){.epoch = 41,
				      .sequence = 17,
				      .valid_ms = 5000,
				      .heartbeat_sent_ms = 123456,
				      .heartbeat_age_ms = 21,
				      .is_renewal = is_renewal};
	if (is_renewal) {
		set->digest = dff_grant_digest (grants, G_N_ELEMENTS (grants));
		return;
	}
	set->grants = grants;
	set->n_grants = G_N_ELEMENTS (grants);
}

/* A message of each kind, and the renewal of grants. */
static const enum dff_message_kind kinds[N_MESSAGES] = {
	DFF_MESSAGE_HEARTBEAT,     DFF_MESSAGE_POOL_REQUEST, DFF_MESSAGE_JOB_HINT,
	DFF_MESSAGE_JOB_WATCH,     DFF_MESSAGE_JOB_ENDED,    DFF_MESSAGE_JOB_ENDED,
	DFF_MESSAGE_WORKER_REPORT, DFF_MESSAGE_GRANTS,       DFF_MESSAGE_GRANTS,
};

static GString *
encode_message (size_t record)
{
	struct dff_task_report reports[N_TASK_STATES];
	struct dff_message message = {.sender = dff_name_from ("entry-1"), .kind = kinds[record]};
	switch (message.kind) {
	case DFF_MESSAGE_HEARTBEAT:
		message.heartbeat = (struct dff_heartbeat){
			.self = members[0], .sent_ms = 123456, .peers = members + 1, .n_peers = 2};
		break;
	case DFF_MESSAGE_POOL_REQUEST:
		message.pool_request = 12;
		break;
	case DFF_MESSAGE_JOB_HINT:
	case DFF_MESSAGE_JOB_WATCH:
		message.job = dff_name_from ("north.job.1");
		break;
	case DFF_MESSAGE_JOB_ENDED:
		message.job_ended = (struct dff_job_end){
			.job = dff_name_from ("north.job.1"),
			.outcome = record == 4 ? DFF_OUTCOME_COMPLETED : DFF_OUTCOME_UNKNOWN};
		break;
	case DFF_MESSAGE_WORKER_REPORT:
		fill_reports (reports);
		message.worker_report = (struct dff_worker_report){.worker = dff_name_from ("w1"),
								   .reachable = true,
								   .leaving = true,
								   .silent_ms = 250,
								   .reports = reports,
								   .n_reports = N_TASK_STATES,
								   .complete = true};
		break;
	case DFF_MESSAGE_GRANTS:
		fill_grants (&message.grants, record == 8);
		break;
	case DFF_MESSAGE_POOL_FILE:
		g_assert_not_reached ();
	}
	return compat_take_bytes (dff_message_encode (&message));
}

static void
check_member (const struct dff_member_report *member, const struct dff_member_report *expected)
{
	check_same_name (&member->id, &expected->id);
	assert_int_equal (member->incarnation, expected->incarnation);
	assert_int_equal (member->sequence, expected->sequence);
	assert_int_equal (member->liveness, expected->liveness);
	assert_int_equal (member->leaving, expected->leaving);
	assert_int_equal (member->ready, expected->ready);
	assert_int_equal (member->pool_generation, expected->pool_generation);
	assert_int_equal (member->holder_epoch, expected->holder_epoch);
	assert_int_equal (member->start_id, expected->start_id);
}

static void
check_heartbeat (const struct dff_heartbeat *heartbeat)
{
	check_member (&heartbeat->self, &members[0]);
	assert_int_equal (heartbeat->sent_ms, 123456);
	assert_int_equal (heartbeat->n_peers, 2);
	for (size_t i = 0; i < heartbeat->n_peers; i++)
		check_member (&heartbeat->peers[i], &members[1 + i]);
}

static void
check_worker_report (const struct dff_worker_report *report)
{
	check_name (&report->worker, "w1");
	assert_true (report->reachable);
	assert_true (report->leaving);
	assert_int_equal (report->silent_ms, 250);
	assert_true (report->complete);
	check_reports (report->reports, report->n_reports);
}

static void
check_grants (const struct dff_grant_set *set, bool is_renewal)
{
	struct dff_grant_set expected;
	fill_grants (&expected, is_renewal);
	assert_int_equal (set->epoch, expected.epoch);
	assert_int_equal (set->sequence, expected.sequence);
	assert_int_equal (set->valid_ms, expected.valid_ms);
	assert_int_equal (set->heartbeat_sent_ms, expected.heartbeat_sent_ms);
	assert_int_equal (set->heartbeat_age_ms, expected.heartbeat_age_ms);
	assert_int_equal (set->is_renewal, is_renewal);
	assert_int_equal (set->n_grants, is_renewal ? 0 : G_N_ELEMENTS (grants));
	for (size_t i = 0; i < set->n_grants; i++) {
		check_same_name (&set->grants[i].worker, &grants[i].worker);
		assert_int_equal (set->grants[i].slots, grants[i].slots);
	}
	if (is_renewal)
		assert_true (dff_grant_digest_equal (&set->digest, &expected.digest));
}

static void
check_message (size_t record, struct dff_str bytes)
{
	DFF_AUTO (dff_message)
	message = dff_message_decode ((const uint8_t *)bytes.data, bytes.len);
	assert_non_null (message);
	check_name (&message->sender, "entry-1");
	assert_int_equal (message->kind, kinds[record]);
	switch (message->kind) {
	case DFF_MESSAGE_HEARTBEAT:
		check_heartbeat (&message->heartbeat);
		break;
	case DFF_MESSAGE_POOL_REQUEST:
		assert_int_equal (message->pool_request, 12);
		break;
	case DFF_MESSAGE_JOB_HINT:
	case DFF_MESSAGE_JOB_WATCH:
		check_name (&message->job, "north.job.1");
		break;
	case DFF_MESSAGE_JOB_ENDED:
		check_name (&message->job_ended.job, "north.job.1");
		assert_int_equal (message->job_ended.outcome,
				  record == 4 ? DFF_OUTCOME_COMPLETED : DFF_OUTCOME_UNKNOWN);
		break;
	case DFF_MESSAGE_WORKER_REPORT:
		check_worker_report (&message->worker_report);
		break;
	case DFF_MESSAGE_GRANTS:
		check_grants (&message->grants, record == 8);
		break;
	case DFF_MESSAGE_POOL_FILE:
		g_assert_not_reached ();
	}
}

static GString *
encode_pool_file (size_t record)
{
	(void)record;
	struct dff_message message = {.sender = dff_name_from ("entry-1"),
				      .kind = DFF_MESSAGE_POOL_FILE};
	message.pool_file = (struct dff_pool_file){
		.generation = 12, .revision = 77, .text = dff_str_from (POOL_TEXT)};
	return compat_take_bytes (dff_message_encode (&message));
}

static void
check_pool_file (size_t record, struct dff_str bytes)
{
	(void)record;
	DFF_AUTO (dff_message)
	message = dff_message_decode ((const uint8_t *)bytes.data, bytes.len);
	assert_non_null (message);
	check_name (&message->sender, "entry-1");
	assert_int_equal (message->kind, DFF_MESSAGE_POOL_FILE);
	assert_int_equal (message->pool_file.generation, 12);
	assert_int_equal (message->pool_file.revision, 77);
	check_text (message->pool_file.text, POOL_TEXT);
}

/* Record 1 has neither held nor resume set. */
static GString *
encode_start (size_t record)
{
	struct dff_task_start start = {
		.task = {.job = dff_name_from ("north.job.1"), .attempt = 2, .member = 5},
		.epoch = 41,
		.accelerators = 0x80000000000000f0,
		.resources = {.slots = 1, .cores = 4, .memory_gb = 16, .accelerators = 5},
		.held = record == 0,
		.resume = record == 0,
		.lease_ms = 15000,
		.payload = dff_str_from (PAYLOAD)};
	GString *out = g_string_new (NULL);
	dff_worker_wire_append_start (out, &start);
	return out;
}

static void
check_task_id (const struct dff_task_id *task)
{
	check_name (&task->job, "north.job.1");
	assert_int_equal (task->attempt, 2);
	assert_int_equal (task->member, 5);
}

static void
check_start (size_t record, struct dff_str bytes)
{
	struct dff_task_start start;
	g_autoptr (GString) payload = g_string_new (NULL);
	assert_true (dff_worker_wire_parse_start (bytes, &start, payload));
	check_task_id (&start.task);
	assert_int_equal (start.epoch, 41);
	assert_true (start.accelerators == 0x80000000000000f0);
	assert_int_equal (start.resources.slots, 1);
	assert_int_equal (start.resources.cores, 4);
	assert_int_equal (start.resources.memory_gb, 16);
	assert_int_equal (start.resources.accelerators, 5);
	assert_int_equal (start.held, record == 0);
	assert_int_equal (start.resume, record == 0);
	assert_int_equal (start.lease_ms, 15000);
	check_text (start.payload, PAYLOAD);
}

static GString *
encode_command (size_t record)
{
	(void)record;
	struct dff_worker_command command = {
		.task = {.job = dff_name_from ("north.job.1"), .attempt = 2, .member = 5},
		.epoch = 41,
		.percent = 60};
	GString *out = g_string_new (NULL);
	dff_worker_wire_append_command (out, &command);
	return out;
}

static void
check_command (size_t record, struct dff_str bytes)
{
	(void)record;
	struct dff_worker_command command;
	assert_true (dff_worker_wire_parse_command (bytes, &command));
	check_task_id (&command.task);
	assert_int_equal (command.epoch, 41);
	assert_int_equal (command.percent, 60);
}

static GString *
encode_renewal (size_t record)
{
	(void)record;
	struct dff_worker_renewal renewal = {
		.lease_ms = 15000, .after_sequence = 88, .from_ms = 123456, .wait_ms = 700};
	GString *out = g_string_new (NULL);
	dff_worker_wire_append_renewal (out, &renewal);
	return out;
}

static void
check_renewal (size_t record, struct dff_str bytes)
{
	(void)record;
	struct dff_worker_renewal renewal;
	assert_true (dff_worker_wire_parse_renewal (bytes, &renewal));
	assert_int_equal (renewal.lease_ms, 15000);
	assert_int_equal (renewal.after_sequence, 88);
	assert_int_equal (renewal.from_ms, 123456);
	assert_int_equal (renewal.wait_ms, 700);
}

/* Record 1 has no reports. */
static GString *
encode_worker_answer (size_t record)
{
	struct dff_task_report reports[N_TASK_STATES];
	fill_reports (reports);
	struct dff_worker_result result = {.leaving = record == 0,
					   .reports = reports,
					   .n_reports = record == 0 ? N_TASK_STATES : 0,
					   .sequence = 88,
					   .incarnation = 1790000000000};
	result.clock_ms = 123456;
	GString *out = g_string_new (NULL);
	dff_worker_wire_append_answer (out, &result);
	return out;
}

static void
check_worker_answer (size_t record, struct dff_str bytes)
{
	g_autoptr (GArray) reports = g_array_new (FALSE, FALSE, sizeof (struct dff_task_report));
	struct dff_worker_result result = {0};
	assert_true (dff_worker_wire_parse_answer (bytes, &result, reports));
	assert_int_equal (result.leaving, record == 0);
	assert_int_equal (result.sequence, 88);
	assert_int_equal (result.incarnation, 1790000000000);
	assert_int_equal (result.clock_ms, 123456);
	if (record == 0)
		check_reports (result.reports, result.n_reports);
	else
		assert_int_equal (result.n_reports, 0);
}

const struct compat_case compat_messages[] = {
	{"peer-message.hex", true, false, N_MESSAGES, encode_message, check_message},
	{"peer-pool-file.hex", true, true, 1, encode_pool_file, check_pool_file},
	{"worker-start.jsonl", false, false, 2, encode_start, check_start},
	{"worker-command.jsonl", false, false, 1, encode_command, check_command},
	{"worker-renewal.jsonl", false, false, 1, encode_renewal, check_renewal},
	{"worker-answer.jsonl", false, false, 2, encode_worker_answer, check_worker_answer},
};
const size_t compat_n_messages = G_N_ELEMENTS (compat_messages);
