#ifndef DFF_FLEET_SETTINGS_H
#define DFF_FLEET_SETTINGS_H

#include <glib.h>
#include <stdint.h>

#include "common/cleanup.h"
#include "common/log.h"
#include "common/setting.h"
#include "common/str.h"

/* Settings of a process of the fleet, JSON; dragonflyfold-fleet-settings(5). */

struct dff_fleet_settings {
	struct dff_name instance;
	struct dff_name data_centre;
	struct dff_name region;
	/** "IP:PORT": callers, readiness, metrics, the row store. */
	struct dff_name front_address;
	struct dff_name ready_address;
	struct dff_name metrics_address;
	/** Where processes connect that carry calls to workers for this one. */
	struct dff_name relay_address;
	struct dff_name store_address;
	/** Longest lease that workers grant, ms. */
	int32_t worker_lease_max_ms;
	int32_t config_bound_ms;
	/** Longest wait of a gang's members for each other, ms. */
	int32_t gang_wait_ms;
	/** How many times as long a task takes away from its data, or a bound gang on two racks. */
	double far_factor;
	/** How long the state of what has ended can be asked for, s. */
	int32_t retention_s;
	/** Time between the signal to stop and the end of the process, s. */
	int32_t stop_grace_s;
	/** Share of a core that the process may use, and how many times as fast one is. */
	double processor_share;
	double processor_speed;
	/** Of the machine's link, Mbit/s. */
	double link_mbps;
	enum dff_log_level log_level;
};

/**
 * dff_fleet_settings_load:
 * @faults: (nullable): every fault found, one message each; elements: char *
 * @error: the first fault
 *
 * Checks syntax, unknown and missing keys, types and ranges.
 *
 * Returns: (transfer full) (nullable): the settings, to be freed with g_free().
 */
struct dff_fleet_settings *
dff_fleet_settings_load (const char *path, GPtrArray *faults, GError **error);

/**
 * dff_fleet_settings_reload:
 * @fixed: elements: char *: keys that differ in @fresh but cannot change while running
 *
 * Copies what may change from @fresh into @settings.
 */
void dff_fleet_settings_reload (struct dff_fleet_settings *settings,
				const struct dff_fleet_settings *fresh,
				GPtrArray *fixed);

/** Appends the reference of every key in scdoc, as dragonflyfold-fleet-settings(5) holds it. */
void dff_fleet_settings_describe (GString *out);

#endif
