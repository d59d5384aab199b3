#include "tests/holder/site_links.h"

/** Delay of a message, ms. */
#define MESSAGE_DELAY_MS 1
/** Timeout of a state query, ms. */
#define QUERY_TIMEOUT_MS 200
/** Timeout of a row beyond the timeout that it carries, ms. */
#define ROW_MARGIN_MS 200

/** A row or a state query on its way to the holder, and its answer. Freed when the site is closed:
 * either process may be killed meanwhile. */
struct hop {
	struct site_process *sender;
	int32_t sender_incarnation;
	struct site_process *target;
	struct dff_name job;
	GString *value;
	int32_t timeout_ms;
	dff_intake_forward_func row_done;
	dff_front_state_func state_done;
	void *user;
	bool answered;
	struct dff_intake_forward_result forwarded;
	struct dff_holder_job_state job_state;
};

static struct dff_virtual_loop *
loop_of (const struct hop *hop)
{
	return hop->sender->site->loop;
}

static struct hop *
hop_new (struct site_process *sender, const struct dff_name *job, void *user)
{
	struct hop *hop = g_new0 (struct hop, 1);
	hop->sender = sender;
	hop->sender_incarnation = sender->incarnation;
	hop->target = &sender->site->processes[sender->holder_address.data[1] - '0'];
	hop->job = *job;
	hop->user = user;
	hop->forwarded = (struct dff_intake_forward_result){.delivery = DFF_INTAKE_UNREACHABLE,
							    .outcome = DFF_ROWS_UNKNOWN};
	g_ptr_array_add (sender->site->hops, hop);
	return hop;
}

void
site_hop_free (gpointer data)
{
	struct hop *hop = data;
	if (hop->value != NULL)
		g_string_free (hop->value, TRUE);
	g_free (hop);
}

static void
deliver_answer (void *user)
{
	struct hop *hop = user;
	if (hop->answered || !hop->sender->alive ||
	    hop->sender->incarnation != hop->sender_incarnation)
		return;
	hop->answered = true;
	if (hop->row_done != NULL)
		hop->row_done (hop->user, &hop->forwarded);
	else
		hop->state_done (hop->user, hop->job_state.known, hop->job_state.state);
}

static void
handle_row_answer (void *user, const struct dff_rows_result *result)
{
	struct hop *hop = user;
	hop->forwarded.outcome = result->outcome;
	hop->forwarded.delivery = DFF_INTAKE_DELIVERED;
	dff_virtual_loop_schedule (loop_of (hop), MESSAGE_DELAY_MS, deliver_answer, hop);
}

static void
handle_job_state (void *user, const struct dff_holder_job_state *job_state)
{
	struct hop *hop = user;
	hop->job_state = *job_state;
	dff_virtual_loop_schedule (loop_of (hop), MESSAGE_DELAY_MS, deliver_answer, hop);
}

static void
handle_arrival (void *user)
{
	struct hop *hop = user;
	if (!hop->target->alive) {
		hop->forwarded.outcome = DFF_ROWS_NOT_DONE;
		dff_virtual_loop_schedule (loop_of (hop), MESSAGE_DELAY_MS, deliver_answer, hop);
		return;
	}
	if (hop->state_done != NULL) {
		dff_holder_query_state (hop->target->holder, &hop->job, handle_job_state, hop);
		return;
	}
	if (!dff_intake_is_holder (hop->target->intake)) {
		hop->forwarded = (struct dff_intake_forward_result){
			.delivery = DFF_INTAKE_MISDIRECTED,
			.outcome = DFF_ROWS_NOT_DONE,
			.holder = *dff_intake_holder_address (hop->target->intake)};
		dff_virtual_loop_schedule (loop_of (hop), MESSAGE_DELAY_MS, deliver_answer, hop);
		return;
	}
	struct dff_intake_row row = {.key = {hop->job.data, hop->job.len},
				     .value = {hop->value->str, hop->value->len},
				     .timeout_ms = hop->timeout_ms};
	dff_intake_write (hop->target->intake, &row, handle_row_answer, hop);
}

static void
forward_row (void *ctx,
	     const struct dff_name *address,
	     const struct dff_intake_row *row,
	     dff_intake_forward_func done,
	     void *user)
{
	(void)address;
	struct dff_name key;
	assert_true (dff_name_parse (row->key, &key));
	struct hop *hop = hop_new (ctx, &key, user);
	hop->value = g_string_new_len (row->value.data, (gssize)row->value.len);
	hop->timeout_ms = row->timeout_ms;
	hop->row_done = done;
	dff_virtual_loop_schedule (loop_of (hop), MESSAGE_DELAY_MS, handle_arrival, hop);
	dff_virtual_loop_schedule (loop_of (hop), row->timeout_ms + ROW_MARGIN_MS, deliver_answer,
				   hop);
}

static bool
query_state (void *ctx, const struct dff_name *job, dff_front_state_func done, void *user)
{
	struct site_process *process = ctx;
	if (dff_name_is_empty (&process->holder_address))
		return false;
	struct hop *hop = hop_new (process, job, user);
	hop->state_done = done;
	dff_virtual_loop_schedule (loop_of (hop), MESSAGE_DELAY_MS, handle_arrival, hop);
	dff_virtual_loop_schedule (loop_of (hop), QUERY_TIMEOUT_MS, deliver_answer, hop);
	return true;
}

static bool
record_row (void *ctx, const struct dff_intake_row *row, dff_rows_func done, void *user)
{
	const struct site_process *process = ctx;
	struct dff_holder_submission submission = {
		.key = row->key, .value = row->value, .timeout_ms = row->timeout_ms};
	return dff_holder_submit (process->holder, &submission, done, user);
}

static bool
store_is_silent (void *ctx)
{
	const struct site_process *process = ctx;
	return dff_rows_health_is_silent (process->health);
}

static bool
writes_forwarded (void *ctx)
{
	const struct site_process *process = ctx;
	return dff_intake_writes_forwarded (process->intake);
}

/* Reports a slow store, so that all rows go through the holder. */
static int64_t
store_latency_ms (void *ctx)
{
	(void)ctx;
	return 1000;
}

static void
handle_holder_moved (void *ctx, const struct dff_name *address)
{
	struct site_process *process = ctx;
	process->holder_address = *address;
}

static void
handle_holder_lost (void *ctx)
{
	const struct site_process *process = ctx;
	dff_holder_handle_holder_lost (process->holder);
}

static void
handle_holder_changed (void *ctx, const struct dff_name *address, bool self)
{
	struct site_process *process = ctx;
	process->holder_address = *address;
	if (self)
		process->holder_address =
			dff_name_printf ("p%d", (int)(process - process->site->processes));
	dff_intake_set_holder_address (process->intake, address, self);
}

void
site_links_options (struct site_process *process, struct dff_holder_options *options)
{
	options->holder_changed = handle_holder_changed;
	options->holder_ctx = process;
}

void
site_links_start (struct site_process *process)
{
	struct dff_intake_options options = {
		.timers = dff_virtual_loop_timers (process->site->loop),
		.rows = dff_rows_health_interface (process->health),
		.metrics = process->metrics,
		.forward_min_latency_ms = 0,
		.store_is_silent = store_is_silent,
		.store_latency_ms = store_latency_ms,
		.store_ctx = process,
		.forward = forward_row,
		.forward_ctx = process,
		.record = record_row,
		.record_ctx = process,
		.holder_lost = handle_holder_lost,
		.holder_moved = handle_holder_moved,
		.holder_ctx = process,
	};
	process->intake = dff_intake_new (&options);
	process->holder_address = (struct dff_name){0};
}

void
site_links_front_options (struct site_process *process, struct dff_front_options *options)
{
	options->rows = dff_intake_interface (process->intake);
	options->writes_forwarded = writes_forwarded;
	options->query_state = query_state;
	options->query_ctx = process;
}

void
site_links_kill (struct site_process *process)
{
	g_clear_pointer (&process->intake, dff_intake_free);
}
