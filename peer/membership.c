#include "peer/membership.h"

#include "common/log.h"
#include "peer/membership_internal.h"

/** Changed states in one heartbeat, at the most; one more is sent though nothing changed. */
#define CHANGES_PER_HEARTBEAT 7

/** A change is carried by this many heartbeats for each doubling of the members. */
#define RELAYS_PER_DOUBLING 3

/** Beyond the fanout, the fanout divided by this is the number of observers of a member, and that
 * of the partners in the random sample. */
#define OBSERVERS_SHARE 3

/** Rounds of heartbeats after which one partner of the random sample is drawn anew. A new
 * partner costs a connection and its handshake. */
#define PARTNER_ROUNDS 10

/** Least time between announcements, and between corrections to one member, ms. */
#define ANNOUNCE_INTERVAL_MS 100
#define CORRECT_INTERVAL_MS 100

/** Heartbeat intervals vary by this share, in percent, so that processes do not send in step. */
#define JITTER_PERCENT 10

/** Members that this process does not observe and that have left the list are dropped when nothing
 * was heard of them for this many times the time that observers take. */
#define UNOBSERVED_PATIENCE 4

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
	membership->partners = g_array_new (FALSE, FALSE, sizeof (struct dff_name));
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
	g_array_free (membership->partners, TRUE);
	g_rand_free (membership->random);
	dff_member_table_free (membership->table);
	g_free (membership);
}

bool
dff_membership_is_sampled (const struct dff_membership *membership)
{
	return membership->table->entries->len - 1 > (guint)membership->options.fanout;
}

static int32_t
n_observers (const struct dff_membership *membership)
{
	if (!dff_membership_is_sampled (membership))
		return INT32_MAX;
	return MAX (membership->options.fanout / OBSERVERS_SHARE, 1);
}

void
dff_membership_relay (struct dff_membership *membership, struct dff_member_entry *entry)
{
	guint doublings = g_bit_storage (membership->table->entries->len);
	entry->relays_left = RELAYS_PER_DOUBLING * (int32_t)doublings;
}

void
dff_membership_note_change (struct dff_membership *membership, const struct dff_member_entry *entry)
{
	if (dff_name_equal (&entry->instance.region, &membership->options.self.region))
		membership->region_changed = true;
}

void
dff_membership_set_life (struct dff_membership *membership,
			 struct dff_member_entry *entry,
			 enum dff_life life)
{
	if (entry->known.life == life)
		return;
	if (life == DFF_LIFE_SUSPECT)
		*membership->n_suspected += 1;
	if (life == DFF_LIFE_DEAD) {
		*membership->n_died += 1;
		/* Few members judge it; the others learn of it step by step, and a step should not
		 * take a whole interval. */
		if (dff_membership_is_sampled (membership))
			membership->announce = true;
	}
	entry->known.life = life;
	entry->life_since_ms = now_of (membership);
	membership->ring_changed = true;
	dff_membership_relay (membership, entry);
	dff_membership_note_change (membership, entry);
	static const char *const names[] = {"alive", "suspect", "dead"};
	dff_log (DFF_LOG_PEER, DFF_LOG_INFO, "Member changed. member=%s state=%s",
		 entry->instance.id.data, names[life]);
}

static void
fill_heartbeat (const struct dff_membership *membership, struct dff_heartbeat *heartbeat)
{
	heartbeat->self = membership->table->self->known;
	heartbeat->sent_ms = now_of (membership);
}

void
dff_membership_correct (struct dff_membership *membership,
			struct dff_member_entry *entry,
			const struct dff_member_report *about_it)
{
	int64_t now_ms = now_of (membership);
	if (now_ms - entry->replied_ms < CORRECT_INTERVAL_MS)
		return;
	entry->replied_ms = now_ms;
	*membership->n_corrected += 1;
	struct dff_heartbeat heartbeat = {.others = about_it, .n_others = 1};
	fill_heartbeat (membership, &heartbeat);
	membership->options.send (membership->options.ctx, &entry->instance, &heartbeat);
}

/* The entry whose change has been carried least often so far, among those not chosen yet. */
static struct dff_member_entry *
next_to_relay (const struct dff_membership *membership, const GPtrArray *chosen)
{
	struct dff_member_entry *best = NULL;
	const GPtrArray *entries = membership->table->entries;
	for (guint i = 0; i < entries->len; i++) {
		struct dff_member_entry *entry = entries->pdata[i];
		if (entry->relays_left <= 0 || entry == membership->table->self)
			continue;
		if (best != NULL && entry->relays_left <= best->relays_left)
			continue;
		if (!g_ptr_array_find ((GPtrArray *)chosen, entry, NULL))
			best = entry;
	}
	return best;
}

static bool
worth_telling (const struct dff_membership *membership, const struct dff_member_entry *entry)
{
	return entry != membership->table->self && entry->known.incarnation > 0;
}

/* States of members in turn, changed or not: what was lost on the way is told again, and a member
 * that this process cannot hear, but others can, is known to live. */
static void
choose_refresh (struct dff_membership *membership, GPtrArray *chosen)
{
	const GPtrArray *entries = membership->table->entries;
	for (guint tries = 0; tries < entries->len; tries++) {
		membership->refresh_cursor = (membership->refresh_cursor + 1) % entries->len;
		struct dff_member_entry *entry = entries->pdata[membership->refresh_cursor];
		if (!worth_telling (membership, entry) || g_ptr_array_find (chosen, entry, NULL))
			continue;
		g_ptr_array_add (chosen, entry);
		return;
	}
}

static void
choose_others (struct dff_membership *membership, GPtrArray *chosen)
{
	while (chosen->len < CHANGES_PER_HEARTBEAT) {
		struct dff_member_entry *entry = next_to_relay (membership, chosen);
		if (entry == NULL)
			break;
		entry->relays_left--;
		g_ptr_array_add (chosen, entry);
	}
	choose_refresh (membership, chosen);
}

void
dff_membership_send_heartbeat (struct dff_membership *membership, struct dff_member_entry *target)
{
	g_autoptr (GPtrArray) chosen = g_ptr_array_new ();
	choose_others (membership, chosen);
	struct dff_member_report others[DFF_HEARTBEAT_OTHERS_MAX];
	for (guint i = 0; i < chosen->len; i++) {
		const struct dff_member_entry *entry = chosen->pdata[i];
		others[i] = entry->known;
	}
	struct dff_heartbeat heartbeat = {.others = others, .n_others = chosen->len};
	fill_heartbeat (membership, &heartbeat);
	membership->options.send (membership->options.ctx, &target->instance, &heartbeat);
}

static struct dff_member_entry *
draw_partner (struct dff_membership *membership)
{
	const GPtrArray *entries = membership->table->entries;
	guint index = (guint)g_rand_int_range (membership->random, 0, (gint32)entries->len);
	struct dff_member_entry *entry = entries->pdata[index];
	return entry == membership->table->self ? entries->pdata[(index + 1) % entries->len]
						: entry;
}

static void
renew_partners (struct dff_membership *membership)
{
	GArray *partners = membership->partners;
	guint wanted = (guint)n_observers (membership);
	if (partners->len >= wanted && membership->partner_rounds++ >= PARTNER_ROUNDS) {
		membership->partner_rounds = 0;
		g_array_remove_index (partners, 0);
	}
	while (partners->len < wanted) {
		struct dff_member_entry *partner = draw_partner (membership);
		g_array_append_val (partners, partner->instance.id);
	}
}

static void
add_target (const struct dff_membership *membership, GPtrArray *targets, const struct dff_name *id)
{
	struct dff_member_entry *entry = dff_member_table_find (membership->table, id);
	if (entry == NULL || entry == membership->table->self)
		return;
	if (!g_ptr_array_find (targets, entry, NULL))
		g_ptr_array_add (targets, entry);
}

/* The holder dates grants by what it hears from each member of its region. How long ago that was
 * does not matter, so that they take turns: a holder must not hear from more members than others
 * do. */
static void
add_holder (struct dff_membership *membership, GPtrArray *targets)
{
	uint64_t turns = membership->table->entries->len / (guint)membership->options.fanout + 1;
	int64_t epoch;
	const struct dff_instance *holder = dff_membership_holder (membership, &epoch);
	if (holder != NULL && membership->table->self->known.sequence % turns == 0)
		add_target (membership, targets, &holder->id);
}

/* One dead member in turn: the two sides of a cut that has healed find each other by it. */
static void
add_dead (struct dff_membership *membership, GPtrArray *targets)
{
	const GPtrArray *entries = membership->table->entries;
	for (guint tries = 0; tries < entries->len; tries++) {
		membership->dead_cursor = (membership->dead_cursor + 1) % entries->len;
		struct dff_member_entry *entry = entries->pdata[membership->dead_cursor];
		if (entry->known.life != DFF_LIFE_DEAD)
			continue;
		add_target (membership, targets, &entry->instance.id);
		return;
	}
}

static void
send_to_sample (struct dff_membership *membership)
{
	renew_partners (membership);
	g_autoptr (GPtrArray) targets = g_ptr_array_new ();
	dff_member_table_successors (membership->table, n_observers (membership), targets);
	add_holder (membership, targets);
	add_dead (membership, targets);
	for (guint i = 0; i < membership->partners->len; i++) {
		struct dff_name *id = &g_array_index (membership->partners, struct dff_name, i);
		add_target (membership, targets, id);
	}
	for (guint i = 0; i < targets->len; i++)
		dff_membership_send_heartbeat (membership, targets->pdata[i]);
}

static void
send_to_all (struct dff_membership *membership)
{
	const GPtrArray *entries = membership->table->entries;
	for (guint i = 0; i < entries->len; i++) {
		if (entries->pdata[i] != membership->table->self)
			dff_membership_send_heartbeat (membership, entries->pdata[i]);
	}
}

/* A suspect is asked itself before it counts as dead. It may well run and send to others: members
 * that see the ring differently for a moment do not agree on who observes whom. */
static void
ask_suspects (struct dff_membership *membership)
{
	const GPtrArray *entries = membership->table->entries;
	guint start = (guint)g_rand_int_range (membership->random, 0, (gint32)entries->len);
	int32_t n_asked = 0;
	for (guint i = 0; i < entries->len && n_asked < membership->options.fanout; i++) {
		struct dff_member_entry *entry = entries->pdata[(start + i) % entries->len];
		if (!entry->observed || entry->known.life != DFF_LIFE_SUSPECT)
			continue;
		dff_membership_correct (membership, entry, &entry->known);
		n_asked++;
	}
}

static void
send_heartbeats (struct dff_membership *membership, int64_t now_ms)
{
	bool announce = membership->announce &&
			now_ms - membership->last_heartbeat_ms >= ANNOUNCE_INTERVAL_MS;
	if (now_ms < membership->next_heartbeat_ms && !announce)
		return;
	int32_t interval_ms = membership->options.heartbeat_ms;
	int32_t jitter_ms = interval_ms * JITTER_PERCENT / 100;
	membership->next_heartbeat_ms =
		now_ms + interval_ms - g_rand_int_range (membership->random, 0, jitter_ms + 1);
	membership->last_heartbeat_ms = now_ms;
	membership->announce = false;
	membership->table->self->known.sequence++;
	ask_suspects (membership);
	if (dff_membership_is_sampled (membership))
		send_to_sample (membership);
	else
		send_to_all (membership);
}

static void
judge_unobserved (struct dff_membership *membership, struct dff_member_entry *entry, int64_t now_ms)
{
	const struct dff_membership_options *options = &membership->options;
	int64_t patience_ms = (int64_t)options->suspect_ms + options->dead_ms;
	if (entry->known.life == DFF_LIFE_SUSPECT &&
	    now_ms - entry->life_since_ms > 2 * patience_ms)
		dff_membership_set_life (membership, entry, DFF_LIFE_DEAD);
	if (!entry->listed && now_ms - entry->heard_ms > UNOBSERVED_PATIENCE * patience_ms)
		dff_membership_set_life (membership, entry, DFF_LIFE_DEAD);
}

static void
judge_observed (struct dff_membership *membership, struct dff_member_entry *entry, int64_t now_ms)
{
	const struct dff_membership_options *options = &membership->options;
	bool silent = now_ms - entry->heard_ms > options->suspect_ms;
	if (!silent)
		return;
	if (!entry->listed) {
		dff_membership_set_life (membership, entry, DFF_LIFE_DEAD);
		return;
	}
	if (entry->known.life == DFF_LIFE_ALIVE)
		dff_membership_set_life (membership, entry, DFF_LIFE_SUSPECT);
	else if (now_ms - entry->life_since_ms > options->dead_ms)
		dff_membership_set_life (membership, entry, DFF_LIFE_DEAD);
}

static void
judge_silence (struct dff_membership *membership, int64_t now_ms)
{
	const GPtrArray *entries = membership->table->entries;
	for (guint i = 0; i < entries->len; i++) {
		struct dff_member_entry *entry = entries->pdata[i];
		if (entry == membership->table->self || entry->known.life == DFF_LIFE_DEAD)
			continue;
		if (entry->observed)
			judge_observed (membership, entry, now_ms);
		else
			judge_unobserved (membership, entry, now_ms);
	}
}

static void
remove_gone (struct dff_membership *membership)
{
	GPtrArray *entries = membership->table->entries;
	for (guint i = entries->len; i > 0; i--) {
		struct dff_member_entry *entry = entries->pdata[i - 1];
		bool gone = !entry->listed && entry->known.life == DFF_LIFE_DEAD;
		if (!gone || entry == membership->table->self || entry->relays_left > 0)
			continue;
		dff_membership_note_change (membership, entry);
		dff_member_table_remove (membership->table, i - 1);
		membership->ring_changed = true;
	}
}

/* While this process did not run, it could hear nobody. Symptom: after a pause it takes every other
 * member for silent, though their heartbeats wait in its sockets. The time in which it did not run
 * is not counted as silence of others. */
static void
skip_own_pause (struct dff_membership *membership, int64_t now_ms)
{
	int64_t gap_ms = now_ms - membership->last_tick_ms;
	membership->last_tick_ms = now_ms;
	if (gap_ms <= membership->options.heartbeat_ms)
		return;
	const GPtrArray *entries = membership->table->entries;
	for (guint i = 0; i < entries->len; i++) {
		struct dff_member_entry *entry = entries->pdata[i];
		entry->heard_ms = MIN (entry->heard_ms + gap_ms, now_ms);
		entry->life_since_ms = MIN (entry->life_since_ms + gap_ms, now_ms);
	}
}

static void
rearrange (struct dff_membership *membership, int64_t now_ms)
{
	if (!membership->ring_changed)
		return;
	membership->ring_changed = false;
	dff_member_table_arrange (membership->table, n_observers (membership), now_ms);
}

static void
tell_region_changed (struct dff_membership *membership)
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
	skip_own_pause (membership, now_ms);
	rearrange (membership, now_ms);
	judge_silence (membership, now_ms);
	remove_gone (membership);
	rearrange (membership, now_ms);
	send_heartbeats (membership, now_ms);
	tell_region_changed (membership);
}

static void
list_instance (struct dff_membership *membership, const struct dff_instance *instance)
{
	struct dff_member_entry *entry = dff_member_table_find (membership->table, &instance->id);
	if (entry == NULL) {
		entry = dff_member_table_add (membership->table, instance, now_of (membership));
		membership->ring_changed = true;
		dff_membership_note_change (membership, entry);
	}
	entry->listed = true;
	if (entry == membership->table->self)
		return;
	if (entry->instance.leaving != instance->leaving)
		dff_membership_note_change (membership, entry);
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
