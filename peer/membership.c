#include "peer/membership.h"

#include "common/log.h"
#include "peer/membership_internal.h"

/** A change is relayed in this many heartbeats per doubling of the number of members. */
#define RELAYS_PER_DOUBLING 3

/** A member that this process does not observe and that is not listed is dead after this many
 * detection times (suspect_ms + dead_ms) without a heartbeat. */
#define UNOBSERVED_TIMEOUT_FACTOR 4

static int64_t
now_of (const struct dff_membership *membership)
{
	return dff_clock_now_ms (membership->options.clock);
}

struct dff_membership *
dff_membership_new (const struct dff_membership_options *options)
{
	struct dff_membership *membership = g_new0 (struct dff_membership, 1);
	membership->options = *options;
	membership->table = dff_member_table_new (&options->self);
	membership->random = g_rand_new_with_seed ((guint32)(options->seed ^ options->seed >> 32));
	membership->table->self->known.start_id =
		(uint32_t)g_rand_int_range (membership->random, 1, DFF_MEMBER_START_ID_MAX + 1);
	membership->last_tick_ms = dff_clock_now_ms (options->clock);
	membership->last_heartbeat_ms = DFF_TIME_NEVER;
	membership->ring_changed = true;
	membership->n_suspected = dff_metrics_counter (options->metrics, "dff_peer_suspected_total",
						       "Members found silent");
	membership->n_died = dff_metrics_counter (options->metrics, "dff_peer_died_total",
						  "Members taken for dead");
	membership->n_refuted = dff_metrics_counter (options->metrics, "dff_peer_refuted_total",
						     "Times this process refuted that it is dead");
	membership->n_corrected = dff_metrics_counter (options->metrics, "dff_peer_corrected_total",
						       "Members told what is said about them");
	return membership;
}

void
dff_membership_free (struct dff_membership *membership)
{
	g_rand_free (membership->random);
	dff_member_table_free (membership->table);
	g_free (membership);
}

void
dff_membership_relay (struct dff_membership *membership, struct dff_member_entry *entry)
{
	guint doublings = g_bit_storage (membership->table->entries->len);
	entry->relays_left = RELAYS_PER_DOUBLING * (int32_t)doublings;
}

void
dff_membership_mark_changed (struct dff_membership *membership,
			     const struct dff_member_entry *entry)
{
	if (dff_name_equal (&entry->instance.region, &membership->options.self.region))
		membership->region_changed = true;
}

void
dff_membership_set_liveness (struct dff_membership *membership,
			     struct dff_member_entry *entry,
			     enum dff_liveness liveness)
{
	if (entry->known.liveness == liveness)
		return;
	if (liveness == DFF_LIVENESS_SUSPECT)
		*membership->n_suspected += 1;
	if (liveness == DFF_LIVENESS_DEAD) {
		*membership->n_died += 1;
		/* Few members observe each member and the state is relayed in several steps, none
		 * of which should wait for the next regular heartbeat. */
		if (dff_membership_is_sampled (membership))
			membership->announce = true;
	}
	entry->known.liveness = liveness;
	entry->liveness_since_ms = now_of (membership);
	membership->ring_changed = true;
	dff_membership_relay (membership, entry);
	dff_membership_mark_changed (membership, entry);
	static const char *const names[] = {"alive", "suspect", "dead"};
	dff_log (DFF_LOG_PEER, DFF_LOG_INFO, "Member liveness changed. member=%s state=%s",
		 entry->instance.id.data, names[liveness]);
}

static void
evaluate_unobserved (struct dff_membership *membership,
		     struct dff_member_entry *entry,
		     int64_t now_ms)
{
	const struct dff_membership_options *options = &membership->options;
	int64_t detection_ms = (int64_t)options->suspect_ms + options->dead_ms;
	if (entry->known.liveness == DFF_LIVENESS_SUSPECT &&
	    now_ms - entry->liveness_since_ms > 2 * detection_ms)
		dff_membership_set_liveness (membership, entry, DFF_LIVENESS_DEAD);
	if (!entry->listed &&
	    now_ms - entry->heartbeat_received_ms > UNOBSERVED_TIMEOUT_FACTOR * detection_ms)
		dff_membership_set_liveness (membership, entry, DFF_LIVENESS_DEAD);
}

static void
evaluate_observed (struct dff_membership *membership,
		   struct dff_member_entry *entry,
		   int64_t now_ms)
{
	const struct dff_membership_options *options = &membership->options;
	bool silent = now_ms - entry->heartbeat_received_ms > options->suspect_ms;
	if (!silent)
		return;
	if (!entry->listed) {
		dff_membership_set_liveness (membership, entry, DFF_LIVENESS_DEAD);
		return;
	}
	if (entry->known.liveness == DFF_LIVENESS_ALIVE)
		dff_membership_set_liveness (membership, entry, DFF_LIVENESS_SUSPECT);
	else if (now_ms - entry->liveness_since_ms > options->dead_ms)
		dff_membership_set_liveness (membership, entry, DFF_LIVENESS_DEAD);
}

static void
evaluate_members (struct dff_membership *membership, int64_t now_ms)
{
	const GPtrArray *entries = membership->table->entries;
	for (guint i = 0; i < entries->len; i++) {
		struct dff_member_entry *entry = entries->pdata[i];
		if (entry == membership->table->self || entry->known.liveness == DFF_LIVENESS_DEAD)
			continue;
		if (entry->observed)
			evaluate_observed (membership, entry, now_ms);
		else
			evaluate_unobserved (membership, entry, now_ms);
	}
}

static void
remove_dead (struct dff_membership *membership)
{
	GPtrArray *entries = membership->table->entries;
	for (guint i = entries->len; i > 0; i--) {
		struct dff_member_entry *entry = entries->pdata[i - 1];
		bool gone = !entry->listed && entry->known.liveness == DFF_LIVENESS_DEAD;
		if (!gone || entry == membership->table->self || entry->relays_left > 0)
			continue;
		dff_membership_mark_changed (membership, entry);
		dff_member_table_remove (membership->table, i - 1);
		membership->ring_changed = true;
	}
}

/* Excludes pauses of this process from the time without heartbeats: after a pause, the heartbeats
 * of all peers are still unread in its sockets, and it would suspect every peer. */
static void
exclude_own_pause (struct dff_membership *membership, int64_t now_ms)
{
	int64_t gap_ms = now_ms - membership->last_tick_ms;
	membership->last_tick_ms = now_ms;
	if (gap_ms <= membership->options.heartbeat_ms)
		return;
	const GPtrArray *entries = membership->table->entries;
	for (guint i = 0; i < entries->len; i++) {
		struct dff_member_entry *entry = entries->pdata[i];
		entry->heartbeat_received_ms = MIN (entry->heartbeat_received_ms + gap_ms, now_ms);
		entry->liveness_since_ms = MIN (entry->liveness_since_ms + gap_ms, now_ms);
	}
}

static void
rearrange (struct dff_membership *membership, int64_t now_ms)
{
	if (!membership->ring_changed)
		return;
	membership->ring_changed = false;
	dff_member_table_arrange (membership->table, dff_membership_n_observers (membership),
				  now_ms);
}

static void
notify_region_changed (struct dff_membership *membership)
{
	if (!membership->region_changed)
		return;
	membership->region_changed = false;
	membership->options.changed (membership->options.ctx);
}

void
dff_membership_tick (struct dff_membership *membership)
{
	int64_t now_ms = now_of (membership);
	exclude_own_pause (membership, now_ms);
	rearrange (membership, now_ms);
	evaluate_members (membership, now_ms);
	remove_dead (membership);
	rearrange (membership, now_ms);
	dff_membership_send_due (membership);
	notify_region_changed (membership);
}

static void
list_instance (struct dff_membership *membership, const struct dff_instance *instance)
{
	struct dff_member_entry *entry = dff_member_table_find (membership->table, &instance->id);
	if (entry == NULL) {
		entry = dff_member_table_add (membership->table, instance, now_of (membership));
		membership->ring_changed = true;
		dff_membership_mark_changed (membership, entry);
	}
	entry->listed = true;
	if (entry == membership->table->self)
		return;
	if (entry->instance.leaving != instance->leaving)
		dff_membership_mark_changed (membership, entry);
	entry->instance = *instance;
}

void
dff_membership_set_instances (struct dff_membership *membership,
			      const struct dff_instance *instances,
			      size_t n_instances)
{
	const GPtrArray *entries = membership->table->entries;
	for (guint i = 0; i < entries->len; i++) {
		struct dff_member_entry *entry = entries->pdata[i];
		entry->listed = false;
	}
	for (size_t i = 0; i < n_instances; i++) {
		if (instances[i].role == DFF_INSTANCE_ENTRY)
			list_instance (membership, &instances[i]);
	}
}

void
dff_membership_set_state (struct dff_membership *membership,
			  bool ready,
			  bool leaving,
			  int64_t holder_epoch)
{
	struct dff_member_report *self = &membership->table->self->known;
	bool same = self->ready == ready && self->leaving == leaving &&
		    self->holder_epoch == holder_epoch;
	if (same)
		return;
	self->ready = ready;
	self->leaving = leaving;
	self->holder_epoch = holder_epoch;
	membership->announce = true;
	membership->region_changed = true;
}

void
dff_membership_set_generation (struct dff_membership *membership, int64_t generation)
{
	membership->table->self->known.pool_generation = generation;
	membership->announce = true;
}
