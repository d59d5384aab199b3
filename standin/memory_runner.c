#include "standin/memory_runner.h"

#include <string.h>

/** Time until a call arrives, and until its answer does, ms. */
#define WAY_MS 1
/** How often a waiting watch looks for ends, and a worker at its deadline and gangs, ms. */
#define LOOK_MS 5
#define CHECK_MS 10

struct dff_memory_runner {
	struct dff_memory_runner_options options;
	/** Elements: struct worker. */
	GPtrArray *workers;
	GPtrArray *clients;
	/** Task to struct history. */
	GHashTable *histories;
	char *violation;
};

struct dff_memory_runner_client {
	struct dff_runner interface;
	struct dff_memory_runner *runner;
	bool ended;
	/** Ids of the workers that this process cannot reach. */
	GHashTable *unreached;
};

/** What has happened to a task, over all workers. */
struct history {
	int32_t n_starts;
	int64_t last_start_ms;
	/** Whether its end was acknowledged. */
	bool noted;
};

struct worker {
	struct dff_memory_runner *runner;
	char *id;
	char *address;
	int32_t accelerators;
	int32_t clock_permille;
	bool dead;
	struct dff_memory_worker_faults faults;
	int64_t epoch;
	int64_t deadline_ms;
	/** When everything was killed last for want of a lease. */
	int64_t lapsed_ms;
	/** Task to struct run. */
	GHashTable *runs;
	/** Task to the highest run that was stopped or ended. */
	GHashTable *refused;
	/** Elements: struct end. */
	GArray *ends;
	int64_t n_ends;
};

struct run {
	struct dff_name task;
	int32_t run;
	struct dff_memory_task what;
	int64_t placed_ms;
	/** Work done, ms, and when that was counted last. */
	int64_t done_ms;
	int64_t counted_ms;
	/** Whether its gang is all there. */
	bool begun;
	/** When it is to be gone; 0: it is not being stopped. */
	int64_t stopped_ms;
};

struct end {
	int64_t number;
	struct dff_name task;
	int32_t run;
	enum dff_run_end end;
	int64_t at_ms;
	char checkpoint[24];
};

enum call_kind {
	DFF_CALL_START,
	DFF_CALL_STOP,
	DFF_CALL_WATCH,
};

struct call {
	struct dff_memory_runner_client *client;
	enum call_kind kind;
	struct dff_run_order order;
	struct dff_run_watch watch;
	char checkpoint[24];
	dff_runner_func done;
	void *user;
	struct worker *worker;
	int64_t timeout_ms;
	int64_t until_ms;
	enum dff_runner_outcome outcome;
};

static int64_t
now_of (const struct dff_memory_runner *runner)
{
	return dff_virtual_loop_now_ms (runner->options.loop);
}

static int64_t
clock_of (const struct worker *worker)
{
	return now_of (worker->runner) * worker->clock_permille / 1000;
}

static void G_GNUC_PRINTF (2, 3) violate (struct dff_memory_runner *runner, const char *format, ...)
{
	if (runner->violation != NULL)
		return;
	va_list args;
	va_start (args, format);
	g_autofree char *text = g_strdup_vprintf (format, args);
	va_end (args);
	runner->violation =
		g_strdup_printf ("at %" G_GINT64_FORMAT " ms: %s", now_of (runner), text);
}

static struct history *
history_of (struct dff_memory_runner *runner, const struct dff_name *task)
{
	struct history *history = g_hash_table_lookup (runner->histories, task);
	if (history != NULL)
		return history;
	history = g_new0 (struct history, 1);
	g_hash_table_insert (runner->histories, dff_name_dup (task), history);
	return history;
}

static void
refuse_from_now_on (struct worker *worker, const struct dff_name *task, int32_t run)
{
	int32_t before = GPOINTER_TO_INT (g_hash_table_lookup (worker->refused, task));
	if (run > before)
		g_hash_table_insert (worker->refused, dff_name_dup (task), GINT_TO_POINTER (run));
}

static void
list_end (struct worker *worker, const struct run *run, enum dff_run_end how)
{
	struct end end = {.number = ++worker->n_ends,
			  .task = run->task,
			  .run = run->run,
			  .end = how,
			  .at_ms = now_of (worker->runner)};
	if (run->what.saves && run->done_ms > 0)
		g_snprintf (end.checkpoint, sizeof (end.checkpoint), "%" G_GINT64_FORMAT,
			    run->done_ms);
	g_array_append_val (worker->ends, end);
	refuse_from_now_on (worker, &run->task, run->run);
	g_hash_table_remove (worker->runs, &end.task);
}

static bool
same_unit (const struct dff_name *one, const struct dff_name *other)
{
	const char *dot = strrchr (one->data, '.');
	const char *other_dot = strrchr (other->data, '.');
	size_t length = (size_t)(dot - one->data);
	return length == (size_t)(other_dot - other->data) &&
	       memcmp (one->data, other->data, length) == 0;
}

/* Members of a run's gang that are present on live workers. */
static GPtrArray *
gang_of (struct dff_memory_runner *runner, const struct run *run)
{
	GPtrArray *members = g_ptr_array_new ();
	for (guint i = 0; i < runner->workers->len; i++) {
		struct worker *worker = g_ptr_array_index (runner->workers, i);
		GHashTableIter iter;
		gpointer value;
		g_hash_table_iter_init (&iter, worker->runs);
		while (!worker->dead && g_hash_table_iter_next (&iter, NULL, &value)) {
			const struct run *other = value;
			if (other->run == run->run && same_unit (&other->task, &run->task))
				g_ptr_array_add (members, value);
		}
	}
	return members;
}

static struct worker *
worker_of (struct dff_memory_runner *runner, const struct run *run)
{
	for (guint i = 0; i < runner->workers->len; i++) {
		struct worker *worker = g_ptr_array_index (runner->workers, i);
		if (g_hash_table_lookup (worker->runs, &run->task) == run)
			return worker;
	}
	g_assert_not_reached ();
}

/* Ends the other members of a gang: all as @how. */
static void
end_gang (struct dff_memory_runner *runner, const struct run *run, enum dff_run_end how)
{
	if (run->what.gang == 0)
		return;
	g_autoptr (GPtrArray) members = gang_of (runner, run);
	for (guint i = 0; i < members->len; i++) {
		struct run *member = g_ptr_array_index (members, i);
		if (member != run && member->begun)
			list_end (worker_of (runner, member), member, how);
	}
}

static void
begin_when_whole (struct dff_memory_runner *runner, struct run *run)
{
	if (run->begun)
		return;
	if (run->what.gang > 0) {
		g_autoptr (GPtrArray) members = gang_of (runner, run);
		if ((int32_t)members->len < run->what.gang)
			return;
	}
	run->begun = true;
	run->counted_ms = now_of (runner);
}

/* Lets a run's work go on, and ends it when it is over. Returns: whether it has ended. */
static bool
work_run (struct worker *worker, struct run *run)
{
	struct dff_memory_runner *runner = worker->runner;
	int64_t now_ms = now_of (runner);
	if (run->stopped_ms > 0 && now_ms >= run->stopped_ms) {
		end_gang (runner, run, DFF_RUN_BROKEN);
		list_end (worker, run, DFF_RUN_STOPPED);
		return true;
	}
	begin_when_whole (runner, run);
	if (!run->begun) {
		if (now_ms - run->placed_ms < runner->options.gang_wait_ms)
			return false;
		list_end (worker, run, DFF_RUN_ALONE);
		return true;
	}
	if (!worker->faults.hung)
		run->done_ms += now_ms - run->counted_ms;
	run->counted_ms = now_ms;
	if (run->what.fails || worker->faults.fails) {
		end_gang (runner, run, DFF_RUN_BROKEN);
		list_end (worker, run, DFF_RUN_FAILED);
		return true;
	}
	if (run->done_ms < run->what.duration_ms)
		return false;
	end_gang (runner, run, DFF_RUN_COMPLETED);
	list_end (worker, run, DFF_RUN_COMPLETED);
	return true;
}

static void
lapse (struct worker *worker)
{
	worker->lapsed_ms = now_of (worker->runner);
	g_autoptr (GList) runs = g_hash_table_get_values (worker->runs);
	for (GList *link = runs; link != NULL; link = link->next)
		list_end (worker, link->data, DFF_RUN_LAPSED);
}

static void
handle_check (void *user)
{
	struct worker *worker = user;
	if (worker->dead)
		return;
	/* The lease is the worker's, whether or not something runs there. */
	if (worker->deadline_ms > 0 && clock_of (worker) >= worker->deadline_ms)
		lapse (worker);
	/* An end may take other runs with it: the walk begins anew after each. */
	bool ended = true;
	while (ended) {
		ended = false;
		g_autoptr (GList) runs = g_hash_table_get_values (worker->runs);
		for (GList *link = runs; link != NULL && !ended; link = link->next)
			ended = work_run (worker, link->data);
	}
	dff_virtual_loop_after (worker->runner->options.loop, CHECK_MS, handle_check, worker);
}

static int32_t
accelerators_used (const struct worker *worker)
{
	int32_t used = 0;
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, worker->runs);
	while (g_hash_table_iter_next (&iter, NULL, &value))
		used += ((struct run *)value)->what.accelerators;
	return used;
}

static void
check_start (struct worker *worker, const struct dff_name *task, int32_t number)
{
	struct dff_memory_runner *runner = worker->runner;
	struct history *history = history_of (runner, task);
	if (history->noted)
		violate (runner, "%s run %d starts on %s after its end was acknowledged",
			 task->data, number, worker->id);
	for (guint i = 0; i < runner->workers->len; i++) {
		const struct worker *other = g_ptr_array_index (runner->workers, i);
		if (!other->dead && g_hash_table_contains (other->runs, task))
			violate (runner, "%s run %d starts on %s beside another run on %s",
				 task->data, number, worker->id, other->id);
	}
	history->n_starts++;
	history->last_start_ms = now_of (runner);
}

static enum dff_runner_outcome
carry_out_start (struct worker *worker, const struct call *call)
{
	const struct dff_run_order *order = &call->order;
	const struct run *present = g_hash_table_lookup (worker->runs, &order->task);
	if (clock_of (worker) >= order->deadline_ms)
		return DFF_RUNNER_LATE;
	worker->deadline_ms = MAX (worker->deadline_ms, order->deadline_ms);
	if (present != NULL && present->run == order->run)
		return DFF_RUNNER_DONE;
	if (order->run <= GPOINTER_TO_INT (g_hash_table_lookup (worker->refused, &order->task)))
		return DFF_RUNNER_OLD_RUN;
	if (worker->faults.refuses)
		return DFF_RUNNER_UNHEALTHY;
	struct dff_memory_task what =
		worker->runner->options.describe (worker->runner->options.ctx, &order->task);
	if (accelerators_used (worker) + what.accelerators > worker->accelerators)
		return DFF_RUNNER_NO_ROOM;
	check_start (worker, &order->task, order->run);
	struct run *run = g_new0 (struct run, 1);
	run->task = order->task;
	run->run = order->run;
	run->what = what;
	run->placed_ms = now_of (worker->runner);
	run->counted_ms = run->placed_ms;
	run->done_ms = g_ascii_strtoll (call->checkpoint, NULL, 10);
	g_hash_table_insert (worker->runs, &run->task, run);
	return DFF_RUNNER_DONE;
}

static enum dff_runner_outcome
carry_out_stop (struct worker *worker, const struct call *call)
{
	struct run *run = g_hash_table_lookup (worker->runs, &call->order.task);
	refuse_from_now_on (worker, &call->order.task, call->order.run);
	if (run != NULL && run->run <= call->order.run && run->stopped_ms == 0)
		run->stopped_ms = now_of (worker->runner) + worker->runner->options.stop_grace_ms;
	return DFF_RUNNER_DONE;
}

/* Ends up to the acknowledged number are taken note of, unless the lease has lapsed since. */
static void
acknowledge (struct worker *worker, int64_t number)
{
	while (worker->ends->len > 0) {
		struct end end = g_array_index (worker->ends, struct end, 0);
		if (end.number > number)
			return;
		g_array_remove_index (worker->ends, 0);
		if (end.end != DFF_RUN_COMPLETED || worker->lapsed_ms > end.at_ms)
			continue;
		struct history *history = history_of (worker->runner, &end.task);
		if (history->last_start_ms > end.at_ms)
			violate (worker->runner, "%s run %d had ended on %s, and was started after",
				 end.task.data, end.run, worker->id);
		history->noted = true;
	}
}

static enum dff_runner_outcome
carry_out (struct call *call)
{
	struct worker *worker = call->worker;
	const char *wanted =
		call->kind == DFF_CALL_WATCH ? call->watch.worker.data : call->order.worker.data;
	int64_t epoch = call->kind == DFF_CALL_WATCH ? call->watch.epoch : call->order.epoch;
	if (strcmp (worker->id, wanted) != 0)
		return DFF_RUNNER_OTHER_LIFE;
	if (epoch < worker->epoch)
		return DFF_RUNNER_STALE_EPOCH;
	worker->epoch = epoch;
	if (call->kind == DFF_CALL_START)
		return carry_out_start (worker, call);
	if (call->kind == DFF_CALL_STOP)
		return carry_out_stop (worker, call);
	acknowledge (worker, call->watch.acknowledged);
	worker->deadline_ms = MAX (worker->deadline_ms, call->watch.deadline_ms);
	return DFF_RUNNER_DONE;
}

static void
call_back (struct call *call, const struct dff_runner_result *result)
{
	if (!call->client->ended)
		call->done (call->user, result);
	g_free (call);
}

static void
end_unanswered (void *user)
{
	struct dff_runner_result result = {.outcome = DFF_RUNNER_UNKNOWN};
	call_back (user, &result);
}

static void
answer_watch (struct call *call)
{
	struct worker *worker = call->worker;
	g_autoptr (GArray) running = g_array_new (FALSE, FALSE, sizeof (struct dff_run_open));
	g_autoptr (GArray) ended = g_array_new (FALSE, FALSE, sizeof (struct dff_run_ended));
	g_autoptr (GPtrArray) texts = g_ptr_array_new_with_free_func (g_free);
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, worker->runs);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		const struct run *run = value;
		char *saved = run->what.saves && run->done_ms > 0
				      ? g_strdup_printf ("%" G_GINT64_FORMAT, run->done_ms)
				      : g_strdup ("");
		g_ptr_array_add (texts, saved);
		struct dff_run_open open = {
			.task = {run->task.data, run->task.len},
			.run = run->run,
			.checkpoint = dff_str_from (saved),
			.percent = (int32_t)(run->done_ms * 100 / MAX (run->what.duration_ms, 1))};
		g_array_append_val (running, open);
	}
	for (guint i = 0; i < worker->ends->len; i++) {
		const struct end *end = &g_array_index (worker->ends, struct end, i);
		struct dff_run_ended one = {.number = end->number,
					    .task = {end->task.data, end->task.len},
					    .run = end->run,
					    .end = end->end,
					    .checkpoint = dff_str_from (end->checkpoint)};
		g_array_append_val (ended, one);
	}
	struct dff_runner_result result = {
		.outcome = call->outcome,
		.clock_ms = clock_of (worker),
		.running = (const struct dff_run_open *)(void *)running->data,
		.n_running = running->len,
		.ended = (const struct dff_run_ended *)(void *)ended->data,
		.n_ended = ended->len};
	call_back (call, &result);
}

static void
answer (void *user)
{
	struct call *call = user;
	const struct worker *worker = call->worker;
	int64_t now_ms = now_of (call->client->runner);
	if (worker->dead || worker->faults.cut || worker->faults.mute) {
		dff_virtual_loop_after (call->client->runner->options.loop,
					MAX (call->timeout_ms - now_ms, 0), end_unanswered, call);
		return;
	}
	if (call->kind == DFF_CALL_WATCH && call->outcome == DFF_RUNNER_DONE) {
		if (worker->ends->len == 0 && now_ms < call->until_ms) {
			dff_virtual_loop_after (call->client->runner->options.loop, LOOK_MS, answer,
						call);
			return;
		}
		answer_watch (call);
		return;
	}
	struct dff_runner_result result = {.outcome = call->outcome, .clock_ms = clock_of (worker)};
	call_back (call, &result);
}

static void
arrive_late (void *user)
{
	struct call *call = user;
	if (!call->worker->dead)
		carry_out (call);
	g_free (call);
}

static struct worker *
find_by_address (struct dff_memory_runner *runner, const struct dff_name *address)
{
	struct worker *found = NULL;
	for (guint i = 0; i < runner->workers->len; i++) {
		struct worker *worker = g_ptr_array_index (runner->workers, i);
		if (strcmp (worker->address, address->data) == 0 && (found == NULL || found->dead))
			found = worker;
	}
	return found;
}

static void
arrive (void *user)
{
	struct call *call = user;
	struct dff_memory_runner *runner = call->client->runner;
	int64_t now_ms = now_of (runner);
	const struct dff_name *address =
		call->kind == DFF_CALL_WATCH ? &call->watch.address : &call->order.address;
	call->worker = find_by_address (runner, address);
	if (call->worker == NULL || call->worker->dead || call->worker->faults.cut ||
	    g_hash_table_contains (call->client->unreached, call->worker->id)) {
		dff_virtual_loop_after (runner->options.loop, MAX (call->timeout_ms - now_ms, 0),
					end_unanswered, call);
		return;
	}
	struct dff_memory_worker_faults *faults = &call->worker->faults;
	if (call->kind != DFF_CALL_WATCH && faults->late_orders > 0) {
		faults->late_orders--;
		struct call *late = g_memdup2 (call, sizeof (*call));
		dff_virtual_loop_after (runner->options.loop, faults->late_ms, arrive_late, late);
		dff_virtual_loop_after (runner->options.loop, MAX (call->timeout_ms - now_ms, 0),
					end_unanswered, call);
		return;
	}
	call->outcome = carry_out (call);
	dff_virtual_loop_after (runner->options.loop, WAY_MS, answer, call);
}

static void
send_call (struct dff_memory_runner_client *client,
	   enum call_kind kind,
	   const struct dff_run_order *order,
	   const struct dff_run_watch *watch,
	   dff_runner_func done,
	   void *user)
{
	struct call *call = g_new0 (struct call, 1);
	int64_t now_ms = now_of (client->runner);
	call->client = client;
	call->kind = kind;
	call->done = done;
	call->user = user;
	if (order != NULL) {
		call->order = *order;
		g_snprintf (call->checkpoint, sizeof (call->checkpoint), "%.*s",
			    (int)order->checkpoint.len, order->checkpoint.data);
		call->timeout_ms = now_ms + order->timeout_ms;
	} else if (watch != NULL) {
		call->watch = *watch;
		call->timeout_ms = now_ms + watch->timeout_ms;
		call->until_ms = now_ms + watch->wait_ms;
	}
	dff_virtual_loop_after (client->runner->options.loop, WAY_MS, arrive, call);
}

static void
client_start (void *ctx, const struct dff_run_order *order, dff_runner_func done, void *user)
{
	send_call (ctx, DFF_CALL_START, order, NULL, done, user);
}

static void
client_stop (void *ctx, const struct dff_run_order *order, dff_runner_func done, void *user)
{
	send_call (ctx, DFF_CALL_STOP, order, NULL, done, user);
}

static void
client_watch (void *ctx, const struct dff_run_watch *watch, dff_runner_func done, void *user)
{
	send_call (ctx, DFF_CALL_WATCH, NULL, watch, done, user);
}

static void
free_worker (gpointer data)
{
	struct worker *worker = data;
	g_hash_table_unref (worker->runs);
	g_hash_table_unref (worker->refused);
	g_array_unref (worker->ends);
	g_free (worker->id);
	g_free (worker->address);
	g_free (worker);
}

static void
free_client (gpointer data)
{
	struct dff_memory_runner_client *client = data;
	g_hash_table_unref (client->unreached);
	g_free (client);
}

struct dff_memory_runner *
dff_memory_runner_new (const struct dff_memory_runner_options *options)
{
	struct dff_memory_runner *runner = g_new0 (struct dff_memory_runner, 1);
	runner->options = *options;
	runner->workers = g_ptr_array_new_with_free_func (free_worker);
	runner->clients = g_ptr_array_new_with_free_func (free_client);
	runner->histories =
		g_hash_table_new_full (dff_name_hash, dff_name_equal_func, g_free, g_free);
	return runner;
}

void
dff_memory_runner_free (struct dff_memory_runner *runner)
{
	g_ptr_array_unref (runner->workers);
	g_ptr_array_unref (runner->clients);
	g_hash_table_unref (runner->histories);
	g_free (runner->violation);
	g_free (runner);
}

struct dff_memory_worker_faults *
dff_memory_runner_add (struct dff_memory_runner *runner,
		       const char *id,
		       const char *address,
		       int32_t accelerators,
		       int32_t clock_permille)
{
	struct worker *worker = g_new0 (struct worker, 1);
	worker->runner = runner;
	worker->id = g_strdup (id);
	worker->address = g_strdup (address);
	worker->accelerators = accelerators;
	worker->clock_permille = clock_permille;
	worker->runs = g_hash_table_new_full (dff_name_hash, dff_name_equal_func, NULL, g_free);
	worker->refused = g_hash_table_new_full (dff_name_hash, dff_name_equal_func, g_free, NULL);
	worker->ends = g_array_new (FALSE, FALSE, sizeof (struct end));
	g_ptr_array_add (runner->workers, worker);
	dff_virtual_loop_after (runner->options.loop, CHECK_MS, handle_check, worker);
	return &worker->faults;
}

void
dff_memory_runner_kill (struct dff_memory_runner *runner, const char *id)
{
	for (guint i = 0; i < runner->workers->len; i++) {
		struct worker *worker = g_ptr_array_index (runner->workers, i);
		if (strcmp (worker->id, id) == 0)
			worker->dead = true;
	}
}

struct dff_memory_runner_client *
dff_memory_runner_client_new (struct dff_memory_runner *runner)
{
	struct dff_memory_runner_client *client = g_new0 (struct dff_memory_runner_client, 1);
	client->runner = runner;
	client->unreached = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
	client->interface = (struct dff_runner){
		.start = client_start, .stop = client_stop, .watch = client_watch, .ctx = client};
	g_ptr_array_add (runner->clients, client);
	return client;
}

const struct dff_runner *
dff_memory_runner_client_interface (struct dff_memory_runner_client *client)
{
	return &client->interface;
}

void
dff_memory_runner_client_end (struct dff_memory_runner_client *client)
{
	client->ended = true;
}

void
dff_memory_runner_client_cut (struct dff_memory_runner_client *client, const char *id, bool cut)
{
	if (cut)
		g_hash_table_add (client->unreached, g_strdup (id));
	else
		g_hash_table_remove (client->unreached, id);
}

const char *
dff_memory_runner_violation (const struct dff_memory_runner *runner)
{
	return runner->violation;
}

int32_t
dff_memory_runner_n_open (const struct dff_memory_runner *runner)
{
	int32_t count = 0;
	for (guint i = 0; i < runner->workers->len; i++) {
		const struct worker *worker = g_ptr_array_index (runner->workers, i);
		count += worker->dead ? 0 : (int32_t)g_hash_table_size (worker->runs);
	}
	return count;
}

const char *
dff_memory_runner_where (const struct dff_memory_runner *runner, const char *task)
{
	struct dff_name name = dff_name_from (task);
	for (guint i = 0; i < runner->workers->len; i++) {
		const struct worker *worker = g_ptr_array_index (runner->workers, i);
		if (!worker->dead && g_hash_table_contains (worker->runs, &name))
			return worker->id;
	}
	return NULL;
}

int32_t
dff_memory_runner_n_starts (const struct dff_memory_runner *runner, const char *prefix)
{
	int32_t count = 0;
	GHashTableIter iter;
	gpointer key, value;
	g_hash_table_iter_init (&iter, runner->histories);
	while (g_hash_table_iter_next (&iter, &key, &value)) {
		if (g_str_has_prefix (((struct dff_name *)key)->data, prefix))
			count += ((struct history *)value)->n_starts;
	}
	return count;
}
