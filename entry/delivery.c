#include "entry/delivery.h"

#include "common/log.h"
#include "entry/assembly.h"
#include "entry/entry_private.h"
#include "entry/reply.h"

/** Maximum size of a result, bytes. A result is assembled in memory before its first byte is
 * sent. */
#define RESULT_MAX_BYTES (INT64_C (32) << 20)
/** Maximum size of all results that are being assembled or sent, bytes. */
#define DELIVERY_MAX_BYTES (INT64_C (64) << 20)
/** Chunks of one result that are read at the same time. */
#define CHUNKS_AT_ONCE 4
/** Maximum reads of one object. */
#define TRIES_MAX 4
/** Delay before an object that is missing, unavailable or damaged is read again, ms; doubled with
 * each try. */
#define RETRY_MS 100

struct delivery {
	struct dff_call *call;
	int32_t refs;
	struct dff_span span;
	enum dff_outcome outcome;
	struct dff_result_ref result;
	struct dff_assembly *assembly;
	size_t next_chunk;
	bool finished;
	/** The answer owns the bytes and counts them; the delivery does not. */
	bool bytes_detached;
};

/* A result that is being sent. Its bytes count towards DELIVERY_MAX_BYTES until the last one was
 * passed to the kernel. */
struct outgoing {
	struct dff_entry *entry;
	struct dff_assembly *assembly;
	int64_t length;
};

struct object_read {
	struct delivery *delivery;
	GString *key;
	bool is_manifest;
	size_t index;
	int32_t tries;
};

static void read_object (struct object_read *read);
static void read_chunks (struct delivery *delivery);

static void
delivery_unref (struct delivery *delivery)
{
	delivery->refs--;
	if (delivery->refs > 0)
		return;
	if (delivery->assembly != NULL)
		dff_assembly_free (delivery->assembly);
	if (!delivery->bytes_detached)
		delivery->call->entry->delivery_bytes -= delivery->result.length;
	dff_call_unref (delivery->call);
	g_free (delivery);
}

static void
read_free (struct object_read *read)
{
	struct delivery *delivery = read->delivery;
	g_string_free (read->key, TRUE);
	g_free (read);
	delivery_unref (delivery);
}

static bool
is_finished (const struct delivery *delivery)
{
	return delivery->finished || !dff_call_is_open (delivery->call);
}

static void
end_span (struct delivery *delivery, const char *outcome)
{
	struct dff_call *call = delivery->call;
	delivery->finished = true;
	dff_span_end (call->entry->options.tracer, &delivery->span, &call->subject, outcome);
}

static void
fail_call (struct delivery *delivery, int status, const char *code, const char *detail)
{
	struct dff_problem problem = {
		.status = status,
		.code = code,
		.outcome = delivery->outcome,
		.detail = detail,
		.retry_after_s = dff_entry_retry_after_s (delivery->call->entry),
	};
	dff_log (DFF_LOG_ENTRY, DFF_LOG_WARNING, "Result not delivered. job=%s code=%s",
		 delivery->call->subject.data, code);
	end_span (delivery, code);
	dff_reply_problem (delivery->call, &problem);
}

static void
outgoing_free (gpointer data)
{
	struct outgoing *outgoing = data;
	dff_assembly_free (outgoing->assembly);
	outgoing->entry->delivery_bytes -= outgoing->length;
	dff_entry_unref (outgoing->entry);
	g_free (outgoing);
}

static GBytes *
detach_bytes (struct delivery *delivery, struct dff_str whole)
{
	struct outgoing *outgoing = g_new0 (struct outgoing, 1);
	outgoing->entry = dff_entry_ref (delivery->call->entry);
	outgoing->assembly = g_steal_pointer (&delivery->assembly);
	outgoing->length = delivery->result.length;
	delivery->bytes_detached = true;
	return g_bytes_new_with_free_func (whole.data, whole.len, outgoing_free, outgoing);
}

static void
reply_result (struct delivery *delivery)
{
	struct dff_str whole;
	if (!dff_assembly_finish (delivery->assembly, &whole)) {
		fail_call (delivery, 502, "result_damaged",
			   "The result does not match its digest.");
		return;
	}
	g_autofree char *digest = dff_digest_header (whole);
	end_span (delivery, "ok");
	dff_call_set_header (delivery->call, "Digest", digest);
	dff_call_set_header (delivery->call, "Outcome", dff_outcome_name (delivery->outcome));
	g_autoptr (GBytes) bytes = detach_bytes (delivery, whole);
	dff_reply_bytes (delivery->call, 200, "application/octet-stream", bytes);
}

static void
retry_due (void *user)
{
	read_object (user);
}

/* Returns false when the object was read TRIES_MAX times or the entry is closed. */
static bool
schedule_retry (struct object_read *read)
{
	struct dff_entry *entry = read->delivery->call->entry;
	if (read->tries >= TRIES_MAX || entry->closed)
		return false;
	int64_t wait_ms = (int64_t)RETRY_MS << (read->tries - 1);
	dff_deadlines_add (entry->deadlines, dff_entry_now_ms (entry) + wait_ms, retry_due, read);
	return true;
}

static void
handle_manifest (struct delivery *delivery, struct dff_str data)
{
	const struct dff_result_ref *result = &delivery->result;
	delivery->assembly = dff_assembly_new (data, result->length, result->digest);
	if (delivery->assembly == NULL)
		fail_call (delivery, 502, "result_damaged", "The result's manifest is not usable.");
	else
		read_chunks (delivery);
}

/* Returns false when the bytes do not match the chunk's length and digest. */
static bool
handle_chunk (struct delivery *delivery, size_t index, struct dff_str data)
{
	if (dff_assembly_add (delivery->assembly, index, data) == DFF_CHUNK_CORRUPT)
		return false;
	read_chunks (delivery);
	return true;
}

static void
object_found (struct object_read *read, struct dff_str data)
{
	struct delivery *delivery = read->delivery;
	if (read->is_manifest)
		handle_manifest (delivery, data);
	else if (!handle_chunk (delivery, read->index, data)) {
		if (schedule_retry (read))
			return;
		fail_call (delivery, 502, "result_damaged", "A part of the result is damaged.");
	}
	read_free (read);
}

static void
object_read_done (void *user, const struct dff_object_result *result)
{
	struct object_read *read = user;
	struct delivery *delivery = read->delivery;
	if (is_finished (delivery)) {
		read_free (read);
		return;
	}
	if (result->outcome == DFF_OBJECT_OK) {
		object_found (read, result->data);
		return;
	}
	if (schedule_retry (read))
		return;
	if (result->outcome == DFF_OBJECT_NOT_FOUND)
		fail_call (delivery, 503, "result_incomplete", "A part of the result is missing.");
	else
		fail_call (delivery, 503, "store_unavailable", "The store does not answer.");
	read_free (read);
}

static void
read_object (struct object_read *read)
{
	const struct dff_object_store *objects = read->delivery->call->entry->options.objects;
	struct dff_str key = {read->key->str, read->key->len};
	if (is_finished (read->delivery)) {
		read_free (read);
		return;
	}
	read->tries++;
	objects->get (objects->ctx, key, object_read_done, read);
}

static struct object_read *
object_read_new (struct delivery *delivery, const char *key)
{
	struct object_read *read = g_new0 (struct object_read, 1);
	delivery->refs++;
	read->delivery = delivery;
	read->key = g_string_new (key);
	return read;
}

static void
read_next_chunk (struct delivery *delivery)
{
	size_t index = delivery->next_chunk++;
	const struct dff_chunk *chunk = dff_assembly_chunk (delivery->assembly, index);
	struct object_read *read = object_read_new (delivery, chunk->key->str);
	read->index = index;
	read_object (read);
}

static void
read_chunks (struct delivery *delivery)
{
	size_t n_chunks = dff_assembly_n_chunks (delivery->assembly);
	bool first = delivery->next_chunk == 0;
	if (dff_assembly_is_complete (delivery->assembly)) {
		reply_result (delivery);
		return;
	}
	/* Each chunk that was added allows one more read. */
	size_t n = first ? CHUNKS_AT_ONCE : 1;
	for (size_t i = 0; i < n && delivery->next_chunk < n_chunks && !delivery->finished; i++)
		read_next_chunk (delivery);
}

static void
reply_without_result (struct dff_call *call, const struct dff_job_row *row)
{
	json_t *extra = json_object ();
	struct dff_problem problem = {
		.status = 410,
		.code = "no_result",
		.outcome = row->outcome,
		.detail = "The job has ended without a result.",
		.extra = extra,
	};
	json_object_set_new (extra, "id", json_string (row->spec.id.data));
	if (!dff_name_is_empty (&row->reason))
		json_object_set_new (extra, "reason", json_string (row->reason.data));
	dff_reply_problem (call, &problem);
	json_decref (extra);
}

/* Results are held in memory completely, so that none is sent in part. Their total size is
 * bounded. */
static bool
refuse_over_memory_limit (struct dff_call *call, int64_t length)
{
	struct dff_entry *entry = call->entry;
	struct dff_problem problem = {
		.status = 503,
		.code = "busy",
		.detail = "As many results as fit in memory are being sent.",
		.retry_after_s = 1 + g_rand_int_range (entry->rng, 0, 2),
	};
	if (entry->delivery_bytes + length > DELIVERY_MAX_BYTES) {
		(*entry->counters.refused_busy)++;
		dff_reply_problem (call, &problem);
		return true;
	}
	entry->delivery_bytes += length;
	return false;
}

/* The span of a result belongs to the trace of its job, whoever fetches the result, so that one
 * trace shows the job from submission to delivery. */
static struct dff_span
begin_span (const struct dff_call *call, const struct dff_job_row *row)
{
	struct dff_trace_context parent;
	struct dff_str traceparent = {row->traceparent->str, row->traceparent->len};
	if (!dff_trace_context_parse (traceparent, &parent))
		parent = call->span.context;
	return dff_span_begin (call->entry->options.tracer, &parent, "result");
}

void
dff_delivery_begin (struct dff_call *call, const struct dff_job_row *row)
{
	if (!dff_call_is_open (call))
		return;
	if (row->result.digest[0] == '\0') {
		reply_without_result (call, row);
		return;
	}
	if (row->result.length < 0 || row->result.length > RESULT_MAX_BYTES) {
		dff_reply_error (call, 502, "result_too_large", "The result is over 32 MiB.");
		return;
	}
	if (refuse_over_memory_limit (call, row->result.length))
		return;
	struct delivery *delivery = g_new0 (struct delivery, 1);
	delivery->call = dff_call_ref (call);
	/* Only the reads hold references to the delivery. */
	delivery->outcome = row->outcome;
	delivery->result = row->result;
	delivery->span = begin_span (call, row);
	struct object_read *read = object_read_new (delivery, row->result.manifest_key.data);
	read->is_manifest = true;
	read_object (read);
}
