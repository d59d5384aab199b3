#include "core/core_private.h"

/* Accounting of what teams borrow, by priority, over a sliding window. A new core begins with an
 * empty window. */

static struct dff_core_borrowing *
borrowing_at (const struct dff_core *core, int32_t team)
{
	return &g_array_index (core->borrowing, struct dff_core_borrowing, team);
}

/* Returns: the accelerators that a team uses by right: those assured to it, and the guaranteed
 * shapes that its jobs claim. */
static int32_t
accelerators_by_right (const struct dff_core *core, int32_t team)
{
	int32_t sum = dff_core_team_at (core, team)->assured_accelerators;
	for (int32_t i = 0; i < (int32_t)core->shapes->len; i++) {
		const struct dff_core_shape *shape = dff_core_shape_at (core, i);
		sum += shape->team == team ? shape->claimed : 0;
	}
	return sum;
}

/* Counts what a team has held since it was last settled. Its highest priorities use what it has a
 * right to first. */
static void
settle (const struct dff_core *core, int32_t team, struct dff_core_borrowing *borrowing)
{
	if (borrowing->settled_ms >= core->now_ms)
		return;
	int32_t left = accelerators_by_right (core, team);
	for (int32_t i = 0; i < DFF_CORE_PRIORITIES; i++) {
		const struct dff_resources *held = &borrowing->held[i];
		int32_t borrowed = MAX (held->accelerators - left, 0);
		double part = held->accelerators > 0 ? (double)borrowed / held->accelerators : 1.0;
		left -= held->accelerators - borrowed;
		dff_shares_window_add (&borrowing->accelerators[i], borrowing->settled_ms,
				       core->now_ms, borrowed);
		dff_shares_window_add (&borrowing->slots[i], borrowing->settled_ms, core->now_ms,
				       part * held->slots);
	}
	borrowing->settled_ms = core->now_ms;
}

void
dff_core_borrowing_count (struct dff_core *core, const struct dff_core_job *job, int32_t times)
{
	if (job->team == DFF_CORE_NONE)
		return;
	struct dff_core_borrowing *borrowing = borrowing_at (core, job->team);
	settle (core, job->team, borrowing);
	dff_resources_add (&borrowing->held[job->priority], &job->per_task, times);
}

/* Returns: the accelerators of a team's urgent jobs that wait for their victims to end. */
static int32_t
reserved_accelerators (const struct dff_core *core, int32_t team)
{
	int32_t sum = 0;
	for (const GList *link = core->reserved.head; link != NULL; link = link->next) {
		const struct dff_core_job *job = link->data;
		if (job->team == team && job->urgent)
			sum += dff_core_job_accelerators (job);
	}
	return sum;
}

bool
dff_core_is_by_right (const struct dff_core *core, const struct dff_core_job *job)
{
	if (dff_core_job_is_assured (core, job))
		return true;
	if (!job->urgent || job->team == DFF_CORE_NONE)
		return false;
	int32_t held = borrowing_at (core, job->team)->held[job->priority].accelerators +
		       reserved_accelerators (core, job->team);
	return held + dff_core_job_accelerators (job) <=
	       dff_core_team_at (core, job->team)->assured_accelerators;
}

static double
part_of (double unit_ms, int32_t units)
{
	return unit_ms / ((double)MAX (units, 1) * (double)DFF_SHARES_WINDOW_MS);
}

GArray *
dff_core_claimants_new (const struct dff_core *core, int32_t priority)
{
	GArray *claimants = g_array_sized_new (FALSE, FALSE, sizeof (struct dff_shares_claimant),
					       core->teams->len);
	for (int32_t i = 0; i < (int32_t)core->teams->len; i++) {
		struct dff_core_borrowing *borrowing = borrowing_at (core, i);
		settle (core, i, borrowing);
		double accelerator_ms =
			dff_shares_window_sum (&borrowing->accelerators[priority], core->now_ms);
		double slot_ms = dff_shares_window_sum (&borrowing->slots[priority], core->now_ms);
		struct dff_shares_claimant claimant = {
			.accelerator_ms = accelerator_ms,
			.dominant = MAX (part_of (accelerator_ms, core->total.accelerators),
					 part_of (slot_ms, core->total.slots)),
			.weight = dff_core_team_at (core, i)->weight,
		};
		g_array_append_val (claimants, claimant);
	}
	return claimants;
}

/* Returns: (nullable): the claimant of a head; NULL when the head has another priority. */
static struct dff_shares_claimant *
claimant_of (const struct dff_order_head *head, const GArray *claimants, int32_t priority)
{
	const struct dff_core_class *queue_class = head->user;
	if (head->priority != priority || queue_class->key.team == DFF_CORE_NONE)
		return NULL;
	return &g_array_index (claimants, struct dff_shares_claimant, queue_class->key.team);
}

static void
set_levels (const struct dff_core *core, GArray *heads, int32_t priority)
{
	g_autoptr (GArray) claimants = dff_core_claimants_new (core, priority);
	for (guint i = 0; i < heads->len; i++) {
		const struct dff_order_head *head =
			&g_array_index (heads, struct dff_order_head, i);
		struct dff_shares_claimant *claimant = claimant_of (head, claimants, priority);
		if (claimant != NULL)
			claimant->waits = true;
	}
	dff_shares_set_excess (core->options.shares, claimants);
	for (guint i = 0; i < heads->len; i++) {
		struct dff_order_head *head = &g_array_index (heads, struct dff_order_head, i);
		const struct dff_shares_claimant *claimant =
			claimant_of (head, claimants, priority);
		if (claimant != NULL)
			head->share_level =
				dff_shares_level (core->options.shares, claimant->excess);
	}
}

void
dff_core_set_share_levels (const struct dff_core *core, GArray *heads)
{
	if (core->options.shares == DFF_SHARES_STANDING)
		return;
	for (int32_t priority = 0; priority < DFF_CORE_PRIORITIES; priority++)
		set_levels (core, heads, priority);
}
