#include "bench/fleet/load.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define ANSWER_BYTES 200
/** Time without an answer after which a caller treats the connection as lost, ms. */
#define ANSWER_TIMEOUT_MS 4000
#define MS_PER_S 1000
#define RETRY_MS 100
#define N_KINDS 4
#define WORK_MAX_MS 60
#define JOB_RUN_MAX_MS 1500
#define ATTEMPTS_MAX 50
#define END_TIMEOUT_MS 60000

static double
rate_of (const struct fleet_rates *rates, int kind)
{
	const double all[N_KINDS] = {rates->idempotent, rates->once, rates->jobs, rates->jobs_once};
	return all[kind];
}

static bool
is_job (enum fleet_kind kind)
{
	return kind == FLEET_JOB || kind == FLEET_JOB_ONCE;
}

static int
choose_process (struct fleet *fleet, int avoid)
{
	int candidates[FLEET_PROCESSES_MAX];
	int n_candidates = 0;
	for (int i = 0; i < fleet->n_processes; i++) {
		if (fleet->processes[i].in_rotation && i != avoid)
			candidates[n_candidates++] = i;
	}
	if (n_candidates == 0)
		return g_rand_int_range (fleet->rng, 0, fleet->n_processes);
	return candidates[g_rand_int_range (fleet->rng, 0, n_candidates)];
}

static void
end_caller (struct fleet_caller *caller, enum fleet_verdict verdict)
{
	caller->verdict = verdict;
	caller->ended_ms = fleet_now_ms (caller->load->fleet);
	caller->load->in_progress--;
}

/* Jobs have no timeout, as a caller may not give up on a job that may have been accepted. Requests
 * are retried until the request timeout. */
static void
retry_later (struct fleet_caller *caller, int64_t delay_ms)
{
	struct fleet_load *load = caller->load;
	int64_t now_ms = fleet_now_ms (load->fleet);
	bool timed_out =
		!is_job (caller->kind) && now_ms - caller->begun_ms > load->request_timeout_ms;
	if (timed_out || load->retries_stopped) {
		end_caller (caller, caller->kind == FLEET_ONCE ? FLEET_UNKNOWN : FLEET_FAILED);
		fprintf (stderr, "fleet: %s: no answer within its patience, %d tries\n",
			 caller->tag.data, caller->n_tries);
		return;
	}
	load->n_retries++;
	caller->next_ms = now_ms + delay_ms;
}

static int64_t
retry_after_ms (const struct dff_http_response *response)
{
	const char *text = response->headers == NULL
				   ? NULL
				   : evhttp_find_header (response->headers, "Retry-After");
	return text == NULL ? RETRY_MS : g_ascii_strtoll (text, NULL, 10) * MS_PER_S;
}

static void
handle_problem (struct fleet_caller *caller, const struct dff_http_response *response)
{
	json_t *problem = json_loadb (response->body.data, response->body.len, 0, NULL);
	const char *outcome = json_string_value (json_object_get (problem, "outcome"));
	const char *code = json_string_value (json_object_get (problem, "code"));
	bool at_most_once = caller->kind != FLEET_IDEMPOTENT;
	if (at_most_once && g_strcmp0 (outcome, "not_run") == 0 && response->status < 429)
		fprintf (stderr, "fleet: %s: refused, %.*s\n", caller->tag.data,
			 (int)response->body.len, response->body.data);
	if (at_most_once && g_strcmp0 (outcome, "not_run") == 0)
		end_caller (caller, FLEET_NOT_RUN);
	else if (caller->kind == FLEET_ONCE &&
		 (g_strcmp0 (code, "upstream_lost") == 0 || g_strcmp0 (code, "attempt_lost") == 0))
		end_caller (caller, FLEET_UNKNOWN);
	else if (response->status >= 429 && response->status != 501)
		retry_later (caller, retry_after_ms (response));
	else {
		fprintf (stderr, "fleet: %s: answer %d %s\n", caller->tag.data, response->status,
			 code == NULL ? "" : code);
		end_caller (caller, FLEET_FAILED);
	}
	json_decref (problem);
}

static void
handle_job (struct fleet_caller *caller, const struct dff_http_response *response)
{
	json_t *job = json_loadb (response->body.data, response->body.len, 0, NULL);
	const json_t *id = json_object_get (job, "id");
	struct dff_str text = {json_string_value (id), json_string_length (id)};
	bool valid = text.data != NULL && dff_name_parse (text, &caller->job);
	end_caller (caller, valid ? FLEET_ACCEPTED : FLEET_FAILED);
	json_decref (job);
}

/* Workers begin an answer with the id of the request that they ran. The Request-Id header must name
 * the same id: this detects a truncated answer and the answer to another request. */
static bool
is_own_answer (const struct dff_http_response *response)
{
	const char *id = evhttp_find_header (response->headers, "Request-Id");
	if (id == NULL || response->body.len != ANSWER_BYTES)
		return false;
	size_t length = strlen (id);
	return length < ANSWER_BYTES && memcmp (response->body.data, id, length) == 0 &&
	       response->body.data[length] == '\n';
}

static void
handle_answer (struct fleet_caller *caller, const struct dff_http_response *response)
{
	bool own = is_own_answer (response);
	if (!own)
		fprintf (stderr, "fleet: %s: a wrong answer of %zu bytes\n", caller->tag.data,
			 response->body.len);
	end_caller (caller, own ? FLEET_ANSWERED : FLEET_FAILED);
}

static void
answered (void *user, const struct dff_http_response *response)
{
	struct fleet_caller *caller = user;
	if (response->outcome != DFF_HTTP_ANSWERED)
		retry_later (caller, RETRY_MS);
	else if (response->status >= 300)
		handle_problem (caller, response);
	else if (is_job (caller->kind))
		handle_job (caller, response);
	else
		handle_answer (caller, response);
}

static char *
request_body (const struct fleet_caller *caller)
{
	guint work_ms = g_str_hash (caller->tag.data) % WORK_MAX_MS;
	return g_strdup_printf ("{\"work_ms\":%u,\"answer_bytes\":%d,\"tag\":\"%s\"}", work_ms,
				ANSWER_BYTES, caller->tag.data);
}

static char *
job_body (const struct fleet_caller *caller)
{
	bool once = caller->kind == FLEET_JOB_ONCE;
	guint hash = g_str_hash (caller->tag.data);
	return g_strdup_printf (
		"{\"service\":\"batch\",\"gang\":%u,\"accelerators\":1,\"slots\":1,\"cores\":1,"
		"\"memory_gb\":1,\"checkpoint\":false,\"idempotent\":%s,\"declared_s\":1,"
		"\"max_attempts\":%d,\"payload\":{\"run_ms\":%u,\"result_bytes\":100,"
		"\"tag\":\"%s\"}}",
		hash % 3 + 1, once ? "false" : "true", once ? 1 : ATTEMPTS_MAX,
		hash / 3 % JOB_RUN_MAX_MS, caller->tag.data);
}

static void
send_call (struct fleet_caller *caller)
{
	struct fleet *fleet = caller->load->fleet;
	char attempt[16];
	bool job = is_job (caller->kind);
	g_autofree char *body = job ? job_body (caller) : request_body (caller);
	caller->next_ms = 0;
	caller->process = choose_process (fleet, caller->n_tries == 0 ? -1 : caller->process);
	g_snprintf (attempt, sizeof (attempt), "%" PRId32, ++caller->n_tries);
	const struct dff_http_header headers[] = {
		{"Authorization", dff_str_from ("Bearer fleet-token")},
		{"Content-Type", dff_str_from ("application/json")},
		{"Attempt", dff_str_from (attempt)},
		{"Idempotent", dff_str_from (caller->kind == FLEET_ONCE ? "false" : "true")},
		/* Must be last: left out for an idempotent short request. */
		{"Idempotency-Key", dff_str_from (caller->tag.data)},
	};
	const struct dff_http_request request = {
		.address = fleet->processes[caller->process].address,
		.method = EVHTTP_REQ_POST,
		.path = job ? "/v1/jobs" : "/v1/services/short/requests",
		.headers = headers,
		.n_headers = G_N_ELEMENTS (headers) - (caller->kind == FLEET_IDEMPOTENT ? 1 : 0),
		.body = dff_str_from (body),
		.timeout_ms = ANSWER_TIMEOUT_MS,
	};
	dff_http_client_send (fleet->http, &request, answered, caller);
}

static void
begin_caller (struct fleet_load *load, enum fleet_kind kind)
{
	struct fleet_caller *caller = g_new0 (struct fleet_caller, 1);
	caller->load = load;
	caller->kind = kind;
	caller->begun_ms = fleet_now_ms (load->fleet);
	caller->tag = dff_name_printf ("%s-%u-%u", load->phase, load->fleet->options.seed,
				       load->callers->len);
	load->sent[kind]++;
	load->in_progress++;
	g_ptr_array_add (load->callers, caller);
	send_call (caller);
}

static void
begin_due (struct fleet_load *load, int64_t now_ms)
{
	double elapsed_s = (double)(now_ms - load->begun_ms) / MS_PER_S;
	for (int kind = 0; kind < N_KINDS; kind++) {
		int64_t due = (int64_t)(elapsed_s * rate_of (&load->rates, kind));
		while (load->sent[kind] < due)
			begin_caller (load, (enum fleet_kind)kind);
	}
}

void
fleet_load_tick (struct fleet_load *load)
{
	int64_t now_ms = fleet_now_ms (load->fleet);
	for (guint i = 0; load->in_progress > 0 && i < load->callers->len; i++) {
		struct fleet_caller *caller = load->callers->pdata[i];
		if (caller->verdict == FLEET_OPEN && caller->next_ms > 0 &&
		    caller->next_ms <= now_ms)
			send_call (caller);
	}
	if (!load->stopped)
		begin_due (load, now_ms);
}

void
fleet_load_begin (struct fleet *fleet,
		  const char *phase,
		  const struct fleet_rates *rates,
		  int64_t request_timeout_ms)
{
	struct fleet_load *load = g_new0 (struct fleet_load, 1);
	load->fleet = fleet;
	load->phase = phase;
	load->rates = *rates;
	load->request_timeout_ms = request_timeout_ms;
	load->begun_ms = fleet_now_ms (fleet);
	load->callers = g_ptr_array_new_with_free_func (g_free);
	fleet->load = load;
}

static bool
all_ended (struct fleet *fleet, int64_t unused)
{
	(void)unused;
	return fleet->load->in_progress == 0;
}

void
fleet_load_end (struct fleet *fleet)
{
	struct fleet_load *load = fleet->load;
	load->stopped = true;
	if (fleet_wait (fleet, all_ended, 0, END_TIMEOUT_MS))
		return;
	fprintf (stderr, "fleet: %" PRId64 " callers do not know their outcome\n",
		 load->in_progress);
	load->retries_stopped = true;
	fleet_wait (fleet, all_ended, 0, INT32_MAX);
}

void
fleet_load_free (struct fleet *fleet)
{
	g_ptr_array_unref (fleet->load->callers);
	g_clear_pointer (&fleet->load, g_free);
}

int64_t
fleet_load_count (const struct fleet_load *load, enum fleet_kind kind, enum fleet_verdict verdict)
{
	int64_t count = 0;
	for (guint i = 0; i < load->callers->len; i++) {
		const struct fleet_caller *caller = load->callers->pdata[i];
		count += caller->kind == kind && caller->verdict == verdict;
	}
	return count;
}

double
fleet_load_slowest (const struct fleet_load *load)
{
	int64_t slowest = 0;
	for (guint i = 0; i < load->callers->len; i++) {
		const struct fleet_caller *caller = load->callers->pdata[i];
		if (caller->verdict == FLEET_ANSWERED)
			slowest = MAX (slowest, caller->ended_ms - caller->begun_ms);
	}
	return (double)slowest;
}
