#ifndef DFF_FLEET_SETTINGS_H
#define DFF_FLEET_SETTINGS_H

#include <glib.h>
#include <stdint.h>

#include "common/cleanup.h"
#include "common/log.h"
#include "common/setting.h"
#include "common/str.h"

/* Settings of a process of the fleet, a JSON file; see dragonflyfold-fleet-settings(5). */

struct dff_fleet_settings {
	struct dff_name instance;
	struct dff_name data_centre;
	struct dff_name region;
	/** Addresses as "IP:PORT": for callers, for readiness checks, for metrics, and of the row
	 * store. */
	struct dff_name front_address;
	struct dff_name ready_address;
	struct dff_name metrics_address;
	/** Address at which relays connect, which carry this process's calls to workers. */
	struct dff_name relay_address;
	struct dff_name store_address;
	/** Longest lease that workers grant, ms. */
	int32_t worker_lease_max_ms;
	int32_t config_bound_ms;
	/** Longest time that members of a gang wait for each other at a worker, ms. */
	int32_t gang_wait_ms;
	/** Factor by which a task runs longer away from its data, or a bound gang on two racks. */
	double far_factor;
	/** Time for which the state of a completed job can be queried, s. */
	int32_t retention_s;
	/** Time between SIGTERM and SIGKILL, s. */
	int32_t stop_grace_s;
	/** Share of a core that the process may use, and the speed of that core as a multiple of a
	 * reference core's. */
	double processor_share;
	double processor_speed;
	/** Bandwidth of the machine's link, Mbit/s. */
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
 * @fixed: keys that differ in @fresh but cannot change while the process runs; elements: char *
 *
 * Copies the settings that may change at run time from @fresh into @settings.
 */
void dff_fleet_settings_reload (struct dff_fleet_settings *settings,
				const struct dff_fleet_settings *fresh,
				GPtrArray *fixed);

/** Appends the reference of every key in scdoc format, as contained in
 * dragonflyfold-fleet-settings(5). */
void dff_fleet_settings_describe (GString *out);

#endif
