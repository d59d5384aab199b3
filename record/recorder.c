#include "record/recorder.h"

#include <string.h>
#include <xxhash.h>

#include "record/recorder_state.h"

#define MAX_COMMITS_PER_S_DEFAULT 30
#define MAX_ROWS_DEFAULT 64
#define MAX_BYTES_DEFAULT (256 << 10)
#define LINGER_MS_DEFAULT 5
#define MAX_WAITING_DEFAULT 4096
#define ANSWER_TIMEOUT_MS_DEFAULT 1500
/** Most groups in flight, including those with an uncertain outcome. */
#define MAX_GROUPS 8
/** Longest writer name that is used in write ids unchanged; a longer one is hashed. */
#define MAX_WRITER_LEN 40
#define MS_PER_S 1000
#define RETRY_AFTER_JITTER_S 3

void
dff_recorder_options_init (struct dff_recorder_options *options)
{
	memset (options, 0, sizeof (*options));
	options->max_commits_per_s = MAX_COMMITS_PER_S_DEFAULT;
	options->max_rows_per_commit = MAX_ROWS_DEFAULT;
	options->max_bytes_per_commit = MAX_BYTES_DEFAULT;
	options->linger_ms = LINGER_MS_DEFAULT;
	options->max_waiting = MAX_WAITING_DEFAULT;
	options->answer_timeout_ms = ANSWER_TIMEOUT_MS_DEFAULT;
}

int64_t
dff_recorder_now_ms (const struct dff_recorder *recorder)
{
	return dff_clock_now_ms (recorder->options.clock);
}

static void
init_counters (struct dff_recorder_counters *counters, struct dff_metrics *metrics)
{
	const struct {
		int64_t **counter;
		const char *name;
		const char *help;
	} all[] = {
		{&counters->writes, "dff_record_writes_total", "Writes given to the recorder"},
		{&counters->done, "dff_record_done_total", "Writes confirmed"},
		{&counters->conflict, "dff_record_conflict_total", "Writes whose condition failed"},
		{&counters->not_done, "dff_record_not_done_total", "Writes ended unwritten"},
		{&counters->refused, "dff_record_refused_total",
		 "Writes refused at once: too many waiting or breaker open"},
		{&counters->abandoned, "dff_record_abandoned_total",
		 "Writes given up by their writer after they were sent"},
		{&counters->commits, "dff_record_commits_total", "Transactions sent"},
		{&counters->rows, "dff_record_rows_total", "Rows in transactions sent"},
		{&counters->lookups, "dff_record_lookups_total", "Write ids looked up"},
		{&counters->conflict_reads, "dff_record_conflict_reads_total",
		 "Reads to find the failed condition of a group"},
		{&counters->uncertain, "dff_record_uncertain_total", "Commits without answer"},
		{&counters->resolved_written, "dff_record_resolved_written_total",
		 "Commits without answer that were found written"},
		{&counters->resolved_absent, "dff_record_resolved_absent_total",
		 "Commits without answer that were found absent and barred"},
		{&counters->breaker_opened, "dff_record_breaker_opened_total",
		 "Times the breaker opened"},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (all); i++)
		*all[i].counter = dff_metrics_counter (metrics, all[i].name, all[i].help);
	counters->breaker_open =
		dff_metrics_gauge (metrics, "dff_record_breaker_open", "1: the breaker is open");
	counters->waiting = dff_metrics_gauge (metrics, "dff_record_waiting", "Writes waiting");
}

/* A write id is this prefix and a number of up to 20 digits; both must fit into a dff_name. */
static struct dff_name
write_id_prefix (const struct dff_name *writer)
{
	if (writer->len <= MAX_WRITER_LEN)
		return *writer;
	return dff_name_printf ("%016" G_GINT64_MODIFIER "x",
				(guint64)XXH3_64bits (writer->data, writer->len));
}

struct dff_recorder *
dff_recorder_new (const struct dff_recorder_options *options)
{
	struct dff_recorder *recorder = g_new0 (struct dff_recorder, 1);
	recorder->options = *options;
	init_counters (&recorder->counters, options->metrics);
	const guint32 seed[] = {(guint32)options->seed, (guint32)(options->seed >> 32)};
	recorder->rand = g_rand_new_with_seed_array (seed, G_N_ELEMENTS (seed));
	dff_budget_init (&recorder->budget, options->max_commits_per_s,
			 dff_clock_now_ms (options->clock));
	dff_breaker_init (&recorder->breaker, recorder->rand);
	recorder->write_id_prefix = write_id_prefix (&options->writer);
	recorder->next_ticket = 1;
	recorder->units = g_hash_table_new (g_int64_hash, g_int64_equal);
	g_queue_init (&recorder->waiting);
	g_queue_init (&recorder->finished);
	recorder->groups = g_ptr_array_new ();
	dff_key_locks_init (&recorder->locks);
	recorder->calls = g_hash_table_new_full (NULL, NULL, g_free, NULL);
	g_queue_init (&recorder->answers);
	return recorder;
}

static void
unit_free (gpointer key, gpointer unit, gpointer user)
{
	(void)key;
	(void)user;
	dff_record_unit_free (unit);
}

void
dff_recorder_free (struct dff_recorder *recorder)
{
	g_hash_table_foreach (recorder->units, unit_free, NULL);
	g_hash_table_unref (recorder->units);
	g_queue_clear (&recorder->waiting);
	g_queue_clear (&recorder->finished);
	for (guint i = 0; i < recorder->groups->len; i++)
		dff_record_group_free (recorder->groups->pdata[i]);
	g_ptr_array_unref (recorder->groups);
	dff_key_locks_clear (&recorder->locks);
	g_queue_clear (&recorder->answers);
	g_hash_table_unref (recorder->calls);
	g_rand_free (recorder->rand);
	g_free (recorder);
}

static void
remove_unit (struct dff_recorder *recorder, struct dff_record_unit *unit)
{
	g_hash_table_remove (recorder->units, &unit->ticket);
	dff_record_unit_free (unit);
}

static void
unlink_waiting (struct dff_recorder *recorder, GList *link)
{
	const struct dff_record_unit *unit = link->data;
	recorder->waiting_rows -= unit->txn->n_writes;
	g_queue_delete_link (&recorder->waiting, link);
}

/* Searches from the head: a unit that is requeued has an older ticket than most queued units. */
static void
insert_waiting (struct dff_recorder *recorder, struct dff_record_unit *unit)
{
	GList *link = recorder->waiting.head;
	while (link != NULL && ((const struct dff_record_unit *)link->data)->ticket < unit->ticket)
		link = link->next;
	g_queue_insert_before (&recorder->waiting, link, unit);
	recorder->waiting_rows += unit->txn->n_writes;
}

void
dff_recorder_finish (struct dff_recorder *recorder,
		     struct dff_record_unit *unit,
		     enum dff_record_outcome outcome,
		     int64_t revision)
{
	int64_t *const counters[] = {
		[DFF_RECORD_COMMITTED] = recorder->counters.done,
		[DFF_RECORD_CONFLICT] = recorder->counters.conflict,
		[DFF_RECORD_NOT_COMMITTED] = recorder->counters.not_done,
	};
	(*counters[outcome])++;
	if (unit->abandoned) {
		remove_unit (recorder, unit);
		return;
	}
	unit->finished = true;
	unit->outcome = outcome;
	unit->revision = revision;
	g_queue_push_tail (&recorder->finished, unit);
}

void
dff_recorder_requeue (struct dff_recorder *recorder, struct dff_record_unit *unit)
{
	bool refused = unit->has_timeout && dff_recorder_is_breaker_open (recorder);
	if (unit->abandoned || refused || dff_recorder_now_ms (recorder) >= unit->expires_ms)
		dff_recorder_finish (recorder, unit, DFF_RECORD_NOT_COMMITTED, 0);
	else
		insert_waiting (recorder, unit);
}

void
dff_recorder_refuse_waiting (struct dff_recorder *recorder)
{
	GList *next = NULL;
	for (GList *link = recorder->waiting.head; link != NULL; link = next) {
		struct dff_record_unit *unit = link->data;
		next = link->next;
		if (!unit->has_timeout)
			continue;
		unlink_waiting (recorder, link);
		(*recorder->counters.refused)++;
		dff_recorder_finish (recorder, unit, DFF_RECORD_NOT_COMMITTED, 0);
	}
}

uint64_t
dff_recorder_write (struct dff_recorder *recorder,
		    const struct dff_record_write *write,
		    dff_record_func done,
		    void *user)
{
	struct dff_record_unit *unit = dff_record_unit_new (
		write, recorder->next_ticket++, dff_recorder_now_ms (recorder), done, user);
	g_hash_table_insert (recorder->units, &unit->ticket, unit);
	(*recorder->counters.writes)++;
	bool full = recorder->waiting.length >= (guint)recorder->options.max_waiting;
	bool refused = unit->has_timeout && dff_recorder_is_breaker_open (recorder);
	if (full || refused || unit->n_bytes > DFF_RECORD_MAX_UNIT_BYTES) {
		(*recorder->counters.refused)++;
		dff_recorder_finish (recorder, unit, DFF_RECORD_NOT_COMMITTED, 0);
		return unit->ticket;
	}
	g_queue_push_tail (&recorder->waiting, unit);
	recorder->waiting_rows += unit->txn->n_writes;
	return unit->ticket;
}

enum dff_abandon_outcome
dff_recorder_abandon (struct dff_recorder *recorder, uint64_t ticket)
{
	struct dff_record_unit *unit = g_hash_table_lookup (recorder->units, &ticket);
	if (unit == NULL || unit->abandoned)
		return DFF_ABANDON_UNKNOWN;
	if (unit->group != NULL) {
		unit->abandoned = true;
		(*recorder->counters.abandoned)++;
		return DFF_ABANDON_UNKNOWN;
	}
	bool written = unit->finished && unit->outcome == DFF_RECORD_COMMITTED;
	if (unit->finished)
		g_queue_remove (&recorder->finished, unit);
	else
		unlink_waiting (recorder, g_queue_find (&recorder->waiting, unit));
	remove_unit (recorder, unit);
	return written ? DFF_ABANDON_UNKNOWN : DFF_ABANDON_NOT_COMMITTED;
}

static void
expire_waiting (struct dff_recorder *recorder)
{
	int64_t now_ms = dff_recorder_now_ms (recorder);
	GList *next = NULL;
	for (GList *link = recorder->waiting.head; link != NULL; link = next) {
		struct dff_record_unit *unit = link->data;
		next = link->next;
		if (now_ms < unit->expires_ms)
			continue;
		unlink_waiting (recorder, link);
		dff_recorder_finish (recorder, unit, DFF_RECORD_NOT_COMMITTED, 0);
	}
}

static bool
is_due (const struct dff_recorder *recorder)
{
	if (recorder->waiting_rows >= (size_t)recorder->options.max_rows_per_commit)
		return true;
	const struct dff_record_unit *oldest = recorder->waiting.head->data;
	return dff_recorder_now_ms (recorder) - oldest->queued_ms >= recorder->options.linger_ms;
}

/* Returns: whether @unit must stay in the queue: one of its keys is in use by a group in flight or
 * by a skipped unit, or the unit is in backoff after a refusal. */
static bool
must_wait (const struct dff_recorder *recorder,
	   const struct dff_key_locks *skipped,
	   const struct dff_record_unit *unit)
{
	return dff_recorder_now_ms (recorder) < unit->not_before_ms ||
	       dff_key_locks_conflict (&recorder->locks, unit->txn) ||
	       dff_key_locks_conflict (skipped, unit->txn);
}

/* Moves queued units into @group in order. A unit stays in the queue if it shares a key with a
 * group in flight or with an earlier unit that stays. */
static void
fill_group (struct dff_recorder *recorder, struct dff_record_group *group)
{
	struct dff_key_locks skipped;
	size_t max_rows = (size_t)recorder->options.max_rows_per_commit;
	size_t max_bytes = (size_t)recorder->options.max_bytes_per_commit;
	dff_key_locks_init (&skipped);
	GList *next = NULL;
	for (GList *link = recorder->waiting.head; link != NULL; link = next) {
		struct dff_record_unit *unit = link->data;
		next = link->next;
		if (must_wait (recorder, &skipped, unit)) {
			dff_key_locks_add (&skipped, unit->txn);
			continue;
		}
		if (!dff_record_group_fits (group, unit, max_rows, max_bytes))
			break;
		unlink_waiting (recorder, link);
		dff_key_locks_add (&recorder->locks, unit->txn);
		dff_record_group_add (group, unit);
	}
	dff_key_locks_clear (&skipped);
}

/* Returns: whether a group was sent. */
static bool
send_group (struct dff_recorder *recorder)
{
	int64_t now_ms = dff_recorder_now_ms (recorder);
	if (g_queue_is_empty (&recorder->waiting) || recorder->groups->len >= MAX_GROUPS ||
	    recorder->breaker.state != DFF_BREAKER_CLOSED || !is_due (recorder) ||
	    !dff_budget_is_available (&recorder->budget, now_ms))
		return false;
	struct dff_name write_id = dff_recorder_next_write_id (recorder);
	struct dff_record_group *group = dff_record_group_new (&write_id);
	fill_group (recorder, group);
	if (group->units->len == 0) {
		dff_record_group_free (group);
		return false;
	}
	dff_budget_take (&recorder->budget, now_ms);
	group->state = DFF_GROUP_SENT;
	group->due_ms = now_ms + recorder->options.answer_timeout_ms;
	g_ptr_array_add (recorder->groups, group);
	dff_recorder_call_commit (recorder, group);
	return true;
}

static void
run_callbacks (struct dff_recorder *recorder)
{
	/* Units that a callback causes to finish wait for the next tick: a writer that writes again
	 * when refused must not block the event loop. */
	guint n = recorder->finished.length;
	for (guint i = 0; i < n; i++) {
		struct dff_record_unit *unit = g_queue_pop_head (&recorder->finished);
		/* An earlier callback may have abandoned this unit. */
		if (unit == NULL)
			return;
		dff_record_func done = unit->done;
		void *user = unit->user;
		enum dff_record_outcome outcome = unit->outcome;
		int64_t revision = unit->revision;
		remove_unit (recorder, unit);
		done (user, outcome, revision);
	}
}

void
dff_recorder_tick (struct dff_recorder *recorder)
{
	dff_recorder_handle_answers (recorder);
	dff_recorder_check_timeouts (recorder);
	expire_waiting (recorder);
	dff_recorder_probe (recorder);
	dff_recorder_send_lookups (recorder);
	while (send_group (recorder))
		;
	dff_recorder_handle_answers (recorder);
	*recorder->counters.waiting = recorder->waiting.length;
	*recorder->counters.breaker_open = dff_recorder_is_breaker_open (recorder);
	run_callbacks (recorder);
}

void
dff_recorder_set_max_commits (struct dff_recorder *recorder, int32_t max_commits_per_s)
{
	dff_budget_set_max (&recorder->budget, max_commits_per_s);
}

bool
dff_recorder_is_breaker_open (const struct dff_recorder *recorder)
{
	return recorder->breaker.state != DFF_BREAKER_CLOSED;
}

int32_t
dff_recorder_retry_after_s (struct dff_recorder *recorder)
{
	int64_t wait_ms = 0;
	if (dff_recorder_is_breaker_open (recorder))
		wait_ms = recorder->breaker.open_until_ms - dff_recorder_now_ms (recorder);
	int32_t wait_s = (int32_t)((MAX (wait_ms, 0) + MS_PER_S - 1) / MS_PER_S);
	return wait_s + g_rand_int_range (recorder->rand, 1, RETRY_AFTER_JITTER_S + 1);
}
