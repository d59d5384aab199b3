#include "standin/memory_runner_private.h"

#include <string.h>

/** Latency in one direction, of a call or of its answer, ms. */
#define LINK_DELAY_MS 1
/** Time until a smaller capacity is enforced, ms: three seconds plus the interval between two
 * writes of the worker's entry (1500 ms in tests/holder). Until then the smaller capacity may not
 * have reached the holder. */
#define RESIZE_NOTICE_MS 4500
/** Interval at which a waiting watch polls for ended runs, ms. */
#define WATCH_POLL_MS 5

struct dff_memory_runner_client {
	struct dff_runner interface;
	struct dff_memory_runner *runner;
	bool ended;
	/** Ids of the workers that this client cannot reach. */
	GHashTable *unreachable;
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

static enum dff_runner_outcome
execute (struct call *call)
{
	struct worker *worker = call->worker;
	const char *wanted =
		call->kind == DFF_CALL_WATCH ? call->watch.worker.data : call->order.worker.data;
	int64_t epoch = call->kind == DFF_CALL_WATCH ? call->watch.epoch : call->order.epoch;
	if (strcmp (worker->id, wanted) != 0)
		return DFF_RUNNER_OTHER_INCARNATION;
	if (epoch < worker->epoch)
		return DFF_RUNNER_STALE_EPOCH;
	worker->epoch = epoch;
	if (call->kind == DFF_CALL_START)
		return memory_worker_start (worker, &call->order, call->checkpoint);
	if (call->kind == DFF_CALL_STOP)
		return memory_worker_stop (worker, &call->order);
	memory_worker_acknowledge (worker, call->watch.acknowledged);
	memory_worker_renew (worker, call->watch.deadline_ms);
	return DFF_RUNNER_DONE;
}

static void
call_complete (struct call *call, const struct dff_runner_result *result)
{
	if (!call->client->ended)
		call->done (call->user, result);
	g_free (call);
}

static void
fail_unanswered (void *user)
{
	struct dff_runner_result result = {.outcome = DFF_RUNNER_UNKNOWN};
	call_complete (user, &result);
}

/* The answer to a watch: a snapshot of the worker's runs, in transit to the client. */
struct listing {
	struct call *call;
	GArray *running;
	GArray *ended;
	/** Texts that @running and @ended point to. */
	GPtrArray *texts;
	struct dff_runner_result result;
};

static void
deliver_listing (void *user)
{
	struct listing *listing = user;
	call_complete (listing->call, &listing->result);
	g_array_unref (listing->running);
	g_array_unref (listing->ended);
	g_ptr_array_unref (listing->texts);
	g_free (listing);
}

static const char *
own_text (struct listing *listing, char *text)
{
	g_ptr_array_add (listing->texts, text);
	return text;
}

static void
list_run (struct listing *listing, const struct run *run)
{
	const char *task = own_text (listing, g_strndup (run->task.data, run->task.len));
	bool saved = run->spec.checkpoints && run->done_ms > 0;
	const char *checkpoint =
		own_text (listing, saved ? g_strdup_printf ("%" G_GINT64_FORMAT, run->done_ms)
					 : g_strdup (""));
	struct dff_run_active open = {
		.task = dff_str_from (task),
		.run = run->run,
		.checkpoint = dff_str_from (checkpoint),
		.percent = (int32_t)(run->done_ms * 100 / MAX (run->spec.duration_ms, 1))};
	g_array_append_val (listing->running, open);
}

static void
list_ended (struct listing *listing, const struct end *end)
{
	const char *task = own_text (listing, g_strndup (end->task.data, end->task.len));
	struct dff_run_ended one = {
		.number = end->number,
		.task = dff_str_from (task),
		.run = end->run,
		.end = end->end,
		.checkpoint = dff_str_from (own_text (listing, g_strdup (end->checkpoint)))};
	g_array_append_val (listing->ended, one);
}

static void
answer_watch (struct call *call)
{
	struct worker *worker = call->worker;
	struct listing *listing = g_new0 (struct listing, 1);
	listing->call = call;
	listing->running = g_array_new (FALSE, FALSE, sizeof (struct dff_run_active));
	listing->ended = g_array_new (FALSE, FALSE, sizeof (struct dff_run_ended));
	listing->texts = g_ptr_array_new_with_free_func (g_free);
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, worker->runs);
	while (g_hash_table_iter_next (&iter, NULL, &value))
		list_run (listing, value);
	int32_t max = call->client->runner->options.listed_ends_max;
	guint n_listed = max > 0 ? MIN (worker->ends->len, (guint)max) : worker->ends->len;
	for (guint i = 0; i < n_listed; i++)
		list_ended (listing, &g_array_index (worker->ends, struct end, i));
	listing->result = (struct dff_runner_result){
		.outcome = call->outcome,
		.clock_ms = memory_worker_clock_ms (worker),
		.started_ms =
			worker->faults.hides_start ? DFF_START_UNREPORTED : worker->started_ms,
		.running = (const struct dff_run_active *)(void *)listing->running->data,
		.n_running = listing->running->len,
		.ended = (const struct dff_run_ended *)(void *)listing->ended->data,
		.n_ended = listing->ended->len,
		.ended_complete = max == 0 || (int32_t)n_listed < max};
	if (worker->faults.answer_ms == 0) {
		deliver_listing (listing);
		return;
	}
	dff_virtual_loop_schedule (call->client->runner->options.loop, worker->faults.answer_ms,
				   deliver_listing, listing);
}

static void
answer (void *user)
{
	struct call *call = user;
	const struct worker *worker = call->worker;
	int64_t now_ms = memory_runner_now_ms (call->client->runner);
	if (worker->dead || worker->faults.drops_calls || worker->faults.drops_answers) {
		dff_virtual_loop_schedule (call->client->runner->options.loop,
					   MAX (call->timeout_ms - now_ms, 0), fail_unanswered,
					   call);
		return;
	}
	if (call->kind == DFF_CALL_WATCH && call->outcome == DFF_RUNNER_DONE) {
		if (worker->ends->len == 0 && now_ms < call->until_ms) {
			dff_virtual_loop_schedule (call->client->runner->options.loop,
						   WATCH_POLL_MS, answer, call);
			return;
		}
		answer_watch (call);
		return;
	}
	struct dff_runner_result result = {.outcome = call->outcome,
					   .clock_ms = memory_worker_clock_ms (worker)};
	call_complete (call, &result);
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
arrive_late (void *user)
{
	struct call *call = user;
	/* The worker may have restarted since the call was made. */
	call->worker = find_by_address (call->client->runner, &call->order.address);
	if (call->worker != NULL && !call->worker->dead)
		execute (call);
	g_free (call);
}

static void
arrive (void *user)
{
	struct call *call = user;
	struct dff_memory_runner *runner = call->client->runner;
	int64_t now_ms = memory_runner_now_ms (runner);
	const struct dff_name *address =
		call->kind == DFF_CALL_WATCH ? &call->watch.address : &call->order.address;
	call->worker = find_by_address (runner, address);
	if (call->worker == NULL || call->worker->dead || call->worker->faults.drops_calls ||
	    g_hash_table_contains (call->client->unreachable, call->worker->id)) {
		dff_virtual_loop_schedule (runner->options.loop, MAX (call->timeout_ms - now_ms, 0),
					   fail_unanswered, call);
		return;
	}
	struct dff_memory_worker_faults *faults = &call->worker->faults;
	if (call->kind != DFF_CALL_WATCH && faults->late_orders > 0) {
		faults->late_orders--;
		struct call *late = g_memdup2 (call, sizeof (*call));
		dff_virtual_loop_schedule (runner->options.loop, faults->late_ms, arrive_late,
					   late);
		dff_virtual_loop_schedule (runner->options.loop, MAX (call->timeout_ms - now_ms, 0),
					   fail_unanswered, call);
		return;
	}
	bool is_start = call->kind == DFF_CALL_START;
	bool was_present =
		is_start && g_hash_table_contains (call->worker->runs, &call->order.task);
	call->outcome = execute (call);
	if (is_start && !was_present && call->outcome == DFF_RUNNER_DONE)
		memory_worker_check_allowed (call->worker, &call->order);
	dff_virtual_loop_schedule (runner->options.loop, LINK_DELAY_MS, answer, call);
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
	int64_t now_ms = memory_runner_now_ms (client->runner);
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
	dff_virtual_loop_schedule (client->runner->options.loop, LINK_DELAY_MS, arrive, call);
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
	g_hash_table_unref (client->unreachable);
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
	memory_worker_start_checks (worker);
	return &worker->faults;
}

/* Returns: (nullable): the last incarnation of the worker called @id. */
static struct worker *
find_by_id (struct dff_memory_runner *runner, const char *id)
{
	for (guint i = runner->workers->len; i > 0; i--) {
		struct worker *worker = g_ptr_array_index (runner->workers, i - 1);
		if (strcmp (worker->id, id) == 0)
			return worker;
	}
	return NULL;
}

struct dff_memory_worker_faults *
dff_memory_runner_add_with_start (struct dff_memory_runner *runner,
				  const char *id,
				  const char *address,
				  int32_t accelerators,
				  int32_t clock_permille)
{
	struct dff_memory_worker_faults *faults =
		dff_memory_runner_add (runner, id, address, accelerators, clock_permille);
	find_by_id (runner, id)->started_ms = memory_runner_now_ms (runner);
	return faults;
}

int64_t
dff_memory_runner_started_ms (struct dff_memory_runner *runner, const char *id)
{
	const struct worker *worker = find_by_id (runner, id);
	return worker != NULL ? worker->started_ms : 0;
}

void
dff_memory_runner_resize (struct dff_memory_runner *runner, const char *id, int32_t accelerators)
{
	struct worker *worker = find_by_id (runner, id);
	int64_t now_ms = memory_runner_now_ms (runner);
	if (accelerators < worker->accelerators) {
		bool former = now_ms < worker->former_until_ms;
		worker->former_accelerators =
			MAX (worker->accelerators, former ? worker->former_accelerators : 0);
		worker->former_until_ms = now_ms + RESIZE_NOTICE_MS;
	}
	worker->accelerators = accelerators;
}

void
dff_memory_runner_kill (struct dff_memory_runner *runner, const char *id)
{
	struct worker *worker = find_by_id (runner, id);
	if (worker != NULL && !worker->dead)
		memory_worker_kill (worker);
}

struct dff_memory_runner_client *
dff_memory_runner_client_new (struct dff_memory_runner *runner)
{
	struct dff_memory_runner_client *client = g_new0 (struct dff_memory_runner_client, 1);
	client->runner = runner;
	client->unreachable = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
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
		g_hash_table_add (client->unreachable, g_strdup (id));
	else
		g_hash_table_remove (client->unreachable, id);
}

const char *
dff_memory_runner_violation (const struct dff_memory_runner *runner)
{
	return runner->violation;
}

int32_t
dff_memory_runner_n_active (const struct dff_memory_runner *runner)
{
	int32_t count = 0;
	for (guint i = 0; i < runner->workers->len; i++) {
		const struct worker *worker = g_ptr_array_index (runner->workers, i);
		count += worker->dead ? 0 : (int32_t)g_hash_table_size (worker->runs);
	}
	return count;
}

const char *
dff_memory_runner_worker_of (const struct dff_memory_runner *runner, const char *task)
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
dff_memory_runner_n_incarnations_ended (const struct dff_memory_runner *runner, const char *task)
{
	struct dff_name name = dff_name_from (task);
	const struct history *history = g_hash_table_lookup (runner->histories, &name);
	return history != NULL ? history->n_incarnations_ended : 0;
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
