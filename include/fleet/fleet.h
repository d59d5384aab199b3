#ifndef DFF_FLEET_FLEET_H
#define DFF_FLEET_FLEET_H

#include <event2/event.h>

#include "common/cleanup.h"
#include "fleet/settings.h"

/* One process of the fleet on the users' platform: front, holder and their clients on one event
 * loop. */

struct dff_fleet;

#define DFF_FLEET_ERROR (dff_fleet_error_quark ())

enum dff_fleet_error {
	DFF_FLEET_ERROR_LISTEN,
};

GQuark dff_fleet_error_quark (void);

void dff_fleet_free (struct dff_fleet *fleet);

DFF_DEFINE_CLEANUP (dff_fleet, dff_fleet_free);

/** Returns: (transfer full) (nullable): a process that serves while @base runs. */
struct dff_fleet *
dff_fleet_new (struct event_base *base, const struct dff_fleet_settings *settings, GError **error);

/** Stops gracefully and then ends the loop. A second call ends the loop at once. */
void dff_fleet_stop (struct dff_fleet *fleet);

#endif
