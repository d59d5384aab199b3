#include "bench/claims.h"

/* Time limit from a claim until its work runs on the reclaimed capacity. */
#define DFF_CLAIM_LIMIT_MS 4300

struct claim_shape {
	struct dff_name region;
	int32_t free;
};

struct claim {
	uint32_t job;
	guint team;
	int64_t accelerators;
	struct dff_name region;
	/** Index of the shape that covers the claim; -1: none yet. */
	int shape;
	int64_t covered_ms;
	bool started;
};

struct claim_team {
	struct dff_name name;
	GArray *shapes;  /**< Elements: struct claim_shape. */
	GQueue *waiting; /**< Elements: struct claim *, oldest first. */
};

struct dff_claims {
	GArray *teams; /**< Elements: struct claim_team. */
	/** Index of the job to struct claim *. */
	GHashTable *open;
	struct dff_claims_verdict verdict;
};

static void
team_clear (gpointer data)
{
	struct claim_team *team = data;
	g_array_unref (team->shapes);
	g_queue_free (team->waiting);
}

static void
add_team (struct dff_claims *claims, const struct dff_team *declared)
{
	struct claim_team team = {
		.name = declared->name,
		.shapes = g_array_new (FALSE, FALSE, sizeof (struct claim_shape)),
		.waiting = g_queue_new (),
	};
	for (guint i = 0; i < declared->guarantees->len; i++) {
		const struct dff_guarantee *guarantee =
			&g_array_index (declared->guarantees, struct dff_guarantee, i);
		struct claim_shape shape = {guarantee->region, guarantee->accelerators};
		for (int32_t j = 0; j < guarantee->gangs; j++)
			g_array_append_val (team.shapes, shape);
	}
	g_array_append_val (claims->teams, team);
}

struct dff_claims *
dff_claims_new (const struct dff_pool *pool)
{
	struct dff_claims *claims = g_new0 (struct dff_claims, 1);
	claims->teams = g_array_new (FALSE, FALSE, sizeof (struct claim_team));
	g_array_set_clear_func (claims->teams, team_clear);
	claims->open = g_hash_table_new_full (NULL, NULL, NULL, g_free);
	for (guint i = 0; i < pool->teams->len; i++)
		add_team (claims, &g_array_index (pool->teams, struct dff_team, i));
	return claims;
}

void
dff_claims_free (struct dff_claims *claims)
{
	g_hash_table_unref (claims->open);
	g_array_unref (claims->teams);
	g_free (claims);
}

static struct claim_team *
team_at (struct dff_claims *claims, guint index)
{
	return &g_array_index (claims->teams, struct claim_team, index);
}

static bool
regions_agree (const struct dff_name *one, const struct dff_name *other)
{
	return dff_name_is_empty (one) || dff_name_is_empty (other) || dff_name_equal (one, other);
}

/* Covers the claim with the smallest shape that has enough free accelerators. */
static bool
claim_cover (struct claim_team *team, struct claim *claim, int64_t now_ms)
{
	struct claim_shape *shapes = (struct claim_shape *)team->shapes->data;
	for (int i = 0; i < (int)team->shapes->len; i++) {
		if (shapes[i].free < claim->accelerators ||
		    !regions_agree (&shapes[i].region, &claim->region))
			continue;
		if (claim->shape < 0 || shapes[i].free < shapes[claim->shape].free)
			claim->shape = i;
	}
	if (claim->shape < 0)
		return false;
	shapes[claim->shape].free -= (int32_t)claim->accelerators;
	claim->covered_ms = now_ms;
	return true;
}

void
dff_claims_submitted (struct dff_claims *claims,
		      uint32_t job,
		      const struct dff_job_spec *spec,
		      int64_t now_ms)
{
	for (guint i = 0; i < claims->teams->len; i++) {
		if (!dff_name_equal (&team_at (claims, i)->name, &spec->team))
			continue;
		struct claim *claim = g_new0 (struct claim, 1);
		claim->job = job;
		claim->team = i;
		claim->accelerators = (int64_t)spec->gang * spec->per_task.accelerators;
		claim->region = spec->region;
		claim->shape = -1;
		g_hash_table_insert (claims->open, GUINT_TO_POINTER (job), claim);
		if (!claim_cover (team_at (claims, i), claim, now_ms))
			g_queue_push_tail (team_at (claims, i)->waiting, claim);
	}
}

static void
record_wait (struct dff_claims_verdict *verdict, const struct claim *claim, int64_t now_ms)
{
	int64_t wait_ms = now_ms - claim->covered_ms;
	verdict->wait_max_ms = MAX (verdict->wait_max_ms, wait_ms);
	verdict->violations += wait_ms > DFF_CLAIM_LIMIT_MS;
}

void
dff_claims_started (struct dff_claims *claims, uint32_t job, int64_t now_ms)
{
	struct claim *claim = g_hash_table_lookup (claims->open, GUINT_TO_POINTER (job));
	if (claim == NULL || claim->started)
		return;
	claim->started = true;
	if (claim->shape >= 0)
		record_wait (&claims->verdict, claim, now_ms);
}

static void
cover_waiting (struct claim_team *team, int64_t now_ms)
{
	GList *next = NULL;
	for (GList *link = team->waiting->head; link != NULL; link = next) {
		next = link->next;
		struct claim *claim = link->data;
		if (!claim_cover (team, claim, now_ms))
			continue;
		g_queue_delete_link (team->waiting, link);
	}
}

void
dff_claims_ended (struct dff_claims *claims, uint32_t job, int64_t now_ms)
{
	struct claim *claim = g_hash_table_lookup (claims->open, GUINT_TO_POINTER (job));
	if (claim == NULL)
		return;
	struct claim_team *team = team_at (claims, claim->team);
	if (claim->shape >= 0) {
		g_array_index (team->shapes, struct claim_shape, claim->shape).free +=
			(int32_t)claim->accelerators;
	} else {
		g_queue_remove (team->waiting, claim);
	}
	g_hash_table_remove (claims->open, GUINT_TO_POINTER (job));
	cover_waiting (team, now_ms);
}

struct dff_claims_verdict
dff_claims_verdict (const struct dff_claims *claims, int64_t now_ms)
{
	struct dff_claims_verdict verdict = claims->verdict;
	GHashTableIter iter;
	gpointer value;
	g_hash_table_iter_init (&iter, claims->open);
	while (g_hash_table_iter_next (&iter, NULL, &value)) {
		const struct claim *claim = value;
		if (claim->shape >= 0 && !claim->started)
			record_wait (&verdict, claim, now_ms);
	}
	return verdict;
}
