#include "core/core_private.h"

#include <math.h>

/* Run time estimation. Declared run times are far off, so two predictors are learned in logarithms
 * for each team and service: the declared time multiplied by a bounded ratio, and the mean of past
 * runs regardless of the declared time. They are weighted by their past errors. */

/** Weight of a new observation once there are many. */
#define LEARNING_RATE 0.05
/** Bound of the logarithm of the ratio of actual to declared time. */
#define RATIO_MAX_LOG 3.0
/** Variance of the error in natural logarithms before there are observations, and its minimum. */
#define PRIOR_VARIANCE 1.0
#define VARIANCE_MIN 0.01
#define MIN_RUN_MS 1000
/** Minimum remaining time of a run whose progress is reported, ms. */
#define PROJECTED_MIN_MS 50
/** Probability of running this long below which the mean residual life is not computed. */
#define SURVIVAL_MIN 1e-4

/** Exponentially weighted mean, and variance of the error. */
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
dff_core_estimate_update (struct dff_core_job *job, int64_t run_ms)
{
	struct dff_core_estimator *estimator = job->estimator;
	estimator->observations++;
	double rate = MAX (1.0 / (estimator->observations + 1), LEARNING_RATE);
	double actual = log ((double)MAX (run_ms, MIN_RUN_MS));
	double ratio = actual - log ((double)MAX (job->declared_ms, MIN_RUN_MS));
	predictor_learn (&estimator->ratio, CLAMP (ratio, -RATIO_MAX_LOG, RATIO_MAX_LOG), rate);
	predictor_learn (&estimator->actual, actual, rate);
}

/* Combines the predictors. Run times are assumed to be log-normally distributed. */
static void
posterior (const struct dff_core_job *job, double *mean, double *deviation)
{
	const struct dff_core_estimator *estimator = job->estimator;
	const struct dff_core_predictor *ratio = &estimator->ratio;
	const struct dff_core_predictor *actual = &estimator->actual;
	double declared = log ((double)MAX (job->declared_ms, MIN_RUN_MS)) + ratio->mean;
	double trust = estimator->observations == 0
			       ? 1.0
			       : actual->variance / (actual->variance + ratio->variance);
	*mean = trust * declared + (1.0 - trust) * actual->mean;
	double variance = ratio->variance;
	if (estimator->observations > 0)
		variance =
			ratio->variance * actual->variance / (ratio->variance + actual->variance);
	*deviation = sqrt (variance);
}

void
dff_core_estimate (struct dff_core_job *job)
{
	double mean, deviation;
	posterior (job, &mean, &deviation);
	job->log_mean = (float)mean;
	job->log_deviation = (float)deviation;
	job->estimate_ms = (int64_t)exp (mean);
}

/* Returns: the objective of a job that has one, with its age now. */
static struct dff_objective
objective_now (const struct dff_core *core, const struct dff_core_job *job)
{
	struct dff_objective objective = *job->objective;
	objective.age_ms += core->now_ms - job->submitted_ms;
	return objective;
}

static double
estimate_ratio (const struct dff_core_job *job)
{
	return (double)job->estimate_ms / (double)job->declared_ms;
}

struct dff_objective_assessment
dff_core_job_assess (const struct dff_core *core, const struct dff_core_job *job)
{
	if (job->objective == NULL)
		return (struct dff_objective_assessment){.prospect = DFF_PROSPECT_NONE};
	struct dff_objective objective = objective_now (core, job);
	return dff_objective_assess (&objective, estimate_ratio (job));
}

enum dff_prospect
dff_core_job_ranks_as (const struct dff_core *core, const struct dff_core_job *job)
{
	enum dff_prospect prospect = dff_core_job_assess (core, job).prospect;
	if (prospect == DFF_PROSPECT_NONE)
		return prospect;
	struct dff_objective objective = objective_now (core, job);
	int64_t limit_ms = dff_objective_limit_ms (&objective, estimate_ratio (job));
	return dff_order_prospect (prospect, objective.age_ms, limit_ms);
}

bool
dff_core_job_yields (const struct dff_core *core, const struct dff_core_job *job)
{
	return core->options.order != DFF_ORDER_STANDING && job->queue_class != NULL &&
	       job->queue_class->key.prospect == DFF_PROSPECT_MISSED;
}

double
dff_core_job_chance (const struct dff_core *core, const struct dff_core_job *job, double factor)
{
	if (job->objective == NULL)
		return 0.0;
	struct dff_objective objective = objective_now (core, job);
	return dff_objective_chance (&objective, estimate_ratio (job), job->log_deviation, factor);
}

/* Upper tail of the standard normal distribution. */
static double
tail (double x)
{
	return 0.5 * erfc (x / G_SQRT2);
}

int64_t
dff_core_remaining_ms (const struct dff_core *core, const struct dff_core_job *job)
{
	int64_t ran_ms = job->run_ms;
	if (job->state == DFF_CORE_RUNNING || job->state == DFF_CORE_CHECKPOINTING)
		ran_ms += core->now_ms - job->started_ms;
	if (job->projected_ms > 0 && job->state == DFF_CORE_RUNNING)
		return MAX (job->projected_ms - (core->now_ms - job->started_ms), PROJECTED_MIN_MS);
	double deviation = job->log_deviation;
	double whole = exp (job->log_mean + deviation * deviation / 2.0);
	if (ran_ms <= 0)
		return (int64_t)whole;
	/* Mean residual life: the longer a job has run past its estimate, the longer it is expected
	 * to keep running, so its place in the order falls. */
	double z = (log ((double)ran_ms) - job->log_mean) / deviation;
	double survives = tail (z);
	if (survives < SURVIVAL_MIN)
		return MAX (ran_ms, MIN_RUN_MS);
	double remaining = whole * tail (z - deviation) / survives - (double)ran_ms;
	return MAX ((int64_t)remaining, MIN_RUN_MS);
}
