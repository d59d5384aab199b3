#include <getopt.h>
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/profile.h"

/* Writes a pool file or a seeded session for a deployment. The same arguments give the same bytes.
 */

#define DFF_EXIT_USAGE 2
#define DFF_HOUR_S 3600.0
/* Working hours are 7 to 19 o'clock; other hours get a sixth of the arrivals of a working hour. */
#define DFF_DAY_FIRST_HOUR 7
#define DFF_DAY_LAST_HOUR 19
#define DFF_NIGHT_DENSITY (1.0 / 6.0)
#define DFF_EVENING_HOUR 19
#define DFF_EVENING_HOURS 10
#define DFF_BURSTS_A_NIGHT 3
#define DFF_BURST_S 600.0
#define DFF_ACTUAL_MIN_S 5.0
/* Longest run, as a multiple of the median: one extreme job must not be a class's whole share. */
#define DFF_ACTUAL_MAX_MEDIANS 20.0
/* Share of jobs that were declared with a round default instead of a guess. */
#define DFF_DEFAULT_DECLARED 0.1
#define DFF_DEFAULT_DECLARED_S 3600.0
#define DFF_FAILURE_EVERY_H 8
#define DFF_REPAIR_S 1800.0
#define DFF_NEVER_RUNNABLE_JOBS 3

static const char usage[] =
	"Usage: generate --deployment NAME --pool\n"
	"       generate --deployment NAME --load L [--seed N] [--hours H]\n"
	"\n"
	"Writes a pool file, or a session that offers L times the pool's accelerators.\n"
	"\n"
	"  --deployment NAME  tatrinvest, cartucho or design\n"
	"  --pool             write the pool file\n"
	"  --load L           offered load, more than 0, at most 10\n"
	"  --seed N           seed (default: 1)\n"
	"  --hours H          length of the session (default: the deployment's)\n"
	"  --help             print this text\n";

struct line {
	double time_s;
	char *text;
};

struct generator {
	const struct dff_profile *profile;
	GRand *random;
	double span_s;
	int next_id;
	/** Starts of the bursts. Elements: double. */
	GArray *bursts;
	GArray *lines; /**< Elements: struct line. */
};

G_GNUC_PRINTF (3, 4)
static void
add_line (struct generator *generator, double time_s, const char *format, ...)
{
	va_list args;
	va_start (args, format);
	g_autofree char *rest = g_strdup_vprintf (format, args);
	va_end (args);
	struct line line = {
		.time_s = time_s,
		.text = g_strdup_printf ("{\"t\":%.3f,%s}", time_s, rest),
	};
	g_array_append_val (generator->lines, line);
}

static double
uniform (struct generator *generator)
{
	return g_rand_double (generator->random);
}

static bool
chance (struct generator *generator, double share)
{
	return uniform (generator) < share;
}

/* Box-Muller. */
static double
normal (struct generator *generator)
{
	double radius = sqrt (-2.0 * log (1.0 - uniform (generator)));
	return radius * cos (2.0 * G_PI * uniform (generator));
}

static int
pick (struct generator *generator, const int *values, int end)
{
	int n = 0;
	while (values[n] != end)
		n++;
	return values[g_rand_int_range (generator->random, 0, n)];
}

static double
hour_of (const struct generator *generator, double time_s)
{
	return fmod (generator->profile->start_hour + time_s / DFF_HOUR_S, 24.0);
}

static double
density (const struct generator *generator, enum dff_arrivals arrivals, double time_s)
{
	double hour = hour_of (generator, time_s);
	if (arrivals == DFF_ARRIVALS_DAY) {
		bool day = hour >= DFF_DAY_FIRST_HOUR && hour < DFF_DAY_LAST_HOUR;
		return day ? 1.0 : DFF_NIGHT_DENSITY;
	}
	if (arrivals == DFF_ARRIVALS_EVENING)
		return fmod (hour - DFF_EVENING_HOUR + 24.0, 24.0) < DFF_EVENING_HOURS ? 1.0 : 0.0;
	return 1.0;
}

static double
arrival (struct generator *generator, enum dff_arrivals arrivals)
{
	if (arrivals == DFF_ARRIVALS_START)
		return 0.0;
	if (arrivals == DFF_ARRIVALS_BURSTS && generator->bursts->len > 0) {
		int burst = g_rand_int_range (generator->random, 0, (gint32)generator->bursts->len);
		return g_array_index (generator->bursts, double, burst) +
		       DFF_BURST_S * uniform (generator);
	}
	/* A short session may contain no hour in which the class arrives: then any time is used. */
	for (int i = 0; i < 1000; i++) {
		double time_s = generator->span_s * uniform (generator);
		if (chance (generator, density (generator, arrivals, time_s)))
			return time_s;
	}
	return generator->span_s * uniform (generator);
}

static void
plan_bursts (struct generator *generator)
{
	int nights = (int)ceil (generator->span_s / (24.0 * DFF_HOUR_S));
	double first_night_s =
		fmod (DFF_EVENING_HOUR - generator->profile->start_hour + 24.0, 24.0) * DFF_HOUR_S;
	for (int night = 0; night < nights; night++) {
		for (int i = 0; i < DFF_BURSTS_A_NIGHT; i++) {
			double at_s = first_night_s + night * 24.0 * DFF_HOUR_S +
				      uniform (generator) * 10.0 * DFF_HOUR_S;
			if (at_s + DFF_BURST_S < generator->span_s)
				g_array_append_val (generator->bursts, at_s);
		}
	}
}

static const char *
json_flag (bool flag)
{
	return flag ? "true" : "false";
}

static double
draw_actual_s (struct generator *generator, const struct dff_profile_class *class)
{
	double actual_s = class->median_s * exp (class->sigma * normal (generator));
	return CLAMP (actual_s, DFF_ACTUAL_MIN_S, class->median_s * DFF_ACTUAL_MAX_MEDIANS);
}

static double
draw_declared_s (struct generator *generator,
		 const struct dff_profile_class *class,
		 double actual_s)
{
	if (chance (generator, DFF_DEFAULT_DECLARED))
		return DFF_DEFAULT_DECLARED_S;
	double spread = exp (class->declared_sigma * normal (generator));
	return MAX (round (actual_s * class->declared_bias * spread), 1.0);
}

/* Returns: the accelerator-seconds of the job; slot-seconds for a job without accelerators. */
static double
add_job (struct generator *generator, const struct dff_profile_class *class)
{
	char team[32];
	int gang = pick (generator, class->gangs, 0);
	int accelerators = pick (generator, class->accelerators, -1);
	int team_index =
		class->first_team + g_rand_int_range (generator->random, 0, class->n_teams);
	double time_s = arrival (generator, class->arrivals);
	double actual_s = draw_actual_s (generator, class);
	double declared_s = draw_declared_s (generator, class, actual_s);
	int id = ++generator->next_id;
	generator->profile->team_name (team_index, team, sizeof (team));
	bool urgent = chance (generator, class->urgent);
	bool guaranteed = chance (generator, class->guaranteed);
	bool checkpoint = chance (generator, class->checkpoint);
	bool idempotent = chance (generator, class->idempotent);
	add_line (generator, time_s,
		  "\"event\":\"submit\",\"id\":\"j%d\",\"team\":\"%s\",\"service\":\"%s\","
		  "\"gang\":%d,\"accelerators\":%d,\"slots\":1,\"cores\":%d,\"memory_gb\":%d,"
		  "\"adjacent\":%s,\"urgent\":%s,\"guaranteed\":%s,\"declared_s\":%.3f,"
		  "\"actual_s\":%.3f,\"checkpoint\":%s,\"idempotent\":%s",
		  id, team, class->service, gang, accelerators, class->cores, class->memory_gb,
		  json_flag (class->adjacent), json_flag (urgent), json_flag (guaranteed),
		  declared_s, actual_s, json_flag (checkpoint), json_flag (idempotent));
	if (chance (generator, class->cancelled))
		add_line (generator, time_s + uniform (generator) * actual_s,
			  "\"event\":\"cancel\",\"id\":\"j%d\"", id);
	return gang * MAX (accelerators, 1) * actual_s;
}

/* Adds jobs until the class has its share of the offered load. */
static void
add_class (struct generator *generator, const struct dff_profile_class *class, double load)
{
	const struct dff_profile *profile = generator->profile;
	bool slots_only = class->accelerators[0] == 0;
	double target = class->share * generator->span_s;
	target *= slots_only ? profile->n_slots - profile->n_accelerators
			     : load * profile->n_accelerators;
	double offered = 0.0;
	while (offered < target)
		offered += add_job (generator, class);
}

static void
add_failures (struct generator *generator)
{
	static const char *const events[] = {"worker_down", "worker_leaving",
					     "worker_fails_everything"};
	int failures = (int)(generator->span_s / DFF_HOUR_S) / DFF_FAILURE_EVERY_H;
	for (int i = 0; i < failures; i++) {
		char worker[32];
		double time_s = uniform (generator) * generator->span_s;
		int index = g_rand_int_range (generator->random, 0, generator->profile->n_workers);
		generator->profile->worker_name (index, worker, sizeof (worker));
		add_line (generator, time_s, "\"event\":\"%s\",\"worker\":\"%s\"",
			  events[i % (int)G_N_ELEMENTS (events)], worker);
		add_line (generator, time_s + DFF_REPAIR_S,
			  "\"event\":\"worker_up\",\"worker\":\"%s\"", worker);
	}
}

static void
add_never_runnable (struct generator *generator)
{
	char team[32];
	generator->profile->team_name (0, team, sizeof (team));
	for (int i = 0; i < DFF_NEVER_RUNNABLE_JOBS; i++) {
		add_line (generator, uniform (generator) * generator->span_s,
			  "\"event\":\"submit\",\"id\":\"n%d\",\"team\":\"%s\",\"gang\":1,"
			  "\"accelerators\":65,\"adjacent\":true,\"declared_s\":60,\"actual_s\":60",
			  i + 1, team);
	}
}

static int
compare_lines (gconstpointer a, gconstpointer b)
{
	double left = ((const struct line *)a)->time_s;
	double right = ((const struct line *)b)->time_s;
	return left < right ? -1 : left > right;
}

static void
line_clear (gpointer line)
{
	g_free (((struct line *)line)->text);
}

static void
write_session (const struct dff_profile *profile, double load, guint32 seed, double hours)
{
	struct generator generator = {
		.profile = profile,
		.random = g_rand_new_with_seed (seed),
		.span_s = hours * DFF_HOUR_S,
		.bursts = g_array_new (FALSE, FALSE, sizeof (double)),
		.lines = g_array_new (FALSE, FALSE, sizeof (struct line)),
	};
	g_array_set_clear_func (generator.lines, line_clear);
	plan_bursts (&generator);
	for (int i = 0; i < profile->n_classes; i++)
		add_class (&generator, &profile->classes[i], load);
	add_failures (&generator);
	add_never_runnable (&generator);
	g_array_sort (generator.lines, compare_lines);
	for (guint i = 0; i < generator.lines->len; i++)
		puts (g_array_index (generator.lines, struct line, i).text);
	g_array_unref (generator.lines);
	g_array_unref (generator.bursts);
	g_rand_free (generator.random);
}

struct arguments {
	const struct dff_profile *profile;
	bool pool;
	double load, hours;
	guint32 seed;
};

static bool
parse_number (const char *text, double max, double *number)
{
	char *end = NULL;
	*number = g_ascii_strtod (text, &end);
	return end != text && *end == '\0' && *number > 0.0 && *number <= max;
}

static bool
parse_option (struct arguments *arguments, int option)
{
	double number = 0.0;
	switch (option) {
	case 'd':
		arguments->profile = dff_profile_find (optarg);
		return arguments->profile != NULL;
	case 'p':
		arguments->pool = true;
		return true;
	case 'l':
		return parse_number (optarg, 10.0, &arguments->load);
	case 't':
		return parse_number (optarg, 10000.0, &arguments->hours);
	case 's':
		if (!parse_number (optarg, G_MAXUINT32, &number))
			return false;
		arguments->seed = (guint32)number;
		return true;
	default:
		return false;
	}
}

static bool
parse_arguments (int argc, char **argv, struct arguments *arguments)
{
	static const struct option options[] = {
		{"deployment", required_argument, NULL, 'd'},
		{"pool", no_argument, NULL, 'p'},
		{"load", required_argument, NULL, 'l'},
		{"seed", required_argument, NULL, 's'},
		{"hours", required_argument, NULL, 't'},
		{"help", no_argument, NULL, 'h'},
		{0},
	};
	int option;
	while ((option = getopt_long (argc, argv, "", options, NULL)) != -1) {
		if (option == 'h') {
			fputs (usage, stdout);
			exit (EXIT_SUCCESS);
		}
		if (!parse_option (arguments, option))
			return false;
	}
	bool session = arguments->load > 0.0;
	return arguments->profile != NULL && session != arguments->pool && optind == argc;
}

int
main (int argc, char **argv)
{
	struct arguments arguments = {.seed = 1};
	if (!parse_arguments (argc, argv, &arguments)) {
		fputs (usage, stderr);
		return DFF_EXIT_USAGE;
	}
	if (arguments.pool) {
		arguments.profile->write_pool (stdout);
		return EXIT_SUCCESS;
	}
	double hours = arguments.hours > 0.0 ? arguments.hours : arguments.profile->hours;
	write_session (arguments.profile, arguments.load, arguments.seed, hours);
	return EXIT_SUCCESS;
}
