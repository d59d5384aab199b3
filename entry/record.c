#include "entry/record.h"

#include "entry/entry_private.h"
#include "entry/reply.h"

struct pending_write {
	struct dff_entry *entry;
	struct dff_span span;
	uint64_t ticket;
	struct dff_deadline *timeout;
	dff_entry_record_func done;
	void *user;
};

static const char *
outcome_name (enum dff_entry_record_outcome outcome)
{
	static const char *const names[] = {
		[DFF_ENTRY_RECORD_DONE] = "done",
		[DFF_ENTRY_RECORD_CONFLICT] = "conflict",
		[DFF_ENTRY_RECORD_NOT_DONE] = "not_done",
		[DFF_ENTRY_RECORD_UNKNOWN] = "unknown",
	};
	return names[outcome];
}

static void
finish (struct pending_write *pending, enum dff_entry_record_outcome outcome, int64_t revision)
{
	struct dff_entry *entry = pending->entry;
	struct dff_name none = {.len = 0};
	dff_deadlines_clear (entry->deadlines, &pending->timeout);
	if (!entry->closed) {
		const char *name = outcome_name (outcome);
		dff_span_end (entry->options.tracer, &pending->span, &none, name);
	}
	if (outcome == DFF_ENTRY_RECORD_UNKNOWN)
		(*entry->counters.record_unknown)++;
	pending->done (pending->user, outcome, revision);
	g_free (pending);
	dff_entry_unref (entry);
}

static void
recorded (void *user, enum dff_record_outcome outcome, int64_t revision)
{
	static const enum dff_entry_record_outcome outcomes[] = {
		[DFF_RECORD_COMMITTED] = DFF_ENTRY_RECORD_DONE,
		[DFF_RECORD_CONFLICT] = DFF_ENTRY_RECORD_CONFLICT,
		[DFF_RECORD_NOT_COMMITTED] = DFF_ENTRY_RECORD_NOT_DONE,
	};
	finish (user, outcomes[outcome], revision);
}

/* A store that is down may not answer a commit; without a timeout the caller would wait for
 * minutes. The recorder reports whether the write is proven not committed. Otherwise the outcome is
 * reported as unknown. */
static void
write_timed_out (void *user)
{
	struct pending_write *pending = user;
	pending->timeout = NULL;
	enum dff_abandon_outcome abandon =
		dff_recorder_abandon (pending->entry->options.recorder, pending->ticket);
	finish (pending,
		abandon == DFF_ABANDON_NOT_COMMITTED ? DFF_ENTRY_RECORD_NOT_DONE
						     : DFF_ENTRY_RECORD_UNKNOWN,
		0);
}

void
dff_entry_record (struct dff_entry *entry,
		  const struct dff_trace_context *parent,
		  const struct dff_record_write *write,
		  int32_t timeout_ms,
		  dff_entry_record_func done,
		  void *user)
{
	if (entry->closed) {
		done (user, DFF_ENTRY_RECORD_NOT_DONE, 0);
		return;
	}
	struct pending_write *pending = g_new0 (struct pending_write, 1);
	struct dff_record_write bounded = *write;
	bounded.queue_timeout_ms = timeout_ms;
	pending->entry = dff_entry_ref (entry);
	pending->done = done;
	pending->user = user;
	pending->span = dff_span_begin (entry->options.tracer, parent, "record");
	pending->timeout = dff_deadlines_add (
		entry->deadlines, dff_entry_now_ms (entry) + timeout_ms, write_timed_out, pending);
	pending->ticket = dff_recorder_write (entry->options.recorder, &bounded, recorded, pending);
}

static void
record_for_call (struct dff_call *call,
		 const struct dff_record_write *write,
		 dff_entry_record_func done,
		 void *user)
{
	dff_entry_record (call->entry, &call->span.context, write, DFF_ENTRY_RECORD_TIMEOUT_MS,
			  done, user);
}

void
dff_call_record_row (struct dff_call *call,
		     struct dff_str key,
		     struct dff_str value,
		     int64_t revision,
		     dff_entry_record_func done,
		     void *user)
{
	struct dff_table_condition condition = {key, revision};
	struct dff_table_write change = {key, value};
	struct dff_record_write write = {
		.conditions = &condition,
		.n_conditions = 1,
		.writes = &change,
		.n_writes = 1,
	};
	record_for_call (call, &write, done, user);
}

void
dff_call_record_job (struct dff_call *call,
		     const struct dff_job_row *job,
		     dff_entry_record_func done,
		     void *user)
{
	g_autoptr (GString) key = dff_job_row_key (&job->spec.id);
	g_autoptr (GString) value = dff_job_row_encode (job);
	dff_call_record_row (call, (struct dff_str){key->str, key->len},
			     (struct dff_str){value->str, value->len}, job->revision, done, user);
}

void
dff_call_record_submission (struct dff_call *call,
			    struct dff_str key,
			    struct dff_str value,
			    const struct dff_name *hash,
			    const struct dff_name *id,
			    dff_entry_record_func done,
			    void *user)
{
	g_autoptr (GString) idempotency = dff_idempotency_row_key (hash);
	struct dff_str idempotency_key = {idempotency->str, idempotency->len};
	struct dff_table_condition conditions[] = {{.key = key}, {.key = idempotency_key}};
	struct dff_table_write writes[] = {
		{.key = key, .value = value},
		{.key = idempotency_key, .value = {id->data, id->len}},
	};
	size_t n = dff_name_is_empty (hash) ? 1 : 2;
	struct dff_record_write write = {
		.conditions = conditions,
		.n_conditions = n,
		.writes = writes,
		.n_writes = n,
	};
	record_for_call (call, &write, done, user);
}

GString *
dff_idempotency_row_key (const struct dff_name *hash)
{
	GString *key = g_string_new ("idem/");
	return g_string_append_len (key, hash->data, (gssize)hash->len);
}

void
dff_reply_key_reused (struct dff_call *call)
{
	dff_reply_error (call, 422, "idempotency_key_reused",
			 "The Idempotency-Key was used for other content before.");
}

void
dff_reply_record_failed (struct dff_call *call, enum dff_entry_record_outcome outcome)
{
	struct dff_problem not_done = {
		.status = 503,
		.code = "store_unavailable",
		.outcome = dff_refusal_outcome (call),
		.detail = "It was not put on record by this call.",
		.retry_after_s = dff_entry_retry_after_s (call->entry),
	};
	struct dff_problem unknown = {
		.status = 504,
		.code = "record_unknown",
		.outcome = DFF_OUTCOME_UNKNOWN,
		.detail = "The store does not say whether it is on record. Retry with the same "
			  "Idempotency-Key.",
		.retry_after_s = dff_entry_retry_after_s (call->entry),
	};
	(*call->entry->counters.refused_store)++;
	dff_reply_problem (call, outcome == DFF_ENTRY_RECORD_UNKNOWN ? &unknown : &not_done);
}

bool
dff_refuse_draining (struct dff_call *call)
{
	struct dff_entry *entry = call->entry;
	struct dff_problem problem = {
		.status = 503,
		.code = "draining",
		.outcome = dff_refusal_outcome (call),
		.detail = "This process is stopping; another one will take it.",
		.retry_after_s = 1,
	};
	if (!entry->draining)
		return false;
	(*entry->counters.refused_draining)++;
	dff_reply_problem (call, &problem);
	return true;
}

bool
dff_refuse_new_work (struct dff_call *call)
{
	if (dff_refuse_draining (call))
		return true;
	if (!dff_recorder_is_breaker_open (call->entry->options.recorder))
		return false;
	dff_reply_record_failed (call, DFF_ENTRY_RECORD_NOT_DONE);
	return true;
}
