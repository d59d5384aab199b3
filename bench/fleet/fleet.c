#include "bench/fleet/fleet.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "bench/fleet/load.h"
#include "common/event_loop.h"

#define TICK_US 5000
#define CALL_TIMEOUT_MS 3000
#define CONNECTIONS_MAX 512
#define WAITING_MAX 4096

static void
run_repairs (struct fleet *fleet)
{
	int64_t now_ms = fleet_now_ms (fleet);
	for (guint i = fleet->repairs->len; i > 0; i--) {
		struct fleet_repair repair =
			g_array_index (fleet->repairs, struct fleet_repair, i - 1);
		if (repair.due_ms > now_ms)
			continue;
		g_array_remove_index_fast (fleet->repairs, i - 1);
		repair.func (fleet, repair.index);
	}
}

static void
tick (evutil_socket_t fd, short events, void *user)
{
	(void)fd;
	(void)events;
	struct fleet *fleet = user;
	run_repairs (fleet);
	fleet_watch_tick (fleet);
	if (fleet->load != NULL)
		fleet_load_tick (fleet->load);
}

struct fleet *
fleet_new (const struct fleet_options *options)
{
	struct fleet *fleet = g_new0 (struct fleet, 1);
	struct timeval interval = {.tv_usec = TICK_US};
	struct dff_http_client_options http;
	fleet->options = *options;
	fleet->base = dff_event_base_new ();
	fleet->clock = dff_clock_system ();
	fleet->metrics = dff_metrics_new ();
	dff_http_client_options_init (&http);
	http.base = fleet->base;
	http.metrics = fleet->metrics;
	http.max_connections = CONNECTIONS_MAX;
	http.max_waiting = WAITING_MAX;
	fleet->http = dff_http_client_new (&http);
	fleet->rng = g_rand_new_with_seed (options->seed);
	fleet->repairs = g_array_new (FALSE, FALSE, sizeof (struct fleet_repair));
	fleet->rows = g_array_new (FALSE, FALSE, sizeof (struct fleet_row));
	fleet->tick = event_new (fleet->base, -1, EV_PERSIST, tick, fleet);
	event_add (fleet->tick, &interval);
	return fleet;
}

void
fleet_free (struct fleet *fleet)
{
	event_free (fleet->tick);
	dff_http_client_free (fleet->http);
	if (fleet->load != NULL)
		fleet_load_free (fleet);
	dff_metrics_free (fleet->metrics);
	event_base_free (fleet->base);
	g_rand_free (fleet->rng);
	g_array_unref (fleet->repairs);
	g_array_unref (fleet->rows);
	g_free (fleet);
}

int64_t
fleet_now_ms (const struct fleet *fleet)
{
	return dff_clock_now_ms (fleet->clock);
}

static bool
never (struct fleet *fleet, int64_t unused)
{
	(void)fleet;
	(void)unused;
	return false;
}

void
fleet_sleep (struct fleet *fleet, int64_t ms)
{
	fleet_wait (fleet, never, 0, ms);
}

bool
fleet_wait (struct fleet *fleet,
	    bool (*condition) (struct fleet *fleet, int64_t argument),
	    int64_t argument,
	    int64_t timeout_ms)
{
	int64_t until_ms = fleet_now_ms (fleet) + timeout_ms;
	while (!condition (fleet, argument)) {
		if (fleet_now_ms (fleet) >= until_ms)
			return false;
		event_base_loop (fleet->base, EVLOOP_ONCE);
	}
	return true;
}

void
fleet_repair_later (struct fleet *fleet,
		    int64_t delay_ms,
		    void (*func) (struct fleet *fleet, int index),
		    int index)
{
	struct fleet_repair repair = {fleet_now_ms (fleet) + delay_ms, func, index};
	g_array_append_val (fleet->repairs, repair);
}

void
fleet_signal (const struct dff_name *name, const char *signal)
{
	printf ("!signal %s %s\n", name->data, signal);
	fflush (stdout);
}

void
fleet_start (const struct dff_name *name)
{
	printf ("!start %s\n", name->data);
	fflush (stdout);
}

/** A call that fleet_call() waits for. */
struct waiting_call {
	struct fleet_answer answer;
	bool done;
};

static void
call_done (void *user, const struct dff_http_response *response)
{
	struct waiting_call *call = user;
	call->done = true;
	call->answer.outcome = response->outcome;
	call->answer.status = response->status;
	if (response->outcome == DFF_HTTP_ANSWERED)
		g_string_append_len (call->answer.body, response->body.data,
				     (gssize)response->body.len);
}

struct fleet_answer
fleet_call (struct fleet *fleet,
	    const struct dff_name *address,
	    enum evhttp_cmd_type method,
	    const char *path,
	    const char *body,
	    int64_t base_generation)
{
	struct waiting_call call = {.answer.body = g_string_new (NULL)};
	g_autofree char *match = g_strdup_printf ("\"%" PRId64 "\"", base_generation);
	const struct dff_http_header headers[] = {
		{"Authorization", dff_str_from ("Bearer operator-token")},
		{"Content-Type", dff_str_from ("application/json")},
		{"If-Match", dff_str_from (match)},
	};
	const struct dff_http_request request = {
		.address = *address,
		.method = method,
		.path = path,
		.headers = headers,
		.n_headers = G_N_ELEMENTS (headers),
		.body = dff_str_from (body),
		.timeout_ms = CALL_TIMEOUT_MS,
	};
	dff_http_client_send (fleet->http, &request, call_done, &call);
	while (!call.done)
		event_base_loop (fleet->base, EVLOOP_ONCE);
	return call.answer;
}

void
fleet_answer_clear (struct fleet_answer *answer)
{
	g_string_free (answer->body, TRUE);
}

static void
ignore_answer (void *user, const struct dff_http_response *response)
{
	(void)user;
	(void)response;
}

void
fleet_post_faults (struct fleet *fleet, const struct dff_name *address, const char *faults)
{
	const struct dff_http_header header = {"Content-Type", dff_str_from ("application/json")};
	const struct dff_http_request request = {
		.address = *address,
		.method = EVHTTP_REQ_POST,
		.path = "/admin/faults",
		.headers = &header,
		.n_headers = 1,
		.body = dff_str_from (faults),
		.timeout_ms = CALL_TIMEOUT_MS,
	};
	dff_http_client_send (fleet->http, &request, ignore_answer, NULL);
}
