#include "front/intake.h"

#include <inttypes.h>

#include "common/log.h"
#include "holder/tables.h"
#include "rows/waiters.h"

/** Time for which rows go through the holder after the store has refused a write of this process,
 * ms. */
#define REFUSAL_ROUTE_MS 1500
/** Maximum number of rows in one transaction; each row is a condition and two writes. */
#define BATCH_ROWS 33
/** Maximum total size of these rows before encoding, bytes: the store accepts 1 MB in base64. */
#define BATCH_BYTES 600000
/** Timeout of a transaction, ms. Long enough for a store that is sixty times slower than usual with
 * other transactions queued in front. */
#define BATCH_TIMEOUT_MS 1500
/** Delay after a transaction that was refused or not answered, ms. */
#define RETRY_DELAY_MS 60
/** Least time left for which another transaction is sent, ms. */
#define MIN_REMAINING_MS 20
/** Refused transactions after which the callers of a row are answered. A store that is overloaded
 * accepts the next transaction; a store that is down accepts none. */
#define REFUSALS_MAX 3
/** Store latency from which transactions are assumed to queue, ms: ten times the usual duration of
 * one. */
#define SLOW_STORE_LATENCY_MS 100
/** Maximum number of processes that a row is forwarded to in turn, while each answers that it is
 * not the holder. */
#define FORWARDS_MAX 3
/** Interval at which deferred rows are checked for a known holder, ms. */
#define DEFERRED_CHECK_INTERVAL_MS 50
/** Time for which rows go straight to the store after the holder did not accept a row, ms. The
 * holder may have failed, and the next holder is known within this time. */
#define HOLDER_AVOID_MS 400

/** A row that is to be written, for one caller or more. */
struct entry {
	char *key;
	GString *value;
	int64_t deadline_ms;
	/** Whether an earlier transaction with this row may still take effect. */
	bool may_be_written;
	int32_t n_refused;
	/** Callers to be answered, see rows/waiters.h. */
	GArray *waiters;
};

/** A row that is kept until a holder is known. */
struct deferred {
	char *key;
	GString *value;
	int64_t deadline_ms;
	dff_rows_func done;
	void *user;
};

struct dff_intake {
	struct dff_rows interface;
	struct dff_intake_options options;
	struct dff_name holder_address;
	bool is_holder;
	int64_t refused_until_ms;
	int64_t avoid_until_ms;
	/** Elements: struct entry *, oldest first. */
	GQueue waiting;
	/** (nullable): entries in the transaction in progress. Elements: struct entry *. */
	GPtrArray *in_flight;
	int64_t batch_started_ms;
	/** Elements: struct deferred *. */
	GQueue deferred;
	struct dff_timer *deferred_timer;
	struct dff_timer *batch_timer;
	/** Fires at the earliest deadline of a row. */
	struct dff_timer *expiry_timer;
	int64_t *forwarded;
	int64_t *batches;
	int64_t *batch_rows;
};

struct direct_call {
	struct dff_intake *intake;
	dff_rows_func done;
	void *user;
};

/** A row that was forwarded to the holder. */
struct forward {
	struct dff_intake *intake;
	char *key;
	GString *value;
	int64_t deadline_ms;
	int32_t n_tries;
	dff_rows_func done;
	void *user;
};

static int64_t
now_ms (const struct dff_intake *intake)
{
	return dff_clock_now_ms (intake->options.timers->clock);
}

static void
free_entry (gpointer data)
{
	struct entry *entry = data;
	g_free (entry->key);
	g_string_free (entry->value, TRUE);
	g_array_unref (entry->waiters);
	g_free (entry);
}

static void
finish_entry (struct entry *entry, enum dff_rows_outcome outcome, int64_t revision)
{
	dff_rows_waiters_answer (entry->waiters, outcome, revision);
	free_entry (entry);
}

/* Answers NOT_DONE only if no transaction can still write the row. */
static void
fail_entry (struct entry *entry)
{
	finish_entry (entry, entry->may_be_written ? DFF_ROWS_UNKNOWN : DFF_ROWS_NOT_DONE, 0);
}

static bool
result_has_row (const struct dff_rows_result *result, const char *key)
{
	for (size_t i = 0; i < result->n_rows; i++) {
		if (result->rows[i].revision > 0 &&
		    dff_str_equal (result->rows[i].key, dff_str_from (key)))
			return true;
	}
	return false;
}

static void
handle_batch (void *user, const struct dff_rows_result *result)
{
	struct dff_intake *intake = user;
	g_autoptr (GPtrArray) entries = g_steal_pointer (&intake->in_flight);
	dff_log (DFF_LOG_ENTRY, DFF_LOG_INFO,
		 "Rows written together. rows=%u outcome=%d took_ms=%" PRId64 " waiting=%u",
		 entries->len, (int)result->outcome, now_ms (intake) - intake->batch_started_ms,
		 intake->waiting.length);
	for (guint i = entries->len; i > 0; i--) {
		struct entry *entry = g_ptr_array_index (entries, i - 1);
		if (result->outcome == DFF_ROWS_DONE) {
			finish_entry (entry, DFF_ROWS_DONE, result->revision);
		} else if (result->outcome == DFF_ROWS_CONFLICT &&
			   result_has_row (result, entry->key)) {
			/* An earlier transaction or another process wrote the row. */
			finish_entry (entry, DFF_ROWS_CONFLICT, result->revision);
		} else {
			entry->may_be_written |= result->outcome == DFF_ROWS_UNKNOWN;
			entry->n_refused += result->outcome == DFF_ROWS_NOT_DONE;
			g_queue_push_head (&intake->waiting, entry);
		}
	}
	bool conclusive = result->outcome == DFF_ROWS_DONE || result->outcome == DFF_ROWS_CONFLICT;
	dff_timer_start (intake->batch_timer, conclusive ? 0 : RETRY_DELAY_MS);
}

static void
fail_unservable_entries (struct dff_intake *intake)
{
	int64_t latest_ms = now_ms (intake) + MIN_REMAINING_MS;
	for (guint n = intake->waiting.length; n > 0; n--) {
		struct entry *entry = g_queue_pop_head (&intake->waiting);
		bool refused = entry->n_refused >= REFUSALS_MAX && !entry->may_be_written;
		if (entry->deadline_ms <= latest_ms || refused)
			fail_entry (entry);
		else
			g_queue_push_tail (&intake->waiting, entry);
	}
}

/* Answers callers at their deadlines. A transaction's timeout is longer than a caller's remaining
 * time: when the store stops answering, a row would otherwise wait for the timeout of the
 * transaction in front and then for its own, and callers would be answered a second after their
 * deadline. */
static void
handle_expiry (void *ctx)
{
	struct dff_intake *intake = ctx;
	int64_t now = now_ms (intake);
	int64_t next_ms = INT64_MAX;
	fail_unservable_entries (intake);
	for (GList *link = intake->waiting.head; link != NULL; link = link->next)
		next_ms = MIN (next_ms, ((struct entry *)link->data)->deadline_ms);
	for (guint i = 0; intake->in_flight != NULL && i < intake->in_flight->len; i++) {
		struct entry *entry = g_ptr_array_index (intake->in_flight, i);
		if (entry->deadline_ms <= now)
			dff_rows_waiters_answer (entry->waiters, DFF_ROWS_UNKNOWN, 0);
		else
			next_ms = MIN (next_ms, entry->deadline_ms);
	}
	if (next_ms < INT64_MAX)
		dff_timer_start (intake->expiry_timer, (int32_t)MAX (next_ms - now, 1));
}

static void
send_batch (struct dff_intake *intake)
{
	struct dff_rows_condition conditions[BATCH_ROWS];
	struct dff_rows_write writes[2 * BATCH_ROWS];
	size_t n_rows = 0;
	gsize bytes = 0;
	intake->in_flight = g_ptr_array_new ();
	while (n_rows < BATCH_ROWS && bytes < BATCH_BYTES && intake->waiting.length > 0) {
		struct entry *entry = g_queue_pop_head (&intake->waiting);
		struct dff_str key = dff_str_from (entry->key);
		conditions[n_rows] =
			(struct dff_rows_condition){.table = DFF_TABLE_JOBS, .key = key};
		writes[2 * n_rows] =
			(struct dff_rows_write){.table = DFF_TABLE_JOBS,
						.key = key,
						.value = {entry->value->str, entry->value->len}};
		writes[2 * n_rows + 1] = (struct dff_rows_write){
			.table = DFF_TABLE_INBOX, .key = key, .value = dff_str_from ("{}")};
		bytes += entry->value->len;
		n_rows++;
		g_ptr_array_add (intake->in_flight, entry);
	}
	struct dff_rows_commit commit = {.conditions = conditions,
					 .n_conditions = n_rows,
					 .writes = writes,
					 .n_writes = 2 * n_rows,
					 .timeout_ms = BATCH_TIMEOUT_MS};
	(*intake->batches)++;
	(*intake->batch_rows) += (int64_t)n_rows;
	intake->batch_started_ms = now_ms (intake);
	intake->options.rows->commit (intake->options.rows->ctx, &commit, handle_batch, intake);
	handle_expiry (intake);
}

static bool
store_is_slow (const struct dff_intake *intake)
{
	return intake->options.store_latency_ms (intake->options.store_ctx) >=
	       SLOW_STORE_LATENCY_MS;
}

static void
handle_recorded (void *user, const struct dff_rows_result *result)
{
	finish_entry (user, result->outcome, result->revision);
}

/* Passes rows that were queued before this process became the holder to the holder's own
 * transactions. */
static void
record_waiting_entries (struct dff_intake *intake)
{
	const struct dff_intake_options *options = &intake->options;
	for (guint n = intake->waiting.length; options->record != NULL && n > 0; n--) {
		struct entry *entry = g_queue_pop_head (&intake->waiting);
		struct dff_intake_row row = {
			.key = dff_str_from (entry->key),
			.value = {entry->value->str, entry->value->len},
			.timeout_ms = (int32_t)(entry->deadline_ms - now_ms (intake))};
		if (entry->may_be_written ||
		    !options->record (options->record_ctx, &row, handle_recorded, entry))
			g_queue_push_tail (&intake->waiting, entry);
	}
}

/* With a slow store, rows wait for the holder's own transactions: separate transactions beside them
 * would only delay them. */
static void
handle_batch_timer (void *ctx)
{
	struct dff_intake *intake = ctx;
	fail_unservable_entries (intake);
	bool prefer_record = intake->options.record != NULL && store_is_slow (intake);
	if (prefer_record)
		record_waiting_entries (intake);
	if (intake->in_flight != NULL || intake->waiting.length == 0)
		return;
	if (prefer_record)
		dff_timer_start (intake->batch_timer, RETRY_DELAY_MS);
	else
		send_batch (intake);
}

/* Returns: (nullable): the entry of a row that is queued or being written. The same row may be sent
 * again meanwhile; a second condition on its key would fail the whole transaction. */
static struct entry *
find_entry (const struct dff_intake *intake, struct dff_str key)
{
	for (guint i = 0; intake->in_flight != NULL && i < intake->in_flight->len; i++) {
		struct entry *entry = g_ptr_array_index (intake->in_flight, i);
		if (dff_str_equal (dff_str_from (entry->key), key))
			return entry;
	}
	for (GList *link = intake->waiting.head; link != NULL; link = link->next) {
		struct entry *entry = link->data;
		if (dff_str_equal (dff_str_from (entry->key), key))
			return entry;
	}
	return NULL;
}

static void
free_deferred (gpointer data)
{
	struct deferred *deferred = data;
	g_free (deferred->key);
	g_string_free (deferred->value, TRUE);
	g_free (deferred);
}

/* Keeps a row until a holder is known. After the holder has released the lease, rows sent straight
 * to a slow store, a dozen in half a second, would queue in front of the next holder's takeover
 * until the store refuses it: a store that takes 400 ms per transaction would then record nothing
 * for five seconds. */
static void
defer_row (struct dff_intake *intake,
	   const struct dff_intake_row *row,
	   dff_rows_func done,
	   void *user)
{
	struct deferred *deferred = g_new0 (struct deferred, 1);
	deferred->key = g_strndup (row->key.data, row->key.len);
	deferred->value = g_string_new_len (row->value.data, (gssize)row->value.len);
	deferred->deadline_ms = now_ms (intake) + row->timeout_ms;
	deferred->done = done;
	deferred->user = user;
	g_queue_push_tail (&intake->deferred, deferred);
	dff_timer_start (intake->deferred_timer, DEFERRED_CHECK_INTERVAL_MS);
}

/* Answers NOT_DONE. Asynchronous: callbacks are never called before the call returns. */
static void
reject_row (struct dff_intake *intake,
	    const struct dff_intake_row *row,
	    dff_rows_func done,
	    void *user)
{
	struct dff_intake_row expired = *row;
	expired.timeout_ms = 0;
	defer_row (intake, &expired, done, user);
	dff_timer_start (intake->deferred_timer, 0);
}

void
dff_intake_write (struct dff_intake *intake,
		  const struct dff_intake_row *row,
		  dff_rows_func done,
		  void *user)
{
	const struct dff_intake_options *options = &intake->options;
	int64_t deadline_ms = now_ms (intake) + row->timeout_ms;
	struct entry *entry = find_entry (intake, row->key);
	if (entry == NULL && options->store_is_silent != NULL &&
	    options->store_is_silent (options->store_ctx)) {
		reject_row (intake, row, done, user);
		return;
	}
	if (entry == NULL && options->record != NULL &&
	    options->record (options->record_ctx, row, done, user))
		return;
	if (entry == NULL) {
		entry = g_new0 (struct entry, 1);
		entry->key = g_strndup (row->key.data, row->key.len);
		entry->value = g_string_new_len (row->value.data, (gssize)row->value.len);
		entry->waiters = dff_rows_waiters_new ();
		g_queue_push_tail (&intake->waiting, entry);
	}
	entry->deadline_ms = MAX (entry->deadline_ms, deadline_ms);
	dff_rows_waiters_add (entry->waiters, done, user);
	dff_timer_start (intake->in_flight == NULL ? intake->batch_timer : intake->expiry_timer, 0);
}

static struct direct_call *
direct_call_new (struct dff_intake *intake, dff_rows_func done, void *user)
{
	struct direct_call *call = g_new0 (struct direct_call, 1);
	*call = (struct direct_call){.intake = intake, .done = done, .user = user};
	return call;
}

static void
handle_direct (void *user, const struct dff_rows_result *result)
{
	g_autofree struct direct_call *call = user;
	struct dff_intake *intake = call->intake;
	if (result->outcome == DFF_ROWS_NOT_DONE)
		intake->refused_until_ms = now_ms (intake) + REFUSAL_ROUTE_MS;
	call->done (call->user, result);
}

static bool
routes_to_holder (const struct dff_intake *intake)
{
	int64_t now = now_ms (intake);
	if (!intake->is_holder &&
	    (dff_name_is_empty (&intake->holder_address) || now < intake->avoid_until_ms))
		return false;
	return now < intake->refused_until_ms || intake->options.forward_min_latency_ms == 0 ||
	       intake->options.store_latency_ms (intake->options.store_ctx) >=
		       intake->options.forward_min_latency_ms;
}

static void
finish_forward (struct forward *forward, enum dff_rows_outcome outcome)
{
	struct dff_rows_result result = {.outcome = outcome};
	forward->done (forward->user, &result);
	g_free (forward->key);
	g_string_free (forward->value, TRUE);
	g_free (forward);
}

/* Handles a holder that was unreachable or is not the holder any more. If its answer named another
 * process, rows are forwarded to that process; otherwise rows are not forwarded for
 * HOLDER_AVOID_MS. */
static void
handle_holder_unavailable (struct dff_intake *intake, const struct dff_name *next)
{
	const struct dff_intake_options *options = &intake->options;
	bool moved = !dff_name_is_empty (next) && !dff_name_equal (next, &intake->holder_address);
	if (moved) {
		dff_intake_set_holder_address (intake, next, false);
		if (options->holder_moved != NULL)
			options->holder_moved (options->holder_ctx, next);
	} else {
		intake->avoid_until_ms = now_ms (intake) + HOLDER_AVOID_MS;
	}
	if (options->holder_lost != NULL)
		options->holder_lost (options->holder_ctx);
}

static void handle_forwarded (void *user, const struct dff_intake_forward_result *forwarded);

static void
send_forward (struct forward *forward)
{
	struct dff_intake *intake = forward->intake;
	struct dff_intake_row row = {.key = dff_str_from (forward->key),
				     .value = {forward->value->str, forward->value->len},
				     .timeout_ms =
					     (int32_t)(forward->deadline_ms - now_ms (intake))};
	forward->n_tries++;
	(*intake->forwarded)++;
	intake->options.forward (intake->options.forward_ctx, &intake->holder_address, &row,
				 handle_forwarded, forward);
}

static void
handle_local_write (void *user, const struct dff_rows_result *result)
{
	finish_forward (user, result->outcome);
}

/* Retries a row that the receiver did nothing with: forwards the row to the present holder, or
 * writes it from this process. */
static void
retry_forward (struct forward *forward)
{
	struct dff_intake *intake = forward->intake;
	int64_t left_ms = forward->deadline_ms - now_ms (intake);
	if (left_ms <= MIN_REMAINING_MS || forward->n_tries >= FORWARDS_MAX) {
		finish_forward (forward, DFF_ROWS_NOT_DONE);
		return;
	}
	if (!intake->is_holder && routes_to_holder (intake)) {
		send_forward (forward);
		return;
	}
	struct dff_intake_row row = {.key = dff_str_from (forward->key),
				     .value = {forward->value->str, forward->value->len},
				     .timeout_ms = (int32_t)left_ms};
	dff_intake_write (intake, &row, handle_local_write, forward);
}

/* A row that the holder refused is not sent straight to the store: if transactions queue there, one
 * more would lengthen the queue. */
static void
handle_forwarded (void *user, const struct dff_intake_forward_result *forwarded)
{
	struct forward *forward = user;
	if (forwarded->delivery != DFF_INTAKE_DELIVERED)
		handle_holder_unavailable (forward->intake, &forwarded->holder);
	if (forwarded->delivery != DFF_INTAKE_DELIVERED && forwarded->outcome == DFF_ROWS_NOT_DONE)
		retry_forward (forward);
	else
		finish_forward (forward, forwarded->outcome);
}

static void
route_row (struct dff_intake *intake,
	   const struct dff_intake_row *row,
	   dff_rows_func done,
	   void *user)
{
	if (intake->is_holder) {
		dff_intake_write (intake, row, done, user);
		return;
	}
	struct forward *forward = g_new0 (struct forward, 1);
	*forward = (struct forward){
		.intake = intake,
		.key = g_strndup (row->key.data, row->key.len),
		.value = g_string_new_len (row->value.data, (gssize)row->value.len),
		.deadline_ms = now_ms (intake) + row->timeout_ms,
		.done = done,
		.user = user};
	send_forward (forward);
}

static void
dispatch_deferred (struct dff_intake *intake, struct deferred *deferred)
{
	int64_t left_ms = deferred->deadline_ms - now_ms (intake);
	struct dff_intake_row row = {.key = dff_str_from (deferred->key),
				     .value = {deferred->value->str, deferred->value->len},
				     .timeout_ms = (int32_t)left_ms};
	if (left_ms > MIN_REMAINING_MS) {
		route_row (intake, &row, deferred->done, deferred->user);
	} else {
		struct dff_rows_result result = {.outcome = DFF_ROWS_NOT_DONE};
		deferred->done (deferred->user, &result);
	}
	free_deferred (deferred);
}

static void
handle_deferred_check (void *ctx)
{
	struct dff_intake *intake = ctx;
	bool routable = routes_to_holder (intake);
	for (guint n = intake->deferred.length; n > 0; n--) {
		struct deferred *deferred = g_queue_pop_head (&intake->deferred);
		if (routable || deferred->deadline_ms <= now_ms (intake) + MIN_REMAINING_MS)
			dispatch_deferred (intake, deferred);
		else
			g_queue_push_tail (&intake->deferred, deferred);
	}
	if (intake->deferred.length > 0)
		dff_timer_start (intake->deferred_timer, DEFERRED_CHECK_INTERVAL_MS);
}

/* Matches the transactions of a front: one row that must not exist, and its key in the inbox. */
static bool
is_job_row (const struct dff_rows_commit *commit)
{
	return commit->n_conditions == 1 && commit->n_writes == 2 &&
	       commit->conditions[0].revision == 0 &&
	       g_str_equal (commit->writes[0].table, DFF_TABLE_JOBS) &&
	       g_str_equal (commit->writes[1].table, DFF_TABLE_INBOX);
}

static void
intake_commit (void *ctx, const struct dff_rows_commit *commit, dff_rows_func done, void *user)
{
	struct dff_intake *intake = ctx;
	const struct dff_rows *rows = intake->options.rows;
	bool via_holder = routes_to_holder (intake);
	bool defers = !via_holder && intake->options.record != NULL && store_is_slow (intake);
	if (!is_job_row (commit) || (!via_holder && !defers)) {
		rows->commit (rows->ctx, commit, handle_direct,
			      direct_call_new (intake, done, user));
		return;
	}
	struct dff_intake_row row = {.key = commit->writes[0].key,
				     .value = commit->writes[0].value,
				     .timeout_ms = commit->timeout_ms};
	if (defers)
		defer_row (intake, &row, done, user);
	else
		route_row (intake, &row, done, user);
}

static void
intake_get (void *ctx, const struct dff_rows_range *range, dff_rows_func done, void *user)
{
	const struct dff_rows *rows = ((struct dff_intake *)ctx)->options.rows;
	rows->get (rows->ctx, range, done, user);
}

static void
intake_feed (void *ctx, const struct dff_rows_feed *feed, dff_rows_func done, void *user)
{
	const struct dff_rows *rows = ((struct dff_intake *)ctx)->options.rows;
	rows->feed (rows->ctx, feed, done, user);
}

bool
dff_intake_writes_forwarded (const struct dff_intake *intake)
{
	return !intake->is_holder && routes_to_holder (intake);
}

void
dff_intake_set_holder_address (struct dff_intake *intake, const struct dff_name *address, bool self)
{
	if (!dff_name_equal (address, &intake->holder_address))
		intake->avoid_until_ms = 0;
	intake->holder_address = *address;
	intake->is_holder = self;
}

bool
dff_intake_is_holder (const struct dff_intake *intake)
{
	return intake->is_holder;
}

const struct dff_name *
dff_intake_holder_address (const struct dff_intake *intake)
{
	return &intake->holder_address;
}

const struct dff_rows *
dff_intake_interface (struct dff_intake *intake)
{
	return &intake->interface;
}

struct dff_intake *
dff_intake_new (const struct dff_intake_options *options)
{
	struct dff_intake *intake = g_new0 (struct dff_intake, 1);
	intake->options = *options;
	intake->interface = (struct dff_rows){
		.commit = intake_commit, .get = intake_get, .feed = intake_feed, .ctx = intake};
	intake->batch_timer = dff_timer_new (options->timers, handle_batch_timer, intake);
	intake->expiry_timer = dff_timer_new (options->timers, handle_expiry, intake);
	intake->deferred_timer = dff_timer_new (options->timers, handle_deferred_check, intake);
	intake->forwarded = dff_metrics_counter (options->metrics, "dff_intake_forwarded_total",
						 "Rows handed to the process that gathers them.");
	intake->batches = dff_metrics_counter (options->metrics, "dff_intake_batches_total",
					       "Transactions with rows of many callers.");
	intake->batch_rows = dff_metrics_counter (options->metrics, "dff_intake_batch_rows_total",
						  "Rows in these transactions.");
	return intake;
}

void
dff_intake_free (struct dff_intake *intake)
{
	g_queue_clear_full (&intake->waiting, free_entry);
	if (intake->in_flight != NULL) {
		g_ptr_array_set_free_func (intake->in_flight, free_entry);
		g_ptr_array_unref (intake->in_flight);
	}
	dff_timer_free (intake->batch_timer);
	dff_timer_free (intake->expiry_timer);
	dff_timer_free (intake->deferred_timer);
	g_queue_clear_full (&intake->deferred, free_deferred);
	g_free (intake);
}
