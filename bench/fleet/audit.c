#include "bench/fleet/audit.h"

#include <stdio.h>

/** Runs with one tag in the run log. */
struct runs {
	int64_t n_runs;
	/** Runs of the member that ran most often, over all attempts and jobs; of a request: all
	 * runs. */
	int64_t per_member;
	/** Runs of members beyond the first in an attempt. */
	int64_t repeated;
};

/** Runs by tag, and run counts by member and by member and attempt. */
struct run_table {
	/** char * to struct runs. */
	GHashTable *tags;
	/** char * to count. */
	GHashTable *counts;
};

static int64_t
count (struct run_table *table, char *key)
{
	int64_t n = 1 + GPOINTER_TO_SIZE (g_hash_table_lookup (table->counts, key));
	g_hash_table_replace (table->counts, key, GSIZE_TO_POINTER ((gsize)n));
	return n;
}

static struct runs *
runs_of (struct run_table *table, const char *tag)
{
	struct runs *runs = g_hash_table_lookup (table->tags, tag);
	if (runs != NULL)
		return runs;
	runs = g_new0 (struct runs, 1);
	g_hash_table_insert (table->tags, g_strdup (tag), runs);
	return runs;
}

/* Counts one line: "request ID TAG" or "task JOB ATTEMPT MEMBER TAG". */
static void
count_line (struct run_table *table, const char *line)
{
	g_auto (GStrv) words = g_strsplit (line, " ", -1);
	guint n_words = g_strv_length (words);
	if (n_words < 3)
		return;
	const char *tag = words[n_words - 1];
	const char *member = n_words == 5 ? words[3] : "";
	struct runs *runs = runs_of (table, tag);
	int64_t of_member = count (table, g_strconcat (tag, " ", member, NULL));
	runs->n_runs++;
	runs->per_member = MAX (runs->per_member, of_member);
	if (n_words == 5 && count (table, g_strdup (line)) > 1)
		runs->repeated++;
}

static bool
read_log (struct run_table *table, const char *path, int64_t *n_runs)
{
	g_autofree char *text = NULL;
	if (!g_file_get_contents (path, &text, NULL, NULL))
		return false;
	g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
	for (char **line = lines; *line != NULL; line++)
		count_line (table, *line);
	for (char **line = lines; *line != NULL; line++)
		*n_runs += **line != '\0';
	return true;
}

static void
print_fault (const struct fleet_caller *caller, const struct runs *runs, const char *what)
{
	fprintf (stderr, "fleet: %s: %s; verdict %d, job %s %s, %d tries, %d runs\n",
		 caller->tag.data, what, caller->verdict, caller->job.data,
		 caller->job_outcome.data, caller->n_tries, (int)runs->n_runs);
}

static bool
says_not_run (const struct fleet_caller *caller)
{
	return caller->verdict == FLEET_NOT_RUN ||
	       g_str_equal (caller->job_outcome.data, "not_run");
}

static bool
says_done (const struct fleet_caller *caller)
{
	return caller->verdict == FLEET_ANSWERED ||
	       g_str_equal (caller->job_outcome.data, "completed");
}

static void
check_caller (const struct fleet_caller *caller, const struct runs *runs, struct fleet_audit *audit)
{
	bool once = caller->kind == FLEET_ONCE || caller->kind == FLEET_JOB_ONCE;
	if (once && runs->per_member > 1) {
		audit->duplicates++;
		print_fault (caller, runs, "ran more than once");
	}
	if (says_not_run (caller) && runs->n_runs > 0) {
		audit->false_not_run++;
		print_fault (caller, runs, "was said not to have run");
	}
	if (says_done (caller) && runs->n_runs == 0) {
		audit->answered_without_run++;
		print_fault (caller, runs, "was answered without a run");
	}
	if (!once)
		audit->repeated_attempts += runs->repeated;
}

bool
fleet_audit_run (const struct fleet_load *load, const char *run_log, struct fleet_audit *audit)
{
	struct run_table table = {
		.tags = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free),
		.counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
	};
	const struct runs none = {0};
	*audit = (struct fleet_audit){0};
	bool read = read_log (&table, run_log, &audit->runs);
	for (guint i = 0; read && i < load->callers->len; i++) {
		const struct fleet_caller *caller = load->callers->pdata[i];
		const struct runs *runs = g_hash_table_lookup (table.tags, caller->tag.data);
		check_caller (caller, runs == NULL ? &none : runs, audit);
	}
	g_hash_table_unref (table.tags);
	g_hash_table_unref (table.counts);
	return read;
}
