#include "cell/lease.h"

#include <glib.h>
#include <inttypes.h>

#include "cell/lease_rows.h"
#include "common/log.h"

/** Extra delay of a candidate for each candidate of a better rank, ms. */
#define RANK_STEP_MS 100
/** Shortest delay before a refused or unanswered call is repeated, ms. */
#define RETRY_MIN_MS 50

enum lease_phase {
	DFF_LEASE_WATCHING,
	DFF_LEASE_HELD,
	DFF_LEASE_RELEASING,
	DFF_LEASE_RELEASED,
};

enum lease_purpose {
	DFF_LEASE_TAKE,
	DFF_LEASE_RENEW,
	DFF_LEASE_RELEASE,
};

enum call_kind {
	DFF_CALL_READ,
	DFF_CALL_COMMIT,
	DFF_CALL_LOOKUP,
};

/** An outstanding call to the table. A call without an answer in time is abandoned, not cancelled:
 * its callback may still arrive, and is ignored unless it resolves the last commit. */
struct lease_call {
	struct dff_lease *lease;
	enum call_kind kind;
	/** Number of the last commit when the call was made. */
	uint64_t n_commit;
};

/** The last commit that was sent; unresolved until its effect is known. */
struct lease_commit {
	enum lease_purpose purpose;
	struct dff_name write_id;
	int64_t sent_ms;
	bool unresolved;
};

struct dff_lease {
	struct dff_lease_options options;
	GRand *rand;
	GString *lease_key;
	GString *epoch_key;
	enum lease_phase phase;
	bool candidate;
	int32_t rank;
	struct dff_lease_rows rows;
	struct lease_commit commit;
	uint64_t n_commits;
	/** Time when the write that the lease is based on was sent, ms. */
	int64_t held_from_ms;
	/** Revision of the lease row that this object wrote last; 0: none. */
	int64_t own_revision;
	struct lease_call *call;
	int64_t call_sent_ms;
	int64_t next_ms;
	/** Earliest time at which the lease may be taken after a failed commit, ms. */
	int64_t take_after_ms;
	/** Unanswered calls that were abandoned. Elements: struct lease_call. */
	GHashTable *abandoned;
	int64_t *takeovers;
	int64_t *lapses;
	int64_t *renewals;
	int64_t *lost_answers;
};

static int64_t
now_ms (const struct dff_lease *lease)
{
	return dff_clock_now_ms (lease->options.clock);
}

/* All processes start and fail together; without jitter their reads would also arrive together. */
static int64_t
jittered (struct dff_lease *lease, int64_t interval_ms)
{
	int32_t spread = (int32_t)(interval_ms / 4) + 1;
	return interval_ms - spread / 2 + g_rand_int_range (lease->rand, 0, spread);
}

static void
schedule_next (struct dff_lease *lease, int64_t interval_ms)
{
	lease->next_ms = now_ms (lease) + jittered (lease, interval_ms);
}

struct dff_lease *
dff_lease_new (const struct dff_lease_options *options)
{
	struct dff_lease *lease = g_new0 (struct dff_lease, 1);
	lease->options = *options;
	lease->rand = g_rand_new_with_seed ((guint32)(options->seed ^ (options->seed >> 32)));
	lease->lease_key = g_string_new (NULL);
	lease->epoch_key = g_string_new (NULL);
	g_string_printf (lease->lease_key, "cell/%s/lease", options->region.data);
	g_string_printf (lease->epoch_key, "cell/%s/epoch", options->region.data);
	lease->abandoned = g_hash_table_new_full (NULL, NULL, g_free, NULL);
	struct dff_metrics *metrics = options->metrics;
	lease->takeovers = dff_metrics_counter (metrics, "dff_cell_takeovers_total",
						"Times this process took a cell.");
	lease->lapses = dff_metrics_counter (metrics, "dff_cell_lease_lapses_total",
					     "Times a held lease lapsed or was lost.");
	lease->renewals = dff_metrics_counter (metrics, "dff_cell_lease_renewals_total",
					       "Renewals of the cell's lease.");
	lease->lost_answers = dff_metrics_counter (metrics, "dff_cell_lease_lost_answers_total",
						   "Writes of the lease row without an answer.");
	return lease;
}

void
dff_lease_free (struct dff_lease *lease)
{
	g_free (lease->call);
	g_hash_table_unref (lease->abandoned);
	g_rand_free (lease->rand);
	g_string_free (lease->lease_key, TRUE);
	g_string_free (lease->epoch_key, TRUE);
	g_free (lease);
}

static struct dff_str
borrow (const GString *text)
{
	struct dff_str str = {.data = text->str, .len = text->len};
	return str;
}

void
dff_lease_set_candidate (struct dff_lease *lease, bool candidate)
{
	lease->candidate = candidate;
}

void
dff_lease_set_rank (struct dff_lease *lease, int32_t rank)
{
	lease->rank = MAX (rank, 0);
}

bool
dff_lease_is_held (const struct dff_lease *lease)
{
	if (lease->phase != DFF_LEASE_HELD)
		return false;
	int64_t end_ms = lease->held_from_ms + lease->options.lease_ms;
	return now_ms (lease) + lease->options.margin_ms < end_ms;
}

int64_t
dff_lease_epoch (const struct dff_lease *lease)
{
	return lease->rows.epoch;
}

int64_t
dff_lease_epoch_revision (const struct dff_lease *lease)
{
	return lease->rows.epoch_revision;
}

struct dff_str
dff_lease_epoch_key (const struct dff_lease *lease)
{
	return borrow (lease->epoch_key);
}

bool
dff_lease_is_released (const struct dff_lease *lease)
{
	return lease->phase == DFF_LEASE_RELEASED;
}

static void
return_to_watching (struct dff_lease *lease)
{
	lease->phase = DFF_LEASE_WATCHING;
	lease->rows.known = false;
	lease->next_ms = 0;
}

void
dff_lease_mark_fenced (struct dff_lease *lease)
{
	if (lease->phase != DFF_LEASE_HELD)
		return;
	dff_log (DFF_LOG_CELL, DFF_LOG_WARNING, "Lease lost. region=%s epoch=%" PRId64,
		 lease->options.region.data, lease->rows.epoch);
	*lease->lapses += 1;
	return_to_watching (lease);
}

void
dff_lease_request_renewal (struct dff_lease *lease)
{
	if (lease->phase == DFF_LEASE_HELD)
		lease->next_ms = MIN (lease->next_ms, now_ms (lease) + RETRY_MIN_MS);
}

void
dff_lease_release (struct dff_lease *lease)
{
	bool held = dff_lease_is_held (lease);
	lease->phase = held ? DFF_LEASE_RELEASING : DFF_LEASE_RELEASED;
	lease->next_ms = 0;
}

static void
begin_call (struct dff_lease *lease, enum call_kind kind)
{
	lease->call = g_new0 (struct lease_call, 1);
	lease->call->lease = lease;
	lease->call->kind = kind;
	lease->call->n_commit = lease->n_commits;
	lease->call_sent_ms = now_ms (lease);
}

/** Ends a call. Returns: whether its answer is still to be handled. */
static bool
end_call (struct lease_call *call)
{
	struct dff_lease *lease = call->lease;
	/* A slow store may answer a commit after the call was abandoned. The answer still resolves
	 * the commit; otherwise no renewal would count while answers take longer than the renewal
	 * interval. */
	bool resolves = call->kind == DFF_CALL_COMMIT && call->n_commit == lease->n_commits;
	if (lease->call != call) {
		g_hash_table_remove (lease->abandoned, call);
		return resolves && lease->commit.unresolved;
	}
	lease->call = NULL;
	g_free (call);
	return true;
}

static void
on_read (void *user, const struct dff_table_result *result)
{
	struct lease_call *call = user;
	struct dff_lease *lease = call->lease;
	if (!end_call (call) || lease->phase != DFF_LEASE_WATCHING)
		return;
	if (result->outcome != DFF_TABLE_OK)
		return;
	dff_lease_rows_apply (&lease->rows, dff_table_find_row (result, borrow (lease->lease_key)),
			      dff_table_find_row (result, borrow (lease->epoch_key)),
			      now_ms (lease));
	if (lease->rows.malformed)
		dff_log (DFF_LOG_CELL, DFF_LOG_ERROR, "Epoch row is malformed. region=%s",
			 lease->options.region.data);
}

static void
read_rows (struct dff_lease *lease)
{
	const struct dff_str keys[] = {borrow (lease->lease_key), borrow (lease->epoch_key)};
	schedule_next (lease, lease->options.renew_ms);
	begin_call (lease, DFF_CALL_READ);
	const struct dff_table *table = lease->options.table;
	table->get (table->ctx, keys, G_N_ELEMENTS (keys), on_read, lease->call);
}

static void
enter_held (struct dff_lease *lease, bool taken)
{
	lease->phase = DFF_LEASE_HELD;
	lease->held_from_ms = lease->commit.sent_ms;
	lease->next_ms = lease->commit.sent_ms + jittered (lease, lease->options.renew_ms);
	*(taken ? lease->takeovers : lease->renewals) += 1;
	if (!taken)
		return;
	dff_log (DFF_LOG_CELL, DFF_LOG_INFO, "Lease taken. region=%s epoch=%" PRId64,
		 lease->options.region.data, lease->rows.epoch);
}

static void
commit_took_effect (struct dff_lease *lease, int64_t revision)
{
	struct lease_commit *commit = &lease->commit;
	commit->unresolved = false;
	if (commit->purpose == DFF_LEASE_RELEASE) {
		lease->phase = DFF_LEASE_RELEASED;
		return;
	}
	bool taken = commit->purpose == DFF_LEASE_TAKE;
	lease->own_revision = revision;
	lease->rows.lease_revision = revision;
	lease->rows.counter += 1;
	if (taken) {
		lease->rows.epoch += 1;
		lease->rows.epoch_revision = revision;
	}
	/* An answer that arrives after the lease was lost or released does not restore it. */
	if (lease->phase == (taken ? DFF_LEASE_WATCHING : DFF_LEASE_HELD))
		enter_held (lease, taken);
}

static void
commit_conflicted (struct dff_lease *lease)
{
	lease->commit.unresolved = false;
	if (lease->commit.purpose == DFF_LEASE_RELEASE)
		lease->phase = DFF_LEASE_RELEASED;
	else if (lease->commit.purpose == DFF_LEASE_RENEW)
		dff_lease_mark_fenced (lease);
	else if (lease->phase == DFF_LEASE_WATCHING)
		return_to_watching (lease);
}

static void
on_commit (void *user, const struct dff_table_result *result)
{
	struct lease_call *call = user;
	struct dff_lease *lease = call->lease;
	if (!end_call (call))
		return;
	switch (result->outcome) {
	case DFF_TABLE_OK:
		commit_took_effect (lease, result->revision);
		break;
	case DFF_TABLE_CONFLICT:
		commit_conflicted (lease);
		break;
	case DFF_TABLE_UNAVAILABLE:
		lease->commit.unresolved = false;
		schedule_next (lease, MAX (lease->options.renew_ms / 4, RETRY_MIN_MS));
		lease->take_after_ms = lease->next_ms;
		break;
	case DFF_TABLE_UNCERTAIN:
		*lease->lost_answers += 1;
		break;
	}
}

/* A lookup that finds nothing invalidates the write id, so the commit cannot take effect later. */
static void
on_lookup (void *user, const struct dff_table_result *result)
{
	struct lease_call *call = user;
	struct dff_lease *lease = call->lease;
	if (!end_call (call) || !lease->commit.unresolved)
		return;
	if (result->outcome == DFF_TABLE_OK) {
		commit_took_effect (lease, result->revision);
	} else if (result->outcome == DFF_TABLE_CONFLICT) {
		lease->commit.unresolved = false;
		lease->next_ms = 0;
	} else {
		schedule_next (lease, MAX (lease->options.renew_ms / 4, RETRY_MIN_MS));
	}
}

static void
look_up (struct dff_lease *lease)
{
	lease->next_ms = now_ms (lease) + RETRY_MIN_MS;
	begin_call (lease, DFF_CALL_LOOKUP);
	const struct dff_table *table = lease->options.table;
	table->lookup (table->ctx, &lease->commit.write_id, on_lookup, lease->call);
}

static void
send_commit (struct dff_lease *lease, const struct dff_table_write *writes, size_t n_writes)
{
	const struct dff_table_condition conditions[] = {
		{borrow (lease->lease_key), lease->rows.lease_revision},
		{borrow (lease->epoch_key), lease->rows.epoch_revision},
	};
	const struct dff_table_txn txn = {
		.write_id = lease->commit.write_id,
		.conditions = conditions,
		.n_conditions = G_N_ELEMENTS (conditions),
		.writes = writes,
		.n_writes = n_writes,
	};
	begin_call (lease, DFF_CALL_COMMIT);
	const struct dff_table *table = lease->options.table;
	table->commit (table->ctx, &txn, on_commit, lease->call);
}

static void
write_rows (struct dff_lease *lease, enum lease_purpose purpose)
{
	lease->commit.purpose = purpose;
	lease->commit.sent_ms = now_ms (lease);
	lease->commit.unresolved = true;
	lease->commit.write_id = dff_name_printf ("lease.%016" PRIx64 ".%" PRIu64,
						  lease->options.seed, ++lease->n_commits);
	lease->next_ms = lease->commit.sent_ms + RETRY_MIN_MS;
	g_autoptr (GString) value = dff_lease_rows_next_lease (
		&lease->rows, purpose == DFF_LEASE_RELEASE ? "" : lease->options.instance.data);
	g_autoptr (GString) epoch =
		dff_lease_rows_next_epoch (&lease->rows, lease->options.instance.data);
	const struct dff_table_write writes[] = {
		{borrow (lease->lease_key), borrow (value)},
		{borrow (lease->epoch_key), borrow (epoch)},
	};
	send_commit (lease, writes, purpose == DFF_LEASE_TAKE ? 2 : 1);
}

/**
 * Returns: whether the lease may be taken. No clock is compared with another process's: by this
 * clock the row must have been unchanged for a whole lease since it was first read here, which is
 * later than its holder sent it. A row that this object wrote needs no wait, because this process
 * no longer holds the lease.
 */
static bool
may_take (const struct dff_lease *lease)
{
	const struct dff_lease_rows *rows = &lease->rows;
	if (!lease->candidate || !rows->known || rows->malformed)
		return false;
	if (now_ms (lease) < lease->take_after_ms)
		return false;
	bool own = rows->lease_revision != 0 && rows->lease_revision == lease->own_revision;
	int64_t wait = own ? 0 : (int64_t)lease->rank * RANK_STEP_MS;
	if (!rows->is_free && !own)
		wait += lease->options.lease_ms;
	return now_ms (lease) >= rows->first_seen_ms + wait;
}

/** Abandons a call that has no answer after one renewal interval. */
static void
time_out_call (struct dff_lease *lease)
{
	if (now_ms (lease) < lease->call_sent_ms + lease->options.renew_ms)
		return;
	if (lease->call->kind == DFF_CALL_COMMIT)
		*lease->lost_answers += 1;
	g_hash_table_add (lease->abandoned, lease->call);
	lease->call = NULL;
}

static void
lapse_if_due (struct dff_lease *lease)
{
	if (lease->phase == DFF_LEASE_HELD && !dff_lease_is_held (lease))
		dff_lease_mark_fenced (lease);
	int64_t end_ms = lease->held_from_ms + lease->options.lease_ms;
	if (lease->phase == DFF_LEASE_RELEASING && now_ms (lease) >= end_ms)
		lease->phase = DFF_LEASE_RELEASED;
}

void
dff_lease_tick (struct dff_lease *lease)
{
	lapse_if_due (lease);
	if (lease->call != NULL)
		time_out_call (lease);
	if (lease->call != NULL || lease->phase == DFF_LEASE_RELEASED)
		return;
	bool due = now_ms (lease) >= lease->next_ms;
	if (lease->commit.unresolved) {
		if (due)
			look_up (lease);
	} else if (lease->phase == DFF_LEASE_WATCHING && may_take (lease)) {
		write_rows (lease, DFF_LEASE_TAKE);
	} else if (due && lease->phase == DFF_LEASE_WATCHING) {
		read_rows (lease);
	} else if (due) {
		bool held = lease->phase == DFF_LEASE_HELD;
		write_rows (lease, held ? DFF_LEASE_RENEW : DFF_LEASE_RELEASE);
	}
}
