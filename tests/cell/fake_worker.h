#ifndef DFF_TESTS_FAKE_WORKER_H
#define DFF_TESTS_FAKE_WORKER_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "common/clock.h"
#include "upstream/worker_client.h"

/* In-memory workers. Runs are counted outside the workers, so that the counts survive their
 * restarts. */

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
	bool fails_tasks;
	/** Number of queries for its tasks. */
	int32_t n_queries;
};

struct fake_fleet {
	const struct dff_clock *clock;
	GRand *rand;
	struct fake_worker *workers;
	int n_workers;
	bool checks_epochs;
	int32_t run_ms;
	/** Messages in transit. Elements: struct fake_message *. */
	GPtrArray *messages;
	/** Number of runs and holds counted so far. */
	int n_records;
	/** struct dff_task_id to the number of times it began to run. */
	GHashTable *runs;
	/** struct dff_task_id to the number of times it was held or ran. */
	GHashTable *held;
	/** Epoch to the link that used it. */
	GHashTable *epochs;
	/** Called when a start is sent. */
	void (*check_start) (void *ctx, const struct dff_task_id *task);
	void *check_ctx;
};

enum fake_verb {
	FAKE_START,
	FAKE_RELEASE,
	FAKE_CHECKPOINT,
	FAKE_STOP,
	FAKE_QUERY,
};

struct fake_command {
	enum fake_verb verb;
	struct dff_task_id task;
	int64_t epoch;
	bool held;
	int32_t lease_ms;
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
fake_increment (GHashTable *table, const struct dff_task_id *task)
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
	fleet->n_records++;
	fake_increment (fleet->runs, &task->report.task);
}

static inline enum dff_worker_outcome
fake_start (struct fake_fleet *fleet,
	    struct fake_worker *worker,
	    const struct fake_command *command)
{
	struct fake_task *task = fake_find (worker, &command->task);
	if (task != NULL)
		return task->report.state == DFF_TASK_REFUSED ? DFF_WORKER_REFUSED : DFF_WORKER_OK;
	if (worker->refuses_starts)
		return DFF_WORKER_REFUSED;
	task = fake_add (worker, &command->task, DFF_TASK_HELD);
	task->lease_until_ms = dff_clock_now_ms (fleet->clock) + command->lease_ms;
	fake_increment (fleet->held, &command->task);
	if (!command->held)
		fake_run (fleet, task);
	return DFF_WORKER_OK;
}

static inline enum dff_worker_outcome
fake_release (struct fake_fleet *fleet,
	      struct fake_worker *worker,
	      const struct fake_command *command)
{
	struct fake_task *task = fake_find (worker, &command->task);
	if (task == NULL)
		return DFF_WORKER_REFUSED;
	if (task->report.state == DFF_TASK_HELD)
		fake_run (fleet, task);
	return task->report.ran ? DFF_WORKER_OK : DFF_WORKER_REFUSED;
}

static inline enum dff_worker_outcome
fake_stop (struct fake_worker *worker, const struct fake_command *command)
{
	struct fake_task *task = fake_find (worker, &command->task);
	if (task == NULL)
		fake_add (worker, &command->task, DFF_TASK_REFUSED);
	else if (task->report.state == DFF_TASK_HELD || task->report.state == DFF_TASK_RUNNING)
		task->report.state = DFF_TASK_STOPPED;
	return DFF_WORKER_OK;
}

static inline enum dff_worker_outcome
fake_checkpoint (struct fake_worker *worker, const struct fake_command *command)
{
	struct fake_task *task = fake_find (worker, &command->task);
	if (task == NULL || task->report.state != DFF_TASK_RUNNING)
		return DFF_WORKER_REFUSED;
	task->report.checkpoints++;
	return DFF_WORKER_OK;
}

static inline enum dff_worker_outcome
fake_serve (struct fake_fleet *fleet,
	    struct fake_worker *worker,
	    const struct fake_command *command)
{
	if (command->verb == FAKE_QUERY) {
		worker->n_queries++;
		return DFF_WORKER_OK;
	}
	if (fleet->checks_epochs && command->epoch < worker->epoch)
		return DFF_WORKER_REFUSED;
	worker->epoch = MAX (worker->epoch, command->epoch);
	switch (command->verb) {
	case FAKE_START:
		return fake_start (fleet, worker, command);
	case FAKE_RELEASE:
		return fake_release (fleet, worker, command);
	case FAKE_CHECKPOINT:
		return fake_checkpoint (worker, command);
	default:
		return fake_stop (worker, command);
	}
}

static inline bool
fake_chance (struct fake_fleet *fleet, int32_t permille)
{
	return permille > 0 && g_rand_int_range (fleet->rand, 0, 1000) < permille;
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
			report->state = worker->fails_tasks ? DFF_TASK_FAILED : DFF_TASK_COMPLETED;
			report->result_key = dff_name_from ("result");
			report->result_length = 3;
		}
	}
}

static inline void
fake_fleet_init (struct fake_fleet *fleet, const struct dff_clock *clock, int n, guint32 seed)
{
	*fleet = (struct fake_fleet){.clock = clock, .n_workers = n, .run_ms = 3000};
	fleet->rand = g_rand_new_with_seed (seed);
	fleet->workers = g_new0 (struct fake_worker, n);
	fleet->messages = g_ptr_array_new ();
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

/** Restarts the worker's process, which loses its state. */
static inline void
fake_worker_restart (struct fake_worker *worker)
{
	g_array_set_size (worker->tasks, 0);
	worker->incarnation += 1000;
	worker->epoch = 0;
	worker->down = false;
}

#endif
