#include "tests/holder/site_links.h"

/** Time until a message arrives, ms. */
#define WAY_MS 1
/** Time after which a question has no answer any more, ms. */
#define ASK_TIMEOUT_MS 200
/** The same for a row, beyond its own time. */
#define ROW_MARGIN_MS 200

/** A row or a question on its way to the process that decides, and its answer back. Kept until the
 * site is closed: either end may be killed meanwhile. */
struct hop {
	struct site_process *asker;
	int32_t asker_lives;
	struct site_process *target;
	struct dff_name job;
	GString *value;
	int32_t timeout_ms;
	dff_intake_forward_func row_done;
	dff_front_state_func state_done;
	void *user;
	bool answered;
	struct dff_intake_forward_result forwarded;
	struct dff_holder_job_state sight;
};

static struct dff_virtual_loop *
loop_of (const struct hop *hop)
{
	return hop->asker->site->loop;
}

static struct hop *
hop_new (struct site_process *asker, const struct dff_name *job, void *user)
{
	struct hop *hop = g_new0 (struct hop, 1);
	hop->asker = asker;
	hop->asker_lives = asker->lives;
	hop->target = &asker->site->processes[asker->decider.data[1] - '0'];
	hop->job = *job;
	hop->user = user;
	hop->forwarded = (struct dff_intake_forward_result){.delivery = DFF_INTAKE_UNREACHABLE,
							    .outcome = DFF_ROWS_UNKNOWN};
	g_ptr_array_add (asker->site->hops, hop);
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
deliver (void *user)
{
	struct hop *hop = user;
	if (hop->answered || !hop->asker->alive || hop->asker->lives != hop->asker_lives)
		return;
	hop->answered = true;
	if (hop->row_done != NULL)
		hop->row_done (hop->user, &hop->forwarded);
	else
		hop->state_done (hop->user, hop->sight.known, hop->sight.state);
}

static void
handle_row_answer (void *user, const struct dff_rows_result *result)
{
	struct hop *hop = user;
	hop->forwarded.outcome = result->outcome;
	hop->forwarded.delivery = DFF_INTAKE_DELIVERED;
	dff_virtual_loop_schedule (loop_of (hop), WAY_MS, deliver, hop);
}

static void
handle_sight (void *user, const struct dff_holder_job_state *sight)
{
	struct hop *hop = user;
	hop->sight = *sight;
	dff_virtual_loop_schedule (loop_of (hop), WAY_MS, deliver, hop);
}

static void
arrive (void *user)
{
	struct hop *hop = user;
	if (!hop->target->alive) {
		hop->forwarded.outcome = DFF_ROWS_NOT_DONE;
		dff_virtual_loop_schedule (loop_of (hop), WAY_MS, deliver, hop);
		return;
	}
	if (hop->state_done != NULL) {
		dff_holder_query_state (hop->target->holder, &hop->job, handle_sight, hop);
		return;
	}
	if (!dff_intake_is_holder (hop->target->intake)) {
		hop->forwarded = (struct dff_intake_forward_result){
			.delivery = DFF_INTAKE_MISDIRECTED,
			.outcome = DFF_ROWS_NOT_DONE,
			.holder = *dff_intake_holder_address (hop->target->intake)};
		dff_virtual_loop_schedule (loop_of (hop), WAY_MS, deliver, hop);
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
	dff_virtual_loop_schedule (loop_of (hop), WAY_MS, arrive, hop);
	dff_virtual_loop_schedule (loop_of (hop), row->timeout_ms + ROW_MARGIN_MS, deliver, hop);
}

static bool
ask_state (void *ctx, const struct dff_name *job, dff_front_state_func done, void *user)
{
	struct site_process *process = ctx;
	if (dff_name_is_empty (&process->decider))
		return false;
	struct hop *hop = hop_new (process, job, user);
	hop->state_done = done;
	dff_virtual_loop_schedule (loop_of (hop), WAY_MS, arrive, hop);
	dff_virtual_loop_schedule (loop_of (hop), ASK_TIMEOUT_MS, deliver, hop);
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
writes_elsewhere (void *ctx)
{
	const struct site_process *process = ctx;
	return dff_intake_writes_forwarded (process->intake);
}

/* Everything goes through the process that decides, as in a store that is always slow. */
static int64_t
store_took_ms (void *ctx)
{
	(void)ctx;
	return 1000;
}

static void
note_moved (void *ctx, const struct dff_name *address)
{
	struct site_process *process = ctx;
	process->decider = *address;
}

static void
note_lost (void *ctx)
{
	const struct site_process *process = ctx;
	dff_holder_handle_holder_lost (process->holder);
}

static void
note_holder (void *ctx, const struct dff_name *address, bool self)
{
	struct site_process *process = ctx;
	process->decider = *address;
	if (self)
		process->decider =
			dff_name_printf ("p%d", (int)(process - process->site->processes));
	dff_intake_set_holder_address (process->intake, address, self);
}

void
site_links_options (struct site_process *process, struct dff_holder_options *options)
{
	options->holder_changed = note_holder;
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
		.store_latency_ms = store_took_ms,
		.store_ctx = process,
		.forward = forward_row,
		.forward_ctx = process,
		.record = record_row,
		.record_ctx = process,
		.holder_lost = note_lost,
		.holder_moved = note_moved,
		.holder_ctx = process,
	};
	process->intake = dff_intake_new (&options);
	process->decider = (struct dff_name){0};
}

void
site_links_front (struct site_process *process, struct dff_front_options *options)
{
	options->rows = dff_intake_interface (process->intake);
	options->writes_forwarded = writes_elsewhere;
	options->query_state = ask_state;
	options->query_ctx = process;
}

void
site_links_kill (struct site_process *process)
{
	g_clear_pointer (&process->intake, dff_intake_free);
}
