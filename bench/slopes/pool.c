#include "bench/slopes/core_load.h"
#include "bench/slopes/slopes.h"
#include "peer/message.h"

/* The pool file of the whole fleet: its size, and the time to check, parse and apply it in a core,
 * against the number of teams and of workers. */

#define DESIGN_WORKERS 1800
#define DESIGN_TEAMS 120
#define REGIONS 5
#define REPEATS 10

struct pool_axes {
	struct slope_axes size;
	struct slope_axes message;
	struct slope_axes parse;
	struct slope_axes apply;
	struct slope_axes state;
};

#define AXES(dimension)                                                                            \
	{                                                                                          \
		{"pool_file_bytes_by_" dimension, dimension, "bytes of the file"},                 \
			{"pool_message_bytes_by_" dimension, dimension, "bytes to a member"},      \
			{"pool_parse_us_by_" dimension, dimension, "us to parse and check"},       \
			{"pool_apply_us_by_" dimension, dimension, "us to put in force"},          \
			{"pool_state_bytes_by_" dimension, dimension, "bytes of the parsed file"}, \
	}

static double
message_bytes (struct dff_str file)
{
	struct dff_message message = {
		.sender = dff_name_from ("entry-1"),
		.kind = DFF_MESSAGE_POOL_FILE,
		.pool_file = {.generation = 1, .revision = 12345, .text = file},
	};
	g_autoptr (GByteArray) bytes = dff_message_encode (&message);
	return bytes->len;
}

static void
measure (struct slopes *slopes,
	 const struct pool_axes *axes,
	 const struct core_load_size *size,
	 double x)
{
	g_autoptr (GString) text = core_load_pool_text (size);
	struct dff_str file = {text->str, text->len};
	DFF_AUTO (core_load) load = core_load_new (size);
	double parse_us = 0;
	double apply_us = 0;
	double state_bytes = 0;
	for (int i = 0; i < REPEATS; i++) {
		int64_t heap = slopes_heap_bytes ();
		double start = slopes_cpu_us ();
		DFF_AUTO (dff_pool) pool = dff_pool_parse (file, "pool", NULL, NULL);
		double parsed = slopes_cpu_us ();
		state_bytes += (double)(slopes_heap_bytes () - heap) / REPEATS;
		dff_core_set_pool (load->core, pool, load->now_ms);
		apply_us += (slopes_cpu_us () - parsed) / REPEATS;
		parse_us += (parsed - start) / REPEATS;
	}
	slopes_add (slopes, &axes->size, x, (double)text->len);
	slopes_add (slopes, &axes->message, x, message_bytes (file));
	slopes_add (slopes, &axes->parse, x, parse_us);
	slopes_add (slopes, &axes->apply, x, apply_us);
	slopes_add (slopes, &axes->state, x, state_bytes);
}

void
slopes_pool (struct slopes *slopes)
{
	static const struct pool_axes by_teams = AXES ("teams");
	static const struct pool_axes by_workers = AXES ("workers");
	static const int teams[] = {4, 15, 30, 60, 120};
	static const int workers[] = {50, 200, 360, 900, 1800};
	for (size_t i = 0; i < G_N_ELEMENTS (teams); i++) {
		struct core_load_size size = {DESIGN_WORKERS, teams[i], REGIONS};
		measure (slopes, &by_teams, &size, teams[i]);
	}
	for (size_t i = 0; i < G_N_ELEMENTS (workers); i++) {
		struct core_load_size size = {workers[i], DESIGN_TEAMS, 1};
		measure (slopes, &by_workers, &size, workers[i]);
	}
}
