#include "daemon/pool_watch.h"

#include <inttypes.h>

#include "common/log.h"
#include "pool/pool_row.h"

/* The table's own answer time-out ends a poll as unavailable; this one covers a table client that
 * never calls back, so that polling cannot stop for good. */
#define POLL_LOST_AFTER_MS 10000

struct dff_pool_watch {
	struct dff_pool_watch_options options;
	struct dff_pool *pool;
	GString *text;
	int64_t generation;
	/** Of the row as it was read last, here or by whoever brought the file. */
	int64_t revision;
	int64_t next_poll_ms;
	int64_t polled_ms;
	int64_t answered_ms;
	bool polling;
	/* Polls still without a callback, so that a free in between is safe. */
	struct poll *poll;
	int64_t *applied;
	int64_t *refused;
	int64_t *generation_gauge;
};

/* One poll in progress; outlives its follower when the table answers late. */
struct poll {
	struct dff_pool_watch *follower;
};

struct dff_pool_watch *
dff_pool_watch_new (const struct dff_pool_watch_options *options)
{
	struct dff_pool_watch *follower = g_new0 (struct dff_pool_watch, 1);
	follower->options = *options;
	follower->text = g_string_new (NULL);
	follower->applied = dff_metrics_counter (options->metrics, "dff_pool_applied_total",
						 "Pool files put in force in this process.");
	follower->refused =
		dff_metrics_counter (options->metrics, "dff_pool_unreadable_total",
				     "Pool files from the table or a peer that did not parse.");
	follower->generation_gauge = dff_metrics_gauge (options->metrics, "dff_pool_generation",
							"Generation of the pool in force.");
	return follower;
}

void
dff_pool_watch_free (struct dff_pool_watch *follower)
{
	if (follower->poll != NULL)
		follower->poll->follower = NULL;
	if (follower->pool != NULL)
		dff_pool_free (follower->pool);
	g_string_free (follower->text, TRUE);
	g_free (follower);
}

static void
put_in_force (struct dff_pool_watch *follower,
	      struct dff_pool *pool,
	      int64_t generation,
	      struct dff_str text)
{
	struct dff_pool *old = follower->pool;
	pool->generation = generation;
	follower->pool = pool;
	follower->generation = generation;
	g_string_truncate (follower->text, 0);
	g_string_append_len (follower->text, text.data, (gssize)text.len);
	*follower->applied += 1;
	*follower->generation_gauge = generation;
	dff_log (DFF_LOG_POOL, DFF_LOG_INFO, "Pool in force. generation=%" PRId64, generation);
	struct dff_str kept = {follower->text->str, follower->text->len};
	follower->options.in_force (follower->options.ctx, pool, kept);
	/* Freed last: those who were told of the old pool have let it go by now. */
	if (old != NULL)
		dff_pool_free (old);
}

bool
dff_pool_watch_offer (struct dff_pool_watch *follower,
		      int64_t generation,
		      int64_t revision,
		      struct dff_str text)
{
	/* Files arrive late and out of order. Symptom of taking an older one: a token that was
	 * revoked works again. The generation only ever grows. */
	if (generation <= follower->generation)
		return false;
	g_autoptr (GError) error = NULL;
	struct dff_pool *pool = dff_pool_parse (text, "pool", NULL, &error);
	if (pool == NULL) {
		*follower->refused += 1;
		dff_log (DFF_LOG_POOL, DFF_LOG_ERROR,
			 "Accepted pool cannot be read. generation=%" PRId64 " error=\"%s\"",
			 generation, error->message);
		return false;
	}
	/* Only where the file is in force: one that cannot be read here is looked for again. */
	follower->revision = MAX (follower->revision, revision);
	pool->revision = revision;
	put_in_force (follower, pool, generation, text);
	return true;
}

static void
take_row (struct dff_pool_watch *follower, const struct dff_table_row *row)
{
	int64_t generation = 0;
	g_autoptr (GError) error = NULL;
	follower->revision = row->revision;
	GString *text = dff_pool_row_decode (row->value, &generation, &error);
	if (text == NULL) {
		*follower->refused += 1;
		dff_log (DFF_LOG_POOL, DFF_LOG_ERROR, "Pool row cannot be read. error=\"%s\"",
			 error->message);
		return;
	}
	struct dff_str file = {text->str, text->len};
	dff_pool_watch_offer (follower, generation, row->revision, file);
	g_string_free (text, TRUE);
}

static void
handle_poll_answer (void *user, const struct dff_table_result *result)
{
	struct poll *poll = user;
	struct dff_pool_watch *follower = poll->follower;
	g_free (poll);
	if (follower == NULL)
		return;
	follower->poll = NULL;
	follower->polling = false;
	if (result->outcome != DFF_TABLE_OK)
		return;
	follower->answered_ms = dff_clock_now_ms (follower->options.clock);
	for (size_t i = 0; i < result->n_rows; i++) {
		if (dff_str_equal (result->rows[i].key, dff_str_from (DFF_POOL_ROW_KEY)))
			take_row (follower, &result->rows[i]);
	}
}

static void
start_poll (struct dff_pool_watch *follower, int64_t now_ms)
{
	if (follower->poll != NULL)
		follower->poll->follower = NULL;
	struct poll *poll = g_new0 (struct poll, 1);
	poll->follower = follower;
	follower->poll = poll;
	follower->polling = true;
	follower->polled_ms = now_ms;
	follower->next_poll_ms = now_ms + follower->options.poll_ms;
	/* A scan after the revision that is known, and no get: a pool file of a large region has 40
	 * KB, and each process would read all of it each second, though it hardly ever changes. */
	struct dff_str key = dff_str_from (DFF_POOL_ROW_KEY);
	const struct dff_table *table = follower->options.table;
	table->scan (table->ctx, key, follower->revision, 1, handle_poll_answer, poll);
}

void
dff_pool_watch_tick (struct dff_pool_watch *follower)
{
	int64_t now_ms = dff_clock_now_ms (follower->options.clock);
	bool lost = follower->polling && now_ms - follower->polled_ms >= POLL_LOST_AFTER_MS;
	if (now_ms < follower->next_poll_ms || (follower->polling && !lost))
		return;
	start_poll (follower, now_ms);
}

int64_t
dff_pool_watch_generation (const struct dff_pool_watch *follower)
{
	return follower->generation;
}

int64_t
dff_pool_watch_last_answer_ms (const struct dff_pool_watch *follower)
{
	return follower->answered_ms;
}
