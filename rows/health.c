#include "rows/health.h"

#include <glib.h>
#include <inttypes.h>

#include "common/log.h"

/** Time without an answer, beyond the wait that the call asks for, after which the path counts as
 * silent, ms: above the answers of a store that is sixty times as slow as usual. */
#define SILENT_AFTER_MS 700

struct dff_rows_health {
	struct dff_rows interface;
	const struct dff_rows *rows;
	const struct dff_clock *clock;
	/** Calls in progress, oldest first. Elements: struct call. */
	GQueue calls;
	/** When the last call was begun that has been answered. */
	int64_t answered_begun_ms;
	bool silent;
	int64_t *silences;
	int64_t *silent_gauge;
};

struct call {
	struct dff_rows_health *health;
	dff_rows_func done;
	void *user;
	int64_t begun_ms;
	/** When it is overdue. */
	int64_t due_ms;
	GList link;
};

static void
set_silent (struct dff_rows_health *health, bool silent, int64_t since_ms)
{
	if (silent == health->silent)
		return;
	health->silent = silent;
	*health->silent_gauge = silent;
	*health->silences += silent;
	dff_log (DFF_LOG_RECORD, silent ? DFF_LOG_WARNING : DFF_LOG_INFO,
		 "%s calls=%u unanswered_ms=%" PRId64,
		 silent ? "Store does not answer." : "Store answers again.",
		 g_queue_get_length (&health->calls),
		 dff_clock_now_ms (health->clock) - since_ms);
}

static bool
is_unheard (const struct dff_rows_health *health, const struct call *call, int64_t now_ms)
{
	return now_ms >= call->due_ms && health->answered_begun_ms <= call->begun_ms;
}

static void
handle_result (void *user, const struct dff_rows_result *result)
{
	struct call *call = user;
	struct dff_rows_health *health = call->health;
	dff_rows_func done = call->done;
	void *done_user = call->user;
	g_queue_unlink (&health->calls, &call->link);
	if (result->answered) {
		health->answered_begun_ms = MAX (health->answered_begun_ms, call->begun_ms);
		set_silent (health, false, call->begun_ms);
	} else if (is_unheard (health, call, dff_clock_now_ms (health->clock))) {
		set_silent (health, true, call->begun_ms);
	}
	g_free (call);
	done (done_user, result);
}

static struct call *
call_new (struct dff_rows_health *health, int32_t wait_ms, dff_rows_func done, void *user)
{
	struct call *call = g_new0 (struct call, 1);
	call->health = health;
	call->done = done;
	call->user = user;
	call->begun_ms = dff_clock_now_ms (health->clock);
	call->due_ms = call->begun_ms + wait_ms + SILENT_AFTER_MS;
	call->link.data = call;
	g_queue_push_tail_link (&health->calls, &call->link);
	return call;
}

static void
health_commit (void *ctx, const struct dff_rows_commit *commit, dff_rows_func done, void *user)
{
	struct dff_rows_health *health = ctx;
	health->rows->commit (health->rows->ctx, commit, handle_result,
			      call_new (health, 0, done, user));
}

static void
health_get (void *ctx, const struct dff_rows_range *range, dff_rows_func done, void *user)
{
	struct dff_rows_health *health = ctx;
	health->rows->get (health->rows->ctx, range, handle_result,
			   call_new (health, 0, done, user));
}

static void
health_feed (void *ctx, const struct dff_rows_feed *feed, dff_rows_func done, void *user)
{
	struct dff_rows_health *health = ctx;
	health->rows->feed (health->rows->ctx, feed, handle_result,
			    call_new (health, feed->wait_ms, done, user));
}

struct dff_rows_health *
dff_rows_health_new (const struct dff_rows *rows,
		     const struct dff_clock *clock,
		     struct dff_metrics *metrics)
{
	struct dff_rows_health *health = g_new0 (struct dff_rows_health, 1);
	health->rows = rows;
	health->clock = clock;
	health->answered_begun_ms = INT64_MIN;
	health->silences = dff_metrics_counter (metrics, "dff_rows_silences_total",
						"Times that the store stopped answering.");
	health->silent_gauge = dff_metrics_gauge (metrics, "dff_rows_silent",
						  "1 while the store does not answer.");
	health->interface = (struct dff_rows){.commit = health_commit,
					      .get = health_get,
					      .feed = health_feed,
					      .ctx = health};
	return health;
}

void
dff_rows_health_free (struct dff_rows_health *health)
{
	while (!g_queue_is_empty (&health->calls)) {
		struct call *call = g_queue_peek_head (&health->calls);
		g_queue_unlink (&health->calls, &call->link);
		g_free (call);
	}
	g_free (health);
}

const struct dff_rows *
dff_rows_health_interface (struct dff_rows_health *health)
{
	return &health->interface;
}

bool
dff_rows_health_is_silent (struct dff_rows_health *health)
{
	int64_t now_ms = dff_clock_now_ms (health->clock);
	for (GList *link = health->calls.head; link != NULL && !health->silent;
	     link = link->next) {
		const struct call *call = link->data;
		if (is_unheard (health, call, now_ms))
			set_silent (health, true, call->begun_ms);
	}
	return health->silent;
}
