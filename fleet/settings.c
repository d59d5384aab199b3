#include "fleet/settings.h"

#define MINUTE_MS 60000
#define HOUR_MS 3600000
#define DAY_S 86400
#define YEAR_S 31536000

#define MEMBER(name)                                                                               \
	.key = #name, .offset = offsetof (struct dff_fleet_settings, name), .required = true
#define NAME(name) MEMBER (name), .type = DFF_SETTING_NAME, .max = DFF_NAME_MAX
#define ADDRESS(name) MEMBER (name), .type = DFF_SETTING_ADDRESS, .min = 1
#define INTEGER(name, lowest, highest)                                                             \
	MEMBER (name), .type = DFF_SETTING_INTEGER, .min = (lowest), .max = (highest)

#define NUMBER(name, lowest, highest)                                                              \
	MEMBER (name), .type = DFF_SETTING_NUMBER, .min = (lowest), .max = (highest)

static const struct dff_setting settings_table[] = {
	{NAME (instance), .help = "Name of this process; one life of it has a random ending."},
	{NAME (data_centre), .help = "Data centre the process runs in, for its logs."},
	{NAME (region), .help = "Region the process runs in, for its logs."},
	{ADDRESS (front_address), .help = "Where callers connect."},
	{ADDRESS (ready_address),
	 .help = "Where the balancer asks whether the process takes new connections, and other "
		 "processes ask for its name."},
	{ADDRESS (metrics_address), .help = "Where the metrics are served, at _/metrics_."},
	{ADDRESS (relay_address),
	 .help = "Where other processes connect to carry calls to workers for this one."},
	{ADDRESS (store_address), .help = "The platform's store."},
	{INTEGER (worker_lease_max_ms, 1000, HOUR_MS), .unit = "ms",
	 .help = "Longest lease that a worker grants. Leases are 7000 ms, or 500 ms less than "
		 "this."},
	{INTEGER (config_bound_ms, 1, HOUR_MS), .unit = "ms",
	 .help = "Time within which operators count on a change of the configuration being in "
		 "force. The longer, the less often a process asks the store whether there is "
		 "one."},
	{INTEGER (gang_wait_ms, 100, 10 * MINUTE_MS), .unit = "ms",
	 .help = "How long members of a gang wait for each other at a worker."},
	{MEMBER (far_factor), .type = DFF_SETTING_NUMBER, .min = 1, .max = 1000,
	 .help = "How many times as long a task takes away from its data, or a gang bound to a "
		 "rack "
		 "on two."},
	{INTEGER (retention_s, 1, YEAR_S), .unit = "s",
	 .help = "How long the state of what has ended can be asked for."},
	{INTEGER (stop_grace_s, 1, DAY_S), .unit = "s",
	 .help = "Time between SIGTERM and SIGKILL. The process ends by itself 1.2 s before that "
		 "at "
		 "the latest."},
	{NUMBER (processor_share, 0, 1000000),
	 .help = "Share of a core that the process may use. Of machines with different means the "
		 "quicker ones decide."},
	{NUMBER (processor_speed, 0, 1000000),
	 .help = "How many times as fast as one core that share is."},
	{NUMBER (link_mbps, 0, 1000000), .unit = "Mbit/s",
	 .help = "What the machine's link carries."},
	{MEMBER (log_level), .type = DFF_SETTING_LEVEL, .reloadable = true,
	 .help = "Lowest level that is logged."},
};

static const struct dff_setting_table table = {.settings = settings_table,
					       .n_settings = G_N_ELEMENTS (settings_table),
					       .page = "dragonflyfold-fleet-settings(5)"};

struct dff_fleet_settings *
dff_fleet_settings_load (const char *path, GPtrArray *faults, GError **error)
{
	struct dff_setting_input input = {.source = path, .errors = faults};
	g_autofree struct dff_fleet_settings *settings = g_new0 (struct dff_fleet_settings, 1);
	if (!dff_setting_table_load (&table, &input, settings, error))
		return NULL;
	return g_steal_pointer (&settings);
}

void
dff_fleet_settings_reload (struct dff_fleet_settings *settings,
			   const struct dff_fleet_settings *fresh,
			   GPtrArray *fixed)
{
	dff_setting_table_reload (&table, settings, fresh, fixed);
}

void
dff_fleet_settings_describe (GString *out)
{
	dff_setting_table_describe (&table, out);
}
