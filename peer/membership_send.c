#include "peer/membership_internal.h"

/* Heartbeats: their times, their targets, and the states of peers that they carry. */

/** Most changed states in one heartbeat. It carries one more state, changed or not. */
#define CHANGES_PER_HEARTBEAT 7

/** With more peers than the fanout, a member has fanout / OBSERVERS_DIVISOR observers and sends to
 * as many further members. */
#define OBSERVERS_DIVISOR 3

/** Minimum time between announcements, and between corrections to one member, ms. */
#define ANNOUNCE_INTERVAL_MS 100
#define CORRECT_INTERVAL_MS 100

/** Jitter of the heartbeat interval, percent, so that processes do not send in lockstep. */
#define JITTER_PERCENT 10

static int64_t
now_of (const struct dff_membership *membership)
{
	return dff_clock_now_ms (membership->options.clock);
}

bool
dff_membership_is_sampled (const struct dff_membership *membership)
{
	return membership->table->entries->len - 1 > (guint)membership->options.fanout;
}

int32_t
dff_membership_n_observers (const struct dff_membership *membership)
{
	if (!dff_membership_is_sampled (membership))
		return INT32_MAX;
	return MAX (membership->options.fanout / OBSERVERS_DIVISOR, 1);
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
			const struct dff_member_report *report)
{
	int64_t now_ms = now_of (membership);
	if (now_ms - entry->corrected_ms < CORRECT_INTERVAL_MS)
		return;
	entry->corrected_ms = now_ms;
	*membership->n_corrected += 1;
	struct dff_heartbeat heartbeat = {.peers = report, .n_peers = 1};
	fill_heartbeat (membership, &heartbeat);
	membership->options.send (membership->options.ctx, &entry->instance, &heartbeat);
}

/* Returns: (nullable): the entry not chosen yet whose change was relayed least often. */
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
is_reportable (const struct dff_membership *membership, const struct dff_member_entry *entry)
{
	return entry != membership->table->self && entry->known.incarnation > 0;
}

/* Adds the state of the next member in turn, changed or not: this makes up for lost messages, and
 * keeps a member alive at peers that do not receive its heartbeats directly. */
static void
choose_refresh (struct dff_membership *membership, GPtrArray *chosen)
{
	const GPtrArray *entries = membership->table->entries;
	for (guint tries = 0; tries < entries->len; tries++) {
		membership->refresh_cursor = (membership->refresh_cursor + 1) % entries->len;
		struct dff_member_entry *entry = entries->pdata[membership->refresh_cursor];
		if (!is_reportable (membership, entry) || g_ptr_array_find (chosen, entry, NULL))
			continue;
		g_ptr_array_add (chosen, entry);
		return;
	}
}

static void
choose_peers (struct dff_membership *membership, GPtrArray *chosen)
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
	choose_peers (membership, chosen);
	struct dff_member_report peers[DFF_HEARTBEAT_PEERS_MAX];
	for (guint i = 0; i < chosen->len; i++) {
		const struct dff_member_entry *entry = chosen->pdata[i];
		peers[i] = entry->known;
	}
	struct dff_heartbeat heartbeat = {.peers = peers, .n_peers = chosen->len};
	fill_heartbeat (membership, &heartbeat);
	membership->options.send (membership->options.ctx, &target->instance, &heartbeat);
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

/* The holder dates grants by the last heartbeat of each member of its region; the heartbeat may be
 * old. So each member sends to a new holder at once and then only in some rounds, as the holder
 * must not receive more heartbeats than other members. */
static void
add_holder (struct dff_membership *membership, GPtrArray *targets)
{
	int64_t epoch;
	const struct dff_instance *holder = dff_membership_holder (membership, &epoch);
	if (holder == NULL)
		return;
	uint64_t turns =
		membership->table->entries->len / (guint)dff_membership_n_observers (membership) +
		1;
	bool is_new = epoch != membership->notified_epoch;
	membership->notified_epoch = epoch;
	if (is_new || membership->table->self->known.sequence % turns == 0)
		add_target (membership, targets, &holder->id);
}

/* Adds the next dead member in turn, so that two partitions merge when a network cut heals. */
static void
add_dead (struct dff_membership *membership, GPtrArray *targets)
{
	const GPtrArray *entries = membership->table->entries;
	for (guint tries = 0; tries < entries->len; tries++) {
		membership->dead_cursor = (membership->dead_cursor + 1) % entries->len;
		struct dff_member_entry *entry = entries->pdata[membership->dead_cursor];
		if (entry->known.liveness != DFF_LIVENESS_DEAD)
			continue;
		add_target (membership, targets, &entry->instance.id);
		return;
	}
}

static void
send_to_sample (struct dff_membership *membership)
{
	g_autoptr (GPtrArray) targets = g_ptr_array_new ();
	dff_member_table_targets (membership->table, dff_membership_n_observers (membership),
				  targets);
	add_holder (membership, targets);
	add_dead (membership, targets);
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

/* Returns: whether this process probes the suspect: as its observer, or because its observers did
 * not decide within the detection time. */
static bool
should_probe (const struct dff_membership *membership, const struct dff_member_entry *entry)
{
	if (entry->known.liveness != DFF_LIVENESS_SUSPECT)
		return false;
	const struct dff_membership_options *options = &membership->options;
	int64_t detection_ms = (int64_t)options->suspect_ms + options->dead_ms;
	return entry->observed || now_of (membership) - entry->liveness_since_ms > detection_ms;
}

/* Probes suspects before they count as dead. A suspect may be running and sending to other members:
 * as long as members' views of the ring differ, they disagree on who observes whom. A process that
 * is cut off from most peers probes all of them while they are suspect. */
static void
probe_suspects (struct dff_membership *membership)
{
	const GPtrArray *entries = membership->table->entries;
	for (guint i = 0; i < entries->len; i++) {
		struct dff_member_entry *entry = entries->pdata[i];
		if (should_probe (membership, entry))
			dff_membership_correct (membership, entry, &entry->known);
	}
}

void
dff_membership_send_due (struct dff_membership *membership)
{
	int64_t now_ms = now_of (membership);
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
	probe_suspects (membership);
	if (dff_membership_is_sampled (membership))
		send_to_sample (membership);
	else
		send_to_all (membership);
}
