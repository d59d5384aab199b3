#include "holder/policy.h"

/** Start of a member that no worker has confirmed, ms, on top of the gang's wait: then the unit
 * looks for other workers. */
#define START_TIMEOUT_MS 1500
/** First stay in quarantine of a worker that fails what others complete, ms. */
#define QUARANTINE_MS 8000
/** Share of its expected run time within which a failed run is the worker's fault, of work that has
 * not failed elsewhere: a worker that fails everything does so within some hundredths, work that
 * is at fault seldom before a fifth. */
#define EARLY_FAILURE_SHARE 0.1
/** Wait that counts like a job's own run time in the core's order, ms: tasks run for seconds. */
#define AGEING_MS 8000.0
/** How long an urgent gang waits for a whole rack, ms: a claim of a team's own accelerators is to
 * have begun within about three seconds. */
#define URGENT_RACK_WAIT_MS 1000
/** Wait after which a job gets what is left free for others while half of the pool is idle, ms. */
#define LOW_LOAD_WAIT_MS 1200
/** Wait after which racks are kept for a gang, and time past the expected one that they are kept,
 * ms; gangs at once. Without it a gang that needs a rack nearly whole waits behind a stream of
 * single tasks until the day ends. */
#define RACK_RESERVATION_DELAY_MS 1500
#define RACK_RESERVATION_GRACE_MS 15000
#define RACK_RESERVATIONS_MAX 2
/** Run time lost by a task with checkpoints that is stopped, ms: a stop saves, and the restart
 * takes some hundred milliseconds. */
#define CHECKPOINT_LOSS_MS 300
/** Run time up to which tasks on a worker that stalls are started anew, ms: about what a stall
 * lasts. */
#define STALL_RESTART_MAX_MS 4000
/** Time constant with which headroom shrinks, ms: a few run times of bulk work, which is what a
 * burst would have to wait for otherwise. Between 8 s and 50 s no difference was measured. */
#define HEADROOM_DECAY_MS 20000

/** Wait after which bulk work no longer leaves room for what waits before it, but for urgent work,
 * in times its own run time: a third of what its objective allows, so that it can still be met. On
 * a loaded fleet of a thousand workers twice as many bulk jobs end in time, a tenth fewer of the
 * others, and a fifth more work is done in all. */
#define HEADROOM_WAIT_RATIO 1.0

/** Work that an urgent job may throw away, in times its own: without a bound a fifth more work is
 * thrown away than with it, a fifth more gangs are late, and urgent jobs gain a fiftieth. Between 2
 * and 6 the differences measured are within their errors. */
#define EVICT_WORK_RATIO 3.0
/** Wait after which a team's own urgent work throws away any, ms: it is to have begun within about
 * three seconds, of which a stop takes a second at most. */
#define EVICT_UNLIMITED_AFTER_MS 1200

/** Weights of the classes in the core's order, by priority. */
static const double priority_weights[] = {4.0, 2.0, 1.0};

void
dff_policy_core_options (struct dff_core_options *options, int32_t gang_wait_ms)
{
	dff_core_options_init (options);
	options->start_timeout_ms = gang_wait_ms + START_TIMEOUT_MS;
	options->retry_without_limit = true;
	options->blame_limit = DFF_POLICY_BLAME_LIMIT;
	options->isolation_blame = DFF_POLICY_BLAME_STARTUP;
	options->ageing_ms = AGEING_MS;
	options->quarantine_ms = QUARANTINE_MS;
	options->early_failure_share = EARLY_FAILURE_SHARE;
	options->urgent_rack_wait_ms = URGENT_RACK_WAIT_MS;
	options->low_load_wait_ms = LOW_LOAD_WAIT_MS;
	options->rack_reservation_delay_ms = RACK_RESERVATION_DELAY_MS;
	options->rack_reservation_grace_ms = RACK_RESERVATION_GRACE_MS;
	options->max_rack_reservations = RACK_RESERVATIONS_MAX;
	options->evict_work_ratio = EVICT_WORK_RATIO;
	options->evict_unlimited_after_ms = EVICT_UNLIMITED_AFTER_MS;
	options->headroom_decay_ms = HEADROOM_DECAY_MS;
	options->headroom_wait_ratio = HEADROOM_WAIT_RATIO;
	options->checkpoint_loss_ms = CHECKPOINT_LOSS_MS;
	options->stall_restart_max_ms = STALL_RESTART_MAX_MS;
}

/* Symptom: jobs of wide gangs wait until a loaded day is over, and those of many single tasks of a
 * lower priority go on. Cause: the core takes what occupies least for its weight first, and a task
 * counted as much as a whole job, though it is only a share of one. */
double
dff_policy_weight (int32_t priority, int32_t n_units)
{
	int32_t last = (int32_t)G_N_ELEMENTS (priority_weights) - 1;
	return priority_weights[CLAMP (priority, 0, last)] / MAX (n_units, 1);
}
