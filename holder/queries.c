#include "holder/holder_private.h"

/* Questions about jobs' states, answered from memory: what is told is on record, as if the row had
 * been read, and costs the store nothing.
 *
 * A caller often asks just as its job ends. The end is heard here some milliseconds later, and on
 * record ten to twenty after that. Without waiting for it the caller is told that the job runs, and
 * learns of the end only when it asks again: a quarter of a second late where it asks four times a
 * second, which is all that an urgent job has. So an answer that would be "running" waits for a
 * moment; it is no refusal that is held back, and a caller who asks in the middle of a run loses
 * nothing by it. */

/** Longest wait for an end that nobody has heard of here, ms: its way from the worker takes a few,
 * through a relay on a small machine up to twenty, and its record as long again. */
#define PENDING_COMPLETION_WAIT_MS 40
/** Longest wait for the record of an end that was heard, ms: five times what a transaction takes.
 * In a slow store it takes longer, and the truth of the moment is told. */
#define UNRECORDED_COMPLETION_WAIT_MS 100
/** Age of the last sign that this process decides beyond which it answers nothing, ms: another may
 * decide by then. Signs of life are four a second. */
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

/* Returns: how long a query may wait for a job's next state, ms. */
static int64_t
wait_limit_ms (const struct holder_job *job)
{
	if (dff_job_state_is_final (job->recorded_state) ||
	    job->recorded_state == DFF_JOB_STATE_QUEUED)
		return 0;
	return dff_job_state_is_final (job->progress->state) ? UNRECORDED_COMPLETION_WAIT_MS
							     : PENDING_COMPLETION_WAIT_MS;
}

/* Returns: false while the query waits. */
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
