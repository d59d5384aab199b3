#ifndef DFF_DAEMON_DAEMON_H
#define DFF_DAEMON_DAEMON_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>

#include "common/cleanup.h"
#include "daemon/settings.h"

/* One process of the system: the parts wired to each other and to one event loop. */

struct dff_daemon;

/**
 * dff_daemon_new:
 * @settings: borrowed; must outlive the daemon
 *
 * Binds the listeners and starts every part.
 *
 * Returns: (nullable): NULL with @error set when a listener cannot be bound.
 */
struct dff_daemon *
dff_daemon_new (struct event_base *base, struct dff_settings *settings, GError **error);

void dff_daemon_free (struct dff_daemon *daemon);

DFF_DEFINE_CLEANUP (dff_daemon, dff_daemon_free);

/** Begins a graceful stop; the loop ends by itself once nothing is in flight. Idempotent. */
void dff_daemon_drain (struct dff_daemon *daemon);

/** Whether a graceful stop has begun. */
bool dff_daemon_is_draining (const struct dff_daemon *daemon);

/** Ends the loop at once: what is in flight is cut off. For a second signal. */
void dff_daemon_abort (struct dff_daemon *daemon);

/** Returns: whether the loop ended with work cut off: a drain that was given up, or a second
 * signal. */
bool dff_daemon_was_aborted (const struct dff_daemon *daemon);

/** Reads again what depends on reloadable settings. */
void dff_daemon_settings_changed (struct dff_daemon *daemon);

#endif
