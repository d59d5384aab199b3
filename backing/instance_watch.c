#include "backing/instance_watch.h"

#include <glib.h>
#include <string.h>

#include "common/log.h"

/* A poll without a callback for this long is abandoned, so that a client that never calls back does
 * not stop polling for good. */
#define POLL_TIMEOUT_MS 10000

/** The process stays listed if one announcement is lost and the next is late; more announcements
 * would only add traffic. */
#define ANNOUNCEMENTS_PER_TTL 3

struct poll {
	struct dff_instance_watch *watch;
};

struct dff_instance_watch {
	struct dff_instance_watch_options options;
	GRand *random;
	/** Last list passed to the changed callback, by id. Elements: struct dff_instance. */
	GArray *instances;
	struct poll *poll;
	int64_t polled_ms;
	int64_t next_poll_ms;
	int64_t next_announce_ms;
	int64_t answered_ms;
	bool delivered;
	int64_t *failed;
	int64_t *changes;
};

struct dff_instance_watch *
dff_instance_watch_new (const struct dff_instance_watch_options *options)
{
	struct dff_instance_watch *watch = g_new0 (struct dff_instance_watch, 1);
	watch->options = *options;
	watch->random = g_rand_new_with_seed ((guint32)options->seed);
	watch->instances = g_array_new (FALSE, TRUE, sizeof (struct dff_instance));
	watch->failed = dff_metrics_counter (options->metrics, "dff_instance_list_failures_total",
					     "Polls of the instance list without answer.");
	watch->changes = dff_metrics_counter (options->metrics, "dff_instance_list_changes_total",
					      "Instance lists that differed from the last one.");
	return watch;
}

void
dff_instance_watch_free (struct dff_instance_watch *watch)
{
	if (watch->poll != NULL)
		watch->poll->watch = NULL;
	g_rand_free (watch->random);
	g_array_unref (watch->instances);
	g_free (watch);
}

static int
compare_instances (gconstpointer a, gconstpointer b)
{
	const struct dff_instance *first = a;
	const struct dff_instance *second = b;
	return dff_name_compare (&first->id, &second->id);
}

static bool
instance_equal (const struct dff_instance *a, const struct dff_instance *b)
{
	return a->role == b->role && a->leaving == b->leaving && dff_name_equal (&a->id, &b->id) &&
	       dff_name_equal (&a->address, &b->address) && dff_name_equal (&a->rack, &b->rack) &&
	       dff_name_equal (&a->data_centre, &b->data_centre) &&
	       dff_name_equal (&a->region, &b->region) &&
	       dff_name_equal (&a->peer_address, &b->peer_address) &&
	       dff_name_equal (&a->peer_key, &b->peer_key);
}

static bool
lists_equal (const GArray *a, const GArray *b)
{
	if (a->len != b->len)
		return false;
	for (guint i = 0; i < a->len; i++) {
		if (!instance_equal (&g_array_index (a, struct dff_instance, i),
				     &g_array_index (b, struct dff_instance, i)))
			return false;
	}
	return true;
}

static void
apply_list (struct dff_instance_watch *watch, const struct dff_instance_list_result *result)
{
	g_autoptr (GArray) received = g_array_new (FALSE, TRUE, sizeof (struct dff_instance));
	if (result->n_instances > 0)
		g_array_append_vals (received, result->instances, (guint)result->n_instances);
	g_array_sort (received, compare_instances);
	if (watch->delivered && lists_equal (received, watch->instances))
		return;
	watch->delivered = true;
	*watch->changes += 1;
	g_array_unref (watch->instances);
	watch->instances = g_steal_pointer (&received);
	watch->options.changed (watch->options.ctx,
				(const struct dff_instance *)(void *)watch->instances->data,
				watch->instances->len);
}

static void
handle_list (void *user, const struct dff_instance_list_result *result)
{
	struct poll *poll = user;
	struct dff_instance_watch *watch = poll->watch;
	g_free (poll);
	if (watch == NULL)
		return;
	watch->poll = NULL;
	if (!result->ok) {
		*watch->failed += 1;
		return;
	}
	watch->answered_ms = dff_clock_now_ms (watch->options.clock);
	apply_list (watch, result);
}

static void
announce (struct dff_instance_watch *watch)
{
	const struct dff_instance_list *list = watch->options.list;
	if (list->announce != NULL)
		list->announce (list->ctx, &watch->options.self, watch->options.ttl_ms);
}

static void
start_poll (struct dff_instance_watch *watch, int64_t now_ms)
{
	if (watch->poll != NULL)
		watch->poll->watch = NULL;
	struct poll *poll = g_new0 (struct poll, 1);
	poll->watch = watch;
	watch->poll = poll;
	watch->polled_ms = now_ms;
	int32_t mean_ms = watch->options.poll_ms;
	int32_t spread_ms = mean_ms / 4;
	watch->next_poll_ms = now_ms + g_rand_int_range (watch->random, mean_ms - spread_ms,
							 mean_ms + spread_ms + 1);
	const struct dff_instance_list *list = watch->options.list;
	list->list (list->ctx, handle_list, poll);
}

void
dff_instance_watch_tick (struct dff_instance_watch *watch)
{
	int64_t now_ms = dff_clock_now_ms (watch->options.clock);
	/* Announcements do not depend on polls: a poll that is never answered would delay them
	 * beyond the time to live, and the list would drop a live process. */
	if (now_ms >= watch->next_announce_ms) {
		watch->next_announce_ms = now_ms + watch->options.ttl_ms / ANNOUNCEMENTS_PER_TTL;
		announce (watch);
	}
	bool timed_out = watch->poll != NULL && now_ms - watch->polled_ms >= POLL_TIMEOUT_MS;
	if (now_ms < watch->next_poll_ms || (watch->poll != NULL && !timed_out))
		return;
	start_poll (watch, now_ms);
}

void
dff_instance_watch_set_leaving (struct dff_instance_watch *watch)
{
	watch->options.self.leaving = true;
	announce (watch);
}

int64_t
dff_instance_watch_answered_ms (const struct dff_instance_watch *watch)
{
	return watch->answered_ms;
}
