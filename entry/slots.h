#ifndef DFF_ENTRY_SLOTS_H
#define DFF_ENTRY_SLOTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "backing/instance_list.h"
#include "common/cleanup.h"
#include "common/str.h"
#include "peer/peer.h"

/*
 * Workers that short requests may be sent to, and the slots that this process was granted at each.
 * A worker is chosen by the power of two choices (Mitzenmacher, 2001), comparing slots in use over
 * slots granted, within the same data centre while it has a free slot.
 */

struct dff_slots;

/** @data_centre: data centre of this process. */
struct dff_slots *dff_slots_new (const struct dff_name *data_centre, uint64_t seed);

void dff_slots_free (struct dff_slots *slots);

DFF_DEFINE_CLEANUP (dff_slots, dff_slots_free);

/** Sets the instance list as last read. */
void dff_slots_set_instances (struct dff_slots *slots,
			      const struct dff_instance *instances,
			      size_t n_instances);

/** Holddown after a worker reported that it is leaving, ms. By its end the holder has received a
 * report as well, even if the first was lost, and its earlier grants have expired. A later grant
 * means that the worker is back. */
#define DFF_SLOTS_LEAVING_HOLDDOWN_MS 20000

/** Replaces all grants. Grants of an older @epoch than the last ones are ignored. */
void dff_slots_set_grants (struct dff_slots *slots,
			   int64_t epoch,
			   const struct dff_grant *grants,
			   size_t n_grants,
			   int64_t now_ms,
			   int64_t expires_ms);

/** Handles a worker's own report that it is leaving: it gets no new requests, whatever the instance
 * list says, until the list no longer has it or a grant arrives after
 * DFF_SLOTS_LEAVING_HOLDDOWN_MS. */
void dff_slots_handle_worker_leaving (struct dff_slots *slots,
				      const struct dff_name *worker,
				      int64_t now_ms);

/** Avoids the worker until @until_ms while another worker has a free slot. */
void dff_slots_avoid (struct dff_slots *slots, const struct dff_name *worker, int64_t until_ms);

enum dff_slot_outcome {
	DFF_SLOT_ACQUIRED,
	/** Every granted slot is in use. */
	DFF_SLOT_BUSY,
	/** No usable worker has a valid grant. */
	DFF_SLOT_NO_GRANT,
};

struct dff_slot {
	struct dff_name worker;
	struct dff_name address;
};

/** Takes a slot of the preferred worker. */
enum dff_slot_outcome
dff_slots_acquire (struct dff_slots *slots, int64_t now_ms, struct dff_slot *slot);

/** Releases a slot. */
void dff_slots_release (struct dff_slots *slots, const struct dff_name *worker);

/** Returns: number of slots granted at @now_ms. */
int32_t dff_slots_granted (const struct dff_slots *slots, int64_t now_ms);

int32_t dff_slots_in_use (const struct dff_slots *slots);

#endif
