#include "bench/peer_traffic.h"
#include "bench/slopes/slopes.h"

/* Traffic of a member against the number of members and the pool changes, counted under a virtual
 * clock, and processor time of a member, the in-memory network included. The pool file has a few
 * bytes here; the pool chapter measures its size. */

#define MEASURE_S 60

static void
by_members (struct slopes *slopes)
{
	static const struct slope_axes messages = {"members_messages_per_s", "members",
						   "messages/s in and out"};
	static const struct slope_axes bytes = {"members_wire_bytes_per_s", "members",
						"wire bytes/s in and out"};
	static const struct slope_axes payload = {"members_payload_bytes_per_s", "members",
						  "bytes/s without CURVE and TCP"};
	static const struct slope_axes worst = {"members_wire_bytes_per_s_worst", "members",
						"wire bytes/s of the busiest"};
	static const struct slope_axes cpu = {"members_cpu_us_per_s", "members",
					      "us of processor time a second"};
	static const int32_t sizes[] = {9, 30, 60, 90, 120, 160};
	for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++) {
		DFF_AUTO (fake_network) network = peer_traffic_network (sizes[i]);
		double start_us = slopes_cpu_us ();
		struct peer_traffic idle = peer_traffic_measure (network, 0, MEASURE_S);
		double spent_us = slopes_cpu_us () - start_us;
		slopes_add (slopes, &messages, sizes[i], idle.messages);
		slopes_add (slopes, &bytes, sizes[i], idle.wire_bytes);
		slopes_add (slopes, &payload, sizes[i], idle.bytes);
		slopes_add (slopes, &worst, sizes[i], idle.wire_bytes_worst);
		slopes_add (slopes, &cpu, sizes[i], spent_us / MEASURE_S / sizes[i]);
	}
}

static void
by_changes (struct slopes *slopes)
{
	static const struct slope_axes messages = {"members_messages_by_changes",
						   "pool changes a minute (45 members)",
						   "messages/s in and out"};
	static const int32_t changes[] = {0, 1, 3, 10, 30, 60};
	for (size_t i = 0; i < G_N_ELEMENTS (changes); i++) {
		DFF_AUTO (fake_network) network = peer_traffic_network (45);
		struct peer_traffic mean = peer_traffic_measure (network, changes[i], MEASURE_S);
		slopes_add (slopes, &messages, changes[i], mean.messages);
	}
}

static void
by_grants (struct slopes *slopes)
{
	static const struct slope_axes axes = {"members_grants_wire_bytes_per_s",
					       "workers granted to each of 8 others",
					       "wire bytes/s sent by the holder for grants"};
	static const int32_t workers[] = {10, 40, 90, 160, 360};
	for (size_t i = 0; i < G_N_ELEMENTS (workers); i++) {
		DFF_AUTO (fake_network) network = peer_traffic_network (9);
		slopes_add (slopes, &axes, workers[i],
			    peer_traffic_grants (network, workers[i], MEASURE_S));
	}
}

void
slopes_members (struct slopes *slopes)
{
	by_members (slopes);
	by_changes (slopes);
	by_grants (slopes);
}
