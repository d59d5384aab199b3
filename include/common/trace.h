#ifndef DFF_COMMON_TRACE_H
#define DFF_COMMON_TRACE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/cleanup.h"
#include "common/clock.h"
#include "common/str.h"

/* Tracing: W3C trace context is parsed and propagated; each hop writes one span as a JSON line. */

struct dff_trace_context {
	uint8_t trace_id[16];
	/** Parent of the next span; zeros: none. */
	uint8_t span_id[8];
	bool sampled;
};

/** Length of a traceparent header value, without terminator. */
#define DFF_TRACEPARENT_LEN 55

/** Parses a traceparent header value. Returns: false, and a zero context, when it is malformed. */
bool dff_trace_context_parse (struct dff_str traceparent, struct dff_trace_context *context);

/** Formats a traceparent header value, with terminator. */
void dff_trace_context_format (const struct dff_trace_context *context,
			       char out[DFF_TRACEPARENT_LEN + 1]);

struct dff_tracer;

/** Receives one finished span as a JSON line without line terminator. */
typedef void (*dff_trace_sink_func) (void *ctx, struct dff_str line);

/**
 * dff_tracer_new:
 * @clock: source of span times
 * @instance: written into each span
 * @seed: seed of the ids; random in a process, constant in a test
 * @sink: (nullable): NULL discards spans
 */
struct dff_tracer *dff_tracer_new (const struct dff_clock *clock,
				   const struct dff_name *instance,
				   uint64_t seed,
				   dff_trace_sink_func sink,
				   void *sink_ctx);

void dff_tracer_free (struct dff_tracer *tracer);

DFF_DEFINE_CLEANUP (dff_tracer, dff_tracer_free);

/** Starts a new trace, for a request without traceparent. */
struct dff_trace_context dff_trace_start (struct dff_tracer *tracer);

/** A span in progress, held by value. */
struct dff_span {
	struct dff_trace_context context; /**< Pass this on: span_id is the span's own. */
	uint8_t parent_id[8];
	const char *name; /**< Static: "entry", "queue", "decide", "record", "start", "run",
			     "result". */
	int64_t start_wall_ms;
	int64_t start_ms;
};

/** Begins a child span of @parent. */
struct dff_span dff_span_begin (struct dff_tracer *tracer,
				const struct dff_trace_context *parent,
				const char *name);

/**
 * dff_span_end:
 * @subject: job or request id; may be empty
 * @outcome: static word
 */
void dff_span_end (struct dff_tracer *tracer,
		   const struct dff_span *span,
		   const struct dff_name *subject,
		   const char *outcome);

#endif
