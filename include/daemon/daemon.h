#ifndef DFF_DAEMON_DAEMON_H
#define DFF_DAEMON_DAEMON_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>

#include "common/cleanup.h"
#include "daemon/settings.h"

/* One process of the system: its parts, connected to each other and to one event loop. */

struct dff_daemon;

/**
 * dff_daemon_new:
 * @settings: borrowed; has to outlive the daemon
 *
 * Binds the listeners and starts every part.
 *
 * Returns: (nullable): NULL with @error set when a listener cannot be bound.
 */
struct dff_daemon *
dff_daemon_new (struct event_base *base, struct dff_settings *settings, GError **error);

void dff_daemon_free (struct dff_daemon *daemon);

DFF_DEFINE_CLEANUP (dff_daemon, dff_daemon_free);

/** Begins a graceful stop; the loop exits once no work is in flight. Idempotent. */
void dff_daemon_drain (struct dff_daemon *daemon);

/** Returns: whether a graceful stop has begun. */
bool dff_daemon_is_draining (const struct dff_daemon *daemon);

/** Exits the loop at once and aborts work in flight. To be called on a second signal. */
void dff_daemon_abort (struct dff_daemon *daemon);

/** Returns: whether the loop exited with work in flight: after a drain timeout or a second
 * signal. */
bool dff_daemon_was_aborted (const struct dff_daemon *daemon);

/** Applies changed values of reloadable settings. */
void dff_daemon_settings_changed (struct dff_daemon *daemon);

#endif
