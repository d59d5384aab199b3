#include "client/span_tree.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#define INDENT 2
#define NAME_WIDTH 24
/* Limits the recursion on long chains of parents. */
#define MAX_DEPTH 64

struct span {
	char *trace;
	char *id;
	char *parent;
	char *name;
	char *instance;
	char *subject;
	char *outcome;
	int64_t start_ms;
	int64_t duration_ms;
	bool printed;
};

struct dff_span_tree {
	char *wanted;
	/* Elements: struct span *. */
	GPtrArray *spans;
};

static void
span_free (gpointer data)
{
	struct span *span = data;
	g_free (span->trace);
	g_free (span->id);
	g_free (span->parent);
	g_free (span->name);
	g_free (span->instance);
	g_free (span->subject);
	g_free (span->outcome);
	g_free (span);
}

struct dff_span_tree *
dff_span_tree_new (struct dff_str wanted)
{
	struct dff_span_tree *tree = g_new0 (struct dff_span_tree, 1);
	tree->wanted = g_strndup (wanted.data, wanted.len);
	tree->spans = g_ptr_array_new_with_free_func (span_free);
	return tree;
}

void
dff_span_tree_free (struct dff_span_tree *tree)
{
	if (tree == NULL)
		return;
	g_free (tree->wanted);
	g_ptr_array_unref (tree->spans);
	g_free (tree);
}

static char *
dup_member (const json_t *line, const char *key)
{
	const char *text = json_string_value (json_object_get (line, key));
	return g_strdup (text != NULL ? text : "");
}

static bool
add_line (struct dff_span_tree *tree, const char *data, size_t len)
{
	json_t *line = json_loadb (data, len, 0, NULL);
	bool valid = json_is_string (json_object_get (line, "trace")) &&
		     json_is_string (json_object_get (line, "span")) &&
		     json_is_integer (json_object_get (line, "start_ms"));
	if (valid) {
		struct span *span = g_new0 (struct span, 1);
		span->trace = dup_member (line, "trace");
		span->id = dup_member (line, "span");
		span->parent = dup_member (line, "parent");
		span->name = dup_member (line, "name");
		span->instance = dup_member (line, "instance");
		span->subject = dup_member (line, "subject");
		span->outcome = dup_member (line, "outcome");
		span->start_ms = json_integer_value (json_object_get (line, "start_ms"));
		span->duration_ms = json_integer_value (json_object_get (line, "duration_ms"));
		g_ptr_array_add (tree->spans, span);
	}
	json_decref (line);
	return valid;
}

guint
dff_span_tree_add (struct dff_span_tree *tree, struct dff_str lines)
{
	guint n_malformed = 0;
	size_t start = 0;
	while (start < lines.len) {
		const char *end = memchr (lines.data + start, '\n', lines.len - start);
		size_t stop = end != NULL ? (size_t)(end - lines.data) : lines.len;
		if (stop > start && !add_line (tree, lines.data + start, stop - start))
			n_malformed++;
		start = stop + 1;
	}
	return n_malformed;
}

static gint
compare_start (gconstpointer a, gconstpointer b)
{
	const struct span *left = *(struct span *const *)a;
	const struct span *right = *(struct span *const *)b;
	if (left->start_ms != right->start_ms)
		return left->start_ms < right->start_ms ? -1 : 1;
	return strcmp (left->id, right->id);
}

/* Returns: (nullable): id of the wanted trace, or of the first one with the wanted subject. */
static const char *
find_trace (const struct dff_span_tree *tree)
{
	for (guint i = 0; i < tree->spans->len; i++) {
		const struct span *span = g_ptr_array_index (tree->spans, i);
		if (strcmp (span->trace, tree->wanted) == 0 ||
		    strcmp (span->subject, tree->wanted) == 0)
			return span->trace;
	}
	return NULL;
}

static bool
has_parent (const GPtrArray *spans, const struct span *child)
{
	for (guint i = 0; i < spans->len; i++) {
		const struct span *span = g_ptr_array_index (spans, i);
		if (span != child && strcmp (span->id, child->parent) == 0)
			return true;
	}
	return false;
}

static guint
print_span (const GPtrArray *spans, struct span *span, int64_t origin_ms, int depth, GString *out)
{
	if (span->printed || depth > MAX_DEPTH)
		return 0;
	span->printed = true;
	int indent = depth * INDENT;
	g_string_append_printf (out, "%*s%-*s %+8" G_GINT64_FORMAT " ms %8" G_GINT64_FORMAT " ms",
				indent, "", MAX (NAME_WIDTH - indent, 1), span->name,
				span->start_ms - origin_ms, span->duration_ms);
	g_string_append_printf (out, "  %s  %s  %s\n", span->instance, span->outcome,
				span->subject);
	guint n_printed = 1;
	for (guint i = 0; i < spans->len; i++) {
		struct span *child = g_ptr_array_index (spans, i);
		if (strcmp (child->parent, span->id) == 0)
			n_printed += print_span (spans, child, origin_ms, depth + 1, out);
	}
	return n_printed;
}

guint
dff_span_tree_print (struct dff_span_tree *tree, GString *out)
{
	const char *trace = find_trace (tree);
	if (trace == NULL)
		return 0;
	g_autoptr (GPtrArray) spans = g_ptr_array_new ();
	for (guint i = 0; i < tree->spans->len; i++) {
		struct span *span = g_ptr_array_index (tree->spans, i);
		span->printed = false;
		if (strcmp (span->trace, trace) == 0)
			g_ptr_array_add (spans, span);
	}
	g_ptr_array_sort (spans, compare_start);
	int64_t origin_ms = ((struct span *)g_ptr_array_index (spans, 0))->start_ms;
	g_string_append_printf (out, "trace %s\n", trace);
	guint n_printed = 0;
	for (guint i = 0; i < spans->len; i++) {
		struct span *span = g_ptr_array_index (spans, i);
		if (!has_parent (spans, span))
			n_printed += print_span (spans, span, origin_ms, 0, out);
	}
	/* Spans that are each other's parents have no root and are printed here. */
	for (guint i = 0; i < spans->len; i++)
		n_printed += print_span (spans, g_ptr_array_index (spans, i), origin_ms, 0, out);
	return n_printed;
}
