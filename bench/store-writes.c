#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "backing/memory.h"
#include "record/recorder.h"

/* Measures the savings of group commit: jobs are accepted through the recorder into the in-memory
 * table, whose calls take 10 to 30 ms, under a virtual clock. Prints one line of Markdown per case:
 * transactions and lookups per job, their highest number in any second, and the time until a job is
 * durable. Deterministic. */

#define SEED 1
#define MAX_COMMITS_PER_S 30
#define N_JOBS 2000
#define TICK_MS 5
#define LIMIT_MS 600000
#define WINDOW_TICKS (1000 / TICK_MS)
#define PERMILLE 1000
#define MS_PER_S 1000

struct job {
	struct bench *bench;
	int64_t arrived_ms;
	int64_t durable_ms;
};

struct bench {
	struct dff_clock_virtual clock;
	struct dff_memory *memory;
	struct dff_memory_handle *caller;
	struct dff_metrics *metrics;
	struct dff_recorder *recorder;
	struct job jobs[N_JOBS];
	int n_arrived;
	int n_durable;
	/** Transactions and lookups received by the end of each tick. */
	GArray *received;
};

struct bench_case {
	/** Jobs per second; 0: all at once. */
	int rate;
	int rows_per_commit;
	int lose_permille;
};

static void
bench_init (struct bench *bench, const struct bench_case *bench_case)
{
	dff_clock_virtual_init (&bench->clock, 0);
	struct dff_memory_options memory_options = {.clock = &bench->clock.clock, .seed = SEED};
	bench->memory = dff_memory_new (&memory_options);
	bench->caller = dff_memory_open (bench->memory);
	bench->caller->faults.delay_min_ms = 10;
	bench->caller->faults.delay_max_ms = 30;
	bench->caller->faults.lose_permille = bench_case->lose_permille;
	bench->metrics = dff_metrics_new ();
	bench->received = g_array_new (FALSE, FALSE, sizeof (int64_t));
	struct dff_recorder_options options;
	dff_recorder_options_init (&options);
	options.table = &bench->caller->table;
	options.clock = &bench->clock.clock;
	options.metrics = bench->metrics;
	options.writer = dff_name_from ("entry-1");
	options.seed = SEED;
	options.max_commits_per_s = MAX_COMMITS_PER_S;
	options.max_rows_per_commit = bench_case->rows_per_commit;
	bench->recorder = dff_recorder_new (&options);
}

static void
bench_clear (struct bench *bench)
{
	dff_memory_close (bench->caller);
	dff_recorder_free (bench->recorder);
	dff_metrics_free (bench->metrics);
	dff_memory_free (bench->memory);
	g_array_unref (bench->received);
}

static void
job_durable (void *user, enum dff_record_outcome outcome, int64_t revision)
{
	(void)revision;
	struct job *job = user;
	if (outcome != DFF_RECORD_COMMITTED) {
		fprintf (stderr, "A job was not recorded.\n");
		exit (EXIT_FAILURE);
	}
	job->durable_ms = job->bench->clock.now_ms;
	job->bench->n_durable++;
}

/* Records a job: its row, and the row of its idempotency key, which must not exist yet. */
static void
accept_job (struct bench *bench)
{
	struct job *job = &bench->jobs[bench->n_arrived];
	job->bench = bench;
	job->arrived_ms = bench->clock.now_ms;
	struct dff_name id = dff_name_printf ("job:zv:%d", bench->n_arrived);
	struct dff_name key = dff_name_printf ("idem:%d", bench->n_arrived);
	struct dff_str id_text = {id.data, id.len};
	struct dff_str key_text = {key.data, key.len};
	struct dff_table_condition condition = {key_text, 0};
	struct dff_table_write rows[] = {
		{id_text, dff_str_from ("{\"state\":\"queued\"}")},
		{key_text, id_text},
	};
	struct dff_record_write write = {
		.conditions = &condition, .n_conditions = 1, .writes = rows, .n_writes = 2};
	dff_recorder_write (bench->recorder, &write, job_durable, job);
	bench->n_arrived++;
}

static int64_t
calls_received (const struct bench *bench)
{
	struct dff_memory_counts counts = dff_memory_counts (bench->memory);
	return counts.commits + counts.lookups;
}

static void
play (struct bench *bench, int rate)
{
	while (bench->n_durable < N_JOBS && bench->clock.now_ms < LIMIT_MS) {
		int64_t due = rate == 0 ? N_JOBS : bench->clock.now_ms * rate / 1000;
		while (bench->n_arrived < MIN (due, N_JOBS))
			accept_job (bench);
		dff_memory_tick (bench->memory);
		dff_recorder_tick (bench->recorder);
		int64_t received = calls_received (bench);
		g_array_append_val (bench->received, received);
		bench->clock.now_ms += TICK_MS;
	}
}

static int64_t
most_in_a_second (const struct bench *bench)
{
	int64_t most = 0;
	for (guint i = 0; i < bench->received->len; i++) {
		int64_t before = i < WINDOW_TICKS ? 0
						  : g_array_index (bench->received, int64_t,
								   i - WINDOW_TICKS);
		most = MAX (most, g_array_index (bench->received, int64_t, i) - before);
	}
	return most;
}

static int
compare_times (const void *a, const void *b)
{
	const int64_t *left = a;
	const int64_t *right = b;
	return (*left > *right) - (*left < *right);
}

static void
print_case (const struct bench *bench, const struct bench_case *bench_case)
{
	static int64_t waits[N_JOBS];
	for (int i = 0; i < N_JOBS; i++)
		waits[i] = bench->jobs[i].durable_ms - bench->jobs[i].arrived_ms;
	qsort (waits, N_JOBS, sizeof (waits[0]), compare_times);
	struct dff_memory_counts counts = dff_memory_counts (bench->memory);
	size_t median = N_JOBS / 2;
	size_t p99 = N_JOBS - N_JOBS / 100;
	double median_ms = (double)waits[median];
	double p99_ms = (double)waits[p99];
	g_autofree char *arrival = bench_case->rate == 0
					   ? g_strdup ("burst")
					   : g_strdup_printf ("%d/s", bench_case->rate);
	printf ("| %s | %d | %.1f %% | %.3f | %.3f | %d | %.2f s | %.2f s |\n", arrival,
		bench_case->rows_per_commit, bench_case->lose_permille * 100.0 / PERMILLE,
		(double)counts.commits / N_JOBS, (double)counts.lookups / N_JOBS,
		(int)most_in_a_second (bench), median_ms / MS_PER_S, p99_ms / MS_PER_S);
}

int
main (void)
{
	static const struct bench_case cases[] = {
		{0, 2, 0},   {0, 16, 0},  {0, 64, 0},   {0, 64, 50},   {20, 2, 0},
		{20, 64, 0}, {100, 2, 0}, {100, 64, 0}, {100, 64, 50}, {400, 64, 0},
	};
	printf ("| %d jobs arrive | rows a commit at most | answers lost | commits a job | lookups "
		"a job | "
		"most in a second | durable after, median | p99 |\n",
		N_JOBS);
	printf ("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		g_autofree struct bench *bench = g_new0 (struct bench, 1);
		bench_init (bench, &cases[i]);
		play (bench, cases[i].rate);
		print_case (bench, &cases[i]);
		bench_clear (bench);
	}
	return EXIT_SUCCESS;
}
