#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "fake_transport.h"

/* Membership and pool file distribution under faults, with many seeds each. The times are the
 * defaults: a heartbeat per second, suspect after 3 s, dead 4 s later. */

#define SUSPECT_MS 3000
#define DEAD_MS 4000

/** Time in which all members detect a dead one: the two timeouts and one heartbeat interval, as the
 * last heartbeat may arrive late through another member. */
#define REMOVAL_MS (SUSPECT_MS + DEAD_MS + 1000)

/** Time in which all reachable members apply a configuration. */
#define IN_FORCE_MS 3000

#define N_SCHEDULES 2000

static struct fake_network *
started (uint64_t seed, int32_t n_nodes)
{
	struct fake_network *network = fake_network_new (seed, n_nodes, 3);
	for (int32_t i = 0; i < n_nodes; i++)
		fake_node_start (&network->nodes[i]);
	fake_network_list (network, 0);
	return network;
}

static bool
runs (const struct fake_node *node)
{
	return node->peer != NULL && !node->paused;
}

/* Returns: number of pairs (a, b) of running processes where b has @state at a. */
static int32_t
count_pairs (struct fake_network *network, enum dff_member_state state)
{
	int32_t n = 0;
	for (int32_t i = 0; i < network->n_nodes; i++) {
		for (int32_t j = 0; j < network->n_nodes; j++) {
			struct fake_node *node = &network->nodes[i];
			struct fake_node *other = &network->nodes[j];
			if (i != j && runs (node) && runs (other))
				n += fake_node_state_of (node, other) == state;
		}
	}
	return n;
}

/* Returns: number of other running processes at which @node has @state. */
static int32_t
count_views (struct fake_network *network,
	     const struct fake_node *node,
	     enum dff_member_state state)
{
	int32_t n = 0;
	for (int32_t i = 0; i < network->n_nodes; i++) {
		struct fake_node *viewer = &network->nodes[i];
		if (viewer != node && runs (viewer))
			n += fake_node_state_of (viewer, node) == state;
	}
	return n;
}

static int32_t
count_behind (const struct fake_network *network, int64_t generation)
{
	int32_t n = 0;
	for (int32_t i = 0; i < network->n_nodes; i++)
		n += runs (&network->nodes[i]) && network->nodes[i].generation != generation;
	return n;
}

struct size_case {
	int32_t n_nodes;
	int32_t loss;
	int32_t n_seeds;
};

static const struct size_case sizes[] = {
	{2, 0, 20}, {3, 20, 50}, {9, 0, 20}, {9, 20, 100}, {40, 0, 3}, {40, 20, 8},
};

/* Guards against a running process that is declared dead, and its work reassigned, when a fifth of
 * all messages is lost. Missing heartbeats alone, without peers and a probe, prove nothing. */
static void
test_message_loss_causes_no_false_death (void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++) {
		for (int32_t seed = 0; seed < sizes[i].n_seeds; seed++) {
			DFF_AUTO (fake_network) network = started (seed, sizes[i].n_nodes);
			network->loss = sizes[i].loss;
			network->max_delay_ms = 50;
			for (int second = 0; second < 40; second++) {
				fake_network_run (network, 1000);
				assert_int_equal (count_pairs (network, DFF_MEMBER_DEAD), 0);
			}
		}
	}
}

/* Guards against work that stays assigned to a dead process: it is killed with SIGKILL and the
 * instance list still contains it. */
static void
test_dead_member_is_detected (void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++) {
		for (int32_t seed = 0; seed < sizes[i].n_seeds; seed++) {
			DFF_AUTO (fake_network) network = started (seed, sizes[i].n_nodes);
			network->loss = sizes[i].loss;
			fake_network_run (network, 5000);
			fake_node_kill (&network->nodes[1]);
			fake_network_run (network, REMOVAL_MS);
			assert_int_equal (
				count_views (network, &network->nodes[1], DFF_MEMBER_DEAD),
				sizes[i].n_nodes - 1);
		}
	}
}

static void
test_dead_unlisted_member_is_detected_sooner (void **state)
{
	(void)state;
	for (int32_t seed = 0; seed < 20; seed++) {
		DFF_AUTO (fake_network) network = started (seed, 9);
		fake_network_run (network, 5000);
		fake_node_kill (&network->nodes[1]);
		fake_network_list (network, 1 << 1);
		fake_network_run (network, SUSPECT_MS + 1000);
		assert_int_equal (count_views (network, &network->nodes[1], DFF_MEMBER_DEAD), 8);
	}
}

/* Guards against dropping a running process that the platform's list omits or does not contain yet.
 * The list lags, so heartbeats take precedence. */
static void
test_heartbeat_takes_precedence_over_list (void **state)
{
	(void)state;
	DFF_AUTO (fake_network) network = started (1, 9);
	network->loss = 10;
	fake_network_run (network, 3000);
	fake_network_list (network, 1 << 4);
	for (int second = 0; second < 30; second++) {
		fake_network_run (network, 1000);
		assert_int_equal (count_views (network, &network->nodes[4], DFF_MEMBER_DEAD), 0);
	}
}

/* Guards against a paused process that never rejoins: SIGSTOP, declared dead, SIGCONT. Its peers
 * send it their report on it, so that it can refute. */
static void
test_paused_member_rejoins (void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++) {
		for (int32_t seed = 0; seed < sizes[i].n_seeds; seed++) {
			DFF_AUTO (fake_network) network = started (seed, sizes[i].n_nodes);
			fake_network_run (network, 5000);
			network->nodes[1].paused = true;
			fake_network_run (network, REMOVAL_MS);
			assert_int_equal (
				count_views (network, &network->nodes[1], DFF_MEMBER_DEAD),
				sizes[i].n_nodes - 1);
			network->loss = sizes[i].loss;
			fake_node_resume (&network->nodes[1]);
			fake_network_run (network, 5000);
			assert_int_equal (count_pairs (network, DFF_MEMBER_DEAD), 0);
		}
	}
}

/* Guards against a process that declares all peers dead after its own pause, SIGSTOP for a minute
 * and SIGCONT, because the pause counts as time without heartbeats. */
static void
test_own_pause_does_not_time_out_peers (void **state)
{
	(void)state;
	DFF_AUTO (fake_network) network = started (1, 9);
	fake_network_run (network, 5000);
	struct fake_node *node = &network->nodes[1];
	node->paused = true;
	fake_network_run (network, 60000);
	g_queue_clear_full (&node->inbox, (GDestroyNotify)g_bytes_unref);
	node->paused = false;
	dff_peer_tick (node->peer);
	for (int32_t i = 0; i < 9; i++)
		assert_int_equal (fake_node_state_of (node, &network->nodes[i]), DFF_MEMBER_ALIVE);
}

struct restart_case {
	int32_t n_nodes;
	int32_t down_ms;
	int32_t n_seeds;
};

static void
restart_one (const struct restart_case *restart, uint64_t seed)
{
	DFF_AUTO (fake_network) network = started (seed, restart->n_nodes);
	struct fake_node *node = &network->nodes[1];
	network->loss = 10;
	fake_network_run (network, 10000);
	fake_node_apply (&network->nodes[0], 5);
	fake_network_run (network, IN_FORCE_MS);
	fake_node_kill (node);
	fake_network_run (network, restart->down_ms);
	fake_node_start (node);
	fake_network_list (network, 0);
	dff_peer_set_state (node->peer, true, false, 77);
	fake_network_run (network, IN_FORCE_MS);
	assert_int_equal (node->generation, 5);
	assert_int_equal (count_views (network, node, DFF_MEMBER_DEAD), 0);
	for (int32_t i = 0; i < restart->n_nodes; i++)
		assert_int_equal (dff_peer_holder (network->nodes[i].peer)->holder_epoch, 77);
}

/* Guards against a restarted process whose heartbeats are dropped as outdated: it has no disk to
 * store its incarnation and begins at 1 again under the same name. */
static void
test_restart_under_the_same_name (void **state)
{
	(void)state;
	static const struct restart_case cases[] = {
		{9, 0, 40}, {9, 500, 40}, {9, 4000, 40}, {9, 20000, 40}, {40, 0, 3}, {40, 20000, 3},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		for (int32_t seed = 0; seed < cases[i].n_seeds; seed++)
			restart_one (&cases[i], seed);
	}
}

/* Guards against a running process that is declared dead because its messages do not reach one
 * peer, while all other paths work. */
static void
test_one_way_cut_causes_no_false_death (void **state)
{
	(void)state;
	for (int32_t seed = 0; seed < 50; seed++) {
		DFF_AUTO (fake_network) network = started (seed, 9);
		fake_network_run (network, 3000);
		fake_network_set_cut (network, 3, 5, true);
		for (int second = 0; second < 40; second++) {
			fake_network_run (network, 1000);
			assert_int_equal (count_pairs (network, DFF_MEMBER_DEAD), 0);
		}
	}
}

static void
assert_sides_hold_together (struct fake_network *network, int32_t n_first)
{
	for (int32_t i = 0; i < network->n_nodes; i++) {
		for (int32_t j = 0; j < network->n_nodes; j++) {
			bool same_side = (i < n_first) == (j < n_first);
			enum dff_member_state state =
				fake_node_state_of (&network->nodes[i], &network->nodes[j]);
			if (same_side && state == DFF_MEMBER_DEAD)
				fail_msg ("entry-%d counts entry-%d as dead", i, j);
		}
	}
}

struct cut_case {
	int32_t n_nodes;
	int32_t n_first;
	int32_t n_seeds;
};

static void
cut_and_heal (const struct cut_case *cut, uint64_t seed)
{
	int32_t n = cut->n_nodes;
	DFF_AUTO (fake_network) network = started (seed, n);
	network->loss = 5;
	fake_network_run (network, 3000);
	for (int32_t pair = 0; pair < n * n; pair++)
		network->cut[pair] = (pair / n < cut->n_first) != (pair % n < cut->n_first);
	int32_t n_pairs = 2 * cut->n_first * (n - cut->n_first);
	for (int second = 0; second < 60; second++) {
		fake_network_run (network, 1000);
		assert_sides_hold_together (network, cut->n_first);
		if (second == 39)
			assert_true (count_pairs (network, DFF_MEMBER_DEAD) >= n_pairs * 95 / 100);
	}
	assert_int_equal (count_pairs (network, DFF_MEMBER_DEAD), n_pairs);
	fake_node_apply (&network->nodes[0], 3);
	fake_network_run (network, 1000);
	for (int32_t pair = 0; pair < n * n; pair++)
		network->cut[pair] = false;
	fake_network_run (network, n == 9 ? IN_FORCE_MS : 4 * IN_FORCE_MS);
	assert_int_equal (count_pairs (network, DFF_MEMBER_DEAD), 0);
	assert_int_equal (count_behind (network, 3), 0);
}

/* Guards against two partitions that never merge because no member sends to dead ones: the network
 * is cut for a minute, each side declares the other dead, an operator applies a pool on one side,
 * and the cut heals. */
static void
test_partitions_merge (void **state)
{
	(void)state;
	static const struct cut_case cases[] = {{9, 4, 1}, {40, 4, 18}, {40, 13, 2}, {40, 20, 2}};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		for (int32_t seed = 0; seed < cases[i].n_seeds; seed++)
			cut_and_heal (&cases[i], seed);
	}
}

static void
test_pool_is_in_force_in_time (void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++) {
		for (int32_t seed = 0; seed < sizes[i].n_seeds; seed++) {
			DFF_AUTO (fake_network) network = started (seed, sizes[i].n_nodes);
			network->loss = sizes[i].loss;
			network->max_delay_ms = 50;
			fake_network_run (network, 5000);
			for (int64_t generation = 1; generation <= 5; generation++) {
				int64_t from = generation % sizes[i].n_nodes;
				fake_node_apply (&network->nodes[from], generation);
				fake_network_run (network, IN_FORCE_MS);
				assert_int_equal (count_behind (network, generation), 0);
			}
		}
	}
}

/* Draws the events of one second of a random schedule. */
static void
random_fault (struct fake_network *network, int64_t *generation)
{
	struct fake_node *node =
		&network->nodes[g_rand_int_range (network->random, 0, network->n_nodes)];
	int32_t to = g_rand_int_range (network->random, 0, network->n_nodes);
	int32_t from = (int32_t)(node - network->nodes);
	switch (g_rand_int_range (network->random, 0, 8)) {
	case 0:
		node->paused = node->peer != NULL;
		break;
	case 1:
		if (node->paused)
			fake_node_resume (node);
		break;
	case 2:
		fake_node_kill (node);
		break;
	case 3:
		if (node->peer == NULL)
			fake_node_start (node);
		fake_network_list (network, 0);
		break;
	case 4:
		fake_network_set_cut (network, from, to, true);
		break;
	case 5:
		fake_network_set_cut (network, from, to, false);
		break;
	case 6:
		fake_network_list (network, UINT64_C (1) << to);
		break;
	default:
		if (runs (node))
			fake_node_apply (node, ++*generation);
		break;
	}
}

static void
assert_nothing_went_back (const struct fake_network *network)
{
	for (int32_t i = 0; i < network->n_nodes; i++)
		assert_false (network->nodes[i].generation_went_back);
}

static void
heal (struct fake_network *network)
{
	for (int32_t pair = 0; pair < network->n_nodes * network->n_nodes; pair++)
		network->cut[pair] = false;
	for (int32_t i = 0; i < network->n_nodes; i++) {
		struct fake_node *node = &network->nodes[i];
		if (node->paused)
			fake_node_resume (node);
		if (node->peer == NULL)
			fake_node_start (node);
	}
	fake_network_list (network, 0);
}

/* Any faults in any order: once the network works again, all members are alive at all others and
 * have the newest pool file. */
static void
test_random_schedules (void **state)
{
	(void)state;
	for (int32_t seed = 0; seed < N_SCHEDULES; seed++) {
		DFF_AUTO (fake_network) network = started (seed, 3 + seed % 7);
		int64_t generation = 0;
		network->loss = seed % 21;
		network->repeat = seed % 11;
		network->max_delay_ms = 1 + seed % 300;
		for (int second = 0; second < 20; second++) {
			random_fault (network, &generation);
			fake_network_run (network, 1000);
			assert_nothing_went_back (network);
		}
		heal (network);
		fake_network_run (network, 2000);
		fake_node_apply (&network->nodes[seed % 3], ++generation);
		fake_network_run (network, IN_FORCE_MS);
		if (count_behind (network, generation) != 0)
			print_error ("seed %d: %d processes are behind\n", seed,
				     count_behind (network, generation));
		assert_int_equal (count_behind (network, generation), 0);
		if (count_pairs (network, DFF_MEMBER_DEAD) != 0)
			print_error ("seed %d: a running process counts as dead\n", seed);
		assert_int_equal (count_pairs (network, DFF_MEMBER_DEAD), 0);
		assert_nothing_went_back (network);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_message_loss_causes_no_false_death),
		cmocka_unit_test (test_dead_member_is_detected),
		cmocka_unit_test (test_dead_unlisted_member_is_detected_sooner),
		cmocka_unit_test (test_heartbeat_takes_precedence_over_list),
		cmocka_unit_test (test_paused_member_rejoins),
		cmocka_unit_test (test_own_pause_does_not_time_out_peers),
		cmocka_unit_test (test_restart_under_the_same_name),
		cmocka_unit_test (test_one_way_cut_causes_no_false_death),
		cmocka_unit_test (test_partitions_merge),
		cmocka_unit_test (test_pool_is_in_force_in_time),
		cmocka_unit_test (test_random_schedules),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
