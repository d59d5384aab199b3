#include "peer/membership_internal.h"

static enum dff_member_state
state_of (const struct dff_member_entry *entry)
{
	if (entry->known.liveness == DFF_LIVENESS_DEAD)
		return DFF_MEMBER_DEAD;
	if (entry->known.liveness == DFF_LIVENESS_SUSPECT)
		return DFF_MEMBER_SUSPECT;
	bool leaving = entry->known.leaving || entry->instance.leaving;
	return leaving ? DFF_MEMBER_LEAVING : DFF_MEMBER_ALIVE;
}

void
dff_membership_list (const struct dff_membership *membership, GArray *out)
{
	const GPtrArray *entries = membership->table->entries;
	for (guint i = 0; i < entries->len; i++) {
		const struct dff_member_entry *entry = entries->pdata[i];
		struct dff_member member = {
			.instance = entry->instance,
			.state = state_of (entry),
			.pool_generation = entry->known.pool_generation,
			.holder_epoch = entry->known.holder_epoch,
			.start_id = entry->known.start_id,
			.ready = entry->known.ready,
			.heartbeat_received_ms = entry->heartbeat_received_ms,
		};
		if (entry == membership->table->self)
			member.heartbeat_received_ms = dff_clock_now_ms (membership->options.clock);
		g_array_append_val (out, member);
	}
}

uint32_t
dff_membership_start_id (const struct dff_membership *membership)
{
	return membership->table->self->known.start_id;
}

const struct dff_instance *
dff_membership_find (const struct dff_membership *membership, const struct dff_name *id)
{
	const struct dff_member_entry *entry = dff_member_table_find (membership->table, id);
	return entry != NULL ? &entry->instance : NULL;
}

const struct dff_instance *
dff_membership_holder (const struct dff_membership *membership, int64_t *epoch)
{
	const struct dff_instance *holder = NULL;
	*epoch = 0;
	const GPtrArray *entries = membership->table->entries;
	for (guint i = 0; i < entries->len; i++) {
		const struct dff_member_entry *entry = entries->pdata[i];
		if (entry->known.liveness == DFF_LIVENESS_DEAD ||
		    entry->known.holder_epoch <= *epoch)
			continue;
		if (!dff_name_equal (&entry->instance.region, &membership->options.self.region))
			continue;
		holder = &entry->instance;
		*epoch = entry->known.holder_epoch;
	}
	return holder;
}

struct dff_last_heartbeat
dff_membership_last_heartbeat (const struct dff_membership *membership, const struct dff_name *id)
{
	struct dff_last_heartbeat last = {0};
	const struct dff_member_entry *entry = dff_member_table_find (membership->table, id);
	if (entry == NULL || entry->direct_received_ms == DFF_TIME_NEVER)
		return last;
	last.sent_ms = entry->heartbeat_sent_ms;
	last.start_id = entry->known.start_id;
	last.age_ms = dff_clock_now_ms (membership->options.clock) - entry->direct_received_ms;
	return last;
}

int64_t
dff_membership_newest_generation (const struct dff_membership *membership)
{
	int64_t newest = 0;
	const GPtrArray *entries = membership->table->entries;
	for (guint i = 0; i < entries->len; i++) {
		const struct dff_member_entry *entry = entries->pdata[i];
		if (entry->known.liveness != DFF_LIVENESS_DEAD)
			newest = MAX (newest, entry->known.pool_generation);
	}
	return newest;
}

const struct dff_instance *
dff_membership_pick_with_generation (struct dff_membership *membership, int64_t generation)
{
	const struct dff_instance *picked = NULL;
	int32_t n_seen = 0;
	const GPtrArray *entries = membership->table->entries;
	for (guint i = 0; i < entries->len; i++) {
		const struct dff_member_entry *entry = entries->pdata[i];
		bool has = entry->known.pool_generation >= generation &&
			   entry->known.liveness != DFF_LIVENESS_DEAD;
		if (!has || entry == membership->table->self)
			continue;
		n_seen++;
		if (g_rand_int_range (membership->random, 0, n_seen) == 0)
			picked = &entry->instance;
	}
	return picked;
}
