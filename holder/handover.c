#include "holder/holder_private.h"

#include "common/log.h"

/* Which process is to hold the cell. Machines differ: one with a fifth of a core and a tenth of the
 * link of another reads what a holder needs five to ten times as slowly, and then decides as
 * slowly. Symptom without this: whichever process is first takes the cell; a small one is in place
 * after a second or more, falls behind, is taken for lost, and the next small one takes its turn.
 * So each process knows what a take-over takes where it runs, the holder's row tells the least that
 * is known, and a slower process leaves the cell to the quicker ones for as long as it would be
 * behind them anyway. A quicker one that comes later asks the holder to hand over. */

/** A holder hands over to a process that takes over in so many times less time: a hand-over costs
 * as much as a take-over. */
#define HANDOVER_RATIO 2
/** How long a holder is left alone after it has taken the cell, ms: until it is in place, and its
 * successor has not just begun. */
#define HANDOVER_MIN_AGE_MS 1500
/** Time between two requests to hand over, and how long one is waited for, ms. */
#define HANDOVER_RETRY_MS 3000
#define HANDOVER_WAIT_MS 600

int64_t
handover_delay_ms (const struct dff_holder *holder, const struct lease_row *lease)
{
	/* Where nobody has held the cell yet, nobody is served yet either. */
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
