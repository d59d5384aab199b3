#include "core/core_private.h"

/* Reclaim: which borrowing work is preempted, and jobs that wait until it has ended. */

/** Factor by which a job's score has to be lower than that of a borrower to preempt it, and minimum
 * run time of the borrower since its last start, ms. */
#define OVERTAKE_MARGIN 1.5
#define OVERTAKE_MIN_RUN_MS 30000
/** Number of preemptions after which that run time does not grow any more. */
#define OVERTAKE_STEPS 10
/** A gang with reserved racks preempts jobs at least this many times narrower than itself. */
#define DISPLACE_WIDTH_RATIO 4
/** Remaining run time below which a run costs ENDS_SOON_FACTOR times as much to stop, ms. A stop
 * takes about as long. */
#define ENDS_SOON_MS 1200
#define ENDS_SOON_FACTOR 4
/** Factor by which urgent work costs more to stop than other work, because a user waits for it. */
#define URGENT_LOSS_FACTOR 10
/** Costs that differ by less than this part of them count as equal: the ages that they follow from
 * are known to some hundred milliseconds. */
#define EQUAL_COST_PARTS 16

/* Whether a small job in the racks reserved for a gang is preempted: it can run elsewhere and must
 * not hold up the gang. */
static bool
may_displace (const struct dff_core *core,
	      const struct dff_core_job *job,
	      const struct dff_core_job *occupant)
{
	int32_t width = dff_core_job_accelerators (job);
	if (!job->has_reserved_racks ||
	    dff_core_job_accelerators (occupant) * DISPLACE_WIDTH_RATIO > width)
		return false;
	return occupant->checkpoint ||
	       core->now_ms - occupant->started_ms < (int64_t)core->policy.displace_loss_ms;
}

/* Borrowing work is preempted for other borrowing work only when that is much shorter, and when
 * little of the work done is lost. */
static bool
may_overtake (const struct dff_core *core,
	      const struct dff_core_job *job,
	      struct dff_core_job *occupant)
{
	if (occupant->state != DFF_CORE_RUNNING)
		return false;
	int64_t ran_ms = core->now_ms - occupant->started_ms;
	if (ran_ms <
	    (int64_t)OVERTAKE_MIN_RUN_MS * (1 + MIN (occupant->preemptions, OVERTAKE_STEPS)))
		return false;
	if (may_displace (core, job, occupant))
		return true;
	return occupant->checkpoint &&
	       job->score * OVERTAKE_MARGIN < dff_core_running_score (core, occupant);
}

bool
dff_core_may_evict (const struct dff_core *core,
		    const struct dff_core_job *job,
		    struct dff_core_job *occupant)
{
	if (occupant->hold != DFF_CORE_HOLD_SOFT)
		return false;
	if (job->hold == DFF_CORE_HOLD_CLAIM || job->entitled)
		return true;
	/* Urgent work is preempted for other urgent work if its team uses more than it is assured
	 * of and the other team does not. Otherwise a team would not get its assured accelerators
	 * when urgent work of others came first. */
	if (occupant->urgent)
		return dff_core_job_is_assured (core, job) &&
		       !dff_core_job_is_assured (core, occupant);
	return job->urgent || may_overtake (core, job, occupant);
}

static bool
is_ending (const struct dff_core_job *job)
{
	return job->preempted || job->cancelled || job->state == DFF_CORE_STOPPING;
}

/* An accelerator counts as many cores as the pool has for each, a slot as one. */
int64_t
dff_core_job_footprint (const struct dff_core *core, const struct dff_core_job *job)
{
	int64_t accelerator_cores = core->total.cores / MAX (core->total.accelerators, 1);
	int64_t task = (int64_t)job->per_task.accelerators * accelerator_cores +
		       MAX (job->per_task.cores, job->per_task.slots);
	return MAX (task, 1) * job->gang;
}

int64_t
dff_core_lost_work (const struct dff_core *core, const struct dff_core_job *job)
{
	if (is_ending (job))
		return 0;
	int64_t weight = dff_core_job_footprint (core, job);
	int64_t age_ms = job->state == DFF_CORE_RUNNING ? core->now_ms - job->started_ms : 0;
	if (job->checkpoint)
		age_ms = MIN (age_ms, core->options.checkpoint_loss_ms);
	/* Each earlier preemption raises the cost, or the same job would be preempted for ever. */
	/* A run that ends soon anyway is not worth stopping. */
	bool ends_soon = job->projected_ms > 0 && job->state == DFF_CORE_RUNNING &&
			 dff_core_remaining_ms (core, job) < ENDS_SOON_MS;
	int64_t times = (int64_t)(1 + job->preemptions) * (job->urgent ? URGENT_LOSS_FACTOR : 1);
	return weight * (age_ms + 1000) * times * (ends_soon ? ENDS_SOON_FACTOR : 1);
}

static bool
reduces_shortage (const struct dff_resources *shortage, const struct dff_core_job *occupant)
{
	return (shortage->slots < 0 && occupant->per_task.slots > 0) ||
	       (shortage->cores < 0 && occupant->per_task.cores > 0) ||
	       (shortage->memory_gb < 0 && occupant->per_task.memory_gb > 0) ||
	       (shortage->accelerators < 0 && occupant->per_task.accelerators > 0);
}

/* Time since a task last saved a checkpoint, ms; since its start if it has not. */
static int64_t
unsaved_ms (const struct dff_core *core, const struct dff_core_job *job)
{
	return core->now_ms - job->started_ms - job->saved_ms;
}

/* Whether of two occupants with the same cost the first one is stopped: the one that has just saved
 * a checkpoint. */
static bool
is_better_victim (const struct dff_core *core,
		  const struct dff_core_job *one,
		  const struct dff_core_job *other)
{
	return core->options.shape_victims && one->checkpoint && other->checkpoint &&
	       unsaved_ms (core, one) < unsaved_ms (core, other);
}

/* Returns: the cheapest occupant, not yet in @victims, whose end reduces the shortage of the
 * worker; NULL: none. */
static struct dff_core_job *
next_victim (const struct dff_core *core,
	     const struct dff_core_worker *worker,
	     const struct dff_core_job *job,
	     const struct dff_resources *available,
	     const GPtrArray *victims)
{
	struct dff_core_job *best = NULL;
	int64_t best_cost = INT64_MAX;
	for (guint i = 0; i < worker->occupants->len; i++) {
		struct dff_core_job *occupant = g_ptr_array_index (worker->occupants, i);
		if (!is_ending (occupant) && !dff_core_may_evict (core, job, occupant))
			continue;
		int64_t cost = dff_core_lost_work (core, occupant);
		if (cost > best_cost || !reduces_shortage (available, occupant) ||
		    (cost == best_cost &&
		     (best == NULL || !is_better_victim (core, occupant, best))) ||
		    g_ptr_array_find ((GPtrArray *)victims, occupant, NULL))
			continue;
		best = occupant;
		best_cost = cost;
	}
	return best;
}

static void
release_occupant (const struct dff_core_worker *worker,
		  const struct dff_core_job *occupant,
		  struct dff_resources *available,
		  int32_t times)
{
	for (guint i = 0; i < worker->occupants->len; i++) {
		if (g_ptr_array_index (worker->occupants, i) == occupant)
			dff_resources_add (available, &occupant->per_task, times);
	}
}

/* Removes victims without which the members fit as well, the costliest first. @victims: by rising
 * cost. Returns: the work that is not lost, core-ms. */
static int64_t
spare_victims (const struct dff_core *core,
	       const struct dff_core_worker *worker,
	       struct dff_resources *available,
	       GPtrArray *victims)
{
	int64_t spared = 0;
	for (guint i = victims->len; i-- > 0;) {
		const struct dff_core_job *victim = g_ptr_array_index (victims, i);
		struct dff_resources without = *available;
		release_occupant (worker, victim, &without, -1);
		if (!dff_resources_covered (&without))
			continue;
		*available = without;
		spared += dff_core_lost_work (core, victim);
		g_ptr_array_remove_index (victims, i);
	}
	return spared;
}

/* Returns: the cheapest occupant whose stop alone covers the shortage; NULL: none. */
static struct dff_core_job *
covering_victim (const struct dff_core *core,
		 const struct dff_core_worker *worker,
		 const struct dff_core_job *job,
		 const struct dff_resources *shortage)
{
	struct dff_core_job *best = NULL;
	int64_t best_cost = INT64_MAX;
	for (guint i = 0; i < worker->occupants->len; i++) {
		struct dff_core_job *occupant = g_ptr_array_index (worker->occupants, i);
		struct dff_resources available = *shortage;
		release_occupant (worker, occupant, &available, 1);
		if (!dff_resources_covered (&available) ||
		    (!is_ending (occupant) && !dff_core_may_evict (core, job, occupant)))
			continue;
		int64_t cost = dff_core_lost_work (core, occupant);
		if (cost >= best_cost)
			continue;
		best = occupant;
		best_cost = cost;
	}
	return best;
}

/* Replaces several victims by one whose stop frees all of the shape, if that costs no more.
 * Returns: the cost, core-ms. */
static int64_t
merge_victims (const struct dff_core *core,
	       const struct dff_core_worker *worker,
	       const struct dff_core_job *job,
	       const struct dff_resources *shortage,
	       int64_t cost,
	       GPtrArray *victims)
{
	struct dff_core_job *one = covering_victim (core, worker, job, shortage);
	if (one == NULL)
		return cost;
	int64_t one_cost = dff_core_lost_work (core, one);
	if (one_cost > cost + cost / EQUAL_COST_PARTS)
		return cost;
	g_ptr_array_set_size (victims, 0);
	g_ptr_array_add (victims, one);
	return one_cost;
}

/* Adds @victims until @times members fit. Returns: work lost, core-ms; INT64_MAX: never. */
static int64_t
find_victims (const struct dff_core *core,
	      const struct dff_core_worker *worker,
	      const struct dff_core_job *job,
	      int32_t times,
	      GPtrArray *victims)
{
	struct dff_resources available =
		dff_core_worker_available (core, worker, job, DFF_CORE_VIEW_FREE);
	dff_resources_add (&available, &job->per_task, -times);
	struct dff_resources shortage = available;
	int64_t cost = 0;
	while (!dff_resources_covered (&available)) {
		struct dff_core_job *victim = next_victim (core, worker, job, &available, victims);
		if (victim == NULL)
			return INT64_MAX;
		cost += dff_core_lost_work (core, victim);
		g_ptr_array_add (victims, victim);
		release_occupant (worker, victim, &available, 1);
	}
	if (!core->options.shape_victims || victims->len < 2)
		return cost;
	cost -= spare_victims (core, worker, &available, victims);
	if (victims->len < 2)
		return cost;
	return merge_victims (core, worker, job, &shortage, cost, victims);
}

int64_t
dff_core_evict_cost (const struct dff_core *core,
		     const struct dff_core_worker *worker,
		     const struct dff_core_job *job,
		     int32_t times)
{
	struct dff_resources available =
		dff_core_worker_available (core, worker, job, DFF_CORE_VIEW_FREE);
	if (dff_resources_fits (&available, &job->per_task, times) == times)
		return 0;
	g_autoptr (GPtrArray) victims = g_ptr_array_new ();
	return find_victims (core, worker, job, times, victims);
}

static int32_t
count_on (const int32_t *workers, int32_t count, int32_t worker)
{
	int32_t times = 0;
	for (int32_t i = 0; i < count; i++)
		times += workers[i] == worker;
	return times;
}

/* Adds the victims on one worker to @all. Returns: whether @times members then fit there. */
static bool
gather_victims (const struct dff_core *core,
		const struct dff_core_job *job,
		int32_t worker,
		int32_t times,
		GPtrArray *all)
{
	g_autoptr (GPtrArray) victims = g_ptr_array_new ();
	if (find_victims (core, dff_core_worker_at (core, worker), job, times, victims) ==
	    INT64_MAX)
		return false;
	for (guint i = 0; i < victims->len; i++) {
		if (!g_ptr_array_find (all, g_ptr_array_index (victims, i), NULL))
			g_ptr_array_add (all, g_ptr_array_index (victims, i));
	}
	return true;
}

/* Collects the jobs that are stopped for a job on @workers. A gang counts once, on however many of
 * the workers it runs. Returns: whether the job then fits. */
static bool
gather_all_victims (const struct dff_core *core,
		    const struct dff_core_job *job,
		    const int32_t *workers,
		    GPtrArray *victims)
{
	for (int32_t i = 0; i < job->gang; i++) {
		bool is_first = count_on (workers, i, workers[i]) == 0;
		int32_t times = count_on (workers, job->gang, workers[i]);
		if (is_first && !gather_victims (core, job, workers[i], times, victims))
			return false;
	}
	return true;
}

int32_t
dff_core_evicted_tasks (const struct dff_core *core,
			const struct dff_core_job *job,
			const int32_t *workers)
{
	g_autoptr (GPtrArray) victims = g_ptr_array_new ();
	if (!gather_all_victims (core, job, workers, victims))
		return INT32_MAX;
	int32_t tasks = 0;
	for (guint i = 0; i < victims->len; i++) {
		const struct dff_core_job *victim = g_ptr_array_index (victims, i);
		tasks += is_ending (victim) ? 0 : victim->gang;
	}
	return tasks;
}

int64_t
dff_core_total_evict_cost (const struct dff_core *core,
			   const struct dff_core_job *job,
			   const int32_t *workers)
{
	g_autoptr (GPtrArray) victims = g_ptr_array_new ();
	if (!gather_all_victims (core, job, workers, victims))
		return INT64_MAX;
	int64_t sum = 0;
	for (guint i = 0; i < victims->len; i++)
		sum += dff_core_lost_work (core, g_ptr_array_index (victims, i));
	return sum;
}

static int
compare_candidates (gconstpointer a, gconstpointer b)
{
	const struct dff_core_candidate *one = a;
	const struct dff_core_candidate *other = b;
	int64_t left = one->cost / one->fits;
	int64_t right = other->cost / other->fits;
	if (left != right)
		return left < right ? -1 : 1;
	if (one->accelerators_left != other->accelerators_left)
		return one->accelerators_left < other->accelerators_left ? -1 : 1;
	return one->worker < other->worker ? -1 : one->worker > other->worker;
}

int64_t
dff_core_choose_workers (const struct dff_core *core,
			 const struct dff_core_job *job,
			 GArray *candidates,
			 int32_t *workers)
{
	for (guint i = 0; i < candidates->len; i++) {
		struct dff_core_candidate *at =
			&g_array_index (candidates, struct dff_core_candidate, i);
		at->cost = dff_core_evict_cost (core, dff_core_worker_at (core, at->worker), job,
						at->fits);
		while (at->cost == INT64_MAX && --at->fits > 0)
			at->cost = dff_core_evict_cost (core, dff_core_worker_at (core, at->worker),
							job, at->fits);
		at->fits = MAX (at->fits, 1);
	}
	g_array_sort (candidates, compare_candidates);
	int64_t cost = 0;
	int32_t placed = 0;
	for (guint i = 0; i < candidates->len && placed < job->gang; i++) {
		const struct dff_core_candidate *at =
			&g_array_index (candidates, struct dff_core_candidate, i);
		if (at->cost == INT64_MAX)
			continue;
		int32_t times = MIN (at->fits, job->gang - placed);
		cost += times == at->fits
				? at->cost
				: dff_core_evict_cost (core, dff_core_worker_at (core, at->worker),
						       job, times);
		for (int32_t j = 0; j < times; j++)
			workers[placed++] = at->worker;
	}
	return placed == job->gang ? cost : -1;
}

static int32_t
members_on (const struct dff_core_job *job, int32_t worker)
{
	int32_t count = 0;
	for (int32_t i = 0; i < job->gang; i++)
		count += job->members[i].worker == worker;
	return count;
}

/* Whether every member fits on what is not leased, and, with @less_reserved, not reserved. */
static bool
fits_now (const struct dff_core *core, const struct dff_core_job *job, bool less_reserved)
{
	for (int32_t i = 0; i < job->gang; i++) {
		const struct dff_core_worker *worker =
			dff_core_worker_at (core, job->members[i].worker);
		struct dff_resources available =
			dff_resources_less (&worker->capacity, &worker->used);
		if (less_reserved)
			available = dff_resources_less (&available, &worker->reserved);
		int32_t times = members_on (job, job->members[i].worker);
		if (dff_resources_fits (&available, &job->per_task, times) < times)
			return false;
	}
	return true;
}

static void
preempt_on (struct dff_core *core, const struct dff_core_job *job, int32_t worker_index)
{
	const struct dff_core_worker *worker = dff_core_worker_at (core, worker_index);
	g_autoptr (GPtrArray) victims = g_ptr_array_new ();
	find_victims (core, worker, job, members_on (job, worker_index), victims);
	for (guint i = 0; i < victims->len; i++) {
		struct dff_core_job *victim = g_ptr_array_index (victims, i);
		if (!is_ending (victim))
			dff_core_job_preempt (core, victim, DFF_CORE_PREEMPT_CAPACITY);
	}
}

static void
reserve (struct dff_core *core, struct dff_core_job *job)
{
	core->stats.reclaims += job->hold == DFF_CORE_HOLD_CLAIM;
	for (int32_t i = 0; i < job->gang; i++) {
		int32_t worker = job->members[i].worker;
		if (i == 0 || job->members[i - 1].worker != worker)
			preempt_on (core, job, worker);
	}
	for (int32_t i = 0; i < job->gang; i++)
		dff_core_worker_reserve (core, job->members[i].worker, &job->per_task, 1);
	dff_core_attempt_reserve (core, job);
}

void
dff_core_take (struct dff_core *core,
	       struct dff_core_job *job,
	       const int32_t *workers,
	       enum dff_core_hold hold,
	       int32_t shape)
{
	job->hold = hold;
	job->shape = shape;
	job->members = g_new0 (struct dff_core_member, (gsize)job->gang);
	for (int32_t i = 0; i < job->gang; i++)
		job->members[i].worker = workers[i];
	dff_core_job_bind (core, job);
	if (fits_now (core, job, true))
		dff_core_attempt_begin (core, job);
	else
		reserve (core, job);
}

static void
drop_reserved (struct dff_core *core, const struct dff_core_job *job)
{
	for (int32_t i = 0; i < job->gang; i++)
		dff_core_worker_reserve (core, job->members[i].worker, &job->per_task, -1);
	core->dirty = true;
}

void
dff_core_unreserve (struct dff_core *core, struct dff_core_job *job)
{
	drop_reserved (core, job);
	for (int32_t i = 0; i < job->gang; i++)
		dff_core_member_unbind (core, job, i);
	dff_core_job_clear_attempt (job);
}

static bool
workers_are_usable (const struct dff_core *core, const struct dff_core_job *job)
{
	for (int32_t i = 0; i < job->gang; i++) {
		if (!dff_core_worker_usable (dff_core_worker_at (core, job->members[i].worker)))
			return false;
	}
	return true;
}

void
dff_core_run_reserved (struct dff_core *core)
{
	if (!core->dirty &&
	    (core->reserved.head == NULL ||
	     ((struct dff_core_job *)core->reserved.head->data)->deadline_ms > core->now_ms))
		return;
	GList *next = NULL;
	for (GList *link = core->reserved.head; link != NULL; link = next) {
		next = link->next;
		struct dff_core_job *job = link->data;
		/* A victim may not answer, or a worker may leave: the job is queued again to find
		 * another place instead of waiting here for ever. */
		if (job->deadline_ms <= core->now_ms || !workers_are_usable (core, job)) {
			dff_core_unreserve (core, job);
			dff_core_job_requeue (core, job);
			continue;
		}
		if (!fits_now (core, job, false))
			continue;
		drop_reserved (core, job);
		dff_core_attempt_begin (core, job);
	}
}
