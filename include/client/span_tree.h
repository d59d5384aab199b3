#ifndef DFF_CLIENT_SPAN_TREE_H
#define DFF_CLIENT_SPAN_TREE_H

#include <glib.h>

#include "common/cleanup.h"
#include "common/str.h"

/* A tree of the spans of one trace or job, read from the JSON Lines of several processes. */

struct dff_span_tree;

/** @wanted: a trace id, or the subject (job or request id) of a span in the trace. */
struct dff_span_tree *dff_span_tree_new (struct dff_str wanted);

void dff_span_tree_free (struct dff_span_tree *tree);

DFF_DEFINE_CLEANUP (dff_span_tree, dff_span_tree_free);

/** Adds the spans in JSON Lines text. Returns: number of lines that are not spans. */
guint dff_span_tree_add (struct dff_span_tree *tree, struct dff_str lines);

/** Appends the tree; times are relative to the first span, ms. Returns: number of spans printed. */
guint dff_span_tree_print (struct dff_span_tree *tree, GString *out);

#endif
