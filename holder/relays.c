#include "holder/holder_private.h"

#include "common/log.h"

/* Relays: processes that carry calls to workers for the holder, see relay/dispatch.h. The holder's
 * row contains the number of relays that the holder wants, and the address at which they connect.
 */

/** Workers per relay: their calls take a tenth of a small machine's processor time. */
#define WORKERS_PER_RELAY 48

static void
set_limit (const struct dff_holder *holder, int32_t n_relays)
{
	if (holder->options.relay_set_limit != NULL)
		holder->options.relay_set_limit (holder->options.relay_ctx, n_relays);
}

static void
follow (const struct dff_holder *holder, const struct dff_name *address, int32_t n_relays)
{
	if (holder->options.relay_connect != NULL)
		holder->options.relay_connect (holder->options.relay_ctx, address, n_relays);
}

static void
report_holder (const struct dff_holder *holder, const struct dff_name *address, bool self)
{
	if (holder->options.holder_changed != NULL)
		holder->options.holder_changed (holder->options.holder_ctx, address, self);
}

void
relays_follow (struct dff_holder *holder, const struct lease_row *lease, int64_t begun_ms)
{
	/* Ignores a row that was requested before another process reported that it is the holder.
	 * A row that was requested after that shows whether the report was right. */
	if (lease->epoch < holder->known_epoch && begun_ms <= holder->known_epoch_reported_ms)
		return;
	holder->known_epoch = lease->epoch;
	follow (holder, &lease->relay_address, lease->n_relays);
	report_holder (holder, &lease->address, false);
}

void
relays_note_holder (struct dff_holder *holder, const struct dff_name *address, int64_t epoch)
{
	if (epoch <= holder->known_epoch || holder->phase != DFF_HOLDER_WATCHING)
		return;
	dff_log (DFF_LOG_CELL, DFF_LOG_INFO,
		 "Another process reports that it is the holder. address=%s epoch=%" PRId64
		 " known_epoch=%" PRId64,
		 address->data, epoch, holder->known_epoch);
	holder->known_epoch = epoch;
	holder->known_epoch_reported_ms = holder_now_ms (holder);
	report_holder (holder, address, false);
}

void
relays_begin (struct dff_holder *holder, int32_t n_relays)
{
	struct dff_name none = {0};
	follow (holder, &none, 0);
	report_holder (holder, &none, true);
	holder->n_relays = n_relays;
	holder->known_epoch = holder->epoch;
	holder->known_epoch_reported_ms = holder_now_ms (holder);
	set_limit (holder, n_relays);
}

void
relays_count (struct dff_holder *holder)
{
	int32_t n_workers = (int32_t)g_hash_table_size (holder->workers);
	int32_t n_relays = 0;
	if (n_workers >= holder->options.relay_min_workers)
		n_relays = (n_workers + WORKERS_PER_RELAY - 1) / WORKERS_PER_RELAY;
	if (n_relays == holder->n_relays)
		return;
	holder->n_relays = n_relays;
	set_limit (holder, n_relays);
}

void
relays_reset (struct dff_holder *holder)
{
	struct dff_name none = {0};
	holder->n_relays = 0;
	set_limit (holder, 0);
	report_holder (holder, &none, false);
}
