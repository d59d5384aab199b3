#ifndef DFF_FLEET_CONFIG_H
#define DFF_FLEET_CONFIG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/cleanup.h"
#include "common/str.h"

/* Configuration of the fleet by its operators: service classes, teams and their credentials.
 * Immutable: each change is a complete new configuration with a higher version. */

/** A service class: how jobs that are submitted to one host and path are served. */
struct dff_fleet_class {
	struct dff_name name;
	/** Host and path prefix to which callers submit. */
	GString *host;
	GString *path_prefix;
	/** Service whose workers run its tasks. */
	struct dff_name service;
	/** Priority of the class's jobs; 0 is the highest. */
	int32_t priority;
	int32_t max_attempts;
	/** Objective of the class's jobs: a multiple of their longest chain of work, 0 without an
	 * objective, and a constant part, ms. */
	double stretch;
	int64_t target_latency_ms;
	/** Whether callers need no credential. */
	bool anonymous;
	/** Whether only workers recommended by an external adviser may run its tasks, which is not
	 * supported. */
	bool needs_recommendation;
};

struct dff_fleet_team {
	struct dff_name name;
	/** Elements: GString *. */
	GPtrArray *credentials;
	/** Accelerators that are guaranteed to the team at any time, for its urgent jobs. */
	int32_t assured_accelerators;
};

/** What the operators let one caller send. Members that are 0 are not given. */
struct dff_fleet_caller_limits {
	/** Sizes of a request's line with its headers, and of its body, bytes. */
	int64_t max_header_bytes;
	int64_t max_body_bytes;
	/** Time from a request's first byte to the end of its headers, and between two requests,
	 * ms. */
	int64_t header_timeout_ms;
	int64_t idle_timeout_ms;
};

struct dff_fleet_config {
	int64_t version;
	struct dff_fleet_caller_limits caller_limits;
	/** Services whose workers do not enforce their capacity: they start every task that they
	 * are ordered to, whether it fits or not. Elements: struct dff_name. */
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

/** Returns: a class to be filled in, valid until the next class is added. */
struct dff_fleet_class *dff_fleet_config_add_class (struct dff_fleet_config *config);

struct dff_fleet_team *dff_fleet_config_add_team (struct dff_fleet_config *config);

/** Returns: (nullable): the class of @host with the longest path prefix that matches @path. */
const struct dff_fleet_class *dff_fleet_config_find_class (const struct dff_fleet_config *config,
							   struct dff_str host,
							   struct dff_str path);

/** Returns: (nullable): the team that a credential belongs to. */
const struct dff_fleet_team *dff_fleet_config_find_team (const struct dff_fleet_config *config,
							 struct dff_str credential);

#endif
