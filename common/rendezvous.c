#include "common/rendezvous.h"

#include <xxhash.h>

uint64_t
dff_rendezvous_weight (struct dff_str key, const struct dff_name *member)
{
	uint64_t seed = XXH3_64bits (key.data, key.len);
	return XXH3_64bits_withSeed (member->data, member->len, seed);
}

int
dff_rendezvous_owner (struct dff_str key, const struct dff_name *members, size_t n_members)
{
	int owner = -1;
	uint64_t best = 0;
	for (size_t i = 0; i < n_members; i++) {
		uint64_t weight = dff_rendezvous_weight (key, &members[i]);
		if (owner >= 0 && weight <= best)
			continue;
		owner = (int)i;
		best = weight;
	}
	return owner;
}
