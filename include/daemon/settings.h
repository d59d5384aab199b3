#ifndef DFF_DAEMON_SETTINGS_H
#define DFF_DAEMON_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/cleanup.h"
#include "common/log.h"
#include "common/setting.h"
#include "common/str.h"

/* Settings of one process, in JSON, validated completely before any part starts.
 * dragonflyfold-settings(5). */

struct dff_settings {
	struct dff_name instance;
	struct dff_name region;
	struct dff_name data_centre;
	/** "IP:PORT" for callers and operators. */
	struct dff_name listen;
	/** "IP:PORT" for peers. */
	struct dff_name peer_listen;
	/** base64url CURVE keys. */
	struct dff_name peer_public_key;
	struct dff_name peer_secret_key;
	/** "IP:PORT" of the platform's table, object store and instance list. */
	struct dff_name table_address;
	struct dff_name object_store_address;
	struct dff_name instance_list_address;
	/** Paths of the callers' TLS certificate and key, PEM; empty: plain HTTP. */
	GString *tls_certificate;
	GString *tls_key;
	/** "sha256:HEX" of the token that may apply the first pool; empty: no token may. */
	GString *bootstrap_token_digest;
	enum dff_log_level log_level; /**< Reloadable. */
	/** File that spans are appended to; "-": standard output; empty: none. */
	GString *trace_path;
	int32_t max_connections;      /**< Callers' connections at once. Reloadable. */
	int32_t max_body_bytes;       /**< Reloadable. */
	int32_t request_timeout_ms;   /**< Time a caller may take to send a request. Reloadable. */
	int32_t max_requests;         /**< Short requests in progress at once. Reloadable. */
	int32_t upstream_connections; /**< Maximum for each worker. */
	int32_t table_writes_per_s; /**< This process's share of the table's budget. Reloadable. */
	int32_t tick_ms;
	int32_t cell_lease_ms;
	int32_t cell_renew_ms;
	int32_t cell_margin_ms;
	int32_t task_lease_ms;
	int32_t retention_s;
	int32_t watch_interval_ms; /**< Interval of renewals at each watched worker. */
	int32_t heartbeat_ms;
	int32_t suspect_ms;
	int32_t dead_ms;
	int32_t isolated_after_ms; /**< Neither store nor peers for this long: unready. */
	int32_t drain_grace_ms;    /**< Unready but taking work for this long at a graceful stop.
				      Reloadable. */
	int32_t drain_timeout_ms; /**< A graceful stop that takes longer is aborted; 0: no limit. */
};

/**
 * dff_settings_parse:
 * @source: name of the file, for error messages
 * @errors: (nullable): receives all errors, "FILE:LINE: key: what was expected"; elements: char *
 *
 * Returns: (transfer full) (nullable): the settings.
 */
struct dff_settings *
dff_settings_parse (struct dff_str text, const char *source, GPtrArray *errors, GError **error);

/** Reads and parses a file of at most 1 MiB. */
struct dff_settings *dff_settings_load (const char *path, GPtrArray *errors, GError **error);

void dff_settings_free (struct dff_settings *settings);

DFF_DEFINE_CLEANUP (dff_settings, dff_settings_free);

/**
 * dff_settings_reload:
 * @fixed: receives the keys that differ in @fresh but cannot change at run time; elements: char *
 *
 * Copies the values of reloadable keys from @fresh into @settings.
 */
void dff_settings_reload (struct dff_settings *settings,
			  const struct dff_settings *fresh,
			  GPtrArray *fixed);

/** Appends the reference of all keys in scdoc format, as in dragonflyfold-settings(5). */
void dff_settings_describe (GString *out);

#endif
