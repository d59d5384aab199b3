#include "common/trace.h"

#include <inttypes.h>
#include <string.h>

#define VERSION_LEN 2
#define TRACE_ID_AT 3
#define SPAN_ID_AT 36
#define FLAGS_AT 53
#define FLAG_SAMPLED 0x01
#define VERSION_INVALID 0xff

struct dff_tracer {
	const struct dff_clock *clock;
	struct dff_name instance;
	uint64_t random_state;
	dff_trace_sink_func sink;
	void *sink_ctx;
	/** Reused for each line. */
	GString *line;
};

/** Returns: the value of a lower-case hexadecimal digit, else -1; the standard forbids upper
 * case. */
static int
hex_value (char digit)
{
	if (digit >= '0' && digit <= '9')
		return digit - '0';
	if (digit >= 'a' && digit <= 'f')
		return digit - 'a' + 10;
	return -1;
}

static bool
hex_decode (const char *text, uint8_t *bytes, size_t n_bytes)
{
	for (size_t i = 0; i < n_bytes; i++) {
		int high = hex_value (text[2 * i]);
		int low = hex_value (text[2 * i + 1]);
		if (high < 0 || low < 0)
			return false;
		bytes[i] = (uint8_t)(high << 4 | low);
	}
	return true;
}

static void
hex_encode (const uint8_t *bytes, size_t n_bytes, char *out)
{
	static const char digits[] = "0123456789abcdef";
	for (size_t i = 0; i < n_bytes; i++) {
		out[2 * i] = digits[bytes[i] >> 4];
		out[2 * i + 1] = digits[bytes[i] & 0xf];
	}
}

static bool
all_zero (const uint8_t *bytes, size_t n_bytes)
{
	for (size_t i = 0; i < n_bytes; i++) {
		if (bytes[i] != 0)
			return false;
	}
	return true;
}

static bool
layout_valid (struct dff_str text, uint8_t version)
{
	if (version == VERSION_INVALID)
		return false;
	/* A later version may append fields after another dash; version 00 must not. */
	if (text.len > DFF_TRACEPARENT_LEN)
		return version != 0 && text.data[DFF_TRACEPARENT_LEN] == '-';
	return true;
}

static bool
parse (struct dff_str text, struct dff_trace_context *context)
{
	uint8_t version;
	uint8_t flags;
	if (text.len < DFF_TRACEPARENT_LEN || !hex_decode (text.data, &version, 1))
		return false;
	if (!layout_valid (text, version))
		return false;
	if (text.data[TRACE_ID_AT - 1] != '-' || text.data[SPAN_ID_AT - 1] != '-' ||
	    text.data[FLAGS_AT - 1] != '-')
		return false;
	if (!hex_decode (text.data + TRACE_ID_AT, context->trace_id, sizeof (context->trace_id)) ||
	    !hex_decode (text.data + SPAN_ID_AT, context->span_id, sizeof (context->span_id)) ||
	    !hex_decode (text.data + FLAGS_AT, &flags, 1))
		return false;
	context->sampled = (flags & FLAG_SAMPLED) != 0;
	return !all_zero (context->trace_id, sizeof (context->trace_id)) &&
	       !all_zero (context->span_id, sizeof (context->span_id));
}

bool
dff_trace_context_parse (struct dff_str traceparent, struct dff_trace_context *context)
{
	memset (context, 0, sizeof (*context));
	if (parse (traceparent, context))
		return true;
	memset (context, 0, sizeof (*context));
	return false;
}

void
dff_trace_context_format (const struct dff_trace_context *context,
			  char out[DFF_TRACEPARENT_LEN + 1])
{
	memset (out, '-', DFF_TRACEPARENT_LEN);
	memset (out, '0', VERSION_LEN);
	hex_encode (context->trace_id, sizeof (context->trace_id), out + TRACE_ID_AT);
	hex_encode (context->span_id, sizeof (context->span_id), out + SPAN_ID_AT);
	out[FLAGS_AT] = '0';
	out[FLAGS_AT + 1] = context->sampled ? '1' : '0';
	out[DFF_TRACEPARENT_LEN] = '\0';
}

struct dff_tracer *
dff_tracer_new (const struct dff_clock *clock,
		const struct dff_name *instance,
		uint64_t seed,
		dff_trace_sink_func sink,
		void *sink_ctx)
{
	struct dff_tracer *tracer = g_new0 (struct dff_tracer, 1);
	tracer->clock = clock;
	tracer->instance = *instance;
	tracer->random_state = seed;
	tracer->sink = sink;
	tracer->sink_ctx = sink_ctx;
	tracer->line = g_string_sized_new (512);
	return tracer;
}

void
dff_tracer_free (struct dff_tracer *tracer)
{
	g_string_free (tracer->line, TRUE);
	g_free (tracer);
}

/** SplitMix64: ids have to be unique, not secret. */
static uint64_t
next_random (struct dff_tracer *tracer)
{
	tracer->random_state += UINT64_C (0x9e3779b97f4a7c15);
	uint64_t value = tracer->random_state;
	value = (value ^ value >> 30) * UINT64_C (0xbf58476d1ce4e5b9);
	value = (value ^ value >> 27) * UINT64_C (0x94d049bb133111eb);
	return value ^ value >> 31;
}

static void
fill_id (struct dff_tracer *tracer, uint8_t *id, size_t n_bytes)
{
	do {
		for (size_t at = 0; at < n_bytes; at += sizeof (uint64_t)) {
			uint64_t bits = next_random (tracer);
			memcpy (id + at, &bits, sizeof (bits));
		}
	} while (all_zero (id, n_bytes));
}

struct dff_trace_context
dff_trace_start (struct dff_tracer *tracer)
{
	struct dff_trace_context context = {.sampled = true};
	fill_id (tracer, context.trace_id, sizeof (context.trace_id));
	return context;
}

struct dff_span
dff_span_begin (struct dff_tracer *tracer, const struct dff_trace_context *parent, const char *name)
{
	struct dff_span span = {.context = *parent, .name = name};
	if (all_zero (parent->trace_id, sizeof (parent->trace_id)))
		span.context = dff_trace_start (tracer);
	memcpy (span.parent_id, span.context.span_id, sizeof (span.parent_id));
	fill_id (tracer, span.context.span_id, sizeof (span.context.span_id));
	span.start_wall_ms = dff_clock_wall_ms (tracer->clock);
	span.start_ms = dff_clock_now_ms (tracer->clock);
	return span;
}

static void
append_text (GString *line, const char *key, const char *value, gssize len)
{
	g_string_append (line, key);
	g_string_append_len (line, value, len);
	g_string_append_c (line, '"');
}

static void
append_id (GString *line, const char *key, const uint8_t *id, size_t n_bytes)
{
	char text[2 * sizeof (((struct dff_trace_context *)NULL)->trace_id)];
	size_t len = all_zero (id, n_bytes) ? 0 : 2 * n_bytes;
	hex_encode (id, n_bytes, text);
	append_text (line, key, text, (gssize)len);
}

/* Serialised by hand, because each request writes spans. No value needs escaping: names have a
 * restricted alphabet, outcomes are static words. */
void
dff_span_end (struct dff_tracer *tracer,
	      const struct dff_span *span,
	      const struct dff_name *subject,
	      const char *outcome)
{
	if (tracer->sink == NULL || !span->context.sampled)
		return;
	GString *line = tracer->line;
	g_string_truncate (line, 0);
	append_id (line, "{\"trace\":\"", span->context.trace_id, sizeof (span->context.trace_id));
	append_id (line, ",\"span\":\"", span->context.span_id, sizeof (span->context.span_id));
	append_id (line, ",\"parent\":\"", span->parent_id, sizeof (span->parent_id));
	append_text (line, ",\"name\":\"", span->name, -1);
	append_text (line, ",\"instance\":\"", tracer->instance.data, tracer->instance.len);
	append_text (line, ",\"subject\":\"", subject->data, subject->len);
	int64_t duration_ms = dff_clock_now_ms (tracer->clock) - span->start_ms;
	g_string_append_printf (line, ",\"start_ms\":%" PRId64 ",\"duration_ms\":%" PRId64,
				span->start_wall_ms, duration_ms);
	append_text (line, ",\"outcome\":\"", outcome, -1);
	g_string_append_c (line, '}');
	tracer->sink (tracer->sink_ctx, (struct dff_str){line->str, line->len});
}
