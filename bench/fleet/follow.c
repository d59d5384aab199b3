#include <stdio.h>

#include "bench/fleet/load.h"

/* Queries accepted jobs until they have ended. */

#define ROUND_PAUSE_MS 300
#define CALL_TIMEOUT_MS 3000

/** Queries that are pending. */
struct follow {
	struct fleet *fleet;
	int64_t waiting;
};

struct query {
	struct follow *follow;
	struct fleet_caller *caller;
};

static void
handle_job (void *user, const struct dff_http_response *response)
{
	struct query *query = user;
	bool answered = response->outcome == DFF_HTTP_ANSWERED && response->status == 200;
	json_t *job =
		answered ? json_loadb (response->body.data, response->body.len, 0, NULL) : NULL;
	const json_t *outcome = json_object_get (job, "outcome");
	struct dff_str text = {json_string_value (outcome), json_string_length (outcome)};
	bool ended = g_strcmp0 (json_string_value (json_object_get (job, "state")), "ended") == 0;
	if (ended && text.data != NULL)
		dff_name_parse (text, &query->caller->job_outcome);
	json_decref (job);
	query->follow->waiting--;
	g_free (query);
}

static void
send_query (struct follow *follow, struct fleet_caller *caller)
{
	struct fleet *fleet = follow->fleet;
	struct query *query = g_new (struct query, 1);
	g_autofree char *path = g_strconcat ("/v1/jobs/", caller->job.data, NULL);
	const struct dff_http_header header = {"Authorization",
					       dff_str_from ("Bearer fleet-token")};
	int process = g_rand_int_range (fleet->rng, 0, fleet->n_processes);
	const struct dff_http_request request = {
		.address = fleet->processes[process].address,
		.method = EVHTTP_REQ_GET,
		.path = path,
		.headers = &header,
		.n_headers = 1,
		.timeout_ms = CALL_TIMEOUT_MS,
	};
	*query = (struct query){follow, caller};
	follow->waiting++;
	dff_http_client_send (fleet->http, &request, handle_job, query);
}

static bool
is_followed (const struct fleet_caller *caller)
{
	return caller->verdict == FLEET_ACCEPTED && dff_name_is_empty (&caller->job_outcome);
}

/* Queries every job that has not ended. Returns: the number that still have not. */
static int64_t
query_round (struct fleet *fleet)
{
	struct follow follow = {.fleet = fleet};
	int64_t open = 0;
	for (guint i = 0; i < fleet->load->callers->len; i++) {
		if (is_followed (fleet->load->callers->pdata[i]))
			send_query (&follow, fleet->load->callers->pdata[i]);
	}
	while (follow.waiting > 0)
		event_base_loop (fleet->base, EVLOOP_ONCE);
	for (guint i = 0; i < fleet->load->callers->len; i++)
		open += is_followed (fleet->load->callers->pdata[i]);
	return open;
}

static void
print_open (const struct fleet *fleet)
{
	for (guint i = 0; i < fleet->load->callers->len; i++) {
		const struct fleet_caller *caller = fleet->load->callers->pdata[i];
		if (is_followed (caller))
			fprintf (stderr, "fleet: %s: job %s has not ended\n", caller->tag.data,
				 caller->job.data);
	}
}

int64_t
fleet_load_follow_jobs (struct fleet *fleet, int64_t timeout_ms)
{
	int64_t until_ms = fleet_now_ms (fleet) + timeout_ms;
	int64_t open = query_round (fleet);
	while (open > 0 && fleet_now_ms (fleet) < until_ms) {
		fleet_sleep (fleet, ROUND_PAUSE_MS);
		open = query_round (fleet);
	}
	print_open (fleet);
	return open;
}
