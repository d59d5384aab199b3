#ifndef DFF_ENTRY_REQUEST_H
#define DFF_ENTRY_REQUEST_H

#include <stdbool.h>
#include <stdint.h>

#include "backing/instance_list.h"
#include "common/cleanup.h"
#include "common/str.h"
#include "peer/peer.h"

/* Short requests, from the caller to a worker and back. */

struct dff_entry;
struct dff_requests;

struct dff_requests *dff_requests_new (struct dff_entry *entry);

/** Drops the requests in progress without answering them. */
void dff_requests_free (struct dff_requests *requests);

DFF_DEFINE_CLEANUP (dff_requests, dff_requests_free);

void dff_requests_tick (struct dff_requests *requests);

void dff_requests_set_instances (struct dff_requests *requests,
				 const struct dff_instance *instances,
				 size_t n_instances);

void dff_requests_worker_leaving (struct dff_requests *requests, const struct dff_name *worker);

void dff_requests_set_grants (struct dff_requests *requests,
			      int64_t epoch,
			      const struct dff_grant *grants,
			      size_t n_grants,
			      int32_t valid_ms);

/** Returns: whether no request is in progress and every outcome that has to be recorded is
 * recorded. */
bool dff_requests_is_idle (const struct dff_requests *requests);

struct dff_requests_stats {
	int32_t in_progress;
	/** Requests in progress that wait for a slot. */
	int32_t waiting;
	int32_t slots_granted;
	int32_t slots_in_use;
};

void dff_requests_get_stats (const struct dff_requests *requests, struct dff_requests_stats *stats);

#endif
