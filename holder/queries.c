#include "holder/holder_private.h"

/* State queries for jobs, answered from memory with the recorded state, at no cost for the store.
 *
 * A caller often queries just as its job ends. The completion arrives here some milliseconds later,
 * and is recorded 10 to 20 ms after that. An immediate answer "running" would delay the caller to
 * its next query: by 250 ms at four queries a second, which is the whole delay that an urgent job
 * allows. So this answer waits for a moment. No rejection is delayed by this, and a caller that
 * queries in the middle of a run loses nothing. */

/** Longest time that a state query waits for a completion that has not arrived yet, ms. A
 * completion takes a few ms from the worker, through a relay on a small machine up to 20 ms, and
 * as long again to be recorded. */
#define PENDING_COMPLETION_WAIT_MS 40
/** Longest time that a state query waits for the record of a completion that has arrived, ms: five
 * times the usual duration of a transaction. In a slow store the record takes longer, and the
 * query returns the recorded state. */
#define UNRECORDED_COMPLETION_WAIT_MS 100
/** Age of the last confirmation that this process is the holder beyond which it answers no queries,
 * ms: another process may be the holder by then. There are four heartbeats a second. */
#define CONFIRMED_MAX_MS 1000

struct query {
	struct dff_name job;
	int64_t begun_ms;
	dff_holder_state_func done;
	void *user;
};

static bool
may_answer (const struct dff_holder *holder)
{
	return holder->phase == DFF_HOLDER_HOLDING &&
	       holder_now_ms (holder) - holder->confirmed_ms <= CONFIRMED_MAX_MS;
}

/* Returns: how long a query may wait for the job's next state, ms. */
static int64_t
wait_limit_ms (const struct holder_job *job)
{
	if (dff_job_state_is_final (job->recorded_state) ||
	    job->recorded_state == DFF_JOB_STATE_QUEUED)
		return 0;
	return dff_job_state_is_final (job->progress->state) ? UNRECORDED_COMPLETION_WAIT_MS
							     : PENDING_COMPLETION_WAIT_MS;
}

/* Returns: false while the query has to wait. */
static bool
try_answer (struct dff_holder *holder,
	    const struct query *query,
	    struct dff_holder_job_state *answer)
{
	*answer = (struct dff_holder_job_state){0};
	if (!may_answer (holder))
		return true;
	if (draft_finished_state (holder, &query->job, &answer->state)) {
		answer->known = true;
		return true;
	}
	const struct holder_job *job = g_hash_table_lookup (holder->jobs, &query->job);
	if (job == NULL || job->provisional)
		return true;
	if (holder_now_ms (holder) - query->begun_ms < wait_limit_ms (job))
		return false;
	answer->known = true;
	answer->state = job->recorded_state;
	return true;
}

void
queries_step (struct dff_holder *holder)
{
	for (guint n = holder->queries.length; n > 0; n--) {
		struct query *query = g_queue_pop_head (&holder->queries);
		struct dff_holder_job_state answer;
		if (!try_answer (holder, query, &answer)) {
			g_queue_push_tail (&holder->queries, query);
			continue;
		}
		(*holder->metrics.queries_answered) += answer.known;
		query->done (query->user, &answer);
		g_free (query);
	}
}

static void
handle_queries (void *ctx)
{
	queries_step (ctx);
}

void
queries_open (struct dff_holder *holder)
{
	g_queue_init (&holder->queries);
	holder->query_timer = dff_timer_new (holder->options.timers, handle_queries, holder);
}

void
queries_close (struct dff_holder *holder)
{
	dff_timer_free (holder->query_timer);
	g_queue_clear_full (&holder->queries, g_free);
}

void
dff_holder_query_state (struct dff_holder *holder,
			const struct dff_name *job,
			dff_holder_state_func done,
			void *user)
{
	struct query *query = g_new0 (struct query, 1);
	query->job = *job;
	query->begun_ms = holder_now_ms (holder);
	query->done = done;
	query->user = user;
	g_queue_push_tail (&holder->queries, query);
	dff_timer_start (holder->query_timer, 0);
}
