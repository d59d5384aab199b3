#include "entry/entry.h"

#include <event2/bufferevent_ssl.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <string.h>

#include "common/http_listen.h"
#include "entry/entry_private.h"
#include "entry/reply.h"
#include "entry/route.h"

/** While draining, a connection without a request for this long is closed, ms. A request that was
 * already in transit has arrived by then and is answered. */
#define DRAIN_IDLE_MS 500
/** Idle time after which a keep-alive connection is closed, ms. */
#define IDLE_TIMEOUT_MS 75000
/** Maximum size of a request's line and headers, bytes. */
#define MAX_HEADER_BYTES 16384
/** Retry-After of a call that is refused for too many connections, s. */
#define BUSY_RETRY_S 1
/** Number of bodies of the largest size that callers may be sending at once. */
#define LARGEST_BODIES 4

static GQuark
entry_error_quark (void)
{
	return g_quark_from_static_string ("dff-entry-error");
}

struct dff_entry *
dff_entry_ref (struct dff_entry *entry)
{
	entry->refs++;
	return entry;
}

void
dff_entry_unref (struct dff_entry *entry)
{
	entry->refs--;
	if (entry->refs > 0)
		return;
	g_rand_free (entry->rng);
	g_string_free (entry->pool_text, TRUE);
	dff_deadlines_free (entry->deadlines);
	g_free (entry);
}

int64_t
dff_entry_now_ms (const struct dff_entry *entry)
{
	return dff_clock_now_ms (entry->options.clock);
}

int32_t
dff_entry_retry_after_s (struct dff_entry *entry)
{
	if (entry->closed)
		return 1;
	return MAX (1, dff_recorder_retry_after_s (entry->options.recorder));
}

struct dff_name
dff_entry_random_hash (struct dff_entry *entry)
{
	/* C leaves the order in which arguments are evaluated open, and a seed has to give the same
	 * hash on every machine. */
	uint32_t words[4];
	for (size_t i = G_N_ELEMENTS (words); i > 0; i--)
		words[i - 1] = g_rand_int (entry->rng);
	return dff_name_printf ("%08x%08x%08x%08x", words[0], words[1], words[2], words[3]);
}

static void
refuse_route (struct dff_call *call, enum dff_route_match match)
{
	if (match == DFF_ROUTE_NO_METHOD) {
		dff_reply_error (call, 405, "method_not_allowed", "The path has other methods.");
		return;
	}
	dff_reply_error (call, 404, "not_found", "There is nothing under this path.");
}

static void
refuse_overload (struct dff_call *call)
{
	const struct dff_problem problem = {.status = 503,
					    .code = "too_many_connections",
					    .outcome = dff_refusal_outcome (call),
					    .retry_after_s = BUSY_RETRY_S,
					    .detail = "Too many connections are open."};
	(*call->entry->counters.refused_busy)++;
	dff_call_set_header (call, "Connection", "close");
	dff_reply_problem (call, &problem);
}

static char *
decoded_path (struct evhttp_request *request)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (request);
	const char *path = uri == NULL ? NULL : evhttp_uri_get_path (uri);
	if (path == NULL)
		return g_strdup ("");
	char *unescaped = g_uri_unescape_string (path, NULL);
	return unescaped == NULL ? g_strdup ("") : unescaped;
}

static void
handle_request (struct evhttp_request *request, void *ctx)
{
	struct dff_entry *entry = ctx;
	const struct dff_route *route = NULL;
	g_autofree char *path = decoded_path (request);
	struct dff_call *call = dff_call_new (entry, request);
	enum dff_route_match match =
		dff_route_find (evhttp_request_get_command (request), path, &route, &call->subject);
	(*entry->counters.calls)++;
	if (call->rejected)
		refuse_overload (call);
	else if (match != DFF_ROUTE_FOUND)
		refuse_route (call, match);
	else if (dff_auth_check (call, route->audience))
		route->handle (call);
	dff_call_watch_loss (call);
	dff_call_unref (call);
}

static struct bufferevent *
accept_connection (struct event_base *base, void *ctx)
{
	struct dff_entry *entry = ctx;
	struct bufferevent *bev = NULL;
	if (entry->tls == NULL) {
		bev = bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);
	} else {
		bev = bufferevent_openssl_socket_new (base, -1, SSL_new (entry->tls),
						      BUFFEREVENT_SSL_ACCEPTING,
						      BEV_OPT_CLOSE_ON_FREE);
		bufferevent_openssl_set_allow_dirty_shutdown (bev, 1);
	}
	dff_connection_group_add (entry->callers, bev);
	return bev;
}

static bool
load_tls (struct dff_entry *entry, GError **error)
{
	const struct dff_settings *settings = entry->options.settings;
	if (settings->tls_certificate == NULL || settings->tls_certificate->len == 0)
		return true;
	entry->tls = SSL_CTX_new (TLS_server_method ());
	SSL_CTX_set_min_proto_version (entry->tls, TLS1_2_VERSION);
	const char *certificate = settings->tls_certificate->str;
	const char *key = settings->tls_key == NULL ? "" : settings->tls_key->str;
	if (SSL_CTX_use_certificate_chain_file (entry->tls, certificate) == 1 &&
	    SSL_CTX_use_PrivateKey_file (entry->tls, key, SSL_FILETYPE_PEM) == 1 &&
	    SSL_CTX_check_private_key (entry->tls) == 1)
		return true;
	g_set_error (error, entry_error_quark (), 0,
		     "The TLS certificate %s or its key cannot be used.", certificate);
	return false;
}

static bool
bind_server (struct dff_entry *entry, GError **error)
{
	const struct dff_name *listen = &entry->options.settings->listen;
	struct dff_name bound;
	entry->socket = dff_http_listen (entry->http, listen, &bound);
	if (entry->socket != NULL) {
		struct evconnlistener *listener = evhttp_bound_socket_get_listener (entry->socket);
		dff_connection_group_set_listener (entry->callers, listener);
		return true;
	}
	g_set_error (error, entry_error_quark (), 0, "Cannot listen on %s.", listen->data);
	return false;
}

static void
create_server (struct dff_entry *entry)
{
	entry->http = evhttp_new (entry->options.base);
	evhttp_set_bevcb (entry->http, accept_connection, entry);
	evhttp_set_gencb (entry->http, handle_request, entry);
	evhttp_set_max_headers_size (entry->http, MAX_HEADER_BYTES);
	evhttp_set_max_body_size (entry->http, entry->options.settings->max_body_bytes);
	evhttp_set_allowed_methods (entry->http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
							 EVHTTP_REQ_DELETE);
	evhttp_set_default_content_type (entry->http, NULL);
}

static void
create_counters (struct dff_entry *entry)
{
	static const char refused[] = "Calls refused, by reason.";
	struct dff_metrics *metrics = entry->options.metrics;
	struct dff_entry_counters *counters = &entry->counters;
	counters->calls =
		dff_metrics_counter (metrics, "dff_entry_calls_total", "HTTP calls received.");
	counters->refused_auth =
		dff_metrics_counter (metrics, "dff_entry_refused_total{reason=\"auth\"}", refused);
	counters->refused_input =
		dff_metrics_counter (metrics, "dff_entry_refused_total{reason=\"input\"}", refused);
	counters->refused_busy =
		dff_metrics_counter (metrics, "dff_entry_refused_total{reason=\"busy\"}", refused);
	counters->refused_store =
		dff_metrics_counter (metrics, "dff_entry_refused_total{reason=\"store\"}", refused);
	counters->refused_draining = dff_metrics_counter (
		metrics, "dff_entry_refused_total{reason=\"draining\"}", refused);
	counters->jobs_accepted = dff_metrics_counter (metrics, "dff_entry_jobs_accepted_total",
						       "Jobs put on record by this process.");
	counters->jobs_repeated = dff_metrics_counter (
		metrics, "dff_entry_jobs_repeated_total",
		"Submissions answered from the record by their Idempotency-Key.");
	counters->record_unknown =
		dff_metrics_counter (metrics, "dff_entry_record_unknown_total",
				     "Callers told that the effect of a write is unknown.");
	counters->callers_lost = dff_metrics_counter (metrics, "dff_entry_callers_lost_total",
						      "Connections that broke before the answer.");
	counters->connections_closed =
		dff_metrics_counter (metrics, "dff_entry_connections_closed_total",
				     "Connections closed for being slow, idle or too many.");
	counters->connections_open =
		dff_metrics_gauge (metrics, "dff_entry_connections_open", "Callers' connections.");
}

static struct dff_connection_limits
connection_limits (const struct dff_settings *settings)
{
	return (struct dff_connection_limits){
		.max_connections = settings->max_connections,
		.header_timeout_ms = settings->request_timeout_ms,
		.request_timeout_ms = settings->request_timeout_ms,
		.idle_timeout_ms = IDLE_TIMEOUT_MS,
		.max_header_bytes = MAX_HEADER_BYTES,
		.max_body_bytes = (size_t)settings->max_body_bytes,
		.keepalive_probes = true,
	};
}

/* Room for several bodies of the largest size that the settings allow. */
static size_t
max_held_bytes (const struct dff_settings *settings)
{
	return MAX (DFF_CONNECTIONS_BYTES_DEFAULT,
		    (size_t)settings->max_body_bytes * LARGEST_BODIES);
}

struct dff_entry *
dff_entry_new (const struct dff_entry_options *options, GError **error)
{
	struct dff_entry *entry = g_new0 (struct dff_entry, 1);
	struct dff_core_options core;
	const guint32 seed[] = {(guint32)options->seed, (guint32)(options->seed >> 32)};
	entry->options = *options;
	entry->refs = 1;
	entry->rng = g_rand_new_with_seed_array (seed, G_N_ELEMENTS (seed));
	entry->pool_text = g_string_new (NULL);
	struct dff_connection_limits limits = connection_limits (options->settings);
	entry->connections = dff_connections_new (options->clock, DFF_CONNECTIONS_BYTES_DEFAULT);
	entry->callers = dff_connections_add_group (entry->connections, "callers", &limits);
	entry->deadlines = dff_deadlines_new ();
	entry->quota = dff_team_quota_new ();
	dff_core_options_init (&core);
	entry->admission = dff_core_new (&core);
	create_counters (entry);
	entry->requests = dff_requests_new (entry);
	entry->results = dff_results_new (entry);
	create_server (entry);
	if (load_tls (entry, error) && bind_server (entry, error))
		return entry;
	dff_entry_free (entry);
	return NULL;
}

/* The store may answer after the entry and its owner's metrics registry are freed. The callbacks
 * still count, so the counters are redirected; otherwise the process crashes on shutdown. */
static void
redirect_counters (struct dff_entry *entry)
{
	int64_t **pointers = (int64_t **)&entry->counters;
	for (size_t i = 0; i < sizeof (entry->counters) / sizeof (int64_t *); i++)
		pointers[i] = &entry->discarded_counter;
}

void
dff_entry_free (struct dff_entry *entry)
{
	entry->closed = true;
	evhttp_free (entry->http);
	/* No caller is left. Running every timer ends all pending waits and frees what they
	 * hold. */
	dff_deadlines_run (entry->deadlines, INT64_MAX);
	dff_connections_free (entry->connections);
	dff_requests_free (entry->requests);
	dff_results_free (entry->results);
	dff_core_free (entry->admission);
	dff_team_quota_free (entry->quota);
	SSL_CTX_free (entry->tls);
	redirect_counters (entry);
	dff_entry_unref (entry);
}

uint16_t
dff_entry_port (const struct dff_entry *entry)
{
	struct sockaddr_in address;
	ev_socklen_t len = sizeof (address);
	memset (&address, 0, sizeof (address));
	getsockname (evhttp_bound_socket_get_fd (entry->socket), (struct sockaddr *)&address, &len);
	return ntohs (address.sin_port);
}

void
dff_entry_tick (struct dff_entry *entry)
{
	const struct dff_settings *settings = entry->options.settings;
	struct dff_connection_limits limits = connection_limits (settings);
	dff_connection_group_set_limits (entry->callers, &limits);
	dff_connections_set_max_bytes (entry->connections, max_held_bytes (settings));
	dff_connections_tick (entry->connections);
	*entry->counters.connections_closed = dff_connections_n_closed (entry->connections);
	*entry->counters.connections_open = dff_connection_group_count (entry->callers);
	evhttp_set_max_body_size (entry->http, settings->max_body_bytes);
	if (entry->draining)
		dff_connection_group_close_idle (entry->callers, DRAIN_IDLE_MS);
	dff_deadlines_run (entry->deadlines, dff_entry_now_ms (entry));
	dff_requests_tick (entry->requests);
	dff_results_tick (entry->results);
}

void
dff_entry_set_pool (struct dff_entry *entry, const struct dff_pool *pool, struct dff_str text)
{
	entry->pool = pool;
	g_string_truncate (entry->pool_text, 0);
	g_string_append_len (entry->pool_text, text.data, (gssize)text.len);
	if (pool != NULL)
		dff_core_set_pool (entry->admission, pool, dff_entry_now_ms (entry));
}

void
dff_entry_set_instances (struct dff_entry *entry,
			 const struct dff_instance *instances,
			 size_t n_instances)
{
	dff_requests_set_instances (entry->requests, instances, n_instances);
}

void
dff_entry_handle_worker_leaving (struct dff_entry *entry, const struct dff_name *worker)
{
	dff_requests_worker_leaving (entry->requests, worker);
}

void
dff_entry_set_grants (struct dff_entry *entry,
		      int64_t epoch,
		      const struct dff_grant *grants,
		      size_t n_grants,
		      int32_t valid_ms)
{
	entry->has_grants = true;
	dff_requests_set_grants (entry->requests, epoch, grants, n_grants, valid_ms);
}

void
dff_entry_handle_job_ended (struct dff_entry *entry,
			    const struct dff_name *job,
			    enum dff_outcome outcome)
{
	(void)outcome;
	dff_team_quota_remove (entry->quota, job);
	dff_results_job_ended (entry->results, job);
}

void
dff_entry_set_isolated (struct dff_entry *entry, bool isolated)
{
	entry->isolated = isolated;
}

void
dff_entry_set_leaving (struct dff_entry *entry)
{
	entry->leaving = true;
}

void
dff_entry_drain (struct dff_entry *entry)
{
	entry->leaving = true;
	entry->draining = true;
}

bool
dff_entry_is_drained (const struct dff_entry *entry)
{
	return entry->draining && entry->n_calls == 0 &&
	       dff_connection_group_count (entry->callers) == 0 &&
	       dff_requests_is_idle (entry->requests);
}

bool
dff_entry_is_ready (const struct dff_entry *entry)
{
	return entry->pool != NULL && entry->has_grants && !entry->isolated && !entry->leaving;
}

bool
dff_entry_drain_requested (const struct dff_entry *entry)
{
	return entry->drain_requested;
}
