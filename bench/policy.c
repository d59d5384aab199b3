#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/load_pool.h"
#include "bench/policy.h"
#include "bench/replay.h"

/* Replays a session with a policy and prints the figures. */

#define DFF_EXIT_USAGE 2

static const char usage[] =
	"Usage: policy --pool POOL.json --session SESSION.jsonl --policy NAME [--seed N]\n"
	"              [--check] [--jobs FILE]\n"
	"\n"
	"Replays the session under a virtual clock and prints one JSON object.\n"
	"\n"
	"  --pool FILE      pool file\n"
	"  --session FILE   session, one JSON object a line\n"
	"  --policy NAME    fifo, backfill or dragonflyfold\n"
	"  --seed N         seed of the policy's random choices (default: 1)\n"
	"  --check          check the policy's own invariants after every tick\n"
	"  --jobs FILE      write one line of comma-separated values a job\n"
	"  --help           print this text\n";

struct arguments {
	const char *pool;
	const char *session;
	const char *policy;
	const char *jobs;
	uint64_t seed;
	bool check;
};

static bool
parse_seed (const char *text, uint64_t *seed)
{
	char *end = NULL;
	*seed = g_ascii_strtoull (text, &end, 10);
	return g_ascii_isdigit (*text) && *end == '\0';
}

static bool
parse_option (struct arguments *arguments, int option)
{
	switch (option) {
	case 'p':
		arguments->pool = optarg;
		return true;
	case 's':
		arguments->session = optarg;
		return true;
	case 'n':
		arguments->policy = optarg;
		return true;
	case 'j':
		arguments->jobs = optarg;
		return true;
	case 'r':
		return parse_seed (optarg, &arguments->seed);
	case 'c':
		arguments->check = true;
		return true;
	default:
		return false;
	}
}

static bool
parse_arguments (int argc, char **argv, struct arguments *arguments)
{
	static const struct option options[] = {
		{"pool", required_argument, NULL, 'p'},   {"session", required_argument, NULL, 's'},
		{"policy", required_argument, NULL, 'n'}, {"seed", required_argument, NULL, 'r'},
		{"check", no_argument, NULL, 'c'},        {"jobs", required_argument, NULL, 'j'},
		{"help", no_argument, NULL, 'h'},         {0},
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
	return arguments->pool != NULL && arguments->session != NULL && arguments->policy != NULL &&
	       optind == argc;
}

static int
replay (const struct arguments *arguments, const struct dff_replay_options *options)
{
	g_autoptr (GError) error = NULL;
	json_t *figures = dff_replay_run (options, &error);
	if (figures == NULL) {
		fprintf (stderr, "%s: %s\n", arguments->policy, error->message);
		return EXIT_FAILURE;
	}
	json_dumpf (figures, stdout, JSON_PRESERVE_ORDER | JSON_REAL_PRECISION (12));
	fputc ('\n', stdout);
	json_decref (figures);
	return EXIT_SUCCESS;
}

static int
run (const struct arguments *arguments)
{
	g_autoptr (GError) error = NULL;
	DFF_AUTO (dff_pool) pool = dff_load_pool (arguments->pool);
	if (pool == NULL)
		return EXIT_FAILURE;
	DFF_AUTO (dff_session) session = dff_session_load (arguments->session, &error);
	if (session == NULL) {
		fprintf (stderr, "%s\n", error->message);
		return EXIT_FAILURE;
	}
	struct dff_policy policy = {0};
	if (!dff_policy_init (&policy, arguments->policy, pool, arguments->seed)) {
		fprintf (stderr, "--policy: expected fifo, backfill or dragonflyfold\n");
		return DFF_EXIT_USAGE;
	}
	FILE *jobs = arguments->jobs != NULL ? fopen (arguments->jobs, "w") : NULL;
	struct dff_replay_options options = {
		.pool = pool,
		.session = session,
		.policy = &policy,
		.check = arguments->check,
		.jobs_file = jobs,
	};
	int status = replay (arguments, &options);
	if (jobs != NULL && fclose (jobs) != 0)
		status = EXIT_FAILURE;
	policy.free (policy.ctx);
	return status;
}

int
main (int argc, char **argv)
{
	struct arguments arguments = {.seed = 1};
	if (!parse_arguments (argc, argv, &arguments)) {
		fputs (usage, stderr);
		return DFF_EXIT_USAGE;
	}
	return run (&arguments);
}
