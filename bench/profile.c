#include "bench/profile.h"

#include <glib.h>
#include <string.h>

/* Both deployments of today: six racks of eight workers and one of two, eight accelerators each. */
#define DFF_TODAY_RACKS 7
#define DFF_TODAY_RACK_WORKERS 8
#define DFF_TODAY_LAST_WORKERS 2

/* The size to design for: racks of eight workers with one accelerator each but for a few with two;
 * the last rack has four of each: 1,800 workers, 1,900 accelerators. */
#define DFF_DESIGN_RACKS 225
#define DFF_DESIGN_REGIONS 5
#define DFF_DESIGN_DATA_CENTRES 18
#define DFF_DESIGN_DOUBLE_RACKS 12
#define DFF_DESIGN_TEAMS 120

struct rack_line {
	const char *name;
	const char *data_centre;
	const char *region;
	int workers, cores, memory_gb, accelerators;
};

static void
write_rack (FILE *out, const struct rack_line *rack, bool last)
{
	fprintf (out,
		 "    {\"name\": \"%s\", \"data_centre\": \"%s\", \"region\": \"%s\", "
		 "\"workers\": %d, \"slots\": 8, \"cores\": %d, \"memory_gb\": %d, "
		 "\"accelerators\": %d}%s\n",
		 rack->name, rack->data_centre, rack->region, rack->workers, rack->cores,
		 rack->memory_gb, rack->accelerators, last ? "" : ",");
}

/* A token for the examples is "NAME-example-token". */
static void
write_digest (FILE *out, const char *name)
{
	g_autofree char *token = g_strdup_printf ("%s-example-token", name);
	g_autofree char *digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, token, -1);
	fprintf (out, "\"token_digests\": [\"sha256:%s\"]", digest);
}

struct team_line {
	const char *name;
	/** The members of "guarantees". */
	const char *guarantees;
};

static void
write_team (FILE *out, const struct team_line *team, bool last)
{
	fprintf (out, "    {\"name\": \"%s\", ", team->name);
	write_digest (out, team->name);
	fprintf (out, ", \"guarantees\": [%s]}%s\n", team->guarantees, last ? "" : ",");
}

static void
write_tail (FILE *out, const char *const *services)
{
	fputs ("  ],\n  \"services\": [\n", out);
	for (int i = 0; services[i] != NULL; i++) {
		fprintf (out,
			 "    {\"name\": \"%s\", \"request_slots\": 1, "
			 "\"request_timeout_ms\": 30000}%s\n",
			 services[i], services[i + 1] != NULL ? "," : "");
	}
	fputs ("  ],\n  \"operators\": [\n    {\"name\": \"operator\", ", out);
	write_digest (out, "operator");
	fputs ("}\n  ]\n}\n", out);
}

struct today {
	const char *prefix;
	const char *region;
	const char *preset;
	const char *data_centres[3];
	int cores, memory_gb;
	struct team_line teams[4];
	const char *services[5];
};

static const struct today tatrinvest_today = {
	"ti",
	"sk-central",
	"completion",
	{"zvolen", "banska-bystrica", "brezno"},
	32,
	64,
	{
		{"portal", "{\"gangs\": 8, \"accelerators\": 8}"},
		{"petitions", "{\"gangs\": 2, \"accelerators\": 32}"},
		{"housing", "{\"gangs\": 2, \"accelerators\": 16}"},
		{"archive", "{\"gangs\": 1, \"accelerators\": 16}"},
	},
	{"casework", "summaries", "sorting", "archive", NULL},
};

static const struct today cartucho_today = {
	"cs",
	"uy-south",
	"fragmentation",
	{"ciudad-vieja", "pocitos", "cerro"},
	64,
	128,
	{
		{"fleet", "{\"gangs\": 2, \"accelerators\": 32}"},
		{"firms", "{\"gangs\": 2, \"accelerators\": 16}"},
		{"notaries", "{\"gangs\": 2, \"accelerators\": 16}"},
		{"schools", "{\"gangs\": 1, \"accelerators\": 16}"},
	},
	{"wear", "forecast", "diagnosis", "calibration", NULL},
};

static void
write_today (FILE *out, const struct today *today)
{
	fprintf (out, "{\n  \"preset\": \"%s\",\n  \"racks\": [\n", today->preset);
	for (int i = 0; i < DFF_TODAY_RACKS; i++) {
		g_autofree char *name = g_strdup_printf ("%s-r%d", today->prefix, i + 1);
		bool last = i == DFF_TODAY_RACKS - 1;
		struct rack_line rack = {
			.name = name,
			.data_centre = today->data_centres[i * 3 / DFF_TODAY_RACKS],
			.region = today->region,
			.workers = last ? DFF_TODAY_LAST_WORKERS : DFF_TODAY_RACK_WORKERS,
			.cores = today->cores,
			.memory_gb = today->memory_gb,
			.accelerators = 8,
		};
		write_rack (out, &rack, last);
	}
	fputs ("  ],\n  \"teams\": [\n", out);
	for (int i = 0; i < 4; i++)
		write_team (out, &today->teams[i], i == 3);
	write_tail (out, today->services);
}

static void
write_tatrinvest (FILE *out)
{
	write_today (out, &tatrinvest_today);
}

static void
write_cartucho (FILE *out)
{
	write_today (out, &cartucho_today);
}

static void
design_team_name (int index, char *name, size_t size)
{
	g_snprintf (name, size, "team-%d", index + 1);
}

static void
write_design_racks (FILE *out)
{
	for (int i = 0; i < DFF_DESIGN_RACKS; i++) {
		int data_centre = i * DFF_DESIGN_DATA_CENTRES / DFF_DESIGN_RACKS;
		int region = data_centre * DFF_DESIGN_REGIONS / DFF_DESIGN_DATA_CENTRES;
		g_autofree char *name = g_strdup_printf ("r%d", i + 1);
		g_autofree char *dc = g_strdup_printf ("dc%d", data_centre + 1);
		g_autofree char *region_name = g_strdup_printf ("region-%d", region + 1);
		bool last = i == DFF_DESIGN_RACKS - 1;
		bool doubled =
			i % (DFF_DESIGN_RACKS / DFF_DESIGN_DOUBLE_RACKS) == 0 &&
			i / (DFF_DESIGN_RACKS / DFF_DESIGN_DOUBLE_RACKS) < DFF_DESIGN_DOUBLE_RACKS;
		struct rack_line rack = {name, dc, region_name, 8, 32, 64, doubled ? 2 : 1};
		if (!last) {
			write_rack (out, &rack, false);
			continue;
		}
		rack.workers = 4;
		write_rack (out, &rack, false);
		g_autofree char *other = g_strdup_printf ("r%d", i + 2);
		rack.name = other;
		rack.accelerators = 2;
		write_rack (out, &rack, true);
	}
}

/* Two thirds of the teams own a rack's worth, the rest half a rack; the first owns a large gang. */
static void
write_design (FILE *out)
{
	static const char *const services[] = {"batch",    "training", "review",
					       "forecast", "request",  NULL};
	fputs ("{\n  \"preset\": \"completion\",\n  \"racks\": [\n", out);
	write_design_racks (out);
	fputs ("  ],\n  \"teams\": [\n", out);
	for (int i = 0; i < DFF_DESIGN_TEAMS; i++) {
		char name[16];
		design_team_name (i, name, sizeof (name));
		int region = i % DFF_DESIGN_REGIONS + 1;
		int accelerators = i == 0 ? 128 : (i % 3 == 0 ? 4 : 8);
		g_autofree char *guarantees = g_strdup_printf (
			"{\"gangs\": 1, \"accelerators\": %d, \"region\": \"region-%d\"}",
			accelerators, region);
		struct team_line team = {name, guarantees};
		write_team (out, &team, i == DFF_DESIGN_TEAMS - 1);
	}
	write_tail (out, services);
}

static void
tatrinvest_team_name (int index, char *name, size_t size)
{
	g_snprintf (name, size, "%s", tatrinvest_today.teams[index].name);
}

static void
cartucho_team_name (int index, char *name, size_t size)
{
	g_snprintf (name, size, "%s", cartucho_today.teams[index].name);
}

static void
today_worker_name (const char *prefix, int index, char *name, size_t size)
{
	g_snprintf (name, size, "%s-r%d-w%d", prefix, index / DFF_TODAY_RACK_WORKERS + 1,
		    index % DFF_TODAY_RACK_WORKERS + 1);
}

static void
tatrinvest_worker_name (int index, char *name, size_t size)
{
	today_worker_name (tatrinvest_today.prefix, index, name, size);
}

static void
cartucho_worker_name (int index, char *name, size_t size)
{
	today_worker_name (cartucho_today.prefix, index, name, size);
}

static void
design_worker_name (int index, char *name, size_t size)
{
	g_snprintf (name, size, "r%d-w%d", index / 8 + 1, index % 8 + 1);
}

/* Drafting by day, with an assistant waiting for part of it; petition summaries as gangs; archived
 * cases overnight. */
static const struct dff_profile_class tatrinvest_classes[] = {
	{
		.service = "casework",
		.first_team = 0,
		.n_teams = 1,
		.share = 0.06,
		.arrivals = DFF_ARRIVALS_DAY,
		.gangs = {1},
		.accelerators = {1, -1},
		.cores = 4,
		.memory_gb = 8,
		.adjacent = false,
		.median_s = 90,
		.sigma = 0.8,
		.declared_bias = 2.0,
		.declared_sigma = 0.8,
		.urgent = 0.5,
		.guaranteed = 0.2,
		.checkpoint = 0.3,
		.idempotent = 0.7,
		.cancelled = 0.01,
	},
	{
		.service = "sorting",
		.first_team = 0,
		.n_teams = 3,
		.share = 0.14,
		.arrivals = DFF_ARRIVALS_DAY,
		.gangs = {1},
		.accelerators = {1, 2, 4, -1},
		.cores = 4,
		.memory_gb = 8,
		.adjacent = false,
		.median_s = 400,
		.sigma = 1.0,
		.declared_bias = 3.0,
		.declared_sigma = 1.0,
		.urgent = 0.0,
		.guaranteed = 0.1,
		.checkpoint = 0.8,
		.idempotent = 0.9,
		.cancelled = 0.02,
	},
	{
		.service = "summaries",
		.first_team = 1,
		.n_teams = 2,
		.share = 0.35,
		.arrivals = DFF_ARRIVALS_DAY,
		.gangs = {2, 4},
		.accelerators = {4, 8, -1},
		.cores = 16,
		.memory_gb = 32,
		.adjacent = true,
		.median_s = 1500,
		.sigma = 0.8,
		.declared_bias = 1.5,
		.declared_sigma = 0.8,
		.urgent = 0.0,
		.guaranteed = 0.3,
		.checkpoint = 0.9,
		.idempotent = 1.0,
		.cancelled = 0.02,
	},
	{
		.service = "archive",
		.first_team = 3,
		.n_teams = 1,
		.share = 0.45,
		.arrivals = DFF_ARRIVALS_BURSTS,
		.gangs = {1},
		.accelerators = {1, 2, -1},
		.cores = 4,
		.memory_gb = 8,
		.adjacent = false,
		.median_s = 600,
		.sigma = 1.2,
		.declared_bias = 2.0,
		.declared_sigma = 1.2,
		.urgent = 0.0,
		.guaranteed = 0.05,
		.checkpoint = 0.85,
		.idempotent = 0.95,
		.cancelled = 0.03,
	},
};

/* Wear reviews of whole fleets at night, forecasts and diagnoses at any hour. */
static const struct dff_profile_class cartucho_classes[] = {
	{
		.service = "diagnosis",
		.first_team = 1,
		.n_teams = 3,
		.share = 0.004,
		.arrivals = DFF_ARRIVALS_DAY,
		.gangs = {1},
		.accelerators = {1, -1},
		.cores = 2,
		.memory_gb = 4,
		.adjacent = false,
		.median_s = 60,
		.sigma = 0.8,
		.declared_bias = 2.0,
		.declared_sigma = 0.8,
		.urgent = 0.6,
		.guaranteed = 0.2,
		.checkpoint = 0.2,
		.idempotent = 0.7,
		.cancelled = 0.01,
	},
	{
		.service = "forecast",
		.first_team = 1,
		.n_teams = 3,
		.share = 0.296,
		.arrivals = DFF_ARRIVALS_EVEN,
		.gangs = {1},
		.accelerators = {1, 2, 4, -1},
		.cores = 4,
		.memory_gb = 8,
		.adjacent = false,
		.median_s = 900,
		.sigma = 1.0,
		.declared_bias = 2.5,
		.declared_sigma = 1.2,
		.urgent = 0.0,
		.guaranteed = 0.1,
		.checkpoint = 0.8,
		.idempotent = 0.95,
		.cancelled = 0.02,
	},
	{
		.service = "calibration",
		.first_team = 0,
		.n_teams = 4,
		.share = 0.1,
		.arrivals = DFF_ARRIVALS_DAY,
		.gangs = {1},
		.accelerators = {4, 8, -1},
		.cores = 16,
		.memory_gb = 32,
		.adjacent = true,
		.median_s = 1200,
		.sigma = 0.8,
		.declared_bias = 2.0,
		.declared_sigma = 0.8,
		.urgent = 0.0,
		.guaranteed = 0.1,
		.checkpoint = 0.9,
		.idempotent = 1.0,
		.cancelled = 0.02,
	},
	{
		.service = "wear",
		.first_team = 0,
		.n_teams = 4,
		.share = 0.6,
		.arrivals = DFF_ARRIVALS_EVENING,
		.gangs = {16, 32, 48, 64},
		.accelerators = {1, -1},
		.cores = 4,
		.memory_gb = 8,
		.adjacent = true,
		.median_s = 2400,
		.sigma = 0.6,
		.declared_bias = 1.5,
		.declared_sigma = 0.8,
		.urgent = 0.0,
		.guaranteed = 0.25,
		.checkpoint = 0.9,
		.idempotent = 1.0,
		.cancelled = 0.02,
	},
};

/* Many tasks that hold a slot and no accelerator, and fewer, larger jobs with accelerators. */
static const struct dff_profile_class design_classes[] = {
	{
		.service = "batch",
		.first_team = 0,
		.n_teams = 120,
		.share = 0.7,
		.arrivals = DFF_ARRIVALS_START,
		.gangs = {32, 64, 128},
		.accelerators = {0, -1},
		.cores = 2,
		.memory_gb = 4,
		.adjacent = false,
		.median_s = 20000,
		.sigma = 0.8,
		.declared_bias = 1.5,
		.declared_sigma = 0.8,
		.urgent = 0.0,
		.guaranteed = 0.0,
		.checkpoint = 0.9,
		.idempotent = 1.0,
		.cancelled = 0.01,
	},
	{
		.service = "batch",
		.first_team = 0,
		.n_teams = 120,
		.share = 0.4,
		.arrivals = DFF_ARRIVALS_EVEN,
		.gangs = {32, 64, 128},
		.accelerators = {0, -1},
		.cores = 2,
		.memory_gb = 4,
		.adjacent = false,
		.median_s = 7000,
		.sigma = 0.8,
		.declared_bias = 1.5,
		.declared_sigma = 0.8,
		.urgent = 0.0,
		.guaranteed = 0.0,
		.checkpoint = 0.9,
		.idempotent = 1.0,
		.cancelled = 0.01,
	},
	{
		.service = "training",
		.first_team = 0,
		.n_teams = 120,
		.share = 0.3,
		.arrivals = DFF_ARRIVALS_EVEN,
		.gangs = {32, 64, 128},
		.accelerators = {1, -1},
		.cores = 4,
		.memory_gb = 8,
		.adjacent = true,
		.median_s = 5000,
		.sigma = 0.8,
		.declared_bias = 1.5,
		.declared_sigma = 0.8,
		.urgent = 0.0,
		.guaranteed = 0.1,
		.checkpoint = 0.95,
		.idempotent = 1.0,
		.cancelled = 0.02,
	},
	{
		.service = "review",
		.first_team = 0,
		.n_teams = 120,
		.share = 0.45,
		.arrivals = DFF_ARRIVALS_EVEN,
		.gangs = {4, 8, 16},
		.accelerators = {1, -1},
		.cores = 4,
		.memory_gb = 8,
		.adjacent = true,
		.median_s = 6000,
		.sigma = 0.8,
		.declared_bias = 1.5,
		.declared_sigma = 0.8,
		.urgent = 0.0,
		.guaranteed = 0.2,
		.checkpoint = 0.95,
		.idempotent = 1.0,
		.cancelled = 0.02,
	},
	{
		.service = "forecast",
		.first_team = 0,
		.n_teams = 120,
		.share = 0.248,
		.arrivals = DFF_ARRIVALS_EVEN,
		.gangs = {1, 2, 4},
		.accelerators = {1, -1},
		.cores = 4,
		.memory_gb = 8,
		.adjacent = false,
		.median_s = 10000,
		.sigma = 1.0,
		.declared_bias = 2.0,
		.declared_sigma = 1.0,
		.urgent = 0.0,
		.guaranteed = 0.1,
		.checkpoint = 0.8,
		.idempotent = 0.95,
		.cancelled = 0.02,
	},
	{
		.service = "request",
		.first_team = 0,
		.n_teams = 120,
		.share = 0.002,
		.arrivals = DFF_ARRIVALS_EVEN,
		.gangs = {1},
		.accelerators = {1, -1},
		.cores = 2,
		.memory_gb = 4,
		.adjacent = false,
		.median_s = 400,
		.sigma = 0.8,
		.declared_bias = 2.0,
		.declared_sigma = 0.8,
		.urgent = 0.8,
		.guaranteed = 0.1,
		.checkpoint = 0.2,
		.idempotent = 0.7,
		.cancelled = 0.0,
	},
};

static const struct dff_profile profiles[] = {
	{"tatrinvest", 6, 48, 50, 400, 400, write_tatrinvest, tatrinvest_team_name,
	 tatrinvest_worker_name, tatrinvest_classes, G_N_ELEMENTS (tatrinvest_classes)},
	{"cartucho", 6, 48, 50, 400, 400, write_cartucho, cartucho_team_name, cartucho_worker_name,
	 cartucho_classes, G_N_ELEMENTS (cartucho_classes)},
	{"design", 0, 6, 1800, 1900, 14400, write_design, design_team_name, design_worker_name,
	 design_classes, G_N_ELEMENTS (design_classes)},
};

const struct dff_profile *
dff_profile_find (const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS (profiles); i++) {
		if (strcmp (profiles[i].name, name) == 0)
			return &profiles[i];
	}
	return NULL;
}
