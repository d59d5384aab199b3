#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "bench/fleet/fleet.h"
#include "bench/fleet/load.h"

/* Measures the store's calls under load, and the cost of an idle process: processor time, bytes on
 * its connections to peers, workers and platform, resident memory. */

#define LOADED_MS 30000
#define LOADED_MS_QUICK 15000
#define OVERLOAD_S 8
#define IDLE_MS 20000
#define IDLE_MS_QUICK 10000
#define SETTLE_MS 3000
#define READY_TIMEOUT_MS 30000
#define JOBS_TIMEOUT_MS 60000
#define REQUEST_TIMEOUT_MS 15000
#define BAR_WRITES 300
#define BAR_READS 1000
#define BAR_CPU_PERCENT 1.6
#define BAR_BYTES 6000
#define BAR_MEMORY_MB 128
#define NS_PER_MS 1e6
#define BYTES_PER_MB 1e6

static const char phase[] = "cost";

/** Calls that the platform has received. */
struct store_calls {
	double writes;
	double reads;
	/** Calls that count against the processes' write budgets. */
	double budgeted;
};

static double
sum_of (const json_t *counters, const char *const *names)
{
	double sum = 0;
	for (; *names != NULL; names++)
		sum += (double)json_integer_value (json_object_get (counters, *names));
	return sum;
}

static struct store_calls
read_store (struct fleet *fleet)
{
	static const char *const writes[] = {"commits", "puts", NULL};
	static const char *const budgeted[] = {"commits", "lookups", NULL};
	static const char *const reads[] = {"gets",        "scans", "lookups",
					    "object_gets", "lists", NULL};
	struct fleet_answer answer = fleet_call (fleet, &fleet->options.platform, EVHTTP_REQ_GET,
						 "/admin/counters", "", 0);
	json_t *counters = json_loadb (answer.body->str, answer.body->len, 0, NULL);
	struct store_calls calls = {sum_of (counters, writes), sum_of (counters, reads),
				    sum_of (counters, budgeted)};
	json_decref (counters);
	fleet_answer_clear (&answer);
	return calls;
}

/** Resources that one process has used since its start. */
struct usage {
	double cpu_ms;
	double bytes;
	double memory_mb;
};

static pid_t
pid_of (const struct fleet *fleet, const struct fleet_process *process)
{
	g_autofree char *path =
		g_strdup_printf ("%s/%s.pid", fleet->options.directory, process->name.data);
	g_autofree char *text = NULL;
	if (!g_file_get_contents (path, &text, NULL, NULL))
		return 0;
	return (pid_t)g_ascii_strtoll (text, NULL, 10);
}

static double
cpu_ms_of (pid_t pid)
{
	clockid_t clock;
	struct timespec time;
	if (clock_getcpuclockid (pid, &clock) != 0 || clock_gettime (clock, &time) != 0)
		return NAN;
	return (double)time.tv_sec * 1000 + (double)time.tv_nsec / NS_PER_MS;
}

static double
memory_mb_of (pid_t pid)
{
	g_autofree char *path = g_strdup_printf ("/proc/%d/statm", pid);
	g_autofree char *text = NULL;
	if (!g_file_get_contents (path, &text, NULL, NULL))
		return NAN;
	g_auto (GStrv) words = g_strsplit (text, " ", -1);
	if (g_strv_length (words) < 2)
		return NAN;
	double pages = g_ascii_strtod (words[1], NULL);
	return pages * (double)sysconf (_SC_PAGESIZE) / BYTES_PER_MB;
}

static double
metric (const char *text, const char *name)
{
	g_autofree char *start = g_strdup_printf ("\n%s ", name);
	const char *at = strstr (text, start);
	return at == NULL ? NAN : g_ascii_strtod (at + strlen (start), NULL);
}

static double
bytes_of (struct fleet *fleet, const struct fleet_process *process)
{
	static const char *const names[] = {
		"dff_peer_sent_bytes_total",
		"dff_peer_received_bytes_total",
		"dff_http_client_sent_bytes_total",
		"dff_http_client_received_bytes_total",
	};
	struct fleet_answer answer =
		fleet_call (fleet, &process->address, EVHTTP_REQ_GET, "/metrics", "", 0);
	double bytes = 0;
	for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
		bytes += metric (answer.body->str, names[i]);
	fleet_answer_clear (&answer);
	return bytes;
}

static void
read_usage (struct fleet *fleet, struct usage *usage)
{
	for (int i = 0; i < fleet->n_processes; i++) {
		const struct fleet_process *process = &fleet->processes[i];
		pid_t pid = pid_of (fleet, process);
		usage[i] = (struct usage){
			.cpu_ms = cpu_ms_of (pid),
			.bytes = bytes_of (fleet, process),
			.memory_mb = memory_mb_of (pid),
		};
	}
}

static void
measure_store (struct fleet *fleet)
{
	struct fleet_rates rates = {.idempotent = 60, .once = 30, .jobs = 6, .jobs_once = 2};
	int64_t duration_ms = fleet->options.quick ? LOADED_MS_QUICK : LOADED_MS;
	fleet_load_begin (fleet, phase, &rates, REQUEST_TIMEOUT_MS);
	struct store_calls before = read_store (fleet);
	int64_t begun_ms = fleet_now_ms (fleet);
	fleet_sleep (fleet, duration_ms);
	struct store_calls after = read_store (fleet);
	double seconds = (double)(fleet_now_ms (fleet) - begun_ms) / 1000;
	fleet_load_end (fleet);
	int64_t open = fleet_load_follow_jobs (fleet, JOBS_TIMEOUT_MS);
	fleet_report (fleet, phase, "load, idempotent requests/s", rates.idempotent, -1);
	fleet_report (fleet, phase, "load, at most once requests/s", rates.once, -1);
	fleet_report (fleet, phase, "load, jobs/s", rates.jobs + rates.jobs_once, -1);
	fleet_report (fleet, phase, "store writes/s", (after.writes - before.writes) / seconds,
		      BAR_WRITES);
	fleet_report (fleet, phase, "store reads/s", (after.reads - before.reads) / seconds,
		      BAR_READS);
	fleet_report (fleet, phase, "accepted jobs not ended", (double)open, 0);
	fleet_load_free (fleet);
}

/* Sends more work than the write budget admits: the excess must be refused, and the table's write
 * rate must stay within the limit. */
static void
measure_overload (struct fleet *fleet)
{
	struct fleet_rates rates = {.once = 500, .jobs = 60};
	double highest = 0;
	fleet_load_begin (fleet, "overload", &rates, REQUEST_TIMEOUT_MS);
	for (int second = 0; second < OVERLOAD_S; second++) {
		double before = read_store (fleet).budgeted;
		int64_t begun_ms = fleet_now_ms (fleet);
		fleet_sleep (fleet, 1000);
		double after = read_store (fleet).budgeted;
		double seconds = (double)(fleet_now_ms (fleet) - begun_ms) / 1000;
		highest = fmax (highest, (after - before) / seconds);
	}
	fleet_load_end (fleet);
	int64_t open = fleet_load_follow_jobs (fleet, JOBS_TIMEOUT_MS);
	const struct fleet_load *load = fleet->load;
	fleet_report (fleet, phase, "overload, at most once requests/s", rates.once, -1);
	fleet_report (fleet, phase, "overload, jobs/s", rates.jobs, -1);
	fleet_report (fleet, phase, "overload, requests answered",
		      (double)fleet_load_count (load, FLEET_ONCE, FLEET_ANSWERED), -1);
	fleet_report (fleet, phase, "overload, requests refused as not_run",
		      (double)fleet_load_count (load, FLEET_ONCE, FLEET_NOT_RUN), -1);
	fleet_report (fleet, phase, "overload, table writes in the worst second", highest,
		      BAR_WRITES);
	fleet_report (fleet, phase, "overload, accepted jobs not ended", (double)open, 0);
	fleet_load_free (fleet);
}

/* Reports the highest value of all processes, the holder included. */
static void
report_idle (struct fleet *fleet,
	     const struct usage *before,
	     const struct usage *after,
	     double seconds)
{
	double cpu = 0;
	double bytes = 0;
	double memory = 0;
	for (int i = 0; i < fleet->n_processes; i++) {
		double cpu_ms = after[i].cpu_ms - before[i].cpu_ms;
		double process_bytes = after[i].bytes - before[i].bytes;
		cpu = fmax (cpu, isnan (cpu_ms) ? INFINITY : cpu_ms / 10 / seconds);
		bytes = fmax (bytes, isnan (process_bytes) ? INFINITY : process_bytes / seconds);
		memory = fmax (memory, isnan (after[i].memory_mb) ? INFINITY : after[i].memory_mb);
		fprintf (stderr, "fleet: %s%s idle: %.2f %% of a core, %.0f bytes/s, %.1f MB\n",
			 fleet->processes[i].name.data,
			 i == fleet_holder (fleet) ? " (holder)" : "", cpu_ms / 10 / seconds,
			 process_bytes / seconds, after[i].memory_mb);
	}
	fleet_report (fleet, phase, "idle, highest, % of a core", cpu, BAR_CPU_PERCENT);
	fleet_report (fleet, phase, "idle, highest, bytes/s", bytes, BAR_BYTES);
	fleet_report (fleet, phase, "highest resident memory, MB", memory, BAR_MEMORY_MB);
}

static void
measure_idle (struct fleet *fleet)
{
	struct usage before[FLEET_PROCESSES_MAX];
	struct usage after[FLEET_PROCESSES_MAX];
	fleet->poll_ms = 0;
	fleet_sleep (fleet, SETTLE_MS);
	struct store_calls calls_before = read_store (fleet);
	read_usage (fleet, before);
	int64_t begun_ms = fleet_now_ms (fleet);
	fleet_sleep (fleet, fleet->options.quick ? IDLE_MS_QUICK : IDLE_MS);
	read_usage (fleet, after);
	struct store_calls calls_after = read_store (fleet);
	double seconds = (double)(fleet_now_ms (fleet) - begun_ms) / 1000;
	report_idle (fleet, before, after, seconds);
	fleet_report (fleet, phase, "idle, store writes/s",
		      (calls_after.writes - calls_before.writes) / seconds, -1);
	fleet_report (fleet, phase, "idle, store reads/s",
		      (calls_after.reads - calls_before.reads) / seconds, -1);
}

void
fleet_measure_cost (struct fleet *fleet)
{
	fleet->poll_ms = 1000;
	fleet_wait (fleet, fleet_all_ready, 0, READY_TIMEOUT_MS);
	measure_store (fleet);
	measure_overload (fleet);
	measure_idle (fleet);
	fleet_print_phase (fleet, phase);
}
