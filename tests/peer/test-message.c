#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "fake_transport.h"
#include "peer/message.h"

#define N_RANDOM 20000
#define N_MUTATED 5000

static void
fill_body (struct dff_message *message)
{
	static struct dff_member_report others[DFF_HEARTBEAT_PEERS_MAX];
	static struct dff_task_report reports[3];
	static struct dff_grant grants[3];
	struct dff_name name = dff_name_from ("entry-1");
	for (size_t i = 0; i < G_N_ELEMENTS (others); i++)
		others[i] = (struct dff_member_report){name, 2, 9, DFF_LIVENESS_SUSPECT};
	for (size_t i = 0; i < G_N_ELEMENTS (reports); i++) {
		reports[i].task = (struct dff_task_id){name, 1, (int32_t)i};
		reports[i].result_length = INT64_MAX;
		strcpy (reports[i].result_digest, "0123456789abcdef");
	}
	for (size_t i = 0; i < G_N_ELEMENTS (grants); i++)
		grants[i] = (struct dff_grant){name, (int32_t)i};
	switch (message->kind) {
	case DFF_MESSAGE_HEARTBEAT:
		message->heartbeat.self = (struct dff_member_report){message->sender, 3, 8};
		message->heartbeat.sent_ms = 1000;
		message->heartbeat.peers = others;
		message->heartbeat.n_peers = G_N_ELEMENTS (others);
		break;
	case DFF_MESSAGE_POOL_REQUEST:
		message->pool_request = 4;
		break;
	case DFF_MESSAGE_POOL_FILE:
		message->pool_file.generation = 4;
		message->pool_file.text = dff_str_from ("{}");
		break;
	case DFF_MESSAGE_JOB_HINT:
	case DFF_MESSAGE_JOB_WATCH:
		message->job = name;
		break;
	case DFF_MESSAGE_JOB_ENDED:
		message->job_ended = (struct dff_job_end){name, DFF_OUTCOME_UNKNOWN};
		break;
	case DFF_MESSAGE_WORKER_REPORT:
		message->worker_report =
			(struct dff_worker_report){name, true, true, 5, reports, 3};
		break;
	case DFF_MESSAGE_GRANTS:
		message->grants = (struct dff_grant_set){9, 1, 5000, 999000, 3, grants, 3};
		break;
	}
}

static GByteArray *
encoded (enum dff_message_kind kind)
{
	struct dff_message message = {.kind = kind, .sender = dff_name_from ("entry-0")};
	fill_body (&message);
	return dff_message_encode (&message);
}

static void
test_round_trip_of_every_kind (void **state)
{
	(void)state;
	for (int kind = 0; kind <= DFF_MESSAGE_GRANTS; kind++) {
		g_autoptr (GByteArray) bytes = encoded (kind);
		DFF_AUTO (dff_message) message = dff_message_decode (bytes->data, bytes->len);
		assert_non_null (message);
		assert_int_equal (message->kind, kind);
		assert_string_equal (message->sender.data, "entry-0");
		g_autoptr (GByteArray) again = dff_message_encode (message);
		assert_int_equal (again->len, bytes->len);
		assert_memory_equal (again->data, bytes->data, bytes->len);
	}
}

struct bad_case {
	const char *what;
	enum dff_message_kind kind;
	void (*spoil) (struct dff_message *message);
};

static void
no_sender (struct dff_message *message)
{
	message->sender.len = 0;
}

static void
foreign_sender (struct dff_message *message)
{
	message->sender = dff_name_from ("somebody");
}

static void
bad_byte (struct dff_message *message)
{
	message->job.data[0] = '/';
}

static void
bad_outcome (struct dff_message *message)
{
	message->job_ended.outcome = (enum dff_outcome)99;
}

static void
bad_generation (struct dff_message *message)
{
	message->pool_file.generation = 0;
}

static void
bad_revision (struct dff_message *message)
{
	message->pool_file.revision = -1;
}

static void
empty_file (struct dff_message *message)
{
	message->pool_file.text.len = 0;
}

static void
bad_epoch (struct dff_message *message)
{
	message->grants.epoch = -1;
}

static void
bad_age (struct dff_message *message)
{
	message->grants.heartbeat_age_ms = -1;
}

static void
grants_in_a_renewal (struct dff_message *message)
{
	message->grants.is_renewal = true;
}

static void
bad_silence (struct dff_message *message)
{
	message->worker_report.silent_ms = -1;
}

static void
bad_incarnation (struct dff_message *message)
{
	message->heartbeat.self.incarnation = UINT64_MAX;
}

static void
test_bad_values_are_refused (void **state)
{
	(void)state;
	static const struct bad_case cases[] = {
		{"no sender", DFF_MESSAGE_JOB_HINT, no_sender},
		{"heartbeat of another sender", DFF_MESSAGE_HEARTBEAT, foreign_sender},
		{"byte not allowed in a name", DFF_MESSAGE_JOB_WATCH, bad_byte},
		{"unknown outcome", DFF_MESSAGE_JOB_ENDED, bad_outcome},
		{"generation 0", DFF_MESSAGE_POOL_FILE, bad_generation},
		{"negative revision", DFF_MESSAGE_POOL_FILE, bad_revision},
		{"empty pool file", DFF_MESSAGE_POOL_FILE, empty_file},
		{"negative epoch", DFF_MESSAGE_GRANTS, bad_epoch},
		{"negative age", DFF_MESSAGE_GRANTS, bad_age},
		{"grants in a renewal", DFF_MESSAGE_GRANTS, grants_in_a_renewal},
		{"negative silence", DFF_MESSAGE_WORKER_REPORT, bad_silence},
		{"largest incarnation", DFF_MESSAGE_HEARTBEAT, bad_incarnation},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct dff_message message = {.kind = cases[i].kind};
		message.sender = dff_name_from ("entry-0");
		fill_body (&message);
		cases[i].spoil (&message);
		g_autoptr (GByteArray) bytes = dff_message_encode (&message);
		if (dff_message_decode (bytes->data, bytes->len) != NULL)
			fail_msg ("%s was taken in", cases[i].what);
	}
}

static struct fake_network *
started (void)
{
	struct fake_network *network = fake_network_new (1, 3, 1);
	for (int32_t i = 0; i < 3; i++)
		fake_node_start (&network->nodes[i]);
	fake_network_list (network, 0);
	fake_network_run (network, 1000);
	return network;
}

static void
receive (struct fake_node *node, const uint8_t *data, size_t len)
{
	/* An exact copy on the heap, so that the sanitizer sees a read past its end. */
	g_autofree uint8_t *copy = g_memdup2 (data, len);
	dff_peer_receive (node->peer, copy, len);
}

static void
test_random_bytes (void **state)
{
	(void)state;
	DFF_AUTO (fake_network) network = started ();
	uint8_t data[200];
	int64_t *malformed =
		dff_metrics_counter (network->nodes[2].metrics, "dff_peer_malformed_total", "");
	for (int i = 0; i < N_RANDOM; i++) {
		size_t len = (size_t)g_rand_int_range (network->random, 0, sizeof (data));
		for (size_t j = 0; j < len; j++)
			data[j] = (uint8_t)g_rand_int (network->random);
		receive (&network->nodes[2], data, len);
	}
	assert_int_equal (*malformed, N_RANDOM);
}

static void
test_truncated_and_changed_bytes (void **state)
{
	(void)state;
	DFF_AUTO (fake_network) network = started ();
	for (int kind = 0; kind <= DFF_MESSAGE_GRANTS; kind++) {
		g_autoptr (GByteArray) bytes = encoded (kind);
		for (guint len = 0; len < bytes->len; len++)
			receive (&network->nodes[2], bytes->data, len);
		for (int i = 0; i < N_MUTATED; i++) {
			g_autofree uint8_t *changed = g_memdup2 (bytes->data, bytes->len);
			for (int32_t n = g_rand_int_range (network->random, 1, 5); n > 0; n--) {
				int32_t at = g_rand_int_range (network->random, 0, bytes->len);
				changed[at] = (uint8_t)g_rand_int (network->random);
			}
			receive (&network->nodes[2], changed, bytes->len);
			if (i % 100 == 0)
				dff_peer_tick (network->nodes[2].peer);
		}
	}
	assert_int_equal (dff_peer_members (network->nodes[2].peer)->len, 3);
}

static void
test_too_long (void **state)
{
	(void)state;
	DFF_AUTO (fake_network) network = started ();
	int64_t *malformed =
		dff_metrics_counter (network->nodes[2].metrics, "dff_peer_malformed_total", "");
	g_autoptr (GByteArray) bytes = encoded (DFF_MESSAGE_JOB_HINT);
	g_byte_array_set_size (bytes, DFF_MESSAGE_MAX_BYTES + 1);
	receive (&network->nodes[2], bytes->data, bytes->len);
	assert_int_equal (*malformed, 1);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_round_trip_of_every_kind),
		cmocka_unit_test (test_bad_values_are_refused),
		cmocka_unit_test (test_random_bytes),
		cmocka_unit_test (test_truncated_and_changed_bytes),
		cmocka_unit_test (test_too_long),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
