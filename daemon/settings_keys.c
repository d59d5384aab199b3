#include "daemon/settings_keys.h"

#include "cell/job_row.h"

#define MINUTE_MS 60000
#define HOUR_MS 3600000
#define HOUR_S 3600
#define YEAR_S 31536000

#define MEMBER(name) .key = #name, .offset = offsetof (struct dff_settings, name)
#define NAME(name, limit) MEMBER (name), .type = DFF_SETTING_NAME, .required = true, .max = (limit)
#define ADDRESS(name, lowest)                                                                      \
	MEMBER (name), .type = DFF_SETTING_ADDRESS, .required = true, .min = (lowest)
#define KEY(name) MEMBER (name), .type = DFF_SETTING_KEY, .required = true
#define PATH(name) MEMBER (name), .type = DFF_SETTING_PATH
#define INTEGER(name, lowest, highest, initial)                                                    \
	MEMBER (name), .type = DFF_SETTING_INTEGER, .min = (lowest), .max = (highest),             \
		       .default_text = #initial

static const struct dff_setting settings_table[] = {
	{NAME (instance, DFF_NAME_MAX), .help = "Name of this process, unique among all."},
	{NAME (region, DFF_REGION_NAME_MAX), .help = "Region whose cell this process may hold."},
	{NAME (data_centre, DFF_NAME_MAX), .help = "Data centre this process runs in."},
	{ADDRESS (listen, 0), .help = "Address for callers and operators; port 0: any free one."},
	{ADDRESS (peer_listen, 0), .help = "Address for peers; port 0: any free one."},
	{KEY (peer_public_key), .help = "CURVE public key that peers know this process by."},
	{KEY (peer_secret_key), .help = "CURVE secret key. Keep the file unreadable to others."},
	{ADDRESS (table_address, 1), .help = "The platform's transactional table."},
	{ADDRESS (object_store_address, 1), .help = "The platform's object store."},
	{ADDRESS (instance_list_address, 1), .help = "The platform's instance list."},
	{PATH (tls_certificate), .help = "Callers' TLS certificate chain, PEM; empty: plain HTTP."},
	{PATH (tls_key), .help = "Key of the certificate, PEM."},
	{MEMBER (bootstrap_token_digest), .type = DFF_SETTING_DIGEST,
	 .help = "Digest of the token that may apply the first pool; empty: none may."},
	{MEMBER (log_level), .type = DFF_SETTING_LEVEL, .reloadable = true,
	 .default_text = "\"info\"", .help = "Lowest level that is logged."},
	{PATH (trace_path), .help = "File that spans are appended to; \"-\": standard output."},
	{INTEGER (max_connections, 1, 100000, 4096), .reloadable = true,
	 .help = "Callers' connections at once."},
	{INTEGER (max_body_bytes, 1024, 67108864, 1048576), .reloadable = true, .unit = "bytes",
	 .help = "Longest request body."},
	{INTEGER (request_timeout_ms, 100, HOUR_MS, 10000), .reloadable = true, .unit = "ms",
	 .help = "Time a caller may take to send a request."},
	{INTEGER (max_requests, 1, 100000, 1024), .reloadable = true,
	 .help = "Short requests in progress at once."},
	{INTEGER (upstream_connections, 1, 1024, 7), .help = "Connections to each worker."},
	{INTEGER (table_writes_per_s, 1, 10000, 30), .reloadable = true, .unit = "a second",
	 .help = "This process's share of the table's writes."},
	{INTEGER (tick_ms, 1, 1000, 10), .unit = "ms", .help = "Interval of the loop's tick."},
	{INTEGER (cell_lease_ms, 500, MINUTE_MS, 3000), .unit = "ms",
	 .help = "A lease row that stands unchanged this long may be taken."},
	{INTEGER (cell_renew_ms, 50, MINUTE_MS, 700), .unit = "ms",
	 .help = "Interval of the holder's renewals."},
	{INTEGER (cell_margin_ms, 50, MINUTE_MS, 600), .unit = "ms",
	 .help = "The holder stops acting this long before its lease lapses."},
	{INTEGER (task_lease_ms, 1000, HOUR_MS, 15000), .unit = "ms",
	 .help = "Lease of tasks at workers."},
	{INTEGER (retention_s, HOUR_S, YEAR_S, 604800), .unit = "s",
	 .help = "Jobs, batches, records of requests and their idempotency keys are forgotten this "
		 "long after they ended. The same for all processes of a region."},
	{INTEGER (watch_interval_ms, 50, MINUTE_MS, 1000), .unit = "ms",
	 .help = "Least interval of renewals at each watched worker; longer for a process that "
		 "watches many, as far as a quarter of *task_lease_ms*."},
	{INTEGER (heartbeat_ms, 20, MINUTE_MS, 500), .unit = "ms",
	 .help = "Interval of heartbeats to each direct peer."},
	{INTEGER (suspect_ms, 50, MINUTE_MS, 2000), .unit = "ms",
	 .help = "A peer silent this long is suspected."},
	{INTEGER (dead_ms, 50, MINUTE_MS, 3000), .unit = "ms",
	 .help = "A peer suspected this long is taken for dead."},
	{INTEGER (isolated_after_ms, 100, HOUR_MS, 5000), .unit = "ms",
	 .help = "Neither store nor peers for this long: unready."},
	{INTEGER (drain_grace_ms, 0, MINUTE_MS, 2000), .unit = "ms", .reloadable = true,
	 .help = "At a graceful stop: unready for this long before new work is refused."},
	{INTEGER (drain_timeout_ms, 0, 86400000, 0), .unit = "ms",
	 .help = "A graceful stop that takes longer is given up; 0: never."},
};

const struct dff_setting_table *
dff_settings_table (void)
{
	static const struct dff_setting_table table = {.settings = settings_table,
						       .n_settings = G_N_ELEMENTS (settings_table),
						       .page = "dragonflyfold-settings(5)"};
	return &table;
}
