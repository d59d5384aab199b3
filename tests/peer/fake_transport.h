#ifndef DFF_TESTS_PEER_FAKE_TRANSPORT_H
#define DFF_TESTS_PEER_FAKE_TRANSPORT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/metrics.h"
#include "peer/peer.h"

/* Peers of several simulated processes with a virtual clock and a network in memory. The network
 * loses, delays, duplicates and reorders messages and can be cut one way. One seed determines all
 * randomness. */

struct fake_network;

/** One simulated process. */
struct fake_node {
	struct fake_network *network;
	struct dff_instance instance;
	struct dff_peer *peer; /**< NULL: not running. */
	struct dff_metrics *metrics;
	bool paused;
	/** Generation in force, set by pool_received or fake_node_apply(). */
	int64_t generation;
	/** Set by pool_received; fake_node_apply() uses ten times the generation. */
	int64_t pool_revision;
	bool generation_went_back;
	int64_t members_changed;
	int64_t hints;
	int64_t worker_reports;
	int64_t complete_reports;
	int64_t leaving_reports;
	int64_t task_reports;
	int64_t watches;
	int64_t ended;
	enum dff_outcome ended_outcome;
	int64_t grant_sets;
	int64_t grants_epoch;
	int64_t grants_expire_ms;
	int32_t granted_slots;
	/** Messages that arrived while the process was paused. */
	GQueue inbox;
};

struct fake_network {
	struct dff_clock_virtual clock;
	GRand *random;
	struct dff_peer_options template;
	struct fake_node *nodes;
	int32_t n_nodes;
	int32_t tick_ms;
	/** Probability that a message is lost or duplicated, percent. */
	int32_t loss;
	int32_t repeat;
	int32_t min_delay_ms;
	int32_t max_delay_ms;
	/** [from * n_nodes + to]: all messages are lost. */
	bool *cut;
	/** Messages in flight, in order of arrival. */
	GSequence *packets;
	uint64_t n_packets;
	uint64_t n_starts;
};

/** Spreads the nodes over @n_data_centres data centres of one region. */
struct fake_network *fake_network_new (uint64_t seed, int32_t n_nodes, int32_t n_data_centres);

void fake_network_free (struct fake_network *network);

DFF_DEFINE_CLEANUP (fake_network, fake_network_free);

/** Starts a process that is not running, without any earlier state. */
void fake_node_start (struct fake_node *node);

/** Kills a process; its peers are not notified. */
void fake_node_kill (struct fake_node *node);

/** Resumes a paused process, which first handles the messages that arrived meanwhile. */
void fake_node_resume (struct fake_node *node);

/** Applies a generation at one process. */
void fake_node_apply (struct fake_node *node, int64_t generation);

/** Sends all running processes the instance list without the nodes of the bit mask @absent. */
void fake_network_list (struct fake_network *network, uint64_t absent);

void fake_network_set_cut (struct fake_network *network, int32_t from, int32_t to, bool cut);

/** Advances the clock by @ms. */
void fake_network_run (struct fake_network *network, int64_t ms);

/** Returns: state of @other at @node; DFF_MEMBER_DEAD when @node has no entry for it. */
enum dff_member_state fake_node_state_of (struct fake_node *node, const struct fake_node *other);

#endif
