#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "bench/session.h"

/*
 * Bounds on the mean completion time of a session under any policy.
 *
 * Bound: the pool is one machine that may give any share of itself to any job at any time. A job's
 * completion time is at least its mean busy time plus half its actual run time. The sum of mean
 * busy times is least when the smallest job present always has the whole machine (Goemans, 1997).
 *
 * Reference, not a bound: a list schedule with known run times and free preemption that ignores
 * racks, but gives each job all its accelerators or none.
 */

#define DFF_EXIT_USAGE 2
/* Remaining work below this is a rounding error and counts as none. */
#define DFF_EPSILON_S 1e-9

struct work {
	double submitted_s;
	double actual_s;
	double accelerators;
	/** Accelerator-seconds of the job over the accelerators of the pool. */
	double size_s;
	double left_s;
	double key;
};

static bool
is_cancelled (GHashTable *cancelled, const struct dff_session_event *event)
{
	return g_hash_table_contains (cancelled, &event->subject);
}

/* Returns: jobs with accelerators that fit the pool and are not cancelled. */
static GArray *
load_works (const struct dff_session *session, double accelerators)
{
	GArray *works = g_array_new (FALSE, FALSE, sizeof (struct work));
	g_autoptr (GHashTable) cancelled = g_hash_table_new (dff_name_hash, dff_name_equal_func);
	for (guint i = 0; i < session->events->len; i++) {
		struct dff_session_event *event =
			&g_array_index (session->events, struct dff_session_event, i);
		if (event->type == DFF_SESSION_CANCEL)
			g_hash_table_add (cancelled, &event->subject);
	}
	for (guint i = 0; i < session->events->len; i++) {
		const struct dff_session_event *event =
			&g_array_index (session->events, struct dff_session_event, i);
		double width = (double)event->spec.gang * event->spec.per_task.accelerators;
		bool never = event->spec.gang == 1 && event->spec.per_task.accelerators > 64;
		if (event->type != DFF_SESSION_SUBMIT || width <= 0.0 || width > accelerators ||
		    never || event->actual_ms == 0 || is_cancelled (cancelled, event))
			continue;
		struct work work = {
			.submitted_s = (double)event->time_ms / 1000.0,
			.actual_s = (double)event->actual_ms / 1000.0,
			.accelerators = width,
		};
		work.size_s = work.actual_s * width / accelerators;
		g_array_append_val (works, work);
	}
	return works;
}

static double
next_submission (const GArray *works, guint next)
{
	return next < works->len ? g_array_index (works, struct work, next).submitted_s : INFINITY;
}

/* Inserts @work into @active, sorted by key, ascending. */
static void
insert (GPtrArray *active, struct work *work)
{
	guint low = 0, high = active->len;
	while (low < high) {
		guint middle = (low + high) / 2;
		const struct work *at = g_ptr_array_index (active, middle);
		if (at->key <= work->key)
			low = middle + 1;
		else
			high = middle;
	}
	g_ptr_array_insert (active, (gint)low, work);
}

static double
busy_bound (GArray *works)
{
	g_autoptr (GPtrArray) active = g_ptr_array_new ();
	double now = 0.0, sum = 0.0;
	guint next = 0;
	while (next < works->len || active->len > 0) {
		if (active->len == 0)
			now = MAX (now, next_submission (works, next));
		while (next_submission (works, next) <= now) {
			struct work *work = &g_array_index (works, struct work, next++);
			work->key = work->size_s;
			work->left_s = work->size_s;
			sum += work->actual_s / 2.0;
			insert (active, work);
		}
		struct work *first = g_ptr_array_index (active, 0);
		double part = MIN (first->left_s, next_submission (works, next) - now);
		sum += (now + part / 2.0 - first->submitted_s) * part / first->size_s;
		first->left_s -= part;
		now += part;
		if (first->left_s <= DFF_EPSILON_S)
			g_ptr_array_remove_index (active, 0);
	}
	return sum / works->len;
}

static double
reference_key (const struct work *work, double power)
{
	return work->left_s * pow (work->accelerators, power);
}

/* Chooses the running jobs: by key, each that still fits. Returns: time until the first ends. */
static double
choose (const GPtrArray *active, double accelerators, GPtrArray *running)
{
	double until_end = INFINITY;
	g_ptr_array_set_size (running, 0);
	for (guint i = 0; i < active->len && accelerators > 0.0; i++) {
		struct work *work = g_ptr_array_index (active, i);
		if (work->accelerators > accelerators)
			continue;
		accelerators -= work->accelerators;
		until_end = MIN (until_end, work->left_s);
		g_ptr_array_add (running, work);
	}
	return until_end;
}

static double
run_until (GPtrArray *active, const GPtrArray *running, double now, double part, double power)
{
	double sum = 0.0;
	for (guint i = 0; i < running->len; i++) {
		struct work *work = g_ptr_array_index (running, i);
		g_ptr_array_remove (active, work);
		work->left_s -= part;
		work->key = reference_key (work, power);
		if (work->left_s > DFF_EPSILON_S)
			insert (active, work);
		else
			sum += now + part - work->submitted_s;
	}
	return sum;
}

static double
reference (GArray *works, double accelerators, double power)
{
	g_autoptr (GPtrArray) active = g_ptr_array_new ();
	g_autoptr (GPtrArray) running = g_ptr_array_new ();
	double now = 0.0, sum = 0.0;
	guint next = 0;
	while (next < works->len || active->len > 0) {
		if (active->len == 0)
			now = MAX (now, next_submission (works, next));
		while (next_submission (works, next) <= now) {
			struct work *work = &g_array_index (works, struct work, next++);
			work->left_s = work->actual_s;
			work->key = reference_key (work, power);
			insert (active, work);
		}
		double part = choose (active, accelerators, running);
		part = MIN (part, next_submission (works, next) - now);
		sum += run_until (active, running, now, part, power);
		now += part;
	}
	return sum / works->len;
}

static double
mean_actual (const GArray *works)
{
	double sum = 0.0;
	for (guint i = 0; i < works->len; i++)
		sum += g_array_index (works, struct work, i).actual_s;
	return sum / works->len;
}

int
main (int argc, char **argv)
{
	double accelerators = argc == 3 ? g_ascii_strtod (argv[2], NULL) : 0.0;
	if (!(accelerators >= 1.0 && accelerators < 1e9)) {
		fprintf (stderr, "Usage: bound SESSION.jsonl ACCELERATORS\n"
				 "Prints bounds on the mean completion time of a session.\n");
		return DFF_EXIT_USAGE;
	}
	g_autoptr (GError) error = NULL;
	DFF_AUTO (dff_session) session = dff_session_load (argv[1], &error);
	if (session == NULL) {
		fprintf (stderr, "%s\n", error->message);
		return EXIT_FAILURE;
	}
	g_autoptr (GArray) works = load_works (session, accelerators);
	printf ("{\"jobs\": %u, \"actual_mean_s\": %.3f, \"bound_mean_s\": %.3f, "
		"\"reference_mean_s\": %.3f}\n",
		works->len, mean_actual (works), MAX (busy_bound (works), mean_actual (works)),
		MIN (reference (works, accelerators, 1.0), reference (works, accelerators, 0.5)));
	return EXIT_SUCCESS;
}
