#include "holder/holder_private.h"

#include <jansson.h>

#include "common/log.h"
#include "common/rendezvous.h"
#include "graph/json.h"

/* The lease of the cell. Every transaction of the holder rewrites the holder's row on condition
 * that the row is as the holder left it. A process takes the lease by rewriting the row with the
 * next epoch. So the condition fails for a transaction of a former holder that the store carries
 * out late, and for one of a holder that was paused and resumed. */

/** Interval between two reads of the holder's row by the other processes, ms. */
#define READ_INTERVAL_MS 300
/** Upper limit of the extra interval of a process that leaves the lease to quicker ones, ms: it
 * also learns from the row which process is the holder. */
#define READ_EXTRA_MAX_MS 1500
/** Read interval while the holder has been asked to hand over, ms: the handover takes one
 * transaction. */
#define HANDOVER_READ_INTERVAL_MS 40
/** Timeout of a read, ms: longer than the answers of a store that is fifty times as slow as usual.
 */
#define READ_TIMEOUT_MS 1200
/** Time without a change of the row after which the holder is probed, and interval of probes, ms:
 * one heartbeat is late. A process that reads the row for the first time probes at once. */
#define PROBE_AFTER_MS 250
#define PROBE_INTERVAL_MS 250
/** Longest age of a probe that has shown the holder active, about two probe intervals, and the
 * limit without heartbeats that the holder then gets, ms: twice the longest timeout of a
 * transaction. With the usual limit, a holder that is short of processor time after a takeover is
 * replaced by a process that will be as short of it. */
#define ACTIVE_FRESH_MS 600
#define ACTIVE_LIMIT_MS 3000
/** Spread of the takeover attempts of the processes, ms, and what a slow store adds to it, as a
 * multiple of the duration of a read. The transaction of the first process takes as long as several
 * reads, and prevents the attempts of the others. Each attempt that still happens delays the first:
 * in a store that takes 400 ms for each, five of them take two seconds. */
#define TAKEOVER_SPREAD_MS 350
#define TAKEOVER_SPREAD_READS 4
/** What a slow store adds to the timeout, as a multiple of the duration of a read: heartbeats
 * arrive as late as its answers. */
#define SLOW_READS 4
/** Duration of a read that shows a store that is slow for all processes, ms: another holder would
 * get no answers from it either. Ten times the usual duration of a read; transactions are
 * abandoned at four times as long. */
#define SLOW_READ_MS 100
/** Time for which the holder continues to renew workers' leases without an answer from the store,
 * ms. Longer than the known outages, because tasks continue meanwhile; a process that takes over
 * relies on it for workers that it cannot reach. */
#define RENEW_UNCONFIRMED_MS 12000
/** Upper limit of the number of relays in a row. */
#define RELAYS_MAX 1000
/** Interval of probes of the former holder, ms. */
#define PROBE_FORMER_INTERVAL_MS 500
/** Margin for a former holder's overestimate of a worker's clock, and for a worker that acts late
 * on its deadline, ms. */
#define FORMER_MARGIN_MS 150

/* A holder renews leases only for a limited time after the start of its last transaction that was
 * carried out. A process that takes the lease replaces exactly the row of that transaction, so it
 * knows when these renewals end: earlier if it learns that the holder has released the lease.
 * Earlier holders may still renew leases too, and the row contains their limit. Guards against
 * waiting for the same lost workers at each of several successive takeovers, until the job's time
 * is up. */
static void
note_former (struct dff_holder *holder,
	     const struct lease_row *lease,
	     bool surely_over,
	     const struct dff_rows_result *result,
	     int64_t begun_ms)
{
	int64_t now_ms = holder_now_ms (holder);
	holder->store_clock_offset_ms =
		result->store_ms > 0 ? result->store_ms - begun_ms : HOLDER_CLOCK_UNKNOWN;
	holder->former_instance = lease->instance;
	holder->former_address = lease->address;
	holder->next_former_probe_ms = now_ms + PROBE_FORMER_INTERVAL_MS;
	holder->former_renewals_end_ms =
		surely_over ? now_ms : holder->row_unchanged_since_ms + RENEW_UNCONFIRMED_MS;
	holder->earlier_renewals_end_ms = now_ms;
	if (result->n_rows == 0) {
		/* There was no holder before. */
		holder->former_renewals_end_ms = now_ms;
		return;
	}
	bool known = result->store_ms > 0 && lease->renewing_until_ms > 0;
	holder->earlier_renewals_end_ms =
		known ? lease->renewing_until_ms - (result->store_ms - now_ms)
		      : now_ms + RENEW_UNCONFIRMED_MS;
}

static int64_t
renewing_until_ms (const struct dff_holder *holder)
{
	return MAX (holder->former_renewals_end_ms, holder->earlier_renewals_end_ms);
}

GString *
lease_encode (const struct dff_holder *holder, int64_t sequence, bool released)
{
	/* 0: not known. */
	bool known = holder->store_clock_offset_ms != HOLDER_CLOCK_UNKNOWN;
	int64_t until_ms = known ? renewing_until_ms (holder) + holder->store_clock_offset_ms : 0;
	return dff_json_print (json_pack (
		"{s:I, s:I, s:s, s:s, s:b, s:I, s:I, s:I, s:s, s:i}", "epoch",
		(json_int_t)holder->epoch, "sequence", (json_int_t)sequence, "instance",
		holder->options.instance.data, "address", holder->options.probe_address.data,
		"released", released, "renewing_until", (json_int_t)until_ms, "takeover",
		(json_int_t)holder->options.takeover_ms, "least_takeover",
		(json_int_t)holder->least_takeover_ms, "relay", holder->options.relay_address.data,
		"relays", holder->n_relays));
}

bool
lease_decode (struct dff_str text, struct lease_row *row)
{
	json_t *root = json_loadb (text.data, text.len, 0, NULL);
	row->epoch = dff_json_int (root, "epoch");
	row->sequence = dff_json_int (root, "sequence");
	row->instance = dff_json_name (root, "instance");
	row->address = dff_json_name (root, "address");
	row->released = dff_json_bool (root, "released");
	row->renewing_until_ms = dff_json_int (root, "renewing_until");
	row->takeover_ms = dff_json_int (root, "takeover");
	row->least_takeover_ms = dff_json_int (root, "least_takeover");
	row->relay_address = dff_json_name (root, "relay");
	row->n_relays = (int32_t)CLAMP (dff_json_int (root, "relays"), 0, RELAYS_MAX);
	json_decref (root);
	return row->epoch > 0;
}

bool
lease_may_renew (const struct dff_holder *holder)
{
	return !holder->releasing &&
	       holder_now_ms (holder) - holder->confirmed_ms < RENEW_UNCONFIRMED_MS;
}

int64_t
lease_former_expiry_ms (const struct dff_holder *holder)
{
	double lease_ms = holder->options.lease_ms / (1.0 - HOLDER_CLOCK_DRIFT);
	return renewing_until_ms (holder) + (int64_t)lease_ms + FORMER_MARGIN_MS;
}

void
lease_step_down (struct dff_holder *holder, const char *reason)
{
	dff_log (DFF_LOG_CELL, DFF_LOG_WARNING, "Standing down. epoch=%" PRId64 " reason=%s",
		 holder->epoch, reason);
	holder->phase = DFF_HOLDER_WATCHING;
	holder->term++;
	holder->seen_revision = -1;
	holder->reading_row = false;
	holder->handing_over = false;
	relays_reset (holder);
	submissions_reset (holder);
	recovery_reset (holder);
	jobs_reset (holder);
	workers_reset (holder);
	commit_reset (holder);
	*holder->metrics.is_holding = 0;
}

static void
ignore_probe (void *user, enum dff_holder_probe_result result)
{
	(void)result;
	g_free (user);
}

/* Processes whose reads the store rejects cannot learn the new holder from the row. They still
 * connect to the former holder, which then refers them to its successor. */
static void
notify_former (struct dff_holder *holder)
{
	if (dff_name_is_empty (&holder->former_address) ||
	    dff_name_equal (&holder->former_address, &holder->options.probe_address))
		return;
	struct dff_holder_probe question = {.new_holder = holder->options.probe_address,
					    .epoch = holder->epoch};
	holder->options.send_probe (holder->options.probe_ctx, &holder->former_address,
				    &holder->former_instance, &question, ignore_probe,
				    holder_call_begin (holder, sizeof (struct holder_call)));
}

static void
handle_takeover (void *user, const struct dff_rows_result *result)
{
	g_autofree struct holder_call *call = user;
	struct dff_holder *holder = holder_call_end (call);
	int64_t begun_ms = call->begun_ms;
	if (holder == NULL || holder->phase != DFF_HOLDER_TAKING)
		return;
	if (result->outcome != DFF_ROWS_DONE) {
		dff_log (DFF_LOG_CELL, DFF_LOG_INFO,
			 "Failed to take the cell. epoch=%" PRId64 " outcome=%d", holder->epoch,
			 (int)result->outcome);
		/* Without an answer the lease may have been taken after all: the row shows this,
		 * and the next attempt raises the epoch once more. */
		holder->phase = DFF_HOLDER_WATCHING;
		holder->term++;
		holder->seen_revision = -1;
		return;
	}
	holder->row_revision = result->revision;
	holder->taken_ms = holder_now_ms (holder);
	holder->confirmed_ms = begun_ms;
	relays_begin (holder, holder->n_relays);
	(*holder->metrics.takeovers)++;
	dff_log (DFF_LOG_CELL, DFF_LOG_INFO,
		 "Took the cell. epoch=%" PRId64 " revision=%" PRId64 " took_ms=%" PRId64,
		 holder->epoch, holder->row_revision, holder->taken_ms - begun_ms);
	notify_former (holder);
	recovery_begin (holder);
}

static void
take_cell (struct dff_holder *holder, int64_t epoch, int64_t revision, const char *reason)
{
	dff_log (DFF_LOG_CELL, DFF_LOG_INFO,
		 "Taking the cell. epoch=%" PRId64 " reason=%s still_ms=%" PRId64
		 " read_took_ms=%" PRId64 " others_may_renew_ms=%" PRId64,
		 epoch, reason, holder_now_ms (holder) - holder->row_unchanged_since_ms,
		 holder->read_duration_ms, renewing_until_ms (holder) - holder_now_ms (holder));
	holder->phase = DFF_HOLDER_TAKING;
	holder->epoch = epoch;
	holder->sequence = 1;
	g_autoptr (GString) value = lease_encode (holder, holder->sequence, false);
	struct dff_rows_condition condition = {.table = DFF_TABLE_CELL,
					       .key = dff_str_from (DFF_KEY_HOLDER),
					       .revision = revision};
	struct dff_rows_write write = {
		.table = DFF_TABLE_CELL, .key = condition.key, .value = {value->str, value->len}};
	struct dff_rows_commit commit = {.conditions = &condition,
					 .n_conditions = 1,
					 .writes = &write,
					 .n_writes = 1,
					 .timeout_ms = READ_TIMEOUT_MS};
	holder->options.rows->commit (holder->options.rows->ctx, &commit, handle_takeover,
				      holder_call_begin (holder, sizeof (struct holder_call)));
}

/* Returns: a pseudo-random delay for a takeover to @epoch, so that the process that is first
 * differs from epoch to epoch. */
static int64_t
spread_ms (const struct dff_holder *holder, int64_t epoch, int64_t range_ms)
{
	struct dff_name key = dff_name_printf ("epoch.%d", (int)epoch);
	uint64_t weight = dff_rendezvous_weight ((struct dff_str){key.data, key.len},
						 &holder->options.instance);
	return (int64_t)(weight % (uint64_t)range_ms);
}

struct probe_call {
	struct holder_call call;
	int64_t revision;
};

static void
handle_probe (void *user, enum dff_holder_probe_result result)
{
	g_autofree struct probe_call *ask = user;
	struct dff_holder *holder = ask->call.holder;
	holder->probe_in_flight = false;
	if (holder_call_end (&ask->call) == NULL)
		return;
	if (result == DFF_HOLDER_PROBE_ACTIVE) {
		holder->active_probe_ms = ask->call.begun_ms;
		holder->active_revision = ask->revision;
		return;
	}
	if (result == DFF_HOLDER_PROBE_TIMED_OUT)
		return;
	holder->ended_revision = ask->revision;
	holder->renewals_ended = result != DFF_HOLDER_PROBE_REFUSED;
	holder->next_read_ms = 0;
	holder_wake (holder);
}

/* A holder that has ended or released the lease is not waited for. A probe shows this: the
 * connection is refused, another incarnation of the process answers, or the process answers that it
 * does not hold the lease. A holder that has lost the store releases the lease when asked to; this
 * process asks if the store answers it. A holder whose probe is not answered may still be working.
 */
static void
probe_holder (struct dff_holder *holder,
	      const struct lease_row *lease,
	      int64_t revision,
	      bool ask_handover)
{
	int64_t now_ms = holder_now_ms (holder);
	if (holder->probe_in_flight || dff_name_is_empty (&lease->address) ||
	    now_ms < holder->next_probe_ms)
		return;
	holder->probe_in_flight = true;
	holder->next_probe_ms = now_ms + PROBE_INTERVAL_MS;
	struct probe_call *ask = holder_call_begin (holder, sizeof (*ask));
	ask->revision = revision;
	struct dff_holder_probe question = {
		.release_if_unwritable = holder->read_duration_ms < SLOW_READ_MS,
		.asker_takeover_ms = ask_handover ? holder->options.takeover_ms : 0,
	};
	holder->options.send_probe (holder->options.probe_ctx, &lease->address, &lease->instance,
				    &question, handle_probe, ask);
}

static void
handle_former_probe (void *user, enum dff_holder_probe_result result)
{
	g_autofree struct holder_call *call = user;
	struct dff_holder *holder = holder_call_end (call);
	if (holder == NULL ||
	    (result != DFF_HOLDER_PROBE_IDLE && result != DFF_HOLDER_PROBE_REPLACED))
		return;
	int64_t now_ms = holder_now_ms (holder);
	int64_t spared_ms = holder->former_renewals_end_ms - now_ms;
	if (spared_ms <= 0)
		return;
	holder->former_renewals_end_ms = now_ms;
	dff_log (DFF_LOG_CELL, DFF_LOG_INFO,
		 "The former holder has stopped renewing leases. epoch=%" PRId64
		 " former=%s reason=%s spared_ms=%" PRId64 " others_may_renew_ms=%" PRId64,
		 holder->epoch, holder->former_instance.data,
		 result == DFF_HOLDER_PROBE_IDLE ? "idle" : "replaced", spared_ms,
		 renewing_until_ms (holder) - now_ms);
}

void
lease_probe_former (struct dff_holder *holder)
{
	int64_t now_ms = holder_now_ms (holder);
	if (now_ms >= holder->former_renewals_end_ms || now_ms < holder->next_former_probe_ms ||
	    dff_name_is_empty (&holder->former_address))
		return;
	holder->next_former_probe_ms = now_ms + PROBE_FORMER_INTERVAL_MS;
	struct dff_holder_probe question = {0};
	holder->options.send_probe (holder->options.probe_ctx, &holder->former_address,
				    &holder->former_instance, &question, handle_former_probe,
				    holder_call_begin (holder, sizeof (struct holder_call)));
}

/* A process that takes the lease only after quicker ones can notice later than they that the row
 * no longer changes. The number of reads by idle processes grows with the fleet. */
static int64_t
read_pause_ms (const struct dff_holder *holder, const struct lease_row *lease)
{
	return READ_INTERVAL_MS + MIN (handover_delay_ms (holder, lease), READ_EXTRA_MAX_MS);
}

/* Handles a read of the holder's row: takes the lease if the row has not changed for long enough
 * since @seen_since_ms. */
static void
evaluate_row (struct dff_holder *holder, const struct dff_rows_result *result, int64_t begun_ms)
{
	const struct dff_row *row = result->n_rows > 0 ? &result->rows[0] : NULL;
	struct lease_row lease = {0};
	if (row != NULL)
		lease_decode (row->value, &lease);
	int64_t revision = row != NULL ? row->revision : 0;
	int64_t now_ms = holder_now_ms (holder);
	holder->read_duration_ms = now_ms - begun_ms;
	bool first = holder->seen_revision == -1;
	bool changed = !first && row != NULL && revision != holder->seen_revision;
	if (revision != holder->seen_revision) {
		holder->seen_revision = revision;
		holder->row_unchanged_since_ms = now_ms;
	}
	int64_t unchanged_ms = begun_ms - holder->row_unchanged_since_ms;
	bool active = revision == holder->active_revision &&
		      now_ms - holder->active_probe_ms < ACTIVE_FRESH_MS;
	int64_t limit_ms = active ? ACTIVE_LIMIT_MS : holder->options.suspect_ms;
	limit_ms += SLOW_READS * holder->read_duration_ms;
	const char *reason = "still";
	if (row == NULL || lease.released) {
		limit_ms = 0;
		reason = row == NULL ? "new" : "released";
	}
	bool own = row != NULL && dff_name_equal (&lease.instance, &holder->options.instance);
	bool ended = row != NULL && revision == holder->ended_revision;
	if (own || ended) {
		limit_ms = 0;
		unchanged_ms = MAX (unchanged_ms, 0);
		/* The row is this process's own if the answer to an earlier takeover was lost: no
		 * other process acts on it. */
		reason = own ? "own" : "ended";
	} else if (row != NULL && !lease.released) {
		bool ask_handover = handover_is_due (holder, &lease);
		if (first || ask_handover || unchanged_ms >= PROBE_AFTER_MS)
			probe_holder (holder, &lease, revision, ask_handover);
	}
	if (row != NULL && !own && !lease.released)
		relays_follow (holder, &lease, begun_ms);
	bool asked = handover_is_asked (holder, &lease);
	if (!own)
		limit_ms += handover_delay_ms (holder, &lease);
	int64_t range_ms = TAKEOVER_SPREAD_MS + TAKEOVER_SPREAD_READS * holder->read_duration_ms;
	if (!asked || !lease.released)
		limit_ms += spread_ms (holder, lease.epoch + 1, range_ms);
	if (asked)
		holder->next_read_ms = now_ms + HANDOVER_READ_INTERVAL_MS;
	else if (changed && !own && !lease.released)
		holder->next_read_ms = begun_ms + read_pause_ms (holder, &lease);
	if (unchanged_ms >= limit_ms) {
		bool surely_over = own || lease.released || (ended && holder->renewals_ended);
		note_former (holder, &lease, surely_over, result, begun_ms);
		handover_note_row (holder, &lease);
		holder->n_relays = lease.n_relays;
		take_cell (holder, lease.epoch + 1, revision, reason);
	} else if (!changed && limit_ms - unchanged_ms < READ_INTERVAL_MS)
		holder->next_read_ms = now_ms + MAX (limit_ms - unchanged_ms, 1);
}

static void
handle_row (void *user, const struct dff_rows_result *result)
{
	g_autofree struct holder_call *call = user;
	struct dff_holder *holder = holder_call_end (call);
	int64_t begun_ms = call->begun_ms;
	if (holder == NULL)
		return;
	holder->reading_row = false;
	holder->next_read_ms = MAX (holder->next_read_ms, begun_ms + READ_INTERVAL_MS);
	if (holder->phase != DFF_HOLDER_WATCHING || holder->stepping_down)
		return;
	if (result->outcome != DFF_ROWS_DONE) {
		/* Time without a successful read does not count as time without a change: the
		 * holder may be working. */
		holder->seen_revision = -1;
		return;
	}
	holder->next_read_ms = begun_ms + READ_INTERVAL_MS;
	evaluate_row (holder, result, begun_ms);
}

void
lease_step (struct dff_holder *holder)
{
	int64_t now_ms = holder_now_ms (holder);
	if (holder->phase != DFF_HOLDER_WATCHING || holder->stepping_down || holder->reading_row ||
	    now_ms < holder->next_read_ms)
		return;
	holder->reading_row = true;
	holder->row_read_ms = now_ms;
	struct dff_rows_range range = {.table = DFF_TABLE_CELL,
				       .from = dff_str_from (DFF_KEY_HOLDER),
				       .to = dff_str_from (DFF_KEY_HOLDER "!"),
				       .limit = 1,
				       .timeout_ms = READ_TIMEOUT_MS};
	holder->options.rows->get (holder->options.rows->ctx, &range, handle_row,
				   holder_call_begin (holder, sizeof (struct holder_call)));
}

void
dff_holder_handle_holder_lost (struct dff_holder *holder)
{
	if (holder->phase != DFF_HOLDER_WATCHING)
		return;
	holder->next_read_ms = MIN (holder->next_read_ms, holder->row_read_ms + READ_INTERVAL_MS);
	holder_wake (holder);
}
