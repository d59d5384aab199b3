#include "holder/holder_private.h"

#include "common/log.h"

/* Evacuated data centres. Guards against starting tasks in a data centre that an operator is
 * emptying for work on its power. Every process follows the operator's requests, so that a new
 * holder knows them before its first start.
 *
 * Between the decision and the worker a start passes through the store and over the network, so it
 * is held back in three places: the core places no task there, a recorded start that was not sent
 * is withdrawn, and a start with unknown outcome is stopped instead of repeated. Active runs
 * continue to their end: a stop would only discard their work. */

/** Age of the known evacuations from which no task is started, ms. Operators rely on an evacuation
 * after five seconds; an order may be in transit for some hundred ms. */
#define EVACUATIONS_AGE_MAX_MS 4000

bool
evacuation_covers (const struct dff_holder *holder, const struct holder_worker *worker)
{
	return holder_names_have (holder->evacuated, &worker->upstream.data_centre);
}

bool
evacuation_allows_starts (const struct dff_holder *holder)
{
	const struct dff_holder_options *options = &holder->options;
	return options->evacuations_age_ms == NULL ||
	       options->evacuations_age_ms (options->evacuations_ctx) <= EVACUATIONS_AGE_MAX_MS;
}

void
evacuation_count (struct dff_holder *holder)
{
	int64_t n_runs = 0;
	GHashTableIter iter;
	gpointer value;
	if (holder->evacuated->len == 0 && *holder->metrics.evacuated_runs == 0)
		return;
	g_hash_table_iter_init (&iter, holder->workers);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		const struct holder_worker *worker = value;
		if (evacuation_covers (holder, worker))
			n_runs += g_hash_table_size (worker->runs);
	}
	if (n_runs == 0 && *holder->metrics.evacuated_runs > 0 && holder->evacuated->len > 0) {
		dff_log (DFF_LOG_CELL, DFF_LOG_INFO,
			 "Nothing runs in evacuated data centres. data_centres=%u epoch=%" PRId64,
			 holder->evacuated->len, holder->epoch);
	}
	*holder->metrics.evacuated_runs = n_runs;
}

void
dff_holder_set_evacuated (struct dff_holder *holder,
			  const struct dff_name *data_centres,
			  size_t n_data_centres)
{
	holder_names_set (holder->evacuated, data_centres, n_data_centres);
	if (holder->workers != NULL)
		workers_evaluate (holder);
}
