#include "core/priority_order.h"

#include <math.h>

/** Slack, in multiples of a job's expected duration, below which it belongs to the first and second
 * band. Estimates are off by a factor of two before run times are learned: finer bands would sort
 * by their errors. */
#define TIGHT_SLACK 0.5
#define MODERATE_SLACK 1.5
/** Value of a job that completes late, relative to one in time. */
#define LATE_VALUE 0.2
/** Value below which no job is rated, so that its wait still moves it forward. */
#define VALUE_MIN 0.02
/** Slack, in multiples of the expected duration, over which the pressure to start falls by e. */
#define SLACK_SCALE 5.0

/** Sort key of a head; lower keys go first. */
struct sort_key {
	int32_t precedence;
	/** Heads of one precedence and group are of equal prospect. */
	int32_t group;
	int32_t band;
	double score;
};

struct entry {
	struct sort_key key;
	struct dff_order_head head;
};

enum dff_prospect
dff_order_prospect (enum dff_prospect prospect, int64_t age_ms, int64_t limit_ms)
{
	if (prospect == DFF_PROSPECT_MISSED && age_ms / DFF_ORDER_MISSED_FACTOR >= limit_ms)
		return DFF_PROSPECT_NONE;
	return prospect;
}

static int32_t
precedence (const struct dff_order_head *head)
{
	if (!head->urgent)
		return 2;
	return head->assured ? 0 : 1;
}

/* Returns: the slack in multiples of the expected duration. */
static double
relative_slack (const struct dff_order_head *head)
{
	return (double)head->slack_ms / (double)MAX (head->expected_ms, 1);
}

static int32_t
group_of (enum dff_order_way way, const struct dff_order_head *head)
{
	if (way == DFF_ORDER_STANDING)
		return 0;
	switch (head->prospect) {
	case DFF_PROSPECT_LATE:
		return way == DFF_ORDER_SLACK ? 1 : 0;
	case DFF_PROSPECT_MISSED:
		return 2;
	case DFF_PROSPECT_IN_TIME:
	case DFF_PROSPECT_NONE:
	default:
		return 0;
	}
}

/* Jobs without an objective are all in the first band: no other work can starve them there, because
 * their score improves without limit as they wait. */
static int32_t
slack_band (enum dff_order_way way, const struct dff_order_head *head)
{
	if (way != DFF_ORDER_SLACK || head->prospect != DFF_PROSPECT_IN_TIME)
		return 0;
	double slack = relative_slack (head);
	if (slack < TIGHT_SLACK)
		return 0;
	return slack < MODERATE_SLACK ? 1 : 2;
}

/* Divides the score by the expected value and by the pressure to start now. */
static double
density_score (const struct dff_order_head *head)
{
	double value = head->in_time_chance +
		       LATE_VALUE * MAX (head->late_chance - head->in_time_chance, 0.0);
	double pressure = 1.0;
	if (head->prospect == DFF_PROSPECT_IN_TIME)
		pressure = exp (-relative_slack (head) / SLACK_SCALE);
	return head->occupancy / (MAX (value, VALUE_MIN) * MAX (pressure, VALUE_MIN));
}

static bool
has_prospect (const struct dff_order_head *head)
{
	return head->prospect == DFF_PROSPECT_IN_TIME || head->prospect == DFF_PROSPECT_LATE;
}

/* The wait of work that can still earn its value is in the expected value and the slack: counted
 * again in the score, it would put old work that is about to be missed before new work. */
static double
score_of (enum dff_order_way way, const struct dff_order_head *head)
{
	bool by_density = way == DFF_ORDER_VALUE_DENSITY && has_prospect (head);
	return by_density ? density_score (head) : head->score;
}

static struct sort_key
sort_key (enum dff_order_way way, const struct dff_order_head *head)
{
	return (struct sort_key){
		.precedence = precedence (head),
		.group = group_of (way, head),
		.band = slack_band (way, head),
		.score = score_of (way, head),
	};
}

static int
compare_entries (gconstpointer a, gconstpointer b)
{
	const struct entry *one = a;
	const struct entry *other = b;
	if (one->key.precedence != other->key.precedence)
		return one->key.precedence < other->key.precedence ? -1 : 1;
	if (one->key.group != other->key.group)
		return one->key.group < other->key.group ? -1 : 1;
	if (one->key.band != other->key.band)
		return one->key.band < other->key.band ? -1 : 1;
	if (one->key.score != other->key.score)
		return one->key.score < other->key.score ? -1 : 1;
	if (one->head.submitted_ms != other->head.submitted_ms)
		return one->head.submitted_ms < other->head.submitted_ms ? -1 : 1;
	return dff_name_compare (one->head.id, other->head.id);
}

/* Compares the indices of two entries: by share level, then as sorted. */
static int
compare_levels (gconstpointer a, gconstpointer b, gpointer user)
{
	const GArray *entries = user;
	guint one = *(const guint *)a;
	guint other = *(const guint *)b;
	int32_t left = g_array_index (entries, struct entry, one).head.share_level;
	int32_t right = g_array_index (entries, struct entry, other).head.share_level;
	if (left != right)
		return left < right ? -1 : 1;
	return one < other ? -1 : one > other;
}

/* Deals out the places of one priority between @first and @end, to lower share levels first. */
static void
deal_places (const GArray *entries, GArray *dealt, guint first, guint end, int32_t priority)
{
	g_autoptr (GArray) places = g_array_new (FALSE, FALSE, sizeof (guint));
	for (guint i = first; i < end; i++) {
		if (g_array_index (entries, struct entry, i).head.priority == priority)
			g_array_append_val (places, i);
	}
	g_autoptr (GArray) order = g_array_copy (places);
	g_array_sort_with_data (order, compare_levels, (gpointer)entries);
	for (guint i = 0; i < places->len; i++) {
		guint place = g_array_index (places, guint, i);
		guint from = g_array_index (order, guint, i);
		g_array_index (dealt, struct entry, place) =
			g_array_index (entries, struct entry, from);
	}
}

/* Applies the share levels to the entries between @first and @end, which are of equal prospect. */
static void
apply_levels (const GArray *entries, GArray *dealt, guint first, guint end)
{
	int32_t lowest = g_array_index (entries, struct entry, first).head.priority;
	int32_t highest = lowest;
	bool differ = false;
	for (guint i = first + 1; i < end; i++) {
		const struct dff_order_head *head = &g_array_index (entries, struct entry, i).head;
		lowest = MIN (lowest, head->priority);
		highest = MAX (highest, head->priority);
		differ = differ ||
			 head->share_level !=
				 g_array_index (entries, struct entry, first).head.share_level;
	}
	for (int32_t priority = lowest; differ && priority <= highest; priority++)
		deal_places (entries, dealt, first, end, priority);
}

static bool
same_prospect (const GArray *entries, guint one, guint other)
{
	const struct sort_key *left = &g_array_index (entries, struct entry, one).key;
	const struct sort_key *right = &g_array_index (entries, struct entry, other).key;
	return left->precedence == right->precedence && left->group == right->group;
}

void
dff_order_sort (enum dff_order_way way, GArray *heads)
{
	g_autoptr (GArray) entries =
		g_array_sized_new (FALSE, FALSE, sizeof (struct entry), heads->len);
	for (guint i = 0; i < heads->len; i++) {
		const struct dff_order_head *head =
			&g_array_index (heads, struct dff_order_head, i);
		struct entry entry = {.key = sort_key (way, head), .head = *head};
		g_array_append_val (entries, entry);
	}
	g_array_sort (entries, compare_entries);
	g_autoptr (GArray) dealt = g_array_copy (entries);
	guint first = 0;
	for (guint i = 1; i <= entries->len; i++) {
		if (i < entries->len && same_prospect (entries, first, i))
			continue;
		apply_levels (entries, dealt, first, i);
		first = i;
	}
	for (guint i = 0; i < heads->len; i++)
		g_array_index (heads, struct dff_order_head, i) =
			g_array_index (dealt, struct entry, i).head;
}
