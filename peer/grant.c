#include "peer/grant.h"

#include <math.h>

#include "common/rendezvous.h"

/* Weighted rendezvous hashing: with u uniform in (0, 1), the probability that a member has the
 * highest -weight / ln(u) is proportional to its weight. */
static double
score (const struct dff_grant_worker *worker, int32_t slot, const struct dff_grant_member *member)
{
	char key[DFF_NAME_MAX + 16];
	int len = g_snprintf (key, sizeof (key), "%s#%d", worker->id.data, slot);
	struct dff_str text = {.data = key, .len = (size_t)len};
	uint64_t hash = dff_rendezvous_weight (text, &member->id);
	double uniform = ((double)(hash >> 11) + 0.5) / (double)(UINT64_C (1) << 53);
	bool same = dff_name_equal (&worker->data_centre, &member->data_centre);
	double weight = same ? DFF_GRANT_SAME_DATA_CENTRE_WEIGHT : 1;
	return -weight / log (uniform);
}

static size_t
owner_of (const struct dff_grant_worker *worker,
	  int32_t slot,
	  const struct dff_grant_member *members,
	  size_t n_members)
{
	size_t owner = 0;
	double best = -1;
	for (size_t i = 0; i < n_members; i++) {
		double own = score (worker, slot, &members[i]);
		bool wins = own > best;
		/* A tie is broken by name, so that the order of members does not matter. */
		if (own == best)
			wins = dff_name_compare (&members[i].id, &members[owner].id) < 0;
		if (!wins)
			continue;
		best = own;
		owner = i;
	}
	return owner;
}

static void
add_slot (GArray *grants, const struct dff_name *worker)
{
	if (grants->len > 0) {
		struct dff_grant *last = &g_array_index (grants, struct dff_grant, grants->len - 1);
		if (dff_name_equal (&last->worker, worker)) {
			last->slots++;
			return;
		}
	}
	struct dff_grant grant = {.worker = *worker, .slots = 1};
	g_array_append_val (grants, grant);
}

GPtrArray *
dff_grants_assign (const struct dff_grant_worker *workers,
		   size_t n_workers,
		   const struct dff_grant_member *members,
		   size_t n_members)
{
	GPtrArray *shares = g_ptr_array_new_with_free_func ((GDestroyNotify)g_array_unref);
	for (size_t i = 0; i < n_members; i++)
		g_ptr_array_add (shares, g_array_new (FALSE, FALSE, sizeof (struct dff_grant)));
	if (n_members == 0)
		return shares;
	for (size_t i = 0; i < n_workers; i++) {
		for (int32_t slot = 0; slot < workers[i].slots; slot++) {
			size_t owner = owner_of (&workers[i], slot, members, n_members);
			add_slot (shares->pdata[owner], &workers[i].id);
		}
	}
	return shares;
}
