#include "harness.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent_ssl.h>
#include <jansson.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "cell/job_row.h"

#define RESULT_CHUNK 8
#define WORKERS 2

struct harness_sent {
	struct harness_answer answer;
	int64_t deadline_ms;
	dff_request_func done;
	void *user;
};

static char *
token_digest (const char *owner)
{
	g_autofree char *token = g_strconcat (owner, "-token", NULL);
	return g_compute_checksum_for_string (G_CHECKSUM_SHA256, token, -1);
}

static char *
pool_text (void)
{
	g_autofree char *casework = token_digest ("casework");
	g_autofree char *fleet = token_digest ("fleet");
	g_autofree char *operator_digest = token_digest ("operator");
	return g_strdup_printf (
		"{\"preset\": \"completion\", \"racks\": [{\"name\": \"r1\", \"data_centre\": "
		"\"dc1\", \"region\": \"demo\", \"workers\": 8, \"slots\": 8, \"cores\": 32, "
		"\"memory_gb\": 64, \"accelerators\": 8}], \"teams\": [{\"name\": \"casework\", "
		"\"token_digests\": [\"sha256:%s\"], \"max_queued\": 6, \"guarantees\": []}, "
		"{\"name\": \"fleet\", \"token_digests\": [\"sha256:%s\"], \"guarantees\": []}], "
		"\"services\": [{\"name\": \"drafting\", \"teams\": [\"casework\"], "
		"\"request_slots\": 2, \"request_timeout_ms\": 10000}, {\"name\": \"archive\"}], "
		"\"operators\": [{\"name\": \"operator\", \"token_digests\": [\"sha256:%s\"]}]}",
		casework, fleet, operator_digest);
}

static void
request_worker (void *ctx,
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

static void
tick_workers (struct harness *harness)
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

static void
send_to_peer (void *ctx, const struct dff_instance *member, const uint8_t *data, size_t len)
{
	const struct harness_process *from = ctx;
	for (int i = 0; i < HARNESS_PROCESSES; i++) {
		const struct harness_process *to = &from->harness->processes[i];
		if (to->entry != NULL && dff_name_equal (&to->name, &member->id))
			dff_peer_receive (to->peer, data, len);
	}
}

static void
apply_pool (struct harness_process *process, int64_t generation, struct dff_str text)
{
	struct dff_pool *pool = dff_pool_parse (text, "pool", NULL, NULL);
	assert_non_null (pool);
	pool->generation = generation;
	dff_entry_set_pool (process->entry, pool, text);
	dff_peer_set_pool (process->peer, generation, text);
	g_clear_pointer (&process->pool, dff_pool_free);
	process->pool = pool;
}

static void
pool_committed (void *ctx, int64_t generation, struct dff_str text)
{
	apply_pool (ctx, generation, text);
}

static void
job_ended (void *ctx, const struct dff_name *job, enum dff_outcome outcome)
{
	const struct harness_process *process = ctx;
	dff_entry_job_ended (process->entry, job, outcome);
}

static void
ignore_members (void *ctx)
{
	(void)ctx;
}

static struct dff_settings *
settings_new (const struct dff_name *name)
{
	struct dff_settings *settings = g_new0 (struct dff_settings, 1);
	g_autofree char *digest = token_digest ("bootstrap");
	settings->instance = *name;
	settings->region = dff_name_from ("demo");
	settings->data_centre = dff_name_from ("dc1");
	settings->listen = dff_name_from ("127.0.0.1:0");
	settings->tls_certificate = g_string_new (NULL);
	settings->tls_key = g_string_new (NULL);
	settings->trace_path = g_string_new (NULL);
	settings->bootstrap_token_digest = g_string_new ("sha256:");
	g_string_append (settings->bootstrap_token_digest, digest);
	settings->max_connections = 8;
	settings->max_body_bytes = 4096;
	settings->request_timeout_ms = 2000;
	settings->max_requests = 4;
	return settings;
}

static struct dff_instance
instance (const char *id, enum dff_instance_role role)
{
	struct dff_instance instance = {
		.id = dff_name_from (id),
		.role = role,
		.address = dff_name_from ("127.0.0.1:1"),
		.rack = dff_name_from ("r1"),
		.data_centre = dff_name_from ("dc1"),
		.region = dff_name_from ("demo"),
		.peer_address = dff_name_from ("127.0.0.1:2"),
	};
	return instance;
}

static void
start_peer (struct harness_process *process)
{
	struct dff_peer_options options;
	/* Nobody is holder, so nobody sends what the other callbacks are for. */
	struct dff_peer_callbacks callbacks = {
		.pool_received = pool_committed,
		.job_ended = job_ended,
		.members_changed = ignore_members,
		.ctx = process,
	};
	dff_peer_options_init (&options);
	options.self = instance (process->name.data, DFF_INSTANCE_ENTRY);
	options.clock = &process->harness->clock.clock;
	options.metrics = process->metrics;
	options.transport.send = send_to_peer;
	options.transport.ctx = process;
	options.callbacks = callbacks;
	options.seed = 3;
	process->peer = dff_peer_new (&options);
}

static void
start_cell (struct harness_process *process)
{
	struct dff_cell_options options;
	dff_cell_options_init (&options);
	options.instance = process->name;
	options.region = process->settings->region;
	options.table = &process->platform->table;
	options.workers = &process->harness->workers;
	options.clock = &process->harness->clock.clock;
	options.metrics = process->metrics;
	options.tracer = process->tracer;
	options.recorder = process->recorder;
	options.seed = 4;
	process->cell = dff_cell_new (&options);
}

static void
start_entry (struct harness_process *process)
{
	struct harness *harness = process->harness;
	g_autoptr (GError) error = NULL;
	struct dff_entry_options options = {
		.base = harness->base,
		.settings = process->settings,
		.clock = &harness->clock.clock,
		.metrics = process->metrics,
		.tracer = process->tracer,
		.table = &process->reads->table,
		.objects = &process->reads->objects,
		.recorder = process->recorder,
		.workers = &harness->workers,
		.peer = process->peer,
		.cell = process->cell,
		.seed = 5,
		.pool_committed = pool_committed,
		.ctx = process,
	};
	process->entry = dff_entry_new (&options, &error);
	if (process->entry == NULL)
		fail_msg ("%s", error->message);
}

static void
keep_span (void *ctx, struct dff_str line)
{
	struct harness *harness = ctx;
	g_string_append_len (harness->spans, line.data, (gssize)line.len);
	g_string_append_c (harness->spans, '\n');
}

static void
start_process (struct harness *harness, int index)
{
	struct harness_process *process = &harness->processes[index];
	struct dff_recorder_options recorder;
	process->harness = harness;
	process->name = dff_name_printf ("entry-%c", 'a' + index);
	process->settings = settings_new (&process->name);
	if (harness->certificate != NULL) {
		g_string_assign (process->settings->tls_certificate, harness->certificate);
		g_string_assign (process->settings->tls_key, harness->key);
	}
	process->metrics = dff_metrics_new ();
	process->tracer = dff_tracer_new (&harness->clock.clock, &process->name, 1 + index,
					  keep_span, harness);
	process->platform = dff_memory_open (harness->memory);
	process->reads = dff_memory_open (harness->memory);
	dff_recorder_options_init (&recorder);
	recorder.table = &process->platform->table;
	recorder.clock = &harness->clock.clock;
	recorder.metrics = process->metrics;
	recorder.writer = process->name;
	recorder.seed = 2;
	process->recorder = dff_recorder_new (&recorder);
	start_peer (process);
	start_cell (process);
	start_entry (process);
}

static void
tell_instances (struct harness *harness)
{
	for (int i = 0; i < HARNESS_PROCESSES; i++) {
		const struct harness_process *process = &harness->processes[i];
		if (process->entry == NULL)
			continue;
		dff_peer_set_instances (process->peer, harness->instances, harness->n_instances);
		dff_entry_set_instances (process->entry, harness->instances, harness->n_instances);
	}
}

struct harness *
harness_new (void)
{
	return harness_new_tls (NULL, NULL);
}

struct harness *
harness_new_tls (const char *certificate, const char *key)
{
	struct harness *harness = g_new0 (struct harness, 1);
	harness->certificate = certificate;
	harness->key = key;
	harness->base = event_base_new ();
	harness->spans = g_string_new (NULL);
	dff_clock_virtual_init (&harness->clock, 1000000);
	struct dff_memory_options memory = {.clock = &harness->clock.clock, .seed = 1};
	harness->memory = dff_memory_new (&memory);
	harness->holder = dff_memory_open (harness->memory);
	harness->skipped_offset = -1;
	harness->workers.request = request_worker;
	harness->workers.ctx = harness;
	g_queue_init (&harness->answers);
	g_queue_init (&harness->sent);
	for (int i = 0; i < HARNESS_PROCESSES; i++)
		start_process (harness, i);
	harness->instances[0] = instance ("entry-a", DFF_INSTANCE_ENTRY);
	harness->instances[1] = instance ("entry-b", DFF_INSTANCE_ENTRY);
	harness->instances[2] = instance ("w1", DFF_INSTANCE_WORKER);
	harness->instances[3] = instance ("w2", DFF_INSTANCE_WORKER);
	harness->n_instances = 4;
	tell_instances (harness);
	harness_run (harness, 500);
	return harness;
}

void
harness_kill (struct harness *harness, int index)
{
	struct harness_process *process = &harness->processes[index];
	if (process->entry == NULL)
		return;
	dff_entry_free (process->entry);
	memset (&process->reads->faults, 0, sizeof (process->reads->faults));
	dff_memory_close (process->platform);
	dff_cell_free (process->cell);
	dff_peer_free (process->peer);
	dff_recorder_free (process->recorder);
	dff_tracer_free (process->tracer);
	dff_metrics_free (process->metrics);
	g_clear_pointer (&process->pool, dff_pool_free);
	dff_settings_free (process->settings);
	process->entry = NULL;
}

void
harness_free (struct harness *harness)
{
	for (int i = 0; i < HARNESS_PROCESSES; i++)
		harness_kill (harness, i);
	struct harness_sent *sent;
	while ((sent = g_queue_pop_head (&harness->sent)) != NULL)
		answer_sent (sent);
	dff_memory_tick (harness->memory);
	for (int64_t due_ms; (due_ms = dff_memory_next_due_ms (harness->memory)) != INT64_MAX;) {
		harness->clock.now_ms = MAX (due_ms, harness->clock.now_ms);
		dff_memory_tick (harness->memory);
	}
	for (int i = 0; i < HARNESS_PROCESSES; i++)
		dff_memory_close (harness->processes[i].reads);
	dff_memory_close (harness->holder);
	dff_memory_free (harness->memory);
	event_base_free (harness->base);
	g_string_free (harness->spans, TRUE);
	g_free (harness);
}

void
harness_step (struct harness *harness)
{
	for (int i = 0; i < HARNESS_PROCESSES; i++) {
		const struct harness_process *process = &harness->processes[i];
		if (process->entry != NULL)
			process->reads->faults = process->platform->faults;
	}
	event_base_loop (harness->base, EVLOOP_NONBLOCK);
	harness->clock.now_ms++;
	dff_memory_tick (harness->memory);
	tick_workers (harness);
	for (int i = 0; i < HARNESS_PROCESSES; i++) {
		const struct harness_process *process = &harness->processes[i];
		if (process->entry == NULL)
			continue;
		dff_recorder_tick (process->recorder);
		dff_peer_tick (process->peer);
		dff_entry_tick (process->entry);
	}
}

void
harness_run (struct harness *harness, int64_t ms)
{
	for (int64_t i = 0; i < ms; i++)
		harness_step (harness);
}

void
harness_set_pool (struct harness *harness)
{
	g_autofree char *text = pool_text ();
	for (int i = 0; i < HARNESS_PROCESSES; i++)
		apply_pool (&harness->processes[i], 1, dff_str_from (text));
}

void
harness_grant (struct harness *harness, int32_t slots, int32_t valid_ms)
{
	struct dff_grant grants[WORKERS] = {
		{.worker = dff_name_from ("w1"), .slots = slots},
		{.worker = dff_name_from ("w2"), .slots = slots},
	};
	for (int i = 0; i < HARNESS_PROCESSES; i++) {
		if (harness->processes[i].entry != NULL)
			dff_entry_set_grants (harness->processes[i].entry, 1, grants, WORKERS,
					      valid_ms);
	}
}

void
harness_list_leaving (struct harness *harness, const char *worker)
{
	for (size_t i = 0; i < harness->n_instances; i++) {
		if (g_str_equal (harness->instances[i].id.data, worker))
			harness->instances[i].leaving = true;
	}
	tell_instances (harness);
}

static void
check_committed (void *user, const struct dff_table_result *result)
{
	(void)user;
	assert_int_equal (result->outcome, DFF_TABLE_OK);
}

static void
check_put (void *user, const struct dff_object_result *result)
{
	(void)user;
	assert_int_equal (result->outcome, DFF_OBJECT_OK);
}

void
harness_put_object (struct harness *harness, const char *key, const char *text)
{
	harness->holder->objects.put (harness->holder, dff_str_from (key), dff_str_from (text),
				      check_put, NULL);
}

static void
write_result (struct harness *harness, struct dff_job_row *row, const char *result)
{
	size_t len = strlen (result);
	g_autofree char *digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, result, -1);
	json_t *chunks = json_array ();
	for (size_t offset = 0; offset < len; offset += RESULT_CHUNK) {
		g_autofree char *part = g_strndup (result + offset, RESULT_CHUNK);
		g_autofree char *key = g_strdup_printf ("part/%s/%zu", row->spec.id.data, offset);
		g_autofree char *part_digest =
			g_compute_checksum_for_string (G_CHECKSUM_SHA256, part, -1);
		if ((int64_t)offset != harness->skipped_offset)
			harness_put_object (harness, key, part);
		json_t *chunk =
			json_pack ("{s:I,s:I,s:s,s:s}", "offset", (json_int_t)offset, "length",
				   (json_int_t)strlen (part), "digest", part_digest, "key", key);
		json_array_insert_new (chunks, 0, chunk);
	}
	json_t *manifest = json_pack ("{s:I,s:s,s:o}", "length", (json_int_t)len, "digest", digest,
				      "chunks", chunks);
	g_autofree char *text = json_dumps (manifest, JSON_COMPACT);
	json_decref (manifest);
	row->result.manifest_key = dff_name_printf ("m.%.40s", row->spec.id.data);
	row->result.length = (int64_t)len;
	g_strlcpy (row->result.digest, digest, sizeof (row->result.digest));
	harness_put_object (harness, row->result.manifest_key.data, text);
}

void
harness_end_job (struct harness *harness,
		 const struct dff_name *job,
		 enum dff_outcome outcome,
		 const char *result)
{
	struct dff_table_row read;
	g_autoptr (GString) key = dff_job_row_key (job);
	struct dff_str key_text = {key->str, key->len};
	assert_true (dff_memory_peek (harness->memory, key_text, &read));
	DFF_AUTO (dff_job_row) row = dff_job_row_decode (read.value, read.revision, NULL);
	row->state = DFF_JOB_ROW_ENDED;
	row->outcome = outcome;
	row->attempt = 1;
	row->ended_wall_ms = harness->clock.now_ms;
	if (result != NULL)
		write_result (harness, row, result);
	g_autoptr (GString) value = dff_job_row_encode (row);
	struct dff_table_condition condition = {key_text, read.revision};
	struct dff_table_write write = {key_text, {value->str, value->len}};
	struct dff_table_txn txn = {
		.write_id = dff_name_printf ("holder.%" G_GUINT64_FORMAT, ++harness->n_writes),
		.conditions = &condition,
		.n_conditions = 1,
		.writes = &write,
		.n_writes = 1,
	};
	harness->holder->table.commit (harness->holder, &txn, check_committed, NULL);
}

static void
client_read (struct bufferevent *bev, void *ctx)
{
	struct harness_client *client = ctx;
	struct evbuffer *input = bufferevent_get_input (bev);
	size_t len = evbuffer_get_length (input);
	g_string_append_len (client->received, (const char *)evbuffer_pullup (input, -1),
			     (gssize)len);
	evbuffer_drain (input, len);
}

static void
client_event (struct bufferevent *bev, short what, void *ctx)
{
	(void)bev;
	struct harness_client *client = ctx;
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		client->closed = true;
}

/* Takes @bev over. */
static struct harness_client *
connect_with (struct harness *harness, int process, struct bufferevent *bev)
{
	struct harness_client *client = g_new0 (struct harness_client, 1);
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons (dff_entry_port (harness->processes[process].entry)),
		.sin_addr.s_addr = htonl (INADDR_LOOPBACK),
	};
	client->harness = harness;
	client->received = g_string_new (NULL);
	client->bev = bev;
	bufferevent_setcb (client->bev, client_read, NULL, client_event, client);
	bufferevent_enable (client->bev, EV_READ | EV_WRITE);
	bufferevent_socket_connect (client->bev, (struct sockaddr *)&address, sizeof (address));
	return client;
}

struct harness_client *
harness_connect (struct harness *harness, int process)
{
	struct bufferevent *bev = bufferevent_socket_new (harness->base, -1, BEV_OPT_CLOSE_ON_FREE);
	return connect_with (harness, process, bev);
}

struct harness_client *
harness_connect_tls (struct harness *harness, int process, SSL_CTX *tls)
{
	struct bufferevent *bev =
		bufferevent_openssl_socket_new (harness->base, -1, SSL_new (tls),
						BUFFEREVENT_SSL_CONNECTING, BEV_OPT_CLOSE_ON_FREE);
	return connect_with (harness, process, bev);
}

void
harness_client_free (struct harness_client *client)
{
	bufferevent_free (client->bev);
	g_string_free (client->received, TRUE);
	g_free (client);
}

void
harness_client_send (struct harness_client *client, const char *bytes, size_t len)
{
	bufferevent_write (client->bev, bytes, len);
}

bool
harness_client_is_whole (const struct harness_client *client)
{
	static const char header[] = "\r\nContent-Length: ";
	const char *end = strstr (client->received->str, "\r\n\r\n");
	const char *length = strstr (client->received->str, header);
	if (end == NULL || length == NULL || length > end)
		return false;
	size_t body = strtoul (length + strlen (header), NULL, 10);
	return client->received->len >= (size_t)(end + 4 - client->received->str) + body;
}

bool
harness_client_wait (struct harness_client *client)
{
	for (int64_t i = 0; i < HARNESS_TIMEOUT_MS; i++) {
		if (harness_client_is_whole (client))
			return true;
		if (client->closed)
			return false;
		harness_step (client->harness);
	}
	fail_msg ("no response");
	return false;
}

int
harness_client_status (const struct harness_client *client)
{
	const char *space = strchr (client->received->str, ' ');
	return space == NULL ? 0 : (int)strtol (space + 1, NULL, 10);
}
