#ifndef DFF_TESTS_FAKE_LINK_H
#define DFF_TESTS_FAKE_LINK_H

#include "tests/cell/fake_worker.h"

/* Links to the fake workers. Their messages can be delayed, lost, duplicated or cut off. */

#define FAKE_CALL_TIMEOUT_MS 500

/** Link of one process to the workers. */
struct fake_link {
	struct dff_worker_client client;
	struct fake_fleet *fleet;
	bool closed;
	/** The process is paused: answers wait. */
	bool paused;
	/** Bit i: worker i cannot be reached. */
	uint64_t cut;
	int32_t delay_max_ms;
	int32_t lose_permille;
	int32_t duplicate_permille;
	/** The next so many calls are carried out, but their answers are lost. */
	int32_t lose_answers;
};

struct fake_message {
	struct fake_link *link;
	int worker;
	/** The worker's incarnation at the time of sending: a connection ends with a restart. */
	int64_t incarnation;
	struct fake_command command;
	/** The message was cut off before anything was sent, and the sender knows that. */
	bool unsent;
	/** INT64_MAX: does not arrive, or is not answered. */
	int64_t arrives_ms;
	int64_t answered_ms;
	int64_t times_out_ms;
	/** NULL: answered already, or a duplicate. */
	dff_worker_func done;
	void *user;
	struct dff_worker_result result;
	GArray *reports;
};

/** Delivers a message to its worker. */
static inline void
fake_arrive (struct fake_fleet *fleet, struct fake_message *m)
{
	struct fake_worker *worker = &fleet->workers[m->worker];
	m->arrives_ms = INT64_MAX;
	if (worker->down || worker->incarnation != m->incarnation) {
		m->answered_ms = INT64_MAX;
		return;
	}
	m->result.outcome = fake_serve (fleet, worker, &m->command);
	m->result.leaving = worker->leaving;
	m->result.incarnation = worker->incarnation;
	for (guint i = 0; i < worker->tasks->len; i++) {
		struct fake_task *task = &g_array_index (worker->tasks, struct fake_task, i);
		if (m->command.verb == FAKE_QUERY || fake_find (worker, &m->command.task) == task)
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
	if (m->command.verb == FAKE_START)
		fleet->check_start (fleet->check_ctx, &m->command.task);
	int64_t *epoch_key = g_memdup2 (&m->command.epoch, sizeof (m->command.epoch));
	void *user_of_epoch = g_hash_table_lookup (fleet->epochs, &m->command.epoch);
	assert_true (m->command.epoch == 0 || user_of_epoch == NULL || user_of_epoch == link);
	g_hash_table_replace (fleet->epochs, epoch_key, link);
	int32_t delay_ms = link->delay_max_ms;
	m->arrives_ms = now_ms + (delay_ms > 0 ? g_rand_int_range (fleet->rand, 1, delay_ms) : 0);
	bool cut = (link->cut >> m->worker & 1) != 0;
	m->unsent = cut && fake_chance (fleet, 500);
	if (!m->unsent && fake_chance (fleet, link->duplicate_permille)) {
		struct fake_message *duplicate = fake_message_add (fleet, m);
		duplicate->arrives_ms +=
			g_rand_int_range (fleet->rand, 0, 4 * FAKE_CALL_TIMEOUT_MS);
		duplicate->answered_ms = INT64_MAX;
		duplicate->times_out_ms = INT64_MAX;
	}
	m->answered_ms =
		m->arrives_ms + (delay_ms > 0 ? g_rand_int_range (fleet->rand, 1, delay_ms) : 0);
	if (cut || fake_chance (fleet, link->lose_permille))
		m->arrives_ms = INT64_MAX;
	bool lost = link->lose_answers > 0 || fake_chance (fleet, link->lose_permille);
	link->lose_answers -= link->lose_answers > 0;
	if (lost || m->arrives_ms == INT64_MAX)
		m->answered_ms = INT64_MAX;
	m->times_out_ms = now_ms + FAKE_CALL_TIMEOUT_MS;
	m->done = done;
	m->user = user;
	fake_message_add (fleet, m);
}

static inline void
fake_answer (struct fake_message *m, int64_t now_ms)
{
	if (m->done == NULL || m->link->paused)
		return;
	if (now_ms < m->answered_ms && now_ms < m->times_out_ms)
		return;
	struct dff_worker_result timed_out = {
		.outcome = m->unsent ? DFF_WORKER_UNSENT : DFF_WORKER_UNCERTAIN,
	};
	dff_worker_func done = m->done;
	m->done = NULL;
	if (!m->link->closed)
		done (m->user, now_ms >= m->answered_ms ? &m->result : &timed_out);
}

/** Delivers and answers the messages that are due. */
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
		.command = {FAKE_START, start->task, start->epoch, start->held, start->lease_ms},
	};
	fake_send (ctx, address, &m, done, user);
}

#define FAKE_TASK_CALL(name, VERB)                                                                 \
	static inline void name (void *ctx, const struct dff_name *address,                        \
				 const struct dff_task_id *task, int64_t epoch,                    \
				 dff_worker_func done, void *user)                                 \
	{                                                                                          \
		struct fake_message m = {.command = {(VERB), *task, epoch, false, 0}};             \
		fake_send (ctx, address, &m, done, user);                                          \
	}

FAKE_TASK_CALL (fake_release_call, FAKE_RELEASE)
FAKE_TASK_CALL (fake_checkpoint_call, FAKE_CHECKPOINT)
FAKE_TASK_CALL (fake_stop_call, FAKE_STOP)

static inline void
fake_query_call (void *ctx, const struct dff_name *address, dff_worker_func done, void *user)
{
	struct fake_message m = {.command.verb = FAKE_QUERY};
	fake_send (ctx, address, &m, done, user);
}

static inline void
fake_link_init (struct fake_link *link, struct fake_fleet *fleet)
{
	g_ptr_array_set_free_func (fleet->messages, fake_message_free);
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

#endif
