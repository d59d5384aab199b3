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
 * Choice: power of two choices (Mitzenmacher, 2001) by slots in use over slots granted, in the same
 * data centre while it has a free slot.
 */

struct dff_slots;

/** @data_centre: of this process. */
struct dff_slots *dff_slots_new (const struct dff_name *data_centre, uint64_t seed);

void dff_slots_free (struct dff_slots *slots);

DFF_DEFINE_CLEANUP (dff_slots, dff_slots_free);

/** Takes the instance list in, as last read. */
void dff_slots_set_instances (struct dff_slots *slots,
			      const struct dff_instance *instances,
			      size_t n_instances);

/** After this time, ms, the holder knows that a worker said that it is leaving, also when the first
 * word of it was lost; grants that it sent before have expired. A later grant means that the worker
 * is back. */
#define DFF_SLOTS_LEAVING_HOLDDOWN_MS 20000

/** Replaces every grant. One of an older epoch than the last is ignored. */
void dff_slots_set_grants (struct dff_slots *slots,
			   int64_t epoch,
			   const struct dff_grant *grants,
			   size_t n_grants,
			   int64_t now_ms,
			   int64_t expires_ms);

/** The worker said that it is leaving: nothing new goes there, whatever the list says, until the
 * list forgets it or it is granted anew after DFF_SLOTS_LEAVING_HOLDDOWN_MS. */
void dff_slots_handle_worker_leaving (struct dff_slots *slots,
				      const struct dff_name *worker,
				      int64_t now_ms);

/** Nothing goes to the worker before @until_ms while another one has a free slot. */
void dff_slots_avoid (struct dff_slots *slots, const struct dff_name *worker, int64_t until_ms);

enum dff_slot_outcome {
	DFF_SLOT_ACQUIRED,
	/** Every granted slot is in use. */
	DFF_SLOT_BUSY,
	/** No grant is in force for a worker that may be used. */
	DFF_SLOT_NO_GRANT,
};

struct dff_slot {
	struct dff_name worker;
	struct dff_name address;
};

/** Takes a slot. */
enum dff_slot_outcome
dff_slots_acquire (struct dff_slots *slots, int64_t now_ms, struct dff_slot *slot);

/** Gives a slot back. */
void dff_slots_release (struct dff_slots *slots, const struct dff_name *worker);

/** Slots granted and in force at @now_ms. */
int32_t dff_slots_granted (const struct dff_slots *slots, int64_t now_ms);

int32_t dff_slots_in_use (const struct dff_slots *slots);

#endif
