#ifndef DFF_PEER_NOTICES_H
#define DFF_PEER_NOTICES_H

#include <glib.h>

#include "peer/message.h"

/*
 * Notices for the holder of the region's cell: hints, watches and worker reports. While no holder
 * is known they are queued, up to a limited number and time, and then dropped. Each has a fallback:
 * the holder scans the table, the entry reads the job's row, the next worker report follows.
 */

struct dff_peer;

struct dff_notices {
	/** Elements: struct pending_notice *, oldest first. */
	GQueue pending;
};

void dff_notices_clear (struct dff_notices *notices);

/** Sends a notice to the holder, which may be this process. */
void dff_notices_send (struct dff_peer *peer, struct dff_message *message);

/** Sends the queued notices once a holder is known; drops expired ones. */
void dff_notices_tick (struct dff_peer *peer);

#endif
