#include "daemon/pool_watch.h"

#include <inttypes.h>

#include "common/log.h"
#include "pool/pool_row.h"

/* The table client's own timeout ends a poll as unavailable. This longer one covers a table client
 * that never calls back, so that polling cannot stop for good. */
#define POLL_TIMEOUT_MS 10000

struct dff_pool_watch {
	struct dff_pool_watch_options options;
	struct dff_pool *pool;
	GString *text;
	int64_t generation;
	/** Revision of the row last read, here or by the sender of the file. */
	int64_t revision;
	int64_t next_poll_ms;
	int64_t poll_started_ms;
	int64_t last_answer_ms;
	bool polling;
	/* The poll that awaits its callback; detached when this struct is freed first. */
	struct poll *poll;
	int64_t *applied;
	int64_t *unreadable;
	int64_t *generation_gauge;
};

/* One poll in progress; outlives its watch when the table answers late. */
struct poll {
	struct dff_pool_watch *watch;
};

struct dff_pool_watch *
dff_pool_watch_new (const struct dff_pool_watch_options *options)
{
	struct dff_pool_watch *watch = g_new0 (struct dff_pool_watch, 1);
	watch->options = *options;
	watch->text = g_string_new (NULL);
	watch->applied = dff_metrics_counter (options->metrics, "dff_pool_applied_total",
					      "Pool files put in force in this process.");
	watch->unreadable =
		dff_metrics_counter (options->metrics, "dff_pool_unreadable_total",
				     "Pool files from the table or a peer that did not parse.");
	watch->generation_gauge = dff_metrics_gauge (options->metrics, "dff_pool_generation",
						     "Generation of the pool in force.");
	return watch;
}

void
dff_pool_watch_free (struct dff_pool_watch *watch)
{
	if (watch->poll != NULL)
		watch->poll->watch = NULL;
	if (watch->pool != NULL)
		dff_pool_free (watch->pool);
	g_string_free (watch->text, TRUE);
	g_free (watch);
}

static void
apply_pool (struct dff_pool_watch *watch,
	    struct dff_pool *pool,
	    int64_t generation,
	    struct dff_str text)
{
	struct dff_pool *old = watch->pool;
	pool->generation = generation;
	watch->pool = pool;
	watch->generation = generation;
	g_string_truncate (watch->text, 0);
	g_string_append_len (watch->text, text.data, (gssize)text.len);
	*watch->applied += 1;
	*watch->generation_gauge = generation;
	dff_log (DFF_LOG_POOL, DFF_LOG_INFO, "Pool in force. generation=%" PRId64, generation);
	struct dff_str copy = {watch->text->str, watch->text->len};
	watch->options.in_force (watch->options.ctx, pool, copy);
	/* Freed last: users of the old pool have released it in the callback. */
	if (old != NULL)
		dff_pool_free (old);
}

bool
dff_pool_watch_offer (struct dff_pool_watch *watch,
		      int64_t generation,
		      int64_t revision,
		      struct dff_str text)
{
	/* Files arrive late and out of order. If an older one were accepted, a revoked token would
	 * be valid again, so the generation only increases. */
	if (generation <= watch->generation)
		return false;
	g_autoptr (GError) error = NULL;
	struct dff_pool *pool = dff_pool_parse (text, "pool", NULL, &error);
	if (pool == NULL) {
		*watch->unreadable += 1;
		dff_log (DFF_LOG_POOL, DFF_LOG_ERROR,
			 "Accepted pool file cannot be parsed. generation=%" PRId64 " error=\"%s\"",
			 generation, error->message);
		return false;
	}
	/* Set only for a file that is in force: the row of an unreadable one is read again. */
	watch->revision = MAX (watch->revision, revision);
	pool->revision = revision;
	apply_pool (watch, pool, generation, text);
	return true;
}

static void
handle_row (struct dff_pool_watch *watch, const struct dff_table_row *row)
{
	int64_t generation = 0;
	g_autoptr (GError) error = NULL;
	watch->revision = row->revision;
	GString *text = dff_pool_row_decode (row->value, &generation, &error);
	if (text == NULL) {
		*watch->unreadable += 1;
		dff_log (DFF_LOG_POOL, DFF_LOG_ERROR, "Pool row cannot be decoded. error=\"%s\"",
			 error->message);
		return;
	}
	struct dff_str file = {text->str, text->len};
	dff_pool_watch_offer (watch, generation, row->revision, file);
	g_string_free (text, TRUE);
}

static void
handle_poll_answer (void *user, const struct dff_table_result *result)
{
	struct poll *poll = user;
	struct dff_pool_watch *watch = poll->watch;
	g_free (poll);
	if (watch == NULL)
		return;
	watch->poll = NULL;
	watch->polling = false;
	if (result->outcome != DFF_TABLE_OK)
		return;
	watch->last_answer_ms = dff_clock_now_ms (watch->options.clock);
	for (size_t i = 0; i < result->n_rows; i++) {
		if (dff_str_equal (result->rows[i].key, dff_str_from (DFF_POOL_ROW_KEY)))
			handle_row (watch, &result->rows[i]);
	}
}

static void
start_poll (struct dff_pool_watch *watch, int64_t now_ms)
{
	if (watch->poll != NULL)
		watch->poll->watch = NULL;
	struct poll *poll = g_new0 (struct poll, 1);
	poll->watch = watch;
	watch->poll = poll;
	watch->polling = true;
	watch->poll_started_ms = now_ms;
	watch->next_poll_ms = now_ms + watch->options.poll_ms;
	/* A scan after the known revision instead of a get: the pool file of a large region has 40
	 * KB and hardly ever changes, but each process would read all of it each second. */
	struct dff_str key = dff_str_from (DFF_POOL_ROW_KEY);
	const struct dff_table *table = watch->options.table;
	table->scan (table->ctx, key, watch->revision, 1, handle_poll_answer, poll);
}

void
dff_pool_watch_tick (struct dff_pool_watch *watch)
{
	int64_t now_ms = dff_clock_now_ms (watch->options.clock);
	bool timed_out = watch->polling && now_ms - watch->poll_started_ms >= POLL_TIMEOUT_MS;
	if (now_ms < watch->next_poll_ms || (watch->polling && !timed_out))
		return;
	start_poll (watch, now_ms);
}

int64_t
dff_pool_watch_generation (const struct dff_pool_watch *watch)
{
	return watch->generation;
}

int64_t
dff_pool_watch_last_answer_ms (const struct dff_pool_watch *watch)
{
	return watch->last_answer_ms;
}
