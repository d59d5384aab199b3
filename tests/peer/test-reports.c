#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "fake_transport.h"
#include "peer/message.h"

/* State of entry-2 at entry-0 after a report of entry-1 on entry-2. */

/** More heartbeats than entry-2 has sent. */
#define MUCH_LATER 1000

struct report_case {
	const char *what;
	/** Time since entry-2 was paused when the report arrives, ms; 0: entry-2 runs. */
	int64_t silent_ms;
	int32_t incarnation;
	/** Sequence in the report, relative to the heartbeats that entry-0 has received. */
	int32_t later;
	enum dff_liveness liveness;
	enum dff_member_state state;
};

static const struct report_case cases[] = {
	{"reported dead, but heartbeats received", 0, 1, 0, DFF_LIVENESS_DEAD, DFF_MEMBER_ALIVE},
	{"suspected, but heartbeats received", 0, 1, 5, DFF_LIVENESS_SUSPECT, DFF_MEMBER_ALIVE},
	{"reported dead by one without a heartbeat", 5000, 0, 0, DFF_LIVENESS_DEAD,
	 DFF_MEMBER_SUSPECT},
	{"silent, and still suspect", 5000, 1, -2, DFF_LIVENESS_ALIVE, DFF_MEMBER_SUSPECT},
	{"silent, alive at a peer", 5000, 1, 3, DFF_LIVENESS_ALIVE, DFF_MEMBER_ALIVE},
	{"silent, dead at a peer", 5000, 1, 0, DFF_LIVENESS_DEAD, DFF_MEMBER_DEAD},
	{"dead at a peer that lost two heartbeats", 5000, 1, -2, DFF_LIVENESS_DEAD,
	 DFF_MEMBER_DEAD},
	{"dead at a peer that lost many", 5000, 1, -5, DFF_LIVENESS_DEAD, DFF_MEMBER_SUSPECT},
	{"dead, a delayed heartbeat", 9000, 1, MUCH_LATER, DFF_LIVENESS_ALIVE, DFF_MEMBER_DEAD},
	{"dead, refuted", 9000, 2, 1, DFF_LIVENESS_ALIVE, DFF_MEMBER_ALIVE},
	{"dead, suspect in a later incarnation", 9000, 2, 1, DFF_LIVENESS_SUSPECT,
	 DFF_MEMBER_SUSPECT},
};

/* Heartbeats that each peer has received from entry-2: one a second, and one in answer to a probe
 * at its start. */
static uint64_t
heartbeats_of (struct fake_node *node)
{
	return (uint64_t)*dff_metrics_counter (node->metrics, "dff_peer_sent_total", "") / 2;
}

static void
send_report (struct fake_network *network, const struct report_case *report, uint64_t sequence)
{
	struct dff_member_report about = {
		.id = network->nodes[2].instance.id,
		.incarnation = (uint64_t)report->incarnation,
		.sequence = sequence + (uint64_t)report->later,
		.liveness = report->liveness,
	};
	struct dff_message message = {.kind = DFF_MESSAGE_HEARTBEAT};
	message.sender = network->nodes[1].instance.id;
	message.heartbeat.self.id = message.sender;
	message.heartbeat.self.incarnation = 1;
	message.heartbeat.self.sequence = MUCH_LATER;
	message.heartbeat.peers = &about;
	message.heartbeat.n_peers = 1;
	g_autoptr (GByteArray) bytes = dff_message_encode (&message);
	dff_peer_receive (network->nodes[0].peer, bytes->data, bytes->len);
}

static void
test_reports (void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		DFF_AUTO (fake_network) network = fake_network_new (1, 3, 1);
		for (int32_t j = 0; j < 3; j++)
			fake_node_start (&network->nodes[j]);
		fake_network_list (network, 0);
		fake_network_run (network, 20000);
		uint64_t sequence = heartbeats_of (&network->nodes[2]);
		network->nodes[1].paused = true;
		network->nodes[2].paused = cases[i].silent_ms > 0;
		fake_network_run (network, cases[i].silent_ms);
		send_report (network, &cases[i], sequence);
		if (fake_node_state_of (&network->nodes[0], &network->nodes[2]) != cases[i].state)
			fail_msg ("%s", cases[i].what);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_reports),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
