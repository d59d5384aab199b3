#include "cell/cell_private.h"

/* One span for each stage of a job in the holder: queue, decide, record, start, run, record. A job
 * is in one stage at a time. A stage that was open when the former holder failed is not traced. */

static struct dff_trace_context
context_of (const struct dff_cell_job *job)
{
	struct dff_trace_context context;
	const GString *text = job->row->traceparent;
	struct dff_str traceparent = {.data = text->str, .len = text->len};
	dff_trace_context_parse (traceparent, &context);
	return context;
}

void
dff_cell_span_end (struct dff_cell *cell, struct dff_cell_job *job, const char *outcome)
{
	if (job->span.name == NULL)
		return;
	dff_span_end (cell->options.tracer, &job->span, &job->row->spec.id, outcome);
	job->span.name = NULL;
}

void
dff_cell_span_next (struct dff_cell *cell,
		    struct dff_cell_job *job,
		    const char *outcome,
		    const char *name)
{
	dff_cell_span_end (cell, job, outcome);
	if (cell->options.tracer == NULL)
		return;
	struct dff_trace_context context = context_of (job);
	job->span = dff_span_begin (cell->options.tracer, &context, name);
}

void
dff_cell_span_decided (struct dff_cell *cell, struct dff_cell_job *job)
{
	dff_cell_span_next (cell, job, "placed", "decide");
	if (job->span.name != NULL)
		job->span.start_ms = cell->decide_ms;
	dff_cell_span_next (cell, job, "ok", "record");
}

void
dff_cell_span_started (struct dff_cell *cell, struct dff_cell_job *job)
{
	for (guint i = 0; i < job->members->len; i++) {
		if (!g_array_index (job->members, struct dff_cell_member, i).started)
			return;
	}
	dff_cell_span_next (cell, job, "ok", "run");
}
