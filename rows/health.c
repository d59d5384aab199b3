#include "rows/health.h"

#include <glib.h>
#include <inttypes.h>

#include "common/log.h"

/** Time without an answer, beyond the wait that the call requests, after which the store counts as
 * silent, ms: above the latency of a store that is sixty times as slow as usual. */
#define SILENCE_TIMEOUT_MS 700
/** Interval between two probes of a silent store, and the timeout of a probe, ms. The recovery is
 * detected within 200 ms; the cost is a few calls while no other call is served. */
#define PROBE_INTERVAL_MS 150
#define PROBE_TIMEOUT_MS 1200

struct dff_rows_health {
	struct dff_rows interface;
	struct dff_rows_health_options options;
	struct dff_timer *probe;
	/** Calls in progress, oldest first. Elements: struct call. */
	GQueue calls;
	/** Start time of the latest call that has been served, ms; INT64_MIN: none. */
	int64_t served_begun_ms;
	bool silent;
	int64_t *silences;
	int64_t *silent_gauge;
	int64_t *commits;
	int64_t *gets;
	int64_t *feeds;
	struct dff_histogram *latency;
};

struct call {
	struct dff_rows_health *health;
	dff_rows_func done;
	void *user;
	int64_t begun_ms;
	/** Time at which the call is overdue, ms. */
	int64_t due_ms;
	GList link;
};

static void
schedule_probe (struct dff_rows_health *health)
{
	dff_timer_start (health->probe, PROBE_INTERVAL_MS);
}

static void
set_silent (struct dff_rows_health *health, bool silent, int64_t since_ms)
{
	if (silent == health->silent)
		return;
	health->silent = silent;
	*health->silent_gauge = silent;
	*health->silences += silent;
	if (silent)
		schedule_probe (health);
	else
		dff_timer_stop (health->probe);
	if (!silent && health->options.recovered != NULL)
		health->options.recovered (health->options.recovered_ctx);
	dff_log (DFF_LOG_RECORD, silent ? DFF_LOG_WARNING : DFF_LOG_INFO,
		 "%s calls=%u unanswered_ms=%" PRId64,
		 silent ? "Store does not answer." : "Store answers again.",
		 g_queue_get_length (&health->calls),
		 dff_clock_now_ms (health->options.timers->clock) - since_ms);
}

static bool
is_unanswered (const struct dff_rows_health *health, const struct call *call, int64_t now_ms)
{
	return now_ms >= call->due_ms && health->served_begun_ms <= call->begun_ms;
}

/* A refused call does not count as served: a store that is mostly silent still refuses some calls,
 * after 500 ms. */
static bool
is_served (enum dff_rows_outcome outcome)
{
	return outcome == DFF_ROWS_DONE || outcome == DFF_ROWS_CONFLICT ||
	       outcome == DFF_ROWS_HISTORY_GONE;
}

static void
handle_result (void *user, const struct dff_rows_result *result)
{
	struct call *call = user;
	struct dff_rows_health *health = call->health;
	dff_rows_func done = call->done;
	void *done_user = call->user;
	g_queue_unlink (&health->calls, &call->link);
	if (is_served (result->outcome)) {
		int64_t now_ms = dff_clock_now_ms (health->options.timers->clock);
		dff_histogram_observe (health->latency,
				       MAX (now_ms - (call->due_ms - SILENCE_TIMEOUT_MS), 0));
		health->served_begun_ms = MAX (health->served_begun_ms, call->begun_ms);
		set_silent (health, false, call->begun_ms);
	} else if (is_unanswered (health, call, dff_clock_now_ms (health->options.timers->clock))) {
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
	call->begun_ms = dff_clock_now_ms (health->options.timers->clock);
	call->due_ms = call->begun_ms + wait_ms + SILENCE_TIMEOUT_MS;
	call->link.data = call;
	g_queue_push_tail_link (&health->calls, &call->link);
	return call;
}

static void
health_commit (void *ctx, const struct dff_rows_commit *commit, dff_rows_func done, void *user)
{
	struct dff_rows_health *health = ctx;
	(*health->commits)++;
	health->options.rows->commit (health->options.rows->ctx, commit, handle_result,
				      call_new (health, 0, done, user));
}

static void
health_get (void *ctx, const struct dff_rows_range *range, dff_rows_func done, void *user)
{
	struct dff_rows_health *health = ctx;
	(*health->gets)++;
	health->options.rows->get (health->options.rows->ctx, range, handle_result,
				   call_new (health, 0, done, user));
}

static void
health_feed (void *ctx, const struct dff_rows_feed *feed, dff_rows_func done, void *user)
{
	struct dff_rows_health *health = ctx;
	(*health->feeds)++;
	health->options.rows->feed (health->options.rows->ctx, feed, handle_result,
				    call_new (health, feed->wait_ms, done, user));
}

static void
ignore_result (void *user, const struct dff_rows_result *result)
{
	(void)user;
	(void)result;
}

static void
handle_probe (void *ctx)
{
	struct dff_rows_health *health = ctx;
	struct dff_rows_range range = {.table = health->options.probe_table,
				       .from = dff_str_from (health->options.probe_key),
				       .limit = 1,
				       .timeout_ms = PROBE_TIMEOUT_MS};
	health_get (health, &range, ignore_result, NULL);
	schedule_probe (health);
}

struct dff_rows_health *
dff_rows_health_new (const struct dff_rows_health_options *options)
{
	struct dff_rows_health *health = g_new0 (struct dff_rows_health, 1);
	struct dff_metrics *metrics = options->metrics;
	health->options = *options;
	health->probe = dff_timer_new (options->timers, handle_probe, health);
	health->served_begun_ms = INT64_MIN;
	health->commits = dff_metrics_counter (metrics, "dff_rows_commits_total",
					       "Transactions sent to the store.");
	health->gets = dff_metrics_counter (metrics, "dff_rows_gets_total",
					    "Pages of rows asked of the store.");
	health->feeds = dff_metrics_counter (metrics, "dff_rows_feeds_total",
					     "Questions for changes asked of the store.");
	health->silences = dff_metrics_counter (metrics, "dff_rows_silences_total",
						"Times that the store stopped answering.");
	health->latency = dff_metrics_histogram (
		metrics, "dff_rows_latency_ms",
		"Time of served calls to the store, beyond the wait that a feed asks for.");
	health->silent_gauge = dff_metrics_gauge (metrics, "dff_rows_silent",
						  "1 while the store does not answer.");
	health->interface = (struct dff_rows){
		.commit = health_commit, .get = health_get, .feed = health_feed, .ctx = health};
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
	dff_timer_free (health->probe);
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
	int64_t now_ms = dff_clock_now_ms (health->options.timers->clock);
	for (GList *link = health->calls.head; link != NULL && !health->silent; link = link->next) {
		const struct call *call = link->data;
		if (is_unanswered (health, call, now_ms))
			set_silent (health, true, call->begun_ms);
	}
	return health->silent;
}

int64_t
dff_rows_health_served_ms (const struct dff_rows_health *health)
{
	return health->served_begun_ms;
}
