#include <inttypes.h>

#include "common/log.h"
#include "record/recorder_state.h"

#define LOOKUP_BACKOFF_FIRST_MS 50
#define LOOKUP_BACKOFF_MAX_MS 2000
#define REFUSED_BACKOFF_FIRST_MS 100
#define REFUSED_BACKOFF_MAX_MS 10000

/* Returns: @first_ms doubled @times times, at most @max_ms. */
static int32_t
doubled_ms (int32_t first_ms, int32_t max_ms, int32_t times)
{
	int32_t ms = first_ms;
	for (int32_t i = 0; i < times && ms < max_ms; i++)
		ms = MIN (2 * ms, max_ms);
	return ms;
}

static void
handle_success (struct dff_recorder *recorder)
{
	if (recorder->breaker.state != DFF_BREAKER_CLOSED)
		dff_log (DFF_LOG_RECORD, DFF_LOG_INFO, "Table answers again.");
	dff_breaker_add_success (&recorder->breaker);
	recorder->n_successes++;
}

static void
handle_failure (struct dff_recorder *recorder)
{
	bool was_closed = recorder->breaker.state == DFF_BREAKER_CLOSED;
	if (!dff_breaker_add_failure (&recorder->breaker, dff_recorder_now_ms (recorder)) ||
	    !was_closed)
		return;
	(*recorder->counters.breaker_opened)++;
	dff_log (DFF_LOG_RECORD, DFF_LOG_WARNING,
		 "Table fails, breaker opened. waiting=%u unresolved=%u", recorder->waiting.length,
		 recorder->groups->len);
	/* Units still in the queue are known not to be committed. To report that only at their
	 * timeout would delay the callers' retries. */
	dff_recorder_refuse_waiting (recorder);
}

/* Removes the group and unlocks its keys. The caller takes over its units. */
static void
end_group (struct dff_recorder *recorder, struct dff_record_group *group)
{
	dff_recorder_detach_calls (recorder, group);
	g_ptr_array_remove (recorder->groups, group);
	for (guint i = 0; i < group->units->len; i++) {
		struct dff_record_unit *unit = group->units->pdata[i];
		dff_key_locks_remove (&recorder->locks, unit->txn);
		unit->group = NULL;
	}
}

static void
finish_group (struct dff_recorder *recorder,
	      struct dff_record_group *group,
	      enum dff_record_outcome outcome,
	      int64_t revision)
{
	end_group (recorder, group);
	for (guint i = 0; i < group->units->len; i++)
		dff_recorder_finish (recorder, group->units->pdata[i], outcome, revision);
	dff_record_group_free (group);
}

/* Queues the units of a group that is proven not written and cannot take effect later. */
static void
requeue_group (struct dff_recorder *recorder, struct dff_record_group *group)
{
	end_group (recorder, group);
	for (guint i = 0; i < group->units->len; i++)
		dff_recorder_requeue (recorder, group->units->pdata[i]);
	dff_record_group_free (group);
}

/* If the table refuses a unit permanently, for example because it is too large, the unit would fail
 * its group on each attempt and open the breaker: nothing would be recorded although the table
 * works. So a unit that was refused twice, with another call accepted in between, is sent in a
 * transaction of its own, with backoff, and its refusals do not count for the breaker. */
static void
count_refusal (struct dff_recorder *recorder, struct dff_record_unit *unit)
{
	bool was_suspect = unit->refusals >= DFF_RECORD_SUSPECT_REFUSALS;
	bool accepted_others =
		unit->refusals == 0 || unit->successes_at_refusal != recorder->n_successes;
	if (!accepted_others && !was_suspect)
		return;
	unit->refusals++;
	unit->successes_at_refusal = recorder->n_successes;
	if (unit->refusals < DFF_RECORD_SUSPECT_REFUSALS)
		return;
	int32_t backoff_ms = doubled_ms (REFUSED_BACKOFF_FIRST_MS, REFUSED_BACKOFF_MAX_MS,
					 unit->refusals - DFF_RECORD_SUSPECT_REFUSALS);
	unit->ungrouped = true;
	unit->not_before_ms =
		dff_recorder_now_ms (recorder) + dff_jitter_ms (recorder->rand, backoff_ms);
}

static void
refuse_group (struct dff_recorder *recorder, struct dff_record_group *group)
{
	for (guint i = 0; i < group->units->len; i++)
		count_refusal (recorder, group->units->pdata[i]);
	requeue_group (recorder, group);
}

static void
wait_for_answer (struct dff_recorder *recorder,
		 struct dff_record_group *group,
		 enum dff_record_group_state state)
{
	group->state = state;
	group->due_ms = dff_recorder_now_ms (recorder) + recorder->options.answer_timeout_ms;
}

static void
mark_uncertain (struct dff_recorder *recorder, struct dff_record_group *group)
{
	int32_t backoff_ms =
		doubled_ms (LOOKUP_BACKOFF_FIRST_MS, LOOKUP_BACKOFF_MAX_MS, group->lookups);
	if (group->state == DFF_GROUP_SENT)
		(*recorder->counters.uncertain)++;
	group->state = DFF_GROUP_UNCERTAIN;
	group->due_ms = dff_recorder_now_ms (recorder) + dff_jitter_ms (recorder->rand, backoff_ms);
}

/* One failed condition fails the whole transaction. A single read finds the failed conditions.
 * Bisecting the group instead would cost two commits per unit if all units fail, as they do for a
 * holder whose epoch is outdated. */
static void
handle_conflict (struct dff_recorder *recorder, struct dff_record_group *group, int64_t revision)
{
	if (group->units->len == 1) {
		finish_group (recorder, group, DFF_RECORD_CONFLICT, revision);
		return;
	}
	wait_for_answer (recorder, group, DFF_GROUP_READING);
	dff_recorder_call_read (recorder, group);
}

static void
handle_commit_answer (struct dff_recorder *recorder, const struct dff_record_call *call)
{
	struct dff_record_group *group = call->group;
	switch (call->outcome) {
	case DFF_TABLE_OK:
		finish_group (recorder, group, DFF_RECORD_COMMITTED, call->revision);
		break;
	case DFF_TABLE_CONFLICT:
		/* After a lookup, which bars the write id, the commit may conflict with that id
		 * although no condition failed. So the conflict is not reported. */
		if (group->lookups > 0)
			requeue_group (recorder, group);
		else
			handle_conflict (recorder, group, call->revision);
		break;
	case DFF_TABLE_UNAVAILABLE:
		refuse_group (recorder, group);
		break;
	case DFF_TABLE_UNCERTAIN:
		if (group->state == DFF_GROUP_SENT)
			mark_uncertain (recorder, group);
		break;
	}
}

static void
handle_lookup_answer (struct dff_recorder *recorder, const struct dff_record_call *call)
{
	struct dff_record_group *group = call->group;
	switch (call->outcome) {
	case DFF_TABLE_OK:
		(*recorder->counters.resolved_written)++;
		finish_group (recorder, group, DFF_RECORD_COMMITTED, call->revision);
		break;
	case DFF_TABLE_CONFLICT:
		(*recorder->counters.resolved_absent)++;
		requeue_group (recorder, group);
		break;
	case DFF_TABLE_UNAVAILABLE:
	case DFF_TABLE_UNCERTAIN:
		if (group->state == DFF_GROUP_LOOKUP)
			mark_uncertain (recorder, group);
		break;
	}
}

static bool
has_conflict (const struct dff_record_group *group)
{
	for (guint i = 0; i < group->units->len; i++) {
		const struct dff_record_unit *unit = group->units->pdata[i];
		if (unit->conflicts)
			return true;
	}
	return false;
}

/* Units whose condition fails according to the read end with a conflict; the others are requeued.
 * If no condition fails, as the row has changed back meanwhile, each unit is sent in a transaction
 * of its own, so that the next conflict belongs to one unit. */
static void
handle_read_answer (struct dff_recorder *recorder, const struct dff_record_call *call)
{
	struct dff_record_group *group = call->group;
	if (call->outcome != DFF_TABLE_OK) {
		requeue_group (recorder, group);
		return;
	}
	bool one_by_one = !has_conflict (group);
	end_group (recorder, group);
	for (guint i = 0; i < group->units->len; i++) {
		struct dff_record_unit *unit = group->units->pdata[i];
		unit->ungrouped = one_by_one;
		if (unit->conflicts)
			dff_recorder_finish (recorder, unit, DFF_RECORD_CONFLICT, call->revision);
		else
			dff_recorder_requeue (recorder, unit);
	}
	dff_record_group_free (group);
}

static bool
counts_as_failure (const struct dff_record_call *call)
{
	if (call->kind == DFF_RECORD_CALL_PROBE)
		return true;
	if (call->group == NULL)
		return false;
	return call->outcome == DFF_TABLE_UNCERTAIN || !dff_record_group_is_suspect (call->group);
}

static void
handle_answer (struct dff_recorder *recorder, const struct dff_record_call *call)
{
	if (call->outcome == DFF_TABLE_OK || call->outcome == DFF_TABLE_CONFLICT)
		handle_success (recorder);
	else if (counts_as_failure (call))
		handle_failure (recorder);
	if (call->group == NULL)
		return;
	switch (call->kind) {
	case DFF_RECORD_CALL_COMMIT:
		handle_commit_answer (recorder, call);
		break;
	case DFF_RECORD_CALL_LOOKUP:
		handle_lookup_answer (recorder, call);
		break;
	case DFF_RECORD_CALL_READ:
		handle_read_answer (recorder, call);
		break;
	case DFF_RECORD_CALL_PROBE:
		break;
	}
}

void
dff_recorder_handle_answers (struct dff_recorder *recorder)
{
	struct dff_record_call *call;
	while ((call = g_queue_pop_head (&recorder->answers)) != NULL) {
		handle_answer (recorder, call);
		g_hash_table_remove (recorder->calls, call);
	}
}

static void
time_out (struct dff_recorder *recorder, struct dff_record_group *group)
{
	handle_failure (recorder);
	/* The commit was answered with a conflict, so nothing was written and the units can be
	 * requeued without the read. */
	if (group->state == DFF_GROUP_READING)
		requeue_group (recorder, group);
	else
		mark_uncertain (recorder, group);
}

void
dff_recorder_check_timeouts (struct dff_recorder *recorder)
{
	int64_t now_ms = dff_recorder_now_ms (recorder);
	for (guint i = recorder->groups->len; i > 0; i--) {
		struct dff_record_group *group = recorder->groups->pdata[i - 1];
		if (group->state != DFF_GROUP_UNCERTAIN && now_ms >= group->due_ms)
			time_out (recorder, group);
	}
	if (recorder->breaker.state == DFF_BREAKER_HALF_OPEN && now_ms >= recorder->probe_due_ms)
		handle_failure (recorder);
}

void
dff_recorder_send_lookups (struct dff_recorder *recorder)
{
	int64_t now_ms = dff_recorder_now_ms (recorder);
	for (guint i = 0; i < recorder->groups->len; i++) {
		struct dff_record_group *group = recorder->groups->pdata[i];
		if (recorder->breaker.state != DFF_BREAKER_CLOSED)
			return;
		if (group->state != DFF_GROUP_UNCERTAIN || now_ms < group->due_ms)
			continue;
		if (!dff_budget_take (&recorder->budget, now_ms))
			return;
		group->lookups++;
		wait_for_answer (recorder, group, DFF_GROUP_LOOKUP);
		dff_recorder_call_lookup (recorder, group);
	}
}

void
dff_recorder_probe (struct dff_recorder *recorder)
{
	int64_t now_ms = dff_recorder_now_ms (recorder);
	if (!dff_budget_is_available (&recorder->budget, now_ms) ||
	    !dff_breaker_begin_probe (&recorder->breaker, now_ms))
		return;
	dff_budget_take (&recorder->budget, now_ms);
	recorder->probe_due_ms = now_ms + recorder->options.answer_timeout_ms;
	dff_recorder_call_probe (recorder);
}
