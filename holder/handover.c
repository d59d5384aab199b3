#include "holder/holder_private.h"

#include "common/log.h"

/* Selects the process that takes the lease of the cell. A machine with a fifth of a core and a
 * tenth of the link of another reads the state for a takeover five to ten times as slowly, and then
 * schedules as slowly. Guards against small machines taking the lease in turn just because they
 * were first: each would need a second or more for the takeover, fall behind, and be suspected of
 * failure. So each process knows its own takeover time, and the holder's row contains the shortest
 * known one. A slower process delays its own takeover by the difference, by which it would be
 * behind anyway. A quicker process that starts later asks the holder to hand over. */

/** A holder hands over to a process whose takeover time is shorter by this factor: a handover
 * costs as much as a takeover. */
#define HANDOVER_RATIO 2
/** Time after a takeover during which the new holder is not asked to hand over, ms: it first
 * completes the takeover, and a holder that has just succeeded another one is not replaced at
 * once. */
#define HANDOVER_MIN_AGE_MS 1500
/** Interval between two requests to hand over, and how long each of them is waited for, ms. */
#define HANDOVER_RETRY_MS 3000
#define HANDOVER_WAIT_MS 600

int64_t
handover_delay_ms (const struct dff_holder *holder, const struct lease_row *lease)
{
	/* While the cell has never had a holder, no client depends on it yet. */
	if (lease->epoch == 0)
		return holder->options.takeover_ms;
	if (lease->least_takeover_ms == 0)
		return 0;
	return MAX (holder->options.takeover_ms - lease->least_takeover_ms, 0);
}

bool
handover_is_due (struct dff_holder *holder, const struct lease_row *lease)
{
	int64_t now_ms = holder_now_ms (holder);
	if (lease->epoch != holder->seen_epoch) {
		holder->seen_epoch = lease->epoch;
		holder->seen_epoch_ms = now_ms;
	}
	if (lease->takeover_ms < HANDOVER_RATIO * holder->options.takeover_ms ||
	    now_ms - holder->seen_epoch_ms < HANDOVER_MIN_AGE_MS ||
	    (holder->handover_asked_epoch == lease->epoch &&
	     now_ms - holder->handover_asked_ms < HANDOVER_RETRY_MS))
		return false;
	holder->handover_asked_epoch = lease->epoch;
	holder->handover_asked_ms = now_ms;
	return true;
}

bool
handover_is_asked (const struct dff_holder *holder, const struct lease_row *lease)
{
	return holder->handover_asked_epoch == lease->epoch && lease->epoch > 0 &&
	       holder_now_ms (holder) - holder->handover_asked_ms < HANDOVER_WAIT_MS;
}

void
handover_note_row (struct dff_holder *holder, const struct lease_row *lease)
{
	int64_t own_ms = holder->options.takeover_ms;
	holder->least_takeover_ms =
		lease->least_takeover_ms > 0 ? MIN (lease->least_takeover_ms, own_ms) : own_ms;
}

void
handover_answer (struct dff_holder *holder, int64_t takeover_ms)
{
	if (takeover_ms <= 0 || holder->phase != DFF_HOLDER_HOLDING || holder->store_lost ||
	    holder->handing_over || holder->options.takeover_ms < HANDOVER_RATIO * takeover_ms)
		return;
	dff_log (DFF_LOG_CELL, DFF_LOG_INFO,
		 "Handing the cell over. epoch=%" PRId64 " takeover_ms=%" PRId64
		 " asker_takeover_ms=%" PRId64,
		 holder->epoch, holder->options.takeover_ms, takeover_ms);
	holder->handing_over = true;
	holder->least_takeover_ms = MIN (holder->least_takeover_ms, takeover_ms);
	holder_wake (holder);
}
