#ifndef DFF_TESTS_FAKE_WORKER_H
#define DFF_TESTS_FAKE_WORKER_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "common/clock.h"
#include "upstream/worker_client.h"

/* Workers in memory, and links to them whose messages are delayed, lost, doubled or cut off. What
 * ran is noted outside of the workers, so that it survives their restarts. */

#define FAKE_CALL_TIMEOUT_MS 500

struct fake_task {
	struct dff_task_report report;
	int64_t lease_until_ms;
	int64_t ends_ms;
};

struct fake_worker {
	struct dff_name name;
	/** Elements: struct fake_task. */
	GArray *tasks;
	int64_t incarnation;
	int64_t epoch;
	bool down;
	bool leaving;
	bool refuses_starts;
};

struct fake_fleet {
	const struct dff_clock *clock;
	GRand *rand;
	struct fake_worker *workers;
	int n_workers;
	bool checks_epochs;
	int32_t run_ms;
	/** Elements: struct fake_message *. */
	GPtrArray *messages;
	/** Runs and holds noted so far. */
	int n_notes;
	/** struct dff_task_id to the times it began to run. */
	GHashTable *runs;
	/** The same, of members that were held or ran. */
	GHashTable *held;
	/** Epoch to the link that used it. */
	GHashTable *epochs;
};

/** One process's way to the workers. */
struct fake_link {
	struct dff_worker_client client;
	struct fake_fleet *fleet;
	bool closed;
	/** Its process stands still: answers wait. */
	bool paused;
	/** Bit i: worker i cannot be reached. */
	uint64_t cut;
	int32_t delay_max_ms;
	int32_t lose_permille;
	int32_t double_permille;
	/** The next so many calls are carried out and their answers lost. */
	int32_t lose_answers;
};

enum fake_verb {
	FAKE_START,
	FAKE_RELEASE,
	FAKE_CHECKPOINT,
	FAKE_STOP,
	FAKE_QUERY,
};

struct fake_message {
	struct fake_link *link;
	enum fake_verb verb;
	int worker;
	/** Of the worker when it was sent: a connection does not outlive a restart. */
	int64_t incarnation;
	struct dff_task_id task;
	int64_t epoch;
	bool held;
	int32_t lease_ms;
	/** Cut off before anything was sent, and the sender knows. */
	bool unsent;
	/** INT64_MAX: does not arrive, or is not answered. */
	int64_t arrives_ms;
	int64_t answered_ms;
	int64_t gives_up_ms;
	/** NULL: answered already, or a double. */
	dff_worker_func done;
	void *user;
	struct dff_worker_result result;
	GArray *reports;
};

static inline guint
fake_task_hash (gconstpointer key)
{
	const struct dff_task_id *task = key;
	return dff_name_hash (&task->job) + (guint)task->attempt * 1009 + (guint)task->member;
}

static inline gboolean
fake_task_equal (gconstpointer a, gconstpointer b)
{
	const struct dff_task_id *left = a;
	const struct dff_task_id *right = b;
	return left->attempt == right->attempt && left->member == right->member &&
	       dff_name_equal (&left->job, &right->job);
}

static inline int
fake_count (GHashTable *table, const struct dff_task_id *task)
{
	return GPOINTER_TO_INT (g_hash_table_lookup (table, task));
}

static inline void
fake_note (GHashTable *table, const struct dff_task_id *task)
{
	int count = fake_count (table, task) + 1;
	g_hash_table_replace (table, g_memdup2 (task, sizeof (*task)), GINT_TO_POINTER (count));
}

static inline struct fake_task *
fake_find (struct fake_worker *worker, const struct dff_task_id *id)
{
	for (guint i = 0; i < worker->tasks->len; i++) {
		struct fake_task *task = &g_array_index (worker->tasks, struct fake_task, i);
		if (fake_task_equal (&task->report.task, id))
			return task;
	}
	return NULL;
}

static inline struct fake_task *
fake_add (struct fake_worker *worker, const struct dff_task_id *id, enum dff_task_state state)
{
	struct fake_task task = {.report.task = *id, .report.state = state};
	g_array_append_val (worker->tasks, task);
	return &g_array_index (worker->tasks, struct fake_task, worker->tasks->len - 1);
}

static inline void
fake_run (struct fake_fleet *fleet, struct fake_task *task)
{
	task->report.state = DFF_TASK_RUNNING;
	task->report.ran = true;
	task->ends_ms = dff_clock_now_ms (fleet->clock) + fleet->run_ms;
	fleet->n_notes++;
	fake_note (fleet->runs, &task->report.task);
}

static inline enum dff_worker_outcome
fake_start (struct fake_fleet *fleet, struct fake_worker *worker, const struct fake_message *m)
{
	struct fake_task *task = fake_find (worker, &m->task);
	if (task != NULL)
		return task->report.state == DFF_TASK_REFUSED ? DFF_WORKER_REFUSED : DFF_WORKER_OK;
	if (worker->refuses_starts)
		return DFF_WORKER_REFUSED;
	task = fake_add (worker, &m->task, DFF_TASK_HELD);
	task->lease_until_ms = dff_clock_now_ms (fleet->clock) + m->lease_ms;
	fake_note (fleet->held, &m->task);
	if (!m->held)
		fake_run (fleet, task);
	return DFF_WORKER_OK;
}

static inline enum dff_worker_outcome
fake_release (struct fake_fleet *fleet, struct fake_worker *worker, const struct fake_message *m)
{
	struct fake_task *task = fake_find (worker, &m->task);
	if (task == NULL)
		return DFF_WORKER_REFUSED;
	if (task->report.state == DFF_TASK_HELD)
		fake_run (fleet, task);
	return task->report.ran ? DFF_WORKER_OK : DFF_WORKER_REFUSED;
}

static inline enum dff_worker_outcome
fake_stop (struct fake_worker *worker, const struct fake_message *m)
{
	struct fake_task *task = fake_find (worker, &m->task);
	if (task == NULL)
		fake_add (worker, &m->task, DFF_TASK_REFUSED);
	else if (task->report.state == DFF_TASK_HELD || task->report.state == DFF_TASK_RUNNING)
		task->report.state = DFF_TASK_STOPPED;
	return DFF_WORKER_OK;
}

static inline enum dff_worker_outcome
fake_checkpoint (struct fake_worker *worker, const struct fake_message *m)
{
	struct fake_task *task = fake_find (worker, &m->task);
	if (task == NULL || task->report.state != DFF_TASK_RUNNING)
		return DFF_WORKER_REFUSED;
	task->report.checkpoints++;
	return DFF_WORKER_OK;
}

static inline enum dff_worker_outcome
fake_serve (struct fake_fleet *fleet, struct fake_worker *worker, const struct fake_message *m)
{
	if (m->verb == FAKE_QUERY)
		return DFF_WORKER_OK;
	if (fleet->checks_epochs && m->epoch < worker->epoch)
		return DFF_WORKER_REFUSED;
	worker->epoch = MAX (worker->epoch, m->epoch);
	switch (m->verb) {
	case FAKE_START:
		return fake_start (fleet, worker, m);
	case FAKE_RELEASE:
		return fake_release (fleet, worker, m);
	case FAKE_CHECKPOINT:
		return fake_checkpoint (worker, m);
	default:
		return fake_stop (worker, m);
	}
}

/** A message reaches its worker. */
static inline void
fake_arrive (struct fake_fleet *fleet, struct fake_message *m)
{
	struct fake_worker *worker = &fleet->workers[m->worker];
	m->arrives_ms = INT64_MAX;
	if (worker->down || worker->incarnation != m->incarnation) {
		m->answered_ms = INT64_MAX;
		return;
	}
	m->result.outcome = fake_serve (fleet, worker, m);
	m->result.leaving = worker->leaving;
	m->result.incarnation = worker->incarnation;
	for (guint i = 0; i < worker->tasks->len; i++) {
		struct fake_task *task = &g_array_index (worker->tasks, struct fake_task, i);
		if (m->verb == FAKE_QUERY || fake_find (worker, &m->task) == task)
			g_array_append_val (m->reports, task->report);
	}
	m->result.reports = &g_array_index (m->reports, struct dff_task_report, 0);
	m->result.n_reports = m->reports->len;
}

static inline void
fake_message_free (gpointer data)
{
	struct fake_message *m = data;
	g_array_unref (m->reports);
	g_free (m);
}

static inline int
fake_worker_index (const struct dff_name *address)
{
	return (int)strtol (strchr (address->data, ':') + 1, NULL, 10);
}

static inline bool
fake_chance (struct fake_fleet *fleet, int32_t permille)
{
	return permille > 0 && g_rand_int_range (fleet->rand, 0, 1000) < permille;
}

static inline struct fake_message *
fake_message_add (struct fake_fleet *fleet, const struct fake_message *like)
{
	struct fake_message *m = g_memdup2 (like, sizeof (*like));
	m->reports = g_array_new (FALSE, TRUE, sizeof (struct dff_task_report));
	g_ptr_array_add (fleet->messages, m);
	return m;
}

static inline void
fake_send (struct fake_link *link,
	   const struct dff_name *address,
	   struct fake_message *m,
	   dff_worker_func done,
	   void *user)
{
	struct fake_fleet *fleet = link->fleet;
	int64_t now_ms = dff_clock_now_ms (fleet->clock);
	m->link = link;
	m->worker = fake_worker_index (address);
	m->incarnation = fleet->workers[m->worker].incarnation;
	int64_t *epoch_key = g_memdup2 (&m->epoch, sizeof (m->epoch));
	void *user_of_epoch = g_hash_table_lookup (fleet->epochs, &m->epoch);
	assert_true (m->epoch == 0 || user_of_epoch == NULL || user_of_epoch == link);
	g_hash_table_replace (fleet->epochs, epoch_key, link);
	int32_t delay_ms = link->delay_max_ms;
	m->arrives_ms = now_ms + (delay_ms > 0 ? g_rand_int_range (fleet->rand, 1, delay_ms) : 0);
	bool cut = (link->cut >> m->worker & 1) != 0;
	m->unsent = cut && fake_chance (fleet, 500);
	if (!m->unsent && fake_chance (fleet, link->double_permille)) {
		struct fake_message *twin = fake_message_add (fleet, m);
		twin->arrives_ms += g_rand_int_range (fleet->rand, 0, 4 * FAKE_CALL_TIMEOUT_MS);
		twin->answered_ms = INT64_MAX;
		twin->gives_up_ms = INT64_MAX;
	}
	m->answered_ms =
		m->arrives_ms + (delay_ms > 0 ? g_rand_int_range (fleet->rand, 1, delay_ms) : 0);
	if (cut || fake_chance (fleet, link->lose_permille))
		m->arrives_ms = INT64_MAX;
	bool lost = link->lose_answers > 0 || fake_chance (fleet, link->lose_permille);
	link->lose_answers -= link->lose_answers > 0;
	if (lost || m->arrives_ms == INT64_MAX)
		m->answered_ms = INT64_MAX;
	m->gives_up_ms = now_ms + FAKE_CALL_TIMEOUT_MS;
	m->done = done;
	m->user = user;
	fake_message_add (fleet, m);
}

static inline void
fake_answer (struct fake_message *m, int64_t now_ms)
{
	if (m->done == NULL || m->link->paused)
		return;
	if (now_ms < m->answered_ms && now_ms < m->gives_up_ms)
		return;
	struct dff_worker_result timed_out = {
		.outcome = m->unsent ? DFF_WORKER_UNSENT : DFF_WORKER_UNCERTAIN,
	};
	dff_worker_func done = m->done;
	m->done = NULL;
	if (!m->link->closed)
		done (m->user, now_ms >= m->answered_ms ? &m->result : &timed_out);
}

static inline void
fake_worker_tick (struct fake_worker *worker, int64_t now_ms)
{
	for (guint i = 0; i < worker->tasks->len; i++) {
		struct fake_task *task = &g_array_index (worker->tasks, struct fake_task, i);
		struct dff_task_report *report = &task->report;
		bool open = report->state == DFF_TASK_HELD || report->state == DFF_TASK_RUNNING;
		if (open && now_ms >= task->lease_until_ms) {
			report->state = DFF_TASK_STOPPED;
		} else if (report->state == DFF_TASK_RUNNING && now_ms >= task->ends_ms) {
			report->state = DFF_TASK_COMPLETED;
			report->result_key = dff_name_from ("result");
			report->result_length = 3;
		}
	}
}

/** Carries out and answers what is due. */
static inline void
fake_fleet_tick (struct fake_fleet *fleet)
{
	int64_t now_ms = dff_clock_now_ms (fleet->clock);
	for (int i = 0; i < fleet->n_workers; i++)
		fake_worker_tick (&fleet->workers[i], now_ms);
	for (guint i = 0; i < fleet->messages->len; i++) {
		struct fake_message *m = g_ptr_array_index (fleet->messages, i);
		if (now_ms >= m->arrives_ms)
			fake_arrive (fleet, m);
		fake_answer (m, now_ms);
	}
	for (guint i = fleet->messages->len; i > 0; i--) {
		const struct fake_message *m = g_ptr_array_index (fleet->messages, i - 1);
		if (m->done == NULL && m->arrives_ms == INT64_MAX)
			g_ptr_array_remove_index (fleet->messages, i - 1);
	}
}

static inline void
fake_start_call (void *ctx,
		 const struct dff_name *address,
		 const struct dff_task_start *start,
		 dff_worker_func done,
		 void *user)
{
	struct fake_message m = {
		.verb = FAKE_START,
		.task = start->task,
		.epoch = start->epoch,
		.held = start->held,
		.lease_ms = start->lease_ms,
	};
	fake_send (ctx, address, &m, done, user);
}

#define FAKE_TASK_CALL(name, VERB)                                                                 \
	static inline void name (void *ctx, const struct dff_name *address,                        \
				 const struct dff_task_id *task, int64_t epoch,                    \
				 dff_worker_func done, void *user)                                 \
	{                                                                                          \
		struct fake_message m = {.verb = (VERB), .task = *task, .epoch = epoch};           \
		fake_send (ctx, address, &m, done, user);                                          \
	}

FAKE_TASK_CALL (fake_release_call, FAKE_RELEASE)
FAKE_TASK_CALL (fake_checkpoint_call, FAKE_CHECKPOINT)
FAKE_TASK_CALL (fake_stop_call, FAKE_STOP)

static inline void
fake_query_call (void *ctx, const struct dff_name *address, dff_worker_func done, void *user)
{
	struct fake_message m = {.verb = FAKE_QUERY};
	fake_send (ctx, address, &m, done, user);
}

static inline void
fake_link_init (struct fake_link *link, struct fake_fleet *fleet)
{
	*link = (struct fake_link){
		.fleet = fleet,
		.client = {.start = fake_start_call,
			   .release = fake_release_call,
			   .checkpoint = fake_checkpoint_call,
			   .stop = fake_stop_call,
			   .query = fake_query_call,
			   .ctx = link},
	};
}

static inline void
fake_fleet_init (struct fake_fleet *fleet, const struct dff_clock *clock, int n, guint32 seed)
{
	*fleet = (struct fake_fleet){.clock = clock, .n_workers = n, .run_ms = 3000};
	fleet->rand = g_rand_new_with_seed (seed);
	fleet->workers = g_new0 (struct fake_worker, n);
	fleet->messages = g_ptr_array_new_with_free_func (fake_message_free);
	fleet->runs = g_hash_table_new_full (fake_task_hash, fake_task_equal, g_free, NULL);
	fleet->held = g_hash_table_new_full (fake_task_hash, fake_task_equal, g_free, NULL);
	fleet->epochs = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
	for (int i = 0; i < n; i++) {
		fleet->workers[i].name = dff_name_printf ("w%d", i);
		fleet->workers[i].incarnation = 1000 + i;
		fleet->workers[i].tasks = g_array_new (FALSE, TRUE, sizeof (struct fake_task));
	}
}

static inline void
fake_fleet_clear (struct fake_fleet *fleet)
{
	for (int i = 0; i < fleet->n_workers; i++)
		g_array_unref (fleet->workers[i].tasks);
	g_free (fleet->workers);
	g_ptr_array_unref (fleet->messages);
	g_hash_table_unref (fleet->runs);
	g_hash_table_unref (fleet->held);
	g_hash_table_unref (fleet->epochs);
	g_rand_free (fleet->rand);
}

/** The worker's process dies and comes back without its memory. */
static inline void
fake_worker_restart (struct fake_worker *worker)
{
	g_array_set_size (worker->tasks, 0);
	worker->incarnation += 1000;
	worker->epoch = 0;
	worker->down = false;
}

#endif
