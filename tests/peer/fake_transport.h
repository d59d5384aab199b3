#ifndef DFF_TESTS_PEER_FAKE_TRANSPORT_H
#define DFF_TESTS_PEER_FAKE_TRANSPORT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/metrics.h"
#include "peer/peer.h"

/* Peers of several processes in one, under a virtual clock, over a network in memory that loses,
 * delays, repeats and reorders messages and can be cut one way. All chance comes from one seed. */

struct fake_network;

/** One process. */
struct fake_node {
	struct fake_network *network;
	struct dff_instance instance;
	struct dff_peer *peer; /**< NULL: not running. */
	struct dff_metrics *metrics;
	bool paused;
	/** Generation in force, as told by pool_received or fake_node_apply(). */
	int64_t generation;
	/** As told by pool_received; fake_node_apply() takes ten times the generation. */
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
	/** Messages that arrived while it was paused. */
	GQueue inbox;
};

struct fake_network {
	struct dff_clock_virtual clock;
	GRand *random;
	struct dff_peer_options template;
	struct fake_node *nodes;
	int32_t n_nodes;
	int32_t tick_ms;
	/** Chances, in percent, of each message. */
	int32_t loss;
	int32_t repeat;
	int32_t min_delay_ms;
	int32_t max_delay_ms;
	/** [from * n_nodes + to]: nothing gets through. */
	bool *cut;
	/** Messages on their way, in order of arrival. */
	GSequence *packets;
	uint64_t n_packets;
	uint64_t n_starts;
};

/** @n_data_centres: nodes are spread over them; one region. */
struct fake_network *fake_network_new (uint64_t seed, int32_t n_nodes, int32_t n_data_centres);

void fake_network_free (struct fake_network *network);

DFF_DEFINE_CLEANUP (fake_network, fake_network_free);

/** Starts a process that is not running, with an empty memory. */
void fake_node_start (struct fake_node *node);

/** Ends a process without notice. */
void fake_node_kill (struct fake_node *node);

/** Lets a paused process go on: what arrived meanwhile is taken in first. */
void fake_node_resume (struct fake_node *node);

/** Puts a generation in force at one process. */
void fake_node_apply (struct fake_node *node, int64_t generation);

/** Gives every running process the instance list, without the nodes that @absent names by bit. */
void fake_network_list (struct fake_network *network, uint64_t absent);

void fake_network_set_cut (struct fake_network *network, int32_t from, int32_t to, bool cut);

/** Lets time pass. */
void fake_network_run (struct fake_network *network, int64_t ms);

/** Returns: what @node thinks of @other; DFF_MEMBER_DEAD when it has no entry of it. */
enum dff_member_state fake_node_state_of (struct fake_node *node, const struct fake_node *other);

#endif
