#include "peer/watch_assignment.h"

#include "common/rendezvous.h"
#include "peer/peer.h"

#define RENEWALS_A_SECOND 5
/** Renewal intervals per lease: a lease survives three lost renewals in a row. */
#define INTERVALS_A_LEASE 4

void
dff_watch_collect_members (const GArray *members, const struct dff_name *region, GArray *out)
{
	for (guint i = 0; i < members->len; i++) {
		const struct dff_member *member = &g_array_index (members, struct dff_member, i);
		bool counts =
			member->state == DFF_MEMBER_ALIVE || member->state == DFF_MEMBER_SUSPECT;
		if (counts && dff_name_equal (&member->instance.region, region))
			g_array_append_val (out, member->instance.id);
	}
}

void
dff_watch_assign (const struct dff_name *self,
		  const struct dff_name *members,
		  size_t n_members,
		  const struct dff_name *workers,
		  size_t n_workers,
		  GArray *out)
{
	for (size_t i = 0; i < n_workers; i++) {
		struct dff_str key = {.data = workers[i].data, .len = workers[i].len};
		int owner = dff_rendezvous_owner (key, members, n_members);
		guint index = (guint)i;
		if (owner >= 0 && dff_name_equal (&members[owner], self))
			g_array_append_val (out, index);
	}
}

int32_t
dff_watch_interval_ms (size_t n_workers, int32_t least_ms, int32_t lease_ms)
{
	int64_t spread_ms = (int64_t)n_workers * 1000 / RENEWALS_A_SECOND;
	int32_t most_ms = MAX (lease_ms / INTERVALS_A_LEASE, least_ms);
	return (int32_t)CLAMP (spread_ms, least_ms, most_ms);
}
