#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "fake_transport.h"
#include "peer/message.h"

#define HOLDER 0
#define ENTRY 1
#define OTHER 2
#define N_NODES 3
#define N_WORKERS 100
#define ROUND_MS 2000
#define VALID_MS 10000
/* A renewal is shorter than this, a full set of 100 workers much longer. */
#define RENEWAL_BYTES_MAX 100

static struct fake_network *
started (void)
{
	struct fake_network *network = fake_network_new (1, N_NODES, 1);
	for (int32_t i = 0; i < N_NODES; i++)
		fake_node_start (&network->nodes[i]);
	fake_network_list (network, 0);
	fake_network_run (network, 2000);
	dff_peer_set_state (network->nodes[HOLDER].peer, true, false, 4);
	fake_network_run (network, 200);
	return network;
}

static int64_t
counter (const struct fake_node *node, const char *name)
{
	return *dff_metrics_counter (node->metrics, name, "");
}

/* Sends @n grants of one slot to the entry and runs for one round. Returns: bytes sent. */
static int64_t
send_round (struct fake_network *network, int32_t from, int64_t epoch, size_t n)
{
	struct fake_node *node = &network->nodes[from];
	struct dff_grant grants[N_WORKERS];
	for (size_t i = 0; i < n; i++)
		grants[i] = (struct dff_grant){dff_name_printf ("worker-%zu", i), 1};
	int64_t before = counter (node, "dff_peer_sent_bytes_total");
	dff_peer_send_grants (node->peer, &network->nodes[ENTRY].instance.id, epoch, grants, n,
			      VALID_MS);
	int64_t bytes = counter (node, "dff_peer_sent_bytes_total") - before;
	fake_network_run (network, ROUND_MS);
	return bytes;
}

/* As send_round(), but the message is lost. */
static void
lose_round (struct fake_network *network, size_t n)
{
	int32_t loss = network->loss;
	network->loss = 100;
	struct dff_grant grants[N_WORKERS];
	for (size_t i = 0; i < n; i++)
		grants[i] = (struct dff_grant){dff_name_printf ("worker-%zu", i), 1};
	dff_peer_send_grants (network->nodes[HOLDER].peer, &network->nodes[ENTRY].instance.id, 4,
			      grants, n, VALID_MS);
	network->loss = loss;
	fake_network_run (network, ROUND_MS);
}

static void
test_an_unchanged_set_is_renewed_by_digest (void **state)
{
	(void)state;
	DFF_AUTO (fake_network) network = started ();
	const struct fake_node *entry = &network->nodes[ENTRY];
	for (int round = 0; round < 30; round++) {
		int64_t bytes = send_round (network, HOLDER, 4, N_WORKERS);
		bool is_full = round < 2 || round % 3 == 0;
		assert_int_equal (bytes > RENEWAL_BYTES_MAX, is_full);
		assert_int_equal (entry->grant_sets, round + 1);
		assert_int_equal (entry->granted_slots, N_WORKERS);
		int64_t left_ms = entry->grants_expire_ms - network->clock.now_ms;
		assert_in_range (left_ms, VALID_MS - ROUND_MS - 200, VALID_MS - ROUND_MS);
	}
	assert_true (send_round (network, HOLDER, 4, N_WORKERS - 1) > RENEWAL_BYTES_MAX);
	assert_int_equal (entry->granted_slots, N_WORKERS - 1);
}

/* Guards against a process that goes on using slots which the holder has granted to another: its
 * set changes, both full sets are lost, and a renewal of the new set renews the old one. */
static void
test_lost_full_sets_are_resent (void **state)
{
	(void)state;
	DFF_AUTO (fake_network) network = started ();
	const struct fake_node *entry = &network->nodes[ENTRY];
	send_round (network, HOLDER, 4, N_WORKERS);
	int64_t expire_ms = entry->grants_expire_ms;
	lose_round (network, 7);
	lose_round (network, 7);
	assert_true (send_round (network, HOLDER, 4, 7) < RENEWAL_BYTES_MAX);
	assert_int_equal (entry->grant_sets, 1);
	assert_int_equal (entry->granted_slots, N_WORKERS);
	assert_int_equal (entry->grants_expire_ms, expire_ms);
	assert_int_equal (counter (entry, "dff_peer_unmatched_grants_total"), 1);
	send_round (network, HOLDER, 4, 7);
	assert_int_equal (entry->granted_slots, 7);
	assert_true (entry->grants_expire_ms > expire_ms);
}

static void
deliver_renewal (struct fake_network *network, int64_t epoch, const struct dff_grant *of, size_t n)
{
	struct fake_node *entry = &network->nodes[ENTRY];
	struct dff_message message = {.kind = DFF_MESSAGE_GRANTS};
	message.sender = network->nodes[HOLDER].instance.id;
	message.grants.epoch = epoch;
	message.grants.sequence = 1000;
	message.grants.valid_ms = VALID_MS;
	message.grants.heartbeat_sent_ms = network->clock.now_ms;
	message.grants.is_renewal = true;
	message.grants.digest = dff_grant_digest (of, n);
	g_autoptr (GByteArray) bytes = dff_message_encode (&message);
	dff_peer_receive (entry->peer, bytes->data, bytes->len);
}

static void
test_renewal_of_another_set_is_dropped (void **state)
{
	(void)state;
	DFF_AUTO (fake_network) network = started ();
	const struct fake_node *entry = &network->nodes[ENTRY];
	struct dff_grant had = {dff_name_from ("worker-0"), 1};
	struct dff_grant more = {dff_name_from ("worker-0"), 2};
	deliver_renewal (network, 4, NULL, 0);
	assert_int_equal (entry->grant_sets, 0);
	send_round (network, HOLDER, 4, 1);
	int64_t expire_ms = entry->grants_expire_ms;
	deliver_renewal (network, 4, &more, 1);
	deliver_renewal (network, 4, NULL, 0);
	assert_int_equal (entry->grant_sets, 1);
	assert_int_equal (entry->grants_expire_ms, expire_ms);
	assert_int_equal (counter (entry, "dff_peer_unmatched_grants_total"), 3);
	deliver_renewal (network, 4, &had, 1);
	assert_int_equal (entry->grant_sets, 2);
	assert_int_equal (entry->grants_expire_ms, network->clock.now_ms + VALID_MS);
}

/* Guards against a former holder that renews grants beside the new holder: it is paused past its
 * lease, another process takes over, it resumes and sends renewals of the current set. Renewals
 * must be checked for the epoch as full sets are. */
static void
test_renewals_of_an_old_epoch_are_refused (void **state)
{
	(void)state;
	DFF_AUTO (fake_network) network = started ();
	const struct fake_node *entry = &network->nodes[ENTRY];
	send_round (network, HOLDER, 4, N_WORKERS);
	send_round (network, HOLDER, 4, N_WORKERS);
	int64_t expire_ms = entry->grants_expire_ms;
	network->nodes[HOLDER].paused = true;
	dff_peer_set_state (network->nodes[OTHER].peer, true, false, 5);
	fake_network_run (network, 200);
	fake_node_resume (&network->nodes[HOLDER]);
	assert_true (send_round (network, HOLDER, 4, N_WORKERS) < RENEWAL_BYTES_MAX);
	assert_int_equal (entry->grants_expire_ms, expire_ms);
	assert_int_equal (counter (entry, "dff_peer_stale_grants_total"), 1);
	assert_true (send_round (network, OTHER, 5, N_WORKERS) > RENEWAL_BYTES_MAX);
	assert_int_equal (entry->grants_epoch, 5);
}

/* Guards against a restarted process that waits for its slots: it restarts under the same name
 * within a heartbeat or two, its set is unchanged, and the holder renews a set that only its
 * predecessor had. */
static void
test_a_restarted_process_gets_its_set_at_once (void **state)
{
	(void)state;
	DFF_AUTO (fake_network) network = started ();
	struct fake_node *entry = &network->nodes[ENTRY];
	send_round (network, HOLDER, 4, N_WORKERS);
	send_round (network, HOLDER, 4, N_WORKERS);
	fake_node_kill (entry);
	entry->granted_slots = 0;
	fake_node_start (entry);
	fake_network_list (network, 0);
	fake_network_run (network, 2000);
	assert_true (send_round (network, HOLDER, 4, N_WORKERS) > RENEWAL_BYTES_MAX);
	assert_int_equal (entry->granted_slots, N_WORKERS);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_an_unchanged_set_is_renewed_by_digest),
		cmocka_unit_test (test_lost_full_sets_are_resent),
		cmocka_unit_test (test_renewal_of_another_set_is_dropped),
		cmocka_unit_test (test_renewals_of_an_old_epoch_are_refused),
		cmocka_unit_test (test_a_restarted_process_gets_its_set_at_once),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
