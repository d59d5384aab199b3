#include "bench/profile_pool.h"

#include <glib.h>
#include <stdbool.h>

/* Both present deployments: six racks of eight workers and one of two, eight accelerators each. */
#define DFF_TODAY_RACKS 7
#define DFF_TODAY_RACK_WORKERS 8
#define DFF_TODAY_LAST_WORKERS 2

/* The design size: racks of eight workers with one accelerator each, in a few racks two; the last
 * rack has four workers of each: 1,800 workers, 1,900 accelerators. */
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

/* Writes the digest of the example token "NAME-example-token". */
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
		fprintf (out, "    {\"name\": \"%s\", \"request_timeout_ms\": 30000}%s\n",
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

void
dff_profile_write_tatrinvest (FILE *out)
{
	write_today (out, &tatrinvest_today);
}

void
dff_profile_write_cartucho (FILE *out)
{
	write_today (out, &cartucho_today);
}

void
dff_profile_design_team_name (int index, char *name, size_t size)
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

/* Guarantees are a rack's capacity for two thirds of the teams and half a rack for the rest; the
 * first team is guaranteed a large gang. */
void
dff_profile_write_design (FILE *out)
{
	static const char *const services[] = {"batch",    "training", "review",
					       "forecast", "request",  NULL};
	fputs ("{\n  \"preset\": \"completion\",\n  \"racks\": [\n", out);
	write_design_racks (out);
	fputs ("  ],\n  \"teams\": [\n", out);
	for (int i = 0; i < DFF_DESIGN_TEAMS; i++) {
		char name[16];
		dff_profile_design_team_name (i, name, sizeof (name));
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

void
dff_profile_tatrinvest_team_name (int index, char *name, size_t size)
{
	g_snprintf (name, size, "%s", tatrinvest_today.teams[index].name);
}

void
dff_profile_cartucho_team_name (int index, char *name, size_t size)
{
	g_snprintf (name, size, "%s", cartucho_today.teams[index].name);
}

static void
today_worker_name (const char *prefix, int index, char *name, size_t size)
{
	g_snprintf (name, size, "%s-r%d-w%d", prefix, index / DFF_TODAY_RACK_WORKERS + 1,
		    index % DFF_TODAY_RACK_WORKERS + 1);
}

void
dff_profile_tatrinvest_worker_name (int index, char *name, size_t size)
{
	today_worker_name (tatrinvest_today.prefix, index, name, size);
}

void
dff_profile_cartucho_worker_name (int index, char *name, size_t size)
{
	today_worker_name (cartucho_today.prefix, index, name, size);
}

void
dff_profile_design_worker_name (int index, char *name, size_t size)
{
	g_snprintf (name, size, "r%d-w%d", index / 8 + 1, index % 8 + 1);
}
