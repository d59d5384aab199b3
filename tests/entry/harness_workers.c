#include "harness_private.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

/* The workers of the harness. They give the scripted answers; without one they answer with the body
 * of the request. */

struct harness_sent {
	struct harness_answer answer;
	int64_t deadline_ms;
	dff_request_func done;
	void *user;
};

void
harness_request_worker (void *ctx,
			const struct dff_name *address,
			const struct dff_name *service,
			const struct dff_name *request_id,
			struct dff_str body,
			struct dff_str traceparent,
			int32_t deadline_ms,
			dff_request_func done,
			void *user)
{
	(void)address;
	(void)service;
	(void)request_id;
	struct harness *harness = ctx;
	g_snprintf (harness->traceparent, sizeof (harness->traceparent), "%.*s",
		    (int)traceparent.len, traceparent.data);
	struct harness_sent *sent = g_new0 (struct harness_sent, 1);
	struct harness_answer *scripted = g_queue_pop_head (&harness->answers);
	if (scripted != NULL) {
		sent->answer = *scripted;
		g_free (scripted);
	} else {
		sent->answer.outcome = DFF_WORKER_OK;
		sent->answer.status = 200;
		sent->answer.body = g_strndup (body.data, body.len);
	}
	bool runs = sent->answer.outcome == DFF_WORKER_OK ||
		    sent->answer.outcome == DFF_WORKER_UNCERTAIN;
	if (runs)
		harness->n_run++;
	if (runs && harness->on_run != NULL)
		harness->on_run (harness->on_run_ctx, body);
	sent->deadline_ms = harness->clock.now_ms + deadline_ms;
	sent->done = done;
	sent->user = user;
	g_queue_push_tail (&harness->sent, sent);
}

static void
answer_sent (struct harness_sent *sent)
{
	const char *body = sent->answer.body == NULL ? "" : sent->answer.body;
	struct dff_request_result result = {
		.outcome = sent->answer.outcome,
		.status = sent->answer.status,
		.body = dff_str_from (body),
		.leaving = sent->answer.leaving,
	};
	sent->done (sent->user, &result);
	g_free (sent->answer.body);
	g_free (sent);
}

void
harness_tick_workers (struct harness *harness)
{
	guint n = harness->sent.length;
	for (guint i = 0; i < n; i++) {
		struct harness_sent *sent = g_queue_pop_head (&harness->sent);
		bool over = harness->clock.now_ms >= sent->deadline_ms;
		if (sent->answer.held && !over) {
			g_queue_push_tail (&harness->sent, sent);
			continue;
		}
		if (sent->answer.held)
			sent->answer.outcome = DFF_WORKER_UNCERTAIN;
		answer_sent (sent);
	}
}

void
harness_next_answer (struct harness *harness, const struct harness_answer *answer)
{
	struct harness_answer *copy = g_memdup2 (answer, sizeof (*answer));
	copy->body = g_strdup (answer->body);
	g_queue_push_tail (&harness->answers, copy);
}

void
harness_release (struct harness *harness, int status, const char *body)
{
	for (GList *link = harness->sent.head; link != NULL; link = link->next) {
		struct harness_sent *sent = link->data;
		if (!sent->answer.held)
			continue;
		sent->answer.held = false;
		sent->answer.outcome = DFF_WORKER_OK;
		sent->answer.status = status;
		g_free (sent->answer.body);
		sent->answer.body = g_strdup (body);
		return;
	}
	fail_msg ("no request is held");
}

void
harness_drop_sent (struct harness *harness)
{
	struct harness_sent *sent;
	while ((sent = g_queue_pop_head (&harness->sent)) != NULL)
		answer_sent (sent);
}
