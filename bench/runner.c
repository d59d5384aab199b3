#include "bench/runner.h"

#include <string.h>

#include "bench/runner_private.h"

/* Tables of the runner, and events of the session. */

static void
add_worker (struct dff_runner *runner,
	    const struct dff_name *name,
	    guint rack,
	    int32_t accelerators)
{
	struct dff_runner_worker worker = {
		.name = *name,
		.rack = rack,
		.alive = true,
		.accelerators = accelerators,
	};
	g_hash_table_insert (runner->worker_index, dff_name_dup (name),
			     GINT_TO_POINTER (runner->workers->len));
	g_array_append_val (runner->workers, worker);
}

static void
job_clear (gpointer data)
{
	g_free (((struct dff_job_run *)data)->members);
}

void
dff_runner_init (struct dff_runner *runner,
		 struct dff_policy *policy,
		 const struct dff_pool *pool,
		 int64_t until_ms)
{
	*runner = (struct dff_runner){.policy = policy, .pool = pool};
	runner->workers = g_array_new (FALSE, FALSE, sizeof (struct dff_runner_worker));
	runner->worker_index =
		g_hash_table_new_full (dff_name_hash, dff_name_equal_func, g_free, NULL);
	runner->jobs = g_array_new (FALSE, FALSE, sizeof (struct dff_job_run));
	g_array_set_clear_func (runner->jobs, job_clear);
	runner->job_index =
		g_hash_table_new_full (dff_name_hash, dff_name_equal_func, g_free, NULL);
	runner->active = g_hash_table_new (NULL, NULL);
	runner->answers.heap = g_array_new (FALSE, FALSE, sizeof (struct dff_answer));
	runner->claims = dff_claims_new (pool);
	dff_fragmentation_init (&runner->fragmentation, dff_pool_largest_rack_shape (pool),
				pool->racks->len, until_ms);
	for (guint i = 0; i < pool->racks->len; i++) {
		const struct dff_rack *rack = &g_array_index (pool->racks, struct dff_rack, i);
		for (guint j = 0; j < rack->workers->len; j++)
			add_worker (runner, &g_array_index (rack->workers, struct dff_name, j), i,
				    rack->per_worker.accelerators);
	}
}

void
dff_runner_clear (struct dff_runner *runner)
{
	g_array_unref (runner->workers);
	g_hash_table_unref (runner->worker_index);
	g_array_unref (runner->jobs);
	g_hash_table_unref (runner->job_index);
	g_hash_table_unref (runner->active);
	g_array_unref (runner->answers.heap);
	dff_claims_free (runner->claims);
	dff_fragmentation_clear (&runner->fragmentation);
}

int32_t
dff_runner_find_worker (const struct dff_runner *runner, const struct dff_name *name)
{
	gpointer index = NULL;
	if (!g_hash_table_lookup_extended (runner->worker_index, name, NULL, &index))
		return -1;
	return GPOINTER_TO_INT (index);
}

void
dff_runner_count_worker (struct dff_runner *runner, struct dff_runner_worker *worker)
{
	int32_t free = 0;
	if (worker->usable)
		free = worker->accelerators - __builtin_popcountll (worker->leased);
	dff_fragmentation_add (&runner->fragmentation, worker->rack, free - worker->counted_free);
	worker->counted_free = free;
}

void
dff_runner_answer (struct dff_runner *runner,
		   enum dff_answer_type type,
		   uint32_t job,
		   int32_t member,
		   int64_t time_ms)
{
	struct dff_answer answer = {
		.time_ms = time_ms,
		.type = type,
		.job = job,
		.attempt = dff_runner_job_at (runner, job)->attempt,
		.member = member,
	};
	dff_answer_queue_push (&runner->answers, answer);
}

static void
set_worker_state (struct dff_runner *runner,
		  struct dff_runner_worker *worker,
		  enum dff_worker_state state,
		  int64_t now_ms)
{
	struct dff_event event = {
		.type = DFF_EVENT_WORKER_STATE,
		.worker = worker->name,
		.worker_state = state,
	};
	worker->usable = state == DFF_WORKER_UP;
	dff_runner_count_worker (runner, worker);
	runner->policy->handle_event (runner->policy->ctx, &event, now_ms);
}

void
dff_runner_start (struct dff_runner *runner, int64_t now_ms)
{
	for (guint i = 0; i < runner->workers->len; i++)
		set_worker_state (runner, dff_runner_worker_at (runner, (int32_t)i), DFF_WORKER_UP,
				  now_ms);
}

static void
job_lose_members (struct dff_runner *runner, uint32_t index, int32_t worker, int64_t now_ms)
{
	struct dff_job_run *job = dff_runner_job_at (runner, index);
	for (int32_t i = 0; i < job->spec.gang; i++) {
		struct dff_member_run *member = &job->members[i];
		if (member->worker != worker || member->state == DFF_MEMBER_RUN_ENDED ||
		    member->state == DFF_MEMBER_RUN_DEAD)
			continue;
		member->state = DFF_MEMBER_RUN_DEAD;
		dff_runner_job_break (job, now_ms);
		dff_runner_answer (runner, DFF_ANSWER_LOST, index, i, now_ms + DFF_TASK_LEASE_MS);
	}
}

static int
compare_indices (gconstpointer a, gconstpointer b)
{
	guint left = GPOINTER_TO_UINT (*(const gpointer *)a);
	guint right = GPOINTER_TO_UINT (*(const gpointer *)b);
	return left < right ? -1 : left > right;
}

static void
worker_down (struct dff_runner *runner, int32_t index, int64_t now_ms)
{
	struct dff_runner_worker *worker = dff_runner_worker_at (runner, index);
	if (!worker->alive)
		return;
	worker->alive = false;
	set_worker_state (runner, worker, DFF_WORKER_DOWN, now_ms);
	g_autofree gpointer *keys = NULL;
	guint n_keys = 0;
	keys = g_hash_table_get_keys_as_array (runner->active, &n_keys);
	/* Sorted, as results must not depend on the order of the hash table. */
	qsort (keys, n_keys, sizeof (gpointer), compare_indices);
	for (guint i = 0; i < n_keys; i++)
		job_lose_members (runner, GPOINTER_TO_UINT (keys[i]), index, now_ms);
}

static void
worker_event (struct dff_runner *runner,
	      enum dff_session_event_type type,
	      int32_t index,
	      int64_t now_ms)
{
	struct dff_runner_worker *worker = dff_runner_worker_at (runner, index);
	switch (type) {
	case DFF_SESSION_WORKER_UP:
	case DFF_SESSION_RACK_UP:
		worker->alive = true;
		worker->fails_everything = false;
		set_worker_state (runner, worker, DFF_WORKER_UP, now_ms);
		return;
	case DFF_SESSION_WORKER_LEAVING:
		if (worker->alive)
			set_worker_state (runner, worker, DFF_WORKER_LEAVING, now_ms);
		return;
	case DFF_SESSION_WORKER_FAILS_EVERYTHING:
		worker->fails_everything = true;
		return;
	default:
		worker_down (runner, index, now_ms);
		return;
	}
}

static void
rack_event (struct dff_runner *runner, const struct dff_session_event *event)
{
	for (guint i = 0; i < runner->workers->len; i++) {
		guint rack = dff_runner_worker_at (runner, (int32_t)i)->rack;
		const struct dff_name *name =
			&g_array_index (runner->pool->racks, struct dff_rack, rack).name;
		if (dff_name_equal (name, &event->subject))
			worker_event (runner, event->type, (int32_t)i, event->time_ms);
	}
}

static void
submit (struct dff_runner *runner, const struct dff_session_event *session_event)
{
	struct dff_job_run job = {
		.spec = session_event->spec,
		.actual_ms = session_event->actual_ms,
		.submitted_ms = session_event->time_ms,
		.first_start_ms = -1,
		.ended_ms = -1,
		.running_since_ms = -1,
		.broken_ms = -1,
	};
	uint32_t index = runner->jobs->len;
	job.refused = job.spec.gang > DFF_JOB_GANG_MAX ||
		      !runner->policy->admit (runner->policy->ctx, &job.spec);
	g_array_append_val (runner->jobs, job);
	if (job.refused)
		return;
	g_hash_table_insert (runner->job_index, dff_name_dup (&job.spec.id),
			     GUINT_TO_POINTER (index));
	runner->n_open++;
	if (job.spec.guaranteed)
		dff_claims_submitted (runner->claims, index, &job.spec, job.submitted_ms);
	struct dff_event event = {
		.type = DFF_EVENT_JOB_SUBMITTED,
		.job = job.spec.id,
		.spec = &job.spec,
	};
	runner->policy->handle_event (runner->policy->ctx, &event, job.submitted_ms);
}

static void
cancel (struct dff_runner *runner, const struct dff_session_event *session_event)
{
	/* The job was refused or never submitted. */
	if (!g_hash_table_contains (runner->job_index, &session_event->subject))
		return;
	struct dff_event event = {
		.type = DFF_EVENT_JOB_CANCELLED,
		.job = session_event->subject,
	};
	runner->policy->handle_event (runner->policy->ctx, &event, session_event->time_ms);
}

void
dff_runner_session_event (struct dff_runner *runner, const struct dff_session_event *event)
{
	dff_fragmentation_advance (&runner->fragmentation, event->time_ms);
	if (event->type == DFF_SESSION_SUBMIT) {
		submit (runner, event);
		return;
	}
	if (event->type == DFF_SESSION_CANCEL) {
		cancel (runner, event);
		return;
	}
	if (event->type == DFF_SESSION_RACK_UP || event->type == DFF_SESSION_RACK_DOWN) {
		rack_event (runner, event);
		return;
	}
	int32_t index = dff_runner_find_worker (runner, &event->subject);
	if (index >= 0)
		worker_event (runner, event->type, index, event->time_ms);
}
