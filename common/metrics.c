#include "common/metrics.h"

#include <inttypes.h>
#include <stdbool.h>
#include <string.h>

enum metric_type {
	DFF_METRIC_COUNTER,
	DFF_METRIC_GAUGE,
};

struct metric {
	const char *name;
	const char *help;
	enum metric_type type;
	int64_t value;
};

/** Upper bounds of histogram buckets, ms; the last bucket is unbounded. They range from the time of
 * an answer of the store to the longest time that a caller waits. */
static const int64_t bucket_bounds[] = {2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000};

#define N_BUCKETS (G_N_ELEMENTS (bucket_bounds) + 1)

struct dff_histogram {
	const char *name;
	const char *help;
	int64_t buckets[N_BUCKETS];
	int64_t sum_ms;
};

struct dff_metrics {
	/** Elements: struct metric *, sorted by family and name. */
	GPtrArray *metrics;
	/** Elements: struct dff_histogram *, in order of creation. */
	GPtrArray *histograms;
};

struct dff_metrics *
dff_metrics_new (void)
{
	struct dff_metrics *metrics = g_new0 (struct dff_metrics, 1);
	metrics->metrics = g_ptr_array_new_with_free_func (g_free);
	metrics->histograms = g_ptr_array_new_with_free_func (g_free);
	return metrics;
}

void
dff_metrics_free (struct dff_metrics *metrics)
{
	g_ptr_array_unref (metrics->metrics);
	g_ptr_array_unref (metrics->histograms);
	g_free (metrics);
}

/** Returns: the length of the name without labels. */
static size_t
family_len (const char *name)
{
	return strcspn (name, "{");
}

static bool
same_family (const char *a, const char *b)
{
	size_t len = family_len (a);
	return len == family_len (b) && memcmp (a, b, len) == 0;
}

/* Sorted by plain name, "a_b" would stand between "a" and "a{...}": a scraper refuses a family
 * whose samples are not contiguous. */
static int
compare_names (const char *a, const char *b)
{
	size_t len_a = family_len (a);
	size_t len_b = family_len (b);
	int order = memcmp (a, b, MIN (len_a, len_b));
	if (order != 0)
		return order;
	if (len_a != len_b)
		return len_a < len_b ? -1 : 1;
	return strcmp (a + len_a, b + len_b);
}

static int64_t *
find_or_add (struct dff_metrics *metrics, const char *name, const char *help, enum metric_type type)
{
	guint at = 0;
	for (; at < metrics->metrics->len; at++) {
		struct metric *other = g_ptr_array_index (metrics->metrics, at);
		int order = compare_names (name, other->name);
		if (order == 0)
			return &other->value;
		if (order < 0)
			break;
	}
	struct metric *metric = g_new0 (struct metric, 1);
	metric->name = name;
	metric->help = help;
	metric->type = type;
	g_ptr_array_insert (metrics->metrics, (gint)at, metric);
	return &metric->value;
}

int64_t *
dff_metrics_counter (struct dff_metrics *metrics, const char *name, const char *help)
{
	return find_or_add (metrics, name, help, DFF_METRIC_COUNTER);
}

int64_t *
dff_metrics_gauge (struct dff_metrics *metrics, const char *name, const char *help)
{
	return find_or_add (metrics, name, help, DFF_METRIC_GAUGE);
}

static void
print_family (const struct metric *metric, GString *out)
{
	int len = (int)family_len (metric->name);
	const char *type = metric->type == DFF_METRIC_COUNTER ? "counter" : "gauge";
	g_string_append_printf (out, "# HELP %.*s %s\n", len, metric->name, metric->help);
	g_string_append_printf (out, "# TYPE %.*s %s\n", len, metric->name, type);
}

struct dff_histogram *
dff_metrics_histogram (struct dff_metrics *metrics, const char *name, const char *help)
{
	for (guint i = 0; i < metrics->histograms->len; i++) {
		struct dff_histogram *other = g_ptr_array_index (metrics->histograms, i);
		if (strcmp (other->name, name) == 0)
			return other;
	}
	struct dff_histogram *histogram = g_new0 (struct dff_histogram, 1);
	histogram->name = name;
	histogram->help = help;
	g_ptr_array_add (metrics->histograms, histogram);
	return histogram;
}

void
dff_histogram_observe (struct dff_histogram *histogram, int64_t ms)
{
	size_t bucket = 0;
	while (bucket < G_N_ELEMENTS (bucket_bounds) && ms > bucket_bounds[bucket])
		bucket++;
	histogram->buckets[bucket]++;
	histogram->sum_ms += ms;
}

static void
print_histogram (const struct dff_histogram *histogram, GString *out)
{
	int64_t count = 0;
	g_string_append_printf (out, "# HELP %s %s\n# TYPE %s histogram\n", histogram->name,
				histogram->help, histogram->name);
	for (size_t i = 0; i < G_N_ELEMENTS (bucket_bounds); i++) {
		count += histogram->buckets[i];
		g_string_append_printf (out, "%s_bucket{le=\"%" PRId64 "\"} %" PRId64 "\n",
					histogram->name, bucket_bounds[i], count);
	}
	count += histogram->buckets[N_BUCKETS - 1];
	g_string_append_printf (out, "%s_bucket{le=\"+Inf\"} %" PRId64 "\n", histogram->name,
				count);
	g_string_append_printf (out, "%s_sum %" PRId64 "\n%s_count %" PRId64 "\n", histogram->name,
				histogram->sum_ms, histogram->name, count);
}

void
dff_metrics_print (const struct dff_metrics *metrics, GString *out)
{
	const char *previous = NULL;
	for (guint i = 0; i < metrics->metrics->len; i++) {
		const struct metric *metric = g_ptr_array_index (metrics->metrics, i);
		if (previous == NULL || !same_family (previous, metric->name))
			print_family (metric, out);
		g_string_append_printf (out, "%s %" PRId64 "\n", metric->name, metric->value);
		previous = metric->name;
	}
	for (guint i = 0; i < metrics->histograms->len; i++)
		print_histogram (g_ptr_array_index (metrics->histograms, i), out);
}
