#include "core/core_private.h"

#include <math.h>

/* Run times. Declared ones are far off, so for each team and service two predictors are learned in
 * logarithms: the declared time times a bounded ratio, and the mean of past runs whatever was
 * declared. They are mixed by how well each has done. */

/** Weight of a new observation once there are enough of them. */
#define LEARNING_RATE 0.05
/** Bounds of the ratio of actual to declared time. */
#define RATIO_MAX_LOG 3.0
/** Squared errors, in natural logarithms, before anything is known. */
#define PRIOR_VARIANCE 1.0
#define VARIANCE_MIN 0.01
#define MIN_RUN_MS 1000

/** Running mean and variance. */
struct dff_core_predictor {
	double mean;
	double variance;
};

struct dff_core_estimator {
	struct dff_core_predictor ratio;
	struct dff_core_predictor actual;
	int32_t observations;
};

struct estimator_key {
	struct dff_name team;
	struct dff_name service;
};

static guint
key_hash (gconstpointer data)
{
	const struct estimator_key *key = data;
	return dff_name_hash (&key->team) * 31 + dff_name_hash (&key->service);
}

static gboolean
key_equal (gconstpointer a, gconstpointer b)
{
	const struct estimator_key *one = a;
	const struct estimator_key *other = b;
	return dff_name_equal (&one->team, &other->team) &&
	       dff_name_equal (&one->service, &other->service);
}

GHashTable *
dff_core_estimators_new (void)
{
	return g_hash_table_new_full (key_hash, key_equal, g_free, g_free);
}

struct dff_core_estimator *
dff_core_estimator_for (struct dff_core *core, const struct dff_job_spec *spec)
{
	struct estimator_key key = {.team = spec->team, .service = spec->service};
	struct dff_core_estimator *found = g_hash_table_lookup (core->estimators, &key);
	if (found != NULL)
		return found;
	found = g_new0 (struct dff_core_estimator, 1);
	found->ratio.variance = PRIOR_VARIANCE;
	found->actual.variance = PRIOR_VARIANCE;
	g_hash_table_insert (core->estimators, g_memdup2 (&key, sizeof (key)), found);
	return found;
}

static void
predictor_learn (struct dff_core_predictor *predictor, double value, double rate)
{
	double error = value - predictor->mean;
	predictor->mean += rate * error;
	predictor->variance += rate * (error * error - predictor->variance);
	predictor->variance = MAX (predictor->variance, VARIANCE_MIN);
}

void
dff_core_estimate_learn (struct dff_core_job *job, int64_t run_ms)
{
	struct dff_core_estimator *estimator = job->estimator;
	estimator->observations++;
	double rate = MAX (1.0 / (estimator->observations + 1), LEARNING_RATE);
	double actual = log ((double)MAX (run_ms, MIN_RUN_MS));
	double ratio = actual - log ((double)MAX (job->declared_ms, MIN_RUN_MS));
	predictor_learn (&estimator->ratio, CLAMP (ratio, -RATIO_MAX_LOG, RATIO_MAX_LOG), rate);
	predictor_learn (&estimator->actual, actual, rate);
}

int64_t
dff_core_estimate_ms (const struct dff_core_job *job)
{
	const struct dff_core_estimator *estimator = job->estimator;
	double declared = log ((double)MAX (job->declared_ms, MIN_RUN_MS)) + estimator->ratio.mean;
	if (estimator->observations == 0)
		return (int64_t)exp (declared);
	double trust = estimator->actual.variance /
		       (estimator->actual.variance + estimator->ratio.variance);
	double mixed = trust * declared + (1.0 - trust) * estimator->actual.mean;
	return (int64_t)exp (mixed);
}

int64_t
dff_core_remaining_ms (const struct dff_core *core, const struct dff_core_job *job)
{
	int64_t ran_ms = job->run_ms;
	if (job->state == DFF_CORE_RUNNING || job->state == DFF_CORE_CHECKPOINTING)
		ran_ms += core->now_ms - job->started_ms;
	/* A job that outlived its estimate sinks, one level each time its run time doubles: it is
	 * expected to run as long again as it has. */
	int64_t remaining_ms = job->estimate_ms - ran_ms;
	if (remaining_ms < ran_ms && job->estimate_ms < 2 * ran_ms)
		remaining_ms = MAX (remaining_ms, ran_ms);
	return MAX (remaining_ms, MIN_RUN_MS);
}
