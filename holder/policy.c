#include "holder/policy.h"

/** Timeout of the start of a member that no worker has confirmed, ms, in addition to the gang's
 * wait; then the unit is placed on other workers. */
#define START_TIMEOUT_MS 1500
/** First quarantine of a worker that fails tasks which others complete, ms. */
#define QUARANTINE_MS 8000
/** Share of the expected run time within which a failed run counts against its worker, if the work
 * has not failed elsewhere: a worker that fails every task does so within some hundredths, work
 * that is at fault seldom before a fifth. */
#define EARLY_FAILURE_SHARE 0.1
/** Wait that counts as much as a job's own run time in the core's order, ms: tasks run for
 * seconds. */
#define AGEING_MS 8000.0
/** Longest wait of an urgent gang for a whole rack, ms: a claim on a team's own accelerators has
 * to have begun within about three seconds. */
#define URGENT_RACK_WAIT_MS 1000
/** Wait after which a job may use the capacity that is kept free for others while half of the pool
 * is idle, ms. */
#define LOW_LOAD_WAIT_MS 1200
/** Wait after which racks are reserved for a gang, and time beyond the expected one for which they
 * stay reserved, ms; and the number of gangs with reservations at once. Without reservations a
 * gang that needs almost a whole rack waits behind a stream of single tasks until the day ends. */
#define RACK_RESERVATION_DELAY_MS 1500
#define RACK_RESERVATION_GRACE_MS 15000
#define RACK_RESERVATIONS_MAX 2
/** Run time that a task with checkpoints loses when it is stopped, ms: a stop saves a checkpoint,
 * and the restart takes some hundred milliseconds. */
#define CHECKPOINT_LOSS_MS 300
/** Longest run time up to which tasks on a stalled worker are restarted, ms: about the duration of
 * a stall. */
#define STALL_RESTART_MAX_MS 4000
/** Time constant of the decay of headroom, ms: a few run times of bulk work, for which a burst
 * would have to wait otherwise. Values between 8 s and 50 s showed no difference. */
#define HEADROOM_DECAY_MS 20000

/** Wait after which bulk work no longer leaves free capacity for work that waits in front of it,
 * except urgent work, in multiples of its own run time: a third of the wait that its objective
 * allows, so that it can still be met. On a loaded fleet of a thousand workers twice as many bulk
 * jobs complete in time, a tenth fewer of the other jobs, and a fifth more work is done in total.
 */
#define HEADROOM_WAIT_RATIO 1.0

/** Work that an urgent job may discard by preemption, in multiples of its own work: without a
 * bound a fifth more work is discarded, a fifth more gangs are late, and urgent jobs gain a
 * fiftieth. Values between 2 and 6 differ by less than the measuring error. */
#define EVICT_WORK_RATIO 3.0
/** Wait after which urgent work on a team's own accelerators may preempt without that bound, ms:
 * it has to have begun within about three seconds, of which a stop takes at most one. */
#define EVICT_UNLIMITED_AFTER_MS 1200

/** Time from the start of a task with checkpoints to its first checkpoint, ms: checkpoints are
 * saved every 0.5 to 1 s. */
#define FIRST_CHECKPOINT_MS 1000
/** Longest wait of urgent work with slack for capacity to come free, ms: with the time of a stop it
 * leaves half of the time in which a team gets its accelerators. */
#define EVICT_DELAY_MS 500

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
	options->shape_order = true;
	options->shape_victims = true;
	options->first_checkpoint_ms = FIRST_CHECKPOINT_MS;
	options->evict_delay_ms = EVICT_DELAY_MS;
	options->checkpoint_loss_ms = CHECKPOINT_LOSS_MS;
	options->stall_restart_max_ms = STALL_RESTART_MAX_MS;
}

/* Divides a job's weight among its units. The core prefers what occupies least for its weight: if
 * each unit of a step of many single tasks had the weight of a whole job, wide gangs would wait
 * until a loaded day is over while single tasks of a lower priority continue. */
double
dff_policy_weight (int32_t priority, int32_t n_units)
{
	int32_t last = (int32_t)G_N_ELEMENTS (priority_weights) - 1;
	return priority_weights[CLAMP (priority, 0, last)] / MAX (n_units, 1);
}
