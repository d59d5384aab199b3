#include "bench/slopes/site.h"

#include <string.h>

#include "bench/slopes/core_load.h"
#include "bench/slopes/slopes.h"
#include "common/event_loop.h"
#include "daemon/daemon.h"
#include "daemon/daemon_private.h"
#include "peer/zmq_transport.h"
#include "pool/pool_row.h"
#include "standin/platform_handlers.h"
#include "standin/worker_server.h"

#define READY_ROUNDS 200
#define READY_STEP_MS 50
#define CALL_TIMEOUT_MS 10000
#define TOKEN_DIGEST_LEN 64
/** Limit that is high enough not to affect the measurements. */
#define UNBOUNDED "20000"

struct site_daemon {
	struct dff_settings *settings;
	struct dff_daemon *daemon;
	struct dff_name address;
};

struct site_worker {
	struct dff_standin_worker *worker;
	struct dff_worker_server *server;
};

struct site {
	struct site_options options;
	struct event_base *base;
	struct dff_platform_server *platform;
	struct relay *relay;
	struct dff_memory_handle *store;
	struct dff_metrics *metrics;
	struct dff_http_client *http;
	/** Elements: struct site_worker. */
	GArray *workers;
	struct site_daemon daemons[SITE_DAEMONS_MAX];
	int next_daemon;
	int in_progress;
	struct site_answers answers;
};

void
site_run (struct site *site, int ms)
{
	slopes_run_loop (site->base, ms);
}

GString *
site_pool_text (const struct site *site)
{
	int workers = site->options.workers + site->options.remote_workers;
	struct core_load_size size = {MAX (workers, 1), site->options.teams, 1};
	return core_load_pool_text (&size);
}

static void
ignore_commit (void *user, const struct dff_table_result *result)
{
	(void)user;
	g_assert (result->outcome == DFF_TABLE_OK);
}

static struct dff_pool *
put_pool (struct site *site)
{
	g_autoptr (GString) text = site_pool_text (site);
	struct dff_str file = {text->str, text->len};
	g_autoptr (GString) row = dff_pool_row_encode (1, file);
	struct dff_table_write write = {dff_str_from (DFF_POOL_ROW_KEY), {row->str, row->len}};
	struct dff_table_txn txn = {
		.write_id = dff_name_from ("site-pool"),
		.writes = &write,
		.n_writes = 1,
	};
	const struct dff_table *table = &site->store->table;
	table->commit (table->ctx, &txn, ignore_commit, NULL);
	struct dff_pool *pool = dff_pool_parse (file, "pool", NULL, NULL);
	g_assert (pool != NULL);
	return pool;
}

static struct dff_name
start_worker (struct site *site, const struct dff_rack *rack)
{
	struct dff_standin_worker_options options = {
		.clock = dff_clock_system (),
		.store = &site->store->objects,
		.capacity = rack->per_worker,
		.incarnation = 1,
	};
	struct site_worker worker = {.worker = dff_standin_worker_new (&options)};
	struct dff_worker_server_options server = {
		.base = site->base,
		.clock = dff_clock_system (),
		.worker = worker.worker,
		.listen = dff_name_from ("127.0.0.1:0"),
	};
	worker.server = dff_worker_server_new (&server, NULL);
	g_assert (worker.server != NULL);
	g_array_append_val (site->workers, worker);
	return *dff_worker_server_address (worker.server);
}

static void
list_worker (struct site *site, const struct dff_rack *rack, const struct dff_name *name, bool far)
{
	struct dff_instance instance = {
		.id = *name,
		.role = DFF_INSTANCE_WORKER,
		.address = far ? dff_name_from ("127.0.0.1:1") : start_worker (site, rack),
		.rack = rack->name,
		.data_centre = rack->data_centre,
		.region = far ? dff_name_from ("region-2") : rack->region,
	};
	dff_memory_announce (site->platform->memory, &instance, 0);
}

static void
list_workers (struct site *site, const struct dff_pool *pool)
{
	int n = 0;
	int n_workers = site->options.workers + site->options.remote_workers;
	for (guint i = 0; i < pool->racks->len; i++) {
		const struct dff_rack *rack = &g_array_index (pool->racks, struct dff_rack, i);
		for (guint j = 0; j < rack->workers->len && n < n_workers; j++, n++) {
			list_worker (site, rack, &g_array_index (rack->workers, struct dff_name, j),
				     n >= site->options.workers);
		}
	}
}

static struct dff_settings *
daemon_settings (const struct site *site, int index)
{
	struct dff_name public_key, secret_key;
	dff_zmq_keypair (&public_key, &secret_key);
	const char *platform = relay_address (site->relay)->data;
	g_autofree char *text = g_strdup_printf (
		"{\"instance\": \"entry-%d\", \"region\": \"region-1\", \"data_centre\": \"dc1\", "
		"\"listen\": \"127.0.0.1:0\", \"peer_listen\": \"127.0.0.1:0\", "
		"\"peer_public_key\": \"%s\", \"peer_secret_key\": \"%s\", \"table_address\": "
		"\"%s\", \"object_store_address\": \"%s\", \"instance_list_address\": \"%s\", "
		"\"max_connections\": " UNBOUNDED ", \"max_requests\": " UNBOUNDED "}",
		index + 1, public_key.data, secret_key.data, platform, platform, platform);
	g_autoptr (GError) error = NULL;
	struct dff_settings *settings =
		dff_settings_parse (dff_str_from (text), "settings", NULL, &error);
	if (settings == NULL)
		g_error ("%s", error->message);
	return settings;
}

/* The daemon chooses its port at its start. The instance list gives the address to peers only;
 * callers use daemon->address. */
static void
start_daemon (struct site *site, int index)
{
	struct site_daemon *daemon = &site->daemons[index];
	g_autoptr (GError) error = NULL;
	daemon->settings = daemon_settings (site, index);
	daemon->daemon = dff_daemon_new (site->base, daemon->settings, &error);
	if (daemon->daemon == NULL)
		g_error ("%s", error->message);
	daemon->address = dff_name_printf ("127.0.0.1:%d", dff_entry_port (daemon->daemon->entry));
}

static bool
is_ready (const struct site *site)
{
	bool held = false;
	for (int i = 0; i < site->options.daemons; i++) {
		const struct dff_daemon *daemon = site->daemons[i].daemon;
		if (!dff_entry_is_ready (daemon->entry))
			return false;
		held = held || dff_cell_is_holder (daemon->cell);
	}
	return held;
}

struct site *
site_new (const struct site_options *options)
{
	struct site *site = g_new0 (struct site, 1);
	site->options = *options;
	site->base = dff_event_base_new ();
	site->workers = g_array_new (FALSE, TRUE, sizeof (struct site_worker));
	struct dff_platform_server_options platform = {
		.base = site->base,
		.clock = dff_clock_system (),
		.listen = dff_name_from ("127.0.0.1:0"),
		.seed = 1,
	};
	site->platform = dff_platform_server_new (&platform);
	g_assert (site->platform != NULL);
	struct dff_name address = dff_platform_server_address (site->platform);
	site->relay = relay_new (site->base, &address);
	site->store = dff_memory_open (site->platform->memory);
	site->metrics = dff_metrics_new ();
	struct dff_http_client_options http;
	dff_http_client_options_init (&http);
	http.base = site->base;
	http.metrics = site->metrics;
	http.max_connections = 16;
	http.max_waiting = 100000;
	site->http = dff_http_client_new (&http);
	DFF_AUTO (dff_pool) pool = put_pool (site);
	list_workers (site, pool);
	for (int i = 0; i < options->daemons; i++)
		start_daemon (site, i);
	for (int i = 0; i < READY_ROUNDS && !is_ready (site); i++)
		site_run (site, READY_STEP_MS);
	if (!is_ready (site))
		g_error ("the site does not get ready");
	return site;
}

void
site_free (struct site *site)
{
	dff_http_client_free (site->http);
	for (int i = 0; i < site->options.daemons; i++) {
		dff_daemon_free (site->daemons[i].daemon);
		dff_settings_free (site->daemons[i].settings);
	}
	for (guint i = 0; i < site->workers->len; i++) {
		struct site_worker *worker = &g_array_index (site->workers, struct site_worker, i);
		dff_worker_server_free (worker->server);
		dff_standin_worker_free (worker->worker);
	}
	g_array_unref (site->workers);
	relay_free (site->relay);
	dff_memory_close (site->store);
	dff_platform_server_free (site->platform);
	dff_metrics_free (site->metrics);
	event_base_free (site->base);
	g_free (site);
}

struct dff_memory_counts
site_store_counts (const struct site *site)
{
	return dff_memory_counts (site->platform->memory);
}

struct relay_counts
site_platform_traffic (const struct site *site)
{
	return relay_counts (site->relay);
}

const struct dff_name *
site_address (const struct site *site, int index)
{
	return &site->daemons[index].address;
}

struct event_base *
site_base (const struct site *site)
{
	return site->base;
}

static void
answered (void *user, const struct dff_http_response *response)
{
	struct site *site = user;
	bool good = response->outcome == DFF_HTTP_ANSWERED && response->status < 300;
	site->in_progress--;
	site->answers.all++;
	site->answers.good += good;
	if (!good)
		fprintf (stderr, "status %d: %.*s\n", response->status, (int)response->body.len,
			 response->body.data);
}

void
site_send (struct site *site, const struct site_call *call)
{
	g_autofree char *bearer = g_strdup_printf ("Bearer %s", call->token);
	struct dff_http_header headers[5] = {{"Authorization", dff_str_from (bearer)}};
	size_t n = 1;
	if (call->idempotency_key != NULL)
		headers[n++] = (struct dff_http_header){"Idempotency-Key",
							dff_str_from (call->idempotency_key)};
	if (call->generation != NULL)
		headers[n++] =
			(struct dff_http_header){"If-Match", dff_str_from (call->generation)};
	if (!call->idempotent)
		headers[n++] = (struct dff_http_header){"Idempotent", dff_str_from ("false")};
	int index = site->next_daemon++ % site->options.daemons;
	struct dff_http_request request = {
		.address = *site_address (site, index),
		.method = call->method,
		.path = call->path,
		.headers = headers,
		.n_headers = n,
		.body = dff_str_from (call->body != NULL ? call->body : ""),
		.timeout_ms = CALL_TIMEOUT_MS,
	};
	site->in_progress++;
	dff_http_client_send (site->http, &request, answered, site);
}

struct site_answers
site_wait (struct site *site)
{
	while (site->in_progress > 0)
		site_run (site, 1);
	struct site_answers answers = site->answers;
	site->answers = (struct site_answers){0};
	return answers;
}
