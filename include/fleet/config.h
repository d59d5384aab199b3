#ifndef DFF_FLEET_CONFIG_H
#define DFF_FLEET_CONFIG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/cleanup.h"
#include "common/str.h"

/* What the operator has put in force for the fleet: service classes, teams and their credentials.
 * Immutable; each change is a whole new one with a higher version. */

/** A service class: how jobs that are sent to one place are served. */
struct dff_fleet_class {
	struct dff_name name;
	/** Host and path prefix that callers use. */
	GString *host;
	GString *path_prefix;
	/** Service whose workers run its tasks. */
	struct dff_name service;
	/** 0 first. */
	int32_t priority;
	int32_t max_attempts;
	/** Whether callers need no credential. */
	bool anonymous;
	/** Whether only workers named by an adviser may run its tasks, which is not supported. */
	bool needs_recommendation;
};

struct dff_fleet_team {
	struct dff_name name;
	/** Elements: GString *. */
	GPtrArray *credentials;
	/** Accelerators that are the team's own at any time, for urgent jobs. */
	int32_t assured_accelerators;
};

struct dff_fleet_config {
	int64_t version;
	/** Services whose workers start whatever they are told to, with room for it or without.
	 * Elements: struct dff_name. */
	GArray *unenforced;
	/** Elements: struct dff_fleet_class. */
	GArray *classes;
	/** Elements: struct dff_fleet_team. */
	GArray *teams;
};

/** Returns: (transfer full): an empty configuration. */
struct dff_fleet_config *dff_fleet_config_new (void);

void dff_fleet_config_free (struct dff_fleet_config *config);

DFF_DEFINE_CLEANUP (dff_fleet_config, dff_fleet_config_free);

/** Returns: a class to be filled in, valid until the next is added. */
struct dff_fleet_class *dff_fleet_config_add_class (struct dff_fleet_config *config);

struct dff_fleet_team *dff_fleet_config_add_team (struct dff_fleet_config *config);

/** Returns: (nullable): the class of @host whose prefix is the longest that @path begins with. */
const struct dff_fleet_class *dff_fleet_config_find_class (const struct dff_fleet_config *config,
							   struct dff_str host,
							   struct dff_str path);

/** Returns: (nullable): the team that a credential belongs to. */
const struct dff_fleet_team *dff_fleet_config_find_team (const struct dff_fleet_config *config,
							 struct dff_str credential);

#endif
