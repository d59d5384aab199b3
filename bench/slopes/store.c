#include <stdio.h>

#include "bench/slopes/site.h"
#include "bench/slopes/slopes.h"

/* Store calls and bytes of idle daemons, jobs, short requests and pool changes, through daemons set
 * up as by `dragonflyfold serve`. The reads and writes of idle daemons are subtracted from those
 * under work. The clock is real, so the reads vary a little between runs. */

#define IDLE_MS 2000
#define WORKERS 8
#define DAEMONS 3
#define TEAMS 4
#define SPACING_MS 20
/* Must be longer than the interval at which daemons poll the pool's row. */
#define POOL_SPACING_MS 1200
#define POOL_CHANGES 4
#define POOL_TEAMS 120
#define SETTLE_MS 1000

struct usage {
	double reads;
	double commits;
	double rows;
	/** Bytes with TCP and IP headers, and without. */
	double wire_bytes;
	double payload_bytes;
};

static struct usage
usage_now (const struct site *site)
{
	struct dff_memory_counts counts = site_store_counts (site);
	struct usage usage = {
		.reads = (double)(counts.gets + counts.scans + counts.lookups + counts.lists +
				  counts.object_gets),
		.commits = (double)(counts.commits + counts.puts),
		.rows = (double)counts.rows_written,
		.wire_bytes = (double)site_platform_traffic (site).wire_bytes,
		.payload_bytes = (double)site_platform_traffic (site).bytes,
	};
	return usage;
}

static struct usage
usage_between (const struct usage *before, const struct usage *after, double share)
{
	return (struct usage){
		.reads = (after->reads - before->reads) * share,
		.commits = (after->commits - before->commits) * share,
		.rows = (after->rows - before->rows) * share,
		.wire_bytes = (after->wire_bytes - before->wire_bytes) * share,
		.payload_bytes = (after->payload_bytes - before->payload_bytes) * share,
	};
}

/** Returns: usage without work, scaled to @ms. */
static struct usage
usage_idle (struct site *site, double ms)
{
	struct usage before = usage_now (site);
	site_run (site, IDLE_MS);
	struct usage after = usage_now (site);
	return usage_between (&before, &after, ms / IDLE_MS);
}

static void
idle_daemons (struct slopes *slopes)
{
	static const struct slope_axes reads = {"store_idle_reads_per_s", "daemons", "reads/s"};
	static const struct slope_axes writes = {"store_idle_commits_per_s", "daemons",
						 "commits/s"};
	static const struct slope_axes bytes = {"store_idle_bytes_per_s", "daemons", "bytes/s"};
	static const struct slope_axes payload = {"store_idle_payload_bytes_per_s", "daemons",
						  "bytes/s without TCP"};
	static const struct slope_axes cpu = {"store_idle_cpu_percent", "daemons", "% of a core"};
	static const int sizes[] = {1, 3, 5, 7, 9};
	for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++) {
		struct site_options options = {sizes[i], WORKERS, 0, TEAMS};
		DFF_AUTO (site) site = site_new (&options);
		site_run (site, SETTLE_MS);
		double start_us = slopes_cpu_us ();
		struct usage idle = usage_idle (site, 1000);
		double spent_us = slopes_cpu_us () - start_us;
		slopes_add (slopes, &reads, sizes[i], idle.reads);
		slopes_add (slopes, &writes, sizes[i], idle.commits);
		slopes_add (slopes, &bytes, sizes[i], idle.wire_bytes);
		slopes_add (slopes, &payload, sizes[i], idle.payload_bytes);
		slopes_add (slopes, &cpu, sizes[i], spent_us / (IDLE_MS * 1e3) * 100);
	}
}

/** Measures bytes of one idle daemon against the listed workers and the teams. */
static void
idle_bytes (struct slopes *slopes)
{
	static const struct slope_axes listed = {"store_bytes_per_s_by_listed", "workers listed",
						 "bytes/s of one idle daemon"};
	static const struct slope_axes teams = {"store_bytes_per_s_by_teams", "teams",
						"bytes/s of one idle daemon"};
	static const int workers[] = {50, 200, 360, 900, 1800};
	static const int team_sizes[] = {4, 15, 30, 60, 120};
	for (size_t i = 0; i < G_N_ELEMENTS (workers); i++) {
		struct site_options options = {1, 0, workers[i], TEAMS};
		DFF_AUTO (site) site = site_new (&options);
		site_run (site, SETTLE_MS);
		slopes_add (slopes, &listed, workers[i], usage_idle (site, 1000).wire_bytes);
	}
	for (size_t i = 0; i < G_N_ELEMENTS (team_sizes); i++) {
		struct site_options options = {1, 0, 360, team_sizes[i]};
		DFF_AUTO (site) site = site_new (&options);
		site_run (site, SETTLE_MS);
		slopes_add (slopes, &teams, team_sizes[i], usage_idle (site, 1000).wire_bytes);
	}
}

struct work {
	const char *what;
	struct slope_axes reads;
	struct slope_axes commits;
	struct slope_axes rows;
	void (*send) (struct site *site, int index);
};

static void
send_job (struct site *site, int index)
{
	g_autofree char *key = g_strdup_printf ("job-%d", index);
	struct site_call call = {
		.method = EVHTTP_REQ_POST,
		.path = "/v1/jobs",
		.token = "team-1",
		.idempotency_key = key,
		.idempotent = true,
		.body = "{\"service\": \"batch\", \"payload\": {\"run_ms\": 50}}",
	};
	site_send (site, &call);
}

static void
send_request (struct site *site, bool idempotent, int index)
{
	g_autofree char *key = g_strdup_printf ("request-%d", index);
	struct site_call call = {
		.method = EVHTTP_REQ_POST,
		.path = "/v1/services/batch/requests",
		.token = "team-1",
		.idempotency_key = key,
		.idempotent = idempotent,
		.body = "{\"work_ms\": 1, \"answer_bytes\": 100}",
	};
	site_send (site, &call);
}

static void
send_idempotent_request (struct site *site, int index)
{
	send_request (site, true, index);
}

static void
send_other_request (struct site *site, int index)
{
	send_request (site, false, index);
}

static void
send_pool (struct site *site, int index)
{
	g_autoptr (GString) text = site_pool_text (site);
	g_autofree char *generation = g_strdup_printf ("\"%d\"", index + 1);
	/* Each file must differ: the same file again counts as the same application. */
	for (int i = 0; i <= index; i++)
		g_string_append_c (text, '\n');
	struct site_call call = {
		.method = EVHTTP_REQ_PUT,
		.path = "/v1/pool",
		.token = "operator",
		.generation = generation,
		.idempotent = true,
		.body = text->str,
	};
	site_send (site, &call);
	site_wait (site);
}

#define WORK(kind, label, send)                                                                    \
	{                                                                                          \
		label, {"store_reads_by_" kind, label, "reads"},                                   \
			{"store_commits_by_" kind, label, "commits and puts"},                     \
			{"store_rows_by_" kind, label, "rows written"}, send,                      \
	}

static const struct work works[] = {
	WORK ("jobs", "jobs", send_job),
	WORK ("requests", "idempotent requests", send_idempotent_request),
	WORK ("other_requests", "non-idempotent requests", send_other_request),
	WORK ("pool_changes", "pool changes", send_pool),
};

/** Sends @n calls of @work, numbered from @first. */
static void
send_work (struct slopes *slopes, struct site *site, const struct work *work, int first, int n)
{
	struct usage before = usage_now (site);
	int64_t start_us = g_get_monotonic_time ();
	for (int i = first; i < first + n; i++) {
		work->send (site, i);
		site_run (site, SPACING_MS);
	}
	struct site_answers answers = site_wait (site);
	if (answers.good != answers.all)
		g_error ("%s: %d of %d answers are good", work->what, answers.good, answers.all);
	site_run (site, SETTLE_MS);
	struct usage after = usage_now (site);
	double took_ms = (double)(g_get_monotonic_time () - start_us) / 1e3;
	struct usage idle = usage_idle (site, took_ms);
	struct usage all = usage_between (&before, &after, 1);
	slopes_add (slopes, &work->reads, n, all.reads - idle.reads);
	slopes_add (slopes, &work->commits, n, all.commits - idle.commits);
	slopes_add (slopes, &work->rows, n, all.rows - idle.rows);
}

/** Measures bytes of one change of a large pool against the number of daemons. */
static void
pool_bytes (struct slopes *slopes)
{
	static const struct slope_axes bytes = {"store_bytes_of_pool_change_by_daemons", "daemons",
						"wire bytes a pool change"};
	static const int sizes[] = {1, 3, 5, 7, 9};
	for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++) {
		struct site_options options = {sizes[i], 0, 360, POOL_TEAMS};
		DFF_AUTO (site) site = site_new (&options);
		site_run (site, SETTLE_MS);
		double idle = usage_idle (site, POOL_SPACING_MS).wire_bytes;
		struct usage before = usage_now (site);
		int64_t start_us = g_get_monotonic_time ();
		for (int change = 0; change < POOL_CHANGES; change++) {
			send_pool (site, change);
			site_run (site, POOL_SPACING_MS);
		}
		double took_ms = (double)(g_get_monotonic_time () - start_us) / 1e3;
		struct usage after = usage_now (site);
		double all = after.wire_bytes - before.wire_bytes;
		double rest = idle * took_ms / POOL_SPACING_MS;
		slopes_add (slopes, &bytes, sizes[i], (all - rest) / POOL_CHANGES);
	}
}

void
slopes_store (struct slopes *slopes)
{
	static const int sizes[] = {4, 8, 16, 32, 64};
	idle_daemons (slopes);
	idle_bytes (slopes);
	pool_bytes (slopes);
	for (size_t i = 0; i < G_N_ELEMENTS (works); i++) {
		struct site_options options = {DAEMONS, WORKERS, 0, TEAMS};
		DFF_AUTO (site) site = site_new (&options);
		site_run (site, SETTLE_MS);
		int first = 0;
		for (size_t j = 0; j < G_N_ELEMENTS (sizes); j++) {
			send_work (slopes, site, &works[i], first, sizes[j]);
			first += sizes[j];
		}
	}
}
