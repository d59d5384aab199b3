#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "fake_transport.h"

static struct fake_network *
started (int32_t n_nodes)
{
	struct fake_network *network = fake_network_new (1, n_nodes, 3);
	for (int32_t i = 0; i < n_nodes; i++)
		fake_node_start (&network->nodes[i]);
	fake_network_list (network, 0);
	fake_network_run (network, 2000);
	return network;
}

static void
make_holder (struct fake_node *node, int64_t epoch)
{
	dff_peer_set_state (node->peer, true, false, epoch);
}

static void
test_members_find_each_other (void **state)
{
	(void)state;
	DFF_AUTO (fake_network) network = started (9);
	for (int32_t i = 0; i < 9; i++) {
		assert_int_equal (dff_peer_members (network->nodes[i].peer)->len, 9);
		for (int32_t j = 0; j < 9; j++) {
			enum dff_member_state member =
				fake_node_state_of (&network->nodes[i], &network->nodes[j]);
			assert_int_equal (member, DFF_MEMBER_ALIVE);
		}
	}
}

static void
test_holder_is_the_highest_epoch (void **state)
{
	(void)state;
	DFF_AUTO (fake_network) network = started (3);
	assert_null (dff_peer_holder (network->nodes[2].peer));
	make_holder (&network->nodes[0], 4);
	make_holder (&network->nodes[1], 5);
	fake_network_run (network, 200);
	const struct dff_member *holder = dff_peer_holder (network->nodes[2].peer);
	assert_non_null (holder);
	assert_string_equal (holder->instance.id.data, "entry-1");
	assert_int_equal (holder->holder_epoch, 5);
}

static void
test_leaving_is_reported (void **state)
{
	(void)state;
	DFF_AUTO (fake_network) network = started (3);
	int64_t before = network->nodes[1].members_changed;
	dff_peer_set_state (network->nodes[0].peer, false, true, 0);
	fake_network_run (network, 200);
	assert_int_equal (fake_node_state_of (&network->nodes[1], &network->nodes[0]),
			  DFF_MEMBER_LEAVING);
	assert_true (network->nodes[1].members_changed > before);
}

static void
test_pool_reaches_all_members (void **state)
{
	(void)state;
	DFF_AUTO (fake_network) network = started (9);
	fake_node_apply (&network->nodes[3], 7);
	fake_network_run (network, 300);
	for (int32_t i = 0; i < 9; i++) {
		assert_int_equal (network->nodes[i].generation, 7);
		assert_int_equal (network->nodes[i].pool_revision, i == 3 ? 0 : 70);
	}
}

static void
test_notices_reach_the_holder (void **state)
{
	(void)state;
	DFF_AUTO (fake_network) network = started (3);
	struct fake_node *holder = &network->nodes[0];
	struct fake_node *entry = &network->nodes[1];
	struct dff_name job = dff_name_from ("job-1");
	struct dff_task_report reports[2] = {{.state = DFF_TASK_RUNNING, .ran = true}};
	reports[0].task.job = job;
	reports[1].task.job = job;
	struct dff_worker_report report = {.reachable = true, .reports = reports};
	report.worker = dff_name_from ("worker-1");
	report.n_reports = 2;
	make_holder (holder, 1);
	fake_network_run (network, 200);
	dff_peer_send_job_hint (entry->peer, &job);
	dff_peer_send_job_watch (entry->peer, &job);
	dff_peer_send_worker_report (entry->peer, &report);
	dff_peer_send_job_hint (holder->peer, &job);
	fake_network_run (network, 200);
	assert_int_equal (holder->hints, 2);
	assert_int_equal (holder->watches, 1);
	assert_int_equal (holder->worker_reports, 1);
	assert_int_equal (holder->task_reports, 2);
	assert_int_equal (entry->ended, 1);
	assert_int_equal (entry->ended_outcome, DFF_OUTCOME_COMPLETED);
}

/* Guards against a restarted worker that keeps its old tasks at the holder, because the message
 * from its watcher does not carry that the task reports are complete. */
static void
test_complete_report_stays_complete (void **state)
{
	(void)state;
	DFF_AUTO (fake_network) network = started (2);
	make_holder (&network->nodes[0], 1);
	fake_network_run (network, 200);
	struct dff_worker_report report = {
		.worker = dff_name_from ("worker-1"), .reachable = true, .complete = true};
	dff_peer_send_worker_report (network->nodes[1].peer, &report);
	fake_network_run (network, 200);
	assert_int_equal (network->nodes[0].complete_reports, 1);
}

/* Guards against new requests to a leaving worker while the cell has no holder, as when the store
 * is down: all members have to receive the report, not the holder alone. */
static void
test_all_members_receive_a_leaving_worker (void **state)
{
	(void)state;
	DFF_AUTO (fake_network) network = started (9);
	struct dff_worker_report report = {
		.worker = dff_name_from ("worker-1"), .reachable = true, .leaving = true};
	dff_peer_send_worker_report (network->nodes[4].peer, &report);
	fake_network_run (network, 200);
	for (int i = 0; i < 9; i++)
		assert_int_equal (network->nodes[i].leaving_reports, i == 4 ? 0 : 1);
}

/* Guards against a hint that is lost during a takeover, so that the job waits for the next table
 * scan: an entry accepts a job while no holder is known, then a process becomes the holder. A
 * limited number of hints is queued, and dropped if there is no holder in time. */
static void
test_notices_wait_for_a_holder (void **state)
{
	(void)state;
	DFF_AUTO (fake_network) network = started (3);
	struct dff_name job = dff_name_from ("job-1");
	for (int i = 0; i < 300; i++)
		dff_peer_send_job_hint (network->nodes[1].peer, &job);
	fake_network_run (network, 1000);
	make_holder (&network->nodes[1], 1);
	fake_network_run (network, 200);
	assert_int_equal (network->nodes[1].hints, 256);
	dff_peer_set_state (network->nodes[1].peer, true, false, 0);
	dff_peer_send_job_hint (network->nodes[1].peer, &job);
	fake_network_run (network, 6000);
	make_holder (&network->nodes[0], 2);
	fake_network_run (network, 1000);
	assert_int_equal (network->nodes[0].hints, 0);
}

static void
test_grants_arrive_and_expire (void **state)
{
	(void)state;
	DFF_AUTO (fake_network) network = started (3);
	struct fake_node *holder = &network->nodes[0];
	struct fake_node *entry = &network->nodes[1];
	struct dff_grant grants[2] = {{.slots = 3}, {.slots = 2}};
	grants[0].worker = dff_name_from ("worker-1");
	grants[1].worker = dff_name_from ("worker-2");
	make_holder (holder, 4);
	fake_network_run (network, 200);
	int64_t sent_ms = network->clock.now_ms;
	dff_peer_send_grants (holder->peer, &entry->instance.id, 4, grants, 2, 10000);
	dff_peer_send_grants (holder->peer, &holder->instance.id, 4, grants, 1, 10000);
	fake_network_run (network, 100);
	assert_int_equal (entry->granted_slots, 5);
	assert_int_equal (holder->granted_slots, 3);
	assert_true (entry->grants_expire_ms <= sent_ms + 10000);
	assert_true (entry->grants_expire_ms > sent_ms + 9900);
}

/* Guards against members that get no grants right after a takeover: with many members, the new
 * holder cannot date the grants of members that have not sent it a heartbeat. */
static void
test_new_holder_can_grant_to_many (void **state)
{
	(void)state;
	DFF_AUTO (fake_network) network = started (40);
	struct dff_grant grant = {.worker = dff_name_from ("worker-1"), .slots = 1};
	make_holder (&network->nodes[7], 3);
	fake_network_run (network, 1000);
	for (int32_t i = 0; i < 40; i++)
		dff_peer_send_grants (network->nodes[7].peer, &network->nodes[i].instance.id, 3,
				      &grant, 1, 5000);
	fake_network_run (network, 100);
	for (int32_t i = 0; i < 40; i++)
		assert_int_equal (network->nodes[i].granted_slots, 1);
}

/* Guards against two processes that use the same slots of a worker: grants are delayed, the holder
 * counts them as expired and grants the slots to another process, then the first grants arrive and
 * their validity is counted from arrival. */
static void
test_late_grants_are_not_used (void **state)
{
	(void)state;
	DFF_AUTO (fake_network) network = started (3);
	struct fake_node *entry = &network->nodes[1];
	struct dff_grant grant = {.worker = dff_name_from ("worker-1"), .slots = 3};
	make_holder (&network->nodes[0], 4);
	fake_network_run (network, 200);
	network->min_delay_ms = 2500;
	network->max_delay_ms = 2500;
	dff_peer_send_grants (network->nodes[0].peer, &entry->instance.id, 4, &grant, 1, 2400);
	fake_network_run (network, 3000);
	assert_int_equal (entry->grant_sets, 0);
}

/* Guards against slots that are granted twice by an old and a new holder: the old one is paused
 * past its lease, another takes over, the old one resumes and sends grants with its old epoch. */
static void
test_grants_of_an_old_epoch_are_refused (void **state)
{
	(void)state;
	DFF_AUTO (fake_network) network = started (3);
	struct fake_node *entry = &network->nodes[2];
	struct dff_grant grant = {.worker = dff_name_from ("worker-1"), .slots = 3};
	make_holder (&network->nodes[0], 4);
	fake_network_run (network, 200);
	network->nodes[0].paused = true;
	make_holder (&network->nodes[1], 5);
	fake_network_run (network, 200);
	fake_node_resume (&network->nodes[0]);
	dff_peer_send_grants (network->nodes[0].peer, &entry->instance.id, 4, &grant, 1, 9000);
	fake_network_run (network, 200);
	assert_int_equal (entry->grant_sets, 0);
	dff_peer_send_grants (network->nodes[1].peer, &entry->instance.id, 5, &grant, 1, 9000);
	fake_network_run (network, 200);
	assert_int_equal (entry->grants_epoch, 5);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_members_find_each_other),
		cmocka_unit_test (test_holder_is_the_highest_epoch),
		cmocka_unit_test (test_leaving_is_reported),
		cmocka_unit_test (test_pool_reaches_all_members),
		cmocka_unit_test (test_complete_report_stays_complete),
		cmocka_unit_test (test_all_members_receive_a_leaving_worker),
		cmocka_unit_test (test_notices_reach_the_holder),
		cmocka_unit_test (test_notices_wait_for_a_holder),
		cmocka_unit_test (test_grants_arrive_and_expire),
		cmocka_unit_test (test_new_holder_can_grant_to_many),
		cmocka_unit_test (test_late_grants_are_not_used),
		cmocka_unit_test (test_grants_of_an_old_epoch_are_refused),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
