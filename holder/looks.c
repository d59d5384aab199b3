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
#define UNHEARD_END_MS 40
/** Longest wait for the record of an end that was heard, ms: five times what a transaction takes.
 * In a slow store it takes longer, and the truth of the moment is told. */
#define UNRECORDED_END_MS 100
/** Age of the last sign that this process decides beyond which it answers nothing, ms: another may
 * decide by then. Signs of life are four a second. */
#define CONFIRMED_MAX_MS 1000

struct look {
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

/* Returns: how long a look may wait for a job's next state, ms. */
static int64_t
patience_ms (const struct holder_job *job)
{
	if (dff_job_state_is_final (job->recorded_state) ||
	    job->recorded_state == DFF_JOB_STATE_QUEUED)
		return 0;
	return dff_job_state_is_final (job->progress->state) ? UNRECORDED_END_MS : UNHEARD_END_MS;
}

/* Returns: false while the look waits. */
static bool
judge (struct dff_holder *holder, const struct look *look, struct dff_holder_job_state *sight)
{
	*sight = (struct dff_holder_job_state){0};
	if (!may_answer (holder))
		return true;
	if (draft_finished_state (holder, &look->job, &sight->state)) {
		sight->known = true;
		return true;
	}
	const struct holder_job *job = g_hash_table_lookup (holder->jobs, &look->job);
	if (job == NULL || job->provisional)
		return true;
	if (holder_now_ms (holder) - look->begun_ms < patience_ms (job))
		return false;
	sight->known = true;
	sight->state = job->recorded_state;
	return true;
}

void
looks_work (struct dff_holder *holder)
{
	for (guint n = holder->looks.length; n > 0; n--) {
		struct look *look = g_queue_pop_head (&holder->looks);
		struct dff_holder_job_state sight;
		if (!judge (holder, look, &sight)) {
			g_queue_push_tail (&holder->looks, look);
			continue;
		}
		(*holder->metrics.looks_answered) += sight.known;
		look->done (look->user, &sight);
		g_free (look);
	}
}

static void
handle_looks (void *ctx)
{
	looks_work (ctx);
}

void
looks_open (struct dff_holder *holder)
{
	g_queue_init (&holder->looks);
	holder->look_timer = dff_timer_new (holder->options.timers, handle_looks, holder);
}

void
looks_close (struct dff_holder *holder)
{
	dff_timer_free (holder->look_timer);
	g_queue_clear_full (&holder->looks, g_free);
}

void
dff_holder_query_state (struct dff_holder *holder,
			const struct dff_name *job,
			dff_holder_state_func done,
			void *user)
{
	struct look *look = g_new0 (struct look, 1);
	look->job = *job;
	look->begun_ms = holder_now_ms (holder);
	look->done = done;
	look->user = user;
	g_queue_push_tail (&holder->looks, look);
	dff_timer_start (holder->look_timer, 0);
}
