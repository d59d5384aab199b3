#include "peer/grant_digest.h"

#include <string.h>

#include "common/digest.h"

/* The first messages of a changed set are full, so that one lost message costs one round. */
#define FULL_AT_FIRST 2
/* After that, every third message has the full set. With a round every 2 s, a member that lost the
 * first full sets gets the set within 6 s, before the grants expire after 10 s. */
#define FULL_EVERY 3

struct sent_set {
	int64_t epoch;
	uint32_t start_id;
	struct dff_grant_digest digest;
	uint64_t n_sent;
};

struct dff_grant_digest
dff_grant_digest (const struct dff_grant *grants, size_t n_grants)
{
	g_autoptr (GString) text = g_string_new (NULL);
	for (size_t i = 0; i < n_grants; i++) {
		g_string_append_len (text, grants[i].worker.data, (gssize)grants[i].worker.len);
		g_string_append_printf (text, " %d\n", grants[i].slots);
	}
	uint8_t full[DFF_DIGEST_BYTES];
	dff_digest ((struct dff_str){text->str, text->len}, full);
	struct dff_grant_digest digest;
	memcpy (digest.bytes, full, sizeof (digest.bytes));
	return digest;
}

bool
dff_grant_digest_equal (const struct dff_grant_digest *a, const struct dff_grant_digest *b)
{
	return memcmp (a->bytes, b->bytes, sizeof (a->bytes)) == 0;
}

void
dff_grants_sent_init (struct dff_grants_sent *sent)
{
	sent->members = g_hash_table_new_full (dff_name_hash, dff_name_equal_func, g_free, g_free);
}

void
dff_grants_sent_clear (struct dff_grants_sent *sent)
{
	g_clear_pointer (&sent->members, g_hash_table_unref);
}

void
dff_grants_sent_retain (struct dff_grants_sent *sent,
			bool (*is_member) (const void *ctx, const struct dff_name *id),
			const void *ctx)
{
	GHashTableIter iter;
	gpointer id;
	g_hash_table_iter_init (&iter, sent->members);
	while (g_hash_table_iter_next (&iter, &id, NULL)) {
		if (!is_member (ctx, id))
			g_hash_table_iter_remove (&iter);
	}
}

static struct sent_set *
find_or_add (struct dff_grants_sent *sent, const struct dff_name *member)
{
	struct sent_set *set = g_hash_table_lookup (sent->members, member);
	if (set != NULL)
		return set;
	set = g_new0 (struct sent_set, 1);
	g_hash_table_insert (sent->members, dff_name_dup (member), set);
	return set;
}

bool
dff_grants_sent_count (struct dff_grants_sent *sent,
		       const struct dff_name *member,
		       int64_t epoch,
		       uint32_t start_id,
		       const struct dff_grant_digest *digest)
{
	struct sent_set *set = find_or_add (sent, member);
	bool same = set->epoch == epoch && set->start_id == start_id &&
		    dff_grant_digest_equal (&set->digest, digest);
	if (!same) {
		set->epoch = epoch;
		set->start_id = start_id;
		set->digest = *digest;
		set->n_sent = 0;
	}
	uint64_t n_sent = set->n_sent++;
	return n_sent < FULL_AT_FIRST || n_sent % FULL_EVERY == 0;
}

void
dff_grants_current_set (struct dff_grants_current *current,
			const struct dff_grant *grants,
			size_t n_grants)
{
	dff_grants_current_clear (current);
	current->grants = g_array_new (FALSE, FALSE, sizeof (struct dff_grant));
	if (n_grants > 0)
		g_array_append_vals (current->grants, grants, (guint)n_grants);
	current->digest = dff_grant_digest (grants, n_grants);
}

bool
dff_grants_current_match (const struct dff_grants_current *current,
			  const struct dff_grant_digest *digest)
{
	return current->grants != NULL && dff_grant_digest_equal (&current->digest, digest);
}

void
dff_grants_current_clear (struct dff_grants_current *current)
{
	g_clear_pointer (&current->grants, g_array_unref);
}
